/*
 * The platform's transactional table over HTTP.
 *
 *   POST /txn   {"writes":[{"key":K,"version":N,"put":{...}|null},...]}
 *               200 {"versions":[...]}                    committed
 *               409 {"conflicts":[{"index":I,"version":N,"value":{...}}]}
 *               429                                       over the rate limit
 *   GET /rows/K 200 {"version":N,"value":{...}}, or 404 if absent
 */
#include "adapter.h"

#include <glib.h>

#include "fetch.h"
#include "met.h"

#define REPLY_MAX_BYTES (64UL * 1024 * 1024)

/* Client of the platform's table. */
struct table_client
{
  struct xfer_pool *pool; /* runs the transfers */
  char *url;              /* base URL */
  int64_t timeout_ms;     /* after which a call counts as lost */
};

/* A call in progress. */
struct table_call
{
  table_done done; /* completion callback */
  void *arg;       /* passed to done */
};

static struct table_row
parse_row (const json_t *doc)
{
  struct table_row row = { 0 };

  row.index = (int)json_integer_value (json_object_get (doc, "index"));
  row.version = json_integer_value (json_object_get (doc, "version"));
  row.value = json_object_get (doc, "value");
  return row;
}

static struct table_row *
parse_versions (const json_t *list, int n)
{
  struct table_row *rows = g_new0 (struct table_row, n + 1);
  int i;

  for (i = 0; i < n; i++)
    {
      rows[i].index = i;
      rows[i].version = json_integer_value (json_array_get (list, i));
    }
  return rows;
}

static struct table_row *
parse_conflicts (const json_t *list, int n)
{
  struct table_row *rows = g_new0 (struct table_row, n + 1);
  int i;

  for (i = 0; i < n; i++)
    rows[i] = parse_row (json_array_get (list, i));
  return rows;
}

/* Parses a reply.  One that cannot be parsed does not tell whether the call
   took effect, so it counts as lost. */
static void
parse_reply (int status, const json_t *doc, struct table_reply *r)
{
  const json_t *versions = json_object_get (doc, "versions");
  const json_t *conflicts = json_object_get (doc, "conflicts");

  r->code = TABLE_LOST;
  if (status == 429)
    r->code = TABLE_BUSY;
  else if (status == 404)
    r->code = TABLE_OK;
  else if (status == 200 && json_is_array (versions))
    {
      r->code = TABLE_OK;
      r->nrows = (int)json_array_size (versions);
      r->rows = parse_versions (versions, r->nrows);
    }
  else if (status == 200 && json_is_object (doc))
    {
      r->code = TABLE_OK;
      r->nrows = 1;
      r->rows = g_new0 (struct table_row, 1);
      r->rows[0] = parse_row (doc);
    }
  else if (status == 409 && json_array_size (conflicts) > 0)
    {
      r->code = TABLE_CONFLICT;
      r->nrows = (int)json_array_size (conflicts);
      r->rows = parse_conflicts (conflicts, r->nrows);
    }
}

static void
on_reply (void *arg, int status, const GString *body)
{
  struct table_call *c = arg;
  struct table_reply r = { .code = TABLE_LOST };
  json_t *doc = NULL;

  if (status > 0)
    {
      doc = json_loadb (body->str, body->len, 0, NULL);
      parse_reply (status, doc, &r);
    }
  if (r.code == TABLE_LOST)
    met_add (MET_TABLE_LOST, 1);
  c->done (c->arg, &r);
  json_decref (doc);
  g_free (r.rows);
  g_free (c);
}

/* Sends a call.  libcurl sends a commit a second time if its kept-alive
   connection was closed; the second one may conflict with the rows that the
   first one wrote, which the caller recognises by their attempt or change id.
   */
static void
start_request (struct table_client *t, const char *method, const char *path,
               const char *body, table_done done, void *arg)
{
  g_autofree char *url = g_strconcat (t->url, path, NULL);
  struct table_call *c = g_new0 (struct table_call, 1);
  struct fetch_opts o = { .method = method, .url = url };

  c->done = done;
  c->arg = arg;
  o.content_type = "application/json";
  o.body = body;
  o.body_len = body != NULL ? strlen (body) : 0;
  o.timeout_ms = t->timeout_ms;
  o.reply_max_bytes = REPLY_MAX_BYTES;
  o.done = on_reply;
  o.arg = c;
  met_add (MET_TABLE_CALLS, 1);
  fetch_start (t->pool, &o);
}

static void
commit (void *ctx, const struct table_write *writes, int n, table_done done,
        void *arg)
{
  json_t *list = json_array ();
  json_t *doc = json_pack ("{s:o}", "writes", list);
  json_t *put;
  char *text;
  int i;

  for (i = 0; i < n; i++)
    {
      put = writes[i].put ? json_incref ((json_t *)writes[i].put)
                          : json_null ();
      json_array_append_new (
          list, json_pack ("{s:s,s:I,s:o}", "key", writes[i].key, "version",
                           (json_int_t)writes[i].version, "put", put));
    }
  text = json_dumps (doc, JSON_COMPACT);
  start_request (ctx, "POST", "/txn", text, done, arg);
  free (text);
  json_decref (doc);
}

static void
read_row (void *ctx, const char *key, table_done done, void *arg)
{
  g_autofree char *escaped = g_uri_escape_string (key, NULL, FALSE);
  g_autofree char *path = g_strconcat ("/rows/", escaped, NULL);

  start_request (ctx, "GET", path, NULL, done, arg);
}

void
tableclient_init (struct table_ops *ops, struct xfer_pool *pool,
                  const char *url, int64_t timeout_ms)
{
  struct table_client *t = g_new0 (struct table_client, 1);

  t->pool = pool;
  t->url = g_strdup (url);
  t->timeout_ms = timeout_ms;
  ops->commit = commit;
  ops->read = read_row;
  ops->ctx = t;
}

void
tableclient_clear (struct table_ops *ops)
{
  struct table_client *t = ops->ctx;

  if (t == NULL)
    return;
  g_free (t->url);
  g_free (t);
  ops->ctx = NULL;
}
