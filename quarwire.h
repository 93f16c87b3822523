/*
 * Facts about requests that crash endpoints, as bytes: plain in a row of the
 * platform's table, sealed in a datagram to other VMs.
 */
#ifndef CQ_QUARWIRE_H
#define CQ_QUARWIRE_H

#include "quar.h"

#define QUARWIRE_KEY_BYTES 32    /* of the key that all VMs share */
#define QUARWIRE_ROW_MAX 128     /* facts of a row */
#define QUARWIRE_DATAGRAM_MAX 32 /* facts of a datagram, 1.3 KB */

/* FACTS is an array of struct quar_fact; more than fit are left out. */
GByteArray *quarwire_encode (const GArray *facts, guint max);
/* Append what the bytes say; false if they are none. */
bool quarwire_decode (const uint8_t *data, size_t len, GArray *facts);

/* The same under KEY; nobody without it can make or read one. */
GByteArray *quarwire_seal (const GArray *facts, const uint8_t *key);
/* Whether the bytes claim to be such a datagram. */
bool quarwire_is_sealed (const uint8_t *data, size_t len);
bool quarwire_open (const uint8_t *data, size_t len, const uint8_t *key,
                    GArray *facts);

#endif
