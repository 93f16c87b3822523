/*
 * Kept work on this VM: the directory of what the stores hold, and imports.
 *
 * The directory is a hint, fed by the stores' listings and by our own
 * exports.  A wrong entry costs time only: the engine checks name, length and
 * digest of what it imports, and computes what it cannot use.
 */
#include "libkept.h"

#include <string.h>

#define LIST_TIMEOUT_MISSES                                                   \
  3                        /* listings missed before a store counts as down */
#define SETUP_US 2000      /* before the first byte of an import moves */
#define IMPORT_SLACK 2     /* an import may take so many times its estimate */
#define IMPORT_FLOOR_MS 50 /* and always this long */

/* --- listings -------------------------------------------------------- */

static void
take_change (struct store *st, const struct store_change *c, int64_t now_us)
{
  struct kept *k = st->kept;

  if (c->sealed)
    dir_add (k->dir, c->digest, st->index, c->write_id, now_us);
  else
    dir_remove (k->dir, c->digest, st->index, c->write_id);
}

/* Another life of the store, or changes that were missed: what was believed
   of it is dropped, and its listing read from the start. */
static bool
must_start_over (const struct store *st, const struct store_listing *l)
{
  return strcmp (st->incarnation, l->incarnation) != 0
         || l->first > st->next_change;
}

static void
take_listing (struct store *st, const struct store_listing *l, int64_t now_us)
{
  struct server *s = st->kept->server;
  int i;

  g_mutex_lock (&s->route_lock);
  if (must_start_over (st, l))
    {
      dir_forget_store (st->kept->dir, st->index);
      g_strlcpy (st->incarnation, l->incarnation, sizeof st->incarnation);
      st->next_change = 0;
      log_event (LOG_LEVEL_INFO, "store", "store=%s incarnation=%s restart=1",
                 st->cfg->id, l->incarnation);
    }
  if (l->first <= st->next_change)
    {
      for (i = 0; i < l->nchanges; i++)
        take_change (st, &l->changes[i], now_us);
      st->next_change = l->next;
    }
  st->used = l->used;
  st->capacity = l->capacity;
  g_mutex_unlock (&s->route_lock);
}

static void
on_listing (void *arg, bool reached, const struct store_listing *l)
{
  struct store *st = arg;
  struct server *s = st->kept->server;
  int64_t now = loop_now_us ();

  st->asked = false;
  st->next_us = now + cfg_vm (server_cfg (s))->poll_ms * CQ_US_PER_MS;
  if (reached)
    {
      st->missed = 0;
      st->up = true;
      take_listing (st, l, now);
      export_make_room (st, now);
      return;
    }
  if (++st->missed == LIST_TIMEOUT_MISSES)
    {
      st->up = false;
      log_event (LOG_LEVEL_WARNING, "store", "store=%s silent=1", st->cfg->id);
    }
}

static void
on_timer (void *arg, int64_t now_us)
{
  struct kept *k = arg;
  struct store_ops *ops = &k->worker->stores;
  struct store *st;
  int i;

  for (i = 0; i < k->n; i++)
    {
      st = &k->stores[i];
      if (st->asked || st->next_us > now_us || st->cfg->removed)
        continue;
      st->asked = true;
      ops->list (ops->ctx, st->cfg->address, st->next_change, on_listing, st);
    }
  loop_arm (k->worker->loop, &k->timer,
            now_us
                + cfg_vm (server_cfg (k->server))->poll_ms * CQ_US_PER_MS / 4);
}

/* --- imports --------------------------------------------------------- */

int
kept_sources (struct kept *k, struct job *j, int64_t now_us,
              struct plan_source *sources, int max)
{
  int64_t token_bytes = j->service_cfg->kv_token_bytes;
  struct store *st;
  int n = 0;
  int depth, i;

  if (token_bytes == 0)
    return 0;
  for (i = 0; i < k->n && n < max; i++)
    {
      st = &k->stores[i];
      depth = st->up ? dir_depth (k->dir, j->prefix_digests,
                                  j->nprefix_digests, i)
                     : 0;
      if (depth == 0)
        continue;
      sources[n].store = i;
      sources[n].tokens = (int64_t)depth * BLOCK_TOKENS;
      sources[n].wait_us = link_wait_us (&st->link, LINK_IMPORT, now_us);
      sources[n].setup_us = SETUP_US;
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
kept_import_begin (struct kept *k, struct job *j, int64_t now_us)
{
  struct store *st;

  if (j->choice.store < 0)
    return;
  st = &k->stores[j->choice.store];
  j->importing = true;
  j->import_wait_us = link_wait_us (&st->link, LINK_IMPORT, now_us);
  link_begin (&st->link, LINK_IMPORT, import_bytes (j));
}

/* The import is over, or will not happen. */
void
kept_import_end (struct job *j, int64_t cached_tokens)
{
  struct server *s = j->worker->server;
  struct store *st;
  int64_t now = loop_now_us ();
  int64_t wanted = j->choice.cached_tokens + j->choice.import_tokens;

  if (!j->importing)
    return;
  j->importing = false;
  st = &s->kept->stores[j->choice.store];
  g_mutex_lock (&s->route_lock);
  link_end (&st->link, LINK_IMPORT, import_bytes (j), 0);
  if (cached_tokens >= wanted)
    link_waited (&st->link, j->choice.import_us, now - j->attempt_started_us,
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
add_segment (json_t *names, struct kept *k, uint64_t digest, int store)
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
  /* Forgotten since the choice: an empty name ends the import there. */
  json_array_append_new (names, json_string (""));
}

/*
 * The order that goes with the request.  Its time limit is where recomputing
 * becomes cheaper: past it the engine computes, whatever the link does.
 */
json_t *
kept_import_order (struct job *j)
{
  struct server *s = j->worker->server;
  int64_t to = j->choice.cached_tokens + j->choice.import_tokens;
  int64_t limit_ms = j->choice.import_us * IMPORT_SLACK / 1000;
  json_t *names;
  int at;

  if (j->choice.store < 0)
    return NULL;
  if (limit_ms < IMPORT_FLOOR_MS)
    limit_ms = IMPORT_FLOOR_MS;
  names = json_array ();
  g_mutex_lock (&s->route_lock);
  for (at = DIR_SEGMENT_BLOCKS; (int64_t)at * BLOCK_TOKENS <= to;
       at += DIR_SEGMENT_BLOCKS)
    add_segment (names, s->kept, j->prefix_digests[at - 1], j->choice.store);
  g_mutex_unlock (&s->route_lock);
  return json_pack ("{s:s,s:I,s:o}", "store",
                    s->kept->stores[j->choice.store].cfg->address, "limit_ms",
                    (json_int_t)limit_ms, "segments", names);
}

/* --- operators ------------------------------------------------------- */

json_t *
kept_list (struct server *s)
{
  json_t *list = json_array ();
  const struct store *st;
  int i;

  g_mutex_lock (&s->route_lock);
  for (i = 0; i < s->kept->n; i++)
    {
      st = &s->kept->stores[i];
      json_array_append_new (
          list,
          json_pack ("{s:s,s:s,s:b,s:I,s:I,s:I,s:I,s:I}", "name", st->cfg->id,
                     "domain", st->cfg->domain, "up", st->up, "used_bytes",
                     (json_int_t)st->used, "capacity_bytes",
                     (json_int_t)st->capacity, "link_bytes_s",
                     (json_int_t)st->link.bytes_s, "imports_waiting_bytes",
                     (json_int_t)st->link.queued[LINK_IMPORT],
                     "exports_waiting_bytes",
                     (json_int_t)st->link.queued[LINK_EXPORT]));
    }
  g_mutex_unlock (&s->route_lock);
  return list;
}

/* --- life ------------------------------------------------------------ */

struct kept *
kept_new (struct server *s, struct cfg *cfg)
{
  struct kept *k = g_new0 (struct kept, 1);
  const struct cfg_vm *vm = cfg_vm (cfg);

  k->server = s;
  k->stores = g_new0 (struct store, s->max_stores);
  k->dir = dir_new ((size_t)vm->kept_entries);
  k->seen = dir_new ((size_t)vm->kept_entries);
  k->keeps = g_new0 (struct keep, s->max_workspaces);
  k->bytes = g_new0 (int64_t, s->max_workspaces);
  return k;
}

/* Under route_lock: take in the stores of CFG. */
void
kept_adopt (struct kept *k, struct cfg *cfg)
{
  struct store *st;
  int i;

  for (i = 0; i < cfg_count (cfg, CFG_STORE); i++)
    {
      st = &k->stores[i];
      if (st->cfg == NULL)
        link_init (&st->link, cfg_store (cfg, i)->link_mb_s * 1000000, 0);
      st->kept = k;
      st->index = i;
      st->cfg = cfg_store (cfg, i);
      if (st->cfg->removed)
        st->up = false;
    }
  k->n = cfg_count (cfg, CFG_STORE);
}

void
kept_start (struct kept *k, struct worker *w)
{
  k->worker = w;
  k->timer.fire = on_timer;
  k->timer.arg = k;
  loop_arm (w->loop, &k->timer, loop_now_us ());
}

/* Ask for no more listings. */
void
kept_stop (struct kept *k)
{
  loop_disarm (&k->timer);
}

void
kept_free (struct kept *k)
{
  loop_disarm (&k->timer);
  dir_free (k->dir);
  dir_free (k->seen);
  g_free (k->stores);
  g_free (k->keeps);
  g_free (k->bytes);
  g_free (k);
}
