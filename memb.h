/*
 * Public header of membership: which VMs there are, as far as this one can
 * tell.  Pure, like decide.h.
 *
 * A VM is known by name and incarnation, not by its address: addresses come
 * back under other VMs.  What is said of a VM is ordered by incarnation, then
 * by beat; of equal age the worse word wins, so that leaving and death are not
 * talked away by an older echo.
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
  MEMB_SUSPECT, /* a neighbour gets no answer from it */
  MEMB_LEAVING, /* it said it is stopping: sticky for its incarnation */
  MEMB_DEAD
};

/* What is said of a VM. */
struct memb_update
{
  char name[MEMB_NAME_SIZE];    /* its name */
  char domain[MEMB_NAME_SIZE];  /* its failure domain */
  char address[MEMB_NAME_SIZE]; /* where it hears peers */
  uint64_t incarnation;         /* which life */
  uint32_t seq;                 /* grows with each word of its own */
  enum memb_state state;        /* how it is */
  uint64_t revision;            /* of the settings in force there */
};

/* A VM as this one knows it. */
struct memb
{
  APR_RING_ENTRY (memb) link; /* among all */
  struct memb_update latest;  /* newest word */
  int64_t answered_us;        /* when it last answered us, 0 for never */
  int64_t pinged_us;          /* when we last asked it */
  int missed_pings;           /* questions without an answer, in a row */
  int64_t suspect_us;         /* since when it is suspect */
  int transmits_left;         /* times the newest word is still passed on */
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

/* Change what this VM says of itself. */
void memb_set_state (struct memb_table *t, enum memb_state state,
                     uint64_t revision);

/* Hear a word about a VM; true if it was news. */
bool memb_apply_update (struct memb_table *t, const struct memb_update *word,
                        int64_t now_us);

/* A question was sent, answered, or not answered in time. */
void memb_ping_sent (struct memb *m, int64_t now_us);
void memb_ping_answered (struct memb_table *t, struct memb *m, int64_t now_us);
void memb_ping_timed_out (struct memb_table *t, struct memb *m,
                          int64_t now_us);

/* Suspects that did not refute it in time are dead; the dead are forgotten
   after a while. */
void memb_tick (struct memb_table *t, int64_t now_us);

/* Whom to watch: up to MAX neighbours by rendezvous in the own domain, and one
   in each other domain. */
int memb_neighbours (struct memb_table *t, struct memb **out, int max);

struct memb *memb_pick_dead (struct memb_table *t, unsigned turn);

/* Newest words to pass on. */
int memb_rumors (struct memb_table *t, struct memb_update *out, int max);

/* Whether this VM is among the N of its domain that do the job KEY. */
bool memb_is_responsible (struct memb_table *t, const char *key, int n);

const char *memb_state_name (enum memb_state state);

#endif
