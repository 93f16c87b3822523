/*
 * Encoding of facts about requests that crash endpoints: unencrypted in a
 * row of the platform's table, encrypted and authenticated in a datagram to
 * other VMs.
 */
#ifndef CQ_QUARWIRE_H
#define CQ_QUARWIRE_H

#include "quar.h"
#include "sealbox.h"

#define QUARWIRE_KEY_BYTES                                                    \
  SEALBOX_KEY_BYTES              /* size of the key that all VMs share */
#define QUARWIRE_ROW_MAX 128     /* facts in a row */
#define QUARWIRE_DATAGRAM_MAX 32 /* facts in a datagram, 1.3 KB */

/* Encode the first MAX of FACTS, an array of struct quar_fact, and at most
   QUARWIRE_ROW_MAX.  The caller frees the result. */
GByteArray *quarwire_encode (const GArray *facts, guint max);
/* Append the encoded facts to FACTS; returns false if DATA is malformed.
   Facts with impossible times are skipped. */
bool quarwire_decode (const uint8_t *data, size_t len, GArray *facts);

/* Encode the first QUARWIRE_DATAGRAM_MAX of FACTS, encrypted and authenticated
   under KEY. */
GByteArray *quarwire_seal (const GArray *facts, const uint8_t *key);
/* Whether DATA begins as such a datagram does. */
bool quarwire_is_sealed (const uint8_t *data, size_t len);
/* Decrypt and decode a datagram; returns false if it is malformed or was not
   made under KEY. */
bool quarwire_open (const uint8_t *data, size_t len, const uint8_t *key,
                    GArray *facts);

#endif
