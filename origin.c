/* The builds at which streams began. */
#include "origin.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

#include <apr_ring.h>

/* Recorded with two builds; no build has this key. */
#define BUILD_CONFLICT 0

struct entry
{
  APR_RING_ENTRY (entry) link; /* oldest first */
  struct origin_key key;       /* the stream */
  uint64_t build;              /* where it began, or BUILD_CONFLICT */
  int64_t until_us;            /* kept until then */
};

struct origin_table
{
  GHashTable *by_key;                    /* key to struct entry */
  APR_RING_HEAD (entry_ring, entry) all; /* oldest first */
};

void
origin_key_init (struct origin_key *key, const char *workspace, const char *id)
{
  crypto_generichash_state state;

  crypto_generichash_init (&state, NULL, 0, ORIGIN_KEY_BYTES);
  /* With its NUL, so that the end of one text and the start of the next cannot
     be exchanged. */
  crypto_generichash_update (&state, (const uint8_t *)workspace,
                             strlen (workspace) + 1);
  crypto_generichash_update (&state, (const uint8_t *)id, strlen (id));
  crypto_generichash_final (&state, key->bytes, ORIGIN_KEY_BYTES);
}

/* The keys are digests already. */
unsigned
origin_key_hash (const void *key)
{
  unsigned hash;

  memcpy (&hash, ((const struct origin_key *)key)->bytes, sizeof hash);
  return hash;
}

int
origin_key_equal (const void *a, const void *b)
{
  return memcmp (a, b, ORIGIN_KEY_BYTES) == 0;
}

struct origin_table *
origin_new (void)
{
  struct origin_table *t = g_new0 (struct origin_table, 1);

  t->by_key = g_hash_table_new (origin_key_hash, origin_key_equal);
  APR_RING_INIT (&t->all, entry, link);
  return t;
}

static void
drop (struct origin_table *t, struct entry *e)
{
  g_hash_table_remove (t->by_key, &e->key);
  APR_RING_REMOVE (e, link);
  g_free (e);
}

void
origin_free (struct origin_table *t)
{
  while (!APR_RING_EMPTY (&t->all, entry, link))
    drop (t, APR_RING_FIRST (&t->all));
  g_hash_table_destroy (t->by_key);
  g_free (t);
}

/* Makes room for one more entry.  Entries are kept for different times, so one
   that has expired may stand behind others for a while. */
static void
make_room (struct origin_table *t, int64_t now_us)
{
  while (!APR_RING_EMPTY (&t->all, entry, link)
         && (APR_RING_FIRST (&t->all)->until_us <= now_us
             || g_hash_table_size (t->by_key) >= ORIGIN_ENTRIES_MAX))
    drop (t, APR_RING_FIRST (&t->all));
}

void
origin_put (struct origin_table *t, const struct origin_key *key,
            uint64_t build, int64_t keep_us, int64_t now_us)
{
  struct entry *e = g_hash_table_lookup (t->by_key, key);

  if (e != NULL && e->until_us <= now_us)
    {
      drop (t, e);
      e = NULL;
    }
  if (e == NULL)
    {
      make_room (t, now_us);
      e = g_new0 (struct entry, 1);
      e->key = *key;
      e->build = build;
      APR_RING_ELEM_INIT (e, link);
      APR_RING_INSERT_TAIL (&t->all, e, entry, link);
      g_hash_table_insert (t->by_key, &e->key, e);
    }
  if (e->build != build)
    e->build = BUILD_CONFLICT;
  e->until_us
      = MAX (e->until_us, now_us + CLAMP (keep_us, 0, ORIGIN_KEEP_MAX_US));
}

uint64_t
origin_find (struct origin_table *t, const struct origin_key *key,
             int64_t *left_us, int64_t now_us)
{
  const struct entry *e = g_hash_table_lookup (t->by_key, key);

  *left_us = 0;
  if (e == NULL || e->until_us <= now_us)
    return 0;
  *left_us = e->until_us - now_us;
  return e->build;
}

unsigned
origin_count (const struct origin_table *t)
{
  return g_hash_table_size (t->by_key);
}
