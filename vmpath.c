/* What other VMs say of their paths to the endpoints. */
#include "vmpath.h"

#include <string.h>
#include <xxhash.h>

#include "decide.h"

/* VMs that take the requests for a service, so that the loss of one leaves
   others and the requests spread. */
#define HELPERS_WANTED 4
/* A VM that reaches the service is asked again after this time, and its answer
   counts for a little longer than until the next one can be missing. */
#define REFRESH_US (200 * CQ_US_PER_MS)
#define ANSWER_VALID_US (450 * CQ_US_PER_MS)
/* A VM whose answer takes longer than this gets no request meanwhile. */
#define LATE_US (100 * CQ_US_PER_MS)
/* A VM that cannot help is asked again after the first of these times, which
   doubles up to the last. */
#define AVOID_MIN_US (1000 * CQ_US_PER_MS)
#define AVOID_MAX_US (4000 * CQ_US_PER_MS)

/* Another VM. */
struct entry
{
  struct mirror_peer peer;     /* name and address */
  bool near;                   /* in this failure domain */
  uint64_t rank;               /* the lower, the earlier it is asked */
  bool asking;                 /* it was asked and has not answered */
  int64_t asked_us;            /* when it was asked last */
  uint64_t asked_for;          /* vmpath_key of the service it was asked for */
  int64_t answered_us;         /* when it answered last, 0 for never or if it
                                  was silent since */
  struct vmpath_answer answer; /* its last answer */
  int failures;                /* consecutive times that it could not help */
  int64_t avoid_until_us;      /* it gets no request until then */
  int64_t due_us;              /* it is not asked before */
};

struct vmpath
{
  GPtrArray *vms;      /* struct entry, by rank */
  GHashTable *by_name; /* name to struct entry, which vms owns */
  uint64_t seed;       /* of ranks */
};

uint64_t
vmpath_key (const char *service)
{
  return XXH3_64bits (service, strlen (service));
}

struct vmpath *
vmpath_new (uint64_t seed)
{
  struct vmpath *t = g_new0 (struct vmpath, 1);

  t->seed = seed;
  t->vms = g_ptr_array_new_with_free_func (g_free);
  t->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  return t;
}

void
vmpath_free (struct vmpath *t)
{
  g_hash_table_destroy (t->by_name);
  g_ptr_array_unref (t->vms);
  g_free (t);
}

/* --- the list of VMs ------------------------------------------------- */

static gint
by_rank (gconstpointer a, gconstpointer b)
{
  const struct entry *const *ea = a;
  const struct entry *const *eb = b;

  return ((*ea)->rank > (*eb)->rank) - ((*ea)->rank < (*eb)->rank);
}

static struct entry *
find (const struct vmpath *t, const char *vm)
{
  return g_hash_table_lookup (t->by_name, vm);
}

static GHashTable *
names_of (const GArray *peers)
{
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);
  guint i;

  for (i = 0; i < peers->len; i++)
    g_hash_table_add (names, g_array_index (peers, struct mirror_peer, i).vm);
  return names;
}

static void
remove_missing (struct vmpath *t, const GArray *all)
{
  g_autoptr (GHashTable) names = names_of (all);
  struct entry *e;
  guint i = 0;

  while (i < t->vms->len)
    {
      e = t->vms->pdata[i];
      if (g_hash_table_contains (names, e->peer.vm))
        {
          i++;
          continue;
        }
      g_hash_table_remove (t->by_name, e->peer.vm);
      g_ptr_array_remove_index (t->vms, i);
    }
}

void
vmpath_set_vms (struct vmpath *t, const GArray *all, const GArray *near)
{
  g_autoptr (GHashTable) near_names = names_of (near);
  const struct mirror_peer *p;
  struct entry *e;
  guint i;

  remove_missing (t, all);
  for (i = 0; i < all->len; i++)
    {
      p = &g_array_index (all, struct mirror_peer, i);
      e = find (t, p->vm);
      if (e == NULL)
        {
          e = g_new0 (struct entry, 1);
          e->rank = XXH3_64bits_withSeed (p->vm, strlen (p->vm), t->seed);
          g_ptr_array_add (t->vms, e);
        }
      e->peer = *p;
      e->near = g_hash_table_contains (near_names, p->vm);
      g_hash_table_insert (t->by_name, e->peer.vm, e);
    }
  g_ptr_array_sort (t->vms, by_rank);
}

/* --- beliefs --------------------------------------------------------- */

static bool
says_unreached (const struct entry *e, uint64_t service)
{
  int i;

  for (i = 0; i < e->answer.nunreached; i++)
    if (e->answer.unreached[i] == service)
      return true;
  return false;
}

/* Whether its last answer says that it reaches SERVICE. */
static bool
is_helper (const struct entry *e, uint64_t service)
{
  return e->answered_us != 0 && !says_unreached (e, service);
}

static bool
is_confirmed (const struct entry *e, uint64_t service, int64_t now_us)
{
  return is_helper (e, service) && now_us >= e->avoid_until_us
         && now_us - e->answered_us < ANSWER_VALID_US
         && !(e->asking && now_us - e->asked_us > LATE_US);
}

static void
avoid (struct entry *e, int64_t now_us)
{
  int64_t us = AVOID_MIN_US;
  int i;

  for (i = 0; i < e->failures && us < AVOID_MAX_US; i++)
    us *= 2;
  e->failures++;
  e->avoid_until_us = now_us + MIN (us, AVOID_MAX_US);
  e->due_us = e->avoid_until_us;
}

void
vmpath_answered (struct vmpath *t, const char *vm,
                 const struct vmpath_answer *a, int64_t now_us)
{
  struct entry *e = find (t, vm);

  if (e == NULL)
    return;
  e->asking = false;
  e->answered_us = now_us;
  e->answer = *a;
  if (says_unreached (e, e->asked_for))
    {
      avoid (e, now_us);
      e->avoid_until_us = 0;
      return;
    }
  e->failures = 0;
  e->avoid_until_us = 0;
  e->due_us = now_us + REFRESH_US;
}

void
vmpath_silent (struct vmpath *t, const char *vm, int64_t now_us)
{
  struct entry *e = find (t, vm);

  if (e == NULL)
    return;
  e->asking = false;
  e->answered_us = 0;
  avoid (e, now_us);
}

void
vmpath_not_understood (struct vmpath *t, const char *vm, int64_t now_us)
{
  struct entry *e = find (t, vm);

  if (e == NULL)
    return;
  e->asking = false;
  e->answered_us = 0;
  e->due_us = now_us + AVOID_MAX_US;
}

void
vmpath_refused (struct vmpath *t, const char *vm, const char *service,
                int64_t now_us)
{
  struct entry *e = find (t, vm);

  if (e == NULL)
    return;
  if (is_helper (e, vmpath_key (service)))
    e->answered_us = 0;
  avoid (e, now_us);
}

bool
vmpath_is_avoided (const struct vmpath *t, const char *vm, int64_t now_us)
{
  const struct entry *e = find (t, vm);

  return e != NULL && now_us < e->avoid_until_us;
}

/* --- whom to ask ----------------------------------------------------- */

static const char *
ask (struct entry *e, uint64_t service, const char **address, int64_t now_us)
{
  e->asking = true;
  e->asked_us = now_us;
  e->asked_for = service;
  *address = e->peer.address;
  return e->peer.vm;
}

/* Half of the VMs that help are near, if so many are: their links are shorter,
   but they have most to do when most of a domain is cut. */
static bool
is_wanted (const struct entry *e, int helpers, int near_helpers)
{
  return e->near ? 2 * near_helpers <= helpers : 2 * near_helpers >= helpers;
}

const char *
vmpath_next (struct vmpath *t, const char *service, const char **address,
             int64_t now_us)
{
  uint64_t key = vmpath_key (service);
  struct entry *e, *any = NULL, *wanted = NULL;
  int helpers = 0, near = 0;
  guint i;

  for (i = 0; i < t->vms->len && helpers < HELPERS_WANTED; i++)
    {
      e = t->vms->pdata[i];
      if (!e->asking && is_helper (e, key) && now_us >= e->due_us)
        return ask (e, key, address, now_us);
      if (e->asking || is_helper (e, key))
        {
          helpers++;
          near += e->near;
        }
    }
  if (helpers >= HELPERS_WANTED)
    return NULL;
  for (i = 0; i < t->vms->len && wanted == NULL; i++)
    {
      e = t->vms->pdata[i];
      if (e->asking || is_helper (e, key) || now_us < e->due_us)
        continue;
      if (any == NULL)
        any = e;
      if (is_wanted (e, helpers, near))
        wanted = e;
    }
  if (wanted == NULL)
    wanted = any;
  return wanted != NULL ? ask (wanted, key, address, now_us) : NULL;
}

/* --- choice ---------------------------------------------------------- */

static bool
is_allowed (const struct entry *e, const struct vmpath_query *q)
{
  int i;

  if (q->near_only && !e->near)
    return false;
  for (i = 0; i < q->ntried; i++)
    if (strcmp (q->tried[i], e->peer.vm) == 0)
      return false;
  return true;
}

const char *
vmpath_pick (struct vmpath *t, const struct vmpath_query *q,
             const char **address, int64_t now_us)
{
  g_autoptr (GPtrArray) found = g_ptr_array_new ();
  uint64_t key = vmpath_key (q->service);
  struct entry *e, *other;
  guint i;

  for (i = 0; i < t->vms->len; i++)
    {
      e = t->vms->pdata[i];
      if (is_allowed (e, q) && is_confirmed (e, key, now_us))
        g_ptr_array_add (found, e);
    }
  if (found->len == 0)
    return NULL;
  e = found->pdata[q->random % found->len];
  other = found->pdata[q->random / found->len % found->len];
  if (other->answer.forwarded < e->answer.forwarded)
    e = other;
  /* Until its next answer. */
  e->answer.forwarded++;
  *address = e->peer.address;
  return e->peer.vm;
}

bool
vmpath_expects_answer (const struct vmpath *t, int64_t now_us)
{
  const struct entry *e;
  guint i;

  for (i = 0; i < t->vms->len; i++)
    {
      e = t->vms->pdata[i];
      if (e->asking && now_us - e->asked_us <= LATE_US)
        return true;
    }
  return false;
}

/* How little E is trusted; the lower, the better. */
enum doubt
{
  DOUBT_NONE,
  DOUBT_LATE,   /* it does not answer in time now */
  DOUBT_FAILED, /* it could not help the last time */
  DOUBT_AVOIDED
};

static enum doubt
doubt_of (const struct entry *e, uint64_t service, int64_t now_us)
{
  if (now_us < e->avoid_until_us
      || (e->answered_us != 0 && now_us - e->answered_us < ANSWER_VALID_US
          && says_unreached (e, service)))
    return DOUBT_AVOIDED;
  if (e->failures > 0)
    return DOUBT_FAILED;
  return e->asking && now_us - e->asked_us > LATE_US ? DOUBT_LATE : DOUBT_NONE;
}

const char *
vmpath_draw (struct vmpath *t, const struct vmpath_query *q,
             const char **address, int64_t now_us)
{
  uint64_t key = vmpath_key (q->service);
  uint64_t random = q->random, n = 0;
  enum doubt doubt, least = DOUBT_AVOIDED;
  struct entry *e, *chosen = NULL;
  guint i;

  for (i = 0; i < t->vms->len; i++)
    {
      e = t->vms->pdata[i];
      doubt = doubt_of (e, key, now_us);
      if (!is_allowed (e, q) || doubt > least || doubt == DOUBT_AVOIDED)
        continue;
      if (doubt < least)
        n = 0;
      least = doubt;
      random = random * UINT64_C (6364136223846793005) + 1;
      if ((random >> 33) % ++n == 0)
        chosen = e;
    }
  if (chosen == NULL)
    return NULL;
  *address = chosen->peer.address;
  return chosen->peer.vm;
}
