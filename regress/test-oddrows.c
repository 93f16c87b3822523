/*
 * Unit tests of replies with entries of other writers that cannot be read: the
 * sound entries beside them are read.
 */
#include <stdlib.h>
#include <string.h>

#include "platform/jsonread.h"
#include "platform/platform.h"
#include "units.h"

#define DEEP 100000

static char *
nested (int depth, bool closed)
{
  GString *s = g_string_new (NULL);
  int i;

  for (i = 0; i < depth; i++)
    g_string_append_c (s, '[');
  for (i = 0; closed && i < depth; i++)
    g_string_append_c (s, ']');
  return g_string_free (s, FALSE);
}

/* {"Service":"app","Address":"10.0.0.1:1","Zone":"d","State":"ready",
   "Slots":8}. */
#define SOUND                                                                 \
  "eyJTZXJ2aWNlIjoiYXBwIiwiQWRkcmVzcyI6IjEwLjAuMC4xOjEiLCJab25lIjoiZCIs"      \
  "IlN0YXRlIjoicmVhZHkiLCJTbG90cyI6OH0="

/* A page with a sound row before and after ODD. */
static char *
page_around (const char *odd)
{
  return g_strdup_printf (
      "{\"Ver\":9,\"Rows\":[{\"Table\":\"servers\",\"Key\":\"a\",\"Ver\":1,"
      "\"Value\":\"" SOUND "\"},%s,{\"Table\":\"servers\",\"Key\":\"c\","
      "\"Ver\":3,\"Value\":\"" SOUND "\"}],\"NowMs\":5,\"HasMore\":false}",
      odd);
}

/* Rows that hold a member that cannot be read; "%s" is the deep text. */
static const char *const odd_rows[] = {
  "{\"Table\":\"servers\",\"Key\":\"b\",\"Ver\":%s,\"Value\":\"" SOUND "\"}",
  "{\"Table\":\"servers\",\"Key\":\"b\",\"Ver\":1e400,\"Value\":\"" SOUND
  "\"}",
  "{\"Table\":\"servers\",\"Key\":\"b\",\"Ver\":99999999999999999999,"
  "\"Value\":\"" SOUND "\"}",
  "{\"Table\":\"servers\",\"Key\":\"b\",\"Value\":%s,\"Ver\":2}",
  "{\"Table\":\"servers\",\"Key\":\"b\",\"Value\":\"\\ud800\",\"Ver\":2}",
  "{\"Table\":\"servers\",\"Key\":\"\\ud800\",\"Ver\":2,\"Value\":\"" SOUND
  "\"}",
  "{\"Table\":\"servers\",\"Key\":\"b\\u0000\",\"Ver\":2,\"Value\":\"" SOUND
  "\"}",
  "{\"Table\":\"servers\",\"Key\":\"\xff\xfe\",\"Ver\":2,\"Value\":\"" SOUND
  "\"}",
  "{\"Table\":\"servers\",\"Key\":\"b\",\"Ver\":2,\"extra\":{\"x\":%s},"
  "\"Value\":\"" SOUND "\"}",
  "{\"Table\":\"servers\",\"Key\":\"b\",\"\\ud800\":1,\"Ver\":2}",
  "{\"Table\":\"servers\",\"Key\":\"b\",\"Value\":NaN,\"Ver\":2}",
  "{\"Table\":\"servers\",\"Key\":\"]}\\\"[{\\ud800\",\"Value\":\"\"}",
};

static char *
odd_row (size_t i, int depth)
{
  g_autofree char *deep = nested (depth, true);
  g_auto (GStrv) parts = g_strsplit (odd_rows[i], "%s", 2);

  return g_strjoinv (deep, parts);
}

static bool
has_item (const struct follow_reply *n, const char *id)
{
  const struct follow_item *it;
  guint i;

  for (i = 0; i < n->items->len; i++)
    {
      it = &g_array_index (n->items, struct follow_item, i);
      if (it->kind == FOLLOW_ITEM_ENDPOINT && strcmp (it->listing.id, id) == 0)
        return true;
    }
  return false;
}

static int
count_invalid (const struct follow_reply *n)
{
  int count = 0;
  guint i;

  for (i = 0; i < n->items->len; i++)
    count += g_array_index (n->items, struct follow_item, i).kind
             == FOLLOW_ITEM_INVALID;
  return count;
}

static void
test_servers (void)
{
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (odd_rows); i++)
    {
      g_autofree char *odd = odd_row (i, DEEP);
      g_autofree char *text = page_around (odd);
      struct follow_reply news = { 0 };

      news.items = g_array_new (FALSE, TRUE, sizeof (struct follow_item));
      g_test_message ("%.80s", odd);
      g_assert_true (pdecode_rows (text, strlen (text), &news));
      g_assert_true (has_item (&news, "a"));
      g_assert_true (has_item (&news, "c"));
      g_assert_cmpint (news.version, ==, 9);
      g_assert_cmpint (news.store_ms, ==, 5);
      g_assert_cmpuint (news.items->len, ==, 3);
      g_assert_cmpint (count_invalid (&news), ==, 1);
      pdecode_clear (&news);
    }
}

/* An endpoint whose row can no longer be read is named, so that it is treated
   as removed. */
static void
test_named (void)
{
  g_autofree char *text
      = page_around ("{\"Ver\":1e400,\"Table\":\"servers\",\"Key\":\"b\"}");
  struct follow_reply news = { 0 };

  news.items = g_array_new (FALSE, TRUE, sizeof (struct follow_item));
  g_assert_true (pdecode_rows (text, strlen (text), &news));
  g_assert_cmpstr (
      g_array_index (news.items, struct follow_item, 1).listing.id, ==, "b");
  pdecode_clear (&news);
}

/* A text that ends in the middle of a row is no reply. */
static void
test_cut (void)
{
  size_t i, n;

  for (i = 0; i < G_N_ELEMENTS (odd_rows); i++)
    {
      g_autofree char *odd = odd_row (i, 3000);
      g_autofree char *text = page_around (odd);
      size_t len = strlen (text);

      for (n = 0; n < len; n += 1 + len / 97)
        {
          struct follow_reply news = { 0 };

          news.items = g_array_new (FALSE, TRUE, sizeof (struct follow_item));
          g_assert_false (pdecode_rows (text, n, &news));
          pdecode_clear (&news);
        }
    }
}

/* The key that the next page follows may contain a NUL. */
static void
test_last_key (void)
{
  static const char text[]
      = "{\"Rows\":[{\"Key\":\"a b\"},{\"Key\":\"c\\u0000d\"},"
        "{\"Key\":\"\\ud800\"}],\"HasMore\":true}";
  struct follow_reply news = { 0 };
  struct prows *p;
  g_autofree char *key = pjson_last_key (text, strlen (text));

  news.items = g_array_new (FALSE, TRUE, sizeof (struct follow_item));
  p = prows_new (text, strlen (text), &news);
  while (prows_step (p, 1) == PDECODE_MORE)
    ;
  g_assert_cmpstr (key, ==, "c%00d");
  g_assert_cmpstr (prows_last_key (p), ==, "c%00d");
  g_assert_true (prows_has_more (p));
  prows_free (p);
  pdecode_clear (&news);
}

static void
clear_row (gpointer row)
{
  struct rowstore_row *r = row;

  g_free (r->key);
  if (r->value != NULL)
    g_byte_array_unref (r->value);
}

/* The product's own tables, among them the list of VMs. */
static void
test_own_tables (void)
{
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (odd_rows); i++)
    {
      g_autofree char *odd = odd_row (i, DEEP);
      g_autofree char *text = page_around (odd);
      struct rowstore_reply rows
          = { .rows
              = g_array_new (FALSE, TRUE, sizeof (struct rowstore_row)) };
      g_autoptr (GArray) vms
          = g_array_new (FALSE, TRUE, sizeof (struct roster_row));
      bool more;

      g_array_set_clear_func (rows.rows, clear_row);
      g_test_message ("%.80s", odd);
      g_assert_true (pdecode_rowstore (text, strlen (text), &rows, &more));
      g_assert_cmpuint (rows.rows->len + (guint)rows.skipped, ==, 3);
      g_assert_cmpstr (g_array_index (rows.rows, struct rowstore_row, 0).key,
                       ==, "a");
      g_assert_cmpstr (
          g_array_index (rows.rows, struct rowstore_row, rows.rows->len - 1)
              .key,
          ==, "c");
      g_assert_true (pdecode_roster (text, strlen (text), vms));
      g_array_unref (rows.rows);
    }
}

/* Entries of the lists that stores of KV cache give. */
static void
test_parts (void)
{
  static const char *const odd[] = { "%s",
                                     "1e400",
                                     "[\"s\",%s,9,\"m\"]",
                                     "[\"s\",\"i\\ud800\",9]",
                                     "[\"s\",\"i\\u0000\",9]",
                                     "[\"s\",\"i\",99999999999999999999]",
                                     "[7,7,7,7]",
                                     "{}",
                                     "null" };
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (odd); i++)
    {
      g_autofree char *deep = nested (DEEP, true);
      g_auto (GStrv) parts = g_strsplit (odd[i], "%s", 2);
      g_autofree char *entry = g_strjoinv (deep, parts);
      g_autofree char *text = g_strdup_printf (
          "{\"Epoch\":3,\"Next\":7,\"Held\":[[\"s\",\"a\",5,\"m\"],%s,"
          "[\"s\",\"c\",6,\"m\"]]}",
          entry);
      struct partfeed_reply n = { 0 };

      n.events = g_array_new (FALSE, TRUE, sizeof (struct partfeed_event));
      g_test_message ("%.80s", entry);
      g_assert_true (pdecode_parts (text, strlen (text), &n));
      g_assert_cmpuint (n.events->len, ==, 2);
      g_assert_cmpint (n.next_event, ==, 7);
      g_array_unref (n.events);
    }
}

/* --- a generator of odd entries --------------------------------------- */

#define ROUNDS 6000
#define INT_MAX_EXACT (INT64_C (1) << 53)
#define DAY_US INT64_C (86400000000)

/* A member of a sound document. */
struct field
{
  const char *name;  /* its key */
  const char *value; /* its value as JSON */
};

static const struct field listing[] = {
  { "Service", "\"app\"" },
  { "Address", "\"10.0.0.1:80\"" },
  { "Zone", "\"d\"" },
  { "State", "\"ready\"" },
  { "Slots", "8" },
  { "Version", "\"v1\"" },
  { "Models", "[{\"Name\":\"m\",\"Version\":3}]" },
  { "ColdRemainingMs", "40" },
  { "born", "1764900000000" },
  { "Seq", "4" },
};
static const struct field wanted[] = {
  { "Model", "\"m\"" },
  { "Version", "3" },
};
static const struct field lease[] = {
  { "holder", "\"a/1\"" },
  { "era", "1" },
  { "expires_ms", "70" },
  { "begin_ms", "10" },
  { "order_until_ms", "60" },
  { "released", "false" },
  { "named", "[{\"model\":\"m\",\"version\":3,\"since_ms\":5}]" },
};
static const struct field parts[] = {
  { "Epoch", "3" },
  { "Next", "7" },
  { "Lost", "false" },
  { "clock_ms", "1764900000000" },
  { "born", "1764900000000" },
  { "Held", "[[\"s\",\"a\",5,\"m\"]]" },
  { "Events", "[[6,\"+\",\"s\",\"b\",5,\"m\"]]" },
};
static const struct field conf[] = {
  { "Version", "9" },
  { "Services", "[{\"Name\":\"app\",\"KvStoreAddr\":\"10.0.0.2:1\","
                "\"KvCapacityTokens\":9,\"LinkMbps\":9,\"MaxInflight\":9}]" },
  { "Limits", "{\"MaxBodyBytes\":9,\"IdleTimeoutMs\":9}" },
  { "Tenants", "[{\"Name\":\"t\",\"Priority\":1,\"ApiKeys\":[\"k\"]}]" },
  { "Routes", "[{\"Host\":\"h\",\"Prefix\":\"/\",\"TimeoutMs\":9,"
              "\"TargetLatencyMs\":9,\"TargetGapMs\":9,\"Priority\":1,"
              "\"MaxAttempts\":2,\"TrafficSplit\":["
              "{\"Service\":\"app\",\"Weight\":1},"
              "{\"Service\":\"b\",\"Weight\":1}]}]" },
};

static const char *const odd_values[] = {
  "9223372036854775807",
  "-9223372036854775808",
  "9223372036854775808",
  "99999999999999999999",
  "1e400",
  "-1e400",
  "1e300",
  "-1e300",
  "9007199254740993",
  "4294967296",
  "2147483648",
  "-0",
  "-1",
  "0",
  "0.5",
  "NaN",
  "\"NaN\"",
  "Infinity",
  "true",
  "null",
  "{}",
  "[]",
  "[[]]",
  "\"\"",
  "\" \"",
  "\"a\\u0000b\"",
  "\"\\ud800\"",
  "\"\\udc00\\ud800\"",
  "\"\xff\xfe\"",
  "\"\xed\xa0\x80\"",
  "\"\xef\xbb\xbf\"",
  "\"10.0.0.1\"",
  "\"10.0.0.1:\"",
  "\"10.0.0.1:0\"",
  "\"10.0.0.1:65536\"",
  "\"10.0.0.1:-1\"",
  "\"10.0.0.1:1e3\"",
  "\"10.0.0.1: 80\"",
  "\"10.0.0.1:80 \"",
  "\"10.0.0.1:8o\"",
  "\"10.0.0.1:+80\"",
  "\"10.0.0.1:80/x\"",
  "\"10.0.0.1:18446744073709551696\"",
  "\"host:80\"",
  "\"[::1]:80\"",
  "\"::1:80\"",
  "\"a@10.0.0.1:80\"",
};

static void
append_odd (GString *to, GRand *rand)
{
  static const int depths[] = { 1, 30, 2047, 2048, 2049, 20000 };
  int kind = g_rand_int_range (rand, 0, 12);
  int n = depths[g_rand_int_range (rand, 0, G_N_ELEMENTS (depths))];
  g_autofree char *text = NULL;

  if (kind == 0)
    text = nested (n, g_rand_boolean (rand));
  else if (kind == 1)
    {
      g_autofree char *fill = g_strnfill ((gsize)n, 'x');

      text = g_strdup_printf ("\"%s\"", fill);
    }
  else
    text = g_strdup (
        odd_values[g_rand_int_range (rand, 0, G_N_ELEMENTS (odd_values))]);
  g_string_append (to, text);
}

/* VALUE with one of its own numbers or strings replaced. */
static void
append_inside (GString *to, const char *value, GRand *rand)
{
  size_t at = (size_t)g_rand_int_range (rand, 0, (gint32)strlen (value));
  const char *word = value + at;
  size_t n;

  word += strcspn (word, "0123456789\"");
  if (*word == '"' && strchr (word + 1, '"') != NULL)
    n = (size_t)(strchr (word + 1, '"') - word) + 1;
  else
    n = strspn (word, "0123456789");
  g_string_append_len (to, value, word - value);
  append_odd (to, rand);
  g_string_append (to, word + n);
}

/* The sound document with some members replaced, missing or twice. */
static char *
odd_document (const struct field *fields, size_t n, GRand *rand)
{
  GString *s = g_string_new ("{");
  size_t odd = (size_t)g_rand_int_range (rand, 0, (gint32)n);
  size_t i;

  for (i = 0; i < n; i++)
    {
      bool changes = i == odd || g_rand_int_range (rand, 0, 20) == 0;
      int how = g_rand_int_range (rand, 0, 8);

      if (changes && how == 0)
        continue;
      g_string_append_printf (s, "%s\"%s\":", s->len > 1 ? "," : "",
                              fields[i].name);
      if (changes && how == 1)
        g_string_append_printf (s, "%s,\"%s\":", fields[i].value,
                                fields[i].name);
      if (!changes)
        g_string_append (s, fields[i].value);
      else if (how < 5)
        append_odd (s, rand);
      else
        append_inside (s, fields[i].value, rand);
    }
  g_string_append_c (s, '}');
  if (g_rand_int_range (rand, 0, 40) == 0)
    g_string_truncate (s,
                       (gsize)g_rand_int_range (rand, 0, (gint32)s->len + 1));
  return g_string_free (s, FALSE);
}

static void
assert_within (int64_t value, int64_t min, int64_t max)
{
  g_assert_cmpint (value, >=, min);
  g_assert_cmpint (value, <=, max);
}

static void
assert_listing (const struct fleet_listing *l)
{
  const char *colon = strchr (l->address, ':');
  g_autofree char *host = NULL;
  g_autofree char *port = NULL;

  g_assert_nonnull (colon);
  host = g_strndup (l->address, (gsize)(colon - l->address));
  g_assert_true (g_hostname_is_ip_address (host));
  assert_within (g_ascii_strtoll (colon + 1, NULL, 10), 1, 65535);
  port = g_strdup_printf ("%d", atoi (colon + 1));
  g_assert_cmpstr (colon + 1, ==, port);
  g_assert_cmpint (l->service[0], !=, 0);
  g_assert_cmpint (l->domain[0], !=, 0);
  assert_within (l->slots, 1, 1000000);
  assert_within (l->version, 0, INT_MAX_EXACT);
  assert_within (l->started_ms, 0, INT_MAX_EXACT);
  assert_within (l->cold_us, 0, INT64_C (3600000000));
}

/* Whatever the entry between them holds, the sound entries are read. */
static void
check_listing (const char *text)
{
  g_autofree char *coded
      = g_base64_encode ((const guchar *)text, strlen (text));
  g_autofree char *row = g_strdup_printf (
      "{\"Table\":\"servers\",\"Key\":\"b\",\"Ver\":2,\"Value\":\"%s\"}",
      coded);
  g_autofree char *page = page_around (row);
  struct follow_reply news = { 0 };
  struct fleet_listing l;

  if (pdecode_endpoint ("b", text, strlen (text), &l) == NULL)
    assert_listing (&l);
  news.items = g_array_new (FALSE, TRUE, sizeof (struct follow_item));
  g_assert_true (pdecode_rows (page, strlen (page), &news));
  g_assert_cmpuint (news.items->len, ==, 3);
  g_assert_true (has_item (&news, "a"));
  g_assert_true (has_item (&news, "c"));
  pdecode_clear (&news);
}

static void
check_wanted (const char *text)
{
  char model[FLEET_NAME_SIZE];
  int64_t version;

  if (pdecode_wanted (text, strlen (text), model, sizeof model, &version))
    assert_within (version, 1, INT_MAX_EXACT);
}

static void
check_lease (const char *text)
{
  g_autofree char *coded
      = g_base64_encode ((const guchar *)text, strlen (text));
  struct lease_row row;
  int i;

  if (!pdecode_lease (coded, &row))
    return;
  assert_within (row.expires_ms, 0, INT_MAX_EXACT);
  assert_within (row.begin_ms, 0, INT_MAX_EXACT);
  assert_within (row.order_until_ms, 0, INT_MAX_EXACT);
  assert_within (row.nannouncements, 0, LEASE_ANNOUNCEMENTS_MAX);
  for (i = 0; i < row.nannouncements; i++)
    {
      assert_within (row.announcements[i].version, 0, INT_MAX_EXACT);
      assert_within (row.announcements[i].since_ms, 0, INT_MAX_EXACT);
    }
}

static void
check_parts (const char *text)
{
  struct partfeed_reply n = { 0 };
  guint i;

  n.events = g_array_new (FALSE, TRUE, sizeof (struct partfeed_event));
  if (pdecode_parts (text, strlen (text), &n))
    {
      assert_within (n.clock_ms, 0, INT_MAX_EXACT);
      assert_within (n.started_ms, 0, INT_MAX_EXACT);
    }
  for (i = 0; i < n.events->len; i++)
    assert_within (
        g_array_index (n.events, struct partfeed_event, i).part.tokens, 0,
        100000000);
  g_array_unref (n.events);
}

static void
check_route (const struct fleet_route *r)
{
  int all = 0;
  int i;

  assert_within (r->timeout_us, 0, DAY_US);
  assert_within (r->target_latency_us, 0, DAY_US);
  assert_within (r->event_gap_us, 0, DAY_US);
  assert_within (r->priority, G_MININT16, G_MAXINT16);
  assert_within (r->max_attempts, G_MININT16, G_MAXINT16);
  for (i = 0; i < r->nsplits; i++)
    {
      assert_within (r->splits[i].weight, 0, 1000000);
      all += r->splits[i].weight;
    }
  g_assert_cmpint (all, >=, 0);
}

static void
check_conf (const char *text)
{
  struct fleet_conf *c = pdecode_conf (text, strlen (text));
  GHashTableIter all;
  gpointer value;
  guint i;

  if (c == NULL)
    return;
  for (i = 0; i < c->routes->len; i++)
    check_route (c->routes->pdata[i]);
  assert_within (c->limits.idle_us, 0, DAY_US);
  assert_within (c->limits.body_bytes, 0, INT_MAX_EXACT);
  g_hash_table_iter_init (&all, c->services);
  while (g_hash_table_iter_next (&all, NULL, &value))
    {
      const struct fleet_service *s = value;

      assert_within (s->kv_capacity_tokens, 0, INT64_C (10000000000));
      assert_within (s->link_mbit_s, 0, 1000000000);
      assert_within (s->transfer_latency_us, 0, DAY_US);
    }
  fleet_conf_unref (c);
}

static const struct
{
  const struct field *fields;       /* of a sound document */
  size_t n;                         /* entries in fields */
  void (*check) (const char *text); /* decodes TEXT and checks the result */
} documents[] = {
  { listing, G_N_ELEMENTS (listing), check_listing },
  { wanted, G_N_ELEMENTS (wanted), check_wanted },
  { lease, G_N_ELEMENTS (lease), check_lease },
  { parts, G_N_ELEMENTS (parts), check_parts },
  { conf, G_N_ELEMENTS (conf), check_conf },
};

/* Whatever is decoded lies within the bounds that other code relies on. */
static void
test_generated (void)
{
  GRand *rand = g_rand_new_with_seed (1);
  size_t k;
  int i;

  for (i = 0; i < ROUNDS; i++)
    for (k = 0; k < G_N_ELEMENTS (documents); k++)
      {
        g_autofree char *text
            = odd_document (documents[k].fields, documents[k].n, rand);

        documents[k].check (text);
      }
  g_rand_free (rand);
}

const struct unit oddrow_units[] = {
  { "/oddrows/generated", test_generated },
  { "/oddrows/servers", test_servers },
  { "/oddrows/named", test_named },
  { "/oddrows/cut", test_cut },
  { "/oddrows/last-key", test_last_key },
  { "/oddrows/own-tables", test_own_tables },
  { "/oddrows/parts", test_parts },
  { NULL, NULL },
};
