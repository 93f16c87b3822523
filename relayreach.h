/*
 * Which services the relay reaches: records the connections of attempts, and
 * probes the endpoints of services that are not reached.
 */
#ifndef CQ_RELAYREACH_H
#define CQ_RELAYREACH_H

#include "reach.h"
#include "relay.h"

/* Reach of one worker. */
struct relayreach;

struct relayreach_opts
{
  struct loop *loop;                 /* event loop of the worker */
  struct fleet *fleet;               /* known endpoints */
  const struct relay_engine *engine; /* engine adapter; probe may be NULL */
  uint64_t seed;                     /* of random choices */
};

/* Copies OPTS; what it points to must outlive the result. */
struct relayreach *relayreach_new (const struct relayreach_opts *opts);
/* Memory is released once the last probe under way has returned. */
void relayreach_free (struct relayreach *t);
/* A connection to E, started at STARTED_US, was established. */
void relayreach_connected (struct relayreach *t,
                           const struct fleet_endpoint *e, int64_t started_us,
                           int64_t now_us);
/* An attempt to connect to E, started at STARTED_US, failed. */
void relayreach_failed (struct relayreach *t, const struct fleet_endpoint *e,
                        int64_t started_us, int64_t now_us);
/* Whether connections to two endpoints of SERVICE failed since one was
   established. */
bool relayreach_is_doubtful (const struct relayreach *t, const char *service);
/* Fill in the services that are not reached. */
void relayreach_describe (const struct relayreach *t, struct vmpath_answer *a);
/* Whether no endpoint of SERVICE is reached. */
bool relayreach_is_isolated (const struct relayreach *t, const char *service);
/* Whether a connection to an endpoint of any service other than E was
   established that was started after SINCE_US. */
bool relayreach_connected_since (const struct relayreach *t,
                                 const struct fleet_endpoint *e,
                                 int64_t since_us);
/* Probe an endpoint of any service other than E.  DONE is called once, after
   the call has returned, also if T is freed before; false, and DONE is not
   called, if there is no other endpoint. */
bool relayreach_probe_other (struct relayreach *t,
                             const struct fleet_endpoint *e,
                             void (*done) (void *arg), void *arg);

#endif
