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

/* BUILD is 0 if it is not known where the stream began. */
static void
take_up (struct relay *r, uint64_t build, int64_t now_us)
{
  const struct fleet_endpoint *e;

  if (build == 0)
    {
      relay_refuse_unknown (r, now_us);
      return;
    }
  e = find_build (r, build);
  if (e == NULL)
    {
      relay_log_take_up (r, "none_left", "-", now_us);
      relay_give_up_no_build (r, now_us);
      return;
    }
  relay_set_service (r, e->listing.service);
  r->build_key = build;
  relay_log_take_up (r, "same_build", e->listing.build, now_us);
  met_add (MET_TAKEN_UP, 1);
  relay_place (r, now_us);
}

static void
on_answered (void *arg, uint64_t build, int64_t now_us)
{
  struct relay *r = arg;

  if (relay_apply_event (r, RELAY_FOUND))
    take_up (r, build, now_us);
}

/* A caller that does not name the request that began its stream is served
   while all endpoints are of one build. */
static uint64_t
unnamed_build (const struct relay *r)
{
  return r->route->nsplits == 1
             ? fleet_only_build (r->rs->opts.fleet, r->service)
             : 0;
}

void
relay_take_up (struct relay *r, int64_t now_us)
{
  const struct relays_opts *o = &r->rs->opts;
  struct origin_key key;
  uint64_t build = 0;

  r->question.done = on_answered;
  r->question.arg = r;
  r->origin_source = "unnamed";
  if (r->desc.resumes == NULL)
    build = unnamed_build (r);
  else if (r->desc.resumes[0] != '\0' && o->origins != NULL)
    {
      r->origin_source = "vm";
      origin_key_init (&key, relay_workspace (r), r->desc.resumes);
      build = originfeed_find (o->origins, &key, &r->question, now_us);
      if (r->question.waiting)
        {
          relay_apply_event (r, RELAY_ASK);
          return;
        }
      r->origin_source = "own";
    }
  take_up (r, build, now_us);
}
