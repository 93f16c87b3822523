/*
 * HTTP client of the KV cache stores.
 *
 *   GET /list?since=N   {"incarnation":I,"first":F,"next":M,"used":B,
 *                        "capacity":B,"changes":["+NAME","-NAME",...]}
 *   DELETE /segments/NAME
 */
#include "adapter.h"

#include <glib.h>
#include <stdio.h>

#include "fetch.h"

/* Timeout for the first byte of a listing, which the store has to collect
   first.  A store counts as down after three consecutive failures. */
#define LISTING_FIRST_BYTE_MS 2000
/*
 * Timeout for the next byte of a listing that has begun.  It tolerates three
 * consecutive packet losses, retransmitted after 200, 400 and 800 ms.  An
 * aborted attempt loses the whole listing, and no request waits for a listing,
 * so this is four times the timeout of calls to the platform.
 */
#define LISTING_STALL_MS 2000
/* Limit on the size of a listing: 450,000 changes of 37 bytes. */
#define LISTING_MAX_BYTES INT64_C (16777216)
/* The slowest link of a VM, 10 Mbit/s, half of which requests may use. */
#define LINK_MIN_BYTES_S (INT64_C (10) * 1000 * 1000 / 8 / 2)
/*
 * Timeout for a whole listing after its first byte: 27 s.  Each attempt begins
 * with the first change, so a large listing that exceeds the limit once would
 * always exceed it, and a VM that starts would never learn what the store
 * holds.
 */
#define LISTING_TOTAL_MS (LISTING_MAX_BYTES * 1000 / LINK_MIN_BYTES_S)
#define DELETE_TIMEOUT_MS                                                     \
  2000 /* a store normally replies within milliseconds */

/* A request for a listing. */
struct list_call
{
  listing_done done; /* called with the result */
  void *arg;         /* passed to done */
};

void
segment_name (uint64_t digest, uint64_t write_id, char *name)
{
  g_snprintf (name, SEGMENT_NAME_SIZE,
              "%016" G_GINT64_MODIFIER "x-%016" G_GINT64_MODIFIER "x",
              (guint64)digest, (guint64)write_id);
}

bool
segment_parse (const char *name, uint64_t *digest, uint64_t *write_id)
{
  char *end;

  *digest = g_ascii_strtoull (name, &end, 16);
  if (end != name + 16 || *end != '-')
    return false;
  *write_id = g_ascii_strtoull (end + 1, &end, 16);
  return end == name + SEGMENT_NAME_SIZE - 1 && *end == '\0';
}

static int64_t
int_field (const json_t *doc, const char *field)
{
  return json_integer_value (json_object_get (doc, field));
}

static void
read_changes (const json_t *list, struct store_listing *l)
{
  const json_t *one;
  const char *text;
  struct store_change *c;
  size_t i;

  l->changes = g_new0 (struct store_change, json_array_size (list) + 1);
  json_array_foreach (list, i, one)
  {
    text = json_string_value (one);
    c = &l->changes[l->nchanges];
    if (text == NULL || !segment_parse (text + 1, &c->digest, &c->write_id))
      continue;
    c->sealed = text[0] == '+';
    l->nchanges++;
  }
}

static bool
read_listing (const GString *body, struct store_listing *l)
{
  json_t *doc = json_loadb (body->str, body->len, 0, NULL);
  const char *incarnation
      = json_string_value (json_object_get (doc, "incarnation"));

  if (incarnation != NULL)
    g_strlcpy (l->incarnation, incarnation, sizeof l->incarnation);
  l->first = int_field (doc, "first");
  l->next = int_field (doc, "next");
  l->used = int_field (doc, "used");
  l->capacity = int_field (doc, "capacity");
  read_changes (json_object_get (doc, "changes"), l);
  json_decref (doc);
  return incarnation != NULL;
}

static void
on_list (void *arg, int status, const GString *body)
{
  struct list_call *c = arg;
  struct store_listing l = { 0 };
  bool good = status == 200 && read_listing (body, &l);

  c->done (c->arg, good, &l);
  g_free (l.changes);
  g_free (c);
}

static void
list (void *ctx, const char *address, int64_t since, listing_done done,
      void *arg)
{
  g_autofree char *url = g_strdup_printf (
      "http://%s/list?since=%" G_GINT64_FORMAT, address, (gint64)since);
  struct list_call *c = g_new0 (struct list_call, 1);
  struct fetch_opts o = { .method = "GET", .url = url };

  c->done = done;
  c->arg = arg;
  o.first_byte_timeout_ms = LISTING_FIRST_BYTE_MS;
  o.stall_timeout_ms = LISTING_STALL_MS;
  o.timeout_ms = LISTING_FIRST_BYTE_MS + LISTING_TOTAL_MS;
  o.reply_max_bytes = LISTING_MAX_BYTES;
  o.done = on_list;
  o.arg = c;
  fetch_start (ctx, &o);
}

/* The reply is ignored: a segment that was not deleted appears again in the
   next full listing. */
static void
drop (void *ctx, const char *address, uint64_t digest, uint64_t write_id)
{
  char name[SEGMENT_NAME_SIZE];
  g_autofree char *url = NULL;
  struct fetch_opts o
      = { .method = "DELETE", .timeout_ms = DELETE_TIMEOUT_MS };

  segment_name (digest, write_id, name);
  url = g_strdup_printf ("http://%s/segments/%s", address, name);
  o.url = url;
  o.reply_max_bytes = LISTING_MAX_BYTES;
  fetch_start (ctx, &o);
}

void
storeclient_init (struct store_ops *ops, struct xfer_pool *pool)
{
  ops->list = list;
  ops->drop = drop;
  ops->ctx = pool;
}
