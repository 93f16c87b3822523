/*
 * Claims of jobs: a non-idempotent call that carries an idempotency key is
 * claimed in the platform's table before its first byte is sent, and its
 * answer is recorded there before the caller gets it.
 */
#include "libserver.h"

#include <sodium.h>
#include <string.h>

#define READ_PAUSE_MIN_US (50 * CQ_US_PER_MS) /* before the first read */
#define READ_PAUSE_MAX_US (1 * CQ_US_PER_S)   /* backoff limit */
#define CLOCK_SKEW_MAX_MS 5000 /* between the clocks of two VMs */

static void evaluate_row (struct job *j, const json_t *row, int64_t version);

/* --- names ----------------------------------------------------------- */

static void
digest_hex (const char *const *parts, const size_t *lens, int n, char *hex)
{
  crypto_generichash_state h;
  uint8_t sum[16];
  int i;

  crypto_generichash_init (&h, NULL, 0, sizeof sum);
  for (i = 0; i < n; i++)
    {
      crypto_generichash_update (&h, (const uint8_t *)&lens[i],
                                 sizeof lens[i]);
      crypto_generichash_update (&h, (const uint8_t *)parts[i], lens[i]);
    }
  crypto_generichash_final (&h, sum, sizeof sum);
  sodium_bin2hex (hex, DIGEST_SIZE, sum, sizeof sum);
}

/* Sets the row key of the claim, the request digest and the attempt id.  The
   row key contains workspace and service, so that a caller cannot reach a call
   of another workspace by guessing its idempotency key. */
static void
set_claim_ids (struct job *j)
{
  const char *const key[] = { j->idempotency_key };
  const size_t key_len[] = { strlen (j->idempotency_key) };
  const char *const request[] = { j->call_path, j->body->str };
  const size_t request_len[] = { strlen (j->call_path), j->body->len };
  char hex[DIGEST_SIZE];

  digest_hex (key, key_len, 1, hex);
  j->claim_key = g_strdup_printf ("claim/%s/%s/%s", j->workspace_cfg->id,
                                  j->service_cfg->id, hex);
  digest_hex (request, request_len, 2, j->request_digest);
  g_snprintf (j->attempt_id, sizeof j->attempt_id, "%s/%s",
              cfg_vm (server_cfg (j->worker->server))->name, j->id);
}

bool
jobclaim_is_needed (const struct job *j)
{
  const struct cfg_service *c = j->service_cfg;

  return !j->is_model && j->idempotency_key != NULL && !c->repeatable
         && !c->deduplicates && j->worker->server->claims != NULL
         && !j->claimed;
}

/* --- operations ------------------------------------------------------ */

static int64_t
unix_time_ms (void)
{
  return g_get_real_time () / 1000;
}

static void
run_op (struct job *j, struct claim_op *op,
        void (*done) (struct claim_op *, void *))
{
  op->home_loop = j->worker->loop;
  op->done = done;
  op->arg = j;
  j->claim_op = op;
  j->pending_ops++;
  claims_submit (j->worker->server->claims, op);
}

/* Returns the job whose operation has completed, or NULL if the job has ended
   meanwhile. */
static struct job *
op_job (void *arg)
{
  struct job *j = arg;

  if (j == NULL)
    return NULL;
  j->claim_op = NULL;
  j->pending_ops--;
  return j;
}

/* The job ends: detaches it from its operation, whose result is ignored. */
void
jobclaim_detach (struct job *j)
{
  if (j->claim_op == NULL)
    return;
  j->claim_op->arg = NULL;
  j->claim_op = NULL;
  j->pending_ops--;
}

/* --- claiming -------------------------------------------------------- */

static json_t *
new_held_row (struct job *j)
{
  const struct cfg_service *c = j->service_cfg;
  int64_t give_up = unix_time_ms () + c->send_within_ms + c->run_max_s * 1000
                    + CLOCK_SKEW_MAX_MS;

  return json_pack ("{s:s,s:s,s:s,s:I}", "phase", "held", "attempt",
                    j->attempt_id, "digest", j->request_digest, "give_up_ms",
                    (json_int_t)give_up);
}

static void
log_claim (struct job *j, const char *result)
{
  job_log (j, "claim", "attempt_id=%s result=%s took_us=%" G_GINT64_FORMAT,
           j->attempt_id, result,
           (gint64)(loop_now_us () - j->claim_requested_us));
}

static void
claim_owned (struct job *j, int64_t version)
{
  j->claimed = true;
  j->claim_version = version;
  met_add (MET_CLAIMS, 1);
  log_claim (j, "own");
  if (j->caller == NULL)
    j->callbacks->refuse (j, "caller_gone", 0);
  else
    attempt_start (j);
}

static void
on_read_to_release (struct claim_op *op, void *arg)
{
  g_autofree char *attempt = arg;
  const char *owner = json_string_value (json_object_get (op->row, "attempt"));
  struct claim_op *del;

  if (op->code == CLAIM_OP_DONE && owner != NULL
      && strcmp (owner, attempt) == 0)
    {
      del = claims_op_new (op->key);
      del->version = op->row_version;
      del->retry_until_reply = true;
      claims_submit (op->claims, del);
    }
}

/*
 * The insert got no reply, and the call is refused as not-run.  If the row was
 * written nevertheless, every retry would get "unknown".  So the row is read
 * once the table replies again, and deleted if it belongs to this attempt.
 */
static void
release_if_written (struct job *j)
{
  struct claim_op *op = claims_op_new (j->claim_key);

  op->is_read = true;
  op->retry_until_reply = true;
  op->home_loop = j->worker->loop;
  op->done = on_read_to_release;
  op->arg = g_strdup (j->attempt_id);
  claims_submit (j->worker->server->claims, op);
}

static void
claim_no_reply (struct job *j)
{
  bool run = j->service_cfg->claim_outage == CFG_SERVICE_CLAIM_OUTAGE_RUN;

  log_claim (j, run ? "lost_run_anyway" : "lost");
  if (run && j->caller != NULL)
    {
      attempt_start (j);
      return;
    }
  release_if_written (j);
  j->callbacks->refuse (j, "table_down", CQ_US_PER_S);
}

static void
on_claimed (struct claim_op *op, void *arg)
{
  struct job *j = op_job (arg);

  if (j == NULL)
    return;
  switch (op->code)
    {
    case CLAIM_OP_DONE:
      claim_owned (j, op->row_version);
      break;
    case CLAIM_OP_CONFLICT:
      evaluate_row (j, op->row, op->row_version);
      break;
    case CLAIM_OP_NO_REPLY:
      claim_no_reply (j);
      break;
    }
}

void
jobclaim_start (struct job *j)
{
  struct claim_op *op;

  j->state = JOB_CLAIMING;
  if (j->claim_key == NULL)
    set_claim_ids (j);
  j->claim_requested_us = loop_now_us ();
  op = claims_op_new (j->claim_key);
  op->put = new_held_row (j);
  run_op (j, op, on_claimed);
}

/* The claimed call did not run: deletes the claim, so that a later request
   with the same key can run. */
void
jobclaim_release (struct job *j)
{
  struct claim_op *op;

  if (!j->claimed)
    return;
  j->claimed = false;
  op = claims_op_new (j->claim_key);
  op->version = j->claim_version;
  op->retry_until_reply = true;
  claims_submit (j->worker->server->claims, op);
}

/* --- another attempt's claim ----------------------------------------- */

static const char *
text_field (const json_t *row, const char *field)
{
  const char *s = json_string_value (json_object_get (row, field));

  return s ? s : "";
}

static void
finish_replay (struct job *j)
{
  met_add (MET_CLAIM_REPLAYS, 1);
  j->answer_whole = true;
  j->callbacks->finish (j, j->outcome, j->reason);
}

static void
on_answer_read (void *arg, bool found, const char *data, size_t len)
{
  struct job *j = arg;

  j->pending_ops--;
  if (j->state == JOB_DONE)
    {
      job_free_if_done (j);
      return;
    }
  if (!found)
    {
      j->callbacks->finish (j, OUT_UNKNOWN, "answer_lost");
      return;
    }
  g_string_append_len (j->answer, data, (gssize)len);
  finish_replay (j);
}

static enum outcome
outcome_field (const json_t *row)
{
  const char *name = text_field (row, "outcome");

  if (strcmp (name, out_name (OUT_ANSWERED)) == 0)
    return OUT_ANSWERED;
  if (strcmp (name, out_name (OUT_FAILED)) == 0)
    return OUT_FAILED;
  return OUT_UNKNOWN;
}

/* Replies with the recorded answer. */
static void
replay_row (struct job *j, const json_t *row)
{
  const char *object = text_field (row, "object");
  g_autofree guchar *body = NULL;
  gsize len;

  j->outcome = outcome_field (row);
  j->reason = refusal_find (text_field (row, "reason"))->code;
  if (j->outcome == OUT_ANSWERED)
    j->reason = "replayed";
  j->status = (int)json_integer_value (json_object_get (row, "status"));
  if (j->outcome == OUT_ANSWERED && out_status_means_not_run (j->status))
    {
      j->outcome = OUT_FAILED;
      j->reason = "endpoint_error";
    }
  g_strlcpy (j->answer_type, text_field (row, "type"), sizeof j->answer_type);
  if (j->answer == NULL)
    j->answer = g_string_new (NULL);
  if (object[0] != '\0' && j->worker->objects.ctx != NULL)
    {
      j->state = JOB_CLAIMING;
      j->pending_ops++;
      j->worker->objects.get (j->worker->objects.ctx, object, on_answer_read,
                              j);
      return;
    }
  body = g_base64_decode (text_field (row, "body"), &len);
  g_string_append_len (j->answer, (const char *)body, (gssize)len);
  finish_replay (j);
}

static void
wait_for_owner (struct job *j)
{
  int64_t now = loop_now_us ();

  if (j->state != JOB_WAITING_FOR_OWNER)
    {
      j->state = JOB_WAITING_FOR_OWNER;
      j->read_pause_us = READ_PAUSE_MIN_US;
      /* The owner of the claim runs the call; this job must not hold a
         second slot for it. */
      jobsched_release_slot (j, now);
    }
  if (j->caller == NULL)
    {
      j->callbacks->finish (j, OUT_UNKNOWN, "caller_gone");
      return;
    }
  j->next_read_us = now + j->read_pause_us;
  j->read_pause_us *= 2;
  if (j->read_pause_us > READ_PAUSE_MAX_US)
    j->read_pause_us = READ_PAUSE_MAX_US;
}

static void
evaluate_row (struct job *j, const json_t *row, int64_t version)
{
  struct claim_row r = { .attempt = text_field (row, "attempt"),
                         .digest = text_field (row, "digest") };
  enum claim_code code;

  r.phase = strcmp (text_field (row, "phase"), "done") == 0 ? CLAIM_DONE
                                                            : CLAIM_HELD;
  r.give_up_ms = json_integer_value (json_object_get (row, "give_up_ms"));
  code
      = claim_evaluate (&r, j->attempt_id, j->request_digest, unix_time_ms ());
  if (code != CLAIM_OWN)
    log_claim (j, claim_name (code));
  switch (code)
    {
    case CLAIM_OWN:
      claim_owned (j, version);
      break;
    case CLAIM_REPLAY:
      replay_row (j, row);
      break;
    case CLAIM_WAIT:
      wait_for_owner (j);
      break;
    case CLAIM_LOST:
      j->callbacks->finish (j, OUT_UNKNOWN, "claim_lost");
      break;
    case CLAIM_MISMATCH:
      j->callbacks->refuse (j, "key_reused", 0);
      break;
    }
}

static void
on_claim_read (struct claim_op *op, void *arg)
{
  struct job *j = op_job (arg);

  if (j == NULL)
    return;
  if (op->code != CLAIM_OP_DONE)
    wait_for_owner (j);
  else if (op->row != NULL)
    evaluate_row (j, op->row, op->row_version);
  else
    /* The owner released its claim: the call did not run. */
    jobsched_requeue (j, loop_now_us ());
}

/* Reads the claim's row again when due; called by the sweep while another
   attempt owns the claim. */
void
jobclaim_poll (struct job *j, int64_t now_us)
{
  struct claim_op *op;

  if (now_us >= j->deadline_us)
    {
      j->callbacks->finish (j, OUT_UNKNOWN, "still_running");
      return;
    }
  if (j->claim_op != NULL || now_us < j->next_read_us)
    return;
  op = claims_op_new (j->claim_key);
  op->is_read = true;
  run_op (j, op, on_claim_read);
}

/* --- recording ------------------------------------------------------- */

static void
on_recorded (struct claim_op *op, void *arg)
{
  struct job *j = op_job (arg);

  if (j == NULL)
    return;
  log_claim (j, op->code == CLAIM_OP_NO_REPLY ? "not_recorded" : "recorded");
  j->callbacks->finish (j, j->outcome, j->reason);
}

static json_t *
new_done_row (struct job *j, const char *object)
{
  g_autofree char *body = NULL;
  json_t *row
      = json_pack ("{s:s,s:s,s:s,s:s,s:s,s:i,s:s}", "phase", "done", "attempt",
                   j->attempt_id, "digest", j->request_digest, "outcome",
                   out_name (j->outcome), "reason", j->reason, "status",
                   j->status, "type", j->answer_type);

  if (object != NULL)
    {
      json_object_set_new (row, "object", json_string (object));
      return row;
    }
  body = g_base64_encode ((const guchar *)j->answer->str, j->answer->len);
  json_object_set_new (row, "body", json_string (body));
  return row;
}

static void
record_answer (struct job *j, const char *object)
{
  struct claim_op *op = claims_op_new (j->claim_key);

  op->version = j->claim_version;
  op->put = new_done_row (j, object);
  /* The caller waits at most record_wait_ms; the write is retried beyond
     that. */
  op->retry_until_reply = true;
  if (j->state == JOB_DONE)
    claims_submit (j->worker->server->claims, op);
  else
    run_op (j, op, on_recorded);
}

static void
on_answer_stored (void *arg, bool found, const char *data, size_t len)
{
  struct job *j = arg;
  g_autofree char *name = NULL;

  (void)data;
  (void)len;
  j->pending_ops--;
  name = g_strdup_printf ("answer-%s", j->id);
  /* If the object store failed, the answer is stored in the row itself. */
  record_answer (j, found ? name : NULL);
  job_free_if_done (j);
}

/* Records the result of a claimed call, then answers its caller. */
void
jobclaim_record (struct job *j)
{
  const struct cfg_platform *p = cfg_platform (server_cfg (j->worker->server));
  struct object_ops *objects = &j->worker->objects;
  g_autofree char *name = g_strdup_printf ("answer-%s", j->id);

  j->state = JOB_RECORDING;
  j->record_deadline_us = loop_now_us () + p->record_wait_ms * CQ_US_PER_MS;
  if (j->answer->len <= (size_t)p->record_inline_kb * 1024
      || objects->ctx == NULL)
    {
      record_answer (j, NULL);
      return;
    }
  j->pending_ops++;
  objects->put (objects->ctx, name, j->answer->str, j->answer->len,
                on_answer_stored, j);
}
