/*
 * Answers that end early.  The target of a request says which answer an
 * endpoint begins, where it ends, and how:
 *
 *   .../cut,FORM,HOW,BEHIND,FIRST,SECOND,RESUMED/NAME
 *
 *   FORM     of the answer, see forms and stream_forms
 *   HOW      its connection is closed ("fin"), reset ("rst"), or stays open
 *            without a further byte ("hush")
 *   BEHIND   what follows an answer that is whole or was cut in its head, but
 *            not in the value of a header: 0, nothing; 1, the answer to
 * another request; 2, another answer to the same one FIRST    bytes of the
 * answer at endpoints whose id ends in p, e or b SECOND   likewise at all
 * others RESUMED  likewise of answers to requests that resume a stream
 *
 * Positions count from the end if they are negative, and from the end of the
 * head with an "h" before them; "all" is the whole answer.
 */
#include "fake.h"

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "fakesrv.h"

#define EVENTS 5      /* of a stream */
#define PART_BYTES 12 /* of a body, for each chunk */
#define OTHER_ID "X-Attempt-Id: another\r\n"

enum framing
{
  LENGTH,
  CHUNKS,
  TRAILERS,
  CLOSE,
  NONE
};

/* A kind of answer. */
struct form
{
  const char *name;     /* as in targets */
  int status;           /* of the answer */
  const char *version;  /* of HTTP */
  const char *early;    /* interim answer before it, or NULL */
  const char *headers;  /* beside those of all answers */
  enum framing framing; /* of its body */
  bool has_seal;        /* it bears a seal */
};

#define HINT "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
#define SEALED_HINT                                                           \
  "HTTP/1.1 103 Early Hints\r\nX-Server-Seal: 3e1b.06\r\n\r\n"

static const struct form forms[] = {
  { "length", 200, "1.1", NULL, "", LENGTH, true },
  { "chunks", 200, "1.1", NULL, "", CHUNKS, true },
  { "trailers", 200, "1.1", NULL, "", TRAILERS, true },
  { "early", 200, "1.1", HINT, "", LENGTH, true },
  { "sealed", 200, "1.1", SEALED_HINT, "", LENGTH, true },
  { "old", 200, "1.0", NULL, "", CLOSE, true },
  { "close", 200, "1.1", NULL, "Connection: close\r\n", CLOSE, true },
  { "none", 204, "1.1", NULL, "", NONE, true },
  { "bare", 200, "1.1", NULL, "", LENGTH, false },
  { "gone", 404, "1.1", NULL, "", LENGTH, true },
  { "failed", 500, "1.1", NULL, "", CHUNKS, true },
  { "busy", 503, "1.1", NULL, "", LENGTH, true },
};

static const struct form *
find_form (const char *name)
{
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (forms); i++)
    if (strcmp (forms[i].name, name) == 0)
      return &forms[i];
  return NULL;
}

/* --- the answer ------------------------------------------------------ */

static void
append_part (GString *to, const struct form *f, const char *data, size_t len)
{
  if (f->framing == CHUNKS || f->framing == TRAILERS)
    g_string_append_printf (to, "%zx\r\n%.*s\r\n", len, (int)len, data);
  else
    g_string_append_len (to, data, (gssize)len);
}

/* In chunks of an event each, or of some bytes. */
static void
append_body (GString *to, const struct form *f, const GString *body,
             bool events)
{
  const char *at = body->str, *end = body->str + body->len, *next;

  for (; at < end; at = next)
    {
      next = at + MIN (PART_BYTES, end - at);
      if (events)
        next = strstr (at, "\n\n") + 2;
      append_part (to, f, at, (size_t)(next - at));
    }
  if (f->framing == CHUNKS || f->framing == TRAILERS)
    g_string_append_printf (to, "0\r\n%s\r\n",
                            f->framing == TRAILERS ? "X-After: 1\r\n" : "");
}

static GString *
body_of (const char *target, bool events, int64_t after)
{
  GString *s = g_string_new (NULL);

  if (!events)
    g_string_append_printf (s, "ran %s\n", target);
  for (; events && after < EVENTS; after++)
    g_string_append_printf (s, "id: %d\ndata: t%d\n\n", (int)after + 1,
                            (int)after + 1);
  return s;
}

/* The whole answer; *HEAD_LEN is where its body begins. */
static GString *
build (const struct form *f, const GString *body, bool events,
       const char *marks, gsize *head_len)
{
  GString *s = g_string_new (f->early);

  g_string_append_printf (s, "HTTP/%s %d X\r\n%s%s%s", f->version, f->status,
                          events ? "Content-Type: text/event-stream\r\n" : "",
                          f->headers, marks);
  if (f->has_seal)
    g_string_append (s, "X-Server-Seal: 3e1b.07\r\n");
  if (f->framing == LENGTH)
    g_string_append_printf (s, "Content-Length: %zu\r\n", body->len);
  else if (f->framing == CHUNKS || f->framing == TRAILERS)
    g_string_append (s, "Transfer-Encoding: chunked\r\n");
  g_string_append (s, "\r\n");
  *head_len = s->len;
  if (f->framing != NONE)
    append_body (s, f, body, events);
  return s;
}

/* --- the end --------------------------------------------------------- */

static gsize
position (const char *text, gsize head_len, gsize len)
{
  bool from_head = text[0] == 'h';
  gint64 at = g_ascii_strtoll (text + from_head, NULL, 10);

  if (strcmp (text, "all") == 0)
    return len;
  if (from_head)
    at += (gint64)head_len;
  else if (at < 0)
    at += (gint64)len;
  return (gsize)CLAMP (at, 0, (gint64)len);
}

static void
put_all (int fd, const char *data, gsize len)
{
  ssize_t n;

  while (len > 0 && (n = send (fd, data, len, MSG_NOSIGNAL)) > 0)
    {
      data += n;
      len -= (gsize)n;
    }
}

static void
wait_for_peer (int fd)
{
  char c;

  while (recv (fd, &c, 1, 0) > 0)
    ;
}

static void
finish (int fd, const char *how)
{
  struct linger now = { .l_onoff = 1 };

  if (strcmp (how, "hush") == 0)
    wait_for_peer (fd);
  /* What was sent must not be dropped with the connection. */
  g_usleep (2000);
  if (strcmp (how, "rst") == 0)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

/* A status line that follows there makes a valid header of both. */
static bool
ends_in_value (const GString *s)
{
  const char *nl = strrchr (s->str, '\n');

  return strchr (nl != NULL ? nl : s->str, ':') != NULL;
}

bool
cut_answer (int fd, const char *target, const char *id, const char *last,
            const char *marks)
{
  const char *plan = strstr (target, "/cut,");
  g_auto (GStrv) w = NULL;
  bool events = g_str_has_prefix (target, "/tell/");
  size_t n = strlen (id);
  const struct form *f = NULL;
  g_autoptr (GString) body = NULL, sent = NULL, second = NULL;
  const char *at;
  gsize head_len, cut, whole;

  if (plan == NULL)
    return false;
  w = g_strsplit_set (plan + strlen ("/cut,"), ",/", 7);
  if (g_strv_length (w) == 7)
    f = find_form (w[0]);
  if (f == NULL)
    return false;
  events = events && f->status == 200;
  body = body_of (target, events,
                  last != NULL ? g_ascii_strtoll (last, NULL, 10) : 0);
  sent = build (f, body, events, marks, &head_len);
  whole = sent->len;
  at = last != NULL                                 ? w[5]
       : n > 0 && strchr ("peb", id[n - 1]) != NULL ? w[3]
                                                    : w[4];
  cut = position (at, head_len, whole);
  g_string_truncate (sent, cut);
  fk_log ("cut", "target=%s head=%d whole=%d sent=%d resumed=%d", target,
          (int)head_len, (int)whole, (int)cut, last != NULL);
  if (w[2][0] != '0' && cut > 0 && !ends_in_value (sent)
      && (cut < head_len || (cut == whole && f->framing != CLOSE)))
    {
      second = build (find_form ("length"), body, events,
                      w[2][0] == '1' ? OTHER_ID : marks, &head_len);
      g_string_append_len (sent, second->str, (gssize)second->len);
    }
  put_all (fd, sent->str, sent->len);
  finish (fd, w[1]);
  return true;
}
