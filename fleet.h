/*
 * What a VM believes of the fleet it serves: the operators' routes, services,
 * workspaces and keys, the endpoints, and the weight versions wanted.
 *
 * An adapter decodes what its platform says into these types; everything that
 * decides reads only them.  Present time is an argument; times are
 * microseconds of CLOCK_BOOTTIME.
 */
#ifndef CQ_FLEET_H
#define CQ_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include <apr_ring.h>

#include "cold.h"
#include "limit.h"

/* --- the operators' configuration ------------------------------------ */

/* What may be repeated, and how the answer comes. */
enum fleet_kind
{
  FLEET_IDEMPOTENT,   /* may run more than once */
  FLEET_AT_MOST_ONCE, /* runs at most once */
  FLEET_STREAM        /* events; at most once unless it may resume */
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
  char *prefix;               /* head of the path, from slash to slash */
  enum fleet_kind kind;       /* what may be repeated */
  int64_t timeout_us;         /* longest wait for the answer */
  int64_t target_latency_us;  /* time in which an answer is worth most */
  int64_t event_gap_us;       /* longest pause between events, 0 if none */
  int priority;               /* 0 goes first */
  int max_attempts;           /* endpoints one request may be sent to */
  bool anonymous;             /* no key is needed */
  bool sticky;                /* prompts share heads worth finding again */
  bool resumable;             /* a stream may go on at another endpoint */
  char **allowed_regions;     /* regions it may use; NULL for all */
  struct fleet_split *splits; /* where its requests go */
  int nsplits;                /* entries in splits, at least one */
};

/* A service as the operator declared it. */
struct fleet_service
{
  char *name;                 /* named by splits and endpoints */
  char *model;                /* of its engines; NULL for a plain service */
  int64_t kv_capacity_tokens; /* of KV cache that it holds, 0 if unknown */
  int64_t kv_token_bytes; /* of a token in an engine's cache, 0 if unknown */
  char *domain;           /* failure domain of a store, or NULL */
  int64_t link_mbit_s;    /* its link, 0 if unknown */
  int64_t
      transfer_latency_us; /* that each of its transfers waits in addition */
  char *store_address;     /* IP:PORT if it is a store of kept KV cache */
  int calls_max;           /* that a store holds at once; 0 if unsaid */
  int64_t cold_start_us;   /* an endpoint is cold for so long after a start */
  int cold_requests_s;     /* requests a second that it bears then */
};

struct fleet_workspace
{
  char *name;             /* told to endpoints */
  int priority;           /* goes before the route's; -1 if it has none */
  bool isolated;          /* shares no cached work with others */
  char **allowed_regions; /* regions its requests may use; NULL for all */
};

/* Bounds on what a caller may send. */
struct fleet_limits
{
  int64_t body_bytes; /* of one request */
  int64_t idle_us;    /* a connection without a request */
};

/* One configuration; immutable once built, shared by reference. */
struct fleet_conf
{
  int refs;              /* holders */
  int64_t version;       /* the operator's number; grows */
  GPtrArray *routes;     /* struct fleet_route */
  GHashTable *services;  /* name to struct fleet_service */
  GPtrArray *workspaces; /* struct fleet_workspace */
  GHashTable *keys;      /* key to struct fleet_workspace */
  GHashTable *hosts;     /* host to GPtrArray of routes, longest first */
  struct fleet_limits limits;
};

struct fleet_conf *fleet_conf_new (void);
/* Build the index after routes were added. */
void fleet_conf_build_index (struct fleet_conf *c);
struct fleet_conf *fleet_conf_ref (struct fleet_conf *c);
void fleet_conf_unref (struct fleet_conf *c);
void fleet_route_free (struct fleet_route *r);
void fleet_service_free (struct fleet_service *s);
void fleet_workspace_free (struct fleet_workspace *w);

/* Route of a request, or NULL; PATH may end in a query. */
const struct fleet_route *fleet_route_find (const struct fleet_conf *c,
                                            const char *host,
                                            const char *path);
/* Service that gets the request with this digest. */
const char *fleet_split_select (const struct fleet_route *r, uint64_t digest);

/* --- endpoints ------------------------------------------------------- */

#define FLEET_NAME_SIZE 64 /* bytes of an id, address or name with its NUL */

/*
 * An endpoint as the platform lists it.  It may start again under its id, and
 * then holds and knows nothing of before: its id and its start together are
 * one life.
 */
struct fleet_listing
{
  char id[FLEET_NAME_SIZE];      /* of the endpoint, in all its lives */
  int64_t started_ms;            /* start of this life, Unix time; 0: unsaid */
  char address[FLEET_NAME_SIZE]; /* IP:PORT */
  char service[FLEET_NAME_SIZE]; /* that it serves */
  char domain[FLEET_NAME_SIZE];  /* failure domain */
  char model[FLEET_NAME_SIZE];   /* whose weights it has; "" if plain */
  int64_t version;               /* of these weights */
  int slots;                     /* requests it runs at once */
  bool draining;                 /* it is leaving */
  int64_t cold_us;               /* it stays cold for so long, by its entry */
};

/* A wait as this VM sees it. */
struct fleet_ewma
{
  int64_t smoothed_us; /* over the answers seen */
  int64_t updated_us;  /* when the last one was; 0 for never */
};

/* A service as this VM sees it. */
struct fleet_service_stats
{
  char service[FLEET_NAME_SIZE]; /* its name */
  struct fleet_ewma first_chunk; /* for first pieces, over all endpoints */
  int64_t short_prompt_us; /* smoothed first piece of prompts that are short */
  int64_t prefill_tokens;  /* of long prompts, older ones counting less */
  int64_t prefill_us;      /* that these took beyond a short one */
};

/* Percent of their weight that reasons have in placing; experiments only. */
struct pick_factors
{
  int pending_prefill; /* work that is ahead at an endpoint */
  int memory;          /* that would run out there */
  int parts;           /* kept ones that are found where a prompt is at home */
};

/* One life of an endpoint on this VM.  A younger one gets a struct of its own:
   so nothing that was believed of a life, and nothing that a request still
   hears from it, is taken for the next one's. */
struct fleet_endpoint
{
  APR_RING_ENTRY (fleet_endpoint) link; /* in the fleet's list */
  struct fleet_listing is;              /* last listing */
  int refs;                             /* the list, and requests at it */
  bool draining;            /* sticky: some source said that it leaves */
  bool gone;                /* it is listed no more */
  int64_t missing_since_us; /* missing since, while that is doubted; or 0 */
  int64_t version;          /* weights by its last word on any channel */
  int64_t version_us;       /* when that word came */
  bool version_doubted;     /* it refused these weights and named no others */
  uint64_t key;             /* of this life, among VMs */
  int running;              /* our requests at it */
  int reported_running;     /* requests it runs and holds, by its report */
  int64_t reported_us;      /* when it said so; 0 for never */
  int sent_since;           /* our sends since then, less our ends */
  int failures;             /* in a row */
  int64_t backoff_until_us; /* gets nothing until then, after failures */
  int64_t full_until_us;    /* it refused for want of room: last choice */
  int64_t requested_backoff_until_us; /* it wants nothing from this VM until
                                         then */
  int64_t reload_ordered_us; /* when its weights were ordered, 0 if not */
  struct cold cold;          /* whether it bears but a low rate, and whose */
  struct limit limit;        /* that it named for all VMs */
  struct fleet_ewma first_chunk; /* for the first piece of its answers */
};

/* --- beliefs --------------------------------------------------------- */

#define FLEET_NAMED_MAX 8 /* versions remembered for a model */

/* A weight version that was named. */
struct fleet_named
{
  int64_t version;    /* its number */
  int64_t learned_us; /* when this VM heard of it */
};

#define FLEET_NAMING_BOUNDS_MAX 8 /* of one model */
#define FLEET_NEVER INT64_MIN     /* as a time: not known */

/* No version from VERSION on had been named at AT_US.  Named versions grow,
   and one may be named and replaced unseen: so nothing is said of a single
   one. */
struct fleet_naming_bound
{
  int64_t version; /* the lowest of them */
  int64_t at_us;   /* then */
};

/* Weight versions named for a model, oldest first. */
struct fleet_wanted
{
  char model[FLEET_NAME_SIZE];               /* model */
  int64_t version;                           /* newest version named */
  struct fleet_named named[FLEET_NAMED_MAX]; /* the newest ones */
  int nnamed;                                /* entries in named */
  struct fleet_naming_bound bounds[FLEET_NAMING_BOUNDS_MAX]; /* by version */
  int nbounds; /* entries in facts */
};

/* Regions that bind a request; both lists do, where there are two. */
struct fleet_region_limits
{
  const char *const *route;     /* of its route; NULL for all */
  const char *const *workspace; /* of who asks; NULL for all */
};

/* A failure domain that the operator evacuates. */
struct fleet_evacuation
{
  char domain[FLEET_NAME_SIZE]; /* its name */
  int64_t missing_since_us;     /* not in a whole list since, while that is
                                 * doubted; or 0
                                 */
};

struct fleet
{
  struct fleet_conf *conf; /* in force; NULL while none is known */
  int64_t conf_row;        /* change that brought it */
  APR_RING_HEAD (fleet_ring, fleet_endpoint) endpoints; /* all listed */
  struct fleet_ring former;  /* listed no more, oldest first: what they said of
                                themselves binds if they are listed again */
  int nformer;               /* entries in former */
  GHashTable *by_id;         /* id to struct fleet_endpoint */
  bool listed;               /* endpoints were listed once */
  GArray *wanted;            /* struct fleet_wanted */
  GArray *service_stats;     /* struct fleet_service_stats */
  GArray *evacuated;         /* struct fleet_evacuation */
  GHashTable *regions;       /* failure domain to its region */
  int64_t conf_current_us;   /* the configuration was current then; 0: never */
  int64_t list_recovered_us; /* the list could be read again since */
  struct pick_factors factors; /* as set */
  int64_t outdated_accept_us;  /* old weights take work this long after newer
                          ones  were named; 0 for ever */
  int64_t outdated_start_us; /* and nothing begins on them after so long; 0: it
                         does for ever */
  /* This VM's part of a cold endpoint's RATE; NULL if it knows no others. */
  int (*cold_part) (void *arg, uint64_t endpoint, int rate);
  /* Time between this VM's requests to an endpoint whose limit is MILLI; NULL
     if it knows no others. */
  int64_t (*limit_interval_us) (void *arg, uint64_t endpoint, int64_t milli,
                                int64_t now_us);
  void *share_arg; /* passed to both */
};

void fleet_init (struct fleet *f);
void fleet_clear (struct fleet *f);

/* Take over a configuration read in change ROW; false if it is not newer. */
bool fleet_apply_conf (struct fleet *f, struct fleet_conf *c, int64_t row);

/* A named weight version; false if it is not newer.  Neither it nor a newer
   one was named before EARLY_US, 0 if that is not known. */
bool fleet_apply_wanted (struct fleet *f, const char *model, int64_t version,
                         int64_t early_us, int64_t now_us);
/* What was named of all models was the newest at AT_US. */
void fleet_confirm_wanted (struct fleet *f, int64_t at_us);
/* No version of MODEL from VERSION on was named before AT_US. */
void fleet_add_naming_bound (struct fleet *f, const char *model,
                             int64_t version, int64_t at_us);
/* The latest such moment that is known, or FLEET_NEVER. */
int64_t fleet_earliest_naming_us (const struct fleet *f, const char *model,
                                  int64_t version);
/* When this VM first heard of VERSION or a newer one; FLEET_NEVER if not. */
int64_t fleet_version_learned_us (const struct fleet *f, const char *model,
                                  int64_t version);
/* When E's weights can have become outdated at the earliest, or FLEET_NEVER if
   that is not known. */
int64_t fleet_earliest_outdated_us (const struct fleet *f,
                                    const struct fleet_endpoint *e);
/* When this VM heard of the first version newer than E's; 0 if E's is the
   newest. */
int64_t fleet_outdated_learned_us (const struct fleet *f,
                                   const struct fleet_endpoint *e);
/* That version itself, or NULL. */
const struct fleet_named *fleet_outdated_by (const struct fleet *f,
                                             const struct fleet_endpoint *e);
/* Whether the operator configured the service that E names. */
bool fleet_is_declared (const struct fleet *f, const struct fleet_endpoint *e);
/* Whether E stays, serves something that the operator configured, and newer
   weights than its own were named, or nobody knows which it has. */
bool fleet_needs_weights (const struct fleet *f,
                          const struct fleet_endpoint *e);
/* Whether E's weights were outdated LIMIT_US ago, or may have been. */
bool fleet_is_outdated_for (const struct fleet *f,
                            const struct fleet_endpoint *e, int64_t limit_us,
                            int64_t now_us);
/* E said, on any channel, that it has VERSION; that was so at AT_US or later,
   FLEET_NEVER if it may have been long before. */
void fleet_apply_version (struct fleet_endpoint *e, int64_t version,
                          int64_t at_us, int64_t now_us);
/* E refused to work on the weights that it is believed to have. */
void fleet_doubt_version (struct fleet_endpoint *e);
const struct fleet_wanted *fleet_wanted_of (const struct fleet *f,
                                            const char *model);

/* How what somebody says of an endpoint stands to the life that is known. */
enum fleet_incarnation
{
  FLEET_INCARNATION_SAME,   /* that life */
  FLEET_INCARNATION_NEWER,  /* it started again since, or was not known */
  FLEET_INCARNATION_OLDER,  /* news of a life that is over */
  FLEET_INCARNATION_UNKNOWN /* it says no start, though one is known */
};

/* E may be NULL; BORN_MS is 0 if the news says no start. */
enum fleet_incarnation
fleet_incarnation_compare (const struct fleet_endpoint *e, int64_t born_ms);
const char *fleet_incarnation_name (enum fleet_incarnation life);

/* An endpoint is listed, or listed in another way; what is said of an older
   life than the known one, or of no life, changes nothing.  Returns the life
   that is known then. */
struct fleet_endpoint *fleet_apply_listing (struct fleet *f,
                                            const struct fleet_listing *l,
                                            int64_t now_us);
/* E itself says that it started at BORN_MS, later than was known. */
struct fleet_endpoint *fleet_apply_restart (struct fleet *f,
                                            struct fleet_endpoint *e,
                                            int64_t born_ms, int64_t now_us);

/* An entry was removed, or is not in a whole list. */
void fleet_apply_missing (struct fleet *f, struct fleet_endpoint *e,
                          int64_t now_us);

/* Whether an entry that is missing counts as removed at once, not doubted. */
bool fleet_is_list_settled (const struct fleet *f, int64_t now_us);
/* Drop the entries whose return has been waited for long enough. */
void fleet_remove_missing (struct fleet *f, int64_t now_us);

/* Contact with the list of endpoints was lost until NOW_US. */
void fleet_list_recovered (struct fleet *f, int64_t now_us);

struct fleet_endpoint *fleet_endpoint_ref (struct fleet_endpoint *e);
void fleet_endpoint_unref (struct fleet_endpoint *e);

/* Take over which region each failure domain is in, DOMAIN=REGION parted by
   spaces; false if a part says no such thing. */
bool fleet_parse_regions (struct fleet *f, const char *text);
/* Whether a request with HOMES may use what stands in DOMAIN.  The region of
   a domain that nobody named is no home. */
bool fleet_is_region_allowed (const struct fleet *f,
                              const struct fleet_region_limits *homes,
                              const char *domain);
/* Whether nothing may be sent to the endpoints of DOMAIN. */
bool fleet_is_evacuated (const struct fleet *f, const char *domain);
/* Work out this VM's part of the rate of each endpoint that is cold or named a
   limit. */
void fleet_refresh_rate_shares (struct fleet *f, int64_t now_us);

/* Age of the knowledge of configuration; INT64_MAX if there is none. */
int64_t fleet_conf_age_us (const struct fleet *f, int64_t now_us);

/* --- choice of an endpoint (pick.c) ---------------------------------- */

#define PICK_EXCLUDE_MAX 8 /* endpoints that one request has tried */

/* What a request asks of an endpoint, in tokens of its prompt. */
struct pick_work
{
  int64_t shared; /* in parts that others share */
  int64_t stored; /* of these, in stores */
  int64_t own;    /* the rest */
  uint64_t part;  /* digest of the last shared part */
};

struct load_table;

struct pick_query
{
  const char *service;  /* asked for */
  const char *domain;   /* of this VM */
  const char *affinity; /* part of the prompt to find again, or NULL */
  const struct fleet_endpoint *exclude[PICK_EXCLUDE_MAX]; /* tried before */
  int nexclude;                     /* entries in exclude */
  struct fleet_region_limits homes; /* regions that it may use */
  uint64_t random;                  /* breaks ties */
  struct pick_work work;            /* zeros for a plain service */
  const struct load_table *loads;   /* work of all VMs, or NULL */
};

enum pick_code
{
  PICK_CHOSEN,
  PICK_NO_ENDPOINT, /* the service has no endpoint */
  PICK_ALL_TRIED,   /* all were tried, or have weights that are too old */
  PICK_COLD,        /* and some are cold, and have their rate of requests */
  PICK_LIMITED, /* and some named a limit, of which this VM's part is used */
  PICK_BACKOFF, /* and some asked this VM to send them nothing for a while */
  PICK_REGION_NOT_ALLOWED, /* and some stand in no region that the request may
                              use */
  PICK_EVACUATED           /* and some stand in a domain that is evacuated */
};

struct pick_choice
{
  enum pick_code code;             /* whether, or why not */
  struct fleet_endpoint *endpoint; /* chosen */
  int candidates;                  /* endpoints that could be chosen */
  int load;                        /* expected requests at the chosen one */
  int64_t pending_prefill_tokens;  /* tokens to be read there before the
                                      request's own */
  int64_t kv_tokens;               /* tokens of memory that are taken there */
  bool has_part;      /* the last shared part is there, or being read */
  int64_t wait_us;    /* expected there for the first piece of an answer */
  int over_bound;     /* endpoints passed over for load */
  int64_t backoff_us; /* until the first one has rested; with PICK_RESTING */
  int64_t version;    /* weights it is believed to have */
};

struct pick_choice pick_endpoint (const struct fleet *f,
                                  const struct pick_query *q, int64_t now_us);
const char *pick_code_name (enum pick_code code);

/* Whether E asked this VM to send it nothing now. */
bool pick_is_backoff_requested (const struct fleet_endpoint *e,
                                int64_t now_us);
/* Requests expected at E now. */
int pick_load (const struct fleet_endpoint *e, int64_t now_us);

/* What an endpoint's answers say. */
void pick_request_sent (struct fleet_endpoint *e);
void pick_request_ended (struct fleet_endpoint *e);
void pick_load_reported (struct fleet_endpoint *e, int running,
                         int64_t now_us);
void pick_request_succeeded (struct fleet_endpoint *e);
/* TOKENS, to be read for a prompt and before it, took WAIT_US until the first
   piece of its answer. */
void pick_learn_prefill_rate (struct fleet *f, const struct fleet_endpoint *e,
                              int64_t tokens, int64_t wait_us);
/* Tokens that endpoints of the service read in a second, as learned. */
int64_t pick_prefill_rate (const struct fleet *f, const char *service);
/* The first piece of an answer came after WAIT_US, or had not come by then. */
void pick_first_chunk (struct fleet *f, struct fleet_endpoint *e,
                       int64_t wait_us, int64_t now_us);
/* Expected wait for the first piece at E. */
int64_t pick_expected_wait_us (const struct fleet *f,
                               const struct fleet_endpoint *e, int64_t now_us);
void pick_request_failed (struct fleet_endpoint *e, int64_t now_us);
/* Nothing listens at E's address. */
void pick_connection_refused (struct fleet_endpoint *e, int64_t now_us);
void pick_overload_refused (struct fleet_endpoint *e, int64_t now_us);

/* Whether A changes weights before B: an order that all VMs know. */
bool pick_reload_before (const struct fleet_endpoint *a,
                         const struct fleet_endpoint *b);

/* Endpoints of MODEL that change weights at once: more as time runs out. */
int pick_reload_max (const struct fleet *f, const char *model, int64_t now_us);

#endif
