/*
 * Requests that are passed on, played: an engine, a caller, the platform and
 * other VMs that a test moves, so that each fault comes at its exact moment.
 */
#ifndef CQ_RELAYPLAY_H
#define CQ_RELAYPLAY_H

#include "librelay.h"

#define PLAY_STALE_US (4 * CQ_US_PER_S)
#define PLAY_DENY_US (2 * CQ_US_PER_S)

/* What a test plays and sees. */
struct play
{
  struct loop *loop;                /* for timers; not run unless said */
  struct fleet fleet;               /* beliefs */
  struct relays *relays;            /* under test */
  struct relay *relay;              /* the request */
  struct relay_desc desc;           /* as described */
  const struct relay_events *event; /* of the attempt */
  void *arg;                        /* for them */
  int sends;                        /* attempts so far */
  int cancels;                      /* attempts cancelled */
  char to[4][FLEET_NAME_SIZE];      /* where each went */
  int64_t resume_after;             /* of the last attempt */
  int64_t left_us;                  /* of the last attempt */
  char scope[64];                   /* cache scope of the last attempt */
  GString *got;                     /* bytes the caller got */
  int status;                       /* status it got, 0 for none */
  int refused;                      /* enum relay_refusal, -1 for none */
  int64_t retry_after_us;           /* with the refusal */
  int ended;                        /* 1 whole, 0 broken, -1 not ended */
  bool gone;                        /* the caller hung up */
  size_t untaken;                   /* bytes that the caller has not taken */
  int unpauses;                     /* attempts that were let go on */
  struct quar *quar;                /* evidence */
  bool evidence_known;              /* that of other VMs was read */
  int observed;                     /* times that this VM saw some */
  relay_probe_done probe;           /* question under way, or NULL */
  void *probe_arg;                  /* for it */
  int probes;                       /* questions so far */
  bool turn;                        /* this VM may send suspect requests */
};

/* Lines of an endpoint's own answer; ends with NULL. */
extern char *play_seal[];

/* A configuration with one route of KIND, opened by KEY. */
struct fleet_conf *play_conf (int64_t version, enum fleet_kind kind,
                              const char *key);
/* Its route. */
struct fleet_route *play_route (struct play *p);
/* One more endpoint is listed. */
void play_add_endpoint (struct play *p, const char *id);
/* A VM with two endpoints, a and b, and one request described. */
struct play *play_new (enum fleet_kind kind);
/* The request comes. */
void play_start (struct play *p);
/* The endpoint that is listed as ID, or NULL. */
struct fleet_endpoint *play_endpoint (struct play *p, const char *id);
/* The attempt must not be let go, and a second endpoint answers instead. */
void play_moves_on (struct play *p);
/* All requests must have ended. */
void play_free (struct play *p);
/* Run the loop for US. */
void play_run (struct play *p, int64_t us);
/* The head of an answer comes. */
void play_head (struct play *p, int status);
/* Part of its body comes. */
void play_body (struct play *p, const char *text);
/* The attempt is over. */
void play_end (struct play *p, bool handed_over, bool whole);
/* The attempt is let go, and a whole answer with this body comes. */
void play_answer (struct play *p, const char *text);
/* Likewise with this head and no body. */
void play_answer_head (struct play *p, const struct relay_head *h);

#endif
