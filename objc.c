/* The platform's object store over HTTP: PUT and GET under /objects/NAME. */
#include "adapter.h"

#include <glib.h>

#include "fetch.h"

#define OBJECT_MAX_BYTES (64UL * 1024 * 1024)

/* The object store as this process reaches it. */
struct store
{
  struct xfer_pool *pool; /* transfers */
  char *url;              /* base URL */
  int64_t timeout_ms;     /* after which a reply counts as lost */
};

/* A call under way. */
struct object_call
{
  object_done done; /* whom to tell */
  void *arg;        /* passed to done */
};

static void
on_reply (void *arg, int status, const GString *body)
{
  struct object_call *c = arg;

  c->done (c->arg, status == 200, body->str, body->len);
  g_free (c);
}

static void
start (struct store *s, const char *method, const char *name, const char *data,
       size_t len, object_done done, void *arg)
{
  g_autofree char *escaped = g_uri_escape_string (name, NULL, FALSE);
  g_autofree char *url = g_strconcat (s->url, "/objects/", escaped, NULL);
  struct object_call *c = g_new0 (struct object_call, 1);
  struct fetch_opts o = { .method = method, .url = url };

  c->done = done;
  c->arg = arg;
  o.body = data;
  o.body_len = len;
  o.timeout_ms = s->timeout_ms;
  o.reply_max_bytes = OBJECT_MAX_BYTES;
  o.done = on_reply;
  o.arg = c;
  fetch_start (s->pool, &o);
}

static void
put (void *ctx, const char *name, const char *data, size_t len,
     object_done done, void *arg)
{
  start (ctx, "PUT", name, data, len, done, arg);
}

static void
get (void *ctx, const char *name, object_done done, void *arg)
{
  start (ctx, "GET", name, NULL, 0, done, arg);
}

void
objc_ops (struct object_ops *ops, struct xfer_pool *pool, const char *url,
          int64_t timeout_ms)
{
  struct store *s = g_new0 (struct store, 1);

  s->pool = pool;
  s->url = g_strdup (url);
  s->timeout_ms = timeout_ms;
  ops->put = put;
  ops->get = get;
  ops->ctx = s;
}

void
objc_clear (struct object_ops *ops)
{
  struct store *s = ops->ctx;

  if (s == NULL)
    return;
  g_free (s->url);
  g_free (s);
  ops->ctx = NULL;
}
