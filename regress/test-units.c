/*
 * Unit tests of the decision library: differential tests against naive
 * implementations over seeded random sequences, and properties over all
 * inputs.
 */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include <apr_general.h>

#include "decide.h"
#include "memb.h"
#include "stall.h"
#include "units.h"

#define ROUNDS 20000

/* --- stalled transfers ------------------------------------------------ */

#define FIRST_US 900000
#define MORE_US 500000

/*
 * An answer of megabytes over a slow link takes many times the limit for the
 * first byte, but makes progress.  If it were cut, each retry would be cut at
 * the same point, and the answer would never arrive.
 */
static void
test_stall_slow_progress (void)
{
  struct stall s
      = { .first_byte_limit_us = FIRST_US, .next_byte_limit_us = MORE_US };
  int64_t now = 1000;
  int i;

  s.progress_us = now;
  for (i = 0; i < 1000; i++)
    {
      now += MORE_US - 1;
      g_assert_cmpint (stall_state (&s, now), ==, STALL_NONE);
      stall_byte_received (&s, now);
      g_assert_cmpint (stall_deadline_us (&s), ==, now + MORE_US);
    }
}

/* The longer limit applies until the first byte, the shorter one after each
   byte; neither is exceeded. */
static void
test_stall_silence (void)
{
  struct stall s
      = { .first_byte_limit_us = FIRST_US, .next_byte_limit_us = MORE_US };

  s.progress_us = 1000;
  g_assert_cmpint (stall_deadline_us (&s), ==, 1000 + FIRST_US);
  g_assert_cmpint (stall_state (&s, 999 + FIRST_US), ==, STALL_NONE);
  g_assert_cmpint (stall_state (&s, 1000 + FIRST_US), ==, STALL_NO_FIRST_BYTE);
  stall_byte_received (&s, 5000);
  g_assert_cmpint (stall_state (&s, 4999 + MORE_US), ==, STALL_NONE);
  g_assert_cmpint (stall_state (&s, 5000 + MORE_US), ==, STALL_NO_NEXT_BYTE);
}

/* A transfer without limits never stalls. */
static void
test_stall_no_limit (void)
{
  struct stall s = { .progress_us = 1000 };

  g_assert_cmpint (stall_deadline_us (&s), ==, INT64_MAX);
  stall_byte_received (&s, 2000);
  g_assert_cmpint (stall_state (&s, INT64_MAX - 1), ==, STALL_NONE);
}

/* --- outcome --------------------------------------------------------- */

/*
 * A caller that gets "not-run" repeats the call.  If any byte of any attempt
 * had reached an endpoint, the call could run twice.  So for all combinations
 * of facts, "not-run" must imply that nothing can have run.
 */
static void
test_not_run_is_true (void)
{
  struct out_facts f;
  struct out_verdict v;
  int sent, bits, not_run = 0;

  for (sent = SEND_NONE; sent <= SEND_COMPLETE; sent++)
    for (bits = 0; bits < 128; bits++)
      {
        f = (struct out_facts){ .sent = (enum send_state)sent };
        f.status = bits & 1 ? 200 : 500;
        f.idempotent = bits & 2;
        f.ran_before = bits & 4;
        f.caller_has_bytes = bits & 8;
        f.resumable = bits & 16;
        f.attempts_left = bits & 32;
        f.deadline_passed = bits & 64;
        v = out_evaluate (&f);
        if (v.next == NEXT_FINISH && v.outcome == OUT_NOT_RUN)
          {
            not_run++;
            g_assert_true (sent == SEND_NONE || sent == SEND_REFUSED);
            g_assert_false (f.ran_before);
          }
      }
  g_assert_cmpint (not_run, >, 0);
}

/* Guards against an endpoint's answer that makes the caller send a request
   again which that endpoint has run. */
static void
test_no_false_refusal (void)
{
  static const int statuses[] = { 408, 421, 429, 503 };
  struct out_facts f;
  struct out_verdict v;
  size_t i;
  int bits;

  for (i = 0; i < G_N_ELEMENTS (statuses); i++)
    for (bits = 0; bits < 64; bits++)
      {
        f = (struct out_facts){ .sent = SEND_COMPLETE };
        f.status = statuses[i];
        f.idempotent = bits & 1;
        f.ran_before = bits & 2;
        f.caller_has_bytes = bits & 4;
        f.resumable = bits & 8;
        f.attempts_left = bits & 16;
        f.deadline_passed = bits & 32;
        v = out_evaluate (&f);
        g_assert_false (v.passes_answer);
        g_assert_true (v.next != NEXT_FINISH || v.outcome == OUT_FAILED
                       || v.outcome == OUT_UNKNOWN);
        g_assert_true (f.idempotent || v.next == NEXT_FINISH);
      }
}

/* A non-idempotent call that may have run is never retried. */
static void
test_no_second_run (void)
{
  struct out_facts f;
  int sent, bits;

  for (sent = SEND_PARTIAL; sent <= SEND_COMPLETE; sent++)
    for (bits = 0; bits < 64; bits++)
      {
        if (sent == SEND_REFUSED)
          continue;
        f = (struct out_facts){ .sent = (enum send_state)sent };
        f.status = bits & 1 ? 200 : 500;
        f.ran_before = bits & 2;
        f.caller_has_bytes = bits & 4;
        f.resumable = bits & 8;
        f.attempts_left = bits & 16;
        f.deadline_passed = bits & 32;
        g_assert_cmpint (out_evaluate (&f).next, ==, NEXT_FINISH);
      }
}

/* Guards against a broken stream that is ended as complete by an answer which
   is not the rest of it. */
static void
test_no_false_end (void)
{
  struct out_facts f;
  struct out_verdict v;
  int status, bits;

  for (status = 200; status < 600; status++)
    for (bits = 0; bits < 32; bits++)
      {
        f = (struct out_facts){ .sent = SEND_COMPLETE, .status = status };
        f.caller_has_bytes = true;
        f.idempotent = bits & 1;
        f.ran_before = bits & 2;
        f.resumable = bits & 4;
        f.attempts_left = bits & 8;
        f.deadline_passed = bits & 16;
        v = out_evaluate (&f);
        g_assert_false (v.passes_answer);
        g_assert_true (v.next != NEXT_FINISH || v.outcome == OUT_FAILED
                       || v.outcome == OUT_UNKNOWN);
        f.status = 200;
        f.ends_stream = true;
        v = out_evaluate (&f);
        g_assert_true (v.passes_answer && v.outcome == OUT_ANSWERED);
      }
}

/* A stream is never restarted after the caller has received a part of it. */
static void
test_no_stream_restart (void)
{
  struct out_facts f = { .idempotent = true, .attempts_left = true };
  int sent;

  f.caller_has_bytes = true;
  f.status = 500;
  for (sent = SEND_PARTIAL; sent <= SEND_COMPLETE; sent++)
    if (sent != SEND_REFUSED)
      {
        f.sent = (enum send_state)sent;
        g_assert_cmpint (out_evaluate (&f).next, !=, NEXT_RETRY);
      }
}

/* --- routing --------------------------------------------------------- */

/* All requests sent in a test, for the naive implementations. */
struct sent
{
  int endpoint;
  int64_t at_us;
  int64_t tokens;
};

static GArray *sends;

static void
send_and_record (struct route_table *t, int endpoint, int64_t tokens,
                 int64_t now)
{
  struct sent s = { endpoint, now, tokens };

  route_sent (t, endpoint, tokens, now);
  g_array_append_val (sends, s);
}

/* Naive queue: computed in tokens, over all sends. */
static int64_t
naive_queue (const struct route_endpoint *e, int i, int64_t now)
{
  double queue = (double)e->report.queued_tokens;
  double rate = (double)e->opts.prefill_tokens_s / 1e6;
  int64_t at = e->report.at_us;
  guint n;

  for (n = 0; n < sends->len; n++)
    {
      const struct sent *s = &g_array_index (sends, struct sent, n);

      if (s->endpoint != i || s->at_us < e->report.at_us)
        continue;
      queue = MAX (0, queue - (double)(s->at_us - at) * rate);
      queue += (double)s->tokens;
      at = s->at_us;
    }
  queue = MAX (0, queue - (double)(now - at) * rate);
  return (int64_t)(queue / rate);
}

/* Naive choice: least cost in a linear scan, implemented independently. */
static int64_t
naive_best (struct route_table *t, const struct route_query *q, int64_t now)
{
  const struct route_endpoint *e;
  int64_t best = -1, cost, cached, tokens;
  int load, i, h;

  for (i = 0; i < route_count (t); i++)
    {
      e = route_get (t, i);
      load = e->report.running + e->running;
      if (e->opts.service != q->service || now < e->retry_us || e->draining
          || strcmp (e->report.version, q->version) != 0
          || load >= e->opts.slots)
        continue;
      cached = 0;
      for (h = 0; h < q->nhits; h++)
        if (q->hits[h].endpoint == i)
          cached = (int64_t)q->hits[h].blocks * q->block_tokens;
      if (cached > q->prompt_tokens)
        cached = q->prompt_tokens;
      tokens = q->prompt_tokens - cached;
      cost = tokens * CQ_US_PER_S / e->opts.prefill_tokens_s;
      cost += naive_queue (e, i, now);
      cost += load * e->opts.decode_us / e->opts.slots + e->opts.rtt_us;
      if (best < 0 || cost < best)
        best = cost;
    }
  return best;
}

static struct route_table *
random_routes (GRand *r, int n)
{
  static const char *const versions[] = { "v1", "v2" };
  struct route_table *t = route_new (g_rand_int (r));
  struct route_report report = { .at_us = 1 };
  struct route_opts o = { .name = "e" };
  int i;

  for (i = 0; i < n; i++)
    {
      o.service = g_rand_int_range (r, 0, 2);
      o.slots = g_rand_int_range (r, 1, 5);
      o.prefill_tokens_s = g_rand_int_range (r, 1000, 9000);
      o.decode_us = g_rand_int_range (r, 0, 20000);
      o.rtt_us = g_rand_int_range (r, 0, 3000);
      route_add (t, &o);
      report.running = g_rand_int_range (r, 0, 4);
      report.queued_tokens = g_rand_int_range (r, 0, 5000);
      g_strlcpy (report.version, versions[g_rand_int_range (r, 0, 2)],
                 sizeof report.version);
      route_set_report (t, i, &report);
      if (g_rand_int_range (r, 0, 5) == 0)
        route_result (t, i, ROUTE_UNREACHABLE, 1000);
      route_get (t, i)->draining = g_rand_int_range (r, 0, 8) == 0;
    }
  return t;
}

/* New random endpoints after 15 requests, so that no recorded send is
   overwritten. */
static void
test_route_near_naive (void)
{
  GRand *r = g_rand_new_with_seed (11);
  struct route_table *t;
  struct route_query q = { .version = "v1", .block_tokens = 128 };
  struct pfx_hit hits[2] = { 0 };
  struct route_choice c;
  int64_t best, now;
  int round, chosen = 0;

  sends = g_array_new (FALSE, FALSE, sizeof (struct sent));
  q.weights.first = 100;
  q.hits = hits;
  t = random_routes (r, 40);
  for (round = 0; round < ROUNDS; round++)
    {
      now = 2000 + (round % 15) * 10000;
      if (round % 15 == 0)
        {
          route_free (t);
          t = random_routes (r, 40);
          g_array_set_size (sends, 0);
        }
      q.service = g_rand_int_range (r, 0, 2);
      q.prompt_tokens = g_rand_int_range (r, 0, 4000);
      hits[0].endpoint = g_rand_int_range (r, 0, 40);
      hits[0].blocks = g_rand_int_range (r, 1, 30);
      hits[0].probability_permille = 1000;
      q.nhits = g_rand_int_range (r, 0, 2);
      best = naive_best (t, &q, now);
      c = route_pick (t, &q, now);
      g_assert_cmpint (c.code == ROUTE_CHOSEN, ==, best >= 0);
      if (c.code != ROUTE_CHOSEN)
        continue;
      /* Each rounding step of either side may lose a microsecond. */
      g_assert_cmpint (c.score, >=, best - 40);
      g_assert_cmpint (c.score, <=, MAX (best + best / 10, best + 500) + 40);
      send_and_record (t, c.endpoint, q.prompt_tokens - c.cached_tokens, now);
      chosen++;
    }
  g_assert_cmpint (chosen, >, ROUNDS / 2);
  g_array_free (sends, TRUE);
  route_free (t);
  g_rand_free (r);
}

/* Among 655 endpoints a sample is compared: it always contains a holder of the
   prompt, and otherwise nearly always one of the least loaded tenth. */
static void
test_route_sample (void)
{
  struct route_table *t = route_new (9);
  struct route_query q = { .version = "v1", .prompt_tokens = 1000 };
  struct route_report report = { .at_us = 1, .version = "v1" };
  struct route_opts o = { .name = "e", .slots = 100 };
  struct pfx_hit hit = { 333, 7, 1000 };
  int i, good = 0;

  q.block_tokens = 128;
  q.weights.first = 100;
  o.prefill_tokens_s = 8000;
  for (i = 0; i < 655; i++)
    {
      route_add (t, &o);
      report.queued_tokens = i * INT64_C (10);
      route_set_report (t, i, &report);
    }
  for (i = 0; i < 1000; i++)
    good += route_pick (t, &q, 2).endpoint < 66;
  g_assert_cmpint (good, >, 950);
  report.queued_tokens = 0;
  route_set_report (t, 333, &report);
  q.hits = &hit;
  q.nhits = 1;
  for (i = 0; i < 1000; i++)
    g_assert_cmpint (route_pick (t, &q, 2).endpoint, ==, 333);
  route_free (t);
}

/*
 * Four VMs have the same stale report and send 25 requests each.  If each VM
 * chose the best endpoint, all 100 requests could go to the same one.  With a
 * random choice among the best, none of ten equal endpoints gets more than
 * three times its share.
 */
static void
test_no_herding (void)
{
  int sent[10] = { 0 };
  struct route_query q
      = { .version = "v1", .prompt_tokens = 1, .weights = { .first = 100 } };
  struct route_report report = { .at_us = 1, .version = "v1" };
  struct route_opts o = { .name = "e", .slots = 100 };
  struct route_table *t;
  int vm, i;

  o.prefill_tokens_s = 8000;
  for (vm = 0; vm < 4; vm++)
    {
      t = route_new ((uint64_t)vm + 1);
      for (i = 0; i < 10; i++)
        {
          route_add (t, &o);
          route_set_report (t, i, &report);
        }
      for (i = 0; i < 25; i++)
        {
          struct route_choice c = route_pick (t, &q, 2);

          sent[c.endpoint]++;
          route_sent (t, c.endpoint, 1, 2);
        }
      route_free (t);
    }
  for (i = 0; i < 10; i++)
    g_assert_cmpint (sent[i], <=, 30);
}

/* --- prefixes -------------------------------------------------------- */

static void
test_scopes_unrelated (void)
{
  struct pfx_scope a, b, c, d;
  uint64_t x[4], y[4];
  char text[2048];

  memset (text, 'p', sizeof text);
  pfx_scope_init (&a, "ws1", "chat", "v1", "");
  pfx_scope_init (&b, "ws2", "chat", "v1", "");
  pfx_scope_init (&c, "ws1", "chat", "v2", "");
  pfx_scope_init (&d, "ws1c", "hat", "v1", "");
  g_assert_cmpint (pfx_chain (&a, text, sizeof text, x, 4), ==, 4);
  pfx_chain (&b, text, sizeof text, y, 4);
  g_assert_true (x[0] != y[0] && x[3] != y[3]);
  pfx_chain (&c, text, sizeof text, y, 4);
  g_assert_true (x[0] != y[0] && x[3] != y[3]);
  pfx_chain (&d, text, sizeof text, y, 4);
  g_assert_true (x[0] != y[0]);
  /* A change in the first block changes all later digests. */
  text[0] = 'q';
  pfx_chain (&a, text, sizeof text, y, 4);
  g_assert_true (x[0] != y[0] && x[3] != y[3]);
}

/* Naive index: the last endpoint recorded for each chain. */
static void
test_prefix_naive (void)
{
  GRand *r = g_rand_new_with_seed (5);
  struct pfx *p = pfx_new (1 << 20, 8);
  uint64_t chains[50][8];
  int last[50];
  struct pfx_hit hits[8];
  int round, i, n, c;

  for (c = 0; c < 50; c++)
    {
      last[c] = -1;
      for (i = 0; i < 8; i++)
        chains[c][i] = (uint64_t)c * 100 + (uint64_t)i;
    }
  for (round = 0; round < ROUNDS; round++)
    {
      c = g_rand_int_range (r, 0, 50);
      n = pfx_lookup (p, chains[c], 8, hits, 8);
      g_assert_cmpint (n > 0, ==, last[c] >= 0);
      if (n > 0)
        {
          g_assert_cmpint (hits[0].endpoint, ==, last[c]);
          g_assert_cmpint (hits[0].blocks, ==, 8);
        }
      last[c] = g_rand_int_range (r, 0, 6);
      pfx_record (p, chains[c], 8, last[c]);
      if (g_rand_int_range (r, 0, 500) == 0)
        {
          pfx_invalidate_endpoint (p, 3);
          for (i = 0; i < 50; i++)
            if (last[i] == 3)
              {
                /* The previous holder is now the most recent one. */
                n = pfx_lookup (p, chains[i], 8, hits, 8);
                last[i] = n > 0 ? hits[0].endpoint : -1;
                g_assert_cmpint (last[i], !=, 3);
              }
        }
    }
  pfx_free (p);
  g_rand_free (r);
}

static void
test_prefix_bounded (void)
{
  struct pfx *p = pfx_new (100, 8);
  uint64_t digest;
  int i;

  for (i = 0; i < 10000; i++)
    {
      digest = (uint64_t)i;
      pfx_record (p, &digest, 1, i % 7);
    }
  g_assert_cmpint (pfx_count (p), ==, 100);
  pfx_free (p);
}

/* Naive directory: a list of copies that is scanned linearly. */
struct naive_copy
{
  uint64_t digest;
  int store;
  uint64_t write_id;
};

static int
naive_depth (GArray *list, const uint64_t *digests, int n, int store)
{
  int depth = 0;
  guint i;

  while (depth + DIR_SEGMENT_BLOCKS <= n)
    {
      for (i = 0; i < list->len; i++)
        {
          const struct naive_copy *c
              = &g_array_index (list, struct naive_copy, i);

          if (c->digest == digests[depth + DIR_SEGMENT_BLOCKS - 1]
              && c->store == store)
            break;
        }
      if (i == list->len)
        break;
      depth += DIR_SEGMENT_BLOCKS;
    }
  return depth;
}

static void
naive_remove (GArray *list, uint64_t digest, int store, uint64_t write_id,
              bool any_write)
{
  guint i;

  for (i = list->len; i-- > 0;)
    {
      const struct naive_copy *c = &g_array_index (list, struct naive_copy, i);

      if (c->digest == digest && c->store == store
          && (any_write || c->write_id == write_id))
        g_array_remove_index (list, i);
    }
}

static void
test_dir_naive (void)
{
  GRand *r = g_rand_new_with_seed (21);
  struct dir *d = dir_new (1 << 20);
  GArray *list = g_array_new (FALSE, FALSE, sizeof (struct naive_copy));
  uint64_t digests[16];
  struct naive_copy c;
  int round, i;

  for (round = 0; round < ROUNDS; round++)
    {
      for (i = 0; i < 16; i++)
        digests[i] = (uint64_t)g_rand_int_range (r, 0, 8) * 100 + (uint64_t)i;
      c.digest = digests[DIR_SEGMENT_BLOCKS * g_rand_int_range (r, 1, 5) - 1];
      c.store = g_rand_int_range (r, 0, 2);
      c.write_id = (uint64_t)g_rand_int_range (r, 0, 3);
      switch (g_rand_int_range (r, 0, 8))
        {
        case 0:
          naive_remove (list, c.digest, c.store, c.write_id, false);
          dir_remove (d, c.digest, c.store, c.write_id);
          break;
        case 1:
          if (g_rand_int_range (r, 0, 50) != 0)
            break;
          for (i = (int)list->len; i-- > 0;)
            if (g_array_index (list, struct naive_copy, i).store == c.store)
              g_array_remove_index (list, (guint)i);
          dir_remove_store (d, c.store);
          break;
        default:
          naive_remove (list, c.digest, c.store, 0, true);
          g_array_append_val (list, c);
          dir_add (d, c.digest, c.store, c.write_id, round);
        }
      for (i = 0; i < 2; i++)
        g_assert_cmpint (dir_depth (d, digests, 16, i), ==,
                         naive_depth (list, digests, 16, i));
    }
  g_array_free (list, TRUE);
  dir_free (d);
  g_rand_free (r);
}

/* The plan is the cheapest one: compared with the import of every number of
   segments. */
static void
test_plan_naive (void)
{
  GRand *r = g_rand_new_with_seed (8);
  struct plan_weights w = { 100, 0, 0 };
  struct plan_in in = { .segment_tokens = 512 };
  struct plan_source s;
  struct plan p;
  int64_t best, first, import, to;
  int round;

  for (round = 0; round < ROUNDS; round++)
    {
      in.prompt_tokens = g_rand_int_range (r, 512, 20000);
      in.cached_tokens = g_rand_int_range (r, 0, 3) * INT64_C (512);
      if (in.cached_tokens > in.prompt_tokens / 512 * 512)
        in.cached_tokens = 0;
      in.queue_us = g_rand_int_range (r, 0, 3000000);
      in.prefill_tokens_s = g_rand_int_range (r, 2000, 10000);
      s.store = 0;
      s.tokens = in.prompt_tokens / 512 * 512;
      s.wait_us = g_rand_int_range (r, 0, 1000000);
      s.setup_us = 2000;
      s.tokens_s = g_rand_int_range (r, 1000, 60000);
      p = plan_best (&in, &s, 1, &w);
      best = G_MAXINT64;
      for (to = in.cached_tokens; to <= s.tokens; to += 512)
        {
          import = to > in.cached_tokens ? s.wait_us + s.setup_us
                                               + (to - in.cached_tokens)
                                                     * CQ_US_PER_S / s.tokens_s
                                         : 0;
          first
              = MAX (in.queue_us, import)
                + (in.prompt_tokens - to) * CQ_US_PER_S / in.prefill_tokens_s;
          best = MIN (best, first);
        }
      /* An import must save a tenth; divisions lose a few microseconds. */
      g_assert_cmpint (p.first_us, >=, best - 4);
      g_assert_cmpint (p.first_us, <=, best * 100 / 90 + 4);
    }
  g_rand_free (r);
}

/* --- members --- */

static struct memb_update
word (const char *name, const char *domain, uint64_t life, uint32_t beat,
      enum memb_state state)
{
  struct memb_update w = { .incarnation = life, .seq = beat, .state = state };

  g_strlcpy (w.name, name, sizeof w.name);
  g_strlcpy (w.domain, domain, sizeof w.domain);
  return w;
}

static enum memb_state
state_of (struct memb_table *t, const char *name)
{
  return memb_find (t, name)->latest.state;
}

/*
 * A VM leaves.  An older list and a later heartbeat still report it as alive,
 * and then a new incarnation appears at its address.  Only the new incarnation
 * becomes alive.
 */
static void
test_member_leaving (void)
{
  struct memb_update self = word ("self", "d", 1, 1, MEMB_ALIVE);
  struct memb_table *t = memb_new (&self);
  struct memb_update w = word ("a", "d", 7, 5, MEMB_ALIVE);

  g_assert_true (memb_apply_update (t, &w, 0));
  /* The platform's list has no heartbeats. */
  w = word ("a", "d", 7, 0, MEMB_LEAVING);
  g_assert_true (memb_apply_update (t, &w, 1));
  g_assert_cmpint (state_of (t, "a"), ==, MEMB_LEAVING);
  w = word ("a", "d", 7, 0, MEMB_ALIVE);
  g_assert_false (memb_apply_update (t, &w, 2));
  w = word ("a", "d", 7, 9, MEMB_ALIVE);
  memb_apply_update (t, &w, 3);
  g_assert_cmpint (state_of (t, "a"), ==, MEMB_LEAVING);
  w = word ("a", "d", 6, 99, MEMB_ALIVE);
  g_assert_false (memb_apply_update (t, &w, 4));
  w = word ("a", "d", 8, 1, MEMB_ALIVE);
  g_assert_true (memb_apply_update (t, &w, 5));
  g_assert_cmpint (state_of (t, "a"), ==, MEMB_ALIVE);
  memb_free (t);
}

/* A VM is suspected after three missed pings and dead two seconds later; its
   own later heartbeat makes it alive again. */
static void
test_member_suspect (void)
{
  struct memb_update self = word ("self", "d", 1, 1, MEMB_ALIVE);
  struct memb_table *t = memb_new (&self);
  struct memb_update w = word ("a", "d", 7, 1, MEMB_ALIVE);
  struct memb *m;
  int i;

  memb_apply_update (t, &w, 0);
  m = memb_find (t, "a");
  for (i = 0; i < 3; i++)
    memb_ping_timed_out (t, m, i);
  g_assert_cmpint (state_of (t, "a"), ==, MEMB_SUSPECT);
  memb_tick (t, CQ_US_PER_S);
  g_assert_cmpint (state_of (t, "a"), ==, MEMB_SUSPECT);
  memb_tick (t, 3 * CQ_US_PER_S);
  g_assert_cmpint (state_of (t, "a"), ==, MEMB_DEAD);
  w = word ("a", "d", 7, 2, MEMB_ALIVE);
  g_assert_true (memb_apply_update (t, &w, 4 * CQ_US_PER_S));
  g_assert_cmpint (state_of (t, "a"), ==, MEMB_ALIVE);
  /* A VM refutes its own death with a later heartbeat. */
  w = word ("self", "d", 1, 1, MEMB_DEAD);
  g_assert_true (memb_apply_update (t, &w, 5 * CQ_US_PER_S));
  g_assert_cmpint (memb_self (t)->seq, ==, 2);
  memb_free (t);
}

/*
 * A VM answers its first ping before it knows its own address.  If the update
 * with the address were not taken as new, the other VM would keep the empty
 * address, could not ping it, and would declare it dead.
 */
static void
test_member_address (void)
{
  struct memb_update self = word ("self", "d", 1, 1, MEMB_ALIVE);
  struct memb_update other = word ("other", "d", 1, 1, MEMB_ALIVE);
  struct memb_table *a = memb_new (&self);
  struct memb_table *b = memb_new (&other);

  memb_apply_update (b, memb_self (a), 0);
  memb_set_address (a, "127.0.0.1:9");
  g_assert_true (memb_apply_update (b, memb_self (a), 1));
  g_assert_cmpstr (memb_find (b, "self")->latest.address, ==, "127.0.0.1:9");
  memb_free (a);
  memb_free (b);
}

/*
 * A VM that joins after all gossip about earlier VMs has been sent, and that
 * gets gossip from only one of them, must still learn of all.
 */
static void
test_member_newcomer (void)
{
  struct memb_update self = word ("self", "d", 1, 1, MEMB_ALIVE);
  struct memb_update late = word ("late", "d", 1, 1, MEMB_ALIVE);
  struct memb_table *a = memb_new (&self);
  struct memb_table *b = memb_new (&late);
  struct memb_update out[32];
  struct memb_update w;
  char name[16];
  int round, n, i;

  for (i = 0; i < 50; i++)
    {
      g_snprintf (name, sizeof name, "vm%d", i);
      w = word (name, "d", 1, 1, MEMB_ALIVE);
      memb_apply_update (a, &w, 0);
    }
  for (round = 0; round < 100; round++)
    memb_rumors (a, out, 32);
  for (round = 0; round < 26; round++)
    {
      n = memb_rumors (a, out, 32);
      g_assert_cmpint (n, <=, 2);
      for (i = 0; i < n; i++)
        memb_apply_update (b, &out[i], 1);
    }
  g_assert_cmpint (memb_count (b, MEMB_ALIVE), ==, 50);
  memb_free (a);
  memb_free (b);
}

/* The number of VMs that a VM pings does not grow with the number of VMs, and
   a task is assigned to exactly the requested number of VMs in a domain. */
static void
test_member_neighbours (void)
{
  enum
  {
    VMS = 104,
    DOMAINS = 9
  };
  struct memb_table *tables[VMS];
  struct memb *out[32];
  struct memb_update w;
  char name[16];
  char domain[16];
  int i, k, assigned = 0;

  for (i = 0; i < VMS; i++)
    {
      g_snprintf (name, sizeof name, "vm%d", i);
      w = word (name, "d0", 1, 1, MEMB_ALIVE);
      tables[i] = memb_new (&w);
      for (k = 0; k < VMS * DOMAINS; k++)
        {
          g_snprintf (name, sizeof name, "vm%d", k);
          g_snprintf (domain, sizeof domain, "d%d", k / VMS);
          w = word (name, domain, 1, 1, MEMB_ALIVE);
          if (k != i)
            memb_apply_update (tables[i], &w, 0);
        }
      g_assert_cmpint (memb_neighbours (tables[i], out, 32), ==,
                       3 + DOMAINS - 1);
      assigned += memb_is_responsible (tables[i], "config/head", 2);
    }
  g_assert_cmpint (assigned, ==, 2);
  for (i = 0; i < VMS; i++)
    memb_free (tables[i]);
}

/* --- main ------------------------------------------------------------ */

static const struct unit units[] = {
  { "/outcome/not-run-is-true", test_not_run_is_true },
  { "/outcome/no-false-refusal", test_no_false_refusal },
  { "/outcome/no-second-run", test_no_second_run },
  { "/outcome/no-false-end", test_no_false_end },
  { "/outcome/no-doubled-stream", test_no_stream_restart },
  { "/route/near-naive", test_route_near_naive },
  { "/route/sample", test_route_sample },
  { "/route/no-herd", test_no_herding },
  { "/prefix/scopes-never-meet", test_scopes_unrelated },
  { "/prefix/naive", test_prefix_naive },
  { "/prefix/bounded", test_prefix_bounded },
  { "/kept/dir-naive", test_dir_naive },
  { "/kept/plan-naive", test_plan_naive },
  { "/stall/slow-progress", test_stall_slow_progress },
  { "/stall/silence", test_stall_silence },
  { "/stall/no-limit", test_stall_no_limit },
  { "/member/leaving", test_member_leaving },
  { "/member/suspect", test_member_suspect },
  { "/member/address", test_member_address },
  { "/member/newcomer", test_member_newcomer },
  { "/member/neighbours", test_member_neighbours },
};

/* Units of the other files; each table ends with an entry without a path. */
static const struct unit *const tables[]
    = { wire_units,        fleet_units,   relay_units,     orders_units,
        follow_units,      parts_units,   xfer_units,      oddrow_units,
        share_units,       header_units,  fresh_units,     steps_units,
        incarnation_units, load_units,    admit_units,     quar_units,
        cold_units,        limit_units,   notice_units,    regions_units,
        evac_units,        mirror_units,  relayquar_units, routeshare_units,
        relaystate_units,  observe_units, returns_units,   speed_units,
        spread_units,      health_units,  reach_units,     forward_units,
        build_units,       vmpath_units,  brittle_units,   partquar_units };

int
main (int argc, char **argv)
{
  const struct unit *u;
  size_t i;

  g_test_init (&argc, &argv, NULL);
  apr_initialize ();
  for (i = 0; i < G_N_ELEMENTS (units); i++)
    g_test_add_func (units[i].path, units[i].run);
  for (i = 0; i < G_N_ELEMENTS (tables); i++)
    for (u = tables[i]; u->path != NULL; u++)
      g_test_add_func (u->path, u->run);
  return g_test_run ();
}
