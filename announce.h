/*
 * When weights were named: what a VM knows by itself, against what VMs wrote
 * into the lease's row.
 *
 * The operators' table shows only the newest version of a model, and not since
 * when.  A VM that starts, or could not hear for a while, learns from the row
 * since when older weights are outdated.  Everything here is pure.
 */
#ifndef CQ_ANNOUNCE_H
#define CQ_ANNOUNCE_H

#include "fleet.h"
#include "lease.h"

/* Whether it is not known well since when weights of some endpoint are
   outdated, and the row, read last at READ_US, may tell. */
bool announce_is_uncertain (const struct fleet *f, int64_t read_us);
/* Take over what the row says; CLOCK is a reading of the store's clock. */
void announce_read_row (struct fleet *f, const struct lease_clock *clock,
                        const struct lease_row *row);
/* Put what is known into a row that is to be written. */
void announce_write_row (const struct fleet *f,
                         const struct lease_clock *clock,
                         struct lease_row *row);

#endif
