/* Until when the settings here are known to be the newest there are. */
#include "fresh.h"

#include "decide.h"

/* Above the longest time that settings may go without a confirmation, which is
   a day: an age over it says nothing. */
#define AGE_MAX_MS (UINT64_C (2) * 24 * 3600 * 1000)

void
fresh_said (struct fresh *f, uint64_t said, uint64_t have, uint64_t wanted,
            int64_t at_us)
{
  if (said < have || said < wanted)
    return;
  if (said > have)
    {
      if (said < f->ahead || (said == f->ahead && at_us < f->ahead_us))
        return;
      f->ahead = said;
      f->ahead_us = at_us;
    }
  else if (!f->known || at_us > f->at_us)
    {
      f->known = true;
      f->at_us = at_us;
    }
}

void
fresh_reached (struct fresh *f, uint64_t have, uint64_t wanted)
{
  if (f->ahead != 0 && have >= f->ahead)
    {
      fresh_said (f, f->ahead, have, wanted, f->ahead_us);
      f->ahead = 0;
    }
}

bool
fresh_over (const struct fresh *f, int64_t limit_us, int64_t now_us)
{
  return !f->known || now_us - f->at_us > limit_us;
}

int64_t
fresh_age_ms (const struct fresh *f, int64_t now_us)
{
  return f->known ? (now_us - f->at_us) / CQ_US_PER_MS + 1 : -1;
}

bool
fresh_told (int64_t asked_us, uint64_t age_ms, int64_t *at_us)
{
  if (age_ms > AGE_MAX_MS)
    return false;
  *at_us = asked_us - (int64_t)age_ms * CQ_US_PER_MS;
  return true;
}
