/*
 * Telling other VMs what this one has under way at endpoints, and hearing
 * them: datagrams, with a list of VMs that stands on the platform.
 */
#ifndef CQ_LOADGOSSIP_H
#define CQ_LOADGOSSIP_H

#include "fleet.h"
#include "load.h"
#include "loop.h"

/* A VM as it is listed. */
struct roster_row
{
  char vm[LOAD_VM_SIZE];         /* its name */
  char domain[LOAD_VM_SIZE];     /* its failure domain */
  char address[FLEET_NAME_SIZE]; /* IP:PORT where it hears others */
  int64_t version; /* of the row; grows each time that VM writes it */
};

/* The rows were read, or LIST is NULL: no answer, or none that can be read. */
typedef void (*roster_done) (void *arg, const GArray *list);

/* The platform's list of VMs, as an adapter offers it; DONE is called once. */
struct roster_ops
{
  void (*write) (void *ctx, const struct roster_row *self,
                 void (*done) (void *arg, bool written), void *arg);
  void (*read) (void *ctx, roster_done done, void *arg);
  /* Remove the row of VM if its version is still VERSION; nobody waits. */
  void (*remove) (void *ctx, const char *vm, int64_t version);
  void *ctx; /* passed to all */
};

/* How long a VM has not written its row, counted in reads of the list. */
struct roster_age
{
  int64_t version; /* as read last */
  int unchanged;   /* reads in a row that showed it */
};

/* A read showed the row at VERSION.  STEADY: VMs have had the time to write it
   again since the read before.  Pure, as are the next two. */
void roster_note_version (struct roster_age *a, int64_t version, bool steady);
/* Whether the VM has a share in duties. */
bool roster_is_active (const struct roster_age *a);
/* Whether its row is to be removed. */
bool roster_is_expired (const struct roster_age *a);

struct loadgossip_opts
{
  struct loop *loop; /* whose thread runs it */
  /* Fill in what this VM's requests have under way: entries of WORD. */
  void (*collect_load) (void *ctx, struct load_gossip *word);
  void *ctx;                     /* passed to it */
  struct load_table *load_table; /* takes what others say */
  /* Take a datagram of another kind; false if it is none.  May be NULL. */
  bool (*on_other_datagram) (void *ctx, const char *data, size_t len,
                             int64_t now_us);
  void *on_other_ctx;    /* passed to it */
  struct roster_ops ops; /* adapter */
  const char *vm;        /* this VM's name */
  const char *domain;    /* its failure domain */
  const char *listen;    /* IP:PORT; port 0 lets the kernel choose */
  uint64_t seed;         /* of pauses */
};

struct loadgossip;

/* NULL if the address cannot be had. */
struct loadgossip *loadgossip_new (const struct loadgossip_opts *opts);
/* This VM's work at an endpoint changed: the others hear within some ms. */
void loadgossip_load_changed (struct loadgossip *t, int64_t now_us);
/* The platform's store came back from an older copy, which may lack this VM's
   row. */
void loadgossip_store_restored (struct loadgossip *t, int64_t now_us);
/* Send a datagram of another kind to the VMs that are told. */
void loadgossip_send (struct loadgossip *t, const GByteArray *datagram);
/* Tell and ask nothing more. */
void loadgossip_stop (struct loadgossip *t);
void loadgossip_free (struct loadgossip *t);
/* This VM's part of the RATE of requests that the cold endpoint with key
   ENDPOINT bears from all VMs, by the list of VMs on the platform; 0 as long
   as this VM has not seen itself there. */
int loadgossip_cold_share (const struct loadgossip *t, uint64_t endpoint,
                           int rate);
/* Time between this VM's requests to the endpoint with key ENDPOINT, which
   takes MILLI in 1000 s from all VMs, by the same list and CLOCK_MS, the
   platform's clock; 0 if this VM has no part now. */
int64_t loadgossip_limit_interval (const struct loadgossip *t,
                                   uint64_t endpoint, int64_t milli,
                                   int64_t clock_ms);
/* Whether this VM is among the PLACES that come first, of those that the
   platform lists, for what has digest KEY; true while it knows no list. */
bool loadgossip_ranks_within (const struct loadgossip *t, uint64_t key,
                              int places);
/* Whether this VM comes first, of those that the platform lists, for what has
   digest KEY. */
bool loadgossip_ranks_first (const struct loadgossip *t, uint64_t key);
/* Calls to the platform under way. */
int loadgossip_waiting (const struct loadgossip *t);

/* A word as it is sent, and read; pure.  FALSE if the bytes are none. */
GByteArray *loadgossip_encode (const struct load_gossip *w);
bool loadgossip_decode (const char *data, size_t len, struct load_gossip *w);

#endif
