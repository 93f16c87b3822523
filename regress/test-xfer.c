/*
 * Unit tests of transfers over a real connection, whose other end the test
 * plays: when a wait for bytes is over, and what is told then.
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
#define LIMIT_MS INT64_C (400) /* for the first byte, or for a further one */
#define PIECE_US 60000         /* between bytes of a slow reply */

#define LATE_US INT64_C (400000)  /* until the first byte of a late reply */
#define BUSY_US INT64_C (1200000) /* that the loop cannot read it */

/* What the other end does, and what was told. */
struct far
{
  int fd;              /* listening socket */
  int64_t late_us;     /* time until the first byte */
  const char *begin;   /* sent then */
  int more;            /* bytes sent after it, one by one */
  struct loop *loop;   /* of the transfer */
  struct xfer_end end; /* as told */
};

/* The other end: sends what it has, and is silent until we leave. */
static gpointer
play_far (gpointer arg)
{
  struct far *f = arg;
  int fd = accept (f->fd, NULL, NULL);
  char buf[1024];
  int i;

  g_assert_cmpint (read (fd, buf, sizeof buf), >, 0);
  g_usleep ((gulong)f->late_us);
  g_assert_cmpint (write (fd, f->begin, strlen (f->begin)), >=, 0);
  for (i = 0; i < f->more; i++)
    {
      g_usleep (PIECE_US);
      g_assert_cmpint (write (fd, "x", 1), ==, 1);
    }
  while (read (fd, buf, sizeof buf) > 0)
    ;
  close (fd);
  return NULL;
}

static void
on_end (void *arg, const struct xfer_end *end)
{
  struct far *f = arg;

  f->end = *end;
  loop_stop (f->loop);
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

/* One transfer from F; returns how long it took, in milliseconds. */
static int64_t
transfer (struct far *f, int64_t first_ms, int64_t stall_ms)
{
  struct xfer_opts o = { .method = "GET", .events = &events, .arg = f };
  struct sockaddr_in sa;
  g_autofree char *url = NULL;
  struct xfer_pool *p;
  int64_t began = loop_now_us ();
  GThread *t;

  f->fd = listen_at (&sa);
  if (f->loop == NULL)
    f->loop = loop_new ();
  p = xfer_pool_new (f->loop);
  t = g_thread_new ("far", play_far, f);
  url = g_strdup_printf ("http://127.0.0.1:%d/", ntohs (sa.sin_port));
  o.url = url;
  o.new_connection = true;
  o.first_byte_timeout_ms = first_ms;
  o.stall_timeout_ms = stall_ms;
  xfer_start (p, &o);
  loop_run (f->loop);
  xfer_pool_free (p);
  g_thread_join (t);
  loop_free (f->loop);
  close (f->fd);
  return (loop_now_us () - began) / 1000;
}

/*
 * The head and part of a reply come at once, and then nothing.  The transfer
 * ends soon after its last byte, and says that it stalled; the time that was
 * left for the first byte, here ten seconds, plays no part any more.
 */
static void
test_stalled (void)
{
  struct far f = { .begin = HEAD "xx" };

  g_assert_cmpint (transfer (&f, 10000, LIMIT_MS), <, 5000);
  g_assert_true (f.end.stalled);
  g_assert_false (f.end.complete);
  g_assert_cmpint (f.end.status, ==, 200);
}

/* Nothing comes at all: over after the time for the first byte, and that is
   no stall. */
static void
test_silent (void)
{
  struct far f = { .begin = "" };

  g_assert_cmpint (transfer (&f, LIMIT_MS, 10000), <, 5000);
  g_assert_false (f.end.stalled);
  g_assert_false (f.end.complete);
  g_assert_cmpint (f.end.status, ==, 0);
}

/* A reply comes byte by byte, for three times as long as either limit: it is
   had whole. */
static void
test_slow (void)
{
  struct far f = { .begin = HEAD, .more = 20 };

  g_assert_cmpint (transfer (&f, LIMIT_MS, LIMIT_MS), >,
                   INT64_C (2) * LIMIT_MS);
  g_assert_true (f.end.complete);
  g_assert_false (f.end.stalled);
}

/* Another socket of the loop, which takes long. */
struct busy
{
  int fds[2];              /* a pipe */
  struct loop_timer begin; /* makes it readable */
};

static void
on_begin (void *arg, int64_t now_us)
{
  struct busy *b = arg;

  (void)now_us;
  g_assert_cmpint (write (b->fds[1], "x", 1), ==, 1);
}

static void
be_busy (void *arg, int fd, bool readable, bool writable)
{
  char byte;

  (void)arg;
  (void)readable;
  (void)writable;
  g_assert_cmpint (read (fd, &byte, 1), ==, 1);
  g_usleep ((gulong)BUSY_US);
}

/*
 * The VM decodes a large answer for a second.  Meanwhile the reply to another
 * call comes, in time; it is only read late, and must not count as silence.
 */
static void
test_busy (void)
{
  struct far f = { .begin = HEAD "12345678901234567890", .late_us = LATE_US };
  struct busy b = { .begin = { .fire = on_begin } };
  struct loop_fd *fd;

  g_assert_cmpint (pipe (b.fds), ==, 0);
  b.begin.arg = &b;
  f.loop = loop_new ();
  fd = loop_add_fd (f.loop, b.fds[0], be_busy, &b);
  loop_watch (f.loop, fd, true, false);
  loop_arm (f.loop, &b.begin, loop_now_us () + LATE_US / 2);
  g_assert_cmpint (transfer (&f, 2 * LATE_US / 1000, LIMIT_MS), >=,
                   BUSY_US / 1000);
  g_assert_true (f.end.complete);
  close (b.fds[0]);
  close (b.fds[1]);
}

/* --- kept connections ------------------------------------------------ */

#define PEERS 100 /* other ends, more than libcurl keeps by itself */
#define ROUNDS 3  /* calls to each */

/* Other ends that answer each request, on connections that stay open. */
struct peers
{
  struct pollfd fds[2 * PEERS]; /* listening sockets, then connections */
  struct loop *loop;            /* of the transfers */
  struct xfer_pool *pool;       /* likewise */
  int ports[PEERS];             /* of the listening sockets */
  int accepted;                 /* connections so far */
  int left;                     /* transfers of this round */
  gint stop;                    /* the thread is to end; atomic */
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
play_peers (gpointer arg)
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

/* Guards against a new connection for each poll where stores are many. */
static void
test_many_kept (void)
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
  t = g_thread_new ("peers", play_peers, ps);
  for (i = 0; i < ROUNDS; i++)
    call_peers (ps);
  g_atomic_int_set (&ps->stop, 1);
  g_thread_join (t);
  g_assert_cmpint (ps->accepted, ==, PEERS);
  xfer_pool_free (ps->pool);
  loop_free (ps->loop);
  g_free (ps);
}

const struct unit xfer_units[] = {
  { "/xfer/stalled", test_stalled },     { "/xfer/silent", test_silent },
  { "/xfer/slow", test_slow },           { "/xfer/busy", test_busy },
  { "/xfer/many-kept", test_many_kept }, { NULL, NULL },
};
