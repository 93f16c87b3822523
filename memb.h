/*
 * Public header of membership: which VMs exist, as far as this one knows.
 * Pure, like decide.h.
 *
 * A VM is identified by name and incarnation, not by its address, because
 * addresses are reused by other VMs.  Updates about a VM are ordered by
 * incarnation, then by sequence number.  If both are equal, the worse state
 * wins, so that an older repeated update cannot undo leaving or death.
 */
#ifndef CQ_MEMB_H
#define CQ_MEMB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <apr_ring.h>

#define MEMB_NAME_SIZE 64

enum memb_state
{
  MEMB_ALIVE,
  MEMB_SUSPECT, /* a VM that pings it gets no answer */
  MEMB_LEAVING, /* it announced that it stops; permanent for its incarnation */
  MEMB_DEAD
};

/* An update about a VM, as gossip carries it. */
struct memb_update
{
  char name[MEMB_NAME_SIZE];    /* name of the VM */
  char domain[MEMB_NAME_SIZE];  /* its failure domain */
  char address[MEMB_NAME_SIZE]; /* where it receives messages of peers */
  uint64_t incarnation;         /* distinguishes runs of the process */
  uint32_t seq; /* sequence number; grows with each update of the VM itself */
  enum memb_state state; /* state of the VM */
  uint64_t revision;     /* revision of the settings in force there */
};

/* A VM as this one knows it. */
struct memb
{
  APR_RING_ENTRY (memb) link; /* in the list of all members */
  struct memb_update latest;  /* newest update */
  int64_t answered_us;        /* when it last answered a ping; 0: never */
  int64_t pinged_us;          /* when it was last pinged */
  int missed_pings;           /* consecutive pings without an answer */
  int64_t suspect_us;         /* since when it is suspect or dead */
  int transmits_left; /* how often the newest update is still sent on */
};

struct memb_table;

struct memb_table *memb_new (const struct memb_update *self);
void memb_free (struct memb_table *t);
int memb_count (const struct memb_table *t, enum memb_state worst);
const struct memb_update *memb_self (const struct memb_table *t);
void memb_set_address (struct memb_table *t, const char *address);
struct memb *memb_find (struct memb_table *t, const char *name);
struct memb *memb_first (struct memb_table *t);
struct memb *memb_next (struct memb_table *t, struct memb *m);

/* Changes the state and settings revision that this VM announces of itself. */
void memb_set_state (struct memb_table *t, enum memb_state state,
                     uint64_t revision);

/* Applies an update about a VM; returns true if it was news. */
bool memb_apply_update (struct memb_table *t, const struct memb_update *update,
                        int64_t now_us);

/* Record that a ping was sent, answered, or not answered in time. */
void memb_ping_sent (struct memb *m, int64_t now_us);
void memb_ping_answered (struct memb_table *t, struct memb *m, int64_t now_us);
void memb_ping_timed_out (struct memb_table *t, struct memb *m,
                          int64_t now_us);

/* Declares suspects dead that did not refute the suspicion in time, and
   forgets dead members after a while. */
void memb_tick (struct memb_table *t, int64_t now_us);

/* Chooses the members to ping: up to MAX, by rendezvous hashing in this VM's
   domain, and one in each other domain. */
int memb_neighbours (struct memb_table *t, struct memb **out, int max);

struct memb *memb_pick_dead (struct memb_table *t, unsigned turn);

/* Fills OUT with updates to send on and returns their number. */
int memb_rumors (struct memb_table *t, struct memb_update *out, int max);

/* Whether this VM is one of the N of its domain that do the job KEY. */
bool memb_is_responsible (struct memb_table *t, const char *key, int n);

const char *memb_state_name (enum memb_state state);

#endif
