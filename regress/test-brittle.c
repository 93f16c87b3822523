/* Unit tests of brittle endpoints: notices, shares, and a service of which all
   endpoints are brittle, in simulated time with the deciding code. */
#include <glib.h>
#include <string.h>

#include "fleet.h"
#include "notice.h"
#include "platform/platform.h"
#include "relayharness.h"
#include "units.h"

#define MS CQ_US_PER_MS
#define STEP_US (2 * MS)
/* Time of a request to or from an endpoint, and of its run. */
#define TRIP_US (2 * MS)
#define RUN_US (100 * MS)
/* The notice is given at first; then so much less may wait. */
#define SHRINK_US (3 * CQ_US_PER_S)
#define END_US (11 * CQ_US_PER_S)
#define FALL_US (3 * CQ_US_PER_S)
#define QUEUE_BEFORE 24
#define QUEUE_AFTER 2
#define SLOTS 6
#define ATTEMPTS_MAX 2
/* A request waits at its VM for half of its target latency. */
#define WAIT_US (150 * MS)
#define WAITING_MAX 64

struct point
{
  int running, waiting;   /* requests */
  int64_t refused_us[64]; /* times of the last refusals */
  int refusals;           /* so far */
  int falls;              /* so far */
  int64_t fallen_us;      /* it is down until then */
};

/* A request at a VM. */
struct played
{
  int vm, attempts;
  bool forwarded; /* by the VM that its caller sent it to */
  int64_t arrived_us;
  struct fleet_endpoint *tried[ATTEMPTS_MAX];
  int ntried;
  struct fleet_endpoint *at; /* of the attempt, as its VM knows it */
  int point;                 /* of the attempt */
  int64_t placed_us;         /* when it was placed */
  int64_t due_us;            /* of what follows */
  enum
  {
    NEW,      /* to be placed, or waits at its VM */
    ARRIVES,  /* on the way to the endpoint */
    QUEUED,   /* there */
    RUNS,     /* there */
    REFUSED,  /* its refusal is on the way */
    ANSWERED, /* its answer is on the way */
    BROKEN,   /* its endpoint fell */
    OVER
  } state;
};

struct world
{
  int vms, points;
  bool reads_notice;   /* the present rule; else the one before it */
  int64_t refusals;    /* that an endpoint bears in a second */
  struct fleet *fleet; /* of each VM */
  struct point *point;
  GPtrArray *jobs; /* struct played, oldest first */
  int *nwaiting;   /* of each VM */
  int self;        /* VM whose rank is asked for */
  int64_t now_us;
  int served;     /* from SHRINK_US on */
  int refused_us; /* all refusals by endpoints */
};

/* A permutation of the VMs for each endpoint. */
static int
rank_of (void *arg, uint64_t endpoint, int *vms)
{
  const struct world *w = arg;

  *vms = w->vms;
  return (int)((endpoint + (uint64_t)w->self * 1000003) % (uint64_t)w->vms);
}

static struct point *
point_of (struct world *w, const struct played *j)
{
  return &w->point[j->point];
}

static void
leave (struct world *w, struct played *j)
{
  pick_request_ended (j->at);
  brittle_left (&j->at->brittle, j->at->running, w->now_us);
  j->tried[j->ntried++] = j->at;
  j->at = NULL;
}

/* A VM that owns no endpoint forwards the request to one that does. */
static bool
forward (struct world *w, struct played *j)
{
  struct fleet *f = &w->fleet[j->vm];
  struct fleet_endpoint *e;
  int vms, rank, owners = brittle_owners (w->refusals, w->vms);

  if (j->forwarded || j->attempts > 0
      || fleet_owns_brittle (f, "model", w->now_us))
    return false;
  e = fleet_choose_not_owned (f, "model", g_random_int (), w->now_us);
  if (e == NULL)
    return false;
  rank = g_random_int_range (0, owners);
  for (w->self = 0; rank_of (w, e->key, &vms) != rank; w->self++)
    ;
  j->vm = w->self;
  j->forwarded = true;
  j->due_us = w->now_us + 2 * TRIP_US;
  return true;
}

static void
place (struct world *w, struct played *j)
{
  struct fleet *f = &w->fleet[j->vm];
  struct pick_query q = { .service = "model", .domain = "d0" };
  struct pick_choice c;

  w->self = j->vm;
  memcpy (q.exclude, j->tried, sizeof j->tried);
  q.nexclude = j->ntried;
  q.random = g_random_int ();
  fleet_refresh_rate_shares (f, w->now_us);
  c = pick_endpoint (f, &q, w->now_us);
  if (c.code == PICK_BRITTLE && forward (w, j))
    return;
  if (c.code == PICK_BRITTLE && w->now_us - j->arrived_us < WAIT_US
      && w->nwaiting[j->vm] < WAITING_MAX)
    return;
  if (c.code != PICK_CHOSEN)
    {
      j->state = OVER;
      return;
    }
  j->at = c.endpoint;
  j->point = atoi (c.endpoint->listing.id + 1);
  pick_request_sent (j->at);
  fleet_brittle_placed (f, j->at, w->now_us);
  j->placed_us = w->now_us;
  j->due_us = w->now_us + TRIP_US;
  j->state = ARRIVES;
}

static void
refuse (struct world *w, struct played *j)
{
  struct point *p = point_of (w, j);
  int n = (int)G_N_ELEMENTS (p->refused_us);

  w->refused_us++;
  p->refused_us[p->refusals++ % n] = w->now_us;
  j->state = REFUSED;
  j->due_us = w->now_us + TRIP_US;
  if (w->now_us < SHRINK_US || p->refusals <= w->refusals
      || w->now_us - p->refused_us[(p->refusals - 1 - (int)w->refusals) % n]
             >= CQ_US_PER_S)
    return;
  p->falls++;
  p->fallen_us = w->now_us + FALL_US;
  p->refusals = 0;
}

static void
arrive (struct world *w, struct played *j)
{
  struct point *p = point_of (w, j);
  int room = w->now_us < SHRINK_US ? QUEUE_BEFORE : QUEUE_AFTER;

  if (!fleet_take_brittle (&w->fleet[j->vm], j->at, j->placed_us, w->now_us))
    {
      pick_request_ended (j->at);
      brittle_left (&j->at->brittle, j->at->running, w->now_us);
      j->at = NULL;
      j->state = NEW;
    }
  else if (w->now_us < p->fallen_us)
    {
      j->state = BROKEN;
      j->due_us = w->now_us + TRIP_US;
    }
  else if (p->running < SLOTS)
    {
      p->running++;
      j->state = RUNS;
      j->due_us = w->now_us + RUN_US;
    }
  else if (p->waiting < room)
    {
      p->waiting++;
      j->state = QUEUED;
      j->due_us = 0;
    }
  else
    refuse (w, j);
}

static void
retry (struct world *w, struct played *j)
{
  (void)w;
  j->state = ++j->attempts < ATTEMPTS_MAX ? NEW : OVER;
}

/* What follows the present state of J. */
static void
advance (struct world *w, struct played *j)
{
  struct notice n = { .is_brittle = true, .refusals_s = w->refusals };
  struct notice_origin from = { .source = "test", .has_all_notices = true };
  struct point *p = point_of (w, j);

  from.sent_us = j->placed_us;
  switch (j->state)
    {
    case ARRIVES:
      arrive (w, j);
      break;
    case RUNS:
      p->running--;
      j->state = ANSWERED;
      j->due_us = w->now_us + TRIP_US;
      break;
    case REFUSED:
      if (w->reads_notice)
        notice_apply (j->at, &n, &from, w->now_us);
      pick_overload_refused (j->at, w->now_us);
      fleet_brittle_refused (&w->fleet[j->vm], j->at, w->now_us);
      leave (w, j);
      retry (w, j);
      break;
    case ANSWERED:
      if (w->reads_notice)
        notice_apply (j->at, &n, &from, w->now_us);
      if (j->at->brittle.applies)
        brittle_accepted (&j->at->brittle, j->at->running, p->waiting,
                          w->now_us);
      pick_load_reported (j->at, p->running + p->waiting, w->now_us);
      pick_request_succeeded (j->at);
      leave (w, j);
      w->served += w->now_us >= SHRINK_US;
      j->state = OVER;
      break;
    case BROKEN:
      pick_connection_refused (j->at, w->now_us);
      brittle_crashed (&j->at->brittle);
      leave (w, j);
      retry (w, j);
      break;
    default:
      break;
    }
}

static void
step_job (struct world *w, struct played *j)
{
  struct point *p;

  if (j->state == NEW && w->now_us < j->due_us)
    return;
  if (j->state == NEW)
    {
      w->nwaiting[j->vm]--;
      place (w, j);
      w->nwaiting[j->vm] += j->state == NEW;
      return;
    }
  p = point_of (w, j);
  if ((j->state == RUNS || j->state == QUEUED) && w->now_us < p->fallen_us)
    {
      p->running -= j->state == RUNS;
      p->waiting -= j->state == QUEUED;
      j->state = BROKEN;
      j->due_us = w->now_us;
    }
  if (j->state == QUEUED && p->running < SLOTS)
    {
      p->waiting--;
      p->running++;
      j->state = RUNS;
      j->due_us = w->now_us + RUN_US;
    }
  if (j->state != QUEUED && w->now_us >= j->due_us)
    advance (w, j);
  w->nwaiting[j->vm] += j->state == NEW;
}

static void
add_jobs (struct world *w, GRand *rand, double load)
{
  double due = load * w->points * SLOTS * STEP_US / (double)RUN_US;
  int n = (int)due;
  struct played *j;

  n += g_rand_double (rand) < due - n;
  while (n-- > 0)
    {
      j = g_new0 (struct played, 1);
      j->vm = g_rand_int_range (rand, 0, w->vms);
      j->arrived_us = w->now_us;
      w->nwaiting[j->vm]++;
      g_ptr_array_add (w->jobs, j);
    }
}

static void
remove_over (struct world *w)
{
  guint i, n = 0;

  for (i = 0; i < w->jobs->len; i++)
    if (((struct played *)w->jobs->pdata[i])->state == OVER)
      g_free (w->jobs->pdata[i]);
    else
      w->jobs->pdata[n++] = w->jobs->pdata[i];
  g_ptr_array_set_size (w->jobs, (gint)n);
}

/* Falls of all endpoints. */
static int
play (struct world *w, double load)
{
  GRand *rand = g_rand_new_with_seed (7);
  int i, falls = 0;
  guint k;

  w->fleet = g_new0 (struct fleet, w->vms);
  w->point = g_new0 (struct point, w->points);
  w->nwaiting = g_new0 (int, w->vms);
  w->jobs = g_ptr_array_new ();
  g_random_set_seed (7);
  for (i = 0; i < w->vms; i++)
    {
      fleet_init (&w->fleet[i]);
      harness_list_endpoints (&w->fleet[i], w->points, SLOTS);
      w->fleet[i].brittle_rank = rank_of;
      w->fleet[i].share_arg = w;
      w->fleet[i].can_forward = true;
    }
  for (w->now_us = CQ_US_PER_S; w->now_us < END_US; w->now_us += STEP_US)
    {
      add_jobs (w, rand, load);
      for (k = 0; k < w->jobs->len; k++)
        step_job (w, w->jobs->pdata[k]);
      remove_over (w);
    }
  for (i = 0; i < w->points; i++)
    falls += w->point[i].falls;
  for (k = 0; k < w->jobs->len; k++)
    g_free (w->jobs->pdata[k]);
  g_ptr_array_free (w->jobs, TRUE);
  for (i = 0; i < w->vms; i++)
    fleet_clear (&w->fleet[i]);
  g_free (w->fleet);
  g_free (w->point);
  g_free (w->nwaiting);
  g_rand_free (rand);
  return falls;
}

/* Requests in the time after the room has shrunk that the slots serve. */
static int
capacity (const struct world *w)
{
  int64_t slots = w->points * (int64_t)SLOTS;

  return (int)(slots * (END_US - SHRINK_US) / RUN_US);
}

static void
play_size (int vms, int points, int64_t refusals)
{
  static const double loads[] = { 0.5, 1, 1.5, 2.6, 4 };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      struct world now
          = { .vms = vms, .points = points, .reads_notice = true };
      struct world old = { .vms = vms, .points = points };
      int falls, before;

      now.refusals = old.refusals = refusals;
      before = play (&old, loads[i]);
      falls = play (&now, loads[i]);
      g_test_message ("%d VMs, %d endpoints, %d refusals, load %.1f: before "
                      "%d falls, %d served; now %d falls, %d served of %d",
                      vms, points, (int)refusals, loads[i], before, old.served,
                      falls, now.served, capacity (&now));
      g_assert_cmpfloat (falls, <=, 2 + points / 10.0);
      if (loads[i] == 1.5)
        g_assert_cmpfloat (now.served, >=, capacity (&now) * 0.9);
    }
}

/* Guards against endpoints that fall over under the refusals of all VMs
   together, or that stay empty since none sends. */
static void
test_one_vm (void)
{
  play_size (1, 4, 5);
}

static void
test_nine_vms (void)
{
  play_size (9, 3, 5);
  play_size (9, 12, 3);
}

static void
test_63_vms (void)
{
  play_size (63, 5, 5);
  play_size (78, 12, 2);
}

static void
test_195_vms (void)
{
  play_size (195, 5, 5);
}

/* Guards against shares of all VMs that add up to more than an endpoint
   bears. */
static void
test_shares (void)
{
  int vms, rank, sum;
  int64_t n;

  for (n = 0; n <= 40; n++)
    for (vms = 1; vms <= 300; vms++)
      {
        sum = 0;
        for (rank = 0; rank < vms; rank++)
          sum += brittle_share (n, vms, rank);
        g_assert_cmpint (sum, <=, MAX (n, 1));
        g_assert_cmpint (sum, >=, 1);
      }
}

/* An endpoint that bears four refusals, of which this VM has one token and
   three requests there. */
static struct brittle
owned (int64_t now_us)
{
  struct brittle b = { .active = false };

  brittle_set_share (&b, 4, 1, true, 3, now_us);
  return b;
}

/* Guards against refusals without end of requests that need no token. */
static void
test_second_refusal_stops (void)
{
  int64_t now_us = CQ_US_PER_S;
  struct brittle b = owned (now_us);
  struct brittle_guest guest = { .free_us = 0 };

  brittle_left (&b, 2, now_us);
  brittle_refused (&b, &guest, 3, now_us);
  g_assert_true (brittle_may_place (&b, &guest, 2, now_us + 5 * MS));
  g_assert_false (brittle_may_place (&b, &guest, 3, now_us + 5 * MS));
  brittle_refused (&b, &guest, 2, now_us + 10 * MS);
  g_assert_false (brittle_may_place (&b, &guest, 1, now_us + 20 * MS));
  g_assert_false (brittle_may_place (&b, &guest, 0, now_us + CQ_US_PER_S));
  g_assert_true (brittle_may_place (&b, &guest, 0, now_us + 1100 * MS));
}

/* Guards against places that a VM keeps at an endpoint and does not use, while
   the others fill it. */
static void
test_places_lapse (void)
{
  int64_t now_us = CQ_US_PER_S;
  struct brittle b = owned (now_us);
  struct brittle_guest guest = { .free_us = 0 };

  brittle_refused (&b, &guest, 3, now_us);
  brittle_left (&b, 2, now_us);
  g_assert_true (brittle_may_place (&b, &guest, 2, now_us + 90 * MS));
  g_assert_false (brittle_may_place (&b, &guest, 2, now_us + 110 * MS));
}

/* Guards against notices that are spoiled and taken for none. */
static void
test_notice (void)
{
  static const struct
  {
    const char *lines[3];
    bool brittle;
    int64_t refusals;
  } cases[] = {
    { { "Server-Brittle: 5" }, true, 5 },
    { { "server-brittle:  7 " }, true, 7 },
    { { "Server-Brittle: 2.9" }, true, 2 },
    { { "Server-Brittle: 0" }, true, 0 },
    { { "Server-Brittle: -3" }, true, 0 },
    { { "Server-Brittle: many" }, true, 0 },
    { { "Server-Brittle:" }, true, 0 },
    { { "Server-Brittle: 99999999999999999999" }, true, 0 },
    { { "Server-Brittle: 9", "Server-Brittle: 4" }, true, 4 },
    { { "Server-Brittle: 4", "Server-Brittle: 9" }, true, 4 },
    { { "Server-Limit: 4" }, false, 0 },
  };
  size_t i, k;

  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct notice n = { 0 };

      for (k = 0; cases[i].lines[k] != NULL; k++)
        pnotice_add_line (&n, cases[i].lines[k], strlen (cases[i].lines[k]));
      g_assert_cmpint (n.is_brittle, ==, cases[i].brittle);
      g_assert_cmpint (n.refusals_s, ==, cases[i].refusals);
    }
}

/* Guards against a late answer that ends what a newer one reported. */
static void
test_order (void)
{
  struct brittle b = { 0 };
  int64_t s = CQ_US_PER_S;

  g_assert_true (brittle_report (&b, 5, 1 * s, 2 * s));
  g_assert_false (brittle_clear (&b, 1 * s));
  g_assert_true (brittle_report (&b, 3, 1 * s, 3 * s));
  g_assert_false (brittle_report (&b, 9, 2 * s, 4 * s));
  g_assert_cmpint (b.refusals, ==, 3);
  g_assert_true (brittle_clear (&b, 5 * s));
  g_assert_cmpint (brittle_refusals (&b, 4, 6 * s, 7 * s), ==, 4);
  g_assert_cmpint (brittle_refusals (&b, 4, 4 * s, 7 * s), ==, -1);
  g_assert_cmpint (brittle_refusals (&b, 4, 6 * s, 16 * s), ==, -1);
}

const struct unit brittle_units[] = {
  { "/brittle/one-vm", test_one_vm },
  { "/brittle/nine-vms", test_nine_vms },
  { "/brittle/63-vms", test_63_vms },
  { "/brittle/195-vms", test_195_vms },
  { "/brittle/shares", test_shares },
  { "/brittle/notice", test_notice },
  { "/brittle/order", test_order },
  { "/brittle/second-refusal-stops", test_second_refusal_stops },
  { "/brittle/places-lapse", test_places_lapse },
  { NULL, NULL },
};
