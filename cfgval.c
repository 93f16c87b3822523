/* Values of settings: text of a key read into the field of a struct. */
#include "libsettings.h"

#include <arpa/inet.h>
#include <string.h>

#define NAME_MAX_LEN 63

bool
cfg_is_name (const char *text)
{
  size_t n = strlen (text);

  if (n == 0 || n > NAME_MAX_LEN || text[0] == '.' || text[0] == '-')
    return false;
  return strspn (text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                       "0123456789-_.")
         == n;
}

/* IP:PORT, or [IPv6]:PORT.  Names are refused: VMs talk by IP numbers. */
static bool
is_address (const char *text)
{
  g_autofree char *host = NULL;
  const char *colon = strrchr (text, ':');
  struct in6_addr any;
  guint64 port;

  if (colon == NULL || colon == text)
    return false;
  if (!g_ascii_string_to_unsigned (colon + 1, 10, 0, 65535, &port, NULL))
    return false;
  if (text[0] == '[')
    {
      if (colon[-1] != ']')
        return false;
      host = g_strndup (text + 1, (gsize)(colon - text) - 2);
      return inet_pton (AF_INET6, host, &any) == 1;
    }
  host = g_strndup (text, (gsize)(colon - text));
  return inet_pton (AF_INET, host, &any) == 1;
}

static bool
is_url (const char *text)
{
  g_auto (GStrv) parts = NULL;

  if (!g_str_has_prefix (text, "http://"))
    return false;
  parts = g_strsplit (text + strlen ("http://"), "/", 2);
  return parts[0] != NULL && is_address (parts[0]);
}

static char *
expected (const char *what)
{
  return g_strdup_printf ("expected %s", what);
}

static char *
parse_int (const struct cfg_key *key, const char *text, int64_t *field)
{
  gint64 n;

  if (!g_ascii_string_to_signed (text, 10, key->min, key->max, &n, NULL))
    return g_strdup_printf ("expected an integer from %" G_GINT64_FORMAT
                            " to %" G_GINT64_FORMAT,
                            (gint64)key->min, (gint64)key->max);
  *field = n;
  return NULL;
}

static char *
parse_bool (const char *text, bool *field)
{
  *field = strcmp (text, "yes") == 0;
  if (*field || strcmp (text, "no") == 0)
    return NULL;
  return expected ("\"yes\" or \"no\"");
}

static char *
parse_enum (const struct cfg_key *key, const char *text, int *field)
{
  g_autofree char *words = NULL;
  int i;

  for (i = 0; key->words[i] != NULL; i++)
    if (strcmp (key->words[i], text) == 0)
      {
        *field = i;
        return NULL;
      }
  words = g_strjoinv ("\", \"", (char **)key->words);
  return g_strdup_printf ("expected one of \"%s\"", words);
}

/* SALT:HASH in hexadecimal, as "camphorquay key" prints it. */
static bool
is_key_hash (const char *text)
{
  const char *colon = strchr (text, ':');
  size_t i;

  if (colon == NULL || colon - text != 32 || strlen (colon + 1) != 64)
    return false;
  for (i = 0; text[i] != '\0'; i++)
    if (text + i != colon && !g_ascii_isxdigit (text[i]))
      return false;
  return true;
}

static char *
parse_list (const struct cfg_key *key, const char *text, char ***field)
{
  bool names = key->type == CFG_NAMES;
  GStrvBuilder *list = g_strv_builder_new ();
  g_auto (GStrv) words = g_strsplit_set (text, " \t", -1);
  char *fault = NULL;
  int i;

  for (i = 0; words[i] != NULL && fault == NULL; i++)
    {
      if (words[i][0] == '\0')
        continue;
      if (names ? !cfg_is_name (words[i]) : !is_key_hash (words[i]))
        fault = expected (names ? "names parted by spaces"
                                : "salted hashes parted by spaces");
      g_strv_builder_add (list, words[i]);
    }
  *field = g_strv_builder_end (list);
  g_strv_builder_unref (list);
  return fault;
}

static char *
parse_text (const struct cfg_key *key, const char *text, char **field)
{
  *field = g_strdup (text);
  if (text[0] == '\0' && key->fallback != NULL)
    return NULL;
  if (key->type == CFG_NAME && !cfg_is_name (text))
    return expected ("a name of letters, digits, \"-\", \"_\" and \".\"");
  if (key->type == CFG_ADDRESS && !is_address (text))
    return expected ("an IP number and port, such as 10.0.0.1:8080");
  if (key->type == CFG_URL && !is_url (text))
    return expected ("a URL such as http://10.0.0.1:8080");
  return NULL;
}

char *
cfg_parse (const struct cfg_key *key, const char *text, void *item)
{
  void *field = (char *)item + key->offset;

  switch (key->type)
    {
    case CFG_INT:
      return parse_int (key, text, field);
    case CFG_BOOL:
      return parse_bool (text, field);
    case CFG_ENUM:
      return parse_enum (key, text, field);
    case CFG_NAMES:
    case CFG_KEYS:
      return parse_list (key, text, field);
    case CFG_STRING:
    case CFG_NAME:
    case CFG_ADDRESS:
    case CFG_URL:
      return parse_text (key, text, field);
    }
  g_assert_not_reached ();
}

/* Free what the fields of ITEM own. */
void
cfg_clear (const struct cfg_group *group, void *item)
{
  const struct cfg_key *key;
  int k;

  for (k = 0; k < group->nkeys; k++)
    {
      key = &group->keys[k];
      if (key->type == CFG_NAMES || key->type == CFG_KEYS)
        g_strfreev (*(char ***)((char *)item + key->offset));
      else if (key->type != CFG_INT && key->type != CFG_BOOL
               && key->type != CFG_ENUM)
        g_free (*(char **)((char *)item + key->offset));
    }
}
