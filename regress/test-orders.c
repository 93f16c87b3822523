/*
 * Unit tests of the lease and of the orders under it.  The test simulates the
 * store's row and the endpoints, and injects each fault.
 */
#include <glib.h>
#include <string.h>

#include "decide.h"
#include "orders.h"
#include "units.h"

#define MS CQ_US_PER_MS
#define GAP_MS 3000

/* --- lease ----------------------------------------------------------- */

/* A reading of the store's clock gives a lower and an upper bound. */
static void
test_clock (void)
{
  struct lease_clock c = { 10 * MS, 30 * MS, 1000 };

  g_assert_cmpint (lease_earliest_ms (&c, 130 * MS), ==, 1100);
  g_assert_cmpint (lease_latest_ms (&c, 130 * MS), >=, 1120);
}

static struct lease_row
row (const char *holder, int64_t expires_ms)
{
  struct lease_row r = { .expires_ms = expires_ms };

  g_strlcpy (r.holder, holder, sizeof r.holder);
  return r;
}

/*
 * Guards against overlapping holders: endpoints that do not check fencing
 * tokens would carry out orders of both.  Over all delays of both VMs'
 * readings of the clock, the last order that the first holder may give and the
 * first order of its successor are at least the gap apart.
 */
static void
test_no_overlap (void)
{
  struct lease_row r = row ("a/1", 5000);
  struct lease_row second = row ("b/1", 20000);
  int64_t there, back, now, begin;
  int64_t last_a = 0;
  int64_t first_b = INT64_MAX;

  r.order_until_ms = 5000;
  begin = lease_begin_ms (&r, "b/1", GAP_MS);
  second.begin_ms = begin;
  second.order_until_ms = 20000;
  for (there = 0; there <= 600; there += 50)
    for (back = 0; back <= 600; back += 50)
      for (now = 1200; now < 12000; now += 20)
        {
          /* The store's time equals the simulated time; the store was read at
             THERE. */
          struct lease_clock c = { 0, (there + back) * MS, there };

          if (c.store_ms == 0)
            c.store_ms = 1;
          if (lease_may_order (&r, &c, now * MS) && now > last_a)
            last_a = now;
          if (lease_is_free (&r, "b/1", &c, now * MS)
              && lease_may_order (&second, &c, now * MS) && now < first_b)
            first_b = now;
        }
  g_assert_cmpint (last_a, >, 4000);
  g_assert_cmpint (first_b, <, 9500);
  g_assert_cmpint (first_b - last_a, >=, GAP_MS);
}

/* A holder that releases the lease states when it ordered last, and its
   successor waits only from then.  A later incarnation of the same VM is bound
   by the same limit as the earlier one: none, or the orders of a holder before
   both. */
static void
test_released (void)
{
  struct lease_row r = row ("a/1", 5000);
  struct lease_clock c = { 0, 0, 1000 };

  g_assert_false (lease_is_free (&r, "b/1", &c, 0));
  g_assert_true (lease_is_free (&r, "a/2", &c, 0));
  g_assert_false (lease_is_free (&r, "ab/1", &c, 0));
  g_assert_cmpint (lease_begin_ms (&r, "a/2", GAP_MS), ==, 0);
  r.released = true;
  r.order_until_ms = 900;
  g_assert_true (lease_is_free (&r, "b/1", &c, 0));
  g_assert_cmpint (lease_begin_ms (&r, "b/1", GAP_MS), ==, 3900);
  r.begin_ms = 4000;
  g_assert_cmpint (lease_begin_ms (&r, "a/2", GAP_MS), ==, 4000);
  r.order_until_ms = 0;
  g_assert_cmpint (lease_begin_ms (&r, "b/1", GAP_MS), ==, 0);
}

/* Guards against fencing tokens that fall, and against a holder that begins
   while an earlier one may still order, after a restore of the store. */
static void
test_eras (void)
{
  struct lease_row r = row ("a/1", 5000);
  struct lease_clock c = { 1000 * MS, 1010 * MS, 50000 };

  g_assert_cmpint (lease_fence (0, 7), ==, 7);
  g_assert_cmpint (lease_fence (1, 7), ==, 7);
  g_assert_cmpint (lease_fence (2, 1), >, lease_fence (1, 1 << 30));
  g_assert_cmpint (lease_fence (3, 1), >, lease_fence (2, 1 << 30));
  g_assert_true (lease_is_current (NULL, 0));
  g_assert_false (lease_is_current (NULL, 1));
  g_assert_true (lease_is_current (&r, 0));
  g_assert_false (lease_is_current (&r, 1));
  r.era = 1;
  g_assert_true (lease_is_current (&r, 1));
  g_assert_false (lease_is_current (&r, 2));
  /* The era was seen before the clock was read, and after it. */
  g_assert_cmpint (lease_earlier_orders_end_ms (NULL, &c, 500 * MS), >=,
                   49500 + LEASE_WINDOW_MAX_MS);
  g_assert_cmpint (lease_earlier_orders_end_ms (&r, &c, 2000 * MS), >=,
                   51000 + LEASE_WINDOW_MAX_MS);
  r.order_until_ms = 60000;
  g_assert_cmpint (lease_earlier_orders_end_ms (&r, &c, 500 * MS), ==, 60000);
}

/* --- orders ---------------------------------------------------------- */

/* A simulated store row and endpoint. */
struct stage
{
  struct loop *loop;       /* loop for timers */
  struct fleet fleet;      /* the VM's view of the endpoints */
  struct orders *orders;   /* under test */
  struct lease_row row;    /* in the store */
  int64_t row_version;     /* 0: no row */
  int64_t era;             /* of the store; 0: it gives none */
  bool lose_write;         /* the next write is done, but its reply is lost */
  int64_t slow_us;         /* delay of replies to writes */
  struct loop_timer late;  /* timer of a delayed reply */
  lease_done late_done;    /* callback of the delayed reply */
  void *late_arg;          /* passed to it */
  bool ignore_queries;     /* the endpoint does not answer state queries */
  bool window_shortened;   /* a write shortened the window for orders */
  int writes;              /* writes of the row so far */
  bool lose_orders;        /* orders are lost and get no answer */
  int64_t clock_offset_ms; /* how far the store's clock is ahead */
  int64_t seq;             /* orders that the endpoint has taken */
  int64_t started_ms; /* start of its incarnation, as its reports give it */
  int64_t version;    /* version of its weights */
  bool busy;          /* it carries out an order */
  bool hold_busy;     /* it stays busy until the test clears busy */
  bool each_busy; /* each endpoint that took an order stays busy for the rest
                     of the test */
  GHashTable *loading; /* ids of the endpoints that are busy with each_busy */
  bool unreached;      /* this VM reaches no endpoint */
  int queries;         /* state queries received */
  int orders_sent;     /* orders that were sent */
  int64_t last_seq;    /* precondition of the last order */
  int64_t last_fence;  /* fencing token of the last order */
  int64_t later_us;    /* time that is_later waits for */
  struct notice in_report; /* notices in the endpoint's state reports */
  struct notice in_order;  /* notices in its answers to orders */
};

static int64_t
store_ms (const struct stage *st)
{
  return loop_now_us () / MS + st->clock_offset_ms;
}

static void
reply_row (struct stage *st, enum lease_code code, lease_done done, void *arg)
{
  struct lease_reply r = { .code = code };

  r.exists = st->row_version > 0;
  r.row = st->row;
  r.version = st->row_version;
  r.era = st->era;
  r.store_ms = store_ms (st);
  done (arg, &r);
}

static void
read_lease (void *ctx, lease_done done, void *arg)
{
  reply_row (ctx, LEASE_OK, done, arg);
}

static void
reply_late (void *arg, int64_t now_us)
{
  struct stage *st = arg;

  (void)now_us;
  reply_row (st, LEASE_OK, st->late_done, st->late_arg);
}

static void
write_lease (void *ctx, const struct lease_row *r, int64_t expected,
             lease_done done, void *arg)
{
  struct stage *st = ctx;

  if (expected != st->row_version)
    {
      reply_row (st, LEASE_CONFLICT, done, arg);
      return;
    }
  st->window_shortened
      |= !r->released && r->order_until_ms < st->row.order_until_ms;
  st->writes++;
  st->row = *r;
  st->row_version += 7;
  if (st->lose_write)
    {
      struct lease_reply lost = { .code = LEASE_UNKNOWN };

      st->lose_write = false;
      done (arg, &lost);
    }
  else if (st->slow_us > 0)
    {
      st->late.fire = reply_late;
      st->late.arg = st;
      st->late_done = done;
      st->late_arg = arg;
      loop_arm (st->loop, &st->late, loop_now_us () + st->slow_us);
    }
  else
    reply_row (st, LEASE_OK, done, arg);
}

static void
query_state (void *ctx, const struct fleet_endpoint *e, state_done done,
             void *arg)
{
  struct stage *st = ctx;
  struct endpoint_state s = { .reached = true };

  st->queries++;
  if (st->ignore_queries)
    return;
  s.busy = st->busy;
  s.started_ms = st->started_ms;
  s.seq = st->seq;
  if (st->each_busy)
    {
      s.busy = g_hash_table_contains (st->loading, e->listing.id);
      s.seq = s.busy;
    }
  s.version = st->version;
  s.notice = st->in_report;
  done (arg, &s);
}

static void
send_order (void *ctx, const struct fleet_endpoint *e,
            const struct load_order *o, bool (*may_send) (void *arg),
            order_done done, void *arg)
{
  struct stage *st = ctx;

  if (!may_send (arg))
    {
      done (arg, ORDER_REJECTED, NULL);
      return;
    }
  /* A VM that takes over now must see in the row how long to wait. */
  g_assert_cmpint (st->row.order_until_ms, >, store_ms (st));
  st->orders_sent++;
  st->last_seq = o->seq;
  st->last_fence = o->fence;
  if (!st->lose_orders && st->each_busy)
    {
      st->seq++;
      g_hash_table_add (st->loading, g_strdup (e->listing.id));
    }
  else if (!st->lose_orders)
    {
      st->seq++;
      st->busy = st->hold_busy;
      st->version = st->hold_busy ? st->version : o->version;
    }
  done (arg, st->lose_orders ? ORDER_UNKNOWN : ORDER_ACCEPTED, &st->in_order);
}

static bool
can_reach (void *arg, const char *service)
{
  struct stage *st = arg;

  (void)service;
  return !st->unreached;
}

static struct stage *
stage_new (void)
{
  struct stage *st = g_new0 (struct stage, 1);
  struct orders_opts o
      = { .vm = "vm", .holder_gap_us = GAP_MS * MS, .seed = 3 };
  struct fleet_listing l = { .version = 1, .slots = 4 };

  st->loop = loop_new ();
  st->loading = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  st->version = 1;
  st->clock_offset_ms = 100000;
  fleet_init (&st->fleet);
  g_strlcpy (l.id, "e", sizeof l.id);
  g_strlcpy (l.model, "m", sizeof l.model);
  fleet_apply_listing (&st->fleet, &l, 1);
  o.loop = st->loop;
  o.fleet = &st->fleet;
  o.can_reach = can_reach;
  o.arg = st;
  o.ops.read_lease = read_lease;
  o.ops.write_lease = write_lease;
  o.ops.query_state = query_state;
  o.ops.send_order = send_order;
  o.ops.ctx = st;
  st->orders = orders_new (&o);
  return st;
}

static void
stage_free (struct stage *st)
{
  orders_free (st->orders);
  fleet_clear (&st->fleet);
  loop_free (st->loop);
  g_hash_table_destroy (st->loading);
  g_free (st);
}

static void
stop_loop (void *arg, int64_t now_us)
{
  (void)now_us;
  loop_stop (arg);
}

/* Runs the loop until DONE returns true, for at most 20 s. */
struct wait
{
  struct stage *st;                      /* the test's stage */
  bool (*done) (const struct stage *st); /* condition that ends the wait */
  struct loop_timer timer;               /* next check of the condition */
  int64_t until_us;                      /* end of the wait */
};

static void
check_again (void *arg, int64_t now_us)
{
  struct wait *w = arg;

  if (w->done (w->st) || now_us > w->until_us)
    stop_loop (w->st->loop, now_us);
  else
    loop_arm (w->st->loop, &w->timer, now_us + 10 * MS);
}

static void
wait_until (struct stage *st, bool (*done) (const struct stage *st))
{
  struct wait w = { .st = st, .done = done };

  w.until_us = loop_now_us () + 20 * CQ_US_PER_S;
  w.timer.fire = check_again;
  w.timer.arg = &w;
  loop_arm (st->loop, &w.timer, loop_now_us ());
  loop_run (st->loop);
  g_assert_true (done (st));
}

static bool
is_released (const struct stage *st)
{
  return st->row.released && st->row_version > 0;
}

static void
announce_version (struct stage *st)
{
  int64_t now = loop_now_us ();

  fleet_apply_wanted (&st->fleet, "m", 2, now, now);
  orders_check (st->orders, now);
}

/* A version is announced: the lease is acquired, one order is given, its
   effect is read back, and the lease is released.  The reply to the first
   write is lost, and a read shows that it was done. */
static void
test_orders (void)
{
  struct stage *st = stage_new ();

  st->lose_write = true;
  announce_version (st);
  wait_until (st, is_released);
  g_assert_cmpint (st->orders_sent, ==, 1);
  g_assert_cmpint (st->last_seq, ==, 0);
  g_assert_cmpint (st->last_fence, >, 0);
  g_assert_cmpint (st->version, ==, 2);
  g_assert_cmpint (st->row.order_until_ms, >, 0);
  g_assert_cmpint (st->row.order_until_ms, <=, store_ms (st) + 1);
  stage_free (st);
}

static bool
was_sent (const struct stage *st)
{
  return st->orders_sent >= 1;
}

static bool
sent_twice (const struct stage *st)
{
  return st->orders_sent >= 2;
}

/*
 * Guards against loading twice: an order without an answer may be carried out
 * seconds later.  If it were repeated under a new number, the endpoint would
 * load again and drop what it has cached since.  The repeated order has the
 * same number, so only one of the two counts, and it need not wait until the
 * first can no longer arrive.
 */
static void
test_order_unknown (void)
{
  struct stage *st = stage_new ();
  int64_t sent;

  st->lose_orders = true;
  announce_version (st);
  wait_until (st, was_sent);
  sent = loop_now_us ();
  wait_until (st, sent_twice);
  g_assert_cmpint (st->last_seq, ==, 0);
  /* Only after a report can show the first order, and soon after that. */
  g_assert_cmpint (loop_now_us () - sent, >=, 250 * MS);
  g_assert_cmpint (loop_now_us () - sent, <, 1500 * MS);
  /* The late order is carried out now, so nothing more is sent. */
  st->seq = 1;
  st->version = 2;
  wait_until (st, is_released);
  g_assert_cmpint (st->orders_sent, ==, 2);
  stage_free (st);
}

static struct fleet_endpoint *
endpoint_of (const struct stage *st)
{
  return APR_RING_FIRST (&st->fleet.endpoints);
}

static bool
was_sent_again (const struct stage *st)
{
  return st->orders_sent >= 2 && st->version == 2;
}

/*
 * The endpoint restarts while it loads, and its own report shows that before
 * its entry does.  Its count of orders starts from zero: with the old count
 * every order would be rejected, and the endpoint would keep old weights.
 */
static void
test_restart_while_loading (void)
{
  struct stage *st = stage_new ();

  st->started_ms = 1000;
  endpoint_of (st)->listing.started_ms = 1000;
  st->hold_busy = true;
  announce_version (st);
  wait_until (st, was_sent);
  g_assert_cmpint (st->seq, ==, 1);
  st->hold_busy = false;
  st->busy = false;
  st->seq = 0;
  st->started_ms = 2000;
  wait_until (st, was_sent_again);
  g_assert_cmpint (st->last_seq, ==, 0);
  g_assert_cmpint (endpoint_of (st)->listing.started_ms, ==, 2000);
  wait_until (st, is_released);
  stage_free (st);
}

/*
 * A delayed report of the previous incarnation says that the endpoint has
 * taken three orders and has the newest weights.  If it were used, the
 * restarted endpoint would keep old weights.
 */
static void
test_report_of_previous_incarnation (void)
{
  struct stage *st = stage_new ();

  st->started_ms = 1000;
  endpoint_of (st)->listing.started_ms = 2000;
  st->seq = 3;
  st->version = 2;
  announce_version (st);
  /* Long enough for several state queries. */
  loop_arm (st->loop, &st->late, loop_now_us () + 1200 * MS);
  st->late.fire = stop_loop;
  st->late.arg = st->loop;
  loop_run (st->loop);
  g_assert_cmpint (st->queries, >, 1);
  g_assert_cmpint (st->orders_sent, ==, 0);
  g_assert_cmpint (endpoint_of (st)->version, ==, 1);
  st->started_ms = 2000;
  st->seq = 0;
  st->version = 1;
  wait_until (st, is_released);
  g_assert_cmpint (st->orders_sent, ==, 1);
  g_assert_cmpint (st->last_seq, ==, 0);
  stage_free (st);
}

/* Guards against endpoints that never get an order because their entries
   contain a start time and their reports do not. */
static void
test_report_without_start (void)
{
  struct stage *st = stage_new ();

  st->started_ms = 0;
  endpoint_of (st)->listing.started_ms = 2000;
  announce_version (st);
  wait_until (st, is_released);
  g_assert_cmpint (st->orders_sent, ==, 1);
  g_assert_cmpint (endpoint_of (st)->version, ==, 2);
  stage_free (st);
}

/*
 * After the change, an order to the previous incarnation is carried out, and
 * the endpoint returns to older weights, so requests are refused there.  These
 * refusals make the version uncertain, so the endpoint is queried and ordered
 * again.
 */
static void
test_weights_fell (void)
{
  struct stage *st = stage_new ();

  announce_version (st);
  wait_until (st, is_released);
  g_assert_cmpint (endpoint_of (st)->version, ==, 2);
  st->version = 1;
  /* Older than a report may be. */
  endpoint_of (st)->version_us = loop_now_us () - 2 * CQ_US_PER_S;
  fleet_doubt_version (endpoint_of (st));
  orders_check (st->orders, loop_now_us ());
  wait_until (st, was_sent_again);
  wait_until (st, is_released);
  g_assert_false (endpoint_of (st)->version_doubted);
  stage_free (st);
}

static bool
has_lease (const struct stage *st)
{
  return orders_has_lease (st->orders);
}

/* Guards against orders of two holders after a restore that lost the row: this
   VM, which does not know the last holder, waits for the end of its orders and
   the gap, and its fencing token is higher. */
static void
test_row_lost (void)
{
  struct stage *st = stage_new ();
  int64_t restored_us = loop_now_us ();

  st->era = 2;
  announce_version (st);
  wait_until (st, was_sent);
  g_assert_cmpint (loop_now_us () - restored_us, >=,
                   (LEASE_WINDOW_MAX_MS + GAP_MS) * MS);
  g_assert_cmpint (st->last_fence, >, INT64_C (1) << 32);
  g_assert_cmpint (st->row.era, ==, 2);
  stage_free (st);
}

/* Guards against a release that hides the orders of earlier holders from its
   successor, by a holder that may not begin yet. */
static void
test_release_early (void)
{
  struct stage *st = stage_new ();

  st->era = 2;
  announce_version (st);
  wait_until (st, has_lease);
  orders_stop (st->orders);
  g_assert_true (st->row.released);
  g_assert_cmpint (st->row.order_until_ms, >,
                   store_ms (st) + LEASE_WINDOW_MAX_MS / 2);
  stage_free (st);
}

/* An announcement that this VM sees only when it starts, so it cannot know
   when it was made. */
static void
announce_unseen (struct stage *st)
{
  int64_t now = loop_now_us ();

  fleet_apply_wanted (&st->fleet, "m", 2, 0, now);
  orders_check (st->orders, now);
}

/* Earliest time at which version 2 may have been announced. */
static int64_t
earliest_announcement_us (const struct stage *st)
{
  return fleet_earliest_announcement_us (&st->fleet, "m", 2);
}

/* Whether outdated weights would be used now if they may be for LIMIT_US. */
static bool
accepts_outdated (const struct stage *st, int64_t limit_us)
{
  return !fleet_is_outdated_for (&st->fleet,
                                 APR_RING_FIRST (&st->fleet.endpoints),
                                 limit_us, loop_now_us ());
}

/*
 * Guards against the use of weights that were outdated long ago, on a VM that
 * started since and sees the announcement only then.  The row contains its
 * time, and the VM reads it before it uses the old weights, although another
 * VM holds the lease.
 */
static void
test_announcement_recorded (void)
{
  struct stage *st = stage_new ();
  struct lease_announcement n = { "m", 2, store_ms (st) - 10000 };

  st->row = row ("other/1", store_ms (st) + 60000);
  st->row_version = 5;
  lease_add_announcement (&st->row, &n);
  fleet_apply_wanted (&st->fleet, "m", 2, 0, loop_now_us ());
  g_assert_false (accepts_outdated (st, INT64_MAX));
  orders_check (st->orders, loop_now_us ());
  g_assert_true (accepts_outdated (st, 12 * CQ_US_PER_S));
  g_assert_false (accepts_outdated (st, 9900 * MS));
  /* That was a read only, no attempt to acquire the lease. */
  g_assert_cmpstr (st->row.holder, ==, "other/1");
  stage_free (st);
}

static bool
accepts_four_seconds_old (const struct stage *st)
{
  return accepts_outdated (st, 4 * CQ_US_PER_S);
}

/*
 * A VM starts just after an announcement, before another VM has written it to
 * the row, or after all VMs were down.  Its time is unknown: old weights are
 * not used, and the row is read again until it contains the time.
 */
static void
test_announcement_unrecorded (void)
{
  struct stage *st = stage_new ();
  struct lease_announcement n = { "m", 2, store_ms (st) - 1000 };
  int64_t began = loop_now_us ();

  st->row = row ("other/1", store_ms (st) + 60000);
  st->row_version = 5;
  announce_unseen (st);
  g_assert_false (accepts_outdated (st, INT64_MAX));
  lease_add_announcement (&st->row, &n);
  st->row_version++;
  wait_until (st, accepts_four_seconds_old);
  g_assert_cmpint (loop_now_us () - began, <, 900 * MS);
  g_assert_false (accepts_outdated (st, 1000 * MS));
  stage_free (st);
}

/* All VMs may read the row at the same moment because of this uncertainty.
   Such a read does not acquire the lease, for which each VM waits a random
   delay. */
static void
test_uncertain_read_only (void)
{
  struct stage *st = stage_new ();

  st->row = row ("other/1", store_ms (st) - 1);
  st->row.released = true;
  st->row_version = 5;
  announce_unseen (st);
  g_assert_cmpstr (st->row.holder, ==, "other/1");
  wait_until (st, was_sent);
  g_assert_cmpint (st->orders_sent, ==, 1);
  stage_free (st);
}

/* A VM that saw an announcement when it was made relies on that and does not
   read the row. */
static void
test_announcement_seen (void)
{
  struct stage *st = stage_new ();
  int64_t now = loop_now_us ();

  st->row = row ("other/1", store_ms (st) + 60000);
  st->row_version = 5;
  fleet_apply_wanted (&st->fleet, "m", 2, now - 1000 * MS, now);
  orders_check (st->orders, now);
  g_assert_cmpint (earliest_announcement_us (st), ==, now - 1000 * MS);
  stage_free (st);
}

/* The VM that acquires the lease adds the announcements that it knows to the
   row; those of other VMs stay. */
static void
test_announcement_written (void)
{
  struct stage *st = stage_new ();
  struct lease_announcement other = { "n", 7, 1234 };
  int64_t now = loop_now_us ();

  st->row = row ("other/1", store_ms (st) - 1);
  st->row_version = 5;
  lease_add_announcement (&st->row, &other);
  fleet_apply_wanted (&st->fleet, "m", 2, now - 700 * MS, now);
  orders_check (st->orders, now);
  wait_until (st, is_released);
  g_assert_cmpint (st->row.nannouncements, ==, 2);
  g_assert_cmpstr (st->row.announcements[0].model, ==, "n");
  g_assert_cmpint (st->row.announcements[0].since_ms, ==, 1234);
  g_assert_cmpint (st->row.announcements[1].version, ==, 2);
  g_assert_cmpint (st->row.announcements[1].since_ms, >=,
                   now / MS - 700 + st->clock_offset_ms - 2);
  g_assert_cmpint (st->row.announcements[1].since_ms, <=,
                   now / MS - 700 + st->clock_offset_ms);
  stage_free (st);
}

static bool
all_were_ordered (const struct stage *st)
{
  const struct fleet_endpoint *e;

  APR_RING_FOREACH (e, &st->fleet.endpoints, fleet_endpoint, link)
  {
    if (e->reload_ordered_us == 0)
      return false;
  }
  return true;
}

/*
 * Endpoints carry out orders seconds after they got them and answer none.  If
 * each counted against the limit of concurrent loads for as long, nine of
 * them, two at a time, would keep old weights for half a minute, and callers
 * would get no answers once outdated weights are no longer accepted.  An order
 * that shows no effect does not count.
 */
static void
test_unanswered_not_counted (void)
{
  struct stage *st = stage_new ();
  struct fleet_listing l = { .version = 1, .slots = 4 };
  int64_t began = loop_now_us ();
  int i;

  for (i = 0; i < 8; i++)
    {
      g_snprintf (l.id, sizeof l.id, "e%d", i);
      g_strlcpy (l.model, "m", sizeof l.model);
      fleet_apply_listing (&st->fleet, &l, 1);
    }
  st->lose_orders = true;
  announce_version (st);
  wait_until (st, all_were_ordered);
  g_assert_cmpint (loop_now_us () - began, <, 4000 * MS);
  stage_free (st);
}

static bool
is_row_own (const struct stage *st)
{
  return strncmp (st->row.holder, "vm/", 3) == 0;
}

/*
 * Versions 2 and 3 are announced eight seconds apart.  A VM that starts then,
 * or had no connection meanwhile, finds only the newest in the operators'
 * table.  An endpoint with version 1 has been outdated since the announcement
 * of 2; counted from that of 3, callers would get answers by version 1 for
 * eight seconds more.
 */
static void
test_announcement_between_unseen (void)
{
  struct stage *st = stage_new ();
  struct lease_announcement two = { "m", 2, store_ms (st) - 10000 };
  struct lease_announcement three = { "m", 3, store_ms (st) - 2000 };
  int64_t now = loop_now_us ();

  st->row = row ("other/1", store_ms (st) + 60000);
  st->row_version = 5;
  lease_add_announcement (&st->row, &two);
  lease_add_announcement (&st->row, &three);
  fleet_apply_wanted (&st->fleet, "m", 3, 0, now);
  orders_check (st->orders, now);
  g_assert_false (accepts_outdated (st, 9 * CQ_US_PER_S));
  stage_free (st);
}

/* The same on a VM that had no connection since before both.  What it knew,
   that nothing was announced eleven seconds ago, is a correct bound before it
   reads the row. */
static void
test_announcement_between_disconnected (void)
{
  struct stage *st = stage_new ();
  struct lease_announcement two = { "m", 2, store_ms (st) - 10000 };
  struct lease_announcement three = { "m", 3, store_ms (st) - 2000 };
  int64_t now = loop_now_us ();

  st->row = row ("other/1", store_ms (st) + 60000);
  st->row_version = 5;
  lease_add_announcement (&st->row, &two);
  lease_add_announcement (&st->row, &three);
  fleet_apply_wanted (&st->fleet, "m", 3, now - 11 * CQ_US_PER_S, now);
  g_assert_false (accepts_outdated (st, 9 * CQ_US_PER_S));
  orders_check (st->orders, now);
  g_assert_false (accepts_outdated (st, 9 * CQ_US_PER_S));
  stage_free (st);
}

/*
 * LEASE_ANNOUNCEMENTS_MAX versions of another model were announced, and now
 * one of this model is.  The row is full of announcements of the other model;
 * the one that matters must be among its entries, or a VM that starts ten
 * seconds later takes it for new.
 */
static void
test_announcement_not_displaced (void)
{
  struct stage *st = stage_new ();
  int64_t now = loop_now_us ();
  bool found = false;
  int i;

  st->row = row ("other/1", store_ms (st) - 1);
  st->row_version = 5;
  fleet_apply_wanted (&st->fleet, "m", 1, now - 90 * CQ_US_PER_S, now);
  for (i = 1; i <= LEASE_ANNOUNCEMENTS_MAX; i++)
    fleet_apply_wanted (&st->fleet, "n", i, now - (80 - i) * CQ_US_PER_S, now);
  fleet_apply_wanted (&st->fleet, "m", 2, now - 100 * MS, now);
  orders_check (st->orders, now);
  wait_until (st, is_released);
  for (i = 0; i < st->row.nannouncements; i++)
    found |= strcmp (st->row.announcements[i].model, "m") == 0
             && st->row.announcements[i].version == 2;
  g_assert_true (found);
  stage_free (st);
}

/*
 * A VM saw an announcement ten seconds ago, when it was made.  All other VMs
 * were killed, or one of them took it for new, and the row dates it two
 * seconds ago.  It cannot have been made after this VM saw it.
 */
static void
test_announcement_not_after_seen (void)
{
  struct stage *st = stage_new ();
  struct lease_announcement late = { "m", 2, store_ms (st) - 2000 };
  int64_t now = loop_now_us ();

  st->row = row ("other/1", store_ms (st) - 1);
  st->row_version = 5;
  lease_add_announcement (&st->row, &late);
  fleet_apply_wanted (&st->fleet, "m", 2, now - 10100 * MS, now - 10000 * MS);
  orders_check (st->orders, now);
  wait_until (st, is_released);
  g_assert_cmpint (earliest_announcement_us (st), <=, now - 10000 * MS);
  /* This VM does not write the wrong time back. */
  g_assert_cmpint (st->row.announcements[0].since_ms, <=,
                   store_ms (st) - 10000);
  stage_free (st);
}

/*
 * A VM started twenty seconds ago and saw then that newer weights had been
 * announced; all endpoints had them, so it did not read the row.  Now an
 * endpoint starts with the old weights.  Nobody recorded the announcement, but
 * it was made before this VM saw it, so the time for which outdated weights
 * are accepted is over.
 */
static void
test_announcement_seen_long_ago (void)
{
  struct stage *st = stage_new ();
  int64_t now = loop_now_us ();

  st->row = row ("other/1", store_ms (st) + 60000);
  st->row_version = 5;
  fleet_apply_wanted (&st->fleet, "m", 2, 0, now - 20 * CQ_US_PER_S);
  orders_check (st->orders, now);
  g_assert_false (accepts_outdated (st, 9 * CQ_US_PER_S));
  stage_free (st);
}

/*
 * All endpoints of a model were down when newer weights were announced, so no
 * VM tried to acquire the lease and none recorded it.  One comes back with old
 * weights just when this VM has started, and this VM reads the row before a VM
 * that saw the announcement has written it.  When it reads that entry later,
 * the known time must take precedence over its estimate.
 */
static void
test_announcement_recorded_later (void)
{
  struct stage *st = stage_new ();
  struct lease_announcement known = { "m", 2, store_ms (st) - 10000 };
  int64_t now = loop_now_us ();

  st->row = row ("other/1", store_ms (st) - 1);
  st->row.released = true;
  st->row_version = 5;
  announce_unseen (st);
  /* The VM that saw the announcement has written it now, and gives no orders.
   */
  st->row_version = 6;
  lease_add_announcement (&st->row, &known);
  st->hold_busy = true;
  wait_until (st, is_row_own);
  g_assert_cmpint (loop_now_us () - now, <, 2 * CQ_US_PER_S);
  g_assert_false (accepts_outdated (st, 9 * CQ_US_PER_S));
  stage_free (st);
}

/* --- lost orders, slow stores, several holders ----------------------- */

static int
count_accepted (const struct stage *st)
{
  return (int)st->seq;
}

static void
answer_again (void *arg, int64_t now_us)
{
  struct stage *st = arg;

  (void)now_us;
  st->lose_orders = false;
}

/*
 * For four seconds no endpoint gets orders, then all do, and the lost orders
 * are sent again.  If all endpoints loaded at once, callers would get no
 * answers from any of them.  Two load at a time, and at most four once
 * outdated weights are no longer accepted.
 */
static void
test_lost_orders_keep_limit (void)
{
  struct stage *st = stage_new ();
  struct fleet_listing l = { .version = 1, .slots = 4 };
  struct loop_timer back = { .fire = answer_again, .arg = st };
  struct loop_timer over = { .fire = stop_loop, .arg = st->loop };
  int64_t began = loop_now_us ();
  int i;

  for (i = 0; i < 8; i++)
    {
      g_snprintf (l.id, sizeof l.id, "e%d", i);
      g_strlcpy (l.model, "m", sizeof l.model);
      fleet_apply_listing (&st->fleet, &l, 1);
    }
  st->lose_orders = true;
  st->each_busy = true;
  announce_version (st);
  loop_arm (st->loop, &back, began + 4 * CQ_US_PER_S);
  loop_arm (st->loop, &over, began + 8 * CQ_US_PER_S);
  loop_run (st->loop);
  /* A load takes longer than this test. */
  g_assert_cmpint (count_accepted (st), >=, 1);
  g_assert_cmpint (count_accepted (st), <=, 4);
  stage_free (st);
}

static bool
has_no_pending_calls (const struct stage *st)
{
  return orders_pending_calls (st->orders) == 0;
}

/*
 * The store answers after 0.4 s, which is the length of the window for orders.
 * If the window did not account for that, it would be over when the answer
 * comes, and no endpoint would ever change its weights.
 */
static void
test_slow_store (void)
{
  struct stage *st = stage_new ();

  st->slow_us = 400 * MS;
  announce_version (st);
  wait_until (st, is_released);
  g_assert_cmpint (st->orders_sent, ==, 1);
  wait_until (st, has_no_pending_calls);
  stage_free (st);
}

static bool
wrote_three (const struct stage *st)
{
  return st->writes >= 3;
}

static bool
wrote_five (const struct stage *st)
{
  return st->writes >= 5;
}

/*
 * The store is slow, so the window for orders is long; then it is fast, and
 * the next window would end sooner.  Until that write is acknowledged, the
 * holder goes by the earlier window.  If its answer were lost, the holder
 * would order for longer than the row says, and its successor, which waits by
 * the row, would order too soon.
 */
static void
test_window_not_shortened (void)
{
  struct stage *st = stage_new ();

  st->ignore_queries = true;
  st->slow_us = 400 * MS;
  announce_version (st);
  wait_until (st, wrote_three);
  st->slow_us = 0;
  wait_until (st, wrote_five);
  /* Not an assertion, which would also end the tests after this one. */
  if (st->window_shortened)
    g_test_fail ();
  stage_free (st);
}

/*
 * Another VM holds the lease and is frozen: it gives no orders and does not
 * renew the lease.  Its successor takes over when the lease has expired, and
 * gives orders only after the gap, when no order of the other VM can still be
 * in flight.
 */
static void
test_successor_waits (void)
{
  struct stage *st = stage_new ();
  int64_t expires = store_ms (st) + 300;

  st->row = row ("other/1", expires);
  st->row.order_until_ms = expires;
  st->row_version = 5;
  announce_version (st);
  wait_until (st, is_row_own);
  g_assert_cmpint (store_ms (st), >=, expires);
  g_assert_cmpint (st->orders_sent, ==, 0);
  wait_until (st, is_released);
  g_assert_cmpint (st->orders_sent, ==, 1);
  g_assert_cmpint (st->row.order_until_ms, >=, expires + GAP_MS);
  stage_free (st);
}

static bool
is_busy (const struct stage *st)
{
  return st->busy;
}

static bool
has_newest (const struct stage *st)
{
  return st->version == 3;
}

/*
 * Version 3 is announced while an endpoint loads 2.  When that is done, it is
 * ordered again at once.  With the delay that applies after an order without
 * an answer, it would keep outdated weights for two and a half seconds more.
 */
static void
test_announced_while_loading (void)
{
  struct stage *st = stage_new ();

  st->hold_busy = true;
  announce_version (st);
  wait_until (st, is_busy);
  fleet_apply_wanted (&st->fleet, "m", 3, loop_now_us (), loop_now_us ());
  st->busy = false;
  st->version = 2;
  st->hold_busy = false;
  st->queries = 0;
  wait_until (st, has_newest);
  /* One query to see that it is done, one before the order. */
  g_assert_cmpint (st->queries, <=, 3);
  stage_free (st);
}

/*
 * The holder lost its connection; its last order was two seconds ago, and its
 * window is over.  Its lease has to expire, but the gap counts from that
 * order, because an endpoint that is idle for longer reduces the capacity for
 * callers.
 */
static void
test_successor_waits_for_orders (void)
{
  struct stage *st = stage_new ();
  int64_t now = store_ms (st);

  st->row = row ("other/1", now + 300);
  st->row.order_until_ms = now - 2000;
  st->row_version = 5;
  announce_version (st);
  wait_until (st, is_released);
  g_assert_cmpint (st->orders_sent, ==, 1);
  g_assert_cmpint (st->row.order_until_ms, >=, now - 2000 + GAP_MS);
  g_assert_cmpint (st->row.begin_ms, ==, now - 2000 + GAP_MS);
  stage_free (st);
}

/* A planned stop releases the lease at once, so that the next VM need not wait
   until it expires. */
static void
test_stop_releases (void)
{
  struct stage *st = stage_new ();

  st->busy = true;
  announce_version (st);
  wait_until (st, is_row_own);
  orders_stop (st->orders);
  g_assert_true (st->row.released);
  stage_free (st);
}

static void
stop_at (void *arg, int64_t now_us)
{
  struct stage *st = arg;

  (void)now_us;
  loop_stop (st->loop);
}

static void
run_for (struct stage *st, int64_t us)
{
  struct loop_timer t = { .fire = stop_at, .arg = st };

  loop_arm (st->loop, &t, loop_now_us () + us);
  loop_run (st->loop);
}

/* Guards against a VM that reaches no endpoint and keeps the lease, so that no
   VM gives orders. */
static void
test_unreached_releases (void)
{
  struct stage *st = stage_new ();
  int writes;

  st->hold_busy = true;
  announce_version (st);
  wait_until (st, is_busy);
  st->unreached = true;
  run_for (st, 1200 * MS);
  g_assert_true (st->row.released);
  g_assert_false (orders_has_lease (st->orders));
  g_assert_cmpint (st->row.order_until_ms, <=, store_ms (st));
  g_assert_cmpint (st->row.order_until_ms, >, 0);
  writes = st->writes;
  run_for (st, 3000 * MS);
  g_assert_cmpint (st->writes, ==, writes);
  stage_free (st);
}

/* Guards against a VM that reaches no endpoint and takes the lease. */
static void
test_unreached_not_taken (void)
{
  struct stage *st = stage_new ();

  st->unreached = true;
  announce_version (st);
  run_for (st, 3000 * MS);
  g_assert_cmpint (st->writes, ==, 0);
  st->unreached = false;
  wait_until (st, is_released);
  g_assert_cmpint (st->version, ==, 2);
  stage_free (st);
}

/* Guards against a lease that changes hands with every probe of endpoints that
   are reached off and on. */
static void
test_unreached_off_and_on (void)
{
  struct stage *st = stage_new ();
  int writes, i;

  st->hold_busy = true;
  announce_version (st);
  wait_until (st, is_busy);
  for (i = 0; i < 20; i++)
    {
      st->unreached = !st->unreached;
      run_for (st, 150 * MS);
      g_assert_true (orders_has_lease (st->orders));
    }
  st->unreached = true;
  run_for (st, 1200 * MS);
  g_assert_true (st->row.released);
  writes = st->writes;
  for (i = 0; i < 20; i++)
    {
      st->unreached = !st->unreached;
      run_for (st, 150 * MS);
    }
  g_assert_cmpint (st->writes, ==, writes);
  g_assert_false (orders_has_lease (st->orders));
  stage_free (st);
}

/*
 * Version 2 is announced, ten seconds later version 3, and a VM starts then.
 * It sees only 3, since the operator's row holds the newest one.  Its endpoint
 * has version 1, outdated since the announcement of 2, which the lease's row
 * contains.  Counted from the announcement of 3, callers would get answers by
 * weights that have been outdated for 19 s.
 */
static void
test_older_announcement (void)
{
  struct stage *st = stage_new ();
  int64_t now = loop_now_us ();
  struct lease_announcement two = { .model = "m", .version = 2 };
  struct lease_announcement three = { .model = "m", .version = 3 };
  const struct fleet_endpoint *e = APR_RING_FIRST (&st->fleet.endpoints);

  two.since_ms = store_ms (st) - 12000;
  three.since_ms = store_ms (st) - 2000;
  st->row = row ("other/1", store_ms (st) + 1600);
  lease_add_announcement (&st->row, &two);
  lease_add_announcement (&st->row, &three);
  st->row_version = 7;
  fleet_apply_wanted (&st->fleet, "m", 3, 0, now);
  orders_check (st->orders, now);
  g_assert_true (
      fleet_is_outdated_for (&st->fleet, e, 9 * CQ_US_PER_S, loop_now_us ()));
  /* An endpoint with version 2 is outdated since 3 was announced. */
  fleet_apply_version (APR_RING_FIRST (&st->fleet.endpoints), 2, FLEET_NEVER,
                       loop_now_us ());
  g_assert_false (
      fleet_is_outdated_for (&st->fleet, e, 9 * CQ_US_PER_S, loop_now_us ()));
  stage_free (st);
}

static bool
is_later (const struct stage *st)
{
  return loop_now_us () >= st->later_us;
}

/*
 * A version is announced while no endpoint is listed, because all of the
 * service's have crashed.  No VM has an order to give, so none writes the row.
 * Some seconds later a VM starts, and the endpoints come back with their old
 * weights.  It must not date the announcement later than it was made.
 */
static void
test_announced_without_endpoints (void)
{
  struct stage *running = stage_new ();
  struct stage *started = stage_new ();
  int64_t announced_us = loop_now_us ();
  int64_t now;

  APR_RING_FIRST (&running->fleet.endpoints)->draining = true;
  announce_version (running);
  running->later_us = announced_us + 3200 * MS;
  wait_until (running, is_later);
  started->row = running->row;
  started->row_version = running->row_version;
  fleet_apply_wanted (&started->fleet, "m", 2, 0, loop_now_us ());
  orders_check (started->orders, loop_now_us ());
  now = loop_now_us ();
  g_assert_true (fleet_is_outdated_for (
      &started->fleet, APR_RING_FIRST (&started->fleet.endpoints),
      now - announced_us, now));
  stage_free (started);
  stage_free (running);
}

/* Guards against notices that are read only from answers to requests. */
static void
test_notices (void)
{
  struct stage *st = stage_new ();
  const struct fleet_endpoint *e = g_hash_table_lookup (st->fleet.by_id, "e");

  st->in_report
      = (struct notice){ .has_limit = true, .limit_milli_rps = 5000 };
  announce_version (st);
  wait_until (st, was_sent);
  g_assert_true (e->limit.active);
  g_assert_cmpint (e->limit.milli_rps, ==, 5000);
  stage_free (st);

  st = stage_new ();
  e = g_hash_table_lookup (st->fleet.by_id, "e");
  st->in_order = (struct notice){ .has_limit = true, .limit_milli_rps = 4000 };
  announce_version (st);
  wait_until (st, was_sent);
  g_assert_true (e->limit.active);
  /* A report need not repeat a notice that is in force. */
  wait_until (st, is_released);
  g_assert_cmpint (e->limit.milli_rps, ==, 4000);
  g_assert_true (e->limit.active);
  stage_free (st);
}

const struct unit orders_units[] = {
  { "/lease/clock", test_clock },
  { "/lease/no-overlap", test_no_overlap },
  { "/lease/released", test_released },
  { "/lease/eras", test_eras },
  { "/orders/complete", test_orders },
  { "/orders/row-lost", test_row_lost },
  { "/orders/release-early", test_release_early },
  { "/orders/unknown", test_order_unknown },
  { "/orders/restart-while-loading", test_restart_while_loading },
  { "/orders/report-of-previous-incarnation",
    test_report_of_previous_incarnation },
  { "/orders/report-without-start", test_report_without_start },
  { "/orders/weights-fell", test_weights_fell },
  { "/orders/announcement-recorded", test_announcement_recorded },
  { "/orders/announcement-unrecorded", test_announcement_unrecorded },
  { "/orders/uncertain-read-only", test_uncertain_read_only },
  { "/orders/announcement-seen", test_announcement_seen },
  { "/orders/announcement-written", test_announcement_written },
  { "/orders/unanswered-not-counted", test_unanswered_not_counted },
  { "/orders/announcement-between-unseen", test_announcement_between_unseen },
  { "/orders/announcement-between-disconnected",
    test_announcement_between_disconnected },
  { "/orders/announcement-not-displaced", test_announcement_not_displaced },
  { "/orders/announcement-not-after-seen", test_announcement_not_after_seen },
  { "/orders/announcement-seen-long-ago", test_announcement_seen_long_ago },
  { "/orders/announcement-recorded-later", test_announcement_recorded_later },
  { "/orders/lost-orders-keep-limit", test_lost_orders_keep_limit },
  { "/orders/slow-store", test_slow_store },
  { "/orders/window-not-shortened", test_window_not_shortened },
  { "/orders/successor-waits", test_successor_waits },
  { "/orders/announced-while-loading", test_announced_while_loading },
  { "/orders/successor-waits-for-orders", test_successor_waits_for_orders },
  { "/orders/stop-releases", test_stop_releases },
  { "/orders/unreached-releases", test_unreached_releases },
  { "/orders/unreached-not-taken", test_unreached_not_taken },
  { "/orders/unreached-off-and-on", test_unreached_off_and_on },
  { "/orders/notices", test_notices },
  { "/orders/older-announcement", test_older_announcement },
  { "/orders/announced-without-endpoints", test_announced_without_endpoints },
  { NULL, NULL },
};
