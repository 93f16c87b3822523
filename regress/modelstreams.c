/*
 * Model check of streams that callers take up again while endpoints of several
 * builds serve: the real table, messages and choice of an endpoint in
 * simulated time.  VMs are killed or cut off from each other, and messages are
 * lost.
 */
#include <stdio.h>
#include <string.h>

#include <xxhash.h>

#include "modelworld.h"
#include "originfeed.h"

#define VMS_MAX 195
#define BUILDS_MAX 3
#define PER_BUILD 2
#define TRAVEL_US (2 * MS)
#define STEP_US (1 * MS)
#define ANSWER_US (400 * MS) /* longer than any question waits */
#define MESSAGES_MAX 4096
#define KEEP_US (60 * CQ_US_PER_S)

/* Safeguards that a case may switch off. */
enum streams_off
{
  OFF_REFUSE = 1,    /* a stream that is not known is not placed */
  OFF_CHOICE = 2,    /* only endpoints of the stream's build are chosen */
  OFF_WORKSPACE = 4, /* ids of two workspaces are told apart */
  OFF_TELL = 8       /* other VMs are told */
};

struct message
{
  int from;          /* sending VM */
  int to;            /* receiving VM */
  int64_t due_us;    /* when it arrives */
  GByteArray *bytes; /* its content */
};

struct stream_vm
{
  struct loop loop;           /* its timers */
  struct originfeed *origins; /* under test */
  int index;                  /* in sim.vms */
  char name[8];               /* its name */
  bool cut;                   /* no messages from or to it */
  int sender;                 /* of the message that it is handling */
};

static struct
{
  struct stream_vm vms[VMS_MAX];
  int nvms;                              /* in use */
  int nbuilds;                           /* builds that serve */
  unsigned off;                          /* safeguards that are off */
  struct message messages[MESSAGES_MAX]; /* under way */
  int nmessages;                         /* of these */
  struct fleet fleet;                    /* what all VMs know of endpoints */
  GRand *rand;                           /* NULL in the search */
  double loss;    /* share of messages lost, with rand */
  int64_t sent;   /* messages so far */
  uint64_t found; /* answer to the question */
} sim;

static const uint8_t seal[32] = { 7 };

static const uint8_t *
seal_key (void *arg)
{
  (void)arg;
  return seal;
}

static int64_t
clock_ms (void *arg, int64_t now_us)
{
  (void)arg;
  return now_us / MS;
}

/* --- messages -------------------------------------------------------- */

static void
post (int from, int to, const GByteArray *bytes)
{
  struct message *m = &sim.messages[sim.nmessages];
  bool lost = sim.rand != NULL ? g_rand_double (sim.rand) < sim.loss
                               : model_fault (2) != 0;

  sim.sent++;
  if (lost || sim.vms[from].cut || sim.vms[to].cut)
    return;
  g_assert (sim.nmessages < MESSAGES_MAX);
  *m = (struct message){ .from = from, .to = to };
  m->due_us = world.now_us + TRAVEL_US;
  m->bytes
      = g_byte_array_append (g_byte_array_new (), bytes->data, bytes->len);
  sim.nmessages++;
}

static uint64_t
score (int vm, uint64_t stream)
{
  const char *name = sim.vms[vm].name;

  return XXH3_64bits_withSeed (name, strlen (name), stream);
}

static int
send_ranked (void *arg, uint64_t stream, int places, const GByteArray *bytes)
{
  const struct stream_vm *self = arg;
  int i, j, rank, n = 0;

  for (i = 0; i < sim.nvms; i++)
    {
      rank = 0;
      for (j = 0; j < sim.nvms; j++)
        rank += j != self->index && score (j, stream) > score (i, stream);
      if (i == self->index || rank >= places)
        continue;
      post (self->index, i, bytes);
      n++;
    }
  return n;
}

static void
reply (void *arg, const GByteArray *bytes)
{
  const struct stream_vm *self = arg;

  post (self->index, self->sender, bytes);
}

static void
deliver (void)
{
  struct message m;
  int i = 0;

  while (i < sim.nmessages)
    if (sim.messages[i].due_us > world.now_us)
      i++;
    else
      {
        m = sim.messages[i];
        sim.messages[i] = sim.messages[--sim.nmessages];
        sim.vms[m.to].sender = m.from;
        if (!sim.vms[m.to].cut)
          originfeed_receive (sim.vms[m.to].origins,
                              (const char *)m.bytes->data, m.bytes->len,
                              world.now_us);
        g_byte_array_unref (m.bytes);
      }
}

static void
fire_timers (struct stream_vm *v)
{
  struct loop_timer *t, *next;

  for (t = APR_RING_FIRST (&v->loop.timers);
       t != APR_RING_SENTINEL (&v->loop.timers, loop_timer, link); t = next)
    {
      next = APR_RING_NEXT (t, link);
      if (t->due_us > world.now_us)
        continue;
      loop_disarm (t);
      t->fire (t->arg, world.now_us);
      next = APR_RING_FIRST (&v->loop.timers);
    }
}

static void
run_for (int64_t us)
{
  int64_t until = world.now_us + us;
  int i;

  while (world.now_us < until)
    {
      world.now_us += STEP_US;
      deliver ();
      for (i = 0; i < sim.nvms; i++)
        fire_timers (&sim.vms[i]);
    }
}

/* --- VMs and endpoints ----------------------------------------------- */

static void
start_vm (int i)
{
  struct stream_vm *v = &sim.vms[i];
  struct originfeed_opts o = { .loop = &v->loop, .vm = v->name, .arg = v };

  memset (v, 0, sizeof *v);
  v->index = i;
  g_snprintf (v->name, sizeof v->name, "v%d", i);
  APR_RING_INIT (&v->loop.timers, loop_timer, link);
  o.seal_key = seal_key;
  o.clock_ms = clock_ms;
  o.send = send_ranked;
  o.reply = reply;
  v->origins = originfeed_new (&o);
}

static void
kill_vm (int i)
{
  originfeed_free (sim.vms[i].origins);
  start_vm (i);
}

static void
begin_world (int vms, int builds, unsigned off)
{
  struct fleet_listing l = { .slots = 8 };
  int i;

  memset (&sim, 0, sizeof sim);
  world.now_us = CQ_US_PER_S;
  sim.nvms = vms;
  sim.nbuilds = builds;
  sim.off = off;
  for (i = 0; i < vms; i++)
    start_vm (i);
  fleet_init (&sim.fleet);
  g_strlcpy (l.service, "s", sizeof l.service);
  for (i = 0; i < builds * PER_BUILD; i++)
    {
      g_snprintf (l.id, sizeof l.id, "e%d", i);
      g_snprintf (l.build, sizeof l.build, "b%d", i / PER_BUILD);
      fleet_apply_listing (&sim.fleet, &l, world.now_us);
    }
}

static void
end_world (void)
{
  int i;

  for (i = 0; i < sim.nvms; i++)
    originfeed_free (sim.vms[i].origins);
  for (i = 0; i < sim.nmessages; i++)
    g_byte_array_unref (sim.messages[i].bytes);
  fleet_clear (&sim.fleet);
}

/* --- streams --------------------------------------------------------- */

static const struct fleet_endpoint *
choose (uint64_t build, uint64_t random)
{
  struct pick_query q = { .service = "s", .domain = "d", .random = random };

  q.build_key = (sim.off & OFF_CHOICE) ? 0 : build;
  return pick_endpoint (&sim.fleet, &q, world.now_us).endpoint;
}

static struct origin_key
key_of (int workspace, const char *id)
{
  struct origin_key key;

  origin_key_init (
      &key, workspace == 0 || (sim.off & OFF_WORKSPACE) ? "w0" : "w1", id);
  return key;
}

/* The stream begins at VM at an endpoint chosen by RANDOM; returns its build.
 */
static uint64_t
begin_stream (int vm, int workspace, const char *id, uint64_t random)
{
  const struct fleet_endpoint *e = choose (0, random);
  struct origin_key key = key_of (workspace, id);
  int sent = sim.nmessages;

  originfeed_began (sim.vms[vm].origins, &key, e->build_key, false, KEEP_US,
                    world.now_us);
  if (sim.off & OFF_TELL)
    while (sim.nmessages > sent)
      g_byte_array_unref (sim.messages[--sim.nmessages].bytes);
  return e->build_key;
}

static void
on_answered (void *arg, uint64_t build, enum originfeed_found found,
             int64_t now_us)
{
  (void)arg;
  (void)found;
  (void)now_us;
  sim.found = build;
}

/* The caller takes the stream up at VM; returns the build at which it goes on,
   0 if it is refused. */
static uint64_t
take_up (int vm, int workspace, const char *id, uint64_t random)
{
  struct originfeed_question q = { .done = on_answered };
  struct origin_key key = key_of (workspace, id);
  int64_t until = world.now_us + ANSWER_US;
  const struct fleet_endpoint *e;

  sim.found = originfeed_find (sim.vms[vm].origins, &key, &q, world.now_us);
  while (q.waiting && world.now_us < until)
    run_for (STEP_US);
  if (q.waiting)
    model_fail ("a question stays without an answer", 0);
  originfeed_cancel (sim.vms[vm].origins, &q);
  if (sim.found == 0 && !(sim.off & OFF_REFUSE))
    return 0;
  e = choose (sim.found, random);
  return e != NULL ? e->build_key : 0;
}

/* --- the search ------------------------------------------------------ */

/* Kills a VM, or cuts it off, or neither. */
static void
disturb (void)
{
  int what = model_fault (1 + 2 * sim.nvms);

  if (what == 0)
    return;
  model_note ("%s v%d\n", what % 2 != 0 ? "kill" : "cut", (what - 1) / 2);
  if (what % 2 != 0)
    kill_vm ((what - 1) / 2);
  else
    sim.vms[(what - 1) / 2].cut = true;
}

/* Two callers of different workspaces use the same id. */
static void
run (const struct model_case *model)
{
  uint64_t began[2], went_on;
  int i, w, vm, refused = 0;

  begin_world (model->vms, BUILDS_MAX, model->off);
  for (w = 0; w < 2; w++)
    began[w] = begin_stream (w, w, "id", (uint64_t)model_pick (3));
  if (model_pick (2) != 0)
    run_for (2 * TRAVEL_US);
  for (i = 0; i < 2; i++)
    {
      disturb ();
      for (w = 0; w < 2 && !model_has_failed (); w++)
        {
          vm = (i + w + 1) % model->vms;
          went_on = take_up (vm, w, "id", 5);
          model_step ();
          /* A VM that is cut off from the others cannot ask them. */
          refused += went_on == 0 && !sim.vms[vm].cut;
          if (went_on != 0 && went_on != began[w])
            model_fail ("a stream goes on at another build", 0);
        }
    }
  if (model->faults <= 1 && refused > 0)
    model_fail ("a stream is refused after one fault", 0);
  end_world ();
}

const struct model_case model_stream_cases[] = {
  { "nothing", run, 0, 2, 3 },
  { "nothing, one fault", run, 0, 1, 3 },
  { "unknown streams are refused", run, OFF_REFUSE, 2, 3 },
  { "only the stream's build is chosen", run, OFF_CHOICE, 2, 3 },
  { "workspaces are told apart", run, OFF_WORKSPACE, 0, 3 },
  { "other VMs are told", run, OFF_TELL, 1, 3 },
  { NULL, NULL, 0, 0, 0 },
};

/* --- shares by seed -------------------------------------------------- */

#define STREAMS 400

/* Streams on VMS VMs, of which KILLED percent are killed while the streams are
   under way; callers of the others take them up as well. */
static void
print_share (int vms, int builds, int killed, uint32_t seed)
{
  uint64_t began[STREAMS], went_on;
  int i, on = 0, mixed = 0, taken = 0;
  char id[STREAMS][8];

  begin_world (vms, builds, 0);
  sim.rand = g_rand_new_with_seed (seed);
  sim.loss = 0.03;
  for (i = 0; i < STREAMS; i++)
    {
      g_snprintf (id[i], sizeof id[i], "s%d", i);
      began[i] = begin_stream (g_rand_int_range (sim.rand, 0, vms), 0, id[i],
                               g_rand_int (sim.rand));
      run_for (STEP_US);
    }
  run_for (2 * TRAVEL_US);
  for (i = 0; i < vms; i++)
    if (g_rand_int_range (sim.rand, 0, 100) < killed)
      kill_vm (i);
  for (i = 0; i < STREAMS; i++)
    {
      went_on = take_up (g_rand_int_range (sim.rand, 0, vms), 0, id[i],
                         g_rand_int (sim.rand));
      taken++;
      on += went_on == began[i];
      mixed += went_on != 0 && went_on != began[i];
    }
  printf ("%d VMs, %d builds, %d%% killed: %d taken up, %d go on, %d mixed, "
          "%.1f messages a stream\n",
          vms, builds, killed, taken, on, mixed, (double)sim.sent / STREAMS);
  g_rand_free (sim.rand);
  sim.rand = NULL;
  end_world ();
}

void
model_print_stream_shares (void)
{
  static const int vms[] = { 9, 63, 195 };
  int i, killed, builds;

  for (i = 0; i < 3; i++)
    for (builds = 2; builds <= BUILDS_MAX; builds++)
      for (killed = 0; killed <= 60; killed += 30)
        print_share (vms[i], builds, killed, (uint32_t)(i + 1));
}
