/*
 * Public header of the deciding library for kept work: what is kept where,
 * what moving it costs, what is worth keeping.  Pure, like decide.h.
 */
#ifndef CQ_KEPT_H
#define CQ_KEPT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <apr_ring.h>

/* --- dir: the directory of kept segments ----------------------------- */

/*
 * A kept segment holds DIR_SEGMENT_BLOCKS prefix blocks of a prompt and is
 * known by the digest of its last block.  The digest chain covers workspace,
 * service, weight version, adapter and all text before it, so a digest names
 * one content only; the write id makes each stored name unique for ever.
 */
#define DIR_SEGMENT_BLOCKS 4
#define DIR_COPIES 2 /* copies of a segment that are followed */

/* One stored copy. */
struct dir_copy
{
  int16_t store;     /* index of the store, -1 for none */
  uint64_t write_id; /* with the digest, its name in the store */
};

/* One kept segment. */
struct dir_entry
{
  APR_RING_ENTRY (dir_entry) link; /* by last use, oldest first */
  uint64_t digest;                 /* of its last block */
  struct dir_copy copies[DIR_COPIES];
  int32_t workspace;    /* whose */
  int32_t depth_blocks; /* blocks from the prompt's start to its end */
  int32_t tokens;       /* tokens it holds */
  int64_t used_us;      /* last use */
  int32_t uses;         /* times it was wanted */
};

struct dir;

struct dir *dir_new (size_t max_entries);
void dir_free (struct dir *d);
size_t dir_count (const struct dir *d);
struct dir_entry *dir_find (struct dir *d, uint64_t digest);
struct dir_entry *dir_add (struct dir *d, uint64_t digest, int store,
                           uint64_t write_id, int64_t now_us);
bool dir_remove (struct dir *d, uint64_t digest, int store, uint64_t write_id);
void dir_forget_store (struct dir *d, int store);
void dir_touch (struct dir *d, struct dir_entry *e, int64_t now_us);
/* Leading blocks of the prompt that STORE holds without a gap. */
int dir_depth (struct dir *d, const uint64_t *digests, int n, int store);
/* Entry number N in order of last use, oldest first; NULL past the end. */
struct dir_entry *dir_oldest (struct dir *d, size_t n);

/* --- link: the limited link of a store ------------------------------- */

enum link_class
{
  LINK_IMPORT, /* a caller waits for it */
  LINK_EXPORT, /* keeps new work */
  LINK_COPY,   /* a second copy */
  LINK_CLASSES
};

/* A link as far as this VM knows it. */
struct link
{
  int64_t bytes_s;                    /* smoothed rate while it is busy */
  int64_t grain;                      /* bytes of one segment */
  int64_t queued_bytes[LINK_CLASSES]; /* bytes asked for and not done */
  int64_t done_bytes[LINK_CLASSES];   /* bytes done, for the measures */
  int64_t others_wait_us;    /* smoothed wait behind other VMs' transfers */
  int64_t others_wait_at_us; /* when that was learned */
};

void link_init (struct link *l, int64_t bytes_s, int64_t grain);
int64_t link_wait_us (const struct link *l, enum link_class class,
                      int64_t now_us);
void link_waited (struct link *l, int64_t expected_us, int64_t actual_us,
                  int64_t now_us);
bool link_admit (const struct link *l, enum link_class class, int64_t bytes,
                 int64_t budget_us, int64_t now_us);
void link_begin (struct link *l, enum link_class class, int64_t bytes);
void link_end (struct link *l, enum link_class class, int64_t bytes,
               int64_t moving_us);

/* --- plan: the cheapest way to a first token at one endpoint --------- */

/* What a service's operator declares; parts of 100. */
struct plan_weights
{
  int first;     /* time to first token */
  int recompute; /* time spent computing what was computed before */
  int link;      /* time a store's link is used */
};

/* A store that holds a head of the prompt. */
struct plan_source
{
  int store;        /* index of the store */
  int64_t tokens;   /* leading tokens it holds */
  int64_t wait_us;  /* behind what is queued on its link */
  int64_t setup_us; /* before the first byte moves */
  int64_t tokens_s; /* tokens a second over its link */
};

/* An endpoint and a prompt. */
struct plan_in
{
  int64_t prompt_tokens;    /* tokens of the prompt */
  int64_t cached_tokens;    /* leading tokens expected in its memory */
  int64_t queue_us;         /* prompts before this one */
  int64_t network_us;       /* round trip */
  int64_t prefill_tokens_s; /* tokens computed in a second */
  int64_t segment_tokens;   /* imports come in whole segments */
};

/* The way chosen. */
struct plan
{
  int store;                 /* source of the import, -1 for none */
  int64_t import_end_tokens; /* leading tokens there after the import */
  int64_t import_us;         /* wait and transfer */
  int64_t compute_us;        /* for the rest of the prompt */
  int64_t first_us;          /* expected time to first token */
  int64_t score;             /* weighted sum that was least */
};

struct plan plan_best (const struct plan_in *in,
                       const struct plan_source *sources, int nsources,
                       const struct plan_weights *weights);

/* --- keep: what is worth keeping ------------------------------------- */

#define KEEP_BUCKETS 24 /* return gaps by powers of two seconds */

/* What a workspace's prompts did so far. */
struct keep
{
  int32_t uses;                  /* prompts seen, decayed */
  int32_t returns[KEEP_BUCKETS]; /* of these, returned after such a gap */
};

void keep_used (struct keep *k);
void keep_returned (struct keep *k, int64_t gap_us);
/* Chance in a million that a prompt unused for AGE returns within SPAN. */
int64_t keep_chance_ppm (const struct keep *k, int64_t age_us,
                         int64_t span_us);

/* What keeping or dropping is judged on. */
struct keep_in
{
  int64_t tokens;           /* kept */
  int64_t bytes;            /* that they take */
  int64_t prefill_tokens_s; /* to recompute them */
  int64_t link_bytes_s;     /* to bring them back */
  int64_t age_us;           /* since the last use */
  int64_t span_us;          /* how far ahead to look */
};

/* Worth for each megabyte: expected microseconds saved. */
int64_t keep_worth (const struct keep *k, const struct keep_in *in);

#endif
