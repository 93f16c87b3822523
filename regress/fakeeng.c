/*
 * Stand-in for a model engine: continuous batching with prefill and decode
 * rates, a bounded prefix cache, priorities, cancel, resume, load reports
 * with a lag.
 *
 *   version, incarnation, build  what it reports
 *   prefill_tokens_s      prompt tokens a second (0: at once)
 *   decode_us             time for each generated token
 *   slots                 requests run at once
 *   cache_tokens          bound of the prefix cache
 *   lag_ms                age of load reports
 *   leaving               it reports that it leaves
 *   refuse                HTTP status by which requests are refused
 *   break_after           streams break after so many tokens, while
 *   breaks                so many streams are left to break
 *   break_resumed         whether resumed streams break and hang too
 *   break_at_end          whether streams break after their end mark
 *   unframed              streams have no length and end with their connection
 *   status_resumed        HTTP status of the answers to resumed requests
 *   hang_after            streams stop moving after so many tokens, while
 *   hangs                 so many are left
 *   check_fence           orders under an older fencing number are refused
 *   load_ms               time an order takes
 *   token_bytes           padding of each token
 */
#include "fakekv.h"

#include <stdio.h>
#include <string.h>

#define BYTES_PER_TOKEN 4

/* A run. */
struct run
{
  bool chat;        /* chat completion */
  bool urgent;      /* goes before others */
  bool holding;     /* holds a slot */
  uint32_t word;    /* from the prompt: the same prompt, the same answer */
  int64_t next;     /* next token */
  int64_t max;      /* tokens in all */
  int64_t break_at; /* break before this token, -1 for never */
  int64_t hang_at;  /* stop before this token, -1 for never */
  int64_t cached;   /* prompt tokens found in the cache */
  int64_t due_us;   /* when the next token is ready */
  bool ended;       /* the end mark was written */
  char *version;    /* weights it runs on */
};

static GMutex lock;
static GCond changed;
static int running, waiting, waiting_urgent;
static bool prefilling;
static int64_t queued_tokens, cached_total, prompt_total, tokens_out;
static int64_t runs, cancels, resumes, last_fence;
static json_t *report;
static int64_t report_us;

/* --- batching -------------------------------------------------------- */

static void
enter (struct run *run)
{
  g_mutex_lock (&lock);
  waiting++;
  waiting_urgent += run->urgent;
  while (running >= fk_number ("slots", 64)
         || (!run->urgent && waiting_urgent > 0))
    g_cond_wait (&changed, &lock);
  waiting--;
  waiting_urgent -= run->urgent;
  running++;
  run->holding = true;
  g_cond_broadcast (&changed);
  g_mutex_unlock (&lock);
}

static void
leave (struct run *run)
{
  g_mutex_lock (&lock);
  if (run->holding)
    running--;
  run->holding = false;
  g_cond_broadcast (&changed);
  g_mutex_unlock (&lock);
}

/* Prompts are processed one after another; sleeping is the work. */
static void
prefill (int64_t tokens)
{
  int64_t rate = fk_number ("prefill_tokens_s", 0);

  if (rate == 0 || tokens <= 0)
    return;
  g_mutex_lock (&lock);
  queued_tokens += tokens;
  while (prefilling)
    g_cond_wait (&changed, &lock);
  prefilling = true;
  g_mutex_unlock (&lock);
  g_usleep ((gulong)(tokens * 1000000 / rate));
  g_mutex_lock (&lock);
  prefilling = false;
  queued_tokens -= tokens;
  g_cond_broadcast (&changed);
  g_mutex_unlock (&lock);
}

/* --- answers --------------------------------------------------------- */

static json_t *
choice_of (struct run *run, const char *text, bool whole)
{
  if (run->chat && whole)
    return json_pack ("{s:i,s:{s:s,s:s}}", "index", 0, "message", "role",
                      "assistant", "content", text);
  if (run->chat)
    return json_pack ("{s:i,s:{s:s}}", "index", 0, "delta", "content", text);
  return json_pack ("{s:i,s:s}", "index", 0, "text", text);
}

static char *
event_json (struct run *run, const char *text, bool whole)
{
  json_t *doc = json_pack ("{s:s,s:[o]}", "system_fingerprint", run->version,
                           "choices", choice_of (run, text, whole));
  char *dumped, *out;

  if (whole || run->next <= 1)
    json_object_set_new (doc, "usage",
                         json_pack ("{s:{s:I}}", "prompt_tokens_details",
                                    "cached_tokens", (json_int_t)run->cached));
  dumped = json_dumps (doc, JSON_COMPACT);
  out = g_strdup (dumped);
  free (dumped);
  json_decref (doc);
  return out;
}

static char *
token_text (struct run *run, int64_t i)
{
  int64_t pad = fk_number ("token_bytes", 0);

  return g_strdup_printf ("w%x-%d%.*s ", run->word & 0xfff, (int)i, (int)pad,
                          "........................................"
                          "........................................"
                          "........................................");
}

static void
wait_for_token (struct run *run)
{
  int64_t now = g_get_monotonic_time ();

  if (run->due_us > now)
    g_usleep ((gulong)(run->due_us - now));
  run->due_us += fk_number ("decode_us", 0);
}

static ssize_t
write_event (char *to, size_t max, const char *data)
{
  int n = snprintf (to, max, "data: %s\n\n", data);

  return n < (int)max ? n : MHD_CONTENT_READER_END_WITH_ERROR;
}

static ssize_t
read_stream (void *arg, uint64_t pos, char *to, size_t max)
{
  struct run *run = arg;
  g_autofree char *text = NULL;
  g_autofree char *event = NULL;

  (void)pos;
  if (run->ended && fk_number ("break_at_end", 0))
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (run->ended)
    return MHD_CONTENT_READER_END_OF_STREAM;
  if (run->next == run->max)
    {
      run->ended = true;
      leave (run);
      return write_event (to, max, "[DONE]");
    }
  if (run->next == run->break_at)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (run->next == run->hang_at)
    g_usleep (600UL * G_USEC_PER_SEC);
  wait_for_token (run);
  text = token_text (run, run->next++);
  event = event_json (run, text, false);
  g_mutex_lock (&lock);
  tokens_out++;
  g_mutex_unlock (&lock);
  return write_event (to, max, event);
}

static void
end_run (void *arg, bool whole)
{
  struct run *run = arg;

  leave (run);
  g_mutex_lock (&lock);
  cancels += !whole;
  g_mutex_unlock (&lock);
  g_free (run->version);
  g_free (run);
}

static enum MHD_Result
reply_stream (struct fk_req *r, struct run *run)
{
  struct MHD_Response *p = MHD_create_response_from_callback (
      MHD_SIZE_UNKNOWN, 4096, read_stream, run, NULL);
  enum MHD_Result done;

  if (fk_number ("unframed", 0))
    MHD_set_response_options (p, MHD_RF_HTTP_1_0_COMPATIBLE_STRICT,
                              MHD_RO_END);
  MHD_add_response_header (p, "Content-Type", "text/event-stream");
  done = MHD_queue_response (r->conn, 200, p);
  MHD_destroy_response (p);
  return done;
}

static enum MHD_Result
reply_whole (struct fk_req *r, struct run *run)
{
  g_autoptr (GString) text = g_string_new (NULL);
  g_autofree char *token = NULL;
  g_autofree char *body = NULL;

  while (run->next < run->max)
    {
      wait_for_token (run);
      g_free (token);
      token = token_text (run, run->next++);
      g_string_append (text, token);
    }
  body = event_json (run, text->str, true);
  leave (run);
  return fk_reply (r, 200, "application/json", body, strlen (body));
}

/* --- requests -------------------------------------------------------- */

static char *
prompt_text (const json_t *doc)
{
  GString *text = g_string_new (NULL);
  const json_t *m;
  const char *s;
  size_t i;

  s = json_string_value (json_object_get (doc, "prompt"));
  if (s != NULL)
    g_string_append (text, s);
  json_array_foreach (json_object_get (doc, "messages"), i, m)
  {
    s = json_string_value (json_object_get (m, "content"));
    g_string_append (text, s ? s : "");
  }
  return g_string_free (text, FALSE);
}

static struct run *
make_run (const json_t *doc, const char *text, bool chat)
{
  struct run *run = g_new0 (struct run, 1);
  const json_t *resume = json_object_get (doc, "resume");

  run->chat = chat;
  run->word = g_str_hash (text);
  run->max = json_integer_value (json_object_get (doc, "max_tokens"));
  run->urgent = json_integer_value (json_object_get (doc, "priority")) > 0;
  run->version = fk_string ("version", "v1");
  run->next = json_integer_value (json_object_get (resume, "offset"));
  run->break_at = -1;
  run->hang_at = -1;
  if (run->next > 0 && !fk_number ("break_resumed", 0))
    return run;
  if (fk_take ("breaks"))
    run->break_at = run->next + fk_number ("break_after", 0);
  else if (fk_take ("hangs"))
    run->hang_at = run->next + fk_number ("hang_after", 0);
  return run;
}

static enum MHD_Result
complete (struct fk_req *r, bool chat)
{
  json_t *doc = json_loadb (r->body->str, r->body->len, 0, NULL);
  g_autofree char *text = prompt_text (doc);
  const char *salt = json_string_value (json_object_get (doc, "cache_salt"));
  bool stream = json_is_true (json_object_get (doc, "stream"));
  struct run *run = make_run (doc, text, chat);
  int64_t tokens = (int64_t)strlen (text) / BYTES_PER_TOKEN;
  uint64_t digests[PFX_MAX_BLOCKS];
  int n = fk_chain (salt ? salt : "", text, digests);
  const json_t *import = json_object_get (doc, "kv_import");

  r->stream = run;
  r->stream_free = end_run;
  enter (run);
  if (import != NULL)
    fk_import (import, digests, n, run->version);
  run->cached = (int64_t)fk_cache_use (digests, n) * BLOCK_TOKENS;
  fk_log ("ran", "attempt=%s scope=%s version=%s cached=%d",
          fk_header (r, "Camphorquay-Attempt"), salt ? salt : "", run->version,
          (int)run->cached);
  g_mutex_lock (&lock);
  runs++;
  resumes += run->next > 0;
  cached_total += run->cached;
  prompt_total += tokens;
  g_mutex_unlock (&lock);
  json_decref (doc);
  prefill (tokens - run->cached);
  if (run->next > 0 && fk_number ("status_resumed", 0))
    return fk_reply (r, (int)fk_number ("status_resumed", 0), "text/plain",
                     "no", 2);
  run->due_us = g_get_monotonic_time ();
  return stream ? reply_stream (r, run) : reply_whole (r, run);
}

static json_t *
make_report (void)
{
  g_autofree char *version = fk_string ("version", "v1");
  g_autofree char *incarnation = fk_string ("incarnation", "1");
  g_autofree char *build = fk_string ("build", "");

  return json_pack ("{s:s,s:i,s:I,s:s,s:s,s:b}", "build", build, "running",
                    running + waiting, "queued_tokens",
                    (json_int_t)queued_tokens, "version", version,
                    "incarnation", incarnation, "leaving",
                    (int)fk_number ("leaving", 0));
}

static enum MHD_Result
load (struct fk_req *r)
{
  const char *text
      = MHD_lookup_connection_value (r->conn, MHD_GET_ARGUMENT_KIND, "since");
  int64_t since = text ? g_ascii_strtoll (text, NULL, 10) : 0;
  int64_t now = g_get_monotonic_time ();
  json_t *doc;

  /* Several VMs ask at once, each on a thread of its own. */
  g_mutex_lock (&lock);
  if (report == NULL || now - report_us >= fk_number ("lag_ms", 0) * 1000)
    {
      json_decref (report);
      report = make_report ();
      report_us = now;
    }
  doc = json_copy (report);
  g_mutex_unlock (&lock);
  json_object_set_new (doc, "filled_tokens",
                       json_integer (fk_filled_tokens ()));
  json_object_set_new (doc, "events", fk_events (since));
  json_object_set_new (doc, "age_ms", json_integer ((now - report_us) / 1000));
  return fk_reply_json (r, 200, doc);
}

static enum MHD_Result
stats (struct fk_req *r)
{
  json_t *doc;

  g_mutex_lock (&lock);
  doc = json_pack ("{s:I,s:I,s:I,s:I,s:I,s:I}", "runs", (json_int_t)runs,
                   "cancels", (json_int_t)cancels, "resumes",
                   (json_int_t)resumes, "cached_tokens",
                   (json_int_t)cached_total, "prompt_tokens",
                   (json_int_t)prompt_total, "tokens", (json_int_t)tokens_out);
  g_mutex_unlock (&lock);
  fk_kv_stats (doc);
  return fk_reply_json (r, 200, doc);
}

static enum MHD_Result export(struct fk_req *r) {
  g_autofree char *version = fk_string ("version", "v1");

  return fk_export (r, version);
}

/*
 * An order: {"fence":N,"version":V}.  With check_fence an order under an older
 * fencing number is refused; without it any order is obeyed.
 */
static enum MHD_Result
order (struct fk_req *r)
{
  json_t *doc = json_loadb (r->body->str, r->body->len, 0, NULL);
  int64_t fence = json_integer_value (json_object_get (doc, "fence"));
  const char *v = json_string_value (json_object_get (doc, "version"));
  bool obeyed;

  g_mutex_lock (&lock);
  obeyed = v != NULL && (!fk_number ("check_fence", 0) || fence >= last_fence);
  if (obeyed && fence > last_fence)
    last_fence = fence;
  g_mutex_unlock (&lock);
  if (obeyed)
    {
      g_usleep ((gulong)fk_number ("load_ms", 0) * 1000);
      fk_set_string ("version", v);
    }
  json_decref (doc);
  return fk_reply_json (r, obeyed ? 200 : 409, json_object ());
}

static enum MHD_Result
handle (struct fk_req *r)
{
  int refuse = (int)fk_number ("refuse", 0);

  if (strcmp (r->path, "/load") == 0)
    return load (r);
  if (strcmp (r->path, "/stats") == 0)
    return stats (r);
  if (strcmp (r->path, "/order") == 0)
    return order (r);
  if (strcmp (r->path, "/kv/export") == 0)
    return export(r);
  if (refuse != 0)
    return fk_reply (r, refuse, "text/plain", "no", 2);
  if (strcmp (r->path, "/v1/completions") == 0)
    return complete (r, false);
  if (strcmp (r->path, "/v1/chat/completions") == 0)
    return complete (r, true);
  return fk_reply (r, 404, "text/plain", "", 0);
}

const struct fk_role fk_engine = { "engine", handle };
