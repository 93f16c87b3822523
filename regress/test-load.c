/*
 * Unit tests of the load that VMs report to each other, and of placement by
 * it.
 */
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "decide.h"
#include "load.h"
#include "loadgossip.h"
#include "relayharness.h"
#include "units.h"

#define S CQ_US_PER_S
#define MS CQ_US_PER_MS

static struct load_gossip
message (const char *vm, uint64_t incarnation, uint64_t seq)
{
  struct load_gossip w = { .incarnation = incarnation, .seq = seq };

  g_strlcpy (w.vm, vm, sizeof w.vm);
  g_strlcpy (w.domain, "d1", sizeof w.domain);
  return w;
}

/* Adds a request without shared parts. */
static void
add_work (struct load_gossip *w, uint64_t endpoint, int64_t pending_tokens,
          int64_t kv_tokens)
{
  w->entries[w->nentries++]
      = (struct load_entry){ .endpoint = endpoint,
                             .part = (uint64_t)w->nentries + 1000,
                             .pending_prefill_tokens = pending_tokens,
                             .kv_tokens = kv_tokens };
}

/*
 * Messages are complete, so a lost one has no effect once the next one
 * arrives; one that arrives late, or is of an earlier incarnation of its VM,
 * must not bring back load that has ended.
 */
static void
test_complete_messages (void)
{
  struct load_table *b = load_new ();
  struct load_gossip w = message ("a", 5, 1);

  add_work (&w, 1, 1000, 2000);
  add_work (&w, 2, 10, 20);
  g_assert_true (load_update (b, &w, S));
  w = message ("b", 5, 1);
  add_work (&w, 1, 500, 600);
  g_assert_true (load_update (b, &w, S));
  g_assert_cmpint (load_at (b, 1).pending_prefill_tokens, ==, 1500);
  g_assert_cmpint (load_at (b, 1).kv_tokens, ==, 2600);
  w = message ("a", 5, 3);
  add_work (&w, 1, 0, 2000);
  g_assert_true (load_update (b, &w, S));
  g_assert_cmpint (load_at (b, 1).pending_prefill_tokens, ==, 500);
  g_assert_cmpint (load_at (b, 2).kv_tokens, ==, 0);
  w = message ("a", 5, 2);
  add_work (&w, 1, 9000, 9000);
  g_assert_false (load_update (b, &w, S));
  w = message ("a", 4, 9);
  g_assert_false (load_update (b, &w, S));
  w = message ("a", 6, 1);
  g_assert_true (load_update (b, &w, S));
  g_assert_cmpint (load_at (b, 1).kv_tokens, ==, 600);
  load_free (b);
}

/*
 * Requests of two VMs have the same part at one endpoint, which stores it
 * once.  If it were counted twice, the endpoint would look full, and the third
 * request would go to another one and have the part prefilled there.
 */
static void
test_part_once (void)
{
  struct load_table *b = load_new ();
  struct load_gossip w = message ("a", 5, 1);

  w.entries[0] = (struct load_entry){ 1, 7, 100, 200, 9000, 9000 };
  w.nentries = 1;
  load_update (b, &w, S);
  w = message ("b", 5, 1);
  w.entries[0] = (struct load_entry){ 1, 7, 10, 20, 0, 9000 };
  w.nentries = 1;
  load_update (b, &w, S);
  g_assert_cmpint (load_at (b, 1).kv_tokens, ==, 9220);
  g_assert_cmpint (load_at (b, 1).pending_prefill_tokens, ==, 9110);
  g_assert_true (load_has_part (b, 1, 7));
  g_assert_false (load_has_part (b, 2, 7));
  w = message ("a", 5, 2);
  load_update (b, &w, S);
  g_assert_cmpint (load_at (b, 1).kv_tokens, ==, 9020);
  g_assert_true (load_has_part (b, 1, 7));
  w = message ("b", 5, 2);
  load_update (b, &w, S);
  g_assert_cmpint (load_at (b, 1).kv_tokens, ==, 0);
  g_assert_false (load_has_part (b, 1, 7));
  load_free (b);
}

/*
 * A VM that is suspended, partitioned or has ended sends nothing more.  Its
 * load counts for a while, and then no longer: otherwise idle endpoints would
 * look busy.  It counts again as soon as the VM sends.
 */
static void
test_silence (void)
{
  struct load_table *b = load_new ();
  struct load_gossip w = message ("a", 5, 1);

  add_work (&w, 1, 1000, 2000);
  load_update (b, &w, S);
  load_expire (b, 2 * S);
  g_assert_cmpint (load_at (b, 1).kv_tokens, ==, 2000);
  g_assert_cmpint (load_peer_count (b), ==, 1);
  load_expire (b, 3 * S);
  load_expire (b, 3 * S);
  g_assert_cmpint (load_at (b, 1).kv_tokens, ==, 0);
  g_assert_cmpint (load_peer_count (b), ==, 0);
  w.seq++;
  load_update (b, &w, 4 * S);
  g_assert_cmpint (load_at (b, 1).kv_tokens, ==, 2000);
  load_free (b);
}

/*
 * A sender uses a new name for each message, and each name takes memory.  Past
 * a limit no new names are accepted, known VMs are still updated, and names
 * without a message for a minute are removed.
 */
static void
test_many_names (void)
{
  struct load_table *b = load_new ();
  struct load_gossip w;
  char name[16];
  int i, taken = 0;

  for (i = 0; i < 5000; i++)
    {
      g_snprintf (name, sizeof name, "n%d", i);
      w = message (name, 1, 1);
      taken += load_update (b, &w, S);
    }
  g_assert_cmpint (taken, ==, 2048);
  w = message ("n0", 1, 2);
  g_assert_true (load_update (b, &w, 30 * S));
  load_expire (b, 62 * S);
  w = message ("another", 1, 1);
  g_assert_true (load_update (b, &w, 62 * S));
  w = message ("n0", 1, 2);
  g_assert_false (load_update (b, &w, 62 * S));
  load_free (b);
}

/* Where 24 of 96 VMs send to this one, their load is extrapolated to all. */
static void
test_extrapolated (void)
{
  struct load_table *b = load_new ();
  struct load_gossip w = message ("a", 5, 1);

  add_work (&w, 1, 1000, 2000);
  load_update (b, &w, S);
  load_scale (b, 96, 24, true);
  g_assert_cmpint (load_at (b, 1).pending_prefill_tokens, ==, 4000);
  g_assert_true (load_is_partial (b));
  g_assert_cmpint (load_at (NULL, 1).pending_prefill_tokens, ==, 0);
  load_free (b);
}

/* An encoded message decodes to the same message; truncated ones are
   rejected. */
static void
test_bytes (void)
{
  struct load_gossip w = message ("vm-1", UINT64_MAX, 7);
  struct load_gossip got;
  g_autoptr (GByteArray) bytes = NULL;
  guint i;

  while (w.nentries < LOAD_ENTRIES_MAX)
    add_work (&w, UINT64_C (1) << 63 | (unsigned)w.nentries, w.nentries,
              INT64_C (3) * w.nentries);
  bytes = loadgossip_encode (&w);
  g_assert_cmpuint (bytes->len, <, 1700);
  g_assert_true (loadgossip_decode ((char *)bytes->data, bytes->len, &got));
  g_assert_cmpstr (got.vm, ==, "vm-1");
  g_assert_cmpstr (got.domain, ==, "d1");
  g_assert_true (got.incarnation == UINT64_MAX);
  g_assert_cmpint (got.nentries, ==, LOAD_ENTRIES_MAX);
  g_assert_cmpint (got.entries[39].kv_tokens, ==, 117);
  for (i = 0; i < bytes->len; i++)
    g_assert_false (loadgossip_decode ((char *)bytes->data, i, &got));
  g_assert_false (loadgossip_decode ("", 0, &got));
}

/* --- placement ------------------------------------------------------- */

#define ENDPOINTS 12
#define MEMORY 76000

static struct fleet_endpoint *
endpoint (struct fleet *f, int i)
{
  char id[8];

  g_snprintf (id, sizeof id, "e%d", i);
  return g_hash_table_lookup (f->by_id, id);
}

static void
add_twelve_endpoints (struct fleet *f)
{
  struct fleet_conf *c = fleet_conf_new ();
  struct fleet_service *sv = g_new0 (struct fleet_service, 1);

  fleet_init (f);
  sv->name = g_strdup ("model");
  sv->model = g_strdup ("m");
  sv->kv_capacity_tokens = MEMORY;
  g_hash_table_replace (c->services, sv->name, sv);
  fleet_conf_build_index (c);
  fleet_apply_conf (f, c, 1);
  harness_list_endpoints (f, ENDPOINTS, 16);
}

static struct pick_query
query (const char *part, int64_t shared, int64_t own)
{
  struct pick_query q = { .service = "model", .domain = "d0" };

  q.affinity = part;
  q.work.shared_tokens = shared;
  q.work.own_tokens = own;
  return q;
}

/*
 * Another VM has sent long prompts to the endpoint that this VM's short ones
 * prefer.  Sent there, each would wait until 34,000 tokens are prefilled; they
 * go elsewhere, and return when that is done.
 */
static void
test_short_beside_long (void)
{
  struct fleet f;
  struct load_table *b = load_new ();
  struct load_gossip w = message ("a", 1, 1);
  struct pick_query q = query ("subject", 300, 80);
  struct fleet_endpoint *preferred;

  add_twelve_endpoints (&f);
  q.loads = b;
  preferred = pick_endpoint (&f, &q, S).endpoint;
  add_work (&w, preferred->key, 34000, 34000);
  load_update (b, &w, S);
  g_assert_true (pick_endpoint (&f, &q, S).endpoint != preferred);
  w = message ("a", 1, 2);
  add_work (&w, preferred->key, 0, 34000);
  load_update (b, &w, S);
  g_assert_true (pick_endpoint (&f, &q, S).endpoint == preferred);
  load_free (b);
  fleet_clear (&f);
}

/*
 * Prompts of other VMs use up the endpoint's KV cache.  One more would evict
 * one of them in the middle of its answer, and its whole prompt would be
 * prefilled again.
 */
static void
test_memory (void)
{
  struct fleet f;
  struct load_table *b = load_new ();
  struct load_gossip w = message ("a", 1, 1);
  struct pick_query q = query ("history", 13000, 4000);
  struct fleet_endpoint *preferred;

  add_twelve_endpoints (&f);
  q.loads = b;
  preferred = pick_endpoint (&f, &q, S).endpoint;
  add_work (&w, preferred->key, 0, MEMORY - 20000);
  load_update (b, &w, S);
  g_assert_true (pick_endpoint (&f, &q, S).endpoint != preferred);
  load_free (b);
  fleet_clear (&f);
}

/*
 * Where there are many VMs, a VM knows almost nothing of the load in other
 * failure domains: what looks idle there may not be.  Endpoints in its own
 * domain are preferred until they are busy.
 */
static void
test_own_domain (void)
{
  struct fleet f;
  struct load_table *b = load_new ();
  struct load_gossip w = message ("a", 1, 1);
  struct pick_query q;
  char part[8];
  int i;

  add_twelve_endpoints (&f);
  load_scale (b, 30, 24, true);
  for (i = 0; i < 100; i++)
    {
      g_snprintf (part, sizeof part, "p%d", i);
      q = query (part, 300, 80);
      q.loads = b;
      g_assert_cmpstr (pick_endpoint (&f, &q, S).endpoint->listing.domain, ==,
                       "d0");
    }
  for (i = 0; i < ENDPOINTS; i += 3)
    add_work (&w, endpoint (&f, i)->key, 60000, 0);
  load_update (b, &w, S);
  g_assert_cmpstr (pick_endpoint (&f, &q, S).endpoint->listing.domain, !=,
                   "d0");
  load_free (b);
  fleet_clear (&f);
}

/* --- latency under load ---------------------------------------------- */

#define VMS 9
#define PREFILL_MS(tokens) ((tokens) / 90)
#define SIMULATED_MS 20000
#define SHORT_LATE_MS 300

/* A simulation: VMs that each know their own requests, and endpoints that
   prefill prompts one after another. */
struct simulation
{
  struct fleet fleets[VMS];        /* fleet, by VM */
  struct load_table *tables[VMS];  /* load reported to each VM */
  uint64_t seqs[VMS];              /* messages sent, by VM */
  int64_t free_ms[ENDPOINTS];      /* when an endpoint has prefilled all */
  int64_t done_ms[VMS][ENDPOINTS]; /* when a VM's long prompt is prefilled */
  int64_t pending_tokens[VMS][ENDPOINTS]; /* tokens of that prompt */
  int shorts;                             /* short prompts sent */
  int late;                               /* of these, answered late */
};

static void
send_load (struct simulation *d, int vm, int64_t now_ms)
{
  struct load_gossip w = message ("vm", 1, ++d->seqs[vm]);
  int i;

  g_snprintf (w.vm, sizeof w.vm, "vm%d", vm);
  for (i = 0; i < ENDPOINTS; i++)
    if (d->done_ms[vm][i] > now_ms)
      add_work (&w, endpoint (&d->fleets[vm], i)->key,
                d->pending_tokens[vm][i], d->pending_tokens[vm][i]);
  for (i = 0; i < VMS; i++)
    if (i != vm)
      load_update (d->tables[i], &w, now_ms * MS);
}

static void
play_request (struct simulation *d, int vm, bool is_long, bool has_reports,
              const char *part, int64_t now_ms)
{
  struct pick_query q
      = query (part, is_long ? 13000 : 300, is_long ? 4000 : 80);
  int64_t tokens = q.work.shared_tokens + q.work.own_tokens;
  struct fleet_endpoint *e;
  int at;

  q.loads = has_reports ? d->tables[vm] : NULL;
  e = pick_endpoint (&d->fleets[vm], &q, now_ms * MS).endpoint;
  at = atoi (e->listing.id + 1);
  d->free_ms[at] = MAX (d->free_ms[at], now_ms) + PREFILL_MS (tokens);
  if (is_long)
    {
      d->done_ms[vm][at] = d->free_ms[at];
      d->pending_tokens[vm][at] = tokens;
      send_load (d, vm, now_ms);
      return;
    }
  d->shorts++;
  d->late += d->free_ms[at] - now_ms > SHORT_LATE_MS;
}

/* Returns the percentage of short prompts that are answered late. */
static int
simulate (bool has_reports)
{
  static struct simulation d;
  GRand *r = g_rand_new_with_seed (11);
  char part[16];
  int64_t now;
  int i, result;

  memset (&d, 0, sizeof d);
  for (i = 0; i < VMS; i++)
    {
      add_twelve_endpoints (&d.fleets[i]);
      d.tables[i] = load_new ();
    }
  for (now = 0; now < SIMULATED_MS; now++)
    {
      if (now % 50 == 0)
        for (i = 0; i < VMS; i++)
          send_load (&d, i, now);
      /* 30 long and 290 short ones a second. */
      if (g_rand_double (r) < 0.03)
        {
          g_snprintf (part, sizeof part, "l%d", g_rand_int_range (r, 0, 183));
          play_request (&d, g_rand_int_range (r, 0, VMS), true, has_reports,
                        part, now);
        }
      if (g_rand_double (r) < 0.29)
        {
          g_snprintf (part, sizeof part, "s%d", g_rand_int_range (r, 0, 2311));
          play_request (&d, g_rand_int_range (r, 0, VMS), false, has_reports,
                        part, now);
        }
    }
  result = 100 * d.late / d.shorts;
  for (i = 0; i < VMS; i++)
    {
      fleet_clear (&d.fleets[i]);
      load_free (d.tables[i]);
    }
  g_rand_free (r);
  return result;
}

/*
 * Nine VMs send 30 prompts of 17,000 tokens and 290 short ones a second to
 * twelve endpoints.  Each short one that is queued behind two long ones is
 * late.  With reports of each other's load, VMs place short ones elsewhere.
 */
static void
test_short_in_time (void)
{
  int before = simulate (false);
  int after = simulate (true);

  g_test_message ("late short prompts: %d%% before, %d%% after", before,
                  after);
  g_assert_cmpint (before, >=, 10);
  g_assert_cmpint (after, <=, before / 4);
}

/* --- the roster ------------------------------------------------------ */

/* A roster of a number of VMs, read once. */
struct long_roster
{
  struct loop *loop; /* stopped after the read */
  int vms;           /* its length */
  int64_t cost;      /* processor time of the reply */
};

static void
write_roster (void *ctx, const struct roster_row *self,
              void (*done) (void *arg, bool written), void *arg)
{
  (void)ctx;
  (void)self;
  done (arg, true);
}

static void
read_roster (void *ctx, roster_done done, void *arg)
{
  struct long_roster *r = ctx;
  g_autoptr (GArray) list
      = g_array_new (FALSE, TRUE, sizeof (struct roster_row));
  int i;

  for (i = 0; i < r->vms; i++)
    {
      struct roster_row row = { .version = i + 1 };

      g_snprintf (row.vm, sizeof row.vm, "vm-%d", i);
      g_snprintf (row.domain, sizeof row.domain, "d%d", i % 5);
      g_snprintf (row.address, sizeof row.address, "127.0.0.1:%d", 1 + i);
      g_array_append_val (list, row);
    }
  r->cost = clock ();
  done (arg, list);
  r->cost = MAX (clock () - r->cost, 1);
  loop_stop (r->loop);
}

static void
collect_nothing (void *ctx, struct load_gossip *message)
{
  (void)ctx;
  message->nentries = 0;
}

static int64_t
roster_cost (int vms)
{
  struct long_roster r = { .loop = loop_new (), .vms = vms };
  struct loadgossip_opts o = { .loop = r.loop, .vm = "vm-0", .domain = "d0" };
  struct loadgossip *t;

  o.collect_load = collect_nothing;
  o.load_table = load_new ();
  o.ops.write = write_roster;
  o.ops.read = read_roster;
  o.ops.ctx = &r;
  o.listen = "127.0.0.1:0";
  t = loadgossip_new (&o);
  g_assert_nonnull (t);
  loop_run (r.loop);
  g_assert_true (loadgossip_is_listed (t));
  loadgossip_stop (t);
  loadgossip_free (t);
  load_free (o.load_table);
  loop_free (r.loop);
  return r.cost;
}

/* Guards against a roster whose cost grows faster than its length: a thousand
   VMs would stop a small one for a second at its start. */
static void
test_long_roster (void)
{
  int64_t least = INT64_MAX;
  int i;

  /* Four times the VMs take four times as long, not sixteen times. */
  for (i = 0; i < 3; i++)
    least = MIN (least, roster_cost (4000) / roster_cost (1000));
  g_assert_cmpint (least, <, 9);
}

const struct unit load_units[] = {
  { "/load/long-roster", test_long_roster },
  { "/load/complete-messages", test_complete_messages },
  { "/load/part-once", test_part_once },
  { "/load/silence", test_silence },
  { "/load/many-names", test_many_names },
  { "/load/extrapolated", test_extrapolated },
  { "/load/bytes", test_bytes },
  { "/load/short-beside-long", test_short_beside_long },
  { "/load/memory", test_memory },
  { "/load/own-domain", test_own_domain },
  { "/load/short-in-time", test_short_in_time },
  { NULL, NULL },
};
