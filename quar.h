/*
 * Quarantine of requests that crash the endpoints that run them.
 *
 * Such a request comes again, under other ids and at any VM, and each time
 * takes an endpoint and all that runs there with it.  What all VMs saw of it
 * is gathered here as evidence: which endpoints crashed under it, and whether
 * one ever answered it whole.  The verdict follows from the evidence and the
 * time alone, so VMs that have the same evidence agree without a word, and a
 * VM that starts anew need only read it.  Everything here is pure.
 *
 * Times are milliseconds of the platform's clock.
 */
#ifndef CQ_QUAR_H
#define CQ_QUAR_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "reqid.h"

#define QUAR_CRASHES_PER_REQUEST_MAX                                          \
  8                            /* remembered of one request, the newest */
#define QUAR_REQUESTS_MAX 1024 /* remembered in all */

/* An endpoint crashed while it had the request. */
struct quar_crash
{
  uint64_t endpoint; /* key of the incarnation that crashed */
  int64_t at_ms;     /* when */
  int64_t ran_ms;    /* for how long it had had the request */
};

/* What one VM may tell another: one fact about one request. */
struct quar_fact
{
  struct reqid id; /* the request */
  bool completed; /* it was answered whole at crash.at_ms; else CRASH counts */
  struct quar_crash crash; /* see above */
};

struct quar_verdict
{
  bool is_quarantined; /* it is refused */
  bool is_suspect;    /* not yet, but it may run at one place at a time only */
  int crashes;        /* moments at which endpoints crashed under it, that no
                      other request explains better */
  double probability; /* that these came together by chance */
  int64_t until_ms;   /* held until then */
};

struct quar;

/* HOLD_MS is how long a request is refused at first; 0 refuses none. */
struct quar *quar_new (int64_t hold_ms);
void quar_free (struct quar *q);

/* Take a fact; OWN says that this VM saw it, and answers for it to others.
   False if it says nothing new. */
bool quar_add_fact (struct quar *q, const struct quar_fact *f, bool own);
/* Whether anything is known of any request. */
bool quar_has_records (const struct quar *q);
/* Whether a crash under the request is known. */
bool quar_has_crashes (const struct quar *q, const struct reqid *id);
/* The verdict, where the request's service has so many ENDPOINTS. */
struct quar_verdict quar_evaluate (const struct quar *q,
                                   const struct reqid *id, int endpoints,
                                   int64_t now_ms);
/* Forget what is too old to count. */
void quar_expire (struct quar *q, int64_t now_ms);

/* Facts that this VM saw itself, or all of requests with three crashes or
   more; appended to OUT, an array of struct quar_fact, up to MAX. */
void quar_own_facts (const struct quar *q, GArray *out, guint max);
void quar_worst_facts (const struct quar *q, GArray *out, guint max);
/* How many facts quar_own would tell. */
guint quar_count_own_facts (const struct quar *q);
/* Whether none of FACTS can count any more, of whatever request. */
bool quar_is_expired (const GArray *facts, int64_t now_ms);

#endif
