/* Evidence against requests under which endpoints crash, and the verdict. */
#include "quar.h"

#include <string.h>

/* Incidents from which a request may be quarantined. */
#define INCIDENTS_MIN 3
/*
 * Endpoints that crash within this time probably share a cause other than the
 * request, and count as one incident: when a failure domain loses power, many
 * endpoints that run the same frequent request crash together.
 */
#define INCIDENT_WINDOW_MS 100
/* A run that began after the previous crash and lasted this long shows that
   its endpoint survived that crash, so its own crash is another incident. */
#define SURVIVED_MIN_MS 30
/* Requests considered as causes of other crashes, those with the most crashes
   first. */
#define CAUSES_MAX 16
/* This many incidents suffice whatever the probability, but only for the
   shortest quarantine: while all endpoints keep crashing, a request that many
   callers make may reach this number, too. */
#define INCIDENTS_CERTAIN 6
/* The same of a part, without the restriction on the length. */
#define INCIDENTS_CERTAIN_PART 5
/* A part is tried in this time after its last crash, if another one may be the
   cause, unless it had more incidents than suffice. */
#define TRIAL_FROM_MS 4000
#define TRIAL_TO_MS 10000
/* Crashes that it shares with another part then. */
#define DOUBTFUL_MIN 2
/* This part of the facts that are passed on may be completions, which clear
   parts that many requests share. */
#define COMPLETIONS_DIVISOR 4
/* A request is quarantined if the probability that its crashes coincided by
   chance is at most this. */
#define QUARANTINE_PROBABILITY_MAX 1e-11
/* Likewise for treating a request as suspect. */
#define SUSPECT_PROBABILITY_MAX 1e-6
/* A crash is detected some ms late, so runs shorter than this are no stronger
   evidence. */
#define RAN_MIN_MS 50
/* Facts are kept for this long after the newest one, plus the length of the
   quarantine. */
#define RETENTION_MS 600000
/* Each further incident multiplies the length of the quarantine by this. */
#define QUARANTINE_GROWTH 10
#define QUARANTINE_MAX_MS 86400000

/* A crash and whether this VM observed it. */
struct known_crash
{
  struct quar_crash crash; /* merged from all reports */
  bool own;                /* observed by this VM */
};

/* Evidence about a request. */
struct record
{
  struct reqid id; /* digest of the request */
  struct known_crash crashes[QUAR_CRASHES_PER_REQUEST_MAX]; /* oldest first */
  int n;                  /* entries in crashes */
  int64_t completed_ms;   /* last completed, 0 if never */
  bool is_completion_own; /* this VM observed that */
};

struct quar
{
  GHashTable *records;   /* struct reqid to struct record */
  int64_t quarantine_ms; /* length of a first quarantine, 0 if disabled */
};

static guint
id_hash (gconstpointer key)
{
  guint h;

  memcpy (&h, key, sizeof h);
  return h;
}

static gboolean
id_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (struct reqid)) == 0;
}

struct quar *
quar_new (int64_t quarantine_ms)
{
  struct quar *q = g_new0 (struct quar, 1);

  q->records = g_hash_table_new_full (id_hash, id_equal, NULL, g_free);
  q->quarantine_ms = quarantine_ms;
  return q;
}

void
quar_free (struct quar *q)
{
  g_hash_table_destroy (q->records);
  g_free (q);
}

bool
quar_has_records (const struct quar *q)
{
  return g_hash_table_size (q->records) > 0;
}

static int64_t
updated_ms (const struct record *r)
{
  return r->n > 0 ? MAX (r->crashes[r->n - 1].crash.at_ms, r->completed_ms)
                  : r->completed_ms;
}

bool
quar_has_crashes (const struct quar *q, const struct reqid *id)
{
  const struct record *r = g_hash_table_lookup (q->records, id);

  return r != NULL && r->n > 0;
}

bool
quar_has_crashes_of (const struct quar *q, const struct quar_subject *s)
{
  int i;

  if (quar_has_crashes (q, &s->request))
    return true;
  for (i = 0; i < s->nparts; i++)
    if (quar_has_crashes (q, &s->parts[i]))
      return true;
  return false;
}

/* --- evidence -------------------------------------------------------- */

/* Whether A is evicted before B: fewer crashes, or as many but older. */
static bool
is_evicted_before (const struct record *a, const struct record *b)
{
  if (a->n != b->n)
    return a->n < b->n;
  return updated_ms (a) < updated_ms (b);
}

static void
evict_if_full (struct quar *q)
{
  struct record *r, *least = NULL;
  GHashTableIter it;

  if (g_hash_table_size (q->records) < QUAR_REQUESTS_MAX)
    return;
  g_hash_table_iter_init (&it, q->records);
  while (g_hash_table_iter_next (&it, NULL, (gpointer *)&r))
    if (least == NULL || is_evicted_before (r, least))
      least = r;
  g_hash_table_remove (q->records, &least->id);
}

static struct record *
find_or_add_record (struct quar *q, const struct reqid *id)
{
  struct record *r = g_hash_table_lookup (q->records, id);

  if (r != NULL)
    return r;
  evict_if_full (q);
  r = g_new0 (struct record, 1);
  r->id = *id;
  g_hash_table_insert (q->records, &r->id, r);
  return r;
}

static struct known_crash *
find_crash (struct record *r, uint64_t endpoint)
{
  int i;

  for (i = 0; i < r->n; i++)
    if (r->crashes[i].crash.endpoint == endpoint)
      return &r->crashes[i];
  return NULL;
}

static void
remove_crash (struct record *r, int i)
{
  memmove (&r->crashes[i], &r->crashes[i + 1],
           sizeof r->crashes[0] * (size_t)(--r->n - i));
}

static void
insert_crash (struct record *r, const struct quar_crash *e, bool own)
{
  int i = r->n;

  while (i > 0 && r->crashes[i - 1].crash.at_ms > e->at_ms)
    i--;
  memmove (&r->crashes[i + 1], &r->crashes[i],
           sizeof r->crashes[0] * (size_t)(r->n++ - i));
  r->crashes[i].crash = *e;
  r->crashes[i].own = own;
}

/* Several VMs report the same crash.  The earliest time and the shortest run
   are kept, so that all VMs get the same record whatever the order. */
static bool
merge_crash (struct record *r, struct known_crash *old,
             const struct quar_crash *e, bool own)
{
  struct known_crash new = *old;

  new.crash.at_ms = MIN (old->crash.at_ms, e->at_ms);
  new.crash.ran_ms = MIN (old->crash.ran_ms, e->ran_ms);
  new.own |= own;
  if (new.crash.at_ms == old->crash.at_ms &&new.crash.ran_ms
      == old->crash.ran_ms &&new.own == old->own)
    return false;
  remove_crash (r, (int)(old - r->crashes));
  insert_crash (r, &new.crash, new.own);
  return true;
}

static bool
add_crash (struct quar *q, const struct quar_fact *f, bool own)
{
  struct record *r = find_or_add_record (q, &f->id);
  struct known_crash *old = find_crash (r, f->crash.endpoint);

  if (old != NULL)
    return merge_crash (r, old, &f->crash, own);
  if (f->crash.at_ms <= r->completed_ms)
    return false;
  if (r->n == QUAR_CRASHES_PER_REQUEST_MAX
      && r->crashes[0].crash.at_ms >= f->crash.at_ms)
    return false;
  if (r->n == QUAR_CRASHES_PER_REQUEST_MAX)
    remove_crash (r, 0);
  insert_crash (r, &f->crash, own);
  return true;
}

/*
 * An endpoint completed the request and survived, so other causes are behind
 * the earlier crashes: a request that many callers make runs on most endpoints
 * that crash, whatever the reason.
 */
static bool
add_completion (struct quar *q, const struct quar_fact *f, bool own)
{
  struct record *r = g_hash_table_lookup (q->records, &f->id);

  if (r == NULL || f->crash.at_ms <= r->completed_ms)
    return false;
  r->completed_ms = f->crash.at_ms;
  r->is_completion_own = own;
  while (r->n > 0 && r->crashes[0].crash.at_ms <= r->completed_ms)
    remove_crash (r, 0);
  return true;
}

bool
quar_add_fact (struct quar *q, const struct quar_fact *f, bool own)
{
  return f->completed ? add_completion (q, f, own) : add_crash (q, f, own);
}

/* --- verdict --------------------------------------------------------- */

/* Whether E belongs to another incident than the one that began at FIRST_MS
   and whose last crash was at BEFORE_MS. */
static bool
is_other_incident (const struct quar_crash *e, int64_t first_ms,
                   int64_t before_ms)
{
  return e->at_ms - first_ms > INCIDENT_WINDOW_MS
         || (e->ran_ms >= SURVIVED_MIN_MS
             && e->at_ms - e->ran_ms >= before_ms);
}

/* Number of incidents in which endpoints crashed while they ran R. */
static int
count_incidents (const struct record *r)
{
  const struct quar_crash *e, *before = NULL;
  int64_t first = 0;
  int n = 0;
  int i;

  for (i = 0; i < r->n; i++, before = e)
    {
      e = &r->crashes[i].crash;
      if (before != NULL && !is_other_incident (e, first, before->at_ms))
        continue;
      first = e->at_ms;
      n++;
    }
  return n;
}

static int64_t
total_run_ms (const struct record *r)
{
  int64_t sum = 0;
  int i;

  for (i = 0; i < r->n; i++)
    sum += r->crashes[i].crash.ran_ms;
  return sum;
}

/* Whether A has more incidents than B, or as many after shorter runs.  Ties
   are broken by id, so that exactly one of the requests explains the crash. */
static bool
is_likelier_cause (const struct record *a, const struct record *b)
{
  int na = count_incidents (a), nb = count_incidents (b);
  int64_t ra = total_run_ms (a), rb = total_run_ms (b);

  if (na != nb)
    return na > nb;
  if (ra != rb)
    return ra < rb;
  return memcmp (&a->id, &b->id, sizeof a->id) < 0;
}

static bool
crashed_under (const struct record *r, uint64_t endpoint)
{
  return find_crash ((struct record *)r, endpoint) != NULL;
}

bool
quar_is_crashed (const struct quar *q, uint64_t endpoint)
{
  const struct record *r;
  GHashTableIter it;

  g_hash_table_iter_init (&it, q->records);
  while (g_hash_table_iter_next (&it, NULL, (gpointer *)&r))
    if (crashed_under (r, endpoint))
      return true;
  return false;
}

static bool
is_of_subject (const struct quar_subject *s, const struct record *r)
{
  int i;

  if (id_equal (&s->request, &r->id))
    return true;
  for (i = 0; i < s->nparts; i++)
    if (id_equal (&s->parts[i], &r->id))
      return true;
  return false;
}

/* Whether all endpoints that crashed under R crashed under O. */
static bool
covers (const struct record *o, const struct record *r)
{
  int i;

  for (i = 0; i < r->n; i++)
    if (!crashed_under (o, r->crashes[i].crash.endpoint))
      return false;
  return true;
}

/* Whether O explains the crashes of R better, or as well as R if they are
   parts: either may be the cause then.  A part that was at all of R's crashes
   explains them as well, whatever the number of incidents: that depends on the
   runs, and those of a part that sound requests share are shorter. */
static bool
is_better_explanation (const struct record *o, const struct record *r)
{
  int no = count_incidents (o), nr = count_incidents (r);

  if (!reqid_is_part (&o->id) && !reqid_is_part (&r->id))
    return is_likelier_cause (o, r);
  return no > nr
         || (reqid_is_part (&o->id) && reqid_is_part (&r->id)
             && covers (o, r));
}

/*
 * Whether a more likely cause than R, which SUBJECT has, ran on the endpoint.
 * A crash breaks all requests of an endpoint, and callers whose long answers
 * broke retry at endpoints that the same request crashes; without this check,
 * their requests would be quarantined along with it.  What SUBJECT has, too,
 * is no other cause.
 */
static bool
has_likelier_cause (const struct quar *q, const struct record *r,
                    const struct quar_subject *subject, uint64_t endpoint)
{
  const struct record *o;
  GHashTableIter it;

  g_hash_table_iter_init (&it, q->records);
  while (g_hash_table_iter_next (&it, NULL, (gpointer *)&o))
    if (o != r && crashed_under (o, endpoint) && is_better_explanation (o, r)
        && !is_of_subject (subject, o))
      return true;
  return false;
}

static int
compare_importance (gconstpointer a, gconstpointer b)
{
  const struct record *const *ra = a;
  const struct record *const *rb = b;

  return is_evicted_before (*ra, *rb) - is_evicted_before (*rb, *ra);
}

/* Where facts must be left out, the least important ones are at the end. */
static GPtrArray *
records_by_importance (const struct quar *q)
{
  GPtrArray *list = g_ptr_array_new ();
  struct record *r;
  GHashTableIter it;

  g_hash_table_iter_init (&it, q->records);
  while (g_hash_table_iter_next (&it, NULL, (gpointer *)&r))
    g_ptr_array_add (list, r);
  g_ptr_array_sort (list, compare_importance);
  return list;
}

/* Crashes of all requests, one for each endpoint: an array of struct
   quar_crash. */
static GArray *
all_crashes (const struct quar *q)
{
  GArray *crashes = g_array_new (FALSE, FALSE, sizeof (struct quar_crash));
  g_autoptr (GHashTable) keys = g_hash_table_new (g_int64_hash, g_int64_equal);
  struct record *r;
  GHashTableIter it;
  int i;

  g_hash_table_iter_init (&it, q->records);
  while (g_hash_table_iter_next (&it, NULL, (gpointer *)&r))
    for (i = 0; i < r->n; i++)
      if (g_hash_table_add (keys, &r->crashes[i].crash.endpoint))
        g_array_append_val (crashes, r->crashes[i].crash);
  return crashes;
}

/* Number of CRASHES at endpoints that did not run R and whose cause is not
   known (not in EXPLAINED), within SPAN_MS before the last crash of R. */
static int
other_crashes (const GArray *crashes, const struct record *r,
               GHashTable *explained, int64_t span_ms)
{
  int64_t last = r->crashes[r->n - 1].crash.at_ms;
  int n = 0;
  guint i;

  for (i = 0; i < crashes->len; i++)
    {
      const struct quar_crash *e
          = &g_array_index (crashes, struct quar_crash, i);

      n += e->at_ms <= last + INCIDENT_WINDOW_MS && e->at_ms > last - span_ms
           && !crashed_under (r, e->endpoint)
           && !g_hash_table_contains (explained, &e->endpoint);
    }
  return n;
}

/* Crash rate of one endpoint, per millisecond, by causes other than R.  It is
   the highest rate over several spans, since another cause may have begun only
   just now.  The longest span counts one crash more, for causes that were not
   observed yet. */
static double
rate_of_others (const GArray *crashes, const struct record *r,
                GHashTable *explained, int endpoints)
{
  static const int64_t spans_ms[] = { 3000, 10000, 60000 };
  double rate = 0, seen;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (spans_ms); i++)
    {
      seen = other_crashes (crashes, r, explained, spans_ms[i]);
      if (i + 1 == G_N_ELEMENTS (spans_ms))
        seen++;
      rate = MAX (rate, seen / (double)(spans_ms[i] * MAX (endpoints, 1)));
    }
  return rate;
}

static int64_t
quarantine_length_ms (const struct quar *q, int crashes)
{
  int64_t length_ms = q->quarantine_ms;

  for (; crashes > INCIDENTS_MIN && length_ms < QUARANTINE_MAX_MS; crashes--)
    length_ms *= QUARANTINE_GROWTH;
  return MIN (length_ms, QUARANTINE_MAX_MS);
}

/*
 * Estimate the probability that the crashes coincided with R by chance.
 * Endpoints crash for other causes at RATE, taken from the crashes without
 * this request, and each run gives the time in which that could happen.  The
 * rate distinguishes a request that crashes otherwise healthy endpoints from
 * one that was unlucky while endpoints were being replaced or kept restarting.
 */
static void
estimate_chance (const struct quar *q, const struct record *r,
                 const struct quar_subject *subject, double rate,
                 struct quar_verdict *v)
{
  const struct quar_crash *e, *before = NULL;
  int64_t last = 0;
  int i;

  *v = (struct quar_verdict){ .probability = 1 };
  for (i = 0; i < r->n; i++, before = e)
    {
      e = &r->crashes[i].crash;
      if ((v->incidents > 0 && !is_other_incident (e, last, before->at_ms))
          || has_likelier_cause (q, r, subject, e->endpoint))
        continue;
      v->probability *= MIN (1.0, rate * (double)MAX (e->ran_ms, RAN_MIN_MS));
      last = e->at_ms;
      v->incidents++;
    }
  v->until_ms = last
                + (v->probability <= QUARANTINE_PROBABILITY_MAX
                       ? quarantine_length_ms (q, v->incidents)
                       : q->quarantine_ms);
}

static bool
is_significant (const struct quar_verdict *v)
{
  return v->incidents >= INCIDENTS_MIN
         && v->probability <= QUARANTINE_PROBABILITY_MAX;
}

/*
 * Keys of endpoints that crashed under requests whose crashes are significant
 * on their own.  If a request that crashed endpoints for a minute is known,
 * counting those crashes as background would make the crashes of the next such
 * request look like chance.
 */
static GHashTable *
find_explained_crashes (const struct quar *q, const GArray *crashes,
                        int endpoints)
{
  GHashTable *explained = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_autoptr (GHashTable) none = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_autoptr (GPtrArray) list = records_by_importance (q);
  struct quar_subject alone = { .nparts = 0 };
  struct quar_verdict v;
  struct record *r;
  guint i;
  int k;

  for (i = 0; i < MIN (list->len, CAUSES_MAX); i++)
    {
      r = list->pdata[i];
      if (count_incidents (r) < INCIDENTS_MIN)
        break;
      alone.request = r->id;
      estimate_chance (q, r, &alone,
                       rate_of_others (crashes, r, none, endpoints), &v);
      for (k = 0; is_significant (&v) && k < r->n; k++)
        g_hash_table_add (explained, &r->crashes[k].crash.endpoint);
    }
  return explained;
}

/* Whether another part that may crash endpoints was at some that crashed under
   R, so that R may be the wrong one. */
static bool
is_doubtful (const struct quar *q, const struct record *r)
{
  const struct record *o;
  GHashTableIter it;
  int i, shared;

  g_hash_table_iter_init (&it, q->records);
  while (g_hash_table_iter_next (&it, NULL, (gpointer *)&o))
    {
      if (o == r || !reqid_is_part (&o->id)
          || count_incidents (o) < INCIDENTS_MIN)
        continue;
      for (i = 0, shared = 0; i < r->n; i++)
        shared += crashed_under (o, r->crashes[i].crash.endpoint);
      if (shared >= DOUBTFUL_MIN)
        return true;
    }
  return false;
}

/* A part is refused or not; a suspect one that many sound requests share would
   hold them up. */
static void
decide (const struct quar *q, const struct record *r, int64_t now_ms,
        struct quar_verdict *v)
{
  bool part = reqid_is_part (&r->id);

  v->is_quarantined
      = (v->incidents >= (part ? INCIDENTS_CERTAIN_PART : INCIDENTS_CERTAIN)
         || is_significant (v))
        && now_ms < v->until_ms;
  v->is_on_trial = part && v->is_quarantined
                   && count_incidents (r) <= INCIDENTS_CERTAIN_PART
                   && now_ms - updated_ms (r) >= TRIAL_FROM_MS
                   && now_ms - updated_ms (r) < TRIAL_TO_MS
                   && is_doubtful (q, r);
  v->is_suspect = !part && !v->is_quarantined && v->incidents >= INCIDENTS_MIN
                  && v->probability <= SUSPECT_PROBABILITY_MAX
                  && now_ms < v->until_ms;
}

static struct quar_verdict
evaluate (const struct quar *q, const struct reqid *id,
          const struct quar_subject *subject, int endpoints, int64_t now_ms)
{
  const struct record *r = g_hash_table_lookup (q->records, id);
  struct quar_verdict v = { .probability = 1 };
  g_autoptr (GHashTable) explained = NULL;
  g_autoptr (GArray) crashes = NULL;

  if (q->quarantine_ms == 0 || r == NULL
      || count_incidents (r) < INCIDENTS_MIN)
    return v;
  crashes = all_crashes (q);
  explained = find_explained_crashes (q, crashes, endpoints);
  estimate_chance (q, r, subject,
                   rate_of_others (crashes, r, explained, endpoints), &v);
  decide (q, r, now_ms, &v);
  return v;
}

struct quar_verdict
quar_evaluate (const struct quar *q, const struct reqid *id, int endpoints,
               int64_t now_ms)
{
  struct quar_subject alone = { .request = *id };

  return evaluate (q, id, &alone, endpoints, now_ms);
}

struct quar_verdict
quar_evaluate_subject (const struct quar *q, const struct quar_subject *s,
                       int endpoints, int64_t now_ms, struct reqid *id)
{
  struct quar_verdict v = evaluate (q, &s->request, s, endpoints, now_ms);
  struct quar_verdict part;
  int i;

  *id = s->request;
  for (i = 0; i < s->nparts && !v.is_quarantined; i++)
    {
      part = evaluate (q, &s->parts[i], s, endpoints, now_ms);
      if (!part.is_quarantined)
        continue;
      v = part;
      *id = s->parts[i];
    }
  return v;
}

/* --- export and expiry ----------------------------------------------- */

static bool
is_record_expired (const struct quar *q, const struct record *r,
                   int64_t now_ms)
{
  int64_t retention_ms = RETENTION_MS;

  if (count_incidents (r) >= INCIDENTS_MIN)
    retention_ms += quarantine_length_ms (q, count_incidents (r));
  return now_ms - updated_ms (r) > retention_ms;
}

void
quar_expire (struct quar *q, int64_t now_ms)
{
  GHashTableIter it;
  struct record *r;

  g_hash_table_iter_init (&it, q->records);
  while (g_hash_table_iter_next (&it, NULL, (gpointer *)&r))
    if (is_record_expired (q, r, now_ms))
      g_hash_table_iter_remove (&it);
}

static void
add_crash_facts (const struct record *r, bool all, GArray *out, guint max)
{
  struct quar_fact f = { .id = r->id };
  int i;

  for (i = 0; i < r->n && out->len < max; i++)
    if (all || r->crashes[i].own)
      {
        f.crash = r->crashes[i].crash;
        g_array_append_val (out, f);
      }
}

static void
add_completion_fact (const struct record *r, bool all, GArray *out, guint max)
{
  struct quar_fact f = { .id = r->id, .completed = true };

  if ((!all && !r->is_completion_own) || r->completed_ms == 0
      || out->len >= max)
    return;
  f.crash.at_ms = r->completed_ms;
  g_array_append_val (out, f);
}

static gint
by_completion (gconstpointer a, gconstpointer b)
{
  const struct record *const *ra = a;
  const struct record *const *rb = b;

  return ((*ra)->completed_ms < (*rb)->completed_ms)
         - ((*ra)->completed_ms > (*rb)->completed_ms);
}

/* The newest completions, and then crashes by importance. */
void
quar_own_facts (const struct quar *q, GArray *out, guint max)
{
  g_autoptr (GPtrArray) list = records_by_importance (q);
  g_autoptr (GPtrArray) completed = g_ptr_array_new ();
  guint i, most = MIN (out->len + max / COMPLETIONS_DIVISOR, max);

  for (i = 0; i < list->len; i++)
    g_ptr_array_add (completed, list->pdata[i]);
  g_ptr_array_sort (completed, by_completion);
  for (i = 0; i < completed->len; i++)
    add_completion_fact (completed->pdata[i], false, out, most);
  for (i = 0; i < list->len; i++)
    add_crash_facts (list->pdata[i], false, out, max);
}

void
quar_worst_facts (const struct quar *q, GArray *out, guint max)
{
  g_autoptr (GPtrArray) list = records_by_importance (q);
  guint i;

  for (i = 0;
       i < list->len && count_incidents (list->pdata[i]) >= INCIDENTS_MIN; i++)
    {
      add_crash_facts (list->pdata[i], true, out, max);
      add_completion_fact (list->pdata[i], true, out, max);
    }
}

guint
quar_count_own_facts (const struct quar *q)
{
  g_autoptr (GArray) facts
      = g_array_new (FALSE, FALSE, sizeof (struct quar_fact));

  quar_own_facts (q, facts, G_MAXUINT);
  return facts->len;
}

bool
quar_is_expired (const GArray *facts, int64_t now_ms)
{
  guint i;

  for (i = 0; i < facts->len; i++)
    if (now_ms - g_array_index (facts, struct quar_fact, i).crash.at_ms
        <= RETENTION_MS + QUARANTINE_MAX_MS)
      return false;
  return true;
}
