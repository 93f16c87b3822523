/*
 * Failed endpoints, known from the failures that this VM sees and from those
 * that other VMs report.
 *
 * Responds to endpoints that stop accepting connections or end: where each VM
 * has to find out for itself, every VM sends requests to them first.  The code
 * has no side effects.
 *
 * An answer is evidence from the time at which its connection was established,
 * a failure to connect from the time at which the attempt started.  So neither
 * the answers of old streams nor a packet that was lost long ago count as
 * news.
 */
#ifndef CQ_HEALTH_H
#define CQ_HEALTH_H

#include "load.h"

#define HEALTH_OBSERVERS_MAX 8 /* VMs whose failures are kept */

/* Whether an endpoint is used. */
enum health_state
{
  HEALTH_GOOD,
  HEALTH_RECOVERING,       /* it gets a growing part of its requests */
  HEALTH_KEPT,             /* ejected by reports, but needed for the load */
  HEALTH_EJECTED_OWN,      /* on this VM's own failures */
  HEALTH_EJECTED_REPORTED, /* on failures that other VMs reported */
};

/* A failure that another VM reported. */
struct health_report
{
  uint64_t vm;     /* hash of its name */
  int64_t seen_us; /* when it occurred */
  bool near;       /* that VM is in this VM's failure domain */
};

/* Evidence on one incarnation of an endpoint; zeros if there is none. */
struct health
{
  struct health_report
      reports[HEALTH_OBSERVERS_MAX]; /* the newest failure of each VM, if there
                                        was no answer to any VM since */
  int nreports;                      /* entries in reports */
  bool reported;            /* reports ejected it, and no answer came since */
  int64_t failed_us;        /* newest failure that upholds this */
  int64_t answered_us;      /* newest answer to any VM, 0 for none */
  enum load_seen own;       /* this VM's newest observation */
  int64_t own_us;           /* when it was made, 0 for never */
  int64_t own_until_us;     /* this VM's own failures eject it until then */
  int64_t recovering_us;    /* when an answer ended an ejection, or 0 */
  enum health_state effect; /* state with the bound on ejections applied */
  int64_t ejected_us;       /* when it was ejected, by effect or but for the
                               bound */
  int64_t decided_us;       /* when effect was last decided */
  enum health_state logged; /* effect that was last logged */
  int64_t probed_us;        /* when this VM last probed it, 0 for never */
  bool probing;             /* a probe of this VM is under way */
  bool disproved;           /* a probe disproved a failure of a connection, and
                               no request was answered since */
};

/* Record what another VM observed; VM is a hash of its name.  This VM's own
   observations are recorded by the functions below instead. */
void health_add (struct health *h, uint64_t vm, bool near, enum load_seen seen,
                 int64_t seen_us);
/* This VM got an answer on a connection established at SEEN_US. */
void health_add_own_answer (struct health *h, int64_t seen_us);
/* A probe of this VM, started at SEEN_US, was answered.  It ends no ejection
   on this VM's own failures: the endpoint may answer probes only. */
void health_add_probe_answer (struct health *h, int64_t seen_us);
/* An attempt of this VM, started at SEEN_US, failed; its own failures eject
   the endpoint until UNTIL_US, 0 if they do not. */
void health_add_own_failure (struct health *h, enum load_seen seen,
                             int64_t seen_us, int64_t until_us);
/* Whether another VM reported a failure lately, and no VM an answer since. */
bool health_is_failure_reported (const struct health *h, int64_t now_us);

/* State by the evidence alone, never HEALTH_KEPT. */
enum health_state health_evaluate (const struct health *h, int64_t now_us);
/* Age of the newest piece of evidence, -1 if there is none. */
int64_t health_age_us (const struct health *h, int64_t now_us);

/* An endpoint of a service. */
struct health_member
{
  struct health *health; /* its evidence */
  uint64_t key;          /* key of the endpoint; breaks ties */
  int load;              /* requests running and waiting there */
  int slots;             /* requests that it runs concurrently; 0 if
                            unknown */
};

/* Set the effects of all N endpoints of a service; reorders M.  Ejection by
   reports is limited: those that remain must be able to carry their load, and
   half stay in any case.  The ones with the fewest observers stay. */
void health_decide (struct health_member *m, int n, int64_t now_us);

/* Whether the request with random number RANDOM avoids the endpoint, by the
   effect that was decided last. */
bool health_is_avoided (const struct health *h, uint64_t random,
                        int64_t now_us);
/* Whether the evidence ejects the endpoint, and it is to be probed. */
bool health_is_ejected (const struct health *h);
const char *health_name (enum health_state state);

#endif
