/*
 * Routing: the endpoint with the least score, which is the expected time to
 * first token, the time to recompute and the time on a store's link, each
 * times the weight that the service's operator declared.
 *
 * Load reports lag, so an endpoint's load is its report plus what this VM has
 * sent since.  Several VMs choosing from the same stale report would all take
 * the same endpoint; the choice is therefore random among the near-best.
 */
#include "decide.h"

#include <assert.h>
#include <glib.h>
#include <string.h>

#define EJECT_BASE_US (CQ_US_PER_S / 2) /* pause after the first failure */
#define EJECT_MAX_DOUBLINGS 6           /* longest pause: 32 s */
#define EJECT_BREAKS 3                  /* broken connections in a row */
#define NEAR_PERCENT 10                 /* near-best: within this share */
#define SCAN_MAX 64       /* up to so many endpoints, all are compared */
#define SCRATCH_EXTRA 128 /* a sample may meet an endpoint twice */
#define SAMPLE 48         /* else the believed holders and so many at random */
#define NEAR_FLOOR_US 500 /* and always within this much */

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
  int room;                         /* entries allocated */
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
  if (t->count == t->room)
    {
      t->room = t->room ? t->room * 2 : 16;
      t->endpoints = g_renew (struct route_endpoint, t->endpoints, t->room);
      t->scratch
          = g_renew (struct route_choice, t->scratch, t->room + SCRATCH_EXTRA);
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

/* splitmix64: a small seeded generator, so that runs can be repeated. */
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
  if (e->left[0] != '\0' && strcmp (e->left, e->report.incarnation) == 0)
    return ROUTE_LEAVING;
  if (e->draining || e->removed)
    return ROUTE_DRAINING;
  if (now_us < e->retry_us)
    return ROUTE_EJECTED;
  return ROUTE_OK;
}

/* Number of the first remembered send that the report cannot know. */
static unsigned
first_unreported (const struct route_endpoint *e)
{
  unsigned i = e->nsends > ROUTE_SENDS ? e->nsends - ROUTE_SENDS : 0;

  while (i < e->nsends && e->sends[i % ROUTE_SENDS].at_us < e->report.at_us)
    i++;
  return i;
}

static int
sent_since (const struct route_endpoint *e)
{
  return (int)(e->nsends - first_unreported (e));
}

static int
load_of (const struct route_endpoint *e)
{
  int reported = e->report.running + sent_since (e) - e->done_since;

  return reported > e->running ? reported : e->running;
}

static int
free_at (const struct route_endpoint *e)
{
  int n = e->opts.slots - load_of (e);

  return n > 0 ? n : 0;
}

static bool
excluded (const struct route_query *q, int endpoint)
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

/* Expected leading tokens in the endpoint's memory: believed, times the
   chance that they are still there. */
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
        return cached * q->hits[i].permille / 1000;
      }
  return 0;
}

static int64_t
drained (int64_t queue_us, int64_t passed_us)
{
  return queue_us > passed_us ? queue_us - passed_us : 0;
}

/*
 * Time before a new prompt's turn.  The report is old, so it is carried
 * forward: the prompts it counted have been worked on since, and those sent
 * since came on top.  Without this a burst of sends hides in the report's lag
 * and the next requests join a queue that looks empty.
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
      us = drained (us, s->at_us - at)
           + tokens_us (s->tokens, o->prefill_tokens_s);
      at = s->at_us;
    }
  us = drained (us, now_us - at);
  /* And about one decode step for each request that runs. */
  return us + load_of (e) * o->decode_us / (o->slots > 0 ? o->slots : 1);
}

static struct route_choice
price (const struct route_endpoint *e, const struct route_query *q, int i,
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

/*
 * Whether E may be chosen; otherwise *WORST is raised to the reason that is
 * closest to success, so that the refusal names the real obstacle.
 */
static bool
eligible (const struct route_endpoint *e, const struct route_query *q, int i,
          int64_t now_us, enum route_code *why)
{
  enum route_code code;

  if (e->opts.service != q->service)
    return false;
  if (q->version != NULL && strcmp (e->report.version, q->version) != 0)
    code = ROUTE_NO_VERSION;
  else if (route_state (e, now_us) != ROUTE_OK || excluded (q, i))
    code = ROUTE_ALL_DOWN;
  else if (free_at (e) == 0)
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

  if (bound < best + NEAR_FLOOR_US)
    bound = best + NEAR_FLOOR_US;
  for (i = 0; i < n; i++)
    if (t->scratch[i].score <= bound)
      t->scratch[near++] = t->scratch[i];
  assert (near > 0);
  pick = (int)(next_random (t) % (uint64_t)near);
  t->scratch[pick].near = near;
  return pick;
}

/* Candidates collected so far. */
struct shortlist
{
  int n;               /* entries of the scratch in use */
  int64_t best;        /* least score */
  enum route_code why; /* reason closest to success, if none */
};

static void
consider (struct route_table *t, const struct route_query *q, int i,
          int64_t now_us, struct shortlist *l)
{
  const struct route_endpoint *e = &t->endpoints[i];

  if (!eligible (e, q, i, now_us, &l->why))
    return;
  t->scratch[l->n] = price (e, q, i, now_us);
  if (t->scratch[l->n].score < l->best)
    l->best = t->scratch[l->n].score;
  l->n++;
}

/*
 * Among many endpoints the best is a believed holder of the prompt, or one of
 * many with a short queue; of those a sample finds one that is hardly worse,
 * at a cost that does not grow with their number.
 */
static void
consider_sample (struct route_table *t, const struct route_query *q,
                 const struct members *m, int64_t now_us, struct shortlist *l)
{
  int i;

  for (i = 0; i < q->nhits; i++)
    consider (t, q, q->hits[i].endpoint, now_us, l);
  for (i = 0; i < SAMPLE; i++)
    consider (t, q, m->endpoints[next_random (t) % (uint64_t)m->n], now_us, l);
}

static void
consider_all (struct route_table *t, const struct route_query *q,
              const struct members *m, int64_t now_us, struct shortlist *l)
{
  int i;

  for (i = 0; i < m->n; i++)
    consider (t, q, m->endpoints[i], now_us, l);
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
      if (m->n > SCAN_MAX)
        consider_sample (t, q, m, now_us, &l);
      /* None of a sample may be free while others are. */
      if (l.n == 0)
        consider_all (t, q, m, now_us, &l);
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

/* Places of a service in all, at endpoints that may get new work. */
int
route_places (const struct route_table *t, int service, int64_t now_us)
{
  int places = 0;
  int i;

  for (i = 0; i < t->count; i++)
    if (t->endpoints[i].opts.service == service
        && route_state (&t->endpoints[i], now_us) == ROUTE_OK)
      places += t->endpoints[i].opts.slots;
  return places;
}

int
route_free_places (const struct route_table *t, int service, int64_t now_us)
{
  int places = 0;
  int i;

  for (i = 0; i < t->count; i++)
    if (t->endpoints[i].opts.service == service
        && route_state (&t->endpoints[i], now_us) == ROUTE_OK)
      places += free_at (&t->endpoints[i]);
  return places;
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
  e->done_since++;
}

static void
eject (struct route_endpoint *e, int64_t now_us)
{
  int doublings
      = e->fails < EJECT_MAX_DOUBLINGS ? e->fails : EJECT_MAX_DOUBLINGS;

  e->retry_us = now_us + (EJECT_BASE_US << doublings);
  e->fails++;
}

/*
 * Learn how a call went.  A dead endpoint is left alone for a pause that
 * doubles, else each request would pay a connect failure first.  One broken
 * connection says little, and must not take a service's only endpoint away.
 */
void
route_result (struct route_table *t, int endpoint, enum route_result result,
              int64_t now_us)
{
  struct route_endpoint *e = &t->endpoints[endpoint];

  switch (result)
    {
    case ROUTE_REACHED:
      e->fails = 0;
      e->breaks = 0;
      e->retry_us = 0;
      break;
    case ROUTE_BROKE:
      if (++e->breaks >= EJECT_BREAKS)
        eject (e, now_us);
      break;
    case ROUTE_UNREACHED:
      eject (e, now_us);
      break;
    }
}

/*
 * Take in a load report.  Leaving is sticky for an incarnation: a report that
 * was delayed, or a list that lags, cannot bring it back; only a new life of
 * the endpoint does.
 */
void
route_reported (struct route_table *t, int endpoint,
                const struct route_report *report)
{
  struct route_endpoint *e = &t->endpoints[endpoint];

  e->report = *report;
  e->done_since = 0;
  if (report->leaving)
    g_strlcpy (e->left, report->incarnation, sizeof e->left);
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
