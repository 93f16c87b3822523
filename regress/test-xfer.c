/*
 * Unit tests of transfers over real connections to servers in the test: when a
 * transfer times out, what it reports then, and which connections are reused.
 */
#include <glib.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "loop.h"
#include "units.h"
#include "xfer.h"

#define HEAD "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n"
#define LIMIT_MS INT64_C (400) /* timeout for the first or a further byte */
#define BYTE_INTERVAL_US 60000 /* between bytes of a slow reply */

#define LATE_US INT64_C (400000)     /* until the first byte of a late reply */
#define BLOCKED_US INT64_C (1200000) /* time the loop does not read */

/* What the server does, and how the transfer ended. */
struct server
{
  int fd;              /* listening socket */
  int64_t late_us;     /* delay before the first byte */
  const char *head;    /* sent after the delay */
  int more;            /* number of single bytes sent after it */
  bool closes;         /* it closes the connection then */
  struct loop *loop;   /* of the transfer */
  struct xfer_end end; /* as passed to on_end */
};

/* Sends the reply, and then nothing until the client closes. */
static gpointer
run_server (gpointer arg)
{
  struct server *s = arg;
  int fd = accept (s->fd, NULL, NULL);
  char buf[1024];
  int i;

  g_assert_cmpint (read (fd, buf, sizeof buf), >, 0);
  g_usleep ((gulong)s->late_us);
  g_assert_cmpint (write (fd, s->head, strlen (s->head)), >=, 0);
  for (i = 0; i < s->more; i++)
    {
      g_usleep (BYTE_INTERVAL_US);
      g_assert_cmpint (write (fd, "x", 1), ==, 1);
    }
  while (!s->closes && read (fd, buf, sizeof buf) > 0)
    ;
  close (fd);
  return NULL;
}

static void
on_end (void *arg, const struct xfer_end *end)
{
  struct server *s = arg;

  s->end = *end;
  loop_stop (s->loop);
}

static const struct xfer_events events = { .on_end = on_end };

static int
listen_at (struct sockaddr_in *sa)
{
  socklen_t len = sizeof *sa;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  memset (sa, 0, sizeof *sa);
  sa->sin_family = AF_INET;
  sa->sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  g_assert_cmpint (bind (fd, (struct sockaddr *)sa, len), ==, 0);
  g_assert_cmpint (listen (fd, 1), ==, 0);
  g_assert_cmpint (getsockname (fd, (struct sockaddr *)sa, &len), ==, 0);
  return fd;
}

/* Runs one transfer from S; returns its duration in milliseconds. */
static int64_t
transfer (struct server *s, int64_t first_ms, int64_t stall_ms)
{
  struct xfer_opts o = { .method = "GET", .events = &events, .arg = s };
  struct sockaddr_in sa;
  g_autofree char *url = NULL;
  struct xfer_pool *p;
  int64_t start_us = loop_now_us ();
  GThread *t;

  s->fd = listen_at (&sa);
  if (s->loop == NULL)
    s->loop = loop_new ();
  p = xfer_pool_new (s->loop);
  t = g_thread_new ("server", run_server, s);
  url = g_strdup_printf ("http://127.0.0.1:%d/", ntohs (sa.sin_port));
  o.url = url;
  o.new_connection = true;
  o.first_byte_timeout_ms = first_ms;
  o.stall_timeout_ms = stall_ms;
  xfer_start (p, &o);
  loop_run (s->loop);
  xfer_pool_free (p);
  g_thread_join (t);
  loop_free (s->loop);
  close (s->fd);
  return (loop_now_us () - start_us) / 1000;
}

/*
 * The head and part of a reply arrive at once, and then nothing.  The transfer
 * ends soon after its last byte, as stalled.  The timeout for the first byte,
 * here ten seconds, no longer applies.
 */
static void
test_stalled (void)
{
  struct server s = { .head = HEAD "xx" };

  g_assert_cmpint (transfer (&s, 10000, LIMIT_MS), <, 5000);
  g_assert_true (s.end.stalled);
  g_assert_false (s.end.complete);
  g_assert_cmpint (s.end.status, ==, 200);
}

/* No byte arrives: the transfer ends after the timeout for the first byte, and
   does not count as stalled. */
static void
test_silent (void)
{
  struct server s = { .head = "" };

  g_assert_cmpint (transfer (&s, LIMIT_MS, 10000), <, 5000);
  g_assert_false (s.end.stalled);
  g_assert_false (s.end.complete);
  g_assert_cmpint (s.end.status, ==, 0);
}

/* A reply arrives byte by byte, for three times as long as either timeout: it
   is complete. */
static void
test_slow (void)
{
  struct server s = { .head = HEAD, .more = 20 };

  g_assert_cmpint (transfer (&s, LIMIT_MS, LIMIT_MS), >,
                   INT64_C (2) * LIMIT_MS);
  g_assert_true (s.end.complete);
  g_assert_false (s.end.stalled);
}

/* Guards against a limit on bytes outside the body that refuses sound replies:
   chunks of one byte, and a long body that waits in the kernel. */
static void
test_small_chunks (void)
{
  g_autoptr (GString) text
      = g_string_new ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  struct server s = { .head = NULL };
  int i;

  for (i = 0; i < 40000; i++)
    g_string_append (text, "1\r\nx\r\n");
  g_string_append (text, "0\r\n\r\n");
  s.head = text->str;
  transfer (&s, 10000, 10000);
  g_assert_true (s.end.complete);
  g_assert_false (s.end.too_large);
}

static void
test_long_body (void)
{
  g_autoptr (GString) text
      = g_string_new ("HTTP/1.1 200 OK\r\nContent-Length: 4000000\r\n\r\n");
  g_autofree char *body = g_strnfill (4000000, 'x');
  struct server s = { .head = NULL };

  g_string_append_len (text, body, 4000000);
  s.head = text->str;
  transfer (&s, 10000, 10000);
  g_assert_true (s.end.complete);
}

/* Guards against a head without end that is kept until the timeout. */
static void
test_endless_head (void)
{
  g_autoptr (GString) text = g_string_new ("HTTP/1.1 200 OK\r\n");
  struct server s = { .head = NULL, .closes = true };
  int i;

  for (i = 0; i < 2000; i++)
    g_string_append (text, "A: b\r\n");
  g_string_append (text, "Content-Length: 0\r\n\r\n");
  s.head = text->str;
  transfer (&s, 10000, 10000);
  g_assert_true (s.end.too_large);
  g_assert_false (s.end.complete);
}

/* Guards against connection timeouts that are learned from failed connections,
   or from the time until the reply. */
static void
test_connect_time (void)
{
  struct server s = { .head = HEAD, .more = 20 };
  struct xfer_opts o = { .method = "GET", .events = &events, .arg = &s };
  struct sockaddr_in sa;
  g_autofree char *url = NULL;
  struct xfer_pool *p;

  transfer (&s, 10000, 10000);
  g_assert_cmpint (s.end.connect_us, >, 0);
  g_assert_cmpint (s.end.connect_us, <, INT64_C (20) * BYTE_INTERVAL_US);
  close (listen_at (&sa));
  s.loop = loop_new ();
  p = xfer_pool_new (s.loop);
  url = g_strdup_printf ("http://127.0.0.1:%d/", ntohs (sa.sin_port));
  o.url = url;
  xfer_start (p, &o);
  loop_run (s.loop);
  g_assert_true (s.end.connection_refused);
  g_assert_cmpint (s.end.connect_us, ==, 0);
  xfer_pool_free (p);
  loop_free (s.loop);
}

/* Another socket of the loop, whose callback takes long. */
struct busy
{
  int fds[2];              /* a pipe */
  struct loop_timer timer; /* makes the pipe readable */
};

static void
make_readable (void *arg, int64_t now_us)
{
  struct busy *b = arg;

  (void)now_us;
  g_assert_cmpint (write (b->fds[1], "x", 1), ==, 1);
}

static void
block_loop (void *arg, int fd, bool readable, bool writable)
{
  char byte;

  (void)arg;
  (void)readable;
  (void)writable;
  g_assert_cmpint (read (fd, &byte, 1), ==, 1);
  g_usleep ((gulong)BLOCKED_US);
}

/*
 * The loop's thread decodes a large reply for a second.  The reply to another
 * call arrives meanwhile, in time, but is read late.  It must not time out.
 */
static void
test_busy (void)
{
  struct server s
      = { .head = HEAD "12345678901234567890", .late_us = LATE_US };
  struct busy b = { .timer = { .fire = make_readable } };
  struct loop_fd *fd;

  g_assert_cmpint (pipe (b.fds), ==, 0);
  b.timer.arg = &b;
  s.loop = loop_new ();
  fd = loop_add_fd (s.loop, b.fds[0], block_loop, &b);
  loop_watch (s.loop, fd, true, false);
  loop_arm (s.loop, &b.timer, loop_now_us () + LATE_US / 2);
  g_assert_cmpint (transfer (&s, 2 * LATE_US / 1000, LIMIT_MS), >=,
                   BLOCKED_US / 1000);
  g_assert_true (s.end.complete);
  close (b.fds[0]);
  close (b.fds[1]);
}

/* --- idle connections ------------------------------------------------ */

#define PEERS 100 /* more connections than libcurl keeps by default */
#define ROUNDS 3  /* calls to each server */

/* Servers that answer each request, on connections that stay open. */
struct peers
{
  struct pollfd fds[2 * PEERS]; /* listening sockets, then connections */
  struct loop *loop;            /* of the transfers */
  struct xfer_pool *pool;       /* of the transfers */
  int ports[PEERS];             /* of the listening sockets */
  int accepted;                 /* connections accepted so far */
  int left;                     /* unfinished transfers of this round */
  gint stop;                    /* tells the thread to end; atomic */
};

static void
serve_peer (struct peers *ps, int i)
{
  static const char reply[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  struct pollfd *p = &ps->fds[PEERS + i];
  char buf[1024];

  if ((ps->fds[i].revents & POLLIN) != 0)
    {
      if (p->fd >= 0)
        close (p->fd);
      p->fd = accept (ps->fds[i].fd, NULL, NULL);
      ps->accepted++;
    }
  else if (p->fd >= 0 && p->revents != 0)
    {
      if (read (p->fd, buf, sizeof buf) > 0)
        g_assert_cmpint (write (p->fd, reply, sizeof reply - 1), >, 0);
      else
        {
          close (p->fd);
          p->fd = -1;
        }
    }
}

static gpointer
run_peers (gpointer arg)
{
  struct peers *ps = arg;
  int i;

  while (g_atomic_int_get (&ps->stop) == 0)
    if (poll (ps->fds, (nfds_t)2 * PEERS, 20) > 0)
      for (i = 0; i < PEERS; i++)
        serve_peer (ps, i);
  for (i = 0; i < 2 * PEERS; i++)
    if (ps->fds[i].fd >= 0)
      close (ps->fds[i].fd);
  return NULL;
}

static void
on_peer_end (void *arg, const struct xfer_end *end)
{
  struct peers *ps = arg;

  g_assert_cmpint (end->status, ==, 200);
  if (--ps->left == 0)
    loop_stop (ps->loop);
}

static void
call_peers (struct peers *ps)
{
  static const struct xfer_events peer_events = { .on_end = on_peer_end };
  struct xfer_opts o = { .method = "GET", .events = &peer_events };
  int i;

  o.arg = ps;
  for (i = 0; i < PEERS; i++)
    {
      g_autofree char *url
          = g_strdup_printf ("http://127.0.0.1:%d/x", ps->ports[i]);

      o.url = url;
      ps->left++;
      xfer_start (ps->pool, &o);
    }
  loop_run (ps->loop);
}

/* Guards against a new connection for each poll when there are many stores. */
static void
test_many_peers (void)
{
  struct peers *ps = g_new0 (struct peers, 1);
  struct sockaddr_in sa;
  GThread *t;
  int i;

  for (i = 0; i < PEERS; i++)
    {
      ps->fds[i] = (struct pollfd){ listen_at (&sa), POLLIN, 0 };
      ps->fds[PEERS + i] = (struct pollfd){ -1, POLLIN, 0 };
      ps->ports[i] = ntohs (sa.sin_port);
    }
  ps->loop = loop_new ();
  ps->pool = xfer_pool_new (ps->loop);
  t = g_thread_new ("peers", run_peers, ps);
  for (i = 0; i < ROUNDS; i++)
    call_peers (ps);
  g_atomic_int_set (&ps->stop, 1);
  g_thread_join (t);
  g_assert_cmpint (ps->accepted, ==, PEERS);
  xfer_pool_free (ps->pool);
  loop_free (ps->loop);
  g_free (ps);
}

static struct xfer_end
end_of_closed (const char *reply)
{
  struct server s = { .head = reply, .closes = true };

  transfer (&s, 10000, 10000);
  return s.end;
}

/* Guards against a reply that ends with its connection in the middle of its
   head and is taken for a complete one. */
static void
test_cut_head (void)
{
  static const char *const cut[] = {
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nX-A: b\r\n",
    "HTTP/1.1 200 OK\r\nX-A: b\r\nX-C",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
    "HTTP/1.1 204 No Content\r\nX-A: b\r\n",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\n",
    "HTTP/1.1 101 Switching Protocols\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n",
  };
  struct xfer_end end;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (cut); i++)
    {
      end = end_of_closed (cut[i]);
      g_assert_false (end.no_error);
      g_assert_false (end.complete);
    }
}

/* Guards against a reply whose head is broken off and that goes on with
   another reply on the connection. */
static void
test_spliced_head (void)
{
  static const char *const cut[] = {
    "HTTP/1.1 200 OK\r\nX-A: b\r\n",
    "HTTP/1.1 200 OK\r\nX-A: b\r\n\r",
    "HTTP/1.1 200 OK\r\nX-A: b\r\nX-",
    "HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\n\r",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP",
    "HTTP/1.1 100 Continue\r\n\r",
    "HTTP/1.1 100 Continue\r\n",
    "HTTP/1.1 200 ",
  };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (cut); i++)
    {
      g_autofree char *both = g_strconcat (
          cut[i], "HTTP/1.1 404 X\r\nX-A: c\r\nContent-Length: 4\r\n\r\nbody",
          NULL);
      struct xfer_end end = end_of_closed (both);

      g_assert_false (end.no_error);
      g_assert_false (end.complete);
    }
}

/* A whole head, and how far the body is delimited. */
static void
test_closed (void)
{
  struct xfer_end end = end_of_closed ("HTTP/1.1 200 OK\r\n\r\nbody");

  g_assert_true (end.no_error);
  g_assert_false (end.complete);
  end = end_of_closed ("HTTP/1.1 100 Continue\r\n\r\n"
                       "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
  g_assert_true (end.no_error);
  g_assert_true (end.complete);
  end = end_of_closed ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbody");
  g_assert_false (end.no_error);
  end = end_of_closed ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                       "\r\n4\r\nbody\r\n");
  g_assert_false (end.no_error);
  end = end_of_closed ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                       "\r\n4\r\nbody\r\n0\r\n");
  g_assert_false (end.no_error);
  end = end_of_closed ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                       "\r\n");
  g_assert_false (end.no_error);
  end = end_of_closed ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                       "\r\n4\r\nbody\r\n0\r\n\r\n");
  g_assert_true (end.complete);
}

const struct unit xfer_units[] = {
  { "/xfer/stalled", test_stalled },
  { "/xfer/silent", test_silent },
  { "/xfer/slow", test_slow },
  { "/xfer/small-chunks", test_small_chunks },
  { "/xfer/long-body", test_long_body },
  { "/xfer/endless-head", test_endless_head },
  { "/xfer/connect-time", test_connect_time },
  { "/xfer/busy", test_busy },
  { "/xfer/cut-head", test_cut_head },
  { "/xfer/spliced-head", test_spliced_head },
  { "/xfer/closed", test_closed },
  { "/xfer/many-kept", test_many_peers },
  { NULL, NULL },
};
