/*
 * The builds that served lately, kept in a table of the platform.
 *
 * A stream that is not known to any VM may go on only if no other build can
 * have begun it.  After all VMs were killed, none of them has seen which
 * builds served before.  So VMs record each build there when they first list
 * an endpoint of it, and when the last one has left, and a VM reads the table
 * after its start, and whenever it must be sure (buildcheck.h).  A build is a
 * row, so VMs that write the same do not conflict.
 */
#ifndef CQ_BUILDFEED_H
#define CQ_BUILDFEED_H

#include "fleet.h"
#include "loop.h"
#include "rowstore.h"

struct buildfeed_opts
{
  struct loop *loop;       /* loop of the thread that runs it */
  struct fleet *fleet;     /* its builds are recorded */
  struct rowstore_ops ops; /* access to the table */
  /* The platform's clock in ms, 0 while it is not known. */
  int64_t (*clock_ms) (void *arg, int64_t now_us);
  /* Whether this VM reads the list of endpoints from the platform, so that it
     records changes. */
  bool (*may_write) (void *arg, int64_t now_us);
  void *arg;     /* passed to both */
  uint64_t seed; /* seed of the jitter */
};

struct buildfeed;

/* Until the table was read, fleet_only_build returns 0. */
struct buildfeed *buildfeed_new (const struct buildfeed_opts *opts);
/* Reads the table again; DONE is called once, OK if it was read. */
void buildfeed_read (struct buildfeed *f,
                     void (*done) (void *arg, bool ok, int64_t now_us),
                     void *arg);
/* The list of endpoints may have changed, or time has passed. */
void buildfeed_check (struct buildfeed *f, int64_t now_us);
/* The platform's store was restored from an older copy, so recent writes may
   be lost. */
void buildfeed_store_restored (struct buildfeed *f, int64_t now_us);
void buildfeed_stop (struct buildfeed *f);
/* No call may be pending. */
void buildfeed_free (struct buildfeed *f);
/* Number of calls to the platform without a reply yet. */
int buildfeed_pending_calls (const struct buildfeed *f);

/* Encodes a row; LEFT_MS is 0 while the build serves.  The caller frees the
   result. */
GByteArray *buildfeed_encode (const struct fleet_build *b, int64_t left_ms);
/* Decodes a row into B and LEFT_MS, or returns false. */
bool buildfeed_decode (const uint8_t *data, size_t len, struct fleet_build *b,
                       int64_t *left_ms);

#endif
