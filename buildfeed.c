/* The builds that served lately, kept in a table of the platform. */
#include "buildfeed.h"

#include <stdlib.h>
#include <string.h>

#include "decide.h"
#include "log.h"
#include "met.h"
#include "peer.h"

/* The row of a build is named by its key in hexadecimal. */
#define KEY_SIZE 17
#define KEY_BASE 16
/* Encoded, with both names of the largest size. */
#define ROW_MAX_BYTES 256
/* That the last endpoint has left is recorded after this time, since entries
   can lapse and come back. */
#define LEFT_DELAY_US (5 * CQ_US_PER_S)
/* Backoff after a failed call: doubled at each failure up to the maximum, plus
   as much again of jitter. */
#define BACKOFF_FIRST_US (100 * CQ_US_PER_MS)
#define BACKOFF_MAX_US (2 * CQ_US_PER_S)

/* What a row says. */
enum row_state
{
  ROW_NONE,    /* there is none */
  ROW_SERVING, /* the build serves */
  ROW_LEFT     /* its last endpoint has left */
};

struct buildfeed
{
  struct buildfeed_opts opts; /* as passed to buildfeed_new */
  GHashTable *rows;           /* key to enum row_state */
  GRand *rand;                /* for the jitter */
  struct loop_timer timer;    /* checks again after a call */
  bool is_read;               /* the table was read */
  bool calling;               /* a call is under way */
  int reading;                /* calls of buildfeed_read under way */
  uint64_t writing;           /* key that it writes */
  enum row_state written;     /* what it writes */
  int64_t backoff_us;         /* after the next failure */
  int64_t due_us;             /* no call before then */
  bool stopped;               /* buildfeed_stop was called */
};

/* --- rows ------------------------------------------------------------ */

GByteArray *
buildfeed_encode (const struct fleet_build *b, int64_t left_ms)
{
  peer_build row
      = { (char *)b->service, (char *)b->name, (uint64_t)MAX (left_ms, 0) };
  GByteArray *out = g_byte_array_new ();
  char buf[ROW_MAX_BYTES];
  XDR x;

  xdrmem_create (&x, buf, sizeof buf, XDR_ENCODE);
  if (xdr_peer_build (&x, &row))
    g_byte_array_append (out, (const guint8 *)buf, xdr_getpos (&x));
  xdr_destroy (&x);
  return out;
}

bool
buildfeed_decode (const uint8_t *data, size_t len, struct fleet_build *b,
                  int64_t *left_ms)
{
  peer_build row = { 0 };
  bool is_valid;
  XDR x;

  if (len > ROW_MAX_BYTES)
    return false;
  xdrmem_create (&x, (char *)data, (u_int)len, XDR_DECODE);
  is_valid = xdr_peer_build (&x, &row) && row.left_ms <= G_MAXINT64 / 2
             && row.service[0] != '\0';
  xdr_destroy (&x);
  if (is_valid)
    {
      memset (b, 0, sizeof *b);
      g_strlcpy (b->service, row.service, sizeof b->service);
      g_strlcpy (b->name, row.name, sizeof b->name);
      *left_ms = (int64_t)row.left_ms;
    }
  xdr_free ((xdrproc_t)xdr_peer_build, &row);
  return is_valid;
}

static enum row_state
state_of (const struct buildfeed *f, uint64_t key)
{
  return (enum row_state)GPOINTER_TO_INT (g_hash_table_lookup (f->rows, &key));
}

static void
set_state (struct buildfeed *f, uint64_t key, enum row_state state)
{
  uint64_t *copy;

  if (state == ROW_NONE)
    {
      g_hash_table_remove (f->rows, &key);
      return;
    }
  copy = g_new (uint64_t, 1);
  *copy = key;
  g_hash_table_replace (f->rows, copy, GINT_TO_POINTER (state));
}

/* --- reading --------------------------------------------------------- */

static int64_t
next_backoff (struct buildfeed *f)
{
  int64_t us
      = f->backoff_us + g_rand_int_range (f->rand, 0, (gint32)f->backoff_us);

  f->backoff_us = MIN (2 * f->backoff_us, BACKOFF_MAX_US);
  return us;
}

/* A build that served at the last write may have left at any time since; when
   one that this VM knew left, it knows from the list of endpoints. */
static void
apply_left (struct fleet_build *b, int64_t left_ms, int64_t now_ms,
            int64_t now_us)
{
  int64_t ago_us
      = left_ms > 0 && now_ms > left_ms ? (now_ms - left_ms) * 1000 : 0;

  if (!b->listed && (left_ms > 0 || b->left_us == 0))
    b->left_us = MAX (b->left_us, MAX (now_us - ago_us, 1));
}

static void
apply_row (struct buildfeed *f, const struct rowstore_row *row, int64_t now_us)
{
  struct fleet *fleet = f->opts.fleet;
  uint64_t key = strtoull (row->key, NULL, KEY_BASE);
  struct fleet_build read;
  struct fleet_build *b;
  int64_t left_ms;

  if (row->value == NULL)
    return;
  if (key == 0
      || !buildfeed_decode (row->value->data, row->value->len, &read,
                            &left_ms))
    {
      met_add (MET_ROWS_INVALID, 1);
      log_event (LOG_LEVEL_WARNING, "builds", "outcome=unreadable row=%s",
                 row->key);
      return;
    }
  set_state (f, key, left_ms > 0 ? ROW_LEFT : ROW_SERVING);
  b = fleet_add_build (fleet, key, read.service, read.name);
  apply_left (b, left_ms, f->opts.clock_ms (f->opts.arg, now_us), now_us);
}

static void
on_timer (void *arg, int64_t now_us)
{
  buildfeed_check (arg, now_us);
}

static void
check_later (struct buildfeed *f, int64_t due_us)
{
  f->due_us = due_us;
  if (!f->stopped)
    loop_arm (f->opts.loop, &f->timer, due_us);
}

static void
apply_rows (struct buildfeed *f, const struct rowstore_reply *reply,
            int64_t now_us)
{
  guint i;

  fleet_update_builds (f->opts.fleet, now_us);
  met_add (MET_ROWS_INVALID, reply->skipped);
  for (i = 0; i < reply->rows->len; i++)
    apply_row (f, &g_array_index (reply->rows, struct rowstore_row, i),
               now_us);
  f->is_read = true;
  f->opts.fleet->builds_unread = false;
}

static void
on_read (void *arg, const struct rowstore_reply *reply)
{
  struct buildfeed *f = arg;
  int64_t now = loop_now_us ();

  f->calling = false;
  if (reply->status != ROWSTORE_OK)
    {
      check_later (f, now + next_backoff (f));
      return;
    }
  f->backoff_us = BACKOFF_FIRST_US;
  apply_rows (f, reply, now);
  log_event (LOG_LEVEL_INFO, "builds", "outcome=read rows=%u known=%d",
             reply->rows->len, f->opts.fleet->nbuilds);
  check_later (f, now);
}

/* A read on demand. */
struct reading
{
  struct buildfeed *feed; /* owner */
  void (*done) (void *arg, bool ok,
                int64_t now_us); /* called with the result */
  void *arg;                     /* passed to done */
};

static void
on_read_again (void *arg, const struct rowstore_reply *reply)
{
  struct reading *r = arg;
  int64_t now = loop_now_us ();
  bool ok = reply->status == ROWSTORE_OK;

  r->feed->reading--;
  if (ok)
    apply_rows (r->feed, reply, now);
  r->done (r->arg, ok, now);
  g_free (r);
}

void
buildfeed_read (struct buildfeed *f,
                void (*done) (void *arg, bool ok, int64_t now_us), void *arg)
{
  struct reading *r = g_new0 (struct reading, 1);

  r->feed = f;
  r->done = done;
  r->arg = arg;
  f->reading++;
  f->opts.ops.read (f->opts.ops.ctx, on_read_again, r);
}

/* --- writing --------------------------------------------------------- */

static void
on_written (void *arg, const struct rowstore_reply *reply)
{
  struct buildfeed *f = arg;
  int64_t now = loop_now_us ();
  bool ok = reply->status == ROWSTORE_OK;

  f->calling = false;
  log_event (LOG_LEVEL_INFO, "builds",
             "outcome=%s row=%016" G_GINT64_MODIFIER "x state=%d",
             ok ? "written" : "not_written", (guint64)f->writing,
             (int)f->written);
  if (ok)
    {
      set_state (f, f->writing, f->written);
      f->backoff_us = BACKOFF_FIRST_US;
    }
  check_later (f, ok ? now : now + next_backoff (f));
}

static void
write_row (struct buildfeed *f, uint64_t key, enum row_state state,
           const GByteArray *value)
{
  char name[KEY_SIZE];

  g_snprintf (name, sizeof name, "%016" G_GINT64_MODIFIER "x", (guint64)key);
  f->calling = true;
  f->writing = key;
  f->written = state;
  f->opts.ops.write (f->opts.ops.ctx, name, value, ROWSTORE_ANY_VERSION,
                     on_written, f);
}

/* What the row of B should say. */
static enum row_state
wanted_state (const struct fleet_build *b, int64_t now_us)
{
  return !b->listed && now_us - b->left_us >= LEFT_DELAY_US ? ROW_LEFT
                                                            : ROW_SERVING;
}

static void
write_build (struct buildfeed *f, const struct fleet_build *b, int64_t now_us)
{
  enum row_state state = wanted_state (b, now_us);
  int64_t now_ms = f->opts.clock_ms (f->opts.arg, now_us);
  g_autoptr (GByteArray) value = NULL;

  /* Without the platform's clock, the time cannot be written. */
  if (state == ROW_LEFT && now_ms <= 0)
    return;
  value = buildfeed_encode (
      b, state == ROW_LEFT ? now_ms - (now_us - b->left_us) / 1000 : 0);
  write_row (f, b->key, state, value);
}

/* The row of a build that was forgotten, 0 if there is none. */
static uint64_t
find_forgotten (const struct buildfeed *f)
{
  const struct fleet_build *b;
  GHashTableIter it;
  gpointer key;
  bool known;

  g_hash_table_iter_init (&it, f->rows);
  while (g_hash_table_iter_next (&it, &key, NULL))
    {
      known = false;
      APR_RING_FOREACH (b, &f->opts.fleet->builds, fleet_build, link)
      known |= b->key == *(uint64_t *)key;
      if (!known)
        return *(uint64_t *)key;
    }
  return 0;
}

static void
write_change (struct buildfeed *f, int64_t now_us)
{
  const struct fleet_build *b;
  uint64_t forgotten;

  APR_RING_FOREACH (b, &f->opts.fleet->builds, fleet_build, link)
  {
    if (state_of (f, b->key) != wanted_state (b, now_us))
      {
        write_build (f, b, now_us);
        return;
      }
  }
  forgotten = find_forgotten (f);
  if (forgotten != 0)
    write_row (f, forgotten, ROW_NONE, NULL);
}

/* --- interface ------------------------------------------------------- */

void
buildfeed_check (struct buildfeed *f, int64_t now_us)
{
  if (f->stopped || f->calling || now_us < f->due_us || !f->opts.fleet->listed)
    return;
  if (!f->is_read)
    {
      f->calling = true;
      f->opts.ops.read (f->opts.ops.ctx, on_read, f);
      return;
    }
  fleet_update_builds (f->opts.fleet, now_us);
  if (f->opts.may_write (f->opts.arg, now_us))
    write_change (f, now_us);
}

/* What this VM knows stays known; it is merged with the restored rows. */
void
buildfeed_store_restored (struct buildfeed *f, int64_t now_us)
{
  fleet_builds_restored (f->opts.fleet, now_us);
  g_hash_table_remove_all (f->rows);
  f->is_read = false;
  buildfeed_check (f, now_us);
}

struct buildfeed *
buildfeed_new (const struct buildfeed_opts *opts)
{
  struct buildfeed *f = g_new0 (struct buildfeed, 1);

  f->opts = *opts;
  f->rows = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  f->rand = g_rand_new_with_seed ((guint32)opts->seed);
  f->backoff_us = BACKOFF_FIRST_US;
  f->timer.fire = on_timer;
  f->timer.arg = f;
  opts->fleet->builds_unread = true;
  return f;
}

void
buildfeed_stop (struct buildfeed *f)
{
  f->stopped = true;
  loop_disarm (&f->timer);
}

void
buildfeed_free (struct buildfeed *f)
{
  g_rand_free (f->rand);
  g_hash_table_destroy (f->rows);
  g_free (f);
}

int
buildfeed_pending_calls (const struct buildfeed *f)
{
  return f->calling + f->reading;
}
