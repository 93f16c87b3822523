/* Unit tests of cold endpoints: which VMs may send there, and when. */
#include <glib.h>
#include <string.h>

#include "cold.h"
#include "relayharness.h"
#include "loadgossip.h"
#include "units.h"

#define RATES 40   /* highest rate, requests a second */
#define VMS 100    /* most VMs */
#define TRIES 5000 /* attempts of the simulated VM */

/* Guards against shares that add up to more than the endpoint can take. */
static void
test_shares (void)
{
  int rate, vms, rank, sum;

  for (rate = 0; rate <= RATES; rate++)
    for (vms = 1; vms <= VMS; vms++)
      {
        sum = 0;
        for (rank = 0; rank < vms; rank++)
          sum += cold_share (rate, vms, rank);
        g_assert_cmpint (sum, <=, rate);
        g_assert_true (rate == 0 || 2 * sum >= rate);
      }
}

/* Guards against a second that holds more than a VM's share of the rate. */
static void
test_second (void)
{
  struct cold c = { 0 };
  const int rate = 3;
  int64_t sent[TRIES];
  g_autoptr (GRand) rand = g_rand_new_with_seed (1);
  int64_t now = CQ_US_PER_S;
  int i, n = 0;

  cold_set_share (&c, rate, now);
  for (i = 0; i < TRIES; i++, now += g_rand_int_range (rand, 0, 200000))
    {
      if (!pace_may_send (&c.pace, now))
        continue;
      pace_sent (&c.pace, now);
      sent[n++] = now;
      g_assert_true (n <= rate || now - sent[n - 1 - rate] > CQ_US_PER_S);
    }
  g_assert_cmpint (n, >, 100);
}

/* Guards against VMs that have ended and keep their share of duties, and
   against live ones that lose theirs because they are read more often than
   they write. */
static void
test_roster_age (void)
{
  struct roster_age a = { .version = 0 };
  int i;

  for (i = 0; i < 50; i++)
    roster_note_version (&a, 1, false);
  g_assert_true (roster_is_active (&a));
  for (i = 0; i < 50; i++)
    {
      roster_note_version (&a, 2 + i / 4, true);
      g_assert_true (roster_is_active (&a));
    }
  for (i = 0; i < 5; i++)
    roster_note_version (&a, a.version, true);
  g_assert_false (roster_is_active (&a));
  g_assert_false (roster_is_expired (&a));
  roster_note_version (&a, 100, true);
  g_assert_true (roster_is_active (&a));
  for (i = 0; i < 10; i++)
    roster_note_version (&a, 100, true);
  g_assert_true (roster_is_expired (&a));
}

static int
one_a_second (void *arg, uint64_t key, int rate)
{
  (void)arg;
  (void)key;
  (void)rate;
  return 1;
}

static void
declare_cold (struct harness *p)
{
  struct fleet_service *s = g_new0 (struct fleet_service, 1);

  s->name = g_strdup ("s");
  s->cold_start_us = 3 * CQ_US_PER_S;
  s->cold_requests_s = 10;
  g_hash_table_replace (p->fleet.conf->services, s->name, s);
}

/* Guards against a burst at an endpoint that can take one request a second. */
static void
test_burst (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);
  int i, cold = 0;

  declare_cold (p);
  p->fleet.cold_share = one_a_second;
  cold_until (&harness_endpoint (p, "a")->cold,
              loop_now_us () + 60 * CQ_US_PER_S);
  for (i = 0; i < 20; i++)
    {
      p->sends = 0;
      harness_start (p);
      cold += strcmp (p->to[0], "a") == 0;
      harness_answer (p, "ok");
    }
  g_assert_cmpint (cold, ==, 1);
  harness_free (p);
}

/* Guards against a request that was placed before its endpoint became cold. */
static void
test_cold_before_send (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);

  declare_cold (p);
  harness_start (p);
  cold_until (&harness_endpoint (p, p->to[0])->cold,
              loop_now_us () + 60 * CQ_US_PER_S);
  harness_expect_next_endpoint (p);
  harness_free (p);
}

/* Guards against requests that wait for endpoints that are all cold, when
   other VMs have the shares of their rate. */
static void
test_all_cold (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);

  declare_cold (p);
  cold_until (&harness_endpoint (p, "a")->cold,
              loop_now_us () + 60 * CQ_US_PER_S);
  cold_until (&harness_endpoint (p, "b")->cold,
              loop_now_us () + 60 * CQ_US_PER_S);
  harness_start (p);
  g_assert_cmpint (p->sends, ==, 0);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  g_assert_cmpint (p->retry_after_us, >, 0);
  harness_free (p);
}

const struct unit cold_units[] = {
  { "/cold/shares", test_shares },
  { "/cold/second", test_second },
  { "/roster/age", test_roster_age },
  { "/cold/burst", test_burst },
  { "/cold/before-send", test_cold_before_send },
  { "/cold/all-cold", test_all_cold },
  { NULL, NULL },
};
