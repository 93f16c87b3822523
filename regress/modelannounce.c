/*
 * Model check of announcements: to which time a VM dates one.
 *
 * VMs follow the store with the real follow module and write its row with the
 * real orders module.  Endpoints take orders and never finish, so they keep
 * old weights.  All moments of an announcement against polls, later starts of
 * a VM, and the end of all VMs at once are checked; besides, calls fail and
 * VMs end.  No VM may count the time for which old weights are accepted from
 * later than the announcement, and a VM that ran all the time must not count
 * it from much earlier.
 */
#include "modelworld.h"

#define OLD_MAX_US (5000 * MS) /* how long outdated weights are accepted */
#define SETTLED_US (4000 * MS) /* time for VMs to start and poll */
#define SECOND_US (1500 * MS)  /* between two announcements */
#define RUN_US (8000 * MS)     /* run time after the announcement */
#define SLACK_US (50 * MS)     /* tolerance for calls and clocks */
/* A call may be lost for a second and repeated, and the holder may end and be
   replaced. */
#define KNOWN_US (3000 * MS)
/* A VM whose last confirmation is older sends no requests at all. */
#define STALE_US (4700 * MS)
/* How much of that time a VM that sees the announcement at once may lose: a
   poll waits for 2.2 s, and its answer is then as old as that. */
#define EARLY_MAX_US (2300 * MS)

/* When the announcement that outdates the endpoints' weights is made; 0 before
   it. */
static int64_t announced_us;
/* Check only what VMs know of the newest version. */
static bool only_newest;

static struct fleet_endpoint *
some_endpoint (const struct vm *v)
{
  return APR_RING_FIRST (&v->fleet.endpoints);
}

/* The VM would use old weights after they may no longer be. */
static void
check_late (const struct vm *v)
{
  const struct fleet_endpoint *e = some_endpoint (v);
  const struct fleet_announced_version *n = fleet_outdated_by (&v->fleet, e);
  int64_t end = announced_us + OLD_MAX_US + SLACK_US;

  if (n != NULL && !fleet_is_outdated_for (&v->fleet, e, OLD_MAX_US, end))
    model_fail ("old weights too late",
                (fleet_earliest_outdated_us (&v->fleet, e) - announced_us)
                    / MS);
  else if (n == NULL && world.now_us > end
           && fleet_conf_age_us (&v->fleet, world.now_us) <= STALE_US)
    model_fail ("an announcement is not seen",
                (world.now_us - announced_us) / MS);
}

/* The VM dates the newest version later than its announcement. */
static void
check_newest (const struct vm *v)
{
  const struct world_announcement *last
      = &world.announcements[world.nannouncements - 1];
  int64_t since
      = fleet_earliest_announcement_us (&v->fleet, "m", last->version);

  if (since > last->at_us + SLACK_US)
    model_fail ("an announcement is dated too late",
                (since - last->at_us) / MS);
}

static void
check_early (const struct vm *v)
{
  const struct fleet_endpoint *e = some_endpoint (v);
  const struct fleet_announced_version *n = fleet_outdated_by (&v->fleet, e);
  int64_t since = fleet_earliest_outdated_us (&v->fleet, e);
  int64_t soon = announced_us + OLD_MAX_US - EARLY_MAX_US;

  if (n == NULL || v->started_us > announced_us - SETTLED_US
      || n->learned_us > announced_us + CQ_US_PER_S)
    return;
  if (fleet_is_outdated_for (&v->fleet, e, OLD_MAX_US, soon))
    model_fail ("old weights given up too early",
                since != FLEET_NEVER ? (announced_us - since) / MS : 0);
}

/* The VM has run for long enough to have read since when weights are outdated,
   and others ran all the time and can have written it; but it does not use
   them, because it does not know. */
static void
check_known (const struct vm *v)
{
  const struct fleet_endpoint *e = some_endpoint (v);
  int64_t known_us = MAX (v->started_us, announced_us) + KNOWN_US;

  if (world.now_us >= known_us && fleet_outdated_by (&v->fleet, e) != NULL
      && fleet_earliest_outdated_us (&v->fleet, e) == FLEET_NEVER)
    model_fail ("the time is not known", (world.now_us - known_us) / MS);
}

/* Whether a VM still runs that saw the announcement when it was made. */
static bool
is_witnessed (void)
{
  const struct vm *v;

  for (v = world.vms; v < world.vms + WORLD_VMS; v++)
    if (v->up && v->started_us <= announced_us - SETTLED_US)
      return true;
  return false;
}

/* Removes from the VM's knowledge what the switched-off safeguards provide. */
static void
switch_off (struct vm *v)
{
  struct fleet_wanted *w
      = (struct fleet_wanted *)fleet_wanted_of (&v->fleet, "m");
  struct fleet_announced_version *n = w != NULL && w->nannounced > 0
                                          ? &w->announced[w->nannounced - 1]
                                          : NULL;

  if (n == NULL || n->version == 1)
    return;
  if (world_is_off (OFF_SINCE))
    fleet_add_announcement_bound (&v->fleet, "m", n->version, n->learned_us);
  if (world_is_off (OFF_ANSWER_BOUNDS) && n->learned_us == world.now_us)
    w->nbounds = 0;
}

static void
check (void)
{
  struct vm *v;
  int i;

  if (world.nannouncements < 2)
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

/* --- starts and ends of VMs ------------------------------------------ */

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
plan_restarts (int64_t at_us)
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

/* The last poll before an announcement may be lost, but there are no earlier
   faults. */
static void
allow_faults (struct event *e)
{
  (void)e;
  world.calm = false;
}

/* Starts VMs, which poll until they see the first announcement. */
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
  world_announce (world.now_us, 1);
  world_at (world.now_us, -1, start_first);
  world_at (world.now_us + 700 * MS, -1, start_second);
  settled = world.now_us + SETTLED_US + CQ_US_PER_S;
  world_at (settled - 2500 * MS, -1, allow_faults);
  announced_us = settled + (int64_t)model_pick (4) * (550 * MS);
  world_announce (announced_us, 2);
}

static void
run (const struct model_case *model)
{
  begin (model);
  plan_restarts (announced_us);
  world_run (announced_us + RUN_US);
  world_end ();
}

/* A second version is announced before the first is in place. */
static void
run_burst (const struct model_case *model)
{
  begin (model);
  plan_restarts (announced_us);
  world_announce (announced_us + SECOND_US, 3);
  world_run (announced_us + RUN_US);
  world_end ();
}

/* The same, checking only what VMs know of the second: the holder of the lease
   handles the first, and the others do not write the row. */
static void
run_second (const struct model_case *model)
{
  begin (model);
  only_newest = true;
  plan_restarts (announced_us + SECOND_US);
  world_announce (announced_us + SECOND_US, 3);
  world_run (announced_us + SECOND_US + RUN_US);
  world_end ();
}

const struct model_case model_announcement_cases[] = {
  { "nothing, and nothing fails", run, 0, 0, 2 },
  { "nothing", run, 0, 1, 2 },
  { "nothing, while the holder gives orders", run_second, 0, 1, 2 },
  { "time counts from the announcement", run, OFF_SINCE, 1, 2 },
  { "the row has the times of announcements", run, OFF_ROW_TIMES, 1, 2 },
  { "answers say what was not announced yet", run, OFF_ANSWER_BOUNDS, 1, 2 },
  { NULL, NULL, 0, 0, 0 },
};

const struct model_case model_burst_cases[] = {
  { "nothing, and nothing fails", run_burst, 0, 0, 2 },
  { "nothing", run_burst, 0, 1, 2 },
  { NULL, NULL, 0, 0, 0 },
};
