/* Rows as the platform stores them. */
#include "follow.h"

struct follow_raw *
follow_raw_new (const char *key, int64_t version, const void *value,
                size_t len)
{
  struct follow_raw *raw = g_new0 (struct follow_raw, 1);

  raw->key = g_strdup (key);
  raw->version = version;
  raw->value = value != NULL ? g_bytes_new (value, len) : NULL;
  return raw;
}

void
follow_raw_free (struct follow_raw *raw)
{
  if (raw == NULL)
    return;
  g_free (raw->key);
  if (raw->value != NULL)
    g_bytes_unref (raw->value);
  g_free (raw);
}
