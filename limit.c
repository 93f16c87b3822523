/* Rate limits that endpoints report, over all VMs together. */
#include "limit.h"

#include <glib.h>

/* The limit holds in any window of this length. */
#define WINDOW_S 4
/* A VM's requests of a window are spread over slightly more than the window:
   two that are sent a window apart may arrive closer together. */
#define SHARE_PERIOD_US INT64_C (4100000)
/* The interval is recomputed after this time, as VMs come and go. */
#define INTERVAL_REFRESH_US INT64_C (1000000)
/* No request is sent by an interval older than this: the rotation may have
   ended. */
#define INTERVAL_MAX_AGE_US (2 * INTERVAL_REFRESH_US)
/* The sending VMs change with each rotation, and first wait for the requests
   of the previous ones: a window, and the maximum age of an interval. */
#define ROTATION_MS 30000
#define ROTATION_PAUSE_MS 6000

/* --- reports in answers ---------------------------------------------- */

/*
 * Answers arrive out of order, and a VM that was suspended reads many at once.
 * Only an answer to a request that was sent after the limit was reported is
 * certainly newer than that report; a stricter limit applies at once.
 */
bool
limit_report (struct limit *l, int64_t milli_rps, int64_t sent_us,
              int64_t now_us)
{
  bool changes = !l->active || milli_rps < l->milli_rps
                 || (milli_rps > l->milli_rps && sent_us > l->reported_us);

  if (!l->active)
    pace_sent (&l->pace, MAX (l->pace.sent_us, now_us));
  if (changes)
    {
      l->milli_rps = milli_rps;
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

/* --- shares ---------------------------------------------------------- */

static int64_t
requests_in_window (int64_t milli_rps)
{
  return milli_rps * WINDOW_S / 1000;
}

bool
limit_is_rotated (int64_t milli_rps, int vms)
{
  return requests_in_window (milli_rps) < vms;
}

uint64_t
limit_rotation (int64_t clock_ms)
{
  return (uint64_t)(clock_ms / ROTATION_MS);
}

bool
limit_is_rotation_pause (int64_t clock_ms)
{
  return clock_ms % ROTATION_MS < ROTATION_PAUSE_MS;
}

int64_t
limit_interval_us (int64_t milli_rps, int vms, int rank)
{
  int64_t all = requests_in_window (milli_rps);
  int64_t share = all / vms + (rank < all % vms);

  if (share > 0)
    return MAX (SHARE_PERIOD_US / share, 1);
  if (all > 0 || rank > 0)
    return 0;
  /* Less than one request in a window: a single VM sends, at long
     intervals. */
  return milli_rps > 0 ? MIN (G_GINT64_CONSTANT (1000000000) / milli_rps,
                              LIMIT_PROBE_INTERVAL_US)
                       : LIMIT_PROBE_INTERVAL_US;
}

/* --- pace ------------------------------------------------------------ */

bool
limit_is_interval_stale (const struct limit *l, int64_t now_us)
{
  return l->active
         && (l->interval_set_us == 0
             || now_us - l->interval_set_us >= INTERVAL_REFRESH_US);
}

void
limit_set_interval (struct limit *l, int64_t interval_us, int64_t now_us)
{
  l->pace.interval_us = interval_us;
  l->interval_set_us = now_us;
}

static bool
is_interval_valid (const struct limit *l, int64_t now_us)
{
  return l->interval_set_us != 0
         && now_us - l->interval_set_us < INTERVAL_MAX_AGE_US;
}

bool
limit_may_place (const struct limit *l, int64_t now_us)
{
  return !l->active
         || (is_interval_valid (l, now_us)
             && pace_may_place (&l->pace, now_us));
}

bool
limit_may_send (const struct limit *l, int64_t now_us)
{
  return !l->active
         || (is_interval_valid (l, now_us)
             && pace_may_send (&l->pace, now_us));
}
