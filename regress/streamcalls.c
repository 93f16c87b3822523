/*
 * Callers of streams: leave, are cut off, come back at the same or at another
 * VM, and check each stream as a whole.
 *
 *   streamcalls DIR VMS CALLERS SECONDS SEED UNNAMED UNNUMBERED
 *
 * DIR/front.VM holds the address of each VM of VMS, a word of letters; it is
 * read again at each connection.  UNNAMED of 100 streams that are taken up
 * again do not name the request that began them, and the events of UNNUMBERED
 * of 100 streams have no ids.  Events are those of fakestorm.c.  Prints each
 * stream that is not as it should be, with its events, and what was counted.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <poll.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_TIMEOUT_MS 4000
#define SLOW_READ_US 5000UL
#define SMALL_BUFFER 4096
#define TRIES_MAX 10 /* requests for one stream */
#define NAME_SIZE 64
#define EVENTS_MAX 64

/* How a reply ended. */
enum end
{
  COMPLETE,
  BROKEN,  /* by its VM, or its connection */
  LEFT,    /* by the caller */
  REFUSED, /* no reply to the request, or one of another status */
};

/* A connection to a VM. */
struct conn
{
  int fd;            /* -1 if there is none */
  char vm;           /* its letter */
  GString *in;       /* read and not parsed */
  int receive_bytes; /* buffer of the socket, 0 for the usual one */
  bool slow;         /* reads a little at a time */
  GString *body;     /* of the reply, events that are not whole */
};

/* An event that reached the caller. */
struct event
{
  int64_t id;             /* -1 if it has none */
  int64_t number;         /* as its data says */
  int64_t after;          /* event after which its run began */
  char build[NAME_SIZE];  /* of its endpoint */
  char run[NAME_SIZE];    /* its run */
  char stream[NAME_SIZE]; /* stream that it belongs to */
};

/* One stream, from its first request on. */
struct stream
{
  char name[NAME_SIZE];  /* in its target */
  char first[NAME_SIZE]; /* id of the request that brought the first event */
  const char *route;     /* prefix of its target */
  int64_t wanted;        /* events of the whole stream */
  bool resumable;        /* by the caller */
  bool named;            /* names the first request */
  struct event events[EVENTS_MAX]; /* what the caller has */
  int nevents;                     /* in events */
  bool is_complete;                /* ended as complete */
  int tries;                       /* requests sent */
  const char *fault;               /* what is wrong with it, or NULL */
  char at[256];                    /* VM, request and end of each try */
};

/* One caller. */
struct caller
{
  GRand *rand;           /* of its own */
  struct conn conns[26]; /* kept, by the VM's letter */
  int64_t told_ms;       /* pause that the last refusal asked for, -1 */
  bool told_anew;        /* it said that the stream is to begin anew */
  int number;            /* in names of streams */
};

enum counter
{
  STREAMS,
  WHOLE_STREAMS,
  TAKEN_UP,     /* requests that resume */
  WENT_ON,      /* of these, that brought events */
  UNNAMED_ON,   /* of these, of callers that name nothing */
  BEGIN_ANEW,   /* refusals that say so */
  REFUSALS,     /* others */
  OVERLAPPED,   /* streams taken up beside a first reply that goes on */
  SEVERAL_RUNS, /* streams whose events are of several runs */
  FAULTS,
  NCOUNTERS
};

static const char *dir, *vms;
static int unnamed, unnumbered;
static int64_t until_ms;
static gint counted[NCOUNTERS];
static GMutex out_lock;

static void
count (enum counter c)
{
  g_atomic_int_inc (&counted[c]);
}

static int64_t
now_ms (void)
{
  return g_get_monotonic_time () / 1000;
}

static int
draw (struct caller *c, int n)
{
  return g_rand_int_range (c->rand, 0, n);
}

/* --- connections ----------------------------------------------------- */

static void
conn_close (struct conn *k, bool by_reset)
{
  struct linger l = { .l_onoff = 1 };

  if (k->fd < 0)
    return;
  if (by_reset)
    setsockopt (k->fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
  close (k->fd);
  k->fd = -1;
  g_string_truncate (k->in, 0);
}

static bool
conn_open (struct conn *k)
{
  g_autofree char *path = g_strdup_printf ("%s/front.%c", dir, k->vm);
  g_autofree char *text = NULL;
  struct sockaddr_in sa = { .sin_family = AF_INET };
  char *colon;

  if (k->fd >= 0)
    return true;
  if (!g_file_get_contents (path, &text, NULL, NULL)
      || (colon = strchr (text, ':')) == NULL)
    return false;
  sa.sin_port = htons ((uint16_t)atoi (colon + 1));
  sa.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  k->fd = socket (AF_INET, SOCK_STREAM, 0);
  if (k->receive_bytes > 0)
    setsockopt (k->fd, SOL_SOCKET, SO_RCVBUF, &k->receive_bytes,
                sizeof k->receive_bytes);
  if (connect (k->fd, (struct sockaddr *)&sa, sizeof sa) == 0)
    return true;
  conn_close (k, false);
  return false;
}

/* False at the end, or if nothing comes. */
static bool
conn_read (struct conn *k)
{
  struct pollfd p = { .fd = k->fd, .events = POLLIN };
  char buf[4096];
  ssize_t n;

  if (poll (&p, 1, READ_TIMEOUT_MS) <= 0)
    return false;
  if (k->slow)
    g_usleep (SLOW_READ_US);
  n = recv (k->fd, buf, sizeof buf, 0);
  if (n <= 0)
    return false;
  g_string_append_len (k->in, buf, n);
  return true;
}

/* A line without its end, freed by the caller; NULL if none comes. */
static char *
read_line (struct conn *k)
{
  char *nl, *line;

  while ((nl = strstr (k->in->str, "\r\n")) == NULL)
    if (!conn_read (k))
      return NULL;
  line = g_strndup (k->in->str, (gsize)(nl - k->in->str));
  g_string_erase (k->in, 0, nl + 2 - k->in->str);
  return line;
}

/* --- events ---------------------------------------------------------- */

static void
complain (struct stream *s, const char *fault)
{
  if (s->fault == NULL)
    s->fault = fault;
}

/* Checks an event against the one before it. */
static void
check_event (struct stream *s, const struct event *e)
{
  const struct event *last
      = s->nevents > 0 ? &s->events[s->nevents - 1] : NULL;
  int64_t had = last != NULL ? last->number : 0;

  if (strcmp (e->stream, s->name) != 0)
    complain (s, "event of another stream");
  else if (e->id >= 0 && e->id != e->number)
    complain (s, "id of another event");
  else if (e->number <= had)
    complain (s, "event twice, or back");
  else if (e->number != had + 1)
    complain (s, "event missing");
  else if (last != NULL && strcmp (e->build, last->build) != 0)
    complain (s, "two builds");
  else if (last != NULL && strcmp (e->run, last->run) != 0
           && (!s->resumable || e->after != had))
    complain (s, "two runs, not after the last event");
}

/* One event without its blank line; a comment alone is none. */
static void
take_event (struct stream *s, const char *text, const char *request)
{
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  struct event e = { .id = -1 };
  bool has_data = false;
  int i;

  for (i = 0; lines[i] != NULL; i++)
    {
      g_strchomp (lines[i]);
      if (g_str_has_prefix (lines[i], "id:"))
        e.id = g_ascii_strtoll (lines[i] + 3, NULL, 10);
      else if (g_str_has_prefix (lines[i], "data:"))
        has_data
            = sscanf (lines[i] + 5,
                      "%63s %63s %" G_GINT64_FORMAT " %63s %" G_GINT64_FORMAT,
                      e.build, e.run, &e.after, e.stream, &e.number)
              == 5;
    }
  if (!has_data)
    return;
  if (s->nevents == EVENTS_MAX)
    {
      complain (s, "too many events");
      return;
    }
  check_event (s, &e);
  if (s->nevents == 0)
    g_strlcpy (s->first, request, sizeof s->first);
  else if (strcmp (s->events[s->nevents - 1].run, e.run) != 0)
    count (SEVERAL_RUNS);
  s->events[s->nevents++] = e;
}

/* Takes whole events off BODY. */
static void
take_events (struct stream *s, GString *body, const char *request)
{
  gsize i, start = 0;
  gsize len;

  for (i = 0; i < body->len; i++)
    {
      if (body->str[i] != '\n')
        continue;
      len = body->str[i + 1] == '\r' ? 2 : 1;
      if (body->str[i + len] != '\n')
        continue;
      g_autofree char *text = g_strndup (body->str + start, i + 1 - start);

      take_event (s, text, request);
      start = i + len + 1;
      i = start - 1;
    }
  g_string_erase (body, 0, (gssize)start);
}

/* --- requests -------------------------------------------------------- */

static bool
send_request (struct caller *c, struct conn *k, struct stream *s,
              const char *id, int64_t last)
{
  GString *q = g_string_new (NULL);
  ssize_t n;

  g_string_printf (q,
                   "POST %s%s/%" G_GINT64_FORMAT
                   " HTTP/1.1\r\nHost: h.example\r\n"
                   "Authorization: Token k1\r\nX-Attempt-Id: %s\r\n"
                   "X-Deadline-Ms: 12000\r\nContent-Length: 1\r\n",
                   s->route, s->name, (gint64)s->wanted, id);
  if (last > 0)
    g_string_append_printf (q, "Last-Event-Id: %" G_GINT64_FORMAT "\r\n",
                            (gint64)last);
  if (last > 0 && s->named)
    g_string_append_printf (q, "Resumes: %s\r\n", s->first);
  g_string_append (q, "\r\nx");
  n = send (k->fd, q->str, q->len, MSG_NOSIGNAL);
  c->told_ms = -1;
  c->told_anew = false;
  g_string_free (q, TRUE);
  return n > 0;
}

/* The status, 0 if there is none; LENGTH is -1 for a body in chunks. */
static int
read_head (struct caller *c, struct conn *k, int64_t *length, bool *closes)
{
  g_autofree char *first = read_line (k);
  char *line;
  int status = 0;

  *length = -1;
  *closes = false;
  if (first == NULL || sscanf (first, "HTTP/1.1 %d", &status) != 1)
    return 0;
  while ((line = read_line (k)) != NULL && line[0] != '\0')
    {
      if (g_ascii_strncasecmp (line, "Content-Length:", 15) == 0)
        *length = g_ascii_strtoll (line + 15, NULL, 10);
      else if (g_ascii_strncasecmp (line, "Connection: close", 17) == 0)
        *closes = true;
      else if (g_ascii_strncasecmp (line, "Retry-After:", 12) == 0)
        c->told_ms = 1000 * g_ascii_strtoll (line + 12, NULL, 10);
      else if (g_ascii_strncasecmp (line, "Camphorquay-Begin-Anew:", 23) == 0)
        c->told_anew = true;
      g_free (line);
    }
  if (line == NULL)
    return 0;
  g_free (line);
  return status;
}

/* A body of LENGTH bytes, of no interest. */
static bool
skip_body (struct conn *k, int64_t length)
{
  while ((int64_t)k->in->len < length)
    if (!conn_read (k))
      return false;
  g_string_erase (k->in, 0, (gssize)length);
  return true;
}

/* Chunks of a stream, until it ends or has STOP_AT events. */
static enum end
read_events (struct conn *k, struct stream *s, const char *request,
             int stop_at)
{
  GString *body = k->body;
  bool whole = false;
  gsize size;
  char *line;

  while ((line = read_line (k)) != NULL)
    {
      size = (gsize)strtoul (line, NULL, 16);
      g_free (line);
      while (k->in->len < size + 2)
        if (!conn_read (k))
          {
            g_string_append_len (body, k->in->str, (gssize)k->in->len);
            take_events (s, body, request);
            return BROKEN;
          }
      g_string_append_len (body, k->in->str, (gssize)size);
      g_string_erase (k->in, 0, (gssize)size + 2);
      take_events (s, body, request);
      whole = size == 0;
      if (whole)
        break;
      if (s->nevents >= stop_at)
        return LEFT;
    }
  if (!whole)
    return BROKEN;
  if (body->len > 0)
    complain (s, "ended as complete within an event");
  return COMPLETE;
}

static void
note_try (struct stream *s, char vm, const char *id, const char *end)
{
  gsize n = strlen (s->at);

  g_snprintf (s->at + n, sizeof s->at - n, " %c:%s:%s", vm, id, end);
}

/* One request for S on K; the connection stays open if the caller left and
   the reply goes on. */
static enum end
ask (struct caller *c, struct conn *k, struct stream *s, int stop_at)
{
  static const char *const ends[]
      = { "complete", "broken", "left", "refused" };
  int64_t last = s->nevents > 0 ? s->events[s->nevents - 1].number : 0;
  int64_t length;
  int had = s->nevents;
  char id[NAME_SIZE];
  enum end end = REFUSED;
  bool closes = false;
  int status = 0;

  g_snprintf (id, sizeof id, "%s-%d", s->name, ++s->tries);
  if (last > 0)
    count (TAKEN_UP);
  if (conn_open (k) && send_request (c, k, s, id, last))
    status = read_head (c, k, &length, &closes);
  g_string_truncate (k->body, 0);
  if (status == 200 && length < 0)
    end = read_events (k, s, id, stop_at);
  else if (status == 0 || !skip_body (k, length))
    conn_close (k, false);
  /* The rest of a stream that the caller has to its last event is empty. */
  if (status == 200 && length == 0)
    end = COMPLETE;
  else if (status == 200 && length > 0)
    complain (s, "not a stream");
  if (end == BROKEN || (end != LEFT && closes))
    conn_close (k, false);
  else if (end == COMPLETE && k->in->len > 0)
    complain (s, "bytes after the reply");
  if (end == COMPLETE)
    s->is_complete = true;
  if (last > 0 && s->nevents > had)
    count (s->named ? WENT_ON : UNNAMED_ON);
  note_try (s, k->vm, id, ends[end]);
  return end;
}

/* --- streams --------------------------------------------------------- */

static struct conn *
any_vm (struct caller *c)
{
  return &c->conns[vms[draw (c, (int)strlen (vms))] - 'a'];
}

static void
check_end (struct stream *s)
{
  if (s->is_complete
      && (s->nevents == 0 || s->events[s->nevents - 1].number != s->wanted))
    complain (s, "ended as complete before its last event");
}

static void
report (struct stream *s)
{
  const struct event *e;
  int i;

  check_end (s);
  if (s->fault == NULL)
    return;
  count (FAULTS);
  g_mutex_lock (&out_lock);
  printf ("%s: %s%s, %d of %d events:%s;", s->fault, s->route, s->name,
          s->nevents, (int)s->wanted, s->at);
  for (i = 0; i < s->nevents; i++)
    {
      e = &s->events[i];
      if (i == 0 || strcmp (e->run, s->events[i - 1].run) != 0)
        printf (" [%s %s after %d]", e->build, e->run, (int)e->after);
      printf (" %d", (int)e->number);
    }
  printf ("\n");
  fflush (stdout);
  g_mutex_unlock (&out_lock);
}

/* Pause before the next request; false if there is to be none. */
static bool
may_come_back (struct caller *c, const struct stream *s, enum end end)
{
  int64_t pause = draw (c, 4) == 0 ? draw (c, 600) : draw (c, 30);

  if (end == COMPLETE || s->tries >= TRIES_MAX || now_ms () > until_ms + 3000)
    return false;
  if (end == REFUSED && c->told_anew)
    {
      count (BEGIN_ANEW);
      return false;
    }
  if (end == REFUSED)
    count (REFUSALS);
  if (!s->resumable && s->nevents > 0)
    return false;
  if (end == REFUSED && c->told_ms > 0)
    pause = MIN (c->told_ms, 600);
  g_usleep ((gulong)pause * 1000);
  return true;
}

/* The rest of a first reply that went on while its stream was taken up. */
static void
finish_first (struct conn *k, struct stream *s)
{
  s->is_complete = read_events (k, s, s->first, EVENTS_MAX + 1) == COMPLETE;
  note_try (s, k->vm, s->first, "first goes on");
  conn_close (k, false);
  report (s);
}

static void
begin (struct caller *c, struct stream *s, int number)
{
  static const char *const routes[]
      = { "/tell/", "/tell/", "/tell/", "/keep/" };
  int kind = draw (c, 4);

  memset (s, 0, sizeof *s);
  s->route = routes[kind];
  s->resumable = strcmp (s->route, "/tell/") == 0;
  s->named = draw (c, 100) >= unnamed;
  s->wanted = 2 + draw (c, draw (c, 3) == 0 ? 40 : 12);
  g_snprintf (s->name, sizeof s->name, "%sc%dn%d",
              draw (c, 100) < unnumbered ? "noid" : "", c->number, number);
  if (g_str_has_prefix (s->name, "noid"))
    s->resumable = false;
}

/* A stream from its first request to its end. */
static void
play (struct caller *c, int number)
{
  struct stream s;
  g_autofree struct stream *first = NULL;
  struct conn *k = any_vm (c);
  struct conn parked = { .fd = -1 };
  enum end end;
  int stop;

  begin (c, &s, number);
  count (STREAMS);
  do
    {
      stop = draw (c, 3) == 0 ? s.nevents + 1 + draw (c, 6) : EVENTS_MAX + 1;
      end = ask (c, k, &s, stop);
      if (end == LEFT && first == NULL && s.resumable && draw (c, 2) == 0)
        {
          /* The first reply goes on beside the next one. */
          count (OVERLAPPED);
          first = g_memdup2 (&s, sizeof s);
          parked = *k;
          *k = (struct conn){ .fd = -1, .vm = k->vm };
          k->in = g_string_new (NULL);
          k->body = g_string_new (NULL);
        }
      else if (end == LEFT)
        conn_close (k, draw (c, 2) == 0);
      if (draw (c, 2) == 0)
        k = any_vm (c);
    }
  while (may_come_back (c, &s, end));
  if (s.is_complete)
    count (WHOLE_STREAMS);
  report (&s);
  if (first != NULL)
    {
      finish_first (&parked, first);
      g_string_free (parked.in, TRUE);
      g_string_free (parked.body, TRUE);
    }
}

static gpointer
run_caller (gpointer arg)
{
  struct caller *c = arg;
  int i;

  for (i = 0; i < 26; i++)
    c->conns[i] = (struct conn){ .fd = -1,
                                 .vm = (char)('a' + i),
                                 .in = g_string_new (NULL),
                                 .body = g_string_new (NULL) };
  for (i = 0; i < 26; i++)
    if (draw (c, 4) == 0)
      {
        c->conns[i].slow = true;
        c->conns[i].receive_bytes = SMALL_BUFFER;
      }
  for (i = 1; now_ms () < until_ms; i++)
    play (c, i);
  for (i = 0; i < 26; i++)
    {
      conn_close (&c->conns[i], false);
      g_string_free (c->conns[i].in, TRUE);
      g_string_free (c->conns[i].body, TRUE);
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  static const char *const names[NCOUNTERS]
      = { "streams",    "whole",    "taken_up",   "went_on",      "unnamed_on",
          "begin_anew", "refusals", "overlapped", "several_runs", "faults" };
  GThread *threads[256];
  struct caller callers[256] = { 0 };
  int i, n;

  if (argc != 8)
    return 2;
  dir = argv[1];
  vms = argv[2];
  n = MIN (atoi (argv[3]), 256);
  until_ms = now_ms () + INT64_C (1000) * atoi (argv[4]);
  unnamed = atoi (argv[6]);
  unnumbered = atoi (argv[7]);
  for (i = 0; i < n; i++)
    {
      callers[i].number = i;
      callers[i].rand
          = g_rand_new_with_seed ((guint32)(atoi (argv[5]) * 1000 + i));
      threads[i] = g_thread_new ("caller", run_caller, &callers[i]);
    }
  for (i = 0; i < n; i++)
    {
      g_thread_join (threads[i]);
      g_rand_free (callers[i].rand);
    }
  for (i = 0; i < NCOUNTERS; i++)
    printf ("%s=%d%c", names[i], counted[i], i + 1 < NCOUNTERS ? ' ' : '\n');
  return counted[FAULTS] > 0;
}
