/*
 * Keeps the directory of stored parts current by long polls for each store's
 * events, and frees parts of outdated weights.
 */
#ifndef CQ_PARTFEED_H
#define CQ_PARTFEED_H

#include "loop.h"
#include "parts.h"

/* An event of a store, or an entry of its list. */
struct partfeed_event
{
  bool stored;             /* now stored complete; otherwise removed */
  struct part_stored part; /* the part */
};

enum partfeed_status
{
  PARTFEED_OK,           /* the other fields of the reply are valid */
  PARTFEED_RATE_LIMITED, /* the store is alive, but accepts no more calls now
                          */
  PARTFEED_NO_REPLY      /* no reply, or one that cannot be parsed */
};

struct partfeed_reply
{
  enum partfeed_status status; /* outcome of the call */
  bool events_lost; /* events before the first one below were lost */
  int64_t epoch;    /* the store's incarnation */
  int64_t
      started_ms; /* start of that incarnation, Unix time; 0 if not given */
  int64_t next_event; /* number after the last event */
  int64_t clock_ms;   /* the store's clock, 0 if not given */
  GArray *events;     /* struct partfeed_event */
};

typedef void (*partfeed_done) (void *arg, const struct partfeed_reply *reply);

/* The stores, as an adapter offers them.  DONE is always called exactly
   once. */
struct partfeed_ops
{
  /* Long poll: events from number SINCE on, with a wait of up to WAIT_US. */
  void (*events) (void *ctx, const char *address, int64_t since,
                  int64_t wait_us, partfeed_done done, void *arg);
  /* Read all that is stored. */
  void (*list) (void *ctx, const char *address, partfeed_done done, void *arg);
  /* Free parts if the store's incarnation is EPOCH and its clock is before
     UNTIL_MS. */
  void (*free) (void *ctx, const char *address, int64_t epoch,
                int64_t until_ms, const struct part_stored **list, int n,
                void (*done) (void *arg, bool freed), void *arg);
  void *ctx; /* passed to all */
};

struct partfeed_opts
{
  struct loop *loop;       /* whose thread runs it */
  struct parts *parts;     /* directory to keep current */
  struct partfeed_ops ops; /* adapter */
  /* Whether this VM is among the first PLACES of all VMs by rendezvous hashing
     for KEY; NULL if there are no other VMs. */
  bool (*ranks_within) (void *arg, uint64_t key, int places);
  /* Whether the other VMs are known, so that ranks_within can be relied on;
     NULL if they always are. */
  bool (*is_rank_known) (void *arg);
  void *arg;     /* passed to both */
  uint64_t seed; /* for randomized pauses */
};

struct partfeed;

struct partfeed *partfeed_new (const struct partfeed_opts *opts);
/* The configuration changed: follow its stores. */
void partfeed_take_conf (struct partfeed *f, const struct fleet_conf *c);
/* Poll all stores, also those that this VM ranks too low for: a VM that frees
   outdated parts has to know them all. */
void partfeed_follow_all (struct partfeed *f, bool all, int64_t now_us);
/* How many VMs may poll a store that accepts CALLS_MAX concurrent calls, 0 if
   unknown: without pauses, and in all. */
int partfeed_max_continuous (int calls_max);
int partfeed_max_followers (int calls_max);
/* Free the parts of outdated weights that nobody can be reading at NOW_US. */
void partfeed_free_outdated (struct partfeed *f, const struct fleet *fleet,
                             int64_t now_us);
void partfeed_stop (struct partfeed *f);
void partfeed_free (struct partfeed *f);
/* Calls in progress. */
int partfeed_pending_calls (const struct partfeed *f);

#endif
