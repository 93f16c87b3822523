/* Fair shares of a service that cannot serve all, among workspaces. */
#include "decide.h"

#include <glib.h>
#include <string.h>

/* Old work counts an eighth less after each step, half after about 2.6 s: long
   enough to know a workspace that asks some times a second, short enough to
   forget a burst soon after it. */
#define STEP_US (500 * CQ_US_PER_MS)
#define STEP_PART 8
/* After so many steps nothing that matters is left. */
#define STEPS_MAX 64

static struct share_workspace *
find (const struct share *s, const char *name)
{
  int i;

  for (i = 0; i < s->n; i++)
    if (strcmp (s->entries[i].name, name) == 0)
      return (struct share_workspace *)&s->entries[i];
  return NULL;
}

/* Count old work down, and drop entries of which nothing is left. */
static void
age (struct share *s)
{
  struct share_workspace *e;
  int i;

  for (i = s->n - 1; i >= 0; i--)
    {
      e = &s->entries[i];
      e->work -= (e->work + STEP_PART - 1) / STEP_PART;
      if (e->work == 0)
        *e = s->entries[--s->n];
    }
}

static void
age_until (struct share *s, int64_t now_us)
{
  int i;

  for (i = 0; i < STEPS_MAX && now_us - s->decayed_us >= STEP_US; i++)
    {
      age (s);
      s->decayed_us += STEP_US;
    }
  if (now_us - s->decayed_us >= STEP_US)
    s->decayed_us = now_us;
}

void
share_add_demand (struct share *s, const char *workspace, int64_t work,
                  int64_t now_us)
{
  struct share_workspace *e;

  age_until (s, now_us);
  e = find (s, workspace);
  if (e == NULL && s->n < SHARE_MAX_WORKSPACES)
    {
      e = &s->entries[s->n++];
      g_strlcpy (e->name, workspace, sizeof e->name);
      e->work = 0;
    }
  if (e != NULL)
    e->work += work;
}

static int64_t
asked_by_all (const struct share *s)
{
  int64_t all = 0;
  int i;

  for (i = 0; i < s->n; i++)
    all += s->entries[i].work;
  return all;
}

/*
 * The level at which shares are cut so that ROOM is filled: workspaces that
 * ask for less than an equal part of what is left get all, which leaves more
 * for the others; repeated until no further one does.
 */
static int64_t
level_of (const struct share *s, int64_t room)
{
  int64_t level = 0;
  int64_t left;
  int round, i, above;

  for (round = 0; round < s->n; round++)
    {
      left = room;
      above = 0;
      for (i = 0; i < s->n; i++)
        if (s->entries[i].work <= level)
          left -= s->entries[i].work;
        else
          above++;
      if (above == 0 || left / above <= level)
        break;
      level = left / above;
    }
  return level;
}

/*
 * Refused by chance alone, a workspace that asks ten times as much as each of
 * the others takes their places: they lose as large a part of their requests
 * as it does, through no doing of theirs.  One that asks for less than its
 * equal share loses nothing.
 */
int
share_permille (const struct share *s, const char *workspace, int keep)
{
  const struct share_workspace *e = find (s, workspace);
  int64_t level;

  if (e == NULL || e->work == 0 || keep >= CQ_PERMILLE)
    return keep;
  level = level_of (s,
                    asked_by_all (s) / CQ_PERMILLE * keep
                        + asked_by_all (s) % CQ_PERMILLE * keep / CQ_PERMILLE);
  if (e->work <= level)
    return CQ_PERMILLE;
  return (int)(level * CQ_PERMILLE / e->work);
}
