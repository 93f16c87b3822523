/* Admission of requests: the capacity of endpoints, and the order of callers.
 */
#include "librelay.h"

#include "log.h"
#include "met.h"

/* Callers give up on a stream without a first chunk after the longest of: this
   time, so many target latencies, so many target gaps between events. */
#define PATIENCE_MIN_US (2000 * CQ_US_PER_MS)
#define PATIENCE_TARGETS 4
#define PATIENCE_GAPS 8
/*
 * A part of the requests is refused when the first chunk is expected after
 * 1 / this of the caller's patience, about half of the time in which an answer
 * is worth most.  An overloaded endpoint stays overloaded long after the cause
 * has passed: its queue fills its memory, so that more prompts have to be
 * processed again.  Total worth of answers over twelve days with a quarter
 * 6.75, with a sixth 6.85, with an eighth 6.94.
 */
#define PATIENCE_DIVISOR 8

/* A service is logged as limited when less than this is admitted, in permille:
   the share varies by some percent without an overload. */
#define LIMITED_BELOW_PERMILLE 900

/* Largest number of routes whose usual timeout is kept, since operators may
   use any number of route names over time.  A dropped one is learned again
   from the next request. */
#define USUAL_TIMEOUTS_MAX 1024

/* Callers that are refused for overload are told to retry after 1 / this of
   their remaining time. */
#define OVERLOAD_RETRY_DIVISOR 3
/* Shortest such delay, since a second request costs about as much. */
#define OVERLOAD_RETRY_MIN_US (100 * CQ_US_PER_MS)
/* The delay is shortened at random by up to 1 / this of it, so that callers
   refused together do not return together. */
#define OVERLOAD_JITTER_DIVISOR 5

/* --- services --------------------------------------------------------- */

static struct relay_service *
get_or_add_service (struct relays *rs, const char *name)
{
  struct relay_service *s = g_hash_table_lookup (rs->services, name);

  if (s != NULL)
    return s;
  s = g_new0 (struct relay_service, 1);
  budget_init (&s->budget, rs->opts.retry_percent, rs->opts.retry_burst);
  admit_init (&s->admit);
  g_hash_table_insert (rs->services, g_strdup (name), s);
  return s;
}

/* The name must be the route's: that of an endpoint may be freed. */
void
relay_set_service (struct relay *r, const char *service)
{
  int i;

  for (i = 0; i < r->route->nsplits; i++)
    if (strcmp (r->route->splits[i].service, service) == 0)
      r->service = r->route->splits[i].service;
  r->service_state = get_or_add_service (r->rs, r->service);
}

/* --- callers ---------------------------------------------------------- */

const char *
relay_workspace (const struct relay *r)
{
  return r->workspace != NULL ? r->workspace->name : "";
}

const char *
relay_cache_group (const struct relay *r, const struct fleet_conf *c)
{
  const struct fleet_workspace *w
      = r->workspace != NULL ? fleet_workspace_find (c, r->desc.key) : NULL;

  return fleet_cache_group (c, w);
}

int
relay_priority (const struct relay *r)
{
  int p = r->route->priority;

  if (r->rs->opts.route_shares)
    return admit_urgency (r->workspace != NULL ? r->workspace->priority : -1,
                          p);
  if (r->workspace != NULL && r->workspace->priority >= 0)
    p = r->workspace->priority;
  return CLAMP (p, 0, ADMIT_RANKS / 2 - 1);
}

/* Whether the request looks like a retry after a refusal: its caller has less
   time left than others of its route. */
static bool
is_retry (struct relay *r, int64_t now_us)
{
  GHashTable *t = r->rs->usual_timeouts;
  int64_t *usual = g_hash_table_lookup (t, r->route->name);

  if (r->desc.deadline_us == 0)
    return false;
  if (usual == NULL)
    {
      if (g_hash_table_size (t) >= USUAL_TIMEOUTS_MAX)
        g_hash_table_remove_all (t);
      usual = g_new0 (int64_t, 1);
      g_hash_table_insert (t, g_strdup (r->route->name), usual);
    }
  /* At most the route's timeout counts: otherwise one caller with a deadline
     of an hour would make all others look like retries. */
  return admit_is_retry (usual, r->deadline_us - now_us);
}

void
relay_add_demand (struct relay *r, int64_t work, int64_t now_us)
{
  struct relay_service *s = r->service_state;

  share_add_demand (&s->share, relay_workspace (r), work, now_us);
  if (r->rs->opts.route_shares)
    routeshare_add_demand (&s->routes, r->route->name, work, now_us);
  r->asked_tokens = work;
  r->rank = r->rs->opts.plan_returns
                ? admit_planned_rank (relay_priority (r), is_retry (r, now_us))
                : admit_rank (relay_priority (r), is_retry (r, now_us));
  admit_add_demand (&s->admit, r->rank, work, now_us);
}

/* --- results of answers ----------------------------------------------- */

/* Logs two lines for an overload, its start and its end, however the share
   varies in between.  SAMPLE is of endpoint E. */
static void
log_admission (struct relay_service *s, const struct fleet_endpoint *e,
               const struct admit_sample *sample, int64_t now_us)
{
  int keep = admit_permille (&s->admit, now_us);

  if (s->limited ? keep < CQ_PERMILLE : keep >= LIMITED_BELOW_PERMILLE)
    return;
  s->limited = !s->limited;
  log_event (LOG_LEVEL_INFO, "admission",
             "service=%s outcome=%s keep=%d pressure=%" G_GINT64_FORMAT
             " running=%d waiting=%d endpoint=%s",
             e->listing.service, s->limited ? "limited" : "open", keep,
             (gint64)s->admit.pressure, sample->running, sample->waiting,
             e->listing.id);
}

/* Endpoints without a model take requests of any kind, and admission of these
   is not limited. */
void
relays_add_pressure (struct relays *rs, const struct fleet_endpoint *e,
                     int running, int waiting, int64_t now_us)
{
  struct relay_service *s
      = g_hash_table_lookup (rs->services, e->listing.service);
  struct admit_sample seen = { .running = running, .waiting = waiting };

  if (s == NULL || e->listing.model[0] == '\0' || running < 0)
    return;
  admit_add_sample (&s->admit, &seen, now_us);
  log_admission (s, e, &seen, now_us);
}

void
relay_record_wait (struct relay *r, int64_t now_us)
{
  struct admit_sample seen
      = { .running = r->reported_running, .waiting = r->reported_waiting };

  seen.wait_us = now_us - r->sent_us;
  seen.target_us = r->route->target_latency_us;
  pick_first_chunk (r->rs->opts.fleet, r->endpoint, seen.wait_us, now_us);
  /* A caller that hangs up before the target latency does so for reasons of
     its own. */
  if (r->first_chunk_us == 0 && seen.wait_us < seen.target_us)
    return;
  admit_add_sample (&r->service_state->admit, &seen, now_us);
  log_admission (r->service_state, r->endpoint, &seen, now_us);
}

void
relay_record_run (struct relay *r, int64_t now_us)
{
  if (r->rs->opts.route_shares && r->first_chunk_us != 0
      && r->route->target_latency_us > 0)
    admit_add_run (&r->service_state->admit, now_us - r->first_chunk_us,
                   r->route->target_latency_us);
}

/* --- the admitted share ----------------------------------------------- */

/* How long a caller waits for the first chunk of a stream before it gives up.
 */
static int64_t
patience_us (const struct relay *r)
{
  int64_t p = PATIENCE_MIN_US;

  if (r->route->target_latency_us * PATIENCE_TARGETS > p)
    p = r->route->target_latency_us * PATIENCE_TARGETS;
  if (r->route->event_gap_us * PATIENCE_GAPS > p)
    p = r->route->event_gap_us * PATIENCE_GAPS;
  return p;
}

/* Permille of the service's work to admit, given the queues of endpoints and a
   first chunk of R that is expected after WAIT_US. */
static int
work_share (const struct relay *r, int64_t wait_us, int64_t now_us)
{
  int64_t acceptable_us = patience_us (r) / PATIENCE_DIVISOR;
  int keep = admit_permille (&r->service_state->admit, now_us);

  if (wait_us > acceptable_us)
    keep = MIN (keep, (int)(acceptable_us * CQ_PERMILLE / wait_us));
  return keep;
}

/* Permille of the requests of R's route to admit, if WORK permille of all work
   are admitted. */
static int
route_share (const struct relay *r, int work)
{
  if (!r->rs->opts.route_shares)
    return CQ_PERMILLE;
  return routeshare_permille (&r->service_state->routes, r->route->name, work);
}

/*
 * A route that asks for less than its max-min share is admitted in full, also
 * if its wait is expected to be long: the expected wait is an average of the
 * few answers that a VM gets from an endpoint, and those may be of long
 * prompts while short ones begin at once.  Rank and workspace divide only the
 * share of a route that must give up work.
 */
static int
admitted_share_of_route (const struct relay *r, int work)
{
  const struct relay_service *s = r->service_state;
  int keep = route_share (r, work);

  if (keep >= CQ_PERMILLE)
    return CQ_PERMILLE;
  keep = admit_rank_permille (&s->admit, r->rank, keep);
  keep = share_permille (&s->share, relay_workspace (r), keep);
  return MAX (keep, routeshare_least_permille (&s->routes, work));
}

/* Permille of requests like R to admit, if WORK permille of all work are
   admitted. */
static int
admitted_share (const struct relay *r, int work)
{
  const struct relay_service *s = r->service_state;
  int keep = admit_rank_permille (&s->admit, r->rank, work);

  return share_permille (&s->share, relay_workspace (r), keep);
}

/*
 * An answer that starts too late is of no use.  If the request is sent all the
 * same, the endpoint processes a prompt for a caller that has left, and delays
 * the requests queued behind it, until none is answered in time.  So a part of
 * the requests is refused and the rest can be served.  Refusing all of them
 * until the queue is empty would leave endpoints idle, and then all callers
 * would return at once.  Which requests are refused depends on their priority
 * and on the demand of each workspace.
 */
int
relay_admit_permille (const struct relay *r, const struct pick_choice *c,
                      int64_t now_us)
{
  int64_t wait = now_us - r->arrived_us + c->wait_us;

  /* Of a stream that goes on, the caller has a part already. */
  if (r->route->kind != FLEET_STREAM || r->stream_begun || r->build_key != 0)
    return CQ_PERMILLE;
  if (r->arrived_us + wait > r->deadline_us)
    return 0;
  if (r->rs->opts.route_shares)
    return admitted_share_of_route (r, work_share (r, wait, now_us));
  return admitted_share (r, work_share (r, wait, now_us));
}

void
relay_log_too_late (const struct relay *r, const struct pick_choice *c,
                    int keep, int64_t now_us)
{
  const struct admit *a = &r->service_state->admit;
  int64_t wait = now_us - r->arrived_us + c->wait_us;
  int route_keep = route_share (r, work_share (r, wait, now_us));

  if (route_keep < CQ_PERMILLE)
    met_add (MET_OVER_ROUTE_SHARE, 1);
  log_event (
      LOG_LEVEL_INFO, "too_late",
      "req=%s route=%s endpoint=%s workspace=%s rank=%d keep=%d "
      "route_keep=%d admit=%d queue_target=%d pressure=%" G_GINT64_FORMAT
      " wait_us=%" G_GINT64_FORMAT " left_us=%" G_GINT64_FORMAT
      " candidates=%d over_bound=%d",
      r->desc.id, r->route->name, c->endpoint->listing.id, relay_workspace (r),
      r->rank, keep, route_keep, admit_permille (a, now_us),
      admit_queue_target_permille (a), (gint64)a->pressure, (gint64)wait,
      (gint64)(r->deadline_us - now_us), c->candidates, c->over_bound);
}

/* --- retries ---------------------------------------------------------- */

void
relay_admitted (struct relay *r, int64_t now_us)
{
  if (r->rs->opts.plan_returns && r->ntried == 0)
    returns_add_admitted (&r->service_state->returns, r->asked_tokens, now_us);
}

static int64_t
planned_retry_us (struct relay *r, uint64_t random, int64_t now_us)
{
  struct returns *s = &r->service_state->returns;
  struct returns_query q = { .random = random };
  struct returns_plan p;

  q.urgency = relay_priority (r);
  q.work = r->asked_tokens;
  q.left_us = r->deadline_us - now_us;
  p = returns_plan (s, &q, now_us);
  met_add (p.has_room ? MET_RETURNS_PLANNED : MET_RETURNS_CROWDED, 1);
  log_event (LOG_LEVEL_INFO, "planned_return",
             "req=%s route=%s urgency=%d work=%" G_GINT64_FORMAT
             " retry_us=%" G_GINT64_FORMAT " left_us=%" G_GINT64_FORMAT
             " reserved=%" G_GINT64_FORMAT " room=%" G_GINT64_FORMAT
             " rate=%" G_GINT64_FORMAT,
             r->desc.id, r->route->name, q.urgency, (gint64)q.work,
             (gint64)p.retry_us, (gint64)q.left_us, (gint64)p.reserved,
             (gint64)p.room, (gint64)s->rate);
  return p.retry_us;
}

/* Without a plan, the caller is told to retry when two thirds of its time are
   left for the answer; earlier, the overload is less likely to have ended. */
int64_t
relay_overload_retry_us (struct relay *r, uint64_t random, int64_t now_us)
{
  int64_t wait = MAX ((r->deadline_us - now_us) / OVERLOAD_RETRY_DIVISOR,
                      OVERLOAD_RETRY_MIN_US);

  if (r->rs->opts.plan_returns)
    return planned_retry_us (r, random, now_us);
  return wait - (int64_t)(random % (uint64_t)(wait / OVERLOAD_JITTER_DIVISOR));
}
