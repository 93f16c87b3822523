/* Settings files: load, merge, check, show. */
#include "libsettings.h"

#include <string.h>

/* One group as merged, with the text and origin of each key. */
struct item
{
  char *id;            /* name in the header, NULL for a single group */
  char **texts;        /* text of each key */
  const char **origin; /* file of each key, "default" if in neither */
  void *fields;        /* struct of the group, as generated */
};

struct cfg
{
  char *files[2];                /* base and overlay */
  GPtrArray *items[CFG_GROUPS];  /* items of each group */
  GHashTable *by_id[CFG_GROUPS]; /* id to index + 1 */
  int refs;                      /* users; atomic */
  GString *faults;               /* faults found while loading */
};

/* Origin of a key that is in neither file. */
static const char by_default[] = "default";

/* Origin of a key that was changed since. */
static const char by_change[] = "change";

G_DEFINE_QUARK (cfg - error - quark, cfg_error)

static void
fault (struct cfg *cfg, const char *file, const char *group, const char *key,
       const char *what)
{
  g_string_append_printf (cfg->faults, "%s: [%s]%s%s: %s\n", file, group,
                          key ? " " : "", key ? key : "", what);
}

/* A fault in a default is to be mended in the base file. */
static const char *
fault_file (const struct cfg *cfg, const char *origin)
{
  return origin == by_default ? cfg->files[0] : origin;
}

static void
item_free (const struct cfg_group *group, struct item *item)
{
  int k;

  cfg_clear (group, item->fields);
  for (k = 0; k < group->nkeys; k++)
    g_free (item->texts[k]);
  g_free (item->texts);
  g_free (item->origin);
  g_free (item->fields);
  g_free (item->id);
  g_free (item);
}

void
cfg_free (struct cfg *cfg)
{
  guint i;
  int g;

  if (cfg == NULL || !g_atomic_int_dec_and_test (&cfg->refs))
    return;
  for (g = 0; g < CFG_GROUPS; g++)
    {
      for (i = 0; i < cfg->items[g]->len; i++)
        item_free (&cfg_groups[g], g_ptr_array_index (cfg->items[g], i));
      g_ptr_array_free (cfg->items[g], TRUE);
      g_hash_table_destroy (cfg->by_id[g]);
    }
  g_free (cfg->files[0]);
  g_free (cfg->files[1]);
  g_string_free (cfg->faults, TRUE);
  g_free (cfg);
}

static struct item *
item_get (struct cfg *cfg, int g, const char *id)
{
  const struct cfg_group *group = &cfg_groups[g];
  const char *name = id ? id : "";
  gpointer found = g_hash_table_lookup (cfg->by_id[g], name);
  struct item *item;

  if (found != NULL)
    return g_ptr_array_index (cfg->items[g], GPOINTER_TO_INT (found) - 1);
  item = g_new0 (struct item, 1);
  item->id = g_strdup (id);
  item->texts = g_new0 (char *, group->nkeys);
  item->origin = g_new0 (const char *, group->nkeys);
  item->fields = g_malloc0 (group->size);
  g_ptr_array_add (cfg->items[g], item);
  g_hash_table_insert (cfg->by_id[g], g_strdup (name),
                       GINT_TO_POINTER ((int)cfg->items[g]->len));
  return item;
}

static int
key_index (const struct cfg_group *group, const char *name)
{
  int k;

  for (k = 0; k < group->nkeys; k++)
    if (strcmp (group->keys[k].name, name) == 0)
      return k;
  return -1;
}

/* Find the group of HEADER, "name" or "name ID"; sets *ID for a named one. */
static int
group_index (const char *header, const char **id)
{
  size_t n;
  int g;

  *id = NULL;
  for (g = 0; g < CFG_GROUPS; g++)
    {
      n = strlen (cfg_groups[g].name);
      if (strncmp (header, cfg_groups[g].name, n) != 0)
        continue;
      if (!cfg_groups[g].named && header[n] == '\0')
        return g;
      if (cfg_groups[g].named && header[n] == ' ')
        {
          *id = header + n + 1;
          return g;
        }
    }
  return -1;
}

static void
merge_key (struct cfg *cfg, const char *file, GKeyFile *in, int g,
           struct item *item, const char *header, const char *name)
{
  const struct cfg_group *group = &cfg_groups[g];
  char *text = g_key_file_get_string (in, header, name, NULL);
  int k = key_index (group, name);

  if (k < 0 || text == NULL)
    {
      fault (cfg, file, header, name,
             k < 0 ? "unknown key" : "expected UTF-8 text without escapes");
      g_free (text);
      return;
    }
  g_free (item->texts[k]);
  item->texts[k] = g_strstrip (text);
  item->origin[k] = file;
}

static void
merge_group (struct cfg *cfg, const char *file, GKeyFile *in,
             const char *header)
{
  g_auto (GStrv) keys = g_key_file_get_keys (in, header, NULL, NULL);
  const char *id;
  int g = group_index (header, &id);
  struct item *item;
  int i;

  if (g < 0)
    {
      fault (cfg, file, header, NULL, "unknown group");
      return;
    }
  if (id != NULL && !cfg_is_name (id))
    {
      fault (cfg, file, header, NULL,
             "expected a name of letters, digits, \"-\", \"_\" and \".\"");
      return;
    }
  item = item_get (cfg, g, id);
  for (i = 0; keys != NULL && keys[i] != NULL; i++)
    merge_key (cfg, file, in, g, item, header, keys[i]);
}

static bool
merge_file (struct cfg *cfg, const char *file, GError **err)
{
  g_autoptr (GKeyFile) in = g_key_file_new ();
  g_auto (GStrv) headers = NULL;
  GError *why = NULL;
  int i;

  if (!g_key_file_load_from_file (in, file, G_KEY_FILE_NONE, &why))
    {
      g_set_error (err, CFG_ERROR, CFG_ERROR_READ, "%s: %s\n", file,
                   why->message);
      g_error_free (why);
      return false;
    }
  headers = g_key_file_get_groups (in, NULL);
  for (i = 0; headers[i] != NULL; i++)
    merge_group (cfg, file, in, headers[i]);
  return true;
}

static char *
header_of (int g, const struct item *item)
{
  if (item->id == NULL)
    return g_strdup (cfg_groups[g].name);
  return g_strdup_printf ("%s %s", cfg_groups[g].name, item->id);
}

/* Take defaults and read each text into its field. */
static void
read_item (struct cfg *cfg, int g, struct item *item)
{
  const struct cfg_group *group = &cfg_groups[g];
  g_autofree char *header = header_of (g, item);
  const struct cfg_key *key;
  char *why;
  int k;

  if (group->named)
    *(char **)item->fields = item->id;
  for (k = 0; k < group->nkeys; k++)
    {
      key = &group->keys[k];
      if (item->texts[k] == NULL && key->fallback == NULL)
        {
          fault (cfg, cfg->files[0], header, key->name, "required");
          continue;
        }
      if (item->texts[k] == NULL)
        {
          item->texts[k] = g_strdup (key->fallback);
          item->origin[k] = by_default;
        }
      why = cfg_parse (key, item->texts[k], item->fields);
      if (why != NULL)
        fault (cfg, fault_file (cfg, item->origin[k]), header, key->name, why);
      g_free (why);
    }
}

static const char *
origin_of (const struct cfg *cfg, int g, int i, const char *key)
{
  const struct item *item = g_ptr_array_index (cfg->items[g], i);

  return fault_file (cfg, item->origin[key_index (&cfg_groups[g], key)]);
}

static void
check_reference (struct cfg *cfg, int g, int i, const char *key,
                 enum cfg_group_id target, const char *id)
{
  const struct item *item = g_ptr_array_index (cfg->items[g], i);
  g_autofree char *header = header_of (g, item);
  g_autofree char *what = NULL;

  if (id == NULL || cfg_find (cfg, target, id) >= 0)
    return;
  what = g_strdup_printf ("expected a declared %s, not \"%s\"",
                          cfg_groups[target].name, id);
  fault (cfg, origin_of (cfg, g, i, key), header, key, what);
}

static void
check_references (struct cfg *cfg)
{
  char **s;
  int i;

  for (i = 0; i < cfg_count (cfg, CFG_WORKSPACE); i++)
    for (s = cfg_workspace (cfg, i)->services; s != NULL && *s != NULL; s++)
      check_reference (cfg, CFG_WORKSPACE, i, "services", CFG_SERVICE, *s);
  for (i = 0; i < cfg_count (cfg, CFG_ENDPOINT); i++)
    check_reference (cfg, CFG_ENDPOINT, i, "service", CFG_SERVICE,
                     cfg_endpoint (cfg, i)->service);
  for (i = 0; i < cfg_count (cfg, CFG_OPERATOR); i++)
    for (s = cfg_operator (cfg, i)->workspaces; s != NULL && *s != NULL; s++)
      check_reference (cfg, CFG_OPERATOR, i, "workspaces", CFG_WORKSPACE, *s);
}

static void
check_services (struct cfg *cfg)
{
  const struct cfg_service *s;
  g_autofree char *header = NULL;
  int i;

  for (i = 0; i < cfg_count (cfg, CFG_SERVICE); i++)
    {
      s = cfg_service (cfg, i);
      g_free (header);
      header = g_strdup_printf ("service %s", s->id);
      if (s->kind == CFG_SERVICE_KIND_MODEL && s->version != NULL
          && s->version[0] == '\0')
        fault (cfg, origin_of (cfg, CFG_SERVICE, i, "version"), header,
               "version", "required for a model service");
      if (!s->repeatable && s->kind == CFG_SERVICE_KIND_PLAIN
          && cfg_platform (cfg)->table != NULL
          && cfg_platform (cfg)->table[0] == '\0')
        fault (cfg, origin_of (cfg, CFG_SERVICE, i, "repeatable"), header,
               "repeatable",
               "a service that may not repeat needs [platform] table");
    }
}

static void
read_items (struct cfg *cfg)
{
  guint i;
  int g;

  for (g = 0; g < CFG_GROUPS; g++)
    {
      if (!cfg_groups[g].named)
        item_get (cfg, g, NULL);
      for (i = 0; i < cfg->items[g]->len; i++)
        read_item (cfg, g, g_ptr_array_index (cfg->items[g], i));
    }
}

struct cfg *
cfg_ref (struct cfg *cfg)
{
  g_atomic_int_inc (&cfg->refs);
  return cfg;
}

static void
merge_override (struct cfg *cfg, const struct cfg_override *o)
{
  const char *id;
  int g = group_index (o->group, &id);
  int k = g < 0 ? -1 : key_index (&cfg_groups[g], o->key);
  struct item *item;

  if (g < 0 || g == CFG_VM || g == CFG_PLATFORM || g == CFG_ENTRY
      || (id != NULL && !cfg_is_name (id)))
    {
      fault (cfg, by_change, o->group, NULL, "not a group that can change");
      return;
    }
  if (k < 0)
    {
      fault (cfg, by_change, o->group, o->key, "unknown key");
      return;
    }
  item = item_get (cfg, g, id);
  g_free (item->texts[k]);
  item->texts[k] = g_strdup (o->value);
  item->origin[k] = by_change;
}

struct cfg *
cfg_load (const char *base, const char *overlay, GError **err)
{
  return cfg_load_changed (base, overlay, NULL, 0, err);
}

struct cfg *
cfg_load_changed (const char *base, const char *overlay,
                  const struct cfg_override *overrides, int n, GError **err)
{
  struct cfg *cfg = g_new0 (struct cfg, 1);
  int g;

  cfg->refs = 1;
  cfg->faults = g_string_new (NULL);
  cfg->files[0] = g_strdup (base);
  cfg->files[1] = g_strdup (overlay);
  for (g = 0; g < CFG_GROUPS; g++)
    {
      cfg->items[g] = g_ptr_array_new ();
      cfg->by_id[g]
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
    }
  if (!merge_file (cfg, cfg->files[0], err)
      || (overlay != NULL && !merge_file (cfg, cfg->files[1], err)))
    {
      cfg_free (cfg);
      return NULL;
    }
  for (g = 0; g < n; g++)
    merge_override (cfg, &overrides[g]);
  read_items (cfg);
  check_references (cfg);
  check_services (cfg);
  if (cfg->faults->len > 0)
    {
      g_set_error (err, CFG_ERROR, CFG_ERROR_CHECK, "%s", cfg->faults->str);
      cfg_free (cfg);
      return NULL;
    }
  return cfg;
}

static const void *
fields (const struct cfg *cfg, enum cfg_group_id group, int i)
{
  const struct item *item = g_ptr_array_index (cfg->items[group], i);

  return item->fields;
}

const struct cfg_vm *
cfg_vm (const struct cfg *cfg)
{
  return fields (cfg, CFG_VM, 0);
}

const struct cfg_platform *
cfg_platform (const struct cfg *cfg)
{
  return fields (cfg, CFG_PLATFORM, 0);
}

const struct cfg_entry *
cfg_entry (const struct cfg *cfg)
{
  return fields (cfg, CFG_ENTRY, 0);
}

int
cfg_count (const struct cfg *cfg, enum cfg_group_id group)
{
  return (int)cfg->items[group]->len;
}

const struct cfg_workspace *
cfg_workspace (const struct cfg *cfg, int i)
{
  return fields (cfg, CFG_WORKSPACE, i);
}

const struct cfg_service *
cfg_service (const struct cfg *cfg, int i)
{
  return fields (cfg, CFG_SERVICE, i);
}

const struct cfg_endpoint *
cfg_endpoint (const struct cfg *cfg, int i)
{
  return fields (cfg, CFG_ENDPOINT, i);
}

const struct cfg_store *
cfg_store (const struct cfg *cfg, int i)
{
  return fields (cfg, CFG_STORE, i);
}

const struct cfg_operator *
cfg_operator (const struct cfg *cfg, int i)
{
  return fields (cfg, CFG_OPERATOR, i);
}

int
cfg_find (const struct cfg *cfg, enum cfg_group_id group, const char *id)
{
  gpointer found = g_hash_table_lookup (cfg->by_id[group], id);

  return found ? GPOINTER_TO_INT (found) - 1 : -1;
}

static void
show_item (const struct cfg_group *group, const struct item *item, FILE *to)
{
  const char *text;
  int k;

  fprintf (to, "[%s%s%s]\n", group->name, item->id ? " " : "",
           item->id ? item->id : "");
  for (k = 0; k < group->nkeys; k++)
    {
      text = group->keys[k].type == CFG_KEYS ? "(hashes)" : item->texts[k];
      fprintf (to, "%s = %s  # %s\n", group->keys[k].name, text,
               item->origin[k]);
    }
  fputc ('\n', to);
}

void
cfg_show (const struct cfg *cfg, FILE *to)
{
  guint i;
  int g;

  for (g = 0; g < CFG_GROUPS; g++)
    for (i = 0; i < cfg->items[g]->len; i++)
      show_item (&cfg_groups[g], g_ptr_array_index (cfg->items[g], i), to);
}
