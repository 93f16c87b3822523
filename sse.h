/* Events of a stream that is passed on: whole ones only, each once. */
#ifndef CQ_SSE_H
#define CQ_SSE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* A stream over all attempts at it. */
struct sse
{
  GString *partial; /* an event that is not whole yet */
  int64_t last_id;  /* of the last event passed on, -1 before any */
};

void sse_init (struct sse *e, int64_t after);
void sse_clear (struct sse *e);
/* A new attempt begins: what the last one left in part is void. */
void sse_restart (struct sse *e);
/* Take bytes; whole new events are appended to TO.  False if one event is
   larger than MAX bytes. */
bool sse_feed (struct sse *e, const char *data, size_t len, size_t max,
               GString *to);
/* Whether an event has begun and not ended. */
bool sse_has_partial (const struct sse *e);

#endif
