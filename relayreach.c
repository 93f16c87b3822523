/* Which services the relay reaches, and probes of those that it does not. */
#include "relayreach.h"

#include <string.h>

#include "decide.h"
#include "log.h"
#include "met.h"

/* Endpoints whose connections failed before the path is doubted. */
#define DOUBTFUL_MIN 2
/* Interval of looks for probes that are due. */
#define CHECK_INTERVAL_US (50 * CQ_US_PER_MS)

/* A connection that was established. */
struct path
{
  uint64_t endpoint;  /* its key */
  int64_t started_us; /* start of the attempt to connect; 0 for none */
};

struct relayreach
{
  struct relayreach_opts opts; /* copy of the options */
  GHashTable *services;        /* name to struct service_reach */
  struct loop_timer check;     /* sends probes that are due */
  struct path newest;          /* the path that was used last */
  struct path other;           /* the last one to another endpoint than that */
  uint64_t random_state;       /* selects the endpoint that is probed */
  int nprobes;                 /* probes under way */
  bool closed;                 /* freed when no probe is under way */
};

/* Reach of one service. */
struct service_reach
{
  struct reach reach; /* evidence */
  bool isolated;      /* as logged last */
};

/* A probe under way. */
struct probe
{
  struct relayreach *owner;
  struct fleet_endpoint *endpoint; /* destination; a reference */
  int64_t started_us;              /* when it was sent */
  void (*done) (void *arg);        /* called after the result, or NULL */
  void *arg;                       /* passed to done */
};

static bool
is_in_use (const struct fleet_endpoint *e)
{
  return !e->draining && !e->removed;
}

static bool
is_usable (const struct fleet_endpoint *e, const char *service)
{
  return is_in_use (e) && strcmp (e->listing.service, service) == 0;
}

static int
count_endpoints (const struct fleet *f, const char *service)
{
  struct fleet_endpoint *e;
  int n = 0;

  APR_RING_FOREACH (e, &f->endpoints, fleet_endpoint, link)
  n += is_usable (e, service);
  return n;
}

static struct service_reach *
get_or_add_service (struct relayreach *t, const char *name)
{
  struct service_reach *s = g_hash_table_lookup (t->services, name);

  if (s != NULL)
    return s;
  s = g_new0 (struct service_reach, 1);
  g_hash_table_insert (t->services, g_strdup (name), s);
  return s;
}

static void
log_change (struct relayreach *t, struct service_reach *s, const char *service,
            int64_t since_us, int64_t now_us)
{
  int endpoints = count_endpoints (t->opts.fleet, service);
  bool isolated = reach_is_isolated (&s->reach, endpoints);

  if (isolated == s->isolated)
    return;
  s->isolated = isolated;
  met_add (MET_ISOLATIONS, isolated);
  log_event (LOG_LEVEL_WARNING, "reach",
             "service=%s outcome=%s endpoints=%d since_us=%" G_GINT64_FORMAT,
             service, isolated ? "isolated" : "reached", endpoints,
             (gint64)(since_us > 0 ? now_us - since_us : 0));
}

/* --- probes ---------------------------------------------------------- */

static uint64_t
next_random (struct relayreach *t)
{
  t->random_state = t->random_state * UINT64_C (6364136223846793005)
                    + UINT64_C (1442695040888963407);
  return t->random_state >> 33;
}

/* A pseudo-random endpoint of SERVICE, or NULL. */
static struct fleet_endpoint *
pick_any (struct relayreach *t, const char *service)
{
  int n = count_endpoints (t->opts.fleet, service);
  struct fleet_endpoint *e;

  if (n == 0)
    return NULL;
  n = (int)(next_random (t) % (uint64_t)n);
  APR_RING_FOREACH (e, &t->opts.fleet->endpoints, fleet_endpoint, link)
  if (is_usable (e, service) && n-- == 0)
    return e;
  return NULL;
}

/* A pseudo-random endpoint of any service other than E, one without failures
   if there is one, since it is more likely to answer; or NULL. */
static struct fleet_endpoint *
pick_other (struct relayreach *t, const struct fleet_endpoint *e)
{
  struct fleet_endpoint *other, *picked = NULL;
  uint64_t n = 0;

  APR_RING_FOREACH (other, &t->opts.fleet->endpoints, fleet_endpoint, link)
  {
    if (other == e || !is_in_use (other))
      continue;
    if (picked != NULL && picked->failures == 0 && other->failures > 0)
      continue;
    if (picked != NULL && picked->failures > 0 && other->failures == 0)
      n = 0;
    if (next_random (t) % ++n == 0)
      picked = other;
  }
  return picked;
}

static void
release (struct relayreach *t)
{
  if (!t->closed || t->nprobes > 0)
    return;
  g_hash_table_destroy (t->services);
  g_free (t);
}

static void
on_probe (void *arg, enum relay_probe_result result,
          const struct notice *notice)
{
  struct probe *p = arg;
  struct relayreach *t = p->owner;

  (void)notice;
  t->nprobes--;
  if ((result == RELAY_PROBE_ALIVE || result == RELAY_PROBE_CRASHED)
      && !t->closed)
    relayreach_connected (t, p->endpoint, p->started_us, loop_now_us ());
  if (p->done != NULL)
    p->done (p->arg);
  fleet_endpoint_unref (p->endpoint);
  g_free (p);
  release (t);
}

static void
send_probe (struct relayreach *t, struct fleet_endpoint *e,
            void (*done) (void *arg), void *arg)
{
  const struct relay_engine *engine = t->opts.engine;
  struct probe *p = g_new0 (struct probe, 1);

  p->owner = t;
  p->endpoint = fleet_endpoint_ref (e);
  p->started_us = loop_now_us ();
  p->done = done;
  p->arg = arg;
  t->nprobes++;
  engine->probe (engine->ctx, e, on_probe, p);
}

bool
relayreach_probe_other (struct relayreach *t, const struct fleet_endpoint *e,
                        void (*done) (void *arg), void *arg)
{
  struct fleet_endpoint *other = pick_other (t, e);

  if (other == NULL)
    return false;
  send_probe (t, other, done, arg);
  return true;
}

static void
on_check (void *arg, int64_t now_us)
{
  struct relayreach *t = arg;
  struct service_reach *s;
  struct fleet_endpoint *e;
  GHashTableIter it;
  bool any = false;
  char *service;

  g_hash_table_iter_init (&it, t->services);
  while (g_hash_table_iter_next (&it, (gpointer *)&service, (gpointer *)&s))
    {
      if (!s->isolated)
        continue;
      any = true;
      if (reach_take_probe (&s->reach, now_us)
          && (e = pick_any (t, service)) != NULL)
        send_probe (t, e, NULL, NULL);
    }
  if (any)
    loop_arm (t->opts.loop, &t->check, now_us + CHECK_INTERVAL_US);
}

/* --- evidence -------------------------------------------------------- */

static void
record_path (struct relayreach *t, uint64_t endpoint, int64_t started_us)
{
  if (endpoint != t->newest.endpoint)
    {
      t->other = t->newest;
      t->newest = (struct path){ .endpoint = endpoint };
    }
  t->newest.started_us = MAX (started_us, t->newest.started_us);
}

void
relayreach_connected (struct relayreach *t, const struct fleet_endpoint *e,
                      int64_t started_us, int64_t now_us)
{
  struct service_reach *s = get_or_add_service (t, e->listing.service);
  int64_t since_us = s->reach.failed_us;

  record_path (t, e->key, started_us);
  reach_add_connected (&s->reach, now_us);
  if (s->isolated)
    log_change (t, s, e->listing.service, since_us, now_us);
}

void
relayreach_failed (struct relayreach *t, const struct fleet_endpoint *e,
                   int64_t started_us, int64_t now_us)
{
  struct service_reach *s = get_or_add_service (t, e->listing.service);

  met_add (MET_UNCONNECTED, 1);
  reach_add_failure (&s->reach, e->key, started_us, now_us);
  log_change (t, s, e->listing.service, s->reach.failed_us, now_us);
  if (s->isolated && t->opts.engine->probe != NULL && !t->check.armed)
    loop_arm (t->opts.loop, &t->check, now_us + CHECK_INTERVAL_US);
}

bool
relayreach_is_isolated (const struct relayreach *t, const char *service)
{
  const struct service_reach *s = g_hash_table_lookup (t->services, service);

  return s != NULL && s->isolated;
}

bool
relayreach_is_doubtful (const struct relayreach *t, const char *service)
{
  const struct service_reach *s = g_hash_table_lookup (t->services, service);

  return s != NULL && s->reach.nfailed >= DOUBTFUL_MIN;
}

void
relayreach_describe (const struct relayreach *t, struct vmpath_answer *a)
{
  const struct service_reach *s;
  GHashTableIter it;
  char *service;

  g_hash_table_iter_init (&it, t->services);
  while (g_hash_table_iter_next (&it, (gpointer *)&service, (gpointer *)&s)
         && a->nunreached < VMPATH_SERVICES_MAX)
    if (s->isolated)
      a->unreached[a->nunreached++] = vmpath_key (service);
}

/* An attempt that was started before SINCE_US may have been connected before
   the path was lost. */
bool
relayreach_connected_since (const struct relayreach *t,
                            const struct fleet_endpoint *e, int64_t since_us)
{
  const struct path *p = t->newest.endpoint == e->key ? &t->other : &t->newest;

  return p->started_us > since_us;
}

/* --- lifecycle ------------------------------------------------------- */

struct relayreach *
relayreach_new (const struct relayreach_opts *opts)
{
  struct relayreach *t = g_new0 (struct relayreach, 1);

  t->opts = *opts;
  t->random_state = opts->seed;
  t->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  t->check.fire = on_check;
  t->check.arg = t;
  return t;
}

void
relayreach_free (struct relayreach *t)
{
  loop_disarm (&t->check);
  t->closed = true;
  release (t);
}
