/* Unit tests of rate limits that endpoints report: over all VMs, and over
   time. */
#include <glib.h>
#include <string.h>

#include "limit.h"
#include "relayharness.h"
#include "loadgossip.h"
#include "units.h"

#define VMS_MAX 320
#define WINDOW_US (4 * CQ_US_PER_S)
#define STEP_US (20 * CQ_US_PER_MS)
#define SIMULATED_US (100 * CQ_US_PER_S)
#define ERROR_MS                                                              \
  400 /* error of a VM's reading of the platform's clock, either way */

/* Limits of an endpoint: requests in 1000 s. */
static const int64_t limits[]
    = { 0, 100, 249, 250, 400, 1000, 3000, 3400, 10250, 100000, 2000000 };

/* Guards against shares that add up to more than the limit in a window. */
static void
test_shares (void)
{
  int64_t interval_us, milli_rps, sum;
  int vms, rank;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (limits); i++)
    for (vms = 1; vms <= VMS_MAX; vms++)
      {
        milli_rps = limits[i];
        sum = 0;
        for (rank = 0; rank < vms; rank++)
          {
            interval_us = limit_interval_us (milli_rps, vms, rank);
            sum += interval_us > 0 ? (WINDOW_US - 1) / interval_us + 1 : 0;
          }
        g_assert_cmpint (sum, >=, 1);
        g_assert_cmpint (sum, <=, MAX (milli_rps * 4 / 1000, 1));
        /* At most some requests are left unused. */
        g_assert_cmpint (sum * 10, >=, milli_rps * 4 / 1000 * 9);
      }
}

/* A simulated VM. */
struct vm
{
  struct limit limit; /* the limit, as it knows it */
  int64_t error_ms;   /* error of its clock */
  int missed;         /* VMs that are missing from its list */
  int sent;           /* requests that it sent */
};

/* Returns the rank of VM in a rotation: a permutation that no other rotation
   repeats. */
static int
rank_in (int vm, int vms, uint64_t rotation)
{
  return (int)(((uint64_t)vm + rotation * 7) % (uint64_t)vms);
}

static void
set_interval (struct vm *v, int i, int vms, int64_t now_us)
{
  /* In the shorter list it may have rank 0. */
  int first = v->missed > 0 ? 0 : i;
  int64_t clock = now_us / CQ_US_PER_MS + v->error_ms;
  int64_t interval_us = 0;

  if (!limit_is_rotated (v->limit.milli_rps, vms))
    interval_us
        = limit_interval_us (v->limit.milli_rps, vms - v->missed, first);
  else if (!limit_is_rotation_pause (clock))
    interval_us = limit_interval_us (
        v->limit.milli_rps, vms - v->missed,
        v->missed > 0 ? 0 : rank_in (i, vms, limit_rotation (clock)));
  limit_set_interval (&v->limit, interval_us, now_us);
}

/* Simulates VMS that always have a request for an endpoint with a limit of
   MILLI_RPS; ERRING of them have a list without one VM.  Returns the most
   requests that the endpoint got in a window. */
static int
simulate (int vms, int erring, int64_t milli_rps, struct vm *list)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed ((guint32)vms);
  g_autoptr (GArray) sent = g_array_new (FALSE, FALSE, sizeof (int64_t));
  int64_t now;
  guint first = 0, most = 0;
  int i;

  for (i = 0; i < vms; i++)
    {
      list[i] = (struct vm){ .sent = 0 };
      list[i].missed = i >= vms - erring;
      list[i].error_ms = g_rand_int_range (rand, -ERROR_MS, ERROR_MS);
      limit_report (&list[i].limit, milli_rps, 0,
                    CQ_US_PER_S + g_rand_int_range (rand, 0, CQ_US_PER_S));
    }
  for (now = 3 * CQ_US_PER_S; now < SIMULATED_US; now += STEP_US)
    for (i = 0; i < vms; i++)
      {
        struct limit *l = &list[i].limit;

        if (limit_is_interval_stale (l, now))
          set_interval (&list[i], i, vms, now);
        if (!limit_may_place (l, now) || !limit_may_send (l, now))
          continue;
        pace_placed (&l->pace, now);
        pace_sent (&l->pace, now);
        list[i].sent++;
        g_array_append_val (sent, now);
        while (g_array_index (sent, int64_t, first) <= now - WINDOW_US)
          first++;
        most = MAX (most, sent->len - first);
      }
  return (int)most;
}

/* Guards against a window that exceeds the limit, also while VMs rotate by
   clocks that differ. */
static void
test_windows (void)
{
  static const int vms[] = { 1, 2, 8, 9, 13, 14, 40, 89, 300 };
  g_autofree struct vm *list = g_new0 (struct vm, VMS_MAX);
  size_t i, k;

  for (i = 0; i < G_N_ELEMENTS (vms); i++)
    for (k = 0; k < G_N_ELEMENTS (limits); k++)
      g_assert_cmpint (simulate (vms[i], 0, limits[k], list), <=,
                       MAX (limits[k] * 4 / 1000, 1));
}

/* Guards against VMs whose lists differ from the others': the margin above the
   limit that an endpoint tolerates covers the shares of some of them. */
static void
test_lists_differ (void)
{
  static const int vms[] = { 8, 9, 30, 89, 300 };
  g_autofree struct vm *list = g_new0 (struct vm, VMS_MAX);
  int64_t all, share, spare;
  size_t i, k;

  for (i = 0; i < G_N_ELEMENTS (vms); i++)
    for (k = 0; k < G_N_ELEMENTS (limits); k++)
      {
        all = limits[k] * 4 / 1000;
        share = all / (vms[i] - 1) + 1;
        spare = all / 2 + 5;
        g_assert_cmpint (simulate (vms[i],
                                   (int)MIN (spare / share, vms[i] / 2),
                                   limits[k], list),
                         <=, MAX (all, 1) + spare);
      }
}

/* Guards against VMs that never send again, and so never learn that the limit
   was cleared. */
static void
test_rotation (void)
{
  g_autofree struct vm *list = g_new0 (struct vm, VMS_MAX);
  int i, n = 0;

  simulate (30, 0, 3000, list);
  for (i = 0; i < 30; i++)
    n += list[i].sent > 0;
  g_assert_cmpint (n, >, 25);
}

/* Guards against answers to requests that were sent before the limit was
   reported, and arrive after it. */
static void
test_out_of_order (void)
{
  struct limit l = { .active = false };

  g_assert_true (limit_report (&l, 3000, 10, 20));
  g_assert_false (limit_clear (&l, 15));
  g_assert_false (limit_report (&l, 9000, 15, 30));
  g_assert_true (limit_report (&l, 2000, 15, 31));
  g_assert_cmpint (l.milli_rps, ==, 2000);
  g_assert_false (limit_clear (&l, 31));
  g_assert_true (limit_report (&l, 4000, 32, 33));
  g_assert_true (limit_clear (&l, 34));
  g_assert_false (l.active);
}

static int64_t
one_in_ten_s (void *arg, uint64_t key, int64_t milli_rps, int64_t now_us)
{
  (void)arg;
  (void)key;
  (void)milli_rps;
  (void)now_us;
  return 10 * CQ_US_PER_S;
}

/* Plays an answer in which the endpoint reports MILLI_RPS, or no limit if that
   is -1. */
static void
answer_with_limit (struct harness *p, int64_t milli_rps)
{
  struct relay_head h = { .status = 200, .genuine = true, .running = -1 };

  h.lines = harness_seal;
  h.notice.has_limit = milli_rps >= 0;
  h.notice.limit_milli_rps = milli_rps;
  harness_answer_head (p, &h);
}

/* Guards against a limit that a VM receives and does not apply. */
static void
test_applied (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);
  int i, n = 0;

  p->fleet.limit_interval_us = one_in_ten_s;
  harness_start (p);
  while (strcmp (p->to[0], "a") != 0)
    {
      p->sends = 0;
      harness_answer (p, "ok");
      harness_start (p);
    }
  answer_with_limit (p, 100);
  for (i = 0; i < 20; i++)
    {
      p->sends = 0;
      harness_start (p);
      n += strcmp (p->to[0], "a") == 0;
      harness_answer (p, "ok");
    }
  g_assert_cmpint (n, ==, 0);
  g_assert_true (harness_endpoint (p, "a")->limit.active);
  harness_free (p);
}

/* Guards against a request that was placed before its endpoint reported a
   limit. */
static void
test_before_send (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);

  p->fleet.limit_interval_us = one_in_ten_s;
  harness_start (p);
  limit_report (&harness_endpoint (p, p->to[0])->limit, 100, 0,
                loop_now_us ());
  harness_expect_next_endpoint (p);
  harness_free (p);
}

/* Guards against requests that wait although this VM's share of all endpoints'
   limits is used. */
static void
test_all_limited (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);

  p->fleet.limit_interval_us = one_in_ten_s;
  limit_report (&harness_endpoint (p, "a")->limit, 100, 0, loop_now_us ());
  limit_report (&harness_endpoint (p, "b")->limit, 100, 0, loop_now_us ());
  harness_start (p);
  g_assert_cmpint (p->sends, ==, 0);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  g_assert_cmpint (p->retry_after_us, >, 0);
  harness_free (p);
}

const struct unit limit_units[] = {
  { "/limit/shares", test_shares },
  { "/limit/windows", test_windows },
  { "/limit/lists-differ", test_lists_differ },
  { "/limit/rotation", test_rotation },
  { "/limit/out-of-order", test_out_of_order },
  { "/limit/applied", test_applied },
  { "/limit/before-send", test_before_send },
  { "/limit/all-limited", test_all_limited },
  { NULL, NULL },
};
