/*
 * Unit tests of the relay between a simulated engine and a simulated caller,
 * so that each fault happens at an exact point.
 */
#include <glib.h>
#include <string.h>

#include "relayharness.h"
#include "units.h"

/* --- freshness ------------------------------------------------------- */

/*
 * Guards against the use of a revoked key by a VM that is suspended between
 * the choice of an endpoint and the first byte.  The last check finds that the
 * settings are too old, and the caller is told "not run".
 */
static void
test_suspended_before_send (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);

  harness_start (p);
  g_assert_cmpint (p->sends, ==, 1);
  p->fleet.conf_current_us -= HARNESS_KEY_MAX_AGE_US + 1;
  g_assert_false (p->event->before_send (p->arg));
  harness_end (p, false, false);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  g_assert_cmpint (p->retry_after_us, >, 0);
  g_assert_cmpint (p->sends, ==, 1);
  harness_free (p);
}

/* The same, and the settings without the key arrive before the first byte. */
static void
test_revoked_before_send (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);

  harness_start (p);
  fleet_apply_conf (&p->fleet, harness_conf (2, FLEET_IDEMPOTENT, "other"), 2);
  g_assert_false (p->event->before_send (p->arg));
  harness_end (p, false, false);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  harness_free (p);
}

/* Guards against a crash when a configuration arrives between the read and the
   send of a request in a deployment without workspaces. */
static void
test_no_workspaces (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);

  fleet_apply_conf (&p->fleet, harness_conf (2, FLEET_IDEMPOTENT, NULL), 2);
  p->desc.key = NULL;
  harness_start (p);
  fleet_apply_conf (&p->fleet, harness_conf (3, FLEET_IDEMPOTENT, NULL), 3);
  harness_answer (p, "done");
  g_assert_cmpint (p->status, ==, 200);
  harness_free (p);
}

/* Guards against a request without a key that is sent under a configuration
   which requires one. */
static void
test_workspaces_added (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);

  fleet_apply_conf (&p->fleet, harness_conf (2, FLEET_IDEMPOTENT, NULL), 2);
  p->desc.key = NULL;
  harness_start (p);
  fleet_apply_conf (&p->fleet, harness_conf (3, FLEET_IDEMPOTENT, "key"), 3);
  g_assert_false (p->event->before_send (p->arg));
  harness_end (p, false, false);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  harness_free (p);
}

/* Guards against a configuration whose last key was revoked that is taken for
   one without workspaces, at arrival and before the first byte. */
static void
test_last_key (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);
  struct fleet_conf *c = harness_conf (2, FLEET_IDEMPOTENT, NULL);

  c->requires_keys = true;
  harness_start (p);
  fleet_apply_conf (&p->fleet, c, 2);
  g_assert_false (p->event->before_send (p->arg));
  harness_end (p, false, false);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  harness_start (p);
  g_assert_cmpint (p->refused, ==, RELAY_BAD_KEY);
  p->desc.key = NULL;
  harness_start (p);
  g_assert_cmpint (p->refused, ==, RELAY_BAD_KEY);
  harness_free (p);
}

/* Guards against a request that is sent in the name of the workspace that held
   its key before. */
static void
test_key_moved (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);
  struct fleet_conf *c = harness_conf (2, FLEET_IDEMPOTENT, "key");
  struct fleet_workspace *w = c->workspaces->pdata[0];

  harness_start (p);
  g_free (w->name);
  w->name = g_strdup ("other");
  fleet_apply_conf (&p->fleet, c, 2);
  g_assert_false (p->event->before_send (p->arg));
  harness_end (p, false, false);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  harness_free (p);
}

/* A key that this VM does not know may have been added while it was cut off:
   with old settings it answers "not run", with current ones "no such key". */
static void
test_unknown_key (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);

  p->desc.key = "new";
  harness_start (p);
  g_assert_cmpint (p->refused, ==, RELAY_BAD_KEY);
  p->fleet.conf_current_us -= HARNESS_KEY_MAX_AGE_US + 1;
  harness_start (p);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  g_assert_cmpint (p->sends, ==, 0);
  harness_free (p);
}

/*
 * Guards against a 404, 401 or 413 for what the operator added two seconds ago
 * while this VM has not received it yet.  It answers 503 instead, so that the
 * caller retries, and serves what it knows.  With settings that are one
 * microsecond newer it denies: a change that they lack does not apply yet.
 */
static void
check_denial (struct harness *p, int why)
{
  int64_t now = loop_now_us ();
  int sends = p->sends;

  p->fleet.conf_current_us = now - HARNESS_DENIAL_MAX_AGE_US + 1;
  g_assert_null (relay_start (p->relays, &p->desc, now));
  g_assert_cmpint (p->refused, ==, why);
  g_assert_cmpint (p->retry_after_us, ==, 0);
  p->fleet.conf_current_us = now - HARNESS_DENIAL_MAX_AGE_US;
  g_assert_null (relay_start (p->relays, &p->desc, now));
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  g_assert_cmpint (p->retry_after_us, >, 0);
  g_assert_cmpint (p->sends, ==, sends);
}

static void
test_old_settings_deny_nothing (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);

  p->desc.host = "new";
  check_denial (p, RELAY_NO_ROUTE);
  p->desc.host = "h";
  p->desc.key = "new";
  check_denial (p, RELAY_BAD_KEY);
  p->desc.key = "key";
  p->desc.body_len = 1001;
  check_denial (p, RELAY_TOO_LARGE);
  p->desc.body_len = 0;
  p->refused = -1;
  harness_start (p);
  g_assert_cmpint (p->refused, ==, -1);
  harness_answer (p, "served");
  g_assert_cmpint (p->status, ==, 200);
  harness_free (p);
}

/* The same for a body that the ingress stopped reading, and for a VM that has
   no settings yet: it denies nothing. */
static void
test_too_large_at_ingress (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);
  int64_t now = loop_now_us ();

  relay_refuse_too_large (p->relays, &p->desc, now);
  g_assert_cmpint (p->refused, ==, RELAY_TOO_LARGE);
  p->fleet.conf_current_us = 0;
  relay_refuse_too_large (p->relays, &p->desc, now);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  harness_free (p);
}

/* --- at most once ---------------------------------------------------- */

/*
 * Guards against a second run of a call that may run only once.  The
 * connection breaks after the call was sent, so it may have run: it is not
 * sent again, and the caller is told "unknown", not "not run".
 */
static void
test_once (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);

  harness_start (p);
  g_assert_true (p->event->before_send (p->arg));
  harness_end (p, true, false);
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->refused, ==, RELAY_UNKNOWN);
  harness_free (p);
}

/* The connection failed, so nothing ran: another endpoint gets the call. */
static void
test_once_unreached (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);

  harness_start (p);
  harness_end (p, false, false);
  g_assert_cmpint (p->sends, ==, 2);
  g_assert_cmpstr (p->to[0], !=, p->to[1]);
  harness_answer (p, "ok");
  g_assert_cmpstr (p->got->str, ==, "ok");
  harness_free (p);
}

/* Both endpoints answer that they did not run it: the caller is told so. */
static void
test_refused_by_all (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);
  struct relay_head h = { .status = 503, .not_run = true, .running = -1 };
  int i;

  h.lines = harness_seal;
  harness_start (p);
  for (i = 0; i < 2; i++)
    {
      g_assert_true (p->event->before_send (p->arg));
      g_assert_true (p->event->head (p->arg, &h));
      harness_end (p, true, true);
    }
  g_assert_cmpint (p->sends, ==, 2);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  harness_free (p);
}

/*
 * The endpoint restarted, or another service got its address: another
 * incarnation answers that it does not run the request.  Nothing was sent to
 * an endpoint of the service, so even a route with a single attempt goes on.
 */
static void
test_other_incarnation (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);
  struct relay_head h = { .status = 421, .not_run = true, .running = -1 };

  h.lines = harness_seal;
  h.other_incarnation = true;
  harness_route (p)->max_attempts = 1;
  harness_start (p);
  harness_answer_head (p, &h);
  g_assert_cmpint (p->sends, ==, 2);
  harness_answer (p, "ok");
  g_assert_cmpstr (p->got->str, ==, "ok");
  harness_free (p);
}

/* Guards against more attempts than a request can record. */
static void
test_attempts_bounded (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);
  struct relay_head h = { .status = 421, .not_run = true, .running = -1 };
  char id[] = "c";
  int i;

  h.lines = harness_seal;
  h.other_incarnation = true;
  for (i = 0; i < PICK_EXCLUDE_MAX; i++, id[0]++)
    harness_add_endpoint (p, id);
  harness_start (p);
  for (i = 0; i < PICK_EXCLUDE_MAX / 2; i++)
    harness_end (p, false, false);
  for (; i <= PICK_EXCLUDE_MAX && p->refused < 0; i++)
    harness_answer_head (p, &h);
  g_assert_cmpint (p->sends, ==, PICK_EXCLUDE_MAX);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  g_assert_cmpint (p->retry_after_us, >, 0);
  harness_free (p);
}

/* Guards against requests that are sent to an endpoint right after it refused
   the connection of the previous one. */
static void
test_connection_refused_backoff (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);
  struct relay_end refused = { .connection_refused = true, .error = "" };
  char gone[FLEET_NAME_SIZE];
  int i;

  harness_start (p);
  g_strlcpy (gone, p->to[0], sizeof gone);
  p->event->end (p->arg, &refused);
  harness_answer (p, "ok");
  for (i = 0; i < 16; i++)
    {
      p->sends = 0;
      harness_start (p);
      g_assert_cmpstr (p->to[0], !=, gone);
      harness_answer (p, "ok");
    }
  harness_free (p);
}

/*
 * An endpoint loaded other weights than this VM knows of, and refuses the
 * expected version.  It must stay in use: taken for another incarnation, it
 * would get no more requests from this VM.
 */
static void
test_other_version (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);
  struct relay_head h = { .status = 421, .not_run = true, .running = -1 };
  struct fleet_endpoint *e;

  h.lines = harness_seal;
  harness_route (p)->max_attempts = 1;
  harness_start (p);
  harness_answer_head (p, &h);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  APR_RING_FOREACH (e, &p->fleet.endpoints, fleet_endpoint, link)
  g_assert_false (e->draining);
  harness_free (p);
}

/* --- answers --------------------------------------------------------- */

/*
 * Guards against one caller getting another's data: the answer to an earlier
 * request arrives late on a reused connection.  The request is retried.
 */
static void
test_answer_to_other_request (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);
  struct relay_head h = { .status = 200, .running = -1 };

  h.lines = harness_seal;
  harness_start (p);
  g_assert_true (p->event->before_send (p->arg));
  g_assert_false (p->event->head (p->arg, &h));
  harness_end (p, true, false);
  g_assert_cmpint (p->sends, ==, 2);
  g_assert_cmpint (p->status, ==, 0);
  harness_answer (p, "mine");
  g_assert_cmpstr (p->got->str, ==, "mine");
  harness_free (p);
}

/*
 * A stream breaks in the middle of its third event.  It is resumed after the
 * second one at another endpoint, which repeats the second event; the caller
 * gets each event once.
 */
static void
test_resume (void)
{
  struct harness *p = harness_new (FLEET_STREAM);

  harness_start (p);
  g_assert_true (p->event->before_send (p->arg));
  harness_head (p, 200);
  harness_body (p, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
  harness_end (p, true, false);
  g_assert_cmpint (p->sends, ==, 2);
  g_assert_cmpint (p->resume_after, ==, 2);
  g_assert_cmpstr (p->to[0], !=, p->to[1]);
  harness_answer (p, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  g_assert_cmpstr (p->got->str, ==,
                   "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  g_assert_cmpint (p->ended, ==, 1);
  harness_free (p);
}

/* A stream of one event whose end is only that of its connection; the endpoint
   is being probed. */
static struct harness *
ended_with_connection (void)
{
  struct harness *p = harness_new (FLEET_STREAM);
  struct relay_head h = { .status = 200, .genuine = true, .running = -1 };

  h.lines = harness_seal;
  h.ends_with_connection = true;
  harness_start (p);
  g_assert_true (p->event->before_send (p->arg));
  g_assert_true (p->event->head (p->arg, &h));
  harness_body (p, "id: 1\ndata: a\n\n");
  harness_end (p, true, true);
  g_assert_cmpint (p->probes, ==, 1);
  g_assert_cmpstr (p->probed, ==, p->to[0]);
  g_assert_cmpint (p->ended, ==, -1);
  return p;
}

/* Guards against a stream that ends as complete since its endpoint was killed,
   and against one that is broken off though its endpoint is well. */
static void
test_ended_with_connection (void)
{
  struct harness *p = ended_with_connection ();
  enum relay_probe_result probe;

  p->probe (p->probe_arg, RELAY_PROBE_ALIVE, NULL);
  g_assert_cmpint (p->ended, ==, 1);
  g_assert_cmpint (p->sends, ==, 1);
  harness_free (p);

  for (probe = RELAY_PROBE_CRASHED; probe <= RELAY_PROBE_SILENT; probe++)
    {
      p = ended_with_connection ();
      p->probe (p->probe_arg, probe, NULL);
      g_assert_cmpint (p->sends, ==, 2);
      g_assert_cmpint (p->resume_after, ==, 1);
      harness_answer (p, "id: 2\ndata: b\n\n");
      g_assert_cmpint (p->ended, ==, 1);
      harness_free (p);
    }
}

/* Guards against a request that is freed while its endpoint is probed. */
static void
test_ended_and_caller_gone (void)
{
  struct harness *p = ended_with_connection ();

  p->gone = true;
  relay_caller_disconnected (p->relay);
  g_assert_cmpint (p->cancels, ==, 0);
  p->probe (p->probe_arg, RELAY_PROBE_REFUSED, NULL);
  g_assert_cmpint (p->sends, ==, 1);
  harness_free (p);

  p = ended_with_connection ();
  relay_time_out (p->relay, loop_now_us () + 60 * CQ_US_PER_S);
  g_assert_cmpint (p->ended, ==, 0);
  p->probe (p->probe_arg, RELAY_PROBE_ALIVE, NULL);
  g_assert_cmpint (p->ended, ==, 0);
  harness_free (p);

  p = ended_with_connection ();
  relays_stop (p->relays, loop_now_us ());
  g_assert_cmpint (p->ended, ==, 0);
  p->probe (p->probe_arg, RELAY_PROBE_REFUSED, NULL);
  harness_free (p);
}

/* Guards against events that the caller gets twice since a stream was resumed
   after an event without a number. */
static void
test_resume_unnumbered (void)
{
  static const struct
  {
    const char *events;
    int64_t after; /* -2: not resumed */
  } cases[] = {
    { "data: a\n\n", -2 },
    { "id: x1\ndata: a\n\n", -2 },
    { "id: 1\ndata: a\n\ndata: b\n\n", -2 },
    { "id: 1\ndata: a\n\nid: 99999999999999999999\ndata: b\n\n", -2 },
    { "id: 1\ndata: a\n\nid\ndata: b\n\n", -2 },
    { "data: a\n\nid: 2\ndata: b\n\n", 2 },
    { "id: 1\ndata: a\n\n: keep\n\n", 1 },
    { "id: 1\r\ndata: a\r\n\r\n:\r\n\r\n", 1 },
    { "id:1\nid: 2\ndata: a\n\n", 2 },
    { ": keep\n\n", -1 },
    { "retry: 9\n\nid: 1\ndata: a\n\nevent: x\n\n", 1 },
  };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct harness *p = harness_new (FLEET_STREAM);

      harness_start (p);
      g_assert_true (p->event->before_send (p->arg));
      harness_head (p, 200);
      harness_body (p, cases[i].events);
      harness_end (p, true, false);
      g_assert_cmpstr (p->got->str, ==, cases[i].events);
      if (cases[i].after == -2)
        {
          g_assert_cmpint (p->sends, ==, 1);
          g_assert_cmpint (p->ended, ==, 0);
        }
      else
        {
          g_assert_cmpint (p->sends, ==, 2);
          g_assert_cmpint (p->resume_after, ==, cases[i].after);
          harness_answer (p, "");
        }
      harness_free (p);
    }
}

/* Guards against a broken stream that is ended as complete since the attempt
   that resumes it gets a complete answer which is no stream. */
static void
resume_with_status (int status)
{
  struct harness *p = harness_new (FLEET_STREAM);

  harness_start (p);
  g_assert_true (p->event->before_send (p->arg));
  harness_head (p, 200);
  harness_body (p, "id: 1\ndata: a\n\nid: 2\nda");
  harness_end (p, true, false);
  g_assert_cmpint (p->sends, ==, 2);
  g_assert_true (p->event->before_send (p->arg));
  harness_head (p, status);
  harness_body (p, "no");
  harness_end (p, true, true);
  g_assert_cmpstr (p->got->str, ==, "id: 1\ndata: a\n\n");
  g_assert_cmpint (p->ended, ==, 0);
  harness_free (p);
}

static void
test_resume_error (void)
{
  resume_with_status (500);
}

static void
test_resume_not_found (void)
{
  resume_with_status (404);
}

static void
test_resume_other_success (void)
{
  resume_with_status (202);
}

/* Guards against giving up a broken stream that a third endpoint can resume
   after the second one answered with an error. */
static void
test_resume_after_error (void)
{
  struct harness *p = harness_new (FLEET_STREAM);

  harness_add_endpoint (p, "c");
  harness_route (p)->max_attempts = 3;
  harness_start (p);
  g_assert_true (p->event->before_send (p->arg));
  harness_head (p, 200);
  harness_body (p, "id: 1\ndata: a\n\nid: 2\nda");
  harness_end (p, true, false);
  g_assert_true (p->event->before_send (p->arg));
  harness_head (p, 500);
  harness_end (p, true, true);
  g_assert_cmpint (p->sends, ==, 3);
  g_assert_cmpint (p->resume_after, ==, 1);
  harness_answer (p, "id: 2\ndata: b\n\n");
  g_assert_cmpstr (p->got->str, ==, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  g_assert_cmpint (p->ended, ==, 1);
  harness_free (p);
}

/* The answer ends with its connection, and nothing is known to be wrong. */
static void
close_answer (struct harness *p)
{
  struct relay_end closed
      = { .handed_over = true, .whole = true, .error = "" };

  p->event->end (p->arg, &closed);
}

/* Guards against an endpoint that ends after the head of its stream, and a
   caller who takes that for a complete stream without an event. */
static void
test_empty_stream (void)
{
  struct harness *p = harness_new (FLEET_STREAM);

  harness_start (p);
  g_assert_true (p->event->before_send (p->arg));
  harness_head (p, 200);
  close_answer (p);
  g_assert_cmpint (p->sends, ==, 2);
  g_assert_true (p->event->before_send (p->arg));
  harness_head (p, 200);
  close_answer (p);
  g_assert_cmpint (p->sends, ==, 2);
  g_assert_cmpint (p->refused, ==, RELAY_UNKNOWN);
  harness_free (p);
}

/* Likewise of the endpoint that is to resume a stream. */
static void
test_empty_rest (void)
{
  struct harness *p = harness_new (FLEET_STREAM);

  harness_start (p);
  g_assert_true (p->event->before_send (p->arg));
  harness_head (p, 200);
  harness_body (p, "id: 1\ndata: a\n\nid: 2\nda");
  harness_end (p, true, false);
  g_assert_cmpint (p->sends, ==, 2);
  g_assert_true (p->event->before_send (p->arg));
  harness_head (p, 200);
  close_answer (p);
  g_assert_cmpint (p->ended, ==, 0);
  harness_free (p);
}

/* A stream without a length ends with its connection, and one whose headers
   say that it is empty is complete. */
static void
test_closed_stream (void)
{
  struct harness *p = harness_new (FLEET_STREAM);

  harness_start (p);
  g_assert_true (p->event->before_send (p->arg));
  harness_head (p, 200);
  harness_body (p, "id: 1\ndata: a\n\n");
  close_answer (p);
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->ended, ==, 1);
  harness_start (p);
  g_assert_true (p->event->before_send (p->arg));
  harness_head (p, 200);
  harness_end (p, true, true);
  g_assert_cmpint (p->sends, ==, 2);
  g_assert_cmpint (p->status, ==, 200);
  harness_free (p);
}

/* A stream that cannot be resumed breaks: it must not look complete. */
static void
test_no_resume (void)
{
  struct harness *p = harness_new (FLEET_STREAM);

  harness_route (p)->resumable = false;
  harness_start (p);
  g_assert_true (p->event->before_send (p->arg));
  harness_head (p, 200);
  harness_body (p, "id: 1\ndata: a\n\n");
  harness_end (p, true, false);
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->ended, ==, 0);
  harness_free (p);
}

/*
 * Guards against memory filling up for a caller that reads slower than the
 * engine writes.  Above the limit the attempt is paused; it goes on once half
 * of the buffer is free, with the bytes that were held back.
 */
static void
test_slow_reader (void)
{
  struct harness *p = harness_new (FLEET_STREAM);

  harness_pause (p);
  p->untaken = 3000;
  relay_drained (p->relay);
  harness_run (p, 20 * CQ_US_PER_MS);
  g_assert_cmpint (p->unpauses, ==, 0);
  p->untaken = 2000;
  relay_drained (p->relay);
  harness_run (p, 20 * CQ_US_PER_MS);
  g_assert_cmpint (p->unpauses, ==, 1);
  harness_body (p, HARNESS_PAUSED_EVENT);
  harness_end (p, true, true);
  g_assert_cmpstr (p->got->str, ==, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  harness_free (p);
}

/* The cache scope names the weights and, for an isolated workspace, its own
   group, so that no other request can use its cache. */
static void
test_scope (void)
{
  struct harness *p = harness_new (FLEET_STREAM);
  const struct fleet_workspace *w = p->fleet.conf->workspaces->pdata[0];
  g_autofree char *expected = g_strconcat ("m.v3.", w->cache_group, NULL);

  harness_start (p);
  g_assert_cmpuint (strlen (w->cache_group), ==, FLEET_GROUP_SIZE - 1);
  g_assert_cmpstr (p->scope, ==, expected);
  relay_caller_disconnected (p->relay);
  g_assert_cmpint (p->cancels, ==, 1);
  harness_free (p);
}

/* Guards against a request that waited while its workspace was isolated, and
   then uses the cache that it shared before. */
static void
test_scope_isolated_while_waiting (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);
  struct fleet_conf *c = harness_conf (2, FLEET_IDEMPOTENT, "key");
  struct fleet_workspace *w = p->fleet.conf->workspaces->pdata[0];
  g_autofree char *before = NULL;

  w->isolated = false;
  fleet_conf_build_groups (p->fleet.conf);
  harness_start (p);
  before = g_strdup (p->scope);
  g_assert_cmpstr (before, ==, "m.v3");
  fleet_apply_conf (&p->fleet, c, 2);
  harness_end (p, false, false);
  g_assert_cmpint (p->sends, ==, 2);
  g_assert_cmpstr (p->scope, !=, before);
  relay_caller_disconnected (p->relay);
  harness_free (p);
}

/* Guards against prompts that are sent without a cache scope, since another
   writer's entry of their endpoint names no model. */
static void
test_entry_without_model (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);
  struct fleet_service *sv = g_new0 (struct fleet_service, 1);
  struct fleet_listing l;
  struct fleet_endpoint *e;

  sv->name = g_strdup ("s");
  sv->model = g_strdup ("m");
  g_hash_table_insert (p->fleet.conf->services, sv->name, sv);
  harness_start (p);
  APR_RING_FOREACH (e, &p->fleet.endpoints, fleet_endpoint, link)
  {
    l = e->listing;
    l.model[0] = '\0';
    fleet_apply_listing (&p->fleet, &l, loop_now_us ());
  }
  g_assert_false (p->event->before_send (p->arg));
  harness_end (p, false, false);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  harness_start (p);
  g_assert_cmpint (p->sends, ==, 1);
  harness_free (p);
}

/* --- repeats and time ------------------------------------------------ */

/* Guards against retries that double the load of an outage: beyond the burst
   and a share of the requests, a failed request is answered at once. */
static void
test_budget (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);
  int i;

  for (i = 0; i < 20; i++)
    {
      harness_start (p);
      while (p->refused < 0)
        {
          g_assert_true (p->event->before_send (p->arg));
          harness_end (p, true, false);
        }
      p->refused = -1;
      pick_request_succeeded (APR_RING_FIRST (&p->fleet.endpoints));
      pick_request_succeeded (APR_RING_LAST (&p->fleet.endpoints));
    }
  /* Twenty requests, a burst of four retries, and a tenth of the requests. */
  g_assert_cmpint (p->sends, >=, 24);
  g_assert_cmpint (p->sends, <=, 26);
  harness_free (p);
}

/* The endpoint never answers: at the route's timeout the caller is told so,
   and the attempt is cancelled. */
static void
test_timeout (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);

  harness_route (p)->timeout_us = 50 * CQ_US_PER_MS;
  harness_start (p);
  g_assert_cmpint (p->left_us, <=, 50 * CQ_US_PER_MS);
  g_assert_true (p->event->before_send (p->arg));
  harness_run (p, 400 * CQ_US_PER_MS);
  g_assert_cmpint (p->refused, ==, RELAY_TIMED_OUT);
  g_assert_cmpint (p->cancels, ==, 1);
  harness_free (p);
}

/*
 * The VM was busy, and the caller hung up before its request was sent.  The
 * request is not sent, since its answer would reach no one, and no callback
 * follows.
 */
static void
test_disconnected_before_send (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);

  harness_start (p);
  p->gone = true;
  g_assert_false (p->event->before_send (p->arg));
  harness_end (p, false, false);
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->refused, ==, -1);
  g_assert_cmpint (p->ended, ==, -1);
  harness_free (p);
}

/*
 * Work may start on old weights until twelve seconds after newer ones were
 * named, and is sent to them until three seconds before that.  A VM that is
 * suspended or cut off cannot cancel a request that is queued at its endpoint:
 * only the timeout sent with the request ends the wait before the limit.
 */
static void
test_old_weights_timeout (void)
{
  struct harness *p = harness_new (FLEET_STREAM);
  int64_t now = loop_now_us ();

  p->fleet.outdated_accept_us = 9 * CQ_US_PER_S;
  p->fleet.outdated_start_us = 12 * CQ_US_PER_S;
  fleet_apply_wanted (&p->fleet, "m", 4, now - 8 * CQ_US_PER_S,
                      now - 8 * CQ_US_PER_S);
  harness_start (p);
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->left_us, >, 0);
  g_assert_cmpint (p->left_us, <=, 4 * CQ_US_PER_S);
  relay_caller_disconnected (p->relay);
  harness_free (p);
}

/* The caller hangs up while the endpoint works: the attempt is cancelled at
   once. */
static void
test_hang_up (void)
{
  struct harness *p = harness_new (FLEET_STREAM);

  harness_start (p);
  g_assert_true (p->event->before_send (p->arg));
  p->gone = true;
  harness_run (p, 500 * CQ_US_PER_MS);
  g_assert_cmpint (p->cancels, ==, 1);
  g_assert_cmpint (p->refused, ==, -1);
  harness_free (p);
}

/* Number of a thousand requests that are sent if each endpoint's wait was
   WAIT_US, measured SILENT_US ago; the others must be refused as not run. */
static int
count_sent (struct harness *p, int64_t wait_us, int64_t silent_us)
{
  struct fleet_endpoint *e;
  int64_t now = loop_now_us ();
  int sent = 0;
  int i;

  for (i = 0; i < 1000; i++)
    {
      APR_RING_FOREACH (e, &p->fleet.endpoints, fleet_endpoint, link)
      {
        e->first_chunk.smoothed_us = wait_us;
        e->first_chunk.updated_us = now - silent_us;
      }
      p->sends = 0;
      p->refused = -1;
      p->retry_after_us = 0;
      harness_start (p);
      if (p->sends > 0)
        {
          sent++;
          relay_caller_disconnected (p->relay);
          continue;
        }
      g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
      g_assert_cmpint (p->retry_after_us, >, 0);
    }
  return sent;
}

/*
 * Both endpoints are overloaded: answers started after 1.5 s recently, and a
 * caller should not wait for more than 0.25 s.  Five of six requests are
 * refused at once as not run, with a time to retry; the others can be served.
 * If all were refused, endpoints would be idle until all return at once.
 * Without new measurements the expected wait shrinks, and soon all are sent.
 */
static void
test_too_late (void)
{
  struct harness *p = harness_new (FLEET_STREAM);
  int sent = count_sent (p, 1500 * CQ_US_PER_MS, 0);

  g_assert_cmpint (sent, >=, 120);
  g_assert_cmpint (sent, <=, 220);
  sent = count_sent (p, 1500 * CQ_US_PER_MS, 2 * CQ_US_PER_S);
  g_assert_cmpint (sent, >=, 600);
  g_assert_cmpint (sent, <=, 730);
  g_assert_cmpint (count_sent (p, 1500 * CQ_US_PER_MS, 10 * CQ_US_PER_S), ==,
                   1000);
  g_assert_cmpint (count_sent (p, 200 * CQ_US_PER_MS, 0), ==, 1000);
  harness_free (p);
}

/* Run a request at an endpoint that reports two running and eight waiting
   requests; false if it was refused at once. */
static bool
run_at_queueing_endpoint (struct harness *p)
{
  struct relay_head h = { .status = 200, .genuine = true, .running = 2 };

  h.waiting = 8;
  h.lines = harness_seal;
  p->sends = 0;
  p->refused = -1;
  p->desc.deadline_us = loop_now_us () + 6 * CQ_US_PER_S;
  harness_start (p);
  if (p->sends == 0)
    return false;
  g_assert_true (p->event->before_send (p->arg));
  g_assert_true (p->event->head (p->arg, &h));
  harness_body (p, "id: 0\ndata: x\n\n");
  harness_end (p, true, true);
  return true;
}

/*
 * Endpoints answer fast, but four times as many requests wait there as run.
 * After some seconds callers are refused at once as not run, and told to retry
 * after a third of their time; a few are still admitted.  Otherwise queues
 * would fill until answers are late, and only the wait would show it.
 */
static void
test_queue_reported (void)
{
  struct harness *p = harness_new (FLEET_STREAM);
  int i, sent = 0;

  for (i = 0; i < 200; i++)
    {
      harness_run (p, 10 * CQ_US_PER_MS);
      sent += run_at_queueing_endpoint (p);
    }
  g_assert_cmpint (sent, <=, 150);
  while (run_at_queueing_endpoint (p))
    sent++;
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  g_assert_cmpint (p->retry_after_us, <=, 2 * CQ_US_PER_S);
  g_assert_cmpint (p->retry_after_us, >=, 1500 * CQ_US_PER_MS);
  g_assert_cmpint (sent, >=, 10);
  harness_free (p);
}

/*
 * One caller sends a deadline of an hour, the others the route's timeout.
 * Guards against these being taken for retries and ranked last: a longer
 * deadline counts as the route's timeout.
 */
static void
test_long_deadline (void)
{
  struct harness *p = harness_new (FLEET_STREAM);
  int64_t hour = INT64_C (3600) * CQ_US_PER_S;

  p->desc.deadline_us = loop_now_us () + hour;
  harness_start (p);
  relay_caller_disconnected (p->relay);
  p->desc.deadline_us = loop_now_us () + harness_route (p)->timeout_us;
  harness_start (p);
  g_assert_cmpint (p->relay->rank, <, ADMIT_RANKS / 2);
  relay_caller_disconnected (p->relay);
  harness_free (p);
}

/* No endpoints are known yet, as after a start without the platform: the
   answer is "not run". */
static void
test_nothing_known (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);

  p->fleet.listed = false;
  harness_start (p);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  harness_free (p);
}

/* --- old weights ----------------------------------------------------- */

/* The weights of A become outdated now, and B has newer ones.  Old weights
   accept work for 100 ms more, and nothing may start on them after 300 ms. */
static void
outdate (struct harness *p)
{
  struct fleet_endpoint *a = g_hash_table_lookup (p->fleet.by_id, "a");
  struct fleet_endpoint *b = g_hash_table_lookup (p->fleet.by_id, "b");
  int64_t now = loop_now_us ();

  /* Callers wait long enough for a second attempt. */
  harness_route (p)->target_latency_us = 10 * CQ_US_PER_S;
  p->fleet.outdated_accept_us = 100000;
  p->fleet.outdated_start_us = 300000;
  b->draining = true;
  fleet_apply_wanted (&p->fleet, "m", 4, now, now);
  harness_start (p);
  g_assert_cmpstr (p->to[0], ==, a->listing.id);
  b->draining = false;
  fleet_apply_version (b, 4, FLEET_NEVER, loop_now_us ());
}

/*
 * A stream is sent to an endpoint whose old weights still accept work, and is
 * queued there.  It would start after the limit for old weights, so it is
 * cancelled and sent to an endpoint with newer ones.
 */
static void
test_withdrawn_from_old_weights (void)
{
  struct harness *p = harness_new (FLEET_STREAM);

  outdate (p);
  g_assert_true (p->event->before_send (p->arg));
  harness_run (p, 150000);
  g_assert_cmpint (p->cancels, ==, 0);
  harness_run (p, 250000);
  g_assert_cmpint (p->cancels, ==, 1);
  g_assert_cmpint (p->sends, ==, 2);
  g_assert_cmpstr (p->to[1], ==, "b");
  harness_answer (p, "id: 0\ndata: x\n\n");
  g_assert_cmpint (p->ended, ==, 1);
  harness_free (p);
}

/* The same with a stream that must not run twice: it may have started, so the
   caller is told "unknown" at once, and nothing else is sent. */
static void
test_withdrawn_once (void)
{
  struct harness *p = harness_new (FLEET_STREAM);

  harness_route (p)->resumable = false;
  outdate (p);
  g_assert_true (p->event->before_send (p->arg));
  harness_run (p, 400000);
  g_assert_cmpint (p->cancels, ==, 1);
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->refused, ==, RELAY_UNKNOWN);
  harness_free (p);
}

/*
 * A VM that is suspended after it sent a stream cannot cancel it.  So the
 * timeout sent to an endpoint with old weights ends at the limit for these,
 * not at the caller's deadline as with the newest weights.
 */
static void
test_timeout_on_old_weights (void)
{
  struct harness *p = harness_new (FLEET_STREAM);

  outdate (p);
  g_assert_cmpint (p->left_us, <=, 300000);
  g_assert_cmpint (p->left_us, >, 200000);
  g_assert_true (p->event->before_send (p->arg));
  harness_run (p, 400000);
  g_assert_cmpstr (p->to[1], ==, "b");
  g_assert_cmpint (p->left_us, >, 15 * CQ_US_PER_S);
  harness_answer (p, "id: 0\ndata: x\n\n");
  harness_free (p);
}

/* A stream that has started is completed, whatever its weights. */
static void
test_started_on_old_weights (void)
{
  struct harness *p = harness_new (FLEET_STREAM);

  outdate (p);
  g_assert_true (p->event->before_send (p->arg));
  harness_head (p, 200);
  harness_body (p, "id: 0\ndata: x\n\n");
  harness_run (p, 400000);
  g_assert_cmpint (p->cancels, ==, 0);
  harness_end (p, true, true);
  g_assert_cmpint (p->ended, ==, 1);
  harness_free (p);
}

/*
 * A call that is not streamed runs at an endpoint with old weights, and sends
 * nothing until its answer is complete.  Guards against cancelling it at the
 * limit like a queued request: the caller of a call that may run only once
 * would lose an answer that the endpoint is about to send.
 */
static void
test_running_on_old_weights (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);

  outdate (p);
  g_assert_true (p->event->before_send (p->arg));
  harness_run (p, 400000);
  g_assert_cmpint (p->cancels, ==, 0);
  harness_head (p, 200);
  harness_body (p, "done");
  harness_end (p, true, true);
  g_assert_cmpint (p->status, ==, 200);
  harness_free (p);
}

/* The connection is established only after old weights stopped accepting work:
   nothing is sent, and newer weights are tried. */
static void
test_connected_too_late (void)
{
  struct harness *p = harness_new (FLEET_STREAM);

  outdate (p);
  harness_run (p, 150000);
  g_assert_false (p->event->before_send (p->arg));
  harness_end (p, false, false);
  g_assert_cmpint (p->sends, ==, 2);
  g_assert_cmpstr (p->to[1], ==, "b");
  harness_answer (p, "id: 0\ndata: x\n\n");
  harness_free (p);
}

/* --- endpoints that restart ------------------------------------------ */

static struct fleet_endpoint *
restart_endpoint (struct harness *p, const char *id, int64_t born_ms)
{
  struct fleet_endpoint *e = g_hash_table_lookup (p->fleet.by_id, id);
  struct fleet_listing l = e->listing;

  l.started_ms = born_ms;
  return fleet_apply_listing (&p->fleet, &l, loop_now_us ());
}

/*
 * The endpoint restarts while the request connects.  No byte has left, so the
 * request is sent as if for the first time.
 */
static void
test_restart_before_send (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);

  harness_start (p);
  restart_endpoint (p, p->to[0], 1000);
  g_assert_false (p->event->before_send (p->arg));
  harness_end (p, false, false);
  g_assert_cmpint (p->sends, ==, 2);
  harness_answer (p, "done");
  g_assert_cmpint (p->status, ==, 200);
  harness_free (p);
}

/*
 * The endpoint restarts after a call that may run only once was sent, and the
 * connection breaks.  The old incarnation may have run it, whatever the new
 * one knows.  The caller is told "unknown", and the failure does not count
 * against the new incarnation.
 */
static void
test_restart_after_send (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);
  struct fleet_endpoint *e;

  harness_start (p);
  g_assert_true (p->event->before_send (p->arg));
  e = restart_endpoint (p, p->to[0], 1000);
  harness_end (p, true, false);
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->refused, ==, RELAY_UNKNOWN);
  g_assert_cmpint (e->running, ==, 0);
  g_assert_cmpint (e->failures, ==, 0);
  harness_free (p);
}

/* A complete answer of the old incarnation is passed on, but the load and the
   weights in its head are not applied to the new incarnation. */
static void
test_answer_of_old_incarnation (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);
  struct relay_head h = { .status = 200, .genuine = true, .running = 40 };
  struct fleet_endpoint *e;

  h.lines = harness_seal;
  h.version = 9;
  harness_start (p);
  g_assert_true (p->event->before_send (p->arg));
  e = restart_endpoint (p, p->to[0], 1000);
  g_assert_true (p->event->head (p->arg, &h));
  harness_body (p, "done");
  harness_end (p, true, true);
  g_assert_cmpint (p->status, ==, 200);
  g_assert_cmpint (e->version, ==, 3);
  g_assert_cmpint (pick_load (e, loop_now_us ()), ==, 0);
  harness_free (p);
}

/*
 * The endpoint has other weights than expected, and does not say which.  The
 * request goes to another endpoint, and this one's version is marked as
 * doubtful so that it is queried.
 */
static void
test_unknown_weights (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);
  struct relay_head h = { .status = 421, .not_run = true, .running = -1 };
  struct fleet_endpoint *e;

  h.other_weights = true;
  h.lines = harness_seal;
  harness_start (p);
  e = g_hash_table_lookup (p->fleet.by_id, p->to[0]);
  harness_answer_head (p, &h);
  g_assert_true (e->version_doubted);
  g_assert_cmpint (p->sends, ==, 2);
  harness_answer (p, "done");
  harness_free (p);
}

/* Guards against an endpoint that goes on being chosen although its answers
   have no end. */
static void
test_endless_answer (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);
  g_autofree char *piece = g_strnfill (4097, 'x');
  struct fleet_endpoint *e;

  harness_start (p);
  e = g_hash_table_lookup (p->fleet.by_id, p->to[0]);
  g_assert_true (p->event->before_send (p->arg));
  harness_head (p, 200);
  g_assert_cmpint (p->event->body (p->arg, piece, 4097), ==, RELAY_STOP);
  harness_end (p, true, false);
  g_assert_cmpint (e->failures, ==, 1);
  g_assert_cmpint (p->sends, ==, 2);
  harness_answer (p, "done");
  g_assert_cmpint (p->status, ==, 200);
  harness_free (p);
}

const struct unit relay_units[] = {
  { "/relay/suspended-before-send", test_suspended_before_send },
  { "/relay/revoked-before-send", test_revoked_before_send },
  { "/relay/no-workspaces", test_no_workspaces },
  { "/relay/workspaces-added", test_workspaces_added },
  { "/relay/last-key", test_last_key },
  { "/relay/key-moved", test_key_moved },
  { "/relay/unknown-key", test_unknown_key },
  { "/relay/old-settings-deny-nothing", test_old_settings_deny_nothing },
  { "/relay/endless-answer", test_endless_answer },
  { "/relay/too-large-at-ingress", test_too_large_at_ingress },
  { "/relay/once", test_once },
  { "/relay/restart-before-send", test_restart_before_send },
  { "/relay/restart-after-send", test_restart_after_send },
  { "/relay/answer-of-old-incarnation", test_answer_of_old_incarnation },
  { "/relay/unknown-weights", test_unknown_weights },
  { "/relay/once-unreached", test_once_unreached },
  { "/relay/refused-by-all", test_refused_by_all },
  { "/relay/other-incarnation", test_other_incarnation },
  { "/relay/attempts-bounded", test_attempts_bounded },
  { "/relay/connection-refused-backoff", test_connection_refused_backoff },
  { "/relay/other-version", test_other_version },
  { "/relay/answer-to-other-request", test_answer_to_other_request },
  { "/relay/resume", test_resume },
  { "/relay/ended-with-connection", test_ended_with_connection },
  { "/relay/ended-and-caller-gone", test_ended_and_caller_gone },
  { "/relay/resume-unnumbered", test_resume_unnumbered },
  { "/relay/resume-error", test_resume_error },
  { "/relay/resume-not-found", test_resume_not_found },
  { "/relay/resume-other-success", test_resume_other_success },
  { "/relay/resume-after-error", test_resume_after_error },
  { "/relay/empty-stream", test_empty_stream },
  { "/relay/empty-rest", test_empty_rest },
  { "/relay/closed-stream", test_closed_stream },
  { "/relay/no-resume", test_no_resume },
  { "/relay/slow-reader", test_slow_reader },
  { "/relay/scope", test_scope },
  { "/relay/entry-without-model", test_entry_without_model },
  { "/relay/scope-isolated-while-waiting", test_scope_isolated_while_waiting },
  { "/relay/budget", test_budget },
  { "/relay/timeout", test_timeout },
  { "/relay/disconnected-before-send", test_disconnected_before_send },
  { "/relay/old-weights-timeout", test_old_weights_timeout },
  { "/relay/hang-up", test_hang_up },
  { "/relay/too-late", test_too_late },
  { "/relay/queue-reported", test_queue_reported },
  { "/relay/long-deadline", test_long_deadline },
  { "/relay/nothing-known", test_nothing_known },
  { "/relay/withdrawn-from-old-weights", test_withdrawn_from_old_weights },
  { "/relay/withdrawn-once", test_withdrawn_once },
  { "/relay/timeout-on-old-weights", test_timeout_on_old_weights },
  { "/relay/started-on-old-weights", test_started_on_old_weights },
  { "/relay/running-on-old-weights", test_running_on_old_weights },
  { "/relay/connected-too-late", test_connected_too_late },
  { NULL, NULL },
};
