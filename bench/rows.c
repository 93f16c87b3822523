/*
 * What it costs to read the list of endpoints where other writers spoil some
 * entries: rows [COUNT] prints microseconds of a core for a table of COUNT
 * good entries, and for one of which every second one is spoiled.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "platform/platform.h"

#define ROUNDS 400

static const char good[]
    = "{\"Service\":\"app\",\"Address\":\"10.0.0.1:80\",\"Zone\":\"d\","
      "\"Version\":\"v1\",\"Slots\":16,\"State\":\"ready\",\"Seq\":7,"
      "\"ColdRemainingMs\":0,\"Stage\":\"colocated\",\"Models\":[{\"Name\":"
      "\"m1\",\"Version\":1,\"Adapters\":[]}],\"born\":1785000000000}";

/* Each is wrong in another way, and as long as a good one or longer. */
static const char *const spoiled[] = {
  "{\"Service\":\"app\",\"Address\":\"10.0.0.1:80\",\"Zone\":\"d\",\"Slots\":"
  "16,"
  "\"State\":\"asleep\",\"Seq\":7,\"ColdRemainingMs\":0,\"Stage\":"
  "\"colocated\",\"Models\":[{\"Name\":\"m1\",\"Version\":1}],\"born\":1}",
  "{\"Service\":[\"app\"],\"Address\":\"10.0.0.1:80\",\"Zone\":\"d\","
  "\"Slots\":"
  "16,\"State\":\"ready\",\"Seq\":7,\"ColdRemainingMs\":0,\"Stage\":"
  "\"colocated\",\"Models\":[{\"Name\":\"m1\",\"Version\":1}],\"born\":1}",
  "{\"Service\":\"app\",\"Address\":\"10.0.0.1:80\",\"Zone\":\"d\",\"Slots\":"
  "16,"
  "\"State\":\"ready\",\"Seq\":7,\"ColdRemainingMs\":0,\"Stage\":"
  "\"colocated\",\"Models\":[{\"Name\":\"m1\",\"Version\":1}],\"born\":\"1\"",
};

static char *
table (int count, bool with_spoiled)
{
  GString *s = g_string_new ("{\"Ver\":9,\"Rows\":[");
  int i;

  for (i = 0; i < count; i++)
    {
      const char *text = with_spoiled && i % 2
                             ? spoiled[i / 2 % (int)G_N_ELEMENTS (spoiled)]
                             : good;
      g_autofree char *coded
          = g_base64_encode ((const guchar *)text, strlen (text));

      g_string_append_printf (s,
                              "%s{\"Table\":\"servers\",\"part\":\"\",\"Key\":"
                              "\"i-%08x\",\"Value\":\"%s\",\"Ver\":%d}",
                              i > 0 ? "," : "", i, coded, i + 1);
    }
  g_string_append (s, "],\"HasMore\":false}");
  return g_string_free (s, FALSE);
}

static double
cost_us (const char *text)
{
  size_t len = strlen (text);
  clock_t began = clock ();
  int i;

  for (i = 0; i < ROUNDS; i++)
    {
      struct follow_reply n = { 0 };

      n.items = g_array_new (FALSE, TRUE, sizeof (struct follow_item));
      if (!pdecode_rows (text, len, &n))
        abort ();
      pdecode_clear (&n);
    }
  return (double)(clock () - began) * 1e6 / CLOCKS_PER_SEC / ROUNDS;
}

int
main (int argc, char **argv)
{
  int count = argc > 1 ? atoi (argv[1]) : 140;
  g_autofree char *all = table (count, false);
  g_autofree char *half = table (count, true);
  double a, b;

  cost_us (all);
  a = cost_us (all);
  b = cost_us (half);
  printf ("entries=%d good_us=%.0f half_spoiled_us=%.0f ratio=%.2f\n", count,
          a, b, b / a);
  return 0;
}
