/* Limits that endpoints name, over all VMs together. */
#include "limit.h"

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

  if (changes)
    l->milli = milli;
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
