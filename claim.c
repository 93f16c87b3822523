/* Claims: at most one run of a non-idempotent call. */
#include "decide.h"

#include <string.h>

/*
 * Evaluates the row stored under an idempotency key.
 *
 * If the reply to our own insert was lost, the row carries our attempt id, so
 * the run is ours.  A row of another attempt means that the call may have been
 * sent.  No timeout transfers the claim, because its owner may be paused
 * between the claim and the send.
 */
enum claim_code
claim_evaluate (const struct claim_row *row, const char *attempt,
                const char *digest, int64_t wall_ms)
{
  if (strcmp (row->digest, digest) != 0)
    return CLAIM_MISMATCH;
  if (row->phase == CLAIM_DONE)
    return CLAIM_REPLAY;
  if (strcmp (row->attempt, attempt) == 0)
    return CLAIM_OWN;
  if (wall_ms >= row->give_up_ms)
    return CLAIM_LOST;
  return CLAIM_WAIT;
}

/*
 * Last check before the first byte of a claimed call is sent.  Without it a VM
 * that was paused after its claim could send a call whose caller has already
 * received the outcome "unknown".  The clock must include the time during
 * which the VM is suspended.
 */
bool
claim_may_send (int64_t claimed_us, int64_t send_within_us, int64_t now_us)
{
  return now_us >= claimed_us && now_us - claimed_us < send_within_us;
}

const char *
claim_name (enum claim_code code)
{
  static const char *const names[] = {
    [CLAIM_OWN] = "own",           [CLAIM_REPLAY] = "replay",
    [CLAIM_WAIT] = "wait",         [CLAIM_LOST] = "lost",
    [CLAIM_MISMATCH] = "mismatch",
  };
  return names[code];
}
