/*
 * New changes of settings: judged, committed to the table, answered.
 */
#include "libconf.h"

#include <string.h>

#define COMMIT_TRIES 12 /* commits that met another's before we give up */

/* A change on its way into the table. */
struct commit
{
  struct conf *conf;      /* where */
  struct req *req;        /* who asked; its connection waits */
  struct loop *home;      /* loop of the req */
  struct loop_msg msg;    /* between the loops */
  json_t *row;            /* the change */
  uint64_t read_revision; /* what its author had read */
  bool whole_file;        /* conflict with any change since; for comparison */
  int tries;              /* commits so far */
  const char *code;       /* refusal, or NULL */
  char *detail;           /* what was wrong, or with whom it met */
  uint64_t revision;      /* accepted as */
  json_t *head_row;       /* being written */
  uint64_t looking_at;    /* number of the change that is being read */
  int64_t sent_us;        /* when the commit under way was sent */
};

static void commit_next (struct conf *c);
static void commit_try (struct commit *m);

/* --- committing --- */

static void
commit_free (struct commit *m)
{
  json_decref (m->row);
  g_free (m->detail);
  g_free (m);
}

/* On the req's loop. */
static void
commit_reply (void *arg)
{
  struct commit *m = arg;
  json_t *doc;
  const struct refusal *f;

  __atomic_fetch_sub (&m->conf->server->live_jobs, 1, __ATOMIC_RELAXED);
  if (m->code == NULL)
    req_reply_json (m->req, 200,
                    json_pack ("{s:I}", "revision", (json_int_t)m->revision));
  else
    {
      f = refusal_find (m->code);
      doc = json_pack ("{s:{s:s,s:s,s:s}}", "error", "code", f->code,
                       "message", f->message, "detail",
                       m->detail ? m->detail : "");
      req_reply_json (m->req, f->status, doc);
    }
  commit_free (m);
}

static void
commit_end (struct commit *m, const char *code, const char *detail)
{
  struct conf *c = m->conf;

  m->code = code;
  m->detail = g_strdup (detail);
  log_event (LOG_LEVEL_INFO, "change",
             "id=%s operator=%s accepted=%d revision=%" G_GUINT64_FORMAT
             " reason=%s tries=%d",
             json_string_value (json_object_get (m->row, "id")),
             json_string_value (json_object_get (m->row, "operator")),
             code == NULL, (guint64)m->revision, code ? code : "accepted",
             m->tries);
  m->msg.run = commit_reply;
  m->msg.arg = m;
  c->commits = NULL;
  loop_post (m->home, &m->msg);
  commit_next (c);
}

static bool
names (const json_t *list, const char *group)
{
  const json_t *one;
  const char *s;
  size_t i;

  json_array_foreach (list, i, one)
  {
    s = json_is_array (one) ? json_string_value (json_array_get (one, 0))
                            : json_string_value (one);
    if (s != NULL && strcmp (s, group) == 0)
      return true;
  }
  return false;
}

/*
 * Row by row: a change conflicts with those that were accepted after its
 * author read, if they wrote a group that it read or writes.  (The idea of
 * validating what a transaction read and wrote at its commit is that of
 * "Database Replication Using Generalized Snapshot Isolation"; measured
 * against one check for the whole file in docs/CONFIGURATION.md.)
 */
static const char *
conflict_with (struct commit *m, const struct change *ch)
{
  const json_t *set;
  const char *group;
  size_t i;

  if (m->whole_file)
    return "any change";
  json_array_foreach (json_object_get (ch->row, "sets"), i, set)
  {
    group = json_string_value (json_array_get (set, 0));
    if (names (json_object_get (m->row, "reads"), group)
        || names (json_object_get (m->row, "sets"), group))
      return group;
  }
  return NULL;
}

static const char *
find_conflict (struct commit *m)
{
  struct conf *c = m->conf;
  const char *group;
  uint64_t r;

  for (r = m->read_revision; r < c->revision; r++)
    {
      group = conflict_with (m, g_ptr_array_index (c->changes, r));
      if (group != NULL)
        return group;
    }
  return NULL;
}

/* Our own change may be in already: its reply was lost, or it was sent again
   by its author. */
static bool
find_own (struct commit *m)
{
  const char *id = json_string_value (json_object_get (m->row, "id"));
  struct conf *c = m->conf;
  guint i;

  for (i = 0; i < c->changes->len; i++)
    {
      const struct change *ch = g_ptr_array_index (c->changes, i);
      const char *other = json_string_value (json_object_get (ch->row, "id"));

      if (other != NULL && strcmp (other, id) == 0)
        {
          m->revision = ch->revision;
          return true;
        }
    }
  return false;
}

static void
on_own_row (void *arg, const struct table_reply *r)
{
  struct commit *m = arg;
  struct conf *c = m->conf;
  char *text;

  if (r->code != TABLE_OK)
    {
      commit_end (m, "maybe_accepted", NULL);
      return;
    }
  if (r->nrows > 0 && r->rows[0].value != NULL)
    {
      text = json_dumps (r->rows[0].value, JSON_COMPACT);
      conf_hear_change (c, m->looking_at, text);
      free (text);
    }
  commit_try (m);
}

/* The head moved, or no reply came: read the row that stands where ours was
   to be, and look again. */
static void
commit_look (struct commit *m)
{
  struct table_ops *t = &m->conf->server->table;
  g_autofree char *key = NULL;

  m->looking_at = m->conf->revision + 1;
  key = conf_change_key (m->looking_at);
  t->read (t->ctx, key, on_own_row, m);
}

/* A conflict shows the rows as they are, even where reads lag. */
static void
take_conflict (struct commit *m, const struct table_reply *r)
{
  char *text;
  int i;

  for (i = 0; i < r->nrows; i++)
    if (r->rows[i].index == 1 && r->rows[i].value != NULL)
      {
        text = json_dumps (r->rows[i].value, JSON_COMPACT);
        conf_hear_change (m->conf, m->looking_at, text);
        free (text);
      }
}

static void
on_committed (void *arg, const struct table_reply *r)
{
  struct commit *m = arg;
  struct conf *c = m->conf;
  char *text;

  json_decref (m->head_row);
  switch (r->code)
    {
    case TABLE_OK:
      text = json_dumps (m->row, JSON_COMPACT);
      m->revision = m->looking_at;
      conf_hear_change (c, m->revision, text);
      free (text);
      /* The head moved to it after that. */
      conf_confirmed (c, m->revision, m->sent_us);
      commit_end (m, NULL, NULL);
      return;
    case TABLE_CONFLICT:
      take_conflict (m, r);
      commit_look (m);
      return;
    case TABLE_BUSY:
    case TABLE_LOST:
      commit_look (m);
      return;
    }
}

/* The head's version is needed for the condition. */
static void
on_head_for_commit (void *arg, const struct table_reply *r)
{
  struct commit *m = arg;
  struct conf *c = m->conf;
  struct table_ops *t = &c->server->table;
  g_autofree char *key = conf_change_key (c->revision + 1);
  struct table_write w[2] = { { .key = CONF_HEAD_KEY }, { .key = key } };
  uint64_t head = 0;

  if (r->code != TABLE_OK)
    {
      commit_end (m, m->tries > 1 ? "maybe_accepted" : "not_accepted", NULL);
      return;
    }
  if (r->nrows > 0)
    {
      head = (uint64_t)json_integer_value (
          json_object_get (r->rows[0].value, "revision"));
      w[0].version = r->rows[0].version;
    }
  if (head > c->revision)
    {
      commit_look (m);
      return;
    }
  m->looking_at = c->revision + 1;
  m->head_row = json_pack ("{s:I}", "revision", (json_int_t)m->looking_at);
  w[0].put = m->head_row;
  w[1].put = m->row;
  m->sent_us = loop_now_us ();
  t->commit (t->ctx, w, 2, on_committed, m);
}

static void
commit_try (struct commit *m)
{
  struct conf *c = m->conf;
  struct table_ops *t = &c->server->table;
  g_autoptr (GError) err = NULL;
  const char *conflict;
  struct cfg *cfg;

  if (find_own (m))
    {
      commit_end (m, NULL, NULL);
      return;
    }
  if (m->tries++ == COMMIT_TRIES)
    {
      commit_end (m, "conflict", "too many changes at once");
      return;
    }
  conflict = find_conflict (m);
  if (conflict != NULL)
    {
      commit_end (m, "conflict", conflict);
      return;
    }
  cfg = conf_build (c, m->row, &err);
  if (cfg == NULL)
    {
      commit_end (m, "bad_settings", err->message);
      return;
    }
  cfg_free (cfg);
  t->read (t->ctx, CONF_HEAD_KEY, on_head_for_commit, m);
}

static void
commit_next (struct conf *c)
{
  if (c->commits != NULL || g_queue_is_empty (&c->waiting))
    return;
  c->commits = g_queue_pop_head (&c->waiting);
  commit_try (c->commits);
}

static void
commit_arrived (void *arg)
{
  struct commit *m = arg;

  g_queue_push_tail (&m->conf->waiting, m);
  commit_next (m->conf);
}

/* --- operators --- */

static json_t *
read_change (struct req *r, struct commit *m)
{
  json_t *doc = json_loadb (r->body->str, r->body->len, 0, NULL);
  const char *id = json_string_value (json_object_get (doc, "id"));
  const json_t *sets = json_object_get (doc, "sets");
  const struct cfg_operator *o
      = cfg_operator (server_cfg (r->worker->server), r->operator_index);
  json_t *row = NULL;

  m->read_revision
      = (uint64_t)json_integer_value (json_object_get (doc, "read_revision"));
  m->whole_file = json_is_true (json_object_get (doc, "whole_file"));
  if (id != NULL && cfg_is_name (id) && json_array_size (sets) > 0)
    row = json_pack ("{s:s,s:s,s:I,s:O,s:O?}", "id", id, "operator", o->id,
                     "at_ms", (json_int_t)(g_get_real_time () / 1000), "sets",
                     sets, "reads", json_object_get (doc, "reads"));
  json_decref (doc);
  return row;
}

/* POST /admin/v1/config: a change. */
void
conf_post (struct req *r)
{
  struct server *s = r->worker->server;
  struct commit *m;

  if (s->conf == NULL)
    {
      req_refuse (r, "not_found", 0);
      return;
    }
  if (cfg_operator (server_cfg (s), r->operator_index)->workspaces[0] != NULL)
    {
      req_refuse (r, "not_allowed", 0);
      return;
    }
  m = g_new0 (struct commit, 1);
  m->row = read_change (r, m);
  if (m->row == NULL)
    {
      g_free (m);
      req_refuse (r, "bad_field", 0);
      return;
    }
  m->conf = s->conf;
  m->req = r;
  m->home = r->worker->loop;
  __atomic_fetch_add (&s->live_jobs, 1, __ATOMIC_RELAXED);
  m->msg.run = commit_arrived;
  m->msg.arg = m;
  loop_post (s->workers[0].loop, &m->msg);
}

/* GET /admin/v1/config: revision, freshness, changes, VMs. */
void
conf_get (struct req *r)
{
  struct server *s = r->worker->server;
  struct conf *c = s->conf;
  json_t *changes = json_array ();
  int64_t now = loop_now_us ();
  uint64_t revision;
  int64_t age_ms;
  guint i;

  if (c == NULL)
    {
      json_decref (changes);
      req_refuse (r, "not_found", 0);
      return;
    }
  g_mutex_lock (&c->lock);
  for (i = 0; i < c->changes->len; i++)
    {
      const struct change *ch = g_ptr_array_index (c->changes, i);

      json_array_append_new (changes, json_pack ("{s:I,s:O}", "revision",
                                                 (json_int_t)ch->revision,
                                                 "change", ch->row));
    }
  g_mutex_unlock (&c->lock);
  age_ms = conf_age_ms (c, &revision, now);
  req_reply_json (
      r, 200,
      json_pack ("{s:I,s:I,s:b,s:o,s:o}", "revision", (json_int_t)revision,
                 "confirmed_ms_ago", (json_int_t)age_ms, "stale",
                 conf_stale (c, now), "changes", changes, "vms",
                 s->member ? member_list (s->member) : json_array ()));
}
