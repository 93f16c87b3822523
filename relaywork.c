/* Load of requests on endpoints: estimates, and reports to other VMs. */
#include "librelay.h"

#include <string.h>
#include <xxhash.h>

/* Prompts longer than 1 / this of an endpoint's KV capacity are reported to
   other VMs.  Shorter ones are many, and are processed within some ms. */
#define LONG_PROMPT_DIVISOR 64

/* --- work of a request ----------------------------------------------- */

const char *
relay_affinity (const struct relay_desc *d)
{
  if (d->nparts == 0)
    return NULL;
  return d->parts[d->nparts > 1 ? d->nparts - 2 : 0].id;
}

/* The digest of an isolated workspace's part includes the workspace, so that
   parts of different workspaces differ. */
static uint64_t
part_digest (const struct relay *r, bool isolated)
{
  const char *part = relay_affinity (&r->desc);
  const char *owner = isolated ? r->workspace->name : "";

  return XXH3_64bits_withSeed (part, strlen (part),
                               XXH3_64bits (owner, strlen (owner)));
}

/* The endpoint and its weights are not known yet; the newest weights are
   assumed, since most endpoints have them. */
void
relay_estimate_work (struct relay *r, int64_t now_us)
{
  const struct relays_opts *o = &r->rs->opts;
  const struct fleet_service *sv
      = g_hash_table_lookup (r->conf->services, r->service);
  bool isolated = r->workspace != NULL && r->workspace->isolated;
  const struct fleet_wanted *w;
  char scope[PARTS_SCOPE_SIZE];
  int i;

  memset (&r->work, 0, sizeof r->work);
  r->is_long_prompt = false;
  if (sv == NULL || sv->model == NULL || r->desc.nparts == 0)
    return;
  for (i = 0; i < r->desc.nparts - 1; i++)
    r->work.shared_tokens += r->desc.parts[i].tokens;
  r->work.own_tokens = r->desc.parts[i].tokens;
  r->work.part = part_digest (r, isolated);
  r->is_long_prompt
      = (r->work.shared_tokens + r->work.own_tokens) * LONG_PROMPT_DIVISOR
        > sv->kv_capacity_tokens;
  if (o->parts == NULL || !r->route->sticky)
    return;
  w = fleet_wanted_of (o->fleet, sv->model);
  parts_scope_name (scope, sv->model, w != NULL ? w->version : 1,
                    relay_cache_group (r, r->conf));
  r->work.stored_tokens = parts_stored_tokens (
      o->parts, scope, r->desc.parts, r->desc.nparts - 1, o->domain, now_us);
}

/* --- work at endpoints ----------------------------------------------- */

void
relay_notify_work (struct relay *r, int64_t now_us)
{
  const struct relays_opts *o = &r->rs->opts;

  if (o->on_work_changed != NULL && r->is_long_prompt)
    o->on_work_changed (o->work_arg, now_us);
}

void
relay_prefill_done (struct relay *r, int64_t now_us)
{
  if (!r->is_prefilling)
    return;
  r->is_prefilling = false;
  relay_notify_work (r, now_us);
}

static struct load_entry *
get_or_add_entry (struct load_gossip *w, const struct relay *r)
{
  struct load_entry *e;
  int i;

  for (i = 0; i < w->nentries; i++)
    if (w->entries[i].endpoint == r->endpoint->key
        && w->entries[i].part == r->work.part)
      return &w->entries[i];
  if (w->nentries == LOAD_ENTRIES_MAX)
    return NULL;
  e = &w->entries[w->nentries++];
  *e = (struct load_entry){ .endpoint = r->endpoint->key,
                            .part = r->work.part,
                            .shared_kv_tokens = r->work.shared_tokens };
  return e;
}

/* If there are too many entries, arbitrary ones are left out; of these other
   VMs know no less than without the message. */
void
relays_collect_load (void *ctx, struct load_gossip *w)
{
  const struct relays *rs = ctx;
  const struct relay *r;
  struct load_entry *e;

  w->nentries = 0;
  APR_RING_FOREACH (r, &rs->all, relay, link)
  {
    if (r->endpoint == NULL || !r->is_long_prompt)
      continue;
    e = get_or_add_entry (w, r);
    if (e == NULL)
      continue;
    e->kv_tokens += r->work.own_tokens;
    if (!r->is_prefilling)
      continue;
    e->pending_prefill_tokens += r->work.own_tokens;
    e->shared_pending_prefill_tokens = MAX (e->shared_pending_prefill_tokens,
                                            r->shared_pending_prefill_tokens);
  }
}
