/* What other VMs have under way at endpoints. */
#include "load.h"

#include <glib.h>

/* A VM with work speaks several times a second; one that has been silent for
   so long is cut off, suspended or gone, and most of its work is done. */
#define SILENT_US INT64_C (1500000)

/* A VM that was heard. */
struct voice
{
  struct load_word word; /* its last */
  int64_t heard_us;      /* when that came */
  bool counts;           /* its entries are in the sums */
};

struct load_book
{
  GHashTable *voices; /* VM's name to struct voice */
  GHashTable *sums;   /* endpoint's key to struct load_entry */
  int counting;       /* voices whose entries are in the sums */
  int all;            /* VMs that there are, to SOME that speak */
  int some;           /* see above */
  bool partial;       /* other failure domains are not heard */
};

struct load_book *
load_new (void)
{
  struct load_book *b = g_new0 (struct load_book, 1);

  b->voices = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  b->sums = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  b->all = b->some = 1;
  return b;
}

void
load_free (struct load_book *b)
{
  g_hash_table_destroy (b->voices);
  g_hash_table_destroy (b->sums);
  g_free (b);
}

static void
add_entry (struct load_book *b, const struct load_entry *e, int sign)
{
  struct load_entry *sum = g_hash_table_lookup (b->sums, &e->endpoint);

  if (sum == NULL)
    {
      sum = g_new0 (struct load_entry, 1);
      sum->endpoint = e->endpoint;
      g_hash_table_insert (b->sums, &sum->endpoint, sum);
    }
  sum->unread += sign * e->unread;
  sum->held += sign * e->held;
  if (sum->held == 0 && sum->unread == 0)
    g_hash_table_remove (b->sums, &e->endpoint);
}

static void
count (struct load_book *b, struct voice *v, bool counts)
{
  int i;

  if (v->counts == counts)
    return;
  for (i = 0; i < v->word.n; i++)
    add_entry (b, &v->word.entries[i], counts ? 1 : -1);
  v->counts = counts;
  b->counting += counts ? 1 : -1;
}

static bool
is_newer (const struct load_word *w, const struct load_word *old)
{
  return w->life != old->life ? w->life > old->life : w->beat > old->beat;
}

bool
load_hear (struct load_book *b, const struct load_word *w, int64_t now_us)
{
  struct voice *v = g_hash_table_lookup (b->voices, w->vm);

  if (v != NULL && !is_newer (w, &v->word))
    return false;
  if (v == NULL)
    {
      v = g_new0 (struct voice, 1);
      v->word = *w;
      g_hash_table_insert (b->voices, v->word.vm, v);
    }
  count (b, v, false);
  v->word = *w;
  v->heard_us = now_us;
  count (b, v, true);
  return true;
}

void
load_fade (struct load_book *b, int64_t now_us)
{
  GHashTableIter it;
  struct voice *v;

  g_hash_table_iter_init (&it, b->voices);
  while (g_hash_table_iter_next (&it, NULL, (gpointer *)&v))
    if (now_us - v->heard_us > SILENT_US)
      count (b, v, false);
}

void
load_scale (struct load_book *b, int all, int some, bool partial)
{
  b->partial = partial;
  b->all = MAX (all, 1);
  b->some = CLAMP (some, 1, b->all);
}

bool
load_is_partial (const struct load_book *b)
{
  return b != NULL && b->partial;
}

struct load_entry
load_at (const struct load_book *b, uint64_t endpoint)
{
  const struct load_entry *sum
      = b != NULL ? g_hash_table_lookup (b->sums, &endpoint) : NULL;
  struct load_entry e = { .endpoint = endpoint };

  if (sum == NULL)
    return e;
  e.unread = sum->unread * b->all / b->some;
  e.held = sum->held * b->all / b->some;
  return e;
}

int
load_voices (const struct load_book *b)
{
  return b->counting;
}
