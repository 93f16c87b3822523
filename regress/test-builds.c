/*
 * Unit tests of streams while endpoints of several builds, versions of their
 * software, serve side by side.
 */
#include <glib.h>
#include <string.h>

#include "relayharness.h"
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
  g_assert_cmpint (fleet_only_build (&p->fleet, "s"), ==, 0);
  harness_free (p);
}

const struct unit build_units[] = {
  { "/builds/own-resume", test_own_resume },
  { "/builds/none-left", test_none_left },
  { "/builds/restarted", test_restarted },
  { "/builds/no-build", test_no_build },
  { NULL, NULL },
};
