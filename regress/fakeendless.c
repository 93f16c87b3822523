/*
 * Answers without end, for the stand-in of an endpoint.  A run whose target
 * holds "endless-FORM" is answered so, at 2 MB/s if FORM ends in "-paced", at
 * 10 kB/s if it ends in "-slow" and at one byte a second if it ends in
 * "-drip", until the peer closes.
 */
#include "fakesrv.h"

#include <glib.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "fake.h"

#define PIECE_BYTES 262144
#define PACED_BYTES_S 2000000
#define SLOW_BYTES_S 10000
/* What the peer has not read yet shall be little beside what it has. */
#define SEND_BUFFER_BYTES 65536

/* One form: what comes first, and what is repeated without end. */
struct form
{
  const char *name;     /* in the target */
  bool no_status;       /* no status line and headers */
  const char *headers;  /* after those of all answers; NULL: the head does not
                           end by itself */
  const char *start;    /* after the head */
  const char *repeated; /* for ever */
};

static const struct form forms[] = {
  { "no-status", true, NULL, "", "x" },
  { "blank-lines", true, NULL, "", "\r\n" },
  { "interim", true, NULL, "", "HTTP/1.1 102 X\r\n\r\n" },
  { "head-line", false, NULL, "X-A: ", "x" },
  { "head-lines", false, NULL, "", "X-A: b\r\n" },
  { "head-short-lines", false, NULL, "", "A:\r\n" },
  { "length", false, "Content-Length: 1099511627776\r\n\r\n", "", "x" },
  { "close", false, "\r\n", "", "x" },
  { "chunks", false, "Transfer-Encoding: chunked\r\n\r\n", "",
    "10\r\nxxxxxxxxxxxxxxx\n\r\n" },
  { "events", false, "Transfer-Encoding: chunked\r\n\r\n", "",
    "20\r\ndata: xxxxxxxxxxxxxxxxxxxxxxxx\n\n\r\n" },
  { "comments", false, "Transfer-Encoding: chunked\r\n\r\n", "",
    "20\r\n: xxxxxxxxxxxxxxxxxxxxxxxxxxxx\n\n\r\n" },
  { "chunk-size", false, "Transfer-Encoding: chunked\r\n\r\n", "", "0" },
  { "extension", false, "Transfer-Encoding: chunked\r\n\r\n", "1;", "x" },
  { "extensions", false, "Transfer-Encoding: chunked\r\n\r\n", "",
    "1;xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n"
    "x\r\n" },
  { "trailers", false, "Transfer-Encoding: chunked\r\n\r\n",
    "2\r\nok\r\n0\r\n", "X-A: b\r\n" },
  { "trailer", false, "Transfer-Encoding: chunked\r\n\r\n",
    "2\r\nok\r\n0\r\nX-A: ", "x" },
  { "after", false, "Content-Length: 2\r\n\r\n", "ok", "x" },
};

static const struct form *
find_form (const char *name)
{
  const struct form *found = NULL;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (forms); i++)
    if (g_str_has_prefix (name, forms[i].name)
        && (found == NULL || strlen (forms[i].name) > strlen (found->name)))
      found = &forms[i];
  return found;
}

/* Bytes a second, 0 for as many as the connection takes. */
static gsize
rate_of (const char *name)
{
  if (g_str_has_suffix (name, "-paced"))
    return PACED_BYTES_S;
  if (g_str_has_suffix (name, "-slow"))
    return SLOW_BYTES_S;
  return g_str_has_suffix (name, "-drip") ? 1 : 0;
}

static bool
put (int fd, const char *data, size_t len, gint64 *sent)
{
  ssize_t n;

  while (len > 0)
    {
      n = send (fd, data, len, MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      data += n;
      len -= (size_t)n;
      *sent += n;
    }
  return true;
}

/* Whether the peer keeps the connection open for MS. */
static bool
is_open_for (int fd, int ms)
{
  struct pollfd p = { .fd = fd, .events = POLLIN };

  return poll (&p, 1, ms) == 0;
}

static void
put_without_end (int fd, const char *repeated, gsize rate, gint64 *sent)
{
  g_autoptr (GString) piece = g_string_new (NULL);
  gsize at = 0, n;

  while (piece->len < PIECE_BYTES)
    g_string_append (piece, repeated);
  if (rate == 0)
    {
      while (put (fd, piece->str, piece->len, sent))
        ;
      return;
    }
  n = MAX (rate / 10, 1);
  while (put (fd, piece->str + at, MIN (n, piece->len - at), sent)
         && is_open_for (fd, rate > 10 ? 100 : 1000))
    at = at + n < piece->len ? at + n : 0;
}

bool
endless_answer (int fd, const char *target, const char *marks,
                const char *type)
{
  static const int buffer = SEND_BUFFER_BYTES;
  const char *name = strstr (target, "endless-");
  const struct form *f;
  g_autofree char *head = NULL;
  gint64 begun = g_get_monotonic_time ();
  gint64 sent = 0;

  if (name == NULL)
    return false;
  name += strlen ("endless-");
  f = find_form (name);
  if (f == NULL)
    return false;
  setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &buffer, sizeof buffer);
  head = f->no_status
             ? g_strdup ("")
             : g_strdup_printf ("HTTP/1.1 200 OK\r\n%s%s%s", type, marks,
                                f->headers != NULL ? f->headers : "");
  if (put (fd, head, strlen (head), &sent)
      && put (fd, f->start, strlen (f->start), &sent))
    put_without_end (fd, f->repeated, rate_of (name), &sent);
  fk_log ("endless",
          "form=%s sent=%" G_GINT64_FORMAT " took_ms=%" G_GINT64_FORMAT, name,
          sent, (g_get_monotonic_time () - begun) / 1000);
  return true;
}
