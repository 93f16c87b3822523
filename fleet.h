/*
 * What a VM knows of the fleet that it serves: the operators' routes,
 * services, workspaces and keys, the endpoints, and the announced weight
 * versions.
 *
 * An adapter decodes what its platform says into these types; the code that
 * makes decisions reads only them.  The current time is an argument; times are
 * microseconds of CLOCK_BOOTTIME.
 */
#ifndef CQ_FLEET_H
#define CQ_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include <apr_ring.h>

#include "cold.h"
#include "health.h"
#include "brittle.h"
#include "limit.h"
#include "speed.h"

/* --- the operators' configuration ------------------------------------ */

/* Whether a request may be repeated, and the form of its answer. */
enum fleet_kind
{
  FLEET_IDEMPOTENT,   /* may run more than once */
  FLEET_AT_MOST_ONCE, /* may run at most once */
  FLEET_STREAM        /* a stream of events; at most once unless it is
                         resumable */
};

/* A service that gets a share of a route's requests. */
struct fleet_split
{
  char *service; /* name */
  int weight;    /* share, relative to the others of the route */
};

struct fleet_route
{
  char *name;                 /* for logs */
  char *host;                 /* Host header, without a port */
  char *prefix;               /* path prefix; begins and ends with a slash */
  enum fleet_kind kind;       /* whether requests may be repeated */
  int64_t timeout_us;         /* longest wait for the answer */
  int64_t target_latency_us;  /* latency target of an answer */
  int64_t event_gap_us;       /* target for the pause between events, 0 if
                                 none */
  int priority;               /* 0 is the most urgent */
  int max_attempts;           /* endpoints one request may be sent to */
  bool anonymous;             /* no key is needed */
  bool sticky;                /* place prompts with a common prefix together */
  bool resumable;             /* a broken stream may resume at another
                                 endpoint */
  char **allowed_regions;     /* regions its requests may use; NULL for all */
  struct fleet_split *splits; /* where its requests go */
  int nsplits;                /* entries in splits, at least one */
  int64_t moved_us;           /* until then, some of its requests may have gone
                                 to another service, 0 if that is not known */
};

/* A service as the operator declared it. */
struct fleet_service
{
  char *name;                  /* referenced by splits and endpoints */
  char *model;                 /* model of its engines; NULL for a plain
                                  service */
  int64_t kv_capacity_tokens;  /* KV cache capacity of an endpoint, 0 if
                                  unknown */
  int64_t kv_token_bytes;      /* KV cache bytes of a token, 0 if unknown */
  char *domain;                /* failure domain of a store, or NULL */
  int64_t link_mbit_s;         /* link bandwidth, 0 if unknown */
  int64_t transfer_latency_us; /* fixed latency of each transfer */
  char *store_address;         /* IP:PORT if it is a KV cache store, or NULL */
  int calls_max;         /* calls that a store takes at once; 0 if unknown */
  int64_t event_gap_us;  /* shortest event_gap_us of its routes, 0 if none;
                            set by fleet_conf_build_index */
  int64_t cold_start_us; /* how long an endpoint is cold after a start */
  int cold_requests_s;   /* request rate that a cold endpoint can take */
};

/* Digest of names in hexadecimal, with its NUL. */
#define FLEET_GROUP_SIZE 33

struct fleet_workspace
{
  char *name;             /* name, sent to endpoints */
  int priority;           /* overrides the route's priority; -1 if none */
  bool isolated;          /* shares no cached prompts with other workspaces */
  char **allowed_regions; /* regions its requests may use; NULL for all */
  char cache_group[FLEET_GROUP_SIZE]; /* shares cached prompts only within it;
                                         set with the index */
};

/* Bounds on what a caller may send. */
struct fleet_limits
{
  int64_t body_bytes; /* body of one request */
  int64_t idle_us;    /* longest idle time of a connection */
};

/* One configuration; immutable once built, shared by reference. */
struct fleet_conf
{
  int refs;              /* reference count */
  int64_t version;       /* the operator's version number; only increases */
  GPtrArray *routes;     /* struct fleet_route */
  GHashTable *services;  /* name to struct fleet_service */
  GPtrArray *workspaces; /* struct fleet_workspace */
  GHashTable *keys;      /* key to struct fleet_workspace */
  bool requires_keys;    /* requests need a key, except on anonymous routes;
                            also while there is no workspace or key */
  GHashTable *hosts;     /* host to GPtrArray of routes, longest first */
  char shared_group[FLEET_GROUP_SIZE]; /* cache group of all requests that no
                                          isolated workspace makes */
  struct fleet_limits limits;
};

struct fleet_conf *fleet_conf_new (void);
/* Builds the index by host, what services take from their routes, and the
   cache groups; call it after all routes, services and workspaces were
   added. */
void fleet_conf_build_index (struct fleet_conf *c);
/* Part of the above. */
void fleet_conf_build_groups (struct fleet_conf *c);
struct fleet_conf *fleet_conf_ref (struct fleet_conf *c);
void fleet_conf_unref (struct fleet_conf *c);
void fleet_route_free (struct fleet_route *r);
void fleet_service_free (struct fleet_service *s);
void fleet_workspace_free (struct fleet_workspace *w);

/* Returns the route of a request, or NULL; PATH may end in a query string. */
const struct fleet_route *fleet_route_find (const struct fleet_conf *c,
                                            const char *host,
                                            const char *path);
/* Sets moved_us of C's routes, which follow those of BEFORE; NULL for none. */
void fleet_date_routes (struct fleet_conf *c, const struct fleet_conf *before,
                        int64_t now_us);
/* Returns the workspace of a request's KEY, or NULL; KEY is NULL if it has
   none. */
const struct fleet_workspace *fleet_workspace_find (const struct fleet_conf *c,
                                                    const char *key);
/* Requests may share cached prompts if their groups are equal, whichever
   configurations these are of; W, of C, is NULL if the request has none. */
const char *fleet_cache_group (const struct fleet_conf *c,
                               const struct fleet_workspace *w);
/* Returns the service that the traffic split selects for DIGEST. */
const char *fleet_split_select (const struct fleet_route *r, uint64_t digest);

/* --- endpoints ------------------------------------------------------- */

#define FLEET_NAME_SIZE 64 /* bytes of an id, address or name with its NUL */

/*
 * An endpoint as the platform lists it.  It may restart under the same id, and
 * then has lost all its state: the id and the start time together identify one
 * incarnation.
 */
struct fleet_listing
{
  char id[FLEET_NAME_SIZE];      /* id of the endpoint, the same in all
                                    incarnations */
  int64_t started_ms;            /* start of this incarnation, Unix time; 0 if
                                    unknown */
  char address[FLEET_NAME_SIZE]; /* IP:PORT */
  char service[FLEET_NAME_SIZE]; /* service that it belongs to */
  char domain[FLEET_NAME_SIZE];  /* failure domain */
  char model[FLEET_NAME_SIZE];   /* model whose weights it has; "" if plain */
  int64_t version;               /* version of these weights */
  char build[FLEET_NAME_SIZE];   /* version of its software; "" if unknown */
  int slots;                     /* requests that it runs concurrently */
  bool draining;                 /* it drains and takes no new requests */
  int64_t cold_us;               /* remaining cold time by its entry */
};

/* An exponentially weighted moving average of latencies that this VM saw. */
struct fleet_ewma
{
  int64_t smoothed_us; /* the average */
  int64_t updated_us;  /* time of the last sample; 0 for never */
};

/* Statistics of a service on this VM. */
struct fleet_service_stats
{
  char service[FLEET_NAME_SIZE]; /* its name */
  struct fleet_ewma first_chunk; /* time to the first chunk, over all
                                    endpoints */
  int64_t short_prompt_us;       /* average time to the first chunk of short
                                    prompts */
  int64_t prefill_tokens; /* tokens of long prompts, decayed over samples */
  int64_t prefill_us;     /* time that these took beyond a short prompt,
                             decayed alike */
  struct speed_pauses pauses; /* between events of its streams */
};

/* Scale of the cost terms in placement, in percent; changed only in
   experiments. */
struct pick_factors
{
  int pending_prefill; /* prefill that is pending at an endpoint */
  int memory;          /* KV cache memory that would run out there */
  int parts;           /* stored prompt parts that the preferred endpoint
                          has */
};

/* What other VMs reported of an endpoint. */
struct fleet_peer_report
{
  int running;       /* requests running there, by the newest report of load */
  int waiting;       /* requests waiting there */
  int64_t at_us;     /* when that load was observed; 0 for never */
  int sent_since;    /* requests that this VM sent since it received that,
                        minus those that ended */
  int64_t seen_us;   /* when the newest report was observed; 0 for never */
  bool is_failing;   /* that report is one of a failure */
  int64_t logged_us; /* when a change of is_failing was logged last */
};

/* One incarnation of an endpoint, as this VM knows it.  A newer incarnation
   gets a struct of its own, so that nothing known of an older one, and no late
   answer from it, is attributed to the newer one. */
struct fleet_endpoint
{
  APR_RING_ENTRY (fleet_endpoint) link; /* in the fleet's list */
  struct fleet_listing listing;         /* last listing */
  int64_t previous_ms;  /* start of the incarnation before it, Unix time; 0 if
                           unknown */
  int refs;             /* references: the list, and the
                           requests at it */
  int64_t restored_row; /* change that wrote its entry, which came back
                           with a copy of the store and was not written
                           since; or 0 */
  bool draining;        /* some source reported that it drains; sticky,
                           unless this holds: */
  bool draining_unordered;  /* only an entry that may be of another incarnation
                               says so */
  bool removed;             /* it is no longer listed */
  int64_t missing_since_us; /* missing from the list since, while its removal
                               is unconfirmed; or 0 */
  int64_t missing_until_us; /* and it is removed then */
  int64_t version;          /* weight version by its latest report on any
                               channel */
  int64_t version_us;       /* when that report arrived */
  bool version_doubted;     /* it refused work on these weights and did not
                               report its version */
  uint64_t key;             /* hash of id and start time, the same on all
                               VMs */
  uint64_t build_key;       /* hash of service and build, the same on all VMs;
                               without a build, of this incarnation alone */
  int running;              /* requests of this VM at it */
  int reported_running;     /* requests that it runs and queues, by its
                               report */
  int64_t reported_us;      /* time of that report; 0 for never */
  int sent_since;           /* requests sent since then, minus those that
                               ended */
  int failures;             /* consecutive failures */
  int64_t backoff_until_us; /* backoff after failures: used only if no other
                               endpoint can be */
  int64_t full_until_us;    /* it refused for lack of capacity: avoided until
                               then */
  int64_t requested_backoff_until_us; /* backoff that it requested: it gets
                                         nothing until then */
  int64_t reload_ordered_us; /* when a reload of weights was ordered, 0 if
                                not */
  struct cold cold;          /* cold state and this VM's share of its rate */
  struct limit limit;        /* rate limit that it reported for all VMs */
  struct brittle brittle;    /* refusals that it bears, and this VM's share */
  struct fleet_ewma first_chunk; /* time to the first chunk of its answers */
  struct fleet_peer_report peer_report; /* reports of other VMs */
  struct speed speed;   /* how long work takes there, as it reports */
  struct health health; /* evidence of failures; zeros unless
                           endpoints are judged by reports */
};

/* --- builds (fleetbuilds.c) ------------------------------------------ */

/* A build is kept for so long after its last endpoint left: a caller may take
   up a stream for so long (ORIGIN_KEEP_MAX_US), and VMs notice that it left
   some seconds apart. */
#define FLEET_BUILD_KEEP_US INT64_C (130000000)

/* A build of a service's endpoints that serves, or served lately. */
struct fleet_build
{
  APR_RING_ENTRY (fleet_build) link; /* in the fleet's list */
  uint64_t key;                      /* hash of service and build */
  char service[FLEET_NAME_SIZE];     /* its service */
  char name[FLEET_NAME_SIZE];        /* version of the software, may be "" */
  bool listed;                       /* an endpoint of it is listed */
  int64_t left_us;                   /* none is listed since; 0 if one is */
  int64_t joining_us; /* the platform had one then that takes requests, which
                         this VM was yet to list; 0 for never */
};

/* --- fleet ----------------------------------------------------------- */

#define FLEET_ANNOUNCED_MAX 8 /* versions that are kept for a model */

/* A weight version that was announced. */
struct fleet_announced_version
{
  int64_t version;    /* its number */
  int64_t learned_us; /* when this VM learned of it */
};

#define FLEET_BOUNDS_MAX 8    /* bounds that are kept for a model */
#define FLEET_NEVER INT64_MIN /* as a time: unknown */

/* A bound on announcement times: no version from VERSION on had been announced
   at AT_US.  Announced versions only increase, and one may be announced and
   replaced unnoticed, so a bound never concerns a single version. */
struct fleet_announcement_bound
{
  int64_t version; /* the lowest version that the bound covers */
  int64_t at_us;   /* time at which none of them had been announced */
};

/* Weight versions announced for a model, oldest first. */
struct fleet_wanted
{
  char model[FLEET_NAME_SIZE]; /* model */
  int64_t version;             /* newest announced version */
  struct fleet_announced_version
      announced[FLEET_ANNOUNCED_MAX]; /* the newest versions */
  int nannounced;                     /* entries in announced */
  struct fleet_announcement_bound
      bounds[FLEET_BOUNDS_MAX]; /* bounds, ordered by version */
  int nbounds;                  /* entries in bounds */
};

/* Regions that a request may use.  Where both lists are given, a region must
   be in both. */
struct fleet_region_limits
{
  const char *const *route;     /* allowed by its route; NULL for all */
  const char *const *workspace; /* allowed by its workspace; NULL for all */
};

/* A failure domain that the operator evacuates. */
struct fleet_evacuation
{
  char domain[FLEET_NAME_SIZE]; /* its name */
  int64_t missing_since_us;     /* missing from complete lists since, while
                                   the end of the evacuation is unconfirmed;
                                   or 0 */
};

/* The brittle endpoints of a service. */
struct fleet_brittle
{
  int endpoints;              /* that take requests */
  int64_t refusals;           /* smallest count that one of them reported */
  int64_t reported_us;        /* when one last reported it, 0 for never */
  bool applies;               /* as logged last */
  struct brittle_guest guest; /* this VM without a share */
};

struct fleet
{
  struct fleet_conf *conf; /* current configuration; NULL until one is known */
  int64_t conf_row;        /* change number of this configuration */
  APR_RING_HEAD (fleet_ring, fleet_endpoint) endpoints; /* listed endpoints */
  struct fleet_ring former; /* no longer listed, oldest first; what they
                               reported of themselves applies again if they
                               are listed again */
  int nformer;              /* entries in former */
  APR_RING_HEAD (fleet_build_ring, fleet_build) builds; /* oldest first */
  int nbuilds;                                          /* entries in builds */
  int64_t
      builds_dropped_us;    /* one was dropped for want of room, 0 for never */
  bool builds_unread;       /* builds that served before this VM's start are
                               yet to be read */
  int64_t builds_settle_us; /* the platform may lack some until then; 0 if it
                               never came back from an older copy */
  GHashTable *by_id;        /* id to struct fleet_endpoint */
  GHashTable *by_key;       /* key to struct fleet_endpoint */
  bool listed;              /* a list of endpoints was received */
  GArray *wanted;           /* struct fleet_wanted */
  GArray *service_stats;    /* struct fleet_service_stats */
  GArray *evacuated;        /* struct fleet_evacuation */
  GHashTable *regions;      /* failure domain to its region */
  int64_t conf_current_us;  /* when the configuration was last known to be the
                               newest; 0 for never */
  int64_t list_current_us;  /* when the list of endpoints was last known to be
                               current; 0 for never */
  int64_t list_failed_us;   /* when the list was last known not to be
                               readable; 0 for never */
  int64_t list_age_max_us;  /* how long endpoints drain; 0 for no limit */
  int64_t list_settles_us;  /* entries that are missing from then on are
                               removed; 0 if the list was never lost */
  struct pick_factors factors; /* scale of the cost terms */
  int64_t outdated_accept_us;  /* outdated weights take requests until so long
                                  after a newer version was announced; 0 for no
                                  limit */
  int64_t outdated_start_us; /* and nothing starts on them after so long; 0 for
                                no limit */
  /* This VM's share of a cold endpoint's RATE, in requests a second; NULL if
     it knows no other VMs. */
  int (*cold_share) (void *arg, uint64_t endpoint, int rate);
  /* Interval between this VM's requests to an endpoint whose limit is
     MILLI_RPS; NULL if it knows no other VMs. */
  int64_t (*limit_interval_us) (void *arg, uint64_t endpoint,
                                int64_t milli_rps, int64_t now_us);
  /* Rank, from 0, of this VM for an endpoint among the VMs, whose number is
     put into VMS, 0 while it is not known; NULL if it knows no other VMs. */
  int (*brittle_rank) (void *arg, uint64_t endpoint, int *vms);
  void *share_arg;     /* argument of these callbacks */
  bool can_forward;    /* requests may go to endpoints by way of other VMs */
  GHashTable *brittle; /* service to struct fleet_brittle */
};

void fleet_init (struct fleet *f);
void fleet_clear (struct fleet *f);

/* Replaces the configuration by C, which was read in change ROW, and takes
   over the reference; returns false and releases C if it is not newer. */
bool fleet_apply_conf (struct fleet *f, struct fleet_conf *c, int64_t row);

/* Records an announced weight version; returns false if it is not newer.
   Neither it nor a newer one was announced before NOT_BEFORE_US, 0 if that is
   unknown. */
bool fleet_apply_wanted (struct fleet *f, const char *model, int64_t version,
                         int64_t not_before_us, int64_t now_us);
/* The announced versions of all models were the newest at AT_US. */
void fleet_confirm_wanted (struct fleet *f, int64_t at_us);
/* Records that no version of MODEL from VERSION on was announced before
   AT_US. */
void fleet_add_announcement_bound (struct fleet *f, const char *model,
                                   int64_t version, int64_t at_us);
/* Returns the latest such time that is known, or FLEET_NEVER. */
int64_t fleet_earliest_announcement_us (const struct fleet *f,
                                        const char *model, int64_t version);
/* Returns when this VM first learned of VERSION or a newer one, or
   FLEET_NEVER. */
int64_t fleet_version_learned_us (const struct fleet *f, const char *model,
                                  int64_t version);
/* Returns the earliest time at which E's weights can have become outdated, or
   FLEET_NEVER if that is unknown. */
int64_t fleet_earliest_outdated_us (const struct fleet *f,
                                    const struct fleet_endpoint *e);
/* Returns when this VM learned of the first version newer than E's; 0 if E's
   is the newest. */
int64_t fleet_outdated_learned_us (const struct fleet *f,
                                   const struct fleet_endpoint *e);
/* Returns that version, or NULL. */
const struct fleet_announced_version *
fleet_outdated_by (const struct fleet *f, const struct fleet_endpoint *e);
/* Returns whether the operator configured the service of E. */
bool fleet_is_declared (const struct fleet *f, const struct fleet_endpoint *e);
/* Whether E is listed in a service of engines without a model, by another
   writer: it is not used, since nothing would tell whose cached prompts it may
   use. */
bool fleet_lacks_model (const struct fleet *f, const struct fleet_endpoint *e);
/* Returns whether E needs a reload: it is not draining, its service is
   configured, and a newer version was announced than it has, or its version is
   uncertain. */
bool fleet_needs_weights (const struct fleet *f,
                          const struct fleet_endpoint *e);
/* Returns whether E's weights were outdated LIMIT_US ago, or may have been. */
bool fleet_is_outdated_for (const struct fleet *f,
                            const struct fleet_endpoint *e, int64_t limit_us,
                            int64_t now_us);
/* E reported, on any channel, that it has VERSION.  The report was true at
   AT_US or later; FLEET_NEVER if it may be old. */
void fleet_apply_version (struct fleet_endpoint *e, int64_t version,
                          int64_t at_us, int64_t now_us);
/* E refused to work on the weights that this VM assumed it to have. */
void fleet_doubt_version (struct fleet_endpoint *e);
const struct fleet_wanted *fleet_wanted_of (const struct fleet *f,
                                            const char *model);

/* How the incarnation in a report relates to the one that is known. */
enum fleet_incarnation
{
  FLEET_INCARNATION_SAME,   /* the known incarnation */
  FLEET_INCARNATION_NEWER,  /* it restarted since, or was not known */
  FLEET_INCARNATION_OLDER,  /* an incarnation that has ended */
  FLEET_INCARNATION_UNKNOWN /* the report has no start time, though one is
                               known */
};

/* Compares a report of an endpoint with E, which may be NULL; STARTED_MS is 0
   if the report has no start time. */
enum fleet_incarnation
fleet_incarnation_compare (const struct fleet_endpoint *e, int64_t started_ms);
const char *fleet_incarnation_name (enum fleet_incarnation incarnation);

/* Adds or updates a listed endpoint.  An entry of an older incarnation, or
   without a start time where one is known, changes nothing, except that the
   endpoint counts as draining as long as such an entry says so.  Returns the
   newest incarnation, which the fleet owns. */
struct fleet_endpoint *fleet_apply_listing (struct fleet *f,
                                            const struct fleet_listing *l,
                                            int64_t now_us);
/* E itself reported that it drains, which is final. */
void fleet_apply_draining (struct fleet_endpoint *e);
/* Returns the listed endpoint with this key, or NULL. */
struct fleet_endpoint *fleet_find_key (const struct fleet *f, uint64_t key);
/* E itself reported that it started at STARTED_MS, later than was known.
   Returns the new incarnation. */
struct fleet_endpoint *fleet_apply_restart (struct fleet *f,
                                            struct fleet_endpoint *e,
                                            int64_t started_ms,
                                            int64_t now_us);

/* The entry of E was removed, or is not in a complete list. */
void fleet_apply_missing (struct fleet *f, struct fleet_endpoint *e,
                          int64_t now_us);

/* Returns whether a missing entry counts as removed at once, without waiting
   for it to return. */
bool fleet_is_list_settled (const struct fleet *f, int64_t now_us);
typedef void (*fleet_removed) (void *arg, const struct fleet_endpoint *e,
                               int64_t now_us);
/* Removes the missing entries that did not return in time, and calls REMOVED,
   which may be NULL, before each. */
void fleet_remove_missing (struct fleet *f, fleet_removed removed, void *arg,
                           int64_t now_us);

/* The list of endpoints is readable again, and was not from LOST_US to
   SINCE_US.  Entries that were missing before do not begin to wait anew. */
void fleet_list_recovered (struct fleet *f, int64_t lost_us, int64_t since_us);

/* Returns the build that a stream has which began at E: its build_key, or 0 if
   another incarnation has taken E's id meanwhile. */
uint64_t fleet_build_of (const struct fleet *f,
                         const struct fleet_endpoint *e);
/* Returns the build_key of L: hash of its service and build or, without a
   build, of this incarnation. */
uint64_t fleet_build_key (const struct fleet_listing *l);
/* Returns the build_key if this VM knows of no other build of SERVICE that can
   have begun a stream which a caller may still take up; otherwise 0. */
uint64_t fleet_only_build (struct fleet *f, const char *service,
                           int64_t now_us);
/* The platform's store came back from an older copy. */
void fleet_builds_restored (struct fleet *f, int64_t now_us);
/* Whether other builds than this VM and the platform know may have served. */
bool fleet_are_builds_unknown (const struct fleet *f, int64_t now_us);
/* Whether several builds of SERVICE can have begun such a stream, whatever
   this VM has yet to learn. */
bool fleet_has_several_builds (struct fleet *f, const char *service,
                               int64_t now_us);
/* Whether another build of SERVICE than KEY serves, or did so within
   WITHIN_US, or may have. */
bool fleet_has_other_build (const struct fleet *f, const char *service,
                            uint64_t key, int64_t within_us, int64_t now_us);
/* Returns the build KEY, which is added if it is not known. */
struct fleet_build *fleet_add_build (struct fleet *f, uint64_t key,
                                     const char *service, const char *name);
/* Whether a stream that a caller may still take up with this request can have
   begun at another service than SERVICE, by the settings that were known. */
bool fleet_has_moved (const struct fleet *f, const char *host,
                      const char *target, const char *service, int64_t now_us);
/* The platform lists, or listed lately, an endpoint as in L. */
void fleet_note_build (struct fleet *f, const struct fleet_listing *l,
                       int64_t now_us);
/* Updates which builds are listed, and drops those that left long ago. */
void fleet_update_builds (struct fleet *f, int64_t now_us);
void fleet_builds_init (struct fleet *f);
void fleet_builds_clear (struct fleet *f);
/* Whether this VM may soon list an endpoint of the build KEY. */
bool fleet_is_build_joining (const struct fleet *f, uint64_t key,
                             int64_t now_us);
/* Returns a listed endpoint of SERVICE with this build_key that does not
   drain, or NULL. */
const struct fleet_endpoint *fleet_find_build (const struct fleet *f,
                                               const char *service,
                                               uint64_t build_key);

struct fleet_endpoint *fleet_endpoint_ref (struct fleet_endpoint *e);
void fleet_endpoint_unref (struct fleet_endpoint *e);

/* Records the region of each failure domain from TEXT, entries DOMAIN=REGION
   separated by spaces; returns false at the first malformed entry. */
bool fleet_parse_regions (struct fleet *f, const char *text);
/* Returns whether a request with REGIONS may use endpoints and stores in
   DOMAIN.  A domain without a known region is not allowed where regions are
   limited. */
bool fleet_is_region_allowed (const struct fleet *f,
                              const struct fleet_region_limits *regions,
                              const char *domain);
/* Returns whether DOMAIN is evacuated, so that nothing may be sent there. */
bool fleet_is_evacuated (const struct fleet *f, const char *domain);
/* Recomputes this VM's share of the rate of each endpoint that is cold or
   reported a limit, where the share is stale. */
void fleet_refresh_rate_shares (struct fleet *f, int64_t now_us);
/* Whether this VM's share of E is to be computed, and that of all brittle
   endpoints. */
bool fleet_is_brittle_share_due (const struct fleet_endpoint *e,
                                 int64_t now_us);
void fleet_refresh_brittle_shares (struct fleet *f, int64_t now_us);
/* A brittle endpoint of SERVICE of which this VM is no owner, chosen by
   RANDOM; NULL if there is none. */
struct fleet_endpoint *fleet_choose_not_owned (const struct fleet *f,
                                               const char *service,
                                               uint64_t random,
                                               int64_t now_us);
/* Whether this VM owns a brittle endpoint of SERVICE that is in use. */
bool fleet_owns_brittle (const struct fleet *f, const char *service,
                         int64_t now_us);
/* Whether this VM's share of what E bears, if it is brittle, allows it to
   select E; the next three record that it was selected at PLACED_US, sent to,
   which is false if the share was used meanwhile, and refused the request. */
bool fleet_may_place_brittle (const struct fleet *f,
                              const struct fleet_endpoint *e, int64_t now_us);
void fleet_brittle_placed (struct fleet *f, struct fleet_endpoint *e,
                           int64_t now_us);
bool fleet_take_brittle (struct fleet *f, struct fleet_endpoint *e,
                         int64_t placed_us, int64_t now_us);
void fleet_brittle_refused (struct fleet *f, struct fleet_endpoint *e,
                            int64_t now_us);

/* Returns the time since the configuration was known to be the newest;
   INT64_MAX if there is none. */
int64_t fleet_conf_age_us (const struct fleet *f, int64_t now_us);
/* Returns the time since the list of endpoints was known to be current;
   INT64_MAX if it was never read. */
int64_t fleet_list_age_us (const struct fleet *f, int64_t now_us);
/* Returns whether the list was current, or was not readable, less than
   list_age_max_us ago.  Otherwise this VM was suspended, and may not have read
   yet that an endpoint left. */
bool fleet_is_list_known (const struct fleet *f, int64_t now_us);
/* Returns for how long E's entry has been missing; 0 if it is listed. */
int64_t fleet_missing_us (const struct fleet_endpoint *e, int64_t now_us);

/* --- choice of an endpoint (pick.c) ---------------------------------- */

#define PICK_EXCLUDE_MAX 8 /* endpoints that one request may have tried */

/* Prompt tokens of a request, by where they can be found. */
struct pick_work
{
  int64_t shared_tokens; /* tokens in parts that other prompts share */
  int64_t stored_tokens; /* of these, tokens in KV cache stores */
  int64_t own_tokens;    /* all other tokens */
  uint64_t part;         /* digest of the last shared part */
};

struct load_table;

struct pick_query
{
  const char *service;  /* service that the request is for */
  const char *domain;   /* failure domain of this VM */
  const char *affinity; /* prompt prefix to place by, or NULL */
  const struct fleet_endpoint
      *exclude[PICK_EXCLUDE_MAX];   /* endpoints that were tried already */
  int nexclude;                     /* entries in exclude */
  struct fleet_region_limits homes; /* regions that it may use */
  uint64_t build_key;               /* of the endpoints that may be chosen, 0
                                       for all */
  uint64_t random;                  /* random number that breaks ties */
  struct pick_work work;            /* prompt tokens; zeros for a plain
                                       service */
  const struct load_table *loads;   /* load that all VMs reported, or NULL */
  bool by_reports; /* speeds of endpoints count, and requests without a
                      prompt are spread by load */
  int64_t target_latency_us; /* latency target, 0 if none */
};

enum pick_code
{
  PICK_CHOSEN,
  PICK_NO_ENDPOINT,        /* the service has no endpoint */
  PICK_ALL_TRIED,          /* all were tried, or their weights are too old */
  PICK_COLD,               /* some are cold and their rate is used up */
  PICK_LIMITED,            /* some have a limit, and this VM's share is used */
  PICK_BRITTLE,            /* some are brittle, and this VM's share is used */
  PICK_BACKOFF,            /* some requested a backoff */
  PICK_REGION_NOT_ALLOWED, /* some are in no region that the request may use */
  PICK_EVACUATED,          /* some are in an evacuated domain */
  PICK_NO_BUILD            /* none has the build that is asked for */
};

struct pick_choice
{
  enum pick_code code;             /* result, or why none was chosen */
  struct fleet_endpoint *endpoint; /* the chosen endpoint; not a new
                                      reference */
  int candidates;                  /* endpoints that were eligible */
  int load;                        /* expected requests at the chosen one */
  int64_t pending_prefill_tokens;  /* tokens to prefill there before the
                                      request's own */
  int64_t kv_tokens;               /* KV cache tokens in use there */
  bool has_part;      /* the last shared part is there, or in prefill */
  int64_t wait_us;    /* expected time there to the first chunk */
  int over_bound;     /* endpoints rejected for their load */
  int slow;           /* endpoints avoided for their speed */
  int64_t backoff_us; /* until the first backoff ends; with PICK_BACKOFF */
  int64_t version;    /* weight version that it is assumed to have */
  int speed_percent;  /* estimated speed of the chosen endpoint */
};

struct pick_choice pick_endpoint (const struct fleet *f,
                                  const struct pick_query *q, int64_t now_us);
const char *pick_code_name (enum pick_code code);

/* Returns whether E requested a backoff that has not ended. */
bool pick_is_backoff_requested (const struct fleet_endpoint *e,
                                int64_t now_us);
/* Returns the estimated number of requests at E now. */
int pick_load (const struct fleet_endpoint *e, int64_t now_us);

/* Events of the requests at an endpoint. */
void pick_request_sent (struct fleet_endpoint *e);
void pick_request_ended (struct fleet_endpoint *e);
void pick_load_reported (struct fleet_endpoint *e, int running,
                         int64_t now_us);
void pick_request_succeeded (struct fleet_endpoint *e);
/* Updates the prefill rate: TOKENS, of a prompt and of what was pending before
   it, took WAIT_US until the first chunk of the answer. */
void pick_learn_prefill_rate (struct fleet *f, const struct fleet_endpoint *e,
                              int64_t tokens, int64_t wait_us);
/* Returns the estimated prefill rate of an endpoint of the service, in tokens
   a second. */
int64_t pick_prefill_rate (const struct fleet *f, const char *service);
/* A pause of PAUSE_US between two events of a stream at E; PENDING if prompts
   were pending there. */
void pick_learn_pause (struct fleet *f, const struct fleet_endpoint *e,
                       bool pending, int64_t pause_us, int64_t now_us);
/* The first chunk of an answer came after WAIT_US, or had not come by then. */
void pick_first_chunk (struct fleet *f, struct fleet_endpoint *e,
                       int64_t wait_us, int64_t now_us);
/* Returns the expected time to the first chunk at E. */
int64_t pick_expected_wait_us (const struct fleet *f,
                               const struct fleet_endpoint *e, int64_t now_us);
void pick_request_failed (struct fleet_endpoint *e, int64_t now_us);
/* E's address refused the connection. */
void pick_connection_refused (struct fleet_endpoint *e, int64_t now_us);
void pick_overload_refused (struct fleet_endpoint *e, int64_t now_us);

/* Returns whether A reloads weights before B; the order is the same on all
   VMs. */
bool pick_reload_before (const struct fleet_endpoint *a,
                         const struct fleet_endpoint *b);

/* Returns how many endpoints of MODEL may reload weights at a time: more when
   some endpoints take no work because of old weights. */
int pick_reload_max (const struct fleet *f, const char *model, int64_t now_us);

#endif
