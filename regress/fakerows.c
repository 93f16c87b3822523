/*
 * Stand-in for the metadata store of the users' platform: rows with versions,
 * conditional transactions, long polls for changes.
 *
 *   PUT /row/TABLE/KEY, DELETE /row/TABLE/KEY: what an operator or an endpoint
 *   writes (its value as the plain body)
 *
 *   turn_away    HTTP status for all calls
 *   silent       no call is answered
 *   slow_ms      time each call takes
 *   lose         so many transactions are done and not answered
 *   compact      so many polls are told that the history is gone
 *   lost_table   polls of this table are told so
 *   keep_copy    keep what there is now
 *   older_copy   come back with what was kept, in the next era
 *   era          as all answers say it
 *   deaf         polls see no changes
 *   page_rows    rows of an answer, 500 unless said
 *   GET /stats   how many calls it had, and how many rows it sent
 *   kb_s         kilobytes of an answer that leave in a second, 0 for all
 *   halt_kb      kilobytes of such an answer after which no more leave
 */
#include "fake.h"

#include <sodium.h>
#include <string.h>

struct row
{
  char *table;     /* its table */
  char *key;       /* its key */
  char *value;     /* plain, NULL once removed */
  size_t len;      /* bytes of it */
  int64_t version; /* of its last change */
};

static GMutex lock;
static GCond changed;
static GPtrArray *rows;
static int64_t newest;
static int64_t calls, sent; /* answered calls, and rows sent in them */
static GPtrArray *kept;     /* rows of the copy */
static int64_t kept_newest;

static struct row *
find (const char *table, const char *key)
{
  struct row *r;
  guint i;

  if (rows == NULL)
    rows = g_ptr_array_new ();
  for (i = 0; i < rows->len; i++)
    {
      r = rows->pdata[i];
      if (strcmp (r->table, table) == 0 && strcmp (r->key, key) == 0)
        return r;
    }
  return NULL;
}

/* Under the lock; VALUE is taken over, NULL removes the row. */
static void
set (const char *table, const char *key, char *value, size_t len)
{
  struct row *r = find (table, key);

  if (r == NULL)
    {
      r = g_new0 (struct row, 1);
      r->table = g_strdup (table);
      r->key = g_strdup (key);
      g_ptr_array_add (rows, r);
    }
  g_free (r->value);
  r->value = value;
  r->len = len;
  r->version = newest;
}

static GPtrArray *
copy_rows (const GPtrArray *from)
{
  GPtrArray *to = g_ptr_array_new ();
  struct row *r;
  guint i;

  for (i = 0; from != NULL && i < from->len; i++)
    {
      r = g_memdup2 (from->pdata[i], sizeof *r);
      r->table = g_strdup (r->table);
      r->key = g_strdup (r->key);
      if (r->value != NULL)
        r->value = g_memdup2 (r->value, r->len + 1);
      g_ptr_array_add (to, r);
    }
  return to;
}

/* Under the lock.  What was acknowledged since the copy is gone, and its
   versions are given out again. */
static void
copy_or_return (void)
{
  g_autofree char *era = NULL;

  if (fk_take ("keep_copy"))
    {
      kept = copy_rows (rows);
      kept_newest = newest;
    }
  if (!fk_take ("older_copy"))
    return;
  rows = copy_rows (kept);
  newest = kept_newest;
  era = g_strdup_printf ("%d", (int)fk_number ("era", 1) + 1);
  fk_set_string ("era", era);
  g_cond_broadcast (&changed);
}

static json_t *
row_json (const struct row *r)
{
  const char *value = r->value ? r->value : "";
  size_t n = r->value ? r->len : 0;
  size_t size = sodium_base64_encoded_len (n, sodium_base64_VARIANT_ORIGINAL);
  g_autofree char *coded = g_malloc (size);
  json_t *doc;

  sodium_bin2base64 (coded, size, (const unsigned char *)value, n,
                     sodium_base64_VARIANT_ORIGINAL);
  doc = json_pack ("{s:s,s:s,s:s,s:s,s:I}", "Table", r->table, "part", "",
                   "Key", r->key, "Value", coded, "Ver",
                   (json_int_t)r->version);
  if (r->value == NULL)
    json_object_set_new (doc, "Removed", json_true ());
  return doc;
}

static enum MHD_Result
reply_page (struct fk_req *r, int status, json_t *list, bool more)
{
  json_t *doc = json_pack ("{s:o,s:b,s:I,s:I}", "Rows", list, "HasMore", more,
                           "Ver", (json_int_t)newest, "NowMs",
                           (json_int_t)(g_get_monotonic_time () / 1000));
  int64_t kb_s = fk_number ("kb_s", 0);

  sent += (int64_t)json_array_size (list);
  return kb_s > 0 ? fk_reply_paced (r, status, doc, kb_s)
                  : fk_reply_json (r, status, doc);
}

static enum MHD_Result
reply_rows (struct fk_req *r, int status, json_t *list)
{
  return reply_page (r, status, list, false);
}

static int
by_key (gconstpointer a, gconstpointer b)
{
  const struct row *const *ra = a;
  const struct row *const *rb = b;

  return strcmp ((*ra)->key, (*rb)->key);
}

static const char *
argument (struct fk_req *r, const char *name)
{
  const char *s
      = MHD_lookup_connection_value (r->conn, MHD_GET_ARGUMENT_KIND, name);

  return s ? s : "";
}

static enum MHD_Result
get_rows (struct fk_req *r)
{
  const char *table = argument (r, "Table");
  const char *from = argument (r, "From");
  g_autoptr (GPtrArray) found = g_ptr_array_new ();
  guint page = (guint)fk_number ("page_rows", 500);
  gint64 limit = g_ascii_strtoll (argument (r, "Limit"), NULL, 10);
  json_t *list = json_array ();
  enum MHD_Result done;
  guint i;

  g_mutex_lock (&lock);
  for (i = 0; rows != NULL && i < rows->len; i++)
    {
      struct row *o = rows->pdata[i];

      if (strcmp (o->table, table) == 0 && o->value != NULL
          && strcmp (o->key, from) >= 0)
        g_ptr_array_add (found, o);
    }
  g_ptr_array_sort (found, by_key);
  if (limit > 0)
    page = MIN (page, (guint)limit);
  for (i = 0; i < MIN (found->len, page); i++)
    json_array_append_new (list, row_json (found->pdata[i]));
  done = reply_page (r, 200, list, found->len > page);
  g_mutex_unlock (&lock);
  return done;
}

/* Under the lock: changes of a table after a version. */
static json_t *
changes (const char *table, int64_t after)
{
  json_t *list = json_array ();
  guint i;

  for (i = 0; rows != NULL && i < rows->len; i++)
    {
      struct row *o = rows->pdata[i];

      if (strcmp (o->table, table) == 0 && o->version > after)
        json_array_append_new (list, row_json (o));
    }
  return list;
}

static enum MHD_Result
wait_rows (struct fk_req *r)
{
  const char *table = argument (r, "Table");
  int64_t after = g_ascii_strtoll (argument (r, "after"), NULL, 10);
  int64_t wait = g_ascii_strtoll (argument (r, "WaitMs"), NULL, 10);
  int64_t until = g_get_monotonic_time () + wait * 1000;
  g_autofree char *lost = fk_string ("lost_table", "");
  json_t *list;
  enum MHD_Result done;
  bool timeout = false;

  if (fk_take ("compact") || strcmp (table, lost) == 0)
    return fk_reply_json (r, 410, json_object ());
  g_mutex_lock (&lock);
  if (after > newest)
    {
      g_mutex_unlock (&lock);
      return fk_reply_json (r, 410, json_object ());
    }
  list = changes (table, after);
  while (!timeout && after <= newest
         && (json_array_size (list) == 0 || fk_number ("deaf", 0)))
    {
      json_decref (list);
      timeout = !g_cond_wait_until (&changed, &lock, until);
      list = fk_number ("deaf", 0) ? json_array () : changes (table, after);
    }
  if (after > newest)
    {
      json_decref (list);
      g_mutex_unlock (&lock);
      return fk_reply_json (r, 410, json_object ());
    }
  done = reply_rows (r, 200, list);
  g_mutex_unlock (&lock);
  return done;
}

static const char *
text (const json_t *doc, const char *field)
{
  const char *s = json_string_value (json_object_get (doc, field));

  return s ? s : "";
}

/* Under the lock. */
static bool
conditions_hold (const json_t *list, json_t *found)
{
  const json_t *c;
  size_t i;
  bool hold = true;

  json_array_foreach (list, i, c)
  {
    struct row *o = find (text (c, "Table"), text (c, "Key"));
    int64_t version = o != NULL && o->value != NULL ? o->version : 0;

    hold &= version == json_integer_value (json_object_get (c, "Ver"));
    if (version > 0)
      json_array_append_new (found, row_json (o));
  }
  return hold;
}

static enum MHD_Result
transact (struct fk_req *r)
{
  json_t *doc = json_loadb (r->body->str, r->body->len, 0, NULL);
  json_t *found = json_array ();
  const json_t *one;
  bool hold;
  size_t i;
  enum MHD_Result done;

  g_mutex_lock (&lock);
  hold = conditions_hold (json_object_get (doc, "Precondition"), found);
  newest += hold;
  json_array_foreach (json_object_get (doc, "SetKeys"), i, one)
  {
    const char *coded = text (one, "Value");
    size_t n = 0;
    char *plain = g_malloc0 (strlen (coded) + 1);

    sodium_base642bin ((unsigned char *)plain, strlen (coded) + 1, coded,
                       strlen (coded), NULL, &n, NULL,
                       sodium_base64_VARIANT_ORIGINAL);
    if (hold)
      {
        set (text (one, "Table"), text (one, "Key"), plain, n);
        fk_log ("row", "table=%s key=%s version=%d value=%s",
                text (one, "Table"), text (one, "Key"), (int)newest, plain);
      }
    else
      g_free (plain);
  }
  json_array_foreach (json_object_get (doc, "Remove"), i, one)
  {
    if (hold)
      set (text (one, "Table"), text (one, "Key"), NULL, 0);
  }
  g_cond_broadcast (&changed);
  done = fk_take ("lose")
             ? MHD_NO
             : reply_rows (r, hold ? 200 : 412, hold ? json_array () : found);
  g_mutex_unlock (&lock);
  json_decref (doc);
  return done;
}

static enum MHD_Result
write_row (struct fk_req *r)
{
  g_auto (GStrv) parts = g_strsplit (r->path + strlen ("/row/"), "/", 2);

  g_mutex_lock (&lock);
  newest++;
  find ("", "");
  set (parts[0], parts[1],
       strcmp (r->method, "PUT") == 0 ? g_strdup (r->body->str) : NULL,
       r->body->len);
  g_cond_broadcast (&changed);
  g_mutex_unlock (&lock);
  return fk_reply_json (r, 200, json_object ());
}

static enum MHD_Result
handle (struct fk_req *r)
{
  g_mutex_lock (&lock);
  copy_or_return ();
  g_mutex_unlock (&lock);
  if (g_str_has_prefix (r->path, "/row/"))
    return write_row (r);
  if (strcmp (r->path, "/stats") == 0)
    return fk_reply_json (r, 200,
                          json_pack ("{s:I,s:I}", "calls", (json_int_t)calls,
                                     "rows", (json_int_t)sent));
  __atomic_fetch_add (&calls, 1, __ATOMIC_RELAXED);
  g_usleep ((gulong)fk_number ("slow_ms", 0) * 1000);
  while (fk_number ("silent", 0))
    g_usleep (20000);
  if (fk_number ("turn_away", 0))
    return fk_reply_json (r, (int)fk_number ("turn_away", 0), json_object ());
  if (strcmp (r->path, "/rows-get") == 0)
    return get_rows (r);
  if (strcmp (r->path, "/rows-feed") == 0)
    return wait_rows (r);
  if (strcmp (r->path, "/rows-tx") == 0)
    return transact (r);
  return fk_reply_json (r, 404, json_object ());
}

const struct fk_role fk_rows = { "rows", handle };
