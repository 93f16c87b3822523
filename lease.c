/* A lease in the platform's store. */
#include "lease.h"

#include <string.h>

#define US_PER_MS INT64_C (1000)
/* An order takes some ms from its last look at the clock to its endpoint. */
#define ORDER_TRAVEL_MS 100

/* Whole milliseconds, downwards also for what lies before a reading. */
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
  /* The reading is cut to whole milliseconds. */
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

/* "VM/LIFE": whether both are of one VM. */
static bool
same_vm (const char *a, const char *b)
{
  size_t na = strcspn (a, "/");
  size_t nb = strcspn (b, "/");

  return na == nb && memcmp (a, b, na) == 0;
}

bool
lease_is_free (const struct lease_row *row, const char *holder,
               const struct lease_clock *c, int64_t now_us)
{
  if (row == NULL || row->released || same_vm (row->holder, holder))
    return true;
  return lease_earliest_ms (c, now_us) >= row->expires_ms;
}

int64_t
lease_begin_ms (const struct lease_row *row, const char *holder,
                int64_t gap_ms)
{
  if (row == NULL)
    return 0;
  if (same_vm (row->holder, holder))
    return row->begin_ms;
  return row->order_until_ms == 0 ? 0 : row->order_until_ms + gap_ms;
}

bool
lease_may_order (const struct lease_row *row, const struct lease_clock *c,
                 int64_t now_us)
{
  return c->store_ms > 0 && lease_earliest_ms (c, now_us) >= row->begin_ms
         && lease_latest_ms (c, now_us) + ORDER_TRAVEL_MS
                < row->order_until_ms;
}
