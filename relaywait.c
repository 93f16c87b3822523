/* The relay: requests that wait for room at brittle endpoints. */
#include "librelay.h"

#include "log.h"
#include "met.h"

/* Interval of attempts to place the waiting requests. */
#define CHECK_INTERVAL_US (10 * CQ_US_PER_MS)
/* Requests of one worker that wait; more of them would not be placed in
   time. */
#define WAITING_MAX 64
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

/* The oldest waiting request of each service goes first, and the others of the
   service wait on if it finds no room. */
static void
on_check (void *arg, int64_t now_us)
{
  struct relays *rs = arg;
  g_autoptr (GHashTable) full = g_hash_table_new (g_direct_hash, NULL);
  struct relay *r, *next;
  struct relay_service *s;
  int before;

  for (r = APR_RING_FIRST (&rs->all);
       r != APR_RING_SENTINEL (&rs->all, relay, link); r = next)
    {
      next = APR_RING_NEXT (r, link);
      s = r->service_state;
      if (r->state != RELAY_WAITING
          || (g_hash_table_contains (full, s)
              && now_us - r->arrived_us < wait_max_us (r)))
        continue;
      before = --rs->nwaiting;
      relay_apply_event (r, RELAY_READY);
      relay_place (r, now_us);
      if (rs->nwaiting > before)
        g_hash_table_add (full, s);
    }
  if (rs->nwaiting > 0)
    loop_arm (rs->opts.loop, &rs->room, now_us + CHECK_INTERVAL_US);
}

bool
relay_wait_for_room (struct relay *r, int64_t now_us)
{
  struct relays *rs = r->rs;

  if (r->stream_begun || now_us - r->arrived_us >= wait_max_us (r)
      || rs->nwaiting >= WAITING_MAX || !relay_apply_event (r, RELAY_WAIT))
    return false;
  rs->nwaiting++;
  if (!r->has_waited)
    met_add (MET_WAITED, 1);
  r->has_waited = true;
  rs->room.fire = on_check;
  rs->room.arg = rs;
  if (!rs->room.armed)
    loop_arm (rs->opts.loop, &rs->room, now_us + CHECK_INTERVAL_US);
  return true;
}

void
relay_room_freed (struct relays *rs, int64_t now_us)
{
  if (rs->nwaiting > 0)
    loop_arm (rs->opts.loop, &rs->room, now_us);
}

void
relay_stop_waiting (struct relay *r)
{
  r->rs->nwaiting -= r->state == RELAY_WAITING;
}
