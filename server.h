/* Public header of the server library: run one VM of the system. */
#ifndef CQ_SERVER_H
#define CQ_SERVER_H

#include "settings.h"

/* Exit codes shared by all commands. */
enum exit_code
{
  EXIT_CODE_OK = 0,
  EXIT_CODE_FAILED = 1,  /* the command ran and failed */
  EXIT_CODE_USAGE = 2,   /* wrong command line */
  EXIT_CODE_SETTINGS = 3 /* settings could not be read or are wrong */
};

/* Serve until SIGTERM or SIGINT; returns an exit code.  CFG, loaded from BASE
   and OVERLAY, is taken over. */
int server_run (struct cfg *cfg, const char *base, const char *overlay);

/* Make a key for NAME; the caller frees both strings. */
void auth_make_key (const char *name, char **key, char **hash);

#endif
