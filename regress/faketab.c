/*
 * Stand-in for the platform's transactional table and object store.
 *
 *   down          closes every connection unanswered
 *   slow_ms       time each call takes
 *   lose_replies  so many commits take effect, then close unanswered
 *   vms           the list of VMs, as JSON
 *   freeze_reads  reads show the state of the moment it was set: a replica
 *                 that lags
 *   writes_s      transactions a second; more are answered 429
 */
#include "fake.h"

#include <string.h>

/* A row. */
struct row
{
  int64_t version; /* of the last change */
  json_t *value;   /* content */
};

static GMutex lock;
static GHashTable *rows;    /* key to row */
static GHashTable *frozen;  /* rows that reads show, or NULL */
static GHashTable *objects; /* name to GString */
static int64_t version;
static int64_t arrived, transactions, writes, reads, second, in_second;

static void
row_free (gpointer data)
{
  struct row *row = data;

  json_decref (row->value);
  g_free (row);
}

static void
init (void)
{
  if (rows != NULL)
    return;
  rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, row_free);
  objects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

static bool
over_limit (void)
{
  int64_t limit = fk_number ("writes_s", 0);
  int64_t now = g_get_monotonic_time () / 1000000;

  if (now != second)
    in_second = 0;
  second = now;
  return limit > 0 && ++in_second > limit;
}

static json_t *
conflicts_of (const json_t *list)
{
  json_t *found = json_array ();
  const json_t *w;
  const struct row *row;
  int64_t want;
  size_t i;

  json_array_foreach (list, i, w)
  {
    row = g_hash_table_lookup (rows,
                               json_string_value (json_object_get (w, "key")));
    want = json_integer_value (json_object_get (w, "version"));
    if ((row ? row->version : 0) == want)
      continue;
    json_array_append_new (
        found, json_pack ("{s:i,s:I,s:O?}", "index", (int)i, "version",
                          (json_int_t)(row ? row->version : 0), "value",
                          row ? row->value : NULL));
  }
  return found;
}

static json_t *
apply (const json_t *list)
{
  json_t *versions = json_array ();
  const json_t *w;
  struct row *row;
  const char *key;
  json_t *put;
  size_t i;

  json_array_foreach (list, i, w)
  {
    key = json_string_value (json_object_get (w, "key"));
    put = json_object_get (w, "put");
    version++;
    writes++;
    json_array_append_new (versions, json_integer (version));
    if (!json_is_object (put))
      {
        g_hash_table_remove (rows, key);
        continue;
      }
    row = g_new0 (struct row, 1);
    row->version = version;
    row->value = json_incref (put);
    g_hash_table_insert (rows, g_strdup (key), row);
  }
  return versions;
}

static enum MHD_Result
commit (struct fk_req *r)
{
  json_t *doc = json_loadb (r->body->str, r->body->len, 0, NULL);
  const json_t *list = json_object_get (doc, "writes");
  json_t *found, *versions = NULL;
  bool busy;

  g_mutex_lock (&lock);
  busy = over_limit ();
  found = conflicts_of (list);
  if (!busy)
    transactions++;
  if (!busy && json_array_size (found) == 0)
    versions = apply (list);
  g_mutex_unlock (&lock);
  json_decref (doc);
  if (versions != NULL && fk_take ("lose_replies"))
    {
      json_decref (versions);
      json_decref (found);
      return fk_drop (r);
    }
  if (busy || versions != NULL)
    {
      json_decref (found);
      if (busy)
        return fk_reply_json (r, 429, json_object ());
      return fk_reply_json (r, 200, json_pack ("{s:o}", "versions", versions));
    }
  return fk_reply_json (r, 409, json_pack ("{s:o}", "conflicts", found));
}

static void
freeze (void)
{
  GHashTableIter it;
  gpointer key, value;
  const struct row *row;
  struct row *copy;

  if (!fk_number ("freeze_reads", 0))
    {
      if (frozen != NULL)
        g_hash_table_destroy (frozen);
      frozen = NULL;
      return;
    }
  if (frozen != NULL)
    return;
  frozen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, row_free);
  g_hash_table_iter_init (&it, rows);
  while (g_hash_table_iter_next (&it, &key, &value))
    {
      row = value;
      copy = g_new0 (struct row, 1);
      copy->version = row->version;
      copy->value = json_incref (row->value);
      g_hash_table_insert (frozen, g_strdup (key), copy);
    }
}

static enum MHD_Result
read_row (struct fk_req *r, const char *key)
{
  const struct row *row;
  json_t *doc = NULL;

  g_mutex_lock (&lock);
  reads++;
  freeze ();
  row = g_hash_table_lookup (frozen ? frozen : rows, key);
  if (row != NULL)
    doc = json_pack ("{s:I,s:O}", "version", (json_int_t)row->version, "value",
                     row->value);
  g_mutex_unlock (&lock);
  if (doc == NULL)
    return fk_reply_json (r, 404, json_object ());
  return fk_reply_json (r, 200, doc);
}

/* All rows, for tests. */
static enum MHD_Result
dump (struct fk_req *r)
{
  json_t *doc = json_object ();
  GHashTableIter it;
  gpointer key, value;

  g_mutex_lock (&lock);
  g_hash_table_iter_init (&it, rows);
  while (g_hash_table_iter_next (&it, &key, &value))
    json_object_set (doc, key, ((struct row *)value)->value);
  g_mutex_unlock (&lock);
  return fk_reply_json (r, 200, doc);
}

static enum MHD_Result
object (struct fk_req *r, const char *name)
{
  const GString *found;
  GString *copy = NULL;
  enum MHD_Result done;

  g_mutex_lock (&lock);
  if (strcmp (r->method, "PUT") == 0)
    g_hash_table_insert (
        objects, g_strdup (name),
        g_string_new_len (r->body->str, (gssize)r->body->len));
  found = g_hash_table_lookup (objects, name);
  if (found != NULL)
    copy = g_string_new_len (found->str, (gssize)found->len);
  g_mutex_unlock (&lock);
  if (copy == NULL)
    return fk_reply (r, 404, "text/plain", "", 0);
  done = fk_reply (r, 200, "application/octet-stream", copy->str, copy->len);
  g_string_free (copy, TRUE);
  return done;
}

static enum MHD_Result
handle (struct fk_req *r)
{
  g_mutex_lock (&lock);
  init ();
  g_mutex_unlock (&lock);
  if (strcmp (r->path, "/stats") == 0)
    return fk_reply_json (
        r, 200,
        json_pack ("{s:I,s:I,s:I,s:I}", "arrived", (json_int_t)arrived,
                   "transactions", (json_int_t)transactions, "writes",
                   (json_int_t)writes, "reads", (json_int_t)reads));
  if (strcmp (r->path, "/dump") == 0)
    return dump (r);
  g_mutex_lock (&lock);
  arrived += strcmp (r->path, "/txn") == 0;
  g_mutex_unlock (&lock);
  g_usleep ((gulong)fk_number ("slow_ms", 0) * 1000);
  if (strcmp (r->path, "/vms") == 0)
    {
      g_autofree char *vms = fk_string ("vms", "[]");

      return fk_reply (r, 200, "application/json", vms, strlen (vms));
    }
  if (strcmp (r->path, "/txn") == 0)
    return commit (r);
  if (g_str_has_prefix (r->path, "/rows/"))
    return read_row (r, r->path + strlen ("/rows/"));
  if (g_str_has_prefix (r->path, "/objects/"))
    return object (r, r->path + strlen ("/objects/"));
  return fk_reply (r, 404, "text/plain", "", 0);
}

const struct fk_role fk_table = { "table", handle };
