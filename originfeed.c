/* Where streams began, shared among VMs. */
#include "originfeed.h"

#include <string.h>
#include <xxhash.h>

#include "decide.h"
#include "met.h"

/* A question is repeated after this time, as datagrams may be lost, and given
   up after so many; an answer takes some ms. */
#define ASK_INTERVAL_US (50 * CQ_US_PER_MS)
#define ASKS_MAX 4
/* A message that was sent longer ago, or later, by the platform's clock may be
   a replay. */
#define AGE_MAX_MS 5000
/* Streams that are asked for at a time; further ones are not known. */
#define PENDING_MAX 1024
/* Longest wait for the store, once no VM knows the stream. */
#define RECALL_US (300 * CQ_US_PER_MS)

/* The VM that told the others ranks anywhere among them, and the one that asks
   leaves itself out. */
#define PLACES_ASKED (ORIGINFEED_COPIES + 1)

APR_RING_HEAD (question_ring, originfeed_question);

/* A stream that other VMs are asked for. */
struct pending
{
  struct originfeed *owner;
  struct origin_key key;            /* the stream */
  struct question_ring questions;   /* that wait for it */
  struct loop_timer timer;          /* asks again, or gives up */
  int asks;                         /* messages sent to each VM */
  int vms;                          /* VMs that were asked last */
  int unknown;                      /* VMs that do not know it */
  uint64_t denied_by[PLACES_ASKED]; /* these */
  bool recalling;                   /* the store is being read */
  enum originfeed_found found;      /* what the VMs said then */
};

struct originfeed
{
  struct originfeed_opts opts; /* copy of the options */
  struct origin_table *table;  /* known streams */
  GHashTable *pending;         /* key to struct pending */
  uint64_t self;               /* hash of this VM's name */
};

static uint64_t
hash_of (const struct origin_key *key)
{
  uint64_t hash;

  memcpy (&hash, key->bytes, sizeof hash);
  return hash;
}

/* --- sending --------------------------------------------------------- */

/* NULL while this VM has no key. */
static GByteArray *
seal_message (const struct originfeed *f, const struct origin_key *key,
              bool asks, uint64_t build, int64_t keep_us, int64_t now_us)
{
  const uint8_t *seal_key = f->opts.seal_key (f->opts.arg);
  struct origin_message m = { .asks = asks, .sender = f->self };

  if (seal_key == NULL)
    return NULL;
  m.at_ms = f->opts.clock_ms (f->opts.arg, now_us);
  m.key = *key;
  m.build = build;
  m.keep_us = keep_us;
  return originwire_seal (&m, seal_key);
}

/* The message leaves before the caller gets the event, so that no VM is told
   of a stream later than its caller. */
void
originfeed_began (struct originfeed *f, const struct origin_key *key,
                  uint64_t build, bool record, int64_t keep_us, int64_t now_us)
{
  g_autoptr (GByteArray) bytes = NULL;
  int n;

  origin_put (f->table, key, build, keep_us, now_us);
  if (record && f->opts.store != NULL)
    originstore_add (f->opts.store, key, build, keep_us, now_us);
  bytes = seal_message (f, key, false, build, keep_us, now_us);
  if (bytes == NULL)
    return;
  n = f->opts.send (f->opts.arg, hash_of (key), ORIGINFEED_COPIES, bytes);
  met_add (MET_ORIGINS_SENT, n);
}

/* --- questions ------------------------------------------------------- */

static void
free_pending (struct pending *p)
{
  loop_disarm (&p->timer);
  g_hash_table_remove (p->owner->pending, &p->key);
  g_free (p);
}

/* The callbacks may ask again, for the same stream too. */
static void
resolve (struct pending *p, uint64_t build, enum originfeed_found found,
         int64_t now_us)
{
  struct originfeed_question *q;
  struct question_ring questions;

  APR_RING_INIT (&questions, originfeed_question, link);
  APR_RING_CONCAT (&questions, &p->questions, originfeed_question, link);
  free_pending (p);
  while (!APR_RING_EMPTY (&questions, originfeed_question, link))
    {
      q = APR_RING_FIRST (&questions);
      APR_RING_REMOVE (q, link);
      q->waiting = false;
      q->done (q->arg, build, found, now_us);
    }
}

static void
on_recalled (void *arg, bool ok, int64_t now_us)
{
  struct originfeed *f = arg;
  g_autoptr (GList) all = g_hash_table_get_values (f->pending);
  GList *l;
  struct pending *p;
  uint64_t build;
  int64_t left;

  for (l = all; l != NULL; l = l->next)
    {
      p = l->data;
      if (!p->recalling)
        continue;
      build = origin_find (f->table, &p->key, &left, now_us);
      if (build != 0)
        resolve (p, build, ORIGINFEED_FOUND, now_us);
      else if (left > 0)
        resolve (p, 0, ORIGINFEED_CONFLICT, now_us);
      else
        resolve (p, 0, ok ? p->found : ORIGINFEED_NO_ANSWER, now_us);
    }
}

/* No VM knows the stream; the store may. */
static void
recall (struct pending *p, enum originfeed_found found, int64_t now_us)
{
  struct originfeed *f = p->owner;

  if (f->opts.store == NULL)
    {
      resolve (p, 0, found, now_us);
      return;
    }
  if (!originstore_recall (f->opts.store, f->table, on_recalled, f, now_us))
    {
      resolve (p, 0, ORIGINFEED_NO_ANSWER, now_us);
      return;
    }
  p->recalling = true;
  p->found = found;
  loop_arm (f->opts.loop, &p->timer, now_us + RECALL_US);
}

static void
ask (struct pending *p, int64_t now_us)
{
  struct originfeed *f = p->owner;
  g_autoptr (GByteArray) bytes = seal_message (f, &p->key, true, 0, 0, now_us);

  p->asks++;
  p->vms = bytes != NULL ? f->opts.send (f->opts.arg, hash_of (&p->key),
                                         PLACES_ASKED, bytes)
                         : 0;
  met_add (MET_ORIGINS_ASKED, p->vms);
}

static void
on_timer (void *arg, int64_t now_us)
{
  struct pending *p = arg;

  if (p->recalling)
    {
      resolve (p, 0, ORIGINFEED_NO_ANSWER, now_us);
      return;
    }
  if (p->asks >= ASKS_MAX || p->vms == 0)
    {
      recall (p, ORIGINFEED_NO_ANSWER, now_us);
      return;
    }
  ask (p, now_us);
  loop_arm (p->owner->opts.loop, &p->timer, now_us + ASK_INTERVAL_US);
}

static struct pending *
get_or_add_pending (struct originfeed *f, const struct origin_key *key,
                    int64_t now_us)
{
  struct pending *p = g_hash_table_lookup (f->pending, key);

  if (p != NULL || g_hash_table_size (f->pending) >= PENDING_MAX)
    return p;
  p = g_new0 (struct pending, 1);
  p->owner = f;
  p->key = *key;
  APR_RING_INIT (&p->questions, originfeed_question, link);
  p->timer.fire = on_timer;
  p->timer.arg = p;
  g_hash_table_insert (f->pending, &p->key, p);
  ask (p, now_us);
  loop_arm (f->opts.loop, &p->timer,
            p->vms > 0 ? now_us + ASK_INTERVAL_US : now_us);
  return p;
}

uint64_t
originfeed_find (struct originfeed *f, const struct origin_key *key,
                 struct originfeed_question *q, int64_t now_us)
{
  int64_t left;
  uint64_t build = origin_find (f->table, key, &left, now_us);
  struct pending *p;

  q->waiting = false;
  if (build != 0 || left > 0)
    return build;
  p = get_or_add_pending (f, key, now_us);
  if (p == NULL)
    return 0;
  APR_RING_ELEM_INIT (q, link);
  APR_RING_INSERT_TAIL (&p->questions, q, originfeed_question, link);
  q->waiting = true;
  return 0;
}

void
originfeed_cancel (struct originfeed *f, struct originfeed_question *q)
{
  (void)f;
  if (q->waiting)
    APR_RING_REMOVE (q, link);
  q->waiting = false;
}

/* --- receiving ------------------------------------------------------- */

static void
answer (struct originfeed *f, const struct origin_message *m, int64_t now_us)
{
  int64_t left;
  uint64_t build = origin_find (f->table, &m->key, &left, now_us);
  g_autoptr (GByteArray) bytes
      = seal_message (f, &m->key, false, build, left, now_us);

  if (bytes != NULL)
    f->opts.reply (f->opts.arg, bytes);
}

/* Once all VMs that were asked have denied it, nobody knows the stream. */
static void
note_denial (struct pending *p, uint64_t sender, int64_t now_us)
{
  int i;

  for (i = 0; i < p->unknown; i++)
    if (p->denied_by[i] == sender)
      return;
  if (p->unknown < PLACES_ASKED)
    p->denied_by[p->unknown++] = sender;
  if (p->unknown >= p->vms && !p->recalling)
    recall (p, ORIGINFEED_DENIED, now_us);
}

static void
take (struct originfeed *f, const struct origin_message *m, int64_t now_us)
{
  struct pending *p = g_hash_table_lookup (f->pending, &m->key);
  uint64_t build;
  int64_t left;

  if (m->build != 0)
    origin_put (f->table, &m->key, m->build, m->keep_us, now_us);
  if (p == NULL)
    return;
  build = origin_find (f->table, &m->key, &left, now_us);
  if (build != 0 || left > 0)
    resolve (p, build, build != 0 ? ORIGINFEED_FOUND : ORIGINFEED_CONFLICT,
             now_us);
  else
    note_denial (p, m->sender, now_us);
}

static bool
is_recent (const struct originfeed *f, const struct origin_message *m,
           int64_t now_us)
{
  int64_t now_ms = f->opts.clock_ms (f->opts.arg, now_us);

  return now_ms <= 0 || m->at_ms <= 0 || ABS (now_ms - m->at_ms) <= AGE_MAX_MS;
}

bool
originfeed_receive (struct originfeed *f, const char *data, size_t len,
                    int64_t now_us)
{
  const uint8_t *key = f->opts.seal_key (f->opts.arg);
  struct origin_message m;

  if (!originwire_is_sealed ((const uint8_t *)data, len))
    return false;
  if (key == NULL || !originwire_open ((const uint8_t *)data, len, key, &m)
      || !is_recent (f, &m, now_us))
    {
      met_add (MET_ORIGINS_INVALID, 1);
      return true;
    }
  if (m.asks)
    answer (f, &m, now_us);
  else
    take (f, &m, now_us);
  return true;
}

/* --- lifecycle ------------------------------------------------------- */

struct originfeed *
originfeed_new (const struct originfeed_opts *opts)
{
  struct originfeed *f = g_new0 (struct originfeed, 1);

  f->opts = *opts;
  f->table = origin_new ();
  f->pending = g_hash_table_new (origin_key_hash, origin_key_equal);
  f->self = XXH3_64bits (opts->vm, strlen (opts->vm));
  return f;
}

void
originfeed_free (struct originfeed *f)
{
  GHashTableIter it;
  struct pending *p;

  g_hash_table_iter_init (&it, f->pending);
  while (g_hash_table_iter_next (&it, NULL, (gpointer *)&p))
    {
      loop_disarm (&p->timer);
      g_free (p);
    }
  g_hash_table_destroy (f->pending);
  origin_free (f->table);
  g_free (f);
}

unsigned
originfeed_count (const struct originfeed *f)
{
  return origin_count (f->table);
}
