/*
 * Which VMs of a failure domain read the platform's tables for the others.
 *
 * A few readers poll the platform; the other VMs of the domain ask them.  Who
 * reads follows from the roster alone, without messages: VMs whose rosters
 * differ for a moment only choose different readers, and any VM answers.
 */
#ifndef CQ_MIRRORPICK_H
#define CQ_MIRRORPICK_H

#include <glib.h>

#include "fleet.h"
#include "load.h"

/* A VM of the same failure domain that answers requests for rows. */
struct mirror_peer
{
  char vm[LOAD_VM_SIZE];         /* its name */
  char address[FLEET_NAME_SIZE]; /* IP:PORT */
  int link_mbit_s;               /* bandwidth of its link, 0 if unknown */
};

enum mirror_role
{
  MIRROR_UNKNOWN, /* the other VMs are not known yet */
  MIRROR_ALONE,   /* too few VMs to share the work: reads for itself */
  MIRROR_READER,  /* reads for the others, too */
  MIRROR_CLIENT   /* asks the readers */
};

struct mirror_choice
{
  enum mirror_role role;
  int vms;       /* VMs of the failure domain, with this one */
  int readers;   /* how many of them read */
  int rank;      /* VMs that are preferred as readers before this one */
  int earlier;   /* of a reader: how many at the start of order are these */
  GArray *order; /* struct mirror_peer: whom a client asks, in this order */
};

/* Number of readers among VMS VMs of a failure domain. */
int mirrorpick_readers (int vms);
/* Fills in CHOICE, except role UNKNOWN, for the VM named SELF with a link of
   LINK_MBIT_S.  PEERS holds struct mirror_peer; MIN_VMS is the number of VMs
   from which on they share the work.  ORDER must be a GArray or NULL. */
void mirrorpick_choose (struct mirror_choice *choice, const char *self,
                        int link_mbit_s, const GArray *peers, int min_vms);
const char *mirrorpick_role_name (enum mirror_role role);

#endif
