/*
 * Unit tests of fair shares of an overloaded service: the test plays the load
 * and counts what each workspace gets.
 */
#include <glib.h>

#include "decide.h"
#include "units.h"

#define CALM 9 /* workspaces beside the loud one */
#define S CQ_US_PER_S

/* One second of requests: ten of each calm workspace, LOUD of the loud one,
   spread over it. */
static void
play_second (struct share *s, int64_t at_us, int loud)
{
  char name[8];
  int i, w;

  for (i = 0; i < 10; i++)
    {
      for (w = 0; w < CALM; w++)
        {
          g_snprintf (name, sizeof name, "calm%d", w);
          share_add_demand (s, name, 100, at_us + i * S / 10);
        }
      for (w = 0; w < loud / 10; w++)
        share_add_demand (s, "loud", 100, at_us + i * S / 10);
    }
}

/*
 * One workspace asks ten times as much as each of nine others, and the
 * service can do six tenths of it all.  Refused by chance, everybody loses
 * four in ten; the calm ones ask for less than their share and lose nothing.
 * The loud one gets what they leave: 24 of its 100.
 */
static void
test_loud (void)
{
  struct share s = { .n = 0 };
  int t;

  for (t = 0; t < 5; t++)
    play_second (&s, t * S, 100);
  g_assert_cmpint (share_permille (&s, "calm3", 600), ==, CQ_PERMILLE);
  g_assert_cmpint (share_permille (&s, "loud", 600), >=, 220);
  g_assert_cmpint (share_permille (&s, "loud", 600), <=, 260);
  g_assert_cmpint (share_permille (&s, "loud", CQ_PERMILLE), ==, CQ_PERMILLE);
}

/* All ask for the same: all lose the same. */
static void
test_equal (void)
{
  struct share s = { .n = 0 };

  play_second (&s, 0, 10);
  g_assert_cmpint (share_permille (&s, "calm3", 600), >=, 590);
  g_assert_cmpint (share_permille (&s, "calm3", 600), <=, 600);
  g_assert_cmpint (share_permille (&s, "loud", 600), ==,
                   share_permille (&s, "calm3", 600));
}

/* One workspace alone loses what must be lost. */
static void
test_alone (void)
{
  struct share s = { .n = 0 };

  share_add_demand (&s, "loud", 100, 0);
  g_assert_cmpint (share_permille (&s, "loud", 600), ==, 600);
}

/* A burst is forgotten some seconds after it, and its entry is free again. */
static void
test_forgotten (void)
{
  struct share s = { .n = 0 };
  int t;

  play_second (&s, 0, 100);
  for (t = 1; t < 20; t++)
    play_second (&s, t * S, 10);
  g_assert_cmpint (share_permille (&s, "loud", 600), >=, 500);
  share_add_demand (&s, "other", 100, 100 * S);
  g_assert_cmpint (s.n, ==, 1);
}

/* More workspaces than are told apart: one of which nothing is known loses as
   large a part as all together, and nothing is written past the end. */
static void
test_many (void)
{
  struct share s = { .n = 0 };
  char name[8];
  int i;

  for (i = 0; i < 2 * SHARE_MAX_WORKSPACES; i++)
    {
      g_snprintf (name, sizeof name, "w%d", i);
      share_add_demand (&s, name, 100, 0);
    }
  g_assert_cmpint (s.n, ==, SHARE_MAX_WORKSPACES);
  g_assert_cmpint (share_permille (&s, name, 600), ==, 600);
}

const struct unit share_units[] = {
  { "/share/loud", test_loud },   { "/share/equal", test_equal },
  { "/share/alone", test_alone }, { "/share/forgotten", test_forgotten },
  { "/share/many", test_many },   { NULL, NULL },
};
