/*
 * Model check of the lease and of orders under it.  Two or three VMs hear of
 * new weights at once.  Calls to the store are refused, lost, done without an
 * answer, done late or answered late; VMs stand still before and after each
 * call, or end and begin a new life.  Orders of two VMs must reach endpoints
 * the gap apart, with fences that do not fall.
 */
#include "modelworld.h"

#define SECOND_US (2500 * MS) /* the second naming */
#define RUN_US (8000 * MS)

static void
run (const struct model_case *model)
{
  int i;

  world_begin (model, false);
  world_name (world.now_us, 2);
  world_name (world.now_us + SECOND_US, 3);
  for (i = 0; i < model->vms; i++)
    world_start (&world.vms[i]);
  world_run (world.now_us + RUN_US);
  world_end ();
}

const struct model_case model_lease_cases[] = {
  { "nothing", run, 0, 2, 2 },
  { "nothing, three VMs", run, 0, 2, 3 },
  { "a row says until when its holder orders", run, OFF_UNTIL, 2, 2 },
  { "a successor waits for the gap", run, OFF_GAP, 2, 2 },
  { "a row says from when its holder orders", run, OFF_BEGIN, 2, 2 },
  { "only lives of one VM go on at once", run, OFF_SAME_VM, 2, 2 },
  { "writes name the row's version", run, OFF_PRECONDITION, 2, 2 },
  { "a look at the lease before the first byte", run, OFF_LAST_LOOK, 2, 2 },
  { "writes count once they are acknowledged", run, OFF_ACKNOWLEDGED, 2, 2 },
  { "one clock, the store's", run, OFF_STORE_CLOCK, 2, 2 },
  { NULL, NULL, 0, 0, 0 },
};
