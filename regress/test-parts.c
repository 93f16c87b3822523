/*
 * Unit tests of the directory of stored parts: what is fetched, what is saved
 * and where, and that nothing is freed while somebody may read it.
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

/* Two stores: a small fast one and a roomy slow one, both known and empty. */
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
    parts_forget (s, 7, 0, 0);
    parts_heard (s, 50000, 10 * S);
    parts_known (s, 10 * S);
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
  struct parts_query q = { .scope = "m.v1", .list = prompt, .n = 3 };

  q.domain = "d";
  q.fresh_us = 10 * S;
  return q;
}

static void
keep (struct parts *p, const char *store, const char *id, int64_t tokens)
{
  struct part_held h = { .tokens = tokens };

  g_strlcpy (h.scope, "m.v1", sizeof h.scope);
  g_strlcpy (h.id, id, sizeof h.id);
  parts_added (parts_find_store (p, store), &h);
}

/* Nothing is kept yet: shared parts are saved, small ones where a transfer
   starts soon, large ones where there is room; the request's own is not.  The
   next request does not save them again while that is under way. */
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
 * A prompt begins with a head that is too small to be worth a transfer by
 * itself.  Left to chance, it is often missing at an endpoint, and the part
 * behind it, fetched, is read all the same.  A prompt that shares next to
 * nothing is left alone.
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
  keep (&p, "fast", "tiny", 20);
  keep (&p, "roomy", "draft", 8000);
  parts_plan (&p, &q, 10 * S, &plan);
  g_assert_cmpint (plan.nfetch, ==, 2);
  q.list = little;
  q.n = 2;
  parts_plan (&p, &q, 10 * S, &plan);
  g_assert_cmpint (plan.nfetch + plan.nsave, ==, 0);
  parts_clear (&p);
}

/* A part that is kept whole is fetched; one kept in part is not: its missing
   end would be read as if it were there. */
static void
test_whole_only (void)
{
  struct parts p;
  struct parts_plan plan;
  struct parts_query q = query ();

  two_stores (&p);
  keep (&p, "fast", "head", 512);
  keep (&p, "roomy", "draft", 7999);
  parts_plan (&p, &q, 10 * S, &plan);
  g_assert_cmpstr (plan.fetch[0], ==, "fast");
  g_assert_null (plan.fetch[1]);
  keep (&p, "roomy", "draft", 8000);
  parts_plan (&p, &q, 10 * S, &plan);
  g_assert_cmpstr (plan.fetch[1], ==, "roomy");
  g_assert_cmpint (plan.fetch_tokens, ==, 8512);
  /* Void a quarter second after now on the stores' clock. */
  g_assert_cmpint (plan.until_ms, ==, 50250);
  parts_clear (&p);
}

/* Another scope, of other weights or of a workspace that shares nothing, finds
   nothing of it. */
static void
test_scopes (void)
{
  struct parts p;
  struct parts_plan plan;
  struct parts_query q = query ();
  char scope[PARTS_SCOPE_SIZE];

  two_stores (&p);
  keep (&p, "fast", "head", 512);
  parts_scope (scope, "m", 1, "weavers");
  q.scope = scope;
  parts_plan (&p, &q, 10 * S, &plan);
  g_assert_cmpint (plan.nfetch, ==, 0);
  parts_scope (scope, "m", 2, NULL);
  parts_plan (&p, &q, 10 * S, &plan);
  g_assert_cmpint (plan.nfetch, ==, 0);
  parts_clear (&p);
}

/* A store restarts empty, does not answer, or is not heard of: nothing is
   fetched from it until it answers. */
static void
test_lost_store (void)
{
  struct parts p;
  struct parts_plan plan;
  struct parts_query q = query ();

  two_stores (&p);
  keep (&p, "fast", "head", 512);
  parts_plan (&p, &q, 10 * S, &plan);
  g_assert_cmpint (plan.nfetch, ==, 1);
  parts_lost (parts_find_store (&p, "fast"));
  parts_plan (&p, &q, 10 * S, &plan);
  g_assert_cmpint (plan.nfetch, ==, 0);
  q.fresh_us = 19 * S;
  parts_plan (&p, &q, 19 * S, &plan);
  g_assert_cmpint (plan.nfetch + plan.nsave, ==, 0);
  parts_heard (parts_find_store (&p, "fast"), 54000, 19 * S);
  parts_known (parts_find_store (&p, "fast"), 19 * S);
  parts_plan (&p, &q, 19 * S, &plan);
  g_assert_cmpint (plan.nfetch, ==, 1);
  parts_forget (parts_find_store (&p, "fast"), 8, 0, 19 * S);
  parts_plan (&p, &q, 19 * S, &plan);
  g_assert_cmpint (plan.nfetch, ==, 0);
  parts_clear (&p);
}

/* A full store drops nothing by itself, and a save it has no room for is
   lost: the other one gets it, or none. */
static void
test_full (void)
{
  struct parts p;
  struct parts_plan plan;
  struct parts_query q = query ();

  two_stores (&p);
  keep (&p, "fast", "x", 9400);
  parts_plan (&p, &q, 10 * S, &plan);
  g_assert_cmpstr (plan.save[0], ==, "roomy");
  keep (&p, "roomy", "y", 90000);
  parts_plan (&p, &q, 20 * S, &plan);
  g_assert_null (plan.save[1]);
  parts_clear (&p);
}

/*
 * Newer weights are named at zero.  VMs hear of it at any time, or are cut off
 * and hear nothing; one of them frees the old parts as soon as it may.  Over
 * all of these, no fetch of an old part may still be running then.
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
  /* FRESH is when the VM's knowledge was current, HEARD when it heard, or
     never; what it knew before the naming it knew at the latest at zero. */
  for (fresh = -3 * S; fresh <= 0; fresh += 100 * MS)
    for (heard = 0; heard <= 20 * S; heard += 250 * MS)
      for (now = 0; now <= 20 * S; now += 100 * MS)
        {
          struct parts p;
          struct parts_plan plan;
          struct parts_query q = query ();
          struct parts_store *s;

          /* Times are shifted, so that none is zero. */
          two_stores (&p);
          keep (&p, "fast", "head", 512);
          s = parts_find_store (&p, "fast");
          parts_heard (s, (100 * S + now) / MS, 100 * S + now);
          parts_known (s, 100 * S + now);
          q.outdated = now >= heard;
          q.named_us = 100 * S + fresh;
          q.fresh_us = 100 * S + (now >= heard ? now : fresh);
          q.wait_us = 20 * S;
          parts_plan (&p, &q, 100 * S + now, &plan);
          if (plan.nfetch > 0 && plan.until_ms * MS - 100 * S > last_void)
            last_void = plan.until_ms * MS - 100 * S;
          parts_clear (&p);
        }
  g_assert_cmpint (last_void, >, 4 * S);
  g_assert_cmpint (last_void, <, first_free);
}

/*
 * A store restarts empty at zero.  One VM hears of it at once, or later, and
 * has parts saved there again; another has not heard, and believes that the
 * store still holds them whole.  It must have stopped reading, with the
 * fetches that it began, before the first part can be there by half.
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
        keep (&p, "fast", "head", 512);
        s = parts_find_store (&p, "fast");
        parts_heard (s, 100 * S / MS, 100 * S);
        parts_known (s, 100 * S + known);
        q.fresh_us = 100 * S + now;
        q.wait_us = 20 * S;
        parts_plan (&p, &q, 100 * S + now, &plan);
        if (plan.nfetch > 0 && plan.until_ms * MS - 100 * S > last_void)
          last_void = plan.until_ms * MS - 100 * S;
        parts_clear (&p);
      }
  for (heard = 0; heard <= 3 * S; heard += 100 * MS)
    for (now = heard; now <= 10 * S; now += 100 * MS)
      {
        two_stores (&p);
        s = parts_find_store (&p, "fast");
        parts_forget (s, 8, 0, 100 * S + heard);
        parts_heard (s, (100 * S + now) / MS, 100 * S + now);
        parts_known (s, 100 * S + now);
        q.fresh_us = 100 * S + now;
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
 * A store goes away and is back, empty, after two seconds.  A VM that has not
 * asked it since knows nothing of that; had it a part saved there, another VM
 * that does not know either could fetch it by half.
 */
static void
test_no_save_on_old_knowledge (void)
{
  struct parts p;
  struct parts_plan plan;
  struct parts_query q = query ();

  two_stores (&p);
  q.fresh_us = 11 * S;
  parts_plan (&p, &q, 11 * S, &plan);
  g_assert_cmpint (plan.nsave, ==, 2);
  parts_clear (&p);
  two_stores (&p);
  q.fresh_us = 12 * S;
  parts_plan (&p, &q, 12 * S, &plan);
  g_assert_cmpint (plan.nsave, ==, 0);
  parts_clear (&p);
}

/* --- following a store ----------------------------------------------- */

/* A played store: the test hands out each answer. */
struct played
{
  struct loop *loop;     /* for pauses */
  struct parts parts;    /* directory */
  struct partfeed *feed; /* under test */
  part_news_done done;   /* waiting for news */
  void *arg;             /* for it */
  int64_t wait_us;       /* that the last poll asked for */
  int polls;             /* so far */
  bool stop_at_poll;     /* the next one ends the loop */
};

static void
ask_events (void *ctx, const char *address, int64_t since, int64_t wait_us,
            part_news_done done, void *arg)
{
  struct played *p = ctx;

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
ask_list (void *ctx, const char *address, part_news_done done, void *arg)
{
  struct played *p = ctx;

  (void)address;
  p->done = done;
  p->arg = arg;
}

static void
tell (struct played *p, enum part_code code)
{
  struct part_news n = { .code = code, .epoch = 7, .clock_ms = 50000 };

  n.events = g_array_new (FALSE, TRUE, sizeof (struct part_event));
  p->done (p->arg, &n);
  g_array_free (n.events, TRUE);
}

/*
 * A store that many VMs follow turns a poll away.  Asked again at once it
 * would be turned away again, and the VM would know of nothing that is kept;
 * it pauses, asks for a short poll, and goes on pausing after an answer.  The
 * store counts as alive all the while, and as lost once it does not answer.
 */
static void
test_crowded_store (void)
{
  struct played p = { .loop = loop_new () };
  struct partfeed_opts o = { .loop = p.loop, .parts = &p.parts, .seed = 1 };
  struct fleet_conf *c = fleet_conf_new ();
  struct parts_store *s;
  int64_t began;

  o.ops.events = ask_events;
  o.ops.list = ask_list;
  o.ops.ctx = &p;
  add_store (c, "fast", 10000, 250000, 500);
  parts_init (&p.parts);
  p.feed = partfeed_new (&o);
  partfeed_take_conf (p.feed, c);
  tell (&p, PARTS_ANSWERED);
  g_assert_cmpint (p.polls, ==, 1);
  g_assert_cmpint (p.wait_us, ==, S);
  began = loop_now_us ();
  tell (&p, PARTS_CROWDED);
  g_assert_cmpint (p.polls, ==, 1);
  p.stop_at_poll = true;
  loop_run (p.loop);
  /* Half of the first pause, of 200 ms, at the least. */
  g_assert_cmpint (loop_now_us () - began, >=, 95 * MS);
  g_assert_cmpint (p.wait_us, <, S);
  s = parts_find_store (&p.parts, "fast");
  g_assert_cmpint (s->heard_us, >=, began);
  tell (&p, PARTS_ANSWERED);
  g_assert_cmpint (p.polls, ==, 2);
  loop_run (p.loop);
  tell (&p, PARTS_SILENT);
  g_assert_cmpint (s->heard_us, ==, 0);
  partfeed_stop (p.feed);
  partfeed_free (p.feed);
  parts_clear (&p.parts);
  fleet_conf_unref (c);
  loop_free (p.loop);
}

static bool
is_among (void *arg, uint64_t key, int places)
{
  const bool *among = arg;

  (void)key;
  (void)places;
  return *among;
}

/* Guards against polls without a pause, by more VMs than a store has room for:
   one that follows it loosely pauses, always knows enough for fetches, and
   saves only as long as its last poll is young. */
static void
test_loose_follower (void)
{
  struct played p = { .loop = loop_new () };
  struct partfeed_opts o = { .loop = p.loop, .parts = &p.parts, .seed = 1 };
  struct fleet_conf *c = fleet_conf_new ();
  struct parts_query q = query ();
  struct parts_store *s;
  struct parts_plan plan;
  bool among = false;
  int64_t began, now;
  int i;

  o.ops.events = ask_events;
  o.ops.list = ask_list;
  o.ops.ctx = &p;
  o.is_among = is_among;
  o.arg = &among;
  add_store (c, "fast", 100000, 250000, 500);
  parts_init (&p.parts);
  p.feed = partfeed_new (&o);
  partfeed_take_conf (p.feed, c);
  tell (&p, PARTS_ANSWERED);
  p.stop_at_poll = true;
  for (i = 0; i < 2; i++)
    {
      began = loop_now_us ();
      tell (&p, PARTS_ANSWERED);
      loop_run (p.loop);
      now = loop_now_us ();
      g_assert_cmpint (now - began, >=, S / 2);
      g_assert_cmpint (now - began, <, 2 * S);
      g_assert_cmpint (p.wait_us, <, S);
    }
  keep (&p.parts, "fast", "draft", 8000);
  s = parts_find_store (&p.parts, "fast");
  s->save_from_us = 0;
  now = s->known_us + 2 * S;
  q.fresh_us = now;
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

/*
 * A store starts again.  An answer of its life before, still on the way, lists
 * parts that are gone: fetched, they would be missed, or be read by half where
 * they are being saved anew.
 */
static void
test_store_of_life_before (void)
{
  struct played p = { .loop = loop_new () };
  struct partfeed_opts o = { .loop = p.loop, .parts = &p.parts, .seed = 1 };
  struct fleet_conf *c = fleet_conf_new ();
  struct part_news n = { .code = PARTS_ANSWERED, .epoch = 8 };
  struct parts_store *s;

  o.ops.events = ask_events;
  o.ops.list = ask_list;
  o.ops.ctx = &p;
  add_store (c, "fast", 10000, 250000, 500);
  parts_init (&p.parts);
  p.feed = partfeed_new (&o);
  partfeed_take_conf (p.feed, c);
  s = parts_find_store (&p.parts, "fast");
  n.events = g_array_new (FALSE, TRUE, sizeof (struct part_event));
  n.born_ms = 2000;
  p.done (p.arg, &n);
  g_assert_cmpint (s->epoch, ==, 8);
  n.epoch = 7;
  n.born_ms = 1000;
  p.done (p.arg, &n);
  g_assert_cmpint (s->epoch, ==, 8);
  p.stop_at_poll = true;
  loop_run (p.loop);
  /* Also where the epoch does not tell. */
  n.epoch = 8;
  n.born_ms = 3000;
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
  { "/partfeed/store-of-life-before", test_store_of_life_before },
  { NULL, NULL },
};
