/*
 * The simulated environment of the model checks: simulated time, VMs with the
 * real orders and follow modules, a store with one row and successive
 * announcements, and endpoints that do not check fencing tokens.  The search
 * decides what goes wrong.
 */
#ifndef CQ_MODELWORLD_H
#define CQ_MODELWORLD_H

#include <apr_ring.h>

#include "decide.h"
#include "follow.h"
#include "model.h"
#include "orders.h"

#define MS CQ_US_PER_MS
#define WORLD_VMS 3
#define WORLD_ENDPOINTS 4
#define WORLD_LEASE_MS 3000 /* required time between orders of two holders */

/* Safeguards that a case may switch off. */
enum world_off
{
  OFF_UNTIL = 1,   /* the row says until when its holder may order */
  OFF_GAP = 2,     /* a successor waits for the gap */
  OFF_BEGIN = 4,   /* the row says from when its holder may order */
  OFF_SAME_VM = 8, /* only incarnations of one VM continue without the gap */
  OFF_PRECONDITION = 16, /* a write names the row's version */
  OFF_LAST_CHECK = 32,   /* the lease is checked before the first byte */
  OFF_ACKNOWLEDGED = 64, /* only acknowledged writes count */
  OFF_STORE_CLOCK = 128, /* one clock counts, the store's */
  OFF_SINCE = 256, /* outdated weights are accepted for a time counted from the
                      announcement, not from when it was seen */
  OFF_ROW_TIMES = 512,      /* the row contains the times of announcements */
  OFF_ANSWER_BOUNDS = 1024, /* answers tell what was not yet announced */
  OFF_LOWER_VERSION = 2048, /* a report may lower the known weight version */
  OFF_ERA_ROW = 8192,    /* a row of an earlier era does not name the holder */
  OFF_ERA_FENCE = 16384, /* fencing tokens contain the store's era */
  OFF_ERA = 32768,       /* replies give the store's era */
  OFF_UNCERTAIN = 4096   /* a refusal without a weight version makes the known
                        version uncertain */
};

struct vm;

/* Timers of one incarnation of a VM. */
struct loop
{
  struct vm *vm;                                /* VM that owns the timers */
  APR_RING_HEAD (vm_timers, loop_timer) timers; /* armed */
};

/* A VM and its current incarnation. */
struct vm
{
  int index;             /* index in world.vms */
  int incarnation;       /* incarnations so far */
  bool up;               /* it runs */
  bool dying;            /* this incarnation ends with the current step */
  bool inside;           /* it is frozen in the middle of a step */
  int64_t frozen_us;     /* it is frozen until then */
  int64_t started_us;    /* start of this incarnation */
  struct loop loop;      /* its timers */
  struct fleet fleet;    /* its view of the endpoints */
  struct orders *orders; /* its orders module */
  struct follow *follow; /* its connection to the store; NULL if it learns
                            announcements at once */
};

/* An endpoint. */
struct world_endpoint
{
  int64_t seq;        /* orders taken */
  int64_t version;    /* version of its weights */
  bool busy;          /* it loads weights */
  int64_t started_ms; /* start of this incarnation */
};

/* An announced version. */
struct world_announcement
{
  int64_t at_us;   /* when the store received it */
  int64_t version; /* the version */
  int64_t change;  /* the store's count of changes then */
};

#define WORLD_ANNOUNCEMENTS 3

/* A scheduled event. */
struct event
{
  int64_t at_us;                 /* time of the event */
  unsigned number;               /* order among events at the same time */
  int vm;                        /* VM that the event concerns, or -1 */
  int incarnation;               /* incarnation of that VM */
  void (*run) (struct event *e); /* callback of the event */
  lease_done lease;              /* callback of a call about the row */
  state_done state;              /* callback of a state query */
  order_done order;              /* callback of an order */
  follow_done news;              /* callback of a poll */
  void *arg;                     /* passed to the callback */
  struct lease_reply reply;      /* reply about the row */
  struct lease_row row;          /* row to be written */
  int64_t expected;              /* expected version of the row */
  struct endpoint_state is;      /* state of an endpoint */
  struct load_order load;        /* an order in flight */
  enum order_code code;          /* outcome of the order */
  int endpoint;                  /* endpoint that the event concerns */
  enum follow_source source;     /* source that is polled */
  int announcement;              /* newest announcement in the answer, or -1 */
  int64_t after;   /* the poll asks for changes after this one; -1: all */
  int64_t came_us; /* when the poll reached the store */
  int64_t late_us; /* additional delay of the answer */
};

struct world
{
  const struct model_case *model; /* the case */
  bool follows;                   /* VMs poll the store for announcements */
  bool calm;                      /* no faults are injected for now */
  bool unreached;     /* VMs in turn report that they reach no endpoint */
  bool endless;       /* loads do not end within the run */
  bool with_restarts; /* endpoints restart and orders arrive late */
  int64_t now_us;     /* simulated time */
  unsigned numbers;   /* number of events so far */
  int nested;         /* depth of steps in which a VM is frozen */
  GPtrArray *events;  /* struct event */
  struct vm vms[WORLD_VMS];  /* all */
  struct lease_row row;      /* the row in the store */
  int64_t row_version;       /* version of the row; 0: no row exists */
  int64_t changes;           /* count of changes of the store */
  int64_t era;               /* restores of the store from a copy, plus 1; 0:
                               the store gives no era */
  struct lease_row copy_row; /* the row in the copy */
  int64_t copy_row_version;  /* its version in the copy; 0: no row exists */
  int64_t copy_changes;      /* count of changes in the copy */
  struct world_endpoint endpoints[WORLD_ENDPOINTS]; /* all */
  int nendpoints;                                   /* number of endpoints */
  struct world_announcement
      announcements[WORLD_ANNOUNCEMENTS]; /* announcements in order */
  int nannouncements;                     /* announcements so far */
  int last_vm;          /* VM whose order arrived last, or -1 */
  int64_t last_us;      /* when that order arrived */
  int64_t last_fence;   /* highest fencing token so far */
  void (*after) (void); /* check after each step, or NULL */
};

extern struct world world;

void world_begin (const struct model_case *model, bool follows);
void world_end (void);
/* Runs events until UNTIL_US or until a property is broken. */
void world_run (int64_t until_us);
/* Starts a new incarnation of a VM, or ends the current one and starts another
   after BACK_US (-1: none). */
void world_start (struct vm *v);
void world_kill (struct vm *v, int64_t back_us);
/* Announces VERSION at AT_US. */
void world_announce (int64_t at_us, int64_t version);
/* A copy of the store is made at COPY_US, and the store is restored from it at
   RESTORE_US. */
void world_restore (int64_t copy_us, int64_t restore_us);
struct event *world_at (int64_t at_us, int vm, void (*run) (struct event *e));
/* Milliseconds since the run began, for notes. */
int world_ms (void);
bool world_is_off (unsigned safeguard);

/* Answers the polls that wait for an announcement. */
void world_wake_polls (void);

/* Restarts an endpoint under its id; its entry shows that later. */
void world_restart (int endpoint);
/* Fills in the endpoint's entry in the store's list. */
void world_list (int endpoint, struct fleet_listing *l);

/* Returns which of N ways a call of V takes; 0: without a fault. */
int world_fault (const struct vm *v, int n);

/* Operations of the store, which inject faults into calls (modelstore.c). */
void world_lease_ops (struct orders_ops *ops);
void world_follow_ops (struct follow_ops *ops);
/* The VM that makes a call may be frozen or end before the call is sent;
   returns false if it is not sent. */
bool world_send_call (struct vm *v, int way);
#define WORLD_SEND_WAYS 6

#endif
