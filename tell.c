/* Telling other VMs what this one has under way at endpoints. */
#include "tell.h"

#include <stdlib.h>
#include <string.h>

#include <apr_network_io.h>
#include <apr_portable.h>

#include <xxhash.h>

#include "decide.h"
#include "log.h"
#include "met.h"

/* Changes that come together go out together: a word is 2 ms on its way, and
   reading a long prompt takes a hundred. */
#define GATHER_US (5 * CQ_US_PER_MS)
/* Between words without a change, while there is work and while there is
   none; others forget what is 1.5 s old. */
#define AGAIN_US (500 * CQ_US_PER_MS)
#define IDLE_US (2000 * CQ_US_PER_MS)
/*
 * VMs that one speaks to, so that its cost does not grow with their number:
 * those of its own failure domain first.  Where there are more, endpoints of
 * the own domain are preferred, and so few others work there; if even that
 * domain has more, each VM hears a part of it, drawn by name, and takes it for
 * all.
 */
#define LISTENERS_MAX 24
/* A VM that was not heard for so long is told only now and then: it may be
   gone for good, and nothing says so. */
#define QUIET_US (6 * CQ_US_PER_S)
#define QUIET_EVERY 8
/* Between reads of the list, the first ones soon: all VMs start together.
   Later ones only find VMs that never spoke. */
#define LIST_FIRST_US (500 * CQ_US_PER_MS)
#define LIST_MAX_US (60 * CQ_US_PER_S)
/* All VMs write their rows again after an older copy, spread over this time.
 */
#define REWRITE_US (2 * CQ_US_PER_S)
/* Reads of the list, a longest pause apart, in which a VM has not written its
   row: it has no share in duties then, and later the row is removed.  Live VMs
   write before each such read. */
#define ABSENT_READS 5
#define GONE_READS 10
/* A row that could not be written is written again after half to one and a
   half times this. */
#define WRITE_AGAIN_US (500 * CQ_US_PER_MS)
/* VMs that are known; names cost a sender nothing. */
#define VMS_MAX 4096
/* Datagrams taken in one turn of the loop. */
#define TAKE_MAX 64

/* Another VM. */
struct listener
{
  struct roster_row row; /* as listed, or as it spoke */
  apr_sockaddr_t *to;    /* its address */
  bool near;             /* in this VM's failure domain: told first */
  uint64_t rank;         /* by rendezvous with this VM: the lowest are told */
  int64_t heard_us;      /* it spoke last; 0 for never */
  int64_t listed_us;     /* it came into the list here */
  bool listed;           /* the platform listed it; else it only spoke */
  bool in_list;          /* the last list that was read holds it */
  struct roster_age age; /* of its row; with listed */
};

struct tell
{
  struct tell_opts opts;   /* as made */
  apr_pool_t *pool;        /* of sockets and addresses */
  apr_socket_t *sock;      /* bound */
  int fd;                  /* the same */
  struct loop_fd *watch;   /* in the loop */
  struct roster_row self;  /* as written */
  GPtrArray *listeners;    /* struct listener, lowest rank first */
  struct load_gossip word; /* as sent last */
  struct loop_timer say;   /* next word */
  struct loop_timer list;  /* next read of the list */
  int64_t list_pause_us;   /* after the next read */
  GRand *rand;             /* for pauses */
  bool written;            /* our own row stands */
  bool listed;             /* the list that was read holds it */
  bool outdated;           /* the write under way is of the era before */
  bool stopped;            /* tells and asks nothing more */
  int calls;               /* to the platform, under way */
};

/* --- addresses ------------------------------------------------------- */

/* APR's parser refuses port 0. */
static apr_sockaddr_t *
address_of (struct tell *t, const char *text)
{
  const char *colon = strrchr (text, ':');
  g_autofree char *host = NULL;
  apr_sockaddr_t *sa;

  if (colon == NULL)
    return NULL;
  host = g_strndup (text, (gsize)(colon - text));
  /* A name would be looked up, and hold the loop up. */
  if (!g_hostname_is_ip_address (host)
      || apr_sockaddr_info_get (&sa, host, APR_UNSPEC,
                                (apr_port_t)atoi (colon + 1), 0, t->pool)
             != APR_SUCCESS)
    return NULL;
  return sa;
}

static bool
open_socket (struct tell *t, const char *address)
{
  apr_sockaddr_t *sa = address_of (t, address);
  apr_os_sock_t fd;
  char *ip;

  if (sa == NULL
      || apr_socket_create (&t->sock, sa->family, SOCK_DGRAM, APR_PROTO_UDP,
                            t->pool)
             != APR_SUCCESS)
    return false;
  apr_socket_opt_set (t->sock, APR_SO_NONBLOCK, 1);
  if (apr_socket_bind (t->sock, sa) != APR_SUCCESS
      || apr_socket_addr_get (&sa, APR_LOCAL, t->sock) != APR_SUCCESS
      || apr_sockaddr_ip_get (&ip, sa) != APR_SUCCESS)
    return false;
  apr_os_sock_get (&fd, t->sock);
  t->fd = fd;
  g_snprintf (t->self.address, sizeof t->self.address, "%s:%d", ip, sa->port);
  return true;
}

/* --- other VMs ------------------------------------------------------- */

static int
by_rank (gconstpointer a, gconstpointer b)
{
  const struct listener *const *la = a;
  const struct listener *const *lb = b;

  if ((*la)->near != (*lb)->near)
    return (*la)->near ? -1 : 1;
  return ((*la)->rank > (*lb)->rank) - ((*la)->rank < (*lb)->rank);
}

static uint64_t
rank_of (const struct tell *t, const char *vm)
{
  return XXH3_64bits_withSeed (vm, strlen (vm),
                               XXH3_64bits (t->self.vm, strlen (t->self.vm)));
}

static struct listener *
find (const struct tell *t, const char *vm)
{
  struct listener *l;
  guint i;

  for (i = 0; i < t->listeners->len; i++)
    {
      l = t->listeners->pdata[i];
      if (strcmp (l->row.vm, vm) == 0)
        return l;
    }
  return NULL;
}

static void
scale (struct tell *t)
{
  const struct listener *l;
  int all = (int)t->listeners->len;
  int near = 0;
  guint i;

  for (i = 0; i < t->listeners->len; i++)
    {
      l = t->listeners->pdata[i];
      near += l->near;
    }
  load_scale (t->opts.book, near, MIN (near, LISTENERS_MAX),
              all > LISTENERS_MAX);
}

/* A VM is listed, or spoke from ADDRESS: one that starts again elsewhere under
   its name is told there. */
static struct listener *
note_vm (struct tell *t, const struct roster_row *row, const char *source,
         int64_t now_us)
{
  struct listener *l = find (t, row->vm);
  apr_sockaddr_t *to;

  if (strcmp (row->vm, t->self.vm) == 0
      || (l != NULL && strcmp (l->row.address, row->address) == 0))
    return l;
  if (l == NULL && t->listeners->len >= VMS_MAX)
    return NULL;
  to = address_of (t, row->address);
  if (to == NULL)
    return l;
  if (l == NULL)
    {
      l = g_new0 (struct listener, 1);
      l->rank = rank_of (t, row->vm);
      l->listed_us = now_us;
      g_ptr_array_add (t->listeners, l);
    }
  l->row = *row;
  l->to = to;
  l->near = strcmp (row->domain, t->self.domain) == 0;
  g_ptr_array_sort (t->listeners, by_rank);
  scale (t);
  log_event (LOG_LEVEL_INFO, "vm_known", "name=%s address=%s source=%s vms=%u",
             row->vm, row->address, source, t->listeners->len);
  return l;
}

static bool
is_quiet (const struct listener *l, int64_t now_us)
{
  return now_us - MAX (l->heard_us, l->listed_us) > QUIET_US;
}

/* --- words ----------------------------------------------------------- */

static void
send_word (struct tell *t, int64_t now_us)
{
  g_autoptr (GByteArray) bytes = NULL;
  const struct listener *l;
  guint i, sent = 0;

  t->opts.gather (t->opts.ctx, &t->word);
  t->word.beat++;
  load_take (t->opts.book, &t->word, now_us);
  bytes = tell_encode (&t->word);
  for (i = 0; i < t->listeners->len && sent < LISTENERS_MAX; i++)
    {
      apr_size_t len = bytes->len;

      l = t->listeners->pdata[i];
      if (is_quiet (l, now_us) && (t->word.beat + i) % QUIET_EVERY != 0)
        continue;
      /* A full buffer loses a word, as the way does. */
      apr_socket_sendto (t->sock, l->to, 0, (const char *)bytes->data, &len);
      sent++;
    }
  met_add (MET_LOADS_SENT, sent);
}

void
tell_send (struct tell *t, const GByteArray *datagram)
{
  guint i;

  for (i = 0; !t->stopped && i < MIN (t->listeners->len, LISTENERS_MAX); i++)
    {
      const struct listener *l = t->listeners->pdata[i];
      apr_size_t len = datagram->len;

      apr_socket_sendto (t->sock, l->to, 0, (const char *)datagram->data,
                         &len);
    }
}

static void
on_say (void *arg, int64_t now_us)
{
  struct tell *t = arg;

  load_expire (t->opts.book, now_us);
  send_word (t, now_us);
  loop_arm (t->opts.loop, &t->say,
            now_us + (t->word.n > 0 ? AGAIN_US : IDLE_US));
}

void
tell_changed (struct tell *t, int64_t now_us)
{
  if (t->stopped || (t->say.armed && t->say.due_us <= now_us + GATHER_US))
    return;
  loop_arm (t->opts.loop, &t->say, now_us + GATHER_US);
}

static void
hear (struct tell *t, const char *data, size_t len, const apr_sockaddr_t *from,
      int64_t now_us)
{
  struct load_gossip w;
  struct roster_row row;
  struct listener *l;
  char *ip;

  if (t->opts.other != NULL
      && t->opts.other (t->opts.other_ctx, data, len, now_us))
    return;
  if (!tell_decode (data, len, &w) || strcmp (w.vm, t->self.vm) == 0
      || apr_sockaddr_ip_get (&ip, (apr_sockaddr_t *)from) != APR_SUCCESS)
    {
      met_add (MET_LOADS_INVALID, 1);
      return;
    }
  if (!load_take (t->opts.book, &w, now_us))
    return;
  met_add (MET_LOADS_RECEIVED, 1);
  l = find (t, w.vm);
  if (l == NULL)
    {
      g_strlcpy (row.vm, w.vm, sizeof row.vm);
      g_strlcpy (row.domain, w.domain, sizeof row.domain);
      g_snprintf (row.address, sizeof row.address, "%s:%d", ip, from->port);
      l = note_vm (t, &row, "word", now_us);
    }
  if (l != NULL)
    l->heard_us = now_us;
}

static void
on_readable (void *arg, int fd, bool readable, bool writable)
{
  struct tell *t = arg;
  int64_t now = loop_now_us ();
  char buf[2048];
  apr_size_t len;
  apr_pool_t *pool;
  apr_sockaddr_t *from;
  int i;

  (void)fd;
  (void)writable;
  if (!readable || t->stopped)
    return;
  apr_pool_create (&pool, t->pool);
  apr_sockaddr_info_get (&from, NULL, APR_INET, 0, 0, pool);
  for (i = 0; i < TAKE_MAX; i++)
    {
      len = sizeof buf;
      if (apr_socket_recvfrom (from, t->sock, 0, buf, &len) != APR_SUCCESS)
        break;
      hear (t, buf, len, from, now);
    }
  apr_pool_destroy (pool);
}

/* --- the list -------------------------------------------------------- */

void
roster_read (struct roster_age *a, int64_t version, bool steady)
{
  if (version != a->version)
    a->unchanged = 0;
  else if (steady)
    a->unchanged++;
  a->version = version;
}

bool
roster_counts (const struct roster_age *a)
{
  return a->unchanged < ABSENT_READS;
}

bool
roster_is_gone (const struct roster_age *a)
{
  return a->unchanged >= GONE_READS;
}

static bool
has_duties (const struct listener *l)
{
  return l->listed && roster_counts (&l->age);
}

static void
plan_list (struct tell *t, int64_t now_us)
{
  loop_arm (t->opts.loop, &t->list,
            now_us + t->list_pause_us / 2
                + g_rand_int_range (t->rand, 0, (gint32)t->list_pause_us));
  t->list_pause_us = MIN (2 * t->list_pause_us, LIST_MAX_US);
}

static void
take_listed (struct tell *t, const struct roster_row *row, int64_t now_us)
{
  struct listener *l = note_vm (t, row, "list", now_us);

  if (l != NULL)
    {
      l->listed = true;
      l->in_list = true;
      roster_read (&l->age, row->version, t->list_pause_us == LIST_MAX_US);
    }
  t->listed |= strcmp (row->vm, t->self.vm) == 0;
}

/* Whoever comes first for a row removes it, so that not all VMs do. */
static void
remove_row (struct tell *t, const struct listener *l)
{
  const struct roster_ops *o = &t->opts.ops;
  uint64_t key = XXH3_64bits (l->row.vm, strlen (l->row.vm));

  log_event (LOG_LEVEL_INFO, "vm_gone",
             "name=%s unchanged=%d version=%" G_GINT64_FORMAT, l->row.vm,
             l->age.unchanged, (gint64)l->age.version);
  if (tell_is_first (t, key))
    o->remove (o->ctx, l->row.vm, l->age.version);
}

/* What the list that was read says of VMs that are gone. */
static void
take_absent (struct tell *t)
{
  struct listener *l;
  int i;

  for (i = (int)t->listeners->len - 1; i >= 0; i--)
    {
      l = t->listeners->pdata[i];
      if (!l->listed)
        continue;
      if (!l->in_list)
        roster_read (&l->age, l->age.version, true);
      if (!roster_is_gone (&l->age))
        continue;
      if (l->in_list)
        remove_row (t, l);
      else
        g_ptr_array_remove_index (t->listeners, (guint)i);
    }
}

/* VMs that share the rates of endpoints. */
static int
count_listed (const struct tell *t)
{
  const struct listener *l;
  int n = t->listed;
  guint i;

  for (i = 0; i < t->listeners->len; i++)
    {
      l = t->listeners->pdata[i];
      n += has_duties (l);
    }
  return n;
}

static void
on_list (void *arg, const GArray *list)
{
  struct tell *t = arg;
  int64_t now = loop_now_us ();
  int before = count_listed (t);
  guint i;

  t->calls--;
  if (t->stopped)
    return;
  for (i = 0; i < t->listeners->len; i++)
    ((struct listener *)t->listeners->pdata[i])->in_list = false;
  for (i = 0; list != NULL && i < list->len; i++)
    take_listed (t, &g_array_index (list, struct roster_row, i), now);
  if (list != NULL)
    take_absent (t);
  if (count_listed (t) != before)
    log_event (LOG_LEVEL_INFO, "vms_listed", "vms=%d before=%d self=%s",
               count_listed (t), before, t->listed ? "yes" : "no");
  plan_list (t, now);
  tell_changed (t, now);
}

static void
read_list (struct tell *t)
{
  t->calls++;
  t->opts.ops.read (t->opts.ops.ctx, on_list, t);
}

static void
on_written (void *arg, bool written)
{
  struct tell *t = arg;
  gint32 again = (gint32)WRITE_AGAIN_US;

  t->calls--;
  t->written = written && !t->outdated;
  t->outdated = false;
  if (t->stopped)
    return;
  if (t->written)
    read_list (t);
  else
    loop_arm (t->opts.loop, &t->list,
              loop_now_us () + again / 2
                  + g_rand_int_range (t->rand, 0, again));
}

static void
write_row (struct tell *t)
{
  t->calls++;
  t->opts.ops.write (t->opts.ops.ctx, &t->self, on_written, t);
}

/* At the longest pause the row is written again, which tells that this VM
   lives. */
static void
on_list_due (void *arg, int64_t now_us)
{
  struct tell *t = arg;

  (void)now_us;
  if (t->written && t->list_pause_us < LIST_MAX_US)
    read_list (t);
  else
    write_row (t);
}

void
tell_older_copy (struct tell *t, int64_t now_us)
{
  t->written = false;
  t->outdated = t->calls > 0;
  t->list_pause_us = REWRITE_US;
  if (!t->stopped && t->calls == 0)
    plan_list (t, now_us);
}

/* --- duties by rendezvous -------------------------------------------- */

static uint64_t
score (const char *vm, uint64_t key)
{
  return XXH3_64bits_withSeed (vm, strlen (vm), key);
}

/* Listed VMs that come before this one for KEY.  A VM that only spoke does not
   count: whoever sends datagrams could take duties away. */
static int
rank_for (const struct tell *t, uint64_t key)
{
  uint64_t own = score (t->self.vm, key);
  const struct listener *l;
  int rank = 0;
  guint i;

  for (i = 0; i < t->listeners->len; i++)
    {
      l = t->listeners->pdata[i];
      rank += has_duties (l) && score (l->row.vm, key) > own;
    }
  return rank;
}

int
tell_cold_part (const struct tell *t, uint64_t endpoint, int rate)
{
  if (!t->listed)
    return 0;
  return cold_part (rate, count_listed (t), rank_for (t, endpoint));
}

int64_t
tell_limit_gap (const struct tell *t, uint64_t endpoint, int64_t milli,
                int64_t clock_ms)
{
  int vms = count_listed (t);
  uint64_t turn = 0;

  if (!t->listed)
    return LIMIT_LOOK_US;
  if (limit_takes_turns (milli, vms))
    {
      if (limit_is_between (clock_ms))
        return 0;
      turn = limit_turn (clock_ms);
    }
  endpoint = XXH3_64bits_withSeed (&endpoint, sizeof endpoint, turn);
  return limit_gap_us (milli, vms, rank_for (t, endpoint));
}

bool
tell_is_among (const struct tell *t, uint64_t key, int places)
{
  return !t->listed || rank_for (t, key) < places;
}

bool
tell_is_first (const struct tell *t, uint64_t key)
{
  return t->listed && rank_for (t, key) == 0;
}

/* --- life ------------------------------------------------------------ */

struct tell *
tell_new (const struct tell_opts *opts)
{
  struct tell *t = g_new0 (struct tell, 1);

  t->opts = *opts;
  t->rand = g_rand_new_with_seed ((guint32)opts->seed);
  apr_pool_create (&t->pool, NULL);
  t->listeners = g_ptr_array_new_with_free_func (g_free);
  g_strlcpy (t->self.vm, opts->vm, sizeof t->self.vm);
  g_strlcpy (t->self.domain, opts->domain, sizeof t->self.domain);
  g_strlcpy (t->word.vm, opts->vm, sizeof t->word.vm);
  g_strlcpy (t->word.domain, opts->domain, sizeof t->word.domain);
  t->word.life = (uint64_t)g_get_real_time ();
  t->say.fire = on_say;
  t->say.arg = t;
  t->list.fire = on_list_due;
  t->list.arg = t;
  t->list_pause_us = LIST_FIRST_US;
  if (!open_socket (t, opts->listen))
    {
      tell_free (t);
      return NULL;
    }
  t->watch = loop_add_fd (opts->loop, t->fd, on_readable, t);
  loop_watch (opts->loop, t->watch, true, false);
  log_event (LOG_LEVEL_INFO, "tell_listen",
             "address=%s life=%" G_GUINT64_FORMAT, t->self.address,
             (guint64)t->word.life);
  plan_list (t, loop_now_us ());
  return t;
}

void
tell_stop (struct tell *t)
{
  t->stopped = true;
  loop_disarm (&t->say);
  loop_disarm (&t->list);
}

int
tell_waiting (const struct tell *t)
{
  return t->calls;
}

void
tell_free (struct tell *t)
{
  if (t->watch != NULL)
    loop_remove_fd (t->opts.loop, t->watch);
  g_ptr_array_unref (t->listeners);
  g_rand_free (t->rand);
  /* Closes the socket too. */
  apr_pool_destroy (t->pool);
  g_free (t);
}
