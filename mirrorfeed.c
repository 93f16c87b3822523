/* Reads the platform's lists from other VMs of the failure domain. */
#include "mirrorfeed.h"

#include <sodium.h>
#include <string.h>

#include "decide.h"
#include "log.h"
#include "met.h"

/* The choice of readers is made again after this time. */
#define CHOICE_US (2 * CQ_US_PER_S)
/* A VM does not act as a reader until it has known the roster for this long:
   while all VMs start, the first roster that it reads lacks most of them. */
#define SETTLE_US (1500 * CQ_US_PER_MS)
/* The same if it sends too many large replies. */
#define BACKOFF_BUSY_US (150 * CQ_US_PER_MS)
/* Rows of the list of endpoints that a VM reads from the platform before it
   knows other VMs.  A list that is not longer costs one small call. */
#define PROBE_ROWS 200
/* If the list is longer, it waits for other VMs this long. */
#define PEERS_WAIT_US (4 * CQ_US_PER_S)
#define PEERS_CHECK_US (100 * CQ_US_PER_MS)
/* What a client's own pause between two calls, and a VM that is silent, may
   add to the age of a reply. */
#define CLIENT_DELAY_MS 1700
/* Where endpoints drain for a shorter time, no VM can learn of it in time from
   others. */
#define DRAIN_MIN_MS (CLIENT_DELAY_MS + 1300)
/* VMs that one call asks before it falls back on the platform. */
#define ASKED_MAX 4
/* Backoff from a VM that did not reply, doubled up to the maximum; and from
   one that replied, but has nothing recent itself. */
#define BACKOFF_FIRST_US (1 * CQ_US_PER_S)
#define BACKOFF_MAX_US (16 * CQ_US_PER_S)
#define BACKOFF_STALE_US (300 * CQ_US_PER_MS)
/* If other VMs reply but have nothing recent, the platform probably serves
   nobody; it is asked directly at this interval, plus up to the same at
   random. */
#define DIRECT_INTERVAL_US (3 * CQ_US_PER_S)
/* Two reads of the roster are further apart than this; two ages of the same
   one differ by less. */
#define ROSTER_SAME_US (200 * CQ_US_PER_MS)
/* Size limit of a reply. */
#define REPLY_MAX_BYTES 8388608
/* Sources that are remembered; VMs come and go under new names. */
#define SOURCES_MAX 256

/* What this VM knows of another one as a source. */
struct source
{
  int64_t backoff_until_us; /* it is not asked before */
  int64_t backoff_us;       /* backoff after the next failure */
  bool defers;              /* by its reply, the platform serves it no more */
};

/* How long the list of endpoints is, as far as it matters to a VM that knows
   no others yet. */
enum probe
{
  PROBE_PENDING, /* not known */
  PROBE_SHORT,   /* short enough to be read by each VM */
  PROBE_LONG     /* too long for that */
};

struct call;

struct mirrorfeed
{
  struct mirrorfeed_opts opts; /* as made */
  struct mirrorserve *serve;   /* what is known of both tables */
  enum probe probe;            /* progress of the first read of the list */
  struct call *held; /* first read of the operators' rows, which waits for the
                        probe; or NULL */
  struct mirror_choice choice; /* whom to ask */
  int64_t choose_again_us;     /* it is valid until then */
  int64_t known_us;            /* when the roster was first known; or 0 */
  int64_t started_us;          /* time of the start */
  int64_t direct_us;           /* the platform may be asked from then on */
  int64_t roster_us;   /* the roster that was received last was current then */
  GHashTable *sources; /* VM's name to struct source */
  char last_source[LOAD_VM_SIZE]; /* VM that replied last */
  GRand *rand;                    /* for pauses */
  bool stopped;                   /* no more calls are started */
};

/* A call of a follower, or a read of the roster, in progress. */
struct call
{
  struct mirrorfeed *feed; /* owner */
  enum mirror_table table; /* table that is read */
  bool full;               /* all rows, not changes */
  int64_t version;         /* changes after it */
  bool changes_only; /* in place of all rows, changes after what is known */
  int64_t wait_us;   /* of a poll of the platform */
  struct follow_limits limits; /* of a call to the platform */
  follow_done done;            /* callback of a follower */
  roster_done roster;          /* or of a read of the roster */
  void *arg;                   /* passed to the callback */
  guint next;                  /* place in the order of the next VM to ask */
  guint last;                  /* end of those that may be asked */
  int asked;                   /* VMs asked so far */
  int deferred;            /* of these, how many the platform serves no more */
  struct mirror_peer peer; /* VM that is being asked */
  int64_t asked_us;        /* when it was asked */
  uint8_t nonce[MIRRORWIRE_NONCE_BYTES]; /* of the request */
  struct mirror_reply reply;             /* whose rows are being decoded */
  size_t reply_len;                      /* bytes of these */
  struct loop_timer timer; /* looks again whether other VMs are known */
};

/* Names of the tables in the log. */
static const char *const table_names[MIRROR_TABLES] = {
  [MIRROR_ENDPOINTS] = "endpoints",
  [MIRROR_ROSTER] = "roster",
  [MIRROR_OPERATOR] = "operator",
};

static void ask_next (struct call *c);

/* --- whom to ask ----------------------------------------------------- */

static void
log_choice (const struct mirrorfeed *m, enum mirror_role before)
{
  const struct mirror_choice *c = &m->choice;

  if (c->role != before)
    log_event (LOG_LEVEL_INFO, "list_role",
               "outcome=%s before=%s vms=%d readers=%d rank=%d link_mbit_s=%d",
               mirrorpick_role_name (c->role), mirrorpick_role_name (before),
               c->vms, c->readers, c->rank, m->opts.link_mbit_s);
}

static enum mirror_role
choose (struct mirrorfeed *m, int64_t now_us)
{
  g_autoptr (GArray) peers
      = g_array_new (FALSE, TRUE, sizeof (struct mirror_peer));
  enum mirror_role before = m->choice.role;

  if (before != MIRROR_UNKNOWN && now_us < m->choose_again_us)
    return before;
  if (!m->opts.list_peers (m->opts.arg, true, peers))
    return before;
  if ((int)peers->len + 1 < m->opts.min_vms)
    {
      g_array_set_size (peers, 0);
      m->opts.list_peers (m->opts.arg, false, peers);
    }
  if (m->known_us == 0)
    m->known_us = now_us;
  m->choose_again_us = now_us + CHOICE_US;
  mirrorpick_choose (&m->choice, m->opts.vm, m->opts.link_mbit_s, peers,
                     m->opts.drain_ms >= DRAIN_MIN_MS ? m->opts.min_vms
                                                      : G_MAXINT);
  if (m->choice.role == MIRROR_READER && now_us - m->known_us < SETTLE_US)
    {
      m->choice.role = MIRROR_CLIENT;
      m->choose_again_us = m->known_us + SETTLE_US;
    }
  log_choice (m, before);
  return m->choice.role;
}

bool
mirrorfeed_is_reader (void *m, int64_t now_us)
{
  return choose (m, now_us) == MIRROR_READER;
}

bool
mirrorfeed_is_client (void *m, int64_t now_us)
{
  return choose (m, now_us) == MIRROR_CLIENT;
}

int64_t
mirrorfeed_max_age_us (int64_t drain_ms)
{
  return (drain_ms - CLIENT_DELAY_MS) * CQ_US_PER_MS;
}

static struct source *
source_of (struct mirrorfeed *m, const char *vm)
{
  struct source *s = g_hash_table_lookup (m->sources, vm);

  if (s == NULL)
    {
      if (g_hash_table_size (m->sources) >= SOURCES_MAX)
        g_hash_table_remove_all (m->sources);
      s = g_new0 (struct source, 1);
      s->backoff_us = BACKOFF_FIRST_US;
      g_hash_table_insert (m->sources, g_strdup (vm), s);
    }
  return s;
}

static void
source_failed (struct call *c, const char *reason, int64_t now_us)
{
  struct source *s = source_of (c->feed, c->peer.vm);

  if (s->backoff_us == BACKOFF_FIRST_US)
    log_event (LOG_LEVEL_INFO, "list_source",
               "vm=%s outcome=failed reason=%s took_us=%" G_GINT64_FORMAT,
               c->peer.vm, reason, (gint64)(now_us - c->asked_us));
  s->backoff_until_us = now_us + s->backoff_us;
  s->backoff_us = MIN (2 * s->backoff_us, BACKOFF_MAX_US);
  s->defers = false;
  met_add (MET_LIST_FAILED, 1);
}

/* A VM replied, but has nothing recent.  If it reads the platform itself, or
   is about to do so, asking the platform directly is probably of no use. */
static void
source_stale (struct call *c, const struct mirror_reply *r, int64_t now_us)
{
  struct mirrorfeed *m = c->feed;
  struct source *s = source_of (m, c->peer.vm);

  s->backoff_until_us = now_us + BACKOFF_STALE_US;
  s->defers = r->status == MIRROR_NOT_READY
                  ? now_us - m->started_us < PEERS_WAIT_US
                  : r->depth == 1;
  c->deferred += s->defers;
  met_add (MET_LIST_STALE, 1);
}

static void
source_busy (struct call *c, int64_t now_us)
{
  struct source *s = source_of (c->feed, c->peer.vm);

  s->backoff_until_us = now_us + BACKOFF_BUSY_US;
  s->defers = true;
  c->deferred++;
  met_add (MET_LIST_STALE, 1);
}

static void
source_replied (struct call *c, const struct mirror_reply *r)
{
  struct mirrorfeed *m = c->feed;

  source_of (m, c->peer.vm)->backoff_us = BACKOFF_FIRST_US;
  met_add (MET_LIST_RECEIVED, 1);
  if (strcmp (m->last_source, c->peer.vm) == 0)
    return;
  g_strlcpy (m->last_source, c->peer.vm, sizeof m->last_source);
  log_event (
      LOG_LEVEL_INFO, "list_source",
      "vm=%s outcome=received table=%s depth=%d age_ms=%" G_GINT64_FORMAT
      " version=%" G_GINT64_FORMAT,
      c->peer.vm, table_names[c->table], r->depth, (gint64)r->age_ms,
      (gint64)r->version);
}

/* --- calls ----------------------------------------------------------- */

static void
call_free (struct call *c)
{
  loop_disarm (&c->timer);
  g_free (c);
}

static void
finish_without_rows (struct call *c, enum follow_status status, int64_t era)
{
  g_autoptr (GArray) none
      = g_array_new (FALSE, TRUE, sizeof (struct follow_item));
  struct follow_reply r = { .status = status, .era = era, .items = none };

  if (c->roster != NULL)
    c->roster (c->arg, NULL);
  else
    c->done (c->arg, &r);
  call_free (c);
}

static enum follow_source
source_table (const struct call *c)
{
  return c->table == MIRROR_OPERATOR ? FOLLOW_OPERATOR : FOLLOW_ENDPOINTS;
}

/* Hands the call over to the platform's adapter. */
static void
call_directly (struct call *c)
{
  const struct mirrorfeed_opts *o = &c->feed->opts;

  met_add (MET_LIST_DIRECT, 1);
  if (c->roster != NULL)
    o->direct_roster.read (o->direct_roster.ctx, c->roster, c->arg);
  else if (c->full)
    o->direct.read (o->direct.ctx, source_table (c), &c->limits, c->done,
                    c->arg);
  else
    o->direct.changes (o->direct.ctx, source_table (c), c->version, c->wait_us,
                       &c->limits, c->done, c->arg);
  call_free (c);
}

/* No VM that may be asked is left. */
static void
fall_back (struct call *c, int64_t now_us)
{
  struct mirrorfeed *m = c->feed;
  bool starting = now_us - m->started_us < PEERS_WAIT_US;
  /* Others rely on a reader, and of the operators' rows this VM must not know
     less than the platform offers. */
  bool is_urgent
      = m->choice.role == MIRROR_READER || c->table == MIRROR_OPERATOR;

  if (c->deferred > 0 && now_us < m->direct_us && (starting || !is_urgent))
    {
      finish_without_rows (c, FOLLOW_STALE, 0);
      return;
    }
  if (c->deferred > 0)
    m->direct_us = now_us + DIRECT_INTERVAL_US
                   + g_rand_int_range (m->rand, 0, DIRECT_INTERVAL_US);
  call_directly (c);
}

/* --- replies of other VMs -------------------------------------------- */

/* Receives the rows of a reply. */
struct rows_reader
{
  enum mirror_table table; /* which rows */
  GArray *items;   /* struct follow_item of endpoints, or struct roster_row */
  GPtrArray *raws; /* struct follow_raw of the operators */
  bool valid;      /* no row was malformed */
};

static void
read_listing (GArray *items, const struct mirror_row *row, bool *valid)
{
  struct follow_item it = { .row = row->version };

  it.kind = row->removed ? FOLLOW_ITEM_ENDPOINT_REMOVED : FOLLOW_ITEM_ENDPOINT;
  if (row->removed)
    *valid &= g_strlcpy (it.listing.id, row->key, sizeof it.listing.id)
              < sizeof it.listing.id;
  else
    *valid &= mirrorwire_decode_listing (row->key, row->value, row->len,
                                         &it.listing);
  if (*valid)
    g_array_append_val (items, it);
}

static void
free_raw (gpointer raw)
{
  follow_raw_free (raw);
}

static void
read_row (void *arg, const struct mirror_row *row)
{
  struct rows_reader *r = arg;
  struct roster_row vm;

  if (r->table == MIRROR_ENDPOINTS)
    read_listing (r->items, row, &r->valid);
  else if (r->table == MIRROR_OPERATOR)
    g_ptr_array_insert (r->raws, 0,
                        follow_raw_new (row->key, row->version,
                                        row->removed ? NULL : row->value,
                                        row->len));
  else if (mirrorwire_decode_vm (row->key, row->version, row->value, row->len,
                                 &vm))
    g_array_append_val (r->items, vm);
  else
    r->valid = false;
}

/* Rows travel with the newest first, and are applied in the order of their
   changes. */
static void
reverse (GArray *items)
{
  struct follow_item it;
  guint i;

  for (i = 0; i < items->len / 2; i++)
    {
      struct follow_item *a = &g_array_index (items, struct follow_item, i);
      struct follow_item *b
          = &g_array_index (items, struct follow_item, items->len - 1 - i);

      it = *a;
      *a = *b;
      *b = it;
    }
}

static void
finish_reply (struct call *c, const struct mirror_reply *r, GArray *items,
              size_t len)
{
  struct follow_reply n = { .status = FOLLOW_OK, .items = items };

  n.era = r->era;
  n.version = r->version;
  n.bytes = (int64_t)len;
  n.received_us = loop_now_us ();
  n.relayed = true;
  n.changes_only = c->full && c->changes_only;
  n.depth = r->depth;
  n.current_us = c->asked_us - r->age_ms * CQ_US_PER_MS;
  n.operator_known = r->operator_age_ms >= 0;
  n.operator_row = r->operator_row;
  n.operator_version = r->operator_version;
  n.operator_current_us = c->asked_us - r->operator_age_ms * CQ_US_PER_MS;
  c->done (c->arg, &n);
  call_free (c);
}

/* The rows of the operators in the reply were decoded. */
static void
on_decoded (void *arg, const struct follow_reply *reply)
{
  struct call *c = arg;
  struct mirror_reply r = c->reply;

  if (reply->status == FOLLOW_OK)
    finish_reply (c, &r, reply->items, c->reply_len);
  else
    finish_without_rows (c, reply->status, r.era);
}

static void
decode_operator (struct call *c, const struct mirror_reply *r,
                 const GPtrArray *raws, size_t len)
{
  const struct follow_ops *o = &c->feed->opts.direct;

  c->reply = *r;
  c->reply_len = len;
  o->decode (o->ctx, raws, &c->limits, on_decoded, c);
}

/* A roster that was not read again since the last reply says nothing of which
   VMs still write their rows. */
static void
finish_roster (struct call *c, const struct mirror_reply *r,
               const GArray *list)
{
  struct mirrorfeed *m = c->feed;
  int64_t current = c->asked_us - r->age_ms * CQ_US_PER_MS;
  bool is_newer = current > m->roster_us + ROSTER_SAME_US;

  if (is_newer)
    m->roster_us = current;
  c->roster (c->arg, is_newer ? list : NULL);
  call_free (c);
}

/* Whether a reply is of use: it must not be older than what is known here, and
   one about the operators' rows must hold the change that is looked for. */
static bool
is_recent (const struct call *c, const struct mirror_reply *r)
{
  const struct mirrorfeed *m = c->feed;
  int64_t era = mirrorserve_era (m->serve);
  int64_t known;

  if (c->table == MIRROR_ROSTER)
    return r->status == MIRROR_OK;
  known = mirrorserve_version (m->serve, source_table (c));
  return r->status != MIRROR_NOT_READY && r->era >= era
         && r->age_ms * CQ_US_PER_MS
                <= mirrorfeed_max_age_us (m->opts.drain_ms)
         && !(c->full && r->era == era && r->version < known)
         && !(c->table == MIRROR_OPERATOR && !c->full && r->status == MIRROR_OK
              && r->version <= c->version);
}

/* Returns false if the rows are malformed; then the call goes on. */
static bool
finish_with_rows (struct call *c, const struct mirror_reply *r,
                  const uint8_t *rows, size_t len)
{
  struct rows_reader reader = { .table = c->table, .valid = true };
  bool valid;

  reader.items
      = g_array_new (FALSE, TRUE,
                     c->table == MIRROR_ROSTER ? sizeof (struct roster_row)
                                               : sizeof (struct follow_item));
  reader.raws = g_ptr_array_new_with_free_func (free_raw);
  valid
      = mirrorwire_decode_rows (rows, len, read_row, &reader) && reader.valid;
  if (valid)
    {
      source_replied (c, r);
      if (c->table == MIRROR_ROSTER)
        finish_roster (c, r, reader.items);
      else if (c->table == MIRROR_OPERATOR)
        decode_operator (c, r, reader.raws, len);
      else
        {
          reverse (reader.items);
          finish_reply (c, r, reader.items, len);
        }
    }
  g_array_free (reader.items, TRUE);
  g_ptr_array_unref (reader.raws);
  return valid;
}

static void
on_answer (void *arg, enum mirror_ask_status status, const uint8_t *data,
           size_t len)
{
  struct call *c = arg;
  struct mirrorfeed *m = c->feed;
  const uint8_t *key = m->opts.seal_key (m->opts.arg);
  int64_t now = loop_now_us ();
  struct mirror_reply r;
  const uint8_t *rows;

  if (m->stopped)
    {
      finish_without_rows (c, FOLLOW_NO_REPLY, 0);
      return;
    }
  if (status == MIRROR_BUSY)
    {
      source_busy (c, now);
      ask_next (c);
    }
  else if (status == MIRROR_FAILED || key == NULL
           || !mirrorwire_open_reply (data, len, key, c->nonce, &r, &rows))
    {
      source_failed (c, status == MIRROR_FAILED ? "silent" : "invalid", now);
      ask_next (c);
    }
  else if (!is_recent (c, &r))
    {
      source_stale (c, &r, now);
      ask_next (c);
    }
  else if (r.status == MIRROR_HISTORY_LOST && c->full)
    {
      /* The same VM is asked again, for all rows. */
      c->changes_only = false;
      c->next--;
      ask_next (c);
    }
  else if (r.status == MIRROR_HISTORY_LOST)
    finish_without_rows (c, FOLLOW_HISTORY_LOST, r.era);
  else if (!finish_with_rows (c, &r, rows, len - (size_t)(rows - data)))
    {
      source_failed (c, "invalid", now);
      ask_next (c);
    }
}

/* --- requests -------------------------------------------------------- */

/* Finds the next VM to ask.  One that had nothing recent a moment ago counts
   as if it had been asked. */
static bool
find_next (struct call *c, int64_t now_us)
{
  const GArray *order = c->feed->choice.order;
  const struct source *s;

  while (order != NULL && c->next < MIN (order->len, c->last)
         && c->asked < ASKED_MAX)
    {
      c->peer = g_array_index (order, struct mirror_peer, c->next++);
      s = g_hash_table_lookup (c->feed->sources, c->peer.vm);
      if (s == NULL || now_us >= s->backoff_until_us)
        return true;
      c->deferred += s->defers;
    }
  return false;
}

static void
send_request (struct call *c, const uint8_t *key)
{
  struct mirrorfeed *m = c->feed;
  struct mirror_request r = { .table = c->table };
  g_autoptr (GByteArray) request = NULL;

  randombytes_buf (c->nonce, sizeof c->nonce);
  memcpy (r.nonce, c->nonce, sizeof r.nonce);
  r.era = mirrorserve_era (m->serve);
  r.since = c->full && !c->changes_only ? 0 : c->version;
  request = mirrorwire_seal_request (&r, key);
  c->asked++;
  c->asked_us = loop_now_us ();
  m->opts.ops.ask (m->opts.ops.ctx, c->peer.address, request, REPLY_MAX_BYTES,
                   on_answer, c);
}

static void
ask_next (struct call *c)
{
  const uint8_t *key = c->feed->opts.seal_key (c->feed->opts.arg);
  int64_t now = loop_now_us ();

  if (key != NULL && find_next (c, now))
    send_request (c, key);
  else
    fall_back (c, now);
}

/* --- the followers' interface ---------------------------------------- */

static bool
is_key_known (const struct mirrorfeed *m)
{
  return m->opts.seal_key (m->opts.arg) != NULL;
}

/* Whether a client is to ask other VMs: for the list always, for the
   operators' rows only if it lacks all of them, or one that others have. Polls
   that wait for a change go to the platform. */
static bool
may_ask (const struct call *c)
{
  return is_key_known (c->feed)
         && (c->table != MIRROR_OPERATOR || c->full || c->wait_us == 0);
}

/* Whether other VMs may soon be known, and the call is worth the wait. */
static bool
may_wait (const struct call *c, int64_t now_us)
{
  const struct mirrorfeed *m = c->feed;

  return c->full && now_us - m->started_us < PEERS_WAIT_US
         && m->probe == PROBE_LONG
         && (m->choice.role == MIRROR_UNKNOWN
             || m->choice.role == MIRROR_CLIENT);
}

/* If all rows are to be read, though this VM knows them up to a version, the
   changes after it will do for a VM that remembers them. */
static void
ask_for_rows (struct call *c)
{
  const struct mirrorserve *known = c->feed->serve;

  if (c->full && c->table != MIRROR_ROSTER
      && mirrorserve_is_complete (known, source_table (c)))
    {
      c->version = mirrorserve_version (known, source_table (c));
      c->changes_only = true;
    }
  ask_next (c);
}

/* A reader reads all rows from the readers before it, so that only one of them
   loads the platform when the history is lost. */
static bool
may_ask_readers (struct call *c, enum mirror_role role)
{
  if (role != MIRROR_READER || !c->full || !is_key_known (c->feed))
    return false;
  c->last = (guint)c->feed->choice.earlier;
  return c->last > 0;
}

/* Starts the call as the role of this VM requires. */
static void
route_call (struct call *c)
{
  struct mirrorfeed *m = c->feed;
  int64_t now = loop_now_us ();
  enum mirror_role role = choose (m, now);

  if (m->stopped)
    finish_without_rows (c, FOLLOW_NO_REPLY, 0);
  else if ((role == MIRROR_CLIENT && may_ask (c)) || may_ask_readers (c, role))
    ask_for_rows (c);
  else if (may_wait (c, now))
    loop_arm (m->opts.loop, &c->timer, now + PEERS_CHECK_US);
  else
    call_directly (c);
}

static void
on_check (void *arg, int64_t now_us)
{
  (void)now_us;
  route_call (arg);
}

static struct call *
call_new (struct mirrorfeed *m, enum mirror_table table, bool full, void *arg)
{
  struct call *c = g_new0 (struct call, 1);

  c->feed = m;
  c->table = table;
  c->full = full;
  c->last = G_MAXUINT;
  c->arg = arg;
  c->timer.fire = on_check;
  c->timer.arg = c;
  return c;
}

static void
release_held (struct mirrorfeed *m)
{
  struct call *c = m->held;

  m->held = NULL;
  if (c != NULL)
    route_call (c);
}

/* A list that is too long for the probe is read from other VMs, once they are
   known. */
static void
on_probed (void *arg, const struct follow_reply *reply)
{
  struct call *c = arg;
  struct mirrorfeed *m = c->feed;

  m->probe = reply->status == FOLLOW_TRUNCATED ? PROBE_LONG : PROBE_SHORT;
  release_held (m);
  if (m->probe == PROBE_LONG)
    {
      route_call (c);
      return;
    }
  c->done (c->arg, reply);
  call_free (c);
}

static void
start_probe (struct call *c)
{
  const struct follow_ops *o = &c->feed->opts.direct;
  struct follow_limits probe = c->limits;

  probe.rows_max = PROBE_ROWS;
  o->read (o->ctx, FOLLOW_ENDPOINTS, &probe, on_probed, c);
}

static void
read_all (void *ctx, enum follow_source source,
          const struct follow_limits *limits, follow_done done, void *arg)
{
  struct mirrorfeed *m = ctx;
  enum mirror_table table
      = source == FOLLOW_OPERATOR ? MIRROR_OPERATOR : MIRROR_ENDPOINTS;
  struct call *c = call_new (m, table, true, arg);
  bool unknown = choose (m, loop_now_us ()) == MIRROR_UNKNOWN;

  c->limits = *limits;
  c->done = done;
  if (unknown && source == FOLLOW_ENDPOINTS)
    start_probe (c);
  else if (unknown && m->probe == PROBE_PENDING && m->held == NULL
           && !m->stopped)
    m->held = c;
  else
    route_call (c);
}

static void
poll_changes (void *ctx, enum follow_source source, int64_t version,
              int64_t wait_us, const struct follow_limits *limits,
              follow_done done, void *arg)
{
  enum mirror_table table
      = source == FOLLOW_OPERATOR ? MIRROR_OPERATOR : MIRROR_ENDPOINTS;
  struct call *c = call_new (ctx, table, false, arg);

  c->version = version;
  c->wait_us = wait_us;
  c->limits = *limits;
  c->done = done;
  route_call (c);
}

void
mirrorfeed_follow_ops (struct mirrorfeed *m, struct follow_ops *ops)
{
  ops->read = read_all;
  ops->changes = poll_changes;
  ops->ctx = m;
}

/* --- the roster ------------------------------------------------------ */

static void
write_roster (void *ctx, const struct roster_row *self,
              void (*done) (void *arg, bool written), void *arg)
{
  const struct roster_ops *o = &((struct mirrorfeed *)ctx)->opts.direct_roster;

  o->write (o->ctx, self, done, arg);
}

static void
remove_from_roster (void *ctx, const char *vm, int64_t version)
{
  const struct roster_ops *o = &((struct mirrorfeed *)ctx)->opts.direct_roster;

  o->remove (o->ctx, vm, version);
}

/* Other VMs are known from an earlier read; the first one is direct. */
static void
read_roster (void *ctx, roster_done done, void *arg)
{
  struct mirrorfeed *m = ctx;
  struct call *c = call_new (m, MIRROR_ROSTER, true, arg);

  c->roster = done;
  if (choose (m, loop_now_us ()) == MIRROR_CLIENT && is_key_known (m))
    ask_next (c);
  else
    call_directly (c);
}

void
mirrorfeed_roster_ops (struct mirrorfeed *m, struct roster_ops *ops)
{
  ops->write = write_roster;
  ops->read = read_roster;
  ops->remove = remove_from_roster;
  ops->ctx = m;
}

/* --- lifecycle ------------------------------------------------------- */

struct mirrorfeed *
mirrorfeed_new (const struct mirrorfeed_opts *opts)
{
  struct mirrorfeed *m = g_new0 (struct mirrorfeed, 1);

  m->opts = *opts;
  m->serve = opts->serve;
  m->sources = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  m->rand = g_rand_new_with_seed ((guint32)opts->seed);
  m->started_us = loop_now_us ();
  m->direct_us = m->started_us + PEERS_WAIT_US
                 + g_rand_int_range (m->rand, 0, DIRECT_INTERVAL_US);
  return m;
}

void
mirrorfeed_stop (struct mirrorfeed *m)
{
  m->stopped = true;
  release_held (m);
}

void
mirrorfeed_free (struct mirrorfeed *m)
{
  if (m == NULL)
    return;
  if (m->choice.order != NULL)
    g_array_free (m->choice.order, TRUE);
  g_hash_table_destroy (m->sources);
  g_rand_free (m->rand);
  g_free (m);
}
