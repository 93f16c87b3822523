/*
 * Keeping the directory of stored parts current, by each store's events, and
 * freeing parts of weights that are outdated.
 */
#ifndef CQ_PARTFEED_H
#define CQ_PARTFEED_H

#include "loop.h"
#include "parts.h"

/* One thing a store says. */
struct part_event
{
  bool added;            /* whole now; else gone */
  struct part_held part; /* which */
};

enum part_code
{
  PARTS_ANSWERED, /* the rest of the news counts */
  PARTS_CROWDED,  /* the store lives, and takes no more calls just now */
  PARTS_SILENT    /* no answer, or none that can be read */
};

struct part_news
{
  enum part_code code; /* whether the rest counts */
  bool lost;           /* events are missing before the first below */
  int64_t epoch;       /* its life */
  int64_t born_ms;     /* start of that life, Unix time; 0 if unsaid */
  int64_t next;        /* number after the last event */
  int64_t clock_ms;    /* its clock, 0 if unsaid */
  GArray *events;      /* struct part_event */
};

typedef void (*part_news_done) (void *arg, const struct part_news *news);

/* Stores, as an adapter offers them; done is always called, once. */
struct partfeed_ops
{
  /* Events from number SINCE on, waited for up to WAIT_US. */
  void (*events) (void *ctx, const char *address, int64_t since,
                  int64_t wait_us, part_news_done done, void *arg);
  /* All that is kept. */
  void (*list) (void *ctx, const char *address, part_news_done done,
                void *arg);
  /* Free parts, if the store's life is EPOCH and its clock before UNTIL_MS. */
  void (*free) (void *ctx, const char *address, int64_t epoch,
                int64_t until_ms, const struct part_held **list, int n,
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
  bool (*is_among) (void *arg, uint64_t key, int places);
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
