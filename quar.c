/* Evidence against requests under which endpoints end, and the verdict. */
#include "quar.h"

#include <string.h>

/* Ends from which on a request is refused. */
#define ENDS_MIN 3
/*
 * Endpoints that end so close together share a cause outside of any one
 * request: a failure domain without power ends many under the same frequent
 * request, and that counts once.
 */
#define MOMENT_MS 100
/* Requests looked at as causes of other ends: the worst ones. */
#define CAUSES_MAX 16
/* So many are enough whatever the chance, but only for the first hold: where
   all endpoints keep ending, a request that many make may get there too. */
#define ENDS_SURE 6
/* How likely the ends may be to have come together by chance. */
#define CHANCE_MAX 1e-11
/* An end shows some ms after it, so shorter runs are no stronger evidence. */
#define RAN_MIN_MS 50
/* Facts are kept for so long after the last one, or after the hold. */
#define KEEP_MS 600000
/* Each further end makes the hold as many times as long. */
#define HOLD_GROWTH 10
#define HOLD_MAX_MS 86400000

/* An end as it is remembered. */
struct end
{
  struct quar_end is; /* as told */
  bool own;           /* this VM saw it */
};

/* All that is known of a request. */
struct record
{
  struct reqid id;                /* which */
  struct end ends[QUAR_ENDS_MAX]; /* oldest first */
  int n;                          /* entries in ends */
  int64_t done_ms;                /* last answered whole then; 0: never */
  bool own_done;                  /* this VM saw that */
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
quar_any (const struct quar *q)
{
  return g_hash_table_size (q->records) > 0;
}

static int64_t
touched_ms (const struct record *r)
{
  return r->n > 0 ? MAX (r->ends[r->n - 1].is.at_ms, r->done_ms) : r->done_ms;
}

bool
quar_suspects (const struct quar *q, const struct reqid *id)
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

static struct end *
find_end (struct record *r, uint64_t endpoint)
{
  int i;

  for (i = 0; i < r->n; i++)
    if (r->ends[i].is.endpoint == endpoint)
      return &r->ends[i];
  return NULL;
}

static void
drop_end (struct record *r, int i)
{
  memmove (&r->ends[i], &r->ends[i + 1],
           sizeof r->ends[0] * (size_t)(--r->n - i));
}

static void
insert_end (struct record *r, const struct quar_end *e, bool own)
{
  int i = r->n;

  while (i > 0 && r->ends[i - 1].is.at_ms > e->at_ms)
    i--;
  memmove (&r->ends[i + 1], &r->ends[i],
           sizeof r->ends[0] * (size_t)(r->n++ - i));
  r->ends[i].is = *e;
  r->ends[i].own = own;
}

/* Several VMs see the same end: the earliest time and the shortest run count,
   so that all of them come to the same record in whatever order. */
static bool
merge_end (struct record *r, struct end *old, const struct quar_end *e,
           bool own)
{
  struct end new = *old;

  new.is.at_ms = MIN (old->is.at_ms, e->at_ms);
  new.is.ran_ms = MIN (old->is.ran_ms, e->ran_ms);
  new.own |= own;
  if (new.is.at_ms == old->is.at_ms &&new.is.ran_ms == old->is.ran_ms &&new.own
      == old->own)
    return false;
  drop_end (r, (int)(old - r->ends));
  insert_end (r, &new.is, new.own);
  return true;
}

static bool
take_end (struct quar *q, const struct quar_fact *f, bool own)
{
  struct record *r = need (q, &f->id);
  struct end *old = find_end (r, f->end.endpoint);

  if (old != NULL)
    return merge_end (r, old, &f->end, own);
  if (f->end.at_ms <= r->done_ms)
    return false;
  if (r->n == QUAR_ENDS_MAX && r->ends[0].is.at_ms >= f->end.at_ms)
    return false;
  if (r->n == QUAR_ENDS_MAX)
    drop_end (r, 0);
  insert_end (r, &f->end, own);
  return true;
}

/*
 * An endpoint answered the request whole and lives, so the ends before came
 * from others: a request that many callers make is at most endpoints that end,
 * for whatever reason.
 */
static bool
take_done (struct quar *q, const struct quar_fact *f, bool own)
{
  struct record *r = g_hash_table_lookup (q->records, &f->id);

  if (r == NULL || f->end.at_ms <= r->done_ms)
    return false;
  r->done_ms = f->end.at_ms;
  r->own_done = own;
  while (r->n > 0 && r->ends[0].is.at_ms <= r->done_ms)
    drop_end (r, 0);
  return true;
}

bool
quar_take (struct quar *q, const struct quar_fact *f, bool own)
{
  return f->done ? take_done (q, f, own) : take_end (q, f, own);
}

/* --- verdict --------------------------------------------------------- */

/* Moments at which endpoints ended under R. */
static int
moments (const struct record *r)
{
  int64_t last = 0;
  int n = 0;
  int i;

  for (i = 0; i < r->n; i++)
    if (i == 0 || r->ends[i].is.at_ms - last > MOMENT_MS)
      {
        last = r->ends[i].is.at_ms;
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
    sum += r->ends[i].is.ran_ms;
  return sum;
}

/* More ends, or as many after shorter runs.  Equal records differ by id, so
   that one of them is left to explain the end. */
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
ended (const struct record *r, uint64_t endpoint)
{
  return find_end ((struct record *)r, endpoint) != NULL;
}

/*
 * Whether another request was there that is more likely to be the cause.  All
 * that ran at an endpoint breaks with it, and callers whose long answers broke
 * come again to endpoints that the same request ends: without this they would
 * be condemned with it.
 */
static bool
is_explained (const struct quar *q, const struct record *r, uint64_t endpoint)
{
  const struct record *o;
  GHashTableIter it;

  g_hash_table_iter_init (&it, q->records);
  while (g_hash_table_iter_next (&it, NULL, (gpointer *)&o))
    if (o != r && ended (o, endpoint) && is_worse (o, r))
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

/* Every endpoint that ended, once: an array of struct quar_end. */
static GArray *
all_ends (const struct quar *q)
{
  GArray *ends = g_array_new (FALSE, FALSE, sizeof (struct quar_end));
  g_autoptr (GHashTable) keys = g_hash_table_new (g_int64_hash, g_int64_equal);
  struct record *r;
  GHashTableIter it;
  int i;

  g_hash_table_iter_init (&it, q->records);
  while (g_hash_table_iter_next (&it, NULL, (gpointer *)&r))
    for (i = 0; i < r->n; i++)
      if (g_hash_table_add (keys, &r->ends[i].is.endpoint))
        g_array_append_val (ends, r->ends[i].is);
  return ends;
}

/* Those of ENDS that are not R's and have no other cause, within SPAN_MS
   before the last one of R. */
static int
other_ends (const GArray *ends, const struct record *r, GHashTable *caused,
            int64_t span_ms)
{
  int64_t last = r->ends[r->n - 1].is.at_ms;
  int n = 0;
  guint i;

  for (i = 0; i < ends->len; i++)
    {
      const struct quar_end *e = &g_array_index (ends, struct quar_end, i);

      n += e->at_ms <= last + MOMENT_MS && e->at_ms > last - span_ms
           && !ended (r, e->endpoint)
           && !g_hash_table_contains (caused, &e->endpoint);
    }
  return n;
}

/* Ends of an endpoint in a millisecond by other causes than R: at their worst
   over spans, since what makes endpoints end may have begun just now.  One end
   more in the longest span stands for what was not seen yet. */
static double
rate_of_others (const GArray *ends, const struct record *r, GHashTable *caused,
                int endpoints)
{
  static const int64_t spans_ms[] = { 3000, 10000, 60000 };
  double rate = 0, seen;
  size_t i;

  for (i = 0; i < G_N_ELEMENTS (spans_ms); i++)
    {
      seen = other_ends (ends, r, caused, spans_ms[i]);
      if (i + 1 == G_N_ELEMENTS (spans_ms))
        seen++;
      rate = MAX (rate, seen / (double)(spans_ms[i] * MAX (endpoints, 1)));
    }
  return rate;
}

static int64_t
hold_of (const struct quar *q, int ends)
{
  int64_t hold = q->hold_ms;

  for (; ends > ENDS_MIN && hold < HOLD_MAX_MS; ends--)
    hold *= HOLD_GROWTH;
  return MIN (hold, HOLD_MAX_MS);
}

/*
 * How likely the ends are by chance: an endpoint ends by other causes at a
 * rate that the ends without this request show, and the request was there for
 * so long.  The rate tells a request that crashes endpoints, which otherwise
 * live, from one that was unlucky while endpoints were replaced or went down
 * and up.
 */
static void
weigh (const struct quar *q, const struct record *r, double rate,
       struct quar_verdict *v)
{
  int64_t last = 0;
  int i;

  *v = (struct quar_verdict){ .chance = 1 };
  for (i = 0; i < r->n; i++)
    {
      const struct quar_end *e = &r->ends[i].is;

      if ((v->ends > 0 && e->at_ms - last <= MOMENT_MS)
          || is_explained (q, r, e->endpoint))
        continue;
      v->chance *= MIN (1.0, rate * (double)MAX (e->ran_ms, RAN_MIN_MS));
      last = e->at_ms;
      v->ends++;
    }
  v->until_ms
      = last + (v->chance <= CHANCE_MAX ? hold_of (q, v->ends) : q->hold_ms);
}

static bool
is_beyond_chance (const struct quar_verdict *v)
{
  return v->ends >= ENDS_MIN && v->chance <= CHANCE_MAX;
}

/*
 * Endpoints that ended under requests that are condemned without this.  Once
 * one is known by which endpoints ended for a minute, they would make the next
 * one look like chance.
 */
static GHashTable *
ends_with_cause (const struct quar *q, const GArray *ends, int endpoints)
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
      if (moments (r) < ENDS_MIN)
        break;
      weigh (q, r, rate_of_others (ends, r, none, endpoints), &v);
      for (k = 0; is_beyond_chance (&v) && k < r->n; k++)
        g_hash_table_add (caused, &r->ends[k].is.endpoint);
    }
  return caused;
}

struct quar_verdict
quar_judge (const struct quar *q, const struct reqid *id, int endpoints,
            int64_t now_ms)
{
  const struct record *r = g_hash_table_lookup (q->records, id);
  struct quar_verdict v = { .chance = 1 };
  g_autoptr (GHashTable) caused = NULL;
  g_autoptr (GArray) ends = NULL;

  if (q->hold_ms == 0 || r == NULL || moments (r) < ENDS_MIN)
    return v;
  ends = all_ends (q);
  caused = ends_with_cause (q, ends, endpoints);
  weigh (q, r, rate_of_others (ends, r, caused, endpoints), &v);
  v.held
      = (v.ends >= ENDS_SURE || is_beyond_chance (&v)) && now_ms < v.until_ms;
  return v;
}

/* --- what is told, and forgotten ------------------------------------- */

static bool
is_over (const struct quar *q, const struct record *r, int64_t now_ms)
{
  int64_t keep = KEEP_MS;

  if (moments (r) >= ENDS_MIN)
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
    if (all || r->ends[i].own)
      {
        f.end = r->ends[i].is;
        g_array_append_val (out, f);
      }
  if ((all || r->own_done) && r->done_ms > 0 && out->len < max)
    {
      f.done = true;
      f.end = (struct quar_end){ .at_ms = r->done_ms };
      g_array_append_val (out, f);
    }
}

void
quar_own (const struct quar *q, GArray *out, guint max)
{
  g_autoptr (GPtrArray) list = records_worst_first (q);
  guint i;

  for (i = 0; i < list->len; i++)
    add_facts (list->pdata[i], false, out, max);
}

void
quar_worst (const struct quar *q, GArray *out, guint max)
{
  g_autoptr (GPtrArray) list = records_worst_first (q);
  guint i;

  for (i = 0; i < list->len && moments (list->pdata[i]) >= ENDS_MIN; i++)
    add_facts (list->pdata[i], true, out, max);
}

guint
quar_count_own (const struct quar *q)
{
  g_autoptr (GArray) facts
      = g_array_new (FALSE, FALSE, sizeof (struct quar_fact));

  quar_own (q, facts, G_MAXUINT);
  return facts->len;
}

bool
quar_is_old (const GArray *facts, int64_t now_ms)
{
  guint i;

  for (i = 0; i < facts->len; i++)
    if (now_ms - g_array_index (facts, struct quar_fact, i).end.at_ms
        <= KEEP_MS + HOLD_MAX_MS)
      return false;
  return true;
}
