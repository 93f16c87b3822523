/*
 * Streams of the stand-in for an endpoint, each of which draws its form and
 * its fate: how events are written, and whether and how the answer ends early.
 *
 * A target /PATH/NAME/N asks for N events.  Each of them says
 *   data: BUILD RUN AFTER NAME I
 * where RUN is this run's own name and AFTER the event after which it began.
 */
#include "fake.h"

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

#include "fakesrv.h"

#define PAUSE_MIN_MS 2
#define PAUSE_DRAWN_MS 30
#define LARGE_BYTES 20000
#define HANG_MS 700 /* silence before an answer breaks off */

enum fate
{
  WHOLE,
  CUT_BETWEEN,   /* ends after a whole event */
  CUT_IN_EVENT,  /* ends in the middle of one */
  CUT_IN_CHUNK,  /* the chunk's frame says more than was sent */
  HANG_THEN_CUT, /* falls silent first */
};

/* What was drawn for one run. */
struct form
{
  enum fate fate;    /* how it ends */
  int cut_at;        /* event that is not sent whole */
  bool reset;        /* ends by a reset */
  bool crlf;         /* lines end in CRLF */
  bool unframed;     /* no chunks; a cut is a reset then */
  bool comments;     /* comments in events, and comments alone */
  bool typed;        /* fields besides id and data; id last */
  bool in_pieces;    /* each event in several writes */
  bool pairs;        /* two events in one chunk */
  bool repeats;      /* a resumed run sends the event that it goes on after */
  bool without_ids;  /* no event has an id */
  bool large;        /* events of many bytes */
  bool other_answer; /* a second answer follows */
};

/* One run. */
struct storm
{
  int fd;             /* connection */
  struct form form;   /* drawn */
  XXH64_hash_t state; /* of the draws */
  GString *out;       /* bytes of the chunk that is being made */
  const char *build;  /* of the endpoint */
  const char *name;   /* of the stream */
  const char *run;    /* of this run */
  int64_t after;      /* event after which it began, 0 at the start */
  bool (*work) (int fd, int64_t ms); /* false if the peer left */
};

static gint runs;

static uint64_t
draw (struct storm *s, uint64_t n)
{
  s->state = XXH3_64bits_withSeed (&s->state, sizeof s->state, 1);
  return s->state % n;
}

static bool
one_in (struct storm *s, uint64_t n)
{
  return draw (s, n) == 0;
}

static void
draw_form (struct storm *s, int64_t n)
{
  struct form *f = &s->form;

  if (draw (s, 100) < (uint64_t)fk_number ("storm_cuts", 35))
    f->fate = (enum fate) (1 + draw (s, HANG_THEN_CUT));
  f->cut_at = (int)(s->after + 1
                    + (int64_t)draw (s, (uint64_t)MAX (n - s->after, 1)));
  f->reset = one_in (s, 2);
  f->crlf = one_in (s, 6);
  f->unframed = draw (s, 100) < (uint64_t)fk_number ("storm_undelimited", 12);
  f->comments = one_in (s, 6);
  f->typed = one_in (s, 6);
  f->in_pieces = one_in (s, 5);
  f->pairs = one_in (s, 5);
  f->repeats = one_in (s, 4);
  f->large = one_in (s, 6);
  f->other_answer = one_in (s, 12);
  /* All runs of a stream are alike in this. */
  f->without_ids = strstr (s->name, "noid") != NULL;
  if (f->unframed && f->fate != WHOLE)
    f->reset = true;
}

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

/* What was collected, as one chunk, of which LESS bytes are kept back. */
static void
flush (struct storm *s, size_t less)
{
  g_autoptr (GString) raw = g_string_new (NULL);
  size_t i, step;

  if (s->out->len == 0)
    return;
  if (!s->form.unframed)
    g_string_append_printf (raw, "%zx\r\n", s->out->len);
  g_string_append_len (raw, s->out->str, (gssize)(s->out->len - less));
  if (!s->form.unframed && less == 0)
    g_string_append (raw, "\r\n");
  step = s->form.in_pieces ? 1 + raw->len / 3 : raw->len;
  for (i = 0; i < raw->len; i += step)
    {
      put (s->fd, raw->str + i, MIN (step, raw->len - i));
      if (s->form.in_pieces)
        g_usleep (1000);
    }
  g_string_truncate (s->out, 0);
}

static void
add_event (struct storm *s, int64_t i)
{
  const char *end = s->form.crlf ? "\r\n" : "\n";
  g_autofree char *id
      = s->form.without_ids
            ? g_strdup ("")
            : g_strdup_printf ("id: %" G_GINT64_FORMAT "%s", (gint64)i, end);

  if (s->form.comments && one_in (s, 3))
    g_string_append_printf (s->out, ": keep%s%s", end, end);
  if (s->form.comments)
    g_string_append_printf (s->out, ":id: 0%s", end);
  if (s->form.typed)
    g_string_append_printf (s->out, "x-weight-versions: 1%sevent: e%s", end,
                            end);
  else
    g_string_append (s->out, id);
  g_string_append_printf (
      s->out, "data: %s %s %" G_GINT64_FORMAT " %s %" G_GINT64_FORMAT "%s",
      s->build, s->run, (gint64)s->after, s->name, (gint64)i, end);
  if (s->form.large)
    g_string_append_printf (s->out, "pad: %0*d%s", LARGE_BYTES, 0, end);
  if (s->form.typed)
    g_string_append (s->out, id);
  g_string_append (s->out, end);
}

static void
reset (int fd)
{
  struct linger l = { .l_onoff = 1 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &l, sizeof l);
}

/* The answer ends early, at event I. */
static void
cut (struct storm *s, int64_t i)
{
  size_t whole = s->out->len;

  if (s->form.fate != CUT_BETWEEN && s->form.fate != HANG_THEN_CUT)
    {
      add_event (s, i);
      if (s->form.fate == CUT_IN_CHUNK)
        flush (s, 1 + draw (s, s->out->len - whole - 1));
      else
        g_string_truncate (s->out,
                           whole + 1 + draw (s, s->out->len - whole - 1));
    }
  flush (s, 0);
  /* A reset overtakes what was sent before it. */
  if (s->form.reset && one_in (s, 2))
    g_usleep (3000);
  if (s->form.fate == HANG_THEN_CUT)
    s->work (s->fd, HANG_MS);
  if (s->form.reset)
    reset (s->fd);
  fk_log ("cut", "run=%s name=%s at=%" G_GINT64_FORMAT " fate=%d reset=%d",
          s->run, s->name, (gint64)i, s->form.fate, s->form.reset);
}

/* False if the connection must end. */
static bool
send_events (struct storm *s, int64_t n)
{
  int64_t i = s->after + (s->after > 0 && s->form.repeats ? 0 : 1);

  for (; i <= n; i++)
    {
      if (!s->work (s->fd, PAUSE_MIN_MS + (int64_t)draw (s, PAUSE_DRAWN_MS)))
        {
          fk_log ("left", "run=%s name=%s", s->run, s->name);
          return false;
        }
      if (s->form.fate != WHOLE && i >= s->form.cut_at)
        {
          cut (s, i);
          return false;
        }
      add_event (s, i);
      if (!s->form.pairs || i % 2 == 0 || i == n)
        flush (s, 0);
    }
  fk_log ("whole", "run=%s name=%s", s->run, s->name);
  return true;
}

bool
storm_stream (const struct storm_opts *o)
{
  g_auto (GStrv) parts = g_strsplit (o->target, "/", -1);
  g_autofree char *build = fk_string ("build", "");
  g_autofree char *id = fk_string ("id", "");
  g_autofree char *run
      = g_strdup_printf ("%s.%d", id, g_atomic_int_add (&runs, 1));
  g_autofree char *head = NULL;
  struct storm s = { .fd = o->fd, .work = o->work, .after = o->after };
  int64_t n;
  bool whole;

  if (g_strv_length (parts) != 4)
    return false;
  n = g_ascii_strtoll (parts[3], NULL, 10);
  s.name = parts[2];
  s.build = build;
  s.run = run;
  s.state = XXH3_64bits_withSeed (run, strlen (run),
                                  (XXH64_hash_t)fk_number ("storm", 0));
  draw_form (&s, n);
  fk_log ("begins", "run=%s build=%s name=%s after=%" G_GINT64_FORMAT, run,
          build, s.name, (gint64)s.after);
  head = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s%s\r\n",
      s.form.unframed ? "" : "Transfer-Encoding: chunked\r\n", o->marks);
  put (s.fd, head, strlen (head));
  s.out = g_string_new (NULL);
  whole = send_events (&s, n);
  if (whole && !s.form.unframed)
    put (s.fd, "0\r\n\r\n", 5);
  if (whole && s.form.other_answer && !s.form.unframed)
    {
      put (s.fd, head, strlen (head));
      g_string_append (s.out, "id: 1\ndata: x x 0 second 1\n\n");
      flush (&s, 0);
      put (s.fd, "0\r\n\r\n", 5);
    }
  g_string_free (s.out, TRUE);
  return whole && !s.form.unframed;
}
