/* When weight versions were announced: a VM's own knowledge and the lease's
   row. */
#include "announce.h"

#include <string.h>

/* A VM that learns of an announcement so long after it may have been made
   reads its time from the row. */
#define UNCERTAIN_AFTER_US INT64_C (1500000)
/* Some VM learns of an announcement at once and writes the row within 0.4 s,
   or, if it holds the lease, with the next renewal within 0.6 s. */
#define ROW_WRITTEN_WITHIN_US INT64_C (1000000)

/* Whether a newer announced version makes the endpoint's weights outdated.  An
   endpoint whose weights are merely uncertain needs a state query, but no
   announcement applies to it. */
static bool
is_outdated (const struct fleet *f, const struct fleet_endpoint *e)
{
  return fleet_needs_weights (f, e) && fleet_outdated_by (f, e) != NULL;
}

static bool
is_uncertain (const struct fleet *f, const struct fleet_endpoint *e,
              int64_t read_us)
{
  int64_t since = fleet_earliest_outdated_us (f, e);
  int64_t learned
      = fleet_version_learned_us (f, e->listing.model, e->version + 1);

  return since == FLEET_NEVER
         || (learned - since > UNCERTAIN_AFTER_US
             && read_us < learned + ROW_WRITTEN_WITHIN_US);
}

bool
announce_is_uncertain (const struct fleet *f, int64_t read_us)
{
  const struct fleet_endpoint *e;

  APR_RING_FOREACH (e, &f->endpoints, fleet_endpoint, link)
  {
    if (is_outdated (f, e) && is_uncertain (f, e, read_us))
      return true;
  }
  return false;
}

/* Includes versions that this VM cannot have seen: a row that has them tells
   since when weights older than these are outdated. */
void
announce_read_row (struct fleet *f, const struct lease_clock *clock,
                   const struct lease_row *row)
{
  const struct lease_announcement *n;

  for (n = row->announcements; n < row->announcements + row->nannouncements;
       n++)
    fleet_add_announcement_bound (f, n->model, n->version,
                                  lease_to_local_us (clock, n->since_ms));
}

/* An announcement that this VM has seen was not made later than that, whatever
   the row says. */
static void
correct_row (const struct fleet *f, const struct lease_clock *clock,
             struct lease_row *row)
{
  struct lease_announcement *n;
  int64_t learned;

  for (n = row->announcements; n < row->announcements + row->nannouncements;
       n++)
    {
      learned = fleet_version_learned_us (f, n->model, n->version);
      if (learned != FLEET_NEVER)
        n->since_ms = MIN (n->since_ms, lease_earliest_ms (clock, learned));
    }
}

/* Adds only announcements that concern an endpoint whose weights must change,
   because the row holds few. */
void
announce_write_row (const struct fleet *f, const struct lease_clock *clock,
                    struct lease_row *row)
{
  const struct fleet_endpoint *e;
  struct lease_announcement n;
  int64_t since;

  correct_row (f, clock, row);
  APR_RING_FOREACH (e, &f->endpoints, fleet_endpoint, link)
  {
    since
        = is_outdated (f, e) ? fleet_earliest_outdated_us (f, e) : FLEET_NEVER;
    if (since == FLEET_NEVER)
      continue;
    g_strlcpy (n.model, e->listing.model, sizeof n.model);
    n.version = e->version + 1;
    n.since_ms = lease_earliest_ms (clock, since);
    lease_add_announcement (row, &n);
  }
}
