/*
 * Stand-in for a plain service.  Counts how often each body was run.
 *
 *   delay_ms     time a call takes
 *   drop_calls   so many calls run, then their connection closes unanswered
 *   refuse       HTTP status by which calls are refused before running
 *   fail         HTTP status by which calls fail after running
 *   reply_bytes  padding of the answer
 *   cut          so many answers break off half way
 */
#include "fake.h"

#include <string.h>

static GMutex lock;
static GHashTable *runs; /* body to count */
static int64_t serial;

static int64_t
count_run (const char *body)
{
  int64_t n;

  g_mutex_lock (&lock);
  if (runs == NULL)
    runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  n = GPOINTER_TO_INT (g_hash_table_lookup (runs, body)) + 1;
  g_hash_table_insert (runs, g_strdup (body), GINT_TO_POINTER ((int)n));
  n = ++serial;
  g_mutex_unlock (&lock);
  return n;
}

static json_t *
stats (void)
{
  json_t *doc = json_object ();
  GHashTableIter it;
  gpointer key, value;

  g_mutex_lock (&lock);
  if (runs != NULL)
    {
      g_hash_table_iter_init (&it, runs);
      while (g_hash_table_iter_next (&it, &key, &value))
        json_object_set_new (doc, key, json_integer (GPOINTER_TO_INT (value)));
    }
  g_mutex_unlock (&lock);
  return doc;
}

static ssize_t
cut_reader (void *arg, uint64_t pos, char *to, size_t max)
{
  (void)arg;
  if (pos > 0)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  memset (to, 'x', max < 10 ? max : 10);
  return max < 10 ? (ssize_t)max : 10;
}

static enum MHD_Result
reply_cut (struct fk_req *r)
{
  struct MHD_Response *p
      = MHD_create_response_from_callback (1000, 1024, cut_reader, NULL, NULL);
  enum MHD_Result done
      = MHD_queue_response (r->conn, (unsigned)fk_number ("fail", 200), p);

  MHD_destroy_response (p);
  return done;
}

static void
log_run (struct fk_req *r)
{
  g_autofree char *word = g_strdup (r->body->str);

  fk_log ("ran", "call=%s attempt=%s", g_strdelimit (word, " ", '_'),
          fk_header (r, "Camphorquay-Attempt"));
}

static enum MHD_Result
run_call (struct fk_req *r)
{
  GString *text = g_string_new (NULL);
  enum MHD_Result done;
  int64_t n, pad;

  if (fk_number ("refuse", 0))
    return fk_reply (r, (int)fk_number ("refuse", 0), "text/plain", "no", 2);
  n = count_run (r->body->str);
  log_run (r);
  g_usleep ((gulong)fk_number ("delay_ms", 0) * 1000);
  if (fk_take ("drop_calls"))
    {
      g_string_free (text, TRUE);
      return fk_drop (r);
    }
  if (fk_take ("cut"))
    {
      g_string_free (text, TRUE);
      return reply_cut (r);
    }
  g_string_printf (text, "run %" G_GINT64_FORMAT " of %s %s\n", (gint64)n,
                   r->path, r->body->str);
  for (pad = fk_number ("reply_bytes", 0); pad > 0; pad--)
    g_string_append_c (text, '.');
  done = fk_reply (r, (int)fk_number ("fail", 200), "text/plain", text->str,
                   text->len);
  g_string_free (text, TRUE);
  return done;
}

static enum MHD_Result
handle (struct fk_req *r)
{
  if (strcmp (r->path, "/load") == 0)
    return fk_reply_json (r, 200,
                          json_pack ("{s:i,s:s,s:b}", "running", 0,
                                     "incarnation", "1", "leaving",
                                     (int)fk_number ("leaving", 0)));
  if (strcmp (r->path, "/stats") == 0)
    return fk_reply_json (r, 200, stats ());
  return run_call (r);
}

const struct fk_role fk_plain = { "plain", handle };
