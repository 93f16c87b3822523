/* Replies of the product's own API. */
#include "libserver.h"

#include <stdlib.h>
#include <string.h>

#define REPLY_LINES_MAX 8 /* header lines of a reply, and the final NULL */

void
req_reply (struct req *r, const struct reply *reply)
{
  g_autofree char *type
      = g_strconcat ("Content-Type: ", reply->content_type, NULL);
  g_autofree char *id = g_strconcat ("Camphorquay-Request-Id: ", r->id, NULL);
  g_autofree char *outcome = NULL;
  g_autofree char *retry = NULL;
  const char *lines[REPLY_LINES_MAX] = { type, id };
  int n = 2;

  if (reply->outcome != NULL)
    {
      outcome = g_strconcat ("Camphorquay-Outcome: ", reply->outcome, NULL);
      lines[n++] = outcome;
    }
  if (reply->retry_after_s > 0)
    {
      retry = g_strdup_printf ("Retry-After: %d", reply->retry_after_s);
      lines[n++] = retry;
    }
  req_respond (r, reply->status, lines, reply->body, reply->len);
}

void
req_reply_json (struct req *r, int status, json_t *doc)
{
  char *text = json_dumps (doc, JSON_INDENT (2));
  struct reply reply
      = { .status = status, .content_type = "application/json" };

  reply.body = text;
  reply.len = strlen (text);
  req_reply (r, &reply);
  free (text);
  json_decref (doc);
}

/* Refuse a request before anything was run for it. */
void
req_refuse (struct req *r, const char *code, int64_t retry_after_us)
{
  const struct refusal *f = refusal_find (code);
  json_t *doc
      = json_pack ("{s:{s:s,s:s,s:s}}", "error", "code", f->code, "message",
                   f->message, "outcome", out_name (OUT_NOT_RUN));
  char *text = json_dumps (doc, JSON_COMPACT);
  struct reply reply
      = { .status = f->status, .content_type = "application/json" };

  reply.body = text;
  reply.len = strlen (text);
  reply.outcome = out_name (OUT_NOT_RUN);
  reply.retry_after_s = refusal_retry_after_s (retry_after_us);
  req_reply (r, &reply);
  free (text);
  json_decref (doc);
}

/*
 * Start a streamed reply.  Its outcome is not known yet: the trailer at the
 * end carries it, or the error event of a stream that breaks.
 */
void
req_stream_begin (struct req *r, const char *content_type)
{
  g_autofree char *type = g_strconcat ("Content-Type: ", content_type, NULL);
  g_autofree char *id = g_strconcat ("Camphorquay-Request-Id: ", r->id, NULL);
  const char *lines[] = { type, "Cache-Control: no-cache", id,
                          "Trailer: Camphorquay-Outcome", NULL };

  req_stream_open (r, 200, lines);
}

void
req_stream_end (struct req *r, bool complete)
{
  req_stream_close (r, complete, "Camphorquay-Outcome",
                    out_name (OUT_ANSWERED));
}
