/*
 * Unit tests of fair shares of an overloaded service: simulates the demand of
 * workspaces and checks the share that each one gets.
 */
#include <glib.h>

#include "decide.h"
#include "units.h"

#define CALM 9 /* workspaces with low demand, besides the loud one */
#define S CQ_US_PER_S

/* Adds the demand of one second, evenly spread: ten requests of each calm
   workspace and LOUD requests of the loud one. */
static void
add_second (struct share *s, int64_t at_us, int loud)
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
 * One workspace sends ten times as many requests as each of nine others, and
 * the service can serve six tenths of all.  With random refusals each
 * workspace would lose four in ten.  The calm ones stay below their share and
 * must lose nothing; the loud one gets the rest, 24 of its 100.
 */
static void
test_loud (void)
{
  struct share s = { .n = 0 };
  int t;

  for (t = 0; t < 5; t++)
    add_second (&s, t * S, 100);
  g_assert_cmpint (share_permille (&s, "calm3", 600), ==, CQ_PERMILLE);
  g_assert_cmpint (share_permille (&s, "loud", 600), >=, 220);
  g_assert_cmpint (share_permille (&s, "loud", 600), <=, 260);
  g_assert_cmpint (share_permille (&s, "loud", CQ_PERMILLE), ==, CQ_PERMILLE);
}

/* Workspaces with equal demand get equal shares. */
static void
test_equal (void)
{
  struct share s = { .n = 0 };

  add_second (&s, 0, 10);
  g_assert_cmpint (share_permille (&s, "calm3", 600), >=, 590);
  g_assert_cmpint (share_permille (&s, "calm3", 600), <=, 600);
  g_assert_cmpint (share_permille (&s, "loud", 600), ==,
                   share_permille (&s, "calm3", 600));
}

/* A single workspace gets the share that can be served. */
static void
test_alone (void)
{
  struct share s = { .n = 0 };

  share_add_demand (&s, "loud", 100, 0);
  g_assert_cmpint (share_permille (&s, "loud", 600), ==, 600);
}

/* The demand of a burst decays within seconds, and its entry is freed. */
static void
test_forgotten (void)
{
  struct share s = { .n = 0 };
  int t;

  add_second (&s, 0, 100);
  for (t = 1; t < 20; t++)
    add_second (&s, t * S, 10);
  g_assert_cmpint (share_permille (&s, "loud", 600), >=, 500);
  share_add_demand (&s, "other", 100, 100 * S);
  g_assert_cmpint (s.n, ==, 1);
}

/* With more workspaces than are tracked, an untracked one gets the overall
   share, and nothing is written past the end of the table. */
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
