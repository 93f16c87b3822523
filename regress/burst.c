/*
 * Several routes of one overloaded service in simulated time, in steps of
 * 1 ms: callers that retry, VMs with the relay's admission control, and
 * endpoints with slots and KV memory.  Prints what callers of each route get
 * under each rule: how many asked, were served within the latency target
 * (intime) and after it (late), were never served since they were refused or
 * waited too long (refused), were refused at least twice, the longest wait of
 * a served one in ms, and the served part in permille.
 */
#include <glib.h>
#include <limits.h>
#include <stdio.h>
#include <string.h>

#include "librelay.h"

#define MS CQ_US_PER_MS
#define VMS 8                  /* each with its own admission control */
#define ENDPOINTS 16           /* endpoints of the service */
#define GONE 4                 /* endpoints that are gone during the failure */
#define SLOTS 16               /* requests that an endpoint runs at once */
#define KV_TOKENS 60000        /* tokens that its KV memory holds */
#define QUEUE_MAX 256          /* requests queued at an endpoint */
#define RUN_US_PER_TOKEN 125   /* time in a slot: 0.1 s for a short prompt */
#define FIRST_CHUNK_PERCENT 40 /* part of that time to the first chunk */
#define TIMEOUT_MS 3000        /* callers wait between 2.6 and 3 s */
#define TIMEOUT_SPREAD_MS 400  /* range of their times */
#define ASKS_MAX 3             /* times that a caller asks */
#define DURATION_MS 22000      /* time in which callers ask first */
#define DRAIN_MS 4000          /* time after it for the last answers */
#define FAILURE_FROM_MS 2500   /* begin of the failure */
#define FAILURE_TO_MS 14500    /* end of the failure */
#define BURST_FROM_MS 4200     /* begin of the burst */
#define BURST_TO_MS 10200      /* end of the burst */
#define BRIEF_FAILURE_TO_MS 5500 /* the same in a brief overload */
#define BRIEF_BURST_TO_MS 5200   /* the same in a brief overload */
#define BURST_PERCENT 240        /* rate of long prompts during the burst */
#define LOUD_FACTOR 10           /* demand of a loud workspace */
#define SEEDS 20                 /* runs that are summed up */
#define SIZE_SPREAD_PERCENT                                                   \
  20                      /* prompts are longer or shorter by up to this */
#define LARGE_PERCENT 116 /* the largest tenth are longer than this */
#define WORKSPACES 4
#define ROUTES 5

/* A kind of callers. */
struct kind
{
  const char *name; /* of the route */
  int tokens;       /* of a prompt */
  int per_second;   /* rate outside the burst */
  int target_ms;    /* latency target */
  int priority;     /* of the route */
};

static const struct kind kinds[ROUTES] = {
  { "check", 800, 250, 250, 0 },   { "label", 800, 250, 250, 1 },
  { "chat", 2400, 120, 300, 1 },   { "draft", 2400, 120, 300, 2 },
  { "audit", 12000, 24, 1000, 2 },
};

static const int workspace_priorities[WORKSPACES] = { 0, 1, 1, 2 };

/* What decides. */
struct rule
{
  const char *name;  /* as printed */
  bool route_shares; /* relays_opts.route_shares */
  bool plan_returns; /* relays_opts.plan_returns */
  bool loud;         /* the last workspace sends ten times as much */
  bool brief;        /* the burst lasts 1 s and the failure 3 s */
};

/* A caller's request. */
struct request
{
  int route;     /* index in kinds */
  int workspace; /* index of its workspace */
  int tokens;    /* of its prompt */
  int vm;        /* VM that it asks */
  int asked_ms;  /* when it first asked */
  int until_ms;  /* when its caller gives up */
  int sent_ms;   /* when it was admitted */
  int first_ms;  /* first chunk, once it runs */
  int end_ms;    /* end of the run, once it runs */
  int priority;  /* at the endpoint */
  int refusals;  /* times it was refused */
  bool begun;    /* its first chunk was sent */
};

/* An endpoint; queued requests in the order in which they start. */
struct endpoint
{
  struct request running[SLOTS];     /* in slots */
  struct request waiting[QUEUE_MAX]; /* queued */
  int nrunning;                      /* entries in running */
  int nwaiting;                      /* entries in waiting */
  int kv_tokens;                     /* held by running requests */
};

/* A VM's state of the service. */
struct vm
{
  struct relays relays;                       /* options, usual timeouts */
  struct relay_service service;               /* admission control */
  struct fleet fleet;                         /* averages of the service */
  struct fleet_endpoint endpoints[ENDPOINTS]; /* averages by endpoint */
};

/* What callers got. */
struct result
{
  int asked, in_time, late; /* callers; served within the target, later */
  int refused;              /* never served */
  int refused_twice;        /* refused at least twice, served or not */
  int longest_ms;           /* longest wait of a served caller */
};

/* State of one simulation. */
struct world
{
  const struct rule *rule;                       /* what decides */
  struct vm vms[VMS];                            /* VMs */
  struct endpoint endpoints[ENDPOINTS];          /* endpoints */
  struct fleet_route routes[ROUTES];             /* routes of the service */
  struct fleet_workspace workspaces[WORKSPACES]; /* callers' workspaces */
  GArray *returns[DURATION_MS + DRAIN_MS];       /* retries by time, or NULL */
  struct result by_route[ROUTES];                /* results */
  struct result burst_routes[ROUTES];            /* callers in the burst */
  struct result burst_large[ROUTES];          /* the largest tenth of these */
  struct result burst_workspaces[WORKSPACES]; /* callers in the burst */
  GRand *rand;                                /* random generator */
  int now_ms;                                 /* current time */
};

/* Starts at one second: a time of 0 means never. */
static int64_t
now_us (const struct world *w)
{
  return (w->now_ms + 1000) * MS;
}

static bool
is_gone (const struct world *w, int endpoint)
{
  return endpoint < GONE && w->now_ms >= FAILURE_FROM_MS
         && w->now_ms < (w->rule->brief ? BRIEF_FAILURE_TO_MS : FAILURE_TO_MS);
}

static void
count_end (struct result *to, const struct request *a, int served_ms)
{
  int wait = served_ms - a->asked_ms;

  to->refused_twice += a->refusals >= 2;
  if (served_ms == 0)
    to->refused++;
  else if (wait <= kinds[a->route].target_ms)
    to->in_time++;
  else
    to->late++;
  if (served_ms > 0)
    to->longest_ms = MAX (to->longest_ms, wait);
}

static bool
is_burst (const struct world *w, int at_ms)
{
  return at_ms >= BURST_FROM_MS
         && at_ms < (w->rule->brief ? BRIEF_BURST_TO_MS : BURST_TO_MS);
}

static bool
is_large (const struct request *a)
{
  return a->tokens > kinds[a->route].tokens * LARGE_PERCENT / 100;
}

static void
count_asked (struct world *w, const struct request *a)
{
  w->by_route[a->route].asked++;
  if (!is_burst (w, a->asked_ms))
    return;
  w->burst_routes[a->route].asked++;
  w->burst_workspaces[a->workspace].asked++;
  w->burst_large[a->route].asked += is_large (a);
}

/* SERVED_MS is 0 for a caller that got no answer. */
static void
count (struct world *w, const struct request *a, int served_ms)
{
  count_end (&w->by_route[a->route], a, served_ms);
  if (!is_burst (w, a->asked_ms))
    return;
  count_end (&w->burst_routes[a->route], a, served_ms);
  count_end (&w->burst_workspaces[a->workspace], a, served_ms);
  if (is_large (a))
    count_end (&w->burst_large[a->route], a, served_ms);
}

/* The VM of A sees a first chunk, or its caller hang up without one. */
static void
add_sample (struct world *w, int endpoint, const struct request *a)
{
  const struct endpoint *p = &w->endpoints[endpoint];
  struct vm *vm = &w->vms[a->vm];
  struct admit_sample seen
      = { .running = p->nrunning, .waiting = p->nwaiting };

  seen.wait_us = (w->now_ms - a->sent_ms) * MS;
  seen.target_us = w->routes[a->route].target_latency_us;
  pick_first_chunk (&vm->fleet, &vm->endpoints[endpoint], seen.wait_us,
                    now_us (w));
  admit_add_sample (&vm->service.admit, &seen, now_us (w));
}

/* Starts queued requests, in order, while slots and memory are free. */
static void
start_queued (struct world *w, int endpoint)
{
  struct endpoint *p = &w->endpoints[endpoint];
  struct request a;
  int run_ms;

  while (p->nwaiting > 0)
    {
      a = p->waiting[0];
      if (w->now_ms < a.until_ms
          && (p->nrunning == SLOTS || p->kv_tokens + a.tokens > KV_TOKENS))
        break;
      memmove (p->waiting, p->waiting + 1,
               (size_t)--p->nwaiting * sizeof *p->waiting);
      if (w->now_ms >= a.until_ms)
        {
          add_sample (w, endpoint, &a);
          count (w, &a, 0);
          continue;
        }
      run_ms = a.tokens * RUN_US_PER_TOKEN / 1000;
      a.first_ms = w->now_ms + run_ms * FIRST_CHUNK_PERCENT / 100;
      a.end_ms = w->now_ms + run_ms;
      p->kv_tokens += a.tokens;
      p->running[p->nrunning++] = a;
    }
}

static void
step_endpoint (struct world *w, int endpoint)
{
  struct endpoint *p = &w->endpoints[endpoint];
  struct request *a;
  int i;

  for (i = p->nrunning - 1; i >= 0; i--)
    {
      a = &p->running[i];
      if (!a->begun && w->now_ms >= a->first_ms)
        {
          a->begun = true;
          count (w, a, w->now_ms < a->until_ms ? w->now_ms : 0);
          add_sample (w, endpoint, a);
        }
      if (w->now_ms < a->end_ms)
        continue;
      if (w->rule->route_shares)
        admit_add_run (&w->vms[a->vm].service.admit,
                       (a->end_ms - a->first_ms) * MS,
                       w->routes[a->route].target_latency_us);
      p->kv_tokens -= a->tokens;
      *a = p->running[--p->nrunning];
    }
  start_queued (w, endpoint);
}

/* The less loaded of two random endpoints. */
static int
choose_endpoint (struct world *w)
{
  int found = -1, i, e;

  for (i = 0; i < 2; i++)
    {
      do
        e = g_rand_int_range (w->rand, 0, ENDPOINTS);
      while (is_gone (w, e));
      if (found < 0
          || w->endpoints[e].nrunning + w->endpoints[e].nwaiting
                 < w->endpoints[found].nrunning + w->endpoints[found].nwaiting)
        found = e;
    }
  return found;
}

static void
enqueue (struct world *w, int endpoint, const struct request *a)
{
  struct endpoint *p = &w->endpoints[endpoint];
  int i = p->nwaiting++;

  for (; i > 0 && p->waiting[i - 1].priority > a->priority; i--)
    p->waiting[i] = p->waiting[i - 1];
  p->waiting[i] = *a;
  start_queued (w, endpoint);
}

static void
refuse (struct world *w, struct request *a, struct relay *r)
{
  int64_t wait_us
      = relay_overload_retry_us (r, g_rand_int (w->rand), now_us (w));
  int at_ms = w->now_ms + (int)(wait_us / MS);

  a->refusals++;
  if (wait_us == 0 || a->refusals == ASKS_MAX || at_ms >= a->until_ms
      || at_ms >= DURATION_MS + DRAIN_MS)
    {
      count (w, a, 0);
      return;
    }
  if (w->returns[at_ms] == NULL)
    w->returns[at_ms] = g_array_new (FALSE, FALSE, sizeof *a);
  g_array_append_val (w->returns[at_ms], *a);
}

/* What the relay does when a request arrives. */
static void
arrive (struct world *w, struct request a)
{
  struct vm *vm = &w->vms[a.vm];
  struct relay r = { .rs = &vm->relays, .service_state = &vm->service };
  int endpoint = choose_endpoint (w);
  struct pick_choice c = { .endpoint = &vm->endpoints[endpoint] };

  r.route = &w->routes[a.route];
  r.workspace = &w->workspaces[a.workspace];
  r.arrived_us = now_us (w);
  r.deadline_us = now_us (w) + (a.until_ms - w->now_ms) * MS;
  r.desc.deadline_us = r.deadline_us;
  relay_add_demand (&r, a.tokens + 1, now_us (w));
  c.wait_us = pick_expected_wait_us (&vm->fleet, c.endpoint, now_us (w));
  if (g_rand_int_range (w->rand, 0, CQ_PERMILLE)
          >= relay_admit_permille (&r, &c, now_us (w))
      || w->endpoints[endpoint].nwaiting == QUEUE_MAX)
    {
      refuse (w, &a, &r);
      return;
    }
  relay_admitted (&r, now_us (w));
  a.sent_ms = w->now_ms;
  a.priority = relay_priority (&r);
  enqueue (w, endpoint, &a);
}

static int
rate_of (const struct world *w, int route)
{
  if (is_burst (w, w->now_ms)
      && kinds[route].tokens == kinds[ROUTES - 1].tokens)
    return kinds[route].per_second * BURST_PERCENT / 100;
  return kinds[route].per_second;
}

static int
random_workspace (struct world *w)
{
  int i = g_rand_int_range (
      w->rand, 0, w->rule->loud ? WORKSPACES - 1 + LOUD_FACTOR : WORKSPACES);

  return MIN (i, WORKSPACES - 1);
}

static void
ask (struct world *w, int route)
{
  struct request a = { .route = route, .asked_ms = w->now_ms };

  a.until_ms = w->now_ms + TIMEOUT_MS
               - g_rand_int_range (w->rand, 0, TIMEOUT_SPREAD_MS);
  a.vm = g_rand_int_range (w->rand, 0, VMS);
  a.workspace = random_workspace (w);
  a.tokens = kinds[route].tokens
             * g_rand_int_range (w->rand, 100 - SIZE_SPREAD_PERCENT,
                                 100 + SIZE_SPREAD_PERCENT + 1)
             / 100;
  count_asked (w, &a);
  arrive (w, a);
}

/* Callers that return ask any VM. */
static void
arrive_returned (struct world *w)
{
  GArray *list = w->returns[w->now_ms];
  struct request a;
  guint i;

  for (i = 0; list != NULL && i < list->len; i++)
    {
      a = g_array_index (list, struct request, i);
      a.vm = g_rand_int_range (w->rand, 0, VMS);
      arrive (w, a);
    }
}

static void
step (struct world *w)
{
  int i;

  for (i = 0; i < ENDPOINTS; i++)
    step_endpoint (w, i);
  arrive_returned (w);
  for (i = 0; i < ROUTES && w->now_ms < DURATION_MS; i++)
    if (g_rand_int_range (w->rand, 0, 1000) < rate_of (w, i))
      ask (w, i);
}

static void
init_vm (struct vm *v, const struct rule *rule)
{
  int i;

  v->relays.opts.route_shares = rule->route_shares;
  v->relays.opts.plan_returns = rule->plan_returns;
  v->relays.usual_timeouts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  v->fleet.service_stats
      = g_array_new (FALSE, TRUE, sizeof (struct fleet_service_stats));
  admit_init (&v->service.admit);
  for (i = 0; i < ENDPOINTS; i++)
    g_strlcpy (v->endpoints[i].listing.service, "m",
               sizeof v->endpoints[i].listing.service);
}

static struct world *
world_new (const struct rule *rule, guint32 seed)
{
  struct world *w = g_new0 (struct world, 1);
  int i;

  w->rule = rule;
  w->rand = g_rand_new_with_seed (seed);
  for (i = 0; i < VMS; i++)
    init_vm (&w->vms[i], rule);
  for (i = 0; i < ROUTES; i++)
    {
      w->routes[i].name = (char *)kinds[i].name;
      w->routes[i].kind = FLEET_STREAM;
      w->routes[i].timeout_us = TIMEOUT_MS * MS;
      w->routes[i].target_latency_us = kinds[i].target_ms * MS;
      w->routes[i].priority = kinds[i].priority;
    }
  for (i = 0; i < WORKSPACES; i++)
    {
      w->workspaces[i].name = g_strdup_printf ("w%d", i);
      w->workspaces[i].priority = workspace_priorities[i];
    }
  return w;
}

static void
world_free (struct world *w)
{
  int i;

  for (i = 0; i < VMS; i++)
    {
      g_hash_table_destroy (w->vms[i].relays.usual_timeouts);
      g_array_free (w->vms[i].fleet.service_stats, TRUE);
    }
  for (i = 0; i < WORKSPACES; i++)
    g_free (w->workspaces[i].name);
  for (i = 0; i < DURATION_MS + DRAIN_MS; i++)
    if (w->returns[i] != NULL)
      g_array_free (w->returns[i], TRUE);
  g_rand_free (w->rand);
  g_free (w);
}

static void
add_result (struct result *to, const struct result *r)
{
  to->asked += r->asked;
  to->in_time += r->in_time;
  to->late += r->late;
  to->refused += r->refused;
  to->refused_twice += r->refused_twice;
  to->longest_ms = MAX (to->longest_ms, r->longest_ms);
}

static int
served_permille (const struct result *r)
{
  return (r->in_time + r->late) * CQ_PERMILLE / MAX (r->asked, 1);
}

static void
print_result (const char *name, const struct result *r)
{
  printf ("%-8s %7d %7d %7d %7d %7d %7d %7d\n", name, r->asked, r->in_time,
          r->late, r->refused, r->longest_ms, r->refused_twice,
          served_permille (r));
}

/* Least part of the callers of any of N that is served, relative to the part
   of OF, in permille. */
static int
least_permille (const struct result *r, int n, const struct result *of)
{
  int least = INT_MAX, i;

  for (i = 0; i < n; i++)
    least = MIN (least,
                 served_permille (&r[i]) * CQ_PERMILLE / served_permille (of));
  return least;
}

static void
add_results (struct result *to, const struct result *r, int n)
{
  int i;

  for (i = 0; i < n; i++)
    add_result (&to[i], &r[i]);
}

/* What the design requires of every route, workspace and prompt size while an
   overload lasts. */
static void
print_bounds (const struct world *sum)
{
  struct result all = { 0 };
  int large = INT_MAX, i;

  for (i = 0; i < ROUTES; i++)
    add_result (&all, &sum->burst_routes[i]);
  for (i = 0; i < ROUTES; i++)
    large = MIN (large, least_permille (&sum->burst_large[i], 1,
                                        &sum->burst_routes[i]));
  printf ("in the burst: served %d; least route %d, least workspace %d of all "
          "(250 required), largest prompts %d of their route (500 required)"
          "\n\n",
          served_permille (&all),
          least_permille (sum->burst_routes, ROUTES, &all),
          least_permille (sum->burst_workspaces, WORKSPACES, &all), large);
}

static void
print_routes (const struct rule *rule, const struct world *sum)
{
  struct result all = { 0 };
  int i;

  printf ("%s\n%-8s %7s %7s %7s %7s %7s %7s %7s\n", rule->name, "route",
          "asked", "intime", "late", "refused", "longest", "twice", "served");
  for (i = 0; i < ROUTES; i++)
    {
      print_result (kinds[i].name, &sum->by_route[i]);
      add_result (&all, &sum->by_route[i]);
    }
  print_result ("all", &all);
}

static void
run (const struct rule *rule)
{
  struct world *sum = g_new0 (struct world, 1);
  struct world *w;
  guint32 seed;

  for (seed = 1; seed <= SEEDS; seed++)
    {
      w = world_new (rule, seed);
      for (; w->now_ms < DURATION_MS + DRAIN_MS; w->now_ms++)
        step (w);
      add_results (sum->by_route, w->by_route, ROUTES);
      add_results (sum->burst_routes, w->burst_routes, ROUTES);
      add_results (sum->burst_large, w->burst_large, ROUTES);
      add_results (sum->burst_workspaces, w->burst_workspaces, WORKSPACES);
      world_free (w);
    }
  print_routes (rule, sum);
  print_bounds (sum);
  g_free (sum);
}

int
main (void)
{
  static const struct rule rules[] = {
    { .name = "burst, old rule" },
    { .name = "burst, shares among routes", .route_shares = true },
    { .name = "loud workspace, old rule", .loud = true },
    { .name = "loud workspace, shares among routes",
      .route_shares = true,
      .loud = true },
    { .name = "burst, planned returns", .plan_returns = true },
    { .name = "burst, shares among routes, planned returns",
      .route_shares = true,
      .plan_returns = true },
    { .name = "brief overload, old rule", .brief = true },
    { .name = "brief overload, planned returns",
      .plan_returns = true,
      .brief = true },
    { .name = "brief overload, shares among routes",
      .route_shares = true,
      .brief = true },
    { .name = "brief overload, shares among routes, planned returns",
      .route_shares = true,
      .plan_returns = true,
      .brief = true },
  };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (rules); i++)
    run (&rules[i]);
  return 0;
}
