/*
 * Follows the state that the platform stores: the operators' configuration and
 * weight versions, and the list of endpoints.  Each is read once as a whole
 * and then kept current by long polls for changes.
 */
#ifndef CQ_FOLLOW_H
#define CQ_FOLLOW_H

#include "fleet.h"
#include "loop.h"

/* Sources that are followed. */
enum follow_source
{
  FOLLOW_OPERATOR,  /* configuration and weight versions */
  FOLLOW_ENDPOINTS, /* the list of endpoints */
  FOLLOW_SOURCES
};

enum follow_item_kind
{
  FOLLOW_ITEM_CONF,             /* a configuration */
  FOLLOW_ITEM_WEIGHTS,          /* a weight version was named */
  FOLLOW_ITEM_ENDPOINT,         /* an endpoint is listed */
  FOLLOW_ITEM_ENDPOINT_REMOVED, /* an endpoint's entry was removed */
  FOLLOW_ITEM_EVACUATION,       /* the operator evacuates a failure domain */
  FOLLOW_ITEM_EVACUATION_END,   /* the operator ended the evacuation */
  FOLLOW_ITEM_INVALID /* a row of the operator's or an endpoint's is invalid */
};

/* A row as the platform stores it. */
struct follow_raw
{
  char *key;       /* its key */
  int64_t version; /* number of the change that wrote it */
  GBytes *value;   /* content; NULL if the row was removed */
};

struct follow_raw *follow_raw_new (const char *key, int64_t version,
                                   const void *value, size_t len);
void follow_raw_free (struct follow_raw *raw);

/* One row of a reply. */
struct follow_item
{
  enum follow_item_kind kind; /* decides which of the fields below are set */
  int64_t row;                /* number of the change that wrote it; grows */
  struct fleet_conf
      *conf; /* the receiver takes ownership and sets it to NULL */
  char model[FLEET_NAME_SIZE]; /* whose weights */
  int64_t version;             /* of these weights */
  struct fleet_listing
      listing; /* endpoint; only its id if the row was removed or is invalid;
                  "" if the row names no endpoint */
  char domain[FLEET_NAME_SIZE]; /* whose evacuation began or ended */
  const char *error;            /* what is wrong with an invalid row */
  struct follow_raw *raw;       /* a row of the operators as stored; belongs to
                                   the reply; NULL for endpoints */
};

enum follow_status
{
  FOLLOW_OK,
  FOLLOW_HISTORY_LOST, /* changes since then are no longer available: read all
                        */
  FOLLOW_REFUSED,      /* refused: rate limited or overloaded */
  FOLLOW_NO_REPLY,     /* no byte of a reply */
  FOLLOW_STALLED,      /* part of a reply, and then no byte for too long */
  FOLLOW_INCOMPLETE, /* a reply that ended early or took too long as a whole */
  FOLLOW_TOO_LARGE,  /* a reply over the size limit */
  FOLLOW_TRUNCATED,  /* there are more rows than rows_max */
  FOLLOW_STALE,      /* only replies whose content is too old could be had */
  FOLLOW_MALFORMED   /* a complete reply that cannot be parsed */
};

struct follow_reply
{
  enum follow_status status; /* outcome of the call */
  int64_t era; /* of the platform's store, 0 if not given; grows each time the
                  store is restored from an older copy */
  int64_t version;  /* version to poll for changes after, in that era */
  int64_t store_ms; /* the platform's clock when it replied, 0 if not given */
  int64_t bytes;    /* size of the reply, also of an incomplete one */
  int64_t received_us; /* when the reply, or its first page, had arrived */
  GArray *items;       /* struct follow_item */
  /* Another VM sent the reply, and what follows is set. */
  bool relayed;
  bool changes_only; /* in place of a full read: what changed since the version
                        that is known here */
  int depth;         /* VMs between the platform and this one */
  int64_t current_us; /* its content was current at this time or later */
  /* That VM also reported up to which version it knows all changes of the
     operators, when it was known to be current, and the newest change. */
  bool operator_known;
  int64_t operator_row;        /* newest change */
  int64_t operator_version;    /* all changes up to it are known */
  int64_t operator_current_us; /* none was made later before this time */
};

typedef void (*follow_done) (void *arg, const struct follow_reply *reply);

/* Limits of a call, or of each page of its reply. */
struct follow_limits
{
  int64_t first_byte_us; /* until the first byte of the reply */
  int64_t stall_us;      /* between two further bytes */
  int64_t total_us;      /* for the whole reply */
  size_t bytes_max;      /* size limit of a reply */
  int pieces_per_turn; /* pieces (routes, rows) parsed in one loop iteration */
  int rows_max; /* rows after which a full read ends as FOLLOW_TRUNCATED; 0 for
                   no limit */
};

/* The platform, as an adapter offers it.  DONE is always called exactly
   once. */
struct follow_ops
{
  /* Read the whole current state. */
  void (*read) (void *ctx, enum follow_source source,
                const struct follow_limits *limits, follow_done done,
                void *arg);
  /* Long poll: changes after VERSION, with a wait of up to WAIT_US; 0 if there
     is a change. */
  void (*changes) (void *ctx, enum follow_source source, int64_t version,
                   int64_t wait_us, const struct follow_limits *limits,
                   follow_done done, void *arg);
  /* Decode ROWS, an array of struct follow_raw pointers, which are copied. */
  void (*decode) (void *ctx, const GPtrArray *rows,
                  const struct follow_limits *limits, follow_done done,
                  void *arg);
  void *ctx; /* passed to all */
};

struct follow_opts
{
  struct loop *loop;     /* whose thread runs it */
  struct fleet *fleet;   /* state to keep current */
  struct follow_ops ops; /* adapter */
  uint64_t seed;         /* for randomized pauses */
  /* Age below which the operators' settings are kept while the platform is
     reachable. */
  int64_t max_age_us;
  /* Called after each reply that was applied; may be NULL. */
  void (*on_change) (void *arg, int64_t now_us);
  void *arg; /* passed to on_change */
  /* Called with each reply that was applied; may be NULL. */
  void (*observe) (void *arg, enum follow_source source, bool full,
                   const struct follow_reply *reply);
  /* Whether other VMs read from this one, and whether this one reads the list
     of endpoints from others; may be NULL. */
  bool (*is_reader) (void *arg, int64_t now_us);
  int64_t list_max_age_us; /* older lists are not used by those */
  bool (*is_client) (void *arg, int64_t now_us);
  void *mirror_arg;  /* passed to the two callbacks above */
  void *observe_arg; /* passed to observe */
};

/* What is known of both sources, to be reported to other VMs. */
struct follow_state
{
  int64_t era;              /* newest era of the store */
  int64_t list_current_us;  /* the list of endpoints was current then; 0 if it
                               was never read */
  int list_depth;           /* VMs between the platform and this one */
  int64_t operator_row;     /* newest change of the operators */
  int64_t operator_version; /* all their changes up to it are known */
  int64_t operator_current_us; /* none was made later before this time; 0 if
                                  nothing is known */
};

struct follow;

struct follow *follow_new (const struct follow_opts *opts);
void follow_start (struct follow *f);
/* Start no more calls, and ignore replies to those in progress. */
void follow_stop (struct follow *f);
void follow_free (struct follow *f);
/* How long a poll for the operators' changes may wait if the settings have age
   AGE_US when it is sent and must stay younger than CURRENT_US. */
int64_t follow_poll_wait_us (int64_t current_us, int64_t age_us);
/* The platform's clock in milliseconds, never behind it; 0 until a reply has
   given it. */
int64_t follow_clock_ms (const struct follow *f, int64_t now_us);
/* Version up to which all changes of SOURCE are known; 0 if it was not read in
   the present era. */
int64_t follow_version (const struct follow *f, enum follow_source source);
/* Newest era of the platform's store that was seen; 0 if it gives none. */
int64_t follow_era (const struct follow *f);
void follow_get_state (const struct follow *f, struct follow_state *state);
/* Calls in progress. */
int follow_pending_calls (const struct follow *f);

#endif
