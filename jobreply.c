/* Replies of jobs to their callers. */
#include "libserver.h"

#include <string.h>

static char *
error_json (enum outcome outcome, const char *reason)
{
  const struct refusal *f = refusal_find (reason);
  json_t *doc
      = json_pack ("{s:{s:s,s:s,s:s}}", "error", "code", reason, "message",
                   f->message, "outcome", out_name (outcome));
  char *dumped = json_dumps (doc, JSON_COMPACT);
  char *text = g_strdup (dumped);

  free (dumped);
  json_decref (doc);
  return text;
}

/* Starts a streamed reply; events follow. */
void
jobreply_begin_stream (struct job *j)
{
  j->stream_begun = true;
  g_strlcpy (j->stream_build, j->build, sizeof j->stream_build);
  j->caller->stream_begin (j->caller_arg, "text/event-stream");
}

/* Ends the stream.  A broken one gets an error event and no last chunk, so
   that the caller cannot mistake it for a complete one. */
static void
end_stream (struct job *j, enum outcome outcome, const char *reason)
{
  g_autofree char *text = NULL;
  g_autofree char *event = NULL;

  if (outcome != OUT_ANSWERED)
    {
      text = error_json (outcome, reason);
      event = g_strdup_printf ("event: error\ndata: %s\n\n", text);
      j->caller->stream_write (j->caller_arg, event, strlen (event));
    }
  j->caller->stream_end (j->caller_arg, outcome == OUT_ANSWERED);
}

/* Returns true if the caller gets the endpoint's own reply. */
static bool
is_answer_forwarded (const struct job *j, enum outcome outcome)
{
  if (outcome == OUT_ANSWERED)
    return true;
  return outcome == OUT_FAILED && j->answer_whole && j->status >= 500
         && !out_status_means_not_run (j->status) && j->stop_reason == NULL;
}

static void
reply_answer (struct job *j, enum outcome outcome)
{
  struct reply reply = { .status = j->status };

  reply.content_type
      = j->answer_type[0] ? j->answer_type : "application/octet-stream";
  reply.body = j->answer->str;
  reply.len = j->answer->len;
  reply.outcome = out_name (outcome);
  j->caller->reply (j->caller_arg, &reply);
}

static void
reply_error (struct job *j, enum outcome outcome, const char *reason,
             int64_t retry_after_us)
{
  g_autofree char *text = error_json (outcome, reason);
  struct reply reply = { .status = refusal_find (reason)->status };

  /* The reason is that of the last attempt; an earlier one may have run. */
  if (outcome != OUT_NOT_RUN && out_status_means_not_run (reply.status))
    reply.status = 502;
  reply.content_type = "application/json";
  reply.body = text;
  reply.len = strlen (text);
  reply.outcome = out_name (outcome);
  reply.retry_after_s = refusal_retry_after_s (retry_after_us);
  j->caller->reply (j->caller_arg, &reply);
}

/* Sends the outcome of the request to the caller. */
void
jobreply_send_outcome (struct job *j, enum outcome outcome, const char *reason,
                       int64_t retry_after_us)
{
  if (j->caller == NULL)
    return;
  if (j->stream_begun)
    end_stream (j, outcome, reason);
  else if (is_answer_forwarded (j, outcome))
    reply_answer (j, outcome);
  else
    reply_error (j, outcome, reason, retry_after_us);
}
