/* Load of all VMs at endpoints, as they report it. */
#include "load.h"

#include <glib.h>

/* A VM with requests sends several times a second; one that has sent nothing
   for so long is partitioned, suspended or has ended, and most of its requests
   are done. */
#define EXPIRE_US INT64_C (1500000)
/* A replaced VM returns under another name, and the old name is not used
   again. */
#define REMOVE_US INT64_C (60000000)
/* VMs that are kept; bounded, as a sender can use any number of names. */
#define PEERS_MAX 2048

/* A VM that sent its load. */
struct peer_load
{
  struct load_gossip gossip; /* its last message */
  int64_t received_us;       /* when that was received */
  bool is_counted;           /* its entries are counted in the sums */
};

struct load_table
{
  GHashTable *peers; /* VM's name to struct peer_load */
  GHashTable *sums;  /* endpoint's key to struct endpoint_load */
  GHashTable *parts; /* hash of both keys to struct part_load */
  int counted_peers; /* peers whose entries are counted in the sums */
  int all_vms;       /* number of VMs in this failure domain */
  int sending_vms;   /* number of these that send to this VM */
  bool partial;      /* load in other failure domains is unknown */
};

/* Load at an endpoint. */
struct endpoint_load
{
  uint64_t key;        /* key of the endpoint */
  struct load_sum sum; /* sum of all entries */
  int entries;         /* entries that are counted in sum */
};

/* A shared part at an endpoint. */
struct part_load
{
  uint64_t key;   /* hash of its digest and the endpoint's key */
  int entries;    /* entries that contain it */
  int64_t tokens; /* its size in the KV cache, by the first of them */
};

struct load_table *
load_new (void)
{
  struct load_table *t = g_new0 (struct load_table, 1);

  t->peers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  t->sums = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  t->parts = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  t->all_vms = t->sending_vms = 1;
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
part_key (uint64_t endpoint, uint64_t part)
{
  return (endpoint ^ part) * UINT64_C (0x9E3779B97F4A7C15) + endpoint;
}

static struct endpoint_load *
get_endpoint (struct load_table *t, uint64_t key)
{
  struct endpoint_load *at = g_hash_table_lookup (t->sums, &key);

  if (at != NULL)
    return at;
  at = g_new0 (struct endpoint_load, 1);
  at->key = key;
  g_hash_table_insert (t->sums, &at->key, at);
  return at;
}

/* Counts one more use of the part; returns the tokens of KV cache that it
   takes in addition. */
static int64_t
ref_part (struct load_table *t, const struct load_entry *e)
{
  uint64_t key = part_key (e->endpoint, e->part);
  struct part_load *p = g_hash_table_lookup (t->parts, &key);

  if (p != NULL)
    {
      p->entries++;
      return 0;
    }
  p = g_new0 (struct part_load, 1);
  p->key = key;
  p->entries = 1;
  p->tokens = e->shared_kv_tokens;
  g_hash_table_insert (t->parts, &p->key, p);
  return p->tokens;
}

/* Counts one use less; returns the tokens of KV cache that are freed. */
static int64_t
unref_part (struct load_table *t, const struct load_entry *e)
{
  uint64_t key = part_key (e->endpoint, e->part);
  struct part_load *p = g_hash_table_lookup (t->parts, &key);
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
  struct endpoint_load *at = get_endpoint (t, e->endpoint);

  at->entries++;
  at->sum.pending_prefill_tokens
      += e->pending_prefill_tokens + e->shared_pending_prefill_tokens;
  at->sum.kv_tokens += e->kv_tokens + ref_part (t, e);
}

static void
remove_entry (struct load_table *t, const struct load_entry *e)
{
  struct endpoint_load *at = get_endpoint (t, e->endpoint);

  at->sum.pending_prefill_tokens
      -= e->pending_prefill_tokens + e->shared_pending_prefill_tokens;
  at->sum.kv_tokens -= e->kv_tokens + unref_part (t, e);
  if (--at->entries == 0)
    g_hash_table_remove (t->sums, &e->endpoint);
}

static void
set_counted (struct load_table *t, struct peer_load *p, bool is_counted)
{
  int i;

  if (p->is_counted == is_counted)
    return;
  for (i = 0; i < p->gossip.nentries; i++)
    if (is_counted)
      add_entry (t, &p->gossip.entries[i]);
    else
      remove_entry (t, &p->gossip.entries[i]);
  p->is_counted = is_counted;
  t->counted_peers += is_counted ? 1 : -1;
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
  set_counted (t, p, false);
  p->gossip = *w;
  p->received_us = now_us;
  set_counted (t, p, true);
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
      if (now_us - p->received_us > EXPIRE_US)
        set_counted (t, p, false);
      if (now_us - p->received_us > REMOVE_US)
        g_hash_table_iter_remove (&it);
    }
}

void
load_scale (struct load_table *t, int all, int some, bool partial)
{
  t->partial = partial;
  t->all_vms = MAX (all, 1);
  t->sending_vms = CLAMP (some, 1, t->all_vms);
}

bool
load_is_partial (const struct load_table *t)
{
  return t != NULL && t->partial;
}

struct load_sum
load_at (const struct load_table *t, uint64_t endpoint)
{
  const struct endpoint_load *at
      = t != NULL ? g_hash_table_lookup (t->sums, &endpoint) : NULL;
  struct load_sum sum = { 0 };

  if (at == NULL)
    return sum;
  sum.pending_prefill_tokens
      = at->sum.pending_prefill_tokens * t->all_vms / t->sending_vms;
  sum.kv_tokens = at->sum.kv_tokens * t->all_vms / t->sending_vms;
  return sum;
}

bool
load_has_part (const struct load_table *t, uint64_t endpoint, uint64_t part)
{
  uint64_t key = part_key (endpoint, part);

  return t != NULL && g_hash_table_contains (t->parts, &key);
}

int
load_peer_count (const struct load_table *t)
{
  return t->counted_peers;
}
