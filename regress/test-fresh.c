/*
 * Unit tests of how long settings are known to be the newest: what confirms
 * them, and from which time on.
 */
#include <glib.h>

#include "decide.h"
#include "fresh.h"
#include "units.h"

#define S CQ_US_PER_S
#define LIMIT (10 * S)

/* A VM has started and got no report yet: its settings count as expired,
   whatever it was started with, and it has no age to report. */
static void
test_unknown (void)
{
  struct fresh f = { .is_confirmed = false };

  g_assert_true (fresh_is_expired (&f, LIMIT, 5 * S));
  g_assert_cmpint (fresh_age_ms (&f, 5 * S), ==, -1);
}

/*
 * A VM's confirmation is nine seconds old when another VM asks it.  The other
 * may use its settings for one more second, and not for ten, however late it
 * handles the answer; the age that it reports to a third one is no smaller.
 */
static void
test_forwarded (void)
{
  struct fresh a = { .is_confirmed = false };
  struct fresh b = { .is_confirmed = false };
  int64_t at = 0;

  fresh_confirm (&a, 7, 7, 7, 100 * S);
  g_assert_true (fresh_time_from_age (
      109 * S, (uint64_t)fresh_age_ms (&a, 109 * S), &at));
  g_assert_cmpint (at, <=, 100 * S);
  g_assert_cmpint (at, >=, 100 * S - 2 * CQ_US_PER_MS);
  fresh_confirm (&b, 7, 7, 7, at);
  g_assert_false (fresh_is_expired (&b, LIMIT, 109 * S + S / 2));
  g_assert_true (fresh_is_expired (&b, LIMIT, 111 * S));
  g_assert_cmpint (fresh_age_ms (&b, 109 * S), >, 9000);
}

/* Answers arrive in any order: an older confirmation never replaces a newer
   one. */
static void
test_never_older (void)
{
  struct fresh f = { .is_confirmed = false };

  fresh_confirm (&f, 7, 7, 7, 100 * S);
  fresh_confirm (&f, 7, 7, 7, 50 * S);
  g_assert_false (fresh_is_expired (&f, LIMIT, 110 * S));
  g_assert_true (fresh_is_expired (&f, LIMIT, 110 * S + 1));
}

/* A replica or VM that lags reports an older revision than the one in force,
   or than the highest known: that confirms nothing. */
static void
test_lagging (void)
{
  struct fresh f = { .is_confirmed = false };

  fresh_confirm (&f, 6, 7, 7, 100 * S);
  fresh_confirm (&f, 7, 7, 8, 100 * S);
  g_assert_true (fresh_is_expired (&f, LIMIT, 100 * S));
}

/* A newer revision confirms once it is in force here, from the time of the
   report; one that was superseded meanwhile never does. */
static void
test_pending_revision (void)
{
  struct fresh f = { .is_confirmed = false };

  fresh_confirm (&f, 8, 6, 6, 100 * S);
  fresh_confirm (&f, 8, 6, 8, 90 * S);
  fresh_revision_applied (&f, 7, 8);
  g_assert_true (fresh_is_expired (&f, LIMIT, 101 * S));
  fresh_revision_applied (&f, 8, 8);
  g_assert_false (fresh_is_expired (&f, LIMIT, 110 * S));
  g_assert_true (fresh_is_expired (&f, LIMIT, 110 * S + 1));
  fresh_confirm (&f, 9, 8, 8, 120 * S);
  fresh_revision_applied (&f, 9, 10);
  g_assert_true (fresh_is_expired (&f, LIMIT, 121 * S));
}

/* Ages that are too large are rejected. */
static void
test_age_too_large (void)
{
  int64_t at = 0;

  g_assert_false (fresh_time_from_age (100 * S, UINT64_MAX, &at));
  g_assert_false (fresh_time_from_age (100 * S, INT64_MAX, &at));
  g_assert_true (fresh_time_from_age (100 * S, 86400000, &at));
}

const struct unit fresh_units[]
    = { { "/fresh/unknown", test_unknown },
        { "/fresh/forwarded", test_forwarded },
        { "/fresh/never-older", test_never_older },
        { "/fresh/lagging", test_lagging },
        { "/fresh/pending-revision", test_pending_revision },
        { "/fresh/age-too-large", test_age_too_large },
        { NULL, NULL } };
