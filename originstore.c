/* Where streams began, kept in a table of the platform. */
#include "originstore.h"

#include <string.h>

#include "decide.h"
#include "log.h"
#include "met.h"
#include "peer.h"

/* A VM's rows, which it overwrites in turn. */
#define ROWS_MAX 32
#define ROW_NAME_SIZE 32
#define ENTRY_BYTES (ORIGIN_KEY_BYTES + 8 + 8)
#define COUNT_BYTES 4
/* Streams that wait to be written; the oldest are dropped. */
#define WAITING_MAX 1024
/* Shortest interval between two writes of a VM: streams take some hundred ms,
   and the last ones before a kill are to be recorded.  With many VMs it is
   longer, since the platform limits the writes of all VMs. */
#define WRITE_INTERVAL_US (50 * CQ_US_PER_MS)
#define WRITE_INTERVAL_PER_VM_US (10 * CQ_US_PER_MS)
#define RETRY_INTERVAL_US (500 * CQ_US_PER_MS)
/* Likewise between two reads of the table. */
#define READ_INTERVAL_US (250 * CQ_US_PER_MS)
#define READ_INTERVAL_PER_VM_US (30 * CQ_US_PER_MS)
/* Rows are removed so long after their last stream has expired. */
#define REMOVE_MARGIN_MS 10000
#define IDLE_CHECK_US (1 * CQ_US_PER_S)

struct originstore
{
  struct originstore_opts opts; /* as passed to originstore_new */
  GArray *row;      /* struct originstore_entry: in the row that is written */
  GArray *waiting;  /* struct originstore_entry: not yet in a row */
  int index;        /* number of that row */
  int used;         /* rows that were written */
  bool dirty;       /* the row was not written as it is */
  bool writing;     /* a write is under way */
  bool reading;     /* a read is under way */
  int64_t wrote_us; /* last write sent */
  int64_t read_us;  /* last read sent */
  int64_t added_us; /* last stream added */
  struct loop_timer timer;    /* next write, or removal of a row */
  struct origin_table *table; /* that is read into */
  void (*read_done) (void *arg, bool ok, int64_t now_us); /* after a read */
  void *read_arg;                                         /* passed to it */
  bool stopped; /* originstore_stop was called */
};

/* --- rows ------------------------------------------------------------ */

G_STATIC_ASSERT (ORIGIN_KEY_BYTES == PEER_REQUEST_BYTES);
G_STATIC_ASSERT (ORIGINSTORE_ROW_MAX == PEER_STREAMS_MAX);

GByteArray *
originstore_encode (const struct originstore_entry *entries, guint n)
{
  peer_stream list[ORIGINSTORE_ROW_MAX];
  peer_streams all = { .streams = { n, list } };
  GByteArray *out = g_byte_array_new ();
  XDR x;
  guint i;

  for (i = 0; i < n; i++)
    {
      memcpy (list[i].stream, entries[i].key.bytes, sizeof list[i].stream);
      list[i].build = entries[i].build;
      list[i].until_ms = (uint64_t)MAX (entries[i].until_ms, 0);
    }
  g_byte_array_set_size (out, COUNT_BYTES + n * ENTRY_BYTES);
  xdrmem_create (&x, (char *)out->data, out->len, XDR_ENCODE);
  if (!xdr_peer_streams (&x, &all))
    g_byte_array_set_size (out, 0);
  xdr_destroy (&x);
  return out;
}

bool
originstore_decode (const uint8_t *data, size_t len, GArray *entries)
{
  peer_streams all = { 0 };
  struct originstore_entry e;
  bool is_valid;
  XDR x;
  u_int i;

  if (len > COUNT_BYTES + (size_t)ORIGINSTORE_ROW_MAX * ENTRY_BYTES)
    return false;
  xdrmem_create (&x, (char *)data, (u_int)len, XDR_DECODE);
  is_valid = xdr_peer_streams (&x, &all);
  for (i = 0; is_valid && i < all.streams.streams_len; i++)
    {
      const peer_stream *from = &all.streams.streams_val[i];

      memcpy (e.key.bytes, from->stream, sizeof e.key.bytes);
      e.build = from->build;
      e.until_ms = (int64_t)MIN (from->until_ms, (uint64_t)G_MAXINT64 / 2);
      if (e.build != 0)
        g_array_append_val (entries, e);
    }
  xdr_destroy (&x);
  xdr_free ((xdrproc_t)xdr_peer_streams, &all);
  return is_valid;
}

static void
name_row (const struct originstore *s, int index, char *name)
{
  g_snprintf (name, ROW_NAME_SIZE, "%016" G_GINT64_MODIFIER "x/%02d",
              (guint64)s->opts.life, index);
}

/* --- writing --------------------------------------------------------- */

static void
schedule (struct originstore *s, int64_t due_us)
{
  if (!s->stopped && !s->writing && !s->timer.armed)
    loop_arm (s->opts.loop, &s->timer, due_us);
}

static int64_t
write_interval_us (const struct originstore *s)
{
  return MAX (WRITE_INTERVAL_US,
              s->opts.count_vms (s->opts.arg) * WRITE_INTERVAL_PER_VM_US);
}

/* After a write or the removal of a row. */
static void
continue_later (struct originstore *s, bool failed, int64_t now_us)
{
  if (failed)
    schedule (s, now_us + RETRY_INTERVAL_US);
  else if (s->dirty || s->waiting->len > 0)
    schedule (s, s->wrote_us + write_interval_us (s));
  else if (s->used > 0)
    schedule (s, now_us + IDLE_CHECK_US);
}

static void
on_written (void *arg, const struct rowstore_reply *reply)
{
  struct originstore *s = arg;
  bool failed = reply->status != ROWSTORE_OK;

  s->writing = false;
  met_add (failed ? MET_STREAM_WRITES_FAILED : MET_STREAM_WRITES, 1);
  s->dirty |= failed;
  if (!failed && s->row->len == ORIGINSTORE_ROW_MAX)
    {
      g_array_set_size (s->row, 0);
      s->index = (s->index + 1) % ROWS_MAX;
    }
  continue_later (s, failed, loop_now_us ());
}

static void
write_row (struct originstore *s, int64_t now_us)
{
  guint n = MIN (ORIGINSTORE_ROW_MAX - s->row->len, s->waiting->len);
  g_autoptr (GByteArray) value = NULL;
  char name[ROW_NAME_SIZE];

  g_array_append_vals (s->row, s->waiting->data, n);
  g_array_remove_range (s->waiting, 0, n);
  value = originstore_encode (
      (const struct originstore_entry *)(void *)s->row->data, s->row->len);
  name_row (s, s->index, name);
  s->used = MAX (s->used, s->index + 1);
  s->dirty = false;
  s->writing = true;
  s->wrote_us = now_us;
  s->opts.ops.write (s->opts.ops.ctx, name, value, ROWSTORE_ANY_VERSION,
                     on_written, s);
}

static void
on_own_removed (void *arg, const struct rowstore_reply *reply)
{
  struct originstore *s = arg;
  bool failed = reply->status != ROWSTORE_OK;

  s->writing = false;
  if (!failed)
    s->used--;
  continue_later (s, failed, loop_now_us ());
}

/* Once all streams of this VM have expired, its rows are of no use. */
static void
remove_own_row (struct originstore *s)
{
  char name[ROW_NAME_SIZE];

  g_array_set_size (s->row, 0);
  s->index = 0;
  name_row (s, s->used - 1, name);
  s->writing = true;
  s->opts.ops.write (s->opts.ops.ctx, name, NULL, ROWSTORE_ANY_VERSION,
                     on_own_removed, s);
}

static void
on_timer (void *arg, int64_t now_us)
{
  struct originstore *s = arg;

  if (s->dirty || s->waiting->len > 0)
    write_row (s, now_us);
  else if (s->used > 0 && now_us - s->added_us > ORIGIN_KEEP_MAX_US)
    remove_own_row (s);
  else
    continue_later (s, false, now_us);
}

void
originstore_add (struct originstore *s, const struct origin_key *key,
                 uint64_t build, int64_t keep_us, int64_t now_us)
{
  int64_t now_ms = s->opts.clock_ms (s->opts.arg, now_us);
  struct originstore_entry e = { .key = *key, .build = build };

  if (now_ms <= 0 || s->stopped)
    return;
  e.until_ms = now_ms + keep_us / CQ_US_PER_MS;
  if (s->waiting->len >= WAITING_MAX)
    g_array_remove_index (s->waiting, 0);
  g_array_append_val (s->waiting, e);
  s->added_us = now_us;
  /* An idle check may be due later. */
  if (!s->writing)
    loop_disarm (&s->timer);
  schedule (s, MAX (now_us, s->wrote_us + write_interval_us (s)));
}

/* --- reading --------------------------------------------------------- */

static void
on_row_removed (void *arg, const struct rowstore_reply *reply)
{
  struct originstore *s = arg;

  (void)reply;
  s->writing = false;
  continue_later (s, false, loop_now_us ());
}

/* Removes a row of a VM that was killed; one at each read. */
static void
remove_expired (struct originstore *s, const struct rowstore_row *row)
{
  if (s->writing || s->stopped)
    return;
  loop_disarm (&s->timer);
  s->writing = true;
  s->opts.ops.write (s->opts.ops.ctx, row->key, NULL, row->version,
                     on_row_removed, s);
}

static void
apply_row (struct originstore *s, const struct rowstore_row *row,
           int64_t now_us)
{
  g_autoptr (GArray) entries
      = g_array_new (FALSE, FALSE, sizeof (struct originstore_entry));
  int64_t now_ms = s->opts.clock_ms (s->opts.arg, now_us);
  const struct originstore_entry *e;
  int64_t last_ms = 0;
  guint i;

  if (row->value == NULL || now_ms <= 0)
    return;
  if (!originstore_decode (row->value->data, row->value->len, entries))
    {
      met_add (MET_ROWS_INVALID, 1);
      return;
    }
  for (i = 0; i < entries->len; i++)
    {
      e = &g_array_index (entries, struct originstore_entry, i);
      last_ms = MAX (last_ms, e->until_ms);
      if (e->until_ms > now_ms)
        origin_put (
            s->table, &e->key, e->build,
            MIN (e->until_ms - now_ms, ORIGIN_KEEP_MAX_US / CQ_US_PER_MS)
                * CQ_US_PER_MS,
            now_us);
    }
  if (last_ms + REMOVE_MARGIN_MS < now_ms)
    remove_expired (s, row);
}

static void
on_read (void *arg, const struct rowstore_reply *reply)
{
  struct originstore *s = arg;
  int64_t now = loop_now_us ();
  bool ok = reply->status == ROWSTORE_OK;
  guint i;

  s->reading = false;
  if (ok)
    met_add (MET_ROWS_INVALID, reply->skipped);
  for (i = 0; ok && i < reply->rows->len; i++)
    apply_row (s, &g_array_index (reply->rows, struct rowstore_row, i), now);
  log_event (LOG_LEVEL_INFO, "streams_read",
             "outcome=%s rows=%u took_us=%" G_GINT64_FORMAT,
             ok ? "read" : "failed", reply->rows->len,
             (gint64)(now - s->read_us));
  if (!s->stopped)
    s->read_done (s->read_arg, ok, now);
}

bool
originstore_recall (struct originstore *s, struct origin_table *table,
                    void (*done) (void *arg, bool ok, int64_t now_us),
                    void *arg, int64_t now_us)
{
  int64_t interval = MAX (READ_INTERVAL_US, s->opts.count_vms (s->opts.arg)
                                                * READ_INTERVAL_PER_VM_US);

  if (s->stopped)
    return false;
  if (s->reading)
    return true;
  if (s->read_us != 0 && now_us - s->read_us < interval)
    return false;
  s->table = table;
  s->read_done = done;
  s->read_arg = arg;
  s->reading = true;
  s->read_us = now_us;
  s->opts.ops.read (s->opts.ops.ctx, on_read, s);
  return true;
}

/* --- lifecycle ------------------------------------------------------- */

struct originstore *
originstore_new (const struct originstore_opts *opts)
{
  struct originstore *s = g_new0 (struct originstore, 1);

  s->opts = *opts;
  s->row = g_array_new (FALSE, FALSE, sizeof (struct originstore_entry));
  s->waiting = g_array_new (FALSE, FALSE, sizeof (struct originstore_entry));
  s->timer.fire = on_timer;
  s->timer.arg = s;
  return s;
}

void
originstore_stop (struct originstore *s)
{
  s->stopped = true;
  loop_disarm (&s->timer);
}

void
originstore_free (struct originstore *s)
{
  g_array_unref (s->row);
  g_array_unref (s->waiting);
  g_free (s);
}

int
originstore_pending_calls (const struct originstore *s)
{
  return s->writing + s->reading;
}
