/* Whether a request is let in: what endpoints can do, and who goes first. */
#include "librelay.h"

#include "log.h"

/* Callers leave a stream before its first piece after the longest of these. */
#define PATIENCE_MIN_US (2000 * CQ_US_PER_MS)
#define PATIENCE_TARGETS 4
#define PATIENCE_GAPS 8
/*
 * Work is refused, in part, when its first piece is expected after this share
 * of the caller's patience, about half of the time in which an answer is worth
 * most.  An endpoint that has fallen behind stays behind, long after what
 * began it: what waits there fills its memory, so more is read anew.  Sum of
 * worth over twelve days by the share: a quarter 6.75, a sixth 6.85, an eighth
 * 6.94.
 */
#define PATIENCE_SHARE 8

/* A service counts as limited, for the log, when less than this is let in,
   permille: the share moves by some percent without an overload. */
#define LIMITED_BELOW 900

/* Routes whose callers' time is known: over a long life operators name any
   number.  What is forgotten is known again after a request. */
#define USUAL_MAX 1024

/* --- who asks --------------------------------------------------------- */

const char *
relay_workspace (const struct relay *r)
{
  return r->workspace != NULL ? r->workspace->name : "";
}

int
relay_urgency (const struct relay *r)
{
  int p = r->route->priority;

  if (r->workspace != NULL && r->workspace->priority >= 0)
    p = r->workspace->priority;
  return CLAMP (p, 0, ADMIT_RANKS / 2 - 1);
}

/* Whether the caller has less time than others of its route, since it was
   refused before. */
static bool
has_returned (struct relay *r, int64_t now_us)
{
  GHashTable *t = r->rs->usual;
  int64_t *usual = g_hash_table_lookup (t, r->route->name);

  if (r->desc.deadline_us == 0)
    return false;
  if (usual == NULL)
    {
      if (g_hash_table_size (t) >= USUAL_MAX)
        g_hash_table_remove_all (t);
      usual = g_new0 (int64_t, 1);
      g_hash_table_insert (t, g_strdup (r->route->name), usual);
    }
  /* No more than the route allows: one caller's hour would make all others
     look as if they returned. */
  return admit_has_returned (usual, r->end_us - now_us);
}

int
relay_rank (struct relay *r, int64_t now_us)
{
  return admit_rank (relay_urgency (r), has_returned (r, now_us));
}

/* --- what answers show ------------------------------------------------ */

/* Two lines for an overload, however the share moves in between. */
static void
log_admission (struct relay *r, int64_t now_us)
{
  struct relay_service *s = r->shared;
  int keep = admit_keep (&s->admit, now_us);

  if (s->limited ? keep < SHARE_ALL : keep >= LIMITED_BELOW)
    return;
  s->limited = !s->limited;
  log_event (LOG_LEVEL_INFO, "admission",
             "service=%s outcome=%s keep=%d pressure=%" G_GINT64_FORMAT
             " running=%d waiting=%d endpoint=%s",
             r->service, s->limited ? "limited" : "open", keep,
             (gint64)s->admit.pressure, r->running, r->waiting,
             r->endpoint->listing.id);
}

void
relay_waited (struct relay *r, int64_t now_us)
{
  struct admit_seen seen = { .running = r->running, .waiting = r->waiting };

  seen.wait_us = now_us - r->sent_us;
  seen.target_us = r->route->target_latency_us;
  pick_first_chunk (r->rs->opts.fleet, r->endpoint, seen.wait_us, now_us);
  /* A caller who leaves early does so for reasons of its own. */
  if (r->first_us == 0 && seen.wait_us < seen.target_us)
    return;
  admit_answered (&r->shared->admit, &seen, now_us);
  log_admission (r, now_us);
}

/* --- the share that is let in ----------------------------------------- */

/* How long a caller waits for the first piece of a stream before it leaves. */
static int64_t
patience_us (const struct relay *r)
{
  int64_t p = PATIENCE_MIN_US;

  if (r->route->target_latency_us * PATIENCE_TARGETS > p)
    p = r->route->target_latency_us * PATIENCE_TARGETS;
  if (r->route->event_gap_us * PATIENCE_GAPS > p)
    p = r->route->event_gap_us * PATIENCE_GAPS;
  return p;
}

/* Permille of the requests like R to let in, while the endpoints queue and a
   first piece is expected after WAIT_US. */
static int
share_let_in (const struct relay *r, int64_t wait_us, int64_t now_us)
{
  const struct relay_service *s = r->shared;
  int64_t enough = patience_us (r) / PATIENCE_SHARE;
  int keep = admit_keep (&s->admit, now_us);

  if (wait_us > enough)
    keep = MIN (keep, (int)(enough * SHARE_ALL / wait_us));
  keep = admit_keep_rank (&s->admit, r->rank, keep);
  return share_keep (&s->share, relay_workspace (r), keep);
}

/*
 * An answer that begins too late is none, for this caller or for others.  Sent
 * all the same, the endpoint reads its prompt for nobody, and those behind it
 * become late too, until nobody is answered in time.  A part is refused, so
 * that what is left can be served: refusing all until the wait is over leaves
 * endpoints idle, and then all come at once.  Whose requests these are follows
 * from their urgency and from what each workspace asks for.
 */
int
relay_let_in (const struct relay *r, const struct pick_choice *c,
              int64_t now_us)
{
  int64_t wait = now_us - r->arrived_us + c->wait_us;

  if (r->route->kind != FLEET_STREAM || r->begun)
    return SHARE_ALL;
  if (r->arrived_us + wait > r->end_us)
    return 0;
  return share_let_in (r, wait, now_us);
}

void
relay_log_late (const struct relay *r, const struct pick_choice *c, int keep,
                int64_t now_us)
{
  const struct admit *a = &r->shared->admit;

  log_event (LOG_LEVEL_INFO, "too_late",
             "req=%s route=%s endpoint=%s workspace=%s rank=%d keep=%d "
             "admit=%d pressure=%" G_GINT64_FORMAT " wait_us=%" G_GINT64_FORMAT
             " left_us=%" G_GINT64_FORMAT " candidates=%d over_bound=%d",
             r->desc.id, r->route->name, c->endpoint->listing.id,
             relay_workspace (r), r->rank, keep, admit_keep (a, now_us),
             (gint64)a->pressure,
             (gint64)(now_us - r->arrived_us + c->wait_us),
             (gint64)(r->end_us - now_us), c->candidates, c->over_bound);
}
