/*
 * Fair queue of a service: deficit round robin over workspaces, urgent first.
 *
 * A workspace that floods waits behind itself only: each turn a flow may spend
 * one quantum of cost, so another workspace's request waits for at most one
 * turn of every active flow, however long the flood is.
 */
#include "decide.h"

#include <assert.h>

#define HOLD_SMOOTHING 8 /* weight of the past in the smoothed hold time */

void
fq_init (struct fq *q, int queue_max, int reserve, int64_t quantum)
{
  int c;

  *q = (struct fq){ .queue_max = queue_max };
  q->urgent_reserve = reserve;
  q->quantum = quantum;
  for (c = 0; c < FQ_CLASSES; c++)
    APR_RING_INIT (&q->active[c], fq_flow, link);
}

void
fq_flow_init (struct fq_flow *f, struct lim_workspace *w, enum fq_class class)
{
  *f = (struct fq_flow){ .workspace = w, .class = class };
  APR_RING_INIT (&f->list, fq_entry, link);
  APR_RING_ELEM_INIT (f, link);
}

static void
activate (struct fq *q, struct fq_flow *f)
{
  APR_RING_INSERT_TAIL (&q->active[f->class], f, fq_flow, link);
  q->flows[f->class]++;
  f->deficit = 0;
}

static void
deactivate (struct fq *q, struct fq_flow *f)
{
  APR_RING_REMOVE (f, link);
  q->flows[f->class]--;
}

static void
rotate (struct fq *q, struct fq_flow *f)
{
  APR_RING_REMOVE (f, link);
  APR_RING_INSERT_TAIL (&q->active[f->class], f, fq_flow, link);
}

void
fq_remove (struct fq *q, struct fq_entry *e)
{
  struct fq_flow *f = e->flow;

  assert (f != NULL);
  APR_RING_REMOVE (e, link);
  e->flow = NULL;
  f->queued--;
  f->workspace->queued--;
  q->queued[f->class]--;
  if (f->queued == 0)
    deactivate (q, f);
}

/*
 * Expected wait of one more entry of F: before it go F's own entries and, in
 * each turn, one entry of every other flow; never more than is queued.  Urgent
 * work waits for urgent work only.
 */
static int64_t
expected_wait (const struct fq *q, const struct fq_flow *f, int places)
{
  int rivals = q->flows[f->class] - (f->queued > 0 ? 1 : 0);
  int64_t ahead = f->queued + (int64_t)(f->queued + 1) * rivals;

  if (ahead > q->queued[f->class])
    ahead = q->queued[f->class];
  if (f->class == FQ_NORMAL)
    ahead += q->queued[FQ_URGENT];
  if (places <= 0)
    places = 1;
  return ahead * q->hold_us / places;
}

/* The normal flow with the most entries; urgent work is never pushed out. */
static struct fq_flow *
longest (struct fq *q)
{
  struct fq_flow *best = NULL;
  struct fq_flow *f;

  APR_RING_FOREACH (f, &q->active[FQ_NORMAL], fq_flow, link)
  {
    if (best == NULL || f->queued > best->queued)
      best = f;
  }
  return best;
}

/*
 * Make room in a full queue at the cost of the longest flow.  Without this a
 * flood of one workspace fills the queue and every other workspace is refused.
 */
static struct fq_entry *
push_out (struct fq *q, const struct fq_flow *f)
{
  struct fq_flow *l = longest (q);
  struct fq_entry *e;

  if (l == NULL || l == f)
    return NULL;
  if (f->class == FQ_NORMAL && l->queued <= f->queued + 1)
    return NULL;
  e = APR_RING_LAST (&l->list);
  fq_remove (q, e);
  return e;
}

struct fq_verdict
fq_push (struct fq *q, struct fq_flow *f, struct fq_entry *e, int places,
         int64_t now_us)
{
  struct fq_verdict v = { .code = FQ_QUEUED };

  v.wait_us = expected_wait (q, f, places);
  if (now_us + v.wait_us >= e->deadline_us)
    {
      v.code = FQ_TOO_LATE;
      return v;
    }
  if (q->queued[FQ_URGENT] + q->queued[FQ_NORMAL] >= q->queue_max)
    {
      v.evicted = push_out (q, f);
      if (v.evicted == NULL)
        {
          v.code = FQ_FULL;
          return v;
        }
    }
  if (f->queued == 0)
    activate (q, f);
  APR_RING_INSERT_TAIL (&f->list, e, fq_entry, link);
  e->flow = f;
  e->queued_us = now_us;
  f->queued++;
  f->workspace->queued++;
  q->queued[f->class]++;
  return v;
}

/*
 * A place cannot be taken back from a running request.  If one workspace held
 * them all, every other would wait for one to end, however fair the queue is;
 * so a normal flow never holds more than its share.
 */
static bool
blocked (const struct fq_flow *f, int share_places)
{
  if (f->workspace->running >= f->workspace->opts.concurrency)
    return true;
  return f->class == FQ_NORMAL && f->running >= share_places;
}

static struct fq_entry *
pop_class (struct fq *q, enum fq_class class, int share_places)
{
  struct fq_flow *f;
  struct fq_entry *e;
  int skipped = 0;

  while (skipped < q->flows[class])
    {
      f = APR_RING_FIRST (&q->active[class]);
      e = APR_RING_FIRST (&f->list);
      if (blocked (f, share_places))
        {
          skipped++;
          rotate (q, f);
          continue;
        }
      if (f->deficit < e->cost)
        {
          skipped = 0;
          f->deficit += q->quantum;
          rotate (q, f);
          continue;
        }
      f->deficit -= e->cost;
      f->running++;
      f->workspace->running++;
      fq_remove (q, e);
      return e;
    }
  return NULL;
}

/*
 * Next request to start when FREE_PLACES are free and one workspace may hold
 * SHARE_PLACES of them with normal work, or NULL.  It is counted as running
 * until fq_finished.
 */
struct fq_entry *
fq_pop (struct fq *q, int free_places, int share_places)
{
  struct fq_entry *e = NULL;

  if (free_places <= 0)
    return NULL;
  e = pop_class (q, FQ_URGENT, share_places);
  if (e == NULL && free_places > q->urgent_reserve)
    e = pop_class (q, FQ_NORMAL, share_places);
  return e;
}

/* A request of F gave its place back. */
void
fq_finished (struct fq_flow *f)
{
  f->running--;
  f->workspace->running--;
}

/* Learn how long a place was held, for the expected wait. */
void
fq_add_hold_time (struct fq *q, int64_t held_us)
{
  if (q->hold_us == 0)
    q->hold_us = held_us;
  else
    q->hold_us += (held_us - q->hold_us) / HOLD_SMOOTHING;
}
