/* Unit tests of evacuated failure domains. */
#include <glib.h>
#include <string.h>

#include "evac.h"
#include "relayharness.h"
#include "units.h"

#define SETTLED_US (60 * CQ_US_PER_S)

static struct fleet_endpoint *
set_domain (struct harness *p, const char *id, const char *domain)
{
  struct fleet_endpoint *e = g_hash_table_lookup (p->fleet.by_id, id);

  g_strlcpy (e->listing.domain, domain, sizeof e->listing.domain);
  return e;
}

/* Guards against a request that is sent to an endpoint whose domain was
   evacuated after the endpoint was selected. */
static void
test_before_send (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);

  set_domain (p, "a", "east");
  set_domain (p, "b", "west");
  harness_start (p);
  evac_begin (&p->fleet, strcmp (p->to[0], "a") == 0 ? "east" : "west", 2);
  harness_expect_next_endpoint (p);
  harness_free (p);
}

/* Guards against a burst of requests at endpoints that became cold before the
   evacuation ended, while their entries do not show it yet. */
static void
test_ends_cold (void)
{
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);
  struct fleet_service *s = g_new0 (struct fleet_service, 1);
  int64_t now = loop_now_us ();
  struct fleet_endpoint *a = set_domain (p, "a", "east");
  struct fleet_endpoint *b = set_domain (p, "b", "west");

  s->name = g_strdup ("s");
  s->cold_start_us = 3 * CQ_US_PER_S;
  g_hash_table_replace (p->fleet.conf->services, s->name, s);
  evac_begin (&p->fleet, "east", 2);
  evac_end (&p->fleet, "east", now);
  g_assert_true (cold_is (&a->cold, now + s->cold_start_us - 1));
  g_assert_false (cold_is (&a->cold, now + s->cold_start_us));
  g_assert_false (cold_is (&b->cold, now));
  harness_free (p);
}

/* Guards against an evacuation that stays in force indefinitely after its end
   was missed. */
static void
test_end_missed (void)
{
  struct fleet f;

  fleet_init (&f);
  evac_begin (&f, "east", 2);
  evac_begin (&f, "west", 3);
  evac_not_listed (&f, "east", SETTLED_US);
  g_assert_false (fleet_is_evacuated (&f, "east"));
  g_assert_true (fleet_is_evacuated (&f, "west"));
  fleet_clear (&f);
}

/* Guards against an evacuation that ends because the store was restored from a
   copy without it, and against one that stays in force although the operator
   does not write it again. */
static void
test_older_copy (void)
{
  struct fleet f;

  fleet_init (&f);
  evac_begin (&f, "east", 2);
  evac_begin (&f, "west", 3);
  fleet_list_recovered (&f, 0, SETTLED_US);
  evac_not_listed (&f, "east", SETTLED_US + 1);
  evac_not_listed (&f, "west", SETTLED_US + 1);
  evac_sweep (&f, SETTLED_US + 2);
  g_assert_true (fleet_is_evacuated (&f, "east"));
  evac_begin (&f, "east", 1);
  evac_sweep (&f, 2 * SETTLED_US);
  g_assert_true (fleet_is_evacuated (&f, "east"));
  g_assert_false (fleet_is_evacuated (&f, "west"));
  fleet_clear (&f);
}

const struct unit evac_units[] = {
  { "/evac/before-send", test_before_send },
  { "/evac/ends-cold", test_ends_cold },
  { "/evac/end-missed", test_end_missed },
  { "/evac/older-copy", test_older_copy },
  { NULL, NULL },
};
