/*
 * The relay: forwards requests to endpoints unchanged.
 *
 * The ingress describes a request and gets callbacks with the answer; an
 * engine adapter sends attempts and reports their progress.  Neither depends
 * on the other.  The relay between them decides whether a caller is allowed,
 * which endpoint a request goes to, what follows a failed attempt, and what
 * the caller is told when a request is given up.
 *
 * Everything runs on the thread of one worker.
 */
#ifndef CQ_RELAY_H
#define CQ_RELAY_H

#include "buildcheck.h"
#include "decide.h"
#include "fleet.h"
#include "load.h"
#include "loop.h"
#include "notice.h"
#include "originfeed.h"
#include "parts.h"
#include "quar.h"
#include "relayvms.h"

struct relay;
struct relays;

/* --- towards callers ------------------------------------------------- */

/* Why a request is refused without an endpoint's answer. */
enum relay_refusal
{
  RELAY_NO_ROUTE,  /* no route matches */
  RELAY_BAD_KEY,   /* the key is unknown */
  RELAY_TOO_LARGE, /* its body exceeds the operator's limit */
  RELAY_MALFORMED, /* a header or its body cannot be parsed */
  RELAY_NOT_RUN,   /* it did not run, and may be sent again */
  RELAY_NO_PATH,   /* the same, of a request that another VM forwarded: this VM
                      reaches no endpoint for it either, or has no share of what
                      they take */
  RELAY_NO_BUILD,  /* it did not run: its stream can go on at no endpoint, and
                      is to begin anew */
  RELAY_UNKNOWN,   /* it may have run, or it failed */
  RELAY_TIMED_OUT  /* it was sent, and the deadline passed without an answer */
};

/* Callbacks towards the caller of a request. */
struct relay_caller
{
  /* The complete answer of an endpoint. */
  void (*answer) (void *arg, int status, const char *const *lines,
                  const char *body, size_t len);
  /* The head of an endpoint's stream; write and end follow. */
  void (*begin) (void *arg, int status, const char *const *lines);
  void (*write) (void *arg, const char *data, size_t len);
  void (*end) (void *arg, bool whole);
  /* Bytes of the stream that the caller has not read yet. */
  size_t (*pending) (void *arg);
  /* Whether the caller closed its connection; polled a few times a second. */
  bool (*is_disconnected) (void *arg);
  /* The request is refused; RETRY_AFTER_US is 0 if no retry is suggested. */
  void (*refuse) (void *arg, enum relay_refusal why, int64_t retry_after_us);
};

/* A request as the ingress describes it; the ingress owns all of it and keeps
   it until the request ends. */
struct relay_desc
{
  const char *id;           /* the caller's id of the request */
  const char *method;       /* as received */
  const char *target;       /* path and query, as received */
  const char *host;         /* as received */
  char **headers;           /* "Name: value" lines that are forwarded */
  const char *key;          /* the caller's key, or NULL */
  const struct part *parts; /* of the prompt; the last one is not shared */
  int nparts;               /* entries in parts */
  int64_t deadline_us;      /* end of the caller's time, 0 if not given */
  int64_t resume_after;     /* last event the caller has, -1 for none */
  const char *resumes;      /* id of the request that began the stream; NULL if
                               not named, "" if it names no request */
  const char *body;         /* complete */
  size_t body_len;          /* bytes of body */
  bool forwarded;           /* by another VM */
  const struct relay_caller *caller; /* callbacks */
  void *arg;                         /* for the callbacks */
};

/* --- towards endpoints ----------------------------------------------- */

/* An attempt that an engine adapter sends. */
struct relay_attempt
{
  const struct relay_desc *desc;         /* the request */
  const struct fleet_endpoint *endpoint; /* destination */
  const char *workspace;                 /* the caller's workspace, or NULL */
  const char *cache_scope; /* scope of the KV cache that it may use; NULL for a
                              plain service */
  int64_t version;         /* weights that it must run on, 0 for any */
  int priority;            /* 0, the most urgent, to 9 */
  int64_t timeout_us;      /* time for the attempt from now */
  int64_t connect_timeout_us;    /* of that for the connection, 0 for the
                                    adapter's own limit */
  int64_t resume_after;          /* resume after this event, -1 to start */
  const struct parts_plan *plan; /* of fetches and saves, or NULL */
};

/* A request that an engine adapter forwards to another VM. */
struct relay_forward
{
  const struct relay_desc *desc; /* the request */
  const char *address;           /* IP:PORT of the other VM */
  const char *seal;              /* proves that a VM forwards it */
  int64_t timeout_us;            /* time for the request from now */
};

/* Decoded head of an endpoint's answer. */
struct relay_head
{
  int status;   /* HTTP status */
  bool genuine; /* it bears the endpoint's seal for this request */
  bool not_run; /* the endpoint reports that it did not run the request */
  bool other_incarnation; /* another incarnation or service has the endpoint's
                             address */
  bool other_weights; /* the endpoint has other weights than the request asked
                         for */
  int running;        /* requests running at the endpoint, -1 if not given */
  int waiting;        /* requests waiting there, 0 if not given */
  int speed_percent;  /* time that work takes there, 100 is normal; 0 if not
                         given */
  int64_t version;    /* weight version that ran, 0 if not given */
  struct notice notice;      /* the endpoint's notices on its own state */
  bool ends_with_connection; /* the answer has no length and no chunks */
  bool no_path;  /* of another VM's answer: it reaches no endpoint */
  bool no_build; /* likewise: the stream can go on at no endpoint */
  char **lines;  /* "Name: value" lines for the caller */
};

/* How an attempt ended. */
struct relay_end
{
  bool handed_over;        /* a byte may have left */
  bool whole;              /* the answer is complete */
  bool delimited;          /* likewise, and its headers say where it ends */
  bool connection_refused; /* nothing listens at the endpoint's address */
  int64_t connect_us;      /* time that the connection took, 0 if there was
                              none */
  const char *error;       /* description by the transport */
};

/* What the receiver of body bytes wants next. */
enum relay_body_result
{
  RELAY_CONTINUE, /* continue */
  RELAY_PAUSE,    /* deliver the same bytes again after unpause */
  RELAY_STOP      /* end the attempt; end follows */
};

/* Callbacks of an attempt. */
struct relay_events
{
  /* Called just before the first byte is sent; false stops the attempt, and
     end follows. */
  bool (*before_send) (void *arg);
  /* False stops the attempt; end follows. */
  bool (*head) (void *arg, const struct relay_head *head);
  enum relay_body_result (*body) (void *arg, const char *data, size_t len);
  void (*end) (void *arg, const struct relay_end *end);
};

/* Result of probing an endpoint. */
enum relay_probe_result
{
  RELAY_PROBE_ALIVE,   /* it answers, and not as another incarnation */
  RELAY_PROBE_CRASHED, /* another incarnation answers there */
  RELAY_PROBE_REFUSED, /* the connection was refused: nothing listens there, or
                          this VM has lost its path to it */
  RELAY_PROBE_SILENT   /* no answer: it may be unreachable */
};

/* NOTICE is NULL unless that incarnation answered. */
typedef void (*relay_probe_done) (void *arg, enum relay_probe_result probe,
                                  const struct notice *notice);

/* The engine adapter. */
struct relay_engine
{
  /* Start an attempt; returns its handle. */
  void *(*send) (void *ctx, const struct relay_attempt *send,
                 const struct relay_events *events, void *arg);
  /* Forward a request to another VM; like send.  NULL if the adapter
     cannot. */
  void *(*forward) (void *ctx, const struct relay_forward *forward,
                    const struct relay_events *events, void *arg);
  /* Stop an attempt without a further callback; the endpoint sees its
     connection close. */
  void (*cancel) (void *ctx, void *call);
  /* Deliver the bytes that RELAY_PAUSE held back. */
  void (*unpause) (void *ctx, void *call);
  /* Probe whether this incarnation of E still runs; DONE is called once, after
     the call has returned.  NULL if the adapter cannot probe. */
  void (*probe) (void *ctx, const struct fleet_endpoint *e,
                 relay_probe_done done, void *arg);
  void *ctx; /* passed to all */
};

/* --- the requests of a worker ---------------------------------------- */

struct relays_opts
{
  struct loop *loop;              /* event loop of the worker */
  struct fleet *fleet;            /* known endpoints and configuration */
  struct parts *parts;            /* contents of the KV stores, or NULL */
  struct relay_engine engine;     /* engine adapter */
  struct originfeed *origins;     /* where streams began; NULL: the streams
                                     that callers name are not known */
  struct buildcheck *builds;      /* whether all builds that served are known;
                                     NULL: they never are */
  const struct load_table *loads; /* load caused by other VMs, or NULL */
  /* A long prompt was sent to an endpoint, was processed, or its request
     ended; may be NULL. */
  void (*on_work_changed) (void *arg, int64_t now_us);
  void *work_arg; /* for on_work_changed */
  /* This VM observed of an endpoint what REPORT says; may be NULL. */
  void (*on_observed) (void *arg, const struct endpoint_report *report,
                       int64_t now_us);
  void *observed_arg; /* for on_observed */
  /* Evidence on requests that crash endpoints; NULL turns the quarantine off.
     The callbacks below are used only with it. */
  struct quar *quar;
  /* The platform's clock in Unix ms, 0 if it is not known. */
  int64_t (*clock_ms) (void *arg, int64_t now_us);
  /* This VM added evidence to QUAR. */
  void (*on_evidence) (void *arg, int64_t now_us);
  /* Whether the evidence of other VMs was read. */
  bool (*is_evidence_known) (void *arg, int64_t now_us);
  /* Whether it is this VM that may send the suspect request ID now; NULL if
     any VM may. */
  bool (*may_run_suspect) (void *arg, const struct reqid *id, int64_t now_us);
  void *quar_arg; /* for the callbacks above */
  /* Whether it is this VM that probes the ejected endpoint with this key now;
     NULL if any VM does.  Used with share_reports, as the next one. */
  bool (*may_probe) (void *arg, uint64_t endpoint, int64_t now_us);
  /* This VM observed an endpoint; may be NULL. */
  void (*on_seen) (void *arg, const struct endpoint_report *seen,
                   int64_t now_us);
  void *health_arg; /* for both callbacks */
  /* Append the other VMs to VMS, as struct mirror_peer, with NEAR only those
     of this VM's failure domain; false while they are not known.  NULL: no
     request is forwarded. */
  bool (*list_vms) (void *arg, bool near, GArray *vms);
  /* Ask the VM at ADDRESS which services it reaches; as in relayvms.h.  NULL:
     no VM is asked. */
  bool (*ask_paths) (void *arg, const char *address, vm_asked done,
                     void *done_arg);
  /* Choose by RANDOM one of the OWNERS other VMs that own the brittle endpoint
     with this key, with NEAR one of this failure domain; false if there is
     none. */
  bool (*choose_owner) (void *arg, uint64_t endpoint, int owners, bool near,
                        uint64_t random, struct mirror_peer *vm);
  /* Seal of a request that is forwarded, which the caller frees; NULL while
     there is no key. */
  char *(*seal_forward) (void *arg, const struct relay_desc *desc,
                         int64_t now_us);
  void *forward_arg;         /* for these callbacks */
  const char *domain;        /* failure domain of this VM */
  int64_t key_max_age_us;    /* older settings: keys are not trusted */
  int64_t denial_max_age_us; /* older settings: nothing is denied for good */
  bool route_shares;         /* admitted work is shared among routes */
  bool share_reports;        /* endpoints are judged by other VMs' reports */
  bool plan_returns;         /* refused callers return when there is room */
  int retry_percent;         /* retries, as a percentage of requests */
  int retry_burst;           /* retries available at the start */
  size_t stream_buffer;      /* bytes buffered for a slow reader */
  size_t answer_max;         /* largest answer that is held in memory whole */
  size_t answers_max;        /* all answers that are held, but small ones */
  uint64_t seed;             /* of random choices */
};

/* Copies OPTS; its pointers must stay valid until relays_free. */
struct relays *relays_new (const struct relays_opts *opts);
/* All requests must have ended. */
void relays_free (struct relays *rs);
/* Number of live requests. */
int relays_count (const struct relays *rs);
/* End all requests, since the VM stops: streams as broken. */
void relays_stop (struct relays *rs, int64_t now_us);
/* Whether this VM reaches no endpoint of SERVICE. */
bool relays_is_isolated (const struct relays *rs, const char *service);
/* Fill in A, for another VM that needs help with its requests. */
void relays_describe_paths (const struct relays *rs, struct vmpath_answer *a);
/* Fill in WORD the work that the requests of RELAYS, a struct relays, have at
   endpoints. */
void relays_collect_load (void *relays, struct load_gossip *word);

/* E runs and queues so many requests, by an answer of its own or by the report
   of another VM of this failure domain: a sample for the admission controller
   of its service. */
void relays_add_pressure (struct relays *rs, const struct fleet_endpoint *e,
                          int running, int waiting, int64_t now_us);

/* Start a request that was received in full; NULL if it has already ended. */
struct relay *relay_start (struct relays *rs, const struct relay_desc *desc,
                           int64_t now_us);
/* Refuse a request whose body is over the limit. */
void relay_refuse_too_large (struct relays *rs, const struct relay_desc *desc,
                             int64_t now_us);
/* The caller has read bytes of the stream. */
void relay_drained (struct relay *r);
/* The caller closed its connection: R ends, and no callback follows. */
void relay_caller_disconnected (struct relay *r);

#endif
