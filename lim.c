/* Limits of a workspace: body size, token rate, queued requests. */
#include "decide.h"

void
lim_init (struct lim_workspace *w, const struct lim_opts *opts, int64_t now_us)
{
  *w = (struct lim_workspace){ .opts = *opts };
  w->tokens = opts->token_burst;
  w->refilled_us = now_us;
}

/* Adds the tokens earned since the last call, in whole tokens only. */
static void
refill (struct lim_workspace *w, int64_t now_us)
{
  int64_t rate = w->opts.tokens_s;
  int64_t span = now_us - w->refilled_us;
  int64_t earned;

  if (span <= 0)
    return;
  /* After a long idle time the bucket is full; returning here keeps the
     product below small. */
  if (span / CQ_US_PER_S >= w->opts.token_burst / rate + 1)
    {
      w->tokens = w->opts.token_burst;
      w->refilled_us = now_us;
      return;
    }
  earned = span * rate / CQ_US_PER_S;
  w->tokens += earned;
  w->refilled_us += earned * CQ_US_PER_S / rate;
  if (w->tokens > w->opts.token_burst)
    w->tokens = w->opts.token_burst;
}

static struct lim_verdict
verdict (enum lim_code code, int64_t retry_after_us)
{
  return (struct lim_verdict){ code, retry_after_us };
}

static struct lim_verdict
take_tokens (struct lim_workspace *w, int64_t now_us, int64_t cost)
{
  if (w->opts.tokens_s == 0)
    return verdict (LIM_OK, 0);
  if (cost > w->opts.token_burst)
    return verdict (LIM_OVER_BURST, 0);
  refill (w, now_us);
  if (w->tokens < cost)
    return verdict (LIM_TOKENS,
                    (cost - w->tokens) * CQ_US_PER_S / w->opts.tokens_s + 1);
  w->tokens -= cost;
  return verdict (LIM_OK, 0);
}

/* Checks the limits for one request; on LIM_OK its tokens are spent. */
struct lim_verdict
lim_admit (struct lim_workspace *w, int64_t now_us, int64_t cost_tokens,
           int64_t body_bytes)
{
  if (body_bytes > w->opts.body_max)
    return verdict (LIM_BODY, 0);
  if (w->queued >= w->opts.queue_max)
    return verdict (LIM_QUEUE, CQ_US_PER_S);
  return take_tokens (w, now_us, cost_tokens);
}

/* Returns tokens that were reserved and not used. */
void
lim_refund (struct lim_workspace *w, int64_t tokens)
{
  if (w->opts.tokens_s == 0 || tokens <= 0)
    return;
  w->tokens += tokens;
  if (w->tokens > w->opts.token_burst)
    w->tokens = w->opts.token_burst;
}

const char *
lim_name (enum lim_code code)
{
  static const char *const names[] = {
    [LIM_OK] = "ok",
    [LIM_BODY] = "body_too_large",
    [LIM_TOKENS] = "token_rate",
    [LIM_QUEUE] = "workspace_queue_full",
    [LIM_OVER_BURST] = "exceeds_token_burst",
  };
  return names[code];
}
