/* Orders to endpoints, under a lease. */
#include "orders.h"

#include <string.h>

#include "decide.h"
#include "log.h"
#include "naming.h"

/* A lease is short, since a successor waits for its end before the pause
   between two holders; it is renewed early enough for a second try. */
#define LEASE_MS 1600
#define RENEW_LEFT_MS 1000
/* Orders may be given for so long after they were announced in the row, and
   twice the store's last answer took: an endpoint is asked for its state, and
   ordered, in some 20 ms.  A successor waits from the end of it, not from the
   end of the lease. */
#define ORDER_WINDOW_MS 400
/*
 * After this nobody gives orders by a row of before now: they leave within
 * their window and twice the second that a call about the row may take, and a
 * holder whose row was overwritten loses the lease within LEASE_MS.
 */
#define UNREADABLE_END_MS (ORDER_WINDOW_MS + 2000)
/* Between looks while there is something to do. */
#define LOOK_US (100 * CQ_US_PER_MS)
/* The first VM to reach for the lease is drawn by a pause of up to this; the
   others then see its row, or its work. */
#define DRAW_MAX_US (400 * CQ_US_PER_MS)
/* Others look at the lease only when no endpoint has changed for this long:
   a load takes 1.3 s and more, after requests that run have ended. */
#define PATIENCE_US (1800 * CQ_US_PER_MS)
/* Between questions to an endpoint that carries out an order. */
#define ASK_US (250 * CQ_US_PER_MS)
/* An order whose effect does not show is read back, not sent again blindly;
   after this long it may be sent again under the same number. */
#define ORDER_MAX_US (2500 * CQ_US_PER_MS)
/* The same after one without an answer, doubled up to that with each further
   one.  An endpoint's word is some hundred ms old; with the time in which the
   answer was waited for, it would show the order by now. */
#define UNANSWERED_US (300 * CQ_US_PER_MS)
/* An endpoint that does not answer is passed over for this long. */
#define SKIP_US (800 * CQ_US_PER_MS)
/* An endpoint's word about itself is some hundred ms old. */
#define STATE_OLD_US (1000 * CQ_US_PER_MS)
/* Endpoints looked at: a fifth of a service, and those with lost orders. */
#define MAX_TASKS 256
/* Between questions to the row by a VM in doubt since when weights are
   outdated, drawn: all may have started at one moment. */
#define DOUBT_ASK_US (400 * CQ_US_PER_MS)
enum task_phase
{
  TASK_IDLE,    /* nothing is known yet */
  TASK_ASKING,  /* its state is asked for */
  TASK_SENDING, /* an order is under way */
  TASK_LOADING, /* it accepted an order */
  TASK_DONE,    /* its order was carried out */
  TASK_SKIPPED  /* it did not answer */
};

/* One endpoint's change of weights. */
struct task
{
  APR_RING_ENTRY (task) link;      /* in the list */
  struct orders *orders;           /* whose */
  struct fleet_endpoint *endpoint; /* a reference */
  enum task_phase phase;           /* where it stands */
  bool busy;                       /* a call is under way */
  int64_t since_us;                /* in this phase */
  int64_t asked_us;                /* when its state was asked for */
  bool unanswered;                 /* its order was, and shows no effect */
  int64_t again_us;                /* after which it is sent again */
  struct load_order order;         /* as sent */
};

struct orders
{
  struct orders_opts opts;               /* as made */
  char holder[LEASE_HOLDER_SIZE];        /* this life of this VM */
  struct loop_timer timer;               /* next look */
  GRand *rand;                           /* for pauses */
  bool stopped;                          /* gives no more orders */
  bool held;                             /* the lease is this life's */
  bool calling;                          /* a call about the lease is on */
  struct lease_row row;                  /* as acknowledged last */
  struct lease_row asked;                /* as the call under way writes it */
  int64_t row_version;                   /* of the row */
  int64_t fence;                         /* row version when it was taken */
  struct lease_clock clock;              /* last reading */
  int64_t called_us;                     /* when the call was sent */
  int64_t patient_us;                    /* reach for the lease at */
  int64_t read_us;                       /* the row as of then was read */
  int64_t doubt_us;                      /* read it because of doubt then */
  guint old;                             /* endpoints with old weights */
  APR_RING_HEAD (task_ring, task) tasks; /* endpoints in hand */
  int ntasks;                            /* their number */
};

static void look (struct orders *o, int64_t now_us);

/* --- endpoints with old weights -------------------------------------- */

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
count_old (const struct orders *o)
{
  const struct fleet_endpoint *e;
  guint n = 0;

  APR_RING_FOREACH (e, &o->opts.fleet->endpoints, fleet_endpoint, link)
  n += needs_order (o, e);
  return n;
}

/* --- lease ----------------------------------------------------------- */

static bool
may_order (const struct orders *o, int64_t now_us)
{
  return o->held && !o->stopped
         && lease_may_order (&o->row, &o->clock, now_us);
}

static void
read_clock (struct orders *o, const struct lease_reply *r, int64_t now_us)
{
  if (r->store_ms <= 0)
    return;
  o->clock.sent_us = o->called_us;
  o->clock.got_us = now_us;
  o->clock.store_ms = r->store_ms;
}

static void
lose (struct orders *o, const char *reason)
{
  if (o->held)
    log_event (LOG_LEVEL_WARNING, "lease",
               "holder=%s outcome=lost reason=%s fence=%" G_GINT64_FORMAT,
               o->holder, reason, (gint64)o->fence);
  o->held = false;
}

/* The row is this life's now. */
static void
take (struct orders *o, const struct lease_reply *r)
{
  if (!o->held)
    {
      o->fence = r->version;
      log_event (LOG_LEVEL_INFO, "lease",
                 "holder=%s outcome=taken fence=%" G_GINT64_FORMAT
                 " begin_ms=%" G_GINT64_FORMAT " store_ms=%" G_GINT64_FORMAT
                 " expires_ms=%" G_GINT64_FORMAT,
                 o->holder, (gint64)o->fence, (gint64)o->row.begin_ms,
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
  read_clock (o, r, now);
  switch (r->code)
    {
    case LEASE_DONE:
      o->row = o->asked;
      if (!o->row.released)
        take (o, r);
      break;
    case LEASE_CONFLICT:
      lose (o, "taken_by_another");
      break;
    case LEASE_REFUSED:
    case LEASE_UNKNOWN:
      /* Until a read tells, what may have been written counts for nothing. */
      lose (o, r->code == LEASE_REFUSED ? "refused" : "no_answer");
      break;
    }
  if (!o->stopped)
    look (o, now);
}

enum lease_aim
{
  LEASE_KEEP,    /* take it, or renew it */
  LEASE_ORDER,   /* likewise, and give orders soon */
  LEASE_RELEASE, /* let it go */
};

/* Only what is acknowledged counts for this VM; what may have been written
   counts for others. */
static void
write_lease (struct orders *o, int64_t expected, enum lease_aim aim,
             int64_t now_us)
{
  struct lease_row *w = &o->asked;
  int64_t now_ms = lease_earliest_ms (&o->clock, now_us);

  *w = o->row;
  g_strlcpy (w->holder, o->holder, sizeof w->holder);
  w->released = aim == LEASE_RELEASE;
  w->expires_ms = w->released ? now_ms : now_ms + LEASE_MS;
  /* A slow store's answer must not come when the time is over. */
  /* Nor may a time that was announced be taken back: until this is
     acknowledged, orders leave by what was. */
  if (aim == LEASE_ORDER)
    w->order_until_ms
        = MAX (w->order_until_ms,
               now_ms + ORDER_WINDOW_MS
                   + 2 * (o->clock.got_us - o->clock.sent_us) / CQ_US_PER_MS);
  /* None leaves any more, so nobody need wait for the rest of the window. */
  if (aim == LEASE_RELEASE)
    w->order_until_ms
        = MIN (w->order_until_ms, lease_latest_ms (&o->clock, now_us));
  naming_record (o->opts.fleet, &o->clock, w);
  o->calling = true;
  o->called_us = now_us;
  o->opts.ops.write_lease (o->opts.ops.ctx, w, expected, on_written, o);
}

/* The row belongs to this life, though it did not hear so. */
static bool
is_ours (const struct orders *o, const struct lease_reply *r)
{
  return r->exists && !r->row.released
         && strcmp (r->row.holder, o->holder) == 0;
}

/* What others' row leaves to its successor. */
static void
inherit (struct orders *o, const struct lease_row *row)
{
  int64_t begin
      = lease_begin_ms (row, o->holder, o->opts.gap_us / CQ_US_PER_MS);

  if (row != NULL)
    o->row = *row;
  else
    memset (&o->row, 0, sizeof o->row);
  o->row.begin_ms = begin;
}

/* The holder is to be left alone until its lease ends. */
static int64_t
wait_for (struct orders *o, const struct lease_row *row, int64_t now_us)
{
  int64_t left_ms = row->expires_ms - lease_earliest_ms (&o->clock, now_us);

  return MIN (left_ms * CQ_US_PER_MS, PATIENCE_US)
         + g_rand_int_range (o->rand, 0, (gint32)DRAW_MAX_US);
}

/*
 * A row that is there but cannot be read.  It is nobody's, or it would stand
 * in the way for good: a write must name its version, and no holder renews it.
 * Whoever wrote it, or a row before it, may still give orders that are not
 * known here; without the store's time nothing bounds those.
 */
static void
take_unreadable (struct lease_reply *r)
{
  memset (&r->row, 0, sizeof r->row);
  r->row.released = true;
  r->row.order_until_ms = r->store_ms + UNREADABLE_END_MS;
  if (r->store_ms <= 0 && r->code == LEASE_DONE)
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
  bool drawn = now >= o->patient_us;

  o->calling = false;
  if (o->stopped)
    return;
  if (r->exists && r->unreadable)
    take_unreadable (r);
  if (r->code == LEASE_DONE)
    {
      read_clock (o, r, now);
      if (r->exists)
        naming_learn (o->opts.fleet, &o->clock, &r->row);
      o->read_us = o->called_us;
    }
  if (!drawn)
    return;
  o->patient_us = now + PATIENCE_US / 4
                  + g_rand_int_range (o->rand, 0, (gint32)DRAW_MAX_US);
  if (r->code != LEASE_DONE)
    return;
  if (is_ours (o, r))
    o->row = r->row;
  else if (lease_is_free (row, o->holder, &o->clock, now))
    inherit (o, row);
  else
    {
      o->patient_us = now + wait_for (o, &r->row, now);
      return;
    }
  write_lease (o, r->exists ? r->version : 0, LEASE_KEEP, now);
}

static void
reach_for_lease (struct orders *o, int64_t now_us)
{
  bool doubt
      = now_us >= o->doubt_us && naming_in_doubt (o->opts.fleet, o->read_us);

  if (o->calling || (now_us < o->patient_us && !doubt))
    return;
  if (doubt)
    o->doubt_us = now_us + DOUBT_ASK_US / 2
                  + g_rand_int_range (o->rand, 0, (gint32)DOUBT_ASK_US);
  o->calling = true;
  o->called_us = now_us;
  o->opts.ops.read_lease (o->opts.ops.ctx, on_read, o);
}

static int
tasks_in_hand (const struct orders *o)
{
  const struct task *t;
  int n = 0;

  APR_RING_FOREACH (t, &o->tasks, task, link)
  n += t->phase != TASK_SKIPPED && !t->unanswered;
  return n;
}

/* A place is free for one more endpoint of the model. */
static bool
has_place (const struct orders *o, const char *model, int64_t now_us)
{
  return tasks_in_hand (o) < pick_reload_max (o->opts.fleet, model, now_us);
}

/* Its order may be sent again.  One that held no place needs one for that: if
   orders get through again, all endpoints would load at one moment. */
static bool
is_overdue (const struct task *t, int64_t now_us)
{
  return t->phase == TASK_LOADING && now_us - t->since_us > t->again_us
         && (!t->unanswered
             || has_place (t->orders, t->endpoint->listing.model, now_us));
}

/* An endpoint is to be ordered, now or again. */
static bool
has_to_order (const struct orders *o, int64_t now_us)
{
  const struct task *t;

  APR_RING_FOREACH (t, &o->tasks, task, link)
  {
    if (t->phase == TASK_IDLE || t->phase == TASK_ASKING
        || is_overdue (t, now_us))
      return true;
  }
  return false;
}

/* Renew in time, and notice the end. */
static void
keep_lease (struct orders *o, int64_t now_us)
{
  int64_t left = o->row.expires_ms - lease_latest_ms (&o->clock, now_us);

  if (left <= 0 && !o->calling)
    lose (o, "expired");
  else if (left < RENEW_LEFT_MS && !o->calling)
    /* With a slow store there may be no call but renewals. */
    write_lease (o, o->row_version,
                 has_to_order (o, now_us) ? LEASE_ORDER : LEASE_KEEP, now_us);
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
 * One without an answer may be carried out seconds later, and then counts: it
 * and the next have the same number.  Until it shows, its endpoint loads
 * nothing and must not keep others from loading: nine endpoints, two at a
 * time, took half a minute when most orders were unanswered, and callers got
 * nothing when the grace of old weights was over.
 */
static void
plan_again (struct task *t, enum order_code code)
{
  t->unanswered = code == ORDER_UNKNOWN;
  if (!t->unanswered)
    t->again_us = ORDER_MAX_US;
  else if (t->again_us == 0)
    t->again_us = UNANSWERED_US;
  else
    t->again_us = MIN (2 * t->again_us, ORDER_MAX_US);
}

/* Answers to orders and questions need not bear all notices that stand. */
static void
take_notice (struct task *t, const struct notice *notice, const char *source,
             int64_t sent_us, int64_t now_us)
{
  struct notice_origin from = { .source = source, .sent_us = sent_us };

  notice_apply (t->endpoint, notice, &from, now_us);
}

static void
on_ordered (void *arg, enum order_code code, const struct notice *notice)
{
  static const char *const names[] = {
    [ORDER_ACCEPTED] = "accepted", [ORDER_HOLDS] = "holds",
    [ORDER_BUSY] = "busy",         [ORDER_REJECTED] = "rejected",
    [ORDER_UNKNOWN] = "unknown",
  };
  struct task *t = arg;
  struct orders *o = t->orders;
  int64_t now = loop_now_us ();

  t->busy = false;
  if (notice != NULL)
    take_notice (t, notice, "order", t->since_us, now);
  log_event (LOG_LEVEL_INFO, "order",
             "endpoint=%s outcome=%s model=%s version=%" G_GINT64_FORMAT
             " seq=%" G_GINT64_FORMAT " fence=%" G_GINT64_FORMAT,
             t->endpoint->listing.id, names[code], t->order.model,
             (gint64)t->order.version, (gint64)t->order.seq,
             (gint64)t->order.fence);
  if (code == ORDER_HOLDS)
    fleet_apply_version (t->endpoint, t->order.version, t->since_us, now);
  if (code == ORDER_REJECTED)
    task_set (t, TASK_SKIPPED, now);
  else
    task_set (t, TASK_LOADING, now);
  plan_again (t, code);
  look (o, now);
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
   * Runs that go on are whole, and what they make is found by nobody else.
   * Waiting for them to end would hold the endpoint idle for longer than the
   * load itself takes.
   */
  t->order.runs_go_on = true;
  t->busy = true;
  t->unanswered = false;
  t->endpoint->reload_ordered_us = now_us;
  task_set (t, TASK_SENDING, now_us);
  o->opts.ops.order (o->opts.ops.ctx, t->endpoint, &t->order, may_send,
                     on_ordered, t);
}

/*
 * Whether the life that answered is the one that the task is about.  A younger
 * one counts its orders anew, and what was ordered before may fit its count:
 * it gets a task of its own, that begins with a question.  An older one is
 * over.  A report that says no start comes from whoever is at the address now,
 * and an order names the count that this one gave, so it is carried out there
 * or refused.
 */
static bool
is_same_life (struct task *t, const struct endpoint_state *s, int64_t now_us)
{
  struct fleet_endpoint *e = t->endpoint;
  enum fleet_incarnation life = fleet_incarnation_compare (e, s->born_ms);

  if (e->removed || life == FLEET_INCARNATION_SAME
      || life == FLEET_INCARNATION_UNKNOWN)
    return !e->removed;
  log_event (LOG_LEVEL_INFO, "endpoint",
             "endpoint=%s outcome=%s source=report born_ms=%" G_GINT64_FORMAT
             " before_ms=%" G_GINT64_FORMAT,
             e->listing.id,
             life == FLEET_INCARNATION_NEWER ? "started_again" : "passed_over",
             (gint64)s->born_ms, (gint64)e->listing.started_ms);
  if (life == FLEET_INCARNATION_NEWER)
    fleet_apply_restart (t->orders->opts.fleet, e, s->born_ms, now_us);
  return false;
}

static void
take_version (struct task *t, const struct endpoint_state *s, int64_t now_us)
{
  struct fleet_endpoint *e = t->endpoint;
  int64_t before = e->version;

  if (s->busy)
    return;
  fleet_apply_version (e, s->version, t->asked_us - STATE_OLD_US, now_us);
  if (e->version == before)
    return;
  log_event (
      LOG_LEVEL_INFO, e->version > before ? "loaded" : "weights_fell",
      "endpoint=%s version=%" G_GINT64_FORMAT " before=%" G_GINT64_FORMAT
      " took_us=%" G_GINT64_FORMAT,
      e->listing.id, (gint64)e->version, (gint64)before,
      (gint64)(e->reload_ordered_us ? now_us - e->reload_ordered_us : 0));
}

/* What the endpoint says decides: an order is sent only where none is being
   carried out and the version is still old. */
static void
on_state (void *arg, const struct endpoint_state *s)
{
  struct task *t = arg;
  struct orders *o = t->orders;
  int64_t now = loop_now_us ();

  t->busy = false;
  if (!s->reached)
    {
      take_notice (t, &s->notice, "report", t->asked_us, now);
      if (t->phase == TASK_ASKING)
        task_set (t, TASK_SKIPPED, now);
      return;
    }
  if (!is_same_life (t, s, now))
    {
      if (t->endpoint->removed)
        loop_arm (o->opts.loop, &o->timer, now);
      return;
    }
  take_version (t, s, now);
  take_notice (t, &s->notice, "report", t->asked_us, now);
  if (!needs_order (o, t->endpoint))
    look (o, now);
  else if (t->phase == TASK_LOADING && !s->busy
           && s->version >= t->order.version)
    {
      /* A newer version was named meanwhile: others with older weights may
         go first now, and this one must not hold a place until then. */
      task_set (t, TASK_DONE, now);
      loop_arm (o->opts.loop, &o->timer, now);
    }
  else if (s->busy)
    {
      task_set (t, TASK_LOADING, now);
      t->unanswered = false;
      t->again_us = ORDER_MAX_US;
    }
  else if (s->version < wanted_version (o, t->endpoint) && may_order (o, now)
           && (t->phase == TASK_ASKING || is_overdue (t, now)))
    send_order (t, s->seq, now);
}

static void
ask_state (struct task *t, int64_t now_us)
{
  struct orders *o = t->orders;

  t->busy = true;
  t->asked_us = now_us;
  o->opts.ops.state (o->opts.ops.ctx, t->endpoint, on_state, t);
}

static void
step_task (struct task *t, int64_t now_us)
{
  if (t->busy)
    return;
  switch (t->phase)
    {
    case TASK_IDLE:
      task_set (t, TASK_ASKING, now_us);
      ask_state (t, now_us);
      break;
    case TASK_ASKING:
    case TASK_LOADING:
      if (now_us - t->asked_us >= ASK_US)
        ask_state (t, now_us);
      break;
    case TASK_SKIPPED:
      if (now_us - t->since_us >= SKIP_US)
        task_set (t, TASK_IDLE, now_us);
      break;
    case TASK_SENDING:
    case TASK_DONE:
      break;
    }
}

static struct task *
task_of (struct orders *o, const struct fleet_endpoint *e)
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
      if (!t->busy && (t->phase == TASK_DONE || !needs_order (o, t->endpoint)))
        task_free (t);
    }
}

/* The endpoint whose turn is next, by the order that all VMs know. */
static struct fleet_endpoint *
next_endpoint (struct orders *o)
{
  struct fleet_endpoint *e, *best = NULL;

  APR_RING_FOREACH (e, &o->opts.fleet->endpoints, fleet_endpoint, link)
  {
    if (needs_order (o, e) && task_of (o, e) == NULL
        && (best == NULL || pick_reload_before (e, best)))
      best = e;
  }
  return best;
}

static void
fill (struct orders *o, int64_t now_us)
{
  struct fleet_endpoint *e;
  struct task *t;

  while (o->ntasks < MAX_TASKS && (e = next_endpoint (o)) != NULL
         && has_place (o, e->listing.model, now_us))
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
  fill (o, now_us);
  if (has_to_order (o, now_us) && !may_order (o, now_us) && !o->calling)
    {
      /* The answer brings the next look. */
      write_lease (o, o->row_version, LEASE_ORDER, now_us);
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

/* --- looks ----------------------------------------------------------- */

/* A VM without the lease waits: at first a drawn pause, then as long as it
   sees endpoints change. */
static void
be_patient (struct orders *o, guint old, int64_t now_us)
{
  if (old > o->old)
    o->patient_us
        = now_us + g_rand_int_range (o->rand, 0, (gint32)DRAW_MAX_US);
  else if (old < o->old)
    o->patient_us = now_us + PATIENCE_US
                    + g_rand_int_range (o->rand, 0, (gint32)DRAW_MAX_US);
  o->old = old;
}

static void
look (struct orders *o, int64_t now_us)
{
  guint old = count_old (o);

  be_patient (o, old, now_us);
  if (o->stopped)
    return;
  if (old == 0)
    {
      drop_finished (o);
      if (o->held && !o->calling && o->ntasks == 0)
        {
          o->held = false;
          log_event (LOG_LEVEL_INFO, "lease", "holder=%s outcome=released",
                     o->holder);
          write_lease (o, o->row_version, LEASE_RELEASE, now_us);
        }
      if (!o->held && o->ntasks == 0)
        return;
    }
  else if (o->held)
    keep_lease (o, now_us);
  else
    reach_for_lease (o, now_us);
  step_tasks (o, now_us);
  loop_arm (o->opts.loop, &o->timer, now_us + LOOK_US);
}

static void
on_timer (void *arg, int64_t now_us)
{
  look (arg, now_us);
}

void
orders_look (struct orders *o, int64_t now_us)
{
  look (o, now_us);
}

/* --- life ------------------------------------------------------------ */

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
  /* A successor then need not wait for the lease to end. */
  if (o->held && !o->calling)
    write_lease (o, o->row_version, LEASE_RELEASE, now);
  o->held = false;
}

bool
orders_held (const struct orders *o)
{
  return o->held;
}

int
orders_waiting (const struct orders *o)
{
  const struct task *t;
  int n = o->calling;

  APR_RING_FOREACH (t, &o->tasks, task, link)
  n += t->busy;
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
