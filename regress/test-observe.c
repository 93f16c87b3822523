/*
 * Unit tests of the reports on endpoints that VMs send to each other: their
 * messages, when they are sent, and their effect.
 */
#include <glib.h>
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "loadgossip.h"
#include "met.h"
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

/* --- exchange -------------------------------------------------------- */

/* A VM that sends and receives, and what it received. */
struct exchange
{
  struct loop *loop;         /* runs for a bounded time */
  int peer_fd;               /* socket of the other VM, which the test plays */
  struct sockaddr_in to;     /* address of the VM under test */
  struct loop_timer stop;    /* ends the run */
  struct loadgossip *gossip; /* under test */
  struct observe *observe;   /* what it is to send */
  const uint8_t *key;        /* NULL while it does not know it */
  int reports;               /* reports received */
  bool near;                 /* the last ones were of its own domain */
};

static void
write_row (void *ctx, const struct roster_row *self,
           void (*done) (void *arg, bool written), void *arg)
{
  struct exchange *x = ctx;

  x->to.sin_port = htons ((uint16_t)atoi (strrchr (self->address, ':') + 1));
  done (arg, true);
}

static void
read_rows (void *ctx, roster_done done, void *arg)
{
  struct exchange *x = ctx;
  g_autoptr (GArray) list
      = g_array_new (FALSE, TRUE, sizeof (struct roster_row));
  struct roster_row row = { .vm = "peer", .domain = "d1", .version = 1 };
  struct sockaddr_in peer = { .sin_port = 0 };
  socklen_t len = sizeof peer;

  getsockname (x->peer_fd, (struct sockaddr *)&peer, &len);
  g_snprintf (row.address, sizeof row.address, "127.0.0.1:%d",
              ntohs (peer.sin_port));
  g_array_append_val (list, row);
  g_strlcpy (row.vm, "self", sizeof row.vm);
  g_array_append_val (list, row);
  done (arg, list);
}

static void
collect_none (void *ctx, struct load_gossip *w)
{
  (void)ctx;
  w->nentries = 0;
}

static const uint8_t *
exchange_key (void *ctx)
{
  struct exchange *x = ctx;

  return x->key;
}

static void
count_reports (void *ctx, const struct load_gossip *w, bool near,
               int64_t now_us)
{
  struct exchange *x = ctx;

  (void)now_us;
  x->reports += w->nreports;
  x->near = near;
}

static void
stop_exchange (void *arg, int64_t now_us)
{
  struct exchange *x = arg;

  (void)now_us;
  loop_stop (x->loop);
}

static void
run_exchange (struct exchange *x, int64_t us)
{
  x->stop.fire = stop_exchange;
  x->stop.arg = x;
  loop_arm (x->loop, &x->stop, loop_now_us () + us);
  loop_run (x->loop);
}

static struct load_table *
open_exchange (struct exchange *x)
{
  struct loadgossip_opts o = { .vm = "self", .domain = "d1" };

  *x = (struct exchange){ .loop = loop_new (), .observe = observe_new () };
  x->to.sin_family = AF_INET;
  x->to.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  x->peer_fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  g_assert_cmpint (bind (x->peer_fd, (struct sockaddr *)&x->to, sizeof x->to),
                   ==, 0);
  o.loop = x->loop;
  o.collect_load = collect_none;
  o.load_table = load_new ();
  o.observe = x->observe;
  o.seal_key = exchange_key;
  o.on_reports = count_reports;
  o.reports_ctx = x;
  o.ops.write = write_row;
  o.ops.read = read_rows;
  o.ops.ctx = x;
  o.listen = "127.0.0.1:0";
  x->gossip = loadgossip_new (&o);
  g_assert_nonnull (x->gossip);
  while (!loadgossip_is_listed (x->gossip))
    run_exchange (x, 100 * MS);
  return o.load_table;
}

static void
close_exchange (struct exchange *x, struct load_table *loads)
{
  loadgossip_stop (x->gossip);
  loadgossip_free (x->gossip);
  observe_free (x->observe);
  load_free (loads);
  loop_free (x->loop);
  close (x->peer_fd);
}

/* Sends DATA to the VM; returns how many datagrams it counted as invalid. */
static int64_t
deliver (struct exchange *x, const GByteArray *data)
{
  int64_t before = met_get (MET_LOADS_INVALID);

  sendto (x->peer_fd, data->data, data->len, 0, (struct sockaddr *)&x->to,
          sizeof x->to);
  run_exchange (x, 20 * MS);
  return met_get (MET_LOADS_INVALID) - before;
}

/* Receives the next message of the VM; false if there is none. */
static bool
next_message (struct exchange *x, struct load_gossip *w)
{
  uint8_t buf[2048];
  ssize_t len = recv (x->peer_fd, buf, sizeof buf, MSG_DONTWAIT);

  if (len < 0)
    return false;
  g_assert_true (loadgossip_open (buf, (size_t)len, key, w));
  return true;
}

/* Messages without a seal, or replayed ones, must have no effect, and none is
   accepted or sent before the key is known. */
static void
test_exchange_accepts (void)
{
  struct load_gossip w = message ("peer", 1, 0, 2);
  g_autoptr (GByteArray) first = loadgossip_seal (&w, key);
  g_autoptr (GByteArray) plain = loadgossip_encode (&w);
  g_autoptr (GByteArray) second = NULL;
  struct load_table *loads;
  struct exchange x;

  loads = open_exchange (&x);
  own (x.observe, failed (1), loop_now_us ());
  loadgossip_observed (x.gossip, loop_now_us ());
  loadgossip_load_changed (x.gossip, loop_now_us ());
  g_assert_cmpint (deliver (&x, first), ==, 1);
  g_assert_cmpint (x.reports, ==, 0);
  g_assert_false (next_message (&x, &w));
  x.key = key;
  g_assert_cmpint (deliver (&x, plain), ==, 1);
  g_assert_cmpint (x.reports, ==, 0);
  g_assert_cmpint (deliver (&x, first), ==, 0);
  g_assert_cmpint (x.reports, ==, 2);
  g_assert_true (x.near);
  g_assert_cmpint (deliver (&x, first), ==, 0);
  g_assert_cmpint (x.reports, ==, 2);
  w = message ("peer", 2, 0, 3);
  g_strlcpy (w.domain, "d2", sizeof w.domain);
  second = loadgossip_seal (&w, key);
  g_assert_cmpint (deliver (&x, second), ==, 0);
  g_assert_cmpint (deliver (&x, first), ==, 0);
  g_assert_cmpint (x.reports, ==, 5);
  g_assert_false (x.near);
  close_exchange (&x, loads);
}

/* A failure must be with the other VMs within some ms, with its age, and a
   report must be sent only once. */
static void
test_exchange_sends (void)
{
  struct load_gossip w;
  struct load_table *loads;
  struct exchange x;
  int64_t begin;
  int reports = 0;

  loads = open_exchange (&x);
  x.key = key;
  loadgossip_load_changed (x.gossip, loop_now_us ());
  run_exchange (&x, 50 * MS);
  while (next_message (&x, &w))
    g_assert_cmpint (w.nreports, ==, 0);
  begin = loop_now_us ();
  own (x.observe, failed (7), begin);
  loadgossip_observed (x.gossip, begin);
  own (x.observe, answered (8, 3, 0), begin);
  loadgossip_observed (x.gossip, begin);
  run_exchange (&x, 100 * MS);
  while (next_message (&x, &w))
    {
      reports += w.nreports;
      if (w.nreports == 0)
        continue;
      g_assert_cmpint (w.nreports, ==, 2);
      g_assert_cmpuint (w.reports[0].endpoint, ==, 7);
      g_assert_cmpint (w.reports[0].seen, ==, LOAD_SEEN_UNREACHABLE);
      g_assert_cmpint (w.reports[0].age_us, >=, 4 * MS);
      g_assert_cmpint (w.reports[0].age_us, <=, loop_now_us () - begin);
      g_assert_cmpuint (w.reports[1].endpoint, ==, 8);
    }
  g_assert_cmpint (reports, ==, 2);
  close_exchange (&x, loads);
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
test_peer_load (void)
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

/* A fleet with one endpoint, of which another VM reported RUNNING requests. */
static struct fleet_endpoint *
add_reported (struct fleet *f, int running)
{
  struct fleet_endpoint *e;
  struct load_gossip w;

  fleet_init (f);
  e = add_endpoint (f, "a", 1);
  w = word (1, answered (e->key, running, 0), 0);
  observe_apply (f, &w, true, S);
  return e;
}

/* Failure "lost": without further messages, the effect of the last one ends.
 */
static void
test_lost (void)
{
  struct fleet f;
  struct fleet_endpoint *e = add_reported (&f, 12);

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
  g_assert_cmpint (e->peer_report.at_us, ==, 0);
  w = word (2, answered (e->key, 4, 0), 100 * MS);
  observe_apply (&f, &w, true, 3 * S);
  w = word (3, failed (e->key), 200 * MS);
  observe_apply (&f, &w, true, 3 * S);
  w = word (4, answered (e->key, 12, 0), 300 * MS);
  observe_apply (&f, &w, true, 3 * S);
  g_assert_cmpint (e->peer_report.running, ==, 4);
  g_assert_false (e->peer_report.is_failing);
  fleet_clear (&f);
}

/* Failure "cut off": a VM that receives nothing uses its own observations, as
   it does without reports. */
static void
test_cut_off (void)
{
  struct fleet f;
  struct fleet_endpoint *e = add_reported (&f, 12);

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
  g_assert_cmpint (a->peer_report.running, ==, 3);
  g_assert_cmpint (b->peer_report.at_us, ==, 0);
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
  g_assert_cmpint (e->peer_report.running, ==, 12);
  e = add_endpoint (&f, "a", 2);
  observe_apply (&f, &w, true, S);
  g_assert_cmpint (e->peer_report.at_us, ==, 0);
  g_assert_cmpint (e->peer_report.seen_us, ==, 0);
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
  g_assert_nonnull (p->probe);
  p->probe (p->probe_arg, RELAY_PROBE_SILENT, NULL);
  harness_free (p);
}

/* Reports of long queues must limit admission of a service whose requests are
   placed by prompt, also on a VM that gets no answer itself, and only that. */
static void
test_peer_pressure (void)
{
  struct harness *p = observed_harness (FLEET_STREAM);
  struct fleet_endpoint *e = harness_endpoint (p, "a");
  const struct relay_service *s
      = g_hash_table_lookup (p->relays->services, e->listing.service);
  int64_t i;

  e->listing.model[0] = '\0';
  for (i = 0; i < 20; i++)
    relays_add_pressure (p->relays, e, 4, 40, S + i * 50 * MS);
  g_assert_cmpint (s->admit.permille, ==, CQ_PERMILLE);
  g_strlcpy (e->listing.model, "m", sizeof e->listing.model);
  relays_add_pressure (p->relays, e, -1, 40, S);
  g_assert_cmpint (s->admit.answered_us, ==, 0);
  for (i = 0; i < 20; i++)
    relays_add_pressure (p->relays, e, 4, 40, S + i * 50 * MS);
  g_assert_cmpint (s->admit.permille, <, CQ_PERMILLE / 2);
  harness_answer (p, "data: x\n\n");
  harness_free (p);
}

/* --- shared pressure ------------------------------------------------- */

#define VMS 27
#define HOSTS 12
#define SLOTS 12
#define RECIPIENTS 24
#define NORMAL_PER_MS 0.27 /* three quarters of the capacity */
#define BURST_FACTOR 2.6
#define BURST_START_MS 2000
#define BURST_HALF_MS 5000
#define BURST_END_MS 8000
#define END_MS 30000
#define FIRST_CHUNK_MS 50
#define PATIENCE_MS 2000
#define TARGET_US (300 * MS)
#define TRANSIT_MS 2
#define RECOVERED_PERMILLE 900
#define SEEDS 5

/* A request at an endpoint. */
struct job
{
  int vm;           /* VM that sent it */
  int64_t sent_ms;  /* when it was sent */
  int64_t chunk_ms; /* when its first chunk arrives; 0 while it waits */
  int64_t end_ms;   /* when it ends */
  bool sampled;     /* its first chunk has arrived */
};

/* A message under way to all recipients of a VM. */
struct flying
{
  int vm;               /* its sender */
  int64_t due_ms;       /* when it arrives */
  struct load_gossip w; /* the message; only its reports are used */
};

/* What callers of the domain got. */
struct recovery
{
  int64_t queue_ms; /* from the end of the burst until no request waits; -1 if
                       some always do */
  int64_t mean_ms;  /* until the mean share recovered */
  int64_t worst_ms; /* until the share of each VM did */
  int burst_share;  /* mean share in the second half of the burst */
  int burst_timely; /* requests of these 3 s whose first chunk was in time */
  int after_timely; /* the same of the 5 s after the burst */
};

/* A domain of VMs and endpoints in overload. */
struct domain
{
  GRand *rand;               /* of arrivals and run times */
  bool is_shared;            /* VMs send each other reports */
  struct admit admit[VMS];   /* controller, by VM */
  struct observe *seen[VMS]; /* what it is to report, by VM */
  GArray *running[HOSTS];    /* struct job */
  GArray *waiting[HOSTS];    /* struct job, in order of arrival */
  GArray *flying;            /* struct flying */
  struct recovery got;       /* what callers got so far */
};

static void
send_request (struct domain *d, int vm, int64_t now_ms)
{
  struct job j = { .vm = vm, .sent_ms = now_ms };

  if (g_rand_int_range (d->rand, 0, CQ_PERMILLE)
      >= admit_permille (&d->admit[vm], now_ms * MS))
    return;
  g_array_append_val (d->waiting[g_rand_int_range (d->rand, 0, HOSTS)], j);
}

static void
first_chunk (struct domain *d, int host, struct job *j, int64_t now_ms)
{
  struct admit_sample a = { .target_us = TARGET_US };
  struct endpoint_report r = { .endpoint = (uint64_t)host + 1 };

  j->sampled = true;
  a.wait_us = (now_ms - j->sent_ms) * MS;
  r.running = a.running = (int)d->running[host]->len;
  r.waiting = a.waiting = (int)d->waiting[host]->len;
  admit_add_sample (&d->admit[j->vm], &a, now_ms * MS);
  if (d->is_shared)
    observe_own (d->seen[j->vm], &r, now_ms * MS);
  if (a.wait_us > TARGET_US)
    return;
  if (now_ms >= BURST_HALF_MS && now_ms < BURST_END_MS)
    d->got.burst_timely++;
  if (now_ms >= BURST_END_MS && now_ms < BURST_END_MS + 5000)
    d->got.after_timely++;
}

static void
run_host (struct domain *d, int host, int64_t now_ms)
{
  GArray *running = d->running[host], *waiting = d->waiting[host];
  struct job *j;
  guint i;

  for (i = 0; i < running->len;)
    {
      j = &g_array_index (running, struct job, i);
      if (!j->sampled && now_ms >= j->chunk_ms)
        first_chunk (d, host, j, now_ms);
      if (now_ms >= j->end_ms)
        g_array_remove_index_fast (running, i);
      else
        i++;
    }
  while (running->len < SLOTS && waiting->len > 0)
    {
      struct job next = g_array_index (waiting, struct job, 0);

      g_array_remove_index (waiting, 0);
      /* The caller has left. */
      if (now_ms - next.sent_ms > PATIENCE_MS)
        continue;
      next.chunk_ms = now_ms + FIRST_CHUNK_MS;
      next.end_ms = now_ms + g_rand_int_range (d->rand, 200, 600);
      g_array_append_val (running, next);
    }
}

static void
send_reports (struct domain *d, int vm, int64_t now_ms)
{
  struct flying f = { .vm = vm, .due_ms = now_ms + TRANSIT_MS };

  if (!d->is_shared || now_ms * MS < observe_due_us (d->seen[vm]))
    return;
  f.w.nreports = observe_collect (d->seen[vm], f.w.reports, LOAD_REPORTS_MAX,
                                  now_ms * MS);
  g_array_append_val (d->flying, f);
}

static void
deliver_reports (struct domain *d, int64_t now_ms)
{
  struct admit_sample a = { 0 };
  const struct flying *f;
  int i, k;

  while (d->flying->len > 0)
    {
      f = &g_array_index (d->flying, struct flying, 0);
      if (f->due_ms > now_ms)
        return;
      for (k = 1; k <= RECIPIENTS; k++)
        for (i = 0; i < f->w.nreports; i++)
          {
            a.running = f->w.reports[i].running;
            a.waiting = f->w.reports[i].waiting;
            admit_add_sample (&d->admit[(f->vm + k) % VMS], &a, now_ms * MS);
          }
      g_array_remove_index (d->flying, 0);
    }
}

static void
run_ms (struct domain *d, int64_t now_ms)
{
  bool is_burst = now_ms >= BURST_START_MS && now_ms < BURST_END_MS;
  double rate = NORMAL_PER_MS * (is_burst ? BURST_FACTOR : 1);
  int i;

  if (g_rand_double (d->rand) < rate)
    send_request (d, g_rand_int_range (d->rand, 0, VMS), now_ms);
  for (i = 0; i < HOSTS; i++)
    run_host (d, i, now_ms);
  for (i = 0; i < VMS; i++)
    send_reports (d, i, now_ms);
  deliver_reports (d, now_ms);
}

/* Whether fewer requests wait than there are endpoints. */
static bool
is_queue_gone (const struct domain *d)
{
  guint sum = 0;
  int i;

  for (i = 0; i < HOSTS; i++)
    sum += d->waiting[i]->len;
  return sum < HOSTS;
}

/* Returns the mean share of all VMs; the least of them in WORST. */
static int
mean_permille (const struct domain *d, int *worst, int64_t now_ms)
{
  int i, share, sum = 0;

  *worst = CQ_PERMILLE;
  for (i = 0; i < VMS; i++)
    {
      share = admit_permille (&d->admit[i], now_ms * MS);
      *worst = MIN (*worst, share);
      sum += share;
    }
  return sum / VMS;
}

static void
init_domain (struct domain *d, guint32 seed, bool is_shared)
{
  int i;

  d->rand = g_rand_new_with_seed (seed);
  d->is_shared = is_shared;
  d->flying = g_array_new (FALSE, FALSE, sizeof (struct flying));
  for (i = 0; i < VMS; i++)
    {
      admit_init (&d->admit[i]);
      d->seen[i] = observe_new ();
    }
  for (i = 0; i < HOSTS; i++)
    {
      d->running[i] = g_array_new (FALSE, FALSE, sizeof (struct job));
      d->waiting[i] = g_array_new (FALSE, FALSE, sizeof (struct job));
    }
}

static void
clear_domain (struct domain *d)
{
  int i;

  for (i = 0; i < VMS; i++)
    observe_free (d->seen[i]);
  for (i = 0; i < HOSTS; i++)
    {
      g_array_unref (d->running[i]);
      g_array_unref (d->waiting[i]);
    }
  g_array_unref (d->flying);
  g_rand_free (d->rand);
}

/* Sets *AT_MS to the time since the burst if HOLDS for the first time. */
static void
note_first (int64_t *at_ms, bool holds, int64_t now_ms)
{
  if (*at_ms < 0 && holds)
    *at_ms = now_ms - BURST_END_MS;
}

static struct recovery
play_burst (guint32 seed, bool is_shared)
{
  struct domain d = { .got = { -1, -1, -1, 0, 0, 0 } };
  int64_t now, share_sum = 0;
  int mean, worst;

  init_domain (&d, seed, is_shared);
  for (now = 1; now < END_MS; now++)
    {
      run_ms (&d, now);
      mean = mean_permille (&d, &worst, now);
      if (now >= BURST_HALF_MS && now < BURST_END_MS)
        share_sum += mean;
      if (now < BURST_END_MS)
        continue;
      note_first (&d.got.queue_ms, is_queue_gone (&d), now);
      note_first (&d.got.mean_ms, mean >= RECOVERED_PERMILLE, now);
      note_first (&d.got.worst_ms, worst >= RECOVERED_PERMILLE, now);
    }
  d.got.burst_share = (int)(share_sum / (BURST_END_MS - BURST_HALF_MS));
  clear_domain (&d);
  return d.got;
}

/*
 * After a burst of 2.6 times the usual demand, 27 VMs with ten answers a
 * second each admit their whole demand again.  If each VM follows only its own
 * answers, it gets fewer of them the less it admits, and the domain refuses
 * requests for seconds while its endpoints are idle.
 */
static void
test_shared_pressure (void)
{
  static const char *const names[] = { "alone", "shared" };
  struct recovery got[2];
  int timely[2] = { 0 };
  guint32 seed;
  int i;

  for (seed = 1; seed <= SEEDS; seed++)
    {
      for (i = 0; i < 2; i++)
        {
          got[i] = play_burst (seed, i == 1);
          timely[i] += got[i].burst_timely + got[i].after_timely;
          g_test_message ("seed %u, %s: ms after the burst until queues gone "
                          "%d, mean share 0.9 %d, of each VM %d; in the burst "
                          "share %d, %d in time; 5 s after it %d in time",
                          seed, names[i], (int)got[i].queue_ms,
                          (int)got[i].mean_ms, (int)got[i].worst_ms,
                          got[i].burst_share, got[i].burst_timely,
                          got[i].after_timely);
        }
      g_assert_cmpint (got[1].mean_ms, >=, 0);
      g_assert_cmpint (got[1].mean_ms * 2, <, got[0].mean_ms);
      g_assert_cmpint (got[1].worst_ms, <=, got[1].queue_ms + 2000);
    }
  g_test_message ("in time, all seeds: %d alone, %d shared", timely[0],
                  timely[1]);
  g_assert_cmpint (timely[1], >, timely[0]);
}

const struct unit observe_units[] = {
  { "/observe/shared-pressure", test_shared_pressure },
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
  { "/observe/exchange-accepts", test_exchange_accepts },
  { "/observe/exchange-sends", test_exchange_sends },
  { "/observe/peer-load", test_peer_load },
  { "/observe/lost", test_lost },
  { "/observe/stale", test_stale },
  { "/observe/cut-off", test_cut_off },
  { "/observe/unknown-key", test_unknown_key },
  { "/observe/earlier-incarnation", test_earlier_incarnation },
  { "/observe/own-failure", test_own_failure },
  { "/observe/not-the-endpoint", test_not_the_endpoint },
  { "/observe/failures", test_failures },
  { "/observe/peer-pressure", test_peer_pressure },
  { NULL, NULL },
};
