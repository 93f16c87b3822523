/* Logging and memory accounting, used by all job modules. */
#include "libserver.h"

#include <string.h>

#define TRACE_MAX_BYTES 8192

/* Logs an event of a job, and appends it to the trace that explains the job.
 */
void
job_log (struct job *j, const char *event, const char *fmt, ...)
{
  g_autofree char *pairs = NULL;
  va_list ap;

  va_start (ap, fmt);
  pairs = g_strdup_vprintf (fmt, ap);
  va_end (ap);
  log_event (LOG_LEVEL_INFO, event, "req=%s workspace=%s service=%s %s", j->id,
             j->workspace_cfg->id, j->service_cfg->id, pairs);
  if (j->trace->len < TRACE_MAX_BYTES)
    g_string_append_printf (j->trace, "%" G_GINT64_FORMAT " %s %s\n",
                            (gint64)(loop_now_us () - j->arrived_us), event,
                            pairs);
}

/* Adds BYTES to the memory charged for request bodies. */
void
job_charge_memory (struct job *j, int64_t bytes)
{
  j->charged_bytes += bytes;
  __atomic_fetch_add (&j->worker->server->body_bytes, bytes, __ATOMIC_RELAXED);
}

static void
job_free (struct job *j)
{
  job_charge_memory (j, -j->charged_bytes);
  prompt_clear (&j->prompt);
  strm_clear (&j->strm);
  if (j->body != NULL)
    g_string_free (j->body, TRUE);
  if (j->answer != NULL)
    g_string_free (j->answer, TRUE);
  g_string_free (j->trace, TRUE);
  g_strfreev (j->send_headers);
  g_free (j->send_body);
  g_free (j->call_path);
  g_free (j->content_type);
  g_free (j->prefix_digests);
  g_free (j->idempotency_key);
  g_free (j->claim_key);
  cfg_free (j->cfg);
  g_free (j);
}

/* Frees a job that has ended and has no operation or message pending. */
void
job_free_if_done (struct job *j)
{
  if (j->state == JOB_DONE && j->pending_ops == 0 && !j->unpause_posted)
    job_free (j);
}
