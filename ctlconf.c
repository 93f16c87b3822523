/*
 * Subcommands of ctl on settings and members: apply, diff, history, members
 * and settings.
 *
 * A file of changes is an INI file; each key in it is set to the given value.
 */
#include "ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "server.h"

#define CONFIG_PATH "/admin/v1/config"
#define POLL_INTERVAL_US 50000

/* --- state of the VM --- */

static json_t *
fetch_state (const struct ctl_options *o, int *code)
{
  g_autoptr (GString) reply = g_string_new (NULL);
  long status = ctl_call (o, "GET", CONFIG_PATH, NULL, reply);
  json_t *doc = json_loadb (reply->str, reply->len, 0, NULL);

  if (status == 200 && doc != NULL)
    return doc;
  *code = ctl_report_error (o, status, doc);
  json_decref (doc);
  return NULL;
}

static int64_t
int_field (const json_t *doc, const char *field)
{
  return json_integer_value (json_object_get (doc, field));
}

static const char *
text_field (const json_t *doc, const char *field)
{
  const char *s = json_string_value (json_object_get (doc, field));

  return s ? s : "";
}

/* --- where a revision is in force --- */

/* Counts of the VMs in one failure domain. */
struct domain
{
  int in_force;            /* live VMs with the revision or a newer one */
  int vms;                 /* live VMs */
  int dead;                /* dead VMs */
  int64_t last_message_ms; /* least time since a message from one, -1: never */
};

static bool
is_live (const json_t *vm)
{
  const char *state = text_field (vm, "state");

  return strcmp (state, "alive") == 0 || strcmp (state, "suspect") == 0;
}

static void
count_vm (GHashTable *domains, const json_t *vm, int64_t revision)
{
  const char *name = text_field (vm, "domain");
  struct domain *d = g_hash_table_lookup (domains, name);
  int64_t ago_ms = int_field (vm, "heard_ms_ago");

  if (d == NULL)
    {
      d = g_new0 (struct domain, 1);
      d->last_message_ms = -1;
      g_hash_table_insert (domains, g_strdup (name), d);
    }
  if (ago_ms >= 0 && (d->last_message_ms < 0 || ago_ms < d->last_message_ms))
    d->last_message_ms = ago_ms;
  if (!is_live (vm))
    {
      d->dead += strcmp (text_field (vm, "state"), "dead") == 0;
      return;
    }
  d->vms++;
  d->in_force += int_field (vm, "revision") >= revision;
}

static GHashTable *
count_domains (const json_t *state, int64_t revision)
{
  GHashTable *domains
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  const json_t *vm;
  size_t i;

  json_array_foreach (json_object_get (state, "vms"), i, vm)
  {
    count_vm (domains, vm, revision);
  }
  return domains;
}

static bool
is_in_force_everywhere (GHashTable *domains)
{
  GHashTableIter it;
  gpointer key, value;

  g_hash_table_iter_init (&it, domains);
  while (g_hash_table_iter_next (&it, &key, &value))
    {
      const struct domain *d = value;

      if (d->in_force < d->vms)
        return false;
    }
  return true;
}

static void
print_domains (GHashTable *domains)
{
  g_autoptr (GList) names
      = g_list_sort (g_hash_table_get_keys (domains), (GCompareFunc)strcmp);
  GList *l;

  for (l = names; l != NULL; l = l->next)
    {
      const struct domain *d = g_hash_table_lookup (domains, l->data);

      if (d->vms == 0)
        printf (
            "  %s: cut off, last heard %" G_GINT64_FORMAT " s ago\n",
            (char *)l->data,
            (gint64)(d->last_message_ms < 0 ? -1 : d->last_message_ms / 1000));
      else
        printf ("  %s: in force on %d of %d VMs\n", (char *)l->data,
                d->in_force, d->vms);
    }
}

/* Wait until the revision is in force on all live VMs or the wait time is
   over, then print the state of each domain.  Returns an exit code. */
static int
wait_in_force (const struct ctl_options *o, int64_t revision)
{
  gint64 end = g_get_monotonic_time () + (gint64)o->wait_s * G_USEC_PER_SEC;
  int code = EXIT_CODE_OK;
  GHashTable *domains;
  json_t *state;
  bool done;

  do
    {
      state = fetch_state (o, &code);
      if (state == NULL)
        return code;
      domains = count_domains (state, revision);
      done = is_in_force_everywhere (domains);
      if (done || g_get_monotonic_time () >= end)
        print_domains (domains);
      g_hash_table_destroy (domains);
      json_decref (state);
      if (!done)
        g_usleep (POLL_INTERVAL_US);
    }
  while (!done && g_get_monotonic_time () < end);
  return done ? EXIT_CODE_OK : EXIT_CODE_FAILED;
}

/* --- sending changes --- */

static json_t *
read_change_file (const char *file)
{
  g_autoptr (GKeyFile) in = g_key_file_new ();
  g_autoptr (GError) err = NULL;
  g_auto (GStrv) groups = NULL;
  json_t *sets = json_array ();
  int g, k;

  if (!g_key_file_load_from_file (in, file, G_KEY_FILE_NONE, &err))
    {
      fprintf (stderr, "camphorquay ctl: %s: %s\n", file, err->message);
      json_decref (sets);
      return NULL;
    }
  groups = g_key_file_get_groups (in, NULL);
  for (g = 0; groups[g] != NULL; g++)
    {
      g_auto (GStrv) keys = g_key_file_get_keys (in, groups[g], NULL, NULL);

      for (k = 0; keys != NULL && keys[k] != NULL; k++)
        {
          g_autofree char *value
              = g_key_file_get_string (in, groups[g], keys[k], NULL);

          json_array_append_new (
              sets,
              json_pack ("[s,s,s]", groups[g], keys[k], value ? value : ""));
        }
    }
  return sets;
}

static char *
change_to_json (const struct ctl_options *o, json_t *sets,
                int64_t read_revision)
{
  g_autofree char *id = g_uuid_string_random ();
  json_t *doc = json_pack ("{s:s,s:I,s:b,s:o}", "id", id, "read_revision",
                           (json_int_t)read_revision, "whole_file",
                           (int)o->whole_file, "sets", sets);
  char *text = json_dumps (doc, JSON_COMPACT);
  char *copy = g_strdup (text);

  free (text);
  json_decref (doc);
  return copy;
}

/* Send the change, and send it again if the reply may have been lost.  The
   change id stays the same, so the change is accepted only once even if both
   requests arrive. */
static long
send_change (const struct ctl_options *o, const char *body, GString *reply)
{
  long status = 0;
  int tries;

  for (tries = 0; tries < 3; tries++)
    {
      g_string_truncate (reply, 0);
      status = ctl_call (o, "POST", CONFIG_PATH, body, reply);
      if (status != 0 && strstr (reply->str, "maybe_accepted") == NULL)
        break;
      g_usleep (POLL_INTERVAL_US);
    }
  return status;
}

int
ctl_apply (const struct ctl_options *o)
{
  json_t *sets = read_change_file (o->args[1]);
  g_autoptr (GString) reply = g_string_new (NULL);
  g_autofree char *body = NULL;
  int code = EXIT_CODE_FAILED;
  json_t *state, *doc;
  int64_t revision;
  long status;

  if (sets == NULL)
    return EXIT_CODE_SETTINGS;
  state = fetch_state (o, &code);
  if (state == NULL)
    {
      json_decref (sets);
      return code;
    }
  body = change_to_json (o, sets, int_field (state, "revision"));
  json_decref (state);
  status = send_change (o, body, reply);
  doc = json_loadb (reply->str, reply->len, 0, NULL);
  revision = int_field (doc, "revision");
  if (status != 200)
    code = ctl_report_error (o, status, doc);
  json_decref (doc);
  if (status != 200)
    return code;
  printf ("accepted at revision %" G_GINT64_FORMAT "\n", (gint64)revision);
  return wait_in_force (o, revision);
}

/* --- diff --- */

/* Value of a key in SHOWN, the text of GET /admin/v1/settings, without the
   comment on its origin; "" if absent.  The caller frees it. */
static char *
shown_value (const char *shown, const char *group, const char *key)
{
  g_autofree char *head = g_strdup_printf ("[%s]\n", group);
  g_autofree char *start = g_strdup_printf ("%s = ", key);
  g_auto (GStrv) lines = NULL;
  const char *at = strstr (shown, head);
  char *origin;
  int i;

  if (at == NULL)
    return g_strdup ("");
  lines = g_strsplit (at + strlen (head), "\n", -1);
  for (i = 0; lines[i] != NULL && lines[i][0] != '\0'; i++)
    if (g_str_has_prefix (lines[i], start))
      {
        origin = g_strrstr (lines[i], "  # ");
        if (origin != NULL)
          *origin = '\0';
        return g_strdup (lines[i] + strlen (start));
      }
  return g_strdup ("");
}

int
ctl_diff (const struct ctl_options *o)
{
  json_t *sets = read_change_file (o->args[1]);
  g_autoptr (GString) shown = g_string_new (NULL);
  const json_t *set;
  long status;
  size_t i;

  if (sets == NULL)
    return EXIT_CODE_SETTINGS;
  status = ctl_call (o, "GET", "/admin/v1/settings", NULL, shown);
  if (status != 200)
    {
      json_decref (sets);
      return ctl_report_error (o, status, NULL);
    }
  json_array_foreach (sets, i, set)
  {
    const char *group = json_string_value (json_array_get (set, 0));
    const char *key = json_string_value (json_array_get (set, 1));
    const char *value = json_string_value (json_array_get (set, 2));
    g_autofree char *now = shown_value (shown->str, group, key);

    if (strcmp (now, value) != 0)
      printf ("[%s] %s: \"%s\" -> \"%s\"\n", group, key, now, value);
  }
  json_decref (sets);
  return EXIT_CODE_OK;
}

/* --- history, members, settings --- */

int
ctl_history (const struct ctl_options *o)
{
  int code = EXIT_CODE_FAILED;
  json_t *state = fetch_state (o, &code);
  const json_t *entry, *change, *set;
  size_t i, k;

  if (state == NULL)
    return code;
  json_array_foreach (json_object_get (state, "changes"), i, entry)
  {
    change = json_object_get (entry, "change");
    printf ("revision %" G_GINT64_FORMAT " by %s\n",
            (gint64)int_field (entry, "revision"),
            text_field (change, "operator"));
    json_array_foreach (json_object_get (change, "sets"), k, set)
    {
      printf ("  [%s] %s = %s\n", json_string_value (json_array_get (set, 0)),
              json_string_value (json_array_get (set, 1)),
              json_string_value (json_array_get (set, 2)));
    }
  }
  json_decref (state);
  return EXIT_CODE_OK;
}

int
ctl_members (const struct ctl_options *o)
{
  int code = EXIT_CODE_FAILED;
  json_t *state = fetch_state (o, &code);
  const json_t *vm;
  size_t i;

  if (state == NULL)
    return code;
  printf ("revision=%" G_GINT64_FORMAT " stale=%s\n",
          (gint64)int_field (state, "revision"),
          json_is_true (json_object_get (state, "stale")) ? "yes" : "no");
  json_array_foreach (json_object_get (state, "vms"), i, vm)
  {
    printf ("%s domain=%s state=%s revision=%" G_GINT64_FORMAT "\n",
            text_field (vm, "name"), text_field (vm, "domain"),
            text_field (vm, "state"), (gint64)int_field (vm, "revision"));
  }
  json_decref (state);
  return EXIT_CODE_OK;
}

int
ctl_settings (const struct ctl_options *o)
{
  g_autoptr (GString) shown = g_string_new (NULL);
  long status = ctl_call (o, "GET", "/admin/v1/settings", NULL, shown);

  if (status != 200)
    return ctl_report_error (o, status, NULL);
  fputs (shown->str, stdout);
  return EXIT_CODE_OK;
}
