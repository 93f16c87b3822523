/* Follows the state that the platform stores, by long polls. */
#include "follow.h"

#include <string.h>

#include "decide.h"
#include "evac.h"
#include "log.h"
#include "met.h"

/*
 * Longest wait of a poll.  While nothing changes, the settings also get this
 * old.  So it must stay well under the age past which API keys are no longer
 * accepted (seconds), and under the age past which the VM no longer denies
 * requests on the basis of its settings.
 */
#define OPERATOR_WAIT_US (2200 * CQ_US_PER_MS)
/* Shortest wait of a poll, used after a reply that took so long that its
   content was old when it arrived.  A poll without a wait would report nothing
   more, and might be repeated immediately. */
#define OPERATOR_WAIT_MIN_US (100 * CQ_US_PER_MS)
#define ENDPOINTS_WAIT_MAX_US (2000 * CQ_US_PER_MS)
#define ENDPOINTS_WAIT_MIN_US (100 * CQ_US_PER_MS)
/* Time for the steps of a poll for endpoints that nothing else covers. */
#define ENDPOINTS_MARGIN_US (100 * CQ_US_PER_MS)
/* Minimum interval between the starts of two full reads of a source whose
   history is lost again and again: of the endpoints, and at most, of the
   operators' rows, as a divisor of the age that they may have. */
#define FULL_READ_INTERVAL_US (1000 * CQ_US_PER_MS)
#define FULL_READ_AGE_DIVISOR 4
/* Time that is left for polls of its own, before the settings are too old, to
   a VM whose settings other VMs confirm. */
#define CLIENT_SPARE_US (1500 * CQ_US_PER_MS)
/* What a client's own pause between two calls adds to the age of a reply. */
#define CLIENT_PAUSE_US (1100 * CQ_US_PER_MS)
/* Bounds of the longest wait, and of the shortest interval between polls, of a
   VM that other VMs read from. */
#define READER_WAIT_MIN_US (500 * CQ_US_PER_MS)
#define READER_WAIT_MAX_US (2200 * CQ_US_PER_MS)
/* Time for a reply to begin, in addition to the wait: twice sixty times the
   platform's usual 4 ms.  With the wait, a lost poll ends after at most 2.7 s,
   and two or three more fit in before the settings are too old to accept
   keys. */
#define REPLY_BEGIN_US (500 * CQ_US_PER_MS)
/*
 * Minimum interval between the starts of two polls for endpoints.  With 145
 * endpoints some entry changes every quarter of a second, and each change
 * ended a poll of each VM: 375 calls a second from 78 VMs.  It is enough to
 * learn of a change within a second, since an endpoint that is leaving
 * continues to work for at least two seconds.
 */
#define ENDPOINTS_INTERVAL_US (1000 * CQ_US_PER_MS)
#define READ_BEGIN_US (900 * CQ_US_PER_MS)
/*
 * Longest pause between two bytes of a reply that has begun.  On a link of 10
 * Mbit/s 4 KB take 3 ms, and ten times that when the link is crowded with
 * requests; a lost packet is retransmitted after 200 ms.
 */
#define STALL_US (500 * CQ_US_PER_MS)
/*
 * Size limit of a reply.  A route takes some 300 bytes on the wire.  The limit
 * is due to the transfer time on a small link, not to memory.
 */
#define REPLY_MAX_BYTES 4194304
/*
 * Pieces of a reply parsed in one iteration of the event loop.  Parsing
 * thousands of routes at once would block the loop for most of a second on a
 * small VM, and callers that hang up meanwhile would be noticed too late.
 */
#define PIECES_PER_TURN 40
/* Link of the smallest VMs, 10 Mbit/s, of which requests may take half. */
#define LINK_MIN_BYTES_S (10 * 1000 * 1000 / 8 / 2)
/* Time for a whole reply: 6.7 s.  A reply that takes longer is abandoned. */
#define REPLY_TOTAL_US (REPLY_MAX_BYTES * CQ_US_PER_S / LINK_MIN_BYTES_S)
/* Backoff after a failed call, doubled up to the maximum, with a random
   addition of up to the same length: all VMs lose the platform at the same
   moment, and must not all return at the same moment. */
#define PAUSE_FIRST_US (60 * CQ_US_PER_MS)
#define PAUSE_MAX_US (500 * CQ_US_PER_MS)
/* While calls for endpoints fail, the next one is sent this long after the
   last, or when that has ended: missing entries are doubted until it succeeds.
 */
#define RETRY_INTERVAL_US (500 * CQ_US_PER_MS)
/* Pause after a call that found only replies that are too old, with a random
   addition of up to the same length: other VMs may be about to have newer
   ones, and asking them costs the platform nothing. */
#define STALE_PAUSE_US (200 * CQ_US_PER_MS)
/* Entries of live endpoints lapse only after an outage longer than this. */
#define OUTAGE_US (1000 * CQ_US_PER_MS)

static const char *const source_names[FOLLOW_SOURCES] = {
  [FOLLOW_OPERATOR] = "operator",
  [FOLLOW_ENDPOINTS] = "endpoints",
};

/* Names of failures in the log. */
static const char *const failure_names[] = {
  [FOLLOW_REFUSED] = "refused",     [FOLLOW_NO_REPLY] = "silent",
  [FOLLOW_STALLED] = "stalled",     [FOLLOW_INCOMPLETE] = "broken",
  [FOLLOW_TOO_LARGE] = "too_large", [FOLLOW_MALFORMED] = "unreadable",
  [FOLLOW_TRUNCATED] = "truncated", [FOLLOW_STALE] = "stale",
};

/* One source that is followed. */
struct stream
{
  struct follow *follow;     /* owner */
  enum follow_source source; /* what is followed */
  bool synced;        /* read as a whole; polls for changes may follow */
  int64_t version;    /* version to poll for changes after */
  int64_t era;        /* era of that version */
  int64_t current_us; /* what is known was current then; 0 for never read */
  int64_t newest_row; /* newest change that a reply held, or may have missed */
  int depth;          /* VMs between the platform and this one */
  int64_t sent_us;    /* when the call in progress was sent */
  int64_t reread_us;  /* when the last full read after a lost history was
                         sent; 0 for never */
  bool full_read;     /* that call reads the whole state */
  int64_t failing_us; /* calls have failed since then; 0 if they succeed */
  int64_t limit_us;   /* time until the first byte of its reply */
  int64_t failed_us;  /* when the last call that failed was sent */
  enum follow_status failure; /* status of the last failure that was logged */
  int64_t pause_us;           /* backoff after the next failure */
  struct loop_timer timer;    /* starts the next call */
  bool busy;                  /* a call is in progress */
  bool expects_change; /* the next poll need not wait: there is a change */
  bool restored; /* the store came back from an older copy, and was not read as
                    a whole since */
};

/* Some ten seconds of replies from both sources. */
#define VERSION_TIMES_MAX 16

/* A time at which CHANGE was still the platform's newest change. */
struct version_time
{
  int64_t change; /* number of that change */
  int64_t at_us;  /* lower bound of that time */
};

struct follow
{
  struct follow_opts opts;               /* as made */
  struct stream streams[FOLLOW_SOURCES]; /* by source */
  GRand *rand;                           /* for pauses */
  /* The newest ones, oldest first. */
  struct version_time times[VERSION_TIMES_MAX];
  int ntimes;  /* entries in times */
  int64_t era; /* newest era seen of the platform's store; 0: not given */
  int64_t clock_offset_us; /* local minus platform clock, lower bound */
  bool clock_known;        /* clock_offset_us is set */
  bool stopped;            /* no more calls are started */
};

static void start_call (struct stream *s, int64_t now_us);

/* --- applying replies ------------------------------------------------ */

static void
apply_conf (struct fleet *f, const struct follow_reply *n,
            struct follow_item *it, int64_t took_us, int64_t now_us)
{
  int64_t old = f->conf != NULL ? f->conf->version : 0;
  int64_t new = it->conf->version;
  guint routes = it->conf->routes->len;
  bool taken;

  fleet_date_routes (it->conf, f->conf, now_us);
  taken = fleet_apply_conf (f, it->conf, it->row);
  log_event (LOG_LEVEL_INFO, "conf",
             "outcome=%s conf=%" G_GINT64_FORMAT " before=%" G_GINT64_FORMAT
             " row=%" G_GINT64_FORMAT " routes=%u bytes=%" G_GINT64_FORMAT
             " took_us=%" G_GINT64_FORMAT,
             taken ? "in_force" : "older", (gint64) new, (gint64)old,
             (gint64)it->row, routes, (gint64)n->bytes, (gint64)took_us);
}

/*
 * Both sources share one change counter, so a reply about either source proves
 * that all changes with higher numbers had not yet been made.
 */
static void
add_version_time (struct follow *f, int64_t change, int64_t at_us)
{
  struct version_time m = { change, at_us };

  /* A reply that was overtaken by a newer one proves less than that one. */
  if (f->ntimes > 0 && change < f->times[f->ntimes - 1].change)
    return;
  if (f->ntimes == VERSION_TIMES_MAX)
    memmove (f->times, f->times + 1, sizeof m * (size_t)--f->ntimes);
  f->times[f->ntimes++] = m;
}

/* Time before which CHANGE had not been made; 0 if that is not known. */
static int64_t
not_before (const struct follow *f, int64_t change)
{
  int64_t at = 0;
  int i;

  for (i = 0; i < f->ntimes && f->times[i].change < change; i++)
    at = MAX (at, f->times[i].at_us);
  return at;
}

static void
apply_weights (struct follow *fl, const struct follow_item *it, int64_t now_us)
{
  struct fleet *f = fl->opts.fleet;
  int64_t early = not_before (fl, it->row);

  if (fleet_apply_wanted (f, it->model, it->version, early, now_us))
    log_event (LOG_LEVEL_INFO, "weights_named",
               "model=%s version=%" G_GINT64_FORMAT " row=%" G_GINT64_FORMAT
               " known_without_us=%" G_GINT64_FORMAT,
               it->model, (gint64)it->version, (gint64)it->row,
               (gint64)(early ? now_us - early : -1));
}

/* A delayed write of an earlier incarnation may overwrite the entry of the
   current one, until the current one writes again. */
static void
log_stale_listing (const struct fleet_endpoint *e,
                   const struct follow_item *it,
                   enum fleet_incarnation incarnation)
{
  log_event (LOG_LEVEL_INFO, "endpoint",
             "endpoint=%s outcome=passed_over reason=life_%s source=list "
             "born_ms=%" G_GINT64_FORMAT " known_ms=%" G_GINT64_FORMAT
             " draining=%s row=%" G_GINT64_FORMAT,
             e->listing.id, fleet_incarnation_name (incarnation),
             (gint64)it->listing.started_ms, (gint64)e->listing.started_ms,
             e->draining ? "yes" : "no", (gint64)it->row);
}

/*
 * An entry that was not listed when the store came back from an older copy is
 * that of an endpoint that had left, or of one that has started since.  It is
 * not used until it is written again, a heartbeat later.
 */
static void
doubt_restored (struct fleet_endpoint *e, const struct follow_item *it)
{
  if (e->draining)
    return;
  e->restored_row = it->row;
  e->draining = e->draining_unordered = true;
  log_event (LOG_LEVEL_INFO, "endpoint",
             "endpoint=%s outcome=doubted reason=restored service=%s "
             "row=%" G_GINT64_FORMAT,
             e->listing.id, e->listing.service, (gint64)it->row);
}

static void
apply_endpoint (struct fleet *f, const struct follow_item *it, int64_t now_us)
{
  struct fleet_endpoint *old = g_hash_table_lookup (f->by_id, it->listing.id);
  enum fleet_incarnation incarnation
      = fleet_incarnation_compare (old, it->listing.started_ms);
  bool restarted = old != NULL && incarnation == FLEET_INCARNATION_NEWER;
  bool draining = old != NULL && old->draining;
  bool cold = old != NULL && !restarted && cold_is (&old->cold, now_us);
  int64_t version = old != NULL ? old->version : 0;
  int64_t before = old != NULL ? old->listing.started_ms : 0;
  bool same_build
      = old != NULL && strcmp (old->listing.build, it->listing.build) == 0;
  struct fleet_endpoint *e;

  if (old != NULL && it->row != 0 && old->restored_row == it->row)
    return;
  if (old != NULL)
    old->restored_row = 0;
  if (old != NULL
      && (incarnation == FLEET_INCARNATION_OLDER
          || incarnation == FLEET_INCARNATION_UNKNOWN))
    {
      fleet_apply_listing (f, &it->listing, now_us);
      log_stale_listing (old, it, incarnation);
      return;
    }
  e = fleet_apply_listing (f, &it->listing, now_us);
  if (old == NULL || restarted || draining != e->draining
      || version != e->version || !same_build)
    log_event (LOG_LEVEL_INFO, "endpoint",
               "endpoint=%s outcome=%s%s service=%s address=%s domain=%s "
               "build=%s version=%" G_GINT64_FORMAT
               " born_ms=%" G_GINT64_FORMAT " before_ms=%" G_GINT64_FORMAT
               " source=list row=%" G_GINT64_FORMAT,
               e->listing.id, restarted ? "started_again_" : "",
               e->draining ? "draining" : "ready", e->listing.service,
               e->listing.address, e->listing.domain, e->listing.build,
               (gint64)e->version, (gint64)e->listing.started_ms,
               (gint64)before, (gint64)it->row);
  if (!cold && cold_is (&e->cold, now_us))
    log_event (LOG_LEVEL_INFO, "endpoint_cold",
               "endpoint=%s domain=%s left_us=%" G_GINT64_FORMAT
               " row=%" G_GINT64_FORMAT,
               e->listing.id, e->listing.domain, (gint64)e->listing.cold_us,
               (gint64)it->row);
}

/* An entry that expired while the list could not be read is at first only
   doubted, not removed. */
static void
apply_removed (struct fleet *f, struct fleet_endpoint *e, const char *reason,
               int64_t now_us)
{
  bool counts = fleet_is_list_settled (f, now_us);

  log_event (LOG_LEVEL_INFO, "endpoint",
             "endpoint=%s outcome=%s reason=%s service=%s running=%d",
             e->listing.id, counts ? "removed" : "doubted", reason,
             e->listing.service, e->running);
  fleet_apply_missing (f, e, now_us);
}

/*
 * An invalid row: written by another writer, or unparsable.  It describes no
 * endpoint, so the endpoint that was listed under its key is treated as
 * removed; if it is alive, it writes its entry again within a heartbeat.  All
 * other rows of the reply are applied.
 */
static void
apply_invalid (struct fleet *f, const struct follow_item *it, int64_t now_us)
{
  struct fleet_endpoint *e = g_hash_table_lookup (f->by_id, it->listing.id);

  if (e != NULL && e->missing_since_us == 0)
    apply_removed (f, e, "spoiled", now_us);
}

static void
apply_item (struct stream *s, const struct follow_reply *n,
            struct follow_item *it, int64_t now_us)
{
  struct fleet *f = s->follow->opts.fleet;
  struct fleet_endpoint *e;
  bool was_known;

  switch (it->kind)
    {
    case FOLLOW_ITEM_CONF:
      apply_conf (f, n, it, now_us - s->sent_us, now_us);
      it->conf = NULL;
      break;
    case FOLLOW_ITEM_WEIGHTS:
      apply_weights (s->follow, it, now_us);
      break;
    case FOLLOW_ITEM_ENDPOINT:
      was_known = g_hash_table_contains (f->by_id, it->listing.id);
      apply_endpoint (f, it, now_us);
      if (s->restored && f->listed && !was_known)
        doubt_restored (g_hash_table_lookup (f->by_id, it->listing.id), it);
      break;
    case FOLLOW_ITEM_ENDPOINT_REMOVED:
      e = g_hash_table_lookup (f->by_id, it->listing.id);
      if (e != NULL)
        apply_removed (f, e, "entry_gone", now_us);
      break;
    case FOLLOW_ITEM_EVACUATION:
      evac_begin (f, it->domain, it->row);
      break;
    case FOLLOW_ITEM_EVACUATION_END:
      evac_end (f, it->domain, now_us);
      break;
    case FOLLOW_ITEM_INVALID:
      apply_invalid (f, it, now_us);
      break;
    }
}

static bool
is_evacuated_in_reply (const struct follow_reply *n, const char *domain)
{
  const struct follow_item *it;
  guint i;

  for (i = 0; i < n->items->len; i++)
    {
      it = &g_array_index (n->items, struct follow_item, i);
      if (it->kind == FOLLOW_ITEM_EVACUATION
          && strcmp (it->domain, domain) == 0)
        return true;
    }
  return false;
}

/* End the evacuations that a full read did not return: their end was
   missed. */
static void
end_unlisted_evacuations (struct fleet *f, const struct follow_reply *n,
                          int64_t now_us)
{
  const struct fleet_evacuation *v;
  int i;

  for (i = (int)f->evacuated->len - 1; i >= 0; i--)
    {
      v = &g_array_index (f->evacuated, struct fleet_evacuation, i);
      if (!is_evacuated_in_reply (n, v->domain))
        evac_not_listed (f, v->domain, now_us);
    }
}

/* Remove the endpoints that a full read did not return: their removal was
   missed. */
static void
remove_unlisted_endpoints (struct fleet *f, const struct follow_reply *n,
                           int64_t now_us)
{
  g_autoptr (GHashTable) listed = g_hash_table_new (g_str_hash, g_str_equal);
  struct fleet_endpoint *e, *next;
  struct follow_item *it;
  guint i;

  for (i = 0; i < n->items->len; i++)
    {
      it = &g_array_index (n->items, struct follow_item, i);
      if (it->kind == FOLLOW_ITEM_ENDPOINT)
        g_hash_table_add (listed, it->listing.id);
    }
  for (e = APR_RING_FIRST (&f->endpoints);
       e != APR_RING_SENTINEL (&f->endpoints, fleet_endpoint, link); e = next)
    {
      next = APR_RING_NEXT (e, link);
      if (!g_hash_table_contains (listed, e->listing.id)
          && e->missing_since_us == 0)
        apply_removed (f, e, "not_listed", now_us);
    }
}

/*
 * Earliest time at which the content of a reply was current.  The reply
 * carries the platform's clock.  A call that was sent at local time A and
 * answered with platform time M proves that M is not before A; from that bound
 * on the clock offset any other platform time is converted to local time.  The
 * local send time would also be a valid bound, but after a poll that waited
 * for two seconds it is two seconds old, and code that must not use old
 * settings would have none.  The result is never after the arrival of the
 * reply, however long the reply took to parse.
 */
static int64_t
reply_current_at (struct follow *f, const struct stream *s,
                  const struct follow_reply *n)
{
  int64_t given_us = n->store_ms * CQ_US_PER_MS;
  /* The platform's clock is truncated to milliseconds. */
  int64_t low = s->sent_us - given_us - CQ_US_PER_MS;

  if (n->store_ms <= 0)
    return s->sent_us;
  /* Earlier readings are invalid after the platform's clock has jumped. */
  if (!f->clock_known || low > f->clock_offset_us
      || given_us + f->clock_offset_us > n->received_us)
    f->clock_offset_us = low;
  f->clock_known = true;
  return given_us + f->clock_offset_us;
}

/* Log one line for all invalid rows of a reply: rows that stay invalid are
   returned by each full read, however many they are. */
static void
log_invalid (const struct stream *s, const struct follow_reply *n)
{
  const struct follow_item *it, *first = NULL;
  int count = 0;
  guint i;

  for (i = 0; i < n->items->len; i++)
    {
      it = &g_array_index (n->items, struct follow_item, i);
      if (it->kind != FOLLOW_ITEM_INVALID)
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
      first->listing.id[0] != '\0' ? first->listing.id : "-", first->error,
      (gint64)first->row);
}

/* Whether a reply holds all rows. */
static bool
is_full (const struct stream *s, const struct follow_reply *n)
{
  return s->full_read && !n->changes_only;
}

/* Record the newest change.  A full read does not return rows that were
   removed, the newest of which may have any number up to its version. */
static void
note_newest_row (struct stream *s, const struct follow_reply *n)
{
  guint i;

  if (is_full (s, n))
    s->newest_row = n->version;
  for (i = 0; i < n->items->len; i++)
    s->newest_row = MAX (s->newest_row,
                         g_array_index (n->items, struct follow_item, i).row);
}

static void
apply_reply (struct stream *s, const struct follow_reply *n, int64_t now_us)
{
  int64_t at = n->relayed ? n->current_us : reply_current_at (s->follow, s, n);
  struct fleet *f = s->follow->opts.fleet;
  guint i;

  log_invalid (s, n);
  for (i = 0; i < n->items->len; i++)
    apply_item (s, n, &g_array_index (n->items, struct follow_item, i),
                now_us);
  if (is_full (s, n) && s->source == FOLLOW_ENDPOINTS)
    {
      remove_unlisted_endpoints (f, n, now_us);
      f->listed = true;
    }
  if (is_full (s, n) && s->source == FOLLOW_OPERATOR)
    end_unlisted_evacuations (f, n, now_us);
  if (s->source == FOLLOW_OPERATOR)
    {
      f->conf_current_us = n->relayed ? MAX (f->conf_current_us, at) : at;
      fleet_confirm_wanted (f, at);
    }
  add_version_time (s->follow, n->version, at);
  if (n->version > s->version || s->era != s->follow->era)
    s->version = n->version;
  s->era = s->follow->era;
  s->restored = false;
  s->synced = true;
  s->current_us = MAX (s->current_us, at);
  if (s->source == FOLLOW_ENDPOINTS)
    f->list_current_us = s->current_us;
  s->depth = n->depth;
  note_newest_row (s, n);
}

/* --- what other VMs report ------------------------------------------- */

static bool
is_client (const struct follow *f, int64_t now_us)
{
  return f->opts.is_client != NULL
         && f->opts.is_client (f->opts.mirror_arg, now_us);
}

static bool
is_reader (const struct follow *f, int64_t now_us)
{
  return f->opts.is_reader != NULL
         && f->opts.is_reader (f->opts.mirror_arg, now_us);
}

/* Time of the next poll for the operators' changes at a VM whose settings
   other VMs confirm: only if they stop. */
static int64_t
client_poll_us (const struct follow *f, int64_t now_us)
{
  return MAX (now_us, f->opts.fleet->conf_current_us + f->opts.max_age_us
                          - CLIENT_SPARE_US);
}

/*
 * Another VM knows all changes of the operators up to a version, and since
 * when there was no later one.  If the newest of them is known here, too, this
 * VM's settings were the newest at that time.  Otherwise the changes are read
 * from the platform at once.
 */
static void
confirm_operator (struct follow *f, const struct follow_reply *n,
                  int64_t now_us)
{
  struct stream *s = &f->streams[FOLLOW_OPERATOR];
  struct fleet *fl = f->opts.fleet;

  if (!n->relayed || !n->operator_known || !s->synced || s->era != f->era
      || n->era != f->era)
    return;
  if (n->operator_row > s->version)
    {
      s->expects_change = true;
      start_call (s, now_us);
      return;
    }
  s->version = MAX (s->version, n->operator_version);
  if (n->operator_current_us <= fl->conf_current_us)
    return;
  fl->conf_current_us = n->operator_current_us;
  s->current_us = n->operator_current_us;
  fleet_confirm_wanted (fl, n->operator_current_us);
  if (!s->busy && s->failing_us == 0)
    loop_arm (f->opts.loop, &s->timer, client_poll_us (f, now_us));
}

void
follow_get_state (const struct follow *f, struct follow_state *state)
{
  const struct stream *list = &f->streams[FOLLOW_ENDPOINTS];
  const struct stream *settings = &f->streams[FOLLOW_OPERATOR];

  memset (state, 0, sizeof *state);
  state->era = f->era;
  if (list->era == f->era)
    state->list_current_us = list->current_us;
  state->list_depth = list->depth;
  if (!settings->synced || settings->era != f->era)
    return;
  state->operator_row = settings->newest_row;
  state->operator_version = settings->version;
  state->operator_current_us = f->opts.fleet->conf_current_us;
}

/* --- eras ------------------------------------------------------------ */

/*
 * The store was restored from an older copy, so versions went back and are
 * assigned again.  If polls continued after a version of the previous era,
 * this VM would miss each change with a lower version, and a revoked key would
 * stay valid indefinitely.  So everything is read again, and versions of the
 * previous era are no longer used.  Entries that the copy lacks are doubted
 * for a while, not removed, since endpoints write them again.  Settings older
 * than those in force are rejected by the operators' own version number.
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
      f->ntimes = 0;
      f->opts.fleet->conf_row = 0;
      fleet_list_recovered (f->opts.fleet, 0, now_us);
      for (i = 0; i < FOLLOW_SOURCES; i++)
        {
          f->streams[i].synced = false;
          f->streams[i].current_us = 0;
          f->streams[i].newest_row = 0;
          f->streams[i].reread_us = 0;
          f->streams[i].restored = true;
        }
    }
  f->era = era;
}

/*
 * Whether a reply may be applied.  A delayed reply of the previous era would
 * bring back state that is no longer stored; a reply to a poll after a version
 * of the previous era omits the changes in between.  A store that gives no era
 * has only one.
 */
static bool
is_of_this_era (struct stream *s, const struct follow_reply *n, int64_t now_us)
{
  struct follow *f = s->follow;

  if (n->era > f->era)
    begin_era (f, n->era, now_us);
  if ((n->era == f->era || n->era == 0) && (s->full_read || s->era == f->era))
    return true;
  log_event (LOG_LEVEL_INFO, "store_era",
             "source=%s outcome=passed_over era=%" G_GINT64_FORMAT
             " known=%" G_GINT64_FORMAT,
             source_names[s->source], (gint64)n->era, (gint64)f->era);
  return false;
}

/* --- calls ----------------------------------------------------------- */

static void
handle_success (struct stream *s, int64_t now_us)
{
  if (s->failing_us == 0)
    return;
  log_event (LOG_LEVEL_INFO, "platform",
             "source=%s outcome=regained lost_us=%" G_GINT64_FORMAT,
             source_names[s->source], (gint64)(now_us - s->failing_us));
  if (s->source == FOLLOW_ENDPOINTS && now_us - s->failing_us > OUTAGE_US)
    fleet_list_recovered (s->follow->opts.fleet, s->failing_us, s->failed_us);
  s->failing_us = 0;
  s->pause_us = PAUSE_FIRST_US;
}

/*
 * Whether the next call may be a poll again.  A poll returns all changes after
 * a version or reports that it cannot, so nothing is lost if one stays
 * unanswered.  Reading all settings again would cost each VM 1.6 MB, more than
 * a second of a small link, after each short outage.  If the reply to a poll
 * was too large, a full read may be smaller, since it holds each row once.
 * Entries of endpoints expire during an outage, and only a full read shows
 * which; but the VMs that this one reads from do that, and report the removals
 * as changes.
 */
static bool
may_poll_again (const struct stream *s, enum follow_status code)
{
  return code == FOLLOW_STALE
         || (s->source == FOLLOW_OPERATOR
             && (code == FOLLOW_NO_REPLY || code == FOLLOW_STALLED
                 || code == FOLLOW_REFUSED));
}

/* When the source was known not to be readable.  A call that ended later than
   its limit did so because this VM was suspended. */
static int64_t
unreadable_at (const struct stream *s, int64_t now_us)
{
  return now_us - s->sent_us <= s->limit_us + REPLY_BEGIN_US ? now_us
                                                             : s->sent_us;
}

static void
handle_failure (struct stream *s, const struct follow_reply *n, int64_t now_us)
{
  int64_t pause;

  /* The cause of an outage may change while it lasts. */
  if (s->failing_us == 0 || s->failure != n->status)
    {
      log_event (LOG_LEVEL_WARNING, "platform",
                 "source=%s outcome=lost reason=%s bytes=%" G_GINT64_FORMAT
                 " took_us=%" G_GINT64_FORMAT,
                 source_names[s->source], failure_names[n->status],
                 (gint64)n->bytes, (gint64)(now_us - s->sent_us));
      s->failure = n->status;
    }
  /* The outage may have begun when the call was sent. */
  if (s->failing_us == 0)
    s->failing_us = s->sent_us;
  s->failed_us = s->sent_us;
  if (s->source == FOLLOW_ENDPOINTS)
    s->follow->opts.fleet->list_failed_us = unreadable_at (s, now_us);
  s->synced = s->synced && may_poll_again (s, n->status);
  pause = n->status == FOLLOW_STALE ? STALE_PAUSE_US : s->pause_us;
  if (s->source == FOLLOW_ENDPOINTS)
    pause = CLAMP (s->sent_us + RETRY_INTERVAL_US - now_us, PAUSE_FIRST_US,
                   pause);
  loop_arm (
      s->follow->opts.loop, &s->timer,
      now_us + pause
          + (int64_t)g_rand_int_range (s->follow->rand, 0, (gint32)pause));
  if (n->status != FOLLOW_STALE && s->pause_us < PAUSE_MAX_US)
    s->pause_us *= 2;
}

/* Longest wait of a reader: what is left of the age at which a client would
   poll the platform by itself, or of the age at which it would use the reply
   no more. */
static int64_t
reader_wait_us (const struct stream *s)
{
  const struct follow_opts *o = &s->follow->opts;
  int64_t wait = s->source == FOLLOW_OPERATOR
                     ? o->max_age_us - CLIENT_SPARE_US - CLIENT_PAUSE_US
                     : o->list_max_age_us * 2 / 3;

  return CLAMP (wait, READER_WAIT_MIN_US, READER_WAIT_MAX_US);
}

/* Minimum interval between the starts of two polls. */
static int64_t
min_interval_us (const struct stream *s, int64_t now_us)
{
  if (s->source == FOLLOW_OPERATOR)
    return 0;
  return is_reader (s->follow, now_us)
             ? MAX (reader_wait_us (s), ENDPOINTS_INTERVAL_US)
             : ENDPOINTS_INTERVAL_US;
}

static void
schedule_next_call (struct stream *s, int64_t now_us)
{
  struct follow *f = s->follow;
  int64_t interval = min_interval_us (s, now_us);

  if (s->source == FOLLOW_OPERATOR && is_client (f, now_us))
    loop_arm (f->opts.loop, &s->timer, client_poll_us (f, now_us));
  else if (s->full_read || now_us - s->sent_us >= interval)
    start_call (s, now_us);
  else
    loop_arm (f->opts.loop, &s->timer, s->sent_us + interval);
}

/* The history is lost.  While the platform keeps none, each poll ends so, and
   reading all again and again would load its link, and this VM's. */
static void
schedule_full_read (struct stream *s, int64_t now_us)
{
  int64_t interval = FULL_READ_INTERVAL_US;
  int64_t due;

  if (s->source == FOLLOW_OPERATOR)
    interval
        = MIN (interval, s->follow->opts.max_age_us / FULL_READ_AGE_DIVISOR);
  due = s->reread_us + interval;
  s->reread_us = MAX (now_us, due);
  if (now_us >= due)
    start_call (s, now_us);
  else
    loop_arm (s->follow->opts.loop, &s->timer, due);
}

static void
on_reply (void *arg, const struct follow_reply *n)
{
  struct stream *s = arg;
  struct follow *f = s->follow;
  int64_t now = loop_now_us ();

  s->busy = false;
  if (f->stopped)
    return;
  if (n->status == FOLLOW_HISTORY_LOST)
    {
      if (n->era > f->era)
        begin_era (f, n->era, now);
      s->synced = false;
      schedule_full_read (s, now);
      return;
    }
  if (n->status != FOLLOW_OK)
    {
      handle_failure (s, n, now);
      return;
    }
  if (!is_of_this_era (s, n, now))
    {
      s->synced = false;
      loop_arm (f->opts.loop, &s->timer, now + PAUSE_FIRST_US);
      return;
    }
  handle_success (s, now);
  apply_reply (s, n, now);
  if (f->opts.observe != NULL)
    f->opts.observe (f->opts.observe_arg, s->source, is_full (s, n), n);
  confirm_operator (f, n, now);
  if (f->opts.on_change != NULL)
    f->opts.on_change (f->opts.arg, now);
  schedule_next_call (s, now);
}

int64_t
follow_version (const struct follow *f, enum follow_source source)
{
  const struct stream *s = &f->streams[source];

  return s->era == f->era ? s->version : 0;
}

int64_t
follow_era (const struct follow *f)
{
  return f->era;
}

int64_t
follow_clock_ms (const struct follow *f, int64_t now_us)
{
  return f->clock_known ? (now_us - f->clock_offset_us) / CQ_US_PER_MS : 0;
}

int64_t
follow_poll_wait_us (int64_t current_us, int64_t age_us)
{
  return CLAMP (current_us - REPLY_BEGIN_US - age_us, OPERATOR_WAIT_MIN_US,
                OPERATOR_WAIT_US);
}

/* A poll that gets no reply is to end before the list is as old as endpoints
   drain; it is older from the start if another VM sent it. */
static int64_t
endpoints_wait_us (const struct fleet *f, int64_t now_us)
{
  int64_t age_us = fleet_list_age_us (f, now_us);

  if (f->list_age_max_us == 0)
    return ENDPOINTS_WAIT_MAX_US;
  if (!fleet_is_list_known (f, now_us))
    return 0;
  return CLAMP (f->list_age_max_us - age_us - REPLY_BEGIN_US
                    - ENDPOINTS_MARGIN_US,
                ENDPOINTS_WAIT_MIN_US, ENDPOINTS_WAIT_MAX_US);
}

static int64_t
poll_wait_us (const struct stream *s, int64_t now_us)
{
  const struct follow_opts *o = &s->follow->opts;
  int64_t wait = endpoints_wait_us (o->fleet, now_us);

  if (s->source == FOLLOW_OPERATOR)
    wait = follow_poll_wait_us (o->max_age_us,
                                fleet_conf_age_us (o->fleet, now_us));
  return is_reader (s->follow, now_us) ? MIN (wait, reader_wait_us (s)) : wait;
}

static void
start_call (struct stream *s, int64_t now_us)
{
  const struct follow_ops *o = &s->follow->opts.ops;
  struct follow_limits l = { .stall_us = STALL_US };
  int64_t wait = poll_wait_us (s, now_us);

  if (s->busy || s->follow->stopped)
    return;
  if (s->expects_change)
    wait = 0;
  s->expects_change = false;
  s->busy = true;
  s->sent_us = now_us;
  s->full_read = !s->synced;
  l.first_byte_us = s->full_read ? READ_BEGIN_US : wait + REPLY_BEGIN_US;
  l.total_us = l.first_byte_us + REPLY_TOTAL_US;
  s->limit_us = l.first_byte_us;
  l.bytes_max = REPLY_MAX_BYTES;
  l.pieces_per_turn = PIECES_PER_TURN;
  if (s->full_read)
    o->read (o->ctx, s->source, &l, on_reply, s);
  else
    o->changes (o->ctx, s->source, s->version, wait, &l, on_reply, s);
}

static void
on_timer (void *arg, int64_t now_us)
{
  start_call (arg, now_us);
}

/* --- lifecycle ------------------------------------------------------- */

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
    start_call (&f->streams[i], loop_now_us ());
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
follow_pending_calls (const struct follow *f)
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
