/*
 * Directory of the prompt parts whose KV cache is stored complete, by store,
 * and the plan of a request that follows from it: which parts to fetch, which
 * to save, and where.
 *
 * Stores evict nothing by themselves and check nothing, so this module ensures
 * safety.  A part is fetched only while it is known to be complete and while
 * recent information says that its weights are the newest, and each fetch
 * expires at a deadline on the store's own clock.  So some seconds after newer
 * weights were named nobody can still be reading parts of the old ones, and
 * they may be freed without any coordination between VMs.  Everything here is
 * pure.
 */
#ifndef CQ_PARTS_H
#define CQ_PARTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include <apr_ring.h>

#include "fleet.h"

#define PARTS_MAX 16         /* parts of one prompt that are considered */
#define PARTS_ID_SIZE 40     /* size of a part's id, including its NUL */
#define PARTS_SCOPE_SIZE 120 /* size of a scope's name, including its NUL */
#define PARTS_FREE_MAX 200   /* parts freed in one call */
/* A part is fetched only if the store's contents were synchronized at most
   this long ago. */
#define PARTS_FETCH_SYNC_AGE_US INT64_C (5000000)

/* A part of a prompt; arrays of parts are in the prompt's order. */
struct part
{
  char id[PARTS_ID_SIZE]; /* caller's identifier of its content */
  int64_t tokens;         /* its length in tokens */
};

/* A part that a store holds complete. */
struct part_stored
{
  char scope[PARTS_SCOPE_SIZE]; /* weights and owner it was computed for */
  char id[PARTS_ID_SIZE];       /* its id */
  int64_t tokens;               /* stored tokens of it */
};

/* A store as this VM knows it. */
struct parts_store
{
  APR_RING_ENTRY (parts_store) link; /* in the directory's list */
  char address[FLEET_NAME_SIZE];     /* IP:PORT */
  char domain[FLEET_NAME_SIZE];      /* its failure domain */
  int64_t capacity_tokens;           /* its capacity */
  int64_t link_mbit_s;               /* bandwidth of its link */
  int64_t transfer_latency_us;       /* added latency of each transfer */
  int64_t epoch;                     /* its incarnation; 0: not known */
  int64_t last_epoch;                /* the last incarnation that was known */
  int64_t started_ms; /* start of the incarnation, Unix time; 0 if not given */
  int64_t no_save_until_us; /* nothing is saved before; see SETTLE_US */
  int64_t synced_us;        /* stored was current at that time */
  int64_t next_event;       /* number of its next event */
  int64_t used_tokens;      /* tokens known to be stored */
  int64_t replied_us; /* time of its last reply; 0 if never or unreachable */
  int64_t clock_ms;   /* its clock, by the last reply that gave it */
  int64_t clock_us;   /* when that reply came */
  GHashTable *stored; /* key to struct part_stored */
  GHashTable *saving; /* key to when a save was requested */
  bool configured;    /* still in the configuration */
  int calls_max;      /* concurrent calls it accepts; 0 if not given */
  bool continuous;    /* it is polled without pauses */
};

struct parts
{
  APR_RING_HEAD (parts_ring, parts_store) stores; /* all stores */
  int64_t token_bytes; /* bytes of a token's KV cache, the largest of all
                          engines */
  int64_t min_tokens; /* prompts that share fewer tokens are not transferred */
};

/* Addresses of the stores that each part of one request is fetched from and
   saved to; NULL for none.  Addresses stay valid until the directory
   changes. */
struct parts_plan
{
  const char *fetch[PARTS_MAX]; /* by part */
  const char *save[PARTS_MAX];  /* by part */
  int nfetch;                   /* entries set in fetch */
  int nsave;                    /* entries set in save */
  int64_t fetch_tokens;         /* tokens of the parts in fetch */
  int64_t fetch_deadline_ms;    /* fetches expire then, on the stores' clock */
};

void parts_init (struct parts *p);
void parts_clear (struct parts *p);

/* Apply the stores of a configuration. */
void parts_take_conf (struct parts *p, const struct fleet_conf *c);
struct parts_store *parts_find_store (struct parts *p, const char *address);

/* A store replied at NOW_US; CLOCK_MS is its clock, 0 if not given. */
void parts_store_replied (struct parts_store *s, int64_t clock_ms,
                          int64_t now_us);
/* It did not reply: it is not used until it does. */
void parts_store_unreachable (struct parts_store *s);
/* Lower bound of its clock now, in milliseconds. */
int64_t parts_store_clock_ms (const struct parts_store *s, int64_t now_us);
/* It restarted, or events were lost: discard what is known of its contents. */
void parts_store_reset (struct parts_store *s, int64_t epoch, int64_t next,
                        int64_t now_us);
/* What is known of its contents was current at AT_US. */
void parts_store_synced (struct parts_store *s, int64_t at_us);
void parts_added (struct parts_store *s, const struct part_stored *h);
void parts_removed (struct parts_store *s, const char *scope, const char *id);

/* Input of a request's plan. */
struct parts_query
{
  const char *scope;         /* of the request */
  const struct part *list;   /* its prompt's parts; the last is not shared */
  int nparts;                /* entries in list */
  const char *domain;        /* of its endpoint */
  int64_t weights_fresh_us;  /* time at which the weight versions known here
                                were current */
  bool outdated;             /* newer weights than its own have been named */
  int64_t outdated_since_us; /* newer weights were not named before; 0: not
                                known */
  int64_t wait_us;           /* how long it may wait before it begins */
  const struct fleet
      *fleet; /* knows regions; NULL: stores of all regions may be used */
  struct fleet_region_limits homes; /* regions that the request may use */
};

/* Tokens of the N parts in LIST that stores hold complete. */
int64_t parts_stored_tokens (struct parts *p, const char *scope,
                             const struct part *list, int n,
                             const char *domain, int64_t now_us);

void parts_plan (struct parts *p, const struct parts_query *q, int64_t now_us,
                 struct parts_plan *plan);

/* Whether parts of weights that this VM has known to be outdated since
   OUTDATED_US may be freed. */
bool parts_may_free (int64_t outdated_us, int64_t now_us);
/* Fill LIST with up to MAX parts in S of MODEL's weights older than VERSION,
   which stay owned by S; returns their number. */
int parts_outdated (const struct parts_store *s, const char *model,
                    int64_t version, const struct part_stored **list, int max);

/* Write the name of the scope of a model's weights to TO, of PARTS_SCOPE_SIZE
   bytes.  Requests of one GROUP share it. */
void parts_scope_name (char *to, const char *model, int64_t version,
                       const char *group);

#endif
