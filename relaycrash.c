/* Detection of endpoints that crash under requests of this VM. */
#include "relaycrash.h"

#include <string.h>

#include "log.h"

/* Requests recorded for one crash: those that had run for the shortest time,
   since a request that crashes an endpoint does so soon after it starts. */
#define BROKEN_MAX 16
/* Endpoints that are watched at a time; the crash of a failure domain affects
   few of them. */
#define ENDPOINTS_MAX 64
/* Interval between probes of a running endpoint: one that breaks off answers
   may do so many times a second. */
#define PROBE_INTERVAL_US (1 * CQ_US_PER_S)

/* A process that is about to end may still accept a connection, and then close
   it with the others.  So a probe without a result is repeated after this
   time, until PROBES_MAX have failed. */
#define PROBE_RETRY_US (100 * CQ_US_PER_MS)
#define PROBES_MAX 4

/* A request whose connection broke. */
struct broken
{
  struct quar_subject subject; /* digests of the request and its parts */
  int64_t ran_ms;              /* time at the endpoint */
};

/* An endpoint at which connections broke. */
struct suspect
{
  APR_RING_ENTRY (suspect) link;      /* in relaycrash.suspects */
  struct relaycrash *owner;           /* its list */
  struct fleet_endpoint *endpoint;    /* a reference */
  struct broken requests[BROKEN_MAX]; /* broken since the last probe */
  int n;                              /* entries in requests */
  int64_t broke_us;                   /* when the first of them broke */
  int64_t probed_us;                  /* when the last probe was sent */
  int silent;                         /* consecutive probes without a result */
  bool probing;                       /* a probe is under way */
  struct loop_timer timer; /* sends the next probe, or drops the entry */
};

struct relaycrash
{
  struct relaycrash_opts opts;                    /* copy of the options */
  APR_RING_HEAD (suspect_ring, suspect) suspects; /* watched */
  int count;                                      /* length of suspects */
  bool closed; /* freed when no probe is under way */
};

static void
drop (struct suspect *s)
{
  struct relaycrash *owner = s->owner;

  loop_disarm (&s->timer);
  APR_RING_REMOVE (s, link);
  fleet_endpoint_unref (s->endpoint);
  g_free (s);
  if (--owner->count == 0 && owner->closed)
    g_free (owner);
}

/* --- evidence -------------------------------------------------------- */

static void
add_evidence (struct suspect *s, int64_t now_us)
{
  const struct relaycrash_opts *o = &s->owner->opts;
  int64_t now_ms = o->clock_ms (o->arg, now_us);
  struct quar_fact f = { .completed = false };
  const struct quar_subject *subject;
  bool is_new = false;
  int i, k;

  f.crash.endpoint = s->endpoint->key;
  f.crash.at_ms = now_ms - (now_us - s->broke_us) / CQ_US_PER_MS;
  for (i = 0; i < s->n && now_ms > 0; i++)
    {
      subject = &s->requests[i].subject;
      f.crash.ran_ms = s->requests[i].ran_ms;
      f.id = subject->request;
      is_new |= quar_add_fact (o->quar, &f, true);
      for (k = 0; k < subject->nparts; k++)
        {
          f.id = subject->parts[k];
          is_new |= quar_add_fact (o->quar, &f, true);
        }
    }
  if (is_new)
    o->on_evidence (o->arg, now_us);
}

static void
apply_notice (struct suspect *s, const struct notice *notice, int64_t now_us)
{
  struct notice_origin from = { .source = "probe", .sent_us = s->probed_us };

  notice_apply (s->endpoint, notice, &from, now_us);
  speed_add (&s->endpoint->speed, notice->speed_percent, now_us);
}

static bool
is_result (enum relay_probe_result probe)
{
  return probe == RELAY_PROBE_ALIVE || probe == RELAY_PROBE_CRASHED;
}

/* Whether PROBE shows nothing, but another VM found that the endpoint crashed:
   this VM's requests are evidence then, too, or the parts of those that the
   other VM had there would look like the cause. */
static bool
is_known_by_others (const struct suspect *s, enum relay_probe_result probe)
{
  return !is_result (probe) && !s->owner->closed
         && quar_is_crashed (s->owner->opts.quar, s->endpoint->key);
}

static void
end_probe (struct suspect *s, enum relay_probe_result probe,
           const struct notice *notice, int64_t now)
{
  static const char *const names[] = {
    [RELAY_PROBE_ALIVE] = "alive",
    [RELAY_PROBE_CRASHED] = "crashed",
    [RELAY_PROBE_REFUSED] = "unconfirmed",
    [RELAY_PROBE_SILENT] = "silent",
  };
  bool known = is_known_by_others (s, probe);

  if (known)
    probe = RELAY_PROBE_CRASHED;
  s->probing = false;
  log_event (LOG_LEVEL_INFO, "endpoint_broke",
             "endpoint=%s outcome=%s requests=%d since_us=%" G_GINT64_FORMAT
             " by=%s",
             s->endpoint->listing.id, names[probe], s->n,
             (gint64)(now - s->broke_us), known ? "evidence" : "probe");
  if (s->owner->closed)
    {
      drop (s);
      return;
    }
  if (notice != NULL)
    apply_notice (s, notice, now);
  if (!is_result (probe) && ++s->silent < PROBES_MAX)
    {
      loop_arm (s->owner->opts.loop, &s->timer, now + PROBE_RETRY_US);
      return;
    }
  if (probe == RELAY_PROBE_CRASHED)
    add_evidence (s, now);
  s->silent = 0;
  s->n = 0;
  /* Kept until the interval has passed, so that it is not probed too often. */
  loop_arm (s->owner->opts.loop, &s->timer, s->probed_us + PROBE_INTERVAL_US);
}

/* Whether another endpoint accepted a connection while this one refused the
   probe. */
static bool
has_path (const struct suspect *s)
{
  return relayreach_connected_since (s->owner->opts.reach, s->endpoint,
                                     s->probed_us);
}

static void
on_other_probe (void *arg)
{
  struct suspect *s = arg;
  bool confirmed = !s->owner->closed && has_path (s);

  end_probe (s, confirmed ? RELAY_PROBE_CRASHED : RELAY_PROBE_REFUSED, NULL,
             loop_now_us ());
}

static void
on_probe (void *arg, enum relay_probe_result probe,
          const struct notice *notice)
{
  struct suspect *s = arg;

  if (probe == RELAY_PROBE_REFUSED && !s->owner->closed)
    {
      if (!has_path (s)
          && relayreach_probe_other (s->owner->opts.reach, s->endpoint,
                                     on_other_probe, s))
        return;
      /* Without another endpoint there is nothing to compare with. */
      probe = RELAY_PROBE_CRASHED;
    }
  end_probe (s, probe, notice, loop_now_us ());
}

static void
send_probe (struct suspect *s, int64_t now_us)
{
  const struct relay_engine *e = s->owner->opts.engine;

  s->probing = true;
  s->probed_us = now_us;
  e->probe (e->ctx, s->endpoint, on_probe, s);
}

static void
on_timer (void *arg, int64_t now_us)
{
  struct suspect *s = arg;

  if (s->n > 0)
    send_probe (s, now_us);
  else
    drop (s);
}

/* --- broken connections ---------------------------------------------- */

static struct suspect *
find (const struct relaycrash *owner, const struct fleet_endpoint *e)
{
  struct suspect *s;

  APR_RING_FOREACH (s, &owner->suspects, suspect, link)
  if (s->endpoint == e)
    return s;
  return NULL;
}

static struct suspect *
get_or_add (struct relaycrash *owner, struct fleet_endpoint *e)
{
  struct suspect *s = find (owner, e);

  if (s != NULL || owner->count >= ENDPOINTS_MAX)
    return s;
  s = g_new0 (struct suspect, 1);
  s->owner = owner;
  s->endpoint = fleet_endpoint_ref (e);
  s->timer.fire = on_timer;
  s->timer.arg = s;
  APR_RING_ELEM_INIT (s, link);
  APR_RING_INSERT_TAIL (&owner->suspects, s, suspect, link);
  owner->count++;
  return s;
}

/* Entry for a request that ran for RAN_MS: a free one, or that of the request
   that ran longest; NULL if all recorded ones ran no longer than this one. */
static struct broken *
broken_entry_for (struct suspect *s, int64_t ran_ms)
{
  struct broken *longest = s->requests;
  int i;

  if (s->n < BROKEN_MAX)
    return &s->requests[s->n++];
  for (i = 1; i < s->n; i++)
    if (s->requests[i].ran_ms > longest->ran_ms)
      longest = &s->requests[i];
  return longest->ran_ms > ran_ms ? longest : NULL;
}

/*
 * An endpoint that is draining stops as announced.  Otherwise each answer that
 * a release cuts off would become evidence.
 */
void
relaycrash_report (struct relaycrash *owner, struct fleet_endpoint *e,
                   const struct quar_subject *subject, int64_t ran_us,
                   int64_t now_us)
{
  int64_t ran_ms = ran_us / CQ_US_PER_MS;
  struct broken *b;
  struct suspect *s;

  if (e->draining || e->removed)
    return;
  s = get_or_add (owner, e);
  if (s == NULL)
    return;
  if (s->n == 0)
    s->broke_us = now_us;
  b = broken_entry_for (s, ran_ms);
  if (b != NULL)
    *b = (struct broken){ *subject, ran_ms };
  if (!s->probing && !s->timer.armed)
    send_probe (s, now_us);
}

struct relaycrash *
relaycrash_new (const struct relaycrash_opts *opts)
{
  struct relaycrash *owner = g_new0 (struct relaycrash, 1);

  owner->opts = *opts;
  APR_RING_INIT (&owner->suspects, suspect, link);
  return owner;
}

void
relaycrash_free (struct relaycrash *owner)
{
  struct suspect *s, *next;

  owner->closed = true;
  /* Counted as an entry itself, so that drop does not free it in the loop. */
  owner->count++;
  for (s = APR_RING_FIRST (&owner->suspects);
       s != APR_RING_SENTINEL (&owner->suspects, suspect, link); s = next)
    {
      next = APR_RING_NEXT (s, link);
      if (!s->probing)
        drop (s);
    }
  if (--owner->count == 0)
    g_free (owner);
}
