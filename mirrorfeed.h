/*
 * Reads the platform's list of endpoints, the list of VMs and the operators'
 * rows from other VMs where there are many, those of its failure domain if
 * they are enough.
 *
 * It stands between the followers and the platform's adapter and offers the
 * interface of the latter.  A client asks a reader, then the next one, then
 * the platform.  A reply carries the age of what it says at the VM that sent
 * it; the receiver adds the whole time since it asked, so an age can only be
 * overestimated, also if either VM was suspended in between.
 */
#ifndef CQ_MIRRORFEED_H
#define CQ_MIRRORFEED_H

#include "follow.h"
#include "loadgossip.h"
#include "loop.h"
#include "mirrorpick.h"
#include "mirrorserve.h"

enum mirror_ask_status
{
  MIRROR_ASKED, /* the reply is DATA */
  MIRROR_BUSY,  /* the VM sends too many large replies now */
  MIRROR_FAILED /* no reply */
};

/* Gets the reply of another VM. */
typedef void (*mirror_asked) (void *arg, enum mirror_ask_status status,
                              const uint8_t *data, size_t len);

/* Transport of requests to other VMs, as an adapter offers it.  DONE is called
   exactly once, and not from within the call. */
struct mirror_ops
{
  void (*ask) (void *ctx, const char *address, const GByteArray *request,
               size_t reply_max_bytes, mirror_asked done, void *arg);
  void *ctx; /* passed to ask */
};

struct mirrorfeed_opts
{
  struct loop *loop;               /* whose thread runs it */
  struct follow_ops direct;        /* the platform */
  struct roster_ops direct_roster; /* the platform */
  struct mirror_ops ops;           /* other VMs */
  const char *vm;                  /* this VM's name */
  int link_mbit_s;                 /* bandwidth of its link, 0 if unknown */
  int min_vms;      /* VMs of the failure domain from which on they share */
  int64_t drain_ms; /* how long a draining endpoint still accepts requests */
  /* Append the other VMs to PEERS, as struct mirror_peer, with NEAR only those
     of this VM's failure domain; false while the roster is not known. */
  bool (*list_peers) (void *arg, bool near, GArray *peers);
  struct mirrorserve *serve; /* what this VM knows; must outlive it */
  /* The key of the seals, or NULL while it is not known. */
  const uint8_t *(*seal_key) (void *arg);
  void *arg;     /* passed to the callbacks above */
  uint64_t seed; /* for random choices */
};

struct mirrorfeed;

struct mirrorfeed *mirrorfeed_new (const struct mirrorfeed_opts *opts);
void mirrorfeed_follow_ops (struct mirrorfeed *m, struct follow_ops *ops);
void mirrorfeed_roster_ops (struct mirrorfeed *m, struct roster_ops *ops);
/* For follow_opts; M is the argument. */
bool mirrorfeed_is_reader (void *m, int64_t now_us);
bool mirrorfeed_is_client (void *m, int64_t now_us);
/* Age past which a client does not use a list where endpoints drain for
   DRAIN_MS. */
int64_t mirrorfeed_max_age_us (int64_t drain_ms);

/* Start no more calls. */
void mirrorfeed_stop (struct mirrorfeed *m);
void mirrorfeed_free (struct mirrorfeed *m);

#endif
