/*
 * Which parts of prompts are kept whole in which store, and what follows for
 * a request: which parts to fetch, which to save, and where.
 *
 * Stores drop nothing by themselves and check nothing, so safety is here: a
 * part is fetched only while it is known to be whole and its weights are the
 * newest by knowledge that is fresh, and each fetch is void after a deadline
 * on the stores' own clock.  So some seconds after newer weights were named
 * nobody can be reading parts of the old ones, and they may be freed, without
 * a word between VMs.  Everything here is pure.
 */
#ifndef CQ_PARTS_H
#define CQ_PARTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include <apr_ring.h>

#include "fleet.h"

#define PARTS_MAX 16        /* parts of one prompt that are looked at */
#define PARTS_ID_SIZE 40    /* bytes of a part's id with its NUL */
#define PARTS_SCOPE_SIZE 96 /* bytes of a scope with its NUL */
#define PARTS_FREE_MAX 200  /* parts freed in one call */

/* A part of a prompt, in the prompt's order. */
struct part
{
  char id[PARTS_ID_SIZE]; /* the caller's name for its content */
  int64_t tokens;         /* its length */
};

/* A part that a store holds whole. */
struct part_held
{
  char scope[PARTS_SCOPE_SIZE]; /* weights and owner that it was made under */
  char id[PARTS_ID_SIZE];       /* its id */
  int64_t tokens;               /* kept of it */
};

/* A store as this VM knows it. */
struct parts_store
{
  APR_RING_ENTRY (parts_store) link; /* in the directory's list */
  char address[FLEET_NAME_SIZE];     /* IP:PORT */
  char domain[FLEET_NAME_SIZE];      /* failure domain it stands in */
  int64_t capacity;                  /* tokens it has room for */
  int64_t link_mbit_s;               /* of its link */
  int64_t first_us;                  /* that each transfer waits in addition */
  int64_t epoch;                     /* its life; 0: not known */
  int64_t last_epoch;                /* its last life that was known */
  int64_t born_ms;                   /* start of that life, 0 if unsaid */
  int64_t save_from_us;              /* nothing is saved before, see parts.c */
  int64_t known_us;                  /* what it holds was current then */
  int64_t next;                      /* number of its next event */
  int64_t used;                      /* tokens known or asked to be kept */
  int64_t heard_us;                  /* it answered last; 0 for never */
  int64_t clock_ms;                  /* its clock, when it said so last */
  int64_t clock_us;                  /* when that was */
  GHashTable *held;                  /* key to struct part_held */
  GHashTable *saving;                /* key to when a save was asked for */
  bool listed;                       /* still in the configuration */
  int calls_max;                     /* that it holds at once; 0 if unsaid */
  bool close;                        /* it is polled without a pause */
};

struct parts
{
  APR_RING_HEAD (parts_ring, parts_store) stores; /* all stores */
  int64_t token_bytes; /* of the largest token that engines keep */
  int64_t min_tokens;  /* prompts that share fewer are not worth a transfer */
};

/* Where each part of one request is to be fetched from and saved to; NULL for
   nowhere.  Addresses stay valid until the directory changes. */
struct parts_plan
{
  const char *fetch[PARTS_MAX]; /* by part */
  const char *save[PARTS_MAX];  /* by part */
  int nfetch;                   /* entries set in fetch */
  int nsave;                    /* entries set in save */
  int64_t fetch_tokens;         /* of these */
  int64_t until_ms;             /* fetches are void then, stores' clock */
};

void parts_init (struct parts *p);
void parts_clear (struct parts *p);

/* Take over the stores of a configuration. */
void parts_take_conf (struct parts *p, const struct fleet_conf *c);
struct parts_store *parts_find_store (struct parts *p, const char *address);

/* A store answered at NOW_US; CLOCK_MS is 0 if it said nothing of its clock.
 */
void parts_heard (struct parts_store *s, int64_t clock_ms, int64_t now_us);
/* It did not answer: it is left alone until it does. */
void parts_lost (struct parts_store *s);
/* Its clock now, at the earliest. */
int64_t parts_clock_ms (const struct parts_store *s, int64_t now_us);
/* It restarted, or its history has a gap: nothing is known of it. */
void parts_forget (struct parts_store *s, int64_t epoch, int64_t next,
                   int64_t now_us);
/* What is known of it was current at AT_US. */
void parts_known (struct parts_store *s, int64_t at_us);
void parts_added (struct parts_store *s, const struct part_held *h);
void parts_removed (struct parts_store *s, const char *scope, const char *id);

/* What is known when a request's parts are planned. */
struct parts_query
{
  const char *scope;         /* of the request */
  const struct part *list;   /* its prompt's parts; the last is its own */
  int n;                     /* entries in list */
  const char *domain;        /* of its endpoint */
  int64_t fresh_us;          /* knowledge of weights was current then */
  bool outdated;             /* newer weights than its own were named */
  int64_t named_us;          /* not before that time; 0: not known */
  int64_t wait_us;           /* it may wait for so long before it begins */
  const struct fleet *fleet; /* knows regions; NULL: stores of all do */
  struct fleet_region_limits homes; /* regions that the request may use */
};

/* Tokens of the N parts in LIST that stores hold whole. */
int64_t parts_stored (struct parts *p, const char *scope,
                      const struct part *list, int n, const char *domain,
                      int64_t now_us);

void parts_plan (struct parts *p, const struct parts_query *q, int64_t now_us,
                 struct parts_plan *plan);

/* Whether parts of weights outdated since HEARD_US may be freed. */
bool parts_may_free (int64_t outdated_us, int64_t now_us);
/* Parts in S of MODEL's weights older than VERSION; returns how many. */
int parts_outdated (const struct parts_store *s, const char *model,
                    int64_t version, const struct part_held **list, int max);

/* Name of the scope of a model's weights; OWNER NULL shares among all. */
void parts_scope (char *to, const char *model, int64_t version,
                  const char *owner);

#endif
