/*
 * Notices: what an endpoint says of itself in its answers, besides the answer.
 *
 * An answer needs no platform, so a notice reaches a VM that is cut off from
 * it, and is newer than the endpoint's entry there.
 */
#ifndef CQ_NOTICE_H
#define CQ_NOTICE_H

#include <stdbool.h>
#include <stdint.h>

struct fleet_endpoint;

/* The notices of one answer, decoded; zeros for none. */
struct notice
{
  bool has_limit;          /* it names a limit, be it readable or not */
  int64_t limit_milli_rps; /* requests in 1000 s that it takes from all VMs, -1
                          if that cannot be read */
  bool leaving;            /* it leaves */
  int64_t backoff_us; /* it turned the request away, and wants none from this
                      VM for so long; 0 if unsaid */
};

/* Where notices come from. */
struct notice_origin
{
  const char *source;   /* for the log: what was asked */
  int64_t sent_us;      /* when that was sent */
  bool has_all_notices; /* the answer would bear all notices that stand */
};

/* E says so in an answer. */
void notice_apply (struct fleet_endpoint *e, const struct notice *n,
                   const struct notice_origin *from, int64_t now_us);

#endif
