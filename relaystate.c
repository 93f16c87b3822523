/* The table of request states. */
#include "relaystate.h"

#define RECV RELAY_RECEIVED
#define ASKING RELAY_ASKING
#define WAITING RELAY_WAITING
#define PLACED RELAY_PLACED
#define SENT RELAY_SENT
#define BEGUN RELAY_BEGUN
#define ENDED RELAY_ENDED
#define NO RELAY_STATES /* not allowed */

/* The state that follows, by event and present state. */
static const enum relay_state table[RELAY_EVENTS][RELAY_STATES] = {
  /* clang-format off */
  /* in state:              received asking waiting placed sent   begun ended */
  [RELAY_ASK]           = { ASKING,  NO,    NO,     NO,    NO,    NO,    NO },
  [RELAY_FOUND]         = { NO,      RECV,  NO,     NO,    NO,    NO,    NO },
  [RELAY_WAIT]          = { WAITING, NO,    NO,     NO,    NO,    NO,    NO },
  [RELAY_READY]         = { NO,      NO,    RECV,   NO,    NO,    NO,    NO },
  [RELAY_PLACE]         = { RECV,    NO,    NO,     NO,    NO,    NO,    NO },
  [RELAY_SEND]          = { PLACED,  NO,    NO,     NO,    NO,    NO,    NO },
  [RELAY_HAND_OVER]     = { NO,      NO,    NO,     SENT,  NO,    NO,    NO },
  [RELAY_HEAD]          = { NO,      NO,    NO,     NO,    BEGUN, NO,    NO },
  [RELAY_CHUNK]         = { NO,      NO,    NO,     NO,    NO,    BEGUN, NO },
  [RELAY_ATTEMPT_ENDED] = { NO,      NO,    NO,     RECV,  RECV,  RECV,  NO },
  [RELAY_CALLER_GONE]   = { RECV,    RECV,  RECV,   RECV,  RECV,  RECV,  NO },
  [RELAY_DEADLINE]      = { NO,      RECV,  RECV,   RECV,  RECV,  RECV,  NO },
  [RELAY_WITHDRAW]      = { NO,      RECV,  RECV,   RECV,  RECV,  RECV,  NO },
  [RELAY_GIVE_UP]       = { ENDED,   NO,    NO,     NO,    NO,    NO,    NO },
  [RELAY_FINISH]        = { ENDED,   NO,    NO,     NO,    NO,    NO,    NO },
  /* clang-format on */
};

bool
relay_state_next (enum relay_state from, enum relay_event event,
                  enum relay_state *to)
{
  if (table[event][from] == NO)
    return false;
  *to = table[event][from];
  return true;
}

bool
relay_state_is_handed_over (enum relay_state state)
{
  return state == RELAY_SENT || state == RELAY_BEGUN;
}

const char *
relay_state_name (enum relay_state state)
{
  static const char *const names[] = {
    [RELAY_RECEIVED] = "received", [RELAY_ASKING] = "asking",
    [RELAY_WAITING] = "waiting",   [RELAY_PLACED] = "placed",
    [RELAY_SENT] = "sent",         [RELAY_BEGUN] = "begun",
    [RELAY_ENDED] = "ended",
  };
  return names[state];
}

const char *
relay_event_name (enum relay_event event)
{
  static const char *const names[] = {
    [RELAY_ASK] = "ask",
    [RELAY_FOUND] = "found",
    [RELAY_WAIT] = "wait",
    [RELAY_READY] = "ready",
    [RELAY_PLACE] = "place",
    [RELAY_SEND] = "send",
    [RELAY_HAND_OVER] = "hand_over",
    [RELAY_HEAD] = "head",
    [RELAY_CHUNK] = "chunk",
    [RELAY_ATTEMPT_ENDED] = "attempt_ended",
    [RELAY_CALLER_GONE] = "caller_gone",
    [RELAY_DEADLINE] = "deadline",
    [RELAY_WITHDRAW] = "withdraw",
    [RELAY_GIVE_UP] = "give_up",
    [RELAY_FINISH] = "finish",
  };
  return names[event];
}
