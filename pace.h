/* Requests of this VM to one endpoint, spaced evenly. */
#ifndef CQ_PACE_H
#define CQ_PACE_H

#include <stdbool.h>
#include <stdint.h>

struct pace
{
  int64_t interval_us; /* interval between two requests; 0: none may be sent */
  int64_t placed_us;   /* when the endpoint was last selected; 0 for never */
  int64_t sent_us;     /* when a request was last sent there; 0 for never */
};

/* Returns whether the endpoint may be selected now; pace_placed records that
   it was. */
bool pace_may_place (const struct pace *p, int64_t now_us);
void pace_placed (struct pace *p, int64_t now_us);
/* Returns whether a request may be sent there now, checked just before it is
   sent; pace_sent records that it was. */
bool pace_may_send (const struct pace *p, int64_t now_us);
void pace_sent (struct pace *p, int64_t now_us);

#endif
