/*
 * Failed endpoints, as the relay meets them: records what attempts and probes
 * show in the health of their endpoints, decides which endpoints are ejected,
 * and probes those.
 */
#ifndef CQ_RELAYHEALTH_H
#define CQ_RELAYHEALTH_H

#include "conntime.h"
#include "relay.h"

/* Health of the endpoints of one worker. */
struct relayhealth;

struct relayhealth_opts
{
  struct loop *loop;                 /* event loop of the worker */
  struct fleet *fleet;               /* known endpoints */
  const struct relay_engine *engine; /* engine adapter; probe may be NULL */
  /* Whether it is this VM that probes the ejected endpoint with this key now;
     NULL if any VM does. */
  bool (*may_probe) (void *arg, uint64_t endpoint, int64_t now_us);
  /* This VM observed an endpoint; may be NULL. */
  void (*on_seen) (void *arg, const struct endpoint_report *seen,
                   int64_t now_us);
  void *arg; /* for both callbacks */
};

/* An attempt as its connection was started. */
struct relayhealth_attempt
{
  struct fleet_endpoint *endpoint; /* destination */
  int64_t started_us;              /* when the attempt started */
  int64_t timeout_us;              /* allowed for its connection */
  int64_t late_us; /* lateness of the loop up to its start; set by
                      relayhealth_start */
};

/* Copies OPTS; what it points to must outlive the result. */
struct relayhealth *relayhealth_new (const struct relayhealth_opts *opts);
/* Memory is released once the last probe under way has returned. */
void relayhealth_free (struct relayhealth *t);

/* Decide which endpoints are ejected; called before each placement. */
void relayhealth_refresh (struct relayhealth *t, int64_t now_us);
/* Start A, whose started_us and endpoint are set, for a route with latency
   target TARGET_US: sets the rest. */
void relayhealth_start (struct relayhealth *t, struct relayhealth_attempt *a,
                        int64_t target_us);
/* The connection of an attempt took TOOK_US. */
void relayhealth_connected (struct relayhealth *t,
                            const struct fleet_endpoint *e, int64_t took_us,
                            int64_t now_us);
/* E answered an attempt whose connection was established at CONNECTED_US;
   RUNNING and WAITING are as in struct relay_head. */
void relayhealth_answered (struct relayhealth *t, struct fleet_endpoint *e,
                           int running, int waiting, int64_t connected_us,
                           int64_t now_us);
/* Attempt A failed as SEEN, which is not LOAD_SEEN_ANSWERED. */
void relayhealth_failed (struct relayhealth *t,
                         const struct relayhealth_attempt *a,
                         enum load_seen seen, int64_t now_us);

#endif
