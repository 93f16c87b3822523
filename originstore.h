/*
 * Where streams began, kept in a table of the platform.
 *
 * VMs tell each other where streams began (originfeed.h); what they know is
 * lost if all of them are killed.  While several builds of a service serve, a
 * VM also records there the streams that it began, many in one write, and a
 * VM that is asked for a stream that no other one knows reads the table.
 */
#ifndef CQ_ORIGINSTORE_H
#define CQ_ORIGINSTORE_H

#include "loop.h"
#include "origin.h"
#include "rowstore.h"

/* Streams in a row. */
#define ORIGINSTORE_ROW_MAX 64

struct originstore_opts
{
  struct loop *loop;       /* loop of the thread that runs it */
  struct rowstore_ops ops; /* access to the table */
  /* The platform's clock in ms, 0 while it is not known. */
  int64_t (*clock_ms) (void *arg, int64_t now_us);
  /* VMs that write to the table, this one included. */
  int (*count_vms) (void *arg);
  void *arg;     /* passed to both */
  uint64_t life; /* random number that names this VM's rows */
};

/* A stream in a row. */
struct originstore_entry
{
  struct origin_key key; /* the stream */
  uint64_t build;        /* where it began */
  int64_t until_ms;      /* of use until then, by the platform's clock */
};

struct originstore;

struct originstore *originstore_new (const struct originstore_opts *opts);
/* Records that the stream KEY began at BUILD, which is of use for KEEP_US. */
void originstore_add (struct originstore *s, const struct origin_key *key,
                      uint64_t build, int64_t keep_us, int64_t now_us);
/* Reads the table into TABLE, and then calls DONE, with OK false if that
   failed.  Returns false, and does nothing, if the table was read a moment
   ago.  DONE must be the same for all calls. */
bool originstore_recall (struct originstore *s, struct origin_table *table,
                         void (*done) (void *arg, bool ok, int64_t now_us),
                         void *arg, int64_t now_us);
void originstore_stop (struct originstore *s);
/* No call may be pending. */
void originstore_free (struct originstore *s);
/* Number of calls to the platform without a reply yet. */
int originstore_pending_calls (const struct originstore *s);

/* Encodes N streams, at most ORIGINSTORE_ROW_MAX; the caller frees the
   result. */
GByteArray *originstore_encode (const struct originstore_entry *entries,
                                guint n);
/* Appends the streams of a row to ENTRIES, as struct originstore_entry, or
   returns false. */
bool originstore_decode (const uint8_t *data, size_t len, GArray *entries);

#endif
