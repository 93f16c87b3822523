/* Prefix cache of the engine stand-in, with export and import of segments. */
#ifndef CQ_FAKEKV_H
#define CQ_FAKEKV_H

#include "decide.h"
#include "fake.h"

#define BLOCK_TOKENS (PFX_BLOCK_BYTES / 4)

/* Digests of a prompt under the caller's cache salt. */
int fk_chain (const char *salt, const char *text, uint64_t *digests);

/* Leading blocks that are cached; then all of them are. */
int fk_cache_use (const uint64_t *digests, int n);

/* Import the segments that ORDER names; leading blocks present after it. */
int fk_import (const json_t *order, const uint64_t *digests, int n,
               const char *version);
enum MHD_Result fk_export (struct fk_req *r, const char *version);
json_t *fk_events (int64_t since);
int64_t fk_filled_tokens (void);
void fk_kv_stats (json_t *doc);

/* Bytes of a segment as a store holds them. */
GString *fk_segment_data (uint64_t digest, const char *version, size_t len);

#endif
