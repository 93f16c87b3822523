/*
 * Unit tests of how long settings are known to be the newest: what confirms
 * them, and from when on.
 */
#include <glib.h>

#include "decide.h"
#include "fresh.h"
#include "units.h"

#define S CQ_US_PER_S
#define LIMIT (10 * S)

/* A VM starts and has heard nobody: its settings are old, whatever it was
   started with, and it has no age to tell. */
static void
test_unknown (void)
{
  struct fresh f = { .is_confirmed = false };

  g_assert_true (fresh_is_expired (&f, LIMIT, 5 * S));
  g_assert_cmpint (fresh_age_ms (&f, 5 * S), ==, -1);
}

/*
 * A VM's confirmation is nine seconds old when another one asks it.  The other
 * has its settings for one second more, and not for ten, however late it
 * handles the answer; and what it tells a third one is no younger.
 */
static void
test_passed_on (void)
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

/* Answers come in any order: an older confirmation takes nothing away. */
static void
test_never_older (void)
{
  struct fresh f = { .is_confirmed = false };

  fresh_confirm (&f, 7, 7, 7, 100 * S);
  fresh_confirm (&f, 7, 7, 7, 50 * S);
  g_assert_false (fresh_is_expired (&f, LIMIT, 110 * S));
  g_assert_true (fresh_is_expired (&f, LIMIT, 110 * S + 1));
}

/* A replica that lags, or a VM that is behind, shows an older revision than
   is here or was heard of: that confirms nothing. */
static void
test_lagging (void)
{
  struct fresh f = { .is_confirmed = false };

  fresh_confirm (&f, 6, 7, 7, 100 * S);
  fresh_confirm (&f, 7, 7, 8, 100 * S);
  g_assert_true (fresh_is_expired (&f, LIMIT, 100 * S));
}

/* A revision that is not here yet confirms when it is, from when it was said;
   one that was overtaken meanwhile never does. */
static void
test_ahead (void)
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

/* An age that no VM can mean. */
static void
test_absurd_age (void)
{
  int64_t at = 0;

  g_assert_false (fresh_time_from_age (100 * S, UINT64_MAX, &at));
  g_assert_false (fresh_time_from_age (100 * S, INT64_MAX, &at));
  g_assert_true (fresh_time_from_age (100 * S, 86400000, &at));
}

const struct unit fresh_units[] = { { "/fresh/unknown", test_unknown },
                                    { "/fresh/passed-on", test_passed_on },
                                    { "/fresh/never-older", test_never_older },
                                    { "/fresh/lagging", test_lagging },
                                    { "/fresh/ahead", test_ahead },
                                    { "/fresh/absurd-age", test_absurd_age },
                                    { NULL, NULL } };
