/* Gossip of load between VMs, and the roster of VMs. */
#include "loadgossip.h"

#include <stdlib.h>
#include <string.h>

#include <apr_network_io.h>
#include <apr_portable.h>

#include <xxhash.h>

#include "decide.h"
#include "log.h"
#include "met.h"

/* Delay before a change is sent, so that changes close together share one
   message.  A message takes 2 ms to arrive, and the prefill of a long prompt
   takes 100 ms. */
#define SEND_DELAY_US (5 * CQ_US_PER_MS)
/* Interval between messages without a change, while there is work and while
   there is none.  Receivers discard load that is older than 1.5 s. */
#define RESEND_US (500 * CQ_US_PER_MS)
#define IDLE_RESEND_US (2000 * CQ_US_PER_MS)
/*
 * VMs that a VM sends its messages to, so that its cost does not grow with
 * their number; those of its own failure domain come first.  Where there are
 * more VMs than this, endpoints of the own domain are preferred, so VMs of
 * other domains have little work there.  If the domain itself has more VMs
 * than this, each VM receives messages of a part of them, selected by a hash
 * of the names, and extrapolates from these.
 */
#define RECIPIENTS_MAX 24
/* A VM that has been silent for this long gets only every SILENT_SEND_EVERY-th
   message: it may no longer exist, and nothing reports that. */
#define SILENT_US (6 * CQ_US_PER_S)
#define SILENT_SEND_EVERY 8
/* Pause between reads of the roster, doubled up to the longest.  The first
   reads follow soon, since all VMs start together; later ones only find VMs
   that never sent a message. */
#define LIST_PAUSE_FIRST_US (500 * CQ_US_PER_MS)
#define LIST_PAUSE_MAX_US (60 * CQ_US_PER_S)
/* Shortest interval of reads because of VMs that the roster lacked. */
#define UNLISTED_READ_INTERVAL_US (250 * CQ_US_PER_MS)
/* After the store was restored from an older copy all VMs write their rows
   again; their writes are spread over this time. */
#define RESTORE_SPREAD_US (2 * CQ_US_PER_S)
/* Consecutive reads of the roster, the longest pause apart, in which a VM has
   not written its row.  After the first number the VM is left out when work
   and rates are divided; after the second its row is removed.  Live VMs write
   before each such read. */
#define INACTIVE_READS 5
#define EXPIRED_READS 10
/* A failed write of the row is retried after 0.5 to 1.5 times this. */
#define WRITE_RETRY_US (500 * CQ_US_PER_MS)
/* Limit of known VMs: anybody can send datagrams with any number of invented
   names. */
#define VMS_MAX 4096
#define RANKED_MAX 16 /* VMs that one datagram is sent to by their rank */
/* Datagrams received in one iteration of the event loop. */
#define DATAGRAMS_PER_TURN 64

/* Another VM. */
struct peer
{
  struct roster_row row; /* as listed, or from its first message */
  apr_sockaddr_t *to;    /* its address */
  bool near;             /* in this VM's failure domain: gets messages first */
  uint64_t rank; /* rendezvous hash with this VM; the lowest get messages */
  int64_t received_us;   /* time of its last message; 0 for never */
  int64_t listed_us;     /* when this VM added it */
  bool listed;           /* in the roster once; else messages only */
  bool in_list;          /* it is in the roster that was read last */
  struct roster_age age; /* of its row; valid if listed */
};

struct loadgossip
{
  struct loadgossip_opts opts;  /* as made */
  apr_pool_t *pool;             /* of sockets and addresses */
  apr_socket_t *sock;           /* bound */
  int fd;                       /* its descriptor */
  struct loop_fd *watch;        /* registration with the loop */
  struct roster_row self;       /* this VM's row, as written */
  GPtrArray *peers;             /* struct peer, sorted by_rank */
  GHashTable *by_name;          /* VM's name to struct peer */
  struct load_gossip message;   /* sent last */
  const apr_sockaddr_t *sender; /* of the datagram that is being handled */
  struct loop_timer send_timer; /* sends the next message */
  struct loop_timer list;       /* starts the next read of the roster */
  int64_t list_pause_us;        /* after the next read */
  GRand *rand;                  /* for pauses */
  bool written;                 /* this VM's row is on the platform */
  bool listed;                  /* it is in a roster that was read */
  int64_t listed_us;        /* when the roster was read last; 0 for never */
  int64_t unlisted_read_us; /* last read because of VMs that it lacked */
  int64_t own_version;      /* of this VM's row in that roster */
  bool write_outdated;      /* the write in progress began before the store was
                               restored */
  bool stopped;             /* sends no messages and starts no calls */
  int calls;                /* to the platform, in progress */
};

/* --- addresses ------------------------------------------------------- */

/* APR's own parser of addresses rejects port 0. */
static apr_sockaddr_t *
address_of (struct loadgossip *t, const char *text)
{
  const char *colon = strrchr (text, ':');
  g_autofree char *host = NULL;
  apr_sockaddr_t *sa;

  if (colon == NULL)
    return NULL;
  host = g_strndup (text, (gsize)(colon - text));
  /* A host name would need a DNS lookup, which blocks the loop. */
  if (!g_hostname_is_ip_address (host)
      || apr_sockaddr_info_get (&sa, host, APR_UNSPEC,
                                (apr_port_t)atoi (colon + 1), 0, t->pool)
             != APR_SUCCESS)
    return NULL;
  return sa;
}

static bool
open_socket (struct loadgossip *t, const char *address)
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
  const struct peer *const *la = a;
  const struct peer *const *lb = b;

  if ((*la)->near != (*lb)->near)
    return (*la)->near ? -1 : 1;
  return ((*la)->rank > (*lb)->rank) - ((*la)->rank < (*lb)->rank);
}

static uint64_t
peer_rank (const struct loadgossip *t, const char *vm)
{
  return XXH3_64bits_withSeed (vm, strlen (vm),
                               XXH3_64bits (t->self.vm, strlen (t->self.vm)));
}

static struct peer *
find_peer (const struct loadgossip *t, const char *vm)
{
  return g_hash_table_lookup (t->by_name, vm);
}

static void
update_load_scale (struct loadgossip *t)
{
  const struct peer *l;
  int all = (int)t->peers->len;
  int near = 0;
  guint i;

  for (i = 0; i < t->peers->len; i++)
    {
      l = t->peers->pdata[i];
      near += l->near;
    }
  load_scale (t->opts.load_table, near, MIN (near, RECIPIENTS_MAX),
              all > RECIPIENTS_MAX);
}

/* VMs were added or have changed. */
static void
sort_peers (struct loadgossip *t)
{
  g_ptr_array_sort (t->peers, by_rank);
  update_load_scale (t);
}

/* Add the VM of ROW, which is listed or sent a message; sort_peers must
   follow. If it is known under another address, it has restarted there, and
   messages go to the new address. */
static struct peer *
add_peer (struct loadgossip *t, const struct roster_row *row,
          const char *source, int64_t now_us)
{
  struct peer *l = find_peer (t, row->vm);
  apr_sockaddr_t *to;

  if (strcmp (row->vm, t->self.vm) == 0)
    return l;
  if (l != NULL && strcmp (l->row.address, row->address) == 0)
    {
      if (row->list_address[0] != '\0')
        l->row = *row;
      return l;
    }
  if (l == NULL && t->peers->len >= VMS_MAX)
    return NULL;
  to = address_of (t, row->address);
  if (to == NULL)
    return l;
  if (l == NULL)
    {
      l = g_new0 (struct peer, 1);
      l->rank = peer_rank (t, row->vm);
      l->listed_us = now_us;
      g_strlcpy (l->row.vm, row->vm, sizeof l->row.vm);
      g_ptr_array_add (t->peers, l);
      g_hash_table_insert (t->by_name, l->row.vm, l);
    }
  l->row = *row;
  l->to = to;
  l->near = strcmp (row->domain, t->self.domain) == 0;
  log_event (LOG_LEVEL_INFO, "vm_known", "name=%s address=%s source=%s vms=%u",
             row->vm, row->address, source, t->peers->len);
  return l;
}

static bool
is_silent (const struct peer *l, int64_t now_us)
{
  return now_us - MAX (l->received_us, l->listed_us) > SILENT_US;
}

/* --- messages -------------------------------------------------------- */

static const uint8_t *
seal_key (const struct loadgossip *t)
{
  return t->opts.seal_key (t->opts.reports_ctx);
}

/* Returns the message as it is sent. */
static GByteArray *
encode_message (struct loadgossip *t, int64_t now_us)
{
  struct load_gossip *w = &t->message;

  if (t->opts.observe == NULL)
    return loadgossip_encode (w);
  w->nreports = observe_collect (t->opts.observe, w->reports,
                                 loadgossip_report_room (w), now_us);
  return loadgossip_seal (w, seal_key (t));
}

static void
send_load (struct loadgossip *t, int64_t now_us)
{
  g_autoptr (GByteArray) bytes = NULL;
  const struct peer *l;
  guint i, sent = 0;

  t->opts.collect_load (t->opts.ctx, &t->message);
  t->message.seq++;
  load_update (t->opts.load_table, &t->message, now_us);
  bytes = encode_message (t, now_us);
  for (i = 0; i < t->peers->len && sent < RECIPIENTS_MAX; i++)
    {
      apr_size_t len = bytes->len;

      l = t->peers->pdata[i];
      if (is_silent (l, now_us)
          && (t->message.seq + i) % SILENT_SEND_EVERY != 0)
        continue;
      /* A full socket buffer loses the message, as the network may. */
      apr_socket_sendto (t->sock, l->to, 0, (const char *)bytes->data, &len);
      sent++;
    }
  met_add (MET_LOADS_SENT, sent);
  met_add (MET_REPORTS_SENT, (int64_t)sent * t->message.nreports);
}

void
loadgossip_send (struct loadgossip *t, const GByteArray *datagram)
{
  guint i;

  for (i = 0; !t->stopped && i < MIN (t->peers->len, RECIPIENTS_MAX); i++)
    {
      const struct peer *l = t->peers->pdata[i];
      apr_size_t len = datagram->len;

      apr_socket_sendto (t->sock, l->to, 0, (const char *)datagram->data,
                         &len);
    }
}

/* Whether messages can be sent now. */
static bool
may_send (const struct loadgossip *t)
{
  return t->opts.observe == NULL || seal_key (t) != NULL;
}

/* Time of the next message without a change. */
static int64_t
resend_us (const struct loadgossip *t, int64_t now_us)
{
  int64_t due = now_us;

  due += t->message.nentries > 0 || !may_send (t) ? RESEND_US : IDLE_RESEND_US;
  return t->opts.observe != NULL && may_send (t)
             ? MIN (due, observe_due_us (t->opts.observe))
             : due;
}

static void
on_send_timer (void *arg, int64_t now_us)
{
  struct loadgossip *t = arg;

  load_expire (t->opts.load_table, now_us);
  if (may_send (t))
    send_load (t, now_us);
  loop_arm (t->opts.loop, &t->send_timer, resend_us (t, now_us));
}

static void
send_at (struct loadgossip *t, int64_t due_us)
{
  if (t->stopped || (t->send_timer.armed && t->send_timer.due_us <= due_us))
    return;
  loop_arm (t->opts.loop, &t->send_timer, due_us);
}

void
loadgossip_load_changed (struct loadgossip *t, int64_t now_us)
{
  int64_t due = now_us + SEND_DELAY_US;

  if (!may_send (t))
    due = now_us + RESEND_US;
  else if (t->opts.observe != NULL)
    due = MAX (due, observe_earliest_us (t->opts.observe));
  send_at (t, due);
}

void
loadgossip_observed (struct loadgossip *t, int64_t now_us)
{
  if (t->opts.observe != NULL && may_send (t))
    send_at (t, MAX (now_us, observe_due_us (t->opts.observe)));
}

static bool
decode_message (const struct loadgossip *t, const char *data, size_t len,
                struct load_gossip *w)
{
  if (t->opts.observe == NULL)
    return loadgossip_decode (data, len, w);
  return seal_key (t) != NULL
         && loadgossip_open ((const uint8_t *)data, len, seal_key (t), w);
}

static void
apply_reports (struct loadgossip *t, const struct load_gossip *w,
               int64_t now_us)
{
  if (w->nreports == 0)
    return;
  met_add (MET_REPORTS_RECEIVED, w->nreports);
  t->opts.on_reports (t->opts.reports_ctx, w,
                      strcmp (w->domain, t->self.domain) == 0, now_us);
}

static void
receive (struct loadgossip *t, const char *data, size_t len,
         const apr_sockaddr_t *from, int64_t now_us)
{
  struct load_gossip w;
  struct roster_row row = { .version = 0 };
  struct peer *l;
  char *ip;

  t->sender = from;
  if (t->opts.on_other_datagram != NULL
      && t->opts.on_other_datagram (t->opts.on_other_ctx, data, len, now_us))
    return;
  if (!decode_message (t, data, len, &w) || strcmp (w.vm, t->self.vm) == 0
      || apr_sockaddr_ip_get (&ip, (apr_sockaddr_t *)from) != APR_SUCCESS)
    {
      met_add (MET_LOADS_INVALID, 1);
      return;
    }
  if (!load_update (t->opts.load_table, &w, now_us))
    return;
  met_add (MET_LOADS_RECEIVED, 1);
  apply_reports (t, &w, now_us);
  l = find_peer (t, w.vm);
  if (l == NULL)
    {
      g_strlcpy (row.vm, w.vm, sizeof row.vm);
      g_strlcpy (row.domain, w.domain, sizeof row.domain);
      g_snprintf (row.address, sizeof row.address, "%s:%d", ip, from->port);
      l = add_peer (t, &row, "word", now_us);
      sort_peers (t);
    }
  if (l != NULL)
    l->received_us = now_us;
}

static void
on_readable (void *arg, int fd, bool readable, bool writable)
{
  struct loadgossip *t = arg;
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
  for (i = 0; i < DATAGRAMS_PER_TURN; i++)
    {
      len = sizeof buf;
      if (apr_socket_recvfrom (from, t->sock, 0, buf, &len) != APR_SUCCESS)
        break;
      receive (t, buf, len, from, now);
    }
  apr_pool_destroy (pool);
}

/* --- the roster ------------------------------------------------------ */

void
roster_note_version (struct roster_age *a, int64_t version, bool steady)
{
  if (version != a->version)
    a->unchanged = 0;
  else if (steady)
    a->unchanged++;
  a->version = version;
}

bool
roster_is_active (const struct roster_age *a)
{
  return a->unchanged < INACTIVE_READS;
}

bool
roster_is_expired (const struct roster_age *a)
{
  return a->unchanged >= EXPIRED_READS;
}

static bool
is_active_peer (const struct peer *l)
{
  return l->listed && roster_is_active (&l->age);
}

static void
schedule_list_read (struct loadgossip *t, int64_t now_us)
{
  loop_arm (t->opts.loop, &t->list,
            now_us + t->list_pause_us / 2
                + g_rand_int_range (t->rand, 0, (gint32)t->list_pause_us));
  t->list_pause_us = MIN (2 * t->list_pause_us, LIST_PAUSE_MAX_US);
}

static void
handle_listed_row (struct loadgossip *t, const struct roster_row *row,
                   int64_t now_us)
{
  struct peer *l = add_peer (t, row, "list", now_us);

  if (l != NULL)
    {
      l->listed = true;
      l->in_list = true;
      roster_note_version (&l->age, row->version,
                           t->list_pause_us == LIST_PAUSE_MAX_US);
    }
  if (strcmp (row->vm, t->self.vm) == 0)
    {
      t->listed = true;
      t->own_version = row->version;
    }
}

/* Only the VM that ranks first for the row removes it, so that not all VMs
   do. */
static void
remove_row (struct loadgossip *t, const struct peer *l)
{
  const struct roster_ops *o = &t->opts.ops;
  uint64_t key = XXH3_64bits (l->row.vm, strlen (l->row.vm));

  log_event (LOG_LEVEL_INFO, "vm_gone",
             "name=%s unchanged=%d version=%" G_GINT64_FORMAT, l->row.vm,
             l->age.unchanged, (gint64)l->age.version);
  if (loadgossip_ranks_first (t, key))
    o->remove (o->ctx, l->row.vm, l->age.version);
}

static void
remove_peer (struct loadgossip *t, int i)
{
  const struct peer *l = t->peers->pdata[i];

  g_hash_table_remove (t->by_name, l->row.vm);
  g_ptr_array_remove_index (t->peers, (guint)i);
}

/* Age the rows that the last read did not return, and remove expired ones. */
static void
expire_rows (struct loadgossip *t)
{
  struct peer *l;
  int i;

  for (i = (int)t->peers->len - 1; i >= 0; i--)
    {
      l = t->peers->pdata[i];
      if (!l->listed)
        continue;
      if (!l->in_list)
        roster_note_version (&l->age, l->age.version, true);
      if (!roster_is_expired (&l->age))
        continue;
      if (l->in_list)
        remove_row (t, l);
      else
        remove_peer (t, i);
    }
}

/* VMs that the rates of endpoints are divided among. */
static int
count_active (const struct loadgossip *t)
{
  const struct peer *l;
  int n = t->listed;
  guint i;

  for (i = 0; i < t->peers->len; i++)
    {
      l = t->peers->pdata[i];
      n += is_active_peer (l);
    }
  return n;
}

static void
on_roster (void *arg, const GArray *list)
{
  struct loadgossip *t = arg;
  int64_t now = loop_now_us ();
  int before = count_active (t);
  guint i;

  t->calls--;
  if (t->stopped)
    return;
  for (i = 0; i < t->peers->len; i++)
    ((struct peer *)t->peers->pdata[i])->in_list = false;
  for (i = 0; list != NULL && i < list->len; i++)
    handle_listed_row (t, &g_array_index (list, struct roster_row, i), now);
  if (list != NULL)
    {
      sort_peers (t);
      expire_rows (t);
      t->listed_us = now;
    }
  if (count_active (t) != before)
    log_event (LOG_LEVEL_INFO, "vms_listed", "vms=%d before=%d self=%s",
               count_active (t), before, t->listed ? "yes" : "no");
  schedule_list_read (t, now);
  loadgossip_load_changed (t, now);
}

static void
read_roster (struct loadgossip *t)
{
  t->calls++;
  t->opts.ops.read (t->opts.ops.ctx, on_roster, t);
}

static void
on_written (void *arg, bool written)
{
  struct loadgossip *t = arg;
  gint32 again = (gint32)WRITE_RETRY_US;

  t->calls--;
  t->written = written && !t->write_outdated;
  t->write_outdated = false;
  if (t->stopped)
    return;
  if (t->written)
    read_roster (t);
  else
    loop_arm (t->opts.loop, &t->list,
              loop_now_us () + again / 2
                  + g_rand_int_range (t->rand, 0, again));
}

static void
write_row (struct loadgossip *t)
{
  t->calls++;
  t->opts.ops.write (t->opts.ops.ctx, &t->self, on_written, t);
}

/* Once the pause has reached its maximum, the row is written before each read,
   as a heartbeat of this VM. */
static void
on_list_timer (void *arg, int64_t now_us)
{
  struct loadgossip *t = arg;

  (void)now_us;
  if (t->written && t->list_pause_us < LIST_PAUSE_MAX_US)
    read_roster (t);
  else
    write_row (t);
}

static bool
has_unlisted_peer (const struct loadgossip *t, int64_t now_us)
{
  const struct peer *l;
  guint i;

  for (i = 0; i < t->peers->len; i++)
    {
      l = t->peers->pdata[i];
      if (!l->listed && !is_silent (l, now_us))
        return true;
    }
  return false;
}

/* The scheduled reads go on at their pace. */
void
loadgossip_read_unlisted (struct loadgossip *t, int64_t now_us)
{
  if (t->stopped || t->calls > 0 || !t->written
      || now_us - t->unlisted_read_us < UNLISTED_READ_INTERVAL_US
      || !has_unlisted_peer (t, now_us))
    return;
  t->unlisted_read_us = now_us;
  t->list_pause_us = MAX (t->list_pause_us / 2, LIST_PAUSE_FIRST_US);
  read_roster (t);
}

void
loadgossip_store_restored (struct loadgossip *t, int64_t now_us)
{
  t->written = false;
  t->write_outdated = t->calls > 0;
  t->list_pause_us = RESTORE_SPREAD_US;
  if (!t->stopped && t->calls == 0)
    schedule_list_read (t, now_us);
}

/* --- rendezvous hashing ---------------------------------------------- */

static uint64_t
rendezvous_score (const char *vm, uint64_t key)
{
  return XXH3_64bits_withSeed (vm, strlen (vm), key);
}

/* Number of listed VMs that rank before this one for KEY.  A VM that only sent
   messages does not count: otherwise anybody who can send datagrams could take
   work and rates away from listed VMs. */
static int
own_rank (const struct loadgossip *t, uint64_t key)
{
  uint64_t own = rendezvous_score (t->self.vm, key);
  const struct peer *l;
  int rank = 0;
  guint i;

  for (i = 0; i < t->peers->len; i++)
    {
      l = t->peers->pdata[i];
      rank += is_active_peer (l) && rendezvous_score (l->row.vm, key) > own;
    }
  return rank;
}

int
loadgossip_cold_share (const struct loadgossip *t, uint64_t endpoint, int rate)
{
  if (!t->listed)
    return 0;
  return cold_share (rate, count_active (t), own_rank (t, endpoint));
}

int64_t
loadgossip_limit_interval (const struct loadgossip *t, uint64_t endpoint,
                           int64_t milli, int64_t clock_ms)
{
  int vms = count_active (t);
  uint64_t turn = 0;

  if (!t->listed)
    return LIMIT_PROBE_INTERVAL_US;
  if (limit_is_rotated (milli, vms))
    {
      if (limit_is_rotation_pause (clock_ms))
        return 0;
      turn = limit_rotation (clock_ms);
    }
  endpoint = XXH3_64bits_withSeed (&endpoint, sizeof endpoint, turn);
  return limit_interval_us (milli, vms, own_rank (t, endpoint));
}

int
loadgossip_rank (const struct loadgossip *t, uint64_t key, int *vms)
{
  *vms = t->listed ? count_active (t) : 0;
  return own_rank (t, key);
}

bool
loadgossip_is_listed (const struct loadgossip *t)
{
  return t->listed;
}

bool
loadgossip_ranks_within (const struct loadgossip *t, uint64_t key, int places)
{
  return !t->listed || own_rank (t, key) < places;
}

bool
loadgossip_ranks_first (const struct loadgossip *t, uint64_t key)
{
  return t->listed && own_rank (t, key) == 0;
}

/* Fills PEERS with the first PLACES active VMs other than this one, best
   first; returns their number. */
static int
first_ranked (const struct loadgossip *t, uint64_t key, int places,
              const struct peer **peers)
{
  uint64_t score, scores[RANKED_MAX] = { 0 };
  const struct peer *l;
  int at, n = 0;
  guint i;

  for (i = 0; i < t->peers->len; i++)
    {
      l = t->peers->pdata[i];
      if (!is_active_peer (l))
        continue;
      score = rendezvous_score (l->row.vm, key);
      if (n < places)
        n++;
      else if (n == 0 || score <= scores[n - 1])
        continue;
      for (at = n - 1; at > 0 && scores[at - 1] < score; at--)
        {
          scores[at] = scores[at - 1];
          peers[at] = peers[at - 1];
        }
      scores[at] = score;
      peers[at] = l;
    }
  return n;
}

static bool
fill_mirror_peer (const struct peer *l, bool near, struct mirror_peer *p)
{
  if ((near && !l->near) || l->row.list_address[0] == '\0')
    return false;
  g_strlcpy (p->vm, l->row.vm, sizeof p->vm);
  g_strlcpy (p->address, l->row.list_address, sizeof p->address);
  p->link_mbit_s = l->row.link_mbit_s;
  return true;
}

bool
loadgossip_choose_ranked (const struct loadgossip *t, uint64_t key, int places,
                          bool near, uint64_t random, struct mirror_peer *vm)
{
  const struct peer *peers[RANKED_MAX];
  int i, n = first_ranked (t, key, MIN (places, RANKED_MAX), peers);

  for (i = 0; i < n; i++)
    if (fill_mirror_peer (peers[(random + (uint64_t)i) % (uint64_t)n], near,
                          vm))
      return true;
  return false;
}

static void
send_to (struct loadgossip *t, const apr_sockaddr_t *to,
         const GByteArray *datagram)
{
  apr_size_t len = datagram->len;

  apr_socket_sendto (t->sock, (apr_sockaddr_t *)to, 0,
                     (const char *)datagram->data, &len);
}

int
loadgossip_send_ranked (struct loadgossip *t, uint64_t key, int places,
                        const GByteArray *datagram)
{
  const struct peer *peers[RANKED_MAX];
  int i, n;

  if (t->stopped)
    return 0;
  n = first_ranked (t, key, MIN (places, RANKED_MAX), peers);
  for (i = 0; i < n; i++)
    send_to (t, peers[i]->to, datagram);
  return n;
}

void
loadgossip_reply (struct loadgossip *t, const GByteArray *datagram)
{
  if (!t->stopped)
    send_to (t, t->sender, datagram);
}

/* --- lists for other VMs --------------------------------------------- */

bool
loadgossip_list_peers (const struct loadgossip *t, bool near, GArray *peers)
{
  const struct peer *l;
  struct mirror_peer p;
  guint i;

  for (i = 0; t->listed && i < t->peers->len; i++)
    {
      l = t->peers->pdata[i];
      if (is_active_peer (l) && fill_mirror_peer (l, near, &p))
        g_array_append_val (peers, p);
    }
  return t->listed;
}

int64_t
loadgossip_list_roster (const struct loadgossip *t, GArray *rows)
{
  const struct peer *l;
  struct roster_row own = t->self;
  guint i;

  for (i = 0; t->listed && i < t->peers->len; i++)
    {
      l = t->peers->pdata[i];
      if (l->in_list)
        g_array_append_val (rows, l->row);
    }
  own.version = t->own_version;
  if (t->listed)
    g_array_append_val (rows, own);
  return t->listed ? t->listed_us : 0;
}

/* --- lifecycle ------------------------------------------------------- */

struct loadgossip *
loadgossip_new (const struct loadgossip_opts *opts)
{
  struct loadgossip *t = g_new0 (struct loadgossip, 1);

  t->opts = *opts;
  t->rand = g_rand_new_with_seed ((guint32)opts->seed);
  apr_pool_create (&t->pool, NULL);
  t->peers = g_ptr_array_new_with_free_func (g_free);
  t->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  g_strlcpy (t->self.vm, opts->vm, sizeof t->self.vm);
  g_strlcpy (t->self.domain, opts->domain, sizeof t->self.domain);
  g_strlcpy (t->self.list_address,
             opts->list_address != NULL ? opts->list_address : "",
             sizeof t->self.list_address);
  t->self.link_mbit_s = opts->link_mbit_s;
  g_strlcpy (t->message.vm, opts->vm, sizeof t->message.vm);
  g_strlcpy (t->message.domain, opts->domain, sizeof t->message.domain);
  t->message.incarnation = (uint64_t)g_get_real_time ();
  t->send_timer.fire = on_send_timer;
  t->send_timer.arg = t;
  t->list.fire = on_list_timer;
  t->list.arg = t;
  t->list_pause_us = LIST_PAUSE_FIRST_US;
  if (!open_socket (t, opts->listen))
    {
      loadgossip_free (t);
      return NULL;
    }
  t->watch = loop_add_fd (opts->loop, t->fd, on_readable, t);
  loop_watch (opts->loop, t->watch, true, false);
  log_event (LOG_LEVEL_INFO, "tell_listen",
             "address=%s life=%" G_GUINT64_FORMAT, t->self.address,
             (guint64)t->message.incarnation);
  schedule_list_read (t, loop_now_us ());
  return t;
}

void
loadgossip_stop (struct loadgossip *t)
{
  t->stopped = true;
  loop_disarm (&t->send_timer);
  loop_disarm (&t->list);
}

int
loadgossip_pending_calls (const struct loadgossip *t)
{
  return t->calls;
}

void
loadgossip_free (struct loadgossip *t)
{
  if (t->watch != NULL)
    loop_remove_fd (t->opts.loop, t->watch);
  g_hash_table_destroy (t->by_name);
  g_ptr_array_unref (t->peers);
  g_rand_free (t->rand);
  /* Also closes the socket. */
  apr_pool_destroy (t->pool);
  g_free (t);
}
