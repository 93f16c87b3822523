/*
 * Other VMs: questions to a few neighbours, and what the answers say.
 *
 * A VM watches three neighbours of its domain and one VM of each other domain,
 * so the cost does not grow with the number of VMs; news travels in what they
 * tell each other.
 */
#include "libserver.h"

#include <string.h>

#include "fetch.h"
#include "fresh.h"
#include "memb.h"
#include "peers.h"

#define NEIGHBOURS_MAX 16
#define FAR_EVERY 8   /* ticks between questions to other domains */
#define DEAD_EVERY 8  /* ticks between questions to one of the dead */
#define LIST_EVERY 10 /* ticks between looks at the platform's list */
#define LIST_MAX_BYTES (1UL * 1024 * 1024)

struct member
{
  struct server *server;    /* whose */
  struct loop *loop;        /* of the first worker */
  struct peers *peers;      /* messages */
  GMutex lock;              /* guards table; taken last, held briefly */
  struct memb_table *table; /* who is there */
  struct loop_timer timer;  /* next questions */
  unsigned turn;            /* ticks so far */
  int waiting;              /* questions under way; atomic */
  char *name;               /* of this VM */
  bool leaving;             /* this VM stops */
  bool listing;             /* the platform's list was asked for */
  bool listed;              /* and arrived once */
};

/* A question under way. */
struct asked
{
  struct member *member;     /* whose */
  char name[MEMB_NAME_SIZE]; /* whom */
  int64_t asked_us;          /* when, or before */
};

/* --- words and messages --- */

static void
to_wire (const struct memb_update *w, peer_member *p)
{
  p->name = (char *)w->name;
  p->domain = (char *)w->domain;
  p->address = (char *)w->address;
  p->incarnation = w->incarnation;
  p->beat = w->seq;
  p->state = w->state;
  p->revision = w->revision;
}

static void
from_wire (const peer_member *p, struct memb_update *w)
{
  g_strlcpy (w->name, p->name, sizeof w->name);
  g_strlcpy (w->domain, p->domain, sizeof w->domain);
  g_strlcpy (w->address, p->address, sizeof w->address);
  w->incarnation = p->incarnation;
  w->seq = p->beat;
  w->state = p->state <= MEMB_DEAD ? (enum memb_state)p->state : MEMB_DEAD;
  w->revision = p->revision;
}

static bool
read_fresh (struct member *m, peer_fresh *fresh)
{
  struct conf *c = m->server->conf;
  uint64_t revision;
  int64_t age = c != NULL ? conf_age_ms (c, &revision, loop_now_us ()) : -1;

  if (age < 0)
    return false;
  fresh->revision = revision;
  fresh->age_ms = (u_quad_t)age;
  return true;
}

/* The own word, what is new, and what is said of the VM that is asked: so it
   learns that it was given up, and can refute it.  An answer has more: how old
   the last confirmation of the settings here is.  A question has not, since
   nothing shows its receiver how long it was on its way. */
static GByteArray *
make_ping (struct member *m, const char *receiver, bool answer)
{
  struct memb_update words[PEER_RUMORS_MAX];
  peer_member wire[PEER_RUMORS_MAX];
  peer_pong pong = { 0 };
  peer_fresh fresh;
  const struct memb *about;
  GByteArray *out;
  int n, i;

  if (answer && read_fresh (m, &fresh))
    pong.fresh = &fresh;
  g_mutex_lock (&m->lock);
  to_wire (memb_self (m->table), &pong.ping.self);
  n = memb_rumors (m->table, words, PEER_RUMORS_MAX - 1);
  about = memb_find (m->table, receiver);
  if (about != NULL && about->latest.state != MEMB_ALIVE)
    words[n++] = about->latest;
  for (i = 0; i < n; i++)
    to_wire (&words[i], &wire[i]);
  pong.ping.rumors.rumors_len = (u_int)n;
  pong.ping.rumors.rumors_val = wire;
  out = answer ? peers_encode ((xdrproc_t)xdr_peer_pong, &pong)
               : peers_encode ((xdrproc_t)xdr_peer_ping, &pong.ping);
  g_mutex_unlock (&m->lock);
  return out;
}

static void
apply_update (struct member *m, const peer_member *p)
{
  struct memb_update w = { .incarnation = 0 };
  int64_t now = loop_now_us ();
  bool news;

  from_wire (p, &w);
  g_mutex_lock (&m->lock);
  news = memb_apply_update (m->table, &w, now);
  g_mutex_unlock (&m->lock);
  if (news)
    log_event (LOG_LEVEL_INFO, "member",
               "name=%s in=%s state=%s incarnation=%" G_GUINT64_FORMAT
               " revision=%" G_GUINT64_FORMAT,
               w.name, w.domain, memb_state_name (w.state),
               (guint64)w.incarnation, (guint64)w.revision);
}

static void
apply_updates (struct member *m, const peer_ping *ping)
{
  u_int i;

  apply_update (m, &ping->self);
  for (i = 0; i < ping->rumors.rumors_len; i++)
    apply_update (m, &ping->rumors.rumors_val[i]);
}

/* Returns the sender's revision. */
static uint64_t
receive_ping (struct member *m, const peer_envelope *e)
{
  peer_ping ping = { 0 };
  uint64_t revision;

  if (!peers_decode ((xdrproc_t)xdr_peer_ping, e->body.body_val,
                     e->body.body_len, &ping))
    return 0;
  apply_updates (m, &ping);
  revision = ping.self.revision;
  xdr_free ((xdrproc_t)xdr_peer_ping, &ping);
  return revision;
}

/* A VM that sends no ages answers with a ping. */
static uint64_t
receive_pong (struct member *m, const peer_envelope *e, int64_t asked_us)
{
  peer_pong pong = { 0 };
  uint64_t revision;
  int64_t at;

  if (!peers_decode ((xdrproc_t)xdr_peer_pong, e->body.body_val,
                     e->body.body_len, &pong))
    return receive_ping (m, e);
  apply_updates (m, &pong.ping);
  revision = pong.ping.self.revision;
  if (m->server->conf != NULL && pong.fresh != NULL
      && fresh_time_from_age (asked_us, pong.fresh->age_ms, &at))
    conf_confirmed (m->server->conf, pong.fresh->revision, at);
  xdr_free ((xdrproc_t)xdr_peer_pong, &pong);
  return revision;
}

/* --- answers, on the peers' thread --- */

/* A revision that was received, on its way to the first worker's loop. */
struct received
{
  struct loop_msg msg;
  struct server *server;
  uint64_t revision;
};

static void
pass_revision (void *arg)
{
  struct received *h = arg;

  if (h->server->conf != NULL)
    conf_hear_revision (h->server->conf, h->revision);
  g_free (h);
}

static void
post_revision (struct member *m, uint64_t revision)
{
  struct received *h = g_new0 (struct received, 1);

  h->server = m->server;
  h->revision = revision;
  h->msg.run = pass_revision;
  h->msg.arg = h;
  loop_post (m->loop, &h->msg);
}

static bool
take_body (GByteArray *body, peer_envelope *reply)
{
  if (body == NULL)
    return false;
  reply->body.body_len = body->len;
  reply->body.body_val = malloc (body->len);
  memcpy (reply->body.body_val, body->data, body->len);
  g_byte_array_free (body, TRUE);
  return true;
}

static bool
answer_ping (struct member *m, const peer_envelope *call, peer_envelope *reply)
{
  uint64_t revision = receive_ping (m, call);

  if (m->server->conf != NULL && revision > conf_revision (m->server->conf))
    post_revision (m, revision);
  return take_body (make_ping (m, call->sender, true), reply);
}

static bool
answer_changes (struct member *m, const peer_envelope *call,
                peer_envelope *reply)
{
  char *texts[PEER_CHANGES_MAX];
  uint64_t revisions[PEER_CHANGES_MAX];
  peer_change wire[PEER_CHANGES_MAX];
  peer_changes ask = { 0 };
  peer_changes out = { 0 };
  GByteArray *body;
  int n, i;

  if (m->server->conf == NULL
      || !peers_decode ((xdrproc_t)xdr_peer_changes, call->body.body_val,
                        call->body.body_len, &ask))
    return false;
  n = conf_after (m->server->conf, ask.revision, texts, revisions,
                  PEER_CHANGES_MAX);
  xdr_free ((xdrproc_t)xdr_peer_changes, &ask);
  for (i = 0; i < n; i++)
    wire[i] = (peer_change){ .revision = revisions[i], .text = texts[i] };
  out.revision = conf_revision (m->server->conf);
  out.changes.changes_len = (u_int)n;
  out.changes.changes_val = wire;
  body = peers_encode ((xdrproc_t)xdr_peer_changes, &out);
  for (i = 0; i < n; i++)
    g_free (texts[i]);
  return take_body (body, reply);
}

static bool
on_call (void *arg, const peer_envelope *call, peer_envelope *reply)
{
  switch (call->proc)
    {
    case PEER_PING:
      return answer_ping (arg, call, reply);
    case PEER_CHANGES:
      return answer_changes (arg, call, reply);
    }
  return false;
}

/* --- questions, on the first worker's loop --- */

static void
on_pong (void *arg, const peer_envelope *reply)
{
  struct asked *a = arg;
  struct member *m = a->member;
  uint64_t revision = reply != NULL ? receive_pong (m, reply, a->asked_us) : 0;
  int64_t now = loop_now_us ();
  struct memb *who;

  __atomic_fetch_sub (&m->waiting, 1, __ATOMIC_RELAXED);
  g_mutex_lock (&m->lock);
  who = memb_find (m->table, a->name);
  if (who != NULL && reply != NULL)
    memb_ping_answered (m->table, who, now);
  else if (who != NULL)
    memb_ping_timed_out (m->table, who, now);
  g_mutex_unlock (&m->lock);
  if (m->server->conf != NULL && reply != NULL)
    conf_hear_revision (m->server->conf, revision);
  g_free (a);
}

static void
ping (struct member *m, const char *name, const char *address)
{
  struct asked *a = g_new0 (struct asked, 1);

  a->member = m;
  g_strlcpy (a->name, name, sizeof a->name);
  a->asked_us = loop_now_us ();
  __atomic_fetch_add (&m->waiting, 1, __ATOMIC_RELAXED);
  peers_ask (m->peers, address, name, PEER_PING, make_ping (m, name, false),
             m->loop, on_pong, a);
}

/* Names and addresses of those to ask now.  Other domains are asked more
   rarely, except when there is news. */
static int
choose (struct member *m, bool far, struct memb_update *out)
{
  struct memb *who[NEIGHBOURS_MAX];
  const struct memb *dead;
  int64_t now = loop_now_us ();
  const char *domain;
  int near, i;
  int n = 0;

  g_mutex_lock (&m->lock);
  memb_tick (m->table, now);
  domain = memb_self (m->table)->domain;
  near = memb_neighbours (m->table, who, NEIGHBOURS_MAX - 1);
  for (i = 0; i < near; i++)
    if (far || strcmp (who[i]->latest.domain, domain) == 0)
      out[n++] = who[i]->latest;
  dead = m->turn % DEAD_EVERY == 0
             ? memb_pick_dead (m->table, m->turn / DEAD_EVERY)
             : NULL;
  if (dead != NULL)
    out[n++] = dead->latest;
  g_mutex_unlock (&m->lock);
  return n;
}

/* Seeds are asked until they are known; afterwards they are like the rest. */
static void
ping_seeds (struct member *m)
{
  const char *seeds = cfg_vm (server_cfg (m->server))->seeds;
  g_auto (GStrv) words = g_strsplit_set (seeds, " ", -1);
  const char *self = cfg_vm (server_cfg (m->server))->name;
  g_autofree char *name = NULL;
  char *eq;
  bool known;
  int i;

  for (i = 0; words[i] != NULL; i++)
    {
      eq = strchr (words[i], '=');
      if (eq == NULL)
        continue;
      g_free (name);
      name = g_strndup (words[i], (gsize)(eq - words[i]));
      g_mutex_lock (&m->lock);
      known = memb_find (m->table, name) != NULL;
      g_mutex_unlock (&m->lock);
      if (!known && strcmp (name, self) != 0)
        ping (m, name, eq + 1);
    }
}

static void
ask_neighbours (struct member *m, bool far)
{
  struct memb_update words[NEIGHBOURS_MAX];
  int n = choose (m, far, words);
  int i;

  for (i = 0; i < n; i++)
    ping (m, words[i].name, words[i].address);
}

/* --- the platform's list --- */

static void
apply_list (struct member *m, const json_t *list)
{
  const json_t *one;
  peer_member p;
  size_t i;

  json_array_foreach (list, i, one)
  {
    p = (peer_member){ 0 };
    p.name = (char *)json_string_value (json_object_get (one, "name"));
    p.domain = (char *)json_string_value (json_object_get (one, "domain"));
    p.address = (char *)json_string_value (json_object_get (one, "address"));
    p.incarnation
        = (u_quad_t)json_integer_value (json_object_get (one, "incarnation"));
    p.state = json_is_true (json_object_get (one, "leaving")) ? MEMB_LEAVING
                                                              : MEMB_ALIVE;
    if (p.name != NULL && p.domain != NULL && p.address != NULL)
      apply_update (m, &p);
  }
}

static void
on_list (void *arg, int status, const GString *body)
{
  struct member *m = arg;
  json_t *doc = json_loadb (body->str, body->len, 0, NULL);

  m->listing = false;
  if (status == 200)
    {
      m->listed = true;
      apply_list (m, doc);
    }
  json_decref (doc);
}

static void
ask_list (struct member *m)
{
  const struct cfg_platform *p = cfg_platform (server_cfg (m->server));
  g_autofree char *url = g_strconcat (p->vm_list, "/vms", NULL);
  struct fetch_opts o = { .method = "GET", .url = url };

  if (p->vm_list[0] == '\0' || m->listing)
    return;
  m->listing = true;
  o.timeout_ms = p->timeout_ms;
  o.reply_max_bytes = LIST_MAX_BYTES;
  o.done = on_list;
  o.arg = m;
  fetch_start (m->server->workers[0].pool, &o);
}

static void
on_timer (void *arg, int64_t now_us)
{
  struct member *m = arg;
  int64_t pause = cfg_vm (server_cfg (m->server))->ping_ms * CQ_US_PER_MS;

  if (m->turn % LIST_EVERY == 0)
    ask_list (m);
  ping_seeds (m);
  ask_neighbours (m, m->turn % FAR_EVERY == 0);
  m->turn++;
  loop_arm (m->loop, &m->timer, now_us + pause);
}

/* --- changes --- */

static void
on_changes (void *arg, const peer_envelope *reply)
{
  struct asked *a = arg;
  struct member *m = a->member;
  peer_changes c = { 0 };
  u_int i;

  __atomic_fetch_sub (&m->waiting, 1, __ATOMIC_RELAXED);
  if (reply != NULL
      && peers_decode ((xdrproc_t)xdr_peer_changes, reply->body.body_val,
                       reply->body.body_len, &c))
    {
      for (i = 0; i < c.changes.changes_len; i++)
        conf_hear_change (m->server->conf, c.changes.changes_val[i].revision,
                          c.changes.changes_val[i].text);
      conf_hear_revision (m->server->conf, c.revision);
      xdr_free ((xdrproc_t)xdr_peer_changes, &c);
    }
  g_free (a);
}

int
member_ask_changes (struct member *m, uint64_t revision, int max)
{
  peer_changes ask = { .revision = revision };
  struct memb_update words[NEIGHBOURS_MAX];
  struct memb *o;
  int n = 0;
  int i;

  g_mutex_lock (&m->lock);
  for (o = memb_first (m->table); o != NULL && n < MIN (max, NEIGHBOURS_MAX);
       o = memb_next (m->table, o))
    if (o->latest.state <= MEMB_SUSPECT && o->latest.revision > revision)
      words[n++] = o->latest;
  g_mutex_unlock (&m->lock);
  for (i = 0; i < n; i++)
    {
      struct asked *a = g_new0 (struct asked, 1);

      a->member = m;
      __atomic_fetch_add (&m->waiting, 1, __ATOMIC_RELAXED);
      peers_ask (m->peers, words[i].address, words[i].name, PEER_CHANGES,
                 peers_encode ((xdrproc_t)xdr_peer_changes, &ask), m->loop,
                 on_changes, a);
    }
  return n;
}

/* --- interface --- */

/* News of our own goes out at once, not at the next tick. */
void
member_say (struct member *m, uint64_t revision)
{
  enum memb_state state
      = server_phase (m->server) >= PHASE_NOTICE ? MEMB_LEAVING : MEMB_ALIVE;

  g_mutex_lock (&m->lock);
  memb_set_state (m->table, state, revision);
  g_mutex_unlock (&m->lock);
  if (!m->leaving)
    ask_neighbours (m, true);
}

bool
member_mine (struct member *m, const char *key, int n)
{
  bool mine;

  g_mutex_lock (&m->lock);
  mine = memb_is_responsible (m->table, key, n);
  g_mutex_unlock (&m->lock);
  return mine;
}

uint64_t
member_revision (struct member *m)
{
  const struct memb *o;
  uint64_t most = 0;

  g_mutex_lock (&m->lock);
  for (o = memb_first (m->table); o != NULL;
       o = memb_next (m->table, (struct memb *)o))
    if (o->latest.state <= MEMB_SUSPECT && o->latest.revision > most)
      most = o->latest.revision;
  g_mutex_unlock (&m->lock);
  return most;
}

/* VMs that have answered us. */
int
member_live (struct member *m)
{
  const struct memb *o;
  int n = 0;

  g_mutex_lock (&m->lock);
  for (o = memb_first (m->table); o != NULL;
       o = memb_next (m->table, (struct memb *)o))
    n += o->latest.state <= MEMB_SUSPECT && o->answered_us > 0;
  g_mutex_unlock (&m->lock);
  return n;
}

/* Whether there is anybody to speak to, or it is not known yet. */
bool
member_expected (struct member *m)
{
  const struct cfg_platform *p = cfg_platform (server_cfg (m->server));
  bool any;

  g_mutex_lock (&m->lock);
  any = memb_count (m->table, MEMB_SUSPECT) > 0;
  g_mutex_unlock (&m->lock);
  return any || cfg_vm (server_cfg (m->server))->seeds[0] != '\0'
         || (p->vm_list[0] != '\0' && !m->listed);
}

int
member_pending_calls (struct member *m)
{
  return __atomic_load_n (&m->waiting, __ATOMIC_RELAXED);
}

static json_t *
word_json (const struct memb_update *w, int64_t received_us, int64_t now)
{
  return json_pack (
      "{s:s,s:s,s:s,s:s,s:I,s:I,s:I}", "name", w->name, "domain", w->domain,
      "address", w->address, "state", memb_state_name (w->state),
      "incarnation", (json_int_t)w->incarnation, "revision",
      (json_int_t)w->revision, "heard_ms_ago",
      (json_int_t)(received_us ? (now - received_us) / 1000 : -1));
}

json_t *
member_list (struct member *m)
{
  int64_t now = loop_now_us ();
  json_t *list = json_array ();
  const struct memb *o;

  g_mutex_lock (&m->lock);
  json_array_append_new (list, word_json (memb_self (m->table), now, now));
  for (o = memb_first (m->table); o != NULL;
       o = memb_next (m->table, (struct memb *)o))
    json_array_append_new (list, word_json (&o->latest, o->answered_us, now));
  g_mutex_unlock (&m->lock);
  return list;
}

void
member_cut (struct member *m, const char *prefix)
{
  peers_cut (m->peers, prefix);
}

/* --- life --- */

struct member *
member_new (struct server *s, GError **err)
{
  const struct cfg_vm *vm = cfg_vm (server_cfg (s));
  struct member *m = g_new0 (struct member, 1);
  struct peers_opts o = { .listen = vm->peer_listen, .answer = on_call };
  struct memb_update self = { .seq = 1, .state = MEMB_ALIVE };
  g_auto (GStrv) keys = g_strsplit_set (vm->peer_keys, " ", -1);

  m->server = s;
  m->loop = s->workers[0].loop;
  g_mutex_init (&m->lock);
  g_strlcpy (self.name, vm->name, sizeof self.name);
  g_strlcpy (self.domain, vm->domain, sizeof self.domain);
  self.incarnation = (uint64_t)g_get_real_time ();
  m->table = memb_new (&self);
  m->name = g_strdup (vm->name);
  o.name = m->name;
  o.keys = keys;
  o.arg = m;
  m->peers = peers_new (&o, err);
  if (m->peers == NULL)
    return NULL;
  memb_set_address (m->table, peers_address (m->peers));
  log_event (LOG_LEVEL_INFO, "peer_listen",
             "address=%s incarnation=%" G_GUINT64_FORMAT,
             peers_address (m->peers), (guint64)self.incarnation);
  m->timer.fire = on_timer;
  m->timer.arg = m;
  loop_arm (m->loop, &m->timer, loop_now_us ());
  return m;
}

/* Ask nothing more. */
void
member_stop (struct member *m)
{
  m->leaving = true;
  loop_disarm (&m->timer);
}

void
member_free (struct member *m)
{
  if (m == NULL)
    return;
  loop_disarm (&m->timer);
  peers_free (m->peers);
  memb_free (m->table);
  g_free (m->name);
  g_mutex_clear (&m->lock);
  g_free (m);
}
