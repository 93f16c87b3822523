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

enum follow_item_kind
{
  FOLLOW_ITEM_CONF,             /* a configuration */
  FOLLOW_ITEM_WEIGHTS,          /* a weight version was named */
  FOLLOW_ITEM_ENDPOINT,         /* an endpoint is listed */
  FOLLOW_ITEM_ENDPOINT_REMOVED, /* an endpoint's entry was removed */
  FOLLOW_ITEM_EVACUATION,       /* the operator evacuates a failure domain */
  FOLLOW_ITEM_EVACUATION_END,   /* and took that back */
  FOLLOW_ITEM_INVALID /* a row of the operator's or an endpoint's says nothing
                  that can be used */
};

/* One thing the platform says. */
struct follow_item
{
  enum follow_item_kind kind;   /* which of the fields below count */
  int64_t row;                  /* change that brought it; grows */
  struct fleet_conf *conf;      /* taken over by the receiver */
  char model[FLEET_NAME_SIZE];  /* whose weights */
  int64_t version;              /* of these weights */
  struct fleet_listing listing; /* endpoint; only its id if it was removed or
                                   spoiled; "" if the row is none */
  char domain[FLEET_NAME_SIZE]; /* evacuated, or no longer */
  const char *error;            /* what is wrong with a spoiled row */
};

enum follow_status
{
  FOLLOW_OK,
  FOLLOW_HISTORY_LOST, /* changes since then are not to be had: read all */
  FOLLOW_REFUSED,      /* over a rate, or turned away */
  FOLLOW_NO_REPLY,     /* no byte of an answer */
  FOLLOW_STALLED,      /* part of one, and then no byte for too long */
  FOLLOW_INCOMPLETE, /* part of one, that ended or took too long as a whole */
  FOLLOW_TOO_LARGE,  /* an answer over the limit of size */
  FOLLOW_MALFORMED   /* a whole one that says nothing that is known */
};

struct follow_reply
{
  enum follow_status status; /* whether the rest counts */
  int64_t era;         /* of the platform's store, 0 if unsaid; grows each time
                          it comes back from an older copy */
  int64_t version;     /* to ask for changes after, in that era */
  int64_t store_ms;    /* the platform's clock at that moment, 0 if unsaid */
  int64_t bytes;       /* of the answer, also of one that did not end */
  int64_t received_us; /* when it, or its first page, had arrived */
  GArray *items;       /* struct follow_item */
};

typedef void (*follow_done) (void *arg, const struct follow_reply *news);

/* Limits of a call, or of each page of its answer. */
struct follow_limits
{
  int64_t first_byte_us; /* until the first byte of the answer */
  int64_t stall_us;      /* without a further byte */
  int64_t total_us;      /* for all of it */
  size_t bytes_max;      /* taken of an answer */
  int pieces_per_turn;   /* of it (routes, rows) that are read in one turn */
};

/* The platform, as an adapter offers it; DONE is always called, once. */
struct follow_ops
{
  /* All there is now. */
  void (*read) (void *ctx, enum follow_source source,
                const struct follow_limits *limits, follow_done done,
                void *arg);
  /* Changes after VERSION, waited for up to WAIT_US. */
  void (*changes) (void *ctx, enum follow_source source, int64_t version,
                   int64_t wait_us, const struct follow_limits *limits,
                   follow_done done, void *arg);
  void *ctx; /* passed to both */
};

struct follow_opts
{
  struct loop *loop;     /* whose thread runs it */
  struct fleet *fleet;   /* beliefs to keep current */
  struct follow_ops ops; /* adapter */
  uint64_t seed;         /* of pauses */
  /* Knowledge of the operators' settings stays younger than this in calm. */
  int64_t max_age_us;
  /* Something changed in what was followed; may be NULL. */
  void (*on_change) (void *arg, int64_t now_us);
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
int64_t follow_poll_wait_us (int64_t current_us, int64_t age_us);
/* The platform's clock, not behind it; 0 while no answer told it. */
int64_t follow_clock_ms (const struct follow *f, int64_t now_us);
/* Era of the platform's store, the newest seen; 0 if it says none. */
int64_t follow_era (const struct follow *f);
/* Calls under way. */
int follow_waiting (const struct follow *f);

#endif
