/* Internal header of kept work on a VM: kept.c imports, export.c keeps. */
#ifndef CQ_LIBKEPT_H
#define CQ_LIBKEPT_H

#include "libserver.h"

#define BLOCK_TOKENS (PFX_BLOCK_BYTES / WIRE_BYTES_PER_TOKEN)
#define SEGMENT_TOKENS ((int64_t)DIR_SEGMENT_BLOCKS * BLOCK_TOKENS)

/* A store as this VM knows it; guarded by route_lock but for the timing of
   its listings, which belongs to the first worker's thread. */
struct store
{
  struct kvcache *kvcache;     /* whose */
  int index;                   /* place in the settings */
  const struct cfg_store *cfg; /* declared */
  struct link link;            /* its link */
  bool is_up;                  /* its listings arrive */
  char incarnation[40];        /* which life of it is known */
  int64_t next_change;         /* number of the next change */
  int64_t used_bytes;          /* bytes in use */
  int64_t capacity_bytes;      /* bytes in all */
  bool listing_pending;        /* a listing is under way */
  int missed_listings;         /* listings missed in a row */
  int64_t next_listing_us;     /* when to ask again */
};

struct kvcache
{
  struct server *server;     /* whose */
  struct worker *worker;     /* whose thread asks for listings */
  struct loop_timer timer;   /* next look */
  struct store *stores;      /* by place in the settings */
  int nstores;               /* their number */
  struct dir *dir;           /* what they hold */
  struct dir *seen_prompts;  /* last segments of prompts seen lately */
  struct keep *return_stats; /* by workspace */
  int64_t *exported_bytes;   /* bytes this VM kept, by workspace */
};

/* Drop what is worth least from a store that is nearly full. */
void kvexport_evict (struct store *st, int64_t now_us);

#endif
