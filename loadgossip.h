/*
 * Gossip of load between VMs: each VM sends the others, as UDP datagrams, the
 * work that its requests have in progress at endpoints, and receives theirs.
 * The platform stores the list of VMs (the roster).
 */
#ifndef CQ_LOADGOSSIP_H
#define CQ_LOADGOSSIP_H

#include "fleet.h"
#include "load.h"
#include "loop.h"
#include "mirrorpick.h"
#include "observe.h"

/* Row of a VM in the roster. */
struct roster_row
{
  char vm[LOAD_VM_SIZE];              /* its name */
  char domain[LOAD_VM_SIZE];          /* its failure domain */
  char address[FLEET_NAME_SIZE];      /* IP:PORT where it receives datagrams */
  char list_address[FLEET_NAME_SIZE]; /* IP:PORT where it answers requests for
                                         the platform's lists; "" if it does
                                         not */
  int link_mbit_s;                    /* bandwidth of its link; 0 if unknown */
  int64_t version; /* of the row; grows each time that VM writes it */
};

/* LIST holds struct roster_row; it is NULL if the platform did not reply or
   its reply could not be parsed. */
typedef void (*roster_done) (void *arg, const GArray *list);

/* The roster on the platform, as an adapter offers it.  DONE is called exactly
   once. */
struct roster_ops
{
  void (*write) (void *ctx, const struct roster_row *self,
                 void (*done) (void *arg, bool written), void *arg);
  void (*read) (void *ctx, roster_done done, void *arg);
  /* Remove the row of VM if its version is still VERSION; the result is not
     reported. */
  void (*remove) (void *ctx, const char *vm, int64_t version);
  void *ctx; /* passed to all */
};

/* Age of a VM's row, counted in reads of the roster. */
struct roster_age
{
  int64_t version; /* at the last read */
  int unchanged;   /* consecutive reads that returned it */
};

/* Record that a read returned the row at VERSION.  STEADY: so much time has
   passed since the previous read that a live VM has written its row again.
   Pure, as are the next two. */
void roster_note_version (struct roster_age *a, int64_t version, bool steady);
/* Whether the VM counts when work and rates are divided among VMs. */
bool roster_is_active (const struct roster_age *a);
/* Whether the row is to be removed. */
bool roster_is_expired (const struct roster_age *a);

struct loadgossip_opts
{
  struct loop *loop; /* whose thread runs it */
  /* Fill in the entries of MESSAGE: the work of this VM's requests. */
  void (*collect_load) (void *ctx, struct load_gossip *message);
  void *ctx;                     /* passed to the callback above */
  struct load_table *load_table; /* receives the load of other VMs */
  /* Observations that are sent with the load, in sealed messages.  NULL: no
     reports are exchanged, and messages are not sealed. */
  struct observe *observe;
  /* Key that seals messages, NULL while it is not known; then none are sent or
     accepted. */
  const uint8_t *(*seal_key) (void *ctx);
  /* A VM sent reports, in MESSAGE; NEAR: it is in this VM's failure domain. */
  void (*on_reports) (void *ctx, const struct load_gossip *message, bool near,
                      int64_t now_us);
  void *reports_ctx; /* passed to both callbacks above */
  /* Handle a datagram of another kind; false if it is not of that kind either.
     May be NULL. */
  bool (*on_other_datagram) (void *ctx, const char *data, size_t len,
                             int64_t now_us);
  void *on_other_ctx;       /* passed to the callback above */
  struct roster_ops ops;    /* adapter */
  const char *vm;           /* this VM's name */
  const char *domain;       /* its failure domain */
  const char *listen;       /* IP:PORT; port 0 lets the kernel choose */
  const char *list_address; /* as in this VM's row */
  int link_mbit_s;          /* as in this VM's row */
  uint64_t seed;            /* for randomized pauses */
};

struct loadgossip;

/* Returns NULL if the socket cannot be bound to the address; the caller frees
   the result by loadgossip_free. */
struct loadgossip *loadgossip_new (const struct loadgossip_opts *opts);
/* This VM's work at an endpoint changed: a message is sent within some ms. */
void loadgossip_load_changed (struct loadgossip *t, int64_t now_us);
/* An observation was added: a message is sent in time for it. */
void loadgossip_observed (struct loadgossip *t, int64_t now_us);
/* The platform's store was restored from an older copy, which may lack this
   VM's row. */
void loadgossip_store_restored (struct loadgossip *t, int64_t now_us);
/* Send a datagram of another kind to the VMs that get this VM's messages. */
void loadgossip_send (struct loadgossip *t, const GByteArray *datagram);
/* Send a datagram to the first PLACES other VMs of the roster by rendezvous
   hashing for KEY; returns their number. */
int loadgossip_send_ranked (struct loadgossip *t, uint64_t key, int places,
                            const GByteArray *datagram);
/* Within on_other_datagram: send a datagram back to the sender. */
void loadgossip_reply (struct loadgossip *t, const GByteArray *datagram);
/* Send no more messages and start no more calls. */
void loadgossip_stop (struct loadgossip *t);
void loadgossip_free (struct loadgossip *t);
/* This VM's share of RATE, the requests a second that the cold endpoint with
   key ENDPOINT accepts from all VMs.  Shares are divided among the VMs of the
   roster; 0 until this VM has read its own row there. */
int loadgossip_cold_share (const struct loadgossip *t, uint64_t endpoint,
                           int rate);
/* Interval in microseconds between this VM's requests to the endpoint with key
   ENDPOINT, which accepts MILLI requests in 1000 s from all VMs.  It is
   computed from the same roster and from CLOCK_MS, the platform's clock; 0 if
   this VM has no share now. */
int64_t loadgossip_limit_interval (const struct loadgossip *t,
                                   uint64_t endpoint, int64_t milli,
                                   int64_t clock_ms);
/* This VM's rank, from 0, for KEY by rendezvous hashing; the number of VMs of
   the roster is put into VMS, 0 until this VM has read its own row there. */
int loadgossip_rank (const struct loadgossip *t, uint64_t key, int *vms);
/* Choose one of the first PLACES other VMs of the roster for KEY by RANDOM,
   one that answers requests for lists, with NEAR one of this VM's failure
   domain; false if there is none. */
bool loadgossip_choose_ranked (const struct loadgossip *t, uint64_t key,
                               int places, bool near, uint64_t random,
                               struct mirror_peer *vm);
/* Whether this VM has read its own row in the roster. */
bool loadgossip_is_listed (const struct loadgossip *t);
/* Whether this VM is among the first PLACES VMs of the roster by rendezvous
   hashing for KEY; true until this VM has read its own row there. */
bool loadgossip_ranks_within (const struct loadgossip *t, uint64_t key,
                              int places);
/* Whether this VM is the first of the roster by rendezvous hashing for KEY;
   false until it has read its own row there. */
bool loadgossip_ranks_first (const struct loadgossip *t, uint64_t key);
/* Reads the roster if a VM sent messages that the last read lacked, since the
   addresses of its listeners are only there. */
void loadgossip_read_unlisted (struct loadgossip *t, int64_t now_us);
/* Append the other active VMs that answer requests for lists to PEERS, as
   struct mirror_peer, with NEAR only those of this VM's failure domain; false
   until this VM has read its own row in the roster. */
bool loadgossip_list_peers (const struct loadgossip *t, bool near,
                            GArray *peers);
/* Append the roster that was read last to ROWS, as struct roster_row; returns
   when it was read, 0 for never. */
int64_t loadgossip_list_roster (const struct loadgossip *t, GArray *rows);
/* Calls to the platform in progress. */
int loadgossip_pending_calls (const struct loadgossip *t);

/* Encode and decode a message; pure.  The caller frees the encoded bytes;
   decoding returns false if DATA is not a valid message. */
GByteArray *loadgossip_encode (const struct load_gossip *w);
bool loadgossip_decode (const char *data, size_t len, struct load_gossip *w);

/* Largest sealed message, so that it fits a packet of any network. */
#define LOADGOSSIP_SEALED_MAX 1400

/* Encode W with as many entries, and then reports, as fit into
   LOADGOSSIP_SEALED_MAX bytes, sealed under KEY. */
GByteArray *loadgossip_seal (const struct load_gossip *w, const uint8_t *key);
/* Number of reports that fit into W besides its entries. */
int loadgossip_report_room (const struct load_gossip *w);
/* Open and decode a sealed message; returns false, with W unchanged, if it is
   malformed or was not made under KEY. */
bool loadgossip_open (const uint8_t *data, size_t len, const uint8_t *key,
                      struct load_gossip *w);
/* Decode its plain text. */
bool loadgossip_decode_sealed (const uint8_t *plain, size_t len,
                               struct load_gossip *w);

#endif
