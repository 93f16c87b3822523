/* One VM: its tables, its workers, its start and its stop. */
#include "entry.h"

#include <microhttpd.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include <apr_general.h>
#include <curl/curl.h>

#define CLAIM_TRIES 2   /* transactions before a claim counts as lost */
#define STOP_POLL_MS 20 /* between looks for the end of running work */
#define QUIET_MAX_US (3 * CQ_US_PER_S) /* for our own calls to end */
#define LINGER_MS 100                  /* for the last replies to leave */
/* For our own calls after the limit for requests has passed. */
#define LAST_CALLS_US (500 * CQ_US_PER_MS)
/* Between looks at the settings files: a fault in them shows soon, for a call
   of some microseconds a file. */
#define FILES_LOOK_S 2

/* --- workers --------------------------------------------------------- */

static void
on_sweep (void *arg, int64_t now_us)
{
  job_sweep (arg, now_us);
}

static void
on_stop (void *arg)
{
  struct worker *w = arg;

  loop_stop (w->loop);
}

static void *
run_worker (void *arg)
{
  struct worker *w = arg;

  loop_run (w->loop);
  http_listener_close (w->door);
  if (w->index == 0 && w->server->entry != NULL)
    entry_close_listeners (w->server->entry);
  return NULL;
}

static bool
init_worker (struct server *s, struct worker *w, int index)
{
  const struct cfg_platform *p = cfg_platform (server_cfg (s));

  w->server = s;
  w->index = index;
  w->loop = loop_new ();
  w->pool = xfer_pool_new (w->loop);
  APR_RING_INIT (&w->jobs, job, link);
  w->sweep_timer.fire = on_sweep;
  w->sweep_timer.arg = w;
  endpointclient_init (&w->endpoints, w->pool);
  storeclient_init (&w->stores, w->pool);
  if (p->objects[0] != '\0')
    objectclient_init (&w->objects, w->pool, p->objects, p->timeout_ms);
  w->door = api_open (w);
  return w->door != NULL;
}

/* The platform's table is reached from the first worker's thread. */
static void
init_platform (struct server *s)
{
  const struct cfg_platform *p = cfg_platform (server_cfg (s));
  struct claims_opts o = { .loop = s->workers[0].loop };

  if (p->table[0] == '\0')
    return;
  tableclient_init (&s->table, s->workers[0].pool, p->table, p->timeout_ms);
  o.table = s->table;
  o.batch = (int)p->claim_batch;
  o.linger_us = p->claim_linger_ms * CQ_US_PER_MS;
  o.tries = CLAIM_TRIES;
  s->claims = claims_new (&o);
  s->conf = conf_new (s);
}

static bool
init_member (struct server *s)
{
  g_autoptr (GError) err = NULL;

  if (cfg_vm (server_cfg (s))->peer_keys[0] == '\0')
    return true;
  s->member = member_new (s, &err);
  if (s->member != NULL)
    return true;
  log_event (LOG_LEVEL_ERROR, "peer_listen", "error=\"%s\"", err->message);
  return false;
}

static void
free_worker (struct worker *w)
{
  xfer_pool_free (w->pool);
  objectclient_clear (&w->objects);
  loop_free (w->loop);
}

/* --- stop ------------------------------------------------------------ */

static void
sleep_ms (int64_t ms)
{
  g_usleep ((gulong)ms * 1000);
}

static void
post_first (struct server *s, struct loop_msg *m, void (*run) (void *))
{
  m->run = run;
  m->arg = s;
  loop_post (s->workers[0].loop, m);
}

/* Other VMs learn at once that this one is leaving. */
static void
say_leaving (void *arg)
{
  struct server *s = arg;

  if (s->entry != NULL)
    entry_prepare_stop (s->entry);
  if (s->member != NULL)
    member_say (s->member, s->conf ? conf_revision (s->conf) : 0);
}

/* Start nothing more: no reports, listings, looks at the head, questions. */
static void
stop_asking (void *arg)
{
  struct server *s = arg;

  if (s->entry != NULL)
    entry_stop (s->entry);
  poller_stop (s->poller);
  kvcache_stop (s->kvcache);
  if (s->conf != NULL)
    conf_stop (s->conf);
  if (s->member != NULL)
    member_stop (s->member);
}

/* The daemon of a listener must not be stopped while requests are suspended,
   and callers must get the end of their replies before. */
static void
stop_requests (void *arg)
{
  struct worker *w = arg;

  job_stop_all (w);
  if (w->index == 0 && w->server->entry != NULL)
    entry_stop_requests (w->server->entry);
}

static void
post_stop_requests (struct server *s)
{
  int i;

  for (i = 0; i < s->nworkers; i++)
    {
      s->workers[i].stop_requests_msg.run = stop_requests;
      s->workers[i].stop_requests_msg.arg = &s->workers[i];
      loop_post (s->workers[i].loop, &s->workers[i].stop_requests_msg);
    }
}

static bool
is_quiet (struct server *s)
{
  int i;

  int polls = entry_pending_calls (s->entry);

  for (i = 0; i < s->nworkers; i++)
    if (xfer_count (s->workers[i].pool) > (i == 0 ? polls : 0))
      return false;
  return s->member == NULL || member_pending_calls (s->member) == 0;
}

static void
wait_for_jobs (struct server *s, int64_t limit_s)
{
  int64_t until = loop_now_us () + limit_s * CQ_US_PER_S;

  while (__atomic_load_n (&s->live_jobs, __ATOMIC_RELAXED) > 0
         && loop_now_us () < until)
    sleep_ms (STOP_POLL_MS);
}

/* Calls that are still out end within a short time, but not later than
   LATEST_US. */
static void
wait_until_quiet (struct server *s, int64_t latest_us)
{
  int64_t until = MIN (loop_now_us () + QUIET_MAX_US, latest_us);

  while (!is_quiet (s) && loop_now_us () < until)
    sleep_ms (STOP_POLL_MS);
}

static void
stop_workers (struct server *s)
{
  int i;

  for (i = 0; i < s->nworkers; i++)
    {
      s->workers[i].stop_msg.run = on_stop;
      s->workers[i].stop_msg.arg = &s->workers[i];
      loop_post (s->workers[i].loop, &s->workers[i].stop_msg);
    }
  for (i = 0; i < s->nworkers; i++)
    g_thread_join (s->workers[i].thread);
}

/*
 * Graceful shutdown.  The balancer and the other VMs learn first, then new
 * work is refused as not-run, and running requests end by themselves; only
 * then does the process.  A second signal changes nothing.
 */
static void
drain_and_stop (struct server *s)
{
  static struct loop_msg leaving;
  static struct loop_msg stopping;
  int64_t notice_ms = cfg_vm (server_cfg (s))->drain_notice_ms;
  int64_t limit_s = cfg_vm (server_cfg (s))->drain_limit_s;
  int64_t latest_us = loop_now_us () + notice_ms * CQ_US_PER_MS
                      + limit_s * CQ_US_PER_S + LAST_CALLS_US;

  server_set_phase (s, PHASE_NOTICE);
  post_first (s, &leaving, say_leaving);
  sleep_ms (notice_ms);
  server_set_phase (s, PHASE_DRAINING);
  wait_for_jobs (s, limit_s);
  server_set_phase (s, PHASE_STOPPED);
  post_first (s, &stopping, stop_asking);
  sleep_ms (LINGER_MS);
  /* Requests that are left must end first: their transfers would keep the
     process from becoming quiet. */
  if (__atomic_load_n (&s->live_jobs, __ATOMIC_RELAXED) > 0)
    {
      post_stop_requests (s);
      sleep_ms (LINGER_MS);
    }
  wait_until_quiet (s, latest_us);
  stop_workers (s);
}

static void
stop_signals (sigset_t *set)
{
  sigemptyset (set);
  sigaddset (set, SIGTERM);
  sigaddset (set, SIGINT);
  sigaddset (set, SIGHUP);
}

/* A VM's own settings count from its start; what changed in the files since
   is checked and told, so that a fault shows before the next start. */
static void
check_files (struct server *s)
{
  g_autoptr (GError) err = NULL;
  struct cfg *cfg
      = cfg_load (s->settings_files[0], s->settings_files[1], &err);

  if (cfg == NULL)
    log_event (LOG_LEVEL_ERROR, "reload", "outcome=faulty error=\"%s\"",
               g_strchomp (err->message));
  else
    log_event (LOG_LEVEL_INFO, "reload", "outcome=checked");
  cfg_free (cfg);
}

/* What tells that a file was written or replaced. */
struct file_stamp
{
  struct timespec written; /* last change of its content */
  ino_t inode;             /* another one if it was replaced */
  off_t size;              /* bytes */
};

static struct file_stamp
stamp_of (const char *path)
{
  struct file_stamp f = { .inode = 0 };
  struct stat st;

  if (path == NULL || stat (path, &st) != 0)
    return f;
  f.written = st.st_mtim;
  f.inode = st.st_ino;
  f.size = st.st_size;
  return f;
}

/* Whether one of the settings files is another than in STAMPS, which are
   renewed.  Files change without a signal too. */
static bool
files_changed (struct server *s, struct file_stamp *stamps)
{
  bool changed = false;
  int i;

  for (i = 0; i < SETTINGS_FILES; i++)
    {
      struct file_stamp f = stamp_of (s->settings_files[i]);

      changed |= f.inode != stamps[i].inode || f.size != stamps[i].size
                 || f.written.tv_sec != stamps[i].written.tv_sec
                 || f.written.tv_nsec != stamps[i].written.tv_nsec;
      stamps[i] = f;
    }
  return changed;
}

static void
wait_for_signal (struct server *s)
{
  static const struct timespec look = { .tv_sec = FILES_LOOK_S };
  struct file_stamp stamps[SETTINGS_FILES] = { { .inode = 0 } };
  sigset_t set;
  int sig;

  stop_signals (&set);
  files_changed (s, stamps);
  for (;;)
    {
      sig = sigtimedwait (&set, NULL, &look);
      if (sig > 0)
        log_event (LOG_LEVEL_INFO, "signal", "signal=%d", sig);
      if (sig > 0 && sig != SIGHUP)
        return;
      if (files_changed (s, stamps) || sig == SIGHUP)
        check_files (s);
    }
}

/* --- run ------------------------------------------------------------- */

static bool
init_entry (struct server *s)
{
  if (cfg_entry (server_cfg (s))->listen[0] == '\0')
    return true;
  s->entry = entry_new (&s->workers[0]);
  return s->entry != NULL;
}

static bool
start (struct server *s)
{
  int i;

  g_mutex_init (&s->lim_lock);
  g_mutex_init (&s->route_lock);
  server_apply_cfg (s, s->cfg);
  s->nworkers = (int)cfg_vm (server_cfg (s))->workers;
  s->listen_fd = server_listen (s, cfg_vm (server_cfg (s))->listen);
  if (s->listen_fd < 0)
    return false;
  s->workers = g_new0 (struct worker, s->nworkers);
  for (i = 0; i < s->nworkers; i++)
    if (!init_worker (s, &s->workers[i], i))
      return false;
  init_platform (s);
  if (!init_member (s) || !init_entry (s))
    return false;
  if (s->conf != NULL)
    conf_start (s->conf);
  s->poller = poller_new (s, &s->workers[0]);
  kvcache_start (s->kvcache, &s->workers[0]);
  for (i = 0; i < s->nworkers; i++)
    s->workers[i].thread = g_thread_new ("worker", run_worker, &s->workers[i]);
  return true;
}

static void
release (struct server *s)
{
  int i;

  /* Polls of the platform are still out; whom they belong to is freed next. */
  for (i = 0; s->entry != NULL && i < s->nworkers; i++)
    xfer_pool_abort (s->workers[i].pool);
  entry_free (s->entry);
  member_free (s->member);
  conf_free (s->conf);
  poller_free (s->poller);
  claims_free (s->claims);
  server_free_tables (s);
  for (i = 0; i < s->nworkers; i++)
    free_worker (&s->workers[i]);
  g_free (s->workers);
  tableclient_clear (&s->table);
  g_mutex_clear (&s->lim_lock);
  g_mutex_clear (&s->route_lock);
  close (s->listen_fd);
}

static void
block_signals (void)
{
  sigset_t set;

  stop_signals (&set);
  sigaddset (&set, SIGPIPE);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
}

int
server_run (struct cfg *cfg, const char *base, const char *overlay)
{
  struct server s = { .cfg = cfg, .started_us = loop_now_us () };
  const struct cfg_vm *vm = cfg_vm (cfg);

  s.settings_files[0] = base;
  s.settings_files[1] = overlay;
  log_open (vm->name, vm->domain, (enum log_level)vm->log_level,
            (int)vm->log_lines_s);
  block_signals ();
  apr_initialize ();
  apr_pool_create (&s.pool, NULL);
  /* Nothing speaks TLS; its library would take memory for nothing. */
  curl_global_init (CURL_GLOBAL_NOTHING);
  if (sodium_init () < 0 || !start (&s))
    return EXIT_CODE_FAILED;
  wait_for_signal (&s);
  drain_and_stop (&s);
  release (&s);
  cfg_free (s.cfg);
  curl_global_cleanup ();
  log_event (LOG_LEVEL_INFO, "exit", "code=0");
  apr_pool_destroy (s.pool);
  return EXIT_CODE_OK;
}
