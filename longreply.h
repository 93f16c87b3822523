/*
 * Replies that are written to a caller's socket without the HTTP library.
 *
 * libmicrohttpd keeps the head of a request and builds that of its reply in
 * one block of fixed size for each connection, and closes the connection
 * without a reply if both do not fit.  Blocks for the largest heads would take
 * their memory on every connection.  Instead, the few replies that may not fit
 * are written here, and their connection is closed after them.  So are replies
 * to requests whose body was not read: the library would close the connection
 * at once, and a caller that still sends would get a reset in place of the
 * reply.
 */
#ifndef CQ_LONGREPLY_H
#define CQ_LONGREPLY_H

#include <apr_ring.h>
#include <stddef.h>
#include <sys/types.h>

#include "loop.h"

struct longreply;
APR_RING_HEAD (longreply_ring, longreply);

/* Results of reading a body other than a number of bytes. */
#define LONGREPLY_NOTHING 0 /* call longreply_wake when there is more */
#define LONGREPLY_ENDED (-1)
#define LONGREPLY_BROKEN (-2) /* the caller must see that it is incomplete */

enum longreply_framing
{
  LONGREPLY_NO_BODY, /* replies to HEAD, and statuses without one */
  LONGREPLY_WHOLE,   /* the body is given at the start */
  LONGREPLY_CHUNKED, /* the body is read; HTTP/1.1 */
  LONGREPLY_TO_CLOSE /* likewise; it ends with the connection, HTTP/1.0 */
};

struct longreply_opts
{
  struct loop *loop;
  int fd;                         /* the caller's socket, not closed here */
  int64_t idle_us;                /* limit on the time without progress */
  int64_t date_s;                 /* Unix time for the Date header */
  int status;                     /* HTTP status */
  const char *const *lines;       /* "Name: value", ends with NULL; or NULL */
  enum longreply_framing framing; /* how the body is delimited */
  const char *body;               /* with LONGREPLY_WHOLE; copied */
  size_t len;                     /* bytes of body */
  /* Reads up to MAX bytes of the body into TO. */
  ssize_t (*read) (void *arg, char *to, size_t max);
  /* The reply was written, or given up, and the socket may be closed; called
     once, from the loop. */
  void (*done) (void *arg);
  void *arg; /* passed to both */
};

/* Bytes that a reply with these header lines takes beside its body, at
   most. */
size_t longreply_head_size (const char *const *lines);

void longreply_ring_init (struct longreply_ring *ring);
/* Starts to write the reply and adds it to RING.  Nothing is written, and no
   callback called, before the loop's next turn. */
struct longreply *longreply_new (const struct longreply_opts *opts,
                                 struct longreply_ring *ring);
/* The body has more bytes to read, or has ended. */
void longreply_wake (struct longreply *p);
/* Sets the trailer "Name: value", written after a chunked body. */
void longreply_set_trailer (struct longreply *p, const char *name,
                            const char *value);
/* Calls done for each reply in RING that has not ended. */
void longreply_end_all (struct longreply_ring *ring);
void longreply_free (struct longreply *p);

#endif
