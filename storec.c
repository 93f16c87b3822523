/*
 * Stores of kept KV cache over HTTP.
 *
 *   GET /list?since=N   {"incarnation":I,"first":F,"next":M,"used":B,
 *                        "capacity":B,"changes":["+NAME","-NAME",...]}
 *   DELETE /segments/NAME
 */
#include "adapter.h"

#include <glib.h>
#include <stdio.h>

#include "fetch.h"

/* For a listing to begin: the store gathers it first.  A silent store counts
   as down after three of these. */
#define FIRST_MS 2000
/*
 * Without a further byte of a listing that has begun: three packets in a row
 * may be lost, which come again after 200, 400 and 800 ms.  A try that is
 * given up costs the whole listing, and a listing is a hint that nobody waits
 * for, so this is four times what the platform's calls have.
 */
#define STALL_MS 2000
/* Taken of a listing: 450,000 changes of 37 bytes. */
#define LISTING_MAX_BYTES INT64_C (16777216)
/* The smallest VMs' link, 10 Mbit/s, of which requests may take half. */
#define LINK_MIN_BYTES_S (INT64_C (10) * 1000 * 1000 / 8 / 2)
/*
 * For all of a listing once it began: 27 s.  Each try begins with the first
 * change, so a limit that a large listing meets once it meets always, and a VM
 * that starts would never learn what the store holds.
 */
#define WHOLE_MS (LISTING_MAX_BYTES * 1000 / LINK_MIN_BYTES_S)
#define DROP_MS 2000 /* a store answers within some ms */

/* A listing under way. */
struct list_call
{
  listing_done done; /* whom to tell */
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
  const char *life = json_string_value (json_object_get (doc, "incarnation"));

  if (life != NULL)
    g_strlcpy (l->incarnation, life, sizeof l->incarnation);
  l->first = int_field (doc, "first");
  l->next = int_field (doc, "next");
  l->used = int_field (doc, "used");
  l->capacity = int_field (doc, "capacity");
  read_changes (json_object_get (doc, "changes"), l);
  json_decref (doc);
  return life != NULL;
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
  o.first_byte_timeout_ms = FIRST_MS;
  o.stall_timeout_ms = STALL_MS;
  o.timeout_ms = FIRST_MS + WHOLE_MS;
  o.reply_max_bytes = LISTING_MAX_BYTES;
  o.done = on_list;
  o.arg = c;
  fetch_start (ctx, &o);
}

/* A segment that was not deleted stands in the next whole listing. */
static void
drop (void *ctx, const char *address, uint64_t digest, uint64_t write_id)
{
  char name[SEGMENT_NAME_SIZE];
  g_autofree char *url = NULL;
  struct fetch_opts o = { .method = "DELETE", .timeout_ms = DROP_MS };

  segment_name (digest, write_id, name);
  url = g_strdup_printf ("http://%s/segments/%s", address, name);
  o.url = url;
  o.reply_max_bytes = LISTING_MAX_BYTES;
  fetch_start (ctx, &o);
}

void
storec_ops (struct store_ops *ops, struct xfer_pool *pool)
{
  ops->list = list;
  ops->drop = drop;
  ops->ctx = pool;
}
