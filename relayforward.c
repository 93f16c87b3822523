/*
 * The relay: requests that are forwarded to another VM.
 *
 * Responds to a VM that reaches no endpoint of a service while other VMs do,
 * and to brittle endpoints, to which only some VMs send.
 * The other VM decides on the request as on one of its own callers, and its
 * answer is passed on.  A request is forwarded once; one that was forwarded
 * goes to an endpoint or is refused.
 */
#include "librelay.h"

#include <limits.h>
#include <string.h>

#include "log.h"
#include "met.h"

/* Other VMs are asked for their paths this long after the last request that
   needs one. */
#define NO_PATH_ASK_US (3000 * CQ_US_PER_MS)
/* VMs to which one request is forwarded for their share. */
#define SHARE_VMS_MAX 2
/* Draws of an owner of a brittle endpoint before the request is refused. */
#define OWNER_DRAWS 8

/* --- callbacks of the attempt ---------------------------------------- */

bool
relay_forward_before_send (void *arg)
{
  struct relay *r = arg;
  int64_t now = loop_now_us ();

  if (r->state == RELAY_PLACED && r->stop_reason == NULL)
    r->stop_reason = relay_send_obstacle (r, now);
  if (r->stop_reason != NULL || !relay_apply_event (r, RELAY_HAND_OVER))
    return false;
  relay_handed_over (r, now);
  return true;
}

/* The other VM's own answers bear no seal.  It refuses a request that did not
   run with a status of the caller's error, or with one that means so. */
static bool
says_not_run (const struct relay_head *head)
{
  return !head->genuine
         && ((head->status >= 400 && head->status < 500)
             || out_status_means_not_run (head->status));
}

bool
relay_forward_head (void *arg, const struct relay_head *head)
{
  struct relay *r = arg;

  if (!relay_apply_event (r, RELAY_HEAD))
    return false;
  r->status = head->status;
  r->not_run = says_not_run (head);
  r->vm_no_path = r->not_run && head->no_path;
  r->no_build = r->not_run && head->no_build;
  r->vm_retry_us = head->notice.backoff_us;
  if (!r->not_run && !head->genuine)
    {
      r->stop_reason = "vm_failed";
      return false;
    }
  r->streaming = relay_is_stream (r, head);
  r->ends_with_connection = head->ends_with_connection;
  g_strfreev (r->lines);
  r->lines = g_strdupv (head->lines);
  return true;
}

bool
relay_forward_ended (struct relay *r, enum send_state sent, const char *error,
                     int64_t now_us)
{
  bool unreached = sent == SEND_NONE && r->stop_reason == NULL;
  struct out_verdict v = relay_decide (r, sent, false, now_us);
  const char *reason = r->stop_reason != NULL ? r->stop_reason : v.reason;

  log_event (LOG_LEVEL_INFO, "forward_end",
             "req=%s vm=%s sent=%s status=%d no_path=%d reason=%s "
             "took_us=%" G_GINT64_FORMAT " error=\"%s\"",
             r->desc.id, r->vms_tried[r->nvms_tried - 1], out_send_name (sent),
             r->status, r->vm_no_path, reason, (gint64)(now_us - r->sent_us),
             error);
  r->forwarding = false;
  if (sent == SEND_NONE || sent == SEND_REFUSED)
    r->attempts = 0;
  else
    r->may_have_run = true;
  if (unreached || r->vm_no_path)
    {
      if (unreached || !r->seeks_share)
        relayvms_refused (r->rs->vms, r->vms_tried[r->nvms_tried - 1],
                          r->service, now_us);
      if (now_us < r->deadline_us)
        return true;
    }
  if (v.passes_answer)
    relay_pass_answer (r, v.outcome, v.reason, now_us);
  else if (r->no_build)
    relay_give_up_no_build (r, now_us);
  else
    relay_give_up (
        r, v.outcome, reason,
        r->vm_retry_us > 0 ? r->vm_retry_us : RETRY_AFTER_FAILURE_US, now_us);
  return false;
}

/* --- start ----------------------------------------------------------- */

/* Only a request of which no byte went to an endpoint: two VMs must not send
   it to more endpoints than its route allows. */
static bool
may_forward (const struct relay *r)
{
  const struct relays_opts *o = &r->rs->opts;

  return o->list_vms != NULL && o->engine.forward != NULL && !r->desc.forwarded
         && r->attempts == 0 && !r->may_have_run
         && r->nvms_tried < RELAY_VMS_MAX;
}

/* A request that is bound to regions stays in this failure domain. */
static bool
is_bound_to_regions (const struct relay *r)
{
  return r->route->allowed_regions != NULL
         || (r->workspace != NULL && r->workspace->allowed_regions != NULL);
}

/* The VM that R is forwarded to, or NULL. */
static const char *
choose (struct relay *r, const char **address, bool *confirmed, int64_t now_us)
{
  struct vmpath_query q = { .service = r->service, .tried = r->vms_tried };

  q.near_only = is_bound_to_regions (r);
  q.ntried = r->nvms_tried;
  q.random = relay_random (r->rs);
  return relayvms_choose (r->rs->vms, &q, address, confirmed, now_us);
}

/* False if there is no key for the seal. */
static bool
start_forward (struct relay *r, const char *vm, const char *address,
               const char *cause, const struct relay_events *events,
               int64_t now_us)
{
  const struct relays_opts *o = &r->rs->opts;
  struct relay_forward f = { .desc = &r->desc, .address = address };
  g_autofree char *seal = o->seal_forward (o->forward_arg, &r->desc, now_us);

  if (seal == NULL)
    return false;
  if (!relay_apply_event (r, RELAY_SEND))
    {
      relay_abort (r, now_us);
      return true;
    }
  relay_reset_attempt (r, now_us);
  r->forwarding = true;
  g_strlcpy (r->vms_tried[r->nvms_tried++], vm, sizeof r->vms_tried[0]);
  f.seal = seal;
  f.timeout_us = r->deadline_us - now_us;
  met_add (MET_FORWARDED, 1);
  log_event (LOG_LEVEL_INFO, "forward",
             "req=%s route=%s service=%s vm=%s cause=%s "
             "left_us=%" G_GINT64_FORMAT,
             r->desc.id, r->route->name, r->service, vm, cause,
             (gint64)f.timeout_us);
  r->call = o->engine.forward (o->engine.ctx, &f, events, r);
  return true;
}

bool
relay_forward (struct relay *r, const struct relay_events *events,
               int64_t now_us)
{
  const char *vm, *address;
  bool confirmed;

  if (!may_forward (r) || !relayreach_is_isolated (r->rs->reach, r->service))
    return false;
  relayvms_want (r->rs->vms, r->service, NO_PATH_ASK_US, now_us);
  vm = choose (r, &address, &confirmed, now_us);
  if (!confirmed && relayvms_expects_answer (r->rs->vms, now_us)
      && relay_wait_for_path (r, now_us))
    return true;
  return vm != NULL
         && start_forward (r, vm, address,
                           confirmed ? "no_path" : "no_path_drawn", events,
                           now_us);
}

static bool
was_tried (const struct relay *r, const char *vm)
{
  int i;

  for (i = 0; i < r->nvms_tried; i++)
    if (strcmp (r->vms_tried[i], vm) == 0)
      return true;
  return false;
}

/* An owner of some endpoint that is neither known to be away nor was tried. */
static bool
choose_owner (struct relay *r, struct mirror_peer *vm, int64_t now_us)
{
  const struct relays_opts *o = &r->rs->opts;
  const struct fleet_endpoint *e;
  int i, owners;

  for (i = 0; i < OWNER_DRAWS; i++)
    {
      e = fleet_choose_not_owned (o->fleet, r->service, relay_random (r->rs),
                                  now_us);
      if (e == NULL)
        return false;
      owners = brittle_owners (e->brittle.applied, INT_MAX);
      if (o->choose_owner (o->forward_arg, e->key, owners,
                           is_bound_to_regions (r), relay_random (r->rs), vm)
          && !was_tried (r, vm->vm)
          && !relayvms_is_avoided (r->rs->vms, vm->vm, now_us))
        return true;
    }
  return false;
}

bool
relay_forward_to_owner (struct relay *r, const struct relay_events *events,
                        int64_t now_us)
{
  struct mirror_peer vm;

  return may_forward (r) && r->rs->opts.choose_owner != NULL
         && choose_owner (r, &vm, now_us)
         && start_forward (r, vm.vm, vm.address, "brittle", events, now_us);
}

bool
relay_forward_for_share (struct relay *r, const struct relay_events *events,
                         int64_t now_us)
{
  const char *vm, *address;
  bool confirmed;

  if (!may_forward (r) || r->nvms_tried >= SHARE_VMS_MAX)
    return false;
  vm = choose (r, &address, &confirmed, now_us);
  r->seeks_share = vm != NULL;
  return vm != NULL && start_forward (r, vm, address, "share", events, now_us);
}
