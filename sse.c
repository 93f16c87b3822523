/* Server-sent events of a relayed stream. */
#include "sse.h"

#include <string.h>

void
sse_init (struct sse *e, int64_t after)
{
  e->partial = g_string_new (NULL);
  e->last_id = after;
  e->repeated = 0;
  e->unnumbered = 0;
}

void
sse_clear (struct sse *e)
{
  if (e->partial != NULL)
    g_string_free (e->partial, TRUE);
  e->partial = NULL;
}

void
sse_restart (struct sse *e)
{
  g_string_truncate (e->partial, 0);
}

bool
sse_has_partial (const struct sse *e)
{
  return e->partial->len > 0;
}

/* Length of the first event with the blank line that ends it, or 0 if it is
   incomplete; the search starts at FROM. */
static size_t
first_event_length (const GString *s, size_t from)
{
  size_t i;

  for (i = from; i + 1 < s->len; i++)
    if (s->str[i] == '\n'
        && (s->str[i + 1] == '\n'
            || (i + 2 < s->len && s->str[i + 1] == '\r'
                && s->str[i + 2] == '\n')))
      return i + (s->str[i + 1] == '\n' ? 2 : 3);
  return 0;
}

/* Value of the event's id field, or -1 if it has none. */
static int64_t
event_id (const char *event, size_t len)
{
  const char *end = event + len;
  const char *line = event;
  const char *next;

  while (line < end)
    {
      next = memchr (line, '\n', (size_t)(end - line));
      next = next == NULL ? end : next + 1;
      if (next - line > 3 && memcmp (line, "id:", 3) == 0)
        return g_ascii_strtoll (line + 3, NULL, 10);
      line = next;
    }
  return -1;
}

bool
sse_feed (struct sse *e, const char *data, size_t len, size_t max, GString *to)
{
  /* Two bytes back: the blank line may be split between two reads. */
  size_t from = e->partial->len > 2 ? e->partial->len - 2 : 0;
  size_t n;
  int64_t id;

  g_string_append_len (e->partial, data, (gssize)len);
  while ((n = first_event_length (e->partial, from)) > 0)
    {
      id = event_id (e->partial->str, n);
      /* A resumed run may repeat events that the caller already has. */
      if (id < 0 || id > e->last_id)
        g_string_append_len (to, e->partial->str, (gssize)n);
      else
        e->repeated++;
      if (id < 0)
        e->unnumbered++;
      if (id > e->last_id)
        e->last_id = id;
      g_string_erase (e->partial, 0, (gssize)n);
      from = 0;
    }
  return e->partial->len <= max;
}
