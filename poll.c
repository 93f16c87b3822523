/*
 * Load reports: each endpoint is asked at an interval, with jitter so that
 * the VMs do not ask in step.
 */
#include "libserver.h"

#include <string.h>

#define FIRST_ROUND_US (2 * CQ_US_PER_S) /* then serve without all reports */
#define JITTER_PERCENT 20
#define GONE_AFTER 3 /* reports missed in a row before a place is doubted */

/* What is asked of one endpoint. */
struct target
{
  struct poller *poller; /* whose */
  int endpoint;          /* index */
  bool asked;            /* a report is under way */
  bool heard;            /* asked at least once to the end */
  int missed;            /* reports missed in a row */
  int64_t next_us;       /* when to ask again */
  int64_t next_event;    /* number of the next cache event */
};

struct poller
{
  struct server *server;   /* whose endpoints */
  struct worker *worker;   /* whose thread asks */
  struct loop_timer timer; /* next look */
  struct target *targets;  /* one for each endpoint */
  int n;                   /* their number */
  GRand *rand;             /* jitter */
};

static int64_t
interval_us (struct poller *p)
{
  int64_t us = cfg_vm (server_cfg (p->server))->poll_ms * CQ_US_PER_MS;
  int64_t spread = us * JITTER_PERCENT / 100;

  return us - spread / 2 + (int64_t)(g_rand_double (p->rand) * (double)spread);
}

/* Serve once every endpoint has been asked, or enough time has passed. */
static void
check_started (struct poller *p, int64_t now_us)
{
  int i;

  if (server_phase (p->server) != PHASE_STARTING
      || (p->server->conf != NULL && !conf_ready (p->server->conf)))
    return;
  for (i = 0; i < p->n; i++)
    if (!p->targets[i].heard
        && now_us - p->server->started_us < FIRST_ROUND_US)
      return;
  server_set_phase (p->server, PHASE_SERVING);
}

static void
log_change (struct target *t, const struct route_report *old,
            const struct route_report *new)
{
  const char *id
      = cfg_endpoint (server_cfg (t->poller->server), t->endpoint)->id;

  if (strcmp (old->version, new->version) != 0
      || strcmp (old->incarnation, new->incarnation) != 0
      || old->leaving != new->leaving)
    log_event (LOG_LEVEL_INFO, "endpoint",
               "endpoint=%s version=%s incarnation=%s leaving=%d", id,
               new->version, new->incarnation, new->leaving);
}

/* A new life or other weights: nothing it cached before is there any more. */
static bool
cache_lost (const struct route_report *old, const struct route_report *new)
{
  return old->at_us != 0
         && (strcmp (old->incarnation, new->incarnation) != 0
             || strcmp (old->version, new->version) != 0);
}

/* Cache events: what was evicted is not counted on; where numbers are missing
   the endpoint's entries become doubtful. */
static void
take_events (struct target *t, const struct load_report *report)
{
  struct pfx *p = t->poller->server->prefixes;
  int i;

  if (report->first_event > t->next_event && t->next_event > 0)
    {
      pfx_mark_gap (p, t->endpoint);
      log_event (
          LOG_LEVEL_INFO, "cache_gap", "endpoint=%s missing=%" G_GINT64_FORMAT,
          cfg_endpoint (server_cfg (t->poller->server), t->endpoint)->id,
          (gint64)(report->first_event - t->next_event));
    }
  for (i = 0; i < report->nremoved; i++)
    pfx_remove (p, report->removed[i], t->endpoint);
  t->next_event = report->next_event;
}

static void
take_report (struct target *t, const struct load_report *report)
{
  struct server *s = t->poller->server;
  const struct route_report *now = &report->route;
  struct route_report old;

  g_mutex_lock (&s->route_lock);
  old = route_get (s->routes, t->endpoint)->report;
  route_set_report (s->routes, t->endpoint, now);
  route_result (s->routes, t->endpoint, ROUTE_REACHED, now->at_us);
  if (cache_lost (&old, now))
    {
      pfx_invalidate_endpoint (s->prefixes, t->endpoint);
      t->next_event = 0;
    }
  pfx_set_filled (s->prefixes, t->endpoint, report->filled_tokens);
  take_events (t, report);
  g_mutex_unlock (&s->route_lock);
  log_change (t, &old, now);
}

/* An endpoint that does not answer is not chosen before it answers again. */
static void
miss_report (struct target *t, int64_t now_us)
{
  struct server *s = t->poller->server;

  if (++t->missed < GONE_AFTER)
    return;
  if (t->missed == GONE_AFTER)
    log_event (LOG_LEVEL_WARNING, "endpoint", "endpoint=%s silent=1",
               cfg_endpoint (server_cfg (s), t->endpoint)->id);
  g_mutex_lock (&s->route_lock);
  route_result (s->routes, t->endpoint, ROUTE_UNREACHABLE, now_us);
  g_mutex_unlock (&s->route_lock);
}

static void
on_report (void *arg, bool reached, const struct load_report *report)
{
  struct target *t = arg;
  int64_t now = loop_now_us ();

  t->asked = false;
  t->heard = true;
  t->next_us = now + interval_us (t->poller);
  if (reached)
    {
      t->missed = 0;
      take_report (t, report);
    }
  else
    miss_report (t, now);
  check_started (t->poller, now);
}

static void
on_timer (void *arg, int64_t now_us)
{
  struct poller *p = arg;
  struct endpoint_ops *ops = &p->worker->endpoints;
  struct target *t;
  int64_t next = now_us + CQ_US_PER_S;
  int i;

  p->n = cfg_count (server_cfg (p->server), CFG_ENDPOINT);
  for (i = 0; i < p->n; i++)
    {
      t = &p->targets[i];
      if (cfg_endpoint (server_cfg (p->server), i)->removed)
        continue;
      if (!t->asked && t->next_us <= now_us)
        {
          t->asked = true;
          ops->load (ops->ctx,
                     cfg_endpoint (server_cfg (p->server), i)->address,
                     t->next_event, on_report, t);
        }
      if (!t->asked && t->next_us < next)
        next = t->next_us;
    }
  check_started (p, now_us);
  if (next > now_us + CQ_US_PER_S / 10)
    next = now_us + CQ_US_PER_S / 10;
  loop_arm (p->worker->loop, &p->timer, next);
}

struct poller *
poller_new (struct server *s, struct worker *w)
{
  struct poller *p = g_new0 (struct poller, 1);
  int i;

  p->server = s;
  p->worker = w;
  p->targets = g_new0 (struct target, s->max_endpoints);
  p->rand = g_rand_new ();
  for (i = 0; i < s->max_endpoints; i++)
    p->targets[i] = (struct target){ .poller = p, .endpoint = i };
  p->timer.fire = on_timer;
  p->timer.arg = p;
  loop_arm (w->loop, &p->timer, loop_now_us ());
  return p;
}

/* Ask for no more reports. */
void
poller_stop (struct poller *p)
{
  loop_disarm (&p->timer);
}

void
poller_free (struct poller *p)
{
  loop_disarm (&p->timer);
  g_rand_free (p->rand);
  g_free (p->targets);
  g_free (p);
}
