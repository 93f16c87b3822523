/* Max-min fair shares of an overloaded service among workspaces. */
#include "decide.h"

#include <glib.h>
#include <string.h>

/* Demand decays by an eighth per interval, by half in about 2.6 s: long enough
   to track a workspace with some requests per second, short enough to forget a
   burst soon. */
#define DECAY_INTERVAL_US (500 * CQ_US_PER_MS)
#define DECAY_DIVISOR 8
/* After this many intervals the remaining demand is negligible. */
#define DECAY_STEPS_MAX 64

static struct share_workspace *
find (const struct share *s, const char *name)
{
  int i;

  for (i = 0; i < s->n; i++)
    if (strcmp (s->entries[i].name, name) == 0)
      return (struct share_workspace *)&s->entries[i];
  return NULL;
}

/* Applies one decay interval and drops workspaces without demand. */
static void
decay (struct share *s)
{
  struct share_workspace *e;
  int i;

  for (i = s->n - 1; i >= 0; i--)
    {
      e = &s->entries[i];
      e->demand -= (e->demand + DECAY_DIVISOR - 1) / DECAY_DIVISOR;
      if (e->demand == 0)
        *e = s->entries[--s->n];
    }
}

static void
decay_until (struct share *s, int64_t now_us)
{
  int i;

  for (i = 0;
       i < DECAY_STEPS_MAX && now_us - s->decayed_us >= DECAY_INTERVAL_US; i++)
    {
      decay (s);
      s->decayed_us += DECAY_INTERVAL_US;
    }
  if (now_us - s->decayed_us >= DECAY_INTERVAL_US)
    s->decayed_us = now_us;
}

void
share_add_demand (struct share *s, const char *workspace, int64_t demand,
                  int64_t now_us)
{
  struct share_workspace *e;

  decay_until (s, now_us);
  e = find (s, workspace);
  if (e == NULL && s->n < SHARE_MAX_WORKSPACES)
    {
      e = &s->entries[s->n++];
      g_strlcpy (e->name, workspace, sizeof e->name);
      e->demand = 0;
    }
  if (e != NULL)
    e->demand += demand;
}

static int64_t
total_demand (const struct share *s)
{
  int64_t all = 0;
  int i;

  for (i = 0; i < s->n; i++)
    all += s->entries[i].demand;
  return all;
}

/*
 * Largest demand per workspace that is served in full if CAPACITY is shared
 * by progressive filling: workspaces with a demand below an equal part of the
 * remaining capacity get all of it, which leaves more for the others.
 * Repeated until no further workspace is below.
 */
static int64_t
demand_limit (const struct share *s, int64_t capacity)
{
  int64_t limit = 0;
  int64_t left;
  int round, i, above;

  for (round = 0; round < s->n; round++)
    {
      left = capacity;
      above = 0;
      for (i = 0; i < s->n; i++)
        if (s->entries[i].demand <= limit)
          left -= s->entries[i].demand;
        else
          above++;
      if (above == 0 || left / above <= limit)
        break;
      limit = left / above;
    }
  return limit;
}

/*
 * With random refusals alone, a workspace with ten times the demand of each
 * other one would cost the others as large a part of their requests as it
 * loses itself.  Here a workspace that stays below its equal share loses
 * nothing.
 */
int
share_permille (const struct share *s, const char *workspace, int permille)
{
  const struct share_workspace *e = find (s, workspace);
  int64_t limit;

  if (e == NULL || e->demand == 0 || permille >= CQ_PERMILLE)
    return permille;
  limit = demand_limit (s, total_demand (s) / CQ_PERMILLE * permille
                               + total_demand (s) % CQ_PERMILLE * permille
                                     / CQ_PERMILLE);
  if (e->demand <= limit)
    return CQ_PERMILLE;
  return (int)(limit * CQ_PERMILLE / e->demand);
}
