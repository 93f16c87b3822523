/* Unit tests of the relay on requests that crash endpoints. */
#include <glib.h>
#include <string.h>

#include "relayharness.h"
#include "units.h"

/* Another VM saw N endpoints crash under the request, half a second apart. */
static void
add_crashes (struct harness *p, const char *workspace, int n)
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
add_refusal_evidence (struct harness *p, const char *workspace)
{
  add_crashes (p, workspace, 4);
}

/*
 * A request under which four endpoints crashed returns with another id.  It is
 * sent to no endpoint, and its caller is told neither "not run" nor to retry:
 * it ran before, and would crash the next endpoint.
 */
static void
test_refused (void)
{
  static const enum fleet_kind kinds[]
      = { FLEET_IDEMPOTENT, FLEET_AT_MOST_ONCE, FLEET_STREAM };
  struct harness *p;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      p = harness_new (kinds[i]);
      add_refusal_evidence (p, "ws");
      p->desc.id = "another";
      harness_start (p);
      g_assert_cmpint (p->sends, ==, 0);
      g_assert_cmpint (p->refused, ==, RELAY_UNKNOWN);
      g_assert_cmpint (p->retry_after_us, ==, 0);
      harness_free (p);
    }
}

/* The same bytes from another workspace are another request, so that no caller
   can have those of other workspaces refused. */
static void
test_digest_by_workspace (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);

  add_refusal_evidence (p, "other");
  harness_start (p);
  g_assert_cmpint (p->sends, ==, 1);
  harness_answer (p, "a");
  g_assert_cmpint (p->status, ==, 200);
  harness_free (p);
}

/* Evidence of other VMs arrives after an endpoint was chosen and before the
   first byte left. */
static void
test_refused_before_send (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);

  harness_start (p);
  add_refusal_evidence (p, "ws");
  g_assert_false (p->event->before_send (p->arg));
  harness_end (p, false, false);
  g_assert_cmpint (p->refused, ==, RELAY_UNKNOWN);
  g_assert_cmpint (p->sends, ==, 1);
  harness_free (p);
}

static bool
may_run_suspect (void *arg, const struct reqid *id, int64_t now_us)
{
  struct harness *p = arg;

  (void)id;
  (void)now_us;
  return p->turn;
}

/* Guards against a request under which three endpoints crashed and that runs
   at several VMs, or twice at one, before the fourth crash is known. */
static void
test_suspect_alone (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);
  const struct relay_events *event;
  void *arg;

  p->relays->opts.may_run_suspect = may_run_suspect;
  add_crashes (p, "ws", 3);
  harness_start (p);
  g_assert_cmpint (p->sends, ==, 0);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  g_assert_cmpint (p->retry_after_us, >, 0);
  p->turn = true;
  harness_start (p);
  g_assert_cmpint (p->sends, ==, 1);
  event = p->event;
  arg = p->arg;
  g_assert_true (event->before_send (arg));
  p->refused = -1;
  harness_start (p);
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  p->refused = -1;
  harness_end (p, true, false);
  /* The relay does not retry it either. */
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->refused, ==, RELAY_UNKNOWN);
  harness_run (p, 1000);
  p->probe (p->probe_arg, RELAY_PROBE_ALIVE, NULL);
  harness_run (p, 1200000);
  harness_free (p);
}

/* Guards against sending a request that became suspect after its endpoint was
   chosen. */
static void
test_suspect_before_send (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);

  p->relays->opts.may_run_suspect = may_run_suspect;
  harness_start (p);
  add_crashes (p, "ws", 3);
  g_assert_false (p->event->before_send (p->arg));
  harness_end (p, false, false);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  g_assert_cmpint (p->sends, ==, 1);
  harness_free (p);
}

/* Guards against a request that stays suspect after a complete answer. */
static void
test_suspect_answered (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);

  p->relays->opts.may_run_suspect = may_run_suspect;
  p->turn = true;
  add_crashes (p, "ws", 3);
  harness_start (p);
  harness_answer (p, "a");
  p->turn = false;
  harness_start (p);
  g_assert_cmpint (p->sends, ==, 2);
  harness_answer (p, "a");
  harness_free (p);
}

/* Guards against evidence that is dropped since the attempt that resumes a
   stream got a complete answer which is not the rest of it. */
static void
test_resume_refused (void)
{
  struct harness *p = harness_new (FLEET_STREAM);
  struct reqid id;

  add_crashes (p, "ws", 1);
  reqid_of (&p->desc, "ws", &id);
  harness_start (p);
  g_assert_true (p->event->before_send (p->arg));
  harness_head (p, 200);
  harness_body (p, "id: 1\ndata: a\n\n");
  harness_end (p, true, false);
  g_assert_cmpint (p->sends, ==, 2);
  g_assert_true (p->event->before_send (p->arg));
  harness_head (p, 404);
  harness_end (p, true, true);
  g_assert_cmpint (p->ended, ==, 0);
  g_assert_true (quar_has_crashes (p->quar, &id));
  harness_run (p, 1000);
  p->probe (p->probe_arg, RELAY_PROBE_ALIVE, NULL);
  harness_run (p, 1200000);
  harness_free (p);
}

/* A VM that starts has not read the evidence of the others yet: it answers
   "not run". */
static void
test_evidence_unknown (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);

  p->evidence_known = false;
  harness_start (p);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  p->evidence_known = true;
  harness_start (p);
  harness_answer (p, "a");
  harness_free (p);
}

/* The connection of a request breaks, and the probe of its endpoint gives
   PROBE.  Returns whether there is evidence on the request. */
static bool
break_off (struct harness *p, enum relay_probe_result probe)
{
  struct reqid id;

  reqid_of (&p->desc, "ws", &id);
  harness_start (p);
  g_assert_true (p->event->before_send (p->arg));
  harness_end (p, true, false);
  g_assert_cmpint (p->refused, ==, RELAY_UNKNOWN);
  if (p->probe != NULL)
    p->probe (p->probe_arg, probe, NULL);
  p->probe = NULL;
  return quar_has_crashes (p->quar, &id);
}

/*
 * A connection closes before its answer is complete.  The endpoint crashed
 * only if nothing listens there any more: links are reset, endpoints break off
 * answers and continue to run, and an unreachable one shows nothing.
 */
static void
test_broken_endpoint_probed (void)
{
  static const enum relay_probe_result probes[]
      = { RELAY_PROBE_ALIVE, RELAY_PROBE_SILENT, RELAY_PROBE_CRASHED };
  struct harness *p;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (probes); i++)
    {
      p = harness_new (FLEET_AT_MOST_ONCE);
      g_assert_true (break_off (p, probes[i])
                     == (probes[i] == RELAY_PROBE_CRASHED));
      g_assert_cmpint (p->probes, ==, 1);
      g_assert_cmpint (p->observed, ==, probes[i] == RELAY_PROBE_CRASHED);
      harness_free (p);
    }
}

/*
 * The endpoint's process is ending when it is probed: it accepts the
 * connection, and closes it with the others.  This shows nothing, so it is
 * probed again, and then nothing listens there any more.
 */
static void
test_probed_again (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);

  g_assert_false (break_off (p, RELAY_PROBE_SILENT));
  harness_run (p, 150 * CQ_US_PER_MS);
  g_assert_cmpint (p->probes, ==, 2);
  p->probe (p->probe_arg, RELAY_PROBE_CRASHED, NULL);
  g_assert_cmpint (p->observed, ==, 1);
  harness_free (p);
}

/* Guards against a VM whose probes show nothing and that says nothing about
   its own requests, while another VM knows that the endpoint crashed. */
static void
test_crash_known_by_others (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);
  struct quar_fact f = { .completed = false };
  struct fleet_endpoint *e;

  g_assert_false (break_off (p, RELAY_PROBE_SILENT));
  e = APR_RING_FIRST (&p->fleet.endpoints);
  g_assert_cmpstr (p->probed, ==, e->listing.id);
  memset (f.id.bytes, 7, sizeof f.id.bytes);
  f.crash = (struct quar_crash){ .endpoint = e->key, .at_ms = 100 };
  g_assert_true (quar_add_fact (p->quar, &f, false));
  harness_run (p, 150 * CQ_US_PER_MS);
  g_assert_cmpint (p->probes, ==, 2);
  p->probe (p->probe_arg, RELAY_PROBE_SILENT, NULL);
  g_assert_cmpint (p->observed, ==, 1);
  harness_run (p, 1200 * CQ_US_PER_MS);
  g_assert_cmpint (p->probes, ==, 2);
  harness_free (p);
}

/* The connection of a request breaks, and its endpoint refuses the probe. */
static void
break_and_refuse (struct harness *p)
{
  harness_start (p);
  g_assert_true (p->event->before_send (p->arg));
  harness_end (p, true, false);
  g_assert_cmpint (p->probes, ==, 1);
  g_assert_cmpstr (p->probed, ==, p->to[0]);
  p->probe (p->probe_arg, RELAY_PROBE_REFUSED, NULL);
}

/* Guards against a VM without a path to any endpoint that takes those which
   refuse it for crashed. */
static void
test_refused_without_path (void)
{
  static const enum relay_probe_result others[]
      = { RELAY_PROBE_REFUSED, RELAY_PROBE_SILENT };
  struct harness *p;
  struct reqid id;
  size_t i;
  int n;

  for (i = 0; i < G_N_ELEMENTS (others); i++)
    {
      p = harness_new (FLEET_AT_MOST_ONCE);
      reqid_of (&p->desc, "ws", &id);
      break_and_refuse (p);
      for (n = 2; n <= 8; n += 2)
        {
          g_assert_cmpint (p->probes, ==, n);
          g_assert_cmpstr (p->probed, !=, p->to[0]);
          p->probe (p->probe_arg, others[i], NULL);
          harness_run (p, 150 * CQ_US_PER_MS);
          if (p->probes > n)
            p->probe (p->probe_arg, RELAY_PROBE_REFUSED, NULL);
        }
      harness_run (p, 1200 * CQ_US_PER_MS);
      g_assert_cmpint (p->probes, ==, 8);
      g_assert_cmpint (p->observed, ==, 0);
      g_assert_false (quar_has_crashes (p->quar, &id));
      harness_free (p);
    }
}

/* Guards against a crash that is not found, or found late, where another
   endpoint answers or there is none. */
static void
test_refused_with_path (void)
{
  static const enum relay_probe_result others[]
      = { RELAY_PROBE_ALIVE, RELAY_PROBE_CRASHED };
  struct harness *p;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (others); i++)
    {
      p = harness_new (FLEET_AT_MOST_ONCE);
      break_and_refuse (p);
      g_assert_cmpint (p->observed, ==, 0);
      p->probe (p->probe_arg, others[i], NULL);
      g_assert_cmpint (p->probes, ==, 2);
      g_assert_cmpint (p->observed, ==, 1);
      harness_free (p);
    }
  p = harness_new (FLEET_AT_MOST_ONCE);
  harness_endpoint (p, "b")->draining = true;
  break_and_refuse (p);
  g_assert_cmpint (p->probes, ==, 1);
  g_assert_cmpint (p->observed, ==, 1);
  harness_free (p);
}

/* Another request connects to the other endpoint, before or after the
   connection of the first one breaks; then a probe is refused.  Returns
   whether that is evidence. */
static bool
is_crash_beside (bool connect_before)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);
  struct relay_end broken = { .handed_over = true, .error = "" };
  const struct relay_events *event;
  bool crashed;
  void *arg;

  harness_start (p);
  g_assert_true (p->event->before_send (p->arg));
  event = p->event;
  arg = p->arg;
  if (!connect_before)
    event->end (arg, &broken);
  harness_run (p, CQ_US_PER_MS);
  harness_start (p);
  g_assert_cmpstr (p->to[0], !=, p->to[1]);
  g_assert_true (p->event->before_send (p->arg));
  if (connect_before)
    event->end (arg, &broken);
  p->probe (p->probe_arg, RELAY_PROBE_REFUSED, NULL);
  crashed = p->observed == 1;
  g_assert_cmpint (p->probes, ==, crashed ? 1 : 2);
  if (!crashed)
    p->probe (p->probe_arg, RELAY_PROBE_SILENT, NULL);
  g_assert_cmpint (p->observed, ==, crashed);
  harness_head (p, 200);
  harness_end (p, true, true);
  harness_free (p);
  return crashed;
}

/* Guards against a connection that is older than the loss of the path and
   counts as one. */
static void
test_refused_beside_connection (void)
{
  g_assert_true (is_crash_beside (false));
  g_assert_false (is_crash_beside (true));
}

/* Guards against a probe of another endpoint that returns after the relay is
   gone. */
static void
test_other_probe_outlives (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);
  relay_probe_done done;
  void *arg;

  break_and_refuse (p);
  g_assert_cmpint (p->probes, ==, 2);
  done = p->probe;
  arg = p->probe_arg;
  harness_free (p);
  done (arg, RELAY_PROBE_ALIVE, NULL);
}

/* A draining endpoint ends as announced, whatever requests it still has. */
static void
test_draining_not_probed (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);
  struct fleet_endpoint *e;

  harness_start (p);
  g_assert_true (p->event->before_send (p->arg));
  APR_RING_FOREACH (e, &p->fleet.endpoints, fleet_endpoint, link)
  e->draining = true;
  harness_end (p, true, false);
  g_assert_cmpint (p->probes, ==, 0);
  harness_free (p);
}

/* An endpoint that breaks off one answer after another is probed once a
   second. */
static void
test_probe_interval (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);
  struct fleet_endpoint *b = g_hash_table_lookup (p->fleet.by_id, "b");
  int i;

  b->draining = true;
  for (i = 0; i < 5; i++)
    break_off (p, RELAY_PROBE_ALIVE);
  g_assert_cmpint (p->probes, ==, 1);
  harness_free (p);
}

/* While no endpoint has crashed, no digest of a request is computed. */
static void
test_no_evidence_no_digest (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);

  harness_start (p);
  g_assert_true (p->event->before_send (p->arg));
  g_assert_false (p->relay->has_subject);
  harness_head (p, 200);
  harness_body (p, "a");
  harness_end (p, true, true);
  g_assert_cmpint (p->probes, ==, 0);
  harness_free (p);
}

const struct unit relayquar_units[] = {
  { "/relay/quarantine-refused", test_refused },
  { "/relay/digest-by-workspace", test_digest_by_workspace },
  { "/relay/quarantine-refused-before-send", test_refused_before_send },
  { "/relay/suspect-alone", test_suspect_alone },
  { "/relay/suspect-before-send", test_suspect_before_send },
  { "/relay/suspect-answered", test_suspect_answered },
  { "/relay/resume-refused", test_resume_refused },
  { "/relay/evidence-unknown", test_evidence_unknown },
  { "/relay/broken-endpoint-probed", test_broken_endpoint_probed },
  { "/relay/probed-again", test_probed_again },
  { "/relay/crash-known-by-others", test_crash_known_by_others },
  { "/relay/refused-without-path", test_refused_without_path },
  { "/relay/refused-with-path", test_refused_with_path },
  { "/relay/refused-beside-connection", test_refused_beside_connection },
  { "/relay/other-probe-outlives", test_other_probe_outlives },
  { "/relay/draining-not-probed", test_draining_not_probed },
  { "/relay/probe-interval", test_probe_interval },
  { "/relay/no-evidence-no-digest", test_no_evidence_no_digest },
  { NULL, NULL },
};
