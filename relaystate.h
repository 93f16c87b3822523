/*
 * States of a request, and what each event does in each of them.  Pure.
 *
 * A request that has no attempt under way is in the state received; it is
 * placed again, or it ends.  The table is in relaystate.c.  Two states will be
 * added: waiting, between received and placed, for a request that waits for
 * room; and moving, between begun and received, for one that changes its
 * endpoint.
 */
#ifndef CQ_RELAYSTATE_H
#define CQ_RELAYSTATE_H

#include <stdbool.h>

enum relay_state
{
  RELAY_RECEIVED, /* read in full; no attempt is under way */
  RELAY_ASKING,   /* other VMs, or the platform, are asked where its stream
                     began */
  RELAY_WAITING,  /* no endpoint has room for it now */
  RELAY_PLACED,   /* the adapter has an attempt; no byte has left */
  RELAY_SENT,     /* a byte of the attempt may have left */
  RELAY_BEGUN,    /* the head of the endpoint's answer was received */
  RELAY_ENDED,    /* the outcome is final */
  RELAY_STATES
};

enum relay_event
{
  RELAY_ASK,           /* they are to be asked */
  RELAY_FOUND,         /* they have answered, or not in time */
  RELAY_WAIT,          /* it is to wait for room */
  RELAY_READY,         /* an endpoint may have room */
  RELAY_PLACE,         /* an endpoint is to be chosen */
  RELAY_SEND,          /* an attempt is given to the adapter */
  RELAY_HAND_OVER,     /* the first byte is about to leave */
  RELAY_HEAD,          /* the head of the answer arrives */
  RELAY_CHUNK,         /* body bytes of the answer arrive */
  RELAY_ATTEMPT_ENDED, /* the adapter ends the attempt */
  RELAY_CALLER_GONE,   /* the caller closes its connection */
  RELAY_DEADLINE,      /* the caller's time is over */
  RELAY_WITHDRAW,      /* the attempt is cancelled by this VM */
  RELAY_GIVE_UP,       /* the request ends without an answer */
  RELAY_FINISH,        /* the request ends, and its caller knows or is gone */
  RELAY_EVENTS
};

/* Set TO to the state that follows; false if FROM does not allow the event. */
bool relay_state_next (enum relay_state from, enum relay_event event,
                       enum relay_state *to);
/* Whether a byte of the present attempt may have left. */
bool relay_state_is_handed_over (enum relay_state state);
const char *relay_state_name (enum relay_state state);
const char *relay_event_name (enum relay_event event);

#endif
