/*
 * KV cache stores on this VM: the directory of stored segments, and imports.
 *
 * The directory is a hint, updated from the stores' listings and from this
 * VM's exports.  A wrong entry costs time only: the engine checks the name,
 * length and digest of each segment that it imports, and computes what it
 * cannot use.
 */
#include "libkvcache.h"

#include <string.h>

/* Failed listings in a row before a store counts as down. */
#define MISSED_LISTINGS_MAX 3
#define IMPORT_SETUP_US 2000   /* time before an import's first byte */
#define IMPORT_LIMIT_FACTOR 2  /* time limit of an import / its estimate */
#define IMPORT_LIMIT_MIN_MS 50 /* least time limit of an import */

/* --- listings -------------------------------------------------------- */

static void
apply_change (struct store *st, const struct store_change *c, int64_t now_us)
{
  struct kvcache *k = st->kvcache;

  if (c->sealed)
    dir_add (k->dir, c->digest, st->index, c->write_id, now_us);
  else
    dir_remove (k->dir, c->digest, st->index, c->write_id);
}

/* The store has a new incarnation, or this VM missed changes: its directory
   entries are removed and its listing is read again from the start. */
static bool
must_relist (const struct store *st, const struct store_listing *l)
{
  return strcmp (st->incarnation, l->incarnation) != 0
         || l->first > st->next_change;
}

static void
apply_listing (struct store *st, const struct store_listing *l, int64_t now_us)
{
  struct server *s = st->kvcache->server;
  int i;

  g_mutex_lock (&s->route_lock);
  if (must_relist (st, l))
    {
      dir_remove_store (st->kvcache->dir, st->index);
      g_strlcpy (st->incarnation, l->incarnation, sizeof st->incarnation);
      st->next_change = 0;
      log_event (LOG_LEVEL_INFO, "store", "store=%s incarnation=%s restart=1",
                 st->cfg->id, l->incarnation);
    }
  if (l->first <= st->next_change)
    {
      for (i = 0; i < l->nchanges; i++)
        apply_change (st, &l->changes[i], now_us);
      st->next_change = l->next;
    }
  st->used_bytes = l->used;
  st->capacity_bytes = l->capacity;
  g_mutex_unlock (&s->route_lock);
}

static void
on_listing (void *arg, bool reached, const struct store_listing *l)
{
  struct store *st = arg;
  struct server *s = st->kvcache->server;
  int64_t now = loop_now_us ();

  st->listing_pending = false;
  st->next_listing_us = now + cfg_vm (server_cfg (s))->poll_ms * CQ_US_PER_MS;
  if (reached)
    {
      st->missed_listings = 0;
      st->is_up = true;
      apply_listing (st, l, now);
      kvexport_evict (st, now);
      return;
    }
  if (++st->missed_listings == MISSED_LISTINGS_MAX)
    {
      st->is_up = false;
      log_event (LOG_LEVEL_WARNING, "store", "store=%s silent=1", st->cfg->id);
    }
}

static void
on_timer (void *arg, int64_t now_us)
{
  struct kvcache *k = arg;
  struct store_ops *ops = &k->worker->stores;
  struct store *st;
  int i;

  for (i = 0; i < k->nstores; i++)
    {
      st = &k->stores[i];
      if (st->listing_pending || st->next_listing_us > now_us
          || st->cfg->removed)
        continue;
      st->listing_pending = true;
      ops->list (ops->ctx, st->cfg->address, st->next_change, on_listing, st);
    }
  loop_arm (k->worker->loop, &k->timer,
            now_us
                + cfg_vm (server_cfg (k->server))->poll_ms * CQ_US_PER_MS / 4);
}

/* --- imports --------------------------------------------------------- */

int
kvcache_find_sources (struct kvcache *k, struct job *j, int64_t now_us,
                      struct plan_source *sources, int max)
{
  int64_t token_bytes = j->service_cfg->kv_token_bytes;
  struct store *st;
  int n = 0;
  int depth, i;

  if (token_bytes == 0)
    return 0;
  for (i = 0; i < k->nstores && n < max; i++)
    {
      st = &k->stores[i];
      depth = st->is_up ? dir_depth (k->dir, j->prefix_digests,
                                     j->nprefix_digests, i)
                        : 0;
      if (depth == 0)
        continue;
      sources[n].store = i;
      sources[n].tokens = (int64_t)depth * BLOCK_TOKENS;
      sources[n].wait_us = link_wait_us (&st->link, LINK_IMPORT, now_us);
      sources[n].setup_us = IMPORT_SETUP_US;
      sources[n].tokens_s = st->link.bytes_s / token_bytes;
      n++;
    }
  return n;
}

static int64_t
import_bytes (const struct job *j)
{
  return j->choice.import_tokens * j->service_cfg->kv_token_bytes;
}

void
kvcache_import_begin (struct kvcache *k, struct job *j, int64_t now_us)
{
  struct store *st;

  if (j->choice.store < 0)
    return;
  st = &k->stores[j->choice.store];
  j->importing = true;
  j->import_wait_us = link_wait_us (&st->link, LINK_IMPORT, now_us);
  link_begin (&st->link, LINK_IMPORT, import_bytes (j));
}

/* Ends the import when it has finished or will not take place. */
void
kvcache_import_end (struct job *j, int64_t cached_tokens)
{
  struct server *s = j->worker->server;
  struct store *st;
  int64_t now = loop_now_us ();
  int64_t wanted = j->choice.cached_tokens + j->choice.import_tokens;

  if (!j->importing)
    return;
  j->importing = false;
  st = &s->kvcache->stores[j->choice.store];
  g_mutex_lock (&s->route_lock);
  link_end (&st->link, LINK_IMPORT, import_bytes (j), 0);
  if (cached_tokens >= wanted)
    link_add_wait (&st->link, j->choice.import_us, now - j->attempt_started_us,
                   now);
  g_mutex_unlock (&s->route_lock);
  if (cached_tokens >= 0)
    job_log (j, "import",
             "store=%s wanted_tokens=%" G_GINT64_FORMAT
             " found_tokens=%" G_GINT64_FORMAT " took_us=%" G_GINT64_FORMAT,
             st->cfg->id, (gint64)wanted, (gint64)cached_tokens,
             (gint64)(now - j->attempt_started_us));
}

static void
add_segment (json_t *names, struct kvcache *k, uint64_t digest, int store)
{
  const struct dir_entry *e = dir_find (k->dir, digest);
  char name[SEGMENT_NAME_SIZE];
  int c;

  for (c = 0; e != NULL && c < DIR_COPIES; c++)
    if (e->copies[c].store == store)
      {
        segment_name (digest, e->copies[c].write_id, name);
        json_array_append_new (names, json_string (name));
        return;
      }
  /* Removed since the plan was chosen: an empty name ends the import there. */
  json_array_append_new (names, json_string (""));
}

/*
 * Returns the import instruction that is sent with the request, or NULL.  Past
 * its time limit recomputing is cheaper, so the engine then computes the rest
 * even if the transfer has not finished.  The caller owns the result.
 */
json_t *
kvcache_import_order (struct job *j)
{
  struct server *s = j->worker->server;
  int64_t to = j->choice.cached_tokens + j->choice.import_tokens;
  int64_t limit_ms = j->choice.import_us * IMPORT_LIMIT_FACTOR / 1000;
  json_t *names;
  int at;

  if (j->choice.store < 0)
    return NULL;
  if (limit_ms < IMPORT_LIMIT_MIN_MS)
    limit_ms = IMPORT_LIMIT_MIN_MS;
  names = json_array ();
  g_mutex_lock (&s->route_lock);
  for (at = DIR_SEGMENT_BLOCKS; (int64_t)at * BLOCK_TOKENS <= to;
       at += DIR_SEGMENT_BLOCKS)
    add_segment (names, s->kvcache, j->prefix_digests[at - 1],
                 j->choice.store);
  g_mutex_unlock (&s->route_lock);
  return json_pack ("{s:s,s:I,s:o}", "store",
                    s->kvcache->stores[j->choice.store].cfg->address,
                    "limit_ms", (json_int_t)limit_ms, "segments", names);
}

/* --- operators ------------------------------------------------------- */

json_t *
kvcache_list_stores (struct server *s)
{
  json_t *list = json_array ();
  const struct store *st;
  int i;

  g_mutex_lock (&s->route_lock);
  for (i = 0; i < s->kvcache->nstores; i++)
    {
      st = &s->kvcache->stores[i];
      json_array_append_new (
          list,
          json_pack ("{s:s,s:s,s:b,s:I,s:I,s:I,s:I,s:I}", "name", st->cfg->id,
                     "domain", st->cfg->domain, "up", st->is_up, "used_bytes",
                     (json_int_t)st->used_bytes, "capacity_bytes",
                     (json_int_t)st->capacity_bytes, "link_bytes_s",
                     (json_int_t)st->link.bytes_s, "imports_waiting_bytes",
                     (json_int_t)st->link.queued_bytes[LINK_IMPORT],
                     "exports_waiting_bytes",
                     (json_int_t)st->link.queued_bytes[LINK_EXPORT]));
    }
  g_mutex_unlock (&s->route_lock);
  return list;
}

/* --- lifecycle ------------------------------------------------------- */

struct kvcache *
kvcache_new (struct server *s, struct cfg *cfg)
{
  struct kvcache *k = g_new0 (struct kvcache, 1);
  const struct cfg_vm *vm = cfg_vm (cfg);

  k->server = s;
  k->stores = g_new0 (struct store, s->max_stores);
  k->dir = dir_new ((size_t)vm->kept_entries);
  k->seen_prompts = dir_new ((size_t)vm->kept_entries);
  k->return_stats = g_new0 (struct keep, s->max_workspaces);
  k->exported_bytes = g_new0 (int64_t, s->max_workspaces);
  return k;
}

/* Applies the stores of CFG.  The caller holds route_lock. */
void
kvcache_apply_cfg (struct kvcache *k, struct cfg *cfg)
{
  struct store *st;
  int i;

  for (i = 0; i < cfg_count (cfg, CFG_STORE); i++)
    {
      st = &k->stores[i];
      if (st->cfg == NULL)
        link_init (&st->link, cfg_store (cfg, i)->link_mb_s * 1000000, 0);
      st->kvcache = k;
      st->index = i;
      st->cfg = cfg_store (cfg, i);
      if (st->cfg->removed)
        st->is_up = false;
    }
  k->nstores = cfg_count (cfg, CFG_STORE);
}

void
kvcache_start (struct kvcache *k, struct worker *w)
{
  k->worker = w;
  k->timer.fire = on_timer;
  k->timer.arg = k;
  loop_arm (w->loop, &k->timer, loop_now_us ());
}

/* Stops requesting listings. */
void
kvcache_stop (struct kvcache *k)
{
  loop_disarm (&k->timer);
}

void
kvcache_free (struct kvcache *k)
{
  loop_disarm (&k->timer);
  dir_free (k->dir);
  dir_free (k->seen_prompts);
  g_free (k->stores);
  g_free (k->return_stats);
  g_free (k->exported_bytes);
  g_free (k);
}
