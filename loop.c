/* Event loop over an APR pollset. */
#include "loop.h"

#include <glib.h>
#include <time.h>

#include <apr_poll.h>
#include <apr_portable.h>

#define POLLSET_SIZE 1024             /* events handled in one iteration */
#define MAX_POLL_US INT64_C (1000000) /* one iteration a second at least */

/* A watched socket. */
struct loop_fd
{
  APR_RING_ENTRY (loop_fd) link; /* in the list of unused entries */
  apr_pollfd_t poll;             /* what the pollset watches */
  loop_ready ready;              /* called when ready */
  void *arg;                     /* passed to ready */
  int fd;                        /* descriptor */
  bool watched;                  /* whether it is in the pollset */
};

struct loop
{
  apr_pool_t *pool;                          /* lives as long as the loop */
  apr_pollset_t *pollset;                    /* watched sockets */
  APR_RING_HEAD (fd_list, loop_fd) unused;   /* entries for reuse */
  APR_RING_HEAD (timers, loop_timer) timers; /* armed, sorted by due time */
  GMutex lock;                               /* guards msgs */
  APR_RING_HEAD (msg_list, loop_msg) msgs;   /* messages to run */
  GThread *thread;                           /* thread that runs the loop */
  APR_RING_HEAD (hooks, loop_hook) hooks;    /* called in each iteration */
  APR_RING_HEAD (works, loop_work) works;    /* long work in progress */
  bool stopping;                             /* loop_stop was called */
};

int64_t
loop_now_us (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

struct loop *
loop_new (void)
{
  struct loop *l = g_new0 (struct loop, 1);
  apr_status_t st;

  apr_pool_create (&l->pool, NULL);
  st = apr_pollset_create (&l->pollset, POLLSET_SIZE, l->pool,
                           APR_POLLSET_WAKEABLE);
  if (st != APR_SUCCESS)
    g_error ("apr_pollset_create failed: %d", st);
  APR_RING_INIT (&l->unused, loop_fd, link);
  APR_RING_INIT (&l->timers, loop_timer, link);
  APR_RING_INIT (&l->msgs, loop_msg, link);
  APR_RING_INIT (&l->hooks, loop_hook, link);
  APR_RING_INIT (&l->works, loop_work, link);
  g_mutex_init (&l->lock);
  return l;
}

void
loop_free (struct loop *l)
{
  apr_pollset_destroy (l->pollset);
  apr_pool_destroy (l->pool);
  g_mutex_clear (&l->lock);
  g_free (l);
}

void
loop_add_hook (struct loop *l, struct loop_hook *hook)
{
  APR_RING_INSERT_TAIL (&l->hooks, hook, loop_hook, link);
}

void
loop_remove_hook (struct loop_hook *hook)
{
  APR_RING_REMOVE (hook, link);
}

void
loop_add_work (struct loop *l, struct loop_work *w)
{
  APR_RING_INSERT_TAIL (&l->works, w, loop_work, link);
}

void
loop_stop (struct loop *l)
{
  l->stopping = true;
}

struct loop_fd *
loop_add_fd (struct loop *l, int fd, loop_ready ready, void *arg)
{
  struct loop_fd *f;

  /* An APR pool frees memory only as a whole, so entries are reused. */
  if (APR_RING_EMPTY (&l->unused, loop_fd, link))
    f = apr_pcalloc (l->pool, sizeof *f);
  else
    {
      f = APR_RING_FIRST (&l->unused);
      APR_RING_REMOVE (f, link);
    }
  apr_os_sock_put (&f->poll.desc.s, &fd, l->pool);
  f->poll.desc_type = APR_POLL_SOCKET;
  f->poll.client_data = f;
  f->ready = ready;
  f->arg = arg;
  f->fd = fd;
  f->watched = false;
  return f;
}

void
loop_watch (struct loop *l, struct loop_fd *f, bool read, bool write)
{
  if (f->watched)
    apr_pollset_remove (l->pollset, &f->poll);
  f->watched = false;
  f->poll.reqevents
      = (apr_int16_t)((read ? APR_POLLIN : 0) | (write ? APR_POLLOUT : 0));
  if (f->poll.reqevents == 0)
    return;
  f->watched = apr_pollset_add (l->pollset, &f->poll) == APR_SUCCESS;
}

void
loop_remove_fd (struct loop *l, struct loop_fd *f)
{
  loop_watch (l, f, false, false);
  f->ready = NULL;
  APR_RING_INSERT_TAIL (&l->unused, f, loop_fd, link);
}

/* The first timer that is due after DUE_US, or the list's sentinel.  Timers
   with the same due time fire in the order in which they were armed. */
static struct loop_timer *
find_later (struct loop *l, int64_t due_us)
{
  struct loop_timer *end = APR_RING_SENTINEL (&l->timers, loop_timer, link);
  struct loop_timer *at = APR_RING_FIRST (&l->timers);
  struct loop_timer *last = APR_RING_LAST (&l->timers);

  if (at == end)
    return end;
  if (due_us - at->due_us < last->due_us - due_us)
    {
      while (at->due_us <= due_us)
        at = APR_RING_NEXT (at, link);
      return at;
    }
  while (last != end && last->due_us > due_us)
    last = APR_RING_PREV (last, link);
  return last == end ? APR_RING_FIRST (&l->timers)
                     : APR_RING_NEXT (last, link);
}

/* Most timers are due within some milliseconds or at the timeout of a call, so
   their place is near one end of the list. */
void
loop_arm (struct loop *l, struct loop_timer *t, int64_t due_us)
{
  struct loop_timer *later;

  loop_disarm (t);
  t->due_us = due_us;
  t->armed = true;
  later = find_later (l, due_us);
  if (later == APR_RING_SENTINEL (&l->timers, loop_timer, link))
    APR_RING_INSERT_TAIL (&l->timers, t, loop_timer, link);
  else
    APR_RING_INSERT_BEFORE (later, t, link);
}

void
loop_disarm (struct loop_timer *t)
{
  if (!t->armed)
    return;
  APR_RING_REMOVE (t, link);
  t->armed = false;
}

void
loop_post (struct loop *l, struct loop_msg *m)
{
  bool first;

  g_mutex_lock (&l->lock);
  first = APR_RING_EMPTY (&l->msgs, loop_msg, link);
  APR_RING_INSERT_TAIL (&l->msgs, m, loop_msg, link);
  g_mutex_unlock (&l->lock);
  if (first && l->thread != g_thread_self ())
    apr_pollset_wakeup (l->pollset);
}

static struct loop_msg *
dequeue_msg (struct loop *l)
{
  struct loop_msg *m = NULL;

  g_mutex_lock (&l->lock);
  if (!APR_RING_EMPTY (&l->msgs, loop_msg, link))
    {
      m = APR_RING_FIRST (&l->msgs);
      APR_RING_REMOVE (m, link);
    }
  g_mutex_unlock (&l->lock);
  return m;
}

static bool
has_msgs (struct loop *l)
{
  bool has;

  g_mutex_lock (&l->lock);
  has = !APR_RING_EMPTY (&l->msgs, loop_msg, link);
  g_mutex_unlock (&l->lock);
  return has;
}

static void
run_msgs (struct loop *l)
{
  struct loop_msg *m;

  while ((m = dequeue_msg (l)) != NULL)
    m->run (m->arg);
}

static void
run_timers (struct loop *l)
{
  int64_t now = loop_now_us ();
  struct loop_timer *t;

  while (!APR_RING_EMPTY (&l->timers, loop_timer, link))
    {
      t = APR_RING_FIRST (&l->timers);
      if (t->due_us > now)
        return;
      loop_disarm (t);
      t->fire (t->arg, now);
    }
}

/* Does one step of one work; several works are served round robin. */
static void
run_work (struct loop *l)
{
  struct loop_work *w;

  if (APR_RING_EMPTY (&l->works, loop_work, link))
    return;
  w = APR_RING_FIRST (&l->works);
  /* Its last step may free it, so it is taken off the list before. */
  APR_RING_REMOVE (w, link);
  if (w->step (w->arg))
    APR_RING_INSERT_TAIL (&l->works, w, loop_work, link);
}

static int64_t
poll_timeout_us (struct loop *l)
{
  int64_t wait = MAX_POLL_US;
  struct loop_hook *h;
  int64_t n;

  if (has_msgs (l) || !APR_RING_EMPTY (&l->works, loop_work, link))
    return 0;
  if (!APR_RING_EMPTY (&l->timers, loop_timer, link))
    {
      n = APR_RING_FIRST (&l->timers)->due_us - loop_now_us ();
      if (n < wait)
        wait = n < 0 ? 0 : n;
    }
  APR_RING_FOREACH (h, &l->hooks, loop_hook, link)
  {
    n = h->timeout_us (h->arg);
    if (n >= 0 && n < wait)
      wait = n;
  }
  /* APR rounds down to whole milliseconds.  Without rounding up here, the loop
     would spin during the last millisecond of every wait. */
  return (wait + 999) / 1000 * 1000;
}

static void
run_sockets (const apr_pollfd_t *ready, int n)
{
  struct loop_fd *f;
  bool in, out;
  int i;

  for (i = 0; i < n; i++)
    {
      f = ready[i].client_data;
      in = (ready[i].rtnevents & (APR_POLLIN | APR_POLLHUP | APR_POLLERR));
      out = (ready[i].rtnevents & (APR_POLLOUT | APR_POLLERR));
      /* An earlier callback of this iteration may have removed it. */
      if (f->ready != NULL && f->watched)
        f->ready (f->arg, f->fd, in, out);
    }
}

void
loop_run (struct loop *l)
{
  const apr_pollfd_t *ready;
  struct loop_hook *h;
  apr_int32_t n;

  l->thread = g_thread_self ();
  while (!l->stopping)
    {
      n = 0;
      if (apr_pollset_poll (l->pollset, poll_timeout_us (l), &n, &ready)
          == APR_SUCCESS)
        run_sockets (ready, n);
      run_timers (l);
      run_msgs (l);
      run_work (l);
      APR_RING_FOREACH (h, &l->hooks, loop_hook, link)
      h->run (h->arg);
    }
  run_msgs (l);
  while (!APR_RING_EMPTY (&l->works, loop_work, link))
    run_work (l);
  /* loop_run may be called again. */
  l->stopping = false;
}
