/*
 * A small model checker.  It runs the deciding code in simulated time, over
 * all ways in which a few things may go wrong.  A run asks at each step what
 * happens there, and the search repeats it with the next answer until none is
 * left.
 */
#ifndef CQ_MODEL_H
#define CQ_MODEL_H

#include <stdbool.h>
#include <stdint.h>

/* One case of a search. */
struct model_case
{
  const char *name;                             /* name in the output */
  void (*run) (const struct model_case *model); /* executes one run */
  unsigned off; /* safeguards that are switched off */
  int faults;   /* maximum number of faults in a run */
  int vms;      /* number of VMs */
};

/* Each list ends with a case without a name. */
extern const struct model_case model_lease_cases[];
extern const struct model_case model_announcement_cases[];
extern const struct model_case model_burst_cases[];
extern const struct model_case model_keys_cases[];
extern const struct model_case model_restart_cases[];
extern const struct model_case model_stream_cases[];

/* Prints the shares of streams that go on, on many VMs, by seeds. */
void model_print_stream_shares (void);

/* Returns one of N alternatives; the search tries all of them in turn. */
int model_pick (int n);
/* Likewise, but each alternative except the first is a fault, and a run may
   have only a few. */
int model_fault (int n);
/* Counts a state that was reached. */
void model_step (void);
/* Reports that a property does not hold; the rest of the run is ignored. */
void model_fail (const char *what, int64_t figure);
bool model_has_failed (void);
/* Adds a line to the trace of the run, which is printed for the first one that
   fails. */
void model_note (const char *fmt, ...) __attribute__ ((format (printf, 1, 2)));

#endif
