/*
 * Public header of the decision library for stored KV cache: which store holds
 * which segment, what a transfer costs and which segments are worth storing.
 * The functions have no side effects beyond their arguments, as in decide.h.
 */
#ifndef CQ_KVDECIDE_H
#define CQ_KVDECIDE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <apr_ring.h>

/* --- dir: the directory of stored segments --------------------------- */

/*
 * A stored segment holds DIR_SEGMENT_BLOCKS prefix blocks of a prompt and is
 * identified by the digest of its last block.  The digest chain covers
 * workspace, service, weight version, adapter and all text before it, so a
 * digest identifies exactly one content.  The write id makes the name of each
 * stored copy unique, also across repeated writes of one digest.
 */
#define DIR_SEGMENT_BLOCKS 4
#define DIR_COPIES 2 /* copies of a segment that the directory tracks */

/* One stored copy. */
struct dir_copy
{
  int16_t store;     /* index of the store, -1 for none */
  uint64_t write_id; /* with the digest, its name in the store */
};

/* One stored segment. */
struct dir_entry
{
  APR_RING_ENTRY (dir_entry) link; /* list by last use, oldest first */
  uint64_t digest;                 /* digest of its last block */
  struct dir_copy copies[DIR_COPIES];
  int32_t workspace;    /* index of the workspace that owns it */
  int32_t depth_blocks; /* blocks from the prompt's start to its end */
  int32_t tokens;       /* number of tokens */
  int64_t used_us;      /* time of the last use */
  int32_t uses;         /* number of uses */
};

struct dir;

struct dir *dir_new (size_t max_entries);
void dir_free (struct dir *d);
size_t dir_count (const struct dir *d);
struct dir_entry *dir_find (struct dir *d, uint64_t digest);
struct dir_entry *dir_add (struct dir *d, uint64_t digest, int store,
                           uint64_t write_id, int64_t now_us);
bool dir_remove (struct dir *d, uint64_t digest, int store, uint64_t write_id);
void dir_remove_store (struct dir *d, int store);
void dir_touch (struct dir *d, struct dir_entry *e, int64_t now_us);
/* Number of leading blocks of the prompt that STORE holds without a gap. */
int dir_depth (struct dir *d, const uint64_t *digests, int n, int store);
/* Returns entry N in order of last use, oldest first; NULL past the end. */
struct dir_entry *dir_oldest (struct dir *d, size_t n);

/* --- link: the limited link of a store ------------------------------- */

enum link_class
{
  LINK_IMPORT, /* import for a request that waits for it */
  LINK_EXPORT, /* export of newly computed segments */
  LINK_COPY,   /* transfer of a second copy */
  LINK_CLASSES
};

/* The link of a store as this VM estimates it. */
struct link
{
  int64_t bytes_s;       /* smoothed throughput while it is busy */
  int64_t segment_bytes; /* bytes of one segment */
  int64_t queued_bytes[LINK_CLASSES]; /* requested, not yet transferred */
  int64_t done_bytes[LINK_CLASSES];   /* transferred, for measurements */
  int64_t others_wait_us;    /* smoothed wait behind other VMs' transfers */
  int64_t others_wait_at_us; /* time of the last sample */
};

void link_init (struct link *l, int64_t bytes_s, int64_t grain);
int64_t link_wait_us (const struct link *l, enum link_class class,
                      int64_t now_us);
void link_add_wait (struct link *l, int64_t expected_us, int64_t actual_us,
                    int64_t now_us);
bool link_admit (const struct link *l, enum link_class class, int64_t bytes,
                 int64_t budget_us, int64_t now_us);
void link_begin (struct link *l, enum link_class class, int64_t bytes);
void link_end (struct link *l, enum link_class class, int64_t bytes,
               int64_t moving_us);

/* --- plan: the cheapest way to a first token at one endpoint --------- */

/* Weights from the settings of the service, in percent. */
struct plan_weights
{
  int first;     /* time to first token */
  int recompute; /* time spent on recomputing tokens */
  int link;      /* time that a store's link is in use */
};

/* A store that holds a prefix of the prompt. */
struct plan_source
{
  int store;        /* index of the store */
  int64_t tokens;   /* leading tokens that it holds */
  int64_t wait_us;  /* wait for the transfers queued on its link */
  int64_t setup_us; /* time before the first byte is transferred */
  int64_t tokens_s; /* tokens per second over its link */
};

/* An endpoint and a prompt. */
struct plan_in
{
  int64_t prompt_tokens; /* tokens in the whole prompt */
  int64_t cached_tokens; /* leading tokens expected in the endpoint's cache */
  int64_t queue_us;      /* time for the prompts queued before this one */
  int64_t network_us;    /* network round trip */
  int64_t prefill_tokens_s; /* tokens computed per second */
  int64_t segment_tokens; /* tokens per segment; imports are whole segments */
};

/* The plan with the lowest score. */
struct plan
{
  int store;                 /* source of the import, -1 for none */
  int64_t import_end_tokens; /* leading tokens cached after the import */
  int64_t import_us;         /* time for wait and transfer */
  int64_t compute_us;        /* time to compute the rest of the prompt */
  int64_t first_us;          /* expected time to first token */
  int64_t score;             /* weighted sum of the costs; the lowest wins */
};

struct plan plan_best (const struct plan_in *in,
                       const struct plan_source *sources, int nsources,
                       const struct plan_weights *weights);

/* --- keep: which segments are worth storing -------------------------- */

#define KEEP_BUCKETS 24 /* return intervals, by powers of two seconds */

/* How often and after which interval a workspace's prompts returned. */
struct keep
{
  int32_t uses;                  /* prompts seen, with decay */
  int32_t returns[KEEP_BUCKETS]; /* prompts that returned, by interval */
};

void keep_used (struct keep *k);
void keep_returned (struct keep *k, int64_t gap_us);
/* Probability in parts per million that a prompt unused for AGE_US returns
   within SPAN_US. */
int64_t keep_return_ppm (const struct keep *k, int64_t age_us,
                         int64_t span_us);

/* Input to the decision whether to store or to delete a segment. */
struct keep_in
{
  int64_t tokens;           /* tokens stored */
  int64_t bytes;            /* bytes that the tokens take */
  int64_t prefill_tokens_s; /* rate of recomputing the tokens, per second */
  int64_t link_bytes_s;     /* rate of importing them, in bytes per second */
  int64_t age_us;           /* time since the last use */
  int64_t span_us;          /* period over which returns are expected */
};

/* Value of storing the tokens: expected microseconds saved per megabyte. */
int64_t keep_value_us (const struct keep *k, const struct keep_in *in);

#endif
