/* History: records of the most recent requests, used to explain them. */
#include "libserver.h"

#include <string.h>

/* A finished request. */
struct record
{
  APR_RING_ENTRY (record) link; /* in history->records */
  char id[ID_SIZE];             /* request id */
  int workspace;                /* index of the workspace */
  int service;                  /* index of the service */
  enum outcome outcome;         /* outcome */
  char *reason;                 /* code of the reason */
  int64_t whole_us;             /* time from arrival to end */
  char *trace;                  /* logged events */
};

struct history
{
  GMutex lock;           /* guards the fields below */
  struct server *server; /* provides the names in the settings */
  APR_RING_HEAD (record_ring, record) records; /* all records, oldest first */
  GHashTable *by_id;                           /* request id to record */
  int max;                                     /* maximum number of records */
};

static void
record_free (gpointer data)
{
  struct record *r = data;

  APR_RING_REMOVE (r, link);
  g_free (r->reason);
  g_free (r->trace);
  g_free (r);
}

struct history *
history_new (int max)
{
  struct history *h = g_new0 (struct history, 1);

  g_mutex_init (&h->lock);
  APR_RING_INIT (&h->records, record, link);
  h->by_id
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, record_free);
  h->max = max;
  return h;
}

void
history_free (struct history *h)
{
  g_hash_table_destroy (h->by_id);
  g_mutex_clear (&h->lock);
  g_free (h);
}

void
history_add (struct history *h, const struct job *j, enum outcome outcome,
             const char *reason, int64_t now_us)
{
  struct record *r = g_new0 (struct record, 1);

  g_strlcpy (r->id, j->id, sizeof r->id);
  r->workspace = j->workspace->index;
  r->service = j->service->index;
  r->outcome = outcome;
  r->reason = g_strdup (reason);
  r->whole_us = now_us - j->arrived_us;
  r->trace = g_strdup (j->trace->str);
  g_mutex_lock (&h->lock);
  h->server = j->worker->server;
  if ((int)g_hash_table_size (h->by_id) >= h->max)
    g_hash_table_remove (h->by_id, APR_RING_FIRST (&h->records)->id);
  APR_RING_INSERT_TAIL (&h->records, r, record, link);
  g_hash_table_insert (h->by_id, r->id, r);
  g_mutex_unlock (&h->lock);
}

static json_t *
trace_lines (const char *trace)
{
  g_auto (GStrv) lines = g_strsplit (trace, "\n", -1);
  json_t *list = json_array ();
  int i;

  for (i = 0; lines[i] != NULL; i++)
    if (lines[i][0] != '\0')
      json_array_append_new (list, json_string (lines[i]));
  return list;
}

/* A request of another workspace looks like one that does not exist. */
json_t *
history_get (struct history *h, const char *id, int workspace)
{
  const struct record *r;
  json_t *doc = NULL;

  g_mutex_lock (&h->lock);
  r = g_hash_table_lookup (h->by_id, id);
  if (r != NULL && (workspace < 0 || r->workspace == workspace))
    doc = json_pack (
        "{s:s,s:s,s:s,s:s,s:s,s:I,s:o}", "id", r->id, "workspace",
        cfg_workspace (server_cfg (h->server), r->workspace)->id, "service",
        cfg_service (server_cfg (h->server), r->service)->id, "outcome",
        out_name (r->outcome), "reason", r->reason, "whole_us",
        (json_int_t)r->whole_us, "events", trace_lines (r->trace));
  g_mutex_unlock (&h->lock);
  return doc;
}
