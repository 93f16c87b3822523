/*
 * When weight versions were announced: combines what this VM observed with
 * what VMs wrote into the lease's row.
 *
 * The operators' table shows only the newest version of a model, without the
 * time of its announcement.  A VM that starts, or had no connection for a
 * while, learns from the row since when older weights are outdated.  All
 * functions here are pure.
 */
#ifndef CQ_ANNOUNCE_H
#define CQ_ANNOUNCE_H

#include "fleet.h"
#include "lease.h"

/* Whether the time since which some endpoint's weights are outdated is
   uncertain, and the row, last read at READ_US, may tell it. */
bool announce_is_uncertain (const struct fleet *f, int64_t read_us);
/* Takes over the announcements of the row; CLOCK is a reading of the store's
   clock. */
void announce_read_row (struct fleet *f, const struct lease_clock *clock,
                        const struct lease_row *row);
/* Adds the announcements that this VM knows to a row that is to be written. */
void announce_write_row (const struct fleet *f,
                         const struct lease_clock *clock,
                         struct lease_row *row);

#endif
