/* Whether this VM reaches the endpoints of a service. */
#include "reach.h"

#include <glib.h>

void
reach_add_connected (struct reach *r, int64_t now_us)
{
  *r = (struct reach){ .connected_us = MAX (now_us, r->connected_us) };
}

/* An attempt that started before a connection was established says nothing of
   the time after it. */
void
reach_add_failure (struct reach *r, uint64_t endpoint, int64_t started_us,
                   int64_t now_us)
{
  int i;

  if (r->connected_us != 0 && started_us <= r->connected_us)
    return;
  for (i = 0; i < r->nfailed; i++)
    if (r->failed[i] == endpoint)
      return;
  if (r->nfailed == REACH_ENDPOINTS)
    return;
  if (r->nfailed == 0)
    {
      r->failed_us = now_us;
      r->probe_interval_us = REACH_PROBE_MIN_US;
      r->probe_due_us = now_us + REACH_PROBE_MIN_US;
    }
  r->failed[r->nfailed++] = endpoint;
}

bool
reach_is_isolated (const struct reach *r, int endpoints)
{
  return endpoints > 0 && r->nfailed >= MIN (endpoints, REACH_ENDPOINTS);
}

bool
reach_take_probe (struct reach *r, int64_t now_us)
{
  if (now_us < r->probe_due_us)
    return false;
  r->probe_due_us = now_us + r->probe_interval_us;
  r->probe_interval_us = MIN (2 * r->probe_interval_us, REACH_PROBE_MAX_US);
  return true;
}
