/* Unit tests of parts of prompts that crash endpoints: simulated time, the
   evidence of several VMs and the deciding code. */
#include <glib.h>
#include <string.h>

#include "quar.h"
#include "units.h"

#define STEP_MS 10
#define END_MS 24000
#define CONTACT_MS 3000
#define ENDPOINTS 9
#define DOWN_MS 2000
/* From arrival to the start of the answer, and its length. */
#define QUEUE_MS 100
#define ANSWER_MS 400
#define START_MS 200
#define MESSAGE_MS 20
#define BAD_MAX 3
#define FIRSTS 4
#define MIDDLES 12

/* Where the part that crashes stands. */
enum place
{
  MIDDLE,
  FRONT,
  PAIRED, /* in the middle, always before another part of no other request */
};

struct asked
{
  int vm, endpoint;
  int64_t begins_ms, ends_ms;
  int bad;    /* which part crashes, -1 for a sound request */
  bool whole; /* the whole request crashes its endpoint, whatever its parts */
  struct quar_subject subject;
  bool cleared;
};

struct message
{
  int64_t at_ms;
  int from;
  struct quar_fact fact;
};

struct played
{
  int vms, kinds; /* VMs, and parts that crash */
  enum place place;
  int lost_percent;        /* of messages */
  double random_crashes_s; /* without a cause */
  bool whole;              /* one request crashes whole, beside */
  bool old;                /* evidence on whole requests only */

  struct quar **quar;
  GArray *asked;    /* struct asked */
  GArray *messages; /* struct message */
  int64_t up_ms[ENDPOINTS];
  uint64_t life[ENDPOINTS];
  int64_t fifth_ms[BAD_MAX];
  int crashes[BAD_MAX], late[BAD_MAX];
  int whole_crashes;
  int sound, refused; /* requests without such a part */
  GRand *rand;
};

static struct reqid
part (const char *kind, int i)
{
  g_autofree char *name = g_strdup_printf ("%s%d", kind, i);
  struct reqid id;

  reqid_of_part ("service", name, &id);
  return id;
}

static struct reqid
request (int i)
{
  struct reqid id = { { 0 } };

  memcpy (id.bytes, &i, sizeof i);
  return id;
}

static void
add_part (struct quar_subject *s, struct reqid id)
{
  s->parts[s->nparts++] = id;
}

/* --- evidence -------------------------------------------------------- */

static void
tell (struct played *w, int vm, const struct quar_fact *f, int64_t now_ms)
{
  struct message m = { .at_ms = now_ms + MESSAGE_MS, .from = vm, .fact = *f };

  if (w->old && reqid_is_part (&f->id))
    return;
  if (quar_add_fact (w->quar[vm], f, true))
    g_array_append_val (w->messages, m);
}

static void
deliver (struct played *w, int64_t now_ms)
{
  struct message *m;
  int i;

  while (w->messages->len > 0)
    {
      m = &g_array_index (w->messages, struct message, 0);
      if (m->at_ms > now_ms)
        return;
      for (i = 0; i < w->vms; i++)
        if (i != m->from
            && g_rand_int_range (w->rand, 0, 100) >= w->lost_percent)
          quar_add_fact (w->quar[i], &m->fact, false);
      g_array_remove_index (w->messages, 0);
    }
}

static void
clear (struct played *w, const struct asked *a, int64_t now_ms)
{
  struct quar_fact f = { .completed = true, .crash.at_ms = now_ms };
  int i;

  for (i = 0; i < a->subject.nparts; i++)
    {
      f.id = a->subject.parts[i];
      if (quar_has_crashes (w->quar[a->vm], &f.id))
        tell (w, a->vm, &f, now_ms);
    }
}

static void
accuse (struct played *w, const struct asked *a, int64_t now_ms)
{
  struct quar_fact f = { .completed = false };
  int i;

  f.crash.endpoint = w->life[a->endpoint] * ENDPOINTS + (uint64_t)a->endpoint;
  f.crash.at_ms = now_ms;
  f.crash.ran_ms = MAX (now_ms - (a->begins_ms - QUEUE_MS), 0);
  f.id = a->subject.request;
  tell (w, a->vm, &f, now_ms);
  for (i = 0; i < a->subject.nparts && now_ms - a->begins_ms < START_MS; i++)
    {
      f.id = a->subject.parts[i];
      tell (w, a->vm, &f, now_ms);
    }
}

static void
crash (struct played *w, int endpoint, int64_t now_ms)
{
  struct asked *a;
  guint i = 0;

  while (i < w->asked->len)
    {
      a = &g_array_index (w->asked, struct asked, i);
      if (a->endpoint != endpoint)
        {
          i++;
          continue;
        }
      accuse (w, a, now_ms);
      g_array_remove_index_fast (w->asked, i);
    }
  w->up_ms[endpoint] = now_ms + DOWN_MS;
  w->life[endpoint]++;
}

/* --- requests -------------------------------------------------------- */

static int
any_endpoint (struct played *w, int64_t now_ms)
{
  int e, n = 0, chosen = -1;

  for (e = 0; e < ENDPOINTS; e++)
    if (now_ms >= w->up_ms[e] && g_rand_int_range (w->rand, 0, ++n) == 0)
      chosen = e;
  return chosen;
}

/* One VM at a time has the turn to run what is on trial, one request at a
   time. */
static bool
is_turn (struct played *w, int vm, const struct reqid *id, int64_t now_ms)
{
  struct asked *a;
  guint i;
  int k;

  for (i = 0; i < w->asked->len; i++)
    {
      a = &g_array_index (w->asked, struct asked, i);
      for (k = 0; k < a->subject.nparts && a->vm == vm; k++)
        if (memcmp (&a->subject.parts[k], id, sizeof *id) == 0)
          return false;
    }
  return (id->bytes[0] + now_ms / 2000) % w->vms == vm;
}

static void
ask (struct played *w, struct asked *a, int64_t now_ms)
{
  struct quar_verdict v;
  struct reqid id;
  bool counts = a->bad < 0 && !a->whole;

  a->vm = g_rand_int_range (w->rand, 0, w->vms);
  v = quar_evaluate_subject (w->quar[a->vm], &a->subject, ENDPOINTS, now_ms,
                             &id);
  if (v.is_on_trial && is_turn (w, a->vm, &id, now_ms))
    v.is_quarantined = false;
  w->sound += counts;
  w->refused += counts && v.is_quarantined;
  a->endpoint = any_endpoint (w, now_ms);
  if (v.is_quarantined || a->endpoint < 0)
    return;
  if (a->bad >= 0 && w->fifth_ms[a->bad] != 0
      && now_ms > w->fifth_ms[a->bad] + CONTACT_MS)
    w->late[a->bad]++;
  a->begins_ms = now_ms + QUEUE_MS;
  a->ends_ms = a->begins_ms + ANSWER_MS;
  g_array_append_val (w->asked, *a);
}

static void
ask_sound (struct played *w, int n, int64_t now_ms)
{
  struct asked a = { .bad = -1 };

  a.subject.request = request (n);
  add_part (&a.subject, part ("first", n % FIRSTS));
  add_part (&a.subject,
            part ("middle", g_rand_int_range (w->rand, 0, MIDDLES)));
  ask (w, &a, now_ms);
}

static void
ask_bad (struct played *w, int n, int kind, int64_t now_ms)
{
  struct asked a = { .bad = kind };

  a.subject.request = request (n);
  if (w->place != FRONT)
    add_part (&a.subject, part ("first", kind % FIRSTS));
  add_part (&a.subject, part ("bad", kind));
  if (w->place == PAIRED)
    add_part (&a.subject, part ("pair", kind));
  add_part (&a.subject,
            part ("middle", g_rand_int_range (w->rand, 0, MIDDLES)));
  ask (w, &a, now_ms);
}

static void
ask_whole (struct played *w, int64_t now_ms)
{
  struct asked a = { .bad = -1, .whole = true };

  a.subject.request = request (-2);
  add_part (&a.subject, part ("first", 1));
  add_part (&a.subject, part ("middle", 1));
  ask (w, &a, now_ms);
}

static void
run (struct played *w, int64_t now_ms)
{
  struct asked *a;
  guint i = 0;
  int bad;

  while (i < w->asked->len)
    {
      a = &g_array_index (w->asked, struct asked, i);
      bad = a->bad;
      if (now_ms >= a->begins_ms && (bad >= 0 || a->whole))
        {
          w->whole_crashes += a->whole;
          if (bad >= 0 && ++w->crashes[bad] == 5)
            w->fifth_ms[bad] = now_ms;
          crash (w, a->endpoint, now_ms);
          i = 0;
          continue;
        }
      if (!a->cleared && now_ms >= a->begins_ms + START_MS)
        {
          a->cleared = true;
          clear (w, a, now_ms);
        }
      if (now_ms >= a->ends_ms)
        g_array_remove_index_fast (w->asked, i);
      else
        i++;
    }
}

static bool
is_due (struct played *w, double per_s)
{
  return g_rand_double (w->rand) < per_s * STEP_MS / 1000;
}

static void
play (struct played *w, unsigned seed)
{
  int64_t now_ms;
  int i, n = 0;

  w->rand = g_rand_new_with_seed (seed);
  w->quar = g_new0 (struct quar *, w->vms);
  w->asked = g_array_new (FALSE, FALSE, sizeof (struct asked));
  w->messages = g_array_new (FALSE, FALSE, sizeof (struct message));
  for (i = 0; i < w->vms; i++)
    w->quar[i] = quar_new (60000);
  for (now_ms = 100000; now_ms < 100000 + END_MS; now_ms += STEP_MS)
    {
      deliver (w, now_ms);
      run (w, now_ms);
      if (is_due (w, 40))
        ask_sound (w, ++n, now_ms);
      for (i = 0; i < w->kinds; i++)
        if (is_due (w, 3))
          ask_bad (w, ++n, i, now_ms);
      if (w->whole && is_due (w, 1))
        ask_whole (w, now_ms);
      if (is_due (w, w->random_crashes_s))
        crash (w, g_rand_int_range (w->rand, 0, ENDPOINTS), now_ms);
    }
  for (i = 0; i < w->vms; i++)
    quar_free (w->quar[i]);
  g_free (w->quar);
  g_array_free (w->asked, TRUE);
  g_array_free (w->messages, TRUE);
  g_rand_free (w->rand);
}

/* More than three requests with the part later than CONTACT_MS after the fifth
   crash break the users' rule; sound ones are to begin at 0.95 of before. */
static void
expect (struct played w, const char *what)
{
  static const unsigned seeds[] = { 1, 2, 3 };
  struct played one, before;
  size_t k;
  int i;

  for (k = 0; k < G_N_ELEMENTS (seeds); k++)
    {
      one = before = w;
      before.old = true;
      play (&one, seeds[k]);
      play (&before, seeds[k]);
      for (i = 0; i < w.kinds; i++)
        g_test_message (
            "%s, %d VMs, seed %u, part %d: before %d crashes, %d late; now %d "
            "crashes, %d late, %d of %d sound ones refused",
            what, w.vms, seeds[k], i, before.crashes[i], before.late[i],
            one.crashes[i], one.late[i], one.refused, one.sound);
      for (i = 0; i < w.kinds; i++)
        g_assert_cmpint (one.late[i], <=, 3);
      g_assert_cmpfloat (one.refused, <=, one.sound * 0.05);
    }
}

static const int sizes[] = { 9, 63, 195 };

/* Guards against requests of which no two are alike and whose crashes never
   add up. */
static void
test_one_part (void)
{
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      expect ((struct played){ .vms = sizes[i], .kinds = 1 }, "middle");
      expect ((struct played){ .vms = sizes[i], .kinds = 1, .place = FRONT },
              "front");
      expect ((struct played){ .vms = sizes[i], .kinds = 1, .place = PAIRED },
              "paired");
    }
}

/* Guards against parts that look like chance beside each other. */
static void
test_several_parts (void)
{
  expect ((struct played){ .vms = 9, .kinds = 2 }, "two");
  expect ((struct played){ .vms = 9, .kinds = 3 }, "three");
  expect ((struct played){ .vms = 9, .kinds = 1, .whole = true },
          "a whole request beside");
}

/* Guards against evidence that needs each message. */
static void
test_lost_messages (void)
{
  expect ((struct played){ .vms = 9, .kinds = 1, .lost_percent = 20 },
          "a fifth of messages lost");
}

/* Guards against a hold of what many requests share while endpoints crash for
   other reasons. */
static void
test_random_crashes (void)
{
  static const unsigned seeds[] = { 1, 2, 3, 4, 5, 6, 7, 8 };
  struct played w;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (seeds); i++)
    {
      w = (struct played){ .vms = 9, .random_crashes_s = 1 };
      play (&w, seeds[i]);
      g_assert_cmpint (w.refused, ==, 0);
    }
}

/* Guards against a hold of sound requests with a part that always came with
   the one that crashes endpoints. */
static void
test_tie (void)
{
  struct quar *q = quar_new (60000);
  struct quar_subject sound = { .nparts = 0 }, bad = { .nparts = 0 };
  struct quar_fact f = { .completed = false };
  struct reqid id;
  int i, k;

  add_part (&sound, part ("shared", 1));
  add_part (&bad, part ("shared", 1));
  add_part (&bad, part ("bad", 1));
  for (i = 1; i <= 5; i++)
    for (k = 0; k < bad.nparts; k++)
      {
        f.id = bad.parts[k];
        f.crash = (struct quar_crash){ .endpoint = (uint64_t)i };
        f.crash.at_ms = 100000 + i * INT64_C (1000);
        f.crash.ran_ms = 100;
        quar_add_fact (q, &f, true);
      }
  g_assert_true (
      quar_evaluate_subject (q, &bad, ENDPOINTS, 106000, &id).is_quarantined);
  g_assert_true (reqid_is_part (&id));
  g_assert_false (quar_evaluate_subject (q, &sound, ENDPOINTS, 106000, &id)
                      .is_quarantined);
  /* An endpoint answers on the shared part. */
  f = (struct quar_fact){ .id = bad.parts[0], .completed = true };
  f.crash.at_ms = 106000;
  g_assert_true (quar_add_fact (q, &f, true));
  g_assert_true (
      quar_evaluate_subject (q, &bad, ENDPOINTS, 106000, &id).is_quarantined);
  g_assert_cmpmem (&id, sizeof id, &bad.parts[1], sizeof id);
  quar_free (q);
}

/* Guards against a hold of a part because the runs of its sound requests were
   shorter: crashes close together then look like more incidents of it. */
static void
test_shorter_runs (void)
{
  struct quar *q = quar_new (60000);
  struct quar_subject sound = { .nparts = 0 }, bad = { .nparts = 0 };
  struct quar_fact f = { .completed = false };
  struct reqid id;
  int i;

  add_part (&sound, part ("shared", 1));
  add_part (&bad, part ("shared", 1));
  add_part (&bad, part ("bad", 1));
  for (i = 0; i < 6; i++)
    {
      f.crash.endpoint = (uint64_t)i + 1;
      f.crash.at_ms = 100000 + i / 2 * INT64_C (1000) + i % 2 * INT64_C (90);
      f.id = bad.parts[1];
      f.crash.ran_ms = 120;
      quar_add_fact (q, &f, true);
      f.id = bad.parts[0];
      f.crash.ran_ms = 60;
      quar_add_fact (q, &f, true);
    }
  g_assert_true (
      quar_evaluate_subject (q, &bad, ENDPOINTS, 104000, &id).is_quarantined);
  g_assert_false (quar_evaluate_subject (q, &sound, ENDPOINTS, 104000, &id)
                      .is_quarantined);
  quar_free (q);
}

/* Guards against a part of another service, or a request, that is taken for a
   part. */
static void
test_digests (void)
{
  struct reqid a, b;

  reqid_of_part ("s", "p", &a);
  reqid_of_part ("s", "p", &b);
  g_assert_cmpmem (&a, sizeof a, &b, sizeof b);
  g_assert_true (reqid_is_part (&a));
  reqid_of_part ("t", "p", &b);
  g_assert_cmpint (memcmp (&a, &b, sizeof a), !=, 0);
  reqid_of_part ("sp", "", &b);
  g_assert_cmpint (memcmp (&a, &b, sizeof a), !=, 0);
}

const struct unit partquar_units[] = {
  { "/partquar/one-part", test_one_part },
  { "/partquar/several-parts", test_several_parts },
  { "/partquar/lost-messages", test_lost_messages },
  { "/partquar/random-crashes", test_random_crashes },
  { "/partquar/tie", test_tie },
  { "/partquar/shorter-runs", test_shorter_runs },
  { "/partquar/digests", test_digests },
  { NULL, NULL },
};
