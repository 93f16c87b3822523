/* Streams of server-sent events, relayed from an engine to a caller. */
#include "wire.h"

#include <string.h>

#define EVENT_PREFIX "data: "
#define EVENT_END "\n\n"
#define DONE_MARK "[DONE]"

void
strm_init (struct strm *s, const char *version, size_t text_max)
{
  *s = (struct strm){ .text_max = text_max, .resumable = text_max > 0 };
  s->partial = g_string_new (NULL);
  s->text = g_string_new (NULL);
  s->version = g_strdup (version);
  s->cached_tokens = -1;
}

void
strm_clear (struct strm *s)
{
  if (s->partial == NULL)
    return;
  g_string_free (s->partial, TRUE);
  g_string_free (s->text, TRUE);
  g_free (s->version);
  s->partial = NULL;
}

/*
 * Bytes of an abandoned attempt may still arrive.  They carry its number and
 * are dropped, or else the caller would get two replies mixed together.
 */
void
strm_start_attempt (struct strm *s, int attempt)
{
  s->attempt = attempt;
  s->is_version_checked = false;
  s->cached_tokens = -1;
  g_string_truncate (s->partial, 0);
}

static const char *
event_text (const json_t *event)
{
  const json_t *choice
      = json_array_get (json_object_get (event, "choices"), 0);
  const json_t *delta = json_object_get (choice, "delta");

  if (delta != NULL)
    return json_string_value (json_object_get (delta, "content"));
  return json_string_value (json_object_get (choice, "text"));
}

static void
store_text (struct strm *s, const char *text)
{
  if (!s->resumable)
    return;
  if (s->text->len + strlen (text) > s->text_max)
    {
      /* Without all text an engine cannot resume where the stream broke. */
      s->resumable = false;
      g_string_free (s->text, TRUE);
      s->text = g_string_new (NULL);
      return;
    }
  g_string_append (s->text, text);
}

static bool
version_matches (struct strm *s, const json_t *event)
{
  const char *v
      = json_string_value (json_object_get (event, "system_fingerprint"));

  s->is_version_checked = true;
  return s->version == NULL || (v != NULL && strcmp (v, s->version) == 0);
}

static enum strm_code
process_json (struct strm *s, const json_t *event)
{
  const char *text;

  if (!json_is_object (event) || json_object_get (event, "error") != NULL)
    return STRM_INVALID;
  if (!s->is_version_checked && !version_matches (s, event))
    return STRM_WRONG_VERSION;
  if (s->cached_tokens < 0)
    s->cached_tokens = completion_cached_tokens (event);
  text = event_text (event);
  if (text != NULL && text[0] != '\0')
    {
      s->tokens++;
      store_text (s, text);
    }
  return STRM_MORE;
}

/* Parses one complete event of LEN bytes without EVENT_END. */
static enum strm_code
process_event (struct strm *s, const char *data, size_t len)
{
  size_t prefix = strlen (EVENT_PREFIX);
  enum strm_code code;
  json_t *event;

  if (len > 0 && data[0] == ':')
    return STRM_MORE; /* a comment, which engines send as keepalive */
  if (len < prefix || memcmp (data, EVENT_PREFIX, prefix) != 0)
    return STRM_INVALID;
  data += prefix;
  len -= prefix;
  if (len == strlen (DONE_MARK) && memcmp (data, DONE_MARK, len) == 0)
    {
      s->ended = true;
      return STRM_DONE;
    }
  event = json_loadb (data, len, 0, NULL);
  code = process_json (s, event);
  json_decref (event);
  return code;
}

enum strm_code
strm_feed (struct strm *s, int attempt, const char *data, size_t len,
           GString *out)
{
  enum strm_code code = STRM_MORE;
  const char *start, *end;
  size_t used;

  if (attempt != s->attempt || s->ended)
    return STRM_STALE;
  g_string_append_len (s->partial, data, (gssize)len);
  start = s->partial->str;
  while (code == STRM_MORE && (end = strstr (start, EVENT_END)) != NULL)
    {
      code = process_event (s, start, (size_t)(end - start));
      end += strlen (EVENT_END);
      if (code == STRM_MORE || code == STRM_DONE)
        g_string_append_len (out, start, end - start);
      start = end;
    }
  used = (size_t)(start - s->partial->str);
  g_string_erase (s->partial, 0, (gssize)used);
  if (s->partial->len > WIRE_EVENT_MAX_BYTES)
    return STRM_INVALID;
  return code;
}
