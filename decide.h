/*
 * Public header of the deciding library.
 *
 * Everything here is pure: state and the present time go in, a value and a
 * reason come out.  No function does I/O, takes a lock, reads a clock or uses
 * global randomness, so that a test or a bench can drive it with its own time.
 * The caller holds the lock that guards the state (see docs/DESIGN.md).
 *
 * Times are microseconds of a clock that never goes back (CLOCK_BOOTTIME in
 * the server); durations end in _us or _ms.
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

/* --- outcome: what became of a request ------------------------------- */

/* What the caller is told.  These four words are part of the interface. */
enum outcome
{
  OUT_ANSWERED, /* the endpoint's own answer, whole */
  OUT_NOT_RUN,  /* refused: nothing was run, asking again is safe */
  OUT_UNKNOWN,  /* it may have run; the system will not run it again */
  OUT_FAILED    /* it ran, and failed */
};

/* How far one attempt got; the adapter that sends reports only this. */
enum send_state
{
  SEND_NONE,    /* no byte was handed to a connection */
  SEND_PARTIAL, /* a byte or more was handed over, no reply status yet */
  SEND_REFUSED, /* the endpoint's declared refusal: it did not start */
  SEND_REPLIED, /* a reply status arrived, the body is not whole */
  SEND_WHOLE    /* the reply arrived whole */
};

/* What the request may do next. */
enum out_next
{
  NEXT_FINISH, /* tell the caller */
  NEXT_RETRY,  /* start over at another endpoint */
  NEXT_RESUME  /* continue at a token offset at another endpoint */
};

/* Facts on which one attempt is judged. */
struct out_facts
{
  enum send_state sent;  /* how far the attempt got */
  int status;            /* HTTP status when SEND_REPLIED or SEND_WHOLE */
  bool repeatable;       /* the service is declared idempotent */
  bool ran_before;       /* an earlier attempt may have run */
  bool caller_has_bytes; /* part of an answer went to the caller */
  bool resumable;        /* the stream can continue at a token offset */
  bool attempts_left;    /* attempts and retry budget allow another */
  bool deadline_passed;  /* no time is left for another attempt */
};

/* Judgement on one attempt. */
struct out_verdict
{
  enum out_next next;   /* what to do */
  enum outcome outcome; /* what to tell the caller if NEXT_FINISH */
  const char *reason;   /* stable word for logs and error codes */
};

/* The word for an outcome, as in the Camphorquay-Outcome header. */
const char *out_name (enum outcome outcome);

const char *out_send_name (enum send_state sent);
const char *out_next_name (enum out_next next);

/* Judge an attempt: the only place that may turn a send state into not-run. */
struct out_verdict out_judge (const struct out_facts *facts);

/* Outcome of giving up before the next attempt. */
enum outcome out_refused (bool may_have_run, bool repeatable);

/* --- share: whose requests are refused when some must be -------------- */

#define SHARE_MAX 64       /* workspaces that are told apart */
#define SHARE_ALL 1000     /* permille that stand for all requests */
#define SHARE_NAME_SIZE 64 /* bytes of a workspace's name with its NUL */

/* What one workspace asked of a service lately. */
struct share_entry
{
  char name[SHARE_NAME_SIZE]; /* of the workspace */
  int64_t work;               /* asked for; old work counts for less */
};

/* What workspaces asked of a service lately. */
struct share
{
  struct share_entry entries[SHARE_MAX]; /* the ones told apart */
  int n;                                 /* entries in use */
  int64_t aged_us;                       /* old work was last counted down */
};

/* WORKSPACE asks for WORK, in any unit that is the same for all. */
void share_ask (struct share *s, const char *workspace, int64_t work,
                int64_t now_us);
/* Permille of the requests of WORKSPACE to keep, if KEEP of all work can be
   kept: equal shares for all, and what one does not need for the others. */
int share_keep (const struct share *s, const char *workspace, int keep);

/* --- admit: how much of what is asked of a service is let in ---------- */

/* Urgencies 0 to 9, 0 the most urgent, of callers who ask for the first time,
   and behind them the same of those who return. */
#define ADMIT_RANKS 20

/* Admission to one service, as one VM sees it. */
struct admit
{
  int keep;             /* permille of the work asked for that is let in */
  int64_t pressure;     /* smoothed, permille of its aim */
  int64_t last_mean;    /* the same of the last step, not smoothed */
  int64_t step_us;      /* when keep was changed last */
  int64_t seen_us;      /* when the last answer came, 0 for never */
  int answers;          /* since the last step */
  int64_t pressure_sum; /* of these answers, permille of the aim each */
  int64_t asked[ADMIT_RANKS]; /* work asked for; old work counts less */
  int64_t aged_us;            /* when old work was last counted down */
};

/* What an answer shows of its endpoint. */
struct admit_seen
{
  int64_t wait_us;   /* for its first piece */
  int64_t target_us; /* in which that should have come, 0 if unsaid */
  int running;       /* requests that run there, -1 if unsaid */
  int waiting;       /* requests that wait there */
};

void admit_init (struct admit *a);
void admit_answered (struct admit *a, const struct admit_seen *seen,
                     int64_t now_us);
/* Permille of the work asked for that can be let in. */
int admit_keep (const struct admit *a, int64_t now_us);
/* Whether a caller with LEFT_US has waited before, going by the USUAL_US of
   others, 0 at first, which is kept up. */
bool admit_has_returned (int64_t *usual_us, int64_t left_us);
/* Which callers go first: a lower rank does. */
int admit_rank (int urgency, bool returned);
/* A request of RANK asks for WORK, in any unit that is the same for all. */
void admit_ask (struct admit *a, int rank, int64_t work, int64_t now_us);
/* Permille of the requests of RANK to let in, if KEEP of all work can be. */
int admit_keep_rank (const struct admit *a, int rank, int keep);

/* --- budget: retries as a share of requests -------------------------- */

/* Retry budget of a service: an outage must not be doubled by retries. */
struct budget
{
  int64_t level_milli; /* thousandths of a retry that may be spent */
  int64_t cap_milli;   /* the level never exceeds this */
  int64_t per_request; /* thousandths earned by each first attempt */
};

void budget_init (struct budget *b, int percent, int burst);
void budget_earn (struct budget *b);
bool budget_spend (struct budget *b);

/* --- lim: limits of a workspace -------------------------------------- */

/* Declared limits of a workspace. */
struct lim_opts
{
  int concurrency;     /* requests running at once */
  int queue_max;       /* requests waiting at once */
  int64_t body_max;    /* bytes of one request body */
  int64_t tokens_s;    /* model tokens a second, 0 for no limit */
  int64_t token_burst; /* tokens that may be spent at once */
};

/* Running state of a workspace on this VM. */
struct lim_workspace
{
  struct lim_opts opts; /* declared limits */
  int64_t level;        /* tokens that may be spent now */
  int64_t filled_us;    /* time up to which the bucket was filled */
  int running;          /* requests that hold an endpoint's place */
  int queued;           /* requests that wait */
};

enum lim_code
{
  LIM_OK,
  LIM_BODY,   /* body larger than body_max */
  LIM_TOKENS, /* token rate spent */
  LIM_QUEUE,  /* too many requests of this workspace wait */
  LIM_NEVER   /* cost exceeds the burst: no waiting will help */
};

/* Judgement on admission. */
struct lim_verdict
{
  enum lim_code code;     /* LIM_OK or why not */
  int64_t retry_after_us; /* when asking again can help, 0 if never */
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
  APR_RING_ENTRY (fq_entry) link; /* in the flow */
  struct fq_flow *flow;           /* where it waits, NULL when it does not */
  int64_t cost;                   /* tokens, or 1 for a plain call */
  int64_t deadline_us;            /* must have started by then */
  int64_t pushed_us;              /* when it was queued */
};

/* Requests of one workspace and class that wait for one service. */
struct fq_flow
{
  APR_RING_ENTRY (fq_flow) link;          /* among the active flows */
  APR_RING_HEAD (fq_list, fq_entry) list; /* waiting requests, oldest first */
  struct lim_workspace *workspace;        /* whose concurrency counts */
  enum fq_class class;                    /* urgent or normal */
  int64_t deficit;                        /* cost it may still spend */
  int queued;                             /* entries in the list */
  int running;                            /* places it holds */
};

APR_RING_HEAD (fq_ring, fq_flow);

/* The queue of a service. */
struct fq
{
  struct fq_ring active[FQ_CLASSES]; /* flows with entries, in turn */
  int flows[FQ_CLASSES];             /* active flows of each class */
  int queued[FQ_CLASSES];            /* entries of each class */
  int queue_max;                     /* entries in all */
  int reserve;                       /* places that only urgent work takes */
  int64_t quantum;                   /* cost granted to a flow each turn */
  int64_t hold_us;                   /* smoothed time a place is held */
};

enum fq_code
{
  FQ_QUEUED,
  FQ_FULL,    /* no place in the queue */
  FQ_TOO_LATE /* it would not start before its deadline */
};

/* Judgement on queueing. */
struct fq_verdict
{
  enum fq_code code;       /* FQ_QUEUED or why not */
  int64_t wait_us;         /* expected wait, for Retry-After */
  struct fq_entry *victim; /* pushed out by this one: answer it not-run */
};

void fq_init (struct fq *q, int queue_max, int reserve, int64_t quantum);
void fq_flow_init (struct fq_flow *f, struct lim_workspace *w,
                   enum fq_class class);
struct fq_verdict fq_push (struct fq *q, struct fq_flow *f, struct fq_entry *e,
                           int places, int64_t now_us);
struct fq_entry *fq_pop (struct fq *q, int free_places, int share_places);
void fq_finished (struct fq_flow *f);
void fq_remove (struct fq *q, struct fq_entry *e);
void fq_held (struct fq *q, int64_t held_us);

/* --- pfx: which endpoint is likely to hold which prompt prefix ------- */

#define PFX_BLOCK_BYTES 512 /* prompt bytes under one digest */
#define PFX_MAX_BLOCKS 256  /* longer prompts are followed to this depth */
#define PFX_HOLDERS 4       /* endpoints remembered for one prefix */
#define PFX_KEY_BYTES 32    /* key of a workspace's digests */

/* Scope of a prefix: digests of two scopes never meet. */
struct pfx_scope
{
  uint8_t key[PFX_KEY_BYTES]; /* from workspace, service, version, adapter */
};

void pfx_scope_init (struct pfx_scope *scope, const char *workspace,
                     const char *service, const char *version,
                     const char *adapter);
int pfx_chain (const struct pfx_scope *scope, const char *text, size_t len,
               uint64_t *digests, int max);

/* An endpoint and the number of leading blocks it is believed to hold. */
struct pfx_hit
{
  int endpoint; /* index in the routing table */
  int blocks;   /* leading blocks of the prompt */
  int permille; /* how likely they are still there */
};

struct pfx;

struct pfx *pfx_new (size_t max_entries, int endpoints);
void pfx_free (struct pfx *p);
size_t pfx_count (const struct pfx *p);

/* An endpoint's memory: how many tokens it holds, and how many were put into
   it so far, by its own count in a report or as sent since. */
void pfx_capacity (struct pfx *p, int endpoint, int64_t tokens);
void pfx_filled (struct pfx *p, int endpoint, int64_t tokens);
void pfx_sent (struct pfx *p, int endpoint, int64_t tokens);

/* What is known of one prompt at one endpoint. */
void pfx_learn (struct pfx *p, const uint64_t *digests, int n, int endpoint);
void pfx_removed (struct pfx *p, uint64_t digest, int endpoint);
void pfx_counted (struct pfx *p, const uint64_t *digests, int n, int endpoint,
                  int blocks);

/* Events of an endpoint were lost; or all it held is gone. */
void pfx_gap (struct pfx *p, int endpoint);
void pfx_forget_endpoint (struct pfx *p, int endpoint);

int pfx_lookup (struct pfx *p, const uint64_t *digests, int n,
                struct pfx_hit *hits, int max_hits);

/* --- route: choice of an endpoint ------------------------------------ */

/* What an endpoint declares about itself in the settings. */
struct route_opts
{
  const char *name;         /* endpoint name; must outlive the table */
  int service;              /* index of its service */
  bool local;               /* in this VM's failure domain */
  int64_t rtt_us;           /* round trip to reach it */
  int slots;                /* requests it runs at once */
  int64_t prefill_tokens_s; /* prompt tokens a second, 0 for plain calls */
  int64_t decode_us;        /* time for each generated token */
};

/* What an endpoint last said about itself, with a lag. */
struct route_report
{
  int64_t at_us;         /* when that was so, by its age; 0 for never */
  int running;           /* requests it ran then */
  int64_t queued_tokens; /* prompt tokens waiting then */
  char version[40];      /* weight version it serves */
  char incarnation[40];  /* which life of that address this is */
  bool leaving;          /* it said it is leaving */
};

/* How a call to an endpoint ended, as far as the endpoint is to blame. */
enum route_result
{
  ROUTE_REACHED,  /* it answered */
  ROUTE_BROKE,    /* its connection broke, or stopped moving */
  ROUTE_UNREACHED /* no connection */
};

enum route_state
{
  ROUTE_OK,
  ROUTE_EJECTED,  /* failed lately; tried again after a pause */
  ROUTE_DRAINING, /* an operator took it out */
  ROUTE_LEAVING   /* its incarnation is leaving: sticky */
};

#define ROUTE_SENDS 32 /* sends remembered, to bridge the lag of reports */

/* A request that was sent to an endpoint. */
struct route_send
{
  int64_t at_us;  /* when */
  int64_t tokens; /* prompt tokens it has to compute */
};

/* An endpoint as this VM sees it. */
struct route_endpoint
{
  struct route_opts opts;               /* declared */
  struct route_report report;           /* last report */
  int running;                          /* our requests at it now */
  struct route_send sends[ROUTE_SENDS]; /* latest requests sent to it */
  unsigned nsends;  /* requests ever sent; the latest is kept at
                       (nsends - 1) % ROUTE_SENDS */
  int done_since;   /* requests that ended since the report */
  int fails;        /* failures in a row since the ejection */
  int breaks;       /* broken connections in a row */
  int64_t retry_us; /* not before this time after a failure */
  bool draining;    /* taken out by an operator */
  bool removed;     /* taken out of the settings */
  char left[40];    /* incarnation that is leaving, sticky */
};

struct route_table;

/* A request as routing sees it. */
struct route_query
{
  int service;                /* index of the service */
  const char *version;        /* weight version, NULL for plain services */
  int64_t prompt_tokens;      /* tokens to process before the first */
  const struct pfx_hit *hits; /* believed cached prefixes */
  int nhits;                  /* entries in hits */
  int block_tokens;           /* tokens in one prefix block */
  const struct plan_source *sources; /* stores that hold a head of it */
  int nsources;                      /* entries in sources */
  struct plan_weights weights;       /* declared by the service */
  const int *exclude;                /* endpoints that failed this request */
  int nexclude;                      /* entries in exclude */
};

/* Why no endpoint was chosen, or ROUTE_CHOSEN. */
enum route_code
{
  ROUTE_CHOSEN,
  ROUTE_NO_ENDPOINT, /* none serves this service */
  ROUTE_NO_VERSION,  /* none reports the wanted weight version */
  ROUTE_ALL_DOWN,    /* all are ejected, draining or leaving */
  ROUTE_BUSY         /* no free place */
};

/* The choice, with the terms that led to it. */
struct route_choice
{
  enum route_code code;  /* whether and why not */
  int endpoint;          /* chosen endpoint */
  int64_t cost_us;       /* sum of the terms */
  int64_t queue_us;      /* expected wait at the endpoint */
  int64_t compute_us;    /* prompt tokens that are not cached */
  int64_t network_us;    /* round trip */
  int64_t cached_tokens; /* tokens expected in its cache */
  int store;             /* store to import from, -1 for none */
  int64_t import_tokens; /* tokens to import */
  int64_t import_us;     /* wait for the link and transfer */
  int64_t score;         /* weighted sum that was compared */
  int candidates;        /* endpoints that could be chosen */
  int near;              /* of these, near enough to the best */
};

struct route_table *route_new (uint64_t seed);
void route_free (struct route_table *t);
int route_add (struct route_table *t, const struct route_opts *opts);
int route_count (const struct route_table *t);
struct route_endpoint *route_get (struct route_table *t, int endpoint);
enum route_state route_state (const struct route_endpoint *e, int64_t now_us);
struct route_choice route_pick (struct route_table *t,
                                const struct route_query *q, int64_t now_us);
int route_places (const struct route_table *t, int service, int64_t now_us);
int route_free_places (const struct route_table *t, int service,
                       int64_t now_us);
void route_sent (struct route_table *t, int endpoint, int64_t prompt_tokens,
                 int64_t now_us);
void route_done (struct route_table *t, int endpoint);
void route_result (struct route_table *t, int endpoint,
                   enum route_result result, int64_t now_us);
void route_reported (struct route_table *t, int endpoint,
                     const struct route_report *report);
const char *route_code_name (enum route_code code);
const char *route_state_name (enum route_state state);

/* --- claim: at most one run of a call that may not repeat ------------ */

enum claim_phase
{
  CLAIM_HELD, /* somebody owns the run, its end is not recorded */
  CLAIM_DONE  /* the answer is recorded */
};

/* A claim row as read from the table. */
struct claim_row
{
  enum claim_phase phase; /* held or done */
  const char *attempt;    /* attempt id of the owner */
  const char *digest;     /* digest of the request, to catch reuse */
  int64_t give_up_ms;     /* wall clock: the owner has stopped by then */
};

enum claim_code
{
  CLAIM_OWN,     /* this attempt owns the run */
  CLAIM_REPLAY,  /* answer with the recorded answer */
  CLAIM_WAIT,    /* another attempt may be running: read again later */
  CLAIM_LOST,    /* the owner never recorded an end: unknown */
  CLAIM_MISMATCH /* the key was used for another request */
};

enum claim_code claim_judge (const struct claim_row *row, const char *attempt,
                             const char *digest, int64_t wall_ms);
bool claim_may_send (int64_t claimed_us, int64_t send_within_us,
                     int64_t now_us);
const char *claim_name (enum claim_code code);

#endif
