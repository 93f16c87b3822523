/* The store of a model check: one row with its version, and announcements. */
#include <string.h>

#include "modelworld.h"

#define START_MS 100000        /* start of a run by the store's clock */
#define CALL_US (4 * MS)       /* duration of a call and its answer */
#define SLOW_US (400 * MS)     /* the same with a slow store */
#define TIMEOUT_US (1000 * MS) /* how long a VM waits for an answer */
/* When a write without an answer is done. */
#define LATE_WRITE_US (2500 * MS)
#define POLL_ANSWER_US (500 * MS) /* how much longer than a poll's wait */

/* --- the row --------------------------------------------------------- */

static int64_t
clock_ms (int vm)
{
  return world.now_us / MS + (world_is_off (OFF_STORE_CLOCK) ? vm * 1500 : 0);
}

static void
answer_lease (struct event *e)
{
  e->lease (e->arg, &e->reply);
}

/* The row as it is in the store now. */
static void
fill_reply (struct lease_reply *r, int vm)
{
  r->code = LEASE_OK;
  r->exists = world.row_version > 0;
  r->row = world.row;
  r->version = world.row_version;
  r->store_ms = clock_ms (vm);
  r->era = world_is_off (OFF_ERA) ? 0 : world.era;
  if (world_is_off (OFF_ERA_ROW))
    r->row.era = r->era;
  if (world_is_off (OFF_UNTIL))
    r->row.order_until_ms = 0;
  if (world_is_off (OFF_BEGIN))
    r->row.begin_ms = 0;
  if (world_is_off (OFF_ROW_TIMES))
    r->row.nannouncements = 0;
}

static struct event *
answer_after (struct vm *v, int64_t after_us, lease_done done, void *arg)
{
  struct event *e = world_at (world.now_us + after_us, v->index, answer_lease);

  e->lease = done;
  e->arg = arg;
  return e;
}

static void
no_reply (struct event *e, enum lease_code code, int64_t after_us)
{
  memset (&e->reply, 0, sizeof e->reply);
  e->reply.code = code;
  e->at_us = world.now_us + after_us;
}

enum read_way
{
  READ_REFUSED = WORLD_SEND_WAYS, /* not done */
  READ_LOST,                      /* no answer */
  READ_SLOW,                      /* done, answered late */
  READ_WAYS
};

static void
read_lease (void *ctx, lease_done done, void *arg)
{
  struct vm *v = ctx;
  int way = world_fault (v, READ_WAYS);
  struct event *e;

  if (!world_send_call (v, way < WORLD_SEND_WAYS ? way : 0))
    return;
  e = answer_after (v, CALL_US, done, arg);
  fill_reply (&e->reply, v->index);
  if (way == READ_REFUSED)
    no_reply (e, LEASE_REFUSED, CALL_US);
  else if (way == READ_LOST)
    no_reply (e, LEASE_UNKNOWN, TIMEOUT_US);
  else if (way == READ_SLOW)
    e->at_us = world.now_us + SLOW_US;
}

static bool
write_row (const struct lease_row *row, int64_t expected)
{
  if (expected != world.row_version && !world_is_off (OFF_PRECONDITION))
    return false;
  model_note ("%5d the row is written for %c: expires %d, begin %d, orders "
              "until %d%s\n",
              world_ms (), row->holder[0], (int)(row->expires_ms - START_MS),
              (int)MAX (row->begin_ms - START_MS, 0),
              (int)MAX (row->order_until_ms - START_MS, 0),
              row->released ? ", released" : "");
  world.row = *row;
  world.row_version = ++world.changes;
  return true;
}

static void
write_late (struct event *e)
{
  write_row (&e->row, e->expected);
}

enum write_way
{
  WRITE_REFUSED = WORLD_SEND_WAYS, /* not done */
  WRITE_LOST,                      /* not done, no answer */
  WRITE_ANSWER_LOST,               /* done, no answer */
  WRITE_LATE,                      /* done later if it still can be */
  WRITE_SLOW,                      /* done, answered late */
  WRITE_WAYS
};

static void
no_answer (struct event *e, enum lease_code code, int64_t after_us)
{
  no_reply (e, code, after_us);
  /* Safeguard off: a write that may have been done counts for its writer. */
  if (world_is_off (OFF_ACKNOWLEDGED))
    {
      fill_reply (&e->reply, e->vm);
      e->at_us = world.now_us + CALL_US;
    }
}

static void
write_lease (void *ctx, const struct lease_row *row, int64_t expected,
             lease_done done, void *arg)
{
  static const char *const names[]
      = { "refused", "lost", "done, its answer lost", "done late",
          "answered late" };
  struct vm *v = ctx;
  int way = world_fault (v, WRITE_WAYS);
  struct event *e, *late;

  if (way >= WORLD_SEND_WAYS)
    model_note ("%5d vm %c's write is %s\n", world_ms (), 'a' + v->index,
                names[way - WORLD_SEND_WAYS]);
  if (!world_send_call (v, way < WORLD_SEND_WAYS ? way : 0))
    return;
  e = answer_after (v, way == WRITE_SLOW ? SLOW_US : CALL_US, done, arg);
  if (way == WRITE_REFUSED)
    no_answer (e, LEASE_REFUSED, CALL_US);
  else if (way == WRITE_LOST || way == WRITE_LATE)
    no_answer (e, LEASE_UNKNOWN, TIMEOUT_US);
  else
    {
      bool done_now = write_row (row, expected);

      fill_reply (&e->reply, v->index);
      e->reply.code = done_now ? LEASE_OK : LEASE_CONFLICT;
      if (way == WRITE_ANSWER_LOST)
        no_answer (e, LEASE_UNKNOWN, TIMEOUT_US);
    }
  if (way != WRITE_LATE)
    return;
  late = world_at (world.now_us + LATE_WRITE_US, -1, write_late);
  late->row = *row;
  late->expected = expected;
}

static void
keep_copy (struct event *e)
{
  (void)e;
  world.copy_row = world.row;
  world.copy_row_version = world.row_version;
  world.copy_changes = world.changes;
}

static void
see_era (struct event *e)
{
  orders_observe_era (world.vms[e->vm].orders, e->expected, world.now_us);
}

static void
restore_copy (struct event *e)
{
  int i;

  (void)e;
  model_note ("%5d the store is restored from a copy\n", world_ms ());
  world.row = world.copy_row;
  world.row_version = world.copy_row_version;
  world.changes = world.copy_changes;
  world.era++;
  for (i = 0; i < WORLD_VMS && !world_is_off (OFF_ERA); i++)
    if (world.vms[i].up)
      world_at (world.now_us + CALL_US, i, see_era)->expected = world.era;
}

void
world_restore (int64_t copy_us, int64_t restore_us)
{
  world_at (copy_us, -1, keep_copy);
  world_at (restore_us, -1, restore_copy);
}

void
world_lease_ops (struct orders_ops *ops)
{
  ops->read_lease = read_lease;
  ops->write_lease = write_lease;
}

/* --- announcements --------------------------------------------------- */

/* Adds the newest announcement if the VM does not have it yet. */
static void
append_announcement (const struct event *e, GArray *items)
{
  struct follow_item it = { .kind = FOLLOW_ITEM_WEIGHTS };
  const struct world_announcement *last;

  if (e->announcement < 0)
    return;
  last = &world.announcements[e->announcement];
  if (last->change <= e->after)
    return;
  it.row = last->change;
  it.version = last->version;
  g_strlcpy (it.model, "m", sizeof it.model);
  g_array_append_val (items, it);
}

static void
add_endpoints (GArray *items)
{
  struct follow_item it = { .kind = FOLLOW_ITEM_ENDPOINT };
  int i;

  for (i = 0; i < world.nendpoints; i++)
    {
      world_list (i, &it.listing);
      g_array_append_val (items, it);
    }
}

static void
answer_poll (struct event *e)
{
  struct follow_reply n = { .status = FOLLOW_NO_REPLY };
  g_autoptr (GArray) items
      = g_array_new (FALSE, TRUE, sizeof (struct follow_item));

  n.items = items;
  if (e->reply.code == LEASE_OK)
    {
      n.status = FOLLOW_OK;
      n.version = e->reply.version;
      n.store_ms = e->reply.store_ms;
      n.received_us = world.now_us;
      if (e->source == FOLLOW_OPERATOR)
        append_announcement (e, items);
      else if (e->after < 0)
        add_endpoints (items);
    }
  e->news (e->arg, &n);
}

/* Schedules an answer with the store's current contents. */
static void
schedule_answer (struct event *e, int64_t late_us)
{
  struct event *a = world_at (world.now_us + CALL_US / 2 + late_us,
                              e->is.running, answer_poll);

  a->incarnation = e->incarnation;
  a->news = e->news;
  a->arg = e->arg;
  a->source = e->source;
  a->after = e->after;
  a->reply.code = LEASE_OK;
  a->reply.version = world.changes;
  a->reply.store_ms = world.now_us / MS;
  a->announcement = world.nannouncements - 1;
}

/* A poll ended, by its wait or by an announcement. */
static void
end_poll (struct event *e)
{
  schedule_answer (e, e->late_us);
}

static bool
is_poll_ready (const struct event *e)
{
  return e->source == FOLLOW_OPERATOR && world.nannouncements > 0
         && world.announcements[world.nannouncements - 1].change > e->after;
}

void
world_wake_polls (void)
{
  struct event *e;
  guint i;

  for (i = 0; i < world.events->len; i++)
    {
      e = world.events->pdata[i];
      if (e->run == end_poll && is_poll_ready (e))
        e->at_us = MAX (MIN (e->at_us, world.now_us), e->came_us);
    }
}

enum poll_way
{
  POLL_LOST = 1, /* its answer */
  POLL_LATE,     /* its answer comes late */
  POLL_WAYS
};

static void
start_poll (struct vm *v, enum follow_source source, int64_t after,
            int64_t wait_us, follow_done done, void *arg)
{
  int way = source == FOLLOW_OPERATOR ? world_fault (v, POLL_WAYS) : 0;
  struct event *e;

  if (v->dying)
    return;
  if (way == POLL_LOST)
    {
      model_note ("%5d vm %c: the answer to a poll is lost\n", world_ms (),
                  'a' + v->index);
      e = world_at (world.now_us + wait_us + POLL_ANSWER_US, v->index,
                    answer_poll);
      e->reply.code = LEASE_UNKNOWN;
    }
  else
    {
      e = world_at (world.now_us + CALL_US / 2 + wait_us, -1, end_poll);
      e->is.running = v->index;
      e->incarnation = v->incarnation;
      e->came_us = world.now_us + CALL_US / 2;
      e->late_us = way == POLL_LATE ? SLOW_US : 0;
    }
  e->news = done;
  e->arg = arg;
  e->source = source;
  e->after = after;
  world_wake_polls ();
}

static void
read_all (void *ctx, enum follow_source source,
          const struct follow_limits *limits, follow_done done, void *arg)
{
  (void)limits;
  start_poll (ctx, source, -1, 0, done, arg);
}

static void
changes (void *ctx, enum follow_source source, int64_t version,
         int64_t wait_us, const struct follow_limits *limits, follow_done done,
         void *arg)
{
  (void)limits;
  start_poll (ctx, source, version, wait_us, done, arg);
}

void
world_follow_ops (struct follow_ops *ops)
{
  ops->read = read_all;
  ops->changes = changes;
}
