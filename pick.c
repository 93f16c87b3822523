/* Choice of an endpoint for a request that is passed on as it is. */
#include "fleet.h"

#include <string.h>
#include <xxhash.h>

#include "decide.h"
#include "load.h"

/* A failed endpoint rests this long, doubled with each further failure: a
   restart takes about a second, and a look costs one request. */
#define REST_FIRST_US INT64_C (300000)
#define REST_MAX_US INT64_C (4000000)
/* Failures in a row before it rests: one may be the request's own. */
#define FAILURES_MAX 2
/* It refused for want of room: places come free within some tens of ms. */
#define FULL_US INT64_C (150000)
/* Share of one answer in the smoothed wait: an endpoint gives one VM some
   answers a second, so it follows within about two seconds. */
#define FIRST_WEIGHT 4
/* The same over all endpoints of a service: some answers a second at least. */
#define SERVICE_WEIGHT 8
/* The smoothed wait halves after so long without an answer. */
#define FIRST_HALF_US INT64_C (700000)
/* A report older than this says little about requests of some hundred ms. */
#define REPORT_MAX_US INT64_C (1000000)
/* A request leaves its sticky endpoint when that has twice the mean load, and
   some: the bound of consistent hashing with bounded loads.  A tighter bound
   evens the load out, and has more parts read anew. */
#define BOUND_PERCENT 200
#define BOUND_SPARE 3
/* Costs that differ by less count as equal: VMs know of each other what was
   some ms ago, and an answer is late by hundreds. */
#define EQUAL_US INT64_C (20000)
/*
 * Work ahead counts by this part of its time: some of it is read before the
 * request comes, and a request that leaves its home for it has its parts read
 * anew there, which others then wait for.
 */
#define AHEAD_PERCENT 30
/* Memory that prompts may take; the rest is for what is generated. */
#define MEMORY_PERCENT 90
/* An endpoint in another failure domain, where little is known of those: it
   must be idle by three short prompts' time in which the own one is busy. */
#define FAR_US INT64_C (60000)
/* Tokens read in a second, before any answer tells. */
#define SPEED_FIRST 100000
/* Bounds on what is learned, so that a stray answer teaches nothing odd. */
#define SPEED_MIN 1000
#define SPEED_MAX 10000000
/* A long prompt tells the speed: one that takes longer than this at the speed
   that is believed. */
#define LEARN_US INT64_C (50000)
/* Old answers count a sixteenth less with each new one. */
#define LEARN_WEIGHT 16
/* Endpoints that change weights at once: two load fastest each, and more take
   places away that the others need. */
#define RELOAD_WIDTH 2
/* One of so many, where that is more: the platform loads a fifth of a large
   service's endpoints as fast as one. */
#define RELOAD_SHARE 5
/* Times as many once old weights get no more work: nothing is lost by it. */
#define RELOAD_LATE 2

const char *
pick_code_name (enum pick_code code)
{
  static const char *const names[] = {
    [PICK_CHOSEN] = "chosen",
    [PICK_NO_ENDPOINT] = "no_endpoint",
    [PICK_ALL_TRIED] = "all_tried",
    [PICK_COLD] = "endpoints_cold",
    [PICK_LIMITED] = "endpoints_limited",
    [PICK_BACKOFF] = "endpoints_resting",
    [PICK_REGION_NOT_ALLOWED] = "no_home",
    [PICK_EVACUATED] = "domain_evacuated",
  };

  return names[code];
}

/* --- what answers say ------------------------------------------------ */

void
pick_request_sent (struct fleet_endpoint *e)
{
  e->running++;
  e->sent_since++;
}

void
pick_request_ended (struct fleet_endpoint *e)
{
  e->running--;
  e->sent_since--;
}

void
pick_load_reported (struct fleet_endpoint *e, int running, int64_t now_us)
{
  e->reported_running = running;
  e->reported_us = now_us;
  e->sent_since = 0;
}

void
pick_request_succeeded (struct fleet_endpoint *e)
{
  e->failures = 0;
  e->backoff_until_us = 0;
}

static struct fleet_service_stats *
find_seen (const struct fleet *f, const char *service)
{
  struct fleet_service_stats *s;
  guint i;

  for (i = 0; i < f->service_stats->len; i++)
    {
      s = &g_array_index (f->service_stats, struct fleet_service_stats, i);
      if (strcmp (s->service, service) == 0)
        return s;
    }
  return NULL;
}

static struct fleet_service_stats *
need_seen (struct fleet *f, const char *service)
{
  struct fleet_service_stats *s = find_seen (f, service);
  struct fleet_service_stats new = { .first_chunk = { 0 } };

  if (s != NULL)
    return s;
  g_strlcpy (new.service, service, sizeof new.service);
  g_array_append_val (f->service_stats, new);
  return find_seen (f, service);
}

static void
observe (struct fleet_ewma *w, int64_t wait_us, int weight, int64_t now_us)
{
  w->smoothed_us += (wait_us - w->smoothed_us) / weight;
  w->updated_us = now_us;
}

void
pick_first_chunk (struct fleet *f, struct fleet_endpoint *e, int64_t wait_us,
                  int64_t now_us)
{
  observe (&e->first_chunk, wait_us, FIRST_WEIGHT, now_us);
  observe (&need_seen (f, e->is.service)->first_chunk, wait_us, SERVICE_WEIGHT,
           now_us);
}

static int64_t
speed_of (const struct fleet_service_stats *s)
{
  if (s == NULL || s->prefill_us <= 0)
    return SPEED_FIRST;
  return CLAMP (s->prefill_tokens * CQ_US_PER_S / s->prefill_us, SPEED_MIN,
                SPEED_MAX);
}

int64_t
pick_prefill_rate (const struct fleet *f, const char *service)
{
  return speed_of (find_seen (f, service));
}

/* Short prompts tell what an answer takes besides reading, long ones what
   reading takes beyond that. */
void
pick_learn_prefill_rate (struct fleet *f, const struct fleet_endpoint *e,
                         int64_t tokens, int64_t wait_us)
{
  struct fleet_service_stats *s = need_seen (f, e->is.service);

  if (tokens <= 0)
    return;
  if (tokens * CQ_US_PER_S / speed_of (s) < LEARN_US)
    {
      s->short_prompt_us += (wait_us - s->short_prompt_us) / LEARN_WEIGHT;
      return;
    }
  if (wait_us <= s->short_prompt_us)
    return;
  s->prefill_tokens += tokens - s->prefill_tokens / LEARN_WEIGHT;
  s->prefill_us += wait_us - s->short_prompt_us - s->prefill_us / LEARN_WEIGHT;
}

/* Without a word a wait is taken to come nearer to what is usual. */
static int64_t
settled (const struct fleet_ewma *w, int64_t usual_us, int64_t now_us)
{
  int64_t silent = now_us - w->updated_us;
  int64_t off = w->smoothed_us - usual_us;

  for (; silent > FIRST_HALF_US && off != 0; silent -= FIRST_HALF_US)
    off /= 2;
  return usual_us + off;
}

/*
 * One of many VMs hears of one of many endpoints every few seconds.  If what
 * it heard were just forgotten, it would take endpoints with twenty waiting
 * requests for idle; what other endpoints of the service say is the better
 * guess.  That in turn shrinks to nothing, or a service that was slow once
 * would never be tried again.
 */
int64_t
pick_expected_wait_us (const struct fleet *f, const struct fleet_endpoint *e,
                       int64_t now_us)
{
  const struct fleet_service_stats *s = find_seen (f, e->is.service);
  int64_t usual = s != NULL ? settled (&s->first_chunk, 0, now_us) : 0;

  return settled (&e->first_chunk, usual, now_us);
}

void
pick_request_failed (struct fleet_endpoint *e, int64_t now_us)
{
  int64_t rest = REST_FIRST_US;
  int i;

  e->failures++;
  if (e->failures < FAILURES_MAX)
    return;
  for (i = FAILURES_MAX; i < e->failures && rest < REST_MAX_US; i++)
    rest *= 2;
  e->backoff_until_us = now_us + rest;
}

/* Other failures may be the request's own; this one is the endpoint's. */
void
pick_connection_refused (struct fleet_endpoint *e, int64_t now_us)
{
  e->failures = MAX (e->failures, FAILURES_MAX - 1);
  pick_request_failed (e, now_us);
}

void
pick_overload_refused (struct fleet_endpoint *e, int64_t now_us)
{
  e->full_until_us = now_us + FULL_US;
}

bool
pick_is_backoff_requested (const struct fleet_endpoint *e, int64_t now_us)
{
  return now_us < e->requested_backoff_until_us;
}

int
pick_load (const struct fleet_endpoint *e, int64_t now_us)
{
  int load = e->reported_running + e->sent_since;

  if (e->reported_us == 0 || now_us - e->reported_us > REPORT_MAX_US)
    return e->running;
  return load > e->running ? load : e->running;
}

/* --- weights --------------------------------------------------------- */

static uint64_t
order_of (const struct fleet_endpoint *e)
{
  return XXH3_64bits (e->is.id, strlen (e->is.id));
}

/*
 * The oldest weights go first.  A second version may be named while some
 * endpoints have the first one already: the bound of those that have neither
 * is over first, and then they serve nobody.
 */
bool
pick_reload_before (const struct fleet_endpoint *a,
                    const struct fleet_endpoint *b)
{
  if (a->version != b->version)
    return a->version < b->version;
  return order_of (a) < order_of (b);
}

/* Whether E's weights are so old that no request may begin on them. */
static bool
too_old (const struct fleet *f, const struct fleet_endpoint *e, int64_t now_us)
{
  return f->outdated_accept_us > 0
         && fleet_is_outdated_for (f, e, f->outdated_accept_us, now_us);
}

int
pick_reload_max (const struct fleet *f, const char *model, int64_t now_us)
{
  const struct fleet_endpoint *e;
  bool late = false;
  int width, all = 0;

  APR_RING_FOREACH (e, &f->endpoints, fleet_endpoint, link)
  {
    if (e->draining || strcmp (e->is.model, model) != 0
        || !fleet_is_declared (f, e))
      continue;
    all++;
    late |= too_old (f, e, now_us);
  }
  width = MAX (all / RELOAD_SHARE, RELOAD_WIDTH);
  return late ? RELOAD_LATE * width : width;
}

/* --- choice ---------------------------------------------------------- */

/* How much an endpoint is to be avoided, best first. */
enum tier
{
  TIER_GOOD,
  TIER_OLD,     /* answers made by old weights are worth less */
  TIER_FULL,    /* it refused just now */
  TIER_RESTING, /* it failed lately; better than no endpoint at all */
  TIER_NEVER
};

static bool
excluded (const struct pick_query *q, const struct fleet_endpoint *e)
{
  int i;

  for (i = 0; i < q->nexclude; i++)
    if (q->exclude[i] == e)
      return true;
  return false;
}

/* Above the rate it would crash, so it is no last resort either. */
static bool
is_cold (const struct fleet_endpoint *e, int64_t now_us)
{
  return cold_is (&e->cold, now_us) && !pace_may_place (&e->cold.pace, now_us);
}

static enum tier
tier_of (const struct fleet *f, const struct pick_query *q,
         const struct fleet_endpoint *e, int64_t now_us)
{
  if (e->draining || excluded (q, e) || too_old (f, e, now_us)
      || is_cold (e, now_us) || !limit_may_place (&e->limit, now_us)
      || pick_is_backoff_requested (e, now_us)
      || fleet_is_evacuated (f, e->is.domain)
      || !fleet_is_region_allowed (f, &q->homes, e->is.domain))
    return TIER_NEVER;
  if (now_us < e->backoff_until_us)
    return TIER_RESTING;
  if (now_us < e->full_until_us)
    return TIER_FULL;
  return fleet_outdated_learned_us (f, e) != 0 ? TIER_OLD : TIER_GOOD;
}

/* What is known of the endpoints of the service before one is chosen. */
struct survey
{
  int listed;        /* endpoints of the service that are not leaving */
  int count;         /* that may be chosen */
  int cold;          /* that may not, since they are cold */
  int limited;       /* or since this VM's part of their limit is used */
  int resting;       /* or since they asked for rest */
  int64_t rested_us; /* when the first of these has rested */
  int evacuated;     /* or since their domain is evacuated */
  int abroad;        /* or since their region is no home of the request */
  enum tier best;    /* lowest tier among them */
  int willing;       /* endpoints that take new work */
  int64_t load;      /* of these, in all */
};

static bool
is_willing (enum tier tier)
{
  return tier == TIER_GOOD || tier == TIER_OLD;
}

static struct survey
look (const struct fleet *f, const struct pick_query *q, int64_t now_us)
{
  struct survey s = { .best = TIER_NEVER, .rested_us = INT64_MAX };
  const struct fleet_endpoint *e;
  enum tier tier;

  APR_RING_FOREACH (e, &f->endpoints, fleet_endpoint, link)
  {
    if (strcmp (e->is.service, q->service) != 0)
      continue;
    s.listed += !e->draining;
    s.cold += !e->draining && is_cold (e, now_us);
    s.limited += !e->draining && !limit_may_place (&e->limit, now_us);
    if (!e->draining && pick_is_backoff_requested (e, now_us))
      {
        s.resting++;
        s.rested_us = MIN (s.rested_us, e->requested_backoff_until_us);
      }
    s.abroad += !e->draining
                && !fleet_is_region_allowed (f, &q->homes, e->is.domain);
    s.evacuated += !e->draining && fleet_is_evacuated (f, e->is.domain);
    tier = tier_of (f, q, e, now_us);
    if (tier == TIER_NEVER)
      continue;
    s.count++;
    if (tier < s.best)
      s.best = tier;
    if (!is_willing (tier))
      continue;
    s.willing++;
    s.load += pick_load (e, now_us);
  }
  return s;
}

static uint64_t
affinity_of (const struct pick_query *q, const struct fleet_endpoint *e)
{
  return XXH3_64bits_withSeed (q->affinity, strlen (q->affinity),
                               order_of (e));
}

/* --- cost of an endpoint --------------------------------------------- */

static const struct fleet_service *
service_of (const struct fleet *f, const char *name)
{
  return f->conf != NULL ? g_hash_table_lookup (f->conf->services, name)
                         : NULL;
}

/* What does not depend on the endpoint. */
struct weighing
{
  const struct pick_query *q;         /* what is asked for */
  const struct pick_factors *factors; /* of its terms */
  int64_t speed;                      /* tokens read in a second */
  int64_t room;     /* of an endpoint's memory, in tokens; 0 if unknown */
  int64_t parts_us; /* to have the shared parts where they are not at home */
};

static int64_t
read_us (int64_t tokens, int64_t speed)
{
  return tokens * CQ_US_PER_S / speed;
}

/* A service that does not tell how fast it moves cache is taken to move it as
   fast as it reads: then kept parts are no reason to go anywhere. */
static int64_t
move_us (const struct fleet_service *sv, int64_t tokens, int64_t speed)
{
  if (sv == NULL || sv->kv_token_bytes <= 0 || sv->link_mbit_s <= 0)
    return read_us (tokens, speed);
  return tokens * sv->kv_token_bytes * 8 / sv->link_mbit_s;
}

static struct weighing
weighing_of (const struct fleet *f, const struct pick_query *q)
{
  const struct fleet_service *sv = service_of (f, q->service);
  struct weighing w = { .q = q, .factors = &f->factors };

  w.speed = pick_prefill_rate (f, q->service);
  if (sv != NULL)
    w.room = sv->kv_capacity_tokens * MEMORY_PERCENT / 100;
  w.parts_us = move_us (sv, q->work.stored, w.speed)
               + read_us (q->work.shared - q->work.stored, w.speed);
  return w;
}

/* A request that does not fit pushes another one out, which is read again, and
   waits itself. */
static int64_t
memory_us (const struct weighing *w, int64_t held, int64_t need)
{
  if (w->room == 0 || held + need <= w->room)
    return 0;
  return 2 * read_us (need + held + need - w->room, w->speed);
}

/*
 * How much later a request is answered at E than at an idle endpoint that has
 * its shared parts, with what it does to others there.  Prompts of 17,000
 * tokens and streams that want a piece within 0.4 s met at one endpoint while
 * each counted as one request: with four long ones there, a quarter of the
 * first pieces were late.  Requests that share a part are best off together:
 * it is read and held once.
 */
static int64_t
cost_of (const struct weighing *w, const struct fleet_endpoint *e, bool home)
{
  const struct pick_query *q = w->q;
  struct load_sum at = load_at (q->loads, e->key);
  bool has = load_has_part (q->loads, e->key, q->work.part);
  int64_t need = q->work.own + (has ? 0 : q->work.shared);
  int64_t cost = read_us (at.pending_prefill_tokens, w->speed) * AHEAD_PERCENT
                 / 100 * w->factors->pending_prefill / 100;

  cost += memory_us (w, at.kv_tokens, need) * w->factors->memory / 100;
  if (!home && !has)
    cost += w->parts_us * w->factors->parts / 100;
  if (load_is_partial (q->loads) && strcmp (e->is.domain, q->domain) != 0)
    cost += FAR_US;
  return cost;
}

/* The endpoint where a prompt's shared parts are most likely found: the same
   one on all VMs. */
static const struct fleet_endpoint *
home_of (const struct fleet *f, const struct pick_query *q, int64_t now_us)
{
  const struct fleet_endpoint *e, *home = NULL;
  uint64_t score, high = 0;

  APR_RING_FOREACH (e, &f->endpoints, fleet_endpoint, link)
  {
    if (strcmp (e->is.service, q->service) != 0
        || !is_willing (tier_of (f, q, e, now_us)))
      continue;
    score = affinity_of (q, e);
    if (home == NULL || score > high)
      {
        home = e;
        high = score;
      }
  }
  return home;
}

/*
 * The cheapest endpoint whose load is under the bound; of equal ones that
 * where the affinity points, so that load spreads though VMs know little, and
 * returns to one place.  Placed by load alone, as far as a VM hears of it, all
 * VMs meet where one was idle half a second ago.  Endpoints whose weights are
 * about to change get work until they refuse it, which they do at once: kept
 * free, they take places away from the others.  Weights make no difference
 * while old ones still count: sent to new weights first, all requests meet two
 * endpoints that have to read every prompt anew, and answers take seconds.
 */
static struct fleet_endpoint *
choose_sticky (const struct fleet *f, const struct pick_query *q,
               const struct survey *s, int64_t now_us,
               struct pick_choice *choice)
{
  const struct fleet_endpoint *home = home_of (f, q, now_us);
  struct weighing w = weighing_of (f, q);
  struct fleet_endpoint *e, *best = NULL;
  uint64_t score, high = 0;
  int64_t cost, low = 0, bound;

  if (s->willing == 0)
    return NULL;
  bound = s->load * BOUND_PERCENT / 100 / s->willing + BOUND_SPARE;
  APR_RING_FOREACH (e, &f->endpoints, fleet_endpoint, link)
  {
    if (strcmp (e->is.service, q->service) != 0
        || !is_willing (tier_of (f, q, e, now_us)))
      continue;
    if (pick_load (e, now_us) >= bound)
      {
        choice->over_bound++;
        continue;
      }
    cost = cost_of (&w, e, e == home) / EQUAL_US;
    score = affinity_of (q, e);
    if (best == NULL || cost < low || (cost == low && score > high))
      {
        best = e;
        low = cost;
        high = score;
      }
  }
  return best;
}

/* The least loaded one; of equals one in this failure domain, then any. */
static struct fleet_endpoint *
choose_least (const struct fleet *f, const struct pick_query *q,
              const struct survey *s, int64_t now_us)
{
  struct fleet_endpoint *e, *best = NULL;
  int64_t cost, low = 0;
  uint64_t draw, best_draw = 0;

  APR_RING_FOREACH (e, &f->endpoints, fleet_endpoint, link)
  {
    if (strcmp (e->is.service, q->service) != 0
        || tier_of (f, q, e, now_us) != s->best)
      continue;
    cost = 2 * (int64_t)pick_load (e, now_us)
           + (strcmp (e->is.domain, q->domain) != 0);
    draw = order_of (e) ^ (q->random * UINT64_C (0x9E3779B97F4A7C15));
    if (best == NULL || cost < low || (cost == low && draw < best_draw))
      {
        best = e;
        low = cost;
        best_draw = draw;
      }
  }
  return best;
}

static enum pick_code
why_none (const struct survey *s)
{
  if (s->listed == 0)
    return PICK_NO_ENDPOINT;
  if (s->cold > 0)
    return PICK_COLD;
  if (s->limited > 0)
    return PICK_LIMITED;
  if (s->resting > 0)
    return PICK_BACKOFF;
  if (s->evacuated > 0)
    return PICK_EVACUATED;
  return s->abroad > 0 ? PICK_REGION_NOT_ALLOWED : PICK_ALL_TRIED;
}

struct pick_choice
pick_endpoint (const struct fleet *f, const struct pick_query *q,
               int64_t now_us)
{
  struct pick_choice c = { .code = PICK_NO_ENDPOINT };
  struct survey s = look (f, q, now_us);
  struct load_sum at;

  c.candidates = s.count;
  if (s.count == 0)
    {
      c.code = why_none (&s);
      c.backoff_us = c.code == PICK_BACKOFF ? s.rested_us - now_us : 0;
      return c;
    }
  if (q->affinity != NULL)
    c.endpoint = choose_sticky (f, q, &s, now_us, &c);
  if (c.endpoint == NULL)
    c.endpoint = choose_least (f, q, &s, now_us);
  c.code = PICK_CHOSEN;
  c.load = pick_load (c.endpoint, now_us);
  at = load_at (q->loads, c.endpoint->key);
  c.pending_prefill_tokens = at.pending_prefill_tokens;
  c.kv_tokens = at.kv_tokens;
  c.has_part = load_has_part (q->loads, c.endpoint->key, q->work.part);
  c.wait_us = pick_expected_wait_us (f, c.endpoint, now_us);
  c.version = c.endpoint->version;
  return c;
}
