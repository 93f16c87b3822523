/* The lease in the platform's store: clock bounds, announcements, takeover. */
#include "lease.h"

#include <string.h>

#define US_PER_MS INT64_C (1000)
/* Margin for the time from the last check of the clock until the order reaches
   its endpoint, which is some ms. */
#define ORDER_TRANSIT_MS 100
/* Bits of a fencing token that hold the row's version; the era is above. */
#define FENCE_VERSION_BITS 40

/* Whole milliseconds, rounded down for negative values, too. */
static int64_t
floor_ms (int64_t us)
{
  return us / US_PER_MS - (us % US_PER_MS < 0);
}

int64_t
lease_earliest_ms (const struct lease_clock *c, int64_t now_us)
{
  return c->store_ms + floor_ms (now_us - c->got_us);
}

int64_t
lease_latest_ms (const struct lease_clock *c, int64_t now_us)
{
  return c->store_ms + (now_us - c->sent_us) / US_PER_MS + 1;
}

int64_t
lease_to_local_us (const struct lease_clock *c, int64_t store_ms)
{
  /* The reading is truncated to whole milliseconds. */
  return c->sent_us + (store_ms - c->store_ms - 1) * US_PER_MS;
}

void
lease_add_announcement (struct lease_row *row,
                        const struct lease_announcement *n)
{
  struct lease_announcement new = *n;
  const struct lease_announcement *o;
  int i;

  for (i = 0; i < row->nannouncements; i++)
    {
      o = &row->announcements[i];
      if (o->version == n->version && strcmp (o->model, n->model) == 0)
        break;
    }
  if (i < row->nannouncements && row->announcements[i].since_ms > new.since_ms)
    new.since_ms = row->announcements[i].since_ms;
  if (i == row->nannouncements
      && row->nannouncements == LEASE_ANNOUNCEMENTS_MAX)
    i = 0;
  if (i < row->nannouncements)
    memmove (row->announcements + i, row->announcements + i + 1,
             sizeof new *(size_t)(--row->nannouncements - i));
  row->announcements[row->nannouncements++] = new;
}

/* Whether two holders, "VM/INCARNATION", belong to the same VM. */
static bool
is_same_vm (const char *a, const char *b)
{
  size_t na = strcspn (a, "/");
  size_t nb = strcspn (b, "/");

  return na == nb && memcmp (a, b, na) == 0;
}

bool
lease_is_free (const struct lease_row *row, const char *holder,
               const struct lease_clock *c, int64_t now_us)
{
  if (row == NULL || row->released || is_same_vm (row->holder, holder))
    return true;
  return lease_earliest_ms (c, now_us) >= row->expires_ms;
}

int64_t
lease_begin_ms (const struct lease_row *row, const char *holder,
                int64_t gap_ms)
{
  if (row == NULL)
    return 0;
  if (is_same_vm (row->holder, holder))
    return row->begin_ms;
  return row->order_until_ms == 0 ? 0 : row->order_until_ms + gap_ms;
}

bool
lease_is_current (const struct lease_row *row, int64_t era)
{
  return row != NULL ? row->era == era : era == 0;
}

/* A row of an earlier era was written before the restore, and so was each row
   that the copy lacks.  The row may also be of a VM that does not write the
   era, so its own window counts as well. */
int64_t
lease_earlier_orders_end_ms (const struct lease_row *row,
                             const struct lease_clock *c, int64_t seen_us)
{
  int64_t end = lease_latest_ms (c, seen_us) + LEASE_WINDOW_MAX_MS;

  return row != NULL && row->order_until_ms > end ? row->order_until_ms : end;
}

int64_t
lease_fence (int64_t era, int64_t version)
{
  return ((era > 0 ? era - 1 : 0) << FENCE_VERSION_BITS) + version;
}

bool
lease_may_order (const struct lease_row *row, const struct lease_clock *c,
                 int64_t now_us)
{
  return c->store_ms > 0 && lease_earliest_ms (c, now_us) >= row->begin_ms
         && lease_latest_ms (c, now_us) + ORDER_TRANSIT_MS
                < row->order_until_ms;
}
