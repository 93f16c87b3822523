/*
 * Places and queue: who starts next, and where.
 *
 * This is where the deciding library meets the locks: lim_lock guards limits
 * and queues, route_lock the endpoints, always taken in that order.
 */
#include "libserver.h"

#include <string.h>

#define MAX_SOURCES 8 /* stores that are compared */
#define MAX_HITS 32   /* endpoints with a cached prefix that are compared */

static void on_placed (void *arg);

static struct job *
job_of (struct fq_entry *e)
{
  return (struct job *)((char *)e - offsetof (struct job, entry));
}

static void
post (struct job *j, void (*run) (void *))
{
  j->msg.run = run;
  j->msg.arg = j;
  loop_post (j->worker->loop, &j->msg);
}

/* --- queue ----------------------------------------------------------- */

static struct fq_flow *
flow_of (struct job *j)
{
  struct workspace *w = j->workspace;
  enum fq_class class = j->urgent ? FQ_URGENT : FQ_NORMAL;
  int n = (j->worker->server->max_services) * FQ_CLASSES;
  int i = j->service->index * FQ_CLASSES + (int)class;

  if (w->flows == NULL)
    w->flows = g_new0 (struct fq_flow *, n);
  if (w->flows[i] == NULL)
    {
      w->flows[i] = g_new (struct fq_flow, 1);
      fq_flow_init (w->flows[i], &w->lim, class);
    }
  return w->flows[i];
}

static const char *
fq_refusal (enum fq_code code)
{
  return code == FQ_FULL ? "queue_full" : "too_late";
}

/* The queue gave this job's place to another workspace. */
static void
on_pushed_out (void *arg)
{
  struct job *j = arg;

  j->pending_ops--;
  j->callbacks->refuse (j, "pushed_out",
                        j->service->queue.hold_us + CQ_US_PER_S);
}

static int
places_of (struct job *j, int64_t now_us)
{
  struct server *s = j->worker->server;
  int n;

  g_mutex_lock (&s->route_lock);
  n = route_places (s->routes, j->service->index, now_us);
  g_mutex_unlock (&s->route_lock);
  return n;
}

/* Queue J under lim_lock; NULL or a refusal. */
static const char *
enqueue (struct job *j, int64_t now_us, int64_t *retry_after_us)
{
  int places = places_of (j, now_us);
  struct fq_verdict v;

  if (places == 0)
    {
      *retry_after_us = CQ_US_PER_S;
      return "all_down";
    }
  j->entry.cost = j->cost;
  /* Work that has started once is not late for its first start any more. */
  j->entry.deadline_us = j->may_have_run ? G_MAXINT64 : j->deadline_us;
  v = fq_push (&j->service->queue, flow_of (j), &j->entry, places, now_us);
  *retry_after_us = v.wait_us + CQ_US_PER_S;
  if (v.code != FQ_QUEUED)
    return fq_refusal (v.code);
  j->state = JOB_QUEUED;
  met_add (MET_QUEUED, 1);
  if (v.victim != NULL)
    {
      met_add (MET_QUEUED, -1);
      job_of (v.victim)->pending_ops++;
      post (job_of (v.victim), on_pushed_out);
    }
  return NULL;
}

/* Admit and queue a job; NULL or the reason of the refusal. */
const char *
jobsched_submit (struct job *j, int64_t now_us, int64_t *retry_after_us)
{
  struct server *s = j->worker->server;
  int64_t tokens = j->is_model ? j->cost : 0;
  struct lim_verdict v;
  const char *code = NULL;

  g_mutex_lock (&s->lim_lock);
  v = lim_admit (&j->workspace->lim, now_us, tokens, 0);
  *retry_after_us = v.retry_after_us;
  if (v.code != LIM_OK)
    code = lim_name (v.code);
  else
    {
      j->admitted = true;
      budget_earn (&j->service->budget);
      code = enqueue (j, now_us, retry_after_us);
    }
  g_mutex_unlock (&s->lim_lock);
  if (code == NULL)
    jobsched_dispatch (s, j->service, now_us);
  return code;
}

/* The first cause says more than "no other endpoint is left". */
static const char *
why_not (const struct job *j, const char *code)
{
  return j->nfailed > 0 ? j->reason : code;
}

/* Queue a job again for another attempt, or because its place was gone. */
void
jobsched_requeue (struct job *j, int64_t now_us)
{
  struct server *s = j->worker->server;
  int64_t retry_after = 0;
  const char *code;

  g_mutex_lock (&s->lim_lock);
  code = enqueue (j, now_us, &retry_after);
  g_mutex_unlock (&s->lim_lock);
  if (code != NULL)
    j->callbacks->refuse (j, why_not (j, code), retry_after);
}

/* Take a job out of the queue; false if it was placed meanwhile. */
bool
jobsched_cancel (struct job *j)
{
  struct server *s = j->worker->server;
  bool queued;

  g_mutex_lock (&s->lim_lock);
  queued = j->entry.flow != NULL;
  if (queued)
    fq_remove (&j->service->queue, &j->entry);
  g_mutex_unlock (&s->lim_lock);
  if (queued)
    met_add (MET_QUEUED, -1);
  return queued;
}

void
jobsched_refund_tokens (struct job *j, int64_t tokens)
{
  struct server *s = j->worker->server;

  if (!j->is_model)
    return;
  g_mutex_lock (&s->lim_lock);
  lim_refund (&j->workspace->lim, tokens);
  g_mutex_unlock (&s->lim_lock);
}

/* Whether the service's retry budget pays for one more attempt. */
bool
jobsched_spend_retry (struct job *j)
{
  struct server *s = j->worker->server;
  bool paid;

  g_mutex_lock (&s->lim_lock);
  paid = budget_spend (&j->service->budget);
  g_mutex_unlock (&s->lim_lock);
  return paid;
}

/* --- places ---------------------------------------------------------- */

static struct route_choice
pick (struct server *s, struct job *j, int64_t now_us)
{
  struct pfx_hit hits[MAX_HITS];
  struct plan_source sources[MAX_SOURCES];
  struct route_query q = { .service = j->service->index };
  struct route_choice c;

  q.weights.first = 100;
  q.exclude = j->failed_endpoints;
  q.nexclude = j->nfailed;
  if (j->is_model)
    {
      q.version = j->service_cfg->version;
      q.prompt_tokens = j->prompt.prompt_tokens;
      q.block_tokens = PFX_BLOCK_BYTES / WIRE_BYTES_PER_TOKEN;
      q.weights.first = (int)j->service_cfg->weight_first;
      q.weights.recompute = (int)j->service_cfg->weight_recompute;
      q.weights.link = (int)j->service_cfg->weight_link;
      q.hits = hits;
      q.nhits = pfx_lookup (s->prefixes, j->prefix_digests, j->nprefix_digests,
                            hits, MAX_HITS);
      q.sources = sources;
      q.nsources = kept_sources (s->kept, j, now_us, sources, MAX_SOURCES);
    }
  c = route_pick (s->routes, &q, now_us);
  if (c.code == ROUTE_CHOSEN)
    {
      route_sent (s->routes, c.endpoint,
                  q.prompt_tokens - c.cached_tokens - c.import_tokens, now_us);
      pfx_sent (s->prefixes, c.endpoint, q.prompt_tokens - c.cached_tokens);
      pfx_learn (s->prefixes, j->prefix_digests, j->nprefix_digests,
                 c.endpoint);
    }
  return c;
}

/* Places that one workspace may hold with normal work. */
static int
share_of (struct server *s, const struct service *sv, int64_t now_us)
{
  int places = route_places (s->routes, sv->index, now_us);
  int share = (int)(places * sv->cfg->share_percent / 100);

  return share > 0 ? share : 1;
}

/* Start waiting requests of a service as long as places are free. */
void
jobsched_dispatch (struct server *s, struct service *sv, int64_t now_us)
{
  struct fq_entry *e;
  struct job *j;
  bool more = true;

  while (more)
    {
      g_mutex_lock (&s->lim_lock);
      g_mutex_lock (&s->route_lock);
      e = fq_pop (&sv->queue, route_free_places (s->routes, sv->index, now_us),
                  share_of (s, sv, now_us));
      j = e ? job_of (e) : NULL;
      if (j != NULL)
        {
          j->choice = pick (s, j, now_us);
          j->pending_ops++;
          j->has_slot = j->choice.code == ROUTE_CHOSEN;
          if (j->has_slot)
            kept_import_begin (s->kept, j, now_us);
          else
            fq_finished (flow_of (j));
        }
      g_mutex_unlock (&s->route_lock);
      g_mutex_unlock (&s->lim_lock);
      more = j != NULL && j->has_slot;
      if (j != NULL)
        {
          met_add (MET_QUEUED, -1);
          post (j, on_placed);
        }
    }
}

void
jobsched_dispatch_all (struct server *s, int64_t now_us)
{
  int n = cfg_count (server_cfg (s), CFG_SERVICE);
  bool waiting;
  int i;

  for (i = 0; i < n; i++)
    {
      g_mutex_lock (&s->lim_lock);
      waiting = s->services[i].queue.queued[FQ_URGENT] > 0
                || s->services[i].queue.queued[FQ_NORMAL] > 0;
      g_mutex_unlock (&s->lim_lock);
      if (waiting)
        jobsched_dispatch (s, &s->services[i], now_us);
    }
}

/* Give the place at the endpoint back. */
void
jobsched_release_slot (struct job *j, int64_t now_us)
{
  struct server *s = j->worker->server;

  if (!j->has_slot)
    return;
  j->has_slot = false;
  met_add (MET_RUNNING, -1);
  g_mutex_lock (&s->lim_lock);
  fq_finished (flow_of (j));
  fq_held (&j->service->queue, now_us - j->slot_taken_us);
  g_mutex_lock (&s->route_lock);
  route_done (s->routes, j->choice.endpoint);
  g_mutex_unlock (&s->route_lock);
  g_mutex_unlock (&s->lim_lock);
  jobsched_dispatch (s, j->service, now_us);
}

/* Tell routing how the call to the chosen endpoint went. */
void
jobsched_report_result (struct job *j, enum route_result result,
                        int64_t now_us)
{
  struct server *s = j->worker->server;

  g_mutex_lock (&s->route_lock);
  route_result (s->routes, j->choice.endpoint, result, now_us);
  g_mutex_unlock (&s->route_lock);
}

static void
log_choice (struct job *j)
{
  const struct route_choice *c = &j->choice;
  const char *name = "none";

  if (c->code == ROUTE_CHOSEN)
    name = cfg_endpoint (server_cfg (j->worker->server), c->endpoint)->id;
  job_log (j, "route",
           "endpoint=%s reason=%s cost_us=%" G_GINT64_FORMAT
           " queue_us=%" G_GINT64_FORMAT " compute_us=%" G_GINT64_FORMAT
           " network_us=%" G_GINT64_FORMAT " cached_tokens=%" G_GINT64_FORMAT
           " import_tokens=%" G_GINT64_FORMAT " import_us=%" G_GINT64_FORMAT
           " score=%" G_GINT64_FORMAT " prompt_tokens=%" G_GINT64_FORMAT
           " candidates=%d near=%d",
           name, route_code_name (c->code), (gint64)c->cost_us,
           (gint64)c->queue_us, (gint64)c->compute_us, (gint64)c->network_us,
           (gint64)c->cached_tokens, (gint64)c->import_tokens,
           (gint64)c->import_us, (gint64)c->score,
           (gint64)j->prompt.prompt_tokens, c->candidates, c->near);
}

/* On the job's own thread: a place was found, or none can be. */
static void
on_placed (void *arg)
{
  struct job *j = arg;
  int64_t now = loop_now_us ();

  j->pending_ops--;
  if (j->has_slot)
    {
      met_add (MET_RUNNING, 1);
      j->slot_taken_us = now;
    }
  log_choice (j);
  if (j->attempts == 0)
    met_observe (MET_QUEUE_TIME, now - j->arrived_us);
  if (j->caller == NULL)
    j->callbacks->refuse (j, "caller_gone", 0);
  else if (j->choice.code == ROUTE_BUSY)
    jobsched_requeue (j, now);
  else if (j->choice.code != ROUTE_CHOSEN)
    j->callbacks->refuse (j, why_not (j, route_code_name (j->choice.code)),
                          CQ_US_PER_S);
  else
    j->callbacks->on_slot_taken (j);
}
