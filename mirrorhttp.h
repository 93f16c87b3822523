/* Requests for the platform's lists between VMs, over HTTP. */
#ifndef CQ_MIRRORHTTP_H
#define CQ_MIRRORHTTP_H

#include "libserver.h"
#include "mirrorfeed.h"
#include "mirrorserve.h"

struct mirrorhttp;

/* Listens on LISTEN_FD, which the caller keeps, and answers from SERVE over a
   link of LINK_MBIT_S, 0 if unknown; FORWARDS: there is room for requests that
   other VMs forward.  Returns NULL on failure. */
struct mirrorhttp *mirrorhttp_open (struct worker *w, int listen_fd,
                                    struct mirrorserve *serve, int link_mbit_s,
                                    bool forwards);
/* Requests that other VMs forward are given to OPS with the context OWNER. */
void mirrorhttp_accept_forwarded (struct mirrorhttp *m,
                                  const struct http_listener_ops *ops,
                                  void *owner);
void mirrorhttp_close (struct mirrorhttp *m);
/* Fills OPS with the transport of requests to other VMs. */
void mirrorhttp_ops (struct mirror_ops *ops, struct xfer_pool *pool);

#endif
