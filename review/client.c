/*
 * Client of the review's cases.
 *
 *   client put HOST:PORT METHOD PATH <BODY
 *       one request; prints the status, exits with 0 if it is 2xx
 *   client load HOST:PORT NAME RATE SECONDS PATH HEADER...
 *       RATE POST requests a second to PATH/ID for SECONDS, in clumps, each on
 *       its own connection; prints a line for each.  A "@" that ends a header
 *       stands for the request's id.
 *   client raw HOST:PORT SECONDS <BYTES
 *       sends the bytes as they are; prints what came back in SECONDS
 */
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define ANSWER_MAX 262144
#define HEAD_MAX 4096
#define BODY_MAX 1048576
#define WAIT_MS 6000 /* for an answer */
#define CLUMP 3 /* requests that come at once, as the site's traffic says */

/* An answer as far as it was read. */
struct answer
{
  char data[ANSWER_MAX]; /* head and body, with a NUL */
  size_t len;            /* bytes of it */
  bool closed;           /* the peer ended or reset the connection */
};

/* The requests that `load' sends. */
struct load
{
  struct sockaddr_in to; /* the VM */
  const char *name;      /* prefix of the ids */
  const char *path;      /* path of the route */
  char **headers;        /* further header lines, ends with NULL */
};

struct request
{
  const struct load *load;
  int number;
};

static int64_t
now_us (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_REALTIME, &ts);
  return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

static int64_t
now_ms (void)
{
  return now_us () / 1000;
}

static void
sleep_us (int64_t us)
{
  struct timespec ts = { us / 1000000, us % 1000000 * 1000 };

  if (us > 0)
    nanosleep (&ts, NULL);
}

static struct sockaddr_in
address_of (const char *text)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  char host[64] = "";
  const char *colon = strrchr (text, ':');

  if (colon == NULL || (size_t)(colon - text) >= sizeof host)
    exit (2);
  memcpy (host, text, (size_t)(colon - text));
  sa.sin_port = htons ((uint16_t)strtol (colon + 1, NULL, 10));
  if (inet_pton (AF_INET, host, &sa.sin_addr) != 1)
    exit (2);
  return sa;
}

/* The socket, or -1. */
static int
open_connection (const struct sockaddr_in *to)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  if (fd >= 0 && connect (fd, (const struct sockaddr *)to, sizeof *to) == 0)
    return fd;
  if (fd >= 0)
    close (fd);
  return -1;
}

static bool
send_all (int fd, const char *data, size_t len)
{
  ssize_t n;

  while (len > 0)
    {
      n = send (fd, data, len, MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      data += n;
      len -= (size_t)n;
    }
  return true;
}

/* Reads once, until UNTIL_MS at most; false if nothing more comes. */
static bool
read_more (int fd, struct answer *a, int64_t until_ms)
{
  struct pollfd p = { .fd = fd, .events = POLLIN };
  int64_t left = until_ms - now_ms ();
  ssize_t n;

  if (left <= 0 || a->len + 1 >= ANSWER_MAX || poll (&p, 1, (int)left) <= 0)
    return false;
  n = recv (fd, a->data + a->len, ANSWER_MAX - 1 - a->len, 0);
  if (n <= 0)
    {
      a->closed = true;
      return false;
    }
  a->len += (size_t)n;
  a->data[a->len] = '\0';
  return true;
}

/* Whether the head, and the body by its length or its last chunk, are there.
 */
static bool
is_complete (const struct answer *a)
{
  const char *body = strstr (a->data, "\r\n\r\n");
  const char *length = strcasestr (a->data, "\r\nContent-Length:");
  const char *chunked = strcasestr (a->data, "\r\nTransfer-Encoding:");

  if (body == NULL)
    return false;
  body += 4;
  if (length != NULL && length < body)
    return a->len - (size_t)(body - a->data)
           >= strtoul (length + strlen ("\r\nContent-Length:"), NULL, 10);
  if (chunked != NULL && chunked < body)
    return a->len >= 5 && strcmp (a->data + a->len - 5, "0\r\n\r\n") == 0;
  return a->closed;
}

static int
status_of (const struct answer *a)
{
  return a->len > 12 ? (int)strtol (a->data + 9, NULL, 10) : 0;
}

static size_t
read_stdin (char *to, size_t max)
{
  return fread (to, 1, max, stdin);
}

static int
run_put (char **argv)
{
  static char body[BODY_MAX];
  static struct answer a;
  struct sockaddr_in to = address_of (argv[2]);
  size_t len = read_stdin (body, sizeof body);
  char head[HEAD_MAX];
  int fd = open_connection (&to);
  int64_t until = now_ms () + WAIT_MS;

  snprintf (head, sizeof head,
            "%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %zu\r\n\r\n",
            argv[3], argv[4], len);
  if (fd < 0 || !send_all (fd, head, strlen (head))
      || !send_all (fd, body, len))
    return 2;
  while (!is_complete (&a) && read_more (fd, &a, until))
    continue;
  close (fd);
  printf ("%d\n", status_of (&a));
  return status_of (&a) / 100 == 2 ? 0 : 1;
}

static int
run_raw (char **argv)
{
  static char bytes[BODY_MAX];
  static struct answer a;
  struct sockaddr_in to = address_of (argv[2]);
  size_t len = read_stdin (bytes, sizeof bytes);
  int64_t until = now_ms () + strtol (argv[3], NULL, 10) * 1000;
  int fd = open_connection (&to);

  if (fd < 0 || !send_all (fd, bytes, len))
    return 2;
  while (read_more (fd, &a, until))
    continue;
  close (fd);
  fwrite (a.data, 1, a.len, stdout);
  printf ("\n(%s)\n", a.closed ? "closed" : "open");
  return 0;
}

/* The head of a request with the id. */
static void
write_head (char *to, size_t size, const struct load *l, const char *id)
{
  size_t n = (size_t)snprintf (
      to, size, "POST %s%s HTTP/1.1\r\nHost: h.example\r\n", l->path, id);
  char **h;

  for (h = l->headers; *h != NULL && n < size; h++)
    {
      size_t len = strlen (*h);
      bool named = len > 0 && (*h)[len - 1] == '@';

      n += (size_t)snprintf (to + n, size - n, "%.*s%s\r\n",
                             (int)(named ? len - 1 : len), *h,
                             named ? id : "");
    }
  if (n < size)
    snprintf (to + n, size - n, "Content-Length: 5\r\n\r\nhello");
}

static void *
run_request (void *arg)
{
  struct request *q = arg;
  const struct load *l = q->load;
  struct answer *a = calloc (1, sizeof *a);
  char head[HEAD_MAX], id[64];
  int64_t sent = now_ms ();
  int fd = open_connection (&l->to);
  const char *outcome = "no_connection";

  snprintf (id, sizeof id, "%s-%d", l->name, q->number);
  write_head (head, sizeof head, l, id);
  if (a != NULL && fd >= 0 && send_all (fd, head, strlen (head)))
    {
      while (!is_complete (a) && read_more (fd, a, sent + WAIT_MS))
        continue;
      outcome = is_complete (a) ? "complete" : a->closed ? "cut" : "no_answer";
    }
  if (fd >= 0)
    close (fd);
  printf ("id=%s sent_ms=%lld end_ms=%lld status=%d outcome=%s\n", id,
          (long long)sent, (long long)now_ms (), a != NULL ? status_of (a) : 0,
          outcome);
  free (a);
  free (q);
  return NULL;
}

static int
run_load (char **argv)
{
  static struct load l;
  int64_t rate = strtol (argv[4], NULL, 10);
  int64_t total = rate * strtol (argv[5], NULL, 10);
  int64_t due = now_us ();
  pthread_attr_t attr;
  pthread_t thread;
  struct request *q;
  int i;

  srand48 (now_us () ^ getpid ());
  l.to = address_of (argv[2]);
  l.name = argv[3];
  l.path = argv[6];
  l.headers = argv + 7;
  pthread_attr_init (&attr);
  pthread_attr_setdetachstate (&attr, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&attr, 65536);
  for (i = 0; i < total; i++)
    {
      /* Clumps come at random times. */
      if (i % CLUMP == 0)
        due += (int64_t)(drand48 () * 2000000 * CLUMP / (double)rate);
      sleep_us (due - now_us ());
      q = calloc (1, sizeof *q);
      if (q == NULL)
        return 2;
      q->load = &l;
      q->number = i;
      if (pthread_create (&thread, &attr, run_request, q) != 0)
        free (q);
    }
  sleep_us ((WAIT_MS + 200) * INT64_C (1000));
  fflush (stdout);
  return 0;
}

int
main (int argc, char **argv)
{
  setvbuf (stdout, NULL, _IOLBF, 0);
  if (argc == 5 && strcmp (argv[1], "put") == 0)
    return run_put (argv);
  if (argc == 4 && strcmp (argv[1], "raw") == 0)
    return run_raw (argv);
  if (argc >= 7 && strcmp (argv[1], "load") == 0)
    return run_load (argv);
  fputs ("usage: client put|load|raw HOST:PORT ...\n", stderr);
  return 2;
}
