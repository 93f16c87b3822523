/*
 * Unit tests of the choice among endpoints of a service without prompts.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "decide.h"
#include "fleet.h"
#include "relayharness.h"
#include "spread.h"
#include "units.h"

#define S CQ_US_PER_S
#define MS CQ_US_PER_MS

/* --- rules ------------------------------------------------------------ */

#define DRAWS 30000

/* Draws among the endpoints of LOADS; counts how often each was selected. */
static void
draw (struct spread_load *loads, int n, int *counts)
{
  struct spread s;
  int i, k;

  memset (counts, 0, (size_t)n * sizeof *counts);
  for (i = 0; i < DRAWS; i++)
    {
      spread_init (&s, (uint64_t)i);
      for (k = 0; k < n; k++)
        spread_add (&s, &loads[k], &loads[k]);
      counts[(struct spread_load *)spread_choice (&s) - loads]++;
    }
}

/* Guards against VMs that all select the same endpoint after a report: the
   share of each is its part of the free capacity. */
static void
test_spread_weights (void)
{
  struct spread_load loads[]
      = { { 0, 6, 100, false }, { 3, 6, 100, false }, { 0, 6, 200, false } };
  int counts[3];

  draw (loads, 3, counts);
  g_assert_cmpint (ABS (counts[0] - DRAWS / 2), <, DRAWS / 50);
  g_assert_cmpint (ABS (counts[1] - DRAWS / 4), <, DRAWS / 50);
  g_assert_cmpint (ABS (counts[2] - DRAWS / 4), <, DRAWS / 50);
}

/* Guards against requests that wait at a full endpoint while another one has
   a free slot, whatever their order, speed or domain. */
static void
test_spread_full (void)
{
  struct spread_load loads[]
      = { { 6, 6, 10, true }, { 5, 6, 1000, false }, { 9, 6, 10, true } };
  int counts[3];

  draw (loads, 3, counts);
  g_assert_cmpint (counts[1], ==, DRAWS);
  loads[1].requests = 6;
  draw (loads, 3, counts);
  g_assert_cmpint (counts[1], <, DRAWS / 50);
  loads[0] = (struct spread_load){ 12, 6, 100, false };
  loads[1] = (struct spread_load){ 6, 6, 100, false };
  loads[2] = (struct spread_load){ 12, 6, 100, false };
  draw (loads, 3, counts);
  g_assert_cmpint (ABS (counts[1] - DRAWS / 2), <, DRAWS / 50);
}

/* Guards against requests that cross failure domains for nothing, and against
   an endpoint that gets all requests of its domain while others are idle. */
static void
test_spread_own_domain (void)
{
  struct spread_load loads[]
      = { { 2, 6, 100, false }, { 2, 6, 100, true }, { 2, 6, 100, false } };
  int counts[3];

  draw (loads, 3, counts);
  g_assert_cmpint (counts[1], ==, DRAWS);
  loads[1].requests = 5;
  draw (loads, 3, counts);
  g_assert_cmpint (counts[1], <, DRAWS / 5);
}

/* Guards against VMs of one domain that all select the least loaded endpoint
   there. */
static void
test_spread_no_herd (void)
{
  struct spread_load loads[9];
  int counts[9], i;

  for (i = 0; i < 9; i++)
    loads[i] = (struct spread_load){ 3, 6, 100, i < 3 };
  loads[0].requests = 2;
  draw (loads, 9, counts);
  for (i = 0; i < 3; i++)
    {
      g_assert_cmpint (counts[i], >, DRAWS / 4);
      g_assert_cmpint (counts[i], <, DRAWS / 2);
    }
}

/* Guards against a division by zero for endpoints without slots or load, and
   against a choice where none is left. */
static void
test_spread_limits (void)
{
  struct spread_load loads[]
      = { { 0, 0, 100, true }, { G_MAXINT, 1, 10000, false } };
  struct spread s;

  spread_init (&s, 1);
  g_assert_null (spread_choice (&s));
  spread_add (&s, &loads[0], &loads[0]);
  spread_add (&s, &loads[1], &loads[1]);
  g_assert_true (spread_choice (&s) == &loads[0]);
}

/* Guards against a rule that is used with the setting off, or not used with it
   on: endpoint a has free slots, and b, which is full, fewer requests. */
static void
test_spread_setting (void)
{
  int64_t now = loop_now_us ();
  struct harness *p;
  int on;

  for (on = 0; on < 2; on++)
    {
      p = harness_new (FLEET_IDEMPOTENT);
      p->relays->opts.share_reports = on;
      harness_endpoint (p, "a")->listing.slots = 12;
      harness_endpoint (p, "b")->listing.slots = 6;
      pick_load_reported (harness_endpoint (p, "a"), 8, now);
      pick_load_reported (harness_endpoint (p, "b"), 6, now);
      harness_start (p);
      g_assert_cmpstr (p->to[0], ==, on ? "a" : "b");
      harness_answer (p, "ok");
      harness_free (p);
    }
}

/* --- answers in time, in simulated time -------------------------------- */

#define VMS 63
#define DOMAINS 3
#define ENDPOINTS 3
#define SLOTS 6
#define SIMULATED (60 * S)
#define TICK (500)
#define RUNS 5               /* with different seeds */
#define ARRIVALS_PER_S 480.0 /* 80 percent of 18 slots */
#define SERVICE (30 * MS)
#define REMOTE_DELAY (3 * MS)
#define HEARD_DELAY (10 * MS)
#define TARGET (150 * MS)
#define NEARLY_FULL 5

/* Reports that VMs get. */
enum reports
{
  REPORTS_HEARD,    /* of their own answers, and of those in the domain */
  REPORTS_OWN,      /* of their own answers */
  REPORTS_NO_SPEED, /* as REPORTS_HEARD, without speeds */
  REPORTS_STUCK     /* as REPORTS_HEARD; the last endpoint always has 250 */
};

struct request
{
  int vm;
  int64_t sent_us;
  int64_t work_us; /* left, at normal speed */
};

/* A report on its way to the VMs of a domain. */
struct delivery
{
  int64_t at_us;
  int domain;
  int endpoint;
  int load;
  int percent;
};

/* VMs that each know their own answers, and what they hear; endpoints that
   run SLOTS requests at a time, in order.  The first one slows down by 1.6
   when it is nearly full. */
struct world
{
  bool by_reports;
  enum reports reports;
  GRand *random;
  struct fleet fleets[VMS];
  struct fleet_endpoint *endpoints[VMS][ENDPOINTS];
  GArray *requests[ENDPOINTS]; /* struct request, the first ones run */
  GQueue deliveries;
  int count;
  int in_time;
};

static void
add_endpoints (struct fleet *f)
{
  struct fleet_listing l = { .version = 1, .slots = SLOTS };
  int i;

  fleet_init (f);
  for (i = 0; i < ENDPOINTS; i++)
    {
      g_snprintf (l.id, sizeof l.id, "e%d", i);
      g_strlcpy (l.service, "plain", sizeof l.service);
      g_snprintf (l.domain, sizeof l.domain, "d%d", i % DOMAINS);
      fleet_apply_listing (f, &l, S);
    }
}

static int
true_speed (const struct world *w, int i)
{
  return i == 0 && w->requests[i]->len >= NEARLY_FULL ? 160 : 100;
}

static void
start_request (struct world *w, int64_t now_us)
{
  struct request r = { .vm = g_rand_int_range (w->random, 0, VMS) };
  struct pick_query q = { .service = "plain", .domain = NULL };
  struct fleet_endpoint *e;
  char domain[8];
  int i;

  g_snprintf (domain, sizeof domain, "d%d", r.vm % DOMAINS);
  q.domain = domain;
  q.random = ((uint64_t)g_rand_int (w->random) << 32) | g_rand_int (w->random);
  q.by_reports = w->by_reports;
  e = pick_endpoint (&w->fleets[r.vm], &q, now_us).endpoint;
  pick_request_sent (e);
  i = atoi (e->listing.id + 1);
  r.sent_us = now_us;
  r.work_us = SERVICE / 2 + g_rand_int_range (w->random, 0, SERVICE);
  if (i % DOMAINS != r.vm % DOMAINS)
    r.sent_us -= REMOTE_DELAY;
  g_array_append_val (w->requests[i], r);
}

/* Each answer carries the endpoint's load and speed. */
static void
answer (struct world *w, const struct request *r, int i, int64_t now_us)
{
  struct fleet_endpoint *e = w->endpoints[r->vm][i];
  struct delivery *h = g_new0 (struct delivery, 1);

  w->count++;
  w->in_time += now_us - r->sent_us <= TARGET;
  h->at_us = now_us;
  h->domain = r->vm % DOMAINS;
  h->endpoint = i;
  h->load = (int)w->requests[i]->len;
  h->percent = w->reports == REPORTS_NO_SPEED ? 0 : true_speed (w, i);
  if (w->reports == REPORTS_STUCK && i == ENDPOINTS - 1)
    h->percent = 250;
  pick_request_ended (e);
  pick_load_reported (e, h->load, now_us);
  speed_add (&e->speed, h->percent, now_us);
  g_queue_push_tail (&w->deliveries, h);
}

static void
deliver_reports (struct world *w, int64_t now_us)
{
  struct fleet_endpoint *e;
  struct delivery *h;
  int vm;

  while ((h = g_queue_peek_head (&w->deliveries)) != NULL
         && h->at_us + HEARD_DELAY <= now_us)
    {
      for (vm = h->domain; vm < VMS && w->reports != REPORTS_OWN;
           vm += DOMAINS)
        {
          e = w->endpoints[vm][h->endpoint];
          if (h->at_us > e->reported_us)
            pick_load_reported (e, h->load, h->at_us);
          speed_add (&e->speed, h->percent, h->at_us);
        }
      g_free (g_queue_pop_head (&w->deliveries));
    }
}

static void
run_endpoint (struct world *w, int i, int64_t now_us)
{
  int64_t done = TICK * 100 / true_speed (w, i);
  struct request r;
  guint k;

  for (k = 0; k < MIN (w->requests[i]->len, SLOTS); k++)
    g_array_index (w->requests[i], struct request, k).work_us -= done;
  for (k = 0; k < MIN (w->requests[i]->len, SLOTS); k++)
    {
      r = g_array_index (w->requests[i], struct request, k);
      if (r.work_us > 0)
        continue;
      g_array_remove_index (w->requests[i], k--);
      answer (w, &r, i, now_us);
    }
}

/* Adds the answers, and those in time, of one run. */
static void
run_plain (bool by_reports, enum reports reports, guint32 seed, int *count,
           int *in_time)
{
  static struct world w;
  char id[8];
  int64_t now;
  int vm, i;

  memset (&w, 0, sizeof w);
  w.by_reports = by_reports;
  w.reports = reports;
  w.random = g_rand_new_with_seed (seed);
  for (i = 0; i < ENDPOINTS; i++)
    w.requests[i] = g_array_new (FALSE, FALSE, sizeof (struct request));
  for (vm = 0; vm < VMS; vm++)
    {
      add_endpoints (&w.fleets[vm]);
      for (i = 0; i < ENDPOINTS; i++)
        {
          g_snprintf (id, sizeof id, "e%d", i);
          w.endpoints[vm][i] = g_hash_table_lookup (w.fleets[vm].by_id, id);
        }
    }
  for (now = S; now < S + SIMULATED; now += TICK)
    {
      deliver_reports (&w, now);
      for (i = 0; i < ENDPOINTS; i++)
        run_endpoint (&w, i, now);
      if (g_rand_double (w.random) < ARRIVALS_PER_S * TICK / S)
        start_request (&w, now);
    }
  for (i = 0; i < ENDPOINTS; i++)
    g_array_free (w.requests[i], TRUE);
  for (vm = 0; vm < VMS; vm++)
    fleet_clear (&w.fleets[vm]);
  g_queue_clear_full (&w.deliveries, g_free);
  g_rand_free (w.random);
  *count += w.count;
  *in_time += w.in_time;
}

/* Returns the share of answers in time, in permille, over some runs. */
static int
share_in_time (bool by_reports, enum reports reports)
{
  int count = 0, in_time = 0;
  guint32 seed;

  for (seed = 1; seed <= RUNS; seed++)
    run_plain (by_reports, reports, seed, &count, &in_time);
  return (int)((int64_t)in_time * 1000 / count);
}

/* Guards against herding on reports that all VMs know, and against late
   answers where a VM knows only its own, 400 ms old on average.  Guards also
   against harm by speeds that are missing or stuck. */
static void
test_spread_in_time (void)
{
  static const struct
  {
    const char *label;    /* for the output */
    enum reports reports; /* reports that VMs get */
    int least;            /* required of the new rule, permille */
  } runs[] = {
    { "own reports", REPORTS_OWN, 900 },
    { "reports of the domain", REPORTS_HEARD, 990 },
    { "reports of the domain without speeds", REPORTS_NO_SPEED, 990 },
    { "reports of the domain, one speed stuck", REPORTS_STUCK, 980 },
  };
  int old, new;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (runs); i++)
    {
      old = share_in_time (false, runs[i].reports);
      new = share_in_time (true, runs[i].reports);
      g_print ("# %s: answers in time: old %d, new %d permille\n",
               runs[i].label, old, new);
      g_assert_cmpint (new, >=, runs[i].least);
    }
}

const struct unit spread_units[] = {
  { "/spread/weights", test_spread_weights },
  { "/spread/full", test_spread_full },
  { "/spread/own-domain", test_spread_own_domain },
  { "/spread/no-herd", test_spread_no_herd },
  { "/spread/limits", test_spread_limits },
  { "/spread/setting", test_spread_setting },
  { "/spread/in-time", test_spread_in_time },
  { NULL, NULL },
};
