/*
 * Prefix cache of the engine stand-in.
 *
 *   cache_tokens   bound of the cache
 *   event_lag_ms   age of cache events when they are published
 *   lose_events    so many events are lost
 *   half_exports   so many exports die after half of a segment's bytes
 *   bad_seals      so many segments are sealed with a wrong digest
 */
#include "fakekv.h"

#include <curl/curl.h>
#include <sodium.h>
#include <string.h>

#define EVENTS_KEPT 4096

static GMutex lock;
static GHashTable *cache;           /* digest to itself */
static GQueue order = G_QUEUE_INIT; /* digests, oldest first */
static int64_t filled;              /* tokens ever put in */
static int64_t imported, rejected, exported;

/* An eviction. */
struct eviction
{
  int64_t number;
  int64_t at_us;
  uint64_t digest;
};

static GQueue evictions = G_QUEUE_INIT;
static int64_t next_event = 1;

int
fk_chain (const char *salt, const char *text, uint64_t *digests)
{
  struct pfx_scope scope = { { 0 } };

  sodium_hex2bin (scope.key, sizeof scope.key, salt, strlen (salt), NULL, NULL,
                  NULL);
  return pfx_chain (&scope, text, strlen (text), digests, PFX_MAX_BLOCKS);
}

/* --- cache ----------------------------------------------------------- */

static int64_t
cache_blocks (void)
{
  return fk_number ("cache_tokens", 100000) / BLOCK_TOKENS;
}

static void
evict_oldest (void)
{
  guint64 *key = g_queue_pop_head (&order);
  struct eviction *e;

  if (!fk_take ("lose_events"))
    {
      e = g_new0 (struct eviction, 1);
      e->number = next_event;
      e->at_us = g_get_monotonic_time ();
      e->digest = *key;
      g_queue_push_tail (&evictions, e);
    }
  next_event++;
  if (g_queue_get_length (&evictions) > EVENTS_KEPT)
    g_free (g_queue_pop_head (&evictions));
  g_hash_table_remove (cache, key);
}

static void
remember (uint64_t digest)
{
  gpointer found;
  guint64 *key;

  if (cache == NULL)
    cache = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  if (g_hash_table_lookup_extended (cache, &digest, &found, NULL))
    {
      g_queue_remove (&order, found);
      g_queue_push_tail (&order, found);
      return;
    }
  while ((int64_t)g_hash_table_size (cache) >= cache_blocks ()
         && !g_queue_is_empty (&order))
    evict_oldest ();
  if (cache_blocks () == 0)
    return;
  key = g_new (guint64, 1);
  *key = digest;
  g_hash_table_add (cache, key);
  g_queue_push_tail (&order, key);
  filled += BLOCK_TOKENS;
}

static int
depth (const uint64_t *digests, int n)
{
  int i;

  for (i = 0; cache != NULL && i < n; i++)
    if (!g_hash_table_contains (cache, &digests[i]))
      break;
  return cache != NULL ? i : 0;
}

int
fk_cache_use (const uint64_t *digests, int n)
{
  int found, i;

  g_mutex_lock (&lock);
  found = depth (digests, n);
  for (i = n - 1; i >= 0; i--)
    remember (digests[i]);
  g_mutex_unlock (&lock);
  return found;
}

int64_t
fk_filled_tokens (void)
{
  return filled;
}

/* --- events ---------------------------------------------------------- */

json_t *
fk_events (int64_t since)
{
  int64_t lag = fk_number ("event_lag_ms", 0) * 1000;
  int64_t now = g_get_monotonic_time ();
  json_t *removed = json_array ();
  int64_t first = -1;
  int64_t next = since > 0 ? since : next_event;
  GList *l;
  char hex[20];

  g_mutex_lock (&lock);
  for (l = evictions.head; l != NULL && since > 0; l = l->next)
    {
      const struct eviction *e = l->data;

      if (e->number < since || now - e->at_us < lag
          || json_array_size (removed) >= 1000)
        continue;
      if (first < 0)
        first = e->number;
      /* A hole in the numbers ends the batch; the next one starts behind it
         and so shows that something is missing. */
      if (first + (int64_t)json_array_size (removed) != e->number)
        break;
      g_snprintf (hex, sizeof hex, "%" G_GINT64_MODIFIER "x",
                  (guint64)e->digest);
      json_array_append_new (removed, json_string (hex));
      next = e->number + 1;
    }
  g_mutex_unlock (&lock);
  return json_pack ("{s:I,s:I,s:o}", "first",
                    (json_int_t)(first < 0 ? next : first), "next",
                    (json_int_t)next, "removed", removed);
}

/* --- segments -------------------------------------------------------- */

GString *
fk_segment_data (uint64_t digest, const char *version, size_t len)
{
  GString *data = g_string_new (NULL);

  g_string_printf (data, "segment %" G_GINT64_MODIFIER "x %s\n",
                   (guint64)digest, version);
  while (data->len < len)
    g_string_append_c (data, (char)('a' + (digest + data->len) % 26));
  return data;
}

/* Headers of a store's reply. */
struct fetched
{
  GString *data;
  char digest[80];
  size_t length;
};

static size_t
take_data (char *data, size_t size, size_t n, void *arg)
{
  struct fetched *f = arg;

  g_string_append_len (f->data, data, (gssize)(size * n));
  return size * n;
}

static size_t
take_head (char *line, size_t size, size_t n, void *arg)
{
  struct fetched *f = arg;
  g_autofree char *text = g_strchomp (g_strndup (line, size * n));

  if (g_str_has_prefix (text, "Segment-Digest: "))
    g_strlcpy (f->digest, text + strlen ("Segment-Digest: "),
               sizeof f->digest);
  if (g_str_has_prefix (text, "Segment-Length: "))
    f->length = (size_t)g_ascii_strtoull (text + strlen ("Segment-Length: "),
                                          NULL, 10);
  return size * n;
}

static long
http (const char *method, const char *url, const char *body, size_t len,
      int64_t limit_ms, struct fetched *f)
{
  CURL *c = curl_easy_init ();
  long status = 0;

  curl_easy_setopt (c, CURLOPT_URL, url);
  curl_easy_setopt (c, CURLOPT_PROXY, "");
  curl_easy_setopt (c, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (c, CURLOPT_TIMEOUT_MS, (long)limit_ms);
  curl_easy_setopt (c, CURLOPT_CUSTOMREQUEST, method);
  if (body != NULL)
    {
      curl_easy_setopt (c, CURLOPT_POSTFIELDS, body);
      curl_easy_setopt (c, CURLOPT_POSTFIELDSIZE, (long)len);
    }
  curl_easy_setopt (c, CURLOPT_WRITEFUNCTION, take_data);
  curl_easy_setopt (c, CURLOPT_WRITEDATA, f);
  curl_easy_setopt (c, CURLOPT_HEADERFUNCTION, take_head);
  curl_easy_setopt (c, CURLOPT_HEADERDATA, f);
  if (curl_easy_perform (c) == CURLE_OK)
    curl_easy_getinfo (c, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (c);
  return status;
}

static void
checksum (const GString *data, char *hex, size_t size)
{
  g_autofree char *sum = g_compute_checksum_for_data (
      G_CHECKSUM_SHA256, (const guchar *)data->str, data->len);

  g_strlcpy (hex, sum, size);
}

/* Length and digest as sealed, and the very content that belongs here. */
static bool
verify (const struct fetched *f, uint64_t digest, const char *version)
{
  g_autofree char *first = g_strdup_printf (
      "segment %" G_GINT64_MODIFIER "x %s\n", (guint64)digest, version);
  char sum[80];

  checksum (f->data, sum, sizeof sum);
  return f->data->len == f->length && strcmp (sum, f->digest) == 0
         && g_str_has_prefix (f->data->str, first);
}

static bool
import_one (const char *store, const char *name, uint64_t digest,
            const char *version, int64_t limit_ms)
{
  g_autofree char *url
      = g_strdup_printf ("http://%s/segments/%s", store, name);
  struct fetched f = { .data = g_string_new (NULL) };
  long status = http ("GET", url, NULL, 0, limit_ms, &f);
  bool good = status == 200 && verify (&f, digest, version);

  /* For the history: what goes into the cache, looked at once more. */
  if (good)
    fk_log ("used", "segment=%s verified=%d", name,
            verify (&f, digest, version));
  g_string_free (f.data, TRUE);
  g_mutex_lock (&lock);
  imported += good;
  rejected += status == 200 && !good;
  g_mutex_unlock (&lock);
  return good;
}

int
fk_import (const json_t *o, const uint64_t *digests, int n,
           const char *version)
{
  const char *store = json_string_value (json_object_get (o, "store"));
  int64_t limit = json_integer_value (json_object_get (o, "limit_ms"));
  int64_t end = g_get_monotonic_time () + limit * 1000;
  const json_t *names = json_object_get (o, "segments");
  const json_t *name;
  int have, last, b;
  size_t i;

  g_mutex_lock (&lock);
  have = depth (digests, n);
  g_mutex_unlock (&lock);
  json_array_foreach (names, i, name)
  {
    last = ((int)i + 1) * DIR_SEGMENT_BLOCKS;
    limit = (end - g_get_monotonic_time ()) / 1000;
    if (last <= have)
      continue;
    if (last > n || limit <= 0
        || !import_one (store, json_string_value (name), digests[last - 1],
                        version, limit))
      break;
    g_mutex_lock (&lock);
    for (b = last - DIR_SEGMENT_BLOCKS; b < last; b++)
      remember (digests[b]);
    g_mutex_unlock (&lock);
    have = last;
  }
  return have;
}

/* Data first, then the seal with length and digest. */
static bool
export_one (const char *store, const char *name, const char *version,
            size_t len)
{
  uint64_t digest = g_ascii_strtoull (name, NULL, 16);
  GString *data = fk_segment_data (digest, version, len);
  g_autofree char *put
      = g_strdup_printf ("http://%s/segments/%s", store, name);
  g_autofree char *seal_url
      = g_strdup_printf ("http://%s/seal/%s", store, name);
  struct fetched f = { .data = g_string_new (NULL) };
  char sum[80];
  g_autofree char *seal = NULL;
  bool half = fk_take ("half_exports");
  bool good;

  checksum (data, sum, sizeof sum);
  if (fk_take ("bad_seals"))
    sum[0] = sum[0] == '0' ? '1' : '0';
  seal = g_strdup_printf ("{\"length\":%d,\"digest\":\"%s\"}", (int)data->len,
                          sum);
  good = http ("PUT", put, data->str, half ? data->len / 2 : data->len, 60000,
               &f)
             == 200
         && !half
         && http ("POST", seal_url, seal, strlen (seal), 60000, &f) == 200;
  g_string_free (data, TRUE);
  g_string_free (f.data, TRUE);
  return good;
}

static bool
is_cached (const char *name)
{
  uint64_t digest = g_ascii_strtoull (name, NULL, 16);
  bool found;

  g_mutex_lock (&lock);
  found = cache != NULL && g_hash_table_contains (cache, &digest);
  g_mutex_unlock (&lock);
  return found;
}

enum MHD_Result
fk_export (struct fk_req *r, const char *version)
{
  json_t *doc = json_loadb (r->body->str, r->body->len, 0, NULL);
  const char *store = json_string_value (json_object_get (doc, "store"));
  const char *want = json_string_value (json_object_get (doc, "version"));
  int64_t token_bytes
      = json_integer_value (json_object_get (doc, "token_bytes"));
  size_t len = (size_t)token_bytes * BLOCK_TOKENS * DIR_SEGMENT_BLOCKS;
  int64_t start = g_get_monotonic_time ();
  const json_t *name;
  int sealed = 0;
  size_t i;

  json_array_foreach (json_object_get (doc, "segments"), i, name)
  {
    if (want == NULL || strcmp (want, version) != 0
        || !is_cached (json_string_value (name))
        || !export_one (store, json_string_value (name), version, len))
      break;
    sealed++;
  }
  json_decref (doc);
  g_mutex_lock (&lock);
  exported += sealed;
  g_mutex_unlock (&lock);
  return fk_reply_json (
      r, 200,
      json_pack ("{s:i,s:I}", "sealed", sealed, "moving_us",
                 (json_int_t)(g_get_monotonic_time () - start)));
}

void
fk_kv_stats (json_t *doc)
{
  json_object_set_new (doc, "imported", json_integer (imported));
  json_object_set_new (doc, "rejected", json_integer (rejected));
  json_object_set_new (doc, "exported", json_integer (exported));
}
