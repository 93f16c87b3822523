/*
 * Detection of endpoints that crash under requests of this VM.
 *
 * When the process of an endpoint ends, the connections of all its requests
 * close.  A connection may also close for other reasons: links are reset, and
 * an endpoint may break off an answer and continue to run.  So an endpoint at
 * which a connection broke is probed, and the broken requests become evidence
 * only if nothing listens there any more.  A refused connection shows that
 * only while this VM has a path to endpoints: a partition refuses connections
 * to endpoints that run.  The probes cost one or two calls for each crash, not
 * for each request.
 */
#ifndef CQ_RELAYCRASH_H
#define CQ_RELAYCRASH_H

#include "relay.h"
#include "relayreach.h"

/* Crash detection of one worker. */
struct relaycrash;

struct relaycrash_opts
{
  struct loop *loop;                 /* event loop of the worker */
  const struct relay_engine *engine; /* engine adapter, with probe */
  struct relayreach *reach;          /* connections to endpoints */
  struct quar *quar;                 /* stores the evidence */
  /* The platform's clock in Unix ms, 0 if it is not known. */
  int64_t (*clock_ms) (void *arg, int64_t now_us);
  void (*on_evidence) (void *arg, int64_t now_us); /* evidence was added */
  void *arg;                                       /* for both callbacks */
};

/* Copies OPTS; what it points to must outlive the result. */
struct relaycrash *relaycrash_new (const struct relaycrash_opts *opts);
/* E or the network closed the connection of request S, which had been at E for
   RAN_US; without parts if they are no cause. */
void relaycrash_report (struct relaycrash *s, struct fleet_endpoint *e,
                        const struct quar_subject *subject, int64_t ran_us,
                        int64_t now_us);
/* Memory is released once the last probe under way has returned. */
void relaycrash_free (struct relaycrash *s);

#endif
