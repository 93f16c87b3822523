/* Attempts of requests that are passed on, and what follows each. */
#include "librelay.h"

#include <string.h>

#include "log.h"
#include "met.h"

/* Attempts that reach no endpoint at all do not count as sent; more than
   these in a row mean that waiting is no use. */
#define UNSENT_MAX 4
/* Largest event of a stream that is held until it is whole. */
#define EVENT_MAX 65536
/* Why an attempt is stopped, where another endpoint may do. */
#define STOPPED_LEFT "endpoint_left"
#define STOPPED_EVACUATED "domain_evacuated"
#define STOPPED_OUTDATED "weights_outdated"
#define STOPPED_COLD "endpoint_cold"
#define STOPPED_LIMITED "endpoint_limited"
#define STOPPED_RESTING "endpoint_resting"
/* Callers who are refused for load return after this part of their time. */
#define RETURN_PART 3
/* And not before this: a second request costs about as much. */
#define RETURN_MIN_US (100 * CQ_US_PER_MS)
/* Or earlier by up to this part of it: refused together, they should not
   return together. */
#define RETURN_SPREAD_PART 5

static int64_t
retry_after (struct relay *r, int64_t us)
{
  return us + (int64_t)(relay_draw (r->rs) % (uint64_t)RETRY_SPREAD_US);
}

/* Nothing more can be tried. */
static void
give_up_unplaced (struct relay *r, const char *reason, int64_t wait_us,
                  int64_t now_us)
{
  relay_give_up (r, out_refused (r->ran, relay_repeatable (r)), reason,
                 retry_after (r, wait_us), now_us);
}

/*
 * The same request ran before under other ids, and ended the endpoints that it
 * ran at, so "not run" would not be true of it, and there is no time at which
 * it is better sent again: the caller is told at once that it failed.
 */
static void
give_up_held (struct relay *r, int64_t now_us)
{
  relay_give_up (r, out_refused (true, relay_repeatable (r)),
                 "crashes_endpoints", 0, now_us);
}

/* --- attempts -------------------------------------------------------- */

/* Whether the endpoint's weights have been outdated for a limit, 0 for none.
 */
static bool
is_outdated (const struct relay *r, int64_t limit_us, int64_t now_us)
{
  return limit_us > 0
         && fleet_outdated_for (r->rs->opts.fleet, r->endpoint, limit_us,
                                now_us);
}

/*
 * A VM that was busy or stood still for most of a second reads requests whose
 * callers have hung up meanwhile.  The sweep finds that out too, but some
 * tenths of a second later, when an endpoint is at work for nobody.
 */
static bool
caller_left (struct relay *r)
{
  if (r->desc.caller == NULL || !r->desc.caller->gone (r->desc.arg))
    return false;
  r->desc.caller = NULL;
  met_add (MET_CANCELS, 1);
  return true;
}

/* Other VMs' evidence may have come since the request was placed. */
static void
check_hold (struct relay *r, int64_t now_us)
{
  switch (relay_hold (r, now_us))
    {
    case HOLD_NONE:
      break;
    case HOLD_TURN:
      r->stopped = "suspect";
      break;
    case HOLD_CRASHES:
      /* Under other ids, so that it is not said to have not run. */
      r->ran = true;
      r->stopped = "crashes_endpoints";
      break;
    }
}

static bool
before_send (void *arg)
{
  struct relay *r = arg;
  int64_t now = loop_now_us ();

  if (relay_is_stale (r, now))
    r->stopped = "settings_stale";
  else if (relay_key_is_gone (r))
    r->stopped = "key_revoked";
  else if (now >= r->end_us)
    r->stopped = "deadline";
  else if (r->endpoint->draining || r->endpoint->gone)
    r->stopped = STOPPED_LEFT;
  else if (fleet_is_evacuated (r->rs->opts.fleet, r->endpoint->is.domain))
    r->stopped = STOPPED_EVACUATED;
  else if (is_outdated (r, r->rs->opts.fleet->old_max_us, now))
    r->stopped = STOPPED_OUTDATED;
  else if (caller_left (r))
    r->stopped = "caller_gone";
  else if (cold_is (&r->endpoint->cold, now)
           && !pace_may_send (&r->endpoint->cold.pace, now))
    r->stopped = STOPPED_COLD;
  else if (!limit_may_send (&r->endpoint->limit, now))
    r->stopped = STOPPED_LIMITED;
  else if (pick_rests (r->endpoint, now))
    r->stopped = STOPPED_RESTING;
  else
    check_hold (r, now);
  r->handed_over = r->stopped == NULL;
  if (!r->handed_over)
    return false;
  if (cold_is (&r->endpoint->cold, now))
    pace_sent (&r->endpoint->cold.pace, now);
  pace_sent (&r->endpoint->limit.pace, now);
  r->attempts++;
  if (r->handed_us == 0)
    {
      r->handed_us = now;
      met_observe (MET_HANDOVER_TIME, now - r->arrived_us);
    }
  return true;
}

/*
 * What an answer says of its endpoint's weights.  It was so after the attempt
 * was sent.  Another life at the address, and bytes that belong to another
 * request, say nothing of this endpoint.
 */
static void
take_version (struct relay *r, const struct relay_head *head, int64_t now_us)
{
  if (head->other_life || !(head->genuine || head->not_run))
    return;
  if (head->version > 0)
    fleet_take_version (r->endpoint, head->version, r->sent_us, now_us);
  else if (head->other_weights && r->sent_us > r->endpoint->version_us)
    fleet_doubt_version (r->endpoint);
}

/*
 * Another life at the address says nothing of this endpoint.  An answer that
 * ran bears all notices; one that was refused or belongs to another request
 * may lack some.
 */
static void
take_notice (struct relay *r, const struct relay_head *head, int64_t now_us)
{
  struct notice_from from = { .source = "answer", .sent_us = r->sent_us };

  if (head->other_life)
    return;
  from.whole = head->genuine && !head->not_run;
  notice_take (r->endpoint, &head->notice, &from, now_us);
}

static bool
on_head (void *arg, const struct relay_head *head)
{
  struct relay *r = arg;
  int64_t now = loop_now_us ();

  r->status = head->status;
  r->not_run = head->not_run;
  r->running = head->running;
  r->waiting = head->waiting;
  if (head->running >= 0)
    pick_reported (r->endpoint, head->running + head->waiting, now);
  take_version (r, head, now);
  take_notice (r, head, now);
  /* That life is over, so nothing was sent to an endpoint of the service. */
  if (head->other_life)
    {
      r->endpoint->draining = true;
      r->attempts--;
    }
  /* An answer without the endpoint's mark, or to another request, is never
     shown to the caller. */
  if (!head->not_run && !head->genuine)
    {
      r->stopped = "not_genuine";
      return false;
    }
  r->streaming = r->route->kind == FLEET_STREAM && head->status == 200;
  g_strfreev (r->lines);
  r->lines = g_strdupv (head->lines);
  return true;
}

static void
pass_on (struct relay *r, const char *data, size_t len)
{
  if (len == 0)
    return;
  relay_read (r, loop_now_us ());
  if (!r->begun)
    {
      r->begun = true;
      r->first_us = loop_now_us ();
      pick_learn (r->rs->opts.fleet, r->endpoint,
                  r->ahead + r->shared_unread + r->work.own,
                  r->first_us - r->sent_us);
      met_observe (MET_FIRST_TOKEN, r->first_us - r->arrived_us);
      relay_waited (r, r->first_us);
      r->desc.caller->begin (r->desc.arg, r->status,
                             (const char *const *)r->lines);
    }
  r->desc.caller->write (r->desc.arg, data, len);
}

static enum relay_take
take_stream (struct relay *r, const char *data, size_t len)
{
  g_autoptr (GString) events = g_string_new (NULL);

  /* A reader that is slower than the engine must not fill the memory. */
  if (r->begun
      && r->desc.caller->pending (r->desc.arg) > r->rs->opts.stream_buffer)
    {
      r->paused = true;
      return RELAY_PAUSE;
    }
  if (!evt_feed (&r->events, data, len, EVENT_MAX, events))
    {
      r->stopped = "event_too_large";
      return RELAY_STOP;
    }
  pass_on (r, events->str, events->len);
  return RELAY_TAKEN;
}

static enum relay_take
on_body (void *arg, const char *data, size_t len)
{
  struct relay *r = arg;

  r->answering = true;
  if (r->streaming)
    return take_stream (r, data, len);
  if (r->answer->len + len > r->rs->opts.answer_max)
    {
      r->stopped = "answer_too_large";
      return RELAY_STOP;
    }
  g_string_append_len (r->answer, data, (gssize)len);
  return RELAY_TAKEN;
}

static enum send_state
send_state_of (const struct relay *r, bool whole)
{
  if (!r->handed_over)
    return SEND_NONE;
  if (r->status == 0)
    return SEND_PARTIAL;
  if (r->not_run)
    return SEND_REFUSED;
  if (!whole || r->stopped != NULL
      || (r->streaming && evt_in_part (&r->events)))
    return SEND_REPLIED;
  return SEND_WHOLE;
}

static struct out_verdict
judge (struct relay *r, enum send_state sent, bool left, int64_t now_us)
{
  struct out_facts f = { .sent = sent, .status = r->status };

  f.repeatable = relay_repeatable (r);
  f.ran_before = r->ran;
  f.caller_has_bytes = r->begun;
  f.resumable = r->route->resumable;
  f.attempts_left = left;
  f.deadline_passed = now_us >= r->end_us;
  return out_judge (&f);
}

/* Whether another endpoint may do in its place. */
static bool
is_of_endpoint (const char *reason)
{
  static const char *const reasons[]
      = { STOPPED_LEFT, STOPPED_EVACUATED, STOPPED_OUTDATED,
          STOPPED_COLD, STOPPED_LIMITED,   STOPPED_RESTING };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (reasons); i++)
    if (strcmp (reason, reasons[i]) == 0)
      return true;
  return false;
}

static bool
attempts_left (const struct relay *r, enum send_state sent)
{
  bool ours = r->stopped != NULL && !is_of_endpoint (r->stopped);

  /* The attempt that is over takes a place as well. */
  if (r->ntried + 1 >= PICK_EXCLUDE_MAX)
    return false;
  /* Whether its endpoint crashed shows some ms after this. */
  if (r->suspect && sent != SEND_NONE && sent != SEND_REFUSED)
    return false;
  if (sent == SEND_NONE)
    return !ours && r->unsent < UNSENT_MAX;
  return r->attempts < r->route->max_attempts;
}

/* The retry budget is asked only where an endpoint would see a repeat. */
static struct out_verdict
judge_with_budget (struct relay *r, enum send_state sent, int64_t now_us)
{
  struct out_verdict v = judge (r, sent, attempts_left (r, sent), now_us);

  if (v.next == NEXT_FINISH || (sent == SEND_NONE && r->attempts == 0))
    return v;
  if (!budget_spend (&r->shared->budget))
    return judge (r, sent, false, now_us);
  return v;
}

static void
tell_picking (struct relay *r, enum send_state sent, int64_t now_us)
{
  struct fleet_endpoint *e = r->endpoint;

  if (sent == SEND_WHOLE)
    pick_worked (e);
  else if (sent == SEND_REFUSED)
    pick_refused (e, now_us);
  else if (r->absent)
    pick_absent (e, now_us);
  else if (r->stopped == NULL || strcmp (r->stopped, "not_genuine") == 0)
    pick_failed (e, now_us);
}

static void
answer (struct relay *r, enum outcome outcome, const char *reason,
        int64_t now_us)
{
  const struct relay_caller *c = r->desc.caller;

  if (c != NULL && r->begun)
    c->end (r->desc.arg, true);
  else if (c != NULL)
    c->answer (r->desc.arg, r->status, (const char *const *)r->lines,
               r->answer->str, r->answer->len);
  relay_finish (r, outcome, reason, now_us);
}

/* The same request comes again under other ids, and at other VMs: only its
   digest shows in the logs of several ends of endpoints that it was there. */
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
             "reason=%s took_us=%" G_GINT64_FORMAT " digest=%s error=\"%s\"",
             r->desc.id, r->endpoint->is.id, r->attempts, out_send_name (sent),
             r->status, out_next_name (v->next), reason,
             (gint64)(now_us - r->sent_us), text, error);
}

static void
remember_tried (struct relay *r)
{
  g_assert (r->ntried < PICK_EXCLUDE_MAX);
  r->tried[r->ntried++] = fleet_endpoint_ref (r->endpoint);
}

/* Decide what follows an attempt that is over. */
static void
conclude (struct relay *r, enum send_state sent, const char *error,
          int64_t now_us)
{
  struct out_verdict v = judge_with_budget (r, sent, now_us);
  const char *reason = r->stopped != NULL ? r->stopped : v.reason;

  if (sent != SEND_WHOLE || v.next != NEXT_FINISH)
    log_attempt (r, sent, &v, reason, error, now_us);
  tell_picking (r, sent, now_us);
  relay_observe (r, sent, now_us);
  if (sent == SEND_NONE)
    r->unsent++;
  else if (sent != SEND_REFUSED)
    r->ran = true;
  remember_tried (r);
  relay_leave (r, now_us);
  if (v.next == NEXT_FINISH && sent == SEND_WHOLE)
    answer (r, v.outcome, v.reason, now_us);
  else if (v.next == NEXT_FINISH)
    relay_give_up (r, v.outcome, reason, retry_after (r, RETRY_SOON_US),
                   now_us);
  else
    {
      met_add (v.next == NEXT_RESUME ? MET_RESUMES : MET_RETRIES, 1);
      relay_place (r, now_us);
    }
}

static void
on_end (void *arg, const struct relay_end *end)
{
  struct relay *r = arg;
  int64_t now = loop_now_us ();

  r->call = NULL;
  r->absent = end->refused;
  conclude (r, send_state_of (r, end->whole), end->error, now);
}

static const struct relay_events events = {
  .before_send = before_send,
  .head = on_head,
  .body = on_body,
  .end = on_end,
};

/*
 * Work may be found again only under the weights that made it and, for a
 * workspace that shares nothing, by that workspace.  Both are in the scope's
 * name, so whatever an endpoint still holds, nothing else can be found.
 */
static void
set_scope (struct relay *r, const struct pick_choice *c)
{
  bool alone = r->workspace != NULL && r->workspace->isolated;

  parts_scope (r->cache_scope, c->endpoint->is.model, c->version,
               alone ? r->workspace->name : NULL);
}

static struct fleet_homes
homes_of (const struct relay *r)
{
  struct fleet_homes h = { .route = (const char *const *)r->route->homes };

  if (r->workspace != NULL)
    h.workspace = (const char *const *)r->workspace->homes;
  return h;
}

/* Parts that stores keep. */
static void
plan_parts (struct relay *r, const struct pick_choice *c, int64_t now_us)
{
  const struct relays_opts *o = &r->rs->opts;

  const struct fleet_named *newer = fleet_outdated_by (o->fleet, c->endpoint);
  struct parts_query q = { .scope = r->cache_scope, .list = r->desc.parts };

  memset (&r->kept, 0, sizeof r->kept);
  if (o->parts == NULL || !r->route->sticky)
    return;
  q.n = r->desc.nparts;
  q.domain = c->endpoint->is.domain;
  q.fresh_us = o->fleet->fresh_us;
  q.outdated = newer != NULL;
  q.named_us = MAX (fleet_outdated_since (o->fleet, c->endpoint), 0);
  q.wait_us = c->wait_us;
  q.fleet = o->fleet;
  q.homes = homes_of (r);
  parts_plan (o->parts, &q, now_us, &r->kept);
}

/* For how long newer weights may have been named: 0 if none were, -1 if that
   is not known. */
static int64_t
newer_us (const struct fleet *f, const struct fleet_endpoint *e,
          int64_t now_us)
{
  int64_t since = fleet_outdated_since (f, e);

  if (fleet_outdated_by (f, e) == NULL)
    return 0;
  return since != FLEET_NEVER ? now_us - since : -1;
}

/*
 * Time that the endpoint may work on the request.  With outdated weights it is
 * over when nothing may begin on them any more: a VM that is suspended, killed
 * or cut off cannot take back what waits there, and it would begin later. That
 * also ends what began in time and is not done by then; it was sent three
 * seconds before, and most take one.
 */
static int64_t
time_for (const struct relay *r, int64_t now_us)
{
  const struct fleet *f = r->rs->opts.fleet;
  int64_t since = fleet_outdated_since (f, r->endpoint);
  int64_t left = r->end_us - now_us;

  if (f->old_end_us == 0 || r->route->kind != FLEET_STREAM
      || fleet_outdated_by (f, r->endpoint) == NULL || since == FLEET_NEVER)
    return left;
  return MIN (left, since + f->old_end_us - now_us);
}

static void
attempt (struct relay *r, const struct pick_choice *c, int64_t now_us)
{
  const struct relays_opts *o = &r->rs->opts;
  bool model = c->endpoint->is.model[0] != '\0';
  const struct fleet_named *newer = fleet_outdated_by (o->fleet, c->endpoint);
  struct relay_send s = { .desc = &r->desc, .endpoint = c->endpoint };

  r->endpoint = fleet_endpoint_ref (c->endpoint);
  pick_sent (r->endpoint);
  if (cold_is (&r->endpoint->cold, now_us))
    pace_place (&r->endpoint->cold.pace, now_us);
  pace_place (&r->endpoint->limit.pace, now_us);
  r->unread = true;
  r->ahead = c->ahead;
  r->shared_unread = c->has_part ? 0 : r->work.shared - r->work.stored;
  r->handed_over = false;
  r->stopped = NULL;
  r->status = 0;
  r->running = -1;
  r->waiting = 0;
  r->not_run = false;
  r->absent = false;
  r->streaming = false;
  r->answering = false;
  r->paused = false;
  g_string_truncate (r->answer, 0);
  evt_restart (&r->events);
  if (model)
    {
      set_scope (r, c);
      plan_parts (r, c, now_us);
    }
  r->sent_us = now_us;
  s.workspace = r->workspace != NULL ? r->workspace->name : NULL;
  s.cache_scope = model ? r->cache_scope : NULL;
  s.kept = model && r->kept.nfetch + r->kept.nsave > 0 ? &r->kept : NULL;
  s.version = model ? c->version : 0;
  s.urgency = relay_urgency (r);
  s.left_us = time_for (r, now_us);
  s.resume_after = r->begun ? r->events.last_id : r->desc.resume_after;

  met_add (MET_ATTEMPTS, 1);
  log_event (
      LOG_LEVEL_INFO, "send",
      "req=%s route=%s endpoint=%s load=%d candidates=%d over_bound=%d "
      "ahead=%" G_GINT64_FORMAT " held=%" G_GINT64_FORMAT " "
      "wait_us=%" G_GINT64_FORMAT
      " fetch=%d save=%d fetch_tokens=%" G_GINT64_FORMAT
      " version=%" G_GINT64_FORMAT " newer=%" G_GINT64_FORMAT
      " newer_us=%" G_GINT64_FORMAT " limit_milli=%" G_GINT64_FORMAT
      " left_us=%" G_GINT64_FORMAT " conf=%" G_GINT64_FORMAT
      " conf_age_us=%" G_GINT64_FORMAT,
      r->desc.id, r->route->name, c->endpoint->is.id, c->load, c->candidates,
      c->over_bound, (gint64)c->ahead, (gint64)c->held, (gint64)c->wait_us,
      r->kept.nfetch, r->kept.nsave, (gint64)r->kept.fetch_tokens,
      (gint64)s.version, (gint64)(newer != NULL ? newer->version : 0),
      (gint64)newer_us (o->fleet, c->endpoint, now_us),
      (gint64)(r->endpoint->limit.named ? r->endpoint->limit.milli : -1),
      (gint64)s.left_us, (gint64)r->conf->version,
      (gint64)fleet_age_us (o->fleet, now_us));
  relay_tell_work (r, now_us);
  r->call = o->engine.send (o->engine.ctx, &s, &events, r);
}

/* By chance, as large a part as cannot be let in. */
static bool
is_refused (struct relay *r, const struct pick_choice *c, int64_t now_us)
{
  int keep = relay_let_in (r, c, now_us);

  if (keep >= SHARE_ALL || (int)(relay_draw (r->rs) % SHARE_ALL) < keep)
    return false;
  relay_log_late (r, c, keep, now_us);
  return true;
}

/* Come back as late as leaves two thirds of the caller's time for the answer:
   sooner an overload is less likely to be over. */
static void
refuse_late (struct relay *r, int64_t now_us)
{
  int64_t wait = MAX ((r->end_us - now_us) / RETURN_PART, RETURN_MIN_US);
  int64_t spread
      = (int64_t)(relay_draw (r->rs) % (uint64_t)(wait / RETURN_SPREAD_PART));

  met_add (MET_OVERLOAD, 1);
  relay_give_up (r, out_refused (r->ran, relay_repeatable (r)), "too_late",
                 wait - spread, now_us);
}

static void
count_unplaced (enum pick_code code)
{
  if (code == PICK_COLD)
    met_add (MET_REFUSED_COLD, 1);
  else if (code == PICK_LIMITED)
    met_add (MET_REFUSED_LIMITED, 1);
  else if (code == PICK_RESTING)
    met_add (MET_REFUSED_BACKOFF, 1);
  else if (code == PICK_EVACUATED)
    met_add (MET_REFUSED_EVACUATED, 1);
  else if (code == PICK_ABROAD)
    met_add (MET_REFUSED_REGION, 1);
}

/* Find an endpoint for the next attempt, or give up. */
void
relay_place (struct relay *r, int64_t now_us)
{
  const struct relays_opts *o = &r->rs->opts;
  struct pick_query q = { .service = r->service, .domain = o->domain };
  struct pick_choice c;

  if (relay_is_stale (r, now_us))
    {
      give_up_unplaced (r, "settings_stale", RETRY_LATER_US, now_us);
      return;
    }
  switch (relay_hold (r, now_us))
    {
    case HOLD_NONE:
      break;
    case HOLD_TURN:
      give_up_unplaced (r, "suspect", RETRY_SOON_US, now_us);
      return;
    case HOLD_CRASHES:
      give_up_held (r, now_us);
      return;
    }
  q.affinity = r->route->sticky ? relay_affinity (&r->desc) : NULL;
  memcpy (q.exclude, r->tried, sizeof q.exclude);
  q.nexclude = r->ntried;
  q.homes = homes_of (r);
  q.random = relay_draw (r->rs);
  relay_weigh (r, now_us);
  q.work = r->work;
  q.loads = o->loads;
  fleet_judge_rates (o->fleet, now_us);
  c = pick_endpoint (o->fleet, &q, now_us);
  if (c.code == PICK_CHOSEN && is_refused (r, &c, now_us))
    refuse_late (r, now_us);
  else if (c.code == PICK_CHOSEN)
    attempt (r, &c, now_us);
  else
    {
      count_unplaced (c.code);
      give_up_unplaced (r, pick_code_name (c.code),
                        MAX (c.rest_us, RETRY_SOON_US), now_us);
    }
}

/* End the attempt without an answer. */
static void
abandon (struct relay *r, const char *reason, int64_t now_us)
{
  const struct relay_engine *e = &r->rs->opts.engine;

  if (r->call != NULL)
    e->cancel (e->ctx, r->call);
  r->call = NULL;
  r->stopped = reason;
  conclude (r, send_state_of (r, false), "", now_us);
}

void
relay_time_out (struct relay *r, int64_t now_us)
{
  abandon (r, "deadline", now_us);
}

/*
 * Sent while old weights took work, a request may wait at a busy endpoint
 * longer than the margin that is left for that, and would begin when nobody
 * may have answers by these weights.  Endpoints drop what waits when its
 * connection closes, so it never begins.  Of a call that is answered as a
 * whole nothing is heard while it runs, so that is left alone.
 */
bool
relay_waits_too_long (const struct relay *r, int64_t now_us)
{
  return r->call != NULL && !r->answering && r->route->kind == FLEET_STREAM
         && is_outdated (r, r->rs->opts.fleet->old_end_us, now_us);
}

void
relay_withdraw (struct relay *r, int64_t now_us)
{
  abandon (r, STOPPED_OUTDATED, now_us);
}
