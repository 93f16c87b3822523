/*
 * Value of keeping a segment: the expected recompute time saved, which is the
 * time times the probability of reuse, per byte.  The probability is estimated
 * for each workspace from the gaps after which its prompts returned.
 */
#include "kvdecide.h"

#define US_PER_S INT64_C (1000000)
#define PPM INT64_C (1000000)
#define DECAY_AT 100000 /* number of uses at which all counts are halved */
#define PRIOR_USES 20   /* prior for a new workspace: one in four returns */
#define PRIOR_RETURNS 5

/* Index of the bucket: floor of the binary logarithm of whole seconds. */
static int
bucket_of (int64_t gap_us)
{
  int64_t s = gap_us / US_PER_S;
  int b = 0;

  while (s > 1 && b < KEEP_BUCKETS - 1)
    {
      s >>= 1;
      b++;
    }
  return b;
}

static void
decay (struct keep *k)
{
  int b;

  k->uses /= 2;
  for (b = 0; b < KEEP_BUCKETS; b++)
    k->returns[b] /= 2;
}

void
keep_used (struct keep *k)
{
  if (++k->uses >= DECAY_AT)
    decay (k);
}

void
keep_returned (struct keep *k, int64_t gap_us)
{
  k->returns[bucket_of (gap_us)]++;
}

/*
 * Of the uses that have not returned by AGE_US, the share that returns before
 * AGE_US + SPAN_US.  Buckets are counted as a whole, which is precise enough
 * for the decision.
 */
int64_t
keep_return_ppm (const struct keep *k, int64_t age_us, int64_t span_us)
{
  int from = bucket_of (age_us);
  int to = bucket_of (age_us + span_us);
  int64_t remaining = k->uses + PRIOR_USES;
  int64_t returning = PRIOR_RETURNS;
  int b;

  for (b = 0; b < from; b++)
    remaining -= k->returns[b];
  for (b = from; b <= to; b++)
    returning += k->returns[b];
  if (remaining < 1)
    remaining = 1;
  return returning >= remaining ? PPM : returning * PPM / remaining;
}

int64_t
keep_value_us (const struct keep *k, const struct keep_in *in)
{
  int64_t recompute = in->tokens * US_PER_S / in->prefill_tokens_s;
  int64_t import = in->bytes * US_PER_S / in->link_bytes_s;
  int64_t saved = recompute - import;
  int64_t megabytes = in->bytes / 1000000 + 1;

  if (saved <= 0)
    return 0;
  return saved * keep_return_ppm (k, in->age_us, in->span_us) / PPM
         / megabytes;
}
