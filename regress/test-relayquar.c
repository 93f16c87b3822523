/* Unit tests of requests that crash endpoints, as one VM passes them on. */
#include <glib.h>
#include <string.h>

#include "relayplay.h"
#include "units.h"

/* Another VM saw N endpoints end under the request, half a second apart. */
static void
accuse (struct play *p, const char *workspace, int n)
{
  struct quar_fact f = { .completed = false };
  int64_t i;

  reqid_of (&p->desc, workspace, &f.id);
  for (i = 0; i < n; i++)
    {
      f.crash.endpoint = (uint64_t)(100 + i);
      f.crash.at_ms = loop_now_us () / CQ_US_PER_MS - 2000 + 500 * i;
      f.crash.ran_ms = 10;
      quar_add_fact (p->quar, &f, false);
    }
}

static void
condemn (struct play *p, const char *workspace)
{
  accuse (p, workspace, 4);
}

/*
 * A request under which four endpoints ended comes again under another id.
 * It goes to no endpoint, and its caller is not told "not run", nor to come
 * back: it ran, and would end the next one.
 */
static void
test_held (void)
{
  static const enum fleet_kind kinds[]
      = { FLEET_IDEMPOTENT, FLEET_ONCE, FLEET_STREAM };
  struct play *p;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      p = play_new (kinds[i]);
      condemn (p, "ws");
      p->desc.id = "another";
      play_start (p);
      g_assert_cmpint (p->sends, ==, 0);
      g_assert_cmpint (p->refused, ==, RELAY_UNKNOWN);
      g_assert_cmpint (p->retry_after_us, ==, 0);
      play_free (p);
    }
}

/* The same bytes of another workspace are another request: nobody can have
   other callers refused. */
static void
test_held_by_workspace (void)
{
  struct play *p = play_new (FLEET_ONCE);

  condemn (p, "other");
  play_start (p);
  g_assert_cmpint (p->sends, ==, 1);
  play_answer (p, "a");
  g_assert_cmpint (p->status, ==, 200);
  play_free (p);
}

/* Other VMs' evidence comes after the request was placed and before its first
   byte left. */
static void
test_held_before_send (void)
{
  struct play *p = play_new (FLEET_ONCE);

  play_start (p);
  condemn (p, "ws");
  g_assert_false (p->event->before_send (p->arg));
  play_end (p, false, false);
  g_assert_cmpint (p->refused, ==, RELAY_UNKNOWN);
  g_assert_cmpint (p->sends, ==, 1);
  play_free (p);
}

static bool
has_turn (void *arg, const struct reqid *id, int64_t now_us)
{
  struct play *p = arg;

  (void)id;
  (void)now_us;
  return p->turn;
}

/* Guards against a request under which three endpoints ended and that runs at
   several VMs, or twice at one, before the fourth crash is known. */
static void
test_suspect_alone (void)
{
  struct play *p = play_new (FLEET_IDEMPOTENT);
  const struct relay_events *event;
  void *arg;

  p->relays->opts.suspect_turn = has_turn;
  accuse (p, "ws", 3);
  play_start (p);
  g_assert_cmpint (p->sends, ==, 0);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  g_assert_cmpint (p->retry_after_us, >, 0);
  p->turn = true;
  play_start (p);
  g_assert_cmpint (p->sends, ==, 1);
  event = p->event;
  arg = p->arg;
  g_assert_true (event->before_send (arg));
  p->refused = -1;
  play_start (p);
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  p->refused = -1;
  play_end (p, true, false);
  /* Nor is it repeated by itself. */
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->refused, ==, RELAY_UNKNOWN);
  play_run (p, 1000);
  p->probe (p->probe_arg, RELAY_PROBE_ALIVE, NULL);
  play_run (p, 1200000);
  play_free (p);
}

/* Guards against a suspect request that was placed before it became suspect.
 */
static void
test_suspect_before_send (void)
{
  struct play *p = play_new (FLEET_ONCE);

  p->relays->opts.suspect_turn = has_turn;
  play_start (p);
  accuse (p, "ws", 3);
  g_assert_false (p->event->before_send (p->arg));
  play_end (p, false, false);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  g_assert_cmpint (p->sends, ==, 1);
  play_free (p);
}

/* Guards against a request that stays suspect after it was answered whole. */
static void
test_suspect_answered (void)
{
  struct play *p = play_new (FLEET_ONCE);

  p->relays->opts.suspect_turn = has_turn;
  p->turn = true;
  accuse (p, "ws", 3);
  play_start (p);
  play_answer (p, "a");
  p->turn = false;
  play_start (p);
  g_assert_cmpint (p->sends, ==, 2);
  play_answer (p, "a");
  play_free (p);
}

/* A VM that starts has not read what the others saw: it says "not run". */
static void
test_evidence_unknown (void)
{
  struct play *p = play_new (FLEET_ONCE);

  p->evidence_known = false;
  play_start (p);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  p->evidence_known = true;
  play_start (p);
  play_answer (p, "a");
  play_free (p);
}

/* A request's answer breaks off; the endpoint is asked once, and PROBE is what
   that shows.  Returns whether it became evidence. */
static bool
break_off (struct play *p, enum relay_probe probe)
{
  struct reqid id;

  reqid_of (&p->desc, "ws", &id);
  play_start (p);
  g_assert_true (p->event->before_send (p->arg));
  play_end (p, true, false);
  g_assert_cmpint (p->refused, ==, RELAY_UNKNOWN);
  if (p->probe != NULL)
    p->probe (p->probe_arg, probe, NULL);
  p->probe = NULL;
  return quar_has_crashes (p->quar, &id);
}

/*
 * A connection closes before its answer is whole.  Only if nothing listens at
 * the endpoint any more did it end: links are reset, endpoints break answers
 * off and live, and one that is cut off says nothing.
 */
static void
test_end_is_asked (void)
{
  static const enum relay_probe probes[]
      = { RELAY_PROBE_ALIVE, RELAY_PROBE_SILENT, RELAY_PROBE_CRASHED };
  struct play *p;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (probes); i++)
    {
      p = play_new (FLEET_ONCE);
      g_assert_true (break_off (p, probes[i])
                     == (probes[i] == RELAY_PROBE_CRASHED));
      g_assert_cmpint (p->probes, ==, 1);
      g_assert_cmpint (p->observed, ==, probes[i] == RELAY_PROBE_CRASHED);
      play_free (p);
    }
}

/*
 * The endpoint is about to end when it is probed: it takes the connection, and
 * closes it with the others.  That shows nothing, so it is probed again, and
 * then nothing listens there any more.
 */
static void
test_probed_again (void)
{
  struct play *p = play_new (FLEET_ONCE);

  g_assert_false (break_off (p, RELAY_PROBE_SILENT));
  play_run (p, 150 * CQ_US_PER_MS);
  g_assert_cmpint (p->probes, ==, 2);
  p->probe (p->probe_arg, RELAY_PROBE_CRASHED, NULL);
  g_assert_cmpint (p->observed, ==, 1);
  play_free (p);
}

/* An endpoint that was leaving ends as it said, under whatever it has. */
static void
test_release_is_no_end (void)
{
  struct play *p = play_new (FLEET_ONCE);
  struct fleet_endpoint *e;

  play_start (p);
  g_assert_true (p->event->before_send (p->arg));
  APR_RING_FOREACH (e, &p->fleet.endpoints, fleet_endpoint, link)
  e->draining = true;
  play_end (p, true, false);
  g_assert_cmpint (p->probes, ==, 0);
  play_free (p);
}

/* An endpoint that breaks off one answer after the other is asked once a
   second. */
static void
test_asked_seldom (void)
{
  struct play *p = play_new (FLEET_ONCE);
  struct fleet_endpoint *b = g_hash_table_lookup (p->fleet.by_id, "b");
  int i;

  b->draining = true;
  for (i = 0; i < 5; i++)
    break_off (p, RELAY_PROBE_ALIVE);
  g_assert_cmpint (p->probes, ==, 1);
  play_free (p);
}

/* Where no endpoint ended, no request is digested. */
static void
test_calm_costs_nothing (void)
{
  struct play *p = play_new (FLEET_ONCE);

  play_start (p);
  g_assert_true (p->event->before_send (p->arg));
  g_assert_false (p->relay->identified);
  play_head (p, 200);
  play_body (p, "a");
  play_end (p, true, true);
  g_assert_cmpint (p->probes, ==, 0);
  play_free (p);
}

const struct unit relayquar_units[] = {
  { "/relay/held", test_held },
  { "/relay/held-by-workspace", test_held_by_workspace },
  { "/relay/held-before-send", test_held_before_send },
  { "/relay/suspect-alone", test_suspect_alone },
  { "/relay/suspect-before-send", test_suspect_before_send },
  { "/relay/suspect-answered", test_suspect_answered },
  { "/relay/evidence-unknown", test_evidence_unknown },
  { "/relay/end-is-asked", test_end_is_asked },
  { "/relay/probed-again", test_probed_again },
  { "/relay/release-is-no-end", test_release_is_no_end },
  { "/relay/asked-seldom", test_asked_seldom },
  { "/relay/calm-costs-nothing", test_calm_costs_nothing },
  { NULL, NULL },
};
