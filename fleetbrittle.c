/* The brittle endpoints of the fleet, and this VM's shares of them. */
#include <string.h>

#include "fleet.h"

static struct fleet_brittle *
get_brittle (struct fleet *f, const char *service)
{
  struct fleet_brittle *s = g_hash_table_lookup (f->brittle, service);

  if (s != NULL)
    return s;
  s = g_new0 (struct fleet_brittle, 1);
  g_hash_table_insert (f->brittle, g_strdup (service), s);
  return s;
}

static void
survey_brittle (struct fleet *f)
{
  struct fleet_endpoint *e;
  struct fleet_brittle *s;
  GHashTableIter it;

  g_hash_table_iter_init (&it, f->brittle);
  while (g_hash_table_iter_next (&it, NULL, (gpointer *)&s))
    {
      s->endpoints = 0;
      s->refusals = INT64_MAX;
      s->reported_us = 0;
    }
  APR_RING_FOREACH (e, &f->endpoints, fleet_endpoint, link)
  {
    s = get_brittle (f, e->listing.service);
    s->endpoints += !e->draining;
    if (!e->brittle.active)
      continue;
    s->refusals = MIN (s->refusals, e->brittle.refusals);
    s->reported_us = MAX (s->reported_us, e->brittle.reported_us);
  }
}

static void
set_brittle_share (struct fleet *f, struct fleet_endpoint *e, int64_t now_us)
{
  struct fleet_brittle *s = get_brittle (f, e->listing.service);
  int64_t refusals
      = brittle_refusals (&e->brittle, s->refusals, s->reported_us, now_us);
  int vms = 1, rank = 0;

  if (refusals < 0)
    {
      brittle_set_none (&e->brittle, now_us);
      return;
    }
  if (f->brittle_rank != NULL)
    rank = f->brittle_rank (f->share_arg, e->key, &vms);
  brittle_set_share (&e->brittle, refusals,
                     vms > 0 ? brittle_share (refusals, vms, rank) : 0,
                     f->can_forward && vms > 1, e->running, now_us);
  s->guest.pause_us
      = vms > 0 ? brittle_guest_pause_us (s->refusals, vms, s->endpoints)
                : BRITTLE_GUEST_PAUSE_MAX_US;
}

bool
fleet_is_brittle_share_due (const struct fleet_endpoint *e, int64_t now_us)
{
  return (e->brittle.active || e->brittle.applies)
         && brittle_is_share_stale (&e->brittle, now_us);
}

void
fleet_refresh_brittle_shares (struct fleet *f, int64_t now_us)
{
  struct fleet_endpoint *e;

  survey_brittle (f);
  APR_RING_FOREACH (e, &f->endpoints, fleet_endpoint, link)
  set_brittle_share (f, e, now_us);
}

/* NULL if no endpoint of its service was brittle yet. */
static struct brittle_guest *
guest_of (const struct fleet *f, const struct fleet_endpoint *e)
{
  struct fleet_brittle *s
      = g_hash_table_lookup (f->brittle, e->listing.service);

  return s != NULL ? &s->guest : NULL;
}

static bool
is_brittle_in_use (const struct fleet_endpoint *e, const char *service,
                   int64_t now_us)
{
  return e->brittle.applies && !e->draining && now_us >= e->backoff_until_us
         && strcmp (e->listing.service, service) == 0;
}

bool
fleet_owns_brittle (const struct fleet *f, const char *service, int64_t now_us)
{
  const struct fleet_endpoint *e;

  APR_RING_FOREACH (e, &f->endpoints, fleet_endpoint, link)
  if (is_brittle_in_use (e, service, now_us) && e->brittle.share > 0)
    return true;
  return false;
}

struct fleet_endpoint *
fleet_choose_not_owned (const struct fleet *f, const char *service,
                        uint64_t random, int64_t now_us)
{
  struct fleet_endpoint *e, *chosen = NULL;
  uint64_t n = 0;

  APR_RING_FOREACH (e, &f->endpoints, fleet_endpoint, link)
  {
    if (!is_brittle_in_use (e, service, now_us) || e->brittle.share > 0)
      continue;
    random = random * UINT64_C (6364136223846793005) + 1;
    if ((random >> 33) % ++n == 0)
      chosen = e;
  }
  return chosen;
}

bool
fleet_may_place_brittle (const struct fleet *f, const struct fleet_endpoint *e,
                         int64_t now_us)
{
  return !e->brittle.applies
         || brittle_may_place (&e->brittle, guest_of (f, e), e->running,
                               now_us);
}

void
fleet_brittle_placed (struct fleet *f, struct fleet_endpoint *e,
                      int64_t now_us)
{
  if (e->brittle.applies)
    brittle_placed (&e->brittle, guest_of (f, e), e->running - 1, now_us);
}

bool
fleet_take_brittle (struct fleet *f, struct fleet_endpoint *e,
                    int64_t placed_us, int64_t now_us)
{
  return !e->brittle.applies
         || brittle_take (&e->brittle, guest_of (f, e), e->running - 1,
                          placed_us, now_us);
}

void
fleet_brittle_refused (struct fleet *f, struct fleet_endpoint *e,
                       int64_t now_us)
{
  if (e->brittle.applies)
    brittle_refused (&e->brittle, guest_of (f, e), e->running - 1, now_us);
}
