/* The relay: what attempts at endpoints and at other VMs have in common. */
#include "librelay.h"

#include <string.h>

#include "log.h"
#include "met.h"

/* Largest event of a stream that is buffered until it is complete, bytes. */
#define EVENT_SIZE_MAX 65536
/* Answers of up to so many bytes are held however many there are. */
#define ANSWER_SMALL_BYTES 65536

void
relay_reset_attempt (struct relay *r, int64_t now_us)
{
  r->stop_reason = NULL;
  r->status = 0;
  r->reported_running = -1;
  r->reported_waiting = 0;
  r->not_run = false;
  r->vm_no_path = false;
  r->vm_retry_us = 0;
  r->connection_refused = false;
  r->other_incarnation = false;
  r->is_head_observed = false;
  r->streaming = false;
  r->ends_with_connection = false;
  r->has_body = false;
  r->has_cleared_parts = false;
  r->paused = false;
  relay_drop_answer (r);
  sse_restart (&r->events);
  r->sent_us = now_us;
}

/* --- before the first byte ------------------------------------------- */

/*
 * A VM that was busy or suspended for most of a second reads requests whose
 * callers have hung up in the meantime.  The sweep would detect this some
 * tenths of a second later, after an endpoint has started to work on them.
 */
static bool
drop_disconnected_caller (struct relay *r)
{
  if (r->desc.caller == NULL || !r->desc.caller->is_disconnected (r->desc.arg))
    return false;
  r->desc.caller = NULL;
  met_add (MET_CANCELS, 1);
  return true;
}

const char *
relay_send_obstacle (struct relay *r, int64_t now_us)
{
  if (relay_is_stale (r, now_us))
    return "settings_stale";
  if (relay_is_key_revoked (r))
    return "key_revoked";
  if (now_us >= r->deadline_us)
    return "deadline";
  return drop_disconnected_caller (r) ? "caller_gone" : NULL;
}

void
relay_handed_over (struct relay *r, int64_t now_us)
{
  r->connected_us = now_us;
  r->attempts++;
  if (r->handed_over_us != 0)
    return;
  r->handed_over_us = now_us;
  met_observe (MET_HANDOVER_TIME, now_us - r->arrived_us);
}

/* --- answer ---------------------------------------------------------- */

/* The media type without parameters, "" if the head names none. */
static char *
media_type (char **lines)
{
  static const char name[] = "Content-Type:";
  size_t n = strlen (name);
  const char *value;

  for (; lines != NULL && *lines != NULL; lines++)
    if (g_ascii_strncasecmp (*lines, name, n) == 0)
      {
        value = *lines + n;
        return g_strstrip (g_strndup (value, strcspn (value, ";")));
      }
  return g_strdup ("");
}

bool
relay_is_stream (const struct relay *r, const struct relay_head *head)
{
  g_autofree char *type = NULL;

  if (r->route->kind != FLEET_STREAM || head->status != 200)
    return false;
  if (!r->stream_begun)
    return true;
  type = media_type (head->lines);
  return g_ascii_strcasecmp (type, r->stream_type) == 0;
}

/* A pause across two attempts says nothing of either endpoint. */
static void
record_pause (struct relay *r, int64_t now_us)
{
  const struct relays_opts *o = &r->rs->opts;
  bool pending
      = load_at (o->loads, r->endpoint->key).pending_prefill_tokens > 0;
  int64_t pause_us = now_us - r->last_event_us;

  if (r->last_event_us > 0)
    r->gap_us = MAX (r->gap_us, pause_us);
  if (o->share_reports && r->last_event_us > r->sent_us)
    pick_learn_pause (o->fleet, r->endpoint, pending || r->event_pending,
                      pause_us, now_us);
  r->last_event_us = now_us;
  r->event_pending = pending;
}

/* What the times of a stream show of its endpoint; nothing of an endpoint that
   another VM chose. */
static void
learn_from_chunk (struct relay *r, int64_t now_us)
{
  if (r->endpoint == NULL)
    return;
  relay_prefill_done (r, now_us);
  record_pause (r, now_us);
  if (r->stream_begun)
    return;
  pick_learn_prefill_rate (r->rs->opts.fleet, r->endpoint,
                           r->pending_prefill_tokens
                               + r->shared_pending_prefill_tokens
                               + r->work.own_tokens,
                           now_us - r->sent_us);
}

static void
forward_chunk (struct relay *r, const char *data, size_t len)
{
  if (len == 0)
    return;
  learn_from_chunk (r, loop_now_us ());
  if (!r->stream_begun)
    {
      r->stream_begun = true;
      r->stream_type = media_type (r->lines);
      r->reply = RELAY_REPLY_STREAM;
      r->first_chunk_us = loop_now_us ();
      met_observe (MET_FIRST_TOKEN, r->first_chunk_us - r->arrived_us);
      if (r->endpoint != NULL)
        {
          relay_stream_began (r, r->first_chunk_us);
          relay_record_wait (r, r->first_chunk_us);
        }
      r->desc.caller->begin (r->desc.arg, r->status,
                             (const char *const *)r->lines);
    }
  r->desc.caller->write (r->desc.arg, data, len);
}

static enum relay_body_result
forward_stream (struct relay *r, const char *data, size_t len)
{
  g_autoptr (GString) events = g_string_new (NULL);

  /* The bytes for a reader slower than the engine must not fill memory. */
  if (r->stream_begun
      && r->desc.caller->pending (r->desc.arg) > r->rs->opts.stream_buffer)
    {
      r->paused = true;
      /* The caller causes the pause that follows. */
      r->last_event_us = 0;
      return RELAY_PAUSE;
    }
  if (!sse_feed (&r->events, data, len, EVENT_SIZE_MAX, events))
    {
      r->stop_reason = RELAY_STOP_EVENT_TOO_LARGE;
      return RELAY_STOP;
    }
  forward_chunk (r, events->str, events->len);
  return RELAY_CONTINUE;
}

/* Endpoints that send without end would otherwise fill the VM's memory, each
   request with an answer of the largest size. */
static enum relay_body_result
hold_answer (struct relay *r, const char *data, size_t len)
{
  const struct relays_opts *o = &r->rs->opts;
  size_t size = r->answer->len + len;
  const char *excess = NULL;

  if (size > o->answer_max)
    excess = RELAY_STOP_ANSWER_TOO_LARGE;
  else if (size > ANSWER_SMALL_BYTES
           && r->rs->answer_bytes + len > o->answers_max)
    excess = "answer_memory";
  if (excess != NULL)
    {
      r->stop_reason = excess;
      return RELAY_STOP;
    }
  g_string_append_len (r->answer, data, (gssize)len);
  r->rs->answer_bytes += len;
  return RELAY_CONTINUE;
}

enum relay_body_result
relay_on_body (void *arg, const char *data, size_t len)
{
  struct relay *r = arg;

  if (!relay_apply_event (r, RELAY_CHUNK))
    return RELAY_STOP;
  if (!r->has_body)
    r->body_us = loop_now_us ();
  r->has_body = true;
  relay_record_flow (r, loop_now_us ());
  if (r->streaming)
    return forward_stream (r, data, len);
  return hold_answer (r, data, len);
}

/* --- end ------------------------------------------------------------- */

/*
 * The close of its connection ends an answer without a length, also when the
 * endpoint died.  Where nothing follows the head of a stream, it has not begun
 * for the caller, or not gone on, and another endpoint may still take it.
 */
bool
relay_is_whole (const struct relay *r, const struct relay_end *end)
{
  return end->whole && (end->delimited || !r->streaming || r->has_body);
}

enum send_state
relay_send_state (const struct relay *r, bool whole)
{
  if (!relay_state_is_handed_over (r->state))
    return SEND_NONE;
  if (r->status == 0)
    return SEND_PARTIAL;
  if (r->not_run)
    return SEND_REFUSED;
  if (!whole || r->stop_reason != NULL
      || (r->streaming && sse_has_partial (&r->events)))
    return SEND_REPLIED;
  return SEND_COMPLETE;
}

struct out_verdict
relay_decide (struct relay *r, enum send_state sent, bool has_attempts_left,
              int64_t now_us)
{
  struct out_facts f = { .sent = sent, .status = r->status };

  f.idempotent = relay_is_repeatable (r);
  f.ran_before = r->may_have_run;
  f.caller_has_bytes = r->stream_begun;
  f.ends_stream = r->streaming;
  f.resumable = r->route->resumable && sse_is_place_known (&r->events);
  f.attempts_left = has_attempts_left;
  f.deadline_passed = now_us >= r->deadline_us;
  return out_evaluate (&f);
}

void
relay_pass_answer (struct relay *r, enum outcome outcome, const char *reason,
                   int64_t now_us)
{
  const struct relay_caller *c = r->desc.caller;

  relay_record_run (r, now_us);
  if (r->stream_begun)
    relay_end_stream (r, true);
  else if (c != NULL)
    {
      r->reply = RELAY_REPLY_ANSWER;
      c->answer (r->desc.arg, r->status, (const char *const *)r->lines,
                 r->answer->str, r->answer->len);
    }
  relay_finish (r, outcome, reason, now_us);
}
