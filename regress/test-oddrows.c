/*
 * Unit tests of replies with entries of other writers that cannot be read: the
 * sound entries beside them are read.
 */
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

const struct unit oddrow_units[] = {
  { "/oddrows/servers", test_servers },
  { "/oddrows/named", test_named },
  { "/oddrows/cut", test_cut },
  { "/oddrows/last-key", test_last_key },
  { "/oddrows/own-tables", test_own_tables },
  { "/oddrows/parts", test_parts },
  { NULL, NULL },
};
