/*
 * Whether this VM reaches the endpoints of a service.
 *
 * Responds to a VM that is partitioned from all endpoints while other VMs
 * reach them: its requests are better served there.  An established connection
 * is the only evidence of a path; answers on older connections are none, since
 * these may outlive it.  The code has no side effects.
 */
#ifndef CQ_REACH_H
#define CQ_REACH_H

#include <stdbool.h>
#include <stdint.h>

/* Endpoints to which connections must have failed: a VM that just lost one or
   two has not lost its path. */
#define REACH_ENDPOINTS 3
/* Interval between probes of a service that is not reached; it doubles from
   the first to the last. */
#define REACH_PROBE_MIN_US INT64_C (250000)
#define REACH_PROBE_MAX_US INT64_C (2000000)

/* Evidence on one service; zeros if there is none. */
struct reach
{
  uint64_t failed[REACH_ENDPOINTS]; /* different endpoints to which connections
                                       failed since one was established */
  int nfailed;                      /* entries in failed */
  int64_t failed_us;    /* when the first of these attempts failed */
  int64_t connected_us; /* when the newest connection was established, 0 for
                           never */
  int64_t probe_due_us; /* when the next probe may start */
  int64_t probe_interval_us; /* from that one to the next */
};

/* A connection to an endpoint of the service was established. */
void reach_add_connected (struct reach *r, int64_t now_us);
/* An attempt to connect to ENDPOINT, started at STARTED_US, failed. */
void reach_add_failure (struct reach *r, uint64_t endpoint, int64_t started_us,
                        int64_t now_us);
/* Whether no endpoint of the service, which has ENDPOINTS of them, is
   reached; false if it has none. */
bool reach_is_isolated (const struct reach *r, int endpoints);
/* Whether a probe is due, while the service is not reached; if so, the next
   one is due an interval later. */
bool reach_take_probe (struct reach *r, int64_t now_us);

#endif
