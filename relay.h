/*
 * Requests that are passed on as they are.
 *
 * A door describes a request, and is told what goes back; an engine adapter
 * sends attempts, and tells how they go.  Neither knows the other, and what
 * stands between decides: who may ask, where it goes, what follows a failed
 * attempt, and what may be said of a request that was given up.
 *
 * All of it runs on one worker's thread.
 */
#ifndef CQ_RELAY_H
#define CQ_RELAY_H

#include "decide.h"
#include "fleet.h"
#include "load.h"
#include "loop.h"
#include "notice.h"
#include "parts.h"
#include "quar.h"

struct relay;
struct relays;

/* --- towards callers ------------------------------------------------- */

/* Why a request gets no answer of an endpoint. */
enum relay_refusal
{
  RELAY_NO_ROUTE,  /* no route leads anywhere */
  RELAY_BAD_KEY,   /* the key is unknown */
  RELAY_TOO_LARGE, /* its body is over the operator's limit */
  RELAY_MALFORMED, /* what it says of itself cannot be read */
  RELAY_NOT_RUN,   /* not run: it may be sent again */
  RELAY_UNKNOWN,   /* it may have run, or it failed */
  RELAY_TIMED_OUT  /* it was sent, and no answer came in time */
};

struct relay_caller
{
  /* An endpoint's whole answer. */
  void (*answer) (void *arg, int status, const char *const *lines,
                  const char *body, size_t len);
  /* The head of an endpoint's stream; pieces and an end follow. */
  void (*begin) (void *arg, int status, const char *const *lines);
  void (*write) (void *arg, const char *data, size_t len);
  void (*end) (void *arg, bool whole);
  /* Bytes of the stream that the caller has not taken yet. */
  size_t (*pending) (void *arg);
  /* Whether the caller hung up; asked now and then. */
  bool (*is_disconnected) (void *arg);
  /* No answer; RETRY_AFTER_US is 0 if there is nothing to say. */
  void (*refuse) (void *arg, enum relay_refusal why, int64_t retry_after_us);
};

/* A request as its door describes it; all of it stays the door's until the
   request ends. */
struct relay_desc
{
  const char *id;           /* the caller's own id of this request */
  const char *method;       /* as sent */
  const char *target;       /* path and query, as sent */
  const char *host;         /* as sent */
  char **headers;           /* "Name: value" lines that are passed on */
  const char *key;          /* the caller's key, or NULL */
  const struct part *parts; /* of its prompt; the last one is its own */
  int nparts;               /* entries in parts */
  int64_t deadline_us;      /* the caller waits until then; 0 if unsaid */
  int64_t resume_after;     /* last event that the caller has, -1 for none */
  const char *body;         /* whole */
  size_t body_len;          /* bytes of body */
  const struct relay_caller *caller; /* callbacks */
  void *arg;                         /* passed to them */
};

/* --- towards endpoints ----------------------------------------------- */

/* An attempt as an engine adapter sends it. */
struct relay_attempt
{
  const struct relay_desc *desc;         /* the request */
  const struct fleet_endpoint *endpoint; /* where to */
  const char *workspace;                 /* who asks, or NULL */
  const char *cache_scope; /* what cached work it may use; NULL if plain */
  int64_t version;         /* weights it must run on, 0 for any */
  int priority;            /* 0 goes first, to 9 */
  int64_t timeout_us;      /* time for it from now */
  int64_t resume_after;    /* go on after this event, -1 to start */
  const struct parts_plan *plan; /* parts to fetch and to save, or NULL */
};

/* Head of an endpoint's answer, decoded. */
struct relay_head
{
  int status;             /* HTTP status */
  bool genuine;           /* the endpoint's mark is there, and it is for us */
  bool not_run;           /* the endpoint says that it did not run */
  bool other_incarnation; /* somebody else has the endpoint's address */
  bool other_weights; /* it is that endpoint, with other weights than asked */
  int running;        /* requests that run at it, -1 if unsaid */
  int waiting;        /* and wait there; 0 if unsaid */
  int64_t version;    /* weights that ran, 0 if unsaid */
  struct notice notice; /* what the endpoint says of itself */
  char **lines;         /* "Name: value" lines for the caller */
};

struct relay_end
{
  bool handed_over;        /* a byte may have left */
  bool whole;              /* the answer is complete */
  bool connection_refused; /* nothing listens at the endpoint's address */
  const char *error;       /* the transport's words */
};

/* What a receiver of an answer's bytes says. */
enum relay_body_result
{
  RELAY_CONTINUE, /* go on */
  RELAY_PAUSE,    /* the same bytes again after unpause */
  RELAY_STOP      /* end the attempt; end follows */
};

/* Callbacks of an attempt. */
struct relay_events
{
  /* The last moment before the first byte; false stops it. */
  bool (*before_send) (void *arg);
  /* False stops it: end follows. */
  bool (*head) (void *arg, const struct relay_head *head);
  enum relay_body_result (*body) (void *arg, const char *data, size_t len);
  void (*end) (void *arg, const struct relay_end *end);
};

/* What a question to an endpoint shows. */
enum relay_probe_result
{
  RELAY_PROBE_ALIVE, /* something answers, and nothing says that it is another
                      */
  RELAY_PROBE_CRASHED, /* nothing listens there, or another life does */
  RELAY_PROBE_SILENT   /* no answer: it may be cut off */
};

/* NOTICE is NULL unless that endpoint answered. */
typedef void (*relay_probe_done) (void *arg, enum relay_probe_result probe,
                                  const struct notice *notice);

struct relay_engine
{
  void *(*send) (void *ctx, const struct relay_attempt *send,
                 const struct relay_events *events, void *arg);
  /* Stop without a further callback; the endpoint sees a close. */
  void (*cancel) (void *ctx, void *call);
  void (*unpause) (void *ctx, void *call);
  /* Ask whether that life of E is there; DONE is called once, later.  NULL if
     that cannot be asked. */
  void (*probe) (void *ctx, const struct fleet_endpoint *e,
                 relay_probe_done done, void *arg);
  void *ctx; /* passed to all */
};

/* --- the requests of a worker ---------------------------------------- */

struct relays_opts
{
  struct loop *loop;              /* whose thread runs it */
  struct fleet *fleet;            /* beliefs */
  struct parts *parts;            /* what stores keep, or NULL */
  struct relay_engine engine;     /* adapter */
  const struct load_table *loads; /* work of other VMs, or NULL */
  /* Work at an endpoint began, was read or ended; may be NULL. */
  void (*on_work_changed) (void *arg, int64_t now_us);
  void *work_arg; /* passed to it */
  /* Evidence against requests that crash endpoints, or NULL. */
  struct quar *quar;
  /* The platform's clock, 0 if that is not known; with quar. */
  int64_t (*clock_ms) (void *arg, int64_t now_us);
  /* This VM saw something that QUAR holds; with quar. */
  void (*on_evidence) (void *arg, int64_t now_us);
  /* Whether what other VMs saw was read; with quar. */
  bool (*is_evidence_known) (void *arg, int64_t now_us);
  /* Whether this VM is the one that may send a suspect request now; with quar.
   */
  bool (*may_run_suspect) (void *arg, const struct reqid *id, int64_t now_us);
  void *quar_arg;            /* passed to these */
  const char *domain;        /* of this VM */
  int64_t key_max_age_us;    /* keys count for nothing once older */
  int64_t denial_max_age_us; /* nothing is denied for good once older */
  int retry_percent;         /* repeats, as a share of requests */
  int retry_burst;           /* repeats before any were earned */
  size_t stream_buffer;      /* bytes held for a slow reader */
  size_t answer_max;         /* bytes of an answer held whole */
  uint64_t seed;             /* of random choices */
};

struct relays *relays_new (const struct relays_opts *opts);
void relays_free (struct relays *rs);
int relays_count (const struct relays *rs);
/* What the requests of RELAYS have under way at endpoints. */
void relays_collect_load (void *relays, struct load_gossip *word);

/* Start a request that was read whole; NULL if it was answered at once. */
struct relay *relay_start (struct relays *rs, const struct relay_desc *desc,
                           int64_t now_us);
/* Refuse a request whose body is over the limit. */
void relay_refuse_too_large (struct relays *rs, const struct relay_desc *desc,
                             int64_t now_us);
/* The caller took bytes of the stream. */
void relay_drained (struct relay *r);
/* The caller is gone: nothing more is said to it. */
void relay_caller_disconnected (struct relay *r);

#endif
