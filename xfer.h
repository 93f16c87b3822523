/*
 * Outgoing HTTP transfers on an event loop, through libcurl.
 *
 * (The house style asks for serf; its package cannot be had, and libcurl is
 * its nearest kin: see docs/CHOICES.md.)
 */
#ifndef CQ_XFER_H
#define CQ_XFER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "loop.h"

/* Transfers of one loop. */
struct xfer_pool;

/* One transfer. */
struct xfer;

/* How a transfer ended. */
struct xfer_end
{
  bool handed_over; /* the request was handed to a connection */
  bool complete;    /* the reply arrived whole, and says where it ends */
  bool no_error;    /* it ended without an error, if need be by a close */
  bool stopped;     /* before_send or on_body stopped it */
  bool connection_refused; /* nothing listens at the address */
  bool stalled;      /* bytes of the reply came, and then none for too long */
  int status;        /* HTTP status, 0 if none arrived */
  const char *error; /* libcurl's words, "" if none */
};

/* What a receiver of body bytes says. */
enum xfer_body_result
{
  XFER_CONTINUE, /* go on */
  XFER_PAUSE,    /* the same bytes again after xfer_unpause */
  XFER_STOP      /* end the transfer; on_end follows with "stopped" set */
};

/* Callbacks of a transfer; all run on the loop's thread.  None of them may
   call xfer_cancel or xfer_unpause, except on_end for other transfers. */
struct xfer_events
{
  /* The connection stands; the first byte leaves next.  False stops it. */
  bool (*before_send) (void *arg);
  /* A reply header line; may be NULL. */
  void (*on_header) (void *arg, const char *line, size_t len);
  /* Bytes of the reply's body. */
  enum xfer_body_result (*on_body) (void *arg, int status, const char *data,
                                    size_t len);
  /* The transfer ended; the handle is gone after this returns. */
  void (*on_end) (void *arg, const struct xfer_end *end);
};

/* What to send. */
struct xfer_opts
{
  const char *method;            /* GET, POST, PUT or DELETE */
  const char *url;               /* http://IP:PORT/path */
  const char *target;            /* sent in place of the URL's, or NULL */
  const char *const *headers;    /* "Name: value" lines, NULL-terminated */
  const char *body;              /* must stay until the end; may be NULL */
  size_t body_len;               /* bytes of body */
  bool new_connection;           /* a connection of its own, not reused */
  int64_t connect_timeout_ms;    /* to establish the connection */
  int64_t timeout_ms;            /* for the whole transfer, 0 for none */
  int64_t first_byte_timeout_ms; /* for the reply's first byte, 0 for none */
  /* Without a further byte of the reply, 0 for no limit.  Not for receivers
     that pause: what they hold back would count as silence. */
  int64_t stall_timeout_ms;
  const struct xfer_events *events; /* callbacks */
  void *arg;                        /* passed to the callbacks */
};

struct xfer_pool *xfer_pool_new (struct loop *l);
void xfer_pool_free (struct xfer_pool *p);
/* End all transfers, as if their connections had broken. */
void xfer_pool_abort (struct xfer_pool *p);

/* Transfers under way, and replies that are still being taken. */
int xfer_count (struct xfer_pool *p);
/* The loop it runs on. */
struct loop *xfer_loop (const struct xfer_pool *p);
/* A reply is being taken after its transfer's end (1), or was taken (-1). */
void xfer_adjust_count (struct xfer_pool *p, int n);

struct xfer *xfer_start (struct xfer_pool *p, const struct xfer_opts *opts);

/* Stop a transfer without a further callback. */
void xfer_cancel (struct xfer *x);
void xfer_unpause (struct xfer *x);

#endif
