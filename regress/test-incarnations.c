/*
 * Unit tests of incarnations: endpoints that restart under their id, late
 * messages about earlier incarnations, and entries of other writers.
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
apply_entry (struct fleet *f, int64_t born_ms, int64_t version, bool draining)
{
  struct fleet_listing l = listing (born_ms, version);

  l.draining = draining;
  return fleet_apply_listing (f, &l, S);
}

/*
 * An endpoint leaves while it is full, slow and failing, and comes back empty
 * under its id.  Nothing known of the first incarnation may apply to the
 * second, also not what requests report that still end at the first.
 * Otherwise the endpoint would get no requests, or callers would wait for work
 * that it no longer has.
 */
static void
test_started_again (void)
{
  struct fleet f;
  struct fleet_endpoint *old, *e;

  fleet_init (&f);
  old = fleet_endpoint_ref (apply_entry (&f, 1000, 1, true));
  pick_request_sent (old);
  pick_load_reported (old, 40, S);
  pick_first_chunk (&f, old, 3 * S, S);
  pick_request_failed (old, S);
  pick_request_failed (old, S);
  pick_overload_refused (old, S);
  fleet_apply_version (old, 2, FLEET_NEVER, S);
  e = apply_entry (&f, 2000, 2, false);
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
 * A delayed heartbeat of the first incarnation overwrites the second one's
 * entry and says that the endpoint leaves, with old weights.  Callers would
 * lose a working endpoint for good: it is lost to them until its next
 * heartbeat.  An equal start time means the same incarnation; an entry without
 * one cannot be ordered.
 */
static void
test_late_entry (void)
{
  struct fleet f;
  struct fleet_endpoint *e;

  fleet_init (&f);
  e = apply_entry (&f, 2000, 3, false);
  g_assert_true (apply_entry (&f, 1000, 9, true) == e);
  g_assert_true (apply_entry (&f, 0, 9, true) == e);
  g_assert_cmpint (e->version, ==, 3);
  g_assert_true (apply_entry (&f, 2000, 3, false) == e);
  g_assert_false (e->draining);
  g_assert_true (apply_entry (&f, 2000, 3, true) == e);
  g_assert_true (e->draining);
  g_assert_true (apply_entry (&f, 2000, 3, false) == e);
  g_assert_true (e->draining);
  fleet_clear (&f);
}

/* Guards against requests to an endpoint whose entry says that it drains and
   cannot be ordered: it restarted with its clock behind, or gives no start
   time any more.  What it says itself is not taken back by an entry. */
static void
test_unordered_draining (void)
{
  struct fleet f;
  struct fleet_endpoint *e;

  fleet_init (&f);
  e = apply_entry (&f, 2000, 3, false);
  apply_entry (&f, 1000, 3, false);
  g_assert_false (e->draining);
  apply_entry (&f, 1000, 3, true);
  g_assert_true (e->draining);
  apply_entry (&f, 0, 3, false);
  g_assert_false (e->draining);
  apply_entry (&f, 0, 3, true);
  g_assert_true (e->draining);
  fleet_apply_draining (e);
  apply_entry (&f, 0, 3, false);
  g_assert_true (e->draining);
  apply_entry (&f, 2000, 3, false);
  g_assert_true (e->draining);
  fleet_clear (&f);
}

/* Endpoints without a start time have one incarnation by their id, as far as
   can be told; when one begins to give a start time, that is a newer
   incarnation. */
static void
test_no_start_time (void)
{
  struct fleet f;
  struct fleet_endpoint *e;

  fleet_init (&f);
  e = apply_entry (&f, 0, 1, true);
  g_assert_true (apply_entry (&f, 0, 1, false) == e);
  g_assert_true (e->draining);
  g_assert_cmpint (fleet_incarnation_compare (e, 5), ==,
                   FLEET_INCARNATION_NEWER);
  e = apply_entry (&f, 5, 1, false);
  g_assert_false (e->draining);
  fleet_clear (&f);
}

/* The endpoint's own report is the first to show that it restarted: the rest
   of its entry stays valid, and it does not leave. */
static void
test_restart_by_report (void)
{
  struct fleet f;
  struct fleet_endpoint *old, *e;

  fleet_init (&f);
  old = apply_entry (&f, 1000, 1, true);
  fleet_apply_version (old, 4, FLEET_NEVER, S);
  e = fleet_apply_restart (&f, old, 2000, S);
  g_assert_cmpint (e->listing.started_ms, ==, 2000);
  g_assert_false (e->draining);
  g_assert_cmpint (e->version, ==, 4);
  g_assert_cmpstr (e->listing.address, ==, "127.0.0.1:1");
  g_assert_true (apply_entry (&f, 1000, 1, true) == e);
  g_assert_false (e->draining);
  fleet_clear (&f);
}

/*
 * An order to an earlier incarnation is carried out after the restart, and the
 * endpoint returns to older weights.  If it were still taken to have the
 * newest, it would refuse all requests and get no order.  A report from after
 * the last known one counts; an answer that was overtaken by a newer one does
 * not.
 */
static void
test_older_weights (void)
{
  struct fleet f;
  struct fleet_endpoint *e;

  fleet_init (&f);
  fleet_apply_wanted (&f, "m", 3, S, S);
  e = apply_entry (&f, 2000, 3, false);
  g_assert_false (fleet_needs_weights (&f, e));
  fleet_apply_version (e, 2, S - 1, 2 * S);
  g_assert_cmpint (e->version, ==, 3);
  fleet_apply_version (e, 2, S + 1, 2 * S);
  g_assert_cmpint (e->version, ==, 2);
  g_assert_true (fleet_needs_weights (&f, e));
  /* Sent before the older version was known, answered after it. */
  fleet_apply_version (e, 1, 2 * S - 1, 3 * S);
  g_assert_cmpint (e->version, ==, 2);
  fleet_apply_version (e, 3, FLEET_NEVER, 4 * S);
  g_assert_false (fleet_needs_weights (&f, e));
  /* It refuses its weights and names no others, so its state must be queried.
   */
  fleet_doubt_version (e);
  g_assert_true (fleet_needs_weights (&f, e));
  fleet_apply_version (e, 3, 4 * S, 5 * S);
  g_assert_true (fleet_needs_weights (&f, e));
  fleet_apply_version (e, 3, 4 * S + 1, 5 * S);
  g_assert_false (fleet_needs_weights (&f, e));
  fleet_clear (&f);
}

/* --- entries of other writers ---------------------------------------- */

#define VALID                                                                 \
  "\"Service\":\"app\",\"Address\":\"10.0.0.1:80\",\"Zone\":\"d\","           \
  "\"State\":\"ready\",\"Slots\":8"

/*
 * Each entry is almost valid.  If one were accepted, a request would go to an
 * address that was written for another purpose, or to an endpoint in an
 * unknown state.
 */
static void
test_invalid_entries (void)
{
  static const struct
  {
    const char *text; /* text of the entry */
    const char *flaw; /* expected flaw; NULL if the entry is valid */
  } entries[] = {
    { "{" VALID "}", NULL },
    { "{" VALID ",\"born\":1785000000000,\"New\":{\"x\":[1]}}", NULL },
    { "{" VALID ",\"Models\":[]}", NULL },
    { "{" VALID ",\"Models\":[{\"Name\":\"m\",\"Version\":2}]}", NULL },
    { "", "no_object" },
    { "{" VALID, "no_object" },
    { "[{" VALID "}]", "no_object" },
    { "\xff\xfe", "no_object" },
    { "{" VALID ",\"born\":\"1785000000000\"}", "born" },
    { "{" VALID ",\"born\":1785000000000.5}", "born" },
    { "{" VALID ",\"born\":0}", "born" },
    { "{" VALID ",\"born\":null}", "born" },
    { "{" VALID ",\"Service\":7}", "service" },
    { "{" VALID ",\"Service\":\"\"}", "service" },
    { "{" VALID ",\"Address\":\"app.example:80\"}", "address" },
    { "{" VALID ",\"Address\":\"10.0.0.1\"}", "address" },
    { "{" VALID ",\"Address\":\"10.0.0.1:0\"}", "address" },
    { "{" VALID ",\"Address\":\"10.0.0.1:80/x\"}", "address" },
    { "{" VALID ",\"Address\":{\"Ip\":\"10.0.0.1\"}}", "address" },
    { "{" VALID ",\"Zone\":null}", "domain" },
    { "{" VALID ",\"State\":\"asleep\"}", "state" },
    { "{" VALID ",\"State\":true}", "state" },
    { "{" VALID ",\"Slots\":\"8\"}", "slots" },
    { "{" VALID ",\"Slots\":-1}", "slots" },
    { "{" VALID ",\"Models\":\"m\"}", "model" },
    { "{" VALID ",\"Models\":[\"m\"]}", "model" },
    { "{" VALID ",\"Models\":[{\"Name\":\"m\",\"Version\":\"2\"}]}", "model" },
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

/* An entry names a service that the operator never declared, and a model whose
   weights change: the address gets no order, and it does not count among the
   endpoints that change. */
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
  e = apply_entry (&f, 1, 1, false);
  g_assert_nonnull (fleet_outdated_by (&f, e));
  g_assert_false (fleet_needs_weights (&f, e));
  fleet_clear (&f);
}

const struct unit incarnation_units[] = {
  { "/incarnations/started-again", test_started_again },
  { "/incarnations/late-entry", test_late_entry },
  { "/incarnations/unordered-draining", test_unordered_draining },
  { "/incarnations/no-start-time", test_no_start_time },
  { "/incarnations/restart-by-report", test_restart_by_report },
  { "/incarnations/older-weights", test_older_weights },
  { "/incarnations/invalid-entries", test_invalid_entries },
  { "/incarnations/undeclared", test_undeclared },
  { NULL, NULL },
};
