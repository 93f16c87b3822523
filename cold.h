/*
 * Cold endpoints: an endpoint that has just started can take only a certain
 * rate of requests, summed over all VMs, and crashes well above it.
 *
 * VMs don't coordinate before they send.  For each cold endpoint some of the
 * VMs that the platform lists are chosen by rendezvous hashing, at most as
 * many as the rate, and only these send there, each its share of the rate.
 * The VMs' lists may differ: the rate that an endpoint tolerates is above the
 * configured one, and each VM that wrongly considers itself chosen adds one
 * share.
 */
#ifndef CQ_COLD_H
#define CQ_COLD_H

#include <stdbool.h>
#include <stdint.h>

#include "pace.h"

/* Cold state of an endpoint on this VM; zeros if it never was cold. */
struct cold
{
  int64_t until_us;        /* the endpoint is cold until then */
  int64_t interval_set_us; /* when the interval was set */
  struct pace pace;        /* pace of this VM's requests while it is cold */
};

/* Marks the endpoint as cold until AT_US, or later if that is known
   already. */
void cold_until (struct cold *c, int64_t at_us);
bool cold_is (const struct cold *c, int64_t now_us);
/* Returns the share, in requests a second, that the VM with rank RANK, from 0,
   of VMS has of RATE; 0 if it may not send. */
int cold_share (int rate, int vms, int rank);
/* Returns whether the share must be set, for the first time or again. */
bool cold_is_share_stale (const struct cold *c, int64_t now_us);
/* Sets this VM's share to RATE requests a second, spaced evenly, so that no
   second holds more than one share. */
void cold_set_share (struct cold *c, int rate, int64_t now_us);

#endif
