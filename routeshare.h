/*
 * Shares of the admitted work of a service among its routes.
 *
 * Responds to a service that can serve only a part of its demand, usually
 * because one route asks for more than before.  The work that is admitted is
 * divided by max-min fairness, so that a route that asks for less than an
 * equal share loses nothing.
 */
#ifndef CQ_ROUTESHARE_H
#define CQ_ROUTESHARE_H

#include "decide.h"

/* Recent demand of the routes of a service, in tokens. */
struct routeshare
{
  struct share share; /* by route name; SHARE_OTHERS if there are too many */
};

/* Adds WORK to the demand of ROUTE. */
void routeshare_add_demand (struct routeshare *s, const char *route,
                            int64_t work, int64_t now_us);
/* Permille of the requests of ROUTE to admit if PERMILLE of all work can be
   served; CQ_PERMILLE for a route whose demand is not known. */
int routeshare_permille (const struct routeshare *s, const char *route,
                         int permille);
/* Least permille of the requests of any route, workspace or prompt size that
   is admitted if PERMILLE of all work can be served. */
int routeshare_least_permille (const struct routeshare *s, int permille);

#endif
