/*
 * Times at which callers that an overloaded service refused may come back.
 *
 * Responds to many callers that are refused at once: told about the same
 * delay, they would return at once and be refused again.  Each VM books the
 * work that it told to return, and names times at which it has room.
 */
#ifndef CQ_RETURNS_H
#define CQ_RETURNS_H

#include "decide.h"

#define RETURN_SLOT_US (100 * CQ_US_PER_MS) /* length of a time slot */
#define RETURN_SLOTS 100                    /* time slots that are reserved */

/* Work that one service's callers were told to bring back. */
struct returns
{
  int64_t reserved[RETURN_SLOTS]; /* ring by the number of the time slot */
  int64_t slot;                   /* number of the present one */
  int64_t admitted;               /* work admitted in it */
  int64_t rate;                   /* admitted work in a time slot, smoothed */
};

/* A caller that is refused. */
struct returns_query
{
  int urgency;     /* 0, the most urgent, to 9 */
  int64_t work;    /* that it asks for */
  int64_t left_us; /* time left until its deadline */
  uint64_t random; /* spreads callers within a time slot */
};

/* What it is told. */
struct returns_plan
{
  int64_t retry_us; /* time until it may return, 0 if its deadline is nearer */
  bool has_room;    /* the time slot had room */
  int64_t reserved; /* work reserved there before */
  int64_t room;     /* work for which it had room, for this urgency */
};

/* Counts WORK as admitted. */
void returns_add_admitted (struct returns *s, int64_t work, int64_t now_us);
/* Chooses a time for a refused caller, and books its work. */
struct returns_plan returns_plan (struct returns *s,
                                  const struct returns_query *q,
                                  int64_t now_us);

#endif
