/*
 * Unit tests of the speed of endpoints, and of the placement of prompts by it.
 */
#include <glib.h>
#include <string.h>

#include "decide.h"
#include "fleet.h"
#include "relayharness.h"
#include "speed.h"
#include "units.h"

#define S CQ_US_PER_S
#define MS CQ_US_PER_MS

/* --- figures --------------------------------------------------------- */

/* Guards against an endpoint that stays slow in the VM's view after its phase
   has ended: without a new figure, the deviation halves every 300 ms. */
static void
test_speed_decay (void)
{
  struct speed s = { 0 };

  g_assert_cmpint (speed_percent (&s, S), ==, 100);
  g_assert_false (speed_is_recent (&s, S));
  speed_add (&s, 260, S);
  g_assert_cmpint (speed_percent (&s, S), ==, 260);
  g_assert_cmpint (speed_percent (&s, S + 300 * MS), ==, 260);
  g_assert_true (speed_is_recent (&s, S + 300 * MS));
  g_assert_cmpint (speed_percent (&s, S + 301 * MS), ==, 180);
  g_assert_false (speed_is_recent (&s, S + 301 * MS));
  g_assert_cmpint (speed_percent (&s, S + 601 * MS), ==, 140);
  g_assert_cmpint (speed_percent (&s, 100 * S), ==, 100);
}

/* Guards against a figure that arrives late, as reports of other VMs may: a
   newer one already says that the phase has ended. */
static void
test_speed_older (void)
{
  struct speed s = { 0 };

  speed_add (&s, 100, 2 * S);
  speed_add (&s, 250, 2 * S - 1);
  g_assert_cmpint (speed_percent (&s, 2 * S), ==, 100);
  speed_add (&s, 250, 2 * S);
  g_assert_cmpint (speed_percent (&s, 2 * S), ==, 250);
}

/* Guards against figures out of range from another VM, which would make an
   endpoint look idle or useless, and against "not reported" as a figure. */
static void
test_speed_invalid (void)
{
  static const int invalid[] = { 0, 9, -100, 10001, G_MAXINT };
  struct speed s = { 0 };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      speed_add (&s, invalid[i], S);
      g_assert_cmpint (speed_percent (&s, S), ==, 100);
    }
  speed_add (&s, 250, S);
  for (i = 0; i < G_N_ELEMENTS (invalid); i++)
    speed_add (&s, invalid[i], 2 * S);
  g_assert_cmpint (speed_percent (&s, S), ==, 250);
  g_assert_false (speed_is_recent (&s, 2 * S));
}

/* Guards against forgetting an endpoint that is always slow, or whose figure
   is stuck: after a minute of one figure, it is the baseline.  A phase of
   0.6 s changes the baseline little. */
static void
test_speed_baseline (void)
{
  struct speed s = { 0 };
  int64_t now = S;

  for (; now < S + 600 * MS; now += 20 * MS)
    speed_add (&s, 250, now);
  speed_add (&s, 100, now);
  g_assert_cmpint (speed_percent (&s, now), ==, 100);
  g_assert_cmpint (speed_percent (&s, now + 60 * S), <=, 110);
  for (; now < 60 * S; now += 400 * MS)
    speed_add (&s, 250, now);
  g_assert_cmpint (speed_percent (&s, now + 60 * S), >=, 240);
}

/* --- figures of answers ---------------------------------------------- */

/* Sends a request and answers it with H; returns the speed then known of the
   endpoint that got it. */
static int
speed_after_answer (struct harness *p, struct relay_head h)
{
  struct fleet_endpoint *e;

  h.lines = harness_seal;
  h.running = -1;
  harness_start (p);
  e = harness_endpoint (p, p->to[(p->sends - 1) % 4]);
  g_assert_true (p->event->before_send (p->arg));
  p->event->head (p->arg, &h);
  harness_end (p, true, h.genuine);
  return speed_percent (&e->speed, loop_now_us ());
}

/* Guards against a figure of an earlier or later incarnation at the same
   address, or one that another server sent: both describe no endpoint that
   requests are placed at. */
static void
test_speed_of_answers (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);
  struct relay_head h = { .status = 200, .speed_percent = 250 };

  harness_route (p)->max_attempts = 1;
  g_assert_cmpint (speed_after_answer (p, h), ==, 100);
  h.genuine = true;
  g_assert_cmpint (speed_after_answer (p, h), ==, 250);
  harness_free (p);
  p = harness_new (FLEET_AT_MOST_ONCE);
  harness_route (p)->max_attempts = 1;
  h = (struct relay_head){ .status = 421, .speed_percent = 250 };
  h.not_run = true;
  h.other_incarnation = true;
  g_assert_cmpint (speed_after_answer (p, h), ==, 100);
  while (relays_count (p->relays) > 0)
    harness_answer (p, "ok");
  harness_free (p);
}

/* Guards against losing the figure of a probe's answer. */
static void
test_speed_of_probe (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);
  struct notice n = { .speed_percent = 250 };
  struct fleet_endpoint *e;

  harness_start (p);
  e = harness_endpoint (p, p->to[0]);
  g_assert_true (p->event->before_send (p->arg));
  harness_end (p, true, false);
  p->probe (p->probe_arg, RELAY_PROBE_ALIVE, &n);
  g_assert_cmpint (speed_percent (&e->speed, loop_now_us ()), ==, 250);
  harness_run (p, 1200 * MS);
  harness_free (p);
}

const struct unit speed_units[] = {
  { "/speed/decay", test_speed_decay },
  { "/speed/older", test_speed_older },
  { "/speed/invalid", test_speed_invalid },
  { "/speed/baseline", test_speed_baseline },
  { "/speed/of-answers", test_speed_of_answers },
  { "/speed/of-probe", test_speed_of_probe },
  { NULL, NULL },
};
