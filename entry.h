/*
 * The entry: requests that come through a platform's balancer and are passed
 * on to the endpoints that the platform lists.
 */
#ifndef CQ_ENTRY_H
#define CQ_ENTRY_H

#include "follow.h"
#include "libserver.h"
#include "orders.h"
#include "partfeed.h"
#include "quarfeed.h"
#include "relay.h"
#include "tell.h"

/* What a door for callers works with; stays until the door is closed. */
struct entry_listener_ctx
{
  struct relays *relays; /* where requests go */
  struct fleet *fleet;   /* for the limits in force */
};

/* What a platform's adapter offers; all on the first worker's thread. */
struct entry_adapter
{
  /* The platform's store at ADDRESS. */
  void *(*open) (struct xfer_pool *pool, const char *address);
  void (*close) (void *store);
  void (*follow_ops) (void *store, struct follow_ops *ops);
  void (*orders_ops) (void *store, struct orders_ops *ops);
  void (*roster_ops) (void *store, struct roster_ops *ops);
  void (*quar_ops) (void *store, struct quar_ops *ops);
  void (*partfeed_ops) (struct partfeed_ops *ops, struct xfer_pool *pool);
  void (*engine_ops) (struct relay_engine *ops, struct xfer_pool *pool);
  /* The door for callers. */
  struct http_listener *(*open_listener) (struct worker *w, int listen_fd,
                                          struct entry_listener_ctx *front);
};

/* The adapter that is built in. */
extern const struct entry_adapter entry_adapter;

struct entry;

/* Start on W's loop; NULL if an address cannot be had. */
struct entry *entry_new (struct worker *w);
/* On W's thread: the VM is to stop, so others should do its duties. */
void entry_prepare_stop (struct entry *e);
/* On W's thread: ask the platform nothing more. */
void entry_stop (struct entry *e);
/* On W's thread, at its end. */
void entry_close_listeners (struct entry *e);
void entry_free (struct entry *e);
/* Calls to the platform under way, whose answers nobody needs at a stop. */
int entry_pending_calls (const struct entry *e);
/* Whether requests with a key can be served now. */
bool entry_is_ready (const struct entry *e, int64_t now_us);

#endif
