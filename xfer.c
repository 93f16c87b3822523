/* Outgoing HTTP transfers through libcurl's multi interface. */
#include "xfer.h"

#include <curl/curl.h>
#include <errno.h>
#include <glib.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <string.h>
#include <strings.h>
#include <sys/ioctl.h>
#include <sys/resource.h>

#include "decide.h"
#include "stall.h"

#define SCHEME "http://"    /* the only scheme that is used */
#define RECEIVE_BYTES 4096L /* libcurl's receive buffer for each transfer */
#define IDLE_EXTRA_CONNS 16 /* idle connections beyond one for each peer */
/* Idle connections may use this fraction (1/4) of the process's descriptors;
   callers and attempts need the rest. */
#define IDLE_FD_DIVISOR 4
/* Idle connections are reused for this long.  Servers close idle connections
   after some seconds, and a request that is sent at the same moment has to be
   repeated. */
#define IDLE_CONN_MAX_AGE_S 4L
/* Interval at which peers that are no longer called are removed. */
#define PEER_MAX_AGE_US (IDLE_CONN_MAX_AGE_S * CQ_US_PER_S)
#define KEEPALIVE_INTERVAL_S 1 /* between probes, and before the first */
#define KEEPALIVE_PROBES 2     /* unanswered probes that end a connection */
#define UNACKED_MAX_MS 2500 /* unacknowledged bytes end it after this, too */

/* Limits on a reply's lines, those of its head, its trailers and of interim
   replies together.  libcurl stores them until the transfer ends. */
#define HEAD_MAX_BYTES 65536
#define HEAD_MAX_LINES 1000
/* A reply may have so many bytes outside its body, and for each byte of the
   body FRAMING_FACTOR more: a chunk of one byte takes six. */
#define OUTSIDE_MAX_BYTES 131072
#define FRAMING_FACTOR 8
/* Most replies are read whole in so many events, and are not counted. */
#define UNCOUNTED_EVENTS 1

struct xfer_pool
{
  struct loop *loop;       /* whose thread runs the transfers */
  CURLM *multi;            /* all transfers */
  struct loop_timer timer; /* libcurl's timer */
  GHashTable *peers;       /* IP:PORT to int64_t: time of the last call */
  int64_t pruned_us;       /* when old ones were last removed */
  int idle_conns_max;      /* upper bound of idle connections */
  int count;               /* in progress, see xfer_count; atomic */
  APR_RING_HEAD (xfer_ring, xfer) live; /* transfers in progress */
};

/* A socket that libcurl watches. */
struct watch
{
  APR_RING_ENTRY (watch) link; /* in the list of its transfer */
  struct xfer_pool *pool;      /* owner */
  struct xfer *xfer;           /* transfer that uses it, or NULL */
  struct loop_fd *fd;          /* in the loop */
  int64_t earlier_bytes;       /* received before that transfer */
};

struct xfer
{
  APR_RING_ENTRY (xfer) link;                  /* in the pool's list */
  APR_RING_HEAD (xfer_watches, watch) watches; /* its sockets */
  struct xfer_pool *pool;                      /* where it runs */
  CURL *easy;                                  /* libcurl's handle */
  struct curl_slist *headers;                  /* request header lines */
  struct xfer_events events;                   /* callbacks */
  void *arg;                                   /* passed to them */
  bool handed_over;       /* before_send let the request go out */
  bool stopped;           /* a callback stopped it */
  bool has_head;          /* the reply's head arrived to its end */
  bool in_head;           /* a status line came, and no blank line after it */
  bool malformed;         /* a line of a head was none of HTTP's */
  bool is_interim;        /* the head is that of an interim reply */
  bool too_large;         /* a limit on the reply's bytes was passed */
  size_t body_max_bytes;  /* limit of the body, 0 for none */
  int readable_events;    /* of its socket */
  int64_t received_bytes; /* read from the socket when last counted */
  int64_t body_bytes;     /* of these, given to on_body or dropped */
  int64_t head_bytes;     /* of these, in lines */
  int head_lines;         /* lines so far */
  bool is_delimited;      /* the reply's headers say where it ends */
  bool stalled;           /* part of the reply came, then none for too long */
  bool timeout_suspected; /* a limit passed; sockets are read once more */
  struct stall stall;     /* limits on the wait for the reply's next byte */
  struct loop_timer stall_timer; /* fires when such a limit may have passed */
  char error[CURL_ERROR_SIZE];   /* libcurl's message */
};

static void finish_completed (struct xfer_pool *p);

static void
handle_socket (struct xfer_pool *p, curl_socket_t fd, int events)
{
  int running;

  curl_multi_socket_action (p->multi, fd, events, &running);
  finish_completed (p);
}

static void finish (struct xfer *x, CURLcode code);

/* --- bytes of a reply ------------------------------------------------ */

static bool
has_too_much_outside (const struct xfer *x)
{
  return x->received_bytes - x->body_bytes
         > OUTSIDE_MAX_BYTES + FRAMING_FACTOR * x->body_bytes;
}

/* Bytes that the kernel has received on the socket. */
static int64_t
kernel_received (int fd)
{
  struct tcp_info info = { 0 };
  socklen_t size = sizeof info;

  if (getsockopt (fd, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
    return 0;
  return (int64_t)info.tcpi_bytes_received;
}

/* libcurl tells nothing of the bytes of a chunk's extension, so what it has
   read is counted at the socket. */
static void
count_received (struct watch *w, int fd)
{
  int unread = 0;

  if (ioctl (fd, FIONREAD, &unread) == 0)
    w->xfer->received_bytes = kernel_received (fd) - w->earlier_bytes - unread;
}

static bool
count_line (struct xfer *x, size_t len)
{
  x->head_bytes += (int64_t)len;
  x->head_lines++;
  x->too_large
      |= x->head_bytes > HEAD_MAX_BYTES || x->head_lines > HEAD_MAX_LINES;
  return !x->too_large;
}

static bool
count_body (struct xfer *x, size_t len)
{
  x->body_bytes += (int64_t)len;
  x->too_large
      |= x->body_max_bytes > 0 && x->body_bytes > (int64_t)x->body_max_bytes;
  return !x->too_large;
}

/* --- sockets --------------------------------------------------------- */

static void
on_socket_ready (void *arg, int fd, bool readable, bool writable)
{
  struct watch *w = arg;
  struct xfer *x = w->xfer;

  if (readable && x != NULL && ++x->readable_events > UNCOUNTED_EVENTS)
    {
      count_received (w, fd);
      if (has_too_much_outside (x))
        {
          x->too_large = true;
          finish (x, CURLE_RECV_ERROR);
          return;
        }
    }
  handle_socket (w->pool, fd,
                 (readable ? CURL_CSELECT_IN : 0)
                     | (writable ? CURL_CSELECT_OUT : 0));
}

static void
watch_attach (struct watch *w, struct xfer *x, curl_socket_t fd)
{
  if (w->xfer == x)
    return;
  if (w->xfer != NULL)
    APR_RING_REMOVE (w, link);
  w->xfer = x;
  if (x == NULL)
    return;
  APR_RING_INSERT_TAIL (&x->watches, w, watch, link);
  w->earlier_bytes = kernel_received (fd);
}

static void
on_timer (void *arg, int64_t now_us)
{
  (void)now_us;
  handle_socket (arg, CURL_SOCKET_TIMEOUT, 0);
}

static int
watch_socket (CURL *easy, curl_socket_t fd, int what, void *user, void *sock)
{
  struct xfer_pool *p = user;
  struct watch *w = sock;
  struct xfer *x = NULL;

  if (what == CURL_POLL_REMOVE)
    {
      if (w != NULL)
        {
          watch_attach (w, NULL, fd);
          loop_remove_fd (p->loop, w->fd);
          g_free (w);
        }
      curl_multi_assign (p->multi, fd, NULL);
      return 0;
    }
  if (w == NULL)
    {
      w = g_new0 (struct watch, 1);
      w->pool = p;
      APR_RING_ELEM_INIT (w, link);
      w->fd = loop_add_fd (p->loop, fd, on_socket_ready, w);
      curl_multi_assign (p->multi, fd, w);
    }
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, (char **)&x);
  watch_attach (w, x, fd);
  loop_watch (p->loop, w->fd, what & CURL_POLL_IN, what & CURL_POLL_OUT);
  return 0;
}

static int
set_timer (CURLM *multi, long timeout_ms, void *user)
{
  struct xfer_pool *p = user;

  (void)multi;
  if (timeout_ms < 0)
    loop_disarm (&p->timer);
  else
    loop_arm (p->loop, &p->timer, loop_now_us () + timeout_ms * 1000);
  return 0;
}

static int
max_idle_conns (void)
{
  struct rlimit files;

  if (getrlimit (RLIMIT_NOFILE, &files) != 0)
    return IDLE_EXTRA_CONNS;
  return (int)(MIN (files.rlim_cur, INT_MAX) / IDLE_FD_DIVISOR);
}

struct xfer_pool *
xfer_pool_new (struct loop *l)
{
  struct xfer_pool *p = g_new0 (struct xfer_pool, 1);

  p->loop = l;
  APR_RING_INIT (&p->live, xfer, link);
  p->timer.fire = on_timer;
  p->timer.arg = p;
  p->multi = curl_multi_init ();
  curl_multi_setopt (p->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
  curl_multi_setopt (p->multi, CURLMOPT_SOCKETDATA, p);
  curl_multi_setopt (p->multi, CURLMOPT_TIMERFUNCTION, set_timer);
  curl_multi_setopt (p->multi, CURLMOPT_TIMERDATA, p);
  p->peers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  p->idle_conns_max = max_idle_conns ();
  return p;
}

void
xfer_pool_free (struct xfer_pool *p)
{
  curl_multi_cleanup (p->multi);
  loop_disarm (&p->timer);
  g_hash_table_destroy (p->peers);
  g_free (p);
}

/* libcurl calls this when the connection is ready and nothing was sent yet. */
static int
before_request (void *arg, char *ip, char *local_ip, int port, int local_port)
{
  struct xfer *x = arg;

  (void)ip;
  (void)local_ip;
  (void)port;
  (void)local_port;
  if (x->events.before_send != NULL && !x->events.before_send (x->arg))
    {
      x->stopped = true;
      return CURL_PREREQFUNC_ABORT;
    }
  x->handed_over = true;
  return CURL_PREREQFUNC_OK;
}

static bool
starts_with (const char *line, size_t len, const char *name)
{
  size_t n = strlen (name);

  return len >= n && strncasecmp (line, name, n) == 0;
}

static void
arm_stall_timer (struct xfer *x)
{
  int64_t due = stall_deadline_us (&x->stall);

  if (due < INT64_MAX)
    loop_arm (x->pool->loop, &x->stall_timer, due);
}

/* The first byte may move the deadline earlier, so the timer is armed again.
   Further bytes only move it later, which is checked when the timer fires. */
static void
record_byte (struct xfer *x)
{
  bool first = !x->stall.started;

  x->timeout_suspected = false;
  stall_byte_received (&x->stall, loop_now_us ());
  if (first)
    arm_stall_timer (x);
}

static bool
is_blank_line (const char *line, size_t len)
{
  return (len == 1 && line[0] == '\n')
         || (len == 2 && line[0] == '\r' && line[1] == '\n');
}

/*
 * Whether LINE may come at this point of a reply.  Behind a reply that its
 * sender broke off in the head, another one may follow on the connection.
 * libcurl takes a status line there for a header or a reason phrase, and any
 * line that starts with CR for the end of the head.
 */
static bool
is_head_line (const struct xfer *x, const char *line, size_t len)
{
  static const char scheme[] = "HTTP/";
  const size_t n = sizeof scheme - 1;

  if (!x->in_head)
    return starts_with (line, len, scheme)
           && g_strstr_len (line + n, (gssize)(len - n), scheme) == NULL;
  return is_blank_line (line, len) || line[0] == ' ' || line[0] == '\t'
         || (line[0] != '\r' && memchr (line, ':', len) != NULL
             && !starts_with (line, len, scheme));
}

/* Whether a status line is that of an interim (1xx) reply. */
static bool
is_interim_status (const char *line, size_t len)
{
  const char *status = memchr (line, ' ', len);

  return status != NULL && status + 1 < line + len && status[1] == '1';
}

static size_t
on_header_line (char *line, size_t size, size_t count, void *arg)
{
  struct xfer *x = arg;
  size_t len = size * count;

  record_byte (x);
  if (!count_line (x, len))
    return 0;
  /* A line after the head is a trailer. */
  if (x->has_head && !x->is_interim)
    return len;
  x->malformed |= !is_head_line (x, line, len);
  if (x->malformed)
    return 0;
  /* The head of an interim (1xx) reply may precede that of the reply. */
  if (!x->in_head)
    {
      x->in_head = true;
      x->has_head = false;
      x->is_interim = is_interim_status (line, len);
      x->is_delimited = false;
    }
  else if (is_blank_line (line, len))
    {
      x->has_head = true;
      x->in_head = false;
    }
  if (starts_with (line, len, "content-length:")
      || starts_with (line, len, "transfer-encoding:"))
    x->is_delimited = true;
  if (x->events.on_header != NULL)
    x->events.on_header (x->arg, line, len);
  return len;
}

static int
http_status (const struct xfer *x)
{
  long status = 0;

  curl_easy_getinfo (x->easy, CURLINFO_RESPONSE_CODE, &status);
  return (int)status;
}

static size_t
on_body_data (char *data, size_t size, size_t count, void *arg)
{
  struct xfer *x = arg;
  size_t len = size * count;

  record_byte (x);
  if (x->events.on_body == NULL)
    return count_body (x, len) ? len : 0;
  switch (x->events.on_body (x->arg, http_status (x), data, len))
    {
    case XFER_CONTINUE:
      return count_body (x, len) ? len : 0;
    case XFER_PAUSE:
      return CURL_WRITEFUNC_PAUSE;
    case XFER_STOP:
      x->stopped = true;
      return 0;
    }
  return len;
}

static void
xfer_release (struct xfer *x)
{
  while (!APR_RING_EMPTY (&x->watches, watch, link))
    watch_attach (APR_RING_FIRST (&x->watches), NULL, CURL_SOCKET_BAD);
  loop_disarm (&x->stall_timer);
  APR_RING_REMOVE (x, link);
  __atomic_fetch_sub (&x->pool->count, 1, __ATOMIC_RELAXED);
  curl_easy_cleanup (x->easy);
  curl_slist_free_all (x->headers);
  g_free (x);
}

/* The machine at the address answered that nothing listens there.  Unlike a
   timeout, this rules out a broken link. */
static bool
is_connection_refused (const struct xfer *x, CURLcode code)
{
  long error = 0;

  curl_easy_getinfo (x->easy, CURLINFO_OS_ERRNO, &error);
  return code == CURLE_COULDNT_CONNECT
         && (error == ECONNREFUSED || error == ECONNRESET);
}

static int64_t
connect_time_us (const struct xfer *x)
{
  curl_off_t took = 0;

  curl_easy_getinfo (x->easy, CURLINFO_CONNECT_TIME_T, &took);
  return took;
}

static void
finish (struct xfer *x, CURLcode code)
{
  struct xfer_end end = { .handed_over = x->handed_over };

  end.status = http_status (x);
  end.stopped = x->stopped;
  end.stalled = x->stalled;
  end.too_large = x->too_large;
  end.has_head = x->has_head && !x->is_interim;
  end.connection_refused = is_connection_refused (x, code);
  end.connect_us = connect_time_us (x);
  /*
   * A reply that is delimited only by the close of the connection looks
   * complete even when its sender died in the middle, so it does not count as
   * complete.  libcurl reports no error if that close comes in the head.
   */
  end.no_error = code == CURLE_OK && x->has_head;
  end.complete = end.no_error && x->is_delimited;
  end.error = x->too_large       ? "reply too large"
              : x->malformed     ? "malformed head"
              : end.no_error     ? ""
              : code == CURLE_OK ? "connection closed in the reply's head"
              : x->error[0] != 0 ? x->error
                                 : curl_easy_strerror (code);
  curl_multi_remove_handle (x->pool->multi, x->easy);
  x->events.on_end (x->arg, &end);
  xfer_release (x);
}

/*
 * The timer is armed again only when it fires, since bytes come far more
 * often.  When it fires late, because the VM was busy with another socket or
 * was suspended, bytes that arrived meanwhile are not read yet.  So the loop
 * reads all sockets once more before the transfer ends.  Without this, a large
 * reply that took a second to decode ended all other calls.
 */
static void
on_stall_timer (void *arg, int64_t now_us)
{
  struct xfer *x = arg;
  enum stall_state state = stall_state (&x->stall, now_us);

  if (state == STALL_NONE)
    {
      arm_stall_timer (x);
      return;
    }
  if (!x->timeout_suspected)
    {
      x->timeout_suspected = true;
      /* Fires in the next iteration of the loop. */
      loop_arm (x->pool->loop, &x->stall_timer, now_us + 1);
      return;
    }
  x->stalled = state == STALL_NO_NEXT_BYTE;
  g_strlcpy (x->error,
             x->stalled ? "no further byte of the reply in time"
                        : "no byte of the reply in time",
             sizeof x->error);
  finish (x, CURLE_OPERATION_TIMEDOUT);
}

void
xfer_pool_abort (struct xfer_pool *p)
{
  while (!APR_RING_EMPTY (&p->live, xfer, link))
    finish (APR_RING_FIRST (&p->live), CURLE_ABORTED_BY_CALLBACK);
}

static void
finish_completed (struct xfer_pool *p)
{
  struct xfer *x;
  CURLMsg *m;
  int left;

  while ((m = curl_multi_info_read (p->multi, &left)) != NULL)
    {
      if (m->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (m->easy_handle, CURLINFO_PRIVATE, (char **)&x);
      finish (x, m->data.result);
    }
}

static void
set_request (struct xfer *x, const struct xfer_opts *o)
{
  CURL *e = x->easy;
  const char *default_method;
  int i;

  curl_easy_setopt (e, CURLOPT_URL, o->url);
  /* The request target is sent unchanged; libcurl would normalize a URL. */
  if (o->target != NULL)
    curl_easy_setopt (e, CURLOPT_REQUEST_TARGET, o->target);
  if (o->body != NULL)
    {
      curl_easy_setopt (e, CURLOPT_POST, 1L);
      curl_easy_setopt (e, CURLOPT_POSTFIELDS, o->body);
      curl_easy_setopt (e, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)o->body_len);
    }
  else if (strcmp (o->method, "POST") == 0)
    {
      curl_easy_setopt (e, CURLOPT_POST, 1L);
      curl_easy_setopt (e, CURLOPT_POSTFIELDSIZE, 0L);
    }
  default_method = o->body != NULL ? "POST" : "GET";
  if (strcmp (o->method, "HEAD") == 0)
    curl_easy_setopt (e, CURLOPT_NOBODY, 1L);
  else if (strcmp (o->method, "POST") != 0
           && strcmp (o->method, default_method) != 0)
    curl_easy_setopt (e, CURLOPT_CUSTOMREQUEST, o->method);
  /* "Expect: 100-continue" would delay long prompts by a round trip. */
  x->headers = curl_slist_append (NULL, "Expect:");
  for (i = 0; o->headers != NULL && o->headers[i] != NULL; i++)
    x->headers = curl_slist_append (x->headers, o->headers[i]);
  curl_easy_setopt (e, CURLOPT_HTTPHEADER, x->headers);
}

/*
 * A peer that lost power or is cut off sends nothing, and a connection may
 * stop working while new ones to the same peer work.  TCP does not report
 * either by itself, and the request would hang until its deadline.  Keepalive
 * probes without an answer end the connection.
 */
static int
set_keepalive (void *arg, curl_socket_t fd, curlsocktype purpose)
{
  static const int on = 1;
  static const int interval_s = KEEPALIVE_INTERVAL_S;
  static const int probes = KEEPALIVE_PROBES;
  static const unsigned unacked_ms = UNACKED_MAX_MS;

  (void)arg;
  (void)purpose;
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &interval_s, sizeof interval_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof interval_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms,
              sizeof unacked_ms);
  return CURL_SOCKOPT_OK;
}

static void
set_transport (struct xfer *x, const struct xfer_opts *o)
{
  CURL *e = x->easy;

  curl_easy_setopt (e, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (e, CURLOPT_PROXY, "");
  curl_easy_setopt (e, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (e, CURLOPT_BUFFERSIZE, RECEIVE_BYTES);
  curl_easy_setopt (e, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (e, CURLOPT_SOCKOPTFUNCTION, set_keepalive);
  curl_easy_setopt (e, CURLOPT_MAXAGE_CONN, IDLE_CONN_MAX_AGE_S);
  curl_easy_setopt (e, CURLOPT_CONNECTTIMEOUT_MS, (long)o->connect_timeout_ms);
  curl_easy_setopt (e, CURLOPT_TIMEOUT_MS, (long)o->timeout_ms);
  /*
   * On a reused connection that the server has just closed, libcurl silently
   * sends the request again, so the call may run twice.  It does not do so on
   * a new connection.
   */
  if (o->new_connection)
    {
      curl_easy_setopt (e, CURLOPT_FRESH_CONNECT, 1L);
      curl_easy_setopt (e, CURLOPT_FORBID_REUSE, 1L);
    }
}

static void
set_callbacks (struct xfer *x)
{
  CURL *e = x->easy;

  curl_easy_setopt (e, CURLOPT_PRIVATE, x);
  curl_easy_setopt (e, CURLOPT_ERRORBUFFER, x->error);
  curl_easy_setopt (e, CURLOPT_PREREQFUNCTION, before_request);
  curl_easy_setopt (e, CURLOPT_PREREQDATA, x);
  curl_easy_setopt (e, CURLOPT_HEADERFUNCTION, on_header_line);
  curl_easy_setopt (e, CURLOPT_HEADERDATA, x);
  curl_easy_setopt (e, CURLOPT_WRITEFUNCTION, on_body_data);
  curl_easy_setopt (e, CURLOPT_WRITEDATA, x);
}

int
xfer_count (struct xfer_pool *p)
{
  return __atomic_load_n (&p->count, __ATOMIC_RELAXED);
}

struct loop *
xfer_loop (const struct xfer_pool *p)
{
  return p->loop;
}

void
xfer_adjust_count (struct xfer_pool *p, int n)
{
  __atomic_fetch_add (&p->count, n, __ATOMIC_RELAXED);
}

/* --- idle connections ------------------------------------------------ */

static gboolean
is_peer_expired (gpointer address, gpointer called_us, gpointer now_us)
{
  const int64_t *called = called_us, *now = now_us;

  (void)address;
  return *now - *called > PEER_MAX_AGE_US;
}

static void
record_peer (struct xfer_pool *p, const char *url, int64_t now_us)
{
  const char *address = url + strlen (SCHEME);
  char *key = g_strndup (address, strcspn (address, "/"));
  int64_t *called = g_hash_table_lookup (p->peers, key);

  if (called == NULL)
    {
      called = g_new (int64_t, 1);
      g_hash_table_insert (p->peers, key, called);
    }
  else
    g_free (key);
  *called = now_us;
}

/*
 * libcurl counts connections in use against the limit as well, and closes the
 * one that has been idle longest.  When more peers are polled than it keeps,
 * that is the connection that is needed next.
 */
static void
limit_idle_conns (struct xfer_pool *p, const struct xfer_opts *o,
                  int64_t now_us)
{
  int peers;

  if (!o->new_connection)
    record_peer (p, o->url, now_us);
  if (now_us - p->pruned_us > PEER_MAX_AGE_US)
    {
      g_hash_table_foreach_remove (p->peers, is_peer_expired, &now_us);
      p->pruned_us = now_us;
    }
  peers = MIN ((int)g_hash_table_size (p->peers) + IDLE_EXTRA_CONNS,
               p->idle_conns_max);
  curl_multi_setopt (p->multi, CURLMOPT_MAXCONNECTS,
                     (long)(peers + xfer_count (p)));
}

struct xfer *
xfer_start (struct xfer_pool *p, const struct xfer_opts *opts)
{
  struct xfer *x = g_new0 (struct xfer, 1);

  x->pool = p;
  APR_RING_ELEM_INIT (x, link);
  APR_RING_INSERT_TAIL (&p->live, x, xfer, link);
  __atomic_fetch_add (&p->count, 1, __ATOMIC_RELAXED);
  APR_RING_INIT (&x->watches, watch, link);
  x->body_max_bytes = opts->body_max_bytes;
  x->events = *opts->events;
  x->arg = opts->arg;
  x->easy = curl_easy_init ();
  set_request (x, opts);
  set_transport (x, opts);
  set_callbacks (x);
  x->stall.first_byte_limit_us = opts->first_byte_timeout_ms * 1000;
  x->stall.next_byte_limit_us = opts->stall_timeout_ms * 1000;
  x->stall.progress_us = loop_now_us ();
  x->stall_timer.fire = on_stall_timer;
  x->stall_timer.arg = x;
  limit_idle_conns (p, opts, x->stall.progress_us);
  curl_multi_add_handle (p->multi, x->easy);
  arm_stall_timer (x);
  return x;
}

void
xfer_cancel (struct xfer *x)
{
  curl_multi_remove_handle (x->pool->multi, x->easy);
  xfer_release (x);
}

void
xfer_unpause (struct xfer *x)
{
  curl_easy_pause (x->easy, CURLPAUSE_CONT);
}
