/*
 * How long connections to endpoints may take, learned for each failure domain
 * from the time that they did take.
 *
 * Responds to endpoints that accept no connections: with a fixed 400 ms, a
 * request that meets one is late by that much, although a connection usually
 * takes 1 ms.  Nothing is sent before the connection is established, so a
 * request may go to another endpoint.  The code has no side effects.
 */
#ifndef CQ_CONNTIME_H
#define CQ_CONNTIME_H

#include <stdint.h>

#include "fleet.h"

#define CONNTIME_DOMAINS_MAX 16 /* failure domains that are kept */
/* Bounds of the timeout.  A VM with 0.12 of a core lags by up to 100 ms. */
#define CONNTIME_MIN_US INT64_C (100000)
#define CONNTIME_MAX_US INT64_C (400000)

/* Connections to one failure domain, in two windows of time. */
struct conntime_domain
{
  char name[FLEET_NAME_SIZE]; /* its name */
  int64_t window;             /* number of the present window */
  int64_t largest_us;         /* longest connection in it; 0 if there was
                                 none */
  int64_t previous_us;        /* the same in the window before it */
};

/* What was learned; zeros for nothing. */
struct conntime
{
  struct conntime_domain domains[CONNTIME_DOMAINS_MAX]; /* by domain */
  int ndomains; /* entries in domains */
};

/* A connection to an endpoint in DOMAIN took TOOK_US. */
void conntime_add (struct conntime *t, const char *domain, int64_t took_us,
                   int64_t now_us);
/* Longest time to wait for a connection to DOMAIN, for a route with latency
   target TARGET_US, 0 if it has none. */
int64_t conntime_timeout_us (const struct conntime *t, const char *domain,
                             int64_t target_us, int64_t now_us);

#endif
