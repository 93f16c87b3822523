/*
 * Internal header of the server library.
 *
 * Lock order: lim_lock, then route_lock, then the history's lock, then a
 * loop's mailbox.  No lock is held while a callback, an adapter or a reply is
 * called.  Only its worker's thread may touch a job or a req; other threads
 * post messages to that worker's loop.
 */
#ifndef CQ_LIBSERVER_H
#define CQ_LIBSERVER_H

#include <glib.h>

#include "adapter.h"
#include "decide.h"
#include "log.h"
#include "longreply.h"
#include "loop.h"
#include "met.h"
#include "server.h"
#include "settings.h"
#include "wire.h"
#include "xfer.h"

#define ID_SIZE 20          /* bytes of a request id, including NUL */
#define MAX_ATTEMPTS 16     /* attempts for one request */
#define MAX_REFUSALS 8      /* refusal_statuses of a service */
#define ATTEMPT_ID_SIZE 100 /* bytes of a claim's attempt id and NUL */
#define DIGEST_SIZE 33      /* bytes of a hex digest, including NUL */
#define SETTINGS_FILES 2    /* base file and overlay file */

struct claims;
struct conf;
struct entry;
struct history;
struct job;
struct kvcache;
struct member;
struct req;
struct server;

/* --- server ---------------------------------------------------------- */

/* Phases of a VM, from start to stop. */
enum phase
{
  PHASE_STARTING, /* no load reports of the endpoints yet */
  PHASE_SERVING,
  PHASE_NOTICE,   /* health check fails, but requests are served */
  PHASE_DRAINING, /* refuses new requests, finishes running ones */
  PHASE_STOPPED
};

/* State of a service on this VM; guarded by lim_lock. */
struct service
{
  const struct cfg_service *cfg;      /* its settings */
  int index;                          /* index in the settings */
  struct fq queue;                    /* queued requests */
  struct budget budget;               /* retry budget */
  int refusal_statuses[MAX_REFUSALS]; /* HTTP statuses that mean the call did
                                         not run */
  int nrefusal_statuses;              /* entries in refusal_statuses */
};

/* State of a workspace on this VM; guarded by lim_lock. */
struct workspace
{
  const struct cfg_workspace *cfg; /* its settings */
  int index;                       /* index in the settings */
  struct lim_workspace lim;        /* rate and token limits */
  struct fq_flow **flows; /* per service and class, allocated on first use */
};

/* One worker: a thread with its loop, callers' connections and transfers. */
struct worker
{
  struct server *server;         /* server that it belongs to */
  int index;                     /* index in server->workers */
  GThread *thread;               /* thread that runs the loop */
  struct loop *loop;             /* event loop */
  struct http_listener *door;    /* listener for callers' connections */
  struct xfer_pool *pool;        /* transfers to endpoints and the platform */
  struct endpoint_ops endpoints; /* adapter for endpoints */
  struct object_ops
      objects; /* adapter for the object store; ctx is NULL if unset */
  struct store_ops stores;            /* adapter for KV stores */
  APR_RING_HEAD (job_list, job) jobs; /* live jobs */
  int njobs;                          /* entries in jobs */
  struct loop_timer sweep_timer;      /* runs job_sweep while there are jobs */
  struct loop_msg stop_requests_msg;  /* posted to end all requests */
  struct loop_msg stop_msg;           /* posted to end the loop */
};

struct server
{
  struct cfg *cfg;     /* settings in force; atomic, see applycfg.c */
  GList *retired_cfgs; /* replaced settings, freed after OLD_CFG_US */
  struct loop_timer retired_timer;            /* frees retired_cfgs */
  const char *settings_files[SETTINGS_FILES]; /* base file and overlay file */
  struct member *member;    /* membership and other VMs; NULL without peers */
  struct conf *conf;        /* settings changes; NULL without a table */
  struct table_ops table;   /* adapter, used on the first worker's thread */
  struct worker *workers;   /* all workers */
  int nworkers;             /* entries in workers */
  apr_pool_t *pool;         /* freed with the server */
  int listen_fd;            /* listening socket, shared by the workers */
  int phase;                /* enum phase; atomic */
  int live_jobs;            /* unfinished jobs of all workers; atomic */
  int64_t body_bytes;       /* memory held by request bodies; atomic */
  int64_t body_bytes_max;   /* limit of body_bytes; atomic */
  GMutex lim_lock;          /* guards services and workspaces */
  struct service *services; /* by index in the settings */
  int max_services;         /* allocated entries */
  struct workspace *workspaces; /* by index in the settings */
  int max_workspaces;           /* allocated entries */
  int max_endpoints;            /* allocated entries */
  int max_stores;               /* allocated entries */
  GMutex route_lock;            /* guards routes and prefixes */
  struct route_table *routes;   /* endpoints and their load */
  struct pfx *prefixes;    /* which endpoints cache which prompt prefixes */
  struct history *history; /* recently finished requests */
  struct claims *claims; /* runs operations on claims; NULL without a table */
  struct kvcache *kvcache; /* KV cache kept in stores; guarded by route_lock */
  struct entry *entry;     /* relayed requests, or NULL */
  struct poller *poller;   /* polls endpoints for load reports */
  int64_t started_us;      /* start time of the process */
};

/* Settings groups that may be added while the VM runs. */
#define SPARE_SERVICES 64
#define SPARE_WORKSPACES 4096
#define SPARE_ENDPOINTS 1024
#define SPARE_STORES 64

/* State of the VM that any thread may read (state.c). */
enum phase server_phase (struct server *s);

/* Listens on ADDRESS.  Returns the descriptor, or -1 after logging the error.
 */
int server_listen (struct server *s, const char *address);
/* The address that FD listens on, which was opened for ADDRESS; the caller
   frees it. */
char *server_address (int fd, const char *address);

/* Returns the settings in force.  The pointer stays valid until the calling
   thread returns to its event loop, and for OLD_CFG_US after a change
   replaced the settings. */
struct cfg *server_cfg (struct server *s);

/* Updates the tables of the server from CFG, at startup and after a change;
   runs on the first worker's thread.  Returns false if they are too small. */
bool server_apply_cfg (struct server *s, struct cfg *cfg);
void server_free_tables (struct server *s);
void server_set_phase (struct server *s, enum phase phase);

/* --- refusals -------------------------------------------------------- */

/* A refusal that a caller can get. */
struct refusal
{
  const char *code;    /* stable code, used in the reply and the log */
  int status;          /* HTTP status */
  const char *message; /* sentence for the caller */
};

const struct refusal *refusal_find (const char *code);
/* Converts US to whole seconds for Retry-After, rounded up. */
int refusal_retry_after_s (int64_t us);

/* --- incoming requests (httpserver.c) ---------------------------------------
 */

struct http_listener;

/* Callbacks of a listener; all run on its worker's thread. */
struct http_listener_ops
{
  /* The header was read: sets body_max, or replies at once. */
  void (*head) (struct req *r, const char *method);
  /* The request is complete, or r->excess tells why its body is not. */
  void (*start) (struct req *r);
  /* The caller read bytes of a stream; may be NULL. */
  void (*drained) (struct req *r);
  /* The request ended, whether or not it was answered; may be NULL. */
  void (*closed) (struct req *r);
};

struct http_listener_opts
{
  const struct http_listener_ops *ops; /* callbacks */
  void *owner;    /* context for the callbacks, kept in door->owner */
  int close_from; /* enum phase from which replies close the connection */
  unsigned connections;     /* maximum number of connections */
  unsigned idle_timeout_s;  /* idle timeout in seconds */
  size_t connection_memory; /* bytes per connection, for header and buffers */
};

/* A listening address on one worker. */
struct http_listener
{
  struct worker *worker;               /* worker that it runs on */
  const struct http_listener_ops *ops; /* callbacks */
  void *owner;                         /* context for the callbacks */
  int close_from; /* enum phase from which replies close the connection */
  struct MHD_Daemon *daemon; /* HTTP server */
  struct loop_fd *fd;        /* epoll descriptor of the daemon */
  struct loop_hook hook;    /* runs the daemon in each iteration of the loop */
  bool quiesced;            /* accepts no more connections */
  size_t connection_memory; /* bytes per connection */
  int64_t idle_us;          /* idle timeout, unless a request sets its own */
  struct longreply_ring long_replies; /* being written without the daemon */
};

/* Why a body was rejected. */
enum req_excess
{
  EXCESS_NONE,
  EXCESS_BODY,  /* exceeds body_max of the request */
  EXCESS_MEMORY /* exceeds the memory for all bodies */
};

enum req_key
{
  KEY_NONE,
  KEY_WORKSPACE,
  KEY_OPERATOR
};

/* An entry of the routing table. */
struct req_route
{
  const char *method;            /* GET or POST */
  const char *path;              /* exact path, or prefix ending in "/" */
  enum req_key auth;             /* kind of key that the caller needs */
  void (*start) (struct req *r); /* called once the request is complete */
};

/* A caller's request; used only on its worker's thread. */
struct req
{
  struct http_listener *listener;      /* listener that accepted it */
  const struct http_listener_ops *ops; /* callbacks, at first the listener's */
  void *owner;                         /* context for them */
  void *work;                          /* state of the listener's owner */
  struct worker *worker;               /* worker that it runs on */
  struct MHD_Connection *conn;         /* its connection */
  const struct req_route *route; /* matching entry of the routing table */
  char *target;                  /* path and query as sent */
  bool head_seen;                /* the header was processed */
  char *path;                    /* complete path, decoded */
  const char *rest;              /* path after the route's prefix */
  char id[ID_SIZE];              /* request id */
  int workspace;                 /* index of the caller's workspace, or -1 */
  int operator_index;            /* index of the operator, or -1 */
  GString *body;                 /* request body */
  size_t body_max;               /* bytes allowed in the body */
  enum req_excess excess;        /* why the body was rejected */
  size_t dropped;                /* bytes of the body discarded after that */
  bool body_read;                /* the whole body was read, or there is
                                    none */
  bool started;                  /* ops->start was called */
  bool suspended;                /* its connection is suspended */
  bool is_disconnected;          /* the caller disconnected */
  int64_t arrived_us;            /* when the body was complete */
  struct MHD_Response *response; /* reply to queue */
  int status;                    /* its HTTP status */
  struct longreply *long_reply;  /* the reply, if it is written without the
                                    daemon */
  int64_t idle_us;               /* idle timeout of the connection */
  bool is_head;                  /* the method is HEAD */
  bool queued;                   /* the reply was queued */
  GString *out;                  /* stream bytes to write */
  size_t out_used;               /* bytes of out already written */
  bool out_ended;                /* the stream has ended */
  bool out_aborted;              /* close the stream without its last chunk */
  bool out_chunked;              /* the caller reads chunked replies */
  struct job *job;               /* job that runs the request, or NULL */
};

/* A complete reply. */
struct reply
{
  int status;               /* HTTP status */
  const char *content_type; /* content type of the body */
  const char *body;         /* body; copied */
  size_t len;               /* bytes of the body */
  const char *outcome;      /* value of Camphorquay-Outcome */
  int retry_after_s;        /* value of Retry-After, 0 for none */
};

typedef void (*req_header_fn) (void *arg, const char *name, const char *value);

const char *req_header (struct req *r, const char *name);
void req_each_header (struct req *r, req_header_fn fn, void *arg);
/* Transfers ownership of the body to the caller.  It counts towards
   body_bytes until req_free_body. */
GString *req_take_body (struct req *r);
void req_free_body (struct server *s, GString *body);
void req_set_idle_timeout (struct req *r, unsigned idle_s);
void req_respond (struct req *r, int status, const char *const *lines,
                  const char *body, size_t len);
/* Replies with HEAD, which is copied, and ROWS after it, which is not; SENT is
   called with ARG once the reply was sent or given up. */
void req_respond_parts (struct req *r, int status, const GByteArray *head,
                        GBytes *rows, void (*sent) (void *arg), void *arg);
void req_stream_open (struct req *r, int status, const char *const *lines);
void req_stream_write (struct req *r, const char *data, size_t len);
void req_stream_close (struct req *r, bool whole, const char *name,
                       const char *value);
size_t req_stream_pending (const struct req *r);
bool req_caller_disconnected (struct req *r);
void req_close_disconnected (struct req *r);

struct http_listener *
http_listener_open (struct worker *w, int listen_fd,
                    const struct http_listener_opts *opts);
void http_listener_quiesce (struct http_listener *d);
void http_listener_close (struct http_listener *d);

/* --- HTTP interface for callers and operators (api.c) ---------------- */

struct http_listener *api_open (struct worker *w);

/* --- replies of that interface (reply.c) ----------------------------- */

void req_reply (struct req *r, const struct reply *reply);
void req_reply_json (struct req *r, int status, json_t *doc);
void req_refuse (struct req *r, const char *code, int64_t retry_after_us);
void req_stream_begin (struct req *r, const char *content_type);
void req_stream_end (struct req *r, bool whole);

/* --- keys (auth.c) --------------------------------------------------- */

bool auth_matches (char *const *hashes, const char *secret);
char *auth_parse_bearer (const char *bearer, const char **secret);

/* --- callers of jobs ------------------------------------------------- */

struct job;

/* How a job reports to its caller, independent of the interface that the
   request came through; all callbacks run on its worker's thread. */
struct job_caller
{
  /* The job was created; it may end before job_start_* returns. */
  void (*started) (void *arg, struct job *j);
  /* The job ended; no further callback follows. */
  void (*ended) (void *arg);
  /* Sends a complete reply. */
  void (*reply) (void *arg, const struct reply *reply);
  /* Send a streamed reply; WHOLE is false if it was cut off. */
  void (*stream_begin) (void *arg, const char *content_type);
  void (*stream_write) (void *arg, const char *data, size_t len);
  void (*stream_end) (void *arg, bool whole);
  /* Returns the bytes of the stream that the caller has not read yet. */
  size_t (*stream_pending) (void *arg);
  /* Closes the request if the caller disconnected. */
  void (*check_connection) (void *arg);
};

/* Describes the request that a job is to run; used only while it starts. */
struct job_desc
{
  struct worker *worker;           /* worker that it runs on */
  int workspace;                   /* index of the caller's workspace */
  const char *id;                  /* request id */
  int64_t arrived_us;              /* when the request was complete */
  const char *key;                 /* idempotency key, or NULL */
  const char *priority;            /* priority header, or NULL */
  const char *deadline_ms;         /* deadline header, or NULL */
  const char *path;                /* of a plain call: SERVICE/PATH */
  const char *content_type;        /* content type of the body, or NULL */
  const char *body;                /* request body */
  size_t body_len;                 /* bytes of body */
  const struct job_caller *caller; /* callbacks */
  void *arg;                       /* passed to them */
};

/* --- jobs: one request to a service, from admission to reply --------- */

enum job_state
{
  JOB_QUEUED,            /* waits for a slot */
  JOB_CLAIMING,          /* its claim is being written, or an answer fetched */
  JOB_RUNNING,           /* an attempt is running at an endpoint */
  JOB_WAITING_FOR_OWNER, /* polls the row of the attempt that owns the call */
  JOB_RECORDING,         /* the answer is being recorded */
  JOB_DONE
};

/* State transitions that job.c provides to the other job modules, which
   would otherwise have circular dependencies. */
struct job_callbacks
{
  /* The job got a slot at choice.endpoint. */
  void (*on_slot_taken) (struct job *j);
  /* A claimed call has its outcome and reason, which are to be recorded. */
  void (*on_outcome) (struct job *j);
  /* Ends the job before its next attempt; not-run if no attempt ran. */
  void (*refuse) (struct job *j, const char *code, int64_t retry_after_us);
  /* Ends the job. */
  void (*finish) (struct job *j, enum outcome outcome, const char *reason);
};

struct job
{
  APR_RING_ENTRY (job) link; /* in its worker's list */
  struct worker *worker;     /* worker that it runs on */
  const struct job_caller
      *caller;      /* callbacks; NULL once the caller disconnected */
  void *caller_arg; /* argument of these callbacks */
  const struct job_callbacks *callbacks; /* state transitions */
  char id[ID_SIZE];                      /* request id */
  struct workspace *workspace;           /* workspace of the caller */
  struct service *service;               /* requested service */
  struct cfg *cfg; /* settings at its start; holds a reference */
  const struct cfg_service *service_cfg; /* settings of the service, in cfg */
  const struct cfg_workspace
      *workspace_cfg;       /* settings of the workspace, in cfg */
  enum job_state state;     /* current state */
  bool is_model;            /* a model request; else a plain call */
  bool urgent;              /* has priority over normal requests */
  struct prompt prompt;     /* request to the model */
  GString *body;            /* body of a plain call */
  char *call_path;          /* path of a plain call */
  char *content_type;       /* content type of a plain call */
  int64_t charged_bytes;    /* its share of server->body_bytes */
  int64_t arrived_us;       /* when the request was complete */
  int64_t deadline_us;      /* latest time for its first attempt */
  int64_t cost;             /* tokens reserved; 1 for a plain call */
  int64_t max_tokens;       /* maximum number of tokens to generate */
  uint64_t *prefix_digests; /* digests of the prompt's prefixes */
  int nprefix_digests;      /* entries in prefix_digests */
  char cache_salt[2 * PFX_KEY_BYTES + 1]; /* scope of its cached prefixes */
  struct fq_entry entry;                  /* entry in the service's queue */
  struct loop_msg msg;        /* posted when it is scheduled or evicted */
  int pending_ops;            /* messages and operations not yet completed */
  bool may_have_run;          /* an attempt may have run */
  bool admitted;              /* its tokens were charged to the workspace */
  bool has_slot;              /* holds a slot at choice.endpoint */
  int64_t slot_taken_us;      /* when it got the slot */
  struct route_choice choice; /* endpoint of the current attempt */
  bool importing;             /* an import of KV cache is running */
  int64_t import_wait_us;     /* expected wait for the store's link */
  int64_t cached_tokens;      /* as counted by the engine, -1 if unknown */
  int failed_endpoints[MAX_ATTEMPTS]; /* endpoints of failed attempts */
  int nfailed;                        /* entries in failed_endpoints */
  int attempts;                       /* attempts started */
  void *call;                         /* handle of the adapter, NULL if none */
  char *send_body;                    /* request body of the attempt */
  char **send_headers;                /* request headers of the attempt */
  bool handed_over;                   /* the attempt may have sent bytes */
  const char *stop_reason;            /* why a callback stopped the attempt */
  int status;                         /* HTTP status of the attempt's reply */
  char answer_type[80];               /* content type of the reply */
  GString *answer;                    /* reply body received so far */
  bool answer_whole;                  /* the reply arrived to its end */
  bool streaming;                     /* the reply is an event stream */
  struct strm strm;                   /* state of the stream across attempts */
  bool stream_begun;          /* part of the stream was sent to the caller */
  char build[40];             /* version of the software of the attempt's
                                 endpoint, "" if not reported */
  char stream_build[40];      /* of the endpoint that began the stream */
  bool paused;                /* the attempt is paused for a slow caller */
  struct loop_msg unpause;    /* posted once the caller has caught up */
  bool unpause_posted;        /* unpause has not run yet */
  int64_t attempt_started_us; /* when the attempt started */
  int64_t progress_us;        /* last progress of the attempt */
  int64_t first_chunk_us;     /* when the first chunk was sent, 0 for none */
  char *idempotency_key;      /* from the request, or NULL */
  char *claim_key;            /* row key of its claim, or NULL */
  char attempt_id[ATTEMPT_ID_SIZE]; /* identifies the owner of the claim */
  char request_digest[DIGEST_SIZE]; /* detects reuse of a key for another
                                       request */
  bool claimed;                     /* this job owns the claim */
  int64_t claim_requested_us; /* when the write of the claim was requested */
  int64_t claim_version;      /* version of the claim's row */
  struct claim_op *claim_op;  /* operation in progress, or NULL */
  int64_t next_read_us;       /* when to read the claim's row again */
  int64_t read_pause_us;      /* pause before the read after that */
  enum outcome outcome;       /* outcome being recorded */
  const char *reason;         /* reason being recorded */
  int64_t
      record_deadline_us; /* longest wait of the caller for the recording */
  GString *trace;         /* its log lines, to explain the request */
};

/* Start a job for DESC.  Return NULL, or the code of a refusal if no job was
   created. */
const char *job_start_prompt (const struct job_desc *desc, bool chat);
const char *job_start_call (const struct job_desc *desc);
void job_caller_disconnected (struct job *j);
void job_drained (struct job *j);
void job_sweep (struct worker *w, int64_t now_us);
void job_stop_all (struct worker *w);

/* Logging and memory of jobs (joblog.c). */
void job_log (struct job *j, const char *event, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));
void job_charge_memory (struct job *j, int64_t bytes);
void job_free_if_done (struct job *j);

/* Scheduling: queue and slots (jobsched.c). */
const char *jobsched_submit (struct job *j, int64_t now_us,
                             int64_t *retry_after_us);
void jobsched_requeue (struct job *j, int64_t now_us);
bool jobsched_cancel (struct job *j);
void jobsched_release_slot (struct job *j, int64_t now_us);
void jobsched_report_result (struct job *j, enum route_result result,
                             int64_t now_us);
void jobsched_refund_tokens (struct job *j, int64_t tokens);
bool jobsched_spend_retry (struct job *j);
void jobsched_dispatch (struct server *s, struct service *sv, int64_t now_us);
void jobsched_dispatch_all (struct server *s, int64_t now_us);

/* Attempts (attempt.c). */
void attempt_start (struct job *j);
void attempt_stop (struct job *j);
void attempt_abort (struct job *j, const char *reason);

/* Claims of a job (jobclaim.c). */
bool jobclaim_is_needed (const struct job *j);
void jobclaim_start (struct job *j);
void jobclaim_poll (struct job *j, int64_t now_us);
void jobclaim_release (struct job *j);
void jobclaim_record (struct job *j);
void jobclaim_detach (struct job *j);

/* Replies to the caller (jobreply.c). */
void jobreply_send_outcome (struct job *j, enum outcome outcome,
                            const char *reason, int64_t retry_after_us);
void jobreply_begin_stream (struct job *j);

/* --- claims: batched operations on the table ------------------------- */

enum claim_op_code
{
  CLAIM_OP_DONE,     /* written or read */
  CLAIM_OP_CONFLICT, /* condition failed; row and row_version are set */
  CLAIM_OP_NO_REPLY  /* no reply; it may have been written */
};

/* A read or write of a row; freed after done has run. */
struct claim_op
{
  APR_RING_ENTRY (claim_op) link; /* in the runner's queue */
  bool is_read;                   /* a read; else a write */
  char *key;                      /* row key */
  json_t *put;                    /* new value; NULL deletes the row */
  int64_t version; /* version that the row must have; 0: must not exist */
  bool retry_until_reply;  /* retried until the table replies */
  int tries;               /* attempts so far */
  int64_t due_us;          /* earliest time of the next attempt */
  enum claim_op_code code; /* result */
  json_t *row;             /* row that was read or in conflict, or NULL */
  int64_t row_version;     /* version of row, or the one written */
  struct loop *home_loop;  /* loop that done runs on */
  struct loop_msg msg;     /* carries the operation between the loops */
  void (*done) (struct claim_op *op, void *arg); /* may be NULL */
  void *arg;                                     /* passed to done */
  struct claims *claims; /* runner that it was submitted to */
};

struct claims_opts
{
  struct loop *loop;      /* loop that the runner uses */
  struct table_ops table; /* adapter */
  int batch;              /* maximum number of writes in a transaction */
  int64_t linger_us;      /* how long a write waits for others to join it */
  int tries;              /* attempts before a write counts as lost */
};

struct claims *claims_new (const struct claims_opts *opts);
void claims_free (struct claims *c);
struct claim_op *claims_op_new (const char *key);
void claims_submit (struct claims *c, struct claim_op *op);

/* --- history of finished requests ------------------------------------ */

struct history *history_new (int max);
void history_free (struct history *h);
void history_add (struct history *h, const struct job *j, enum outcome outcome,
                  const char *reason, int64_t now_us);
/* Returns the record of request ID as JSON, or NULL; WORKSPACE -1 matches
   requests of all workspaces. */
json_t *history_get (struct history *h, const char *id, int workspace);

/* --- KV cache stores (kvcache.c, kvexport.c) ---------------------- */

struct kvcache *kvcache_new (struct server *s, struct cfg *cfg);
void kvcache_apply_cfg (struct kvcache *k, struct cfg *cfg);
void kvcache_free (struct kvcache *k);
void kvcache_start (struct kvcache *k, struct worker *w);
void kvcache_stop (struct kvcache *k);

/* Under route_lock: finds the stores that hold a prefix of J's prompt;
   returns how many. */
int kvcache_find_sources (struct kvcache *k, struct job *j, int64_t now_us,
                          struct plan_source *sources, int max);
/* Under route_lock: records that J starts the import in its choice. */
void kvcache_import_begin (struct kvcache *k, struct job *j, int64_t now_us);
/* The import ended with the first event, which reported CACHED_TOKENS; -1 if
   unknown. */
void kvcache_import_end (struct job *j, int64_t cached_tokens);
/* Returns the import instructions for the engine, or NULL. */
json_t *kvcache_import_order (struct job *j);
/* J was answered: updates the estimates, and exports its KV cache if that is
   worth the cost. */
void kvcache_on_completed (struct job *j);
json_t *kvcache_list_stores (struct server *s);

/* --- load reports ---------------------------------------------------- */

struct poller *poller_new (struct server *s, struct worker *w);
void poller_stop (struct poller *p);
void poller_free (struct poller *p);

/* --- other VMs (member.c) --- */

struct memb_update;

struct member *member_new (struct server *s, GError **err);
void member_free (struct member *m);
void member_stop (struct member *m);
/* Announces a change of phase or settings revision; on the first worker's
   thread. */
void member_say (struct member *m, uint64_t revision);
/* Returns true if this VM is among the N VMs of its domain that are
   responsible for the task KEY. */
bool member_mine (struct member *m, const char *key, int n);
/* Requests the changes after REVISION from up to MAX live VMs; returns how
   many were asked. */
int member_ask_changes (struct member *m, uint64_t revision, int max);
/* Returns the highest revision that a live VM is known to have. */
uint64_t member_revision (struct member *m);
int member_live (struct member *m);
bool member_expected (struct member *m);
int member_pending_calls (struct member *m);
json_t *member_list (struct member *m);
void member_cut (struct member *m, const char *prefix);

/* --- settings changes (conf.c) --- */

struct conf *conf_new (struct server *s);
void conf_free (struct conf *c);
void conf_start (struct conf *c);
void conf_stop (struct conf *c);
uint64_t conf_revision (struct conf *c);
/* Copies the texts of the changes after REVISION; returns how many.  Any
   thread. */
int conf_after (struct conf *c, uint64_t revision, char **texts,
                uint64_t *revisions, int max);
/* On the first worker's thread. */
void conf_hear_change (struct conf *c, uint64_t revision, const char *text);
void conf_hear_revision (struct conf *c, uint64_t revision);
/* A VM or the table confirmed that REVISION was the newest at AT_US. */
void conf_confirmed (struct conf *c, uint64_t revision, int64_t at_us);
/* Sets *REVISION to the revision in force and returns the time since it was
   last confirmed as the newest, or -1 if it never was.  Any thread. */
int64_t conf_age_ms (struct conf *c, uint64_t *revision, int64_t now_us);
bool conf_ready (struct conf *c);
bool conf_stale (struct conf *c, int64_t now_us);
void conf_post (struct req *r);
void conf_get (struct req *r);

/* --- operators' interface (adm.c) ------------------------------------ */

void adm_health (struct req *r);
void adm_metrics (struct req *r);
void adm_status (struct req *r);
void adm_list (struct req *r);
void adm_request (struct req *r);
void adm_change (struct req *r);
void adm_own_request (struct req *r);
void adm_settings (struct req *r);
void adm_cut (struct req *r);

#endif
