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
#define MILLI_PER_REQUEST 1000

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
      e->milli_requests
          -= (e->milli_requests + DECAY_DIVISOR - 1) / DECAY_DIVISOR;
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

bool
share_has_room (const struct share *s, const char *workspace)
{
  return find (s, workspace) != NULL || s->n < SHARE_MAX_WORKSPACES;
}

/* MAX is the number of entries from which on no other is added. */
static void
add_demand (struct share *s, const char *name, int64_t demand, int max,
            int64_t now_us)
{
  struct share_workspace *e;

  decay_until (s, now_us);
  e = find (s, name);
  if (e == NULL && s->n < max)
    {
      e = &s->entries[s->n++];
      g_strlcpy (e->name, name, sizeof e->name);
      e->demand = 0;
      e->milli_requests = 0;
    }
  if (e == NULL)
    return;
  e->demand += demand;
  e->milli_requests += MILLI_PER_REQUEST;
}

void
share_add_demand (struct share *s, const char *workspace, int64_t demand,
                  int64_t now_us)
{
  add_demand (s, workspace, demand, SHARE_MAX_WORKSPACES, now_us);
}

void
share_add_others (struct share *s, int64_t demand, int64_t now_us)
{
  add_demand (s, SHARE_OTHERS, demand, SHARE_MAX_WORKSPACES + 1, now_us);
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

/* demand_limit if PERMILLE of all work can be served. */
static int64_t
demand_limit_at (const struct share *s, int permille)
{
  int64_t all = total_demand (s);

  return demand_limit (s, all / CQ_PERMILLE * permille
                              + all % CQ_PERMILLE * permille / CQ_PERMILLE);
}

static int
permille_below (const struct share_workspace *e, int64_t limit)
{
  if (e->demand <= limit)
    return CQ_PERMILLE;
  return (int)(limit * CQ_PERMILLE / e->demand);
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

  if (e == NULL || e->demand == 0 || permille >= CQ_PERMILLE)
    return permille;
  return permille_below (e, demand_limit_at (s, permille));
}

int
share_requests_permille (const struct share *s, int permille)
{
  int64_t limit = demand_limit_at (s, permille);
  int64_t all = 0, admitted = 0;
  int i;

  for (i = 0; i < s->n; i++)
    {
      all += s->entries[i].milli_requests;
      admitted += s->entries[i].milli_requests
                  * permille_below (&s->entries[i], limit);
    }
  return all > 0 && permille < CQ_PERMILLE ? (int)(admitted / all) : permille;
}

int64_t
share_milli_requests (const struct share *s, const char *workspace)
{
  const struct share_workspace *e = find (s, workspace);

  return e != NULL ? e->milli_requests : 0;
}
