/* Encoding of messages between VMs on where streams began. */
#ifndef CQ_ORIGINWIRE_H
#define CQ_ORIGINWIRE_H

#include <glib.h>
#include <stddef.h>

#include "origin.h"

/* A message about one stream. */
struct origin_message
{
  bool asks;             /* whether it asks for the build, or tells it */
  uint64_t sender;       /* hash of the sending VM's name */
  int64_t at_ms;         /* platform's clock when it was sent */
  struct origin_key key; /* the stream */
  uint64_t build;        /* where it began; 0 if not known */
  int64_t keep_us;       /* how much longer that is of use */
};

/* Encode M, sealed under KEY; the caller frees the result. */
GByteArray *originwire_seal (const struct origin_message *m,
                             const uint8_t *key);
/* Whether DATA is such a message by its first bytes. */
bool originwire_is_sealed (const uint8_t *data, size_t len);
/* Open and decode a message; false if it is malformed or was not made under
   KEY. */
bool originwire_open (const uint8_t *data, size_t len, const uint8_t *key,
                      struct origin_message *m);
/* Decode its plain text. */
bool originwire_decode (const uint8_t *plain, size_t len,
                        struct origin_message *m);

#endif
