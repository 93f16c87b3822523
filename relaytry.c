/* The relay: attempts at requests, and what follows each of them. */
#include "librelay.h"

#include <string.h>

#include "log.h"
#include "met.h"

/* Attempts of which no byte left do not count against the route's limit.
   More than this many mean that further attempts are of no use. */
#define UNSENT_ATTEMPTS_MAX 4
/* Other VMs are asked for their paths this long after connections failed. */
#define DOUBT_ASK_US (300 * CQ_US_PER_MS)
/* Reasons to stop an attempt that concern only its endpoint: another endpoint
   may take the request. */
#define STOP_NOT_GENUINE "not_genuine"
#define STOP_ENDPOINT_LEFT "endpoint_left"
#define STOP_LIST_STALE "list_stale"
#define STOP_DOMAIN_EVACUATED "domain_evacuated"
#define STOP_WEIGHTS_OUTDATED "weights_outdated"
#define STOP_ENDPOINT_COLD "endpoint_cold"
#define STOP_ENDPOINT_LIMITED "endpoint_limited"
#define STOP_ENDPOINT_BRITTLE "endpoint_brittle"
#define STOP_ENDPOINT_BACKOFF "endpoint_resting"

static int64_t
retry_after (struct relay *r, int64_t us)
{
  return us + (int64_t)(relay_random (r->rs) % (uint64_t)RETRY_JITTER_US);
}

/* Give up since no endpoint can take another attempt. */
static void
give_up_unplaced (struct relay *r, const char *reason, int64_t wait_us,
                  int64_t now_us)
{
  relay_give_up (r, out_abandoned (r->may_have_run, relay_is_repeatable (r)),
                 reason, retry_after (r, wait_us), now_us);
}

/*
 * The same request ran before under other ids, and crashed the endpoints that
 * it ran at.  "Not run" would be wrong, and a later retry would not help, so
 * the caller is told at once that the request failed.
 */
static void
give_up_crashing (struct relay *r, int64_t now_us)
{
  relay_give_up (r, out_abandoned (true, relay_is_repeatable (r)),
                 "crashes_endpoints", 0, now_us);
}

/* --- attempts -------------------------------------------------------- */

/* Whether the endpoint's weights have been outdated for at least LIMIT_US;
   false if LIMIT_US is 0, which means no limit. */
static bool
is_outdated (const struct relay *r, int64_t limit_us, int64_t now_us)
{
  return limit_us > 0
         && fleet_is_outdated_for (r->rs->opts.fleet, r->endpoint, limit_us,
                                   now_us);
}

/* Evidence of other VMs may have arrived since the endpoint was chosen. */
static void
recheck_quarantine (struct relay *r, int64_t now_us)
{
  switch (relay_check_quarantine (r, now_us))
    {
    case RELAY_QUAR_PASS:
      break;
    case RELAY_QUAR_DEFER:
      r->stop_reason = "suspect";
      break;
    case RELAY_QUAR_REFUSE:
      /* It ran under other ids, so the caller must not be told "not run". */
      r->may_have_run = true;
      r->stop_reason = "crashes_endpoints";
      break;
    }
}

static bool
before_send (void *arg)
{
  struct relay *r = arg;
  int64_t now = loop_now_us ();

  /* Not allowed; the checks below need an attempt that is placed. */
  if (r->state != RELAY_PLACED)
    return relay_apply_event (r, RELAY_HAND_OVER);
  relayreach_connected (r->rs->reach, r->endpoint, r->sent_us, now);
  if (r->stop_reason == NULL)
    r->stop_reason = relay_send_obstacle (r, now);
  if (r->stop_reason != NULL)
    return false;
  if (r->endpoint->draining || r->endpoint->removed
      || fleet_lacks_model (r->rs->opts.fleet, r->endpoint))
    r->stop_reason = STOP_ENDPOINT_LEFT;
  else if (!r->stream_begun && !fleet_is_list_known (r->rs->opts.fleet, now))
    r->stop_reason = STOP_LIST_STALE;
  else if (fleet_is_evacuated (r->rs->opts.fleet, r->endpoint->listing.domain))
    r->stop_reason = STOP_DOMAIN_EVACUATED;
  else if (is_outdated (r, r->rs->opts.fleet->outdated_accept_us, now))
    r->stop_reason = STOP_WEIGHTS_OUTDATED;
  else if (cold_is (&r->endpoint->cold, now)
           && !pace_may_send (&r->endpoint->cold.pace, now))
    r->stop_reason = STOP_ENDPOINT_COLD;
  else if (!limit_may_send (&r->endpoint->limit, now))
    r->stop_reason = STOP_ENDPOINT_LIMITED;
  else if (pick_is_backoff_requested (r->endpoint, now))
    r->stop_reason = STOP_ENDPOINT_BACKOFF;
  else if (!fleet_take_brittle (r->rs->opts.fleet, r->endpoint, r->sent_us,
                                now))
    r->stop_reason = STOP_ENDPOINT_BRITTLE;
  else
    recheck_quarantine (r, now);
  if (r->stop_reason != NULL || !relay_apply_event (r, RELAY_HAND_OVER))
    return false;
  if (cold_is (&r->endpoint->cold, now))
    pace_sent (&r->endpoint->cold.pace, now);
  pace_sent (&r->endpoint->limit.pace, now);
  if (r->endpoint->missing_since_us != 0)
    met_add (MET_SENT_MISSING, 1);
  if (r->rs->opts.fleet->list_current_us != 0)
    met_observe (MET_LIST_AGE, fleet_list_age_us (r->rs->opts.fleet, now));
  relay_handed_over (r, now);
  return true;
}

/*
 * Apply what an answer says of its endpoint's weights, which held at some time
 * after the attempt was sent.  An answer of another incarnation at the
 * address, or one to another request, says nothing of this endpoint.
 */
static void
apply_version (struct relay *r, const struct relay_head *head, int64_t now_us)
{
  if (head->other_incarnation || !(head->genuine || head->not_run))
    return;
  if (head->version > 0)
    fleet_apply_version (r->endpoint, head->version, r->sent_us, now_us);
  else if (head->other_weights && r->sent_us > r->endpoint->version_us)
    fleet_doubt_version (r->endpoint);
}

/*
 * An answer of another incarnation says nothing of this endpoint.  The answer
 * to a request that ran carries all notices; one that refuses the request, or
 * belongs to another request, may lack some.
 */
static void
apply_notice (struct relay *r, const struct relay_head *head, int64_t now_us)
{
  struct notice_origin from = { .source = "answer", .sent_us = r->sent_us };

  if (head->other_incarnation)
    return;
  from.has_all_notices = head->genuine && !head->not_run;
  notice_apply (r->endpoint, &head->notice, &from, now_us);
}

static void
apply_speed (struct relay *r, const struct relay_head *head, int64_t now_us)
{
  if (!head->other_incarnation && (head->genuine || head->not_run))
    speed_add (&r->endpoint->speed, head->speed_percent, now_us);
}

static bool
on_head (void *arg, const struct relay_head *head)
{
  struct relay *r = arg;
  int64_t now = loop_now_us ();

  if (!relay_apply_event (r, RELAY_HEAD))
    return false;
  r->status = head->status;
  r->not_run = head->not_run;
  r->reported_running = head->running;
  r->reported_waiting = head->waiting;
  if (head->running >= 0)
    pick_load_reported (r->endpoint, head->running + head->waiting, now);
  r->other_incarnation = head->other_incarnation;
  if (!head->not_run && r->endpoint->brittle.applies)
    brittle_accepted (&r->endpoint->brittle, r->endpoint->running,
                      head->waiting, now);
  relay_observe_head (r, head, now);
  if (r->rs->health != NULL && !head->other_incarnation
      && (head->genuine || head->not_run))
    relayhealth_answered (r->rs->health, r->endpoint, head->running,
                          head->waiting, r->connected_us, now);
  apply_version (r, head, now);
  apply_notice (r, head, now);
  apply_speed (r, head, now);
  /* That incarnation has ended, so the attempt reached no endpoint of the
     service and is not counted. */
  if (head->other_incarnation)
    {
      fleet_apply_draining (r->endpoint);
      r->attempts--;
    }
  /* An answer without the endpoint's seal, or to another request, must not
     reach the caller. */
  if (!head->not_run && !head->genuine)
    {
      r->stop_reason = STOP_NOT_GENUINE;
      return false;
    }
  /* Its endpoint started again under its id, with another build. */
  if (!head->not_run && r->build_key != 0
      && fleet_build_of (r->rs->opts.fleet, r->endpoint) != r->build_key)
    {
      r->stop_reason = "build_changed";
      return false;
    }
  r->streaming = relay_is_stream (r, head);
  r->ends_with_connection = head->ends_with_connection;
  g_strfreev (r->lines);
  r->lines = g_strdupv (head->lines);
  return true;
}

/* Whether a stop reason concerns only the endpoint, so that another one may
   take the request. */
static bool
is_endpoint_reason (const char *reason)
{
  static const char *const reasons[]
      = { STOP_LIST_STALE,       STOP_ENDPOINT_LEFT,   STOP_DOMAIN_EVACUATED,
          STOP_WEIGHTS_OUTDATED, STOP_ENDPOINT_COLD,   STOP_ENDPOINT_LIMITED,
          STOP_ENDPOINT_BRITTLE, STOP_ENDPOINT_BACKOFF };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (reasons); i++)
    if (strcmp (reason, reasons[i]) == 0)
      return true;
  return false;
}

static bool
may_attempt_again (const struct relay *r, enum send_state sent)
{
  bool final = r->stop_reason != NULL && !is_endpoint_reason (r->stop_reason);

  if (r->event_rejected)
    return false;
  /* The attempt that has just ended takes an entry of tried as well. */
  if (r->ntried + 1 >= PICK_EXCLUDE_MAX)
    return false;
  /* Whether it crashed its endpoint is known only some ms later. */
  if (r->is_suspect && sent != SEND_NONE && sent != SEND_REFUSED)
    return false;
  if (sent == SEND_NONE)
    return !final && r->unsent < UNSENT_ATTEMPTS_MAX;
  return r->attempts < r->route->max_attempts;
}

/* The retry budget is charged only if an endpoint would see a retry. */
static struct out_verdict
decide_with_budget (struct relay *r, enum send_state sent, int64_t now_us)
{
  struct out_verdict v
      = relay_decide (r, sent, may_attempt_again (r, sent), now_us);

  if (v.next == NEXT_FINISH || (sent == SEND_NONE && r->attempts == 0))
    return v;
  if (!budget_spend (&r->service_state->budget))
    return relay_decide (r, sent, false, now_us);
  return v;
}

static enum load_seen
failure_seen (const struct relay *r, enum send_state sent)
{
  if (r->connection_refused)
    return LOAD_SEEN_REFUSED;
  return sent == SEND_NONE ? LOAD_SEEN_UNREACHABLE : LOAD_SEEN_FAILED;
}

/* Whether an attempt was stopped because of what the endpoint sent. */
static bool
is_endpoint_fault (const char *reason)
{
  return strcmp (reason, STOP_NOT_GENUINE) == 0
         || strcmp (reason, RELAY_STOP_ANSWER_TOO_LARGE) == 0
         || strcmp (reason, RELAY_STOP_EVENT_TOO_LARGE) == 0;
}

static void
report_to_pick (struct relay *r, enum send_state sent, int64_t now_us)
{
  struct fleet_endpoint *e = r->endpoint;

  if (sent == SEND_COMPLETE)
    pick_request_succeeded (e);
  else if (sent == SEND_REFUSED)
    {
      pick_overload_refused (e, now_us);
      if (r->status == 503 || r->status == 429)
        fleet_brittle_refused (r->rs->opts.fleet, e, now_us);
    }
  else if (r->stop_reason != NULL && !is_endpoint_fault (r->stop_reason)
           && !r->connection_refused)
    return;
  else if (r->rs->health != NULL)
    relayhealth_failed (r->rs->health, &r->connecting, failure_seen (r, sent),
                        now_us);
  else if (r->connection_refused)
    {
      pick_connection_refused (e, now_us);
      brittle_crashed (&e->brittle);
    }
  else
    pick_request_failed (e, now_us);
}

/* The same request may return under other ids and at other VMs.  Only its
   digest shows in the logs that one request was at several endpoints that
   crashed. */
static void
log_attempt (struct relay *r, enum send_state sent,
             const struct out_verdict *v, const char *reason,
             const char *error, int64_t now_us)
{
  char text[REQID_TEXT_SIZE] = "-";

  if (sent == SEND_PARTIAL || sent == SEND_REPLIED)
    reqid_text (relay_identity (r), text);
  log_event (LOG_LEVEL_INFO, "attempt_end",
             "req=%s endpoint=%s attempt=%d sent=%s status=%d next=%s "
             "reason=%s took_us=%" G_GINT64_FORMAT " last_id=%" G_GINT64_FORMAT
             " cut_bytes=%zu digest=%s error=\"%s\"",
             r->desc.id, r->endpoint->listing.id, r->attempts,
             out_send_name (sent), r->status, out_next_name (v->next), reason,
             (gint64)(now_us - r->sent_us), (gint64)r->events.last_id,
             r->events.partial->len, text, error);
  if (r->events.partial->len > 0)
    met_add (MET_EVENTS_CUT, 1);
}

static void
remember_tried (struct relay *r)
{
  g_assert (r->ntried < PICK_EXCLUDE_MAX);
  r->tried[r->ntried++] = fleet_endpoint_ref (r->endpoint);
}

/* Decide what follows an attempt that has ended. */
static void
end_attempt (struct relay *r, enum send_state sent, const char *error,
             int64_t now_us)
{
  struct out_verdict v = decide_with_budget (r, sent, now_us);
  const char *reason = r->stop_reason != NULL ? r->stop_reason : v.reason;

  if (!v.passes_answer)
    log_attempt (r, sent, &v, reason, error, now_us);
  report_to_pick (r, sent, now_us);
  relay_observe_end (r, sent, now_us);
  relay_record_evidence (r, sent, now_us);
  if (sent == SEND_NONE)
    r->unsent++;
  else if (sent != SEND_REFUSED)
    r->may_have_run = true;
  remember_tried (r);
  relay_release_endpoint (r, now_us);
  if (v.passes_answer)
    relay_pass_answer (r, v.outcome, v.reason, now_us);
  else if (v.next == NEXT_FINISH)
    relay_give_up (r, v.outcome, reason,
                   retry_after (r, RETRY_AFTER_FAILURE_US), now_us);
  else
    {
      met_add (v.next == NEXT_RESUME ? MET_RESUMES : MET_RETRIES, 1);
      relay_place (r, now_us);
    }
}

static const char *
end_error (const struct relay_end *end, bool whole)
{
  return end->whole && !whole ? "empty stream without a length" : end->error;
}

static void
attempt_ended (struct relay *r, const struct relay_end *end, int64_t now_us)
{
  bool whole = relay_is_whole (r, end);
  enum send_state sent = relay_send_state (r, whole);

  if (!relay_apply_event (r, RELAY_ATTEMPT_ENDED))
    return;
  /* Without a reason of this VM's, no connection was established. */
  if (sent == SEND_NONE && r->stop_reason == NULL)
    {
      relayreach_failed (r->rs->reach, r->endpoint, r->sent_us, now_us);
      if (relayreach_is_doubtful (r->rs->reach, r->service)
          && !r->desc.forwarded)
        relayvms_want (r->rs->vms, r->service, DOUBT_ASK_US, now_us);
    }
  r->call = NULL;
  r->connection_refused = end->connection_refused;
  if (r->rs->health != NULL && end->connect_us > 0)
    relayhealth_connected (r->rs->health, r->endpoint, end->connect_us,
                           now_us);
  end_attempt (r, sent, end_error (end, whole), now_us);
}

static void
on_end (void *arg, const struct relay_end *end)
{
  struct relay *r = arg;
  int64_t now = loop_now_us ();

  if (!relay_is_end_doubtful (r, end))
    {
      attempt_ended (r, end, now);
      return;
    }
  r->call = NULL;
  relay_confirm_end (r, end, attempt_ended, now);
}

static void
end_forward (struct relay *r, enum send_state sent, const char *error,
             int64_t now_us)
{
  if (relay_forward_ended (r, sent, error, now_us))
    relay_place (r, now_us);
}

static void
on_vm_end (void *arg, const struct relay_end *end)
{
  struct relay *r = arg;
  bool whole = relay_is_whole (r, end);
  enum send_state sent = relay_send_state (r, whole);

  if (!relay_apply_event (r, RELAY_ATTEMPT_ENDED))
    return;
  r->call = NULL;
  end_forward (r, sent, end_error (end, whole), loop_now_us ());
}

static const struct relay_events vm_events = {
  .before_send = relay_forward_before_send,
  .head = relay_forward_head,
  .body = relay_on_body,
  .end = on_vm_end,
};

static const struct relay_events events = {
  .before_send = before_send,
  .head = on_head,
  .body = relay_on_body,
  .end = on_end,
};

/*
 * Cached KV may be reused only under the weights that computed it and within
 * its cache group.  Both are part of the scope's name, so no other request can
 * find it, whatever an endpoint still holds.  The request may have waited
 * while a newer configuration isolated a workspace.
 */
static void
set_cache_scope (struct relay *r, const struct pick_choice *c)
{
  parts_scope_name (r->cache_scope, c->endpoint->listing.model, c->version,
                    relay_cache_group (r, r->rs->opts.fleet->conf));
}

static struct fleet_region_limits
region_limits_of (const struct relay *r)
{
  struct fleet_region_limits h
      = { .route = (const char *const *)r->route->allowed_regions };

  if (r->workspace != NULL)
    h.workspace = (const char *const *)r->workspace->allowed_regions;
  return h;
}

/* Plan which parts the endpoint fetches from stores and saves there. */
static void
plan_kept_parts (struct relay *r, const struct pick_choice *c, int64_t now_us)
{
  const struct relays_opts *o = &r->rs->opts;

  const struct fleet_announced_version *newer
      = fleet_outdated_by (o->fleet, c->endpoint);
  struct parts_query q = { .scope = r->cache_scope, .list = r->desc.parts };

  memset (&r->plan, 0, sizeof r->plan);
  if (o->parts == NULL || !r->route->sticky)
    return;
  q.nparts = r->desc.nparts;
  q.domain = c->endpoint->listing.domain;
  q.weights_fresh_us = o->fleet->conf_current_us;
  q.outdated = newer != NULL;
  q.outdated_since_us
      = MAX (fleet_earliest_outdated_us (o->fleet, c->endpoint), 0);
  q.wait_us = c->wait_us;
  q.fleet = o->fleet;
  q.homes = region_limits_of (r);
  parts_plan (o->parts, &q, now_us, &r->plan);
}

/* Longest time for which newer weights may have been named, 0 if there are
   none, -1 if that is not known. */
static int64_t
newer_named_for_us (const struct fleet *f, const struct fleet_endpoint *e,
                    int64_t now_us)
{
  int64_t since = fleet_earliest_outdated_us (f, e);

  if (fleet_outdated_by (f, e) == NULL)
    return 0;
  return since != FLEET_NEVER ? now_us - since : -1;
}

/*
 * Time that the endpoint may work on the request.  With outdated weights it
 * ends when nothing may start on them any more: a VM that is suspended, killed
 * or disconnected cannot cancel what is queued there, and it would start
 * later.  This also cuts off requests that started in time but have not ended
 * by then; they were sent three seconds before, and most take one second.
 */
static int64_t
attempt_timeout_us (const struct relay *r, int64_t now_us)
{
  const struct fleet *f = r->rs->opts.fleet;
  int64_t since = fleet_earliest_outdated_us (f, r->endpoint);
  int64_t left = r->deadline_us - now_us;

  if (f->outdated_start_us == 0 || r->route->kind != FLEET_STREAM
      || fleet_outdated_by (f, r->endpoint) == NULL || since == FLEET_NEVER)
    return left;
  return MIN (left, since + f->outdated_start_us - now_us);
}

static void
send_attempt (struct relay *r, const struct pick_choice *c, int64_t now_us)
{
  const struct relays_opts *o = &r->rs->opts;
  bool model = c->endpoint->listing.model[0] != '\0';
  const struct fleet_announced_version *newer
      = fleet_outdated_by (o->fleet, c->endpoint);
  struct relay_attempt s = { .desc = &r->desc, .endpoint = c->endpoint };

  if (!relay_apply_event (r, RELAY_SEND))
    {
      relay_abort (r, now_us);
      return;
    }
  r->endpoint = fleet_endpoint_ref (c->endpoint);
  pick_request_sent (r->endpoint);
  if (cold_is (&r->endpoint->cold, now_us))
    pace_placed (&r->endpoint->cold.pace, now_us);
  pace_placed (&r->endpoint->limit.pace, now_us);
  fleet_brittle_placed (r->rs->opts.fleet, r->endpoint, now_us);
  r->is_prefilling = true;
  r->pending_prefill_tokens = c->pending_prefill_tokens;
  r->shared_pending_prefill_tokens
      = c->has_part ? 0 : r->work.shared_tokens - r->work.stored_tokens;
  relay_reset_attempt (r, now_us);
  if (model)
    {
      set_cache_scope (r, c);
      plan_kept_parts (r, c, now_us);
    }
  s.workspace = r->workspace != NULL ? r->workspace->name : NULL;
  s.cache_scope = model ? r->cache_scope : NULL;
  s.plan = model && r->plan.nfetch + r->plan.nsave > 0 ? &r->plan : NULL;
  s.version = model ? c->version : 0;
  s.priority = relay_priority (r);
  s.timeout_us = attempt_timeout_us (r, now_us);
  s.resume_after = r->stream_begun ? r->events.last_id : r->desc.resume_after;
  if (r->rs->health != NULL)
    {
      r->connecting = (struct relayhealth_attempt){ .endpoint = r->endpoint,
                                                    .started_us = now_us };
      relayhealth_start (r->rs->health, &r->connecting,
                         r->route->target_latency_us);
      s.connect_timeout_us = r->connecting.timeout_us;
    }

  met_add (MET_ATTEMPTS, 1);
  if (c->slow > 0)
    met_add (MET_SLOW_AVOIDED, 1);
  log_event (
      LOG_LEVEL_INFO, "send",
      "req=%s route=%s endpoint=%s build=%s after=%" G_GINT64_FORMAT
      " resumes=%s load=%d candidates=%d over_bound=%d "
      "ahead=%" G_GINT64_FORMAT " held=%" G_GINT64_FORMAT " "
      "wait_us=%" G_GINT64_FORMAT
      " fetch=%d save=%d fetch_tokens=%" G_GINT64_FORMAT
      " version=%" G_GINT64_FORMAT " newer=%" G_GINT64_FORMAT
      " newer_us=%" G_GINT64_FORMAT " limit_milli=%" G_GINT64_FORMAT
      " brittle=%" G_GINT64_FORMAT " tokens=%d"
      " left_us=%" G_GINT64_FORMAT " conf=%" G_GINT64_FORMAT
      " conf_age_us=%" G_GINT64_FORMAT " list_age_us=%" G_GINT64_FORMAT
      " missing_us=%" G_GINT64_FORMAT
      " slow=%d speed=%d speed_age_us=%" G_GINT64_FORMAT,
      r->desc.id, r->route->name, c->endpoint->listing.id,
      c->endpoint->listing.build, (gint64)s.resume_after,
      r->desc.resumes != NULL ? r->desc.resumes : "-", c->load, c->candidates,
      c->over_bound, (gint64)c->pending_prefill_tokens, (gint64)c->kv_tokens,
      (gint64)c->wait_us, r->plan.nfetch, r->plan.nsave,
      (gint64)r->plan.fetch_tokens, (gint64)s.version,
      (gint64)(newer != NULL ? newer->version : 0),
      (gint64)newer_named_for_us (o->fleet, c->endpoint, now_us),
      (gint64)(r->endpoint->limit.active ? r->endpoint->limit.milli_rps : -1),
      (gint64)(r->endpoint->brittle.applies ? r->endpoint->brittle.applied
                                            : -1),
      r->endpoint->brittle.share, (gint64)s.timeout_us,
      (gint64)r->conf->version, (gint64)fleet_conf_age_us (o->fleet, now_us),
      (gint64)fleet_list_age_us (o->fleet, now_us),
      (gint64)fleet_missing_us (r->endpoint, now_us), c->slow,
      c->speed_percent,
      (gint64)(r->endpoint->speed.percent > 0
                   ? now_us - r->endpoint->speed.seen_us
                   : -1));
  relay_notify_work (r, now_us);
  r->call = o->engine.send (o->engine.ctx, &s, &events, r);
}

/* Refuse at random the share of requests that cannot be admitted. */
static bool
is_refused_for_load (struct relay *r, const struct pick_choice *c,
                     int64_t now_us)
{
  int keep = relay_admit_permille (r, c, now_us);

  if (keep >= CQ_PERMILLE || (int)(relay_random (r->rs) % CQ_PERMILLE) < keep)
    return false;
  relay_log_too_late (r, c, keep, now_us);
  return true;
}

static void
refuse_overload (struct relay *r, int64_t now_us)
{
  int64_t wait = relay_overload_retry_us (r, relay_random (r->rs), now_us);

  met_add (MET_OVERLOAD, 1);
  relay_give_up (r, out_abandoned (r->may_have_run, relay_is_repeatable (r)),
                 "too_late", wait, now_us);
}

static void
count_unplaced_reason (enum pick_code code)
{
  if (code == PICK_COLD)
    met_add (MET_REFUSED_COLD, 1);
  else if (code == PICK_LIMITED)
    met_add (MET_REFUSED_LIMITED, 1);
  else if (code == PICK_BRITTLE)
    met_add (MET_REFUSED_BRITTLE, 1);
  else if (code == PICK_BACKOFF)
    met_add (MET_REFUSED_BACKOFF, 1);
  else if (code == PICK_EVACUATED)
    met_add (MET_REFUSED_EVACUATED, 1);
  else if (code == PICK_REGION_NOT_ALLOWED)
    met_add (MET_REFUSED_REGION, 1);
}

/* Shares are the same for all VMs, whatever their callers ask for. */
static bool
is_share_used (enum pick_code code)
{
  return code == PICK_LIMITED || code == PICK_COLD;
}

/* After no endpoint was chosen.  A VM that owns none of the brittle endpoints
   has nothing to wait for. */
static bool
wait_or_forward (struct relay *r, enum pick_code code, int64_t now_us)
{
  if (is_share_used (code))
    return relay_forward_for_share (r, &vm_events, now_us);
  if (code != PICK_BRITTLE)
    return false;
  if (fleet_owns_brittle (r->rs->opts.fleet, r->service, now_us)
      && relay_wait_for_room (r, now_us))
    return true;
  return relay_forward_to_owner (r, &vm_events, now_us)
         || relay_wait_for_room (r, now_us);
}

void
relay_place (struct relay *r, int64_t now_us)
{
  const struct relays_opts *o = &r->rs->opts;
  struct pick_query q = { .service = r->service, .domain = o->domain };
  struct pick_choice c;

  if (r->event_rejected || !relay_apply_event (r, RELAY_PLACE))
    {
      relay_abort (r, now_us);
      return;
    }
  if (relay_is_stale (r, now_us))
    {
      give_up_unplaced (r, "settings_stale", RETRY_AFTER_STALE_US, now_us);
      return;
    }
  /* The caller of a stream has a part of it already. */
  if (!r->stream_begun && !fleet_is_list_known (o->fleet, now_us))
    {
      if (!relay_wait_for_room (r, now_us))
        give_up_unplaced (r, STOP_LIST_STALE, RETRY_AFTER_STALE_US, now_us);
      return;
    }
  switch (relay_check_quarantine (r, now_us))
    {
    case RELAY_QUAR_PASS:
      break;
    case RELAY_QUAR_DEFER:
      give_up_unplaced (r, "suspect", RETRY_AFTER_FAILURE_US, now_us);
      return;
    case RELAY_QUAR_REFUSE:
      give_up_crashing (r, now_us);
      return;
    }
  if (r->stream_begun && r->build_key == 0)
    {
      give_up_unplaced (r, "build_unknown", 0, now_us);
      return;
    }
  if (relay_forward (r, &vm_events, now_us))
    return;
  if (relay_has_no_path (r))
    {
      relay_give_up (r, OUT_NOT_RUN, "no_path", 0, now_us);
      return;
    }
  q.affinity = r->route->sticky ? relay_affinity (&r->desc) : NULL;
  memcpy (q.exclude, r->tried, sizeof q.exclude);
  q.nexclude = r->ntried;
  q.homes = region_limits_of (r);
  q.build_key = r->build_key;
  q.random = relay_random (r->rs);
  relay_estimate_work (r, now_us);
  q.work = r->work;
  q.loads = o->loads;
  q.by_reports = o->share_reports;
  q.target_latency_us = r->route->target_latency_us;
  fleet_refresh_rate_shares (o->fleet, now_us);
  if (r->rs->health != NULL)
    relayhealth_refresh (r->rs->health, now_us);
  c = pick_endpoint (o->fleet, &q, now_us);
  if (c.code == PICK_CHOSEN && is_refused_for_load (r, &c, now_us))
    refuse_overload (r, now_us);
  else if (c.code == PICK_CHOSEN)
    {
      relay_admitted (r, now_us);
      send_attempt (r, &c, now_us);
    }
  else if (wait_or_forward (r, c.code, now_us))
    return;
  else if (c.code == PICK_NO_BUILD)
    relay_give_up_no_build (r, now_us);
  else
    {
      count_unplaced_reason (c.code);
      r->no_share = r->desc.forwarded && is_share_used (c.code);
      give_up_unplaced (r, pick_code_name (c.code),
                        MAX (c.backoff_us, RETRY_AFTER_FAILURE_US), now_us);
    }
}

/* Cancel the attempt, and decide what follows. */
static void
cancel_attempt (struct relay *r, enum relay_event event, const char *reason,
                int64_t now_us)
{
  const struct relay_engine *e = &r->rs->opts.engine;
  enum send_state sent = relay_send_state (r, false);

  if (!relay_apply_event (r, event))
    {
      relay_abort (r, now_us);
      return;
    }
  if (r->call != NULL)
    e->cancel (e->ctx, r->call);
  r->call = NULL;
  relay_forget_end (r);
  r->stop_reason = reason;
  if (r->forwarding)
    end_forward (r, sent, "", now_us);
  else
    end_attempt (r, sent, "", now_us);
}

void
relay_time_out (struct relay *r, int64_t now_us)
{
  if (r->state == RELAY_ASKING)
    {
      relay_take_up_timed_out (r, now_us);
      return;
    }
  if (r->state == RELAY_WAITING)
    {
      relay_stop_waiting (r);
      relay_apply_event (r, RELAY_DEADLINE);
      give_up_unplaced (r, "deadline", 0, now_us);
      return;
    }
  cancel_attempt (r, RELAY_DEADLINE, "deadline", now_us);
}

/*
 * A request that was sent while outdated weights still accepted work may be
 * queued at a busy endpoint for longer than the margin left for that.  It
 * would start when answers by these weights are no longer allowed.  Endpoints
 * drop a queued request when its connection closes, so after a cancel it never
 * starts.  A call that is not streamed sends nothing while it runs, so it
 * cannot be told from a queued one and is not cancelled.
 */
bool
relay_waits_too_long (const struct relay *r, int64_t now_us)
{
  return r->call != NULL && r->endpoint != NULL && !r->has_body
         && r->route->kind == FLEET_STREAM
         && is_outdated (r, r->rs->opts.fleet->outdated_start_us, now_us);
}

void
relay_withdraw (struct relay *r, int64_t now_us)
{
  cancel_attempt (r, RELAY_WITHDRAW, STOP_WEIGHTS_OUTDATED, now_us);
}
