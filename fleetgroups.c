/*
 * Cache groups: which requests may share cached prompts.
 *
 * An isolated workspace is a group of its own.  All others share one, which is
 * named after the isolated workspaces: what a workspace has cached before it
 * was isolated is not found by others afterwards.
 */
#include "fleet.h"

#include <string.h>
#include <xxhash.h>

static void
write_digest (char *to, const void *data, size_t len)
{
  XXH128_hash_t d = XXH3_128bits (data, len);

  g_snprintf (to, FLEET_GROUP_SIZE,
              "%016" G_GINT64_MODIFIER "x%016" G_GINT64_MODIFIER "x",
              (guint64)d.high64, (guint64)d.low64);
}

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(char *const *)a, *(char *const *)b);
}

void
fleet_conf_build_groups (struct fleet_conf *c)
{
  g_autoptr (GPtrArray) names = g_ptr_array_new ();
  g_autoptr (GByteArray) all = g_byte_array_new ();
  struct fleet_workspace *w;
  guint i;

  for (i = 0; i < c->workspaces->len; i++)
    {
      w = c->workspaces->pdata[i];
      write_digest (w->cache_group, w->name, strlen (w->name));
      if (w->isolated)
        g_ptr_array_add (names, w->name);
    }
  g_ptr_array_sort (names, compare_names);
  /* With their NULs, so that no two lists have the same bytes. */
  for (i = 0; i < names->len; i++)
    g_byte_array_append (all, names->pdata[i],
                         (guint)strlen (names->pdata[i]) + 1);
  c->shared_group[0] = '\0';
  if (names->len > 0)
    write_digest (c->shared_group, all->data, all->len);
}

const char *
fleet_cache_group (const struct fleet_conf *c, const struct fleet_workspace *w)
{
  return w != NULL && w->isolated ? w->cache_group : c->shared_group;
}
