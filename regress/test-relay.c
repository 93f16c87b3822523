/*
 * Unit tests of requests that are passed on, between an engine and a caller
 * that the test plays, so that each fault comes at its exact moment.
 */
#include <glib.h>
#include <string.h>

#include "librelay.h"
#include "units.h"

#define STALE_US (4 * CQ_US_PER_S)
#define DENY_US (2 * CQ_US_PER_S)

/* What a test plays and sees. */
struct play
{
  struct loop *loop;                /* for timers; not run unless said */
  struct fleet fleet;               /* beliefs */
  struct relays *relays;            /* under test */
  struct relay *relay;              /* the request */
  struct relay_desc desc;           /* as described */
  const struct relay_events *event; /* of the attempt */
  void *arg;                        /* for them */
  int sends;                        /* attempts so far */
  int cancels;                      /* attempts cancelled */
  char to[4][FLEET_NAME_SIZE];      /* where each went */
  int64_t resume_after;             /* of the last attempt */
  int64_t left_us;                  /* of the last attempt */
  char scope[64];                   /* cache scope of the last attempt */
  GString *got;                     /* bytes the caller got */
  int status;                       /* status it got, 0 for none */
  int refused;                      /* enum relay_refusal, -1 for none */
  int64_t retry_after_us;           /* with the refusal */
  int ended;                        /* 1 whole, 0 broken, -1 not ended */
  bool gone;                        /* the caller hung up */
  size_t untaken;                   /* bytes that the caller has not taken */
  int unpauses;                     /* attempts that were let go on */
  struct quar *quar;                /* evidence */
  bool evidence_known;              /* that of other VMs was read */
  int observed;                     /* times that this VM saw some */
  relay_probe_done probe;           /* question under way, or NULL */
  void *probe_arg;                  /* for it */
  int probes;                       /* questions so far */
};

static char *no_headers[] = { NULL };
static char *seal[] = { (char *)"Seal: x", NULL };

/* --- the played engine ----------------------------------------------- */

static void *
engine_send (void *ctx, const struct relay_send *s,
             const struct relay_events *events, void *arg)
{
  struct play *p = ctx;

  g_strlcpy (p->to[p->sends % 4], s->endpoint->is.id, FLEET_NAME_SIZE);
  p->sends++;
  p->event = events;
  p->arg = arg;
  p->resume_after = s->resume_after;
  p->left_us = s->left_us;
  g_strlcpy (p->scope, s->cache_scope ? s->cache_scope : "", sizeof p->scope);
  return p;
}

static void
engine_cancel (void *ctx, void *call)
{
  struct play *p = ctx;

  (void)call;
  p->cancels++;
}

static void
engine_unpause (void *ctx, void *call)
{
  struct play *p = ctx;

  (void)call;
  p->unpauses++;
}

static void
engine_probe (void *ctx, const struct fleet_endpoint *e, relay_probe_done done,
              void *arg)
{
  struct play *p = ctx;

  (void)e;
  p->probes++;
  p->probe = done;
  p->probe_arg = arg;
}

/* --- the played platform and other VMs ------------------------------- */

static int64_t
clock_ms (void *arg, int64_t now_us)
{
  (void)arg;
  return now_us / CQ_US_PER_MS;
}

static void
on_observed (void *arg, int64_t now_us)
{
  struct play *p = arg;

  (void)now_us;
  p->observed++;
}

static bool
is_evidence_known (void *arg, int64_t now_us)
{
  struct play *p = arg;

  (void)now_us;
  return p->evidence_known;
}

/* --- the played caller ----------------------------------------------- */

static void
on_answer (void *arg, int status, const char *const *lines, const char *body,
           size_t len)
{
  struct play *p = arg;

  (void)lines;
  p->status = status;
  p->ended = 1;
  g_string_append_len (p->got, body, (gssize)len);
}

static void
on_begin (void *arg, int status, const char *const *lines)
{
  struct play *p = arg;

  (void)lines;
  p->status = status;
}

static void
on_write (void *arg, const char *data, size_t len)
{
  struct play *p = arg;

  g_string_append_len (p->got, data, (gssize)len);
}

static void
on_end (void *arg, bool whole)
{
  struct play *p = arg;

  p->ended = whole;
}

static size_t
on_pending (void *arg)
{
  struct play *p = arg;

  return p->untaken;
}

static bool
on_gone (void *arg)
{
  struct play *p = arg;

  return p->gone;
}

static void
on_refuse (void *arg, enum relay_refusal why, int64_t retry_after_us)
{
  struct play *p = arg;

  p->refused = (int)why;
  p->retry_after_us = retry_after_us;
}

static const struct relay_caller caller = {
  .answer = on_answer,
  .begin = on_begin,
  .write = on_write,
  .end = on_end,
  .pending = on_pending,
  .gone = on_gone,
  .refuse = on_refuse,
};

/* --- setting up ------------------------------------------------------ */

static struct fleet_conf *
conf (int64_t version, enum fleet_kind kind, const char *key)
{
  struct fleet_conf *c = fleet_conf_new ();
  struct fleet_route *r = g_new0 (struct fleet_route, 1);
  struct fleet_workspace *w = g_new0 (struct fleet_workspace, 1);

  c->version = version;
  c->limits.body_bytes = 1000;
  r->name = g_strdup ("r");
  r->host = g_strdup ("h");
  r->prefix = g_strdup ("/");
  r->kind = kind;
  r->timeout_us = 20 * CQ_US_PER_S;
  r->max_attempts = 2;
  r->resumable = kind == FLEET_STREAM;
  r->nsplits = 1;
  r->splits = g_new0 (struct fleet_split, 1);
  r->splits[0].service = g_strdup ("s");
  g_ptr_array_add (c->routes, r);
  w->name = g_strdup ("ws");
  w->priority = -1;
  w->isolated = true;
  g_ptr_array_add (c->workspaces, w);
  g_hash_table_insert (c->keys, g_strdup (key), w);
  fleet_conf_seal (c);
  return c;
}

static struct fleet_route *
route_of (struct play *p)
{
  return p->fleet.conf->routes->pdata[0];
}

static void
add_endpoint (struct play *p, const char *id)
{
  struct fleet_listing l = { .version = 3 };

  g_strlcpy (l.id, id, sizeof l.id);
  g_strlcpy (l.service, "s", sizeof l.service);
  g_strlcpy (l.model, "m", sizeof l.model);
  fleet_take_listing (&p->fleet, &l, 1);
}

static struct play *
play_new (enum fleet_kind kind)
{
  struct play *p = g_new0 (struct play, 1);
  struct relays_opts o = { .domain = "d", .stale_us = STALE_US };

  o.deny_us = DENY_US;

  p->loop = loop_new ();
  fleet_init (&p->fleet);
  fleet_take_conf (&p->fleet, conf (1, kind, "key"), 1);
  p->fleet.listed = true;
  p->fleet.fresh_us = loop_now_us ();
  add_endpoint (p, "a");
  add_endpoint (p, "b");
  o.loop = p->loop;
  o.fleet = &p->fleet;
  o.engine.send = engine_send;
  o.engine.cancel = engine_cancel;
  o.engine.unpause = engine_unpause;
  o.engine.probe = engine_probe;
  o.engine.ctx = p;
  p->quar = quar_new (60000);
  p->evidence_known = true;
  o.quar = p->quar;
  o.clock_ms = clock_ms;
  o.observed = on_observed;
  o.evidence_known = is_evidence_known;
  o.quar_arg = p;
  o.retry_percent = 10;
  o.retry_burst = 4;
  o.stream_buffer = 4096;
  o.answer_max = 4096;
  o.seed = 1;
  p->relays = relays_new (&o);
  p->got = g_string_new (NULL);
  p->refused = -1;
  p->ended = -1;
  p->desc = (struct relay_desc){ .id = "id",
                                 .method = "GET",
                                 .target = "/x",
                                 .host = "h",
                                 .headers = no_headers,
                                 .key = "key",
                                 .resume_after = -1,
                                 .body = "",
                                 .caller = &caller };
  p->desc.arg = p;
  return p;
}

static void
play_start (struct play *p)
{
  p->relay = relay_start (p->relays, &p->desc, loop_now_us ());
}

static void
play_free (struct play *p)
{
  g_assert_cmpint (relays_count (p->relays), ==, 0);
  relays_free (p->relays);
  quar_free (p->quar);
  fleet_clear (&p->fleet);
  loop_free (p->loop);
  g_string_free (p->got, TRUE);
  g_free (p);
}

static void
stop_loop (void *arg, int64_t now_us)
{
  struct play *p = arg;

  (void)now_us;
  loop_stop (p->loop);
}

static void
run_for (struct play *p, int64_t us)
{
  struct loop_timer t = { .fire = stop_loop };

  t.arg = p;
  loop_arm (p->loop, &t, loop_now_us () + us);
  loop_run (p->loop);
}

/* The engine's answer, told as far as the test wants. */
static void
head (struct play *p, int status)
{
  struct relay_head h = { .status = status, .genuine = true, .running = -1 };

  h.lines = seal;
  g_assert_true (p->event->head (p->arg, &h));
}

static void
body (struct play *p, const char *text)
{
  p->event->body (p->arg, text, strlen (text));
}

static void
end (struct play *p, bool handed_over, bool whole)
{
  struct relay_end e = { .handed_over = handed_over, .whole = whole };

  e.error = "";
  p->event->end (p->arg, &e);
}

/* The attempt is let go, and a whole answer with this body comes. */
static void
answer_whole (struct play *p, const char *text)
{
  g_assert_true (p->event->before_send (p->arg));
  head (p, 200);
  body (p, text);
  end (p, true, true);
}

/* The attempt is let go, and a whole answer with this head and no body comes.
 */
static void
answer_head (struct play *p, const struct relay_head *h)
{
  g_assert_true (p->event->before_send (p->arg));
  g_assert_true (p->event->head (p->arg, h));
  end (p, true, true);
}

/* --- requests that crash endpoints ----------------------------------- */

/* Another VM saw four endpoints end under the request, half a second apart.
 */
static void
condemn (struct play *p, const char *workspace)
{
  struct quar_fact f = { .done = false };
  int64_t i;

  reqid_of (&p->desc, workspace, &f.id);
  for (i = 0; i < 4; i++)
    {
      f.crash.endpoint = (uint64_t)(100 + i);
      f.crash.at_ms = clock_ms (p, loop_now_us ()) - 2000 + 500 * i;
      f.crash.ran_ms = 10;
      quar_take (p->quar, &f, false);
    }
}

/*
 * A request under which four endpoints ended comes again under another id.
 * It goes to no endpoint, and its caller is not told "not run", nor to come
 * back: it ran, and would end the next one.
 */
static void
test_held (void)
{
  static const enum fleet_kind kinds[]
      = { FLEET_IDEMPOTENT, FLEET_ONCE, FLEET_STREAM };
  struct play *p;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      p = play_new (kinds[i]);
      condemn (p, "ws");
      p->desc.id = "another";
      play_start (p);
      g_assert_cmpint (p->sends, ==, 0);
      g_assert_cmpint (p->refused, ==, RELAY_UNKNOWN);
      g_assert_cmpint (p->retry_after_us, ==, 0);
      play_free (p);
    }
}

/* The same bytes of another workspace are another request: nobody can have
   other callers refused. */
static void
test_held_by_workspace (void)
{
  struct play *p = play_new (FLEET_ONCE);

  condemn (p, "other");
  play_start (p);
  g_assert_cmpint (p->sends, ==, 1);
  answer_whole (p, "a");
  g_assert_cmpint (p->status, ==, 200);
  play_free (p);
}

/* Other VMs' evidence comes after the request was placed and before its first
   byte left. */
static void
test_held_before_send (void)
{
  struct play *p = play_new (FLEET_ONCE);

  play_start (p);
  condemn (p, "ws");
  g_assert_false (p->event->before_send (p->arg));
  end (p, false, false);
  g_assert_cmpint (p->refused, ==, RELAY_UNKNOWN);
  g_assert_cmpint (p->sends, ==, 1);
  play_free (p);
}

/* A VM that starts has not read what the others saw: it says "not run". */
static void
test_evidence_unknown (void)
{
  struct play *p = play_new (FLEET_ONCE);

  p->evidence_known = false;
  play_start (p);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  p->evidence_known = true;
  play_start (p);
  answer_whole (p, "a");
  play_free (p);
}

/* A request's answer breaks off; the endpoint is asked once, and PROBE is what
   that shows.  Returns whether it became evidence. */
static bool
break_off (struct play *p, enum relay_probe probe)
{
  struct reqid id;

  reqid_of (&p->desc, "ws", &id);
  play_start (p);
  g_assert_true (p->event->before_send (p->arg));
  end (p, true, false);
  g_assert_cmpint (p->refused, ==, RELAY_UNKNOWN);
  if (p->probe != NULL)
    p->probe (p->probe_arg, probe);
  p->probe = NULL;
  return quar_suspects (p->quar, &id);
}

/*
 * A connection closes before its answer is whole.  Only if nothing listens at
 * the endpoint any more did it end: links are reset, endpoints break answers
 * off and live, and one that is cut off says nothing.
 */
static void
test_end_is_asked (void)
{
  static const enum relay_probe probes[]
      = { RELAY_PROBE_ALIVE, RELAY_PROBE_SILENT, RELAY_PROBE_CRASHED };
  struct play *p;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (probes); i++)
    {
      p = play_new (FLEET_ONCE);
      g_assert_true (break_off (p, probes[i])
                     == (probes[i] == RELAY_PROBE_CRASHED));
      g_assert_cmpint (p->probes, ==, 1);
      g_assert_cmpint (p->observed, ==, probes[i] == RELAY_PROBE_CRASHED);
      play_free (p);
    }
}

/* An endpoint that was leaving ends as it said, under whatever it has. */
static void
test_release_is_no_end (void)
{
  struct play *p = play_new (FLEET_ONCE);
  struct fleet_endpoint *e;

  play_start (p);
  g_assert_true (p->event->before_send (p->arg));
  APR_RING_FOREACH (e, &p->fleet.endpoints, fleet_endpoint, link)
  e->draining = true;
  end (p, true, false);
  g_assert_cmpint (p->probes, ==, 0);
  play_free (p);
}

/* An endpoint that breaks off one answer after the other is asked once a
   second. */
static void
test_asked_seldom (void)
{
  struct play *p = play_new (FLEET_ONCE);
  struct fleet_endpoint *b = g_hash_table_lookup (p->fleet.by_id, "b");
  int i;

  b->draining = true;
  for (i = 0; i < 5; i++)
    break_off (p, RELAY_PROBE_ALIVE);
  g_assert_cmpint (p->probes, ==, 1);
  play_free (p);
}

/* Where no endpoint ended, no request is digested. */
static void
test_calm_costs_nothing (void)
{
  struct play *p = play_new (FLEET_ONCE);

  play_start (p);
  g_assert_true (p->event->before_send (p->arg));
  g_assert_false (p->relay->identified);
  head (p, 200);
  body (p, "a");
  end (p, true, true);
  g_assert_cmpint (p->probes, ==, 0);
  play_free (p);
}

/* --- freshness ------------------------------------------------------- */

/*
 * The VM is suspended after it placed a request and before the first byte
 * left.  Meanwhile the key was taken away; the VM cannot know.  The last look
 * finds its knowledge too old: the caller is told "not run", which is true.
 */
static void
test_frozen_before_send (void)
{
  struct play *p = play_new (FLEET_IDEMPOTENT);

  play_start (p);
  g_assert_cmpint (p->sends, ==, 1);
  p->fleet.fresh_us -= STALE_US + 1;
  g_assert_false (p->event->before_send (p->arg));
  end (p, false, false);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  g_assert_cmpint (p->retry_after_us, >, 0);
  g_assert_cmpint (p->sends, ==, 1);
  play_free (p);
}

/* The configuration that takes the key away arrives in the same gap. */
static void
test_revoked_before_send (void)
{
  struct play *p = play_new (FLEET_IDEMPOTENT);

  play_start (p);
  fleet_take_conf (&p->fleet, conf (2, FLEET_IDEMPOTENT, "other"), 2);
  g_assert_false (p->event->before_send (p->arg));
  end (p, false, false);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  play_free (p);
}

/* A key that this VM does not know may have been added while it could not
   hear: it says "not run", not "no such key".  With fresh knowledge it is
   sure. */
static void
test_unknown_key (void)
{
  struct play *p = play_new (FLEET_IDEMPOTENT);

  p->desc.key = "new";
  play_start (p);
  g_assert_cmpint (p->refused, ==, RELAY_BAD_KEY);
  p->fleet.fresh_us -= STALE_US + 1;
  play_start (p);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  g_assert_cmpint (p->sends, ==, 0);
  play_free (p);
}

/*
 * The operator added a route, a key, and room for larger bodies two seconds
 * ago, and this VM has not heard of it: an answer is still on its way.  It
 * answers 503 where it would have answered 404, 401 or 413, and the caller
 * comes back; what it does know goes on.  Just before that its denials stand:
 * what it has not heard of by then does not count yet.
 */
static void
check_denial (struct play *p, int why)
{
  int64_t now = loop_now_us ();
  int sends = p->sends;

  p->fleet.fresh_us = now - DENY_US + 1;
  g_assert_null (relay_start (p->relays, &p->desc, now));
  g_assert_cmpint (p->refused, ==, why);
  g_assert_cmpint (p->retry_after_us, ==, 0);
  p->fleet.fresh_us = now - DENY_US;
  g_assert_null (relay_start (p->relays, &p->desc, now));
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  g_assert_cmpint (p->retry_after_us, >, 0);
  g_assert_cmpint (p->sends, ==, sends);
}

static void
test_behind_denies_nothing (void)
{
  struct play *p = play_new (FLEET_IDEMPOTENT);

  p->desc.host = "new";
  check_denial (p, RELAY_NO_ROUTE);
  p->desc.host = "h";
  p->desc.key = "new";
  check_denial (p, RELAY_BAD_KEY);
  p->desc.key = "key";
  p->desc.body_len = 1001;
  check_denial (p, RELAY_TOO_LARGE);
  p->desc.body_len = 0;
  p->refused = -1;
  play_start (p);
  g_assert_cmpint (p->refused, ==, -1);
  answer_whole (p, "served");
  g_assert_cmpint (p->status, ==, 200);
  play_free (p);
}

/* The same for a body that its door stopped reading, and for a VM that knows
   no settings yet: it denies nothing at all. */
static void
test_too_large_at_door (void)
{
  struct play *p = play_new (FLEET_IDEMPOTENT);
  int64_t now = loop_now_us ();

  relay_too_large (p->relays, &p->desc, now);
  g_assert_cmpint (p->refused, ==, RELAY_TOO_LARGE);
  p->fleet.fresh_us = 0;
  relay_too_large (p->relays, &p->desc, now);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  play_free (p);
}

/* --- at most once ---------------------------------------------------- */

/*
 * A truck is ordered; the connection breaks after the call was handed over.
 * It may be on its way, so it is not ordered again, and the caller hears that
 * nobody knows, not that it did not run.
 */
static void
test_once (void)
{
  struct play *p = play_new (FLEET_ONCE);

  play_start (p);
  g_assert_true (p->event->before_send (p->arg));
  end (p, true, false);
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->refused, ==, RELAY_UNKNOWN);
  play_free (p);
}

/* No connection came about: nothing ran, another endpoint may have it. */
static void
test_once_unreached (void)
{
  struct play *p = play_new (FLEET_ONCE);

  play_start (p);
  end (p, false, false);
  g_assert_cmpint (p->sends, ==, 2);
  g_assert_cmpstr (p->to[0], !=, p->to[1]);
  answer_whole (p, "ok");
  g_assert_cmpstr (p->got->str, ==, "ok");
  play_free (p);
}

/* Both endpoints say that they did not run it: so does the answer. */
static void
test_refused_by_all (void)
{
  struct play *p = play_new (FLEET_ONCE);
  struct relay_head h = { .status = 503, .not_run = true, .running = -1 };
  int i;

  h.lines = seal;
  play_start (p);
  for (i = 0; i < 2; i++)
    {
      g_assert_true (p->event->before_send (p->arg));
      g_assert_true (p->event->head (p->arg, &h));
      end (p, true, true);
    }
  g_assert_cmpint (p->sends, ==, 2);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  play_free (p);
}

/*
 * The endpoint restarted, or its address went to another service: another life
 * answers that it does not run the request.  Nothing was sent to an endpoint
 * of the service, so one that allows a single attempt may still have it.
 */
static void
test_other_life (void)
{
  struct play *p = play_new (FLEET_ONCE);
  struct relay_head h = { .status = 421, .not_run = true, .running = -1 };

  h.lines = seal;
  h.other_life = true;
  route_of (p)->max_attempts = 1;
  play_start (p);
  answer_head (p, &h);
  g_assert_cmpint (p->sends, ==, 2);
  answer_whole (p, "ok");
  g_assert_cmpstr (p->got->str, ==, "ok");
  play_free (p);
}

/*
 * Weights changed under a VM that had not heard: the endpoint refuses the
 * version that was expected.  It is alive and stays in use; taken for another
 * life, it would get nothing from this VM any more.
 */
static void
test_other_version (void)
{
  struct play *p = play_new (FLEET_ONCE);
  struct relay_head h = { .status = 421, .not_run = true, .running = -1 };
  struct fleet_endpoint *e;

  h.lines = seal;
  route_of (p)->max_attempts = 1;
  play_start (p);
  answer_head (p, &h);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  APR_RING_FOREACH (e, &p->fleet.endpoints, fleet_endpoint, link)
  g_assert_false (e->draining);
  play_free (p);
}

/* --- answers --------------------------------------------------------- */

/*
 * An answer to another request arrives late on a kept connection.  Showing it
 * would hand one caller's data to another; the request is tried again.
 */
static void
test_not_genuine (void)
{
  struct play *p = play_new (FLEET_IDEMPOTENT);
  struct relay_head h = { .status = 200, .running = -1 };

  h.lines = seal;
  play_start (p);
  g_assert_true (p->event->before_send (p->arg));
  g_assert_false (p->event->head (p->arg, &h));
  end (p, true, false);
  g_assert_cmpint (p->sends, ==, 2);
  g_assert_cmpint (p->status, ==, 0);
  answer_whole (p, "mine");
  g_assert_cmpstr (p->got->str, ==, "mine");
  play_free (p);
}

/*
 * A stream breaks in the middle of its third event.  The caller has two; the
 * run goes on elsewhere behind the second, repeats it, and the caller sees
 * one stream without a seam.
 */
static void
test_resume (void)
{
  struct play *p = play_new (FLEET_STREAM);

  play_start (p);
  g_assert_true (p->event->before_send (p->arg));
  head (p, 200);
  body (p, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
  end (p, true, false);
  g_assert_cmpint (p->sends, ==, 2);
  g_assert_cmpint (p->resume_after, ==, 2);
  g_assert_cmpstr (p->to[0], !=, p->to[1]);
  answer_whole (p, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  g_assert_cmpstr (p->got->str, ==,
                   "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
  g_assert_cmpint (p->ended, ==, 1);
  play_free (p);
}

/* A stream that may not resume breaks: it must not look finished. */
static void
test_no_resume (void)
{
  struct play *p = play_new (FLEET_STREAM);

  route_of (p)->resumable = false;
  play_start (p);
  g_assert_true (p->event->before_send (p->arg));
  head (p, 200);
  body (p, "id: 1\ndata: a\n\n");
  end (p, true, false);
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->ended, ==, 0);
  play_free (p);
}

/*
 * A caller reads slower than the engine writes.  Its bytes must not fill the
 * VM's memory: the engine is held back above the bound, and goes on once half
 * is taken, with the bytes that it had to keep.
 */
static void
test_slow_reader (void)
{
  struct play *p = play_new (FLEET_STREAM);
  static const char more[] = "id: 2\ndata: b\n\n";

  play_start (p);
  g_assert_true (p->event->before_send (p->arg));
  head (p, 200);
  body (p, "id: 1\ndata: a\n\n");
  p->untaken = 4097;
  g_assert_cmpint (p->event->body (p->arg, more, strlen (more)), ==,
                   RELAY_PAUSE);
  p->untaken = 3000;
  relay_drained (p->relay);
  run_for (p, 20 * CQ_US_PER_MS);
  g_assert_cmpint (p->unpauses, ==, 0);
  p->untaken = 2000;
  relay_drained (p->relay);
  run_for (p, 20 * CQ_US_PER_MS);
  g_assert_cmpint (p->unpauses, ==, 1);
  body (p, more);
  end (p, true, true);
  g_assert_cmpstr (p->got->str, ==, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  play_free (p);
}

/* Work is found again only under its weights and, for a workspace that shares
   nothing, its owner: both are in the scope's name. */
static void
test_scope (void)
{
  struct play *p = play_new (FLEET_STREAM);

  play_start (p);
  g_assert_cmpstr (p->scope, ==, "m.v3.ws");
  relay_caller_gone (p->relay);
  g_assert_cmpint (p->cancels, ==, 1);
  play_free (p);
}

/* --- repeats and time ------------------------------------------------ */

/* An outage must not be doubled by repeats: beyond the burst and the share
   of requests, a failed request is answered at once. */
static void
test_budget (void)
{
  struct play *p = play_new (FLEET_IDEMPOTENT);
  int i;

  for (i = 0; i < 20; i++)
    {
      play_start (p);
      while (p->refused < 0)
        {
          g_assert_true (p->event->before_send (p->arg));
          end (p, true, false);
        }
      p->refused = -1;
      pick_worked (APR_RING_FIRST (&p->fleet.endpoints));
      pick_worked (APR_RING_LAST (&p->fleet.endpoints));
    }
  /* Twenty requests, a burst of four, a tenth of what came. */
  g_assert_cmpint (p->sends, >=, 24);
  g_assert_cmpint (p->sends, <=, 26);
  play_free (p);
}

/* The endpoint never answers: at the route's own limit the caller hears so,
   and the run is cancelled. */
static void
test_timeout (void)
{
  struct play *p = play_new (FLEET_IDEMPOTENT);

  route_of (p)->timeout_us = 50 * CQ_US_PER_MS;
  play_start (p);
  g_assert_cmpint (p->left_us, <=, 50 * CQ_US_PER_MS);
  g_assert_true (p->event->before_send (p->arg));
  run_for (p, 400 * CQ_US_PER_MS);
  g_assert_cmpint (p->refused, ==, RELAY_TIMED_OUT);
  g_assert_cmpint (p->cancels, ==, 1);
  play_free (p);
}

/*
 * The VM was busy; the caller hung up before its request was sent on.  Sent
 * all the same, it would run for nobody; the caller hears nothing, since it
 * is not there.
 */
static void
test_gone_before_send (void)
{
  struct play *p = play_new (FLEET_IDEMPOTENT);

  play_start (p);
  p->gone = true;
  g_assert_false (p->event->before_send (p->arg));
  end (p, false, false);
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->refused, ==, -1);
  g_assert_cmpint (p->ended, ==, -1);
  play_free (p);
}

/*
 * Work may begin on old weights until twelve seconds after newer ones were
 * named; old_max_us, after which none is sent, is three seconds less.  A
 * request that waits at its endpoint when its VM stands still, or falls
 * silent, is not called back: only the time that the endpoint was told can
 * end its waiting before the bound.
 */
static void
test_old_weights_wait (void)
{
  struct play *p = play_new (FLEET_STREAM);
  int64_t now = loop_now_us ();

  p->fleet.old_max_us = 9 * CQ_US_PER_S;
  p->fleet.old_end_us = 12 * CQ_US_PER_S;
  fleet_take_wanted (&p->fleet, "m", 4, now - 8 * CQ_US_PER_S,
                     now - 8 * CQ_US_PER_S);
  play_start (p);
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->left_us, >, 0);
  g_assert_cmpint (p->left_us, <=, 4 * CQ_US_PER_S);
  relay_caller_gone (p->relay);
  play_free (p);
}

/* The caller hangs up while the endpoint works: the run is cancelled without
   waiting for the endpoint. */
static void
test_hang_up (void)
{
  struct play *p = play_new (FLEET_STREAM);

  play_start (p);
  g_assert_true (p->event->before_send (p->arg));
  p->gone = true;
  run_for (p, 500 * CQ_US_PER_MS);
  g_assert_cmpint (p->cancels, ==, 1);
  g_assert_cmpint (p->refused, ==, -1);
  play_free (p);
}

/* How many of a thousand requests are sent when each endpoint's wait was
   WAIT_US, SILENT_US ago; the others must hear that they were not run. */
static int
count_sent (struct play *p, int64_t wait_us, int64_t silent_us)
{
  struct fleet_endpoint *e;
  int64_t now = loop_now_us ();
  int sent = 0;
  int i;

  for (i = 0; i < 1000; i++)
    {
      APR_RING_FOREACH (e, &p->fleet.endpoints, fleet_endpoint, link)
      {
        e->first.smoothed_us = wait_us;
        e->first.seen_us = now - silent_us;
      }
      p->sends = 0;
      p->refused = -1;
      p->retry_after_us = 0;
      play_start (p);
      if (p->sends > 0)
        {
          sent++;
          relay_caller_gone (p->relay);
          continue;
        }
      g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
      g_assert_cmpint (p->retry_after_us, >, 0);
    }
  return sent;
}

/*
 * Both endpoints have fallen behind: answers began after 1.5 s lately, and a
 * caller should not wait for more than 0.25 s.  Five of six are told at once
 * that they were not run, and when to come back; the others can be served.
 * Refused all together, endpoints would stand idle until all return at once.
 * Without a word from an endpoint its wait shrinks, and soon all are sent.
 */
static void
test_too_late (void)
{
  struct play *p = play_new (FLEET_STREAM);
  int sent = count_sent (p, 1500 * CQ_US_PER_MS, 0);

  g_assert_cmpint (sent, >=, 120);
  g_assert_cmpint (sent, <=, 220);
  sent = count_sent (p, 1500 * CQ_US_PER_MS, 2 * CQ_US_PER_S);
  g_assert_cmpint (sent, >=, 600);
  g_assert_cmpint (sent, <=, 730);
  g_assert_cmpint (count_sent (p, 1500 * CQ_US_PER_MS, 10 * CQ_US_PER_S), ==,
                   1000);
  g_assert_cmpint (count_sent (p, 200 * CQ_US_PER_MS, 0), ==, 1000);
  play_free (p);
}

/* A request whose first piece comes from an endpoint where eight wait beside
   the two that run; false if it was refused at once. */
static bool
answered_beside_queue (struct play *p)
{
  struct relay_head h = { .status = 200, .genuine = true, .running = 2 };

  h.waiting = 8;
  h.lines = seal;
  p->sends = 0;
  p->refused = -1;
  p->desc.deadline_us = loop_now_us () + 6 * CQ_US_PER_S;
  play_start (p);
  if (p->sends == 0)
    return false;
  g_assert_true (p->event->before_send (p->arg));
  g_assert_true (p->event->head (p->arg, &h));
  body (p, "id: 0\ndata: x\n\n");
  end (p, true, true);
  return true;
}

/*
 * Endpoints answer fast, but four times as many requests wait there as run.
 * After some seconds of that callers hear at once that they were not run, and
 * to come back when a third of their time is over; a few are still let in.
 * Without it queues fill until answers are late, and the wait shows it then.
 */
static void
test_queue_told (void)
{
  struct play *p = play_new (FLEET_STREAM);
  int i, sent = 0;

  for (i = 0; i < 200; i++)
    {
      run_for (p, 10 * CQ_US_PER_MS);
      sent += answered_beside_queue (p);
    }
  g_assert_cmpint (sent, <=, 150);
  while (answered_beside_queue (p))
    sent++;
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  g_assert_cmpint (p->retry_after_us, <=, 2 * CQ_US_PER_S);
  g_assert_cmpint (p->retry_after_us, >=, 1500 * CQ_US_PER_MS);
  g_assert_cmpint (sent, >=, 10);
  play_free (p);
}

/*
 * One caller says that it waits for an hour, and others as long as the route
 * allows.  They would all seem to have been refused before, and go behind; so
 * a longer time than the route's counts as that.
 */
static void
test_endless_caller (void)
{
  struct play *p = play_new (FLEET_STREAM);
  int64_t hour = INT64_C (3600) * CQ_US_PER_S;

  p->desc.deadline_us = loop_now_us () + hour;
  play_start (p);
  relay_caller_gone (p->relay);
  p->desc.deadline_us = loop_now_us () + route_of (p)->timeout_us;
  play_start (p);
  g_assert_cmpint (p->relay->rank, <, ADMIT_RANKS / 2);
  relay_caller_gone (p->relay);
  play_free (p);
}

/* Nothing is known yet, as after a start without the platform: "not run". */
static void
test_nothing_known (void)
{
  struct play *p = play_new (FLEET_IDEMPOTENT);

  p->fleet.listed = false;
  play_start (p);
  g_assert_cmpint (p->refused, ==, RELAY_NOT_RUN);
  play_free (p);
}

/* --- old weights ----------------------------------------------------- */

/* Weights of A become outdated now, B has newer ones; old ones take work for
   100 ms more, and nothing may begin on them after 300 ms. */
static void
outdate (struct play *p)
{
  struct fleet_endpoint *a = g_hash_table_lookup (p->fleet.by_id, "a");
  struct fleet_endpoint *b = g_hash_table_lookup (p->fleet.by_id, "b");
  int64_t now = loop_now_us ();

  /* Callers wait long enough for a second try not to be too late. */
  route_of (p)->target_us = 10 * CQ_US_PER_S;
  p->fleet.old_max_us = 100000;
  p->fleet.old_end_us = 300000;
  b->draining = true;
  fleet_take_wanted (&p->fleet, "m", 4, now, now);
  play_start (p);
  g_assert_cmpstr (p->to[0], ==, a->is.id);
  b->draining = false;
  fleet_take_version (b, 4, FLEET_NEVER, loop_now_us ());
}

/*
 * A stream goes to an endpoint with old weights while these still take work,
 * and waits there behind others.  Left alone, it would begin after the bound
 * for old weights.  It is withdrawn, and goes to newer ones.
 */
static void
test_withdrawn_from_old_weights (void)
{
  struct play *p = play_new (FLEET_STREAM);

  outdate (p);
  g_assert_true (p->event->before_send (p->arg));
  run_for (p, 150000);
  g_assert_cmpint (p->cancels, ==, 0);
  run_for (p, 250000);
  g_assert_cmpint (p->cancels, ==, 1);
  g_assert_cmpint (p->sends, ==, 2);
  g_assert_cmpstr (p->to[1], ==, "b");
  answer_whole (p, "id: 0\ndata: x\n\n");
  g_assert_cmpint (p->ended, ==, 1);
  play_free (p);
}

/* The same, and the stream may not run twice: it may have begun, so the caller
   is told at once that nothing is known, and nothing else is sent. */
static void
test_withdrawn_once (void)
{
  struct play *p = play_new (FLEET_STREAM);

  route_of (p)->resumable = false;
  outdate (p);
  g_assert_true (p->event->before_send (p->arg));
  run_for (p, 400000);
  g_assert_cmpint (p->cancels, ==, 1);
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->refused, ==, RELAY_UNKNOWN);
  play_free (p);
}

/*
 * The VM is suspended after it sent the stream, and can take nothing back. The
 * endpoint was told how long it may work on it: until the bound, not as long
 * as the caller waits.  With newest weights it has the caller's time.
 */
static void
test_time_on_old_weights (void)
{
  struct play *p = play_new (FLEET_STREAM);

  outdate (p);
  g_assert_cmpint (p->left_us, <=, 300000);
  g_assert_cmpint (p->left_us, >, 200000);
  g_assert_true (p->event->before_send (p->arg));
  run_for (p, 400000);
  g_assert_cmpstr (p->to[1], ==, "b");
  g_assert_cmpint (p->left_us, >, 15 * CQ_US_PER_S);
  answer_whole (p, "id: 0\ndata: x\n\n");
  play_free (p);
}

/* A stream that has begun is whole, whatever its weights. */
static void
test_begun_on_old_weights (void)
{
  struct play *p = play_new (FLEET_STREAM);

  outdate (p);
  g_assert_true (p->event->before_send (p->arg));
  head (p, 200);
  body (p, "id: 0\ndata: x\n\n");
  run_for (p, 400000);
  g_assert_cmpint (p->cancels, ==, 0);
  end (p, true, true);
  g_assert_cmpint (p->ended, ==, 1);
  play_free (p);
}

/*
 * A plain call to an endpoint with old weights, which take work.  It runs
 * there since it was sent, and nothing is heard of it until its answer is
 * whole. Taken for one that waits, it is broken off at the bound: the caller
 * of a call that may run once gets no answer, though the endpoint is about to
 * give it.
 */
static void
test_running_on_old_weights (void)
{
  struct play *p = play_new (FLEET_ONCE);

  outdate (p);
  g_assert_true (p->event->before_send (p->arg));
  run_for (p, 400000);
  g_assert_cmpint (p->cancels, ==, 0);
  head (p, 200);
  body (p, "done");
  end (p, true, true);
  g_assert_cmpint (p->status, ==, 200);
  play_free (p);
}

/* The connection stands only when old weights take no more work: nothing
   leaves, and newer ones are tried. */
static void
test_connected_too_late (void)
{
  struct play *p = play_new (FLEET_STREAM);

  outdate (p);
  run_for (p, 150000);
  g_assert_false (p->event->before_send (p->arg));
  end (p, false, false);
  g_assert_cmpint (p->sends, ==, 2);
  g_assert_cmpstr (p->to[1], ==, "b");
  answer_whole (p, "id: 0\ndata: x\n\n");
  play_free (p);
}

/* --- endpoints that start again -------------------------------------- */

static struct fleet_endpoint *
start_again (struct play *p, const char *id, int64_t born_ms)
{
  struct fleet_endpoint *e = g_hash_table_lookup (p->fleet.by_id, id);
  struct fleet_listing l = e->is;

  l.born_ms = born_ms;
  return fleet_take_listing (&p->fleet, &l, loop_now_us ());
}

/*
 * Its endpoint starts again while the request connects: nothing left, so it is
 * sent to the next life as if it were the first time.
 */
static void
test_restart_before_send (void)
{
  struct play *p = play_new (FLEET_ONCE);

  play_start (p);
  start_again (p, p->to[0], 1000);
  g_assert_false (p->event->before_send (p->arg));
  end (p, false, false);
  g_assert_cmpint (p->sends, ==, 2);
  answer_whole (p, "done");
  g_assert_cmpint (p->status, ==, 200);
  play_free (p);
}

/*
 * Its endpoint starts again after a call that may run once has left, and the
 * connection breaks.  The life that had it may have run it; that the next one
 * knows nothing of it proves nothing.  The caller hears that it is unknown,
 * and the next life does not pay for the failure.
 */
static void
test_restart_after_send (void)
{
  struct play *p = play_new (FLEET_ONCE);
  struct fleet_endpoint *e;

  play_start (p);
  g_assert_true (p->event->before_send (p->arg));
  e = start_again (p, p->to[0], 1000);
  end (p, true, false);
  g_assert_cmpint (p->sends, ==, 1);
  g_assert_cmpint (p->refused, ==, RELAY_UNKNOWN);
  g_assert_cmpint (e->running, ==, 0);
  g_assert_cmpint (e->failures, ==, 0);
  play_free (p);
}

/* An answer of the life before, whole though it came late, is the caller's;
   what its head says of load and weights is not the next life's. */
static void
test_answer_of_life_before (void)
{
  struct play *p = play_new (FLEET_IDEMPOTENT);
  struct relay_head h = { .status = 200, .genuine = true, .running = 40 };
  struct fleet_endpoint *e;

  h.lines = seal;
  h.version = 9;
  play_start (p);
  g_assert_true (p->event->before_send (p->arg));
  e = start_again (p, p->to[0], 1000);
  g_assert_true (p->event->head (p->arg, &h));
  body (p, "done");
  end (p, true, true);
  g_assert_cmpint (p->status, ==, 200);
  g_assert_cmpint (e->version, ==, 3);
  g_assert_cmpint (pick_load (e, loop_now_us ()), ==, 0);
  play_free (p);
}

/*
 * The endpoint has other weights than it is believed to have, and does not say
 * which.  The caller's request goes elsewhere, and the endpoint is to be
 * asked.
 */
static void
test_unknown_weights (void)
{
  struct play *p = play_new (FLEET_ONCE);
  struct relay_head h = { .status = 421, .not_run = true, .running = -1 };
  struct fleet_endpoint *e;

  h.other_weights = true;
  h.lines = seal;
  play_start (p);
  e = g_hash_table_lookup (p->fleet.by_id, p->to[0]);
  answer_head (p, &h);
  g_assert_true (e->version_doubted);
  g_assert_cmpint (p->sends, ==, 2);
  answer_whole (p, "done");
  play_free (p);
}

const struct unit relay_units[] = {
  { "/relay/held", test_held },
  { "/relay/held-by-workspace", test_held_by_workspace },
  { "/relay/held-before-send", test_held_before_send },
  { "/relay/evidence-unknown", test_evidence_unknown },
  { "/relay/end-is-asked", test_end_is_asked },
  { "/relay/release-is-no-end", test_release_is_no_end },
  { "/relay/asked-seldom", test_asked_seldom },
  { "/relay/calm-costs-nothing", test_calm_costs_nothing },
  { "/relay/frozen-before-send", test_frozen_before_send },
  { "/relay/revoked-before-send", test_revoked_before_send },
  { "/relay/unknown-key", test_unknown_key },
  { "/relay/behind-denies-nothing", test_behind_denies_nothing },
  { "/relay/too-large-at-door", test_too_large_at_door },
  { "/relay/once", test_once },
  { "/relay/restart-before-send", test_restart_before_send },
  { "/relay/restart-after-send", test_restart_after_send },
  { "/relay/answer-of-life-before", test_answer_of_life_before },
  { "/relay/unknown-weights", test_unknown_weights },
  { "/relay/once-unreached", test_once_unreached },
  { "/relay/refused-by-all", test_refused_by_all },
  { "/relay/other-life", test_other_life },
  { "/relay/other-version", test_other_version },
  { "/relay/not-genuine", test_not_genuine },
  { "/relay/resume", test_resume },
  { "/relay/no-resume", test_no_resume },
  { "/relay/slow-reader", test_slow_reader },
  { "/relay/scope", test_scope },
  { "/relay/budget", test_budget },
  { "/relay/timeout", test_timeout },
  { "/relay/gone-before-send", test_gone_before_send },
  { "/relay/old-weights-wait", test_old_weights_wait },
  { "/relay/hang-up", test_hang_up },
  { "/relay/too-late", test_too_late },
  { "/relay/queue-told", test_queue_told },
  { "/relay/endless-caller", test_endless_caller },
  { "/relay/nothing-known", test_nothing_known },
  { "/relay/withdrawn-from-old-weights", test_withdrawn_from_old_weights },
  { "/relay/withdrawn-once", test_withdrawn_once },
  { "/relay/time-on-old-weights", test_time_on_old_weights },
  { "/relay/begun-on-old-weights", test_begun_on_old_weights },
  { "/relay/running-on-old-weights", test_running_on_old_weights },
  { "/relay/connected-too-late", test_connected_too_late },
  { NULL, NULL },
};
