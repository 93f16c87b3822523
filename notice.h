/*
 * Notices: what an endpoint reports about itself in the headers of its
 * answers.
 *
 * Answers don't pass through the platform, so a notice reaches a VM that is
 * cut off from it, and is newer than the endpoint's entry there.
 */
#ifndef CQ_NOTICE_H
#define CQ_NOTICE_H

#include <stdbool.h>
#include <stdint.h>

struct fleet_endpoint;

/* The decoded notices of one answer; zeros for none. */
struct notice
{
  bool has_limit;          /* it reports a limit, readable or not */
  int64_t limit_milli_rps; /* requests in 1000 s that it takes from all VMs, -1
                              if unreadable */
  bool leaving;            /* it drains */
  bool is_brittle;         /* it crashes under too many refusals */
  int64_t refusals_s;      /* refusals in a second that it bears then; 0 if
                              unreadable */
  int64_t backoff_us; /* it refused the request and takes none from this VM for
                         so long; 0 if not reported */
  int speed_percent;  /* with a probe's answer: time that work takes there, 100
                         is normal; 0 if not reported */
};

/* Origin of a notice. */
struct notice_origin
{
  const char *source;   /* kind of the request, for the log */
  int64_t sent_us;      /* when the request was sent */
  bool has_all_notices; /* the answer has all notices in force, so a missing
                           one is cleared */
};

/* Applies the notices N of an answer of E. */
void notice_apply (struct fleet_endpoint *e, const struct notice *n,
                   const struct notice_origin *from, int64_t now_us);

#endif
