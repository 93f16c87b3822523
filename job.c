/*
 * Jobs: one request to a service, from its admission to its reply.
 *
 * jobsched.c assigns a slot to a job, attempt.c sends it, jobclaim.c keeps it
 * from running twice, and jobreply.c answers the caller.  They report through
 * job_callbacks, and this file decides what follows, so that none of them
 * depends on it.
 */
#include "libserver.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define SWEEP_INTERVAL_US (20 * CQ_US_PER_MS)
#define CHECK_SWEEPS 12 /* sweeps between checks of the connection */
/* A parsed prompt is in memory as JSON, as text and as the body to send. */
#define PROMPT_BODY_COPIES 3

static const struct job_callbacks callbacks;

/* --- start ----------------------------------------------------------- */

static struct job *
job_new (const struct job_desc *d, int service)
{
  struct worker *w = d->worker;
  struct server *s = w->server;
  struct job *j = g_new0 (struct job, 1);

  j->worker = w;
  j->caller = d->caller;
  j->caller_arg = d->arg;
  j->callbacks = &callbacks;
  g_strlcpy (j->id, d->id, sizeof j->id);
  j->workspace = &s->workspaces[d->workspace];
  j->service = &s->services[service];
  j->cfg = cfg_ref (server_cfg (s));
  j->service_cfg = cfg_service (j->cfg, service);
  j->workspace_cfg = cfg_workspace (j->cfg, d->workspace);
  j->arrived_us = d->arrived_us;
  j->deadline_us = j->arrived_us + j->service_cfg->deadline_ms * CQ_US_PER_MS;
  j->trace = g_string_new (NULL);
  j->cost = 1;
  j->idempotency_key = g_strdup (d->key);
  APR_RING_ELEM_INIT (j, link);
  return j;
}

static bool
is_service_allowed (const struct cfg_workspace *ws, const char *service)
{
  return g_strv_contains ((const char *const *)ws->services, service);
}

/* Returns the index of the service if the caller may use it, or -1.  A service
   that the caller may not use looks like one that does not exist. */
static int
find_service (const struct job_desc *d, const char *name,
              enum cfg_service_kind kind)
{
  const struct cfg *cfg = server_cfg (d->worker->server);
  int i = cfg_find (cfg, CFG_SERVICE, name);

  if (i < 0 || cfg_service (cfg, i)->removed
      || cfg_service (cfg, i)->kind != (int)kind)
    return -1;
  return is_service_allowed (cfg_workspace (cfg, d->workspace), name) ? i : -1;
}

/* Checks the idempotency key and applies the priority and deadline that the
   caller requested.  Returns NULL or the code of a refusal. */
static const char *
read_options (struct job *j, const char *priority, const char *deadline)
{
  guint64 ms;

  if (j->idempotency_key != NULL
      && (j->idempotency_key[0] == '\0' || strlen (j->idempotency_key) > 255))
    return "bad_header";
  if (priority != NULL && strcmp (priority, "urgent") == 0)
    j->urgent = true;
  else if (priority != NULL && strcmp (priority, "normal") != 0)
    return "bad_header";
  if (j->urgent && !j->workspace_cfg->urgent)
    return "urgent_not_allowed";
  if (deadline == NULL)
    return NULL;
  if (!g_ascii_string_to_unsigned (deadline, 10, 1, 86400000, &ms, NULL))
    return "bad_header";
  j->deadline_us = j->arrived_us + (int64_t)ms * CQ_US_PER_MS;
  return NULL;
}

static const char *
phase_refusal (struct server *s)
{
  switch (server_phase (s))
    {
    case PHASE_STARTING:
      return "starting";
    case PHASE_SERVING:
    case PHASE_NOTICE:
      return NULL;
    case PHASE_DRAINING:
    case PHASE_STOPPED:
      return "stopping";
    }
  return "stopping";
}

static void
job_register (struct job *j)
{
  struct worker *w = j->worker;

  APR_RING_INSERT_TAIL (&w->jobs, j, job, link);
  w->njobs++;
  __atomic_fetch_add (&w->server->live_jobs, 1, __ATOMIC_RELAXED);
  met_add (MET_REQUESTS, 1);
  if (!w->sweep_timer.armed)
    loop_arm (w->loop, &w->sweep_timer, loop_now_us () + SWEEP_INTERVAL_US);
}

static void
job_submit (struct job *j, const struct job_desc *d)
{
  int64_t now = loop_now_us ();
  int64_t retry_after = 0;
  const char *code = phase_refusal (j->worker->server);

  j->caller->started (j->caller_arg, j);
  job_register (j);
  job_log (j, "accept", "kind=%s urgent=%d keyed=%d cost=%" G_GINT64_FORMAT,
           j->is_model ? "model" : "plain", j->urgent,
           j->idempotency_key != NULL, (gint64)j->cost);
  if (code == NULL
      && j->service_cfg->when_stale == CFG_SERVICE_WHEN_STALE_REFUSE
      && j->worker->server->conf != NULL
      && conf_stale (j->worker->server->conf, now))
    code = "settings_stale";
  if (code == NULL)
    code = read_options (j, d->priority, d->deadline_ms);
  else
    retry_after = CQ_US_PER_S;
  if (code == NULL)
    code = jobsched_submit (j, now, &retry_after);
  if (code != NULL)
    j->callbacks->refuse (j, code, retry_after);
}

static void
digest_prompt (struct job *j)
{
  struct pfx_scope scope;

  pfx_scope_init (&scope, j->workspace_cfg->id, j->service_cfg->id,
                  j->service_cfg->version, "");
  sodium_bin2hex (j->cache_salt, sizeof j->cache_salt, scope.key,
                  sizeof scope.key);
  j->prefix_digests = g_new (uint64_t, PFX_MAX_BLOCKS);
  j->nprefix_digests
      = pfx_chain (&scope, j->prompt.text->str, j->prompt.text->len,
                   j->prefix_digests, PFX_MAX_BLOCKS);
  j->prefix_digests
      = g_renew (uint64_t, j->prefix_digests, j->nprefix_digests + 1);
}

const char *
job_start_prompt (const struct job_desc *d, bool chat)
{
  const struct cfg_vm *vm = cfg_vm (server_cfg (d->worker->server));
  struct prompt p;
  g_autoptr (GError) err = NULL;
  struct job *j;
  int service;

  if (!prompt_parse (d->body, d->body_len, chat, &p, &err))
    {
      log_event (LOG_LEVEL_INFO, "refuse",
                 "req=%s outcome=not-run reason=%s detail=\"%s\"", d->id,
                 err->code == WIRE_ERROR_JSON ? "bad_json" : "bad_field",
                 err->message);
      return err->code == WIRE_ERROR_JSON ? "bad_json" : "bad_field";
    }
  service = find_service (d, p.service, CFG_SERVICE_KIND_MODEL);
  if (service < 0)
    {
      prompt_clear (&p);
      return "no_service";
    }
  j = job_new (d, service);
  j->is_model = true;
  j->prompt = p;
  j->max_tokens = p.max_tokens ? p.max_tokens : j->service_cfg->max_tokens;
  j->cost = p.prompt_tokens + j->max_tokens;
  job_charge_memory (j, (int64_t)d->body_len * PROMPT_BODY_COPIES);
  strm_init (&j->strm, j->service_cfg->version,
             (size_t)vm->resume_text_kb * 1024);
  digest_prompt (j);
  job_submit (j, d);
  return NULL;
}

const char *
job_start_call (const struct job_desc *d)
{
  const char *slash = strchr (d->path, '/');
  g_autofree char *name = slash ? g_strndup (d->path, (gsize)(slash - d->path))
                                : g_strdup (d->path);
  int service = find_service (d, name, CFG_SERVICE_KIND_PLAIN);
  struct job *j;

  if (service < 0)
    return "no_service";
  j = job_new (d, service);
  job_charge_memory (j, (int64_t)d->body_len);
  j->body = g_string_new_len (d->body, (gssize)d->body_len);
  j->call_path = g_strdup (slash ? slash : "/");
  j->content_type = g_strdup (d->content_type ? d->content_type
                                              : "application/octet-stream");
  job_submit (j, d);
  return NULL;
}

/* --- end ------------------------------------------------------------- */

static void
job_unregister (struct job *j)
{
  struct worker *w = j->worker;

  APR_RING_REMOVE (j, link);
  w->njobs--;
  __atomic_fetch_sub (&w->server->live_jobs, 1, __ATOMIC_RELAXED);
}

static void
count_outcome (const struct job *j, enum outcome outcome, int64_t now_us)
{
  static const enum met_id ids[] = {
    [OUT_ANSWERED] = MET_ANSWERED,
    [OUT_NOT_RUN] = MET_NOT_RUN,
    [OUT_UNKNOWN] = MET_UNKNOWN,
    [OUT_FAILED] = MET_FAILED,
  };

  met_add (ids[outcome], 1);
  if (outcome == OUT_ANSWERED)
    met_observe (MET_TOTAL_TIME, now_us - j->arrived_us);
}

static void
finish (struct job *j, enum outcome outcome, const char *reason,
        int64_t retry_after_us)
{
  struct server *s = j->worker->server;
  int64_t now = loop_now_us ();
  int64_t used
      = j->is_model ? j->prompt.prompt_tokens + j->strm.tokens : j->cost;

  attempt_stop (j);
  kvcache_import_end (j, -1);
  jobsched_release_slot (j, now);
  if (j->admitted)
    jobsched_refund_tokens (j,
                            outcome == OUT_NOT_RUN ? j->cost : j->cost - used);
  job_log (j, "finish",
           "outcome=%s reason=%s attempts=%d tokens=%" G_GINT64_FORMAT
           " first_us=%" G_GINT64_FORMAT " whole_us=%" G_GINT64_FORMAT,
           out_name (outcome), reason, j->attempts, (gint64)j->strm.tokens,
           (gint64)(j->first_chunk_us ? j->first_chunk_us - j->arrived_us : 0),
           (gint64)(now - j->arrived_us));
  count_outcome (j, outcome, now);
  history_add (s->history, j, outcome, reason, now);
  jobreply_send_outcome (j, outcome, reason, retry_after_us);
  if (j->caller != NULL)
    j->caller->ended (j->caller_arg);
  j->caller = NULL;
  jobclaim_detach (j);
  j->state = JOB_DONE;
  job_unregister (j);
  job_free_if_done (j);
}

/* Ends a job before its next attempt; not-run if no attempt ran. */
static void
refuse (struct job *j, const char *code, int64_t retry_after_us)
{
  enum outcome outcome
      = out_abandoned (j->may_have_run, j->service_cfg->repeatable);

  if (outcome == OUT_NOT_RUN)
    jobclaim_release (j);
  finish (j, outcome, code, retry_after_us);
}

static void
finish_no_retry (struct job *j, enum outcome outcome, const char *reason)
{
  finish (j, outcome, reason, 0);
}

/* The job got a slot.  A non-idempotent call is claimed before it is sent. */
static void
on_slot_taken (struct job *j)
{
  if (server_phase (j->worker->server) >= PHASE_STOPPED)
    refuse (j, "stopping", CQ_US_PER_S);
  else if (jobclaim_is_needed (j))
    jobclaim_start (j);
  else
    attempt_start (j);
}

static const struct job_callbacks callbacks = {
  .on_slot_taken = on_slot_taken,
  .on_outcome = jobclaim_record,
  .refuse = refuse,
  .finish = finish_no_retry,
};

/*
 * The caller disconnected.  An idempotent request is cancelled.  A
 * non-idempotent call continues once it was sent: stopping it would leave it
 * half done, and the caller's retry will ask for the recorded answer.
 */
void
job_caller_disconnected (struct job *j)
{
  j->caller = NULL;
  met_add (MET_CANCELS, 1);
  switch (j->state)
    {
    case JOB_QUEUED:
      if (jobsched_cancel (j))
        refuse (j, "caller_gone", 0);
      return;
    case JOB_RUNNING:
      if (j->service_cfg->repeatable)
        finish (j, OUT_FAILED, "caller_gone", 0);
      return;
    case JOB_WAITING_FOR_OWNER:
      finish (j, OUT_UNKNOWN, "caller_gone", 0);
      return;
    case JOB_CLAIMING:
    case JOB_RECORDING:
    case JOB_DONE:
      /* The pending operation checks for the caller when it completes. */
      return;
    }
}

/* --- stop ------------------------------------------------------------ */

static void
stop_job (struct job *j)
{
  switch (j->state)
    {
    case JOB_QUEUED:
      if (jobsched_cancel (j))
        refuse (j, "stopping", CQ_US_PER_S);
      break;
    case JOB_RUNNING:
      j->may_have_run |= j->handed_over;
      refuse (j, j->may_have_run ? "broken_after_send" : "stopping",
              CQ_US_PER_S);
      break;
    case JOB_RECORDING:
      finish (j, j->outcome, j->reason, 0);
      break;
    case JOB_CLAIMING:
    case JOB_WAITING_FOR_OWNER:
      finish (j, OUT_UNKNOWN, "still_running", 0);
      break;
    case JOB_DONE:
      break;
    }
}

/* Ends all jobs of a worker, since the VM stops: streams as broken. */
void
job_stop_all (struct worker *w)
{
  struct job *j, *next;

  for (j = APR_RING_FIRST (&w->jobs);
       j != APR_RING_SENTINEL (&w->jobs, job, link); j = next)
    {
      next = APR_RING_NEXT (j, link);
      stop_job (j);
    }
}

/* --- sweep ----------------------------------------------------------- */

static void
sweep_running (struct job *j, int64_t now_us)
{
  const struct cfg_service *c = j->service_cfg;

  if (now_us - j->attempt_started_us > c->run_max_s * CQ_US_PER_S)
    attempt_abort (j, "run_max");
  else if (!j->paused && now_us - j->progress_us > c->stall_ms * CQ_US_PER_MS)
    attempt_abort (j, "stalled");
}

static void
sweep_job (struct job *j, int64_t now_us)
{
  switch (j->state)
    {
    case JOB_QUEUED:
      if (now_us >= j->entry.deadline_us && jobsched_cancel (j))
        refuse (j, "deadline", CQ_US_PER_S);
      break;
    case JOB_RUNNING:
      sweep_running (j, now_us);
      break;
    case JOB_WAITING_FOR_OWNER:
      jobclaim_poll (j, now_us);
      break;
    case JOB_RECORDING:
      if (now_us >= j->record_deadline_us)
        finish (j, j->outcome, j->reason, 0);
      break;
    case JOB_CLAIMING:
    case JOB_DONE:
      break;
    }
}

static void
check_connection (struct job *j)
{
  if (j->caller != NULL)
    j->caller->check_connection (j->caller_arg);
}

/* Checks deadlines, stalls and disconnected callers for all jobs of a worker.
 */
void
job_sweep (struct worker *w, int64_t now_us)
{
  static __thread unsigned sweeps;
  bool check = ++sweeps % CHECK_SWEEPS == 0;
  struct job *j, *next;

  for (j = APR_RING_FIRST (&w->jobs);
       j != APR_RING_SENTINEL (&w->jobs, job, link); j = next)
    {
      next = APR_RING_NEXT (j, link);
      if (check)
        check_connection (j);
      sweep_job (j, now_us);
    }
  jobsched_dispatch_all (w->server, now_us);
  if (w->njobs > 0)
    loop_arm (w->loop, &w->sweep_timer, now_us + SWEEP_INTERVAL_US);
}
