/*
 * Unit tests of lives: endpoints that start again under their id, late news of
 * lives that are over, and entries that other writers made.
 */
#include <glib.h>
#include <string.h>

#include "decide.h"
#include "fleet.h"
#include "platform/platform.h"
#include "units.h"

#define S CQ_US_PER_S
#define MS CQ_US_PER_MS

static struct fleet_listing
listing (int64_t born_ms, int64_t version)
{
  struct fleet_listing l = { .started_ms = born_ms, .version = version };

  g_strlcpy (l.id, "e", sizeof l.id);
  g_strlcpy (l.service, "model", sizeof l.service);
  g_strlcpy (l.address, "127.0.0.1:1", sizeof l.address);
  g_strlcpy (l.model, "m", sizeof l.model);
  l.slots = 8;
  return l;
}

static struct fleet_endpoint *
take (struct fleet *f, int64_t born_ms, int64_t version, bool draining)
{
  struct fleet_listing l = listing (born_ms, version);

  l.draining = draining;
  return fleet_apply_listing (f, &l, S);
}

/*
 * An endpoint leaves, full, slow and failing, and is back empty under its id.
 * Callers would find it closed for good, or wait for work that it has no
 * more.  Nothing of the first life is believed of the second, also what
 * requests that still end there say.
 */
static void
test_started_again (void)
{
  struct fleet f;
  struct fleet_endpoint *old, *e;

  fleet_init (&f);
  old = fleet_endpoint_ref (take (&f, 1000, 1, true));
  pick_request_sent (old);
  pick_load_reported (old, 40, S);
  pick_first_chunk (&f, old, 3 * S, S);
  pick_request_failed (old, S);
  pick_request_failed (old, S);
  pick_overload_refused (old, S);
  fleet_apply_version (old, 2, FLEET_NEVER, S);
  e = take (&f, 2000, 2, false);
  g_assert_true (e != old);
  g_assert_true (old->removed);
  pick_request_ended (old);
  pick_load_reported (old, 30, S);
  g_assert_false (e->draining);
  g_assert_cmpint (e->running, ==, 0);
  g_assert_cmpint (pick_load (e, S), ==, 0);
  g_assert_cmpint (e->failures, ==, 0);
  g_assert_cmpint (e->backoff_until_us, ==, 0);
  g_assert_cmpint (e->full_until_us, ==, 0);
  g_assert_cmpint (e->first_chunk.updated_us, ==, 0);
  g_assert_cmpint (e->version, ==, 2);
  g_assert_true (g_hash_table_lookup (f.by_id, "e") == e);
  g_assert_true (APR_RING_FIRST (&f.endpoints) == e);
  g_assert_true (APR_RING_NEXT (e, link)
                 == APR_RING_SENTINEL (&f.endpoints, fleet_endpoint, link));
  fleet_endpoint_unref (old);
  fleet_clear (&f);
}

/*
 * A heartbeat of the first life was held up, and is written over the second
 * one's entry: it says that the endpoint leaves, with old weights.  Callers
 * would lose a sound endpoint.  The same start is the same life, and one that
 * says no start cannot be placed.
 */
static void
test_late_news (void)
{
  struct fleet f;
  struct fleet_endpoint *e;

  fleet_init (&f);
  e = take (&f, 2000, 3, false);
  g_assert_true (take (&f, 1000, 9, true) == e);
  g_assert_true (take (&f, 0, 9, true) == e);
  g_assert_false (e->draining);
  g_assert_cmpint (e->version, ==, 3);
  g_assert_true (take (&f, 2000, 3, true) == e);
  g_assert_true (e->draining);
  g_assert_true (take (&f, 2000, 3, false) == e);
  g_assert_true (e->draining);
  fleet_clear (&f);
}

/* Endpoints that say no start have one life by their id, as far as anybody
   can tell; when one begins to say it, that is a younger life. */
static void
test_no_start (void)
{
  struct fleet f;
  struct fleet_endpoint *e;

  fleet_init (&f);
  e = take (&f, 0, 1, true);
  g_assert_true (take (&f, 0, 1, false) == e);
  g_assert_true (e->draining);
  g_assert_cmpint (fleet_incarnation_compare (e, 5), ==,
                   FLEET_INCARNATION_NEWER);
  e = take (&f, 5, 1, false);
  g_assert_false (e->draining);
  fleet_clear (&f);
}

/* Its own report says first that it started again: the rest of its entry
   holds, and it does not leave. */
static void
test_birth_by_report (void)
{
  struct fleet f;
  struct fleet_endpoint *old, *e;

  fleet_init (&f);
  old = take (&f, 1000, 1, true);
  fleet_apply_version (old, 4, FLEET_NEVER, S);
  e = fleet_apply_restart (&f, old, 2000, S);
  g_assert_cmpint (e->listing.started_ms, ==, 2000);
  g_assert_false (e->draining);
  g_assert_cmpint (e->version, ==, 4);
  g_assert_cmpstr (e->listing.address, ==, "127.0.0.1:1");
  g_assert_true (take (&f, 1000, 1, true) == e);
  g_assert_false (e->draining);
  fleet_clear (&f);
}

/*
 * An order to an earlier life is carried out after the restart, and weights
 * go back.  Believed to have the newest, the endpoint refuses all work of
 * callers and nobody orders it.  A word from after the belief counts; an
 * answer that was overtaken by a newer one does not.
 */
static void
test_weights_fall (void)
{
  struct fleet f;
  struct fleet_endpoint *e;

  fleet_init (&f);
  fleet_apply_wanted (&f, "m", 3, S, S);
  e = take (&f, 2000, 3, false);
  g_assert_false (fleet_needs_weights (&f, e));
  fleet_apply_version (e, 2, S - 1, 2 * S);
  g_assert_cmpint (e->version, ==, 3);
  fleet_apply_version (e, 2, S + 1, 2 * S);
  g_assert_cmpint (e->version, ==, 2);
  g_assert_true (fleet_needs_weights (&f, e));
  /* Sent before the fall was heard of, answered after it. */
  fleet_apply_version (e, 1, 2 * S - 1, 3 * S);
  g_assert_cmpint (e->version, ==, 2);
  fleet_apply_version (e, 3, FLEET_NEVER, 4 * S);
  g_assert_false (fleet_needs_weights (&f, e));
  /* It refuses its weights and names no others: somebody must ask it. */
  fleet_doubt_version (e);
  g_assert_true (fleet_needs_weights (&f, e));
  fleet_apply_version (e, 3, 4 * S, 5 * S);
  g_assert_true (fleet_needs_weights (&f, e));
  fleet_apply_version (e, 3, 4 * S + 1, 5 * S);
  g_assert_false (fleet_needs_weights (&f, e));
  fleet_clear (&f);
}

/* --- entries of other writers ---------------------------------------- */

#define GOOD                                                                  \
  "\"Service\":\"app\",\"Address\":\"10.0.0.1:80\",\"Zone\":\"d\","           \
  "\"State\":\"ready\",\"Slots\":8"

/*
 * Each of these says almost what an entry says.  Taken for one, a caller's
 * request would go to an address that somebody wrote down for another
 * purpose, or to an endpoint in a state that nobody knows.
 */
static void
test_flaws (void)
{
  static const struct
  {
    const char *text; /* of the entry */
    const char *flaw; /* NULL if it is good */
  } entries[] = {
    { "{" GOOD "}", NULL },
    { "{" GOOD ",\"born\":1785000000000,\"New\":{\"x\":[1]}}", NULL },
    { "{" GOOD ",\"Models\":[]}", NULL },
    { "{" GOOD ",\"Models\":[{\"Name\":\"m\",\"Version\":2}]}", NULL },
    { "", "no_object" },
    { "{" GOOD, "no_object" },
    { "[{" GOOD "}]", "no_object" },
    { "\xff\xfe", "no_object" },
    { "{" GOOD ",\"born\":\"1785000000000\"}", "born" },
    { "{" GOOD ",\"born\":1785000000000.5}", "born" },
    { "{" GOOD ",\"born\":0}", "born" },
    { "{" GOOD ",\"born\":null}", "born" },
    { "{" GOOD ",\"Service\":7}", "service" },
    { "{" GOOD ",\"Service\":\"\"}", "service" },
    { "{" GOOD ",\"Address\":\"app.example:80\"}", "address" },
    { "{" GOOD ",\"Address\":\"10.0.0.1\"}", "address" },
    { "{" GOOD ",\"Address\":\"10.0.0.1:0\"}", "address" },
    { "{" GOOD ",\"Address\":\"10.0.0.1:80/x\"}", "address" },
    { "{" GOOD ",\"Address\":{\"Ip\":\"10.0.0.1\"}}", "address" },
    { "{" GOOD ",\"Zone\":null}", "domain" },
    { "{" GOOD ",\"State\":\"asleep\"}", "state" },
    { "{" GOOD ",\"State\":true}", "state" },
    { "{" GOOD ",\"Slots\":\"8\"}", "slots" },
    { "{" GOOD ",\"Slots\":-1}", "slots" },
    { "{" GOOD ",\"Models\":\"m\"}", "model" },
    { "{" GOOD ",\"Models\":[\"m\"]}", "model" },
    { "{" GOOD ",\"Models\":[{\"Name\":\"m\",\"Version\":\"2\"}]}", "model" },
  };
  struct fleet_listing l;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (entries); i++)
    g_assert_cmpstr (
        pdecode_endpoint ("e", entries[i].text, strlen (entries[i].text), &l),
        ==, entries[i].flaw);
  pdecode_endpoint ("e", entries[1].text, strlen (entries[1].text), &l);
  g_assert_cmpint (l.started_ms, ==, INT64_C (1785000000000));
}

/* An entry names a service that the operator never declared, and the model
   whose weights change: nobody orders that address about, nor does it count
   among those that change. */
static void
test_undeclared (void)
{
  struct fleet f;
  struct fleet_conf *c = fleet_conf_new ();
  struct fleet_endpoint *e;

  fleet_init (&f);
  fleet_conf_build_index (c);
  fleet_apply_conf (&f, c, 1);
  fleet_apply_wanted (&f, "m", 3, S, S);
  e = take (&f, 1, 1, false);
  g_assert_nonnull (fleet_outdated_by (&f, e));
  g_assert_false (fleet_needs_weights (&f, e));
  fleet_clear (&f);
}

const struct unit lives_units[] = {
  { "/lives/started-again", test_started_again },
  { "/lives/late-news", test_late_news },
  { "/lives/no-start", test_no_start },
  { "/lives/birth-by-report", test_birth_by_report },
  { "/lives/weights-fall", test_weights_fall },
  { "/lives/flaws", test_flaws },
  { "/lives/undeclared", test_undeclared },
  { NULL, NULL },
};
