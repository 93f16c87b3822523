/*
 * Unit tests of following the platform: the test plays it, and brings each
 * fault about at its moment.
 */
#include <glib.h>
#include <string.h>

#include "decide.h"
#include "follow.h"
#include "units.h"

#define MS CQ_US_PER_MS

#define CURRENT_US (1900 * MS)

/* A played platform: the test hands out each answer. */
struct source
{
  struct loop *loop;                           /* for pauses */
  struct fleet fleet;                          /* beliefs */
  struct follow *follow;                       /* under test */
  news_done done[FOLLOW_SOURCES];              /* waiting for news */
  void *arg[FOLLOW_SOURCES];                   /* for them */
  bool reading[FOLLOW_SOURCES];                /* a read, not a wait */
  int64_t after[FOLLOW_SOURCES];               /* version it waits after */
  int waits[FOLLOW_SOURCES];                   /* for changes, so far */
  int64_t wait_us[FOLLOW_SOURCES];             /* of the last one */
  struct follow_limits limits[FOLLOW_SOURCES]; /* of the last call */
  bool stop_at_wait;                           /* the next one ends the loop */
  bool stop_at_call; /* the next call of any kind does */
  int64_t store_ms;  /* its clock, as answers say */
  int64_t era;       /* of its store, as answers say */
  int64_t read_us;   /* answers took so long to read */
};

static void
read_all (void *ctx, enum follow_source s, const struct follow_limits *limits,
          news_done done, void *arg)
{
  struct source *p = ctx;

  p->limits[s] = *limits;
  p->done[s] = done;
  p->arg[s] = arg;
  p->reading[s] = true;
  if (p->stop_at_call)
    loop_stop (p->loop);
}

static void
wait_changes (void *ctx, enum follow_source s, int64_t version,
              int64_t wait_us, const struct follow_limits *limits,
              news_done done, void *arg)
{
  struct source *p = ctx;

  p->limits[s] = *limits;
  p->wait_us[s] = wait_us;
  p->done[s] = done;
  p->arg[s] = arg;
  p->reading[s] = false;
  p->after[s] = version;
  p->waits[s]++;
  if (p->stop_at_wait || p->stop_at_call)
    loop_stop (p->loop);
}

static struct source *
source_new (void)
{
  struct source *p = g_new0 (struct source, 1);
  struct follow_opts o = { .seed = 1 };

  p->loop = loop_new ();
  fleet_init (&p->fleet);
  o.loop = p->loop;
  o.fleet = &p->fleet;
  o.ops.read = read_all;
  o.ops.changes = wait_changes;
  o.ops.ctx = p;
  o.current_us = CURRENT_US;
  p->follow = follow_new (&o);
  follow_start (p->follow);
  return p;
}

static void
source_free (struct source *p)
{
  follow_stop (p->follow);
  follow_free (p->follow);
  fleet_clear (&p->fleet);
  loop_free (p->loop);
  g_free (p);
}

static void
tell (struct source *p, enum follow_source s, enum news_code code,
      int64_t version, GArray *items)
{
  struct news n = { .code = code, .version = version, .items = items };
  g_autoptr (GArray) none
      = g_array_new (FALSE, TRUE, sizeof (struct news_item));
  guint i;

  n.store_ms = p->store_ms;
  n.era = p->era;
  n.came_us = loop_now_us () - p->read_us;
  if (items == NULL)
    n.items = none;
  p->done[s](p->arg[s], &n);
  /* Settings that nobody took, as the adapter frees them. */
  for (i = 0; i < n.items->len; i++)
    fleet_conf_unref (g_array_index (n.items, struct news_item, i).conf);
  if (items != NULL)
    g_array_free (items, TRUE);
}

static GArray *
endpoint_items (const char *const *ids, bool draining)
{
  GArray *a = g_array_new (FALSE, TRUE, sizeof (struct news_item));

  for (; *ids != NULL; ids++)
    {
      struct news_item it = { .kind = NEWS_ENDPOINT };

      g_strlcpy (it.listing.id, *ids, sizeof it.listing.id);
      it.listing.draining = draining;
      g_array_append_val (a, it);
    }
  return a;
}

/*
 * An endpoint begins to leave, and another is removed, while the platform's
 * history is dropped: no change tells of either.  The whole list, read again,
 * does; else callers' requests would reach both after their last moment.
 */
static void
test_drain_in_gap (void)
{
  static const char *const three[] = { "a", "b", "c", NULL };
  static const char *const rest[] = { "a", NULL };
  struct source *p = source_new ();
  struct fleet_endpoint *e;

  tell (p, FOLLOW_ENDPOINTS, NEWS_OK, 10, endpoint_items (three, false));
  g_assert_false (p->reading[FOLLOW_ENDPOINTS]);
  g_assert_cmpint (p->after[FOLLOW_ENDPOINTS], ==, 10);
  tell (p, FOLLOW_ENDPOINTS, NEWS_HISTORY_LOST, 0, NULL);
  g_assert_true (p->reading[FOLLOW_ENDPOINTS]);
  tell (p, FOLLOW_ENDPOINTS, NEWS_OK, 30, endpoint_items (rest, true));
  e = g_hash_table_lookup (p->fleet.by_id, "a");
  g_assert_true (e->draining);
  g_assert_null (g_hash_table_lookup (p->fleet.by_id, "b"));
  g_assert_cmpint (p->after[FOLLOW_ENDPOINTS], ==, 30);
  source_free (p);
}

/*
 * Some of many endpoints changes its entry all the time.  If each change ended
 * a poll and began the next, the platform's store would get hundreds of calls
 * a second from all VMs; but the first poll follows the list at once.
 */
static void
test_paced (void)
{
  static const char *const one[] = { "a", NULL };
  struct source *p = source_new ();
  int64_t began = loop_now_us ();

  tell (p, FOLLOW_ENDPOINTS, NEWS_OK, 10, endpoint_items (one, false));
  g_assert_cmpint (p->waits[FOLLOW_ENDPOINTS], ==, 1);
  tell (p, FOLLOW_ENDPOINTS, NEWS_OK, 11, endpoint_items (one, false));
  g_assert_cmpint (p->waits[FOLLOW_ENDPOINTS], ==, 1);
  p->stop_at_wait = true;
  loop_run (p->loop);
  g_assert_cmpint (p->waits[FOLLOW_ENDPOINTS], ==, 2);
  g_assert_cmpint (loop_now_us () - began, >=, 900 * MS);
  g_assert_cmpint (p->after[FOLLOW_ENDPOINTS], ==, 11);
  source_free (p);
}

/*
 * A poll waits for a while and is answered that nothing changed.  By the
 * platform's clock that was true when the answer was given, not only when the
 * poll was sent; but never later, and after a jump of that clock only what the
 * answer itself proves counts.
 */
static void
test_freshness_by_clock (void)
{
  int64_t before = loop_now_us ();
  struct source *p = source_new ();
  int64_t polled_at, answered_at;

  p->store_ms = 50000;
  tell (p, FOLLOW_OPERATOR, NEWS_OK, 10, NULL);
  polled_at = loop_now_us ();
  g_usleep (30000);
  /* Given 20 ms after the first answer, and 10 ms or more on its way. */
  p->store_ms = 50020;
  tell (p, FOLLOW_OPERATOR, NEWS_OK, 10, NULL);
  g_assert_cmpint (p->fleet.conf_current_us, >=, before + 19 * MS);
  g_assert_cmpint (p->fleet.conf_current_us, <=, polled_at + 20 * MS);
  /* The clock jumps forward by an hour. */
  answered_at = loop_now_us ();
  p->store_ms = 50020 + 3600000;
  tell (p, FOLLOW_OPERATOR, NEWS_OK, 10, NULL);
  g_assert_cmpint (p->fleet.conf_current_us, <=, answered_at);
  /* And back. */
  g_usleep (10000);
  answered_at = loop_now_us ();
  p->store_ms = 50100;
  tell (p, FOLLOW_OPERATOR, NEWS_OK, 10, NULL);
  g_assert_cmpint (p->fleet.conf_current_us, <=, answered_at);
  source_free (p);
}

/*
 * An answer takes long to read, and the platform's clock has jumped forward by
 * less than that since the one before.  What it says was so when it came, not
 * while it was read: or a key that was taken away meanwhile would open doors
 * for longer than it may.
 */
static void
test_freshness_read_late (void)
{
  struct source *p = source_new ();

  p->store_ms = 50000;
  tell (p, FOLLOW_OPERATOR, NEWS_OK, 10, NULL);
  g_usleep (60000);
  p->store_ms = 50045;
  p->read_us = 40 * MS;
  tell (p, FOLLOW_OPERATOR, NEWS_OK, 10, NULL);
  g_assert_cmpint (p->fleet.conf_current_us, <=, loop_now_us () - 40 * MS);
  source_free (p);
}

static GArray *
naming_item (GArray *a, int64_t row, int64_t version)
{
  struct news_item it = { .kind = NEWS_WANTED, .row = row };

  g_strlcpy (it.model, "m", sizeof it.model);
  it.version = version;
  g_array_append_val (a, it);
  return a;
}

/* No version from VERSION on was named before, 0 if that is not known. */
static int64_t
early_of (const struct source *p, int64_t version)
{
  return MAX (fleet_earliest_naming_us (&p->fleet, "m", version), 0);
}

/*
 * A poll for the operators' changes goes silent while weights are named.  What
 * the list of endpoints said meanwhile tells how old the naming can be: its
 * changes share the count.  An answer that was overtaken tells nothing.
 */
static void
test_naming_time (void)
{
  struct source *p = source_new ();
  GArray *two = g_array_new (FALSE, TRUE, sizeof (struct news_item));
  GArray *one = g_array_new (FALSE, TRUE, sizeof (struct news_item));
  int64_t listed;

  p->store_ms = loop_now_us () / MS;
  tell (p, FOLLOW_OPERATOR, NEWS_OK, 10, naming_item (one, 3, 1));
  g_assert_cmpint (early_of (p, 1), ==, 0);
  g_usleep (20000);
  p->store_ms = loop_now_us () / MS;
  tell (p, FOLLOW_ENDPOINTS, NEWS_OK, 20, NULL);
  g_usleep (20000);
  listed = loop_now_us ();
  p->store_ms = listed / MS;
  tell (p, FOLLOW_ENDPOINTS, NEWS_OK, 30, NULL);
  g_usleep (20000);
  p->store_ms = loop_now_us () / MS;
  naming_item (two, 25, 2);
  tell (p, FOLLOW_OPERATOR, NEWS_OK, 40, naming_item (two, 35, 3));
  g_assert_cmpint (early_of (p, 2), <, listed - 10 * MS);
  g_assert_cmpint (early_of (p, 3), >, listed - 10 * MS);
  source_free (p);
}

/*
 * The operators' table cannot be read for a while: versions 2 and 3 are named
 * meanwhile, and the table then shows only 3.  The list of endpoints, which
 * goes on, says that 3 was not made before its last answer; of 2, which the
 * weights of 1 are outdated by, it says nothing.  What is known of both is
 * when the table was read last.
 */
static void
test_naming_time_of_unseen (void)
{
  struct source *p = source_new ();
  GArray *one = g_array_new (FALSE, TRUE, sizeof (struct news_item));
  GArray *three = g_array_new (FALSE, TRUE, sizeof (struct news_item));
  int64_t read;

  p->store_ms = loop_now_us () / MS;
  tell (p, FOLLOW_OPERATOR, NEWS_OK, 10, naming_item (one, 3, 1));
  read = p->fleet.conf_current_us;
  tell (p, FOLLOW_OPERATOR, NEWS_SILENT, 0, NULL);
  /* Version 2 is named in change 25, and row 25 is overwritten by row 35. */
  g_usleep (40000);
  p->store_ms = loop_now_us () / MS;
  tell (p, FOLLOW_ENDPOINTS, NEWS_OK, 30, NULL);
  g_usleep (20000);
  p->store_ms = loop_now_us () / MS;
  tell (p, FOLLOW_OPERATOR, NEWS_OK, 40, naming_item (three, 35, 3));
  g_assert_cmpint (early_of (p, 2), <=, read);
  source_free (p);
}

/* Without a clock of the platform, knowledge is as fresh as the moment at
   which the answered call was sent; an unanswered call makes nothing fresh. */
static void
test_freshness (void)
{
  struct source *p = source_new ();
  int64_t before = loop_now_us ();
  int64_t fresh;

  g_usleep (20000);
  tell (p, FOLLOW_OPERATOR, NEWS_OK, 10, NULL);
  fresh = p->fleet.conf_current_us;
  g_assert_cmpint (fresh, <=, before);
  g_assert_cmpint (fresh, >, 0);
  tell (p, FOLLOW_OPERATOR, NEWS_SILENT, 0, NULL);
  g_assert_cmpint (p->fleet.conf_current_us, ==, fresh);
  source_free (p);
}

#define ANSWER_US (500 * MS) /* for an answer to begin, over the wait */
#define LINK_BYTES_S 1250000 /* of the smallest VMs: 10 Mbit/s */

/*
 * In calm, knowledge gets as old as a poll waits and its answer takes.  If
 * that reached the bound past which nothing is denied, callers with a wrong
 * path would hear 503 in each lull, and come back for nothing.
 */
static void
test_wait_by_age (void)
{
  int64_t current, age, wait;

  for (current = 900 * MS; current < 6000 * MS; current += 50 * MS)
    for (age = 0; age < 9000 * MS; age += 30 * MS)
      {
        wait = follow_wait_us (current, age);
        g_assert_cmpint (wait, >=, 100 * MS);
        g_assert_cmpint (wait, <=, 2200 * MS);
        if (wait > 100 * MS)
          g_assert_cmpint (age + wait + ANSWER_US, <=, current);
      }
  /* Nothing is gained by asking more often than that. */
  g_assert_cmpint (follow_wait_us (2900 * MS, 0), ==, 2200 * MS);
  g_assert_cmpint (follow_wait_us (1900 * MS, 0), ==, 1400 * MS);
}

/*
 * All settings take seconds to come over a small link, so they are old when
 * they are there.  The next poll asks at once whether they still hold: with
 * its usual wait the VM would deny nothing, and then refuse all keys, while
 * the platform is well and nothing changes.
 */
static void
test_old_on_arrival (void)
{
  struct source *p = source_new ();

  p->store_ms = 50000;
  tell (p, FOLLOW_OPERATOR, NEWS_OK, 10, NULL);
  g_assert_cmpint (p->wait_us[FOLLOW_OPERATOR], >, 1300 * MS);
  /* By its clock the answer was given when the call was sent. */
  g_usleep (700000);
  tell (p, FOLLOW_OPERATOR, NEWS_OK, 11, NULL);
  g_assert_cmpint (p->wait_us[FOLLOW_OPERATOR], <, 800 * MS);
  g_assert_cmpint (p->wait_us[FOLLOW_OPERATOR], >, 100 * MS);
  source_free (p);
}

/*
 * The largest answer that is taken must have the time that it needs on the
 * smallest link: limited as a whole to less, it would never be had.  What
 * shows a silent store is the wait for the first byte and for each further
 * one, and both are short.
 */
static void
test_limits (void)
{
  struct source *p = source_new ();
  const struct follow_limits *l = &p->limits[FOLLOW_OPERATOR];
  int64_t largest_us = (int64_t)l->bytes_max * CQ_US_PER_S / LINK_BYTES_S;

  g_assert_cmpint (l->first_us, <, CQ_US_PER_S);
  g_assert_cmpint (l->whole_us, >=, 2 * largest_us);
  tell (p, FOLLOW_OPERATOR, NEWS_OK, 10, NULL);
  g_assert_cmpint (l->first_us, ==, p->wait_us[FOLLOW_OPERATOR] + ANSWER_US);
  g_assert_cmpint (l->stall_us, <=, ANSWER_US);
  g_assert_cmpint (l->whole_us, >=, l->first_us + 2 * largest_us);
  source_free (p);
}

/* A call fails; the next one is waited for, and whether it reads is told. */
static bool
reads_after (enum follow_source s, enum news_code code)
{
  struct source *p = source_new ();
  bool reading;

  tell (p, s, NEWS_OK, 10, NULL);
  g_assert_false (p->reading[s]);
  p->after[s] = 0;
  p->stop_at_call = true;
  tell (p, s, code, 0, NULL);
  loop_run (p->loop);
  reading = p->reading[s];
  if (!reading)
    g_assert_cmpint (p->after[s], ==, 10);
  source_free (p);
  return reading;
}

/*
 * The platform is silent for a moment.  What was read before still holds, and
 * a poll tells what changed since: each VM reading megabytes again would take
 * the next seconds of a small link.  A poll whose answer is too large never
 * gets anywhere, and a list of endpoints is only certain as a whole.
 */
static void
test_poll_goes_on (void)
{
  g_assert_false (reads_after (FOLLOW_OPERATOR, NEWS_SILENT));
  g_assert_false (reads_after (FOLLOW_OPERATOR, NEWS_STALLED));
  g_assert_false (reads_after (FOLLOW_OPERATOR, NEWS_REFUSED));
  g_assert_true (reads_after (FOLLOW_OPERATOR, NEWS_TOO_LARGE));
  g_assert_true (reads_after (FOLLOW_OPERATOR, NEWS_BROKEN));
  g_assert_true (reads_after (FOLLOW_OPERATOR, NEWS_UNREADABLE));
  g_assert_true (reads_after (FOLLOW_ENDPOINTS, NEWS_SILENT));
}

/* --- eras ------------------------------------------------------------ */

static GArray *
conf_item (int64_t version, int64_t row)
{
  GArray *a = g_array_new (FALSE, TRUE, sizeof (struct news_item));
  struct news_item it = { .kind = NEWS_CONF, .row = row };

  it.conf = fleet_conf_new ();
  it.conf->version = version;
  g_array_append_val (a, it);
  return a;
}

/* Run until a call was made that follows a pause. */
static void
next_call (struct source *p)
{
  p->stop_at_call = true;
  loop_run (p->loop);
  p->stop_at_call = false;
}

/* Settings 4 came with change 100 of the first era, and are followed. */
static struct source *
source_in_first_era (void)
{
  struct source *p = source_new ();

  p->era = 1;
  tell (p, FOLLOW_OPERATOR, NEWS_OK, 100, conf_item (4, 100));
  g_assert_false (p->reading[FOLLOW_OPERATOR]);
  return p;
}

/*
 * The store is back from an older copy, and its counter has passed the version
 * that this VM knows: a poll is answered, and says nothing.  What lies between
 * is read all the same, with a lower version than was known; else a key that
 * was taken away would work for good.
 */
static void
test_older_copy (void)
{
  struct source *p = source_in_first_era ();

  p->era = 2;
  tell (p, FOLLOW_OPERATOR, NEWS_OK, 120, NULL);
  next_call (p);
  g_assert_true (p->reading[FOLLOW_OPERATOR]);
  tell (p, FOLLOW_OPERATOR, NEWS_OK, 121, conf_item (5, 70));
  g_assert_cmpint (p->fleet.conf->version, ==, 5);
  g_assert_cmpint (p->after[FOLLOW_OPERATOR], ==, 121);
  source_free (p);
}

/* Its counter is far below what this VM knows: it goes on from there, and what
   callers saw in force stays in force until the operator has written again. */
static void
test_older_copy_far_back (void)
{
  struct source *p = source_in_first_era ();

  p->era = 2;
  tell (p, FOLLOW_OPERATOR, NEWS_HISTORY_LOST, 0, NULL);
  g_assert_true (p->reading[FOLLOW_OPERATOR]);
  tell (p, FOLLOW_OPERATOR, NEWS_OK, 10, conf_item (3, 9));
  g_assert_cmpint (p->fleet.conf->version, ==, 4);
  g_assert_cmpint (p->after[FOLLOW_OPERATOR], ==, 10);
  tell (p, FOLLOW_OPERATOR, NEWS_OK, 12, conf_item (5, 12));
  g_assert_cmpint (p->fleet.conf->version, ==, 5);
  source_free (p);
}

/* The list of endpoints shows the drill first: the answer to a poll for
   settings that was under way, of the era before, counts no more. */
static void
test_answer_of_era_before (void)
{
  struct source *p = source_in_first_era ();

  p->era = 2;
  tell (p, FOLLOW_ENDPOINTS, NEWS_OK, 50, NULL);
  p->era = 1;
  tell (p, FOLLOW_OPERATOR, NEWS_OK, 101, conf_item (9, 101));
  g_assert_cmpint (p->fleet.conf->version, ==, 4);
  next_call (p);
  g_assert_true (p->reading[FOLLOW_OPERATOR]);
  source_free (p);
}

/* Two drills, of which this VM saw the second only. */
static void
test_two_older_copies (void)
{
  struct source *p = source_in_first_era ();

  p->era = 3;
  tell (p, FOLLOW_OPERATOR, NEWS_REFUSED, 0, NULL);
  next_call (p);
  tell (p, FOLLOW_OPERATOR, NEWS_OK, 300, NULL);
  next_call (p);
  g_assert_true (p->reading[FOLLOW_OPERATOR]);
  tell (p, FOLLOW_OPERATOR, NEWS_OK, 300, conf_item (6, 60));
  g_assert_cmpint (p->fleet.conf->version, ==, 6);
  source_free (p);
}

/* Endpoints that the copy lacks write their entries again: they are doubted,
   and taken for gone only if they do not. */
static void
test_older_copy_lacks_endpoint (void)
{
  static const char *const two[] = { "a", "b", NULL };
  static const char *const one[] = { "a", NULL };
  struct source *p = source_new ();
  struct fleet_endpoint *b;

  p->era = 1;
  tell (p, FOLLOW_ENDPOINTS, NEWS_OK, 50, endpoint_items (two, false));
  p->era = 2;
  tell (p, FOLLOW_ENDPOINTS, NEWS_HISTORY_LOST, 0, NULL);
  g_assert_true (p->reading[FOLLOW_ENDPOINTS]);
  tell (p, FOLLOW_ENDPOINTS, NEWS_OK, 20, endpoint_items (one, false));
  b = g_hash_table_lookup (p->fleet.by_id, "b");
  g_assert_nonnull (b);
  g_assert_cmpint (b->missing_since_us, !=, 0);
  source_free (p);
}

const struct unit follow_units[] = {
  { "/follow/older-copy", test_older_copy },
  { "/follow/older-copy-far-back", test_older_copy_far_back },
  { "/follow/answer-of-era-before", test_answer_of_era_before },
  { "/follow/two-older-copies", test_two_older_copies },
  { "/follow/older-copy-lacks-endpoint", test_older_copy_lacks_endpoint },
  { "/follow/drain-in-gap", test_drain_in_gap },
  { "/follow/paced", test_paced },
  { "/follow/wait-by-age", test_wait_by_age },
  { "/follow/old-on-arrival", test_old_on_arrival },
  { "/follow/limits", test_limits },
  { "/follow/poll-goes-on", test_poll_goes_on },
  { "/follow/freshness", test_freshness },
  { "/follow/freshness-by-clock", test_freshness_by_clock },
  { "/follow/freshness-read-late", test_freshness_read_late },
  { "/follow/naming-time", test_naming_time },
  { "/follow/naming-time-of-unseen", test_naming_time_of_unseen },
  { NULL, NULL },
};
