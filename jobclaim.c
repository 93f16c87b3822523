/*
 * Claims of jobs: a call that may not repeat and carries an idempotency key
 * is claimed in the platform's table before its first byte leaves, and its
 * answer is recorded there before the caller gets it.
 */
#include "libserver.h"

#include <sodium.h>
#include <string.h>

#define READ_PAUSE_US (50 * CQ_US_PER_MS)   /* before the first read */
#define READ_PAUSE_MAX_US (1 * CQ_US_PER_S) /* between later ones */
#define GIVE_UP_SLACK_MS 5000               /* clocks of VMs differ */

static void judge_row (struct job *j, const json_t *row, int64_t version);

/* --- names ----------------------------------------------------------- */

static void
hex_digest (const char *const *parts, const size_t *lens, int n, char *hex)
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

/* The row of a key is scoped by workspace and service: nobody can meet
   another workspace's call by guessing its key. */
static void
name_claim (struct job *j)
{
  const char *const key[] = { j->idempotency_key };
  const size_t key_len[] = { strlen (j->idempotency_key) };
  const char *const request[] = { j->call_path, j->body->str };
  const size_t request_len[] = { strlen (j->call_path), j->body->len };
  char hex[DIGEST_SIZE];

  hex_digest (key, key_len, 1, hex);
  j->claim_key = g_strdup_printf ("claim/%s/%s/%s", j->workspace_cfg->id,
                                  j->service_cfg->id, hex);
  hex_digest (request, request_len, 2, j->request_digest);
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
wall_ms (void)
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

/* The result of an operation arrived; NULL if its job has ended meanwhile. */
static struct job *
op_arrived (void *arg)
{
  struct job *j = arg;

  if (j == NULL)
    return NULL;
  j->claim_op = NULL;
  j->pending_ops--;
  return j;
}

/* A job ends: the result of its operation is of no interest any more. */
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
held_row (struct job *j)
{
  const struct cfg_service *c = j->service_cfg;
  int64_t give_up = wall_ms () + c->send_within_ms + c->run_max_s * 1000
                    + GIVE_UP_SLACK_MS;

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
own_claim (struct job *j, int64_t version)
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
after_read_to_release (struct claim_op *op, void *arg)
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
 * The insert got no reply, and the call is refused as not-run.  If the row is
 * there all the same, it would answer "unknown" to every retry; it is looked
 * for once the table has had time to come back, and taken away.
 */
static void
release_uncertain (struct job *j)
{
  struct claim_op *op = claims_op_new (j->claim_key);

  op->is_read = true;
  op->retry_until_reply = true;
  op->home_loop = j->worker->loop;
  op->done = after_read_to_release;
  op->arg = g_strdup (j->attempt_id);
  claims_submit (j->worker->server->claims, op);
}

static void
without_table (struct job *j)
{
  bool run = j->service_cfg->claim_outage == CFG_SERVICE_CLAIM_OUTAGE_RUN;

  log_claim (j, run ? "lost_run_anyway" : "lost");
  if (run && j->caller != NULL)
    {
      attempt_start (j);
      return;
    }
  release_uncertain (j);
  j->callbacks->refuse (j, "table_down", CQ_US_PER_S);
}

static void
on_claimed (struct claim_op *op, void *arg)
{
  struct job *j = op_arrived (arg);

  if (j == NULL)
    return;
  switch (op->code)
    {
    case CLAIM_OP_DONE:
      own_claim (j, op->row_version);
      break;
    case CLAIM_OP_CONFLICT:
      judge_row (j, op->row, op->row_version);
      break;
    case CLAIM_OP_NO_REPLY:
      without_table (j);
      break;
    }
}

void
jobclaim_start (struct job *j)
{
  struct claim_op *op;

  j->state = JOB_CLAIMING;
  if (j->claim_key == NULL)
    name_claim (j);
  j->claim_requested_us = loop_now_us ();
  op = claims_op_new (j->claim_key);
  op->put = held_row (j);
  run_op (j, op, on_claimed);
}

/* The claimed call was not run: let a later request with this key run it. */
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
text_of (const json_t *row, const char *field)
{
  const char *s = json_string_value (json_object_get (row, field));

  return s ? s : "";
}

static void
replay (struct job *j)
{
  met_add (MET_CLAIM_REPLAYS, 1);
  j->callbacks->finish (j, j->outcome, j->reason);
}

static void
on_object (void *arg, bool found, const char *data, size_t len)
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
  replay (j);
}

static enum outcome
outcome_of (const json_t *row)
{
  const char *name = text_of (row, "outcome");

  if (strcmp (name, out_name (OUT_ANSWERED)) == 0)
    return OUT_ANSWERED;
  if (strcmp (name, out_name (OUT_FAILED)) == 0)
    return OUT_FAILED;
  return OUT_UNKNOWN;
}

/* Answer with the recorded answer. */
static void
replay_row (struct job *j, const json_t *row)
{
  const char *object = text_of (row, "object");
  g_autofree guchar *body = NULL;
  gsize len;

  j->outcome = outcome_of (row);
  j->reason = refusal_find (text_of (row, "reason"))->code;
  if (j->outcome == OUT_ANSWERED)
    j->reason = "replayed";
  j->status = (int)json_integer_value (json_object_get (row, "status"));
  g_strlcpy (j->answer_type, text_of (row, "type"), sizeof j->answer_type);
  if (j->answer == NULL)
    j->answer = g_string_new (NULL);
  if (object[0] != '\0' && j->worker->objects.ctx != NULL)
    {
      j->state = JOB_CLAIMING;
      j->pending_ops++;
      j->worker->objects.get (j->worker->objects.ctx, object, on_object, j);
      return;
    }
  body = g_base64_decode (text_of (row, "body"), &len);
  g_string_append_len (j->answer, (const char *)body, (gssize)len);
  replay (j);
}

static void
wait_for_owner (struct job *j)
{
  int64_t now = loop_now_us ();

  if (j->state != JOB_WAITING_FOR_OWNER)
    {
      j->state = JOB_WAITING_FOR_OWNER;
      j->read_pause_us = READ_PAUSE_US;
      /* The run belongs to another; its place must not be held twice. */
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
judge_row (struct job *j, const json_t *row, int64_t version)
{
  struct claim_row r = { .attempt = text_of (row, "attempt"),
                         .digest = text_of (row, "digest") };
  enum claim_code code;

  r.phase
      = strcmp (text_of (row, "phase"), "done") == 0 ? CLAIM_DONE : CLAIM_HELD;
  r.give_up_ms = json_integer_value (json_object_get (row, "give_up_ms"));
  code = claim_judge (&r, j->attempt_id, j->request_digest, wall_ms ());
  if (code != CLAIM_OWN)
    log_claim (j, claim_name (code));
  switch (code)
    {
    case CLAIM_OWN:
      own_claim (j, version);
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
on_row (struct claim_op *op, void *arg)
{
  struct job *j = op_arrived (arg);

  if (j == NULL)
    return;
  if (op->code != CLAIM_OP_DONE)
    wait_for_owner (j);
  else if (op->row != NULL)
    judge_row (j, op->row, op->row_version);
  else
    /* The owner gave its claim back: it was not run. */
    jobsched_requeue (j, loop_now_us ());
}

/* From the sweep, while another attempt owns the run. */
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
  run_op (j, op, on_row);
}

/* --- recording ------------------------------------------------------- */

static void
on_recorded (struct claim_op *op, void *arg)
{
  struct job *j = op_arrived (arg);

  if (j == NULL)
    return;
  log_claim (j, op->code == CLAIM_OP_NO_REPLY ? "not_recorded" : "recorded");
  j->callbacks->finish (j, j->outcome, j->reason);
}

static json_t *
done_row (struct job *j, const char *object)
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
write_record (struct job *j, const char *object)
{
  struct claim_op *op = claims_op_new (j->claim_key);

  op->version = j->claim_version;
  op->put = done_row (j, object);
  /* The caller waits a bounded time; the record is tried for longer. */
  op->retry_until_reply = true;
  if (j->state == JOB_DONE)
    claims_submit (j->worker->server->claims, op);
  else
    run_op (j, op, on_recorded);
}

static void
on_stored (void *arg, bool found, const char *data, size_t len)
{
  struct job *j = arg;
  g_autofree char *name = NULL;

  (void)data;
  (void)len;
  j->pending_ops--;
  name = g_strdup_printf ("answer-%s", j->id);
  /* Without the object store the table takes the answer itself. */
  write_record (j, found ? name : NULL);
  job_free_if_done (j);
}

/* Record the end of a claimed call, then answer its caller. */
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
      write_record (j, NULL);
      return;
    }
  j->pending_ops++;
  objects->put (objects->ctx, name, j->answer->str, j->answer->len, on_stored,
                j);
}
