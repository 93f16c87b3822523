/* Claims: at most one run of a call that may not repeat. */
#include "decide.h"

#include <string.h>

/*
 * Judge the row that stands under an idempotency key.
 *
 * A lost reply to our own insert is found here: the row carries our attempt
 * id, so the run is ours after all.  Any other attempt's row means that the
 * call may have been sent; no time-out ever makes it ours, because the owner
 * may be paused between its claim and its send.
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
 * Last check before the first byte of a claimed call leaves.  A VM that was
 * paused after its claim would otherwise send a call whose caller has long
 * been told "unknown"; the clock must go on while the VM is suspended.
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
