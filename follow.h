/*
 * Following what the platform says: the operators' configuration and weight
 * versions, and the list of endpoints, each by long polls for changes.
 */
#ifndef CQ_FOLLOW_H
#define CQ_FOLLOW_H

#include "fleet.h"
#include "loop.h"

/* What there is to follow. */
enum follow_source
{
  FOLLOW_OPERATOR,  /* configuration and weight versions */
  FOLLOW_ENDPOINTS, /* the list of endpoints */
  FOLLOW_SOURCES
};

enum news_kind
{
  NEWS_CONF,        /* a configuration */
  NEWS_WANTED,      /* a weight version was named */
  NEWS_ENDPOINT,    /* an endpoint is listed */
  NEWS_REMOVED,     /* an endpoint's entry was removed */
  NEWS_EVACUATION,  /* the operator evacuates a failure domain */
  NEWS_READMISSION, /* and took that back */
  NEWS_SPOILED /* a row of the operator's or an endpoint's says nothing that
                  can be used */
};

/* One thing the platform says. */
struct news_item
{
  enum news_kind kind;          /* which of the fields below count */
  int64_t row;                  /* change that brought it; grows */
  struct fleet_conf *conf;      /* taken over by the receiver */
  char model[FLEET_NAME_SIZE];  /* whose weights */
  int64_t version;              /* of these weights */
  struct fleet_listing listing; /* endpoint; only its id if it was removed or
                                   spoiled; "" if the row is none */
  char domain[FLEET_NAME_SIZE]; /* evacuated, or no longer */
  const char *flaw;             /* what is wrong with a spoiled row */
};

enum news_code
{
  NEWS_OK,
  NEWS_HISTORY_LOST, /* changes since then are not to be had: read all */
  NEWS_REFUSED,      /* over a rate, or turned away */
  NEWS_SILENT,       /* no byte of an answer */
  NEWS_STALLED,      /* part of one, and then no byte for too long */
  NEWS_BROKEN,       /* part of one, that ended or took too long as a whole */
  NEWS_TOO_LARGE,    /* an answer over the limit of size */
  NEWS_UNREADABLE    /* a whole one that says nothing that is known */
};

struct news
{
  enum news_code code; /* whether the rest counts */
  int64_t era;         /* of the platform's store, 0 if unsaid; grows each time
                          it comes back from an older copy */
  int64_t version;     /* to ask for changes after, in that era */
  int64_t store_ms;    /* the platform's clock at that moment, 0 if unsaid */
  int64_t bytes;       /* of the answer, also of one that did not end */
  int64_t came_us;     /* when it, or its first page, had arrived */
  GArray *items;       /* struct news_item */
};

typedef void (*news_done) (void *arg, const struct news *news);

/* Limits of a call, or of each page of its answer. */
struct follow_limits
{
  int64_t first_us; /* until the first byte of the answer */
  int64_t stall_us; /* without a further byte */
  int64_t whole_us; /* for all of it */
  size_t bytes_max; /* taken of an answer */
  int step_pieces;  /* of it (routes, rows) that are read in one turn */
};

/* The platform, as an adapter offers it; DONE is always called, once. */
struct follow_ops
{
  /* All there is now. */
  void (*read) (void *ctx, enum follow_source source,
                const struct follow_limits *limits, news_done done, void *arg);
  /* Changes after VERSION, waited for up to WAIT_US. */
  void (*changes) (void *ctx, enum follow_source source, int64_t version,
                   int64_t wait_us, const struct follow_limits *limits,
                   news_done done, void *arg);
  void *ctx; /* passed to both */
};

struct follow_opts
{
  struct loop *loop;     /* whose thread runs it */
  struct fleet *fleet;   /* beliefs to keep current */
  struct follow_ops ops; /* adapter */
  uint64_t seed;         /* of pauses */
  /* Knowledge of the operators' settings stays younger than this in calm. */
  int64_t current_us;
  /* Something changed in what was followed; may be NULL. */
  void (*changed) (void *arg, int64_t now_us);
  void *arg; /* passed to changed */
};

struct follow;

struct follow *follow_new (const struct follow_opts *opts);
void follow_start (struct follow *f);
/* Ask nothing more; answers under way are dropped. */
void follow_stop (struct follow *f);
void follow_free (struct follow *f);
/* How long a poll for the operators' changes may wait, by the age that their
   knowledge has as it is sent and is to stay below. */
int64_t follow_wait_us (int64_t current_us, int64_t age_us);
/* The platform's clock, not behind it; 0 while no answer told it. */
int64_t follow_clock_ms (const struct follow *f, int64_t now_us);
/* Era of the platform's store, the newest seen; 0 if it says none. */
int64_t follow_era (const struct follow *f);
/* Calls under way. */
int follow_waiting (const struct follow *f);

#endif
