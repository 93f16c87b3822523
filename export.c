/*
 * Keeping work: after an answer, the segments of its prompt that are worth
 * their bytes are exported to a store, as far as its link has time that no
 * caller waits for; a store that is nearly full loses what is worth least.
 */
#include "libkept.h"

#include <sodium.h>
#include <string.h>

#define EXPORT_BUDGET_US (2 * CQ_US_PER_S) /* link time that may be queued */
#define FULL_PERCENT 95                    /* from here on room is made */
#define ROOM_PERCENT 2                     /* so much at a time */
#define LOOK_AT 1024UL /* entries looked at for one in a store */
#define ORDER_MAX_BYTES 65536

/* An export order under way. */
struct order
{
  struct server *server; /* whose */
  int store;             /* target */
  int endpoint;          /* that exports */
  int workspace;         /* whose work */
  int n;                 /* segments */
  uint64_t *digests;     /* of each */
  uint64_t *write_ids;   /* of each */
  int64_t bytes;         /* of all */
  int64_t sent_us;       /* when it was sent */
  char *body;            /* as sent */
  GString *reply;        /* as received */
  char id[ID_SIZE];      /* request that made the work */
};

/* --- learning -------------------------------------------------------- */

/*
 * The gap since the prompt, or the one it continues, was last here: the
 * deepest of its segments that once ended a prompt tells.
 */
static void
learn_return (struct kept *k, struct job *j, int64_t now_us)
{
  struct keep *keep = &k->keeps[j->workspace->index];
  int last = j->ndigests / DIR_SEGMENT_BLOCKS * DIR_SEGMENT_BLOCKS;
  struct dir_entry *e = NULL;
  int at;

  for (at = last; at > 0 && e == NULL; at -= DIR_SEGMENT_BLOCKS)
    e = dir_find (k->seen, j->digests[at - 1]);
  if (e != NULL)
    keep_returned (keep, now_us - e->used_us);
  keep_used (keep);
  if (last == 0)
    return;
  e = dir_add (k->seen, j->digests[last - 1], 0, 0, now_us);
  dir_touch (k->seen, e, now_us);
}

/* --- export ---------------------------------------------------------- */

static int64_t
segment_bytes (const struct job *j)
{
  return SEGMENT_TOKENS * j->sc->kv_token_bytes;
}

static bool
worth_keeping (struct kept *k, const struct job *j, const struct store *st)
{
  struct keep_in in = { .tokens = SEGMENT_TOKENS };

  in.bytes = segment_bytes (j);
  in.prefill_tokens_s
      = cfg_endpoint (server_cfg (k->server), j->choice.endpoint)
            ->prefill_tokens_s;
  in.link_bytes_s = st->link.bytes_s;
  in.span_us = j->sc->keep_span_s * CQ_US_PER_S;
  return keep_worth (&k->keeps[j->workspace->index], &in) > 0;
}

/* The whole prompt goes to one store: by its first segment, so that all VMs
   choose alike. */
static struct store *
home_store (struct kept *k, const struct job *j)
{
  uint64_t start = j->digests[DIR_SEGMENT_BLOCKS - 1];
  struct store *st;
  int i;

  for (i = 0; i < k->n; i++)
    {
      st = &k->stores[(start + (uint64_t)i) % (uint64_t)k->n];
      if (st->up)
        return st;
    }
  return NULL;
}

static bool
stored (struct kept *k, uint64_t digest, int store)
{
  const struct dir_entry *e = dir_find (k->dir, digest);
  int c;

  for (c = 0; e != NULL && c < DIR_COPIES; c++)
    if (e->copies[c].store == store)
      return true;
  return false;
}

/* Segments worth exporting, under route_lock; their bytes are queued. */
static void
collect (struct kept *k, struct job *j, struct store *st, struct order *o,
         int64_t now_us)
{
  int64_t bytes = segment_bytes (j);
  int at;

  for (at = DIR_SEGMENT_BLOCKS; at <= j->ndigests; at += DIR_SEGMENT_BLOCKS)
    {
      if (stored (k, j->digests[at - 1], st->index))
        continue;
      if (!link_admit (&st->link, LINK_EXPORT, bytes, EXPORT_BUDGET_US,
                       now_us))
        return;
      link_begin (&st->link, LINK_EXPORT, bytes);
      o->digests[o->n] = j->digests[at - 1];
      randombytes_buf (&o->write_ids[o->n], sizeof o->write_ids[o->n]);
      o->bytes += bytes;
      o->n++;
    }
}

static void
order_free (struct order *o)
{
  if (o->reply != NULL)
    g_string_free (o->reply, TRUE);
  g_free (o->digests);
  g_free (o->write_ids);
  g_free (o->body);
  g_free (o);
}

static enum xfer_body_result
take_reply (void *arg, int status, const char *data, size_t len)
{
  struct order *o = arg;

  (void)status;
  if (o->reply->len + len > ORDER_MAX_BYTES)
    return XFER_STOP;
  g_string_append_len (o->reply, data, (gssize)len);
  return XFER_CONTINUE;
}

/* Segments that the engine says were sealed, from the first one on. */
static int
sealed_count (const struct order *o, const struct xfer_end *end,
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
  struct order *o = arg;
  struct server *s = o->server;
  struct kept *k = s->kept;
  struct store *st = &k->stores[o->store];
  int64_t now = loop_now_us ();
  int64_t moving_us = 0;
  int n = sealed_count (o, end, &moving_us);
  int i;

  g_mutex_lock (&s->route_lock);
  link_end (&st->link, LINK_EXPORT, o->bytes, n == o->n ? moving_us : 0);
  for (i = 0; i < n; i++)
    dir_add (k->dir, o->digests[i], o->store, o->write_ids[i], now);
  k->bytes[o->workspace] += o->n > 0 ? o->bytes / o->n * n : 0;
  g_mutex_unlock (&s->route_lock);
  log_event (LOG_LEVEL_INFO, "export",
             "req=%s endpoint=%s store=%s segments=%d sealed=%d status=%d "
             "took_us=%" G_GINT64_FORMAT,
             o->id, cfg_endpoint (server_cfg (s), o->endpoint)->id,
             st->cfg->id, o->n, n, end->status, (gint64)(now - o->sent_us));
  order_free (o);
}

static char *
order_text (const struct order *o, const struct job *j, const struct store *st)
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
                   j->sc->version, "token_bytes",
                   (json_int_t)j->sc->kv_token_bytes, "segments", list);
  text = json_dumps (doc, JSON_COMPACT);
  copy = g_strdup (text);
  free (text);
  json_decref (doc);
  return copy;
}

static void
send_order (struct job *j, struct order *o, const struct store *st)
{
  static const struct xfer_events events
      = { .on_body = take_reply, .on_end = on_exported };
  static const char *const headers[]
      = { "Content-Type: application/json", NULL };
  struct endpoint_ops *ops = &j->worker->endpoints;
  struct call_opts c = { .path = "/kv/export", .may_repeat = true };

  o->body = order_text (o, j, st);
  o->reply = g_string_new (NULL);
  o->sent_us = loop_now_us ();
  c.address = cfg_endpoint (server_cfg (o->server), o->endpoint)->address;
  c.headers = headers;
  c.body = o->body;
  c.body_len = strlen (o->body);
  ops->call (ops->ctx, &c, &events, o);
}

static void
keep_work (struct job *j, int64_t now_us)
{
  struct server *s = j->worker->server;
  struct kept *k = s->kept;
  struct order *o = g_new0 (struct order, 1);
  struct store *st;

  o->server = s;
  o->workspace = j->workspace->index;
  o->endpoint = j->choice.endpoint;
  g_strlcpy (o->id, j->id, sizeof o->id);
  o->digests = g_new0 (uint64_t, j->ndigests);
  o->write_ids = g_new0 (uint64_t, j->ndigests);
  g_mutex_lock (&s->route_lock);
  st = home_store (k, j);
  if (st != NULL && worth_keeping (k, j, st))
    {
      o->store = st->index;
      collect (k, j, st, o, now_us);
    }
  g_mutex_unlock (&s->route_lock);
  if (st != NULL && o->n > 0)
    send_order (j, o, st);
  else
    order_free (o);
}

static void
note_cached (struct job *j)
{
  struct server *s = j->worker->server;

  if (j->cached_tokens < 0)
    return;
  g_mutex_lock (&s->route_lock);
  pfx_counted (s->prefixes, j->digests, j->ndigests, j->choice.endpoint,
               (int)(j->cached_tokens / BLOCK_TOKENS));
  /* It has computed the whole prompt by now. */
  pfx_learn (s->prefixes, j->digests, j->ndigests, j->choice.endpoint);
  g_mutex_unlock (&s->route_lock);
}

void
kept_answered (struct job *j)
{
  struct server *s = j->worker->server;
  int64_t now = loop_now_us ();

  note_cached (j);
  g_mutex_lock (&s->route_lock);
  learn_return (s->kept, j, now);
  g_mutex_unlock (&s->route_lock);
  if (j->sc->kv_token_bytes > 0 && s->kept->n > 0
      && j->ndigests >= DIR_SEGMENT_BLOCKS)
    keep_work (j, now);
}

/* --- making room ----------------------------------------------------- */

/*
 * Least worth among the oldest of a store's segments.  Without knowing whose
 * they are (another VM's exports), age decides; all VMs see the same listing
 * and so drop much the same, which wastes nothing but a repeated delete.
 */
static struct dir_entry *
oldest_in (struct kept *k, int store)
{
  struct dir_entry *e;
  size_t i;
  int c;

  for (i = 0; (e = dir_oldest (k->dir, i)) != NULL && i < LOOK_AT; i++)
    for (c = 0; c < DIR_COPIES; c++)
      if (e->copies[c].store == store)
        return e;
  return NULL;
}

static uint64_t
write_id_in (const struct dir_entry *e, int store)
{
  int c;

  for (c = 0; c < DIR_COPIES; c++)
    if (e->copies[c].store == store)
      return e->copies[c].write_id;
  return 0;
}

/* Forget the name first: nobody starts to read it while it is deleted. */
static bool
drop_one (struct store *st)
{
  struct kept *k = st->kept;
  struct store_ops *ops = &k->worker->stores;
  struct dir_entry *e;
  uint64_t digest = 0;
  uint64_t write_id = 0;

  g_mutex_lock (&k->server->route_lock);
  e = oldest_in (k, st->index);
  if (e != NULL)
    {
      digest = e->digest;
      write_id = write_id_in (e, st->index);
      dir_remove (k->dir, digest, st->index, write_id);
    }
  g_mutex_unlock (&k->server->route_lock);
  if (e == NULL)
    return false;
  ops->drop (ops->ctx, st->cfg->address, digest, write_id);
  return true;
}

void
export_make_room (struct store *st, int64_t now_us)
{
  int64_t each;
  int n, dropped = 0;

  (void)now_us;
  if (st->capacity == 0 || st->used * 100 < st->capacity * FULL_PERCENT)
    return;
  n = (int)dir_count (st->kept->dir);
  each = n > 0 ? st->used / n : 0;
  if (each == 0)
    return;
  n = (int)(st->capacity * ROOM_PERCENT / 100 / each) + 1;
  while (dropped < n && drop_one (st))
    dropped++;
  log_event (LOG_LEVEL_INFO, "make_room", "store=%s dropped=%d", st->cfg->id,
             dropped);
}
