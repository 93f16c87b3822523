/* The relay: start and end of each request. */
#include "librelay.h"

#include <string.h>
#include <xxhash.h>

#include "log.h"
#include "met.h"

/* Interval of deadline checks, less than a tenth of the half second in which
   a request that timed out must be answered. */
#define SWEEP_INTERVAL_US (40 * CQ_US_PER_MS)
/* Every so many sweeps, callers that hung up are looked for: well within half
   a second. */
#define DISCONNECT_CHECK_SWEEPS 4

/* --- small helpers --------------------------------------------------- */

/* Work that a request asks for: the tokens of its prompt, plus one. */
static int64_t
requested_tokens (const struct relay_desc *d)
{
  int64_t work = 1;
  int i;

  for (i = 0; i < d->nparts; i++)
    work += MAX (d->parts[i].tokens, 0);
  return work;
}

/* --- sweep ----------------------------------------------------------- */

static void
on_sweep (void *arg, int64_t now_us)
{
  struct relays *rs = arg;
  bool check = ++rs->sweeps % DISCONNECT_CHECK_SWEEPS == 0;
  struct relay *r, *next;

  for (r = APR_RING_FIRST (&rs->all);
       r != APR_RING_SENTINEL (&rs->all, relay, link); r = next)
    {
      next = APR_RING_NEXT (r, link);
      if (check && r->desc.caller != NULL
          && r->desc.caller->is_disconnected (r->desc.arg))
        relay_caller_disconnected (r);
      else if (now_us >= r->deadline_us)
        relay_time_out (r, now_us);
      else if (relay_waits_too_long (r, now_us))
        relay_withdraw (r, now_us);
    }
  if (rs->count > 0)
    loop_arm (rs->opts.loop, &rs->sweep, now_us + SWEEP_INTERVAL_US);
}

/* --- requests that wait for room --------------------------------------- */

/* The oldest waiting request of each service goes first, and the others of the
   service wait on if it finds no room. */
static void
on_room (void *arg, int64_t now_us)
{
  struct relays *rs = arg;
  g_autoptr (GHashTable) full = g_hash_table_new (g_direct_hash, NULL);
  struct relay *r, *next;
  struct relay_service *s;
  int before;

  for (r = APR_RING_FIRST (&rs->all);
       r != APR_RING_SENTINEL (&rs->all, relay, link); r = next)
    {
      next = APR_RING_NEXT (r, link);
      s = r->service_state;
      if (r->state != RELAY_WAITING
          || (g_hash_table_contains (full, s)
              && !relay_has_waited_enough (r, now_us)))
        continue;
      before = --rs->nwaiting;
      relay_apply_event (r, RELAY_READY);
      relay_place (r, now_us);
      if (rs->nwaiting > before)
        g_hash_table_add (full, s);
    }
  if (rs->nwaiting > 0)
    loop_arm (rs->opts.loop, &rs->room, now_us + RELAY_ROOM_INTERVAL_US);
}

/* --- start ----------------------------------------------------------- */

static void
log_refusal (const struct relay_desc *d, const char *outcome,
             const char *reason, const struct fleet *f, int64_t now_us)
{
  log_event (LOG_LEVEL_INFO, "refuse",
             "req=%s host=%s outcome=%s reason=%s conf=%" G_GINT64_FORMAT
             " conf_age_us=%" G_GINT64_FORMAT,
             d->id, d->host, outcome, reason,
             (gint64)(f->conf != NULL ? f->conf->version : 0),
             (gint64)fleet_conf_age_us (f, now_us));
}

/* Refuse a request before it is started. */
static void
refuse_early (struct relays *rs, const struct relay_desc *d,
              enum relay_refusal why, const char *reason, int64_t now_us)
{
  int64_t wait = 0;

  if (why == RELAY_NOT_RUN)
    wait = RETRY_AFTER_STALE_US
           + (int64_t)(relay_random (rs) % (uint64_t)RETRY_JITTER_US);
  log_refusal (d, out_name (OUT_NOT_RUN), reason, rs->opts.fleet, now_us);
  met_add (MET_NOT_RUN, 1);
  d->caller->refuse (d->arg, why, wait);
}

/*
 * A denial says that there is no such route or key, and the caller gives up.
 * A change of the settings applies to requests that are sent a certain time
 * after the operator got its acknowledgement.  A VM whose settings are older
 * than that time may lack such a change, so it answers "not run" instead.  A
 * change that newer settings lack was acknowledged later and does not apply
 * yet.
 */
static void
deny (struct relays *rs, const struct relay_desc *d, enum relay_refusal why,
      const char *reason, int64_t now_us)
{
  if (fleet_conf_age_us (rs->opts.fleet, now_us) < rs->opts.denial_max_age_us)
    refuse_early (rs, d, why, reason, now_us);
  else
    refuse_early (rs, d, RELAY_NOT_RUN, "settings_behind", now_us);
}

void
relay_refuse_too_large (struct relays *rs, const struct relay_desc *d,
                        int64_t now_us)
{
  deny (rs, d, RELAY_TOO_LARGE, "body_too_large", now_us);
}

/* Find the caller's workspace by its key; refuses the request and returns
   false if the key is not accepted. */
static bool
find_workspace (struct relays *rs, const struct relay_desc *d,
                const struct fleet_route *route,
                const struct fleet_workspace **workspace, int64_t now_us)
{
  const struct fleet *f = rs->opts.fleet;
  bool stale = fleet_conf_age_us (f, now_us) > rs->opts.key_max_age_us;

  *workspace = fleet_workspace_find (f->conf, d->key);
  if (route->anonymous || !f->conf->requires_keys)
    return true;
  if (stale)
    refuse_early (rs, d, RELAY_NOT_RUN, "settings_stale", now_us);
  else if (*workspace == NULL)
    deny (rs, d, RELAY_BAD_KEY, "no_key", now_us);
  return !stale && *workspace != NULL;
}

static struct relay *
relay_new (struct relays *rs, const struct relay_desc *d,
           const struct fleet_route *route, int64_t now_us)
{
  struct relay *r = g_new0 (struct relay, 1);
  uint64_t digest = XXH3_64bits (d->id, strlen (d->id));

  r->rs = rs;
  r->desc = *d;
  r->conf = fleet_conf_ref (rs->opts.fleet->conf);
  r->route = route;
  relay_set_service (r, fleet_split_select (route, digest));
  r->arrived_us = now_us;
  r->deadline_us = now_us + route->timeout_us;
  if (d->deadline_us > 0 && d->deadline_us < r->deadline_us)
    r->deadline_us = d->deadline_us;
  r->answer = g_string_new (NULL);
  sse_init (&r->events, d->resume_after);
  APR_RING_ELEM_INIT (r, link);
  APR_RING_INSERT_TAIL (&rs->all, r, relay, link);
  rs->count++;
  met_add (MET_REQUESTS, 1);
  met_add (MET_RUNNING, 1);
  budget_earn (&r->service_state->budget);
  if (!rs->sweep.armed)
    loop_arm (rs->opts.loop, &rs->sweep, now_us + SWEEP_INTERVAL_US);
  return r;
}

/* A VM that starts must not forward requests that other VMs know to crash
   endpoints.  Otherwise, after all VMs were killed, each of them would have to
   see the crashes again. */
static bool
is_evidence_known (const struct relays *rs, int64_t now_us)
{
  const struct relays_opts *o = &rs->opts;

  return o->quar == NULL || o->is_evidence_known (o->quar_arg, now_us);
}

/* The request may end within this call, and must not be freed before it
   returns. */
struct relay *
relay_start (struct relays *rs, const struct relay_desc *d, int64_t now_us)
{
  struct fleet *f = rs->opts.fleet;
  const struct fleet_route *route;
  const struct fleet_workspace *workspace;
  struct relay *r;

  if (f->conf == NULL || !f->listed || !is_evidence_known (rs, now_us))
    {
      refuse_early (rs, d, RELAY_NOT_RUN, "nothing_known", now_us);
      return NULL;
    }
  route = fleet_route_find (f->conf, d->host, d->target);
  if (route == NULL)
    {
      deny (rs, d, RELAY_NO_ROUTE, "no_route", now_us);
      return NULL;
    }
  if (!find_workspace (rs, d, route, &workspace, now_us))
    return NULL;
  if ((int64_t)d->body_len > f->conf->limits.body_bytes)
    {
      relay_refuse_too_large (rs, d, now_us);
      return NULL;
    }
  r = relay_new (rs, d, route, now_us);
  r->workspace = workspace;
  relay_add_demand (r, requested_tokens (d), now_us);
  /* As if unpause were queued, which keeps relay_finish from freeing it. */
  r->unpause_posted = true;
  if (relay_takes_up (r))
    relay_take_up (r, now_us);
  else
    relay_place (r, now_us);
  r->unpause_posted = false;
  if (r->state != RELAY_ENDED)
    return r;
  relay_free (r);
  return NULL;
}

/* --- callers --------------------------------------------------------- */

static void
on_unpause (void *arg)
{
  struct relay *r = arg;
  const struct relay_engine *e = &r->rs->opts.engine;

  r->unpause_posted = false;
  if (r->state == RELAY_ENDED)
    relay_free (r);
  else if (r->call != NULL && r->paused)
    {
      r->paused = false;
      e->unpause (e->ctx, r->call);
    }
}

/* Posted, because the ingress and the engine adapter must not call into each
   other.  The attempt goes on once half of the buffer is free, so that it is
   not resumed for a few bytes. */
void
relay_drained (struct relay *r)
{
  if (!r->paused || r->unpause_posted
      || r->desc.caller->pending (r->desc.arg) > r->rs->opts.stream_buffer / 2)
    return;
  r->unpause_posted = true;
  r->unpause.run = on_unpause;
  r->unpause.arg = r;
  loop_post (r->rs->opts.loop, &r->unpause);
}

void
relay_caller_disconnected (struct relay *r)
{
  const struct relay_engine *e = &r->rs->opts.engine;
  int64_t now = loop_now_us ();
  bool sent = relay_state_is_handed_over (r->state) || r->may_have_run;

  relay_stop_waiting (r);
  if (!relay_apply_event (r, RELAY_CALLER_GONE))
    return;
  r->desc.caller = NULL;
  met_add (MET_CANCELS, 1);
  if (sent && r->endpoint != NULL && r->first_chunk_us == 0
      && r->route->kind == FLEET_STREAM)
    relay_record_wait (r, now);
  if (r->call != NULL)
    e->cancel (e->ctx, r->call);
  r->call = NULL;
  relay_finish (r, sent ? OUT_UNKNOWN : OUT_NOT_RUN, "caller_gone", now);
}

/* --- the requests of a worker ---------------------------------------- */

static struct relaycrash *
new_crash_detection (struct relays *rs)
{
  struct relaycrash_opts o = { .loop = rs->opts.loop, .quar = rs->opts.quar };

  if (rs->opts.quar == NULL || rs->opts.engine.probe == NULL)
    return NULL;
  o.engine = &rs->opts.engine;
  o.reach = rs->reach;
  o.clock_ms = rs->opts.clock_ms;
  o.on_evidence = rs->opts.on_evidence;
  o.arg = rs->opts.quar_arg;
  return relaycrash_new (&o);
}

static struct relayhealth *
new_health (struct relays *rs)
{
  struct relayhealth_opts o
      = { .loop = rs->opts.loop, .fleet = rs->opts.fleet };

  if (!rs->opts.share_reports)
    return NULL;
  o.engine = &rs->opts.engine;
  o.may_probe = rs->opts.may_probe;
  o.on_seen = rs->opts.on_seen;
  o.arg = rs->opts.health_arg;
  return relayhealth_new (&o);
}

static struct relayreach *
new_reach (struct relays *rs)
{
  struct relayreach_opts o
      = { .loop = rs->opts.loop, .fleet = rs->opts.fleet };

  o.engine = &rs->opts.engine;
  o.seed = rs->opts.seed;
  return relayreach_new (&o);
}

static struct relayvms *
new_vms (struct relays *rs)
{
  struct relayvms_opts o = { .loop = rs->opts.loop };

  o.list_vms = rs->opts.list_vms;
  o.ask = rs->opts.ask_paths;
  o.arg = rs->opts.forward_arg;
  o.seed = rs->opts.seed;
  return relayvms_new (&o);
}

struct relays *
relays_new (const struct relays_opts *opts)
{
  struct relays *rs = g_new0 (struct relays, 1);

  rs->opts = *opts;
  rs->random_state = opts->seed;
  rs->reach = new_reach (rs);
  rs->vms = new_vms (rs);
  rs->crash = new_crash_detection (rs);
  rs->health = new_health (rs);
  rs->sweep.fire = on_sweep;
  rs->sweep.arg = rs;
  rs->room.fire = on_room;
  rs->room.arg = rs;
  rs->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  rs->usual_timeouts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  APR_RING_INIT (&rs->all, relay, link);
  return rs;
}

void
relays_free (struct relays *rs)
{
  loop_disarm (&rs->sweep);
  loop_disarm (&rs->room);
  if (rs->crash != NULL)
    relaycrash_free (rs->crash);
  if (rs->health != NULL)
    relayhealth_free (rs->health);
  relayreach_free (rs->reach);
  relayvms_free (rs->vms);
  g_hash_table_destroy (rs->services);
  g_hash_table_destroy (rs->usual_timeouts);
  g_free (rs);
}

static void
stop_request (struct relay *r, int64_t now_us)
{
  const struct relay_engine *e = &r->rs->opts.engine;
  bool ran = relay_state_is_handed_over (r->state) || r->may_have_run;

  relay_stop_waiting (r);
  if (!relay_apply_event (r, RELAY_WITHDRAW))
    {
      relay_abort (r, now_us);
      return;
    }
  if (r->call != NULL)
    e->cancel (e->ctx, r->call);
  r->call = NULL;
  relay_give_up (r, out_abandoned (ran, relay_is_repeatable (r)), "stopping",
                 RETRY_AFTER_FAILURE_US, now_us);
}

void
relays_stop (struct relays *rs, int64_t now_us)
{
  struct relay *r, *next;

  for (r = APR_RING_FIRST (&rs->all);
       r != APR_RING_SENTINEL (&rs->all, relay, link); r = next)
    {
      next = APR_RING_NEXT (r, link);
      stop_request (r, now_us);
    }
}

void
relays_describe_paths (const struct relays *rs, struct vmpath_answer *a)
{
  const struct relay *r;

  *a = (struct vmpath_answer){ .forwarded = 0 };
  APR_RING_FOREACH (r, &rs->all, relay, link)
  a->forwarded += r->desc.forwarded;
  relayreach_describe (rs->reach, a);
}

bool
relays_is_isolated (const struct relays *rs, const char *service)
{
  return relayreach_is_isolated (rs->reach, service);
}

int
relays_count (const struct relays *rs)
{
  return rs->count;
}
