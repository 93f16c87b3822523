/* Which parts of prompts are kept whole in which store. */
#include "parts.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "decide.h"

/*
 * A fetch is ordered only by knowledge of weights that is at most this old.
 * Long polls renew it every 1.3 s; one that is late by as much again still
 * counts.
 */
#define FETCH_FRESH_US (2500 * CQ_US_PER_MS)
/* Parts of weights that are outdated are still fetched for this long: while
   weights change, most endpoints have the old ones. */
#define FETCH_OLD_US (5 * CQ_US_PER_S)
/* A fetch is void after what the request may wait and this time, or this long
   at the most: reading most parts anew takes less, and a store that has
   turned slow would hold the answer up. */
#define FETCH_TIME_MS 250
#define FETCH_VOID_MS 1000
/* Nobody fetches parts of old weights later than this after newer ones were
   named, plus what clocks and calls may add. */
#define FREE_AFTER_US                                                         \
  (FETCH_OLD_US + FETCH_VOID_MS * CQ_US_PER_MS + 700 * CQ_US_PER_MS)
/* A store that has not answered for so long is left alone: its polls are up
   to six seconds apart where many VMs share it. */
#define STORE_DEAD_US (8 * CQ_US_PER_S)
/*
 * A store that restarts is empty, and does not refuse a fetch of a part that
 * is just being saved again: the request would read half of it.  A VM that has
 * not heard of the restart believes the part to be whole.  So a fetch needs
 * knowledge of the store that is at most this old, and whoever hears of a new
 * life saves nothing there until older knowledge has ended everywhere, with
 * the fetches that it began and what clocks and calls may add.
 */
#define KNOWN_MAX_US (5 * CQ_US_PER_S)
#define SETTLE_US                                                             \
  (KNOWN_MAX_US + FETCH_VOID_MS * CQ_US_PER_MS + 700 * CQ_US_PER_MS)
/*
 * A VM that has not heard of the restart may itself have a part saved again
 * that others still fetch.  So a save needs knowledge of the store that is at
 * most this old: a store that restarts is away for two seconds and more.  One
 * that is back sooner is not covered.
 */
#define SAVE_KNOWN_US (1500 * CQ_US_PER_MS)
/* A save that does not show after this time was lost, and is asked again. */
#define SAVE_AGAIN_US (3 * CQ_US_PER_S)
/* A transfer costs some ms at a store; prompts that share fewer tokens are
   read in that time. */
#define MIN_TOKENS 64
/* Parts up to this length are small: some ms of transfer. */
#define SMALL_TOKENS 2048
/* Share of a store that is filled: what is being written is not known yet. */
#define FILL_PERCENT 95

/* --- names ----------------------------------------------------------- */

void
parts_scope (char *to, const char *model, int64_t version, const char *owner)
{
  g_snprintf (to, PARTS_SCOPE_SIZE, "%s.v%" G_GINT64_FORMAT "%s%s", model,
              (gint64)version, owner != NULL ? "." : "",
              owner != NULL ? owner : "");
}

/* Version in a scope of MODEL, or -1. */
static int64_t
scope_version (const char *scope, const char *model)
{
  size_t n = strlen (model);

  if (strncmp (scope, model, n) != 0 || strncmp (scope + n, ".v", 2) != 0)
    return -1;
  return g_ascii_strtoll (scope + n + 2, NULL, 10);
}

static uint64_t
key_of (const char *scope, const char *id)
{
  return XXH3_64bits_withSeed (id, strlen (id),
                               XXH3_64bits (scope, strlen (scope)));
}

static uint64_t *
copy_key (uint64_t key)
{
  uint64_t *k = g_new (uint64_t, 1);

  *k = key;
  return k;
}

/* --- stores ---------------------------------------------------------- */

void
parts_init (struct parts *p)
{
  APR_RING_INIT (&p->stores, parts_store, link);
  p->min_tokens = MIN_TOKENS;
}

static void
store_free (struct parts_store *s)
{
  APR_RING_REMOVE (s, link);
  g_hash_table_destroy (s->held);
  g_hash_table_destroy (s->saving);
  g_free (s);
}

void
parts_clear (struct parts *p)
{
  while (!APR_RING_EMPTY (&p->stores, parts_store, link))
    store_free (APR_RING_FIRST (&p->stores));
}

struct parts_store *
parts_find_store (struct parts *p, const char *address)
{
  struct parts_store *s;

  APR_RING_FOREACH (s, &p->stores, parts_store, link)
  {
    if (strcmp (s->address, address) == 0)
      return s;
  }
  return NULL;
}

static void
take_store (struct parts *p, const struct fleet_service *sv)
{
  struct parts_store *s = parts_find_store (p, sv->store_address);

  if (s == NULL)
    {
      s = g_new0 (struct parts_store, 1);
      g_strlcpy (s->address, sv->store_address, sizeof s->address);
      s->held = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                       g_free);
      s->saving = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                         g_free);
      s->close = true;
      APR_RING_ELEM_INIT (s, link);
      APR_RING_INSERT_TAIL (&p->stores, s, parts_store, link);
    }
  if (sv->domain != NULL)
    g_strlcpy (s->domain, sv->domain, sizeof s->domain);
  s->capacity = sv->kv_capacity_tokens;
  s->link_mbit_s = sv->link_mbit_s;
  s->calls_max = sv->calls_max;
  s->first_us = sv->transfer_latency_us;
  s->listed = true;
}

/* A store that is listed no more is kept but not used, since a call to it may
   be under way. */
void
parts_take_conf (struct parts *p, const struct fleet_conf *c)
{
  struct parts_store *s;
  struct fleet_service *sv;
  GHashTableIter it;

  APR_RING_FOREACH (s, &p->stores, parts_store, link) s->listed = false;
  g_hash_table_iter_init (&it, c->services);
  p->token_bytes = 0;
  while (g_hash_table_iter_next (&it, NULL, (gpointer *)&sv))
    {
      p->token_bytes = MAX (p->token_bytes, sv->kv_token_bytes);
      if (sv->store_address != NULL)
        take_store (p, sv);
    }
}

void
parts_heard (struct parts_store *s, int64_t clock_ms, int64_t now_us)
{
  s->heard_us = now_us;
  if (clock_ms <= 0)
    return;
  s->clock_ms = clock_ms;
  s->clock_us = now_us;
}

void
parts_lost (struct parts_store *s)
{
  s->heard_us = 0;
}

int64_t
parts_clock_ms (const struct parts_store *s, int64_t now_us)
{
  return s->clock_ms + (now_us - s->clock_us) / CQ_US_PER_MS;
}

void
parts_known (struct parts_store *s, int64_t at_us)
{
  s->known_us = at_us;
}

void
parts_forget (struct parts_store *s, int64_t epoch, int64_t next,
              int64_t now_us)
{
  if (epoch != 0 && epoch != s->last_epoch)
    {
      s->last_epoch = epoch;
      s->save_from_us = now_us + SETTLE_US;
    }
  g_hash_table_remove_all (s->held);
  g_hash_table_remove_all (s->saving);
  s->used = 0;
  s->epoch = epoch;
  s->next = next;
}

void
parts_added (struct parts_store *s, const struct part_held *h)
{
  uint64_t key = key_of (h->scope, h->id);
  struct part_held *old = g_hash_table_lookup (s->held, &key);

  s->used += h->tokens - (old != NULL ? old->tokens : 0);
  g_hash_table_insert (s->held, copy_key (key), g_memdup2 (h, sizeof *h));
  g_hash_table_remove (s->saving, &key);
}

void
parts_removed (struct parts_store *s, const char *scope, const char *id)
{
  uint64_t key = key_of (scope, id);
  struct part_held *old = g_hash_table_lookup (s->held, &key);

  if (old == NULL)
    return;
  s->used -= old->tokens;
  g_hash_table_remove (s->held, &key);
}

/* --- plans ----------------------------------------------------------- */

static bool
is_alive (const struct parts_store *s, int64_t now_us)
{
  return s->listed && s->epoch != 0 && s->clock_ms > 0 && s->heard_us != 0
         && now_us - s->heard_us < STORE_DEAD_US;
}

/* Kept work of a request that is bound to regions stays inside them. */
static bool
may_use (const struct parts_query *q, const struct parts_store *s)
{
  return q == NULL || q->fleet == NULL
         || fleet_is_region_allowed (q->fleet, &q->homes, s->domain);
}

/* A store that holds the part whole; one in DOMAIN before others, since a
   transfer takes half as long inside a failure domain.  Q, or NULL, says which
   stores the request may use. */
static struct parts_store *
find_held (struct parts *p, const struct parts_query *q, uint64_t key,
           const struct part *part, const char *domain, int64_t now_us)
{
  struct parts_store *s, *best = NULL;
  const struct part_held *h;

  APR_RING_FOREACH (s, &p->stores, parts_store, link)
  {
    if (!is_alive (s, now_us) || now_us - s->known_us > KNOWN_MAX_US
        || !may_use (q, s))
      continue;
    h = g_hash_table_lookup (s->held, &key);
    if (h == NULL || h->tokens < part->tokens)
      continue;
    if (best == NULL || strcmp (s->domain, domain) == 0)
      best = s;
  }
  return best;
}

static bool
is_saving (const struct parts_store *s, uint64_t key, int64_t now_us)
{
  const int64_t *at = g_hash_table_lookup (s->saving, &key);

  return at != NULL && now_us - *at < SAVE_AGAIN_US;
}

/* Room by capacity, so that larger stores get more: rendezvous with weights
   would need a logarithm, and a draw among all tokens serves as well. */
static uint64_t
score_of (const struct parts_store *s, uint64_t key)
{
  uint64_t h = XXH3_64bits_withSeed (s->address, strlen (s->address), key);
  /* The best of a number of draws that grows with the capacity. */
  uint64_t best = 0;
  int64_t i;

  for (i = 0; i <= s->capacity / 200000 && i < 16; i++)
    {
      h = h * UINT64_C (0x9E3779B97F4A7C15) + 1;
      if ((h ^ (h >> 31)) > best)
        best = h ^ (h >> 31);
    }
  return best;
}

/* Time that a transfer of a small part holds the store's link. */
static int64_t
small_transfer_us (const struct parts *p, const struct parts_store *s)
{
  if (s->link_mbit_s <= 0)
    return s->first_us;
  return s->first_us + SMALL_TOKENS * p->token_bytes * 8 / s->link_mbit_s;
}

/*
 * Small parts are most of the transfers and little of the room: they go where
 * a transfer starts soonest, and large ones where there is room.  Shared out
 * by room alone, a large slow store had so many small transfers on its link
 * that most of its parts were read anew.
 */
static bool
suits (const struct parts *p, const struct parts_store *s,
       const struct part *part, int64_t fastest_us)
{
  bool fast = small_transfer_us (p, s) < 2 * fastest_us;

  return part->tokens <= SMALL_TOKENS ? fast : !fast;
}

static int64_t
fastest_transfer_us (struct parts *p, int64_t now_us)
{
  const struct parts_store *s;
  int64_t low = INT64_MAX / 2;

  APR_RING_FOREACH (s, &p->stores, parts_store, link)
  {
    if (is_alive (s, now_us) && small_transfer_us (p, s) < low)
      low = small_transfer_us (p, s);
  }
  return low;
}

/* The store where the part should be kept: the same one on every VM while
   there is room, so that two VMs do not keep it twice. */
static struct parts_store *
choose_store (struct parts *p, const struct parts_query *q, uint64_t key,
              const struct part *part, int64_t now_us)
{
  int64_t fastest = fastest_transfer_us (p, now_us);
  struct parts_store *s, *best = NULL;
  uint64_t score, high = 0;
  bool suited, best_suited = false;

  APR_RING_FOREACH (s, &p->stores, parts_store, link)
  {
    if (is_alive (s, now_us) && is_saving (s, key, now_us))
      return NULL;
    if (!is_alive (s, now_us) || !may_use (q, s) || now_us < s->save_from_us
        || now_us - s->known_us > SAVE_KNOWN_US
        || s->used + part->tokens > s->capacity * FILL_PERCENT / 100)
      continue;
    score = score_of (s, key);
    suited = suits (p, s, part, fastest);
    if (best == NULL || suited > best_suited
        || (suited == best_suited && score > high))
      {
        best = s;
        best_suited = suited;
        high = score;
      }
  }
  return best;
}

static void
note_saving (struct parts_store *s, uint64_t key, int64_t now_us)
{
  int64_t *at = g_new (int64_t, 1);

  *at = now_us;
  g_hash_table_insert (s->saving, copy_key (key), at);
}

static int64_t
void_ms (const struct parts_query *q)
{
  int64_t ms = FETCH_TIME_MS + q->wait_us / CQ_US_PER_MS;

  return ms < FETCH_VOID_MS ? ms : FETCH_VOID_MS;
}

static void
plan_fetch (struct parts_plan *plan, int i, const struct parts_query *q,
            const struct parts_store *s, int64_t now_us)
{
  int64_t until = parts_clock_ms (s, now_us) + void_ms (q);

  plan->fetch[i] = s->address;
  plan->fetch_tokens += q->list[i].tokens;
  if (plan->nfetch++ == 0 || until < plan->until_ms)
    plan->until_ms = until;
}

/* Old weights: only by a VM that knows when they can have been outdated, and
   only for a while; what they make is not worth a place any more. */
static bool
may_fetch (const struct parts_query *q, int64_t now_us)
{
  if (q->fresh_us == 0 || now_us - q->fresh_us > FETCH_FRESH_US)
    return false;
  return !q->outdated
         || (q->named_us != 0 && now_us - q->named_us < FETCH_OLD_US);
}

int64_t
parts_stored (struct parts *p, const char *scope, const struct part *list,
              int n, const char *domain, int64_t now_us)
{
  int64_t all = 0;
  int i;

  for (i = 0; i < n && i < PARTS_MAX; i++)
    if (find_held (p, NULL, key_of (scope, list[i].id), &list[i], domain,
                   now_us)
        != NULL)
      all += list[i].tokens;
  return all;
}

/* Tokens of the parts that others share; the last part is the request's own,
   and nobody asks for it again. */
static int64_t
shared_tokens (const struct parts_query *q)
{
  int64_t all = 0;
  int i;

  for (i = 0; i < q->n - 1 && i < PARTS_MAX; i++)
    all += q->list[i].tokens;
  return all;
}

/*
 * Small parts too: a part is of use only if all parts before it are there, and
 * where a head of 55 tokens was left to chance, 246 behind it that had been
 * fetched were read again.  Shared tokens read again fell by a third (2.2 of
 * 3.4 million on a day of 34 s and 10,600 such requests).
 */
void
parts_plan (struct parts *p, const struct parts_query *q, int64_t now_us,
            struct parts_plan *plan)
{
  struct parts_store *s;
  uint64_t key;
  int i;

  memset (plan, 0, sizeof *plan);
  if (!may_fetch (q, now_us) || shared_tokens (q) < p->min_tokens)
    return;
  for (i = 0; i < q->n - 1 && i < PARTS_MAX; i++)
    {
      key = key_of (q->scope, q->list[i].id);
      s = find_held (p, q, key, &q->list[i], q->domain, now_us);
      if (s != NULL)
        {
          plan_fetch (plan, i, q, s, now_us);
          continue;
        }
      s = q->outdated ? NULL : choose_store (p, q, key, &q->list[i], now_us);
      if (s == NULL)
        continue;
      note_saving (s, key, now_us);
      plan->save[i] = s->address;
      plan->nsave++;
    }
}

/* --- freeing --------------------------------------------------------- */

bool
parts_may_free (int64_t outdated_us, int64_t now_us)
{
  return outdated_us != 0 && now_us - outdated_us >= FREE_AFTER_US;
}

int
parts_outdated (const struct parts_store *s, const char *model,
                int64_t version, const struct part_held **list, int max)
{
  GHashTableIter it;
  const struct part_held *h;
  int64_t v;
  int n = 0;

  g_hash_table_iter_init (&it, s->held);
  while (n < max && g_hash_table_iter_next (&it, NULL, (gpointer *)&h))
    {
      v = scope_version (h->scope, model);
      if (v >= 0 && v < version)
        list[n++] = h;
    }
  return n;
}
