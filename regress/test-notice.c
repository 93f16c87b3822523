/* Unit tests of what endpoints report about themselves in their answers. */
#include <glib.h>
#include <string.h>

#include "relayharness.h"
#include "units.h"

/* Starts a request that is placed at A. */
static void
start_at_a (struct harness *p)
{
  for (;;)
    {
      p->sends = 0;
      harness_start (p);
      if (strcmp (p->to[0], "a") == 0)
        return;
      harness_answer (p, "ok");
    }
}

static void
answer_with_notice (struct harness *p, const struct notice *n)
{
  struct relay_head h = { .status = 200, .genuine = true, .running = -1 };

  h.lines = harness_seal;
  h.notice = *n;
  harness_answer_head (p, &h);
}

/* Returns how many of twenty requests go to A. */
static int
count_at_a (struct harness *p)
{
  int i, n = 0;

  for (i = 0; i < 20; i++)
    {
      p->sends = 0;
      harness_start (p);
      n += strcmp (p->to[0], "a") == 0;
      harness_answer (p, "ok");
    }
  return n;
}

/* Guards against requests to an endpoint that reports that it drains but is
   listed as ready. */
static void
test_draining (void)
{
  static const struct notice leaving = { .leaving = true };
  struct harness *p = harness_new (FLEET_IDEMPOTENT);
  struct fleet_listing ready;

  start_at_a (p);
  answer_with_notice (p, &leaving);
  g_assert_cmpint (count_at_a (p), ==, 0);
  ready = harness_endpoint (p, "a")->listing;
  fleet_apply_listing (&p->fleet, &ready, loop_now_us ());
  g_assert_cmpint (count_at_a (p), ==, 0);
  /* The next incarnation has reported nothing. */
  ready.started_ms = 1700000000000;
  fleet_apply_listing (&p->fleet, &ready, loop_now_us ());
  g_assert_cmpint (count_at_a (p), >, 0);
  harness_free (p);
}

/* Guards against notices that are lost with an endpoint's entry: it lapsed, or
   the list is an older copy. */
static void
test_entry_returns (void)
{
  static const struct notice leaving = { .leaving = true };
  struct harness *p = harness_new (FLEET_IDEMPOTENT);
  struct fleet_listing ready = harness_endpoint (p, "a")->listing;

  start_at_a (p);
  fleet_apply_missing (&p->fleet, harness_endpoint (p, "a"), loop_now_us ());
  g_assert_null (harness_endpoint (p, "a"));
  fleet_apply_listing (&p->fleet, &ready, loop_now_us ());
  /* Its answer arrives after the entry has returned. */
  answer_with_notice (p, &leaving);
  g_assert_cmpint (count_at_a (p), ==, 0);
  fleet_apply_missing (&p->fleet, harness_endpoint (p, "a"), loop_now_us ());
  g_assert_cmpint (count_at_a (p), ==, 0);
  fleet_apply_listing (&p->fleet, &ready, loop_now_us ());
  g_assert_cmpint (count_at_a (p), ==, 0);
  harness_free (p);
}

/* Guards against memory that grows with every endpoint that was ever
   removed. */
static void
test_former_bounded (void)
{
  struct fleet f;
  struct fleet_listing l = { .draining = true };
  int i;

  fleet_init (&f);
  for (i = 0; i < 5000; i++)
    {
      g_snprintf (l.id, sizeof l.id, "i-%d", i);
      fleet_apply_missing (&f, fleet_apply_listing (&f, &l, 1), 1);
    }
  g_assert_cmpint (f.nformer, <, 1000);
  l.draining = false;
  g_assert_true (fleet_apply_listing (&f, &l, 2)->draining);
  fleet_clear (&f);
}

/* Guards against a request that was placed before its endpoint reported that
   it drains. */
static void
test_draining_before_send (void)
{
  static const struct notice leaving = { .leaving = true };
  static const struct notice_origin from
      = { .source = "answer", .has_all_notices = true };
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);

  harness_start (p);
  notice_apply (harness_endpoint (p, p->to[0]), &leaving, &from,
                loop_now_us ());
  harness_expect_next_endpoint (p);
  harness_free (p);
}

/* Plays a refusal that requests a backoff of BACKOFF_US. */
static void
refuse (struct harness *p, int64_t backoff_us)
{
  struct relay_head h = { .status = 503, .not_run = true, .running = -1 };

  h.lines = harness_seal;
  h.notice.backoff_us = backoff_us;
  harness_answer_head (p, &h);
}

/* Guards against requests to an endpoint that requested a backoff, also after
   its entry has returned, and against one that gets no request after the
   backoff. */
static void
test_backoff (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);
  struct fleet_listing ready = harness_endpoint (p, "a")->listing;

  start_at_a (p);
  refuse (p, 60 * CQ_US_PER_S);
  harness_answer (p, "ok");
  g_assert_cmpint (count_at_a (p), ==, 0);
  fleet_apply_missing (&p->fleet, harness_endpoint (p, "a"), loop_now_us ());
  fleet_apply_listing (&p->fleet, &ready, loop_now_us ());
  g_assert_cmpint (count_at_a (p), ==, 0);
  harness_endpoint (p, "a")->requested_backoff_until_us = loop_now_us ();
  harness_endpoint (p, "a")->full_until_us = 0;
  g_assert_cmpint (count_at_a (p), >, 0);
  harness_free (p);
}

/* Guards against notices that are recorded for the previous incarnation: the
   endpoint has restarted and sends them before its entry shows the restart. */
static void
test_restart_listed_late (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);
  struct fleet_listing l = harness_endpoint (p, "a")->listing;
  static const struct notice limit
      = { .has_limit = true, .limit_milli_rps = 1000 };
  static const struct notice_origin from
      = { .source = "answer", .has_all_notices = true };

  start_at_a (p);
  refuse (p, 60 * CQ_US_PER_S);
  harness_answer (p, "ok");
  notice_apply (harness_endpoint (p, "a"), &limit, &from, loop_now_us ());
  l.started_ms = 1700000000000;
  fleet_apply_listing (&p->fleet, &l, loop_now_us ());
  g_assert_cmpint (count_at_a (p), ==, 0);
  g_assert_true (harness_endpoint (p, "a")->limit.active);
  fleet_apply_restart (&p->fleet, harness_endpoint (p, "a"), l.started_ms + 1,
                       loop_now_us ());
  g_assert_cmpint (count_at_a (p), ==, 0);
  g_assert_true (harness_endpoint (p, "a")->limit.active);
  harness_free (p);
}

/* Guards against a shorter backoff that arrives later and ends a longer
   one. */
static void
test_longest_backoff (void)
{
  static const struct notice_origin from = { .source = "answer" };
  struct notice n = { .backoff_us = 5 * CQ_US_PER_S };
  struct harness *p = harness_new (FLEET_IDEMPOTENT);
  struct fleet_endpoint *e = harness_endpoint (p, "a");

  notice_apply (e, &n, &from, CQ_US_PER_S);
  n.backoff_us = CQ_US_PER_S;
  notice_apply (e, &n, &from, 2 * CQ_US_PER_S);
  g_assert_true (pick_is_backoff_requested (e, 6 * CQ_US_PER_S - 1));
  g_assert_false (pick_is_backoff_requested (e, 6 * CQ_US_PER_S));
  harness_free (p);
}

/* Guards against a request that was placed before its endpoint requested a
   backoff, and against callers who wait while all endpoints are in backoff. */
static void
test_all_in_backoff (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);

  harness_start (p);
  harness_endpoint (p, "a")->requested_backoff_until_us
      = loop_now_us () + 3 * CQ_US_PER_S;
  harness_endpoint (p, "b")->requested_backoff_until_us
      = loop_now_us () + 8 * CQ_US_PER_S;
  g_assert_false (p->event->before_send (p->arg));
  harness_end (p, false, false);
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  g_assert_cmpint (p->retry_after_us, >, 2500 * CQ_US_PER_MS);
  g_assert_cmpint (p->retry_after_us, <, 4 * CQ_US_PER_S);
  harness_free (p);
}

/* Guards against notices of another process that now has the address of an
   endpoint. */
static void
test_other_incarnation (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);
  struct relay_head h = { .status = 421, .not_run = true, .running = -1 };

  h.other_incarnation = true;
  h.notice.has_limit = true;
  h.notice.limit_milli_rps = 1000;
  h.lines = harness_seal;
  harness_start (p);
  harness_answer_head (p, &h);
  g_assert_false (harness_endpoint (p, p->to[0])->limit.active);
  harness_answer (p, "ok");
  harness_free (p);
}

const struct unit notice_units[] = {
  { "/notice/draining", test_draining },
  { "/notice/entry-returns", test_entry_returns },
  { "/notice/former-bounded", test_former_bounded },
  { "/notice/draining-before-send", test_draining_before_send },
  { "/notice/backoff", test_backoff },
  { "/notice/restart-listed-late", test_restart_listed_late },
  { "/notice/longest-backoff", test_longest_backoff },
  { "/notice/all-in-backoff", test_all_in_backoff },
  { "/notice/other-incarnation", test_other_incarnation },
  { NULL, NULL },
};
