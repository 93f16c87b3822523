/* Checks that all builds which served are known. */
#include "buildcheck.h"

#include "decide.h"
#include "log.h"
#include "met.h"

/* Two checks of a VM are further apart than this, or than this for each VM if
   that is more. */
#define INTERVAL_US (250 * CQ_US_PER_MS)
#define INTERVAL_PER_VM_US (30 * CQ_US_PER_MS)
/* Longest wait of a request: two checks of a platform that replies in its
   usual time. */
#define WAIT_US (500 * CQ_US_PER_MS)
/* Limits of a call.  A VM that changes all rows of a long list makes a reply
   of this size. */
#define FIRST_BYTE_US (400 * CQ_US_PER_MS)
#define STALL_US (400 * CQ_US_PER_MS)
#define TOTAL_US (2 * CQ_US_PER_S)
#define REPLY_MAX_BYTES 4194304
#define PIECES_PER_TURN 40

/* What a check rests on, and why one failed. */
enum finding
{
  FINDING_COMPLETE,    /* all builds are known */
  FINDING_NEVER_READ,  /* what is to be completed was never read */
  FINDING_NO_REPLY,    /* a call failed */
  FINDING_OTHER_ERA,   /* the store came back from an older copy */
  FINDING_ENTRY_GONE,  /* an entry came and went unseen */
  FINDING_NEW_SETTINGS /* the settings changed, and are yet to be applied */
};

struct buildcheck
{
  struct buildcheck_opts opts; /* as passed to buildcheck_new */
  APR_RING_HEAD (buildcheck_ring, buildcheck_question) questions; /* wait */
  struct loop_timer timer; /* starts the next check */
  int64_t sent_us;         /* when the last check began; 0 for never */
  int64_t known_us;        /* when the last one that succeeded began */
  int pending;             /* calls of the present one */
  enum finding finding;    /* of the present one so far */
  bool rereads;            /* the list is read as a whole */
  bool stopped;            /* buildcheck_stop was called */
};

static void start (struct buildcheck *c, int64_t now_us);

/* --- the end of a check ---------------------------------------------- */

static const char *
finding_name (enum finding finding)
{
  static const char *const names[] = {
    [FINDING_COMPLETE] = "complete",
    [FINDING_NEVER_READ] = "never_read",
    [FINDING_NO_REPLY] = "no_reply",
    [FINDING_OTHER_ERA] = "other_era",
    [FINDING_ENTRY_GONE] = "entry_gone",
    [FINDING_NEW_SETTINGS] = "new_settings",
  };

  return names[finding];
}

static int64_t
next_us (const struct buildcheck *c)
{
  return c->sent_us
         + MAX (INTERVAL_US,
                c->opts.count_vms (c->opts.arg) * INTERVAL_PER_VM_US);
}

static void
answer (struct buildcheck *c, struct buildcheck_question *q, bool ok,
        int64_t now_us)
{
  buildcheck_cancel (c, q);
  q->done (q->arg, ok, now_us);
}

/* A question that a check sent at SENT_US answers, or NULL. */
static struct buildcheck_question *
find_answered (const struct buildcheck *c, int64_t sent_us)
{
  struct buildcheck_question *q;

  APR_RING_FOREACH (q, &c->questions, buildcheck_question, link)
  {
    if (q->since_us <= sent_us)
      return q;
  }
  return NULL;
}

static void
finish (struct buildcheck *c, int64_t now_us)
{
  bool ok = c->finding == FINDING_COMPLETE;
  /* The callbacks may start the next check. */
  int64_t sent_us = c->sent_us;
  struct buildcheck_question *q;

  if (ok)
    c->known_us = c->sent_us;
  else
    met_add (MET_BUILD_CHECKS_FAILED, 1);
  log_event (LOG_LEVEL_INFO, "builds_checked",
             "outcome=%s known=%d took_us=%" G_GINT64_FORMAT,
             finding_name (c->finding), c->opts.fleet->nbuilds,
             (gint64)(now_us - c->sent_us));
  while ((q = find_answered (c, sent_us)) != NULL)
    answer (c, q, ok, now_us);
  if (!APR_RING_EMPTY (&c->questions, buildcheck_question, link) && !c->stopped
      && c->pending == 0 && !c->timer.armed)
    loop_arm (c->opts.loop, &c->timer, next_us (c));
}

static void
end_call (struct buildcheck *c, enum finding finding, int64_t now_us)
{
  if (c->finding == FINDING_COMPLETE)
    c->finding = finding;
  if (--c->pending == 0)
    finish (c, now_us);
}

/* --- calls ----------------------------------------------------------- */

static enum finding
finding_of (const struct buildcheck *c, const struct follow_reply *n)
{
  if (n->status != FOLLOW_OK)
    return FINDING_NO_REPLY;
  if (n->era != 0 && n->era != c->opts.era (c->opts.arg))
    return FINDING_OTHER_ERA;
  return FINDING_COMPLETE;
}

/* The endpoints themselves are the follower's to apply. */
static enum finding
apply_list (struct buildcheck *c, const struct follow_reply *n, int64_t now_us)
{
  struct fleet *f = c->opts.fleet;
  enum finding finding = FINDING_COMPLETE;
  const struct follow_item *it;
  guint i;

  fleet_update_builds (f, now_us);
  for (i = 0; i < n->items->len; i++)
    {
      it = &g_array_index (n->items, struct follow_item, i);
      if (it->kind == FOLLOW_ITEM_ENDPOINT)
        fleet_note_build (f, &it->listing, now_us);
      else if (it->kind == FOLLOW_ITEM_ENDPOINT_REMOVED && !c->rereads
               && !g_hash_table_contains (f->by_id, it->listing.id))
        finding = FINDING_ENTRY_GONE;
    }
  return finding;
}

static const struct follow_limits limits
    = { .first_byte_us = FIRST_BYTE_US,
        .stall_us = STALL_US,
        .total_us = TOTAL_US,
        .bytes_max = REPLY_MAX_BYTES,
        .pieces_per_turn = PIECES_PER_TURN };

static void
on_list (void *arg, const struct follow_reply *n)
{
  struct buildcheck *c = arg;
  int64_t now = loop_now_us ();
  enum finding finding = finding_of (c, n);

  if (n->status == FOLLOW_HISTORY_LOST && !c->rereads && !c->stopped)
    {
      c->rereads = true;
      c->opts.platform.read (c->opts.platform.ctx, FOLLOW_ENDPOINTS, &limits,
                             on_list, c);
      return;
    }
  if (finding == FINDING_COMPLETE)
    finding = apply_list (c, n, now);
  end_call (c, finding, now);
}

static void
on_settings (void *arg, const struct follow_reply *n)
{
  struct buildcheck *c = arg;
  enum finding finding = finding_of (c, n);
  const struct follow_item *it;
  guint i;

  for (i = 0; finding == FINDING_COMPLETE && i < n->items->len; i++)
    {
      it = &g_array_index (n->items, struct follow_item, i);
      if (it->kind == FOLLOW_ITEM_CONF && it->row > c->opts.fleet->conf_row)
        finding = FINDING_NEW_SETTINGS;
    }
  end_call (c, finding, loop_now_us ());
}

static void
on_builds (void *arg, bool ok, int64_t now_us)
{
  end_call (arg, ok ? FINDING_COMPLETE : FINDING_NO_REPLY, now_us);
}

static void
start (struct buildcheck *c, int64_t now_us)
{
  const struct buildcheck_opts *o = &c->opts;
  int64_t list = o->version (o->arg, FOLLOW_ENDPOINTS);
  int64_t settings = o->version (o->arg, FOLLOW_OPERATOR);

  met_add (MET_BUILD_CHECKS, 1);
  c->sent_us = now_us;
  c->rereads = false;
  c->finding = FINDING_COMPLETE;
  /* Replies may come within the calls. */
  c->pending = 1;
  if (list <= 0 || settings <= 0)
    {
      end_call (c, FINDING_NEVER_READ, now_us);
      return;
    }
  c->pending += 3;
  o->platform.changes (o->platform.ctx, FOLLOW_ENDPOINTS, list, 0, &limits,
                       on_list, c);
  o->platform.changes (o->platform.ctx, FOLLOW_OPERATOR, settings, 0, &limits,
                       on_settings, c);
  o->read_builds (o->arg, on_builds, c);
  end_call (c, FINDING_COMPLETE, now_us);
}

static void
on_timer (void *arg, int64_t now_us)
{
  struct buildcheck *c = arg;

  if (!c->stopped && c->pending == 0)
    start (c, now_us);
}

/* --- questions ------------------------------------------------------- */

static void
on_limit (void *arg, int64_t now_us)
{
  struct buildcheck_question *q = arg;

  APR_RING_REMOVE (q, link);
  q->waiting = false;
  q->done (q->arg, false, now_us);
}

bool
buildcheck_ask (struct buildcheck *c, struct buildcheck_question *q,
                int64_t since_us, int64_t now_us)
{
  q->waiting = false;
  if (c->known_us < since_us && c->pending == 0 && !c->stopped
      && (c->sent_us == 0 || now_us >= next_us (c)))
    start (c, now_us);
  if (c->known_us >= since_us)
    return true;
  q->since_us = since_us;
  q->limit.fire = on_limit;
  q->limit.arg = q;
  q->waiting = true;
  APR_RING_ELEM_INIT (q, link);
  APR_RING_INSERT_TAIL (&c->questions, q, buildcheck_question, link);
  loop_arm (c->opts.loop, &q->limit, now_us + WAIT_US);
  if (c->pending == 0 && !c->stopped && !c->timer.armed)
    loop_arm (c->opts.loop, &c->timer, next_us (c));
  return false;
}

void
buildcheck_cancel (struct buildcheck *c, struct buildcheck_question *q)
{
  (void)c;
  if (!q->waiting)
    return;
  APR_RING_REMOVE (q, link);
  loop_disarm (&q->limit);
  q->waiting = false;
}

/* --- lifecycle ------------------------------------------------------- */

struct buildcheck *
buildcheck_new (const struct buildcheck_opts *opts)
{
  struct buildcheck *c = g_new0 (struct buildcheck, 1);

  c->opts = *opts;
  APR_RING_INIT (&c->questions, buildcheck_question, link);
  c->timer.fire = on_timer;
  c->timer.arg = c;
  return c;
}

void
buildcheck_stop (struct buildcheck *c)
{
  c->stopped = true;
  loop_disarm (&c->timer);
}

void
buildcheck_free (struct buildcheck *c)
{
  g_free (c);
}

int64_t
buildcheck_known_us (const struct buildcheck *c)
{
  return c->known_us;
}

int
buildcheck_pending_calls (const struct buildcheck *c)
{
  return c->pending;
}
