/*
 * Settings: a base file shared by all sites and an overlay for each site,
 * merged, checked against a schema, and held as one immutable value.
 */
#ifndef CQ_SETTINGS_H
#define CQ_SETTINGS_H

#include <glib.h>
#include <stdio.h>

#include "settings_gen.h"

/* Errors of this library; a file that cannot be read, or settings that fail
   their check. */
#define CFG_ERROR cfg_error_quark ()
GQuark cfg_error_quark (void);

enum cfg_error
{
  CFG_ERROR_READ,
  CFG_ERROR_CHECK
};

/* Merged settings.  Immutable once loaded, so threads share it freely. */
struct cfg;

/* Read BASE and, if not NULL, OVERLAY.  On failure the message of *ERR holds
   every fault found, one a line: file, group, key, what was expected. */
struct cfg *cfg_load (const char *base, const char *overlay, GError **err);
/* A setting that was changed after the files were written. */
struct cfg_override
{
  char *group; /* "service chat" */
  char *key;   /* key in that group */
  char *value; /* new text */
};

/* The same, with changes over the files.  Groups keep their places. */
struct cfg *cfg_load_changed (const char *base, const char *overlay,
                              const struct cfg_override *overrides, int n,
                              GError **err);

/* Settings are shared by reference; the last one frees them. */
struct cfg *cfg_ref (struct cfg *cfg);
void cfg_free (struct cfg *cfg);

const struct cfg_vm *cfg_vm (const struct cfg *cfg);
const struct cfg_platform *cfg_platform (const struct cfg *cfg);
const struct cfg_entry *cfg_entry (const struct cfg *cfg);

/* Named groups, in the order of the files. */
int cfg_count (const struct cfg *cfg, enum cfg_group_id group);
const struct cfg_workspace *cfg_workspace (const struct cfg *cfg, int i);
const struct cfg_service *cfg_service (const struct cfg *cfg, int i);
const struct cfg_endpoint *cfg_endpoint (const struct cfg *cfg, int i);
const struct cfg_store *cfg_store (const struct cfg *cfg, int i);
const struct cfg_operator *cfg_operator (const struct cfg *cfg, int i);

/* Index of the group named ID, or -1. */
int cfg_find (const struct cfg *cfg, enum cfg_group_id group, const char *id);

/* Whether TEXT is letters, digits, "-", "_" and ".", at most 63. */
bool cfg_is_name (const char *text);

/* Print every setting with the file that it came from. */
void cfg_show (const struct cfg *cfg, FILE *to);

#endif
