/* Events of a stream that is passed on. */
#include "sse.h"

#include <string.h>

void
evt_init (struct evt *e, int64_t after)
{
  e->part = g_string_new (NULL);
  e->last_id = after;
}

void
evt_clear (struct evt *e)
{
  if (e->part != NULL)
    g_string_free (e->part, TRUE);
  e->part = NULL;
}

void
evt_restart (struct evt *e)
{
  g_string_truncate (e->part, 0);
}

bool
evt_in_part (const struct evt *e)
{
  return e->part->len > 0;
}

/* Bytes up to and with the blank line that ends the first event, or 0. */
static size_t
first_event (const GString *s, size_t from)
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

/* Number of an event, or -1. */
static int64_t
id_of (const char *event, size_t len)
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
evt_feed (struct evt *e, const char *data, size_t len, size_t max, GString *to)
{
  /* Two bytes back: the blank line may be cut. */
  size_t from = e->part->len > 2 ? e->part->len - 2 : 0;
  size_t n;
  int64_t id;

  g_string_append_len (e->part, data, (gssize)len);
  while ((n = first_event (e->part, from)) > 0)
    {
      id = id_of (e->part->str, n);
      /* A run that goes on may repeat what the caller has. */
      if (id < 0 || id > e->last_id)
        g_string_append_len (to, e->part->str, (gssize)n);
      if (id > e->last_id)
        e->last_id = id;
      g_string_erase (e->part, 0, (gssize)n);
      from = 0;
    }
  return e->part->len <= max;
}
