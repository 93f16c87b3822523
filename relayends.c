/* Endpoints that end under requests of this VM. */
#include "relayends.h"

#include <string.h>

#include "log.h"

/* Requests remembered of one endpoint, and endpoints that are asked at a
   time: what broke first is as good as any, and a failure domain's end shows
   at few. */
#define BROKEN_MAX 16
#define ENDPOINTS_MAX 64
/* Between questions to an endpoint that lives: one that breaks answers off
   does so many times a second. */
#define ASK_GAP_US (1 * CQ_US_PER_S)

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
  struct relayends *ends;             /* whose */
  struct fleet_endpoint *endpoint;    /* a reference */
  struct broken requests[BROKEN_MAX]; /* since it was asked last */
  int n;                              /* entries in requests */
  int64_t broke_us;                   /* the first of them broke */
  int64_t asked_us;                   /* it was asked last */
  bool asking;                        /* a question is under way */
  struct loop_timer timer;            /* next question, or it is dropped */
};

struct relayends
{
  struct relayends_opts opts;                     /* as made */
  APR_RING_HEAD (suspect_ring, suspect) suspects; /* asked, or to be */
  int count;                                      /* their number */
  bool closed; /* freed once no question is under way */
};

static void
drop (struct suspect *s)
{
  struct relayends *ends = s->ends;

  loop_disarm (&s->timer);
  APR_RING_REMOVE (s, link);
  fleet_endpoint_unref (s->endpoint);
  g_free (s);
  if (--ends->count == 0 && ends->closed)
    g_free (ends);
}

/* --- evidence -------------------------------------------------------- */

static void
take_evidence (struct suspect *s, int64_t now_us)
{
  const struct relayends_opts *o = &s->ends->opts;
  int64_t now_ms = o->clock_ms (o->arg, now_us);
  struct quar_fact f = { .done = false };
  bool news = false;
  int i;

  f.end.endpoint = s->endpoint->key;
  f.end.at_ms = now_ms - (now_us - s->broke_us) / CQ_US_PER_MS;
  for (i = 0; i < s->n && now_ms > 0; i++)
    {
      f.id = s->requests[i].id;
      f.end.ran_ms = s->requests[i].ran_ms;
      news |= quar_take (o->quar, &f, true);
    }
  if (news)
    o->witnessed (o->arg, now_us);
}

static void
on_pulse (void *arg, enum relay_pulse pulse)
{
  static const char *const names[] = {
    [RELAY_ALIVE] = "alive",
    [RELAY_ENDED] = "ended",
    [RELAY_SILENT] = "silent",
  };
  struct suspect *s = arg;
  int64_t now = loop_now_us ();

  s->asking = false;
  log_event (LOG_LEVEL_INFO, "endpoint_broke",
             "endpoint=%s outcome=%s requests=%d since_us=%" G_GINT64_FORMAT,
             s->endpoint->is.id, names[pulse], s->n,
             (gint64)(now - s->broke_us));
  if (s->ends->closed)
    {
      drop (s);
      return;
    }
  if (pulse == RELAY_ENDED)
    take_evidence (s, now);
  s->n = 0;
  /* Kept for a while, so that it is not asked too often. */
  loop_arm (s->ends->opts.loop, &s->timer, s->asked_us + ASK_GAP_US);
}

static void
ask (struct suspect *s, int64_t now_us)
{
  const struct relay_engine *e = s->ends->opts.engine;

  s->asking = true;
  s->asked_us = now_us;
  e->pulse (e->ctx, s->endpoint, on_pulse, s);
}

static void
on_timer (void *arg, int64_t now_us)
{
  struct suspect *s = arg;

  if (s->n > 0)
    ask (s, now_us);
  else
    drop (s);
}

/* --- breaks ---------------------------------------------------------- */

static struct suspect *
find (const struct relayends *ends, const struct fleet_endpoint *e)
{
  struct suspect *s;

  APR_RING_FOREACH (s, &ends->suspects, suspect, link)
  if (s->endpoint == e)
    return s;
  return NULL;
}

static struct suspect *
need (struct relayends *ends, struct fleet_endpoint *e)
{
  struct suspect *s = find (ends, e);

  if (s != NULL || ends->count >= ENDPOINTS_MAX)
    return s;
  s = g_new0 (struct suspect, 1);
  s->ends = ends;
  s->endpoint = fleet_endpoint_ref (e);
  s->timer.fire = on_timer;
  s->timer.arg = s;
  APR_RING_ELEM_INIT (s, link);
  APR_RING_INSERT_TAIL (&ends->suspects, s, suspect, link);
  ends->count++;
  return s;
}

/*
 * One that was leaving ends for that reason: a release would make evidence of
 * each answer that it cuts off.
 */
void
relayends_broke (struct relayends *ends, struct fleet_endpoint *e,
                 const struct reqid *id, int64_t ran_us, int64_t now_us)
{
  struct suspect *s;

  if (e->draining || e->gone)
    return;
  s = need (ends, e);
  if (s == NULL || s->n == BROKEN_MAX)
    return;
  if (s->n == 0)
    s->broke_us = now_us;
  s->requests[s->n].id = *id;
  s->requests[s->n++].ran_ms = ran_us / CQ_US_PER_MS;
  if (!s->asking && !s->timer.armed)
    ask (s, now_us);
}

struct relayends *
relayends_new (const struct relayends_opts *opts)
{
  struct relayends *ends = g_new0 (struct relayends, 1);

  ends->opts = *opts;
  APR_RING_INIT (&ends->suspects, suspect, link);
  return ends;
}

void
relayends_free (struct relayends *ends)
{
  struct suspect *s, *next;

  ends->closed = true;
  /* Held up by itself, so that it outlives the loop. */
  ends->count++;
  for (s = APR_RING_FIRST (&ends->suspects);
       s != APR_RING_SENTINEL (&ends->suspects, suspect, link); s = next)
    {
      next = APR_RING_NEXT (s, link);
      if (!s->asking)
        drop (s);
    }
  if (--ends->count == 0)
    g_free (ends);
}
