/* Encoding of a load message as a datagram (XDR). */
#include "loadgossip.h"

#include <string.h>

#include "peer.h"
#include "sealbox.h"

/* No prompt and no endpoint's memory is larger; with this cap, sums over all
   VMs stay far below 2^63. */
#define TOKENS_MAX 1000000000
/* A message of 40 entries takes at most 1.5 KB. */
#define MESSAGE_MAX_BYTES 2048
/* No endpoint runs or queues more requests. */
#define REQUESTS_MAX 1000000
/* Figures of speed outside of these bounds count as not reported. */
#define SPEED_MIN_PERCENT 10
#define SPEED_MAX_PERCENT 10000
/* Encoded sizes: of an entry, of a report, and of the numbers besides these
   and the names. */
#define ENTRY_BYTES 32
#define REPORT_BYTES 28
#define FIXED_BYTES (4 + 4 + 4 + 8 + 8 + 4 + 4)
/* First word of the plain text of a sealed message.  Other messages under the
   same key begin with a count, which is far smaller. */
#define KIND_WORK 0x6c726431

/* First bytes of a sealed message. */
static const uint8_t magic[SEALBOX_MAGIC_BYTES] = { 0xc4, 'l', 'r', '1' };

/* Fills in WORK, whose entries are put into ENTRIES. */
static void
fill_work (const struct load_gossip *w, peer_work *work,
           peer_work_entry entries[LOAD_ENTRIES_MAX])
{
  int i;

  *work = (peer_work){ .life = w->incarnation, .beat = w->seq };
  work->vm = (char *)w->vm;
  work->domain = (char *)w->domain;
  work->entries.entries_len = (u_int)w->nentries;
  work->entries.entries_val = entries;
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
}

GByteArray *
loadgossip_encode (const struct load_gossip *w)
{
  peer_work_entry entries[LOAD_ENTRIES_MAX];
  GByteArray *out = g_byte_array_new ();
  char buf[MESSAGE_MAX_BYTES];
  peer_work work;
  XDR x;

  fill_work (w, &work, entries);
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
  w->nreports = 0;
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

/* --- sealed messages ------------------------------------------------- */

/* XDR pads texts to whole words. */
static int
text_bytes (const char *text)
{
  return (int)(strlen (text) + 3) / 4 * 4;
}

/* Bytes that are left for entries and reports. */
static int
list_room (const struct load_gossip *w)
{
  return LOADGOSSIP_SEALED_MAX - SEALBOX_OVERHEAD - FIXED_BYTES
         - text_bytes (w->vm) - text_bytes (w->domain);
}

int
loadgossip_report_room (const struct load_gossip *w)
{
  int left = list_room (w) - w->nentries * ENTRY_BYTES;

  return CLAMP (left / REPORT_BYTES, 0, LOAD_REPORTS_MAX);
}

static void
fill_report (const struct endpoint_report *r, peer_report *to)
{
  to->endpoint = r->endpoint;
  to->seen = (u_int)r->seen;
  to->age_us = (u_int)CLAMP (r->age_us, 0, UINT32_MAX);
  to->running = CLAMP (r->running, -1, REQUESTS_MAX);
  to->waiting = (u_int)CLAMP (r->waiting, 0, REQUESTS_MAX);
  to->speed_percent = (u_int)MAX (r->speed_percent, 0);
}

/* Entries come first: the load of all VMs is computed from them, while a
   report that does not fit goes into the next message. */
GByteArray *
loadgossip_seal (const struct load_gossip *w, const uint8_t *key)
{
  peer_work_entry entries[LOAD_ENTRIES_MAX];
  peer_report reports[LOAD_REPORTS_MAX];
  peer_sealed_work all = { .kind = KIND_WORK };
  int nentries = MIN (w->nentries, list_room (w) / ENTRY_BYTES);
  int i, nreports = MIN (w->nreports, loadgossip_report_room (w));
  char buf[MESSAGE_MAX_BYTES];
  GByteArray *out = NULL;
  XDR x;

  fill_work (w, &all.work, entries);
  all.work.entries.entries_len = (u_int)nentries;
  all.reports.reports_len = (u_int)nreports;
  all.reports.reports_val = reports;
  for (i = 0; i < nreports; i++)
    fill_report (&w->reports[i], &reports[i]);
  xdrmem_create (&x, buf, sizeof buf, XDR_ENCODE);
  if (xdr_peer_sealed_work (&x, &all))
    out = sealbox_seal (magic, (const uint8_t *)buf, xdr_getpos (&x), key);
  xdr_destroy (&x);
  return out;
}

static bool
is_valid_report (const peer_report *r)
{
  return r->seen <= LOAD_SEEN_FAILED && r->running >= -1
         && r->running <= REQUESTS_MAX && r->waiting <= REQUESTS_MAX;
}

static void
copy_report (const peer_report *from, struct endpoint_report *r)
{
  bool has_speed = from->speed_percent >= SPEED_MIN_PERCENT
                   && from->speed_percent <= SPEED_MAX_PERCENT;

  *r = (struct endpoint_report){ .endpoint = from->endpoint };
  r->seen = (enum load_seen)from->seen;
  r->age_us = from->age_us;
  r->running = from->running;
  r->waiting = (int)from->waiting;
  r->speed_percent = has_speed ? (int)from->speed_percent : 0;
}

/* Returns false, with W unchanged, if a part of the message is invalid. */
static bool
copy_sealed (const peer_sealed_work *all, struct load_gossip *w)
{
  u_int i;

  if (all->kind != KIND_WORK || all->work.vm[0] == '\0'
      || all->work.entries.entries_len > LOAD_ENTRIES_MAX
      || all->reports.reports_len > LOAD_REPORTS_MAX)
    return false;
  for (i = 0; i < all->reports.reports_len; i++)
    if (!is_valid_report (&all->reports.reports_val[i]))
      return false;
  copy_message (&all->work, w);
  w->nreports = (int)all->reports.reports_len;
  for (i = 0; i < all->reports.reports_len; i++)
    copy_report (&all->reports.reports_val[i], &w->reports[i]);
  return true;
}

bool
loadgossip_decode_sealed (const uint8_t *plain, size_t len,
                          struct load_gossip *w)
{
  peer_sealed_work all = { 0 };
  bool good;
  XDR x;

  xdrmem_create (&x, (char *)plain, (u_int)len, XDR_DECODE);
  good = xdr_peer_sealed_work (&x, &all) && copy_sealed (&all, w);
  xdr_destroy (&x);
  xdr_free ((xdrproc_t)xdr_peer_sealed_work, &all);
  return good;
}

/*
 * Reports take endpoints out of service, and anybody can send to the port.  A
 * replayed message is rejected by its sequence number.
 */
bool
loadgossip_open (const uint8_t *data, size_t len, const uint8_t *key,
                 struct load_gossip *w)
{
  g_autoptr (GByteArray) plain = NULL;

  if (len > LOADGOSSIP_SEALED_MAX)
    return false;
  plain = sealbox_open (magic, data, len, key);
  return plain != NULL
         && loadgossip_decode_sealed (plain->data, plain->len, w);
}
