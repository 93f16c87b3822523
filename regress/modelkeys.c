/*
 * Model check of keys, and of evacuations: how long a key that was taken away
 * opens something, and a domain that is evacuated gets something.
 *
 * A VM follows the operator's table with the real follow, and asks before each
 * first byte as requests that are passed on do.  Answers are lost, given late
 * or on their way for long; the VM stands still before a call and after it;
 * the key is taken away at any moment.  No byte may leave later than the bound
 * after that.  Where nothing goes wrong, knowledge is never too old.
 */
#include <string.h>

#include "librelay.h"
#include "modelworld.h"

/* Shorter than the usual five seconds, so that three lost calls reach it. */
#define DOMAIN "east" /* that is evacuated */
#define BOUND_US (4500 * MS)
#define MARGIN_US (300 * MS)  /* as entry.c has it */
#define BYTE_US (250 * MS)    /* from the last look to the first byte */
#define HELD_US (600 * MS)    /* a request waits in the VM */
#define REQUEST_US (100 * MS) /* between requests */
#define TRAVEL_US (2 * MS)    /* of a call, one way */
#define READ_LATE_US (800 * MS)
#define POLL_LATE_US (400 * MS)
#define POLL_SILENT_US (500 * MS) /* over a poll's wait */
#define SETTLED_US (3000 * MS)    /* before the key may be taken away */
#define RUN_US (9000 * MS)

/* Safeguards that a case may switch off, and what it may add. */
enum keys_off
{
  OFF_AGE = 1,       /* knowledge that is too old opens nothing */
  OFF_GIVEN = 2,     /* it is as old as its answer, not as its arrival */
  OFF_LOOK = 4,      /* it is looked at again before the first byte */
  OFF_MARGIN = 8,    /* that look is early enough for the byte to leave */
  WITH_JUMPS = 1024, /* the platform's clock may jump */
  EVACUATION = 2048  /* a domain is evacuated, and no key is taken away */
};

/* A call of the VM at the store. */
enum keys_way
{
  CALL_LOST = 1,    /* its answer */
  CALL_HELD,        /* it is answered late */
  CALL_ON_WAY,      /* its answer is on its way for long */
  CALL_AFTER_SHORT, /* the VM stands still before it leaves */
  CALL_AFTER_LONG,  /* likewise */
  CALL_THEN_FREEZE, /* the VM stands still once it has left */
  CALL_WAYS
};

static int64_t revoked_us;       /* the key is taken away then */
static int64_t jump_us;          /* the platform's clock is ahead by so much */
static bool faulty;              /* something went wrong in this run */
static struct relays relays;     /* of the VM */
static struct fleet_route keyed; /* a route that wants a key */
static struct fleet_workspace holder; /* of both keys */

/* --- the store ------------------------------------------------------- */

static bool
is_revoked (int64_t at_us)
{
  return at_us >= revoked_us;
}

static struct fleet_conf *
make_conf (bool revoked)
{
  struct fleet_conf *c = fleet_conf_new ();

  c->version = revoked ? 2 : 1;
  g_hash_table_insert (c->keys, g_strdup ("k1"), &holder);
  if (!revoked)
    g_hash_table_insert (c->keys, g_strdup ("k2"), &holder);
  fleet_conf_build_index (c);
  return c;
}

/* Version 2 of what the operator says. */
static struct news_item
second_item (void)
{
  struct news_item it = { .kind = NEWS_CONF, .row = 2 };

  if (world_is_off (EVACUATION))
    {
      it.kind = NEWS_EVACUATION;
      g_strlcpy (it.domain, DOMAIN, sizeof it.domain);
    }
  else
    it.conf = make_conf (true);
  return it;
}

/* The answer as it was given: all that is newer than was asked for. */
static void
tell (struct event *e)
{
  struct news_item it = { .kind = NEWS_CONF, .row = 1 };
  g_autoptr (GArray) items = g_array_new (FALSE, TRUE, sizeof it);
  struct news n
      = { .code = e->reply.code == LEASE_DONE ? NEWS_OK : NEWS_SILENT };

  n.version = e->reply.version;
  n.store_ms = e->reply.store_ms;
  n.came_us = world.now_us;
  n.items = items;
  if (n.code == NEWS_OK && e->after < 1)
    {
      it.conf = make_conf (false);
      g_array_append_val (items, it);
    }
  if (n.code == NEWS_OK && e->after < 2 && n.version == 2)
    {
      it = second_item ();
      g_array_append_val (items, it);
    }
  e->news (e->arg, &n);
}

static void
give (struct event *e)
{
  struct event *a = world_at (world.now_us + e->late_us, 0, tell);

  a->news = e->news;
  a->arg = e->arg;
  a->after = e->after;
  a->reply.version = is_revoked (world.now_us) ? 2 : 1;
  a->reply.store_ms = (world.now_us + jump_us) / MS;
}

static int64_t
answered_at (int64_t after, int64_t wait_us)
{
  int64_t came = world.now_us + TRAVEL_US;

  if (after < 2 && wait_us > 0 && revoked_us < came + wait_us)
    return MAX (came, revoked_us);
  return came + wait_us;
}

static void
freeze (int way)
{
  struct vm *v = &world.vms[0];

  if (way == CALL_AFTER_SHORT || way == CALL_AFTER_LONG)
    world_leaves (v, way == CALL_AFTER_SHORT ? 1 : 2);
  else if (way == CALL_THEN_FREEZE)
    world_leaves (v, 4);
}

static void
call (enum follow_source source, int64_t after, int64_t wait_us,
      int64_t timeout_us, news_done done, void *arg)
{
  static const char *const names[] = { "well",
                                       "its answer lost",
                                       "held",
                                       "its answer on its way",
                                       "left after a short freeze",
                                       "left after a long freeze",
                                       "a freeze after it" };
  int way = source == FOLLOW_OPERATOR ? model_fault (CALL_WAYS) : 0;
  struct event *e;

  faulty |= way > 0;
  if (way > 0)
    model_note ("%5d a call: %s\n", world_ms (), names[way]);
  freeze (way);
  if (way == CALL_LOST)
    {
      e = world_at (world.now_us + timeout_us, 0, tell);
      e->reply.code = LEASE_UNKNOWN;
    }
  else
    {
      int64_t late = wait_us > 0 ? POLL_LATE_US : READ_LATE_US;

      e = world_at (answered_at (after, wait_us), -1, give);
      if (way == CALL_HELD)
        e->at_us += late;
      e->late_us = way == CALL_ON_WAY ? late : TRAVEL_US;
    }
  e->news = done;
  e->arg = arg;
  /* The list of endpoints holds no configuration. */
  e->after = source == FOLLOW_OPERATOR ? after : 2;
}

static void
read_all (void *ctx, enum follow_source source,
          const struct follow_limits *limits, news_done done, void *arg)
{
  (void)ctx;
  call (source, 0, 0, limits->first_us, done, arg);
}

static void
changes (void *ctx, enum follow_source source, int64_t version,
         int64_t wait_us, const struct follow_limits *limits, news_done done,
         void *arg)
{
  (void)ctx;
  call (source, version, wait_us, limits->first_us, done, arg);
}

/* --- requests -------------------------------------------------------- */

static bool
opens (void)
{
  struct fleet *f = &world.vms[0].fleet;
  struct relay r = { .rs = &relays, .route = &keyed };

  r.desc.key = "k2";
  if (f->conf == NULL)
    return false;
  if (!faulty && relay_is_stale (&r, world.now_us))
    model_fail ("knowledge too old though all went well", 0);
  return !relay_is_stale (&r, world.now_us) && !relay_key_is_gone (&r)
         && !fleet_is_evacuated (f, DOMAIN);
}

/* Just before the first byte. */
static void
send_on (struct event *e)
{
  (void)e;
  if (world_is_off (OFF_LOOK) || opens ())
    {
      int64_t late = world.now_us + BYTE_US - revoked_us - BOUND_US;

      if (late > 0)
        model_fail (world_is_off (EVACUATION)
                        ? "an evacuated domain gets a request"
                        : "a key opens what it must not",
                    late / MS);
    }
}

static void
arrive (struct event *e)
{
  (void)e;
  if (opens ())
    world_at (world.now_us + HELD_US, 0, send_on);
  world_at (world.now_us + REQUEST_US, 0, arrive);
}

/* --- runs ------------------------------------------------------------ */

static void
changed (void *arg, int64_t now_us)
{
  struct vm *v = arg;

  if (world_is_off (OFF_GIVEN))
    v->fleet.conf_current_us = now_us;
}

static void
start (struct vm *v)
{
  struct follow_opts o = { .loop = &v->loop, .fleet = &v->fleet, .seed = 7 };

  v->up = true;
  fleet_init (&v->fleet);
  o.ops.read = read_all;
  o.ops.changes = changes;
  o.ops.ctx = v;
  o.changed = changed;
  o.arg = v;
  /* Polls wait their longest. */
  o.current_us = 3000 * MS;
  v->follow = follow_new (&o);
  relays.opts.fleet = &v->fleet;
  relays.opts.stale_us = BOUND_US - MARGIN_US;
  if (world_is_off (OFF_MARGIN))
    relays.opts.stale_us = BOUND_US;
  if (world_is_off (OFF_AGE))
    relays.opts.stale_us = 1000 * BOUND_US;
  follow_start (v->follow);
  world_at (world.now_us, 0, arrive);
}

static void
end (struct vm *v)
{
  v->up = false;
  while (!APR_RING_EMPTY (&v->loop.timers, loop_timer, link))
    loop_disarm (APR_RING_FIRST (&v->loop.timers));
  follow_free (v->follow);
  fleet_clear (&v->fleet);
  world_end ();
}

static void
jump (struct event *e)
{
  jump_us += e->late_us;
  model_note ("%5d the platform's clock jumps by %d ms\n", world_ms (),
              (int)(e->late_us / MS));
}

static void
plan_jump (void)
{
  static const int64_t sizes_us[]
      = { 0, 200 * MS, 700 * MS, 10000 * MS, -700 * MS, -10000 * MS };
  int size = world_is_off (WITH_JUMPS) ? model_fault (6) : 0;

  if (size == 0)
    return;
  faulty = true;
  world_at (world.now_us + SETTLED_US + (int64_t)model_pick (8) * (500 * MS),
            -1, jump)
      ->late_us
      = sizes_us[size];
}

static void
run (const struct model_case *model)
{
  world_begin (model, true);
  faulty = false;
  jump_us = 0;
  revoked_us
      = world.now_us + SETTLED_US + (int64_t)model_pick (24) * (100 * MS) + 1;
  plan_jump ();
  start (&world.vms[0]);
  world_run (revoked_us + RUN_US);
  end (&world.vms[0]);
}

const struct model_case model_keys_cases[] = {
  { "nothing", run, 0, 2, 1 },
  { "nothing, and the platform's clock jumps", run, WITH_JUMPS, 2, 1 },
  { "knowledge that is too old opens nothing", run, OFF_AGE, 2, 1 },
  { "it is as old as its answer, not its arrival", run, OFF_GIVEN, 2, 1 },
  { "a look at it before the first byte", run, OFF_LOOK, 2, 1 },
  { "a margin for that byte to leave", run, OFF_MARGIN, 3, 1 },
  { "nothing, and a domain is evacuated", run, EVACUATION, 2, 1 },
  { "likewise, knowledge that is too old opens nothing", run,
    EVACUATION | OFF_AGE, 2, 1 },
  { "likewise, it is as old as its answer", run, EVACUATION | OFF_GIVEN, 2,
    1 },
  { "likewise, a look at it before the first byte", run, EVACUATION | OFF_LOOK,
    2, 1 },
  { NULL, NULL, 0, 0, 0 },
};
