/* Requests for the platform's lists between VMs, over HTTP. */
#ifndef CQ_MIRRORHTTP_H
#define CQ_MIRRORHTTP_H

#include "fetch.h"
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
/* Questions of other VMs which services this one reaches are answered by
   ANSWER, which sets ANSWERED to the body of the reply, which it frees, and
   returns its HTTP status. */
void mirrorhttp_answer_paths (struct mirrorhttp *m,
                              int (*answer) (void *arg, const uint8_t *data,
                                             size_t len,
                                             GByteArray **answered),
                              void *arg);
void mirrorhttp_close (struct mirrorhttp *m);
/* Ask the VM at ADDRESS which services it reaches, with the sealed question;
   DONE gets the body of the reply, NULL if there was none, and its status. */
void mirrorhttp_ask_paths (struct xfer_pool *pool, const char *address,
                           const GByteArray *question, fetch_done done,
                           void *arg);
/* Fills OPS with the transport of requests to other VMs. */
void mirrorhttp_ops (struct mirror_ops *ops, struct xfer_pool *pool);

#endif
