/*
 * Copy of a table of the platform, kept so that other VMs can read it from
 * this one: the rows, and for a while the keys of removed rows, in the order
 * in which they changed.  Everything here is pure.
 */
#ifndef CQ_MIRROR_H
#define CQ_MIRROR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A row; valid until the copy changes. */
struct mirror_row
{
  const char *key;      /* its key */
  int64_t version;      /* of its last change */
  bool removed;         /* it was removed, and has no value */
  const uint8_t *value; /* encoded content */
  size_t len;           /* bytes of it */
};

struct mirror;

/* At most REMOVED_MAX removed rows are remembered. */
struct mirror *mirror_new (int removed_max);
void mirror_free (struct mirror *m);

/* Forgets everything: the table's versions begin anew. */
void mirror_reset (struct mirror *m);
/* Begins to apply a reply that covers all changes up to VERSION.  If FULL, it
   holds all rows, else the changes after the version covered so far. */
void mirror_begin (struct mirror *m, bool full, int64_t version);
void mirror_put (struct mirror *m, const char *key, int64_t version,
                 const uint8_t *value, size_t len);
void mirror_remove (struct mirror *m, const char *key, int64_t version);
/* Ends the reply; after a full one, the rows that it lacked count as
   removed. */
void mirror_end (struct mirror *m);

/* Whether a full reply was applied. */
bool mirror_is_complete (const struct mirror *m);
/* Version up to which all changes are in the copy. */
int64_t mirror_version (const struct mirror *m);
/* Number of rows, without removed ones. */
int mirror_count (const struct mirror *m);
/* Whether all changes after version SINCE are known. */
bool mirror_has_changes (const struct mirror *m, int64_t since);
/* Calls FN for each row that changed after SINCE, newest first, or, if SINCE
   is 0, for each row that is not removed. */
void mirror_each (const struct mirror *m, int64_t since,
                  void (*fn) (void *arg, const struct mirror_row *row),
                  void *arg);

#endif
