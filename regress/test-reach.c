/* Unit tests of which services this VM reaches. */
#include <glib.h>

#include "reach.h"
#include "relayharness.h"
#include "units.h"

#define MS CQ_US_PER_MS

/* Guards against a VM that takes the loss of some endpoints for a partition.
 */
static void
test_few_lost (void)
{
  struct reach r = { .nfailed = 0 };

  reach_add_failure (&r, 1, 10 * MS, 11 * MS);
  reach_add_failure (&r, 1, 20 * MS, 21 * MS);
  reach_add_failure (&r, 1, 30 * MS, 31 * MS);
  reach_add_failure (&r, 2, 40 * MS, 41 * MS);
  g_assert_false (reach_is_isolated (&r, 9));
  reach_add_connected (&r, 45 * MS);
  reach_add_failure (&r, 3, 50 * MS, 51 * MS);
  g_assert_false (reach_is_isolated (&r, 9));
}

/* Guards against a VM that reaches no endpoint and does not notice. */
static void
test_isolated (void)
{
  struct reach r = { .nfailed = 0 };

  reach_add_connected (&r, 5 * MS);
  reach_add_failure (&r, 1, 10 * MS, 11 * MS);
  reach_add_failure (&r, 2, 11 * MS, 12 * MS);
  g_assert_true (reach_is_isolated (&r, 2));
  g_assert_false (reach_is_isolated (&r, 3));
  reach_add_failure (&r, 3, 12 * MS, 13 * MS);
  g_assert_true (reach_is_isolated (&r, 9));
  reach_add_connected (&r, 20 * MS);
  g_assert_false (reach_is_isolated (&r, 9));
  g_assert_false (reach_is_isolated (&r, 0));
}

/* Guards against a VM that takes connections that hung before it reached its
   endpoints again for a new partition. */
static void
test_late_failures (void)
{
  struct reach r = { .nfailed = 0 };
  uint64_t i;

  reach_add_connected (&r, 300 * MS);
  for (i = 0; i < 9; i++)
    reach_add_failure (&r, i, 100 * MS, 500 * MS);
  g_assert_false (reach_is_isolated (&r, 9));
}

/* Guards against probes that crowd endpoints for as long as they are gone. */
static void
test_probe_pace (void)
{
  struct reach r = { .nfailed = 0 };
  int64_t now;
  int n = 0;

  reach_add_failure (&r, 1, 0, 1);
  for (now = 0; now < 20000 * MS; now += 10 * MS)
    n += reach_take_probe (&r, now);
  g_assert_cmpint (n, >=, 10);
  g_assert_cmpint (n, <=, 13);
}

static void
fail_to_connect (struct harness *p)
{
  harness_start (p);
  harness_fail_to_connect (p);
}

/* Guards against a VM that finds its endpoints again only by requests that
   fail. */
static void
test_probed (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);

  fail_to_connect (p);
  g_assert_cmpint (p->sends, ==, 2);
  g_assert_true (relayreach_is_isolated (p->relays->reach, "s"));
  harness_run (p, 400 * MS);
  g_assert_cmpint (p->probes, ==, 1);
  p->probe (p->probe_arg, RELAY_PROBE_SILENT, NULL);
  g_assert_true (relayreach_is_isolated (p->relays->reach, "s"));
  harness_run (p, 300 * MS);
  g_assert_cmpint (p->probes, ==, 2);
  p->probe (p->probe_arg, RELAY_PROBE_ALIVE, NULL);
  g_assert_false (relayreach_is_isolated (p->relays->reach, "s"));
  harness_free (p);
}

/* Guards against a probe that returns after the relay is gone. */
static void
test_probe_outlives (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);
  relay_probe_done done;
  void *arg;

  fail_to_connect (p);
  harness_run (p, 400 * MS);
  done = p->probe;
  arg = p->probe_arg;
  harness_free (p);
  done (arg, RELAY_PROBE_ALIVE, NULL);
}

/* Guards against an old connection that is taken for a path to endpoints. */
static void
test_old_connection (void)
{
  struct harness *p = harness_new (FLEET_STREAM);
  const struct relay_events *event;
  void *arg;
  struct relay_end end = { .handed_over = true, .whole = true, .error = "" };

  end.connect_us = 1;
  harness_start (p);
  g_assert_true (p->event->before_send (p->arg));
  harness_head (p, 200);
  harness_body (p, "id: 1\ndata: a\n\n");
  event = p->event;
  arg = p->arg;
  harness_run (p, 2 * MS);
  fail_to_connect (p);
  g_assert_true (relayreach_is_isolated (p->relays->reach, "s"));
  event->end (arg, &end);
  g_assert_true (relayreach_is_isolated (p->relays->reach, "s"));
  harness_free (p);
}

/* Guards against connections to an endpoint that count as a path when that
   same endpoint refuses others. */
static void
test_connected_since (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);
  struct relayreach *t = p->relays->reach;
  const struct fleet_endpoint *a = harness_endpoint (p, "a");
  const struct fleet_endpoint *b = harness_endpoint (p, "b");

  g_assert_false (relayreach_connected_since (t, a, 0));
  relayreach_connected (t, a, 10 * MS, 11 * MS);
  g_assert_false (relayreach_connected_since (t, a, 5 * MS));
  g_assert_true (relayreach_connected_since (t, b, 5 * MS));
  g_assert_false (relayreach_connected_since (t, b, 10 * MS));
  relayreach_connected (t, b, 20 * MS, 21 * MS);
  relayreach_connected (t, b, 30 * MS, 31 * MS);
  g_assert_true (relayreach_connected_since (t, a, 25 * MS));
  g_assert_true (relayreach_connected_since (t, b, 5 * MS));
  g_assert_false (relayreach_connected_since (t, b, 15 * MS));
  harness_free (p);
}

const struct unit reach_units[] = {
  { "/reach/connected-since", test_connected_since },
  { "/reach/few-lost", test_few_lost },
  { "/reach/isolated", test_isolated },
  { "/reach/late-failures", test_late_failures },
  { "/reach/probe-pace", test_probe_pace },
  { "/reach/probed", test_probed },
  { "/reach/probe-outlives", test_probe_outlives },
  { "/reach/old-connection", test_old_connection },
  { NULL, NULL },
};
