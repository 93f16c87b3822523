/* Notices: what an endpoint reports about itself in its answers. */
#include "notice.h"

#include "decide.h"
#include "fleet.h"
#include "log.h"

/* Longest backoff that one answer can request. */
#define BACKOFF_MAX_US (3600 * CQ_US_PER_S)

static void
apply_limit (struct fleet_endpoint *e, const struct notice *n,
             const struct notice_origin *from, int64_t now_us)
{
  struct limit before = e->limit;
  bool changed = false;

  if (n->has_limit && n->limit_milli_rps >= 0)
    changed
        = limit_report (&e->limit, n->limit_milli_rps, from->sent_us, now_us);
  else if (!n->has_limit && from->has_all_notices)
    changed = limit_clear (&e->limit, from->sent_us);
  if (changed)
    log_event (LOG_LEVEL_INFO, "endpoint_limit",
               "endpoint=%s outcome=%s limit_milli=%" G_GINT64_FORMAT
               " before_milli=%" G_GINT64_FORMAT
               " source=%s sent_before_us=%" G_GINT64_FORMAT,
               e->listing.id, e->limit.active ? "named" : "lifted",
               (gint64)(e->limit.active ? e->limit.milli_rps : -1),
               (gint64)(before.active ? before.milli_rps : -1), from->source,
               (gint64)(now_us - from->sent_us));
}

static void
apply_draining (struct fleet_endpoint *e, const struct notice *n,
                const struct notice_origin *from, int64_t now_us)
{
  if (!n->leaving || (e->draining && !e->draining_unordered))
    return;
  fleet_apply_draining (e);
  log_event (LOG_LEVEL_INFO, "endpoint",
             "endpoint=%s outcome=said_leaving source=%s running=%d "
             "sent_before_us=%" G_GINT64_FORMAT,
             e->listing.id, from->source, e->running,
             (gint64)(now_us - from->sent_us));
}

static void
apply_brittle (struct fleet_endpoint *e, const struct notice *n,
               const struct notice_origin *from, int64_t now_us)
{
  bool changed = false;

  if (n->is_brittle)
    changed
        = brittle_report (&e->brittle, n->refusals_s, from->sent_us, now_us);
  else if (from->has_all_notices)
    changed = brittle_clear (&e->brittle, from->sent_us);
  if (changed)
    log_event (LOG_LEVEL_INFO, "endpoint_brittle",
               "endpoint=%s outcome=%s refusals_s=%" G_GINT64_FORMAT
               " source=%s sent_before_us=%" G_GINT64_FORMAT,
               e->listing.id, e->brittle.active ? "named" : "lifted",
               (gint64)(e->brittle.active ? e->brittle.refusals : -1),
               from->source, (gint64)(now_us - from->sent_us));
}

/* Answers arrive out of order: the latest end of a backoff counts. */
static void
apply_backoff (struct fleet_endpoint *e, const struct notice *n,
               const struct notice_origin *from, int64_t now_us)
{
  int64_t until = now_us + MIN (n->backoff_us, BACKOFF_MAX_US);

  if (n->backoff_us <= 0 || until <= e->requested_backoff_until_us)
    return;
  e->requested_backoff_until_us = until;
  log_event (LOG_LEVEL_INFO, "endpoint_rest",
             "endpoint=%s asked_us=%" G_GINT64_FORMAT
             " source=%s sent_before_us=%" G_GINT64_FORMAT,
             e->listing.id, (gint64)n->backoff_us, from->source,
             (gint64)(now_us - from->sent_us));
}

void
notice_apply (struct fleet_endpoint *e, const struct notice *n,
              const struct notice_origin *from, int64_t now_us)
{
  apply_limit (e, n, from, now_us);
  apply_brittle (e, n, from, now_us);
  apply_draining (e, n, from, now_us);
  apply_backoff (e, n, from, now_us);
}
