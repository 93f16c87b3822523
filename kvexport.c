/*
 * Exports of KV cache: after a request completes, the segments of its prompt
 * that are worth their bytes are exported to a store, as far as its link has
 * capacity that no import needs.  The least recently used segments of a store
 * that is nearly full are deleted.
 */
#include "libkvcache.h"

#include <sodium.h>
#include <string.h>

#define EXPORT_QUEUE_MAX_US                                                   \
  (2 * CQ_US_PER_S)            /* longest queue of exports, as link time */
#define EVICT_ABOVE_PERCENT 95 /* used capacity at which eviction starts */
#define EVICT_PERCENT 2        /* capacity evicted at a time */
#define EVICT_SCAN_ENTRIES                                                    \
  1024UL /* directory entries scanned for one in a store */
#define EXPORT_REPLY_MAX_BYTES 65536

/* An export request that has no reply yet. */
struct export_call
{
  struct server *server; /* the server that owns it */
  int store;             /* index of the target store */
  int endpoint;          /* index of the endpoint that exports */
  int workspace;         /* index of the workspace that owns the segments */
  int n;                 /* number of segments */
  uint64_t *digests;     /* digest of each segment */
  uint64_t *write_ids;   /* write id of each segment */
  int64_t bytes;         /* bytes of all segments */
  int64_t sent_us;       /* when it was sent */
  char *body;            /* body of the request */
  GString *reply;        /* body of the reply */
  char id[ID_SIZE];      /* id of the request that computed them */
};

/* --- return statistics ----------------------------------------------- */

/*
 * Records the interval since this prompt, or the prompt that it continues, was
 * last seen.  That is the last use of its deepest segment that was the last
 * one of an earlier prompt.
 */
static void
record_return (struct kvcache *k, struct job *j, int64_t now_us)
{
  struct keep *keep = &k->return_stats[j->workspace->index];
  int last = j->nprefix_digests / DIR_SEGMENT_BLOCKS * DIR_SEGMENT_BLOCKS;
  struct dir_entry *e = NULL;
  int at;

  for (at = last; at > 0 && e == NULL; at -= DIR_SEGMENT_BLOCKS)
    e = dir_find (k->seen_prompts, j->prefix_digests[at - 1]);
  if (e != NULL)
    keep_returned (keep, now_us - e->used_us);
  keep_used (keep);
  if (last == 0)
    return;
  e = dir_add (k->seen_prompts, j->prefix_digests[last - 1], 0, 0, now_us);
  dir_touch (k->seen_prompts, e, now_us);
}

/* --- export ---------------------------------------------------------- */

static int64_t
segment_bytes (const struct job *j)
{
  return SEGMENT_TOKENS * j->service_cfg->kv_token_bytes;
}

static bool
is_worth_storing (struct kvcache *k, const struct job *j,
                  const struct store *st)
{
  struct keep_in in = { .tokens = SEGMENT_TOKENS };

  in.bytes = segment_bytes (j);
  in.prefill_tokens_s
      = cfg_endpoint (server_cfg (k->server), j->choice.endpoint)
            ->prefill_tokens_s;
  in.link_bytes_s = st->link.bytes_s;
  in.span_us = j->service_cfg->keep_span_s * CQ_US_PER_S;
  return keep_value_us (&k->return_stats[j->workspace->index], &in) > 0;
}

/* All segments of a prompt go to one store.  Its first segment determines the
   store, so that all VMs choose the same one. */
static struct store *
choose_store (struct kvcache *k, const struct job *j)
{
  uint64_t start = j->prefix_digests[DIR_SEGMENT_BLOCKS - 1];
  struct store *st;
  int i;

  for (i = 0; i < k->nstores; i++)
    {
      st = &k->stores[(start + (uint64_t)i) % (uint64_t)k->nstores];
      if (st->is_up)
        return st;
    }
  return NULL;
}

static bool
is_stored (struct kvcache *k, uint64_t digest, int store)
{
  const struct dir_entry *e = dir_find (k->dir, digest);
  int c;

  for (c = 0; e != NULL && c < DIR_COPIES; c++)
    if (e->copies[c].store == store)
      return true;
  return false;
}

/* Adds the segments that are not stored yet and queues their bytes on the
   link. The caller holds route_lock. */
static void
add_segments (struct kvcache *k, struct job *j, struct store *st,
              struct export_call *o, int64_t now_us)
{
  int64_t bytes = segment_bytes (j);
  int at;

  for (at = DIR_SEGMENT_BLOCKS; at <= j->nprefix_digests;
       at += DIR_SEGMENT_BLOCKS)
    {
      if (is_stored (k, j->prefix_digests[at - 1], st->index))
        continue;
      if (!link_admit (&st->link, LINK_EXPORT, bytes, EXPORT_QUEUE_MAX_US,
                       now_us))
        return;
      link_begin (&st->link, LINK_EXPORT, bytes);
      o->digests[o->n] = j->prefix_digests[at - 1];
      randombytes_buf (&o->write_ids[o->n], sizeof o->write_ids[o->n]);
      o->bytes += bytes;
      o->n++;
    }
}

static void
export_call_free (struct export_call *o)
{
  if (o->reply != NULL)
    g_string_free (o->reply, TRUE);
  g_free (o->digests);
  g_free (o->write_ids);
  g_free (o->body);
  g_free (o);
}

static enum xfer_body_result
append_reply (void *arg, int status, const char *data, size_t len)
{
  struct export_call *o = arg;

  (void)status;
  if (o->reply->len + len > EXPORT_REPLY_MAX_BYTES)
    return XFER_STOP;
  g_string_append_len (o->reply, data, (gssize)len);
  return XFER_CONTINUE;
}

/* Number of leading segments that the engine reports as sealed (complete). */
static int
sealed_count (const struct export_call *o, const struct xfer_end *end,
              int64_t *moving_us)
{
  json_t *doc = json_loadb (o->reply->str, o->reply->len, 0, NULL);
  int n = 0;

  if (end->complete && end->status == 200)
    {
      n = (int)json_integer_value (json_object_get (doc, "sealed"));
      *moving_us = json_integer_value (json_object_get (doc, "moving_us"));
    }
  json_decref (doc);
  return n < o->n ? n : o->n;
}

static void
on_exported (void *arg, const struct xfer_end *end)
{
  struct export_call *o = arg;
  struct server *s = o->server;
  struct kvcache *k = s->kvcache;
  struct store *st = &k->stores[o->store];
  int64_t now = loop_now_us ();
  int64_t moving_us = 0;
  int n = sealed_count (o, end, &moving_us);
  int i;

  g_mutex_lock (&s->route_lock);
  link_end (&st->link, LINK_EXPORT, o->bytes, n == o->n ? moving_us : 0);
  for (i = 0; i < n; i++)
    dir_add (k->dir, o->digests[i], o->store, o->write_ids[i], now);
  k->exported_bytes[o->workspace] += o->n > 0 ? o->bytes / o->n * n : 0;
  g_mutex_unlock (&s->route_lock);
  log_event (LOG_LEVEL_INFO, "export",
             "req=%s endpoint=%s store=%s segments=%d sealed=%d status=%d "
             "took_us=%" G_GINT64_FORMAT,
             o->id, cfg_endpoint (server_cfg (s), o->endpoint)->id,
             st->cfg->id, o->n, n, end->status, (gint64)(now - o->sent_us));
  export_call_free (o);
}

static char *
export_body (const struct export_call *o, const struct job *j,
             const struct store *st)
{
  json_t *list = json_array ();
  json_t *doc;
  char name[SEGMENT_NAME_SIZE] = "";
  char *text, *copy;
  int i;

  for (i = 0; i < o->n; i++)
    {
      segment_name (o->digests[i], o->write_ids[i], name);
      json_array_append_new (list, json_string (name));
    }
  doc = json_pack ("{s:s,s:s,s:I,s:o}", "store", st->cfg->address, "version",
                   j->service_cfg->version, "token_bytes",
                   (json_int_t)j->service_cfg->kv_token_bytes, "segments",
                   list);
  text = json_dumps (doc, JSON_COMPACT);
  copy = g_strdup (text);
  free (text);
  json_decref (doc);
  return copy;
}

static void
send_export (struct job *j, struct export_call *o, const struct store *st)
{
  static const struct xfer_events events
      = { .on_body = append_reply, .on_end = on_exported };
  static const char *const headers[]
      = { "Content-Type: application/json", NULL };
  struct endpoint_ops *ops = &j->worker->endpoints;
  struct call_opts c = { .path = "/kv/export", .may_repeat = true };

  o->body = export_body (o, j, st);
  o->reply = g_string_new (NULL);
  o->sent_us = loop_now_us ();
  c.address = cfg_endpoint (server_cfg (o->server), o->endpoint)->address;
  c.headers = headers;
  c.body = o->body;
  c.body_len = strlen (o->body);
  ops->call (ops->ctx, &c, &events, o);
}

static void
export_prompt (struct job *j, int64_t now_us)
{
  struct server *s = j->worker->server;
  struct kvcache *k = s->kvcache;
  struct export_call *o = g_new0 (struct export_call, 1);
  struct store *st;

  o->server = s;
  o->workspace = j->workspace->index;
  o->endpoint = j->choice.endpoint;
  g_strlcpy (o->id, j->id, sizeof o->id);
  o->digests = g_new0 (uint64_t, j->nprefix_digests);
  o->write_ids = g_new0 (uint64_t, j->nprefix_digests);
  g_mutex_lock (&s->route_lock);
  st = choose_store (k, j);
  if (st != NULL && is_worth_storing (k, j, st))
    {
      o->store = st->index;
      add_segments (k, j, st, o, now_us);
    }
  g_mutex_unlock (&s->route_lock);
  if (st != NULL && o->n > 0)
    send_export (j, o, st);
  else
    export_call_free (o);
}

static void
record_cached_tokens (struct job *j)
{
  struct server *s = j->worker->server;

  if (j->cached_tokens < 0)
    return;
  g_mutex_lock (&s->route_lock);
  pfx_remove_beyond (s->prefixes, j->prefix_digests, j->nprefix_digests,
                     j->choice.endpoint,
                     (int)(j->cached_tokens / BLOCK_TOKENS));
  /* The endpoint has computed the whole prompt by now. */
  pfx_record (s->prefixes, j->prefix_digests, j->nprefix_digests,
              j->choice.endpoint);
  g_mutex_unlock (&s->route_lock);
}

void
kvcache_on_completed (struct job *j)
{
  struct server *s = j->worker->server;
  int64_t now = loop_now_us ();

  record_cached_tokens (j);
  g_mutex_lock (&s->route_lock);
  record_return (s->kvcache, j, now);
  g_mutex_unlock (&s->route_lock);
  if (j->service_cfg->kv_token_bytes > 0 && s->kvcache->nstores > 0
      && j->nprefix_digests >= DIR_SEGMENT_BLOCKS)
    export_prompt (j, now);
}

/* --- eviction -------------------------------------------------------- */

/*
 * Returns the least recently used segment of the store.  The workspaces of
 * segments that another VM exported are unknown, so only age decides.  All VMs
 * see the same listing and therefore delete much the same segments, which
 * costs no more than repeated deletes.
 */
static struct dir_entry *
oldest_in_store (struct kvcache *k, int store)
{
  struct dir_entry *e;
  size_t i;
  int c;

  for (i = 0; (e = dir_oldest (k->dir, i)) != NULL && i < EVICT_SCAN_ENTRIES;
       i++)
    for (c = 0; c < DIR_COPIES; c++)
      if (e->copies[c].store == store)
        return e;
  return NULL;
}

static uint64_t
write_id_in_store (const struct dir_entry *e, int store)
{
  int c;

  for (c = 0; c < DIR_COPIES; c++)
    if (e->copies[c].store == store)
      return e->copies[c].write_id;
  return 0;
}

/* Removes the name from the directory first, so that no import of the segment
   starts while it is deleted. */
static bool
evict_segment (struct store *st)
{
  struct kvcache *k = st->kvcache;
  struct store_ops *ops = &k->worker->stores;
  struct dir_entry *e;
  uint64_t digest = 0;
  uint64_t write_id = 0;

  g_mutex_lock (&k->server->route_lock);
  e = oldest_in_store (k, st->index);
  if (e != NULL)
    {
      digest = e->digest;
      write_id = write_id_in_store (e, st->index);
      dir_remove (k->dir, digest, st->index, write_id);
    }
  g_mutex_unlock (&k->server->route_lock);
  if (e == NULL)
    return false;
  ops->drop (ops->ctx, st->cfg->address, digest, write_id);
  return true;
}

void
kvexport_evict (struct store *st, int64_t now_us)
{
  int64_t each;
  int n, dropped = 0;

  (void)now_us;
  if (st->capacity_bytes == 0
      || st->used_bytes * 100 < st->capacity_bytes * EVICT_ABOVE_PERCENT)
    return;
  n = (int)dir_count (st->kvcache->dir);
  each = n > 0 ? st->used_bytes / n : 0;
  if (each == 0)
    return;
  n = (int)(st->capacity_bytes * EVICT_PERCENT / 100 / each) + 1;
  while (dropped < n && evict_segment (st))
    dropped++;
  log_event (LOG_LEVEL_INFO, "make_room", "store=%s dropped=%d", st->cfg->id,
             dropped);
}
