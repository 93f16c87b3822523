/* When weights were named: a VM's own knowledge and the lease's row. */
#include "naming.h"

#include <string.h>

/* A VM that hears of a naming so long after it may have been made asks the
   row when it was. */
#define DOUBT_US INT64_C (1500000)
/* Some VM hears of a naming at once and writes the row within 0.4 s, or as its
   holder with the next renewal, within 0.6 s. */
#define RECORD_US INT64_C (1000000)

/* One whose weights are only doubted needs to be asked, but nothing was named
   that would outdate them. */
static bool
is_outdated (const struct fleet *f, const struct fleet_endpoint *e)
{
  return fleet_needs_weights (f, e) && fleet_outdated_by (f, e) != NULL;
}

static bool
is_doubtful (const struct fleet *f, const struct fleet_endpoint *e,
             int64_t read_us)
{
  int64_t since = fleet_earliest_outdated_us (f, e);
  int64_t heard
      = fleet_version_learned_us (f, e->listing.model, e->version + 1);

  return since == FLEET_NEVER
         || (heard - since > DOUBT_US && read_us < heard + RECORD_US);
}

bool
naming_in_doubt (const struct fleet *f, int64_t read_us)
{
  const struct fleet_endpoint *e;

  APR_RING_FOREACH (e, &f->endpoints, fleet_endpoint, link)
  {
    if (is_outdated (f, e) && is_doubtful (f, e, read_us))
      return true;
  }
  return false;
}

/* Also of versions that this VM cannot have heard: a row that knows of them
   tells since when weights older than these are outdated. */
void
naming_learn (struct fleet *f, const struct lease_clock *clock,
              const struct lease_row *row)
{
  const struct lease_named *n;

  for (n = row->named; n < row->named + row->nnamed; n++)
    fleet_add_naming_bound (f, n->model, n->version,
                            lease_local_us (clock, n->since_ms));
}

/* What was named when this VM heard of it was not named later, whatever the
   row says. */
static void
correct_row (const struct fleet *f, const struct lease_clock *clock,
             struct lease_row *row)
{
  struct lease_named *n;
  int64_t heard;

  for (n = row->named; n < row->named + row->nnamed; n++)
    {
      heard = fleet_version_learned_us (f, n->model, n->version);
      if (heard != FLEET_NEVER)
        n->since_ms = MIN (n->since_ms, lease_earliest_ms (clock, heard));
    }
}

/* Only what bears on an endpoint that is to change: the row holds few. */
void
naming_record (const struct fleet *f, const struct lease_clock *clock,
               struct lease_row *row)
{
  const struct fleet_endpoint *e;
  struct lease_named n;
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
    lease_note_named (row, &n);
  }
}
