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
  NEWS_CONF,     /* a configuration */
  NEWS_WANTED,   /* a weight version was named */
  NEWS_ENDPOINT, /* an endpoint is listed */
  NEWS_REMOVED   /* an endpoint's entry was removed */
};

/* One thing the platform says. */
struct news_item
{
  enum news_kind kind;          /* which of the fields below count */
  int64_t row;                  /* change that brought it; grows */
  struct fleet_conf *conf;      /* taken over by the receiver */
  char model[FLEET_NAME_SIZE];  /* whose weights */
  int64_t version;              /* of these weights */
  struct fleet_listing listing; /* endpoint; only its id if removed */
};

enum news_code
{
  NEWS_OK,
  NEWS_HISTORY_LOST, /* changes since then are not to be had: read all */
  NEWS_REFUSED,      /* over a rate, or turned away */
  NEWS_SILENT        /* no answer, or none that can be read */
};

struct news
{
  enum news_code code; /* whether the rest counts */
  int64_t version;     /* to ask for changes after */
  int64_t store_ms;    /* the platform's clock at that moment, 0 if unsaid */
  int64_t bytes;       /* of the answer, also of one that did not end */
  GArray *items;       /* struct news_item */
};

typedef void (*news_done) (void *arg, const struct news *news);

/* The platform, as an adapter offers it; DONE is always called, once. */
struct follow_ops
{
  /* All there is now. */
  void (*read) (void *ctx, enum follow_source source, int64_t timeout_us,
                news_done done, void *arg);
  /* Changes after VERSION, waited for up to WAIT_US. */
  void (*changes) (void *ctx, enum follow_source source, int64_t version,
                   int64_t wait_us, int64_t timeout_us, news_done done,
                   void *arg);
  void *ctx; /* passed to both */
};

struct follow_opts
{
  struct loop *loop;     /* whose thread runs it */
  struct fleet *fleet;   /* beliefs to keep current */
  struct follow_ops ops; /* adapter */
  uint64_t seed;         /* of pauses */
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
/* Calls under way. */
int follow_waiting (const struct follow *f);

#endif
