/*
 * Sealed datagrams between VMs: encrypted and authenticated under the key that
 * all VMs share, behind a few bytes that tell the kinds of datagrams apart.
 *
 * These bytes are not authenticated.  The plain text of one kind must not be
 * valid as another kind.
 */
#ifndef CQ_SEALBOX_H
#define CQ_SEALBOX_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SEALBOX_KEY_BYTES 32  /* size of the key */
#define SEALBOX_MAGIC_BYTES 4 /* first bytes of a datagram */
#define SEALBOX_OVERHEAD 44   /* bytes of a datagram besides the plain text */

/* Seals LEN bytes of PLAIN; the caller frees the result. */
GByteArray *sealbox_seal (const uint8_t magic[SEALBOX_MAGIC_BYTES],
                          const uint8_t *plain, size_t len,
                          const uint8_t *key);
/* Returns whether DATA begins with MAGIC. */
bool sealbox_has_magic (const uint8_t magic[SEALBOX_MAGIC_BYTES],
                        const uint8_t *data, size_t len);
/* Returns the plain text, which the caller frees; NULL if DATA does not begin
   with MAGIC, is too short or was not sealed under KEY. */
GByteArray *sealbox_open (const uint8_t magic[SEALBOX_MAGIC_BYTES],
                          const uint8_t *data, size_t len, const uint8_t *key);

#endif
