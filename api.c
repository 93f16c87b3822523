/*
 * HTTP interface for callers and operators: routing table, authentication and
 * early refusals.
 */
#include "libserver.h"

#include <string.h>

#define CONNECTION_MEMORY 12288 /* per connection: header and buffers */
#define OPERATOR_BODY_MAX 65536 /* bytes of an operator's request */

/* Refuses a request for which no job was created. */
static void
refuse_early (struct req *r, const char *code, int64_t retry_after_us)
{
  log_event (LOG_LEVEL_INFO, "refuse", "req=%s outcome=not-run reason=%s",
             r->id, code);
  req_refuse (r, code, retry_after_us);
}

/* --- requests that start jobs ---------------------------------------- */

static void
on_job_started (void *arg, struct job *j)
{
  struct req *r = arg;

  r->job = j;
}

static void
on_job_ended (void *arg)
{
  struct req *r = arg;

  r->job = NULL;
}

static void
on_reply (void *arg, const struct reply *reply)
{
  req_reply (arg, reply);
}

static void
on_stream_begin (void *arg, const char *content_type)
{
  req_stream_begin (arg, content_type);
}

static void
on_stream_write (void *arg, const char *data, size_t len)
{
  req_stream_write (arg, data, len);
}

static void
on_stream_end (void *arg, bool whole)
{
  req_stream_end (arg, whole);
}

static size_t
on_stream_pending (void *arg)
{
  return req_stream_pending (arg);
}

static void
check_connection (void *arg)
{
  struct req *r = arg;

  if (req_caller_disconnected (r))
    req_close_disconnected (r);
}

static const struct job_caller job_caller = {
  .started = on_job_started,
  .ended = on_job_ended,
  .reply = on_reply,
  .stream_begin = on_stream_begin,
  .stream_write = on_stream_write,
  .stream_end = on_stream_end,
  .stream_pending = on_stream_pending,
  .check_connection = check_connection,
};

static struct job_desc
job_desc_from_req (struct req *r)
{
  struct job_desc d = { .worker = r->worker, .workspace = r->workspace };

  d.id = r->id;
  d.arrived_us = r->arrived_us;
  d.key = req_header (r, "Idempotency-Key");
  d.priority = req_header (r, "Camphorquay-Priority");
  d.deadline_ms = req_header (r, "Camphorquay-Deadline-Ms");
  d.path = r->rest;
  d.content_type = req_header (r, "Content-Type");
  d.body = r->body->str;
  d.body_len = r->body->len;
  d.caller = &job_caller;
  d.arg = r;
  return d;
}

static void
start_prompt (struct req *r)
{
  struct job_desc d = job_desc_from_req (r);
  const char *code = job_start_prompt (&d, false);

  if (code != NULL)
    req_refuse (r, code, 0);
}

static void
start_chat (struct req *r)
{
  struct job_desc d = job_desc_from_req (r);
  const char *code = job_start_prompt (&d, true);

  if (code != NULL)
    req_refuse (r, code, 0);
}

static void
start_call (struct req *r)
{
  struct job_desc d = job_desc_from_req (r);
  const char *code = job_start_call (&d);

  if (code != NULL)
    req_refuse (r, code, 0);
}

/* --- routing and authentication -------------------------------------- */

static const struct req_route req_routes[] = {
  { "POST", "/v1/completions", KEY_WORKSPACE, start_prompt },
  { "POST", "/v1/chat/completions", KEY_WORKSPACE, start_chat },
  { "POST", "/v1/call/", KEY_WORKSPACE, start_call },
  { "GET", "/v1/requests/", KEY_WORKSPACE, adm_own_request },
  { "GET", "/healthz", KEY_NONE, adm_health },
  { "GET", "/metrics", KEY_NONE, adm_metrics },
  { "GET", "/admin/v1/status", KEY_OPERATOR, adm_status },
  { "GET", "/admin/v1/config", KEY_OPERATOR, conf_get },
  { "POST", "/admin/v1/config", KEY_OPERATOR, conf_post },
  { "GET", "/admin/v1/settings", KEY_OPERATOR, adm_settings },
  { "POST", "/admin/v1/cut/", KEY_OPERATOR, adm_cut },
  { "GET", "/admin/v1/requests/", KEY_OPERATOR, adm_request },
  { "GET", "/admin/v1/", KEY_OPERATOR, adm_list },
  { "POST", "/admin/v1/endpoints/", KEY_OPERATOR, adm_change },
  { NULL, NULL, KEY_NONE, NULL },
};

static const struct req_route *
find_route (const char *method, const char *path)
{
  const struct req_route *route;
  size_t n;

  for (route = req_routes; route->method != NULL; route++)
    {
      n = strlen (route->path);
      if (strcmp (route->method, method) != 0)
        continue;
      if (route->path[n - 1] == '/' ? strncmp (route->path, path, n) == 0
                                    : strcmp (route->path, path) == 0)
        return route;
    }
  return NULL;
}

/* Identifies the caller by its key.  An unknown name and a wrong secret get
   the same reply. */
static bool
authenticate (struct req *r)
{
  const struct cfg *cfg = server_cfg (r->worker->server);
  enum cfg_group_id group
      = r->route->auth == KEY_OPERATOR ? CFG_OPERATOR : CFG_WORKSPACE;
  const char *secret = NULL;
  g_autofree char *name
      = auth_parse_bearer (req_header (r, "Authorization"), &secret);
  char *const *hashes;
  int i;

  if (name == NULL)
    return false;
  i = cfg_find (cfg, group, name);
  if (i < 0 || (group == CFG_WORKSPACE && cfg_workspace (cfg, i)->removed))
    return false;
  hashes = group == CFG_OPERATOR ? cfg_operator (cfg, i)->keys
                                 : cfg_workspace (cfg, i)->keys;
  if (!auth_matches (hashes, secret))
    return false;
  if (group == CFG_OPERATOR)
    r->operator_index = i;
  else
    r->workspace = i;
  return true;
}

static size_t
body_limit (const struct req *r)
{
  const struct cfg *cfg = server_cfg (r->worker->server);

  if (r->workspace < 0)
    return OPERATOR_BODY_MAX;
  return (size_t)cfg_workspace (cfg, r->workspace)->body_max_kb * 1024;
}

/* Returns the value of Content-Length, or -1. */
static int64_t
declared_length (struct req *r)
{
  const char *text = req_header (r, "Content-Length");
  guint64 n;

  if (text == NULL
      || !g_ascii_string_to_unsigned (text, 10, 0, G_MAXINT64, &n, NULL))
    return -1;
  return (int64_t)n;
}

/* Checks the header of a request; a refusal here avoids reading the body. */
static void
check_head (struct req *r, const char *method)
{
  r->route = find_route (method, r->path);
  if (r->route == NULL)
    {
      refuse_early (r, "not_found", 0);
      return;
    }
  r->rest = r->path + strlen (r->route->path);
  if (r->route->auth != KEY_NONE && !authenticate (r))
    {
      refuse_early (r, "no_key", 0);
      return;
    }
  r->body_max = body_limit (r);
  if (declared_length (r) > (int64_t)r->body_max)
    refuse_early (r, "body_too_large", 0);
}

static void
on_start (struct req *r)
{
  if (r->excess == EXCESS_BODY)
    refuse_early (r, "body_too_large", 0);
  else if (r->excess == EXCESS_MEMORY)
    refuse_early (r, "body_memory", CQ_US_PER_S);
  else
    r->route->start (r);
}

static void
on_drained (struct req *r)
{
  if (r->job != NULL)
    job_drained (r->job);
}

static void
on_gone (struct req *r)
{
  if (r->job != NULL)
    job_caller_disconnected (r->job);
}

static const struct http_listener_ops api_ops = {
  .head = check_head,
  .start = on_start,
  .drained = on_drained,
  .closed = on_gone,
};

/* Starts listening for callers and operators on worker W. */
struct http_listener *
api_open (struct worker *w)
{
  const struct cfg_vm *vm = cfg_vm (server_cfg (w->server));
  struct http_listener_opts o
      = { .ops = &api_ops, .close_from = PHASE_DRAINING };

  o.connections = (unsigned)(vm->connections / w->server->nworkers + 1);
  o.idle_timeout_s = (unsigned)vm->header_timeout_s;
  o.connection_memory = CONNECTION_MEMORY;
  return http_listener_open (w, w->server->listen_fd, &o);
}
