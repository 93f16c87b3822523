/* Sealed datagrams between VMs. */
#include "sealbox.h"

#include <sodium.h>
#include <string.h>

G_STATIC_ASSERT (SEALBOX_KEY_BYTES == crypto_secretbox_KEYBYTES);
G_STATIC_ASSERT (SEALBOX_OVERHEAD
                 == SEALBOX_MAGIC_BYTES + crypto_secretbox_NONCEBYTES
                        + crypto_secretbox_MACBYTES);

GByteArray *
sealbox_seal (const uint8_t magic[SEALBOX_MAGIC_BYTES], const uint8_t *plain,
              size_t len, const uint8_t *key)
{
  uint8_t nonce[crypto_secretbox_NONCEBYTES];
  GByteArray *out = g_byte_array_new ();
  guint at;

  randombytes_buf (nonce, sizeof nonce);
  g_byte_array_append (out, magic, SEALBOX_MAGIC_BYTES);
  g_byte_array_append (out, nonce, sizeof nonce);
  at = out->len;
  g_byte_array_set_size (out, at + (guint)len + crypto_secretbox_MACBYTES);
  crypto_secretbox_easy (out->data + at, plain, len, nonce, key);
  return out;
}

bool
sealbox_has_magic (const uint8_t magic[SEALBOX_MAGIC_BYTES],
                   const uint8_t *data, size_t len)
{
  return len >= SEALBOX_MAGIC_BYTES
         && memcmp (data, magic, SEALBOX_MAGIC_BYTES) == 0;
}

GByteArray *
sealbox_open (const uint8_t magic[SEALBOX_MAGIC_BYTES], const uint8_t *data,
              size_t len, const uint8_t *key)
{
  const uint8_t *nonce = data + SEALBOX_MAGIC_BYTES;
  const uint8_t *box = nonce + crypto_secretbox_NONCEBYTES;
  GByteArray *plain;

  if (!sealbox_has_magic (magic, data, len) || len < SEALBOX_OVERHEAD)
    return NULL;
  plain = g_byte_array_new ();
  g_byte_array_set_size (plain, (guint)(len - SEALBOX_OVERHEAD));
  if (crypto_secretbox_open_easy (plain->data, box, len - (size_t)(box - data),
                                  nonce, key)
      == 0)
    return plain;
  g_byte_array_unref (plain);
  return NULL;
}
