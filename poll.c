/*
 * Load reports: polls each endpoint at an interval, with jitter so that the
 * VMs do not poll in step.
 */
#include "libserver.h"

#include <string.h>

#define STARTUP_WAIT_MAX_US (2 * CQ_US_PER_S) /* for the first reports */
#define JITTER_PERCENT 20
#define MISSED_REPORTS_MAX 3 /* in a row; then counts as unreachable */

/* Polling state of one endpoint. */
struct endpoint_poll
{
  struct poller *poller; /* poller that it belongs to */
  int endpoint;          /* index of the endpoint */
  bool in_progress;      /* a request for a report is pending */
  bool first_poll_done;  /* at least one poll has completed or failed */
  int missed;            /* reports missed in a row */
  int64_t next_us;       /* time of the next poll */
  int64_t next_event;    /* number of the next cache event */
};

struct poller
{
  struct server *server;       /* server whose endpoints are polled */
  struct worker *worker;       /* worker whose thread polls */
  struct loop_timer timer;     /* fires for the next poll */
  struct endpoint_poll *polls; /* one per endpoint */
  int n;                       /* number of endpoints */
  GRand *rand;                 /* source of the jitter */
};

static int64_t
interval_us (struct poller *p)
{
  int64_t us = cfg_vm (server_cfg (p->server))->poll_ms * CQ_US_PER_MS;
  int64_t spread = us * JITTER_PERCENT / 100;

  return us - spread / 2 + (int64_t)(g_rand_double (p->rand) * (double)spread);
}

/* Starts serving once every endpoint was polled or STARTUP_WAIT_MAX_US passed.
 */
static void
check_startup (struct poller *p, int64_t now_us)
{
  int i;

  if (server_phase (p->server) != PHASE_STARTING
      || (p->server->conf != NULL && !conf_ready (p->server->conf)))
    return;
  for (i = 0; i < p->n; i++)
    if (!p->polls[i].first_poll_done
        && now_us - p->server->started_us < STARTUP_WAIT_MAX_US)
      return;
  server_set_phase (p->server, PHASE_SERVING);
}

static void
log_change (struct endpoint_poll *t, const struct route_report *old,
            const struct route_report *new)
{
  const char *id
      = cfg_endpoint (server_cfg (t->poller->server), t->endpoint)->id;

  if (strcmp (old->version, new->version) != 0
      || strcmp (old->incarnation, new->incarnation) != 0
      || strcmp (old->build, new->build) != 0 || old->leaving != new->leaving)
    log_event (LOG_LEVEL_INFO, "endpoint",
               "endpoint=%s version=%s build=%s incarnation=%s leaving=%d", id,
               new->version, new->build, new->incarnation, new->leaving);
}

/* Returns true if the endpoint restarted or changed its weight version, and so
   lost what it had cached. */
static bool
is_cache_lost (const struct route_report *old, const struct route_report *new)
{
  return old->at_us != 0
         && (strcmp (old->incarnation, new->incarnation) != 0
             || strcmp (old->version, new->version) != 0);
}

/* Applies cache events: removes evicted blocks from the prefix index.  If
   event numbers are missing, all entries of the endpoint become uncertain. */
static void
apply_cache_events (struct endpoint_poll *t, const struct load_report *report)
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
apply_report (struct endpoint_poll *t, const struct load_report *report)
{
  struct server *s = t->poller->server;
  const struct route_report *now = &report->route;
  struct route_report old;

  g_mutex_lock (&s->route_lock);
  old = route_get (s->routes, t->endpoint)->report;
  route_set_report (s->routes, t->endpoint, now);
  route_result (s->routes, t->endpoint, ROUTE_REACHED, now->at_us);
  if (is_cache_lost (&old, now))
    {
      pfx_invalidate_endpoint (s->prefixes, t->endpoint);
      t->next_event = 0;
    }
  pfx_set_filled (s->prefixes, t->endpoint, report->filled_tokens);
  apply_cache_events (t, report);
  g_mutex_unlock (&s->route_lock);
  log_change (t, &old, now);
}

/* After MISSED_REPORTS_MAX missed reports the endpoint is not chosen until it
   replies again. */
static void
report_missed (struct endpoint_poll *t, int64_t now_us)
{
  struct server *s = t->poller->server;

  if (++t->missed < MISSED_REPORTS_MAX)
    return;
  if (t->missed == MISSED_REPORTS_MAX)
    log_event (LOG_LEVEL_WARNING, "endpoint", "endpoint=%s silent=1",
               cfg_endpoint (server_cfg (s), t->endpoint)->id);
  g_mutex_lock (&s->route_lock);
  route_result (s->routes, t->endpoint, ROUTE_UNREACHABLE, now_us);
  g_mutex_unlock (&s->route_lock);
}

static void
on_report (void *arg, bool reached, const struct load_report *report)
{
  struct endpoint_poll *t = arg;
  int64_t now = loop_now_us ();

  t->in_progress = false;
  t->first_poll_done = true;
  t->next_us = now + interval_us (t->poller);
  if (reached)
    {
      t->missed = 0;
      apply_report (t, report);
    }
  else
    report_missed (t, now);
  check_startup (t->poller, now);
}

static void
on_timer (void *arg, int64_t now_us)
{
  struct poller *p = arg;
  struct endpoint_ops *ops = &p->worker->endpoints;
  struct endpoint_poll *t;
  int64_t next = now_us + CQ_US_PER_S;
  int i;

  p->n = cfg_count (server_cfg (p->server), CFG_ENDPOINT);
  for (i = 0; i < p->n; i++)
    {
      t = &p->polls[i];
      if (cfg_endpoint (server_cfg (p->server), i)->removed)
        continue;
      if (!t->in_progress && t->next_us <= now_us)
        {
          t->in_progress = true;
          ops->load (ops->ctx,
                     cfg_endpoint (server_cfg (p->server), i)->address,
                     t->next_event, on_report, t);
        }
      if (!t->in_progress && t->next_us < next)
        next = t->next_us;
    }
  check_startup (p, now_us);
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
  p->polls = g_new0 (struct endpoint_poll, s->max_endpoints);
  p->rand = g_rand_new ();
  for (i = 0; i < s->max_endpoints; i++)
    p->polls[i] = (struct endpoint_poll){ .poller = p, .endpoint = i };
  p->timer.fire = on_timer;
  p->timer.arg = p;
  loop_arm (w->loop, &p->timer, loop_now_us ());
  return p;
}

/* Stops polling. */
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
  g_free (p->polls);
  g_free (p);
}
