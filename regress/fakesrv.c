/*
 * Stand-in for an endpoint of the users' platform, byte by byte: what it reads
 * and writes is under its own control, so that every fault of a server can be
 * played.
 *
 *   id           its id; a request that expects another gets 421
 *   delay_ms     time a run takes
 *   refuse       so many requests are refused as not executed
 *   rest         seconds of rest that each such refusal asks for, as text
 *   drop         so many runs are not answered: the connection closes
 *   close_after  close the connection after each answer without saying so
 *   other_id     so many answers bear another request's id
 *   no_seal      so many answers bear no seal
 *   die_in_body  so many answers end with the process, in the middle of their
 *                body
 *   extra        so many answers are followed by a second one
 *   unframed     answers have no length and end with their connection
 *   events       events of a stream; 0 answers with a whole body
 *   event_ms     pause between them
 *   build        version of its software, which its events name
 *   storm        seed: streams draw their form and fate (see fakestorm.c)
 *   storm_cuts   of 100 such streams so many end early
 *   storm_undelimited  of 100 so many end with their connection
 *   break_after  so many streams break after two and a half events
 *   cut_head     so many answers end with their connection in the middle of
 *                their head, after the seal
 *   cut_head_resumed  likewise of answers to requests that resume a stream
 *   status       of the answers
 *   status_resumed  of the answers to requests that resume a stream, which
 *                are no streams then
 *   text_resumed body of these answers
 *   endless_duty answers to reports and orders have no end, in this form
 *                ("endless-FORM", see fakeendless.c)
 *   silent       read requests and never answer
 *   crash_on     the process dies under a run whose body holds this text
 *   crash_part   the process dies as it begins to answer a request whose
 *                prompt has this part
 *   late_order   so many orders get no answer and are carried out later
 *   check_fences orders with a lower fencing token than an earlier one are
 *                refused
 *   leaving      all its answers to requests say that it leaves
 *   head_bytes   bytes added to the heads of its answers to requests
 *   limit        the limit that all answers to requests name, as text
 *   slots        requests that run at once, 0 for any number; others wait
 *   queue        requests that may wait; one more is refused
 *   brittle      all its answers say so; with more refusals in a second for
 *                want of room it falls over
 *   fall_ms      for how long: connections close at once
 *   born         start of its life, as its report says; another one is a
 *                restart under its id: it takes orders from number 0 again,
 *                and late ones of before still come
 */
#include "fake.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fakesrv.h"

#define HEAD_MAX 32768

/* A request as it was read. */
struct in
{
  int fd;            /* its connection */
  char *head;        /* request line and headers */
  char method[16];   /* as sent */
  char target[4096]; /* as sent */
  GString *body;     /* whole */
  bool cut;          /* the peer closed meanwhile */
};

static GMutex lock;
static int64_t version = 1; /* of the weights */
static int64_t seq;         /* orders taken */
static int64_t last_fence;  /* highest fencing token of an order */
static int64_t busy_until;  /* ms of the monotonic clock */
static int64_t born;        /* start of this life, 0 if unsaid */

/* Room and falls. */
static int running;          /* requests that run, with slots set */
static int waiting;          /* that wait */
static GArray *refused_ms;   /* int64_t: refusals of the last second */
static int64_t fallen_until; /* ms of the monotonic clock */
static int falls;            /* so far */

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

/* --- reading --------------------------------------------------------- */

static bool
more (int fd, GString *s)
{
  char buf[4096];
  ssize_t n = recv (fd, buf, sizeof buf, 0);

  if (n <= 0)
    return false;
  g_string_append_len (s, buf, n);
  return true;
}

/* A header's value, or NULL; freed by the caller. */
static char *
header (const struct in *in, const char *name)
{
  g_auto (GStrv) lines = g_strsplit (in->head, "\r\n", -1);
  size_t n = strlen (name);
  int i;

  for (i = 0; lines[i] != NULL; i++)
    if (strncasecmp (lines[i], name, n) == 0 && lines[i][n] == ':')
      return g_strdup (g_strstrip (lines[i] + n + 1));
  return NULL;
}

static bool
read_chunks (int fd, GString *raw, GString *body)
{
  char *nl;
  gsize size;

  for (;;)
    {
      while ((nl = strstr (raw->str, "\r\n")) == NULL)
        if (!more (fd, raw))
          return false;
      size = (gsize)strtoul (raw->str, NULL, 16);
      g_string_erase (raw, 0, nl + 2 - raw->str);
      while (raw->len < size + 2)
        if (!more (fd, raw))
          return false;
      g_string_append_len (body, raw->str, (gssize)size);
      g_string_erase (raw, 0, (gssize)size + 2);
      if (size == 0)
        return true;
    }
}

/* Read one request from RAW and what follows on FD; false at the end. */
static bool
read_request (int fd, GString *raw, struct in *in)
{
  char *end;
  g_autofree char *length = NULL;
  g_autofree char *coding = NULL;
  gsize n;

  while ((end = strstr (raw->str, "\r\n\r\n")) == NULL)
    if (raw->len > HEAD_MAX || !more (fd, raw))
      return false;
  in->fd = fd;
  in->head = g_strndup (raw->str, (gsize)(end - raw->str));
  g_string_erase (raw, 0, end + 4 - raw->str);
  if (sscanf (in->head, "%15s %4095s", in->method, in->target) != 2)
    return false;
  in->body = g_string_new (NULL);
  length = header (in, "Content-Length");
  coding = header (in, "Transfer-Encoding");
  if (coding != NULL)
    return read_chunks (fd, raw, in->body);
  n = length != NULL ? (gsize)strtoul (length, NULL, 10) : 0;
  while (raw->len < n)
    if (!more (fd, raw))
      return false;
  g_string_append_len (in->body, raw->str, (gssize)n);
  g_string_erase (raw, 0, (gssize)n);
  return true;
}

/* --- writing --------------------------------------------------------- */

static void
put (int fd, const char *data, size_t len)
{
  ssize_t n;

  while (len > 0 && (n = send (fd, data, len, MSG_NOSIGNAL)) > 0)
    {
      data += n;
      len -= (size_t)n;
    }
}

static void
put_text (int fd, const char *text)
{
  put (fd, text, strlen (text));
}

/* Headers in which it speaks of itself. */
static char *
notices (void)
{
  g_autofree char *limit = fk_string ("limit", "");

  GString *s = g_string_new (NULL);

  if (limit[0] != '\0')
    g_string_append_printf (s, "Server-Limit: %s\r\n", limit);
  if (fk_number ("leaving", 0))
    g_string_append (s, "Server-Leaving: 1\r\n");
  if (fk_number ("brittle", 0) > 0)
    g_string_append_printf (s, "Server-Brittle: %d\r\n",
                            (int)fk_number ("brittle", 0));
  return g_string_free (s, FALSE);
}

/* Lines that make a head longer by as many bytes as a control says. */
static char *
padding (void)
{
  GString *s = g_string_new (NULL);
  gsize left = (gsize)fk_number ("head_bytes", 0);
  gsize n;

  for (; left > 0; left -= MIN (left, n))
    {
      n = MIN (left, 128);
      g_string_append_printf (s, "X-Pad: %0*d\r\n", (int)MAX (n, 10) - 9, 0);
    }
  return g_string_free (s, FALSE);
}

/* Headers that a server puts on its answers. */
static char *
marks (const struct in *in)
{
  g_autofree char *id = header (in, "X-Attempt-Id");
  g_autofree char *n = notices ();
  g_autofree char *pad = padding ();
  bool other = fk_take ("other_id");
  bool bare = fk_take ("no_seal");
  int64_t v;
  int now_running, now_waiting, slots = (int)fk_number ("slots", 0);

  g_mutex_lock (&lock);
  v = version;
  now_running = slots > 0 ? running : 1;
  now_waiting = waiting;
  g_mutex_unlock (&lock);
  return g_strdup_printf ("X-Attempt-Id: %s\r\nX-Server-Load: %d,%d,%d\r\n"
                          "X-Weight-Versions: %" G_GINT64_FORMAT "\r\n%s%s%s",
                          other ? "another" : (id != NULL ? id : ""),
                          now_running, now_waiting, slots > 0 ? slots : 8,
                          (gint64)v, bare ? "" : "X-Server-Seal: 3e1b.07\r\n",
                          n, pad);
}

static void
answer (const struct in *in, int status, const char *body)
{
  g_autofree char *m = marks (in);
  g_autofree char *text = NULL;
  g_autofree char *length
      = g_strdup_printf ("Content-Length: %zu\r\n", strlen (body));

  text = g_strdup_printf ("HTTP/1.1 %d X\r\n%s%s\r\n%s", status, m,
                          fk_number ("unframed", 0) ? "" : length, body);
  if (fk_take ("die_in_body"))
    {
      put (in->fd, text, strlen (text) - strlen (body) / 2);
      _exit (1);
    }
  put_text (in->fd, text);
  if (fk_take ("extra"))
    put_text (in->fd, text);
}

static void
cut_head (const struct in *in)
{
  g_autofree char *m = marks (in);
  g_autofree char *text = g_strdup_printf ("HTTP/1.1 200 OK\r\n%s", m);

  put_text (in->fd, text);
}

static void
refuse (const struct in *in, int status)
{
  g_autofree char *id = fk_string ("id", "");
  g_autofree char *rest = fk_string ("rest", "");
  g_autofree char *line = rest[0] != '\0' && status == 503
                              ? g_strdup_printf ("Retry-After: %s\r\n", rest)
                              : g_strdup ("");
  g_autofree char *n = notices ();
  g_autofree char *text = g_strdup_printf (
      "HTTP/1.1 %d X\r\nX-Not-Executed: 1\r\nX-Instance-Id: %s\r\n"
      "%s%sContent-Length: 0\r\n\r\n",
      status, id, line, n);

  put_text (in->fd, text);
}

static bool
peer_closed (int fd)
{
  char c;

  return recv (fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static bool
has_fallen (void)
{
  bool fallen;

  g_mutex_lock (&lock);
  fallen = now_ms () < fallen_until;
  g_mutex_unlock (&lock);
  return fallen;
}

/* Work for MS; false if the peer left. */
static bool
work (int fd, int64_t ms)
{
  int64_t until = now_ms () + ms;

  while (now_ms () < until)
    {
      if (peer_closed (fd) || has_fallen ())
        return false;
      g_usleep (5000);
    }
  return true;
}

/* One more request was turned away for want of room. */
static void
count_refusal (void)
{
  int64_t now = now_ms ();
  int n = (int)fk_number ("brittle", 0);

  g_mutex_lock (&lock);
  if (refused_ms == NULL)
    refused_ms = g_array_new (FALSE, FALSE, sizeof (int64_t));
  while (refused_ms->len > 0
         && now - g_array_index (refused_ms, int64_t, 0) >= 1000)
    g_array_remove_index (refused_ms, 0);
  g_array_append_val (refused_ms, now);
  if (n > 0 && (int)refused_ms->len > n && now >= fallen_until)
    {
      fallen_until = now + fk_number ("fall_ms", 2000);
      falls++;
      fk_log ("fell", "falls=%d", falls);
    }
  g_mutex_unlock (&lock);
}

/* Take a slot, after a wait if there is room for that. */
static bool
take_slot (int fd)
{
  int slots = (int)fk_number ("slots", 0);
  bool taken = false, waits;

  if (slots <= 0)
    return true;
  g_mutex_lock (&lock);
  taken = running < slots;
  running += taken;
  waits = !taken && waiting < fk_number ("queue", 0);
  waiting += waits;
  g_mutex_unlock (&lock);
  while (waits && !taken && !peer_closed (fd) && !has_fallen ())
    {
      g_usleep (2000);
      g_mutex_lock (&lock);
      taken = running < slots;
      running += taken;
      g_mutex_unlock (&lock);
    }
  g_mutex_lock (&lock);
  waiting -= waits;
  g_mutex_unlock (&lock);
  return taken;
}

static void
release_slot (void)
{
  if (fk_number ("slots", 0) <= 0)
    return;
  g_mutex_lock (&lock);
  running -= running > 0;
  g_mutex_unlock (&lock);
}

static void
put_chunk (int fd, const char *text)
{
  g_autofree char *chunk
      = g_strdup_printf ("%zx\r\n%s\r\n", strlen (text), text);

  put_text (fd, chunk);
}

/* False if the connection must end. */
static bool
stream (const struct in *in)
{
  g_autofree char *m = marks (in);
  bool framed = !fk_number ("unframed", 0);
  void (*put_piece) (int fd, const char *text) = framed ? put_chunk : put_text;
  g_autofree char *head = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s%s\r\n",
      framed ? "Transfer-Encoding: chunked\r\n" : "", m);
  g_autofree char *last = header (in, "Last-Event-Id");
  int64_t i = last != NULL ? g_ascii_strtoll (last, NULL, 10) + 1 : 1;
  int64_t n = fk_number ("events", 0);
  g_autofree char *build = fk_string ("build", "");
  bool breaks = fk_take ("break_after");
  int told = 0;

  if (fk_number ("storm", 0) > 0)
    return storm_stream (&(struct storm_opts){ .fd = in->fd,
                                               .target = in->target,
                                               .marks = m,
                                               .after = i - 1,
                                               .work = work });
  put_text (in->fd, head);
  for (; i <= n; i++)
    {
      g_autofree char *e
          = g_strdup_printf ("id: %d\ndata: %st%d\n\n", (int)i, build, (int)i);

      if (!work (in->fd, fk_number ("event_ms", 1)))
        {
          fk_log ("cancelled", "target=%s", in->target);
          return false;
        }
      if (breaks && told++ == 2)
        {
          put_piece (in->fd, "id: ");
          return false;
        }
      put_piece (in->fd, e);
    }
  if (framed)
    put_text (in->fd, "0\r\n\r\n");
  return framed;
}

/* --- requests -------------------------------------------------------- */

static bool
is_endless (const struct in *in, const char *target)
{
  g_autofree char *m = NULL;

  if (strstr (target, "endless-") == NULL)
    return false;
  m = marks (in);
  return endless_answer (in->fd, target, m,
                         g_str_has_prefix (target, "/tell/")
                             ? "Content-Type: text/event-stream\r\n"
                             : "");
}

/* An answer that ends early, if the target asks for that. */
static bool
is_cut (const struct in *in)
{
  g_autofree char *id = fk_string ("id", "");
  g_autofree char *asked = header (in, "X-Attempt-Id");
  g_autofree char *last = header (in, "Last-Event-Id");
  g_autofree char *m
      = g_strdup_printf ("X-Attempt-Id: %s\r\n", asked != NULL ? asked : "");

  return cut_answer (in->fd, in->target, id, last, m);
}

/* An answer without end to reports and orders, as a control says. */
static bool
is_duty_endless (const struct in *in)
{
  g_autofree char *form = fk_string ("endless_duty", "");

  return is_endless (in, form);
}

static void
log_run (const struct in *in)
{
  static const char *const names[]
      = { "X-Attempt-Id",       "X-Tenant",
          "X-Cache-Salt",       "X-Expect-Version",
          "X-Request-Priority", "Last-Event-Id",
          "Authorization",      "X-Hold",
          "X-Kv-Fetch",         "Expect",
          "Content-Type",       "Camphorquay-Forwarded" };
  g_autoptr (GString) s = g_string_new (NULL);
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (names); i++)
    {
      g_autofree char *v = header (in, names[i]);

      if (v != NULL)
        g_string_append_printf (s, " %s=%s", names[i], v);
    }
  fk_log ("ran", "method=%s target=%s body=%zu%s", in->method, in->target,
          in->body->len, s->str);
}

static bool
wants_other_version (const struct in *in)
{
  g_autofree char *expected = header (in, "X-Expect-Version");
  bool other;

  g_mutex_lock (&lock);
  other = expected != NULL && g_ascii_strtoll (expected, NULL, 10) != version;
  g_mutex_unlock (&lock);
  return other;
}

static bool
crashes (const struct in *in)
{
  g_autofree char *on = fk_string ("crash_on", "");

  return on[0] != '\0' && strstr (in->body->str, on) != NULL;
}

static bool
has_crashing_part (const struct in *in)
{
  g_autofree char *part = fk_string ("crash_part", "");
  g_autofree char *prompt = header (in, "X-Prompt-Prefix");

  return part[0] != '\0' && prompt != NULL && strstr (prompt, part) != NULL;
}

static bool run_taken (const struct in *in);

/* False if the connection must end. */
static bool
run (const struct in *in)
{
  g_autofree char *expected = header (in, "X-Expect-Instance");
  g_autofree char *id = fk_string ("id", "");
  int64_t taken_ms;
  bool go;

  if (expected != NULL && strcmp (expected, id) != 0)
    {
      refuse (in, 421);
      return true;
    }
  if (wants_other_version (in))
    {
      refuse (in, 421);
      return true;
    }
  if (fk_take ("refuse"))
    {
      fk_log ("refused", "target=%s", in->target);
      refuse (in, 503);
      return true;
    }
  if (!take_slot (in->fd))
    {
      if (has_fallen ())
        return false;
      fk_log ("refused", "target=%s", in->target);
      refuse (in, 503);
      count_refusal ();
      return true;
    }
  taken_ms = now_ms ();
  go = run_taken (in);
  release_slot ();
  if (fk_number ("slots", 0) > 0)
    fk_log ("released", "held_ms=%d", (int)(now_ms () - taken_ms));
  return go;
}

static bool
run_taken (const struct in *in)
{
  g_autofree char *id = fk_string ("id", "");
  g_autofree char *resumed = NULL;
  g_autofree char *ran = NULL;
  g_autofree char *text = NULL;
  int status = 0;

  log_run (in);
  if (is_endless (in, in->target) || is_cut (in))
    return false;
  if (fk_number ("silent", 0))
    {
      while (!peer_closed (in->fd))
        g_usleep (5000);
      return false;
    }
  if (crashes (in))
    _exit (1);
  if (!work (in->fd, fk_number ("delay_ms", 0)))
    {
      fk_log ("cancelled", "target=%s", in->target);
      return false;
    }
  if (has_crashing_part (in))
    {
      fk_log ("crashed", "target=%s", in->target);
      _exit (1);
    }
  if (fk_take ("drop"))
    return false;
  resumed = header (in, "Last-Event-Id");
  if (fk_take (resumed != NULL ? "cut_head_resumed" : "cut_head"))
    {
      cut_head (in);
      return false;
    }
  if (resumed != NULL)
    status = (int)fk_number ("status_resumed", 0);
  if ((fk_number ("events", 0) > 0 || fk_number ("storm", 0) > 0)
      && status == 0)
    return stream (in);
  ran = g_strdup_printf ("%s ran %s %s", id, in->target, in->body->str);
  text = status != 0 ? fk_string ("text_resumed", ran) : g_strdup (ran);
  answer (in, status != 0 ? status : (int)fk_number ("status", 200), text);
  return !fk_number ("unframed", 0) && !fk_number ("close_after", 0);
}

static void
start_again (int64_t at_ms)
{
  g_mutex_lock (&lock);
  if (at_ms != born)
    {
      seq = 0;
      last_fence = 0;
      busy_until = 0;
    }
  born = at_ms;
  g_mutex_unlock (&lock);
}

static void
report (const struct in *in)
{
  g_autofree char *text = NULL;
  g_autofree char *says_born = NULL;

  g_mutex_lock (&lock);
  says_born = born != 0 ? g_strdup_printf (",\"born\":%" G_GINT64_FORMAT,
                                           (gint64)born)
                        : g_strdup ("");
  text = g_strdup_printf (
      "{\"Models\":[{\"Name\":\"m\",\"Version\":%d}],\"Busy\":%s,\"Seq\":%d,"
      "\"Queued\":0,\"Active\":0%s}",
      (int)version, now_ms () < busy_until ? "true" : "false", (int)seq,
      says_born);
  g_mutex_unlock (&lock);
  answer (in, 200, text);
}

/* Carry an order out if its precondition holds. */
static int
carry_out (json_t *doc)
{
  int64_t wanted = json_integer_value (json_object_get (doc, "Precondition"));
  int64_t fence = json_integer_value (json_object_get (doc, "Fence"));
  int status = 202;

  g_mutex_lock (&lock);
  if (fence < last_fence && fk_number ("check_fences", 0))
    status = 412;
  else if (wanted != seq)
    status = 409;
  else
    {
      seq++;
      version = json_integer_value (json_object_get (doc, "Version"));
      last_fence = MAX (last_fence, fence);
      busy_until = now_ms () + fk_number ("load_ms", 50);
    }
  g_mutex_unlock (&lock);
  fk_log ("order",
          "holder=%s fence=%" G_GINT64_FORMAT
          " precondition=%d version=%d mode=%s status=%d",
          json_string_value (json_object_get (doc, "Holder")), (gint64)fence,
          (int)wanted,
          (int)json_integer_value (json_object_get (doc, "Version")),
          json_string_value (json_object_get (doc, "SwitchMode")), status);
  return status;
}

static gpointer
carry_out_late (gpointer arg)
{
  g_usleep ((gulong)fk_number ("late_ms", 1500) * 1000);
  carry_out (arg);
  json_decref (arg);
  return NULL;
}

static bool
order (const struct in *in)
{
  json_t *doc = json_loadb (in->body->str, in->body->len, 0, NULL);

  if (is_duty_endless (in))
    {
      json_decref (doc);
      return false;
    }
  if (fk_take ("late_order"))
    {
      g_thread_unref (g_thread_new ("late", carry_out_late, doc));
      return false;
    }
  answer (in, carry_out (doc), "");
  json_decref (doc);
  return true;
}

static bool
handle (const struct in *in)
{
  if (strcmp (in->target, "/control") == 0)
    {
      fk_control (in->body->str, in->body->len);
      start_again (fk_number ("born", 0));
      put_text (in->fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
      return true;
    }
  if (fk_number ("down", 0) || has_fallen ())
    return false;
  if (strcmp (in->target, "/report") == 0)
    {
      if (is_duty_endless (in))
        return false;
      report (in);
      return !fk_number ("unframed", 0);
    }
  if (strcmp (in->target, "/order") == 0)
    return order (in);
  return run (in);
}

static gpointer
serve (gpointer arg)
{
  int fd = GPOINTER_TO_INT (arg);
  GString *raw = g_string_new (NULL);
  bool go = true;

  while (go)
    {
      struct in in = { 0 };

      go = read_request (fd, raw, &in) && handle (&in);
      g_free (in.head);
      if (in.body != NULL)
        g_string_free (in.body, TRUE);
    }
  g_string_free (raw, TRUE);
  close (fd);
  return NULL;
}

int
fakesrv_main (int port)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  socklen_t len = sizeof sa;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  int on = 1;
  int c;

  fk_init ();
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sa.sin_port = htons ((uint16_t)port);
  sa.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (bind (fd, (struct sockaddr *)&sa, sizeof sa) != 0
      || listen (fd, 128) != 0
      || getsockname (fd, (struct sockaddr *)&sa, &len) != 0)
    return 1;
  fk_set_port (ntohs (sa.sin_port));
  while ((c = accept (fd, NULL, NULL)) >= 0)
    g_thread_unref (g_thread_new ("conn", serve, GINT_TO_POINTER (c)));
  return 1;
}
