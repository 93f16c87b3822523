/*
 * Internal header of the server library.
 *
 * Lock order: lim_lock, then route_lock, then the history's lock, then a
 * loop's mailbox.  No lock is held while a callback, an adapter or a reply is
 * called.  A job and a req belong to one worker's thread; other threads reach
 * them only by messages to that worker's loop.
 */
#ifndef CQ_LIBSERVER_H
#define CQ_LIBSERVER_H

#include <glib.h>

#include "adapter.h"
#include "decide.h"
#include "log.h"
#include "loop.h"
#include "met.h"
#include "server.h"
#include "settings.h"
#include "wire.h"
#include "xfer.h"

#define ID_SIZE 20          /* bytes of a request id with its NUL */
#define MAX_ATTEMPTS 16     /* attempts at one request */
#define MAX_REFUSALS 8      /* refusal statuses of a service */
#define ATTEMPT_ID_SIZE 100 /* bytes of a claim's attempt id */
#define DIGEST_SIZE 33      /* bytes of a hex digest with its NUL */
#define SETTINGS_FILES 2    /* base and overlay */

struct claims;
struct conf;
struct entry;
struct history;
struct job;
struct kept;
struct member;
struct req;
struct server;

/* --- server ---------------------------------------------------------- */

/* Phases of a VM's life. */
enum phase
{
  PHASE_STARTING, /* endpoints are not known yet */
  PHASE_SERVING,
  PHASE_NOTICE,   /* unhealthy to the balancer, still serving */
  PHASE_DRAINING, /* new work is refused, running work goes on */
  PHASE_STOPPED
};

/* A service as this VM runs it; guarded by lim_lock. */
struct service
{
  const struct cfg_service *cfg; /* declared */
  int index;                     /* place in the settings */
  struct fq queue;               /* requests that wait */
  struct budget budget;          /* retries */
  int refusals[MAX_REFUSALS];    /* statuses that mean "did not run" */
  int nrefusals;                 /* entries in refusals */
};

/* A workspace as this VM runs it; guarded by lim_lock. */
struct workspace
{
  const struct cfg_workspace *cfg; /* declared */
  int index;                       /* place in the settings */
  struct lim_workspace lim;        /* limits */
  struct fq_flow **flows;          /* by service and class, made on demand */
};

/* One worker: a thread with its loop, callers' connections and transfers. */
struct worker
{
  struct server *server;              /* whose worker */
  int index;                          /* number */
  GThread *thread;                    /* that runs the loop */
  struct loop *loop;                  /* events */
  struct door *door;                  /* callers' connections */
  struct xfer_pool *pool;             /* transfers to endpoints */
  struct endpoint_ops endpoints;      /* adapter */
  struct object_ops objects;          /* adapter; its ctx is NULL if unset */
  struct store_ops stores;            /* adapter */
  APR_RING_HEAD (job_list, job) jobs; /* live jobs */
  int njobs;                          /* their number */
  struct loop_timer sweep;            /* deadlines and stalls */
  struct loop_msg stop;               /* posted to end the loop */
};

struct server
{
  struct cfg *cfg;             /* settings in force; atomic, see adopt.c */
  GList *retired;              /* settings before, freed after a while */
  struct loop_timer old_timer; /* when */
  const char *files[SETTINGS_FILES]; /* base and overlay */
  struct member *member;             /* other VMs; NULL without peers */
  struct conf *conf;            /* changes of settings; NULL without table */
  struct table_ops table;       /* adapter, on the first worker's thread */
  struct worker *workers;       /* all workers */
  int nworkers;                 /* their number */
  apr_pool_t *pool;             /* lives as long as the server */
  int listen_fd;                /* shared by the workers */
  int phase;                    /* enum phase; atomic */
  int live;                     /* jobs of all workers; atomic */
  int64_t body_bytes;           /* request bodies held; atomic */
  int64_t body_bytes_max;       /* their bound; atomic */
  GMutex lim_lock;              /* guards services and workspaces */
  struct service *services;     /* by place in the settings */
  int max_services;             /* entries allocated */
  struct workspace *workspaces; /* by place in the settings */
  int max_workspaces;           /* entries allocated */
  int max_endpoints;            /* entries allocated */
  int max_stores;               /* entries allocated */
  GMutex route_lock;            /* guards routes and prefixes */
  struct route_table *routes;   /* endpoints */
  struct pfx *prefixes;         /* who holds which prompt prefix */
  struct history *history;      /* finished requests */
  struct claims *claims;        /* NULL without a table */
  struct kept *kept;            /* kept work; guarded by route_lock */
  struct entry *entry;          /* requests that are passed on, or NULL */
  struct poller *poller;        /* asks endpoints for load reports */
  int64_t started_us;           /* when the process started */
};

/* Groups that may be added while the VM runs. */
#define SPARE_SERVICES 64
#define SPARE_WORKSPACES 4096
#define SPARE_ENDPOINTS 1024
#define SPARE_STORES 64

/* What all threads read of a VM (state.c). */
enum phase server_phase (struct server *s);

/* Listen on ADDRESS; the descriptor, or -1 after a log line. */
int server_listen (struct server *s, const char *address);

/* Settings in force; valid on the calling thread until it returns to its loop
   (and for OLD_CFG_US after they were replaced). */
struct cfg *server_cfg (struct server *s);

/* Fill the tables from the settings, the first time and after a change; on
   the first worker's thread.  False if they do not fit. */
bool adopt_settings (struct server *s, struct cfg *cfg);
void adopt_free (struct server *s);
void server_set_phase (struct server *s, enum phase phase);

/* --- refusals -------------------------------------------------------- */

/* A stable code, its HTTP status and its sentence. */
struct refusal
{
  const char *code;    /* in the reply and the log */
  int status;          /* HTTP status */
  const char *message; /* one sentence for the caller */
};

const struct refusal *refusal_find (const char *code);
/* A wait in whole seconds, for Retry-After; rounded up. */
int refusal_retry_s (int64_t us);

/* --- requests that come in (hin.c) ----------------------------------- */

struct door;

/* What a door does with its requests; all on its worker's thread. */
struct door_ops
{
  /* The head was read: set body_max, or reply at once. */
  void (*head) (struct req *r, const char *method);
  /* The request is whole, or EXCESS says why its body is not. */
  void (*start) (struct req *r);
  /* The reader took bytes of a stream; may be NULL. */
  void (*drained) (struct req *r);
  /* The request ends, whatever became of it; may be NULL. */
  void (*gone) (struct req *r);
};

struct door_opts
{
  const struct door_ops *ops; /* callbacks */
  void *owner;                /* for them, as door->owner */
  int close_from;             /* enum phase from which replies close */
  unsigned connections;       /* held at once */
  unsigned idle_s;            /* seconds without a byte */
  size_t connection_memory;   /* bytes a connection, for head and buffers */
};

/* One listening address on one worker. */
struct door
{
  struct worker *worker;      /* where it runs */
  const struct door_ops *ops; /* callbacks */
  void *owner;                /* of the callbacks */
  int close_from;             /* enum phase from which replies close */
  struct MHD_Daemon *daemon;  /* connections */
  struct loop_fd *fd;         /* its epoll descriptor */
  struct loop_hook hook;      /* runs it each turn */
  bool quiesced;              /* accepts no more connections */
};

/* Why a body was not taken. */
enum req_excess
{
  EXCESS_NONE,
  EXCESS_BODY,  /* over the request's own limit */
  EXCESS_MEMORY /* over what all bodies may take */
};

enum req_key
{
  KEY_NONE,
  KEY_WORKSPACE,
  KEY_OPERATOR
};

/* One entry of the table of paths. */
struct req_route
{
  const char *method;            /* GET or POST */
  const char *path;              /* whole path, or prefix ending in "/" */
  enum req_key auth;             /* whose key is needed */
  void (*start) (struct req *r); /* called when the request is whole */
};

/* A caller's request; belongs to its worker's thread. */
struct req
{
  struct door *door;             /* where it came in */
  void *work;                    /* of the door's owner */
  struct worker *worker;         /* where it runs */
  struct MHD_Connection *conn;   /* its connection */
  const struct req_route *route; /* what was asked for */
  char *target;                  /* path and query as they were sent */
  bool head_seen;                /* the head was judged */
  char *path;                    /* whole path, decoded */
  const char *rest;              /* path behind the route's prefix */
  char id[ID_SIZE];              /* request id */
  int workspace;                 /* index, or -1 */
  int operator_index;            /* index, or -1 */
  GString *body;                 /* request body */
  size_t body_max;               /* bytes allowed */
  enum req_excess excess;        /* why the body was not taken */
  size_t dropped;                /* bytes dropped since then */
  bool started;                  /* start was called */
  bool suspended;                /* its connection waits */
  bool gone;                     /* the caller went away */
  int64_t arrived_us;            /* when the body was whole */
  struct MHD_Response *response; /* reply to queue */
  int status;                    /* its HTTP status */
  bool queued;                   /* the reply was queued */
  GString *out;                  /* stream bytes not yet written */
  size_t out_used;               /* of these, already written */
  bool out_end;                  /* no more will come */
  bool out_broken;               /* the stream ends visibly broken */
  struct job *job;               /* the work it asked for, or NULL */
};

/* What a reply says besides its body. */
struct reply
{
  int status;               /* HTTP status */
  const char *content_type; /* of the body */
  const char *body;         /* copied */
  size_t len;               /* bytes of the body */
  const char *outcome;      /* for Camphorquay-Outcome */
  int retry_after_s;        /* for Retry-After, 0 for none */
};

typedef void (*req_header_fn) (void *arg, const char *name, const char *value);

const char *req_header (struct req *r, const char *name);
void req_each_header (struct req *r, req_header_fn fn, void *arg);
/* Take over the body, which counts as held until it is freed. */
GString *req_take_body (struct req *r);
void req_free_body (struct server *s, GString *body);
void req_set_idle (struct req *r, unsigned idle_s);
void req_respond (struct req *r, int status, const char *const *lines,
                  const char *body, size_t len);
void req_stream_open (struct req *r, int status, const char *const *lines);
void req_stream_write (struct req *r, const char *data, size_t len);
void req_stream_close (struct req *r, bool whole, const char *name,
                       const char *value);
size_t req_stream_pending (const struct req *r);
bool req_caller_gone (struct req *r);
void req_abandon (struct req *r);

struct door *door_open (struct worker *w, int listen_fd,
                        const struct door_opts *opts);
void door_quiesce (struct door *d);
void door_close (struct door *d);

/* --- the product's own interface (api.c) ----------------------------- */

struct door *api_open (struct worker *w);

/* --- replies of it (reply.c) ----------------------------------------- */

void req_reply (struct req *r, const struct reply *reply);
void req_reply_json (struct req *r, int status, json_t *doc);
void req_refuse (struct req *r, const char *code, int64_t retry_after_us);
void req_stream_begin (struct req *r, const char *content_type);
void req_stream_end (struct req *r, bool whole);

/* --- keys (auth.c) --------------------------------------------------- */

bool auth_matches (char *const *hashes, const char *secret);
char *auth_parse_bearer (const char *bearer, const char **secret);

/* --- who asks for a job ---------------------------------------------- */

struct job;

/* What goes back to a caller, however it came; all on its worker's thread. */
struct job_caller
{
  /* The job was made; it may end before its start returns. */
  void (*began) (void *arg, struct job *j);
  /* The job is over: nothing more is said. */
  void (*ended) (void *arg);
  /* The whole reply. */
  void (*reply) (void *arg, const struct reply *reply);
  /* A reply in pieces, and its end. */
  void (*begin) (void *arg, const char *content_type);
  void (*write) (void *arg, const char *data, size_t len);
  void (*end) (void *arg, bool whole);
  /* Bytes of it that the caller has not taken yet. */
  size_t (*pending) (void *arg);
  /* Look whether the caller hung up, and let it go if so. */
  void (*look) (void *arg);
};

/* A request as its door describes it; needed only while the job starts. */
struct job_desc
{
  struct worker *worker;           /* where it runs */
  int workspace;                   /* index of who asks */
  const char *id;                  /* request id */
  int64_t arrived_us;              /* when it was whole */
  const char *key;                 /* idempotency key, or NULL */
  const char *priority;            /* as the caller named it, or NULL */
  const char *deadline_ms;         /* as the caller named it, or NULL */
  const char *path;                /* of a plain call: SERVICE/PATH */
  const char *content_type;        /* of its body, or NULL */
  const char *body;                /* whole */
  size_t body_len;                 /* bytes of body */
  const struct job_caller *caller; /* callbacks */
  void *arg;                       /* passed to them */
};

/* --- jobs: the life of one request to a service ---------------------- */

enum job_state
{
  JOB_QUEUED,    /* waits for a place */
  JOB_CLAIMING,  /* its claim is being written */
  JOB_RUNNING,   /* an attempt is at an endpoint */
  JOB_WAITING,   /* another attempt owns the run: its row is read */
  JOB_RECORDING, /* its answer is being recorded */
  JOB_DONE
};

/* What follows a part of a job's life, filled in by job.c.  The parts call
   this where they would need each other in a circle. */
struct job_steps
{
  /* A place was found at choice.endpoint. */
  void (*placed) (struct job *j);
  /* The run has its outcome and its reason, and is to be recorded. */
  void (*ran) (struct job *j);
  /* Give up before the next attempt; not-run if no attempt ran. */
  void (*refuse) (struct job *j, const char *code, int64_t retry_after_us);
  /* End it. */
  void (*finish) (struct job *j, enum outcome outcome, const char *reason);
};

struct job
{
  APR_RING_ENTRY (job) link;       /* in its worker's list */
  struct worker *worker;           /* where it runs */
  const struct job_caller *caller; /* NULL once the caller is gone */
  void *caller_arg;                /* passed to its callbacks */
  const struct job_steps *steps;   /* what follows */
  char id[ID_SIZE];                /* request id */
  struct workspace *workspace;     /* whose */
  struct service *service;         /* asked for */
  struct cfg *cfg;                 /* settings it started under; a reference */
  const struct cfg_service *sc;    /* its service there */
  const struct cfg_workspace *wc;  /* its workspace there */
  enum job_state state;            /* where it stands */
  bool model;                      /* a prompt; else a plain call */
  bool urgent;                     /* goes before other work */
  struct prompt prompt;            /* of a model request */
  GString *body;                   /* of a plain call */
  char *call_path;                 /* of a plain call */
  char *content_type;              /* of a plain call */
  int64_t charged;                 /* bytes counted in body_bytes */
  int64_t arrived_us;              /* when the request was whole */
  int64_t deadline_us;             /* must have started by then */
  int64_t cost;                    /* tokens reserved, 1 for a plain call */
  int64_t max_tokens;              /* tokens to generate */
  uint64_t *digests;               /* prefix digests of the prompt */
  int ndigests;                    /* entries in digests */
  char cache_salt[2 * PFX_KEY_BYTES + 1]; /* scope of its cached prefixes */
  struct fq_entry entry;                  /* in the service's queue */
  struct loop_msg msg;                    /* placed, or pushed out */
  int pending;                      /* messages and operations under way */
  bool ran;                         /* an attempt may have run */
  bool admitted;                    /* its tokens were spent */
  bool holding;                     /* holds a place at choice.endpoint */
  int64_t held_us;                  /* since when */
  struct route_choice choice;       /* of the present attempt */
  bool importing;                   /* the import is under way */
  int64_t import_wait_us;           /* wait for the link that was expected */
  int64_t cached_tokens;            /* the engine's own count, -1 if unknown */
  int failed[MAX_ATTEMPTS];         /* endpoints that failed it */
  int nfailed;                      /* entries in failed */
  int attempts;                     /* attempts started */
  void *call;                       /* at the adapter, NULL if none */
  char *send_body;                  /* body of the attempt */
  char **send_headers;              /* headers of the attempt */
  bool handed_over;                 /* the first byte was let go */
  const char *stopped;              /* why a callback stopped the attempt */
  int status;                       /* status of the attempt's reply */
  char answer_type[80];             /* content type of the reply */
  GString *answer;                  /* whole answer so far */
  bool streaming;                   /* the reply is a stream of events */
  struct strm strm;                 /* the stream over all attempts */
  bool begun;                       /* part of the stream was passed on */
  bool paused;                      /* the attempt waits for a slow reader */
  struct loop_msg unpause;          /* posted when the reader caught up */
  bool unpausing;                   /* that message is under way */
  int64_t sent_us;                  /* when the attempt started */
  int64_t byte_us;                  /* when it last moved */
  int64_t first_us;                 /* first byte passed on, 0 for none */
  char *key;                        /* idempotency key, or NULL */
  char *claim_key;                  /* row of its claim, or NULL */
  char attempt_id[ATTEMPT_ID_SIZE]; /* who owns the run */
  char digest[DIGEST_SIZE];         /* of the request, to catch reuse */
  bool claimed;                     /* this job owns the run */
  int64_t claimed_us;               /* when the claim was asked for */
  int64_t claim_version;            /* of its row */
  struct claim_op *op;              /* operation under way, or NULL */
  int64_t read_us;                  /* when to read the row again */
  int64_t read_pause_us;            /* pause before the read after that */
  enum outcome outcome;             /* kept while the answer is recorded */
  const char *reason;               /* likewise */
  int64_t record_until_us;          /* longest wait for the recording */
  GString *trace;                   /* its log lines, for explanation */
};

/* Start a job for what DESC holds; NULL, or the code of a refusal where no
   job was made. */
const char *job_start_prompt (const struct job_desc *desc, bool chat);
const char *job_start_call (const struct job_desc *desc);
void job_caller_gone (struct job *j);
void job_drained (struct job *j);
void job_sweep (struct worker *w, int64_t now_us);

/* Its log and its memory (joblog.c). */
void job_log (struct job *j, const char *event, const char *fmt, ...)
    __attribute__ ((format (printf, 3, 4)));
void job_charge (struct job *j, int64_t bytes);
void job_unref (struct job *j);

/* Places and queue (pump.c). */
const char *place_submit (struct job *j, int64_t now_us,
                          int64_t *retry_after_us);
void place_requeue (struct job *j, int64_t now_us);
bool place_cancel (struct job *j);
void place_release (struct job *j, int64_t now_us);
void place_result (struct job *j, enum route_result result, int64_t now_us);
void place_refund (struct job *j, int64_t tokens);
bool place_retry (struct job *j);
void place_pump (struct server *s, struct service *sv, int64_t now_us);
void place_pump_waiting (struct server *s, int64_t now_us);

/* Attempts (attempt.c). */
void attempt_start (struct job *j);
void attempt_stop (struct job *j);
void attempt_break (struct job *j, const char *reason);

/* Claims of a job (jobclaim.c). */
bool jobclaim_needed (const struct job *j);
void jobclaim_start (struct job *j);
void jobclaim_poll (struct job *j, int64_t now_us);
void jobclaim_release (struct job *j);
void jobclaim_record (struct job *j);
void jobclaim_forget (struct job *j);

/* Replies to the caller (jobreply.c). */
void jobreply_outcome (struct job *j, enum outcome outcome, const char *reason,
                       int64_t retry_after_us);
void jobreply_stream (struct job *j);

/* --- claims: operations on the table, in groups ---------------------- */

enum claim_op_code
{
  CLAIM_OP_DONE,   /* written, or read */
  CLAIM_OP_EXISTS, /* the condition failed: row and version are set */
  CLAIM_OP_LOST    /* no reply: it may or may not have been written */
};

/* One operation; freed by the runner after done has run. */
struct claim_op
{
  APR_RING_ENTRY (claim_op) link; /* in the runner's queue */
  bool read;                      /* a read; else a write */
  char *key;                      /* row */
  json_t *put;                    /* new content; NULL deletes */
  int64_t version;                /* condition, 0: must not exist */
  bool persist;                   /* try until the table answers */
  int tries;                      /* transactions it was in */
  int64_t due_us;                 /* not before this time */
  enum claim_op_code code;        /* result */
  json_t *row;                    /* row met or read, or NULL */
  int64_t row_version;            /* its version, or the one written */
  struct loop *home;              /* loop that done runs on */
  struct loop_msg msg;            /* between the loops */
  void (*done) (struct claim_op *op, void *arg); /* may be NULL */
  void *arg;                                     /* passed to done */
  struct claims *claims;                         /* its runner */
};

struct claims_opts
{
  struct loop *loop;      /* that the runner runs on */
  struct table_ops table; /* adapter */
  int batch;              /* writes in one transaction */
  int64_t linger_us;      /* wait for others to share one */
  int tries;              /* transactions before a write counts as lost */
};

struct claims *claims_new (const struct claims_opts *opts);
void claims_free (struct claims *c);
struct claim_op *claims_op (const char *key);
void claims_submit (struct claims *c, struct claim_op *op);

/* --- history of finished requests ------------------------------------ */

struct history *history_new (int max);
void history_free (struct history *h);
void history_add (struct history *h, const struct job *j, enum outcome outcome,
                  const char *reason, int64_t now_us);
/* A request's record as JSON, or NULL; WORKSPACE -1 finds any. */
json_t *history_get (struct history *h, const char *id, int workspace);

/* --- kept work (kept.c, export.c) ------------------------------------ */

struct kept *kept_new (struct server *s, struct cfg *cfg);
void kept_adopt (struct kept *k, struct cfg *cfg);
void kept_free (struct kept *k);
void kept_start (struct kept *k, struct worker *w);
void kept_stop (struct kept *k);

/* Under route_lock: stores that hold a head of J's prompt. */
int kept_sources (struct kept *k, struct job *j, int64_t now_us,
                  struct plan_source *sources, int max);
/* Under route_lock: note that J imports what its choice says. */
void kept_import_begin (struct kept *k, struct job *j, int64_t now_us);
/* The import ended with the first event, which said CACHED tokens. */
void kept_import_end (struct job *j, int64_t cached_tokens);
/* What the engine is told to import, or NULL. */
json_t *kept_import_order (struct job *j);
/* J was answered: learn from it, and keep what is worth it. */
void kept_answered (struct job *j);
json_t *kept_list (struct server *s);

/* --- load reports ---------------------------------------------------- */

struct poller *poller_new (struct server *s, struct worker *w);
void poller_stop (struct poller *p);
void poller_free (struct poller *p);

/* --- other VMs (member.c) --- */

struct memb_word;

struct member *member_new (struct server *s, GError **err);
void member_free (struct member *m);
void member_stop (struct member *m);
/* On the first worker's thread: the phase or the settings' revision changed.
 */
void member_say (struct member *m, uint64_t revision);
/* Whether this VM is one of N of its domain to do the job KEY. */
bool member_mine (struct member *m, const char *key, int n);
/* Ask up to MAX live VMs for changes after REVISION; returns how many. */
int member_ask_changes (struct member *m, uint64_t revision, int max);
/* Highest revision that a live VM is known to have. */
uint64_t member_revision (struct member *m);
int member_live (struct member *m);
bool member_expected (struct member *m);
int member_waiting (struct member *m);
json_t *member_list (struct member *m);
void member_cut (struct member *m, const char *prefix);

/* --- changes of settings (conf.c) --- */

struct conf *conf_new (struct server *s);
void conf_free (struct conf *c);
void conf_start (struct conf *c);
void conf_stop (struct conf *c);
uint64_t conf_revision (struct conf *c);
/* Any thread: changes after REVISION, as texts; returns how many. */
int conf_after (struct conf *c, uint64_t revision, char **texts,
                uint64_t *revisions, int max);
/* On the first worker's thread. */
void conf_hear_change (struct conf *c, uint64_t revision, const char *text);
void conf_hear_revision (struct conf *c, uint64_t revision);
/* Somebody says that REVISION was the newest at AT_US. */
void conf_confirmed (struct conf *c, uint64_t revision, int64_t at_us);
/* Any thread: the revision in force, and for how long it is not confirmed; -1
   if it never was. */
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
