/*
 * Model check of namings: when a VM takes a version for named.
 *
 * VMs follow the store with the real follow and keep its row with the real
 * orders; endpoints take orders and never finish, so old weights stay.  All
 * moments of the naming against polls, all VMs that start later, and all VMs
 * ended at once, are played; besides, calls fail and VMs end.  No VM may count
 * the grace of old weights from later than the naming, and one that ran all
 * the while not from much earlier.
 */
#include "modelworld.h"

#define OLD_MAX_US (5000 * MS) /* the grace of old weights */
#define SETTLED_US (4000 * MS) /* VMs run and poll */
#define SECOND_US (1500 * MS)  /* between two namings */
#define RUN_US (8000 * MS)     /* after the naming */
#define SLACK_US (50 * MS)     /* of calls and clocks */
/* A call may be lost for a second and asked again, and the holder ended and
   replaced. */
#define KNOWN_US (3000 * MS)
/* Knowledge that is older takes no work at all. */
#define STALE_US (4700 * MS)
/* What a VM that hears at once may lose of the grace: a poll waits for 2.2 s
   and is then as old as that. */
#define EARLY_MAX_US (2300 * MS)

/* The naming that outdates what endpoints have; 0 before it. */
static int64_t named_us;
/* Only what VMs know of the newest version is looked at. */
static bool only_newest;

static struct fleet_endpoint *
some_endpoint (const struct vm *v)
{
  return APR_RING_FIRST (&v->fleet.endpoints);
}

/* VM would use old weights when the grace is over. */
static void
check_late (const struct vm *v)
{
  const struct fleet_endpoint *e = some_endpoint (v);
  const struct fleet_named *n = fleet_outdated_by (&v->fleet, e);
  int64_t end = named_us + OLD_MAX_US + SLACK_US;

  if (n != NULL && !fleet_is_outdated_for (&v->fleet, e, OLD_MAX_US, end))
    model_fail ("old weights too late",
                (fleet_earliest_outdated_us (&v->fleet, e) - named_us) / MS);
  else if (n == NULL && world.now_us > end
           && fleet_conf_age_us (&v->fleet, world.now_us) <= STALE_US)
    model_fail ("a naming is not heard", (world.now_us - named_us) / MS);
}

/* VM takes the newest version for named later than it was. */
static void
check_newest (const struct vm *v)
{
  const struct world_naming *last = &world.namings[world.nnamings - 1];
  int64_t since = fleet_earliest_naming_us (&v->fleet, "m", last->version);

  if (since > last->at_us + SLACK_US)
    model_fail ("a naming is taken for later", (since - last->at_us) / MS);
}

static void
check_early (const struct vm *v)
{
  const struct fleet_endpoint *e = some_endpoint (v);
  const struct fleet_named *n = fleet_outdated_by (&v->fleet, e);
  int64_t since = fleet_earliest_outdated_us (&v->fleet, e);
  int64_t soon = named_us + OLD_MAX_US - EARLY_MAX_US;

  if (n == NULL || v->began_us > named_us - SETTLED_US
      || n->learned_us > named_us + CQ_US_PER_S)
    return;
  if (fleet_is_outdated_for (&v->fleet, e, OLD_MAX_US, soon))
    model_fail ("old weights given up too early",
                since != FLEET_NEVER ? (named_us - since) / MS : 0);
}

/* VM has run for long enough to have read since when old weights are outdated,
   and others ran all the while and can have written it; but it gives them no
   work, not knowing. */
static void
check_known (const struct vm *v)
{
  const struct fleet_endpoint *e = some_endpoint (v);
  int64_t known_us = MAX (v->began_us, named_us) + KNOWN_US;

  if (world.now_us >= known_us && fleet_outdated_by (&v->fleet, e) != NULL
      && fleet_earliest_outdated_us (&v->fleet, e) == FLEET_NEVER)
    model_fail ("since when is not known", (world.now_us - known_us) / MS);
}

/* Whether a VM that heard the naming as it was made runs still. */
static bool
is_witnessed (void)
{
  const struct vm *v;

  for (v = world.vms; v < world.vms + WORLD_VMS; v++)
    if (v->up && v->began_us <= named_us - SETTLED_US)
      return true;
  return false;
}

/* Safeguards switched off, in what the VM has just heard. */
static void
switch_off (struct vm *v)
{
  struct fleet_wanted *w
      = (struct fleet_wanted *)fleet_wanted_of (&v->fleet, "m");
  struct fleet_named *n
      = w != NULL && w->nnamed > 0 ? &w->named[w->nnamed - 1] : NULL;

  if (n == NULL || n->version == 1)
    return;
  if (world_is_off (OFF_SINCE))
    fleet_add_naming_bound (&v->fleet, "m", n->version, n->learned_us);
  if (world_is_off (OFF_MARKS) && n->learned_us == world.now_us)
    w->nbounds = 0;
}

static void
check (void)
{
  struct vm *v;
  int i;

  if (world.nnamings < 2)
    return;
  for (i = 0; i < WORLD_VMS && !model_has_failed (); i++)
    {
      v = &world.vms[i];
      if (!v->up)
        continue;
      switch_off (v);
      check_newest (v);
      if (!only_newest)
        check_late (v);
      check_early (v);
      if (is_witnessed ())
        check_known (v);
    }
}

/* --- what VMs go through --------------------------------------------- */

static void
start_first (struct event *e)
{
  (void)e;
  world_start (&world.vms[0]);
}

static void
start_third (struct event *e)
{
  (void)e;
  world_start (&world.vms[2]);
}

static void
end_all (struct event *e)
{
  int i;

  for (i = 0; i < WORLD_VMS; i++)
    world_kill (&world.vms[i], e->late_us);
}

static void
plan_lives (int64_t at_us)
{
  static const int64_t starts_us[]
      = { 300 * MS, 2000 * MS, 3100 * MS, 4200 * MS };
  static const int64_t ends_us[] = { 20 * MS, 300 * MS, 900 * MS };
  static const int64_t backs_us[] = { 1000 * MS, 2000 * MS };
  int way = model_pick (3);

  if (way == 1)
    world_at (at_us + starts_us[model_pick (4)], -1, start_third);
  else if (way == 2)
    world_at (at_us + ends_us[model_pick (3)], -1, end_all)->late_us
        = backs_us[model_pick (2)];
}

static void
start_second (struct event *e)
{
  (void)e;
  world_start (&world.vms[1]);
}

/* The last poll before a naming may be lost, nothing else before it. */
static void
end_calm (struct event *e)
{
  (void)e;
  world.calm = false;
}

/* VMs run and poll until they hear of the first naming. */
static void
begin (const struct model_case *model)
{
  int64_t settled;

  world_begin (model, true);
  world.after = check;
  world.nendpoints = 1;
  world.endless = true;
  world.calm = true;
  only_newest = false;
  world_name (world.now_us, 1);
  world_at (world.now_us, -1, start_first);
  world_at (world.now_us + 700 * MS, -1, start_second);
  settled = world.now_us + SETTLED_US + CQ_US_PER_S;
  world_at (settled - 2500 * MS, -1, end_calm);
  named_us = settled + (int64_t)model_pick (4) * (550 * MS);
  world_name (named_us, 2);
}

static void
run (const struct model_case *model)
{
  begin (model);
  plan_lives (named_us);
  world_run (named_us + RUN_US);
  world_end ();
}

/* A second version is named before the first is in place. */
static void
run_burst (const struct model_case *model)
{
  begin (model);
  plan_lives (named_us);
  world_name (named_us + SECOND_US, 3);
  world_run (named_us + RUN_US);
  world_end ();
}

/* The same, and only what VMs know of the second: the holder of the lease is
   at work on the first, and the others leave it alone. */
static void
run_second (const struct model_case *model)
{
  begin (model);
  only_newest = true;
  plan_lives (named_us + SECOND_US);
  world_name (named_us + SECOND_US, 3);
  world_run (named_us + SECOND_US + RUN_US);
  world_end ();
}

const struct model_case model_named_cases[] = {
  { "nothing, and nothing fails", run, 0, 0, 2 },
  { "nothing", run, 0, 1, 2 },
  { "nothing, while the holder is at work", run_second, 0, 1, 2 },
  { "grace counts from the naming", run, OFF_SINCE, 1, 2 },
  { "the row keeps when versions were named", run, OFF_RECORD, 1, 2 },
  { "answers say what was not named yet", run, OFF_MARKS, 1, 2 },
  { NULL, NULL, 0, 0, 0 },
};

const struct model_case model_burst_cases[] = {
  { "nothing, and nothing fails", run_burst, 0, 0, 2 },
  { "nothing", run_burst, 0, 1, 2 },
  { NULL, NULL, 0, 0, 0 },
};
