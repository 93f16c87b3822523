/* Detects answers that have stalled; has no side effects. */
#include "stall.h"

void
stall_byte_received (struct stall *s, int64_t now_us)
{
  s->started = true;
  s->progress_us = now_us;
}

int64_t
stall_deadline_us (const struct stall *s)
{
  int64_t limit = s->started ? s->next_byte_limit_us : s->first_byte_limit_us;

  return limit > 0 ? s->progress_us + limit : INT64_MAX;
}

enum stall_state
stall_state (const struct stall *s, int64_t now_us)
{
  if (now_us < stall_deadline_us (s))
    return STALL_NONE;
  return s->started ? STALL_NO_NEXT_BYTE : STALL_NO_FIRST_BYTE;
}
