/* Answers requests of other VMs for the platform's lists. */
#include "mirrorserve.h"

#include <string.h>

#include "decide.h"
#include "met.h"

/* Removed rows that are remembered for clients that have not received their
   removal. */
#define REMOVED_MAX 4096
/* Encoded rows are reused for replies within this time. */
#define ENCODED_US (500 * CQ_US_PER_MS)

struct mirrorserve
{
  struct mirrorserve_opts opts;          /* as made */
  const struct follow *follow;           /* set by attach */
  struct mirror *copies[FOLLOW_SOURCES]; /* copies of both tables */
  int64_t era;                           /* of these */
  GBytes *encoded;                       /* all endpoints, encoded; or NULL */
  uint8_t encoded_digest[MIRRORWIRE_DIGEST_BYTES]; /* of encoded */
  int64_t encoded_us;                              /* when that was made */
  int64_t encoded_current_us; /* its rows were current at that time */
  int64_t encoded_version;    /* version that it covers */
};

static void
drop_encoded (struct mirrorserve *m)
{
  if (m->encoded != NULL)
    g_bytes_unref (m->encoded);
  m->encoded = NULL;
}

/* --- the copies -------------------------------------------------------- */

static void
copy_listing (struct mirror *m, const struct follow_item *it)
{
  g_autoptr (GByteArray) value = NULL;

  if (it->kind == FOLLOW_ITEM_ENDPOINT)
    {
      value = mirrorwire_encode_listing (&it->listing);
      mirror_put (m, it->listing.id, it->row, value->data, value->len);
    }
  else if (it->listing.id[0] != '\0')
    mirror_remove (m, it->listing.id, it->row);
}

static void
copy_raw (struct mirror *m, const struct follow_raw *raw)
{
  gsize len = 0;
  const void *value = NULL;

  if (raw->value != NULL)
    value = g_bytes_get_data (raw->value, &len);
  if (raw->value != NULL)
    mirror_put (m, raw->key, raw->version, value != NULL ? value : "", len);
  else
    mirror_remove (m, raw->key, raw->version);
}

static void
copy_item (struct mirror *m, const struct follow_item *it)
{
  if (it->raw != NULL)
    copy_raw (m, it->raw);
  else
    copy_listing (m, it);
}

void
mirrorserve_observe (struct mirrorserve *m, enum follow_source source,
                     bool full, const struct follow_reply *reply)
{
  struct mirror *copy = m->copies[source];
  guint i;

  if (reply->era > m->era)
    {
      for (i = 0; i < FOLLOW_SOURCES; i++)
        mirror_reset (m->copies[i]);
      drop_encoded (m);
      m->era = reply->era;
    }
  mirror_begin (copy, full, reply->version);
  for (i = 0; i < reply->items->len; i++)
    copy_item (copy, &g_array_index (reply->items, struct follow_item, i));
  mirror_end (copy);
}

/* --- answering ------------------------------------------------------- */

static int64_t
age_ms (int64_t current_us, int64_t now_us)
{
  return (now_us - current_us) / CQ_US_PER_MS + 1;
}

static void
append_row (void *arg, const struct mirror_row *row)
{
  g_array_append_vals (arg, row, 1);
}

/* Makes the encoding of all endpoints that replies share, unless there is a
   recent one. */
static void
update_encoded (struct mirrorserve *m, const struct follow_state *s,
                int64_t now_us)
{
  bool is_same
      = m->encoded != NULL
        && m->encoded_version == mirror_version (m->copies[FOLLOW_ENDPOINTS]);
  g_autoptr (GArray) rows = NULL;

  if (is_same)
    m->encoded_current_us = s->list_current_us;
  if (is_same || (m->encoded != NULL && now_us - m->encoded_us < ENCODED_US))
    return;
  rows = g_array_new (FALSE, FALSE, sizeof (struct mirror_row));
  mirror_each (m->copies[FOLLOW_ENDPOINTS], 0, append_row, rows);
  drop_encoded (m);
  m->encoded = mirrorwire_encode_rows (rows);
  mirrorwire_digest (m->encoded, m->encoded_digest);
  m->encoded_us = now_us;
  m->encoded_current_us = s->list_current_us;
  m->encoded_version = mirror_version (m->copies[FOLLOW_ENDPOINTS]);
}

static GBytes *
encode_after (const struct mirror *m, int64_t since)
{
  g_autoptr (GArray) rows
      = g_array_new (FALSE, FALSE, sizeof (struct mirror_row));

  mirror_each (m, since, append_row, rows);
  return mirrorwire_encode_rows (rows);
}

static GBytes *
encode_roster (struct mirrorserve *m, int64_t now_us, struct mirror_reply *r)
{
  g_autoptr (GArray) vms
      = g_array_new (FALSE, FALSE, sizeof (struct roster_row));
  g_autoptr (GArray) rows
      = g_array_new (FALSE, FALSE, sizeof (struct mirror_row));
  g_autoptr (GPtrArray) values
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_byte_array_unref);
  int64_t current = m->opts.list_roster (m->opts.arg, vms);
  guint i;

  if (current == 0)
    r->status = MIRROR_NOT_READY;
  r->age_ms = age_ms (current, now_us);
  for (i = 0; current != 0 && i < vms->len; i++)
    {
      const struct roster_row *vm = &g_array_index (vms, struct roster_row, i);
      GByteArray *value = mirrorwire_encode_vm (vm);
      struct mirror_row row = { .key = vm->vm, .version = vm->version };

      row.value = value->data;
      row.len = value->len;
      g_ptr_array_add (values, value);
      g_array_append_val (rows, row);
    }
  return mirrorwire_encode_rows (rows);
}

/* Whether the copy of a table that was current at CURRENT_US can be passed
   on. */
static bool
is_copy_known (const struct mirrorserve *m, const struct mirror *copy,
               int64_t current_us, const struct follow_state *s)
{
  return current_us != 0 && s->era == m->era && mirror_is_complete (copy)
         && mirror_count (copy) <= MIRRORWIRE_ROWS_MAX;
}

static enum mirror_status
status_of (const struct mirrorserve *m, const struct mirror_request *q,
           const struct mirror *copy, int64_t current_us,
           const struct follow_state *s)
{
  if (!is_copy_known (m, copy, current_us, s))
    return MIRROR_NOT_READY;
  if (q->since > 0
      && (q->era != m->era || !mirror_has_changes (copy, q->since)))
    return MIRROR_HISTORY_LOST;
  return MIRROR_OK;
}

static GBytes *
encode_operator (struct mirrorserve *m, const struct mirror_request *q,
                 const struct follow_state *s, int64_t now_us,
                 struct mirror_reply *r)
{
  const struct mirror *copy = m->copies[FOLLOW_OPERATOR];

  r->version = s->operator_version;
  r->age_ms = age_ms (s->operator_current_us, now_us);
  r->status = status_of (m, q, copy, s->operator_current_us, s);
  return r->status == MIRROR_OK ? encode_after (copy, q->since)
                                : g_bytes_new (NULL, 0);
}

static GBytes *
encode_endpoints (struct mirrorserve *m, const struct mirror_request *q,
                  const struct follow_state *s, int64_t now_us,
                  struct mirror_reply *r)
{
  const struct mirror *copy = m->copies[FOLLOW_ENDPOINTS];

  r->version = mirror_version (copy);
  r->age_ms = age_ms (s->list_current_us, now_us);
  r->status = status_of (m, q, copy, s->list_current_us, s);
  if (r->status != MIRROR_OK)
    return g_bytes_new (NULL, 0);
  if (q->since > 0)
    return encode_after (copy, q->since);
  update_encoded (m, s, now_us);
  r->version = m->encoded_version;
  r->age_ms = age_ms (m->encoded_current_us, now_us);
  return g_bytes_ref (m->encoded);
}

static GBytes *
encode_table (struct mirrorserve *m, const struct mirror_request *q,
              const struct follow_state *s, int64_t now_us,
              struct mirror_reply *r)
{
  switch (q->table)
    {
    case MIRROR_ROSTER:
      return encode_roster (m, now_us, r);
    case MIRROR_OPERATOR:
      return encode_operator (m, q, s, now_us, r);
    default:
      return encode_endpoints (m, q, s, now_us, r);
    }
}

bool
mirrorserve_answer (struct mirrorserve *m, const uint8_t *data, size_t len,
                    int64_t now_us, struct mirror_answer *answer)
{
  const uint8_t *key = m->opts.seal_key (m->opts.arg);
  uint8_t digest[MIRRORWIRE_DIGEST_BYTES];
  struct mirror_reply r = { .operator_age_ms = -1 };
  struct follow_state state = { 0 };
  struct mirror_request q;

  if (key == NULL || !mirrorwire_open_request (data, len, key, &q))
    return false;
  if (m->follow != NULL)
    follow_get_state (m->follow, &state);
  memcpy (r.nonce, q.nonce, sizeof r.nonce);
  r.era = state.era;
  r.depth = state.list_depth + 1;
  r.operator_row = state.operator_row;
  r.operator_version = state.operator_version;
  if (state.operator_current_us != 0)
    r.operator_age_ms = age_ms (state.operator_current_us, now_us);
  answer->rows = encode_table (m, &q, &state, now_us, &r);
  if (answer->rows == m->encoded)
    memcpy (digest, m->encoded_digest, sizeof digest);
  else
    mirrorwire_digest (answer->rows, digest);
  answer->head = mirrorwire_seal_reply (&r, digest, key);
  met_add (MET_LIST_SERVED, 1);
  return true;
}

/* --- lifecycle ------------------------------------------------------- */

struct mirrorserve *
mirrorserve_new (const struct mirrorserve_opts *opts)
{
  struct mirrorserve *m = g_new0 (struct mirrorserve, 1);
  int i;

  m->opts = *opts;
  for (i = 0; i < FOLLOW_SOURCES; i++)
    m->copies[i] = mirror_new (REMOVED_MAX);
  return m;
}

void
mirrorserve_attach (struct mirrorserve *m, const struct follow *f)
{
  m->follow = f;
}

int64_t
mirrorserve_version (const struct mirrorserve *m, enum follow_source source)
{
  return mirror_version (m->copies[source]);
}

bool
mirrorserve_is_complete (const struct mirrorserve *m,
                         enum follow_source source)
{
  return mirror_is_complete (m->copies[source]);
}

int64_t
mirrorserve_era (const struct mirrorserve *m)
{
  return m->era;
}

void
mirrorserve_free (struct mirrorserve *m)
{
  int i;

  for (i = 0; i < FOLLOW_SOURCES; i++)
    mirror_free (m->copies[i]);
  drop_encoded (m);
  g_free (m);
}
