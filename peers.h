/*
 * Messages between VMs: ONC RPC over TCP without a port mapper, each message
 * sealed under a key that the VMs share.
 */
#ifndef CQ_PEERS_H
#define CQ_PEERS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "loop.h"
#include "peer.h"

#define PEERS_ERROR peers_error_quark ()
GQuark peers_error_quark (void);

struct peers;

/* Answer a message, on the server's thread: fill REPLY's body, or false. */
typedef bool (*peers_answer) (void *arg, const peer_envelope *call,
                              peer_envelope *reply);

/* A reply arrived, or none came; on the home loop. */
typedef void (*peers_done) (void *arg, const peer_envelope *reply);

struct peers_opts
{
  const char *name;    /* this VM */
  const char *listen;  /* IP:PORT; port 0 lets the kernel choose */
  char *const *keys;   /* ID:HEX; the first seals, all open */
  peers_answer answer; /* called for each good message */
  void *arg;           /* passed to answer */
};

struct peers *peers_new (const struct peers_opts *opts, GError **err);
void peers_free (struct peers *p);
const char *peers_address (const struct peers *p);

/* Any thread: ask the VM named RECEIVER at ADDRESS.  BODY is taken over. */
void peers_ask (struct peers *p, const char *address, const char *receiver,
                peer_proc proc, GByteArray *body, struct loop *home,
                peers_done done, void *arg);

/* Drop messages to and from VMs whose name has this prefix; a test's cut. */
void peers_cut (struct peers *p, const char *prefix);

/* Encode and decode bodies. */
GByteArray *peers_encode (xdrproc_t proc, const void *value);
bool peers_decode (xdrproc_t proc, const char *data, size_t len, void *value);

/* --- sealing (peerseal.c) --- */

struct seal;

struct seal *seal_new (const char *name, char *const *keys);
void seal_free (struct seal *s);
bool seal_close (struct seal *s, const peer_envelope *e, const char *bound,
                 peer_sealed *out);
/* BOUND, if not NULL, is the nonce of the call that this answers. */
bool seal_open (struct seal *s, const peer_sealed *in, const char *bound,
                int64_t now_ms, peer_envelope *e);

#endif
