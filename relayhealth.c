/* Observations of endpoints by the relay, and probes of ejected endpoints. */
#include "relayhealth.h"

#include <string.h>

#include "decide.h"
#include "log.h"
#include "met.h"

/* An ejected endpoint is probed after this time, and then at this interval. */
#define PROBE_FIRST_US (500 * CQ_US_PER_MS)
#define PROBE_INTERVAL_US (1 * CQ_US_PER_S)
/* Probes under way at a time; each waits for at most 0.8 s. */
#define PROBES_MAX 64
/* Interval at which ejected endpoints are checked without a request. */
#define CHECK_INTERVAL_US (100 * CQ_US_PER_MS)
/* Endpoints are decided at this interval at most: with 140 of them, and again
   at once after an observation of this VM. */
#define REFRESH_INTERVAL_US (5 * CQ_US_PER_MS)
/* Time that a probe waits for a connection, as CONNECT_TIMEOUT_MS. */
#define PROBE_CONNECT_US CONNTIME_MAX_US
/* The lateness of the loop is measured at this interval while attempts wait
   for their connections. */
#define TICK_US (20 * CQ_US_PER_MS)
/* If the loop was late by 1 / this of the timeout, the VM and not the endpoint
   may have missed the connection. */
#define LATE_DIVISOR 4

struct relayhealth
{
  struct relayhealth_opts opts; /* copy of the options */
  struct conntime conntime;     /* how long connections take */
  struct loop_timer check;      /* decides and probes without a request */
  struct loop_timer tick;       /* measures how late the loop is */
  int64_t late_us;              /* sum of its lateness */
  int64_t connecting_until_us;  /* until then, attempts may wait for their
                                   connections */
  int64_t refreshed_us;         /* when endpoints were last decided */
  int nprobes;                  /* probes under way */
  bool closed;                  /* freed when no probe is under way */
};

/* A probe under way. */
struct probe
{
  struct relayhealth *owner;
  struct relayhealth_attempt attempt; /* the probe; holds a reference */
  bool confirms; /* whether an attempt's connection could be established */
};

/* --- lateness of the loop -------------------------------------------- */

static void
on_tick (void *arg, int64_t now_us)
{
  struct relayhealth *t = arg;

  t->late_us += now_us - t->tick.due_us;
  if (now_us < t->connecting_until_us)
    loop_arm (t->opts.loop, &t->tick, now_us + TICK_US);
}

/* Sockets are read before timers fire, so that the tick may be overdue. */
static int64_t
lateness_us (const struct relayhealth *t, int64_t now_us)
{
  return t->late_us + (t->tick.armed ? MAX (now_us - t->tick.due_us, 0) : 0);
}

static void
measure_lateness (struct relayhealth *t, struct relayhealth_attempt *a)
{
  a->late_us = lateness_us (t, a->started_us);
  t->connecting_until_us
      = MAX (t->connecting_until_us, a->started_us + a->timeout_us);
  if (!t->tick.armed)
    loop_arm (t->opts.loop, &t->tick, a->started_us + TICK_US);
}

static bool
was_loop_late (const struct relayhealth *t,
               const struct relayhealth_attempt *a, int64_t now_us)
{
  return lateness_us (t, now_us) - a->late_us >= a->timeout_us / LATE_DIVISOR;
}

/* --- verdicts -------------------------------------------------------- */

static void
log_change (const struct fleet_endpoint *e, enum health_state before,
            int64_t now_us)
{
  static const char *const names[] = {
    [LOAD_SEEN_ANSWERED] = "answered",
    [LOAD_SEEN_UNREACHABLE] = "unreachable",
    [LOAD_SEEN_REFUSED] = "refused",
    [LOAD_SEEN_FAILED] = "failed",
  };
  const struct health *h = &e->health;
  bool was_out
      = before == HEALTH_EJECTED_OWN || before == HEALTH_EJECTED_REPORTED;

  met_add (MET_EJECTED_OWN, !was_out && h->effect == HEALTH_EJECTED_OWN);
  met_add (MET_EJECTED_REPORTED,
           !was_out && h->effect == HEALTH_EJECTED_REPORTED);
  log_event (LOG_LEVEL_INFO, "endpoint_health",
             "endpoint=%s outcome=%s before=%s observers=%d own=%s "
             "failures=%d age_us=%" G_GINT64_FORMAT,
             e->listing.id, health_name (h->effect), health_name (before),
             h->nreports, h->own_us > 0 ? names[h->own] : "none", e->failures,
             (gint64)health_age_us (h, now_us));
}

static void
decide_service (struct fleet *f, const char *service, int64_t now_us)
{
  g_autoptr (GArray) members
      = g_array_new (FALSE, FALSE, sizeof (struct health_member));
  struct fleet_endpoint *e;

  APR_RING_FOREACH (e, &f->endpoints, fleet_endpoint, link)
  {
    struct health_member m = { .health = &e->health, .key = e->key };

    if (e->draining || strcmp (e->listing.service, service) != 0)
      continue;
    m.load = pick_load (e, now_us);
    m.slots = e->listing.slots;
    g_array_append_val (members, m);
  }
  health_decide ((struct health_member *)(void *)members->data,
                 (int)members->len, now_us);
}

static void
decide_alone (struct fleet_endpoint *e, int64_t now_us)
{
  struct health_member m = { .health = &e->health, .key = e->key };

  health_decide (&m, 1, now_us);
}

/* Services with an endpoint that reports eject are decided as a whole, since
   the bound concerns all their endpoints. */
static void
decide (struct fleet *f, int64_t now_us)
{
  struct fleet_endpoint *e;

  APR_RING_FOREACH (e, &f->endpoints, fleet_endpoint, link)
  {
    if (health_evaluate (&e->health, now_us) != HEALTH_EJECTED_REPORTED)
      decide_alone (e, now_us);
    else if (e->health.decided_us != now_us)
      decide_service (f, e->listing.service, now_us);
  }
}

static bool
is_probe_due (const struct relayhealth *t, const struct fleet_endpoint *e,
              int64_t now_us)
{
  const struct health *h = &e->health;

  return health_is_ejected (h) && !h->probing && !e->draining
         && now_us >= h->ejected_us + PROBE_FIRST_US
         && now_us >= h->probed_us + PROBE_INTERVAL_US
         && (t->opts.may_probe == NULL
             || t->opts.may_probe (t->opts.arg, e->key, now_us));
}

static void start_probe (struct relayhealth *t, struct fleet_endpoint *e,
                         bool confirms, int64_t now_us);

void
relayhealth_refresh (struct relayhealth *t, int64_t now_us)
{
  struct fleet_endpoint *e;
  bool ejected = false;

  if (now_us < t->refreshed_us + REFRESH_INTERVAL_US)
    return;
  t->refreshed_us = now_us;
  decide (t->opts.fleet, now_us);
  APR_RING_FOREACH (e, &t->opts.fleet->endpoints, fleet_endpoint, link)
  {
    if (e->health.effect != e->health.logged)
      log_change (e, e->health.logged, now_us);
    e->health.logged = e->health.effect;
    ejected |= health_is_ejected (&e->health);
    if (is_probe_due (t, e, now_us))
      start_probe (t, e, false, now_us);
  }
  if (ejected && !t->check.armed)
    loop_arm (t->opts.loop, &t->check, now_us + CHECK_INTERVAL_US);
}

static void
on_check (void *arg, int64_t now_us)
{
  relayhealth_refresh (arg, now_us);
}

/* --- observations ---------------------------------------------------- */

static void
report (const struct relayhealth *t, const struct fleet_endpoint *e,
        struct endpoint_report seen, int64_t seen_us, int64_t now_us)
{
  seen.endpoint = e->key;
  seen.age_us = now_us - seen_us;
  if (t->opts.on_seen != NULL)
    t->opts.on_seen (t->opts.arg, &seen, now_us);
}

void
relayhealth_answered (struct relayhealth *t, struct fleet_endpoint *e,
                      int running, int waiting, int64_t connected_us,
                      int64_t now_us)
{
  struct endpoint_report seen = { .seen = LOAD_SEEN_ANSWERED };

  seen.running = running;
  seen.waiting = waiting;
  health_add_own_answer (&e->health, connected_us);
  report (t, e, seen, connected_us, now_us);
}

/* A failure that another VM reports as well needs no second one here; a weak
   one does, or one VM that reports all endpoints as failed would make each
   lost packet an ejection. */
static void
add_failure (struct relayhealth *t, const struct relayhealth_attempt *a,
             enum load_seen seen, bool is_strong, int64_t now_us)
{
  struct fleet_endpoint *e = a->endpoint;
  struct endpoint_report r = { .seen = seen, .running = -1 };
  int64_t seen_us = seen == LOAD_SEEN_FAILED ? now_us : a->started_us;
  bool ejected;

  if (seen == LOAD_SEEN_REFUSED
      || (is_strong && health_is_failure_reported (&e->health, now_us)))
    pick_connection_refused (e, now_us);
  else
    pick_request_failed (e, now_us);
  ejected = now_us < e->backoff_until_us;
  health_add_own_failure (&e->health, seen, seen_us,
                          ejected ? e->backoff_until_us : 0);
  if (is_strong || ejected)
    report (t, e, r, seen_us, now_us);
}

/*
 * A connection that did not come up in a short time may be due to a lost
 * packet, to a full queue of new connections or to this VM, so it is not
 * reported to other VMs.  It counts here, and a probe with the longest timeout
 * decides.  Otherwise busy endpoints would be ejected in an overload, and the
 * rest would have to bear their load too.  If the loop was late, the failure
 * shows nothing.
 */
void
relayhealth_failed (struct relayhealth *t, const struct relayhealth_attempt *a,
                    enum load_seen seen, int64_t now_us)
{
  bool timed_out = seen == LOAD_SEEN_UNREACHABLE;
  bool is_weak = timed_out && a->timeout_us < CONNTIME_MAX_US;
  bool is_late = timed_out && was_loop_late (t, a, now_us);

  if (!is_weak || !is_late)
    add_failure (t, a, seen, !is_weak && !is_late, now_us);
  if (is_weak || is_late)
    start_probe (t, a->endpoint, true, now_us);
  t->refreshed_us = 0;
}

/* --- connections ----------------------------------------------------- */

void
relayhealth_start (struct relayhealth *t, struct relayhealth_attempt *a,
                   int64_t target_us)
{
  a->timeout_us = conntime_timeout_us (
      &t->conntime, a->endpoint->listing.domain, target_us, a->started_us);
  measure_lateness (t, a);
}

void
relayhealth_connected (struct relayhealth *t, const struct fleet_endpoint *e,
                       int64_t took_us, int64_t now_us)
{
  conntime_add (&t->conntime, e->listing.domain, took_us, now_us);
}

/* --- probes ---------------------------------------------------------- */

static void
free_if_unused (struct relayhealth *t)
{
  if (t->closed && t->nprobes == 0)
    g_free (t);
}

/*
 * The connections that timed out are not among those that the timeout is
 * learned from.  The answer to a probe after one is, or connections that take
 * longer than the timeout would never be learned.  That answer is not
 * reported, and disproves one failure until a request is answered: if an
 * endpoint answers probes only, it would hide the failures.
 */
static void
on_probe_answer (const struct probe *p, const struct notice *notice,
                 int64_t now_us)
{
  struct relayhealth *t = p->owner;
  struct fleet_endpoint *e = p->attempt.endpoint;
  int64_t started_us = p->attempt.started_us;
  struct notice_origin from = { .source = "probe", .sent_us = started_us };
  struct endpoint_report r = { .seen = LOAD_SEEN_ANSWERED, .running = -1 };

  if (notice != NULL)
    notice_apply (e, notice, &from, now_us);
  if (p->confirms)
    {
      conntime_add (&t->conntime, e->listing.domain, now_us - started_us,
                    now_us);
      if (!e->health.disproved && now_us >= e->backoff_until_us)
        e->failures = 0;
      e->health.disproved = true;
      return;
    }
  health_add_probe_answer (&e->health, started_us);
  report (t, e, r, started_us, now_us);
}

static void
on_probe (void *arg, enum relay_probe_result result,
          const struct notice *notice)
{
  struct probe *p = arg;
  struct relayhealth *t = p->owner;
  struct fleet_endpoint *e = p->attempt.endpoint;
  int64_t now = loop_now_us ();

  t->nprobes--;
  e->health.probing = false;
  if (t->closed || e->removed)
    ;
  else if (result == RELAY_PROBE_ALIVE)
    on_probe_answer (p, notice, now);
  else if (result == RELAY_PROBE_CRASHED || result == RELAY_PROBE_REFUSED)
    add_failure (t, &p->attempt, LOAD_SEEN_REFUSED, true, now);
  else
    add_failure (t, &p->attempt, LOAD_SEEN_UNREACHABLE,
                 !was_loop_late (t, &p->attempt, now), now);
  t->refreshed_us = 0;
  fleet_endpoint_unref (e);
  g_free (p);
  free_if_unused (t);
}

static void
start_probe (struct relayhealth *t, struct fleet_endpoint *e, bool confirms,
             int64_t now_us)
{
  const struct relay_engine *engine = t->opts.engine;
  struct probe *p;

  if (engine->probe == NULL || e->health.probing || t->nprobes >= PROBES_MAX)
    return;
  p = g_new0 (struct probe, 1);
  p->owner = t;
  p->confirms = confirms;
  p->attempt.endpoint = fleet_endpoint_ref (e);
  p->attempt.started_us = now_us;
  p->attempt.timeout_us = PROBE_CONNECT_US;
  measure_lateness (t, &p->attempt);
  t->nprobes++;
  e->health.probing = true;
  e->health.probed_us = now_us;
  engine->probe (engine->ctx, e, on_probe, p);
}

/* --- life ------------------------------------------------------------ */

struct relayhealth *
relayhealth_new (const struct relayhealth_opts *opts)
{
  struct relayhealth *t = g_new0 (struct relayhealth, 1);

  t->opts = *opts;
  t->check.fire = on_check;
  t->check.arg = t;
  t->tick.fire = on_tick;
  t->tick.arg = t;
  return t;
}

void
relayhealth_free (struct relayhealth *t)
{
  loop_disarm (&t->check);
  loop_disarm (&t->tick);
  t->closed = true;
  free_if_unused (t);
}
