/* Test harness for the relay. */
#include "relayharness.h"

#include <glib.h>
#include <string.h>

static char *no_headers[] = { NULL };
char *harness_seal[] = { (char *)"Seal: x", NULL };

/* --- simulated engine ------------------------------------------------ */

static void *
engine_send (void *ctx, const struct relay_attempt *s,
             const struct relay_events *events, void *arg)
{
  struct harness *p = ctx;

  g_strlcpy (p->to[p->sends % 4], s->endpoint->listing.id, FLEET_NAME_SIZE);
  p->sends++;
  p->event = events;
  p->arg = arg;
  p->resume_after = s->resume_after;
  p->left_us = s->timeout_us;
  p->connect_timeout_us = s->connect_timeout_us;
  g_strlcpy (p->scope, s->cache_scope ? s->cache_scope : "", sizeof p->scope);
  return p;
}

static void *
engine_forward (void *ctx, const struct relay_forward *f,
                const struct relay_events *events, void *arg)
{
  struct harness *p = ctx;

  g_assert_cmpstr (f->seal, ==, "seal");
  g_strlcpy (p->vm[p->forwards % 4], f->address, FLEET_NAME_SIZE);
  p->forwards++;
  p->event = events;
  p->arg = arg;
  p->left_us = f->timeout_us;
  return p;
}

static void
engine_cancel (void *ctx, void *call)
{
  struct harness *p = ctx;

  (void)call;
  p->cancels++;
}

static void
engine_unpause (void *ctx, void *call)
{
  struct harness *p = ctx;

  (void)call;
  p->unpauses++;
}

static void
engine_probe (void *ctx, const struct fleet_endpoint *e, relay_probe_done done,
              void *arg)
{
  struct harness *p = ctx;

  g_strlcpy (p->probed, e->listing.id, sizeof p->probed);
  p->probes++;
  p->probe = done;
  p->probe_arg = arg;
}

/* --- simulated platform and other VMs -------------------------------- */

static int64_t
clock_ms (void *arg, int64_t now_us)
{
  (void)arg;
  return now_us / CQ_US_PER_MS;
}

static void
on_observed (void *arg, int64_t now_us)
{
  struct harness *p = arg;

  (void)now_us;
  p->observed++;
}

static bool
is_evidence_known (void *arg, int64_t now_us)
{
  struct harness *p = arg;

  (void)now_us;
  return p->evidence_known;
}

static bool
list_vms (void *arg, bool near, GArray *vms)
{
  struct harness *p = arg;
  struct mirror_peer vm = { .link_mbit_s = 0 };
  int i;

  for (i = 0; i < (near ? p->near_vms : p->vms); i++)
    {
      g_snprintf (vm.vm, sizeof vm.vm, "v%d", i);
      g_snprintf (vm.address, sizeof vm.address, "a%d", i);
      g_array_append_val (vms, vm);
    }
  return true;
}

static int
brittle_rank (void *arg, uint64_t endpoint, int *vms)
{
  const struct harness *p = arg;

  (void)endpoint;
  *vms = 9;
  return p->rank;
}

static bool
choose_owner (void *arg, uint64_t endpoint, int owners, bool near,
              uint64_t random, struct mirror_peer *vm)
{
  (void)arg;
  (void)endpoint;
  (void)near;
  g_snprintf (vm->vm, sizeof vm->vm, "v%d", (int)(random % (unsigned)owners));
  g_snprintf (vm->address, sizeof vm->address, "a-%s", vm->vm);
  return true;
}

static char *
seal_forward (void *arg, const struct relay_desc *desc, int64_t now_us)
{
  (void)arg;
  (void)desc;
  (void)now_us;
  return g_strdup ("seal");
}

static const uint8_t *
seal_key (void *arg)
{
  static const uint8_t key[32];

  (void)arg;
  return key;
}

static int
send_origin (void *arg, uint64_t stream, int places,
             const GByteArray *datagram)
{
  struct harness *p = arg;

  (void)stream;
  (void)places;
  (void)datagram;
  p->origin_messages += p->told;
  return p->told;
}

/* --- the platform ----------------------------------------------------- */

/* Replies with the change, if it is in SOURCE. */
static void
reply_changes (struct harness *p, enum follow_source source, bool full,
               follow_done done, void *arg)
{
  struct follow_reply n = { .status = FOLLOW_OK, .era = p->platform_era };

  if (p->is_platform_silent)
    n.status = FOLLOW_NO_REPLY;
  else if (p->has_no_history && source == FOLLOW_ENDPOINTS && !full)
    n.status = FOLLOW_HISTORY_LOST;
  n.items = g_array_new (FALSE, TRUE, sizeof (struct follow_item));
  p->checks += source == FOLLOW_ENDPOINTS;
  if (p->change != NULL
      && (p->change->kind == FOLLOW_ITEM_CONF) == (source == FOLLOW_OPERATOR))
    g_array_append_val (n.items, *p->change);
  done (arg, &n);
  g_array_free (n.items, TRUE);
}

static void
read_all (void *ctx, enum follow_source source,
          const struct follow_limits *limits, follow_done done, void *arg)
{
  (void)limits;
  reply_changes (ctx, source, true, done, arg);
}

static void
changes (void *ctx, enum follow_source source, int64_t version,
         int64_t wait_us, const struct follow_limits *limits, follow_done done,
         void *arg)
{
  (void)version;
  (void)wait_us;
  (void)limits;
  reply_changes (ctx, source, false, done, arg);
}

static int64_t
known_version (void *arg, enum follow_source source)
{
  (void)arg;
  (void)source;
  return 1;
}

static int64_t
known_era (void *arg)
{
  (void)arg;
  return 0;
}

static void
read_builds (void *arg, buildcheck_read done, void *done_arg)
{
  const struct harness *p = arg;

  done (done_arg, !p->is_platform_silent, loop_now_us ());
}

static int
count_vms (void *arg)
{
  (void)arg;
  return 1;
}

static struct buildcheck *
new_build_check (struct harness *p)
{
  struct buildcheck_opts o = { .loop = p->loop, .fleet = &p->fleet, .arg = p };

  o.platform.read = read_all;
  o.platform.changes = changes;
  o.platform.ctx = p;
  o.version = known_version;
  o.era = known_era;
  o.read_builds = read_builds;
  o.count_vms = count_vms;
  return buildcheck_new (&o);
}

static struct originfeed *
new_origins (struct harness *p)
{
  struct originfeed_opts o = { .loop = p->loop, .vm = "vm", .arg = p };

  o.seal_key = seal_key;
  o.clock_ms = clock_ms;
  o.send = send_origin;
  return originfeed_new (&o);
}

/* --- simulated caller ------------------------------------------------ */

static void
on_answer (void *arg, int status, const char *const *lines, const char *body,
           size_t len)
{
  struct harness *p = arg;

  (void)lines;
  p->status = status;
  p->ended = 1;
  g_string_append_len (p->got, body, (gssize)len);
}

static void
on_begin (void *arg, int status, const char *const *lines)
{
  struct harness *p = arg;

  (void)lines;
  p->status = status;
}

static void
on_write (void *arg, const char *data, size_t len)
{
  struct harness *p = arg;

  g_string_append_len (p->got, data, (gssize)len);
}

static void
on_end (void *arg, bool whole)
{
  struct harness *p = arg;

  p->ended = whole;
}

static size_t
on_pending (void *arg)
{
  struct harness *p = arg;

  return p->untaken;
}

static bool
on_gone (void *arg)
{
  struct harness *p = arg;

  return p->gone;
}

static void
on_refuse (void *arg, enum relay_refusal why, int64_t retry_after_us)
{
  struct harness *p = arg;

  p->refused = (int)why;
  p->retry_after_us = retry_after_us;
}

static const struct relay_caller caller = {
  .answer = on_answer,
  .begin = on_begin,
  .write = on_write,
  .end = on_end,
  .pending = on_pending,
  .is_disconnected = on_gone,
  .refuse = on_refuse,
};

/* --- setup ----------------------------------------------------------- */

struct fleet_conf *
harness_conf (int64_t version, enum fleet_kind kind, const char *key)
{
  struct fleet_conf *c = fleet_conf_new ();
  struct fleet_route *r = g_new0 (struct fleet_route, 1);
  struct fleet_workspace *w;

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
  if (key != NULL)
    {
      c->requires_keys = true;
      w = g_new0 (struct fleet_workspace, 1);
      w->name = g_strdup ("ws");
      w->priority = -1;
      w->isolated = true;
      g_ptr_array_add (c->workspaces, w);
      g_hash_table_insert (c->keys, g_strdup (key), w);
    }
  fleet_conf_build_index (c);
  return c;
}

struct fleet_route *
harness_route (struct harness *p)
{
  return p->fleet.conf->routes->pdata[0];
}

void
harness_add_build (struct harness *p, const char *id, const char *build)
{
  struct fleet_listing l = { .version = 3 };

  g_strlcpy (l.id, id, sizeof l.id);
  g_strlcpy (l.service, "s", sizeof l.service);
  g_strlcpy (l.model, "m", sizeof l.model);
  g_strlcpy (l.build, build, sizeof l.build);
  fleet_apply_listing (&p->fleet, &l, 1);
}

void
harness_add_endpoint (struct harness *p, const char *id)
{
  harness_add_build (p, id, "v1");
}

struct harness *
harness_new (enum fleet_kind kind)
{
  struct harness *p = g_new0 (struct harness, 1);
  struct relays_opts o
      = { .domain = "d", .key_max_age_us = HARNESS_KEY_MAX_AGE_US };

  o.denial_max_age_us = HARNESS_DENIAL_MAX_AGE_US;

  p->loop = loop_new ();
  fleet_init (&p->fleet);
  fleet_apply_conf (&p->fleet, harness_conf (1, kind, "key"), 1);
  p->fleet.listed = true;
  p->fleet.conf_current_us = loop_now_us ();
  harness_add_endpoint (p, "a");
  harness_add_endpoint (p, "b");
  o.loop = p->loop;
  o.fleet = &p->fleet;
  o.engine.send = engine_send;
  o.engine.cancel = engine_cancel;
  o.engine.unpause = engine_unpause;
  o.engine.probe = engine_probe;
  o.engine.forward = engine_forward;
  o.list_vms = list_vms;
  o.choose_owner = choose_owner;
  p->fleet.brittle_rank = brittle_rank;
  p->fleet.share_arg = p;
  p->fleet.can_forward = true;
  o.seal_forward = seal_forward;
  o.forward_arg = p;
  o.engine.ctx = p;
  p->quar = quar_new (60000);
  p->evidence_known = true;
  o.quar = p->quar;
  o.clock_ms = clock_ms;
  o.on_evidence = on_observed;
  o.is_evidence_known = is_evidence_known;
  o.quar_arg = p;
  p->origins = new_origins (p);
  o.origins = p->origins;
  p->builds = new_build_check (p);
  o.builds = p->builds;
  o.retry_percent = 10;
  o.retry_burst = 4;
  o.stream_buffer = 4096;
  o.answer_max = 4096;
  o.answers_max = 8192;
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

void
harness_start (struct harness *p)
{
  p->relay = relay_start (p->relays, &p->desc, loop_now_us ());
}

void
harness_fail_to_connect (struct harness *p)
{
  int forwards = p->forwards, sends;

  do
    {
      sends = p->sends;
      harness_end (p, false, false);
    }
  while (p->sends > sends && p->forwards == forwards);
}

void
harness_free (struct harness *p)
{
  g_assert_cmpint (relays_count (p->relays), ==, 0);
  relays_free (p->relays);
  buildcheck_free (p->builds);
  originfeed_free (p->origins);
  quar_free (p->quar);
  fleet_clear (&p->fleet);
  loop_free (p->loop);
  g_string_free (p->got, TRUE);
  g_free (p);
}

static void
stop_loop (void *arg, int64_t now_us)
{
  struct harness *p = arg;

  (void)now_us;
  loop_stop (p->loop);
}

void
harness_run (struct harness *p, int64_t us)
{
  struct loop_timer t = { .fire = stop_loop };

  t.arg = p;
  loop_arm (p->loop, &t, loop_now_us () + us);
  loop_run (p->loop);
}

void
harness_head (struct harness *p, int status)
{
  struct relay_head h = { .status = status, .genuine = true, .running = -1 };

  h.lines = harness_seal;
  g_assert_true (p->event->head (p->arg, &h));
}

void
harness_body (struct harness *p, const char *text)
{
  p->event->body (p->arg, text, strlen (text));
}

void
harness_end (struct harness *p, bool handed_over, bool whole)
{
  struct relay_end e = { .handed_over = handed_over, .whole = whole };

  e.delimited = whole;
  e.error = "";
  p->event->end (p->arg, &e);
}

void
harness_answer (struct harness *p, const char *text)
{
  g_assert_true (p->event->before_send (p->arg));
  harness_head (p, 200);
  harness_body (p, text);
  harness_end (p, true, true);
}

void
harness_answer_head (struct harness *p, const struct relay_head *h)
{
  g_assert_true (p->event->before_send (p->arg));
  g_assert_true (p->event->head (p->arg, h));
  harness_end (p, true, true);
}

struct fleet_endpoint *
harness_endpoint (struct harness *p, const char *id)
{
  return g_hash_table_lookup (p->fleet.by_id, id);
}

void
harness_expect_next_endpoint (struct harness *p)
{
  g_assert_false (p->event->before_send (p->arg));
  harness_end (p, false, false);
  g_assert_cmpint (p->sends, ==, 2);
  g_assert_cmpstr (p->to[0], !=, p->to[1]);
  harness_answer (p, "ok");
  g_assert_cmpstr (p->got->str, ==, "ok");
}

void
harness_pause (struct harness *p)
{
  harness_start (p);
  g_assert_true (p->event->before_send (p->arg));
  harness_head (p, 200);
  harness_body (p, "id: 1\ndata: a\n\n");
  p->untaken = 4097;
  g_assert_cmpint (p->event->body (p->arg, HARNESS_PAUSED_EVENT,
                                   strlen (HARNESS_PAUSED_EVENT)),
                   ==, RELAY_PAUSE);
}

void
harness_list_endpoints (struct fleet *f, int n, int slots)
{
  struct fleet_listing l = { .version = 1, .slots = slots };
  int i;

  for (i = 0; i < n; i++)
    {
      g_snprintf (l.id, sizeof l.id, "e%d", i);
      g_strlcpy (l.service, "model", sizeof l.service);
      g_strlcpy (l.model, "m", sizeof l.model);
      g_snprintf (l.domain, sizeof l.domain, "d%d", i % 3);
      fleet_apply_listing (f, &l, CQ_US_PER_S);
    }
}
