/*
 * Model check of restarts: how endpoints that restart affect orders.
 *
 * One VM gives orders with the real code; two versions are announced.  Orders
 * get no answer and are carried out 2.5 s later; endpoints restart just before
 * an order arrives, just after they took it and after they loaded, and count
 * orders from zero.  Requests are sent all the time, and refused where the
 * weights are not the expected ones.  At the end every endpoint must have the
 * newest weights, and the VM's view must be correct.
 */
#include "modelworld.h"

#define SECOND_US (1500 * MS) /* time of the second announcement */
#define REQUEST_US (250 * MS) /* between requests to each endpoint */
#define TRAVEL_US                                                             \
  (2 * MS)                  /* duration of a request and its refusal, one way \
                             */
#define RUN_US (16000 * MS) /* includes orders that arrive late */
#define ENDPOINTS 2

/* An endpoint refuses a version that it does not have, and names no other. */
static void
on_refused (struct event *e)
{
  struct vm *v = &world.vms[e->vm];
  char id[2] = { (char)('0' + e->endpoint), '\0' };
  struct fleet_endpoint *f = g_hash_table_lookup (v->fleet.by_id, id);

  if (f == NULL || e->expected <= f->version_us
      || world_is_off (OFF_UNCERTAIN))
    return;
  fleet_doubt_version (f);
  orders_check (v->orders, world.now_us);
}

static void
send_requests (struct event *e)
{
  struct vm *v = &world.vms[e->vm];
  const struct fleet_endpoint *f;
  struct event *answer;
  int i;

  APR_RING_FOREACH (f, &v->fleet.endpoints, fleet_endpoint, link)
  {
    i = f->listing.id[0] - '0';
    if (f->version == world.endpoints[i].version)
      continue;
    answer = world_at (world.now_us + TRAVEL_US, v->index, on_refused);
    answer->endpoint = i;
    answer->expected = world.now_us;
  }
  world_at (world.now_us + REQUEST_US, v->index, send_requests);
}

/* With the safeguard off, the known version of an incarnation never decreases.
 */
static int64_t highest[ENDPOINTS];

static void
never_lower (void)
{
  struct fleet_endpoint *f;
  int i;

  APR_RING_FOREACH (f, &world.vms[0].fleet.endpoints, fleet_endpoint, link)
  {
    i = f->listing.id[0] - '0';
    highest[i] = MAX (highest[i], f->version);
    f->version = highest[i];
    f->version_doubted = false;
  }
}

static void
check_end (void)
{
  int64_t newest = world.announcements[world.nannouncements - 1].version;
  const struct fleet_endpoint *f;
  int i;

  for (i = 0; i < ENDPOINTS; i++)
    if (world.endpoints[i].version != newest)
      model_fail ("an endpoint is left on old weights",
                  world.endpoints[i].version);
  APR_RING_FOREACH (f, &world.vms[0].fleet.endpoints, fleet_endpoint, link)
  {
    i = f->listing.id[0] - '0';
    if (f->version != world.endpoints[i].version || f->version_doubted)
      model_fail ("the known weight version is wrong", f->version);
    if (f->listing.started_ms != world.endpoints[i].started_ms)
      model_fail ("a restart is not noticed", f->listing.started_ms);
  }
}

static void
run (const struct model_case *model)
{
  int i;

  world_begin (model, false);
  world.with_restarts = true;
  world.nendpoints = ENDPOINTS;
  for (i = 0; i < ENDPOINTS; i++)
    highest[i] = 0;
  if (world_is_off (OFF_LOWER_VERSION))
    world.after = never_lower;
  world_announce (world.now_us, 2);
  world_announce (world.now_us + SECOND_US, 3);
  world_start (&world.vms[0]);
  world_at (world.now_us, 0, send_requests);
  world_run (world.now_us + RUN_US);
  if (!model_has_failed ())
    check_end ();
  world_end ();
}

const struct model_case model_restart_cases[] = {
  { "nothing", run, 0, 2, 1 },
  { "a report may lower the known weight version", run, OFF_LOWER_VERSION, 2,
    1 },
  { "a refusal without a version makes it uncertain", run, OFF_UNCERTAIN, 2,
    1 },
  { NULL, NULL, 0, 0, 0 },
};
