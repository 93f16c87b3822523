/* Choice among the endpoints of a service without prompts. */
#include "spread.h"

#include <glib.h>

/* Weight of an idle endpoint of one slot at normal speed; gives weights a
   resolution of a percent for speeds up to 100 times the normal one. */
#define WEIGHT_UNIT INT64_C (1000000)

void
spread_init (struct spread *s, uint64_t seed)
{
  *s = (struct spread){ .random = seed };
}

/* One step of splitmix64. */
static uint64_t
next_random (struct spread *s)
{
  uint64_t z = s->random += UINT64_C (0x9E3779B97F4A7C15);

  z = (z ^ (z >> 30)) * UINT64_C (0xBF58476D1CE4E5B9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94D049BB133111EB);
  return z ^ (z >> 31);
}

static bool
is_free (const struct spread_load *l)
{
  return l->requests < l->slots;
}

/* The free capacity; of full endpoints, capacity over the length of the
   queue. */
static int64_t
weight_of (const struct spread_load *l)
{
  int64_t slots = MAX (l->slots, 1);
  int64_t unit = WEIGHT_UNIT / MAX (l->speed_percent, 1);

  if (is_free (l))
    return unit * (l->slots - l->requests);
  return MAX (unit * slots * slots / MAX (l->requests, 1), 1);
}

/* Whether the work per slot at A is at most that at B. */
static bool
is_at_most (const struct spread_load *a, const struct spread_load *b)
{
  return (int64_t)a->requests * a->speed_percent * MAX (b->slots, 1)
         <= (int64_t)b->requests * b->speed_percent * MAX (a->slots, 1);
}

static void
draw (struct spread *s, struct spread_draw *d, const struct spread_option *o)
{
  int64_t weight = weight_of (&o->load);

  d->weight += weight;
  if ((int64_t)(next_random (s) % (uint64_t)d->weight) < weight)
    d->option = *o;
}

void
spread_add (struct spread *s, void *endpoint, const struct spread_load *load)
{
  struct spread_option o = { .endpoint = endpoint, .load = *load };

  if (!is_free (load) && s->has_free)
    return;
  if (is_free (load) && !s->has_free)
    {
      s->has_free = true;
      s->all = s->near = (struct spread_draw){ .weight = 0 };
    }
  draw (s, &s->all, &o);
  if (load->near)
    draw (s, &s->near, &o);
}

/* A request to another failure domain takes some ms longer, so the endpoint
   there must be less loaded than one drawn in this domain. */
void *
spread_choice (const struct spread *s)
{
  const struct spread_option *all = &s->all.option, *near = &s->near.option;

  if (!all->load.near && near->endpoint != NULL
      && is_at_most (&near->load, &all->load))
    return near->endpoint;
  return all->endpoint;
}
