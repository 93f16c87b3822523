/* Attempts: sends a request to one endpoint and evaluates how that ended. */
#include "libserver.h"

#include <string.h>

#define CONTENT_TYPE "content-type:"
#define EVENT_STREAM "text/event-stream"

/* --- request --------------------------------------------------------- */

static void
build_model_request (struct job *j, GStrvBuilder *headers)
{
  struct prompt_extra extra = { .urgent = j->urgent };

  extra.cache_salt = j->cache_salt;
  extra.kv_import = kvcache_import_order (j);
  extra.max_tokens = j->max_tokens;
  if (j->stream_begun)
    {
      extra.resume_text = j->strm.text->str;
      extra.resume_offset = j->strm.tokens;
    }
  j->send_body = prompt_to_json (&j->prompt, &extra);
  g_strv_builder_add (headers, "Content-Type: application/json");
}

static void
build_plain_request (struct job *j, GStrvBuilder *headers)
{
  g_autofree char *type
      = g_strconcat ("Content-Type: ", j->content_type, NULL);
  g_autofree char *key = NULL;

  g_strv_builder_add (headers, type);
  /* Scoped by workspace, since two workspaces may choose the same key. */
  if (j->idempotency_key != NULL && j->service_cfg->deduplicates)
    {
      key = g_strdup_printf ("Idempotency-Key: %s/%s", j->workspace_cfg->id,
                             j->idempotency_key);
      g_strv_builder_add (headers, key);
    }
}

static const char *
request_path (const struct job *j)
{
  if (!j->is_model)
    return j->call_path;
  return j->prompt.chat ? "/v1/chat/completions" : "/v1/completions";
}

static void
build_request (struct job *j)
{
  GStrvBuilder *headers = g_strv_builder_new ();
  g_autofree char *attempt
      = g_strdup_printf ("Camphorquay-Attempt: %s.%d", j->id, j->attempts);

  g_free (j->send_body);
  j->send_body = NULL;
  g_strfreev (j->send_headers);
  if (j->is_model)
    build_model_request (j, headers);
  else
    build_plain_request (j, headers);
  g_strv_builder_add (headers, attempt);
  j->send_headers = g_strv_builder_end (headers);
  g_strv_builder_unref (headers);
}

/* --- callbacks of the transfer --------------------------------------- */

/*
 * Last check before the first byte is sent: a worker thread that was suspended
 * may get here long after its claim was made or the caller's deadline passed.
 */
static bool
before_send (void *arg)
{
  struct job *j = arg;
  const struct cfg_service *c = j->service_cfg;
  int64_t now = loop_now_us ();

  if (j->claimed
      && !claim_may_send (j->claim_requested_us,
                          c->send_within_ms * CQ_US_PER_MS, now))
    j->stop_reason = "send_window";
  else if (!j->may_have_run && now >= j->deadline_us)
    j->stop_reason = "deadline";
  j->progress_us = now;
  j->handed_over = j->stop_reason == NULL;
  return j->handed_over;
}

static void
on_header (void *arg, const char *line, size_t len)
{
  struct job *j = arg;
  size_t n = strlen (CONTENT_TYPE);
  g_autofree char *value = NULL;

  j->progress_us = loop_now_us ();
  if (len <= n || g_ascii_strncasecmp (line, CONTENT_TYPE, n) != 0)
    return;
  value = g_strstrip (g_strndup (line + n, len - n));
  g_strlcpy (j->answer_type, value, sizeof j->answer_type);
}

static bool
is_refusal_status (const struct job *j, int status)
{
  int i;

  for (i = 0; i < j->service->nrefusal_statuses; i++)
    if (j->service->refusal_statuses[i] == status)
      return true;
  return false;
}

static size_t
stream_buffer_bytes (const struct job *j)
{
  return (size_t)cfg_vm (server_cfg (j->worker->server))->stream_buffer_kb
         * 1024;
}

static void
record_first_chunk (struct job *j)
{
  if (j->cached_tokens < 0)
    j->cached_tokens = j->strm.cached_tokens;
  kvcache_import_end (j, j->cached_tokens);
  if (j->first_chunk_us != 0)
    return;
  j->first_chunk_us = loop_now_us ();
  met_observe (MET_FIRST_TOKEN, j->first_chunk_us - j->arrived_us);
}

static const char *
stream_error (enum strm_code code)
{
  switch (code)
    {
    case STRM_MORE:
    case STRM_DONE:
      return NULL;
    case STRM_WRONG_VERSION:
      return "wrong_version";
    case STRM_INVALID:
      return "bad_stream";
    case STRM_STALE:
      return "stale_stream";
    }
  return "bad_stream";
}

/* Forwards complete events; the first one starts the reply to the caller. */
static enum xfer_body_result
relay_stream (struct job *j, const char *data, size_t len)
{
  g_autoptr (GString) events = g_string_new (NULL);
  int64_t before = j->strm.tokens;
  enum strm_code code;

  if (j->strm.ended)
    return XFER_CONTINUE;
  /* A caller that reads more slowly than the engine writes must not make the
     buffer grow without bound. */
  if (j->caller->stream_pending (j->caller_arg) > stream_buffer_bytes (j))
    {
      j->paused = true;
      return XFER_PAUSE;
    }
  code = strm_feed (&j->strm, j->attempts, data, len, events);
  if (events->len > 0)
    {
      record_first_chunk (j);
      if (!j->stream_begun)
        jobreply_begin_stream (j);
      j->caller->stream_write (j->caller_arg, events->str, events->len);
      met_add (MET_TOKENS, j->strm.tokens - before);
    }
  j->stop_reason = stream_error (code);
  return j->stop_reason == NULL ? XFER_CONTINUE : XFER_STOP;
}

static enum xfer_body_result
append_answer (struct job *j, const char *data, size_t len)
{
  size_t max
      = (size_t)cfg_vm (server_cfg (j->worker->server))->answer_max_kb * 1024;

  if (j->answer->len + len > max)
    {
      j->stop_reason = "answer_too_large";
      return XFER_STOP;
    }
  g_string_append_len (j->answer, data, (gssize)len);
  return XFER_CONTINUE;
}

static enum xfer_body_result
on_body (void *arg, int status, const char *data, size_t len)
{
  struct job *j = arg;

  j->progress_us = loop_now_us ();
  j->status = status;
  j->streaming = j->is_model && j->prompt.stream && status == 200
                 && g_str_has_prefix (j->answer_type, EVENT_STREAM);
  if (j->streaming && j->caller != NULL)
    return relay_stream (j, data, len);
  return append_answer (j, data, len);
}

/* --- end of an attempt ----------------------------------------------- */

/* Checks that a complete model answer is from the requested weight version. */
static bool
is_version_expected (struct job *j)
{
  char version[WIRE_VERSION_SIZE];

  if (!j->is_model || j->streaming || j->status != 200)
    return true;
  if (!completion_version (j->answer->str, j->answer->len, version,
                           sizeof version, &j->cached_tokens))
    return false;
  return strcmp (version, j->service_cfg->version) == 0;
}

/* A stream is complete with its end mark, however its connection ends. */
static enum send_state
attempt_send_state (struct job *j, const struct xfer_end *end)
{
  if (!end->handed_over)
    return SEND_NONE;
  if (end->status == 0)
    return SEND_PARTIAL;
  if (j->streaming && j->strm.ended)
    return SEND_COMPLETE;
  if (end->complete && is_refusal_status (j, end->status))
    return SEND_REFUSED;
  if (!end->complete || j->streaming || !is_version_expected (j))
    return SEND_REPLIED;
  return SEND_COMPLETE;
}

static struct out_verdict
evaluate (struct job *j, enum send_state sent, bool attempts_left)
{
  const struct cfg_service *c = j->service_cfg;
  struct out_facts f = { .sent = sent, .status = j->status };

  /* An endpoint that deduplicates by key may get the same call again. */
  f.idempotent
      = c->repeatable || (c->deduplicates && j->idempotency_key != NULL);
  f.ran_before = j->may_have_run;
  f.caller_has_bytes = j->stream_begun;
  f.ends_stream = j->strm.ended;
  f.resumable = j->strm.resumable;
  f.attempts_left = attempts_left;
  f.deadline_passed = !j->may_have_run && loop_now_us () >= j->deadline_us;
  return out_evaluate (&f);
}

static bool
attempts_left (const struct job *j, enum send_state sent)
{
  /* No retry if the deadline or an expired claim prevented the send. */
  if (sent == SEND_NONE && j->stop_reason != NULL)
    return false;
  return j->attempts < j->service_cfg->attempts && j->nfailed < MAX_ATTEMPTS;
}

/* Evaluates an attempt; charges the retry budget only if a retry follows. */
static struct out_verdict
evaluate_with_budget (struct job *j, enum send_state sent)
{
  struct out_verdict v = evaluate (j, sent, attempts_left (j, sent));

  if (v.next != NEXT_FINISH && !jobsched_spend_retry (j))
    v = evaluate (j, sent, false);
  return v;
}

/* Reports the result of an attempt to routing, except if this VM stopped the
   call for a reason that is not the endpoint's fault. */
static void
report_to_routing (struct job *j, enum send_state sent, int64_t now_us)
{
  bool stopped_here
      = j->stop_reason != NULL && strcmp (j->stop_reason, "stalled") != 0;

  if (sent == SEND_COMPLETE)
    jobsched_report_result (j, ROUTE_REACHED, now_us);
  else if (sent == SEND_NONE && !stopped_here)
    jobsched_report_result (j, ROUTE_UNREACHABLE, now_us);
  else if (sent != SEND_REFUSED && !stopped_here)
    jobsched_report_result (j, ROUTE_CONN_BROKEN, now_us);
}

static void
finish_job (struct job *j, struct out_verdict v)
{
  if (j->stop_reason != NULL && v.outcome != OUT_ANSWERED)
    v.reason = j->stop_reason;
  if (j->claimed && v.outcome != OUT_NOT_RUN)
    {
      j->outcome = v.outcome;
      j->reason = v.reason;
      j->callbacks->on_outcome (j);
    }
  else if (v.outcome == OUT_NOT_RUN)
    j->callbacks->refuse (j, v.reason, CQ_US_PER_S);
  else
    j->callbacks->finish (j, v.outcome, v.reason);
}

static void
attempt_retry (struct job *j, enum out_next next, const char *reason)
{
  struct server *s = j->worker->server;
  struct service *sv = j->service;
  int64_t now = loop_now_us ();

  met_add (next == NEXT_RESUME ? MET_RESUMES : MET_RETRIES, 1);
  job_log (j, next == NEXT_RESUME ? "resume" : "retry",
           "after=%d offset=%" G_GINT64_FORMAT, j->attempts,
           (gint64)(j->stream_begun ? j->strm.tokens : 0));
  j->failed_endpoints[j->nfailed++] = j->choice.endpoint;
  j->reason = reason;
  jobsched_requeue (j, now);
  jobsched_dispatch (s, sv, now);
}

/* Decides what follows an attempt whose call has ended. */
static void
attempt_ended (struct job *j, enum send_state sent, const char *error)
{
  int64_t now = loop_now_us ();
  struct out_verdict v;

  v = evaluate_with_budget (j, sent);
  j->answer_whole = sent == SEND_COMPLETE || sent == SEND_REFUSED;
  if (sent != SEND_NONE && sent != SEND_REFUSED)
    j->may_have_run = true;
  job_log (j, "attempt_end",
           "attempt=%d sent=%s status=%d next=%s reason=%s "
           "took_us=%" G_GINT64_FORMAT " error=\"%s\"",
           j->attempts, out_send_name (sent), j->status,
           out_next_name (v.next), j->stop_reason ? j->stop_reason : v.reason,
           (gint64)(now - j->attempt_started_us), error);
  report_to_routing (j, sent, now);
  kvcache_import_end (j, j->cached_tokens);
  if (j->is_model && sent == SEND_COMPLETE && j->status == 200)
    kvcache_on_completed (j);
  jobsched_release_slot (j, now);
  if (v.next == NEXT_FINISH)
    finish_job (j, v);
  else
    attempt_retry (j, v.next, j->stop_reason ? j->stop_reason : v.reason);
}

static void
on_end (void *arg, const struct xfer_end *end)
{
  struct job *j = arg;
  enum send_state sent = attempt_send_state (j, end);

  j->call = NULL;
  j->status = end->status;
  attempt_ended (j, sent, end->error);
}

/* --- start and stop -------------------------------------------------- */

static const struct xfer_events events = {
  .before_send = before_send,
  .on_header = on_header,
  .on_body = on_body,
  .on_end = on_end,
};

void
attempt_start (struct job *j)
{
  const struct cfg_endpoint *e
      = cfg_endpoint (server_cfg (j->worker->server), j->choice.endpoint);
  struct call_opts o = { .address = e->address };

  j->attempts++;
  j->state = JOB_RUNNING;
  j->stop_reason = NULL;
  j->status = 0;
  j->handed_over = false;
  j->paused = false;
  j->streaming = false;
  j->answer_type[0] = '\0';
  j->cached_tokens = -1;
  if (j->answer == NULL)
    j->answer = g_string_new (NULL);
  g_string_truncate (j->answer, 0);
  j->answer_whole = false;
  if (j->is_model)
    strm_start_attempt (&j->strm, j->attempts);
  build_request (j);
  j->attempt_started_us = loop_now_us ();
  j->progress_us = j->attempt_started_us;
  o.path = request_path (j);
  o.headers = (const char *const *)j->send_headers;
  o.body = j->is_model ? j->send_body : j->body->str;
  o.body_len = j->is_model ? strlen (j->send_body) : j->body->len;
  o.may_repeat = j->service_cfg->repeatable;
  met_add (MET_ATTEMPTS, 1);
  met_add (MET_PROMPT_TOKENS, j->prompt.prompt_tokens);
  met_add (MET_CACHED_TOKENS, j->choice.cached_tokens);
  job_log (j, "send", "attempt=%d endpoint=%s resume_offset=%" G_GINT64_FORMAT,
           j->attempts, e->id, (gint64)(j->stream_begun ? j->strm.tokens : 0));
  j->call
      = j->worker->endpoints.call (j->worker->endpoints.ctx, &o, &events, j);
}

/* Cancels the running attempt, if any; the endpoint sees the connection
   close. */
void
attempt_stop (struct job *j)
{
  if (j->call == NULL)
    return;
  j->worker->endpoints.cancel (j->worker->endpoints.ctx, j->call);
  j->call = NULL;
}

/* Cancels an attempt that took too long and treats it as a broken connection.
 */
void
attempt_abort (struct job *j, const char *reason)
{
  enum send_state sent = SEND_PARTIAL;

  if (!j->handed_over)
    sent = SEND_NONE;
  else if (j->streaming && j->strm.ended)
    sent = SEND_COMPLETE;
  else if (j->status != 0)
    sent = SEND_REPLIED;
  attempt_stop (j);
  j->stop_reason = reason;
  attempt_ended (j, sent, "");
}

/* --- slow callers ---------------------------------------------------- */

static void
on_unpause (void *arg)
{
  struct job *j = arg;

  j->unpause_posted = false;
  if (j->state == JOB_RUNNING && j->call != NULL && j->paused)
    {
      j->paused = false;
      j->progress_us = loop_now_us ();
      j->worker->endpoints.unpause (j->worker->endpoints.ctx, j->call);
    }
  job_free_if_done (j);
}

/* The caller read bytes: resumes the transfer once half of the buffer is free.
   Posted as a message, because libcurl and the HTTP daemon must not call into
   each other. */
void
job_drained (struct job *j)
{
  if (!j->paused || j->unpause_posted
      || j->caller->stream_pending (j->caller_arg)
             > stream_buffer_bytes (j) / 2)
    return;
  j->unpause_posted = true;
  j->unpause.run = on_unpause;
  j->unpause.arg = j;
  loop_post (j->worker->loop, &j->unpause);
}
