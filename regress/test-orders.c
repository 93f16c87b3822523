/*
 * Unit tests of leases and of orders under them: the test plays the store's
 * row and the endpoints, and brings each fault about at its moment.
 */
#include <glib.h>
#include <string.h>

#include "decide.h"
#include "orders.h"
#include "units.h"

#define MS CQ_US_PER_MS
#define GAP_MS 3000

/* --- lease ----------------------------------------------------------- */

/* Two readings of the store's clock bound it from both sides. */
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
 * Endpoints that do not check fences carry out orders of both holders if they
 * overlap.  Over all delays of both VMs' readings of the clock, the last
 * order that the first may give and the first that the second may give are
 * the gap apart.
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
          /* True store time equals true time; the reading was at THERE. */
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

/* A holder that lets go says when it ordered last: its successor waits only
   from then.  A later life of the same VM is bound by what the earlier one
   was: nothing, or the orders of a holder before both. */
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

/* --- orders ---------------------------------------------------------- */

/* A played store row, and one played endpoint. */
struct stage
{
  struct loop *loop;       /* for timers */
  struct fleet fleet;      /* beliefs */
  struct orders *orders;   /* under test */
  struct lease_row row;    /* in the store */
  int64_t row_version;     /* 0: no row */
  bool lose_write;         /* the next write is done, its reply lost */
  int64_t slow_us;         /* replies to writes come so late */
  struct loop_timer late;  /* one that is to come */
  lease_done late_done;    /* whom to tell then */
  void *late_arg;          /* passed to it */
  bool mute;               /* the endpoint does not tell its state */
  bool lowered;            /* the row forgot an order that may still leave */
  int writes;              /* of the row, so far */
  bool lose_orders;        /* orders get no answer */
  int64_t clock_offset_ms; /* the store's clock is so far ahead */
  int64_t seq;             /* orders the endpoint took */
  int64_t born_ms;         /* start of its life, as its report says */
  int64_t version;         /* its weights */
  bool busy;               /* it carries one out */
  bool hold_busy;          /* it does so until the test says */
  bool each_busy;          /* each endpoint that took an order carries it out,
                              longer than the test */
  GHashTable *loading;     /* these endpoints, by id */
  int asked;               /* questions for its state */
  int orders_sent;         /* that left */
  int64_t last_seq;        /* precondition of the last one */
  int64_t last_fence;      /* of the last one */
  int64_t later_us;        /* what is_later waits for */
  struct notice in_report; /* what the endpoint says in reports */
  struct notice in_order;  /* and in answers to orders */
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
  r.store_ms = store_ms (st);
  done (arg, &r);
}

static void
read_lease (void *ctx, lease_done done, void *arg)
{
  reply_row (ctx, LEASE_DONE, done, arg);
}

static void
reply_late (void *arg, int64_t now_us)
{
  struct stage *st = arg;

  (void)now_us;
  reply_row (st, LEASE_DONE, st->late_done, st->late_arg);
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
  st->lowered |= !r->released && r->order_until_ms < st->row.order_until_ms;
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
    reply_row (st, LEASE_DONE, done, arg);
}

static void
state (void *ctx, const struct fleet_endpoint *e, state_done done, void *arg)
{
  struct stage *st = ctx;
  struct endpoint_state s = { .reached = true };

  st->asked++;
  if (st->mute)
    return;
  s.busy = st->busy;
  s.born_ms = st->born_ms;
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
order (void *ctx, const struct fleet_endpoint *e, const struct load_order *o,
       bool (*may_send) (void *arg), order_done done, void *arg)
{
  struct stage *st = ctx;

  if (!may_send (arg))
    {
      done (arg, ORDER_REJECTED, NULL);
      return;
    }
  /* Whoever takes over now knows from the row how long to wait. */
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

static struct stage *
stage_new (void)
{
  struct stage *st = g_new0 (struct stage, 1);
  struct orders_opts o = { .vm = "vm", .gap_us = GAP_MS * MS, .seed = 3 };
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
  o.ops.read_lease = read_lease;
  o.ops.write_lease = write_lease;
  o.ops.state = state;
  o.ops.order = order;
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

/* Let time pass until DONE says so, or for at most twenty seconds. */
struct wait
{
  struct stage *st;                      /* of the test */
  bool (*done) (const struct stage *st); /* what is waited for */
  struct loop_timer timer;               /* next look */
  int64_t until_us;                      /* give up then */
};

static void
look_again (void *arg, int64_t now_us)
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
  w.timer.fire = look_again;
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
name_version (struct stage *st)
{
  int64_t now = loop_now_us ();

  fleet_apply_wanted (&st->fleet, "m", 2, now, now);
  orders_look (st->orders, now);
}

/* A version is named: the lease is taken, one order given, the effect read
   back, the lease let go.  The reply to the first write is lost; a read tells
   that it was done. */
static void
test_orders (void)
{
  struct stage *st = stage_new ();

  st->lose_write = true;
  name_version (st);
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
 * An order gets no answer.  It may be carried out seconds later; sent again
 * blindly, the endpoint would load twice and drop what it has read since.
 * The second one carries the same number, so only one of both counts, and need
 * not wait until the first can come no more.
 */
static void
test_order_unknown (void)
{
  struct stage *st = stage_new ();
  int64_t sent;

  st->lose_orders = true;
  name_version (st);
  wait_until (st, was_sent);
  sent = loop_now_us ();
  wait_until (st, sent_twice);
  g_assert_cmpint (st->last_seq, ==, 0);
  /* Not before the endpoint's word can show the first one, and soon after. */
  g_assert_cmpint (loop_now_us () - sent, >=, 250 * MS);
  g_assert_cmpint (loop_now_us () - sent, <, 1500 * MS);
  /* The late one is carried out now: nothing more is sent. */
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
 * The endpoint starts again while it loads, and says so itself before its
 * entry does.  Its count begins anew, so an order by the old count would be
 * refused for good, and callers would find it on old weights.
 */
static void
test_restart_while_loading (void)
{
  struct stage *st = stage_new ();

  st->born_ms = 1000;
  endpoint_of (st)->listing.started_ms = 1000;
  st->hold_busy = true;
  name_version (st);
  wait_until (st, was_sent);
  g_assert_cmpint (st->seq, ==, 1);
  st->hold_busy = false;
  st->busy = false;
  st->seq = 0;
  st->born_ms = 2000;
  wait_until (st, was_sent_again);
  g_assert_cmpint (st->last_seq, ==, 0);
  g_assert_cmpint (endpoint_of (st)->listing.started_ms, ==, 2000);
  wait_until (st, is_released);
  stage_free (st);
}

/*
 * A report of the life before, held up on the way, says that the endpoint has
 * taken three orders and the newest weights.  Believed, it would be left on
 * old ones.
 */
static void
test_report_of_life_before (void)
{
  struct stage *st = stage_new ();

  st->born_ms = 1000;
  endpoint_of (st)->listing.started_ms = 2000;
  st->seq = 3;
  st->version = 2;
  name_version (st);
  /* Long enough for some questions. */
  loop_arm (st->loop, &st->late, loop_now_us () + 1200 * MS);
  st->late.fire = stop_loop;
  st->late.arg = st->loop;
  loop_run (st->loop);
  g_assert_cmpint (st->asked, >, 1);
  g_assert_cmpint (st->orders_sent, ==, 0);
  g_assert_cmpint (endpoint_of (st)->version, ==, 1);
  st->born_ms = 2000;
  st->seq = 0;
  st->version = 1;
  wait_until (st, is_released);
  g_assert_cmpint (st->orders_sent, ==, 1);
  g_assert_cmpint (st->last_seq, ==, 0);
  stage_free (st);
}

/* Guards against endpoints that are never ordered, since their entries say
   when they started and their reports do not. */
static void
test_report_without_start (void)
{
  struct stage *st = stage_new ();

  st->born_ms = 0;
  endpoint_of (st)->listing.started_ms = 2000;
  name_version (st);
  wait_until (st, is_released);
  g_assert_cmpint (st->orders_sent, ==, 1);
  g_assert_cmpint (endpoint_of (st)->version, ==, 2);
  stage_free (st);
}

/*
 * After the change an order to the life before is carried out, and weights go
 * back; callers' requests are refused there.  The doubt that their answers
 * raise has the endpoint asked and ordered again.
 */
static void
test_weights_fell (void)
{
  struct stage *st = stage_new ();

  name_version (st);
  wait_until (st, is_released);
  g_assert_cmpint (endpoint_of (st)->version, ==, 2);
  st->version = 1;
  /* Older than what a report may be old by. */
  endpoint_of (st)->version_us = loop_now_us () - 2 * CQ_US_PER_S;
  fleet_doubt_version (endpoint_of (st));
  orders_look (st->orders, loop_now_us ());
  wait_until (st, was_sent_again);
  wait_until (st, is_released);
  g_assert_false (endpoint_of (st)->version_doubted);
  stage_free (st);
}

/* A naming that this VM hears when it starts: it cannot know when it was. */
static void
hear_late (struct stage *st)
{
  int64_t now = loop_now_us ();

  fleet_apply_wanted (&st->fleet, "m", 2, 0, now);
  orders_look (st->orders, now);
}

/* Version 2 was not named before. */
static int64_t
not_before (const struct stage *st)
{
  return fleet_earliest_naming_us (&st->fleet, "m", 2);
}

/* Whether old weights that take work for LIMIT_US would take some now. */
static bool
has_grace (const struct stage *st, int64_t limit_us)
{
  return !fleet_is_outdated_for (&st->fleet,
                                 APR_RING_FIRST (&st->fleet.endpoints),
                                 limit_us, loop_now_us ());
}

/*
 * Callers get answers by weights that were outdated long ago, from a VM that
 * started since: it hears of the newer ones when it starts.  The row says when
 * they were named, and this VM reads it before it uses the old ones, though
 * another holds the lease.
 */
static void
test_naming_recorded (void)
{
  struct stage *st = stage_new ();
  struct lease_named n = { "m", 2, store_ms (st) - 10000 };

  st->row = row ("other/1", store_ms (st) + 60000);
  st->row_version = 5;
  lease_note_named (&st->row, &n);
  fleet_apply_wanted (&st->fleet, "m", 2, 0, loop_now_us ());
  g_assert_false (has_grace (st, INT64_MAX));
  orders_look (st->orders, loop_now_us ());
  g_assert_true (has_grace (st, 12 * CQ_US_PER_S));
  g_assert_false (has_grace (st, 9900 * MS));
  /* That was a question, not an attempt to take the lease. */
  g_assert_cmpstr (st->row.holder, ==, "other/1");
  stage_free (st);
}

static bool
has_four_seconds (const struct stage *st)
{
  return has_grace (st, 4 * CQ_US_PER_S);
}

/*
 * A VM starts just after a naming, before another has written it down, or when
 * all were away.  How long ago it was nobody can tell: old weights take no
 * work, and the row is read again until it tells.
 */
static void
test_naming_unrecorded (void)
{
  struct stage *st = stage_new ();
  struct lease_named n = { "m", 2, store_ms (st) - 1000 };
  int64_t began = loop_now_us ();

  st->row = row ("other/1", store_ms (st) + 60000);
  st->row_version = 5;
  hear_late (st);
  g_assert_false (has_grace (st, INT64_MAX));
  lease_note_named (&st->row, &n);
  st->row_version++;
  wait_until (st, has_four_seconds);
  g_assert_cmpint (loop_now_us () - began, <, 900 * MS);
  g_assert_false (has_grace (st, 1000 * MS));
  stage_free (st);
}

/* All VMs may have that question at one moment; it is no attempt to take the
   lease, for which each waits a drawn while. */
static void
test_question_takes_nothing (void)
{
  struct stage *st = stage_new ();

  st->row = row ("other/1", store_ms (st) - 1);
  st->row.released = true;
  st->row_version = 5;
  hear_late (st);
  g_assert_cmpstr (st->row.holder, ==, "other/1");
  wait_until (st, was_sent);
  g_assert_cmpint (st->orders_sent, ==, 1);
  stage_free (st);
}

/* A VM that heard a naming as it was made trusts that, and asks nobody. */
static void
test_naming_heard (void)
{
  struct stage *st = stage_new ();
  int64_t now = loop_now_us ();

  st->row = row ("other/1", store_ms (st) + 60000);
  st->row_version = 5;
  fleet_apply_wanted (&st->fleet, "m", 2, now - 1000 * MS, now);
  orders_look (st->orders, now);
  g_assert_cmpint (not_before (st), ==, now - 1000 * MS);
  stage_free (st);
}

/* Whoever takes the lease writes into the row what it knows of namings; what
   the row had of others stays. */
static void
test_naming_written (void)
{
  struct stage *st = stage_new ();
  struct lease_named other = { "n", 7, 1234 };
  int64_t now = loop_now_us ();

  st->row = row ("other/1", store_ms (st) - 1);
  st->row_version = 5;
  lease_note_named (&st->row, &other);
  fleet_apply_wanted (&st->fleet, "m", 2, now - 700 * MS, now);
  orders_look (st->orders, now);
  wait_until (st, is_released);
  g_assert_cmpint (st->row.nnamed, ==, 2);
  g_assert_cmpstr (st->row.named[0].model, ==, "n");
  g_assert_cmpint (st->row.named[0].since_ms, ==, 1234);
  g_assert_cmpint (st->row.named[1].version, ==, 2);
  g_assert_cmpint (st->row.named[1].since_ms, >=,
                   now / MS - 700 + st->clock_offset_ms - 2);
  g_assert_cmpint (st->row.named[1].since_ms, <=,
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
 * Endpoints carry orders out seconds after they got them, and answer none.  If
 * each held a place for as long, nine of them, two at a time, would keep old
 * weights for half a minute, and callers would get nothing when the grace of
 * old weights is over.  An order that shows no effect holds no place.
 */
static void
test_unanswered_hold_no_place (void)
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
  name_version (st);
  wait_until (st, all_were_ordered);
  g_assert_cmpint (loop_now_us () - began, <, 4000 * MS);
  stage_free (st);
}

static bool
row_is_ours (const struct stage *st)
{
  return strncmp (st->row.holder, "vm/", 3) == 0;
}

/*
 * Versions 2 and 3 are named eight seconds apart; a VM that starts then, or
 * was cut off meanwhile, finds only the newest in the operators' table.  An
 * endpoint with version 1 has been outdated since 2 was named: counted from
 * the naming of 3, callers get answers by version 1 for eight seconds more.
 */
static void
test_naming_between_unheard (void)
{
  struct stage *st = stage_new ();
  struct lease_named two = { "m", 2, store_ms (st) - 10000 };
  struct lease_named three = { "m", 3, store_ms (st) - 2000 };
  int64_t now = loop_now_us ();

  st->row = row ("other/1", store_ms (st) + 60000);
  st->row_version = 5;
  lease_note_named (&st->row, &two);
  lease_note_named (&st->row, &three);
  fleet_apply_wanted (&st->fleet, "m", 3, 0, now);
  orders_look (st->orders, now);
  g_assert_false (has_grace (st, 9 * CQ_US_PER_S));
  stage_free (st);
}

/* The same on a VM that was cut off since before both: what it knew by itself,
   that nothing was named eleven seconds ago, was right before it asked. */
static void
test_naming_between_cut_off (void)
{
  struct stage *st = stage_new ();
  struct lease_named two = { "m", 2, store_ms (st) - 10000 };
  struct lease_named three = { "m", 3, store_ms (st) - 2000 };
  int64_t now = loop_now_us ();

  st->row = row ("other/1", store_ms (st) + 60000);
  st->row_version = 5;
  lease_note_named (&st->row, &two);
  lease_note_named (&st->row, &three);
  fleet_apply_wanted (&st->fleet, "m", 3, now - 11 * CQ_US_PER_S, now);
  g_assert_false (has_grace (st, 9 * CQ_US_PER_S));
  orders_look (st->orders, now);
  g_assert_false (has_grace (st, 9 * CQ_US_PER_S));
  stage_free (st);
}

/*
 * Eight versions of another model were named over the VM's life, and now one
 * of this model is.  The row holds eight namings; the one that counts must be
 * among them, or a VM that starts ten seconds later takes it for new.
 */
static void
test_naming_not_crowded_out (void)
{
  struct stage *st = stage_new ();
  int64_t now = loop_now_us ();
  bool found = false;
  int i;

  st->row = row ("other/1", store_ms (st) - 1);
  st->row_version = 5;
  fleet_apply_wanted (&st->fleet, "m", 1, now - 90 * CQ_US_PER_S, now);
  for (i = 1; i <= LEASE_NAMED_MAX; i++)
    fleet_apply_wanted (&st->fleet, "n", i, now - (80 - i) * CQ_US_PER_S, now);
  fleet_apply_wanted (&st->fleet, "m", 2, now - 100 * MS, now);
  orders_look (st->orders, now);
  wait_until (st, is_released);
  for (i = 0; i < st->row.nnamed; i++)
    found |= strcmp (st->row.named[i].model, "m") == 0
             && st->row.named[i].version == 2;
  g_assert_true (found);
  stage_free (st);
}

/*
 * A VM heard of a naming ten seconds ago, as it was made.  All VMs were killed
 * but this one, or one of them took the naming for new: the row has it as of
 * two seconds ago.  It cannot have been named after it was heard.
 */
static void
test_naming_not_after_heard (void)
{
  struct stage *st = stage_new ();
  struct lease_named late = { "m", 2, store_ms (st) - 2000 };
  int64_t now = loop_now_us ();

  st->row = row ("other/1", store_ms (st) - 1);
  st->row_version = 5;
  lease_note_named (&st->row, &late);
  fleet_apply_wanted (&st->fleet, "m", 2, now - 10100 * MS, now - 10000 * MS);
  orders_look (st->orders, now);
  wait_until (st, is_released);
  g_assert_cmpint (not_before (st), <=, now - 10000 * MS);
  /* Nor does this VM hand the error on. */
  g_assert_cmpint (st->row.named[0].since_ms, <=, store_ms (st) - 10000);
  stage_free (st);
}

/*
 * A VM started twenty seconds ago and heard then that newer weights had been
 * named; all endpoints had them, so it asked nobody.  One starts now with the
 * old ones.  Nobody recorded the naming, but it was made before it was heard:
 * nothing of the grace is left.
 */
static void
test_naming_heard_long_ago (void)
{
  struct stage *st = stage_new ();
  int64_t now = loop_now_us ();

  st->row = row ("other/1", store_ms (st) + 60000);
  st->row_version = 5;
  fleet_apply_wanted (&st->fleet, "m", 2, 0, now - 20 * CQ_US_PER_S);
  orders_look (st->orders, now);
  g_assert_false (has_grace (st, 9 * CQ_US_PER_S));
  stage_free (st);
}

/*
 * All endpoints of a model were away when newer weights were named, so nobody
 * reached for the lease and nobody recorded it.  One comes back with old
 * weights just when this VM has started: its question is faster than the
 * record of a VM that heard the naming.  When it reads that record, a guess
 * must not count for more than what is known.
 */
static void
test_naming_recorded_later (void)
{
  struct stage *st = stage_new ();
  struct lease_named known = { "m", 2, store_ms (st) - 10000 };
  int64_t now = loop_now_us ();

  st->row = row ("other/1", store_ms (st) - 1);
  st->row.released = true;
  st->row_version = 5;
  hear_late (st);
  /* The one that knows has it written now, and orders nothing. */
  st->row_version = 6;
  lease_note_named (&st->row, &known);
  st->hold_busy = true;
  wait_until (st, row_is_ours);
  g_assert_cmpint (loop_now_us () - now, <, 2 * CQ_US_PER_S);
  g_assert_false (has_grace (st, 9 * CQ_US_PER_S));
  stage_free (st);
}

/* --- orders that come back ------------------------------------------- */

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
 * For four seconds no endpoint gets orders, then all do.  Those that were lost
 * are sent again; if all endpoints load at one moment, callers get nothing
 * from any of them.  Two at a time load, four at the most when the grace of
 * old weights is over.
 */
static void
test_lost_orders_keep_width (void)
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
  name_version (st);
  loop_arm (st->loop, &back, began + 4 * CQ_US_PER_S);
  loop_arm (st->loop, &over, began + 8 * CQ_US_PER_S);
  loop_run (st->loop);
  /* Loading takes longer than this test. */
  g_assert_cmpint (count_accepted (st), >=, 1);
  g_assert_cmpint (count_accepted (st), <=, 4);
  stage_free (st);
}

static bool
is_quiet (const struct stage *st)
{
  return orders_waiting (st->orders) == 0;
}

/*
 * The store answers after 0.4 s, as long as orders are announced ahead.  Each
 * announcement would be over when its answer comes, and no endpoint would ever
 * change its weights.
 */
static void
test_slow_store (void)
{
  struct stage *st = stage_new ();

  st->slow_us = 400 * MS;
  name_version (st);
  wait_until (st, is_released);
  g_assert_cmpint (st->orders_sent, ==, 1);
  wait_until (st, is_quiet);
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
 * The store is slow, so orders are announced far ahead; then it is fast, and
 * the next announcement ends sooner.  Until that one is acknowledged the
 * holder goes by the one before.  If the answer is lost, it orders for longer
 * than the row says, and the orders of its successor, which waits by the row,
 * come too soon after.
 */
static void
test_announced_stays (void)
{
  struct stage *st = stage_new ();

  st->mute = true;
  st->slow_us = 400 * MS;
  name_version (st);
  wait_until (st, wrote_three);
  st->slow_us = 0;
  wait_until (st, wrote_five);
  /* Not an assertion, which would end the tests after this one too. */
  if (st->lowered)
    g_test_fail ();
  stage_free (st);
}

/*
 * Another VM holds the lease and is frozen: it gives no orders and does not
 * renew.  Its successor takes over when the lease has ended, and orders only
 * after the gap, when none of the other's orders can be on its way.
 */
static void
test_successor_waits (void)
{
  struct stage *st = stage_new ();
  int64_t expires = store_ms (st) + 300;

  st->row = row ("other/1", expires);
  st->row.order_until_ms = expires;
  st->row_version = 5;
  name_version (st);
  wait_until (st, row_is_ours);
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
 * Version 3 is named while an endpoint loads 2.  When that is done it is
 * ordered again at once: waiting as after an order without an answer, it would
 * stand with weights that are outdated for two and a half seconds more.
 */
static void
test_named_while_loading (void)
{
  struct stage *st = stage_new ();

  st->hold_busy = true;
  name_version (st);
  wait_until (st, is_busy);
  fleet_apply_wanted (&st->fleet, "m", 3, loop_now_us (), loop_now_us ());
  st->busy = false;
  st->version = 2;
  st->hold_busy = false;
  st->asked = 0;
  wait_until (st, has_newest);
  /* Once to see that it is done, once before the order. */
  g_assert_cmpint (st->asked, <=, 3);
  stage_free (st);
}

/*
 * The holder that is cut off gave its last order two seconds ago and announced
 * no more.  Its lease has to end, but the gap counts from that order: an
 * endpoint idle for longer is a place less for callers.
 */
static void
test_successor_waits_for_orders (void)
{
  struct stage *st = stage_new ();
  int64_t now = store_ms (st);

  st->row = row ("other/1", now + 300);
  st->row.order_until_ms = now - 2000;
  st->row_version = 5;
  name_version (st);
  wait_until (st, is_released);
  g_assert_cmpint (st->orders_sent, ==, 1);
  g_assert_cmpint (st->row.order_until_ms, >=, now - 2000 + GAP_MS);
  g_assert_cmpint (st->row.begin_ms, ==, now - 2000 + GAP_MS);
  stage_free (st);
}

/* A planned stop lets the lease go at once, so that the next VM need not wait
   for its end. */
static void
test_stop_releases (void)
{
  struct stage *st = stage_new ();

  st->busy = true;
  name_version (st);
  wait_until (st, row_is_ours);
  orders_stop (st->orders);
  g_assert_true (st->row.released);
  stage_free (st);
}

/*
 * Version 2 is named, ten seconds later version 3, and a VM starts then: it
 * hears of 3 only, since the operator's row holds the newest one.  Its
 * endpoint has version 1, which is outdated since 2 was named; the lease's
 * row tells so.  Counted from when 3 was named, callers get answers by weights
 * that have been outdated for 19 s.
 */
static void
test_older_naming (void)
{
  struct stage *st = stage_new ();
  int64_t now = loop_now_us ();
  struct lease_named two = { .model = "m", .version = 2 };
  struct lease_named three = { .model = "m", .version = 3 };
  const struct fleet_endpoint *e = APR_RING_FIRST (&st->fleet.endpoints);

  two.since_ms = store_ms (st) - 12000;
  three.since_ms = store_ms (st) - 2000;
  st->row = row ("other/1", store_ms (st) + 1600);
  lease_note_named (&st->row, &two);
  lease_note_named (&st->row, &three);
  st->row_version = 7;
  fleet_apply_wanted (&st->fleet, "m", 3, 0, now);
  orders_look (st->orders, now);
  g_assert_true (
      fleet_is_outdated_for (&st->fleet, e, 9 * CQ_US_PER_S, loop_now_us ()));
  /* What has version 2 already is outdated since 3 was named. */
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
 * A version is named while no endpoint is listed: all of the service's have
 * crashed.  Nobody has anything to order, so nobody writes the row.  Some
 * seconds later a VM starts, and the endpoints come back with their old
 * weights.  It must not take the naming for a later one than it was.
 */
static void
test_named_without_endpoints (void)
{
  struct stage *running = stage_new ();
  struct stage *started = stage_new ();
  int64_t named_us = loop_now_us ();
  int64_t now;

  APR_RING_FIRST (&running->fleet.endpoints)->draining = true;
  name_version (running);
  running->later_us = named_us + 3200 * MS;
  wait_until (running, is_later);
  started->row = running->row;
  started->row_version = running->row_version;
  fleet_apply_wanted (&started->fleet, "m", 2, 0, loop_now_us ());
  orders_look (started->orders, loop_now_us ());
  now = loop_now_us ();
  g_assert_true (fleet_is_outdated_for (
      &started->fleet, APR_RING_FIRST (&started->fleet.endpoints),
      now - named_us, now));
  stage_free (started);
  stage_free (running);
}

/* Guards against notices that are heard only in answers to requests. */
static void
test_notices (void)
{
  struct stage *st = stage_new ();
  const struct fleet_endpoint *e = g_hash_table_lookup (st->fleet.by_id, "e");

  st->in_report
      = (struct notice){ .has_limit = true, .limit_milli_rps = 5000 };
  name_version (st);
  wait_until (st, was_sent);
  g_assert_true (e->limit.active);
  g_assert_cmpint (e->limit.milli_rps, ==, 5000);
  stage_free (st);

  st = stage_new ();
  e = g_hash_table_lookup (st->fleet.by_id, "e");
  st->in_order = (struct notice){ .has_limit = true, .limit_milli_rps = 4000 };
  name_version (st);
  wait_until (st, was_sent);
  g_assert_true (e->limit.active);
  /* A report need not name what stands. */
  wait_until (st, is_released);
  g_assert_cmpint (e->limit.milli_rps, ==, 4000);
  g_assert_true (e->limit.active);
  stage_free (st);
}

const struct unit orders_units[] = {
  { "/lease/clock", test_clock },
  { "/lease/no-overlap", test_no_overlap },
  { "/lease/released", test_released },
  { "/orders/whole", test_orders },
  { "/orders/unknown", test_order_unknown },
  { "/orders/restart-while-loading", test_restart_while_loading },
  { "/orders/report-of-life-before", test_report_of_life_before },
  { "/orders/report-without-start", test_report_without_start },
  { "/orders/weights-fell", test_weights_fell },
  { "/orders/naming-recorded", test_naming_recorded },
  { "/orders/naming-unrecorded", test_naming_unrecorded },
  { "/orders/question-takes-nothing", test_question_takes_nothing },
  { "/orders/naming-heard", test_naming_heard },
  { "/orders/naming-written", test_naming_written },
  { "/orders/unanswered-hold-no-place", test_unanswered_hold_no_place },
  { "/orders/naming-between-unheard", test_naming_between_unheard },
  { "/orders/naming-between-cut-off", test_naming_between_cut_off },
  { "/orders/naming-not-crowded-out", test_naming_not_crowded_out },
  { "/orders/naming-not-after-heard", test_naming_not_after_heard },
  { "/orders/naming-heard-long-ago", test_naming_heard_long_ago },
  { "/orders/naming-recorded-later", test_naming_recorded_later },
  { "/orders/lost-orders-keep-width", test_lost_orders_keep_width },
  { "/orders/slow-store", test_slow_store },
  { "/orders/announced-stays", test_announced_stays },
  { "/orders/successor-waits", test_successor_waits },
  { "/orders/named-while-loading", test_named_while_loading },
  { "/orders/successor-waits-for-orders", test_successor_waits_for_orders },
  { "/orders/stop-releases", test_stop_releases },
  { "/orders/notices", test_notices },
  { "/orders/older-naming", test_older_naming },
  { "/orders/named-without-endpoints", test_named_without_endpoints },
  { NULL, NULL },
};
