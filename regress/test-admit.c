/*
 * Unit tests of admission: the test plays callers, VMs and endpoints with
 * queues in steps of 1 ms, and counts what callers get.
 */
#include <glib.h>
#include <string.h>

#include "decide.h"
#include "units.h"

#define MS CQ_US_PER_MS
#define VMS 9                /* each with an admission of its own */
#define ENDPOINTS 12         /* of one service */
#define SLOTS 12             /* requests that one runs at once */
#define QUEUE 36             /* and holds beside them */
#define SERVICE_MS 200       /* mean time that one runs */
#define AIM_MS 400           /* an answer begins in time */
#define PATIENCE_MS 2400     /* callers leave a queue */
#define CAPACITY 720         /* that all endpoints do in a second */
#define RETURN_MS 500        /* a refused caller returns after that, */
#define RETURN_SPREAD_MS 500 /* or up to so much later */
#define WARM_MS 3000         /* before anything is counted */
#define PLAY_MS 15000        /* in all */
#define RETURNS 65536        /* callers on their way back, at most */

/* A caller's request. */
struct ask
{
  int first_ms; /* when the caller asked first */
  int sent_ms;  /* and was let in */
  int until_ms; /* while it runs: its end */
  int vm;       /* through which it came */
};

/* An endpoint: requests that run and that wait, oldest first. */
struct place
{
  struct ask running[SLOTS]; /* see above */
  struct ask waiting[QUEUE]; /* see above */
  int nrunning;              /* entries in running */
  int nwaiting;              /* entries in waiting */
};

/* All that one play holds. */
struct world
{
  struct admit admits[VMS];       /* of each VM */
  struct place places[ENDPOINTS]; /* the service */
  struct ask back[RETURNS];       /* callers who return, as refused */
  int back_ms[RETURNS];           /* when each does */
  int from, to;                   /* of that ring */
  int now_ms;                     /* present time */
  bool steered;                   /* VMs refuse by what they learned */
  int in_time, late, refused;     /* what callers got since WARM_MS */
  GRand *rand;                    /* draws */
};

static void
count (struct world *w, int *counter)
{
  if (w->now_ms >= WARM_MS)
    (*counter)++;
}

static void
saw (struct world *w, const struct place *p, const struct ask *a)
{
  struct admit_sample seen
      = { .running = p->nrunning, .waiting = p->nwaiting };

  seen.wait_us = (w->now_ms - a->sent_ms) * MS;
  seen.target_us = AIM_MS * MS;
  admit_add_sample (&w->admits[a->vm], &seen, w->now_ms * MS);
}

/* A place came free: the oldest that did not leave begins. */
static void
begin_next (struct world *w, struct place *p)
{
  struct ask a;

  while (p->nrunning < SLOTS && p->nwaiting > 0)
    {
      a = p->waiting[0];
      memmove (p->waiting, p->waiting + 1,
               (size_t)--p->nwaiting * sizeof *p->waiting);
      if (w->now_ms - a.sent_ms > PATIENCE_MS)
        continue;
      a.until_ms = w->now_ms + g_rand_int_range (w->rand, 1, 2 * SERVICE_MS);
      p->running[p->nrunning++] = a;
      count (w, w->now_ms - a.first_ms <= AIM_MS ? &w->in_time : &w->late);
      saw (w, p, &a);
    }
}

static void
end_done (struct world *w, struct place *p)
{
  int i;

  for (i = p->nrunning - 1; i >= 0; i--)
    if (p->running[i].until_ms <= w->now_ms)
      p->running[i] = p->running[--p->nrunning];
  begin_next (w, p);
}

static void
refuse (struct world *w, const struct ask *a)
{
  bool again = w->now_ms - a->first_ms < RETURN_MS;

  count (w, &w->refused);
  if (!again)
    return;
  w->back[w->to] = *a;
  w->back_ms[w->to] = w->now_ms + RETURN_MS
                      + g_rand_int_range (w->rand, 0, RETURN_SPREAD_MS);
  w->to = (w->to + 1) % RETURNS;
}

/* Through one VM to the shorter queue of two. */
static void
arrive (struct world *w, struct ask a)
{
  struct admit *admit = &w->admits[a.vm];
  int64_t now_us = w->now_ms * MS;
  struct place *p = &w->places[g_rand_int_range (w->rand, 0, ENDPOINTS)];
  struct place *q = &w->places[g_rand_int_range (w->rand, 0, ENDPOINTS)];
  int rank, keep;

  rank = admit_rank (0, w->now_ms > a.first_ms);
  admit_add_demand (admit, rank, 1, now_us);
  if (q->nrunning + q->nwaiting < p->nrunning + p->nwaiting)
    p = q;
  keep = admit_rank_permille (admit, rank, admit_permille (admit, now_us));
  if ((w->steered && g_rand_int_range (w->rand, 0, CQ_PERMILLE) >= keep)
      || p->nwaiting == QUEUE)
    {
      refuse (w, &a);
      return;
    }
  a.sent_ms = w->now_ms;
  p->waiting[p->nwaiting++] = a;
  begin_next (w, p);
}

static void
play_ms (struct world *w, int a_second)
{
  struct ask a = { .first_ms = w->now_ms };
  int i, n = a_second / 1000;

  for (i = 0; i < ENDPOINTS; i++)
    end_done (w, &w->places[i]);
  for (; w->from != w->to && w->back_ms[w->from] <= w->now_ms;
       w->from = (w->from + 1) % RETURNS)
    arrive (w, w->back[w->from]);
  n += g_rand_int_range (w->rand, 0, 1000) < a_second % 1000;
  for (i = 0; i < n; i++)
    {
      a.vm = g_rand_int_range (w->rand, 0, VMS);
      arrive (w, a);
    }
}

/* Callers who ask A_SECOND times a second for all of the play. */
static struct world *
play (int a_second, bool steered, guint32 seed)
{
  struct world *w = g_new0 (struct world, 1);
  int i;

  w->rand = g_rand_new_with_seed (seed);
  w->steered = steered;
  for (i = 0; i < VMS; i++)
    admit_init (&w->admits[i]);
  for (; w->now_ms < PLAY_MS; w->now_ms++)
    play_ms (w, a_second);
  return w;
}

static void
world_free (struct world *w)
{
  g_rand_free (w->rand);
  g_free (w);
}

static int
in_time (int a_second, bool steered)
{
  struct world *w = play (a_second, steered, 1);
  int n = w->in_time * 1000 / (PLAY_MS - WARM_MS);

  g_test_message ("%d a second, %s: %d in time, %d late, %d refused", a_second,
                  steered ? "steered" : "not", n, w->late, w->refused);
  world_free (w);
  return n;
}

/*
 * Callers ask up to four times as much as the endpoints can do.  Each is told
 * at once whether it is let in; those let in are answered in time, as many a
 * second as under any lower load, less a tenth.  Without admission queues are
 * full, and less than a third of the callers who are answered is in time.
 */
static void
test_overload (void)
{
  static const int percents[] = { 90, 150, 200, 260, 400 };
  int best = 0;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (percents); i++)
    {
      int n = in_time (CAPACITY * percents[i] / 100, true);

      g_assert_cmpint (n, >=, best * 9 / 10);
      best = MAX (best, n);
    }
  g_assert_cmpint (in_time (CAPACITY * 26 / 10, false), <, best / 3);
}

/* Endpoints that are nine tenths busy: queues come and go by themselves, and
   nobody is refused for them but one in a hundred. */
static void
test_busy (void)
{
  struct world *w = play (CAPACITY * 9 / 10, true, 2);

  g_assert_cmpint (w->refused, <, (w->in_time + w->late) / 100);
  g_assert_cmpint (w->late, <, w->in_time / 100);
  world_free (w);
}

/* After an overload all are let in again within five seconds of calm: the
   longest that a refused caller is told to wait. */
static void
test_calm_again (void)
{
  struct world *w = play (CAPACITY * 4, true, 3);
  int i;

  for (i = 0; i < 5000; i++, w->now_ms++)
    play_ms (w, CAPACITY / 2);
  w->refused = 0;
  for (i = 0; i < 1000; i++, w->now_ms++)
    play_ms (w, CAPACITY / 2);
  g_assert_cmpint (w->refused, <, CAPACITY / 100);
  world_free (w);
}

/* Of an endpoint that says nothing any more nothing is held against callers.
 */
static void
test_silent (void)
{
  struct admit_sample full = { .wait_us = 100 * MS, .target_us = AIM_MS * MS };
  struct admit a;
  int i;

  full.running = SLOTS;
  full.waiting = QUEUE;
  admit_init (&a);
  for (i = 0; i < 100; i++)
    admit_add_sample (&a, &full, (int64_t)(i + 1) * 100 * MS);
  g_assert_cmpint (admit_permille (&a, 10 * CQ_US_PER_S), <, 200);
  g_assert_cmpint (admit_permille (&a, 13 * CQ_US_PER_S), ==, CQ_PERMILLE);
}

/* An answer took three times as long as it should, and nobody waited there:
   fewer requests would not have made it faster, and nobody is refused. */
static void
test_slow_alone (void)
{
  struct admit_sample slow
      = { .wait_us = 1200 * MS, .target_us = AIM_MS * MS };
  struct admit a;
  int i;

  slow.running = 2;
  admit_init (&a);
  for (i = 0; i < 100; i++)
    admit_add_sample (&a, &slow, (int64_t)(i + 1) * 100 * MS);
  g_assert_cmpint (admit_permille (&a, 10 * CQ_US_PER_S), >=, 990);
}

/*
 * One endpoint of 48 has fallen behind, and a VM of many sees an answer in
 * 0.2 s: now and then it is from there, and tells of five times as many
 * requests that wait as run.  The service is not asked for too much, and of a
 * hundred callers not one is to be refused for it.
 */
static void
test_one_behind (void)
{
  struct admit_sample calm = { .wait_us = 100 * MS, .target_us = AIM_MS * MS };
  struct admit_sample behind
      = { .wait_us = 400 * MS, .target_us = AIM_MS * MS };
  g_autoptr (GRand) rand = g_rand_new_with_seed (1);
  int64_t refused = 0;
  struct admit a;
  int i, n = 5 * 600;

  calm.running = 6;
  behind.running = 4;
  behind.waiting = 21;
  admit_init (&a);
  for (i = 1; i <= n; i++)
    {
      bool hot = g_rand_int_range (rand, 0, 48) == 0;

      admit_add_sample (&a, hot ? &behind : &calm, (int64_t)i * 200 * MS);
      refused += CQ_PERMILLE - admit_permille (&a, (int64_t)i * 200 * MS);
    }
  g_test_message ("%d permille refused", (int)(refused / n));
  /* Not an assertion, which would end the tests behind this one. */
  if (refused / n >= CQ_PERMILLE / 100)
    g_test_fail ();
}

/* Four in ten can be let in, and a fifth of what is asked for is urgent: the
   urgent are let in, the least urgent lose most, and some of them are. */
static void
test_urgent_first (void)
{
  struct admit a;

  admit_init (&a);
  admit_add_demand (&a, 0, 200, 0);
  admit_add_demand (&a, 5, 300, 0);
  admit_add_demand (&a, 9, 500, 0);
  g_assert_cmpint (admit_rank_permille (&a, 0, 400), ==, CQ_PERMILLE);
  g_assert_cmpint (admit_rank_permille (&a, 5, 400), ==, 500);
  g_assert_cmpint (admit_rank_permille (&a, 9, 400), ==, 100);
  g_assert_cmpint (admit_rank_permille (&a, 9, CQ_PERMILLE), ==, CQ_PERMILLE);
}

/* Callers of a route have 2.6 to 3 s; one who has 1.9 s left was refused
   before, and goes behind all who ask for the first time. */
static void
test_returned (void)
{
  int64_t usual = 0;
  int i;

  for (i = 0; i < 100; i++)
    g_assert_false (admit_is_retry (&usual, (2600 + i * 7 % 400) * MS));
  g_assert_true (admit_is_retry (&usual, 1900 * MS));
  g_assert_cmpint (admit_rank (0, true), >, admit_rank (9, false));
}

const struct unit admit_units[] = {
  { "/admit/overload", test_overload },
  { "/admit/busy", test_busy },
  { "/admit/calm-again", test_calm_again },
  { "/admit/silent", test_silent },
  { "/admit/slow-alone", test_slow_alone },
  { "/admit/one-behind", test_one_behind },
  { "/admit/urgent-first", test_urgent_first },
  { "/admit/returned", test_returned },
  { NULL, NULL },
};
