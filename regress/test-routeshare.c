/*
 * Unit tests of the shares of an overloaded service among its routes, and of
 * the relay's use of them.
 */
#include <glib.h>
#include <string.h>

#include "relayharness.h"
#include "units.h"

#define S CQ_US_PER_S

/* Adds the demand of SECONDS from FROM_US on: in each tenth of a second, one
   short request and LONGS long ones. */
static void
add_seconds (struct routeshare *s, int64_t from_us, int seconds, int longs)
{
  int i, k;

  for (i = 0; i < seconds * 10; i++)
    {
      routeshare_add_demand (s, "short", 801, from_us + i * S / 10);
      for (k = 0; k < longs; k++)
        routeshare_add_demand (s, "long", 12001, from_us + i * S / 10);
    }
}

/* Guards against refusals of the routes that did not cause an overload: the
   short one asks for a sixteenth of the work and half can be served. */
static void
test_burst (void)
{
  struct routeshare s = { .share.n = 0 };

  add_seconds (&s, 0, 5, 1);
  g_assert_cmpint (routeshare_permille (&s, "short", 500), ==, CQ_PERMILLE);
  g_assert_cmpint (routeshare_permille (&s, "long", 500), >=, 440);
  g_assert_cmpint (routeshare_permille (&s, "long", 500), <, 500);
  g_assert_cmpint (routeshare_permille (&s, "long", CQ_PERMILLE), ==,
                   CQ_PERMILLE);
}

/* Guards against refusal of a route that the VM knows nothing of, after a
   restart or since no request of it came for minutes: neither its name nor
   the size of its first request shows a demand. */
static void
test_unknown (void)
{
  struct routeshare s = { .share.n = 0 };

  g_assert_cmpint (routeshare_permille (&s, "new", 50), ==, CQ_PERMILLE);
  routeshare_add_demand (&s, "new", 12001, 0);
  g_assert_cmpint (routeshare_permille (&s, "new", 50), ==, CQ_PERMILLE);
  add_seconds (&s, 0, 5, 1);
  g_assert_cmpint (routeshare_permille (&s, "other", 50), ==, CQ_PERMILLE);
}

/* Guards against a VM with few requests refusing half of what it gets: one
   request of each route in half a minute is no known demand, and from the
   second on within seconds it is. */
static void
test_few_requests (void)
{
  struct routeshare s = { .share.n = 0 };

  routeshare_add_demand (&s, "long", 12001, 0);
  routeshare_add_demand (&s, "short", 801, S);
  routeshare_add_demand (&s, "long", 12001, 30 * S);
  g_assert_cmpint (routeshare_permille (&s, "short", 300), ==, CQ_PERMILLE);
  g_assert_cmpint (routeshare_permille (&s, "long", 300), ==, CQ_PERMILLE);
  routeshare_add_demand (&s, "long", 12001, 31 * S);
  g_assert_cmpint (routeshare_permille (&s, "long", 300), <, 310);
}

/* Guards against routes beyond the table escaping their share, or taking more
   than one together: 100 routes with equal demand, of which 36 count as one.
 */
static void
test_many_routes (void)
{
  struct routeshare s = { .share.n = 0 };
  char name[SHARE_NAME_SIZE];
  int i, k;

  for (k = 0; k < 3; k++)
    for (i = 0; i < 100; i++)
      {
        g_snprintf (name, sizeof name, "r%d", i);
        routeshare_add_demand (&s, name, 1000, 0);
      }
  g_assert_cmpint (s.share.n, ==, SHARE_MAX_WORKSPACES + 1);
  g_assert_cmpint (routeshare_permille (&s, "r0", 700), ==, CQ_PERMILLE);
  g_assert_cmpint (routeshare_permille (&s, "r63", 700), ==, CQ_PERMILLE);
  g_assert_cmpint (routeshare_permille (&s, "r64", 700), >=, 160);
  g_assert_cmpint (routeshare_permille (&s, "r64", 700), <=, 170);
  g_assert_cmpint (routeshare_permille (&s, "r99", 700), ==,
                   routeshare_permille (&s, "r64", 700));
}

/* Guards against entries of the same route piling up, since names longer than
   the table's are cut. */
static void
test_long_name (void)
{
  struct routeshare s = { .share.n = 0 };
  char name[3 * SHARE_NAME_SIZE];

  memset (name, 'x', sizeof name - 1);
  name[sizeof name - 1] = '\0';
  routeshare_add_demand (&s, name, 1000, 0);
  routeshare_add_demand (&s, name, 1000, 0);
  g_assert_cmpint (s.share.n, ==, 1);
  g_assert_cmpint (routeshare_permille (&s, name, 300), ==, 300);
}

/* Guards against starving a route: 49 of 50 requests are short and all are
   served, so a quarter of that remains for the long ones, though their work
   would be cut to a sixth. */
static void
test_least (void)
{
  struct routeshare s = { .share.n = 0 };
  int i;

  for (i = 0; i < 490; i++)
    {
      routeshare_add_demand (&s, "short", 801, 0);
      if (i < 10)
        routeshare_add_demand (&s, "long", 500001, 0);
    }
  g_assert_cmpint (routeshare_permille (&s, "short", 200), ==, CQ_PERMILLE);
  g_assert_cmpint (routeshare_permille (&s, "long", 200), <, 200);
  g_assert_cmpint (routeshare_least_permille (&s, 200), >=, 245);
  g_assert_cmpint (routeshare_least_permille (&s, 200), <=, 250);
}

/* Guards against a route's priority being overridden by the workspace's, and
   against a workspace without a priority losing its route's. */
static void
test_urgency (void)
{
  int w, r;

  g_assert_cmpint (admit_urgency (-1, 5), ==, 5);
  g_assert_cmpint (admit_urgency (-1, 12), ==, 9);
  g_assert_cmpint (admit_urgency (0, 0), ==, 0);
  g_assert_cmpint (admit_urgency (0, 2), ==, 2);
  g_assert_cmpint (admit_urgency (0, 9), ==, 2);
  g_assert_cmpint (admit_urgency (1, -3), ==, 3);
  g_assert_cmpint (admit_urgency (2, 1), ==, 7);
  g_assert_cmpint (admit_urgency (INT_MAX, INT_MAX), ==, 9);
  for (w = 0; w < 9; w++)
    for (r = 0; r < 9; r++)
      {
        g_assert_cmpint (admit_urgency (w, r), <=, admit_urgency (w, r + 1));
        g_assert_cmpint (admit_urgency (w, r), <=, admit_urgency (w + 1, 0));
      }
}

/* A request of WORKSPACE at a service of which PERMILLE are admitted. */
static struct relay
request_of (struct harness *p, struct relay_service *s,
            const struct fleet_workspace *workspace)
{
  struct relay r = { .rs = p->relays, .service_state = s };

  r.workspace = workspace;
  r.route = harness_route (p);
  r.arrived_us = 10 * S;
  r.deadline_us = 13 * S;
  return r;
}

static int
keep_of (const struct relay *r, int64_t wait_us)
{
  struct pick_choice c = { .wait_us = wait_us };

  return relay_admit_permille (r, &c, r->arrived_us);
}

/*
 * Guards against refusals of a route within its share since one endpoint is
 * expected to answer late, by an average over a few answers.  A deadline that
 * would pass remains a reason.
 */
static void
test_expected_wait (void)
{
  struct harness *p = harness_new (FLEET_STREAM);
  struct relay_service s = { .admit.permille = 400 };
  struct relay r = request_of (p, &s, NULL);

  s.admit.answered_us = r.arrived_us;
  g_assert_cmpint (keep_of (&r, 2 * S), <, 200);
  p->relays->opts.route_shares = true;
  g_assert_cmpint (keep_of (&r, 2 * S), ==, CQ_PERMILLE);
  g_assert_cmpint (keep_of (&r, 4 * S), ==, 0);
  harness_free (p);
}

/* Guards against one workspace, ten times as loud as each of nine others,
   taking their part of a route that must give up work, or being starved. */
static void
test_loud_workspace (void)
{
  struct fleet_workspace calm = { .priority = -1 };
  struct fleet_workspace loud = { .name = (char *)"loud", .priority = -1 };
  struct harness *p = harness_new (FLEET_STREAM);
  struct relay_service s = { .admit.permille = 600 };
  char name[8];
  struct relay r;
  int i;

  p->relays->opts.route_shares = true;
  s.admit.answered_us = 10 * S;
  calm.name = name;
  for (i = 0; i < 190; i++)
    {
      g_snprintf (name, sizeof name, "calm%d", i % 19);
      r = request_of (p, &s, i % 19 < 9 ? &calm : &loud);
      relay_add_demand (&r, 1000, r.arrived_us);
    }
  g_strlcpy (name, "calm0", sizeof name);
  r = request_of (p, &s, &calm);
  g_assert_cmpint (keep_of (&r, 0), ==, CQ_PERMILLE);
  r = request_of (p, &s, &loud);
  g_assert_cmpint (keep_of (&r, 0), >=, 220);
  g_assert_cmpint (keep_of (&r, 0), <=, 260);
  s.admit.permille = 50;
  g_assert_cmpint (keep_of (&r, 0), ==, 13);
  harness_free (p);
}

const struct unit routeshare_units[] = {
  { "/routeshare/burst", test_burst },
  { "/routeshare/unknown", test_unknown },
  { "/routeshare/few-requests", test_few_requests },
  { "/routeshare/many-routes", test_many_routes },
  { "/routeshare/long-name", test_long_name },
  { "/routeshare/least", test_least },
  { "/routeshare/urgency", test_urgency },
  { "/routeshare/expected-wait", test_expected_wait },
  { "/routeshare/loud-workspace", test_loud_workspace },
  { NULL, NULL },
};
