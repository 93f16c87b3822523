/* Decides the outcome of a request from the progress of its attempts. */
#include "decide.h"

const char *
out_name (enum outcome outcome)
{
  static const char *const names[] = {
    [OUT_ANSWERED] = "answered",
    [OUT_NOT_RUN] = "not-run",
    [OUT_UNKNOWN] = "unknown",
    [OUT_FAILED] = "failed",
  };
  return names[outcome];
}

const char *
out_send_name (enum send_state sent)
{
  static const char *const names[] = {
    [SEND_NONE] = "none",       [SEND_PARTIAL] = "partial",
    [SEND_REFUSED] = "refused", [SEND_REPLIED] = "replied",
    [SEND_COMPLETE] = "whole",
  };
  return names[sent];
}

const char *
out_next_name (enum out_next next)
{
  static const char *const names[] = {
    [NEXT_FINISH] = "finish",
    [NEXT_RETRY] = "retry",
    [NEXT_RESUME] = "resume",
  };
  return names[next];
}

bool
out_status_means_not_run (int status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/*
 * A request may be given up between two attempts, in a queue or at a limit.
 * Its outcome is not-run only if no earlier attempt can have run.
 */
enum outcome
out_abandoned (bool may_have_run, bool idempotent)
{
  if (!may_have_run)
    return OUT_NOT_RUN;
  return idempotent ? OUT_FAILED : OUT_UNKNOWN;
}

static struct out_verdict
finish (enum outcome outcome, const char *reason)
{
  return (struct out_verdict){ NEXT_FINISH, outcome, reason, false };
}

static struct out_verdict
finish_with_answer (enum outcome outcome, const char *reason)
{
  return (struct out_verdict){ NEXT_FINISH, outcome, reason, true };
}

static struct out_verdict
continue_with (enum out_next next, const char *reason)
{
  return (struct out_verdict){ next, OUT_UNKNOWN, reason, false };
}

/* The attempt did not run, so another endpoint may be tried even if the
   service is not idempotent. */
static struct out_verdict
after_not_run (const struct out_facts *f, const char *reason)
{
  enum outcome outcome = out_abandoned (f->ran_before, f->idempotent);

  if (f->deadline_passed)
    return finish (outcome, "deadline");
  if (f->attempts_left)
    return continue_with (NEXT_RETRY, reason);
  return finish (outcome, reason);
}

/*
 * The attempt broke after a byte was written.  It may have run, so only a
 * service that is declared idempotent is retried: running a call twice (a
 * truck dispatched twice) costs more than the outcome "unknown".
 */
static struct out_verdict
after_break (const struct out_facts *f)
{
  if (!f->idempotent)
    return finish (OUT_UNKNOWN, "broken_after_send");
  if (f->deadline_passed)
    return finish (OUT_FAILED, "deadline");
  if (!f->attempts_left)
    return finish (OUT_FAILED, "attempts_spent");
  if (!f->caller_has_bytes)
    return continue_with (NEXT_RETRY, "broken_after_send");
  if (f->resumable)
    return continue_with (NEXT_RESUME, "stream_broken");
  return finish (OUT_FAILED, "stream_broken");
}

/*
 * Once the caller has part of a stream, only the rest of that stream completes
 * its reply.  Any other answer, such as an error of the endpoint that was to
 * resume the stream, leaves it broken.
 *
 * An endpoint that ran the request may fail with a status by which callers
 * recognize a request that did not run.  Passed on, it would make them send a
 * non-idempotent request again.
 */
static struct out_verdict
after_reply (const struct out_facts *f)
{
  bool means_not_run = out_status_means_not_run (f->status);

  if (f->caller_has_bytes && !f->ends_stream)
    return after_break (f);
  if (f->status < 500 && !means_not_run)
    return finish_with_answer (OUT_ANSWERED, "answered");
  if (f->idempotent && f->attempts_left && !f->deadline_passed
      && !f->caller_has_bytes)
    return continue_with (NEXT_RETRY, "endpoint_error");
  if (means_not_run)
    return finish (OUT_FAILED, "endpoint_error");
  return finish_with_answer (OUT_FAILED, "endpoint_error");
}

struct out_verdict
out_evaluate (const struct out_facts *facts)
{
  switch (facts->sent)
    {
    case SEND_NONE:
      return after_not_run (facts, "not_reached");
    case SEND_REFUSED:
      return after_not_run (facts, "endpoint_refused");
    case SEND_PARTIAL:
    case SEND_REPLIED:
      return after_break (facts);
    case SEND_COMPLETE:
      return after_reply (facts);
    }
  return finish (OUT_UNKNOWN, "broken_after_send");
}
