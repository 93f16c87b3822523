/*
 * Seals of requests that one VM forwards to another: they prove that a VM sent
 * the request as it is, a short time ago.
 */
#ifndef CQ_FORWARDSEAL_H
#define CQ_FORWARDSEAL_H

#include "relay.h"

/* Header of a forwarded request, with its seal. */
#define FORWARD_HEADER "Camphorquay-Forwarded"
/* Header of the answer of a VM that reaches no endpoint for it. */
#define FORWARD_NO_PATH_HEADER "Camphorquay-No-Path"

/* Header of the answer to a caller whose stream no endpoint can go on with. */
#define NO_BUILD_HEADER "Camphorquay-Begin-Anew"

/* The seal of D at NOW_MS of the platform's clock, under KEY; the caller frees
   it. */
char *forwardseal_make (const struct relay_desc *d, int64_t now_ms,
                        const uint8_t *key);
/* Whether TEXT, as received, is the seal of D under KEY, made a short time
   before NOW_MS; with D NULL, whether it is such a seal of any request. */
bool forwardseal_check (const struct relay_desc *d, const char *text,
                        int64_t now_ms, const uint8_t *key);

#endif
