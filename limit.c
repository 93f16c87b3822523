/* Limits that endpoints name, over all VMs together. */
#include "limit.h"

#include <glib.h>

/* A limit is kept over any span of this length. */
#define WINDOW_S 4
/* Requests of a window are spaced over somewhat more: two that are sent a
   window apart may arrive closer together. */
#define PERIOD_US INT64_C (4100000)
/* A pace is worked out anew after this time: VMs come and go. */
#define JUDGE_US INT64_C (1000000)
/* Nothing is sent by an older one: the turn may be over. */
#define JUDGED_MAX_US (2 * JUDGE_US)
/* VMs change at the end of a turn, and then wait for the requests of those
   before them: a window, and the age of a pace. */
#define TURN_MS 30000
#define BETWEEN_MS 6000

/* --- what answers say ------------------------------------------------ */

/*
 * Answers overtake each other, and a VM that stood still reads many at once.
 * Only one to a request that was sent after the limit was heard can be newer
 * than that; what is stricter counts at once.
 */
bool
limit_name (struct limit *l, int64_t milli, int64_t sent_us, int64_t now_us)
{
  bool changes = !l->named || milli < l->milli
                 || (milli > l->milli && sent_us > l->heard_us);

  if (!l->named)
    pace_sent (&l->pace, MAX (l->pace.sent_us, now_us));
  if (changes)
    {
      l->milli = milli;
      l->judged_us = 0;
    }
  l->named = true;
  l->heard_us = now_us;
  return changes;
}

bool
limit_lift (struct limit *l, int64_t sent_us)
{
  if (!l->named || sent_us <= l->heard_us)
    return false;
  l->named = false;
  return true;
}

/* --- parts ----------------------------------------------------------- */

static int64_t
in_window (int64_t milli)
{
  return milli * WINDOW_S / 1000;
}

bool
limit_takes_turns (int64_t milli, int vms)
{
  return in_window (milli) < vms;
}

uint64_t
limit_turn (int64_t clock_ms)
{
  return (uint64_t)(clock_ms / TURN_MS);
}

bool
limit_is_between (int64_t clock_ms)
{
  return clock_ms % TURN_MS < BETWEEN_MS;
}

int64_t
limit_gap_us (int64_t milli, int vms, int rank)
{
  int64_t all = in_window (milli);
  int64_t part = all / vms + (rank < all % vms);

  if (part > 0)
    return MAX (PERIOD_US / part, 1);
  if (all > 0 || rank > 0)
    return 0;
  /* Less than one in a window, so one VM sends, and seldom. */
  return milli > 0
             ? MIN (G_GINT64_CONSTANT (1000000000) / milli, LIMIT_LOOK_US)
             : LIMIT_LOOK_US;
}

/* --- pace ------------------------------------------------------------ */

bool
limit_is_unjudged (const struct limit *l, int64_t now_us)
{
  return l->named && (l->judged_us == 0 || now_us - l->judged_us >= JUDGE_US);
}

void
limit_judge (struct limit *l, int64_t gap_us, int64_t now_us)
{
  l->pace.gap_us = gap_us;
  l->judged_us = now_us;
}

static bool
is_judged (const struct limit *l, int64_t now_us)
{
  return l->judged_us != 0 && now_us - l->judged_us < JUDGED_MAX_US;
}

bool
limit_may_place (const struct limit *l, int64_t now_us)
{
  return !l->named
         || (is_judged (l, now_us) && pace_may_place (&l->pace, now_us));
}

bool
limit_may_send (const struct limit *l, int64_t now_us)
{
  return !l->named
         || (is_judged (l, now_us) && pace_may_send (&l->pace, now_us));
}
