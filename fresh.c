/* Tracks until when the settings of this VM are known to be the newest. */
#include "fresh.h"

#include "decide.h"

/* Above the longest time that settings may go without a confirmation, which is
   a day: a greater age is useless. */
#define AGE_MAX_MS (UINT64_C (2) * 24 * 3600 * 1000)

void
fresh_confirm (struct fresh *f, uint64_t reported, uint64_t have,
               uint64_t wanted, int64_t at_us)
{
  if (reported < have || reported < wanted)
    return;
  if (reported > have)
    {
      if (reported < f->pending_revision
          || (reported == f->pending_revision && at_us < f->pending_us))
        return;
      f->pending_revision = reported;
      f->pending_us = at_us;
    }
  else if (!f->is_confirmed || at_us > f->confirmed_us)
    {
      f->is_confirmed = true;
      f->confirmed_us = at_us;
    }
}

void
fresh_revision_applied (struct fresh *f, uint64_t have, uint64_t wanted)
{
  if (f->pending_revision != 0 && have >= f->pending_revision)
    {
      fresh_confirm (f, f->pending_revision, have, wanted, f->pending_us);
      f->pending_revision = 0;
    }
}

bool
fresh_is_expired (const struct fresh *f, int64_t limit_us, int64_t now_us)
{
  return !f->is_confirmed || now_us - f->confirmed_us > limit_us;
}

int64_t
fresh_age_ms (const struct fresh *f, int64_t now_us)
{
  return f->is_confirmed ? (now_us - f->confirmed_us) / CQ_US_PER_MS + 1 : -1;
}

bool
fresh_time_from_age (int64_t asked_us, uint64_t age_ms, int64_t *at_us)
{
  if (age_ms > AGE_MAX_MS)
    return false;
  *at_us = asked_us - (int64_t)age_ms * CQ_US_PER_MS;
  return true;
}
