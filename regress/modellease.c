/*
 * Model check of the lease and of orders under it.  Two or three VMs see an
 * announcement at once.  Calls to the store are rejected, lost, done without
 * an answer, done late or answered late; VMs are frozen before and after each
 * call, or end and start again; or they release the lease since they reach no
 * endpoint.  The store may be restored from an older copy, with or without a
 * row.  Orders of two VMs must reach endpoints at least the gap apart,
 * with fencing tokens that do not decrease.
 */
#include "modelworld.h"

#define SECOND_US (2500 * MS) /* time of the second announcement */
#define RUN_US (8000 * MS)
/* A restore of the store: from a copy without a row, or with the first row,
   while the first holder gives orders or just before the second announcement.
 */
#define COPY_US (600 * MS)
#define RESTORE_EARLY_US (700 * MS)
#define RESTORE_LATE_US (2400 * MS)
#define RESTORE_RUN_US (10000 * MS)
/* Time for which VMs run before the first announcement. */
#define STARTED_US (6000 * MS)

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

static void
run_restored (const struct model_case *model)
{
  bool has_row, late;
  int64_t begin;
  int i;

  world_begin (model, false);
  world.era = 1;
  for (i = 0; i < model->vms; i++)
    world_start (&world.vms[i]);
  begin = world.now_us + STARTED_US;
  has_row = model_pick (2) == 1;
  late = model_pick (2) == 1;
  world_restore (has_row ? begin + COPY_US : world.now_us,
                 begin + (late ? RESTORE_LATE_US : RESTORE_EARLY_US));
  world_announce (begin, 2);
  world_announce (begin + SECOND_US, 3);
  world_run (begin + RESTORE_RUN_US);
  world_end ();
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
  { "nothing, and the store is restored", run_restored, 0, 1, 3 },
  { "likewise, the era in replies", run_restored, OFF_ERA, 1, 3 },
  { "likewise, the era in the row", run_restored, OFF_ERA_ROW, 1, 3 },
  { "likewise, the era in fencing tokens", run_restored, OFF_ERA_FENCE, 1, 3 },
  { NULL, NULL, 0, 0, 0 },
};
