/* State of a VM that all its threads read: the settings in force and the
   phase. */
#include "libserver.h"

struct cfg *
server_cfg (struct server *s)
{
  return __atomic_load_n (&s->cfg, __ATOMIC_ACQUIRE);
}

enum phase
server_phase (struct server *s)
{
  return (enum phase)__atomic_load_n (&s->phase, __ATOMIC_ACQUIRE);
}

void
server_set_phase (struct server *s, enum phase phase)
{
  __atomic_store_n (&s->phase, (int)phase, __ATOMIC_RELEASE);
  log_event (LOG_LEVEL_INFO, "phase", "phase=%d live=%d", (int)phase,
             __atomic_load_n (&s->live_jobs, __ATOMIC_RELAXED));
}
