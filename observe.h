/*
 * What this VM observed of endpoints and is to report to other VMs, and the
 * effect of their reports here.
 *
 * With many VMs, each one gets an answer from a given endpoint only every few
 * seconds, so it learns late that the endpoint has failed, is slow or is full.
 * Together they see several answers of it a second.  The code here has no side
 * effects besides the state that is passed to it.
 */
#ifndef CQ_OBSERVE_H
#define CQ_OBSERVE_H

#include "fleet.h"
#include "load.h"

/* Shortest time between two messages of this VM. */
#define OBSERVE_MESSAGE_GAP_US INT64_C (20000)
/* An urgent report is sent within the first time.  Others wait for the second
   one, so that they share a message. */
#define OBSERVE_URGENT_DELAY_US INT64_C (5000)
#define OBSERVE_LOAD_DELAY_US INT64_C (50000)
/* Older observations are not sent. */
#define OBSERVE_SEND_MAX_AGE_US INT64_C (1000000)
/* Received reports that were older when they were sent have no effect. */
#define OBSERVE_APPLY_MAX_AGE_US INT64_C (1500000)

struct observe;

struct observe *observe_new (void);
void observe_free (struct observe *o);

/* This VM observed R; the newest observation of an endpoint replaces one that
   was not sent yet. */
void observe_own (struct observe *o, const struct endpoint_report *r,
                  int64_t now_us);
/* Moves up to MAX reports to TO, for a message that is sent now: failures
   first, then changes of speed, then load.  Call it for each message, also for
   one without room for reports.  Returns the number of reports. */
int observe_collect (struct observe *o, struct endpoint_report *to, int max,
                     int64_t now_us);
/* Whether a failure, or a change of speed by a quarter or more, is to be
   sent. */
bool observe_is_urgent (const struct observe *o);
/* Time at which the next message is to be sent; INT64_MAX if there is no
   report for it. */
int64_t observe_due_us (const struct observe *o);
/* Time before which no message may be sent. */
int64_t observe_earliest_us (const struct observe *o);

/* Whether a received report is recent enough to have an effect. */
bool observe_is_recent (const struct endpoint_report *r);
const char *observe_seen_name (enum load_seen seen);
/* Apply the reports of a VM, in W, to the endpoints of F.  NEAR: it is in this
   VM's failure domain. */
void observe_apply (struct fleet *f, const struct load_gossip *w, bool near,
                    int64_t now_us);

#endif
