/* The simulated environment of the model checks: time, VMs, endpoints. */
#include "modelworld.h"

#include <string.h>

#include "log.h"

#define UNREACHED_PERIOD_US (2600 * MS) /* of one VM */
#define UNREACHED_US (900 * MS)         /* of that it reaches no endpoint */
#define START_US (100 * CQ_US_PER_S)
#define SHORT_FREEZE_US                                                       \
  (700 * MS) /* shorter than a lease, longer than a window for orders */
#define LONG_FREEZE_US                                                        \
  (2600 * MS)              /* longer than a lease: a successor is active */
#define BACK_US (300 * MS) /* time until a VM that ended is back */
#define LOAD_US (300 * MS) /* duration of a load */
#define TRAVEL_US (1 * MS) /* duration of a call, one way */
#define LATE_ORDER_US (100 * MS) /* the same for an order, at worst */
#define LOST_ORDER_US                                                         \
  (2500 * MS) /* until an order without an answer is carried out */
#define RESTART_US                                                            \
  (40 * MS) /* time from an order until a restarted endpoint is up */
#define ENTRY_US (400 * MS) /* time until its entry shows the restart */

/* Of a fencing token without the store's era. */
#define VERSION_MASK ((INT64_C (1) << 40) - 1)

struct world world;

/* --- time, as the product queries it ---------------------------------- */

int64_t
loop_now_us (void)
{
  return world.now_us;
}

void
loop_disarm (struct loop_timer *t)
{
  if (t->armed)
    APR_RING_REMOVE (t, link);
  t->armed = false;
}

void
loop_arm (struct loop *l, struct loop_timer *t, int64_t due_us)
{
  loop_disarm (t);
  t->due_us = due_us;
  t->armed = true;
  APR_RING_INSERT_TAIL (&l->timers, t, loop_timer, link);
}

void
loop_post (struct loop *l, struct loop_msg *m)
{
  (void)l;
  (void)m;
}

void
log_event (enum log_level level, const char *event, const char *fmt, ...)
{
  (void)level;
  (void)event;
  (void)fmt;
}

int
world_ms (void)
{
  return (int)((world.now_us - START_US) / MS);
}

bool
world_is_off (unsigned safeguard)
{
  return (world.model->off & safeguard) != 0;
}

/* --- events ---------------------------------------------------------- */

struct event *
world_at (int64_t at_us, int vm, void (*run) (struct event *e))
{
  struct event *e = g_new0 (struct event, 1);

  e->at_us = at_us;
  e->number = world.numbers++;
  e->vm = vm;
  e->incarnation = vm >= 0 ? world.vms[vm].incarnation : 0;
  e->run = run;
  g_ptr_array_add (world.events, e);
  return e;
}

/* When the VM can process something that is due at AT_US. */
static int64_t
vm_time (const struct vm *v, int64_t at_us)
{
  return v->inside ? INT64_MAX : MAX (at_us, v->frozen_us);
}

static int64_t
event_time (const struct event *e)
{
  return e->vm < 0 ? e->at_us : vm_time (&world.vms[e->vm], e->at_us);
}

static struct event *
first_event (void)
{
  struct event *e, *first = NULL;
  int64_t at, best = INT64_MAX;
  guint i;

  for (i = 0; i < world.events->len; i++)
    {
      e = world.events->pdata[i];
      at = event_time (e);
      if (at < best
          || (at == best && first != NULL && e->number < first->number))
        {
          best = at;
          first = e;
        }
    }
  return first;
}

static struct loop_timer *
first_timer (struct vm **owner)
{
  struct loop_timer *t, *first = NULL;
  int64_t best = INT64_MAX;
  struct vm *v;
  int i;

  for (i = 0; i < WORLD_VMS; i++)
    {
      v = &world.vms[i];
      APR_RING_FOREACH (t, &v->loop.timers, loop_timer, link)
      {
        if (vm_time (v, t->due_us) < best)
          {
            best = vm_time (v, t->due_us);
            first = t;
            *owner = v;
          }
      }
    }
  return first;
}

static void
run_event (struct event *e)
{
  struct vm *v = e->vm >= 0 ? &world.vms[e->vm] : NULL;

  g_ptr_array_remove_fast (world.events, e);
  if (v == NULL || (v->up && !v->dying && v->incarnation == e->incarnation))
    e->run (e);
  g_free (e);
}

static void stop_vm (struct vm *v);

static void
after_step (void)
{
  int i;

  model_step ();
  for (i = 0; i < WORLD_VMS; i++)
    if (world.vms[i].dying && !world.vms[i].inside)
      stop_vm (&world.vms[i]);
  if (world.after != NULL)
    world.after ();
}

void
world_run (int64_t until_us)
{
  struct loop_timer *t;
  struct event *e;
  struct vm *v = NULL;
  int64_t event_at, timer_at;

  while (!model_has_failed ())
    {
      e = first_event ();
      t = first_timer (&v);
      event_at = e != NULL ? event_time (e) : INT64_MAX;
      timer_at = t != NULL ? vm_time (v, t->due_us) : INT64_MAX;
      if (MIN (event_at, timer_at) >= until_us)
        break;
      world.now_us = MAX (world.now_us, MIN (event_at, timer_at));
      if (event_at <= timer_at)
        run_event (e);
      else
        {
          loop_disarm (t);
          t->fire (t->arg, world.now_us);
        }
      after_step ();
    }
  world.now_us = MAX (world.now_us, until_us);
}

/* --- faults ---------------------------------------------------------- */

int
world_fault (const struct vm *v, int n)
{
  return v->dying || world.calm ? 0 : model_fault (n);
}

/* --- start and end of VMs -------------------------------------------- */

static void
freeze (struct vm *v, int64_t for_us)
{
  int64_t until = world.now_us + for_us;

  model_note ("%5d vm %c is frozen inside a step for %d ms\n", world_ms (),
              'a' + v->index, (int)(for_us / MS));
  world.nested++;
  v->inside = true;
  world_run (until);
  v->inside = false;
  world.nested--;
}

bool
world_send_call (struct vm *v, int way)
{
  if (v->dying)
    return false;
  /* Only one VM at a time is frozen inside a step, which delays only that VM.
   */
  if ((way == 1 || way == 2) && world.nested == 0)
    freeze (v, way == 1 ? SHORT_FREEZE_US : LONG_FREEZE_US);
  else if (way == 3)
    {
      world_kill (v, BACK_US);
      return false;
    }
  else if (way == 4)
    v->frozen_us = world.now_us + LONG_FREEZE_US;
  else if (way == 5)
    world_kill (v, BACK_US);
  if (way == 4 || way == 5)
    model_note ("%5d vm %c %s once a call has left\n", world_ms (),
                'a' + v->index, way == 4 ? "is frozen" : "ends");
  return true;
}

static void query_state (void *ctx, const struct fleet_endpoint *e,
                         state_done done, void *arg);
static void order (void *ctx, const struct fleet_endpoint *e,
                   const struct load_order *o, bool (*may_send) (void *arg),
                   order_done done, void *arg);

void
world_list (int endpoint, struct fleet_listing *l)
{
  l->id[0] = (char)('0' + endpoint);
  g_strlcpy (l->model, "m", sizeof l->model);
  l->version = world.endpoints[endpoint].version;
  l->started_ms = world.endpoints[endpoint].started_ms;
  l->slots = 4;
}

static void
list_endpoints (struct vm *v)
{
  struct fleet_listing l = { .slots = 0 };
  int i;

  for (i = 0; i < world.nendpoints; i++)
    {
      world_list (i, &l);
      fleet_apply_listing (&v->fleet, &l, world.now_us);
    }
}

static void
check_orders (void *arg, int64_t now_us)
{
  struct vm *v = arg;

  orders_check (v->orders, now_us);
}

/* Seed of random delays; differs for each incarnation. */
static uint64_t
seed_of (const struct vm *v)
{
  return (uint64_t)v->index * 10 + (uint64_t)v->incarnation;
}

/* Calls to endpoints pass nevertheless: orders that are under way while the
   lease is released must not come too late. */
static bool
can_reach (void *arg, const char *service)
{
  const struct vm *v = arg;
  int64_t at_us = world.now_us + v->index * (UNREACHED_PERIOD_US / 2);

  (void)service;
  return !world.unreached || at_us % UNREACHED_PERIOD_US >= UNREACHED_US;
}

static void
make_orders (struct vm *v)
{
  struct orders_opts o = { .loop = &v->loop, .fleet = &v->fleet };
  static const char *const names[WORLD_VMS] = { "a", "b", "c" };

  world_lease_ops (&o.ops);
  o.ops.query_state = query_state;
  o.ops.send_order = order;
  o.ops.ctx = v;
  o.can_reach = can_reach;
  o.arg = v;
  o.vm = names[world_is_off (OFF_SAME_VM) ? 0 : v->index];
  o.holder_gap_us = world_is_off (OFF_GAP) ? 0 : (WORLD_LEASE_MS + 150) * MS;
  o.seed = seed_of (v);
  v->orders = orders_new (&o);
}

static void
make_follow (struct vm *v)
{
  struct follow_opts o = { .loop = &v->loop, .fleet = &v->fleet };

  world_follow_ops (&o.ops);
  o.ops.ctx = v;
  o.on_change = check_orders;
  o.arg = v;
  /* Polls wait for the maximum time. */
  o.max_age_us = 3000 * MS;
  o.seed = seed_of (v);
  v->follow = follow_new (&o);
  follow_start (v->follow);
}

/* Without polls, VMs learn of each announcement when it is made. */
static void
see_announcement_now (struct vm *v)
{
  const struct world_announcement *n;

  if (world.nannouncements == 0)
    return;
  n = &world.announcements[world.nannouncements - 1];
  fleet_apply_wanted (&v->fleet, "m", n->version, world.now_us, world.now_us);
  orders_check (v->orders, world.now_us);
}

void
world_start (struct vm *v)
{
  v->incarnation++;
  v->up = true;
  v->frozen_us = 0;
  v->started_us = world.now_us;
  fleet_init (&v->fleet);
  list_endpoints (v);
  make_orders (v);
  if (!world_is_off (OFF_ERA))
    orders_observe_era (v->orders, world.era, world.now_us);
  if (world.follows)
    make_follow (v);
  else
    see_announcement_now (v);
}

static void
stop_vm (struct vm *v)
{
  v->up = false;
  v->dying = false;
  while (!APR_RING_EMPTY (&v->loop.timers, loop_timer, link))
    loop_disarm (APR_RING_FIRST (&v->loop.timers));
  if (v->follow != NULL)
    follow_free (v->follow);
  v->follow = NULL;
  orders_free (v->orders);
  fleet_clear (&v->fleet);
}

static void
start_again (struct event *e)
{
  struct vm *v = &world.vms[e->endpoint];

  if (!v->up)
    world_start (v);
}

void
world_kill (struct vm *v, int64_t back_us)
{
  if (!v->up || v->dying)
    return;
  model_note ("%5d vm %c ends\n", world_ms (), 'a' + v->index);
  v->dying = true;
  if (back_us >= 0)
    world_at (world.now_us + back_us, -1, start_again)->endpoint = v->index;
}

static void
see_announcement (struct event *e)
{
  see_announcement_now (&world.vms[e->vm]);
}

static void
add_announcement (struct event *e)
{
  struct world_announcement n = { world.now_us, e->expected, ++world.changes };
  int i;

  model_note ("%5d version %d is announced\n", world_ms (), (int)n.version);
  world.announcements[world.nannouncements++] = n;
  world_wake_polls ();
  for (i = 0; i < WORLD_VMS && !world.follows; i++)
    if (world.vms[i].up)
      world_at (world.now_us, i, see_announcement);
}

void
world_announce (int64_t at_us, int64_t version)
{
  world_at (at_us, -1, add_announcement)->expected = version;
}

/* --- endpoints ------------------------------------------------------- */

static void
answer_state (struct event *e)
{
  e->state (e->arg, &e->is);
}

static void
query_state (void *ctx, const struct fleet_endpoint *f, state_done done,
             void *arg)
{
  struct vm *v = ctx;
  int ways = world.follows || world.with_restarts ? 1 : WORLD_SEND_WAYS + 1;
  int way = world_fault (v, ways);
  bool lost = way == WORLD_SEND_WAYS;
  struct world_endpoint *w;
  struct event *e;

  if (!world_send_call (v, lost ? 0 : way))
    return;
  w = &world.endpoints[f->listing.id[0] - '0'];
  e = world_at (world.now_us + (lost ? 400 * MS : 2 * TRAVEL_US), v->index,
                answer_state);
  e->state = done;
  e->arg = arg;
  e->is.reached = !lost;
  e->is.seq = w->seq;
  e->is.version = w->version;
  e->is.busy = w->busy;
  e->is.started_ms = w->started_ms;
}

static void
report_version (struct event *e)
{
  struct vm *v = &world.vms[e->vm];
  char id[2] = { (char)('0' + e->endpoint), '\0' };
  struct fleet_endpoint *f = g_hash_table_lookup (v->fleet.by_id, id);

  fleet_apply_version (f, e->is.version, FLEET_NEVER, world.now_us);
  orders_check (v->orders, world.now_us);
}

static void
restart_now (struct event *e)
{
  world_restart (e->endpoint);
}

static void
end_load (struct event *e)
{
  struct world_endpoint *w = &world.endpoints[e->endpoint];
  struct event *told;
  int i;

  /* A load ends with the incarnation that began it. */
  if (w->started_ms != e->expected)
    return;
  w->busy = false;
  w->version = e->load.version;
  if (world.with_restarts && model_fault (2))
    world_at (world.now_us + RESTART_US, -1, restart_now)->endpoint
        = e->endpoint;
  for (i = 0; i < WORLD_VMS; i++)
    if (world.vms[i].up)
      {
        told = world_at (world.now_us + 20 * MS, i, report_version);
        told->endpoint = e->endpoint;
        told->is.version = w->version;
      }
}

static void
answer_order (struct event *e)
{
  e->order (e->arg, e->code, NULL);
}

/* Endpoints do not check fencing tokens: every order that arrives is carried
   out. */
static void
check_order (const struct event *e)
{
  int vm = e->is.running;
  int64_t fence = e->load.fence;

  if (world_is_off (OFF_ERA_FENCE))
    fence &= VERSION_MASK;
  if (world.last_vm >= 0 && world.last_vm != vm
      && world.now_us - world.last_us < WORLD_LEASE_MS * MS)
    model_fail ("orders of two VMs are too close",
                (world.now_us - world.last_us) / MS);
  if (fence < world.last_fence)
    model_fail ("a lower fencing token after a higher one", fence);
  world.last_vm = vm;
  world.last_us = world.now_us;
  world.last_fence = MAX (world.last_fence, fence);
}

static void
take_order (struct event *e)
{
  struct world_endpoint *w = &world.endpoints[e->endpoint];
  struct event *end;

  /* With restarts only one VM gives orders, and an order that is carried out
     late had arrived in time. */
  if (!world.with_restarts)
    check_order (e);
  if (w->busy || e->load.seq != w->seq)
    return;
  w->seq++;
  w->busy = true;
  if (world.endless)
    return;
  end = world_at (world.now_us + LOAD_US, -1, end_load);
  end->endpoint = e->endpoint;
  end->load = e->load;
  end->expected = w->started_ms;
}

static void
list_again (struct event *e)
{
  struct vm *v = &world.vms[e->vm];
  struct fleet_listing l = { .slots = 0 };

  world_list (e->endpoint, &l);
  fleet_apply_listing (&v->fleet, &l, world.now_us);
  orders_check (v->orders, world.now_us);
}

void
world_restart (int endpoint)
{
  struct world_endpoint *w = &world.endpoints[endpoint];
  int i;

  model_note ("%5d endpoint %d restarts\n", world_ms (), endpoint);
  w->started_ms++;
  w->seq = 0;
  w->busy = false;
  for (i = 0; i < WORLD_VMS; i++)
    if (world.vms[i].up)
      world_at (world.now_us + ENTRY_US, i, list_again)->endpoint = endpoint;
}

static void
send_order (struct vm *v, int endpoint, const struct load_order *o,
            int64_t travel_us)
{
  struct event *e = world_at (world.now_us + travel_us, -1, take_order);

  e->endpoint = endpoint;
  e->load = *o;
  e->is.running = v->index;
  model_note ("%5d vm %c orders endpoint %d, fence %d\n", world_ms (),
              'a' + v->index, endpoint, (int)o->fence);
  if (!world_is_off (OFF_UNTIL)
      && world.row.order_until_ms <= world.now_us / MS)
    model_fail ("an order is sent outside the window in the row",
                world.row.order_until_ms - world.now_us / MS);
}

/* What may happen to an order if endpoints restart. */
enum restart_way
{
  ORDER_WAY_DONE,           /* carried out and answered */
  ORDER_WAY_LATE,           /* not answered, and carried out seconds later */
  ORDER_WAY_RESTART_BEFORE, /* the endpoint restarts before the order arrives
                             */
  ORDER_WAY_RESTART_AFTER,  /* the endpoint restarts after it took the order */
  ORDER_WAYS
};

static void
order_with_restarts (struct vm *v, int endpoint, const struct load_order *o,
                     order_done done, void *arg)
{
  enum restart_way way = (enum restart_way)world_fault (v, ORDER_WAYS);
  struct event *e
      = world_at (world.now_us + 2 * TRAVEL_US, v->index, answer_order);

  e->order = done;
  e->arg = arg;
  e->code = way == ORDER_WAY_LATE ? ORDER_UNKNOWN : ORDER_ACCEPTED;
  if (way == ORDER_WAY_LATE)
    e->at_us = world.now_us + 800 * MS;
  if (way == ORDER_WAY_RESTART_BEFORE)
    world_restart (endpoint);
  if (way == ORDER_WAY_RESTART_AFTER)
    world_at (world.now_us + RESTART_US, -1, restart_now)->endpoint = endpoint;
  send_order (v, endpoint, o,
              way == ORDER_WAY_LATE ? LOST_ORDER_US : TRAVEL_US);
}

/* An order in flight when its sender is frozen or ends arrives late. */
static void
order (void *ctx, const struct fleet_endpoint *f, const struct load_order *o,
       bool (*may_send) (void *arg), order_done done, void *arg)
{
  struct vm *v = ctx;
  int way = world.with_restarts
                ? 0
                : world_fault (v, world.follows ? 1 : WORLD_SEND_WAYS + 2);
  bool lost = way == WORLD_SEND_WAYS, late = way > WORLD_SEND_WAYS;
  struct event *e;

  if (world.with_restarts)
    {
      order_with_restarts (v, f->listing.id[0] - '0', o, done, arg);
      return;
    }
  if (!world_send_call (v, way < WORLD_SEND_WAYS ? way : 0))
    return;
  e = world_at (world.now_us + 2 * TRAVEL_US, v->index, answer_order);
  e->order = done;
  e->arg = arg;
  e->code = ORDER_ACCEPTED;
  if (!world_is_off (OFF_LAST_CHECK) && !may_send (arg))
    {
      e->code = ORDER_REJECTED;
      return;
    }
  if (lost || late)
    {
      e->code = ORDER_UNKNOWN;
      e->at_us = world.now_us + 800 * MS;
    }
  if (!lost)
    send_order (v, f->listing.id[0] - '0', o,
                late ? LATE_ORDER_US : TRAVEL_US);
}

/* --- one run --------------------------------------------------------- */

void
world_begin (const struct model_case *model, bool follows)
{
  int i;

  memset (&world, 0, sizeof world);
  world.model = model;
  world.follows = follows;
  world.now_us = START_US;
  world.events = g_ptr_array_new ();
  world.nendpoints = WORLD_ENDPOINTS;
  world.last_vm = -1;
  for (i = 0; i < WORLD_VMS; i++)
    {
      world.vms[i].index = i;
      world.vms[i].loop.vm = &world.vms[i];
      APR_RING_INIT (&world.vms[i].loop.timers, loop_timer, link);
    }
  for (i = 0; i < WORLD_ENDPOINTS; i++)
    {
      world.endpoints[i].version = 1;
      world.endpoints[i].started_ms = 1;
    }
}

void
world_end (void)
{
  int i;

  for (i = 0; i < WORLD_VMS; i++)
    if (world.vms[i].up)
      stop_vm (&world.vms[i]);
  g_ptr_array_set_free_func (world.events, g_free);
  g_ptr_array_free (world.events, TRUE);
}
