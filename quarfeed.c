/* Sharing of evidence about requests that crash endpoints with other VMs. */
#include "quarfeed.h"

#include <sodium.h>
#include <string.h>

#include "decide.h"
#include "log.h"
#include "met.h"

/* Row names: one row for each VM, and one for the key of the datagrams. */
#define VM_PREFIX "vm/"
#define KEY_ROW "key"

/* How long a poll waits for changes normally.  It is shortened by up to a
   fifth at random, since all VMs may start together.  The platform lets a poll
   wait for 30 s at most. */
#define POLL_WAIT_US (25 * CQ_US_PER_S)
#define POLL_WAIT_JITTER_DIVISOR 5
/* Likewise while endpoints crash, or while no key is known.  The connection
   may be dead without an error, which only the end of the poll shows. */
#define POLL_WAIT_ALERT_US (2 * CQ_US_PER_S)
#define ALERT_US (10 * CQ_US_PER_S)
/* Shortest intervals between the starts of two polls, and between two writes.
   Each crash changes the rows of all VMs that observed it, and what a poll has
   not returned yet arrives by datagram. */
#define POLL_INTERVAL_US (1 * CQ_US_PER_S)
#define WRITE_INTERVAL_US (300 * CQ_US_PER_MS)
/* Backoff after a failed call: doubled at each failure up to the maximum, plus
   as much again of jitter. */
#define BACKOFF_FIRST_US (100 * CQ_US_PER_MS)
#define BACKOFF_MAX_US (2 * CQ_US_PER_S)
/* A VM that could not read the table serves requests after this time, since it
   must not stay out of service because of a single harmful request. */
#define READY_TIMEOUT_US (1 * CQ_US_PER_S)
/* Datagrams may get lost, so each is sent SENDS_MAX times in all, at this
   interval. */
#define RESEND_INTERVAL_US (200 * CQ_US_PER_MS)
#define SENDS_MAX 4
/* Interval of the search for expired facts. */
#define EXPIRE_INTERVAL_US (10 * CQ_US_PER_S)
/* A fact that is further in the future shows that a clock is wrong. */
#define FUTURE_MAX_MS 2000

/* State of the sharing. */
struct quarfeed
{
  struct quarfeed_opts opts;       /* as passed to quarfeed_new */
  char *row;                       /* name of this VM's row */
  uint8_t key[QUARWIRE_KEY_BYTES]; /* key of the datagrams */
  bool has_key;                    /* the key is known */
  bool is_synced;                  /* the table was read once */
  int64_t version;                 /* version after which to ask for changes */
  int64_t started_us;              /* time of the start */
  int64_t polled_us;               /* last poll sent */
  int64_t wrote_us;                /* last write sent */
  int64_t alert_us;                /* last new evidence */
  int64_t backoff_us;              /* backoff after the next failure */
  GRand *rand;                     /* for the jitter */
  struct loop_timer poll_timer;    /* next poll */
  struct loop_timer write_timer;   /* next write */
  struct loop_timer resend_timer;  /* next datagram */
  struct loop_timer expire_timer;  /* next search for expired facts */
  int sends_left;                  /* datagrams left to send */
  bool polling;                    /* a poll is under way */
  bool writing;                    /* a write is under way */
  bool writing_key;                /* a key is being written */
  bool needs_full_read;            /* the next poll reads all rows */
  bool is_full_read;               /* the poll under way reads all rows */
  bool is_key_stored;              /* the table is known to contain the key */
  bool is_dirty;                   /* the row must be written again */
  guint written_facts;             /* facts in the row when last written */
  bool stopped;                    /* quarfeed_stop was called */
};

static int64_t
add_jitter (struct quarfeed *f, int64_t us)
{
  return us + g_rand_int_range (f->rand, 0, (gint32)us);
}

/* --- facts ----------------------------------------------------------- */

/* A fact from the future would stay newer than any completion of the request,
   and the quarantine would last too long. */
static bool
add_fact (struct quarfeed *f, const struct quar_fact *fact, bool own,
          int64_t now_us)
{
  int64_t now_ms = f->opts.clock_ms (f->opts.arg, now_us);
  struct quar_fact g = *fact;

  if (now_ms > 0 && g.crash.at_ms > now_ms + FUTURE_MAX_MS)
    g.crash.at_ms = now_ms;
  return quar_add_fact (f->opts.quar, &g, own);
}

static guint
add_facts (struct quarfeed *f, const GArray *facts, bool own,
           const char *source, int64_t now_us)
{
  guint i, added = 0;

  for (i = 0; i < facts->len; i++)
    added += add_fact (f, &g_array_index (facts, struct quar_fact, i), own,
                       now_us);
  if (added == 0)
    return 0;
  f->alert_us = now_us;
  log_event (LOG_LEVEL_INFO, "evidence",
             "source=%s outcome=taken facts=%u of=%u", source, added,
             facts->len);
  return added;
}

/* --- datagrams ------------------------------------------------------- */

/* Send all facts about the requests with the most crashes, and this VM's own,
   so that a VM that missed a datagram gets its facts from any other VM. */
static void
send_facts (struct quarfeed *f)
{
  g_autoptr (GArray) facts
      = g_array_new (FALSE, FALSE, sizeof (struct quar_fact));
  g_autoptr (GByteArray) datagram = NULL;

  if (f->opts.send == NULL || !f->has_key)
    return;
  quar_worst_facts (f->opts.quar, facts, QUARWIRE_DATAGRAM_MAX / 2);
  quar_own_facts (f->opts.quar, facts, QUARWIRE_DATAGRAM_MAX);
  if (facts->len == 0)
    return;
  datagram = quarwire_seal (facts, f->key);
  f->opts.send (f->opts.arg, datagram);
}

static void
on_resend_timer (void *arg, int64_t now_us)
{
  struct quarfeed *f = arg;

  send_facts (f);
  if (--f->sends_left > 0)
    loop_arm (f->opts.loop, &f->resend_timer, now_us + RESEND_INTERVAL_US);
}

bool
quarfeed_receive (struct quarfeed *f, const char *data, size_t len,
                  int64_t now_us)
{
  g_autoptr (GArray) facts
      = g_array_new (FALSE, FALSE, sizeof (struct quar_fact));

  if (!quarwire_is_sealed ((const uint8_t *)data, len))
    return false;
  if (!f->has_key || f->stopped
      || !quarwire_open ((const uint8_t *)data, len, f->key, facts))
    met_add (MET_LOADS_INVALID, 1);
  else
    add_facts (f, facts, false, "datagram", now_us);
  return true;
}

/* --- this VM's row --------------------------------------------------- */

static void write_row (struct quarfeed *f, int64_t now_us);

static void
schedule_write (struct quarfeed *f, int64_t due_us)
{
  if (!f->stopped && !f->writing && !f->write_timer.armed)
    loop_arm (f->opts.loop, &f->write_timer, due_us);
}

static void
on_written (void *arg, const struct rowstore_reply *rows)
{
  struct quarfeed *f = arg;
  int64_t now = loop_now_us ();

  f->writing = false;
  f->is_dirty |= rows->status != ROWSTORE_OK;
  log_event (LOG_LEVEL_INFO, "evidence",
             "source=table outcome=%s facts=%u took_us=%" G_GINT64_FORMAT,
             rows->status == ROWSTORE_OK ? "written" : "not_written",
             f->written_facts, (gint64)(now - f->wrote_us));
  if (f->is_dirty)
    schedule_write (f, rows->status == ROWSTORE_OK
                           ? f->wrote_us + WRITE_INTERVAL_US
                           : now + add_jitter (f, WRITE_INTERVAL_US));
}

static void
write_row (struct quarfeed *f, int64_t now_us)
{
  g_autoptr (GArray) facts
      = g_array_new (FALSE, FALSE, sizeof (struct quar_fact));
  g_autoptr (GByteArray) value = NULL;

  /* The row that an earlier incarnation of this VM wrote must be read first,
     or this would overwrite it.  on_written schedules the next write if one is
     under way. */
  if (!f->is_synced || f->writing)
    return;
  quar_own_facts (f->opts.quar, facts, QUARWIRE_ROW_MAX);
  if (facts->len > 0)
    value = quarwire_encode (facts, QUARWIRE_ROW_MAX);
  f->is_dirty = false;
  if (facts->len == 0 && f->written_facts == 0)
    return;
  f->writing = true;
  f->wrote_us = now_us;
  f->written_facts = facts->len;
  f->opts.ops.write (f->opts.ops.ctx, f->row, value, ROWSTORE_ANY_VERSION,
                     on_written, f);
}

static void
on_write_timer (void *arg, int64_t now_us)
{
  write_row (arg, now_us);
}

void
quarfeed_changed (struct quarfeed *f, int64_t now_us)
{
  f->alert_us = now_us;
  f->is_dirty = true;
  f->sends_left = SENDS_MAX;
  if (f->stopped)
    return;
  if (!f->resend_timer.armed)
    on_resend_timer (f, now_us);
  if (f->is_synced)
    schedule_write (f, MAX (now_us, f->wrote_us + WRITE_INTERVAL_US));
}

/* --- the key --------------------------------------------------------- */

static void
apply_key (struct quarfeed *f, const struct rowstore_row *row)
{
  if (row->value == NULL || row->value->len != sizeof f->key)
    return;
  memcpy (f->key, row->value->data, sizeof f->key);
  f->has_key = true;
  f->is_key_stored = true;
}

static void
on_key_written (void *arg, const struct rowstore_reply *rows)
{
  struct quarfeed *f = arg;
  guint i;

  f->writing_key = false;
  /* The first VM to write the row determines the key.  If the call got no
     reply, the next poll returns the row. */
  for (i = 0; rows->status == ROWSTORE_CONFLICT && i < rows->rows->len; i++)
    if (strcmp (g_array_index (rows->rows, struct rowstore_row, i).key,
                KEY_ROW)
        == 0)
      apply_key (f, &g_array_index (rows->rows, struct rowstore_row, i));
  if (rows->status == ROWSTORE_OK)
    f->has_key = f->is_key_stored = true;
}

/* Write the key to the table, which is where VMs keep what they share. */
static void
write_key (struct quarfeed *f)
{
  g_autoptr (GByteArray) value = NULL;

  if ((f->has_key && f->is_key_stored) || f->writing_key || f->stopped)
    return;
  f->writing_key = true;
  if (!f->has_key)
    randombytes_buf (f->key, sizeof f->key);
  value = g_byte_array_new ();
  g_byte_array_append (value, f->key, sizeof f->key);
  f->opts.ops.write (f->opts.ops.ctx, KEY_ROW, value, 0, on_key_written, f);
}

/* --- rows ------------------------------------------------------------ */

static void
on_row_removed (void *arg, const struct rowstore_reply *rows)
{
  struct quarfeed *f = arg;

  (void)rows;
  f->writing = false;
  if (f->is_dirty)
    schedule_write (f, loop_now_us ());
}

/* Remove the row of a VM that was replaced, once all its facts have expired;
   nothing else removes such rows.  Only a VM that reads all rows, as at its
   start, does so, one row at a time. */
static void
remove_row (struct quarfeed *f, const struct rowstore_row *row)
{
  if (!f->is_full_read || f->writing || strcmp (row->key, f->row) == 0)
    return;
  f->writing = true;
  f->opts.ops.write (f->opts.ops.ctx, row->key, NULL, row->version,
                     on_row_removed, f);
}

static void
apply_row (struct quarfeed *f, const struct rowstore_row *row, int64_t now_us)
{
  g_autoptr (GArray) facts
      = g_array_new (FALSE, FALSE, sizeof (struct quar_fact));
  bool own = strcmp (row->key, f->row) == 0;
  int64_t now_ms = f->opts.clock_ms (f->opts.arg, now_us);

  if (strcmp (row->key, KEY_ROW) == 0)
    apply_key (f, row);
  if (row->value == NULL || !g_str_has_prefix (row->key, VM_PREFIX))
    return;
  if (!quarwire_decode (row->value->data, row->value->len, facts))
    {
      met_add (MET_ROWS_INVALID, 1);
      log_event (LOG_LEVEL_WARNING, "evidence",
                 "source=table outcome=unreadable row=%s", row->key);
      return;
    }
  /* At the first read, this VM's row is that of an earlier incarnation; later
     reads return its own writes. */
  if (own && !f->is_synced)
    f->written_facts = facts->len;
  add_facts (f, facts, own && !f->is_synced, "table", now_us);
  if (now_ms > 0 && quar_is_expired (facts, now_ms))
    remove_row (f, row);
}

/* --- polls ----------------------------------------------------------- */

static void start_poll (struct quarfeed *f, int64_t now_us);

static void
on_rows (void *arg, const struct rowstore_reply *rows)
{
  struct quarfeed *f = arg;
  int64_t now = loop_now_us ();
  guint i;

  f->polling = false;
  if (f->stopped)
    return;
  /* This VM's own row may have been lost with the history. */
  if (rows->status == ROWSTORE_HISTORY_LOST)
    {
      f->needs_full_read = true;
      f->is_dirty = true;
    }
  if (rows->status != ROWSTORE_OK)
    {
      f->needs_full_read |= !f->is_key_stored;
      loop_arm (f->opts.loop, &f->poll_timer,
                now + add_jitter (f, f->backoff_us));
      f->backoff_us = MIN (2 * f->backoff_us, BACKOFF_MAX_US);
      return;
    }
  f->backoff_us = BACKOFF_FIRST_US;
  met_add (MET_ROWS_INVALID, rows->skipped);
  for (i = 0; i < rows->rows->len; i++)
    apply_row (f, &g_array_index (rows->rows, struct rowstore_row, i), now);
  f->version = MAX (rows->version, 1);
  /* Without the platform's clock, expired rows could not be recognized. */
  f->needs_full_read
      |= f->is_full_read && f->opts.clock_ms (f->opts.arg, now) == 0;
  if (!f->is_synced)
    log_event (LOG_LEVEL_INFO, "evidence",
               "source=table outcome=known rows=%u took_us=%" G_GINT64_FORMAT,
               rows->rows->len, (gint64)(now - f->started_us));
  f->is_synced = true;
  write_key (f);
  if (f->is_dirty)
    schedule_write (f, now);
  loop_arm (f->opts.loop, &f->poll_timer,
            MAX (now, f->polled_us + POLL_INTERVAL_US));
}

static int64_t
poll_wait_us (struct quarfeed *f, int64_t now_us)
{
  if (!f->has_key || (f->alert_us != 0 && now_us - f->alert_us < ALERT_US))
    return POLL_WAIT_ALERT_US;
  return POLL_WAIT_US
         - g_rand_int_range (f->rand, 0,
                             POLL_WAIT_US / POLL_WAIT_JITTER_DIVISOR);
}

static void
start_poll (struct quarfeed *f, int64_t now_us)
{
  const struct rowstore_ops *o = &f->opts.ops;

  if (f->polling || f->stopped)
    return;
  f->polling = true;
  f->polled_us = now_us;
  f->is_full_read = f->version == 0 || f->needs_full_read;
  if (f->is_full_read)
    {
      f->needs_full_read = false;
      f->is_key_stored = false;
      o->read (o->ctx, on_rows, f);
    }
  else
    o->changes (o->ctx, f->version, poll_wait_us (f, now_us), on_rows, f);
}

/* A poll that is under way may continue to wait on the restored store; the
   full read follows it. */
void
quarfeed_store_restored (struct quarfeed *f, int64_t now_us)
{
  f->needs_full_read = true;
  f->is_dirty = true;
  f->alert_us = now_us;
  if (f->is_synced)
    schedule_write (f, now_us);
}

static void
on_poll_timer (void *arg, int64_t now_us)
{
  start_poll (arg, now_us);
}

static void
on_expire_timer (void *arg, int64_t now_us)
{
  struct quarfeed *f = arg;
  int64_t now_ms = f->opts.clock_ms (f->opts.arg, now_us);

  if (now_ms > 0 && quar_has_records (f->opts.quar))
    {
      quar_expire (f->opts.quar, now_ms);
      /* Remove expired facts from the row, too. */
      if (quar_count_own_facts (f->opts.quar) != f->written_facts)
        schedule_write (f, now_us);
    }
  loop_arm (f->opts.loop, &f->expire_timer, now_us + EXPIRE_INTERVAL_US);
}

bool
quarfeed_is_ready (const struct quarfeed *f, int64_t now_us)
{
  return f->is_synced || now_us - f->started_us > READY_TIMEOUT_US;
}

const uint8_t *
quarfeed_key (const struct quarfeed *f)
{
  return f->has_key ? f->key : NULL;
}

/* --- start and end --------------------------------------------------- */

static void
set_timer (struct loop_timer *t, void (*fire) (void *arg, int64_t now_us),
           struct quarfeed *f)
{
  t->fire = fire;
  t->arg = f;
}

struct quarfeed *
quarfeed_new (const struct quarfeed_opts *opts)
{
  struct quarfeed *f = g_new0 (struct quarfeed, 1);

  f->opts = *opts;
  f->row = g_strconcat (VM_PREFIX, opts->vm, NULL);
  f->rand = g_rand_new_with_seed ((guint32)opts->seed);
  f->backoff_us = BACKOFF_FIRST_US;
  set_timer (&f->poll_timer, on_poll_timer, f);
  set_timer (&f->write_timer, on_write_timer, f);
  set_timer (&f->resend_timer, on_resend_timer, f);
  set_timer (&f->expire_timer, on_expire_timer, f);
  return f;
}

void
quarfeed_start (struct quarfeed *f, int64_t now_us)
{
  f->started_us = now_us;
  loop_arm (f->opts.loop, &f->expire_timer, now_us + EXPIRE_INTERVAL_US);
  start_poll (f, now_us);
}

void
quarfeed_stop (struct quarfeed *f)
{
  f->stopped = true;
  loop_disarm (&f->poll_timer);
  loop_disarm (&f->write_timer);
  loop_disarm (&f->resend_timer);
  loop_disarm (&f->expire_timer);
}

int
quarfeed_pending_calls (const struct quarfeed *f)
{
  return f->polling + f->writing + f->writing_key;
}

void
quarfeed_free (struct quarfeed *f)
{
  sodium_memzero (f->key, sizeof f->key);
  g_rand_free (f->rand);
  g_free (f->row);
  g_free (f);
}
