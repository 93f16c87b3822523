/* Notices: what an endpoint says of itself in its answers. */
#include "notice.h"

#include "decide.h"
#include "fleet.h"
#include "log.h"

/* No endpoint is left out for longer by one answer. */
#define REST_MAX_US (3600 * CQ_US_PER_S)

static void
take_limit (struct fleet_endpoint *e, const struct notice *n,
            const struct notice_from *from, int64_t now_us)
{
  struct limit before = e->limit;
  bool changed = false;

  if (n->limit_said && n->limit_milli >= 0)
    changed = limit_name (&e->limit, n->limit_milli, from->sent_us, now_us);
  else if (!n->limit_said && from->whole)
    changed = limit_lift (&e->limit, from->sent_us);
  if (changed)
    log_event (LOG_LEVEL_INFO, "endpoint_limit",
               "endpoint=%s outcome=%s limit_milli=%" G_GINT64_FORMAT
               " before_milli=%" G_GINT64_FORMAT
               " source=%s sent_before_us=%" G_GINT64_FORMAT,
               e->is.id, e->limit.named ? "named" : "lifted",
               (gint64)(e->limit.named ? e->limit.milli : -1),
               (gint64)(before.named ? before.milli : -1), from->source,
               (gint64)(now_us - from->sent_us));
}

static void
take_leaving (struct fleet_endpoint *e, const struct notice *n,
              const struct notice_from *from, int64_t now_us)
{
  if (!n->leaving || e->draining)
    return;
  e->draining = true;
  log_event (LOG_LEVEL_INFO, "endpoint",
             "endpoint=%s outcome=said_leaving source=%s running=%d "
             "sent_before_us=%" G_GINT64_FORMAT,
             e->is.id, from->source, e->running,
             (gint64)(now_us - from->sent_us));
}

/* Answers overtake each other: the latest end counts. */
static void
take_rest (struct fleet_endpoint *e, const struct notice *n,
           const struct notice_from *from, int64_t now_us)
{
  int64_t until = now_us + MIN (n->rest_us, REST_MAX_US);

  if (n->rest_us <= 0 || until <= e->asked_rest_us)
    return;
  e->asked_rest_us = until;
  log_event (LOG_LEVEL_INFO, "endpoint_rest",
             "endpoint=%s asked_us=%" G_GINT64_FORMAT
             " source=%s sent_before_us=%" G_GINT64_FORMAT,
             e->is.id, (gint64)n->rest_us, from->source,
             (gint64)(now_us - from->sent_us));
}

void
notice_take (struct fleet_endpoint *e, const struct notice *n,
             const struct notice_from *from, int64_t now_us)
{
  take_limit (e, n, from, now_us);
  take_leaving (e, n, from, now_us);
  take_rest (e, n, from, now_us);
}
