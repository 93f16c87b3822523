/* Entry of the stand-ins: fake ROLE [PORT [NAME=VALUE...]]. */
#include "fake.h"
#include "fakesrv.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const struct fk_role *const roles[]
    = { &fk_engine, &fk_plain, &fk_table, &fk_store, &fk_rows };

int
main (int argc, char **argv)
{
  size_t i;

  for (i = 0; argc > 1 && i < G_N_ELEMENTS (roles); i++)
    if (strcmp (roles[i]->name, argv[1]) == 0)
      return fk_serve (roles[i], argc > 2 ? atoi (argv[2]) : 0);
  if (argc > 1 && strcmp (argv[1], "server") == 0)
    return fakesrv_main (argc > 2 ? atoi (argv[2]) : 0);
  fprintf (stderr,
           "usage: fake engine|plain|table|store|rows|server [PORT]\n");
  return 2;
}
