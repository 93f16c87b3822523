/* Evidence on failed endpoints, and what follows from it. */
#include "health.h"

#include <glib.h>
#include <stdlib.h>

#include "decide.h"

/* Failures that eject an endpoint together occur within this time. */
#define WINDOW_US (2 * CQ_US_PER_S)
/* Failures at so many other VMs eject it: fewer where the VMs are in this VM's
   failure domain, as they use the same links. */
#define NEAR_VMS 2
#define ALL_VMS 3
/*
 * An ejection by reports ends so long after the last failure.  One VM probes
 * the endpoint at a time, and its reports reach 24 VMs, so that with 63 VMs a
 * VM hears from every third prober; these rotate every 2 s.
 */
#define HOLD_US (10 * CQ_US_PER_S)
/* A recovering endpoint gets a tenth of its requests at first, and all of them
   after this time. */
#define RECOVERY_US (2 * CQ_US_PER_S)
#define RECOVERY_PERMILLE 100
/* Endpoints are ejected by reports while the load of the others is under this
   percentage of their slots. */
#define LOAD_PERCENT 90

/* --- evidence -------------------------------------------------------- */

static bool
is_held (const struct health *h, int64_t now_us)
{
  return h->reported && now_us - h->failed_us <= HOLD_US;
}

/* An answer that is newer than a failure at any VM disproves it. */
static void
add_answer (struct health *h, int64_t seen_us)
{
  int i, kept = 0;

  if (seen_us <= h->answered_us)
    return;
  h->answered_us = seen_us;
  for (i = 0; i < h->nreports; i++)
    if (h->reports[i].seen_us > seen_us)
      h->reports[kept++] = h->reports[i];
  h->nreports = kept;
  if (!h->reported || seen_us <= h->failed_us)
    return;
  if (is_held (h, seen_us))
    h->recovering_us = seen_us;
  h->reported = false;
}

/* The entry for a failure that VM reports: its own, a free one, or the
   oldest. */
static struct health_report *
entry_for (struct health *h, uint64_t vm)
{
  struct health_report *oldest = h->reports;
  int i;

  for (i = 0; i < h->nreports; i++)
    {
      if (h->reports[i].vm == vm)
        return &h->reports[i];
      if (h->reports[i].seen_us < oldest->seen_us)
        oldest = &h->reports[i];
    }
  if (h->nreports == HEALTH_OBSERVERS_MAX)
    return oldest;
  h->reports[h->nreports] = (struct health_report){ .vm = vm };
  return &h->reports[h->nreports++];
}

static bool
is_enough (const struct health *h, int64_t newest_us)
{
  int i, near = 0, all = 0;

  for (i = 0; i < h->nreports; i++)
    if (h->reports[i].seen_us > newest_us - WINDOW_US)
      {
        all++;
        near += h->reports[i].near;
      }
  return near >= NEAR_VMS || all >= ALL_VMS;
}

/* A failure that is not enough to eject upholds an ejection. */
static void
add_failure (struct health *h, uint64_t vm, bool near, int64_t seen_us)
{
  struct health_report *r;

  if (seen_us <= h->answered_us)
    return;
  r = entry_for (h, vm);
  if (seen_us <= r->seen_us)
    return;
  *r = (struct health_report){ .vm = vm, .seen_us = seen_us, .near = near };
  if (!is_held (h, seen_us))
    h->reported = is_enough (h, seen_us);
  if (h->reported)
    h->failed_us = MAX (h->failed_us, seen_us);
}

void
health_add (struct health *h, uint64_t vm, bool near, enum load_seen seen,
            int64_t seen_us)
{
  if (seen == LOAD_SEEN_ANSWERED)
    add_answer (h, seen_us);
  else
    add_failure (h, vm, near, seen_us);
}

void
health_add_probe_answer (struct health *h, int64_t seen_us)
{
  add_answer (h, seen_us);
  if (seen_us <= h->own_us)
    return;
  h->own = LOAD_SEEN_ANSWERED;
  h->own_us = seen_us;
}

void
health_add_own_answer (struct health *h, int64_t seen_us)
{
  if (seen_us > h->own_us && h->own_until_us > seen_us)
    {
      h->own_until_us = 0;
      h->recovering_us = seen_us;
    }
  h->disproved = false;
  health_add_probe_answer (h, seen_us);
}

void
health_add_own_failure (struct health *h, enum load_seen seen, int64_t seen_us,
                        int64_t until_us)
{
  h->own_until_us = MAX (h->own_until_us, until_us);
  if (seen_us <= h->own_us)
    return;
  h->own = seen;
  h->own_us = seen_us;
  if (is_held (h, seen_us))
    h->failed_us = MAX (h->failed_us, seen_us);
}

bool
health_is_failure_reported (const struct health *h, int64_t now_us)
{
  int i;

  for (i = 0; i < h->nreports; i++)
    if (h->reports[i].seen_us > now_us - WINDOW_US)
      return true;
  return false;
}

/* --- verdict --------------------------------------------------------- */

bool
health_is_ejected (const struct health *h)
{
  return h->effect != HEALTH_GOOD && h->effect != HEALTH_RECOVERING;
}

/* When the last ejection ended, 0 if there was none. */
static int64_t
recovery_start_us (const struct health *h)
{
  int64_t lapse = h->reported ? h->failed_us + HOLD_US : 0;

  return MAX (MAX (h->recovering_us, h->own_until_us), lapse);
}

enum health_state
health_evaluate (const struct health *h, int64_t now_us)
{
  int64_t start = recovery_start_us (h);

  if (now_us < h->own_until_us)
    return HEALTH_EJECTED_OWN;
  if (is_held (h, now_us))
    return HEALTH_EJECTED_REPORTED;
  return start > 0 && now_us - start < RECOVERY_US ? HEALTH_RECOVERING
                                                   : HEALTH_GOOD;
}

int64_t
health_age_us (const struct health *h, int64_t now_us)
{
  int64_t newest = MAX (h->own_us, MAX (h->answered_us, h->failed_us));

  return newest > 0 ? now_us - newest : -1;
}

/* Most observers first. */
static int
compare_members (const void *a, const void *b)
{
  const struct health_member *x = a, *y = b;
  int by_observers = y->health->nreports - x->health->nreports;

  if (by_observers != 0)
    return by_observers;
  return (x->key > y->key) - (x->key < y->key);
}

/* Endpoints that are in use, and their load. */
struct rest
{
  int endpoints;
  int64_t load;
  int64_t slots;
};

/* Whether R without M bears its load, and is half of N endpoints. */
static bool
is_spare (const struct rest *r, const struct health_member *m, int n)
{
  int64_t slots = r->slots - m->slots;

  if (2 * (r->endpoints - 1) < n)
    return false;
  return r->slots == 0 || (r->load - m->load) * 100 < slots * LOAD_PERCENT;
}

static void
take_out (struct rest *r, const struct health_member *m)
{
  r->endpoints--;
  r->load -= m->load;
  r->slots -= m->slots;
}

static void
set_effect (struct health *h, enum health_state effect, int64_t now_us)
{
  bool before = health_is_ejected (h);

  h->effect = effect;
  h->decided_us = now_us;
  if (health_is_ejected (h) && !before)
    h->ejected_us = now_us;
}

void
health_decide (struct health_member *m, int n, int64_t now_us)
{
  struct rest rest = { .endpoints = n };
  enum health_state state;
  int i;

  qsort (m, (size_t)n, sizeof *m, compare_members);
  for (i = 0; i < n; i++)
    {
      rest.load += m[i].load;
      rest.slots += m[i].slots;
    }
  for (i = 0; i < n; i++)
    if (health_evaluate (m[i].health, now_us) == HEALTH_EJECTED_OWN)
      take_out (&rest, &m[i]);
  for (i = 0; i < n; i++)
    {
      state = health_evaluate (m[i].health, now_us);
      if (state == HEALTH_EJECTED_REPORTED && !is_spare (&rest, &m[i], n))
        state = HEALTH_KEPT;
      else if (state == HEALTH_EJECTED_REPORTED)
        take_out (&rest, &m[i]);
      set_effect (m[i].health, state, now_us);
    }
}

bool
health_is_avoided (const struct health *h, uint64_t random, int64_t now_us)
{
  int64_t since;

  if (h->effect == HEALTH_EJECTED_OWN || h->effect == HEALTH_EJECTED_REPORTED)
    return true;
  if (h->effect != HEALTH_RECOVERING)
    return false;
  since = MAX (now_us - recovery_start_us (h), 0);
  return (int64_t)(random % CQ_PERMILLE)
         >= RECOVERY_PERMILLE
                + (CQ_PERMILLE - RECOVERY_PERMILLE) * since / RECOVERY_US;
}

const char *
health_name (enum health_state state)
{
  static const char *const names[] = {
    [HEALTH_GOOD] = "good",
    [HEALTH_RECOVERING] = "recovering",
    [HEALTH_KEPT] = "kept",
    [HEALTH_EJECTED_OWN] = "ejected_own",
    [HEALTH_EJECTED_REPORTED] = "ejected_reported",
  };

  return names[state];
}
