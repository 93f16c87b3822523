/*
 * Sealed messages between VMs.
 *
 * Without it anybody who reaches the port could change settings' revisions or
 * declare VMs dead.  A message is encrypted and authenticated under a shared
 * key; it names its sender, its receiver and the time, and each nonce is taken
 * once, so a recorded message is of no use: not twice, not at another VM, not
 * later.  A reply is bound to the nonce of its call.
 */
#include "peers.h"

#include <sodium.h>
#include <string.h>

#define FRESH_MS INT64_C (30000) /* how far clocks of VMs may be apart */
#define NONCE_BYTES crypto_aead_xchacha20poly1305_ietf_NPUBBYTES
#define TAG_BYTES crypto_aead_xchacha20poly1305_ietf_ABYTES
#define KEY_BYTES crypto_aead_xchacha20poly1305_ietf_KEYBYTES

/* A key with its number. */
struct seal_key
{
  unsigned id;              /* travels with the message */
  uint8_t bytes[KEY_BYTES]; /* secret */
};

struct seal
{
  char *name;            /* this VM */
  struct seal_key *keys; /* the first one seals */
  int nkeys;             /* their number */
  GMutex lock;           /* guards seen */
  GHashTable *seen;      /* nonces of the present window */
  GHashTable *before;    /* and of the one before */
  int64_t window_ms;     /* start of the present window */
};

struct seal *
seal_new (const char *name, char *const *keys)
{
  struct seal *s = g_new0 (struct seal, 1);
  const char *colon;
  int i;

  s->name = g_strdup (name);
  s->keys = g_new0 (struct seal_key, g_strv_length ((char **)keys) + 1);
  for (i = 0; keys[i] != NULL; i++)
    {
      colon = strchr (keys[i], ':');
      if (colon == NULL)
        continue;
      s->keys[s->nkeys].id = (unsigned)g_ascii_strtoull (keys[i], NULL, 10);
      sodium_hex2bin (s->keys[s->nkeys].bytes, KEY_BYTES, colon + 1,
                      strlen (colon + 1), NULL, NULL, NULL);
      s->nkeys++;
    }
  g_mutex_init (&s->lock);
  s->seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  s->before = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return s;
}

void
seal_free (struct seal *s)
{
  sodium_memzero (s->keys, (size_t)s->nkeys * sizeof *s->keys);
  g_free (s->keys);
  g_free (s->name);
  g_hash_table_destroy (s->seen);
  g_hash_table_destroy (s->before);
  g_mutex_clear (&s->lock);
  g_free (s);
}

bool
seal_close (struct seal *s, const peer_envelope *e, const char *bound,
            peer_sealed *out)
{
  GByteArray *plain = peers_encode ((xdrproc_t)xdr_peer_envelope, e);
  unsigned long long len = 0;

  if (plain == NULL || s->nkeys == 0)
    return false;
  out->key_id = s->keys[0].id;
  randombytes_buf (out->nonce, sizeof out->nonce);
  out->box.box_val = malloc (plain->len + TAG_BYTES);
  crypto_aead_xchacha20poly1305_ietf_encrypt (
      (uint8_t *)out->box.box_val, &len, plain->data, plain->len,
      (const uint8_t *)bound, bound != NULL ? NONCE_BYTES : 0, NULL,
      (const uint8_t *)out->nonce, s->keys[0].bytes);
  out->box.box_len = (u_int)len;
  g_byte_array_free (plain, TRUE);
  return true;
}

static const struct seal_key *
find_key (const struct seal *s, unsigned id)
{
  int i;

  for (i = 0; i < s->nkeys; i++)
    if (s->keys[i].id == id)
      return &s->keys[i];
  return NULL;
}

/* Two windows cover every message that is fresh enough to be taken. */
static bool
take_nonce (struct seal *s, const char *nonce, int64_t now_ms)
{
  char hex[2 * NONCE_BYTES + 1];
  bool fresh;

  sodium_bin2hex (hex, sizeof hex, (const uint8_t *)nonce, NONCE_BYTES);
  g_mutex_lock (&s->lock);
  if (now_ms - s->window_ms > 2 * FRESH_MS)
    {
      GHashTable *old = s->before;

      s->before = s->seen;
      s->seen = old;
      g_hash_table_remove_all (s->seen);
      s->window_ms = now_ms;
    }
  fresh = !g_hash_table_contains (s->before, hex)
          && g_hash_table_add (s->seen, g_strdup (hex));
  g_mutex_unlock (&s->lock);
  return fresh;
}

static bool
decrypt (const struct seal *s, const peer_sealed *in, const char *bound,
         peer_envelope *e)
{
  const struct seal_key *key = find_key (s, in->key_id);
  g_autofree uint8_t *plain = NULL;
  unsigned long long len = 0;

  if (key == NULL || in->box.box_len < TAG_BYTES)
    return false;
  plain = g_malloc (in->box.box_len);
  if (crypto_aead_xchacha20poly1305_ietf_decrypt (
          plain, &len, NULL, (const uint8_t *)in->box.box_val, in->box.box_len,
          (const uint8_t *)bound, bound != NULL ? NONCE_BYTES : 0,
          (const uint8_t *)in->nonce, key->bytes)
      != 0)
    return false;
  return peers_decode ((xdrproc_t)xdr_peer_envelope, (const char *)plain,
                       (size_t)len, e);
}

bool
seal_open (struct seal *s, const peer_sealed *in, const char *bound,
           int64_t now_ms, peer_envelope *e)
{
  int64_t age;

  memset (e, 0, sizeof *e);
  if (!decrypt (s, in, bound, e))
    return false;
  age = now_ms - (int64_t)e->sent_ms;
  if (age < FRESH_MS && age > -FRESH_MS && strcmp (e->receiver, s->name) == 0
      && take_nonce (s, in->nonce, now_ms))
    return true;
  xdr_free ((xdrproc_t)xdr_peer_envelope, e);
  memset (e, 0, sizeof *e);
  return false;
}
