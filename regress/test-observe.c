/*
 * Unit tests of the reports on endpoints that VMs send to each other: their
 * messages, when they are sent, and their effect.
 */
#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "loadgossip.h"
#include "observe.h"
#include "quarwire.h"
#include "relayharness.h"
#include "units.h"

#define S CQ_US_PER_S
#define MS CQ_US_PER_MS

static const uint8_t key[SEALBOX_KEY_BYTES] = { 1, 2, 3 };

/* --- messages -------------------------------------------------------- */

static struct load_gossip
message (const char *vm, uint64_t seq, int nentries, int nreports)
{
  struct load_gossip w = { .incarnation = 9, .seq = seq };
  int i;

  g_strlcpy (w.vm, vm, sizeof w.vm);
  g_strlcpy (w.domain, "d1", sizeof w.domain);
  for (i = 0; i < nentries; i++)
    w.entries[i] = (struct load_entry){ (uint64_t)i + 1, 7, 1, 2, 3, 4 };
  for (i = 0; i < nreports; i++)
    w.reports[i] = (struct endpoint_report){
      .endpoint = UINT64_C (1) << 63 | (unsigned)i,
      .seen = (enum load_seen) (i % 4),
      .age_us = INT64_C (1000) * i,
      .running = i - 1,
      .waiting = 2 * i,
      .speed_percent = i == 0 ? 0 : 10 * i,
    };
  w.nentries = nentries;
  w.nreports = nreports;
  return w;
}

/* A message that was sealed is opened to the same message; if figures were
   mixed up, VMs would act on loads that nobody reported. */
static void
test_round_trip (void)
{
  struct load_gossip w = message ("vm-1", 3, 5, LOAD_REPORTS_MAX);
  g_autoptr (GByteArray) bytes = loadgossip_seal (&w, key);
  struct load_gossip got;
  int i;

  g_assert_true (loadgossip_open (bytes->data, bytes->len, key, &got));
  g_assert_cmpstr (got.vm, ==, "vm-1");
  g_assert_cmpstr (got.domain, ==, "d1");
  g_assert_cmpuint (got.incarnation, ==, 9);
  g_assert_cmpuint (got.seq, ==, 3);
  g_assert_cmpint (got.nentries, ==, 5);
  g_assert_cmpint (got.entries[4].shared_kv_tokens, ==, 4);
  g_assert_cmpint (got.nreports, ==, LOAD_REPORTS_MAX);
  for (i = 0; i < LOAD_REPORTS_MAX; i++)
    {
      g_assert_cmpuint (got.reports[i].endpoint, ==, w.reports[i].endpoint);
      g_assert_cmpint (got.reports[i].seen, ==, w.reports[i].seen);
      g_assert_cmpint (got.reports[i].age_us, ==, w.reports[i].age_us);
      g_assert_cmpint (got.reports[i].running, ==, w.reports[i].running);
      g_assert_cmpint (got.reports[i].waiting, ==, w.reports[i].waiting);
      g_assert_cmpint (got.reports[i].speed_percent, ==,
                       w.reports[i].speed_percent);
    }
}

/* Anybody can send to the port.  Truncated messages, forged ones, and those
   under another key or without a seal must be rejected as a whole. */
static void
test_invalid (void)
{
  static const uint8_t other[SEALBOX_KEY_BYTES] = { 3, 2, 1 };
  struct load_gossip w = message ("vm-1", 3, 2, 2), got = { .seq = 77 };
  g_autoptr (GByteArray) bytes = loadgossip_seal (&w, key);
  g_autoptr (GByteArray) plain = loadgossip_encode (&w);
  guint i;

  for (i = 0; i < bytes->len; i++)
    g_assert_false (loadgossip_open (bytes->data, i, key, &got));
  for (i = 0; i < bytes->len; i++)
    {
      bytes->data[i] ^= 1;
      g_assert_false (loadgossip_open (bytes->data, bytes->len, key, &got));
      bytes->data[i] ^= 1;
    }
  g_assert_false (loadgossip_open (bytes->data, bytes->len, other, &got));
  g_assert_false (loadgossip_open (plain->data, plain->len, key, &got));
  g_assert_false (loadgossip_decode ((char *)bytes->data, bytes->len, &got));
  g_assert_cmpuint (got.seq, ==, 77);
  g_assert_true (loadgossip_open (bytes->data, bytes->len, key, &got));
}

/* Sealed evidence on requests, recorded and sent again under the first bytes
   of a load message, opens under the same key.  It must not be read as load.
 */
static void
test_other_kind (void)
{
  g_autoptr (GArray) facts
      = g_array_new (FALSE, TRUE, sizeof (struct quar_fact));
  g_autoptr (GByteArray) evidence = NULL;
  struct quar_fact f = { .crash = { .endpoint = 5, .at_ms = 6, .ran_ms = 7 } };
  struct load_gossip w = message ("vm-1", 3, 0, 0);
  g_autoptr (GByteArray) bytes = loadgossip_seal (&w, key);

  g_array_append_val (facts, f);
  evidence = quarwire_seal (facts, key);
  memcpy (evidence->data, bytes->data, SEALBOX_MAGIC_BYTES);
  g_assert_false (loadgossip_open (evidence->data, evidence->len, key, &w));
  evidence = (g_byte_array_unref (evidence), quarwire_seal (facts, key));
  memcpy (bytes->data, evidence->data, SEALBOX_MAGIC_BYTES);
  g_assert_false (quarwire_open (bytes->data, bytes->len, key, facts));
}

/* A message that is longer than a packet is lost as a whole if one fragment
   is.  Whatever the length of names and lists, it stays within the limit, with
   entries before reports. */
static void
test_size (void)
{
  struct load_gossip w, got;
  char name[LOAD_VM_SIZE] = "";
  int entries, reports, len;

  for (len = 1; len < LOAD_VM_SIZE; len += 31)
    for (entries = 0; entries <= LOAD_ENTRIES_MAX; entries++)
      for (reports = 0; reports <= LOAD_REPORTS_MAX; reports += 8)
        {
          g_autoptr (GByteArray) bytes = NULL;

          memset (name, 'n', (size_t)len);
          w = message (name, 1, entries, reports);
          g_strlcpy (w.domain, name, sizeof w.domain);
          bytes = loadgossip_seal (&w, key);
          g_assert_cmpuint (bytes->len, <=, LOADGOSSIP_SEALED_MAX);
          g_assert_true (loadgossip_open (bytes->data, bytes->len, key, &got));
          g_assert_cmpint (got.nreports, ==,
                           MIN (reports, loadgossip_report_room (&w)));
          g_assert_true (got.nentries == entries || got.nreports == 0);
          g_assert_cmpint (got.nentries, >=, MIN (entries, 36));
        }
  g_assert_false (loadgossip_open (key, LOADGOSSIP_SEALED_MAX + 1, key, &got));
}

/* Impossible figures, which only a faulty VM sends, make the message invalid;
   an impossible speed counts as not reported. */
static void
test_figures (void)
{
  static const int speeds[][2]
      = { { 9, 0 },         { 10, 10 },   { 100, 100 },
          { 10000, 10000 }, { 10001, 0 }, { -5, 0 } };
  struct load_gossip w = message ("vm-1", 1, 0, 1), got;
  guint i;

  for (i = 0; i < G_N_ELEMENTS (speeds); i++)
    {
      g_autoptr (GByteArray) bytes = NULL;

      w.reports[0].speed_percent = speeds[i][0];
      bytes = loadgossip_seal (&w, key);
      g_assert_true (loadgossip_open (bytes->data, bytes->len, key, &got));
      g_assert_cmpint (got.reports[0].speed_percent, ==, speeds[i][1]);
    }
  w.reports[0].seen = (enum load_seen)4;
  {
    g_autoptr (GByteArray) bytes = loadgossip_seal (&w, key);

    g_assert_false (loadgossip_open (bytes->data, bytes->len, key, &got));
  }
}

/* --- when reports are sent ------------------------------------------- */

static struct endpoint_report
answered (uint64_t endpoint, int running, int speed)
{
  return (struct endpoint_report){ .endpoint = endpoint,
                                   .running = running,
                                   .speed_percent = speed };
}

static struct endpoint_report
failed (uint64_t endpoint)
{
  return (struct endpoint_report){ .endpoint = endpoint,
                                   .seen = LOAD_SEEN_UNREACHABLE,
                                   .running = -1 };
}

static void
own (struct observe *o, struct endpoint_report r, int64_t now_us)
{
  observe_own (o, &r, now_us);
}

/* Guards against a failure that is reported late, and against a message for
   each answer: load alone waits to be batched, an answer does not hold a
   failure back, and messages are at least 20 ms apart. */
static void
test_due (void)
{
  struct observe *o = observe_new ();
  struct endpoint_report got[LOAD_REPORTS_MAX];

  g_assert_cmpint (observe_due_us (o), ==, INT64_MAX);
  own (o, answered (1, 4, 0), S);
  g_assert_false (observe_is_urgent (o));
  g_assert_cmpint (observe_due_us (o), ==, S + 50 * MS);
  own (o, answered (2, 4, 0), S + 30 * MS);
  g_assert_cmpint (observe_due_us (o), ==, S + 50 * MS);
  own (o, failed (3), S + 31 * MS);
  g_assert_true (observe_is_urgent (o));
  g_assert_cmpint (observe_due_us (o), ==, S + 36 * MS);
  g_assert_cmpint (observe_collect (o, got, 24, S + 36 * MS), ==, 3);
  g_assert_cmpuint (got[0].endpoint, ==, 3);
  g_assert_cmpint (got[0].age_us, ==, 5 * MS);
  g_assert_cmpuint (got[1].endpoint, ==, 1);
  g_assert_cmpint (got[1].age_us, ==, 36 * MS);
  g_assert_false (observe_is_urgent (o));
  g_assert_cmpint (observe_due_us (o), ==, INT64_MAX);
  own (o, failed (3), S + 37 * MS);
  g_assert_cmpint (observe_due_us (o), ==, S + 56 * MS);
  observe_free (o);
}

/* Slow phases last 0.6 s.  A change of speed by a quarter is sent at once, a
   smaller one with the load, measured from what was sent last. */
static void
test_speed_change (void)
{
  struct observe *o = observe_new ();
  struct endpoint_report got[LOAD_REPORTS_MAX];

  own (o, answered (1, 4, 124), S);
  g_assert_false (observe_is_urgent (o));
  own (o, answered (1, 4, 125), S);
  g_assert_true (observe_is_urgent (o));
  own (o, answered (1, 4, 100), S);
  g_assert_false (observe_is_urgent (o));
  own (o, answered (1, 4, 250), S);
  own (o, answered (2, 4, 0), S - 1);
  own (o, failed (3), S + 1);
  g_assert_cmpint (observe_collect (o, got, 24, S + MS), ==, 3);
  g_assert_cmpuint (got[0].endpoint, ==, 3);
  g_assert_cmpuint (got[1].endpoint, ==, 1);
  g_assert_cmpuint (got[2].endpoint, ==, 2);
  own (o, answered (1, 4, 240), 2 * S);
  g_assert_false (observe_is_urgent (o));
  own (o, answered (1, 4, 100), 2 * S);
  g_assert_true (observe_is_urgent (o));
  observe_free (o);
}

/* A VM that was suspended must not send what it saw before; a report that did
   not fit must be in the next message, and a message without room must not be
   followed by one every 20 ms. */
static void
test_old_and_left (void)
{
  struct observe *o = observe_new ();
  struct endpoint_report got[LOAD_REPORTS_MAX];
  uint64_t i;

  for (i = 1; i <= 30; i++)
    own (o, failed (i), S);
  g_assert_cmpint (observe_collect (o, got, 24, S + 5 * MS), ==, 24);
  g_assert_cmpint (observe_due_us (o), ==, S + 25 * MS);
  g_assert_cmpint (observe_collect (o, got, 0, S + 25 * MS), ==, 0);
  g_assert_cmpint (observe_due_us (o), ==, S + 75 * MS);
  g_assert_cmpint (observe_collect (o, got, 24, S + 75 * MS), ==, 6);
  own (o, failed (1), 2 * S);
  g_assert_cmpint (observe_collect (o, got, 24, 3 * S + 1), ==, 0);
  g_assert_false (observe_is_urgent (o));
  g_assert_cmpint (observe_due_us (o), ==, INT64_MAX);
  observe_free (o);
}

/* The newest observation replaces an unsent one: the endpoint that answered
   after a failure is not reported as failed. */
static void
test_newest (void)
{
  struct observe *o = observe_new ();
  struct endpoint_report got[LOAD_REPORTS_MAX], late = failed (1);

  own (o, failed (1), S);
  own (o, answered (1, 4, 0), S + MS);
  late.age_us = 2 * MS;
  own (o, late, S + 2 * MS);
  g_assert_false (observe_is_urgent (o));
  g_assert_cmpint (observe_collect (o, got, 24, S + 5 * MS), ==, 1);
  g_assert_cmpint (got[0].seen, ==, LOAD_SEEN_ANSWERED);
  g_assert_cmpint (got[0].running, ==, 4);
  observe_free (o);
}

/* The limits hold for any sequence of observations: messages are at least 20
   ms apart, no report is older than 1 s, an urgent one is sent within 5 ms, or
   the 20 ms after the previous message, and load within 50 ms. */
static void
test_limits (void)
{
  struct observe *o = observe_new ();
  struct endpoint_report got[LOAD_REPORTS_MAX];
  GRand *rand = g_rand_new_with_seed (5);
  int64_t now, last = 0, urgent_us = 0, load_us = 0;
  int i, n, messages = 0;

  for (now = S; now < 61 * S; now += MS)
    {
      if (g_rand_double (rand) < 0.2)
        {
          own (o, answered ((uint64_t)g_rand_int_range (rand, 1, 9), 3, 100),
               now);
          load_us = load_us != 0 ? load_us : now;
        }
      if (g_rand_double (rand) < 0.01)
        {
          own (o, failed ((uint64_t)g_rand_int_range (rand, 11, 19)), now);
          urgent_us = urgent_us != 0 ? urgent_us : now;
        }
      if (now < observe_due_us (o))
        continue;
      n = observe_collect (o, got, LOAD_REPORTS_MAX, now);
      g_assert_cmpint (n, >, 0);
      g_assert_cmpint (now - last, >=, 20 * MS);
      if (urgent_us != 0)
        g_assert_cmpint (now, <=, MAX (urgent_us + 5 * MS, last + 20 * MS));
      if (load_us != 0)
        g_assert_cmpint (now - load_us, <=, 50 * MS);
      for (i = 0; i < n; i++)
        g_assert_cmpint (got[i].age_us, <=, S);
      urgent_us = load_us = 0;
      last = now;
      messages++;
    }
  g_test_message ("%d messages in 60 s", messages);
  g_assert_cmpint (messages, <, 3000);
  g_rand_free (rand);
  observe_free (o);
}

/* --- effect ---------------------------------------------------------- */

static struct fleet_endpoint *
add_endpoint (struct fleet *f, const char *id, int64_t started_ms)
{
  struct fleet_listing l = { .slots = 12, .started_ms = started_ms };

  g_strlcpy (l.id, id, sizeof l.id);
  g_strlcpy (l.service, "plain", sizeof l.service);
  return fleet_apply_listing (f, &l, S);
}

static struct load_gossip
word (uint64_t seq, struct endpoint_report r, int64_t age_us)
{
  struct load_gossip w = message ("other", seq, 0, 0);

  r.age_us = age_us;
  w.reports[w.nreports++] = r;
  return w;
}

/* The load that another VM saw is used while it is newer than this VM's own
   report, with what this VM sent since, and only for a second. */
static void
test_heard_load (void)
{
  struct fleet f;
  struct fleet_endpoint *e;
  struct load_gossip w;

  fleet_init (&f);
  e = add_endpoint (&f, "a", 1);
  pick_load_reported (e, 9, 2 * S);
  w = word (1, answered (e->key, 3, 0), 500 * MS);
  w.reports[0].waiting = 2;
  observe_apply (&f, &w, true, 2 * S);
  g_assert_cmpint (pick_load (e, 2 * S), ==, 9);
  observe_apply (&f, &w, true, 2 * S + 600 * MS);
  g_assert_cmpint (pick_load (e, 2 * S + 600 * MS), ==, 5);
  pick_request_sent (e);
  g_assert_cmpint (pick_load (e, 2 * S + 600 * MS), ==, 6);
  g_assert_cmpint (pick_load (e, 3 * S + 100 * MS), ==, 6);
  g_assert_cmpint (pick_load (e, 3 * S + 101 * MS), ==, 1);
  pick_load_reported (e, 8, 3 * S);
  g_assert_cmpint (pick_load (e, 3 * S), ==, 8);
  pick_request_ended (e);
  fleet_clear (&f);
}

/* Failure "lost": without further messages, the effect of the last one ends.
 */
static void
test_lost (void)
{
  struct fleet f;
  struct fleet_endpoint *e;
  struct load_gossip w;

  fleet_init (&f);
  e = add_endpoint (&f, "a", 1);
  w = word (1, answered (e->key, 12, 0), 0);
  observe_apply (&f, &w, true, S);
  g_assert_cmpint (pick_load (e, 2 * S), ==, 12);
  g_assert_cmpint (pick_load (e, 2 * S + 1), ==, 0);
  fleet_clear (&f);
}

/* Failure "stale": a VM that processes its events late sends old observations;
   beyond 1.5 s they have no effect, and older ones do not replace newer. */
static void
test_stale (void)
{
  struct fleet f;
  struct fleet_endpoint *e;
  struct load_gossip w;

  fleet_init (&f);
  e = add_endpoint (&f, "a", 1);
  w = word (1, answered (e->key, 12, 0), 1500 * MS + 1);
  observe_apply (&f, &w, true, 3 * S);
  g_assert_cmpint (e->heard.at_us, ==, 0);
  w = word (2, answered (e->key, 4, 0), 100 * MS);
  observe_apply (&f, &w, true, 3 * S);
  w = word (3, failed (e->key), 200 * MS);
  observe_apply (&f, &w, true, 3 * S);
  w = word (4, answered (e->key, 12, 0), 300 * MS);
  observe_apply (&f, &w, true, 3 * S);
  g_assert_cmpint (e->heard.running, ==, 4);
  g_assert_false (e->heard.is_failing);
  fleet_clear (&f);
}

/* Failure "cut off": a VM that receives nothing uses its own observations, as
   it does without reports. */
static void
test_cut_off (void)
{
  struct fleet f;
  struct fleet_endpoint *e;
  struct load_gossip w;

  fleet_init (&f);
  e = add_endpoint (&f, "a", 1);
  w = word (1, answered (e->key, 12, 0), 0);
  observe_apply (&f, &w, true, S);
  pick_load_reported (e, 2, 5 * S);
  pick_request_sent (e);
  g_assert_cmpint (pick_load (e, 5 * S), ==, 3);
  pick_request_ended (e);
  fleet_clear (&f);
}

/* Failure "unknown key": a report on an endpoint that this VM does not know,
   or no longer lists, is ignored, and the others of its message are applied.
 */
static void
test_unknown_key (void)
{
  struct fleet f;
  struct fleet_endpoint *a, *b;
  struct load_gossip w;

  fleet_init (&f);
  a = add_endpoint (&f, "a", 1);
  b = add_endpoint (&f, "b", 1);
  w = word (1, answered (77, 12, 0), 0);
  w.reports[w.nreports++] = answered (a->key, 3, 0);
  w.reports[w.nreports++] = answered (b->key, 4, 0);
  fleet_endpoint_ref (b);
  fleet_apply_missing (&f, b, S);
  observe_apply (&f, &w, true, S);
  g_assert_cmpint (a->heard.running, ==, 3);
  g_assert_cmpint (b->heard.at_us, ==, 0);
  g_assert_null (fleet_find_key (&f, b->key));
  add_endpoint (&f, "b", 1);
  g_assert_true (fleet_find_key (&f, b->key) == b);
  fleet_endpoint_unref (b);
  fleet_clear (&f);
}

/* Failure "earlier incarnation": what another VM saw of an endpoint before its
   restart says nothing of it now. */
static void
test_earlier_incarnation (void)
{
  struct fleet f;
  struct fleet_endpoint *e;
  struct load_gossip w;

  fleet_init (&f);
  e = add_endpoint (&f, "a", 1);
  w = word (1, failed (e->key), 0);
  w.reports[w.nreports++] = answered (e->key, 12, 0);
  observe_apply (&f, &w, true, S);
  g_assert_cmpint (e->heard.running, ==, 12);
  e = add_endpoint (&f, "a", 2);
  observe_apply (&f, &w, true, S);
  g_assert_cmpint (e->heard.at_us, ==, 0);
  g_assert_cmpint (e->heard.seen_us, ==, 0);
  fleet_clear (&f);
}

/* --- what attempts show ---------------------------------------------- */

/* Observations of the harness, newest last. */
static struct endpoint_report observed[8];
static int nobserved;

static void
note_observed (void *arg, const struct endpoint_report *r, int64_t now_us)
{
  (void)arg;
  (void)now_us;
  g_assert_cmpint (nobserved, <, (int)G_N_ELEMENTS (observed));
  observed[nobserved++] = *r;
}

static struct harness *
observed_harness (enum fleet_kind kind)
{
  struct harness *p = harness_new (kind);

  nobserved = 0;
  p->relays->opts.on_observed = note_observed;
  harness_start (p);
  return p;
}

static struct relay_head
head_of (int status, int running)
{
  return (struct relay_head){ .status = status,
                              .genuine = true,
                              .running = running,
                              .waiting = 3,
                              .lines = harness_seal };
}

/* A request's own failure must not count as one of its endpoint, which
   answered; an answer counts once. */
static void
test_own_failure (void)
{
  struct harness *p = observed_harness (FLEET_AT_MOST_ONCE);
  struct relay_head h = head_of (500, 7);

  harness_answer_head (p, &h);
  g_assert_cmpint (nobserved, ==, 1);
  g_assert_cmpint (observed[0].seen, ==, LOAD_SEEN_ANSWERED);
  g_assert_cmpint (observed[0].running, ==, 7);
  g_assert_cmpint (observed[0].waiting, ==, 3);
  g_assert_cmpuint (observed[0].endpoint, ==,
                    harness_endpoint (p, p->to[0])->key);
  harness_free (p);
}

/* Another incarnation at the address, or an answer without the endpoint's
   seal, shows nothing of the endpoint. */
static void
test_not_the_endpoint (void)
{
  struct harness *p = observed_harness (FLEET_AT_MOST_ONCE);
  struct relay_head h = head_of (421, 7);

  h.not_run = true;
  h.other_incarnation = true;
  harness_answer_head (p, &h);
  g_assert_cmpint (nobserved, ==, 0);
  h = head_of (200, 7);
  h.genuine = false;
  g_assert_true (p->event->before_send (p->arg));
  g_assert_false (p->event->head (p->arg, &h));
  harness_end (p, true, false);
  g_assert_cmpint (nobserved, ==, 0);
  harness_free (p);
}

/* Connections that did not come up, or broke off without an answer, are
   failures of the endpoint. */
static void
test_failures (void)
{
  struct harness *p = observed_harness (FLEET_IDEMPOTENT);

  harness_end (p, false, false);
  g_assert_cmpint (nobserved, ==, 1);
  g_assert_cmpint (observed[0].seen, ==, LOAD_SEEN_UNREACHABLE);
  g_assert_cmpint (observed[0].running, ==, -1);
  g_assert_true (p->event->before_send (p->arg));
  harness_end (p, true, false);
  g_assert_cmpint (nobserved, ==, 2);
  g_assert_cmpint (observed[1].seen, ==, LOAD_SEEN_FAILED);
  harness_free (p);
}

const struct unit observe_units[] = {
  { "/observe/round-trip", test_round_trip },
  { "/observe/invalid", test_invalid },
  { "/observe/other-kind", test_other_kind },
  { "/observe/size", test_size },
  { "/observe/figures", test_figures },
  { "/observe/due", test_due },
  { "/observe/speed-change", test_speed_change },
  { "/observe/old-and-left", test_old_and_left },
  { "/observe/newest", test_newest },
  { "/observe/limits", test_limits },
  { "/observe/heard-load", test_heard_load },
  { "/observe/lost", test_lost },
  { "/observe/stale", test_stale },
  { "/observe/cut-off", test_cut_off },
  { "/observe/unknown-key", test_unknown_key },
  { "/observe/earlier-incarnation", test_earlier_incarnation },
  { "/observe/own-failure", test_own_failure },
  { "/observe/not-the-endpoint", test_not_the_endpoint },
  { "/observe/failures", test_failures },
  { NULL, NULL },
};
