/* Server-sent events of a relayed stream: only complete events are passed on,
   and each only once. */
#ifndef CQ_SSE_H
#define CQ_SSE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A stream across all attempts of its request. */
struct sse
{
  GString *partial; /* incomplete event received so far */
  int64_t last_id;  /* of the last numbered event passed on, -1 before any */
  bool place_known; /* the stream can be resumed after last_id: no event
                       without a number was passed on since */
  int repeated;     /* events dropped since they had been passed on */
  int unnumbered;   /* events passed on without a number */
};

void sse_init (struct sse *e, int64_t after);
void sse_clear (struct sse *e);
/* A new attempt begins: discard the incomplete event of the previous one. */
void sse_restart (struct sse *e);
/* Parse LEN bytes and append complete new events to TO.  Returns false if the
   incomplete event is larger than MAX bytes. */
bool sse_feed (struct sse *e, const char *data, size_t len, size_t max,
               GString *to);
/* Whether an attempt that goes on after last_id, or from the start if there is
   none, neither repeats nor misses what was passed on. */
bool sse_is_place_known (const struct sse *e);
/* Whether an incomplete event is buffered. */
bool sse_has_partial (const struct sse *e);

#endif
