/* Digests of requests. */
#include "reqid.h"

#include "relay.h"

#include <sodium.h>
#include <string.h>

/* With its length before it, no end of one field can pass for the next one's
   beginning. */
static void
add (crypto_generichash_state *s, const char *field, size_t len)
{
  uint64_t n = len;

  crypto_generichash_update (s, (const uint8_t *)&n, sizeof n);
  crypto_generichash_update (s, (const uint8_t *)field, len);
}

/*
 * A cryptographic digest with the workspace in it: what is concluded of a
 * request must not be brought about for another workspace's by one that is
 * made to have the same digest.
 */
void
reqid_of (const struct relay_desc *d, const char *workspace, struct reqid *id)
{
  crypto_generichash_state s;

  crypto_generichash_init (&s, NULL, 0, sizeof id->bytes);
  add (&s, workspace, strlen (workspace));
  add (&s, d->method, strlen (d->method));
  add (&s, d->host, strlen (d->host));
  add (&s, d->target, strlen (d->target));
  add (&s, d->body, d->body_len);
  crypto_generichash_final (&s, id->bytes, sizeof id->bytes);
}

const char *
reqid_text (const struct reqid *id, char text[REQID_TEXT_SIZE])
{
  return sodium_bin2hex (text, REQID_TEXT_SIZE, id->bytes, sizeof id->bytes);
}
