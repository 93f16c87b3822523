/*
 * The builds at which streams began, by workspace and request id: a bounded
 * table without side effects.
 *
 * A stream may go on only at endpoints of the build that began it.  The VM
 * that passes a stream's first event on records this here and tells other VMs
 * (originfeed.h), since the caller may take the stream up again at any of
 * them.
 */
#ifndef CQ_ORIGIN_H
#define CQ_ORIGIN_H

#include <stdbool.h>
#include <stdint.h>

#define ORIGIN_KEY_BYTES 16
/* Entries of a table, about 80 bytes each; the oldest one is dropped first. */
#define ORIGIN_ENTRIES_MAX 32768
/* Longest time that an entry is kept. */
#define ORIGIN_KEEP_MAX_US INT64_C (120000000)

/* A request of a workspace.  Requests of different workspaces differ, whatever
   ids their callers choose. */
struct origin_key
{
  uint8_t bytes[ORIGIN_KEY_BYTES];
};

struct origin_table;

/* The request ID of WORKSPACE, "" for none. */
void origin_key_init (struct origin_key *key, const char *workspace,
                      const char *id);

/* For hash tables by such keys. */
unsigned origin_key_hash (const void *key);
int origin_key_equal (const void *a, const void *b);

struct origin_table *origin_new (void);
void origin_free (struct origin_table *t);
/* Record that the stream KEY began at BUILD, not 0, until KEEP_US after
   NOW_US.  A stream that is recorded with two builds has none. */
void origin_put (struct origin_table *t, const struct origin_key *key,
                 uint64_t build, int64_t keep_us, int64_t now_us);
/* Returns the build, 0 if it is not known; sets LEFT_US to the time that it is
   kept for. */
uint64_t origin_find (struct origin_table *t, const struct origin_key *key,
                      int64_t *left_us, int64_t now_us);
unsigned origin_count (const struct origin_table *t);

#endif
