/*
 * Applies settings: fills the server's tables from them, at the start and
 * after each change.
 *
 * A group of settings keeps its index for the lifetime of the process, and a
 * removed group stays in the tables, marked as removed.  So an index or a
 * pointer into the tables always refers to the same group.  Jobs hold a
 * reference to the settings that they started under.  Other code uses the
 * current settings only until it returns to its loop; replaced settings are
 * freed long after that.
 */
#include "libserver.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define QUANTUM_TOKENS 2048 /* cost that a workspace may spend per round */
#define RETIRED_CFG_KEEP_US (10 * CQ_US_PER_S)

/* --- services and workspaces --- */

static void
set_refusal_statuses (struct service *v)
{
  g_auto (GStrv) words = g_strsplit_set (v->cfg->refusal_status, " ", -1);
  int i;

  v->nrefusal_statuses = 0;
  for (i = 0; words[i] != NULL && v->nrefusal_statuses < MAX_REFUSALS; i++)
    if (words[i][0] != '\0')
      v->refusal_statuses[v->nrefusal_statuses++]
          = (int)g_ascii_strtoll (words[i], NULL, 10);
}

static void
set_service (struct service *v, const struct cfg_service *c, int index)
{
  bool first = v->cfg == NULL;

  v->cfg = c;
  v->index = index;
  if (first)
    {
      fq_init (&v->queue, (int)c->queue_max, (int)c->urgent_reserve,
               QUANTUM_TOKENS);
      budget_init (&v->budget, (int)c->retry_percent, (int)c->retry_burst);
    }
  v->queue.queue_max = (int)c->queue_max;
  v->queue.urgent_reserve = (int)c->urgent_reserve;
  set_refusal_statuses (v);
}

static void
set_workspace (struct workspace *w, const struct cfg_workspace *c, int index)
{
  struct lim_opts opts = { .concurrency = (int)c->concurrency };
  bool first = w->cfg == NULL;

  opts.queue_max = (int)c->queue_max;
  opts.body_max = c->body_max_kb * 1024;
  opts.tokens_s = c->tokens_s;
  opts.token_burst = c->token_burst;
  w->cfg = c;
  w->index = index;
  if (first)
    lim_init (&w->lim, &opts, loop_now_us ());
  w->lim.opts = opts;
}

/* --- endpoints --- */

static void
set_endpoint (struct server *s, struct cfg *cfg, int i)
{
  const struct cfg_endpoint *c = cfg_endpoint (cfg, i);
  int service = cfg_find (cfg, CFG_SERVICE, c->service);
  bool model = cfg_service (cfg, service)->kind == CFG_SERVICE_KIND_MODEL;
  struct route_opts o = { .name = c->id, .service = service };

  o.local = strcmp (c->domain, cfg_vm (cfg)->domain) == 0;
  o.rtt_us = c->rtt_us;
  o.slots = c->removed ? 0 : (int)c->slots;
  o.prefill_tokens_s = model ? c->prefill_tokens_s : 0;
  o.decode_us = model ? c->decode_us : 0;
  if (i >= route_count (s->routes))
    route_add (s->routes, &o);
  else
    {
      o.service = route_get (s->routes, i)->opts.service;
      route_get (s->routes, i)->opts = o;
    }
  route_get (s->routes, i)->removed = c->removed;
  pfx_set_capacity (s->prefixes, i, c->cache_tokens);
}

/* --- all tables --- */

static uint64_t
make_seed (const struct cfg_vm *vm)
{
  uint64_t seed = (uint64_t)vm->seed;

  if (seed == 0)
    randombytes_buf (&seed, sizeof seed);
  return seed;
}

static void
create_tables (struct server *s, struct cfg *cfg)
{
  const struct cfg_vm *vm = cfg_vm (cfg);

  s->max_services = cfg_count (cfg, CFG_SERVICE) + SPARE_SERVICES;
  s->max_workspaces = cfg_count (cfg, CFG_WORKSPACE) + SPARE_WORKSPACES;
  s->max_endpoints = cfg_count (cfg, CFG_ENDPOINT) + SPARE_ENDPOINTS;
  s->max_stores = cfg_count (cfg, CFG_STORE) + SPARE_STORES;
  s->services = g_new0 (struct service, s->max_services);
  s->workspaces = g_new0 (struct workspace, s->max_workspaces);
  s->routes = route_new (make_seed (vm));
  s->prefixes = pfx_new ((size_t)vm->prefix_entries, s->max_endpoints);
  s->history = history_new ((int)vm->history);
  s->kvcache = kvcache_new (s, cfg);
}

static bool
fits_tables (const struct server *s, const struct cfg *cfg)
{
  return cfg_count (cfg, CFG_SERVICE) <= s->max_services
         && cfg_count (cfg, CFG_WORKSPACE) <= s->max_workspaces
         && cfg_count (cfg, CFG_ENDPOINT) <= s->max_endpoints
         && cfg_count (cfg, CFG_STORE) <= s->max_stores;
}

static void
fill_tables (struct server *s, struct cfg *cfg)
{
  int i;

  g_mutex_lock (&s->lim_lock);
  g_mutex_lock (&s->route_lock);
  for (i = 0; i < cfg_count (cfg, CFG_SERVICE); i++)
    set_service (&s->services[i], cfg_service (cfg, i), i);
  for (i = 0; i < cfg_count (cfg, CFG_WORKSPACE); i++)
    set_workspace (&s->workspaces[i], cfg_workspace (cfg, i), i);
  for (i = 0; i < cfg_count (cfg, CFG_ENDPOINT); i++)
    set_endpoint (s, cfg, i);
  kvcache_apply_cfg (s->kvcache, cfg);
  g_mutex_unlock (&s->route_lock);
  g_mutex_unlock (&s->lim_lock);
}

static void
free_oldest_retired (void *arg, int64_t now_us)
{
  struct server *s = arg;
  struct cfg *old = s->retired_cfgs->data;

  s->retired_cfgs = g_list_delete_link (s->retired_cfgs, s->retired_cfgs);
  cfg_free (old);
  if (s->retired_cfgs != NULL)
    loop_arm (s->workers[0].loop, &s->retired_timer,
              now_us + RETIRED_CFG_KEEP_US);
}

/* Queues replaced settings, which are freed one after another, each at least
   RETIRED_CFG_KEEP_US after it was replaced. */
static void
retire_cfg (struct server *s, struct cfg *old)
{
  s->retired_cfgs = g_list_append (s->retired_cfgs, old);
  s->retired_timer.fire = free_oldest_retired;
  s->retired_timer.arg = s;
  if (!s->retired_timer.armed)
    loop_arm (s->workers[0].loop, &s->retired_timer,
              loop_now_us () + RETIRED_CFG_KEEP_US);
}

bool
server_apply_cfg (struct server *s, struct cfg *cfg)
{
  struct cfg *old;

  if (s->routes == NULL)
    create_tables (s, cfg);
  else if (!fits_tables (s, cfg))
    return false;
  fill_tables (s, cfg);
  __atomic_store_n (&s->body_bytes_max,
                    cfg_vm (cfg)->body_memory_mb * 1024 * 1024,
                    __ATOMIC_RELAXED);
  old = __atomic_exchange_n (&s->cfg, cfg, __ATOMIC_ACQ_REL);
  if (old != NULL && old != cfg)
    retire_cfg (s, old);
  return true;
}

static void
free_workspace (struct server *s, struct workspace *w)
{
  int i;

  for (i = 0; w->flows != NULL && i < s->max_services * FQ_CLASSES; i++)
    g_free (w->flows[i]);
  g_free (w->flows);
}

void
server_free_tables (struct server *s)
{
  int i;

  loop_disarm (&s->retired_timer);
  g_list_free_full (s->retired_cfgs, (GDestroyNotify)cfg_free);
  for (i = 0; i < s->max_workspaces; i++)
    free_workspace (s, &s->workspaces[i]);
  g_free (s->workspaces);
  g_free (s->services);
  route_free (s->routes);
  pfx_free (s->prefixes);
  kvcache_free (s->kvcache);
  history_free (s->history);
}
