/* Selects the endpoint for a request that is proxied, and tracks load, latency
   and failures of endpoints. */
#include "fleet.h"

#include <string.h>
#include <xxhash.h>

#include "decide.h"
#include "load.h"
#include "spread.h"

/* Backoff of a failed endpoint, doubled with each further failure: a restart
   takes about a second, and a probe costs one request. */
#define BACKOFF_MIN_US INT64_C (300000)
#define BACKOFF_MAX_US INT64_C (4000000)
/* Consecutive failures before the backoff: one may be caused by the request
   itself. */
#define BACKOFF_FAILURES 2
/* How long an endpoint that refused for lack of capacity is avoided: slots
   become free within some tens of ms. */
#define FULL_AVOID_US INT64_C (150000)
/* Divisor of a sample in an endpoint's moving average: an endpoint gives
   one VM some answers a second, so the average follows within about two
   seconds. */
#define ENDPOINT_EWMA_DIVISOR 4
/* The same over all endpoints of a service, which give some answers a second
   at least. */
#define SERVICE_EWMA_DIVISOR 8
/* Half-life of an average's deviation from the usual value without a
   sample. */
#define EWMA_HALF_LIFE_US INT64_C (700000)
/* An endpoint's report of its load that is older than this says little about
   requests of some hundred ms. */
#define REPORT_MAX_AGE_US INT64_C (1000000)
/* A request leaves its preferred endpoint when that has twice the mean load,
   plus a margin: the bound of consistent hashing with bounded loads.  A
   tighter bound balances the load better, but causes more prefixes to be
   prefilled again. */
#define LOAD_BOUND_PERCENT 200
#define LOAD_BOUND_MARGIN 3
/* Costs that differ by less count as equal: VMs know each other's load as of
   some ms ago, and answers vary by hundreds. */
#define COST_STEP_US INT64_C (20000)
/*
 * Pending prefill counts with this percentage of its time: some of it is done
 * before the request arrives, and a request that leaves its preferred endpoint
 * because of it has its shared parts prefilled again elsewhere, which delays
 * other requests there.
 */
#define PENDING_PREFILL_PERCENT 30
/* Share of the KV cache that prompts may use; the rest is for generated
   tokens. */
#define PROMPT_MEMORY_PERCENT 90
/* Penalty of an endpoint in another failure domain, where little is known of
   the load there: it is used when the one in this domain has about three short
   prompts' time more to do. */
#define REMOTE_DOMAIN_COST_US INT64_C (60000)
/* A prompt that takes longer than this to prefill takes more than one chunk:
   a chunk adds 8 to 11 ms to a decode step. */
#define CHUNK_US INT64_C (10000)
/* An endpoint is slow from so many percent above the normal time on, and
   speeds of slow ones that differ by less count as equal; VMs send changes of
   this size at once. */
#define SPEED_STEP_PERCENT 25
/* Cost, in units of COST_STEP_US, for each such step of an endpoint that is
   avoided; more than any other cost. */
#define AVOIDED_COST (INT64_C (1) << 40)
/* Prefill rate in tokens a second, before any sample. */
#define PREFILL_RATE_INITIAL 100000
/* Bounds of the estimated prefill rate, against outliers. */
#define PREFILL_RATE_MIN 1000
#define PREFILL_RATE_MAX 10000000
/* A prompt is long, and so a sample of the prefill rate, if it takes longer
   than this at the current estimate. */
#define LONG_PROMPT_US INT64_C (50000)
/* Divisor of the decay: old samples lose a sixteenth with each new one. */
#define PREFILL_DECAY_DIVISOR 16
/* Endpoints that reload weights at a time: two load fastest each, and more
   take away capacity that the other requests need. */
#define RELOAD_MIN 2
/* One of so many endpoints, where that is more: the platform loads a fifth of
   a large service's endpoints as fast as one. */
#define RELOAD_FRACTION 5
/* Factor once endpoints with old weights take no more requests: reloading them
   then costs no capacity. */
#define RELOAD_LATE_FACTOR 2

const char *
pick_code_name (enum pick_code code)
{
  static const char *const names[] = {
    [PICK_CHOSEN] = "chosen",
    [PICK_NO_ENDPOINT] = "no_endpoint",
    [PICK_ALL_TRIED] = "all_tried",
    [PICK_COLD] = "endpoints_cold",
    [PICK_LIMITED] = "endpoints_limited",
    [PICK_BRITTLE] = "endpoints_brittle",
    [PICK_BACKOFF] = "endpoints_resting",
    [PICK_REGION_NOT_ALLOWED] = "no_home",
    [PICK_EVACUATED] = "domain_evacuated",
    [PICK_NO_BUILD] = "no_build",
  };

  return names[code];
}

/* --- results of requests --------------------------------------------- */

void
pick_request_sent (struct fleet_endpoint *e)
{
  e->running++;
  e->sent_since++;
  e->peer_report.sent_since++;
}

void
pick_request_ended (struct fleet_endpoint *e)
{
  e->running--;
  e->sent_since--;
  e->peer_report.sent_since--;
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
find_stats (const struct fleet *f, const char *service)
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
get_stats (struct fleet *f, const char *service)
{
  struct fleet_service_stats *s = find_stats (f, service);
  struct fleet_service_stats new = { .first_chunk = { 0 } };

  if (s != NULL)
    return s;
  g_strlcpy (new.service, service, sizeof new.service);
  g_array_append_val (f->service_stats, new);
  return find_stats (f, service);
}

static void
ewma_update (struct fleet_ewma *w, int64_t wait_us, int weight, int64_t now_us)
{
  w->smoothed_us += (wait_us - w->smoothed_us) / weight;
  w->updated_us = now_us;
}

void
pick_first_chunk (struct fleet *f, struct fleet_endpoint *e, int64_t wait_us,
                  int64_t now_us)
{
  ewma_update (&e->first_chunk, wait_us, ENDPOINT_EWMA_DIVISOR, now_us);
  ewma_update (&get_stats (f, e->listing.service)->first_chunk, wait_us,
               SERVICE_EWMA_DIVISOR, now_us);
}

static int64_t
prefill_rate_of (const struct fleet_service_stats *s)
{
  if (s == NULL || s->prefill_us <= 0)
    return PREFILL_RATE_INITIAL;
  return CLAMP (s->prefill_tokens * CQ_US_PER_S / s->prefill_us,
                PREFILL_RATE_MIN, PREFILL_RATE_MAX);
}

int64_t
pick_prefill_rate (const struct fleet *f, const char *service)
{
  return prefill_rate_of (find_stats (f, service));
}

/* Short prompts are samples of the time besides prefill, long prompts of the
   prefill time beyond that. */
void
pick_learn_prefill_rate (struct fleet *f, const struct fleet_endpoint *e,
                         int64_t tokens, int64_t wait_us)
{
  struct fleet_service_stats *s = get_stats (f, e->listing.service);

  if (tokens <= 0)
    return;
  if (tokens * CQ_US_PER_S / prefill_rate_of (s) < LONG_PROMPT_US)
    {
      s->short_prompt_us
          += (wait_us - s->short_prompt_us) / PREFILL_DECAY_DIVISOR;
      return;
    }
  if (wait_us <= s->short_prompt_us)
    return;
  s->prefill_tokens += tokens - s->prefill_tokens / PREFILL_DECAY_DIVISOR;
  s->prefill_us
      += wait_us - s->short_prompt_us - s->prefill_us / PREFILL_DECAY_DIVISOR;
}

/* Only pauses whose speed was reported just now are samples: the end of a slow
   phase would else be taken for a service with shorter pauses. */
void
pick_learn_pause (struct fleet *f, const struct fleet_endpoint *e,
                  bool pending, int64_t pause_us, int64_t now_us)
{
  if (speed_is_recent (&e->speed, now_us))
    speed_pause_add (&get_stats (f, e->listing.service)->pauses, pending,
                     speed_percent (&e->speed, now_us), pause_us);
}

/* Without samples, the average decays toward the usual value. */
static int64_t
decayed (const struct fleet_ewma *w, int64_t usual_us, int64_t now_us)
{
  int64_t idle_us = now_us - w->updated_us;
  int64_t deviation = w->smoothed_us - usual_us;

  for (; idle_us > EWMA_HALF_LIFE_US && deviation != 0;
       idle_us -= EWMA_HALF_LIFE_US)
    deviation /= 2;
  return usual_us + deviation;
}

/*
 * With many VMs and endpoints, a VM gets an answer from an endpoint only every
 * few seconds.  If old samples were just dropped, an endpoint with twenty
 * queued requests would be taken for idle; the average of the service's other
 * endpoints is a better estimate.  That one decays to zero in turn, or a
 * service that was slow once would never be tried again.
 */
int64_t
pick_expected_wait_us (const struct fleet *f, const struct fleet_endpoint *e,
                       int64_t now_us)
{
  const struct fleet_service_stats *s = find_stats (f, e->listing.service);
  int64_t usual = s != NULL ? decayed (&s->first_chunk, 0, now_us) : 0;

  return decayed (&e->first_chunk, usual, now_us);
}

void
pick_request_failed (struct fleet_endpoint *e, int64_t now_us)
{
  int64_t backoff = BACKOFF_MIN_US;
  int i;

  e->failures++;
  if (e->failures < BACKOFF_FAILURES)
    return;
  for (i = BACKOFF_FAILURES; i < e->failures && backoff < BACKOFF_MAX_US; i++)
    backoff *= 2;
  e->backoff_until_us = now_us + backoff;
}

/* Other failures may be caused by the request; this one is the endpoint's. */
void
pick_connection_refused (struct fleet_endpoint *e, int64_t now_us)
{
  e->failures = MAX (e->failures, BACKOFF_FAILURES - 1);
  pick_request_failed (e, now_us);
}

void
pick_overload_refused (struct fleet_endpoint *e, int64_t now_us)
{
  e->full_until_us = now_us + FULL_AVOID_US;
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
  int64_t at_us = e->reported_us;

  if (e->peer_report.at_us > at_us)
    {
      load = e->peer_report.running + e->peer_report.waiting
             + e->peer_report.sent_since;
      at_us = e->peer_report.at_us;
    }
  if (at_us == 0 || now_us - at_us > REPORT_MAX_AGE_US)
    return e->running;
  return load > e->running ? load : e->running;
}

/* --- weights --------------------------------------------------------- */

static uint64_t
id_hash (const struct fleet_endpoint *e)
{
  return XXH3_64bits (e->listing.id, strlen (e->listing.id));
}

/*
 * The oldest weights are reloaded first.  A second version may be announced
 * while only some endpoints have the first: the time limit ends first for
 * those that have neither, and then they take no requests.
 */
bool
pick_reload_before (const struct fleet_endpoint *a,
                    const struct fleet_endpoint *b)
{
  if (a->version != b->version)
    return a->version < b->version;
  return id_hash (a) < id_hash (b);
}

/* Whether E's weights are so old that no request may start on them. */
static bool
is_too_old (const struct fleet *f, const struct fleet_endpoint *e,
            int64_t now_us)
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
    if (e->draining || strcmp (e->listing.model, model) != 0
        || !fleet_is_declared (f, e))
      continue;
    all++;
    late |= is_too_old (f, e, now_us);
  }
  width = MAX (all / RELOAD_FRACTION, RELOAD_MIN);
  return late ? RELOAD_LATE_FACTOR * width : width;
}

/* --- choice ---------------------------------------------------------- */

/* Preference class of an endpoint, best first. */
enum tier
{
  TIER_GOOD,
  TIER_OUTDATED, /* its weights are outdated: its answers are worth less */
  TIER_FULL,     /* it refused recently for lack of capacity */
  TIER_BACKOFF,  /* it is in backoff after failures: the last resort */
  TIER_INELIGIBLE
};

static bool
is_excluded (const struct pick_query *q, const struct fleet_endpoint *e)
{
  int i;

  for (i = 0; i < q->nexclude; i++)
    if (q->exclude[i] == e)
      return true;
  return false;
}

static bool
is_build_allowed (const struct pick_query *q, const struct fleet_endpoint *e)
{
  return q->build_key == 0 || e->build_key == q->build_key;
}

/* Above its rate a cold endpoint would crash, so it is no last resort
   either. */
static bool
is_cold_rate_used (const struct fleet_endpoint *e, int64_t now_us)
{
  return cold_is (&e->cold, now_us) && !pace_may_place (&e->cold.pace, now_us);
}

/* Random number of the query for E. */
static uint64_t
random_of (const struct pick_query *q, const struct fleet_endpoint *e)
{
  return XXH3_64bits_withSeed (&q->random, sizeof q->random, e->key);
}

static enum tier
tier_of (const struct fleet *f, const struct pick_query *q,
         const struct fleet_endpoint *e, int64_t now_us)
{
  if (e->draining || fleet_lacks_model (f, e) || is_excluded (q, e)
      || !is_build_allowed (q, e) || is_too_old (f, e, now_us)
      || is_cold_rate_used (e, now_us) || !limit_may_place (&e->limit, now_us)
      || !fleet_may_place_brittle (f, e, now_us)
      || pick_is_backoff_requested (e, now_us)
      || fleet_is_evacuated (f, e->listing.domain)
      || !fleet_is_region_allowed (f, &q->homes, e->listing.domain))
    return TIER_INELIGIBLE;
  if (now_us < e->backoff_until_us
      || health_is_avoided (&e->health, random_of (q, e), now_us))
    return TIER_BACKOFF;
  if (now_us < e->full_until_us)
    return TIER_FULL;
  return fleet_outdated_learned_us (f, e) != 0 ? TIER_OUTDATED : TIER_GOOD;
}

/* Summary of a service's endpoints before one is chosen. */
struct survey
{
  int serving; /* endpoints of the service that are not draining */
  int count;   /* endpoints that are eligible */
  int cold;    /* not eligible: cold, and their rate is used up */
  int limited; /* not eligible: this VM's share of the limit is used */
  int brittle; /* not eligible: brittle, and this VM's share is used */
  int backoff; /* not eligible: they requested a backoff */
  int64_t backoff_end_us; /* when the first of these backoffs ends */
  int evacuated;          /* not eligible: their domain is evacuated */
  int region_denied; /* not eligible: the request may not use their region */
  enum tier best;    /* best tier of the eligible ones */
  int available;     /* endpoints that are neither full nor in backoff */
  int least_percent; /* speed of the least slow one of these */
  int64_t load;      /* total load of these */
};

static bool
is_available (enum tier tier)
{
  return tier == TIER_GOOD || tier == TIER_OUTDATED;
}

static struct survey
survey_endpoints (const struct fleet *f, const struct pick_query *q,
                  int64_t now_us)
{
  struct survey s = { .best = TIER_INELIGIBLE,
                      .backoff_end_us = INT64_MAX,
                      .least_percent = SPEED_MAX_PERCENT };
  const struct fleet_endpoint *e;
  enum tier tier;

  APR_RING_FOREACH (e, &f->endpoints, fleet_endpoint, link)
  {
    if (strcmp (e->listing.service, q->service) != 0
        || !is_build_allowed (q, e))
      continue;
    s.serving += !e->draining;
    s.cold += !e->draining && is_cold_rate_used (e, now_us);
    s.limited += !e->draining && !limit_may_place (&e->limit, now_us);
    s.brittle += !e->draining && !fleet_may_place_brittle (f, e, now_us);
    if (!e->draining && pick_is_backoff_requested (e, now_us))
      {
        s.backoff++;
        s.backoff_end_us
            = MIN (s.backoff_end_us, e->requested_backoff_until_us);
      }
    s.region_denied
        += !e->draining
           && !fleet_is_region_allowed (f, &q->homes, e->listing.domain);
    s.evacuated += !e->draining && fleet_is_evacuated (f, e->listing.domain);
    tier = tier_of (f, q, e, now_us);
    if (tier == TIER_INELIGIBLE)
      continue;
    s.count++;
    if (tier < s.best)
      s.best = tier;
    if (!is_available (tier))
      continue;
    s.available++;
    s.least_percent = MIN (s.least_percent, speed_percent (&e->speed, now_us));
    s.load += pick_load (e, now_us);
  }
  return s;
}

static uint64_t
affinity_score (const struct pick_query *q, const struct fleet_endpoint *e)
{
  return XXH3_64bits_withSeed (q->affinity, strlen (q->affinity), id_hash (e));
}

/* --- cost of an endpoint --------------------------------------------- */

static const struct fleet_service *
service_of (const struct fleet *f, const char *name)
{
  return f->conf != NULL ? g_hash_table_lookup (f->conf->services, name)
                         : NULL;
}

/* Inputs of the cost that are the same for all endpoints. */
struct cost_inputs
{
  const struct pick_query *q;         /* the query */
  const struct pick_factors *factors; /* scale of the cost terms */
  int64_t prefill_rate;               /* prefill rate, tokens a second */
  int64_t prompt_memory_tokens; /* KV cache of an endpoint for prompts, in
                   tokens; 0 if unknown */
  int64_t shared_parts_us;      /* to fetch or prefill the shared parts at an
                            endpoint that      lacks them */
  int usual_percent;    /* speed that the prefill rate was measured at */
  int64_t own_us;       /* to prefill the tokens that are not shared */
  int64_t event_gap_us; /* target for the pause of the service's streams, 0 if
                           none */
  struct speed_pauses pauses; /* pauses of the service's streams */
  int64_t short_prompt_us;    /* time to the first chunk of short prompts */
};

static int64_t
at_speed (int64_t us, int percent)
{
  return us * percent / SPEED_NORMAL_PERCENT;
}

static int64_t
prefill_us (int64_t tokens, int64_t prefill_rate)
{
  return tokens * CQ_US_PER_S / prefill_rate;
}

/* If the transfer prefill_rate of KV cache is unknown, it is taken to be the
   prefill rate: then stored parts don't change the choice. */
static int64_t
transfer_us (const struct fleet_service *sv, int64_t tokens,
             int64_t prefill_rate)
{
  if (sv == NULL || sv->kv_token_bytes <= 0 || sv->link_mbit_s <= 0)
    return prefill_us (tokens, prefill_rate);
  return tokens * sv->kv_token_bytes * 8 / sv->link_mbit_s;
}

static struct cost_inputs
cost_inputs_of (const struct fleet *f, const struct pick_query *q)
{
  const struct fleet_service *sv = service_of (f, q->service);
  const struct fleet_service_stats *stats = find_stats (f, q->service);
  struct cost_inputs w = { .q = q, .factors = &f->factors };

  w.prefill_rate = pick_prefill_rate (f, q->service);
  if (sv != NULL)
    w.prompt_memory_tokens
        = sv->kv_capacity_tokens * PROMPT_MEMORY_PERCENT / 100;
  w.shared_parts_us
      = transfer_us (sv, q->work.stored_tokens, w.prefill_rate)
        + prefill_us (q->work.shared_tokens - q->work.stored_tokens,
                      w.prefill_rate);
  w.own_us = prefill_us (q->work.own_tokens, w.prefill_rate);
  if (sv != NULL)
    w.event_gap_us = sv->event_gap_us;
  if (stats != NULL)
    {
      w.pauses = stats->pauses;
      w.short_prompt_us = stats->short_prompt_us;
    }
  return w;
}

/* A request that does not fit evicts another one, whose prompt is then
   prefilled again, and waits itself. */
static int64_t
memory_us (const struct cost_inputs *w, int64_t held, int64_t need)
{
  if (w->prompt_memory_tokens == 0 || held + need <= w->prompt_memory_tokens)
    return 0;
  return 2
         * prefill_us (need + held + need - w->prompt_memory_tokens,
                       w->prefill_rate);
}

/*
 * Cost of E in microseconds: how much later a request is answered there than
 * at an idle endpoint that has its shared parts, including the delay to other
 * requests there.  When each request counted as one, prompts of 17,000 tokens
 * shared an endpoint with streams that need a chunk within 0.4 s: with four
 * long prompts there, a quarter of the first chunks were late.  Requests with
 * a common part are best placed together: it is prefilled and stored once.
 */
static int64_t
cost_of (const struct cost_inputs *w, const struct fleet_endpoint *e,
         bool preferred, int64_t now_us)
{
  const struct pick_query *q = w->q;
  struct load_sum at = load_at (q->loads, e->key);
  bool has = load_has_part (q->loads, e->key, q->work.part);
  int64_t need = q->work.own_tokens + (has ? 0 : q->work.shared_tokens);
  int64_t cost = prefill_us (at.pending_prefill_tokens, w->prefill_rate)
                 * PENDING_PREFILL_PERCENT / 100 * w->factors->pending_prefill
                 / 100;

  cost += memory_us (w, at.kv_tokens, need) * w->factors->memory / 100;
  if (!preferred && !has)
    cost += w->shared_parts_us * w->factors->parts / 100;
  if (q->by_reports)
    cost = (cost + w->own_us) * speed_percent (&e->speed, now_us)
               / w->usual_percent
           - w->own_us;
  if (load_is_partial (q->loads) && strcmp (e->listing.domain, q->domain) != 0)
    cost += REMOTE_DOMAIN_COST_US;
  return cost;
}

/*
 * How strongly the prompt is kept away from E: 0 for not at all, else the more
 * the slower E is.  A prompt of several chunks would stall the running streams
 * of a slow endpoint beyond their target: with phases of 0.6 s in which an
 * endpoint works 2.5 times as long, more than half of the streams with a
 * longer pause were at an endpoint that was slow.  Any other prompt is only
 * kept away if its first chunk would be late because of the speed.
 */
static int
avoidance_of (const struct cost_inputs *w, const struct fleet_endpoint *e,
              bool preferred, int64_t now_us)
{
  const struct pick_query *q = w->q;
  bool has = preferred || load_has_part (q->loads, e->key, q->work.part);
  int speed = speed_percent (&e->speed, now_us);
  int steps = (speed - SPEED_NORMAL_PERCENT) / SPEED_STEP_PERCENT;
  int64_t pending = load_at (q->loads, e->key).pending_prefill_tokens;
  int64_t need_us = w->own_us + (has ? 0 : w->shared_parts_us);
  int64_t work_us = need_us + prefill_us (pending, w->prefill_rate);
  int64_t first_us = w->short_prompt_us + work_us;

  if (steps <= 0)
    return 0;
  if (need_us > CHUNK_US && w->event_gap_us > 0
      && speed_pause_expected_us (&w->pauses, work_us, speed)
             > w->event_gap_us)
    return steps;
  return first_us <= q->target_latency_us
                 && at_speed (first_us, speed) > q->target_latency_us
             ? steps
             : 0;
}

/* The endpoint that most likely has a prompt's shared parts, by rendezvous
   hashing: the same one on all VMs. */
static const struct fleet_endpoint *
preferred_endpoint (const struct fleet *f, const struct pick_query *q,
                    int64_t now_us)
{
  const struct fleet_endpoint *e, *preferred = NULL;
  uint64_t score, high = 0;

  APR_RING_FOREACH (e, &f->endpoints, fleet_endpoint, link)
  {
    if (strcmp (e->listing.service, q->service) != 0
        || !is_available (tier_of (f, q, e, now_us)))
      continue;
    score = affinity_score (q, e);
    if (preferred == NULL || score > high)
      {
        preferred = e;
        high = score;
      }
  }
  return preferred;
}

/*
 * The cheapest endpoint whose load is under the bound; of equal ones the one
 * with the highest rendezvous hash of the affinity.  This spreads load even
 * though VMs know little of each other, and places equal prefixes together.
 * Placed only by the load that a VM knows, requests of all VMs would go to an
 * endpoint that was idle half a second ago.  Endpoints that are about to
 * reload get requests until they refuse them, which they do at once: leaving
 * them idle would take capacity from the other requests.  The version makes no
 * difference while old weights are still accepted: if requests preferred new
 * weights, all would go to two endpoints that have to prefill every prompt
 * again, and answers would take seconds.
 */
static struct fleet_endpoint *
choose_sticky (const struct fleet *f, const struct pick_query *q,
               const struct survey *s, int64_t now_us,
               struct pick_choice *choice)
{
  const struct fleet_endpoint *preferred = preferred_endpoint (f, q, now_us);
  struct cost_inputs w = cost_inputs_of (f, q);
  struct fleet_endpoint *e, *best = NULL;
  uint64_t score, high = 0;
  int64_t cost, low = 0, bound;
  int avoidance = 0;

  if (s->available == 0)
    return NULL;
  /* Where all endpoints are slow, the prefill rate already includes it. */
  w.usual_percent = MAX (s->least_percent, SPEED_NORMAL_PERCENT);
  bound
      = s->load * LOAD_BOUND_PERCENT / 100 / s->available + LOAD_BOUND_MARGIN;
  APR_RING_FOREACH (e, &f->endpoints, fleet_endpoint, link)
  {
    if (strcmp (e->listing.service, q->service) != 0
        || !is_available (tier_of (f, q, e, now_us)))
      continue;
    if (pick_load (e, now_us) >= bound)
      {
        choice->over_bound++;
        continue;
      }
    cost = cost_of (&w, e, e == preferred, now_us) / COST_STEP_US;
    if (q->by_reports)
      avoidance = avoidance_of (&w, e, e == preferred, now_us);
    cost += AVOIDED_COST * avoidance;
    choice->slow += avoidance > 0;
    score = affinity_score (q, e);
    if (best == NULL || cost < low || (cost == low && score > high))
      {
        best = e;
        low = cost;
        high = score;
      }
  }
  return best;
}

/* The least loaded endpoint of the best tier; of equal ones one in this
   failure domain, then a random one. */
static struct fleet_endpoint *
choose_least_loaded (const struct fleet *f, const struct pick_query *q,
                     const struct survey *s, int64_t now_us)
{
  struct fleet_endpoint *e, *best = NULL;
  int64_t cost, low = 0;
  uint64_t tie_break, best_tie_break = 0;

  APR_RING_FOREACH (e, &f->endpoints, fleet_endpoint, link)
  {
    if (strcmp (e->listing.service, q->service) != 0
        || tier_of (f, q, e, now_us) != s->best)
      continue;
    cost = 2 * (int64_t)pick_load (e, now_us)
           + (strcmp (e->listing.domain, q->domain) != 0);
    tie_break = id_hash (e) ^ (q->random * UINT64_C (0x9E3779B97F4A7C15));
    if (best == NULL || cost < low
        || (cost == low && tie_break < best_tie_break))
      {
        best = e;
        low = cost;
        best_tie_break = tie_break;
      }
  }
  return best;
}

/* One of the best tier, at random by what is known of their load. */
static struct fleet_endpoint *
choose_spread (const struct fleet *f, const struct pick_query *q,
               const struct survey *s, int64_t now_us)
{
  struct fleet_endpoint *e;
  struct spread_load load;
  struct spread choice;

  spread_init (&choice, q->random);
  APR_RING_FOREACH (e, &f->endpoints, fleet_endpoint, link)
  {
    if (strcmp (e->listing.service, q->service) != 0
        || tier_of (f, q, e, now_us) != s->best)
      continue;
    load.requests = pick_load (e, now_us);
    load.slots = e->listing.slots;
    load.speed_percent = speed_percent (&e->speed, now_us);
    load.near = strcmp (e->listing.domain, q->domain) == 0;
    spread_add (&choice, e, &load);
  }
  return spread_choice (&choice);
}

static enum pick_code
reject_code (const struct pick_query *q, const struct survey *s)
{
  if (s->serving == 0)
    return q->build_key != 0 ? PICK_NO_BUILD : PICK_NO_ENDPOINT;
  if (s->cold > 0)
    return PICK_COLD;
  if (s->limited > 0)
    return PICK_LIMITED;
  if (s->brittle > 0)
    return PICK_BRITTLE;
  if (s->backoff > 0)
    return PICK_BACKOFF;
  if (s->evacuated > 0)
    return PICK_EVACUATED;
  return s->region_denied > 0 ? PICK_REGION_NOT_ALLOWED : PICK_ALL_TRIED;
}

struct pick_choice
pick_endpoint (const struct fleet *f, const struct pick_query *q,
               int64_t now_us)
{
  struct pick_choice c = { .code = PICK_NO_ENDPOINT };
  struct survey s = survey_endpoints (f, q, now_us);
  struct load_sum at;

  c.candidates = s.count;
  if (s.count == 0)
    {
      c.code = reject_code (q, &s);
      c.backoff_us = c.code == PICK_BACKOFF ? s.backoff_end_us - now_us : 0;
      return c;
    }
  if (q->affinity != NULL)
    c.endpoint = choose_sticky (f, q, &s, now_us, &c);
  else if (q->by_reports)
    c.endpoint = choose_spread (f, q, &s, now_us);
  if (c.endpoint == NULL)
    c.endpoint = choose_least_loaded (f, q, &s, now_us);
  c.code = PICK_CHOSEN;
  c.load = pick_load (c.endpoint, now_us);
  at = load_at (q->loads, c.endpoint->key);
  c.pending_prefill_tokens = at.pending_prefill_tokens;
  c.kv_tokens = at.kv_tokens;
  c.has_part = load_has_part (q->loads, c.endpoint->key, q->work.part);
  c.wait_us = pick_expected_wait_us (f, c.endpoint, now_us);
  c.version = c.endpoint->version;
  c.speed_percent = speed_percent (&c.endpoint->speed, now_us);
  return c;
}
