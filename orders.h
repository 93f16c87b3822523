/*
 * Orders to endpoints: makes each endpoint load the weight version that was
 * announced for its model.
 *
 * Of all VMs, one at a time gives orders, under a lease in the platform's
 * store.  Each order names the endpoint's incarnation and the number of orders
 * that the endpoint has taken, so an order that is carried out late does not
 * override a later one.
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
  LEASE_OK,       /* the row was read or written */
  LEASE_CONFLICT, /* another VM wrote first; nothing was written */
  LEASE_REFUSED,  /* rate limited or rejected; nothing was done */
  LEASE_UNKNOWN   /* no answer; the row may have been written */
};

struct lease_reply
{
  enum lease_code code; /* the row counts only with LEASE_OK */
  bool exists;          /* the row exists */
  bool unreadable;      /* the row exists but cannot be parsed */
  struct lease_row row; /* the row's contents */
  int64_t version;      /* version of the row; grows with each write of an era
                         */
  int64_t era;          /* era of the store; 0: not given */
  int64_t store_ms;     /* the store's clock; 0: not given */
};

typedef void (*lease_done) (void *arg, const struct lease_reply *reply);

/* --- endpoints ------------------------------------------------------- */

/* State that an endpoint reports. */
struct endpoint_state
{
  bool reached;       /* the endpoint answered */
  int64_t started_ms; /* start of the incarnation that answered, Unix time; 0:
                         not given */
  bool busy;          /* an order is being carried out */
  int64_t seq;        /* number of orders taken by this incarnation */
  int64_t version;    /* version of its model's weights */
  int running;        /* requests that run or are queued there */
  struct notice notice; /* other notices in the answer, such as limits */
};

typedef void (*state_done) (void *arg, const struct endpoint_state *state);

/* An order to load weights. */
struct load_order
{
  const char *model;     /* model whose weights are loaded */
  int64_t version;       /* weight version to load */
  const char *holder;    /* holder of the lease that gives the order */
  int64_t fence;         /* fencing token; grows with each holder */
  int64_t seq;           /* precondition: orders that the endpoint has taken */
  bool continue_running; /* running requests continue under the new weights; if
                            false, they end before the load */
};

enum order_code
{
  ORDER_ACCEPTED,   /* the endpoint carries it out */
  ORDER_UP_TO_DATE, /* the endpoint already has the version */
  ORDER_BUSY,       /* another order was taken first */
  ORDER_REJECTED,   /* the endpoint rejected it */
  ORDER_UNKNOWN     /* no answer; it may be carried out, even later */
};

/* NOTICE is NULL if the endpoint did not answer. */
typedef void (*order_done) (void *arg, enum order_code code,
                            const struct notice *notice);

struct orders_ops
{
  void (*read_lease) (void *ctx, lease_done done, void *arg);
  /* Writes ROW if the row's version is EXPECTED; 0 means that no row may
     exist. */
  void (*write_lease) (void *ctx, const struct lease_row *row,
                       int64_t expected, lease_done done, void *arg);
  void (*query_state) (void *ctx, const struct fleet_endpoint *e,
                       state_done done, void *arg);
  /* MAY_SEND is called just before the first byte is sent; if it returns
     false, nothing is sent. */
  void (*send_order) (void *ctx, const struct fleet_endpoint *e,
                      const struct load_order *order,
                      bool (*may_send) (void *arg), order_done done,
                      void *arg);
  void *ctx; /* passed to all of these functions */
};

struct orders_opts
{
  struct loop *loop;     /* loop whose thread calls this module */
  struct fleet *fleet;   /* this VM's view of the endpoints */
  struct orders_ops ops; /* platform adapter */
  /* Whether an endpoint of SERVICE can be reached from here, or no other VM
     could give orders instead; NULL: always. */
  bool (*can_reach) (void *arg, const char *service);
  void *arg;             /* for can_reach */
  const char *vm;        /* this VM's name */
  int64_t holder_gap_us; /* minimum time between orders of two holders */
  uint64_t seed;         /* seed of the random delays */
};

struct orders;

struct orders *orders_new (const struct orders_opts *opts);
/* Checks whether endpoints need orders; call it when the fleet changed. */
void orders_check (struct orders *o, int64_t now_us);
/* The platform's store is in ERA, which grows each time it is restored from an
   older copy; 0: it gives none. */
void orders_observe_era (struct orders *o, int64_t era, int64_t now_us);
/* Stops giving orders and releases the lease. */
void orders_stop (struct orders *o);
void orders_free (struct orders *o);
/* Whether this VM holds the lease. */
bool orders_has_lease (const struct orders *o);
/* Number of calls without a reply yet. */
int orders_pending_calls (const struct orders *o);

#endif
