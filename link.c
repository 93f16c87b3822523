/* The limited link of a store: who may use it, and how long that takes. */
#include "kvdecide.h"

#define US_PER_S INT64_C (1000000)
#define SMOOTHING 4       /* weight of the past in the rate */
#define LEAST_RATE 100000 /* bytes a second, however slow a link was seen */
#define OTHERS_SMOOTHING 4
#define OTHERS_HALF_LIFE_US                                                   \
  (20 * US_PER_S) /* then it is worth a try again                             \
                   */
#define OTHERS_MAX_HALVINGS 20

void
link_init (struct link *l, int64_t bytes_s, int64_t grain)
{
  *l = (struct link){ .bytes_s = bytes_s, .grain = grain };
}

/* What is left of the wait behind others that was learned earlier. */
static int64_t
others_now (const struct link *l, int64_t now_us)
{
  int64_t halvings = (now_us - l->others_wait_at_us) / OTHERS_HALF_LIFE_US;

  if (halvings > OTHERS_MAX_HALVINGS)
    return 0;
  return l->others_wait_us >> halvings;
}

/*
 * Time until a transfer of CLASS could start: higher classes go first, and
 * other VMs use the link too.
 */
int64_t
link_wait_us (const struct link *l, enum link_class class, int64_t now_us)
{
  int64_t ahead = 0;
  int c;

  for (c = 0; c <= (int)class; c++)
    ahead += l->queued_bytes[c];
  /* A transfer that moves is not broken off for a higher class. */
  for (; c < LINK_CLASSES; c++)
    if (l->queued_bytes[c] > 0)
      {
        ahead += l->grain;
        break;
      }
  return ahead * US_PER_S / l->bytes_s + others_now (l, now_us);
}

/*
 * A transfer waited for ACTUAL where EXPECTED was told.  What other VMs have
 * queued cannot be seen, only felt: the surplus is their share.
 */
void
link_waited (struct link *l, int64_t expected_us, int64_t actual_us,
             int64_t now_us)
{
  int64_t before = others_now (l, now_us);
  int64_t seen = before + actual_us - expected_us;

  if (seen < 0)
    seen = 0;
  l->others_wait_us = before + (seen - before) / OTHERS_SMOOTHING;
  l->others_wait_at_us = now_us;
}

/*
 * Whether a transfer may be asked for.  Imports were weighed against
 * recomputing already.  Exports and copies only use time that no caller waits
 * for, and no more of it than BUDGET_US, so that a long draft that is being
 * kept never stands before a prompt that returns.
 */
bool
link_admit (const struct link *l, enum link_class class, int64_t bytes,
            int64_t budget_us, int64_t now_us)
{
  int64_t ahead;

  if (class == LINK_IMPORT)
    return true;
  if (l->queued_bytes[LINK_IMPORT] > 0 && class == LINK_COPY)
    return false;
  ahead = link_wait_us (l, LINK_COPY, now_us) + bytes * US_PER_S / l->bytes_s;
  return ahead <= budget_us;
}

void
link_begin (struct link *l, enum link_class class, int64_t bytes)
{
  l->queued_bytes[class] += bytes;
}

/* A transfer ended after MOVING_US on the link, 0 if it was given up. */
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
  if (l->bytes_s < LEAST_RATE)
    l->bytes_s = LEAST_RATE;
}
