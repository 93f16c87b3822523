/* Times at which refused callers may come back. */
#include "returns.h"

#include <glib.h>

/* Shortest time, since a second request costs about as much as the first. */
#define RETRY_MIN_US (100 * CQ_US_PER_MS)
/* Callers wait no longer than 1 / this of their remaining time, so that two
   thirds are left for the answer. */
#define RETRY_DIVISOR 3
/* Callers for whom there is no room return within the last 1 / this of that
   time, not all at once. */
#define JITTER_DIVISOR 5
/* Part of the admitted work that is reserved for callers that return.  Of
   680,000 callers in forty seeds of regress/burst with shares among routes,
   27,759 are never served with this value, 29,153 with 25 and 31,546 with
   50. */
#define BOOKED_PERCENT 10
/* The rate follows a change by 1 / this per time slot: within about a
   second, the time in which callers return. */
#define RATE_DIVISOR 8
#define URGENCIES (ADMIT_RANKS / 2)

/* Clears the time slots that have passed. */
static void
advance (struct returns *s, int64_t now_us)
{
  int64_t slot = now_us / RETURN_SLOT_US;

  if (slot <= s->slot)
    return;
  if (slot - s->slot >= RETURN_SLOTS)
    {
      *s = (struct returns){ .slot = slot };
      return;
    }
  while (s->slot < slot)
    {
      s->reserved[s->slot % RETURN_SLOTS] = 0;
      s->rate += (s->admitted - s->rate) / RATE_DIVISOR;
      s->admitted = 0;
      s->slot++;
    }
}

void
returns_add_admitted (struct returns *s, int64_t work, int64_t now_us)
{
  advance (s, now_us);
  s->admitted += work;
}

/* Work that callers of URGENCY may reserve in a time slot.  Less urgent ones
   leave room for more urgent ones that are refused later. */
static int64_t
room_for (const struct returns *s, int urgency)
{
  return s->rate * BOOKED_PERCENT / 100 * (URGENCIES - urgency) / URGENCIES;
}

/* The first of the time slots FROM to TO with room, or -1. */
static int64_t
find_room (const struct returns *s, int64_t room, int64_t from, int64_t to)
{
  int64_t i;

  for (i = from; i <= to; i++)
    if (s->reserved[i % RETURN_SLOTS] < room)
      return i;
  return -1;
}

/* Work beyond the room of a time slot is reserved in those after it: one
   prompt may be larger than that. */
static void
reserve (struct returns *s, int64_t slot, int64_t work)
{
  int64_t room = MAX (room_for (s, 0), 1);
  int64_t last = s->slot + RETURN_SLOTS - 1;
  int64_t *reserved, part;

  for (; work > 0 && slot < last; slot++)
    {
      reserved = &s->reserved[slot % RETURN_SLOTS];
      part = CLAMP (room - *reserved, 0, work);
      *reserved += part;
      work -= part;
    }
  s->reserved[last % RETURN_SLOTS] += work;
}

/* A random time from FROM_US to TO_US. */
static int64_t
time_between (int64_t from_us, int64_t to_us, uint64_t random)
{
  if (to_us <= from_us)
    return from_us;
  return from_us + (int64_t)(random % (uint64_t)(to_us - from_us));
}

struct returns_plan
returns_plan (struct returns *s, const struct returns_query *q, int64_t now_us)
{
  int64_t max_us = MAX (q->left_us / RETRY_DIVISOR, RETRY_MIN_US);
  struct returns_plan p = { .retry_us = 0 };
  int64_t slot, last;

  if (q->left_us <= RETRY_MIN_US)
    return p;
  advance (s, now_us);
  last = MIN ((now_us + max_us) / RETURN_SLOT_US, s->slot + RETURN_SLOTS - 1);
  p.room = room_for (s, CLAMP (q->urgency, 0, URGENCIES - 1));
  slot = find_room (s, p.room, (now_us + RETRY_MIN_US) / RETURN_SLOT_US, last);
  p.has_room = slot >= 0;
  p.reserved = s->reserved[(p.has_room ? slot : last) % RETURN_SLOTS];
  if (p.has_room)
    p.retry_us = time_between (
        MAX (slot * RETURN_SLOT_US - now_us, RETRY_MIN_US),
        MIN ((slot + 1) * RETURN_SLOT_US - now_us, max_us), q->random);
  else
    /* The overload is most likely to have ended at the end of that time. */
    p.retry_us = MAX (
        time_between (max_us - max_us / JITTER_DIVISOR, max_us, q->random),
        RETRY_MIN_US);
  reserve (s, (now_us + p.retry_us) / RETURN_SLOT_US, q->work);
  return p;
}
