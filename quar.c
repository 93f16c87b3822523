/* Evidence against requests under which endpoints crash, and the verdict. */
#include "quar.h"

#include <string.h>

/* Crashes from which on a request is refused. */
#define CRASHES_MIN 3
/*
 * Endpoints that end so close together share a cause outside of any one
 * request: a failure domain without power crashes many under the same frequent
 * request, and that counts once.
 */
#define MOMENT_MS 100
/* A run that began after the crash before it, and went on for so long, shows
   that its endpoint had outlived that. */
#define OUTLIVED_MS 30
/* Requests looked at as causes of other crashes: the worst ones. */
#define CAUSES_MAX 16
/* So many are enough whatever the chance, but only for the first hold: where
   all endpoints keep crashing, a request that many make may get there too. */
#define CRASHES_SURE 6
/* How likely the crashes may be to have come together by chance. */
#define CHANCE_MAX 1e-11
/* The same, from which on a request is suspect. */
#define CHANCE_SUSPECT 1e-6
/* A crash shows some ms after it, so shorter runs are no stronger evidence. */
#define RAN_MIN_MS 50
/* Facts are kept for so long after the last one, or after the hold. */
#define KEEP_MS 600000
/* Each further crash makes the hold as many times as long. */
#define HOLD_GROWTH 10
#define HOLD_MAX_MS 86400000

/* A crash as it is remembered. */
struct known_crash
{
  struct quar_crash is; /* as told */
  bool own;             /* this VM saw it */
};

/* All that is known of a request. */
struct record
{
  struct reqid id;                                          /* which */
  struct known_crash crashes[QUAR_CRASHES_PER_REQUEST_MAX]; /* oldest first */
  int n;           /* entries in crashes */
  int64_t done_ms; /* last answered whole then; 0: never */
  bool own_done;   /* this VM saw that */
};

struct quar
{
  GHashTable *records; /* struct reqid to struct record */
  int64_t hold_ms;     /* as set */
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
quar_new (int64_t hold_ms)
{
  struct quar *q = g_new0 (struct quar, 1);

  q->records = g_hash_table_new_full (id_hash, id_equal, NULL, g_free);
  q->hold_ms = hold_ms;
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
touched_ms (const struct record *r)
{
  return r->n > 0 ? MAX (r->crashes[r->n - 1].is.at_ms, r->done_ms)
                  : r->done_ms;
}

bool
quar_has_crashes (const struct quar *q, const struct reqid *id)
{
  const struct record *r = g_hash_table_lookup (q->records, id);

  return r != NULL && r->n > 0;
}

/* --- evidence -------------------------------------------------------- */

/* Whether A has to go before B when there is no room for both. */
static bool
matters_less (const struct record *a, const struct record *b)
{
  if (a->n != b->n)
    return a->n < b->n;
  return touched_ms (a) < touched_ms (b);
}

static void
make_room (struct quar *q)
{
  struct record *r, *least = NULL;
  GHashTableIter it;

  if (g_hash_table_size (q->records) < QUAR_REQUESTS_MAX)
    return;
  g_hash_table_iter_init (&it, q->records);
  while (g_hash_table_iter_next (&it, NULL, (gpointer *)&r))
    if (least == NULL || matters_less (r, least))
      least = r;
  g_hash_table_remove (q->records, &least->id);
}

static struct record *
need (struct quar *q, const struct reqid *id)
{
  struct record *r = g_hash_table_lookup (q->records, id);

  if (r != NULL)
    return r;
  make_room (q);
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
    if (r->crashes[i].is.endpoint == endpoint)
      return &r->crashes[i];
  return NULL;
}

static void
drop_crash (struct record *r, int i)
{
  memmove (&r->crashes[i], &r->crashes[i + 1],
           sizeof r->crashes[0] * (size_t)(--r->n - i));
}

static void
insert_crash (struct record *r, const struct quar_crash *e, bool own)
{
  int i = r->n;

  while (i > 0 && r->crashes[i - 1].is.at_ms > e->at_ms)
    i--;
  memmove (&r->crashes[i + 1], &r->crashes[i],
           sizeof r->crashes[0] * (size_t)(r->n++ - i));
  r->crashes[i].is = *e;
  r->crashes[i].own = own;
}

/* Several VMs see the same crash: the earliest time and the shortest run
   count, so that all of them come to the same record in whatever order. */
static bool
merge_crash (struct record *r, struct known_crash *old,
             const struct quar_crash *e, bool own)
{
  struct known_crash new = *old;

  new.is.at_ms = MIN (old->is.at_ms, e->at_ms);
  new.is.ran_ms = MIN (old->is.ran_ms, e->ran_ms);
  new.own |= own;
  if (new.is.at_ms == old->is.at_ms &&new.is.ran_ms == old->is.ran_ms &&new.own
      == old->own)
    return false;
  drop_crash (r, (int)(old - r->crashes));
  insert_crash (r, &new.is, new.own);
  return true;
}

static bool
take_crash (struct quar *q, const struct quar_fact *f, bool own)
{
  struct record *r = need (q, &f->id);
  struct known_crash *old = find_crash (r, f->crash.endpoint);

  if (old != NULL)
    return merge_crash (r, old, &f->crash, own);
  if (f->crash.at_ms <= r->done_ms)
    return false;
  if (r->n == QUAR_CRASHES_PER_REQUEST_MAX
      && r->crashes[0].is.at_ms >= f->crash.at_ms)
    return false;
  if (r->n == QUAR_CRASHES_PER_REQUEST_MAX)
    drop_crash (r, 0);
  insert_crash (r, &f->crash, own);
  return true;
}

/*
 * An endpoint answered the request whole and lives, so the crashes before came
 * from others: a request that many callers make is at most endpoints that
 * crash, for whatever reason.
 */
static bool
take_done (struct quar *q, const struct quar_fact *f, bool own)
{
  struct record *r = g_hash_table_lookup (q->records, &f->id);

  if (r == NULL || f->crash.at_ms <= r->done_ms)
    return false;
  r->done_ms = f->crash.at_ms;
  r->own_done = own;
  while (r->n > 0 && r->crashes[0].is.at_ms <= r->done_ms)
    drop_crash (r, 0);
  return true;
}

bool
quar_add_fact (struct quar *q, const struct quar_fact *f, bool own)
{
  return f->completed ? take_done (q, f, own) : take_crash (q, f, own);
}

/* --- verdict --------------------------------------------------------- */

/* Whether E is no part of the moment that began at FIRST_MS and of which the
   crash at BEFORE_MS was the last. */
static bool
is_apart (const struct quar_crash *e, int64_t first_ms, int64_t before_ms)
{
  return e->at_ms - first_ms > MOMENT_MS
         || (e->ran_ms >= OUTLIVED_MS && e->at_ms - e->ran_ms >= before_ms);
}

/* Moments at which endpoints crashed under R. */
static int
moments (const struct record *r)
{
  const struct quar_crash *e, *before = NULL;
  int64_t first = 0;
  int n = 0;
  int i;

  for (i = 0; i < r->n; i++, before = e)
    {
      e = &r->crashes[i].is;
      if (before != NULL && !is_apart (e, first, before->at_ms))
        continue;
      first = e->at_ms;
      n++;
    }
  return n;
}

static int64_t
ran_ms (const struct record *r)
{
  int64_t sum = 0;
  int i;

  for (i = 0; i < r->n; i++)
    sum += r->crashes[i].is.ran_ms;
  return sum;
}

/* More crashes, or as many after shorter runs.  Equal records differ by id, so
   that one of them is left to explain the crash. */
static bool
is_worse (const struct record *a, const struct record *b)
{
  int na = moments (a), nb = moments (b);
  int64_t ra = ran_ms (a), rb = ran_ms (b);

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

/*
 * Whether another request was there that is more likely to be the cause.  All
 * that ran at an endpoint breaks with it, and callers whose long answers broke
 * come again to endpoints that the same request crashes: without this they
 * would be held with it.
 */
static bool
is_explained (const struct quar *q, const struct record *r, uint64_t endpoint)
{
  const struct record *o;
  GHashTableIter it;

  g_hash_table_iter_init (&it, q->records);
  while (g_hash_table_iter_next (&it, NULL, (gpointer *)&o))
    if (o != r && crashed_under (o, endpoint) && is_worse (o, r))
      return true;
  return false;
}

static int
worst_first (gconstpointer a, gconstpointer b)
{
  const struct record *const *ra = a;
  const struct record *const *rb = b;

  return matters_less (*ra, *rb) - matters_less (*rb, *ra);
}

/* Of too many facts those go that matter least. */
static GPtrArray *
records_worst_first (const struct quar *q)
{
  GPtrArray *list = g_ptr_array_new ();
  struct record *r;
  GHashTableIter it;

  g_hash_table_iter_init (&it, q->records);
  while (g_hash_table_iter_next (&it, NULL, (gpointer *)&r))
    g_ptr_array_add (list, r);
  g_ptr_array_sort (list, worst_first);
  return list;
}

/* Every endpoint that crashed, once: an array of struct quar_crash. */
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
      if (g_hash_table_add (keys, &r->crashes[i].is.endpoint))
        g_array_append_val (crashes, r->crashes[i].is);
  return crashes;
}

/* Those of ENDS that are not R's and have no other cause, within SPAN_MS
   before the last one of R. */
static int
other_crashes (const GArray *crashes, const struct record *r,
               GHashTable *caused, int64_t span_ms)
{
  int64_t last = r->crashes[r->n - 1].is.at_ms;
  int n = 0;
  guint i;

  for (i = 0; i < crashes->len; i++)
    {
      const struct quar_crash *e
          = &g_array_index (crashes, struct quar_crash, i);

      n += e->at_ms <= last + MOMENT_MS && e->at_ms > last - span_ms
           && !crashed_under (r, e->endpoint)
           && !g_hash_table_contains (caused, &e->endpoint);
    }
  return n;
}

/* Crashes of an endpoint in a millisecond by other causes than R: at their
   worst over spans, since what makes endpoints crash may have begun just now.
   One more in the longest span stands for what was not seen yet. */
static double
rate_of_others (const GArray *crashes, const struct record *r,
                GHashTable *caused, int endpoints)
{
  static const int64_t spans_ms[] = { 3000, 10000, 60000 };
  double rate = 0, seen;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (spans_ms); i++)
    {
      seen = other_crashes (crashes, r, caused, spans_ms[i]);
      if (i + 1 == G_N_ELEMENTS (spans_ms))
        seen++;
      rate = MAX (rate, seen / (double)(spans_ms[i] * MAX (endpoints, 1)));
    }
  return rate;
}

static int64_t
hold_of (const struct quar *q, int crashes)
{
  int64_t hold = q->hold_ms;

  for (; crashes > CRASHES_MIN && hold < HOLD_MAX_MS; crashes--)
    hold *= HOLD_GROWTH;
  return MIN (hold, HOLD_MAX_MS);
}

/*
 * How likely the crashes are by chance: an endpoint crashes by other causes at
 * a rate that the crashes without this request show, and the request was there
 * for so long.  The rate tells a request that crashes endpoints, which
 * otherwise live, from one that was unlucky while endpoints were replaced or
 * went down and up.
 */
static void
weigh (const struct quar *q, const struct record *r, double rate,
       struct quar_verdict *v)
{
  const struct quar_crash *e, *before = NULL;
  int64_t last = 0;
  int i;

  *v = (struct quar_verdict){ .probability = 1 };
  for (i = 0; i < r->n; i++, before = e)
    {
      e = &r->crashes[i].is;
      if ((v->crashes > 0 && !is_apart (e, last, before->at_ms))
          || is_explained (q, r, e->endpoint))
        continue;
      v->probability *= MIN (1.0, rate * (double)MAX (e->ran_ms, RAN_MIN_MS));
      last = e->at_ms;
      v->crashes++;
    }
  v->until_ms = last
                + (v->probability <= CHANCE_MAX ? hold_of (q, v->crashes)
                                                : q->hold_ms);
}

static bool
is_beyond_chance (const struct quar_verdict *v)
{
  return v->crashes >= CRASHES_MIN && v->probability <= CHANCE_MAX;
}

/*
 * Endpoints that crashed under requests that are held without this.  Once one
 * is known by which endpoints crashed for a minute, they would make the next
 * one look like chance.
 */
static GHashTable *
crashes_with_cause (const struct quar *q, const GArray *crashes, int endpoints)
{
  GHashTable *caused = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_autoptr (GHashTable) none = g_hash_table_new (g_int64_hash, g_int64_equal);
  g_autoptr (GPtrArray) list = records_worst_first (q);
  struct quar_verdict v;
  struct record *r;
  guint i;
  int k;

  for (i = 0; i < MIN (list->len, CAUSES_MAX); i++)
    {
      r = list->pdata[i];
      if (moments (r) < CRASHES_MIN)
        break;
      weigh (q, r, rate_of_others (crashes, r, none, endpoints), &v);
      for (k = 0; is_beyond_chance (&v) && k < r->n; k++)
        g_hash_table_add (caused, &r->crashes[k].is.endpoint);
    }
  return caused;
}

struct quar_verdict
quar_evaluate (const struct quar *q, const struct reqid *id, int endpoints,
               int64_t now_ms)
{
  const struct record *r = g_hash_table_lookup (q->records, id);
  struct quar_verdict v = { .probability = 1 };
  g_autoptr (GHashTable) caused = NULL;
  g_autoptr (GArray) crashes = NULL;

  if (q->hold_ms == 0 || r == NULL || moments (r) < CRASHES_MIN)
    return v;
  crashes = all_crashes (q);
  caused = crashes_with_cause (q, crashes, endpoints);
  weigh (q, r, rate_of_others (crashes, r, caused, endpoints), &v);
  v.is_quarantined = (v.crashes >= CRASHES_SURE || is_beyond_chance (&v))
                     && now_ms < v.until_ms;
  v.is_suspect = !v.is_quarantined && v.crashes >= CRASHES_MIN
                 && v.probability <= CHANCE_SUSPECT && now_ms < v.until_ms;
  return v;
}

/* --- what is told, and forgotten ------------------------------------- */

static bool
is_over (const struct quar *q, const struct record *r, int64_t now_ms)
{
  int64_t keep = KEEP_MS;

  if (moments (r) >= CRASHES_MIN)
    keep += hold_of (q, moments (r));
  return now_ms - touched_ms (r) > keep;
}

void
quar_expire (struct quar *q, int64_t now_ms)
{
  GHashTableIter it;
  struct record *r;

  g_hash_table_iter_init (&it, q->records);
  while (g_hash_table_iter_next (&it, NULL, (gpointer *)&r))
    if (is_over (q, r, now_ms))
      g_hash_table_iter_remove (&it);
}

static void
add_facts (const struct record *r, bool all, GArray *out, guint max)
{
  struct quar_fact f = { .id = r->id };
  int i;

  for (i = 0; i < r->n && out->len < max; i++)
    if (all || r->crashes[i].own)
      {
        f.crash = r->crashes[i].is;
        g_array_append_val (out, f);
      }
  if ((all || r->own_done) && r->done_ms > 0 && out->len < max)
    {
      f.completed = true;
      f.crash = (struct quar_crash){ .at_ms = r->done_ms };
      g_array_append_val (out, f);
    }
}

void
quar_own_facts (const struct quar *q, GArray *out, guint max)
{
  g_autoptr (GPtrArray) list = records_worst_first (q);
  guint i;

  for (i = 0; i < list->len; i++)
    add_facts (list->pdata[i], false, out, max);
}

void
quar_worst_facts (const struct quar *q, GArray *out, guint max)
{
  g_autoptr (GPtrArray) list = records_worst_first (q);
  guint i;

  for (i = 0; i < list->len && moments (list->pdata[i]) >= CRASHES_MIN; i++)
    add_facts (list->pdata[i], true, out, max);
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
        <= KEEP_MS + HOLD_MAX_MS)
      return false;
  return true;
}
