/* What requests that are passed on ask of endpoints, and have under way. */
#include "librelay.h"

#include <string.h>
#include <xxhash.h>

/* Long prompts are told to other VMs: those over this part of an endpoint's
   memory.  Short ones are many, and read in some ms. */
#define SMALL_PART 64

/* --- what a request asks --------------------------------------------- */

const char *
relay_affinity (const struct relay_desc *d)
{
  if (d->nparts == 0)
    return NULL;
  return d->parts[d->nparts > 1 ? d->nparts - 2 : 0].id;
}

/* Workspaces that share nothing do not find each other's parts. */
static uint64_t
part_digest (const struct relay *r, bool alone)
{
  const char *part = relay_affinity (&r->desc);
  const char *owner = alone ? r->workspace->name : "";

  return XXH3_64bits_withSeed (part, strlen (part),
                               XXH3_64bits (owner, strlen (owner)));
}

/* What the prompt asks of an endpoint; which weights that will have is not
   known yet, and most have the newest. */
void
relay_weigh (struct relay *r, int64_t now_us)
{
  const struct relays_opts *o = &r->rs->opts;
  const struct fleet_service *sv
      = g_hash_table_lookup (r->conf->services, r->service);
  bool alone = r->workspace != NULL && r->workspace->isolated;
  const struct fleet_wanted *w;
  char scope[PARTS_SCOPE_SIZE];
  int i;

  memset (&r->work, 0, sizeof r->work);
  r->heavy = false;
  if (sv == NULL || sv->model == NULL || r->desc.nparts == 0)
    return;
  for (i = 0; i < r->desc.nparts - 1; i++)
    r->work.shared_tokens += r->desc.parts[i].tokens;
  r->work.own_tokens = r->desc.parts[i].tokens;
  r->work.part = part_digest (r, alone);
  r->heavy = (r->work.shared_tokens + r->work.own_tokens) * SMALL_PART
             > sv->kv_capacity_tokens;
  if (o->parts == NULL || !r->route->sticky)
    return;
  w = fleet_wanted_of (o->fleet, sv->model);
  parts_scope (scope, sv->model, w != NULL ? w->version : 1,
               alone ? r->workspace->name : NULL);
  r->work.stored_tokens = parts_stored (o->parts, scope, r->desc.parts,
                                        r->desc.nparts - 1, o->domain, now_us);
}

/* --- what is under way ----------------------------------------------- */

void
relay_tell_work (struct relay *r, int64_t now_us)
{
  const struct relays_opts *o = &r->rs->opts;

  if (o->worked != NULL && r->heavy)
    o->worked (o->worked_arg, now_us);
}

void
relay_read (struct relay *r, int64_t now_us)
{
  if (!r->unread)
    return;
  r->unread = false;
  relay_tell_work (r, now_us);
}

static struct load_entry *
entry_of (struct load_gossip *w, const struct relay *r)
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

/* Of too many any, since the rest are no worse known than without a word. */
void
relays_gather (void *ctx, struct load_gossip *w)
{
  const struct relays *rs = ctx;
  const struct relay *r;
  struct load_entry *e;

  w->nentries = 0;
  APR_RING_FOREACH (r, &rs->all, relay, link)
  {
    if (r->endpoint == NULL || !r->heavy)
      continue;
    e = entry_of (w, r);
    if (e == NULL)
      continue;
    e->kv_tokens += r->work.own_tokens;
    if (!r->unread)
      continue;
    e->pending_prefill_tokens += r->work.own_tokens;
    e->shared_pending_prefill_tokens
        = MAX (e->shared_pending_prefill_tokens, r->shared_unread);
  }
}
