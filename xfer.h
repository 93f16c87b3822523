/*
 * Outgoing HTTP transfers on an event loop, through libcurl.
 *
 * A peer may send bytes without end in any part of a reply.  Those outside the
 * body, which are heads, trailers and the framing of chunks, are limited here
 * for all transfers; those of the body are limited by on_body or
 * body_max_bytes.
 *
 * The house style asks for serf, whose package is not available; libcurl is
 * the closest replacement (see docs/CHOICES.md).
 */
#ifndef CQ_XFER_H
#define CQ_XFER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "loop.h"

/* The transfers of one event loop. */
struct xfer_pool;

/* One HTTP request and its reply. */
struct xfer;

/* How a transfer ended. */
struct xfer_end
{
  bool handed_over; /* before_send let the request go out */
  bool has_head;    /* the reply's head arrived to its end */
  bool complete;    /* the whole reply arrived, and its headers delimit it */
  bool no_error;    /* no error; a close may have delimited the reply's body */
  bool stopped;     /* by before_send or on_body */
  bool connection_refused; /* nothing listens at the address */
  bool stalled;            /* part of the reply came, then none for too long */
  bool too_large;     /* too many bytes outside the body, or body_max_bytes
                         passed */
  int status;         /* HTTP status, 0 if none arrived; also of a head that
                         broke off */
  int64_t connect_us; /* time until the connection was established, 0 if
                         it was not, or a connection was reused */
  const char *error;  /* libcurl's message, "" if none */
};

/* What on_body wants to happen next. */
enum xfer_body_result
{
  XFER_CONTINUE, /* deliver further bytes */
  XFER_PAUSE,    /* deliver the same bytes again after xfer_unpause */
  XFER_STOP      /* end the transfer; on_end gets "stopped" */
};

/* Callbacks of a transfer; all run on the loop's thread.  None of them may
   call xfer_cancel or xfer_unpause, except on_end for other transfers. */
struct xfer_events
{
  /* The connection is established and no byte of the request was sent yet.
     False stops the transfer. */
  bool (*before_send) (void *arg);
  /* A line of the reply's head or of interim replies, not of its trailers; may
     be NULL. */
  void (*on_header) (void *arg, const char *line, size_t len);
  /* Bytes of the reply's body; NULL drops them. */
  enum xfer_body_result (*on_body) (void *arg, int status, const char *data,
                                    size_t len);
  /* The transfer ended.  Its handle is freed after the callback returns. */
  void (*on_end) (void *arg, const struct xfer_end *end);
};

/* The request to send, and its limits. */
struct xfer_opts
{
  const char *method; /* GET, POST, PUT or DELETE */
  const char *url;    /* http://IP:PORT/path */
  const char *target; /* request target in place of the URL's, or NULL */
  const char *const *headers; /* "Name: value" lines, NULL-terminated */
  const char *body;           /* not copied, valid until the end; or NULL */
  size_t body_len;            /* bytes of body */
  bool new_connection; /* neither reuse a connection nor keep this one */
  int64_t connect_timeout_ms;    /* to establish the connection */
  int64_t timeout_ms;            /* for the whole transfer, 0 for none */
  int64_t first_byte_timeout_ms; /* for the reply's first byte, 0 for none */
  /* Longest time between two bytes of the reply, 0 for no limit.  Not for
     receivers that pause: a pause would count as a stall. */
  int64_t stall_timeout_ms;
  size_t
      body_max_bytes; /* longest body of the reply; 0 if on_body limits it */
  const struct xfer_events *events; /* callbacks */
  void *arg;                        /* passed to the callbacks */
};

struct xfer_pool *xfer_pool_new (struct loop *l);
void xfer_pool_free (struct xfer_pool *p);
/* Ends all transfers with an error; on_end of each is called. */
void xfer_pool_abort (struct xfer_pool *p);

/* Transfers in progress, plus what xfer_adjust_count added.  Any thread. */
int xfer_count (struct xfer_pool *p);
/* The loop that the pool runs on. */
struct loop *xfer_loop (const struct xfer_pool *p);
/* Adds N to xfer_count: 1 when a reply is still being processed after the end
   of its transfer, -1 when that is done. */
void xfer_adjust_count (struct xfer_pool *p, int n);

/* Starts a transfer; its handle is valid until on_end or xfer_cancel. */
struct xfer *xfer_start (struct xfer_pool *p, const struct xfer_opts *opts);

/* Ends a transfer and frees it; no callback is called any more. */
void xfer_cancel (struct xfer *x);
/* Resumes a transfer whose on_body returned XFER_PAUSE. */
void xfer_unpause (struct xfer *x);

#endif
