/* Replies that are written to a caller's socket without the HTTP library. */
#include "longreply.h"

#include <errno.h>
#include <glib.h>
#include <microhttpd.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#include "decide.h"

#define BLOCK_BYTES 4096 /* of a body that are read at once */
/* Status line, Date, Connection and the header that delimits the body. */
#define FIXED_HEAD_BYTES 256
#define DATE_SIZE 32 /* bytes of an HTTP date with its NUL */
/* A socket that is closed with unread bytes is reset, and the caller may lose
   the end of the reply.  So what a caller still sends is read until it closes,
   for so long. */
#define LINGER_US CQ_US_PER_S

struct longreply
{
  APR_RING_ENTRY (longreply) link; /* in the ring of its owner */
  struct longreply_opts opts;      /* lines and body are not kept */
  struct loop_fd *fd;              /* the socket in the loop */
  struct loop_timer timer;         /* idle_us, then LINGER_US */
  GString *out;                    /* framed bytes to write */
  size_t out_used;                 /* of these, written */
  char *trailer;                   /* line after the last chunk, or NULL */
  bool is_complete;                /* out holds the end of the reply */
  bool lingers;                    /* written; waits for the caller's close */
  bool is_done;                    /* done was called */
};

/* --- framing --------------------------------------------------------- */

size_t
longreply_head_size (const char *const *lines)
{
  size_t size = FIXED_HEAD_BYTES;

  for (; lines != NULL && *lines != NULL; lines++)
    size += strlen (*lines) + strlen ("\r\n");
  return size;
}

/* The headers that this file writes itself. */
static bool
is_own_header (const char *line)
{
  static const char *const names[]
      = { "Connection:", "Content-Length:", "Transfer-Encoding:", "Date:" };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (names); i++)
    if (g_ascii_strncasecmp (line, names[i], strlen (names[i])) == 0)
      return true;
  return false;
}

/* A line break within a line would start another header. */
static void
append_lines (GString *to, const char *const *lines)
{
  for (; lines != NULL && *lines != NULL; lines++)
    if (strchr (*lines, ':') != NULL && strpbrk (*lines, "\r\n") == NULL
        && !is_own_header (*lines))
      g_string_append_printf (to, "%s\r\n", *lines);
}

static void
append_head (GString *to, const struct longreply_opts *o)
{
  time_t seconds = (time_t)o->date_s;
  char date[DATE_SIZE];
  struct tm utc;

  gmtime_r (&seconds, &utc);
  strftime (date, sizeof date, "%a, %d %b %Y %H:%M:%S GMT", &utc);
  g_string_append_printf (
      to, "HTTP/1.1 %d %s\r\nDate: %s\r\nConnection: close\r\n", o->status,
      MHD_get_reason_phrase_for ((unsigned)o->status), date);
  append_lines (to, o->lines);
  if (o->framing == LONGREPLY_WHOLE)
    g_string_append_printf (to, "Content-Length: %zu\r\n", o->len);
  else if (o->framing == LONGREPLY_CHUNKED)
    g_string_append (to, "Transfer-Encoding: chunked\r\n");
  g_string_append (to, "\r\n");
}

static void
append_block (struct longreply *p, const char *data, size_t len)
{
  bool chunked = p->opts.framing == LONGREPLY_CHUNKED;

  if (chunked)
    g_string_append_printf (p->out, "%zx\r\n", len);
  g_string_append_len (p->out, data, (gssize)len);
  if (chunked)
    g_string_append (p->out, "\r\n");
}

static void
append_end (struct longreply *p)
{
  if (p->opts.framing == LONGREPLY_CHUNKED)
    g_string_append_printf (p->out, "0\r\n%s\r\n",
                            p->trailer != NULL ? p->trailer : "");
  p->is_complete = true;
}

/* --- progress -------------------------------------------------------- */

static void
end (struct longreply *p)
{
  if (p->is_done)
    return;
  p->is_done = true;
  loop_disarm (&p->timer);
  loop_watch (p->opts.loop, p->fd, false, false);
  p->opts.done (p->opts.arg);
}

static void
linger (struct longreply *p)
{
  p->lingers = true;
  shutdown (p->opts.fd, SHUT_WR);
  loop_watch (p->opts.loop, p->fd, true, false);
  loop_arm (p->opts.loop, &p->timer, loop_now_us () + LINGER_US);
}

/* Writes what is framed; false if the socket takes no more. */
static bool
write_out (struct longreply *p)
{
  ssize_t n;

  while (p->out_used < p->out->len)
    {
      n = send (p->opts.fd, p->out->str + p->out_used,
                p->out->len - p->out_used, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0)
        {
          if (errno != EAGAIN)
            end (p);
          return false;
        }
      p->out_used += (size_t)n;
      loop_arm (p->opts.loop, &p->timer, loop_now_us () + p->opts.idle_us);
    }
  g_string_truncate (p->out, 0);
  p->out_used = 0;
  return true;
}

/* Frames the next part of the body; false if there is none now. */
static bool
read_body (struct longreply *p)
{
  char block[BLOCK_BYTES];
  ssize_t n = p->opts.read (p->opts.arg, block, sizeof block);

  if (n > 0)
    append_block (p, block, (size_t)n);
  else if (n == LONGREPLY_ENDED)
    append_end (p);
  else if (n == LONGREPLY_BROKEN)
    end (p);
  else
    {
      /* Only the caller is expected to make progress. */
      loop_disarm (&p->timer);
      loop_watch (p->opts.loop, p->fd, false, false);
    }
  return n != LONGREPLY_NOTHING && n != LONGREPLY_BROKEN;
}

/* One block at a time, so that a fast body does not hold up the loop. */
static void
on_writable (struct longreply *p)
{
  if (!write_out (p))
    return;
  if (p->is_complete)
    linger (p);
  else
    read_body (p);
}

static void
discard_input (struct longreply *p)
{
  char block[BLOCK_BYTES];
  ssize_t n = recv (p->opts.fd, block, sizeof block, MSG_DONTWAIT);

  if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
    end (p);
}

static void
on_ready (void *arg, int fd, bool readable, bool writable)
{
  struct longreply *p = arg;

  (void)fd;
  if (p->is_done)
    return;
  if (p->lingers && readable)
    discard_input (p);
  else if (!p->lingers && writable)
    on_writable (p);
}

static void
on_timer (void *arg, int64_t now_us)
{
  (void)now_us;
  end (arg);
}

/* --- interface ------------------------------------------------------- */

void
longreply_ring_init (struct longreply_ring *ring)
{
  APR_RING_INIT (ring, longreply, link);
}

struct longreply *
longreply_new (const struct longreply_opts *opts, struct longreply_ring *ring)
{
  struct longreply *p = g_new0 (struct longreply, 1);

  p->opts = *opts;
  p->out = g_string_new (NULL);
  append_head (p->out, opts);
  if (opts->framing == LONGREPLY_WHOLE)
    g_string_append_len (p->out, opts->body, (gssize)opts->len);
  p->is_complete
      = opts->framing == LONGREPLY_WHOLE || opts->framing == LONGREPLY_NO_BODY;
  p->timer.fire = on_timer;
  p->timer.arg = p;
  p->fd = loop_add_fd (opts->loop, opts->fd, on_ready, p);
  loop_watch (opts->loop, p->fd, false, true);
  loop_arm (opts->loop, &p->timer, loop_now_us () + opts->idle_us);
  APR_RING_ELEM_INIT (p, link);
  APR_RING_INSERT_TAIL (ring, p, longreply, link);
  return p;
}

void
longreply_wake (struct longreply *p)
{
  if (p->is_done || p->lingers)
    return;
  loop_watch (p->opts.loop, p->fd, false, true);
  if (!p->timer.armed)
    loop_arm (p->opts.loop, &p->timer, loop_now_us () + p->opts.idle_us);
}

void
longreply_set_trailer (struct longreply *p, const char *name,
                       const char *value)
{
  g_free (p->trailer);
  p->trailer = g_strdup_printf ("%s: %s\r\n", name, value);
}

void
longreply_end_all (struct longreply_ring *ring)
{
  struct longreply *p;

  APR_RING_FOREACH (p, ring, longreply, link)
  end (p);
}

void
longreply_free (struct longreply *p)
{
  if (p == NULL)
    return;
  loop_disarm (&p->timer);
  loop_remove_fd (p->opts.loop, p->fd);
  APR_RING_REMOVE (p, link);
  g_string_free (p->out, TRUE);
  g_free (p->trailer);
  g_free (p);
}
