/* What attempts show of their endpoints, for reports to other VMs. */
#include "librelay.h"

/* HEAD is NULL without load. */
static void
report (const struct relay *r, enum load_seen seen,
        const struct relay_head *head, int64_t now_us)
{
  const struct relays_opts *o = &r->rs->opts;
  struct endpoint_report seen_now = { .endpoint = r->endpoint->key };

  if (o->on_observed == NULL)
    return;
  seen_now.seen = seen;
  seen_now.running = head != NULL ? head->running : -1;
  if (head != NULL)
    {
      seen_now.waiting = head->waiting;
      seen_now.speed_percent = head->speed_percent;
    }
  o->on_observed (o->observed_arg, &seen_now, now_us);
}

/* Whether the head is the first part of a stream, whose first chunk is a
   sample for the admission controller. */
static bool
is_stream_head (const struct relay *r, const struct relay_head *head)
{
  return r->route->kind == FLEET_STREAM && head->status == 200;
}

void
relay_observe_head (struct relay *r, const struct relay_head *head,
                    int64_t now_us)
{
  /* A refusal of the endpoint's own has no seal. */
  if ((!head->genuine && !head->not_run) || head->other_incarnation
      || head->running < 0)
    return;
  r->is_head_observed = true;
  report (r, LOAD_SEEN_ANSWERED, head, now_us);
  if (r->rs->opts.share_reports && !is_stream_head (r, head))
    relays_add_pressure (r->rs, r->endpoint, head->running, head->waiting,
                         now_us);
}

/* The time for the attempt has passed, so that the adapter ended it. */
static bool
is_timed_out (const struct relay *r, int64_t now_us)
{
  const struct fleet *f = r->rs->opts.fleet;

  if (now_us >= r->deadline_us)
    return true;
  return r->route->kind == FLEET_STREAM && f->outdated_start_us > 0
         && fleet_is_outdated_for (f, r->endpoint, f->outdated_start_us,
                                   now_us);
}

/*
 * An attempt that this VM ended, for lack of time or for reasons of the
 * request, shows nothing of the endpoint; nor does an answer that is not its
 * own.
 */
void
relay_observe_end (struct relay *r, enum send_state sent, int64_t now_us)
{
  switch (sent)
    {
    case SEND_COMPLETE:
    case SEND_REFUSED:
      if (!r->is_head_observed && !r->other_incarnation)
        report (r, LOAD_SEEN_ANSWERED, NULL, now_us);
      return;
    case SEND_NONE:
    case SEND_PARTIAL:
    case SEND_REPLIED:
      break;
    }
  /* Failures are judged first, and reported, by relayhealth.c. */
  if (r->rs->health != NULL)
    return;
  switch (sent)
    {
    case SEND_COMPLETE:
    case SEND_REFUSED:
      return;
    case SEND_NONE:
      if (r->connection_refused)
        report (r, LOAD_SEEN_REFUSED, NULL, now_us);
      else if (r->stop_reason == NULL)
        report (r, LOAD_SEEN_UNREACHABLE, NULL, now_us);
      return;
    case SEND_PARTIAL:
    case SEND_REPLIED:
      if (r->stop_reason == NULL && !is_timed_out (r, now_us))
        report (r, LOAD_SEEN_FAILED, NULL, now_us);
      return;
    }
}
