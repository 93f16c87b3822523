/*
 * The search of the model checker: model [-a] [-v] [-f N]
 * lease|announcements|burst|keys|restarts|streams [CASE], or model shares
 *
 * Prints a line for each safeguard that is switched off: whether the search
 * finds a run that breaks a property, after how many runs and states, and the
 * steps of that run.  With -v it also prints what happened in that run; -f
 * allows N faults in a run; -a continues after a run that fails and counts the
 * failed runs.
 */
#include "model.h"

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define MAX_CHOICES 1024 /* of one run */

/* One answer to the question what happens at a step. */
struct choice
{
  int taken; /* the alternative of this run */
  int ways;  /* number of alternatives */
};

/* State of the search. */
struct search
{
  struct choice choices[MAX_CHOICES]; /* choices of the run, in order */
  int nchoices;                       /* choices made so far */
  int planned;                        /* choices that the plan fixes */
  int faults;                         /* faults that the run may still have */
  int most;           /* maximum of faults by -f; 0: the case's */
  int64_t runs;       /* runs so far */
  int64_t states;     /* states reached in all runs */
  int64_t steps;      /* of this run */
  bool all;           /* continue after the first run that fails */
  int64_t failed;     /* runs that broke a property */
  int64_t worst;      /* worst figure of these runs */
  const char *broken; /* the broken property, or NULL */
  int64_t figure;     /* by how much it was broken */
  GString *notes;     /* of this run */
};

static struct search search;

int
model_pick (int n)
{
  struct choice *c;

  if (n <= 1)
    return 0;
  if (search.nchoices == MAX_CHOICES)
    g_error ("more than %d choices in a run", MAX_CHOICES);
  c = &search.choices[search.nchoices];
  if (search.nchoices++ >= search.planned)
    c->taken = 0;
  c->ways = n;
  return c->taken;
}

int
model_fault (int n)
{
  int way = search.faults > 0 ? model_pick (n) : 0;

  search.faults -= way > 0;
  return way;
}

void
model_step (void)
{
  search.states++;
  search.steps++;
}

void
model_fail (const char *what, int64_t figure)
{
  if (search.broken != NULL)
    return;
  search.broken = what;
  search.figure = figure;
}

bool
model_has_failed (void)
{
  return search.broken != NULL;
}

void
model_note (const char *fmt, ...)
{
  va_list ap;

  if (search.notes == NULL || search.broken != NULL)
    return;
  va_start (ap, fmt);
  g_string_append_vprintf (search.notes, fmt, ap);
  va_end (ap);
}

/* Plans the next run; returns false if all were done. */
static bool
plan_next (void)
{
  struct choice *c;
  int i;

  for (i = search.nchoices - 1; i >= 0; i--)
    {
      c = &search.choices[i];
      if (++c->taken < c->ways)
        break;
    }
  search.planned = i + 1;
  return i >= 0;
}

static void
run_case (const struct model_case *model, int faults)
{
  search.nchoices = 0;
  search.faults = faults;
  search.steps = 0;
  search.runs++;
  if (search.notes != NULL)
    g_string_truncate (search.notes, 0);
  model->run (model);
  if (search.broken == NULL)
    return;
  if (search.failed++ == 0 || search.figure > search.worst)
    {
      search.worst = search.figure;
      if (search.all && search.notes != NULL)
        printf ("worst so far: %s %" G_GINT64_FORMAT "\n%s", search.broken,
                (gint64)search.worst, search.notes->str);
    }
  if (search.all)
    search.broken = NULL;
}

static void
search_with (const struct model_case *model, int faults)
{
  search.planned = 0;
  do
    run_case (model, faults);
  while (search.broken == NULL && plan_next ());
}

static int
most_faults (const struct model_case *model)
{
  return search.most > 0 ? search.most : model->faults;
}

/* If a switched-off safeguard matters, that shows first in a run with few
   faults. */
static void
search_all (const struct model_case *model)
{
  int most = most_faults (model);
  int faults = model->off != 0 ? 0 : most;

  search.runs = 0;
  search.states = 0;
  search.broken = NULL;
  search.failed = 0;
  for (; faults <= most && search.broken == NULL; faults++)
    search_with (model, faults);
}

static void
print_result (const struct model_case *model)
{
  printf ("%s: faults<=%d runs=%" G_GINT64_FORMAT " states=%" G_GINT64_FORMAT,
          model->name, most_faults (model), (gint64)search.runs,
          (gint64)search.states);
  if (search.broken != NULL)
    printf (" found: %s (%" G_GINT64_FORMAT " ms) steps=%" G_GINT64_FORMAT,
            search.broken, (gint64)search.figure, (gint64)search.steps);
  else if (search.failed > 0)
    printf (" found in %" G_GINT64_FORMAT " runs, worst %" G_GINT64_FORMAT,
            (gint64)search.failed, (gint64)search.worst);
  else
    printf (" not found");
  putchar ('\n');
  if (search.broken != NULL && search.notes != NULL)
    fputs (search.notes->str, stdout);
  fflush (stdout);
}

static const struct model_case *
cases_of (const char *name)
{
  if (strcmp (name, "lease") == 0)
    return model_lease_cases;
  if (strcmp (name, "announcements") == 0)
    return model_announcement_cases;
  if (strcmp (name, "burst") == 0)
    return model_burst_cases;
  if (strcmp (name, "restarts") == 0)
    return model_restart_cases;
  if (strcmp (name, "streams") == 0)
    return model_stream_cases;
  return strcmp (name, "keys") == 0 ? model_keys_cases : NULL;
}

int
main (int argc, char **argv)
{
  const struct model_case *m;
  const char *only;
  int option;

  while ((option = getopt (argc, argv, "avf:")) != -1)
    {
      if (option == 'v')
        search.notes = g_string_new (NULL);
      else if (option == 'a')
        search.all = true;
      else if (option == 'f')
        search.most = atoi (optarg);
    }
  if (optind < argc && strcmp (argv[optind], "shares") == 0)
    {
      model_print_stream_shares ();
      return 0;
    }
  m = optind < argc ? cases_of (argv[optind]) : NULL;
  if (m == NULL)
    {
      fprintf (stderr, "usage: model [-a] [-v] [-f N] "
                       "lease|announcements|burst|keys|restarts|streams "
                       "[CASE]\n");
      return 2;
    }
  only = optind + 1 < argc ? argv[optind + 1] : NULL;
  for (; m->name != NULL; m++)
    if (only == NULL || strcmp (only, m->name) == 0)
      {
        search_all (m);
        print_result (m);
      }
  if (search.notes != NULL)
    g_string_free (search.notes, TRUE);
  return 0;
}
