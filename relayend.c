/* The relay: what relay.c and relaytry.c both need; events and the end of a
   request. */
#include "librelay.h"

#include <string.h>

#include "log.h"
#include "met.h"

/* One step of splitmix64. */
uint64_t
relay_random (struct relays *rs)
{
  uint64_t z = rs->random_state += UINT64_C (0x9E3779B97F4A7C15);

  z = (z ^ (z >> 30)) * UINT64_C (0xBF58476D1CE4E5B9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94D049BB133111EB);
  return z ^ (z >> 31);
}

bool
relay_is_repeatable (const struct relay *r)
{
  switch (r->route->kind)
    {
    case FLEET_IDEMPOTENT:
      return true;
    case FLEET_AT_MOST_ONCE:
      return false;
    case FLEET_STREAM:
      return r->route->resumable;
    }
  return false;
}

/*
 * A key may have been revoked while this VM was cut off from the platform or
 * suspended.  Once the configuration is older than the limit, requests that
 * need a key are refused as not run, since a revoked key must not be accepted.
 */
bool
relay_is_stale (const struct relay *r, int64_t now_us)
{
  const struct relays_opts *o = &r->rs->opts;

  return !r->route->anonymous
         && fleet_conf_age_us (o->fleet, now_us) > o->key_max_age_us;
}

/* The configuration may have changed since the request was read.  The endpoint
   gets the name of the workspace that the request had then, or none, so the
   present configuration must give the key to the same workspace. */
bool
relay_is_key_revoked (const struct relay *r)
{
  const struct fleet_conf *now = r->rs->opts.fleet->conf;
  const struct fleet_workspace *w;

  if (r->route->anonymous || now == r->conf || !now->requires_keys)
    return false;
  w = fleet_workspace_find (now, r->desc.key);
  return w == NULL || r->workspace == NULL
         || strcmp (w->name, r->workspace->name) != 0
         || w->isolated != r->workspace->isolated;
}

bool
relay_has_no_path (const struct relay *r)
{
  return r->desc.forwarded && !r->may_have_run
         && relayreach_is_isolated (r->rs->reach, r->service);
}

/* --- events ---------------------------------------------------------- */

/* Which attempt an event that is not allowed belongs to is not known, so the
   request counts as run, and no attempt follows. */
bool
relay_apply_event (struct relay *r, enum relay_event event)
{
  if (relay_state_next (r->state, event, &r->state))
    return true;
  log_event (LOG_LEVEL_ERROR, "event_rejected", "req=%s state=%s event=%s",
             r->desc.id, relay_state_name (r->state),
             relay_event_name (event));
  met_add (MET_EVENTS_REJECTED, 1);
  r->may_have_run = true;
  r->event_rejected = true;
  r->stop_reason = RELAY_STOP_REJECTED;
  return false;
}

/* --- end of a request ------------------------------------------------ */

void
relay_drop_answer (struct relay *r)
{
  r->rs->answer_bytes -= r->answer->len;
  g_string_truncate (r->answer, 0);
}

void
relay_free (struct relay *r)
{
  int i;

  for (i = 0; i < r->ntried; i++)
    fleet_endpoint_unref (r->tried[i]);
  sse_clear (&r->events);
  relay_drop_answer (r);
  g_string_free (r->answer, TRUE);
  g_strfreev (r->lines);
  g_free (r->stream_type);
  fleet_conf_unref (r->conf);
  g_free (r);
}

void
relay_release_endpoint (struct relay *r, int64_t now_us)
{
  if (r->endpoint == NULL)
    return;
  relay_prefill_done (r, now_us);
  pick_request_ended (r->endpoint);
  brittle_left (&r->endpoint->brittle, r->endpoint->running, now_us);
  fleet_endpoint_unref (r->endpoint);
  r->endpoint = NULL;
  if (r->rs->nwaiting > 0)
    loop_arm (r->rs->opts.loop, &r->rs->room, now_us);
  relay_notify_work (r, now_us);
}

static const char *
reply_name (enum relay_reply reply)
{
  static const char *const names[] = {
    [RELAY_REPLY_NONE] = "none",
    [RELAY_REPLY_REFUSED] = "refused",
    [RELAY_REPLY_ANSWER] = "answer",
    [RELAY_REPLY_STREAM] = "stream",
    [RELAY_REPLY_STREAM_ENDED] = "stream_ended",
    [RELAY_REPLY_STREAM_BROKEN] = "stream_broken",
  };
  return names[reply];
}

/* How the end of the last answer is found. */
static const char *
delimiter_name (const struct relay *r)
{
  if (r->status == 0)
    return "-";
  return r->ends_with_connection ? "connection" : "message";
}

static void
end_request (struct relay *r, enum outcome outcome, const char *reason,
             int64_t now_us)
{
  static const enum met_id ids[] = {
    [OUT_ANSWERED] = MET_ANSWERED,
    [OUT_NOT_RUN] = MET_NOT_RUN,
    [OUT_UNKNOWN] = MET_UNKNOWN,
    [OUT_FAILED] = MET_FAILED,
  };

  met_add (ids[outcome], 1);
  met_add (MET_RUNNING, -1);
  if (outcome == OUT_ANSWERED)
    met_observe (MET_TOTAL_TIME, now_us - r->arrived_us);
  if (r->gap_us > 0)
    met_observe (MET_EVENT_GAP, r->gap_us);
  log_event (
      LOG_LEVEL_INFO, "finish",
      "req=%s route=%s outcome=%s reason=%s reply=%s status=%d attempts=%d "
      "unsent=%d handed_us=%" G_GINT64_FORMAT " first_us=%" G_GINT64_FORMAT
      " whole_us=%" G_GINT64_FORMAT " gap_us=%" G_GINT64_FORMAT
      " last_id=%" G_GINT64_FORMAT
      " cut_bytes=%zu repeated=%d unnumbered=%d delimiter=%s",
      r->desc.id, r->route->name, out_name (outcome), reason,
      reply_name (r->reply), r->status, r->attempts, r->unsent,
      (gint64)(r->handed_over_us ? r->handed_over_us - r->arrived_us : 0),
      (gint64)(r->first_chunk_us ? r->first_chunk_us - r->arrived_us : 0),
      (gint64)(now_us - r->arrived_us), (gint64)r->gap_us,
      (gint64)r->events.last_id, r->events.partial->len, r->events.repeated,
      r->events.unnumbered, delimiter_name (r));
  met_add (MET_EVENTS_REPEATED, r->events.repeated);
  if (r->reply == RELAY_REPLY_STREAM_ENDED && r->ends_with_connection)
    met_add (MET_STREAMS_UNDELIMITED, 1);
  relay_release_endpoint (r, now_us);
  relay_forget_end (r);
  if (r->question.waiting)
    originfeed_cancel (r->rs->opts.origins, &r->question);
  if (r->check.waiting)
    buildcheck_cancel (r->rs->opts.builds, &r->check);
  APR_RING_REMOVE (r, link);
  r->rs->count--;
  if (!r->unpause_posted)
    relay_free (r);
}

void
relay_finish (struct relay *r, enum outcome outcome, const char *reason,
              int64_t now_us)
{
  if (relay_apply_event (r, RELAY_FINISH))
    {
      end_request (r, outcome, reason, now_us);
      return;
    }
  /* The caller has its answer already. */
  if (r->state != RELAY_ENDED)
    r->desc.caller = NULL;
  relay_abort (r, now_us);
}

static void
refuse (struct relay *r, enum relay_refusal why, int64_t retry_after_us)
{
  if (r->desc.caller == NULL)
    return;
  r->reply = RELAY_REPLY_REFUSED;
  r->desc.caller->refuse (r->desc.arg, why, retry_after_us);
}

void
relay_end_stream (struct relay *r, bool whole)
{
  if (r->desc.caller == NULL)
    return;
  r->reply = whole ? RELAY_REPLY_STREAM_ENDED : RELAY_REPLY_STREAM_BROKEN;
  r->desc.caller->end (r->desc.arg, whole);
}

/* The caller is answered at once, and "not run" only for OUT_NOT_RUN. */
void
relay_give_up (struct relay *r, enum outcome outcome, const char *reason,
               int64_t retry_after_us, int64_t now_us)
{
  enum relay_refusal why = RELAY_UNKNOWN;

  if (!relay_apply_event (r, RELAY_GIVE_UP))
    {
      relay_abort (r, now_us);
      return;
    }
  if (outcome == OUT_NOT_RUN && r->no_build)
    why = RELAY_NO_BUILD;
  else if (outcome == OUT_NOT_RUN)
    why = relay_has_no_path (r) || r->no_share ? RELAY_NO_PATH : RELAY_NOT_RUN;
  else if (now_us >= r->deadline_us)
    why = RELAY_TIMED_OUT;
  if (r->stream_begun)
    relay_end_stream (r, false);
  else
    refuse (r, why, retry_after_us);
  end_request (r, outcome, reason, now_us);
}

void
relay_abort (struct relay *r, int64_t now_us)
{
  const struct relay_engine *e = &r->rs->opts.engine;

  if (r->state == RELAY_ENDED)
    return;
  if (r->call != NULL)
    e->cancel (e->ctx, r->call);
  r->call = NULL;
  r->state = RELAY_RECEIVED;
  relay_give_up (r, out_abandoned (true, relay_is_repeatable (r)),
                 RELAY_STOP_REJECTED, 0, now_us);
}
