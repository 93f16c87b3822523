/* Completion requests in the published OpenAI format. */
#include "wire.h"

#include <string.h>

G_DEFINE_QUARK (wire - error - quark, wire_error)

/* Fields of a request to an engine that only the system may set. */
static const char *const reserved_fields[]
    = { "priority", "cache_salt", "resume", "kv_import" };

static bool
set_field_error (GError **err, const char *field, const char *expected)
{
  g_set_error (err, WIRE_ERROR, WIRE_ERROR_FIELD, "%s: expected %s", field,
               expected);
  return false;
}

/* Appends a message's content, which is a string or a list of text parts. */
static bool
append_content (GString *text, const json_t *content, GError **err)
{
  const json_t *part;
  const char *s;
  size_t i;

  if (json_is_string (content))
    {
      g_string_append_len (text, json_string_value (content),
                           (gssize)json_string_length (content));
      return true;
    }
  if (!json_is_array (content))
    return set_field_error (err, "content", "a string or a list of parts");
  json_array_foreach (content, i, part)
  {
    s = json_string_value (json_object_get (part, "text"));
    if (s == NULL)
      return set_field_error (err, "content", "parts with a \"text\"");
    g_string_append (text, s);
  }
  return true;
}

static bool
parse_messages (struct prompt *p, GError **err)
{
  const json_t *list = json_object_get (p->doc, "messages");
  const json_t *message;
  const char *role;
  size_t i;

  if (!json_is_array (list) || json_array_size (list) == 0)
    return set_field_error (err, "messages", "a list of messages");
  json_array_foreach (list, i, message)
  {
    role = json_string_value (json_object_get (message, "role"));
    if (role == NULL)
      return set_field_error (err, "role", "a string");
    g_string_append (p->text, role);
    g_string_append_c (p->text, '\n');
    if (!append_content (p->text, json_object_get (message, "content"), err))
      return false;
    g_string_append_c (p->text, '\n');
  }
  return true;
}

static bool
parse_text (struct prompt *p, GError **err)
{
  const json_t *text = json_object_get (p->doc, "prompt");

  if (p->chat)
    return parse_messages (p, err);
  if (!json_is_string (text))
    return set_field_error (err, "prompt", "a string");
  g_string_append_len (p->text, json_string_value (text),
                       (gssize)json_string_length (text));
  return true;
}

static bool
parse_options (struct prompt *p, GError **err)
{
  const json_t *stream = json_object_get (p->doc, "stream");
  const json_t *max = json_object_get (p->doc, "max_tokens");

  p->service = json_string_value (json_object_get (p->doc, "model"));
  if (p->service == NULL)
    return set_field_error (err, "model", "the name of a service");
  if (stream != NULL && !json_is_boolean (stream))
    return set_field_error (err, "stream", "true or false");
  p->stream = json_is_true (stream);
  if (max == NULL)
    return true;
  p->max_tokens = json_integer_value (max);
  if (!json_is_integer (max) || p->max_tokens < 1)
    return set_field_error (err, "max_tokens", "a positive integer");
  return true;
}

bool
prompt_parse (const char *body, size_t len, bool chat, struct prompt *prompt,
              GError **err)
{
  struct prompt p = { .chat = chat };
  json_error_t error;

  p.doc = json_loadb (body, len, JSON_REJECT_DUPLICATES, &error);
  if (!json_is_object (p.doc))
    {
      /* The parser's message quotes the input, which must not be logged. */
      g_set_error (err, WIRE_ERROR, WIRE_ERROR_JSON,
                   "expected a JSON object in UTF-8; fault near byte %d",
                   p.doc == NULL ? error.position : 0);
      json_decref (p.doc);
      return false;
    }
  p.text = g_string_new (NULL);
  if (!parse_options (&p, err) || !parse_text (&p, err))
    {
      prompt_clear (&p);
      return false;
    }
  p.prompt_tokens = (int64_t)(p.text->len + WIRE_BYTES_PER_TOKEN - 1)
                    / WIRE_BYTES_PER_TOKEN;
  *prompt = p;
  return true;
}

void
prompt_clear (struct prompt *prompt)
{
  json_decref (prompt->doc);
  if (prompt->text != NULL)
    g_string_free (prompt->text, TRUE);
  *prompt = (struct prompt){ 0 };
}

char *
prompt_to_json (const struct prompt *prompt, const struct prompt_extra *extra)
{
  json_t *doc = json_copy (prompt->doc);
  json_t *resume;
  char *json, *text;
  size_t i;

  /* A caller must not raise its priority or use another workspace's cache. */
  for (i = 0; i < G_N_ELEMENTS (reserved_fields); i++)
    json_object_del (doc, reserved_fields[i]);
  json_object_set_new (doc, "priority", json_integer (extra->urgent ? 1 : 0));
  json_object_set_new (doc, "cache_salt", json_string (extra->cache_salt));
  json_object_set_new (doc, "max_tokens", json_integer (extra->max_tokens));
  if (extra->resume_text != NULL)
    {
      resume
          = json_pack ("{s:I,s:s}", "offset", (json_int_t)extra->resume_offset,
                       "text", extra->resume_text);
      json_object_set_new (doc, "resume", resume);
    }
  if (extra->kv_import != NULL)
    json_object_set_new (doc, "kv_import", extra->kv_import);
  json = json_dumps (doc, JSON_COMPACT);
  text = g_strdup (json);
  free (json);
  json_decref (doc);
  return text;
}

bool
completion_version (const char *body, size_t len, char *version, size_t size,
                    int64_t *cached)
{
  json_t *doc = json_loadb (body, len, 0, NULL);
  const char *s
      = json_string_value (json_object_get (doc, "system_fingerprint"));

  if (s != NULL)
    g_strlcpy (version, s, size);
  *cached = completion_cached_tokens (doc);
  json_decref (doc);
  return s != NULL;
}

int64_t
completion_cached_tokens (const json_t *doc)
{
  const json_t *usage = json_object_get (doc, "usage");
  const json_t *details = json_object_get (usage, "prompt_tokens_details");
  const json_t *n = json_object_get (details, "cached_tokens");

  return json_is_integer (n) ? json_integer_value (n) : -1;
}
