/*
 * Public header of the decision library.
 *
 * Functions are deterministic: they take state and the current time, and
 * return a decision with its reason.  No function does I/O, takes a lock,
 * reads a clock or uses global randomness, so that tests and benchmarks can
 * run on simulated time.
 * The caller holds the lock that guards the state (see docs/DESIGN.md).
 *
 * Times are microseconds of a monotonic clock (CLOCK_BOOTTIME in the
 * server); durations end in _us or _ms.
 */
#ifndef CQ_DECIDE_H
#define CQ_DECIDE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <apr_ring.h>

#include "kvdecide.h"

#define CQ_US_PER_MS INT64_C (1000)
#define CQ_US_PER_S INT64_C (1000000)

/* --- outcome: the result of a request --------------------------------- */

/* Outcome of a request; the names of the four are part of the interface. */
enum outcome
{
  OUT_ANSWERED, /* the endpoint's complete answer */
  OUT_NOT_RUN,  /* refused: nothing was run, so a retry is safe */
  OUT_UNKNOWN,  /* it may have run and will not be retried */
  OUT_FAILED    /* it may have run, and no attempt succeeded */
};

/* Progress of one attempt, as reported by the adapter that sends it. */
enum send_state
{
  SEND_NONE,    /* no byte was written to a connection */
  SEND_PARTIAL, /* at least one byte was written, no reply status yet */
  SEND_REFUSED, /* the endpoint replied that it did not start the request */
  SEND_REPLIED, /* a reply status arrived, the body is incomplete */
  SEND_COMPLETE /* the complete reply arrived */
};

/* Next action for a request. */
enum out_next
{
  NEXT_FINISH, /* report the outcome to the caller */
  NEXT_RETRY,  /* restart at another endpoint */
  NEXT_RESUME  /* continue at a token offset at another endpoint */
};

/* Inputs of the decision on one attempt. */
struct out_facts
{
  enum send_state sent;  /* how far the attempt got */
  int status;            /* HTTP status when SEND_REPLIED or SEND_COMPLETE */
  bool idempotent;       /* the service is declared idempotent */
  bool ran_before;       /* an earlier attempt may have run */
  bool caller_has_bytes; /* part of a stream was sent to the caller */
  bool ends_stream;      /* the complete answer is a stream, up to its end */
  bool resumable;        /* the stream can continue at a token offset */
  bool attempts_left;    /* attempt limit and retry budget allow another */
  bool deadline_passed;  /* no time is left for another attempt */
};

/* Decision on one attempt. */
struct out_verdict
{
  enum out_next next;   /* what to do */
  enum outcome outcome; /* reported to the caller if NEXT_FINISH */
  const char *reason;   /* stable name for logs and error codes */
  bool passes_answer;   /* the caller gets the attempt's answer, or the end of
                           its stream */
};

/* Name of an outcome, as in the Camphorquay-Outcome header. */
const char *out_name (enum outcome outcome);

/* Whether an answer with this HTTP status tells the caller that the request
   did not run and never will, so that it may send the request again. */
bool out_status_means_not_run (int status);

const char *out_send_name (enum send_state sent);
const char *out_next_name (enum out_next next);

/* Decides what follows an attempt.  No other function may derive not-run from
   a send state. */
struct out_verdict out_evaluate (const struct out_facts *facts);

/* Outcome of a request that is given up before its next attempt. */
enum outcome out_abandoned (bool may_have_run, bool idempotent);

/* --- share: fair shares of an overloaded service ---------------------- */

#define SHARE_MAX_WORKSPACES 64 /* workspaces that are tracked */
#define CQ_PERMILLE 1000        /* one whole, in permille */
#define SHARE_NAME_SIZE 64      /* bytes of a name with its NUL */
/* Name under which a user of the table counts those beyond its size. */
#define SHARE_OTHERS "*"

/* Recent demand of one workspace on a service. */
struct share_workspace
{
  char name[SHARE_NAME_SIZE]; /* workspace name */
  int64_t demand;             /* work requested, decayed over time */
  int64_t milli_requests;     /* thousandths of requests, decayed alike */
};

/* Recent demand of all workspaces on a service. */
struct share
{
  /* Unordered; one more entry than workspaces, for SHARE_OTHERS. */
  struct share_workspace entries[SHARE_MAX_WORKSPACES + 1];
  int n;              /* entries in use */
  int64_t decayed_us; /* time of the last decay */
};

/* Adds WORK to the demand of WORKSPACE; the unit is the same for all. */
void share_add_demand (struct share *s, const char *workspace, int64_t work,
                       int64_t now_us);
/* Adds WORK to the demand of SHARE_OTHERS, which always has an entry. */
void share_add_others (struct share *s, int64_t work, int64_t now_us);
/* Permille of the requests of WORKSPACE to admit if PERMILLE of all work can
   be served: max-min fair shares, so that what one workspace does not use
   goes to the others. */
int share_permille (const struct share *s, const char *workspace,
                    int permille);
/* Permille of all requests that are admitted if each workspace gets its share
   of PERMILLE of all work. */
int share_requests_permille (const struct share *s, int permille);
/* Thousandths of recent requests of WORKSPACE, 0 if it is not tracked. */
int64_t share_milli_requests (const struct share *s, const char *workspace);
/* Whether demand of WORKSPACE, if added, is tracked under its own name. */
bool share_has_room (const struct share *s, const char *workspace);

/* --- admit: admission control of an overloaded service ---------------- */

/* Ranks 0 to 9 are the urgencies of first requests, 0 the most urgent; ranks
   10 to 19 are the same urgencies of retries.  If returns are planned, each
   urgency has two ranks, retries before first requests. */
#define ADMIT_RANKS 20

/* Admission control of one service on one VM. */
struct admit
{
  int permille;          /* permille of the demand to admit */
  int64_t pressure;      /* smoothed, in permille of its target */
  int64_t prev_pressure; /* mean of the last step, not smoothed */
  int64_t step_us;       /* start of the current step */
  int64_t answered_us;   /* time of the last answer, 0 for none */
  int answers;           /* in the current step */
  int64_t pressure_sum; /* sum over these answers, in permille of the target */
  int64_t demand[ADMIT_RANKS]; /* work requested by rank, decayed over time */
  int64_t decayed_us;          /* time of the last decay */
  int64_t run_us;    /* average time from a run's first chunk to its end */
  int64_t target_us; /* average latency target of these runs, 0 if unknown */
};

/* What one answer shows about the load of its endpoint. */
struct admit_sample
{
  int64_t wait_us;   /* time to its first chunk */
  int64_t target_us; /* target for that time, 0 if none is declared */
  int running;       /* requests running there, -1 if not reported */
  int waiting;       /* requests queued there */
};

void admit_init (struct admit *a);
void admit_add_sample (struct admit *a, const struct admit_sample *sample,
                       int64_t now_us);
/* A run ended RUN_US after its first chunk; TARGET_US is the latency target of
   its route, not 0.  The target length of queues follows from the averages. */
void admit_add_run (struct admit *a, int64_t run_us, int64_t target_us);
/* Target queue length of an endpoint, in permille of the requests that it
   runs. */
int admit_queue_target_permille (const struct admit *a);
/* Permille of the demand to admit. */
int admit_permille (const struct admit *a, int64_t now_us);
/* Whether a caller with LEFT_US until its deadline has probably been refused
   before, judged by the time USUAL_US that others have.  Updates USUAL_US,
   which starts as 0. */
bool admit_is_retry (int64_t *usual_us, int64_t left_us);
/* Urgency, 0 to 9, of a request by the priorities of its workspace, -1 if it
   has none, and of its route: the workspace's is compared first. */
int admit_urgency (int workspace_priority, int route_priority);
/* Rank of a request; lower ranks are admitted first. */
int admit_rank (int urgency, bool is_retry);
/* The same if returns are planned. */
int admit_planned_rank (int urgency, bool is_retry);
/* Adds WORK to the demand of RANK; the unit is the same for all. */
void admit_add_demand (struct admit *a, int rank, int64_t work,
                       int64_t now_us);
/* Permille of the requests of RANK to admit if PERMILLE of all work can be
   served. */
int admit_rank_permille (const struct admit *a, int rank, int permille);

/* --- budget: retries as a share of requests -------------------------- */

/* Retry budget of a service: retries must not double the load in an outage. */
struct budget
{
  int64_t level_milli; /* thousandths of a retry available */
  int64_t cap_milli;   /* upper bound of level_milli */
  int64_t per_request; /* thousandths earned by each first attempt */
};

void budget_init (struct budget *b, int percent, int burst);
void budget_earn (struct budget *b);
bool budget_spend (struct budget *b);

/* --- lim: limits of a workspace -------------------------------------- */

/* Declared limits of a workspace. */
struct lim_opts
{
  int concurrency;     /* requests that may run at once */
  int queue_max;       /* requests that may be queued at once */
  int64_t body_max;    /* bytes of one request body */
  int64_t tokens_s;    /* model tokens per second, 0 for no limit */
  int64_t token_burst; /* capacity of the token bucket */
};

/* State of a workspace on this VM. */
struct lim_workspace
{
  struct lim_opts opts; /* declared limits */
  int64_t tokens;       /* tokens in the bucket */
  int64_t refilled_us;  /* time up to which the bucket was refilled */
  int running;          /* requests that hold an endpoint's slot */
  int queued;           /* requests in queues */
};

enum lim_code
{
  LIM_OK,
  LIM_BODY,      /* body larger than body_max */
  LIM_TOKENS,    /* token bucket is short of tokens */
  LIM_QUEUE,     /* too many requests of this workspace are queued */
  LIM_OVER_BURST /* cost exceeds the bucket capacity: a retry cannot succeed */
};

/* Decision on admission. */
struct lim_verdict
{
  enum lim_code code;     /* LIM_OK or why not */
  int64_t retry_after_us; /* when a retry may succeed, 0 if never */
};

void lim_init (struct lim_workspace *w, const struct lim_opts *opts,
               int64_t now_us);
struct lim_verdict lim_admit (struct lim_workspace *w, int64_t now_us,
                              int64_t cost_tokens, int64_t body_bytes);
void lim_refund (struct lim_workspace *w, int64_t tokens);
const char *lim_name (enum lim_code code);

/* --- fq: fair queue of a service ------------------------------------- */

enum fq_class
{
  FQ_URGENT,
  FQ_NORMAL,
  FQ_CLASSES
};

struct fq_flow;

/* A waiting request; embedded in the request itself. */
struct fq_entry
{
  APR_RING_ENTRY (fq_entry) link; /* in the queue of its flow */
  struct fq_flow *flow; /* flow in which it is queued, NULL if none */
  int64_t cost;         /* tokens, or 1 for a call of a plain service */
  int64_t deadline_us;  /* must have started before this time */
  int64_t queued_us;    /* time at which it was queued */
};

/* Queued requests of one workspace and class for one service. */
struct fq_flow
{
  APR_RING_ENTRY (fq_flow) link;          /* among the active flows */
  APR_RING_HEAD (fq_list, fq_entry) list; /* waiting requests, oldest first */
  struct lim_workspace *workspace;        /* its concurrency limit applies */
  enum fq_class class;                    /* urgent or normal */
  int64_t deficit; /* cost it may still spend in this round */
  int queued;      /* entries in the list */
  int running;     /* slots it holds */
};

APR_RING_HEAD (fq_ring, fq_flow);

/* The queue of a service. */
struct fq
{
  struct fq_ring active[FQ_CLASSES]; /* flows with entries, round robin */
  int flows[FQ_CLASSES];             /* number of active flows by class */
  int queued[FQ_CLASSES];            /* number of entries by class */
  int queue_max;                     /* limit on the entries of all classes */
  int urgent_reserve;                /* slots reserved for urgent requests */
  int64_t quantum;                   /* cost granted to a flow in each round */
  int64_t hold_us; /* smoothed time for which a slot is held */
};

enum fq_code
{
  FQ_QUEUED,
  FQ_FULL,    /* the queue is full */
  FQ_TOO_LATE /* it is not expected to start before its deadline */
};

/* Decision on queueing. */
struct fq_verdict
{
  enum fq_code code;        /* FQ_QUEUED or why not */
  int64_t wait_us;          /* expected wait, for Retry-After */
  struct fq_entry *evicted; /* entry evicted by this one: answer it not-run */
};

void fq_init (struct fq *q, int queue_max, int reserve, int64_t quantum);
void fq_flow_init (struct fq_flow *f, struct lim_workspace *w,
                   enum fq_class class);
struct fq_verdict fq_push (struct fq *q, struct fq_flow *f, struct fq_entry *e,
                           int slots, int64_t now_us);
struct fq_entry *fq_pop (struct fq *q, int free_slots, int share_slots);
void fq_finished (struct fq_flow *f);
void fq_remove (struct fq *q, struct fq_entry *e);
void fq_add_hold_time (struct fq *q, int64_t held_us);

/* --- pfx: which endpoint is likely to hold which prompt prefix ------- */

#define PFX_BLOCK_BYTES 512 /* prompt bytes covered by one digest */
#define PFX_MAX_BLOCKS 256  /* further blocks of a prompt are not indexed */
#define PFX_HOLDERS 4       /* endpoints recorded for one prefix */
#define PFX_KEY_BYTES 32    /* size of the key of a scope's digests */

/* Scope of a prefix: digests of different scopes are unrelated. */
struct pfx_scope
{
  uint8_t key[PFX_KEY_BYTES]; /* workspace, service, version, adapter */
};

void pfx_scope_init (struct pfx_scope *scope, const char *workspace,
                     const char *service, const char *version,
                     const char *adapter);
int pfx_chain (const struct pfx_scope *scope, const char *text, size_t len,
               uint64_t *digests, int max);

/* An endpoint and the number of leading blocks it probably holds. */
struct pfx_hit
{
  int endpoint;             /* index in the routing table */
  int blocks;               /* leading blocks of the prompt */
  int probability_permille; /* probability that it still holds them */
};

struct pfx;

struct pfx *pfx_new (size_t max_entries, int endpoints);
void pfx_free (struct pfx *p);
size_t pfx_count (const struct pfx *p);

/* Cache of an endpoint: sets its capacity in tokens, sets the tokens written
   to it so far as counted in its report, and adds tokens sent to it since. */
void pfx_set_capacity (struct pfx *p, int endpoint, int64_t tokens);
void pfx_set_filled (struct pfx *p, int endpoint, int64_t tokens);
void pfx_add_filled (struct pfx *p, int endpoint, int64_t tokens);

/* Records or removes the prefixes that an endpoint holds. */
void pfx_record (struct pfx *p, const uint64_t *digests, int n, int endpoint);
void pfx_remove (struct pfx *p, uint64_t digest, int endpoint);
void pfx_remove_beyond (struct pfx *p, const uint64_t *digests, int n,
                        int endpoint, int blocks);

/* Some cache events of an endpoint were lost; its cache was emptied. */
void pfx_mark_gap (struct pfx *p, int endpoint);
void pfx_invalidate_endpoint (struct pfx *p, int endpoint);

int pfx_lookup (struct pfx *p, const uint64_t *digests, int n,
                struct pfx_hit *hits, int max_hits);

/* --- route: choice of an endpoint ------------------------------------ */

/* Properties of an endpoint that the settings declare. */
struct route_opts
{
  const char *name;         /* endpoint name; must outlive the table */
  int service;              /* index of its service */
  bool local;               /* in this VM's failure domain */
  int64_t rtt_us;           /* network round-trip time */
  int slots;                /* requests it runs at once */
  int64_t prefill_tokens_s; /* prompt tokens/s, 0 for plain services */
  int64_t decode_us;        /* time for each generated token */
};

/* Last load report of an endpoint, received with a delay. */
struct route_report
{
  int64_t at_us;         /* when it was true, from its age; 0 for no report */
  int running;           /* requests that it ran */
  int64_t queued_tokens; /* queued prompt tokens */
  char version[40];      /* weight version that it serves */
  char build[40];        /* version of its software, "" if not reported */
  char incarnation[40];  /* one run of the endpoint */
  bool leaving;          /* it reported that it is leaving */
};

/* Result of a call to an endpoint, for its health state. */
enum route_result
{
  ROUTE_REACHED,     /* it answered */
  ROUTE_CONN_BROKEN, /* its connection broke or stalled */
  ROUTE_UNREACHABLE  /* the connection failed */
};

enum route_state
{
  ROUTE_OK,
  ROUTE_EJECTED,  /* failed recently; retried after a backoff */
  ROUTE_DRAINING, /* an operator drained it */
  ROUTE_LEAVING   /* its incarnation is leaving: sticky */
};

#define ROUTE_SENDS 32 /* recent sends that are added to a delayed report */

/* A request that was sent to an endpoint. */
struct route_send
{
  int64_t at_us;  /* time of the send */
  int64_t tokens; /* prompt tokens that the endpoint has to prefill */
};

/* An endpoint as this VM sees it. */
struct route_endpoint
{
  struct route_opts opts;               /* from the settings */
  struct route_report report;           /* last report */
  int running;                          /* requests of this VM that it runs */
  struct route_send sends[ROUTE_SENDS]; /* latest requests sent to it */
  unsigned nsends;       /* requests ever sent; the latest is kept at
                            (nsends - 1) % ROUTE_SENDS */
  int done_since_report; /* requests completed since the report */
  int ejections;         /* successive ejections, which double the backoff */
  int broken_conns;      /* consecutive broken connections */
  int64_t retry_us;      /* end of the backoff */
  bool draining;         /* drained by an operator */
  bool removed;          /* removed from the settings */
  char leaving_incarnation[40]; /* incarnation that reported it is leaving */
};

struct route_table;

/* Inputs of the choice of an endpoint for one request. */
struct route_query
{
  int service;           /* index of the service */
  const char *version;   /* weight version, NULL for plain services */
  const char *build;     /* version of the endpoint's software, NULL for any */
  int64_t prompt_tokens; /* tokens of the prompt */
  const struct pfx_hit *hits; /* endpoints that probably cache a prefix */
  int nhits;                  /* entries in hits */
  int block_tokens;           /* tokens in one prefix block */
  const struct plan_source *sources; /* stores that hold a part of it */
  int nsources;                      /* entries in sources */
  struct plan_weights weights;       /* weights declared by the service */
  const int *exclude; /* endpoints that must not be chosen again */
  int nexclude;       /* entries in exclude */
};

/* Why no endpoint was chosen, or ROUTE_CHOSEN. */
enum route_code
{
  ROUTE_CHOSEN,
  ROUTE_NO_ENDPOINT, /* none serves this service */
  ROUTE_NO_VERSION,  /* none reports the required weights and build */
  ROUTE_ALL_DOWN,    /* all are ejected, draining or leaving */
  ROUTE_BUSY         /* no endpoint has a free slot */
};

/* The chosen endpoint and the terms of its score. */
struct route_choice
{
  enum route_code code;  /* ROUTE_CHOSEN or why none was chosen */
  int endpoint;          /* chosen endpoint */
  int64_t cost_us;       /* expected time to first token */
  int64_t queue_us;      /* expected wait at the endpoint */
  int64_t compute_us;    /* time to prefill the tokens that are not there */
  int64_t network_us;    /* round trip */
  int64_t cached_tokens; /* tokens expected in its cache */
  int store;             /* store to import from, -1 for none */
  int64_t import_tokens; /* tokens to import */
  int64_t import_us;     /* wait for the link, and transfer */
  int64_t score;         /* weighted sum; the least is best */
  int candidates;        /* eligible endpoints that were compared */
  int near_best;         /* of these, close to the best score */
};

struct route_table *route_new (uint64_t seed);
void route_free (struct route_table *t);
int route_add (struct route_table *t, const struct route_opts *opts);
int route_count (const struct route_table *t);
struct route_endpoint *route_get (struct route_table *t, int endpoint);
enum route_state route_state (const struct route_endpoint *e, int64_t now_us);
struct route_choice route_pick (struct route_table *t,
                                const struct route_query *q, int64_t now_us);
int route_slots (const struct route_table *t, int service, int64_t now_us);
int route_free_slots (const struct route_table *t, int service,
                      int64_t now_us);
void route_sent (struct route_table *t, int endpoint, int64_t prompt_tokens,
                 int64_t now_us);
void route_done (struct route_table *t, int endpoint);
void route_result (struct route_table *t, int endpoint,
                   enum route_result result, int64_t now_us);
void route_set_report (struct route_table *t, int endpoint,
                       const struct route_report *report);
const char *route_code_name (enum route_code code);
const char *route_state_name (enum route_state state);

/* --- claim: at most one run of a non-idempotent call ----------------- */

enum claim_phase
{
  CLAIM_HELD, /* an attempt owns the run, no answer is recorded yet */
  CLAIM_DONE  /* the answer is recorded */
};

/* A claim row as read from the table. */
struct claim_row
{
  enum claim_phase phase; /* state of the row */
  const char *attempt;    /* attempt id of the owner */
  const char *digest;     /* digest of the request, to catch reuse */
  int64_t give_up_ms;     /* wall-clock time by which the owner has given up */
};

enum claim_code
{
  CLAIM_OWN,     /* this attempt owns the run */
  CLAIM_REPLAY,  /* return the recorded answer */
  CLAIM_WAIT,    /* another attempt may be running: read the row again later */
  CLAIM_LOST,    /* the owner gave up without recording an answer: unknown */
  CLAIM_MISMATCH /* the key was used for a different request */
};

enum claim_code claim_evaluate (const struct claim_row *row,
                                const char *attempt, const char *digest,
                                int64_t wall_ms);
bool claim_may_send (int64_t claimed_us, int64_t send_within_us,
                     int64_t now_us);
const char *claim_name (enum claim_code code);

#endif
