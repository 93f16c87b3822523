/* Requests of this VM to one endpoint, spaced evenly. */
#ifndef CQ_PACE_H
#define CQ_PACE_H

#include <stdbool.h>
#include <stdint.h>

struct pace
{
  int64_t interval_us; /* between two requests; 0: none may be sent */
  int64_t placed_us;   /* the endpoint was chosen last; 0 for never */
  int64_t sent_us;     /* a request was sent there last; 0 for never */
};

/* Whether the endpoint may be chosen now; it was. */
bool pace_may_place (const struct pace *p, int64_t now_us);
void pace_placed (struct pace *p, int64_t now_us);
/* Whether a request may be sent there now, at the last moment; it was. */
bool pace_may_send (const struct pace *p, int64_t now_us);
void pace_sent (struct pace *p, int64_t now_us);

#endif
