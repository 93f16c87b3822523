/* The relay's use of the quarantine. */
#include "librelay.h"

#include <string.h>

#include "log.h"
#include "met.h"

/* An endpoint that crashes at the start of an answer does so within this
   time. */
#define START_US (200 * CQ_US_PER_MS)

/* The last part of a prompt is the request's own. */
const struct quar_subject *
relay_subject (struct relay *r)
{
  struct quar_subject *s = &r->subject;
  int i;

  if (r->has_subject)
    return s;
  r->has_subject = true;
  reqid_of (&r->desc, relay_workspace (r), &s->request);
  s->nparts = CLAMP (r->desc.nparts - 1, 0, QUAR_PARTS_MAX);
  for (i = 0; i < s->nparts; i++)
    reqid_of_part (r->service, r->desc.parts[i].id, &s->parts[i]);
  return s;
}

const struct reqid *
relay_identity (struct relay *r)
{
  return &relay_subject (r)->request;
}

/* Number of endpoints of the request's service. */
static int
count_endpoints (const struct relay *r)
{
  const struct fleet_endpoint *e;
  int n = 0;

  APR_RING_FOREACH (e, &r->rs->opts.fleet->endpoints, fleet_endpoint, link)
  n += strcmp (e->listing.service, r->service) == 0;
  return n;
}

static bool
has_digest (struct relay *r, const struct reqid *id)
{
  const struct quar_subject *s = relay_subject (r);
  int i;

  if (memcmp (&s->request, id, sizeof *id) == 0)
    return true;
  for (i = 0; i < s->nparts; i++)
    if (memcmp (&s->parts[i], id, sizeof *id) == 0)
      return true;
  return false;
}

/* Whether this worker runs another attempt at what has the digest ID. */
static bool
is_running_here (struct relay *r, const struct reqid *id)
{
  struct relay *o;

  APR_RING_FOREACH (o, &r->rs->all, relay, link)
  if (o != r && o->call != NULL && has_digest (o, id))
    return true;
  return false;
}

/*
 * A suspect request that reaches several VMs at once could crash an endpoint
 * at each of them before they learn of each other's crashes.  With one run at
 * a time, each crash is known before the next run starts.
 */
static bool
may_run_suspect (struct relay *r, const struct reqid *id, int64_t now_us)
{
  const struct relays_opts *o = &r->rs->opts;

  return !is_running_here (r, id)
         && (o->may_run_suspect == NULL
             || o->may_run_suspect (o->quar_arg, id, now_us));
}

/* While there is no evidence on any request, no digest is computed, so that
   the quarantine costs nothing in normal operation. */
enum relay_quar_decision
relay_check_quarantine (struct relay *r, int64_t now_us)
{
  static const char *const names[] = {
    [RELAY_QUAR_PASS] = "passed",
    [RELAY_QUAR_DEFER] = "deferred",
    [RELAY_QUAR_REFUSE] = "held",
  };
  const struct relays_opts *o = &r->rs->opts;
  enum relay_quar_decision hold = RELAY_QUAR_PASS;
  struct quar_verdict v;
  struct reqid id;
  char text[REQID_TEXT_SIZE];
  int64_t now_ms;

  r->is_suspect = false;
  if (o->quar == NULL || !quar_has_records (o->quar)
      || !quar_has_crashes_of (o->quar, relay_subject (r)))
    return RELAY_QUAR_PASS;
  now_ms = o->clock_ms (o->quar_arg, now_us);
  v = quar_evaluate_subject (o->quar, relay_subject (r), count_endpoints (r),
                             now_ms, &id);
  if (v.incidents == 0)
    return RELAY_QUAR_PASS;
  r->is_suspect = v.is_suspect || v.is_on_trial;
  if (v.is_on_trial && may_run_suspect (r, &id, now_us))
    hold = RELAY_QUAR_PASS;
  else if (v.is_quarantined)
    hold = RELAY_QUAR_REFUSE;
  else if (v.is_suspect && !may_run_suspect (r, &id, now_us))
    hold = RELAY_QUAR_DEFER;
  log_event (LOG_LEVEL_INFO, "quarantine",
             "req=%s digest=%s of=%s outcome=%s crashes=%d chance=%.1e "
             "left_ms=%" G_GINT64_FORMAT,
             r->desc.id, reqid_text (&id, text),
             reqid_is_part (&id) ? "part" : "request", names[hold],
             v.incidents, v.probability,
             (gint64)(v.is_quarantined ? v.until_ms - now_ms : 0));
  met_add (MET_QUARANTINED, hold == RELAY_QUAR_REFUSE);
  met_add (MET_DEFERRED, hold == RELAY_QUAR_DEFER);
  return hold;
}

/* Whether the request ran to its end.  An endpoint that refuses a request or
   the rest of a stream, or drops it from its queue, does not show what a run
   would have done. */
static bool
has_run_whole (const struct relay *r, enum send_state sent)
{
  return sent == SEND_COMPLETE && r->stop_reason == NULL && r->status < 500
         && (r->streaming || !r->stream_begun);
}

static bool
add_completion (struct relay *r, const struct reqid *id, int64_t now_ms)
{
  const struct relays_opts *o = &r->rs->opts;
  struct quar_fact f = { .id = *id, .completed = true };

  f.crash.at_ms = now_ms;
  return quar_has_crashes (o->quar, id) && quar_add_fact (o->quar, &f, true);
}

/* An endpoint answers on the parts of R's prompt, and did not crash. */
static void
clear_parts (struct relay *r, int64_t now_us)
{
  const struct relays_opts *o = &r->rs->opts;
  int64_t now_ms = o->clock_ms (o->quar_arg, now_us);
  const struct quar_subject *s = relay_subject (r);
  bool is_new = false;
  int i;

  for (i = 0; i < s->nparts; i++)
    is_new |= add_completion (r, &s->parts[i], now_ms);
  if (is_new)
    o->on_evidence (o->quar_arg, now_us);
}

static void
record_success (struct relay *r, int64_t now_us)
{
  const struct relays_opts *o = &r->rs->opts;

  if (!quar_has_records (o->quar))
    return;
  if (add_completion (r, relay_identity (r),
                      o->clock_ms (o->quar_arg, now_us)))
    o->on_evidence (o->quar_arg, now_us);
  clear_parts (r, now_us);
}

/* Whether the attempt's answer goes on for so long that its start did not
   crash the endpoint. */
static bool
has_outlived_start (const struct relay *r, int64_t now_us)
{
  return r->has_body && now_us - r->body_us >= START_US;
}

void
relay_record_flow (struct relay *r, int64_t now_us)
{
  if (r->rs->crash == NULL || r->has_cleared_parts
      || !has_outlived_start (r, now_us)
      || !quar_has_records (r->rs->opts.quar))
    return;
  r->has_cleared_parts = true;
  clear_parts (r, now_us);
}

void
relay_record_evidence (struct relay *r, enum send_state sent, int64_t now_us)
{
  int64_t since = r->has_body ? r->first_chunk_us : r->sent_us;
  struct quar_subject s;

  if (r->rs->crash == NULL)
    return;
  if (has_run_whole (r, sent))
    record_success (r, now_us);
  /* An attempt that this VM cancelled shows nothing. */
  else if (r->stop_reason == NULL
           && (sent == SEND_PARTIAL || sent == SEND_REPLIED))
    {
      s = *relay_subject (r);
      if (has_outlived_start (r, now_us))
        s.nparts = 0;
      relaycrash_report (r->rs->crash, r->endpoint, &s,
                         now_us - MAX (since, r->sent_us), now_us);
    }
}
