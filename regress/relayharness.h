/*
 * Test harness for the relay: a simulated engine, caller, platform and other
 * VMs, driven by a test so that each fault happens at an exact point.
 */
#ifndef CQ_RELAYHARNESS_H
#define CQ_RELAYHARNESS_H

#include "librelay.h"

#define HARNESS_KEY_MAX_AGE_US (4 * CQ_US_PER_S)
/* Event that the engine sends in harness_pause. */
#define HARNESS_PAUSED_EVENT "id: 2\ndata: b\n\n"
#define HARNESS_DENIAL_MAX_AGE_US (2 * CQ_US_PER_S)

/* State that a test sets, and results that it checks. */
struct harness
{
  struct loop *loop;                /* for timers; runs only in harness_run */
  struct fleet fleet;               /* known endpoints and configuration */
  struct relays *relays;            /* under test */
  struct relay *relay;              /* the request last started */
  struct relay_desc desc;           /* describes it */
  const struct relay_events *event; /* callbacks of the last attempt */
  void *arg;                        /* for these */
  int sends;                        /* attempts started */
  int cancels;                      /* attempts cancelled */
  char to[4][FLEET_NAME_SIZE];      /* where each went */
  int64_t resume_after;             /* of the last attempt */
  int64_t left_us;                  /* of the last attempt */
  int64_t connect_timeout_us;       /* of the last attempt */
  char scope[64];                   /* cache scope of the last attempt */
  GString *got;                     /* body bytes that the caller got */
  int status;                       /* status it got, 0 for none */
  int refused;                      /* enum relay_refusal, -1 for none */
  int64_t retry_after_us;           /* with the refusal */
  int ended;                        /* 1 complete, 0 broken, -1 not ended */
  bool gone;                        /* the caller hung up */
  size_t untaken;                   /* bytes that the caller has not read */
  int unpauses;                     /* times that an attempt was unpaused */
  int vms;                          /* other VMs */
  int near_vms;                     /* of these in this failure domain */
  int forwards;                     /* requests forwarded to them */
  char vm[4][FLEET_NAME_SIZE];      /* addresses where each went */
  struct quar *quar;                /* evidence */
  bool evidence_known;              /* evidence of other VMs was read */
  int observed;                     /* times that this VM added evidence */
  relay_probe_done probe;       /* callback of the probe under way, or NULL */
  void *probe_arg;              /* for it */
  int probes;                   /* probes so far */
  char probed[FLEET_NAME_SIZE]; /* endpoint that was probed last */
  int rank;                   /* of this VM, of nine, for brittle endpoints */
  bool turn;                  /* this VM may send suspect requests */
  struct originfeed *origins; /* where streams began */
  struct buildcheck *builds;  /* whether all builds are known */
  bool is_platform_silent;    /* calls to the platform fail */
  int checks;                 /* calls for changes in the list of endpoints */
  struct follow_item *change; /* a change there, or NULL */
  int64_t platform_era;       /* era of the store in its replies */
  bool has_no_history;        /* the platform keeps no history of the list */
  int told;                   /* VMs that messages on them go to */
  int origin_messages;        /* such messages */
};

/* Header lines of a genuine answer, NULL-terminated. */
extern char *harness_seal[];

/* A configuration with one route of KIND and one key, KEY; without workspaces
   if that is NULL. */
struct fleet_conf *harness_conf (int64_t version, enum fleet_kind kind,
                                 const char *key);
/* The route of the present configuration. */
struct fleet_route *harness_route (struct harness *p);
/* List one more endpoint, or list it again. */
void harness_add_endpoint (struct harness *p, const char *id);
/* The same with this version of its software. */
void harness_add_build (struct harness *p, const char *id, const char *build);
/* A VM with two endpoints, a and b, and one request that is not started. */
struct harness *harness_new (enum fleet_kind kind);
/* Start the request. */
void harness_start (struct harness *p);
/* Start the request, whose stream is paused after one event since its caller
   reads too slowly; HARNESS_PAUSED_EVENT is held back. */
void harness_pause (struct harness *p);
/* List N endpoints of service "model" with SLOTS each, e0 and so on, in the
   failure domains d0, d1 and d2 in turn. */
void harness_list_endpoints (struct fleet *f, int n, int slots);
/* The endpoint with this id, or NULL. */
struct fleet_endpoint *harness_endpoint (struct harness *p, const char *id);
/* End attempts without a connection until the request ends or is forwarded. */
void harness_fail_to_connect (struct harness *p);
/* The attempt must be stopped before its first byte, and a second endpoint
   answers instead. */
void harness_expect_next_endpoint (struct harness *p);
/* Free P; all requests must have ended. */
void harness_free (struct harness *p);
/* Run the loop for US. */
void harness_run (struct harness *p, int64_t us);
/* Deliver the head of a genuine answer. */
void harness_head (struct harness *p, int status);
/* Deliver part of its body. */
void harness_body (struct harness *p, const char *text);
/* End the attempt. */
void harness_end (struct harness *p, bool handed_over, bool whole);
/* Let the attempt be sent, and deliver a complete answer with this body. */
void harness_answer (struct harness *p, const char *text);
/* The same with this head and no body. */
void harness_answer_head (struct harness *p, const struct relay_head *h);

#endif
