/*
 * Internal header of requests that are passed on: relay.c holds their life,
 * relaytry.c their attempts.
 */
#ifndef CQ_LIBRELAY_H
#define CQ_LIBRELAY_H

#include "evt.h"
#include "relay.h"
#include "relaycrash.h"

/* When to ask again: after a failure, and while nothing is known yet. */
#define RETRY_AFTER_FAILURE_US (500 * CQ_US_PER_MS)
#define RETRY_AFTER_STALE_US (1000 * CQ_US_PER_MS)
/* Callers refused together should not return together. */
#define RETRY_JITTER_US (500 * CQ_US_PER_MS)

/* What this VM's requests share of the service that they go to. */
struct relay_service
{
  struct budget budget; /* repeats that it may still have */
  struct share share;   /* what workspaces ask of it */
  struct admit admit;   /* how much of that is let in */
  bool limited;         /* a part is refused, and that was logged */
};

struct relays
{
  struct relays_opts opts;               /* as made */
  APR_RING_HEAD (relay_ring, relay) all; /* live requests */
  int count;                             /* their number */
  GHashTable *services;                  /* name to struct relay_service */
  GHashTable *
      usual_timeouts; /* route's name to int64_t: time that its callers have */
  struct relaycrash *crash; /* endpoints that end; NULL without evidence */
  struct loop_timer sweep;  /* deadlines and hang-ups */
  unsigned sweeps;          /* done so far */
  uint64_t random_state;    /* state of random choices */
};

struct relay
{
  APR_RING_ENTRY (relay) link;             /* in its list */
  struct relays *rs;                       /* where it runs */
  struct relay_desc desc;                  /* as described */
  struct fleet_conf *conf;                 /* it started under */
  const struct fleet_route *route;         /* that it took */
  const struct fleet_workspace *workspace; /* who asks, or NULL */
  const char *service;                     /* that it goes to */
  struct relay_service *service_state; /* what it shares with others there */
  int rank;                            /* for admission */
  int64_t received_us;                 /* when it was whole */
  int64_t deadline_us;                 /* no answer after */
  struct fleet_endpoint *tried[PICK_EXCLUDE_MAX]; /* references to lives
                                                     it failed at */
  struct fleet_endpoint *endpoint;                /* of the attempt */
  char cache_scope[PARTS_SCOPE_SIZE];             /* of the attempt */
  struct parts_plan plan;                         /* of the attempt */
  struct pick_work work;          /* as the endpoint was chosen for */
  int64_t pending_prefill_tokens; /* tokens to be read there before it */
  int64_t shared_pending_prefill_tokens; /* tokens of shared parts that it has
                                            to read */
  void *call;                            /* at the adapter */
  const char *stop_reason; /* why a callback stopped the attempt, or NULL */
  char **lines;            /* head of the answer */
  GString *answer;         /* whole answer so far */
  struct evt events;       /* of a stream */
  struct loop_msg unpause; /* posted when the reader caught up */
  int64_t sent_us;         /* when the attempt started */
  int64_t
      handed_over_us; /* when its first attempt was handed over; 0: never */
  int64_t first_chunk_us;  /* first piece passed on, 0 for none */
  int ntried;              /* entries in tried */
  int status;              /* of the attempt's answer, 0 if none */
  int reported_running;    /* at the endpoint by that answer, -1 if unsaid */
  int reported_waiting;    /* there by that answer */
  int attempts;            /* that were handed over */
  int unsent;              /* that were not */
  struct reqid identity;   /* what is asked; once it is identified */
  bool has_identity;       /* that was worked out */
  bool is_suspect;         /* when it was looked at last */
  bool handed_over;        /* a byte may have left */
  bool not_run;            /* the endpoint said so */
  bool connection_refused; /* nothing listens at the endpoint's address */
  bool streaming;          /* the answer goes on in pieces */
  bool has_body;           /* some of the attempt's answer came */
  bool is_prefilling;      /* its endpoint still reads its prompt */
  bool is_long_prompt;     /* its work is told to other VMs */
  bool may_have_run;       /* an earlier attempt may have run */
  bool stream_begun;       /* the caller has part of a stream */
  bool paused;             /* the attempt waits for a slow reader */
  bool unpause_posted;     /* that message is under way */
  bool done;               /* freed when the message has come */
};

/* Whether a second run would do no harm. */
bool relay_is_repeatable (const struct relay *r);
/* Whether the knowledge behind the request's key is too old to count. */
bool relay_is_stale (const struct relay *r, int64_t now_us);
/* Whether the key still opens the route by the newest configuration. */
bool relay_is_key_revoked (const struct relay *r);
/* A random number of RS. */
uint64_t relay_random (struct relays *rs);
/* Which requests are let in before it. */
int relay_rank (struct relay *r, int64_t now_us);
/* Permille of the requests like it to let in, if it goes to the endpoint of
   CHOICE; 0 if it cannot be answered in its time. */
int relay_admit_permille (const struct relay *r,
                          const struct pick_choice *choice, int64_t now_us);
/* It is not, for that. */
void relay_log_too_late (const struct relay *r,
                         const struct pick_choice *choice, int keep,
                         int64_t now_us);
/* Name of who asks, "" if nobody was named. */
const char *relay_workspace (const struct relay *r);
/* How urgent it is, 0 goes first, to 9. */
int relay_priority (const struct relay *r);
/* The last part of a prompt that others share, or NULL: a request returns to
   where that is. */
const char *relay_affinity (const struct relay_desc *d);
/* Set what the prompt asks of an endpoint. */
void relay_estimate_work (struct relay *r, int64_t now_us);
/* The first piece of a stream came, or its caller left before it. */
void relay_record_wait (struct relay *r, int64_t now_us);
/* Its work at its endpoint changed. */
void relay_notify_work (struct relay *r, int64_t now_us);
/* The endpoint has read the request's prompt, or will not. */
void relay_prefill_done (struct relay *r, int64_t now_us);
/* The request is no longer at its endpoint. */
void relay_release_endpoint (struct relay *r, int64_t now_us);
/* End of a request that was answered. */
void relay_finish (struct relay *r, enum outcome outcome, const char *reason,
                   int64_t now_us);
/* End of a request that was not: the caller hears now, and only what is
   true. */
void relay_give_up (struct relay *r, enum outcome outcome, const char *reason,
                    int64_t retry_after_us, int64_t now_us);

/* What R asks, worked out when it is needed first. */
const struct reqid *relay_identity (struct relay *r);
/* What quarantine says of a request. */
enum relay_quar_decision
{
  RELAY_QUAR_PASS,  /* it may go on */
  RELAY_QUAR_DEFER, /* it is suspect, and runs elsewhere or not now */
  RELAY_QUAR_REFUSE /* it is refused since endpoints ended under it */
};

/* Ask that before each attempt and again before its first byte; tells the log.
 */
enum relay_quar_decision relay_check_quarantine (struct relay *r,
                                                 int64_t now_us);
/* An attempt at R's endpoint is over: it broke off, or was answered whole. */
void relay_record_evidence (struct relay *r, enum send_state sent,
                            int64_t now_us);

/* Find an endpoint for the next attempt, or give up. */
void relay_place (struct relay *r, int64_t now_us);
/* It waits at an endpoint with weights on which nothing may begin any more. */
bool relay_waits_too_long (const struct relay *r, int64_t now_us);
/* Take it back from there. */
void relay_withdraw (struct relay *r, int64_t now_us);
/* The time for an answer is over. */
void relay_time_out (struct relay *r, int64_t now_us);

#endif
