/* The entry: sets up the view of the fleet, the relays and the listeners. */
#include "entry.h"

#include <sodium.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#include "evac.h"
#include "forwardseal.h"
#include "pathwire.h"

/* A revoked key must not be accepted once the operator's bound has passed. The
   margin covers the time between the last check and the first byte sent. */
#define REVOCATION_MARGIN_US (300 * CQ_US_PER_MS)
/* A request may be denied only by a configuration that is younger than the
   time after which changes must be in force.  The margin covers clocks that
   run at different speeds and the time that the refusal takes in this VM. */
#define APPLY_MARGIN_US (100 * CQ_US_PER_MS)
/* No request is sent to outdated weights this long before their bound, since
   it may wait for some seconds at a busy endpoint before it starts. */
#define OUTDATED_ACCEPT_MARGIN_US (3000 * CQ_US_PER_MS)
/* Requests that have not started on outdated weights are withdrawn this long
   before the bound: the checks are 40 ms apart, and a busy endpoint notices a
   closed connection late. */
#define OUTDATED_START_MARGIN_US (300 * CQ_US_PER_MS)
/* Covers the delay of orders and clocks that run at different speeds. */
#define ORDER_INTERVAL_MARGIN_MS 150
/* The VM that gave orders last continues to free parts of outdated weights for
   this long, since endpoints on these weights may still save some. */
#define FREE_OUTDATED_US (10 * CQ_US_PER_S)
/* Only one VM at a time may send a suspect request; the next one is selected
   after this time. */
#define SUSPECT_ROTATION_MS 2000
/* Interval of checks for missing list entries and parts to be freed. */
#define SWEEP_INTERVAL_US (500 * CQ_US_PER_MS)
/* Shortest time between log lines on what other VMs report of an endpoint. */
#define REPORT_LOG_INTERVAL_US CQ_US_PER_S
/* Answers of the largest size that are held at once. */
#define ANSWERS_HELD 4
#define READY_CONNECTIONS 16 /* the load balancer needs one */
#define READY_MEMORY 2048    /* bytes per connection */
#define READY_IDLE_S 30      /* seconds without a request */

/* State of the entry; belongs to the thread of its worker. */
struct entry
{
  struct worker *worker;       /* worker whose loop it runs on */
  struct cfg *settings;        /* reference that keeps cfg valid */
  const struct cfg_entry *cfg; /* its settings */
  void *store;                 /* the adapter's handle of the store */
  struct fleet fleet;          /* view of the fleet */
  struct follow *follow;       /* keeps the fleet current */
  struct orders *orders;       /* orders endpoints to load weights */
  struct parts parts;          /* parts in stores */
  struct partfeed *partfeed;   /* keeps the parts current */
  int64_t conf_row;            /* revision of the configuration in partfeed */
  int64_t orders_held_us;      /* this VM last held the lease for orders */
  int64_t era;                 /* era of the store when last checked */
  struct load_table *loads;    /* load reported by other VMs */
  struct observe *observe;     /* what this VM observed of endpoints and did
                                  not report yet; NULL if it reports nothing */
  struct loadgossip
      *load_gossip;          /* exchanges load with other VMs; NULL if unset */
  struct mirrorfeed *mirror; /* reads lists from other VMs; NULL if unset */
  struct mirrorserve *mirror_serve; /* answers such reads; NULL if unset */
  struct mirrorhttp *mirror_http;   /* answers their requests */
  struct originfeed *origins;       /* where streams began */
  struct originstore *origin_store; /* records where streams began */
  struct buildfeed *builds;         /* records the builds that serve */
  struct buildcheck *build_check;   /* whether all that served are known */
  struct quar *quar;         /* evidence about requests that crash endpoints */
  struct quarfeed *quarfeed; /* shares quar with other VMs */
  struct relays *relays;     /* requests under way */
  struct entry_listener_ctx listener_ctx; /* context of caller_listener */
  struct http_listener *caller_listener;  /* accepts callers */
  struct http_listener *ready_listener;   /* readiness probes */
  int caller_fd;                          /* listening socket */
  int ready_fd;                           /* listening socket */
  int list_fd;                            /* listening socket, or -1 */
  struct loop_timer sweep_timer;          /* next periodic check */
  bool logged_ready;                      /* readiness when last logged */
};

static int64_t
denial_max_age_us (const struct cfg_entry *cfg)
{
  return cfg->apply_ms * CQ_US_PER_MS - APPLY_MARGIN_US;
}

/* --- readiness ------------------------------------------------------- */

/*
 * A VM that would refuse requests must report that it is not ready, or the
 * load balancer sends it a share of the callers.  It is not ready while it has
 * no configuration, or if its configuration is too old to accept keys.
 */
bool
entry_is_ready (const struct entry *e, int64_t now_us)
{
  struct server *s = e->worker->server;
  int64_t stale = e->cfg->revoke_ms * CQ_US_PER_MS - REVOCATION_MARGIN_US;

  return server_phase (s) < PHASE_NOTICE && e->fleet.conf != NULL
         && e->fleet.listed && quarfeed_is_ready (e->quarfeed, now_us)
         && fleet_conf_age_us (&e->fleet, now_us) < stale;
}

static void
on_ready_request (struct req *r, const char *method)
{
  struct entry *e = r->listener->owner;
  int64_t now = loop_now_us ();
  bool ready = entry_is_ready (e, now);

  (void)method;
  if (ready != e->logged_ready)
    log_event (LOG_LEVEL_INFO, "ready",
               "outcome=%s conf_age_us=%" G_GINT64_FORMAT " phase=%d",
               ready ? "yes" : "no",
               (gint64)fleet_conf_age_us (&e->fleet, now),
               (int)server_phase (r->worker->server));
  e->logged_ready = ready;
  req_respond (r, ready ? 200 : 503, NULL, "", 0);
}

static void
ignore_body (struct req *r)
{
  (void)r;
}

static const struct http_listener_ops ready_ops = {
  .head = on_ready_request,
  .start = ignore_body,
};

/* --- parts ----------------------------------------------------------- */

static void
log_removed (void *arg, const struct fleet_endpoint *e, int64_t now_us)
{
  (void)arg;
  log_event (LOG_LEVEL_INFO, "endpoint",
             "endpoint=%s outcome=removed reason=not_returned service=%s "
             "running=%d missing_us=%" G_GINT64_FORMAT,
             e->listing.id, e->listing.service, e->running,
             (gint64)fleet_missing_us (e, now_us));
}

static void
on_sweep (void *arg, int64_t now_us)
{
  struct entry *e = arg;
  int64_t settles_us = e->fleet.list_settles_us;
  int64_t due_us = now_us + SWEEP_INTERVAL_US;
  bool frees;

  fleet_remove_missing (&e->fleet, log_removed, NULL, now_us);
  buildfeed_check (e->builds, now_us);
  evac_sweep (&e->fleet, now_us);
  if (orders_has_lease (e->orders))
    e->orders_held_us = now_us;
  frees = e->orders_held_us != 0
          && now_us - e->orders_held_us < FREE_OUTDATED_US;
  partfeed_follow_all (e->partfeed, frees, now_us);
  if (frees)
    partfeed_free_outdated (e->partfeed, &e->fleet, now_us);
  if (settles_us > now_us)
    due_us = MIN (due_us, settles_us);
  loop_arm (e->worker->loop, &e->sweep_timer, due_us);
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
on_fleet_changed (void *arg, int64_t now_us)
{
  struct entry *e = arg;

  orders_observe_era (e->orders, follow_era (e->follow), now_us);
  orders_check (e->orders, now_us);
  if (e->era != 0 && follow_era (e->follow) != e->era)
    {
      quarfeed_store_restored (e->quarfeed, now_us);
      buildfeed_store_restored (e->builds, now_us);
      /* Revisions are assigned again. */
      e->conf_row = 0;
      if (e->load_gossip != NULL)
        loadgossip_store_restored (e->load_gossip, now_us);
    }
  e->era = follow_era (e->follow);
  buildfeed_check (e->builds, now_us);
  if (e->fleet.conf != NULL && e->fleet.conf_row != e->conf_row)
    {
      e->conf_row = e->fleet.conf_row;
      partfeed_take_conf (e->partfeed, e->fleet.conf);
    }
}

static bool
has_other_vms (const struct entry *e)
{
  g_autoptr (GArray) vms
      = g_array_new (FALSE, FALSE, sizeof (struct mirror_peer));

  return e->load_gossip != NULL
         && loadgossip_list_peers (e->load_gossip, false, vms) && vms->len > 0;
}

static bool
can_order (void *arg, const char *service)
{
  const struct entry *e = arg;

  return !relays_is_isolated (e->relays, service) || !has_other_vms (e);
}

static void
make_orders (struct entry *e)
{
  const struct cfg_vm *vm = cfg_vm (e->settings);
  struct orders_opts o = { .loop = e->worker->loop, .fleet = &e->fleet };

  entry_adapter.orders_ops (e->store, &o.ops);
  o.can_reach = can_order;
  o.arg = e;
  o.vm = vm->name;
  o.holder_gap_us
      = (e->cfg->order_gap_ms + ORDER_INTERVAL_MARGIN_MS) * CQ_US_PER_MS;
  o.seed = seed_of (vm);
  e->orders = orders_new (&o);
}

static void
observe_list (void *arg, enum follow_source source, bool full,
              const struct follow_reply *reply)
{
  mirrorserve_observe (arg, source, full, reply);
}

static void
start_following (struct entry *e)
{
  struct follow_opts o = { .loop = e->worker->loop, .fleet = &e->fleet };

  o.on_change = on_fleet_changed;
  o.arg = e;
  o.max_age_us = denial_max_age_us (e->cfg);
  entry_adapter.follow_ops (e->store, &o.ops);
  o.seed = seed_of (cfg_vm (server_cfg (e->worker->server)));
  if (e->mirror != NULL)
    {
      mirrorfeed_follow_ops (e->mirror, &o.ops);
      o.observe = observe_list;
      o.is_reader = mirrorfeed_is_reader;
      o.is_client = mirrorfeed_is_client;
      o.list_max_age_us = mirrorfeed_max_age_us (e->cfg->drain_ms);
      o.mirror_arg = e->mirror;
      o.observe_arg = e->mirror_serve;
    }
  e->follow = follow_new (&o);
  if (e->mirror != NULL)
    mirrorserve_attach (e->mirror_serve, e->follow);
  follow_start (e->follow);
}

static bool
is_vm_among (void *arg, uint64_t key, int places)
{
  const struct entry *e = arg;

  return e->load_gossip == NULL
         || loadgossip_ranks_within (e->load_gossip, key, places);
}

static bool
is_rank_known (void *arg)
{
  const struct entry *e = arg;

  return e->load_gossip == NULL || loadgossip_is_listed (e->load_gossip);
}

static void
make_partfeed (struct entry *e)
{
  struct partfeed_opts o = { .loop = e->worker->loop, .parts = &e->parts };

  parts_init (&e->parts);
  entry_adapter.partfeed_ops (&o.ops, e->worker->pool);
  o.ranks_within = is_vm_among;
  o.is_rank_known = is_rank_known;
  o.arg = e;
  o.seed = seed_of (cfg_vm (e->settings));
  e->partfeed = partfeed_new (&o);
}

static void
on_work_changed (void *arg, int64_t now_us)
{
  struct entry *e = arg;

  if (e->load_gossip != NULL)
    loadgossip_load_changed (e->load_gossip, now_us);
}

/* --- reports on endpoints -------------------------------------------- */

static void
on_observed (void *arg, const struct endpoint_report *r, int64_t now_us)
{
  struct entry *e = arg;

  if (e->load_gossip == NULL)
    return;
  observe_own (e->observe, r, now_us);
  loadgossip_observed (e->load_gossip, now_us);
}

/* Answers with a load are reported when their head arrives. */
static void
on_endpoint_seen (void *arg, const struct endpoint_report *r, int64_t now_us)
{
  if (r->seen != LOAD_SEEN_ANSWERED || r->running < 0)
    on_observed (arg, r, now_us);
}

/* Logs that other VMs report an endpoint as failing, or no longer.  If VMs
   contradict each other, as in a partition, not each report is logged. */
static void
log_report (struct fleet_endpoint *at, const char *vm,
            const struct endpoint_report *r, bool was_failing, int64_t now_us)
{
  struct fleet_peer_report *h = &at->peer_report;

  if (h->is_failing == was_failing
      || (h->logged_us != 0 && now_us - h->logged_us < REPORT_LOG_INTERVAL_US))
    return;
  h->logged_us = now_us;
  log_event (LOG_LEVEL_INFO, "endpoint_reported",
             "endpoint=%s seen=%s vm=%s age_us=%" G_GINT64_FORMAT,
             at->listing.id, observe_seen_name (r->seen), vm,
             (gint64)r->age_us);
}

/* Load that was observed in another failure domain is no sample for admission:
   the VMs of a domain follow the pressure of that domain. */
static void
on_reports (void *arg, const struct load_gossip *message, bool near,
            int64_t now_us)
{
  struct entry *e = arg;
  struct fleet_endpoint *at[LOAD_REPORTS_MAX];
  bool was_failing[LOAD_REPORTS_MAX];
  const struct endpoint_report *r;
  int i, n = message->nreports;

  for (i = 0; i < n; i++)
    {
      at[i] = fleet_find_key (&e->fleet, message->reports[i].endpoint);
      was_failing[i] = at[i] != NULL && at[i]->peer_report.is_failing;
    }
  observe_apply (&e->fleet, message, near, now_us);
  for (i = 0; i < n; i++)
    {
      r = &message->reports[i];
      if (at[i] == NULL || !observe_is_recent (r))
        continue;
      log_report (at[i], message->vm, r, was_failing[i], now_us);
      if (near)
        relays_add_pressure (e->relays, at[i], r->running, r->waiting, now_us);
    }
}

static const uint8_t *
seal_key (void *arg)
{
  const struct entry *e = arg;

  return quarfeed_key (e->quarfeed);
}

/* --- quarantine ------------------------------------------------------ */

static int64_t
platform_ms (void *arg, int64_t now_us)
{
  struct entry *e = arg;

  return follow_clock_ms (e->follow, now_us);
}

static void
on_evidence (void *arg, int64_t now_us)
{
  struct entry *e = arg;

  quarfeed_changed (e->quarfeed, now_us);
}

static bool
is_evidence_ready (void *arg, int64_t now_us)
{
  struct entry *e = arg;

  return quarfeed_is_ready (e->quarfeed, now_us);
}

static void
send_evidence (void *arg, const GByteArray *datagram)
{
  struct entry *e = arg;

  if (e->load_gossip != NULL)
    loadgossip_send (e->load_gossip, datagram);
}

static bool
receive_datagram (void *arg, const char *data, size_t len, int64_t now_us)
{
  struct entry *e = arg;

  return quarfeed_receive (e->quarfeed, data, len, now_us)
         || originfeed_receive (e->origins, data, len, now_us);
}

/* The selected VM changes at each interval, since it may have stopped. */
static bool
may_run_suspect (void *arg, const struct reqid *id, int64_t now_us)
{
  const struct entry *e = arg;
  int64_t rotation = platform_ms (arg, now_us) / SUSPECT_ROTATION_MS;

  return e->load_gossip == NULL
         || loadgossip_ranks_first (
             e->load_gossip,
             XXH3_64bits_withSeed (id, sizeof *id, (uint64_t)rotation));
}

/* Probers rotate like the VMs that send suspect requests. */
static bool
may_probe (void *arg, uint64_t endpoint, int64_t now_us)
{
  const struct entry *e = arg;
  int64_t rotation = platform_ms (arg, now_us) / SUSPECT_ROTATION_MS;

  return e->load_gossip == NULL
         || loadgossip_ranks_first (
             e->load_gossip, XXH3_64bits_withSeed (&endpoint, sizeof endpoint,
                                                   (uint64_t)rotation));
}

static void
make_quarfeed (struct entry *e)
{
  struct quarfeed_opts o = { .loop = e->worker->loop, .quar = e->quar };

  entry_adapter.rowstore_ops (e->store, ROWSTORE_CRASHES, &o.ops);
  o.vm = cfg_vm (e->settings)->name;
  o.clock_ms = platform_ms;
  o.send = send_evidence;
  o.arg = e;
  o.seed = seed_of (cfg_vm (e->settings));
  e->quarfeed = quarfeed_new (&o);
}

/* --- where streams began ---------------------------------------------- */

static int
send_origin (void *arg, uint64_t stream, int places,
             const GByteArray *datagram)
{
  struct entry *e = arg;

  if (e->load_gossip == NULL)
    return 0;
  return loadgossip_send_ranked (e->load_gossip, stream, places, datagram);
}

static void
reply_origin (void *arg, const GByteArray *datagram)
{
  struct entry *e = arg;

  loadgossip_reply (e->load_gossip, datagram);
}

static int
count_vms (void *arg)
{
  const struct entry *e = arg;
  g_autoptr (GArray) vms
      = g_array_new (FALSE, FALSE, sizeof (struct mirror_peer));

  if (e->load_gossip == NULL
      || !loadgossip_list_peers (e->load_gossip, false, vms))
    return 1;
  return (int)vms->len + 1;
}

static void
make_origin_store (struct entry *e)
{
  struct originstore_opts o = { .loop = e->worker->loop, .arg = e };

  entry_adapter.rowstore_ops (e->store, ROWSTORE_STREAMS, &o.ops);
  o.clock_ms = platform_ms;
  o.count_vms = count_vms;
  randombytes_buf (&o.life, sizeof o.life);
  e->origin_store = originstore_new (&o);
}

static void
make_origins (struct entry *e)
{
  struct originfeed_opts o = { .loop = e->worker->loop, .arg = e };

  o.store = e->origin_store;

  o.vm = cfg_vm (e->settings)->name;
  o.seal_key = seal_key;
  o.clock_ms = platform_ms;
  o.send = send_origin;
  o.reply = reply_origin;
  e->origins = originfeed_new (&o);
}

static bool
may_write_builds (void *arg, int64_t now_us)
{
  const struct entry *e = arg;

  return e->mirror == NULL || !mirrorfeed_is_client (e->mirror, now_us);
}

static void
make_builds (struct entry *e)
{
  struct buildfeed_opts o = { .loop = e->worker->loop, .fleet = &e->fleet };

  entry_adapter.rowstore_ops (e->store, ROWSTORE_BUILDS, &o.ops);
  o.clock_ms = platform_ms;
  o.may_write = may_write_builds;
  o.arg = e;
  o.seed = seed_of (cfg_vm (e->settings));
  e->builds = buildfeed_new (&o);
}

static int64_t
known_version (void *arg, enum follow_source source)
{
  const struct entry *e = arg;

  return follow_version (e->follow, source);
}

static int64_t
known_era (void *arg)
{
  const struct entry *e = arg;

  return follow_era (e->follow);
}

static void
read_builds (void *arg, buildcheck_read done, void *done_arg)
{
  struct entry *e = arg;

  buildfeed_read (e->builds, done, done_arg);
}

static void
make_build_check (struct entry *e)
{
  struct buildcheck_opts o
      = { .loop = e->worker->loop, .fleet = &e->fleet, .arg = e };

  entry_adapter.follow_ops (e->store, &o.platform);
  o.version = known_version;
  o.era = known_era;
  o.read_builds = read_builds;
  o.count_vms = count_vms;
  e->build_check = buildcheck_new (&o);
}

/* --- shares of rates -------------------------------------------------- */

static int
cold_share_of (void *arg, uint64_t endpoint, int rate)
{
  const struct entry *e = arg;

  return e->load_gossip != NULL
             ? loadgossip_cold_share (e->load_gossip, endpoint, rate)
             : 0;
}

static int64_t
limit_interval_of (void *arg, uint64_t endpoint, int64_t milli, int64_t now_us)
{
  const struct entry *e = arg;

  if (e->load_gossip == NULL)
    return LIMIT_PROBE_INTERVAL_US;
  return loadgossip_limit_interval (e->load_gossip, endpoint, milli,
                                    platform_ms (arg, now_us));
}

static int
brittle_rank_of (void *arg, uint64_t endpoint, int *vms)
{
  const struct entry *e = arg;

  *vms = 1;
  return e->load_gossip != NULL
             ? loadgossip_rank (e->load_gossip, endpoint, vms)
             : 0;
}

static bool
choose_owner (void *arg, uint64_t endpoint, int owners, bool near,
              uint64_t random, struct mirror_peer *vm)
{
  const struct entry *e = arg;

  return e->load_gossip != NULL
         && loadgossip_choose_ranked (e->load_gossip, endpoint, owners, near,
                                      random, vm);
}

/* --- requests forwarded between VMs ----------------------------------- */

/* Called only while requests need another VM.  One that has just started may
   not be in the roster as this VM read it. */
static bool
list_vms (void *arg, bool near, GArray *vms)
{
  const struct entry *e = arg;

  if (e->load_gossip == NULL)
    return false;
  loadgossip_read_unlisted (e->load_gossip, loop_now_us ());
  return loadgossip_list_peers (e->load_gossip, near, vms);
}

static char *
seal_forward (void *arg, const struct relay_desc *d, int64_t now_us)
{
  struct entry *e = arg;
  const uint8_t *key = seal_key (e);
  int64_t now_ms = platform_ms (e, now_us);

  return key != NULL && now_ms > 0 ? forwardseal_make (d, now_ms, key) : NULL;
}

static bool
accept_forward (void *arg, const struct relay_desc *d, const char *seal,
                int64_t now_us)
{
  struct entry *e = arg;
  const uint8_t *key = seal_key (e);
  int64_t now_ms = platform_ms (e, now_us);

  return key != NULL && now_ms > 0 && forwardseal_check (d, seal, now_ms, key);
}

/* A question to another VM. */
struct path_question
{
  struct entry *entry;
  uint8_t nonce[PATHWIRE_NONCE_BYTES]; /* of the question */
  vm_asked done;                       /* gets the answer */
  void *arg;                           /* passed to it */
};

static void
on_paths (void *arg, int status, const GString *body)
{
  struct path_question *q = arg;
  const uint8_t *key = seal_key (q->entry);
  struct vmpath_answer a;

  if (status == 200 && key != NULL
      && pathwire_read_answer ((const uint8_t *)body->str, body->len, key,
                               q->nonce, &a))
    q->done (q->arg, &a, false);
  else
    q->done (q->arg, NULL, status == 404);
  g_free (q);
}

static bool
ask_paths (void *arg, const char *address, vm_asked done, void *done_arg)
{
  struct entry *e = arg;
  const uint8_t *key = seal_key (e);
  g_autoptr (GByteArray) question = NULL;
  struct path_question *q;

  if (key == NULL)
    return false;
  q = g_new0 (struct path_question, 1);
  q->entry = e;
  q->done = done;
  q->arg = done_arg;
  randombytes_buf (q->nonce, sizeof q->nonce);
  question = pathwire_question (q->nonce, key);
  mirrorhttp_ask_paths (e->worker->pool, address, question, on_paths, q);
  return true;
}

/* A VM that would refuse a caller's request helps no other VM either. */
static int
answer_paths (void *arg, const uint8_t *data, size_t len,
              GByteArray **answered)
{
  struct entry *e = arg;
  const uint8_t *key = seal_key (e);
  uint8_t nonce[PATHWIRE_NONCE_BYTES];
  struct vmpath_answer a;

  if (key == NULL || !pathwire_read_question (data, len, key, nonce))
    return 403;
  if (!entry_is_ready (e, loop_now_us ()))
    return 503;
  relays_describe_paths (e->relays, &a);
  *answered = pathwire_answer (nonce, &a, key);
  return 200;
}

static void
make_relays (struct entry *e)
{
  const struct cfg_vm *vm = cfg_vm (server_cfg (e->worker->server));
  struct relays_opts o = { .loop = e->worker->loop, .fleet = &e->fleet };

  entry_adapter.engine_ops (&o.engine, e->worker->pool);
  o.parts = &e->parts;
  o.origins = e->origins;
  o.builds = e->build_check;
  o.loads = e->loads;
  o.on_work_changed = on_work_changed;
  o.work_arg = e;
  o.on_observed = e->observe != NULL ? on_observed : NULL;
  o.observed_arg = e;
  o.quar = e->quar;
  o.clock_ms = platform_ms;
  o.on_evidence = on_evidence;
  o.is_evidence_known = is_evidence_ready;
  o.may_run_suspect = may_run_suspect;
  o.quar_arg = e;
  o.may_probe = may_probe;
  o.on_seen = e->observe != NULL ? on_endpoint_seen : NULL;
  o.health_arg = e;
  o.list_vms = e->cfg->forward ? list_vms : NULL;
  o.ask_paths = ask_paths;
  o.choose_owner = choose_owner;
  o.seal_forward = seal_forward;
  o.forward_arg = e;
  o.domain = vm->domain;
  o.key_max_age_us = e->cfg->revoke_ms * CQ_US_PER_MS - REVOCATION_MARGIN_US;
  o.denial_max_age_us = denial_max_age_us (e->cfg);
  o.route_shares = e->cfg->route_shares;
  o.share_reports = e->cfg->share_reports;
  o.plan_returns = e->cfg->plan_returns;
  o.retry_percent = (int)e->cfg->retry_percent;
  o.retry_burst = (int)e->cfg->retry_burst;
  o.stream_buffer = (size_t)vm->stream_buffer_kb * 1024;
  o.answer_max = (size_t)vm->answer_max_kb * 1024;
  o.answers_max = o.answer_max * ANSWERS_HELD;
  o.seed = seed_of (vm);
  e->relays = relays_new (&o);
}

/* --- lists from other VMs -------------------------------------------- */

static bool
list_peers (void *arg, bool near, GArray *peers)
{
  const struct entry *e = arg;

  return e->load_gossip != NULL
         && loadgossip_list_peers (e->load_gossip, near, peers);
}

static int64_t
list_roster (void *arg, GArray *rows)
{
  const struct entry *e = arg;

  return e->load_gossip != NULL ? loadgossip_list_roster (e->load_gossip, rows)
                                : 0;
}

static int
link_mbit_s (const struct entry *e)
{
  double link = g_ascii_strtod (e->cfg->link_mbit_s, NULL);

  return link > 0 && link < G_MAXINT ? (int)link : 0;
}

/* Returns false if its address cannot be listened on. */
static bool
make_mirror (struct entry *e)
{
  const struct cfg_vm *vm = cfg_vm (e->settings);
  struct mirrorfeed_opts o = { .loop = e->worker->loop, .arg = e };
  struct mirrorserve_opts serve = { .arg = e };

  e->list_fd = server_listen (e->worker->server, e->cfg->tell);
  if (e->list_fd < 0)
    return false;
  entry_adapter.follow_ops (e->store, &o.direct);
  entry_adapter.roster_ops (e->store, &o.direct_roster);
  mirrorhttp_ops (&o.ops, e->worker->pool);
  o.vm = vm->name;
  o.link_mbit_s = link_mbit_s (e);
  o.min_vms = (int)e->cfg->share_vms;
  o.drain_ms = e->cfg->drain_ms;
  serve.list_roster = list_roster;
  serve.seal_key = seal_key;
  e->mirror_serve = mirrorserve_new (&serve);
  o.serve = e->mirror_serve;
  o.list_peers = list_peers;
  o.seal_key = seal_key;
  o.seed = seed_of (vm);
  e->mirror = mirrorfeed_new (&o);
  e->mirror_http = mirrorhttp_open (e->worker, e->list_fd, e->mirror_serve,
                                    o.link_mbit_s, e->cfg->forward);
  if (e->mirror_http != NULL && e->cfg->forward)
    {
      mirrorhttp_accept_forwarded (
          e->mirror_http, entry_adapter.forwarded_ops (), &e->listener_ctx);
      mirrorhttp_answer_paths (e->mirror_http, answer_paths, e);
    }
  return e->mirror_http != NULL;
}

/* Returns false if an address is set but cannot be listened on. */
static bool
make_load_gossip (struct entry *e)
{
  const struct cfg_vm *vm = cfg_vm (e->settings);
  struct loadgossip_opts o
      = { .loop = e->worker->loop, .collect_load = relays_collect_load };

  g_autofree char *list_address = NULL;

  if (e->cfg->tell[0] == '\0')
    return true;
  if (!make_mirror (e))
    return false;
  mirrorfeed_roster_ops (e->mirror, &o.ops);
  list_address = server_address (e->list_fd, e->cfg->tell);
  o.list_address = list_address;
  o.link_mbit_s = link_mbit_s (e);
  o.ctx = e->relays;
  o.load_table = e->loads;
  o.observe = e->observe;
  o.seal_key = seal_key;
  o.on_reports = on_reports;
  o.reports_ctx = e;
  o.on_other_datagram = receive_datagram;
  o.on_other_ctx = e;
  o.vm = vm->name;
  o.domain = vm->domain;
  o.listen = e->cfg->tell;
  o.seed = seed_of (vm);
  e->load_gossip = loadgossip_new (&o);
  if (e->load_gossip == NULL)
    log_event (LOG_LEVEL_ERROR, "tell_listen", "address=%s outcome=failed",
               e->cfg->tell);
  return e->load_gossip != NULL;
}

static bool
open_listeners (struct entry *e)
{
  struct server *s = e->worker->server;
  struct http_listener_opts o = { .ops = &ready_ops, .owner = e };

  e->caller_fd = server_listen (s, e->cfg->listen);
  e->ready_fd = server_listen (s, e->cfg->ready);
  if (e->caller_fd < 0 || e->ready_fd < 0)
    return false;
  o.close_from = PHASE_STOPPED;
  o.connections = READY_CONNECTIONS;
  o.idle_timeout_s = READY_IDLE_S;
  o.connection_memory = READY_MEMORY;
  e->ready_listener = http_listener_open (e->worker, e->ready_fd, &o);
  e->listener_ctx.relays = e->relays;
  e->listener_ctx.fleet = &e->fleet;
  e->listener_ctx.accept_forward = accept_forward;
  e->listener_ctx.forward_arg = e;
  e->caller_listener = entry_adapter.open_listener (e->worker, e->caller_fd,
                                                    &e->listener_ctx);
  return e->ready_listener != NULL && e->caller_listener != NULL;
}

struct entry *
entry_new (struct worker *w)
{
  struct entry *e = g_new0 (struct entry, 1);

  e->worker = w;
  e->list_fd = -1;
  e->settings = cfg_ref (server_cfg (w->server));
  e->cfg = cfg_entry (e->settings);
  fleet_init (&e->fleet);
  if (!fleet_parse_regions (&e->fleet, e->cfg->regions))
    log_event (LOG_LEVEL_ERROR, "regions", "outcome=unreadable text=\"%s\"",
               e->cfg->regions);
  e->fleet.cold_share = cold_share_of;
  e->fleet.limit_interval_us = limit_interval_of;
  e->fleet.brittle_rank = brittle_rank_of;
  e->fleet.share_arg = e;
  e->fleet.can_forward = e->cfg->forward;
  e->fleet.list_age_max_us = e->cfg->drain_ms * CQ_US_PER_MS;
  e->fleet.outdated_accept_us
      = e->cfg->version_ms * CQ_US_PER_MS - OUTDATED_ACCEPT_MARGIN_US;
  e->fleet.factors.pending_prefill = (int)e->cfg->weigh_unread;
  e->fleet.factors.memory = (int)e->cfg->weigh_memory;
  e->fleet.factors.parts = (int)e->cfg->weigh_parts;
  e->fleet.outdated_start_us
      = e->cfg->version_ms * CQ_US_PER_MS - OUTDATED_START_MARGIN_US;
  e->loads = load_new ();
  e->observe = e->cfg->share_reports ? observe_new () : NULL;
  e->quar = quar_new (e->cfg->quarantine_s * CQ_US_PER_S / CQ_US_PER_MS);
  make_partfeed (e);
  e->store = entry_adapter.open (w->pool, e->cfg->store);
  make_origin_store (e);
  make_origins (e);
  make_build_check (e);
  make_relays (e);
  if (!open_listeners (e))
    return NULL;
  make_orders (e);
  make_quarfeed (e);
  make_builds (e);
  if (!make_load_gossip (e))
    return NULL;
  start_following (e);
  quarfeed_start (e->quarfeed, loop_now_us ());
  e->sweep_timer.fire = on_sweep;
  e->sweep_timer.arg = e;
  loop_arm (w->loop, &e->sweep_timer, loop_now_us () + SWEEP_INTERVAL_US);
  return e;
}

/* --- stop ------------------------------------------------------------ */

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
  if (e->mirror != NULL)
    mirrorfeed_stop (e->mirror);
  partfeed_stop (e->partfeed);
  quarfeed_stop (e->quarfeed);
  buildcheck_stop (e->build_check);
  buildfeed_stop (e->builds);
  originstore_stop (e->origin_store);
  if (e->load_gossip != NULL)
    loadgossip_stop (e->load_gossip);
  loop_disarm (&e->sweep_timer);
}

void
entry_stop_requests (struct entry *e)
{
  relays_stop (e->relays, loop_now_us ());
}

void
entry_close_listeners (struct entry *e)
{
  http_listener_close (e->caller_listener);
  http_listener_close (e->ready_listener);
  mirrorhttp_close (e->mirror_http);
}

int
entry_pending_calls (const struct entry *e)
{
  if (e == NULL)
    return 0;
  return follow_pending_calls (e->follow) + orders_pending_calls (e->orders)
         + partfeed_pending_calls (e->partfeed)
         + quarfeed_pending_calls (e->quarfeed)
         + buildfeed_pending_calls (e->builds)
         + buildcheck_pending_calls (e->build_check)
         + originstore_pending_calls (e->origin_store)
         + (e->load_gossip != NULL ? loadgossip_pending_calls (e->load_gossip)
                                   : 0);
}

void
entry_free (struct entry *e)
{
  if (e == NULL)
    return;
  follow_free (e->follow);
  mirrorfeed_free (e->mirror);
  if (e->mirror_serve != NULL)
    mirrorserve_free (e->mirror_serve);
  quarfeed_free (e->quarfeed);
  buildfeed_free (e->builds);
  orders_free (e->orders);
  partfeed_free (e->partfeed);
  relays_free (e->relays);
  buildcheck_free (e->build_check);
  originfeed_free (e->origins);
  originstore_free (e->origin_store);
  if (e->load_gossip != NULL)
    loadgossip_free (e->load_gossip);
  quar_free (e->quar);
  load_free (e->loads);
  observe_free (e->observe);
  parts_clear (&e->parts);
  fleet_clear (&e->fleet);
  entry_adapter.close (e->store);
  close (e->caller_fd);
  close (e->ready_fd);
  if (e->list_fd >= 0)
    close (e->list_fd);
  cfg_free (e->settings);
  g_free (e);
}
