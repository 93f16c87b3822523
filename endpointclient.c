/* HTTP client of endpoints: calls and load reports. */
#include "adapter.h"

#include <glib.h>

#include "fetch.h"

#define CONNECT_TIMEOUT_MS 1000
#define LOAD_TIMEOUT_MS 2000
#define REPORT_MAX_BYTES 65536

/* A request for a load report in progress. */
struct load_call
{
  load_done done; /* completion callback */
  void *arg;      /* passed to done */
};

static void *
start_call (void *ctx, const struct call_opts *opts,
            const struct xfer_events *events, void *arg)
{
  g_autofree char *url
      = g_strdup_printf ("http://%s%s", opts->address, opts->path);
  struct xfer_opts o = { .method = "POST", .url = url };

  o.headers = opts->headers;
  o.body = opts->body;
  o.body_len = opts->body_len;
  o.new_connection = !opts->may_repeat;
  o.connect_timeout_ms = CONNECT_TIMEOUT_MS;
  o.events = events;
  o.arg = arg;
  return xfer_start (ctx, &o);
}

static void
cancel_call (void *ctx, void *call)
{
  (void)ctx;
  xfer_cancel (call);
}

static void
unpause_call (void *ctx, void *call)
{
  (void)ctx;
  xfer_unpause (call);
}

static void
copy_field (const json_t *doc, const char *field, char *to, size_t size)
{
  const char *s = json_string_value (json_object_get (doc, field));

  g_strlcpy (to, s ? s : "", size);
}

static int64_t
int_field (const json_t *doc, const char *field)
{
  return json_integer_value (json_object_get (doc, field));
}

static void
parse_events (const json_t *doc, struct load_report *r)
{
  const json_t *removed = json_object_get (doc, "removed");
  const char *hex;
  const json_t *one;
  size_t i;

  r->first_event = int_field (doc, "first");
  r->next_event = int_field (doc, "next");
  json_array_foreach (removed, i, one)
  {
    hex = json_string_value (one);
    if (hex != NULL && r->nremoved < LOAD_REMOVED_MAX)
      r->removed[r->nremoved++] = g_ascii_strtoull (hex, NULL, 16);
  }
}

static bool
parse_report (const GString *body, struct load_report *r)
{
  json_t *doc = json_loadb (body->str, body->len, 0, NULL);
  bool good = json_is_object (doc);

  r->route.running = (int)int_field (doc, "running");
  r->route.queued_tokens = int_field (doc, "queued_tokens");
  /* The report includes its age; it does not cover what was sent since. */
  r->route.at_us -= int_field (doc, "age_ms") * 1000;
  r->route.leaving = json_is_true (json_object_get (doc, "leaving"));
  copy_field (doc, "version", r->route.version, sizeof r->route.version);
  copy_field (doc, "build", r->route.build, sizeof r->route.build);
  copy_field (doc, "incarnation", r->route.incarnation,
              sizeof r->route.incarnation);
  r->filled_tokens = int_field (doc, "filled_tokens");
  parse_events (json_object_get (doc, "events"), r);
  json_decref (doc);
  return good;
}

static void
on_load (void *arg, int status, const GString *body)
{
  struct load_call *c = arg;
  struct load_report *report = g_new0 (struct load_report, 1);
  bool good;

  report->route.at_us = loop_now_us ();
  good = status == 200 && parse_report (body, report);
  c->done (c->arg, good, report);
  g_free (report);
  g_free (c);
}

static void
request_load (void *ctx, const char *address, int64_t since, load_done done,
              void *arg)
{
  g_autofree char *url = g_strdup_printf (
      "http://%s/load?since=%" G_GINT64_FORMAT, address, (gint64)since);
  struct load_call *c = g_new0 (struct load_call, 1);
  struct fetch_opts o = { .method = "GET", .url = url };

  c->done = done;
  c->arg = arg;
  o.timeout_ms = LOAD_TIMEOUT_MS;
  o.reply_max_bytes = REPORT_MAX_BYTES;
  o.done = on_load;
  o.arg = c;
  fetch_start (ctx, &o);
}

void
endpointclient_init (struct endpoint_ops *ops, struct xfer_pool *pool)
{
  ops->call = start_call;
  ops->cancel = cancel_call;
  ops->unpause = unpause_call;
  ops->load = request_load;
  ops->ctx = pool;
}
