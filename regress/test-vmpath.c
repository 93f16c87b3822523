/* Unit tests of what other VMs say of their paths: simulated time, the VMs'
   answers are played. */
#include "vmpath.h"

#include <glib.h>
#include <string.h>

#include "decide.h"
#include "pathwire.h"
#include "units.h"

#define MS CQ_US_PER_MS
#define TICK_US (50 * MS)
/* Requests a second of a VM, and the time for which they are played. */
#define RATE 4
#define PLAY_US (10 * CQ_US_PER_S)
/* From here on callers of cut VMs are owed service. */
#define CONTACT_US (3 * CQ_US_PER_S)
#define DOMAINS 3
#define VMS_MAX 195

enum condition
{
  SOUND,
  CUT,
  FROZEN
};

/* A deployment whose VMs have the conditions in is. */
struct world
{
  int vms;
  enum condition is[VMS_MAX];
  struct vmpath *paths[VMS_MAX]; /* of the cut ones */
  int helped[VMS_MAX];           /* requests of others that it got */
  int questions[VMS_MAX];        /* that it got */
  int asked, served;             /* requests from CONTACT_US on */
};

static void
name_vm (struct mirror_peer *p, int i)
{
  memset (p, 0, sizeof *p);
  g_snprintf (p->vm, sizeof p->vm, "v%d", i);
  g_snprintf (p->address, sizeof p->address, "a%d", i);
}

static void
list_for (const struct world *w, int self, struct vmpath *paths)
{
  g_autoptr (GArray) all
      = g_array_new (FALSE, FALSE, sizeof (struct mirror_peer));
  g_autoptr (GArray) near
      = g_array_new (FALSE, FALSE, sizeof (struct mirror_peer));
  struct mirror_peer p;
  int i;

  for (i = 0; i < w->vms; i++)
    {
      name_vm (&p, i);
      if (i != self)
        g_array_append_val (all, p);
      if (i != self && i % DOMAINS == self % DOMAINS)
        g_array_append_val (near, p);
    }
  vmpath_set_vms (paths, all, near);
}

static void
answer (struct world *w, struct vmpath *t, const char *vm, int64_t now_us)
{
  struct vmpath_answer a = { .forwarded = 0 };
  int i = atoi (vm + 1);

  w->questions[i]++;
  if (w->is[i] == FROZEN)
    {
      vmpath_silent (t, vm, now_us + 250 * MS);
      return;
    }
  /* About the requests that it has under way. */
  a.forwarded = w->helped[i] / 10;
  if (w->is[i] == CUT)
    a.unreached[a.nunreached++] = vmpath_key ("s");
  vmpath_answered (t, vm, &a, now_us);
}

/* One request at the cut VM SELF; up to four VMs are tried. */
static bool
serve (struct world *w, int self, uint64_t random, int64_t now_us)
{
  struct vmpath *t = w->paths[self];
  char tried[4][LOAD_VM_SIZE];
  struct vmpath_query q = { .service = "s", .tried = tried };
  const char *vm, *address;
  int i;

  for (; q.ntried < 4; q.ntried++)
    {
      q.random = random + (uint64_t)q.ntried * 7919;
      vm = vmpath_pick (t, &q, &address, now_us);
      if (vm == NULL)
        vm = vmpath_draw (t, &q, &address, now_us);
      if (vm == NULL)
        return false;
      i = atoi (vm + 1);
      if (w->is[i] == FROZEN)
        return false;
      if (w->is[i] == SOUND)
        {
          w->helped[i]++;
          return true;
        }
      g_strlcpy (tried[q.ntried], vm, sizeof tried[0]);
      vmpath_refused (t, vm, "s", now_us);
    }
  return false;
}

static void
tick (struct world *w, int self, GRand *rand, int64_t now_us)
{
  const char *vm, *address;
  bool good;

  while ((vm = vmpath_next (w->paths[self], "s", &address, now_us)) != NULL)
    answer (w, w->paths[self], vm, now_us);
  if (g_rand_double (rand) >= (double)RATE * TICK_US / CQ_US_PER_S)
    return;
  good = serve (w, self, g_rand_int (rand), now_us);
  if (now_us < CONTACT_US)
    return;
  w->asked++;
  w->served += good;
}

static void
play (struct world *w)
{
  GRand *rand = g_rand_new_with_seed (1);
  int64_t now_us;
  int i;

  for (i = 0; i < w->vms; i++)
    if (w->is[i] == CUT)
      {
        w->paths[i] = vmpath_new ((uint64_t)i + 1);
        list_for (w, i, w->paths[i]);
      }
  for (now_us = TICK_US; now_us < PLAY_US; now_us += TICK_US)
    for (i = 0; i < w->vms; i++)
      if (w->is[i] == CUT)
        tick (w, i, rand, now_us);
  for (i = 0; i < w->vms; i++)
    if (w->is[i] == CUT)
      vmpath_free (w->paths[i]);
  g_rand_free (rand);
}

/* First tries at cut VMs are served 0.95 as often as the others', which all
   are. */
static void
expect_served (const struct world *w, const char *what)
{
  int i, helpers = 0, all = 0, most = 0, questions = 0;

  for (i = 0; i < w->vms; i++)
    {
      helpers += w->is[i] == SOUND;
      all += w->helped[i];
      most = MAX (most, w->helped[i]);
      questions = MAX (questions, w->questions[i]);
    }
  g_test_message ("%s, %d VMs: %d of %d served; a VM that helps gets %d on "
                  "average, %d at most; questions to one VM: %d in %d s",
                  what, w->vms, w->served, w->asked, all / MAX (helpers, 1),
                  most, questions, (int)(PLAY_US / CQ_US_PER_S));
  g_assert_cmpfloat (w->served, >=, w->asked * 0.95);
}

static const int sizes[] = { 9, 63, 195 };

/* Guards against requests of a cut failure domain that go round in it. */
static void
test_domain_cut (void)
{
  size_t k;
  int i;

  for (k = 0; k < G_N_ELEMENTS (sizes); k++)
    {
      struct world w = { .vms = sizes[k] };

      for (i = 0; i < w.vms; i++)
        w.is[i] = i % DOMAINS == 0 ? CUT : SOUND;
      play (&w);
      expect_served (&w, "a domain cut");
    }
}

/* Guards against draws that miss the few VMs that have a path. */
static void
test_most_cut (void)
{
  size_t k;
  int i;

  for (k = 0; k < G_N_ELEMENTS (sizes); k++)
    {
      struct world w = { .vms = sizes[k] };

      for (i = 0; i < w.vms; i++)
        w.is[i] = i % 6 == 5 ? SOUND : CUT;
      play (&w);
      expect_served (&w, "five of six cut");
    }
}

/* Guards against requests to VMs that stand still. */
static void
test_some_frozen (void)
{
  size_t k;
  int i;

  for (k = 0; k < G_N_ELEMENTS (sizes); k++)
    {
      struct world w = { .vms = sizes[k] };

      for (i = 0; i < w.vms; i++)
        w.is[i] = i % DOMAINS == 0 ? CUT : i % 2 == 0 ? FROZEN : SOUND;
      play (&w);
      expect_served (&w, "a domain cut, half of the others frozen");
    }
}

/* Guards against a frozen VM that is taken for one that helps since it did so
   before. */
static void
test_freezes (void)
{
  struct world w = { .vms = 3, .is = { CUT, SOUND, SOUND } };
  struct vmpath *t = vmpath_new (1);
  struct vmpath_query q = { .service = "s" };
  const char *vm, *address;
  int64_t now_us = CQ_US_PER_S;

  list_for (&w, 0, t);
  while ((vm = vmpath_next (t, "s", &address, now_us)) != NULL)
    answer (&w, t, vm, now_us);
  g_assert_nonnull (vmpath_pick (t, &q, &address, now_us));
  now_us += 210 * MS;
  while ((vm = vmpath_next (t, "s", &address, now_us)) != NULL)
    if (strcmp (vm, "v2") == 0)
      answer (&w, t, vm, now_us);
  now_us += 110 * MS;
  for (q.random = 0; q.random < 100; q.random++)
    g_assert_cmpstr (vmpath_pick (t, &q, &address, now_us), ==, "v2");
  vmpath_silent (t, "v1", now_us);
  for (q.random = 0; q.random < 100; q.random++)
    g_assert_cmpstr (vmpath_draw (t, &q, &address, now_us), ==, "v2");
  vmpath_free (t);
}

/* Guards against requests to a VM that said long ago that it has a path. */
static void
test_answer_lapses (void)
{
  struct world w = { .vms = 2, .is = { CUT, SOUND } };
  struct vmpath *t = vmpath_new (1);
  struct vmpath_query q = { .service = "s" };
  const char *vm, *address;
  int64_t now_us = CQ_US_PER_S;

  list_for (&w, 0, t);
  vm = vmpath_next (t, "s", &address, now_us);
  answer (&w, t, vm, now_us);
  g_assert_nonnull (vmpath_pick (t, &q, &address, now_us + 440 * MS));
  g_assert_null (vmpath_pick (t, &q, &address, now_us + 460 * MS));
  g_assert_nonnull (vmpath_draw (t, &q, &address, now_us + 460 * MS));
  vmpath_free (t);
}

/* Guards against a VM that lost its path to one service and gets no requests
   for another. */
static void
test_one_service (void)
{
  struct world w = { .vms = 2, .is = { CUT, CUT } };
  struct vmpath *t = vmpath_new (1);
  struct vmpath_query q = { .service = "other" };
  const char *vm, *address;
  int64_t now_us = CQ_US_PER_S;

  list_for (&w, 0, t);
  vm = vmpath_next (t, "other", &address, now_us);
  g_assert_cmpstr (vm, ==, "v1");
  answer (&w, t, vm, now_us);
  g_assert_cmpstr (vmpath_pick (t, &q, &address, now_us), ==, "v1");
  q.service = "s";
  g_assert_null (vmpath_pick (t, &q, &address, now_us));
  g_assert_null (vmpath_draw (t, &q, &address, now_us));
  vmpath_free (t);
}

/* Guards against a recorded answer that is taken for one to a new question. */
static void
test_wire (void)
{
  static const uint8_t key[32] = { 1 }, other[32] = { 2 };
  uint8_t nonce[PATHWIRE_NONCE_BYTES] = { 3 }, got[PATHWIRE_NONCE_BYTES];
  struct vmpath_answer a = { .forwarded = 5, .nunreached = 2 }, b;
  g_autoptr (GByteArray) question = pathwire_question (nonce, key);
  g_autoptr (GByteArray) answered = NULL;

  a.unreached[0] = vmpath_key ("s");
  a.unreached[1] = vmpath_key ("t");
  answered = pathwire_answer (nonce, &a, key);
  g_assert_cmpuint (question->len, <=, PATHWIRE_QUESTION_MAX);
  g_assert_true (
      pathwire_read_question (question->data, question->len, key, got));
  g_assert_cmpmem (got, sizeof got, nonce, sizeof nonce);
  g_assert_false (
      pathwire_read_question (question->data, question->len, other, got));
  g_assert_false (
      pathwire_read_question (answered->data, answered->len, key, got));
  g_assert_true (
      pathwire_read_answer (answered->data, answered->len, key, nonce, &b));
  g_assert_cmpint (b.forwarded, ==, 5);
  g_assert_cmpint (b.nunreached, ==, 2);
  g_assert_true (b.unreached[1] == a.unreached[1]);
  nonce[0]++;
  g_assert_false (
      pathwire_read_answer (answered->data, answered->len, key, nonce, &b));
}

const struct unit vmpath_units[] = {
  { "/vmpath/domain-cut", test_domain_cut },
  { "/vmpath/most-cut", test_most_cut },
  { "/vmpath/some-frozen", test_some_frozen },
  { "/vmpath/freezes", test_freezes },
  { "/vmpath/answer-lapses", test_answer_lapses },
  { "/vmpath/one-service", test_one_service },
  { "/vmpath/wire", test_wire },
  { NULL, NULL },
};
