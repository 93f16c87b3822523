/* A transfer whose whole reply is wanted at once. */
#ifndef CQ_FETCH_H
#define CQ_FETCH_H

#include <glib.h>

#include "xfer.h"

/* Why a reply did not arrive whole; told in place of its status. */
enum fetch_error
{
  FETCH_NO_REPLY = 0,    /* nothing of it came */
  FETCH_STALLED = -1,    /* part of it came, and then nothing for too long */
  FETCH_INCOMPLETE = -2, /* part of it came; closed, or over the whole time */
  FETCH_TOO_LARGE = -3   /* it is larger than what is taken */
};

/* The reply, whole or not; STATUS is a fetch_error if it is not whole. */
typedef void (*fetch_done) (void *arg, int status, const GString *body);

/*
 * The same for replies that take long to read: called again in each turn of
 * the loop as long as it returns true, with the same body; what it did not
 * read waits.  CAME_US is when the reply was whole, or was given up.
 */
typedef bool (*fetch_step) (void *arg, int status, const GString *body,
                            int64_t came_us);

/* What to ask for. */
struct fetch_opts
{
  const char *method;            /* GET, POST, PUT or DELETE */
  const char *url;               /* http://IP:PORT/path */
  const char *content_type;      /* of the body, or NULL */
  const char *header;            /* one more "Name: value" line, or NULL */
  const char *body;              /* copied; may be NULL */
  size_t body_len;               /* bytes of body */
  int64_t timeout_ms;            /* to connect, and for all of it */
  int64_t first_byte_timeout_ms; /* for the reply's first byte, 0 for none */
  int64_t stall_timeout_ms;      /* without a further byte, 0 for no limit */
  size_t reply_max_bytes;        /* a longer reply is not taken */
  /* A header line of the reply, before its end is told; or NULL. */
  void (*on_header) (void *arg, const char *line, size_t len);
  fetch_done done; /* may be NULL */
  fetch_step step; /* in place of done, or NULL */
  void *arg;       /* passed to all */
};

void fetch_start (struct xfer_pool *p, const struct fetch_opts *opts);

#endif
