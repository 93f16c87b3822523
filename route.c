/*
 * Routing: chooses the endpoint with the least score.  The score is the
 * weighted sum of the expected time to first token, the time to recompute and
 * the time on a store's link; the operator of the service sets the weights.
 *
 * Load reports are delayed, so the load of an endpoint is its report plus what
 * this VM has sent since.  Several VMs with the same stale report would all
 * choose the same best endpoint; the choice is therefore random among the
 * endpoints with a score close to the best.
 */
#include "decide.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#define EJECT_BASE_US (CQ_US_PER_S / 2) /* backoff after the first failure */
#define EJECT_MAX_DOUBLINGS 6           /* longest backoff: 32 s */
#define EJECT_BROKEN_CONNS 3            /* consecutive broken connections */
#define NEAR_PERCENT 10                 /* close to the best: within this */
#define SCAN_MAX_ENDPOINTS 64           /* larger services are sampled */
#define SCRATCH_EXTRA 128 /* a sample may contain an endpoint twice */
#define SAMPLE_SIZE 48    /* random endpoints, besides probable holders */
#define NEAR_MIN_US 500   /* or within this time */

/* Endpoints of one service. */
struct members
{
  int *endpoints; /* their indices */
  int n;          /* their number */
};

struct route_table
{
  struct route_endpoint *endpoints; /* all endpoints */
  int count;                        /* entries in use */
  int allocated;                    /* entries allocated */
  uint64_t seed;                    /* state of the random generator */
  struct route_choice *scratch;     /* terms of each candidate */
  struct members *services;         /* by index of the service */
  int nservices;                    /* their number */
};

struct route_table *
route_new (uint64_t seed)
{
  struct route_table *t = g_new0 (struct route_table, 1);

  t->seed = seed;
  return t;
}

void
route_free (struct route_table *t)
{
  int i;

  for (i = 0; i < t->nservices; i++)
    g_free (t->services[i].endpoints);
  g_free (t->services);
  g_free (t->endpoints);
  g_free (t->scratch);
  g_free (t);
}

static void
add_member (struct route_table *t, int service, int endpoint)
{
  struct members *m;

  if (service >= t->nservices)
    {
      t->services = g_renew (struct members, t->services, service + 1);
      while (t->nservices <= service)
        t->services[t->nservices++] = (struct members){ 0 };
    }
  m = &t->services[service];
  m->endpoints = g_renew (int, m->endpoints, m->n + 1);
  m->endpoints[m->n++] = endpoint;
}

int
route_add (struct route_table *t, const struct route_opts *opts)
{
  if (t->count == t->allocated)
    {
      t->allocated = t->allocated ? t->allocated * 2 : 16;
      t->endpoints
          = g_renew (struct route_endpoint, t->endpoints, t->allocated);
      t->scratch = g_renew (struct route_choice, t->scratch,
                            t->allocated + SCRATCH_EXTRA);
    }
  t->endpoints[t->count] = (struct route_endpoint){ .opts = *opts };
  add_member (t, opts->service, t->count);
  return t->count++;
}

int
route_count (const struct route_table *t)
{
  return t->count;
}

struct route_endpoint *
route_get (struct route_table *t, int endpoint)
{
  return &t->endpoints[endpoint];
}

/* splitmix64: a small seeded generator, so that runs are reproducible. */
static uint64_t
next_random (struct route_table *t)
{
  uint64_t z = (t->seed += UINT64_C (0x9e3779b97f4a7c15));

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

enum route_state
route_state (const struct route_endpoint *e, int64_t now_us)
{
  if (e->leaving_incarnation[0] != '\0'
      && strcmp (e->leaving_incarnation, e->report.incarnation) == 0)
    return ROUTE_LEAVING;
  if (e->draining || e->removed)
    return ROUTE_DRAINING;
  if (now_us < e->retry_us)
    return ROUTE_EJECTED;
  return ROUTE_OK;
}

/* Number of the first recorded send that the report does not include. */
static unsigned
first_unreported (const struct route_endpoint *e)
{
  unsigned i = e->nsends > ROUTE_SENDS ? e->nsends - ROUTE_SENDS : 0;

  while (i < e->nsends && e->sends[i % ROUTE_SENDS].at_us < e->report.at_us)
    i++;
  return i;
}

static int
sends_since_report (const struct route_endpoint *e)
{
  return (int)(e->nsends - first_unreported (e));
}

static int
load_of (const struct route_endpoint *e)
{
  int reported
      = e->report.running + sends_since_report (e) - e->done_since_report;

  return reported > e->running ? reported : e->running;
}

static int
free_slots_of (const struct route_endpoint *e)
{
  int n = e->opts.slots - load_of (e);

  return n > 0 ? n : 0;
}

static bool
is_excluded (const struct route_query *q, int endpoint)
{
  int i;

  for (i = 0; i < q->nexclude; i++)
    if (q->exclude[i] == endpoint)
      return true;
  return false;
}

static int64_t
tokens_us (int64_t tokens, int64_t tokens_s)
{
  return tokens_s > 0 ? tokens * CQ_US_PER_S / tokens_s : 0;
}

/* Expected leading tokens in the endpoint's cache: the tokens it probably
   holds, times the probability that it still holds them. */
static int64_t
cached_tokens (const struct route_query *q, int endpoint)
{
  int64_t cached = 0;
  int i;

  for (i = 0; i < q->nhits; i++)
    if (q->hits[i].endpoint == endpoint)
      {
        cached = (int64_t)q->hits[i].blocks * q->block_tokens;
        if (cached > q->prompt_tokens)
          cached = q->prompt_tokens;
        return cached * q->hits[i].probability_permille / 1000;
      }
  return 0;
}

static int64_t
queue_after (int64_t queue_us, int64_t elapsed_us)
{
  return queue_us > elapsed_us ? queue_us - elapsed_us : 0;
}

/*
 * Expected queueing time of a new prompt.  The report is old, so it is
 * extrapolated: the endpoint has processed queued prompts since, and prompts
 * sent since were added.  Otherwise a burst would be invisible until the next
 * report, and further requests would join a queue that seems empty.
 */
static int64_t
queue_us (const struct route_endpoint *e, int64_t now_us)
{
  const struct route_opts *o = &e->opts;
  int64_t us = tokens_us (e->report.queued_tokens, o->prefill_tokens_s);
  int64_t at = e->report.at_us;
  const struct route_send *s;
  unsigned i;

  for (i = first_unreported (e); i < e->nsends; i++)
    {
      s = &e->sends[i % ROUTE_SENDS];
      us = queue_after (us, s->at_us - at)
           + tokens_us (s->tokens, o->prefill_tokens_s);
      at = s->at_us;
    }
  us = queue_after (us, now_us - at);
  /* Plus a decode step, in proportion to the slots in use. */
  return us + load_of (e) * o->decode_us / (o->slots > 0 ? o->slots : 1);
}

static struct route_choice
estimate (const struct route_endpoint *e, const struct route_query *q, int i,
          int64_t now_us)
{
  struct route_choice c = { .code = ROUTE_CHOSEN, .endpoint = i };
  struct plan_in in = { .prompt_tokens = q->prompt_tokens };
  struct plan p;

  in.cached_tokens = cached_tokens (q, i);
  in.queue_us = queue_us (e, now_us);
  in.network_us = e->opts.rtt_us;
  in.prefill_tokens_s = e->opts.prefill_tokens_s;
  in.segment_tokens = (int64_t)DIR_SEGMENT_BLOCKS * q->block_tokens;
  p = plan_best (&in, q->sources, q->nsources, &q->weights);
  c.cached_tokens = in.cached_tokens;
  c.queue_us = in.queue_us;
  c.network_us = in.network_us;
  c.compute_us = p.compute_us;
  c.store = p.store;
  c.import_us = p.import_us;
  c.import_tokens = p.store < 0 ? 0 : p.import_end_tokens - in.cached_tokens;
  c.cost_us = p.first_us;
  c.score = p.score;
  return c;
}

/* Whether E reports the weights and the build that are asked for. */
static bool
has_versions (const struct route_endpoint *e, const struct route_query *q)
{
  return (q->version == NULL || strcmp (e->report.version, q->version) == 0)
         && (q->build == NULL || strcmp (e->report.build, q->build) == 0);
}

/*
 * Whether E may be chosen.  Otherwise *WHY is raised to the reason that is
 * closest to success, so that the refusal names the actual obstacle.
 */
static bool
is_eligible (const struct route_endpoint *e, const struct route_query *q,
             int i, int64_t now_us, enum route_code *why)
{
  enum route_code code;

  if (e->opts.service != q->service)
    return false;
  if (!has_versions (e, q))
    code = ROUTE_NO_VERSION;
  else if (route_state (e, now_us) != ROUTE_OK || is_excluded (q, i))
    code = ROUTE_ALL_DOWN;
  else if (free_slots_of (e) == 0)
    code = ROUTE_BUSY;
  else
    return true;
  if (code > *why)
    *why = code;
  return false;
}

static int
choose_near (struct route_table *t, int n, int64_t best)
{
  int64_t bound = best + best * NEAR_PERCENT / 100;
  int near = 0;
  int pick, i;

  if (bound < best + NEAR_MIN_US)
    bound = best + NEAR_MIN_US;
  for (i = 0; i < n; i++)
    if (t->scratch[i].score <= bound)
      t->scratch[near++] = t->scratch[i];
  assert (near > 0);
  pick = (int)(next_random (t) % (uint64_t)near);
  t->scratch[pick].near_best = near;
  return pick;
}

/* Candidates collected so far. */
struct shortlist
{
  int n;               /* entries of scratch in use */
  int64_t best;        /* least score */
  enum route_code why; /* if none: the reason closest to success */
};

static void
add_candidate (struct route_table *t, const struct route_query *q, int i,
               int64_t now_us, struct shortlist *l)
{
  const struct route_endpoint *e = &t->endpoints[i];

  if (!is_eligible (e, q, i, now_us, &l->why))
    return;
  t->scratch[l->n] = estimate (e, q, i, now_us);
  if (t->scratch[l->n].score < l->best)
    l->best = t->scratch[l->n].score;
  l->n++;
}

/*
 * Among many endpoints the best one probably holds a prefix of the prompt or
 * is one of many with a short queue.  A sample contains one that is hardly
 * worse, at a cost that does not grow with the number of endpoints.
 */
static void
add_sample (struct route_table *t, const struct route_query *q,
            const struct members *m, int64_t now_us, struct shortlist *l)
{
  int i;

  for (i = 0; i < q->nhits; i++)
    add_candidate (t, q, q->hits[i].endpoint, now_us, l);
  for (i = 0; i < SAMPLE_SIZE; i++)
    add_candidate (t, q, m->endpoints[next_random (t) % (uint64_t)m->n],
                   now_us, l);
}

static void
add_all (struct route_table *t, const struct route_query *q,
         const struct members *m, int64_t now_us, struct shortlist *l)
{
  int i;

  for (i = 0; i < m->n; i++)
    add_candidate (t, q, m->endpoints[i], now_us, l);
}

struct route_choice
route_pick (struct route_table *t, const struct route_query *q, int64_t now_us)
{
  struct shortlist l = { .best = INT64_MAX, .why = ROUTE_NO_ENDPOINT };
  const struct members *m;
  struct route_choice c = { .endpoint = -1, .store = -1 };

  if (q->service < t->nservices)
    {
      m = &t->services[q->service];
      if (m->n > SCAN_MAX_ENDPOINTS)
        add_sample (t, q, m, now_us, &l);
      /* All of the sample may be busy while other endpoints are free. */
      if (l.n == 0)
        add_all (t, q, m, now_us, &l);
    }
  if (l.n == 0)
    {
      c.code = l.why;
      return c;
    }
  c = t->scratch[choose_near (t, l.n, l.best)];
  c.candidates = l.n;
  return c;
}

/* Slots of all endpoints of a service that may get new requests. */
int
route_slots (const struct route_table *t, int service, int64_t now_us)
{
  int slots = 0;
  int i;

  for (i = 0; i < t->count; i++)
    if (t->endpoints[i].opts.service == service
        && route_state (&t->endpoints[i], now_us) == ROUTE_OK)
      slots += t->endpoints[i].opts.slots;
  return slots;
}

int
route_free_slots (const struct route_table *t, int service, int64_t now_us)
{
  int slots = 0;
  int i;

  for (i = 0; i < t->count; i++)
    if (t->endpoints[i].opts.service == service
        && route_state (&t->endpoints[i], now_us) == ROUTE_OK)
      slots += free_slots_of (&t->endpoints[i]);
  return slots;
}

void
route_sent (struct route_table *t, int endpoint, int64_t prompt_tokens,
            int64_t now_us)
{
  struct route_endpoint *e = &t->endpoints[endpoint];
  struct route_send *s = &e->sends[e->nsends++ % ROUTE_SENDS];

  s->at_us = now_us;
  s->tokens = prompt_tokens;
  e->running++;
}

void
route_done (struct route_table *t, int endpoint)
{
  struct route_endpoint *e = &t->endpoints[endpoint];

  e->running--;
  e->done_since_report++;
}

static void
eject (struct route_endpoint *e, int64_t now_us)
{
  int doublings = e->ejections < EJECT_MAX_DOUBLINGS ? e->ejections
                                                     : EJECT_MAX_DOUBLINGS;

  e->retry_us = now_us + (EJECT_BASE_US << doublings);
  e->ejections++;
}

/*
 * Updates the health state of an endpoint.  An unreachable endpoint is ejected
 * with exponential backoff, as otherwise each request would first wait for a
 * connection failure.  A single broken connection is weak evidence and must
 * not eject the only endpoint of a service.
 */
void
route_result (struct route_table *t, int endpoint, enum route_result result,
              int64_t now_us)
{
  struct route_endpoint *e = &t->endpoints[endpoint];

  switch (result)
    {
    case ROUTE_REACHED:
      e->ejections = 0;
      e->broken_conns = 0;
      e->retry_us = 0;
      break;
    case ROUTE_CONN_BROKEN:
      if (++e->broken_conns >= EJECT_BROKEN_CONNS)
        eject (e, now_us);
      break;
    case ROUTE_UNREACHABLE:
      eject (e, now_us);
      break;
    }
}

/*
 * Stores a load report.  Leaving is final for an incarnation: a delayed report
 * or an outdated list does not reverse it; only a new incarnation of the
 * endpoint does.
 */
void
route_set_report (struct route_table *t, int endpoint,
                  const struct route_report *report)
{
  struct route_endpoint *e = &t->endpoints[endpoint];

  e->report = *report;
  e->done_since_report = 0;
  if (report->leaving)
    g_strlcpy (e->leaving_incarnation, report->incarnation,
               sizeof e->leaving_incarnation);
}

const char *
route_code_name (enum route_code code)
{
  static const char *const names[] = {
    [ROUTE_CHOSEN] = "chosen",
    [ROUTE_NO_ENDPOINT] = "no_endpoint",
    [ROUTE_NO_VERSION] = "no_version",
    [ROUTE_ALL_DOWN] = "all_down",
    [ROUTE_BUSY] = "busy",
  };
  return names[code];
}

const char *
route_state_name (enum route_state state)
{
  static const char *const names[] = {
    [ROUTE_OK] = "ok",
    [ROUTE_EJECTED] = "ejected",
    [ROUTE_DRAINING] = "draining",
    [ROUTE_LEAVING] = "leaving",
  };
  return names[state];
}
