/*
 * Keeping the directory of stored parts current, by each store's events, and
 * freeing parts of weights that are outdated.
 */
#ifndef CQ_PARTFEED_H
#define CQ_PARTFEED_H

#include "loop.h"
#include "parts.h"

/* One thing a store says. */
struct partfeed_event
{
  bool stored;             /* whole now; else gone */
  struct part_stored part; /* which */
};

enum partfeed_status
{
  PARTFEED_OK,           /* the rest of the news counts */
  PARTFEED_RATE_LIMITED, /* the store lives, and takes no more calls just now
                          */
  PARTFEED_NO_REPLY      /* no answer, or none that can be read */
};

struct partfeed_reply
{
  enum partfeed_status status; /* whether the rest counts */
  bool events_lost;            /* events are missing before the first below */
  int64_t epoch;               /* its life */
  int64_t born_ms;             /* start of that life, Unix time; 0 if unsaid */
  int64_t next_event;          /* number after the last event */
  int64_t clock_ms;            /* its clock, 0 if unsaid */
  GArray *events;              /* struct partfeed_event */
};

typedef void (*partfeed_done) (void *arg, const struct partfeed_reply *news);

/* Stores, as an adapter offers them; done is always called, once. */
struct partfeed_ops
{
  /* Events from number SINCE on, waited for up to WAIT_US. */
  void (*events) (void *ctx, const char *address, int64_t since,
                  int64_t wait_us, partfeed_done done, void *arg);
  /* All that is kept. */
  void (*list) (void *ctx, const char *address, partfeed_done done, void *arg);
  /* Free parts, if the store's life is EPOCH and its clock before UNTIL_MS. */
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
  /* Whether this VM is among the PLACES that come first, of all VMs, for what
     has digest KEY; NULL if there are no others. */
  bool (*ranks_within) (void *arg, uint64_t key, int places);
  void *arg;     /* passed to it */
  uint64_t seed; /* of pauses */
};

struct partfeed;

struct partfeed *partfeed_new (const struct partfeed_opts *opts);
/* The configuration changed: follow the stores that it names. */
void partfeed_take_conf (struct partfeed *f, const struct fleet_conf *c);
/* Free what is outdated, as far as that is safe at NOW_US. */
void partfeed_free_outdated (struct partfeed *f, const struct fleet *fleet,
                             int64_t now_us);
void partfeed_stop (struct partfeed *f);
void partfeed_free (struct partfeed *f);
/* Calls under way. */
int partfeed_waiting (const struct partfeed *f);

#endif
