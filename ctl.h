/* Internal header of the ctl command. */
#ifndef CQ_CTL_H
#define CQ_CTL_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#define CTL_KEY_VARIABLE "CAMPHORQUAY_KEY"

/* Parsed command line. */
struct ctl_options
{
  const char *address;  /* IP:PORT of the VM */
  const char *key_file; /* file with the operator's key */
  bool json;            /* print the reply unchanged, as JSON */
  bool whole_file;      /* a change conflicts with any newer change */
  int wait_s;           /* seconds to wait until a change is in force */
  char *args[3];        /* command and its arguments */
  int nargs;            /* number of args */
};

/* Read the operator's key from the key file or the environment; NULL if there
   is none.  The caller frees it. */
char *ctl_read_key (const struct ctl_options *o);

/* Send a request to the VM and append the response body to REPLY.  BODY may be
   NULL.  Returns the HTTP status, or 0 if the VM does not answer. */
long ctl_call (const struct ctl_options *o, const char *method,
               const char *path, const char *body, GString *reply);

/* Print why a call failed; returns an exit code.  STATUS is what ctl_call
   returned, REPLY may be NULL. */
int ctl_report_error (const struct ctl_options *o, long status,
                      const json_t *reply);

/* Commands on settings and members (ctlconf.c); each returns an exit code. */
int ctl_apply (const struct ctl_options *o);
int ctl_diff (const struct ctl_options *o);
int ctl_history (const struct ctl_options *o);
int ctl_members (const struct ctl_options *o);
int ctl_settings (const struct ctl_options *o);

#endif
