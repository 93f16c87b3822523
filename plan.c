/*
 * Chooses how a prompt is prefilled at one endpoint at the least cost: compute
 * all of it, import what a store holds, or import the leading part of that and
 * compute the rest.
 *
 * The time to first token is piecewise linear in the number of imported
 * tokens, with one corner where the import ends at the same time as the queue
 * of the endpoint.  So the minimum is at no import, at that corner, or at the
 * import of all tokens that the store holds.
 */
#include "kvdecide.h"

#define US_PER_S INT64_C (1000000)
#define MARGIN_PERCENT 10 /* least saving of an import, in percent */

static int64_t
tokens_us (int64_t tokens, int64_t tokens_s)
{
  return tokens_s > 0 ? tokens * US_PER_S / tokens_s : 0;
}

static int64_t
max64 (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

static struct plan
estimate (const struct plan_in *in, const struct plan_source *s, int64_t to,
          const struct plan_weights *w)
{
  struct plan p = { .store = -1, .import_end_tokens = in->cached_tokens };
  int64_t moving_us = 0;

  if (s != NULL && to > in->cached_tokens)
    {
      p.store = s->store;
      p.import_end_tokens = to;
      moving_us = tokens_us (to - in->cached_tokens, s->tokens_s);
      p.import_us = s->wait_us + s->setup_us + moving_us;
    }
  p.compute_us = tokens_us (in->prompt_tokens - p.import_end_tokens,
                            in->prefill_tokens_s);
  /* The import runs while the endpoint computes the prompts in its queue. */
  p.first_us
      = in->network_us + max64 (in->queue_us, p.import_us) + p.compute_us;
  p.score = (w->first * p.first_us + w->recompute * p.compute_us
             + w->link * moving_us)
            / 100;
  return p;
}

/* Leading tokens, in whole segments, of an import that ends with the queue. */
static int64_t
overlapped_import (const struct plan_in *in, const struct plan_source *s)
{
  int64_t spare = in->queue_us - s->wait_us - s->setup_us;
  int64_t to;

  if (spare <= 0)
    return in->cached_tokens;
  to = in->cached_tokens + spare * s->tokens_s / US_PER_S;
  to -= to % in->segment_tokens;
  return to < s->tokens ? to : s->tokens;
}

/*
 * The time of a transfer is less predictable than that of an endpoint, because
 * other VMs share the link and their transfers are not visible.  So an import
 * must save at least MARGIN_PERCENT of the score.
 */
static bool
is_worth_import (const struct plan *import, const struct plan *compute)
{
  return import->score * 100 < compute->score * (100 - MARGIN_PERCENT);
}

static void
try_import (struct plan *best, const struct plan *compute,
            const struct plan_in *in, const struct plan_source *s, int64_t to,
            const struct plan_weights *w)
{
  struct plan p;

  if (to > s->tokens)
    return;
  p = estimate (in, s, to, w);
  if (p.score < best->score && is_worth_import (&p, compute))
    *best = p;
}

struct plan
plan_best (const struct plan_in *in, const struct plan_source *sources,
           int nsources, const struct plan_weights *weights)
{
  const struct plan compute = estimate (in, NULL, 0, weights);
  struct plan best = compute;
  int64_t corner;
  int i;

  for (i = 0; i < nsources; i++)
    {
      corner = overlapped_import (in, &sources[i]);
      try_import (&best, &compute, in, &sources[i], sources[i].tokens,
                  weights);
      try_import (&best, &compute, in, &sources[i], corner, weights);
      /* The corner lies between two segment boundaries; try both. */
      try_import (&best, &compute, in, &sources[i],
                  corner + in->segment_tokens, weights);
    }
  return best;
}
