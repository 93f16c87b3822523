/*
 * libFuzzer target for what parses bytes of callers, engines and peers.  The
 * first byte chooses the parser, so that one corpus serves all.
 */
#include <stdint.h>
#include <string.h>

#include "evt.h"
#include "peer.h"
#include "platform/platform.h"
#include "wire.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
fuzz_prompt (const char *data, size_t size, bool chat)
{
  struct prompt_extra extra = { .cache_salt = "w", .max_tokens = 1 };
  struct prompt p, again;
  GError *err = NULL;
  char *text;

  if (!prompt_read (data, size, chat, &p, &err))
    {
      g_error_free (err);
      return;
    }
  text = prompt_write (&p, &extra);
  /* What is sent on must be readable again, and the same prompt. */
  if (!prompt_read (text, strlen (text), chat, &again, NULL))
    g_error ("written prompt cannot be read");
  if (!g_string_equal (p.text, again.text))
    g_error ("written prompt is another");
  prompt_clear (&again);
  prompt_clear (&p);
  g_free (text);
}

static void
fuzz_stream (const char *data, size_t size)
{
  GString *out = g_string_new (NULL);
  struct strm s;
  size_t half = size / 2;

  strm_init (&s, "v1", 64);
  strm_attempt (&s, 1);
  if (strm_feed (&s, 1, data, half, out) == STRM_MORE)
    strm_feed (&s, 1, data + half, size - half, out);
  if (out->len > size)
    g_error ("more came out than went in");
  strm_clear (&s);
  g_string_free (out, TRUE);
}

/* What other VMs send, once it is unsealed. */
static void
fuzz_peer (const char *data, size_t size, xdrproc_t proc, void *value)
{
  XDR x;

  xdrmem_create (&x, (char *)data, (u_int)size, XDR_DECODE);
  proc (&x, value);
  xdr_free (proc, value);
}

static void
fuzz_peers (const char *data, size_t size)
{
  peer_ping ping = { 0 };
  peer_changes changes = { 0 };
  peer_sealed sealed = { 0 };
  peer_envelope envelope = { 0 };

  fuzz_peer (data, size, (xdrproc_t)xdr_peer_ping, &ping);
  fuzz_peer (data, size, (xdrproc_t)xdr_peer_changes, &changes);
  fuzz_peer (data, size, (xdrproc_t)xdr_peer_sealed, &sealed);
  fuzz_peer (data, size, (xdrproc_t)xdr_peer_envelope, &envelope);
}

/* What the platform's store holds. */
static void
fuzz_platform (const char *data, size_t size)
{
  struct news news = { 0 };
  struct part_news parts = { 0 };
  struct fleet_conf *c = pdecode_conf (data, size);
  struct fleet_listing listing;
  char model[FLEET_NAME_SIZE];
  int64_t version;

  if (c != NULL)
    {
      fleet_route_find (c, "h", "/a/b");
      fleet_conf_unref (c);
    }
  if (pdecode_endpoint ("id", data, size, &listing)
      && listing.address[0] == '\0')
    g_error ("an endpoint without an address");
  if (pdecode_wanted (data, size, model, sizeof model, &version)
      && version <= 0)
    g_error ("a version that is none");
  news.items = g_array_new (FALSE, TRUE, sizeof (struct news_item));
  pdecode_rows (data, size, &news);
  pdecode_clear (&news);
  parts.events = g_array_new (FALSE, TRUE, sizeof (struct part_event));
  pdecode_parts (data, size, &parts);
  g_array_free (parts.events, TRUE);
}

/* Texts of headers and of the lease's row. */
static void
fuzz_texts (const char *data, size_t size)
{
  g_autofree char *text = g_strndup (data, size);
  struct part parts[PARTS_MAX];
  struct lease_row row;
  int i, n = pdecode_prompt (text, parts, PARTS_MAX);

  if (n < 0 || n > PARTS_MAX)
    g_error ("more parts than there is room for");
  for (i = 0; i < n; i++)
    if (strlen (parts[i].id) >= sizeof parts[i].id)
      g_error ("an id without an end");
  if (pdecode_load (text) < -1)
    g_error ("a load that is none");
  pdecode_lease (text, &row);
  if (memchr (row.holder, '\0', sizeof row.holder) == NULL)
    g_error ("a holder without an end");
}

/* Events that are passed on, whatever the cut. */
static void
fuzz_events (const char *data, size_t size)
{
  g_autoptr (GString) out = g_string_new (NULL);
  size_t half = size / 2;
  struct evt e;

  evt_init (&e, -1);
  evt_feed (&e, data, half, 4096, out);
  evt_feed (&e, data + half, size - half, 4096, out);
  if (out->len + e.part->len > size)
    g_error ("more came out than went in");
  evt_clear (&e);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  char version[WIRE_VERSION_MAX];
  int64_t cached;
  const char *text = (const char *)data + 1;

  if (size == 0)
    return 0;
  switch (data[0] % 8)
    {
    case 0:
      fuzz_prompt (text, size - 1, false);
      break;
    case 1:
      fuzz_prompt (text, size - 1, true);
      break;
    case 2:
      fuzz_stream (text, size - 1);
      break;
    case 3:
      fuzz_peers (text, size - 1);
      break;
    case 4:
      fuzz_platform (text, size - 1);
      break;
    case 5:
      fuzz_events (text, size - 1);
      break;
    case 6:
      fuzz_texts (text, size - 1);
      break;
    default:
      answer_version (text, size - 1, version, sizeof version, &cached);
    }
  return 0;
}
