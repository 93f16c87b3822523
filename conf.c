/*
 * Changes of settings: numbered rows in the platform's table.
 *
 *   config/head       {"revision":N}
 *   config/change/N   {"id","operator","at_ms","reads":[...],
 *                      "sets":[[group,key,value],...]}
 *
 * A change is committed with a condition on the head, so changes form one
 * sequence; every VM applies it in order, from the table or from other VMs,
 * and its revision never goes back, whatever an older source says.
 */
#include "libconf.h"

#include <string.h>

#define HEAD_READERS 2 /* VMs of a domain that look at the head */
#define PULL_PEERS 2   /* VMs asked for changes at once */
#define PULL_PAUSE_US (50 * CQ_US_PER_MS) /* between such questions */
#define PEER_WAIT_US (3 * CQ_US_PER_S)    /* at the start, for VMs to answer */

static void pull (struct conf *c);

/* --- sequence --- */

static void
change_free (gpointer data)
{
  struct change *ch = data;

  json_decref (ch->row);
  g_free (ch->text);
  g_free (ch);
}

uint64_t
conf_revision (struct conf *c)
{
  uint64_t r;

  g_mutex_lock (&c->lock);
  r = c->revision;
  g_mutex_unlock (&c->lock);
  return r;
}

int
conf_after (struct conf *c, uint64_t revision, char **texts,
            uint64_t *revisions, int max)
{
  const struct change *ch;
  int n = 0;

  g_mutex_lock (&c->lock);
  while (n < max && revision + (uint64_t)n < c->revision)
    {
      ch = g_ptr_array_index (c->changes, revision + (uint64_t)n);
      texts[n] = g_strdup (ch->text);
      revisions[n] = ch->revision;
      n++;
    }
  g_mutex_unlock (&c->lock);
  return n;
}

/* --- settings with changes --- */

static void
add_overrides (GArray *list, const json_t *row)
{
  const json_t *set;
  struct cfg_override o;
  size_t i;

  json_array_foreach (json_object_get (row, "sets"), i, set)
  {
    o.group = (char *)json_string_value (json_array_get (set, 0));
    o.key = (char *)json_string_value (json_array_get (set, 1));
    o.value = (char *)json_string_value (json_array_get (set, 2));
    if (o.group != NULL && o.key != NULL && o.value != NULL)
      g_array_append_val (list, o);
  }
}

/* The files with all changes, and one more if EXTRA is given. */
struct cfg *
conf_build (struct conf *c, const json_t *extra, GError **err)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (struct cfg_override));
  struct cfg *cfg;
  guint i;

  for (i = 0; i < c->changes->len; i++)
    {
      const struct change *ch = g_ptr_array_index (c->changes, i);

      add_overrides (list, ch->row);
    }
  if (extra != NULL)
    add_overrides (list, extra);
  cfg = cfg_load_changed (
      c->server->settings_files[0], c->server->settings_files[1],
      (struct cfg_override *)(void *)list->data, (int)list->len, err);
  g_array_free (list, TRUE);
  return cfg;
}

/* Put the sequence so far in force. */
static void
put_in_force (struct conf *c)
{
  g_autoptr (GError) err = NULL;
  struct cfg *cfg = conf_build (c, NULL, &err);
  bool good = cfg != NULL && server_apply_cfg (c->server, cfg);

  /* The change is accepted everywhere; here it contradicts this VM's own
     overlay, or does not fit.  The settings before stay in force. */
  if (!good)
    {
      cfg_free (cfg);
      log_event (LOG_LEVEL_ERROR, "settings",
                 "revision=%" G_GUINT64_FORMAT " in_force=0 fault=\"%s\"",
                 (guint64)c->revision, err ? err->message : "too many groups");
      return;
    }
  log_event (LOG_LEVEL_INFO, "settings",
             "revision=%" G_GUINT64_FORMAT " in_force=1",
             (guint64)c->revision);
}

static bool
append (struct conf *c, uint64_t revision, const char *text)
{
  struct change *ch;
  json_t *row;

  if (revision != c->revision + 1)
    return false;
  row = json_loads (text, 0, NULL);
  if (!json_is_object (row))
    {
      json_decref (row);
      return false;
    }
  ch = g_new0 (struct change, 1);
  ch->revision = revision;
  ch->text = g_strdup (text);
  ch->row = row;
  g_mutex_lock (&c->lock);
  g_ptr_array_add (c->changes, ch);
  c->revision = revision;
  fresh_revision_applied (&c->fresh, revision, c->wanted);
  g_mutex_unlock (&c->lock);
  return true;
}

static void
after_append (struct conf *c)
{
  put_in_force (c);
  if (c->server->member != NULL)
    member_say (c->server->member, c->revision);
}

void
conf_hear_change (struct conf *c, uint64_t revision, const char *text)
{
  if (append (c, revision, text))
    after_append (c);
}

/* Somebody has settings of this revision: fetch what we lack. */
void
conf_hear_revision (struct conf *c, uint64_t revision)
{
  if (revision > c->wanted)
    c->wanted = revision;
  if (c->wanted > c->revision)
    pull (c);
}

void
conf_confirmed (struct conf *c, uint64_t revision, int64_t at_us)
{
  g_mutex_lock (&c->lock);
  fresh_confirm (&c->fresh, revision, c->revision, c->wanted, at_us);
  g_mutex_unlock (&c->lock);
}

int64_t
conf_age_ms (struct conf *c, uint64_t *revision, int64_t now_us)
{
  int64_t age;

  g_mutex_lock (&c->lock);
  *revision = c->revision;
  age = fresh_age_ms (&c->fresh, now_us);
  g_mutex_unlock (&c->lock);
  return age;
}

bool
conf_stale (struct conf *c, int64_t now_us)
{
  int64_t limit
      = cfg_vm (server_cfg (c->server))->fresh_within_s * CQ_US_PER_S;
  bool over;

  g_mutex_lock (&c->lock);
  over = fresh_is_expired (&c->fresh, limit, now_us);
  g_mutex_unlock (&c->lock);
  return over;
}

/*
 * Whether this VM may begin to serve.  With the table at hand its head is the
 * newest there is.  Without it, another VM's settings are taken; with neither
 * this VM could revert an accepted change by starting from its files, so it
 * waits and says that it is starting.
 */
bool
conf_ready (struct conf *c)
{
  int64_t now = loop_now_us ();
  struct member *m = c->server->member;

  if (c->revision < c->wanted)
    return false;
  /* Even the table may lag; others may know better, so they are asked. */
  if (m != NULL && member_expected (m) && member_live (m) == 0
      && now - c->started_us < PEER_WAIT_US)
    return false;
  if (c->table_read)
    return true;
  return m != NULL && now - c->started_us > PEER_WAIT_US && member_live (m) > 0
         && member_revision (m) <= c->revision;
}

/* --- reading from the table --- */

char *
conf_change_key (uint64_t revision)
{
  return g_strdup_printf ("config/change/%" G_GUINT64_FORMAT,
                          (guint64)revision);
}

static void
on_change_row (void *arg, const struct table_reply *r)
{
  struct conf *c = arg;
  char *text;

  c->reading = false;
  if (r->code != TABLE_OK || r->nrows == 0 || r->rows[0].value == NULL)
    return;
  /* Another VM may have given it to us meanwhile; then this one is old. */
  text = json_dumps (r->rows[0].value, JSON_COMPACT);
  conf_hear_change (c, c->reading_revision, text);
  free (text);
  if (c->wanted > c->revision)
    pull (c);
}

/* Fetch the next change: from other VMs that have it, and from the table. */
static void
pull (struct conf *c)
{
  g_autofree char *key = conf_change_key (c->revision + 1);

  int64_t now = loop_now_us ();

  if (c->server->member != NULL && now - c->asked_us > PULL_PAUSE_US)
    {
      c->asked_us = now;
      member_ask_changes (c->server->member, c->revision, PULL_PEERS);
    }
  if (c->reading)
    return;
  c->reading = true;
  c->reading_revision = c->revision + 1;
  c->server->table.read (c->server->table.ctx, key, on_change_row, c);
}

static void
on_head (void *arg, const struct table_reply *r)
{
  struct conf *c = arg;
  uint64_t head = 0;

  c->reading = false;
  if (r->code != TABLE_OK)
    return;
  if (r->nrows > 0)
    head = (uint64_t)json_integer_value (
        json_object_get (r->rows[0].value, "revision"));
  /* It was read after it was asked for; the answer may be handled much later,
     by a VM that was suspended meanwhile. */
  conf_confirmed (c, head, c->head_asked_us);
  c->table_read = true;
  conf_hear_revision (c, head);
}

static bool
reads_head (struct conf *c)
{
  struct member *m = c->server->member;

  return m == NULL || !c->table_read || conf_stale (c, loop_now_us ())
         || member_mine (m, CONF_HEAD_KEY, HEAD_READERS);
}

static void
on_timer (void *arg, int64_t now_us)
{
  struct conf *c = arg;
  int64_t pause = cfg_vm (server_cfg (c->server))->head_ms * CQ_US_PER_MS;

  if (!c->reading && reads_head (c))
    {
      c->reading = true;
      c->head_asked_us = now_us;
      c->server->table.read (c->server->table.ctx, CONF_HEAD_KEY, on_head, c);
    }
  loop_arm (c->server->workers[0].loop, &c->timer, now_us + pause);
}

/* --- life --- */

struct conf *
conf_new (struct server *s)
{
  struct conf *c = g_new0 (struct conf, 1);

  c->server = s;
  g_mutex_init (&c->lock);
  c->changes = g_ptr_array_new_with_free_func (change_free);
  c->started_us = loop_now_us ();
  g_queue_init (&c->waiting);
  c->timer.fire = on_timer;
  c->timer.arg = c;
  return c;
}

void
conf_start (struct conf *c)
{
  loop_arm (c->server->workers[0].loop, &c->timer, loop_now_us ());
}

/* Ask nothing more. */
void
conf_stop (struct conf *c)
{
  loop_disarm (&c->timer);
}

void
conf_free (struct conf *c)
{
  if (c == NULL)
    return;
  loop_disarm (&c->timer);
  g_ptr_array_free (c->changes, TRUE);
  g_mutex_clear (&c->lock);
  g_free (c);
}
