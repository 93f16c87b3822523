/* Since when the requests of a route go where they go. */
#include "fleet.h"

#include <string.h>

/* A route by host and prefix, in the buffer KEY. */
static const char *
key_of (GString *key, const char *host, const char *prefix, size_t len)
{
  g_string_assign (key, host);
  g_string_append_c (key, '\n');
  g_string_append_len (key, prefix, (gssize)len);
  return key->str;
}

static GHashTable *
index_routes (const struct fleet_conf *c)
{
  GHashTable *all
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_autoptr (GString) key = g_string_new (NULL);
  guint i;

  for (i = 0; i < c->routes->len; i++)
    {
      struct fleet_route *r = c->routes->pdata[i];

      g_hash_table_insert (
          all, g_strdup (key_of (key, r->host, r->prefix, strlen (r->prefix))),
          r);
    }
  return all;
}

/* The route in ALL that gets the requests of R, or got them: that of the
   longest prefix of R's. */
static struct fleet_route *
find_covering (GHashTable *all, const struct fleet_route *r, GString *key)
{
  size_t len = strlen (r->prefix);
  struct fleet_route *found = NULL;

  while (found == NULL && len > 0)
    {
      found = g_hash_table_lookup (all, key_of (key, r->host, r->prefix, len));
      for (len--; len > 0 && r->prefix[len - 1] != '/'; len--)
        ;
    }
  return found;
}

/* Until when requests may have gone from OLD to another service than that of
   R, if they go from OLD to R now. */
static int64_t
moved_at (const struct fleet_route *old, const struct fleet_route *r,
          int64_t now_us)
{
  return old != NULL && old->nsplits == 1 && r->nsplits == 1
                 && strcmp (old->splits[0].service, r->splits[0].service) == 0
             ? old->moved_us
             : now_us;
}

void
fleet_date_routes (struct fleet_conf *c, const struct fleet_conf *before,
                   int64_t now_us)
{
  g_autoptr (GHashTable) routes = NULL;
  g_autoptr (GHashTable) old = NULL;
  g_autoptr (GString) key = g_string_new (NULL);
  const struct fleet_route *o;
  struct fleet_route *r;
  guint i;

  if (before == NULL)
    return;
  routes = index_routes (c);
  old = index_routes (before);
  for (i = 0; i < c->routes->len; i++)
    {
      r = c->routes->pdata[i];
      r->moved_us = moved_at (find_covering (old, r, key), r, now_us);
    }
  /* Requests of a route that is gone go to the one that covers it. */
  for (i = 0; i < before->routes->len; i++)
    {
      o = before->routes->pdata[i];
      r = find_covering (routes, o, key);
      if (r != NULL)
        r->moved_us = MAX (r->moved_us, moved_at (o, r, now_us));
    }
}

bool
fleet_has_moved (const struct fleet *f, const char *host, const char *target,
                 const char *service, int64_t now_us)
{
  const struct fleet_route *r = fleet_route_find (f->conf, host, target);

  return r == NULL || r->nsplits != 1
         || strcmp (r->splits[0].service, service) != 0
         || (r->moved_us != 0 && now_us - r->moved_us <= FLEET_BUILD_KEEP_US);
}
