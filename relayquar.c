/* Requests that are passed on, and the quarantine. */
#include "librelay.h"

#include <string.h>

#include "log.h"
#include "met.h"

const struct reqid *
relay_identity (struct relay *r)
{
  if (!r->identified)
    reqid_of (&r->desc, relay_workspace (r), &r->identity);
  r->identified = true;
  return &r->identity;
}

/* Endpoints that the request could go to. */
static int
count_endpoints (const struct relay *r)
{
  const struct fleet_endpoint *e;
  int n = 0;

  APR_RING_FOREACH (e, &r->rs->opts.fleet->endpoints, fleet_endpoint, link)
  n += strcmp (e->is.service, r->service) == 0;
  return n;
}

/* Whether another attempt at the same request is under way here. */
static bool
runs_already (struct relay *r)
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
 * A suspect request came at several VMs at once, and crashed an endpoint at
 * each before any of them heard of the others' crashes.  One at a time, each
 * crash counts before the next run begins.
 */
static bool
has_turn (struct relay *r, int64_t now_us)
{
  const struct relays_opts *o = &r->rs->opts;

  return !runs_already (r)
         && (o->suspect_turn == NULL
             || o->suspect_turn (o->quar_arg, relay_identity (r), now_us));
}

/*
 * Where nothing is known of any request, none is even digested: a calm VM pays
 * nothing for it.
 */
enum relay_hold
relay_hold (struct relay *r, int64_t now_us)
{
  static const char *const names[] = {
    [HOLD_NONE] = "passed",
    [HOLD_TURN] = "deferred",
    [HOLD_CRASHES] = "held",
  };
  const struct relays_opts *o = &r->rs->opts;
  enum relay_hold hold = HOLD_NONE;
  struct quar_verdict v;
  char text[REQID_TEXT_SIZE];
  int64_t now_ms;

  r->suspect = false;
  if (o->quar == NULL || !quar_any (o->quar)
      || !quar_suspects (o->quar, relay_identity (r)))
    return HOLD_NONE;
  now_ms = o->clock_ms (o->quar_arg, now_us);
  v = quar_judge (o->quar, relay_identity (r), count_endpoints (r), now_ms);
  if (v.crashes == 0)
    return HOLD_NONE;
  r->suspect = v.suspect;
  if (v.held)
    hold = HOLD_CRASHES;
  else if (v.suspect && !has_turn (r, now_us))
    hold = HOLD_TURN;
  log_event (LOG_LEVEL_INFO, "quarantine",
             "req=%s digest=%s outcome=%s crashes=%d chance=%.1e "
             "left_ms=%" G_GINT64_FORMAT,
             r->desc.id, reqid_text (relay_identity (r), text), names[hold],
             v.crashes, v.chance, (gint64)(v.held ? v.until_ms - now_ms : 0));
  met_add (MET_QUARANTINED, hold == HOLD_CRASHES);
  met_add (MET_DEFERRED, hold == HOLD_TURN);
  return hold;
}

/* An answer that says it was refused, or gave up in a queue, shows nothing of
   what a run would have done. */
static bool
was_answered (const struct relay *r, enum send_state sent)
{
  return sent == SEND_WHOLE && r->stopped == NULL && r->status < 500;
}

static void
answered (struct relay *r, int64_t now_us)
{
  const struct relays_opts *o = &r->rs->opts;
  struct quar_fact f = { .done = true };

  if (!quar_any (o->quar) || !quar_suspects (o->quar, relay_identity (r)))
    return;
  f.id = *relay_identity (r);
  f.crash.at_ms = o->clock_ms (o->quar_arg, now_us);
  if (quar_take (o->quar, &f, true))
    o->observed (o->quar_arg, now_us);
}

void
relay_observe (struct relay *r, enum send_state sent, int64_t now_us)
{
  int64_t since = r->answering ? r->first_us : r->sent_us;

  if (r->rs->crash == NULL)
    return;
  if (was_answered (r, sent))
    answered (r, now_us);
  /* What we broke off ourselves, or gave up, says nothing. */
  else if (r->stopped == NULL
           && (sent == SEND_PARTIAL || sent == SEND_REPLIED))
    relaycrash_broke (r->rs->crash, r->endpoint, relay_identity (r),
                      now_us - MAX (since, r->sent_us), now_us);
}
