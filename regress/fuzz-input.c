/*
 * libFuzzer target for the parsers of input from callers, engines, the
 * platform and peers.  The first byte selects the parser, so that one corpus
 * serves all.
 */
#include <stdint.h>
#include <string.h>

#include "sse.h"
#include "buildfeed.h"
#include "originstore.h"
#include "originwire.h"
#include "pathwire.h"
#include "peer.h"
#include "sealbox.h"
#include "platform/platform.h"
#include "wire.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
fuzz_prompt (const char *data, size_t size, bool chat)
{
  struct prompt_extra extra = { .cache_salt = "w", .max_tokens = 1 };
  struct prompt p, reparsed;
  GError *err = NULL;
  char *text;

  if (!prompt_parse (data, size, chat, &p, &err))
    {
      g_error_free (err);
      return;
    }
  text = prompt_to_json (&p, &extra);
  /* The request that is sent on must parse, and have the same prompt. */
  if (!prompt_parse (text, strlen (text), chat, &reparsed, NULL))
    g_error ("written request does not parse");
  if (!g_string_equal (p.text, reparsed.text))
    g_error ("written request has another prompt");
  prompt_clear (&reparsed);
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
  strm_start_attempt (&s, 1);
  if (strm_feed (&s, 1, data, half, out) == STRM_MORE)
    strm_feed (&s, 1, data + half, size - half, out);
  if (out->len > size)
    g_error ("output longer than the input");
  strm_clear (&s);
  g_string_free (out, TRUE);
}

/* Messages of other VMs, after decryption. */
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

/* Rows and replies of the platform's store. */
static void
fuzz_platform (const char *data, size_t size)
{
  struct follow_reply news = { 0 };
  struct partfeed_reply parts = { 0 };
  struct fleet_conf *c = pdecode_conf (data, size);
  struct fleet_listing listing;
  char model[FLEET_NAME_SIZE];
  int64_t version;

  if (c != NULL)
    {
      fleet_route_find (c, "h", "/a/b");
      fleet_conf_unref (c);
    }
  if (pdecode_endpoint ("id", data, size, &listing) == NULL
      && (listing.address[0] == '\0' || listing.service[0] == '\0'
          || listing.slots <= 0 || listing.started_ms < 0))
    g_error ("an endpoint without address, service or slots");
  if (pdecode_wanted (data, size, model, sizeof model, &version)
      && version <= 0)
    g_error ("a weight version that is not positive");
  news.items = g_array_new (FALSE, TRUE, sizeof (struct follow_item));
  pdecode_rows (data, size, &news);
  pdecode_clear (&news);
  parts.events = g_array_new (FALSE, TRUE, sizeof (struct partfeed_event));
  pdecode_parts (data, size, &parts);
  g_array_free (parts.events, TRUE);
}

/* Header values, and the row of the lease. */
static void
fuzz_texts (const char *data, size_t size)
{
  g_autofree char *text = g_strndup (data, size);
  struct part parts[PARTS_MAX];
  struct lease_row row;
  int running, waiting, speed;
  int i, n = pdecode_prompt (text, parts, PARTS_MAX);

  if (n < 0 || n > PARTS_MAX)
    g_error ("more parts than PARTS_MAX");
  for (i = 0; i < n; i++)
    if (strlen (parts[i].id) >= sizeof parts[i].id)
      g_error ("a part's id without a terminating NUL");
  pdecode_load (text, &running, &waiting, &speed);
  if (running < -1 || waiting < 0
      || (speed != 0
          && (speed < SPEED_MIN_PERCENT || speed > SPEED_MAX_PERCENT)))
    g_error ("a load out of its range");
  pdecode_lease (text, &row);
  if (memchr (row.holder, '\0', sizeof row.holder) == NULL)
    g_error ("a lease holder without a terminating NUL");
}

/* Events that are relayed, received in two pieces. */
static void
fuzz_events (const char *data, size_t size)
{
  g_autoptr (GString) out = g_string_new (NULL);
  size_t half = size / 2;
  struct sse e;

  sse_init (&e, -1);
  sse_feed (&e, data, half, 4096, out);
  sse_feed (&e, data + half, size - half, 4096, out);
  if (out->len + e.partial->len > size)
    g_error ("output longer than the input");
  sse_clear (&e);
}

/* --- complete sets of headers ---------------------------------------- */

/* Names that a first byte of 1 and up selects; the other bytes follow it. */
static const char *const header_names[] = {
  "Host",
  "Authorization",
  "Connection",
  "X-Deadline-Ms",
  "Last-Event-Id",
  "X-Prompt-Prefix",
  "X-Attempt-Id",
  "X-Tenant",
  "X-Cache-Salt",
  "X-Hold",
  "X-Pin-Ms",
  "X-Kv-",
  "Kv-From",
  "X-Expect-",
  "X-Request-Priority",
  "Content-Type",
  "Transfer-Encoding",
  "X-Server-Seal",
  "X-Server-Load",
  "X-Weight-Versions",
  "X-Not-Executed",
  "X-Instance-Id",
  "X-Mine",
  "HTTP/1.1 200 OK",
};

/* Headers that only the system may set, or that no endpoint may get.  Names
   that end in a hyphen are prefixes. */
static const char *const not_relayed[] = {
  "Authorization", "Connection", "Host",          "Kv-From",
  "X-Cache-Salt",  "X-Expect-",  "X-Hold",        "X-Kv-",
  "X-Pin-Ms",      "X-Tenant",   "X-Deadline-Ms", "Transfer-Encoding",
  "Last-Event-Id",
};

/* Values that a first byte selects in the same way. */
static const char *const header_values[] = {
  "-1",
  "0",
  "9223372036854775807",
  "18446744073709551615",
  "Token k1",
  "id",
  "aa:10,bb:5,cc:",
  "a:9223372036854775807,b:9223372036854775807,c:1",
  "X-Mine, close",
  "life",
  "1,",
  "15000",
};

/* DATA with its first byte replaced by the entry of TABLE that it selects, if
   any. */
static char *
expand (const char *data, size_t size, const char *const *table, size_t n)
{
  unsigned first = size > 0 ? (unsigned char)data[0] : 0;

  if (first < 1 || first > n)
    return g_strndup (data, size);
  return g_strdup_printf ("%s%.*s", table[first - 1], (int)size - 1, data + 1);
}

/* Reads alternating names and values, each terminated by a NUL. */
static GPtrArray *
read_headers (const char *data, size_t size)
{
  GPtrArray *list = g_ptr_array_new_with_free_func (g_free);
  size_t at = 0, n;

  for (; at < size; at += n + 1)
    {
      n = strnlen (data + at, size - at);
      g_ptr_array_add (list, list->len % 2 == 0
                                 ? expand (data + at, n, header_names,
                                           G_N_ELEMENTS (header_names))
                                 : expand (data + at, n, header_values,
                                           G_N_ELEMENTS (header_values)));
    }
  if (list->len % 2 != 0)
    g_ptr_array_add (list, g_strdup (""));
  return list;
}

/* Whether a Connection header of LIST lists NAME. */
static bool
is_listed_in_connection (const GPtrArray *list, const char *name)
{
  bool found = false;
  guint i;
  int k;

  for (i = 0; i < list->len; i += 2)
    {
      g_auto (GStrv) names = NULL;

      if (g_ascii_strcasecmp (list->pdata[i], "Connection") != 0)
        continue;
      names = g_strsplit (list->pdata[i + 1], ",", -1);
      for (k = 0; names[k] != NULL; k++)
        found |= g_ascii_strcasecmp (g_strstrip (names[k]), name) == 0;
    }
  return found;
}

static void
check_line (const GPtrArray *list, const char *line)
{
  g_autofree char *name = g_strndup (line, strcspn (line, ":"));
  size_t i, n;

  if (name[0] == '\0' || !g_str_has_prefix (line + strlen (name), ": "))
    g_error ("a line that is not a header");
  if (strpbrk (line, "\r\n") != NULL || strpbrk (name, " \t") != NULL)
    g_error ("a header with a line break, or a blank in its name");
  for (i = 0; i < G_N_ELEMENTS (not_relayed); i++)
    {
      n = strlen (not_relayed[i]);
      if (not_relayed[i][n - 1] != '-')
        n++;
      if (g_ascii_strncasecmp (name, not_relayed[i], n) == 0)
        g_error ("passed on: %s", not_relayed[i]);
    }
  if (is_listed_in_connection (list, name))
    g_error ("passed on: a header that Connection lists");
}

static void
check_asked (const GPtrArray *list, const struct preqhead *a)
{
  int64_t tokens = 0;
  guint i;
  int k;

  if (a->forwarded->len > list->len / 2 + 1
      || a->forwarded->pdata[a->forwarded->len - 1] != NULL)
    g_error ("header list without NULL at its end, or too long");
  for (i = 0; i + 1 < a->forwarded->len; i++)
    check_line (list, a->forwarded->pdata[i]);
  if (a->deadline_ms < -1 || a->deadline_ms > INT64_C (86400000))
    g_error ("a deadline out of its range");
  if (a->resume_after < -1 || a->nparts < 0 || a->nparts > PARTS_MAX)
    g_error ("a number out of its range");
  for (k = 0; k < a->nparts; k++)
    {
      tokens += a->parts[k].tokens;
      if (a->parts[k].tokens < 0 || tokens < 0
          || strlen (a->parts[k].id) >= sizeof a->parts[k].id)
        g_error ("a part with invalid tokens or id");
    }
}

static void
fuzz_asked (const GPtrArray *list)
{
  struct preqhead a;
  guint i;

  preqhead_init (&a);
  for (i = 0; i < list->len; i += 2)
    preqhead_add (&a, list->pdata[i], list->pdata[i + 1]);
  preqhead_finish (&a);
  check_asked (list, &a);
  preqhead_clear (&a);
}

/* Whether X-Attempt-Id in the last head of LIST differs from "id". */
static bool
is_other_attempt (const GPtrArray *list)
{
  bool is_other = false;
  guint i;

  for (i = 0; i < list->len; i += 2)
    {
      g_autofree char *value = NULL;

      if (g_str_has_prefix (list->pdata[i], "HTTP/"))
        is_other = false;
      if (g_ascii_strcasecmp (list->pdata[i], "X-Attempt-Id") != 0)
        continue;
      value = g_strstrip (g_strdup (list->pdata[i + 1]));
      is_other |= strcmp (value, "id") != 0;
    }
  return is_other;
}

static void
check_answered (const GPtrArray *list, const struct preplyhead *a, int status)
{
  const struct relay_head *h = &a->head;

  if (h->status != status || h->version < 0 || h->running < -1)
    g_error ("a number out of its range");
  if (h->genuine && !a->has_server_seal)
    g_error ("a reply without a valid seal counts as genuine");
  if (a->id != NULL && (h->genuine || h->not_run) && is_other_attempt (list))
    g_error ("a reply to another attempt counts as ours");
  if (h->lines[g_strv_length (h->lines)] != NULL
      || g_strv_length (h->lines) + 1 != a->forwarded->len)
    g_error ("header list without NULL at its end");
}

static void
fuzz_answered (const GPtrArray *list, int status)
{
  struct preplyhead a;
  guint i;

  preplyhead_init (&a, status == 200 ? "id" : NULL, "life");
  for (i = 0; i < list->len; i += 2)
    {
      g_autofree char *line = g_strdup_printf (
          "%s: %s\r\n", (char *)list->pdata[i], (char *)list->pdata[i + 1]);

      preplyhead_add (&a, line, strlen (line));
    }
  preplyhead_finish (&a, status);
  check_answered (list, &a, status);
  preplyhead_clear (&a);
}

static void
fuzz_headers (const char *data, size_t size)
{
  /* Bounded, since the check of each line goes through all headers. */
  g_autoptr (GPtrArray) list = read_headers (data, MIN (size, 512));

  fuzz_asked (list);
  fuzz_answered (list, 200);
  fuzz_answered (list, 421);
}

/* --- evidence against requests --------------------------------------- */

static void
check_fact (const struct quar_fact *f)
{
  if (f->crash.at_ms <= 0 || f->crash.ran_ms < 0
      || (f->completed && f->crash.endpoint != 0))
    g_error ("a fact out of its range");
}

static void
fuzz_origins (const char *data, size_t size)
{
  static const uint8_t key[SEALBOX_KEY_BYTES] = { 1 };
  struct origin_message m;

  if (originwire_open ((const uint8_t *)data, size, key, &m))
    g_error ("accepted a datagram without a valid seal");
  if (originwire_decode ((const uint8_t *)data, size, &m)
      && (m.keep_us < 0 || m.keep_us > ORIGIN_KEEP_MAX_US || m.at_ms < 0))
    g_error ("a message of a stream is out of bounds");
}

/* Rows in which VMs keep builds and streams. */
static void
fuzz_rows (const char *data, size_t size)
{
  g_autoptr (GArray) streams
      = g_array_new (FALSE, FALSE, sizeof (struct originstore_entry));
  struct fleet_build b;
  int64_t left_ms;

  if (buildfeed_decode ((const uint8_t *)data, size, &b, &left_ms)
      && (left_ms < 0 || b.service[0] == '\0'))
    g_error ("a build is out of bounds");
  originstore_decode ((const uint8_t *)data, size, streams);
  if (streams->len > ORIGINSTORE_ROW_MAX)
    g_error ("more streams than a row holds");
}

static void
fuzz_paths (const char *data, size_t size)
{
  static const uint8_t nonce[PATHWIRE_NONCE_BYTES];
  struct vmpath_answer a;

  if (pathwire_decode_answer ((const uint8_t *)data, size, nonce, &a)
      && (a.nunreached > VMPATH_SERVICES_MAX || a.forwarded < 0))
    g_error ("an answer on paths is out of bounds");
}

static void
fuzz_facts (const char *data, size_t size)
{
  static const uint8_t key[QUARWIRE_KEY_BYTES] = { 1 };
  g_autoptr (GArray) facts
      = g_array_new (FALSE, FALSE, sizeof (struct quar_fact));
  struct rowstore_reply rows
      = { .rows = g_array_new (FALSE, TRUE, sizeof (struct rowstore_row)) };
  struct quar *q = quar_new (60000);
  bool more;
  guint i;

  if (quarwire_open ((const uint8_t *)data, size, key, facts))
    g_error ("accepted a datagram without a valid seal");
  quarwire_decode ((const uint8_t *)data, size, facts);
  if (facts->len > QUARWIRE_ROW_MAX)
    g_error ("more facts than a row holds");
  for (i = 0; i < facts->len; i++)
    {
      check_fact (&g_array_index (facts, struct quar_fact, i));
      quar_add_fact (q, &g_array_index (facts, struct quar_fact, i), false);
    }
  for (i = 0; i < facts->len; i++)
    quar_evaluate (q, &g_array_index (facts, struct quar_fact, i).id, 3, 1000);
  pdecode_rowstore (data, size, &rows, &more);
  for (i = 0; i < rows.rows->len; i++)
    {
      struct rowstore_row *r
          = &g_array_index (rows.rows, struct rowstore_row, i);

      g_free (r->key);
      if (r->value != NULL)
        g_byte_array_unref (r->value);
    }
  g_array_unref (rows.rows);
  quar_free (q);
}

/* --- a table with an invalid entry ----------------------------------- */

#define VALID_ENTRY                                                           \
  "eyJTZXJ2aWNlIjoiYXBwIiwiQWRkcmVzcyI6IjEwLjAuMC4xOjEiLCJab25lIjoiZCIs"      \
  "IlN0YXRlIjoicmVhZHkiLCJTbG90cyI6OH0="

static bool
has_endpoint (const struct follow_reply *n, const char *id)
{
  const struct follow_item *it;
  guint i;

  for (i = 0; i < n->items->len; i++)
    {
      it = &g_array_index (n->items, struct follow_item, i);
      if (it->kind == FOLLOW_ITEM_ENDPOINT && strcmp (it->listing.id, id) == 0)
        return true;
    }
  return false;
}

/* Whatever the entry between them contains, the valid entries are read. */
static void
fuzz_table (const char *data, size_t size)
{
  g_autofree char *encoded = g_base64_encode ((const guchar *)data, size);
  g_autofree char *text = g_strdup_printf (
      "{\"Ver\":9,\"Rows\":[{\"Table\":\"servers\",\"Key\":\"a\",\"Ver\":1,"
      "\"Value\":\"%s\"},{\"Table\":\"servers\",\"Key\":\"b\",\"Ver\":2,"
      "\"Value\":\"%s\"},{\"Table\":\"servers\",\"Key\":\"c\",\"Ver\":3,"
      "\"Value\":\"%s\"}],\"HasMore\":false}",
      VALID_ENTRY, encoded, VALID_ENTRY);
  struct follow_reply news = { 0 };

  news.items = g_array_new (FALSE, TRUE, sizeof (struct follow_item));
  if (!pdecode_rows (text, strlen (text), &news))
    g_error ("a table with an invalid entry is not read");
  if (!has_endpoint (&news, "a") || !has_endpoint (&news, "c")
      || news.items->len != 3)
    g_error ("an invalid entry hides valid ones");
  pdecode_clear (&news);
}

static void
check_load (const struct load_gossip *w)
{
  const struct endpoint_report *r;
  int i;

  if (w->nentries < 0 || w->nentries > LOAD_ENTRIES_MAX)
    g_error ("more entries than LOAD_ENTRIES_MAX");
  if (w->nreports < 0 || w->nreports > LOAD_REPORTS_MAX)
    g_error ("more reports than LOAD_REPORTS_MAX");
  for (i = 0; i < w->nentries; i++)
    if (w->entries[i].pending_prefill_tokens < 0
        || w->entries[i].kv_tokens < 0)
      g_error ("a negative amount of work");
  for (i = 0; i < w->nreports; i++)
    {
      r = &w->reports[i];
      if (r->seen > LOAD_SEEN_FAILED || r->age_us < 0 || r->running < -1
          || r->waiting < 0
          || (r->speed_percent != 0
              && (r->speed_percent < 10 || r->speed_percent > 10000)))
        g_error ("a report out of its range");
    }
}

/* Load gossip between VMs, and the list of VMs. */
static void
fuzz_vms (const char *data, size_t size)
{
  static const uint8_t key[QUARWIRE_KEY_BYTES] = { 1 };
  g_autoptr (GArray) list
      = g_array_new (FALSE, TRUE, sizeof (struct roster_row));
  struct load_gossip w = { .nentries = 0 };

  if (loadgossip_decode (data, size, &w))
    check_load (&w);
  if (loadgossip_open ((const uint8_t *)data, size, key, &w))
    g_error ("accepted a load message without a valid seal");
  if (loadgossip_decode_sealed ((const uint8_t *)data, size, &w))
    {
      g_autoptr (GByteArray) again = NULL;

      check_load (&w);
      again = loadgossip_seal (&w, key);
      if (again->len > LOADGOSSIP_SEALED_MAX)
        g_error ("a sealed message over its limit");
      if (!loadgossip_open (again->data, again->len, key, &w))
        g_error ("a sealed message that cannot be opened");
      check_load (&w);
    }
  pdecode_roster (data, size, list);
}

/* --- lists from other VMs -------------------------------------------- */

static void
check_listed (void *arg, const struct mirror_row *row)
{
  struct fleet_listing l;
  struct roster_row vm;

  (void)arg;
  if (row->version <= 0 || row->key[0] == '\0')
    g_error ("a row without a key or version");
  if (mirrorwire_decode_listing (row->key, row->value, row->len, &l)
      && (l.started_ms < 0 || l.version < 0 || l.slots < 0 || l.cold_us < 0))
    g_error ("a negative number of a listing");
  if (mirrorwire_decode_vm (row->key, row->version, row->value, row->len, &vm)
      && vm.link_mbit_s < 0)
    g_error ("a negative bandwidth");
}

/* A stranger's request and reply, and the rows of a VM that is not one. */
static void
fuzz_lists (const uint8_t *data, size_t size)
{
  static const uint8_t key[MIRRORWIRE_KEY_BYTES] = { 1 };
  static const uint8_t nonce[MIRRORWIRE_NONCE_BYTES] = { 2 };
  struct mirror_row row = { .key = "k", .version = 1 };
  struct mirror_request q;
  struct mirror_reply r;
  const uint8_t *rows;

  if (mirrorwire_open_request (data, size, key, &q)
      || mirrorwire_open_reply (data, size, key, nonce, &r, &rows))
    g_error ("accepted a message without a valid seal");
  mirrorwire_decode_rows (data, size, check_listed, NULL);
  row.value = data;
  row.len = size;
  check_listed (NULL, &row);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  char version[WIRE_VERSION_SIZE];
  int64_t cached;
  const char *text = (const char *)data + 1;

  if (size == 0)
    return 0;
  switch (data[0] % 13)
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
    case 7:
      fuzz_headers (text, size - 1);
      break;
    case 8:
      fuzz_table (text, size - 1);
      break;
    case 9:
      fuzz_vms (text, size - 1);
      break;
    case 10:
      fuzz_facts (text, size - 1);
      fuzz_origins (text, size - 1);
      fuzz_rows (text, size - 1);
      fuzz_paths (text, size - 1);
      break;
    case 11:
      fuzz_lists (data + 1, size - 1);
      break;
    default:
      completion_version (text, size - 1, version, sizeof version, &cached);
    }
  return 0;
}
