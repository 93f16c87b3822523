/*
 * Evacuated failure domains: the operator has stopped all new requests to
 * their endpoints.  Running requests continue, and orders to the endpoints are
 * still sent.
 */
#ifndef CQ_EVAC_H
#define CQ_EVAC_H

#include "fleet.h"

/* The operator evacuates DOMAIN; ROW is the number of that change. */
void evac_begin (struct fleet *f, const char *domain, int64_t row);
/* The operator ended the evacuation of DOMAIN. */
void evac_end (struct fleet *f, const char *domain, int64_t now_us);
/* A full read of the evacuations did not return that of DOMAIN. */
void evac_not_listed (struct fleet *f, const char *domain, int64_t now_us);
/* End the evacuations that have been missing for too long. */
void evac_sweep (struct fleet *f, int64_t now_us);

#endif
