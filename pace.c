/* Requests of this VM to one endpoint, spaced evenly. */
#include "pace.h"

static bool
is_due (const struct pace *p, int64_t last_us, int64_t now_us)
{
  return p->interval_us > 0
         && (last_us == 0 || now_us - last_us >= p->interval_us);
}

bool
pace_may_place (const struct pace *p, int64_t now_us)
{
  return is_due (p, p->placed_us, now_us) && is_due (p, p->sent_us, now_us);
}

void
pace_placed (struct pace *p, int64_t now_us)
{
  p->placed_us = now_us;
}

bool
pace_may_send (const struct pace *p, int64_t now_us)
{
  return is_due (p, p->sent_us, now_us);
}

void
pace_sent (struct pace *p, int64_t now_us)
{
  p->sent_us = now_us;
}
