/*
 * Orders to endpoints: bringing their weights to the version that was named.
 *
 * One VM of all gives orders at a time, under a lease in the platform's
 * store.  Each order names the endpoint's life and the number of orders that
 * it has taken, so one that is carried out late changes nothing that came
 * after it.
 */
#ifndef CQ_ORDERS_H
#define CQ_ORDERS_H

#include "fleet.h"
#include "lease.h"
#include "loop.h"
#include "notice.h"

/* --- the lease's row ------------------------------------------------- */

enum lease_code
{
  LEASE_OK,       /* read, or written */
  LEASE_CONFLICT, /* somebody else wrote first: the row is theirs */
  LEASE_REFUSED,  /* over a rate, or turned away: nothing was done */
  LEASE_UNKNOWN   /* no answer: it may have been written */
};

struct lease_reply
{
  enum lease_code code; /* whether the rest counts */
  bool exists;          /* the row is there */
  bool unreadable;      /* and does not say what a row must */
  struct lease_row row; /* as the store has it */
  int64_t version;      /* of the row; grows with each write */
  int64_t store_ms;     /* the store's clock, 0 if unsaid */
};

typedef void (*lease_done) (void *arg, const struct lease_reply *reply);

/* --- endpoints ------------------------------------------------------- */

/* What an endpoint says about itself. */
struct endpoint_state
{
  bool reached;         /* it answered */
  int64_t started_ms;   /* start of the life that answered, 0 if unsaid */
  bool busy;            /* it carries out an order */
  int64_t seq;          /* orders it has taken */
  int64_t version;      /* weights of its model */
  int running;          /* requests it runs and holds */
  struct notice notice; /* what it says of itself besides */
};

typedef void (*state_done) (void *arg, const struct endpoint_state *state);

/* An order to load weights. */
struct load_order
{
  const char *model;     /* whose weights */
  int64_t version;       /* to load */
  const char *holder;    /* who orders */
  int64_t fence;         /* grows with each holder */
  int64_t seq;           /* orders that the endpoint must have taken */
  bool continue_running; /* under the new weights; else they end first */
};

enum order_code
{
  ORDER_ACCEPTED,   /* it is being carried out */
  ORDER_UP_TO_DATE, /* nothing is left to do */
  ORDER_BUSY,       /* another order came first */
  ORDER_REJECTED,   /* the endpoint does not take it */
  ORDER_UNKNOWN     /* no answer: it may be carried out, even later */
};

/* NOTICE is NULL if that endpoint did not answer. */
typedef void (*order_done) (void *arg, enum order_code code,
                            const struct notice *notice);

struct orders_ops
{
  void (*read_lease) (void *ctx, lease_done done, void *arg);
  /* Write ROW if the row's version is EXPECTED, 0 if there must be none. */
  void (*write_lease) (void *ctx, const struct lease_row *row,
                       int64_t expected, lease_done done, void *arg);
  void (*query_state) (void *ctx, const struct fleet_endpoint *e,
                       state_done done, void *arg);
  /* MAY_SEND is asked just before the first byte. */
  void (*order) (void *ctx, const struct fleet_endpoint *e,
                 const struct load_order *order, bool (*may_send) (void *arg),
                 order_done done, void *arg);
  void *ctx; /* passed to all */
};

struct orders_opts
{
  struct loop *loop;     /* whose thread runs it */
  struct fleet *fleet;   /* beliefs */
  struct orders_ops ops; /* adapter */
  const char *vm;        /* this VM's name */
  int64_t holder_gap_us; /* between orders of two holders */
  uint64_t seed;         /* of pauses */
};

struct orders;

struct orders *orders_new (const struct orders_opts *opts);
/* Beliefs changed: look whether there is something to do. */
void orders_check (struct orders *o, int64_t now_us);
/* Give no more orders, and let the lease go. */
void orders_stop (struct orders *o);
void orders_free (struct orders *o);
/* Whether this VM is the one that gives orders. */
bool orders_has_lease (const struct orders *o);
/* Calls under way. */
int orders_pending_calls (const struct orders *o);

#endif
