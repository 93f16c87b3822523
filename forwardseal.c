/* Seals of requests that one VM forwards to another. */
#include "forwardseal.h"

#include <sodium.h>
#include <string.h>

#include "sealbox.h"

/* Covers the time on the way, and what VMs know of the platform's clock. */
#define SEAL_AGE_MAX_MS 5000
#define DIGEST_BYTES 32
#define PLAIN_BYTES (8 + DIGEST_BYTES)
#define SEAL_BYTES (PLAIN_BYTES + SEALBOX_OVERHEAD)
#define SEAL_VARIANT sodium_base64_VARIANT_ORIGINAL

static const uint8_t magic[SEALBOX_MAGIC_BYTES] = { 'C', 'Q', 'F', '1' };

/* With its NUL, so that the end of one text and the start of the next cannot
   be exchanged. */
static void
add_text (crypto_generichash_state *state, const char *text)
{
  const char *s = text != NULL ? text : "";

  crypto_generichash_update (state, (const uint8_t *)s, strlen (s) + 1);
}

static void
digest (const struct relay_desc *d, uint8_t *to)
{
  crypto_generichash_state state;
  char **line;

  crypto_generichash_init (&state, NULL, 0, DIGEST_BYTES);
  add_text (&state, d->method);
  add_text (&state, d->target);
  add_text (&state, d->host);
  add_text (&state, d->key);
  for (line = d->headers; *line != NULL; line++)
    add_text (&state, *line);
  crypto_generichash_update (&state, (const uint8_t *)d->body, d->body_len);
  crypto_generichash_final (&state, to, DIGEST_BYTES);
}

char *
forwardseal_make (const struct relay_desc *d, int64_t now_ms,
                  const uint8_t *key)
{
  int64_t at_ms = GINT64_TO_BE (now_ms);
  uint8_t plain[PLAIN_BYTES];
  size_t size = sodium_base64_ENCODED_LEN (SEAL_BYTES, SEAL_VARIANT);
  char *text = g_malloc (size);
  GByteArray *sealed;

  memcpy (plain, &at_ms, sizeof at_ms);
  digest (d, plain + sizeof at_ms);
  sealed = sealbox_seal (magic, plain, sizeof plain, key);
  sodium_bin2base64 (text, size, sealed->data, sealed->len, SEAL_VARIANT);
  g_byte_array_unref (sealed);
  return text;
}

bool
forwardseal_check (const struct relay_desc *d, const char *text,
                   int64_t now_ms, const uint8_t *key)
{
  uint8_t sealed[SEAL_BYTES], expected[DIGEST_BYTES];
  GByteArray *plain = NULL;
  int64_t at_ms = 0;
  size_t len;
  bool valid;

  if (sodium_base642bin (sealed, sizeof sealed, text, strlen (text), NULL,
                         &len, NULL, SEAL_VARIANT)
          == 0
      && len == SEAL_BYTES)
    plain = sealbox_open (magic, sealed, len, key);
  if (plain == NULL)
    return false;
  memcpy (&at_ms, plain->data, sizeof at_ms);
  at_ms = GINT64_FROM_BE (at_ms);
  valid = ABS (now_ms - at_ms) <= SEAL_AGE_MAX_MS;
  if (valid && d != NULL)
    {
      digest (d, expected);
      valid = sodium_memcmp (plain->data + sizeof at_ms, expected,
                             sizeof expected)
              == 0;
    }
  g_byte_array_unref (plain);
  return valid;
}
