/*
 * Tracks until when the settings of this VM are known to be the newest.
 *
 * A time limit counts from when the knowledge was current, not from when this
 * VM learned it: otherwise a reply that was handled late, or an answer of a VM
 * that itself lags, would make old settings count as new.
 */
#ifndef CQ_FRESH_H
#define CQ_FRESH_H

#include <stdbool.h>
#include <stdint.h>

/* State of this knowledge; all zero if nothing is known. */
struct fresh
{
  bool is_confirmed;         /* confirmed_us is valid */
  int64_t confirmed_us;      /* our revision was the newest at this time */
  uint64_t pending_revision; /* a newer revision that is not in force here yet,
                                or 0 */
  int64_t pending_us;        /* pending_revision was the newest at this time */
};

/*
 * A source reports that REPORTED was the newest revision at AT_US; HAVE is in
 * force here, and WANTED is the highest revision that is known of.  An older
 * revision comes from a source that lags, and confirms nothing; a newer one
 * confirms once it is in force here.
 */
void fresh_confirm (struct fresh *f, uint64_t reported, uint64_t have,
                    uint64_t wanted, int64_t at_us);

/* Revision HAVE came into force here. */
void fresh_revision_applied (struct fresh *f, uint64_t have, uint64_t wanted);

/* Returns whether nothing was confirmed for LIMIT_US. */
bool fresh_is_expired (const struct fresh *f, int64_t limit_us,
                       int64_t now_us);

/* Returns the age of the last confirmation in ms, rounded up, to send to
   another VM; -1 if there is none. */
int64_t fresh_age_ms (const struct fresh *f, int64_t now_us);

/*
 * Sets *AT_US to when the report of another VM was current, if it was asked at
 * ASKED_US and reported an age of AGE_MS.  It reported after it was asked, so
 * this is no later than the actual time, however late the answer is handled.
 * Returns false if the age is too large.
 */
bool fresh_time_from_age (int64_t asked_us, uint64_t age_ms, int64_t *at_us);

#endif
