/*
 * Unit tests of the lists that VMs read from each other: the copy of a table
 * (mirror.c), the choice of readers (mirrorpick.c), the encoding
 * (mirrorwire.c), answers (mirrorserve.c) and calls (mirrorfeed.c).
 */
#include <glib.h>
#include <string.h>

#include "decide.h"
#include "mirrorfeed.h"
#include "units.h"

#define MS CQ_US_PER_MS

/* --- the copy -------------------------------------------------------- */

#define KEYS 40

/* A table with versions, and the versions at which its rows changed. */
struct table
{
  int64_t version;       /* newest change */
  int64_t changed[KEYS]; /* last change of each row; 0 for never */
  bool removed[KEYS];    /* whether that removed it */
};

static void
change_table (struct table *t, GRand *rand)
{
  int i = g_rand_int_range (rand, 0, KEYS);

  t->changed[i] = ++t->version;
  t->removed[i] = g_rand_int_range (rand, 0, 3) == 0;
}

static const char *
key_of (int i)
{
  static char keys[KEYS][8];

  g_snprintf (keys[i], sizeof keys[i], "k%d", i);
  return keys[i];
}

/* What a follower of the table does with a reply. */
static void
apply_table (struct mirror *m, const struct table *t, bool full)
{
  int64_t since = full ? 0 : mirror_version (m);
  int i;

  mirror_begin (m, full, t->version);
  for (i = 0; i < KEYS; i++)
    if (t->changed[i] > since && !t->removed[i])
      mirror_put (m, key_of (i), t->changed[i], (const uint8_t *)"v", 1);
    else if (t->changed[i] > since && !full)
      mirror_remove (m, key_of (i), t->changed[i]);
  mirror_end (m);
}

static void
apply_row (void *arg, const struct mirror_row *row)
{
  struct mirror *m = arg;

  if (row->removed)
    mirror_remove (m, row->key, row->version);
  else
    mirror_put (m, row->key, row->version, row->value, row->len);
}

/* What a client does with a reply of another VM. */
static void
receive (struct mirror *m, const struct mirror *from)
{
  bool full = !mirror_is_complete (m)
              || !mirror_has_changes (from, mirror_version (m));

  int64_t since = full ? 0 : mirror_version (m);

  mirror_begin (m, full, mirror_version (from));
  mirror_each (from, since, apply_row, m);
  mirror_end (m);
}

static void
check_row (void *arg, const struct mirror_row *row)
{
  const struct table *t = arg;
  int i = atoi (row->key + 1);

  g_assert_false (t->removed[i]);
  g_assert_cmpint (row->version, ==, t->changed[i]);
}

static void
check_copy (const struct mirror *m, struct table *t)
{
  int i, n = 0;

  for (i = 0; i < KEYS; i++)
    n += t->changed[i] > 0 && !t->removed[i];
  g_assert_cmpint (mirror_count (m), ==, n);
  mirror_each (m, 0, check_row, t);
}

/*
 * Guards against a hole in what a VM receives: a change or a removal that it
 * never learns of.  Chains of three VMs follow a table, the first one with its
 * history lost now and then, the others at random moments and with few
 * removals remembered; whenever a VM has caught up, its copy equals the table.
 */
static void
test_differential (void)
{
  GRand *rand = g_rand_new_with_seed (5);
  struct table t = { 0 };
  struct mirror *m[3];
  int i, round;

  for (i = 0; i < 3; i++)
    m[i] = mirror_new (3);
  for (round = 0; round < 20000; round++)
    {
      for (i = g_rand_int_range (rand, 0, 4); i > 0; i--)
        change_table (&t, rand);
      if (g_rand_int_range (rand, 0, 2) == 0 && t.version > 0)
        {
          apply_table (m[0], &t,
                       !mirror_is_complete (m[0])
                           || g_rand_int_range (rand, 0, 8) == 0);
          check_copy (m[0], &t);
        }
      for (i = 1; i < 3; i++)
        if (g_rand_int_range (rand, 0, 3) == 0 && mirror_is_complete (m[i - 1])
            && mirror_version (m[i - 1]) >= mirror_version (m[i]))
          {
            receive (m[i], m[i - 1]);
            if (mirror_version (m[i]) == t.version)
              check_copy (m[i], &t);
          }
    }
  for (i = 0; i < 3; i++)
    mirror_free (m[i]);
  g_rand_free (rand);
}

/* Guards against a row that was removed and returns with a delayed page of a
   full read. */
static void
test_removed_stays (void)
{
  struct mirror *m = mirror_new (8);

  mirror_begin (m, true, 10);
  mirror_put (m, "a", 5, (const uint8_t *)"v", 1);
  mirror_end (m);
  mirror_begin (m, false, 12);
  mirror_remove (m, "a", 12);
  mirror_end (m);
  mirror_begin (m, true, 12);
  mirror_put (m, "a", 5, (const uint8_t *)"v", 1);
  mirror_end (m);
  g_assert_cmpint (mirror_count (m), ==, 0);
  mirror_reset (m);
  g_assert_false (mirror_is_complete (m));
  g_assert_false (mirror_has_changes (m, 12));
  mirror_free (m);
}

/* --- the choice of readers ------------------------------------------- */

static GArray *
peers_but (int vms, int self, int fast)
{
  GArray *peers = g_array_new (FALSE, TRUE, sizeof (struct mirror_peer));
  int i;

  for (i = 0; i < vms; i++)
    {
      struct mirror_peer p = { .link_mbit_s = i < fast ? 1000 : 20 };

      if (i == self)
        continue;
      g_snprintf (p.vm, sizeof p.vm, "vm-%d", i);
      g_snprintf (p.address, sizeof p.address, "10.0.0.%d:1", i);
      g_array_append_val (peers, p);
    }
  return peers;
}

static void
check_domain (int vms, int fast)
{
  g_autofree int64_t *asked = g_new0 (int64_t, (gsize)vms);
  struct mirror_choice c = { 0 };
  char self[16];
  int i, readers = 0, slow_readers = 0;

  for (i = 0; i < vms; i++)
    {
      g_autoptr (GArray) peers = peers_but (vms, i, fast);

      g_snprintf (self, sizeof self, "vm-%d", i);
      mirrorpick_choose (&c, self, i < fast ? 1000 : 20, peers, 12);
      readers += c.role == MIRROR_READER;
      slow_readers += c.role == MIRROR_READER && i >= fast;
      if (c.role == MIRROR_CLIENT)
        asked[atoi (g_array_index (c.order, struct mirror_peer, 0).vm + 3)]++;
    }
  g_assert_cmpint (readers, ==, vms < 12 ? 0 : 2 + vms / 64);
  if (vms >= 12 && fast >= readers)
    g_assert_cmpint (slow_readers, ==, 0);
  for (i = 0; i < vms; i++)
    g_assert_cmpint (asked[i], <=, INT64_C (2) * 64);
  g_array_free (c.order, TRUE);
}

/* Guards against a load of readers that grows with the number of VMs, and
   against readers on slow links while there are fast ones. */
static void
test_readers (void)
{
  static const int sizes[] = { 1, 2, 11, 12, 30, 100, 300, 1000 };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      check_domain (sizes[i], 0);
      check_domain (sizes[i], 20);
    }
}

/* --- the encoding ---------------------------------------------------- */

static const uint8_t wire_key[MIRRORWIRE_KEY_BYTES] = { 7, 3 };
static const uint8_t other_key[MIRRORWIRE_KEY_BYTES] = { 7, 4 };

static void
append_row (void *arg, const struct mirror_row *row)
{
  struct fleet_listing l;

  g_assert_true (
      mirrorwire_decode_listing (row->key, row->value, row->len, &l));
  g_array_append_val ((GArray *)arg, l);
}

static GByteArray *
sealed_reply (const uint8_t *nonce, const uint8_t *key)
{
  struct fleet_listing l
      = { .id = "i-1", .address = "10.0.0.1:8", .service = "app" };
  struct mirror_reply r = { .version = 9, .age_ms = 40, .era = 2 };
  g_autoptr (GArray) rows
      = g_array_new (FALSE, FALSE, sizeof (struct mirror_row));
  g_autoptr (GByteArray) value = NULL;
  g_autoptr (GBytes) bytes = NULL;
  uint8_t digest[MIRRORWIRE_DIGEST_BYTES];
  struct mirror_row row = { .key = "i-1", .version = 8 };
  GByteArray *all;

  l.cold_us = 1500 * MS;
  l.draining = true;
  value = mirrorwire_encode_listing (&l);
  row.value = value->data;
  row.len = value->len;
  g_array_append_val (rows, row);
  bytes = mirrorwire_encode_rows (rows);
  mirrorwire_digest (bytes, digest);
  memcpy (r.nonce, nonce, sizeof r.nonce);
  all = mirrorwire_seal_reply (&r, digest, key);
  g_byte_array_append (all, g_bytes_get_data (bytes, NULL),
                       (guint)g_bytes_get_size (bytes));
  return all;
}

/* Guards against a stranger, a recorded reply and altered rows: each changes
   nothing. */
static void
test_seals (void)
{
  uint8_t nonce[MIRRORWIRE_NONCE_BYTES] = { 1 };
  uint8_t other[MIRRORWIRE_NONCE_BYTES] = { 2 };
  g_autoptr (GByteArray) all = sealed_reply (nonce, wire_key);
  g_autoptr (GArray) list
      = g_array_new (FALSE, FALSE, sizeof (struct fleet_listing));
  struct mirror_reply r;
  const struct fleet_listing *l;
  const uint8_t *rows;
  guint i;

  g_assert_false (mirrorwire_open_reply (all->data, all->len, other_key, nonce,
                                         &r, &rows));
  g_assert_false (
      mirrorwire_open_reply (all->data, all->len, wire_key, other, &r, &rows));
  for (i = 0; i < all->len; i++)
    {
      all->data[i] ^= 1;
      g_assert_false (mirrorwire_open_reply (all->data, all->len, wire_key,
                                             nonce, &r, &rows));
      all->data[i] ^= 1;
      g_assert_false (
          mirrorwire_open_reply (all->data, i, wire_key, nonce, &r, &rows));
    }
  g_assert_true (
      mirrorwire_open_reply (all->data, all->len, wire_key, nonce, &r, &rows));
  g_assert_cmpint (r.version, ==, 9);
  g_assert_cmpint (r.era, ==, 2);
  g_assert_true (mirrorwire_decode_rows (
      rows, all->len - (size_t)(rows - all->data), append_row, list));
  g_assert_cmpint (list->len, ==, 1);
  l = &g_array_index (list, struct fleet_listing, 0);
  g_assert_cmpstr (l->id, ==, "i-1");
  g_assert_cmpint (l->cold_us, ==, 1500 * MS);
  g_assert_true (l->draining);
}

/* --- calls ----------------------------------------------------------- */

#define VMS 4

/* VMs that ask each other; the test decides who replies, and when. */
struct simulated_vm
{
  struct world *world;       /* it is in */
  char name[16];             /* its name */
  struct fleet fleet;        /* state kept current */
  struct follow *follow;     /* follows the platform or other VMs */
  struct mirrorfeed *mirror; /* under test */
  struct mirrorserve *serve; /* under test */
  bool is_silent;            /* it answers nobody */
  int64_t frozen_us;         /* its answers are so much older than they say */
};

struct world
{
  struct loop *loop;            /* runs the timers */
  struct simulated_vm vms[VMS]; /* all of one failure domain */
  int only_peer[VMS];           /* the only VM that each one asks; -1: all */
  int reads, polls;             /* of the list, on the platform */
  int operator_polls[VMS];      /* for the operators' changes */
  bool down;                    /* the platform refuses all calls */
  bool is_history_lost;         /* polls of the list end so */
  bool hide_peers;              /* nobody knows other VMs */
  GArray *items;                /* the list on the platform */
  int64_t version;              /* newest change */
  int64_t operator_row;         /* newest change of the operators */
  follow_done done[VMS];        /* polls for the operators' changes */
  struct loop_timer operator_timer; /* ends these, if armed */
  void *arg[VMS];                   /* their arguments */
};

struct platform_ctx
{
  struct world *world; /* the platform's state */
  int vm;              /* VM that calls */
};

static void
reply_platform (struct world *w, enum follow_source source, bool full,
                int64_t since, follow_done done, void *arg)
{
  struct follow_reply n = { .status = w->down ? FOLLOW_REFUSED : FOLLOW_OK };
  g_autoptr (GArray) items
      = g_array_new (FALSE, TRUE, sizeof (struct follow_item));
  guint i;

  if (w->is_history_lost && !full && !w->down)
    n.status = FOLLOW_HISTORY_LOST;
  n.items = items;
  n.version = w->version;
  n.era = 1;
  n.received_us = loop_now_us ();
  for (i = 0; !w->down && source == FOLLOW_ENDPOINTS && i < w->items->len; i++)
    {
      const struct follow_item *it
          = &g_array_index (w->items, struct follow_item, i);

      if (full ? it->kind == FOLLOW_ITEM_ENDPOINT : it->row > since)
        g_array_append_val (items, *it);
    }
  done (arg, &n);
}

static void
platform_read (void *ctx, enum follow_source source,
               const struct follow_limits *limits, follow_done done, void *arg)
{
  struct platform_ctx *p = ctx;

  (void)limits;
  p->world->reads += source == FOLLOW_ENDPOINTS;
  reply_platform (p->world, source, true, 0, done, arg);
}

/* A poll for the operators' changes stays open; the others end at once. */
static void
platform_changes (void *ctx, enum follow_source source, int64_t version,
                  int64_t wait_us, const struct follow_limits *limits,
                  follow_done done, void *arg)
{
  struct platform_ctx *p = ctx;
  struct world *w = p->world;

  (void)wait_us;
  (void)limits;
  if (source == FOLLOW_ENDPOINTS)
    {
      w->polls++;
      reply_platform (w, source, false, version, done, arg);
      return;
    }
  w->operator_polls[p->vm]++;
  w->done[p->vm] = done;
  w->arg[p->vm] = arg;
}

/* The operators' rows of these tests are evacuations of the domain that is the
   row's key. */
static struct follow_item
evacuation_of (const char *key, int64_t version)
{
  struct follow_item it = { .kind = FOLLOW_ITEM_EVACUATION, .row = version };

  g_strlcpy (it.domain, key, sizeof it.domain);
  it.raw = follow_raw_new (key, version, "", 0);
  return it;
}

static void
clear_items (GArray *items)
{
  guint i;

  for (i = 0; i < items->len; i++)
    follow_raw_free (g_array_index (items, struct follow_item, i).raw);
  g_array_free (items, TRUE);
}

static void
platform_decode (void *ctx, const GPtrArray *rows,
                 const struct follow_limits *limits, follow_done done,
                 void *arg)
{
  struct follow_reply n = { .status = FOLLOW_OK };
  guint i;

  (void)ctx;
  (void)limits;
  n.items = g_array_new (FALSE, TRUE, sizeof (struct follow_item));
  for (i = 0; i < rows->len; i++)
    {
      const struct follow_raw *raw = rows->pdata[i];
      struct follow_item it = evacuation_of (raw->key, raw->version);

      g_array_append_val (n.items, it);
    }
  done (arg, &n);
  clear_items (n.items);
}

static const uint8_t *
test_key (void *arg)
{
  (void)arg;
  return wire_key;
}

static bool
test_peers (void *arg, bool near, GArray *peers)
{
  struct simulated_vm *v = arg;
  struct world *w = v->world;
  int self = (int)(v - w->vms);
  int i;

  (void)near;
  for (i = 0; i < VMS; i++)
    {
      struct mirror_peer p = { .link_mbit_s = VMS - i };

      g_snprintf (p.vm, sizeof p.vm, "%d", i);
      g_snprintf (p.address, sizeof p.address, "%d", i);
      if (i != self && (w->only_peer[self] == -1 || w->only_peer[self] == i))
        g_array_append_val (peers, p);
    }
  return !w->hide_peers;
}

static int64_t
test_roster (void *arg, GArray *rows)
{
  (void)arg;
  (void)rows;
  return 0;
}

/* A request that is answered after its call has returned. */
struct pending
{
  struct world *world; /* all VMs */
  int to;              /* VM that is asked */
  GByteArray *request; /* what it is sent */
  mirror_asked done;   /* callback */
  void *arg;           /* passed to it */
  struct loop_msg msg; /* delivers the answer */
};

static void
deliver (void *arg)
{
  struct pending *p = arg;
  struct simulated_vm *v = &p->world->vms[p->to];
  struct mirror_answer a;

  if (!v->is_silent
      && mirrorserve_answer (v->serve, p->request->data, p->request->len,
                             loop_now_us () + v->frozen_us, &a))
    {
      g_byte_array_append (a.head, g_bytes_get_data (a.rows, NULL),
                           (guint)g_bytes_get_size (a.rows));
      p->done (p->arg, MIRROR_ASKED, a.head->data, a.head->len);
      g_byte_array_unref (a.head);
      g_bytes_unref (a.rows);
    }
  else
    p->done (p->arg, MIRROR_FAILED, NULL, 0);
  g_byte_array_unref (p->request);
  g_free (p);
}

static void
test_ask (void *ctx, const char *address, const GByteArray *request,
          size_t reply_max_bytes, mirror_asked done, void *arg)
{
  struct pending *p = g_new0 (struct pending, 1);

  (void)reply_max_bytes;
  p->world = ctx;
  p->to = atoi (address);
  p->request = g_byte_array_new ();
  g_byte_array_append (p->request, request->data, request->len);
  p->done = done;
  p->arg = arg;
  p->msg.run = deliver;
  p->msg.arg = p;
  loop_post (p->world->loop, &p->msg);
}

static void
observe_reply (void *arg, enum follow_source source, bool full,
               const struct follow_reply *reply)
{
  mirrorserve_observe (arg, source, full, reply);
}

static void
start_vm (struct world *w, int i, struct platform_ctx *ctx)
{
  struct simulated_vm *v = &w->vms[i];
  struct mirrorfeed_opts o = { .loop = w->loop, .seed = (uint64_t)i + 1 };
  struct follow_opts f = { .loop = w->loop, .seed = (uint64_t)i + 1 };
  struct mirrorserve_opts serve = { .arg = v };

  v->world = w;
  g_snprintf (v->name, sizeof v->name, "%d", i);
  fleet_init (&v->fleet);
  ctx->world = w;
  ctx->vm = i;
  o.direct.read = platform_read;
  o.direct.changes = platform_changes;
  o.direct.decode = platform_decode;
  o.direct.ctx = ctx;
  o.ops.ask = test_ask;
  o.ops.ctx = w;
  o.vm = v->name;
  o.link_mbit_s = VMS - i;
  o.min_vms = 2;
  o.drain_ms = 5000;
  o.list_peers = test_peers;
  o.seal_key = test_key;
  o.arg = v;
  serve.list_roster = test_roster;
  serve.seal_key = test_key;
  v->serve = mirrorserve_new (&serve);
  o.serve = v->serve;
  v->mirror = mirrorfeed_new (&o);
  mirrorfeed_follow_ops (v->mirror, &f.ops);
  f.fleet = &v->fleet;
  f.max_age_us = 4900 * MS;
  f.observe = observe_reply;
  f.observe_arg = v->serve;
  f.is_reader = mirrorfeed_is_reader;
  f.is_client = mirrorfeed_is_client;
  f.list_max_age_us = mirrorfeed_max_age_us (5000);
  f.mirror_arg = v->mirror;
  v->follow = follow_new (&f);
  mirrorserve_attach (v->serve, v->follow);
}

static void
add_item (struct world *w, enum follow_item_kind kind, const char *id)
{
  struct follow_item it = { .kind = kind, .row = ++w->version };

  g_strlcpy (it.listing.id, id, sizeof it.listing.id);
  g_strlcpy (it.listing.address, "10.0.0.1:1", sizeof it.listing.address);
  g_array_append_val (w->items, it);
}

static void
on_timeout (void *arg, int64_t now_us)
{
  (void)now_us;
  loop_stop (arg);
}

static void
run_for (struct world *w, int64_t us)
{
  struct loop_timer t = { .fire = on_timeout, .arg = w->loop };

  loop_arm (w->loop, &t, loop_now_us () + us);
  loop_run (w->loop);
}

/* Answers a VM's poll for the operators' changes; ITEMS may be NULL. */
static void
answer_operator_poll (struct world *w, int vm, GArray *items)
{
  g_autoptr (GArray) none
      = g_array_new (FALSE, TRUE, sizeof (struct follow_item));
  struct follow_reply n = { .status = FOLLOW_OK, .era = 1 };
  follow_done done = w->done[vm];

  g_assert_nonnull (done);
  n.items = items != NULL ? items : none;
  n.version = w->version;
  n.received_us = loop_now_us ();
  w->done[vm] = NULL;
  done (w->arg[vm], &n);
}

/* The platform ends a poll for the operators' changes after 200 ms. */
static void
on_operator_timer (void *arg, int64_t now_us)
{
  struct world *w = arg;
  int i;

  for (i = 0; i < VMS; i++)
    if (w->done[i] != NULL)
      answer_operator_poll (w, i, NULL);
  loop_arm (w->loop, &w->operator_timer, now_us + 200 * MS);
}

static void
world_init (struct world *w, struct platform_ctx *ctx)
{
  int i;

  memset (w, 0, sizeof *w);
  w->loop = loop_new ();
  w->items = g_array_new (FALSE, TRUE, sizeof (struct follow_item));
  w->operator_timer.fire = on_operator_timer;
  w->operator_timer.arg = w;
  add_item (w, FOLLOW_ITEM_ENDPOINT, "a");
  for (i = 0; i < VMS; i++)
    {
      w->only_peer[i] = -1;
      start_vm (w, i, &ctx[i]);
    }
}

static void
world_start (struct world *w, int from, int to)
{
  int i;

  for (i = from; i < to; i++)
    follow_start (w->vms[i].follow);
}

static void
world_clear (struct world *w)
{
  int i;

  for (i = 0; i < VMS; i++)
    {
      follow_stop (w->vms[i].follow);
      mirrorfeed_stop (w->vms[i].mirror);
    }
  run_for (w, 150 * MS);
  for (i = 0; i < VMS; i++)
    {
      follow_free (w->vms[i].follow);
      mirrorfeed_free (w->vms[i].mirror);
      mirrorserve_free (w->vms[i].serve);
      fleet_clear (&w->vms[i].fleet);
    }
  g_array_free (w->items, TRUE);
  loop_free (w->loop);
}

static bool
knows (const struct world *w, int vm, const char *id)
{
  return g_hash_table_contains (w->vms[vm].fleet.by_id, id);
}

/*
 * Guards against a platform that every VM of a domain polls.  Two of four VMs
 * are readers; the others learn of each change from them within a second or
 * two, read nothing from the platform, and have their settings confirmed.
 */
static void
test_clients (void)
{
  struct platform_ctx ctx[VMS];
  struct world w;
  int reads;

  world_init (&w, ctx);
  on_operator_timer (&w, loop_now_us ());
  world_start (&w, 0, 2);
  run_for (&w, 2500 * MS);
  reads = w.reads;
  world_start (&w, 2, VMS);
  run_for (&w, 300 * MS);
  g_assert_true (knows (&w, 3, "a"));
  g_assert_cmpint (w.reads, ==, reads);
  add_item (&w, FOLLOW_ITEM_ENDPOINT, "b");
  add_item (&w, FOLLOW_ITEM_ENDPOINT_REMOVED, "a");
  run_for (&w, 2500 * MS);
  g_assert_true (knows (&w, 3, "b"));
  g_assert_false (knows (&w, 3, "a"));
  g_assert_cmpint (w.reads, ==, reads);
  g_assert_cmpint (w.operator_polls[2], ==, 0);
  g_assert_cmpint (w.operator_polls[3], ==, 0);
  world_clear (&w);
}

/* Guards against a domain that receives nothing: both readers are silent, then
   the platform is down, too.  What is left is the platform, asked by all; and
   no more than once in three seconds while other VMs still reply. */
static void
test_silent_readers (void)
{
  struct platform_ctx ctx[VMS];
  struct world w;
  int polls;

  world_init (&w, ctx);
  world_start (&w, 0, VMS);
  run_for (&w, 2000 * MS);
  w.vms[0].is_silent = w.vms[1].is_silent = true;
  add_item (&w, FOLLOW_ITEM_ENDPOINT, "b");
  /* In time for an endpoint that drains for five seconds. */
  run_for (&w, 4800 * MS);
  g_assert_true (knows (&w, 2, "b"));
  g_assert_true (knows (&w, 3, "b"));
  w.vms[0].is_silent = w.vms[1].is_silent = false;
  w.down = true;
  run_for (&w, 3500 * MS);
  polls = w.polls + w.reads;
  follow_stop (w.vms[0].follow);
  follow_stop (w.vms[1].follow);
  run_for (&w, 2000 * MS);
  g_assert_cmpint (w.polls + w.reads - polls, <=, 2);
  world_clear (&w);
}

/* The settings of VM's age, with NOW. */
static int64_t
settings_age (const struct world *w, int vm)
{
  return fleet_conf_age_us (&w->vms[vm].fleet, loop_now_us ());
}

/*
 * Guards against a revoked key that stays valid behind a chain of three VMs.
 * The middle one reads from the first and answers the third; then it is frozen
 * and thawed: its clock runs on, but it has received nothing.  What the third
 * reads from it must count as old as it is, and its settings expire.
 */
static void
test_frozen_chain (void)
{
  struct platform_ctx ctx[VMS];
  struct world w;
  int64_t age;

  world_init (&w, ctx);
  w.only_peer[2] = 1;
  w.only_peer[1] = 0;
  world_start (&w, 0, 1);
  run_for (&w, 100 * MS);
  world_start (&w, 1, 3);
  run_for (&w, 4200 * MS);
  g_assert_true (knows (&w, 2, "a"));
  /* No poll of the operators' changes was answered since the start, so only
     the age of the first VM's reading counts, whoever passes it on. */
  age = settings_age (&w, 0);
  g_assert_cmpint (age, >=, 2600 * MS);
  g_assert_cmpint (settings_age (&w, 1), >=, age - 150 * MS);
  g_assert_cmpint (settings_age (&w, 2), >=, age - 150 * MS);
  follow_stop (w.vms[1].follow);
  w.vms[1].frozen_us = 4000 * MS;
  run_for (&w, 1200 * MS);
  g_assert_cmpint (settings_age (&w, 2), >=, settings_age (&w, 0) - 150 * MS);
  world_clear (&w);
}

/*
 * Guards against settings that are confirmed although a newer change exists,
 * and against a change that each VM reads from the platform.  A reader learns
 * of a change: a client must not count its own settings as the newest before
 * it has the change, and gets it from the reader.  With no reader left it
 * polls the platform in time.
 */
static void
test_operator_change (void)
{
  struct platform_ctx ctx[VMS];
  GArray *items = g_array_new (FALSE, TRUE, sizeof (struct follow_item));
  struct follow_item it;
  struct world w;
  int i;

  world_init (&w, ctx);
  world_start (&w, 0, VMS);
  /* Until all have polled, since nobody's polls were answered. */
  run_for (&w, 5500 * MS);
  w.vms[1].is_silent = true;
  for (i = 0; i < VMS; i++)
    answer_operator_poll (&w, i, NULL);
  run_for (&w, 200 * MS);
  g_assert_nonnull (w.done[0]);
  g_assert_null (w.done[3]);
  it = evacuation_of ("d9", ++w.version);
  g_array_append_val (items, it);
  answer_operator_poll (&w, 0, items);
  clear_items (items);
  run_for (&w, 1900 * MS);
  g_assert_true (fleet_is_evacuated (&w.vms[3].fleet, "d9"));
  g_assert_null (w.done[3]);
  g_assert_cmpint (settings_age (&w, 3), <=, 2300 * MS);
  w.vms[0].is_silent = true;
  run_for (&w, 1700 * MS);
  g_assert_nonnull (w.done[3]);
  world_clear (&w);
}

/*
 * Guards against a platform that all VMs read as a whole, again and again,
 * while it keeps no history.  Only the first reader does, and once a second;
 * the others learn of changes and removals from it.
 */
static void
test_lost_history (void)
{
  struct platform_ctx ctx[VMS];
  struct world w;
  int reads, i;

  world_init (&w, ctx);
  on_operator_timer (&w, loop_now_us ());
  world_start (&w, 0, VMS);
  run_for (&w, 2500 * MS);
  w.is_history_lost = true;
  run_for (&w, 2500 * MS);
  reads = w.reads;
  add_item (&w, FOLLOW_ITEM_ENDPOINT, "b");
  g_array_index (w.items, struct follow_item, 0).kind
      = FOLLOW_ITEM_ENDPOINT_REMOVED;
  run_for (&w, 4000 * MS);
  for (i = 0; i < VMS; i++)
    {
      g_assert_true (knows (&w, i, "b"));
      g_assert_false (knows (&w, i, "a"));
    }
  g_assert_cmpint (w.reads - reads, <=, 5);
  world_clear (&w);
}

const struct unit mirror_units[] = {
  { "/mirror/lost-history", test_lost_history },
  { "/mirror/differential", test_differential },
  { "/mirror/removed-stays", test_removed_stays },
  { "/mirror/readers", test_readers },
  { "/mirror/seals", test_seals },
  { "/mirror/clients", test_clients },
  { "/mirror/silent-readers", test_silent_readers },
  { "/mirror/frozen-chain", test_frozen_chain },
  { "/mirror/operator-change", test_operator_change },
  { NULL, NULL },
};
