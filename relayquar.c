/* The relay's use of the quarantine. */
#include "librelay.h"

#include <string.h>

#include "log.h"
#include "met.h"

const struct reqid *
relay_identity (struct relay *r)
{
  if (!r->has_identity)
    reqid_of (&r->desc, relay_workspace (r), &r->identity);
  r->has_identity = true;
  return &r->identity;
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

/* Whether this worker runs another attempt at the same request. */
static bool
is_running_here (struct relay *r)
{
  struct relay *o;

  APR_RING_FOREACH (o, &r->rs->all, relay, link)
  if (o != r && o->call != NULL
      && memcmp (relay_identity (o), relay_identity (r), sizeof r->identity)
             == 0)
    return true;
  return false;
}

/*
 * A suspect request that reaches several VMs at once could crash an endpoint
 * at each of them before they learn of each other's crashes.  With one run at
 * a time, each crash is known before the next run starts.
 */
static bool
may_run_suspect (struct relay *r, int64_t now_us)
{
  const struct relays_opts *o = &r->rs->opts;

  return !is_running_here (r)
         && (o->may_run_suspect == NULL
             || o->may_run_suspect (o->quar_arg, relay_identity (r), now_us));
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
  char text[REQID_TEXT_SIZE];
  int64_t now_ms;

  r->is_suspect = false;
  if (o->quar == NULL || !quar_has_records (o->quar)
      || !quar_has_crashes (o->quar, relay_identity (r)))
    return RELAY_QUAR_PASS;
  now_ms = o->clock_ms (o->quar_arg, now_us);
  v = quar_evaluate (o->quar, relay_identity (r), count_endpoints (r), now_ms);
  if (v.incidents == 0)
    return RELAY_QUAR_PASS;
  r->is_suspect = v.is_suspect;
  if (v.is_quarantined)
    hold = RELAY_QUAR_REFUSE;
  else if (v.is_suspect && !may_run_suspect (r, now_us))
    hold = RELAY_QUAR_DEFER;
  log_event (LOG_LEVEL_INFO, "quarantine",
             "req=%s digest=%s outcome=%s crashes=%d chance=%.1e "
             "left_ms=%" G_GINT64_FORMAT,
             r->desc.id, reqid_text (relay_identity (r), text), names[hold],
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

static void
record_success (struct relay *r, int64_t now_us)
{
  const struct relays_opts *o = &r->rs->opts;
  struct quar_fact f = { .completed = true };

  if (!quar_has_records (o->quar)
      || !quar_has_crashes (o->quar, relay_identity (r)))
    return;
  f.id = *relay_identity (r);
  f.crash.at_ms = o->clock_ms (o->quar_arg, now_us);
  if (quar_add_fact (o->quar, &f, true))
    o->on_evidence (o->quar_arg, now_us);
}

void
relay_record_evidence (struct relay *r, enum send_state sent, int64_t now_us)
{
  int64_t since = r->has_body ? r->first_chunk_us : r->sent_us;

  if (r->rs->crash == NULL)
    return;
  if (has_run_whole (r, sent))
    record_success (r, now_us);
  /* An attempt that this VM cancelled shows nothing. */
  else if (r->stop_reason == NULL
           && (sent == SEND_PARTIAL || sent == SEND_REPLIED))
    relaycrash_report (r->rs->crash, r->endpoint, relay_identity (r),
                       now_us - MAX (since, r->sent_us), now_us);
}
