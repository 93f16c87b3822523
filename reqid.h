/* What makes two requests the same, however their callers number them. */
#ifndef CQ_REQID_H
#define CQ_REQID_H

#include <stdint.h>

#define REQID_BYTES 16
#define REQID_TEXT_SIZE (2 * REQID_BYTES + 1) /* in hex, with its NUL */

struct relay_desc;

/* Digest of what is asked, and by whom. */
struct reqid
{
  uint8_t bytes[REQID_BYTES]; /* of BLAKE2b */
};

/* WORKSPACE asks for D; "" if nobody was named.  Equal for a caller that sends
   the same again, under any attempt id and at any VM. */
void reqid_of (const struct relay_desc *d, const char *workspace,
               struct reqid *id);
/* In hex, for the log. */
const char *reqid_text (const struct reqid *id, char text[REQID_TEXT_SIZE]);

#endif
