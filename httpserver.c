/*
 * HTTP server for callers' requests, based on libmicrohttpd.
 *
 * A listener is one listening address on one worker.  The worker's loop drives
 * its daemon, so a caller's connection and the transfers that serve it run on
 * the same thread and pass bytes without a lock.  The listener's callbacks
 * interpret the requests.
 */
#include "libserver.h"

#include <microhttpd.h>
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define OVERSIZE_FACTOR 4 /* disconnect at this multiple of the limit */
#define STREAM_BLOCK 4096 /* bytes read from a stream at once */
#define LENGTH_HEADER "Content-Length"
#define ENCODING_HEADER "Transfer-Encoding"

/* --- replies --------------------------------------------------------- */

static void
resume (struct req *r)
{
  if (!r->suspended)
    return;
  r->suspended = false;
  MHD_resume_connection (r->conn);
}

static bool
has_reply (const struct req *r)
{
  return r->response != NULL || r->long_reply != NULL;
}

/* Add "Name: value" lines to the reply.  LINES ends with NULL, and may be
   NULL. */
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

/* A connection that is still open when the VM stops is reset, so tell the
   client to close it. */
static void
close_when_stopping (struct req *r)
{
  if ((int)server_phase (r->worker->server) >= r->listener->close_from)
    MHD_add_response_header (r->response, "Connection", "close");
}

/* --- reading streams --------------------------------------------------- */

size_t
req_stream_pending (const struct req *r)
{
  return r->out->len - r->out_used;
}

/* Discard the bytes that the caller has read.  A stream that is faster than
   its caller always has some pending, so this does not wait for their end;
   each byte is moved at most once. */
static void
discard_read (struct req *r)
{
  if (r->out_used < req_stream_pending (r))
    return;
  g_string_erase (r->out, 0, (gssize)r->out_used);
  r->out_used = 0;
}

static ssize_t
read_pending (struct req *r, char *to, size_t max)
{
  size_t n = req_stream_pending (r);

  if (n > max)
    n = max;
  memcpy (to, r->out->str + r->out_used, n);
  r->out_used += n;
  met_add (MET_STREAM_BYTES, -(int64_t)n);
  discard_read (r);
  return (ssize_t)n;
}

/*
 * A caller of HTTP/1.0 reads a stream up to the end of the connection, so only
 * a reset tells it that the stream is broken.  The daemon would end the
 * connection in order; dissolving its association resets it.
 */
static void
reset_connection (struct req *r)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (r->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
  const struct sockaddr none = { .sa_family = AF_UNSPEC };

  if (info != NULL && connect (info->connect_fd, &none, sizeof none) != 0)
    log_event (LOG_LEVEL_WARNING, "reset", "req=%s outcome=failed error=%d",
               r->id, errno);
}

/* The next bytes of the stream; or LONGREPLY_NOTHING and so on. */
static ssize_t
take_stream (struct req *r, char *to, size_t max)
{
  ssize_t n;

  if (req_stream_pending (r) > 0)
    {
      n = read_pending (r, to, max);
      if (r->ops->drained != NULL)
        r->ops->drained (r);
      return n;
    }
  /* Without the last chunk, every HTTP client detects the broken stream. */
  if (r->out_aborted)
    {
      met_add (MET_STREAMS_BROKEN, r->is_disconnected ? 0 : 1);
      if (!r->out_chunked)
        reset_connection (r);
      return LONGREPLY_BROKEN;
    }
  if (r->out_ended)
    {
      met_add (MET_STREAMS_ENDED, 1);
      return LONGREPLY_ENDED;
    }
  return LONGREPLY_NOTHING;
}

static ssize_t
read_stream (void *arg, uint64_t pos, char *to, size_t max)
{
  struct req *r = arg;
  ssize_t n = take_stream (r, to, max);

  (void)pos;
  if (n == LONGREPLY_BROKEN)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (n == LONGREPLY_ENDED)
    return MHD_CONTENT_READER_END_OF_STREAM;
  if (n == LONGREPLY_NOTHING)
    {
      r->suspended = true;
      MHD_suspend_connection (r->conn);
    }
  return n;
}

/* --- replies that may not fit their connection's memory -------------- */

/* What libmicrohttpd takes of a connection's memory for each header, cookie
   and argument of the query beside its text, and for other structures. */
#define VALUE_BYTES 64
#define OTHER_BYTES 256
/* Its buffer for the request starts as this fraction (1/2) of the memory, and
   grows in steps of at most that one (1/8) when it is nearly full. */
#define BUFFER_DIVISOR 2
#define STEP_DIVISOR 8

static enum MHD_Result
add_length (void *arg, enum MHD_ValueKind kind, const char *name,
            const char *value)
{
  size_t *len = arg;

  (void)kind;
  *len += strlen (name) + (value != NULL ? strlen (value) : 0);
  return MHD_YES;
}

/* Bytes that the buffer for the request takes.  Behind the request, it may
   hold the next one. */
static size_t
request_buffer_size (const struct req *r)
{
  const union MHD_ConnectionInfo *head = MHD_get_connection_info (
      r->conn, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
  size_t memory = r->listener->connection_memory;
  size_t step = memory / STEP_DIVISOR;
  size_t used = head != NULL ? head->header_size : memory;

  MHD_get_connection_values (r->conn, MHD_FOOTER_KIND, add_length, &used);
  if (used + step / 2 <= memory / BUFFER_DIVISOR)
    return memory / BUFFER_DIVISOR;
  return used + step;
}

/* Bytes of the connection's memory that are left for the head of the reply, at
   least. */
static size_t
reply_room (const struct req *r)
{
  size_t memory = r->listener->connection_memory;
  size_t used = request_buffer_size (r) + OTHER_BYTES;
  int values = MHD_get_connection_values (r->conn,
                                          MHD_HEADER_KIND | MHD_COOKIE_KIND
                                              | MHD_GET_ARGUMENT_KIND
                                              | MHD_FOOTER_KIND,
                                          NULL, NULL);

  /* Cookies are read from a copy of their header. */
  MHD_get_connection_values (r->conn, MHD_COOKIE_KIND, add_length, &used);
  used += (size_t)MAX (values, 0) * VALUE_BYTES;
  return used < memory ? memory - used : 0;
}

static ssize_t
read_long_stream (void *arg, char *to, size_t max)
{
  return take_stream (arg, to, max);
}

/* The connection is closed when the daemon next asks for the reply. */
static void
on_long_reply_done (void *arg)
{
  struct req *r = arg;

  r->is_disconnected = true;
  resume (r);
}

static bool
has_no_body (const struct req *r, int status)
{
  return r->is_head || status == MHD_HTTP_NO_CONTENT
         || status == MHD_HTTP_NOT_MODIFIED;
}

/* Whether the caller may still be sending the body. */
static bool
is_body_unread (struct req *r)
{
  const char *length = req_header (r, LENGTH_HEADER);

  return !r->body_read
         && (req_header (r, ENCODING_HEADER) != NULL
             || (length != NULL && strcmp (length, "0") != 0));
}

/* Write the reply without the daemon if the daemon may not be able to, or
   would reset a connection on which the caller is still sending. */
static bool
start_long_reply (struct req *r, struct longreply_opts *o)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (r->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
  size_t size = longreply_head_size (o->lines);
  size_t room = reply_room (r);
  bool unread = is_body_unread (r);

  if (info == NULL || (size <= room && !unread))
    return false;
  log_event (LOG_LEVEL_INFO, "long_reply",
             "req=%s status=%d head=%zu room=%zu body=%s", r->id, o->status,
             size, room, unread ? "unread" : "read");
  met_add (MET_LONG_REPLIES, 1);
  if (has_no_body (r, o->status))
    o->framing = LONGREPLY_NO_BODY;
  o->loop = r->worker->loop;
  o->fd = info->connect_fd;
  o->idle_us = r->idle_us;
  o->date_s = g_get_real_time () / CQ_US_PER_S;
  o->read = read_long_stream;
  o->done = on_long_reply_done;
  o->arg = r;
  r->long_reply = longreply_new (o, &r->listener->long_replies);
  return true;
}

/* --- replies by the daemon ------------------------------------------- */

/* Reply with a complete body, which is copied. */
void
req_respond (struct req *r, int status, const char *const *lines,
             const char *body, size_t len)
{
  struct longreply_opts o = { .status = status, .lines = lines };

  o.framing = LONGREPLY_WHOLE;
  o.body = body;
  o.len = len;
  if (start_long_reply (r, &o))
    return;
  r->response = MHD_create_response_from_buffer (len, (void *)body,
                                                 MHD_RESPMEM_MUST_COPY);
  r->status = status;
  add_lines (r->response, lines);
  close_when_stopping (r);
  resume (r);
}

/* A reply of two parts. */
struct parts_reply
{
  struct MHD_IoVec parts[2]; /* what is sent */
  GByteArray *head;          /* memory of the first part */
  void (*sent) (void *arg);  /* called once nothing is used any more */
  void *arg;                 /* passed to sent */
};

static void
free_parts (void *cls)
{
  struct parts_reply *p = cls;

  p->sent (p->arg);
  g_byte_array_unref (p->head);
  g_free (p);
}

void
req_respond_parts (struct req *r, int status, const GByteArray *head,
                   GBytes *rows, void (*sent) (void *arg), void *arg)
{
  struct parts_reply *p = g_new0 (struct parts_reply, 1);
  gsize len;

  p->head = g_byte_array_sized_new (head->len);
  g_byte_array_append (p->head, head->data, head->len);
  p->sent = sent;
  p->arg = arg;
  p->parts[0].iov_base = p->head->data;
  p->parts[0].iov_len = p->head->len;
  p->parts[1].iov_base = g_bytes_get_data (rows, &len);
  p->parts[1].iov_len = len;
  r->response = MHD_create_response_from_iovec (p->parts, len > 0 ? 2 : 1,
                                                free_parts, p);
  r->status = status;
  close_when_stopping (r);
  resume (r);
}

/* --- streams --------------------------------------------------------- */

static void
continue_stream (struct req *r)
{
  if (r->long_reply != NULL)
    longreply_wake (r->long_reply);
  else
    resume (r);
}

/* Start a reply whose body is streamed with req_stream_write. */
void
req_stream_open (struct req *r, int status, const char *const *lines)
{
  struct longreply_opts o = { .status = status, .lines = lines };

  o.framing = r->out_chunked ? LONGREPLY_CHUNKED : LONGREPLY_TO_CLOSE;
  if (start_long_reply (r, &o))
    return;
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
  continue_stream (r);
}

/* End the stream.  If COMPLETE, with the trailer NAME: VALUE unless NAME is
   NULL; otherwise in a way that no client takes for a complete one. */
void
req_stream_close (struct req *r, bool complete, const char *name,
                  const char *value)
{
  if (complete && name != NULL && r->long_reply != NULL)
    longreply_set_trailer (r->long_reply, name, value);
  else if (complete && name != NULL)
    MHD_add_response_footer (r->response, name, value);
  r->out_ended = complete;
  r->out_aborted = !complete;
  continue_stream (r);
}

/* --- disconnected callers -------------------------------------------- */

/*
 * Whether the caller closed its connection.  The daemon does not watch a
 * suspended connection, so the request of a caller that disconnects would
 * continue to occupy a slot of an endpoint.  Peeking at the socket detects the
 * close without consuming bytes that the daemon has to read.
 */
bool
req_caller_disconnected (struct req *r)
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

/* Let the daemon close the connection of a disconnected caller. */
void
req_close_disconnected (struct req *r)
{
  r->is_disconnected = true;
  r->out_aborted = true;
  resume (r);
}

/* --- requests -------------------------------------------------------- */

static void
generate_id (char *id)
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
req_new (struct http_listener *l, struct MHD_Connection *conn,
         const char *target)
{
  struct req *r = g_new0 (struct req, 1);

  r->listener = l;
  r->ops = l->ops;
  r->owner = l->owner;
  r->worker = l->worker;
  r->conn = conn;
  r->target = g_strdup (target);
  r->workspace = -1;
  r->operator_index = -1;
  r->idle_us = l->idle_us;
  r->body = g_string_new (NULL);
  r->out = g_string_new (NULL);
  generate_id (r->id);
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
free_body (struct req *r)
{
  req_free_body (r->worker->server, req_take_body (r));
}

static void
req_free (struct req *r)
{
  if (r->ops->closed != NULL)
    r->ops->closed (r);
  if (r->response != NULL)
    MHD_destroy_response (r->response);
  longreply_free (r->long_reply);
  free_body (r);
  met_add (MET_STREAM_BYTES, -(int64_t)req_stream_pending (r));
  g_string_free (r->out, TRUE);
  g_free (r->path);
  g_free (r->target);
  g_free (r);
}

/* The total size of all request bodies is limited, whatever callers send. */
static bool
has_body_memory (struct server *s)
{
  return __atomic_load_n (&s->body_bytes, __ATOMIC_RELAXED)
         < __atomic_load_n (&s->body_bytes_max, __ATOMIC_RELAXED);
}

static enum MHD_Result
append_body (struct req *r, const char *data, size_t *len)
{
  struct server *s = r->worker->server;
  size_t n = *len;

  *len = 0;
  if (has_reply (r))
    return MHD_YES;
  if (r->body->len + n > r->body_max)
    {
      r->excess = EXCESS_BODY;
      r->dropped += n;
      return r->dropped < OVERSIZE_FACTOR * r->body_max ? MHD_YES : MHD_NO;
    }
  if (!has_body_memory (s))
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
  r->ops->start (r);
  /* A callback that needs the body for longer has taken it. */
  free_body (r);
}

static void
suspend (struct req *r)
{
  r->suspended = true;
  MHD_suspend_connection (r->conn);
}

/* Give the reply to the daemon, or keep the daemon from the connection until
   the reply was written without it. */
static enum MHD_Result
send_reply (struct req *r)
{
  enum MHD_Result done = MHD_YES;

  if (r->response != NULL)
    done = MHD_queue_response (r->conn, (unsigned)r->status, r->response);
  else
    suspend (r);
  r->queued = true;
  return done;
}

/* Headers that determine the length of the body. */
struct framing
{
  int lengths;      /* Content-Length lines */
  int encodings;    /* Transfer-Encoding lines */
  bool unsupported; /* an encoding other than chunked alone */
  bool malformed;   /* a line whose name is none, or may hide one of these */
};

/* A reader may take a carriage return or a NUL for the end of a line, and what
   follows for a header. */
static bool
has_control (const char *text, size_t len)
{
  size_t i;

  for (i = 0; i < len; i++)
    if (g_ascii_iscntrl (text[i]) && text[i] != '\t')
      return true;
  return false;
}

static bool
is_token (const char *name)
{
  static const char others[] = "!#$%&'*+-.^_`|~";

  if (*name == '\0')
    return false;
  for (; *name != '\0'; name++)
    if (!g_ascii_isalnum (*name) && strchr (others, *name) == NULL)
      return false;
  return true;
}

/* libmicrohttpd appends a continuation line to the name of the header. */
static bool
is_continued (const char *name, const char *framing)
{
  size_t n = strlen (framing);

  return g_ascii_strncasecmp (name, framing, n) == 0 && name[n] != '\0';
}

static enum MHD_Result
count_framing_headers (void *arg, enum MHD_ValueKind kind, const char *name,
                       size_t name_len, const char *value, size_t value_len)
{
  struct framing *f = arg;

  (void)kind;
  f->malformed |= !is_token (name) || strlen (name) != name_len
                  || has_control (value, value_len)
                  || is_continued (name, LENGTH_HEADER)
                  || is_continued (name, ENCODING_HEADER);
  if (g_ascii_strcasecmp (name, LENGTH_HEADER) == 0)
    f->lengths++;
  if (g_ascii_strcasecmp (name, ENCODING_HEADER) == 0)
    {
      f->encodings++;
      f->unsupported |= g_ascii_strcasecmp (value, "chunked") != 0;
    }
  return MHD_YES;
}

/*
 * Two headers that state the length, or one that another server reads and
 * libmicrohttpd does not, allow request smuggling: one server reads a body
 * where the next one reads a second request.  Such a request is refused with
 * status 400 and its connection is closed, so nothing after it is read.
 */
static bool
is_framing_unambiguous (struct req *r, const char *method)
{
  struct framing f = { 0 };

  MHD_get_connection_values_n (r->conn, MHD_HEADER_KIND, count_framing_headers,
                               &f);
  f.malformed |= has_control (r->target, strlen (r->target))
                 || strchr (r->target, '\t') != NULL || !is_token (method);
  return f.lengths + f.encodings <= 1 && !f.unsupported && !f.malformed;
}

static enum MHD_Result
refuse_ambiguous_length (struct req *r)
{
  static const char *const close_line[] = { "Connection: close", NULL };

  log_event (LOG_LEVEL_INFO, "refuse",
             "req=%s outcome=not-run reason=ambiguous_length", r->id);
  req_respond (r, MHD_HTTP_BAD_REQUEST, close_line, "", 0);
  return send_reply (r);
}

static enum MHD_Result
on_head (struct req *r, const char *url, const char *method)
{
  r->head_seen = true;
  r->path = g_strdup (url);
  if (!is_framing_unambiguous (r, method))
    return refuse_ambiguous_length (r);
  r->ops->head (r, method);
  return has_reply (r) ? send_reply (r) : MHD_YES;
}

static enum MHD_Result
on_request (void *arg, struct MHD_Connection *conn, const char *url,
            const char *method, const char *version, const char *data,
            size_t *len, void **con_cls)
{
  struct req *r = *con_cls;

  (void)arg;
  (void)conn;
  r->out_chunked = strcmp (version, MHD_HTTP_VERSION_1_0) != 0;
  r->is_head = strcmp (method, MHD_HTTP_METHOD_HEAD) == 0;
  if (r->is_disconnected)
    return MHD_NO;
  if (!r->head_seen)
    return on_head (r, url, method);
  if (*len > 0)
    return append_body (r, data, len);
  r->body_read = true;
  if (!r->started && !has_reply (r))
    start_request (r);
  if (has_reply (r))
    return send_reply (r);
  suspend (r);
  return MHD_YES;
}

/* Called first, with the target as it was sent.  Later calls only get the
   decoded path, from which the original cannot be restored. */
static void *
on_target (void *arg, const char *target, struct MHD_Connection *conn)
{
  return req_new (arg, conn, target);
}

static void
on_completed (void *arg, struct MHD_Connection *conn, void **con_cls,
              enum MHD_RequestTerminationCode code)
{
  struct req *r = *con_cls;

  (void)arg;
  (void)conn;
  if (r == NULL)
    return;
  if (code == MHD_REQUEST_TERMINATED_WITH_ERROR && r->response != NULL
      && !r->out_aborted && !r->is_disconnected)
    log_event (LOG_LEVEL_WARNING, "reply_unsent", "req=%s status=%d", r->id,
               r->status);
  req_free (r);
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

/* Close the caller's connection after IDLE_S seconds without a byte. */
void
req_set_idle_timeout (struct req *r, unsigned idle_s)
{
  MHD_set_connection_option (r->conn, MHD_CONNECTION_OPTION_TIMEOUT, idle_s);
  r->idle_us = idle_s * CQ_US_PER_S;
}

/* A callback for each header line. */
struct header_call
{
  req_header_fn fn; /* called for each line */
  void *arg;        /* passed to it */
};

static enum MHD_Result
call_header_fn (void *arg, enum MHD_ValueKind kind, const char *name,
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

  MHD_get_connection_values (r->conn, MHD_HEADER_KIND, call_header_fn, &c);
}

/* --- listeners ------------------------------------------------------- */

static void
on_daemon_ready (void *arg, int fd, bool readable, bool writable)
{
  /* The loop's hook runs the daemon at each turn. */
  (void)arg;
  (void)fd;
  (void)readable;
  (void)writable;
}

static void
run_daemon (void *arg)
{
  struct http_listener *l = arg;

  MHD_run (l->daemon);
}

static int64_t
daemon_timeout_us (void *arg)
{
  struct http_listener *l = arg;
  MHD_UNSIGNED_LONG_LONG ms;

  if (MHD_get_timeout (l->daemon, &ms) != MHD_YES)
    return -1;
  return (int64_t)ms * 1000;
}

/* Open a listener on W's loop; returns NULL on failure.  The caller keeps
   ownership of LISTEN_FD. */
struct http_listener *
http_listener_open (struct worker *w, int listen_fd,
                    const struct http_listener_opts *o)
{
  struct http_listener *l = g_new0 (struct http_listener, 1);
  const union MHD_DaemonInfo *info;

  l->worker = w;
  l->ops = o->ops;
  l->owner = o->owner;
  l->close_from = o->close_from;
  l->connection_memory = o->connection_memory;
  l->idle_us = o->idle_timeout_s * CQ_US_PER_S;
  longreply_ring_init (&l->long_replies);
  l->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_request, l,
      MHD_OPTION_LISTEN_SOCKET, dup (listen_fd), MHD_OPTION_NOTIFY_COMPLETED,
      on_completed, NULL, MHD_OPTION_NOTIFY_CONNECTION, on_connection, NULL,
      MHD_OPTION_URI_LOG_CALLBACK, on_target, l, MHD_OPTION_CONNECTION_LIMIT,
      o->connections, MHD_OPTION_CONNECTION_TIMEOUT, o->idle_timeout_s,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, o->connection_memory,
      MHD_OPTION_CONNECTION_MEMORY_INCREMENT, (size_t)1024,
      MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_END);
  if (l->daemon == NULL)
    {
      g_free (l);
      return NULL;
    }
  info = MHD_get_daemon_info (l->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  l->fd = loop_add_fd (w->loop, info->epoll_fd, on_daemon_ready, l);
  loop_watch (w->loop, l->fd, true, false);
  l->hook.run = run_daemon;
  l->hook.timeout_us = daemon_timeout_us;
  l->hook.arg = l;
  loop_add_hook (w->loop, &l->hook);
  return l;
}

/* Accept no more connections; open ones continue. */
void
http_listener_quiesce (struct http_listener *l)
{
  MHD_socket fd;

  if (l == NULL || l->quiesced)
    return;
  l->quiesced = true;
  fd = MHD_quiesce_daemon (l->daemon);
  if (fd != MHD_INVALID_SOCKET)
    close (fd);
}

void
http_listener_close (struct http_listener *l)
{
  if (l == NULL)
    return;
  longreply_end_all (&l->long_replies);
  loop_remove_hook (&l->hook);
  loop_remove_fd (l->worker->loop, l->fd);
  MHD_stop_daemon (l->daemon);
  g_free (l);
}
