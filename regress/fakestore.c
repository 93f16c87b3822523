/*
 * Stand-in for a store of kept KV cache: segments are put, sealed, listed,
 * read, deleted.  All bytes share one limited link.
 *
 *   link_bytes_s   rate of the link (0: no limit)
 *   capacity       bytes; a put over it is answered 507
 *   corrupt        so many reads return altered bytes
 *   truncate       so many reads return half of the bytes
 *   kb_s           kilobytes a second of a listing (0: no limit)
 *   halt_kb        such a listing goes silent after so many (0: it does not)
 */
#include "fake.h"

#include <stdlib.h>
#include <string.h>

/* A segment. */
struct segment
{
  GString *data;
  char *digest; /* as sealed, NULL before */
};

static GMutex lock;
static GMutex link_lock;
static GHashTable *segments; /* name to segment */
static json_t *changes;
static int64_t used, reads, missing;
static char incarnation[32];

static void
segment_free (gpointer data)
{
  struct segment *s = data;

  used -= (int64_t)s->data->len;
  g_string_free (s->data, TRUE);
  g_free (s->digest);
  g_free (s);
}

static void
init (void)
{
  if (segments != NULL)
    return;
  segments
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, segment_free);
  changes = json_array ();
  g_snprintf (incarnation, sizeof incarnation, "%" G_GINT64_FORMAT,
              (gint64)g_get_real_time ());
}

/* The bytes of one transfer move while no other's do. */
static void
use_link (size_t bytes)
{
  int64_t rate = fk_number ("link_bytes_s", 0);

  if (rate == 0)
    return;
  g_mutex_lock (&link_lock);
  g_usleep ((gulong)((int64_t)bytes * 1000000 / rate));
  g_mutex_unlock (&link_lock);
}

static void
note_change (char sign, const char *name)
{
  json_array_append_new (changes, json_sprintf ("%c%s", sign, name));
}

static enum MHD_Result
put (struct fk_req *r, const char *name)
{
  int64_t capacity = fk_number ("capacity", 0);
  struct segment *s;
  bool full;

  use_link (r->body->len);
  g_mutex_lock (&lock);
  full = capacity > 0 && used + (int64_t)r->body->len > capacity;
  if (!full && !g_hash_table_contains (segments, name))
    {
      s = g_new0 (struct segment, 1);
      s->data = g_string_new_len (r->body->str, (gssize)r->body->len);
      used += (int64_t)r->body->len;
      g_hash_table_insert (segments, g_strdup (name), s);
    }
  g_mutex_unlock (&lock);
  return fk_reply_json (r, full ? 507 : 200, json_object ());
}

static enum MHD_Result
seal (struct fk_req *r, const char *name)
{
  json_t *doc = json_loadb (r->body->str, r->body->len, 0, NULL);
  int64_t length = json_integer_value (json_object_get (doc, "length"));
  const char *digest = json_string_value (json_object_get (doc, "digest"));
  struct segment *s;
  bool good;

  g_mutex_lock (&lock);
  s = g_hash_table_lookup (segments, name);
  good = s != NULL && s->digest == NULL && (int64_t)s->data->len == length
         && digest != NULL;
  if (good)
    {
      s->digest = g_strdup (digest);
      note_change ('+', name);
    }
  g_mutex_unlock (&lock);
  json_decref (doc);
  return fk_reply_json (r, good ? 200 : 409, json_object ());
}

static enum MHD_Result
reply_segment (struct fk_req *r, GString *data, const char *digest,
               size_t length)
{
  struct MHD_Response *p;
  enum MHD_Result done;
  char text[32];

  if (fk_take ("corrupt") && data->len > 100)
    data->str[100] ^= 1;
  if (fk_take ("truncate"))
    g_string_truncate (data, data->len / 2);
  p = MHD_create_response_from_buffer (data->len, data->str,
                                       MHD_RESPMEM_MUST_COPY);
  g_snprintf (text, sizeof text, "%d", (int)length);
  MHD_add_response_header (p, "Segment-Length", text);
  MHD_add_response_header (p, "Segment-Digest", digest);
  done = MHD_queue_response (r->conn, 200, p);
  MHD_destroy_response (p);
  return done;
}

static enum MHD_Result
get (struct fk_req *r, const char *name)
{
  const struct segment *s;
  g_autofree char *digest = NULL;
  GString *copy = NULL;
  enum MHD_Result done;

  g_mutex_lock (&lock);
  s = g_hash_table_lookup (segments, name);
  if (s != NULL && s->digest != NULL)
    {
      copy = g_string_new_len (s->data->str, (gssize)s->data->len);
      digest = g_strdup (s->digest);
      reads++;
    }
  else
    missing++;
  g_mutex_unlock (&lock);
  if (copy == NULL)
    return fk_reply_json (r, 404, json_object ());
  use_link (copy->len);
  done = reply_segment (r, copy, digest, copy->len);
  g_string_free (copy, TRUE);
  return done;
}

static enum MHD_Result
drop (struct fk_req *r, const char *name)
{
  g_mutex_lock (&lock);
  if (g_hash_table_remove (segments, name))
    note_change ('-', name);
  g_mutex_unlock (&lock);
  return fk_reply_json (r, 200, json_object ());
}

static enum MHD_Result
list (struct fk_req *r)
{
  const char *text
      = MHD_lookup_connection_value (r->conn, MHD_GET_ARGUMENT_KIND, "since");
  int64_t since = text ? atoll (text) : 0;
  json_t *out = json_array ();
  json_t *doc;
  size_t i;

  g_mutex_lock (&lock);
  if (since > (int64_t)json_array_size (changes))
    since = 0;
  for (i = (size_t)since; i < json_array_size (changes); i++)
    json_array_append (out, json_array_get (changes, i));
  doc = json_pack ("{s:s,s:I,s:I,s:I,s:I,s:o}", "incarnation", incarnation,
                   "first", (json_int_t)since, "next",
                   (json_int_t)json_array_size (changes), "used",
                   (json_int_t)used, "capacity",
                   (json_int_t)fk_number ("capacity", 0), "changes", out);
  g_mutex_unlock (&lock);
  if (fk_number ("kb_s", 0) > 0)
    return fk_reply_paced (r, 200, doc, fk_number ("kb_s", 0));
  return fk_reply_json (r, 200, doc);
}

static enum MHD_Result
stats (struct fk_req *r)
{
  json_t *doc;

  g_mutex_lock (&lock);
  doc = json_pack ("{s:I,s:I,s:I,s:I}", "segments",
                   (json_int_t)g_hash_table_size (segments), "used",
                   (json_int_t)used, "reads", (json_int_t)reads, "missing",
                   (json_int_t)missing);
  g_mutex_unlock (&lock);
  return fk_reply_json (r, 200, doc);
}

static enum MHD_Result
handle (struct fk_req *r)
{
  static const char data[] = "/segments/";
  static const char seals[] = "/seal/";

  g_mutex_lock (&lock);
  init ();
  g_mutex_unlock (&lock);
  if (strcmp (r->path, "/stats") == 0)
    return stats (r);
  if (strcmp (r->path, "/list") == 0)
    return list (r);
  if (g_str_has_prefix (r->path, seals))
    return seal (r, r->path + strlen (seals));
  if (!g_str_has_prefix (r->path, data))
    return fk_reply_json (r, 404, json_object ());
  if (strcmp (r->method, "PUT") == 0)
    return put (r, r->path + strlen (data));
  if (strcmp (r->method, "DELETE") == 0)
    return drop (r, r->path + strlen (data));
  return get (r, r->path + strlen (data));
}

const struct fk_role fk_store = { "store", handle };
