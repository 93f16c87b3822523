/*
 * Fair queue of a service: deficit round robin over workspaces, urgent first.
 *
 * A burst of one workspace delays only that workspace: in each round a flow
 * may spend one quantum of cost, so a request of another workspace waits for
 * at most one turn of every active flow, however long the burst is.
 */
#include "decide.h"

#include <assert.h>

#define HOLD_SMOOTHING 8 /* divisor of the EWMA of the hold time */

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
 * Expected wait of one more entry of F: it waits for the entries of F and, in
 * each round, for one entry of every other flow, up to the number queued.
 * Urgent requests wait for urgent requests only.
 */
static int64_t
expected_wait (const struct fq *q, const struct fq_flow *f, int slots)
{
  int rivals = q->flows[f->class] - (f->queued > 0 ? 1 : 0);
  int64_t queued_before = f->queued + (int64_t)(f->queued + 1) * rivals;

  if (queued_before > q->queued[f->class])
    queued_before = q->queued[f->class];
  if (f->class == FQ_NORMAL)
    queued_before += q->queued[FQ_URGENT];
  if (slots <= 0)
    slots = 1;
  return queued_before * q->hold_us / slots;
}

/* The normal flow with the most entries; urgent requests are never evicted. */
static struct fq_flow *
longest_flow (struct fq *q)
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
 * Makes room in a full queue: evicts the last entry of the longest flow.
 * Without this a burst of one workspace would fill the queue, and the requests
 * of every other workspace would be refused.
 */
static struct fq_entry *
evict (struct fq *q, const struct fq_flow *f)
{
  struct fq_flow *l = longest_flow (q);
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
fq_push (struct fq *q, struct fq_flow *f, struct fq_entry *e, int slots,
         int64_t now_us)
{
  struct fq_verdict v = { .code = FQ_QUEUED };

  v.wait_us = expected_wait (q, f, slots);
  if (now_us + v.wait_us >= e->deadline_us)
    {
      v.code = FQ_TOO_LATE;
      return v;
    }
  if (q->queued[FQ_URGENT] + q->queued[FQ_NORMAL] >= q->queue_max)
    {
      v.evicted = evict (q, f);
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
 * A running request cannot be preempted.  If one workspace held all slots,
 * the others would wait for a request to end, however fair the queue is.  So a
 * normal flow never holds more than its share of the slots.
 */
static bool
is_blocked (const struct fq_flow *f, int share_slots)
{
  if (f->workspace->running >= f->workspace->opts.concurrency)
    return true;
  return f->class == FQ_NORMAL && f->running >= share_slots;
}

static struct fq_entry *
pop_class (struct fq *q, enum fq_class class, int share_slots)
{
  struct fq_flow *f;
  struct fq_entry *e;
  int skipped = 0;

  while (skipped < q->flows[class])
    {
      f = APR_RING_FIRST (&q->active[class]);
      e = APR_RING_FIRST (&f->list);
      if (is_blocked (f, share_slots))
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
 * Returns the next request to start, or NULL, if FREE_SLOTS slots are free
 * and one workspace may hold SHARE_SLOTS slots with normal requests.  It is
 * counted as running until fq_finished is called.
 */
struct fq_entry *
fq_pop (struct fq *q, int free_slots, int share_slots)
{
  struct fq_entry *e = NULL;

  if (free_slots <= 0)
    return NULL;
  e = pop_class (q, FQ_URGENT, share_slots);
  if (e == NULL && free_slots > q->urgent_reserve)
    e = pop_class (q, FQ_NORMAL, share_slots);
  return e;
}

/* A request of F released its slot. */
void
fq_finished (struct fq_flow *f)
{
  f->running--;
  f->workspace->running--;
}

/* Adds a sample of the time a slot was held, for the expected wait. */
void
fq_add_hold_time (struct fq *q, int64_t held_us)
{
  if (q->hold_us == 0)
    q->hold_us = held_us;
  else
    q->hold_us += (held_us - q->hold_us) / HOLD_SMOOTHING;
}
