/* HTTP transfers whose reply is collected and passed on as a whole. */
#include "fetch.h"

#include <string.h>

/* One transfer in progress. */
struct fetch
{
  GString *reply;         /* bytes received so far */
  char *body;             /* of the request */
  size_t reply_max_bytes; /* longest reply that is accepted */
  fetch_done done;        /* callback, or NULL */
  fetch_step step;        /* callback in place of done, or NULL */
  void (*header_line) (void *arg, const char *line, size_t len); /* or NULL */
  void *arg;              /* passed to the callbacks */
  int status;             /* HTTP status or fetch_error */
  int64_t ended_us;       /* when the transfer ended */
  struct xfer_pool *pool; /* where it runs */
  struct loop_work work;  /* calls step again */
};

static void
on_header_line (void *arg, const char *line, size_t len)
{
  struct fetch *f = arg;

  if (f->header_line != NULL)
    f->header_line (f->arg, line, len);
}

static enum xfer_body_result
on_body (void *arg, int status, const char *data, size_t len)
{
  struct fetch *f = arg;

  (void)status;
  if (f->reply->len + len > f->reply_max_bytes)
    return XFER_STOP;
  g_string_append_len (f->reply, data, (gssize)len);
  return XFER_CONTINUE;
}

static int
reply_status (const struct xfer_end *end)
{
  if (end->complete)
    return end->status;
  if (end->stopped || end->too_large)
    return FETCH_TOO_LARGE;
  if (end->stalled)
    return FETCH_STALLED;
  return end->status != 0 ? FETCH_INCOMPLETE : FETCH_NO_REPLY;
}

static void
fetch_free (struct fetch *f)
{
  g_string_free (f->reply, TRUE);
  g_free (f->body);
  g_free (f);
}

static bool
run_step (void *arg)
{
  struct fetch *f = arg;
  struct xfer_pool *p = f->pool;

  if (f->step (f->arg, f->status, f->reply, f->ended_us))
    return true;
  fetch_free (f);
  xfer_adjust_count (p, -1);
  return false;
}

/* The first step is done at once, since most replies need only one. */
static void
on_end (void *arg, const struct xfer_end *end)
{
  struct fetch *f = arg;

  f->status = reply_status (end);
  f->ended_us = loop_now_us ();
  if (f->step != NULL && f->step (f->arg, f->status, f->reply, f->ended_us))
    {
      xfer_adjust_count (f->pool, 1);
      f->work.step = run_step;
      f->work.arg = f;
      loop_add_work (xfer_loop (f->pool), &f->work);
      return;
    }
  if (f->done != NULL)
    f->done (f->arg, f->status, f->reply);
  fetch_free (f);
}

void
fetch_start (struct xfer_pool *p, const struct fetch_opts *opts)
{
  static const struct xfer_events events
      = { .on_header = on_header_line, .on_body = on_body, .on_end = on_end };
  g_autofree char *type = NULL;
  const char *headers[3] = { NULL, NULL, NULL };
  int n = 0;
  struct fetch *f = g_new0 (struct fetch, 1);
  struct xfer_opts o = { .method = opts->method, .url = opts->url };

  f->reply = g_string_new (NULL);
  f->reply_max_bytes = opts->reply_max_bytes;
  f->pool = p;
  f->done = opts->done;
  f->step = opts->step;
  f->header_line = opts->on_header;
  f->arg = opts->arg;
  if (opts->body != NULL)
    {
      f->body = g_malloc (opts->body_len + 1);
      memcpy (f->body, opts->body, opts->body_len);
    }
  if (opts->content_type != NULL)
    {
      type = g_strconcat ("Content-Type: ", opts->content_type, NULL);
      headers[n++] = type;
    }
  headers[n] = opts->header;
  o.headers = headers;
  o.body = f->body;
  o.body_len = opts->body_len;
  o.connect_timeout_ms = opts->timeout_ms;
  o.timeout_ms = opts->timeout_ms;
  o.first_byte_timeout_ms = opts->first_byte_timeout_ms;
  o.stall_timeout_ms = opts->stall_timeout_ms;
  o.events = &events;
  o.arg = f;
  xfer_start (p, &o);
}
