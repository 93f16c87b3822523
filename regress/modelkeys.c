/*
 * Model check of keys and of evacuations: how long a revoked key is still
 * accepted, and a domain that is evacuated still gets requests.
 *
 * A VM follows the operator's table with the real follow module, and checks
 * before each first byte as relayed requests do.  Answers are lost, given late
 * or delayed in the network; the VM is frozen before a call and after it; the
 * key is revoked at any moment.  No byte may leave later than the bound after
 * that.  Without faults, the VM's settings are never too old.
 */
#include <string.h>

#include "librelay.h"
#include "modelworld.h"

/* Shorter than the usual five seconds, so that three lost calls reach it. */
#define DOMAIN "east" /* domain that is evacuated */
#define BOUND_US (4500 * MS)
#define MARGIN_US (300 * MS)  /* as entry.c has it */
#define BYTE_US (250 * MS)    /* from the last check to the first byte */
#define HELD_US (600 * MS)    /* how long a request waits in the VM */
#define REQUEST_US (100 * MS) /* between requests */
#define TRAVEL_US (2 * MS)    /* duration of a call, one way */
#define READ_LATE_US (800 * MS)
#define POLL_LATE_US (400 * MS)
#define POLL_SILENT_US (500 * MS) /* how much longer than a poll's wait */
#define SETTLED_US (3000 * MS)    /* before the key may be revoked */
#define RUN_US (9000 * MS)

/* Safeguards that a case may switch off, and what it may add. */
enum keys_off
{
  OFF_AGE = 1,         /* settings that are too old admit nothing */
  OFF_ANSWER_TIME = 2, /* their age counts from the answer */
  OFF_RECHECK = 4,     /* the age is checked again before the first byte */
  OFF_MARGIN = 8,    /* that check leaves enough time for the byte to leave */
  WITH_JUMPS = 1024, /* the platform's clock may jump */
  EVACUATION = 2048  /* a domain is evacuated, and no key is revoked */
};

/* What may happen to a call of the VM to the store. */
enum keys_way
{
  CALL_LOST = 1,    /* the answer is lost */
  CALL_HELD,        /* it is answered late */
  CALL_ON_WAY,      /* its answer is delayed in the network */
  CALL_AFTER_SHORT, /* the VM is frozen for a short time before the call is
                       sent */
  CALL_AFTER_LONG,  /* the VM is frozen for a long time before the call is sent
                     */
  CALL_THEN_FREEZE, /* the VM is frozen after the call was sent */
  CALL_WAYS
};

static int64_t revoked_us;       /* when the key is revoked */
static int64_t jump_us;          /* how far the platform's clock is ahead */
static bool faulty;              /* a fault occurred in this run */
static struct relays relays;     /* relays of the VM */
static struct fleet_route keyed; /* a route that requires a key */
static char holder_name[] = "ws";
static struct fleet_workspace holder
    = { .name = holder_name }; /* workspace of both keys */

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
  c->requires_keys = true;
  g_hash_table_insert (c->keys, g_strdup ("k1"), &holder);
  if (!revoked)
    g_hash_table_insert (c->keys, g_strdup ("k2"), &holder);
  fleet_conf_build_index (c);
  return c;
}

/* The item of version 2 of the operator's table. */
static struct follow_item
second_item (void)
{
  struct follow_item it = { .kind = FOLLOW_ITEM_CONF, .row = 2 };

  if (world_is_off (EVACUATION))
    {
      it.kind = FOLLOW_ITEM_EVACUATION;
      g_strlcpy (it.domain, DOMAIN, sizeof it.domain);
    }
  else
    it.conf = make_conf (true);
  return it;
}

/* Delivers an answer as it was given: everything newer than was asked for. */
static void
deliver_answer (struct event *e)
{
  struct follow_item it = { .kind = FOLLOW_ITEM_CONF, .row = 1 };
  g_autoptr (GArray) items = g_array_new (FALSE, TRUE, sizeof it);
  struct follow_reply n
      = { .status = e->reply.code == LEASE_OK ? FOLLOW_OK : FOLLOW_NO_REPLY };

  n.version = e->reply.version;
  n.store_ms = e->reply.store_ms;
  n.received_us = world.now_us;
  n.items = items;
  if (n.status == FOLLOW_OK && e->after < 1)
    {
      it.conf = make_conf (false);
      g_array_append_val (items, it);
    }
  if (n.status == FOLLOW_OK && e->after < 2 && n.version == 2)
    {
      it = second_item ();
      g_array_append_val (items, it);
    }
  e->news (e->arg, &n);
}

static void
schedule_answer (struct event *e)
{
  struct event *a = world_at (world.now_us + e->late_us, 0, deliver_answer);

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
    world_send_call (v, way == CALL_AFTER_SHORT ? 1 : 2);
  else if (way == CALL_THEN_FREEZE)
    world_send_call (v, 4);
}

static void
call (enum follow_source source, int64_t after, int64_t wait_us,
      int64_t timeout_us, follow_done done, void *arg)
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
      e = world_at (world.now_us + timeout_us, 0, deliver_answer);
      e->reply.code = LEASE_UNKNOWN;
    }
  else
    {
      int64_t late = wait_us > 0 ? POLL_LATE_US : READ_LATE_US;

      e = world_at (answered_at (after, wait_us), -1, schedule_answer);
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
          const struct follow_limits *limits, follow_done done, void *arg)
{
  (void)ctx;
  call (source, 0, 0, limits->first_byte_us, done, arg);
}

static void
changes (void *ctx, enum follow_source source, int64_t version,
         int64_t wait_us, const struct follow_limits *limits, follow_done done,
         void *arg)
{
  (void)ctx;
  call (source, version, wait_us, limits->first_byte_us, done, arg);
}

/* --- requests -------------------------------------------------------- */

static bool
is_admitted (void)
{
  struct fleet *f = &world.vms[0].fleet;
  struct relay r = { .rs = &relays, .route = &keyed, .workspace = &holder };

  r.desc.key = "k2";
  if (f->conf == NULL)
    return false;
  if (!faulty && relay_is_stale (&r, world.now_us))
    model_fail ("settings too old without a fault", 0);
  return !relay_is_stale (&r, world.now_us) && !relay_is_key_revoked (&r)
         && !fleet_is_evacuated (f, DOMAIN);
}

/* Just before the first byte. */
static void
send_on (struct event *e)
{
  (void)e;
  if (world_is_off (OFF_RECHECK) || is_admitted ())
    {
      int64_t late = world.now_us + BYTE_US - revoked_us - BOUND_US;

      if (late > 0)
        model_fail (world_is_off (EVACUATION)
                        ? "an evacuated domain gets a request"
                        : "a revoked key is accepted",
                    late / MS);
    }
}

static void
arrive (struct event *e)
{
  (void)e;
  if (is_admitted ())
    world_at (world.now_us + HELD_US, 0, send_on);
  world_at (world.now_us + REQUEST_US, 0, arrive);
}

/* --- runs ------------------------------------------------------------ */

static void
changed (void *arg, int64_t now_us)
{
  struct vm *v = arg;

  if (world_is_off (OFF_ANSWER_TIME))
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
  o.on_change = changed;
  o.arg = v;
  /* Polls wait for the maximum time. */
  o.max_age_us = 3000 * MS;
  v->follow = follow_new (&o);
  relays.opts.fleet = &v->fleet;
  relays.opts.key_max_age_us = BOUND_US - MARGIN_US;
  if (world_is_off (OFF_MARGIN))
    relays.opts.key_max_age_us = BOUND_US;
  if (world_is_off (OFF_AGE))
    relays.opts.key_max_age_us = 1000 * BOUND_US;
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
  { "settings that are too old admit nothing", run, OFF_AGE, 2, 1 },
  { "their age counts from the answer, not its arrival", run, OFF_ANSWER_TIME,
    2, 1 },
  { "a check before the first byte", run, OFF_RECHECK, 2, 1 },
  { "a margin for that byte to leave", run, OFF_MARGIN, 3, 1 },
  { "nothing, and a domain is evacuated", run, EVACUATION, 2, 1 },
  { "likewise, settings that are too old admit nothing", run,
    EVACUATION | OFF_AGE, 2, 1 },
  { "likewise, their age counts from the answer", run,
    EVACUATION | OFF_ANSWER_TIME, 2, 1 },
  { "likewise, a check before the first byte", run, EVACUATION | OFF_RECHECK,
    2, 1 },
  { NULL, NULL, 0, 0, 0 },
};
