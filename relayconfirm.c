/*
 * The relay: answers whose end is only that of their connection.
 *
 * When a process is killed, the kernel closes its connections as the process
 * itself does after an answer.  So such an answer counts as complete only if
 * its endpoint is found running after the end.
 */
#include "librelay.h"

#include "log.h"
#include "met.h"

/* A probe under way. */
struct end_check
{
  struct relay *relay;  /* its request, NULL once that went on without it */
  struct relay_end end; /* as the adapter reported it */
  relay_end_fn done;    /* takes the result */
  int64_t started_us;   /* when the answer ended */
};

/* An event that was cut off shows by itself that the stream did not end. */
bool
relay_is_end_doubtful (const struct relay *r, const struct relay_end *end)
{
  return end->whole && r->ends_with_connection && r->state == RELAY_BEGUN
         && !r->not_run && r->stop_reason == NULL
         && !(r->streaming && sse_has_partial (&r->events))
         && r->rs->opts.engine.probe != NULL;
}

static void
on_probe (void *arg, enum relay_probe_result probe,
          const struct notice *notice)
{
  static const char *const names[] = {
    [RELAY_PROBE_ALIVE] = "alive",
    [RELAY_PROBE_CRASHED] = "crashed",
    [RELAY_PROBE_REFUSED] = "refused",
    [RELAY_PROBE_SILENT] = "silent",
  };
  struct end_check *c = arg;
  struct relay *r = c->relay;
  int64_t now = loop_now_us ();

  (void)notice;
  if (r != NULL)
    {
      r->end_check = NULL;
      log_event (LOG_LEVEL_INFO, "end_check",
                 "req=%s endpoint=%s probe=%s took_us=%" G_GINT64_FORMAT,
                 r->desc.id, r->endpoint->listing.id, names[probe],
                 (gint64)(now - c->started_us));
      c->end.whole = probe == RELAY_PROBE_ALIVE;
      c->end.error = c->end.whole ? "" : "endpoint gone at the answer's end";
      if (!c->end.whole)
        met_add (MET_ENDS_DOUBTED, 1);
      c->done (r, &c->end, now);
    }
  g_free (c);
}

void
relay_confirm_end (struct relay *r, const struct relay_end *end,
                   relay_end_fn done, int64_t now_us)
{
  const struct relay_engine *e = &r->rs->opts.engine;
  struct end_check *c = g_new0 (struct end_check, 1);

  c->relay = r;
  c->end = *end;
  c->done = done;
  c->started_us = now_us;
  r->end_check = c;
  e->probe (e->ctx, r->endpoint, on_probe, c);
}

void
relay_forget_end (struct relay *r)
{
  if (r->end_check != NULL)
    r->end_check->relay = NULL;
  r->end_check = NULL;
}
