/* Digests of requests. */
#include "reqid.h"

#include "relay.h"

#include <sodium.h>
#include <string.h>

/* A bit of the last byte tells parts from requests. */
#define PART_BIT 1

/* The length comes first, so that bytes cannot move from the end of one field
   to the start of the next without a change of the digest. */
static void
add_field (crypto_generichash_state *s, const char *field, size_t len)
{
  uint64_t n = len;

  crypto_generichash_update (s, (const uint8_t *)&n, sizeof n);
  crypto_generichash_update (s, (const uint8_t *)field, len);
}

/*
 * The digest is cryptographic and includes the workspace: nobody may craft a
 * request with the digest of another workspace's request, and so have that one
 * quarantined.
 */
void
reqid_of (const struct relay_desc *d, const char *workspace, struct reqid *id)
{
  crypto_generichash_state s;

  crypto_generichash_init (&s, NULL, 0, sizeof id->bytes);
  add_field (&s, workspace, strlen (workspace));
  add_field (&s, d->method, strlen (d->method));
  add_field (&s, d->host, strlen (d->host));
  add_field (&s, d->target, strlen (d->target));
  add_field (&s, d->body, d->body_len);
  crypto_generichash_final (&s, id->bytes, sizeof id->bytes);
  id->bytes[REQID_BYTES - 1] &= (uint8_t)~PART_BIT;
}

void
reqid_of_part (const char *service, const char *part, struct reqid *id)
{
  crypto_generichash_state s;

  crypto_generichash_init (&s, NULL, 0, sizeof id->bytes);
  add_field (&s, service, strlen (service));
  add_field (&s, part, strlen (part));
  crypto_generichash_final (&s, id->bytes, sizeof id->bytes);
  id->bytes[REQID_BYTES - 1] |= PART_BIT;
}

bool
reqid_is_part (const struct reqid *id)
{
  return id->bytes[REQID_BYTES - 1] & PART_BIT;
}

const char *
reqid_text (const struct reqid *id, char text[REQID_TEXT_SIZE])
{
  return sodium_bin2hex (text, REQID_TEXT_SIZE, id->bytes, sizeof id->bytes);
}
