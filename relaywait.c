/* The relay: requests that wait for room at brittle endpoints, or for what
   other VMs say of their paths. */
#include "librelay.h"

#include "log.h"
#include "met.h"

/* Requests of one worker that wait; more of them would not be placed in
   time. */
#define WAITING_MAX 64
/* Longest wait, from the arrival of a request, for answers of other VMs. */
#define PATH_WAIT_MAX_US (300 * CQ_US_PER_MS)
/* A request waits for 1 / this of the target latency of its route, or of the
   time that its caller gives where there is no target: the endpoint needs the
   rest. */
#define TARGET_DIVISOR 2
#define DEADLINE_DIVISOR 8

static int64_t
wait_max_us (const struct relay *r)
{
  if (r->route->target_latency_us > 0)
    return r->route->target_latency_us / TARGET_DIVISOR;
  return (r->deadline_us - r->arrived_us) / DEADLINE_DIVISOR;
}

bool
relay_has_waited_enough (const struct relay *r, int64_t now_us)
{
  return now_us - r->arrived_us >= wait_max_us (r);
}

static bool
start_waiting (struct relay *r, int64_t now_us)
{
  struct relays *rs = r->rs;

  if (r->stream_begun || rs->nwaiting >= WAITING_MAX
      || !relay_apply_event (r, RELAY_WAIT))
    return false;
  rs->nwaiting++;
  if (!r->has_waited)
    met_add (MET_WAITED, 1);
  r->has_waited = true;
  if (!rs->room.armed)
    loop_arm (rs->opts.loop, &rs->room, now_us + RELAY_ROOM_INTERVAL_US);
  return true;
}

bool
relay_wait_for_room (struct relay *r, int64_t now_us)
{
  return !relay_has_waited_enough (r, now_us) && start_waiting (r, now_us);
}

/* A VM that has a path answers within some ms; one that is drawn before may
   stand still. */
bool
relay_wait_for_path (struct relay *r, int64_t now_us)
{
  return r->nvms_tried == 0 && now_us - r->arrived_us < PATH_WAIT_MAX_US
         && start_waiting (r, now_us);
}

void
relay_stop_waiting (struct relay *r)
{
  r->rs->nwaiting -= r->state == RELAY_WAITING;
}
