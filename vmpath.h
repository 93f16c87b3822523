/*
 * What other VMs say of their paths to the endpoints, and which of them take
 * requests that this VM cannot serve.
 *
 * Responds to a VM that reaches no endpoint of a service while many of the
 * other VMs reach none either, stand still or have much to do.  It asks a few
 * of them, in an order of its own so that the VMs of a failure domain ask
 * different ones, until enough say that they reach the service, and asks these
 * again many times a second.  So a request goes to a VM that reached the
 * service some tenths of a second ago.  The code has no side effects.
 */
#ifndef CQ_VMPATH_H
#define CQ_VMPATH_H

#include "mirrorpick.h"

/* Services that one answer names. */
#define VMPATH_SERVICES_MAX 64

struct vmpath;

/* What a VM answers. */
struct vmpath_answer
{
  int forwarded;  /* requests of other VMs that it has under way */
  int nunreached; /* entries in unreached */
  uint64_t unreached[VMPATH_SERVICES_MAX]; /* vmpath_key of the services of
                                              which it reaches no endpoint */
};

/* Which VM is sought. */
struct vmpath_query
{
  const char *service;               /* to be reached */
  bool near_only;                    /* only VMs of this failure domain */
  const char (*tried)[LOAD_VM_SIZE]; /* VMs that are left out */
  int ntried;                        /* entries in tried */
  uint64_t random;                   /* a random number */
};

/* SEED makes the order in which VMs are asked. */
struct vmpath *vmpath_new (uint64_t seed);
void vmpath_free (struct vmpath *t);
uint64_t vmpath_key (const char *service);
/* The other VMs are ALL, of which NEAR are in this failure domain; both hold
   struct mirror_peer. */
void vmpath_set_vms (struct vmpath *t, const GArray *all, const GArray *near);
/* Returns the VM to ask for its paths now, since requests for SERVICE need
   one, and its address; NULL if none is to be asked now.  It counts as asked
   until one of the next three is called for it. */
const char *vmpath_next (struct vmpath *t, const char *service,
                         const char **address, int64_t now_us);
void vmpath_answered (struct vmpath *t, const char *vm,
                      const struct vmpath_answer *a, int64_t now_us);
/* VM did not answer in time. */
void vmpath_silent (struct vmpath *t, const char *vm, int64_t now_us);
/* VM answered, and does not know the question. */
void vmpath_not_understood (struct vmpath *t, const char *vm, int64_t now_us);
/* VM did not take a request for SERVICE, since it reaches no endpoint of it,
   or since it was not reached itself. */
void vmpath_refused (struct vmpath *t, const char *vm, const char *service,
                     int64_t now_us);
/* Returns whether VM did not take a request, or did not answer, a short time
   ago. */
bool vmpath_is_avoided (const struct vmpath *t, const char *vm,
                        int64_t now_us);
/* Returns a VM that reaches the service by its own recent answer, the one of
   two drawn that has less to do for others; NULL if there is none. */
const char *vmpath_pick (struct vmpath *t, const struct vmpath_query *q,
                         const char **address, int64_t now_us);
/* Returns whether a VM was asked a short time ago and may still answer. */
bool vmpath_expects_answer (const struct vmpath *t, int64_t now_us);
/* Likewise a VM of which nothing is known that speaks against it; if there is
   none, one that answers late, then one that failed before. */
const char *vmpath_draw (struct vmpath *t, const struct vmpath_query *q,
                         const char **address, int64_t now_us);

#endif
