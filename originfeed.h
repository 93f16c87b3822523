/*
 * Where streams began, shared among VMs: a VM tells a few others, chosen by
 * rendezvous hashing of the stream, and one that does not know asks them.
 */
#ifndef CQ_ORIGINFEED_H
#define CQ_ORIGINFEED_H

#include <apr_ring.h>
#include <glib.h>

#include "loop.h"
#include "originstore.h"
#include "originwire.h"

/* VMs that are told of a stream.  Any of them may be killed meanwhile. */
#define ORIGINFEED_COPIES 8

struct originfeed_opts
{
  struct loop *loop; /* whose thread runs it */
  const char *vm;    /* this VM's name */
  /* Key that seals messages, NULL while it is not known; then none are sent or
     accepted. */
  const uint8_t *(*seal_key) (void *arg);
  /* The platform's clock in ms, 0 while it is not known. */
  int64_t (*clock_ms) (void *arg, int64_t now_us);
  /* Send a datagram to the first PLACES other VMs by rendezvous hashing for
     STREAM; returns their number. */
  int (*send) (void *arg, uint64_t stream, int places,
               const GByteArray *datagram);
  /* Send a datagram to the sender of the one that is being received. */
  void (*reply) (void *arg, const GByteArray *datagram);
  void *arg; /* for the callbacks */
  /* Where streams are recorded that must be known after all VMs were killed;
     or NULL. */
  struct originstore *store;
};

/* What became of a question. */
enum originfeed_found
{
  ORIGINFEED_FOUND,     /* the build is known */
  ORIGINFEED_CONFLICT,  /* the stream was recorded with several builds */
  ORIGINFEED_DENIED,    /* all VMs that may know it do not, nor does the
                           store */
  ORIGINFEED_NO_ANSWER, /* some of them did not answer */
};

/* A question that waits for other VMs; the asker owns it. */
struct originfeed_question
{
  APR_RING_ENTRY (originfeed_question) link; /* of the same stream */
  /* BUILD is 0 unless it was found. */
  void (*done) (void *arg, uint64_t build, enum originfeed_found found,
                int64_t now_us);
  void *arg;    /* for done */
  bool waiting; /* done will be called */
};

struct originfeed;

struct originfeed *originfeed_new (const struct originfeed_opts *opts);
/* No question may wait. */
void originfeed_free (struct originfeed *f);
/* The stream KEY begins now at BUILD.  KEEP_US: how long its caller may take
   it up again.  RECORD: it is to be known after all VMs were killed. */
void originfeed_began (struct originfeed *f, const struct origin_key *key,
                       uint64_t build, bool record, int64_t keep_us,
                       int64_t now_us);
/* Returns the build of the stream KEY if this VM knows it.  Otherwise returns
   0 and asks other VMs and the store: if Q is waiting then, its callback is
   called half a second later at most. */
uint64_t originfeed_find (struct originfeed *f, const struct origin_key *key,
                          struct originfeed_question *q, int64_t now_us);
/* Q's callback is not called any more. */
void originfeed_cancel (struct originfeed *f, struct originfeed_question *q);
/* Handle a datagram of another VM; false if it is of another kind. */
bool originfeed_receive (struct originfeed *f, const char *data, size_t len,
                         int64_t now_us);
/* Streams that this VM knows. */
unsigned originfeed_count (const struct originfeed *f);

#endif
