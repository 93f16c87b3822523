/* Operators' interface: health, metrics, status, lists, changes. */
#include "libserver.h"

#include <string.h>

/* --- health and metrics ---------------------------------------------- */

static const char *
phase_name (enum phase phase)
{
  static const char *const names[] = {
    [PHASE_STARTING] = "starting", [PHASE_SERVING] = "serving",
    [PHASE_NOTICE] = "notice",     [PHASE_DRAINING] = "draining",
    [PHASE_STOPPED] = "stopped",
  };
  return names[phase];
}

/* The balancer sends no new connections unless this says 200. */
void
adm_health (struct req *r)
{
  enum phase phase = server_phase (r->worker->server);

  req_reply_json (r, phase == PHASE_SERVING ? 200 : 503,
                  json_pack ("{s:s}", "phase", phase_name (phase)));
}

void
adm_metrics (struct req *r)
{
  g_autoptr (GString) text = g_string_new (NULL);
  struct reply reply
      = { .status = 200, .content_type = "text/plain; version=0.0.4" };

  met_print (text);
  reply.body = text->str;
  reply.len = text->len;
  req_reply (r, &reply);
}

/* --- rights ---------------------------------------------------------- */

static const struct cfg_operator *
operator_of (struct req *r)
{
  return cfg_operator (server_cfg (r->worker->server), r->operator_index);
}

static bool
sees_all (const struct cfg_operator *o)
{
  return o->workspaces[0] == NULL;
}

static bool
sees (const struct cfg_operator *o, const char *workspace)
{
  return sees_all (o)
         || g_strv_contains ((const char *const *)o->workspaces, workspace);
}

/* --- status and lists ------------------------------------------------ */

void
adm_status (struct req *r)
{
  struct server *s = r->worker->server;
  const struct cfg_vm *vm = cfg_vm (server_cfg (s));
  int64_t up = loop_now_us () - s->started_us;

  req_reply_json (
      r, 200,
      json_pack ("{s:s,s:s,s:s,s:I,s:I,s:I,s:I,s:I}", "vm", vm->name, "domain",
                 vm->domain, "phase", phase_name (server_phase (s)),
                 "uptime_s", (json_int_t)(up / CQ_US_PER_S), "live",
                 (json_int_t)__atomic_load_n (&s->live_jobs, __ATOMIC_RELAXED),
                 "running", (json_int_t)met_get (MET_RUNNING), "queued",
                 (json_int_t)met_get (MET_QUEUED), "connections",
                 (json_int_t)met_get (MET_CONNECTIONS)));
}

static json_t *
list_workspaces (struct req *r)
{
  struct server *s = r->worker->server;
  json_t *list = json_array ();
  const struct cfg_workspace *c;
  struct workspace *w;
  char *services;
  int i;

  for (i = 0; i < cfg_count (server_cfg (s), CFG_WORKSPACE); i++)
    {
      w = &s->workspaces[i];
      c = cfg_workspace (server_cfg (s), i);
      if (!sees (operator_of (r), c->id))
        continue;
      services = g_strjoinv (" ", c->services);
      g_mutex_lock (&s->lim_lock);
      json_array_append_new (
          list, json_pack ("{s:s,s:s,s:b,s:i,s:i}", "name", c->id, "services",
                           services, "urgent", c->urgent, "running",
                           w->lim.running, "queued", w->lim.queued));
      g_mutex_unlock (&s->lim_lock);
      g_free (services);
    }
  return list;
}

static json_t *
list_services (struct req *r)
{
  struct server *s = r->worker->server;
  json_t *list = json_array ();
  const struct cfg_service *c;
  struct service *v;
  int i;

  for (i = 0; i < cfg_count (server_cfg (s), CFG_SERVICE); i++)
    {
      v = &s->services[i];
      c = cfg_service (server_cfg (s), i);
      g_mutex_lock (&s->lim_lock);
      json_array_append_new (
          list,
          json_pack ("{s:s,s:s,s:s,s:b,s:i,s:i}", "name", c->id, "kind",
                     c->kind == CFG_SERVICE_KIND_MODEL ? "model" : "plain",
                     "version", c->version, "repeatable", c->repeatable,
                     "queued_urgent", v->queue.queued[FQ_URGENT],
                     "queued_normal", v->queue.queued[FQ_NORMAL]));
      g_mutex_unlock (&s->lim_lock);
    }
  return list;
}

static json_t *
list_endpoints (struct req *r)
{
  struct server *s = r->worker->server;
  json_t *list = json_array ();
  int64_t now = loop_now_us ();
  const struct route_endpoint *e;
  const struct cfg_endpoint *c;
  int i;

  for (i = 0; i < cfg_count (server_cfg (s), CFG_ENDPOINT); i++)
    {
      c = cfg_endpoint (server_cfg (s), i);
      g_mutex_lock (&s->route_lock);
      e = route_get (s->routes, i);
      json_array_append_new (
          list,
          json_pack ("{s:s,s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i}", "name", c->id,
                     "service", c->service, "domain", c->domain, "state",
                     route_state_name (route_state (e, now)), "version",
                     e->report.version, "incarnation", e->report.incarnation,
                     "slots", e->opts.slots, "running_here", e->running,
                     "running_reported", e->report.running));
      g_mutex_unlock (&s->route_lock);
    }
  return list;
}

static json_t *
list_stores (struct req *r)
{
  return kvcache_list_stores (r->worker->server);
}

/* A list by name. */
struct lister
{
  const char *name;                /* last part of the path */
  json_t *(*list) (struct req *r); /* makes it */
};

static const struct lister listers[] = {
  { "workspaces", list_workspaces },
  { "services", list_services },
  { "endpoints", list_endpoints },
  { "stores", list_stores },
};

void
adm_list (struct req *r)
{
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (listers); i++)
    if (strcmp (r->rest, listers[i].name) == 0)
      {
        req_reply_json (r, 200, listers[i].list (r));
        return;
      }
  req_refuse (r, "not_found", 0);
}

/* --- requests -------------------------------------------------------- */

static void
reply_request (struct req *r, json_t *doc)
{
  if (doc == NULL)
    req_refuse (r, "not_found", 0);
  else
    req_reply_json (r, 200, doc);
}

/* For operators: any request of a workspace they may see. */
void
adm_request (struct req *r)
{
  json_t *doc = history_get (r->worker->server->history, r->rest, -1);
  const char *workspace
      = json_string_value (json_object_get (doc, "workspace"));

  if (doc != NULL && !sees (operator_of (r), workspace))
    {
      json_decref (doc);
      doc = NULL;
    }
  reply_request (r, doc);
}

/* For callers: a request of their own workspace. */
void
adm_own_request (struct req *r)
{
  json_t *doc
      = history_get (r->worker->server->history, r->rest, r->workspace);

  /* Names of endpoints and VMs are the operators' business. */
  if (doc != NULL)
    json_object_del (doc, "events");
  reply_request (r, doc);
}

/* Settings in force, as "camphorquay show" prints them. */
void
adm_settings (struct req *r)
{
  char *text = NULL;
  size_t len = 0;
  FILE *to = open_memstream (&text, &len);
  struct reply reply = { .status = 200, .content_type = "text/plain" };

  cfg_show (server_cfg (r->worker->server), to);
  fclose (to);
  reply.body = text;
  reply.len = len;
  req_reply (r, &reply);
  free (text);
}

/* POST .../cut/PREFIX: speak to no VM whose name begins so, for trying what a
   partition does; an empty prefix ends it. */
void
adm_cut (struct req *r)
{
  struct server *s = r->worker->server;

  if (!sees_all (operator_of (r)) || s->member == NULL)
    {
      req_refuse (r, "not_allowed", 0);
      return;
    }
  member_cut (s->member, r->rest);
  log_event (LOG_LEVEL_WARNING, "cut", "prefix=%s operator=%s", r->rest,
             operator_of (r)->id);
  req_reply_json (r, 200, json_pack ("{s:s}", "cut", r->rest));
}

/* --- changes --------------------------------------------------------- */

static void
set_draining (struct req *r, const char *name, bool draining)
{
  struct server *s = r->worker->server;
  int i = cfg_find (server_cfg (s), CFG_ENDPOINT, name);

  if (i < 0)
    {
      req_refuse (r, "not_found", 0);
      return;
    }
  g_mutex_lock (&s->route_lock);
  route_get (s->routes, i)->draining = draining;
  g_mutex_unlock (&s->route_lock);
  log_event (LOG_LEVEL_INFO, "drain", "endpoint=%s draining=%d operator=%s",
             name, draining, operator_of (r)->id);
  req_reply_json (
      r, 200, json_pack ("{s:s,s:b}", "endpoint", name, "draining", draining));
}

static void
drain (struct req *r, const char *name)
{
  set_draining (r, name, true);
}

static void
undrain (struct req *r, const char *name)
{
  set_draining (r, name, false);
}

/* A change by name. */
struct changer
{
  const char *name;                                   /* end of the path */
  void (*change) (struct req *r, const char *target); /* does it */
};

static const struct changer changers[] = {
  { "drain", drain },
  { "undrain", undrain },
};

/* POST .../endpoints/NAME/CHANGE */
void
adm_change (struct req *r)
{
  g_auto (GStrv) parts = g_strsplit (r->rest, "/", 3);
  size_t i;

  if (!sees_all (operator_of (r)))
    {
      req_refuse (r, "not_allowed", 0);
      return;
    }
  for (i = 0;
       parts[0] != NULL && parts[1] != NULL && i < G_N_ELEMENTS (changers);
       i++)
    if (strcmp (parts[1], changers[i].name) == 0)
      {
        changers[i].change (r, parts[0]);
        return;
      }
  req_refuse (r, "not_found", 0);
}
