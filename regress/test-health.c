/* Unit tests of failed endpoints: evidence, verdicts, connection timeouts and
   their use by the relay. */
#include <glib.h>
#include <string.h>

#include "relayharness.h"
#include "units.h"

#define SEC CQ_US_PER_S
#define MS CQ_US_PER_MS
#define T0 (100 * SEC) /* start of simulated time */

static void
fail_at (struct health *h, uint64_t vm, bool near, int64_t at_us)
{
  health_add (h, vm, near, LOAD_SEEN_UNREACHABLE, at_us);
}

/* --- evidence -------------------------------------------------------- */

/* Guards against a single VM, cut off or faulty, that takes an endpoint away
   from all others. */
static void
test_single_vm (void)
{
  struct health h = { 0 };
  int i;

  for (i = 0; i < 100; i++)
    {
      fail_at (&h, 7, true, T0 + (int64_t)i * 10 * MS);
      g_assert_cmpint (health_evaluate (&h, T0 + (int64_t)i * 10 * MS), ==,
                       HEALTH_GOOD);
    }
  g_assert_cmpint (h.nreports, ==, 1);
}

/* Guards against ejection on fewer reports than two of this domain or three of
   any, or on reports that are more than 2 s apart. */
static void
test_thresholds (void)
{
  struct health near = { 0 }, far = { 0 }, mixed = { 0 }, slow = { 0 };

  fail_at (&near, 1, true, T0);
  fail_at (&near, 2, true, T0 + SEC);
  g_assert_cmpint (health_evaluate (&near, T0 + SEC), ==,
                   HEALTH_EJECTED_REPORTED);
  fail_at (&far, 1, false, T0);
  fail_at (&far, 2, false, T0 + MS);
  g_assert_cmpint (health_evaluate (&far, T0 + MS), ==, HEALTH_GOOD);
  fail_at (&far, 3, false, T0 + 2 * MS);
  g_assert_cmpint (health_evaluate (&far, T0 + 2 * MS), ==,
                   HEALTH_EJECTED_REPORTED);
  fail_at (&mixed, 1, true, T0);
  fail_at (&mixed, 2, false, T0);
  g_assert_cmpint (health_evaluate (&mixed, T0), ==, HEALTH_GOOD);
  fail_at (&slow, 1, true, T0);
  fail_at (&slow, 2, true, T0 + 2 * SEC);
  g_assert_cmpint (health_evaluate (&slow, T0 + 2 * SEC), ==, HEALTH_GOOD);
}

/* Guards against ejection of an endpoint that answers, and against answers to
   earlier connections that hide a failure. */
static void
test_answers (void)
{
  struct health h = { 0 };

  fail_at (&h, 1, true, T0);
  health_add (&h, 3, false, LOAD_SEEN_ANSWERED, T0 + MS);
  fail_at (&h, 2, true, T0 + 2 * MS);
  g_assert_cmpint (health_evaluate (&h, T0 + 2 * MS), ==, HEALTH_GOOD);
  /* Delivered late: the answer was after it. */
  fail_at (&h, 4, true, T0 + MS);
  g_assert_cmpint (health_evaluate (&h, T0 + 2 * MS), ==, HEALTH_GOOD);
  fail_at (&h, 1, true, T0 + 3 * MS);
  g_assert_cmpint (health_evaluate (&h, T0 + 3 * MS), ==,
                   HEALTH_EJECTED_REPORTED);
  health_add_own_answer (&h, T0 + 2 * MS);
  g_assert_cmpint (health_evaluate (&h, T0 + 4 * MS), ==,
                   HEALTH_EJECTED_REPORTED);
  health_add_own_answer (&h, T0 + 4 * MS);
  g_assert_cmpint (health_evaluate (&h, T0 + 4 * MS), ==, HEALTH_RECOVERING);
  g_assert_cmpint (health_evaluate (&h, T0 + 3 * SEC), ==, HEALTH_GOOD);
}

/* Guards against evidence that grows without bound, and loses the newest
   reports. */
static void
test_observers (void)
{
  struct health h = { 0 };
  uint64_t vm;

  for (vm = 0; vm < 20; vm++)
    fail_at (&h, vm, false, T0 + (int64_t)vm * SEC);
  g_assert_cmpint (h.nreports, ==, HEALTH_OBSERVERS_MAX);
  for (vm = 0; vm < HEALTH_OBSERVERS_MAX; vm++)
    g_assert_cmpint (h.reports[vm].seen_us, >=, T0 + 12 * SEC);
}

/* Guards against an ejection that outlasts the loss of all messages, and
   against one that ends while failures are still reported. */
static void
test_hold (void)
{
  struct health h = { 0 };
  int64_t now = T0;

  fail_at (&h, 1, true, now);
  fail_at (&h, 2, true, now);
  for (; now < T0 + 60 * SEC; now += 9 * SEC)
    {
      fail_at (&h, 3, false, now);
      g_assert_cmpint (health_evaluate (&h, now + 9 * SEC), ==,
                       HEALTH_EJECTED_REPORTED);
    }
  now -= 9 * SEC;
  g_assert_cmpint (health_evaluate (&h, now + 10 * SEC + 1), ==,
                   HEALTH_RECOVERING);
  g_assert_cmpint (health_evaluate (&h, now + 12 * SEC + 1), ==, HEALTH_GOOD);
  fail_at (&h, 3, true, now + 13 * SEC);
  g_assert_cmpint (health_evaluate (&h, now + 13 * SEC), ==, HEALTH_GOOD);
}

/* Guards against other VMs' answers that end an ejection by this VM's own
   failures, when only its link is down. */
static void
test_own (void)
{
  struct health h = { 0 };

  health_add_own_failure (&h, LOAD_SEEN_UNREACHABLE, T0, T0 + SEC);
  health_add (&h, 1, true, LOAD_SEEN_ANSWERED, T0 + MS);
  g_assert_cmpint (health_evaluate (&h, T0 + 2 * MS), ==, HEALTH_EJECTED_OWN);
  health_add_probe_answer (&h, T0 + 2 * MS);
  g_assert_cmpint (health_evaluate (&h, T0 + 2 * MS), ==, HEALTH_EJECTED_OWN);
  health_add_own_answer (&h, T0 + 3 * MS);
  g_assert_cmpint (health_evaluate (&h, T0 + 4 * MS), ==, HEALTH_RECOVERING);
}

static int
used_permille (const struct health *h, int64_t now_us)
{
  uint64_t random;
  int used = 0;

  for (random = 0; random < CQ_PERMILLE; random++)
    used += !health_is_avoided (h, random, now_us);
  return used;
}

/* Guards against all requests of all VMs at an endpoint that has just
   recovered. */
static void
test_slow_start (void)
{
  struct health h = { 0 };
  struct health_member m = { .health = &h };

  fail_at (&h, 1, true, T0);
  fail_at (&h, 2, true, T0);
  health_add (&h, 1, true, LOAD_SEEN_ANSWERED, T0 + SEC);
  health_decide (&m, 1, T0 + SEC);
  g_assert_cmpint (used_permille (&h, T0 + SEC), ==, 100);
  g_assert_cmpint (used_permille (&h, T0 + 2 * SEC), ==, 550);
  g_assert_cmpint (used_permille (&h, T0 + 3 * SEC), ==, CQ_PERMILLE);
}

/* --- bound ----------------------------------------------------------- */

#define MEMBERS 10

/* Eject N of MEMBERS by reports, member I by 2 + I observers (at most 8), with
   LOAD requests at each endpoint of 10 slots; returns how many are out. */
static int
eject_members (struct health *h, int n, int load)
{
  struct health_member m[MEMBERS];
  int i, out = 0;
  uint64_t vm;

  memset (h, 0, MEMBERS * sizeof *h);
  for (i = 0; i < MEMBERS; i++)
    {
      m[i] = (struct health_member){ &h[i], (uint64_t)i, load, 10 };
      for (vm = 0; i < n && vm < MIN (2 + (uint64_t)i, 8); vm++)
        fail_at (&h[i], vm, true, T0);
    }
  health_decide (m, MEMBERS, T0);
  for (i = 0; i < MEMBERS; i++)
    out += h[i].effect == HEALTH_EJECTED_REPORTED;
  return out;
}

/* Guards against reports that take away the capacity for the load. */
static void
test_bound (void)
{
  struct health h[MEMBERS];

  g_assert_cmpint (eject_members (h, 3, 5), ==, 3);
  g_assert_cmpint (eject_members (h, MEMBERS, 5), ==, MEMBERS / 2);
  /* The ones with the fewest observers stay. */
  g_assert_cmpint (h[0].effect, ==, HEALTH_KEPT);
  g_assert_cmpint (h[9].effect, ==, HEALTH_EJECTED_REPORTED);
  g_assert_cmpint (eject_members (h, 3, 9), ==, 0);
  g_assert_cmpint (h[0].effect, ==, HEALTH_KEPT);
  g_assert_false (health_is_avoided (&h[0], 0, T0));
  g_assert_cmpint (eject_members (h, 0, 20), ==, 0);
  g_assert_cmpint (h[0].effect, ==, HEALTH_GOOD);
}

/* --- connection timeouts --------------------------------------------- */

/* Guards against a timeout that takes slow connections of a domain for failed
   ones, or leaves no time for another endpoint. */
static void
test_conntime (void)
{
  struct conntime t = { .ndomains = 0 };
  char name[8];
  int i;

  g_assert_cmpint (conntime_timeout_us (&t, "d", SEC, T0), ==, 400 * MS);
  conntime_add (&t, "d", MS, T0);
  g_assert_cmpint (conntime_timeout_us (&t, "d", SEC, T0), ==, 100 * MS);
  g_assert_cmpint (conntime_timeout_us (&t, "other", SEC, T0), ==, 400 * MS);
  conntime_add (&t, "d", 50 * MS, T0);
  conntime_add (&t, "d", MS, T0);
  g_assert_cmpint (conntime_timeout_us (&t, "d", SEC, T0), ==, 200 * MS);
  g_assert_cmpint (conntime_timeout_us (&t, "d", 0, T0), ==, 200 * MS);
  g_assert_cmpint (conntime_timeout_us (&t, "d", 450 * MS, T0), ==, 150 * MS);
  g_assert_cmpint (conntime_timeout_us (&t, "d", 250 * MS, T0), ==, 100 * MS);
  conntime_add (&t, "d", 300 * MS, T0);
  g_assert_cmpint (conntime_timeout_us (&t, "d", 0, T0), ==, 400 * MS);
  /* The slow one is forgotten, then all. */
  conntime_add (&t, "d", MS, T0 + 6 * SEC);
  g_assert_cmpint (conntime_timeout_us (&t, "d", 0, T0 + 6 * SEC), ==,
                   400 * MS);
  g_assert_cmpint (conntime_timeout_us (&t, "d", 0, T0 + 10 * SEC), ==,
                   100 * MS);
  g_assert_cmpint (conntime_timeout_us (&t, "d", 0, T0 + 30 * SEC), ==,
                   400 * MS);
  for (i = 0; i < 40; i++)
    {
      g_snprintf (name, sizeof name, "d%d", i);
      conntime_add (&t, name, MS, T0 + 40 * SEC + i * SEC);
    }
  g_assert_cmpint (t.ndomains, ==, CONNTIME_DOMAINS_MAX);
  g_assert_cmpint (conntime_timeout_us (&t, "d39", 0, T0 + 79 * SEC), ==,
                   100 * MS);
}

/* --- the relay ------------------------------------------------------- */

/* A relay that judges endpoints by reports, and what it reports. */
struct judge
{
  struct harness *p;           /* the relay */
  struct endpoint_report last; /* the last report */
  int failures;                /* reports of failures so far */
  bool may_probe;              /* this VM probes ejected endpoints */
};

static void
on_seen (void *arg, const struct endpoint_report *seen, int64_t now_us)
{
  struct judge *j = arg;

  (void)now_us;
  j->last = *seen;
  j->failures += seen->seen != LOAD_SEEN_ANSWERED;
}

static bool
may_probe (void *arg, uint64_t endpoint, int64_t now_us)
{
  const struct judge *j = arg;

  (void)endpoint;
  (void)now_us;
  return j->may_probe;
}

static struct judge *
judge_new (void)
{
  struct judge *j = g_new0 (struct judge, 1);
  struct relayhealth_opts o = { .may_probe = may_probe };

  j->p = harness_new (FLEET_IDEMPOTENT);
  o.loop = j->p->loop;
  o.fleet = &j->p->fleet;
  o.engine = &j->p->relays->opts.engine;
  o.on_seen = on_seen;
  o.arg = j;
  j->p->relays->health = relayhealth_new (&o);
  return j;
}

static void
judge_free (struct judge *j)
{
  harness_free (j->p);
  g_free (j);
}

/* Start a request at endpoint a, the other one being avoided. */
static void
start_at_a (struct harness *p)
{
  harness_endpoint (p, "b")->full_until_us = loop_now_us () + SEC;
  harness_start (p);
  g_assert_cmpstr (p->to[(p->sends - 1) % 4], ==, "a");
}

/* Let b answer the request after the attempt at a. */
static void
answer_elsewhere (struct harness *p)
{
  g_assert_cmpstr (p->to[(p->sends - 1) % 4], ==, "b");
  harness_answer (p, "ok");
}

/* Start a request whose connection to a does not come up.  It is repeated if
   the machine delayed the test, which would count as a late loop. */
static void
start_and_time_out (struct harness *p)
{
  struct fleet_endpoint *a = harness_endpoint (p, "a");
  int64_t start;

  for (;;)
    {
      start = loop_now_us ();
      start_at_a (p);
      harness_end (p, false, false);
      if (loop_now_us () - start < 20 * MS)
        return;
      answer_elsewhere (p);
      if (a->health.probing)
        p->probe (p->probe_arg, RELAY_PROBE_ALIVE, NULL);
      a->backoff_until_us = a->failures = 0;
    }
}

static void
learn_connections (struct harness *p)
{
  relayhealth_connected (p->relays->health, harness_endpoint (p, "a"), MS,
                         loop_now_us ());
}

/* Guards against ejection after one connection that did not come up within a
   short timeout, and against reports of it to other VMs. */
static void
test_weak_failure (void)
{
  struct judge *j = judge_new ();
  struct harness *p = j->p;
  struct fleet_endpoint *a = harness_endpoint (p, "a");

  learn_connections (p);
  start_and_time_out (p);
  g_assert_cmpint (a->failures, ==, 1);
  g_assert_cmpint (a->backoff_until_us, ==, 0);
  g_assert_cmpint (j->failures, ==, 0);
  g_assert_cmpint (p->probes, ==, 1);
  answer_elsewhere (p);
  g_assert_cmpint (j->last.seen, ==, LOAD_SEEN_ANSWERED);
  /* The probe disproves it, but not the next one. */
  p->probe (p->probe_arg, RELAY_PROBE_ALIVE, NULL);
  g_assert_cmpint (a->failures, ==, 0);
  start_and_time_out (p);
  answer_elsewhere (p);
  p->probe (p->probe_arg, RELAY_PROBE_ALIVE, NULL);
  g_assert_cmpint (a->failures, ==, 1);
  pick_request_succeeded (a);
  /* The next one is confirmed by its probe, and then reported. */
  start_and_time_out (p);
  g_assert_cmpint (j->failures, ==, 0);
  p->probe (p->probe_arg, RELAY_PROBE_SILENT, NULL);
  g_assert_cmpint (j->failures, ==, 1);
  g_assert_cmpint (j->last.seen, ==, LOAD_SEEN_UNREACHABLE);
  g_assert_true (j->last.endpoint == a->key);
  g_assert_cmpint (a->backoff_until_us, >, loop_now_us ());
  answer_elsewhere (p);
  judge_free (j);
}

/* Guards against a VM that finds each failed endpoint by two requests of its
   own although another VM has reported it. */
static void
test_confirmed_by_report (void)
{
  struct judge *j = judge_new ();
  struct fleet_endpoint *a = harness_endpoint (j->p, "a");

  fail_at (&a->health, 1, false, loop_now_us ());
  start_and_time_out (j->p);
  answer_elsewhere (j->p);
  g_assert_cmpint (a->backoff_until_us, >, loop_now_us ());
  relayhealth_refresh (j->p->relays->health, loop_now_us ());
  g_assert_cmpint (a->health.effect, ==, HEALTH_EJECTED_OWN);
  judge_free (j);
}

/* Guards against one VM that reports everything as failed, and so makes each
   lost packet of another VM an ejection. */
static void
test_weak_with_report (void)
{
  struct judge *j = judge_new ();
  struct fleet_endpoint *a = harness_endpoint (j->p, "a");

  learn_connections (j->p);
  fail_at (&a->health, 1, true, loop_now_us ());
  start_and_time_out (j->p);
  answer_elsewhere (j->p);
  g_assert_cmpint (a->backoff_until_us, ==, 0);
  g_assert_cmpint (j->failures, ==, 0);
  j->p->probe (j->p->probe_arg, RELAY_PROBE_SILENT, NULL);
  g_assert_cmpint (a->backoff_until_us, >, loop_now_us ());
  g_assert_cmpint (j->failures, ==, 1);
  judge_free (j);
}

/* Guards against a busy VM that takes its own delay for a failure of the
   endpoint. */
static void
test_late_loop (void)
{
  struct judge *j = judge_new ();
  struct harness *p = j->p;
  struct fleet_endpoint *a = harness_endpoint (p, "a");

  learn_connections (p);
  start_at_a (p);
  g_assert_cmpint (p->connect_timeout_us, ==, 100 * MS);
  g_usleep (60000);
  harness_end (p, false, false);
  g_assert_cmpint (a->failures, ==, 0);
  g_assert_cmpint (p->probes, ==, 1);
  answer_elsewhere (p);
  g_assert_cmpint (j->last.seen, ==, LOAD_SEEN_ANSWERED);
  p->probe (p->probe_arg, RELAY_PROBE_ALIVE, NULL);
  judge_free (j);
}

/* Guards against a closed port that is counted like a lost packet. */
static void
test_refused (void)
{
  struct judge *j = judge_new ();
  struct relay_end e = { .connection_refused = true, .error = "" };

  start_at_a (j->p);
  j->p->event->end (j->p->arg, &e);
  g_assert_cmpint (j->last.seen, ==, LOAD_SEEN_REFUSED);
  g_assert_cmpint (harness_endpoint (j->p, "a")->backoff_until_us, >,
                   loop_now_us ());
  answer_elsewhere (j->p);
  judge_free (j);
}

/* Guards against requests that are refused because reports ejected all
   endpoints of a service. */
static void
test_last_resort (void)
{
  struct judge *j = judge_new ();
  int64_t now = loop_now_us ();
  const char *ids[] = { "a", "b" };
  struct fleet_endpoint *e;
  int i;

  for (i = 0; i < 2; i++)
    {
      e = harness_endpoint (j->p, ids[i]);
      fail_at (&e->health, 1, true, now);
      fail_at (&e->health, 2, true, now);
    }
  harness_start (j->p);
  g_assert_cmpint (j->p->sends, ==, 1);
  harness_end (j->p, false, false);
  g_assert_cmpint (j->p->sends, ==, 2);
  harness_answer (j->p, "ok");
  judge_free (j);
}

/* Guards against requests to an endpoint that others reported as failed, and
   against one that stays out after it answers a probe. */
static void
test_probe (void)
{
  struct judge *j = judge_new ();
  struct harness *p = j->p;
  struct fleet_endpoint *a = harness_endpoint (p, "a");
  int64_t now = loop_now_us ();
  int i;

  fail_at (&a->health, 1, true, now);
  fail_at (&a->health, 2, true, now);
  for (i = 0; i < 20; i++)
    {
      harness_start (p);
      g_assert_cmpstr (p->to[(p->sends - 1) % 4], ==, "b");
      harness_answer (p, "ok");
    }
  harness_run (p, 700 * MS);
  g_assert_cmpint (p->probes, ==, 0);
  j->may_probe = true;
  harness_run (p, 150 * MS);
  g_assert_cmpint (p->probes, ==, 1);
  p->probe (p->probe_arg, RELAY_PROBE_SILENT, NULL);
  harness_run (p, 800 * MS);
  g_assert_cmpint (p->probes, ==, 1);
  harness_run (p, 400 * MS);
  g_assert_cmpint (p->probes, ==, 2);
  p->probe (p->probe_arg, RELAY_PROBE_ALIVE, NULL);
  g_assert_cmpint (j->last.seen, ==, LOAD_SEEN_ANSWERED);
  relayhealth_refresh (p->relays->health, loop_now_us ());
  g_assert_cmpint (a->health.effect, ==, HEALTH_RECOVERING);
  judge_free (j);
}

/* Guards against a decision that changes while the setting is off. */
static void
test_off (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);
  struct fleet_endpoint *a = harness_endpoint (p, "a");
  int64_t now = loop_now_us ();

  fail_at (&a->health, 1, true, now);
  fail_at (&a->health, 2, true, now);
  start_at_a (p);
  g_assert_cmpint (p->connect_timeout_us, ==, 0);
  harness_end (p, false, false);
  g_assert_cmpint (a->failures, ==, 1);
  g_assert_cmpint (p->probes, ==, 0);
  answer_elsewhere (p);
  harness_free (p);
}

/* Guards against "not run" for a call of which a byte was sent: only a
   connection that did not come up lets another endpoint take it. */
static void
test_at_most_once (void)
{
  struct judge *j = judge_new ();
  struct harness *p = j->p;

  harness_route (p)->kind = FLEET_AT_MOST_ONCE;
  learn_connections (p);
  start_and_time_out (p);
  answer_elsewhere (p);
  g_assert_cmpint (p->refused, ==, -1);
  p->probe (p->probe_arg, RELAY_PROBE_ALIVE, NULL);
  p->sends = 0;
  start_at_a (p);
  g_assert_true (p->event->before_send (p->arg));
  harness_end (p, true, false);
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->refused, ==, RELAY_UNKNOWN);
  p->probe (p->probe_arg, RELAY_PROBE_ALIVE, NULL);
  judge_free (j);
}

const struct unit health_units[] = {
  { "/health/single-vm", test_single_vm },
  { "/health/thresholds", test_thresholds },
  { "/health/answers", test_answers },
  { "/health/observers", test_observers },
  { "/health/hold", test_hold },
  { "/health/own", test_own },
  { "/health/slow-start", test_slow_start },
  { "/health/bound", test_bound },
  { "/health/conntime", test_conntime },
  { "/health/weak-failure", test_weak_failure },
  { "/health/confirmed-by-report", test_confirmed_by_report },
  { "/health/weak-with-report", test_weak_with_report },
  { "/health/late-loop", test_late_loop },
  { "/health/refused", test_refused },
  { "/health/last-resort", test_last_resort },
  { "/health/probe", test_probe },
  { "/health/off", test_off },
  { "/health/at-most-once", test_at_most_once },
  { 0 },
};
