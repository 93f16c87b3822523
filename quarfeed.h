/*
 * Sharing of evidence about requests that crash endpoints: each VM has a row
 * in a table on the platform that is reserved for this, and VMs send encrypted
 * datagrams to each other.
 *
 * The table keeps the evidence across restarts and reaches VMs that datagrams
 * do not reach.  Datagrams arrive within some ms, also in a failure domain
 * that is cut off from the platform.
 */
#ifndef CQ_QUARFEED_H
#define CQ_QUARFEED_H

#include "loop.h"
#include "quarwire.h"
#include "rowstore.h"

struct quarfeed_opts
{
  struct loop *loop;       /* loop of the thread that runs it */
  struct quar *quar;       /* evidence to share */
  struct rowstore_ops ops; /* access to the table */
  const char *vm;          /* this VM's name */
  /* The platform's clock in ms, 0 while it is not known. */
  int64_t (*clock_ms) (void *arg, int64_t now_us);
  /* Send a datagram to other VMs; NULL without datagrams. */
  void (*send) (void *arg, const GByteArray *datagram);
  void *arg;     /* passed to both */
  uint64_t seed; /* seed of the jitter */
};

struct quarfeed;

struct quarfeed *quarfeed_new (const struct quarfeed_opts *opts);
void quarfeed_start (struct quarfeed *f, int64_t now_us);
/* This VM added a fact of its own: share it. */
void quarfeed_changed (struct quarfeed *f, int64_t now_us);
/* The platform's store was restored from an older copy, so recent writes may
   be lost: read all rows and write this VM's row again. */
void quarfeed_store_restored (struct quarfeed *f, int64_t now_us);
/* Handle a datagram from another VM; returns false if it is not one of
   evidence. */
bool quarfeed_receive (struct quarfeed *f, const char *data, size_t len,
                       int64_t now_us);
/* Whether the table was read, or requests are to be served without it because
   the start was more than 1 s ago. */
bool quarfeed_is_ready (const struct quarfeed *f, int64_t now_us);
/* The key that all VMs share, of QUARWIRE_KEY_BYTES; NULL while it is not
   known. */
const uint8_t *quarfeed_key (const struct quarfeed *f);
/* Send no more calls and datagrams. */
void quarfeed_stop (struct quarfeed *f);
void quarfeed_free (struct quarfeed *f);
/* Number of calls to the platform without a reply yet. */
int quarfeed_pending_calls (const struct quarfeed *f);

#endif
