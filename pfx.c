/*
 * Prefix index: which endpoint probably holds which prompt prefix.
 *
 * Soft state: an entry is a hint that saves time if it is right and costs a
 * recompute if it is wrong.  The index is bounded, with LRU replacement.
 */
#include "decide.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

#define TOKENS_PER_TICK 64 /* unit of the fill count of an endpoint */
#define PERMILLE 1000

/*
 * Cache of an endpoint, with LRU eviction.  The number of tokens written to it
 * since a prefix was last used shows whether the prefix is still there,
 * without any event: the fill count serves as a clock, the capacity as the
 * lifetime.
 */
struct cache
{
  uint32_t ticks;       /* fill count so far */
  int64_t partial_tick; /* tokens that do not fill a tick yet */
  uint32_t capacity;    /* in ticks */
  uint8_t generation;   /* incremented when the cache was emptied */
  uint8_t gaps;         /* incremented when events were lost */
};

/* An endpoint that has held a prefix, and its state at the last use. */
struct holder
{
  int16_t endpoint;   /* index, -1 for none */
  uint8_t generation; /* its cache generation */
  uint8_t gaps;       /* its count of lost events */
  uint32_t ticks;     /* its fill count */
};

/* One known prefix. */
struct entry
{
  APR_RING_ENTRY (entry) link;        /* by last use, oldest first */
  uint64_t digest;                    /* key in the table */
  struct holder holders[PFX_HOLDERS]; /* most recent first */
};

struct pfx
{
  GHashTable *by_digest;                /* digest to entry */
  APR_RING_HEAD (entry_lru, entry) lru; /* all entries */
  size_t max_entries;                   /* limit on the number of entries */
  struct cache *caches;                 /* one per endpoint */
  int endpoints;                        /* their number */
};

static void
hash_part (crypto_generichash_state *h, const char *part)
{
  /* The final NUL separates parts, so that different scopes cannot collide. */
  crypto_generichash_update (h, (const uint8_t *)part, strlen (part) + 1);
}

/*
 * Derives the key of the digests of one scope.  Equal prompts of two
 * workspaces, or of two weight versions, get unrelated digests, so that they
 * never share an entry.
 */
void
pfx_scope_init (struct pfx_scope *scope, const char *workspace,
                const char *service, const char *version, const char *adapter)
{
  crypto_generichash_state h;

  crypto_generichash_init (&h, NULL, 0, PFX_KEY_BYTES);
  hash_part (&h, workspace);
  hash_part (&h, service);
  hash_part (&h, version);
  hash_part (&h, adapter);
  crypto_generichash_final (&h, scope->key, PFX_KEY_BYTES);
}

/* Digests of the complete blocks of TEXT, each chained to the previous one. */
int
pfx_chain (const struct pfx_scope *scope, const char *text, size_t len,
           uint64_t *digests, int max)
{
  crypto_generichash_state h;
  uint8_t full[crypto_generichash_BYTES_MIN];
  uint64_t previous = 0;
  int n;

  for (n = 0; n < max && len >= PFX_BLOCK_BYTES; n++)
    {
      crypto_generichash_init (&h, scope->key, PFX_KEY_BYTES, sizeof full);
      crypto_generichash_update (&h, (const uint8_t *)&previous,
                                 sizeof previous);
      crypto_generichash_update (&h, (const uint8_t *)text, PFX_BLOCK_BYTES);
      crypto_generichash_final (&h, full, sizeof full);
      memcpy (&previous, full, sizeof previous);
      digests[n] = previous;
      text += PFX_BLOCK_BYTES;
      len -= PFX_BLOCK_BYTES;
    }
  return n;
}

struct pfx *
pfx_new (size_t max_entries, int endpoints)
{
  struct pfx *p = g_new0 (struct pfx, 1);

  p->by_digest
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  APR_RING_INIT (&p->lru, entry, link);
  p->max_entries = max_entries;
  p->caches = g_new0 (struct cache, endpoints + 1);
  p->endpoints = endpoints;
  return p;
}

void
pfx_free (struct pfx *p)
{
  g_hash_table_destroy (p->by_digest);
  g_free (p->caches);
  g_free (p);
}

size_t
pfx_count (const struct pfx *p)
{
  return g_hash_table_size (p->by_digest);
}

/* --- caches of endpoints --------------------------------------------- */

void
pfx_set_capacity (struct pfx *p, int endpoint, int64_t tokens)
{
  p->caches[endpoint].capacity = (uint32_t)(tokens / TOKENS_PER_TICK);
}

/* The endpoint's own count, which never decreases within one generation. */
void
pfx_set_filled (struct pfx *p, int endpoint, int64_t tokens)
{
  struct cache *m = &p->caches[endpoint];
  uint32_t ticks = (uint32_t)(tokens / TOKENS_PER_TICK);

  if ((int32_t)(ticks - m->ticks) > 0)
    m->ticks = ticks;
}

void
pfx_add_filled (struct pfx *p, int endpoint, int64_t tokens)
{
  struct cache *m = &p->caches[endpoint];

  m->partial_tick += tokens;
  m->ticks += (uint32_t)(m->partial_tick / TOKENS_PER_TICK);
  m->partial_tick %= TOKENS_PER_TICK;
}

/*
 * Eviction events may have been lost, so existing entries are less certain
 * until they are used again.
 */
void
pfx_mark_gap (struct pfx *p, int endpoint)
{
  p->caches[endpoint].gaps++;
}

void
pfx_invalidate_endpoint (struct pfx *p, int endpoint)
{
  p->caches[endpoint].generation++;
}

static bool
is_valid (const struct pfx *p, const struct holder *h)
{
  return h->endpoint >= 0
         && h->generation == p->caches[h->endpoint].generation;
}

/* Probability that H still holds the prefix: 1 while less than nine tenths of
   the capacity were written since the last use, 0 after eleven tenths, linear
   between; half of that if eviction events may be missing. */
static int
probability_permille (const struct pfx *p, const struct holder *h)
{
  const struct cache *m = &p->caches[h->endpoint];
  int64_t age = (int64_t)m->ticks - h->ticks;
  int64_t cap = m->capacity;
  int64_t probability = PERMILLE;

  if (cap > 0)
    probability = (11 * cap - 10 * age) * PERMILLE / (2 * cap);
  if (probability > PERMILLE)
    probability = PERMILLE;
  if (probability < 0)
    probability = 0;
  return (int)(h->gaps == m->gaps ? probability : probability / 2);
}

/* --- entries --------------------------------------------------------- */

static struct entry *
insert (struct pfx *p, uint64_t digest)
{
  struct entry *e;
  int i;

  if (pfx_count (p) >= p->max_entries)
    {
      e = APR_RING_FIRST (&p->lru);
      APR_RING_REMOVE (e, link);
      g_hash_table_remove (p->by_digest, &e->digest);
    }
  e = g_new0 (struct entry, 1);
  e->digest = digest;
  for (i = 0; i < PFX_HOLDERS; i++)
    e->holders[i].endpoint = -1;
  APR_RING_INSERT_TAIL (&p->lru, e, entry, link);
  g_hash_table_insert (p->by_digest, &e->digest, e);
  return e;
}

static void
touch (struct pfx *p, struct entry *e)
{
  APR_RING_REMOVE (e, link);
  APR_RING_INSERT_TAIL (&p->lru, e, entry, link);
}

/* Makes ENDPOINT the most recent holder. */
static void
add_holder (const struct pfx *p, struct entry *e, int endpoint)
{
  const struct cache *m = &p->caches[endpoint];
  int i;

  for (i = 0; i < PFX_HOLDERS - 1; i++)
    if (e->holders[i].endpoint == endpoint || e->holders[i].endpoint < 0)
      break;
  for (; i > 0; i--)
    e->holders[i] = e->holders[i - 1];
  e->holders[0].endpoint = (int16_t)endpoint;
  e->holders[0].generation = m->generation;
  e->holders[0].gaps = m->gaps;
  e->holders[0].ticks = m->ticks;
}

/* Records that ENDPOINT has just processed the prompt with these digests. */
void
pfx_record (struct pfx *p, const uint64_t *digests, int n, int endpoint)
{
  struct entry *e;
  int i;

  /* Last block first, so that the first block is the most recently used. */
  for (i = n - 1; i >= 0; i--)
    {
      e = g_hash_table_lookup (p->by_digest, &digests[i]);
      if (e == NULL)
        e = insert (p, digests[i]);
      else
        touch (p, e);
      add_holder (p, e, endpoint);
    }
}

/* Handles the event that ENDPOINT has evicted the block. */
void
pfx_remove (struct pfx *p, uint64_t digest, int endpoint)
{
  struct entry *e = g_hash_table_lookup (p->by_digest, &digest);
  int from, to = 0;

  if (e == NULL)
    return;
  for (from = 0; from < PFX_HOLDERS; from++)
    if (e->holders[from].endpoint != endpoint)
      e->holders[to++] = e->holders[from];
  while (to < PFX_HOLDERS)
    e->holders[to++].endpoint = -1;
}

/* The answer of the endpoint reported that it had BLOCKS leading blocks in its
   cache: removes its entries for further blocks. */
void
pfx_remove_beyond (struct pfx *p, const uint64_t *digests, int n, int endpoint,
                   int blocks)
{
  int i;

  for (i = blocks; i < n; i++)
    pfx_remove (p, digests[i], endpoint);
}

/* --- lookup ---------------------------------------------------------- */

static int
add_hit (const struct pfx *p, struct pfx_hit *hits, int nhits,
         const struct holder *h, int blocks)
{
  int probability = probability_permille (p, h);
  int i;

  for (i = 0; i < nhits; i++)
    if (hits[i].endpoint == h->endpoint)
      return nhits;
  if (probability == 0)
    return nhits;
  hits[nhits] = (struct pfx_hit){ h->endpoint, blocks, probability };
  return nhits + 1;
}

/*
 * Endpoints that hold a prefix of the prompt, longest prefix first.  Digests
 * are chained, so an entry for block I implies all blocks before it, and the
 * search starts at the last block.
 */
int
pfx_lookup (struct pfx *p, const uint64_t *digests, int n,
            struct pfx_hit *hits, int max_hits)
{
  const struct entry *e;
  int nhits = 0;
  int i, h;

  for (i = n - 1; i >= 0; i--)
    {
      e = g_hash_table_lookup (p->by_digest, &digests[i]);
      if (e == NULL)
        continue;
      for (h = 0; h < PFX_HOLDERS && nhits < max_hits; h++)
        if (is_valid (p, &e->holders[h]))
          nhits = add_hit (p, hits, nhits, &e->holders[h], i + 1);
      if (nhits == max_hits)
        break;
    }
  return nhits;
}
