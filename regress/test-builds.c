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
      if (strcmp (build_of (p, 0), build_of (p, 1)) != 0)
        g_test_fail ();
      harness_answer (p, "id: 2\ndata: b\n\n");
      g_assert_cmpint (p->ended, ==, 1);
    }
  harness_free (p);
}

const struct unit build_units[] = {
  { "/builds/own-resume", test_own_resume },
  { NULL, NULL },
};
