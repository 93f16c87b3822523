/*
 * Evidence against requests that crash endpoints, shared with other VMs: a row
 * of each VM in a table of our own on the platform, and sealed datagrams.
 *
 * The table holds it across restarts and reaches VMs that no datagram does;
 * the datagrams are there in some ms, and in a failure domain that is cut off
 * from the platform.
 */
#ifndef CQ_QUARFEED_H
#define CQ_QUARFEED_H

#include "loop.h"
#include "quarwire.h"

/* A row of the table. */
struct quar_row
{
  char *key;         /* its name */
  int64_t version;   /* of its last change */
  GByteArray *value; /* NULL once removed */
};

enum quar_rows_status
{
  QUAR_ROWS_OK,
  QUAR_ROWS_HISTORY_EXPIRED, /* changes since then are not to be had: read all
                              */
  QUAR_ROWS_CONFLICT,        /* a row is not as the write expected */
  QUAR_ROWS_FAILED           /* refused, or no answer */
};

struct quar_rows_reply
{
  enum quar_rows_status status; /* whether the rest counts */
  int64_t version;              /* to ask for changes after */
  GArray *rows; /* struct quar_row: read, changed or in conflict */
};

typedef void (*quar_rows_done) (void *arg, const struct quar_rows_reply *rows);

#define QUAR_ANY_VERSION INT64_C (-1) /* of a row that may be as it is */

/* The table, as an adapter offers it; DONE is called once. */
struct quar_ops
{
  void (*read) (void *ctx, quar_rows_done done, void *arg);
  /* Changes after VERSION, waited for up to WAIT_US. */
  void (*changes) (void *ctx, int64_t version, int64_t wait_us,
                   quar_rows_done done, void *arg);
  /* Write VALUE, or remove the row if it is NULL, if its version is EXPECTED;
     0 if there must be none. */
  void (*write) (void *ctx, const char *key, const GByteArray *value,
                 int64_t expected, quar_rows_done done, void *arg);
  void *ctx; /* passed to all */
};

struct quarfeed_opts
{
  struct loop *loop;   /* whose thread runs it */
  struct quar *quar;   /* evidence */
  struct quar_ops ops; /* adapter */
  const char *vm;      /* this VM's name */
  /* The platform's clock, 0 if that is not known. */
  int64_t (*clock_ms) (void *arg, int64_t now_us);
  /* Send a datagram to other VMs; NULL if none are spoken to. */
  void (*send) (void *arg, const GByteArray *datagram);
  void *arg;     /* passed to both */
  uint64_t seed; /* of pauses */
};

struct quarfeed;

struct quarfeed *quarfeed_new (const struct quarfeed_opts *opts);
void quarfeed_start (struct quarfeed *f, int64_t now_us);
/* This VM saw something: tell the others. */
void quarfeed_changed (struct quarfeed *f, int64_t now_us);
/* The platform's store came back from an older copy: what was written since is
   gone. */
void quarfeed_store_restored (struct quarfeed *f, int64_t now_us);
/* A datagram from another VM; false if it is none. */
bool quarfeed_receive (struct quarfeed *f, const char *data, size_t len,
                       int64_t now_us);
/* Whether what others saw was read, or was waited for long enough. */
bool quarfeed_is_ready (const struct quarfeed *f, int64_t now_us);
/* Ask and tell nothing more. */
void quarfeed_stop (struct quarfeed *f);
void quarfeed_free (struct quarfeed *f);
/* Calls to the platform under way. */
int quarfeed_pending_calls (const struct quarfeed *f);

#endif
