/*
 * Unit tests of what a VM knows of its fleet, of endpoint selection, and of
 * streams that are relayed.
 */
#include <glib.h>
#include <string.h>

#include "decide.h"
#include "sse.h"
#include "fleet.h"
#include "parts.h"
#include "units.h"

#define S CQ_US_PER_S
#define MS CQ_US_PER_MS

static struct fleet_conf *
conf (int64_t version)
{
  struct fleet_conf *c = fleet_conf_new ();

  c->version = version;
  fleet_conf_build_index (c);
  return c;
}

static struct fleet_listing
listing (const char *id, int64_t version)
{
  struct fleet_listing l = { .version = version, .slots = 8 };

  g_strlcpy (l.id, id, sizeof l.id);
  g_strlcpy (l.service, "model", sizeof l.service);
  g_strlcpy (l.address, "127.0.0.1:1", sizeof l.address);
  g_strlcpy (l.model, "m", sizeof l.model);
  return l;
}

static struct fleet_endpoint *
add (struct fleet *f, const char *id, int64_t version)
{
  struct fleet_listing l = listing (id, version);

  return fleet_apply_listing (f, &l, 1);
}

/* --- configuration --------------------------------------------------- */

/*
 * A reply arrives after a later one, or a source lags.  Applying the older
 * configuration would restore a route or a key that was removed, and callers
 * would see the system revert.
 */
static void
test_conf_never_reverts (void)
{
  struct fleet f;

  fleet_init (&f);
  g_assert_true (fleet_apply_conf (&f, conf (5), 10));
  g_assert_false (fleet_apply_conf (&f, conf (4), 9));
  g_assert_false (fleet_apply_conf (&f, conf (4), 11));
  g_assert_false (fleet_apply_conf (&f, conf (6), 10));
  g_assert_cmpint (f.conf->version, ==, 5);
  g_assert_true (fleet_apply_conf (&f, conf (9), 12));
  g_assert_cmpint (f.conf->version, ==, 9);
  fleet_clear (&f);
}

static struct fleet_route *
route (const char *host, const char *prefix)
{
  struct fleet_route *r = g_new0 (struct fleet_route, 1);

  r->name = g_strdup (prefix);
  r->host = g_strdup (host);
  r->prefix = g_strdup (prefix);
  r->nsplits = 1;
  r->splits = g_new0 (struct fleet_split, 1);
  r->splits[0].service = g_strdup ("model");
  return r;
}

static char *
random_path (GRand *r, int parts)
{
  GString *s = g_string_new ("/");

  for (; parts > 0; parts--)
    g_string_append_printf (s, "%c/", 'a' + g_rand_int_range (r, 0, 3));
  return g_string_free (s, FALSE);
}

/* Compares the index by host with a scan of all routes. */
static void
test_route_naive (void)
{
  static const char *const hosts[] = { "a.example", "b.example" };
  GRand *r = g_rand_new_with_seed (4);
  struct fleet_conf *c = fleet_conf_new ();
  int i;
  guint k;

  for (i = 0; i < 60; i++)
    {
      g_autofree char *p = random_path (r, g_rand_int_range (r, 0, 4));
      g_ptr_array_add (c->routes, route (hosts[i % 2], p));
    }
  fleet_conf_build_index (c);
  for (i = 0; i < 5000; i++)
    {
      const char *host = hosts[i % 2];
      g_autofree char *path = random_path (r, g_rand_int_range (r, 0, 6));
      g_autofree char *named = g_strconcat (host, i % 3 ? "" : ":80", NULL);
      const struct fleet_route *got = fleet_route_find (c, named, path);
      size_t best = 0;

      for (k = 0; k < c->routes->len; k++)
        {
          const struct fleet_route *o = c->routes->pdata[k];

          if (strcmp (o->host, host) == 0 && g_str_has_prefix (path, o->prefix)
              && strlen (o->prefix) > best)
            best = strlen (o->prefix);
        }
      g_assert_cmpuint (got == NULL ? 0 : strlen (got->prefix), ==, best);
    }
  g_assert_null (fleet_route_find (c, "c.example", "/a/"));
  fleet_conf_unref (c);
  g_rand_free (r);
}

/* --- endpoints ------------------------------------------------------- */

/*
 * The list could not be read for a while, and entries of live endpoints lapsed
 * meanwhile: they return within two seconds.  Removing them at once would
 * leave callers without an endpoint; keeping one forever would send requests
 * to one that has ended.  While the list is readable, a removal counts at
 * once.
 */
static void
test_missing (void)
{
  struct fleet f;
  struct fleet_endpoint *a, *b;
  struct fleet_listing l = listing ("a", 1);

  fleet_init (&f);
  a = add (&f, "a", 1);
  b = add (&f, "b", 1);
  fleet_list_recovered (&f, 5 * S, 9 * S);
  fleet_apply_missing (&f, a, 10 * S + 1);
  fleet_apply_missing (&f, b, 10 * S + 1);
  fleet_remove_missing (&f, NULL, NULL, 11 * S);
  g_assert_nonnull (g_hash_table_lookup (f.by_id, "a"));
  fleet_apply_listing (&f, &l, 1);
  fleet_remove_missing (&f, NULL, NULL, 13 * S);
  g_assert_nonnull (g_hash_table_lookup (f.by_id, "a"));
  g_assert_null (g_hash_table_lookup (f.by_id, "b"));
  fleet_apply_missing (&f, a, 20 * S);
  g_assert_null (g_hash_table_lookup (f.by_id, "a"));
  fleet_clear (&f);
}

/* Guards against a missing entry that is doubted anew at each return of a list
   that is lost again and again: requests reached an endpoint that had left for
   as long as that lasted. */
static void
test_missing_again (void)
{
  struct fleet f;
  int64_t at;

  fleet_init (&f);
  add (&f, "a", 1);
  fleet_list_recovered (&f, 5 * S, 10 * S);
  fleet_apply_missing (&f, g_hash_table_lookup (f.by_id, "a"), 10 * S);
  /* It is lost for a second in each two. */
  for (at = 11 * S; at <= 13 * S; at += 2 * S)
    {
      fleet_list_recovered (&f, at, at + S);
      fleet_remove_missing (&f, NULL, NULL, at + S);
      g_assert_nonnull (g_hash_table_lookup (f.by_id, "a"));
    }
  fleet_remove_missing (&f, NULL, NULL, 14 * S + 700 * CQ_US_PER_MS);
  g_assert_nonnull (g_hash_table_lookup (f.by_id, "a"));
  fleet_remove_missing (&f, NULL, NULL, 14 * S + 800 * CQ_US_PER_MS);
  g_assert_null (g_hash_table_lookup (f.by_id, "a"));
  fleet_clear (&f);
}

/* An endpoint reported that it drains; an entry that is read late says
   "ready".  Requests sent there again could arrive after it has ended. */
static void
test_draining_sticky (void)
{
  struct fleet f;
  struct fleet_listing l = listing ("a", 1);
  struct fleet_endpoint *a;

  fleet_init (&f);
  l.draining = true;
  a = fleet_apply_listing (&f, &l, 1);
  l.draining = false;
  fleet_apply_listing (&f, &l, 1);
  g_assert_true (a->draining);
  fleet_clear (&f);
}

/* Version 3 is announced while 2 is not loaded yet: endpoints with 1 are
   outdated since 2 was announced, those with 2 since 3 was. */
static void
test_outdated (void)
{
  struct fleet f;
  struct fleet_endpoint *a, *b;

  fleet_init (&f);
  a = add (&f, "a", 1);
  b = add (&f, "b", 1);
  g_assert_cmpint (fleet_outdated_learned_us (&f, a), ==, 0);
  g_assert_true (fleet_apply_wanted (&f, "m", 2, 10 * S, 10 * S));
  fleet_apply_version (b, 2, FLEET_NEVER, S);
  g_assert_true (fleet_apply_wanted (&f, "m", 3, 14 * S, 14 * S));
  g_assert_false (fleet_apply_wanted (&f, "m", 2, 15 * S, 15 * S));
  g_assert_cmpint (fleet_outdated_learned_us (&f, a), ==, 10 * S);
  g_assert_cmpint (fleet_outdated_learned_us (&f, b), ==, 14 * S);
  fleet_apply_version (a, 3, FLEET_NEVER, S);
  g_assert_cmpint (fleet_outdated_learned_us (&f, a), ==, 0);
  fleet_clear (&f);
}

/* --- choice ---------------------------------------------------------- */

#define ENDPOINTS 9

static void
add_nine_endpoints (struct fleet *f)
{
  char id[8];
  int i;

  fleet_init (f);
  for (i = 0; i < ENDPOINTS; i++)
    {
      g_snprintf (id, sizeof id, "e%d", i);
      add (f, id, 1);
    }
}

static struct pick_query
query (const char *affinity)
{
  struct pick_query q = { .service = "model", .domain = "d1" };

  q.affinity = affinity;
  q.random = 7;
  return q;
}

/* Requests that share a part go to one endpoint while it has capacity; when
   all have the same part, no endpoint gets more than the bound. */
static void
test_sticky_bounded (void)
{
  struct fleet f;
  struct pick_query q = query ("part");
  struct pick_choice c, first;
  struct fleet_endpoint *e;
  int i;

  add_nine_endpoints (&f);
  first = pick_endpoint (&f, &q, S);
  for (i = 0; i < 900; i++)
    {
      c = pick_endpoint (&f, &q, S);
      g_assert_cmpint (c.code, ==, PICK_CHOSEN);
      if (i < 3)
        g_assert_true (c.endpoint == first.endpoint);
      pick_request_sent (c.endpoint);
    }
  APR_RING_FOREACH (e, &f.endpoints, fleet_endpoint, link)
  g_assert_cmpint (e->running, <=, 100 * 200 / 100 + 4);
  fleet_clear (&f);
}

/*
 * Two of nine endpoints have the newest weights.  If all requests went to
 * them, each prompt would be prefilled again at these two and callers would
 * wait seconds; if the endpoints that reload next were left idle, the others
 * would get all requests.  Each endpoint gets its share, whether or not
 * reloads are ordered.
 */
static void
test_all_serve_during_reload (void)
{
  struct fleet f;
  struct pick_query q;
  struct pick_choice c;
  struct fleet_endpoint *e;
  char part[16];
  int i, n = 0;

  add_nine_endpoints (&f);
  fleet_apply_wanted (&f, "m", 2, S, S);
  APR_RING_FOREACH (e, &f.endpoints, fleet_endpoint, link)
  {
    if (n++ < 2)
      fleet_apply_version (e, 2, FLEET_NEVER, S);
  }
  for (i = 0; i < 900; i++)
    {
      g_snprintf (part, sizeof part, "p%d", i);
      q = query (part);
      c = pick_endpoint (&f, &q, S + (i < 450 ? 1 : 4 * S));
      pick_request_sent (c.endpoint);
    }
  /* About a ninth each. */
  APR_RING_FOREACH (e, &f.endpoints, fleet_endpoint, link)
  {
    g_assert_cmpint (e->running, >=, 70);
    g_assert_cmpint (e->running, <=, 130);
  }
  fleet_clear (&f);
}

/*
 * Version 3 is announced while two endpoints have 2 and the others 1.  These
 * two reload last: their time limit ends last, and their answers come from the
 * newest weights that are loaded.
 */
static void
test_oldest_weights_first (void)
{
  struct fleet f;
  struct fleet_endpoint *e, *o;
  int n = 0;

  add_nine_endpoints (&f);
  APR_RING_FOREACH (e, &f.endpoints, fleet_endpoint, link)
  {
    if (n++ < 2)
      fleet_apply_version (e, 2, FLEET_NEVER, S);
  }
  APR_RING_FOREACH (e, &f.endpoints, fleet_endpoint, link)
  {
    APR_RING_FOREACH (o, &f.endpoints, fleet_endpoint, link)
    {
      if (e->version == 1 && o->version == 2)
        g_assert_true (pick_reload_before (e, o));
    }
  }
  fleet_clear (&f);
}

/*
 * With many VMs and endpoints, a VM gets an answer from an endpoint only every
 * few seconds.  Two of nine answered after a second; the other seven must not
 * count as idle although they have no samples.  Without samples from any
 * endpoint for long, they do.
 */
static void
test_expected_wait (void)
{
  struct fleet f;
  struct fleet_endpoint *e;
  int i, n = 0;

  add_nine_endpoints (&f);
  APR_RING_FOREACH (e, &f.endpoints, fleet_endpoint, link)
  {
    for (i = 0; n < 2 && i < 20; i++)
      pick_first_chunk (&f, e, S, 10 * S);
    n++;
  }
  APR_RING_FOREACH (e, &f.endpoints, fleet_endpoint, link)
  {
    g_assert_cmpint (pick_expected_wait_us (&f, e, 10 * S + 10 * MS), >,
                     900 * MS);
    g_assert_cmpint (pick_expected_wait_us (&f, e, 30 * S), <, 10 * MS);
  }
  /* Its own recent samples count more than those of the others. */
  e = APR_RING_LAST (&f.endpoints);
  for (i = 0; i < 20; i++)
    pick_first_chunk (&f, e, 100 * MS, 11 * S);
  g_assert_cmpint (pick_expected_wait_us (&f, e, 11 * S), <, 200 * MS);
  fleet_clear (&f);
}

/* Two of nine endpoints reload weights at a time, a fifth of a hundred, and
   twice as many once the old weights take no requests. */
static void
test_reload_max (void)
{
  struct fleet f;
  char id[8];
  int i;

  add_nine_endpoints (&f);
  f.outdated_accept_us = 9 * S;
  g_assert_cmpint (pick_reload_max (&f, "m", S), ==, 2);
  for (i = ENDPOINTS; i < 100; i++)
    {
      g_snprintf (id, sizeof id, "e%d", i);
      add (&f, id, 1);
    }
  fleet_apply_wanted (&f, "m", 2, S, S);
  g_assert_cmpint (pick_reload_max (&f, "m", 2 * S), ==, 20);
  g_assert_cmpint (pick_reload_max (&f, "m", 11 * S), ==, 40);
  fleet_clear (&f);
}

/* After the time limit no request may start on old weights, even if it is then
   refused. */
static void
test_too_old (void)
{
  struct fleet f;
  struct pick_query q = query (NULL);

  add_nine_endpoints (&f);
  f.outdated_accept_us = 9 * S;
  fleet_apply_wanted (&f, "m", 2, S, S);
  g_assert_cmpint (pick_endpoint (&f, &q, 9 * S).code, ==, PICK_CHOSEN);
  g_assert_cmpint (pick_endpoint (&f, &q, 10 * S).code, ==, PICK_ALL_TRIED);
  fleet_clear (&f);
}

/* One failure may be caused by the request; two in a row start the endpoint's
   backoff, which doubles each time, and an answer ends it. */
static void
test_backoff (void)
{
  struct fleet f;
  struct fleet_endpoint *e;

  add_nine_endpoints (&f);
  e = APR_RING_FIRST (&f.endpoints);
  pick_request_failed (e, S);
  g_assert_cmpint (e->backoff_until_us, <=, S);
  pick_request_failed (e, S);
  g_assert_cmpint (e->backoff_until_us, ==, S + 300 * MS);
  pick_request_failed (e, 2 * S);
  g_assert_cmpint (e->backoff_until_us, ==, 2 * S + 600 * MS);
  pick_request_succeeded (e);
  g_assert_cmpint (e->backoff_until_us, ==, 0);
  fleet_clear (&f);
}

/* All endpoints failed recently, as after a partition that has just ended.
   Refusing all requests until a backoff ends would prolong the outage. */
static void
test_all_in_backoff (void)
{
  struct fleet f;
  struct fleet_endpoint *e;
  struct pick_query q = query ("part");

  add_nine_endpoints (&f);
  APR_RING_FOREACH (e, &f.endpoints, fleet_endpoint, link)
  {
    pick_request_failed (e, S);
    pick_request_failed (e, S);
  }
  g_assert_cmpint (pick_endpoint (&f, &q, S + 1).code, ==, PICK_CHOSEN);
  pick_request_succeeded (APR_RING_LAST (&f.endpoints));
  g_assert_true (pick_endpoint (&f, &q, S + 1).endpoint
                 == APR_RING_LAST (&f.endpoints));
  fleet_clear (&f);
}

/* --- streams --------------------------------------------------------- */

/* However the bytes are split, complete events come out in order, each once,
   although a resumed stream repeats two of them. */
static void
test_events (void)
{
  GRand *r = g_rand_new_with_seed (9);
  int round, i;

  for (round = 0; round < 300; round++)
    {
      g_autoptr (GString) whole = g_string_new (NULL);
      g_autoptr (GString) resumed = g_string_new (NULL);
      g_autoptr (GString) out = g_string_new (NULL);
      const char *nl = round % 2 ? "\r\n" : "\n";
      struct sse e;
      size_t at, n;

      sse_init (&e, -1);
      for (i = 0; i < 12; i++)
        g_string_append_printf (whole, "id: %d%sdata: x%d%s%s", i * 3, nl, i,
                                nl, nl);
      for (at = 0; at < whole->len; at += n)
        {
          n = (size_t)g_rand_int_range (r, 1, 40);
          if (n > whole->len - at)
            n = whole->len - at;
          g_assert_true (sse_feed (&e, whole->str + at, n, 4096, out));
        }
      g_assert_cmpstr (out->str, ==, whole->str);
      g_assert_false (sse_has_partial (&e));
      g_assert_cmpint (e.last_id, ==, 33);
      g_string_printf (resumed, "id: 30%sdata: a%s%sid: 36%sdata: b%s%s", nl,
                       nl, nl, nl, nl, nl);
      g_string_truncate (out, 0);
      sse_feed (&e, "id: 3", 5, 4096, out);
      sse_restart (&e);
      sse_feed (&e, resumed->str, resumed->len, 4096, out);
      g_assert_true (g_str_has_prefix (out->str, "id: 36"));
      sse_clear (&e);
    }
  g_rand_free (r);
}

/*
 * A VM boots two seconds after newer weights were announced, which is before
 * zero on its clock.  It reads the time of the announcement, and old weights
 * have six seconds left: if they were refused meanwhile, callers would get no
 * answers while endpoints load.
 */
static void
test_named_before_boot (void)
{
  struct fleet f;
  struct fleet_listing l = { .version = 1, .slots = 4 };
  struct fleet_endpoint *e;

  fleet_init (&f);
  g_strlcpy (l.id, "e", sizeof l.id);
  g_strlcpy (l.model, "m", sizeof l.model);
  e = fleet_apply_listing (&f, &l, 1);
  fleet_apply_wanted (&f, "m", 2, 0, 1000000);
  fleet_add_announcement_bound (&f, "m", 2, -2000000);
  g_assert_false (fleet_is_outdated_for (&f, e, 9000000, 1100000));
  g_assert_true (fleet_is_outdated_for (&f, e, 9000000, 7100000));
  fleet_clear (&f);
}

/* --- cache groups ---------------------------------------------------- */

/* A configuration with a workspace for each of NAMES, whose key is its name;
   those whose bit is set in ISOLATED share nothing. */
static struct fleet_conf *
conf_of (int64_t version, const char *const *names, unsigned isolated)
{
  struct fleet_conf *c = fleet_conf_new ();
  struct fleet_workspace *w;
  int i;

  c->version = version;
  for (i = 0; names[i] != NULL; i++)
    {
      w = g_new0 (struct fleet_workspace, 1);
      w->name = g_strdup (names[i]);
      w->isolated = (isolated >> i & 1) != 0;
      g_ptr_array_add (c->workspaces, w);
      g_hash_table_insert (c->keys, g_strdup (names[i]), w);
    }
  fleet_conf_build_index (c);
  return c;
}

static const char *
group_of (const struct fleet_conf *c, const char *key)
{
  return fleet_cache_group (c, key != NULL ? fleet_workspace_find (c, key)
                                           : NULL);
}

/* Guards against a workspace that is isolated by a newer configuration, while
   others go on to use what it has cached before. */
static void
test_isolated_later (void)
{
  static const char *const names[] = { "weavers", "dyers", NULL };
  static const char *const reversed[] = { "dyers", "weavers", NULL };
  struct fleet_conf *open = conf_of (1, names, 0);
  struct fleet_conf *later = conf_of (2, names, 1);
  struct fleet_conf *same = conf_of (3, reversed, 2);

  g_assert_cmpstr (group_of (open, "weavers"), ==, group_of (open, "dyers"));
  g_assert_cmpstr (group_of (later, "dyers"), !=, group_of (open, "weavers"));
  g_assert_cmpstr (group_of (later, "weavers"), !=,
                   group_of (open, "weavers"));
  g_assert_cmpstr (group_of (later, NULL), ==, group_of (later, "dyers"));
  /* All VMs derive the same from what the operator wrote. */
  g_assert_cmpstr (group_of (same, "dyers"), ==, group_of (later, "dyers"));
  g_assert_cmpstr (group_of (same, "weavers"), ==,
                   group_of (later, "weavers"));
  fleet_conf_unref (open);
  fleet_conf_unref (later);
  fleet_conf_unref (same);
}

/* Guards against isolated workspaces that share a scope, since the beginnings
   of their long names are equal. */
static void
test_long_workspace_names (void)
{
  g_autofree char *a = g_strnfill (200, 'x');
  g_autofree char *b = g_strdup (a);
  g_autofree char *model = g_strnfill (FLEET_NAME_SIZE - 1, 'm');
  const char *names[] = { a, b, NULL };
  char scopes[2][PARTS_SCOPE_SIZE];
  struct fleet_conf *c;
  int i;

  b[199] = 'y';
  c = conf_of (1, names, 3);
  for (i = 0; i < 2; i++)
    parts_scope_name (scopes[i], model, G_MAXINT64, group_of (c, names[i]));
  g_assert_cmpstr (scopes[0], !=, scopes[1]);
  g_assert_true (g_str_has_suffix (scopes[0], group_of (c, a)));
  fleet_conf_unref (c);
}

const struct unit fleet_units[] = {
  { "/fleet/conf-never-reverts", test_conf_never_reverts },
  { "/fleet/route-naive", test_route_naive },
  { "/fleet/missing", test_missing },
  { "/fleet/missing-again", test_missing_again },
  { "/fleet/draining-sticky", test_draining_sticky },
  { "/fleet/outdated", test_outdated },
  { "/pick/sticky-bounded", test_sticky_bounded },
  { "/pick/all-serve-during-reload", test_all_serve_during_reload },
  { "/pick/oldest-weights-first", test_oldest_weights_first },
  { "/pick/expected-wait", test_expected_wait },
  { "/pick/reload-max", test_reload_max },
  { "/pick/too-old", test_too_old },
  { "/pick/backoff", test_backoff },
  { "/pick/all-in-backoff", test_all_in_backoff },
  { "/evt/cuts", test_events },
  { "/fleet/named-before-boot", test_named_before_boot },
  { "/fleet/isolated-later", test_isolated_later },
  { "/fleet/long-workspace-names", test_long_workspace_names },
  { NULL, NULL },
};
