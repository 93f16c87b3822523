/* Notices: what an endpoint says of itself in its answers. */
#include "notice.h"

#include "fleet.h"
#include "log.h"

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

void
notice_take (struct fleet_endpoint *e, const struct notice *n,
             const struct notice_from *from, int64_t now_us)
{
  take_limit (e, n, from, now_us);
  take_leaving (e, n, from, now_us);
}
