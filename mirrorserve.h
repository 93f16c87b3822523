/*
 * Answers requests of other VMs for the platform's lists, from a copy of each
 * table that it keeps and from the roster.
 */
#ifndef CQ_MIRRORSERVE_H
#define CQ_MIRRORSERVE_H

#include "follow.h"
#include "mirrorwire.h"

struct mirrorserve_opts
{
  /* Append the roster to ROWS, as struct roster_row, with this VM's row, and
     return when it was current; 0 if it is not known. */
  int64_t (*list_roster) (void *arg, GArray *rows);
  /* The key of the seals, or NULL while it is not known. */
  const uint8_t *(*seal_key) (void *arg);
  void *arg; /* passed to both */
};

struct mirrorserve;

/* A reply to another VM. */
struct mirror_answer
{
  GByteArray *head; /* sealed; the caller frees it */
  GBytes *rows;     /* what follows it; the caller releases it */
};

struct mirrorserve *mirrorserve_new (const struct mirrorserve_opts *opts);
/* The state of F says how recent the copies are. */
void mirrorserve_attach (struct mirrorserve *m, const struct follow *f);
/* REPLY was applied; if FULL, it held all rows of SOURCE. */
void mirrorserve_observe (struct mirrorserve *m, enum follow_source source,
                          bool full, const struct follow_reply *reply);
/* Version up to which all changes of SOURCE are in the copy, and its era. */
int64_t mirrorserve_version (const struct mirrorserve *m,
                             enum follow_source source);
int64_t mirrorserve_era (const struct mirrorserve *m);
/* Whether the copy of SOURCE is complete. */
bool mirrorserve_is_complete (const struct mirrorserve *m,
                              enum follow_source source);
/* Answers a request; returns false if DATA is not a valid one. */
bool mirrorserve_answer (struct mirrorserve *m, const uint8_t *data,
                         size_t len, int64_t now_us,
                         struct mirror_answer *answer);
void mirrorserve_free (struct mirrorserve *m);

#endif
