/* Following what the platform says. */
#include "follow.h"

#include <string.h>

#include "decide.h"
#include "evac.h"
#include "log.h"
#include "met.h"

/*
 * Longest poll.  The wait is also how old knowledge gets in calm: it must stay
 * well under the bound past which keys count for nothing (seconds), and under
 * the one past which nothing is denied.
 */
#define OPERATOR_WAIT_US (2200 * CQ_US_PER_MS)
/* Shortest poll, after an answer that took so long that its news was old when
   it came: one without a wait would say no more, and might be sent at once
   again. */
#define OPERATOR_WAIT_MIN_US (100 * CQ_US_PER_MS)
#define ENDPOINTS_WAIT_US (2000 * CQ_US_PER_MS)
/* For an answer to begin, over the wait: sixty times the platform's usual
   4 ms, twice.  With the wait, a poll that is lost is over after 2.7 s at
   most, and two or three more before knowledge is too old for keys. */
#define ANSWER_US (500 * CQ_US_PER_MS)
/*
 * Some of 145 endpoints changes its entry every quarter of a second, and each
 * change ended a poll of each VM: 375 calls a second from 78 VMs.  What
 * changed a second ago is soon enough: an endpoint that leaves goes on for
 * two seconds and more.
 */
#define ENDPOINTS_GAP_US (1000 * CQ_US_PER_MS)
#define READ_US (900 * CQ_US_PER_MS)
/*
 * Without a further byte of an answer that has begun.  On a link of 10 Mbit/s
 * 4 KB take 3 ms, and ten times that where requests crowd it; a packet that is
 * lost comes again after 200 ms.
 */
#define STALL_US (500 * CQ_US_PER_MS)
/*
 * Taken of an answer.  A route takes some 300 bytes on the wire.  The time on
 * a small link bounds an answer, not memory.
 */
#define ANSWER_MAX_BYTES 4194304
/*
 * Read of an answer in one turn of the loop.  Thousands of routes read at once
 * would hold the loop for most of a second on a small VM, and callers that
 * hang up meanwhile would be seen too late.
 */
#define STEP_PIECES 40
/* The smallest VMs' link, 10 Mbit/s, of which requests may take half. */
#define LINK_MIN_BYTES_S (10 * 1000 * 1000 / 8 / 2)
/* For a whole answer: 6.7 s.  What trickles in for longer is given up. */
#define WHOLE_US (ANSWER_MAX_BYTES * CQ_US_PER_S / LINK_MIN_BYTES_S)
/* Pauses after a failed call, doubled up to the longest, with as much again
   at random: all VMs lose the platform at one moment, and must not return at
   one moment. */
#define PAUSE_FIRST_US (60 * CQ_US_PER_MS)
#define PAUSE_MAX_US (500 * CQ_US_PER_MS)
/* Entries of live endpoints lapse only after an outage longer than this. */
#define OUTAGE_US (1000 * CQ_US_PER_MS)

static const char *const source_names[FOLLOW_SOURCES] = {
  [FOLLOW_OPERATOR] = "operator",
  [FOLLOW_ENDPOINTS] = "endpoints",
};

/* As the log names what became of a call. */
static const char *const lost_names[] = {
  [NEWS_REFUSED] = "refused",     [NEWS_SILENT] = "silent",
  [NEWS_STALLED] = "stalled",     [NEWS_BROKEN] = "broken",
  [NEWS_TOO_LARGE] = "too_large", [NEWS_UNREADABLE] = "unreadable",
};

/* Between the starts of two polls. */
static const int64_t gaps[FOLLOW_SOURCES] = {
  [FOLLOW_OPERATOR] = 0,
  [FOLLOW_ENDPOINTS] = ENDPOINTS_GAP_US,
};

/* One source that is followed. */
struct stream
{
  struct follow *follow;     /* whose */
  enum follow_source source; /* which */
  bool known;                /* read once, and history goes on from there */
  int64_t version;           /* to ask for changes after */
  int64_t era;               /* that version is of */
  int64_t asked_us;          /* when the call under way was sent */
  bool reading;              /* that call reads all */
  int64_t lost_us;           /* calls fail since then; 0 if they do not */
  enum news_code lost_code;  /* how the last one failed, as logged */
  int64_t pause_us;          /* after the next failure */
  struct loop_timer timer;   /* ends a pause */
  bool busy;                 /* a call is under way */
};

#define MARKS 16 /* some ten seconds of answers from both sources */

/* A moment at which the platform had made no change after CHANGE. */
struct mark
{
  int64_t change; /* number of the newest one */
  int64_t at_us;  /* that was so then, at the earliest */
};

struct follow
{
  struct follow_opts opts;               /* as made */
  struct stream streams[FOLLOW_SOURCES]; /* by source */
  GRand *rand;                           /* for pauses */
  struct mark marks[MARKS];              /* the newest, oldest first */
  int nmarks;                            /* entries in marks */
  int64_t era; /* of the platform's store, the newest seen; 0: unsaid */
  int64_t clock_low_us; /* the platform's clock is so far behind, at least */
  bool clock_known;     /* one reading was taken */
  bool stopped;         /* asks nothing more */
};

static void ask (struct stream *s, int64_t now_us);

/* --- taking news ----------------------------------------------------- */

static void
take_conf (struct fleet *f, const struct news *n, struct news_item *it,
           int64_t took_us)
{
  int64_t old = f->conf != NULL ? f->conf->version : 0;
  int64_t new = it->conf->version;
  guint routes = it->conf->routes->len;
  bool taken = fleet_take_conf (f, it->conf, it->row);

  log_event (LOG_LEVEL_INFO, "conf",
             "outcome=%s conf=%" G_GINT64_FORMAT " before=%" G_GINT64_FORMAT
             " row=%" G_GINT64_FORMAT " routes=%u bytes=%" G_GINT64_FORMAT
             " took_us=%" G_GINT64_FORMAT,
             taken ? "in_force" : "older", (gint64) new, (gint64)old,
             (gint64)it->row, routes, (gint64)n->bytes, (gint64)took_us);
}

/*
 * Changes of both sources share one count, so an answer about either says of
 * each later change that it had not been made.
 */
static void
add_mark (struct follow *f, int64_t change, int64_t at_us)
{
  struct mark m = { change, at_us };

  /* An answer that was overtaken says less than the one before it. */
  if (f->nmarks > 0 && change < f->marks[f->nmarks - 1].change)
    return;
  if (f->nmarks == MARKS)
    memmove (f->marks, f->marks + 1, sizeof m * (size_t)--f->nmarks);
  f->marks[f->nmarks++] = m;
}

/* CHANGE was not made before; 0 if that is not known. */
static int64_t
not_before (const struct follow *f, int64_t change)
{
  int64_t at = 0;
  int i;

  for (i = 0; i < f->nmarks && f->marks[i].change < change; i++)
    at = MAX (at, f->marks[i].at_us);
  return at;
}

static void
take_wanted (struct follow *fl, const struct news_item *it, int64_t now_us)
{
  struct fleet *f = fl->opts.fleet;
  int64_t early = not_before (fl, it->row);

  if (fleet_take_wanted (f, it->model, it->version, early, now_us))
    log_event (LOG_LEVEL_INFO, "weights_named",
               "model=%s version=%" G_GINT64_FORMAT " row=%" G_GINT64_FORMAT
               " known_without_us=%" G_GINT64_FORMAT,
               it->model, (gint64)it->version, (gint64)it->row,
               (gint64)(early ? now_us - early : -1));
}

/* A life that is over may still write: its entry, held up on the way, stands
   in the place of the next one's until that writes again. */
static void
log_other_life (const struct fleet_endpoint *e, const struct news_item *it,
                enum fleet_life life)
{
  log_event (LOG_LEVEL_INFO, "endpoint",
             "endpoint=%s outcome=passed_over reason=life_%s source=list "
             "born_ms=%" G_GINT64_FORMAT " known_ms=%" G_GINT64_FORMAT
             " row=%" G_GINT64_FORMAT,
             e->is.id, fleet_life_name (life), (gint64)it->listing.born_ms,
             (gint64)e->is.born_ms, (gint64)it->row);
}

static void
take_endpoint (struct fleet *f, const struct news_item *it, int64_t now_us)
{
  struct fleet_endpoint *old = g_hash_table_lookup (f->by_id, it->listing.id);
  enum fleet_life life = fleet_life_of (old, it->listing.born_ms);
  bool again = old != NULL && life == FLEET_LIFE_YOUNGER;
  bool draining = old != NULL && old->draining;
  bool cold = old != NULL && !again && cold_is (&old->cold, now_us);
  int64_t version = old != NULL ? old->version : 0;
  int64_t before = old != NULL ? old->is.born_ms : 0;
  struct fleet_endpoint *e;

  if (old != NULL && (life == FLEET_LIFE_OLDER || life == FLEET_LIFE_UNSAID))
    {
      log_other_life (old, it, life);
      return;
    }
  e = fleet_take_listing (f, &it->listing, now_us);
  if (old == NULL || again || draining != e->draining || version != e->version)
    log_event (LOG_LEVEL_INFO, "endpoint",
               "endpoint=%s outcome=%s%s service=%s address=%s domain=%s "
               "version=%" G_GINT64_FORMAT " born_ms=%" G_GINT64_FORMAT
               " before_ms=%" G_GINT64_FORMAT
               " source=list row=%" G_GINT64_FORMAT,
               e->is.id, again ? "started_again_" : "",
               e->draining ? "draining" : "ready", e->is.service,
               e->is.address, e->is.domain, (gint64)e->version,
               (gint64)e->is.born_ms, (gint64)before, (gint64)it->row);
  if (!cold && cold_is (&e->cold, now_us))
    log_event (LOG_LEVEL_INFO, "endpoint_cold",
               "endpoint=%s domain=%s left_us=%" G_GINT64_FORMAT
               " row=%" G_GINT64_FORMAT,
               e->is.id, e->is.domain, (gint64)e->is.cold_us, (gint64)it->row);
}

/* An entry that lapsed while the list could not be read is doubted first. */
static void
take_removed (struct fleet *f, struct fleet_endpoint *e, const char *reason,
              int64_t now_us)
{
  bool counts = fleet_missing_counts (f, now_us);

  log_event (LOG_LEVEL_INFO, "endpoint",
             "endpoint=%s outcome=%s reason=%s service=%s running=%d",
             e->is.id, counts ? "removed" : "doubted", reason, e->is.service,
             e->running);
  fleet_take_missing (f, e, now_us);
}

/*
 * Another writer's row, or bytes that cannot be read.  It names no endpoint,
 * so one that was listed in its place is listed no more; if it lives, it
 * writes again within a heartbeat.  All other rows count.
 */
static void
take_spoiled (struct fleet *f, const struct news_item *it, int64_t now_us)
{
  struct fleet_endpoint *e = g_hash_table_lookup (f->by_id, it->listing.id);

  if (e != NULL && e->missing_us == 0)
    take_removed (f, e, "spoiled", now_us);
}

static void
take_item (struct stream *s, const struct news *n, struct news_item *it,
           int64_t now_us)
{
  struct fleet *f = s->follow->opts.fleet;
  struct fleet_endpoint *e;

  switch (it->kind)
    {
    case NEWS_CONF:
      take_conf (f, n, it, now_us - s->asked_us);
      it->conf = NULL;
      break;
    case NEWS_WANTED:
      take_wanted (s->follow, it, now_us);
      break;
    case NEWS_ENDPOINT:
      take_endpoint (f, it, now_us);
      break;
    case NEWS_REMOVED:
      e = g_hash_table_lookup (f->by_id, it->listing.id);
      if (e != NULL)
        take_removed (f, e, "entry_gone", now_us);
      break;
    case NEWS_EVACUATION:
      evac_begin (f, it->domain, it->row);
      break;
    case NEWS_READMISSION:
      evac_end (f, it->domain, now_us);
      break;
    case NEWS_SPOILED:
      take_spoiled (f, it, now_us);
      break;
    }
}

static bool
is_in_news (const struct news *n, const char *id)
{
  const struct news_item *it;
  guint i;

  for (i = 0; i < n->items->len; i++)
    {
      it = &g_array_index (n->items, struct news_item, i);
      if (it->kind == NEWS_ENDPOINT && strcmp (it->listing.id, id) == 0)
        return true;
    }
  return false;
}

static bool
is_evacuated_in_news (const struct news *n, const char *domain)
{
  const struct news_item *it;
  guint i;

  for (i = 0; i < n->items->len; i++)
    {
      it = &g_array_index (n->items, struct news_item, i);
      if (it->kind == NEWS_EVACUATION && strcmp (it->domain, domain) == 0)
        return true;
    }
  return false;
}

/* Of the evacuations that a whole reading does not hold the end was missed. */
static void
take_readmitted (struct fleet *f, const struct news *n, int64_t now_us)
{
  const struct fleet_evacuation *v;
  int i;

  for (i = (int)f->evacuated->len - 1; i >= 0; i--)
    {
      v = &g_array_index (f->evacuated, struct fleet_evacuation, i);
      if (!is_evacuated_in_news (n, v->domain))
        evac_missing (f, v->domain, now_us);
    }
}

/* What a whole list does not hold was removed unseen. */
static void
take_absent (struct fleet *f, const struct news *n, int64_t now_us)
{
  struct fleet_endpoint *e, *next;

  for (e = APR_RING_FIRST (&f->endpoints);
       e != APR_RING_SENTINEL (&f->endpoints, fleet_endpoint, link); e = next)
    {
      next = APR_RING_NEXT (e, link);
      if (!is_in_news (n, e->is.id) && e->missing_us == 0)
        take_removed (f, e, "not_listed", now_us);
    }
}

/*
 * When what an answer says was current, at the earliest.  The platform's clock
 * in it says when it was given; a call that was sent at A and answered with
 * time M shows that M was not before A, so any other time can be placed.  Our
 * own send time would do too, but after a poll that waited for two seconds it
 * is two seconds old, and whoever may not use old knowledge has none.  Nothing
 * is of a time after the answer came, however long it took to read.
 */
static int64_t
current_at (struct follow *f, const struct stream *s, const struct news *n)
{
  int64_t given_us = n->store_ms * CQ_US_PER_MS;
  /* The clock's milliseconds are cut off. */
  int64_t low = s->asked_us - given_us - CQ_US_PER_MS;

  if (n->store_ms <= 0)
    return s->asked_us;
  /* A clock that jumped makes readings before it worthless. */
  if (!f->clock_known || low > f->clock_low_us
      || given_us + f->clock_low_us > n->came_us)
    f->clock_low_us = low;
  f->clock_known = true;
  return given_us + f->clock_low_us;
}

/* One line for all rows of an answer that were left out: rows that stay
   spoiled come again with each whole list, however many they are. */
static void
log_spoiled (const struct stream *s, const struct news *n)
{
  const struct news_item *it, *first = NULL;
  int count = 0;
  guint i;

  for (i = 0; i < n->items->len; i++)
    {
      it = &g_array_index (n->items, struct news_item, i);
      if (it->kind != NEWS_SPOILED)
        continue;
      count++;
      first = first != NULL ? first : it;
    }
  if (first == NULL)
    return;
  met_add (MET_ROWS_INVALID, count);
  log_event (
      LOG_LEVEL_WARNING, "rows_left_out",
      "source=%s rows=%d of=%u first=%s reason=%s row=%" G_GINT64_FORMAT,
      source_names[s->source], count, n->items->len,
      first->listing.id[0] != '\0' ? first->listing.id : "-", first->flaw,
      (gint64)first->row);
}

static void
take_news (struct stream *s, const struct news *n, int64_t now_us)
{
  int64_t at = current_at (s->follow, s, n);
  struct fleet *f = s->follow->opts.fleet;
  guint i;

  log_spoiled (s, n);
  for (i = 0; i < n->items->len; i++)
    take_item (s, n, &g_array_index (n->items, struct news_item, i), now_us);
  if (s->reading && s->source == FOLLOW_ENDPOINTS)
    {
      take_absent (f, n, now_us);
      f->listed = true;
    }
  if (s->reading && s->source == FOLLOW_OPERATOR)
    take_readmitted (f, n, now_us);
  if (s->source == FOLLOW_OPERATOR)
    {
      f->fresh_us = at;
      fleet_wanted_current (f, at);
    }
  add_mark (s->follow, n->version, at);
  if (n->version > s->version || s->era != s->follow->era)
    s->version = n->version;
  s->era = s->follow->era;
  s->known = true;
}

/* --- eras ------------------------------------------------------------ */

/*
 * The store came back from an older copy: versions went back, and are given
 * out again.  Going on after a version of the time before, this VM would miss
 * each change that bears a lower one: a key that was taken away would work for
 * good.  So all is read again, and nothing is concluded from versions of
 * before.  Entries that the copy lacks are doubted for a while, not gone:
 * endpoints write them again.  Settings older than those in force stay out by
 * the operators' own number.
 */
static void
begin_era (struct follow *f, int64_t era, int64_t now_us)
{
  int i;

  if (f->era != 0)
    {
      log_event (LOG_LEVEL_WARNING, "store_era",
                 "outcome=older_copy era=%" G_GINT64_FORMAT
                 " before=%" G_GINT64_FORMAT,
                 (gint64)era, (gint64)f->era);
      met_add (MET_STORE_RESTORES, 1);
      f->nmarks = 0;
      f->opts.fleet->conf_row = 0;
      fleet_list_back (f->opts.fleet, now_us);
      for (i = 0; i < FOLLOW_SOURCES; i++)
        f->streams[i].known = false;
    }
  f->era = era;
}

/*
 * Whether what an answer says counts.  One of the time before, on a connection
 * that was slow, would bring back what is gone; one to a poll after a version
 * of the time before leaves out what lies between.  A store that says no era
 * has but one.
 */
static bool
is_of_this_era (struct stream *s, const struct news *n, int64_t now_us)
{
  struct follow *f = s->follow;

  if (n->era > f->era)
    begin_era (f, n->era, now_us);
  if ((n->era == f->era || n->era == 0) && (s->reading || s->era == f->era))
    return true;
  log_event (LOG_LEVEL_INFO, "store_era",
             "source=%s outcome=passed_over era=%" G_GINT64_FORMAT
             " known=%" G_GINT64_FORMAT,
             source_names[s->source], (gint64)n->era, (gint64)f->era);
  return false;
}

/* --- calls ----------------------------------------------------------- */

static void
note_back (struct stream *s, int64_t now_us)
{
  if (s->lost_us == 0)
    return;
  log_event (LOG_LEVEL_INFO, "platform",
             "source=%s outcome=regained lost_us=%" G_GINT64_FORMAT,
             source_names[s->source], (gint64)(now_us - s->lost_us));
  if (s->source == FOLLOW_ENDPOINTS && now_us - s->lost_us > OUTAGE_US)
    fleet_list_back (s->follow->opts.fleet, now_us);
  s->lost_us = 0;
  s->pause_us = PAUSE_FIRST_US;
}

/*
 * Whether the next call may be a poll again.  A poll tells all changes after
 * a version, or that it cannot, so one that stayed without its answer takes
 * nothing away; reading the settings again would cost each VM 1.6 MB and more
 * than a second of a small link after each moment of silence.  An answer that
 * was too large may be smaller as a whole read, which holds each row once.
 * Entries of endpoints lapse in an outage: only their whole list tells.
 */
static bool
may_go_on (const struct stream *s, enum news_code code)
{
  return s->source == FOLLOW_OPERATOR
         && (code == NEWS_SILENT || code == NEWS_STALLED
             || code == NEWS_REFUSED);
}

static void
note_lost (struct stream *s, const struct news *n, int64_t now_us)
{
  /* What keeps an outage going may not be what began it. */
  if (s->lost_us == 0 || s->lost_code != n->code)
    {
      log_event (LOG_LEVEL_WARNING, "platform",
                 "source=%s outcome=lost reason=%s bytes=%" G_GINT64_FORMAT
                 " took_us=%" G_GINT64_FORMAT,
                 source_names[s->source], lost_names[n->code],
                 (gint64)n->bytes, (gint64)(now_us - s->asked_us));
      s->lost_code = n->code;
    }
  /* It may have been gone since the call was sent. */
  if (s->lost_us == 0)
    s->lost_us = s->asked_us;
  s->known = s->known && may_go_on (s, n->code);
  loop_arm (s->follow->opts.loop, &s->timer,
            now_us + s->pause_us
                + (int64_t)g_rand_int_range (s->follow->rand, 0,
                                             (gint32)s->pause_us));
  if (s->pause_us < PAUSE_MAX_US)
    s->pause_us *= 2;
}

static void
on_news (void *arg, const struct news *n)
{
  struct stream *s = arg;
  struct follow *f = s->follow;
  int64_t now = loop_now_us ();

  s->busy = false;
  if (f->stopped)
    return;
  if (n->code == NEWS_HISTORY_LOST)
    {
      if (n->era > f->era)
        begin_era (f, n->era, now);
      s->known = false;
      ask (s, now);
      return;
    }
  if (n->code != NEWS_OK)
    {
      note_lost (s, n, now);
      return;
    }
  if (!is_of_this_era (s, n, now))
    {
      s->known = false;
      loop_arm (f->opts.loop, &s->timer, now + PAUSE_FIRST_US);
      return;
    }
  note_back (s, now);
  take_news (s, n, now);
  if (f->opts.changed != NULL)
    f->opts.changed (f->opts.arg, now);
  if (s->reading || now - s->asked_us >= gaps[s->source])
    ask (s, now);
  else
    loop_arm (f->opts.loop, &s->timer, s->asked_us + gaps[s->source]);
}

int64_t
follow_era (const struct follow *f)
{
  return f->era;
}

int64_t
follow_clock_ms (const struct follow *f, int64_t now_us)
{
  return f->clock_known ? (now_us - f->clock_low_us) / CQ_US_PER_MS : 0;
}

int64_t
follow_wait_us (int64_t current_us, int64_t age_us)
{
  return CLAMP (current_us - ANSWER_US - age_us, OPERATOR_WAIT_MIN_US,
                OPERATOR_WAIT_US);
}

static int64_t
wait_of (const struct stream *s, int64_t now_us)
{
  const struct follow_opts *o = &s->follow->opts;

  if (s->source == FOLLOW_ENDPOINTS)
    return ENDPOINTS_WAIT_US;
  return follow_wait_us (o->current_us, fleet_age_us (o->fleet, now_us));
}

static void
ask (struct stream *s, int64_t now_us)
{
  const struct follow_ops *o = &s->follow->opts.ops;
  struct follow_limits l = { .stall_us = STALL_US };
  int64_t wait = wait_of (s, now_us);

  if (s->busy || s->follow->stopped)
    return;
  s->busy = true;
  s->asked_us = now_us;
  s->reading = !s->known;
  l.first_us = s->reading ? READ_US : wait + ANSWER_US;
  l.whole_us = l.first_us + WHOLE_US;
  l.bytes_max = ANSWER_MAX_BYTES;
  l.step_pieces = STEP_PIECES;
  if (s->reading)
    o->read (o->ctx, s->source, &l, on_news, s);
  else
    o->changes (o->ctx, s->source, s->version, wait, &l, on_news, s);
}

static void
on_timer (void *arg, int64_t now_us)
{
  ask (arg, now_us);
}

/* --- life ------------------------------------------------------------ */

struct follow *
follow_new (const struct follow_opts *opts)
{
  struct follow *f = g_new0 (struct follow, 1);
  int i;

  f->opts = *opts;
  f->rand = g_rand_new_with_seed ((guint32)opts->seed);
  for (i = 0; i < FOLLOW_SOURCES; i++)
    {
      f->streams[i].follow = f;
      f->streams[i].source = (enum follow_source)i;
      f->streams[i].pause_us = PAUSE_FIRST_US;
      f->streams[i].timer.fire = on_timer;
      f->streams[i].timer.arg = &f->streams[i];
    }
  return f;
}

void
follow_start (struct follow *f)
{
  int i;

  for (i = 0; i < FOLLOW_SOURCES; i++)
    ask (&f->streams[i], loop_now_us ());
}

void
follow_stop (struct follow *f)
{
  int i;

  f->stopped = true;
  for (i = 0; i < FOLLOW_SOURCES; i++)
    loop_disarm (&f->streams[i].timer);
}

int
follow_waiting (const struct follow *f)
{
  int n = 0;
  int i;

  for (i = 0; i < FOLLOW_SOURCES; i++)
    n += f->streams[i].busy;
  return n;
}

void
follow_free (struct follow *f)
{
  g_rand_free (f->rand);
  g_free (f);
}
