/*
 * Speed of endpoints, and the pauses between the events of their streams.
 *
 * Load that this responds to: a part of the endpoints works several times as
 * slowly for some tenths of a second, and reports it.  Prefill is chunked and
 * interleaved with the decoding of running streams, so a long prompt that is
 * sent to such an endpoint stalls every stream there beyond the pause that
 * callers accept.
 */
#ifndef CQ_SPEED_H
#define CQ_SPEED_H

#include <stdbool.h>
#include <stdint.h>

/* A speed is the time that work takes, in percent of the normal time. */
#define SPEED_NORMAL_PERCENT 100
#define SPEED_MIN_PERCENT 10    /* smallest valid figure */
#define SPEED_MAX_PERCENT 10000 /* largest valid figure */

/* Reported speed of an endpoint; zeros before the first report. */
struct speed
{
  int percent;            /* newest figure, 0 before any */
  int64_t seen_us;        /* time of the newest figure */
  int64_t baseline_milli; /* slow moving average of the figures, in thousandths
                             of a percent */
};

/* A figure of SEEN_US; ignored if it is invalid or older than the newest. */
void speed_add (struct speed *s, int percent, int64_t seen_us);
/* Returns the estimated speed at NOW_US. */
int speed_percent (const struct speed *s, int64_t now_us);
/* Returns whether the newest figure describes the endpoint at NOW_US. */
bool speed_is_recent (const struct speed *s, int64_t now_us);

/* Pauses between events of a service's streams at normal speed; zeros before
   any sample. */
struct speed_pauses
{
  int64_t decode_us;  /* average pause while no prompt is pending */
  int64_t prefill_us; /* long pauses while prompts are pending */
};

/* A pause of PAUSE_US between two events at an endpoint of speed PERCENT;
   PENDING if a prompt was pending there. */
void speed_pause_add (struct speed_pauses *p, bool pending, int percent,
                      int64_t pause_us);
/* Returns the expected pause at an endpoint of speed PERCENT while prompts are
   prefilled there that take PREFILL_US at normal speed. */
int64_t speed_pause_expected_us (const struct speed_pauses *p,
                                 int64_t prefill_us, int percent);

#endif
