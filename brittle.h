/*
 * Brittle endpoints: one that has to turn away more than so many requests in a
 * second, from all VMs together, for want of room crashes.
 *
 * Responds to refusals, of which each VM sees its own only, late.  Only a few
 * VMs send to such an endpoint, at most half of the refusals that it bears:
 * its owners, chosen among the VMs that the platform lists by rendezvous
 * hashing.  The others forward their requests to one of these.
 *
 * An owner keeps to the number of requests that it has there: it replaces
 * those that end, at once or not at all.  For one more it needs a token, which
 * is held while a refusal may be on the way, and for a second after one.  A
 * second refusal within that time stops the VM there.  So no second holds more
 * refusals than there are tokens and owners, whatever room the endpoint has.
 * While requests wait at the endpoint, those that end are not replaced and no
 * token is used: it may let fewer wait soon.
 *
 * A VM that cannot forward uses one token that it has for all endpoints of the
 * service, as a guest, and longer after a refusal, the more VMs there are for
 * each token.
 */
#ifndef CQ_BRITTLE_H
#define CQ_BRITTLE_H

#include <stdbool.h>
#include <stdint.h>

/* Largest share of one VM. */
#define BRITTLE_TOKENS_MAX 32
/* A notice of another endpoint of the service that is older counts no more. */
#define BRITTLE_NOTICE_MAX_AGE_US INT64_C (10000000)

/* Longest pause of a guest. */
#define BRITTLE_GUEST_PAUSE_MAX_US INT64_C (30000000)

/* Reports of one endpoint, and this VM's tokens; zeros if it reported
   nothing. */
struct brittle
{
  bool active;         /* it reported that it is brittle, and not since that it
                          is not */
  int64_t refusals;    /* that it bears in a second, by its report */
  int64_t reported_us; /* when it last reported it; 0 for never */
  int64_t cleared_us;  /* when the last request was sent whose answer did not
                          report it; 0 for none */
  bool applies;        /* it is brittle, or others of its service are and it
                          has not answered since */
  int64_t applied;     /* refusals that it is taken to bear */
  int64_t share_set_us; /* when the share was set; 0 if it must be set again */
  int share;            /* this VM's tokens; 0 if it is no owner */
  bool is_guest;        /* it is no owner, and sends there all the same */
  int accepted;         /* requests that this VM may have there without one */
  int64_t left_us;      /* when the last of them ended */
  int64_t waiting_us;   /* when an answer last said that requests wait there */
  int64_t stopped_until_us; /* it sends nothing there until then */
  int64_t token_free_us[BRITTLE_TOKENS_MAX]; /* when each may be used again */
};

/* This VM as a guest at the endpoints of a service. */
struct brittle_guest
{
  int64_t free_us;  /* its next request may be sent */
  int64_t pause_us; /* without requests after a refusal */
};

/* An answer to a request sent at SENT_US reported that the endpoint bears
   REFUSALS in a second; returns whether this changes what is known. */
bool brittle_report (struct brittle *b, int64_t refusals, int64_t sent_us,
                     int64_t now_us);
/* Such an answer reported nothing; returns whether this ends it. */
bool brittle_clear (struct brittle *b, int64_t sent_us);

/* Number of owners of an endpoint that bears REFUSALS in a second, among
   VMS. */
int brittle_owners (int64_t refusals, int vms);
/* Tokens there of the VM with rank RANK, from 0, of VMS; 0 if it is no
   owner. */
int brittle_share (int64_t refusals, int vms, int rank);
/* Pause of a guest after a refusal, if VMS share ENDPOINTS of which each bears
   REFUSALS in a second. */
int64_t brittle_guest_pause_us (int64_t refusals, int vms, int endpoints);

/* Returns whether the share must be set, for the first time or again. */
bool brittle_is_share_stale (const struct brittle *b, int64_t now_us);
/* Refusals that the endpoint bears, if others of its service last reported at
   REPORTED_US, 0 for never, that they bear REFUSALS; -1 if it is not
   brittle. */
int64_t brittle_refusals (const struct brittle *b, int64_t refusals,
                          int64_t reported_us, int64_t now_us);
/* The endpoint is taken to bear REFUSALS; this VM, with RUNNING requests
   there, has SHARE tokens, and is a guest if it has none and cannot forward.
 */
void brittle_set_share (struct brittle *b, int64_t refusals, int share,
                        bool can_forward, int running, int64_t now_us);
/* The endpoint is not brittle. */
void brittle_set_none (struct brittle *b, int64_t now_us);

/* Returns whether this VM, with RUNNING requests there, may select the
   endpoint now. */
bool brittle_may_place (const struct brittle *b,
                        const struct brittle_guest *guest, int running,
                        int64_t now_us);
/* It was selected, with RUNNING requests there before: holds a token, if one
   is needed, while the connection is made. */
void brittle_placed (struct brittle *b, struct brittle_guest *guest,
                     int running, int64_t now_us);
/* Holds the token, if one is needed, of a request that was placed at PLACED_US
   and is sent now, with RUNNING others there; returns false if it was used
   meanwhile and no other is free. */
bool brittle_take (struct brittle *b, struct brittle_guest *guest, int running,
                   int64_t placed_us, int64_t now_us);
/* The endpoint accepted a request; with this one RUNNING of this VM's are
   there, and WAITING of all VMs' wait. */
void brittle_accepted (struct brittle *b, int running, int waiting,
                       int64_t now_us);
/* A request ended there, after which RUNNING are left. */
void brittle_left (struct brittle *b, int running, int64_t now_us);
/* The endpoint crashed. */
void brittle_crashed (struct brittle *b);
/* The endpoint refused a request; RUNNING others of this VM's are there. */
void brittle_refused (struct brittle *b, struct brittle_guest *guest,
                      int running, int64_t now_us);

#endif
