/* Encoding of a load message as a datagram (XDR). */
#include "loadgossip.h"

#include "peer.h"

/* No prompt and no endpoint's memory is larger; with this cap, sums over all
   VMs stay far below 2^63. */
#define TOKENS_MAX 1000000000
/* A message of 40 entries takes at most 1.5 KB. */
#define MESSAGE_MAX_BYTES 2048

GByteArray *
loadgossip_encode (const struct load_gossip *w)
{
  struct peer_work_entry entries[LOAD_ENTRIES_MAX];
  peer_work work = { .life = w->incarnation, .beat = w->seq };
  GByteArray *out = g_byte_array_new ();
  char buf[MESSAGE_MAX_BYTES];
  XDR x;
  int i;

  work.vm = (char *)w->vm;
  work.domain = (char *)w->domain;
  work.entries.entries_len = (u_int)w->nentries;
  work.entries.entries_val = entries;
  for (i = 0; i < w->nentries; i++)
    {
      const struct load_entry *e = &w->entries[i];

      entries[i].endpoint = e->endpoint;
      entries[i].part = e->part;
      entries[i].unread = (u_int)MIN (e->pending_prefill_tokens, TOKENS_MAX);
      entries[i].held = (u_int)MIN (e->kv_tokens, TOKENS_MAX);
      entries[i].shared_unread
          = (u_int)MIN (e->shared_pending_prefill_tokens, TOKENS_MAX);
      entries[i].shared_held = (u_int)MIN (e->shared_kv_tokens, TOKENS_MAX);
    }
  xdrmem_create (&x, buf, sizeof buf, XDR_ENCODE);
  if (xdr_peer_work (&x, &work))
    g_byte_array_append (out, (const guint8 *)buf, xdr_getpos (&x));
  xdr_destroy (&x);
  return out;
}

static void
copy_message (const peer_work *work, struct load_gossip *w)
{
  u_int i;

  g_strlcpy (w->vm, work->vm, sizeof w->vm);
  g_strlcpy (w->domain, work->domain, sizeof w->domain);
  w->incarnation = work->life;
  w->seq = work->beat;
  w->nentries = (int)work->entries.entries_len;
  for (i = 0; i < work->entries.entries_len; i++)
    {
      const peer_work_entry *e = &work->entries.entries_val[i];

      w->entries[i].endpoint = e->endpoint;
      w->entries[i].part = e->part;
      w->entries[i].pending_prefill_tokens = MIN (e->unread, TOKENS_MAX);
      w->entries[i].kv_tokens = MIN (e->held, TOKENS_MAX);
      w->entries[i].shared_pending_prefill_tokens
          = MIN (e->shared_unread, TOKENS_MAX);
      w->entries[i].shared_kv_tokens = MIN (e->shared_held, TOKENS_MAX);
    }
}

bool
loadgossip_decode (const char *data, size_t len, struct load_gossip *w)
{
  peer_work work = { 0 };
  bool good;
  XDR x;

  xdrmem_create (&x, (char *)data, (u_int)len, XDR_DECODE);
  good = xdr_peer_work (&x, &work) && work.vm[0] != '\0'
         && work.entries.entries_len <= LOAD_ENTRIES_MAX;
  if (good)
    copy_message (&work, w);
  xdr_destroy (&x);
  xdr_free ((xdrproc_t)xdr_peer_work, &work);
  return good;
}
