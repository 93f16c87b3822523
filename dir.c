/*
 * Directory of kept segments, used as a hint for routing.  The listings of the
 * stores are authoritative, and an import verifies what it receives, so a
 * wrong entry costs time but never causes a wrong answer.
 */
#include "kvdecide.h"

#include <glib.h>

struct dir
{
  GHashTable *by_digest;                  /* digest to entry */
  APR_RING_HEAD (dir_lru, dir_entry) lru; /* all entries */
  size_t max_entries;                     /* limit on the number of entries */
};

struct dir *
dir_new (size_t max_entries)
{
  struct dir *d = g_new0 (struct dir, 1);

  d->by_digest
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  APR_RING_INIT (&d->lru, dir_entry, link);
  d->max_entries = max_entries;
  return d;
}

void
dir_free (struct dir *d)
{
  g_hash_table_destroy (d->by_digest);
  g_free (d);
}

size_t
dir_count (const struct dir *d)
{
  return g_hash_table_size (d->by_digest);
}

struct dir_entry *
dir_find (struct dir *d, uint64_t digest)
{
  return g_hash_table_lookup (d->by_digest, &digest);
}

static void
drop (struct dir *d, struct dir_entry *e)
{
  APR_RING_REMOVE (e, link);
  g_hash_table_remove (d->by_digest, &e->digest);
}

void
dir_touch (struct dir *d, struct dir_entry *e, int64_t now_us)
{
  e->used_us = now_us;
  APR_RING_REMOVE (e, link);
  APR_RING_INSERT_TAIL (&d->lru, e, dir_entry, link);
}

static struct dir_entry *
insert (struct dir *d, uint64_t digest, int64_t now_us)
{
  struct dir_entry *e;
  int c;

  if (dir_count (d) >= d->max_entries)
    drop (d, APR_RING_FIRST (&d->lru));
  e = g_new0 (struct dir_entry, 1);
  e->digest = digest;
  e->used_us = now_us;
  for (c = 0; c < DIR_COPIES; c++)
    e->copies[c].store = -1;
  APR_RING_INSERT_TAIL (&d->lru, e, dir_entry, link);
  g_hash_table_insert (d->by_digest, &e->digest, e);
  return e;
}

/* Records a sealed copy.  It replaces a copy in the same store that has an
   older name. */
struct dir_entry *
dir_add (struct dir *d, uint64_t digest, int store, uint64_t write_id,
         int64_t now_us)
{
  struct dir_entry *e = dir_find (d, digest);
  int at = 0;
  int c;

  if (e == NULL)
    e = insert (d, digest, now_us);
  for (c = 0; c < DIR_COPIES; c++)
    if (e->copies[c].store == store)
      break;
  if (c == DIR_COPIES)
    for (c = 0; c < DIR_COPIES; c++)
      if (e->copies[c].store < 0)
        break;
  if (c < DIR_COPIES)
    at = c;
  e->copies[at].store = (int16_t)store;
  e->copies[at].write_id = write_id;
  return e;
}

/* Removes a copy, unless it was written again under another name. */
bool
dir_remove (struct dir *d, uint64_t digest, int store, uint64_t write_id)
{
  struct dir_entry *e = dir_find (d, digest);
  bool found = false;
  int left = 0;
  int c;

  if (e == NULL)
    return false;
  for (c = 0; c < DIR_COPIES; c++)
    {
      if (e->copies[c].store == store && e->copies[c].write_id == write_id)
        {
          e->copies[c].store = -1;
          found = true;
        }
      left += e->copies[c].store >= 0;
    }
  if (left == 0)
    drop (d, e);
  return found;
}

/* Removes all copies in a store that failed or restarted empty. */
void
dir_remove_store (struct dir *d, int store)
{
  struct dir_entry *e, *next;
  int c;

  for (e = APR_RING_FIRST (&d->lru);
       e != APR_RING_SENTINEL (&d->lru, dir_entry, link); e = next)
    {
      next = APR_RING_NEXT (e, link);
      for (c = 0; c < DIR_COPIES; c++)
        if (e->copies[c].store == store)
          {
            dir_remove (d, e->digest, store, e->copies[c].write_id);
            break;
          }
    }
}

static bool
has_copy (const struct dir_entry *e, int store)
{
  int c;

  for (c = 0; c < DIR_COPIES; c++)
    if (e->copies[c].store == store)
      return true;
  return false;
}

int
dir_depth (struct dir *d, const uint64_t *digests, int n, int store)
{
  const struct dir_entry *e;
  int depth = 0;

  while (depth + DIR_SEGMENT_BLOCKS <= n)
    {
      e = dir_find (d, digests[depth + DIR_SEGMENT_BLOCKS - 1]);
      if (e == NULL || !has_copy (e, store))
        break;
      depth += DIR_SEGMENT_BLOCKS;
    }
  return depth;
}

struct dir_entry *
dir_oldest (struct dir *d, size_t n)
{
  struct dir_entry *e = APR_RING_FIRST (&d->lru);

  while (n-- > 0 && e != APR_RING_SENTINEL (&d->lru, dir_entry, link))
    e = APR_RING_NEXT (e, link);
  return e == APR_RING_SENTINEL (&d->lru, dir_entry, link) ? NULL : e;
}
