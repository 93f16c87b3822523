/*
 * Choice among the endpoints of a service whose requests are not placed by
 * prompt.
 *
 * Load that this responds to: a few endpoints at high utilization, many VMs
 * that all know the same reports of their load, and endpoints that slow down
 * when they are nearly full.  If each VM selected the least loaded endpoint,
 * all would select the same one until the next report.
 */
#ifndef CQ_SPREAD_H
#define CQ_SPREAD_H

#include <stdbool.h>
#include <stdint.h>

/* What is known of an endpoint. */
struct spread_load
{
  int requests;      /* running and waiting there */
  int slots;         /* requests that it runs concurrently */
  int speed_percent; /* time that work takes there, 100 is normal */
  bool near;         /* it is in this VM's failure domain */
};

/* An endpoint that may be selected. */
struct spread_option
{
  void *endpoint;          /* the caller's, NULL for none */
  struct spread_load load; /* its load */
};

/* One that is drawn at random among those added so far. */
struct spread_draw
{
  int64_t weight;              /* sum of the weights */
  struct spread_option option; /* the one drawn */
};

/* A choice in progress. */
struct spread
{
  uint64_t random;         /* state of the random numbers */
  bool has_free;           /* an endpoint with a free slot was added */
  struct spread_draw all;  /* among all endpoints */
  struct spread_draw near; /* among those in this failure domain */
};

void spread_init (struct spread *s, uint64_t seed);
/* Adds an endpoint to choose from. */
void spread_add (struct spread *s, void *endpoint,
                 const struct spread_load *load);
/* Returns the selected endpoint, or NULL if none was added. */
void *spread_choice (const struct spread *s);

#endif
