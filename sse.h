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
  int64_t last_id;  /* of the last event passed on, -1 before any */
  int repeated;     /* events dropped since they had been passed on */
  int unnumbered;   /* passed on without an id, comments among them */
};

void sse_init (struct sse *e, int64_t after);
void sse_clear (struct sse *e);
/* A new attempt begins: discard the incomplete event of the previous one. */
void sse_restart (struct sse *e);
/* Parse LEN bytes and append complete new events to TO.  Returns false if the
   incomplete event is larger than MAX bytes. */
bool sse_feed (struct sse *e, const char *data, size_t len, size_t max,
               GString *to);
/* Whether an incomplete event is buffered. */
bool sse_has_partial (const struct sse *e);

#endif
