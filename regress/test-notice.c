/* Unit tests of what endpoints say of themselves in their answers. */
#include <glib.h>
#include <string.h>

#include "relayplay.h"
#include "units.h"

/* Start a request that is placed at A. */
static void
start_at_a (struct play *p)
{
  for (;;)
    {
      p->sends = 0;
      play_start (p);
      if (strcmp (p->to[0], "a") == 0)
        return;
      play_answer (p, "ok");
    }
}

static void
say (struct play *p, const struct notice *n)
{
  struct relay_head h = { .status = 200, .genuine = true, .running = -1 };

  h.lines = play_seal;
  h.notice = *n;
  play_answer_head (p, &h);
}

/* Requests of twenty that go to A. */
static int
count_at_a (struct play *p)
{
  int i, n = 0;

  for (i = 0; i < 20; i++)
    {
      p->sends = 0;
      play_start (p);
      n += strcmp (p->to[0], "a") == 0;
      play_answer (p, "ok");
    }
  return n;
}

/* Guards against an endpoint that says it leaves and is listed as ready. */
static void
test_leaving (void)
{
  static const struct notice leaving = { .leaving = true };
  struct play *p = play_new (FLEET_IDEMPOTENT);
  struct fleet_listing ready;

  start_at_a (p);
  say (p, &leaving);
  g_assert_cmpint (count_at_a (p), ==, 0);
  ready = play_endpoint (p, "a")->listing;
  fleet_apply_listing (&p->fleet, &ready, loop_now_us ());
  g_assert_cmpint (count_at_a (p), ==, 0);
  /* The next life has said nothing. */
  ready.started_ms = 1700000000000;
  fleet_apply_listing (&p->fleet, &ready, loop_now_us ());
  g_assert_cmpint (count_at_a (p), >, 0);
  play_free (p);
}

/* Guards against beliefs that go with an endpoint's entry: it lapsed, or the
   list is an older copy. */
static void
test_entry_returns (void)
{
  static const struct notice leaving = { .leaving = true };
  struct play *p = play_new (FLEET_IDEMPOTENT);
  struct fleet_listing ready = play_endpoint (p, "a")->listing;

  start_at_a (p);
  fleet_apply_missing (&p->fleet, play_endpoint (p, "a"), loop_now_us ());
  g_assert_null (play_endpoint (p, "a"));
  fleet_apply_listing (&p->fleet, &ready, loop_now_us ());
  /* Its answer comes when the entry is back. */
  say (p, &leaving);
  g_assert_cmpint (count_at_a (p), ==, 0);
  fleet_apply_missing (&p->fleet, play_endpoint (p, "a"), loop_now_us ());
  g_assert_cmpint (count_at_a (p), ==, 0);
  fleet_apply_listing (&p->fleet, &ready, loop_now_us ());
  g_assert_cmpint (count_at_a (p), ==, 0);
  play_free (p);
}

/* Guards against memory that grows with all endpoints that ever left. */
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

/* Guards against a request that was placed before its endpoint said that it
   leaves. */
static void
test_leaving_before_send (void)
{
  static const struct notice leaving = { .leaving = true };
  static const struct notice_origin from
      = { .source = "answer", .has_all_notices = true };
  struct play *p = play_new (FLEET_AT_MOST_ONCE);

  play_start (p);
  notice_apply (play_endpoint (p, p->to[0]), &leaving, &from, loop_now_us ());
  play_moves_on (p);
  play_free (p);
}

/* A refusal that asks for REST_US comes. */
static void
refuse (struct play *p, int64_t rest_us)
{
  struct relay_head h = { .status = 503, .not_run = true, .running = -1 };

  h.lines = play_seal;
  h.notice.backoff_us = rest_us;
  play_answer_head (p, &h);
}

/* Guards against requests to an endpoint that asked for rest, also once its
   entry is back, and against one that is never asked again. */
static void
test_rest (void)
{
  struct play *p = play_new (FLEET_IDEMPOTENT);
  struct fleet_listing ready = play_endpoint (p, "a")->listing;

  start_at_a (p);
  refuse (p, 60 * CQ_US_PER_S);
  play_answer (p, "ok");
  g_assert_cmpint (count_at_a (p), ==, 0);
  fleet_apply_missing (&p->fleet, play_endpoint (p, "a"), loop_now_us ());
  fleet_apply_listing (&p->fleet, &ready, loop_now_us ());
  g_assert_cmpint (count_at_a (p), ==, 0);
  play_endpoint (p, "a")->requested_backoff_until_us = loop_now_us ();
  play_endpoint (p, "a")->full_until_us = 0;
  g_assert_cmpint (count_at_a (p), >, 0);
  play_free (p);
}

/* Guards against notices that are put down to the start before: the endpoint
   has started again, says them, and its entry says so later. */
static void
test_start_heard_late (void)
{
  struct play *p = play_new (FLEET_IDEMPOTENT);
  struct fleet_listing l = play_endpoint (p, "a")->listing;
  static const struct notice limit
      = { .has_limit = true, .limit_milli_rps = 1000 };
  static const struct notice_origin from
      = { .source = "answer", .has_all_notices = true };

  start_at_a (p);
  refuse (p, 60 * CQ_US_PER_S);
  play_answer (p, "ok");
  notice_apply (play_endpoint (p, "a"), &limit, &from, loop_now_us ());
  l.started_ms = 1700000000000;
  fleet_apply_listing (&p->fleet, &l, loop_now_us ());
  g_assert_cmpint (count_at_a (p), ==, 0);
  g_assert_true (play_endpoint (p, "a")->limit.active);
  fleet_apply_restart (&p->fleet, play_endpoint (p, "a"), l.started_ms + 1,
                       loop_now_us ());
  g_assert_cmpint (count_at_a (p), ==, 0);
  g_assert_true (play_endpoint (p, "a")->limit.active);
  play_free (p);
}

/* Guards against a shorter rest that is heard later and ends a longer one. */
static void
test_rest_longest (void)
{
  static const struct notice_origin from = { .source = "answer" };
  struct notice n = { .backoff_us = 5 * CQ_US_PER_S };
  struct play *p = play_new (FLEET_IDEMPOTENT);
  struct fleet_endpoint *e = play_endpoint (p, "a");

  notice_apply (e, &n, &from, CQ_US_PER_S);
  n.backoff_us = CQ_US_PER_S;
  notice_apply (e, &n, &from, 2 * CQ_US_PER_S);
  g_assert_true (pick_is_backoff_requested (e, 6 * CQ_US_PER_S - 1));
  g_assert_false (pick_is_backoff_requested (e, 6 * CQ_US_PER_S));
  play_free (p);
}

/* Guards against a request that was placed before its endpoint asked for rest,
   and against callers who wait for endpoints that all rest. */
static void
test_all_rest (void)
{
  struct play *p = play_new (FLEET_AT_MOST_ONCE);

  play_start (p);
  play_endpoint (p, "a")->requested_backoff_until_us
      = loop_now_us () + 3 * CQ_US_PER_S;
  play_endpoint (p, "b")->requested_backoff_until_us
      = loop_now_us () + 8 * CQ_US_PER_S;
  g_assert_false (p->event->before_send (p->arg));
  play_end (p, false, false);
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  g_assert_cmpint (p->retry_after_us, >, 2500 * CQ_US_PER_MS);
  g_assert_cmpint (p->retry_after_us, <, 4 * CQ_US_PER_S);
  play_free (p);
}

/* Guards against the answer of whoever has the address of an endpoint now. */
static void
test_other_life (void)
{
  struct play *p = play_new (FLEET_AT_MOST_ONCE);
  struct relay_head h = { .status = 421, .not_run = true, .running = -1 };

  h.other_life = true;
  h.notice.has_limit = true;
  h.notice.limit_milli_rps = 1000;
  h.lines = play_seal;
  play_start (p);
  play_answer_head (p, &h);
  g_assert_false (play_endpoint (p, p->to[0])->limit.active);
  play_answer (p, "ok");
  play_free (p);
}

const struct unit notice_units[] = {
  { "/notice/leaving", test_leaving },
  { "/notice/entry-returns", test_entry_returns },
  { "/notice/former-bounded", test_former_bounded },
  { "/notice/leaving-before-send", test_leaving_before_send },
  { "/notice/rest", test_rest },
  { "/notice/start-heard-late", test_start_heard_late },
  { "/notice/rest-longest", test_rest_longest },
  { "/notice/all-rest", test_all_rest },
  { "/notice/other-life", test_other_life },
  { NULL, NULL },
};
