/* Evidence against requests that crash endpoints, shared with other VMs. */
#include "quarfeed.h"

#include <sodium.h>
#include <string.h>

#include "decide.h"
#include "log.h"
#include "met.h"

/* Names of rows: one of each VM, and that of the key for datagrams. */
#define VM_PREFIX "vm/"
#define KEY_ROW "key"

/* A poll in calm, of which a fifth is drawn: all VMs start together.  The
   platform holds one for 30 s at most. */
#define WAIT_US (25 * CQ_US_PER_S)
#define WAIT_SPREAD 5
/* A poll while endpoints crash, or no key is known: its connection may have
   gone silent, and nothing else shows that. */
#define WAIT_ALERT_US (2 * CQ_US_PER_S)
#define ALERT_US (10 * CQ_US_PER_S)
/* Between the starts of two polls, and between two writes: each crash brings
   as many rows as VMs saw it, and what is not heard by poll is heard by
   datagram.
 */
#define POLL_GAP_US (1 * CQ_US_PER_S)
#define WRITE_GAP_US (300 * CQ_US_PER_MS)
/* After a failed call, doubled up to the longest, and as much again drawn. */
#define PAUSE_FIRST_US (100 * CQ_US_PER_MS)
#define PAUSE_MAX_US (2 * CQ_US_PER_S)
/* A VM that has not read the table serves after this all the same: it must not
   be out of service for the sake of a single request. */
#define KNOWN_MAX_US (1 * CQ_US_PER_S)
/* Datagrams get lost: the same again after these pauses. */
#define AGAIN_US (200 * CQ_US_PER_MS)
#define AGAIN_TIMES 4
/* Between looks for facts that are too old. */
#define EXPIRE_US (10 * CQ_US_PER_S)
/* A fact from later than this says that a clock is wrong. */
#define AHEAD_MAX_MS 2000

struct quarfeed
{
  struct quarfeed_opts opts;       /* as made */
  char *row;                       /* name of this VM's row */
  uint8_t key[QUARWIRE_KEY_BYTES]; /* for datagrams */
  bool has_key;                    /* it is known */
  bool known;                      /* the table was read */
  int64_t version;                 /* to ask for changes after */
  int64_t started_us;              /* began to ask */
  int64_t asked_us;                /* the last poll was sent */
  int64_t wrote_us;                /* the last write was sent */
  int64_t alert_us;                /* something new was heard */
  int64_t pause_us;                /* after the next failure */
  GRand *rand;                     /* for pauses */
  struct loop_timer poll;          /* next poll */
  struct loop_timer put;           /* next write */
  struct loop_timer again;         /* next datagram */
  struct loop_timer expire;        /* next look for old facts */
  int agains;                      /* datagrams left to send */
  bool polling;                    /* a poll is under way */
  bool writing;                    /* a write is under way */
  bool offering;                   /* a key is being written */
  bool reread;                     /* the next poll reads all */
  bool whole;                      /* the poll under way does */
  bool key_listed;                 /* the key was among the rows of a read */
  bool dirty;                      /* the row says less than is known */
  guint written; /* facts in the row as it was written last */
  bool stopped;  /* asks and tells nothing more */
};

static int64_t
drawn (struct quarfeed *f, int64_t us)
{
  return us + g_rand_int_range (f->rand, 0, (gint32)us);
}

/* --- facts ----------------------------------------------------------- */

/* A fact of the future would stay newer than any answer, and hold for longer
   than it should. */
static bool
take_fact (struct quarfeed *f, const struct quar_fact *fact, bool own,
           int64_t now_us)
{
  int64_t now_ms = f->opts.clock_ms (f->opts.arg, now_us);
  struct quar_fact g = *fact;

  if (now_ms > 0 && g.crash.at_ms > now_ms + AHEAD_MAX_MS)
    g.crash.at_ms = now_ms;
  return quar_take (f->opts.quar, &g, own);
}

static guint
take_facts (struct quarfeed *f, const GArray *facts, bool own,
            const char *source, int64_t now_us)
{
  guint i, news = 0;

  for (i = 0; i < facts->len; i++)
    news += take_fact (f, &g_array_index (facts, struct quar_fact, i), own,
                       now_us);
  if (news == 0)
    return 0;
  f->alert_us = now_us;
  log_event (LOG_LEVEL_INFO, "evidence",
             "source=%s outcome=taken facts=%u of=%u", source, news,
             facts->len);
  return news;
}

/* --- datagrams ------------------------------------------------------- */

/* What this VM saw, and all of the requests that matter most: a VM that missed
   the datagrams of others gets it from whoever has it. */
static void
send_facts (struct quarfeed *f)
{
  g_autoptr (GArray) facts
      = g_array_new (FALSE, FALSE, sizeof (struct quar_fact));
  g_autoptr (GByteArray) datagram = NULL;

  if (f->opts.send == NULL || !f->has_key)
    return;
  quar_worst (f->opts.quar, facts, QUARWIRE_DATAGRAM_MAX / 2);
  quar_own (f->opts.quar, facts, QUARWIRE_DATAGRAM_MAX);
  if (facts->len == 0)
    return;
  datagram = quarwire_seal (facts, f->key);
  f->opts.send (f->opts.arg, datagram);
}

static void
on_again (void *arg, int64_t now_us)
{
  struct quarfeed *f = arg;

  send_facts (f);
  if (--f->agains > 0)
    loop_arm (f->opts.loop, &f->again, now_us + AGAIN_US);
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
    take_facts (f, facts, false, "datagram", now_us);
  return true;
}

/* --- this VM's row --------------------------------------------------- */

static void write_row (struct quarfeed *f, int64_t now_us);

static void
plan_write (struct quarfeed *f, int64_t due_us)
{
  if (!f->stopped && !f->writing && !f->put.armed)
    loop_arm (f->opts.loop, &f->put, due_us);
}

static void
on_written (void *arg, const struct quar_rows *rows)
{
  struct quarfeed *f = arg;
  int64_t now = loop_now_us ();

  f->writing = false;
  f->dirty |= rows->code != QUAR_ROWS_OK;
  log_event (LOG_LEVEL_INFO, "evidence",
             "source=table outcome=%s facts=%u took_us=%" G_GINT64_FORMAT,
             rows->code == QUAR_ROWS_OK ? "written" : "not_written",
             f->written, (gint64)(now - f->wrote_us));
  if (f->dirty)
    plan_write (f, rows->code == QUAR_ROWS_OK ? f->wrote_us + WRITE_GAP_US
                                              : now + drawn (f, WRITE_GAP_US));
}

static void
write_row (struct quarfeed *f, int64_t now_us)
{
  g_autoptr (GArray) facts
      = g_array_new (FALSE, FALSE, sizeof (struct quar_fact));
  g_autoptr (GByteArray) value = NULL;

  /* What an earlier process of this VM wrote must be read first, or it would
     be written over.  After a write that is under way this is planned anew. */
  if (!f->known || f->writing)
    return;
  quar_own (f->opts.quar, facts, QUARWIRE_ROW_MAX);
  if (facts->len > 0)
    value = quarwire_encode (facts, QUARWIRE_ROW_MAX);
  f->dirty = false;
  if (facts->len == 0 && f->written == 0)
    return;
  f->writing = true;
  f->wrote_us = now_us;
  f->written = facts->len;
  f->opts.ops.write (f->opts.ops.ctx, f->row, value, QUAR_ANY_VERSION,
                     on_written, f);
}

static void
on_put (void *arg, int64_t now_us)
{
  write_row (arg, now_us);
}

void
quarfeed_changed (struct quarfeed *f, int64_t now_us)
{
  f->alert_us = now_us;
  f->dirty = true;
  f->agains = AGAIN_TIMES;
  if (f->stopped)
    return;
  if (!f->again.armed)
    on_again (f, now_us);
  if (f->known)
    plan_write (f, MAX (now_us, f->wrote_us + WRITE_GAP_US));
}

/* --- the key --------------------------------------------------------- */

static void
take_key (struct quarfeed *f, const struct quar_row *row)
{
  if (row->value == NULL || row->value->len != sizeof f->key)
    return;
  memcpy (f->key, row->value->data, sizeof f->key);
  f->has_key = true;
  f->key_listed = true;
}

static void
on_offered (void *arg, const struct quar_rows *rows)
{
  struct quarfeed *f = arg;
  guint i;

  f->offering = false;
  /* Whoever was first gave the key; of a call without an answer the next poll
     tells. */
  for (i = 0; rows->code == QUAR_ROWS_CONFLICT && i < rows->rows->len; i++)
    if (strcmp (g_array_index (rows->rows, struct quar_row, i).key, KEY_ROW)
        == 0)
      take_key (f, &g_array_index (rows->rows, struct quar_row, i));
  if (rows->code == QUAR_ROWS_OK)
    f->has_key = f->key_listed = true;
}

/* The platform holds it, as it holds all that VMs share. */
static void
offer_key (struct quarfeed *f)
{
  g_autoptr (GByteArray) value = NULL;

  if ((f->has_key && f->key_listed) || f->offering || f->stopped)
    return;
  f->offering = true;
  if (!f->has_key)
    randombytes_buf (f->key, sizeof f->key);
  value = g_byte_array_new ();
  g_byte_array_append (value, f->key, sizeof f->key);
  f->opts.ops.write (f->opts.ops.ctx, KEY_ROW, value, 0, on_offered, f);
}

/* --- rows ------------------------------------------------------------ */

static void
on_collected (void *arg, const struct quar_rows *rows)
{
  struct quarfeed *f = arg;

  (void)rows;
  f->writing = false;
  if (f->dirty)
    plan_write (f, loop_now_us ());
}

/* Rows of VMs that were replaced say nothing any more after a time, and nobody
   else removes them.  One at a time, by whoever reads all: a VM that starts.
 */
static void
collect (struct quarfeed *f, const struct quar_row *row)
{
  if (!f->whole || f->writing || strcmp (row->key, f->row) == 0)
    return;
  f->writing = true;
  f->opts.ops.write (f->opts.ops.ctx, row->key, NULL, row->version,
                     on_collected, f);
}

static void
take_row (struct quarfeed *f, const struct quar_row *row, int64_t now_us)
{
  g_autoptr (GArray) facts
      = g_array_new (FALSE, FALSE, sizeof (struct quar_fact));
  bool own = strcmp (row->key, f->row) == 0;
  int64_t now_ms = f->opts.clock_ms (f->opts.arg, now_us);

  if (strcmp (row->key, KEY_ROW) == 0)
    take_key (f, row);
  if (row->value == NULL || !g_str_has_prefix (row->key, VM_PREFIX))
    return;
  if (!quarwire_decode (row->value->data, row->value->len, facts))
    {
      met_add (MET_ROWS_INVALID, 1);
      log_event (LOG_LEVEL_WARNING, "evidence",
                 "source=table outcome=unreadable row=%s", row->key);
      return;
    }
  /* Of an earlier process of this VM; later its own writes come back. */
  if (own && !f->known)
    f->written = facts->len;
  take_facts (f, facts, own && !f->known, "table", now_us);
  if (now_ms > 0 && quar_is_old (facts, now_ms))
    collect (f, row);
}

/* --- polls ----------------------------------------------------------- */

static void ask (struct quarfeed *f, int64_t now_us);

static void
on_rows (void *arg, const struct quar_rows *rows)
{
  struct quarfeed *f = arg;
  int64_t now = loop_now_us ();
  guint i;

  f->polling = false;
  if (f->stopped)
    return;
  /* What was lost with it may be this VM's own row. */
  if (rows->code == QUAR_ROWS_HISTORY_LOST)
    {
      f->reread = true;
      f->dirty = true;
    }
  if (rows->code != QUAR_ROWS_OK)
    {
      f->reread |= !f->key_listed;
      loop_arm (f->opts.loop, &f->poll, now + drawn (f, f->pause_us));
      f->pause_us = MIN (2 * f->pause_us, PAUSE_MAX_US);
      return;
    }
  f->pause_us = PAUSE_FIRST_US;
  for (i = 0; i < rows->rows->len; i++)
    take_row (f, &g_array_index (rows->rows, struct quar_row, i), now);
  f->version = MAX (rows->version, 1);
  /* Without the platform's clock no row could be told to be old. */
  f->reread |= f->whole && f->opts.clock_ms (f->opts.arg, now) == 0;
  if (!f->known)
    log_event (LOG_LEVEL_INFO, "evidence",
               "source=table outcome=known rows=%u took_us=%" G_GINT64_FORMAT,
               rows->rows->len, (gint64)(now - f->started_us));
  f->known = true;
  offer_key (f);
  if (f->dirty)
    plan_write (f, now);
  loop_arm (f->opts.loop, &f->poll, MAX (now, f->asked_us + POLL_GAP_US));
}

static int64_t
wait_us (struct quarfeed *f, int64_t now_us)
{
  if (!f->has_key || (f->alert_us != 0 && now_us - f->alert_us < ALERT_US))
    return WAIT_ALERT_US;
  return WAIT_US - g_rand_int_range (f->rand, 0, WAIT_US / WAIT_SPREAD);
}

static void
ask (struct quarfeed *f, int64_t now_us)
{
  const struct quar_ops *o = &f->opts.ops;

  if (f->polling || f->stopped)
    return;
  f->polling = true;
  f->asked_us = now_us;
  f->whole = f->version == 0 || f->reread;
  if (f->whole)
    {
      f->reread = false;
      f->key_listed = false;
      o->read (o->ctx, on_rows, f);
    }
  else
    o->changes (o->ctx, f->version, wait_us (f, now_us), on_rows, f);
}

/* A poll that is under way may go on waiting in the new era; the read comes
   after it. */
void
quarfeed_older_copy (struct quarfeed *f, int64_t now_us)
{
  f->reread = true;
  f->dirty = true;
  f->alert_us = now_us;
  if (f->known)
    plan_write (f, now_us);
}

static void
on_poll (void *arg, int64_t now_us)
{
  ask (arg, now_us);
}

static void
on_expire (void *arg, int64_t now_us)
{
  struct quarfeed *f = arg;
  int64_t now_ms = f->opts.clock_ms (f->opts.arg, now_us);

  if (now_ms > 0 && quar_any (f->opts.quar))
    {
      quar_expire (f->opts.quar, now_ms);
      /* The row shrinks with what is kept. */
      if (quar_count_own (f->opts.quar) != f->written)
        plan_write (f, now_us);
    }
  loop_arm (f->opts.loop, &f->expire, now_us + EXPIRE_US);
}

bool
quarfeed_known (const struct quarfeed *f, int64_t now_us)
{
  return f->known || now_us - f->started_us > KNOWN_MAX_US;
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
  f->pause_us = PAUSE_FIRST_US;
  set_timer (&f->poll, on_poll, f);
  set_timer (&f->put, on_put, f);
  set_timer (&f->again, on_again, f);
  set_timer (&f->expire, on_expire, f);
  return f;
}

void
quarfeed_start (struct quarfeed *f, int64_t now_us)
{
  f->started_us = now_us;
  loop_arm (f->opts.loop, &f->expire, now_us + EXPIRE_US);
  ask (f, now_us);
}

void
quarfeed_stop (struct quarfeed *f)
{
  f->stopped = true;
  loop_disarm (&f->poll);
  loop_disarm (&f->put);
  loop_disarm (&f->again);
  loop_disarm (&f->expire);
}

int
quarfeed_waiting (const struct quarfeed *f)
{
  return f->polling + f->writing + f->offering;
}

void
quarfeed_free (struct quarfeed *f)
{
  sodium_memzero (f->key, sizeof f->key);
  g_rand_free (f->rand);
  g_free (f->row);
  g_free (f);
}
