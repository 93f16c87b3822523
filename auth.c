/*
 * Keys of workspaces and operators.
 *
 * A key has the form NAME.SECRET; the settings hold only SALT:HASH of the
 * secret.  The secret is 32 random bytes, so a dictionary attack is not
 * possible and a fast keyed hash is enough.  The name allows a direct look-up
 * of the owner.  Hashes are compared in constant time.
 */
#include "libserver.h"

#include <sodium.h>
#include <string.h>

#define SALT_BYTES 16
#define HASH_BYTES 32
#define SECRET_BYTES 32

static void
hash_secret (const uint8_t *salt, const char *secret, uint8_t *hash)
{
  crypto_generichash (hash, HASH_BYTES, (const uint8_t *)secret,
                      strlen (secret), salt, SALT_BYTES);
}

void
auth_make_key (const char *name, char **key, char **hash)
{
  uint8_t random[SECRET_BYTES];
  uint8_t salt[SALT_BYTES];
  uint8_t sum[HASH_BYTES];
  char secret[2 * SECRET_BYTES + 1];
  char salt_hex[2 * SALT_BYTES + 1];
  char sum_hex[2 * HASH_BYTES + 1];

  randombytes_buf (random, sizeof random);
  randombytes_buf (salt, sizeof salt);
  sodium_bin2hex (secret, sizeof secret, random, sizeof random);
  hash_secret (salt, secret, sum);
  sodium_bin2hex (salt_hex, sizeof salt_hex, salt, sizeof salt);
  sodium_bin2hex (sum_hex, sizeof sum_hex, sum, sizeof sum);
  *key = g_strdup_printf ("%s.%s", name, secret);
  *hash = g_strdup_printf ("%s:%s", salt_hex, sum_hex);
}

static bool
hash_matches (const char *entry, const char *secret)
{
  uint8_t salt[SALT_BYTES];
  uint8_t expected[HASH_BYTES];
  uint8_t actual[HASH_BYTES];
  const char *end;

  sodium_hex2bin (salt, sizeof salt, entry, strlen (entry), NULL, NULL, &end);
  sodium_hex2bin (expected, sizeof expected, end + 1, strlen (end + 1), NULL,
                  NULL, NULL);
  hash_secret (salt, secret, actual);
  return sodium_memcmp (expected, actual, HASH_BYTES) == 0;
}

/* Whether SECRET matches one of HASHES.  All are tried, so that the time does
   not depend on which one matches. */
bool
auth_matches (char *const *hashes, const char *secret)
{
  bool found = false;
  int i;

  for (i = 0; hashes != NULL && hashes[i] != NULL; i++)
    if (hash_matches (hashes[i], secret))
      found = true;
  return found;
}

/* Parse the header value "Bearer NAME.SECRET".  Returns the name, which the
   caller frees, or NULL if the value has another form.  *SECRET points into
   BEARER. */
char *
auth_parse_bearer (const char *bearer, const char **secret)
{
  static const char scheme[] = "Bearer ";
  const char *key, *dot;

  if (bearer == NULL || strncmp (bearer, scheme, strlen (scheme)) != 0)
    return NULL;
  key = bearer + strlen (scheme);
  dot = strrchr (key, '.');
  if (dot == NULL || dot == key)
    return NULL;
  *secret = dot + 1;
  return g_strndup (key, (gsize)(dot - key));
}
