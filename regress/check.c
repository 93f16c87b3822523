/*
 * History checker: reads the log lines of all VMs, simulated back ends and
 * callers of a run, in any order, and checks the invariants of the system.
 *
 *   regress/check < LINES
 *
 * Prints a line for each violation and a count; exits with status 1 if there
 * are any.
 */
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#define LEAVE_GRACE_US INT64_C (3000000) /* tolerance after "leaving" */

/* A log line of key=value pairs. */
struct line
{
  char *text;    /* the line, with a leading space */
  int64_t at_us; /* time of day in microseconds */
};

static GPtrArray *lines;
static int violations;

static void
fail (const char *invariant, const char *detail)
{
  printf ("BROKEN %s: %s\n", invariant, detail);
  violations++;
}

/* Returns the value of a field, "" if absent. */
static char *
field (const struct line *l, const char *name)
{
  g_autofree char *start = g_strdup_printf (" %s=", name);
  const char *at = strstr (l->text, start);
  const char *end;

  if (at == NULL)
    return g_strdup ("");
  at += strlen (start);
  end = strchr (at, ' ');
  return end != NULL ? g_strndup (at, (gsize)(end - at)) : g_strdup (at);
}

static bool
is_event (const struct line *l, const char *event)
{
  g_autofree char *e = field (l, "event");

  return strcmp (e, event) == 0;
}

static int64_t
time_of (const char *text)
{
  const char *t = strstr (text, "time=");
  int h = 0, m = 0;
  double s = 0;

  if (t != NULL)
    sscanf (t, "time=%*d-%*d-%*dT%d:%d:%lf", &h, &m, &s);
  return (int64_t)((h * 3600 + m * 60 + s) * 1e6);
}

static struct line *
line_at (guint i)
{
  return g_ptr_array_index (lines, i);
}

/* --- invariants --- */

/* A non-idempotent call with an idempotency key runs at most once. */
static void
check_at_most_once (void)
{
  g_autoptr (GHashTable) runs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  guint i;

  for (i = 0; i < lines->len; i++)
    {
      g_autofree char *call = field (line_at (i), "call");

      if (!is_event (line_at (i), "ran") || call[0] == '\0')
        continue;
      if (!g_hash_table_add (runs, g_strdup (call)))
        fail ("at-most-once", call);
    }
}

/* No attempt of a request that ended as not-run ran at an endpoint. */
static void
check_not_run (void)
{
  g_autoptr (GHashTable) ran
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  guint i;

  for (i = 0; i < lines->len; i++)
    if (is_event (line_at (i), "ran"))
      {
        g_autofree char *attempt = field (line_at (i), "attempt");
        char *dot = strchr (attempt, '.');

        if (dot != NULL)
          *dot = '\0';
        g_hash_table_add (ran, g_strdup (attempt));
      }
  for (i = 0; i < lines->len; i++)
    {
      g_autofree char *req = field (line_at (i), "req");
      g_autofree char *outcome = field (line_at (i), "outcome");

      if (is_event (line_at (i), "finish") && strcmp (outcome, "not-run") == 0
          && g_hash_table_contains (ran, req))
        fail ("not-run-is-true", req);
    }
}

/* No cache scope is used by two workspaces. */
static void
check_isolation (void)
{
  g_autoptr (GHashTable) workspace
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_autoptr (GHashTable) owner
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  guint i;

  for (i = 0; i < lines->len; i++)
    if (is_event (line_at (i), "accept"))
      g_hash_table_insert (workspace, field (line_at (i), "req"),
                           field (line_at (i), "workspace"));
  for (i = 0; i < lines->len; i++)
    {
      g_autofree char *scope = field (line_at (i), "scope");
      g_autofree char *attempt = field (line_at (i), "attempt");
      const char *ws, *before;

      if (!is_event (line_at (i), "ran") || scope[0] == '\0')
        continue;
      attempt[strcspn (attempt, ".")] = '\0';
      ws = g_hash_table_lookup (workspace, attempt);
      before = g_hash_table_lookup (owner, scope);
      if (ws != NULL && before != NULL && strcmp (ws, before) != 0)
        fail ("isolation", scope);
      if (ws != NULL && before == NULL)
        g_hash_table_insert (owner, g_strdup (scope), g_strdup (ws));
    }
}

/* A cache scope belongs to one weight version. */
static void
check_versions (void)
{
  g_autoptr (GHashTable) version
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  guint i;

  for (i = 0; i < lines->len; i++)
    {
      g_autofree char *scope = field (line_at (i), "scope");
      g_autofree char *v = field (line_at (i), "version");
      g_autofree char *hit = field (line_at (i), "cached");
      const char *before;

      if (!is_event (line_at (i), "ran") || scope[0] == '\0')
        continue;
      before = g_hash_table_lookup (version, scope);
      if (before != NULL && strcmp (before, v) != 0 && strcmp (hit, "0") != 0)
        fail ("weight-version", scope);
      if (before == NULL)
        g_hash_table_insert (version, g_strdup (scope), g_strdup (v));
    }
}

/* An engine uses no segment that failed verification. */
static void
check_segments (void)
{
  guint i;

  for (i = 0; i < lines->len; i++)
    {
      g_autofree char *good = field (line_at (i), "verified");
      g_autofree char *name = field (line_at (i), "segment");

      if (is_event (line_at (i), "used") && strcmp (good, "1") != 0)
        fail ("whole-blocks", name);
    }
}

/* Callers get the answer to their own request, which they compare. */
static void
check_answers (void)
{
  guint i;

  for (i = 0; i < lines->len; i++)
    {
      g_autofree char *match = field (line_at (i), "match");
      g_autofree char *req = field (line_at (i), "req");

      if (is_event (line_at (i), "got") && strcmp (match, "1") != 0)
        fail ("whole-answer", req);
    }
}

/* Removes the requests of VM from OPEN; each is a violation if the VM stopped
   as planned. */
static void
end_incarnation (GHashTable *open, const char *vm, bool planned)
{
  GHashTableIter it;
  gpointer req, who;

  g_hash_table_iter_init (&it, open);
  while (g_hash_table_iter_next (&it, &req, &who))
    {
      if (strcmp (who, vm) != 0)
        continue;
      if (planned)
        fail ("planned-stop", req);
      g_hash_table_iter_remove (&it);
    }
}

/* A VM that exits by itself has ended every request that it accepted.  One
   that was killed could not. */
static void
check_stops (void)
{
  g_autoptr (GHashTable) open
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  guint i;

  for (i = 0; i < lines->len; i++)
    {
      g_autofree char *req = field (line_at (i), "req");
      g_autofree char *vm = field (line_at (i), "vm");

      if (is_event (line_at (i), "accept"))
        g_hash_table_insert (open, g_strdup (req), g_strdup (vm));
      else if (is_event (line_at (i), "finish"))
        g_hash_table_remove (open, req);
      else if (is_event (line_at (i), "listen")
               || is_event (line_at (i), "exit"))
        end_incarnation (open, vm, is_event (line_at (i), "exit"));
    }
}

/* An endpoint gets no new requests later than LEAVE_GRACE_US after it reported
   that it is leaving. */
static void
check_leaving (void)
{
  g_autoptr (GHashTable) since
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  guint i;

  for (i = 0; i < lines->len; i++)
    if (is_event (line_at (i), "leaving"))
      g_hash_table_insert (since, field (line_at (i), "endpoint"),
                           g_memdup2 (&line_at (i)->at_us, sizeof (int64_t)));
  for (i = 0; i < lines->len; i++)
    {
      g_autofree char *e = field (line_at (i), "endpoint");
      const int64_t *at = g_hash_table_lookup (since, e);

      if (is_event (line_at (i), "ran") && at != NULL
          && line_at (i)->at_us > *at + LEAVE_GRACE_US)
        fail ("leaving", e);
    }
}

/* The settings revision of a VM never decreases during one incarnation. */
static void
check_revisions (void)
{
  g_autoptr (GHashTable) highest
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  guint i;

  for (i = 0; i < lines->len; i++)
    {
      g_autofree char *vm = field (line_at (i), "vm");
      g_autofree char *text = field (line_at (i), "revision");
      int now = (int)g_ascii_strtoll (text, NULL, 10);
      int before;

      if (is_event (line_at (i), "listen"))
        g_hash_table_remove (highest, vm);
      if (!is_event (line_at (i), "settings"))
        continue;
      before = GPOINTER_TO_INT (g_hash_table_lookup (highest, vm));
      if (now < before)
        fail ("never-reverts", vm);
      g_hash_table_insert (highest, g_strdup (vm), GINT_TO_POINTER (now));
    }
}

/* --- main --- */

static gint
by_time (gconstpointer a, gconstpointer b)
{
  const struct line *x = *(const struct line *const *)a;
  const struct line *y = *(const struct line *const *)b;

  return x->at_us < y->at_us ? -1 : x->at_us > y->at_us;
}

static void (*const checks[]) (void) = {
  check_at_most_once, check_not_run,  check_isolation,
  check_versions,     check_segments, check_answers,
  check_stops,        check_leaving,  check_revisions,
};

int
main (void)
{
  char text[8192];
  struct line *l;
  size_t i;

  lines = g_ptr_array_new ();
  while (fgets (text, sizeof text, stdin) != NULL)
    {
      if (strstr (text, "event=") == NULL)
        continue;
      l = g_new0 (struct line, 1);
      l->text = g_strdup_printf (" %s", g_strchomp (text));
      l->at_us = time_of (text);
      g_ptr_array_add (lines, l);
    }
  g_ptr_array_sort (lines, by_time);
  for (i = 0; i < G_N_ELEMENTS (checks); i++)
    checks[i]();
  printf ("%d lines, %d broken\n", (int)lines->len, violations);
  return violations > 0;
}
