/*
 * Stand-ins of the second review: a caller, a plain service, and a model
 * engine that keeps a prefix cache, as the platform's protocol describes them.
 *
 *   peer-2 call ADDRESS METHOD TARGET TIMEOUT_MS BODY [HEADER-LINE...]
 *     sends one request on a new connection; prints the status and the body
 *     (as received, chunks decoded), or "none" if the connection ends without
 *     a whole head.  "whole=0" stands behind the status if the answer broke
 *     off.
 *
 *   peer-2 kept ADDRESS ID HEAD_BYTES LINES
 *     sends two requests, ID-1 and ID-2, on one connection; the head of the
 *     second has HEAD_BYTES bytes, in LINES lines beside the usual ones.
 *
 *   peer-2 app ID FAIL_PERCENT STATUS [ANSWER_HEAD_BYTES]
 *     a plain service at a free port of 127.0.0.1, with GET /report for
 *     probes.  It runs each request and prints that as one line; this share
 *     of its runs fails with STATUS, after it has begun to work, so without
 *     saying that it has not run it.  The heads of its answers have that
 *     many bytes, if it is given.
 *
 *   peer-2 engine ID MODEL
 *     listens on a free port of 127.0.0.1 and prints "port=N".  Each run is
 *     printed as one line, with the parts of its prompt that it found in the
 *     cache and the tenants that made them.
 *
 * The names of the platform's headers come from the environment.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 65536

/* Headers of the platform. */
enum name
{
  ID,             /* the request's id */
  DEADLINE,       /* ms that the caller waits */
  SEAL,           /* the server's seal */
  LOAD,           /* its load */
  VERSIONS,       /* version of its weights */
  INSTANCE,       /* its id */
  NOT_RUN,        /* it has not run the request */
  EXPECT,         /* id of the server that may run it */
  EXPECT_VERSION, /* version of the weights that it may run on */
  TENANT,         /* tenant of the request */
  SALT,           /* text that cached parts lie under */
  PROMPT,         /* parts of the prompt */
  NAMES
};

static const char *const variables[NAMES] = {
  [ID] = "NAME_ID",
  [DEADLINE] = "NAME_DEADLINE",
  [SEAL] = "NAME_SEAL",
  [LOAD] = "NAME_LOAD",
  [VERSIONS] = "NAME_VERSIONS",
  [INSTANCE] = "NAME_INSTANCE",
  [NOT_RUN] = "NAME_NOT_RUN",
  [EXPECT] = "NAME_EXPECT",
  [EXPECT_VERSION] = "NAME_EXPECT_VERSION",
  [TENANT] = "NAME_TENANT",
  [SALT] = "NAME_SALT",
  [PROMPT] = "NAME_PROMPT",
};

static const char *names[NAMES];

static bool
read_names (void)
{
  int i;

  for (i = 0; i < NAMES; i++)
    {
      names[i] = getenv (variables[i]);
      if (names[i] == NULL)
        {
          fprintf (stderr, "%s is not set\n", variables[i]);
          return false;
        }
    }
  return true;
}

static long long
now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return t.tv_sec * 1000LL + t.tv_nsec / 1000000;
}

/* --- bytes ------------------------------------------------------------ */

struct buffer
{
  char *data; /* always ends with a NUL that is not counted */
  size_t len;
};

static void
append (struct buffer *b, const char *data, size_t len)
{
  b->data = realloc (b->data, b->len + len + 1);
  memcpy (b->data + b->len, data, len);
  b->len += len;
  b->data[b->len] = '\0';
}

static void
drop (struct buffer *b, size_t n)
{
  memmove (b->data, b->data + n, b->len - n + 1);
  b->len -= n;
}

/* Reads more bytes until UNTIL_MS; 1 for some, 0 for the end, -1 otherwise. */
static int
more (int fd, struct buffer *b, long long until_ms)
{
  struct pollfd p = { .fd = fd, .events = POLLIN };
  char block[16384];
  long long left = until_ms - now_ms ();
  ssize_t n;

  if (left <= 0 || poll (&p, 1, (int)left) <= 0)
    return -1;
  n = recv (fd, block, sizeof block, 0);
  if (n > 0)
    append (b, block, (size_t)n);
  return n > 0 ? 1 : (int)n;
}

static bool
put (int fd, const char *data, size_t len)
{
  ssize_t n;

  for (; len > 0; data += n, len -= (size_t)n)
    if ((n = send (fd, data, len, MSG_NOSIGNAL)) <= 0)
      return false;
  return true;
}

static bool
put_text (int fd, const char *text)
{
  return put (fd, text, strlen (text));
}

/* Value of a header in HEAD, copied to TO; "" and false if there is none. */
static bool
header (const char *head, const char *name, char *to, size_t size)
{
  size_t n = strlen (name), len;
  const char *line = strstr (head, "\r\n");

  to[0] = '\0';
  for (; line != NULL; line = strstr (line + 2, "\r\n"))
    if (strncasecmp (line + 2, name, n) == 0 && line[2 + n] == ':')
      {
        const char *value = line + 2 + n + 1;

        value += strspn (value, " \t");
        len = strcspn (value, "\r");
        if (len >= size)
          len = size - 1;
        memcpy (to, value, len);
        to[len] = '\0';
        return true;
      }
  return false;
}

/* --- the caller -------------------------------------------------------- */

static int
connect_to (const char *address)
{
  struct sockaddr_in to = { .sin_family = AF_INET };
  char host[64];
  const char *colon = strchr (address, ':');
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  if (colon == NULL || (size_t)(colon - address) >= sizeof host)
    return -1;
  memcpy (host, address, (size_t)(colon - address));
  host[colon - address] = '\0';
  to.sin_port = htons ((unsigned short)atoi (colon + 1));
  inet_pton (AF_INET, host, &to.sin_addr);
  if (connect (fd, (struct sockaddr *)&to, sizeof to) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Reads a chunked body; true if its last chunk arrived. */
static bool
read_chunks (int fd, struct buffer *raw, struct buffer *body, long long until)
{
  char *eol;
  size_t size;

  for (;;)
    {
      while ((eol = strstr (raw->data, "\r\n")) == NULL)
        if (more (fd, raw, until) <= 0)
          return false;
      size = strtoul (raw->data, NULL, 16);
      drop (raw, (size_t)(eol + 2 - raw->data));
      while (raw->len < size + 2)
        if (more (fd, raw, until) <= 0)
          return false;
      append (body, raw->data, size);
      drop (raw, size + 2);
      if (size == 0)
        return true;
    }
}

/* Reads an answer; false if the connection ends before its head is whole.
   WHOLE tells whether its body is. */
static bool
read_answer (int fd, long long until, char *status, struct buffer *body,
             bool *whole)
{
  struct buffer raw = { 0 };
  char value[64], *end;
  size_t n;

  append (&raw, "", 0);
  append (body, "", 0);
  *whole = true;
  while ((end = strstr (raw.data, "\r\n\r\n")) == NULL)
    if (more (fd, &raw, until) <= 0)
      {
        free (raw.data);
        return false;
      }
  snprintf (status, 4, "%.3s", raw.data + 9);
  end[2] = '\0';
  if (header (raw.data, "Transfer-Encoding", value, sizeof value))
    {
      drop (&raw, (size_t)(end + 4 - raw.data));
      *whole = read_chunks (fd, &raw, body, until);
    }
  else
    {
      n = header (raw.data, "Content-Length", value, sizeof value)
              ? strtoul (value, NULL, 10)
              : 0;
      drop (&raw, (size_t)(end + 4 - raw.data));
      while (raw.len < n && *whole)
        *whole = more (fd, &raw, until) > 0;
      append (body, raw.data, raw.len < n ? raw.len : n);
    }
  free (raw.data);
  return true;
}

static int
call (int argc, char **argv)
{
  struct buffer request = { 0 }, body = { 0 };
  long long until = now_ms () + atoi (argv[5]);
  char line[512], status[4];
  bool whole;
  int fd, i;

  fd = connect_to (argv[2]);
  if (fd < 0)
    {
      puts ("none");
      return 1;
    }
  snprintf (line, sizeof line, "%s %s HTTP/1.1\r\n", argv[3], argv[4]);
  append (&request, line, strlen (line));
  for (i = 7; i < argc; i++)
    {
      append (&request, argv[i], strlen (argv[i]));
      append (&request, "\r\n", 2);
    }
  snprintf (line, sizeof line, "Content-Length: %zu\r\n\r\n",
            strlen (argv[6]));
  append (&request, line, strlen (line));
  append (&request, argv[6], strlen (argv[6]));
  put (fd, request.data, request.len);
  if (!read_answer (fd, until, status, &body, &whole))
    {
      puts ("none");
      return 1;
    }
  printf ("%s%s %s\n", status, whole ? "" : " whole=0", body.data);
  close (fd);
  return 0;
}

/* A request whose head has SIZE bytes, with LINES lines of the same length
   beside the usual ones, or as many bytes as it needs without them. */
static void
append_request (struct buffer *to, const char *id, size_t size, int lines)
{
  char line[512];
  size_t start = to->len, pad;
  int i;

  snprintf (line, sizeof line,
            "POST /assign/1 HTTP/1.1\r\nHost: h.example\r\n"
            "Authorization: Token k-weavers\r\n%s: %s\r\n"
            "%s: 3000\r\nContent-Length: %zu\r\n",
            names[ID], id, names[DEADLINE], strlen (id));
  append (to, line, strlen (line));
  for (i = 0; i < lines; i++)
    {
      snprintf (line, sizeof line, "X-Note-%d: ", i);
      pad = (size - 2 - (to->len - start)) / (size_t)(lines - i);
      append (to, line, strlen (line));
      for (pad -= strlen (line) + 2; pad > 0; pad--)
        append (to, "n", 1);
      append (to, "\r\n", 2);
    }
  append (to, "\r\n", 2);
  append (to, id, strlen (id));
}

/* Sends two requests on one connection, the second one with a long head. */
static int
kept (char **argv)
{
  struct buffer request = { 0 }, body = { 0 };
  long long until = now_ms () + 5000;
  char id[64], status[4];
  size_t size = strtoul (argv[4], NULL, 10);
  int i, lines = atoi (argv[5]), fd = connect_to (argv[2]);
  bool whole;

  for (i = 1; i <= 2; i++)
    {
      request.len = body.len = 0;
      snprintf (id, sizeof id, "%s-%d", argv[3], i);
      append_request (&request, id, size, i == 2 ? lines : 0);
      put (fd, request.data, request.len);
      if (read_answer (fd, until, status, &body, &whole))
        printf ("%s %s%s\n", id, status, whole ? "" : " whole=0");
      else
        printf ("%s none after_ms=%lld\n", id, now_ms () + 5000 - until);
    }
  close (fd);
  return 0;
}

/* --- the engine --------------------------------------------------------- */

#define ENTRIES_MAX 65536

/* A part in the cache. */
struct entry
{
  char salt[160];  /* text it lies under */
  char id[64];     /* of the part */
  char tenant[64]; /* whose request made it */
  int version;     /* weights it was made under */
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct entry *entries;
static int nentries;
static const char *engine_id, *engine_model;
static int version = 1, seq;

/* Looks up the parts of a prompt and adds those that are missing. */
static void
use_cache (const char *salt, const char *tenant, const char *prefix,
           char *found, size_t size)
{
  char list[4096], *part, *save = NULL;
  bool all = true;
  int i;

  found[0] = '\0';
  snprintf (list, sizeof list, "%s", prefix);
  for (part = strtok_r (list, ",", &save); part != NULL;
       part = strtok_r (NULL, ",", &save))
    {
      part[strcspn (part, ":")] = '\0';
      for (i = 0; i < nentries; i++)
        if (strcmp (entries[i].salt, salt) == 0
            && strcmp (entries[i].id, part) == 0)
          break;
      all &= i < nentries;
      if (all)
        snprintf (found + strlen (found), size - strlen (found),
                  " found=%s made_by=%s made_under=%d", part,
                  entries[i].tenant, entries[i].version);
      else if (i == nentries && nentries < ENTRIES_MAX)
        {
          struct entry *e = &entries[nentries++];

          snprintf (e->salt, sizeof e->salt, "%s", salt);
          snprintf (e->id, sizeof e->id, "%.60s", part);
          snprintf (e->tenant, sizeof e->tenant, "%s", tenant);
          e->version = version;
        }
    }
}

static void
refuse (int fd, int status)
{
  char text[256];

  snprintf (text, sizeof text,
            "HTTP/1.1 %d X\r\n%s: 1\r\n%s: %s\r\n%s: %d\r\n"
            "Content-Length: 0\r\n\r\n",
            status, names[NOT_RUN], names[INSTANCE], engine_id,
            names[VERSIONS], version);
  put_text (fd, text);
}

static void
run (int fd, const char *head)
{
  char id[128], tenant[64], salt[160], prefix[4096], expect[128], text[1024],
      found[4096];
  int under, i;

  if (header (head, names[EXPECT], expect, sizeof expect)
      && strcmp (expect, engine_id) != 0)
    {
      refuse (fd, 421);
      return;
    }
  header (head, names[ID], id, sizeof id);
  header (head, names[TENANT], tenant, sizeof tenant);
  header (head, names[PROMPT], prefix, sizeof prefix);
  pthread_mutex_lock (&lock);
  under = version;
  if (header (head, names[EXPECT_VERSION], expect, sizeof expect)
      && atoi (expect) != under)
    {
      pthread_mutex_unlock (&lock);
      refuse (fd, 421);
      return;
    }
  if (!header (head, names[SALT], salt, sizeof salt))
    snprintf (salt, sizeof salt, "(absent)");
  use_cache (salt, tenant, prefix, found, sizeof found);
  printf ("run id=%s tenant=%s salt=%s version=%d expect_version=%s%s\n", id,
          tenant, salt, under, expect[0] != '\0' ? expect : "(absent)", found);
  fflush (stdout);
  pthread_mutex_unlock (&lock);
  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n%s: %s\r\n%s: 3e1b.07\r\n"
            "%s: 1,0,8\r\n%s: %d\r\n\r\n",
            names[ID], id, names[SEAL], names[LOAD], names[VERSIONS], under);
  put_text (fd, text);
  for (i = 1; i <= 3; i++)
    {
      char event[64];

      snprintf (event, sizeof event, "id: %d\ndata: t%d\n\n", i, i);
      snprintf (text, sizeof text, "%zx\r\n%s\r\n", strlen (event), event);
      usleep (5000);
      put_text (fd, text);
    }
  put_text (fd, "0\r\n\r\n");
}

/* --- the plain service -------------------------------------------------- */

static int fail_percent = -1, fail_status, answer_head_bytes;

static void
run_plain (int fd, const char *head, const char *body, size_t n)
{
  static unsigned turn;
  char id[128], tenant[64], expect[128], answer[512], text[1024];
  struct buffer padding = { 0 };
  int status = 200, left;

  if (header (head, names[EXPECT], expect, sizeof expect)
      && strcmp (expect, engine_id) != 0)
    {
      refuse (fd, 421);
      return;
    }
  header (head, names[ID], id, sizeof id);
  header (head, names[TENANT], tenant, sizeof tenant);
  pthread_mutex_lock (&lock);
  /* Spread evenly: 45 of 100 are 9 of each 20. */
  turn++;
  if ((turn * (unsigned)fail_percent) / 100
      != ((turn - 1) * (unsigned)fail_percent) / 100)
    status = fail_status;
  printf ("run id=%s server=%s tenant=%s body=%.*s status=%d\n", id, engine_id,
          tenant, (int)n, body, status);
  fflush (stdout);
  pthread_mutex_unlock (&lock);
  usleep (15000);
  snprintf (answer, sizeof answer, "%s %.*s",
            status == 200 ? "done" : "failed", (int)n, body);
  snprintf (text, sizeof text,
            "HTTP/1.1 %d X\r\n%s: %s\r\n%s: 3e1b.07\r\n%s: 1,0,6\r\n"
            "Content-Length: %zu\r\n",
            status, names[ID], id, names[SEAL], names[LOAD], strlen (answer));
  append (&padding, text, strlen (text));
  for (left = answer_head_bytes - (int)padding.len - 2; left > 100;
       left = answer_head_bytes - (int)padding.len - 2)
    {
      snprintf (text, sizeof text, "Set-Cookie: c%d=%0*d\r\n", left,
                left < 220 ? left - 20 - snprintf (NULL, 0, "%d", left) : 120,
                0);
      append (&padding, text, strlen (text));
    }
  append (&padding, "\r\n", 2);
  append (&padding, answer, strlen (answer));
  put (fd, padding.data, padding.len);
  free (padding.data);
}

static void
report (int fd)
{
  char doc[256], text[512];

  pthread_mutex_lock (&lock);
  snprintf (doc, sizeof doc,
            "{\"Stage\":\"colocated\",\"Models\":[{\"Name\":\"%s\","
            "\"Version\":%d,\"Adapters\":[]}],\"Busy\":false,\"Seq\":%d,"
            "\"Queued\":0,\"Active\":0,\"KvUsed\":0,\"KvTotal\":90000,"
            "\"Handles\":0}",
            engine_model, version, seq);
  pthread_mutex_unlock (&lock);
  snprintf (text, sizeof text,
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            "Content-Length: %zu\r\n\r\n%s",
            strlen (doc), doc);
  put_text (fd, text);
}

static void *
serve (void *arg)
{
  int fd = (int)(long)arg;
  struct buffer raw = { 0 };
  char value[64], *end;
  size_t n;

  append (&raw, "", 0);
  for (;;)
    {
      while ((end = strstr (raw.data, "\r\n\r\n")) == NULL)
        if (raw.len > HEAD_MAX || more (fd, &raw, now_ms () + 60000) <= 0)
          goto out;
      end[2] = '\0';
      n = header (raw.data, "Content-Length", value, sizeof value)
              ? strtoul (value, NULL, 10)
              : 0;
      while (raw.len < (size_t)(end + 4 - raw.data) + n)
        {
          size_t at = (size_t)(end - raw.data);

          if (more (fd, &raw, now_ms () + 60000) <= 0)
            goto out;
          end = raw.data + at;
        }
      if (strncmp (raw.data, "GET /report", 11) == 0)
        report (fd);
      else if (strncmp (raw.data, "GET /health", 11) == 0)
        put_text (fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
      else if (fail_percent >= 0)
        run_plain (fd, raw.data, end + 4, n);
      else
        run (fd, raw.data);
      drop (&raw, (size_t)(end + 4 - raw.data) + n);
    }
out:
  free (raw.data);
  close (fd);
  return NULL;
}

static int
listen_as (char **argv)
{
  struct sockaddr_in at = { .sin_family = AF_INET };
  socklen_t len = sizeof at;
  int fd = socket (AF_INET, SOCK_STREAM, 0), c;
  pthread_t thread;

  engine_id = argv[2];
  engine_model = argv[3];
  entries = calloc (ENTRIES_MAX, sizeof *entries);
  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (bind (fd, (struct sockaddr *)&at, sizeof at) != 0
      || listen (fd, 128) != 0
      || getsockname (fd, (struct sockaddr *)&at, &len) != 0)
    return 1;
  printf ("port=%d\n", ntohs (at.sin_port));
  fflush (stdout);
  while ((c = accept (fd, NULL, NULL)) >= 0)
    if (pthread_create (&thread, NULL, serve, (void *)(long)c) == 0)
      pthread_detach (thread);
  return 1;
}

int
main (int argc, char **argv)
{
  if (!read_names ())
    return 2;
  if (argc >= 7 && strcmp (argv[1], "call") == 0)
    return call (argc, argv);
  if (argc == 4 && strcmp (argv[1], "engine") == 0)
    return listen_as (argv);
  if (argc == 6 && strcmp (argv[1], "kept") == 0)
    return kept (argv);
  if ((argc == 5 || argc == 6) && strcmp (argv[1], "app") == 0)
    {
      fail_percent = atoi (argv[3]);
      fail_status = atoi (argv[4]);
      answer_head_bytes = argc == 6 ? atoi (argv[5]) : 0;
      argv[3] = "";
      return listen_as (argv);
    }
  fprintf (stderr, "usage: peer-2 call ADDRESS METHOD TARGET TIMEOUT_MS BODY "
                   "[HEADER...]\n       peer-2 kept ADDRESS ID "
                   "HEAD_BYTES LINES\n       peer-2 app ID FAIL_PERCENT "
                   "STATUS [ANSWER_HEAD_BYTES]\n       peer-2 engine ID "
                   "MODEL\n");
  return 2;
}
