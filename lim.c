/* Limits of a workspace: body size, token rate, waiting requests. */
#include "decide.h"

void
lim_init (struct lim_workspace *w, const struct lim_opts *opts, int64_t now_us)
{
  *w = (struct lim_workspace){ .opts = *opts };
  w->tokens = opts->token_burst;
  w->refilled_us = now_us;
}

/* Add the tokens earned since the last call, in whole tokens only. */
static void
fill (struct lim_workspace *w, int64_t now_us)
{
  int64_t rate = w->opts.tokens_s;
  int64_t span = now_us - w->refilled_us;
  int64_t earned;

  if (span <= 0)
    return;
  /* A long idle time fills the bucket; this keeps the product small. */
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
refuse (enum lim_code code, int64_t retry_after_us)
{
  return (struct lim_verdict){ code, retry_after_us };
}

static struct lim_verdict
take_tokens (struct lim_workspace *w, int64_t now_us, int64_t cost)
{
  if (w->opts.tokens_s == 0)
    return refuse (LIM_OK, 0);
  if (cost > w->opts.token_burst)
    return refuse (LIM_OVER_BURST, 0);
  fill (w, now_us);
  if (w->tokens < cost)
    return refuse (LIM_TOKENS,
                   (cost - w->tokens) * CQ_US_PER_S / w->opts.tokens_s + 1);
  w->tokens -= cost;
  return refuse (LIM_OK, 0);
}

/* Judge whether a request may enter; on LIM_OK its tokens are spent. */
struct lim_verdict
lim_admit (struct lim_workspace *w, int64_t now_us, int64_t cost_tokens,
           int64_t body_bytes)
{
  if (body_bytes > w->opts.body_max)
    return refuse (LIM_BODY, 0);
  if (w->queued >= w->opts.queue_max)
    return refuse (LIM_QUEUE, CQ_US_PER_S);
  return take_tokens (w, now_us, cost_tokens);
}

/* Give back tokens that were reserved and not used. */
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
