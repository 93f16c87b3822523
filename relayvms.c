/* Asks other VMs which services they reach. */
#include "relayvms.h"

#include <string.h>

#include "decide.h"
#include "log.h"
#include "met.h"

/* Interval of looks for VMs that are to be asked. */
#define CHECK_INTERVAL_US (50 * CQ_US_PER_MS)
/* The list of VMs is read again after this time. */
#define LIST_INTERVAL_US (500 * CQ_US_PER_MS)

struct relayvms
{
  struct relayvms_opts opts; /* copy of the options */
  struct vmpath *paths;      /* what the VMs said */
  GHashTable *wanted;        /* service to int64_t, until when VMs are asked */
  struct loop_timer check;   /* asks VMs that are due */
  int64_t listed_us;         /* when the list of VMs was read */
  int nasking;               /* questions under way */
  bool closed;               /* freed when no question is under way */
};

/* A question under way. */
struct question
{
  struct relayvms *owner;
  char vm[LOAD_VM_SIZE]; /* that was asked */
  char *service;         /* it was asked for */
  int64_t asked_us;      /* when it was asked */
};

static void
release (struct relayvms *t)
{
  if (!t->closed || t->nasking > 0)
    return;
  vmpath_free (t->paths);
  g_hash_table_destroy (t->wanted);
  g_free (t);
}

/* Reads the list of VMs if it is older than MAX_AGE_US. */
static void
refresh_list (struct relayvms *t, int64_t max_age_us, int64_t now_us)
{
  g_autoptr (GArray) all
      = g_array_new (FALSE, FALSE, sizeof (struct mirror_peer));
  g_autoptr (GArray) near
      = g_array_new (FALSE, FALSE, sizeof (struct mirror_peer));

  if (t->listed_us != 0 && now_us - t->listed_us < max_age_us)
    return;
  if (!t->opts.list_vms (t->opts.arg, false, all)
      || !t->opts.list_vms (t->opts.arg, true, near))
    return;
  t->listed_us = now_us;
  vmpath_set_vms (t->paths, all, near);
}

/* --- questions ------------------------------------------------------- */

static void ask_all (struct relayvms *t, const char *service, int64_t now_us);

static void
log_answer (const struct question *q, const struct vmpath_answer *a,
            int64_t now_us)
{
  uint64_t key = vmpath_key (q->service);
  bool reaches = a != NULL;
  int i;

  for (i = 0; a != NULL && i < a->nunreached; i++)
    reaches &= a->unreached[i] != key;
  if (reaches)
    return;
  log_event (LOG_LEVEL_INFO, "vm_path",
             "vm=%s service=%s outcome=%s took_us=%" G_GINT64_FORMAT, q->vm,
             q->service, a == NULL ? "silent" : "unreached",
             (gint64)(now_us - q->asked_us));
}

static void
on_asked (void *arg, const struct vmpath_answer *a, bool unknown)
{
  struct question *q = arg;
  struct relayvms *t = q->owner;
  int64_t now = loop_now_us ();

  t->nasking--;
  if (a != NULL)
    vmpath_answered (t->paths, q->vm, a, now);
  else if (unknown)
    vmpath_not_understood (t->paths, q->vm, now);
  else
    vmpath_silent (t->paths, q->vm, now);
  log_answer (q, a, now);
  if (!t->closed)
    ask_all (t, q->service, now);
  g_free (q->service);
  g_free (q);
  release (t);
}

static void
ask_all (struct relayvms *t, const char *service, int64_t now_us)
{
  const char *vm, *address;
  struct question *q;

  while ((vm = vmpath_next (t->paths, service, &address, now_us)) != NULL)
    {
      q = g_new0 (struct question, 1);
      q->owner = t;
      g_strlcpy (q->vm, vm, sizeof q->vm);
      q->service = g_strdup (service);
      q->asked_us = now_us;
      if (!t->opts.ask (t->opts.arg, address, on_asked, q))
        {
          vmpath_not_understood (t->paths, vm, now_us);
          g_free (q->service);
          g_free (q);
          continue;
        }
      t->nasking++;
      met_add (MET_PATH_QUESTIONS, 1);
    }
}

static void
on_check (void *arg, int64_t now_us)
{
  struct relayvms *t = arg;
  GHashTableIter it;
  const char *service;
  int64_t *until_us;

  refresh_list (t, LIST_INTERVAL_US, now_us);
  g_hash_table_iter_init (&it, t->wanted);
  while (g_hash_table_iter_next (&it, (gpointer *)&service,
                                 (gpointer *)&until_us))
    {
      if (now_us < *until_us)
        ask_all (t, service, now_us);
      else
        g_hash_table_iter_remove (&it);
    }
  if (g_hash_table_size (t->wanted) > 0)
    loop_arm (t->opts.loop, &t->check, now_us + CHECK_INTERVAL_US);
}

void
relayvms_want (struct relayvms *t, const char *service, int64_t for_us,
               int64_t now_us)
{
  int64_t *until_us = g_hash_table_lookup (t->wanted, service);

  if (t->opts.ask == NULL || t->opts.list_vms == NULL)
    return;
  if (until_us == NULL)
    {
      until_us = g_new0 (int64_t, 1);
      g_hash_table_insert (t->wanted, g_strdup (service), until_us);
    }
  *until_us = MAX (*until_us, now_us + for_us);
  if (!t->check.armed)
    on_check (t, now_us);
}

/* --- choice ---------------------------------------------------------- */

/* Most of this failure domain may be cut, so only the first VM that a request
   goes to is drawn there. */
static const char *
draw (struct relayvms *t, const struct vmpath_query *q, const char **address,
      int64_t now_us)
{
  struct vmpath_query near = *q;
  const char *vm;

  near.near_only |= q->ntried == 0;
  vm = vmpath_draw (t->paths, &near, address, now_us);
  return vm != NULL ? vm : vmpath_draw (t->paths, q, address, now_us);
}

const char *
relayvms_choose (struct relayvms *t, const struct vmpath_query *q,
                 const char **address, bool *confirmed, int64_t now_us)
{
  const char *vm;

  refresh_list (t, LIST_INTERVAL_US, now_us);
  vm = vmpath_pick (t->paths, q, address, now_us);
  *confirmed = vm != NULL;
  if (vm == NULL)
    vm = draw (t, q, address, now_us);
  if (vm != NULL)
    return vm;
  refresh_list (t, 0, now_us);
  return draw (t, q, address, now_us);
}

bool
relayvms_is_avoided (const struct relayvms *t, const char *vm, int64_t now_us)
{
  return vmpath_is_avoided (t->paths, vm, now_us);
}

bool
relayvms_expects_answer (const struct relayvms *t, int64_t now_us)
{
  return vmpath_expects_answer (t->paths, now_us);
}

void
relayvms_refused (struct relayvms *t, const char *vm, const char *service,
                  int64_t now_us)
{
  refresh_list (t, LIST_INTERVAL_US, now_us);
  vmpath_refused (t->paths, vm, service, now_us);
}

/* --- lifecycle ------------------------------------------------------- */

struct relayvms *
relayvms_new (const struct relayvms_opts *opts)
{
  struct relayvms *t = g_new0 (struct relayvms, 1);

  t->opts = *opts;
  t->paths = vmpath_new (opts->seed);
  t->wanted = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  t->check.fire = on_check;
  t->check.arg = t;
  return t;
}

void
relayvms_free (struct relayvms *t)
{
  loop_disarm (&t->check);
  t->closed = true;
  release (t);
}
