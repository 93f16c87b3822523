/* Unit tests of quarantine: the evidence, its sharing, and the verdicts. */
#include <glib.h>
#include <string.h>

#include "quarfeed.h"
#include "relaycrash.h"
#include "units.h"

#define QUARANTINE_MS 60000
#define ENDPOINTS 9

static struct reqid
request_id (unsigned n)
{
  struct reqid id = { { 0 } };

  memcpy (id.bytes, &n, sizeof n);
  return id;
}

static bool
report_crash (struct quar *q, unsigned request, uint64_t endpoint,
              int64_t at_ms, int64_t ran_ms)
{
  struct quar_fact f = { .id = request_id (request) };

  f.crash = (struct quar_crash){ endpoint, at_ms, ran_ms };
  return quar_add_fact (q, &f, true);
}

static bool
report_completion (struct quar *q, unsigned request, int64_t at_ms)
{
  struct quar_fact f = { .id = request_id (request), .completed = true };

  f.crash.at_ms = at_ms;
  return quar_add_fact (q, &f, true);
}

static bool
is_quarantined (const struct quar *q, unsigned request, int64_t now_ms)
{
  struct reqid id = request_id (request);

  return quar_evaluate (q, &id, ENDPOINTS, now_ms).is_quarantined;
}

/* --- verdict --------------------------------------------------------- */

/*
 * Guards against a request that is retried and crashes every endpoint that
 * starts it, so that the answers of all callers break.  It is quarantined
 * after the third crash, and the requests that ran beside it are not.
 */
static void
test_third_crash_quarantines (void)
{
  struct quar *q = quar_new (QUARANTINE_MS);

  report_crash (q, 1, 11, 1000, 90);
  report_crash (q, 2, 11, 1000, 900);
  report_crash (q, 1, 12, 2000, 120);
  g_assert_false (is_quarantined (q, 1, 2000));
  report_crash (q, 1, 13, 3000, 60);
  report_crash (q, 3, 13, 3000, 2000);
  g_assert_true (is_quarantined (q, 1, 3000));
  g_assert_false (is_quarantined (q, 2, 3000));
  g_assert_false (is_quarantined (q, 3, 3000));
  quar_free (q);
}

/* A crash that is reported by several VMs, or twice, counts once. */
static void
test_crash_counts_once (void)
{
  struct quar *q = quar_new (QUARANTINE_MS);
  int64_t i;

  for (i = 0; i < 5; i++)
    report_crash (q, 1, 11, 1000 + 300 * i, 150);
  g_assert_false (is_quarantined (q, 1, 3000));
  g_assert_false (report_crash (q, 1, 11, 9000, 900));
  quar_free (q);
}

/*
 * A failure domain loses power, and all its endpoints crash at the same time
 * while they run a request that many callers make.  These crashes are no
 * evidence against the request.
 */
static void
test_power_loss_counts_once (void)
{
  struct quar *q = quar_new (QUARANTINE_MS);
  int64_t i, k;

  for (k = 0; k < 2; k++)
    for (i = 0; i < 4; i++)
      report_crash (q, 1, (uint64_t)(10 * k + i), 5000 * (k + 1) + 20 * i, 50);
  g_assert_false (is_quarantined (q, 1, 10100));
  quar_free (q);
}

/* Guards against counting crashes as one incident when a request is retried at
   once and so crashes all four endpoints of a service within 250 ms. */
static void
test_retried_at_once (void)
{
  struct quar *q = quar_new (QUARANTINE_MS);

  report_crash (q, 1, 11, 17000, 84);
  report_crash (q, 1, 12, 17066, 65);
  report_crash (q, 1, 13, 17190, 52);
  report_crash (q, 1, 14, 17241, 51);
  g_assert_true (is_quarantined (q, 1, 21000));
  quar_free (q);
}

/* An endpoint that completes a request survives it, so the crashes before had
   another cause. */
static void
test_completion_clears (void)
{
  struct quar *q = quar_new (QUARANTINE_MS);

  report_crash (q, 1, 11, 1000, 150);
  report_crash (q, 1, 12, 2000, 150);
  g_assert_true (report_completion (q, 1, 2500));
  report_crash (q, 1, 13, 3000, 100);
  g_assert_false (is_quarantined (q, 1, 3000));
  g_assert_false (report_crash (q, 1, 14, 2400, 150));
  report_crash (q, 1, 15, 4000, 100);
  report_crash (q, 1, 16, 5000, 100);
  g_assert_true (is_quarantined (q, 1, 5000));
  quar_free (q);
}

/*
 * A caller retries each time its long answer breaks, and three times it shares
 * an endpoint with the request that causes the crashes.  The fourth crash,
 * without that caller, distinguishes the two requests.
 */
static void
test_bystander (void)
{
  struct quar *q = quar_new (QUARANTINE_MS);
  int64_t i;

  for (i = 0; i < 4; i++)
    report_crash (q, 1, (uint64_t)i, 1000 * (i + 1), 150);
  for (i = 0; i < 3; i++)
    report_crash (q, 2, (uint64_t)i, 1000 * (i + 1), 60);
  g_assert_true (is_quarantined (q, 1, 4000));
  g_assert_false (is_quarantined (q, 2, 4000));
  quar_free (q);
}

/* Two harmful requests at the same time are both found after the sixth crash
   at the latest, although each makes the crashes of the other look less
   unusual. */
static void
test_two_harmful (void)
{
  struct quar *q = quar_new (QUARANTINE_MS);
  int64_t i;

  for (i = 0; i < 6; i++)
    {
      report_crash (q, 1, (uint64_t)i, 1000 * (i + 1), 150);
      report_crash (q, 2, (uint64_t)(100 + i), 1000 * i + 1500, 150);
    }
  g_assert_true (is_quarantined (q, 1, 6500));
  g_assert_true (is_quarantined (q, 2, 6500));
  quar_free (q);
}

/*
 * A release replaces endpoints one after the other without notice, two per
 * second, and the answer of one caller breaks three times.  Other callers'
 * answers break, too, so the request is not quarantined.
 */
static void
test_endpoints_replaced (void)
{
  struct quar *q = quar_new (QUARANTINE_MS);
  int64_t i;

  for (i = 0; i < 12; i++)
    report_crash (q, 100 + (unsigned)i, (uint64_t)i, 500 * i, 800);
  for (i = 0; i < 3; i++)
    report_crash (q, 1, (uint64_t)(3 * i), 1500 * i, 900);
  g_assert_false (is_quarantined (q, 1, 6000));
  quar_free (q);
}

/* A quarantine expires; one more crash starts a longer one at once. */
static void
test_quarantine_grows (void)
{
  struct quar *q = quar_new (QUARANTINE_MS);
  int64_t i;

  for (i = 0; i < 3; i++)
    report_crash (q, 1, (uint64_t)i, 1000 * (i + 1), 100);
  g_assert_true (is_quarantined (q, 1, 3000 + QUARANTINE_MS - 1));
  g_assert_false (is_quarantined (q, 1, 3000 + QUARANTINE_MS));
  report_crash (q, 1, 9, 100000, 150);
  g_assert_true (is_quarantined (q, 1, 100000 + 10 * QUARANTINE_MS - 1));
  g_assert_false (is_quarantined (q, 1, 100000 + 10 * QUARANTINE_MS));
  quar_free (q);
}

static void
test_disabled (void)
{
  struct quar *q = quar_new (0);
  int64_t i;

  for (i = 0; i < 5; i++)
    report_crash (q, 1, (uint64_t)i, 1000 * (i + 1), 150);
  g_assert_false (is_quarantined (q, 1, 4000));
  quar_free (q);
}

/* --- bounds ---------------------------------------------------------- */

/* Many requests with one crash each take no more memory than the limit, and do
   not evict a request with three crashes. */
static void
test_bounded (void)
{
  struct quar *q = quar_new (QUARANTINE_MS);
  g_autoptr (GArray) facts
      = g_array_new (FALSE, FALSE, sizeof (struct quar_fact));
  unsigned i;

  for (i = 0; i < 3; i++)
    report_crash (q, 1, i, INT64_C (1000) * (i + 1), 150);
  for (i = 0; i < 20000; i++)
    report_crash (q, 100 + i, 1000 + i, 2000 + (int)i, 150);
  quar_own_facts (q, facts, G_MAXUINT);
  g_assert_cmpuint (facts->len, <=, QUAR_REQUESTS_MAX + 2);
  g_assert_true (quar_has_crashes (q, &(struct reqid){ { 1 } }));
  /* The most important facts come first. */
  g_assert_cmpint (g_array_index (facts, struct quar_fact, 0).id.bytes[0], ==,
                   1);
  quar_expire (q, 2000 + 20000 + 86400000);
  g_assert_false (quar_has_records (q));
  quar_free (q);
}

/* --- VMs ------------------------------------------------------------- */

#define VMS 4
#define FACTS 300

static struct quar_fact
random_fact (GRand *rand, int i)
{
  struct quar_fact f
      = { .id = request_id ((unsigned)g_rand_int_range (rand, 0, 20)) };

  f.completed = g_rand_int_range (rand, 0, 30) == 0;
  f.crash.at_ms = i * 100 + g_rand_int_range (rand, 0, 50);
  f.crash.endpoint
      = f.completed ? 0 : (uint64_t)g_rand_int_range (rand, 0, 60);
  f.crash.ran_ms = f.completed ? 0 : g_rand_int_range (rand, 10, 1000);
  return f;
}

static int64_t
checksum (const struct quar *q)
{
  g_autoptr (GArray) facts
      = g_array_new (FALSE, FALSE, sizeof (struct quar_fact));
  int64_t sum = 0;
  guint i;

  quar_worst_facts (q, facts, G_MAXUINT);
  for (i = 0; i < facts->len; i++)
    {
      const struct quar_fact *f = &g_array_index (facts, struct quar_fact, i);

      sum += (int64_t)f->crash.endpoint * f->crash.at_ms + f->crash.ran_ms;
    }
  return sum;
}

/*
 * VMs receive the same facts in different orders, some of them twice.  All
 * reach the same verdict on every request.
 */
static void
test_facts_in_any_order (void)
{
  GRand *rand = g_rand_new_with_seed (7);
  struct quar_fact facts[FACTS];
  struct quar *q[VMS];
  int i, v, round;

  for (round = 0; round < 50; round++)
    {
      for (i = 0; i < FACTS; i++)
        facts[i] = random_fact (rand, i % 40);
      for (v = 0; v < VMS; v++)
        {
          q[v] = quar_new (QUARANTINE_MS);
          for (i = 0; i < 12; i++)
            quar_add_fact (q[v], &facts[(i * (2 * v + 1) + v) % 12], v == 0);
          for (i = 0; i < 12; i++)
            quar_add_fact (q[v], &facts[i], false);
        }
      for (v = 1; v < VMS; v++)
        g_assert_cmpint (checksum (q[v]), ==, checksum (q[0]));
      for (i = 0; i < 20; i++)
        for (v = 1; v < VMS; v++)
          g_assert_true (is_quarantined (q[v], (unsigned)i, 5000)
                         == is_quarantined (q[0], (unsigned)i, 5000));
      for (v = 0; v < VMS; v++)
        quar_free (q[v]);
    }
  g_rand_free (rand);
}

/* --- crashes that this VM observes ----------------------------------- */

/* A pending probe that the test completes. */
struct fake_probe
{
  relay_probe_done done; /* called with the result */
  void *arg;             /* passed to it */
};

static void
start_probe (void *ctx, const struct fleet_endpoint *e, relay_probe_done done,
             void *arg)
{
  struct fake_probe *p = ctx;

  (void)e;
  p->done = done;
  p->arg = arg;
}

static int64_t
clock_ms (void *arg, int64_t now_us)
{
  (void)arg;
  return now_us / 1000;
}

static void
on_evidence (void *arg, int64_t now_us)
{
  (void)arg;
  (void)now_us;
}

/*
 * Forty answers of one VM break when an endpoint crashes.  The request that
 * crashed it started last and is reported last, and still is among the sixteen
 * that are kept as evidence.
 */
static void
test_shortest_run_kept (void)
{
  struct fleet_endpoint e = { .refs = 1, .key = 5 };
  struct quar *q = quar_new (QUARANTINE_MS);
  g_autoptr (GArray) facts
      = g_array_new (FALSE, FALSE, sizeof (struct quar_fact));
  struct fake_probe probe = { NULL, NULL };
  struct relay_engine engine = { .probe = start_probe, .ctx = &probe };
  struct relaycrash_opts o = { .loop = loop_new (), .engine = &engine };
  struct relaycrash *c;
  struct quar_subject subject = { .nparts = 0 };
  unsigned i;

  o.quar = q;
  o.clock_ms = clock_ms;
  o.on_evidence = on_evidence;
  c = relaycrash_new (&o);
  for (i = 1; i <= 40; i++)
    {
      subject.request = request_id (i);
      relaycrash_report (c, &e, &subject,
                         (i == 40 ? 50 : 500 + i) * INT64_C (1000),
                         loop_now_us ());
    }
  probe.done (probe.arg, RELAY_PROBE_CRASHED, NULL);
  quar_own_facts (q, facts, G_MAXUINT);
  g_assert_cmpuint (facts->len, ==, 16);
  g_assert_true (quar_has_crashes (q, &subject.request));
  relaycrash_free (c);
  loop_free (o.loop);
  quar_free (q);
}

/* --- rows of replaced VMs -------------------------------------------- */

/* A fake table of evidence. */
struct fake_table
{
  rowstore_done done; /* callback of the read under way */
  void *arg;          /* passed to it */
  int reads;          /* reads so far */
  char *removed;      /* name of the row that was removed, or NULL */
  struct loop *loop;  /* stopped by the next read */
  int64_t clock_ms;   /* platform's clock, 0 while it is not known */
};

static void
table_read (void *ctx, rowstore_done done, void *arg)
{
  struct fake_table *t = ctx;

  t->done = done;
  t->arg = arg;
  if (t->reads++ > 0)
    loop_stop (t->loop);
}

static void
table_changes (void *ctx, int64_t version, int64_t wait_us, rowstore_done done,
               void *arg)
{
  struct fake_table *t = ctx;

  (void)version;
  (void)wait_us;
  (void)done;
  (void)arg;
  loop_stop (t->loop);
}

static void
table_write (void *ctx, const char *key, const GByteArray *value,
             int64_t expected, rowstore_done done, void *arg)
{
  struct fake_table *t = ctx;

  (void)done;
  (void)arg;
  if (value != NULL)
    return;
  g_assert_cmpint (expected, ==, 7);
  t->removed = g_strdup (key);
}

static int64_t
table_clock (void *arg, int64_t now_us)
{
  struct fake_table *t = arg;

  (void)now_us;
  return t->clock_ms;
}

/* The table holds the row of a VM that was replaced long ago. */
static void
complete_read (struct fake_table *t)
{
  struct rowstore_reply rows = { .status = ROWSTORE_OK, .version = 9 };
  g_autoptr (GArray) facts
      = g_array_new (FALSE, FALSE, sizeof (struct quar_fact));
  struct quar_fact f = { .id = request_id (1) };
  struct rowstore_row row = { .key = (char *)"vm/gone", .version = 7 };

  f.crash = (struct quar_crash){ 5, 1000, 100 };
  g_array_append_val (facts, f);
  row.value = quarwire_encode (facts, 1);
  rows.rows = g_array_new (FALSE, FALSE, sizeof row);
  g_array_append_val (rows.rows, row);
  t->done (t->arg, &rows);
  g_array_unref (rows.rows);
  g_byte_array_unref (row.value);
}

/*
 * Two thousand VMs are replaced per day, and each leaves a row.  A VM that
 * starts removes a row whose facts have all expired.  At its first read it
 * does not know the platform's clock yet and cannot recognize such a row, so
 * it has to read again.
 */
static void
test_expired_rows_removed (void)
{
  struct fake_table t = { .loop = loop_new () };
  struct quarfeed_opts o = { .loop = t.loop, .vm = "a", .seed = 1 };
  struct quar *q = quar_new (QUARANTINE_MS);
  struct quarfeed *f;

  o.quar = q;
  o.ops = (struct rowstore_ops){ table_read, table_changes, table_write, &t };
  o.clock_ms = table_clock;
  o.arg = &t;
  f = quarfeed_new (&o);
  quarfeed_start (f, loop_now_us ());
  complete_read (&t);
  g_assert_null (t.removed);
  t.clock_ms = INT64_C (1000000000);
  loop_run (t.loop);
  g_assert_cmpint (t.reads, ==, 2);
  complete_read (&t);
  g_assert_cmpstr (t.removed, ==, "vm/gone");
  quarfeed_stop (f);
  quarfeed_free (f);
  quar_free (q);
  loop_free (t.loop);
  g_free (t.removed);
}

/* --- the digest ------------------------------------------------------ */

/* The attempt id does not change the digest of a request; another workspace,
   path or body does, also if a byte moves from one of them to the next. */
static void
test_digest (void)
{
  struct relay_desc d = { .id = "1", .method = "POST", .host = "h" };
  struct reqid a, b;

  d.target = "/x";
  d.body = "abc";
  d.body_len = 3;
  reqid_of (&d, "ws", &a);
  d.id = "2";
  reqid_of (&d, "ws", &b);
  g_assert_cmpmem (&a, sizeof a, &b, sizeof b);
  reqid_of (&d, "other", &b);
  g_assert_cmpint (memcmp (&a, &b, sizeof a), !=, 0);
  d.target = "/xa";
  d.body = "bc";
  d.body_len = 2;
  reqid_of (&d, "ws", &b);
  g_assert_cmpint (memcmp (&a, &b, sizeof a), !=, 0);
}

/* --- simulated series of crashes ------------------------------------- */

#define SIMULATION_START_MS 1000
#define SIMULATION_MS 30000
#define RUNNING 60 /* concurrent requests */
#define RUNS_MAX 4 /* of one request, as callers and VMs retry it */

/* A request that runs at an endpoint. */
struct run
{
  unsigned request; /* number of the request */
  int endpoint;     /* index of the endpoint */
  int64_t since_ms; /* start of the run */
  int64_t end_ms;   /* completed at this time */
  int runs;         /* runs so far */
};

/* State of a simulation. */
struct simulation
{
  GRand *rand;                /* random numbers */
  struct quar *q;             /* under test */
  struct run runs[RUNNING];   /* requests under way */
  uint64_t key[ENDPOINTS];    /* key of each endpoint's incarnation */
  int64_t back_ms[ENDPOINTS]; /* each endpoint is down until then */
  unsigned next;              /* number of the next request */
  uint64_t keys;              /* number of incarnations so far */
  int innocents_refused;      /* harmless requests refused */
};

static void
place_run (struct simulation *s, struct run *r, int64_t now_ms)
{
  int tries = 0;

  do
    r->endpoint = g_rand_int_range (s->rand, 0, ENDPOINTS);
  while (s->back_ms[r->endpoint] > now_ms && ++tries < ENDPOINTS * 4);
  r->since_ms = now_ms;
  r->end_ms = now_ms + g_rand_int_range (s->rand, 30, 2500);
}

static void
begin_run (struct simulation *s, struct run *r, int64_t now_ms)
{
  r->request = s->next++;
  r->runs = 1;
  place_run (s, r, now_ms);
}

/* Crash an endpoint: all its requests break, and most callers retry. */
static void
crash_endpoint (struct simulation *s, int endpoint, int64_t now_ms)
{
  int i;

  if (s->back_ms[endpoint] > now_ms)
    return;
  s->back_ms[endpoint] = now_ms + g_rand_int_range (s->rand, 500, 4000);
  for (i = 0; i < RUNNING; i++)
    if (s->runs[i].endpoint == endpoint)
      {
        struct run *r = &s->runs[i];

        report_crash (s->q, r->request, s->key[endpoint], now_ms,
                      now_ms - r->since_ms);
        if (r->runs++ == RUNS_MAX)
          begin_run (s, r, now_ms);
        else if (is_quarantined (s->q, r->request, now_ms))
          s->innocents_refused++;
        else
          place_run (s, r, now_ms);
      }
  s->key[endpoint] = ++s->keys;
}

static void
complete_due_runs (struct simulation *s, int64_t now_ms)
{
  int i;

  for (i = 0; i < RUNNING; i++)
    if (s->runs[i].end_ms <= now_ms)
      {
        report_completion (s->q, s->runs[i].request, now_ms);
        begin_run (s, &s->runs[i], now_ms);
      }
}

/* Run a simulation.  If IS_HARMFUL, a request that crashes its endpoint
   arrives about every second.  Endpoints crash by other causes every EVERY_MS
   on average, 0 for never.  Returns the number of crashes that the request
   caused. */
static int
simulate (unsigned seed, bool is_harmful, int every_ms, int *innocents_refused)
{
  struct simulation s = { .q = quar_new (QUARANTINE_MS), .next = 1000 };
  int64_t now, due = 0, ran;
  int at, crashes = 0;
  int i;

  s.rand = g_rand_new_with_seed (seed);
  for (i = 0; i < ENDPOINTS; i++)
    s.key[i] = ++s.keys;
  for (i = 0; i < RUNNING; i++)
    begin_run (&s, &s.runs[i], SIMULATION_START_MS);
  for (now = SIMULATION_START_MS; now < SIMULATION_START_MS + SIMULATION_MS;
       now += 10)
    {
      complete_due_runs (&s, now);
      if (every_ms > 0 && g_rand_int_range (s.rand, 0, every_ms) < 10)
        crash_endpoint (&s, g_rand_int_range (s.rand, 0, ENDPOINTS), now);
      if (!is_harmful || now < due || is_quarantined (s.q, 1, now))
        continue;
      due = now + g_rand_int_range (s.rand, 300, 2000);
      at = g_rand_int_range (s.rand, 0, ENDPOINTS);
      if (s.back_ms[at] > now)
        continue;
      ran = g_rand_int_range (s.rand, 50, 400);
      report_crash (s.q, 1, s.key[at], now, ran);
      crash_endpoint (&s, at, now);
      crashes++;
    }
  *innocents_refused += s.innocents_refused;
  g_rand_free (s.rand);
  quar_free (s.q);
  return crashes;
}

/*
 * Simulations of thirty seconds with nine endpoints and sixty concurrent
 * requests, whose callers retry up to three times.  The request that crashes
 * endpoints is quarantined after six crashes at most, also if endpoints crash
 * by other causes, and no other request ever is.
 */
static void
test_simulations (void)
{
  static const int every_ms[] = { 0, 3000, 1000, 500 };
  int held = 0, most = 0;
  unsigned seed;
  size_t k;

  for (seed = 1001; seed <= 1008; seed++)
    for (k = 0; k < G_N_ELEMENTS (every_ms); k++)
      {
        most = MAX (most, simulate (seed, true, every_ms[k], &held));
        simulate (seed, false, every_ms[k], &held);
      }
  g_test_message ("most crashes %d, others quarantined %d", most, held);
  g_assert_cmpint (most, <=, 6);
  g_assert_cmpint (held, ==, 0);
}

const struct unit quar_units[] = {
  { "/quar/third-crash-quarantines", test_third_crash_quarantines },
  { "/quar/crash-counts-once", test_crash_counts_once },
  { "/quar/power-loss-counts-once", test_power_loss_counts_once },
  { "/quar/retried-at-once", test_retried_at_once },
  { "/quar/completion-clears", test_completion_clears },
  { "/quar/bystander", test_bystander },
  { "/quar/two-harmful", test_two_harmful },
  { "/quar/endpoints-replaced", test_endpoints_replaced },
  { "/quar/quarantine-grows", test_quarantine_grows },
  { "/quar/disabled", test_disabled },
  { "/quar/bounded", test_bounded },
  { "/quar/facts-in-any-order", test_facts_in_any_order },
  { "/quar/shortest-run-kept", test_shortest_run_kept },
  { "/quar/expired-rows-removed", test_expired_rows_removed },
  { "/quar/digest", test_digest },
  { "/quar/simulations", test_simulations },
  { NULL, NULL },
};
