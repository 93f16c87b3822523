/* Connection timeouts, learned for each failure domain. */
#include "conntime.h"

#include <string.h>

#include "decide.h"

/* The longest connection of this window and the one before it applies, so that
   a slow one is forgotten after 5 to 10 s. */
#define WINDOW_US (5 * CQ_US_PER_S)
/* Timeout as a multiple of the longest recent connection. */
#define FACTOR 4
/* A connection may take 1 / this of the latency target, so that another
   endpoint can still answer in time. */
#define TARGET_DIVISOR 3

static const struct conntime_domain *
find (const struct conntime *t, const char *domain)
{
  int i;

  for (i = 0; i < t->ndomains; i++)
    if (strcmp (t->domains[i].name, domain) == 0)
      return &t->domains[i];
  return NULL;
}

/* The entry of DOMAIN; if there are too many, it takes that of the domain
   without a connection for the longest time. */
static struct conntime_domain *
get_or_add (struct conntime *t, const char *domain)
{
  struct conntime_domain *d = (struct conntime_domain *)find (t, domain);
  int i;

  if (d != NULL)
    return d;
  d = t->domains;
  if (t->ndomains < CONNTIME_DOMAINS_MAX)
    d = &t->domains[t->ndomains++];
  else
    for (i = 1; i < t->ndomains; i++)
      if (t->domains[i].window < d->window)
        d = &t->domains[i];
  memset (d, 0, sizeof *d);
  g_strlcpy (d->name, domain, sizeof d->name);
  return d;
}

void
conntime_add (struct conntime *t, const char *domain, int64_t took_us,
              int64_t now_us)
{
  struct conntime_domain *d = get_or_add (t, domain);
  int64_t window = now_us / WINDOW_US;

  if (window != d->window)
    {
      d->previous_us = window == d->window + 1 ? d->largest_us : 0;
      d->largest_us = 0;
      d->window = window;
    }
  d->largest_us = MAX (d->largest_us, MAX (took_us, 1));
}

static int64_t
largest_recent_us (const struct conntime_domain *d, int64_t now_us)
{
  int64_t windows = now_us / WINDOW_US - d->window;

  if (windows > 1)
    return 0;
  return windows == 1 ? d->largest_us : MAX (d->largest_us, d->previous_us);
}

int64_t
conntime_timeout_us (const struct conntime *t, const char *domain,
                     int64_t target_us, int64_t now_us)
{
  const struct conntime_domain *d = find (t, domain);
  int64_t largest = d != NULL ? largest_recent_us (d, now_us) : 0;
  int64_t timeout = FACTOR * largest;

  if (largest == 0)
    return CONNTIME_MAX_US;
  if (target_us > 0)
    timeout = MIN (timeout, target_us / TARGET_DIVISOR);
  return CLAMP (timeout, CONNTIME_MIN_US, CONNTIME_MAX_US);
}
