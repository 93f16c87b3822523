/*
 * Unit tests of replies of the platform's store that are parsed in steps: the
 * result does not depend on the size of the steps, and the event loop serves
 * sockets between them.
 */
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "fetch.h"
#include "loop.h"
#include "platform/platform.h"
#include "units.h"
#include "xfer.h"

#define MANY 10000     /* routes */
#define TURN_PIECES 40 /* of a reply, parsed in one turn of the loop */
#define CODED_PIECE                                                           \
  1024 /* base64 characters in a step piece                                   \
        */

/* --- test data ------------------------------------------------------- */

/* Settings with N routes, two to a host, the longer prefix second. */
static char *
conf_text (int n)
{
  GString *s = g_string_new ("{\"Version\": 9,\"Limits\":{},\"Routes\" : [");
  int i;

  for (i = 0; i < n; i++)
    g_string_append_printf (
        s,
        "%s{\"Name\":\"r%d\",\"Host\":\"H%d.example\",\"Prefix\":\"/a%s/\","
        "\"Kind\":\"idempotent\",\"TimeoutMs\":3000,\"Service\":\"app\"}",
        i > 0 ? " ,\n" : "", i, i / 2, i % 2 ? "/b" : "");
  g_string_append (s, "],\"Services\":[{\"Name\":\"app\"}],\"Tenants\":["
                      "{\"Name\":\"t\",\"ApiKeys\":[\"k1\",\"k2\"]}]}");
  return g_string_free (s, FALSE);
}

/* A reply with three rows; the second one has VALUE, which is not encoded
   again. */
static char *
reply_with (const char *value)
{
  /* {"Model":"m","Version":3}, and an endpoint at 10.0.0.1:1. */
  return g_strdup_printf (
      "{\"Ver\":7,\"Rows\":[{\"Table\":\"op\",\"Key\":\"version/m\",\"Ver\":5,"
      "\"Value\":\"eyJNb2RlbCI6Im0iLCJWZXJzaW9uIjozfQ==\"},"
      "{\"Value\":\"%s\",\"Ver\":6,\"Table\":\"op\",\"Key\":\"config\"},"
      "{\"Table\":\"servers\",\"Key\":\"s1\",\"Ver\":7,"
      "\"Value\":\"eyJBZGRyZXNzIjoiMTAuMC4wLjE6MSIsIlNlcnZp"
      "Y2UiOiJhcHAiLCJab25lIjoiZCIsIlN0YXRlIjoicmVhZHkiLCJTbG90cyI6OH0=\"}],"
      "\"NowMs\":5,\"HasMore\":true}",
      value);
}

/* Overwrite the bytes at AT with TEXT. */
static void
put (char *at, const char *text)
{
  while (*text != '\0')
    *at++ = *text++;
}

static char *
reply_text (int routes)
{
  g_autofree char *conf = conf_text (routes);
  g_autofree char *coded
      = g_base64_encode ((const guchar *)conf, strlen (conf));

  return reply_with (coded);
}

static struct follow_reply
news_new (void)
{
  struct follow_reply n = { 0 };

  n.items = g_array_new (FALSE, TRUE, sizeof (struct follow_item));
  return n;
}

static const struct follow_item *
item (const struct follow_reply *n, guint i)
{
  g_assert_cmpuint (i, <, n->items->len);
  return &g_array_index (n->items, struct follow_item, i);
}

/* Parse TEXT in steps of PIECES.  Returns the number of steps, -1 if TEXT is
   invalid. */
static int
parse_in_steps (const char *text, size_t len, int pieces,
                struct follow_reply *n)
{
  struct prows *p = prows_new (text, len, n);
  enum pdecode d;
  int steps = 1;

  while ((d = prows_step (p, pieces)) == PDECODE_MORE)
    steps++;
  if (d == PDECODE_DONE)
    {
      g_assert_true (prows_has_more (p));
      g_assert_cmpstr (prows_last_key (p), ==, "s1");
    }
  prows_free (p);
  return d == PDECODE_DONE ? steps : -1;
}

static void
check_conf (const struct fleet_conf *c, int routes)
{
  const struct fleet_route *r = fleet_route_find (c, "h1.example", "/a/b/c");

  g_assert_cmpint (c->version, ==, 9);
  g_assert_cmpuint (c->routes->len, ==, routes);
  g_assert_cmpstr (r->name, ==, "r3");
  g_assert_cmpint (r->timeout_us, ==, 3000000);
  g_assert_cmpstr (r->splits[0].service, ==, "app");
  g_assert_cmpstr (fleet_route_find (c, "h1.example", "/a/c")->name, ==, "r2");
  g_assert_nonnull (g_hash_table_lookup (c->services, "app"));
  g_assert_nonnull (g_hash_table_lookup (c->keys, "k2"));
  g_assert_cmpint (c->limits.body_bytes, ==, 4194304);
}

static void
check_news (const struct follow_reply *n, int routes)
{
  g_assert_cmpint (n->version, ==, 7);
  g_assert_cmpint (n->store_ms, ==, 5);
  g_assert_cmpuint (n->items->len, ==, 3);
  g_assert_cmpint (item (n, 0)->kind, ==, FOLLOW_ITEM_WEIGHTS);
  g_assert_cmpstr (item (n, 0)->model, ==, "m");
  g_assert_cmpint (item (n, 0)->version, ==, 3);
  g_assert_cmpint (item (n, 1)->kind, ==, FOLLOW_ITEM_CONF);
  g_assert_cmpint (item (n, 1)->row, ==, 6);
  check_conf (item (n, 1)->conf, routes);
  g_assert_cmpint (item (n, 2)->kind, ==, FOLLOW_ITEM_ENDPOINT);
  g_assert_cmpstr (item (n, 2)->listing.id, ==, "s1");
  g_assert_cmpstr (item (n, 2)->listing.address, ==, "10.0.0.1:1");
}

/* --- parsing --------------------------------------------------------- */

/* The result is the same for each size of step, and small steps are many. */
static void
test_same_in_steps (void)
{
  static const int pieces[] = { 1, 3, TURN_PIECES, G_MAXINT };
  g_autofree char *text = reply_text (300);
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (pieces); i++)
    {
      struct follow_reply n = news_new ();
      int steps = parse_in_steps (text, strlen (text), pieces[i], &n);

      g_assert_cmpint (steps, >=, 300 / pieces[i]);
      check_news (&n, 300);
      pdecode_clear (&n);
    }
}

/* A reply that is truncated at any byte is invalid, and so is one with bytes
   after its end.  Items that were parsed until then are freed. */
static void
test_truncated (void)
{
  g_autofree char *text = reply_text (4);
  g_autofree char *longer = g_strconcat (text, "}", NULL);
  size_t len = strlen (text);
  size_t i;

  for (i = 0; i < len; i++)
    {
      struct follow_reply n = news_new ();

      g_assert_cmpint (parse_in_steps (text, i, 2, &n), ==, -1);
      pdecode_clear (&n);
    }
  {
    struct follow_reply n = news_new ();

    g_assert_false (pdecode_rows (longer, len + 1, &n));
    pdecode_clear (&n);
  }
}

/* Texts that are not valid replies. */
static void
test_invalid_replies (void)
{
  static const char *const texts[] = {
    "",
    "[]",
    "null",
    "{}",
    "{\"Rows\":{}}",
    "{\"Rows\":[1]}",
    "{\"Rows\":[{},]}",
    "{\"Rows\":[{}{}]}",
    "{\"Rows\":[,{}]}",
    "{\"Rows\":[{\"Key\":}]}",
    "{\"Rows\":[{\"Key\" \"a\"}]}",
    "{\"Rows\":[]\"Ver\":1}",
    "{\"Ver\":1,\"Rows\":[],}",
    "{1:2,\"Rows\":[]}",
  };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      struct follow_reply n = news_new ();

      if (pdecode_rows (texts[i], strlen (texts[i]), &n))
        g_error ("read as an answer: %s", texts[i]);
      pdecode_clear (&n);
    }
}

/* Guards against applying part of invalid settings, by which routes would be
   lost without notice.  The other rows of the reply still apply. */
static void
test_invalid_settings (void)
{
  g_autofree char *conf = conf_text (300);
  g_autofree char *coded
      = g_base64_encode ((const guchar *)conf, strlen (conf));
  /* Padding inside the text, in the space between two members of the JSON
     object, so that the text before and after it is valid. */
  g_autofree char *spaced
      = g_strdup_printf ("{%*s%s", 2 * CODED_PIECE, "", conf + 1);
  g_autofree char *padded
      = g_base64_encode ((const guchar *)spaced, strlen (spaced));
  g_autofree char *more = g_strconcat (conf, "x", NULL);
  g_autofree char *trailed
      = g_base64_encode ((const guchar *)more, strlen (more));
  g_autofree char *cut
      = g_base64_encode ((const guchar *)conf, strlen (conf) / 2);
  g_autofree char *foreign = g_strdup (coded);
  const char *const values[]
      = { padded, trailed, cut, foreign, "", "bnVsbA==" };
  size_t i;

  /* Padding at the end of one piece of base64. */
  put (padded + CODED_PIECE - 4, "IA==");
  foreign[CODED_PIECE * 2 + 7] = '!';
  for (i = 0; i < G_N_ELEMENTS (values); i++)
    {
      g_autofree char *text = reply_with (values[i]);
      struct follow_reply n = news_new ();

      g_assert_cmpint (parse_in_steps (text, strlen (text), 5, &n), >, 0);
      g_assert_cmpuint (n.items->len, ==, 3);
      g_assert_cmpint (item (&n, 0)->kind, ==, FOLLOW_ITEM_WEIGHTS);
      g_assert_cmpint (item (&n, 1)->kind, ==, FOLLOW_ITEM_INVALID);
      g_assert_cmpstr (item (&n, 1)->listing.id, ==, "");
      g_assert_nonnull (item (&n, 1)->error);
      g_assert_null (item (&n, 1)->conf);
      g_assert_cmpint (item (&n, 2)->kind, ==, FOLLOW_ITEM_ENDPOINT);
      pdecode_clear (&n);
    }
}

/* JSON allows characters to be escaped, such as the slashes of base64. */
static void
test_escaped (void)
{
  g_autofree char *conf = conf_text (4);
  g_autofree char *odd = g_strconcat (conf, "  \n", NULL);
  g_autofree char *coded = g_base64_encode ((const guchar *)odd, strlen (odd));
  g_auto (GStrv) parts = g_strsplit (coded, "0", -1);
  g_autofree char *escaped = g_strjoinv ("\\u0030", parts);
  g_autofree char *text = reply_with (escaped);
  struct follow_reply n = news_new ();

  g_assert_nonnull (strchr (escaped, '\\'));
  g_assert_cmpint (parse_in_steps (text, strlen (text), 2, &n), >, 0);
  check_news (&n, 4);
  pdecode_clear (&n);
}

/* --- the loop between steps ------------------------------------------ */

/* Checks that sockets are served: each turn of the loop sends a byte to
   itself, which the next turn reads. */
struct served
{
  struct loop *loop;     /* under test */
  int fd[2];             /* socket pair to itself */
  struct loop_hook hook; /* runs at the end of each turn */
  GArray *at;            /* times at which a byte was read, int64_t */
  GArray *turns;         /* struct turn */
};

/* The end of a turn of the loop. */
struct turn
{
  int64_t at_us;  /* time */
  int64_t cpu_us; /* processor time of the loop's thread */
};

static int64_t
thread_cpu_us (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &ts);
  return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

static void
on_byte (void *arg, int fd, bool readable, bool writable)
{
  struct served *s = arg;
  int64_t now = loop_now_us ();
  char c;

  (void)writable;
  if (readable && read (fd, &c, 1) == 1)
    g_array_append_val (s->at, now);
}

static void
on_turn (void *arg)
{
  struct served *s = arg;
  struct turn t = { loop_now_us (), thread_cpu_us () };

  g_array_append_val (s->turns, t);
  g_assert_cmpint (write (s->fd[1], "x", 1), ==, 1);
}

static int64_t
no_timeout (void *arg)
{
  (void)arg;
  return -1;
}

static void
serve (struct served *s)
{
  s->loop = loop_new ();
  s->at = g_array_new (FALSE, FALSE, sizeof (int64_t));
  s->turns = g_array_new (FALSE, FALSE, sizeof (struct turn));
  g_assert_cmpint (socketpair (AF_UNIX, SOCK_STREAM, 0, s->fd), ==, 0);
  loop_watch (s->loop, loop_add_fd (s->loop, s->fd[0], on_byte, s), true,
              false);
  s->hook.run = on_turn;
  s->hook.timeout_us = no_timeout;
  s->hook.arg = s;
  loop_add_hook (s->loop, &s->hook);
}

static void
serve_end (struct served *s)
{
  g_array_free (s->at, TRUE);
  g_array_free (s->turns, TRUE);
  loop_free (s->loop);
  close (s->fd[0]);
  close (s->fd[1]);
}

static int
served_since (const struct served *s, int64_t since_us)
{
  int n = 0;
  guint i;

  for (i = 0; i < s->at->len; i++)
    n += g_array_index (s->at, int64_t, i) > since_us;
  return n;
}

/* Report the processor time since the turn before SINCE_US, and the most of
   one turn.  It is not checked, since machines differ. */
static void
report_cost (const struct served *s, int64_t since_us)
{
  const struct turn *t = (const struct turn *)(void *)s->turns->data;
  int64_t longest = 0;
  guint i, first;

  for (first = 1; first < s->turns->len && t[first].at_us <= since_us;)
    first++;
  for (i = first; i < s->turns->len; i++)
    longest = MAX (longest, t[i].cpu_us - t[i - 1].cpu_us);
  /* The turn that delivers the reply has not ended. */
  longest = MAX (longest, thread_cpu_us () - t[i - 1].cpu_us);
  g_test_message (
      "%u turns, %" G_GINT64_FORMAT " us of a core in all, %" G_GINT64_FORMAT
      " us in the longest",
      i - first + 1, (gint64)(thread_cpu_us () - t[first - 1].cpu_us),
      (gint64)longest);
}

/* Loop work that counts its steps. */
struct counted
{
  struct loop_work work; /* the work */
  struct served *served; /* loop that runs it */
  int left;              /* steps left */
  bool stop;             /* stop the loop at the last step */
};

static bool
count_step (void *arg)
{
  struct counted *c = arg;

  if (--c->left > 0)
    return true;
  if (c->stop)
    loop_stop (c->served->loop);
  return false;
}

static void
add_counted (struct counted *c, struct served *s, int steps)
{
  c->served = s;
  c->left = steps;
  c->work.step = count_step;
  c->work.arg = c;
  loop_add_work (s->loop, &c->work);
}

/* With two items of loop work, each turn runs one step in all and serves
   sockets.  The second item has steps left when the loop stops: these are run
   then, so that its owner gets the result. */
static void
test_one_step_per_turn (void)
{
  struct served s = { 0 };
  struct counted first = { .stop = true };
  struct counted second = { 0 };

  serve (&s);
  add_counted (&first, &s, 50);
  add_counted (&second, &s, 80);
  loop_run (s.loop);
  g_assert_cmpint (first.left, ==, 0);
  g_assert_cmpint (second.left, ==, 0);
  /* 50 and 49 steps, and the first turn has nothing to read yet. */
  g_assert_cmpuint (s.at->len, ==, 98);
  serve_end (&s);
}

/* Guards against waits between steps when there is nothing but loop work: each
   would take a second. */
static void
test_no_wait_between_steps (void)
{
  struct served s = { .loop = loop_new () };
  struct counted c = { .stop = true };
  int64_t began = loop_now_us ();

  add_counted (&c, &s, 30);
  loop_run (s.loop);
  g_assert_cmpint (loop_now_us () - began, <, 10000000);
  loop_free (s.loop);
}

/* A simulated store that sends one reply and waits for the client to close. */
struct simulated_store
{
  int fd;           /* listening socket */
  const char *text; /* reply body */
};

static gpointer
run_store (gpointer arg)
{
  struct simulated_store *e = arg;
  int fd = accept (e->fd, NULL, NULL);
  g_autofree char *head = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n", strlen (e->text));
  size_t len = strlen (e->text);
  size_t sent = 0;
  char buf[1024];

  g_assert_cmpint (read (fd, buf, sizeof buf), >, 0);
  g_assert_cmpint (write (fd, head, strlen (head)), >, 0);
  while (sent < len)
    sent += (size_t)write (fd, e->text + sent, len - sent);
  while (read (fd, buf, sizeof buf) > 0)
    ;
  close (fd);
  return NULL;
}

static int
listen_any (char **address)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  socklen_t len = sizeof sa;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  sa.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  g_assert_cmpint (bind (fd, (struct sockaddr *)&sa, len), ==, 0);
  g_assert_cmpint (listen (fd, 1), ==, 0);
  g_assert_cmpint (getsockname (fd, (struct sockaddr *)&sa, &len), ==, 0);
  *address = g_strdup_printf ("127.0.0.1:%d", ntohs (sa.sin_port));
  return fd;
}

/* A client of the simulated store. */
struct reading
{
  struct served served;   /* the loop and its socket pair */
  struct xfer_pool *pool; /* its transfers */
  int steps;              /* steps, or replies delivered */
  int meanwhile;          /* bytes read between the last byte and the result */
  int held;               /* transfers in the pool at that time */
};

/* Run CALL against a simulated store that replies TEXT. */
static void
call_simulated_store (struct reading *r, const char *text,
                      void (*call) (struct reading *r, const char *address))
{
  g_autofree char *address = NULL;
  struct simulated_store e = { .text = text };
  GThread *t;

  e.fd = listen_any (&address);
  serve (&r->served);
  r->pool = xfer_pool_new (r->served.loop);
  t = g_thread_new ("store", run_store, &e);
  call (r, address);
  g_assert_cmpint (xfer_count (r->pool), ==, 0);
  xfer_pool_free (r->pool);
  g_thread_join (t);
  serve_end (&r->served);
  close (e.fd);
}

static void
on_news (void *arg, const struct follow_reply *n)
{
  struct reading *r = arg;

  g_assert_cmpint (n->status, ==, FOLLOW_OK);
  check_news (n, MANY);
  r->steps++;
  r->held = xfer_count (r->pool);
  r->meanwhile = served_since (&r->served, n->received_us);
  report_cost (&r->served, n->received_us);
  loop_stop (r->served.loop);
}

static void
call_store (struct reading *r, const char *address)
{
  static const struct follow_limits limits
      = { .first_byte_us = 20000000,
          .stall_us = 20000000,
          .total_us = 20000000,
          .bytes_max = 4194304,
          .pieces_per_turn = TURN_PIECES };
  struct pstore *store = pstore_new (r->pool, address);
  struct follow_ops ops;

  pstore_follow_ops (store, &ops);
  ops.read (ops.ctx, FOLLOW_OPERATOR, &limits, on_news, r);
  loop_run (r->served.loop);
  pstore_free (store);
}

/*
 * Settings with 10,000 routes arrive.  Parsed in one step, they would block
 * the loop of a small VM for a second or two: hang-ups of callers would be
 * noticed late, and new callers would wait.  Sockets are served in each turn
 * of the loop while they are parsed, and a VM that stops still counts the
 * call.
 */
static void
test_sockets_served_between_steps (void)
{
  g_autofree char *text = reply_text (MANY);
  struct reading r = { 0 };

  /* The reply has no further page. */
  put (strstr (text, "\"HasMore\":true"), "\"HasMore\":null");
  call_simulated_store (&r, text, call_store);
  g_assert_cmpint (r.steps, ==, 1);
  g_assert_cmpint (r.meanwhile, >=, MANY / TURN_PIECES);
  g_assert_cmpint (r.held, ==, 1);
}

#define STEPS 5 /* of a reply that is parsed as the loop stops */

static bool
stop_at_once (void *arg, int status, const GString *body, int64_t came_us)
{
  struct reading *r = arg;

  g_assert_cmpint (status, ==, 200);
  g_assert_cmpstr (body->str, ==, "reply");
  g_assert_cmpint (came_us, <=, loop_now_us ());
  g_assert_cmpint (xfer_count (r->pool), ==, 1);
  if (++r->steps == 1)
    loop_stop (r->served.loop);
  return r->steps < STEPS;
}

static void
call_fetch (struct reading *r, const char *address)
{
  g_autofree char *url = g_strconcat ("http://", address, "/", NULL);
  struct fetch_opts o = { .method = "GET", .url = url };

  o.timeout_ms = 20000;
  o.reply_max_bytes = 100;
  o.step = stop_at_once;
  o.arg = r;
  fetch_start (r->pool, &o);
  loop_run (r->served.loop);
}

/* The loop stops while a reply is being parsed: it is parsed to its end, so
   that its callback gets one result and nothing leaks. */
static void
test_stop_while_parsing (void)
{
  struct reading r = { 0 };

  call_simulated_store (&r, "reply", call_fetch);
  g_assert_cmpint (r.steps, ==, STEPS);
}

/* --- timers ---------------------------------------------------------- */

#define TIMERS 400 /* some are armed more than once */

/* Timers whose order of firing is checked. */
struct fired
{
  struct loop *loop;                /* under test */
  struct loop_timer timers[TIMERS]; /* armed */
  int order[TIMERS];                /* sequence number of its last arming */
  int64_t last_due_us;              /* due time of the last one to fire */
  int last;                         /* its sequence number */
  int left;                         /* number that have not fired */
};

static void
on_fired (void *arg, int64_t now_us)
{
  struct fired *f = arg;
  struct loop_timer *t = NULL;
  int i;

  (void)now_us;
  /* Find the timer that has just fired: not armed, and not checked yet. */
  for (i = 0; t == NULL; i++)
    if (!f->timers[i].armed && f->order[i] >= 0)
      t = &f->timers[i];
  i--;
  g_assert_true (t->due_us > f->last_due_us
                 || (t->due_us == f->last_due_us && f->order[i] > f->last));
  f->last_due_us = t->due_us;
  f->last = f->order[i];
  f->order[i] = -1;
  if (--f->left == 0)
    loop_stop (f->loop);
}

/* Guards against timers that fire out of order, from whichever end of the list
   their place was searched. */
static void
test_timer_order (void)
{
  g_autoptr (GRand) rand = g_rand_new_with_seed (1);
  struct fired *f = g_new0 (struct fired, 1);
  int64_t now = loop_now_us ();
  int i, k;

  f->loop = loop_new ();
  f->left = TIMERS;
  for (i = 0; i < 3 * TIMERS; i++)
    {
      k = i < TIMERS ? i : g_rand_int_range (rand, 0, TIMERS);
      f->timers[k].fire = on_fired;
      f->timers[k].arg = f;
      f->order[k] = i;
      loop_arm (f->loop, &f->timers[k],
                now + INT64_C (100) * g_rand_int_range (rand, -100, 300));
    }
  loop_run (f->loop);
  g_assert_cmpint (f->left, ==, 0);
  loop_free (f->loop);
  g_free (f);
}

/* Guards against settings that differ on a VM that read them from another one:
   rows as stored are decoded as those of a reply, also a removed one. */
static void
test_rows_as_stored (void)
{
  g_autofree char *text = reply_text (20);
  g_autoptr (GPtrArray) raws = g_ptr_array_new ();
  struct follow_reply first = news_new ();
  struct follow_reply again = news_new ();
  struct follow_raw gone = { .key = "evacuate/d1", .version = 8 };
  struct prows *p;

  g_assert_true (pdecode_rows (text, strlen (text), &first));
  g_assert_nonnull (item (&first, 0)->raw);
  g_assert_nonnull (item (&first, 1)->raw);
  g_assert_null (item (&first, 2)->raw);
  g_ptr_array_add (raws, item (&first, 0)->raw);
  g_ptr_array_add (raws, item (&first, 1)->raw);
  g_ptr_array_add (raws, &gone);
  p = prows_new_raw (raws, &again);
  while (prows_step (p, 1) == PDECODE_MORE)
    ;
  prows_free (p);
  g_assert_cmpuint (again.items->len, ==, 3);
  g_assert_cmpint (item (&again, 0)->kind, ==, FOLLOW_ITEM_WEIGHTS);
  g_assert_cmpint (item (&again, 0)->version, ==, 3);
  g_assert_cmpint (item (&again, 0)->row, ==, 5);
  g_assert_cmpint (item (&again, 1)->kind, ==, FOLLOW_ITEM_CONF);
  g_assert_cmpint (item (&again, 1)->row, ==, 6);
  check_conf (item (&again, 1)->conf, 20);
  g_assert_cmpint (item (&again, 2)->kind, ==, FOLLOW_ITEM_EVACUATION_END);
  g_assert_cmpstr (item (&again, 2)->domain, ==, "d1");
  g_assert_null (item (&again, 2)->raw->value);
  pdecode_clear (&first);
  pdecode_clear (&again);
}

const struct unit steps_units[] = {
  { "/steps/rows-as-stored", test_rows_as_stored },
  { "/steps/same-in-steps", test_same_in_steps },
  { "/steps/truncated", test_truncated },
  { "/steps/invalid-replies", test_invalid_replies },
  { "/steps/invalid-settings", test_invalid_settings },
  { "/steps/escaped", test_escaped },
  { "/steps/one-step-per-turn", test_one_step_per_turn },
  { "/steps/no-wait-between-steps", test_no_wait_between_steps },
  { "/steps/sockets-served-between-steps", test_sockets_served_between_steps },
  { "/steps/stop-while-parsing", test_stop_while_parsing },
  { "/loop/timer-order", test_timer_order },
  { NULL, NULL },
};
