/* Unit tests of limits that endpoints name: over all VMs, and over time. */
#include <glib.h>
#include <string.h>

#include "limit.h"
#include "relayplay.h"
#include "tell.h"
#include "units.h"

#define VMS_MAX 320
#define WINDOW_US (4 * CQ_US_PER_S)
#define STEP_US (20 * CQ_US_PER_MS)
#define PLAY_US (100 * CQ_US_PER_S)
#define ERROR_MS                                                              \
  400 /* of a VM's reading of the platform's clock, either way */

/* Limits of an endpoint: requests in 1000 s. */
static const int64_t limits[]
    = { 0, 100, 249, 250, 400, 1000, 3000, 3400, 10250, 100000, 2000000 };

/* Guards against parts that add up to more than the limit in a window. */
static void
test_parts (void)
{
  int64_t gap, milli, sum;
  int vms, rank;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (limits); i++)
    for (vms = 1; vms <= VMS_MAX; vms++)
      {
        milli = limits[i];
        sum = 0;
        for (rank = 0; rank < vms; rank++)
          {
            gap = limit_interval_us (milli, vms, rank);
            sum += gap > 0 ? (WINDOW_US - 1) / gap + 1 : 0;
          }
        g_assert_cmpint (sum, >=, 1);
        g_assert_cmpint (sum, <=, MAX (milli * 4 / 1000, 1));
        /* And no more than some requests are left unused. */
        g_assert_cmpint (sum * 10, >=, milli * 4 / 1000 * 9);
      }
}

/* A VM of a play. */
struct vm
{
  struct limit limit; /* as it knows it */
  int64_t error_ms;   /* of its clock */
  int missed;         /* VMs that its list lacks */
  int sent;           /* requests */
};

/* Rank of VM in a turn: a permutation that no other turn repeats. */
static int
rank_in (int vm, int vms, uint64_t turn)
{
  return (int)(((uint64_t)vm + turn * 7) % (uint64_t)vms);
}

static void
judge (struct vm *v, int i, int vms, int64_t now_us)
{
  /* In the shorter list it may come first. */
  int first = v->missed > 0 ? 0 : i;
  int64_t clock = now_us / CQ_US_PER_MS + v->error_ms;
  int64_t gap = 0;

  if (!limit_is_rotated (v->limit.milli_rps, vms))
    gap = limit_interval_us (v->limit.milli_rps, vms - v->missed, first);
  else if (!limit_is_rotation_pause (clock))
    gap = limit_interval_us (
        v->limit.milli_rps, vms - v->missed,
        v->missed > 0 ? 0 : rank_in (i, vms, limit_rotation (clock)));
  limit_set_interval (&v->limit, gap, now_us);
}

/* Play VMS that always have a request for an endpoint with a limit of MILLI;
   ERRING of them lack one in their lists.  Returns the most that the endpoint
   got in a window. */
static int
play_vms (int vms, int erring, int64_t milli, struct vm *list)
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
      limit_report (&list[i].limit, milli, 0,
                    CQ_US_PER_S + g_rand_int_range (rand, 0, CQ_US_PER_S));
    }
  for (now = 3 * CQ_US_PER_S; now < PLAY_US; now += STEP_US)
    for (i = 0; i < vms; i++)
      {
        struct limit *l = &list[i].limit;

        if (limit_is_interval_stale (l, now))
          judge (&list[i], i, vms, now);
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

/* Guards against a window that holds more than the limit, also while VMs take
   turns by clocks that differ. */
static void
test_windows (void)
{
  static const int vms[] = { 1, 2, 8, 9, 13, 14, 40, 89, 300 };
  g_autofree struct vm *list = g_new0 (struct vm, VMS_MAX);
  size_t i, k;

  for (i = 0; i < G_N_ELEMENTS (vms); i++)
    for (k = 0; k < G_N_ELEMENTS (limits); k++)
      g_assert_cmpint (play_vms (vms[i], 0, limits[k], list), <=,
                       MAX (limits[k] * 4 / 1000, 1));
}

/* Guards against VMs whose lists differ from the others': the spare that an
   endpoint leaves holds the parts of some of them. */
static void
test_lists_differ (void)
{
  static const int vms[] = { 8, 9, 30, 89, 300 };
  g_autofree struct vm *list = g_new0 (struct vm, VMS_MAX);
  int64_t all, part, spare;
  size_t i, k;

  for (i = 0; i < G_N_ELEMENTS (vms); i++)
    for (k = 0; k < G_N_ELEMENTS (limits); k++)
      {
        all = limits[k] * 4 / 1000;
        part = all / (vms[i] - 1) + 1;
        spare = all / 2 + 5;
        g_assert_cmpint (play_vms (vms[i], (int)MIN (spare / part, vms[i] / 2),
                                   limits[k], list),
                         <=, MAX (all, 1) + spare);
      }
}

/* Guards against VMs that never ask again, and so never hear that the limit
   was lifted. */
static void
test_turns (void)
{
  g_autofree struct vm *list = g_new0 (struct vm, VMS_MAX);
  int i, n = 0;

  play_vms (30, 0, 3000, list);
  for (i = 0; i < 30; i++)
    n += list[i].sent > 0;
  g_assert_cmpint (n, >, 25);
}

/* Guards against answers that were sent before the limit was named, and are
   read after it. */
static void
test_overtaken (void)
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
one_in_ten_s (void *arg, uint64_t key, int64_t milli, int64_t now_us)
{
  (void)arg;
  (void)key;
  (void)milli;
  (void)now_us;
  return 10 * CQ_US_PER_S;
}

/* An answer in which the endpoint names MILLI, or no limit if that is -1. */
static void
answer_naming (struct play *p, int64_t milli)
{
  struct relay_head h = { .status = 200, .genuine = true, .running = -1 };

  h.lines = play_seal;
  h.notice.has_limit = milli >= 0;
  h.notice.limit_milli_rps = milli;
  play_answer_head (p, &h);
}

/* Guards against a limit that a VM hears and does not keep to. */
static void
test_kept (void)
{
  struct play *p = play_new (FLEET_IDEMPOTENT);
  int i, n = 0;

  p->fleet.limit_interval_us = one_in_ten_s;
  play_start (p);
  while (strcmp (p->to[0], "a") != 0)
    {
      p->sends = 0;
      play_answer (p, "ok");
      play_start (p);
    }
  answer_naming (p, 100);
  for (i = 0; i < 20; i++)
    {
      p->sends = 0;
      play_start (p);
      n += strcmp (p->to[0], "a") == 0;
      play_answer (p, "ok");
    }
  g_assert_cmpint (n, ==, 0);
  g_assert_true (play_endpoint (p, "a")->limit.active);
  play_free (p);
}

/* Guards against a request that was placed before its endpoint named a limit.
 */
static void
test_before_send (void)
{
  struct play *p = play_new (FLEET_AT_MOST_ONCE);

  p->fleet.limit_interval_us = one_in_ten_s;
  play_start (p);
  limit_report (&play_endpoint (p, p->to[0])->limit, 100, 0, loop_now_us ());
  play_moves_on (p);
  play_free (p);
}

/* Guards against requests that wait though all endpoints have had theirs. */
static void
test_all_limited (void)
{
  struct play *p = play_new (FLEET_AT_MOST_ONCE);

  p->fleet.limit_interval_us = one_in_ten_s;
  limit_report (&play_endpoint (p, "a")->limit, 100, 0, loop_now_us ());
  limit_report (&play_endpoint (p, "b")->limit, 100, 0, loop_now_us ());
  play_start (p);
  g_assert_cmpint (p->sends, ==, 0);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  g_assert_cmpint (p->retry_after_us, >, 0);
  play_free (p);
}

const struct unit limit_units[] = {
  { "/limit/parts", test_parts },
  { "/limit/windows", test_windows },
  { "/limit/lists-differ", test_lists_differ },
  { "/limit/turns", test_turns },
  { "/limit/overtaken", test_overtaken },
  { "/limit/kept", test_kept },
  { "/limit/before-send", test_before_send },
  { "/limit/all-limited", test_all_limited },
  { NULL, NULL },
};
