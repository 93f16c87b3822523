/* Server-sent events of a relayed stream. */
#include "sse.h"

#include <string.h>

void
sse_init (struct sse *e, int64_t after)
{
  e->partial = g_string_new (NULL);
  e->last_id = after;
  e->place_known = true;
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
sse_is_place_known (const struct sse *e)
{
  return e->place_known;
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

/* Reads the value of an id field, which ends at END; -1 if it is no number. */
static int64_t
parse_id (const char *value, const char *end)
{
  g_autofree char *text = g_strndup (value, (gsize)(end - value));
  guint64 id;

  if (g_ascii_string_to_unsigned (g_strstrip (text), 10, 0, G_MAXINT64, &id,
                                  NULL))
    return (int64_t)id;
  return -1;
}

/* Fields of an event. */
struct fields
{
  int64_t id;    /* of the last id field; -1 if none is a number */
  bool has_data; /* it has a data field; others are no events */
};

static struct fields
read_fields (const char *event, size_t len)
{
  struct fields f = { .id = -1 };
  const char *end = event + len;
  const char *line = event;
  const char *next;

  for (; line < end; line = next)
    {
      next = memchr (line, '\n', (size_t)(end - line));
      next = next == NULL ? end : next + 1;
      if (line[0] == ':' || line[0] == '\n' || line[0] == '\r')
        continue;
      f.has_data |= next - line > 4 && memcmp (line, "data", 4) == 0
                    && strchr (":\r\n", line[4]) != NULL;
      if (next - line > 2 && memcmp (line, "id", 2) == 0
          && strchr (":\r\n", line[2]) != NULL)
        f.id = line[2] == ':' ? parse_id (line + 3, next) : -1;
    }
  return f;
}

bool
sse_feed (struct sse *e, const char *data, size_t len, size_t max, GString *to)
{
  /* Two bytes back: the blank line may be split between two reads. */
  size_t from = e->partial->len > 2 ? e->partial->len - 2 : 0;
  struct fields f;
  size_t n;

  g_string_append_len (e->partial, data, (gssize)len);
  while ((n = first_event_length (e->partial, from)) > 0)
    {
      f = read_fields (e->partial->str, n);
      /* A resumed run may repeat events that the caller already has. */
      if (f.id < 0 || f.id > e->last_id)
        g_string_append_len (to, e->partial->str, (gssize)n);
      else
        e->repeated++;
      if (f.id > e->last_id)
        {
          e->last_id = f.id;
          e->place_known = true;
        }
      else if (f.id < 0 && f.has_data)
        {
          e->unnumbered++;
          e->place_known = false;
        }
      g_string_erase (e->partial, 0, (gssize)n);
      from = 0;
    }
  return e->partial->len <= max;
}
