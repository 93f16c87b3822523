/*
 * Quarantine of requests that crash the endpoints that run them.
 *
 * Callers retry such a request under other ids and at any VM, and each attempt
 * crashes an endpoint and breaks all requests that run there.  This module
 * collects the evidence of all VMs: which endpoints crashed while they ran the
 * request, and whether one ever completed it.  The verdict depends only on the
 * evidence and the time, so VMs with the same evidence agree without
 * coordination, and a restarted VM only has to read the evidence.  The
 * functions do no I/O and read no clock.
 *
 * Requests of which no two are alike may have a part of their prompts in
 * common that crashes endpoints.  So evidence is kept of each part, too, of
 * all workspaces together.  A part that any endpoint answers on is cleared, so
 * those that sound requests share don't gather evidence.  Where several parts
 * explain the crashes equally well, only requests that have all of them are
 * refused: the others show which part it is.
 * A part that is refused cannot be cleared by requests, so if another one may
 * be the cause, one request with it is let through some seconds after its last
 * crash.
 *
 * Times are in milliseconds on the platform's clock.
 */
#ifndef CQ_QUAR_H
#define CQ_QUAR_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "reqid.h"

/* Parts of one prompt that evidence is kept of; the last part is its own. */
#define QUAR_PARTS_MAX 12
/* Newest crashes that are kept of each request. */
#define QUAR_CRASHES_PER_REQUEST_MAX 8
#define QUAR_REQUESTS_MAX 1024 /* requests with evidence */

/* A crash of an endpoint while it ran the request. */
struct quar_crash
{
  uint64_t endpoint; /* key of the crashed incarnation */
  int64_t at_ms;     /* time of the crash */
  int64_t ran_ms;    /* time since the request was sent to it */
};

/* One piece of evidence about one request, as VMs exchange it. */
struct quar_fact
{
  struct reqid id;         /* the request */
  bool completed;          /* an endpoint completed it at crash.at_ms */
  struct quar_crash crash; /* the crash, if not completed */
};

/* What the evidence about a request amounts to. */
struct quar_verdict
{
  bool is_quarantined; /* refuse the request */
  bool is_on_trial; /* quarantined for a part, and one VM may run one request
                       with it: if that is answered, the part is cleared */
  bool is_suspect;  /* not quarantined, but run it on one endpoint at a time */
  int incidents; /* incidents that no other request explains better; endpoints
                  that crash together are one incident */
  double probability; /* that these incidents coincided by chance */
  int64_t until_ms;   /* end of the quarantine */
};

/* A request and the parts of its prompt that others may share. */
struct quar_subject
{
  struct reqid request;               /* digest of the request */
  struct reqid parts[QUAR_PARTS_MAX]; /* digests of the parts */
  int nparts;                         /* entries in parts */
};

struct quar;

/* QUARANTINE_MS is the length of a first quarantine; 0 disables quarantine. */
struct quar *quar_new (int64_t quarantine_ms);
void quar_free (struct quar *q);

/* Add a fact; OWN if this VM observed it and so publishes it to others.
   Returns false if the evidence stays the same. */
bool quar_add_fact (struct quar *q, const struct quar_fact *f, bool own);
/* Whether there is evidence about any request. */
bool quar_has_records (const struct quar *q);
/* Whether an endpoint is known to have crashed while it ran the request. */
bool quar_has_crashes (const struct quar *q, const struct reqid *id);
/* Whether that is so of the request or of one of its parts. */
bool quar_has_crashes_of (const struct quar *q, const struct quar_subject *s);
/* Whether the incarnation with the key ENDPOINT is known to have crashed,
   whatever it ran. */
bool quar_is_crashed (const struct quar *q, uint64_t endpoint);
/* Compute the verdict; ENDPOINTS is the size of the request's service. */
struct quar_verdict quar_evaluate (const struct quar *q,
                                   const struct reqid *id, int endpoints,
                                   int64_t now_ms);
/* Compute the verdict on S by the evidence on the request and on its parts; ID
   is set to the digest that decided. */
struct quar_verdict quar_evaluate_subject (const struct quar *q,
                                           const struct quar_subject *s,
                                           int endpoints, int64_t now_ms,
                                           struct reqid *id);
/* Remove evidence that is too old to matter. */
void quar_expire (struct quar *q, int64_t now_ms);

/* Append the facts that this VM observed, or all facts about requests with
   three or more incidents, to OUT, an array of struct quar_fact, until it
   holds MAX.  Requests with the most crashes come first. */
void quar_own_facts (const struct quar *q, GArray *out, guint max);
void quar_worst_facts (const struct quar *q, GArray *out, guint max);
/* Number of facts that this VM observed. */
guint quar_count_own_facts (const struct quar *q);
/* Whether all FACTS are too old to affect any verdict. */
bool quar_is_expired (const GArray *facts, int64_t now_ms);

#endif
