/*
 * Limits that endpoints name: how many requests a second they take from all
 * VMs together, until they say otherwise.
 */
#ifndef CQ_LIMIT_H
#define CQ_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/* The limit of an endpoint as this VM knows it; zeros if it named none. */
struct limit
{
  bool named;       /* it stands */
  int64_t milli;    /* requests in 1000 s, from all VMs together */
  int64_t heard_us; /* an answer named it last */
};

/* An answer to what was sent at SENT_US names a limit of MILLI; returns
   whether that changes anything. */
bool limit_name (struct limit *l, int64_t milli, int64_t sent_us,
                 int64_t now_us);
/* An answer to what was sent at SENT_US names none; likewise. */
bool limit_lift (struct limit *l, int64_t sent_us);

#endif
