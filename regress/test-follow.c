/*
 * Unit tests of follow.c: the test simulates the platform and injects each
 * fault at a chosen moment.
 */
#include <glib.h>
#include <string.h>
#include <time.h>

#include "decide.h"
#include "follow.h"
#include "units.h"

#define MS CQ_US_PER_MS

#define CURRENT_US (1900 * MS)

/* A simulated platform: the test sends each reply. */
struct source
{
  struct loop *loop;                /* runs the timers */
  struct fleet fleet;               /* state kept current */
  struct follow *follow;            /* under test */
  follow_done done[FOLLOW_SOURCES]; /* callback of the call in progress */
  void *arg[FOLLOW_SOURCES];        /* its argument */
  bool reading[FOLLOW_SOURCES];     /* the call is a full read, not a poll */
  int64_t after[FOLLOW_SOURCES];    /* version that the poll gave */
  int waits[FOLLOW_SOURCES];        /* polls so far */
  int64_t wait_us[FOLLOW_SOURCES];  /* wait of the last poll */
  struct follow_limits limits[FOLLOW_SOURCES]; /* of the last call */
  bool stop_at_wait; /* the next poll ends the loop */
  bool stop_at_call; /* the next call of any kind ends the loop */
  int64_t store_ms;  /* platform's clock in replies */
  int64_t era;       /* store's era in replies */
  int64_t parse_us;  /* time between arrival and end of parsing */
};

static void
read_all (void *ctx, enum follow_source s, const struct follow_limits *limits,
          follow_done done, void *arg)
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
poll_changes (void *ctx, enum follow_source s, int64_t version,
              int64_t wait_us, const struct follow_limits *limits,
              follow_done done, void *arg)
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
  o.ops.changes = poll_changes;
  o.ops.ctx = p;
  o.max_age_us = CURRENT_US;
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
send_reply (struct source *p, enum follow_source s, enum follow_status code,
            int64_t version, GArray *items)
{
  struct follow_reply n
      = { .status = code, .version = version, .items = items };
  g_autoptr (GArray) none
      = g_array_new (FALSE, TRUE, sizeof (struct follow_item));
  guint i;

  n.store_ms = p->store_ms;
  n.era = p->era;
  n.received_us = loop_now_us () - p->parse_us;
  if (items == NULL)
    n.items = none;
  p->done[s](p->arg[s], &n);
  /* Free the settings that were not taken over, as the adapter does. */
  for (i = 0; i < n.items->len; i++)
    fleet_conf_unref (g_array_index (n.items, struct follow_item, i).conf);
  if (items != NULL)
    g_array_free (items, TRUE);
}

static GArray *
endpoint_items (const char *const *ids, bool draining)
{
  GArray *a = g_array_new (FALSE, TRUE, sizeof (struct follow_item));

  for (; *ids != NULL; ids++)
    {
      struct follow_item it = { .kind = FOLLOW_ITEM_ENDPOINT };

      g_strlcpy (it.listing.id, *ids, sizeof it.listing.id);
      it.listing.draining = draining;
      g_array_append_val (a, it);
    }
  return a;
}

/*
 * Guards against requests to endpoints that are gone.  One endpoint begins to
 * drain and another is removed while the platform drops its history, so no
 * change reports either; the full read that follows must apply both.
 */
static void
test_drain_in_gap (void)
{
  static const char *const three[] = { "a", "b", "c", NULL };
  static const char *const rest[] = { "a", NULL };
  struct source *p = source_new ();
  struct fleet_endpoint *e;

  send_reply (p, FOLLOW_ENDPOINTS, FOLLOW_OK, 10,
              endpoint_items (three, false));
  g_assert_false (p->reading[FOLLOW_ENDPOINTS]);
  g_assert_cmpint (p->after[FOLLOW_ENDPOINTS], ==, 10);
  send_reply (p, FOLLOW_ENDPOINTS, FOLLOW_HISTORY_LOST, 0, NULL);
  g_assert_true (p->reading[FOLLOW_ENDPOINTS]);
  send_reply (p, FOLLOW_ENDPOINTS, FOLLOW_OK, 30, endpoint_items (rest, true));
  e = g_hash_table_lookup (p->fleet.by_id, "a");
  g_assert_true (e->draining);
  g_assert_null (g_hash_table_lookup (p->fleet.by_id, "b"));
  g_assert_cmpint (p->after[FOLLOW_ENDPOINTS], ==, 30);
  source_free (p);
}

/*
 * Guards against hundreds of calls a second to the platform's store: with many
 * endpoints some entry changes all the time, and each change would end a poll
 * of each VM and start the next.  Only the first poll follows the full read
 * immediately.
 */
static void
test_paced (void)
{
  static const char *const one[] = { "a", NULL };
  struct source *p = source_new ();
  int64_t began = loop_now_us ();

  send_reply (p, FOLLOW_ENDPOINTS, FOLLOW_OK, 10, endpoint_items (one, false));
  g_assert_cmpint (p->waits[FOLLOW_ENDPOINTS], ==, 1);
  send_reply (p, FOLLOW_ENDPOINTS, FOLLOW_OK, 11, endpoint_items (one, false));
  g_assert_cmpint (p->waits[FOLLOW_ENDPOINTS], ==, 1);
  p->stop_at_wait = true;
  loop_run (p->loop);
  g_assert_cmpint (p->waits[FOLLOW_ENDPOINTS], ==, 2);
  g_assert_cmpint (loop_now_us () - began, >=, 900 * MS);
  g_assert_cmpint (p->after[FOLLOW_ENDPOINTS], ==, 11);
  source_free (p);
}

/*
 * A poll waits for a while, and its reply reports no change.  By the
 * platform's clock the settings were current when the reply was sent, not only
 * when the poll was sent, but never later than that.  After a jump of that
 * clock only the reply itself is evidence.
 */
static void
test_freshness_by_clock (void)
{
  int64_t before = loop_now_us ();
  struct source *p = source_new ();
  int64_t polled_at, answered_at;

  p->store_ms = 50000;
  send_reply (p, FOLLOW_OPERATOR, FOLLOW_OK, 10, NULL);
  polled_at = loop_now_us ();
  g_usleep (30000);
  /* Sent 20 ms after the first reply, and 10 ms or more in transit. */
  p->store_ms = 50020;
  send_reply (p, FOLLOW_OPERATOR, FOLLOW_OK, 10, NULL);
  g_assert_cmpint (p->fleet.conf_current_us, >=, before + 19 * MS);
  g_assert_cmpint (p->fleet.conf_current_us, <=, polled_at + 20 * MS);
  /* The platform's clock jumps forward by an hour. */
  answered_at = loop_now_us ();
  p->store_ms = 50020 + 3600000;
  send_reply (p, FOLLOW_OPERATOR, FOLLOW_OK, 10, NULL);
  g_assert_cmpint (p->fleet.conf_current_us, <=, answered_at);
  /* And back again. */
  g_usleep (10000);
  answered_at = loop_now_us ();
  p->store_ms = 50100;
  send_reply (p, FOLLOW_OPERATOR, FOLLOW_OK, 10, NULL);
  g_assert_cmpint (p->fleet.conf_current_us, <=, answered_at);
  source_free (p);
}

/*
 * Guards against a revoked key that is accepted for too long.  A reply takes
 * long to parse, and the platform's clock has jumped forward by less than that
 * since the previous reply: the content must count as current at its arrival,
 * not while it was parsed.
 */
static void
test_freshness_read_late (void)
{
  struct source *p = source_new ();

  p->store_ms = 50000;
  send_reply (p, FOLLOW_OPERATOR, FOLLOW_OK, 10, NULL);
  g_usleep (60000);
  p->store_ms = 50045;
  p->parse_us = 40 * MS;
  send_reply (p, FOLLOW_OPERATOR, FOLLOW_OK, 10, NULL);
  g_assert_cmpint (p->fleet.conf_current_us, <=, loop_now_us () - 40 * MS);
  source_free (p);
}

static GArray *
naming_item (GArray *a, int64_t row, int64_t version)
{
  struct follow_item it = { .kind = FOLLOW_ITEM_WEIGHTS, .row = row };

  g_strlcpy (it.model, "m", sizeof it.model);
  it.version = version;
  g_array_append_val (a, it);
  return a;
}

/* Time before which no version from VERSION on was named, 0 if that is not
   known. */
static int64_t
not_named_before (const struct source *p, int64_t version)
{
  return MAX (fleet_earliest_announcement_us (&p->fleet, "m", version), 0);
}

/*
 * A poll for the operators' changes gets no reply while weights are named.
 * Replies about the list of endpoints in that time bound how long ago the
 * weights can have been named, since both sources share one change counter.  A
 * reply that was overtaken proves nothing.
 */
static void
test_naming_time (void)
{
  struct source *p = source_new ();
  GArray *two = g_array_new (FALSE, TRUE, sizeof (struct follow_item));
  GArray *one = g_array_new (FALSE, TRUE, sizeof (struct follow_item));
  int64_t listed;

  p->store_ms = loop_now_us () / MS;
  send_reply (p, FOLLOW_OPERATOR, FOLLOW_OK, 10, naming_item (one, 3, 1));
  g_assert_cmpint (not_named_before (p, 1), ==, 0);
  g_usleep (20000);
  p->store_ms = loop_now_us () / MS;
  send_reply (p, FOLLOW_ENDPOINTS, FOLLOW_OK, 20, NULL);
  g_usleep (20000);
  listed = loop_now_us ();
  p->store_ms = listed / MS;
  send_reply (p, FOLLOW_ENDPOINTS, FOLLOW_OK, 30, NULL);
  g_usleep (20000);
  p->store_ms = loop_now_us () / MS;
  naming_item (two, 25, 2);
  send_reply (p, FOLLOW_OPERATOR, FOLLOW_OK, 40, naming_item (two, 35, 3));
  g_assert_cmpint (not_named_before (p, 2), <, listed - 10 * MS);
  g_assert_cmpint (not_named_before (p, 3), >, listed - 10 * MS);
  source_free (p);
}

/*
 * The operators' table cannot be read for a while.  Versions 2 and 3 are named
 * meanwhile, and the table then shows only 3.  The list of endpoints, which
 * still can be read, proves that 3 had not been named at its last reply, but
 * proves nothing about 2, which made the weights of version 1 outdated.  The
 * only bound for 2 is the last read of the table.
 */
static void
test_naming_time_of_unseen (void)
{
  struct source *p = source_new ();
  GArray *one = g_array_new (FALSE, TRUE, sizeof (struct follow_item));
  GArray *three = g_array_new (FALSE, TRUE, sizeof (struct follow_item));
  int64_t read;

  p->store_ms = loop_now_us () / MS;
  send_reply (p, FOLLOW_OPERATOR, FOLLOW_OK, 10, naming_item (one, 3, 1));
  read = p->fleet.conf_current_us;
  send_reply (p, FOLLOW_OPERATOR, FOLLOW_NO_REPLY, 0, NULL);
  /* Version 2 is named in change 25, and change 35 overwrites its row. */
  g_usleep (40000);
  p->store_ms = loop_now_us () / MS;
  send_reply (p, FOLLOW_ENDPOINTS, FOLLOW_OK, 30, NULL);
  g_usleep (20000);
  p->store_ms = loop_now_us () / MS;
  send_reply (p, FOLLOW_OPERATOR, FOLLOW_OK, 40, naming_item (three, 35, 3));
  g_assert_cmpint (not_named_before (p, 2), <=, read);
  source_free (p);
}

/* Without a platform clock the settings were current when the call that got a
   reply was sent; a call without a reply does not refresh them. */
static void
test_freshness (void)
{
  struct source *p = source_new ();
  int64_t before = loop_now_us ();
  int64_t fresh;

  g_usleep (20000);
  send_reply (p, FOLLOW_OPERATOR, FOLLOW_OK, 10, NULL);
  fresh = p->fleet.conf_current_us;
  g_assert_cmpint (fresh, <=, before);
  g_assert_cmpint (fresh, >, 0);
  send_reply (p, FOLLOW_OPERATOR, FOLLOW_NO_REPLY, 0, NULL);
  g_assert_cmpint (p->fleet.conf_current_us, ==, fresh);
  source_free (p);
}

#define ANSWER_US                                                             \
  (500 * MS) /* for a reply to begin, in addition to the wait */
#define LINK_BYTES_S 1250000 /* link of the smallest VMs: 10 Mbit/s */

/*
 * While nothing changes, the settings get as old as the wait of a poll plus
 * the time of its reply.  If that reached the age past which requests are no
 * longer denied, callers with a wrong path would get 503 in each quiet period,
 * and retry in vain.
 */
static void
test_wait_by_age (void)
{
  int64_t current, age, wait;

  for (current = 900 * MS; current < 6000 * MS; current += 50 * MS)
    for (age = 0; age < 9000 * MS; age += 30 * MS)
      {
        wait = follow_poll_wait_us (current, age);
        g_assert_cmpint (wait, >=, 100 * MS);
        g_assert_cmpint (wait, <=, 2200 * MS);
        if (wait > 100 * MS)
          g_assert_cmpint (age + wait + ANSWER_US, <=, current);
      }
  /* Shorter waits than this have no benefit. */
  g_assert_cmpint (follow_poll_wait_us (2900 * MS, 0), ==, 2200 * MS);
  g_assert_cmpint (follow_poll_wait_us (1900 * MS, 0), ==, 1400 * MS);
}

/*
 * All settings take seconds to arrive over a small link, so they are old on
 * arrival.  The next poll must have a short wait to confirm them: with the
 * usual wait the VM would deny nothing, and then refuse all keys, although the
 * platform is healthy and nothing changes.
 */
static void
test_old_on_arrival (void)
{
  struct source *p = source_new ();

  p->store_ms = 50000;
  send_reply (p, FOLLOW_OPERATOR, FOLLOW_OK, 10, NULL);
  g_assert_cmpint (p->wait_us[FOLLOW_OPERATOR], >, 1300 * MS);
  /* By the platform's clock the reply was sent when the call was. */
  g_usleep (700000);
  send_reply (p, FOLLOW_OPERATOR, FOLLOW_OK, 11, NULL);
  g_assert_cmpint (p->wait_us[FOLLOW_OPERATOR], <, 800 * MS);
  g_assert_cmpint (p->wait_us[FOLLOW_OPERATOR], >, 100 * MS);
  source_free (p);
}

/*
 * The largest accepted reply must get the time that it needs on the smallest
 * link: with a shorter limit on the whole reply it could never be received.  A
 * store that does not respond is detected by the limits on the first byte and
 * on each further one, and both are short.
 */
static void
test_limits (void)
{
  struct source *p = source_new ();
  const struct follow_limits *l = &p->limits[FOLLOW_OPERATOR];
  int64_t largest_us = (int64_t)l->bytes_max * CQ_US_PER_S / LINK_BYTES_S;

  g_assert_cmpint (l->first_byte_us, <, CQ_US_PER_S);
  g_assert_cmpint (l->total_us, >=, 2 * largest_us);
  send_reply (p, FOLLOW_OPERATOR, FOLLOW_OK, 10, NULL);
  g_assert_cmpint (l->first_byte_us, ==,
                   p->wait_us[FOLLOW_OPERATOR] + ANSWER_US);
  g_assert_cmpint (l->stall_us, <=, ANSWER_US);
  g_assert_cmpint (l->total_us, >=, l->first_byte_us + 2 * largest_us);
  source_free (p);
}

/* Let a call fail, and return whether the next one is a full read. */
static bool
reads_all_after (enum follow_source s, enum follow_status code)
{
  struct source *p = source_new ();
  bool reading;

  send_reply (p, s, FOLLOW_OK, 10, NULL);
  g_assert_false (p->reading[s]);
  p->after[s] = 0;
  p->stop_at_call = true;
  send_reply (p, s, code, 0, NULL);
  loop_run (p->loop);
  reading = p->reading[s];
  if (!reading)
    g_assert_cmpint (p->after[s], ==, 10);
  source_free (p);
  return reading;
}

/*
 * The platform does not respond for a moment.  The settings read before are
 * still valid, and a poll returns what has changed since: if each VM read
 * megabytes again, that would occupy a small link for seconds.  A poll whose
 * reply is too large would fail again and again, and the list of endpoints is
 * only reliable after a full read.
 */
static void
test_poll_goes_on (void)
{
  g_assert_false (reads_all_after (FOLLOW_OPERATOR, FOLLOW_NO_REPLY));
  g_assert_false (reads_all_after (FOLLOW_OPERATOR, FOLLOW_STALLED));
  g_assert_false (reads_all_after (FOLLOW_OPERATOR, FOLLOW_REFUSED));
  g_assert_true (reads_all_after (FOLLOW_OPERATOR, FOLLOW_TOO_LARGE));
  g_assert_true (reads_all_after (FOLLOW_OPERATOR, FOLLOW_INCOMPLETE));
  g_assert_true (reads_all_after (FOLLOW_OPERATOR, FOLLOW_MALFORMED));
  g_assert_true (reads_all_after (FOLLOW_ENDPOINTS, FOLLOW_NO_REPLY));
}

/* --- eras ------------------------------------------------------------ */

static GArray *
conf_item (int64_t version, int64_t row)
{
  GArray *a = g_array_new (FALSE, TRUE, sizeof (struct follow_item));
  struct follow_item it = { .kind = FOLLOW_ITEM_CONF, .row = row };

  it.conf = fleet_conf_new ();
  it.conf->version = version;
  g_array_append_val (a, it);
  return a;
}

/* Run the loop until the call after a pause has been made. */
static void
next_call (struct source *p)
{
  p->stop_at_call = true;
  loop_run (p->loop);
  p->stop_at_call = false;
}

/* Settings 4 were read with change 100 of the first era, and are polled for
   changes. */
static struct source *
source_in_first_era (void)
{
  struct source *p = source_new ();

  p->era = 1;
  send_reply (p, FOLLOW_OPERATOR, FOLLOW_OK, 100, conf_item (4, 100));
  g_assert_false (p->reading[FOLLOW_OPERATOR]);
  return p;
}

/*
 * Guards against a revoked key that stays valid indefinitely.  The store was
 * restored from an older copy, and its counter has already passed the version
 * that this VM knows, so the reply to a poll reports no changes.  The changes
 * in between must still be read, also with lower versions than were known.
 */
static void
test_older_copy (void)
{
  struct source *p = source_in_first_era ();

  p->era = 2;
  send_reply (p, FOLLOW_OPERATOR, FOLLOW_OK, 120, NULL);
  next_call (p);
  g_assert_true (p->reading[FOLLOW_OPERATOR]);
  send_reply (p, FOLLOW_OPERATOR, FOLLOW_OK, 121, conf_item (5, 70));
  g_assert_cmpint (p->fleet.conf->version, ==, 5);
  g_assert_cmpint (p->after[FOLLOW_OPERATOR], ==, 121);
  source_free (p);
}

/* The store's counter is far below the version that this VM knows: polls
   continue from the lower version, and the settings in force stay in force
   until the operator has written newer ones. */
static void
test_older_copy_far_back (void)
{
  struct source *p = source_in_first_era ();

  p->era = 2;
  send_reply (p, FOLLOW_OPERATOR, FOLLOW_HISTORY_LOST, 0, NULL);
  g_assert_true (p->reading[FOLLOW_OPERATOR]);
  send_reply (p, FOLLOW_OPERATOR, FOLLOW_OK, 10, conf_item (3, 9));
  g_assert_cmpint (p->fleet.conf->version, ==, 4);
  g_assert_cmpint (p->after[FOLLOW_OPERATOR], ==, 10);
  send_reply (p, FOLLOW_OPERATOR, FOLLOW_OK, 12, conf_item (5, 12));
  g_assert_cmpint (p->fleet.conf->version, ==, 5);
  source_free (p);
}

/* The list of endpoints shows the new era first: the reply to a poll for
   settings that was in progress, of the previous era, must be ignored. */
static void
test_answer_of_era_before (void)
{
  struct source *p = source_in_first_era ();

  p->era = 2;
  send_reply (p, FOLLOW_ENDPOINTS, FOLLOW_OK, 50, NULL);
  p->era = 1;
  send_reply (p, FOLLOW_OPERATOR, FOLLOW_OK, 101, conf_item (9, 101));
  g_assert_cmpint (p->fleet.conf->version, ==, 4);
  next_call (p);
  g_assert_true (p->reading[FOLLOW_OPERATOR]);
  source_free (p);
}

/* The store was restored twice, and this VM has seen only the second era. */
static void
test_two_older_copies (void)
{
  struct source *p = source_in_first_era ();

  p->era = 3;
  send_reply (p, FOLLOW_OPERATOR, FOLLOW_REFUSED, 0, NULL);
  next_call (p);
  send_reply (p, FOLLOW_OPERATOR, FOLLOW_OK, 300, NULL);
  next_call (p);
  g_assert_true (p->reading[FOLLOW_OPERATOR]);
  send_reply (p, FOLLOW_OPERATOR, FOLLOW_OK, 300, conf_item (6, 60));
  g_assert_cmpint (p->fleet.conf->version, ==, 6);
  source_free (p);
}

/* Endpoints that the older copy lacks write their entries again: they are
   doubted first, and removed only if they do not. */
static void
test_older_copy_lacks_endpoint (void)
{
  static const char *const two[] = { "a", "b", NULL };
  static const char *const one[] = { "a", NULL };
  struct source *p = source_new ();
  struct fleet_endpoint *b;

  p->era = 1;
  send_reply (p, FOLLOW_ENDPOINTS, FOLLOW_OK, 50, endpoint_items (two, false));
  p->era = 2;
  send_reply (p, FOLLOW_ENDPOINTS, FOLLOW_HISTORY_LOST, 0, NULL);
  g_assert_true (p->reading[FOLLOW_ENDPOINTS]);
  send_reply (p, FOLLOW_ENDPOINTS, FOLLOW_OK, 20, endpoint_items (one, false));
  b = g_hash_table_lookup (p->fleet.by_id, "b");
  g_assert_nonnull (b);
  g_assert_cmpint (b->missing_since_us, !=, 0);
  source_free (p);
}

/* Processor time of a full read that returns COUNT endpoints again. */
static int64_t
full_read_cost (int count)
{
  struct source *p = source_new ();
  GArray *items;
  clock_t began = 0;
  int round, i;

  for (round = 0; round < 2; round++)
    {
      items = g_array_new (FALSE, TRUE, sizeof (struct follow_item));
      for (i = 0; i < count; i++)
        {
          struct follow_item it = { .kind = FOLLOW_ITEM_ENDPOINT };

          g_snprintf (it.listing.id, sizeof it.listing.id, "i-%d", i);
          g_array_append_val (items, it);
        }
      send_reply (p, FOLLOW_ENDPOINTS, FOLLOW_HISTORY_LOST, 0, NULL);
      began = clock ();
      send_reply (p, FOLLOW_ENDPOINTS, FOLLOW_OK, 10 + round, items);
    }
  began = clock () - began;
  g_assert_cmpuint (g_hash_table_size (p->fleet.by_id), ==, (guint)count);
  source_free (p);
  return MAX ((int64_t)began, 1);
}

/* Guards against a full read whose cost grows with the square of the number of
   endpoints: ten thousand would stop a small VM for seconds. */
static void
test_long_list (void)
{
  int64_t least = INT64_MAX;
  int i;

  /* Four times the endpoints take four times as long, not sixteen times. */
  for (i = 0; i < 3; i++)
    least = MIN (least, full_read_cost (16000) / full_read_cost (4000));
  g_assert_cmpint (least, <, 9);
}

/* Guards against full reads without a pause while the platform keeps no
   history: each poll ends so, and thousands of rows would be read again and
   again.  The first loss is followed by a read at once. */
static void
test_lost_again (void)
{
  static const char *const one[] = { "a", NULL };
  struct source *p = source_new ();
  int64_t began = loop_now_us ();

  send_reply (p, FOLLOW_ENDPOINTS, FOLLOW_OK, 10, endpoint_items (one, false));
  send_reply (p, FOLLOW_ENDPOINTS, FOLLOW_HISTORY_LOST, 0, NULL);
  g_assert_true (p->reading[FOLLOW_ENDPOINTS]);
  send_reply (p, FOLLOW_ENDPOINTS, FOLLOW_OK, 11, endpoint_items (one, false));
  g_assert_false (p->reading[FOLLOW_ENDPOINTS]);
  send_reply (p, FOLLOW_ENDPOINTS, FOLLOW_HISTORY_LOST, 0, NULL);
  g_assert_false (p->reading[FOLLOW_ENDPOINTS]);
  p->stop_at_call = true;
  loop_run (p->loop);
  g_assert_true (p->reading[FOLLOW_ENDPOINTS]);
  g_assert_cmpint (loop_now_us () - began, >=, 990 * MS);
  g_assert_cmpint (loop_now_us () - began, <, 1900 * MS);
  source_free (p);
}

const struct unit follow_units[] = {
  { "/follow/lost-again", test_lost_again },
  { "/follow/long-list", test_long_list },
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
