/*
 * Encoding of the question which services another VM reaches, and of its
 * answer.  Both are sealed, and the answer repeats the question's number: a
 * recorded answer is no answer to a later question.
 */
#ifndef CQ_PATHWIRE_H
#define CQ_PATHWIRE_H

#include "vmpath.h"

/* Random number of a question. */
#define PATHWIRE_NONCE_BYTES 16
/* Largest question and answer. */
#define PATHWIRE_QUESTION_MAX 128
#define PATHWIRE_ANSWER_MAX 1024

/* Encodes a question; the caller frees the result. */
GByteArray *pathwire_question (const uint8_t nonce[PATHWIRE_NONCE_BYTES],
                               const uint8_t *key);
/* Returns whether DATA is a question sealed under KEY; if so, sets NONCE. */
bool pathwire_read_question (const uint8_t *data, size_t len,
                             const uint8_t *key,
                             uint8_t nonce[PATHWIRE_NONCE_BYTES]);
/* Encodes the answer A to the question NONCE; the caller frees the result. */
GByteArray *pathwire_answer (const uint8_t nonce[PATHWIRE_NONCE_BYTES],
                             const struct vmpath_answer *a,
                             const uint8_t *key);
/* Returns whether DATA is an answer to the question NONCE, sealed under KEY;
   if so, sets A. */
bool pathwire_read_answer (const uint8_t *data, size_t len, const uint8_t *key,
                           const uint8_t nonce[PATHWIRE_NONCE_BYTES],
                           struct vmpath_answer *a);

/* Decode its plain text. */
bool pathwire_decode_answer (const uint8_t *plain, size_t len,
                             const uint8_t nonce[PATHWIRE_NONCE_BYTES],
                             struct vmpath_answer *a);

#endif
