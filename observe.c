/* Reports on endpoints that are to be sent, and the effect of received ones.
 */
#include "observe.h"

#include <string.h>
#include <xxhash.h>

/* A speed that differs from the one reported last by at least 1 / this of it
   is urgent. */
#define SPEED_CHANGE_DIVISOR 4
/* The speed that other VMs assume of an endpoint without a report. */
#define SPEED_NORMAL_PERCENT 100
/* An endpoint without an observation for so long is removed: other VMs no
   longer use the speed that was reported of it. */
#define KEEP_US INT64_C (10000000)
/* Endpoints that are kept; bounded, since nothing is removed while no messages
   are sent. */
#define ENDPOINTS_MAX 4096

/* Order in which reports are sent. */
enum rank
{
  RANK_FAILURE,
  RANK_SPEED, /* the speed changed much */
  RANK_LOAD
};

/* Newest observation of an endpoint. */
struct seen
{
  uint64_t key;                  /* key of the endpoint */
  struct endpoint_report report; /* the observation, without its age */
  int64_t at_us;                 /* when it was made */
  enum rank rank;                /* order of sending */
  int sent_speed;                /* speed that was sent last */
  bool is_pending;               /* it is to be sent */
};

struct observe
{
  GHashTable *endpoints; /* key to struct seen */
  int urgent;            /* pending ones that are urgent */
  int pending;           /* pending ones */
  int64_t due_us;        /* when the first pending one is to be sent, without
                            the gap between messages */
  int64_t sent_us;       /* when the last message was sent; 0 for never */
};

struct observe *
observe_new (void)
{
  struct observe *o = g_new0 (struct observe, 1);

  o->endpoints
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  o->due_us = INT64_MAX;
  return o;
}

void
observe_free (struct observe *o)
{
  if (o == NULL)
    return;
  g_hash_table_destroy (o->endpoints);
  g_free (o);
}

/* --- own observations ------------------------------------------------ */

static void
set_pending (struct observe *o, struct seen *s, bool is_pending)
{
  int n = (int)is_pending - (int)s->is_pending;

  s->is_pending = is_pending;
  o->pending += n;
  if (s->rank != RANK_LOAD)
    o->urgent += n;
}

static enum rank
rank_of (const struct seen *s, const struct endpoint_report *r)
{
  if (r->seen != LOAD_SEEN_ANSWERED)
    return RANK_FAILURE;
  if (r->speed_percent > 0
      && ABS (r->speed_percent - s->sent_speed) * SPEED_CHANGE_DIVISOR
             >= s->sent_speed)
    return RANK_SPEED;
  return RANK_LOAD;
}

static struct seen *
get_seen (struct observe *o, uint64_t key)
{
  struct seen *s = g_hash_table_lookup (o->endpoints, &key);

  if (s != NULL || g_hash_table_size (o->endpoints) >= ENDPOINTS_MAX)
    return s;
  s = g_new0 (struct seen, 1);
  s->key = key;
  s->rank = RANK_LOAD;
  s->sent_speed = SPEED_NORMAL_PERCENT;
  g_hash_table_insert (o->endpoints, &s->key, s);
  return s;
}

void
observe_own (struct observe *o, const struct endpoint_report *r,
             int64_t now_us)
{
  struct seen *s = get_seen (o, r->endpoint);
  int64_t at_us = now_us - r->age_us, delay_us;

  if (s == NULL || at_us < s->at_us)
    return;
  set_pending (o, s, false);
  s->report = *r;
  s->at_us = at_us;
  s->rank = rank_of (s, r);
  set_pending (o, s, true);
  delay_us
      = s->rank == RANK_LOAD ? OBSERVE_LOAD_DELAY_US : OBSERVE_URGENT_DELAY_US;
  o->due_us = MIN (o->due_us, now_us + delay_us);
}

static int
by_rank (gconstpointer a, gconstpointer b)
{
  const struct seen *const *sa = a;
  const struct seen *const *sb = b;

  if ((*sa)->rank != (*sb)->rank)
    return (*sa)->rank < (*sb)->rank ? -1 : 1;
  if ((*sa)->at_us != (*sb)->at_us)
    return (*sa)->at_us < (*sb)->at_us ? -1 : 1;
  return ((*sa)->key > (*sb)->key) - ((*sa)->key < (*sb)->key);
}

/* Removes what is too old and returns what is to be sent, in that order. */
static GPtrArray *
list_pending (struct observe *o, int64_t now_us)
{
  GPtrArray *list = g_ptr_array_new ();
  GHashTableIter it;
  struct seen *s;

  g_hash_table_iter_init (&it, o->endpoints);
  while (g_hash_table_iter_next (&it, NULL, (gpointer *)&s))
    {
      if (now_us - s->at_us > OBSERVE_SEND_MAX_AGE_US)
        set_pending (o, s, false);
      if (s->is_pending)
        g_ptr_array_add (list, s);
      else if (now_us - s->at_us > KEEP_US)
        g_hash_table_iter_remove (&it);
    }
  g_ptr_array_sort (list, by_rank);
  return list;
}

int
observe_collect (struct observe *o, struct endpoint_report *to, int max,
                 int64_t now_us)
{
  g_autoptr (GPtrArray) list = list_pending (o, now_us);
  int i, n = MIN ((int)list->len, MAX (max, 0));

  for (i = 0; i < n; i++)
    {
      struct seen *s = list->pdata[i];

      to[i] = s->report;
      to[i].age_us = now_us - s->at_us;
      set_pending (o, s, false);
      if (s->report.speed_percent > 0)
        s->sent_speed = s->report.speed_percent;
    }
  o->sent_us = now_us;
  /* If there was no room for any report, there may be none in the next message
     either, which should not be sent only for that. */
  if (o->pending == 0)
    o->due_us = INT64_MAX;
  else if (o->urgent > 0 && n > 0)
    o->due_us = now_us + OBSERVE_URGENT_DELAY_US;
  else
    o->due_us = now_us + OBSERVE_LOAD_DELAY_US;
  return n;
}

bool
observe_is_urgent (const struct observe *o)
{
  return o->urgent > 0;
}

int64_t
observe_earliest_us (const struct observe *o)
{
  return o->sent_us == 0 ? 0 : o->sent_us + OBSERVE_MESSAGE_GAP_US;
}

int64_t
observe_due_us (const struct observe *o)
{
  return MAX (o->due_us, observe_earliest_us (o));
}

/* --- reports of other VMs -------------------------------------------- */

bool
observe_is_recent (const struct endpoint_report *r)
{
  return r->age_us >= 0 && r->age_us <= OBSERVE_APPLY_MAX_AGE_US;
}

static void
apply_load (struct fleet_peer_report *h, const struct endpoint_report *r,
            int64_t at_us)
{
  if (r->running < 0 || at_us <= h->at_us)
    return;
  h->running = r->running;
  h->waiting = r->waiting;
  h->at_us = at_us;
  h->sent_since = 0;
}

/* VM_HASH identifies the VM that sent the report. */
static void
apply_report (struct fleet_endpoint *e, uint64_t vm_hash, bool near,
              const struct endpoint_report *r, int64_t now_us)
{
  int64_t at_us = now_us - r->age_us;

  health_add (&e->health, vm_hash, near, r->seen, at_us);
  apply_load (&e->peer_report, r, at_us);
  if (r->speed_percent > 0)
    speed_add (&e->speed, r->speed_percent, at_us);
  if (at_us <= e->peer_report.seen_us)
    return;
  e->peer_report.seen_us = at_us;
  e->peer_report.is_failing = r->seen != LOAD_SEEN_ANSWERED;
}

const char *
observe_seen_name (enum load_seen seen)
{
  static const char *const names[] = {
    [LOAD_SEEN_ANSWERED] = "answered",
    [LOAD_SEEN_UNREACHABLE] = "unreachable",
    [LOAD_SEEN_REFUSED] = "refused",
    [LOAD_SEEN_FAILED] = "failed",
  };

  return names[seen];
}

void
observe_apply (struct fleet *f, const struct load_gossip *w, bool near,
               int64_t now_us)
{
  uint64_t vm_hash = XXH3_64bits (w->vm, strlen (w->vm));
  struct fleet_endpoint *e;
  int i;

  for (i = 0; i < w->nreports; i++)
    {
      e = fleet_find_key (f, w->reports[i].endpoint);
      if (e != NULL && observe_is_recent (&w->reports[i]))
        apply_report (e, vm_hash, near, &w->reports[i], now_us);
    }
}
