/* Encoding of requests for rows of a mirrored table, and of their replies. */
#include "mirrorwire.h"

#include <sodium.h>
#include <string.h>

#include "decide.h"
#include "peer.h"

#define NONCE_BYTES crypto_secretbox_NONCEBYTES
#define MAC_BYTES crypto_secretbox_MACBYTES
/* Encoded size of a request and of a reply's head. */
#define REQUEST_BYTES (PEER_NONCE_BYTES + 4 + 8 + 8)
#define REPLY_BYTES (PEER_NONCE_BYTES + 4 + 4 + 6 * 8 + PEER_DIGEST_BYTES)
#define REPLY_HEAD_BYTES (NONCE_BYTES + MAC_BYTES + REPLY_BYTES)
/* No greater age is of use; it bounds the arithmetic on ages. */
#define AGE_MAX_MS INT64_C (86400000)
#define COLD_MAX_MS INT64_C (86400000)

/* --- XDR ------------------------------------------------------------- */

static GByteArray *
encode (xdrproc_t proc, void *value)
{
  u_int size = (u_int)xdr_sizeof (proc, value);
  GByteArray *out = g_byte_array_sized_new (size);
  XDR x;

  g_byte_array_set_size (out, size);
  xdrmem_create (&x, (char *)out->data, size, XDR_ENCODE);
  if (!proc (&x, value))
    g_byte_array_set_size (out, 0);
  xdr_destroy (&x);
  return out;
}

/* The caller frees VALUE by xdr_free, whatever the result. */
static bool
decode (xdrproc_t proc, const uint8_t *data, size_t len, void *value)
{
  bool is_valid;
  XDR x;

  xdrmem_create (&x, (char *)data, (u_int)len, XDR_DECODE);
  is_valid = proc (&x, value) && xdr_getpos (&x) == len;
  xdr_destroy (&x);
  return is_valid;
}

/* --- values of rows -------------------------------------------------- */

GByteArray *
mirrorwire_encode_listing (const struct fleet_listing *l)
{
  peer_listing p = { .slots = (u_int)MAX (l->slots, 0) };

  p.address = (char *)l->address;
  p.service = (char *)l->service;
  p.domain = (char *)l->domain;
  p.model = (char *)l->model;
  p.build = (char *)l->build;
  p.started_ms = (uint64_t)l->started_ms;
  p.weights = (uint64_t)l->version;
  p.draining = l->draining;
  p.cold_ms = (u_int)CLAMP (l->cold_us / CQ_US_PER_MS, 0, COLD_MAX_MS);
  return encode ((xdrproc_t)xdr_peer_listing, &p);
}

static bool
copy_listing (const char *key, const peer_listing *p, struct fleet_listing *l)
{
  memset (l, 0, sizeof *l);
  l->started_ms = (int64_t)p->started_ms;
  l->version = (int64_t)p->weights;
  l->slots = (int)p->slots;
  l->draining = p->draining;
  l->cold_us = (int64_t)MIN (p->cold_ms, COLD_MAX_MS) * CQ_US_PER_MS;
  return g_strlcpy (l->id, key, sizeof l->id) < sizeof l->id
         && g_strlcpy (l->address, p->address, sizeof l->address)
                < sizeof l->address
         && g_strlcpy (l->service, p->service, sizeof l->service)
                < sizeof l->service
         && g_strlcpy (l->domain, p->domain, sizeof l->domain)
                < sizeof l->domain
         && g_strlcpy (l->model, p->model, sizeof l->model) < sizeof l->model
         && g_strlcpy (l->build, p->build, sizeof l->build) < sizeof l->build
         && l->id[0] != '\0' && l->address[0] != '\0' && l->started_ms >= 0
         && l->version >= 0 && l->slots >= 0;
}

bool
mirrorwire_decode_listing (const char *key, const uint8_t *data, size_t len,
                           struct fleet_listing *l)
{
  peer_listing p = { 0 };
  bool is_valid = decode ((xdrproc_t)xdr_peer_listing, data, len, &p)
                  && copy_listing (key, &p, l);

  xdr_free ((xdrproc_t)xdr_peer_listing, &p);
  return is_valid;
}

GByteArray *
mirrorwire_encode_vm (const struct roster_row *r)
{
  peer_vm p = { .link_mbit_s = (u_int)r->link_mbit_s };

  p.domain = (char *)r->domain;
  p.address = (char *)r->address;
  p.list_address = (char *)r->list_address;
  return encode ((xdrproc_t)xdr_peer_vm, &p);
}

bool
mirrorwire_decode_vm (const char *key, int64_t version, const uint8_t *data,
                      size_t len, struct roster_row *r)
{
  peer_vm p = { 0 };
  bool is_valid = decode ((xdrproc_t)xdr_peer_vm, data, len, &p);

  memset (r, 0, sizeof *r);
  if (is_valid)
    {
      r->version = version;
      r->link_mbit_s = (int)MIN (p.link_mbit_s, G_MAXINT);
      is_valid = g_strlcpy (r->vm, key, sizeof r->vm) < sizeof r->vm
                 && g_strlcpy (r->domain, p.domain, sizeof r->domain)
                        < sizeof r->domain
                 && g_strlcpy (r->address, p.address, sizeof r->address)
                        < sizeof r->address
                 && g_strlcpy (r->list_address, p.list_address,
                               sizeof r->list_address)
                        < sizeof r->list_address
                 && r->vm[0] != '\0' && r->address[0] != '\0';
    }
  xdr_free ((xdrproc_t)xdr_peer_vm, &p);
  return is_valid;
}

/* --- rows ------------------------------------------------------------ */

GBytes *
mirrorwire_encode_rows (const GArray *rows)
{
  g_autofree peer_row *list = g_new0 (peer_row, rows->len + 1);
  peer_rows all = { .rows = { MIN (rows->len, PEER_ROWS_MAX), list } };
  guint i;

  for (i = 0; i < rows->len; i++)
    {
      const struct mirror_row *r = &g_array_index (rows, struct mirror_row, i);

      list[i].key = (char *)r->key;
      list[i].change = (uint64_t)r->version;
      list[i].removed = r->removed;
      list[i].value.value_val = (char *)r->value;
      list[i].value.value_len = (u_int)r->len;
    }
  return g_byte_array_free_to_bytes (encode ((xdrproc_t)xdr_peer_rows, &all));
}

bool
mirrorwire_decode_rows (const uint8_t *data, size_t len,
                        void (*fn) (void *arg, const struct mirror_row *row),
                        void *arg)
{
  peer_rows all = { 0 };
  bool is_valid = decode ((xdrproc_t)xdr_peer_rows, data, len, &all);
  u_int i;

  for (i = 0; is_valid && i < all.rows.rows_len; i++)
    {
      const peer_row *p = &all.rows.rows_val[i];
      struct mirror_row r = { .key = p->key, .removed = p->removed };

      r.version = (int64_t)p->change;
      r.value = (const uint8_t *)p->value.value_val;
      r.len = p->value.value_len;
      is_valid = r.version > 0 && r.key[0] != '\0';
      if (is_valid)
        fn (arg, &r);
    }
  xdr_free ((xdrproc_t)xdr_peer_rows, &all);
  return is_valid;
}

/* --- seals ----------------------------------------------------------- */

/* The shared key also seals messages of another kind, which must not be taken
   for these. */
static void
derive_key (const uint8_t *key, uint8_t derived[MIRRORWIRE_KEY_BYTES])
{
  static const char context[] = "camphorquay list";

  crypto_generichash (derived, MIRRORWIRE_KEY_BYTES,
                      (const unsigned char *)context, sizeof context, key,
                      MIRRORWIRE_KEY_BYTES);
}

static GByteArray *
seal (const GByteArray *plain, const uint8_t *key)
{
  uint8_t derived[MIRRORWIRE_KEY_BYTES];
  uint8_t nonce[NONCE_BYTES];
  GByteArray *out = g_byte_array_new ();

  derive_key (key, derived);
  randombytes_buf (nonce, sizeof nonce);
  g_byte_array_append (out, nonce, sizeof nonce);
  g_byte_array_set_size (out, (guint)(NONCE_BYTES + MAC_BYTES) + plain->len);
  crypto_secretbox_easy (out->data + NONCE_BYTES, plain->data, plain->len,
                         nonce, derived);
  sodium_memzero (derived, sizeof derived);
  return out;
}

/* Opens a box that holds exactly LEN bytes. */
static bool
unseal (const uint8_t *data, const uint8_t *key, uint8_t *plain, size_t len)
{
  uint8_t derived[MIRRORWIRE_KEY_BYTES];
  bool is_valid;

  derive_key (key, derived);
  is_valid = crypto_secretbox_open_easy (plain, data + NONCE_BYTES,
                                         len + MAC_BYTES, data, derived)
             == 0;
  sodium_memzero (derived, sizeof derived);
  return is_valid;
}

GByteArray *
mirrorwire_seal_request (const struct mirror_request *r, const uint8_t *key)
{
  peer_list_request p = { .table = (u_int)r->table };
  g_autoptr (GByteArray) plain = NULL;

  memcpy (p.nonce, r->nonce, sizeof p.nonce);
  p.era = (uint64_t)r->era;
  p.since = (uint64_t)r->since;
  plain = encode ((xdrproc_t)xdr_peer_list_request, &p);
  return seal (plain, key);
}

bool
mirrorwire_open_request (const uint8_t *data, size_t len, const uint8_t *key,
                         struct mirror_request *r)
{
  uint8_t plain[REQUEST_BYTES];
  peer_list_request p = { 0 };

  if (len != NONCE_BYTES + MAC_BYTES + sizeof plain
      || !unseal (data, key, plain, sizeof plain)
      || !decode ((xdrproc_t)xdr_peer_list_request, plain, sizeof plain, &p)
      || p.table >= MIRROR_TABLES || p.since > G_MAXINT64
      || p.era > G_MAXINT64)
    return false;
  memcpy (r->nonce, p.nonce, sizeof r->nonce);
  r->table = (enum mirror_table)p.table;
  r->era = (int64_t)p.era;
  r->since = (int64_t)p.since;
  return true;
}

void
mirrorwire_digest (GBytes *rows, uint8_t digest[MIRRORWIRE_DIGEST_BYTES])
{
  gsize len;
  const uint8_t *data = g_bytes_get_data (rows, &len);

  crypto_generichash (digest, MIRRORWIRE_DIGEST_BYTES, data, len, NULL, 0);
}

GByteArray *
mirrorwire_seal_reply (const struct mirror_reply *r,
                       const uint8_t digest[MIRRORWIRE_DIGEST_BYTES],
                       const uint8_t *key)
{
  peer_list_reply p = { .status = (u_int)r->status };
  g_autoptr (GByteArray) plain = NULL;

  memcpy (p.nonce, r->nonce, sizeof p.nonce);
  p.depth = (u_int)r->depth;
  p.era = (uint64_t)r->era;
  p.change = (uint64_t)r->version;
  p.age_ms = (uint64_t)MAX (r->age_ms, 0);
  p.operator_row = (uint64_t)r->operator_row;
  p.operator_change = (uint64_t)r->operator_version;
  p.operator_age_ms
      = r->operator_age_ms < 0 ? UINT64_MAX : (uint64_t)r->operator_age_ms;
  memcpy (p.digest, digest, sizeof p.digest);
  plain = encode ((xdrproc_t)xdr_peer_list_reply, &p);
  return seal (plain, key);
}

static bool
copy_reply (const peer_list_reply *p, struct mirror_reply *r)
{
  memcpy (r->nonce, p->nonce, sizeof r->nonce);
  r->status = (enum mirror_status)p->status;
  r->depth = (int)MIN (p->depth, G_MAXINT16);
  r->era = (int64_t)p->era;
  r->version = (int64_t)p->change;
  r->age_ms = (int64_t)MIN (p->age_ms, (uint64_t)AGE_MAX_MS);
  r->operator_row = (int64_t)p->operator_row;
  r->operator_version = (int64_t)p->operator_change;
  r->operator_age_ms = p->operator_age_ms > (uint64_t)AGE_MAX_MS
                           ? -1
                           : (int64_t)p->operator_age_ms;
  return p->status <= MIRROR_NOT_READY && r->era >= 0 && r->version >= 0
         && r->operator_row >= 0 && r->operator_version >= 0;
}

bool
mirrorwire_open_reply (const uint8_t *data, size_t len, const uint8_t *key,
                       const uint8_t *nonce, struct mirror_reply *r,
                       const uint8_t **rows)
{
  uint8_t plain[REPLY_BYTES], digest[MIRRORWIRE_DIGEST_BYTES];
  peer_list_reply p = { 0 };

  if (len < REPLY_HEAD_BYTES || !unseal (data, key, plain, sizeof plain)
      || !decode ((xdrproc_t)xdr_peer_list_reply, plain, sizeof plain, &p)
      || memcmp (p.nonce, nonce, sizeof p.nonce) != 0)
    return false;
  *rows = data + REPLY_HEAD_BYTES;
  crypto_generichash (digest, sizeof digest, *rows, len - REPLY_HEAD_BYTES,
                      NULL, 0);
  return memcmp (digest, p.digest, sizeof digest) == 0 && copy_reply (&p, r);
}
