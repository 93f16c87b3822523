/* A transfer whose whole reply is wanted at once. */
#ifndef CQ_FETCH_H
#define CQ_FETCH_H

#include <glib.h>

#include "xfer.h"

/* The reply, whole or not; STATUS is 0 if none arrived whole. */
typedef void (*fetch_done) (void *arg, int status, const GString *body);

/* What to ask for. */
struct fetch_opts
{
  const char *method;       /* GET, POST, PUT or DELETE */
  const char *url;          /* http://IP:PORT/path */
  const char *content_type; /* of the body, or NULL */
  const char *header;       /* one more "Name: value" line, or NULL */
  const char *body;         /* copied; may be NULL */
  size_t body_len;          /* bytes of body */
  int64_t timeout_ms;       /* to connect, and for all of it */
  size_t reply_max;         /* a longer reply counts as none */
  fetch_done done;          /* may be NULL */
  void *arg;                /* passed to done */
};

void fetch_start (struct xfer_pool *p, const struct fetch_opts *opts);

#endif
