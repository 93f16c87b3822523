/*
 * What VMs tell each other of the work that their requests are at endpoints.
 *
 * A VM sees its own requests and, seldom, an endpoint's word about all; with
 * many VMs nearly all work at an endpoint is that of others.  So each tells
 * the others what its long prompts still have to read there and what memory
 * they take.  It is a hint for placing: nothing else rests on it, what is old
 * fades, and nobody waits for it.  Everything here is pure.
 */
#ifndef CQ_LOAD_H
#define CQ_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#define LOAD_ENTRIES_MAX 40 /* of one word: it fits a datagram */
#define LOAD_VM_SIZE 64     /* bytes of a VM's name with its NUL */

/* Requests of a VM at one endpoint that share the last shared part of their
   prompts: that is read once, and takes memory once. */
struct load_entry
{
  uint64_t endpoint;              /* key of its life */
  uint64_t part;                  /* digest of that part */
  int64_t pending_prefill_tokens; /* tokens of their own that are still to be
                                     read */
  int64_t kv_tokens; /* tokens of memory that these take, or will */
  int64_t shared_pending_prefill_tokens; /* the same of what they share */
  int64_t shared_kv_tokens;              /* likewise */
};

/* Work at an endpoint. */
struct load_sum
{
  int64_t pending_prefill_tokens; /* tokens that are still to be read */
  int64_t kv_tokens; /* tokens of memory that are taken, or will be */
};

/* What a VM says of its own requests, whole: a lost word is made good by the
   next one. */
struct load_gossip
{
  char vm[LOAD_VM_SIZE];     /* its name */
  char domain[LOAD_VM_SIZE]; /* its failure domain */
  uint64_t incarnation;      /* of that VM; grows */
  uint64_t seq;              /* grows with each word of that life */
  int nentries;              /* entries below */
  struct load_entry entries[LOAD_ENTRIES_MAX]; /* see above */
};

struct load_table;

struct load_table *load_new (void);
void load_free (struct load_table *t);

/* Take a VM's word in the place of its last one; false if a newer one was
   heard before. */
bool load_update (struct load_table *t, const struct load_gossip *w,
                  int64_t now_us);
/* Forget what VMs said that have been silent since. */
void load_expire (struct load_table *t, int64_t now_us);
/* Where only SOME of the ALL VMs of this failure domain speak to this one,
   their words stand for all.  PARTIAL: of endpoints in other domains next to
   nothing is known. */
void load_scale (struct load_table *t, int all, int some, bool partial);
bool load_is_partial (const struct load_table *t);
/* What all VMs have at ENDPOINT; zeros if nobody spoke of it. */
struct load_sum load_at (const struct load_table *t, uint64_t endpoint);
/* Whether PART is being read at ENDPOINT, or in use there. */
bool load_has_part (const struct load_table *t, uint64_t endpoint,
                    uint64_t part);
/* VMs whose words count now. */
int load_peer_count (const struct load_table *t);

#endif
