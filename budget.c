/* Retry budget: limits retries to a share of first attempts. */
#include "decide.h"

#define MILLI INT64_C (1000)

/*
 * PERCENT of first attempts may be retried.  The budget starts with BURST
 * retries, its upper bound, so that a service with little load can retry.
 */
void
budget_init (struct budget *b, int percent, int burst)
{
  b->per_request = percent * MILLI / 100;
  b->cap_milli = burst * MILLI;
  b->level_milli = b->cap_milli;
}

void
budget_earn (struct budget *b)
{
  b->level_milli += b->per_request;
  if (b->level_milli > b->cap_milli)
    b->level_milli = b->cap_milli;
}

bool
budget_spend (struct budget *b)
{
  if (b->level_milli < MILLI)
    return false;
  b->level_milli -= MILLI;
  return true;
}
