/* Stand-in for an endpoint of the users' platform. */
#ifndef CQ_FAKESRV_H
#define CQ_FAKESRV_H

#include <stdbool.h>
#include <stdint.h>

int fakesrv_main (int port);

/* Answers without end on FD if TARGET asks for that, with the header lines
   MARKS and TYPE; returns once the peer has closed the connection. */
bool endless_answer (int fd, const char *target, const char *marks,
                     const char *type);

/* Answers on FD as TARGET says and ends early, see fakecut.c; false if TARGET
   does not ask for that.  ID is the endpoint's, LAST the event after which the
   request resumes, or NULL; MARKS are header lines.  The caller closes FD. */
bool cut_answer (int fd, const char *target, const char *id, const char *last,
                 const char *marks);

/* A stream whose form and fate are drawn. */
struct storm_opts
{
  int fd;                            /* connection */
  const char *target;                /* as sent */
  const char *marks;                 /* header lines of answers */
  int64_t after;                     /* event to go on after, 0 for none */
  bool (*work) (int fd, int64_t ms); /* waits; false if the peer left */
};

/* Returns false if the connection must end. */
bool storm_stream (const struct storm_opts *o);

#endif
