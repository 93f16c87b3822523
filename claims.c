/*
 * Claims runner: operations on the platform's table, several to a
 * transaction.
 *
 * The table takes several hundred writes a second in all, so writes that come
 * close together share one transaction (group commit).  A transaction whose
 * condition fails writes nothing: the operations in conflict get their rows,
 * the others go into the next transaction.
 */
#include "libserver.h"

#include <string.h>

#define MAX_IN_FLIGHT 4                      /* transactions at once */
#define RETRY_PAUSE_US (50 * CQ_US_PER_MS)   /* after a lost or refused one */
#define RETRY_PAUSE_MAX_US (5 * CQ_US_PER_S) /* longest pause */
#define BUSY_FACTOR 5 /* tries while the table is busy */

APR_RING_HEAD (op_ring, claim_op);

struct claims
{
  struct claims_opts opts; /* how it was made */
  struct op_ring waiting;  /* writes to be done, oldest first */
  int nwaiting;            /* their number */
  int in_flight;           /* transactions under way */
  struct loop_timer timer; /* lingering and pauses */
};

/* A transaction under way. */
struct batch
{
  struct claims *claims;      /* its runner */
  struct op_ring ops;         /* its operations, in order */
  int n;                      /* their number */
  struct table_write *writes; /* one for each */
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
deliver (void *arg)
{
  struct claim_op *op = arg;

  if (op->done != NULL)
    op->done (op, op->arg);
  op_free (op);
}

static void
complete (struct claim_op *op, enum claim_op_code code)
{
  op->code = code;
  if (op->home_loop == NULL)
    {
      op_free (op);
      return;
    }
  op->msg.run = deliver;
  op->msg.arg = op;
  loop_post (op->home_loop, &op->msg);
}

static void
push_front (struct claims *c, struct claim_op *op)
{
  APR_RING_INSERT_HEAD (&c->waiting, op, claim_op, link);
  c->nwaiting++;
}

static int64_t
pause_after (const struct claim_op *op)
{
  int64_t pause = RETRY_PAUSE_US * op->tries;

  return pause < RETRY_PAUSE_MAX_US ? pause : RETRY_PAUSE_MAX_US;
}

/*
 * No reply: the write may have taken effect.  The same write is sent again;
 * if the first one did, its own row comes back as a conflict and the claim's
 * owner recognises it.
 */
static void
try_again (struct claims *c, struct claim_op *op, int tries)
{
  op->tries++;
  if (!op->retry_until_reply && op->tries >= tries)
    {
      complete (op, CLAIM_OP_NO_REPLY);
      return;
    }
  op->due_us = loop_now_us () + pause_after (op);
  push_front (c, op);
}

static struct claim_op *
pop_op (struct batch *b)
{
  struct claim_op *op = APR_RING_FIRST (&b->ops);

  APR_RING_REMOVE (op, link);
  return op;
}

static const struct table_row *
row_at (const struct table_reply *reply, int index)
{
  int i;

  for (i = 0; i < reply->nrows; i++)
    if (reply->rows[i].index == index)
      return &reply->rows[i];
  return NULL;
}

static void
settle_written (struct batch *b, const struct table_reply *reply)
{
  const struct table_row *row;
  struct claim_op *op;
  int i;

  for (i = 0; i < b->n; i++)
    {
      op = pop_op (b);
      row = row_at (reply, i);
      op->row_version = row ? row->version : 0;
      complete (op, CLAIM_OP_DONE);
    }
}

static void
settle_conflict (struct batch *b, const struct table_reply *reply)
{
  const struct table_row *row;
  struct claim_op *op;
  int i;

  for (i = 0; i < b->n; i++)
    {
      op = pop_op (b);
      row = row_at (reply, i);
      if (row == NULL)
        {
          push_front (b->claims, op);
          continue;
        }
      op->row_version = row->version;
      op->row = json_incref (row->value);
      complete (op, CLAIM_OP_CONFLICT);
    }
}

static void
settle_lost (struct batch *b, int tries)
{
  int i;

  for (i = 0; i < b->n; i++)
    try_again (b->claims, pop_op (b), tries);
}

static void
on_committed (void *arg, const struct table_reply *reply)
{
  struct batch *b = arg;
  struct claims *c = b->claims;

  c->in_flight--;
  switch (reply->code)
    {
    case TABLE_OK:
      settle_written (b, reply);
      break;
    case TABLE_CONFLICT:
      settle_conflict (b, reply);
      break;
    case TABLE_BUSY:
      settle_lost (b, c->opts.tries * BUSY_FACTOR);
      break;
    case TABLE_LOST:
      settle_lost (b, c->opts.tries);
      break;
    }
  g_free (b->writes);
  g_free (b);
  flush (c);
}

/* --- transactions ---------------------------------------------------- */

static void
take_op (struct batch *b, struct claim_op *op)
{
  struct claims *c = b->claims;

  APR_RING_REMOVE (op, link);
  c->nwaiting--;
  APR_RING_INSERT_TAIL (&b->ops, op, claim_op, link);
  b->writes[b->n].key = op->key;
  b->writes[b->n].version = op->version;
  b->writes[b->n].put = op->put;
  b->n++;
}

/* A write that lingers joins any transaction; one that was tried before waits
   out its pause. */
static bool
ready (const struct claim_op *op, int64_t now_us)
{
  return op->tries == 0 || op->due_us <= now_us;
}

/* Two writes of one row in one transaction would both meet its old state and
   both succeed, so a row is taken once. */
static void
fill (struct batch *b, int64_t now_us)
{
  struct claims *c = b->claims;
  g_autoptr (GHashTable) keys = g_hash_table_new (g_str_hash, g_str_equal);
  struct claim_op *op, *next;

  for (op = APR_RING_FIRST (&c->waiting);
       op != APR_RING_SENTINEL (&c->waiting, claim_op, link)
       && b->n < c->opts.batch;
       op = next)
    {
      next = APR_RING_NEXT (op, link);
      if (!op->is_read && ready (op, now_us)
          && g_hash_table_add (keys, op->key))
        take_op (b, op);
    }
}

static bool
send_batch (struct claims *c, int64_t now_us)
{
  struct batch *b = g_new0 (struct batch, 1);

  b->claims = c;
  b->writes = g_new0 (struct table_write, c->opts.batch);
  APR_RING_INIT (&b->ops, claim_op, link);
  fill (b, now_us);
  if (b->n == 0)
    {
      g_free (b->writes);
      g_free (b);
      return false;
    }
  c->in_flight++;
  c->opts.table.commit (c->opts.table.ctx, b->writes, b->n, on_committed, b);
  return true;
}

/* Earliest time at which a waiting write may be sent. */
static int64_t
next_due (const struct claims *c)
{
  const struct claim_op *op;
  int64_t due = INT64_MAX;

  APR_RING_FOREACH (op, &c->waiting, claim_op, link)
  {
    if (op->due_us < due)
      due = op->due_us;
  }
  return due;
}

/* --- reads ----------------------------------------------------------- */

static void
on_read (void *arg, const struct table_reply *reply)
{
  struct claim_op *op = arg;

  if (reply->code != TABLE_OK)
    {
      try_again (op->claims, op, 1);
      flush (op->claims);
      return;
    }
  if (reply->nrows > 0)
    {
      op->row_version = reply->rows[0].version;
      op->row = json_incref (reply->rows[0].value);
    }
  complete (op, CLAIM_OP_DONE);
}

static void
start_read (struct claims *c, struct claim_op *op)
{
  c->opts.table.read (c->opts.table.ctx, op->key, on_read, op);
}

/* Reads that wait out a pause. */
static void
start_due_reads (struct claims *c, int64_t now_us)
{
  struct claim_op *op, *next;

  for (op = APR_RING_FIRST (&c->waiting);
       op != APR_RING_SENTINEL (&c->waiting, claim_op, link); op = next)
    {
      next = APR_RING_NEXT (op, link);
      if (!op->is_read || op->due_us > now_us)
        continue;
      APR_RING_REMOVE (op, link);
      c->nwaiting--;
      start_read (c, op);
    }
}

/* --- flush ----------------------------------------------------------- */

static void
flush (struct claims *c)
{
  int64_t now = loop_now_us ();

  start_due_reads (c, now);
  while (c->nwaiting > 0 && c->in_flight < MAX_IN_FLIGHT)
    if (!send_batch (c, now))
      break;
  if (c->nwaiting > 0 && c->in_flight < MAX_IN_FLIGHT)
    loop_arm (c->opts.loop, &c->timer, next_due (c));
}

static void
on_timer (void *arg, int64_t now_us)
{
  (void)now_us;
  flush (arg);
}

/* --- interface ------------------------------------------------------- */

static void
accept_op (void *arg)
{
  struct claim_op *op = arg;
  struct claims *c = op->claims;
  int64_t now = loop_now_us ();

  if (op->is_read)
    {
      start_read (c, op);
      return;
    }
  APR_RING_INSERT_TAIL (&c->waiting, op, claim_op, link);
  c->nwaiting++;
  /* A lone write does not wait for others longer than it must; while all
     transactions are under way, writes gather by themselves. */
  op->due_us = now + c->opts.linger_us;
  if (c->nwaiting >= c->opts.batch || c->opts.linger_us == 0)
    {
      op->due_us = now;
      flush (c);
    }
  else if (!c->timer.armed || c->timer.due_us > op->due_us)
    loop_arm (c->opts.loop, &c->timer, op->due_us);
}

/* Any thread: run OP; its done is called on its home loop. */
void
claims_submit (struct claims *c, struct claim_op *op)
{
  op->claims = c;
  op->msg.run = accept_op;
  op->msg.arg = op;
  loop_post (c->opts.loop, &op->msg);
}

struct claims *
claims_new (const struct claims_opts *opts)
{
  struct claims *c = g_new0 (struct claims, 1);

  c->opts = *opts;
  APR_RING_INIT (&c->waiting, claim_op, link);
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
  while (!APR_RING_EMPTY (&c->waiting, claim_op, link))
    {
      op = APR_RING_FIRST (&c->waiting);
      APR_RING_REMOVE (op, link);
      op_free (op);
    }
  loop_disarm (&c->timer);
  g_free (c);
}
