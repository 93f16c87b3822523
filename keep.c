/*
 * What is worth keeping: seconds of recompute saved, times the chance of a
 * return, for each byte; the chance is learned for each workspace from the
 * gaps after which its prompts returned.
 */
#include "kvdecide.h"

#define US_PER_S INT64_C (1000000)
#define PPM INT64_C (1000000)
#define DECAY_AT 100000 /* uses after which all counts are halved */
#define PRIOR_USES 20   /* until a workspace is known: one in four returns */
#define PRIOR_RETURNS 5

/* Number of the bucket: floor of the binary logarithm of whole seconds. */
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
 * Of the uses that have not returned by AGE, the share that returns before
 * AGE + SPAN.  Buckets count whole, which is as fine as the decision needs.
 */
int64_t
keep_chance_ppm (const struct keep *k, int64_t age_us, int64_t span_us)
{
  int from = bucket_of (age_us);
  int to = bucket_of (age_us + span_us);
  int64_t left = k->uses + PRIOR_USES;
  int64_t soon = PRIOR_RETURNS;
  int b;

  for (b = 0; b < from; b++)
    left -= k->returns[b];
  for (b = from; b <= to; b++)
    soon += k->returns[b];
  if (left < 1)
    left = 1;
  return soon >= left ? PPM : soon * PPM / left;
}

int64_t
keep_worth (const struct keep *k, const struct keep_in *in)
{
  int64_t recompute = in->tokens * US_PER_S / in->prefill_tokens_s;
  int64_t import = in->bytes * US_PER_S / in->link_bytes_s;
  int64_t saved = recompute - import;
  int64_t megabytes = in->bytes / 1000000 + 1;

  if (saved <= 0)
    return 0;
  return saved * keep_chance_ppm (k, in->age_us, in->span_us) / PPM
         / megabytes;
}
