/* Commands of the camphorquay program, one function for each. */
#ifndef CQ_CMD_H
#define CQ_CMD_H

#include <argp.h>
#include <stdbool.h>

#include "settings.h"

#define CQ_VERSION "0.1.0"

/* Files named on the command line. */
struct cmd_files
{
  const char *base;    /* base settings shared by all sites */
  const char *overlay; /* settings of this site, or NULL */
};

/* Each runs one command and returns the exit code. */
int cmd_serve (int argc, char **argv);
int cmd_check (int argc, char **argv);
int cmd_show (int argc, char **argv);
int cmd_key (int argc, char **argv);
int cmd_ctl (int argc, char **argv);

/* Parse the command line of a command whose only options are --base and
   --overlay; exits on an error. */
void cmd_parse_files (int argc, char **argv, const char *doc,
                      struct cmd_files *files);

/* Load and check the settings files.  On errors, print all of them to standard
   error and return NULL.  The caller frees the result with cfg_free. */
struct cfg *cmd_load (const struct cmd_files *files);

#endif
