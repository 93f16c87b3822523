/* The entry: beliefs, relays and doors put together. */
#include "entry.h"

#include <sodium.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#include "evac.h"

/* A key that was taken away must open nothing once the operator's bound has
   passed; this much earlier covers what happens between the last look and
   the first byte. */
#define REVOKE_MARGIN_US (300 * CQ_US_PER_MS)
/* A denial must rest on knowledge younger than the time after which a change
   counts; this much younger covers clocks that run unlike and the way of the
   refusal through this VM. */
#define APPLY_MARGIN_US (100 * CQ_US_PER_MS)
/* Likewise for requests that begin on old weights: one may wait some seconds
   at a busy endpoint before it begins. */
#define VERSION_MARGIN_US (3000 * CQ_US_PER_MS)
/* What has not begun by then is taken back so much before the bound: looks are
   40 ms apart, and a closed connection reaches a busy endpoint late. */
#define VERSION_END_MARGIN_US (300 * CQ_US_PER_MS)
#define ORDER_GAP_SPARE_MS 150 /* orders travel, and clocks run unlike */
/* The VM that gave orders last frees parts of outdated weights for this long:
   endpoints on old weights may have had some more to save. */
#define FREE_DUTY_US (10 * CQ_US_PER_S)
/* A VM may send a suspect request for so long, and then another one. */
#define SUSPECT_TURN_MS 2000
#define SWEEP_US (500 * CQ_US_PER_MS) /* between looks at missing entries */
#define READY_CONNECTIONS 16          /* the balancer needs one */
#define READY_MEMORY 2048             /* bytes a connection */
#define READY_IDLE_S 30               /* seconds without a question */

struct entry
{
  struct worker *worker;                /* where it runs */
  struct cfg *settings;                 /* a reference, for cfg */
  const struct cfg_entry *cfg;          /* declared */
  void *store;                          /* of the adapter */
  struct fleet fleet;                   /* beliefs */
  struct follow *follow;                /* keeps them current */
  struct orders *orders;                /* weights of endpoints */
  struct parts parts;                   /* what stores keep */
  struct partfeed *feed;                /* keeps that current */
  int64_t conf_row;                     /* configuration that the feed knows */
  int64_t duty_us;                      /* this VM gave orders last */
  int64_t era;                          /* of the store, as seen last */
  struct load_table *book;              /* work of other VMs */
  struct tell *tell;                    /* tells them of ours; NULL if unset */
  struct quar *quar;                    /* requests that crash endpoints */
  struct quarfeed *quarfeed;            /* shares that with other VMs */
  struct relays *relays;                /* requests under way */
  struct entry_listener_ctx front_with; /* what the next one works with */
  struct http_listener *front;          /* callers */
  struct http_listener *ready;          /* the balancer */
  int front_fd;                         /* listening socket */
  int ready_fd;                         /* listening socket */
  struct loop_timer sweep;              /* missing entries */
  bool was_ready;                       /* as logged last */
};

static int64_t
deny_us (const struct cfg_entry *cfg)
{
  return cfg->apply_ms * CQ_US_PER_MS - APPLY_MARGIN_US;
}

/* --- readiness ------------------------------------------------------- */

/*
 * A VM that would refuse what it gets must say so, or the balancer sends it
 * a share of the callers.  Not ready: nothing known yet, or knowledge so old
 * that keys count for nothing.
 */
bool
entry_is_ready (const struct entry *e, int64_t now_us)
{
  struct server *s = e->worker->server;
  int64_t stale = e->cfg->revoke_ms * CQ_US_PER_MS - REVOKE_MARGIN_US;

  return server_phase (s) < PHASE_NOTICE && e->fleet.conf != NULL
         && e->fleet.listed && quarfeed_is_ready (e->quarfeed, now_us)
         && fleet_age_us (&e->fleet, now_us) < stale;
}

static void
answer_ready (struct req *r, const char *method)
{
  struct entry *e = r->listener->owner;
  int64_t now = loop_now_us ();
  bool ready = entry_is_ready (e, now);

  (void)method;
  if (ready != e->was_ready)
    log_event (LOG_LEVEL_INFO, "ready",
               "outcome=%s conf_age_us=%" G_GINT64_FORMAT " phase=%d",
               ready ? "yes" : "no", (gint64)fleet_age_us (&e->fleet, now),
               (int)server_phase (r->worker->server));
  e->was_ready = ready;
  req_respond (r, ready ? 200 : 503, NULL, "", 0);
}

static void
no_body (struct req *r)
{
  (void)r;
}

static const struct http_listener_ops ready_ops = {
  .head = answer_ready,
  .start = no_body,
};

/* --- parts ----------------------------------------------------------- */

static void
on_sweep (void *arg, int64_t now_us)
{
  struct entry *e = arg;

  fleet_sweep (&e->fleet, now_us);
  evac_sweep (&e->fleet, now_us);
  if (orders_held (e->orders))
    e->duty_us = now_us;
  if (e->duty_us != 0 && now_us - e->duty_us < FREE_DUTY_US)
    partfeed_free_outdated (e->feed, &e->fleet, now_us);
  loop_arm (e->worker->loop, &e->sweep, now_us + SWEEP_US);
}

static uint64_t
seed_of (const struct cfg_vm *vm)
{
  uint64_t seed = (uint64_t)vm->seed;

  if (seed == 0)
    randombytes_buf (&seed, sizeof seed);
  return seed;
}

static void
on_changed (void *arg, int64_t now_us)
{
  struct entry *e = arg;

  orders_look (e->orders, now_us);
  if (e->era != 0 && follow_era (e->follow) != e->era)
    {
      quarfeed_store_restored (e->quarfeed, now_us);
      if (e->tell != NULL)
        tell_older_copy (e->tell, now_us);
    }
  e->era = follow_era (e->follow);
  if (e->fleet.conf != NULL && e->fleet.conf_row != e->conf_row)
    {
      e->conf_row = e->fleet.conf_row;
      partfeed_take_conf (e->feed, e->fleet.conf);
    }
}

static void
make_orders (struct entry *e)
{
  const struct cfg_vm *vm = cfg_vm (e->settings);
  struct orders_opts o = { .loop = e->worker->loop, .fleet = &e->fleet };

  entry_adapter.orders_ops (e->store, &o.ops);
  o.vm = vm->name;
  o.gap_us = (e->cfg->order_gap_ms + ORDER_GAP_SPARE_MS) * CQ_US_PER_MS;
  o.seed = seed_of (vm);
  e->orders = orders_new (&o);
}

static void
start_following (struct entry *e)
{
  struct follow_opts o = { .loop = e->worker->loop, .fleet = &e->fleet };

  o.changed = on_changed;
  o.arg = e;
  o.current_us = deny_us (e->cfg);
  entry_adapter.follow_ops (e->store, &o.ops);
  o.seed = seed_of (cfg_vm (server_cfg (e->worker->server)));
  e->follow = follow_new (&o);
  follow_start (e->follow);
}

static bool
is_among (void *arg, uint64_t key, int places)
{
  const struct entry *e = arg;

  return e->tell == NULL || tell_is_among (e->tell, key, places);
}

static void
make_feed (struct entry *e)
{
  struct partfeed_opts o = { .loop = e->worker->loop, .parts = &e->parts };

  parts_init (&e->parts);
  entry_adapter.partfeed_ops (&o.ops, e->worker->pool);
  o.is_among = is_among;
  o.arg = e;
  o.seed = seed_of (cfg_vm (e->settings));
  e->feed = partfeed_new (&o);
}

static void
on_worked (void *arg, int64_t now_us)
{
  struct entry *e = arg;

  if (e->tell != NULL)
    tell_changed (e->tell, now_us);
}

/* --- quarantine ------------------------------------------------------ */

static int64_t
platform_ms (void *arg, int64_t now_us)
{
  struct entry *e = arg;

  return follow_clock_ms (e->follow, now_us);
}

static void
on_observed (void *arg, int64_t now_us)
{
  struct entry *e = arg;

  quarfeed_changed (e->quarfeed, now_us);
}

static bool
is_evidence_known (void *arg, int64_t now_us)
{
  struct entry *e = arg;

  return quarfeed_is_ready (e->quarfeed, now_us);
}

static void
send_evidence (void *arg, const GByteArray *datagram)
{
  struct entry *e = arg;

  if (e->tell != NULL)
    tell_send (e->tell, datagram);
}

static bool
receive_evidence (void *arg, const char *data, size_t len, int64_t now_us)
{
  struct entry *e = arg;

  return quarfeed_receive (e->quarfeed, data, len, now_us);
}

/* Another VM each time, since the one whose turn it is may be gone. */
static bool
has_suspect_turn (void *arg, const struct reqid *id, int64_t now_us)
{
  const struct entry *e = arg;
  int64_t turn = platform_ms (arg, now_us) / SUSPECT_TURN_MS;

  return e->tell == NULL
         || tell_is_first (
             e->tell, XXH3_64bits_withSeed (id, sizeof *id, (uint64_t)turn));
}

static void
make_quarfeed (struct entry *e)
{
  struct quarfeed_opts o = { .loop = e->worker->loop, .quar = e->quar };

  entry_adapter.quar_ops (e->store, &o.ops);
  o.vm = cfg_vm (e->settings)->name;
  o.clock_ms = platform_ms;
  o.send = send_evidence;
  o.arg = e;
  o.seed = seed_of (cfg_vm (e->settings));
  e->quarfeed = quarfeed_new (&o);
}

static int
cold_part_of (void *arg, uint64_t endpoint, int rate)
{
  const struct entry *e = arg;

  return e->tell != NULL ? tell_cold_part (e->tell, endpoint, rate) : 0;
}

static int64_t
limit_gap_of (void *arg, uint64_t endpoint, int64_t milli, int64_t now_us)
{
  const struct entry *e = arg;

  if (e->tell == NULL)
    return LIMIT_LOOK_US;
  return tell_limit_gap (e->tell, endpoint, milli, platform_ms (arg, now_us));
}

static void
make_relays (struct entry *e)
{
  const struct cfg_vm *vm = cfg_vm (server_cfg (e->worker->server));
  struct relays_opts o = { .loop = e->worker->loop, .fleet = &e->fleet };

  entry_adapter.engine_ops (&o.engine, e->worker->pool);
  o.parts = &e->parts;
  o.loads = e->book;
  o.worked = on_worked;
  o.worked_arg = e;
  o.quar = e->quar;
  o.clock_ms = platform_ms;
  o.observed = on_observed;
  o.evidence_known = is_evidence_known;
  o.suspect_turn = has_suspect_turn;
  o.quar_arg = e;
  o.domain = vm->domain;
  o.stale_us = e->cfg->revoke_ms * CQ_US_PER_MS - REVOKE_MARGIN_US;
  o.deny_us = deny_us (e->cfg);
  o.retry_percent = (int)e->cfg->retry_percent;
  o.retry_burst = (int)e->cfg->retry_burst;
  o.stream_buffer = (size_t)vm->stream_buffer_kb * 1024;
  o.answer_max = (size_t)vm->answer_max_kb * 1024;
  o.seed = seed_of (vm);
  e->relays = relays_new (&o);
}

/* False if there is an address, and it cannot be had. */
static bool
make_tell (struct entry *e)
{
  const struct cfg_vm *vm = cfg_vm (e->settings);
  struct tell_opts o = { .loop = e->worker->loop, .gather = relays_gather };

  if (e->cfg->tell[0] == '\0')
    return true;
  entry_adapter.roster_ops (e->store, &o.ops);
  o.ctx = e->relays;
  o.book = e->book;
  o.other = receive_evidence;
  o.other_ctx = e;
  o.vm = vm->name;
  o.domain = vm->domain;
  o.listen = e->cfg->tell;
  o.seed = seed_of (vm);
  e->tell = tell_new (&o);
  if (e->tell == NULL)
    log_event (LOG_LEVEL_ERROR, "tell_listen", "address=%s outcome=failed",
               e->cfg->tell);
  return e->tell != NULL;
}

static bool
open_doors (struct entry *e)
{
  struct server *s = e->worker->server;
  struct http_listener_opts o = { .ops = &ready_ops, .owner = e };

  e->front_fd = server_listen (s, e->cfg->listen);
  e->ready_fd = server_listen (s, e->cfg->ready);
  if (e->front_fd < 0 || e->ready_fd < 0)
    return false;
  o.close_from = PHASE_STOPPED;
  o.connections = READY_CONNECTIONS;
  o.idle_timeout_s = READY_IDLE_S;
  o.connection_memory = READY_MEMORY;
  e->ready = http_listener_open (e->worker, e->ready_fd, &o);
  e->front_with.relays = e->relays;
  e->front_with.fleet = &e->fleet;
  e->front
      = entry_adapter.open_listener (e->worker, e->front_fd, &e->front_with);
  return e->ready != NULL && e->front != NULL;
}

struct entry *
entry_new (struct worker *w)
{
  struct entry *e = g_new0 (struct entry, 1);

  e->worker = w;
  e->settings = cfg_ref (server_cfg (w->server));
  e->cfg = cfg_entry (e->settings);
  fleet_init (&e->fleet);
  if (!fleet_take_regions (&e->fleet, e->cfg->regions))
    log_event (LOG_LEVEL_ERROR, "regions", "outcome=unreadable text=\"%s\"",
               e->cfg->regions);
  e->fleet.cold_part = cold_part_of;
  e->fleet.limit_gap = limit_gap_of;
  e->fleet.vms_arg = e;
  e->fleet.old_max_us = e->cfg->version_ms * CQ_US_PER_MS - VERSION_MARGIN_US;
  e->fleet.factors.unread = (int)e->cfg->weigh_unread;
  e->fleet.factors.memory = (int)e->cfg->weigh_memory;
  e->fleet.factors.parts = (int)e->cfg->weigh_parts;
  e->fleet.old_end_us
      = e->cfg->version_ms * CQ_US_PER_MS - VERSION_END_MARGIN_US;
  e->book = load_new ();
  e->quar = quar_new (e->cfg->quarantine_s * CQ_US_PER_S / CQ_US_PER_MS);
  make_feed (e);
  make_relays (e);
  if (!open_doors (e))
    return NULL;
  e->store = entry_adapter.open (w->pool, e->cfg->store);
  make_orders (e);
  make_quarfeed (e);
  if (!make_tell (e))
    return NULL;
  start_following (e);
  quarfeed_start (e->quarfeed, loop_now_us ());
  e->sweep.fire = on_sweep;
  e->sweep.arg = e;
  loop_arm (w->loop, &e->sweep, loop_now_us () + SWEEP_US);
  return e;
}

/* --- end ------------------------------------------------------------- */

void
entry_prepare_stop (struct entry *e)
{
  orders_stop (e->orders);
}

void
entry_stop (struct entry *e)
{
  orders_stop (e->orders);
  follow_stop (e->follow);
  partfeed_stop (e->feed);
  quarfeed_stop (e->quarfeed);
  if (e->tell != NULL)
    tell_stop (e->tell);
  loop_disarm (&e->sweep);
}

void
entry_close_listeners (struct entry *e)
{
  http_listener_close (e->front);
  http_listener_close (e->ready);
}

int
entry_pending_calls (const struct entry *e)
{
  if (e == NULL)
    return 0;
  return follow_waiting (e->follow) + orders_waiting (e->orders)
         + partfeed_waiting (e->feed) + quarfeed_pending_calls (e->quarfeed)
         + (e->tell != NULL ? tell_waiting (e->tell) : 0);
}

void
entry_free (struct entry *e)
{
  if (e == NULL)
    return;
  follow_free (e->follow);
  quarfeed_free (e->quarfeed);
  orders_free (e->orders);
  partfeed_free (e->feed);
  relays_free (e->relays);
  if (e->tell != NULL)
    tell_free (e->tell);
  quar_free (e->quar);
  load_free (e->book);
  parts_clear (&e->parts);
  fleet_clear (&e->fleet);
  entry_adapter.close (e->store);
  close (e->front_fd);
  close (e->ready_fd);
  cfg_free (e->settings);
  g_free (e);
}
