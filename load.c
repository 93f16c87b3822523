/* What VMs have under way at endpoints. */
#include "load.h"

#include <glib.h>

/* A VM with work speaks several times a second; one that has been silent for
   so long is cut off, suspended or gone, and most of its work is done. */
#define SILENT_US INT64_C (1500000)
/* One that is replaced comes back under another name, and is not heard again.
 */
#define FORGET_US INT64_C (60000000)
/* VMs that are remembered; names cost a sender nothing. */
#define VOICES_MAX 2048

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
  GHashTable *sums;   /* endpoint's key to struct at_endpoint */
  GHashTable *parts;  /* both keys mixed to struct part_there */
  int counting;       /* voices whose entries are in the sums */
  int all;            /* VMs that there are, to SOME that speak */
  int some;           /* see above */
  bool partial;       /* other failure domains are not heard */
};

/* What is known of an endpoint. */
struct at_endpoint
{
  uint64_t key;        /* its own */
  struct load_sum sum; /* over all entries */
  int entries;         /* that are in it */
};

/* A shared part at an endpoint. */
struct part_there
{
  uint64_t key;   /* its own and the endpoint's, mixed */
  int entries;    /* that name it */
  int64_t tokens; /* that it takes, by the first of them */
};

struct load_book *
load_new (void)
{
  struct load_book *b = g_new0 (struct load_book, 1);

  b->voices = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  b->sums = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  b->parts = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  b->all = b->some = 1;
  return b;
}

void
load_free (struct load_book *b)
{
  g_hash_table_destroy (b->voices);
  g_hash_table_destroy (b->sums);
  g_hash_table_destroy (b->parts);
  g_free (b);
}

static uint64_t
mix (uint64_t endpoint, uint64_t part)
{
  return (endpoint ^ part) * UINT64_C (0x9E3779B97F4A7C15) + endpoint;
}

static struct at_endpoint *
need_endpoint (struct load_book *b, uint64_t key)
{
  struct at_endpoint *at = g_hash_table_lookup (b->sums, &key);

  if (at != NULL)
    return at;
  at = g_new0 (struct at_endpoint, 1);
  at->key = key;
  g_hash_table_insert (b->sums, &at->key, at);
  return at;
}

/* Memory that the part takes in addition, now that it is named once more. */
static int64_t
name_part (struct load_book *b, const struct load_entry *e)
{
  uint64_t key = mix (e->endpoint, e->part);
  struct part_there *p = g_hash_table_lookup (b->parts, &key);

  if (p != NULL)
    {
      p->entries++;
      return 0;
    }
  p = g_new0 (struct part_there, 1);
  p->key = key;
  p->entries = 1;
  p->tokens = e->shared_held;
  g_hash_table_insert (b->parts, &p->key, p);
  return p->tokens;
}

/* Memory that it gives back, now that it is named once less. */
static int64_t
unname_part (struct load_book *b, const struct load_entry *e)
{
  uint64_t key = mix (e->endpoint, e->part);
  struct part_there *p = g_hash_table_lookup (b->parts, &key);
  int64_t tokens;

  if (p == NULL || --p->entries > 0)
    return 0;
  tokens = p->tokens;
  g_hash_table_remove (b->parts, &key);
  return tokens;
}

static void
add_entry (struct load_book *b, const struct load_entry *e)
{
  struct at_endpoint *at = need_endpoint (b, e->endpoint);

  at->entries++;
  at->sum.unread += e->unread + e->shared_unread;
  at->sum.held += e->held + name_part (b, e);
}

static void
remove_entry (struct load_book *b, const struct load_entry *e)
{
  struct at_endpoint *at = need_endpoint (b, e->endpoint);

  at->sum.unread -= e->unread + e->shared_unread;
  at->sum.held -= e->held + unname_part (b, e);
  if (--at->entries == 0)
    g_hash_table_remove (b->sums, &e->endpoint);
}

static void
count (struct load_book *b, struct voice *v, bool counts)
{
  int i;

  if (v->counts == counts)
    return;
  for (i = 0; i < v->word.n; i++)
    if (counts)
      add_entry (b, &v->word.entries[i]);
    else
      remove_entry (b, &v->word.entries[i]);
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
  if (v == NULL && g_hash_table_size (b->voices) >= VOICES_MAX)
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
    {
      if (now_us - v->heard_us > SILENT_US)
        count (b, v, false);
      if (now_us - v->heard_us > FORGET_US)
        g_hash_table_iter_remove (&it);
    }
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

struct load_sum
load_at (const struct load_book *b, uint64_t endpoint)
{
  const struct at_endpoint *at
      = b != NULL ? g_hash_table_lookup (b->sums, &endpoint) : NULL;
  struct load_sum sum = { 0 };

  if (at == NULL)
    return sum;
  sum.unread = at->sum.unread * b->all / b->some;
  sum.held = at->sum.held * b->all / b->some;
  return sum;
}

bool
load_has_part (const struct load_book *b, uint64_t endpoint, uint64_t part)
{
  uint64_t key = mix (endpoint, part);

  return b != NULL && g_hash_table_contains (b->parts, &key);
}

int
load_voices (const struct load_book *b)
{
  return b->counting;
}
