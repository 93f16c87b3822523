/*
 * Unit tests of the headers of requests and replies: which values are decoded,
 * and which headers are forwarded.
 */
#include <glib.h>
#include <string.h>

#include "platform/platform.h"
#include "units.h"

/* Decodes a request; LIST alternates names and values and ends with NULL. */
static void
decode_request (struct preqhead *a, const char *const *list)
{
  preqhead_init (a);
  for (; *list != NULL; list += 2)
    preqhead_add (a, list[0], list[1]);
  preqhead_finish (a);
}

/* The forwarded headers, joined. */
static char *
forwarded (const struct preqhead *a)
{
  return g_strjoinv ("|", (char **)a->forwarded->pdata);
}

/* Guards against losing what the platform's callers usually send. */
static void
test_request (void)
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

  decode_request (&a, list);
  lines = forwarded (&a);
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

/* Guards against callers that set headers which only the system may set. */
static void
test_reserved (void)
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

  decode_request (&a, list);
  lines = forwarded (&a);
  g_assert_cmpstr (lines, ==, "x-expect: y");
  preqhead_clear (&a);
}

/* Guards against forwarding a header of the connection: several Connection
   headers may name it, also after it was sent. */
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

  decode_request (&a, list);
  lines = forwarded (&a);
  g_assert_cmpstr (lines, ==, "X-Stays: 1|X-Empty: ");
  g_assert_false (a.malformed);
  preqhead_clear (&a);
}

/* Guards against headers that an endpoint parses differently: an endpoint that
   strips a blank before the colon reads another name, and a line break in a
   value turns one header into two. */
static void
test_ambiguous (void)
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
      decode_request (&a, lists[i]);
      g_assert_true (a.malformed);
      g_assert_null (a.forwarded->pdata[0]);
      preqhead_clear (&a);
    }
}

/* Guards against invalid deadlines: they count as missing. */
static void
test_invalid_deadlines (void)
{
  static const char *const invalid[] = {
    "-1", "", "1e9", " 5", "18446744073709551617", "99999999999", "0x5"
  };
  const char *list[] = { "X-Deadline-Ms", NULL, NULL };
  struct preqhead a;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      list[1] = invalid[i];
      decode_request (&a, list);
      g_assert_cmpint (a.deadline_ms, ==, -1);
      preqhead_clear (&a);
    }
}

/* Guards against negative token counts and sums of them that overflow: the
   counts of a prompt are added up. */
static void
test_invalid_parts (void)
{
  static const char *const invalid[]
      = { "a:5,b:-3,c:1", "a:5,b:9223372036854775807", "a:5,b:", "a:5,b:x" };
  const char *list[] = { "X-Prompt-Prefix", NULL, NULL };
  struct preqhead a;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      list[1] = invalid[i];
      decode_request (&a, list);
      g_assert_cmpint (a.nparts, ==, 1);
      preqhead_clear (&a);
    }
}

static void
decode_reply (struct preplyhead *a, const char *const *lines, int status)
{
  preplyhead_init (a, "id1", "incarnation1");
  for (; *lines != NULL; lines++)
    preplyhead_add (a, *lines, strlen (*lines));
  preplyhead_finish (a, status);
}

static void
test_reply (void)
{
  static const char *const lines[] = { "HTTP/1.1 100 Continue",
                                       "X-Not-Executed: 1",
                                       "HTTP/1.1 200 OK\r\n",
                                       "X-Attempt-Id: id1\r\n",
                                       "X-Server-Seal: s\r\n",
                                       "X-Server-Load: 1,2,8",
                                       "Date: now",
                                       "X-Weight-Versions: 3",
                                       "X-Instance-Id: incarnation1",
                                       NULL };
  g_autofree char *joined = NULL;
  struct preplyhead a;

  decode_reply (&a, lines, 200);
  joined = g_strjoinv ("|", a.head.lines);
  g_assert_cmpstr (joined, ==,
                   "X-Attempt-Id: id1|X-Server-Seal: s|X-Weight-Versions: 3|"
                   "X-Instance-Id: incarnation1");
  g_assert_true (a.head.genuine);
  g_assert_false (a.head.not_run);
  g_assert_cmpint (a.head.running, ==, 1);
  g_assert_cmpint (a.head.waiting, ==, 2);
  g_assert_cmpint (a.head.version, ==, 3);
  preplyhead_clear (&a);
}

/* Guards against a speed that is misread: the endpoint would be avoided, or
   given work, for no reason.  A missing or invalid figure leaves the other
   figures valid. */
static void
test_reply_speed (void)
{
  static const struct
  {
    const char *line; /* header */
    int running;      /* expected requests running */
    int percent;      /* expected speed */
  } cases[] = {
    { "X-Server-Load: 1,2,8,250", 1, 250 },
    { "X-Server-Load: 1,2,8, 40", 1, 40 },
    { "X-Server-Load: 1,2,8,10", 1, 10 },
    { "X-Server-Load: 1,2,8,10000", 1, 10000 },
    { "X-Server-Load: 1,2,8,250,7", 1, 250 },
    { "X-Server-Load: 1,2,8", 1, 0 },
    { "X-Server-Load: 1,2,8,", 1, 0 },
    { "X-Server-Load: 1,2,8,9", 1, 0 },
    { "X-Server-Load: 1,2,8,10001", 1, 0 },
    { "X-Server-Load: 1,2,8,-250", 1, 0 },
    { "X-Server-Load: 1,2,8,250x", 1, 0 },
    { "X-Server-Load: 1,2,8,99999999999999999999", 1, 0 },
    { "X-Server-Load: x,2,8,250", -1, 0 },
  };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const char *lines[] = { cases[i].line, NULL };
      struct preplyhead a;

      decode_reply (&a, lines, 200);
      g_assert_cmpint (a.head.running, ==, cases[i].running);
      g_assert_cmpint (a.head.speed_percent, ==, cases[i].percent);
      preplyhead_clear (&a);
    }
}

/* Guards against using a reply that names two requests: it may be to the other
   one. */
static void
test_reply_two_ids (void)
{
  static const char *const lines[] = { "X-Server-Seal: s",
                                       "X-Attempt-Id: id2",
                                       "X-Attempt-Id: id1",
                                       "X-Instance-Id: incarnation2",
                                       "X-Instance-Id: incarnation1",
                                       NULL };
  struct preplyhead a;

  decode_reply (&a, lines, 421);
  g_assert_false (a.head.genuine);
  g_assert_false (a.head.not_run);
  g_assert_true (a.head.other_incarnation);
  preplyhead_clear (&a);
}

/* Guards against impossible weight versions: every older version would be
   refused from then on. */
static void
test_reply_invalid_version (void)
{
  static const char *const invalid[]
      = { "X-Weight-Versions: -3", "X-Weight-Versions: 9223372036854775808",
          "X-Weight-Versions: x" };
  const char *lines[] = { NULL, NULL };
  struct preplyhead a;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      lines[0] = invalid[i];
      decode_reply (&a, lines, 200);
      g_assert_cmpint (a.head.version, ==, 0);
      preplyhead_clear (&a);
    }
}

/* Guards against misreading whether an endpoint is leaving. */
static void
test_leaving (void)
{
  static const char *const leaving[] = { "Server-Leaving: 1", NULL };
  static const char *const interim[]
      = { "HTTP/1.1 100 Continue", "Server-Leaving: 1", "HTTP/1.1 200 OK",
          NULL };
  static const char *const staying[] = { "Server-Leaving: 0", NULL };
  struct notice n = { .leaving = false };
  struct preplyhead a;

  decode_reply (&a, leaving, 503);
  g_assert_true (a.head.notice.leaving);
  preplyhead_clear (&a);
  decode_reply (&a, staying, 200);
  g_assert_false (a.head.notice.leaving);
  preplyhead_clear (&a);
  decode_reply (&a, interim, 200);
  g_assert_false (a.head.notice.leaving);
  preplyhead_clear (&a);
  pnotice_add_line (&n, "server-leaving:1\r\n", 18);
  g_assert_true (n.leaving);
}

/* Guards against a backoff that was not requested, and against ignoring one
   that was. */
static void
test_retry_after (void)
{
  static const struct
  {
    const char *line; /* header */
    int status;       /* status of the reply */
    int64_t us;       /* expected backoff */
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

      decode_reply (&a, lines, cases[i].status);
      g_assert_cmpint (a.head.notice.backoff_us, ==, cases[i].us);
      preplyhead_clear (&a);
    }
}

/* Guards against misread rate limits: an invalid value could stop all requests
   to an endpoint, or lift its limit. */
static void
test_limit (void)
{
  static const struct
  {
    const char *line; /* header */
    bool has_limit;   /* it is a Server-Limit header */
    int64_t milli;    /* expected limit; -1 if it is invalid */
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

      decode_reply (&a, lines, 200);
      g_assert_true (a.head.notice.has_limit == cases[i].has_limit);
      g_assert_cmpint (a.head.notice.limit_milli_rps, ==, cases[i].milli);
      preplyhead_clear (&a);
    }
}

/* Guards against a reply that ends with its connection and looks delimited. */
static void
test_reply_delimited (void)
{
  static const struct
  {
    const char *line;
    int status;
    bool ends_with_connection;
  } cases[] = {
    { "Content-Length: 5", 200, false },
    { "transfer-encoding: chunked", 200, false },
    { "Connection: close", 200, true },
    { "Content-Type: text/event-stream", 200, true },
    { "X-A: 1", 204, false },
  };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const char *lines[] = { cases[i].line, NULL };
      struct preplyhead a;

      decode_reply (&a, lines, cases[i].status);
      g_assert_cmpint (a.head.ends_with_connection, ==,
                       cases[i].ends_with_connection);
      preplyhead_clear (&a);
    }
}

const struct unit header_units[] = {
  { "/headers/request", test_request },
  { "/headers/reserved", test_reserved },
  { "/headers/connection", test_connection },
  { "/headers/ambiguous", test_ambiguous },
  { "/headers/invalid-deadlines", test_invalid_deadlines },
  { "/headers/invalid-parts", test_invalid_parts },
  { "/headers/reply", test_reply },
  { "/headers/reply-delimited", test_reply_delimited },
  { "/headers/reply-speed", test_reply_speed },
  { "/headers/reply-two-ids", test_reply_two_ids },
  { "/headers/reply-invalid-version", test_reply_invalid_version },
  { "/headers/leaving", test_leaving },
  { "/headers/retry-after", test_retry_after },
  { "/headers/limit", test_limit },
  { NULL, NULL },
};
