/*
 * A small model check.  Whole runs of the deciding code in played time, over
 * all ways in which a few things may go wrong: a run asks at each step what
 * happens there, and the search plays it again with the next answer until
 * none is left.
 */
#ifndef CQ_MODEL_H
#define CQ_MODEL_H

#include <stdbool.h>
#include <stdint.h>

/* One search. */
struct model_case
{
  const char *name;                             /* as printed */
  void (*run) (const struct model_case *model); /* one run */
  unsigned off;                                 /* safeguards switched off */
  int faults;                                   /* of one run, at most */
  int vms;                                      /* that take part */
};

/* Ends with a case without a name. */
extern const struct model_case model_lease_cases[];
extern const struct model_case model_named_cases[];
extern const struct model_case model_burst_cases[];
extern const struct model_case model_keys_cases[];
extern const struct model_case model_lives_cases[];

/* One of N ways, all of them in turn. */
int model_pick (int n);
/* Likewise, but any other than the first is a fault, and a run has few. */
int model_fault (int n);
/* Something happened: a state was reached. */
void model_step (void);
/* A property does not hold; the rest of the run does not count. */
void model_fail (const char *what, int64_t figure);
bool model_has_failed (void);
/* What a run was about, for the trace of the first one that fails. */
void model_note (const char *fmt, ...) __attribute__ ((format (printf, 1, 2)));

#endif
