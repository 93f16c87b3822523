/*
 * Admission control of a service whose demand exceeds its capacity.
 *
 * Endpoints queue what they cannot run.  A standing queue occupies slots and
 * memory for answers that come too late, and callers that were refused or gave
 * up send the request again.  So each VM admits only a share of its demand.
 * It controls this share by the pressure that answers show: the queue length
 * that the endpoint reports and, where requests are queued, the time to the
 * first chunk.
 *
 * The controller is proportional-integral, as in RFC 8033: the share follows
 * the distance of the pressure from its target, and its rate of change.  Under
 * a load of 2.6 times the capacity of twelve engines, the mean of twenty seeds
 * is 652 answers in time per second, and 339 without admission control.
 * Multiplicative decrease with additive increase gave 520: the share falls to
 * almost nothing and then oscillates for seconds.
 */
#include "decide.h"

#include <glib.h>

/* Time between steps.  A VM gets some answers in this time, while a queue
   changes little. */
#define STEP_US (100 * CQ_US_PER_MS)
/* Target queue length of an endpoint, in permille of the requests that it
   runs: a new request waits for a fraction of one run, and a freed slot is
   taken at once. */
#define QUEUE_TARGET_PERMILLE 750
/* Shortest target that follows from the latency targets: with less, freed
   slots stay empty until the next request arrives. */
#define QUEUE_TARGET_MIN_PERMILLE 100
/* Part of its latency target that a request may spend in the queue; the rest
   is for its prompt. */
#define QUEUE_TIME_PERCENT 50
/* With each run, the averages of runs move by this part of the difference. */
#define RUN_EWMA_DIVISOR 64
/* Upper bound of the pressure of one answer, in permille of the target: one
   slow endpoint must not dominate the mean. */
#define PRESSURE_MAX_PERMILLE INT64_C (4000)
/* Gains per step, in permille: for the distance from the target, and for the
   growth since the previous step. */
#define GAIN_ERROR_PERMILLE 50
#define GAIN_TREND_PERMILLE 150
/* Steps are proportional to the share, so that a small share neither drops to
   zero nor recovers at once.  Upward steps do not grow above this share. */
#define STEP_UP_SHARE_PERMILLE 500
/* Least share to which steps are proportional. */
#define STEP_MIN_SHARE_PERMILLE 200
/* Number of answers in a step at which their mean gets half weight: a VM with
   one answer per step must not follow each of them. */
#define HALF_WEIGHT_ANSWERS 4
/* Some requests are always admitted: only their answers show that the queue is
   gone. */
#define ADMIT_MIN_PERMILLE 50
/* The state is reset after this time without an answer, which is about as long
   as callers wait for a first chunk. */
#define SAMPLE_EXPIRY_US (2 * CQ_US_PER_S)
/* Part of the admitted work that is shared equally by all ranks, so that no
   caller is refused for the whole duration of an overload. */
#define EQUAL_PERCENT 25
/* Demand decays by an eighth per interval, by half in 1.3 s: long enough to
   see some requests of each rank, short enough to forget a burst soon. */
#define DECAY_INTERVAL_US (250 * CQ_US_PER_MS)
#define DECAY_DIVISOR 8
/* After this many intervals the remaining demand is negligible. */
#define DECAY_STEPS_MAX 64
/* A request with less than this part of the usual time of its route is a retry
   after a refusal or failure: the times of first requests differ by less. */
#define RETRY_TIME_PERCENT 75
/* Levels of route priority within a level of workspace priority.  Ten
   urgencies have room for three workspace levels of three; from the fourth on,
   workspaces have the last urgency. */
#define ROUTE_LEVELS 3
/* With each request the usual time falls by this part of the difference. */
#define USUAL_DECAY_DIVISOR 64

void
admit_init (struct admit *a)
{
  *a = (struct admit){ .permille = CQ_PERMILLE };
}

/* --- the admitted share ----------------------------------------------- */

/* With few answers per step, a single answer from a slow endpoint would cut
   the share for seconds.  Then pressure that was low counts as high only if
   two consecutive steps show it. */
static int64_t
damped_pressure (const struct admit *a, int64_t mean)
{
  bool few = a->answers < HALF_WEIGHT_ANSWERS && a->pressure < CQ_PERMILLE;

  return few ? MIN (mean, a->prev_pressure) : mean;
}

static void
step (struct admit *a)
{
  int64_t seen = a->pressure_sum / a->answers;
  int64_t mean = damped_pressure (a, seen);
  int64_t move = GAIN_ERROR_PERMILLE * (CQ_PERMILLE - mean)
                 - GAIN_TREND_PERMILLE * (mean - a->pressure);
  int64_t share = MAX (a->permille, STEP_MIN_SHARE_PERMILLE);

  if (move > 0)
    share = MIN (share, STEP_UP_SHARE_PERMILLE);
  move = move * share / STEP_UP_SHARE_PERMILLE / CQ_PERMILLE;
  move = move * a->answers / (a->answers + HALF_WEIGHT_ANSWERS);
  a->permille
      = (int)CLAMP (a->permille + move, ADMIT_MIN_PERMILLE, CQ_PERMILLE);
  a->prev_pressure = seen;
  a->pressure += (mean - a->pressure) * a->answers
                 / (a->answers + HALF_WEIGHT_ANSWERS);
}

static void
begin_step (struct admit *a, int64_t now_us)
{
  a->step_us = now_us;
  a->answers = 0;
  a->pressure_sum = 0;
}

void
admit_add_run (struct admit *a, int64_t run_us, int64_t target_us)
{
  if (a->target_us == 0)
    {
      a->run_us = run_us;
      a->target_us = target_us;
    }
  a->run_us += (run_us - a->run_us) / RUN_EWMA_DIVISOR;
  a->target_us += (target_us - a->target_us) / RUN_EWMA_DIVISOR;
}

/*
 * A request that arrives at an endpoint with as many requests in its queue as
 * it runs waits for about one run.  So the target is the part of a run that a
 * request may wait.  Where runs take longer than the latency targets, the
 * fixed target keeps a queue in which every request is late.
 */
int
admit_queue_target_permille (const struct admit *a)
{
  int64_t target = a->target_us * QUEUE_TIME_PERCENT / 100;

  if (target <= 0 || a->run_us <= 0)
    return QUEUE_TARGET_PERMILLE;
  return (int)CLAMP (target * CQ_PERMILLE / a->run_us,
                     QUEUE_TARGET_MIN_PERMILLE, QUEUE_TARGET_PERMILLE);
}

/* The time to the first chunk counts in full only if requests are queued at
   the endpoint.  Otherwise refusing requests would not have made the answer
   faster: the pressure is at most half the target, and the share rises. */
static int64_t
pressure_of (const struct admit *a, const struct admit_sample *sample)
{
  int64_t queue, wait = 0;

  if (sample->target_us > 0)
    wait = sample->wait_us * CQ_PERMILLE / sample->target_us;
  if (sample->running < 0)
    return wait;
  if (sample->waiting == 0)
    return MIN (wait, CQ_PERMILLE) / 2;
  queue = (int64_t)sample->waiting * CQ_PERMILLE / MAX (sample->running, 1);
  return MAX (wait, queue * CQ_PERMILLE / admit_queue_target_permille (a));
}

void
admit_add_sample (struct admit *a, const struct admit_sample *sample,
                  int64_t now_us)
{
  if (now_us - a->answered_us > SAMPLE_EXPIRY_US)
    {
      a->permille = CQ_PERMILLE;
      a->pressure = 0;
      begin_step (a, now_us);
    }
  a->answered_us = now_us;
  a->answers++;
  a->pressure_sum += MIN (pressure_of (a, sample), PRESSURE_MAX_PERMILLE);
  if (now_us - a->step_us < STEP_US)
    return;
  step (a);
  begin_step (a, now_us);
}

int
admit_permille (const struct admit *a, int64_t now_us)
{
  return now_us - a->answered_us > SAMPLE_EXPIRY_US ? CQ_PERMILLE
                                                    : a->permille;
}

/* --- ranks ------------------------------------------------------------ */

int
admit_urgency (int workspace_priority, int route_priority)
{
  int last = ADMIT_RANKS / 2 - 1;

  if (workspace_priority < 0)
    return CLAMP (route_priority, 0, last);
  return MIN (MIN (workspace_priority, last) * ROUTE_LEVELS
                  + CLAMP (route_priority, 0, ROUTE_LEVELS - 1),
              last);
}

int
admit_rank (int urgency, bool is_retry)
{
  return urgency + (is_retry ? ADMIT_RANKS / 2 : 0);
}

int
admit_planned_rank (int urgency, bool is_retry)
{
  return 2 * urgency + (is_retry ? 0 : 1);
}

bool
admit_is_retry (int64_t *usual_us, int64_t left_us)
{
  bool is_retry = left_us < *usual_us * RETRY_TIME_PERCENT / 100;

  if (left_us > *usual_us)
    *usual_us = left_us;
  else
    *usual_us -= (*usual_us - left_us) / USUAL_DECAY_DIVISOR;
  return is_retry;
}

static void
decay_demand (struct admit *a, int64_t now_us)
{
  int i, k;

  for (i = 0;
       i < DECAY_STEPS_MAX && now_us - a->decayed_us >= DECAY_INTERVAL_US; i++)
    {
      for (k = 0; k < ADMIT_RANKS; k++)
        a->demand[k] -= (a->demand[k] + DECAY_DIVISOR - 1) / DECAY_DIVISOR;
      a->decayed_us += DECAY_INTERVAL_US;
    }
  if (now_us - a->decayed_us >= DECAY_INTERVAL_US)
    a->decayed_us = now_us;
}

void
admit_add_demand (struct admit *a, int rank, int64_t work, int64_t now_us)
{
  decay_demand (a, now_us);
  a->demand[rank] += work;
}

/*
 * A quarter of the admitted work is shared equally by all ranks.  The rest
 * goes to the most urgent requests first, and to first requests before
 * retries, because a retry is answered late in any case.  Without this
 * preference retries take up to four in ten slots, each from a request that
 * could have been answered in time and is then retried as well.  Without the
 * equal part the lowest ranks get nothing while an overload lasts.
 */
int
admit_rank_permille (const struct admit *a, int rank, int permille)
{
  int64_t equal = (int64_t)permille * EQUAL_PERCENT / 100;
  int64_t total = 0, room;
  int k;

  if (permille >= CQ_PERMILLE || a->demand[rank] == 0)
    return permille;
  for (k = 0; k < ADMIT_RANKS; k++)
    total += a->demand[k];
  room = total * (permille - equal) / CQ_PERMILLE;
  for (k = 0; k < rank; k++)
    room -= a->demand[k] * (CQ_PERMILLE - equal) / CQ_PERMILLE;
  room = MAX (room, 0) * CQ_PERMILLE / a->demand[rank];
  return (int)MIN (equal + room, CQ_PERMILLE);
}
