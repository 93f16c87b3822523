/*
 * Claims runner: batches operations on the platform's table.
 *
 * The table accepts several hundred writes per second in total, so writes that
 * arrive close together share one transaction (group commit).  A transaction
 * with a failed condition writes nothing: the operations in conflict get the
 * rows that they conflict with, the others go into the next transaction.
 */
#include "libserver.h"

#include <string.h>

#define TRANSACTIONS_MAX 4                      /* concurrent transactions */
#define RETRY_PAUSE_STEP_US (50 * CQ_US_PER_MS) /* grows by this per try */
#define RETRY_PAUSE_MAX_US (5 * CQ_US_PER_S)    /* between tries */
#define BUSY_TRIES_FACTOR 5 /* more tries if rate limited */

APR_RING_HEAD (claim_op_queue, claim_op);

struct claims
{
  struct claims_opts opts;     /* options passed to claims_new */
  struct claim_op_queue queue; /* operations to run, oldest first */
  int nqueued;                 /* entries in queue */
  int ntransactions;           /* transactions in progress */
  struct loop_timer timer;     /* fires when a queued operation is due */
};

/* A transaction in progress. */
struct batch
{
  struct claims *claims;      /* runner */
  struct claim_op_queue ops;  /* its operations, in order */
  int n;                      /* entries in ops and writes */
  struct table_write *writes; /* one per operation */
};

static void flush (struct claims *c);

struct claim_op *
claims_op_new (const char *key)
{
  struct claim_op *op = g_new0 (struct claim_op, 1);

  op->key = g_strdup (key);
  APR_RING_ELEM_INIT (op, link);
  return op;
}

static void
op_free (struct claim_op *op)
{
  json_decref (op->put);
  json_decref (op->row);
  g_free (op->key);
  g_free (op);
}

/* --- results --------------------------------------------------------- */

static void
run_done (void *arg)
{
  struct claim_op *op = arg;

  if (op->done != NULL)
    op->done (op, op->arg);
  op_free (op);
}

static void
complete_op (struct claim_op *op, enum claim_op_code code)
{
  op->code = code;
  if (op->home_loop == NULL)
    {
      op_free (op);
      return;
    }
  op->msg.run = run_done;
  op->msg.arg = op;
  loop_post (op->home_loop, &op->msg);
}

static void
requeue_op (struct claims *c, struct claim_op *op)
{
  APR_RING_INSERT_HEAD (&c->queue, op, claim_op, link);
  c->nqueued++;
}

static int64_t
retry_pause_us (const struct claim_op *op)
{
  int64_t pause = RETRY_PAUSE_STEP_US * op->tries;

  return pause < RETRY_PAUSE_MAX_US ? pause : RETRY_PAUSE_MAX_US;
}

/*
 * Queues an operation again that got no reply.  A write may have taken effect
 * nevertheless; then the second one conflicts with the operation's own row,
 * which the owner of the claim recognises.
 */
static void
retry_op (struct claims *c, struct claim_op *op, int tries)
{
  op->tries++;
  if (!op->retry_until_reply && op->tries >= tries)
    {
      complete_op (op, CLAIM_OP_NO_REPLY);
      return;
    }
  op->due_us = loop_now_us () + retry_pause_us (op);
  requeue_op (c, op);
}

static struct claim_op *
batch_pop (struct batch *b)
{
  struct claim_op *op = APR_RING_FIRST (&b->ops);

  APR_RING_REMOVE (op, link);
  return op;
}

static const struct table_row *
find_row (const struct table_reply *reply, int index)
{
  int i;

  for (i = 0; i < reply->nrows; i++)
    if (reply->rows[i].index == index)
      return &reply->rows[i];
  return NULL;
}

static void
complete_written (struct batch *b, const struct table_reply *reply)
{
  const struct table_row *row;
  struct claim_op *op;
  int i;

  for (i = 0; i < b->n; i++)
    {
      op = batch_pop (b);
      row = find_row (reply, i);
      op->row_version = row ? row->version : 0;
      complete_op (op, CLAIM_OP_DONE);
    }
}

static void
complete_conflicts (struct batch *b, const struct table_reply *reply)
{
  const struct table_row *row;
  struct claim_op *op;
  int i;

  for (i = 0; i < b->n; i++)
    {
      op = batch_pop (b);
      row = find_row (reply, i);
      if (row == NULL)
        {
          requeue_op (b->claims, op);
          continue;
        }
      op->row_version = row->version;
      op->row = json_incref (row->value);
      complete_op (op, CLAIM_OP_CONFLICT);
    }
}

static void
retry_batch (struct batch *b, int tries)
{
  int i;

  for (i = 0; i < b->n; i++)
    retry_op (b->claims, batch_pop (b), tries);
}

static void
on_committed (void *arg, const struct table_reply *reply)
{
  struct batch *b = arg;
  struct claims *c = b->claims;

  c->ntransactions--;
  switch (reply->code)
    {
    case TABLE_OK:
      complete_written (b, reply);
      break;
    case TABLE_CONFLICT:
      complete_conflicts (b, reply);
      break;
    case TABLE_BUSY:
      retry_batch (b, c->opts.tries * BUSY_TRIES_FACTOR);
      break;
    case TABLE_LOST:
      retry_batch (b, c->opts.tries);
      break;
    }
  g_free (b->writes);
  g_free (b);
  flush (c);
}

/* --- transactions ---------------------------------------------------- */

static void
batch_add (struct batch *b, struct claim_op *op)
{
  struct claims *c = b->claims;

  APR_RING_REMOVE (op, link);
  c->nqueued--;
  APR_RING_INSERT_TAIL (&b->ops, op, claim_op, link);
  b->writes[b->n].key = op->key;
  b->writes[b->n].version = op->version;
  b->writes[b->n].put = op->put;
  b->n++;
}

/* A new write may join any transaction before its linger time ends; a retried
   one must wait for the end of its pause. */
static bool
is_due (const struct claim_op *op, int64_t now_us)
{
  return op->tries == 0 || op->due_us <= now_us;
}

/* Moves due writes into the batch, at most one per row: two writes of one row
   in a transaction would both be checked against its old version and both
   succeed. */
static void
batch_fill (struct batch *b, int64_t now_us)
{
  struct claims *c = b->claims;
  g_autoptr (GHashTable) keys = g_hash_table_new (g_str_hash, g_str_equal);
  struct claim_op *op, *next;

  for (op = APR_RING_FIRST (&c->queue);
       op != APR_RING_SENTINEL (&c->queue, claim_op, link)
       && b->n < c->opts.batch;
       op = next)
    {
      next = APR_RING_NEXT (op, link);
      if (!op->is_read && is_due (op, now_us)
          && g_hash_table_add (keys, op->key))
        batch_add (b, op);
    }
}

static bool
batch_send (struct claims *c, int64_t now_us)
{
  struct batch *b = g_new0 (struct batch, 1);

  b->claims = c;
  b->writes = g_new0 (struct table_write, c->opts.batch);
  APR_RING_INIT (&b->ops, claim_op, link);
  batch_fill (b, now_us);
  if (b->n == 0)
    {
      g_free (b->writes);
      g_free (b);
      return false;
    }
  c->ntransactions++;
  c->opts.table.commit (c->opts.table.ctx, b->writes, b->n, on_committed, b);
  return true;
}

/* Returns the earliest time at which a queued operation may run. */
static int64_t
earliest_due_us (const struct claims *c)
{
  const struct claim_op *op;
  int64_t due = INT64_MAX;

  APR_RING_FOREACH (op, &c->queue, claim_op, link)
  {
    if (op->due_us < due)
      due = op->due_us;
  }
  return due;
}

/* --- reads ----------------------------------------------------------- */

static void
on_row_read (void *arg, const struct table_reply *reply)
{
  struct claim_op *op = arg;

  if (reply->code != TABLE_OK)
    {
      retry_op (op->claims, op, 1);
      flush (op->claims);
      return;
    }
  if (reply->nrows > 0)
    {
      op->row_version = reply->rows[0].version;
      op->row = json_incref (reply->rows[0].value);
    }
  complete_op (op, CLAIM_OP_DONE);
}

static void
start_read (struct claims *c, struct claim_op *op)
{
  c->opts.table.read (c->opts.table.ctx, op->key, on_row_read, op);
}

/* Starts the retried reads whose pause has ended. */
static void
start_due_reads (struct claims *c, int64_t now_us)
{
  struct claim_op *op, *next;

  for (op = APR_RING_FIRST (&c->queue);
       op != APR_RING_SENTINEL (&c->queue, claim_op, link); op = next)
    {
      next = APR_RING_NEXT (op, link);
      if (!op->is_read || op->due_us > now_us)
        continue;
      APR_RING_REMOVE (op, link);
      c->nqueued--;
      start_read (c, op);
    }
}

/* --- flush ----------------------------------------------------------- */

static void
flush (struct claims *c)
{
  int64_t now = loop_now_us ();

  start_due_reads (c, now);
  while (c->nqueued > 0 && c->ntransactions < TRANSACTIONS_MAX)
    if (!batch_send (c, now))
      break;
  if (c->nqueued > 0 && c->ntransactions < TRANSACTIONS_MAX)
    loop_arm (c->opts.loop, &c->timer, earliest_due_us (c));
}

static void
on_timer (void *arg, int64_t now_us)
{
  (void)now_us;
  flush (arg);
}

/* --- interface ------------------------------------------------------- */

static void
on_submitted (void *arg)
{
  struct claim_op *op = arg;
  struct claims *c = op->claims;
  int64_t now = loop_now_us ();

  if (op->is_read)
    {
      start_read (c, op);
      return;
    }
  APR_RING_INSERT_TAIL (&c->queue, op, claim_op, link);
  c->nqueued++;
  /* A single write waits at most linger_us for others; while the maximum
     number of transactions is in progress, writes queue up anyway. */
  op->due_us = now + c->opts.linger_us;
  if (c->nqueued >= c->opts.batch || c->opts.linger_us == 0)
    {
      op->due_us = now;
      flush (c);
    }
  else if (!c->timer.armed || c->timer.due_us > op->due_us)
    loop_arm (c->opts.loop, &c->timer, op->due_us);
}

/* Submits OP, which the runner frees; op->done is called on op->home_loop.
   Any thread. */
void
claims_submit (struct claims *c, struct claim_op *op)
{
  op->claims = c;
  op->msg.run = on_submitted;
  op->msg.arg = op;
  loop_post (c->opts.loop, &op->msg);
}

struct claims *
claims_new (const struct claims_opts *opts)
{
  struct claims *c = g_new0 (struct claims, 1);

  c->opts = *opts;
  APR_RING_INIT (&c->queue, claim_op, link);
  c->timer.fire = on_timer;
  c->timer.arg = c;
  return c;
}

void
claims_free (struct claims *c)
{
  struct claim_op *op;

  if (c == NULL)
    return;
  while (!APR_RING_EMPTY (&c->queue, claim_op, link))
    {
      op = APR_RING_FIRST (&c->queue);
      APR_RING_REMOVE (op, link);
      op_free (op);
    }
  loop_disarm (&c->timer);
  g_free (c);
}
