/* Brittle endpoints, and this VM's share of the refusals that they bear. */
#include "brittle.h"

#include <glib.h>

#include "decide.h"

/* Refusals for each token: the token's own, and the one that stops its
   owner. */
#define REFUSALS_PER_TOKEN 2
/* A refusal arrives within this time after its request was sent, or the
   request was accepted. */
#define UNCERTAIN_US (60 * CQ_US_PER_MS)
/* A token rests for slightly more than a second after a refusal, so that no
   second at the endpoint holds two. */
#define REFUSED_US (1050 * CQ_US_PER_MS)
/* A request that ended may be replaced within this time; later, another VM may
   have its place. */
#define REPLACE_US (100 * CQ_US_PER_MS)
/* Requests that waited at an endpoint this long ago may have been served. */
#define WAITING_AGE_US (1000 * CQ_US_PER_MS)
/* The share is computed again after this time, as VMs come and go. */
#define SHARE_REFRESH_US CQ_US_PER_S

/* --- reports in answers ---------------------------------------------- */

/* Answers arrive out of order: only one to a request that was sent after the
   last report is certainly newer, but a stricter one applies at once. */
bool
brittle_report (struct brittle *b, int64_t refusals, int64_t sent_us,
                int64_t now_us)
{
  bool changes = !b->active || refusals < b->refusals
                 || (refusals > b->refusals && sent_us > b->reported_us);

  if (changes)
    {
      b->refusals = refusals;
      b->share_set_us = 0;
    }
  b->active = true;
  b->reported_us = now_us;
  return changes;
}

bool
brittle_clear (struct brittle *b, int64_t sent_us)
{
  bool ends = b->active && sent_us > b->reported_us;

  b->cleared_us = MAX (sent_us, b->cleared_us);
  if (!ends)
    return false;
  b->active = false;
  b->share_set_us = 0;
  return true;
}

/* The endpoints of a service are brittle together, and a VM hears from each of
   them only now and then. */
int64_t
brittle_refusals (const struct brittle *b, int64_t refusals,
                  int64_t reported_us, int64_t now_us)
{
  if (reported_us == 0 || now_us - reported_us >= BRITTLE_NOTICE_MAX_AGE_US)
    return -1;
  if (b->active)
    return b->refusals;
  return b->cleared_us < reported_us ? refusals : -1;
}

/* --- shares ---------------------------------------------------------- */

static int64_t
all_tokens (int64_t refusals)
{
  return MAX (refusals / REFUSALS_PER_TOKEN, 1);
}

int
brittle_owners (int64_t refusals, int vms)
{
  return (int)MIN (all_tokens (refusals), vms);
}

int
brittle_share (int64_t refusals, int vms, int rank)
{
  int64_t all = all_tokens (refusals);
  int64_t share = all / vms + (rank < all % vms);

  return (int)MIN (share, BRITTLE_TOKENS_MAX);
}

int64_t
brittle_guest_pause_us (int64_t refusals, int vms, int endpoints)
{
  int64_t rest = MAX (refusals - all_tokens (refusals), 1);
  int64_t pause_us = (int64_t)vms * REFUSED_US / (MAX (endpoints, 1) * rest);

  return CLAMP (pause_us, REFUSED_US, BRITTLE_GUEST_PAUSE_MAX_US);
}

bool
brittle_is_share_stale (const struct brittle *b, int64_t now_us)
{
  return b->share_set_us == 0 || now_us - b->share_set_us >= SHARE_REFRESH_US;
}

void
brittle_set_share (struct brittle *b, int64_t refusals, int share,
                   bool can_forward, int running, int64_t now_us)
{
  b->is_guest = share == 0 && !can_forward;
  if (!b->applies)
    b->accepted = running;
  b->applies = true;
  b->applied = refusals;
  b->share = share;
  b->share_set_us = now_us;
}

void
brittle_set_none (struct brittle *b, int64_t now_us)
{
  b->applies = false;
  b->share_set_us = now_us;
}

/* --- tokens ---------------------------------------------------------- */

/* The token that is free first. */
static int64_t *
first_token (struct brittle *b)
{
  int64_t *first = &b->token_free_us[0];
  int i;

  for (i = 1; i < b->share; i++)
    if (b->token_free_us[i] < *first)
      first = &b->token_free_us[i];
  return first;
}

static int64_t *
token_for (struct brittle *b, struct brittle_guest *guest)
{
  return b->share > 0 ? first_token (b) : &guest->free_us;
}

static bool
has_free_token (const struct brittle *b, const struct brittle_guest *guest,
                int64_t now_us)
{
  int i;

  if (b->waiting_us != 0 && now_us - b->waiting_us < WAITING_AGE_US)
    return false;
  if (b->share == 0)
    return now_us >= guest->free_us;
  for (i = 0; i < b->share; i++)
    if (now_us >= b->token_free_us[i])
      return true;
  return false;
}

/* Requests that this VM, with RUNNING there, may have without a token. */
static int
accepted_now (const struct brittle *b, int running, int64_t now_us)
{
  int64_t lapsed = (now_us - b->left_us) / REPLACE_US;

  return (int)MAX (running, b->accepted - lapsed);
}

bool
brittle_may_place (const struct brittle *b, const struct brittle_guest *guest,
                   int running, int64_t now_us)
{
  if (!b->applies)
    return true;
  if (b->share == 0 && !b->is_guest)
    return false;
  return now_us >= b->stopped_until_us
         && (running < accepted_now (b, running, now_us)
             || has_free_token (b, guest, now_us));
}

void
brittle_placed (struct brittle *b, struct brittle_guest *guest, int running,
                int64_t now_us)
{
  if (b->applies && running >= accepted_now (b, running, now_us))
    *token_for (b, guest) = now_us + UNCERTAIN_US;
}

bool
brittle_take (struct brittle *b, struct brittle_guest *guest, int running,
              int64_t placed_us, int64_t now_us)
{
  int64_t *token;
  int i;

  if (!b->applies)
    return true;
  if (now_us < b->stopped_until_us)
    return false;
  if (running < accepted_now (b, running, now_us))
    return true;
  token = token_for (b, guest);
  for (i = 0; i < b->share; i++)
    if (b->token_free_us[i] == placed_us + UNCERTAIN_US)
      token = &b->token_free_us[i];
  if (*token != placed_us + UNCERTAIN_US && now_us < *token)
    return false;
  *token = now_us + UNCERTAIN_US;
  return true;
}

void
brittle_accepted (struct brittle *b, int running, int waiting, int64_t now_us)
{
  if (waiting > 0)
    {
      b->waiting_us = now_us;
      b->accepted = MIN (b->accepted, MAX (running - 1, 0));
    }
  else
    b->accepted = accepted_now (b, running, now_us);
}

/* One that was refused, or that is not to be replaced, is not counted in
   accepted any more. */
void
brittle_left (struct brittle *b, int running, int64_t now_us)
{
  if (b->accepted > running)
    b->accepted = accepted_now (b, running + 1, now_us);
  b->left_us = now_us;
}

void
brittle_crashed (struct brittle *b)
{
  b->accepted = 0;
}

/* The token of the request may be in use again, so the one that is free first
   rests. */
void
brittle_refused (struct brittle *b, struct brittle_guest *guest, int running,
                 int64_t now_us)
{
  int64_t *token;

  if (!b->applies)
    return;
  token = token_for (b, guest);
  b->accepted = MIN (b->accepted, running);
  if (*token > now_us + UNCERTAIN_US)
    b->stopped_until_us = now_us + REFUSED_US;
  else
    *token = now_us + (b->share > 0 ? REFUSED_US : guest->pause_us);
}
