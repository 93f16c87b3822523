/*
 * Endpoints that crash under requests of this VM.
 *
 * All requests at an endpoint break when its process ends, and each sees a
 * closed connection, which may as well be its own: links are reset, and
 * endpoints break answers off and live.  So an endpoint at which one broke is
 * probed once, and only if nothing listens there any more the requests that
 * broke are evidence.  A probe costs a call a crash, not a request.
 */
#ifndef CQ_RELAYCRASH_H
#define CQ_RELAYCRASH_H

#include "relay.h"

struct relaycrash;

struct relaycrash_opts
{
  struct loop *loop;                               /* whose thread runs it */
  const struct relay_engine *engine;               /* adapter */
  struct quar *quar;                               /* takes the evidence */
  int64_t (*clock_ms) (void *arg, int64_t now_us); /* the platform's */
  void (*on_evidence) (void *arg, int64_t now_us); /* there is some */
  void *arg;                                       /* passed to both */
};

struct relaycrash *relaycrash_new (const struct relaycrash_opts *opts);
/* The connection of request ID to E closed after RAN_US at it, not by us. */
void relaycrash_report (struct relaycrash *s, struct fleet_endpoint *e,
                        const struct reqid *id, int64_t ran_us,
                        int64_t now_us);
void relaycrash_free (struct relaycrash *s);

#endif
