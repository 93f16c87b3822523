/*
 * Unit tests of requests that are passed on, between an engine and a caller
 * that the test plays, so that each fault comes at its exact moment.
 */
#include <glib.h>
#include <string.h>

#include "relayplay.h"
#include "units.h"

/* --- freshness ------------------------------------------------------- */

/*
 * The VM is suspended after it placed a request and before the first byte
 * left.  Meanwhile the key was taken away; the VM cannot know.  The last look
 * finds its knowledge too old: the caller is told "not run", which is true.
 */
static void
test_frozen_before_send (void)
{
  struct play *p = play_new (FLEET_IDEMPOTENT);

  play_start (p);
  g_assert_cmpint (p->sends, ==, 1);
  p->fleet.conf_current_us -= PLAY_STALE_US + 1;
  g_assert_false (p->event->before_send (p->arg));
  play_end (p, false, false);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  g_assert_cmpint (p->retry_after_us, >, 0);
  g_assert_cmpint (p->sends, ==, 1);
  play_free (p);
}

/* The configuration that takes the key away arrives in the same gap. */
static void
test_revoked_before_send (void)
{
  struct play *p = play_new (FLEET_IDEMPOTENT);

  play_start (p);
  fleet_apply_conf (&p->fleet, play_conf (2, FLEET_IDEMPOTENT, "other"), 2);
  g_assert_false (p->event->before_send (p->arg));
  play_end (p, false, false);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  play_free (p);
}

/* A key that this VM does not know may have been added while it could not
   hear: it says "not run", not "no such key".  With fresh knowledge it is
   sure. */
static void
test_unknown_key (void)
{
  struct play *p = play_new (FLEET_IDEMPOTENT);

  p->desc.key = "new";
  play_start (p);
  g_assert_cmpint (p->refused, ==, RELAY_BAD_KEY);
  p->fleet.conf_current_us -= PLAY_STALE_US + 1;
  play_start (p);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  g_assert_cmpint (p->sends, ==, 0);
  play_free (p);
}

/*
 * The operator added a route, a key, and room for larger bodies two seconds
 * ago, and this VM has not heard of it: an answer is still on its way.  It
 * answers 503 where it would have answered 404, 401 or 413, and the caller
 * comes back; what it does know goes on.  Just before that its denials stand:
 * what it has not heard of by then does not count yet.
 */
static void
check_denial (struct play *p, int why)
{
  int64_t now = loop_now_us ();
  int sends = p->sends;

  p->fleet.conf_current_us = now - PLAY_DENY_US + 1;
  g_assert_null (relay_start (p->relays, &p->desc, now));
  g_assert_cmpint (p->refused, ==, why);
  g_assert_cmpint (p->retry_after_us, ==, 0);
  p->fleet.conf_current_us = now - PLAY_DENY_US;
  g_assert_null (relay_start (p->relays, &p->desc, now));
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  g_assert_cmpint (p->retry_after_us, >, 0);
  g_assert_cmpint (p->sends, ==, sends);
}

static void
test_behind_denies_nothing (void)
{
  struct play *p = play_new (FLEET_IDEMPOTENT);

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
  play_start (p);
  g_assert_cmpint (p->refused, ==, -1);
  play_answer (p, "served");
  g_assert_cmpint (p->status, ==, 200);
  play_free (p);
}

/* The same for a body that its door stopped reading, and for a VM that knows
   no settings yet: it denies nothing at all. */
static void
test_too_large_at_door (void)
{
  struct play *p = play_new (FLEET_IDEMPOTENT);
  int64_t now = loop_now_us ();

  relay_too_large (p->relays, &p->desc, now);
  g_assert_cmpint (p->refused, ==, RELAY_TOO_LARGE);
  p->fleet.conf_current_us = 0;
  relay_too_large (p->relays, &p->desc, now);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  play_free (p);
}

/* --- at most once ---------------------------------------------------- */

/*
 * A truck is ordered; the connection breaks after the call was handed over.
 * It may be on its way, so it is not ordered again, and the caller hears that
 * nobody knows, not that it did not run.
 */
static void
test_once (void)
{
  struct play *p = play_new (FLEET_AT_MOST_ONCE);

  play_start (p);
  g_assert_true (p->event->before_send (p->arg));
  play_end (p, true, false);
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->refused, ==, RELAY_UNKNOWN);
  play_free (p);
}

/* No connection came about: nothing ran, another endpoint may have it. */
static void
test_once_unreached (void)
{
  struct play *p = play_new (FLEET_AT_MOST_ONCE);

  play_start (p);
  play_end (p, false, false);
  g_assert_cmpint (p->sends, ==, 2);
  g_assert_cmpstr (p->to[0], !=, p->to[1]);
  play_answer (p, "ok");
  g_assert_cmpstr (p->got->str, ==, "ok");
  play_free (p);
}

/* Both endpoints say that they did not run it: so does the answer. */
static void
test_refused_by_all (void)
{
  struct play *p = play_new (FLEET_AT_MOST_ONCE);
  struct relay_head h = { .status = 503, .not_run = true, .running = -1 };
  int i;

  h.lines = play_seal;
  play_start (p);
  for (i = 0; i < 2; i++)
    {
      g_assert_true (p->event->before_send (p->arg));
      g_assert_true (p->event->head (p->arg, &h));
      play_end (p, true, true);
    }
  g_assert_cmpint (p->sends, ==, 2);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  play_free (p);
}

/*
 * The endpoint restarted, or its address went to another service: another life
 * answers that it does not run the request.  Nothing was sent to an endpoint
 * of the service, so one that allows a single attempt may still have it.
 */
static void
test_other_life (void)
{
  struct play *p = play_new (FLEET_AT_MOST_ONCE);
  struct relay_head h = { .status = 421, .not_run = true, .running = -1 };

  h.lines = play_seal;
  h.other_life = true;
  play_route (p)->max_attempts = 1;
  play_start (p);
  play_answer_head (p, &h);
  g_assert_cmpint (p->sends, ==, 2);
  play_answer (p, "ok");
  g_assert_cmpstr (p->got->str, ==, "ok");
  play_free (p);
}

/* Guards against an attempt more than a request has room to remember. */
static void
test_all_gone (void)
{
  struct play *p = play_new (FLEET_AT_MOST_ONCE);
  struct relay_head h = { .status = 421, .not_run = true, .running = -1 };
  char id[] = "c";
  int i;

  h.lines = play_seal;
  h.other_life = true;
  for (i = 0; i < PICK_EXCLUDE_MAX; i++, id[0]++)
    play_add_endpoint (p, id);
  play_start (p);
  for (i = 0; i < PICK_EXCLUDE_MAX / 2; i++)
    play_end (p, false, false);
  for (; i <= PICK_EXCLUDE_MAX && p->refused < 0; i++)
    play_answer_head (p, &h);
  g_assert_cmpint (p->sends, ==, PICK_EXCLUDE_MAX);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  g_assert_cmpint (p->retry_after_us, >, 0);
  play_free (p);
}

/* Guards against each request asking an endpoint anew that refused the
   connection of the one before. */
static void
test_absent_rests (void)
{
  struct play *p = play_new (FLEET_IDEMPOTENT);
  struct relay_end refused = { .refused = true, .error = "" };
  char gone[FLEET_NAME_SIZE];
  int i;

  play_start (p);
  g_strlcpy (gone, p->to[0], sizeof gone);
  p->event->end (p->arg, &refused);
  play_answer (p, "ok");
  for (i = 0; i < 16; i++)
    {
      p->sends = 0;
      play_start (p);
      g_assert_cmpstr (p->to[0], !=, gone);
      play_answer (p, "ok");
    }
  play_free (p);
}

/*
 * Weights changed under a VM that had not heard: the endpoint refuses the
 * version that was expected.  It is alive and stays in use; taken for another
 * life, it would get nothing from this VM any more.
 */
static void
test_other_version (void)
{
  struct play *p = play_new (FLEET_AT_MOST_ONCE);
  struct relay_head h = { .status = 421, .not_run = true, .running = -1 };
  struct fleet_endpoint *e;

  h.lines = play_seal;
  play_route (p)->max_attempts = 1;
  play_start (p);
  play_answer_head (p, &h);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  APR_RING_FOREACH (e, &p->fleet.endpoints, fleet_endpoint, link)
  g_assert_false (e->draining);
  play_free (p);
}

/* --- answers --------------------------------------------------------- */

/*
 * An answer to another request arrives late on a kept connection.  Showing it
 * would hand one caller's data to another; the request is tried again.
 */
static void
test_not_genuine (void)
{
  struct play *p = play_new (FLEET_IDEMPOTENT);
  struct relay_head h = { .status = 200, .running = -1 };

  h.lines = play_seal;
  play_start (p);
  g_assert_true (p->event->before_send (p->arg));
  g_assert_false (p->event->head (p->arg, &h));
  play_end (p, true, false);
  g_assert_cmpint (p->sends, ==, 2);
  g_assert_cmpint (p->status, ==, 0);
  play_answer (p, "mine");
  g_assert_cmpstr (p->got->str, ==, "mine");
  play_free (p);
}

/*
 * A stream breaks in the middle of its third event.  The caller has two; the
 * run goes on elsewhere behind the second, repeats it, and the caller sees
 * one stream without a seam.
 */
static void
test_resume (void)
{
  struct play *p = play_new (FLEET_STREAM);

  play_start (p);
  g_assert_true (p->event->before_send (p->arg));
  play_head (p, 200);
  play_body (p, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
  play_end (p, true, false);
  g_assert_cmpint (p->sends, ==, 2);
  g_assert_cmpint (p->resume_after, ==, 2);
  g_assert_cmpstr (p->to[0], !=, p->to[1]);
  play_answer (p, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  g_assert_cmpstr (p->got->str, ==,
                   "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  g_assert_cmpint (p->ended, ==, 1);
  play_free (p);
}

/* A stream that may not resume breaks: it must not look finished. */
static void
test_no_resume (void)
{
  struct play *p = play_new (FLEET_STREAM);

  play_route (p)->resumable = false;
  play_start (p);
  g_assert_true (p->event->before_send (p->arg));
  play_head (p, 200);
  play_body (p, "id: 1\ndata: a\n\n");
  play_end (p, true, false);
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->ended, ==, 0);
  play_free (p);
}

/*
 * A caller reads slower than the engine writes.  Its bytes must not fill the
 * VM's memory: the engine is held back above the bound, and goes on once half
 * is taken, with the bytes that it had to keep.
 */
static void
test_slow_reader (void)
{
  struct play *p = play_new (FLEET_STREAM);
  static const char more[] = "id: 2\ndata: b\n\n";

  play_start (p);
  g_assert_true (p->event->before_send (p->arg));
  play_head (p, 200);
  play_body (p, "id: 1\ndata: a\n\n");
  p->untaken = 4097;
  g_assert_cmpint (p->event->body (p->arg, more, strlen (more)), ==,
                   RELAY_PAUSE);
  p->untaken = 3000;
  relay_drained (p->relay);
  play_run (p, 20 * CQ_US_PER_MS);
  g_assert_cmpint (p->unpauses, ==, 0);
  p->untaken = 2000;
  relay_drained (p->relay);
  play_run (p, 20 * CQ_US_PER_MS);
  g_assert_cmpint (p->unpauses, ==, 1);
  play_body (p, more);
  play_end (p, true, true);
  g_assert_cmpstr (p->got->str, ==, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  play_free (p);
}

/* Work is found again only under its weights and, for a workspace that shares
   nothing, its owner: both are in the scope's name. */
static void
test_scope (void)
{
  struct play *p = play_new (FLEET_STREAM);

  play_start (p);
  g_assert_cmpstr (p->scope, ==, "m.v3.ws");
  relay_caller_gone (p->relay);
  g_assert_cmpint (p->cancels, ==, 1);
  play_free (p);
}

/* --- repeats and time ------------------------------------------------ */

/* An outage must not be doubled by repeats: beyond the burst and the share
   of requests, a failed request is answered at once. */
static void
test_budget (void)
{
  struct play *p = play_new (FLEET_IDEMPOTENT);
  int i;

  for (i = 0; i < 20; i++)
    {
      play_start (p);
      while (p->refused < 0)
        {
          g_assert_true (p->event->before_send (p->arg));
          play_end (p, true, false);
        }
      p->refused = -1;
      pick_request_succeeded (APR_RING_FIRST (&p->fleet.endpoints));
      pick_request_succeeded (APR_RING_LAST (&p->fleet.endpoints));
    }
  /* Twenty requests, a burst of four, a tenth of what came. */
  g_assert_cmpint (p->sends, >=, 24);
  g_assert_cmpint (p->sends, <=, 26);
  play_free (p);
}

/* The endpoint never answers: at the route's own limit the caller hears so,
   and the run is cancelled. */
static void
test_timeout (void)
{
  struct play *p = play_new (FLEET_IDEMPOTENT);

  play_route (p)->timeout_us = 50 * CQ_US_PER_MS;
  play_start (p);
  g_assert_cmpint (p->left_us, <=, 50 * CQ_US_PER_MS);
  g_assert_true (p->event->before_send (p->arg));
  play_run (p, 400 * CQ_US_PER_MS);
  g_assert_cmpint (p->refused, ==, RELAY_TIMED_OUT);
  g_assert_cmpint (p->cancels, ==, 1);
  play_free (p);
}

/*
 * The VM was busy; the caller hung up before its request was sent on.  Sent
 * all the same, it would run for nobody; the caller hears nothing, since it
 * is not there.
 */
static void
test_gone_before_send (void)
{
  struct play *p = play_new (FLEET_IDEMPOTENT);

  play_start (p);
  p->gone = true;
  g_assert_false (p->event->before_send (p->arg));
  play_end (p, false, false);
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->refused, ==, -1);
  g_assert_cmpint (p->ended, ==, -1);
  play_free (p);
}

/*
 * Work may begin on old weights until twelve seconds after newer ones were
 * named; old_max_us, after which none is sent, is three seconds less.  A
 * request that waits at its endpoint when its VM stands still, or falls
 * silent, is not called back: only the time that the endpoint was told can
 * end its waiting before the bound.
 */
static void
test_old_weights_wait (void)
{
  struct play *p = play_new (FLEET_STREAM);
  int64_t now = loop_now_us ();

  p->fleet.outdated_accept_us = 9 * CQ_US_PER_S;
  p->fleet.outdated_start_us = 12 * CQ_US_PER_S;
  fleet_apply_wanted (&p->fleet, "m", 4, now - 8 * CQ_US_PER_S,
                      now - 8 * CQ_US_PER_S);
  play_start (p);
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->left_us, >, 0);
  g_assert_cmpint (p->left_us, <=, 4 * CQ_US_PER_S);
  relay_caller_gone (p->relay);
  play_free (p);
}

/* The caller hangs up while the endpoint works: the run is cancelled without
   waiting for the endpoint. */
static void
test_hang_up (void)
{
  struct play *p = play_new (FLEET_STREAM);

  play_start (p);
  g_assert_true (p->event->before_send (p->arg));
  p->gone = true;
  play_run (p, 500 * CQ_US_PER_MS);
  g_assert_cmpint (p->cancels, ==, 1);
  g_assert_cmpint (p->refused, ==, -1);
  play_free (p);
}

/* How many of a thousand requests are sent when each endpoint's wait was
   WAIT_US, SILENT_US ago; the others must hear that they were not run. */
static int
count_sent (struct play *p, int64_t wait_us, int64_t silent_us)
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
      play_start (p);
      if (p->sends > 0)
        {
          sent++;
          relay_caller_gone (p->relay);
          continue;
        }
      g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
      g_assert_cmpint (p->retry_after_us, >, 0);
    }
  return sent;
}

/*
 * Both endpoints have fallen behind: answers began after 1.5 s lately, and a
 * caller should not wait for more than 0.25 s.  Five of six are told at once
 * that they were not run, and when to come back; the others can be served.
 * Refused all together, endpoints would stand idle until all return at once.
 * Without a word from an endpoint its wait shrinks, and soon all are sent.
 */
static void
test_too_late (void)
{
  struct play *p = play_new (FLEET_STREAM);
  int sent = count_sent (p, 1500 * CQ_US_PER_MS, 0);

  g_assert_cmpint (sent, >=, 120);
  g_assert_cmpint (sent, <=, 220);
  sent = count_sent (p, 1500 * CQ_US_PER_MS, 2 * CQ_US_PER_S);
  g_assert_cmpint (sent, >=, 600);
  g_assert_cmpint (sent, <=, 730);
  g_assert_cmpint (count_sent (p, 1500 * CQ_US_PER_MS, 10 * CQ_US_PER_S), ==,
                   1000);
  g_assert_cmpint (count_sent (p, 200 * CQ_US_PER_MS, 0), ==, 1000);
  play_free (p);
}

/* A request whose first piece comes from an endpoint where eight wait beside
   the two that run; false if it was refused at once. */
static bool
answered_beside_queue (struct play *p)
{
  struct relay_head h = { .status = 200, .genuine = true, .running = 2 };

  h.waiting = 8;
  h.lines = play_seal;
  p->sends = 0;
  p->refused = -1;
  p->desc.deadline_us = loop_now_us () + 6 * CQ_US_PER_S;
  play_start (p);
  if (p->sends == 0)
    return false;
  g_assert_true (p->event->before_send (p->arg));
  g_assert_true (p->event->head (p->arg, &h));
  play_body (p, "id: 0\ndata: x\n\n");
  play_end (p, true, true);
  return true;
}

/*
 * Endpoints answer fast, but four times as many requests wait there as run.
 * After some seconds of that callers hear at once that they were not run, and
 * to come back when a third of their time is over; a few are still let in.
 * Without it queues fill until answers are late, and the wait shows it then.
 */
static void
test_queue_told (void)
{
  struct play *p = play_new (FLEET_STREAM);
  int i, sent = 0;

  for (i = 0; i < 200; i++)
    {
      play_run (p, 10 * CQ_US_PER_MS);
      sent += answered_beside_queue (p);
    }
  g_assert_cmpint (sent, <=, 150);
  while (answered_beside_queue (p))
    sent++;
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  g_assert_cmpint (p->retry_after_us, <=, 2 * CQ_US_PER_S);
  g_assert_cmpint (p->retry_after_us, >=, 1500 * CQ_US_PER_MS);
  g_assert_cmpint (sent, >=, 10);
  play_free (p);
}

/*
 * One caller says that it waits for an hour, and others as long as the route
 * allows.  They would all seem to have been refused before, and go behind; so
 * a longer time than the route's counts as that.
 */
static void
test_endless_caller (void)
{
  struct play *p = play_new (FLEET_STREAM);
  int64_t hour = INT64_C (3600) * CQ_US_PER_S;

  p->desc.deadline_us = loop_now_us () + hour;
  play_start (p);
  relay_caller_gone (p->relay);
  p->desc.deadline_us = loop_now_us () + play_route (p)->timeout_us;
  play_start (p);
  g_assert_cmpint (p->relay->rank, <, ADMIT_RANKS / 2);
  relay_caller_gone (p->relay);
  play_free (p);
}

/* Nothing is known yet, as after a start without the platform: "not run". */
static void
test_nothing_known (void)
{
  struct play *p = play_new (FLEET_IDEMPOTENT);

  p->fleet.listed = false;
  play_start (p);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  play_free (p);
}

/* --- old weights ----------------------------------------------------- */

/* Weights of A become outdated now, B has newer ones; old ones take work for
   100 ms more, and nothing may begin on them after 300 ms. */
static void
outdate (struct play *p)
{
  struct fleet_endpoint *a = g_hash_table_lookup (p->fleet.by_id, "a");
  struct fleet_endpoint *b = g_hash_table_lookup (p->fleet.by_id, "b");
  int64_t now = loop_now_us ();

  /* Callers wait long enough for a second try not to be too late. */
  play_route (p)->target_latency_us = 10 * CQ_US_PER_S;
  p->fleet.outdated_accept_us = 100000;
  p->fleet.outdated_start_us = 300000;
  b->draining = true;
  fleet_apply_wanted (&p->fleet, "m", 4, now, now);
  play_start (p);
  g_assert_cmpstr (p->to[0], ==, a->listing.id);
  b->draining = false;
  fleet_apply_version (b, 4, FLEET_NEVER, loop_now_us ());
}

/*
 * A stream goes to an endpoint with old weights while these still take work,
 * and waits there behind others.  Left alone, it would begin after the bound
 * for old weights.  It is withdrawn, and goes to newer ones.
 */
static void
test_withdrawn_from_old_weights (void)
{
  struct play *p = play_new (FLEET_STREAM);

  outdate (p);
  g_assert_true (p->event->before_send (p->arg));
  play_run (p, 150000);
  g_assert_cmpint (p->cancels, ==, 0);
  play_run (p, 250000);
  g_assert_cmpint (p->cancels, ==, 1);
  g_assert_cmpint (p->sends, ==, 2);
  g_assert_cmpstr (p->to[1], ==, "b");
  play_answer (p, "id: 0\ndata: x\n\n");
  g_assert_cmpint (p->ended, ==, 1);
  play_free (p);
}

/* The same, and the stream may not run twice: it may have begun, so the caller
   is told at once that nothing is known, and nothing else is sent. */
static void
test_withdrawn_once (void)
{
  struct play *p = play_new (FLEET_STREAM);

  play_route (p)->resumable = false;
  outdate (p);
  g_assert_true (p->event->before_send (p->arg));
  play_run (p, 400000);
  g_assert_cmpint (p->cancels, ==, 1);
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->refused, ==, RELAY_UNKNOWN);
  play_free (p);
}

/*
 * The VM is suspended after it sent the stream, and can take nothing back. The
 * endpoint was told how long it may work on it: until the bound, not as long
 * as the caller waits.  With newest weights it has the caller's time.
 */
static void
test_time_on_old_weights (void)
{
  struct play *p = play_new (FLEET_STREAM);

  outdate (p);
  g_assert_cmpint (p->left_us, <=, 300000);
  g_assert_cmpint (p->left_us, >, 200000);
  g_assert_true (p->event->before_send (p->arg));
  play_run (p, 400000);
  g_assert_cmpstr (p->to[1], ==, "b");
  g_assert_cmpint (p->left_us, >, 15 * CQ_US_PER_S);
  play_answer (p, "id: 0\ndata: x\n\n");
  play_free (p);
}

/* A stream that has begun is whole, whatever its weights. */
static void
test_begun_on_old_weights (void)
{
  struct play *p = play_new (FLEET_STREAM);

  outdate (p);
  g_assert_true (p->event->before_send (p->arg));
  play_head (p, 200);
  play_body (p, "id: 0\ndata: x\n\n");
  play_run (p, 400000);
  g_assert_cmpint (p->cancels, ==, 0);
  play_end (p, true, true);
  g_assert_cmpint (p->ended, ==, 1);
  play_free (p);
}

/*
 * A plain call to an endpoint with old weights, which take work.  It runs
 * there since it was sent, and nothing is heard of it until its answer is
 * whole. Taken for one that waits, it is broken off at the bound: the caller
 * of a call that may run once gets no answer, though the endpoint is about to
 * give it.
 */
static void
test_running_on_old_weights (void)
{
  struct play *p = play_new (FLEET_AT_MOST_ONCE);

  outdate (p);
  g_assert_true (p->event->before_send (p->arg));
  play_run (p, 400000);
  g_assert_cmpint (p->cancels, ==, 0);
  play_head (p, 200);
  play_body (p, "done");
  play_end (p, true, true);
  g_assert_cmpint (p->status, ==, 200);
  play_free (p);
}

/* The connection stands only when old weights take no more work: nothing
   leaves, and newer ones are tried. */
static void
test_connected_too_late (void)
{
  struct play *p = play_new (FLEET_STREAM);

  outdate (p);
  play_run (p, 150000);
  g_assert_false (p->event->before_send (p->arg));
  play_end (p, false, false);
  g_assert_cmpint (p->sends, ==, 2);
  g_assert_cmpstr (p->to[1], ==, "b");
  play_answer (p, "id: 0\ndata: x\n\n");
  play_free (p);
}

/* --- endpoints that start again -------------------------------------- */

static struct fleet_endpoint *
start_again (struct play *p, const char *id, int64_t born_ms)
{
  struct fleet_endpoint *e = g_hash_table_lookup (p->fleet.by_id, id);
  struct fleet_listing l = e->listing;

  l.started_ms = born_ms;
  return fleet_apply_listing (&p->fleet, &l, loop_now_us ());
}

/*
 * Its endpoint starts again while the request connects: nothing left, so it is
 * sent to the next life as if it were the first time.
 */
static void
test_restart_before_send (void)
{
  struct play *p = play_new (FLEET_AT_MOST_ONCE);

  play_start (p);
  start_again (p, p->to[0], 1000);
  g_assert_false (p->event->before_send (p->arg));
  play_end (p, false, false);
  g_assert_cmpint (p->sends, ==, 2);
  play_answer (p, "done");
  g_assert_cmpint (p->status, ==, 200);
  play_free (p);
}

/*
 * Its endpoint starts again after a call that may run once has left, and the
 * connection breaks.  The life that had it may have run it; that the next one
 * knows nothing of it proves nothing.  The caller hears that it is unknown,
 * and the next life does not pay for the failure.
 */
static void
test_restart_after_send (void)
{
  struct play *p = play_new (FLEET_AT_MOST_ONCE);
  struct fleet_endpoint *e;

  play_start (p);
  g_assert_true (p->event->before_send (p->arg));
  e = start_again (p, p->to[0], 1000);
  play_end (p, true, false);
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->refused, ==, RELAY_UNKNOWN);
  g_assert_cmpint (e->running, ==, 0);
  g_assert_cmpint (e->failures, ==, 0);
  play_free (p);
}

/* An answer of the life before, whole though it came late, is the caller's;
   what its head says of load and weights is not the next life's. */
static void
test_answer_of_life_before (void)
{
  struct play *p = play_new (FLEET_IDEMPOTENT);
  struct relay_head h = { .status = 200, .genuine = true, .running = 40 };
  struct fleet_endpoint *e;

  h.lines = play_seal;
  h.version = 9;
  play_start (p);
  g_assert_true (p->event->before_send (p->arg));
  e = start_again (p, p->to[0], 1000);
  g_assert_true (p->event->head (p->arg, &h));
  play_body (p, "done");
  play_end (p, true, true);
  g_assert_cmpint (p->status, ==, 200);
  g_assert_cmpint (e->version, ==, 3);
  g_assert_cmpint (pick_load (e, loop_now_us ()), ==, 0);
  play_free (p);
}

/*
 * The endpoint has other weights than it is believed to have, and does not say
 * which.  The caller's request goes elsewhere, and the endpoint is to be
 * asked.
 */
static void
test_unknown_weights (void)
{
  struct play *p = play_new (FLEET_AT_MOST_ONCE);
  struct relay_head h = { .status = 421, .not_run = true, .running = -1 };
  struct fleet_endpoint *e;

  h.other_weights = true;
  h.lines = play_seal;
  play_start (p);
  e = g_hash_table_lookup (p->fleet.by_id, p->to[0]);
  play_answer_head (p, &h);
  g_assert_true (e->version_doubted);
  g_assert_cmpint (p->sends, ==, 2);
  play_answer (p, "done");
  play_free (p);
}

const struct unit relay_units[] = {
  { "/relay/frozen-before-send", test_frozen_before_send },
  { "/relay/revoked-before-send", test_revoked_before_send },
  { "/relay/unknown-key", test_unknown_key },
  { "/relay/behind-denies-nothing", test_behind_denies_nothing },
  { "/relay/too-large-at-door", test_too_large_at_door },
  { "/relay/once", test_once },
  { "/relay/restart-before-send", test_restart_before_send },
  { "/relay/restart-after-send", test_restart_after_send },
  { "/relay/answer-of-life-before", test_answer_of_life_before },
  { "/relay/unknown-weights", test_unknown_weights },
  { "/relay/once-unreached", test_once_unreached },
  { "/relay/refused-by-all", test_refused_by_all },
  { "/relay/other-life", test_other_life },
  { "/relay/all-gone", test_all_gone },
  { "/relay/absent-rests", test_absent_rests },
  { "/relay/other-version", test_other_version },
  { "/relay/not-genuine", test_not_genuine },
  { "/relay/resume", test_resume },
  { "/relay/no-resume", test_no_resume },
  { "/relay/slow-reader", test_slow_reader },
  { "/relay/scope", test_scope },
  { "/relay/budget", test_budget },
  { "/relay/timeout", test_timeout },
  { "/relay/gone-before-send", test_gone_before_send },
  { "/relay/old-weights-wait", test_old_weights_wait },
  { "/relay/hang-up", test_hang_up },
  { "/relay/too-late", test_too_late },
  { "/relay/queue-told", test_queue_told },
  { "/relay/endless-caller", test_endless_caller },
  { "/relay/nothing-known", test_nothing_known },
  { "/relay/withdrawn-from-old-weights", test_withdrawn_from_old_weights },
  { "/relay/withdrawn-once", test_withdrawn_once },
  { "/relay/time-on-old-weights", test_time_on_old_weights },
  { "/relay/begun-on-old-weights", test_begun_on_old_weights },
  { "/relay/running-on-old-weights", test_running_on_old_weights },
  { "/relay/connected-too-late", test_connected_too_late },
  { NULL, NULL },
};
