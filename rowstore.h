/*
 * Access to a table of the platform's store in which VMs keep what must
 * outlive them.
 */
#ifndef CQ_ROWSTORE_H
#define CQ_ROWSTORE_H

#include <glib.h>
#include <stdint.h>

/* The tables, each of which belongs to one module. */
enum rowstore_table
{
  ROWSTORE_CRASHES, /* evidence of crashes (quarfeed.h) */
  ROWSTORE_BUILDS,  /* builds of endpoints (buildfeed.h) */
  ROWSTORE_STREAMS, /* where streams began (originstore.h) */
  ROWSTORE_TABLES   /* their number */
};

/* A row of a table. */
struct rowstore_row
{
  char *key;         /* name of the row */
  int64_t version;   /* version of its last change */
  GByteArray *value; /* NULL if the row was removed */
};

/* Result of a call to the table. */
enum rowstore_status
{
  ROWSTORE_OK,
  ROWSTORE_HISTORY_LOST, /* the table no longer has the changes since
                                that version; read all rows */
  ROWSTORE_CONFLICT,     /* a row does not have the expected version */
  ROWSTORE_FAILED        /* refused, or no reply */
};

/* Reply of the table; valid during the callback only. */
struct rowstore_reply
{
  enum rowstore_status status; /* result of the call */
  int64_t version;             /* version after which to ask for changes */
  GArray *rows; /* struct rowstore_row: rows read, changed or in conflict */
  int skipped;  /* rows that cannot be read and were left out */
};

typedef void (*rowstore_done) (void *arg, const struct rowstore_reply *rows);

/* Passed as EXPECTED, writes a row whatever its version. */
#define ROWSTORE_ANY_VERSION INT64_C (-1)

/* Access to one table, implemented by an adapter.  Each call invokes DONE
   exactly once. */
struct rowstore_ops
{
  /* Read all rows. */
  void (*read) (void *ctx, rowstore_done done, void *arg);
  /* Read changes after VERSION; waits for one for up to WAIT_US. */
  void (*changes) (void *ctx, int64_t version, int64_t wait_us,
                   rowstore_done done, void *arg);
  /* Write VALUE, or remove the row if VALUE is NULL, provided that its version
     is EXPECTED; 0 if the row must not exist. */
  void (*write) (void *ctx, const char *key, const GByteArray *value,
                 int64_t expected, rowstore_done done, void *arg);
  void *ctx; /* passed to each call */
};

#endif
