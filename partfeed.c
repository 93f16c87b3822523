/* Keeps the directory of stored parts current. */
#include "partfeed.h"

#include <string.h>
#include <xxhash.h>

#include "decide.h"
#include "log.h"

/* Longest wait that a store allows a poll. */
#define POLL_WAIT_US (1000 * CQ_US_PER_MS)
/*
 * A store accepts some ten concurrent polls.  With many VMs most polls would
 * be refused, and most VMs would not know what is stored.  A VM whose poll is
 * refused changes to short polls with pauses in between.  The pause doubles
 * with each refusal, up to the maximum, and gets shorter by a quarter with
 * each reply.  A save requires contents that were synchronized at most 1.5 s
 * ago: with long pauses that decrease slowly, most VMs could not save
 * anything.
 */
#define PACED_POLL_WAIT_US (200 * CQ_US_PER_MS)
#define PACE_FIRST_US (200 * CQ_US_PER_MS)
#define PACE_MAX_US (400 * CQ_US_PER_MS)
#define PACE_DECREASE_DIVISOR 4
/* Pause after a failed call: a restart of a store takes seconds. */
#define RETRY_PAUSE_US (500 * CQ_US_PER_MS)
/* A call to free parts expires after this time on the store's clock. */
#define FREE_EXPIRY_MS 800
/* Interval between calls to free parts at one store, so that its events arrive
   in between. */
#define FREE_INTERVAL_US (600 * CQ_US_PER_MS)

/* Concurrent calls that a store accepts, if not configured. */
#define CALLS_DEFAULT 12
/* Percentage of these for VMs that poll the store continuously, each of which
   has a call in progress nearly all the time. */
#define CONTINUOUS_PERCENT 75
/* The other VMs pause between polls for this time multiplied by the number of
   stores, within these bounds.  So the total rate of polls does not depend on
   the number of stores, up to the pause at which the contents known here would
   be too old for fetches. */
#define SPACED_PER_STORE_US (50 * CQ_US_PER_MS)
#define SPACED_MIN_US (1200 * CQ_US_PER_MS)
#define SPACED_MAX_US (2500 * CQ_US_PER_MS)
/* Interval at which a VM checks again whether it is to poll a store, and
   whether continuously. */
#define RANK_CHECK_US (2 * CQ_US_PER_S)
/* The same while its rank among the VMs is not known, and how long after the
   start it waits for that. */
#define RANK_UNKNOWN_CHECK_US (200 * CQ_US_PER_MS)
#define RANK_WAIT_US (3 * CQ_US_PER_S)

/* One store that is followed. */
struct watch
{
  APR_RING_ENTRY (watch) link; /* in the feed's list */
  struct partfeed *feed;       /* owner */
  struct parts_store *store;   /* in the directory */
  struct loop_timer timer;     /* starts the next poll */
  bool busy;                   /* a call is in progress */
  bool listing;                /* that call lists all that is stored */
  bool need_list;   /* events were lost; the next call must list all */
  bool unreachable; /* the last call failed */
  int64_t pace_us;  /* mean pause between polls after refusals, 0 for none */
  int64_t sent_us;  /* when the call in progress was sent */
  int64_t rank_checked_us; /* rank was checked last then; 0 for never */
  bool followed;           /* this VM polls the store */
  bool freeing;            /* a call to free parts is in progress */
  int64_t free_sent_us;    /* when the last such call was sent */
  GArray *freed;           /* struct part_stored, the parts of that call */
};

struct partfeed
{
  struct partfeed_opts opts;                 /* as made */
  APR_RING_HEAD (watch_ring, watch) watches; /* by store */
  GRand *rand;                               /* for pauses */
  int stores;                                /* number of configured stores */
  int64_t started_us;                        /* time of the start */
  bool follows_all; /* all stores are polled, whatever this VM's rank */
  bool stopped;     /* no more calls are started */
};

static void start_poll (struct watch *w, int64_t now_us);

static void
on_timer (void *arg, int64_t now_us)
{
  start_poll (arg, now_us);
}

static void
schedule_poll (struct watch *w, int64_t pause_us, int64_t now_us)
{
  loop_arm (w->feed->opts.loop, &w->timer, now_us + pause_us);
}

static bool
is_paced (const struct watch *w)
{
  return w->pace_us > 0 || !w->store->continuous;
}

static int64_t
spaced_pause_us (const struct partfeed *f)
{
  return CLAMP (f->stores * SPACED_PER_STORE_US, SPACED_MIN_US, SPACED_MAX_US);
}

/* Returns 0.5 to 1.5 times the pace: VMs that were refused together must not
   return together. */
static int64_t
jittered_pause (struct watch *w, int64_t pace_us)
{
  return pace_us / 2
         + g_rand_int_range (w->feed->rand, 0, (gint32)pace_us + 1);
}

static void
log_pace (const struct watch *w, const char *outcome)
{
  log_event (LOG_LEVEL_INFO, "store",
             "store=%s outcome=%s pace_us=%" G_GINT64_FORMAT
             " held=%u known_us=%" G_GINT64_FORMAT,
             w->store->address, outcome, (gint64)w->pace_us,
             g_hash_table_size (w->store->stored),
             (gint64)w->store->synced_us);
}

static void
slow_down (struct watch *w)
{
  bool first = w->pace_us == 0;

  w->pace_us = w->pace_us == 0 ? PACE_FIRST_US : 2 * w->pace_us;
  if (w->pace_us > PACE_MAX_US)
    w->pace_us = PACE_MAX_US;
  if (first)
    log_pace (w, "rate_limited");
}

static void
speed_up (struct watch *w)
{
  if (w->pace_us == 0)
    return;
  w->pace_us -= w->pace_us / PACE_DECREASE_DIVISOR;
  if (w->pace_us >= PACE_FIRST_US / 2)
    return;
  w->pace_us = 0;
  log_pace (w, "not_limited");
}

static void
apply_events (struct watch *w, const struct partfeed_reply *n)
{
  const struct partfeed_event *e;
  guint i;

  for (i = 0; i < n->events->len; i++)
    {
      e = &g_array_index (n->events, struct partfeed_event, i);
      if (e->stored)
        parts_added (w->store, &e->part);
      else
        parts_removed (w->store, e->part.scope, e->part.id);
    }
  w->store->next_event = n->next_event;
}

static void
update_reachability (struct watch *w, bool reached)
{
  if (w->unreachable != reached)
    return;
  w->unreachable = !reached;
  log_event (reached ? LOG_LEVEL_INFO : LOG_LEVEL_WARNING, "store",
             "store=%s outcome=%s epoch=%" G_GINT64_FORMAT
             " held=%u used=%" G_GINT64_FORMAT,
             w->store->address, reached ? "regained" : "lost",
             (gint64)w->store->epoch, g_hash_table_size (w->store->stored),
             (gint64)w->store->used_tokens);
}

/* A delayed reply of an earlier incarnation may arrive after the first reply
   of the next one. */
static bool
is_of_earlier_incarnation (const struct parts_store *s,
                           const struct partfeed_reply *n)
{
  return n->status == PARTFEED_OK && n->started_ms != 0
         && n->started_ms < s->started_ms;
}

/* A restart empties a store, and lost events may include removals: a part that
   is wrongly considered stored would cause a useless fetch.  Both are followed
   by a call that lists all that is stored. */
static void
on_reply (void *arg, const struct partfeed_reply *n)
{
  struct watch *w = arg;
  int64_t now = loop_now_us ();
  bool restarted;

  w->busy = false;
  if (w->feed->stopped)
    return;
  update_reachability (w, n->status != PARTFEED_NO_REPLY);
  if (n->status == PARTFEED_NO_REPLY)
    {
      parts_store_unreachable (w->store);
      schedule_poll (w, RETRY_PAUSE_US, now);
      return;
    }
  parts_store_replied (w->store, n->clock_ms, now);
  if (n->status == PARTFEED_RATE_LIMITED)
    {
      slow_down (w);
      schedule_poll (w, jittered_pause (w, w->pace_us), now);
      return;
    }
  if (is_of_earlier_incarnation (w->store, n))
    {
      log_event (LOG_LEVEL_INFO, "store",
                 "store=%s outcome=passed_over reason=life_older "
                 "born_ms=%" G_GINT64_FORMAT " known_ms=%" G_GINT64_FORMAT,
                 w->store->address, (gint64)n->started_ms,
                 (gint64)w->store->started_ms);
      schedule_poll (w, RETRY_PAUSE_US, now);
      return;
    }
  restarted
      = w->store->started_ms != 0 && n->started_ms > w->store->started_ms;
  w->store->started_ms = MAX (w->store->started_ms, n->started_ms);
  speed_up (w);
  if (w->listing)
    {
      parts_store_reset (w->store, n->epoch, n->next_event, now);
      w->need_list = false;
    }
  else if (n->epoch != w->store->epoch || n->events_lost || restarted)
    {
      log_event (LOG_LEVEL_INFO, "store",
                 "store=%s outcome=%s epoch=%" G_GINT64_FORMAT
                 " before=%" G_GINT64_FORMAT,
                 w->store->address, n->events_lost ? "gap" : "restarted",
                 (gint64)n->epoch, (gint64)w->store->epoch);
      parts_store_reset (w->store, 0, 0, now);
      w->need_list = true;
    }
  if (!w->need_list)
    {
      apply_events (w, n);
      parts_store_synced (w->store, w->sent_us);
    }
  if (!is_paced (w) || w->need_list)
    start_poll (w, now);
  else
    schedule_poll (w,
                   jittered_pause (w, w->store->continuous
                                          ? w->pace_us
                                          : spaced_pause_us (w->feed)),
                   now);
}

int
partfeed_max_continuous (int calls_max)
{
  int calls = calls_max > 0 ? calls_max : CALLS_DEFAULT;

  return MAX (calls * CONTINUOUS_PERCENT / 100, 1);
}

int
partfeed_max_followers (int calls_max)
{
  int calls = calls_max > 0 ? calls_max : CALLS_DEFAULT;
  int continuous = partfeed_max_continuous (calls_max);

  return continuous
         + (int)((calls - continuous) * PARTS_FETCH_SYNC_AGE_US
                 / PACED_POLL_WAIT_US);
}

static bool
ranks_within (const struct watch *w, int places)
{
  const struct partfeed_opts *o = &w->feed->opts;
  uint64_t key = XXH3_64bits (w->store->address, strlen (w->store->address));

  return o->ranks_within == NULL || o->ranks_within (o->arg, key, places);
}

static bool
is_rank_awaited (const struct partfeed *f, int64_t now_us)
{
  return f->opts.is_rank_known != NULL && !f->opts.is_rank_known (f->opts.arg)
         && now_us - f->started_us < RANK_WAIT_US;
}

/*
 * A store accepts a limited number of concurrent calls, and there may be many
 * more VMs: each VM that polls without pauses displaces another one.  So only
 * as many VMs as the store has room for poll it continuously; the others pause
 * between polls.  Beyond the number whose contents the remaining calls keep
 * recent enough for fetches, further VMs would only be refused, and do not
 * poll the store.
 */
static void
choose_polling (struct watch *w, int64_t now_us)
{
  int calls = w->store->calls_max;
  bool continuous, followed;

  if (w->rank_checked_us != 0 && now_us - w->rank_checked_us < RANK_CHECK_US)
    return;
  if (is_rank_awaited (w->feed, now_us))
    {
      w->followed = false;
      return;
    }
  continuous = ranks_within (w, partfeed_max_continuous (calls));
  followed = continuous || w->feed->follows_all
             || ranks_within (w, partfeed_max_followers (calls));
  if (w->rank_checked_us == 0 || continuous != w->store->continuous
      || followed != w->followed)
    log_event (LOG_LEVEL_INFO, "store", "store=%s outcome=%s calls_max=%d",
               w->store->address,
               continuous ? "close"
               : followed ? "loose"
                          : "not_followed",
               calls);
  w->store->continuous = continuous;
  w->followed = followed;
  w->rank_checked_us = now_us;
}

static void
start_poll (struct watch *w, int64_t now_us)
{
  const struct partfeed_ops *o = &w->feed->opts.ops;

  if (w->busy || w->feed->stopped || !w->store->configured)
    return;
  choose_polling (w, now_us);
  if (!w->followed)
    {
      schedule_poll (
          w, w->rank_checked_us == 0 ? RANK_UNKNOWN_CHECK_US : RANK_CHECK_US,
          now_us);
      return;
    }
  w->busy = true;
  w->sent_us = now_us;
  w->listing = w->need_list;
  if (w->listing)
    o->list (o->ctx, w->store->address, on_reply, w);
  else
    o->events (o->ctx, w->store->address, w->store->next_event,
               is_paced (w) ? PACED_POLL_WAIT_US : POLL_WAIT_US, on_reply, w);
}

static struct watch *
find_watch (struct partfeed *f, const struct parts_store *s)
{
  struct watch *w;

  APR_RING_FOREACH (w, &f->watches, watch, link)
  {
    if (w->store == s)
      return w;
  }
  return NULL;
}

void
partfeed_take_conf (struct partfeed *f, const struct fleet_conf *c)
{
  struct parts_store *s;
  struct watch *w;

  parts_take_conf (f->opts.parts, c);
  f->stores = 0;
  APR_RING_FOREACH (s, &f->opts.parts->stores, parts_store, link)
  f->stores += s->configured;
  APR_RING_FOREACH (s, &f->opts.parts->stores, parts_store, link)
  {
    w = find_watch (f, s);
    if (w == NULL)
      {
        w = g_new0 (struct watch, 1);
        w->feed = f;
        w->store = s;
        w->need_list = true;
        w->freed = g_array_new (FALSE, TRUE, sizeof (struct part_stored));
        w->timer.fire = on_timer;
        w->timer.arg = w;
        APR_RING_ELEM_INIT (w, link);
        APR_RING_INSERT_TAIL (&f->watches, w, watch, link);
      }
    start_poll (w, loop_now_us ());
  }
}

void
partfeed_follow_all (struct partfeed *f, bool all, int64_t now_us)
{
  struct watch *w;

  if (f->follows_all == all || f->stopped)
    return;
  f->follows_all = all;
  APR_RING_FOREACH (w, &f->watches, watch, link)
  {
    w->rank_checked_us = 0;
    if (!w->followed)
      start_poll (w, now_us);
  }
}

/* --- freeing --------------------------------------------------------- */

/* Events report the removals, too, but one event in a hundred is lost. */
static void
remove_freed (struct watch *w)
{
  guint i;

  for (i = 0; i < w->freed->len; i++)
    {
      struct part_stored *h = &g_array_index (w->freed, struct part_stored, i);

      parts_removed (w->store, h->scope, h->id);
    }
}

static void
on_freed (void *arg, bool freed)
{
  struct watch *w = arg;

  w->freeing = false;
  if (freed)
    remove_freed (w);
  g_array_set_size (w->freed, 0);
  if (!freed)
    log_event (LOG_LEVEL_INFO, "free", "store=%s outcome=failed",
               w->store->address);
}

/* Newest version of the model such that nobody can be fetching parts of older
   versions at NOW_US; 0 if there is none. */
static int64_t
freeable_version (const struct fleet_wanted *w, int64_t now_us)
{
  int64_t version = 0;
  int i;

  for (i = 0; i < w->nannounced; i++)
    if (parts_may_free (w->announced[i].learned_us, now_us))
      version = w->announced[i].version;
  return version;
}

static void
free_in_store (struct watch *w, const struct fleet_wanted *wanted,
               int64_t now_us)
{
  const struct partfeed_ops *o = &w->feed->opts.ops;
  const struct part_stored *list[PARTS_FREE_MAX];
  int64_t version = freeable_version (wanted, now_us);
  int n = version == 0 ? 0
                       : parts_outdated (w->store, wanted->model, version,
                                         list, PARTS_FREE_MAX);
  int i;

  if (n == 0 || w->freeing || now_us - w->free_sent_us < FREE_INTERVAL_US
      || w->store->clock_ms == 0)
    return;
  w->freeing = true;
  w->free_sent_us = now_us;
  for (i = 0; i < n; i++)
    g_array_append_val (w->freed, *list[i]);
  log_event (
      LOG_LEVEL_INFO, "free",
      "store=%s outcome=asked parts=%d model=%s before=%" G_GINT64_FORMAT
      " epoch=%" G_GINT64_FORMAT,
      w->store->address, n, wanted->model, (gint64)version,
      (gint64)w->store->epoch);
  o->free (o->ctx, w->store->address, w->store->epoch,
           parts_store_clock_ms (w->store, now_us) + FREE_EXPIRY_MS, list, n,
           on_freed, w);
}

void
partfeed_free_outdated (struct partfeed *f, const struct fleet *fleet,
                        int64_t now_us)
{
  struct watch *w;
  guint i;

  if (f->stopped)
    return;
  APR_RING_FOREACH (w, &f->watches, watch, link)
  {
    for (i = 0; i < fleet->wanted->len; i++)
      free_in_store (w, &g_array_index (fleet->wanted, struct fleet_wanted, i),
                     now_us);
  }
}

/* --- lifecycle ------------------------------------------------------- */

struct partfeed *
partfeed_new (const struct partfeed_opts *opts)
{
  struct partfeed *f = g_new0 (struct partfeed, 1);

  f->opts = *opts;
  f->rand = g_rand_new_with_seed ((guint32)opts->seed);
  f->started_us = loop_now_us ();
  APR_RING_INIT (&f->watches, watch, link);
  return f;
}

void
partfeed_stop (struct partfeed *f)
{
  struct watch *w;

  f->stopped = true;
  APR_RING_FOREACH (w, &f->watches, watch, link) loop_disarm (&w->timer);
}

int
partfeed_pending_calls (const struct partfeed *f)
{
  const struct watch *w;
  int n = 0;

  APR_RING_FOREACH (w, &f->watches, watch, link) n += w->busy + w->freeing;
  return n;
}

void
partfeed_free (struct partfeed *f)
{
  struct watch *w;

  while (!APR_RING_EMPTY (&f->watches, watch, link))
    {
      w = APR_RING_FIRST (&f->watches);
      APR_RING_REMOVE (w, link);
      g_array_free (w->freed, TRUE);
      g_free (w);
    }
  g_rand_free (f->rand);
  g_free (f);
}
