/*
 * Checks with the platform that this VM knows all builds that served until a
 * request arrived.
 *
 * "The only build that served" is a statement on all endpoints that any VM
 * can have sent to.  What this VM read last may be seconds old: it was cut
 * off, or suspended.  So the statement needs replies to calls that were sent
 * after the request arrived: what changed in the list of endpoints and in the
 * operators' settings since the versions known here, and the builds that VMs
 * recorded, as an entry may have come and gone between two reads.  One check
 * serves all requests that arrived before it was sent.
 */
#ifndef CQ_BUILDCHECK_H
#define CQ_BUILDCHECK_H

#include <apr_ring.h>

#include "fleet.h"
#include "follow.h"
#include "loop.h"

typedef void (*buildcheck_read) (void *arg, bool ok, int64_t now_us);

struct buildcheck_opts
{
  struct loop *loop;          /* whose thread runs it */
  struct fleet *fleet;        /* its builds are completed */
  struct follow_ops platform; /* the platform, not other VMs; its changes are
                                 used alone */
  /* Version up to which all changes of SOURCE are known, 0 if none are known
     in the store's present era. */
  int64_t (*version) (void *arg, enum follow_source source);
  /* Newest era of the store that was seen. */
  int64_t (*era) (void *arg);
  /* Read the recorded builds into the fleet; DONE is called once. */
  void (*read_builds) (void *arg, buildcheck_read done, void *done_arg);
  /* VMs that read from the platform, this one included. */
  int (*count_vms) (void *arg);
  void *arg; /* for the callbacks */
};

/* A request that waits for a check; the asker owns it. */
struct buildcheck_question
{
  APR_RING_ENTRY (buildcheck_question) link; /* of those that wait */
  /* OK: all builds that served until SINCE_US are known. */
  void (*done) (void *arg, bool ok, int64_t now_us);
  void *arg;               /* for done */
  int64_t since_us;        /* when the request arrived */
  struct loop_timer limit; /* ends the wait */
  bool waiting;            /* done will be called */
};

struct buildcheck;

struct buildcheck *buildcheck_new (const struct buildcheck_opts *opts);
/* Returns true if all builds that served until SINCE_US, local time, are
   known.  Otherwise Q is waiting, and its callback is called half a second
   later at most. */
bool buildcheck_ask (struct buildcheck *c, struct buildcheck_question *q,
                     int64_t since_us, int64_t now_us);
/* Q's callback is not called any more. */
void buildcheck_cancel (struct buildcheck *c, struct buildcheck_question *q);
/* Start no more checks. */
void buildcheck_stop (struct buildcheck *c);
/* No question may wait, and no call may be pending. */
void buildcheck_free (struct buildcheck *c);
/* Time since which all builds are known; 0 for never. */
int64_t buildcheck_known_us (const struct buildcheck *c);
/* Number of calls to the platform without a reply yet. */
int buildcheck_pending_calls (const struct buildcheck *c);

#endif
