/* Unit tests of the states of a request. */
#include <glib.h>
#include <string.h>

#include "met.h"
#include "relayharness.h"
#include "units.h"

/* --- table ----------------------------------------------------------- */

/* Guards against a change of one entry that goes unnoticed among the others:
   what each event does in each state. */
static void
test_table (void)
{
  static const char expected[]
      = "              received  asking    waiting   placed    sent      "
        "begun     ended\n"
        "ask           asking    -         -         -         -         "
        "-         -\n"
        "found         -         received  -         -         -         "
        "-         -\n"
        "wait          waiting   -         -         -         -         "
        "-         -\n"
        "ready         -         -         received  -         -         "
        "-         -\n"
        "place         received  -         -         -         -         "
        "-         -\n"
        "send          placed    -         -         -         -         "
        "-         -\n"
        "hand_over     -         -         -         sent      -         "
        "-         -\n"
        "head          -         -         -         -         begun     "
        "-         -\n"
        "chunk         -         -         -         -         -         "
        "begun     -\n"
        "attempt_ended -         -         -         received  received  "
        "received  -\n"
        "caller_gone   received  received  received  received  received  "
        "received  -\n"
        "deadline      -         received  received  received  received  "
        "received  -\n"
        "withdraw      -         received  received  received  received  "
        "received  -\n"
        "give_up       ended     -         -         -         -         "
        "-         -\n"
        "finish        ended     -         -         -         -         "
        "-         -\n";
  g_autoptr (GString) seen = g_string_new ("             ");
  enum relay_state from, to;
  enum relay_event event;
  const char *name;

  for (from = 0; from < RELAY_STATES; from++)
    g_string_append_printf (seen, from == RELAY_STATES - 1 ? " %s" : " %-9s",
                            relay_state_name (from));
  for (event = 0; event < RELAY_EVENTS; event++)
    {
      g_string_append_printf (seen, "\n%-13s", relay_event_name (event));
      for (from = 0; from < RELAY_STATES; from++)
        {
          to = from;
          name = "-";
          if (relay_state_next (from, event, &to))
            name = relay_state_name (to);
          else
            g_assert_cmpint (to, ==, from);
          g_string_append_printf (
              seen, from == RELAY_STATES - 1 ? " %s" : " %-9s", name);
        }
    }
  g_string_append (seen, "\n");
  g_test_message ("%s", seen->str);
  g_assert_cmpstr (seen->str, ==, expected);
}

/* --- events that are not allowed -------------------------------------- */

/* A request whose stream has begun, and that ended while its reader's unpause
   was queued, so that it is still in memory.  Its caller hung up. */
static struct harness *
start_and_cancel (void)
{
  struct harness *p = harness_new (FLEET_STREAM);

  harness_pause (p);
  p->untaken = 0;
  relay_drained (p->relay);
  relay_caller_disconnected (p->relay);
  g_assert_cmpint (p->cancels, ==, 1);
  g_assert_cmpint (relays_count (p->relays), ==, 0);
  g_assert_cmpint (p->relay->state, ==, RELAY_ENDED);
  return p;
}

/* The events of an attempt that was cancelled change and send nothing. */
static void
check_ended (struct harness *p, int64_t rejected)
{
  g_assert_cmpint (met_get (MET_EVENTS_REJECTED), ==, rejected);
  g_assert_cmpint (p->relay->state, ==, RELAY_ENDED);
  g_assert_cmpstr (p->got->str, ==, "id: 1\ndata: a\n\n");
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->cancels, ==, 1);
  g_assert_cmpint (p->refused, ==, -1);
  g_assert_cmpint (p->ended, ==, -1);
}

/* Guards against a second end of a request, or another attempt, when the
   adapter reports the end of an attempt that was cancelled. */
static void
test_end_after_cancel (void)
{
  struct harness *p = start_and_cancel ();
  int64_t before = met_get (MET_EVENTS_REJECTED);

  harness_end (p, true, false);
  check_ended (p, before + 1);
  harness_run (p, 1 * CQ_US_PER_MS);
  harness_free (p);
}

/* Guards against the use of an endpoint that was released: all that may come
   late for a request that has ended, from the adapter and from the caller. */
static void
test_events_after_end (void)
{
  struct harness *p = start_and_cancel ();
  struct relay_head h = { .status = 200, .genuine = true, .running = 1 };
  int64_t before = met_get (MET_EVENTS_REJECTED);

  h.lines = harness_seal;
  g_assert_false (p->event->head (p->arg, &h));
  check_ended (p, before + 1);
  g_assert_cmpint (p->event->body (p->arg, "x", 1), ==, RELAY_STOP);
  check_ended (p, before + 2);
  g_assert_false (p->event->before_send (p->arg));
  check_ended (p, before + 3);
  relay_caller_disconnected (p->relay);
  check_ended (p, before + 4);
  relay_time_out (p->relay, loop_now_us ());
  check_ended (p, before + 5);
  relay_give_up (p->relay, OUT_NOT_RUN, "again", 0, loop_now_us ());
  check_ended (p, before + 6);
  relay_finish (p->relay, OUT_ANSWERED, "again", loop_now_us ());
  check_ended (p, before + 7);
  harness_run (p, 1 * CQ_US_PER_MS);
  harness_free (p);
}

/* Guards against a second run after a chunk without a head: the retry that a
   broken attempt of an idempotent route would get does not follow. */
static void
test_chunk_before_head (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);
  int64_t before = met_get (MET_EVENTS_REJECTED);

  harness_start (p);
  g_assert_true (p->event->before_send (p->arg));
  g_assert_cmpint (p->event->body (p->arg, "x", 1), ==, RELAY_STOP);
  g_assert_cmpint (met_get (MET_EVENTS_REJECTED), ==, before + 1);
  harness_end (p, true, false);
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->refused, ==, RELAY_UNKNOWN);
  harness_free (p);
}

/* Guards against "not run" for a request that an endpoint answered: a head
   before the first byte shows that the request may have run. */
static void
test_head_before_send (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);
  struct relay_head h = { .status = 200, .genuine = true, .running = -1 };

  h.lines = harness_seal;
  harness_start (p);
  g_assert_false (p->event->head (p->arg, &h));
  g_assert_false (p->event->before_send (p->arg));
  harness_end (p, false, false);
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->refused, ==, RELAY_UNKNOWN);
  harness_free (p);
}

/* Guards against an attempt that runs on, and a second one beside it, when a
   request is placed again while its attempt is under way. */
static void
test_place_while_sent (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);
  int64_t before = met_get (MET_EVENTS_REJECTED);

  harness_start (p);
  g_assert_true (p->event->before_send (p->arg));
  relay_place (p->relay, loop_now_us ());
  g_assert_cmpint (met_get (MET_EVENTS_REJECTED), ==, before + 1);
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->cancels, ==, 1);
  g_assert_cmpint (p->refused, ==, RELAY_UNKNOWN);
  harness_free (p);
}

/* Guards against a withdrawal that retries a request of which an event was
   rejected: the reason of the withdrawal alone would allow it. */
static void
test_withdraw_after_rejection (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);

  harness_start (p);
  g_assert_cmpint (p->event->body (p->arg, "x", 1), ==, RELAY_STOP);
  relay_withdraw (p->relay, loop_now_us ());
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->cancels, ==, 1);
  g_assert_cmpint (p->refused, ==, RELAY_UNKNOWN);
  harness_free (p);
}

/* Guards against two answers to a caller when a request is finished while its
   attempt is under way. */
static void
test_finish_while_sent (void)
{
  struct harness *p = harness_new (FLEET_IDEMPOTENT);

  harness_start (p);
  relay_finish (p->relay, OUT_ANSWERED, "early", loop_now_us ());
  g_assert_cmpint (p->cancels, ==, 1);
  g_assert_cmpint (p->refused, ==, -1);
  harness_free (p);
}

const struct unit relaystate_units[] = {
  { "/relaystate/table", test_table },
  { "/relaystate/end-after-cancel", test_end_after_cancel },
  { "/relaystate/events-after-end", test_events_after_end },
  { "/relaystate/chunk-before-head", test_chunk_before_head },
  { "/relaystate/head-before-send", test_head_before_send },
  { "/relaystate/place-while-sent", test_place_while_sent },
  { "/relaystate/withdraw-after-rejection", test_withdraw_after_rejection },
  { "/relaystate/finish-while-sent", test_finish_while_sent },
  { NULL, NULL },
};
