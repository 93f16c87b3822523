/*
 * Unit tests of headers as callers and endpoints send them: what is read of
 * them, and what is passed on.
 */
#include <glib.h>
#include <string.h>

#include "platform/platform.h"
#include "units.h"

/* Names and values by turns, up to a NULL. */
static void
ask (struct preqhead *a, const char *const *list)
{
  preqhead_init (a);
  for (; *list != NULL; list += 2)
    preqhead_add (a, list[0], list[1]);
  preqhead_finish (a);
}

/* Lines that are passed on, joined. */
static char *
passed_on (const struct preqhead *a)
{
  return g_strjoinv ("|", (char **)a->forwarded->pdata);
}

/* A request as the platform's callers send it. */
static void
test_usual (void)
{
  static const char *const list[] = { "Host",
                                      "h.example",
                                      "X-Attempt-Id",
                                      "9c41",
                                      "X-Model",
                                      "m",
                                      "X-Deadline-Ms",
                                      "15000",
                                      "X-Prompt-Prefix",
                                      "5c:800,9:1",
                                      "Authorization",
                                      "Token k1 ",
                                      "Last-Event-Id",
                                      "7",
                                      NULL };
  g_autofree char *lines = NULL;
  struct preqhead a;

  ask (&a, list);
  lines = passed_on (&a);
  g_assert_cmpstr (
      lines, ==, "X-Attempt-Id: 9c41|X-Model: m|X-Prompt-Prefix: 5c:800,9:1");
  g_assert_cmpstr (a.host, ==, "h.example");
  g_assert_cmpstr (a.id, ==, "9c41");
  g_assert_cmpstr (a.key, ==, "k1");
  g_assert_cmpint (a.deadline_ms, ==, 15000);
  g_assert_cmpint (a.resume_after, ==, 7);
  g_assert_cmpint (a.nparts, ==, 2);
  g_assert_cmpint (a.parts[0].tokens, ==, 800);
  g_assert_false (a.malformed);
  preqhead_clear (&a);
}

/* No caller sets what only the system may set. */
static void
test_not_the_callers (void)
{
  static const char *const list[] = { "x-tenant",
                                      "t",
                                      "X-CACHE-SALT",
                                      "s",
                                      "X-Hold",
                                      "1",
                                      "X-Pin-Ms",
                                      "9",
                                      "X-Kv-Backup",
                                      "a",
                                      "kv-from",
                                      "a/1",
                                      "X-Expect-Other",
                                      "1",
                                      "X-Expect-Instance",
                                      "i",
                                      "Authorizationx",
                                      "Token k1",
                                      "x-expect",
                                      "y",
                                      NULL };
  g_autofree char *lines = NULL;
  struct preqhead a;

  ask (&a, list);
  lines = passed_on (&a);
  g_assert_cmpstr (lines, ==, "x-expect: y");
  preqhead_clear (&a);
}

/* Headers of the connection may be named in several lines, and after them. */
static void
test_connection (void)
{
  static const char *const list[]
      = { "X-Hop-A", "1", "X-Stays",    "1",
          "X-Hop-B", "2", "Connection", "X-Hop-A",
          "X-Empty", "",  "Connection", "close , x-hop-b",
          NULL };
  g_autofree char *lines = NULL;
  struct preqhead a;

  ask (&a, list);
  lines = passed_on (&a);
  g_assert_cmpstr (lines, ==, "X-Stays: 1|X-Empty: ");
  g_assert_false (a.malformed);
  preqhead_clear (&a);
}

/* A blank before the colon hides a name from us, and not from an endpoint
   that strips it; a line break in a value makes two headers of one. */
static void
test_disguised (void)
{
  static const char *const lists[][5] = {
    { "X-Hold ", "1", NULL },
    { "X-Tenant\t", "t", NULL },
    { "", "v", NULL },
    { "X-A;", "v", NULL },
    { "X-A", "v\r\nX-Hold: 1", NULL },
    { "X-A", "v\rX-Hold: 1", NULL },
    { "X-A:X-Hold", "1", NULL },
    { "X-\xc3\xa4", "1", NULL },
    { "X-B", "1", "X-Hold ", "1", NULL },
  };
  struct preqhead a;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (lists); i++)
    {
      ask (&a, lists[i]);
      g_assert_true (a.malformed);
      g_assert_null (a.forwarded->pdata[0]);
      preqhead_clear (&a);
    }
}

/* Deadlines that are none count as unsaid. */
static void
test_odd_deadlines (void)
{
  static const char *const odd[] = {
    "-1", "", "1e9", " 5", "18446744073709551617", "99999999999", "0x5"
  };
  const char *list[] = { "X-Deadline-Ms", NULL, NULL };
  struct preqhead a;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (odd); i++)
    {
      list[1] = odd[i];
      ask (&a, list);
      g_assert_cmpint (a.deadline_ms, ==, -1);
      preqhead_clear (&a);
    }
}

/* Tokens are added up later: none may be negative, nor any sum of them. */
static void
test_odd_parts (void)
{
  static const char *const odd[]
      = { "a:5,b:-3,c:1", "a:5,b:9223372036854775807", "a:5,b:", "a:5,b:x" };
  const char *list[] = { "X-Prompt-Prefix", NULL, NULL };
  struct preqhead a;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (odd); i++)
    {
      list[1] = odd[i];
      ask (&a, list);
      g_assert_cmpint (a.nparts, ==, 1);
      preqhead_clear (&a);
    }
}

static void
answer (struct preplyhead *a, const char *const *lines, int status)
{
  preplyhead_init (a, "id1", "life1");
  for (; *lines != NULL; lines++)
    preplyhead_add (a, *lines, strlen (*lines));
  preplyhead_finish (a, status);
}

static void
test_answer (void)
{
  static const char *const lines[] = { "HTTP/1.1 100 Continue",
                                       "X-Not-Executed: 1",
                                       "HTTP/1.1 200 OK\r\n",
                                       "X-Attempt-Id: id1\r\n",
                                       "X-Server-Seal: s\r\n",
                                       "X-Server-Load: 1,2,8",
                                       "Date: now",
                                       "X-Weight-Versions: 3",
                                       "X-Instance-Id: life1",
                                       NULL };
  g_autofree char *joined = NULL;
  struct preplyhead a;

  answer (&a, lines, 200);
  joined = g_strjoinv ("|", a.head.lines);
  g_assert_cmpstr (joined, ==,
                   "X-Attempt-Id: id1|X-Server-Seal: s|X-Weight-Versions: 3|"
                   "X-Instance-Id: life1");
  g_assert_true (a.head.genuine);
  g_assert_false (a.head.not_run);
  g_assert_cmpint (a.head.running, ==, 1);
  g_assert_cmpint (a.head.waiting, ==, 2);
  g_assert_cmpint (a.head.version, ==, 3);
  preplyhead_clear (&a);
}

/* An answer that names two requests is not surely to this one. */
static void
test_answer_of_two (void)
{
  static const char *const lines[]
      = { "X-Server-Seal: s",     "X-Attempt-Id: id2",    "X-Attempt-Id: id1",
          "X-Instance-Id: life2", "X-Instance-Id: life1", NULL };
  struct preplyhead a;

  answer (&a, lines, 421);
  g_assert_false (a.head.genuine);
  g_assert_false (a.head.not_run);
  g_assert_true (a.head.other_life);
  preplyhead_clear (&a);
}

/* Weights that cannot be are not believed: all that is older would be
   refused for good. */
static void
test_answer_version (void)
{
  static const char *const odd[]
      = { "X-Weight-Versions: -3", "X-Weight-Versions: 9223372036854775808",
          "X-Weight-Versions: x" };
  const char *lines[] = { NULL, NULL };
  struct preplyhead a;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (odd); i++)
    {
      lines[0] = odd[i];
      answer (&a, lines, 200);
      g_assert_cmpint (a.head.version, ==, 0);
      preplyhead_clear (&a);
    }
}

/* Guards against endpoints that are taken to leave, or to stay, by a header
   that says otherwise. */
static void
test_leaving (void)
{
  static const char *const leave[] = { "Server-Leaving: 1", NULL };
  static const char *const twice[]
      = { "HTTP/1.1 100 Continue", "Server-Leaving: 1", "HTTP/1.1 200 OK",
          NULL };
  static const char *const stay[] = { "Server-Leaving: 0", NULL };
  struct notice n = { .leaving = false };
  struct preplyhead a;

  answer (&a, leave, 503);
  g_assert_true (a.head.notice.leaving);
  preplyhead_clear (&a);
  answer (&a, stay, 200);
  g_assert_false (a.head.notice.leaving);
  preplyhead_clear (&a);
  answer (&a, twice, 200);
  g_assert_false (a.head.notice.leaving);
  preplyhead_clear (&a);
  pnotice_add_line (&n, "server-leaving:1\r\n", 18);
  g_assert_true (n.leaving);
}

/* Guards against rest that was not asked for, and rest that is not heard. */
static void
test_rest (void)
{
  static const struct
  {
    const char *line; /* of the head */
    int status;       /* of the answer */
    int64_t us;       /* of rest */
  } cases[] = {
    { "Retry-After: 3", 503, 3000000 },
    { "retry-after: 0.25", 503, 250000 },
    { "Retry-After: 3", 200, 0 },
    { "Retry-After: 3", 500, 0 },
    { "Retry-After: -3", 503, 0 },
    { "Retry-After: Wed, 21 Oct 2026 07:28:00 GMT", 503, 0 },
    { "Retry-After: 1e18", 503, 0 },
    { "Retry-After:", 503, 0 },
  };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const char *lines[] = { cases[i].line, NULL };
      struct preplyhead a;

      answer (&a, lines, cases[i].status);
      g_assert_cmpint (a.head.notice.rest_us, ==, cases[i].us);
      preplyhead_clear (&a);
    }
}

/* Guards against limits that are read wrong: a stray text would stop all
   requests to an endpoint, or none. */
static void
test_limit (void)
{
  static const struct
  {
    const char *line; /* of the head */
    bool said;        /* it names a limit */
    int64_t milli;    /* which */
  } cases[] = {
    { "Server-Limit: 3.4", true, 3400 },
    { "server-limit:  12 ", true, 12000 },
    { "Server-Limit: 0", true, 0 },
    { "Server-Limit: 0.2", true, 200 },
    { "Server-Limit: -1", true, -1 },
    { "Server-Limit: nan", true, -1 },
    { "Server-Limit: 1e300", true, -1 },
    { "Server-Limit: inf", true, -1 },
    { "Server-Limit: 3 a second", true, -1 },
    { "Server-Limit:", true, -1 },
    { "X-Server-Load: 1,0,8", false, 0 },
  };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const char *lines[] = { cases[i].line, NULL };
      struct preplyhead a;

      answer (&a, lines, 200);
      g_assert_true (a.head.notice.limit_said == cases[i].said);
      g_assert_cmpint (a.head.notice.limit_milli, ==, cases[i].milli);
      preplyhead_clear (&a);
    }
}

const struct unit header_units[] = {
  { "/headers/usual", test_usual },
  { "/headers/not-the-callers", test_not_the_callers },
  { "/headers/connection", test_connection },
  { "/headers/disguised", test_disguised },
  { "/headers/odd-deadlines", test_odd_deadlines },
  { "/headers/odd-parts", test_odd_parts },
  { "/headers/answer", test_answer },
  { "/headers/answer-of-two", test_answer_of_two },
  { "/headers/answer-version", test_answer_version },
  { "/headers/leaving", test_leaving },
  { "/headers/rest", test_rest },
  { "/headers/limit", test_limit },
  { NULL, NULL },
};
