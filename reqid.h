/* Digests that identify equal requests, whatever ids their callers give. */
#ifndef CQ_REQID_H
#define CQ_REQID_H

#include <stdbool.h>
#include <stdint.h>

#define REQID_BYTES 16
#define REQID_TEXT_SIZE (2 * REQID_BYTES + 1) /* in hex, with its NUL */

struct relay_desc;

/* Digest of the content of a request and its workspace. */
struct reqid
{
  uint8_t bytes[REQID_BYTES]; /* a BLAKE2b hash */
};

/* Compute the digest of D as WORKSPACE sends it, "" for none.  It is equal
   when a caller sends the same request again, with any attempt id and at any
   VM. */
void reqid_of (const struct relay_desc *d, const char *workspace,
               struct reqid *id);
/* Compute the digest of the part with this id of prompts for SERVICE, the same
   for all workspaces. */
void reqid_of_part (const char *service, const char *part, struct reqid *id);
/* Whether ID is the digest of a part. */
bool reqid_is_part (const struct reqid *id);
/* Write ID to TEXT in hex, for the log; returns TEXT. */
const char *reqid_text (const struct reqid *id, char text[REQID_TEXT_SIZE]);

#endif
