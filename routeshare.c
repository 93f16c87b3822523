/* Shares of the admitted work of a service among its routes. */
#include "routeshare.h"

#include <glib.h>

/* No route, workspace or prompt size may be served less than 1 / this as often
   as all requests together. */
#define LEAST_DIVISOR 4
/* A route is known once more than the present request of it is remembered:
   the size of a single request says nothing about the demand. */
#define KNOWN_ABOVE_MILLI 1000

/* Longer names are cut, so routes that differ only beyond that count as
   one. */
static void
copy_key (const char *route, char key[SHARE_NAME_SIZE])
{
  g_strlcpy (key, route, SHARE_NAME_SIZE);
}

void
routeshare_add_demand (struct routeshare *s, const char *route, int64_t work,
                       int64_t now_us)
{
  char key[SHARE_NAME_SIZE];

  copy_key (route, key);
  if (share_has_room (&s->share, key))
    share_add_demand (&s->share, key, work, now_us);
  else
    share_add_others (&s->share, work, now_us);
}

int
routeshare_permille (const struct routeshare *s, const char *route,
                     int permille)
{
  char key[SHARE_NAME_SIZE];
  const char *name = key;

  copy_key (route, key);
  if (share_milli_requests (&s->share, key) == 0
      && !share_has_room (&s->share, key))
    name = SHARE_OTHERS;
  if (share_milli_requests (&s->share, name) <= KNOWN_ABOVE_MILLI)
    return CQ_PERMILLE;
  return share_permille (&s->share, name, permille);
}

int
routeshare_least_permille (const struct routeshare *s, int permille)
{
  int admitted = share_requests_permille (&s->share, permille);

  return (admitted + LEAST_DIVISOR - 1) / LEAST_DIVISOR;
}
