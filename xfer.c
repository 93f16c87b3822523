/* Outgoing HTTP transfers through libcurl's multi interface. */
#include "xfer.h"

#include <curl/curl.h>
#include <errno.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <strings.h>
#include <sys/resource.h>

#include "decide.h"
#include "stall.h"

#define SCHEME "http://"    /* of all URLs */
#define RECEIVE_BYTES 4096L /* libcurl's receive buffer for each transfer */
#define IDLE_SPARE 16       /* kept besides one for each peer that is called */
/* Part of the process's descriptors that may be kept idle: callers and
   attempts need the rest. */
#define IDLE_PART 4
/* Idle connections are used again for this long; other ends close theirs
   after some seconds, and one that crosses our request costs a repeat. */
#define IDLE_MAX_S 4L
/* Between looks for peers that are no longer called. */
#define FORGET_US (IDLE_MAX_S * CQ_US_PER_S)
#define SILENCE_PROBE_S 1   /* seconds before the first probe, and between */
#define SILENCE_PROBES 2    /* unanswered ones that end a connection */
#define SILENCE_MAX_MS 2500 /* sent bytes that nobody confirms end it too */

struct xfer_pool
{
  struct loop *loop;                    /* whose thread runs the transfers */
  CURLM *multi;                         /* all transfers */
  struct loop_timer timer;              /* libcurl's timer */
  GHashTable *peers;                    /* address to int64_t: called then */
  int64_t forgot_us;                    /* the last look for old ones */
  int idle_max;                         /* of the process's descriptors */
  int count;                            /* under way, or held; atomic */
  APR_RING_HEAD (xfer_ring, xfer) live; /* these */
};

struct xfer
{
  APR_RING_ENTRY (xfer) link;  /* in the pool's list */
  struct xfer_pool *pool;      /* where it runs */
  CURL *easy;                  /* libcurl's handle */
  struct curl_slist *header;   /* request header lines */
  struct xfer_events events;   /* callbacks */
  void *arg;                   /* passed to them */
  bool handed_over;            /* before_send let it go */
  bool stopped;                /* a callback refused */
  bool framed;                 /* the reply says where it ends */
  bool stalled;                /* its bytes stopped coming */
  bool doubted;                /* so it seems: sockets are read once more */
  struct stall wait;           /* for the reply's next byte */
  struct loop_timer quiet;     /* looks whether that is over */
  char error[CURL_ERROR_SIZE]; /* libcurl's words */
};

static void finish_done (struct xfer_pool *p);

static void
act (struct xfer_pool *p, curl_socket_t fd, int events)
{
  int running;

  curl_multi_socket_action (p->multi, fd, events, &running);
  finish_done (p);
}

static void
on_ready (void *arg, int fd, bool readable, bool writable)
{
  act (arg, fd,
       (readable ? CURL_CSELECT_IN : 0) | (writable ? CURL_CSELECT_OUT : 0));
}

static void
on_timer (void *arg, int64_t now_us)
{
  (void)now_us;
  act (arg, CURL_SOCKET_TIMEOUT, 0);
}

static int
watch_socket (CURL *easy, curl_socket_t fd, int what, void *user, void *sock)
{
  struct xfer_pool *p = user;
  struct loop_fd *f = sock;

  (void)easy;
  if (what == CURL_POLL_REMOVE)
    {
      if (f != NULL)
        loop_remove_fd (p->loop, f);
      curl_multi_assign (p->multi, fd, NULL);
      return 0;
    }
  if (f == NULL)
    {
      f = loop_add_fd (p->loop, fd, on_ready, p);
      curl_multi_assign (p->multi, fd, f);
    }
  loop_watch (p->loop, f, what & CURL_POLL_IN, what & CURL_POLL_OUT);
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
idle_max (void)
{
  struct rlimit files;

  if (getrlimit (RLIMIT_NOFILE, &files) != 0)
    return IDLE_SPARE;
  return (int)(MIN (files.rlim_cur, INT_MAX) / IDLE_PART);
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
  p->idle_max = idle_max ();
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

/* The last moment before a byte leaves on this connection. */
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
arm_quiet (struct xfer *x)
{
  int64_t due = stall_due_us (&x->wait);

  if (due < INT64_MAX)
    loop_arm (x->pool->loop, &x->quiet, due);
}

/* Later bytes only move the end away, which the timer sees when it fires; the
   first one may bring it nearer. */
static void
note_byte (struct xfer *x)
{
  bool first = !x->wait.begun;

  x->doubted = false;
  stall_byte (&x->wait, loop_now_us ());
  if (first)
    arm_quiet (x);
}

static size_t
take_header (char *line, size_t size, size_t count, void *arg)
{
  struct xfer *x = arg;
  size_t len = size * count;

  note_byte (x);
  if (starts_with (line, len, "content-length:")
      || starts_with (line, len, "transfer-encoding:"))
    x->framed = true;
  if (x->events.on_header != NULL)
    x->events.on_header (x->arg, line, len);
  return len;
}

static int
status_of (const struct xfer *x)
{
  long status = 0;

  curl_easy_getinfo (x->easy, CURLINFO_RESPONSE_CODE, &status);
  return (int)status;
}

static size_t
take_body (char *data, size_t size, size_t count, void *arg)
{
  struct xfer *x = arg;
  size_t len = size * count;

  note_byte (x);
  if (x->events.on_body == NULL)
    return len;
  switch (x->events.on_body (x->arg, status_of (x), data, len))
    {
    case XFER_CONTINUE:
      break;
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
  loop_disarm (&x->quiet);
  APR_RING_REMOVE (x, link);
  __atomic_fetch_sub (&x->pool->count, 1, __ATOMIC_RELAXED);
  curl_easy_cleanup (x->easy);
  curl_slist_free_all (x->header);
  g_free (x);
}

/* A machine that is up said so: other than silence, that is no cut link. */
static bool
is_refused (const struct xfer *x, CURLcode code)
{
  long error = 0;

  curl_easy_getinfo (x->easy, CURLINFO_OS_ERRNO, &error);
  return code == CURLE_COULDNT_CONNECT
         && (error == ECONNREFUSED || error == ECONNRESET);
}

static void
finish_one (struct xfer *x, CURLcode code)
{
  struct xfer_end end = { .handed_over = x->handed_over };

  end.status = status_of (x);
  end.stopped = x->stopped;
  end.stalled = x->stalled;
  end.connection_refused = is_refused (x, code);
  /*
   * A reply that only the connection's end delimits looks whole when its
   * sender died half way, so it does not count as whole.
   */
  end.no_error = code == CURLE_OK;
  end.complete = end.no_error && x->framed;
  end.error = code == CURLE_OK   ? ""
              : x->error[0] != 0 ? x->error
                                 : curl_easy_strerror (code);
  curl_multi_remove_handle (x->pool->multi, x->easy);
  x->events.on_end (x->arg, &end);
  xfer_release (x);
}

/*
 * Armed again only when it fires, since bytes come far more often.  What came
 * while the VM was busy with another socket, or suspended, has not been read
 * when the timer fires late: the loop reads all sockets once more first.  A
 * large answer that took a second to decode ended all other calls otherwise.
 */
static void
on_quiet (void *arg, int64_t now_us)
{
  struct xfer *x = arg;
  enum stall_state state = stall_state (&x->wait, now_us);

  if (state == STALL_COMING)
    {
      arm_quiet (x);
      return;
    }
  if (!x->doubted)
    {
      x->doubted = true;
      /* Later than this turn of the loop. */
      loop_arm (x->pool->loop, &x->quiet, now_us + 1);
      return;
    }
  x->stalled = state == STALL_MIDWAY;
  g_strlcpy (x->error,
             x->stalled ? "no further byte of the reply in time"
                        : "no byte of the reply in time",
             sizeof x->error);
  finish_one (x, CURLE_OPERATION_TIMEDOUT);
}

void
xfer_pool_abort (struct xfer_pool *p)
{
  while (!APR_RING_EMPTY (&p->live, xfer, link))
    finish_one (APR_RING_FIRST (&p->live), CURLE_ABORTED_BY_CALLBACK);
}

static void
finish_done (struct xfer_pool *p)
{
  struct xfer *x;
  CURLMsg *m;
  int left;

  while ((m = curl_multi_info_read (p->multi, &left)) != NULL)
    {
      if (m->msg != CURLMSG_DONE)
        continue;
      curl_easy_getinfo (m->easy_handle, CURLINFO_PRIVATE, (char **)&x);
      finish_one (x, m->data.result);
    }
}

static void
set_request (struct xfer *x, const struct xfer_opts *o)
{
  CURL *e = x->easy;
  const char *usual;
  int i;

  curl_easy_setopt (e, CURLOPT_URL, o->url);
  /* A target goes out byte by byte; a URL would be cleaned up on the way. */
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
  usual = o->body != NULL ? "POST" : "GET";
  if (strcmp (o->method, "HEAD") == 0)
    curl_easy_setopt (e, CURLOPT_NOBODY, 1L);
  else if (strcmp (o->method, "POST") != 0 && strcmp (o->method, usual) != 0)
    curl_easy_setopt (e, CURLOPT_CUSTOMREQUEST, o->method);
  /* "Expect: 100-continue" would hold back long prompts for a round trip. */
  x->header = curl_slist_append (NULL, "Expect:");
  for (i = 0; o->headers != NULL && o->headers[i] != NULL; i++)
    x->header = curl_slist_append (x->header, o->headers[i]);
  curl_easy_setopt (e, CURLOPT_HTTPHEADER, x->header);
}

/*
 * A peer that lost power or is cut off answers nothing, and a connection may
 * go silent for good while new ones work.  Neither shows by itself: the
 * request would hang until its deadline.  Unanswered probes end it.
 */
static int
set_socket (void *arg, curl_socket_t fd, curlsocktype purpose)
{
  static const int on = 1;
  static const int idle_s = SILENCE_PROBE_S;
  static const int probes = SILENCE_PROBES;
  static const unsigned user_ms = SILENCE_MAX_MS;

  (void)arg;
  (void)purpose;
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &idle_s, sizeof idle_s);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_ms, sizeof user_ms);
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
  curl_easy_setopt (e, CURLOPT_SOCKOPTFUNCTION, set_socket);
  curl_easy_setopt (e, CURLOPT_MAXAGE_CONN, IDLE_MAX_S);
  curl_easy_setopt (e, CURLOPT_CONNECTTIMEOUT_MS, (long)o->connect_timeout_ms);
  curl_easy_setopt (e, CURLOPT_TIMEOUT_MS, (long)o->timeout_ms);
  /*
   * On a kept-alive connection that the other end has just closed, libcurl
   * sends the request again by itself: the call runs twice and nobody is
   * told.  A connection of its own has no such second try.
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
  curl_easy_setopt (e, CURLOPT_HEADERFUNCTION, take_header);
  curl_easy_setopt (e, CURLOPT_HEADERDATA, x);
  curl_easy_setopt (e, CURLOPT_WRITEFUNCTION, take_body);
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

/* --- kept connections ------------------------------------------------ */

static gboolean
is_forgotten (gpointer address, gpointer called_us, gpointer now_us)
{
  const int64_t *called = called_us, *now = now_us;

  (void)address;
  return *now - *called > FORGET_US;
}

static void
note_peer (struct xfer_pool *p, const char *url, int64_t now_us)
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
 * libcurl counts connections in use against the bound as well, and closes the
 * one that has been idle longest.  Where more peers are polled than it keeps,
 * that is the one that is needed next.
 */
static void
bound_idle (struct xfer_pool *p, const struct xfer_opts *o, int64_t now_us)
{
  int peers;

  if (!o->new_connection)
    note_peer (p, o->url, now_us);
  if (now_us - p->forgot_us > FORGET_US)
    {
      g_hash_table_foreach_remove (p->peers, is_forgotten, &now_us);
      p->forgot_us = now_us;
    }
  peers = MIN ((int)g_hash_table_size (p->peers) + IDLE_SPARE, p->idle_max);
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
  x->events = *opts->events;
  x->arg = opts->arg;
  x->easy = curl_easy_init ();
  set_request (x, opts);
  set_transport (x, opts);
  set_callbacks (x);
  x->wait.first_us = opts->first_byte_timeout_ms * 1000;
  x->wait.more_us = opts->stall_timeout_ms * 1000;
  x->wait.since_us = loop_now_us ();
  x->quiet.fire = on_quiet;
  x->quiet.arg = x;
  bound_idle (p, opts, x->wait.since_us);
  curl_multi_add_handle (p->multi, x->easy);
  arm_quiet (x);
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
