/*
 * The entry accepts requests from a platform's load balancer and relays them
 * to the endpoints that the platform lists.
 */
#ifndef CQ_ENTRY_H
#define CQ_ENTRY_H

#include "buildcheck.h"
#include "buildfeed.h"
#include "follow.h"
#include "libserver.h"
#include "mirrorhttp.h"
#include "orders.h"
#include "partfeed.h"
#include "quarfeed.h"
#include "relay.h"
#include "loadgossip.h"

/* Context of the listener for callers; must outlive the listener. */
struct entry_listener_ctx
{
  struct relays *relays; /* relays requests to endpoints */
  struct fleet *fleet;   /* holds the limits in force */
  /* Whether SEAL proves that another VM forwarded D; with D NULL, a request
     whose body was not read yet. */
  bool (*accept_forward) (void *arg, const struct relay_desc *d,
                          const char *seal, int64_t now_us);
  void *forward_arg; /* for accept_forward */
};

/* Functions of a platform's adapter, all called on the first worker's
   thread. */
struct entry_adapter
{
  /* Open the platform's store at ADDRESS, to be closed with close. */
  void *(*open) (struct xfer_pool *pool, const char *address);
  void (*close) (void *store);
  /* Fill OPS with the adapter's functions for each module. */
  void (*follow_ops) (void *store, struct follow_ops *ops);
  void (*orders_ops) (void *store, struct orders_ops *ops);
  void (*roster_ops) (void *store, struct roster_ops *ops);
  void (*rowstore_ops) (void *store, enum rowstore_table table,
                        struct rowstore_ops *ops);
  void (*partfeed_ops) (struct partfeed_ops *ops, struct xfer_pool *pool);
  void (*engine_ops) (struct relay_engine *ops, struct xfer_pool *pool);
  /* Open the listener for callers; returns NULL on failure. */
  struct http_listener *(*open_listener) (struct worker *w, int listen_fd,
                                          struct entry_listener_ctx *ctx);
  /* Callbacks for requests that other VMs forward; their owner is a struct
     entry_listener_ctx. */
  const struct http_listener_ops *(*forwarded_ops) (void);
};

/* The adapter of this build. */
extern const struct entry_adapter entry_adapter;

struct entry;

/* Start on W's loop; returns NULL if an address cannot be listened on. */
struct entry *entry_new (struct worker *w);
/* On W's thread: stop to give orders because the VM is about to stop, so that
   another VM takes over. */
void entry_prepare_stop (struct entry *e);
/* On W's thread: start no more calls to the platform. */
void entry_stop (struct entry *e);
/* End the requests of callers that are still open. */
void entry_stop_requests (struct entry *e);
/* On W's thread, at the end of the thread. */
void entry_close_listeners (struct entry *e);
void entry_free (struct entry *e);
/* Number of calls to the platform without a reply yet, which a stop need not
   wait for. */
int entry_pending_calls (const struct entry *e);
/* Whether the VM can serve requests that need an API key. */
bool entry_is_ready (const struct entry *e, int64_t now_us);

#endif
