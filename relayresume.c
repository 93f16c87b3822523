/*
 * The relay: streams that callers take up again, at this VM or at another one.
 *
 * A stream goes on only at endpoints of the build that began it.  That is
 * recorded with the stream's first event; a VM that does not know it asks
 * others before it chooses an endpoint, and runs nothing until it knows.
 */
#include "librelay.h"

#include "log.h"
#include "met.h"

/* An endpoint of BUILD in a service that the route still sends to, or NULL. */
static const struct fleet_endpoint *
find_build (const struct relay *r, uint64_t build)
{
  const struct fleet_endpoint *e = NULL;
  int i;

  for (i = 0; e == NULL && i < r->route->nsplits; i++)
    if (r->route->nsplits == 1 || r->route->splits[i].weight > 0)
      e = fleet_find_build (r->rs->opts.fleet, r->route->splits[i].service,
                            build);
  return e;
}

static void
go_on_at (struct relay *r, const struct fleet_endpoint *e, int64_t now_us)
{
  relay_set_service (r, e->listing.service);
  r->build_key = e->build_key;
  relay_log_take_up (r, "same_build", e->listing.build, now_us);
  met_add (MET_TAKEN_UP, 1);
  relay_place (r, now_us);
}

/* What this VM lists counts only if it is all that there was when the request
   arrived, which is known if OK. */
static void
take_up_listed (struct relay *r, bool ok, int64_t now_us)
{
  const struct fleet_endpoint *e = find_build (r, r->origin_build);
  struct fleet *f = r->rs->opts.fleet;

  if (e != NULL)
    go_on_at (r, e, now_us);
  else if (ok && !fleet_is_build_joining (f, r->origin_build, now_us))
    {
      relay_log_take_up (r, "none_left", "-", now_us);
      relay_give_up_no_build (r, now_us);
    }
  else
    relay_refuse_unlisted (r, now_us);
}

static void
on_listed (void *arg, bool ok, int64_t now_us)
{
  struct relay *r = arg;

  if (relay_apply_event (r, RELAY_FOUND))
    take_up_listed (r, ok, now_us);
}

/* Waits for a check with the platform before DONE; returns whether none is
   needed, and then OK is its result. */
static bool
is_checked (struct relay *r, void (*done) (void *arg, bool ok, int64_t now_us),
            bool *ok, int64_t now_us)
{
  struct buildcheck *builds = r->rs->opts.builds;

  r->check.done = done;
  r->check.arg = r;
  *ok = builds != NULL
        && buildcheck_ask (builds, &r->check, r->arrived_us, now_us);
  if (!r->check.waiting)
    return true;
  relay_apply_event (r, RELAY_ASK);
  return false;
}

/* BUILD is 0 if it is not known where the stream began; FINAL, if that will
   not be known later or at another VM either. */
static void
take_up (struct relay *r, uint64_t build, bool final, int64_t now_us)
{
  const struct fleet_endpoint *e;
  bool ok;

  if (build == 0)
    {
      relay_refuse_unknown (r, final, now_us);
      return;
    }
  r->origin_build = build;
  e = find_build (r, build);
  if (e != NULL)
    go_on_at (r, e, now_us);
  else if (is_checked (r, on_listed, &ok, now_us))
    take_up_listed (r, ok, now_us);
}

/* Whether several builds can have begun the stream, whatever this VM has yet
   to learn. */
static bool
can_be_of_several (const struct relay *r, int64_t now_us)
{
  struct fleet *f = r->rs->opts.fleet;

  return fleet_has_moved (f, r->desc.host, r->desc.target, r->service, now_us)
         || fleet_has_several_builds (f, r->service, now_us);
}

/* All builds that served until the request arrived are known if OK, and the
   settings since then. */
static void
take_up_at_only (struct relay *r, bool ok, int64_t now_us)
{
  struct fleet *f = r->rs->opts.fleet;
  uint64_t build = 0;

  if (ok && !can_be_of_several (r, now_us))
    build = fleet_only_build (f, r->service, now_us);
  ok &= !fleet_are_builds_unknown (f, now_us);
  if (build != 0)
    r->origin_source = "only";
  take_up (r, build, ok && r->found != ORIGINFEED_NO_ANSWER, now_us);
}

static void
on_checked (void *arg, bool ok, int64_t now_us)
{
  struct relay *r = arg;

  if (relay_apply_event (r, RELAY_FOUND))
    take_up_at_only (r, ok, now_us);
}

/* A stream that no VM knows, or whose caller does not name the request that
   began it, goes on if only one build can have begun it. */
static void
look_for_only (struct relay *r, int64_t now_us)
{
  bool ok;

  if (can_be_of_several (r, now_us))
    take_up (r, 0, r->found != ORIGINFEED_NO_ANSWER, now_us);
  else if (is_checked (r, on_checked, &ok, now_us))
    take_up_at_only (r, ok, now_us);
}

static void
on_answered (void *arg, uint64_t build, enum originfeed_found found,
             int64_t now_us)
{
  struct relay *r = arg;

  if (!relay_apply_event (r, RELAY_FOUND))
    return;
  r->found = found;
  if (found == ORIGINFEED_DENIED || found == ORIGINFEED_NO_ANSWER)
    look_for_only (r, now_us);
  else
    take_up (r, build, true, now_us);
}

/* Asks where the stream began that the caller names. */
static void
look_up (struct relay *r, int64_t now_us)
{
  struct origin_key key;
  uint64_t build;

  r->origin_source = "vm";
  r->question.done = on_answered;
  r->question.arg = r;
  origin_key_init (&key, relay_workspace (r), r->desc.resumes);
  build = originfeed_find (r->rs->opts.origins, &key, &r->question, now_us);
  if (r->question.waiting)
    {
      relay_apply_event (r, RELAY_ASK);
      return;
    }
  r->origin_source = "own";
  take_up (r, build, false, now_us);
}

void
relay_take_up (struct relay *r, int64_t now_us)
{
  const struct relays_opts *o = &r->rs->opts;

  r->origin_source = "unnamed";
  r->found = ORIGINFEED_DENIED;
  if (r->desc.resumes == NULL)
    look_for_only (r, now_us);
  else if (r->desc.resumes[0] != '\0' && o->origins != NULL)
    look_up (r, now_us);
  else
    take_up (r, 0, true, now_us);
}
