/* Whether an answer that is waited for still comes: pure. */
#include "stall.h"

void
stall_byte (struct stall *s, int64_t now_us)
{
  s->begun = true;
  s->since_us = now_us;
}

int64_t
stall_due_us (const struct stall *s)
{
  int64_t limit = s->begun ? s->more_us : s->first_us;

  return limit > 0 ? s->since_us + limit : INT64_MAX;
}

enum stall_state
stall_state (const struct stall *s, int64_t now_us)
{
  if (now_us < stall_due_us (s))
    return STALL_COMING;
  return s->begun ? STALL_MIDWAY : STALL_SILENT;
}
