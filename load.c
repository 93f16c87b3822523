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
#define PEERS_MAX 2048

/* A VM that was heard. */
struct peer_load
{
  struct load_gossip gossip; /* its last */
  int64_t heard_us;          /* when that came */
  bool counts;               /* its entries are in the sums */
};

struct load_table
{
  GHashTable *peers; /* VM's name to struct peer_load */
  GHashTable *sums;  /* endpoint's key to struct at_endpoint */
  GHashTable *parts; /* both keys mixed to struct part_there */
  int counting;      /* peers whose entries are in the sums */
  int all;           /* VMs that there are, to SOME that speak */
  int some;          /* see above */
  bool partial;      /* other failure domains are not heard */
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

struct load_table *
load_new (void)
{
  struct load_table *t = g_new0 (struct load_table, 1);

  t->peers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  t->sums = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  t->parts = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  t->all = t->some = 1;
  return t;
}

void
load_free (struct load_table *t)
{
  g_hash_table_destroy (t->peers);
  g_hash_table_destroy (t->sums);
  g_hash_table_destroy (t->parts);
  g_free (t);
}

static uint64_t
mix (uint64_t endpoint, uint64_t part)
{
  return (endpoint ^ part) * UINT64_C (0x9E3779B97F4A7C15) + endpoint;
}

static struct at_endpoint *
need_endpoint (struct load_table *t, uint64_t key)
{
  struct at_endpoint *at = g_hash_table_lookup (t->sums, &key);

  if (at != NULL)
    return at;
  at = g_new0 (struct at_endpoint, 1);
  at->key = key;
  g_hash_table_insert (t->sums, &at->key, at);
  return at;
}

/* Memory that the part takes in addition, now that it is named once more. */
static int64_t
name_part (struct load_table *t, const struct load_entry *e)
{
  uint64_t key = mix (e->endpoint, e->part);
  struct part_there *p = g_hash_table_lookup (t->parts, &key);

  if (p != NULL)
    {
      p->entries++;
      return 0;
    }
  p = g_new0 (struct part_there, 1);
  p->key = key;
  p->entries = 1;
  p->tokens = e->shared_kv_tokens;
  g_hash_table_insert (t->parts, &p->key, p);
  return p->tokens;
}

/* Memory that it gives back, now that it is named once less. */
static int64_t
unname_part (struct load_table *t, const struct load_entry *e)
{
  uint64_t key = mix (e->endpoint, e->part);
  struct part_there *p = g_hash_table_lookup (t->parts, &key);
  int64_t tokens;

  if (p == NULL || --p->entries > 0)
    return 0;
  tokens = p->tokens;
  g_hash_table_remove (t->parts, &key);
  return tokens;
}

static void
add_entry (struct load_table *t, const struct load_entry *e)
{
  struct at_endpoint *at = need_endpoint (t, e->endpoint);

  at->entries++;
  at->sum.pending_prefill_tokens
      += e->pending_prefill_tokens + e->shared_pending_prefill_tokens;
  at->sum.kv_tokens += e->kv_tokens + name_part (t, e);
}

static void
remove_entry (struct load_table *t, const struct load_entry *e)
{
  struct at_endpoint *at = need_endpoint (t, e->endpoint);

  at->sum.pending_prefill_tokens
      -= e->pending_prefill_tokens + e->shared_pending_prefill_tokens;
  at->sum.kv_tokens -= e->kv_tokens + unname_part (t, e);
  if (--at->entries == 0)
    g_hash_table_remove (t->sums, &e->endpoint);
}

static void
count (struct load_table *t, struct peer_load *p, bool counts)
{
  int i;

  if (p->counts == counts)
    return;
  for (i = 0; i < p->gossip.nentries; i++)
    if (counts)
      add_entry (t, &p->gossip.entries[i]);
    else
      remove_entry (t, &p->gossip.entries[i]);
  p->counts = counts;
  t->counting += counts ? 1 : -1;
}

static bool
is_newer (const struct load_gossip *w, const struct load_gossip *old)
{
  return w->incarnation != old->incarnation ? w->incarnation > old->incarnation
                                            : w->seq > old->seq;
}

bool
load_update (struct load_table *t, const struct load_gossip *w, int64_t now_us)
{
  struct peer_load *p = g_hash_table_lookup (t->peers, w->vm);

  if (p != NULL && !is_newer (w, &p->gossip))
    return false;
  if (p == NULL && g_hash_table_size (t->peers) >= PEERS_MAX)
    return false;
  if (p == NULL)
    {
      p = g_new0 (struct peer_load, 1);
      p->gossip = *w;
      g_hash_table_insert (t->peers, p->gossip.vm, p);
    }
  count (t, p, false);
  p->gossip = *w;
  p->heard_us = now_us;
  count (t, p, true);
  return true;
}

void
load_expire (struct load_table *t, int64_t now_us)
{
  GHashTableIter it;
  struct peer_load *p;

  g_hash_table_iter_init (&it, t->peers);
  while (g_hash_table_iter_next (&it, NULL, (gpointer *)&p))
    {
      if (now_us - p->heard_us > SILENT_US)
        count (t, p, false);
      if (now_us - p->heard_us > FORGET_US)
        g_hash_table_iter_remove (&it);
    }
}

void
load_scale (struct load_table *t, int all, int some, bool partial)
{
  t->partial = partial;
  t->all = MAX (all, 1);
  t->some = CLAMP (some, 1, t->all);
}

bool
load_is_partial (const struct load_table *t)
{
  return t != NULL && t->partial;
}

struct load_sum
load_at (const struct load_table *t, uint64_t endpoint)
{
  const struct at_endpoint *at
      = t != NULL ? g_hash_table_lookup (t->sums, &endpoint) : NULL;
  struct load_sum sum = { 0 };

  if (at == NULL)
    return sum;
  sum.pending_prefill_tokens
      = at->sum.pending_prefill_tokens * t->all / t->some;
  sum.kv_tokens = at->sum.kv_tokens * t->all / t->some;
  return sum;
}

bool
load_has_part (const struct load_table *t, uint64_t endpoint, uint64_t part)
{
  uint64_t key = mix (endpoint, part);

  return t != NULL && g_hash_table_contains (t->parts, &key);
}

int
load_peer_count (const struct load_table *t)
{
  return t->counting;
}
