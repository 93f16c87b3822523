/*
 * Until when the settings here are known to be the newest there are.
 *
 * A duration counts from when the knowledge was current, not from when this VM
 * learned it: a reply that was handled late, or an answer of a VM that is
 * itself behind, would make old settings new.
 */
#ifndef CQ_FRESH_H
#define CQ_FRESH_H

#include <stdbool.h>
#include <stdint.h>

/* What is known of it.  All zero: nothing is. */
struct fresh
{
  bool is_confirmed;         /* at_us counts */
  int64_t confirmed_us;      /* our revision was the newest then */
  uint64_t pending_revision; /* a newer revision that is not here yet, or 0 */
  int64_t pending_us;        /* that was the newest then */
};

/*
 * Somebody says that SAID was the newest revision at AT_US; HAVE is in force
 * here, and WANTED is the highest that was heard of.  An older revision comes
 * from a source that lags, and confirms nothing; a newer one does when it is
 * in force here.
 */
void fresh_confirm (struct fresh *f, uint64_t said, uint64_t have,
                    uint64_t wanted, int64_t at_us);

/* HAVE came into force here. */
void fresh_revision_applied (struct fresh *f, uint64_t have, uint64_t wanted);

/* Whether nothing was confirmed for LIMIT_US. */
bool fresh_is_expired (const struct fresh *f, int64_t limit_us,
                       int64_t now_us);

/* The age in milliseconds to tell another VM, at least as great as it is; -1
   if nothing is known. */
int64_t fresh_age_ms (const struct fresh *f, int64_t now_us);

/*
 * When what another VM said was current, if it was asked at ASKED_US and told
 * an age of AGE_MS.  It told that after it was asked, so this is no later than
 * it was, however late the answer is handled.  False if the age is no use.
 */
bool fresh_time_from_age (int64_t asked_us, uint64_t age_ms, int64_t *at_us);

#endif
