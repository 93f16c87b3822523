/* Requests that are passed on as they are: the life of each one. */
#include "relay.h"

#include <string.h>
#include <xxhash.h>

#include "evt.h"
#include "log.h"
#include "met.h"

/* Between looks at deadlines: a tenth of the half second in which a timed
   out request must have its answer. */
#define SWEEP_US (40 * CQ_US_PER_MS)
/* Sweeps between looks for callers that hung up: well inside half a second. */
#define GONE_EVERY 4
/* Attempts that reach no endpoint at all do not count as sent; more than
   these in a row mean that waiting is no use. */
#define UNSENT_MAX 4
/* Callers leave a stream before its first piece after the longest of these. */
#define PATIENCE_MIN_US (2000 * CQ_US_PER_MS)
#define PATIENCE_TARGETS 4
#define PATIENCE_GAPS 8
/*
 * Work is refused when its first piece is expected after this share of the
 * caller's patience.  An endpoint that has fallen behind stays behind, long
 * after what began it: what waits there fills its memory, so more is read
 * anew.  Sum of worth over seven days of trouble by the share: whole 2.52,
 * half 2.73, a third 2.82, a quarter 2.92, a sixth 2.90, a ninth 2.89; on the
 * heaviest of them 0.65 of the requests were served, and 0.79 with a quarter.
 */
#define PATIENCE_SHARE 4
/* Largest event of a stream that is held until it is whole. */
#define EVENT_MAX 65536
/* When to ask again: after a failure, and while nothing is known yet. */
#define RETRY_SOON_US (500 * CQ_US_PER_MS)
#define RETRY_LATER_US (1000 * CQ_US_PER_MS)
/* Callers refused together should not return together. */
#define RETRY_SPREAD_US (500 * CQ_US_PER_MS)

struct relays
{
  struct relays_opts opts;               /* as made */
  APR_RING_HEAD (relay_ring, relay) all; /* live requests */
  int count;                             /* their number */
  GHashTable *budgets;                   /* service to struct budget */
  struct loop_timer sweep;               /* deadlines and hang-ups */
  unsigned sweeps;                       /* done so far */
  uint64_t random;                       /* state of random choices */
};

struct relay
{
  APR_RING_ENTRY (relay) link;                          /* in its list */
  struct relays *rs;                                    /* where it runs */
  struct relay_desc desc;                               /* as described */
  struct fleet_conf *conf;                              /* it started under */
  const struct fleet_route *route;                      /* that it took */
  const struct fleet_workspace *workspace;              /* who asks, or NULL */
  const char *service;                                  /* that it goes to */
  int64_t arrived_us;                                   /* when it was whole */
  int64_t end_us;                                       /* no answer after */
  const struct fleet_endpoint *tried[PICK_EXCLUDE_MAX]; /* it failed there */
  struct fleet_endpoint *endpoint;                      /* of the attempt */
  char cache_scope[PARTS_SCOPE_SIZE];                   /* of the attempt */
  struct parts_plan kept;                               /* of the attempt */
  void *call;                                           /* at the adapter */
  const char *stopped;     /* why a callback stopped the attempt, or NULL */
  char **lines;            /* head of the answer */
  GString *answer;         /* whole answer so far */
  struct evt events;       /* of a stream */
  struct loop_msg unpause; /* posted when the reader caught up */
  int64_t sent_us;         /* when the attempt started */
  int64_t first_us;        /* first piece passed on, 0 for none */
  int ntried;              /* entries in tried */
  int status;              /* of the attempt's answer, 0 if none */
  int attempts;            /* that were handed over */
  int unsent;              /* that were not */
  bool handed_over;        /* a byte may have left */
  bool not_run;            /* the endpoint said so */
  bool streaming;          /* the answer goes on in pieces */
  bool ran;                /* an earlier attempt may have run */
  bool begun;              /* the caller has part of a stream */
  bool paused;             /* the attempt waits for a slow reader */
  bool unpausing;          /* that message is under way */
  bool done;               /* freed when the message has come */
};

static void place (struct relay *r, int64_t now_us);

/* --- small helpers --------------------------------------------------- */

/* A step of splitmix64. */
static uint64_t
draw (struct relays *rs)
{
  uint64_t z = rs->random += UINT64_C (0x9E3779B97F4A7C15);

  z = (z ^ (z >> 30)) * UINT64_C (0xBF58476D1CE4E5B9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94D049BB133111EB);
  return z ^ (z >> 31);
}

static struct budget *
budget_of (struct relays *rs, const char *service)
{
  struct budget *b = g_hash_table_lookup (rs->budgets, service);

  if (b == NULL)
    {
      b = g_new (struct budget, 1);
      budget_init (b, rs->opts.retry_percent, rs->opts.retry_burst);
      g_hash_table_insert (rs->budgets, g_strdup (service), b);
    }
  return b;
}

/* Whether a second run would do no harm. */
static bool
repeatable (const struct relay *r)
{
  switch (r->route->kind)
    {
    case FLEET_IDEMPOTENT:
      return true;
    case FLEET_ONCE:
      return false;
    case FLEET_STREAM:
      return r->route->resumable;
    }
  return false;
}

/*
 * Keys may have been taken away while this VM could not hear of it, and a VM
 * that was suspended wakes up with old knowledge.  Past the bound, work with
 * a key is refused as not run: a key that was taken away must open nothing.
 */
static bool
is_stale (const struct relay *r, int64_t now_us)
{
  const struct relays_opts *o = &r->rs->opts;

  return !r->route->anonymous && fleet_age_us (o->fleet, now_us) > o->stale_us;
}

/* Whether the key still opens the route by the newest configuration. */
static bool
key_is_gone (const struct relay *r)
{
  const struct fleet_conf *now = r->rs->opts.fleet->conf;

  if (r->route->anonymous || now == r->conf)
    return false;
  return g_hash_table_lookup (now->keys, r->desc.key) == NULL;
}

/* --- end of a request ------------------------------------------------ */

static void
relay_free (struct relay *r)
{
  evt_clear (&r->events);
  g_string_free (r->answer, TRUE);
  g_strfreev (r->lines);
  fleet_conf_unref (r->conf);
  g_free (r);
}

static void
leave_endpoint (struct relay *r)
{
  if (r->endpoint == NULL)
    return;
  pick_ended (r->endpoint);
  fleet_endpoint_unref (r->endpoint);
  r->endpoint = NULL;
}

static void
finish (struct relay *r, enum outcome outcome, const char *reason,
        int64_t now_us)
{
  static const enum met_id ids[] = {
    [OUT_ANSWERED] = MET_ANSWERED,
    [OUT_NOT_RUN] = MET_NOT_RUN,
    [OUT_UNKNOWN] = MET_UNKNOWN,
    [OUT_FAILED] = MET_FAILED,
  };

  met_add (ids[outcome], 1);
  met_add (MET_RUNNING, -1);
  if (outcome == OUT_ANSWERED)
    met_observe (MET_WHOLE_TIME, now_us - r->arrived_us);
  log_event (LOG_LEVEL_INFO, "finish",
             "req=%s route=%s outcome=%s reason=%s status=%d attempts=%d "
             "unsent=%d first_us=%" G_GINT64_FORMAT
             " whole_us=%" G_GINT64_FORMAT,
             r->desc.id, r->route->name, out_name (outcome), reason, r->status,
             r->attempts, r->unsent,
             (gint64)(r->first_us ? r->first_us - r->arrived_us : 0),
             (gint64)(now_us - r->arrived_us));
  leave_endpoint (r);
  APR_RING_REMOVE (r, link);
  r->rs->count--;
  r->done = true;
  if (!r->unpausing)
    relay_free (r);
}

static void
refuse (struct relay *r, enum relay_refusal why, int64_t retry_after_us)
{
  if (r->desc.caller != NULL)
    r->desc.caller->refuse (r->desc.arg, why, retry_after_us);
}

/* Give the request up: tell the caller now, and only what is true. */
static void
give_up (struct relay *r, enum outcome outcome, const char *reason,
         int64_t retry_after_us, int64_t now_us)
{
  enum relay_refusal why = RELAY_UNKNOWN;

  if (outcome == OUT_NOT_RUN)
    why = RELAY_NOT_RUN;
  else if (now_us >= r->end_us)
    why = RELAY_TIMED_OUT;
  if (r->begun && r->desc.caller != NULL)
    r->desc.caller->end (r->desc.arg, false);
  else
    refuse (r, why, retry_after_us);
  finish (r, outcome, reason, now_us);
}

static int64_t
retry_after (struct relay *r, int64_t us)
{
  return us + (int64_t)(draw (r->rs) % (uint64_t)RETRY_SPREAD_US);
}

/* Nothing more can be tried. */
static void
give_up_unplaced (struct relay *r, const char *reason, int64_t wait_us,
                  int64_t now_us)
{
  give_up (r, out_refused (r->ran, repeatable (r)), reason,
           retry_after (r, wait_us), now_us);
}

/* --- attempts -------------------------------------------------------- */

static bool
before_send (void *arg)
{
  struct relay *r = arg;
  int64_t now = loop_now_us ();

  if (is_stale (r, now))
    r->stopped = "settings_stale";
  else if (key_is_gone (r))
    r->stopped = "key_revoked";
  else if (now >= r->end_us)
    r->stopped = "deadline";
  else if (r->endpoint->draining || r->endpoint->gone)
    r->stopped = "endpoint_left";
  r->handed_over = r->stopped == NULL;
  if (r->handed_over)
    r->attempts++;
  return r->handed_over;
}

static bool
on_head (void *arg, const struct relay_head *head)
{
  struct relay *r = arg;
  int64_t now = loop_now_us ();

  r->status = head->status;
  r->not_run = head->not_run;
  if (head->running >= 0)
    pick_reported (r->endpoint, head->running, now);
  fleet_take_version (r->rs->opts.fleet, r->endpoint, head->version, now);
  /* That life is over, so nothing was sent to an endpoint of the service. */
  if (head->other_life)
    {
      r->endpoint->draining = true;
      r->attempts--;
    }
  /* An answer without the endpoint's mark, or to another request, is never
     shown to the caller. */
  if (!head->not_run && !head->genuine)
    {
      r->stopped = "not_genuine";
      return false;
    }
  r->streaming = r->route->kind == FLEET_STREAM && head->status == 200;
  g_strfreev (r->lines);
  r->lines = g_strdupv (head->lines);
  return true;
}

static void
pass_on (struct relay *r, const char *data, size_t len)
{
  if (len == 0)
    return;
  if (!r->begun)
    {
      r->begun = true;
      r->first_us = loop_now_us ();
      met_observe (MET_FIRST_TOKEN, r->first_us - r->arrived_us);
      pick_first (r->endpoint, r->first_us - r->sent_us, r->first_us);
      r->desc.caller->begin (r->desc.arg, r->status,
                             (const char *const *)r->lines);
    }
  r->desc.caller->write (r->desc.arg, data, len);
}

static enum relay_take
take_stream (struct relay *r, const char *data, size_t len)
{
  g_autoptr (GString) events = g_string_new (NULL);

  /* A reader that is slower than the engine must not fill the memory. */
  if (r->begun
      && r->desc.caller->pending (r->desc.arg) > r->rs->opts.stream_buffer)
    {
      r->paused = true;
      return RELAY_PAUSE;
    }
  if (!evt_feed (&r->events, data, len, EVENT_MAX, events))
    {
      r->stopped = "event_too_large";
      return RELAY_STOP;
    }
  pass_on (r, events->str, events->len);
  return RELAY_TAKEN;
}

static enum relay_take
on_body (void *arg, const char *data, size_t len)
{
  struct relay *r = arg;

  if (r->streaming)
    return take_stream (r, data, len);
  if (r->answer->len + len > r->rs->opts.answer_max)
    {
      r->stopped = "answer_too_large";
      return RELAY_STOP;
    }
  g_string_append_len (r->answer, data, (gssize)len);
  return RELAY_TAKEN;
}

static enum send_state
send_state_of (const struct relay *r, bool whole)
{
  if (!r->handed_over)
    return SEND_NONE;
  if (r->status == 0)
    return SEND_PARTIAL;
  if (r->not_run)
    return SEND_REFUSED;
  if (!whole || r->stopped != NULL
      || (r->streaming && evt_in_part (&r->events)))
    return SEND_REPLIED;
  return SEND_WHOLE;
}

static struct out_verdict
judge (struct relay *r, enum send_state sent, bool left, int64_t now_us)
{
  struct out_facts f = { .sent = sent, .status = r->status };

  f.repeatable = repeatable (r);
  f.ran_before = r->ran;
  f.caller_has_bytes = r->begun;
  f.resumable = r->route->resumable;
  f.attempts_left = left;
  f.deadline_passed = now_us >= r->end_us;
  return out_judge (&f);
}

static bool
attempts_left (const struct relay *r, enum send_state sent)
{
  bool ours = r->stopped != NULL && strcmp (r->stopped, "endpoint_left") != 0;

  if (r->ntried >= PICK_EXCLUDE_MAX)
    return false;
  if (sent == SEND_NONE)
    return !ours && r->unsent < UNSENT_MAX;
  return r->attempts < r->route->max_attempts;
}

/* The retry budget is asked only where an endpoint would see a repeat. */
static struct out_verdict
judge_with_budget (struct relay *r, enum send_state sent, int64_t now_us)
{
  struct out_verdict v = judge (r, sent, attempts_left (r, sent), now_us);

  if (v.next == NEXT_FINISH || (sent == SEND_NONE && r->attempts == 0))
    return v;
  if (!budget_spend (budget_of (r->rs, r->service)))
    return judge (r, sent, false, now_us);
  return v;
}

static void
tell_picking (struct relay *r, enum send_state sent, int64_t now_us)
{
  struct fleet_endpoint *e = r->endpoint;

  if (sent == SEND_WHOLE)
    pick_worked (e);
  else if (sent == SEND_REFUSED)
    pick_refused (e, now_us);
  else if (r->stopped == NULL || strcmp (r->stopped, "not_genuine") == 0)
    pick_failed (e, now_us);
}

static void
answer (struct relay *r, enum outcome outcome, const char *reason,
        int64_t now_us)
{
  const struct relay_caller *c = r->desc.caller;

  if (c != NULL && r->begun)
    c->end (r->desc.arg, true);
  else if (c != NULL)
    c->answer (r->desc.arg, r->status, (const char *const *)r->lines,
               r->answer->str, r->answer->len);
  finish (r, outcome, reason, now_us);
}

/* Decide what follows an attempt that is over. */
static void
conclude (struct relay *r, enum send_state sent, const char *error,
          int64_t now_us)
{
  struct out_verdict v = judge_with_budget (r, sent, now_us);
  const char *reason = r->stopped != NULL ? r->stopped : v.reason;

  if (sent != SEND_WHOLE || v.next != NEXT_FINISH)
    log_event (LOG_LEVEL_INFO, "attempt_end",
               "req=%s endpoint=%s attempt=%d sent=%s status=%d next=%s "
               "reason=%s took_us=%" G_GINT64_FORMAT " error=\"%s\"",
               r->desc.id, r->endpoint->is.id, r->attempts,
               out_send_name (sent), r->status, out_next_name (v.next), reason,
               (gint64)(now_us - r->sent_us), error);
  tell_picking (r, sent, now_us);
  if (sent == SEND_NONE)
    r->unsent++;
  else if (sent != SEND_REFUSED)
    r->ran = true;
  r->tried[r->ntried++] = r->endpoint;
  leave_endpoint (r);
  if (v.next == NEXT_FINISH && sent == SEND_WHOLE)
    answer (r, v.outcome, v.reason, now_us);
  else if (v.next == NEXT_FINISH)
    give_up (r, v.outcome, reason, retry_after (r, RETRY_SOON_US), now_us);
  else
    {
      met_add (v.next == NEXT_RESUME ? MET_RESUMES : MET_RETRIES, 1);
      place (r, now_us);
    }
}

static void
on_end (void *arg, const struct relay_end *end)
{
  struct relay *r = arg;
  int64_t now = loop_now_us ();

  r->call = NULL;
  conclude (r, send_state_of (r, end->whole), end->error, now);
}

static const struct relay_events events = {
  .before_send = before_send,
  .head = on_head,
  .body = on_body,
  .end = on_end,
};

static int
urgency_of (const struct relay *r)
{
  int p = r->route->priority;

  if (r->workspace != NULL && r->workspace->priority >= 0)
    p = r->workspace->priority;
  return p < 0 ? 0 : p > 9 ? 9 : p;
}

/*
 * Work may be found again only under the weights that made it and, for a
 * workspace that shares nothing, by that workspace.  Both are in the scope's
 * name, so whatever an endpoint still holds, nothing else can be found.
 */
static void
set_scope (struct relay *r, const struct pick_choice *c)
{
  bool alone = r->workspace != NULL && r->workspace->isolated;

  parts_scope (r->cache_scope, c->endpoint->is.model, c->version,
               alone ? r->workspace->name : NULL);
}

/* Parts that stores keep. */
static void
plan_parts (struct relay *r, const struct pick_choice *c, int64_t now_us)
{
  const struct relays_opts *o = &r->rs->opts;

  const struct fleet_named *newer = fleet_outdated_by (o->fleet, c->endpoint);
  struct parts_query q = { .scope = r->cache_scope, .list = r->desc.parts };

  memset (&r->kept, 0, sizeof r->kept);
  if (o->parts == NULL || !r->route->sticky)
    return;
  q.n = r->desc.nparts;
  q.domain = c->endpoint->is.domain;
  q.fresh_us = o->fleet->fresh_us;
  q.outdated = newer != NULL;
  q.named_us = newer != NULL ? newer->early_us : 0;
  q.wait_us = c->wait_us;
  parts_plan (o->parts, &q, now_us, &r->kept);
}

static void
attempt (struct relay *r, const struct pick_choice *c, int64_t now_us)
{
  const struct relays_opts *o = &r->rs->opts;
  bool model = c->endpoint->is.model[0] != '\0';
  struct relay_send s = { .desc = &r->desc, .endpoint = c->endpoint };

  r->endpoint = fleet_endpoint_ref (c->endpoint);
  pick_sent (r->endpoint);
  r->handed_over = false;
  r->stopped = NULL;
  r->status = 0;
  r->not_run = false;
  r->streaming = false;
  r->paused = false;
  g_string_truncate (r->answer, 0);
  evt_restart (&r->events);
  if (model)
    {
      set_scope (r, c);
      plan_parts (r, c, now_us);
    }
  r->sent_us = now_us;
  s.workspace = r->workspace != NULL ? r->workspace->name : NULL;
  s.cache_scope = model ? r->cache_scope : NULL;
  s.kept = model && r->kept.nfetch + r->kept.nsave > 0 ? &r->kept : NULL;
  s.version = model ? c->version : 0;
  s.urgency = urgency_of (r);
  s.left_us = r->end_us - now_us;
  s.resume_after = r->begun ? r->events.last_id : r->desc.resume_after;

  met_add (MET_ATTEMPTS, 1);
  log_event (LOG_LEVEL_INFO, "send",
             "req=%s route=%s endpoint=%s load=%d candidates=%d crowded=%d "
             "wait_us=%" G_GINT64_FORMAT
             " fetch=%d save=%d fetch_tokens=%" G_GINT64_FORMAT
             " version=%" G_GINT64_FORMAT " left_us=%" G_GINT64_FORMAT
             " conf=%" G_GINT64_FORMAT " conf_age_us=%" G_GINT64_FORMAT,
             r->desc.id, r->route->name, c->endpoint->is.id, c->load,
             c->candidates, c->crowded, (gint64)c->wait_us, r->kept.nfetch,
             r->kept.nsave, (gint64)r->kept.fetch_tokens, (gint64)s.version,
             (gint64)s.left_us, (gint64)r->conf->version,
             (gint64)fleet_age_us (o->fleet, now_us));
  r->call = o->engine.send (o->engine.ctx, &s, &events, r);
}

/* The last part that others share: a request returns to where that is. */
static const char *
affinity_of (const struct relay_desc *d)
{
  if (d->nparts == 0)
    return NULL;
  return d->parts[d->nparts > 1 ? d->nparts - 2 : 0].id;
}

/* How long a caller waits for the first piece of a stream before it leaves. */
static int64_t
patience_us (const struct relay *r)
{
  int64_t p = PATIENCE_MIN_US;

  if (r->route->target_us * PATIENCE_TARGETS > p)
    p = r->route->target_us * PATIENCE_TARGETS;
  if (r->route->gap_us * PATIENCE_GAPS > p)
    p = r->route->gap_us * PATIENCE_GAPS;
  return p;
}

/*
 * The answer would begin after its caller has left or its time is over.  Sent
 * all the same, the endpoint reads its prompt for nobody, and those behind it
 * become late too, until nobody is answered in time.
 */
static bool
is_hopeless (const struct relay *r, const struct pick_choice *c,
             int64_t now_us)
{
  if (r->route->kind != FLEET_STREAM || r->begun)
    return false;
  return now_us + c->wait_us > r->end_us
         || now_us - r->arrived_us + c->wait_us
                > patience_us (r) / PATIENCE_SHARE;
}

/* Find an endpoint for the next attempt, or give up. */
static void
place (struct relay *r, int64_t now_us)
{
  const struct relays_opts *o = &r->rs->opts;
  struct pick_query q = { .service = r->service, .domain = o->domain };
  struct pick_choice c;

  if (is_stale (r, now_us))
    {
      give_up_unplaced (r, "settings_stale", RETRY_LATER_US, now_us);
      return;
    }
  q.affinity = r->route->sticky ? affinity_of (&r->desc) : NULL;
  memcpy (q.exclude, r->tried, sizeof q.exclude);
  q.nexclude = r->ntried;
  q.random = draw (r->rs);
  c = pick_endpoint (o->fleet, &q, now_us);
  if (c.code == PICK_CHOSEN && is_hopeless (r, &c, now_us))
    give_up_unplaced (r, "too_late", c.wait_us / 2, now_us);
  else if (c.code == PICK_CHOSEN)
    attempt (r, &c, now_us);
  else
    give_up_unplaced (r, pick_code_name (c.code), RETRY_SOON_US, now_us);
}

/* --- sweep ----------------------------------------------------------- */

static void
time_out (struct relay *r, int64_t now_us)
{
  const struct relay_engine *e = &r->rs->opts.engine;

  if (r->call != NULL)
    e->cancel (e->ctx, r->call);
  r->call = NULL;
  r->stopped = "deadline";
  conclude (r, send_state_of (r, false), "", now_us);
}

static void
on_sweep (void *arg, int64_t now_us)
{
  struct relays *rs = arg;
  bool look = ++rs->sweeps % GONE_EVERY == 0;
  struct relay *r, *next;

  for (r = APR_RING_FIRST (&rs->all);
       r != APR_RING_SENTINEL (&rs->all, relay, link); r = next)
    {
      next = APR_RING_NEXT (r, link);
      if (look && r->desc.caller != NULL && r->desc.caller->gone (r->desc.arg))
        relay_caller_gone (r);
      else if (now_us >= r->end_us)
        time_out (r, now_us);
    }
  if (rs->count > 0)
    loop_arm (rs->opts.loop, &rs->sweep, now_us + SWEEP_US);
}

/* --- start ----------------------------------------------------------- */

static void
log_refusal (const struct relay_desc *d, const char *outcome,
             const char *reason, const struct fleet *f, int64_t now_us)
{
  log_event (LOG_LEVEL_INFO, "refuse",
             "req=%s host=%s outcome=%s reason=%s conf=%" G_GINT64_FORMAT
             " conf_age_us=%" G_GINT64_FORMAT,
             d->id, d->host, outcome, reason,
             (gint64)(f->conf != NULL ? f->conf->version : 0),
             (gint64)fleet_age_us (f, now_us));
}

/* Refuse a request that leads nowhere. */
static void
refuse_early (struct relays *rs, const struct relay_desc *d,
              enum relay_refusal why, const char *reason, int64_t now_us)
{
  int64_t wait = 0;

  if (why == RELAY_NOT_RUN)
    wait = RETRY_LATER_US + (int64_t)(draw (rs) % (uint64_t)RETRY_SPREAD_US);
  log_refusal (d, out_name (OUT_NOT_RUN), reason, rs->opts.fleet, now_us);
  met_add (MET_NOT_RUN, 1);
  d->caller->refuse (d->arg, why, wait);
}

/* Who asks; a refusal if the key opens nothing. */
static bool
find_workspace (struct relays *rs, const struct relay_desc *d,
                const struct fleet_route *route,
                const struct fleet_workspace **workspace, int64_t now_us)
{
  const struct fleet *f = rs->opts.fleet;
  bool stale = fleet_age_us (f, now_us) > rs->opts.stale_us;

  *workspace = NULL;
  if (d->key != NULL)
    *workspace = g_hash_table_lookup (f->conf->keys, d->key);
  if (route->anonymous || g_hash_table_size (f->conf->keys) == 0)
    return true;
  /* A key that is not known here may have been added since. */
  if (stale)
    refuse_early (rs, d, RELAY_NOT_RUN, "settings_stale", now_us);
  else if (*workspace == NULL)
    refuse_early (rs, d, RELAY_BAD_KEY, "no_key", now_us);
  return !stale && *workspace != NULL;
}

static struct relay *
relay_new (struct relays *rs, const struct relay_desc *d,
           const struct fleet_route *route, int64_t now_us)
{
  struct relay *r = g_new0 (struct relay, 1);
  uint64_t digest = XXH3_64bits (d->id, strlen (d->id));

  r->rs = rs;
  r->desc = *d;
  r->conf = fleet_conf_ref (rs->opts.fleet->conf);
  r->route = route;
  r->service = fleet_split_pick (route, digest);
  r->arrived_us = now_us;
  r->end_us = now_us + route->timeout_us;
  if (d->deadline_us > 0 && d->deadline_us < r->end_us)
    r->end_us = d->deadline_us;
  r->answer = g_string_new (NULL);
  evt_init (&r->events, d->resume_after);
  APR_RING_ELEM_INIT (r, link);
  APR_RING_INSERT_TAIL (&rs->all, r, relay, link);
  rs->count++;
  met_add (MET_REQUESTS, 1);
  met_add (MET_RUNNING, 1);
  budget_earn (budget_of (rs, r->service));
  if (!rs->sweep.armed)
    loop_arm (rs->opts.loop, &rs->sweep, now_us + SWEEP_US);
  return r;
}

/* A request that is placed from inside its door's call may end there, so its
   end must not free it under the door. */
struct relay *
relay_start (struct relays *rs, const struct relay_desc *d, int64_t now_us)
{
  struct fleet *f = rs->opts.fleet;
  const struct fleet_route *route;
  const struct fleet_workspace *workspace;
  struct relay *r;

  if (f->conf == NULL || !f->listed)
    {
      refuse_early (rs, d, RELAY_NOT_RUN, "nothing_known", now_us);
      return NULL;
    }
  route = fleet_route_find (f->conf, d->host, d->target);
  if (route == NULL)
    {
      refuse_early (rs, d, RELAY_NO_ROUTE, "no_route", now_us);
      return NULL;
    }
  if (!find_workspace (rs, d, route, &workspace, now_us))
    return NULL;
  if ((int64_t)d->body_len > f->conf->limits.body_bytes)
    {
      refuse_early (rs, d, RELAY_TOO_LARGE, "body_too_large", now_us);
      return NULL;
    }
  r = relay_new (rs, d, route, now_us);
  r->workspace = workspace;
  /* Held as if a message were under way, so that it outlives this call. */
  r->unpausing = true;
  place (r, now_us);
  r->unpausing = false;
  if (!r->done)
    return r;
  relay_free (r);
  return NULL;
}

/* --- callers --------------------------------------------------------- */

static void
on_unpause (void *arg)
{
  struct relay *r = arg;
  const struct relay_engine *e = &r->rs->opts.engine;

  r->unpausing = false;
  if (r->done)
    relay_free (r);
  else if (r->call != NULL && r->paused)
    {
      r->paused = false;
      e->unpause (e->ctx, r->call);
    }
}

/* Posted, because the door and the engine's adapter must not call into each
   other; only once half is free, so that it is worth it. */
void
relay_drained (struct relay *r)
{
  if (!r->paused || r->unpausing
      || r->desc.caller->pending (r->desc.arg) > r->rs->opts.stream_buffer / 2)
    return;
  r->unpausing = true;
  r->unpause.run = on_unpause;
  r->unpause.arg = r;
  loop_post (r->rs->opts.loop, &r->unpause);
}

void
relay_caller_gone (struct relay *r)
{
  const struct relay_engine *e = &r->rs->opts.engine;
  int64_t now = loop_now_us ();
  bool sent = r->handed_over || r->ran;

  r->desc.caller = NULL;
  met_add (MET_CANCELS, 1);
  if (sent && r->endpoint != NULL && r->first_us == 0
      && r->route->kind == FLEET_STREAM)
    pick_first (r->endpoint, now - r->sent_us, now);
  if (r->call != NULL)
    e->cancel (e->ctx, r->call);
  r->call = NULL;
  finish (r, sent ? OUT_UNKNOWN : OUT_NOT_RUN, "caller_gone", now);
}

/* --- the requests of a worker ---------------------------------------- */

struct relays *
relays_new (const struct relays_opts *opts)
{
  struct relays *rs = g_new0 (struct relays, 1);

  rs->opts = *opts;
  rs->random = opts->seed;
  rs->sweep.fire = on_sweep;
  rs->sweep.arg = rs;
  rs->budgets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  APR_RING_INIT (&rs->all, relay, link);
  return rs;
}

void
relays_free (struct relays *rs)
{
  loop_disarm (&rs->sweep);
  g_hash_table_destroy (rs->budgets);
  g_free (rs);
}

int
relays_count (const struct relays *rs)
{
  return rs->count;
}
