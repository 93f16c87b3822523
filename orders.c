/* Orders to endpoints to load weights, given under a lease. */
#include "orders.h"

#include <string.h>

#include "decide.h"
#include "log.h"
#include "announce.h"

/* The lease is short because a successor waits until it ends, and then for the
   gap between two holders.  It is renewed early enough for a second attempt.
 */
#define LEASE_MS 1600
#define RENEW_LEFT_MS 1000
/* Each write of the row lets orders leave for this long, plus twice the time
   that the store's last answer took.  Querying an endpoint's state and sending
   it an order take about 20 ms.  A successor waits from the end of this
   window, not from the end of the lease. */
#define ORDER_WINDOW_MS 400
/* Interval of checks while endpoints need orders. */
#define CHECK_INTERVAL_US (100 * CQ_US_PER_MS)
/* Each VM waits a random delay of up to this before it tries to acquire the
   lease.  The VM with the shortest delay gets it, and the others then see its
   row or the changed endpoints. */
#define JITTER_MAX_US (400 * CQ_US_PER_MS)
/* Other VMs read the lease only if no endpoint has changed for this long.  A
   load takes 1.3 s or more, and starts only after running requests ended. */
#define NO_PROGRESS_US (1800 * CQ_US_PER_MS)
/* Interval of state queries to an endpoint that carries out an order. */
#define STATE_POLL_US (250 * CQ_US_PER_MS)
/* If an order shows no effect, the endpoint's state is queried first.  After
   this long the order may be sent again under the same number. */
#define RESEND_MAX_US (2500 * CQ_US_PER_MS)
/* The same for an order without an answer; doubled with each further one, up
   to RESEND_MAX_US. The state that an endpoint reports is some hundred ms old.
   Together with the time spent waiting for the answer, this is long enough for
   the state to show the order. */
#define RESEND_UNANSWERED_US (300 * CQ_US_PER_MS)
/* An endpoint that does not answer is skipped for this long. */
#define UNREACHABLE_RETRY_US (800 * CQ_US_PER_MS)
/* The state that an endpoint reports is some hundred ms old. */
#define STATE_MAX_AGE_US (1000 * CQ_US_PER_MS)
/* A VM that reaches none of the endpoints that need orders releases the lease
   after the first of these times, and may acquire it after it reached one for
   the second.  Each change of holders costs the gap between their orders. */
#define UNREACHED_RELEASE_US (500 * CQ_US_PER_MS)
#define REACHED_ACQUIRE_US (1000 * CQ_US_PER_MS)
/* Endpoints handled at once: a fifth of a service, and those whose orders were
   lost. */
#define MAX_TASKS 256
/* Mean interval at which a VM reads the row while it is uncertain since when
   weights are outdated.  Randomized, because all VMs may have started at the
   same moment. */
#define UNCERTAIN_READ_US (400 * CQ_US_PER_MS)
enum task_phase
{
  TASK_IDLE,     /* its state was not queried yet */
  TASK_QUERYING, /* its state is queried */
  TASK_SENDING,  /* an order is being sent */
  TASK_LOADING,  /* an order was sent; the load is awaited */
  TASK_DONE,     /* its order was carried out */
  TASK_SKIPPED   /* it did not answer or rejected the order */
};

/* One endpoint's change of weights. */
struct task
{
  APR_RING_ENTRY (task) link;      /* in orders::tasks */
  struct orders *orders;           /* the owner */
  struct fleet_endpoint *endpoint; /* a counted reference */
  enum task_phase phase;           /* current phase */
  bool calling;            /* a call to the endpoint has no reply yet */
  int64_t since_us;        /* start of this phase */
  int64_t queried_us;      /* when its state was last queried */
  bool unanswered;         /* its order got no answer and shows no effect */
  int64_t resend_after_us; /* time in TASK_LOADING after which the order is
                              sent again */
  struct load_order order; /* the order as it was last sent */
};

struct orders
{
  struct orders_opts opts;        /* options as given to orders_new */
  char holder[LEASE_HOLDER_SIZE]; /* "VM/INCARNATION" of this process */
  struct loop_timer timer;        /* next check */
  GRand *rand;                    /* source of random delays */
  bool stopped;                   /* orders_stop was called */
  bool held;                      /* this incarnation holds the lease */
  bool calling;                   /* a call about the row has no reply yet */
  struct lease_row row;           /* row as last read or acknowledged */
  struct lease_row pending_row;   /* row as the pending call writes it */
  int64_t row_version;            /* version of the row */
  int64_t era;               /* newest era seen of the store; 0: not given */
  int64_t era_seen_us;       /* when it was seen first */
  int64_t fence;             /* fencing token of this holder */
  struct lease_clock clock;  /* last reading of the store's clock */
  int64_t call_sent_us;      /* when the pending call about the row was sent */
  int64_t acquire_at_us;     /* earliest time of the next attempt to acquire */
  int64_t row_read_us;       /* when the read that last succeeded was sent */
  int64_t uncertain_read_us; /* earliest next read because of uncertainty */
  int64_t unreached_since_us; /* none of the endpoints that need orders is
                                 reached since; 0 if one is */
  int64_t unreached_us;       /* when that was last so; 0 for never */
  guint noutdated; /* endpoints with outdated weights at the last check */
  APR_RING_HEAD (task_ring, task) tasks; /* endpoints that are handled */
  int ntasks;                            /* entries in tasks */
};

static void check (struct orders *o, int64_t now_us);

/* --- endpoints with outdated weights --------------------------------- */

static int64_t
wanted_version (const struct orders *o, const struct fleet_endpoint *e)
{
  const struct fleet_wanted *w;

  if (e->listing.model[0] == '\0')
    return 0;
  w = fleet_wanted_of (o->opts.fleet, e->listing.model);
  return w != NULL ? w->version : 0;
}

static bool
needs_order (const struct orders *o, const struct fleet_endpoint *e)
{
  return fleet_needs_weights (o->opts.fleet, e);
}

static guint
count_outdated (const struct orders *o)
{
  const struct fleet_endpoint *e;
  guint n = 0;

  APR_RING_FOREACH (e, &o->opts.fleet->endpoints, fleet_endpoint, link)
  n += needs_order (o, e);
  return n;
}

/* --- reach ----------------------------------------------------------- */

/* Whether some endpoint that needs an order can be reached. */
static bool
reaches_outdated (const struct orders *o)
{
  const struct fleet_endpoint *e;
  const char *unreached = NULL;

  if (o->opts.can_reach == NULL)
    return true;
  APR_RING_FOREACH (e, &o->opts.fleet->endpoints, fleet_endpoint, link)
  {
    if (!needs_order (o, e)
        || (unreached != NULL && strcmp (e->listing.service, unreached) == 0))
      continue;
    if (o->opts.can_reach (o->opts.arg, e->listing.service))
      return true;
    unreached = e->listing.service;
  }
  return false;
}

static void
observe_reach (struct orders *o, guint outdated, int64_t now_us)
{
  if (outdated == 0 || reaches_outdated (o))
    {
      o->unreached_since_us = 0;
      return;
    }
  if (o->unreached_since_us == 0)
    o->unreached_since_us = now_us;
  o->unreached_us = now_us;
}

static bool
is_unreached (const struct orders *o, int64_t now_us)
{
  return o->unreached_since_us != 0
         && now_us - o->unreached_since_us >= UNREACHED_RELEASE_US;
}

static bool
may_acquire (const struct orders *o, int64_t now_us)
{
  return now_us >= o->acquire_at_us
         && (o->unreached_us == 0
             || now_us - o->unreached_us >= REACHED_ACQUIRE_US);
}

/* --- lease ----------------------------------------------------------- */

static bool
may_order (const struct orders *o, int64_t now_us)
{
  return o->held && !o->stopped
         && lease_may_order (&o->row, &o->clock, now_us);
}

/* A reply of an earlier era says nothing about the row as it is now. */
static bool
is_of_earlier_era (const struct orders *o, const struct lease_reply *r)
{
  return r->era < o->era;
}

static void
read_clock (struct orders *o, const struct lease_reply *r, int64_t now_us)
{
  if (r->store_ms <= 0)
    return;
  o->clock.sent_us = o->call_sent_us;
  o->clock.got_us = now_us;
  o->clock.store_ms = r->store_ms;
}

static void
lease_lost (struct orders *o, const char *reason)
{
  if (o->held)
    log_event (LOG_LEVEL_WARNING, "lease",
               "holder=%s outcome=lost reason=%s fence=%" G_GINT64_FORMAT,
               o->holder, reason, (gint64)o->fence);
  o->held = false;
}

void
orders_observe_era (struct orders *o, int64_t era, int64_t now_us)
{
  if (era <= o->era)
    return;
  o->era = era;
  o->era_seen_us = now_us;
  lease_lost (o, "store_restored");
}

/* The row belongs to this incarnation now. */
static void
lease_taken (struct orders *o, const struct lease_reply *r)
{
  if (!o->held)
    {
      o->fence = lease_fence (r->era, r->version);
      log_event (LOG_LEVEL_INFO, "lease",
                 "holder=%s outcome=taken fence=%" G_GINT64_FORMAT
                 " era=%" G_GINT64_FORMAT " row_version=%" G_GINT64_FORMAT
                 " begin_ms=%" G_GINT64_FORMAT " store_ms=%" G_GINT64_FORMAT
                 " expires_ms=%" G_GINT64_FORMAT,
                 o->holder, (gint64)o->fence, (gint64)r->era,
                 (gint64)r->version, (gint64)o->row.begin_ms,
                 (gint64)r->store_ms, (gint64)o->row.expires_ms);
    }
  o->held = true;
  o->row_version = r->version;
}

static void
on_written (void *arg, const struct lease_reply *r)
{
  struct orders *o = arg;
  int64_t now = loop_now_us ();

  o->calling = false;
  orders_observe_era (o, r->era, now);
  read_clock (o, r, now);
  switch (r->code)
    {
    case LEASE_OK:
      /* The store was restored after the read on which this write is based.
         Another VM may have given orders meanwhile, and the row names the
         earlier era. */
      if (o->pending_row.era != o->era || is_of_earlier_era (o, r))
        {
          lease_lost (o, "store_restored");
          break;
        }
      o->row = o->pending_row;
      if (!o->row.released)
        lease_taken (o, r);
      break;
    case LEASE_CONFLICT:
      lease_lost (o, "taken_by_another");
      break;
    case LEASE_REFUSED:
    case LEASE_UNKNOWN:
      /* Until a read shows the row, a write that may have been done does not
         count. */
      lease_lost (o, r->code == LEASE_REFUSED ? "refused" : "no_answer");
      break;
    }
  if (!o->stopped)
    check (o, now);
}

enum lease_action
{
  LEASE_RENEW,         /* acquire or renew the lease */
  LEASE_EXTEND_ORDERS, /* likewise, and extend the window for orders */
  LEASE_RELEASE,       /* release the lease */
};

/* This VM relies only on writes that were acknowledged, while other VMs must
   assume that any write may have been done. */
static void
write_lease (struct orders *o, int64_t expected, enum lease_action action,
             int64_t now_us)
{
  struct lease_row *w = &o->pending_row;
  int64_t now_ms = lease_earliest_ms (&o->clock, now_us);

  *w = o->row;
  g_strlcpy (w->holder, o->holder, sizeof w->holder);
  w->era = o->era;
  w->released = action == LEASE_RELEASE;
  w->expires_ms = w->released ? now_ms : now_ms + LEASE_MS;
  /* With a slow store, the window must not be over when the answer comes.  A
     window that was written must not be shortened: until this write is
     acknowledged, orders leave under the earlier one. */
  if (action == LEASE_EXTEND_ORDERS)
    w->order_until_ms
        = MAX (w->order_until_ms,
               now_ms
                   + MIN (ORDER_WINDOW_MS
                              + 2 * (o->clock.got_us - o->clock.sent_us)
                                    / CQ_US_PER_MS,
                          LEASE_WINDOW_MAX_MS));
  /* No further order leaves, so a successor need not wait for the rest of the
     window.  Before this holder may begin, the window is that of earlier
     holders. */
  if (action == LEASE_RELEASE
      && lease_earliest_ms (&o->clock, now_us) >= w->begin_ms)
    w->order_until_ms
        = MIN (w->order_until_ms, lease_latest_ms (&o->clock, now_us));
  announce_write_row (o->opts.fleet, &o->clock, w);
  o->calling = true;
  o->call_sent_us = now_us;
  o->opts.ops.write_lease (o->opts.ops.ctx, w, expected, on_written, o);
}

static void
release_lease (struct orders *o, const char *reason, int64_t now_us)
{
  o->held = false;
  log_event (LOG_LEVEL_INFO, "lease", "holder=%s outcome=released reason=%s",
             o->holder, reason);
  write_lease (o, o->row_version, LEASE_RELEASE, now_us);
}

static bool
is_sending (const struct orders *o)
{
  const struct task *t;

  APR_RING_FOREACH (t, &o->tasks, task, link)
  {
    if (t->phase == TASK_SENDING)
      return true;
  }
  return false;
}

/* The row belongs to this incarnation, although the write got no answer. */
static bool
is_own_row (const struct orders *o, const struct lease_reply *r)
{
  return r->exists && !r->row.released && lease_is_current (&r->row, r->era)
         && strcmp (r->row.holder, o->holder) == 0;
}

/* Starts from the row of an earlier holder. */
static void
take_over_row (struct orders *o, const struct lease_row *row)
{
  int64_t begin
      = lease_begin_ms (row, o->holder, o->opts.holder_gap_us / CQ_US_PER_MS);

  if (row != NULL)
    o->row = *row;
  else
    memset (&o->row, 0, sizeof o->row);
  o->row.begin_ms = begin;
}

/* Starts from a row that does not name the last holder, or from none, because
   the store was restored from an older copy. */
static void
take_over_lost_row (struct orders *o, const struct lease_row *row)
{
  int64_t end = lease_earlier_orders_end_ms (row, &o->clock, o->era_seen_us);

  log_event (LOG_LEVEL_INFO, "lease",
             "holder=%s outcome=row_lost era=%" G_GINT64_FORMAT
             " row_era=%" G_GINT64_FORMAT
             " earlier_orders_end_ms=%" G_GINT64_FORMAT,
             o->holder, (gint64)o->era, (gint64)(row != NULL ? row->era : 0),
             (gint64)end);
  take_over_row (o, row);
  o->row.order_until_ms = end;
  o->row.begin_ms = end + o->opts.holder_gap_us / CQ_US_PER_MS;
}

/* How long to wait for the current holder before the next attempt. */
static int64_t
holder_wait_us (struct orders *o, const struct lease_row *row, int64_t now_us)
{
  int64_t left_ms = row->expires_ms - lease_earliest_ms (&o->clock, now_us);

  return MIN (left_ms * CQ_US_PER_MS, NO_PROGRESS_US)
         + g_rand_int_range (o->rand, 0, (gint32)JITTER_MAX_US);
}

/*
 * The row exists but cannot be parsed.  It is treated as released.  Otherwise
 * nobody could ever acquire the lease: a write must give the row's version,
 * and no holder renews this row.  Whoever wrote it, or an earlier row, may
 * still give orders that are not known here; without the store's time there is
 * no bound on when those end.
 */
static void
treat_as_released (struct lease_reply *r)
{
  memset (&r->row, 0, sizeof r->row);
  r->row.released = true;
  r->row.order_until_ms = r->store_ms + LEASE_WINDOW_MAX_MS;
  if (r->store_ms <= 0 && r->code == LEASE_OK)
    r->code = LEASE_UNKNOWN;
}

static void
on_read (void *arg, const struct lease_reply *reply)
{
  struct orders *o = arg;
  int64_t now = loop_now_us ();
  struct lease_reply read = *reply;
  struct lease_reply *r = &read;
  const struct lease_row *row = r->exists ? &r->row : NULL;
  bool acquires = may_acquire (o, now);

  o->calling = false;
  if (o->stopped)
    return;
  if (r->exists && r->unreadable)
    treat_as_released (r);
  orders_observe_era (o, r->era, now);
  if (is_of_earlier_era (o, r))
    r->code = LEASE_UNKNOWN;
  if (r->code == LEASE_OK)
    {
      read_clock (o, r, now);
      if (r->exists)
        announce_read_row (o->opts.fleet, &o->clock, &r->row);
      o->row_read_us = o->call_sent_us;
    }
  if (!acquires)
    return;
  o->acquire_at_us = now + NO_PROGRESS_US / 4
                     + g_rand_int_range (o->rand, 0, (gint32)JITTER_MAX_US);
  if (r->code != LEASE_OK)
    return;
  if (is_own_row (o, r))
    o->row = r->row;
  else if (!lease_is_current (row, r->era))
    take_over_lost_row (o, row);
  else if (lease_is_free (row, o->holder, &o->clock, now))
    take_over_row (o, row);
  else
    {
      o->acquire_at_us = now + holder_wait_us (o, &r->row, now);
      return;
    }
  write_lease (o, r->exists ? r->version : 0, LEASE_RENEW, now);
}

static void
try_acquire_lease (struct orders *o, int64_t now_us)
{
  bool uncertain = now_us >= o->uncertain_read_us
                   && announce_is_uncertain (o->opts.fleet, o->row_read_us);

  if (o->calling || (!may_acquire (o, now_us) && !uncertain))
    return;
  if (uncertain)
    o->uncertain_read_us
        = now_us + UNCERTAIN_READ_US / 2
          + g_rand_int_range (o->rand, 0, (gint32)UNCERTAIN_READ_US);
  o->calling = true;
  o->call_sent_us = now_us;
  o->opts.ops.read_lease (o->opts.ops.ctx, on_read, o);
}

static int
count_active_tasks (const struct orders *o)
{
  const struct task *t;
  int n = 0;

  APR_RING_FOREACH (t, &o->tasks, task, link)
  n += t->phase != TASK_SKIPPED && !t->unanswered;
  return n;
}

/* Whether one more endpoint of the model may load now. */
static bool
may_load_another (const struct orders *o, const char *model, int64_t now_us)
{
  return count_active_tasks (o)
         < pick_reload_max (o->opts.fleet, model, now_us);
}

/* Whether the order may be sent again.  A task whose order got no answer did
   not count against the limit of concurrent loads, so it needs room under that
   limit: otherwise all endpoints would load at once when orders get through
   again. */
static bool
is_overdue (const struct task *t, int64_t now_us)
{
  return t->phase == TASK_LOADING && now_us - t->since_us > t->resend_after_us
         && (!t->unanswered
             || may_load_another (t->orders, t->endpoint->listing.model,
                                  now_us));
}

/* Whether some endpoint is due for an order, the first or a repeated one. */
static bool
is_order_due (const struct orders *o, int64_t now_us)
{
  const struct task *t;

  APR_RING_FOREACH (t, &o->tasks, task, link)
  {
    if (t->phase == TASK_IDLE || t->phase == TASK_QUERYING
        || is_overdue (t, now_us))
      return true;
  }
  return false;
}

/* Renews the lease in time and detects that it expired. */
static void
renew_lease (struct orders *o, int64_t now_us)
{
  int64_t left = o->row.expires_ms - lease_latest_ms (&o->clock, now_us);

  if (left <= 0 && !o->calling)
    lease_lost (o, "expired");
  else if (left < RENEW_LEFT_MS && !o->calling)
    /* With a slow store there may be no time for calls other than renewals,
       so these extend the window as well. */
    write_lease (o, o->row_version,
                 is_order_due (o, now_us) ? LEASE_EXTEND_ORDERS : LEASE_RENEW,
                 now_us);
}

/* --- tasks ----------------------------------------------------------- */

static void
task_set (struct task *t, enum task_phase phase, int64_t now_us)
{
  t->phase = phase;
  t->since_us = now_us;
}

static void
task_free (struct task *t)
{
  APR_RING_REMOVE (t, link);
  t->orders->ntasks--;
  fleet_endpoint_unref (t->endpoint);
  g_free (t);
}

static bool
may_send (void *arg)
{
  struct task *t = arg;

  return may_order (t->orders, loop_now_us ());
}

/*
 * An order without an answer may be carried out seconds later and then counts
 * as taken: it and its repetition have the same number.  Until it shows an
 * effect, its endpoint loads nothing and must not keep others from loading.
 * Nine endpoints, two at a time, took half a minute when most orders got no
 * answer, and callers got no answers once outdated weights were no longer
 * accepted.
 */
static void
schedule_resend (struct task *t, enum order_code code)
{
  t->unanswered = code == ORDER_UNKNOWN;
  if (!t->unanswered)
    t->resend_after_us = RESEND_MAX_US;
  else if (t->resend_after_us == 0)
    t->resend_after_us = RESEND_UNANSWERED_US;
  else
    t->resend_after_us = MIN (2 * t->resend_after_us, RESEND_MAX_US);
}

/* Answers to orders and state queries need not contain all current notices. */
static void
apply_notice (struct task *t, const struct notice *notice, const char *source,
              int64_t sent_us, int64_t now_us)
{
  struct notice_origin from = { .source = source, .sent_us = sent_us };

  notice_apply (t->endpoint, notice, &from, now_us);
}

static void
on_ordered (void *arg, enum order_code code, const struct notice *notice)
{
  static const char *const names[] = {
    [ORDER_ACCEPTED] = "accepted", [ORDER_UP_TO_DATE] = "holds",
    [ORDER_BUSY] = "busy",         [ORDER_REJECTED] = "rejected",
    [ORDER_UNKNOWN] = "unknown",
  };
  struct task *t = arg;
  struct orders *o = t->orders;
  int64_t now = loop_now_us ();

  t->calling = false;
  if (notice != NULL)
    apply_notice (t, notice, "order", t->since_us, now);
  log_event (LOG_LEVEL_INFO, "order",
             "endpoint=%s outcome=%s model=%s version=%" G_GINT64_FORMAT
             " seq=%" G_GINT64_FORMAT " fence=%" G_GINT64_FORMAT,
             t->endpoint->listing.id, names[code], t->order.model,
             (gint64)t->order.version, (gint64)t->order.seq,
             (gint64)t->order.fence);
  if (code == ORDER_UP_TO_DATE)
    fleet_apply_version (t->endpoint, t->order.version, t->since_us, now);
  if (code == ORDER_REJECTED)
    task_set (t, TASK_SKIPPED, now);
  else
    task_set (t, TASK_LOADING, now);
  schedule_resend (t, code);
  check (o, now);
}

static void
send_order (struct task *t, int64_t seq, int64_t now_us)
{
  struct orders *o = t->orders;

  t->order.model = t->endpoint->listing.model;
  t->order.version = wanted_version (o, t->endpoint);
  t->order.holder = o->holder;
  t->order.fence = o->fence;
  t->order.seq = seq;
  /*
   * Requests that continue complete normally, and no other request finds what
   * they produce.  Waiting for them to end would keep the endpoint idle
   * for longer than the load takes.
   */
  t->order.continue_running = true;
  t->calling = true;
  t->unanswered = false;
  t->endpoint->reload_ordered_us = now_us;
  task_set (t, TASK_SENDING, now_us);
  o->opts.ops.send_order (o->opts.ops.ctx, t->endpoint, &t->order, may_send,
                          on_ordered, t);
}

/*
 * Whether the incarnation that answered is the one that the task handles.  A
 * newer one counts its orders from zero, and an order sent before could match
 * its count, so it gets a new task that begins with a state query.  An older
 * one has ended.  A report without a start time comes from whichever
 * incarnation is at the address now.  An order names the count from that
 * report, so that incarnation either carries it out or rejects it.
 */
static bool
is_same_incarnation (struct task *t, const struct endpoint_state *s,
                     int64_t now_us)
{
  struct fleet_endpoint *e = t->endpoint;
  enum fleet_incarnation incarnation
      = fleet_incarnation_compare (e, s->started_ms);

  if (e->removed || incarnation == FLEET_INCARNATION_SAME
      || incarnation == FLEET_INCARNATION_UNKNOWN)
    return !e->removed;
  log_event (LOG_LEVEL_INFO, "endpoint",
             "endpoint=%s outcome=%s source=report born_ms=%" G_GINT64_FORMAT
             " before_ms=%" G_GINT64_FORMAT,
             e->listing.id,
             incarnation == FLEET_INCARNATION_NEWER ? "started_again"
                                                    : "passed_over",
             (gint64)s->started_ms, (gint64)e->listing.started_ms);
  if (incarnation == FLEET_INCARNATION_NEWER)
    fleet_apply_restart (t->orders->opts.fleet, e, s->started_ms, now_us);
  return false;
}

static void
apply_version (struct task *t, const struct endpoint_state *s, int64_t now_us)
{
  struct fleet_endpoint *e = t->endpoint;
  int64_t before = e->version;

  if (s->busy)
    return;
  fleet_apply_version (e, s->version, t->queried_us - STATE_MAX_AGE_US,
                       now_us);
  if (e->version == before)
    return;
  log_event (
      LOG_LEVEL_INFO, e->version > before ? "loaded" : "weights_fell",
      "endpoint=%s version=%" G_GINT64_FORMAT " before=%" G_GINT64_FORMAT
      " took_us=%" G_GINT64_FORMAT,
      e->listing.id, (gint64)e->version, (gint64)before,
      (gint64)(e->reload_ordered_us ? now_us - e->reload_ordered_us : 0));
}

/* The reported state decides: an order is sent only if none is being carried
   out and the version is still outdated. */
static void
on_state (void *arg, const struct endpoint_state *s)
{
  struct task *t = arg;
  struct orders *o = t->orders;
  int64_t now = loop_now_us ();

  t->calling = false;
  if (!s->reached)
    {
      apply_notice (t, &s->notice, "report", t->queried_us, now);
      if (t->phase == TASK_QUERYING)
        task_set (t, TASK_SKIPPED, now);
      return;
    }
  if (!is_same_incarnation (t, s, now))
    {
      if (t->endpoint->removed)
        loop_arm (o->opts.loop, &o->timer, now);
      return;
    }
  apply_version (t, s, now);
  apply_notice (t, &s->notice, "report", t->queried_us, now);
  if (!needs_order (o, t->endpoint))
    check (o, now);
  else if (t->phase == TASK_LOADING && !s->busy
           && s->version >= t->order.version)
    {
      /* A newer version was announced meanwhile.  Other endpoints with older
         weights may go first now, and this one must not count against the
         limit of concurrent loads until then. */
      task_set (t, TASK_DONE, now);
      loop_arm (o->opts.loop, &o->timer, now);
    }
  else if (s->busy)
    {
      task_set (t, TASK_LOADING, now);
      t->unanswered = false;
      t->resend_after_us = RESEND_MAX_US;
    }
  else if (s->version < wanted_version (o, t->endpoint) && may_order (o, now)
           && (t->phase == TASK_QUERYING || is_overdue (t, now)))
    send_order (t, s->seq, now);
}

static void
query_state (struct task *t, int64_t now_us)
{
  struct orders *o = t->orders;

  t->calling = true;
  t->queried_us = now_us;
  o->opts.ops.query_state (o->opts.ops.ctx, t->endpoint, on_state, t);
}

static void
step_task (struct task *t, int64_t now_us)
{
  if (t->calling)
    return;
  switch (t->phase)
    {
    case TASK_IDLE:
      task_set (t, TASK_QUERYING, now_us);
      query_state (t, now_us);
      break;
    case TASK_QUERYING:
    case TASK_LOADING:
      if (now_us - t->queried_us >= STATE_POLL_US)
        query_state (t, now_us);
      break;
    case TASK_SKIPPED:
      if (now_us - t->since_us >= UNREACHABLE_RETRY_US)
        task_set (t, TASK_IDLE, now_us);
      break;
    case TASK_SENDING:
    case TASK_DONE:
      break;
    }
}

static struct task *
find_task (struct orders *o, const struct fleet_endpoint *e)
{
  struct task *t;

  APR_RING_FOREACH (t, &o->tasks, task, link)
  {
    if (t->endpoint == e)
      return t;
  }
  return NULL;
}

static void
drop_finished (struct orders *o)
{
  struct task *t, *next;

  for (t = APR_RING_FIRST (&o->tasks);
       t != APR_RING_SENTINEL (&o->tasks, task, link); t = next)
    {
      next = APR_RING_NEXT (t, link);
      if (!t->calling
          && (t->phase == TASK_DONE || !needs_order (o, t->endpoint)))
        task_free (t);
    }
}

/* The next endpoint in the reload order, which is the same on all VMs. */
static struct fleet_endpoint *
next_endpoint (struct orders *o)
{
  struct fleet_endpoint *e, *best = NULL;

  APR_RING_FOREACH (e, &o->opts.fleet->endpoints, fleet_endpoint, link)
  {
    if (needs_order (o, e) && find_task (o, e) == NULL
        && (best == NULL || pick_reload_before (e, best)))
      best = e;
  }
  return best;
}

static void
add_tasks (struct orders *o, int64_t now_us)
{
  struct fleet_endpoint *e;
  struct task *t;

  while (o->ntasks < MAX_TASKS && (e = next_endpoint (o)) != NULL
         && may_load_another (o, e->listing.model, now_us))
    {
      t = g_new0 (struct task, 1);
      t->orders = o;
      t->endpoint = fleet_endpoint_ref (e);
      APR_RING_ELEM_INIT (t, link);
      APR_RING_INSERT_TAIL (&o->tasks, t, task, link);
      o->ntasks++;
    }
}

static void
step_tasks (struct orders *o, int64_t now_us)
{
  struct task *t, *next;

  drop_finished (o);
  if (!o->held || o->stopped
      || lease_earliest_ms (&o->clock, now_us) < o->row.begin_ms)
    return;
  add_tasks (o, now_us);
  if (is_order_due (o, now_us) && !may_order (o, now_us) && !o->calling)
    {
      /* The answer triggers the next check. */
      write_lease (o, o->row_version, LEASE_EXTEND_ORDERS, now_us);
      return;
    }
  for (t = APR_RING_FIRST (&o->tasks);
       t != APR_RING_SENTINEL (&o->tasks, task, link); t = next)
    {
      next = APR_RING_NEXT (t, link);
      if (t->phase != TASK_IDLE || may_order (o, now_us))
        step_task (t, now_us);
    }
}

/* --- checks ---------------------------------------------------------- */

/* Sets when a VM without the lease may try to acquire it: after a random delay
   when more endpoints became outdated, later while the number of outdated
   endpoints falls. */
static void
schedule_acquire (struct orders *o, guint outdated, int64_t now_us)
{
  if (outdated > o->noutdated)
    o->acquire_at_us
        = now_us + g_rand_int_range (o->rand, 0, (gint32)JITTER_MAX_US);
  else if (outdated < o->noutdated)
    o->acquire_at_us = now_us + NO_PROGRESS_US
                       + g_rand_int_range (o->rand, 0, (gint32)JITTER_MAX_US);
  o->noutdated = outdated;
}

static void
check (struct orders *o, int64_t now_us)
{
  guint outdated = count_outdated (o);

  schedule_acquire (o, outdated, now_us);
  if (o->stopped)
    return;
  observe_reach (o, outdated, now_us);
  if (outdated == 0)
    {
      drop_finished (o);
      if (o->held && !o->calling && o->ntasks == 0)
        release_lease (o, "complete", now_us);
      if (!o->held && o->ntasks == 0)
        return;
    }
  else if (o->held && !o->calling && !is_sending (o)
           && is_unreached (o, now_us))
    /* The row then says that no order leaves any more. */
    release_lease (o, "endpoints_unreached", now_us);
  else if (o->held)
    renew_lease (o, now_us);
  else
    try_acquire_lease (o, now_us);
  step_tasks (o, now_us);
  loop_arm (o->opts.loop, &o->timer, now_us + CHECK_INTERVAL_US);
}

static void
on_timer (void *arg, int64_t now_us)
{
  check (arg, now_us);
}

void
orders_check (struct orders *o, int64_t now_us)
{
  check (o, now_us);
}

/* --- create, stop and free ------------------------------------------- */

struct orders *
orders_new (const struct orders_opts *opts)
{
  struct orders *o = g_new0 (struct orders, 1);

  o->opts = *opts;
  o->rand = g_rand_new_with_seed ((guint32)opts->seed);
  g_snprintf (o->holder, sizeof o->holder, "%s/%08x", opts->vm,
              g_rand_int (o->rand));
  o->timer.fire = on_timer;
  o->timer.arg = o;
  APR_RING_INIT (&o->tasks, task, link);
  return o;
}

void
orders_stop (struct orders *o)
{
  int64_t now = loop_now_us ();

  if (o->stopped)
    return;
  o->stopped = true;
  loop_disarm (&o->timer);
  /* A successor then need not wait until the lease expires. */
  if (o->held && !o->calling)
    write_lease (o, o->row_version, LEASE_RELEASE, now);
  o->held = false;
}

bool
orders_has_lease (const struct orders *o)
{
  return o->held;
}

int
orders_pending_calls (const struct orders *o)
{
  const struct task *t;
  int n = o->calling;

  APR_RING_FOREACH (t, &o->tasks, task, link)
  n += t->calling;
  return n;
}

void
orders_free (struct orders *o)
{
  while (!APR_RING_EMPTY (&o->tasks, task, link))
    task_free (APR_RING_FIRST (&o->tasks));
  g_rand_free (o->rand);
  g_free (o);
}
