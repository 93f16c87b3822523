/*
 * Internal header of the KV cache stores as one VM sees them: kvcache.c
 * follows their listings and imports segments, kvexport.c exports and evicts
 * them.
 */
#ifndef CQ_LIBKVCACHE_H
#define CQ_LIBKVCACHE_H

#include "libserver.h"

#define BLOCK_TOKENS (PFX_BLOCK_BYTES / WIRE_BYTES_PER_TOKEN)
#define SEGMENT_TOKENS ((int64_t)DIR_SEGMENT_BLOCKS * BLOCK_TOKENS)

/* A store as this VM knows it.  Guarded by route_lock, except for the timing
   of its listings, which belongs to the first worker's thread. */
struct store
{
  struct kvcache *kvcache;     /* the module that owns it */
  int index;                   /* index in the settings */
  const struct cfg_store *cfg; /* its settings */
  struct link link;            /* estimated load of its network link */
  bool is_up;                  /* it answers requests for listings */
  char incarnation[40];        /* incarnation that the directory describes */
  int64_t next_change;         /* number of the next change to request */
  int64_t used_bytes;          /* bytes in use, from the last listing */
  int64_t capacity_bytes;      /* total bytes, from the last listing */
  bool listing_pending;        /* a request for a listing has no reply yet */
  int missed_listings;         /* consecutive requests that failed */
  int64_t next_listing_us;     /* when to request the next listing */
};

/* The stores, what they hold and which prompts return. */
struct kvcache
{
  struct server *server;     /* the server that owns it */
  struct worker *worker;     /* its thread requests the listings */
  struct loop_timer timer;   /* next check for listings that are due */
  struct store *stores;      /* by index in the settings */
  int nstores;               /* number of stores in the settings */
  struct dir *dir;           /* segments that the stores hold */
  struct dir *seen_prompts;  /* last segments of recent prompts */
  struct keep *return_stats; /* how often prompts return, by workspace */
  int64_t *exported_bytes;   /* bytes that this VM exported, by workspace */
};

/* Deletes the least recently used segments of a store that is nearly full. */
void kvexport_evict (struct store *st, int64_t now_us);

#endif
