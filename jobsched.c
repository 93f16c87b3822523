/*
 * Scheduling of jobs: which queued job starts next, and at which endpoint.
 *
 * Calls the decision library under the locks that it needs: lim_lock guards
 * limits and queues, route_lock the endpoints; always taken in that order.
 */
#include "libserver.h"

#include <string.h>

#define SOURCES_MAX 8 /* candidate stores of an import */
#define HITS_MAX 32   /* candidate endpoints with a cached prefix */

static void on_scheduled (void *arg);

static struct job *
entry_job (struct fq_entry *e)
{
  return (struct job *)((char *)e - offsetof (struct job, entry));
}

static void
post_to_job (struct job *j, void (*run) (void *))
{
  j->msg.run = run;
  j->msg.arg = j;
  loop_post (j->worker->loop, &j->msg);
}

/* --- queue ----------------------------------------------------------- */

static struct fq_flow *
job_flow (struct job *j)
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
queue_refusal (enum fq_code code)
{
  return code == FQ_FULL ? "queue_full" : "too_late";
}

/* The queue evicted this job in favour of another workspace. */
static void
on_evicted (void *arg)
{
  struct job *j = arg;

  j->pending_ops--;
  j->callbacks->refuse (j, "pushed_out",
                        j->service->queue.hold_us + CQ_US_PER_S);
}

static int
slot_count (struct job *j, int64_t now_us)
{
  struct server *s = j->worker->server;
  int n;

  g_mutex_lock (&s->route_lock);
  n = route_slots (s->routes, j->service->index, now_us);
  g_mutex_unlock (&s->route_lock);
  return n;
}

/* Queues J under lim_lock; returns NULL or the code of a refusal. */
static const char *
enqueue (struct job *j, int64_t now_us, int64_t *retry_after_us)
{
  int slots = slot_count (j, now_us);
  struct fq_verdict v;

  if (slots == 0)
    {
      *retry_after_us = CQ_US_PER_S;
      return "all_down";
    }
  j->entry.cost = j->cost;
  /* The deadline applies only until an attempt may have run. */
  j->entry.deadline_us = j->may_have_run ? G_MAXINT64 : j->deadline_us;
  v = fq_push (&j->service->queue, job_flow (j), &j->entry, slots, now_us);
  *retry_after_us = v.wait_us + CQ_US_PER_S;
  if (v.code != FQ_QUEUED)
    return queue_refusal (v.code);
  j->state = JOB_QUEUED;
  met_add (MET_QUEUED, 1);
  if (v.evicted != NULL)
    {
      met_add (MET_QUEUED, -1);
      entry_job (v.evicted)->pending_ops++;
      post_to_job (entry_job (v.evicted), on_evicted);
    }
  return NULL;
}

/* Admits and queues a job; returns NULL or the code of a refusal. */
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

/* After a failed attempt its reason tells the caller more than the reason why
   no other endpoint was found. */
static const char *
refusal_reason (const struct job *j, const char *code)
{
  return j->nfailed > 0 ? j->reason : code;
}

/* Queues a job again, for another attempt or because it got no slot. */
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
    j->callbacks->refuse (j, refusal_reason (j, code), retry_after);
}

/* Removes a job from the queue; returns false if it was scheduled already. */
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

/* Takes one retry from the service's retry budget; returns false if the budget
   is exhausted. */
bool
jobsched_spend_retry (struct job *j)
{
  struct server *s = j->worker->server;
  bool has_budget;

  g_mutex_lock (&s->lim_lock);
  has_budget = budget_spend (&j->service->budget);
  g_mutex_unlock (&s->lim_lock);
  return has_budget;
}

/* --- slots ----------------------------------------------------------- */

static struct route_choice
pick (struct server *s, struct job *j, int64_t now_us)
{
  struct pfx_hit hits[HITS_MAX];
  struct plan_source sources[SOURCES_MAX];
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
                            hits, HITS_MAX);
      q.sources = sources;
      q.nsources
          = kvcache_find_sources (s->kvcache, j, now_us, sources, SOURCES_MAX);
    }
  /* What two builds write does not fit together in one stream. */
  if (j->stream_begun)
    q.build = j->stream_build;
  c = route_pick (s->routes, &q, now_us);
  if (c.code == ROUTE_CHOSEN)
    {
      g_strlcpy (j->build, route_get (s->routes, c.endpoint)->report.build,
                 sizeof j->build);
      route_sent (s->routes, c.endpoint,
                  q.prompt_tokens - c.cached_tokens - c.import_tokens, now_us);
      pfx_add_filled (s->prefixes, c.endpoint,
                      q.prompt_tokens - c.cached_tokens);
      pfx_record (s->prefixes, j->prefix_digests, j->nprefix_digests,
                  c.endpoint);
    }
  return c;
}

/* Returns the number of slots that one workspace may hold with normal
   requests. */
static int
normal_slots_max (struct server *s, const struct service *sv, int64_t now_us)
{
  int slots = route_slots (s->routes, sv->index, now_us);
  int share = (int)(slots * sv->cfg->share_percent / 100);

  return share > 0 ? share : 1;
}

/* Starts queued requests of a service as long as slots are free. */
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
      e = fq_pop (&sv->queue, route_free_slots (s->routes, sv->index, now_us),
                  normal_slots_max (s, sv, now_us));
      j = e ? entry_job (e) : NULL;
      if (j != NULL)
        {
          j->choice = pick (s, j, now_us);
          j->pending_ops++;
          j->has_slot = j->choice.code == ROUTE_CHOSEN;
          if (j->has_slot)
            kvcache_import_begin (s->kvcache, j, now_us);
          else
            fq_finished (job_flow (j));
        }
      g_mutex_unlock (&s->route_lock);
      g_mutex_unlock (&s->lim_lock);
      more = j != NULL && j->has_slot;
      if (j != NULL)
        {
          met_add (MET_QUEUED, -1);
          post_to_job (j, on_scheduled);
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

/* Releases the job's slot at the endpoint. */
void
jobsched_release_slot (struct job *j, int64_t now_us)
{
  struct server *s = j->worker->server;

  if (!j->has_slot)
    return;
  j->has_slot = false;
  met_add (MET_RUNNING, -1);
  g_mutex_lock (&s->lim_lock);
  fq_finished (job_flow (j));
  fq_add_hold_time (&j->service->queue, now_us - j->slot_taken_us);
  g_mutex_lock (&s->route_lock);
  route_done (s->routes, j->choice.endpoint);
  g_mutex_unlock (&s->route_lock);
  g_mutex_unlock (&s->lim_lock);
  jobsched_dispatch (s, j->service, now_us);
}

/* Reports the result of the call to the chosen endpoint to routing. */
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
log_route (struct job *j)
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
           (gint64)j->prompt.prompt_tokens, c->candidates, c->near_best);
}

/* On the job's own thread: the job got a slot, or no endpoint can run it. */
static void
on_scheduled (void *arg)
{
  struct job *j = arg;
  int64_t now = loop_now_us ();

  j->pending_ops--;
  if (j->has_slot)
    {
      met_add (MET_RUNNING, 1);
      j->slot_taken_us = now;
    }
  log_route (j);
  if (j->attempts == 0)
    met_observe (MET_QUEUE_TIME, now - j->arrived_us);
  if (j->caller == NULL)
    j->callbacks->refuse (j, "caller_gone", 0);
  else if (j->choice.code == ROUTE_BUSY)
    jobsched_requeue (j, now);
  else if (j->choice.code != ROUTE_CHOSEN)
    j->callbacks->refuse (
        j, refusal_reason (j, route_code_name (j->choice.code)), CQ_US_PER_S);
  else
    j->callbacks->on_slot_taken (j);
}
