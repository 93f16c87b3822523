/*
 * Cache groups: which requests may share cached prompts.
 *
 * An isolated workspace is a group of its own.  All others share one.
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

void
fleet_conf_build_groups (struct fleet_conf *c)
{
  struct fleet_workspace *w;
  guint i;

  for (i = 0; i < c->workspaces->len; i++)
    {
      w = c->workspaces->pdata[i];
      write_digest (w->cache_group, w->name, strlen (w->name));
    }
  c->shared_group[0] = '\0';
}

const char *
fleet_cache_group (const struct fleet_conf *c, const char *key)
{
  const struct fleet_workspace *w
      = key != NULL ? fleet_workspace_find (c, key) : NULL;

  return w != NULL && w->isolated ? w->cache_group : c->shared_group;
}
