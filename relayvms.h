/*
 * Asks other VMs which services they reach, while requests of this one need
 * that.
 */
#ifndef CQ_RELAYVMS_H
#define CQ_RELAYVMS_H

#include "loop.h"
#include "vmpath.h"

/* The answer to a question; NULL if there was none in time, or with UNKNOWN
   one that does not understand it. */
typedef void (*vm_asked) (void *arg, const struct vmpath_answer *a,
                          bool unknown);

struct relayvms_opts
{
  struct loop *loop; /* event loop of the worker */
  /* Append the other VMs to VMS, as struct mirror_peer, with NEAR only those
     of this VM's failure domain; false while they are not known. */
  bool (*list_vms) (void *arg, bool near, GArray *vms);
  /* Ask the VM at ADDRESS; DONE is called once, after the call has returned.
     False if it cannot be asked now.  NULL: no VM is asked. */
  bool (*ask) (void *arg, const char *address, vm_asked done, void *done_arg);
  void *arg;     /* for both callbacks */
  uint64_t seed; /* of random choices */
};

struct relayvms;

/* Copies OPTS; what it points to must outlive the result. */
struct relayvms *relayvms_new (const struct relayvms_opts *opts);
/* Memory is released once the last question under way has ended. */
void relayvms_free (struct relayvms *t);
/* Requests for SERVICE need another VM now, or may need one soon: for FOR_US,
   VMs are asked. */
void relayvms_want (struct relayvms *t, const char *service, int64_t for_us,
                    int64_t now_us);
/* Choose the VM that Q asks for; NULL if there is none.  CONFIRMED is set to
   whether it said a short time ago that it reaches the service. */
const char *relayvms_choose (struct relayvms *t, const struct vmpath_query *q,
                             const char **address, bool *confirmed,
                             int64_t now_us);
/* Whether VM did not take one a short time ago, or was silent. */
bool relayvms_is_avoided (const struct relayvms *t, const char *vm,
                          int64_t now_us);
/* Whether a VM may still answer within a short time. */
bool relayvms_expects_answer (const struct relayvms *t, int64_t now_us);
/* VM did not take a request for SERVICE. */
void relayvms_refused (struct relayvms *t, const char *vm, const char *service,
                       int64_t now_us);

#endif
