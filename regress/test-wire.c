/*
 * Unit tests of the parsers for event streams and completion requests.
 */
#include <glib.h>
#include <string.h>

#include "units.h"
#include "wire.h"

/* --- streams --------------------------------------------------------- */

static char *
event (int i, const char *version)
{
  return g_strdup_printf ("data: {\"system_fingerprint\":\"%s\",\"choices\":"
                          "[{\"index\":0,\"text\":\"t%d \"}]}\n\n",
                          version, i);
}

/* However the bytes are split, the same events come out, and only complete
   ones. */
static void
test_stream_cuts (void)
{
  GRand *r = g_rand_new_with_seed (3);
  GString *whole = g_string_new (NULL);
  GString *out = g_string_new (NULL);
  struct strm s;
  int round, i;
  size_t at, n;
  enum strm_code code = STRM_MORE;

  for (i = 0; i < 30; i++)
    {
      g_autofree char *e = event (i, "v1");
      g_string_append (whole, e);
    }
  g_string_append (whole, "data: [DONE]\n\n");
  for (round = 0; round < 300; round++)
    {
      strm_init (&s, "v1", 10000);
      strm_start_attempt (&s, 1);
      g_string_truncate (out, 0);
      for (at = 0; at < whole->len; at += n)
        {
          n = (size_t)g_rand_int_range (r, 1, 200);
          if (n > whole->len - at)
            n = whole->len - at;
          code = strm_feed (&s, 1, whole->str + at, n, out);
          g_assert_true (out->len == 0 || g_str_has_suffix (out->str, "\n\n"));
        }
      g_assert_cmpint (code, ==, STRM_DONE);
      g_assert_cmpstr (out->str, ==, whole->str);
      g_assert_cmpint (s.tokens, ==, 30);
      strm_clear (&s);
    }
  g_string_free (whole, TRUE);
  g_string_free (out, TRUE);
  g_rand_free (r);
}

/*
 * Bytes of the first attempt arrive after a second one took over.  They carry
 * the first one's number and must not reach the caller.
 */
static void
test_stream_stale (void)
{
  GString *out = g_string_new (NULL);
  g_autofree char *e0 = event (0, "v1");
  g_autofree char *e1 = event (1, "v1");
  struct strm s;

  strm_init (&s, "v1", 10000);
  strm_start_attempt (&s, 1);
  g_assert_cmpint (strm_feed (&s, 1, e0, strlen (e0), out), ==, STRM_MORE);
  g_assert_cmpint (strm_feed (&s, 1, e1, 10, out), ==, STRM_MORE);
  strm_start_attempt (&s, 2);
  g_assert_cmpint (strm_feed (&s, 1, e1 + 10, strlen (e1) - 10, out), ==,
                   STRM_STALE);
  g_assert_cmpint (strm_feed (&s, 2, e1, strlen (e1), out), ==, STRM_MORE);
  g_assert_cmpstr (s.text->str, ==, "t0 t1 ");
  g_assert_cmpint (s.tokens, ==, 2);
  strm_clear (&s);
  g_string_free (out, TRUE);
}

static void
test_stream_invalid (void)
{
  static const char *const invalid[] = {
    "event: x\n\n",
    "data: {\n\n",
    "data: [1]\n\n",
    "data: \"text\"\n\n",
    "data: {\"error\":{}}\n\n",
  };
  g_autofree char *other = event (0, "v2");
  GString *out = g_string_new (NULL);
  struct strm s;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      strm_init (&s, "v1", 100);
      strm_start_attempt (&s, 1);
      g_assert_cmpint (strm_feed (&s, 1, invalid[i], strlen (invalid[i]), out),
                       ==, STRM_INVALID);
      strm_clear (&s);
    }
  strm_init (&s, "v1", 100);
  strm_start_attempt (&s, 1);
  g_assert_cmpint (strm_feed (&s, 1, other, strlen (other), out), ==,
                   STRM_WRONG_VERSION);
  strm_clear (&s);
  g_assert_cmpint (out->len, ==, 0);
  g_string_free (out, TRUE);
}

/* --- prompts --------------------------------------------------------- */

static void
test_prompt_invalid (void)
{
  static const char *const invalid[] = {
    "",
    "{",
    "[]",
    "{\"model\":1,\"prompt\":\"p\"}",
    "{\"model\":\"m\"}",
    "{\"model\":\"m\",\"prompt\":[]}",
    "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":1}",
    "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":0}",
    "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":\"9\"}",
    "{\"model\":\"m\",\"prompt\":\"\xff\xfe\"}",
    "{\"model\":\"m\",\"model\":\"n\",\"prompt\":\"p\"}",
  };
  struct prompt p;
  GError *err;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (invalid); i++)
    {
      err = NULL;
      g_assert_false (
          prompt_parse (invalid[i], strlen (invalid[i]), false, &p, &err));
      g_assert_nonnull (err);
      g_error_free (err);
    }
}

/* Reserved fields that a caller sets must not reach the engine. */
static void
test_prompt_reserved (void)
{
  static const char body[]
      = "{\"model\":\"m\",\"prompt\":\"p\",\"priority\":9,"
        "\"cache_salt\":\"other\",\"resume\":{\"offset\":5}}";
  struct prompt_extra extra = { .cache_salt = "mine", .max_tokens = 7 };
  g_autofree char *text = NULL;
  struct prompt p;

  g_assert_true (prompt_parse (body, strlen (body), false, &p, NULL));
  text = prompt_to_json (&p, &extra);
  g_assert_null (strstr (text, "other"));
  g_assert_null (strstr (text, "resume"));
  g_assert_nonnull (strstr (text, "\"cache_salt\":\"mine\""));
  g_assert_nonnull (strstr (text, "\"priority\":0"));
  prompt_clear (&p);
}

/* --- table ----------------------------------------------------------- */

const struct unit wire_units[] = {
  { "/stream/cuts", test_stream_cuts },
  { "/stream/stale", test_stream_stale },
  { "/stream/bad", test_stream_invalid },
  { "/prompt/faults", test_prompt_invalid },
  { "/prompt/reserved", test_prompt_reserved },
  { NULL, NULL },
};
