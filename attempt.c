/* Attempts: one request at one endpoint, judged when it ends. */
#include "libserver.h"

#include <string.h>

#define CONTENT_TYPE "content-type:"
#define EVENT_STREAM "text/event-stream"

/* --- what is sent ---------------------------------------------------- */

static void
build_model_call (struct job *j, GStrvBuilder *headers)
{
  struct prompt_extra extra = { .urgent = j->urgent };

  extra.cache_salt = j->cache_salt;
  extra.kv_import = kept_import_order (j);
  extra.max_tokens = j->max_tokens;
  if (j->begun)
    {
      extra.resume_text = j->strm.text->str;
      extra.resume_offset = j->strm.tokens;
    }
  j->send_body = prompt_to_json (&j->prompt, &extra);
  g_strv_builder_add (headers, "Content-Type: application/json");
}

static void
build_plain_call (struct job *j, GStrvBuilder *headers)
{
  g_autofree char *type
      = g_strconcat ("Content-Type: ", j->content_type, NULL);
  g_autofree char *key = NULL;

  g_strv_builder_add (headers, type);
  /* Scoped by workspace: two customers may choose the same key. */
  if (j->key != NULL && j->sc->deduplicates)
    {
      key = g_strdup_printf ("Idempotency-Key: %s/%s", j->wc->id, j->key);
      g_strv_builder_add (headers, key);
    }
}

static const char *
path_of (const struct job *j)
{
  if (!j->model)
    return j->call_path;
  return j->prompt.chat ? "/v1/chat/completions" : "/v1/completions";
}

static void
build (struct job *j)
{
  GStrvBuilder *headers = g_strv_builder_new ();
  g_autofree char *attempt
      = g_strdup_printf ("Camphorquay-Attempt: %s.%d", j->id, j->attempts);

  g_free (j->send_body);
  j->send_body = NULL;
  g_strfreev (j->send_headers);
  if (j->model)
    build_model_call (j, headers);
  else
    build_plain_call (j, headers);
  g_strv_builder_add (headers, attempt);
  j->send_headers = g_strv_builder_end (headers);
  g_strv_builder_unref (headers);
}

/* --- what happens under way ------------------------------------------ */

/*
 * The last moment before the first byte leaves.  A worker that was paused may
 * come here long after its claim or the caller's deadline.
 */
static bool
before_send (void *arg)
{
  struct job *j = arg;
  const struct cfg_service *c = j->sc;
  int64_t now = loop_now_us ();

  if (j->claimed
      && !claim_may_send (j->claimed_us, c->send_within_ms * CQ_US_PER_MS,
                          now))
    j->stopped = "send_window";
  else if (!j->ran && now >= j->deadline_us)
    j->stopped = "deadline";
  j->byte_us = now;
  j->handed_over = j->stopped == NULL;
  return j->handed_over;
}

static void
on_header (void *arg, const char *line, size_t len)
{
  struct job *j = arg;
  size_t n = strlen (CONTENT_TYPE);
  g_autofree char *value = NULL;

  j->byte_us = loop_now_us ();
  if (len <= n || g_ascii_strncasecmp (line, CONTENT_TYPE, n) != 0)
    return;
  value = g_strstrip (g_strndup (line + n, len - n));
  g_strlcpy (j->answer_type, value, sizeof j->answer_type);
}

static bool
is_refusal (const struct job *j, int status)
{
  int i;

  for (i = 0; i < j->service->nrefusals; i++)
    if (j->service->refusals[i] == status)
      return true;
  return false;
}

static size_t
buffer_bytes (const struct job *j)
{
  return (size_t)cfg_vm (server_cfg (j->worker->server))->stream_buffer_kb
         * 1024;
}

static void
note_first (struct job *j)
{
  if (j->cached_tokens < 0)
    j->cached_tokens = j->strm.cached_tokens;
  kept_import_end (j, j->cached_tokens);
  if (j->first_us != 0)
    return;
  j->first_us = loop_now_us ();
  met_observe (MET_FIRST_TOKEN, j->first_us - j->arrived_us);
}

static const char *
stream_fault (enum strm_code code)
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

/* Pass whole events on; the first one starts the caller's reply. */
static enum xfer_body_result
take_stream (struct job *j, const char *data, size_t len)
{
  g_autoptr (GString) events = g_string_new (NULL);
  int64_t before = j->strm.tokens;
  enum strm_code code;

  if (j->strm.ended)
    return XFER_CONTINUE;
  /* A reader that is slower than the engine must not fill the memory. */
  if (j->caller->pending (j->caller_arg) > buffer_bytes (j))
    {
      j->paused = true;
      return XFER_PAUSE;
    }
  code = strm_feed (&j->strm, j->attempts, data, len, events);
  if (events->len > 0)
    {
      note_first (j);
      if (!j->begun)
        jobreply_stream (j);
      j->caller->write (j->caller_arg, events->str, events->len);
      met_add (MET_TOKENS, j->strm.tokens - before);
    }
  j->stopped = stream_fault (code);
  return j->stopped == NULL ? XFER_CONTINUE : XFER_STOP;
}

static enum xfer_body_result
take_whole (struct job *j, const char *data, size_t len)
{
  size_t max
      = (size_t)cfg_vm (server_cfg (j->worker->server))->answer_max_kb * 1024;

  if (j->answer->len + len > max)
    {
      j->stopped = "answer_too_large";
      return XFER_STOP;
    }
  g_string_append_len (j->answer, data, (gssize)len);
  return XFER_CONTINUE;
}

static enum xfer_body_result
on_body (void *arg, int status, const char *data, size_t len)
{
  struct job *j = arg;

  j->byte_us = loop_now_us ();
  j->status = status;
  j->streaming = j->model && j->prompt.stream && status == 200
                 && g_str_has_prefix (j->answer_type, EVENT_STREAM);
  if (j->streaming && j->caller != NULL)
    return take_stream (j, data, len);
  return take_whole (j, data, len);
}

/* --- how it ends ----------------------------------------------------- */

/* A whole model answer must come from the weight version asked for. */
static bool
version_fits (struct job *j)
{
  char version[WIRE_VERSION_SIZE];

  if (!j->model || j->streaming || j->status != 200)
    return true;
  if (!completion_version (j->answer->str, j->answer->len, version,
                           sizeof version, &j->cached_tokens))
    return false;
  return strcmp (version, j->sc->version) == 0;
}

static enum send_state
send_state_of (struct job *j, const struct xfer_end *end)
{
  if (!end->handed_over)
    return SEND_NONE;
  if (end->status == 0)
    return SEND_PARTIAL;
  if (end->complete && is_refusal (j, end->status))
    return SEND_REFUSED;
  if (!end->complete || (j->streaming && !j->strm.ended) || !version_fits (j))
    return SEND_REPLIED;
  return SEND_WHOLE;
}

static struct out_verdict
judge (struct job *j, enum send_state sent, bool attempts_left)
{
  const struct cfg_service *c = j->sc;
  struct out_facts f = { .sent = sent, .status = j->status };

  /* An endpoint that runs a key once may be asked again with that key. */
  f.repeatable = c->repeatable || (c->deduplicates && j->key != NULL);
  f.ran_before = j->ran;
  f.caller_has_bytes = j->begun;
  f.resumable = j->strm.resumable;
  f.attempts_left = attempts_left;
  f.deadline_passed = !j->ran && loop_now_us () >= j->deadline_us;
  return out_judge (&f);
}

static bool
attempts_left (const struct job *j, enum send_state sent)
{
  /* What a deadline or an old claim stopped before sending is given up. */
  if (sent == SEND_NONE && j->stopped != NULL)
    return false;
  return j->attempts < j->sc->attempts && j->nfailed < MAX_ATTEMPTS;
}

/* Judge an attempt; the retry budget is asked only if it matters. */
static struct out_verdict
judge_with_budget (struct job *j, enum send_state sent)
{
  struct out_verdict v = judge (j, sent, attempts_left (j, sent));

  if (v.next != NEXT_FINISH && !place_retry (j))
    v = judge (j, sent, false);
  return v;
}

/* Tell routing what the end of an attempt says about its endpoint; a call that
   we stopped ourselves says nothing. */
static void
tell_routing (struct job *j, enum send_state sent, int64_t now_us)
{
  bool ours = j->stopped != NULL && strcmp (j->stopped, "stalled") != 0;

  if (sent == SEND_WHOLE)
    place_result (j, ROUTE_REACHED, now_us);
  else if (sent == SEND_NONE && !ours)
    place_result (j, ROUTE_UNREACHED, now_us);
  else if (sent != SEND_REFUSED && !ours)
    place_result (j, ROUTE_BROKE, now_us);
}

static void
finish_attempt (struct job *j, struct out_verdict v)
{
  if (j->stopped != NULL && v.outcome != OUT_ANSWERED)
    v.reason = j->stopped;
  if (j->claimed && v.outcome != OUT_NOT_RUN)
    {
      j->outcome = v.outcome;
      j->reason = v.reason;
      j->steps->ran (j);
    }
  else if (v.outcome == OUT_NOT_RUN)
    j->steps->refuse (j, v.reason, CQ_US_PER_S);
  else
    j->steps->finish (j, v.outcome, v.reason);
}

static void
retry (struct job *j, enum out_next next, const char *reason)
{
  struct server *s = j->worker->server;
  struct service *sv = j->service;
  int64_t now = loop_now_us ();

  met_add (next == NEXT_RESUME ? MET_RESUMES : MET_RETRIES, 1);
  job_log (j, next == NEXT_RESUME ? "resume" : "retry",
           "after=%d offset=%" G_GINT64_FORMAT, j->attempts,
           (gint64)(j->begun ? j->strm.tokens : 0));
  j->failed[j->nfailed++] = j->choice.endpoint;
  j->reason = reason;
  place_requeue (j, now);
  place_pump (s, sv, now);
}

/* Decide what follows an attempt whose call is over. */
static void
conclude (struct job *j, enum send_state sent, const char *error)
{
  int64_t now = loop_now_us ();
  struct out_verdict v;

  v = judge_with_budget (j, sent);
  if (sent != SEND_NONE && sent != SEND_REFUSED)
    j->ran = true;
  job_log (j, "attempt_end",
           "attempt=%d sent=%s status=%d next=%s reason=%s "
           "took_us=%" G_GINT64_FORMAT " error=\"%s\"",
           j->attempts, out_send_name (sent), j->status,
           out_next_name (v.next), j->stopped ? j->stopped : v.reason,
           (gint64)(now - j->sent_us), error);
  tell_routing (j, sent, now);
  kept_import_end (j, j->cached_tokens);
  if (j->model && sent == SEND_WHOLE && j->status == 200)
    kept_answered (j);
  place_release (j, now);
  if (v.next == NEXT_FINISH)
    finish_attempt (j, v);
  else
    retry (j, v.next, j->stopped ? j->stopped : v.reason);
}

static void
on_end (void *arg, const struct xfer_end *end)
{
  struct job *j = arg;
  enum send_state sent = send_state_of (j, end);

  j->call = NULL;
  j->status = end->status;
  conclude (j, sent, end->error);
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
  j->stopped = NULL;
  j->status = 0;
  j->handed_over = false;
  j->paused = false;
  j->streaming = false;
  j->answer_type[0] = '\0';
  j->cached_tokens = -1;
  if (j->answer == NULL)
    j->answer = g_string_new (NULL);
  g_string_truncate (j->answer, 0);
  if (j->model)
    strm_start_attempt (&j->strm, j->attempts);
  build (j);
  j->sent_us = loop_now_us ();
  j->byte_us = j->sent_us;
  o.path = path_of (j);
  o.headers = (const char *const *)j->send_headers;
  o.body = j->model ? j->send_body : j->body->str;
  o.body_len = j->model ? strlen (j->send_body) : j->body->len;
  o.may_repeat = j->sc->repeatable;
  met_add (MET_ATTEMPTS, 1);
  met_add (MET_PROMPT_TOKENS, j->prompt.prompt_tokens);
  met_add (MET_CACHED_TOKENS, j->choice.cached_tokens);
  job_log (j, "send", "attempt=%d endpoint=%s resume_offset=%" G_GINT64_FORMAT,
           j->attempts, e->id, (gint64)(j->begun ? j->strm.tokens : 0));
  j->call
      = j->worker->endpoints.call (j->worker->endpoints.ctx, &o, &events, j);
}

/* Cancel the attempt under way, if any; the endpoint sees a close. */
void
attempt_stop (struct job *j)
{
  if (j->call == NULL)
    return;
  j->worker->endpoints.cancel (j->worker->endpoints.ctx, j->call);
  j->call = NULL;
}

/* An attempt took too long: cancel it and judge it as broken. */
void
attempt_break (struct job *j, const char *reason)
{
  enum send_state sent = SEND_PARTIAL;

  if (!j->handed_over)
    sent = SEND_NONE;
  else if (j->status != 0)
    sent = SEND_REPLIED;
  attempt_stop (j);
  j->stopped = reason;
  conclude (j, sent, "");
}

/* --- slow readers ---------------------------------------------------- */

static void
on_unpause (void *arg)
{
  struct job *j = arg;

  j->unpausing = false;
  if (j->state == JOB_RUNNING && j->call != NULL && j->paused)
    {
      j->paused = false;
      j->byte_us = loop_now_us ();
      j->worker->endpoints.unpause (j->worker->endpoints.ctx, j->call);
    }
  job_unref (j);
}

/* The reader took bytes: let the engine go on once half is free.  Posted,
   because libcurl and the daemon must not call into each other. */
void
job_drained (struct job *j)
{
  if (!j->paused || j->unpausing
      || j->caller->pending (j->caller_arg) > buffer_bytes (j) / 2)
    return;
  j->unpausing = true;
  j->unpause.run = on_unpause;
  j->unpause.arg = j;
  loop_post (j->worker->loop, &j->unpause);
}
