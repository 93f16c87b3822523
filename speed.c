/* Speed of endpoints, and the pauses between the events of their streams. */
#include "speed.h"

#include <glib.h>

/* Half-life of the newest figure's deviation from the baseline: slow phases
   last about 0.6 s. */
#define HALF_LIFE_US INT64_C (300000)
/* Time constant of the baseline, some rotations of slow phases. */
#define BASELINE_US INT64_C (10000000)
/* A figure counts in the baseline for at most this time, however late the next
   one comes. */
#define FIGURE_MAX_US INT64_C (1000000)
/* Pauses before any sample, for events of eight decode steps: 5.5 ms a step,
   and 9.5 ms more for a step with a chunk of prefill. */
#define DECODE_PAUSE_INITIAL_US INT64_C (44000)
#define PREFILL_PAUSE_INITIAL_US INT64_C (120000)
/* Divisors of a sample in the averages. */
#define PAUSE_RISE_DIVISOR 16
/* A pause with pending prompts contains chunks for a part of its time only;
   the target concerns the pauses full of them, so the average falls slower
   than it rises. */
#define PREFILL_PAUSE_FALL_DIVISOR 128
/* A sample counts as at most so many times the average: this VM may have been
   suspended. */
#define PAUSE_OUTLIER_FACTOR 4

/* --- speed ------------------------------------------------------------ */

void
speed_add (struct speed *s, int percent, int64_t seen_us)
{
  int64_t held_us = MIN (seen_us - s->seen_us, FIGURE_MAX_US);

  if (percent < SPEED_MIN_PERCENT || percent > SPEED_MAX_PERCENT)
    return;
  if (s->percent == 0)
    s->baseline_milli = SPEED_NORMAL_PERCENT * INT64_C (1000);
  else if (seen_us < s->seen_us)
    return;
  else
    s->baseline_milli += (s->percent * INT64_C (1000) - s->baseline_milli)
                         * held_us / BASELINE_US;
  s->percent = percent;
  s->seen_us = seen_us;
}

int
speed_percent (const struct speed *s, int64_t now_us)
{
  int64_t age_us = now_us - s->seen_us;
  int baseline = (int)(s->baseline_milli / 1000);
  int deviation = s->percent - baseline;

  if (s->percent == 0)
    return SPEED_NORMAL_PERCENT;
  for (; age_us > HALF_LIFE_US && deviation != 0; age_us -= HALF_LIFE_US)
    deviation /= 2;
  return baseline + deviation;
}

bool
speed_is_recent (const struct speed *s, int64_t now_us)
{
  return s->percent > 0 && now_us - s->seen_us <= HALF_LIFE_US;
}

/* --- pauses ------------------------------------------------------------ */

static int64_t
decode_pause_us (const struct speed_pauses *p)
{
  return p->decode_us > 0 ? p->decode_us : DECODE_PAUSE_INITIAL_US;
}

static int64_t
prefill_pause_us (const struct speed_pauses *p)
{
  return p->prefill_us > 0 ? p->prefill_us : PREFILL_PAUSE_INITIAL_US;
}

/* The next value of an average; at least 1, as 0 stands for no sample. */
static int64_t
averaged (int64_t average, int64_t sample, int fall_divisor)
{
  int64_t change = MIN (sample, average * PAUSE_OUTLIER_FACTOR) - average;

  return MAX (
      average + change / (change > 0 ? PAUSE_RISE_DIVISOR : fall_divisor), 1);
}

void
speed_pause_add (struct speed_pauses *p, bool pending, int percent,
                 int64_t pause_us)
{
  int64_t normal_us = pause_us * SPEED_NORMAL_PERCENT / percent;

  if (pending)
    p->prefill_us = averaged (prefill_pause_us (p), normal_us,
                              PREFILL_PAUSE_FALL_DIVISOR);
  else
    p->decode_us
        = averaged (decode_pause_us (p), normal_us, PAUSE_RISE_DIVISOR);
}

int64_t
speed_pause_expected_us (const struct speed_pauses *p, int64_t prefill_us,
                         int percent)
{
  int64_t chunks_us = MAX (prefill_pause_us (p) - decode_pause_us (p), 0);

  return (decode_pause_us (p) + MIN (prefill_us, chunks_us)) * percent
         / SPEED_NORMAL_PERCENT;
}
