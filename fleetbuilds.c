/* The builds (versions of the endpoints' software) that serve or served. */
#include "fleet.h"

#include <string.h>
#include <xxhash.h>

/* Builds that are kept; of more, which differ only without a name, none is the
   only one. */
#define BUILDS_MAX 1024

/* A VM lists what the platform has within this time, if it is not cut off. */
#define JOINING_US INT64_C (5000000)

/* Once the store came back from an older copy, endpoints write their entries
   again a heartbeat later, and VMs the builds that they know when they notice,
   some seconds apart. */
#define RESTORED_US INT64_C (10000000)

void
fleet_builds_init (struct fleet *f)
{
  APR_RING_INIT (&f->builds, fleet_build, link);
}

static void
drop (struct fleet *f, struct fleet_build *b)
{
  APR_RING_REMOVE (b, link);
  f->nbuilds--;
  g_free (b);
}

void
fleet_builds_clear (struct fleet *f)
{
  while (!APR_RING_EMPTY (&f->builds, fleet_build, link))
    drop (f, APR_RING_FIRST (&f->builds));
}

/* An endpoint whose build is not known may differ from any other one. */
uint64_t
fleet_build_key (const struct fleet_listing *l)
{
  uint64_t seed = XXH3_64bits (l->service, strlen (l->service));
  uint64_t key;

  if (l->build[0] != '\0')
    key = XXH3_64bits_withSeed (l->build, strlen (l->build), seed);
  else
    key = XXH3_64bits_withSeed (l->id, strlen (l->id),
                                seed ^ (uint64_t)l->started_ms);
  return MAX (key, 1);
}

static struct fleet_build *
find (const struct fleet *f, uint64_t key)
{
  struct fleet_build *b;

  APR_RING_FOREACH (b, &f->builds, fleet_build, link)
  {
    if (b->key == key)
      return b;
  }
  return NULL;
}

struct fleet_build *
fleet_add_build (struct fleet *f, uint64_t key, const char *service,
                 const char *name)
{
  struct fleet_build *b = find (f, key);

  if (b != NULL)
    return b;
  b = g_new0 (struct fleet_build, 1);
  b->key = key;
  g_strlcpy (b->service, service, sizeof b->service);
  g_strlcpy (b->name, name, sizeof b->name);
  APR_RING_ELEM_INIT (b, link);
  APR_RING_INSERT_TAIL (&f->builds, b, fleet_build, link);
  f->nbuilds++;
  return b;
}

void
fleet_update_builds (struct fleet *f, int64_t now_us)
{
  const struct fleet_endpoint *e;
  struct fleet_build *b, *next;

  APR_RING_FOREACH (b, &f->builds, fleet_build, link)
  b->listed = false;
  APR_RING_FOREACH (e, &f->endpoints, fleet_endpoint, link)
  {
    b = find (f, e->build_key);
    if (b != NULL)
      b->listed = true;
  }
  for (b = APR_RING_FIRST (&f->builds);
       b != APR_RING_SENTINEL (&f->builds, fleet_build, link); b = next)
    {
      next = APR_RING_NEXT (b, link);
      if (b->listed)
        b->left_us = 0;
      else if (b->left_us == 0)
        b->left_us = now_us;
      else if (now_us - b->left_us > FLEET_BUILD_KEEP_US
               || f->nbuilds > BUILDS_MAX)
        {
          if (now_us - b->left_us <= FLEET_BUILD_KEEP_US)
            f->builds_dropped_us = now_us;
          drop (f, b);
        }
    }
}

void
fleet_note_build (struct fleet *f, const struct fleet_listing *l,
                  int64_t now_us)
{
  struct fleet_build *b
      = fleet_add_build (f, fleet_build_key (l), l->service, l->build);

  if (!b->listed)
    b->left_us = now_us;
  if (!l->draining)
    b->joining_us = now_us;
}

bool
fleet_is_build_joining (const struct fleet *f, uint64_t key, int64_t now_us)
{
  const struct fleet_build *b = find (f, key);

  return b != NULL && b->joining_us != 0
         && now_us - b->joining_us < JOINING_US;
}

/* Counts the builds of SERVICE; KEY is set to that of the last one. */
static int
count_builds (const struct fleet *f, const char *service, uint64_t *key)
{
  const struct fleet_build *b;
  int n = 0;

  APR_RING_FOREACH (b, &f->builds, fleet_build, link)
  {
    if (strcmp (b->service, service) != 0)
      continue;
    *key = b->key;
    n++;
  }
  return n;
}

static bool
dropped_lately (const struct fleet *f, int64_t now_us)
{
  return f->builds_dropped_us != 0
         && now_us - f->builds_dropped_us <= FLEET_BUILD_KEEP_US;
}

void
fleet_builds_restored (struct fleet *f, int64_t now_us)
{
  f->builds_settle_us = now_us + RESTORED_US;
}

bool
fleet_are_builds_unknown (const struct fleet *f, int64_t now_us)
{
  return f->builds_unread || now_us < f->builds_settle_us;
}

uint64_t
fleet_only_build (struct fleet *f, const char *service, int64_t now_us)
{
  uint64_t key = 0;

  fleet_update_builds (f, now_us);
  if (fleet_are_builds_unknown (f, now_us) || dropped_lately (f, now_us))
    return 0;
  return count_builds (f, service, &key) == 1 ? key : 0;
}

bool
fleet_has_several_builds (struct fleet *f, const char *service, int64_t now_us)
{
  uint64_t key;

  fleet_update_builds (f, now_us);
  return dropped_lately (f, now_us) || count_builds (f, service, &key) > 1;
}

bool
fleet_has_other_build (const struct fleet *f, const char *service,
                       uint64_t key, int64_t within_us, int64_t now_us)
{
  const struct fleet_build *b;

  if (f->builds_unread)
    return true;
  APR_RING_FOREACH (b, &f->builds, fleet_build, link)
  {
    if (b->key != key && strcmp (b->service, service) == 0
        && (b->left_us == 0 || now_us - b->left_us < within_us))
      return true;
  }
  return false;
}

uint64_t
fleet_build_of (const struct fleet *f, const struct fleet_endpoint *e)
{
  const struct fleet_endpoint *now
      = g_hash_table_lookup (f->by_id, e->listing.id);

  return now == NULL || now == e ? e->build_key : 0;
}

const struct fleet_endpoint *
fleet_find_build (const struct fleet *f, const char *service,
                  uint64_t build_key)
{
  const struct fleet_endpoint *e;

  APR_RING_FOREACH (e, &f->endpoints, fleet_endpoint, link)
  {
    if (e->build_key == build_key && !e->draining
        && strcmp (e->listing.service, service) == 0)
      return e;
  }
  return NULL;
}
