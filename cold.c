/* Cold endpoints: which VMs may send there, and when. */
#include "cold.h"

#include <glib.h>

#include "decide.h"

/* A VM's share of a second is spread over slightly more than that, so that no
   second holds one request more. */
#define SHARE_PERIOD_US (CQ_US_PER_S + 10 * CQ_US_PER_MS)
/* The share is recomputed after this time, as VMs come and go. */
#define SHARE_REFRESH_US CQ_US_PER_S

void
cold_until (struct cold *c, int64_t at_us)
{
  c->until_us = MAX (c->until_us, at_us);
}

bool
cold_is (const struct cold *c, int64_t now_us)
{
  return now_us < c->until_us;
}

int
cold_share (int rate, int vms, int rank)
{
  int chosen = MIN (rate, vms);

  return rank < chosen ? rate / chosen : 0;
}

bool
cold_is_share_stale (const struct cold *c, int64_t now_us)
{
  return cold_is (c, now_us)
         && (c->interval_set_us == 0
             || now_us - c->interval_set_us >= SHARE_REFRESH_US);
}

void
cold_set_share (struct cold *c, int rate, int64_t now_us)
{
  c->pace.interval_us = rate > 0 ? SHARE_PERIOD_US / rate : 0;
  c->interval_set_us = now_us;
}
