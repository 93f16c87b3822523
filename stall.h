/*
 * Whether an answer that is waited for still comes.
 *
 * The time that a whole answer takes grows with its size, so a limit on that
 * alone cuts every try of a large one at the same point, for good.  A limit on
 * the time without a byte tells a silent sender from a slow link.
 */
#ifndef CQ_STALL_H
#define CQ_STALL_H

#include <stdbool.h>
#include <stdint.h>

/* A wait for an answer's bytes. */
struct stall
{
  int64_t first_byte_limit_us; /* longest wait for the first byte, 0 for no
                                  limit */
  int64_t next_byte_limit_us;  /* and for each further one, 0 for no limit */
  int64_t progress_us;         /* when it began, or when the last byte came */
  bool started;                /* a byte came */
};

enum stall_state
{
  STALL_NONE,          /* or there is time left */
  STALL_NO_FIRST_BYTE, /* no byte came within its time */
  STALL_NO_NEXT_BYTE,  /* some came, and then none for too long */
};

/* A byte came. */
void stall_byte_received (struct stall *s, int64_t now_us);
/* When the wait is over unless a byte comes; INT64_MAX if it has no end. */
int64_t stall_deadline_us (const struct stall *s);
enum stall_state stall_state (const struct stall *s, int64_t now_us);

#endif
