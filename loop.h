/*
 * Event loop of one worker thread: sockets, timers and messages from other
 * threads.  All functions except loop_post are called on the loop's own
 * thread.
 */
#ifndef CQ_LOOP_H
#define CQ_LOOP_H

#include <stdbool.h>
#include <stdint.h>

#include <apr_pools.h>
#include <apr_ring.h>

struct loop;
struct loop_fd;

/* A message to a loop; embedded in the object that it concerns. */
struct loop_msg
{
  APR_RING_ENTRY (loop_msg) link; /* in the loop's message queue */
  void (*run) (void *arg);        /* called on the loop's thread */
  void *arg;                      /* passed to run */
};

/* A timer; embedded in its owner, zeroed before first use. */
struct loop_timer
{
  APR_RING_ENTRY (loop_timer) link;         /* sorted by due time */
  int64_t due_us;                           /* when it fires */
  bool armed;                               /* in the loop's list */
  void (*fire) (void *arg, int64_t now_us); /* called when due */
  void *arg;                                /* passed to fire */
};

/* Called when a socket is ready. */
typedef void (*loop_ready) (void *arg, int fd, bool readable, bool writable);

/* Called once in each iteration, after sockets, timers and messages. */
struct loop_hook
{
  APR_RING_ENTRY (loop_hook) link; /* in the loop's list */
  void (*run) (void *arg);         /* called in each iteration */
  int64_t (*timeout_us) (
      void *arg); /* longest time to poll, -1 for no limit */
  void *arg;      /* passed to both */
};

/*
 * Long work that is done in steps, so that sockets and timers are delayed by
 * one step at most.  Embedded in its owner, zeroed before first use.
 */
struct loop_work
{
  APR_RING_ENTRY (loop_work) link; /* in the loop's list */
  bool (*step) (void *arg); /* called repeatedly until it returns false */
  void *arg;                /* passed to step */
};

struct loop *loop_new (void);
void loop_free (struct loop *l);

/* Runs until loop_stop is called on the loop's thread. */
void loop_run (struct loop *l);
void loop_stop (struct loop *l);

/* Time of CLOCK_BOOTTIME, which also counts while the VM is suspended. */
int64_t loop_now_us (void);

struct loop_fd *loop_add_fd (struct loop *l, int fd, loop_ready ready,
                             void *arg);
void loop_watch (struct loop *l, struct loop_fd *f, bool read, bool write);
void loop_remove_fd (struct loop *l, struct loop_fd *f);

void loop_arm (struct loop *l, struct loop_timer *t, int64_t due_us);
void loop_disarm (struct loop_timer *t);
void loop_add_hook (struct loop *l, struct loop_hook *hook);
void loop_remove_hook (struct loop_hook *hook);
/* Adds W, whose steps run from the loop and not in this call.  W may be freed
   in its last step.  loop_run does all remaining steps before it returns. */
void loop_add_work (struct loop *l, struct loop_work *w);

/* Runs M on the loop's thread; may be called on any thread.  M must stay valid
   until it has run. */
void loop_post (struct loop *l, struct loop_msg *m);

#endif
