/* A transfer whose whole reply is wanted at once. */
#ifndef CQ_FETCH_H
#define CQ_FETCH_H

#include <glib.h>

#include "xfer.h"

/* Why a reply did not arrive whole; told in place of its status. */
enum fetch_lack
{
  FETCH_NONE = 0,      /* nothing of it came */
  FETCH_STALLED = -1,  /* part of it came, and then nothing for too long */
  FETCH_BROKEN = -2,   /* part of it came; closed, or over the whole time */
  FETCH_TOO_LARGE = -3 /* it is larger than what is taken */
};

/* The reply, whole or not; STATUS is a fetch_lack if it is not whole. */
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
  int64_t first_ms;         /* for the reply's first byte, 0 for none */
  int64_t stall_ms;         /* without a further byte, 0 for no limit */
  size_t reply_max;         /* a longer reply is not taken */
  fetch_done done;          /* may be NULL */
  void *arg;                /* passed to done */
};

void fetch_start (struct xfer_pool *p, const struct fetch_opts *opts);

#endif
