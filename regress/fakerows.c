/*
 * Stand-in for the metadata store of the users' platform: rows with versions,
 * conditional transactions, long polls for changes.
 *
 *   PUT /row/TABLE/KEY, DELETE /row/TABLE/KEY: what an operator or an endpoint
 *   writes (its value as the plain body)
 *
 *   PUT /view/NAME is answered with the port of a view: the same store, in
 *   which each server's address is that of a link to it
 *
 *   PUT /cut/NAME/MODE, for all links of a view: 0 bytes pass; 1 connections
 *   are refused, open ones reset; 2 connections hang, open ones pass nothing
 *
 *   turn_away    HTTP status for all calls
 *   silent       no call is answered
 *   lost_NAME    calls of this view are lost, also polls under way: no answer,
 *                also not later
 *   slow_ms      time each call takes
 *   lose         so many transactions are done and not answered
 *   compact      so many polls are told that the history is gone
 *   lost_table   polls of this table are told so
 *   keep_copy    keep what there is now
 *   older_copy   come back with what was kept, in the next era
 *   era          as all answers say it
 *   deaf         polls see no changes
 *   page_rows    rows of an answer, 500 unless said
 *   GET /stats   how many calls it had, and how many rows it sent
 *   kb_s         kilobytes of an answer that leave in a second, 0 for all
 *   halt_kb      kilobytes of such an answer after which no more leave
 *   odd_row      JSON text that stands before the rows of each page and each
 *                answer to a poll, as it is: jansson could not write it
 */
#include "fake.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct row
{
  char *table;     /* its table */
  char *key;       /* its key */
  char *value;     /* plain, NULL once removed */
  size_t len;      /* bytes of it */
  int64_t version; /* of its last change */
};

static GMutex lock;
static GCond changed;
static GPtrArray *rows;
static int64_t newest;
static int64_t calls, sent; /* answered calls, and rows sent in them */
static GPtrArray *kept;     /* rows of the copy */
static int64_t kept_newest;

/* --- links to servers ------------------------------------------------ */

#define TICK_MS 10 /* between two looks at the mode */
#define TICK_US 10000UL
#define SETTLE_TICKS 200 /* until a change must be in force */
#define FILLERS 4        /* enough to fill the shortest queue of a listener */

enum mode
{
  PASS,   /* bytes pass */
  REFUSE, /* connections are refused, open ones reset */
  HANG    /* connections are not established, open ones pass nothing */
};

/* What must have taken up a change before the change is acknowledged. */
struct link_user
{
  char *link;     /* its name */
  int generation; /* of the changes that it has taken up */
};

/* A port at which a link to a server begins. */
struct passer
{
  struct link_user user; /* of its link */
  struct sockaddr_in to; /* server */
  struct sockaddr_in at; /* own address */
  int reserved;          /* keeps the port while nothing listens */
  int listener;          /* -1 if nothing listens */
  int fillers[FILLERS];  /* connections that fill the listener's queue */
  enum mode mode;        /* in force */
};

/* A connection that was accepted there, and the one to the server. */
struct pass_conn
{
  struct link_user user; /* of its link */
  int fd[2];             /* VM, server */
};

static GMutex links_lock;
static GPtrArray *link_users; /* all of them */
static GHashTable *ports;     /* "NAME ADDRESS" to the port of a link */
static int generation;        /* of changes of modes */

static void
add_user (struct link_user *u, const char *name)
{
  u->link = g_strdup (name);
  g_mutex_lock (&links_lock);
  u->generation = -1;
  g_ptr_array_add (link_users, u);
  g_mutex_unlock (&links_lock);
}

static void
remove_user (struct link_user *u)
{
  g_mutex_lock (&links_lock);
  g_ptr_array_remove_fast (link_users, u);
  g_mutex_unlock (&links_lock);
  g_free (u->link);
}

/* The generation is read before the mode, and acknowledged once that mode is
   in force. */
static enum mode
wanted_mode (const struct link_user *u, int *seen)
{
  g_autofree char *key = g_strconcat ("cut_", u->link, NULL);

  g_mutex_lock (&links_lock);
  *seen = generation;
  g_mutex_unlock (&links_lock);
  return (enum mode)fk_number (key, PASS);
}

static void
acknowledge (struct link_user *u, int seen)
{
  g_mutex_lock (&links_lock);
  u->generation = seen;
  g_mutex_unlock (&links_lock);
}

static bool
all_acknowledged (void)
{
  bool all = true;
  guint i;

  g_mutex_lock (&links_lock);
  for (i = 0; i < link_users->len; i++)
    all &= ((struct link_user *)link_users->pdata[i])->generation
           == generation;
  g_mutex_unlock (&links_lock);
  return all;
}

/* Returns once the mode is in force; false if that takes too long. */
static bool
cut_link (const char *name, const char *mode)
{
  g_autofree char *key = g_strconcat ("cut_", name, NULL);
  int i;

  fk_set_string (key, mode);
  g_mutex_lock (&links_lock);
  if (link_users == NULL)
    link_users = g_ptr_array_new ();
  generation++;
  g_mutex_unlock (&links_lock);
  for (i = 0; i < SETTLE_TICKS && !all_acknowledged (); i++)
    g_usleep (TICK_US);
  return i < SETTLE_TICKS;
}

/* --- connections ----------------------------------------------------- */

static void
reset (int fd)
{
  struct linger now = { .l_onoff = 1 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

/* What was read, 0 at the end of FROM, negative after a failure. */
static ssize_t
pass (int from, int to)
{
  char buf[16384];
  ssize_t n = recv (from, buf, sizeof buf, 0);
  ssize_t at = 0;
  ssize_t put = 0;

  for (; at < n; at += put)
    if ((put = send (to, buf + at, (size_t)(n - at), MSG_NOSIGNAL)) <= 0)
      return -1;
  return n;
}

static gpointer
pass_both_ways (gpointer arg)
{
  struct pass_conn *c = arg;
  struct pollfd p[2] = { { c->fd[0], POLLIN, 0 }, { c->fd[1], POLLIN, 0 } };
  ssize_t n = 1;
  int seen;
  int i;

  while (n > 0)
    {
      enum mode m = wanted_mode (&c->user, &seen);

      if (m == REFUSE)
        break;
      acknowledge (&c->user, seen);
      if (m == HANG)
        {
          g_usleep (TICK_US);
          continue;
        }
      poll (p, 2, TICK_MS);
      for (i = 0; i < 2 && n > 0; i++)
        if (p[i].revents != 0)
          n = pass (c->fd[i], c->fd[1 - i]);
    }
  for (i = 0; i < 2; i++)
    {
      if (n != 0)
        reset (c->fd[i]);
      close (c->fd[i]);
    }
  remove_user (&c->user);
  g_free (c);
  return NULL;
}

static void
accept_one (const struct passer *p)
{
  struct pass_conn *c = g_new0 (struct pass_conn, 1);
  int on = 1;
  int i;

  c->fd[0] = accept (p->listener, NULL, NULL);
  c->fd[1] = socket (AF_INET, SOCK_STREAM, 0);
  if (connect (c->fd[1], (const struct sockaddr *)&p->to, sizeof p->to) != 0)
    {
      reset (c->fd[0]);
      close (c->fd[0]);
      close (c->fd[1]);
      g_free (c);
      return;
    }
  for (i = 0; i < 2; i++)
    setsockopt (c->fd[i], IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  add_user (&c->user, p->user.link);
  g_thread_unref (g_thread_new ("pass", pass_both_ways, c));
}

/* --- ports of links -------------------------------------------------- */

static int
bind_to (struct sockaddr_in *at)
{
  socklen_t len = sizeof *at;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)at, len) != 0
      || getsockname (fd, (struct sockaddr *)at, &len) != 0)
    g_error ("cannot bind the port of a link");
  return fd;
}

/* The kernel drops further attempts to connect. */
static void
fill_queue (struct passer *p)
{
  int i;

  for (i = 0; i < FILLERS; i++)
    {
      p->fillers[i] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      (void)!connect (p->fillers[i], (struct sockaddr *)&p->at, sizeof p->at);
    }
}

static void
change_mode (struct passer *p, enum mode m)
{
  int i;

  if (p->listener >= 0)
    close (p->listener);
  p->listener = -1;
  for (i = 0; p->mode == HANG && i < FILLERS; i++)
    close (p->fillers[i]);
  p->mode = m;
  if (m == REFUSE)
    return;
  p->listener = bind_to (&p->at);
  if (listen (p->listener, m == HANG ? 0 : 128) != 0)
    g_error ("cannot listen at the port of a link");
  if (m == HANG)
    fill_queue (p);
}

static gpointer
run_passer (gpointer arg)
{
  struct passer *p = arg;
  struct pollfd poll_for = { .events = POLLIN };
  int seen;

  for (;;)
    {
      enum mode m = wanted_mode (&p->user, &seen);

      if (m != p->mode)
        change_mode (p, m);
      acknowledge (&p->user, seen);
      poll_for.fd = m == PASS ? p->listener : -1;
      if (poll (&poll_for, 1, TICK_MS) > 0)
        accept_one (p);
    }
  return NULL;
}

static int
start_passer (const char *name, const char *address)
{
  struct passer *p = g_new0 (struct passer, 1);
  g_auto (GStrv) parts = g_strsplit (address, ":", 2);

  p->to.sin_family = AF_INET;
  p->to.sin_port = htons ((uint16_t)g_ascii_strtoll (parts[1], NULL, 10));
  inet_pton (AF_INET, parts[0], &p->to.sin_addr);
  p->at.sin_family = AF_INET;
  p->at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  p->reserved = bind_to (&p->at);
  p->listener = -1;
  change_mode (p, PASS);
  add_user (&p->user, name);
  g_thread_unref (g_thread_new ("passer", run_passer, p));
  return ntohs (p->at.sin_port);
}

/* The port that leads to ADDRESS; calls must not overlap. */
static int
link_port (const char *name, const char *address)
{
  g_autofree char *key = g_strconcat (name, " ", address, NULL);
  int port;

  g_mutex_lock (&links_lock);
  if (link_users == NULL)
    link_users = g_ptr_array_new ();
  if (ports == NULL)
    ports = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  port = GPOINTER_TO_INT (g_hash_table_lookup (ports, key));
  g_mutex_unlock (&links_lock);
  if (port != 0)
    return port;
  port = start_passer (name, address);
  g_mutex_lock (&links_lock);
  g_hash_table_insert (ports, g_strdup (key), GINT_TO_POINTER (port));
  g_mutex_unlock (&links_lock);
  return port;
}

/* --- rows ------------------------------------------------------------- */

static struct row *
find (const char *table, const char *key)
{
  struct row *r;
  guint i;

  if (rows == NULL)
    rows = g_ptr_array_new ();
  for (i = 0; i < rows->len; i++)
    {
      r = rows->pdata[i];
      if (strcmp (r->table, table) == 0 && strcmp (r->key, key) == 0)
        return r;
    }
  return NULL;
}

/* Under the lock; VALUE is taken over, NULL removes the row. */
static void
set (const char *table, const char *key, char *value, size_t len)
{
  struct row *r = find (table, key);

  if (r == NULL)
    {
      r = g_new0 (struct row, 1);
      r->table = g_strdup (table);
      r->key = g_strdup (key);
      g_ptr_array_add (rows, r);
    }
  g_free (r->value);
  r->value = value;
  r->len = len;
  r->version = newest;
}

static GPtrArray *
copy_rows (const GPtrArray *from)
{
  GPtrArray *to = g_ptr_array_new ();
  struct row *r;
  guint i;

  for (i = 0; from != NULL && i < from->len; i++)
    {
      r = g_memdup2 (from->pdata[i], sizeof *r);
      r->table = g_strdup (r->table);
      r->key = g_strdup (r->key);
      if (r->value != NULL)
        r->value = g_memdup2 (r->value, r->len + 1);
      g_ptr_array_add (to, r);
    }
  return to;
}

/* Under the lock.  What was acknowledged since the copy is gone, and its
   versions are given out again. */
static void
copy_or_return (void)
{
  g_autofree char *era = NULL;

  if (fk_take ("keep_copy"))
    {
      kept = copy_rows (rows);
      kept_newest = newest;
    }
  if (!fk_take ("older_copy"))
    return;
  rows = copy_rows (kept);
  newest = kept_newest;
  era = g_strdup_printf ("%d", (int)fk_number ("era", 1) + 1);
  fk_set_string ("era", era);
  g_cond_broadcast (&changed);
}

/* A listed server as a view shows it. */
static char *
with_link (const char *value, const char *view)
{
  json_t *doc = json_loads (value, 0, NULL);
  const char *to = json_string_value (json_object_get (doc, "Address"));
  g_autofree char *at = NULL;
  char *text;

  if (to == NULL)
    {
      json_decref (doc);
      return g_strdup (value);
    }
  at = g_strdup_printf ("127.0.0.1:%d", link_port (view, to));
  json_object_set_new (doc, "Address", json_string (at));
  text = json_dumps (doc, JSON_COMPACT);
  json_decref (doc);
  return text;
}

/* Under the lock; VIEW is empty for the rows as they are. */
static json_t *
row_json (const struct row *r, const char *view)
{
  bool other = view[0] != '\0' && r->value != NULL
               && strcmp (r->table, "servers") == 0;
  g_autofree char *seen = other ? with_link (r->value, view) : NULL;
  const char *value = seen ? seen : (r->value ? r->value : "");
  size_t n = seen ? strlen (seen) : (r->value ? r->len : 0);
  size_t size = sodium_base64_encoded_len (n, sodium_base64_VARIANT_ORIGINAL);
  g_autofree char *coded = g_malloc (size);
  json_t *doc;

  sodium_bin2base64 (coded, size, (const unsigned char *)value, n,
                     sodium_base64_VARIANT_ORIGINAL);
  doc = json_pack ("{s:s,s:s,s:s,s:s,s:I}", "Table", r->table, "part", "",
                   "Key", r->key, "Value", coded, "Ver",
                   (json_int_t)r->version);
  if (r->value == NULL)
    json_object_set_new (doc, "Removed", json_true ());
  return doc;
}

static enum MHD_Result
reply_with_odd_row (struct fk_req *r, json_t *doc, const char *odd)
{
  char *text = json_dumps (doc, JSON_COMPACT | JSON_SORT_KEYS);
  char *at = strstr (text, "\"Rows\":[") + strlen ("\"Rows\":[");
  g_autofree char *head = g_strndup (text, (gsize)(at - text));
  g_autofree char *all
      = g_strconcat (head, odd, *at == ']' ? "" : ",", at, NULL);

  free (text);
  json_decref (doc);
  return fk_reply (r, 200, "application/json", all, strlen (all));
}

static enum MHD_Result
reply_page (struct fk_req *r, int status, json_t *list, bool more)
{
  json_t *doc = json_pack ("{s:o,s:b,s:I,s:I}", "Rows", list, "HasMore", more,
                           "Ver", (json_int_t)newest, "NowMs",
                           (json_int_t)(g_get_monotonic_time () / 1000));
  int64_t kb_s = fk_number ("kb_s", 0);
  g_autofree char *odd = fk_string ("odd_row", "");

  if (status == 200 && odd[0] != '\0' && strcmp (r->path, "/rows-tx") != 0)
    return reply_with_odd_row (r, doc, odd);
  sent += (int64_t)json_array_size (list);
  return kb_s > 0 ? fk_reply_paced (r, status, doc, kb_s)
                  : fk_reply_json (r, status, doc);
}

static enum MHD_Result
reply_rows (struct fk_req *r, int status, json_t *list)
{
  return reply_page (r, status, list, false);
}

static int
by_key (gconstpointer a, gconstpointer b)
{
  const struct row *const *ra = a;
  const struct row *const *rb = b;

  return strcmp ((*ra)->key, (*rb)->key);
}

static const char *
argument (struct fk_req *r, const char *name)
{
  const char *s
      = MHD_lookup_connection_value (r->conn, MHD_GET_ARGUMENT_KIND, name);

  return s ? s : "";
}

/* Name of the view that R reads, empty for none. */
static char *
view_of (struct fk_req *r)
{
  g_autofree char *key = g_strdup_printf ("view_%d", fk_port (r));

  return fk_string (key, "");
}

static enum MHD_Result
get_rows (struct fk_req *r)
{
  g_autofree char *view = view_of (r);
  const char *table = argument (r, "Table");
  const char *from = argument (r, "From");
  g_autoptr (GPtrArray) found = g_ptr_array_new ();
  guint page = (guint)fk_number ("page_rows", 500);
  gint64 limit = g_ascii_strtoll (argument (r, "Limit"), NULL, 10);
  json_t *list = json_array ();
  enum MHD_Result done;
  guint i;

  g_mutex_lock (&lock);
  for (i = 0; rows != NULL && i < rows->len; i++)
    {
      struct row *o = rows->pdata[i];

      if (strcmp (o->table, table) == 0 && o->value != NULL
          && strcmp (o->key, from) >= 0)
        g_ptr_array_add (found, o);
    }
  g_ptr_array_sort (found, by_key);
  if (limit > 0)
    page = MIN (page, (guint)limit);
  for (i = 0; i < MIN (found->len, page); i++)
    json_array_append_new (list, row_json (found->pdata[i], view));
  done = reply_page (r, 200, list, found->len > page);
  g_mutex_unlock (&lock);
  return done;
}

/* Under the lock: changes of a table after a version. */
static json_t *
changes (const char *table, int64_t after, const char *view)
{
  json_t *list = json_array ();
  guint i;

  for (i = 0; rows != NULL && i < rows->len; i++)
    {
      struct row *o = rows->pdata[i];

      if (strcmp (o->table, table) == 0 && o->version > after)
        json_array_append_new (list, row_json (o, view));
    }
  return list;
}

/* Time after which a lost call's connection is closed; its caller has given up
   by then. */
#define LOST_US 4000000UL

static bool
is_lost (struct fk_req *r)
{
  g_autofree char *view = view_of (r);
  g_autofree char *key = g_strconcat ("lost_", view, NULL);

  return view[0] != '\0' && fk_number (key, 0) != 0;
}

static enum MHD_Result
lose (void)
{
  g_usleep (LOST_US);
  return MHD_NO;
}

static enum MHD_Result
wait_rows (struct fk_req *r)
{
  const char *table = argument (r, "Table");
  int64_t after = g_ascii_strtoll (argument (r, "after"), NULL, 10);
  int64_t wait = g_ascii_strtoll (argument (r, "WaitMs"), NULL, 10);
  int64_t until = g_get_monotonic_time () + wait * 1000;
  g_autofree char *lost = fk_string ("lost_table", "");
  g_autofree char *view = view_of (r);
  json_t *list;
  enum MHD_Result done;
  bool timeout = false;

  if (fk_take ("compact") || strcmp (table, lost) == 0)
    return fk_reply_json (r, 410, json_object ());
  g_mutex_lock (&lock);
  if (after > newest)
    {
      g_mutex_unlock (&lock);
      return fk_reply_json (r, 410, json_object ());
    }
  list = changes (table, after, view);
  while (!timeout && after <= newest
         && (json_array_size (list) == 0 || fk_number ("deaf", 0)))
    {
      json_decref (list);
      timeout = !g_cond_wait_until (&changed, &lock, until);
      list = fk_number ("deaf", 0) ? json_array ()
                                   : changes (table, after, view);
    }
  if (is_lost (r))
    {
      json_decref (list);
      g_mutex_unlock (&lock);
      return lose ();
    }
  if (after > newest)
    {
      json_decref (list);
      g_mutex_unlock (&lock);
      return fk_reply_json (r, 410, json_object ());
    }
  done = reply_rows (r, 200, list);
  g_mutex_unlock (&lock);
  return done;
}

static const char *
text (const json_t *doc, const char *field)
{
  const char *s = json_string_value (json_object_get (doc, field));

  return s ? s : "";
}

/* Under the lock. */
static bool
conditions_hold (const json_t *list, json_t *found)
{
  const json_t *c;
  size_t i;
  bool hold = true;

  json_array_foreach (list, i, c)
  {
    struct row *o = find (text (c, "Table"), text (c, "Key"));
    int64_t version = o != NULL && o->value != NULL ? o->version : 0;

    hold &= version == json_integer_value (json_object_get (c, "Ver"));
    if (version > 0)
      json_array_append_new (found, row_json (o, ""));
  }
  return hold;
}

static enum MHD_Result
transact (struct fk_req *r)
{
  json_t *doc = json_loadb (r->body->str, r->body->len, 0, NULL);
  json_t *found = json_array ();
  const json_t *one;
  bool hold;
  size_t i;
  enum MHD_Result done;

  g_mutex_lock (&lock);
  hold = conditions_hold (json_object_get (doc, "Precondition"), found);
  newest += hold;
  json_array_foreach (json_object_get (doc, "SetKeys"), i, one)
  {
    const char *coded = text (one, "Value");
    size_t n = 0;
    char *plain = g_malloc0 (strlen (coded) + 1);

    sodium_base642bin ((unsigned char *)plain, strlen (coded) + 1, coded,
                       strlen (coded), NULL, &n, NULL,
                       sodium_base64_VARIANT_ORIGINAL);
    if (hold)
      {
        set (text (one, "Table"), text (one, "Key"), plain, n);
        fk_log ("row", "table=%s key=%s version=%d value=%s",
                text (one, "Table"), text (one, "Key"), (int)newest, plain);
      }
    else
      g_free (plain);
  }
  json_array_foreach (json_object_get (doc, "Remove"), i, one)
  {
    if (hold)
      set (text (one, "Table"), text (one, "Key"), NULL, 0);
  }
  g_cond_broadcast (&changed);
  done = fk_take ("lose")
             ? MHD_NO
             : reply_rows (r, hold ? 200 : 412, hold ? json_array () : found);
  g_mutex_unlock (&lock);
  json_decref (doc);
  return done;
}

static enum MHD_Result
write_row (struct fk_req *r)
{
  g_auto (GStrv) parts = g_strsplit (r->path + strlen ("/row/"), "/", 2);

  g_mutex_lock (&lock);
  newest++;
  find ("", "");
  set (parts[0], parts[1],
       strcmp (r->method, "PUT") == 0
           ? g_memdup2 (r->body->str, r->body->len + 1)
           : NULL,
       r->body->len);
  g_cond_broadcast (&changed);
  g_mutex_unlock (&lock);
  return fk_reply_json (r, 200, json_object ());
}

static enum MHD_Result
open_view (struct fk_req *r)
{
  int port = fk_serve_also (&fk_rows);
  g_autofree char *key = g_strdup_printf ("view_%d", port);

  if (port == 0)
    return fk_reply_json (r, 500, json_object ());
  fk_set_string (key, r->path + strlen ("/view/"));
  return fk_reply_json (r, 200, json_pack ("{s:i}", "port", port));
}

static enum MHD_Result
cut_links (struct fk_req *r)
{
  g_auto (GStrv) parts = g_strsplit (r->path + strlen ("/cut/"), "/", 2);
  bool done
      = parts[0] != NULL && parts[1] != NULL && cut_link (parts[0], parts[1]);

  return fk_reply_json (r, done ? 200 : 500, json_object ());
}

static enum MHD_Result
handle (struct fk_req *r)
{
  g_mutex_lock (&lock);
  copy_or_return ();
  g_mutex_unlock (&lock);
  if (g_str_has_prefix (r->path, "/row/"))
    return write_row (r);
  if (g_str_has_prefix (r->path, "/view/"))
    return open_view (r);
  if (g_str_has_prefix (r->path, "/cut/"))
    return cut_links (r);
  if (strcmp (r->path, "/stats") == 0)
    return fk_reply_json (r, 200,
                          json_pack ("{s:I,s:I}", "calls", (json_int_t)calls,
                                     "rows", (json_int_t)sent));
  __atomic_fetch_add (&calls, 1, __ATOMIC_RELAXED);
  g_usleep ((gulong)fk_number ("slow_ms", 0) * 1000);
  while (fk_number ("silent", 0))
    g_usleep (20000);
  if (is_lost (r))
    return lose ();
  if (fk_number ("turn_away", 0))
    return fk_reply_json (r, (int)fk_number ("turn_away", 0), json_object ());
  if (strcmp (r->path, "/rows-get") == 0)
    return get_rows (r);
  if (strcmp (r->path, "/rows-feed") == 0)
    return wait_rows (r);
  if (strcmp (r->path, "/rows-tx") == 0)
    return transact (r);
  return fk_reply_json (r, 404, json_object ());
}

const struct fk_role fk_rows = { "rows", handle };
