/*
 * Internal header of the relay, which forwards requests to endpoints.
 * relay.c starts requests, relaytry.c makes their attempts, relayend.c ends
 * them; relaystate.c has the table of their states.
 */
#ifndef CQ_LIBRELAY_H
#define CQ_LIBRELAY_H

#include "mirrorpick.h"
#include "sse.h"
#include "relay.h"
#include "relaycrash.h"
#include "returns.h"
#include "routeshare.h"
#include "relaystate.h"
#include "relayhealth.h"
#include "relayreach.h"
#include "relayvms.h"

/* Retry-After sent to callers: after a failed attempt, and while this VM has
   no configuration or one that is too old. */
#define RETRY_AFTER_FAILURE_US (500 * CQ_US_PER_MS)
#define RETRY_AFTER_STALE_US (1000 * CQ_US_PER_MS)
/* Random addition, so that callers refused together do not return together.
 */
#define RETRY_JITTER_US (500 * CQ_US_PER_MS)

/* Interval of attempts to place the requests that wait for room. */
#define RELAY_ROOM_INTERVAL_US (10 * CQ_US_PER_MS)

/* VMs to which one request is forwarded, one after another. */
#define RELAY_VMS_MAX 4

/* Reason to end a request after an event that its state does not allow. */
#define RELAY_STOP_REJECTED "event_rejected"
/* What the endpoint sent is over a limit. */
#define RELAY_STOP_ANSWER_TOO_LARGE "answer_too_large"
#define RELAY_STOP_EVENT_TOO_LARGE "event_too_large"

/* What the caller has got. */
enum relay_reply
{
  RELAY_REPLY_NONE,          /* nothing, or it hung up before it did */
  RELAY_REPLY_REFUSED,       /* a refusal of this VM */
  RELAY_REPLY_ANSWER,        /* the complete answer of an endpoint */
  RELAY_REPLY_STREAM,        /* part of a stream */
  RELAY_REPLY_STREAM_ENDED,  /* a stream that was ended as complete */
  RELAY_REPLY_STREAM_BROKEN, /* a stream that was broken off */
};

/* State that all requests of this worker to one service share. */
struct relay_service
{
  struct budget budget;     /* retry budget */
  struct share share;       /* demand of each workspace */
  struct routeshare routes; /* demand of each route */
  struct returns returns;   /* work that was told to come back */
  struct admit admit;       /* how much of the demand is admitted */
  bool limited;             /* a part is refused, and this was logged */
};

struct relays
{
  struct relays_opts opts;               /* copy of the options */
  APR_RING_HEAD (relay_ring, relay) all; /* live requests */
  int count;                             /* length of all */
  size_t answer_bytes;                   /* sum of relay.answer */
  GHashTable *services;                  /* name to struct relay_service */
  GHashTable *usual_timeouts; /* route name to int64_t, the usual timeout of
                                 its callers */
  struct relaycrash *crash;   /* crash detection, or NULL */
  struct relayhealth *health; /* failed endpoints; NULL without
                                 share_reports */
  struct relayreach *reach;   /* services whose endpoints are reached */
  struct relayvms *vms;       /* other VMs, for requests that are forwarded */
  struct loop_timer room;     /* places waiting requests again */
  int nwaiting;               /* requests that wait for room */
  struct loop_timer sweep;    /* checks deadlines and hang-ups */
  unsigned sweeps;            /* sweeps so far */
  uint64_t random_state;      /* of the pseudo-random generator */
};

struct relay
{
  APR_RING_ENTRY (relay) link; /* in relays.all */
  struct relays *rs;           /* worker state it belongs to */
  enum relay_state state;      /* changed only by relay_apply_event and
                                  relay_abort */
  struct relay_desc desc;      /* the request */
  struct fleet_conf *conf;     /* configuration when it arrived; a reference */
  const struct fleet_route *route;         /* its route */
  const struct fleet_workspace *workspace; /* of the caller, or NULL */
  const char *service;                     /* service it is sent to */
  struct relay_service *service_state;     /* shared by its requests */
  int rank;             /* admission rank, lower goes first */
  int64_t asked_tokens; /* work that it asks for */
  int64_t arrived_us;   /* when it was received in full */
  int64_t deadline_us;  /* no answer is sent after this time */
  struct fleet_endpoint
      *tried[PICK_EXCLUDE_MAX];    /* failed there; references */
  struct fleet_endpoint *endpoint; /* of the attempt; a reference, or NULL */
  char cache_scope[PARTS_SCOPE_SIZE]; /* of the attempt */
  struct parts_plan plan;             /* of the attempt */
  struct pick_work work; /* prompt tokens, for the choice of endpoint */
  int64_t pending_prefill_tokens;        /* queued at the endpoint before it */
  int64_t shared_pending_prefill_tokens; /* of shared parts, still to be
                                            processed */
  void *call;              /* the adapter's handle of the attempt, or NULL */
  const char *stop_reason; /* why a callback stopped the attempt, or NULL */
  char **lines;            /* header lines of the answer */
  GString *answer;         /* body so far, if it is not streamed */
  struct sse events;       /* parser of the stream */
  struct loop_msg unpause; /* posted when a slow reader has caught up */
  int64_t sent_us;         /* when the attempt started */
  int64_t connected_us;    /* when its connection was established */
  struct relayhealth_attempt connecting; /* the attempt's connection */
  int64_t handed_over_us; /* when a first byte left, 0 for never */
  int64_t first_chunk_us; /* when the first chunk was passed on, 0 for never */
  int64_t body_us;        /* when the attempt's first body bytes arrived */
  int64_t last_event_us;  /* when the last events arrived, 0 for never */
  int64_t gap_us;         /* longest pause between events */
  int ntried;             /* entries in tried */
  int status;             /* HTTP status of the attempt's answer, 0 if none */
  int reported_running;   /* requests running at the endpoint by its answer, -1
                             if not given */
  int reported_waiting;   /* requests waiting there by its answer */
  char vms_tried[RELAY_VMS_MAX][LOAD_VM_SIZE]; /* it was forwarded there; the
                                                  last one has the attempt */
  int nvms_tried;                              /* entries in vms_tried */
  int64_t vm_retry_us;         /* Retry-After of the other VM, 0 if none */
  int attempts;                /* attempts of which a byte may have left */
  int unsent;                  /* attempts of which no byte left */
  struct quar_subject subject; /* digests of what is asked and of its parts, if
                                  has_subject */
  bool has_subject;            /* subject was computed */
  bool has_cleared_parts;      /* the attempt's answer cleared its parts */
  bool is_suspect;             /* by the last check of the quarantine */
  bool not_run;              /* the endpoint reported that it did not run it */
  bool connection_refused;   /* nothing listens at the endpoint's address */
  bool other_incarnation;    /* another incarnation answered the attempt */
  bool is_head_observed;     /* the answer's head was passed to on_observed */
  bool streaming;            /* the answer is passed on in chunks */
  bool ends_with_connection; /* the answer has no length and no chunks */
  bool has_body;             /* part of the answer's body was received */
  bool is_prefilling;        /* the endpoint still processes its prompt */
  bool is_long_prompt;       /* its work is reported to other VMs */
  bool may_have_run;         /* an earlier attempt may have run */
  char *stream_type;  /* media type of the stream, NULL before it begins */
  uint64_t build_key; /* of the endpoint that began the stream; 0 before that,
                         and if it is not known */
  struct originfeed_question question; /* where the stream began */
  struct buildcheck_question check;    /* whether all builds are known */
  enum originfeed_found found;         /* the answer to question */
  uint64_t origin_build;               /* build that began the stream, of which
                                          no endpoint is listed here */
  const char *origin_source; /* how this VM knows that, for the log */
  bool no_build;             /* no endpoint of the stream's build is left */
  bool stream_begun; /* the caller has got the head and part of a stream */
  enum relay_reply reply;      /* what the caller has got */
  struct end_check *end_check; /* the attempt's answer has ended, and its
                                  endpoint is probed; or NULL */
  bool paused;                 /* the attempt waits for a slow reader */
  bool event_pending;  /* prompts were pending at the endpoint when the last
                          events arrived */
  bool has_waited;     /* it waited for room */
  bool forwarding;     /* the attempt is at another VM */
  bool seeks_share;    /* it is forwarded since this VM's shares are used */
  bool no_share;       /* another VM forwarded it, and this one's shares are
                          used, too */
  bool vm_no_path;     /* the other VM reaches no endpoint either */
  bool unpause_posted; /* unpause is queued in the loop */
  bool event_rejected; /* an event was not allowed: no attempt follows */
};

/* Takes how the present attempt of R ended. */
typedef void (*relay_end_fn) (struct relay *r, const struct relay_end *end,
                              int64_t now_us);

/* Whether END may be that of R's endpoint rather than of its answer. */
bool relay_is_end_doubtful (const struct relay *r,
                            const struct relay_end *end);
/* Probes R's endpoint, and calls DONE with END, as not whole unless the
   endpoint still runs.  The attempt is under way until then. */
void relay_confirm_end (struct relay *r, const struct relay_end *end,
                        relay_end_fn done, int64_t now_us);
/* R's attempt has ended otherwise: the result of the probe is of no use. */
void relay_forget_end (struct relay *r);
/* Whether the request may run twice: it is idempotent or a resumable stream.
 */
bool relay_is_repeatable (const struct relay *r);
/* Whether this VM's configuration is too old for keys to be trusted; false
   for a route that needs no key. */
bool relay_is_stale (const struct relay *r, int64_t now_us);
/* Whether the newest configuration no longer has the request's key. */
bool relay_is_key_revoked (const struct relay *r);
/* Whether another VM forwarded R, which did not run, and this one reaches no
   endpoint either. */
bool relay_has_no_path (const struct relay *r);
/* Next pseudo-random number of RS. */
uint64_t relay_random (struct relays *rs);
/* Set R's admission rank, and add WORK, in tokens, to the demand that its
   service is asked for. */
void relay_add_demand (struct relay *r, int64_t work, int64_t now_us);
/* Permille of requests like R to admit if R goes to the endpoint of CHOICE; 0
   if its deadline would pass before the first chunk. */
int relay_admit_permille (const struct relay *r,
                          const struct pick_choice *choice, int64_t now_us);
/* Log that R was refused, KEEP permille being admitted. */
void relay_log_too_late (const struct relay *r,
                         const struct pick_choice *choice, int keep,
                         int64_t now_us);
/* R is admitted for its first attempt. */
void relay_admitted (struct relay *r, int64_t now_us);
/* Time after which R, which is refused for overload, is told to retry; 0 if
   none is left. */
int64_t relay_overload_retry_us (struct relay *r, uint64_t random,
                                 int64_t now_us);
/* Name of the caller's workspace, "" if there is none. */
const char *relay_workspace (const struct relay *r);
/* The cache group of R under the configuration C. */
const char *relay_cache_group (const struct relay *r,
                               const struct fleet_conf *c);
/* Priority of the request, from 0, the most urgent, to 9. */
int relay_priority (const struct relay *r);
/* Id of the last part of the prompt that other requests may share, or NULL
   without a prompt.  Requests with the same id go to the same endpoint. */
const char *relay_affinity (const struct relay_desc *d);
/* Set R's work: how many tokens of its prompt an endpoint has to process. */
void relay_estimate_work (struct relay *r, int64_t now_us);
/* Record how long R waited, once the first chunk of its stream arrived or its
   caller hung up before that. */
void relay_record_wait (struct relay *r, int64_t now_us);
/* Record how long the run of R's stream took, which is complete. */
void relay_record_run (struct relay *r, int64_t now_us);
/* Report that R's work at its endpoint changed. */
void relay_notify_work (struct relay *r, int64_t now_us);
/* The endpoint has processed R's prompt, or will not do so any more. */
void relay_prefill_done (struct relay *r, int64_t now_us);
/* Change R's state by the table of relaystate.c.  False if its state does not
   allow EVENT: this is logged and counted, and R is never sent again. */
bool relay_apply_event (struct relay *r, enum relay_event event);
/* Cancel R's attempt, and end R as one that may have run; nothing if it has
   ended. */
void relay_abort (struct relay *r, int64_t now_us);
/* Free R, which has ended. */
void relay_free (struct relay *r);
/* The attempt is over: release the reference to its endpoint. */
void relay_release_endpoint (struct relay *r, int64_t now_us);
/* End R: count and log its outcome, and free it. */
void relay_finish (struct relay *r, enum outcome outcome, const char *reason,
                   int64_t now_us);
/* End the stream that R's caller has got a part of: as complete if WHOLE. */
void relay_end_stream (struct relay *r, bool whole);
/* End R without an answer: refuse it, or end its stream as broken. */
void relay_give_up (struct relay *r, enum outcome outcome, const char *reason,
                    int64_t retry_after_us, int64_t now_us);

/* Forget the attempt before; one starts now. */
void relay_reset_attempt (struct relay *r, int64_t now_us);
/* Frees what is held of the answer. */
void relay_drop_answer (struct relay *r);
/* Why R must not be sent any more just before its first byte, or NULL. */
const char *relay_send_obstacle (struct relay *r, int64_t now_us);
/* The first byte of an attempt leaves now. */
void relay_handed_over (struct relay *r, int64_t now_us);
/* Whether HEAD is that of a stream, and of the one that R's caller has a part
   of. */
bool relay_is_stream (const struct relay *r, const struct relay_head *head);
/* Body bytes of an attempt's answer arrived; ARG is its request. */
enum relay_body_result relay_on_body (void *arg, const char *data, size_t len);
/* Whether the answer of an attempt that ends with END is complete. */
bool relay_is_whole (const struct relay *r, const struct relay_end *end);
/* How far an attempt got that ends now, its answer complete if WHOLE. */
enum send_state relay_send_state (const struct relay *r, bool whole);
/* What follows an attempt that got as far as SENT. */
struct out_verdict relay_decide (struct relay *r, enum send_state sent,
                                 bool has_attempts_left, int64_t now_us);
/* The caller gets the answer of the attempt that has ended. */
void relay_pass_answer (struct relay *r, enum outcome outcome,
                        const char *reason, int64_t now_us);

/* Forward R to another VM if this VM reaches no endpoint for it; false if that
   is not so or no VM is left.  EVENTS are the callbacks of the attempt. */
bool relay_forward (struct relay *r, const struct relay_events *events,
                    int64_t now_us);
/* Likewise to a VM that owns a brittle endpoint of its service. */
bool relay_forward_to_owner (struct relay *r,
                             const struct relay_events *events,
                             int64_t now_us);
/* Likewise to any VM, since this one's share of what endpoints take is used.
 */
bool relay_forward_for_share (struct relay *r,
                              const struct relay_events *events,
                              int64_t now_us);
/* Callbacks of such an attempt; ARG is its request. */
bool relay_forward_before_send (void *arg);
bool relay_forward_head (void *arg, const struct relay_head *head);
/* Decide what follows an attempt at another VM that has ended; true if R is to
   be placed again. */
bool relay_forward_ended (struct relay *r, enum send_state sent,
                          const char *error, int64_t now_us);
/* Digests of what R asks and of the parts of its prompt, computed at the first
   call. */
const struct quar_subject *relay_subject (struct relay *r);
/* The first of them. */
const struct reqid *relay_identity (struct relay *r);
/* What the quarantine decides on a request. */
enum relay_quar_decision
{
  RELAY_QUAR_PASS,  /* it may go on */
  RELAY_QUAR_DEFER, /* it is suspect, and runs elsewhere or not now */
  RELAY_QUAR_REFUSE /* it is refused since endpoints ended under it */
};

/* Check R before each attempt and again before its first byte leaves; logs the
   decision on a request that is in the evidence. */
enum relay_quar_decision relay_check_quarantine (struct relay *r,
                                                 int64_t now_us);
/* An answer to R goes on: its endpoint outlived the start of it. */
void relay_record_flow (struct relay *r, int64_t now_us);
/* Record what the end of an attempt shows: a broken connection may mean that
   the endpoint crashed, a complete answer clears the request. */
void relay_record_evidence (struct relay *r, enum send_state sent,
                            int64_t now_us);

/* Pass what an answer's head, and the end of an attempt, show of the endpoint
   to the callback on_observed. */
void relay_observe_head (struct relay *r, const struct relay_head *head,
                         int64_t now_us);
void relay_observe_end (struct relay *r, enum send_state sent, int64_t now_us);

/* Whether R's caller takes up a stream that began before. */
bool relay_takes_up (const struct relay *r);
/* Find out where that stream began, and place R, or refuse it. */
void relay_take_up (struct relay *r, int64_t now_us);
/* The deadline passed meanwhile. */
void relay_take_up_timed_out (struct relay *r, int64_t now_us);
/* Endpoints of the stream's build may serve that this VM does not list. */
void relay_refuse_unlisted (struct relay *r, int64_t now_us);
/* R's stream begins, or goes on, with the first event of its endpoint. */
void relay_stream_began (struct relay *r, int64_t now_us);
/* Log what became of a stream that R's caller takes up, at endpoints of
   BUILD. */
void relay_log_take_up (const struct relay *r, const char *outcome,
                        const char *build, int64_t now_us);
/* Refuse R, since it is not known where its stream began. */
void relay_refuse_unknown (struct relay *r, bool final, int64_t now_us);
/* End R, whose stream no endpoint can go on with. */
void relay_give_up_no_build (struct relay *r, int64_t now_us);
/* R is sent to SERVICE, which its route allows. */
void relay_set_service (struct relay *r, const char *service);

/* Let R wait until an endpoint has room, and place it again then; false if it
   is not to wait any longer. */
bool relay_wait_for_room (struct relay *r, int64_t now_us);
/* Let R wait until other VMs have said whether they reach its service, and
   place it again then; false if it is not to wait any longer. */
bool relay_wait_for_path (struct relay *r, int64_t now_us);
/* Whether R must not wait any longer. */
bool relay_has_waited_enough (const struct relay *r, int64_t now_us);
/* R's state is about to change by an event from outside. */
void relay_stop_waiting (struct relay *r);
/* Choose an endpoint and send the next attempt, or give up. */
void relay_place (struct relay *r, int64_t now_us);
/* Whether R's stream still waits at an endpoint whose weights are so old that
   nothing may start on them. */
bool relay_waits_too_long (const struct relay *r, int64_t now_us);
/* Cancel that attempt, and try another endpoint if that is allowed. */
void relay_withdraw (struct relay *r, int64_t now_us);
/* The deadline has passed: cancel the attempt, and give up. */
void relay_time_out (struct relay *r, int64_t now_us);

#endif
