/* Internal header of the settings library. */
#ifndef CQ_LIBSETTINGS_H
#define CQ_LIBSETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "settings.h"

/* Types of a setting. */
enum cfg_type
{
  CFG_STRING,
  CFG_NAME,    /* letters, digits, "-", "_" and "." */
  CFG_NAMES,   /* names parted by spaces */
  CFG_KEYS,    /* salted hashes parted by spaces */
  CFG_ADDRESS, /* IP number and port */
  CFG_URL,     /* http://IP:PORT with an optional path */
  CFG_INT,
  CFG_BOOL,
  CFG_ENUM
};

/* One setting of a group. */
struct cfg_key
{
  const char *name;         /* key in the file */
  enum cfg_type type;       /* how its text is read */
  size_t offset;            /* place in the group's struct */
  const char *fallback;     /* text used when absent; NULL if required */
  int64_t min;              /* least value of an int */
  int64_t max;              /* greatest value of an int */
  const char *const *words; /* words of an enumeration, NULL-terminated */
  const char *doc;          /* one sentence for the manual */
};

/* One group of settings. */
struct cfg_group
{
  const char *name;           /* group in the file */
  bool named;                 /* whether a name follows, as in [service x] */
  const struct cfg_key *keys; /* its settings */
  int nkeys;                  /* number of settings */
  size_t size;                /* bytes of the group's struct */
  const char *doc;            /* one sentence for the manual */
};

extern const struct cfg_group cfg_groups[CFG_GROUPS];

/* Read TEXT into the field of KEY in ITEM; NULL, or what was expected. */
char *cfg_parse (const struct cfg_key *key, const char *text, void *item);
void cfg_clear (const struct cfg_group *group, void *item);

#endif
