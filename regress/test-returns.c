/*
 * Unit tests of the times at which refused callers are told to return.
 */
#include <glib.h>

#include "relayharness.h"
#include "returns.h"
#include "units.h"

#define MS CQ_US_PER_MS
#define S CQ_US_PER_S
#define RATE 1000 /* work admitted in a time slot */

/* Admits RATE in each time slot for three seconds, until 3 s. */
static void
admit_steadily (struct returns *s)
{
  int i;

  for (i = 0; i < 30; i++)
    returns_add_admitted (s, RATE, i * RETURN_SLOT_US);
}

static struct returns_plan
plan (struct returns *s, int urgency, int64_t work, int64_t now_us)
{
  struct returns_query q = { .urgency = urgency, .work = work };

  q.left_us = 3 * S;
  return returns_plan (s, &q, now_us);
}

/* Guards against a time that costs the caller its answer: under 100 ms, over
   a third of its time, or past its deadline. */
static void
test_bounds (void)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (1);
  struct returns s = { .slot = 0 };
  int64_t now = 0;
  int i;

  for (i = 0; i < 20000; i++)
    {
      struct returns_query q = { .random = g_rand_int (rand) };
      struct returns_plan p;

      now += g_rand_int_range (rand, 0, 40) * MS / 10;
      q.urgency = g_rand_int_range (rand, -1, 12);
      q.work = g_rand_int_range (rand, 0, 20000);
      q.left_us = g_rand_int_range (rand, -1000, 60000) * MS;
      if (g_rand_boolean (rand))
        returns_add_admitted (&s, q.work, now);
      p = returns_plan (&s, &q, now);
      g_assert_true ((p.retry_us == 0) == (q.left_us <= 100 * MS));
      if (p.retry_us == 0)
        continue;
      g_assert_cmpint (p.retry_us, >=, 100 * MS);
      g_assert_cmpint (p.retry_us, <=, MAX (q.left_us / 3, 100 * MS));
      g_assert_cmpint (p.retry_us, <, q.left_us);
    }
}

/* Guards against less urgent callers taking the room of more urgent ones that
   are refused after them. */
static void
test_urgent_first (void)
{
  struct returns s = { .slot = 0 };
  struct returns_plan late, urgent;
  int i;

  admit_steadily (&s);
  for (i = 0; i < 12; i++)
    late = plan (&s, 8, 20, 3 * S);
  urgent = plan (&s, 0, 20, 3 * S);
  g_assert_true (urgent.has_room);
  g_assert_cmpint (urgent.retry_us, <, 200 * MS);
  g_assert_cmpint (late.retry_us, >=, 500 * MS);
}

/* Guards against callers that are refused together returning together: each
   time slot gets its part while there is room, and the others return within
   the last fifth of the second that they may wait. */
static void
test_spread (void)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (1);
  struct returns_query q = { .work = 10, .left_us = 3 * S };
  struct returns s = { .slot = 0 };
  int by_slot[11] = { 0 }, i, early = 0;
  struct returns_plan p;

  admit_steadily (&s);
  for (i = 0; i < 1000; i++)
    {
      q.random = g_rand_int (rand);
      p = returns_plan (&s, &q, 3 * S);
      if (p.has_room)
        by_slot[p.retry_us / RETURN_SLOT_US]++;
      else
        {
          g_assert_cmpint (p.retry_us, >=, 800 * MS);
          early += p.retry_us < 900 * MS;
        }
    }
  for (i = 1; i < 10; i++)
    {
      g_assert_cmpint (by_slot[i], >=, 8);
      g_assert_cmpint (by_slot[i], <=, 11);
    }
  g_assert_cmpint (early, >=, 400);
  g_assert_cmpint (early, <=, 500);
}

/* Guards against one prompt larger than the room of a time slot never being
   reserved, or hiding the room of later callers in all of them. */
static void
test_large (void)
{
  struct returns s = { .slot = 0 };

  admit_steadily (&s);
  g_assert_true (plan (&s, 5, 300, 3 * S).has_room);
  g_assert_cmpint (plan (&s, 0, 10, 3 * S).retry_us, >=, 400 * MS);
  g_assert_cmpint (plan (&s, 0, 10, 3 * S).retry_us, <, 700 * MS);
  plan (&s, 0, INT64_MAX / 2, 3 * S);
  g_assert_cmpint (plan (&s, 0, 10, 3 * S).retry_us, >=, 100 * MS);
}

/* Guards against bookings of an earlier overload keeping callers away, and
   against a loop over each time slot after a long silence. */
static void
test_forgotten (void)
{
  struct returns s = { .slot = 0 };
  int i;

  admit_steadily (&s);
  for (i = 0; i < 1000; i++)
    plan (&s, 0, 1000, 3 * S);
  admit_steadily (&s);
  returns_add_admitted (&s, RATE, INT64_MAX / 2);
  for (i = 0; i < RETURN_SLOTS; i++)
    g_assert_cmpint (s.reserved[i], ==, 0);
  g_assert_cmpint (plan (&s, 0, 10, INT64_MAX / 2).retry_us, >=, 100 * MS);
}

/* Guards against ranks that overlap, or put a retry before a more urgent first
   request. */
static void
test_rank (void)
{
  int u;

  for (u = 0; u < ADMIT_RANKS / 2; u++)
    {
      g_assert_cmpint (admit_planned_rank (u, true), <,
                       admit_planned_rank (u, false));
      g_assert_cmpint (admit_planned_rank (u, false), <,
                       admit_planned_rank (u + 1, true));
    }
  g_assert_cmpint (admit_planned_rank (9, false), <, ADMIT_RANKS);
}

/* Guards against a relay that ignores the plan when it is set, or follows it
   when it is not: with 3 s left and room, a caller returns within 0.2 s. */
static void
test_relay (void)
{
  struct harness *p = harness_new (FLEET_STREAM);
  struct relay_service s = { .limited = false };
  struct relay r = { .rs = p->relays, .service_state = &s };

  r.route = harness_route (p);
  r.deadline_us = 6 * S;
  r.desc.id = "q";
  r.asked_tokens = 10;
  admit_steadily (&s.returns);
  g_assert_cmpint (relay_overload_retry_us (&r, 7, 3 * S), >=, 800 * MS);
  p->relays->opts.plan_returns = true;
  g_assert_cmpint (relay_overload_retry_us (&r, 7, 3 * S), <, 200 * MS);
  g_assert_cmpint (relay_overload_retry_us (&r, 7, 6 * S - 50 * MS), ==, 0);
  harness_free (p);
}

const struct unit returns_units[] = {
  { "/returns/bounds", test_bounds },
  { "/returns/urgent-first", test_urgent_first },
  { "/returns/spread", test_spread },
  { "/returns/large", test_large },
  { "/returns/forgotten", test_forgotten },
  { "/returns/rank", test_rank },
  { "/returns/relay", test_relay },
  { NULL, NULL },
};
