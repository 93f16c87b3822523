/* Directory of the prompt parts whose KV cache is stored complete. */
#include "parts.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "decide.h"

/*
 * A fetch is planned only if the known weight versions are at most this old.
 * Long polls refresh them every 1.3 s; a poll that takes twice as long is
 * still in time.
 */
#define WEIGHTS_FRESH_MAX_US (2500 * CQ_US_PER_MS)
/* Parts of outdated weights are still fetched for this long: during a change
   of weights, most endpoints have the old ones. */
#define FETCH_OUTDATED_US (5 * CQ_US_PER_S)
/* A fetch expires after the time that the request may wait plus
   FETCH_EXTRA_MS, and after FETCH_MAX_MS at most: prefilling most parts again
   takes less, and a store that has become slow would delay the answer. */
#define FETCH_EXTRA_MS 250
#define FETCH_MAX_MS 1000
/* Later than this after newer weights were named, nobody fetches parts of the
   old ones; 700 ms are added for clock differences and the duration of
   calls. */
#define FREE_AFTER_US                                                         \
  (FETCH_OUTDATED_US + FETCH_MAX_MS * CQ_US_PER_MS + 700 * CQ_US_PER_MS)
/* A store that has not replied for so long is not used: polls of it are up to
   six seconds apart where many VMs share it. */
#define STORE_SILENT_US (8 * CQ_US_PER_S)
/*
 * A store is empty after a restart, and does not refuse to fetch a part that
 * is just being saved again: the request would read an incomplete part.  A VM
 * that has not detected the restart still considers the part complete.  So a
 * fetch requires that the store's contents were synchronized at most
 * PARTS_FETCH_SYNC_AGE_US ago.  And a VM that detects a new incarnation saves
 * nothing there for SETTLE_US: until then older information has expired on all
 * VMs, with the fetches that were begun by it, and with 700 ms for clock
 * differences and the duration of calls.
 */
#define SETTLE_US                                                             \
  (PARTS_FETCH_SYNC_AGE_US + FETCH_MAX_MS * CQ_US_PER_MS + 700 * CQ_US_PER_MS)
/*
 * A VM that has not detected the restart may itself save a part again that
 * others still fetch.  So a save requires that the store's contents were
 * synchronized at most this long ago: a restarting store is unavailable for at
 * least two seconds.  A faster restart is not covered.
 */
#define SAVE_SYNC_AGE_US (1500 * CQ_US_PER_MS)
/* A save that no event has reported after this time was lost, and is requested
   again. */
#define SAVE_RETRY_US (3 * CQ_US_PER_S)
/* A transfer takes some ms at a store; in that time an engine prefills prompts
   that share fewer tokens than this. */
#define MIN_TOKENS 64
/* Longest part, in tokens, that counts as small: its transfer takes some
   ms. */
#define SMALL_TOKENS 2048
/* Share of a store's capacity that is filled: parts that are still being
   written are not counted yet. */
#define FILL_PERCENT 95

/* --- names ----------------------------------------------------------- */

void
parts_scope_name (char *to, const char *model, int64_t version,
                  const char *group)
{
  g_snprintf (to, PARTS_SCOPE_SIZE, "%s.v%" G_GINT64_FORMAT "%s%s", model,
              (gint64)version, group[0] != '\0' ? "." : "", group);
}

/* Weight version of a scope of MODEL, or -1 if the scope is of another
   model. */
static int64_t
scope_version (const char *scope, const char *model)
{
  size_t n = strlen (model);

  if (strncmp (scope, model, n) != 0 || strncmp (scope + n, ".v", 2) != 0)
    return -1;
  return g_ascii_strtoll (scope + n + 2, NULL, 10);
}

static uint64_t
part_key (const char *scope, const char *id)
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
  g_hash_table_destroy (s->stored);
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
add_store (struct parts *p, const struct fleet_service *sv)
{
  struct parts_store *s = parts_find_store (p, sv->store_address);

  if (s == NULL)
    {
      s = g_new0 (struct parts_store, 1);
      g_strlcpy (s->address, sv->store_address, sizeof s->address);
      s->stored = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                         g_free);
      s->saving = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                         g_free);
      s->continuous = true;
      APR_RING_ELEM_INIT (s, link);
      APR_RING_INSERT_TAIL (&p->stores, s, parts_store, link);
    }
  if (sv->domain != NULL)
    g_strlcpy (s->domain, sv->domain, sizeof s->domain);
  s->capacity_tokens = sv->kv_capacity_tokens;
  s->link_mbit_s = sv->link_mbit_s;
  s->calls_max = sv->calls_max;
  s->transfer_latency_us = sv->transfer_latency_us;
  s->configured = true;
}

/* A store that is no longer configured is kept but not used, since a call to
   it may be in progress. */
void
parts_take_conf (struct parts *p, const struct fleet_conf *c)
{
  struct parts_store *s;
  struct fleet_service *sv;
  GHashTableIter it;

  APR_RING_FOREACH (s, &p->stores, parts_store, link) s->configured = false;
  g_hash_table_iter_init (&it, c->services);
  p->token_bytes = 0;
  while (g_hash_table_iter_next (&it, NULL, (gpointer *)&sv))
    {
      p->token_bytes = MAX (p->token_bytes, sv->kv_token_bytes);
      if (sv->store_address != NULL)
        add_store (p, sv);
    }
}

void
parts_store_replied (struct parts_store *s, int64_t clock_ms, int64_t now_us)
{
  s->replied_us = now_us;
  if (clock_ms <= 0)
    return;
  s->clock_ms = clock_ms;
  s->clock_us = now_us;
}

void
parts_store_unreachable (struct parts_store *s)
{
  s->replied_us = 0;
}

int64_t
parts_store_clock_ms (const struct parts_store *s, int64_t now_us)
{
  return s->clock_ms + (now_us - s->clock_us) / CQ_US_PER_MS;
}

void
parts_store_synced (struct parts_store *s, int64_t at_us)
{
  s->synced_us = at_us;
}

void
parts_store_reset (struct parts_store *s, int64_t epoch, int64_t next,
                   int64_t now_us)
{
  if (epoch != 0 && epoch != s->last_epoch)
    {
      s->last_epoch = epoch;
      s->no_save_until_us = now_us + SETTLE_US;
    }
  g_hash_table_remove_all (s->stored);
  g_hash_table_remove_all (s->saving);
  s->used_tokens = 0;
  s->epoch = epoch;
  s->next_event = next;
}

void
parts_added (struct parts_store *s, const struct part_stored *h)
{
  uint64_t key = part_key (h->scope, h->id);
  struct part_stored *old = g_hash_table_lookup (s->stored, &key);

  s->used_tokens += h->tokens - (old != NULL ? old->tokens : 0);
  g_hash_table_insert (s->stored, copy_key (key), g_memdup2 (h, sizeof *h));
  g_hash_table_remove (s->saving, &key);
}

void
parts_removed (struct parts_store *s, const char *scope, const char *id)
{
  uint64_t key = part_key (scope, id);
  struct part_stored *old = g_hash_table_lookup (s->stored, &key);

  if (old == NULL)
    return;
  s->used_tokens -= old->tokens;
  g_hash_table_remove (s->stored, &key);
}

/* --- plans ----------------------------------------------------------- */

static bool
is_alive (const struct parts_store *s, int64_t now_us)
{
  return s->configured && s->epoch != 0 && s->clock_ms > 0
         && s->replied_us != 0 && now_us - s->replied_us < STORE_SILENT_US;
}

/* Stored parts of a request that is bound to regions stay inside them. */
static bool
may_use_store (const struct parts_query *q, const struct parts_store *s)
{
  return q == NULL || q->fleet == NULL
         || fleet_is_region_allowed (q->fleet, &q->homes, s->domain);
}

/* Find a store that holds the complete part, preferably in DOMAIN, since a
   transfer takes half as long inside a failure domain.  Q tells which stores
   the request may use; NULL for all. */
static struct parts_store *
find_stored (struct parts *p, const struct parts_query *q, uint64_t key,
             const struct part *part, const char *domain, int64_t now_us)
{
  struct parts_store *s, *best = NULL;
  const struct part_stored *h;

  APR_RING_FOREACH (s, &p->stores, parts_store, link)
  {
    if (!is_alive (s, now_us)
        || now_us - s->synced_us > PARTS_FETCH_SYNC_AGE_US
        || !may_use_store (q, s))
      continue;
    h = g_hash_table_lookup (s->stored, &key);
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

  return at != NULL && now_us - *at < SAVE_RETRY_US;
}

/* Rendezvous score that grows with the capacity, so that larger stores get
   more parts.  Weighted rendezvous hashing would need a logarithm; the maximum
   of several hashes serves as well. */
static uint64_t
rendezvous_score (const struct parts_store *s, uint64_t key)
{
  uint64_t h = XXH3_64bits_withSeed (s->address, strlen (s->address), key);
  /* The number of hashes grows with the capacity. */
  uint64_t best = 0;
  int64_t i;

  for (i = 0; i <= s->capacity_tokens / 200000 && i < 16; i++)
    {
      h = h * UINT64_C (0x9E3779B97F4A7C15) + 1;
      if ((h ^ (h >> 31)) > best)
        best = h ^ (h >> 31);
    }
  return best;
}

/* Time that the transfer of a small part occupies the store's link. */
static int64_t
small_transfer_us (const struct parts *p, const struct parts_store *s)
{
  if (s->link_mbit_s <= 0)
    return s->transfer_latency_us;
  return s->transfer_latency_us
         + SMALL_TOKENS * p->token_bytes * 8 / s->link_mbit_s;
}

/*
 * Small parts are most of the transfers but take little of the capacity: they
 * go where a transfer starts soonest, and large ones where there is capacity.
 * When parts were distributed by capacity alone, a large slow store had so
 * many small transfers on its link that most of its parts were prefilled
 * again.
 */
static bool
is_suitable (const struct parts *p, const struct parts_store *s,
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

/* The store where the part is to be saved: the same one on every VM while it
   has capacity, so that two VMs do not store the part twice. */
static struct parts_store *
choose_store (struct parts *p, const struct parts_query *q, uint64_t key,
              const struct part *part, int64_t now_us)
{
  int64_t fastest = fastest_transfer_us (p, now_us);
  struct parts_store *s, *best = NULL;
  uint64_t score, high = 0;
  bool suitable, best_suitable = false;

  APR_RING_FOREACH (s, &p->stores, parts_store, link)
  {
    if (is_alive (s, now_us) && is_saving (s, key, now_us))
      return NULL;
    if (!is_alive (s, now_us) || !may_use_store (q, s)
        || now_us < s->no_save_until_us
        || now_us - s->synced_us > SAVE_SYNC_AGE_US
        || s->used_tokens + part->tokens
               > s->capacity_tokens * FILL_PERCENT / 100)
      continue;
    score = rendezvous_score (s, key);
    suitable = is_suitable (p, s, part, fastest);
    if (best == NULL || suitable > best_suitable
        || (suitable == best_suitable && score > high))
      {
        best = s;
        best_suitable = suitable;
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
fetch_time_ms (const struct parts_query *q)
{
  int64_t ms = FETCH_EXTRA_MS + q->wait_us / CQ_US_PER_MS;

  return ms < FETCH_MAX_MS ? ms : FETCH_MAX_MS;
}

static void
plan_fetch (struct parts_plan *plan, int i, const struct parts_query *q,
            const struct parts_store *s, int64_t now_us)
{
  int64_t until = parts_store_clock_ms (s, now_us) + fetch_time_ms (q);

  plan->fetch[i] = s->address;
  plan->fetch_tokens += q->list[i].tokens;
  if (plan->nfetch++ == 0 || until < plan->fetch_deadline_ms)
    plan->fetch_deadline_ms = until;
}

/* Whether parts may be fetched.  Parts of outdated weights are fetched only
   for a while, and only by a VM that knows the earliest time at which the
   weights became outdated. */
static bool
may_fetch (const struct parts_query *q, int64_t now_us)
{
  if (q->weights_fresh_us == 0
      || now_us - q->weights_fresh_us > WEIGHTS_FRESH_MAX_US)
    return false;
  return !q->outdated
         || (q->outdated_since_us != 0
             && now_us - q->outdated_since_us < FETCH_OUTDATED_US);
}

int64_t
parts_stored_tokens (struct parts *p, const char *scope,
                     const struct part *list, int n, const char *domain,
                     int64_t now_us)
{
  int64_t all = 0;
  int i;

  for (i = 0; i < n && i < PARTS_MAX; i++)
    if (find_stored (p, NULL, part_key (scope, list[i].id), &list[i], domain,
                     now_us)
        != NULL)
      all += list[i].tokens;
  return all;
}

/* Tokens of the shared parts; the last part belongs to this request alone and
   is not requested again. */
static int64_t
shared_tokens (const struct parts_query *q)
{
  int64_t all = 0;
  int i;

  for (i = 0; i < q->nparts - 1 && i < PARTS_MAX; i++)
    all += q->list[i].tokens;
  return all;
}

/*
 * Small parts are planned, too.  A part is of use only if all parts before it
 * are present: without a head of 55 tokens that was not planned, 246 fetched
 * tokens behind it were prefilled again.  Planning small parts reduced the
 * shared tokens that are prefilled again by a third (from 3.4 to 2.2 million
 * in a day of 34 s and 10,600 such requests).
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
  for (i = 0; i < q->nparts - 1 && i < PARTS_MAX; i++)
    {
      key = part_key (q->scope, q->list[i].id);
      s = find_stored (p, q, key, &q->list[i], q->domain, now_us);
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
                int64_t version, const struct part_stored **list, int max)
{
  GHashTableIter it;
  const struct part_stored *h;
  int64_t v;
  int n = 0;

  g_hash_table_iter_init (&it, s->stored);
  while (n < max && g_hash_table_iter_next (&it, NULL, (gpointer *)&h))
    {
      v = scope_version (h->scope, model);
      if (v >= 0 && v < version)
        list[n++] = h;
    }
  return n;
}
