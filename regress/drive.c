/*
 * Scripted runs of the decision library: reads one command per line, with
 * times given in the script, and prints the decisions.  Comment lines, which
 * start with "#", are copied to the output to explain what is expected.
 */
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "decide.h"
#include "wire.h"

#define MAX_WORDS 16
#define MAX_NAMED 64

/* Words of the current line. */
static char *words[MAX_WORDS];
static int nwords;

static struct route_table *routes;
static struct fq queue;
static struct budget budget;

/* A workspace of the script. */
struct named_workspace
{
  char *name;
  struct lim_workspace lim;
  struct fq_flow flows[FQ_CLASSES];
};

/* A request of the script. */
struct named_entry
{
  char *name;
  struct fq_entry entry;
};

static struct named_workspace workspaces[MAX_NAMED];
static int nworkspaces;
static struct named_entry entries[MAX_NAMED];
static int nentries;

static int64_t
number (int i)
{
  return i < nwords ? g_ascii_strtoll (words[i], NULL, 10) : 0;
}

static const char *
word (int i)
{
  return i < nwords ? words[i] : "";
}

/* Value of the word "NAME=VALUE", or the fallback. */
static const char *
option (const char *name, const char *fallback)
{
  size_t n = strlen (name);
  int i;

  for (i = 1; i < nwords; i++)
    if (strncmp (words[i], name, n) == 0 && words[i][n] == '=')
      return words[i] + n + 1;
  return fallback;
}

static int64_t
option_number (const char *name, int64_t fallback)
{
  const char *s = option (name, NULL);

  return s ? g_ascii_strtoll (s, NULL, 10) : fallback;
}

/* --- limits ---------------------------------------------------------- */

static struct named_workspace *
workspace (const char *name)
{
  int i;

  for (i = 0; i < nworkspaces; i++)
    if (strcmp (workspaces[i].name, name) == 0)
      return &workspaces[i];
  g_error ("no workspace %s", name);
}

static void
do_workspace (void)
{
  struct named_workspace *w = &workspaces[nworkspaces++];
  struct lim_opts o
      = { .concurrency = (int)option_number ("concurrency", 64) };

  o.queue_max = (int)option_number ("queue_max", 64);
  o.body_max = option_number ("body_max", 1000);
  o.tokens_s = option_number ("tokens_s", 0);
  o.token_burst = option_number ("burst", 1000);
  w->name = g_strdup (word (1));
  lim_init (&w->lim, &o, 0);
  fq_flow_init (&w->flows[FQ_URGENT], &w->lim, FQ_URGENT);
  fq_flow_init (&w->flows[FQ_NORMAL], &w->lim, FQ_NORMAL);
}

/* admit WORKSPACE TIME COST [body=N] */
static void
do_admit (void)
{
  struct named_workspace *w = workspace (word (1));
  struct lim_verdict v
      = lim_admit (&w->lim, number (2), number (3), option_number ("body", 0));

  printf ("%s: %s", w->name, lim_name (v.code));
  if (v.retry_after_us > 0)
    printf (", again in %" G_GINT64_FORMAT " us", (gint64)v.retry_after_us);
  putchar ('\n');
}

static void
do_refund (void)
{
  lim_refund (&workspace (word (1))->lim, number (2));
}

/* --- fair queue ------------------------------------------------------ */

static void
do_queue (void)
{
  fq_init (&queue, (int)option_number ("max", 100),
           (int)option_number ("reserve", 0), option_number ("quantum", 100));
  queue.hold_us = option_number ("hold", 0);
}

static const char *
entry_name (const struct fq_entry *e)
{
  int i;

  for (i = 0; i < nentries; i++)
    if (&entries[i].entry == e)
      return entries[i].name;
  return "?";
}

/* push NAME WORKSPACE urgent|normal TIME [cost=N] [deadline=T] [places=N] */
static void
do_push (void)
{
  static const char *const names[] = { "queued", "full", "too late" };
  struct named_workspace *w = workspace (word (2));
  struct named_entry *e = &entries[nentries++];
  enum fq_class class = strcmp (word (3), "urgent") == 0 ? FQ_URGENT
                                                         : FQ_NORMAL;
  struct fq_verdict v;

  e->name = g_strdup (word (1));
  e->entry.cost = option_number ("cost", 100);
  e->entry.deadline_us = option_number ("deadline", G_MAXINT64);
  v = fq_push (&queue, &w->flows[class], &e->entry,
               (int)option_number ("places", 1), number (4));
  printf ("%s: %s, expected wait %" G_GINT64_FORMAT " us", e->name,
          names[v.code], (gint64)v.wait_us);
  if (v.evicted != NULL)
    printf (", evicts %s", entry_name (v.evicted));
  putchar ('\n');
}

/* pop FREE_SLOTS [COUNT] [share=N]: starts requests, which then hold slots. */
static void
do_pop (void)
{
  int64_t n = nwords > 2 && strchr (word (2), '=') == NULL ? number (2) : 1;
  struct fq_entry *e;

  printf ("starts:");
  while (n-- > 0)
    {
      e = fq_pop (&queue, (int)number (1), (int)option_number ("share", 99));
      printf (" %s", e ? entry_name (e) : "nothing");
      if (e == NULL)
        break;
    }
  putchar ('\n');
}

/* release WORKSPACE: one of its normal requests releases its slot. */
static void
do_release (void)
{
  fq_finished (&workspace (word (1))->flows[FQ_NORMAL]);
}

static void
do_budget (void)
{
  budget_init (&budget, (int)number (1), (int)number (2));
}

/* outage REQUESTS: each request fails once and tries to get a retry. */
static void
do_outage (void)
{
  int64_t n = number (1);
  int retries = 0;
  int64_t i;

  for (i = 0; i < n; i++)
    {
      budget_earn (&budget);
      retries += budget_spend (&budget);
    }
  printf ("%" G_GINT64_FORMAT " requests, %d retries\n", (gint64)n, retries);
}

/* --- routing --------------------------------------------------------- */

static int
endpoint (const char *name)
{
  int i;

  for (i = 0; i < route_count (routes); i++)
    if (strcmp (route_get (routes, i)->opts.name, name) == 0)
      return i;
  g_error ("no endpoint %s", name);
}

static void
do_routes (void)
{
  route_free (routes);
  routes = route_new ((uint64_t)number (1));
}

static void
do_endpoint (void)
{
  struct route_opts o = { .name = g_strdup (word (1)) };

  o.service = (int)option_number ("service", 0);
  o.local = true;
  o.rtt_us = option_number ("rtt", 500);
  o.slots = (int)option_number ("slots", 4);
  o.prefill_tokens_s = option_number ("prefill", 1000);
  o.decode_us = option_number ("decode", 0);
  route_add (routes, &o);
}

static void
do_report (void)
{
  struct route_report r = { .at_us = number (2) };

  r.running = (int)option_number ("running", 0);
  r.queued_tokens = option_number ("queued", 0);
  r.leaving = option_number ("leaving", 0) != 0;
  g_strlcpy (r.version, option ("version", "v1"), sizeof r.version);
  g_strlcpy (r.incarnation, option ("incarnation", "1"), sizeof r.incarnation);
  route_set_report (routes, endpoint (word (1)), &r);
}

/* pick TIME [tokens=N] [version=V] [hit=NAME:BLOCKS] [not=NAME] [count=N] */
static void
do_pick (void)
{
  const char *hit = option ("hit", NULL);
  const char *not = option ("not", NULL);
  struct pfx_hit h;
  int excluded = 0;
  struct route_query q = { .service = (int)option_number ("service", 0) };
  int64_t n = option_number ("count", 1);
  struct route_choice c;

  q.version = option ("version", "v1");
  q.prompt_tokens = option_number ("tokens", 0);
  q.block_tokens = 128;
  q.weights.first = 100;
  if (hit != NULL)
    {
      g_auto (GStrv) parts = g_strsplit (hit, ":", 2);

      h.endpoint = endpoint (parts[0]);
      h.blocks = atoi (parts[1]);
      h.probability_permille = 1000;
      q.hits = &h;
      q.nhits = 1;
    }
  if (not != NULL)
    {
      excluded = endpoint (not );
      q.exclude = &excluded;
      q.nexclude = 1;
    }
  while (n-- > 0)
    {
      c = route_pick (routes, &q, number (1));
      if (c.code != ROUTE_CHOSEN)
        {
          printf ("none: %s\n", route_code_name (c.code));
          return;
        }
      printf ("%s: cost %" G_GINT64_FORMAT " = queue %" G_GINT64_FORMAT
              " + compute %" G_GINT64_FORMAT " + network %" G_GINT64_FORMAT
              " us, cached %" G_GINT64_FORMAT ", near %d of %d\n",
              route_get (routes, c.endpoint)->opts.name, (gint64)c.cost_us,
              (gint64)c.queue_us, (gint64)c.compute_us, (gint64)c.network_us,
              (gint64)c.cached_tokens, c.near_best, c.candidates);
      route_sent (routes, c.endpoint, q.prompt_tokens - c.cached_tokens,
                  number (1));
    }
}

static void
do_result (void)
{
  static const char *const names[] = { "reached", "broke", "unreached" };
  int i;

  for (i = 0; i < 3; i++)
    if (strcmp (word (2), names[i]) == 0)
      route_result (routes, endpoint (word (1)), i, number (3));
}

static void
do_done (void)
{
  route_done (routes, endpoint (word (1)));
}

static void
do_state (void)
{
  int i = endpoint (word (1));

  printf ("%s: %s\n", word (1),
          route_state_name (route_state (route_get (routes, i), number (2))));
}

/* --- kept work ------------------------------------------------------- */

static struct keep keep;

/* plan tokens=N cached=N queue=US prefill=N [store=N wait=US rate=N]
   [first=W recompute=W link=W] */
static void
do_plan (void)
{
  struct plan_in in = { .prompt_tokens = option_number ("tokens", 0) };
  struct plan_source s = { .tokens = option_number ("store", 0) };
  struct plan_weights w = { (int)option_number ("first", 100),
                            (int)option_number ("recompute", 0),
                            (int)option_number ("link", 0) };
  struct plan p;

  in.cached_tokens = option_number ("cached", 0);
  in.queue_us = option_number ("queue", 0);
  in.prefill_tokens_s = option_number ("prefill", 1000);
  in.segment_tokens = 512;
  s.wait_us = option_number ("wait", 0);
  s.tokens_s = option_number ("rate", 10000);
  p = plan_best (&in, &s, s.tokens > 0 ? 1 : 0, &w);
  printf ("%s up to %" G_GINT64_FORMAT ", compute %" G_GINT64_FORMAT
          " us, first token %" G_GINT64_FORMAT " us, score %" G_GINT64_FORMAT
          "\n",
          p.store < 0 ? "no import" : "import", (gint64)p.import_end_tokens,
          (gint64)p.compute_us, (gint64)p.first_us, (gint64)p.score);
}

/* uses COUNT / returns COUNT SECONDS: prompts used, and returned after a gap
 */
static void
do_uses (void)
{
  int64_t n;

  for (n = number (1); n > 0; n--)
    keep_used (&keep);
}

static void
do_returns (void)
{
  int64_t n;

  for (n = number (1); n > 0; n--)
    keep_returned (&keep, number (2) * CQ_US_PER_S);
}

/* chance AGE_S SPAN_S */
static void
do_chance (void)
{
  printf ("%" G_GINT64_FORMAT " in a million\n",
          (gint64)keep_return_ppm (&keep, number (1) * CQ_US_PER_S,
                                   number (2) * CQ_US_PER_S));
}

/* worth AGE_S: value of keeping 512 tokens in 30 MB for six hours */
static void
do_worth (void)
{
  struct keep_in in = { .tokens = 512, .bytes = 30000000 };

  in.prefill_tokens_s = option_number ("prefill", 8000);
  in.link_bytes_s = option_number ("link", 2500000000);
  in.age_us = number (1) * CQ_US_PER_S;
  in.span_us = 21600 * CQ_US_PER_S;
  printf ("%" G_GINT64_FORMAT " us a megabyte\n",
          (gint64)keep_value_us (&keep, &in));
}

/* --- claims ---------------------------------------------------------- */

/* row held|done ATTEMPT DIGEST GIVE_UP_MS, as read by ATTEMPT DIGEST at MS */
static void
do_row (void)
{
  struct claim_row r
      = { .phase = strcmp (word (1), "done") == 0 ? CLAIM_DONE : CLAIM_HELD };

  r.attempt = word (2);
  r.digest = word (3);
  r.give_up_ms = number (4);
  printf ("%s\n",
          claim_name (claim_evaluate (&r, word (5), word (6), number (7))));
}

static void
do_maysend (void)
{
  printf ("%s\n", claim_may_send (number (1), number (2), number (3))
                      ? "may send"
                      : "may not send");
}

/* --- commands -------------------------------------------------------- */

/* A command of the scripts. */
struct command
{
  const char *name;   /* first word of the line */
  void (*run) (void); /* reads its arguments from words */
};

static const struct command commands[] = {
  { "workspace", do_workspace }, { "admit", do_admit },
  { "refund", do_refund },       { "queue", do_queue },
  { "push", do_push },           { "pop", do_pop },
  { "release", do_release },     { "budget", do_budget },
  { "outage", do_outage },       { "routes", do_routes },
  { "endpoint", do_endpoint },   { "report", do_report },
  { "pick", do_pick },           { "result", do_result },
  { "done", do_done },           { "state", do_state },
  { "plan", do_plan },           { "uses", do_uses },
  { "returns", do_returns },     { "chance", do_chance },
  { "worth", do_worth },         { "row", do_row },
  { "maysend", do_maysend },
};

static void
run_line (char *line)
{
  char *save = NULL;
  char *w;
  size_t i;

  nwords = 0;
  for (w = strtok_r (line, " \n", &save); w != NULL && nwords < MAX_WORDS;
       w = strtok_r (NULL, " \n", &save))
    words[nwords++] = w;
  for (i = 0; nwords > 0 && i < G_N_ELEMENTS (commands); i++)
    if (strcmp (commands[i].name, words[0]) == 0)
      {
        commands[i].run ();
        return;
      }
  if (nwords > 0)
    printf ("unknown command %s\n", words[0]);
}

int
main (void)
{
  char line[1024];

  routes = route_new (1);
  while (fgets (line, sizeof line, stdin) != NULL)
    if (line[0] == '#')
      fputs (line, stdout);
    else
      run_line (line);
  return 0;
}
