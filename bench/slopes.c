/*
 * Slopes of the deciding library: memory of a record, and work that callgrind
 * counts (see bench/slopes.sh).
 *
 *   bench/slopes route ENDPOINTS PREFIXES DECISIONS
 *   bench/slopes memory prefixes|kept|endpoints|workspaces N
 */
#include <glib.h>
#include <glib/gstdio.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "decide.h"
#include "settings.h"

#define CHAIN 16 /* blocks of a prompt of 2048 tokens */

static size_t
heap (void)
{
  struct mallinfo2 m = mallinfo2 ();

  return m.uordblks + m.hblkhd;
}

static void
make_chain (uint64_t prompt, uint64_t *digests)
{
  int i;

  for (i = 0; i < CHAIN; i++)
    digests[i] = (prompt + 1) * UINT64_C (0x9e3779b97f4a7c15) + (uint64_t)i;
}

static struct route_table *
make_routes (int n)
{
  struct route_table *t = route_new (1);
  struct route_opts o = { .name = "e", .slots = 64 };
  struct route_report r = { .at_us = 1, .version = "v1" };
  int i;

  o.prefill_tokens_s = 8000;
  for (i = 0; i < n; i++)
    {
      o.rtt_us = 500 + i % 7;
      route_add (t, &o);
      r.queued_tokens = (i * 37) % 4000;
      route_set_report (t, i, &r);
    }
  return t;
}

/* Decisions as a VM takes them: look up, choose, note. */
static void
run_route (int endpoints, int prefixes, int decisions)
{
  struct route_table *t = make_routes (endpoints);
  struct pfx *p = pfx_new ((size_t)prefixes * CHAIN + 1, endpoints);
  struct route_query q = { .version = "v1", .block_tokens = 128 };
  uint64_t digests[CHAIN];
  struct pfx_hit hits[32];
  struct route_choice c;
  int i;

  q.weights.first = 100;
  q.prompt_tokens = 2100;
  q.hits = hits;
  for (i = 0; i < prefixes; i++)
    {
      make_chain ((uint64_t)i, digests);
      pfx_record (p, digests, CHAIN, i % endpoints);
    }
  for (i = 0; i < decisions; i++)
    {
      make_chain ((uint64_t)(i * 13 % prefixes), digests);
      q.nhits = pfx_lookup (p, digests, CHAIN, hits, 32);
      c = route_pick (t, &q, 1000 + i);
      route_sent (t, c.endpoint, 100, 1000 + i);
      pfx_record (p, digests, CHAIN, c.endpoint);
      route_done (t, c.endpoint);
    }
}

static void
fill_prefixes (int n)
{
  struct pfx *p = pfx_new ((size_t)n, 1024);
  uint64_t d;
  int i;

  for (i = 0; i < n; i++)
    {
      d = (uint64_t)i;
      pfx_record (p, &d, 1, i % 1024);
    }
}

static void
fill_kept (int n)
{
  struct dir *d = dir_new ((size_t)n);
  int i;

  for (i = 0; i < n; i++)
    dir_add (d, (uint64_t)i, i % 16, (uint64_t)i, i);
}

static void
fill_endpoints (int n)
{
  make_routes (n);
}

/* Workspaces as settings hold them. */
static void
fill_workspaces (int n)
{
  GString *text = g_string_new ("[vm]\nname=a\ndomain=d\nlisten=127.0.0.1:0\n"
                                "[service model]\nversion=v1\n");
  char *file = NULL;
  GError *err = NULL;
  int fd = g_file_open_tmp ("slopesXXXXXX", &file, NULL);
  int i;

  for (i = 0; i < n; i++)
    g_string_append_printf (text,
                            "[workspace ws%d]\nservices=model\nkeys=%032d:"
                            "%064d\ntokens_s=1000\n",
                            i, i, i);
  g_close (fd, NULL);
  g_file_set_contents (file, text->str, -1, NULL);
  g_string_free (text, TRUE);
  malloc_trim (0);
  if (cfg_load (file, NULL, &err) == NULL)
    g_error ("%s", err->message);
  remove (file);
  g_free (file);
}

/* What can be filled. */
struct filler
{
  const char *name;
  void (*fill) (int n);
};

static const struct filler fillers[] = {
  { "prefixes", fill_prefixes },
  { "kept", fill_kept },
  { "endpoints", fill_endpoints },
  { "workspaces", fill_workspaces },
};

int
main (int argc, char **argv)
{
  size_t before, i;
  int n;

  if (argc == 5 && strcmp (argv[1], "route") == 0)
    {
      run_route (atoi (argv[2]), atoi (argv[3]), atoi (argv[4]));
      return 0;
    }
  for (i = 0; argc == 4 && i < G_N_ELEMENTS (fillers); i++)
    if (strcmp (fillers[i].name, argv[2]) == 0)
      {
        n = atoi (argv[3]);
        before = heap ();
        fillers[i].fill (n);
        printf ("%s n=%d bytes_each=%.0f\n", fillers[i].name, n,
                (double)(heap () - before) / n);
        return 0;
      }
  return 2;
}
