/*
 * Interfaces to external systems, one callback struct for each.
 *
 * The server reaches endpoints and the platform only through these.  Tests and
 * benchmarks supply their own; endpointclient.c, storeclient.c, tableclient.c
 * and objectclient.c implement them over HTTP.  All calls and callbacks of one
 * struct run on one thread.
 */
#ifndef CQ_ADAPTER_H
#define CQ_ADAPTER_H

#include <jansson.h>

#include "decide.h"
#include "xfer.h"

/* --- endpoints ------------------------------------------------------- */

/* One call to an endpoint. */
struct call_opts
{
  const char *address;        /* IP:PORT */
  const char *path;           /* path of the call */
  const char *const *headers; /* "Name: value" lines, NULL-terminated */
  const char *body;           /* must stay valid until the call ends */
  size_t body_len;            /* bytes of body */
  bool may_repeat;            /* false: the transport must not send it twice */
};

#define LOAD_REMOVED_MAX 1024 /* cache events taken from one report */

/* An endpoint's load report, with the cache events since the one before. */
struct load_report
{
  struct route_report route;          /* load, version, incarnation */
  int64_t filled_tokens;              /* tokens put into its memory so far */
  int64_t first_event;                /* number of the first event below */
  int64_t next_event;                 /* number after the last one */
  uint64_t removed[LOAD_REMOVED_MAX]; /* blocks it evicted */
  int nremoved;                       /* entries in removed */
};

/* Reply to a request for a load report. */
typedef void (*load_done) (void *arg, bool reached,
                           const struct load_report *report);

struct endpoint_ops
{
  /* Start a call; returns its handle. */
  void *(*call) (void *ctx, const struct call_opts *opts,
                 const struct xfer_events *events, void *arg);
  /* Stop a call without a further callback; the endpoint sees its
     connection close. */
  void (*cancel) (void *ctx, void *call);
  /* Deliver the bytes that XFER_PAUSE held back. */
  void (*unpause) (void *ctx, void *call);
  /* Ask for a load report and the cache events from number SINCE on. */
  void (*load) (void *ctx, const char *address, int64_t since, load_done done,
                void *arg);
  void *ctx; /* passed to all */
};

/* --- KV cache stores ------------------------------------------------- */

/* A change in a store: a segment was sealed or deleted. */
struct store_change
{
  uint64_t digest;   /* of the segment's last block */
  uint64_t write_id; /* with digest, the segment's name */
  bool sealed;       /* false: deleted */
};

/* A store's changes from a number on. */
struct store_listing
{
  char incarnation[40];         /* of the store */
  int64_t first;                /* number of the first change below */
  int64_t next;                 /* number after the last one */
  int64_t used;                 /* bytes in use */
  int64_t capacity;             /* bytes in total */
  struct store_change *changes; /* in order */
  int nchanges;                 /* their number */
};

typedef void (*listing_done) (void *arg, bool reached,
                              const struct store_listing *listing);

struct store_ops
{
  /* List the changes from number SINCE on. */
  void (*list) (void *ctx, const char *address, int64_t since,
                listing_done done, void *arg);
  /* Delete a segment whose name is forgotten. */
  void (*drop) (void *ctx, const char *address, uint64_t digest,
                uint64_t write_id);
  void *ctx; /* passed to both */
};

/* --- the platform's transactional table ------------------------------ */

/* One write of a transaction, with its condition. */
struct table_write
{
  const char *key;   /* row */
  int64_t version;   /* row must have this version; 0: must not exist */
  const json_t *put; /* new content; NULL deletes the row */
};

/* A row as the table holds it. */
struct table_row
{
  int index;       /* in a conflict: which write failed on it */
  int64_t version; /* grows with each change; 0 if the row does not exist */
  json_t *value;   /* content, owned by the reply, or NULL */
};

enum table_code
{
  TABLE_OK,       /* committed, or read */
  TABLE_CONFLICT, /* a condition failed: nothing was written */
  TABLE_BUSY,     /* over its rate limit: nothing was written */
  TABLE_LOST      /* no reply: it may or may not have been written */
};

struct table_reply
{
  enum table_code code;   /* outcome */
  int nrows;              /* rows below */
  struct table_row *rows; /* written, read, or in conflict */
};

typedef void (*table_done) (void *arg, const struct table_reply *reply);

struct table_ops
{
  /* Commit all writes or none. */
  void (*commit) (void *ctx, const struct table_write *writes, int n,
                  table_done done, void *arg);
  /* Read one row. */
  void (*read) (void *ctx, const char *key, table_done done, void *arg);
  void *ctx; /* passed to both */
};

/* --- the platform's object store ------------------------------------- */

/* FOUND is false if the object does not exist or no reply came. */
typedef void (*object_done) (void *arg, bool found, const char *data,
                             size_t len);

struct object_ops
{
  void (*put) (void *ctx, const char *name, const char *data, size_t len,
               object_done done, void *arg);
  void (*get) (void *ctx, const char *name, object_done done, void *arg);
  void *ctx; /* passed to both */
};

/* --- HTTP implementations -------------------------------------------- */

void endpointclient_init (struct endpoint_ops *ops, struct xfer_pool *pool);
void storeclient_init (struct store_ops *ops, struct xfer_pool *pool);

/* Name of a segment in a store. */
#define SEGMENT_NAME_SIZE 34
void segment_name (uint64_t digest, uint64_t write_id, char *name);
bool segment_parse (const char *name, uint64_t *digest, uint64_t *write_id);
void tableclient_init (struct table_ops *ops, struct xfer_pool *pool,
                       const char *url, int64_t timeout_ms);
void tableclient_clear (struct table_ops *ops);
void objectclient_init (struct object_ops *ops, struct xfer_pool *pool,
                        const char *url, int64_t timeout_ms);
void objectclient_clear (struct object_ops *ops);

#endif
