/*
 * Limits that endpoints name: how many requests a second they take from all
 * VMs together, until they say otherwise.
 *
 * No VM asks another before it sends.  What an endpoint takes in a window of
 * some seconds is dealt to the VMs that the platform lists, by rendezvous, in
 * whole requests, and each VM spaces its own evenly.  Where there are more VMs
 * than requests, others have their turn after a while, so that all of them
 * hear in the end that the limit was lifted; between two turns nobody sends
 * for a window.  So no window holds more than the limit allows, if VMs have
 * the same list; one that errs adds what it takes for its part.
 */
#ifndef CQ_LIMIT_H
#define CQ_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "pace.h"

/* Between two requests of a VM that has no part, or knows no other VMs: it
   must hear when the limit is lifted. */
#define LIMIT_PROBE_INTERVAL_US INT64_C (30000000)

/* The limit of an endpoint as this VM knows it; zeros if it named none. */
struct limit
{
  bool active;             /* it stands */
  int64_t milli_rps;       /* requests in 1000 s, from all VMs together */
  int64_t reported_us;     /* an answer named it last */
  int64_t interval_set_us; /* the pace was set; 0 if it has to be set anew */
  struct pace pace;        /* of this VM's requests */
};

/* An answer to what was sent at SENT_US names a limit of MILLI; returns
   whether that changes anything. */
bool limit_report (struct limit *l, int64_t milli, int64_t sent_us,
                   int64_t now_us);
/* An answer to what was sent at SENT_US names none; likewise. */
bool limit_clear (struct limit *l, int64_t sent_us);

/* Whether the VMs are so many that they take turns. */
bool limit_is_rotated (int64_t milli, int vms);
/* Number of the turn at CLOCK_MS of the platform's clock. */
uint64_t limit_rotation (int64_t clock_ms);
/* Whether that is the time between two turns. */
bool limit_is_rotation_pause (int64_t clock_ms);
/* Time between requests of the VM with rank RANK, from 0, of VMS; 0 if it has
   no part. */
int64_t limit_interval_us (int64_t milli, int vms, int rank);

/* Whether the pace has to be worked out, for the first time or anew. */
bool limit_is_interval_stale (const struct limit *l, int64_t now_us);
void limit_set_interval (struct limit *l, int64_t gap_us, int64_t now_us);
/* Whether the limit lets this VM choose the endpoint now. */
bool limit_may_place (const struct limit *l, int64_t now_us);
/* Whether it lets it send there, at the last moment. */
bool limit_may_send (const struct limit *l, int64_t now_us);

#endif
