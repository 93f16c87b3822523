/*
 * Rate limits that endpoints report: how many requests a second an endpoint
 * takes from all VMs together, until it reports another limit or none.
 *
 * VMs don't coordinate before they send.  The requests that an endpoint takes
 * in a window of some seconds are divided among the VMs that the platform
 * lists, by rendezvous hashing, in whole requests, and each VM spaces its own
 * evenly.  Where there are more VMs than requests, the VMs rotate, so that
 * each of them sends from time to time and learns when the limit is cleared;
 * between two rotations no VM sends for a window.  So no window exceeds the
 * limit if all VMs have the same list; a VM with another list adds at most the
 * share that it assumes.
 */
#ifndef CQ_LIMIT_H
#define CQ_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "pace.h"

/* Interval between requests of a VM that has no share, or knows no other VMs:
   it must send to learn when the limit is cleared. */
#define LIMIT_PROBE_INTERVAL_US INT64_C (30000000)

/* The limit of an endpoint as this VM knows it; zeros if it reported none. */
struct limit
{
  bool active;             /* a limit is in force */
  int64_t milli_rps;       /* requests in 1000 s from all VMs together */
  int64_t reported_us;     /* when an answer last reported it */
  int64_t interval_set_us; /* when the interval was set; 0 if it must be set
                              again */
  struct pace pace;        /* pace of this VM's requests */
};

/* An answer to a request sent at SENT_US reported a limit of MILLI_RPS
   requests in 1000 s; returns whether this changes the limit. */
bool limit_report (struct limit *l, int64_t milli_rps, int64_t sent_us,
                   int64_t now_us);
/* An answer to a request sent at SENT_US reported no limit; returns whether
   this clears the limit. */
bool limit_clear (struct limit *l, int64_t sent_us);

/* Returns whether there are more VMs than requests in a window, so that the
   VMs rotate. */
bool limit_is_rotated (int64_t milli_rps, int vms);
/* Returns the number of the rotation at CLOCK_MS of the platform's clock. */
uint64_t limit_rotation (int64_t clock_ms);
/* Returns whether CLOCK_MS is in the pause between two rotations. */
bool limit_is_rotation_pause (int64_t clock_ms);
/* Returns the interval between requests of the VM with rank RANK, from 0, of
   VMS; 0 if it has no share. */
int64_t limit_interval_us (int64_t milli_rps, int vms, int rank);

/* Returns whether the interval must be set, for the first time or again. */
bool limit_is_interval_stale (const struct limit *l, int64_t now_us);
void limit_set_interval (struct limit *l, int64_t interval_us, int64_t now_us);
/* Returns whether the limit allows this VM to select the endpoint now. */
bool limit_may_place (const struct limit *l, int64_t now_us);
/* Returns whether the limit allows it to send there; checked again just before
   a request is sent. */
bool limit_may_send (const struct limit *l, int64_t now_us);

#endif
