/*
 * Detects answers that have stalled.
 *
 * The time that a complete answer takes grows with its size, so a limit on the
 * total time alone would abort every attempt at a large answer at the same
 * point.  A limit on the time without a byte distinguishes a silent sender
 * from a slow link.
 */
#ifndef CQ_STALL_H
#define CQ_STALL_H

#include <stdbool.h>
#include <stdint.h>

/* State of one answer that is being received. */
struct stall
{
  int64_t first_byte_limit_us; /* longest wait for the first byte, 0 for no
                                  limit */
  int64_t next_byte_limit_us;  /* longest wait for each further byte, 0 for no
                                  limit */
  int64_t progress_us;         /* when the wait began, or the last byte came */
  bool started;                /* a byte has come */
};

enum stall_state
{
  STALL_NONE,          /* not stalled */
  STALL_NO_FIRST_BYTE, /* the first byte did not come in time */
  STALL_NO_NEXT_BYTE,  /* some bytes came, and the next did not in time */
};

/* Records that a byte came. */
void stall_byte_received (struct stall *s, int64_t now_us);
/* Returns when the answer counts as stalled unless a byte comes; INT64_MAX for
   never. */
int64_t stall_deadline_us (const struct stall *s);
enum stall_state stall_state (const struct stall *s, int64_t now_us);

#endif
