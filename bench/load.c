/*
 * Load generator: sends prompts or calls and prints what came back.
 *
 *   bench/load --address IP:PORT [--key KEY] [--count N] [--concurrency N]
 *              [--rate PER_S] [--tokens N] [--prompt-bytes N] [--whole]
 *              [--urgent] [--deadline-ms N] [--call SERVICE --idempotent]
 *
 *              [--verify] [--distinct N]
 *
 * --address takes several, parted by commas; a call that was not answered is
 * sent again with its key to the next one, three times at most.
 *
 * With --rate requests start at that rate (open loop), else as fast as
 * --concurrency allows.  Runs on the project's own loop and transfers.
 */
#include <argp.h>
#include <curl/curl.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>
#include <string.h>

#include <apr_general.h>

#include "loop.h"
#include "xfer.h"

/* What the command line says. */
struct options
{
  const char *address;  /* whom to ask */
  const char *key;      /* caller's key, or NULL */
  const char *call;     /* plain service, or NULL for prompts */
  int64_t count;        /* requests in all */
  int64_t concurrency;  /* at once */
  int64_t rate;         /* a second, 0 for as fast as possible */
  int64_t tokens;       /* generated for each */
  int64_t prompt_bytes; /* of each prompt */
  int64_t first;        /* number of the first prompt */
  int64_t deadline_ms;  /* 0 for the service's own */
  bool whole;           /* no stream */
  bool urgent;          /* marked urgent */
  bool idempotent;      /* with idempotency keys */
  bool same;            /* all prompts alike */
  bool verify;          /* compare answers, and log "event=got" lines */
  int64_t distinct;     /* prompts that return, 0 for all different */
};

/* One request. */
struct shot
{
  struct load *load; /* whose */
  int64_t sent_us;   /* start */
  int64_t first_us;  /* first byte of the body */
  int64_t events;    /* events so far */
  char tail[8];      /* last bytes, for the end mark */
  char outcome[16];  /* from the header */
  char *body;        /* sent */
  char *header[8];   /* sent */
  char newline;      /* last byte seen, to count events */
  bool done;         /* the end mark was seen */
  GString *got;      /* body, if answers are compared */
  char *text;        /* prompt or call */
  char req[24];      /* request id */
  int64_t number;    /* of the request */
  int tries;         /* sent so often */
};

/* The whole run. */
struct load
{
  struct options o;        /* command line */
  struct loop *loop;       /* events */
  struct xfer_pool *pool;  /* transfers */
  struct loop_timer timer; /* open loop */
  int64_t started;         /* requests started */
  int64_t ended;           /* and ended */
  int64_t begin_us;        /* of the run */
  int64_t answered, not_run, unknown, failed, other;
  int64_t events; /* streamed events */
  GArray *first;  /* times to first byte */
  GArray *total;  /* times to the end */
};

static void start_one (struct load *l);
static void send_shot (struct shot *s);

static void
on_header (void *arg, const char *line, size_t len)
{
  static const char name[] = "Camphorquay-Outcome: ";
  static const char id[] = "Camphorquay-Request-Id: ";
  struct shot *s = arg;
  size_t n = strlen (name);

  if (len > strlen (id) && strncmp (line, id, strlen (id)) == 0)
    g_strlcpy (s->req, line + strlen (id),
               MIN (sizeof s->req, len - strlen (id) - 1));
  if (len < n || strncmp (line, name, n) != 0)
    return;
  g_strlcpy (s->outcome, line + n, MIN (sizeof s->outcome, len - n - 1));
}

static enum xfer_body_result
on_body (void *arg, int status, const char *data, size_t len)
{
  struct shot *s = arg;
  const char *p = data;
  const char *end = data + len;

  (void)status;
  if (s->first_us == 0)
    s->first_us = loop_now_us ();
  if (s->load->o.verify)
    g_string_append_len (s->got, data, (gssize)len);
  for (; p < end; p++)
    {
      if (*p == '\n' && s->newline == '\n')
        s->events++;
      s->newline = *p;
    }
  if (g_strstr_len (data, (gssize)len, "[DONE]") != NULL)
    s->done = true;
  return XFER_CONTINUE;
}

/* The tokens of a stream, joined. */
static char *
joined_tokens (const char *body)
{
  static const char mark[] = "\"text\":\"";
  GString *text = g_string_new (NULL);
  const char *at = body;
  const char *end;

  while ((at = strstr (at, mark)) != NULL)
    {
      at += strlen (mark);
      end = strchr (at, '"');
      if (end == NULL)
        break;
      g_string_append_len (text, at, end - at);
    }
  return g_string_free (text, FALSE);
}

/* What the stand-in engine answers to this prompt. */
static char *
expected_tokens (const struct shot *s)
{
  GString *text = g_string_new (NULL);
  int64_t i;

  for (i = 0; i < s->load->o.tokens; i++)
    g_string_append_printf (text, "w%x-%d ", g_str_hash (s->text) & 0xfff,
                            (int)i);
  return g_string_free (text, FALSE);
}

/* A finished answer must be the whole one, a broken one its beginning. */
static bool
matches (const struct shot *s, bool good)
{
  g_autofree char *want = NULL;
  g_autofree char *got = NULL;

  if (s->load->o.call != NULL)
    {
      want = g_strdup_printf ("%s\n", s->text);
      return !good || g_str_has_suffix (s->got->str, want);
    }
  want = expected_tokens (s);
  got = joined_tokens (s->got->str);
  return good ? strcmp (want, got) == 0 : g_str_has_prefix (want, got);
}

static void
log_got (const struct shot *s, bool good, bool truncated)
{
  fprintf (stderr, "event=got req=%s match=%d good=%d outcome=%s\n",
           s->req[0] ? s->req : "none", !truncated && matches (s, good), good,
           s->outcome[0] ? s->outcome : "none");
}

static void
count_end (struct load *l, const struct shot *s, const struct xfer_end *end)
{
  bool good = end->complete && end->status == 200
              && (s->done || l->o.whole || l->o.call != NULL);

  if (good)
    l->answered++;
  else if (strcmp (s->outcome, "not-run") == 0)
    l->not_run++;
  else if (strcmp (s->outcome, "unknown") == 0)
    l->unknown++;
  else if (strcmp (s->outcome, "failed") == 0)
    l->failed++;
  else
    l->other++;
  if (good)
    {
      int64_t now = loop_now_us ();
      int64_t first = s->first_us - s->sent_us;
      int64_t total = now - s->sent_us;

      g_array_append_val (l->first, first);
      g_array_append_val (l->total, total);
    }
}

/* An idempotent call that was not answered goes to the next VM. */
static bool
again (struct load *l, struct shot *s, const struct xfer_end *end)
{
  bool good = end->complete && end->status == 200;
  bool finished = s->done || l->o.whole || l->o.call != NULL;

  /* A stream that ends normally without its end mark looks finished to
     anybody who only reads HTTP. */
  if (l->o.verify)
    log_got (s, good && finished, good && !finished);
  if (good || !l->o.idempotent || s->tries >= 3)
    return false;
  s->first_us = 0;
  s->outcome[0] = '\0';
  s->req[0] = '\0';
  g_string_truncate (s->got, 0);
  send_shot (s);
  return true;
}

static void
on_end (void *arg, const struct xfer_end *end)
{
  struct shot *s = arg;
  struct load *l = s->load;
  int i;

  if (again (l, s, end))
    return;
  count_end (l, s, end);
  l->events += s->events;
  l->ended++;
  for (i = 0; s->header[i] != NULL; i++)
    g_free (s->header[i]);
  g_free (s->body);
  g_free (s->text);
  g_string_free (s->got, TRUE);
  g_free (s);
  if (l->ended == l->o.count)
    loop_stop (l->loop);
  else if (l->o.rate == 0 && l->started < l->o.count)
    start_one (l);
}

static char *
make_text (struct load *l, int64_t number)
{
  char *text;
  g_autofree char *n = NULL;

  if (l->o.call != NULL)
    return g_strdup_printf ("call %" G_GINT64_FORMAT "-%d", (gint64)number,
                            (int)getpid ());
  text = g_malloc ((gsize)l->o.prompt_bytes + 1);
  memset (text, 'p', (size_t)l->o.prompt_bytes);
  text[l->o.prompt_bytes] = '\0';
  if (l->o.distinct > 0)
    number %= l->o.distinct;
  n = g_strdup_printf ("%" G_GINT64_FORMAT " ", (gint64)(l->o.first + number));
  if (!l->o.same)
    memcpy (text, n, MIN (strlen (n), (size_t)l->o.prompt_bytes));
  return text;
}

static char *
make_body (struct load *l, const char *text)
{
  if (l->o.call != NULL)
    return g_strdup (text);
  return g_strdup_printf ("{\"model\":\"model\",\"prompt\":\"%s\","
                          "\"max_tokens\":%" G_GINT64_FORMAT ",\"stream\":%s}",
                          text, (gint64)l->o.tokens,
                          l->o.whole ? "false" : "true");
}

static void
add_headers (struct load *l, struct shot *s)
{
  int n = 0;

  s->header[n++] = g_strdup ("Content-Type: application/json");
  if (l->o.key != NULL)
    s->header[n++] = g_strdup_printf ("Authorization: Bearer %s", l->o.key);
  if (l->o.urgent)
    s->header[n++] = g_strdup ("Camphorquay-Priority: urgent");
  if (l->o.deadline_ms > 0)
    s->header[n++]
        = g_strdup_printf ("Camphorquay-Deadline-Ms: %" G_GINT64_FORMAT,
                           (gint64)l->o.deadline_ms);
  if (l->o.idempotent)
    s->header[n++]
        = g_strdup_printf ("Idempotency-Key: %" G_GINT64_FORMAT "-%d",
                           (gint64)l->started, (int)getpid ());
}

/* One of the addresses, another one at each try. */
static char *
address_of (const struct shot *s)
{
  g_auto (GStrv) all = g_strsplit (s->load->o.address, ",", -1);
  guint n = g_strv_length (all);

  return g_strdup (all[(guint)(s->number + s->tries) % n]);
}

static void
send_shot (struct shot *s)
{
  static const struct xfer_events events
      = { .on_header = on_header, .on_body = on_body, .on_end = on_end };
  struct load *l = s->load;
  g_autofree char *address = address_of (s);
  g_autofree char *url
      = l->o.call != NULL
            ? g_strdup_printf ("http://%s/v1/call/%s/x", address, l->o.call)
            : g_strdup_printf ("http://%s/v1/completions", address);
  struct xfer_opts o = { .method = "POST", .events = &events, .arg = s };

  s->tries++;
  o.url = url;
  o.headers = (const char *const *)s->header;
  o.body = s->body;
  o.body_len = strlen (s->body);
  o.connect_timeout_ms = 5000;
  s->sent_us = loop_now_us ();
  xfer_start (l->pool, &o);
}

static void
start_one (struct load *l)
{
  struct shot *s = g_new0 (struct shot, 1);

  s->load = l;
  s->number = l->started;
  s->got = g_string_new (NULL);
  s->text = make_text (l, s->number);
  s->body = make_body (l, s->text);
  add_headers (l, s);
  l->started++;
  send_shot (s);
}

/* Open loop: a request starts when it is due, however many are under way. */
static void
on_timer (void *arg, int64_t now_us)
{
  struct load *l = arg;
  int64_t due;

  while (l->started < l->o.count)
    {
      due = l->begin_us + l->started * 1000000 / l->o.rate;
      if (due > now_us)
        {
          loop_arm (l->loop, &l->timer, due);
          return;
        }
      start_one (l);
    }
}

static int
by_value (const void *a, const void *b)
{
  int64_t x = *(const int64_t *)a;
  int64_t y = *(const int64_t *)b;

  return x < y ? -1 : x > y;
}

static int64_t
percentile (GArray *a, int percent)
{
  if (a->len == 0)
    return 0;
  return g_array_index (a, int64_t, (a->len - 1) * (guint)percent / 100);
}

static void
print_times (const char *name, GArray *a)
{
  qsort (a->data, a->len, sizeof (int64_t), by_value);
  printf ("%s_p50_us=%" G_GINT64_FORMAT "\n%s_p95_us=%" G_GINT64_FORMAT
          "\n%s_p99_us=%" G_GINT64_FORMAT "\n",
          name, (gint64)percentile (a, 50), name, (gint64)percentile (a, 95),
          name, (gint64)percentile (a, 99));
}

static void
print_result (struct load *l)
{
  double s = (double)(loop_now_us () - l->begin_us) / 1e6;

  printf ("answered=%d\nnot_run=%d\nunknown=%d\nfailed=%d\nother=%d\n",
          (int)l->answered, (int)l->not_run, (int)l->unknown, (int)l->failed,
          (int)l->other);
  printf ("requests_s=%.0f\nevents_s=%.0f\n", (double)l->ended / s,
          (double)l->events / s);
  print_times ("first", l->first);
  print_times ("whole", l->total);
}

/* --- command line ---------------------------------------------------- */

static const struct argp_option options[] = {
  { "address", 'a', "IP:PORT", 0, "Whom to ask", 0 },
  { "key", 'k', "KEY", 0, "Caller's key", 0 },
  { "count", 'n', "N", 0, "Requests in all", 0 },
  { "concurrency", 'c', "N", 0, "Requests at once", 0 },
  { "rate", 'r', "N", 0, "Requests a second, open loop", 0 },
  { "tokens", 't', "N", 0, "Tokens generated for each", 0 },
  { "prompt-bytes", 'p', "N", 0, "Bytes of each prompt", 0 },
  { "deadline-ms", 'd', "N", 0, "Deadline of each", 0 },
  { "call", 's', "SERVICE", 0, "Call a plain service", 0 },
  { "first", 'f', "N", 0, "Number of the first prompt", 0 },
  { "whole", 'w', 0, 0, "Ask for whole answers", 0 },
  { "urgent", 'u', 0, 0, "Mark as urgent", 0 },
  { "idempotent", 'i', 0, 0, "Send idempotency keys", 0 },
  { "verify", 'v', 0, 0, "Compare answers with the stand-ins' rule", 0 },
  { "distinct", 'D', "N", 0, "Prompts that return in turn", 0 },
  { "same", 'e', 0, 0, "Send equal prompts", 0 },
  { 0 },
};

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  struct options *o = state->input;
  int64_t n = arg ? g_ascii_strtoll (arg, NULL, 10) : 0;

  switch (key)
    {
    case 'a':
      o->address = arg;
      return 0;
    case 'k':
      o->key = arg;
      return 0;
    case 'n':
      o->count = n;
      return 0;
    case 'c':
      o->concurrency = n;
      return 0;
    case 'r':
      o->rate = n;
      return 0;
    case 't':
      o->tokens = n;
      return 0;
    case 'p':
      o->prompt_bytes = n;
      return 0;
    case 'd':
      o->deadline_ms = n;
      return 0;
    case 'f':
      o->first = n;
      return 0;
    case 's':
      o->call = arg;
      return 0;
    case 'w':
      o->whole = true;
      return 0;
    case 'u':
      o->urgent = true;
      return 0;
    case 'i':
      o->idempotent = true;
      return 0;
    case 'e':
      o->same = true;
      return 0;
    case 'v':
      o->verify = true;
      return 0;
    case 'D':
      o->distinct = n;
      return 0;
    case ARGP_KEY_END:
      if (o->address == NULL)
        argp_error (state, "--address is required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  struct argp argp = { options, parse, NULL, "Load generator.", 0, 0, 0 };
  struct load l = {
    .o = { .count = 100, .concurrency = 1, .tokens = 10, .prompt_bytes = 64 }
  };
  int64_t i;

  argp_parse (&argp, argc, argv, 0, NULL, &l.o);
  apr_initialize ();
  curl_global_init (CURL_GLOBAL_DEFAULT);
  l.loop = loop_new ();
  l.pool = xfer_pool_new (l.loop);
  l.first = g_array_new (FALSE, FALSE, sizeof (int64_t));
  l.total = g_array_new (FALSE, FALSE, sizeof (int64_t));
  l.timer.fire = on_timer;
  l.timer.arg = &l;
  l.begin_us = loop_now_us ();
  if (l.o.rate > 0)
    loop_arm (l.loop, &l.timer, l.begin_us);
  else
    for (i = 0; i < l.o.concurrency && i < l.o.count; i++)
      start_one (&l);
  loop_run (l.loop);
  print_result (&l);
  return 0;
}
