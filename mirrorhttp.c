/* Requests for the platform's lists between VMs, over HTTP. */
#include "mirrorhttp.h"

#include <string.h>

#include "fetch.h"
#include "forwardseal.h"
#include "pathwire.h"

#define LIST_PATH "/list"
#define PATHS_PATH "/paths"
/* Time until the first byte of a reply, and between two further bytes: the
   next VM is to be asked before what is known here is too old. */
#define FIRST_BYTE_MS 500
#define STALL_MS 500
/* For the whole answer of a VM that is asked for its paths: requests wait for
   none of it, and a VM that takes longer is of little help. */
#define PATHS_MS 250
/* For a whole reply: 1.2 MB over half of a link of 10 Mbit/s take 2 s. */
#define TOTAL_MS 6000
/* Connections of other VMs, each of which keeps one open. */
#define CONNECTIONS_MAX 256
#define CONNECTION_IDLE_S 10
#define CONNECTION_MEMORY 4096
/* The same where requests are forwarded: one connection for each, and its
   head. */
#define FORWARD_CONNECTIONS_MAX 1024
#define FORWARD_CONNECTION_MEMORY 20480
/* Large replies that are sent at once: one for each so many megabits a second
   of the link, so that none is slower than the link of a small receiver.  A VM
   that is turned away finds another source. */
#define LARGE_REPLY_BYTES 65536
#define LARGE_REPLY_MBIT_S 25
#define LARGE_REPLIES_MIN 2
#define LARGE_REPLIES_MAX 32

struct mirrorhttp
{
  struct mirrorserve *serve;      /* answers the requests */
  struct http_listener *listener; /* receives them */
  const struct http_listener_ops
      *forwarded_ops;    /* callbacks for forwarded requests, or NULL */
  void *forwarded_owner; /* context for them */
  int (*answer_paths) (void *arg, const uint8_t *data, size_t len,
                       GByteArray **answered); /* answers what services are
                                                  reached, or NULL */
  void *paths_arg;                             /* passed to it */
  int large;                                   /* large replies being sent */
  int large_max;                               /* most of them */
};

/* --- answering ------------------------------------------------------- */

static bool
is_for_paths (const struct req *r)
{
  const struct mirrorhttp *m = r->owner;

  return m->answer_paths != NULL && strcmp (r->path, PATHS_PATH) == 0;
}

/* Requests for lists are POST without the header; callers' requests that
   another VM forwards have it. */
static void
on_head (struct req *r, const char *method)
{
  struct mirrorhttp *m = r->owner;

  if (m->forwarded_ops != NULL && req_header (r, FORWARD_HEADER) != NULL)
    {
      r->ops = m->forwarded_ops;
      r->owner = m->forwarded_owner;
      r->ops->head (r, method);
      return;
    }
  r->body_max = MIRRORWIRE_REQUEST_MAX;
  if (strcmp (method, "POST") != 0
      || (strcmp (r->path, LIST_PATH) != 0 && !is_for_paths (r)))
    req_respond (r, 404, NULL, "", 0);
}

/* A reply that counts as large until it was sent. */
struct sent_rows
{
  GBytes *rows;            /* kept until then */
  struct mirrorhttp *http; /* NULL if it is not large */
};

static void
on_sent (void *arg)
{
  struct sent_rows *s = arg;

  if (s->http != NULL)
    s->http->large--;
  g_bytes_unref (s->rows);
  g_free (s);
}

static void
send_answer (struct req *r, struct mirror_answer *a)
{
  struct mirrorhttp *m = r->owner;
  bool is_large = g_bytes_get_size (a->rows) > LARGE_REPLY_BYTES;
  struct sent_rows *s;

  if (is_large && m->large >= m->large_max)
    {
      req_respond (r, 503, NULL, "", 0);
      g_bytes_unref (a->rows);
    }
  else
    {
      s = g_new0 (struct sent_rows, 1);
      s->rows = a->rows;
      s->http = is_large ? m : NULL;
      m->large += is_large;
      req_respond_parts (r, 200, a->head, a->rows, on_sent, s);
    }
  g_byte_array_unref (a->head);
}

static void
send_paths (struct req *r)
{
  struct mirrorhttp *m = r->owner;
  g_autoptr (GByteArray) answer = NULL;
  int status = 403;

  if (r->excess == EXCESS_NONE)
    status = m->answer_paths (m->paths_arg, (const uint8_t *)r->body->str,
                              r->body->len, &answer);
  if (answer != NULL)
    req_respond (r, status, NULL, (const char *)answer->data, answer->len);
  else
    req_respond (r, status, NULL, "", 0);
}

static void
on_start (struct req *r)
{
  struct mirrorhttp *m = r->owner;
  struct mirror_answer a;

  if (is_for_paths (r))
    {
      send_paths (r);
      return;
    }
  if (r->excess == EXCESS_NONE
      && mirrorserve_answer (m->serve, (const uint8_t *)r->body->str,
                             r->body->len, loop_now_us (), &a))
    send_answer (r, &a);
  else
    req_respond (r, 403, NULL, "", 0);
}

static const struct http_listener_ops listener_ops = {
  .head = on_head,
  .start = on_start,
};

struct mirrorhttp *
mirrorhttp_open (struct worker *w, int listen_fd, struct mirrorserve *serve,
                 int link_mbit_s, bool forwards)
{
  struct mirrorhttp *m = g_new0 (struct mirrorhttp, 1);
  struct http_listener_opts o = { .ops = &listener_ops, .owner = m };

  m->serve = serve;
  m->large_max = CLAMP (link_mbit_s / LARGE_REPLY_MBIT_S, LARGE_REPLIES_MIN,
                        LARGE_REPLIES_MAX);
  o.close_from = PHASE_STOPPED;
  o.connections = forwards ? FORWARD_CONNECTIONS_MAX : CONNECTIONS_MAX;
  o.idle_timeout_s = CONNECTION_IDLE_S;
  o.connection_memory
      = forwards ? FORWARD_CONNECTION_MEMORY : CONNECTION_MEMORY;
  m->listener = http_listener_open (w, listen_fd, &o);
  if (m->listener != NULL)
    return m;
  g_free (m);
  return NULL;
}

void
mirrorhttp_accept_forwarded (struct mirrorhttp *m,
                             const struct http_listener_ops *ops, void *owner)
{
  m->forwarded_ops = ops;
  m->forwarded_owner = owner;
}

void
mirrorhttp_answer_paths (struct mirrorhttp *m,
                         int (*answer) (void *arg, const uint8_t *data,
                                        size_t len, GByteArray **answered),
                         void *arg)
{
  m->answer_paths = answer;
  m->paths_arg = arg;
}

void
mirrorhttp_close (struct mirrorhttp *m)
{
  if (m == NULL)
    return;
  http_listener_close (m->listener);
  g_free (m);
}

/* --- asking ---------------------------------------------------------- */

struct ask
{
  mirror_asked done; /* callback */
  void *arg;         /* passed to it */
};

static void
on_reply (void *arg, int status, const GString *body)
{
  struct ask *a = arg;

  if (status == 200)
    a->done (a->arg, MIRROR_ASKED, (const uint8_t *)body->str, body->len);
  else
    a->done (a->arg, status == 503 ? MIRROR_BUSY : MIRROR_FAILED, NULL, 0);
  g_free (a);
}

static void
ask_vm (void *ctx, const char *address, const GByteArray *request,
        size_t reply_max_bytes, mirror_asked done, void *arg)
{
  g_autofree char *url = g_strconcat ("http://", address, LIST_PATH, NULL);
  struct fetch_opts o = { .method = "POST", .url = url };
  struct ask *a = g_new0 (struct ask, 1);

  a->done = done;
  a->arg = arg;
  o.body = (const char *)request->data;
  o.body_len = request->len;
  o.content_type = "application/octet-stream";
  o.first_byte_timeout_ms = FIRST_BYTE_MS;
  o.stall_timeout_ms = STALL_MS;
  o.timeout_ms = TOTAL_MS;
  o.reply_max_bytes = reply_max_bytes;
  o.done = on_reply;
  o.arg = a;
  fetch_start (ctx, &o);
}

void
mirrorhttp_ops (struct mirror_ops *ops, struct xfer_pool *pool)
{
  ops->ask = ask_vm;
  ops->ctx = pool;
}

void
mirrorhttp_ask_paths (struct xfer_pool *pool, const char *address,
                      const GByteArray *question, fetch_done done, void *arg)
{
  g_autofree char *url = g_strconcat ("http://", address, PATHS_PATH, NULL);
  struct fetch_opts o = { .method = "POST", .url = url, .arg = arg };

  o.body = (const char *)question->data;
  o.body_len = question->len;
  o.content_type = "application/octet-stream";
  o.first_byte_timeout_ms = PATHS_MS;
  o.timeout_ms = PATHS_MS;
  o.reply_max_bytes = PATHWIRE_ANSWER_MAX;
  o.done = done;
  fetch_start (pool, &o);
}
