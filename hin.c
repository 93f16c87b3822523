/*
 * HTTP requests that come in, through libmicrohttpd.
 *
 * A door is one listening address on one worker: a daemon driven by the
 * worker's loop, so that a caller's connection and the transfers that serve
 * it live on one thread and pass bytes without a lock.  What the requests
 * mean is the business of the door's callbacks.
 */
#include "libserver.h"

#include <microhttpd.h>
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define OVERSIZE_FACTOR 4 /* bodies this much too large are cut off */
#define STREAM_BLOCK 4096 /* bytes asked of a stream at once */

/* --- replies --------------------------------------------------------- */

static void
resume (struct req *r)
{
  if (!r->suspended)
    return;
  r->suspended = false;
  MHD_resume_connection (r->conn);
}

/* Add "Name: value" lines to the reply; NULL ends them. */
static void
add_lines (struct MHD_Response *response, const char *const *lines)
{
  const char *colon;

  for (; lines != NULL && *lines != NULL; lines++)
    {
      g_autofree char *name = NULL;

      colon = strchr (*lines, ':');
      if (colon == NULL)
        continue;
      name = g_strndup (*lines, (gsize)(colon - *lines));
      for (colon++; *colon == ' '; colon++)
        continue;
      MHD_add_response_header (response, name, colon);
    }
}

/* Connections that stay open through a stop would end in a reset. */
static void
close_when_stopping (struct req *r)
{
  if ((int)server_phase (r->worker->server) >= r->door->close_from)
    MHD_add_response_header (r->response, "Connection", "close");
}

/* Answer with a whole body, which is copied. */
void
req_respond (struct req *r, int status, const char *const *lines,
             const char *body, size_t len)
{
  r->response = MHD_create_response_from_buffer (len, (void *)body,
                                                 MHD_RESPMEM_MUST_COPY);
  r->status = status;
  add_lines (r->response, lines);
  close_when_stopping (r);
  resume (r);
}

/* --- streams --------------------------------------------------------- */

size_t
req_stream_pending (const struct req *r)
{
  return r->out->len - r->out_used;
}

static ssize_t
take_out (struct req *r, char *to, size_t max)
{
  size_t n = req_stream_pending (r);

  if (n > max)
    n = max;
  memcpy (to, r->out->str + r->out_used, n);
  r->out_used += n;
  met_add (MET_STREAM_BYTES, -(int64_t)n);
  if (r->out_used == r->out->len)
    {
      g_string_truncate (r->out, 0);
      r->out_used = 0;
    }
  return (ssize_t)n;
}

static ssize_t
read_stream (void *arg, uint64_t pos, char *to, size_t max)
{
  struct req *r = arg;
  ssize_t n;

  (void)pos;
  if (req_stream_pending (r) > 0)
    {
      n = take_out (r, to, max);
      if (r->door->ops->drained != NULL)
        r->door->ops->drained (r);
      return n;
    }
  /* Ending without the last chunk shows the break to any HTTP client. */
  if (r->out_broken)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (r->out_end)
    return MHD_CONTENT_READER_END_OF_STREAM;
  r->suspended = true;
  MHD_suspend_connection (r->conn);
  return 0;
}

/* Start an answer whose body comes in pieces. */
void
req_stream_open (struct req *r, int status, const char *const *lines)
{
  r->response = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, STREAM_BLOCK, read_stream, r, NULL);
  r->status = status;
  add_lines (r->response, lines);
  close_when_stopping (r);
  resume (r);
}

void
req_stream_write (struct req *r, const char *data, size_t len)
{
  g_string_append_len (r->out, data, (gssize)len);
  met_add (MET_STREAM_BYTES, (int64_t)len);
  resume (r);
}

/* End the stream; without WHOLE it ends in a way that no reader takes for a
   finished one.  FOOTERS may be NULL. */
void
req_stream_close (struct req *r, bool whole, const char *name,
                  const char *value)
{
  if (whole && name != NULL)
    MHD_add_response_footer (r->response, name, value);
  r->out_end = whole;
  r->out_broken = !whole;
  resume (r);
}

/* --- callers that go away -------------------------------------------- */

/*
 * A suspended connection is not watched by the daemon, so a caller that hangs
 * up while it waits would keep its place at an endpoint.  Peeking at the
 * socket finds the close without taking bytes from the daemon.
 */
bool
req_caller_gone (struct req *r)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (r->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
  ssize_t n;
  char byte;

  if (!r->suspended || info == NULL)
    return false;
  n = recv (info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

/* Let the daemon close the connection of a caller that went away. */
void
req_abandon (struct req *r)
{
  r->gone = true;
  r->out_broken = true;
  resume (r);
}

/* --- requests -------------------------------------------------------- */

static void
make_id (char *id)
{
  uint8_t random[8];

  randombytes_buf (random, sizeof random);
  id[0] = 'r';
  sodium_bin2hex (id + 1, ID_SIZE - 1, random, sizeof random);
}

const char *
req_header (struct req *r, const char *name)
{
  return MHD_lookup_connection_value (r->conn, MHD_HEADER_KIND, name);
}

static struct req *
req_new (struct door *d, struct MHD_Connection *conn, const char *target)
{
  struct req *r = g_new0 (struct req, 1);

  r->door = d;
  r->worker = d->worker;
  r->conn = conn;
  r->target = g_strdup (target);
  r->workspace = -1;
  r->operator_index = -1;
  r->body = g_string_new (NULL);
  r->out = g_string_new (NULL);
  make_id (r->id);
  return r;
}

GString *
req_take_body (struct req *r)
{
  GString *body = r->body;

  r->body = NULL;
  return body;
}

void
req_free_body (struct server *s, GString *body)
{
  if (body == NULL)
    return;
  __atomic_fetch_sub (&s->body_bytes, (int64_t)body->len, __ATOMIC_RELAXED);
  g_string_free (body, TRUE);
}

static void
drop_body (struct req *r)
{
  req_free_body (r->worker->server, req_take_body (r));
}

static void
req_free (struct req *r)
{
  if (r->door->ops->gone != NULL)
    r->door->ops->gone (r);
  if (r->response != NULL)
    MHD_destroy_response (r->response);
  drop_body (r);
  met_add (MET_STREAM_BYTES, -(int64_t)req_stream_pending (r));
  g_string_free (r->out, TRUE);
  g_free (r->path);
  g_free (r->target);
  g_free (r);
}

/* Bodies of all callers together stay within a bound, whatever they send. */
static bool
body_memory_left (struct server *s)
{
  return __atomic_load_n (&s->body_bytes, __ATOMIC_RELAXED)
         < __atomic_load_n (&s->body_bytes_max, __ATOMIC_RELAXED);
}

static enum MHD_Result
take_upload (struct req *r, const char *data, size_t *len)
{
  struct server *s = r->worker->server;
  size_t n = *len;

  *len = 0;
  if (r->response != NULL)
    return MHD_YES;
  if (r->body->len + n > r->body_max)
    {
      r->excess = EXCESS_BODY;
      r->dropped += n;
      return r->dropped < OVERSIZE_FACTOR * r->body_max ? MHD_YES : MHD_NO;
    }
  if (!body_memory_left (s))
    {
      r->excess = EXCESS_MEMORY;
      return MHD_YES;
    }
  g_string_append_len (r->body, data, (gssize)n);
  __atomic_fetch_add (&s->body_bytes, (int64_t)n, __ATOMIC_RELAXED);
  return MHD_YES;
}

static void
start_request (struct req *r)
{
  r->started = true;
  r->arrived_us = loop_now_us ();
  r->door->ops->start (r);
  /* Who wants the body for longer has taken it. */
  drop_body (r);
}

static enum MHD_Result
queue_response (struct req *r)
{
  enum MHD_Result done
      = MHD_queue_response (r->conn, (unsigned)r->status, r->response);

  r->queued = true;
  return done;
}

/* Lengths as the head states them. */
struct framing
{
  int lengths;      /* Content-Length lines */
  int encodings;    /* Transfer-Encoding lines */
  bool unsupported; /* an encoding other than chunked alone */
};

static enum MHD_Result
look_at_framing (void *arg, enum MHD_ValueKind kind, const char *name,
                 const char *value)
{
  struct framing *f = arg;

  (void)kind;
  if (g_ascii_strcasecmp (name, "Content-Length") == 0)
    f->lengths++;
  if (g_ascii_strcasecmp (name, "Transfer-Encoding") == 0)
    {
      f->encodings++;
      f->unsupported |= g_ascii_strcasecmp (value, "chunked") != 0;
    }
  return MHD_YES;
}

/*
 * Two statements of a length let a caller hide a second request in a body:
 * what is a body to one reader is a request to the next.  Such a request is
 * answered 400 and its connection is closed, so nothing behind it is read.
 */
static bool
framing_is_clear (struct req *r)
{
  struct framing f = { 0 };

  MHD_get_connection_values (r->conn, MHD_HEADER_KIND, look_at_framing, &f);
  return f.lengths + f.encodings <= 1 && !f.unsupported;
}

static enum MHD_Result
refuse_framing (struct req *r)
{
  static const char *const close_line[] = { "Connection: close", NULL };

  log_event (LOG_LEVEL_INFO, "refuse",
             "req=%s outcome=not-run reason=ambiguous_length", r->id);
  req_respond (r, MHD_HTTP_BAD_REQUEST, close_line, "", 0);
  return queue_response (r);
}

static enum MHD_Result
on_head (struct req *r, const char *url, const char *method)
{
  r->head_seen = true;
  r->path = g_strdup (url);
  if (!framing_is_clear (r))
    return refuse_framing (r);
  r->door->ops->head (r, method);
  return r->response != NULL ? queue_response (r) : MHD_YES;
}

static enum MHD_Result
on_request (void *arg, struct MHD_Connection *conn, const char *url,
            const char *method, const char *version, const char *data,
            size_t *len, void **con_cls)
{
  struct req *r = *con_cls;

  (void)arg;
  (void)version;
  if (!r->head_seen)
    return on_head (r, url, method);
  if (*len > 0)
    return take_upload (r, data, len);
  if (r->gone)
    return MHD_NO;
  if (!r->started && r->response == NULL)
    start_request (r);
  if (r->response != NULL)
    return queue_response (r);
  r->suspended = true;
  MHD_suspend_connection (conn);
  return MHD_YES;
}

/* Called first, with the target as it was sent: the path that later calls get
   is decoded, which cannot be undone. */
static void *
on_target (void *arg, const char *target, struct MHD_Connection *conn)
{
  return req_new (arg, conn, target);
}

static void
on_completed (void *arg, struct MHD_Connection *conn, void **con_cls,
              enum MHD_RequestTerminationCode code)
{
  (void)arg;
  (void)conn;
  (void)code;
  if (*con_cls != NULL)
    req_free (*con_cls);
  *con_cls = NULL;
}

static void
on_connection (void *arg, struct MHD_Connection *conn, void **socket_cls,
               enum MHD_ConnectionNotificationCode code)
{
  (void)arg;
  (void)conn;
  (void)socket_cls;
  met_add (MET_CONNECTIONS, code == MHD_CONNECTION_NOTIFY_STARTED ? 1 : -1);
}

/* Close the caller's connection once it has been idle for IDLE_S. */
void
req_set_idle (struct req *r, unsigned idle_s)
{
  MHD_set_connection_option (r->conn, MHD_CONNECTION_OPTION_TIMEOUT, idle_s);
}

struct header_call
{
  req_header_fn fn; /* whom to show each line */
  void *arg;        /* passed to it */
};

static enum MHD_Result
show_header (void *arg, enum MHD_ValueKind kind, const char *name,
             const char *value)
{
  struct header_call *c = arg;

  (void)kind;
  c->fn (c->arg, name, value != NULL ? value : "");
  return MHD_YES;
}

void
req_each_header (struct req *r, req_header_fn fn, void *arg)
{
  struct header_call c = { fn, arg };

  MHD_get_connection_values (r->conn, MHD_HEADER_KIND, show_header, &c);
}

/* --- doors ----------------------------------------------------------- */

static void
on_daemon_ready (void *arg, int fd, bool readable, bool writable)
{
  /* The turn's hook runs the daemon. */
  (void)arg;
  (void)fd;
  (void)readable;
  (void)writable;
}

static void
run_daemon (void *arg)
{
  struct door *d = arg;

  MHD_run (d->daemon);
}

static int64_t
daemon_timeout_us (void *arg)
{
  struct door *d = arg;
  MHD_UNSIGNED_LONG_LONG ms;

  if (MHD_get_timeout (d->daemon, &ms) != MHD_YES)
    return -1;
  return (int64_t)ms * 1000;
}

/* Open a door on W's loop; LISTEN_FD stays the caller's. */
struct door *
door_open (struct worker *w, int listen_fd, const struct door_opts *o)
{
  struct door *d = g_new0 (struct door, 1);
  const union MHD_DaemonInfo *info;

  d->worker = w;
  d->ops = o->ops;
  d->owner = o->owner;
  d->close_from = o->close_from;
  d->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_request, d,
      MHD_OPTION_LISTEN_SOCKET, dup (listen_fd), MHD_OPTION_NOTIFY_COMPLETED,
      on_completed, NULL, MHD_OPTION_NOTIFY_CONNECTION, on_connection, NULL,
      MHD_OPTION_URI_LOG_CALLBACK, on_target, d, MHD_OPTION_CONNECTION_LIMIT,
      o->connections, MHD_OPTION_CONNECTION_TIMEOUT, o->idle_s,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, o->connection_memory,
      MHD_OPTION_CONNECTION_MEMORY_INCREMENT, (size_t)1024,
      MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_END);
  if (d->daemon == NULL)
    {
      g_free (d);
      return NULL;
    }
  info = MHD_get_daemon_info (d->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  d->fd = loop_add_fd (w->loop, info->epoll_fd, on_daemon_ready, d);
  loop_watch (w->loop, d->fd, true, false);
  d->hook.run = run_daemon;
  d->hook.timeout_us = daemon_timeout_us;
  d->hook.arg = d;
  loop_add_hook (w->loop, &d->hook);
  return d;
}

/* Accept no more connections; those that stand go on. */
void
door_quiesce (struct door *d)
{
  MHD_socket fd;

  if (d == NULL || d->quiesced)
    return;
  d->quiesced = true;
  fd = MHD_quiesce_daemon (d->daemon);
  if (fd != MHD_INVALID_SOCKET)
    close (fd);
}

void
door_close (struct door *d)
{
  if (d == NULL)
    return;
  loop_remove_hook (&d->hook);
  loop_remove_fd (d->worker->loop, d->fd);
  MHD_stop_daemon (d->daemon);
  g_free (d);
}
