/* Encoding of messages between VMs on where streams began. */
#include "originwire.h"

#include <string.h>

#include "decide.h"
#include "peer.h"
#include "sealbox.h"

/* First word of the plain text; messages of load gossip under the same key
   begin with another one, and those of evidence with a small count. */
#define KIND_ORIGIN 0x6f726731
#define MESSAGE_MAX_BYTES 512

G_STATIC_ASSERT (ORIGIN_KEY_BYTES == PEER_REQUEST_BYTES);

static const uint8_t magic[SEALBOX_MAGIC_BYTES] = { 0xc4, 'o', 'g', '1' };

GByteArray *
originwire_seal (const struct origin_message *m, const uint8_t *key)
{
  peer_origin one = { .kind = KIND_ORIGIN, .asks = m->asks };
  char buf[MESSAGE_MAX_BYTES];
  GByteArray *out = NULL;
  XDR x;

  one.sender = m->sender;
  one.at_ms = (uint64_t)MAX (m->at_ms, 0);
  memcpy (one.stream, m->key.bytes, sizeof one.stream);
  one.build = m->build;
  one.keep_ms
      = (u_int)(CLAMP (m->keep_us, 0, ORIGIN_KEEP_MAX_US) / CQ_US_PER_MS);
  xdrmem_create (&x, buf, sizeof buf, XDR_ENCODE);
  if (xdr_peer_origin (&x, &one))
    out = sealbox_seal (magic, (const uint8_t *)buf, xdr_getpos (&x), key);
  xdr_destroy (&x);
  return out;
}

bool
originwire_is_sealed (const uint8_t *data, size_t len)
{
  return sealbox_has_magic (magic, data, len);
}

bool
originwire_decode (const uint8_t *plain, size_t len, struct origin_message *m)
{
  peer_origin one = { 0 };
  bool is_valid;
  XDR x;

  if (len > MESSAGE_MAX_BYTES)
    return false;
  xdrmem_create (&x, (char *)plain, (u_int)len, XDR_DECODE);
  is_valid = xdr_peer_origin (&x, &one) && one.kind == KIND_ORIGIN
             && one.at_ms <= G_MAXINT64 / 2;
  xdr_destroy (&x);
  if (!is_valid)
    return false;
  m->asks = one.asks;
  m->sender = one.sender;
  m->at_ms = (int64_t)one.at_ms;
  memcpy (m->key.bytes, one.stream, sizeof m->key.bytes);
  m->build = one.build;
  m->keep_us = MIN ((int64_t)one.keep_ms * CQ_US_PER_MS, ORIGIN_KEEP_MAX_US);
  return true;
}

bool
originwire_open (const uint8_t *data, size_t len, const uint8_t *key,
                 struct origin_message *m)
{
  g_autoptr (GByteArray) plain = NULL;

  if (len > MESSAGE_MAX_BYTES)
    return false;
  plain = sealbox_open (magic, data, len, key);
  return plain != NULL && originwire_decode (plain->data, plain->len, m);
}
