/* The platform's object store over HTTP: PUT and GET under /objects/NAME. */
#include "adapter.h"

#include <glib.h>

#include "fetch.h"

#define OBJECT_MAX_BYTES (64UL * 1024 * 1024)

/* Client of the object store. */
struct object_client
{
  struct xfer_pool *pool; /* runs the transfers */
  char *url;              /* base URL */
  int64_t timeout_ms;     /* after which a call counts as lost */
};

/* A call in progress. */
struct object_call
{
  object_done done; /* completion callback */
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
start_request (struct object_client *s, const char *method, const char *name,
               const char *data, size_t len, object_done done, void *arg)
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
  start_request (ctx, "PUT", name, data, len, done, arg);
}

static void
get (void *ctx, const char *name, object_done done, void *arg)
{
  start_request (ctx, "GET", name, NULL, 0, done, arg);
}

void
objectclient_init (struct object_ops *ops, struct xfer_pool *pool,
                   const char *url, int64_t timeout_ms)
{
  struct object_client *s = g_new0 (struct object_client, 1);

  s->pool = pool;
  s->url = g_strdup (url);
  s->timeout_ms = timeout_ms;
  ops->put = put;
  ops->get = get;
  ops->ctx = s;
}

void
objectclient_clear (struct object_ops *ops)
{
  struct object_client *s = ops->ctx;

  if (s == NULL)
    return;
  g_free (s->url);
  g_free (s);
  ops->ctx = NULL;
}
