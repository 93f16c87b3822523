/* Copy of a table of the platform. */
#include "mirror.h"

#include <string.h>

#include <apr_ring.h>
#include <glib.h>

/* A row, or what is remembered of a removed one. */
struct entry_row
{
  APR_RING_ENTRY (entry_row) link; /* in the order of the changes */
  int64_t version;                 /* of its last change */
  int64_t covered; /* version that the reply with this change covered; does not
                      decrease along the list */
  unsigned round;  /* last full reply that held it */
  bool removed;    /* removed, without a value */
  uint8_t *value;  /* encoded content */
  size_t len;      /* bytes of it */
  char key[];      /* its key */
};

struct mirror
{
  APR_RING_HEAD (row_ring, entry_row) rows; /* oldest change first */
  GHashTable *by_key;                       /* key to struct entry_row */
  GQueue removed;  /* keys of removed rows, oldest first */
  int removed_max; /* most of them */
  int count;       /* rows that are not removed */
  int64_t version; /* covered so far */
  int64_t floor;   /* changes up to this version may be forgotten */
  unsigned round;  /* full replies so far */
  bool is_full;    /* the reply being applied holds all rows */
  bool complete;   /* a full reply was applied */
};

static void
row_free (gpointer data)
{
  struct entry_row *r = data;

  g_free (r->value);
  g_free (r);
}

struct mirror *
mirror_new (int removed_max)
{
  struct mirror *m = g_new0 (struct mirror, 1);

  APR_RING_INIT (&m->rows, entry_row, link);
  m->by_key = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, row_free);
  g_queue_init (&m->removed);
  m->removed_max = removed_max;
  return m;
}

void
mirror_reset (struct mirror *m)
{
  APR_RING_INIT (&m->rows, entry_row, link);
  g_queue_clear_full (&m->removed, g_free);
  g_hash_table_remove_all (m->by_key);
  m->count = 0;
  m->version = 0;
  m->floor = 0;
  m->complete = false;
}

void
mirror_free (struct mirror *m)
{
  mirror_reset (m);
  g_hash_table_destroy (m->by_key);
  g_free (m);
}

/* --- changes --------------------------------------------------------- */

void
mirror_begin (struct mirror *m, bool full, int64_t version)
{
  m->is_full = full;
  m->round += full;
  m->version = MAX (m->version, version);
  /* What was removed before the first full reply is not known. */
  if (full && !m->complete)
    m->floor = version;
}

static struct entry_row *
find_or_add (struct mirror *m, const char *key)
{
  struct entry_row *r = g_hash_table_lookup (m->by_key, key);
  size_t size = strlen (key) + 1;

  if (r != NULL)
    {
      APR_RING_REMOVE (r, link);
      m->count -= !r->removed;
    }
  else
    {
      r = g_malloc0 (sizeof *r + size);
      memcpy (r->key, key, size);
      g_hash_table_insert (m->by_key, r->key, r);
    }
  APR_RING_ELEM_INIT (r, link);
  APR_RING_INSERT_TAIL (&m->rows, r, entry_row, link);
  return r;
}

/* Record a change; VALUE is NULL if the row was removed. */
static void
change (struct mirror *m, const char *key, int64_t version,
        const uint8_t *value, size_t len)
{
  struct entry_row *r = find_or_add (m, key);

  m->version = MAX (m->version, version);
  r->version = version;
  r->covered = m->version;
  r->removed = value == NULL;
  r->round = m->round;
  g_free (r->value);
  r->value = value != NULL ? g_memdup2 (value, len) : NULL;
  r->len = len;
  m->count += !r->removed;
}

void
mirror_put (struct mirror *m, const char *key, int64_t version,
            const uint8_t *value, size_t len)
{
  struct entry_row *r = g_hash_table_lookup (m->by_key, key);

  if (r != NULL && r->version >= version)
    {
      /* A removal is newer than a row that a delayed page still returns. */
      r->round = m->round;
      return;
    }
  change (m, key, version, value, len);
}

/* Forget the removed rows that are too many; a reader that has not seen these
   removals needs all rows. */
static void
forget_removed (struct mirror *m)
{
  struct entry_row *r;
  char *key;

  while (m->removed.length > (guint)m->removed_max)
    {
      key = g_queue_pop_head (&m->removed);
      r = g_hash_table_lookup (m->by_key, key);
      if (r != NULL && r->removed)
        {
          m->floor = MAX (m->floor, r->covered);
          APR_RING_REMOVE (r, link);
          g_hash_table_remove (m->by_key, key);
        }
      g_free (key);
    }
}

void
mirror_remove (struct mirror *m, const char *key, int64_t version)
{
  struct entry_row *r = g_hash_table_lookup (m->by_key, key);

  if (r == NULL || r->removed || r->version > version)
    return;
  change (m, key, version, NULL, 0);
  g_queue_push_tail (&m->removed, g_strdup (key));
  forget_removed (m);
}

void
mirror_end (struct mirror *m)
{
  g_autoptr (GPtrArray) gone = g_ptr_array_new ();
  struct entry_row *r;
  guint i;

  if (!m->is_full)
    return;
  APR_RING_FOREACH (r, &m->rows, entry_row, link)
  {
    if (!r->removed && r->round != m->round)
      g_ptr_array_add (gone, g_strdup (r->key));
  }
  for (i = 0; i < gone->len; i++)
    {
      mirror_remove (m, gone->pdata[i], m->version);
      g_free (gone->pdata[i]);
    }
  m->complete = true;
}

/* --- reading --------------------------------------------------------- */

bool
mirror_is_complete (const struct mirror *m)
{
  return m->complete;
}

int64_t
mirror_version (const struct mirror *m)
{
  return m->version;
}

int
mirror_count (const struct mirror *m)
{
  return m->count;
}

bool
mirror_has_changes (const struct mirror *m, int64_t since)
{
  return m->complete && since >= m->floor;
}

void
mirror_each (const struct mirror *m, int64_t since,
             void (*fn) (void *arg, const struct mirror_row *row), void *arg)
{
  const struct entry_row *r;

  for (r = APR_RING_LAST (&m->rows);
       r != APR_RING_SENTINEL (&m->rows, entry_row, link)
       && r->covered > since;
       r = APR_RING_PREV (r, link))
    {
      struct mirror_row row
          = { r->key, r->version, r->removed, r->value, r->len };

      if (since > 0 ? r->version > since : !r->removed)
        fn (arg, &row);
    }
}
