/*
 * Unit tests of the directory of stored parts: what is fetched, what is saved
 * and where, and that nothing is freed while it may still be read.
 */
#include <glib.h>
#include <string.h>

#include "decide.h"
#include "partfeed.h"
#include "units.h"

#define S CQ_US_PER_S
#define MS CQ_US_PER_MS

static void
add_store (struct fleet_conf *c, const char *address, int64_t capacity,
           int64_t mbit_s, int64_t first_us)
{
  struct fleet_service *sv = g_new0 (struct fleet_service, 1);

  sv->name = g_strdup (address);
  sv->store_address = g_strdup (address);
  sv->domain = g_strdup ("d");
  sv->kv_capacity_tokens = capacity;
  sv->link_mbit_s = mbit_s;
  sv->transfer_latency_us = first_us;
  g_hash_table_replace (c->services, sv->name, sv);
}

/* Two stores: a small fast one and a large slow one, both synchronized and
   empty. */
static void
two_stores (struct parts *p)
{
  struct fleet_conf *c = fleet_conf_new ();
  struct parts_store *s;

  add_store (c, "fast", 10000, 250000, 500);
  add_store (c, "roomy", 100000, 160000, 6000);
  parts_init (p);
  parts_take_conf (p, c);
  fleet_conf_unref (c);
  APR_RING_FOREACH (s, &p->stores, parts_store, link)
  {
    parts_store_reset (s, 7, 0, 0);
    parts_store_replied (s, 50000, 10 * S);
    parts_store_synced (s, 10 * S);
  }
}

static const struct part prompt[] = {
  { "head", 512 },
  { "draft", 8000 },
  { "own", 2000 },
};

static struct parts_query
query (void)
{
  struct parts_query q = { .scope = "m.v1", .list = prompt, .nparts = 3 };

  q.domain = "d";
  q.weights_fresh_us = 10 * S;
  return q;
}

static void
add_stored (struct parts *p, const char *store, const char *id, int64_t tokens)
{
  struct part_stored h = { .tokens = tokens };

  g_strlcpy (h.scope, "m.v1", sizeof h.scope);
  g_strlcpy (h.id, id, sizeof h.id);
  parts_added (parts_find_store (p, store), &h);
}

/* Nothing is stored yet: shared parts are saved, small ones where a transfer
   starts soon, large ones where there is capacity; the request's own part is
   not saved.  The next request does not save the parts again while the saves
   are in progress. */
static void
test_saves (void)
{
  struct parts p;
  struct parts_plan plan;
  struct parts_query q = query ();

  two_stores (&p);
  parts_plan (&p, &q, 10 * S, &plan);
  g_assert_cmpint (plan.nfetch, ==, 0);
  g_assert_cmpstr (plan.save[0], ==, "fast");
  g_assert_cmpstr (plan.save[1], ==, "roomy");
  g_assert_null (plan.save[2]);
  parts_plan (&p, &q, 10 * S + 100 * MS, &plan);
  g_assert_cmpint (plan.nsave, ==, 0);
  parts_clear (&p);
}

/*
 * Guards against fetched parts that are prefilled again.  A prompt begins with
 * a head that is too small to be worth a transfer by itself; if it is not
 * fetched, it is often missing at an endpoint, and the part behind it cannot
 * be used.  For a prompt that shares almost nothing, nothing is planned.
 */
static void
test_small_head (void)
{
  static const struct part chain[]
      = { { "tiny", 20 }, { "draft", 8000 }, { "own", 2000 } };
  static const struct part little[] = { { "tiny", 20 }, { "own", 2000 } };
  struct parts p;
  struct parts_plan plan;
  struct parts_query q = query ();

  two_stores (&p);
  q.list = chain;
  parts_plan (&p, &q, 10 * S, &plan);
  g_assert_cmpint (plan.nsave, ==, 2);
  add_stored (&p, "fast", "tiny", 20);
  add_stored (&p, "roomy", "draft", 8000);
  parts_plan (&p, &q, 10 * S, &plan);
  g_assert_cmpint (plan.nfetch, ==, 2);
  q.list = little;
  q.nparts = 2;
  parts_plan (&p, &q, 10 * S, &plan);
  g_assert_cmpint (plan.nfetch + plan.nsave, ==, 0);
  parts_clear (&p);
}

/* A part that is stored complete is fetched; an incomplete one is not: the
   request would use its missing end as if it were present. */
static void
test_whole_only (void)
{
  struct parts p;
  struct parts_plan plan;
  struct parts_query q = query ();

  two_stores (&p);
  add_stored (&p, "fast", "head", 512);
  add_stored (&p, "roomy", "draft", 7999);
  parts_plan (&p, &q, 10 * S, &plan);
  g_assert_cmpstr (plan.fetch[0], ==, "fast");
  g_assert_null (plan.fetch[1]);
  add_stored (&p, "roomy", "draft", 8000);
  parts_plan (&p, &q, 10 * S, &plan);
  g_assert_cmpstr (plan.fetch[1], ==, "roomy");
  g_assert_cmpint (plan.fetch_tokens, ==, 8512);
  /* Expires 250 ms after now on the stores' clock. */
  g_assert_cmpint (plan.fetch_deadline_ms, ==, 50250);
  parts_clear (&p);
}

/* A part is not found under another scope: of other weights, or of a workspace
   that shares nothing. */
static void
test_scopes (void)
{
  struct parts p;
  struct parts_plan plan;
  struct parts_query q = query ();
  char scope[PARTS_SCOPE_SIZE];

  two_stores (&p);
  add_stored (&p, "fast", "head", 512);
  parts_scope_name (scope, "m", 1, "weavers");
  q.scope = scope;
  parts_plan (&p, &q, 10 * S, &plan);
  g_assert_cmpint (plan.nfetch, ==, 0);
  parts_scope_name (scope, "m", 2, "");
  parts_plan (&p, &q, 10 * S, &plan);
  g_assert_cmpint (plan.nfetch, ==, 0);
  parts_clear (&p);
}

/* A store restarts empty, does not reply, or was not polled: nothing is
   fetched from it until it replies. */
static void
test_lost_store (void)
{
  struct parts p;
  struct parts_plan plan;
  struct parts_query q = query ();

  two_stores (&p);
  add_stored (&p, "fast", "head", 512);
  parts_plan (&p, &q, 10 * S, &plan);
  g_assert_cmpint (plan.nfetch, ==, 1);
  parts_store_unreachable (parts_find_store (&p, "fast"));
  parts_plan (&p, &q, 10 * S, &plan);
  g_assert_cmpint (plan.nfetch, ==, 0);
  q.weights_fresh_us = 19 * S;
  parts_plan (&p, &q, 19 * S, &plan);
  g_assert_cmpint (plan.nfetch + plan.nsave, ==, 0);
  parts_store_replied (parts_find_store (&p, "fast"), 54000, 19 * S);
  parts_store_synced (parts_find_store (&p, "fast"), 19 * S);
  parts_plan (&p, &q, 19 * S, &plan);
  g_assert_cmpint (plan.nfetch, ==, 1);
  parts_store_reset (parts_find_store (&p, "fast"), 8, 0, 19 * S);
  parts_plan (&p, &q, 19 * S, &plan);
  g_assert_cmpint (plan.nfetch, ==, 0);
  parts_clear (&p);
}

/* A full store evicts nothing by itself, and a save that exceeds its capacity
   is lost: the part is saved to the other store, or to none. */
static void
test_full (void)
{
  struct parts p;
  struct parts_plan plan;
  struct parts_query q = query ();

  two_stores (&p);
  add_stored (&p, "fast", "x", 9400);
  parts_plan (&p, &q, 10 * S, &plan);
  g_assert_cmpstr (plan.save[0], ==, "roomy");
  add_stored (&p, "roomy", "y", 90000);
  parts_plan (&p, &q, 20 * S, &plan);
  g_assert_null (plan.save[1]);
  parts_clear (&p);
}

/*
 * Newer weights are named at time zero.  VMs learn of it at any time, or are
 * partitioned and learn nothing; one of them frees the old parts as soon as it
 * may.  In none of these cases may a fetch of an old part still be running
 * then.
 */
static void
test_no_free_under_fetch (void)
{
  int64_t heard, fresh, now;
  int64_t last_void = 0;
  int64_t first_free = INT64_MAX;

  for (heard = 0; heard <= 20 * S; heard += 250 * MS)
    for (now = heard; now <= heard + 20 * S; now += 100 * MS)
      if (parts_may_free (heard, now) && now < first_free)
        first_free = now;
  /* FRESH is when the VM's information was current, HEARD when it learned of
     the newer weights; information from before the naming was current at zero
     at the latest. */
  for (fresh = -3 * S; fresh <= 0; fresh += 100 * MS)
    for (heard = 0; heard <= 20 * S; heard += 250 * MS)
      for (now = 0; now <= 20 * S; now += 100 * MS)
        {
          struct parts p;
          struct parts_plan plan;
          struct parts_query q = query ();
          struct parts_store *s;

          /* Times are shifted so that none is zero. */
          two_stores (&p);
          add_stored (&p, "fast", "head", 512);
          s = parts_find_store (&p, "fast");
          parts_store_replied (s, (100 * S + now) / MS, 100 * S + now);
          parts_store_synced (s, 100 * S + now);
          q.outdated = now >= heard;
          q.outdated_since_us = 100 * S + fresh;
          q.weights_fresh_us = 100 * S + (now >= heard ? now : fresh);
          q.wait_us = 20 * S;
          parts_plan (&p, &q, 100 * S + now, &plan);
          if (plan.nfetch > 0
              && plan.fetch_deadline_ms * MS - 100 * S > last_void)
            last_void = plan.fetch_deadline_ms * MS - 100 * S;
          parts_clear (&p);
        }
  g_assert_cmpint (last_void, >, 4 * S);
  g_assert_cmpint (last_void, <, first_free);
}

/*
 * A store restarts empty at time zero.  One VM detects that at once, or later,
 * and saves parts there again; another has not detected it, and considers the
 * parts still complete.  All fetches of the second VM must have expired before
 * a part can be stored incompletely.
 */
static void
test_no_fetch_of_part_saved_again (void)
{
  int64_t known, heard, now;
  int64_t last_void = 0;
  int64_t first_save = INT64_MAX;
  struct parts p;
  struct parts_plan plan;
  struct parts_query q = query ();
  struct parts_store *s;

  for (known = -5 * S; known <= 0; known += 100 * MS)
    for (now = 0; now <= 10 * S; now += 100 * MS)
      {
        two_stores (&p);
        add_stored (&p, "fast", "head", 512);
        s = parts_find_store (&p, "fast");
        parts_store_replied (s, 100 * S / MS, 100 * S);
        parts_store_synced (s, 100 * S + known);
        q.weights_fresh_us = 100 * S + now;
        q.wait_us = 20 * S;
        parts_plan (&p, &q, 100 * S + now, &plan);
        if (plan.nfetch > 0
            && plan.fetch_deadline_ms * MS - 100 * S > last_void)
          last_void = plan.fetch_deadline_ms * MS - 100 * S;
        parts_clear (&p);
      }
  for (heard = 0; heard <= 3 * S; heard += 100 * MS)
    for (now = heard; now <= 10 * S; now += 100 * MS)
      {
        two_stores (&p);
        s = parts_find_store (&p, "fast");
        parts_store_reset (s, 8, 0, 100 * S + heard);
        parts_store_replied (s, (100 * S + now) / MS, 100 * S + now);
        parts_store_synced (s, 100 * S + now);
        q.weights_fresh_us = 100 * S + now;
        parts_plan (&p, &q, 100 * S + now, &plan);
        if (plan.save[0] != NULL && strcmp (plan.save[0], "fast") == 0
            && now < first_save)
          first_save = now;
        parts_clear (&p);
      }
  g_assert_cmpint (last_void, >, 5 * S);
  g_assert_cmpint (first_save, <, 8 * S);
  g_assert_cmpint (last_void, <, first_save);
}

/*
 * A store is unavailable and comes back, empty, after two seconds.  A VM that
 * has not polled it since must save nothing there: another VM that has not
 * detected the restart either could fetch an incomplete part.
 */
static void
test_no_save_on_old_knowledge (void)
{
  struct parts p;
  struct parts_plan plan;
  struct parts_query q = query ();

  two_stores (&p);
  q.weights_fresh_us = 11 * S;
  parts_plan (&p, &q, 11 * S, &plan);
  g_assert_cmpint (plan.nsave, ==, 2);
  parts_clear (&p);
  two_stores (&p);
  q.weights_fresh_us = 12 * S;
  parts_plan (&p, &q, 12 * S, &plan);
  g_assert_cmpint (plan.nsave, ==, 0);
  parts_clear (&p);
}

/* --- polling a store ------------------------------------------------- */

/* A simulated store: the test sends each reply. */
struct simulated_store
{
  struct loop *loop;     /* runs the timers */
  struct parts parts;    /* directory */
  struct partfeed *feed; /* under test */
  partfeed_done done;    /* callback of the call in progress */
  void *arg;             /* its argument */
  int64_t wait_us;       /* wait of the last poll */
  int polls;             /* polls so far */
  bool stop_at_poll;     /* the next poll ends the loop */
};

static void
poll_events (void *ctx, const char *address, int64_t since, int64_t wait_us,
             partfeed_done done, void *arg)
{
  struct simulated_store *p = ctx;

  (void)address;
  (void)since;
  p->done = done;
  p->arg = arg;
  p->wait_us = wait_us;
  p->polls++;
  if (p->stop_at_poll)
    loop_stop (p->loop);
}

static void
read_list (void *ctx, const char *address, partfeed_done done, void *arg)
{
  struct simulated_store *p = ctx;

  (void)address;
  p->done = done;
  p->arg = arg;
}

static void
send_reply (struct simulated_store *p, enum partfeed_status code)
{
  struct partfeed_reply n = { .status = code, .epoch = 7, .clock_ms = 50000 };

  n.events = g_array_new (FALSE, TRUE, sizeof (struct partfeed_event));
  p->done (p->arg, &n);
  g_array_free (n.events, TRUE);
}

/*
 * A store that many VMs poll refuses a poll.  If the VM polled again
 * immediately, it would be refused again, and would not learn what is stored.
 * It must pause, send a short poll, and continue to pause after a reply.  The
 * store counts as alive in the meantime, and as unreachable once it does not
 * reply.
 */
static void
test_crowded_store (void)
{
  struct simulated_store p = { .loop = loop_new () };
  struct partfeed_opts o = { .loop = p.loop, .parts = &p.parts, .seed = 1 };
  struct fleet_conf *c = fleet_conf_new ();
  struct parts_store *s;
  int64_t began;

  o.ops.events = poll_events;
  o.ops.list = read_list;
  o.ops.ctx = &p;
  add_store (c, "fast", 10000, 250000, 500);
  parts_init (&p.parts);
  p.feed = partfeed_new (&o);
  partfeed_take_conf (p.feed, c);
  send_reply (&p, PARTFEED_OK);
  g_assert_cmpint (p.polls, ==, 1);
  g_assert_cmpint (p.wait_us, ==, S);
  began = loop_now_us ();
  send_reply (&p, PARTFEED_RATE_LIMITED);
  g_assert_cmpint (p.polls, ==, 1);
  p.stop_at_poll = true;
  loop_run (p.loop);
  /* At least half of the first pause, 200 ms. */
  g_assert_cmpint (loop_now_us () - began, >=, 95 * MS);
  g_assert_cmpint (p.wait_us, <, S);
  s = parts_find_store (&p.parts, "fast");
  g_assert_cmpint (s->replied_us, >=, began);
  send_reply (&p, PARTFEED_OK);
  g_assert_cmpint (p.polls, ==, 2);
  loop_run (p.loop);
  send_reply (&p, PARTFEED_NO_REPLY);
  g_assert_cmpint (s->replied_us, ==, 0);
  partfeed_stop (p.feed);
  partfeed_free (p.feed);
  parts_clear (&p.parts);
  fleet_conf_unref (c);
  loop_free (p.loop);
}

/* A VM that is among the first ones only if *ARG, and always a follower. */
static bool
ranks_within (void *arg, uint64_t key, int places)
{
  const bool *among = arg;

  (void)key;
  return *among || places > partfeed_max_continuous (0);
}

/* Guards against continuous polls by more VMs than a store accepts.  A VM that
   is not among the first pauses between polls, always has recent enough
   information for fetches, and saves only shortly after a poll. */
static void
test_loose_follower (void)
{
  struct simulated_store p = { .loop = loop_new () };
  struct partfeed_opts o = { .loop = p.loop, .parts = &p.parts, .seed = 1 };
  struct fleet_conf *c = fleet_conf_new ();
  struct parts_query q = query ();
  struct parts_store *s;
  struct parts_plan plan;
  bool among = false;
  int64_t began, now;
  int i;

  o.ops.events = poll_events;
  o.ops.list = read_list;
  o.ops.ctx = &p;
  o.ranks_within = ranks_within;
  o.arg = &among;
  add_store (c, "fast", 100000, 250000, 500);
  parts_init (&p.parts);
  p.feed = partfeed_new (&o);
  partfeed_take_conf (p.feed, c);
  send_reply (&p, PARTFEED_OK);
  p.stop_at_poll = true;
  for (i = 0; i < 2; i++)
    {
      began = loop_now_us ();
      send_reply (&p, PARTFEED_OK);
      loop_run (p.loop);
      now = loop_now_us ();
      g_assert_cmpint (now - began, >=, S / 2);
      g_assert_cmpint (now - began, <, 2 * S);
      g_assert_cmpint (p.wait_us, <, S);
    }
  add_stored (&p.parts, "fast", "draft", 8000);
  s = parts_find_store (&p.parts, "fast");
  s->no_save_until_us = 0;
  now = s->synced_us + 2 * S;
  q.weights_fresh_us = now;
  parts_plan (&p.parts, &q, now, &plan);
  g_assert_cmpint (plan.nfetch, ==, 1);
  g_assert_cmpint (plan.nsave, ==, 0);
  parts_plan (&p.parts, &q, now - S, &plan);
  g_assert_cmpint (plan.nfetch, ==, 1);
  g_assert_cmpint (plan.nsave, ==, 1);
  partfeed_stop (p.feed);
  partfeed_free (p.feed);
  parts_clear (&p.parts);
  fleet_conf_unref (c);
  loop_free (p.loop);
}

/* A VM's rank for a store. */
struct rank
{
  int rank;      /* VMs before this one */
  bool is_known; /* the other VMs are known */
};

static bool
rank_is_within (void *arg, uint64_t key, int places)
{
  const struct rank *r = arg;

  (void)key;
  return r->rank < places;
}

static bool
rank_is_known (void *arg)
{
  const struct rank *r = arg;

  return r->is_known;
}

/* Whether a VM with RANK calls the store at its start, with ALL also one that
   frees parts. */
static bool
is_polled_at_rank (struct rank rank, bool all)
{
  struct simulated_store p = { .loop = loop_new () };
  struct partfeed_opts o = { .loop = p.loop, .parts = &p.parts, .seed = 1 };
  struct fleet_conf *c = fleet_conf_new ();

  o.ops.events = poll_events;
  o.ops.list = read_list;
  o.ops.ctx = &p;
  o.ranks_within = rank_is_within;
  o.is_rank_known = rank_is_known;
  o.arg = &rank;
  add_store (c, "fast", 10000, 250000, 500);
  parts_init (&p.parts);
  p.feed = partfeed_new (&o);
  partfeed_take_conf (p.feed, c);
  partfeed_follow_all (p.feed, all, loop_now_us ());
  partfeed_stop (p.feed);
  partfeed_free (p.feed);
  parts_clear (&p.parts);
  fleet_conf_unref (c);
  loop_free (p.loop);
  return p.done != NULL;
}

/* Guards against polls of a store that grow with the number of VMs: with
   hundreds of VMs nearly all of them are refused. */
static void
test_followers_bounded (void)
{
  static const int sizes[] = { 10, 100, 1000, 10000 };
  int max = partfeed_max_followers (12);
  struct rank rank = { .is_known = true };
  int followers;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      followers = 0;
      for (rank.rank = 0; rank.rank < MIN (sizes[i], 2 * max); rank.rank++)
        followers += is_polled_at_rank (rank, false);
      g_assert_cmpint (followers, ==, MIN (sizes[i], max));
    }
  /* What the polls of all followers occupy is within the store's calls. */
  g_assert_cmpint (partfeed_max_continuous (12), <, 12);
  g_assert_cmpint (max - partfeed_max_continuous (12), <=,
                   (12 - partfeed_max_continuous (12)) * 5000 / 200);
  rank.rank = 10 * max;
  g_assert_true (is_polled_at_rank (rank, true));
  rank.is_known = false;
  rank.rank = 0;
  g_assert_false (is_polled_at_rank (rank, false));
}

/*
 * A store restarts.  A delayed reply of its previous incarnation lists parts
 * that no longer exist: a fetch of them would find nothing, or an incomplete
 * part that is being saved again.
 */
static void
test_store_of_life_before (void)
{
  struct simulated_store p = { .loop = loop_new () };
  struct partfeed_opts o = { .loop = p.loop, .parts = &p.parts, .seed = 1 };
  struct fleet_conf *c = fleet_conf_new ();
  struct partfeed_reply n = { .status = PARTFEED_OK, .epoch = 8 };
  struct parts_store *s;

  o.ops.events = poll_events;
  o.ops.list = read_list;
  o.ops.ctx = &p;
  add_store (c, "fast", 10000, 250000, 500);
  parts_init (&p.parts);
  p.feed = partfeed_new (&o);
  partfeed_take_conf (p.feed, c);
  s = parts_find_store (&p.parts, "fast");
  n.events = g_array_new (FALSE, TRUE, sizeof (struct partfeed_event));
  n.started_ms = 2000;
  p.done (p.arg, &n);
  g_assert_cmpint (s->epoch, ==, 8);
  n.epoch = 7;
  n.started_ms = 1000;
  p.done (p.arg, &n);
  g_assert_cmpint (s->epoch, ==, 8);
  p.stop_at_poll = true;
  loop_run (p.loop);
  /* A restart is detected also if the epoch is the same. */
  n.epoch = 8;
  n.started_ms = 3000;
  p.done (p.arg, &n);
  g_assert_cmpint (s->epoch, ==, 0);
  g_array_free (n.events, TRUE);
  partfeed_stop (p.feed);
  partfeed_free (p.feed);
  parts_clear (&p.parts);
  fleet_conf_unref (c);
  loop_free (p.loop);
}

const struct unit parts_units[] = {
  { "/parts/saves", test_saves },
  { "/parts/small-head", test_small_head },
  { "/parts/whole-only", test_whole_only },
  { "/parts/scopes", test_scopes },
  { "/parts/lost-store", test_lost_store },
  { "/parts/full", test_full },
  { "/parts/no-free-under-fetch", test_no_free_under_fetch },
  { "/parts/no-fetch-of-part-saved-again", test_no_fetch_of_part_saved_again },
  { "/parts/no-save-on-old-knowledge", test_no_save_on_old_knowledge },
  { "/partfeed/crowded-store", test_crowded_store },
  { "/partfeed/loose-follower", test_loose_follower },
  { "/partfeed/followers-bounded", test_followers_bounded },
  { "/partfeed/store-of-life-before", test_store_of_life_before },
  { NULL, NULL },
};
