/*
 * Unit tests of streams while endpoints of several builds, versions of their
 * software, serve side by side.
 */
#include <glib.h>
#include <string.h>

#include "buildfeed.h"
#include "mirrorwire.h"
#include "platform/platform.h"
#include "relayharness.h"
#include "sealbox.h"
#include "units.h"

/* Streams that may break before the retry budget is used up. */
#define STREAMS 4

/* Endpoints a and b of build v1, c and d of build v2. */
static struct harness *
two_builds (void)
{
  struct harness *p = harness_new (FLEET_STREAM);

  harness_add_build (p, "c", "v2");
  harness_add_build (p, "d", "v2");
  return p;
}

static const char *
build_of (struct harness *p, int send)
{
  return harness_endpoint (p, p->to[send])->listing.build;
}

/* Guards against a VM that resumes a broken stream at another build. */
static void
test_own_resume (void)
{
  struct harness *p = two_builds ();
  int i;

  for (i = 0; i < STREAMS; i++)
    {
      p->sends = 0;
      g_string_truncate (p->got, 0);
      harness_start (p);
      g_assert_true (p->event->before_send (p->arg));
      harness_head (p, 200);
      harness_body (p, "id: 1\ndata: a\n\n");
      harness_end (p, true, false);
      g_assert_cmpint (p->sends, ==, 2);
      g_assert_cmpstr (p->to[0], !=, p->to[1]);
      g_assert_cmpstr (build_of (p, 0), ==, build_of (p, 1));
      harness_answer (p, "id: 2\ndata: b\n\n");
      g_assert_cmpint (p->ended, ==, 1);
    }
  harness_free (p);
}

/* Starts a stream that breaks after its first event; before that, its endpoint
   is listed with BUILD unless that is NULL. */
static void
break_stream (struct harness *p, const char *build)
{
  harness_start (p);
  g_assert_true (p->event->before_send (p->arg));
  if (build != NULL)
    harness_add_build (p, p->to[0], build);
  harness_head (p, 200);
  harness_body (p, "id: 1\ndata: a\n\n");
  harness_end (p, true, false);
}

/* Guards against a stream that goes on at another build since none of its own
   is left: it ends as broken. */
static void
test_none_left (void)
{
  struct harness *p = harness_new (FLEET_STREAM);

  harness_add_build (p, "b", "v2");
  break_stream (p, NULL);
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->ended, ==, 0);
  harness_free (p);
}

/* Guards against a stream attributed to the wrong build, since its endpoint
   started again under its id while the stream began. */
static void
test_restarted (void)
{
  struct harness *p = two_builds ();

  break_stream (p, "v3");
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->ended, ==, 0);
  harness_free (p);
}

/* Guards against two endpoints without a build that are taken for the same
   one. */
static void
test_no_build (void)
{
  struct harness *p = harness_new (FLEET_STREAM);

  harness_add_build (p, "e", "");
  harness_add_build (p, "f", "");
  g_assert_cmpint (harness_endpoint (p, "e")->build_key, !=,
                   harness_endpoint (p, "f")->build_key);
  g_assert_cmpint (harness_endpoint (p, "a")->build_key, ==,
                   harness_endpoint (p, "b")->build_key);
  harness_add_build (p, "a", "");
  g_assert_cmpint (harness_endpoint (p, "a")->build_key, ==,
                   harness_endpoint (p, "b")->build_key);
  g_assert_cmpint (fleet_only_build (&p->fleet, "s", 0), ==, 0);
  harness_free (p);
}

/* --- callers that take streams up ------------------------------------ */

#define ANSWER_US (400 * CQ_US_PER_MS) /* longer than a question waits */
#define CHECK_US (600 * CQ_US_PER_MS)  /* longer than a check waits */

/* A request that takes up stream RESUMES, and one other VM, which does not
   answer. */
static struct harness *
taking_up (const char *resumes)
{
  struct harness *p = two_builds ();

  p->told = 1;
  p->desc.resumes = resumes;
  p->desc.resume_after = 1;
  return p;
}

/* Guards against a stream that runs at any build since no VM answered. */
static void
test_no_answer (void)
{
  struct harness *p = taking_up ("other");

  harness_start (p);
  g_assert_cmpint (p->refused, ==, -1);
  harness_run (p, ANSWER_US);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  g_assert_cmpint (p->retry_after_us, >, 0);
  g_assert_cmpint (p->sends, ==, 0);
  harness_free (p);
}

/* Guards against an answer for a request whose caller left meanwhile. */
static void
test_leaves_while_asked (void)
{
  struct harness *p = taking_up ("other");

  harness_start (p);
  relay_caller_disconnected (p->relay);
  g_assert_cmpint (relays_count (p->relays), ==, 0);
  harness_run (p, ANSWER_US);
  g_assert_cmpint (p->sends, ==, 0);
  harness_free (p);
}

/* Guards against a request that outlives a stop of the VM, or its deadline,
   while other VMs are asked. */
static void
test_ends_while_asked (void)
{
  struct harness *p = taking_up ("other");

  harness_start (p);
  relays_stop (p->relays, loop_now_us ());
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  p->refused = -1;
  p->desc.deadline_us = loop_now_us () + 20 * CQ_US_PER_MS;
  harness_start (p);
  harness_run (p, 100 * CQ_US_PER_MS);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  harness_run (p, ANSWER_US);
  g_assert_cmpint (p->sends, ==, 0);
  harness_free (p);
}

/* Guards against a stream whose second resume names an attempt that nobody
   knows: each attempt names the first one, and is recorded under it. */
static void
test_named_by_first (void)
{
  struct harness *p = taking_up (NULL);
  const char *build;
  int i;

  p->desc.id = "first";
  p->desc.resume_after = -1;
  harness_start (p);
  build = build_of (p, 0);
  g_assert_true (p->event->before_send (p->arg));
  harness_head (p, 200);
  harness_body (p, "id: 1\ndata: a\n\n");
  g_assert_cmpint (p->origin_messages, ==, 1);
  relay_caller_disconnected (p->relay);
  p->desc.resumes = "first";
  for (i = 1; i < 4; i++)
    {
      p->desc.id = "later";
      p->desc.resume_after = i;
      harness_start (p);
      g_assert_cmpint (p->sends, ==, i + 1);
      g_assert_cmpstr (build_of (p, i), ==, build);
      g_assert_cmpint (p->resume_after, ==, i);
      g_assert_true (p->event->before_send (p->arg));
      harness_head (p, 200);
      harness_body (p, "id: 5\ndata: a\n\n");
      relay_caller_disconnected (p->relay);
    }
  g_assert_cmpint (originfeed_count (p->origins), ==, 1);
  harness_free (p);
}

/* Guards against messages on streams that nobody may take up. */
static void
test_not_resumable (void)
{
  struct harness *p = harness_new (FLEET_STREAM);

  p->told = 1;
  harness_route (p)->resumable = false;
  harness_start (p);
  harness_answer (p, "id: 1\ndata: a\n\n");
  g_assert_cmpint (p->ended, ==, 1);
  g_assert_cmpint (p->origin_messages, ==, 0);
  harness_free (p);
}

/* Guards against callers that name no attempt and are refused although there
   is only one build, or served although there are two. */
static void
test_unnamed (void)
{
  struct harness *p = harness_new (FLEET_STREAM);

  p->desc.resume_after = 1;
  harness_start (p);
  harness_answer (p, "id: 2\ndata: b\n\n");
  g_assert_cmpint (p->ended, ==, 1);
  harness_add_build (p, "c", "v2");
  harness_start (p);
  g_assert_cmpint (p->refused, ==, RELAY_NO_BUILD);
  g_assert_cmpint (p->sends, ==, 1);
  harness_free (p);
}

/* Removes an endpoint that did not say that it drains. */
static void
remove_endpoint (struct harness *p, const char *id, int64_t now_us)
{
  fleet_apply_missing (&p->fleet, harness_endpoint (p, id), now_us);
  g_assert_null (harness_endpoint (p, id));
}

/* Guards against a caller that names no attempt and goes on at a new build
   since the old one left without draining. */
static void
test_left_undrained (void)
{
  struct harness *p = two_builds ();
  int64_t now = loop_now_us ();

  remove_endpoint (p, "a", now);
  remove_endpoint (p, "b", now);
  p->desc.resume_after = 1;
  harness_start (p);
  g_assert_cmpint (p->refused, ==, RELAY_NO_BUILD);
  g_assert_cmpint (p->sends, ==, 0);
  g_assert_cmpint (
      fleet_only_build (&p->fleet, "s", now + 2 * FLEET_BUILD_KEEP_US), ==,
      harness_endpoint (p, "c")->build_key);
  harness_free (p);
}

/* Guards against a VM that takes the builds which it sees for all that served
   before its start. */
static void
test_unread (void)
{
  struct harness *p = harness_new (FLEET_STREAM);
  int64_t now = loop_now_us ();
  struct fleet_build *old;

  p->fleet.builds_unread = true;
  p->desc.resume_after = 1;
  harness_start (p);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  p->fleet.builds_unread = false;
  old = fleet_add_build (&p->fleet, 7, "s", "v0");
  old->left_us = now - FLEET_BUILD_KEEP_US / 2;
  g_assert_cmpint (fleet_only_build (&p->fleet, "s", now), ==, 0);
  g_assert_cmpint (
      fleet_only_build (&p->fleet, "s", now + FLEET_BUILD_KEEP_US), ==,
      harness_endpoint (p, "a")->build_key);
  harness_free (p);
}

/* Guards against refusing a stream that no VM knows although one build alone
   can have begun it, and against running it while that cannot be known. */
static void
test_unknown_of_one_build (void)
{
  struct harness *p = harness_new (FLEET_STREAM);

  p->told = 1;
  p->desc.resumes = "other";
  p->desc.resume_after = 1;
  harness_start (p);
  harness_run (p, ANSWER_US);
  g_assert_cmpint (p->sends, ==, 1);
  harness_answer (p, "id: 2\ndata: b\n\n");
  p->is_platform_silent = true;
  p->desc.resumes = "another";
  harness_start (p);
  harness_run (p, ANSWER_US + CHECK_US);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  g_assert_cmpint (p->retry_after_us, >, 0);
  g_assert_cmpint (p->sends, ==, 1);
  harness_free (p);
}

/* A request that names no attempt, at a VM that lists one build. */
static struct harness *
unnamed (void)
{
  struct harness *p = harness_new (FLEET_STREAM);

  p->desc.resume_after = 1;
  return p;
}

/* Guards against a VM that is out of step and takes the only build that it
   knows for the only one that served. */
static void
test_out_of_step (void)
{
  struct harness *p = unnamed ();
  struct follow_item change = { .kind = FOLLOW_ITEM_ENDPOINT };

  g_strlcpy (change.listing.id, "c", sizeof change.listing.id);
  g_strlcpy (change.listing.service, "s", sizeof change.listing.service);
  g_strlcpy (change.listing.build, "v2", sizeof change.listing.build);
  p->change = &change;
  harness_start (p);
  g_assert_cmpint (p->refused, ==, RELAY_NO_BUILD);
  g_assert_cmpint (p->sends, ==, 0);
  g_assert_null (harness_endpoint (p, "c"));
  harness_free (p);
}

/* Guards against a decision that rests on a check which was sent before the
   request arrived. */
static void
test_check_before_arrival (void)
{
  struct harness *p = unnamed ();
  struct follow_item change = { .kind = FOLLOW_ITEM_ENDPOINT };

  harness_start (p);
  harness_answer (p, "id: 2\ndata: b\n\n");
  g_assert_cmpint (p->ended, ==, 1);
  g_strlcpy (change.listing.service, "s", sizeof change.listing.service);
  p->change = &change;
  harness_start (p);
  g_assert_cmpint (p->refused, ==, -1);
  g_assert_cmpint (p->checks, ==, 1);
  harness_run (p, CHECK_US);
  g_assert_cmpint (p->refused, ==, RELAY_NO_BUILD);
  g_assert_cmpint (p->checks, ==, 2);
  g_assert_cmpint (p->sends, ==, 1);
  harness_free (p);
}

/* Guards against a stream that is refused for good although endpoints of its
   build have just joined, or may have. */
static void
test_joining (void)
{
  struct harness *p = harness_new (FLEET_STREAM);
  struct follow_item change = { .kind = FOLLOW_ITEM_ENDPOINT };
  struct origin_key key;

  g_strlcpy (change.listing.id, "c", sizeof change.listing.id);
  g_strlcpy (change.listing.service, "s", sizeof change.listing.service);
  g_strlcpy (change.listing.build, "v2", sizeof change.listing.build);
  origin_key_init (&key, "ws", "first");
  originfeed_began (p->origins, &key, fleet_build_key (&change.listing), false,
                    60 * CQ_US_PER_S, loop_now_us ());
  p->desc.resumes = "first";
  p->desc.resume_after = 1;
  p->change = &change;
  harness_start (p);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  g_assert_cmpint (p->retry_after_us, >, 0);
  p->is_platform_silent = true;
  p->refused = -1;
  harness_start (p);
  harness_run (p, CHECK_US);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  p->is_platform_silent = false;
  harness_add_build (p, "c", "v2");
  harness_start (p);
  g_assert_cmpint (p->sends, ==, 1);
  harness_answer (p, "id: 2\ndata: b\n\n");
  g_assert_cmpint (p->ended, ==, 1);
  harness_free (p);
}

/* Guards against a stream of a build that a store from an older copy lacks. */
static void
test_restored (void)
{
  struct harness *p = unnamed ();
  int64_t now = loop_now_us ();

  fleet_builds_restored (&p->fleet, now);
  harness_start (p);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  g_assert_cmpint (p->retry_after_us, >, 0);
  g_assert_cmpint (p->sends, ==, 0);
  g_assert_cmpint (fleet_only_build (&p->fleet, "s", now + 20 * CQ_US_PER_S),
                   ==, harness_endpoint (p, "a")->build_key);
  harness_free (p);
}

/* Guards against a check that succeeds although something was missed: an entry
   came and went, the settings are new, or the store is another one. */
static void
test_check_incomplete (void)
{
  static const enum follow_item_kind kinds[]
      = { FOLLOW_ITEM_ENDPOINT_REMOVED, FOLLOW_ITEM_CONF };
  struct follow_item change = { .row = 2 };
  struct harness *p;
  guint i;

  g_strlcpy (change.listing.id, "c", sizeof change.listing.id);
  for (i = 0; i <= G_N_ELEMENTS (kinds); i++)
    {
      p = unnamed ();
      if (i < G_N_ELEMENTS (kinds))
        {
          change.kind = kinds[i];
          p->change = &change;
        }
      else
        p->platform_era = 1;
      harness_start (p);
      harness_run (p, CHECK_US);
      g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
      g_assert_cmpint (p->retry_after_us, >, 0);
      g_assert_cmpint (p->sends, ==, 0);
      harness_free (p);
    }
}

/* Guards against requests that are all refused while another writer's invalid
   entry changes again and again. */
static void
test_check_beside_invalid (void)
{
  struct follow_item change = { .kind = FOLLOW_ITEM_INVALID, .row = 2 };
  struct harness *p = unnamed ();

  g_strlcpy (change.listing.id, "c", sizeof change.listing.id);
  p->change = &change;
  harness_start (p);
  harness_run (p, CHECK_US);
  g_assert_cmpint (p->sends, ==, 1);
  harness_answer (p, "id: 2\ndata: b\n\n");
  harness_free (p);
}

/* Guards against requests that are all refused while the platform keeps no
   history of its list. */
static void
test_check_without_history (void)
{
  struct harness *p = unnamed ();

  p->has_no_history = true;
  harness_start (p);
  g_assert_cmpint (p->sends, ==, 1);
  harness_answer (p, "id: 2\ndata: b\n\n");
  g_assert_cmpint (p->checks, ==, 2);
  harness_free (p);
}

/* Guards against an answer for a request that has ended meanwhile. */
static void
test_ends_while_checked (void)
{
  struct harness *p = unnamed ();

  harness_start (p);
  harness_answer (p, "id: 2\ndata: b\n\n");
  harness_start (p);
  relay_caller_disconnected (p->relay);
  g_assert_cmpint (relays_count (p->relays), ==, 0);
  harness_start (p);
  relays_stop (p->relays, loop_now_us ());
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  harness_run (p, CHECK_US);
  g_assert_cmpint (p->sends, ==, 1);
  harness_free (p);
}

/* Settings whose route leads to SERVICE. */
static void
move_route (struct harness *p, int64_t version, const char *service,
            int64_t now_us)
{
  struct fleet_conf *c = harness_conf (version, FLEET_STREAM, "key");
  struct fleet_route *r = c->routes->pdata[0];

  g_free (r->splits[0].service);
  r->splits[0].service = g_strdup (service);
  fleet_date_routes (c, p->fleet.conf, now_us);
  g_assert_true (fleet_apply_conf (&p->fleet, c, version));
}

/* Guards against a stream that goes on at the one build of a service although
   its route led to another service when it began. */
static void
test_moved (void)
{
  struct harness *p = unnamed ();
  int64_t now = loop_now_us ();
  struct fleet_listing l = { .slots = 1 };

  g_strlcpy (l.id, "t1", sizeof l.id);
  g_strlcpy (l.service, "t", sizeof l.service);
  g_strlcpy (l.build, "v9", sizeof l.build);
  fleet_apply_listing (&p->fleet, &l, now);
  move_route (p, 2, "t", now);
  harness_start (p);
  g_assert_cmpint (p->refused, ==, RELAY_NO_BUILD);
  move_route (p, 3, "t", now + 1);
  p->refused = -1;
  harness_start (p);
  g_assert_cmpint (p->refused, ==, RELAY_NO_BUILD);
  g_assert_true (
      fleet_has_moved (&p->fleet, "h", "/x", "t", now + FLEET_BUILD_KEEP_US));
  g_assert_false (fleet_has_moved (&p->fleet, "h", "/x", "t",
                                   now + FLEET_BUILD_KEEP_US + 1));
  g_assert_cmpint (p->sends, ==, 0);
  harness_free (p);
}

/* Guards against a stream that goes on by settings that were replaced while
   the platform was asked. */
static void
test_moves_while_checked (void)
{
  struct harness *p = unnamed ();

  harness_start (p);
  harness_answer (p, "id: 2\ndata: b\n\n");
  harness_start (p);
  g_assert_cmpint (p->refused, ==, -1);
  move_route (p, 2, "t", loop_now_us ());
  harness_run (p, CHECK_US);
  g_assert_cmpint (p->refused, ==, RELAY_NO_BUILD);
  g_assert_cmpint (p->sends, ==, 1);
  harness_free (p);
}

/* A route of service SERVICE for PREFIX. */
static void
add_route (struct fleet_conf *c, const char *prefix, const char *service)
{
  struct fleet_route *r = g_new0 (struct fleet_route, 1);

  r->name = g_strdup (prefix);
  r->host = g_strdup ("h");
  r->prefix = g_strdup (prefix);
  r->nsplits = 1;
  r->splits = g_new0 (struct fleet_split, 1);
  r->splits[0].service = g_strdup (service);
  g_ptr_array_add (c->routes, r);
}

/* Guards against requests that went to another service by a longer route which
   is gone, or by a shorter one, and are not taken for it. */
static void
test_covering_routes (void)
{
  struct fleet_conf *old = fleet_conf_new (), *c = fleet_conf_new ();

  add_route (old, "/", "s");
  add_route (old, "/a/", "s");
  add_route (old, "/a/gone/", "t");
  add_route (c, "/", "s");
  add_route (c, "/a/", "s");
  add_route (c, "/c/", "s");
  add_route (c, "/d/e/", "t");
  fleet_conf_build_index (old);
  fleet_conf_build_index (c);
  fleet_date_routes (c, old, 7);
  g_assert_cmpint (fleet_route_find (c, "h", "/x")->moved_us, ==, 0);
  g_assert_cmpint (fleet_route_find (c, "h", "/a/gone/x")->moved_us, ==, 7);
  g_assert_cmpint (fleet_route_find (c, "h", "/c/x")->moved_us, ==, 0);
  g_assert_cmpint (fleet_route_find (c, "h", "/d/e/x")->moved_us, ==, 7);
  fleet_conf_unref (old);
  fleet_conf_unref (c);
}

/* Guards against rows that no VM wrote. */
static void
test_build_row (void)
{
  struct fleet_build b = { .key = 1 }, got;
  g_autoptr (GByteArray) bytes = NULL;
  int64_t left;
  guint i;

  g_strlcpy (b.service, "s", sizeof b.service);
  g_strlcpy (b.name, "v1", sizeof b.name);
  bytes = buildfeed_encode (&b, 5);
  g_assert_true (buildfeed_decode (bytes->data, bytes->len, &got, &left));
  g_assert_cmpstr (got.service, ==, "s");
  g_assert_cmpstr (got.name, ==, "v1");
  g_assert_cmpint (left, ==, 5);
  for (i = 0; i < bytes->len; i++)
    g_assert_false (buildfeed_decode (bytes->data, i, &got, &left));
}

/* Guards against a table of builds that grows without bound, and against one
   that was cut short and is taken for all. */
static void
test_many_builds (void)
{
  struct harness *p = harness_new (FLEET_STREAM);
  int64_t now = loop_now_us ();
  uint64_t key;

  for (key = 10; key < 5000; key++)
    {
      fleet_add_build (&p->fleet, key, "other", "v");
      fleet_update_builds (&p->fleet, now);
    }
  fleet_update_builds (&p->fleet, now + 1);
  g_assert_cmpint (p->fleet.nbuilds, <, 2000);
  g_assert_cmpint (fleet_only_build (&p->fleet, "s", now + 2), ==, 0);
  harness_free (p);
}

/* Guards against a resume that runs at an endpoint which started again under
   its id with another build after it was chosen. */
static void
test_restarted_when_resumed (void)
{
  struct harness *p = harness_new (FLEET_STREAM);
  struct relay_head h = { .status = 200, .genuine = true, .running = -1 };

  h.lines = harness_seal;
  p->desc.resume_after = 1;
  harness_start (p);
  g_assert_true (p->event->before_send (p->arg));
  harness_add_build (p, p->to[0], "v2");
  g_assert_false (p->event->head (p->arg, &h));
  harness_end (p, true, false);
  g_assert_cmpint (p->got->len, ==, 0);
  g_assert_cmpint (p->sends, ==, 2);
  g_assert_cmpstr (build_of (p, 1), ==, "v1");
  harness_answer (p, "id: 2\ndata: b\n\n");
  harness_free (p);
}

/* --- what callers and the platform say -------------------------------- */

static void
check_resumes (const char *first, const char *second, const char *expected)
{
  struct preqhead h;

  preqhead_init (&h);
  if (first != NULL)
    preqhead_add (&h, "Resumes", first);
  if (second != NULL)
    preqhead_add (&h, "resumes", second);
  preqhead_finish (&h);
  g_assert_cmpstr (h.resumes, ==, expected);
  g_assert_false (h.malformed);
  preqhead_clear (&h);
}

/* Guards against a header that names another request than it seems to. */
static void
test_header (void)
{
  g_autofree char *longest = g_strnfill (128, 'x');
  g_autofree char *too_long = g_strnfill (129, 'x');

  check_resumes (NULL, NULL, NULL);
  check_resumes ("9c41", NULL, "9c41");
  check_resumes ("9c41", "9c41", "9c41");
  check_resumes ("9c41", "9c42", "");
  check_resumes ("", NULL, "");
  check_resumes ("9c 41", NULL, "");
  check_resumes (longest, NULL, longest);
  check_resumes (too_long, NULL, "");
}

static void
check_entry (const char *version, const char *expected)
{
  g_autofree char *text = g_strdup_printf (
      "{\"Service\":\"s\",\"Address\":\"10.0.0.1:80\",\"Zone\":\"z\","
      "\"Slots\":1,\"State\":\"ready\"%s}",
      version);
  g_autoptr (GByteArray) passed_on = NULL;
  struct fleet_listing l, got;

  g_assert_null (pdecode_endpoint ("e", text, strlen (text), &l));
  g_assert_cmpstr (l.build, ==, expected);
  passed_on = mirrorwire_encode_listing (&l);
  g_assert_true (
      mirrorwire_decode_listing ("e", passed_on->data, passed_on->len, &got));
  g_assert_cmpstr (got.build, ==, expected);
}

/* Guards against an entry whose build is lost, or that is not listed since its
   build is spoiled. */
static void
test_entry (void)
{
  g_autofree char *name = g_strnfill (FLEET_NAME_SIZE, 'x');
  g_autofree char *too_long = g_strdup_printf (",\"Version\":\"%s\"", name);

  check_entry (",\"Version\":\"v1.2\"", "v1.2");
  check_entry ("", "");
  check_entry (",\"Version\":7", "");
  check_entry (",\"Version\":\"v1 x=2\"", "");
  check_entry (too_long, "");
}

/* --- records --------------------------------------------------------- */

static struct origin_key
stream_key (int i)
{
  struct origin_key key = { { 0 } };

  memcpy (key.bytes, &i, sizeof i);
  return key;
}

/* Guards against a table that grows without bound, and against a stream that
   is recorded with two builds and goes on at either. */
static void
test_table (void)
{
  struct origin_table *t = origin_new ();
  struct origin_key key = stream_key (0);
  int64_t left;
  int i;

  for (i = 0; i < 2 * ORIGIN_ENTRIES_MAX; i++)
    {
      key = stream_key (i);
      origin_put (t, &key, 1, CQ_US_PER_S, 10);
    }
  g_assert_cmpint (origin_count (t), ==, ORIGIN_ENTRIES_MAX);
  g_assert_cmpint (origin_find (t, &key, &left, 10), ==, 1);
  g_assert_cmpint (left, ==, CQ_US_PER_S);
  origin_put (t, &key, 2, CQ_US_PER_S, 10);
  g_assert_cmpint (origin_find (t, &key, &left, 10), ==, 0);
  origin_put (t, &key, 1, CQ_US_PER_S, 10);
  g_assert_cmpint (origin_find (t, &key, &left, 10), ==, 0);
  g_assert_cmpint (origin_find (t, &key, &left, 10 + CQ_US_PER_S), ==, 0);
  origin_put (t, &key, 1, CQ_US_PER_S, 10 + CQ_US_PER_S);
  g_assert_cmpint (origin_find (t, &key, &left, 10 + CQ_US_PER_S), ==, 1);
  origin_free (t);
}

/* Guards against messages of strangers, and against changed ones. */
static void
test_wire (void)
{
  static const uint8_t key[SEALBOX_KEY_BYTES] = { 1 };
  static const uint8_t other[SEALBOX_KEY_BYTES] = { 2 };
  struct origin_message m = { .asks = true, .sender = 3, .at_ms = 4 };
  struct origin_message got;
  g_autoptr (GByteArray) bytes = NULL;
  guint i;

  m.key = stream_key (5);
  m.build = 6;
  m.keep_us = 7 * CQ_US_PER_S;
  bytes = originwire_seal (&m, key);
  g_assert_true (originwire_is_sealed (bytes->data, bytes->len));
  g_assert_true (originwire_open (bytes->data, bytes->len, key, &got));
  g_assert_true (got.asks);
  g_assert_cmpint (got.sender, ==, 3);
  g_assert_cmpint (got.at_ms, ==, 4);
  g_assert_cmpint (got.build, ==, 6);
  g_assert_cmpint (got.keep_us, ==, 7 * CQ_US_PER_S);
  g_assert_cmpmem (got.key.bytes, ORIGIN_KEY_BYTES, m.key.bytes,
                   ORIGIN_KEY_BYTES);
  g_assert_false (originwire_open (bytes->data, bytes->len, other, &got));
  for (i = 0; i < bytes->len; i++)
    {
      bytes->data[i] ^= 1;
      g_assert_false (originwire_open (bytes->data, bytes->len, key, &got));
      bytes->data[i] ^= 1;
    }
  g_assert_false (originwire_open (bytes->data, bytes->len - 1, key, &got));
}

/* --- streams recorded on the platform --------------------------------- */

/* A table that holds what is written to it. */
struct fake_table
{
  GHashTable *rows; /* name to GByteArray */
  int writes;       /* calls so far */
  int reads;        /* likewise */
  bool fails;       /* all calls fail */
  bool recalled_ok; /* of the last recall */
  int recalls;      /* that ended */
};

static void
fake_write (void *ctx, const char *key, const GByteArray *value,
            int64_t expected, rowstore_done done, void *arg)
{
  struct fake_table *t = ctx;
  struct rowstore_reply reply = { .status = ROWSTORE_FAILED };

  (void)expected;
  t->writes++;
  if (!t->fails)
    {
      reply.status = ROWSTORE_OK;
      if (value != NULL)
        g_hash_table_insert (t->rows, g_strdup (key),
                             g_byte_array_append (g_byte_array_new (),
                                                  value->data, value->len));
      else
        g_hash_table_remove (t->rows, key);
    }
  done (arg, &reply);
}

static void
fake_read (void *ctx, rowstore_done done, void *arg)
{
  struct fake_table *t = ctx;
  g_autoptr (GArray) rows
      = g_array_new (FALSE, TRUE, sizeof (struct rowstore_row));
  struct rowstore_reply reply = { .status = ROWSTORE_OK, .rows = rows };
  struct rowstore_row row = { .version = 1 };
  GHashTableIter it;

  t->reads++;
  reply.status = t->fails ? ROWSTORE_FAILED : ROWSTORE_OK;
  g_hash_table_iter_init (&it, t->rows);
  while (g_hash_table_iter_next (&it, (gpointer *)&row.key,
                                 (gpointer *)&row.value))
    g_array_append_val (rows, row);
  done (arg, &reply);
}

static int64_t
fake_clock_ms (void *arg, int64_t now_us)
{
  (void)arg;
  return now_us / CQ_US_PER_MS;
}

static int
one_vm (void *arg)
{
  (void)arg;
  return 1;
}

static void
on_recalled (void *arg, bool ok, int64_t now_us)
{
  struct fake_table *t = arg;

  (void)now_us;
  t->recalled_ok = ok;
  t->recalls++;
}

static struct originstore *
store_of (struct harness *p, struct fake_table *t, uint64_t life)
{
  struct originstore_opts o = { .loop = p->loop, .life = life };

  o.ops.write = fake_write;
  o.ops.read = fake_read;
  o.ops.ctx = t;
  o.clock_ms = fake_clock_ms;
  o.count_vms = one_vm;
  return originstore_new (&o);
}

static void
unref_row (gpointer row)
{
  g_byte_array_unref (row);
}

#define RECORDED 500 /* several rows */
#define KEEP_US (20 * CQ_US_PER_S)

/* Guards against streams that are lost between two writes, a write for each
   stream, and a table that is read for each question. */
static void
test_recorded (void)
{
  struct harness *p = harness_new (FLEET_STREAM);
  struct fake_table t = { .fails = true };
  struct origin_table *known = origin_new ();
  struct originstore *s, *later;
  struct origin_key key;
  int64_t now = loop_now_us ();
  int64_t left;
  int i;

  t.rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, unref_row);
  s = store_of (p, &t, 1);
  for (i = 0; i < RECORDED; i++)
    {
      key = stream_key (i);
      originstore_add (s, &key, 7, KEEP_US, now);
    }
  harness_run (p, 200 * CQ_US_PER_MS);
  t.fails = false;
  harness_run (p, 1500 * CQ_US_PER_MS);
  g_assert_cmpint (t.writes, <, 20);
  g_assert_cmpint (g_hash_table_size (t.rows), ==,
                   (RECORDED + ORIGINSTORE_ROW_MAX - 1) / ORIGINSTORE_ROW_MAX);

  later = store_of (p, &t, 2);
  now = loop_now_us ();
  g_assert_true (originstore_recall (later, known, on_recalled, &t, now));
  g_assert_cmpint (t.recalls, ==, 1);
  g_assert_true (t.recalled_ok);
  for (i = 0; i < RECORDED; i++)
    {
      key = stream_key (i);
      g_assert_cmpint (origin_find (known, &key, &left, now), ==, 7);
    }
  g_assert_false (originstore_recall (later, known, on_recalled, &t, now));
  g_assert_cmpint (t.reads, ==, 1);
  t.fails = true;
  g_assert_true (
      originstore_recall (later, known, on_recalled, &t, now + CQ_US_PER_S));
  g_assert_false (t.recalled_ok);

  originstore_stop (s);
  originstore_stop (later);
  originstore_free (s);
  originstore_free (later);
  origin_free (known);
  g_hash_table_destroy (t.rows);
  harness_free (p);
}

/* Guards against rows that no VM wrote. */
static void
test_recorded_row (void)
{
  struct originstore_entry e = { .build = 2, .until_ms = 3 };
  g_autoptr (GArray) got = g_array_new (FALSE, FALSE, sizeof e);
  g_autoptr (GByteArray) bytes = NULL;
  guint i;

  e.key = stream_key (1);
  bytes = originstore_encode (&e, 1);
  g_assert_true (originstore_decode (bytes->data, bytes->len, got));
  g_assert_cmpint (got->len, ==, 1);
  g_assert_cmpmem (got->data, sizeof e, &e, sizeof e);
  for (i = 0; i < bytes->len; i++)
    g_assert_false (originstore_decode (bytes->data, i, got));
}

const struct unit build_units[] = {
  { "/builds/own-resume", test_own_resume },
  { "/builds/none-left", test_none_left },
  { "/builds/restarted", test_restarted },
  { "/builds/no-build", test_no_build },
  { "/builds/no-answer", test_no_answer },
  { "/builds/leaves-while-asked", test_leaves_while_asked },
  { "/builds/ends-while-asked", test_ends_while_asked },
  { "/builds/named-by-first", test_named_by_first },
  { "/builds/not-resumable", test_not_resumable },
  { "/builds/unnamed", test_unnamed },
  { "/builds/left-undrained", test_left_undrained },
  { "/builds/unread", test_unread },
  { "/builds/unknown-of-one-build", test_unknown_of_one_build },
  { "/builds/out-of-step", test_out_of_step },
  { "/builds/check-before-arrival", test_check_before_arrival },
  { "/builds/joining", test_joining },
  { "/builds/restored", test_restored },
  { "/builds/check-incomplete", test_check_incomplete },
  { "/builds/check-beside-invalid", test_check_beside_invalid },
  { "/builds/check-without-history", test_check_without_history },
  { "/builds/ends-while-checked", test_ends_while_checked },
  { "/builds/moved", test_moved },
  { "/builds/moves-while-checked", test_moves_while_checked },
  { "/builds/covering-routes", test_covering_routes },
  { "/builds/row", test_build_row },
  { "/builds/many", test_many_builds },
  { "/builds/restarted-when-resumed", test_restarted_when_resumed },
  { "/builds/header", test_header },
  { "/builds/entry", test_entry },
  { "/builds/table", test_table },
  { "/builds/wire", test_wire },
  { "/builds/recorded", test_recorded },
  { "/builds/recorded-row", test_recorded_row },
  { NULL, NULL },
};
