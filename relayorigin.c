/*
 * The relay: where streams began, as this VM records it, and refusals of
 * streams that cannot go on.
 */
#include "librelay.h"

#include "log.h"
#include "met.h"

/* How long a caller without a deadline may take its stream up again. */
#define KEEP_DEFAULT_US (60 * CQ_US_PER_S)
/* Added to the caller's deadline, for its time on the way. */
#define KEEP_MARGIN_US (5 * CQ_US_PER_S)

bool
relay_takes_up (const struct relay *r)
{
  return r->route->kind == FLEET_STREAM
         && (r->desc.resume_after >= 0 || r->desc.resumes != NULL);
}

/* --- begin of a stream ----------------------------------------------- */

/* The id of the request that brought the stream's first event; NULL if it is
   not known. */
static const char *
first_id (const struct relay *r)
{
  if (!relay_takes_up (r))
    return r->desc.id;
  return r->desc.resumes != NULL && r->desc.resumes[0] != '\0'
             ? r->desc.resumes
             : NULL;
}

/* A stream that goes on is recorded again, since VMs that knew it may have
   been restarted. */
void
relay_stream_began (struct relay *r, int64_t now_us)
{
  const struct relays_opts *o = &r->rs->opts;
  const char *id = first_id (r);
  int64_t keep_us = KEEP_DEFAULT_US;
  struct origin_key key;

  if (r->build_key == 0)
    r->build_key = fleet_build_of (o->fleet, r->endpoint);
  if (r->build_key == 0 || id == NULL || o->origins == NULL
      || !r->route->resumable)
    return;
  if (r->desc.deadline_us > 0)
    keep_us = r->desc.deadline_us - now_us + KEEP_MARGIN_US;
  origin_key_init (&key, relay_workspace (r), id);
  originfeed_began (o->origins, &key, r->build_key,
                    fleet_has_other_build (o->fleet, r->service, r->build_key,
                                           keep_us, now_us),
                    keep_us, now_us);
}

/* --- streams that cannot go on --------------------------------------- */

void
relay_log_take_up (const struct relay *r, const char *outcome,
                   const char *build, int64_t now_us)
{
  const struct buildcheck *builds = r->rs->opts.builds;
  int64_t known_us = builds != NULL ? buildcheck_known_us (builds) : 0;
  int64_t ago_us = known_us != 0 ? now_us - known_us : -1;

  log_event (LOG_LEVEL_INFO, "take_up",
             "req=%s resumes=%s after=%" G_GINT64_FORMAT
             " route=%s outcome=%s source=%s service=%s build=%s "
             "checked_ago_us=%" G_GINT64_FORMAT " wait_us=%" G_GINT64_FORMAT,
             r->desc.id, r->desc.resumes != NULL ? r->desc.resumes : "-",
             (gint64)r->desc.resume_after, r->route->name, outcome,
             r->origin_source, r->service, build, (gint64)ago_us,
             (gint64)(now_us - r->arrived_us));
}

static int64_t
retry_after_us (struct relay *r)
{
  return RETRY_AFTER_FAILURE_US
         + (int64_t)(relay_random (r->rs) % (uint64_t)RETRY_JITTER_US);
}

/* Unless FINAL, the caller's retry may reach a VM that knows. */
void
relay_refuse_unknown (struct relay *r, bool final, int64_t now_us)
{
  relay_log_take_up (r, final ? "unknown_to_all" : "unknown", "-", now_us);
  met_add (MET_TAKEN_UP_UNKNOWN, 1);
  if (final)
    {
      r->no_build = true;
      relay_give_up (r, OUT_NOT_RUN, "stream_unknown", 0, now_us);
      return;
    }
  relay_give_up (r, OUT_NOT_RUN, "stream_unknown", retry_after_us (r), now_us);
}

void
relay_refuse_unlisted (struct relay *r, int64_t now_us)
{
  relay_log_take_up (r, "not_listed", "-", now_us);
  met_add (MET_TAKEN_UP_UNLISTED, 1);
  relay_give_up (r, OUT_NOT_RUN, "build_not_listed", retry_after_us (r),
                 now_us);
}

void
relay_give_up_no_build (struct relay *r, int64_t now_us)
{
  met_add (MET_RESUMES_NO_BUILD, 1);
  r->no_build = true;
  relay_give_up (r, out_abandoned (r->may_have_run, relay_is_repeatable (r)),
                 "no_build", 0, now_us);
}

void
relay_take_up_timed_out (struct relay *r, int64_t now_us)
{
  if (relay_apply_event (r, RELAY_DEADLINE))
    relay_refuse_unknown (r, false, now_us);
}
