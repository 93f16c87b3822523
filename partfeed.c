/* Keeping the directory of stored parts current. */
#include "partfeed.h"

#include <string.h>
#include <xxhash.h>

#include "decide.h"
#include "log.h"

/* The longest that a store lets a poll wait. */
#define WAIT_US (1000 * CQ_US_PER_MS)
/*
 * A store holds some ten polls at once, and VMs may be many: then most polls
 * are turned away, and most VMs know of nothing that is stored.
 * One that is turned away pauses between short polls, twice as long each
 * time, up to the longest; a quarter less after each answer.  A save needs
 * knowledge of 1.5 s: with long pauses that end slowly, most VMs could have
 * nothing saved.
 */
#define SHORT_WAIT_US (200 * CQ_US_PER_MS)
#define PACE_FIRST_US (200 * CQ_US_PER_MS)
#define PACE_MAX_US (400 * CQ_US_PER_MS)
#define PACE_EASE 4
/* After a failed call: a store that restarts takes seconds. */
#define PAUSE_US (500 * CQ_US_PER_MS)
/* A call to free is void after this time on the store's clock. */
#define FREE_VOID_MS 800
/* Between calls to free at one store, for its events to tell. */
#define FREE_EVERY_US (600 * CQ_US_PER_MS)

/* Calls that a store holds at once, if it does not say. */
#define CALLS_USUAL 12
/* Of these, percent for VMs that follow it closely, each of which has one
   under way nearly all the time. */
#define CLOSE_PERCENT 75
/* The other VMs pause so long for each store that there is, within these
   bounds: polls cost the same however many stores are polled, until what is
   known would be too old for fetches. */
#define LOOSE_STORE_US (50 * CQ_US_PER_MS)
#define LOOSE_MIN_US (1200 * CQ_US_PER_MS)
#define LOOSE_MAX_US (2500 * CQ_US_PER_MS)
/* Who follows closely is looked up anew after this time. */
#define JUDGE_US (2 * CQ_US_PER_S)

/* One store that is followed. */
struct watch
{
  APR_RING_ENTRY (watch) link; /* in the feed's list */
  struct partfeed *feed;       /* whose */
  struct parts_store *store;   /* in the directory */
  struct loop_timer timer;     /* ends a pause */
  bool busy;                   /* a call is under way */
  bool listing;                /* that call lists all */
  bool need_list;              /* what is known has a gap */
  bool lost;                   /* the last call failed */
  int64_t pace_us;             /* mean pause between polls, 0 for none */
  int64_t asked_us;            /* the call under way was sent */
  int64_t judged_us;           /* whether closely was looked up; 0 for never */
  bool freeing;                /* a call to free is under way */
  int64_t freed_us;            /* the last one was sent */
  GArray *freed;               /* struct part_held that it names */
};

struct partfeed
{
  struct partfeed_opts opts;                 /* as made */
  APR_RING_HEAD (watch_ring, watch) watches; /* by store */
  GRand *rand;                               /* for pauses */
  int stores;                                /* that are listed */
  bool stopped;                              /* asks nothing more */
};

static void ask (struct watch *w, int64_t now_us);

static void
on_timer (void *arg, int64_t now_us)
{
  ask (arg, now_us);
}

static void
pause_then_ask (struct watch *w, int64_t pause_us, int64_t now_us)
{
  loop_arm (w->feed->opts.loop, &w->timer, now_us + pause_us);
}

static bool
is_paced (const struct watch *w)
{
  return w->pace_us > 0 || !w->store->close;
}

static int64_t
loose_us (const struct partfeed *f)
{
  return CLAMP (f->stores * LOOSE_STORE_US, LOOSE_MIN_US, LOOSE_MAX_US);
}

/* Half to one and a half times the pace: VMs that were turned away together
   must not return together. */
static int64_t
drawn_pause (struct watch *w, int64_t pace_us)
{
  return pace_us / 2
         + g_rand_int_range (w->feed->rand, 0, (gint32)pace_us + 1);
}

static void
note_pace (const struct watch *w, const char *outcome)
{
  log_event (LOG_LEVEL_INFO, "store",
             "store=%s outcome=%s pace_us=%" G_GINT64_FORMAT
             " held=%u known_us=%" G_GINT64_FORMAT,
             w->store->address, outcome, (gint64)w->pace_us,
             g_hash_table_size (w->store->held), (gint64)w->store->known_us);
}

static void
slow_down (struct watch *w)
{
  bool first = w->pace_us == 0;

  w->pace_us = w->pace_us == 0 ? PACE_FIRST_US : 2 * w->pace_us;
  if (w->pace_us > PACE_MAX_US)
    w->pace_us = PACE_MAX_US;
  if (first)
    note_pace (w, "rate_limited");
}

static void
speed_up (struct watch *w)
{
  if (w->pace_us == 0)
    return;
  w->pace_us -= w->pace_us / PACE_EASE;
  if (w->pace_us >= PACE_FIRST_US / 2)
    return;
  w->pace_us = 0;
  note_pace (w, "not_limited");
}

static void
take_events (struct watch *w, const struct part_news *n)
{
  const struct part_event *e;
  guint i;

  for (i = 0; i < n->events->len; i++)
    {
      e = &g_array_index (n->events, struct part_event, i);
      if (e->added)
        parts_added (w->store, &e->part);
      else
        parts_removed (w->store, e->part.scope, e->part.id);
    }
  w->store->next = n->next;
}

static void
note_contact (struct watch *w, bool reached)
{
  if (w->lost != reached)
    return;
  w->lost = !reached;
  log_event (reached ? LOG_LEVEL_INFO : LOG_LEVEL_WARNING, "store",
             "store=%s outcome=%s epoch=%" G_GINT64_FORMAT
             " held=%u used=%" G_GINT64_FORMAT,
             w->store->address, reached ? "regained" : "lost",
             (gint64)w->store->epoch, g_hash_table_size (w->store->held),
             (gint64)w->store->used);
}

/* An answer of a life that is over may come after the next one's first. */
static bool
is_of_earlier_life (const struct parts_store *s, const struct part_news *n)
{
  return n->code == PARTS_ANSWERED && n->born_ms != 0
         && n->born_ms < s->born_ms;
}

/* A restart empties a store, and a gap hides what was freed: a part believed
   to be there would be a fetch in vain.  Both are followed by a list. */
static void
on_news (void *arg, const struct part_news *n)
{
  struct watch *w = arg;
  int64_t now = loop_now_us ();
  bool again;

  w->busy = false;
  if (w->feed->stopped)
    return;
  note_contact (w, n->code != PARTS_SILENT);
  if (n->code == PARTS_SILENT)
    {
      parts_lost (w->store);
      pause_then_ask (w, PAUSE_US, now);
      return;
    }
  parts_heard (w->store, n->clock_ms, now);
  if (n->code == PARTS_CROWDED)
    {
      slow_down (w);
      pause_then_ask (w, drawn_pause (w, w->pace_us), now);
      return;
    }
  if (is_of_earlier_life (w->store, n))
    {
      log_event (LOG_LEVEL_INFO, "store",
                 "store=%s outcome=passed_over reason=life_older "
                 "born_ms=%" G_GINT64_FORMAT " known_ms=%" G_GINT64_FORMAT,
                 w->store->address, (gint64)n->born_ms,
                 (gint64)w->store->born_ms);
      pause_then_ask (w, PAUSE_US, now);
      return;
    }
  again = w->store->born_ms != 0 && n->born_ms > w->store->born_ms;
  w->store->born_ms = MAX (w->store->born_ms, n->born_ms);
  speed_up (w);
  if (w->listing)
    {
      parts_forget (w->store, n->epoch, n->next, now);
      w->need_list = false;
    }
  else if (n->epoch != w->store->epoch || n->lost || again)
    {
      log_event (LOG_LEVEL_INFO, "store",
                 "store=%s outcome=%s epoch=%" G_GINT64_FORMAT
                 " before=%" G_GINT64_FORMAT,
                 w->store->address, n->lost ? "gap" : "restarted",
                 (gint64)n->epoch, (gint64)w->store->epoch);
      parts_forget (w->store, 0, 0, now);
      w->need_list = true;
    }
  if (!w->need_list)
    {
      take_events (w, n);
      parts_known (w->store, w->asked_us);
    }
  if (!is_paced (w) || w->need_list)
    ask (w, now);
  else
    pause_then_ask (
        w, drawn_pause (w, w->store->close ? w->pace_us : loose_us (w->feed)),
        now);
}

/*
 * A store holds some calls at once, and VMs may be many more: each that polls
 * all stores without a pause takes its place from another.  As many as have
 * room follow a store closely; the others pause between polls.
 */
static void
judge (struct watch *w, int64_t now_us)
{
  const struct partfeed_opts *o = &w->feed->opts;
  int calls = w->store->calls_max > 0 ? w->store->calls_max : CALLS_USUAL;
  uint64_t key = XXH3_64bits (w->store->address, strlen (w->store->address));
  bool close;

  if (w->judged_us != 0 && now_us - w->judged_us < JUDGE_US)
    return;
  close = o->is_among == NULL
          || o->is_among (o->arg, key, MAX (calls * CLOSE_PERCENT / 100, 1));
  if (w->judged_us == 0 || close != w->store->close)
    log_event (LOG_LEVEL_INFO, "store", "store=%s outcome=%s calls_max=%d",
               w->store->address, close ? "close" : "loose",
               w->store->calls_max);
  w->store->close = close;
  w->judged_us = now_us;
}

static void
ask (struct watch *w, int64_t now_us)
{
  const struct partfeed_ops *o = &w->feed->opts.ops;

  if (w->busy || w->feed->stopped || !w->store->listed)
    return;
  judge (w, now_us);
  w->busy = true;
  w->asked_us = now_us;
  w->listing = w->need_list;
  if (w->listing)
    o->list (o->ctx, w->store->address, on_news, w);
  else
    o->events (o->ctx, w->store->address, w->store->next,
               is_paced (w) ? SHORT_WAIT_US : WAIT_US, on_news, w);
}

static struct watch *
watch_of (struct partfeed *f, const struct parts_store *s)
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
  f->stores += s->listed;
  APR_RING_FOREACH (s, &f->opts.parts->stores, parts_store, link)
  {
    w = watch_of (f, s);
    if (w == NULL)
      {
        w = g_new0 (struct watch, 1);
        w->feed = f;
        w->store = s;
        w->need_list = true;
        w->freed = g_array_new (FALSE, TRUE, sizeof (struct part_held));
        w->timer.fire = on_timer;
        w->timer.arg = w;
        APR_RING_ELEM_INIT (w, link);
        APR_RING_INSERT_TAIL (&f->watches, w, watch, link);
      }
    ask (w, loop_now_us ());
  }
}

/* --- freeing --------------------------------------------------------- */

/* Events tell of it too, but one in a hundred never comes. */
static void
forget_freed (struct watch *w)
{
  guint i;

  for (i = 0; i < w->freed->len; i++)
    {
      struct part_held *h = &g_array_index (w->freed, struct part_held, i);

      parts_removed (w->store, h->scope, h->id);
    }
}

static void
on_freed (void *arg, bool freed)
{
  struct watch *w = arg;

  w->freeing = false;
  if (freed)
    forget_freed (w);
  g_array_set_size (w->freed, 0);
  if (!freed)
    log_event (LOG_LEVEL_INFO, "free", "store=%s outcome=failed",
               w->store->address);
}

/* Newest version of the model that nobody can have fetched older parts than,
   at NOW_US; 0 if there is none. */
static int64_t
safe_version (const struct fleet_wanted *w, int64_t now_us)
{
  int64_t version = 0;
  int i;

  for (i = 0; i < w->nnamed; i++)
    if (parts_may_free (w->named[i].learned_us, now_us))
      version = w->named[i].version;
  return version;
}

static void
free_at (struct watch *w, const struct fleet_wanted *wanted, int64_t now_us)
{
  const struct partfeed_ops *o = &w->feed->opts.ops;
  const struct part_held *list[PARTS_FREE_MAX];
  int64_t version = safe_version (wanted, now_us);
  int n = version == 0 ? 0
                       : parts_outdated (w->store, wanted->model, version,
                                         list, PARTS_FREE_MAX);
  int i;

  if (n == 0 || w->freeing || now_us - w->freed_us < FREE_EVERY_US
      || w->store->clock_ms == 0)
    return;
  w->freeing = true;
  w->freed_us = now_us;
  for (i = 0; i < n; i++)
    g_array_append_val (w->freed, *list[i]);
  log_event (
      LOG_LEVEL_INFO, "free",
      "store=%s outcome=asked parts=%d model=%s before=%" G_GINT64_FORMAT
      " epoch=%" G_GINT64_FORMAT,
      w->store->address, n, wanted->model, (gint64)version,
      (gint64)w->store->epoch);
  o->free (o->ctx, w->store->address, w->store->epoch,
           parts_clock_ms (w->store, now_us) + FREE_VOID_MS, list, n, on_freed,
           w);
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
      free_at (w, &g_array_index (fleet->wanted, struct fleet_wanted, i),
               now_us);
  }
}

/* --- life ------------------------------------------------------------ */

struct partfeed *
partfeed_new (const struct partfeed_opts *opts)
{
  struct partfeed *f = g_new0 (struct partfeed, 1);

  f->opts = *opts;
  f->rand = g_rand_new_with_seed ((guint32)opts->seed);
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
partfeed_waiting (const struct partfeed *f)
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
