/* Internal header of the ctl command. */
#ifndef CQ_CTL_H
#define CQ_CTL_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#define CTL_KEY_VARIABLE "CAMPHORQUAY_KEY"

/* What the command line says. */
struct ctl_options
{
  const char *address;  /* VM to ask */
  const char *key_file; /* file with the operator's key */
  bool json;            /* print the reply as it came */
  bool whole_file;      /* a change conflicts with any other */
  int wait_s;           /* seconds to wait until a change is in force */
  char *args[3];        /* command and its arguments */
  int nargs;            /* their number */
};

/* The operator's key, or NULL; freed by the caller. */
char *ctl_read_key (const struct ctl_options *o);

/* Ask the VM; HTTP status, 0 if it does not answer.  Free the reply. */
long ctl_call (const struct ctl_options *o, const char *method,
               const char *path, const char *body, GString *reply);

/* Say why a call was refused; an exit code. */
int ctl_report_error (const struct ctl_options *o, long status,
                      const json_t *reply);

/* Changes of settings (ctlconf.c); each returns an exit code. */
int ctl_apply (const struct ctl_options *o);
int ctl_diff (const struct ctl_options *o);
int ctl_history (const struct ctl_options *o);
int ctl_members (const struct ctl_options *o);
int ctl_settings (const struct ctl_options *o);

#endif
