/*
 * Model check of the lease and of orders under it.  Two or three VMs see an
 * announcement at once.  Calls to the store are rejected, lost, done without
 * an answer, done late or answered late; VMs are frozen before and after each
 * call, or end and start again; or they release the lease since they reach no
 * endpoint.  Orders of two VMs must reach endpoints at least the gap apart,
 * with fencing tokens that do not decrease.
 */
#include "modelworld.h"

#define SECOND_US (2500 * MS) /* time of the second announcement */
#define RUN_US (8000 * MS)

static void
run_world (const struct model_case *model, bool unreached)
{
  int i;

  world_begin (model, false);
  world.unreached = unreached;
  world_announce (world.now_us, 2);
  world_announce (world.now_us + SECOND_US, 3);
  for (i = 0; i < model->vms; i++)
    world_start (&world.vms[i]);
  world_run (world.now_us + RUN_US);
  world_end ();
}

static void
run (const struct model_case *model)
{
  run_world (model, false);
}

static void
run_unreached (const struct model_case *model)
{
  run_world (model, true);
}

const struct model_case model_lease_cases[] = {
  { "nothing", run, 0, 2, 2 },
  { "nothing, three VMs", run, 0, 2, 3 },
  { "nothing, and VMs release what they cannot use", run_unreached, 0, 2, 2 },
  { "the row says until when its holder orders", run, OFF_UNTIL, 2, 2 },
  { "a successor waits for the gap", run, OFF_GAP, 2, 2 },
  { "the row says from when its holder orders", run, OFF_BEGIN, 2, 2 },
  { "only incarnations of one VM continue at once", run, OFF_SAME_VM, 2, 2 },
  { "writes name the row's version", run, OFF_PRECONDITION, 2, 2 },
  { "a check of the lease before the first byte", run, OFF_LAST_CHECK, 2, 2 },
  { "writes count once they are acknowledged", run, OFF_ACKNOWLEDGED, 2, 2 },
  { "one clock, the store's", run, OFF_STORE_CLOCK, 2, 2 },
  { NULL, NULL, 0, 0, 0 },
};
