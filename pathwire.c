/* Encoding of the question which services another VM reaches. */
#include "pathwire.h"

#include <string.h>

#include "sealbox.h"

/* First bytes of a question and of an answer, and of their plain texts. */
static const uint8_t question_magic[SEALBOX_MAGIC_BYTES]
    = { 'C', 'Q', 'P', 'q' };
static const uint8_t answer_magic[SEALBOX_MAGIC_BYTES]
    = { 'C', 'Q', 'P', 'a' };

#define NUMBER_BYTES 8
/* No VM has more requests of others under way. */
#define FORWARDED_MAX 1000000

static void
put (GByteArray *to, const void *data, size_t len)
{
  g_byte_array_append (to, data, (guint)len);
}

static void
put_number (GByteArray *to, uint64_t number)
{
  uint64_t be = GUINT64_TO_BE (number);

  put (to, &be, sizeof be);
}

static uint64_t
get_number (const uint8_t *at)
{
  uint64_t be;

  memcpy (&be, at, sizeof be);
  return GUINT64_FROM_BE (be);
}

/* The plain text of one kind is not valid as another kind. */
static GByteArray *
begin (const uint8_t magic[SEALBOX_MAGIC_BYTES],
       const uint8_t nonce[PATHWIRE_NONCE_BYTES])
{
  GByteArray *plain = g_byte_array_new ();

  put (plain, magic, SEALBOX_MAGIC_BYTES);
  put (plain, nonce, PATHWIRE_NONCE_BYTES);
  return plain;
}

static GByteArray *
seal (const uint8_t magic[SEALBOX_MAGIC_BYTES], GByteArray *plain,
      const uint8_t *key)
{
  GByteArray *sealed = sealbox_seal (magic, plain->data, plain->len, key);

  g_byte_array_unref (plain);
  return sealed;
}

/* The plain text behind its first bytes; NULL if DATA is none. */
static GByteArray *
open_plain (const uint8_t magic[SEALBOX_MAGIC_BYTES], const uint8_t *data,
            size_t len, const uint8_t *key)
{
  GByteArray *plain = sealbox_open (magic, data, len, key);

  if (plain != NULL && plain->len >= SEALBOX_MAGIC_BYTES
      && memcmp (plain->data, magic, SEALBOX_MAGIC_BYTES) == 0)
    return g_byte_array_remove_range (plain, 0, SEALBOX_MAGIC_BYTES);
  if (plain != NULL)
    g_byte_array_unref (plain);
  return NULL;
}

GByteArray *
pathwire_question (const uint8_t nonce[PATHWIRE_NONCE_BYTES],
                   const uint8_t *key)
{
  return seal (question_magic, begin (question_magic, nonce), key);
}

bool
pathwire_read_question (const uint8_t *data, size_t len, const uint8_t *key,
                        uint8_t nonce[PATHWIRE_NONCE_BYTES])
{
  g_autoptr (GByteArray) plain = open_plain (question_magic, data, len, key);

  if (plain == NULL || plain->len != PATHWIRE_NONCE_BYTES)
    return false;
  memcpy (nonce, plain->data, PATHWIRE_NONCE_BYTES);
  return true;
}

GByteArray *
pathwire_answer (const uint8_t nonce[PATHWIRE_NONCE_BYTES],
                 const struct vmpath_answer *a, const uint8_t *key)
{
  GByteArray *plain = begin (answer_magic, nonce);
  int i;

  put_number (plain, (uint64_t)a->forwarded);
  for (i = 0; i < a->nunreached; i++)
    put_number (plain, a->unreached[i]);
  return seal (answer_magic, plain, key);
}

bool
pathwire_decode_answer (const uint8_t *plain, size_t len,
                        const uint8_t nonce[PATHWIRE_NONCE_BYTES],
                        struct vmpath_answer *a)
{
  const uint8_t *at = plain + PATHWIRE_NONCE_BYTES;
  size_t n, i;

  if (len < PATHWIRE_NONCE_BYTES + NUMBER_BYTES
      || (len - PATHWIRE_NONCE_BYTES) % NUMBER_BYTES != 0
      || memcmp (plain, nonce, PATHWIRE_NONCE_BYTES) != 0)
    return false;
  n = (len - PATHWIRE_NONCE_BYTES) / NUMBER_BYTES - 1;
  if (n > VMPATH_SERVICES_MAX)
    return false;
  *a = (struct vmpath_answer){ .nunreached = (int)n };
  a->forwarded = (int)MIN (get_number (at), FORWARDED_MAX);
  for (i = 0; i < n; i++)
    a->unreached[i] = get_number (at + NUMBER_BYTES * (i + 1));
  return true;
}

bool
pathwire_read_answer (const uint8_t *data, size_t len, const uint8_t *key,
                      const uint8_t nonce[PATHWIRE_NONCE_BYTES],
                      struct vmpath_answer *a)
{
  g_autoptr (GByteArray) plain = open_plain (answer_magic, data, len, key);

  return plain != NULL
         && pathwire_decode_answer (plain->data, plain->len, nonce, a);
}
