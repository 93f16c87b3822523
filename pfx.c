/*
 * Prefix index: which endpoint is likely to hold which prompt prefix.
 *
 * Soft state: an entry is a hint that saves time when it is right and costs a
 * recompute when it is wrong.  Bounded; the entry unused longest goes first.
 */
#include "decide.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

#define TOKENS_PER_TICK 64 /* unit of an endpoint's fill count */
#define PERMILLE 1000

/*
 * An endpoint's memory evicts what was unused longest.  How much was put into
 * it since a prefix was last used therefore tells whether it is still there,
 * without any event: the fill count is the clock, the capacity the lifetime.
 */
struct memory
{
  uint32_t ticks;    /* fill count so far */
  int64_t rest;      /* tokens that do not make a tick yet */
  uint32_t capacity; /* in ticks */
  uint8_t life;      /* grows when all it held is gone */
  uint8_t gaps;      /* grows when events were lost */
};

/* An endpoint that has held a prefix. */
struct holder
{
  int16_t endpoint; /* index, -1 for none */
  uint8_t life;     /* of its memory then */
  uint8_t gaps;     /* of its events then */
  uint32_t ticks;   /* of its memory at the last use */
};

/* One known prefix. */
struct entry
{
  APR_RING_ENTRY (entry) link;        /* by last use, oldest first */
  uint64_t digest;                    /* key in the table */
  struct holder holders[PFX_HOLDERS]; /* latest first */
};

struct pfx
{
  GHashTable *by_digest;                /* digest to entry */
  APR_RING_HEAD (entry_lru, entry) lru; /* all entries */
  size_t max_entries;                   /* bound on the entries */
  struct memory *memories;              /* one for each endpoint */
  int endpoints;                        /* their number */
};

static void
add_part (crypto_generichash_state *h, const char *part)
{
  /* The closing NUL separates parts, so that no two scopes run together. */
  crypto_generichash_update (h, (const uint8_t *)part, strlen (part) + 1);
}

/*
 * Key of the digests of one scope.  Equal prompts of two workspaces, or under
 * two weight versions, get unrelated digests and so can never share an entry.
 */
void
pfx_scope_init (struct pfx_scope *scope, const char *workspace,
                const char *service, const char *version, const char *adapter)
{
  crypto_generichash_state h;

  crypto_generichash_init (&h, NULL, 0, PFX_KEY_BYTES);
  add_part (&h, workspace);
  add_part (&h, service);
  add_part (&h, version);
  add_part (&h, adapter);
  crypto_generichash_final (&h, scope->key, PFX_KEY_BYTES);
}

/* Digests of the whole blocks of TEXT, each chained to the one before. */
int
pfx_chain (const struct pfx_scope *scope, const char *text, size_t len,
           uint64_t *digests, int max)
{
  crypto_generichash_state h;
  uint8_t full[crypto_generichash_BYTES_MIN];
  uint64_t before = 0;
  int n;

  for (n = 0; n < max && len >= PFX_BLOCK_BYTES; n++)
    {
      crypto_generichash_init (&h, scope->key, PFX_KEY_BYTES, sizeof full);
      crypto_generichash_update (&h, (const uint8_t *)&before, sizeof before);
      crypto_generichash_update (&h, (const uint8_t *)text, PFX_BLOCK_BYTES);
      crypto_generichash_final (&h, full, sizeof full);
      memcpy (&before, full, sizeof before);
      digests[n] = before;
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
  p->memories = g_new0 (struct memory, endpoints + 1);
  p->endpoints = endpoints;
  return p;
}

void
pfx_free (struct pfx *p)
{
  g_hash_table_destroy (p->by_digest);
  g_free (p->memories);
  g_free (p);
}

size_t
pfx_count (const struct pfx *p)
{
  return g_hash_table_size (p->by_digest);
}

/* --- memories -------------------------------------------------------- */

void
pfx_set_capacity (struct pfx *p, int endpoint, int64_t tokens)
{
  p->memories[endpoint].capacity = (uint32_t)(tokens / TOKENS_PER_TICK);
}

/* The endpoint's own count; it never goes back within one life. */
void
pfx_set_filled (struct pfx *p, int endpoint, int64_t tokens)
{
  struct memory *m = &p->memories[endpoint];
  uint32_t ticks = (uint32_t)(tokens / TOKENS_PER_TICK);

  if ((int32_t)(ticks - m->ticks) > 0)
    m->ticks = ticks;
}

void
pfx_add_filled (struct pfx *p, int endpoint, int64_t tokens)
{
  struct memory *m = &p->memories[endpoint];

  m->rest += tokens;
  m->ticks += (uint32_t)(m->rest / TOKENS_PER_TICK);
  m->rest %= TOKENS_PER_TICK;
}

/*
 * Removals may have been lost, so what was believed before is doubtful until
 * it is used again.
 */
void
pfx_mark_gap (struct pfx *p, int endpoint)
{
  p->memories[endpoint].gaps++;
}

void
pfx_invalidate_endpoint (struct pfx *p, int endpoint)
{
  p->memories[endpoint].life++;
}

static bool
valid (const struct pfx *p, const struct holder *h)
{
  return h->endpoint >= 0 && h->life == p->memories[h->endpoint].life;
}

/* Sure while less than nine tenths of the memory was filled since the last
   use, gone after eleven tenths; half of that if removals may be missing. */
static int
chance_permille (const struct pfx *p, const struct holder *h)
{
  const struct memory *m = &p->memories[h->endpoint];
  int64_t age = (int64_t)m->ticks - h->ticks;
  int64_t cap = m->capacity;
  int64_t chance = PERMILLE;

  if (cap > 0)
    chance = (11 * cap - 10 * age) * PERMILLE / (2 * cap);
  if (chance > PERMILLE)
    chance = PERMILLE;
  if (chance < 0)
    chance = 0;
  return (int)(h->gaps == m->gaps ? chance : chance / 2);
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

/* Put ENDPOINT first among the holders. */
static void
add_holder (const struct pfx *p, struct entry *e, int endpoint)
{
  const struct memory *m = &p->memories[endpoint];
  int i;

  for (i = 0; i < PFX_HOLDERS - 1; i++)
    if (e->holders[i].endpoint == endpoint || e->holders[i].endpoint < 0)
      break;
  for (; i > 0; i--)
    e->holders[i] = e->holders[i - 1];
  e->holders[0].endpoint = (int16_t)endpoint;
  e->holders[0].life = m->life;
  e->holders[0].gaps = m->gaps;
  e->holders[0].ticks = m->ticks;
}

/* Note that ENDPOINT has just processed the prompt with these digests. */
void
pfx_record (struct pfx *p, const uint64_t *digests, int n, int endpoint)
{
  struct entry *e;
  int i;

  /* From the tail on: the head of a prompt stays the most recently used. */
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

/* An event says that ENDPOINT has evicted the block. */
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

/* The endpoint's answer told how many leading BLOCKS it had in memory: what
   was believed beyond them is wrong. */
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
  int chance = chance_permille (p, h);
  int i;

  for (i = 0; i < nhits; i++)
    if (hits[i].endpoint == h->endpoint)
      return nhits;
  if (chance == 0)
    return nhits;
  hits[nhits] = (struct pfx_hit){ h->endpoint, blocks, chance };
  return nhits + 1;
}

/*
 * Endpoints that hold a head of the prompt, deepest first.  The chain makes
 * one probe from the deep end enough: an entry at depth I implies its head.
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
        if (valid (p, &e->holders[h]))
          nhits = add_hit (p, hits, nhits, &e->holders[h], i + 1);
      if (nhits == max_hits)
        break;
    }
  return nhits;
}
