/*
 * Evacuated failure domains: the operator wants nothing more sent to their
 * endpoints.  What runs there goes on, and orders are still given.
 */
#ifndef CQ_EVAC_H
#define CQ_EVAC_H

#include "fleet.h"

/* The operator evacuates DOMAIN, by change ROW. */
void evac_begin (struct fleet *f, const char *domain, int64_t row);
/* The operator took that back. */
void evac_end (struct fleet *f, const char *domain, int64_t now_us);
/* A whole list of evacuations does not hold that of DOMAIN. */
void evac_not_listed (struct fleet *f, const char *domain, int64_t now_us);
/* End those whose return has been waited for long enough. */
void evac_sweep (struct fleet *f, int64_t now_us);

#endif
