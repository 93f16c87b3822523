/*
 * Model check of lives: what endpoints that start again do to orders.
 *
 * One VM gives orders with the real code; two versions are named.  Orders stay
 * without an answer and are carried out 2.5 s later; endpoints start again
 * just before an order comes, just after they took it and after they loaded,
 * with their counts anew.  Requests are sent all the while, and refused where
 * weights are others than believed.  When all has settled, every endpoint has
 * the newest weights, and the VM believes what is so.
 */
#include "modelworld.h"

#define SECOND_US (1500 * MS) /* the second naming */
#define REQUEST_US (250 * MS) /* between requests to each endpoint */
#define TRAVEL_US (2 * MS)    /* of a request, and its refusal */
#define RUN_US (16000 * MS)   /* orders that come late included */
#define ENDPOINTS 2

/* An endpoint refuses weights that it does not have, and names no others. */
static void
refused (struct event *e)
{
  struct vm *v = &world.vms[e->vm];
  char id[2] = { (char)('0' + e->endpoint), '\0' };
  struct fleet_endpoint *f = g_hash_table_lookup (v->fleet.by_id, id);

  if (f == NULL || e->expected <= f->version_us || world_is_off (OFF_DOUBT))
    return;
  fleet_doubt_version (f);
  orders_look (v->orders, world.now_us);
}

static void
ask_all (struct event *e)
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
    answer = world_at (world.now_us + TRAVEL_US, v->index, refused);
    answer->endpoint = i;
    answer->expected = world.now_us;
  }
  world_at (world.now_us + REQUEST_US, v->index, ask_all);
}

/* With the safeguard off, what was once believed of a life stays. */
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
  int64_t newest = world.namings[world.nnamings - 1].version;
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
      model_fail ("weights are believed that are not there", f->version);
    if (f->listing.started_ms != world.endpoints[i].born_ms)
      model_fail ("a life is not heard of", f->listing.started_ms);
  }
}

static void
run (const struct model_case *model)
{
  int i;

  world_begin (model, false);
  world.lives = true;
  world.nendpoints = ENDPOINTS;
  for (i = 0; i < ENDPOINTS; i++)
    highest[i] = 0;
  if (world_is_off (OFF_FALL))
    world.after = never_lower;
  world_name (world.now_us, 2);
  world_name (world.now_us + SECOND_US, 3);
  world_start (&world.vms[0]);
  world_at (world.now_us, 0, ask_all);
  world_run (world.now_us + RUN_US);
  if (!model_has_failed ())
    check_end ();
  world_end ();
}

const struct model_case model_lives_cases[] = {
  { "nothing", run, 0, 2, 1 },
  { "a word may lower what is believed of weights", run, OFF_FALL, 2, 1 },
  { "a refusal that names no weights raises a doubt", run, OFF_DOUBT, 2, 1 },
  { NULL, NULL, 0, 0, 0 },
};
