/*
 * The world of a model check: played time, VMs with the real orders and
 * follow, a store with one row and one naming after another, endpoints that
 * do not check fences.  What goes wrong is asked of the search.
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
#define WORLD_LEASE_MS 3000 /* between orders of two holders, by the rule */

/* Safeguards that a case may switch off. */
enum world_off
{
  OFF_UNTIL = 1,         /* a row says until when its holder may order */
  OFF_GAP = 2,           /* a successor waits for the gap */
  OFF_BEGIN = 4,         /* a row says from when its holder may order */
  OFF_SAME_VM = 8,       /* only lives of one VM go on without the gap */
  OFF_PRECONDITION = 16, /* a write names the row's version */
  OFF_LAST_LOOK = 32,    /* the lease is looked at before the first byte */
  OFF_ACKNOWLEDGED = 64, /* only acknowledged writes count */
  OFF_STORE_CLOCK = 128, /* there is one clock, the store's */
  OFF_SINCE = 256,       /* grace counts from the naming, not the hearing */
  OFF_RECORD = 512,      /* the row keeps when versions were named */
  OFF_MARKS = 1024,      /* answers tell what had not been named yet */
  OFF_FALL = 2048,       /* a word may lower what is believed of weights */
  OFF_DOUBT = 4096       /* a refusal that names no weights raises a doubt */
};

struct vm;

/* Timers of one life of a VM. */
struct loop
{
  struct vm *vm;                                /* whose */
  APR_RING_HEAD (vm_timers, loop_timer) timers; /* armed */
};

/* A VM and its present life. */
struct vm
{
  int index;             /* among all */
  int life;              /* lives so far */
  bool up;               /* it runs */
  bool dying;            /* this life ends with the present step */
  bool inside;           /* it stands still in the middle of a step */
  int64_t frozen_us;     /* it stands still until then */
  int64_t began_us;      /* this life */
  struct loop loop;      /* its timers */
  struct fleet fleet;    /* beliefs */
  struct orders *orders; /* weights */
  struct follow *follow; /* what the store says; NULL if told at once */
};

/* An endpoint. */
struct world_endpoint
{
  int64_t seq;     /* orders it took */
  int64_t version; /* of its weights */
  bool busy;       /* it loads */
  int64_t born_ms; /* this life */
};

/* A version that was named. */
struct world_naming
{
  int64_t at_us;   /* when the store had it */
  int64_t version; /* its number */
  int64_t change;  /* count of changes then */
};

#define WORLD_NAMINGS 3

/* Something that is to happen. */
struct event
{
  int64_t at_us;                 /* then */
  unsigned number;               /* first come, first served */
  int vm;                        /* to it, or -1 */
  int life;                      /* of that VM */
  void (*run) (struct event *e); /* what happens */
  lease_done lease;              /* whom to tell */
  state_done state;              /* likewise */
  order_done order;              /* likewise */
  follow_done news;              /* likewise */
  void *arg;                     /* passed to it */
  struct lease_reply reply;      /* about the row */
  struct lease_row row;          /* to be written */
  int64_t expected;              /* its version */
  struct endpoint_state is;      /* of an endpoint */
  struct load_order load;        /* an order on its way */
  enum order_code code;          /* of its answer */
  int endpoint;                  /* about which */
  enum follow_source source;     /* that is polled */
  int naming;                    /* the newest that it tells, or -1 */
  int64_t after;                 /* changes after this one, -1: all */
  int64_t came_us;               /* a poll, to the store */
  int64_t late_us;               /* its answer takes longer by so much */
};

struct world
{
  const struct model_case *model; /* as asked for */
  bool follows;                   /* VMs poll the store for namings */
  bool calm;                      /* nothing goes wrong for now */
  bool endless;                   /* loads do not end within the run */
  bool lives;                     /* endpoints start again, orders are late */
  int64_t now_us;                 /* time */
  unsigned numbers;               /* events so far */
  int nested;                     /* a VM stands still inside a step */
  GPtrArray *events;              /* struct event */
  struct vm vms[WORLD_VMS];       /* all */
  struct lease_row row;           /* in the store */
  int64_t row_version;            /* 0: there is none */
  int64_t changes;                /* of the store */
  struct world_endpoint endpoints[WORLD_ENDPOINTS]; /* all */
  int nendpoints;                                   /* of them */
  struct world_naming namings[WORLD_NAMINGS];       /* in order */
  int nnamings;                                     /* so far */
  int last_vm;          /* that ordered last, or -1 */
  int64_t last_us;      /* when that arrived */
  int64_t last_fence;   /* highest */
  void (*after) (void); /* looks after each step, or NULL */
};

extern struct world world;

void world_begin (const struct model_case *model, bool follows);
void world_end (void);
/* Let time pass until UNTIL_US, or until a property broke. */
void world_run (int64_t until_us);
/* A new life of a VM begins, or its life ends and another begins after
   BACK_US (-1: none). */
void world_start (struct vm *v);
void world_kill (struct vm *v, int64_t back_us);
/* VERSION is named at AT_US. */
void world_name (int64_t at_us, int64_t version);
struct event *world_at (int64_t at_us, int vm, void (*run) (struct event *e));
/* Milliseconds since the run began, for notes. */
int world_ms (void);
bool world_is_off (unsigned safeguard);

/* Polls that wait for a naming are answered. */
void world_wake_polls (void);

/* An endpoint starts again under its id; its entry says so a while later. */
void world_restart (int endpoint);
/* An endpoint as the store lists it. */
void world_list (int endpoint, struct fleet_listing *l);

/* Which of N ways a call of V goes, 0 for well. */
int world_fault (const struct vm *v, int n);

/* What goes wrong with calls about the row (modelstore.c). */
void world_lease_ops (struct orders_ops *ops);
void world_follow_ops (struct follow_ops *ops);
/* The VM that made a call may stand still or end before it leaves: false if
   it does not leave. */
bool world_leaves (struct vm *v, int way);
#define WORLD_LEAVE_WAYS 6

#endif
