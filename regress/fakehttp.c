/* What the stand-ins share: HTTP, control path, named numbers. */
#include "fake.h"

#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define MEMORY_LIMIT 32768

static GMutex lock;
static int bound_port;
static GHashTable *settings; /* name to text */

static char *
lookup (const char *key)
{
  char *text;

  g_mutex_lock (&lock);
  text = g_strdup (g_hash_table_lookup (settings, key));
  g_mutex_unlock (&lock);
  return text;
}

int64_t
fk_number (const char *key, int64_t fallback)
{
  g_autofree char *text = lookup (key);

  return text ? g_ascii_strtoll (text, NULL, 10) : fallback;
}

char *
fk_string (const char *key, const char *fallback)
{
  char *text = lookup (key);

  return text ? text : g_strdup (fallback);
}

bool
fk_take (const char *key)
{
  const char *text;
  int64_t n;

  g_mutex_lock (&lock);
  text = g_hash_table_lookup (settings, key);
  n = text ? g_ascii_strtoll (text, NULL, 10) : 0;
  if (n > 0)
    g_hash_table_insert (settings, g_strdup (key),
                         g_strdup_printf ("%" G_GINT64_FORMAT, (gint64)n - 1));
  g_mutex_unlock (&lock);
  return n > 0;
}

void
fk_set_string (const char *key, const char *value)
{
  g_mutex_lock (&lock);
  g_hash_table_insert (settings, g_strdup (key), g_strdup (value));
  g_mutex_unlock (&lock);
}

static void
set_one (const char *key, const json_t *value)
{
  char *text = json_is_string (value)
                   ? g_strdup (json_string_value (value))
                   : g_strdup_printf ("%" JSON_INTEGER_FORMAT,
                                      json_integer_value (value));

  g_mutex_lock (&lock);
  g_hash_table_insert (settings, g_strdup (key), text);
  g_mutex_unlock (&lock);
}

void
fk_control (const char *text, size_t len)
{
  json_t *doc = json_loadb (text, len, 0, NULL);
  const char *key;
  json_t *value;

  json_object_foreach (doc, key, value) { set_one (key, value); }
  json_decref (doc);
}

static enum MHD_Result
control (struct fk_req *r)
{
  fk_control (r->body->str, r->body->len);
  return fk_reply_json (r, 200, json_object ());
}

/* A header that a role puts on all its replies. */
static void
add_marks (struct MHD_Response *p)
{
  g_autofree char *era = fk_string ("era", "");

  if (era[0] != '\0')
    MHD_add_response_header (p, "Store-Era", era);
}

enum MHD_Result
fk_reply (struct fk_req *r, int status, const char *type, const char *body,
          size_t len)
{
  struct MHD_Response *p = MHD_create_response_from_buffer (
      len, (void *)body, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result done;

  MHD_add_response_header (p, "Content-Type", type);
  add_marks (p);
  done = MHD_queue_response (r->conn, (unsigned)status, p);
  MHD_destroy_response (p);
  return done;
}

enum MHD_Result
fk_reply_json (struct fk_req *r, int status, json_t *doc)
{
  char *text = json_dumps (doc, JSON_COMPACT | JSON_SORT_KEYS);
  enum MHD_Result done
      = fk_reply (r, status, "application/json", text, strlen (text));

  free (text);
  json_decref (doc);
  return done;
}

/* A body that leaves piece by piece. */
struct paced
{
  char *text;   /* whole */
  size_t len;   /* its length */
  int64_t kb_s; /* kilobytes a second */
};

static ssize_t
paced_read (void *arg, uint64_t at, char *buf, size_t max)
{
  struct paced *p = arg;
  size_t n = MIN (MIN (max, (size_t)1024), p->len - (size_t)at);

  int64_t halt = fk_number ("halt_kb", 0) * 1024;

  while (halt > 0 && (int64_t)at >= halt && fk_number ("halt_kb", 0) > 0)
    g_usleep (20000);
  g_usleep ((gulong)(n * 1000 / (size_t)p->kb_s));
  memcpy (buf, p->text + at, n);
  return (ssize_t)n;
}

static void
paced_free (void *arg)
{
  struct paced *p = arg;

  free (p->text);
  g_free (p);
}

enum MHD_Result
fk_reply_paced (struct fk_req *r, int status, json_t *doc, int64_t kb_s)
{
  struct paced *p = g_new0 (struct paced, 1);
  struct MHD_Response *reply;
  enum MHD_Result done;

  p->text = json_dumps (doc, JSON_COMPACT | JSON_SORT_KEYS);
  p->len = strlen (p->text);
  p->kb_s = kb_s;
  json_decref (doc);
  reply = MHD_create_response_from_callback (p->len, 1024, paced_read, p,
                                             paced_free);
  MHD_add_response_header (reply, "Content-Type", "application/json");
  add_marks (reply);
  done = MHD_queue_response (r->conn, (unsigned)status, reply);
  MHD_destroy_response (reply);
  return done;
}

enum MHD_Result
fk_drop (struct fk_req *r)
{
  (void)r;
  return MHD_NO;
}

static enum MHD_Result
on_request (void *arg, struct MHD_Connection *conn, const char *url,
            const char *method, const char *version, const char *data,
            size_t *len, void **con_cls)
{
  const struct fk_role *role = arg;
  struct fk_req *r = *con_cls;

  (void)version;
  if (r == NULL)
    {
      r = g_new0 (struct fk_req, 1);
      r->conn = conn;
      r->method = method;
      r->path = g_strdup (url);
      r->body = g_string_new (NULL);
      *con_cls = r;
      return MHD_YES;
    }
  if (*len > 0)
    {
      g_string_append_len (r->body, data, (gssize)*len);
      *len = 0;
      return MHD_YES;
    }
  if (strcmp (url, "/control") == 0)
    return control (r);
  if (fk_number ("down", 0))
    return MHD_NO;
  return role->handle (r);
}

static void
on_completed (void *arg, struct MHD_Connection *conn, void **con_cls,
              enum MHD_RequestTerminationCode code)
{
  struct fk_req *r = *con_cls;

  (void)arg;
  (void)conn;
  if (r == NULL)
    return;
  if (r->stream_free != NULL)
    r->stream_free (r->stream, code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
  g_string_free (r->body, TRUE);
  g_free (r->path);
  g_free (r);
  *con_cls = NULL;
}

void
fk_init (void)
{
  settings = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
fk_set_port (int port)
{
  bound_port = port;
  printf ("port=%d\n", port);
  fflush (stdout);
}

/* The port, 0 after a failure. */
static int
start_daemon (const struct fk_role *role, int port)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  const union MHD_DaemonInfo *info;
  struct MHD_Daemon *d;

  sa.sin_port = htons ((uint16_t)port);
  sa.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  d = MHD_start_daemon (MHD_USE_THREAD_PER_CONNECTION
                            | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
                        (uint16_t)port, NULL, NULL, on_request, (void *)role,
                        MHD_OPTION_SOCK_ADDR, &sa, MHD_OPTION_NOTIFY_COMPLETED,
                        on_completed, NULL, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                        (size_t)MEMORY_LIMIT, MHD_OPTION_THREAD_STACK_SIZE,
                        (size_t)262144, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
                        MHD_OPTION_CONNECTION_LIMIT, 20000U, MHD_OPTION_END);
  if (d == NULL)
    return 0;
  info = MHD_get_daemon_info (d, MHD_DAEMON_INFO_BIND_PORT);
  return info->port;
}

int
fk_serve_also (const struct fk_role *role)
{
  return start_daemon (role, 0);
}

int
fk_port (struct fk_req *r)
{
  const union MHD_ConnectionInfo *info
      = MHD_get_connection_info (r->conn, MHD_CONNECTION_INFO_DAEMON);

  return MHD_get_daemon_info (info->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

int
fk_serve (const struct fk_role *role, int port)
{
  fk_init ();
  port = start_daemon (role, port);
  if (port == 0)
    return 1;
  fk_set_port (port);
  for (;;)
    pause ();
}

/* A line of the history: to standard error, as VMs write theirs. */
void
fk_log (const char *event, const char *fmt, ...)
{
  g_autoptr (GDateTime) now = g_date_time_new_now_utc ();
  g_autofree char *when = g_date_time_format (now, "%Y-%m-%dT%H:%M:%S");
  g_autofree char *pairs = NULL;
  va_list ap;

  va_start (ap, fmt);
  pairs = g_strdup_vprintf (fmt, ap);
  va_end (ap);
  fprintf (stderr, "time=%s.%06dZ event=%s endpoint=%d %s\n", when,
           g_date_time_get_microsecond (now), event, bound_port, pairs);
}

const char *
fk_header (struct fk_req *r, const char *name)
{
  const char *s = MHD_lookup_connection_value (r->conn, MHD_HEADER_KIND, name);

  return s ? s : "";
}
