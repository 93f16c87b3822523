/*
 * Failed endpoints in simulated time: VMs with the real placement and health
 * modules, endpoints that accept no connections, and the reports that VMs
 * send each other.  Prints what callers meet under the old rule, where each VM
 * finds failures by its own requests, and under the new one.
 *
 * The reports travel as the design page says: to 24 VMs, those of the domain
 * first, a failure after 5 ms and an answer after 50 ms, in messages that are
 * 20 ms apart at least.
 */
#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "decide.h"
#include "log.h"
#include "relayhealth.h"

#define MS CQ_US_PER_MS
#define SEC CQ_US_PER_S
#define ENDPOINTS 140
#define DOMAINS 3
#define VMS_MAX 300
#define RECIPIENTS 24
#define START_US (100 * SEC)
#define FAIL_US (START_US + 3 * SEC) /* the failure begins, and ends */
#define REPAIR_US (FAIL_US + 12 * SEC)
#define END_US (REPAIR_US + 8 * SEC)
/* Mean time between two requests of all VMs together: 12 a second for each
   endpoint. */
#define ARRIVAL_US 595
#define CONNECT_US (1 * MS)
#define HEAD_US (56 * MS)    /* from the connection to the head, on average */
#define ANSWER_US (100 * MS) /* from the connection to the end */
#define OLD_TIMEOUT_US (400 * MS)
#define TRIAL_TIMEOUT_US (80 * MS)
#define TARGET_US (300 * MS) /* latency target of the route */
#define FAILURE_DELAY_US (5 * MS)
#define ANSWER_DELAY_US (50 * MS)
#define MESSAGE_GAP_US (20 * MS)
#define REPORT_AGE_US (1 * SEC) /* older reports are not sent */
#define TRAVEL_US (1 * MS)
#define PROBE_TIMEOUT_US (800 * MS)
#define ROTATION_US (2 * SEC)
#define TRIES_MAX 5
#define PROMPTS 10000 /* first parts of prompts, which place requests */

enum rule
{
  RULE_OLD,   /* each VM by its own failures, 400 ms */
  RULE_TRIAL, /* the same with 80 ms, and one failure is enough */
  RULE_NEW
};

/* What fails in a run. */
struct setup
{
  const char *name;  /* as printed */
  int vms;           /* number of VMs */
  int failed;        /* endpoints that accept no connections for a while */
  int full;          /* endpoints whose queue is full meanwhile */
  int loss_permille; /* of packets */
  bool cut_off;      /* VM 0 reaches no endpoint meanwhile */
  bool cut_from_vms; /* and no VM */
  bool liar;         /* VM 0 reports every endpoint as failed all the time */
  bool probes_lie;   /* failed endpoints answer probes, others do not */
  bool busy; /* each VM stands still for up to 100 ms, five times in two
                seconds */
};

/* The loop of a VM; its timers are events. */
struct loop
{
  int vm; /* whose it is */
};

struct vm
{
  struct loop loop;                         /* its timers */
  struct fleet fleet;                       /* its view of the endpoints */
  struct relayhealth *health;               /* NULL under the old rules */
  struct endpoint_report outbox[ENDPOINTS]; /* newest report of each */
  int64_t seen_us[ENDPOINTS];               /* time of these; 0 for none */
  int64_t due_us;             /* when the next message leaves; 0 if none */
  int64_t sent_us;            /* when the last one left */
  int64_t frozen_us;          /* it stands still until then */
  int recipients[RECIPIENTS]; /* VMs that get its reports */
  int nrecipients;            /* entries in recipients */
  struct fleet_endpoint *endpoints[ENDPOINTS]; /* by number */
  int64_t known_us[ENDPOINTS]; /* when it first avoided a failed one */
};

struct event
{
  int64_t at_us;                      /* when it occurs */
  unsigned number;                    /* order of events at the same time */
  int vm;                             /* whose code runs */
  void (*run) (struct event *e);      /* callback of the event */
  struct loop_timer *timer;           /* that fires */
  int64_t due_us;                     /* of the timer, when it was armed */
  int endpoint;                       /* endpoint that it concerns */
  int tried[TRIES_MAX];               /* endpoints that were tried before */
  int ntried;                         /* entries in tried */
  struct relayhealth_attempt attempt; /* whose connection ends */
  bool fails;                         /* the connection does not come up */
  int64_t connected_us;               /* when it did */
  relay_probe_done done;              /* callback of a probe */
  void *arg;                          /* passed to done */
  enum relay_probe_result result;     /* passed to done */
  struct endpoint_report *reports;    /* of a message */
  int nreports;                       /* entries in reports */
};

static struct
{
  const struct setup *setup;     /* what fails */
  enum rule rule;                /* of all VMs */
  int64_t now_us;                /* simulated time */
  int vm;                        /* whose code runs */
  unsigned numbers;              /* events so far */
  GPtrArray *heap;               /* struct event, the first at the root */
  GRand *rand;                   /* seeded */
  struct vm vms[VMS_MAX];        /* all */
  int prober[ENDPOINTS];         /* VM that probes each endpoint */
  int64_t prober_rotation;       /* number of the rotation for which */
  int dead_sends;                /* attempts at failed endpoints */
  int64_t dead_wait_us;          /* time that requests waited for them */
  int probes;                    /* sent */
  int false_own, false_reported; /* ejections of live endpoints */
  int false_elsewhere;           /* of these, at VMs other than VM 0 */
  int refused;                   /* requests without a further endpoint */
  int still_out[2]; /* failed endpoints that VMs avoid some time after */
  int most_out;     /* endpoints that one VM avoids on reports, at most */
} w;

/* --- events ---------------------------------------------------------- */

static bool
is_before (const struct event *a, const struct event *b)
{
  return a->at_us != b->at_us ? a->at_us < b->at_us : a->number < b->number;
}

static void
swap (guint a, guint b)
{
  gpointer *p = w.heap->pdata, t = p[a];

  p[a] = p[b];
  p[b] = t;
}

static struct event *
at_heap (guint i)
{
  return w.heap->pdata[i];
}

static struct event *
push (int64_t at_us, int vm, void (*run) (struct event *e))
{
  struct event *e = g_new0 (struct event, 1);
  guint i = w.heap->len;

  e->at_us = at_us;
  e->number = w.numbers++;
  e->vm = vm;
  e->run = run;
  g_ptr_array_add (w.heap, e);
  for (; i > 0 && is_before (e, at_heap ((i - 1) / 2)); i = (i - 1) / 2)
    swap (i, (i - 1) / 2);
  return e;
}

static struct event *
pop (void)
{
  struct event *first = at_heap (0);
  guint i = 0, child, n = w.heap->len - 1;

  swap (0, n);
  g_ptr_array_set_size (w.heap, (gint)n);
  while ((child = 2 * i + 1) < n)
    {
      if (child + 1 < n && is_before (at_heap (child + 1), at_heap (child)))
        child++;
      if (is_before (at_heap (i), at_heap (child)))
        break;
      swap (i, child);
      i = child;
    }
  return first;
}

int64_t
loop_now_us (void)
{
  return w.now_us;
}

static void
fire_timer (struct event *e)
{
  if (!e->timer->armed || e->timer->due_us > w.now_us
      || e->timer->due_us != e->due_us)
    return;
  e->timer->armed = false;
  e->timer->fire (e->timer->arg, w.now_us);
}

void
loop_arm (struct loop *l, struct loop_timer *t, int64_t due_us)
{
  struct event *e = push (due_us, l->vm, fire_timer);

  t->due_us = due_us;
  t->armed = true;
  e->timer = t;
  e->due_us = due_us;
}

void
loop_disarm (struct loop_timer *t)
{
  t->armed = false;
}

void
loop_post (struct loop *l, struct loop_msg *m)
{
  (void)l;
  (void)m;
}

static int
random_below (int n)
{
  return g_rand_int_range (w.rand, 0, n);
}

static bool
is_lost (void)
{
  return random_below (CQ_PERMILLE) < w.setup->loss_permille;
}

static bool
is_failing (int endpoint)
{
  return endpoint < w.setup->failed && w.now_us >= FAIL_US
         && w.now_us < REPAIR_US;
}

static bool
is_cut_off (int vm)
{
  return w.setup->cut_off && vm == 0 && w.now_us >= FAIL_US
         && w.now_us < REPAIR_US;
}

/* Whether failures at it are seen for a good reason: those of the last moment
   are reported a little later. */
static bool
is_known_failing (int endpoint)
{
  return endpoint < w.setup->failed && w.now_us >= FAIL_US
         && w.now_us < REPAIR_US + SEC;
}

/* A full queue of new connections loses half of them. */
static bool
is_queue_full (int endpoint)
{
  return endpoint < w.setup->full && w.now_us >= FAIL_US
         && w.now_us < REPAIR_US && random_below (2) == 0;
}

/* --- what is counted ------------------------------------------------- */

static void
count_ejection (int endpoint, bool own)
{
  struct vm *v = &w.vms[w.vm];

  if (is_known_failing (endpoint))
    {
      if (v->known_us[endpoint] == 0)
        v->known_us[endpoint] = w.now_us;
      return;
    }
  w.false_own += own;
  w.false_reported += !own;
  w.false_elsewhere += w.vm != 0;
}

/* The lines of the product tell of the verdicts. */
void
log_event (enum log_level level, const char *event, const char *fmt, ...)
{
  g_autofree char *text = NULL;
  g_auto (GStrv) words = NULL;
  const char *outcome, *before;
  va_list args;

  (void)level;
  if (strcmp (event, "endpoint_health") != 0)
    return;
  va_start (args, fmt);
  text = g_strdup_vprintf (fmt, args);
  va_end (args);
  words = g_strsplit (text, " ", 4);
  outcome = strchr (words[1], '=') + 1;
  before = strchr (words[2], '=') + 1;
  if (g_str_has_prefix (outcome, "ejected")
      && !g_str_has_prefix (before, "ejected"))
    count_ejection (atoi (strchr (words[0], '=') + 1),
                    strcmp (outcome, "ejected_own") == 0);
}

static void
count_out (const struct vm *v)
{
  int i, out = 0;

  for (i = 0; i < ENDPOINTS; i++)
    out += v->endpoints[i]->health.effect == HEALTH_EJECTED_REPORTED;
  w.most_out = MAX (w.most_out, out);
}

/* --- reports --------------------------------------------------------- */

static void
deliver (struct event *e)
{
  const struct vm *from = &w.vms[e->vm];
  struct vm *to;
  int i, k;

  for (i = 0; i < from->nrecipients; i++)
    {
      to = &w.vms[from->recipients[i]];
      if (is_lost ()
          || (w.setup->cut_from_vms
              && (is_cut_off (e->vm) || is_cut_off (from->recipients[i]))))
        continue;
      for (k = 0; k < e->nreports; k++)
        health_add (&to->endpoints[e->reports[k].endpoint]->health,
                    (uint64_t)e->vm + 1,
                    e->vm % DOMAINS == from->recipients[i] % DOMAINS,
                    e->reports[k].seen, w.now_us - e->reports[k].age_us);
    }
  g_free (e->reports);
}

static void
send_reports (struct event *e)
{
  struct vm *v = &w.vms[e->vm];
  struct event *m;
  int i, pass;

  if (v->due_us != e->at_us && v->due_us > w.now_us)
    return;
  if (v->due_us == 0)
    return;
  v->due_us = 0;
  v->sent_us = w.now_us;
  m = push (w.now_us + TRAVEL_US, e->vm, deliver);
  m->reports = g_new (struct endpoint_report, LOAD_REPORTS_MAX);
  for (pass = 0; pass < 2; pass++)
    for (i = 0; i < ENDPOINTS && m->nreports < LOAD_REPORTS_MAX; i++)
      {
        struct endpoint_report *r = &v->outbox[i];

        if (v->seen_us[i] == 0
            || (r->seen == LOAD_SEEN_ANSWERED) != (pass == 1))
          continue;
        r->endpoint = (uint64_t)i;
        r->age_us = w.now_us - v->seen_us[i] + TRAVEL_US;
        if (r->age_us <= REPORT_AGE_US)
          m->reports[m->nreports++] = *r;
        v->seen_us[i] = 0;
      }
}

static void
schedule_reports (int vm, int64_t delay_us)
{
  struct vm *v = &w.vms[vm];
  int64_t due = MAX (w.now_us + delay_us, v->sent_us + MESSAGE_GAP_US);

  if (v->due_us != 0 && v->due_us <= due)
    return;
  v->due_us = due;
  push (due, vm, send_reports);
}

static int
index_of (const struct fleet_endpoint *e)
{
  return atoi (e->listing.id);
}

static void
on_seen (void *arg, const struct endpoint_report *seen, int64_t now_us)
{
  struct vm *v = arg;
  int i;

  for (i = 0; v->endpoints[i]->key != seen->endpoint; i++)
    ;
  if (now_us - seen->age_us < v->seen_us[i])
    return;
  v->outbox[i] = *seen;
  v->seen_us[i] = now_us - seen->age_us;
  schedule_reports (v->loop.vm, seen->seen == LOAD_SEEN_ANSWERED
                                    ? ANSWER_DELAY_US
                                    : FAILURE_DELAY_US);
}

static void
lie (struct event *e)
{
  struct endpoint_report r = { .seen = LOAD_SEEN_UNREACHABLE };
  struct vm *v = &w.vms[e->vm];
  int i;

  for (i = 0; i < ENDPOINTS; i++)
    {
      r.endpoint = v->endpoints[i]->key;
      on_seen (v, &r, w.now_us);
    }
  push (w.now_us + 100 * MS, e->vm, lie);
}

/* --- probes ---------------------------------------------------------- */

/* The VM that ranks first for each endpoint. */
static void
rank_probers (void)
{
  uint64_t score, high, seed;
  int e, vm;

  w.prober_rotation = w.now_us / ROTATION_US;
  for (e = 0; e < ENDPOINTS; e++)
    for (vm = 0, high = 0; vm < w.setup->vms; vm++)
      {
        seed = (uint64_t)w.prober_rotation * 1000 + (uint64_t)vm;
        score = XXH3_64bits_withSeed (&e, sizeof e, seed);
        if (score > high)
          {
            high = score;
            w.prober[e] = vm;
          }
      }
}

static bool
may_probe (void *arg, uint64_t endpoint, int64_t now_us)
{
  const struct vm *v = arg;
  int i;

  if (w.prober_rotation != now_us / ROTATION_US)
    rank_probers ();
  for (i = 0; v->endpoints[i]->key != endpoint; i++)
    ;
  return w.prober[i] == v->loop.vm;
}

static void
end_probe (struct event *e)
{
  e->done (e->arg, e->result, NULL);
}

static void
probe (void *ctx, const struct fleet_endpoint *endpoint, relay_probe_done done,
       void *arg)
{
  struct vm *v = ctx;
  int i = index_of (endpoint);
  bool answers = !is_failing (i);
  bool connects = !is_cut_off (v->loop.vm) && !is_lost () && !is_lost ()
                  && !is_queue_full (i);
  struct event *e;

  w.probes++;
  if (w.setup->probes_lie)
    answers = !answers;
  answers &= connects;
  e = push (w.now_us + (answers ? 2 * CONNECT_US : CONNTIME_MAX_US),
            v->loop.vm, end_probe);
  e->done = done;
  e->arg = arg;
  e->result = answers ? RELAY_PROBE_ALIVE : RELAY_PROBE_SILENT;
}

/* --- requests -------------------------------------------------------- */

static void place (int vm, const int *tried, int ntried);

static void
end_answer (struct event *e)
{
  struct fleet_endpoint *to = w.vms[e->vm].endpoints[e->endpoint];

  pick_request_succeeded (to);
  pick_request_ended (to);
}

static void
begin_answer (struct event *e)
{
  struct vm *v = &w.vms[e->vm];

  if (v->health != NULL)
    relayhealth_answered (v->health, v->endpoints[e->endpoint], -1, 0,
                          e->connected_us, w.now_us);
  push (e->connected_us + ANSWER_US, e->vm, end_answer)->endpoint
      = e->endpoint;
}

/* The event of a connection that was established. */
static void
connected (struct event *e)
{
  struct vm *v = &w.vms[e->vm];
  struct event *head;

  if (v->health != NULL)
    relayhealth_connected (v->health, v->endpoints[e->endpoint],
                           w.now_us - e->attempt.started_us, w.now_us);
  head = push (w.now_us + HEAD_US / 2 + random_below (HEAD_US), e->vm,
               begin_answer);
  head->endpoint = e->endpoint;
  head->connected_us = w.now_us;
}

static void
fail_old (struct fleet_endpoint *to)
{
  bool was_out = w.now_us < to->backoff_until_us;

  if (w.rule == RULE_TRIAL)
    pick_connection_refused (to, w.now_us);
  else
    pick_request_failed (to, w.now_us);
  if (!was_out && w.now_us < to->backoff_until_us)
    count_ejection (index_of (to), true);
}

static void
timed_out (struct event *e)
{
  struct vm *v = &w.vms[e->vm];
  struct fleet_endpoint *to = v->endpoints[e->endpoint];

  if (is_failing (e->endpoint))
    w.dead_wait_us += w.now_us - e->attempt.started_us;
  pick_request_ended (to);
  if (v->health != NULL)
    relayhealth_failed (v->health, &e->attempt, LOAD_SEEN_UNREACHABLE,
                        w.now_us);
  else
    fail_old (to);
  e->tried[e->ntried++] = e->endpoint;
  place (e->vm, e->tried, e->ntried);
}

/* The connection is up, or its time is over, when the VM looks next.  libcurl
   checks the time first. */
static void
end_connect (struct event *e)
{
  if (!e->fails && w.now_us < e->attempt.started_us + e->attempt.timeout_us)
    connected (e);
  else
    timed_out (e);
}

static void
start_attempt (struct vm *v, struct fleet_endpoint *to, const int *tried,
               int ntried)
{
  struct relayhealth_attempt a = { .endpoint = to, .started_us = w.now_us };
  int i = index_of (to);
  bool ok = !is_failing (i) && !is_cut_off (v->loop.vm) && !is_lost ()
            && !is_lost () && !is_queue_full (i);
  struct event *e;

  pick_request_sent (to);
  w.dead_sends += is_failing (i);
  a.timeout_us = w.rule == RULE_TRIAL ? TRIAL_TIMEOUT_US : OLD_TIMEOUT_US;
  if (v->health != NULL)
    relayhealth_start (v->health, &a, TARGET_US);
  e = push (w.now_us + (ok ? CONNECT_US : a.timeout_us), v->loop.vm,
            end_connect);
  e->attempt = a;
  e->endpoint = i;
  e->fails = !ok;
  for (; e->ntried < ntried; e->ntried++)
    e->tried[e->ntried] = tried[e->ntried];
}

static void
place (int vm, const int *tried, int ntried)
{
  static const struct fleet_region_limits anywhere;
  struct vm *v = &w.vms[vm];
  struct pick_query q = { .service = "s", .homes = anywhere };
  struct pick_choice c;
  char prompt[16];
  int i;

  g_snprintf (prompt, sizeof prompt, "%d", random_below (PROMPTS));
  q.affinity = prompt;
  q.domain = vm % DOMAINS == 0 ? "0" : vm % DOMAINS == 1 ? "1" : "2";
  q.random = (uint64_t)g_rand_int (w.rand) << 32;
  q.random |= g_rand_int (w.rand);
  for (i = 0; i < ntried; i++)
    q.exclude[i] = v->endpoints[tried[i]];
  q.nexclude = ntried;
  if (v->health != NULL)
    {
      relayhealth_refresh (v->health, w.now_us);
      count_out (v);
    }
  c = pick_endpoint (&v->fleet, &q, w.now_us);
  if (c.code != PICK_CHOSEN || ntried >= TRIES_MAX)
    w.refused++;
  else
    start_attempt (v, c.endpoint, tried, ntried);
}

static void
receive (struct event *e)
{
  static const int none[TRIES_MAX];

  place (e->vm, none, 0);
}

/* The random numbers are drawn in an order that C does not leave to the
   compiler, so that a seed gives the same run on all machines. */
static void
arrive (struct event *e)
{
  int vm = random_below (w.setup->vms);

  push (w.now_us + random_below (2 * ARRIVAL_US) + 1, vm, arrive);
  push (w.now_us, e->vm, receive);
}

/* Count the endpoints that VMs still avoid after the failure. */
static void
count_still_out (struct event *e)
{
  const struct fleet_endpoint *to;
  int vm, i;

  for (vm = 0; vm < w.setup->vms; vm++)
    for (i = 0; i < w.setup->failed; i++)
      {
        to = w.vms[vm].endpoints[i];
        w.still_out[e->endpoint]
            += w.now_us < to->backoff_until_us
               || to->health.effect == HEALTH_EJECTED_REPORTED;
      }
}

/* The VM stands still. */
static void
freeze (struct event *e)
{
  w.vms[e->vm].frozen_us = w.now_us + random_below (100 * MS);
  push (w.now_us + 200 * MS + random_below (400 * MS), e->vm, freeze);
}

/* --- runs ------------------------------------------------------------ */

static void
choose_recipients (struct vm *v, int vm)
{
  int *order = g_new (int, w.setup->vms);
  int i, k, pass;

  for (i = 0; i < w.setup->vms; i++)
    order[i] = i;
  for (i = w.setup->vms - 1; i > 0; i--)
    {
      k = random_below (i + 1);
      int t = order[i];
      order[i] = order[k];
      order[k] = t;
    }
  v->nrecipients = 0;
  for (pass = 0; pass < 2; pass++)
    for (i = 0; i < w.setup->vms && v->nrecipients < RECIPIENTS; i++)
      if (order[i] != vm
          && (order[i] % DOMAINS == vm % DOMAINS) == (pass == 0))
        v->recipients[v->nrecipients++] = order[i];
  g_free (order);
}

static void
start_vm (int vm)
{
  static struct relay_engine engines[VMS_MAX];
  struct vm *v = &w.vms[vm];
  struct relayhealth_opts o = { .loop = &v->loop, .fleet = &v->fleet };
  struct fleet_listing l = { .slots = 12 };
  int i;

  memset (v, 0, sizeof *v);
  v->loop.vm = vm;
  fleet_init (&v->fleet);
  g_strlcpy (l.service, "s", sizeof l.service);
  for (i = 0; i < ENDPOINTS; i++)
    {
      g_snprintf (l.id, sizeof l.id, "%d", i);
      g_snprintf (l.domain, sizeof l.domain, "%d", i % DOMAINS);
      fleet_apply_listing (&v->fleet, &l, START_US);
      v->endpoints[i] = g_hash_table_lookup (v->fleet.by_id, l.id);
    }
  choose_recipients (v, vm);
  if (w.setup->busy)
    push (START_US + random_below (400 * MS), vm, freeze);
  if (w.rule != RULE_NEW)
    return;
  engines[vm].probe = probe;
  engines[vm].ctx = v;
  o.engine = &engines[vm];
  o.may_probe = may_probe;
  o.on_seen = on_seen;
  o.arg = v;
  v->health = relayhealth_new (&o);
}

/* What a VM that stands still would do is done when it runs again. */
static bool
postpone (struct event *e)
{
  const struct vm *v = &w.vms[e->vm];
  struct event *later;
  int64_t at = v->frozen_us;
  unsigned number;

  if (!w.setup->busy || e->run == freeze || e->run == arrive
      || e->run == deliver || at <= w.now_us)
    return false;
  later = push (at, e->vm, e->run);
  number = later->number;
  *later = *e;
  later->at_us = at;
  later->number = number;
  return true;
}

/* Free the VMs and the events that are left; a probe ends without effect once
   its VM's health is freed. */
static void
stop (void)
{
  struct event *e;
  int i;

  for (i = 0; i < w.setup->vms; i++)
    if (w.vms[i].health != NULL)
      relayhealth_free (w.vms[i].health);
  for (i = 0; i < (int)w.heap->len; i++)
    {
      e = w.heap->pdata[i];
      if (e->run == end_probe)
        end_probe (e);
      g_free (e->reports);
      g_free (e);
    }
  for (i = 0; i < w.setup->vms; i++)
    fleet_clear (&w.vms[i].fleet);
}

static void
run (const struct setup *s, enum rule rule)
{
  struct event *e;
  int i;

  memset (&w, 0, sizeof w);
  w.setup = s;
  w.rule = rule;
  w.now_us = START_US;
  w.rand = g_rand_new_with_seed (1);
  w.heap = g_ptr_array_new ();
  for (i = 0; i < s->vms; i++)
    start_vm (i);
  push (START_US, 0, arrive);
  push (REPAIR_US + 2 * SEC, 0, count_still_out);
  push (REPAIR_US + 5 * SEC, 0, count_still_out)->endpoint = 1;
  if (s->liar && rule == RULE_NEW)
    push (START_US, 0, lie);
  while ((e = pop ())->at_us < END_US)
    {
      w.now_us = e->at_us;
      w.vm = e->vm;
      if (!postpone (e))
        e->run (e);
      g_free (e);
    }
  g_free (e);
  stop ();
  g_ptr_array_free (w.heap, TRUE);
  g_rand_free (w.rand);
}

static int
compare_times (gconstpointer a, gconstpointer b)
{
  const int64_t *x = a, *y = b;

  return (*x > *y) - (*x < *y);
}

/* How long the VMs took to avoid a failed endpoint, over all pairs of a VM and
   such an endpoint, and the pairs that did not until it was back. */
static void
print_known (void)
{
  g_autoptr (GArray) took = g_array_new (FALSE, FALSE, sizeof (int64_t));
  int e, vm, unaware = 0;
  int64_t t;

  for (e = 0; e < w.setup->failed; e++)
    for (vm = 0; vm < w.setup->vms; vm++)
      {
        t = w.vms[vm].known_us[e] - FAIL_US;
        if (t < 0)
          unaware++;
        else
          g_array_append_val (took, t);
      }
  g_array_sort (took, compare_times);
  if (took->len > 0)
    printf (" known_ms=%d/%d",
            (int)(g_array_index (took, int64_t, took->len / 2) / MS),
            (int)(g_array_index (took, int64_t, took->len * 19 / 20) / MS));
  if (w.setup->failed > 0)
    printf (" unaware=%d", unaware);
}

static void
print_run (const struct setup *s, enum rule rule)
{
  static const char *const names[] = { "old", "trial", "new" };

  run (s, rule);
  printf ("  %-5s dead_sends=%d waited_s=%d", names[rule], w.dead_sends,
          (int)(w.dead_wait_us / SEC));
  print_known ();
  printf (" false_own=%d", w.false_own);
  if (rule == RULE_NEW)
    printf (" false_reported=%d probes=%d most_out=%d", w.false_reported,
            w.probes, w.most_out);
  if (s->cut_off || s->liar)
    printf (" false_elsewhere=%d", w.false_elsewhere);
  if (s->failed > 0)
    printf (" out_2s=%d out_5s=%d", w.still_out[0], w.still_out[1]);
  printf (" refused=%d\n", w.refused);
  fflush (stdout);
}

static const struct setup setups[] = {
  { .name = "failure, 21 VMs", .vms = 21, .failed = 35 },
  { .name = "failure, 63 VMs", .vms = 63, .failed = 35 },
  { .name = "failure, 300 VMs", .vms = 300, .failed = 35 },
  { .name = "no failure", .vms = 63 },
  { .name = "no failure, 2.5 percent of packets lost",
    .vms = 63,
    .loss_permille = 25 },
  { .name = "failure, 2.5 percent of packets lost",
    .vms = 63,
    .failed = 35,
    .loss_permille = 25 },
  { .name = "no failure, one VM cut off from all",
    .vms = 63,
    .cut_off = true,
    .cut_from_vms = true },
  { .name = "no failure, one VM cut off from the endpoints",
    .vms = 63,
    .cut_off = true },
  { .name = "failure, probes answer falsely",
    .vms = 63,
    .failed = 35,
    .probes_lie = true },
  { .name = "no failure, one VM reports everything as failed",
    .vms = 63,
    .liar = true },
  { .name = "the same, 2.5 percent of packets lost",
    .vms = 63,
    .loss_permille = 25,
    .liar = true },
  { .name = "half of the endpoints fail", .vms = 63, .failed = 70 },
  { .name = "three quarters of the endpoints fail", .vms = 63, .failed = 105 },
  { .name = "full queues of new connections at 35 endpoints",
    .vms = 63,
    .full = 35 },
  { .name = "no failure, busy VMs", .vms = 63, .busy = true },
  { .name = "failure, busy VMs", .vms = 63, .failed = 35, .busy = true },
};

int
main (void)
{
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (setups); i++)
    {
      printf ("%s\n", setups[i].name);
      print_run (&setups[i], RULE_OLD);
      if (setups[i].busy || setups[i].full > 0)
        print_run (&setups[i], RULE_TRIAL);
      print_run (&setups[i], RULE_NEW);
    }
  return 0;
}
