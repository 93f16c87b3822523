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

/*
 * Where nothing is known of any request, none is even digested: a calm VM pays
 * nothing for it.
 */
bool
relay_is_held (struct relay *r, int64_t now_us)
{
  const struct relays_opts *o = &r->rs->opts;
  struct quar_verdict v;
  char text[REQID_TEXT_SIZE];
  int64_t now_ms;

  if (o->quar == NULL || !quar_any (o->quar)
      || !quar_suspects (o->quar, relay_identity (r)))
    return false;
  now_ms = o->clock_ms (o->quar_arg, now_us);
  v = quar_judge (o->quar, relay_identity (r), count_endpoints (r), now_ms);
  if (v.crashes == 0)
    return false;
  log_event (LOG_LEVEL_INFO, "quarantine",
             "req=%s digest=%s outcome=%s crashes=%d chance=%.1e "
             "left_ms=%" G_GINT64_FORMAT,
             r->desc.id, reqid_text (relay_identity (r), text),
             v.held ? "held" : "passed", v.crashes, v.chance,
             (gint64)(v.held ? v.until_ms - now_ms : 0));
  met_add (MET_HELD, v.held);
  return v.held;
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
