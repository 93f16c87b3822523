/*
 * Cold endpoints: one that has just started bears a rate of requests, summed
 * over all VMs, and crashes well above it.
 *
 * No VM asks another before it sends.  Of the VMs that are listed on the
 * platform some are chosen for each cold endpoint by rendezvous, at most as
 * many as the rate, and only these send there, each its part of the rate.
 * Views of the list may differ: the bound that the platform allows is over the
 * rate itself, and each VM that wrongly takes itself for chosen adds one part.
 */
#ifndef CQ_COLD_H
#define CQ_COLD_H

#include <stdbool.h>
#include <stdint.h>

#include "pace.h"

/* An endpoint as this VM sees it; zeros if it never was cold. */
struct cold
{
  int64_t until_us;        /* cold until then */
  int64_t interval_set_us; /* the pace was set */
  struct pace pace;        /* of this VM's requests while it is cold */
};

/* It is cold until AT_US, unless that is known to be later. */
void cold_until (struct cold *c, int64_t at_us);
bool cold_is (const struct cold *c, int64_t now_us);
/* This VM's part of the rate RATE, as the VM with rank RANK, from 0, of VMS; 0
   if others send. */
int cold_share (int rate, int vms, int rank);
/* Whether the part has to be worked out, for the first time or anew. */
bool cold_is_share_stale (const struct cold *c, int64_t now_us);
/* This VM may send RATE requests a second; evenly spaced, so that no second
   holds two parts. */
void cold_set_share (struct cold *c, int rate, int64_t now_us);

#endif
