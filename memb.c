/* Members: received updates, members to ping, updates to send on. */
#include "memb.h"

#include <glib.h>
#include <string.h>

#define SUSPECT_AFTER_MISSES 3 /* consecutive unanswered pings */
#define SUSPECT_TIMEOUT_US                                                    \
  (INT64_C (2) * 1000000) /* time to refute a suspicion */
#define DEAD_FORGET_US                                                        \
  (INT64_C (600) * 1000000)    /* dead members are remembered */
#define RUMOR_TRANSMITS 6      /* how often an update is sent on */
#define REPEATED_PER_MESSAGE 2 /* older updates repeated in each message */

struct memb_table
{
  struct memb_update self; /* this VM's own update */
  GHashTable *by_name;     /* name to struct memb, without this VM */
  APR_RING_HEAD (memb_ring, memb) all; /* the members of by_name */
  int self_transmits_left; /* how often the own update is still sent on */
  unsigned next_repeat;    /* position of the next older update to repeat */
};

struct memb_table *
memb_new (const struct memb_update *self)
{
  struct memb_table *t = g_new0 (struct memb_table, 1);

  t->self = *self;
  t->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  APR_RING_INIT (&t->all, memb, link);
  return t;
}

void
memb_free (struct memb_table *t)
{
  g_hash_table_destroy (t->by_name);
  g_free (t);
}

const struct memb_update *
memb_self (const struct memb_table *t)
{
  return &t->self;
}

void
memb_set_address (struct memb_table *t, const char *address)
{
  g_strlcpy (t->self.address, address, sizeof t->self.address);
  /* A VM that pinged this one before its address was known has received an
     update without it.  With an unchanged sequence number the new update would
     be ignored there, and that VM would declare this one dead. */
  t->self.seq++;
  t->self_transmits_left = RUMOR_TRANSMITS;
}

struct memb *
memb_find (struct memb_table *t, const char *name)
{
  return g_hash_table_lookup (t->by_name, name);
}

struct memb *
memb_first (struct memb_table *t)
{
  struct memb *m = APR_RING_FIRST (&t->all);

  return m == APR_RING_SENTINEL (&t->all, memb, link) ? NULL : m;
}

struct memb *
memb_next (struct memb_table *t, struct memb *m)
{
  m = APR_RING_NEXT (m, link);
  return m == APR_RING_SENTINEL (&t->all, memb, link) ? NULL : m;
}

/* Number of other VMs whose state is no worse than WORST. */
int
memb_count (const struct memb_table *t, enum memb_state worst)
{
  const struct memb *m;
  int n = 0;

  APR_RING_FOREACH (m, &t->all, memb, link) { n += m->latest.state <= worst; }
  return n;
}

void
memb_set_state (struct memb_table *t, enum memb_state state, uint64_t revision)
{
  if (t->self.state == state && t->self.revision == revision)
    return;
  t->self.state = state;
  t->self.revision = revision;
  t->self.seq++;
  t->self_transmits_left = RUMOR_TRANSMITS;
}

/* --- updates --- */

static bool
is_newer (const struct memb_update *a, const struct memb_update *b)
{
  if (a->incarnation != b->incarnation)
    return a->incarnation > b->incarnation;
  if (a->seq != b->seq)
    return a->seq > b->seq;
  return a->state > b->state;
}

/*
 * Refutes updates of others by which this VM is suspect or dead, with a higher
 * sequence number.  Without this, a VM whose packets are lost in one direction
 * would be declared dead by all others while it serves.
 */
static bool
refute_update (struct memb_table *t, const struct memb_update *w)
{
  if (w->incarnation != t->self.incarnation || w->seq < t->self.seq
      || w->state == t->self.state)
    return false;
  t->self.seq = w->seq + 1;
  t->self_transmits_left = RUMOR_TRANSMITS;
  return true;
}

static struct memb *
add (struct memb_table *t, const struct memb_update *w)
{
  struct memb *m = g_new0 (struct memb, 1);

  m->latest = *w;
  APR_RING_INSERT_TAIL (&t->all, m, memb, link);
  g_hash_table_insert (t->by_name, m->latest.name, m);
  return m;
}

static void
on_state_change (struct memb *m, enum memb_state before, int64_t now_us)
{
  m->transmits_left = RUMOR_TRANSMITS;
  if (m->latest.state == MEMB_SUSPECT && before != MEMB_SUSPECT)
    m->suspect_us = now_us;
  if (m->latest.state == MEMB_ALIVE)
    m->missed_pings = 0;
}

/* Leaving is permanent for an incarnation: a later update may say dead, but
   not that the VM serves again. */
static enum memb_state
sticky_state (const struct memb *m, const struct memb_update *w)
{
  if (m->latest.incarnation == w->incarnation
      && m->latest.state == MEMB_LEAVING && w->state < MEMB_LEAVING)
    return MEMB_LEAVING;
  return w->state;
}

/* Whether the update newly says that the incarnation is leaving.  This counts
   from any source, whatever its sequence number. */
static bool
is_newly_leaving (const struct memb *m, const struct memb_update *w)
{
  return w->state == MEMB_LEAVING && w->incarnation == m->latest.incarnation
         && m->latest.state < MEMB_LEAVING;
}

bool
memb_apply_update (struct memb_table *t, const struct memb_update *w,
                   int64_t now_us)
{
  enum memb_state before;
  enum memb_state state;
  struct memb *m;

  if (strcmp (w->name, t->self.name) == 0)
    return refute_update (t, w);
  m = memb_find (t, w->name);
  if (m == NULL)
    {
      /* The death of an unknown VM is no news. */
      if (w->state == MEMB_DEAD)
        return false;
      m = add (t, w);
      on_state_change (m, MEMB_ALIVE, now_us);
      return true;
    }
  if (!is_newer (w, &m->latest) && !is_newly_leaving (m, w))
    return false;
  before = m->latest.state;
  state = sticky_state (m, w);
  if (w->incarnation != m->latest.incarnation)
    m->missed_pings = 0;
  if (is_newer (w, &m->latest))
    m->latest = *w;
  m->latest.state = state;
  on_state_change (m, before, now_us);
  return true;
}

/* --- pings --- */

void
memb_ping_sent (struct memb *m, int64_t now_us)
{
  m->pinged_us = now_us;
}

void
memb_ping_answered (struct memb_table *t, struct memb *m, int64_t now_us)
{
  (void)t;
  m->missed_pings = 0;
  m->answered_us = now_us;
}

void
memb_ping_timed_out (struct memb_table *t, struct memb *m, int64_t now_us)
{
  (void)t;
  if (++m->missed_pings < SUSPECT_AFTER_MISSES
      || m->latest.state != MEMB_ALIVE)
    return;
  m->latest.state = MEMB_SUSPECT;
  on_state_change (m, MEMB_ALIVE, now_us);
}

void
memb_tick (struct memb_table *t, int64_t now_us)
{
  struct memb *m, *next;

  for (m = memb_first (t); m != NULL; m = next)
    {
      next = memb_next (t, m);
      if (m->latest.state == MEMB_SUSPECT
          && now_us - m->suspect_us > SUSPECT_TIMEOUT_US)
        {
          m->latest.state = MEMB_DEAD;
          m->suspect_us = now_us;
          m->transmits_left = RUMOR_TRANSMITS;
        }
      else if (m->latest.state == MEMB_DEAD
               && now_us - m->suspect_us > DEAD_FORGET_US)
        {
          APR_RING_REMOVE (m, link);
          g_hash_table_remove (t->by_name, m->latest.name);
        }
    }
}

/* --- rendezvous hashing --- */

static uint64_t
rendezvous_weight (const char *a, const char *b)
{
  uint64_t h = UINT64_C (14695981039346656037);

  for (; *a != '\0'; a++)
    h = (h ^ (unsigned char)*a) * UINT64_C (1099511628211);
  h = (h ^ 0xff) * UINT64_C (1099511628211);
  for (; *b != '\0'; b++)
    h = (h ^ (unsigned char)*b) * UINT64_C (1099511628211);
  h = (h ^ (h >> 33)) * UINT64_C (0xff51afd7ed558ccd);
  return h ^ (h >> 33);
}

static bool
is_in_own_domain (const struct memb_table *t, const struct memb *m)
{
  return strcmp (m->latest.domain, t->self.domain) == 0;
}

/* Inserts M by descending weight; the list holds at most MAX. */
static int
keep_heaviest (const struct memb_table *t, struct memb **out, int n, int max,
               struct memb *m)
{
  uint64_t w = rendezvous_weight (t->self.name, m->latest.name);
  int i;

  for (i = n;
       i > 0 && rendezvous_weight (t->self.name, out[i - 1]->latest.name) < w;
       i--)
    if (i < max)
      out[i] = out[i - 1];
  if (i < max)
    out[i] = m;
  return n < max ? n + 1 : max;
}

/* Whether M is the member of its domain that this VM pings. */
static bool
heaviest_of_domain (struct memb_table *t, const struct memb *m)
{
  uint64_t w = rendezvous_weight (t->self.name, m->latest.name);
  const struct memb *o;

  APR_RING_FOREACH (o, &t->all, memb, link)
  {
    if (strcmp (o->latest.domain, m->latest.domain) == 0
        && o->latest.state <= MEMB_SUSPECT
        && rendezvous_weight (t->self.name, o->latest.name) > w)
      return false;
  }
  return true;
}

int
memb_neighbours (struct memb_table *t, struct memb **out, int max)
{
  int own_max = max > 3 ? 3 : max;
  struct memb *m;
  int n = 0;

  APR_RING_FOREACH (m, &t->all, memb, link)
  {
    if (is_in_own_domain (t, m) && m->latest.state <= MEMB_SUSPECT)
      n = keep_heaviest (t, out, n, own_max, m);
  }
  APR_RING_FOREACH (m, &t->all, memb, link)
  {
    if (!is_in_own_domain (t, m) && n < max && m->latest.state <= MEMB_SUSPECT
        && heaviest_of_domain (t, m))
      out[n++] = m;
  }
  return n;
}

/*
 * A VM that joins later has missed all earlier updates, so every message
 * repeats a few of them in turn.  Without this, it would never learn of VMs
 * that neither ping it nor are pinged by it.
 */
static int
append_older_updates (struct memb_table *t, struct memb_update *out, int n,
                      int max)
{
  unsigned all = g_hash_table_size (t->by_name);
  struct memb *m;
  unsigned i = 0;
  unsigned from;
  int left = REPEATED_PER_MESSAGE;

  if (all == 0)
    return n;
  from = t->next_repeat % all;
  t->next_repeat = from + REPEATED_PER_MESSAGE;
  APR_RING_FOREACH (m, &t->all, memb, link)
  {
    if (i++ < from || left == 0 || n == max)
      continue;
    left--;
    if (m->latest.state != MEMB_DEAD)
      out[n++] = m->latest;
  }
  return n;
}

int
memb_rumors (struct memb_table *t, struct memb_update *out, int max)
{
  struct memb *m;
  int n = 0;

  APR_RING_FOREACH (m, &t->all, memb, link)
  {
    if (m->transmits_left <= 0 || n == max)
      continue;
    m->transmits_left--;
    out[n++] = m->latest;
  }
  return append_older_updates (t, out, n, max);
}

bool
memb_is_responsible (struct memb_table *t, const char *key, int n)
{
  uint64_t own = rendezvous_weight (key, t->self.name);
  const struct memb *m;
  int before = 0;

  APR_RING_FOREACH (m, &t->all, memb, link)
  {
    if (is_in_own_domain (t, m) && m->latest.state <= MEMB_SUSPECT
        && rendezvous_weight (key, m->latest.name) > own)
      before++;
  }
  return before < n;
}

const char *
memb_state_name (enum memb_state state)
{
  static const char *const names[] = {
    [MEMB_ALIVE] = "alive",
    [MEMB_SUSPECT] = "suspect",
    [MEMB_LEAVING] = "leaving",
    [MEMB_DEAD] = "dead",
  };
  return names[state];
}

/* Returns the dead members in turn, one per call, to be pinged: this detects
   that a network partition has healed, for which there is no other signal. */
struct memb *
memb_pick_dead (struct memb_table *t, unsigned turn)
{
  struct memb *m;
  int n = 0;

  APR_RING_FOREACH (m, &t->all, memb, link)
  {
    n += m->latest.state == MEMB_DEAD;
  }
  if (n == 0)
    return NULL;
  turn %= (unsigned)n;
  APR_RING_FOREACH (m, &t->all, memb, link)
  {
    if (m->latest.state == MEMB_DEAD && turn-- == 0)
      return m;
  }
  return NULL;
}
