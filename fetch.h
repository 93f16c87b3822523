/* HTTP transfers whose reply is collected and passed on as a whole. */
#ifndef CQ_FETCH_H
#define CQ_FETCH_H

#include <glib.h>

#include "xfer.h"

/* Why a reply is not complete; passed in place of its HTTP status. */
enum fetch_error
{
  FETCH_NO_REPLY = 0,    /* nothing of it arrived */
  FETCH_STALLED = -1,    /* part of it arrived, then nothing for too long */
  FETCH_INCOMPLETE = -2, /* part of it arrived before a close or the timeout */
  FETCH_TOO_LARGE = -3   /* it is longer than reply_max_bytes */
};

/* Gets the reply, complete or not.  STATUS is the HTTP status, or a
   fetch_error if the reply is not complete. */
typedef void (*fetch_done) (void *arg, int status, const GString *body);

/*
 * The same for replies that take long to process: called with the same body
 * again, as a loop_work, until it returns false.  ENDED_US is when the
 * transfer ended.
 */
typedef bool (*fetch_step) (void *arg, int status, const GString *body,
                            int64_t ended_us);

/* The request to send, and its limits. */
struct fetch_opts
{
  const char *method;            /* GET, POST, PUT or DELETE */
  const char *url;               /* http://IP:PORT/path */
  const char *content_type;      /* of the body, or NULL */
  const char *header;            /* one more "Name: value" line, or NULL */
  const char *body;              /* copied; may be NULL */
  size_t body_len;               /* bytes of body */
  int64_t timeout_ms;            /* to connect, and for the whole transfer */
  int64_t first_byte_timeout_ms; /* for the reply's first byte, 0 for none */
  int64_t stall_timeout_ms;      /* between two bytes of it, 0 for no limit */
  size_t reply_max_bytes;        /* a longer reply ends as FETCH_TOO_LARGE */
  /* Gets each header line of the reply, before done or step; or NULL. */
  void (*on_header) (void *arg, const char *line, size_t len);
  fetch_done done; /* may be NULL */
  fetch_step step; /* used in place of done, or NULL */
  void *arg;       /* passed to the callbacks */
};

/* Starts a transfer; OPTS is not used after the call returns. */
void fetch_start (struct xfer_pool *p, const struct fetch_opts *opts);

#endif
