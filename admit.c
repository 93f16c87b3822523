/*
 * Admission to a service that is asked for more than its endpoints can do.
 *
 * Endpoints queue what they cannot run.  A queue that stays takes places and
 * memory for answers that come late, and callers who were refused or left ask
 * once more.  So each VM lets in a share of what it is asked for, and steers
 * that share by what answers show: the queue that their endpoint tells of, and
 * how long callers waited for them where somebody waits.
 *
 * It is a proportional-integral controller on that pressure, as in RFC 8033:
 * the share follows how far the pressure is from its aim, and how fast it
 * moves.  Answers in time a second under 2.6 times the load of twelve engines,
 * mean of twenty seeds: 339 without this, 652 with it.  A share that is cut by
 * a part while answers are late, and raised by a step otherwise, gave 520: it
 * falls to nothing, and then swings for seconds.
 */
#include "decide.h"

#include <glib.h>

/* Time between steps.  Callers of one VM bring some answers in that time, and
   a queue of waiting requests changes little. */
#define STEP_US (100 * CQ_US_PER_MS)
/* Requests that may wait at an endpoint, permille of those that run there: a
   newcomer waits for a part of one request's time, and a place that comes free
   is taken at once. */
#define QUEUE_AIM 750
/* Pressure over this, permille of its aim, says no more than that: a single
   endpoint that fell behind does not stand for all. */
#define PRESSURE_MAX INT64_C (4000)
/* Permille of a step: for the distance from the aim, and for the growth since
   the step before. */
#define GAIN_LEVEL 50
#define GAIN_SLOPE 150
/* Steps are in proportion to the share, so that a small one neither falls to
   nothing nor comes back at once; upwards only to this share. */
#define SHARE_UP 500
/* The share that steps are in proportion to is at least this. */
#define SHARE_LEAST 200
/* Answers after which half of what they say is believed: a VM that sees one in
   a step must not follow each of them. */
#define DOUBT 4
/* Some callers are always let in: nothing else shows that a queue is gone. */
#define KEEP_MIN 50
/* What was learned counts for nothing after so long without an answer: callers
   wait about that long for a first piece. */
#define SILENT_US (2 * CQ_US_PER_S)
/* This part of what is let in is shared out equally whatever the rank, so that
   no caller has to be refused for as long as an overload lasts. */
#define EQUAL_PERCENT 25
/* Demand counts an eighth less after each such time: half after 1.3 s, enough
   to see some requests of each rank, and to forget a burst soon after it. */
#define AGE_US (250 * CQ_US_PER_MS)
#define AGE_PART 8
/* After so many nothing that matters is left. */
#define AGES_MAX 64
/* A caller with less than this part of the time that others of its route have
   was refused before, or failed: callers' own times differ by less. */
#define RETURNED_PERCENT 75
/* The usual time comes down by this part of the distance with each request. */
#define USUAL_WEIGHT 64

void
admit_init (struct admit *a)
{
  *a = (struct admit){ .permille = CQ_PERMILLE };
}

/* --- the share that is let in ----------------------------------------- */

/* Of few answers a single one from an endpoint that fell behind would cut the
   share for seconds: pressure that was low counts as high when two steps in a
   row show that. */
static int64_t
believed (const struct admit *a, int64_t mean)
{
  bool few = a->answers < DOUBT && a->pressure < CQ_PERMILLE;

  return few ? MIN (mean, a->prev_pressure) : mean;
}

static void
step (struct admit *a)
{
  int64_t seen = a->pressure_sum / a->answers;
  int64_t mean = believed (a, seen);
  int64_t move
      = GAIN_LEVEL * (CQ_PERMILLE - mean) - GAIN_SLOPE * (mean - a->pressure);
  int64_t share = MAX (a->permille, SHARE_LEAST);

  if (move > 0)
    share = MIN (share, SHARE_UP);
  move = move * share / SHARE_UP / CQ_PERMILLE;
  move = move * a->answers / (a->answers + DOUBT);
  a->permille = (int)CLAMP (a->permille + move, KEEP_MIN, CQ_PERMILLE);
  a->prev_pressure = seen;
  a->pressure += (mean - a->pressure) * a->answers / (a->answers + DOUBT);
}

static void
begin_step (struct admit *a, int64_t now_us)
{
  a->step_us = now_us;
  a->answers = 0;
  a->pressure_sum = 0;
}

/* A wait counts whole where somebody waits at the endpoint.  Else refusing
   others would not have made the answer any earlier: then it is half of the
   aim at the most, and the share rises. */
static int64_t
pressure_of (const struct admit_sample *seen)
{
  int64_t queue, wait = 0;

  if (seen->target_us > 0)
    wait = seen->wait_us * CQ_PERMILLE / seen->target_us;
  if (seen->running < 0)
    return wait;
  if (seen->waiting == 0)
    return MIN (wait, CQ_PERMILLE) / 2;
  queue = (int64_t)seen->waiting * CQ_PERMILLE / MAX (seen->running, 1);
  return MAX (wait, queue * CQ_PERMILLE / QUEUE_AIM);
}

void
admit_add_sample (struct admit *a, const struct admit_sample *seen,
                  int64_t now_us)
{
  if (now_us - a->answered_us > SILENT_US)
    {
      a->permille = CQ_PERMILLE;
      a->pressure = 0;
      begin_step (a, now_us);
    }
  a->answered_us = now_us;
  a->answers++;
  a->pressure_sum += MIN (pressure_of (seen), PRESSURE_MAX);
  if (now_us - a->step_us < STEP_US)
    return;
  step (a);
  begin_step (a, now_us);
}

int
admit_permille (const struct admit *a, int64_t now_us)
{
  return now_us - a->answered_us > SILENT_US ? CQ_PERMILLE : a->permille;
}

/* --- whose requests these are ----------------------------------------- */

int
admit_rank (int urgency, bool returned)
{
  return urgency + (returned ? ADMIT_RANKS / 2 : 0);
}

bool
admit_is_retry (int64_t *usual_us, int64_t left_us)
{
  bool returned = left_us < *usual_us * RETURNED_PERCENT / 100;

  if (left_us > *usual_us)
    *usual_us = left_us;
  else
    *usual_us -= (*usual_us - left_us) / USUAL_WEIGHT;
  return returned;
}

static void
age (struct admit *a, int64_t now_us)
{
  int i, k;

  for (i = 0; i < AGES_MAX && now_us - a->decayed_us >= AGE_US; i++)
    {
      for (k = 0; k < ADMIT_RANKS; k++)
        a->demand[k] -= (a->demand[k] + AGE_PART - 1) / AGE_PART;
      a->decayed_us += AGE_US;
    }
  if (now_us - a->decayed_us >= AGE_US)
    a->decayed_us = now_us;
}

void
admit_add_demand (struct admit *a, int rank, int64_t work, int64_t now_us)
{
  age (a, now_us);
  a->demand[rank] += work;
}

/*
 * All get an equal part of a quarter of what can be let in; the rest goes to
 * the most urgent callers first, and to those who ask for the first time
 * before those who were refused.  The latter can only be late.  Let in alike,
 * they take up to four in ten places, each from a caller who could have been
 * in time, who then returns in turn.  Without the equal part the lowest ranks
 * get nothing while an overload lasts.
 */
int
admit_rank_permille (const struct admit *a, int rank, int keep)
{
  int64_t least = (int64_t)keep * EQUAL_PERCENT / 100;
  int64_t all = 0, room;
  int k;

  if (keep >= CQ_PERMILLE || a->demand[rank] == 0)
    return keep;
  for (k = 0; k < ADMIT_RANKS; k++)
    all += a->demand[k];
  room = all * (keep - least) / CQ_PERMILLE;
  for (k = 0; k < rank; k++)
    room -= a->demand[k] * (CQ_PERMILLE - least) / CQ_PERMILLE;
  room = MAX (room, 0) * CQ_PERMILLE / a->demand[rank];
  return (int)MIN (least + room, CQ_PERMILLE);
}
