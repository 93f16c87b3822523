/* Encoding of facts about requests that crash endpoints. */
#include "quarwire.h"

#include <string.h>

#include "peer.h"
#include "sealbox.h"

/* No request runs for longer; a fact with a longer run was not written by a
   VM. */
#define RUN_MAX_MS 86400000
/* Encoded size of a fact, and of the count that precedes the facts. */
#define FACT_BYTES (REQID_BYTES + 8 + 8 + 4)
#define COUNT_BYTES 4

/* First bytes of a sealed datagram.  Load gossip cannot begin with them, since
   its messages begin with the length of a name. */
static const uint8_t magic[SEALBOX_MAGIC_BYTES] = { 0xc4, 'q', 'f', '1' };

static void
encode_fact (const struct quar_fact *f, peer_fact *to)
{
  memcpy (to->request, f->id.bytes, sizeof to->request);
  to->endpoint = f->completed ? 0 : f->crash.endpoint;
  to->at_ms = (uint64_t)MAX (f->crash.at_ms, 0);
  to->ran_ms = (u_int)CLAMP (f->crash.ran_ms, 0, RUN_MAX_MS);
}

GByteArray *
quarwire_encode (const GArray *facts, guint max)
{
  guint n = MIN (facts->len, MIN (max, QUARWIRE_ROW_MAX));
  g_autofree peer_fact *list = g_new0 (peer_fact, n + 1);
  peer_facts all = { .facts = { n, list } };
  GByteArray *out = g_byte_array_new ();
  XDR x;
  guint i;

  for (i = 0; i < n; i++)
    encode_fact (&g_array_index (facts, struct quar_fact, i), &list[i]);
  g_byte_array_set_size (out, COUNT_BYTES + n * FACT_BYTES);
  xdrmem_create (&x, (char *)out->data, out->len, XDR_ENCODE);
  if (!xdr_peer_facts (&x, &all))
    g_byte_array_set_size (out, 0);
  xdr_destroy (&x);
  return out;
}

static bool
decode_fact (const peer_fact *from, struct quar_fact *f)
{
  memset (f, 0, sizeof *f);
  memcpy (f->id.bytes, from->request, sizeof f->id.bytes);
  f->completed = from->endpoint == 0;
  f->crash.endpoint = from->endpoint;
  f->crash.at_ms = (int64_t)from->at_ms;
  f->crash.ran_ms = (int64_t)from->ran_ms;
  return from->at_ms > 0 && from->at_ms <= G_MAXINT64 / 2
         && from->ran_ms <= RUN_MAX_MS;
}

bool
quarwire_decode (const uint8_t *data, size_t len, GArray *facts)
{
  peer_facts all = { 0 };
  struct quar_fact f;
  bool is_valid;
  XDR x;
  u_int i;

  if (len > COUNT_BYTES + (size_t)QUARWIRE_ROW_MAX * FACT_BYTES)
    return false;
  xdrmem_create (&x, (char *)data, (u_int)len, XDR_DECODE);
  is_valid = xdr_peer_facts (&x, &all);
  for (i = 0; is_valid && i < all.facts.facts_len; i++)
    if (decode_fact (&all.facts.facts_val[i], &f))
      g_array_append_val (facts, f);
  xdr_destroy (&x);
  xdr_free ((xdrproc_t)xdr_peer_facts, &all);
  return is_valid;
}

/*
 * Anybody can send to the port, and the facts decide which requests are
 * refused, so a datagram is accepted only under the key that the VMs share.  A
 * replayed datagram has no effect, since adding known facts changes nothing.
 */
GByteArray *
quarwire_seal (const GArray *facts, const uint8_t *key)
{
  g_autoptr (GByteArray) plain
      = quarwire_encode (facts, QUARWIRE_DATAGRAM_MAX);

  return sealbox_seal (magic, plain->data, plain->len, key);
}

bool
quarwire_is_sealed (const uint8_t *data, size_t len)
{
  return sealbox_has_magic (magic, data, len);
}

bool
quarwire_open (const uint8_t *data, size_t len, const uint8_t *key,
               GArray *facts)
{
  g_autoptr (GByteArray) plain = sealbox_open (magic, data, len, key);

  return plain != NULL && quarwire_decode (plain->data, plain->len, facts);
}
