/* Evacuated failure domains. */
#include "evac.h"

#include <string.h>

#include "cold.h"
#include "log.h"

static int
find (const struct fleet *f, const char *domain)
{
  guint i;

  for (i = 0; i < f->evacuated->len; i++)
    if (strcmp (
            g_array_index (f->evacuated, struct fleet_evacuation, i).domain,
            domain)
        == 0)
      return (int)i;
  return -1;
}

static void
log_evacuation (const char *domain, const char *outcome, int64_t row)
{
  log_event (LOG_LEVEL_INFO, "evacuation",
             "domain=%s outcome=%s row=%" G_GINT64_FORMAT, domain, outcome,
             (gint64)row);
}

void
evac_begin (struct fleet *f, const char *domain, int64_t row)
{
  struct fleet_evacuation new = { .missing_since_us = 0 };
  int i = find (f, domain);

  if (i < 0)
    {
      g_strlcpy (new.domain, domain, sizeof new.domain);
      g_array_append_val (f->evacuated, new);
      log_evacuation (domain, "begun", row);
      return;
    }
  if (g_array_index (f->evacuated, struct fleet_evacuation, i).missing_since_us
      != 0)
    log_evacuation (domain, "confirmed", row);
  g_array_index (f->evacuated, struct fleet_evacuation, i).missing_since_us
      = 0;
}

/* Mark the domain's endpoints as cold: they may have become cold just before
   the evacuation ended, and their entries show that only a heartbeat later. */
static void
mark_cold (struct fleet *f, const char *domain, int64_t now_us)
{
  const struct fleet_service *s;
  struct fleet_endpoint *e;

  APR_RING_FOREACH (e, &f->endpoints, fleet_endpoint, link)
  {
    if (f->conf == NULL || strcmp (e->listing.domain, domain) != 0)
      continue;
    s = g_hash_table_lookup (f->conf->services, e->listing.service);
    if (s != NULL)
      cold_until (&e->cold, now_us + s->cold_start_us);
  }
}

static void
end_evacuation (struct fleet *f, int i, int64_t now_us)
{
  const struct fleet_evacuation *was
      = &g_array_index (f->evacuated, struct fleet_evacuation, i);

  log_evacuation (was->domain, "ended", 0);
  mark_cold (f, was->domain, now_us);
  g_array_remove_index_fast (f->evacuated, (guint)i);
}

void
evac_end (struct fleet *f, const char *domain, int64_t now_us)
{
  int i = find (f, domain);

  if (i >= 0)
    end_evacuation (f, i, now_us);
}

/* A store that was restored from an older copy lacks the row until the
   operator has written it again, so the evacuation may only be doubted at
   first. */
void
evac_not_listed (struct fleet *f, const char *domain, int64_t now_us)
{
  struct fleet_evacuation *v;
  int i = find (f, domain);

  if (i < 0)
    return;
  if (fleet_is_list_settled (f, now_us))
    {
      end_evacuation (f, i, now_us);
      return;
    }
  v = &g_array_index (f->evacuated, struct fleet_evacuation, i);
  if (v->missing_since_us == 0)
    log_evacuation (domain, "doubted", 0);
  v->missing_since_us = now_us;
}

void
evac_sweep (struct fleet *f, int64_t now_us)
{
  int i;

  if (!fleet_is_list_settled (f, now_us))
    return;
  for (i = (int)f->evacuated->len - 1; i >= 0; i--)
    if (g_array_index (f->evacuated, struct fleet_evacuation, i)
            .missing_since_us
        != 0)
      end_evacuation (f, i, now_us);
}
