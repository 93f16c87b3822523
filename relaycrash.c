/* Endpoints that crash under requests of this VM. */
#include "relaycrash.h"

#include <string.h>

#include "log.h"

/* Requests remembered of one crash: those that had been there for the shortest
   time, since what crashes an endpoint does so soon after it begins. */
#define BROKEN_MAX 16
/* Endpoints that are probed at a time; a failure domain's crash shows at few.
 */
#define ENDPOINTS_MAX 64
/* Between probes of an endpoint that lives: one that breaks answers off
   does so many times a second. */
#define PROBE_GAP_US (1 * CQ_US_PER_S)

/* A process that is about to end may still take a connection, and closes it
   with its others: a probe that shows nothing is sent again. */
#define PROBE_AGAIN_US (100 * CQ_US_PER_MS)
#define PROBES_MAX 4

/* A request that broke. */
struct broken
{
  struct reqid id; /* which */
  int64_t ran_ms;  /* for how long it had been there */
};

/* An endpoint at which some did. */
struct suspect
{
  APR_RING_ENTRY (suspect) link;      /* in the list */
  struct relaycrash *owner;           /* whose */
  struct fleet_endpoint *endpoint;    /* a reference */
  struct broken requests[BROKEN_MAX]; /* since it was probed last */
  int n;                              /* entries in requests */
  int64_t broke_us;                   /* the first of them broke */
  int64_t probed_us;                  /* it was probed last */
  int silent;                         /* probes in a row that showed nothing */
  bool probing;                       /* a probe is under way */
  struct loop_timer timer;            /* next probe, or it is dropped */
};

struct relaycrash
{
  struct relaycrash_opts opts;                    /* as made */
  APR_RING_HEAD (suspect_ring, suspect) suspects; /* probed, or to be */
  int count;                                      /* their number */
  bool closed; /* freed once no probe is under way */
};

static void
drop (struct suspect *s)
{
  struct relaycrash *owner = s->owner;

  loop_disarm (&s->timer);
  APR_RING_REMOVE (s, link);
  fleet_endpoint_unref (s->endpoint);
  g_free (s);
  if (--owner->count == 0 && owner->closed)
    g_free (owner);
}

/* --- evidence -------------------------------------------------------- */

static void
take_evidence (struct suspect *s, int64_t now_us)
{
  const struct relaycrash_opts *o = &s->owner->opts;
  int64_t now_ms = o->clock_ms (o->arg, now_us);
  struct quar_fact f = { .completed = false };
  bool news = false;
  int i;

  f.crash.endpoint = s->endpoint->key;
  f.crash.at_ms = now_ms - (now_us - s->broke_us) / CQ_US_PER_MS;
  for (i = 0; i < s->n && now_ms > 0; i++)
    {
      f.id = s->requests[i].id;
      f.crash.ran_ms = s->requests[i].ran_ms;
      news |= quar_add_fact (o->quar, &f, true);
    }
  if (news)
    o->observed (o->arg, now_us);
}

static void
take_notice (struct suspect *s, const struct notice *notice, int64_t now_us)
{
  struct notice_from from = { .source = "probe", .sent_us = s->probed_us };

  notice_take (s->endpoint, notice, &from, now_us);
}

static void
on_probe (void *arg, enum relay_probe probe, const struct notice *notice)
{
  static const char *const names[] = {
    [RELAY_PROBE_ALIVE] = "alive",
    [RELAY_PROBE_CRASHED] = "crashed",
    [RELAY_PROBE_SILENT] = "silent",
  };
  struct suspect *s = arg;
  int64_t now = loop_now_us ();

  s->probing = false;
  log_event (LOG_LEVEL_INFO, "endpoint_broke",
             "endpoint=%s outcome=%s requests=%d since_us=%" G_GINT64_FORMAT,
             s->endpoint->is.id, names[probe], s->n,
             (gint64)(now - s->broke_us));
  if (s->owner->closed)
    {
      drop (s);
      return;
    }
  if (notice != NULL)
    take_notice (s, notice, now);
  if (probe == RELAY_PROBE_SILENT && ++s->silent < PROBES_MAX)
    {
      loop_arm (s->owner->opts.loop, &s->timer, now + PROBE_AGAIN_US);
      return;
    }
  if (probe == RELAY_PROBE_CRASHED)
    take_evidence (s, now);
  s->silent = 0;
  s->n = 0;
  /* Kept for a while, so that it is not probed too often. */
  loop_arm (s->owner->opts.loop, &s->timer, s->probed_us + PROBE_GAP_US);
}

static void
send_probe (struct suspect *s, int64_t now_us)
{
  const struct relay_engine *e = s->owner->opts.engine;

  s->probing = true;
  s->probed_us = now_us;
  e->probe (e->ctx, s->endpoint, on_probe, s);
}

static void
on_timer (void *arg, int64_t now_us)
{
  struct suspect *s = arg;

  if (s->n > 0)
    send_probe (s, now_us);
  else
    drop (s);
}

/* --- breaks ---------------------------------------------------------- */

static struct suspect *
find (const struct relaycrash *owner, const struct fleet_endpoint *e)
{
  struct suspect *s;

  APR_RING_FOREACH (s, &owner->suspects, suspect, link)
  if (s->endpoint == e)
    return s;
  return NULL;
}

static struct suspect *
need (struct relaycrash *owner, struct fleet_endpoint *e)
{
  struct suspect *s = find (owner, e);

  if (s != NULL || owner->count >= ENDPOINTS_MAX)
    return s;
  s = g_new0 (struct suspect, 1);
  s->owner = owner;
  s->endpoint = fleet_endpoint_ref (e);
  s->timer.fire = on_timer;
  s->timer.arg = s;
  APR_RING_ELEM_INIT (s, link);
  APR_RING_INSERT_TAIL (&owner->suspects, s, suspect, link);
  owner->count++;
  return s;
}

/* Where the request belongs among those that broke; NULL if all that are
   remembered had been there for a shorter time. */
static struct broken *
place_for (struct suspect *s, int64_t ran_ms)
{
  struct broken *longest = s->requests;
  int i;

  if (s->n < BROKEN_MAX)
    return &s->requests[s->n++];
  for (i = 1; i < s->n; i++)
    if (s->requests[i].ran_ms > longest->ran_ms)
      longest = &s->requests[i];
  return longest->ran_ms > ran_ms ? longest : NULL;
}

/*
 * One that was leaving ends for that reason: a release would make evidence of
 * each answer that it cuts off.
 */
void
relaycrash_broke (struct relaycrash *owner, struct fleet_endpoint *e,
                  const struct reqid *id, int64_t ran_us, int64_t now_us)
{
  int64_t ran_ms = ran_us / CQ_US_PER_MS;
  struct broken *b;
  struct suspect *s;

  if (e->draining || e->gone)
    return;
  s = need (owner, e);
  if (s == NULL)
    return;
  if (s->n == 0)
    s->broke_us = now_us;
  b = place_for (s, ran_ms);
  if (b != NULL)
    *b = (struct broken){ *id, ran_ms };
  if (!s->probing && !s->timer.armed)
    send_probe (s, now_us);
}

struct relaycrash *
relaycrash_new (const struct relaycrash_opts *opts)
{
  struct relaycrash *owner = g_new0 (struct relaycrash, 1);

  owner->opts = *opts;
  APR_RING_INIT (&owner->suspects, suspect, link);
  return owner;
}

void
relaycrash_free (struct relaycrash *owner)
{
  struct suspect *s, *next;

  owner->closed = true;
  /* Held up by itself, so that it outlives the loop. */
  owner->count++;
  for (s = APR_RING_FIRST (&owner->suspects);
       s != APR_RING_SENTINEL (&owner->suspects, suspect, link); s = next)
    {
      next = APR_RING_NEXT (s, link);
      if (!s->probing)
        drop (s);
    }
  if (--owner->count == 0)
    g_free (owner);
}
