/* Link of a store: admission and expected time of its transfers. */
#include "kvdecide.h"

#define US_PER_S INT64_C (1000000)
#define SMOOTHING 4             /* divisor of the EWMA of the rate */
#define MIN_RATE_BYTES_S 100000 /* lower bound of the measured rate */
#define OTHERS_SMOOTHING 4 /* divisor of the EWMA of the wait for others */
/* Half-life of the expected wait for others: it decays without new samples, so
   that a link that seemed busy is tried again. */
#define OTHERS_HALF_LIFE_US (20 * US_PER_S)
#define OTHERS_MAX_HALVINGS 20

void
link_init (struct link *l, int64_t bytes_s, int64_t grain)
{
  *l = (struct link){ .bytes_s = bytes_s, .segment_bytes = grain };
}

/* Expected wait for transfers of other VMs, decayed since the last sample. */
static int64_t
wait_for_others (const struct link *l, int64_t now_us)
{
  int64_t halvings = (now_us - l->others_wait_at_us) / OTHERS_HALF_LIFE_US;

  if (halvings > OTHERS_MAX_HALVINGS)
    return 0;
  return l->others_wait_us >> halvings;
}

/*
 * Expected time until a transfer of CLASS can start: higher classes go first,
 * and other VMs use the link as well.
 */
int64_t
link_wait_us (const struct link *l, enum link_class class, int64_t now_us)
{
  int64_t queued_before = 0;
  int c;

  for (c = 0; c <= (int)class; c++)
    queued_before += l->queued_bytes[c];
  /* A running transfer is not interrupted for a higher class. */
  for (; c < LINK_CLASSES; c++)
    if (l->queued_bytes[c] > 0)
      {
        queued_before += l->segment_bytes;
        break;
      }
  return queued_before * US_PER_S / l->bytes_s + wait_for_others (l, now_us);
}

/*
 * A transfer waited for ACTUAL_US instead of EXPECTED_US.  The queues of other
 * VMs are not visible, so the difference is attributed to them.
 */
void
link_add_wait (struct link *l, int64_t expected_us, int64_t actual_us,
               int64_t now_us)
{
  int64_t before = wait_for_others (l, now_us);
  int64_t seen = before + actual_us - expected_us;

  if (seen < 0)
    seen = 0;
  l->others_wait_us = before + (seen - before) / OTHERS_SMOOTHING;
  l->others_wait_at_us = now_us;
}

/*
 * Whether a transfer may be requested.  Imports were already compared with
 * recomputing.  Exports and copies only use time in which no caller waits for
 * the link, and finish within BUDGET_US by estimate, so that exporting a long
 * prompt does not delay the import of a prompt that returns.
 */
bool
link_admit (const struct link *l, enum link_class class, int64_t bytes,
            int64_t budget_us, int64_t now_us)
{
  int64_t queued_before;

  if (class == LINK_IMPORT)
    return true;
  if (l->queued_bytes[LINK_IMPORT] > 0 && class == LINK_COPY)
    return false;
  queued_before
      = link_wait_us (l, LINK_COPY, now_us) + bytes * US_PER_S / l->bytes_s;
  return queued_before <= budget_us;
}

void
link_begin (struct link *l, enum link_class class, int64_t bytes)
{
  l->queued_bytes[class] += bytes;
}

/* A transfer ended after MOVING_US on the link, or 0 if it was abandoned. */
void
link_end (struct link *l, enum link_class class, int64_t bytes,
          int64_t moving_us)
{
  int64_t seen;

  l->queued_bytes[class] -= bytes;
  if (l->queued_bytes[class] < 0)
    l->queued_bytes[class] = 0;
  if (moving_us <= 0)
    return;
  l->done_bytes[class] += bytes;
  seen = bytes * US_PER_S / moving_us;
  l->bytes_s += (seen - l->bytes_s) / SMOOTHING;
  if (l->bytes_s < MIN_RATE_BYTES_S)
    l->bytes_s = MIN_RATE_BYTES_S;
}
