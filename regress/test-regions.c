/* Unit tests of requests that may use only certain regions. */
#include <glib.h>
#include <string.h>

#include "../platform/platform.h"
#include "relayharness.h"
#include "units.h"

static char **
regions (const char *text)
{
  return g_strsplit (text, " ", -1);
}

/* Returns a VM that knows two domains, in two regions, with an endpoint
   each. */
static struct harness *
two_regions (void)
{
  static const char *const domains[][2] = { { "a", "east" }, { "b", "west" } };
  struct harness *p = harness_new (FLEET_AT_MOST_ONCE);
  struct fleet_endpoint *e;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (domains); i++)
    {
      e = g_hash_table_lookup (p->fleet.by_id, domains[i][0]);
      g_strlcpy (e->listing.domain, domains[i][1], sizeof e->listing.domain);
    }
  g_assert_true (fleet_parse_regions (&p->fleet, "east=r1 west=r2"));
  return p;
}

static struct fleet_workspace *
workspace (struct harness *p)
{
  return p->fleet.conf->workspaces->pdata[0];
}

/* Guards against a request that is sent outside its route's regions, also when
   it is retried. */
static void
test_route (void)
{
  struct harness *p = two_regions ();
  int i;

  harness_route (p)->allowed_regions = regions ("r2 r3");
  for (i = 0; i < 8; i++)
    {
      p->sends = 0;
      harness_start (p);
      g_assert_cmpstr (p->to[0], ==, "b");
      harness_answer (p, "ok");
    }
  harness_start (p);
  harness_end (p, false, false);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  harness_free (p);
}

/* Guards against one list replacing the other: a region must be in both. */
static void
test_both (void)
{
  struct harness *p = two_regions ();

  workspace (p)->allowed_regions = regions ("r1");
  harness_start (p);
  g_assert_cmpstr (p->to[0], ==, "a");
  harness_answer (p, "ok");
  harness_route (p)->allowed_regions = regions ("r2");
  p->sends = 0;
  harness_start (p);
  g_assert_cmpint (p->sends, ==, 0);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  g_assert_cmpint (p->retry_after_us, >, 0);
  harness_free (p);
}

/* Guards against use of a domain whose region is unknown. */
static void
test_unknown_region (void)
{
  struct harness *p = two_regions ();
  struct fleet_endpoint *b = g_hash_table_lookup (p->fleet.by_id, "b");

  g_strlcpy (b->listing.domain, "new", sizeof b->listing.domain);
  workspace (p)->allowed_regions = regions ("r2");
  harness_start (p);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  g_assert_false (fleet_parse_regions (&p->fleet, "east"));
  g_assert_false (fleet_parse_regions (&p->fleet, "=r1"));
  g_assert_false (fleet_parse_regions (&p->fleet, "east="));
  harness_free (p);
}

/* Guards against KV cache that is saved to a store in a region that is not
   allowed. */
static void
test_stores (void)
{
  static const struct part prompt[] = { { "draft", 8000 }, { "own", 2000 } };
  struct harness *p = two_regions ();
  struct fleet_conf *c = fleet_conf_new ();
  struct fleet_service *s = g_new0 (struct fleet_service, 1);
  struct parts_query q = { .scope = "m.v1", .list = prompt, .nparts = 2 };
  g_auto (GStrv) allowed = regions ("r2");
  struct parts_store *store;
  struct parts_plan plan;
  struct parts parts;

  s->name = g_strdup ("store");
  s->store_address = g_strdup ("store");
  s->domain = g_strdup ("east");
  s->kv_capacity_tokens = 100000;
  s->link_mbit_s = 250000;
  g_hash_table_replace (c->services, s->name, s);
  parts_init (&parts);
  parts_take_conf (&parts, c);
  fleet_conf_unref (c);
  store = parts_find_store (&parts, "store");
  parts_store_reset (store, 7, 0, 0);
  parts_store_replied (store, 50000, 10 * CQ_US_PER_S);
  parts_store_synced (store, 10 * CQ_US_PER_S);
  q.domain = "west";
  q.weights_fresh_us = 10 * CQ_US_PER_S;
  q.fleet = &p->fleet;
  q.homes.workspace = (const char *const *)allowed;
  parts_plan (&parts, &q, 10 * CQ_US_PER_S, &plan);
  g_assert_cmpint (plan.nsave, ==, 0);
  q.homes.workspace = NULL;
  parts_plan (&parts, &q, 10 * CQ_US_PER_S, &plan);
  g_assert_cmpint (plan.nsave, ==, 1);
  parts_clear (&parts);
  harness_free (p);
}

/* Guards against allowed regions that are ignored when the configuration is
   parsed. */
static void
test_read (void)
{
  static const char text[]
      = "{\"Version\":1,\"Routes\":[{\"Name\":\"r\",\"Host\":\"h\","
        "\"Prefix\":\"/\",\"Service\":\"s\",\"AllowedRegions\":[\"r1\",7]}],"
        "\"Tenants\":[{\"Name\":\"t\",\"AllowedRegions\":[\"r2\"]},"
        "{\"Name\":\"u\",\"AllowedRegions\":[]}],"
        "\"Services\":[{\"Name\":\"s\",\"ColdStartS\":2.5,\"ColdPerS\":11.0}]"
        "}";
  struct fleet_conf *c = pdecode_conf (text, strlen (text));
  const struct fleet_route *r;
  const struct fleet_workspace *t, *u;
  const struct fleet_service *s;

  g_assert_nonnull (c);
  r = c->routes->pdata[0];
  t = c->workspaces->pdata[0];
  u = c->workspaces->pdata[1];
  s = g_hash_table_lookup (c->services, "s");
  g_assert_cmpstr (r->allowed_regions[0], ==, "r1");
  g_assert_cmpstr (r->allowed_regions[1], ==, "");
  g_assert_null (r->allowed_regions[2]);
  g_assert_cmpstr (t->allowed_regions[0], ==, "r2");
  g_assert_null (u->allowed_regions);
  g_assert_cmpint (s->cold_start_us, ==, 2500000);
  g_assert_cmpint (s->cold_requests_s, ==, 11);
  fleet_conf_unref (c);
}

const struct unit regions_units[] = {
  { "/regions/route", test_route },
  { "/regions/both", test_both },
  { "/regions/unknown-region", test_unknown_region },
  { "/regions/stores", test_stores },
  { "/regions/read", test_read },
  { NULL, NULL },
};
