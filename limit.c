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
limit_report (struct limit *l, int64_t milli, int64_t sent_us, int64_t now_us)
{
  bool changes = !l->active || milli < l->milli_rps
                 || (milli > l->milli_rps && sent_us > l->reported_us);

  if (!l->active)
    pace_sent (&l->pace, MAX (l->pace.sent_us, now_us));
  if (changes)
    {
      l->milli_rps = milli;
      l->interval_set_us = 0;
    }
  l->active = true;
  l->reported_us = now_us;
  return changes;
}

bool
limit_clear (struct limit *l, int64_t sent_us)
{
  if (!l->active || sent_us <= l->reported_us)
    return false;
  l->active = false;
  return true;
}

/* --- parts ----------------------------------------------------------- */

static int64_t
in_window (int64_t milli)
{
  return milli * WINDOW_S / 1000;
}

bool
limit_is_rotated (int64_t milli, int vms)
{
  return in_window (milli) < vms;
}

uint64_t
limit_rotation (int64_t clock_ms)
{
  return (uint64_t)(clock_ms / TURN_MS);
}

bool
limit_is_rotation_pause (int64_t clock_ms)
{
  return clock_ms % TURN_MS < BETWEEN_MS;
}

int64_t
limit_interval_us (int64_t milli, int vms, int rank)
{
  int64_t all = in_window (milli);
  int64_t part = all / vms + (rank < all % vms);

  if (part > 0)
    return MAX (PERIOD_US / part, 1);
  if (all > 0 || rank > 0)
    return 0;
  /* Less than one in a window, so one VM sends, and seldom. */
  return milli > 0 ? MIN (G_GINT64_CONSTANT (1000000000) / milli,
                          LIMIT_PROBE_INTERVAL_US)
                   : LIMIT_PROBE_INTERVAL_US;
}

/* --- pace ------------------------------------------------------------ */

bool
limit_is_interval_stale (const struct limit *l, int64_t now_us)
{
  return l->active
         && (l->interval_set_us == 0
             || now_us - l->interval_set_us >= JUDGE_US);
}

void
limit_set_interval (struct limit *l, int64_t gap_us, int64_t now_us)
{
  l->pace.interval_us = gap_us;
  l->interval_set_us = now_us;
}

static bool
is_judged (const struct limit *l, int64_t now_us)
{
  return l->interval_set_us != 0
         && now_us - l->interval_set_us < JUDGED_MAX_US;
}

bool
limit_may_place (const struct limit *l, int64_t now_us)
{
  return !l->active
         || (is_judged (l, now_us) && pace_may_place (&l->pace, now_us));
}

bool
limit_may_send (const struct limit *l, int64_t now_us)
{
  return !l->active
         || (is_judged (l, now_us) && pace_may_send (&l->pace, now_us));
}
