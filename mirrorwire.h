/*
 * Encoding of requests for rows of a mirrored table, and of their replies.
 *
 * A request, and the head of a reply, are encrypted and authenticated under a
 * key that all VMs share; the rows are bound to the head by a digest.  A reply
 * repeats the random nonce of its request, so a recorded one is rejected.
 */
#ifndef CQ_MIRRORWIRE_H
#define CQ_MIRRORWIRE_H

#include <glib.h>

#include "fleet.h"
#include "loadgossip.h"
#include "mirror.h"

#define MIRRORWIRE_KEY_BYTES 32
#define MIRRORWIRE_NONCE_BYTES 16
#define MIRRORWIRE_DIGEST_BYTES 32
#define MIRRORWIRE_REQUEST_MAX 256 /* bytes of a sealed request */
#define MIRRORWIRE_ROWS_MAX 65536  /* rows of a reply */

enum mirror_table
{
  MIRROR_ENDPOINTS, /* the list of endpoints */
  MIRROR_ROSTER,    /* the list of VMs */
  MIRROR_OPERATOR,  /* the operators' rows, with values as stored */
  MIRROR_TABLES
};

struct mirror_request
{
  uint8_t nonce[MIRRORWIRE_NONCE_BYTES];
  enum mirror_table table; /* table that is asked for */
  int64_t era;             /* era of the platform's store that since is of */
  int64_t since;           /* rows that changed after it; 0 for all rows */
};

enum mirror_status
{
  MIRROR_OK,
  MIRROR_HISTORY_LOST, /* removals since then are forgotten: ask for all rows
                        */
  MIRROR_NOT_READY     /* the sender has no rows itself */
};

struct mirror_reply
{
  uint8_t nonce[MIRRORWIRE_NONCE_BYTES]; /* of the request */
  enum mirror_status status;
  int depth;                /* VMs between the platform and the receiver */
  int64_t era;              /* of the platform's store; 0 if it gives none */
  int64_t version;          /* covered by the rows */
  int64_t age_ms;           /* since the rows were current */
  int64_t operator_row;     /* newest change of the operators that the sender
                               knows */
  int64_t operator_version; /* up to which it knows all of them */
  int64_t operator_age_ms;  /* since that was current; -1 if it knows none */
};

/* Encode and decode the value of a row.  The caller frees the bytes; decoding
   returns false if DATA is invalid. */
GByteArray *mirrorwire_encode_listing (const struct fleet_listing *l);
bool mirrorwire_decode_listing (const char *key, const uint8_t *data,
                                size_t len, struct fleet_listing *l);
GByteArray *mirrorwire_encode_vm (const struct roster_row *r);
bool mirrorwire_decode_vm (const char *key, int64_t version,
                           const uint8_t *data, size_t len,
                           struct roster_row *r);

/* Encodes ROWS, an array of struct mirror_row. */
GBytes *mirrorwire_encode_rows (const GArray *rows);
/* Calls FN for each row of DATA; returns false, maybe after some calls, if
   DATA is invalid. */
bool mirrorwire_decode_rows (const uint8_t *data, size_t len,
                             void (*fn) (void *arg,
                                         const struct mirror_row *row),
                             void *arg);

GByteArray *mirrorwire_seal_request (const struct mirror_request *r,
                                     const uint8_t *key);
bool mirrorwire_open_request (const uint8_t *data, size_t len,
                              const uint8_t *key, struct mirror_request *r);
void mirrorwire_digest (GBytes *rows, uint8_t digest[MIRRORWIRE_DIGEST_BYTES]);
/* The head of a reply, which its rows follow. */
GByteArray *
mirrorwire_seal_reply (const struct mirror_reply *r,
                       const uint8_t digest[MIRRORWIRE_DIGEST_BYTES],
                       const uint8_t *key);
/* Opens a reply to the request with NONCE; *ROWS is the start of its rows in
   DATA.  Returns false unless head and rows were made for that request under
   KEY. */
bool mirrorwire_open_reply (const uint8_t *data, size_t len,
                            const uint8_t *key, const uint8_t *nonce,
                            struct mirror_reply *r, const uint8_t **rows);

#endif
