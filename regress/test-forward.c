/* Unit tests of requests that are forwarded to another VM. */
#include <glib.h>
#include <string.h>

#include "forwardseal.h"
#include "relayharness.h"
#include "units.h"

#define MS CQ_US_PER_MS

/* A VM that reaches no endpoint, has VMS others, and has forwarded a request
   to the first of them. */
static struct harness *
forwarded (enum fleet_kind kind, int vms)
{
  struct harness *p = harness_new (kind);

  p->vms = vms;
  harness_start (p);
  harness_fail_to_connect (p);
  g_assert_cmpint (p->sends, ==, 2);
  g_assert_cmpint (p->forwards, ==, 1);
  return p;
}

/* The other VM's own answer. */
static bool
answer_of_vm (struct harness *p, int status, bool no_path)
{
  struct relay_head h
      = { .status = status, .no_path = no_path, .running = -1 };

  h.lines = harness_seal;
  h.notice.backoff_us = status == 503 ? 700 * MS : 0;
  g_assert_true (p->event->before_send (p->arg));
  return p->event->head (p->arg, &h);
}

static void
test_answered (void)
{
  struct harness *p = forwarded (FLEET_AT_MOST_ONCE, 2);

  harness_answer (p, "mine");
  g_assert_cmpint (p->status, ==, 200);
  g_assert_cmpstr (p->got->str, ==, "mine");
  /* The next one is not tried here first. */
  harness_start (p);
  g_assert_cmpint (p->sends, ==, 2);
  g_assert_cmpint (p->forwards, ==, 2);
  harness_answer (p, "");
  harness_free (p);
}

/* Guards against a request that is refused since the first VM that is asked
   has lost its endpoints, too, and against one that is passed on for ever. */
static void
test_no_path (void)
{
  struct harness *p = forwarded (FLEET_AT_MOST_ONCE, 9);
  int i;

  for (i = 0; i < RELAY_VMS_MAX; i++)
    {
      g_assert_cmpint (p->forwards, ==, i + 1);
      g_assert_true (answer_of_vm (p, 503, true));
      harness_end (p, true, true);
    }
  g_assert_cmpint (p->forwards, ==, RELAY_VMS_MAX);
  g_assert_cmpstr (p->vm[0], !=, p->vm[1]);
  g_assert_cmpstr (p->vm[1], !=, p->vm[2]);
  g_assert_cmpstr (p->vm[0], !=, p->vm[2]);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  g_assert_cmpint (p->retry_after_us, >, 0);
  harness_free (p);
}

/* Guards against requests to a VM that did not take the one before. */
static void
test_avoided (void)
{
  struct harness *p = forwarded (FLEET_AT_MOST_ONCE, 2);
  char gone[FLEET_NAME_SIZE];
  int i;

  g_strlcpy (gone, p->vm[0], sizeof gone);
  harness_end (p, false, false);
  harness_answer (p, "");
  g_assert_cmpstr (p->vm[1], !=, gone);
  for (i = 2; i < 12; i++)
    {
      harness_start (p);
      g_assert_cmpint (p->forwards, ==, i + 1);
      g_assert_cmpstr (p->vm[i % 4], !=, gone);
      harness_answer (p, "");
    }
  harness_free (p);
}

/* Guards against a Retry-After of the other VM that is lost. */
static void
test_refused (void)
{
  struct harness *p = forwarded (FLEET_AT_MOST_ONCE, 2);

  g_assert_true (answer_of_vm (p, 503, false));
  harness_end (p, true, true);
  g_assert_cmpint (p->forwards, ==, 1);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  g_assert_cmpint (p->retry_after_us, ==, 700 * MS);
  harness_free (p);
}

/* Guards against a second run of a request that may have run at the other
   VM's endpoint. */
static void
test_runs_once (void)
{
  static const enum fleet_kind kinds[]
      = { FLEET_AT_MOST_ONCE, FLEET_IDEMPOTENT, FLEET_STREAM };
  struct harness *p;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      p = forwarded (kinds[i], 3);
      g_assert_false (answer_of_vm (p, 502, false));
      harness_end (p, true, false);
      g_assert_cmpint (p->forwards + p->sends, ==, 3);
      g_assert_cmpint (p->refused, ==, RELAY_UNKNOWN);
      harness_free (p);
      p = forwarded (kinds[i], 3);
      g_assert_true (p->event->before_send (p->arg));
      harness_end (p, true, false);
      g_assert_cmpint (p->forwards + p->sends, ==, 3);
      g_assert_cmpint (p->refused, ==, RELAY_UNKNOWN);
      harness_free (p);
    }
}

/* Guards against a stream that breaks between two VMs and looks complete. */
static void
test_stream (void)
{
  struct harness *p = forwarded (FLEET_STREAM, 2);

  harness_answer (p, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  g_assert_cmpint (p->ended, ==, 1);
  harness_free (p);
  p = forwarded (FLEET_STREAM, 2);
  g_assert_true (p->event->before_send (p->arg));
  harness_head (p, 200);
  harness_body (p, "id: 1\ndata: a\n\nid: 2\nda");
  harness_end (p, true, false);
  g_assert_cmpstr (p->got->str, ==, "id: 1\ndata: a\n\n");
  g_assert_cmpint (p->ended, ==, 0);
  harness_free (p);
}

/* Guards against a request that may have run at an endpoint and is forwarded.
 */
static void
test_sent_before (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);

  p->vms = 2;
  harness_add_endpoint (p, "c");
  harness_start (p);
  g_assert_true (p->event->before_send (p->arg));
  harness_end (p, true, false);
  harness_fail_to_connect (p);
  g_assert_cmpint (p->forwards, ==, 0);
  g_assert_cmpint (p->refused, ==, RELAY_UNKNOWN);
  harness_free (p);
}

/* Guards against requests that go round among VMs without endpoints. */
static void
test_forwarded_once (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);

  p->vms = 2;
  p->desc.forwarded = true;
  harness_start (p);
  harness_fail_to_connect (p);
  g_assert_cmpint (p->forwards, ==, 0);
  g_assert_cmpint (p->refused, ==, RELAY_NO_PATH);
  p->refused = -1;
  harness_start (p);
  g_assert_cmpint (p->sends, ==, 2);
  g_assert_cmpint (p->refused, ==, RELAY_NO_PATH);
  harness_free (p);
}

/* Guards against a request that leaves its failure domain though a VM of that
   one could take it. */
static void
test_near (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);

  p->vms = 9;
  p->near_vms = 1;
  harness_start (p);
  harness_fail_to_connect (p);
  g_assert_cmpstr (p->vm[0], ==, "a0");
  harness_end (p, false, false);
  g_assert_cmpint (p->forwards, ==, 2);
  g_assert_cmpstr (p->vm[1], !=, "a0");
  harness_answer (p, "");
  harness_free (p);
}

/* Guards against a request that is bound to regions and goes to a VM of
   another one. */
static void
test_bound_to_regions (void)
{
  struct harness *p = forwarded (FLEET_AT_MOST_ONCE, 9);
  char *regions[] = { (char *)"r", NULL };

  harness_answer (p, "");
  harness_route (p)->allowed_regions = regions;
  harness_start (p);
  g_assert_cmpint (p->forwards, ==, 1);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  p->near_vms = 1;
  harness_start (p);
  g_assert_cmpint (p->forwards, ==, 2);
  g_assert_cmpstr (p->vm[1], ==, "a0");
  harness_answer (p, "");
  harness_route (p)->allowed_regions = NULL;
  harness_free (p);
}

/* Guards against a key that was revoked and opens a way through another VM. */
static void
test_revoked (void)
{
  struct harness *p = forwarded (FLEET_AT_MOST_ONCE, 2);

  fleet_apply_conf (&p->fleet, harness_conf (2, FLEET_AT_MOST_ONCE, "other"),
                    2);
  g_assert_false (p->event->before_send (p->arg));
  harness_end (p, false, false);
  g_assert_cmpint (p->forwards, ==, 1);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  harness_free (p);
}

/* Guards against a caller that waits for a VM which is silent. */
static void
test_deadline (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);

  p->vms = 2;
  p->desc.deadline_us = loop_now_us () + 200 * MS;
  harness_start (p);
  harness_fail_to_connect (p);
  g_assert_cmpint (p->left_us, <=, 200 * MS);
  g_assert_true (p->event->before_send (p->arg));
  harness_run (p, 300 * MS);
  g_assert_cmpint (p->cancels, ==, 1);
  g_assert_cmpint (p->refused, ==, RELAY_TIMED_OUT);
  harness_free (p);
}

/* Guards against a request that goes on at another VM without its caller. */
static void
test_hang_up (void)
{
  struct harness *p = forwarded (FLEET_STREAM, 2);

  g_assert_true (p->event->before_send (p->arg));
  relay_caller_disconnected (p->relay);
  g_assert_cmpint (p->cancels, ==, 1);
  harness_free (p);
}

/* --- seals ------------------------------------------------------------ */

/* Guards against a stranger who sends a request, or another one, as a VM. */
static void
test_seal (void)
{
  uint8_t key[32] = { 1 }, other[32] = { 2 };
  char *headers[] = { (char *)"X-A: 1", (char *)"X-B: 2", NULL };
  char *changed[] = { (char *)"X-A: 1", (char *)"X-B: 3", NULL };
  char *fewer[] = { (char *)"X-A: 1", NULL };
  struct relay_desc d
      = { .method = "POST", .target = "/a", .host = "h", .key = "k" },
      e;
  g_autofree char *seal = NULL, *cut = NULL;

  d.headers = headers;
  d.body = "body";
  d.body_len = 4;
  seal = forwardseal_make (&d, 100000, key);
  g_assert_true (forwardseal_check (&d, seal, 100000, key));
  g_assert_true (forwardseal_check (&d, seal, 104000, key));
  g_assert_true (forwardseal_check (NULL, seal, 100000, key));
  g_assert_false (forwardseal_check (NULL, seal, 106000, key));
  g_assert_false (forwardseal_check (NULL, seal, 100000, other));
  g_assert_false (forwardseal_check (NULL, "x", 100000, key));
  g_assert_false (forwardseal_check (&d, seal, 106000, key));
  g_assert_false (forwardseal_check (&d, seal, 94000, key));
  g_assert_false (forwardseal_check (&d, seal, 100000, other));
  g_assert_false (forwardseal_check (&d, "", 100000, key));
  cut = g_strndup (seal, strlen (seal) - 4);
  g_assert_false (forwardseal_check (&d, cut, 100000, key));
  e = d;
  e.method = "GET";
  g_assert_false (forwardseal_check (&e, seal, 100000, key));
  e = d;
  e.target = "/b";
  g_assert_false (forwardseal_check (&e, seal, 100000, key));
  e = d;
  e.host = "i";
  g_assert_false (forwardseal_check (&e, seal, 100000, key));
  e = d;
  e.key = NULL;
  g_assert_false (forwardseal_check (&e, seal, 100000, key));
  e = d;
  e.body_len = 3;
  g_assert_false (forwardseal_check (&e, seal, 100000, key));
  e = d;
  e.headers = changed;
  g_assert_false (forwardseal_check (&e, seal, 100000, key));
  e = d;
  e.headers = fewer;
  g_assert_false (forwardseal_check (&e, seal, 100000, key));
}

/* A VM with this rank whose endpoints have said that they are brittle. */
static struct harness *
brittle (int rank)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);
  struct relay_head h = { .status = 200, .genuine = true, .running = -1 };

  p->rank = rank;
  h.lines = harness_seal;
  h.notice.is_brittle = true;
  h.notice.refusals_s = 4;
  harness_start (p);
  harness_answer_head (p, &h);
  g_assert_cmpint (p->status, ==, 200);
  p->status = 0;
  return p;
}

/* Guards against a VM that is no owner and sends to brittle endpoints, and
   against a refusal there when the owner that was asked is gone. */
static void
test_brittle_not_owner (void)
{
  struct harness *p = brittle (8);

  harness_start (p);
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->forwards, ==, 1);
  harness_end (p, false, false);
  g_assert_cmpint (p->forwards, ==, 2);
  g_assert_cmpstr (p->vm[1], !=, p->vm[0]);
  harness_answer (p, "mine");
  g_assert_cmpint (p->status, ==, 200);
  harness_free (p);
}

/* Guards against an owner that sends more than it has tokens for, and against
   requests that wait for room after their callers have left. */
static void
test_brittle_waits (void)
{
  struct harness *p = brittle (0);
  const struct relay_events *event;
  struct relay *waiting;
  void *arg[2];
  int i;

  for (i = 0; i < 2; i++)
    {
      harness_start (p);
      g_assert_true (p->event->before_send (p->arg));
      arg[i] = p->arg;
    }
  event = p->event;
  g_assert_cmpint (p->sends, ==, 3);
  harness_start (p);
  waiting = p->relay;
  g_assert_cmpint (p->sends, ==, 3);
  g_assert_cmpint (waiting->state, ==, RELAY_WAITING);
  g_assert_cmpint (p->relays->nwaiting, ==, 1);
  relay_caller_disconnected (waiting);
  g_assert_cmpint (p->relays->nwaiting, ==, 0);
  harness_start (p);
  g_assert_cmpint (p->relays->nwaiting, ==, 1);
  harness_run (p, 100 * MS);
  /* A token is free again. */
  g_assert_cmpint (p->sends, ==, 4);
  g_assert_cmpint (p->relays->nwaiting, ==, 0);
  harness_answer (p, "");
  for (i = 0; i < 2; i++)
    {
      struct relay_end e = { .handed_over = true, .error = "" };

      event->end (arg[i], &e);
    }
  relays_stop (p->relays, loop_now_us ());
  harness_free (p);
}

const struct unit forward_units[] = {
  { "/forward/answered", test_answered },
  { "/forward/no-path", test_no_path },
  { "/forward/avoided", test_avoided },
  { "/forward/refused", test_refused },
  { "/forward/runs-once", test_runs_once },
  { "/forward/stream", test_stream },
  { "/forward/sent-before", test_sent_before },
  { "/forward/forwarded-once", test_forwarded_once },
  { "/forward/near", test_near },
  { "/forward/bound-to-regions", test_bound_to_regions },
  { "/forward/revoked", test_revoked },
  { "/forward/deadline", test_deadline },
  { "/forward/hang-up", test_hang_up },
  { "/forward/seal", test_seal },
  { "/forward/brittle-not-owner", test_brittle_not_owner },
  { "/forward/brittle-waits", test_brittle_waits },
  { NULL, NULL },
};
