/* What a VM knows of the fleet that it serves. */
#include "fleet.h"

#include <string.h>
#include <xxhash.h>

/*
 * Entries can lapse while the platform's list cannot be read; if the endpoint
 * is alive, its entry returns within two seconds after the list does.
 * Removing a missing entry at once would take a live endpoint out of service;
 * one that is still missing after this time is removed.  The time counts from
 * the last failed call, since when the list returned is not known, and three
 * seconds after that nothing may be sent to an endpoint that has left.
 */
#define RETURN_WAIT_US INT64_C (2800000)

/* Endpoints that are kept after their entries were removed. */
#define FORMER_MAX 512

/* --- configuration --------------------------------------------------- */

void
fleet_route_free (struct fleet_route *r)
{
  int i;

  for (i = 0; i < r->nsplits; i++)
    g_free (r->splits[i].service);
  g_free (r->splits);
  g_free (r->name);
  g_free (r->host);
  g_strfreev (r->allowed_regions);
  g_free (r->prefix);
  g_free (r);
}

void
fleet_service_free (struct fleet_service *s)
{
  g_free (s->name);
  g_free (s->model);
  g_free (s->store_address);
  g_free (s->domain);
  g_free (s);
}

void
fleet_workspace_free (struct fleet_workspace *w)
{
  g_free (w->name);
  g_strfreev (w->allowed_regions);
  g_free (w);
}

struct fleet_conf *
fleet_conf_new (void)
{
  struct fleet_conf *c = g_new0 (struct fleet_conf, 1);

  c->refs = 1;
  c->routes
      = g_ptr_array_new_with_free_func ((GDestroyNotify)fleet_route_free);
  c->services = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                       (GDestroyNotify)fleet_service_free);
  c->workspaces
      = g_ptr_array_new_with_free_func ((GDestroyNotify)fleet_workspace_free);
  c->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  c->hosts = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                    (GDestroyNotify)g_ptr_array_unref);
  return c;
}

static int
compare_prefix_length (gconstpointer a, gconstpointer b)
{
  const struct fleet_route *const *ra = a;
  const struct fleet_route *const *rb = b;
  size_t na = strlen ((*ra)->prefix);
  size_t nb = strlen ((*rb)->prefix);

  return (na < nb) - (na > nb);
}

/* The services of R inherit its target for the pause between events. */
static void
apply_event_gap (struct fleet_conf *c, const struct fleet_route *r)
{
  struct fleet_service *sv;
  int i;

  for (i = 0; i < r->nsplits && r->event_gap_us > 0; i++)
    {
      sv = g_hash_table_lookup (c->services, r->splits[i].service);
      if (sv != NULL
          && (sv->event_gap_us == 0 || r->event_gap_us < sv->event_gap_us))
        sv->event_gap_us = r->event_gap_us;
    }
}

void
fleet_conf_build_index (struct fleet_conf *c)
{
  GHashTableIter it;
  gpointer list;
  guint i;

  for (i = 0; i < c->routes->len; i++)
    {
      struct fleet_route *r = c->routes->pdata[i];

      list = g_hash_table_lookup (c->hosts, r->host);
      if (list == NULL)
        {
          list = g_ptr_array_new ();
          g_hash_table_insert (c->hosts, r->host, list);
        }
      g_ptr_array_add (list, r);
      apply_event_gap (c, r);
    }
  g_hash_table_iter_init (&it, c->hosts);
  while (g_hash_table_iter_next (&it, NULL, &list))
    g_ptr_array_sort (list, compare_prefix_length);
  fleet_conf_build_groups (c);
}

struct fleet_conf *
fleet_conf_ref (struct fleet_conf *c)
{
  c->refs++;
  return c;
}

void
fleet_conf_unref (struct fleet_conf *c)
{
  if (c == NULL || --c->refs > 0)
    return;
  g_hash_table_destroy (c->hosts);
  g_hash_table_destroy (c->keys);
  g_hash_table_destroy (c->services);
  g_ptr_array_unref (c->workspaces);
  g_ptr_array_unref (c->routes);
  g_free (c);
}

const struct fleet_route *
fleet_route_find (const struct fleet_conf *c, const char *host,
                  const char *path)
{
  const struct fleet_route *r;
  GPtrArray *list;
  g_autofree char *name = g_ascii_strdown (host, -1);
  guint i;

  /* The port doesn't select a route. */
  name[strcspn (name, ":")] = '\0';
  list = g_hash_table_lookup (c->hosts, name);
  for (i = 0; list != NULL && i < list->len; i++)
    {
      r = list->pdata[i];
      if (strncmp (path, r->prefix, strlen (r->prefix)) == 0)
        return r;
    }
  return NULL;
}

const struct fleet_workspace *
fleet_workspace_find (const struct fleet_conf *c, const char *key)
{
  return key != NULL ? g_hash_table_lookup (c->keys, key) : NULL;
}

const char *
fleet_split_select (const struct fleet_route *r, uint64_t digest)
{
  int64_t all = 0;
  int64_t at;
  int i;

  for (i = 0; i < r->nsplits; i++)
    all += r->splits[i].weight;
  if (all <= 0)
    return r->splits[0].service;
  at = (int64_t)(digest % (uint64_t)all);
  for (i = 0; i < r->nsplits - 1; i++)
    {
      at -= r->splits[i].weight;
      if (at < 0)
        break;
    }
  return r->splits[i].service;
}

/* --- fleet ----------------------------------------------------------- */

void
fleet_init (struct fleet *f)
{
  memset (f, 0, sizeof *f);
  f->factors = (struct pick_factors){ 100, 100, 100 };
  APR_RING_INIT (&f->endpoints, fleet_endpoint, link);
  APR_RING_INIT (&f->former, fleet_endpoint, link);
  fleet_builds_init (f);
  f->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  f->by_key = g_hash_table_new (g_int64_hash, g_int64_equal);
  f->wanted = g_array_new (FALSE, TRUE, sizeof (struct fleet_wanted));
  f->brittle = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  f->service_stats
      = g_array_new (FALSE, TRUE, sizeof (struct fleet_service_stats));
  f->regions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  f->evacuated = g_array_new (FALSE, TRUE, sizeof (struct fleet_evacuation));
}

void
fleet_endpoint_unref (struct fleet_endpoint *e)
{
  if (--e->refs == 0)
    g_free (e);
}

struct fleet_endpoint *
fleet_endpoint_ref (struct fleet_endpoint *e)
{
  e->refs++;
  return e;
}

/* --- former endpoints ------------------------------------------------ */

static void
forget_former (struct fleet *f, struct fleet_endpoint *e)
{
  APR_RING_REMOVE (e, link);
  f->nformer--;
  fleet_endpoint_unref (e);
}

/* Whether E reported something that still applies if it returns, or requests
   are at it and may bring such a report. */
static bool
is_worth_keeping (const struct fleet_endpoint *e)
{
  return e->draining || e->limit.active || e->requested_backoff_until_us > 0
         || e->refs > 1;
}

static void
remove_endpoint (struct fleet *f, struct fleet_endpoint *e)
{
  e->removed = true;
  g_hash_table_remove (f->by_id, e->listing.id);
  g_hash_table_remove (f->by_key, &e->key);
  APR_RING_REMOVE (e, link);
  APR_RING_INSERT_TAIL (&f->former, e, fleet_endpoint, link);
  f->nformer++;
  if (!is_worth_keeping (e))
    forget_former (f, e);
  else if (f->nformer > FORMER_MAX)
    forget_former (f, APR_RING_FIRST (&f->former));
}

static struct fleet_endpoint *
find_former (const struct fleet *f, const struct fleet_listing *l)
{
  struct fleet_endpoint *e;

  APR_RING_FOREACH (e, &f->former, fleet_endpoint, link)
  {
    if (strcmp (e->listing.id, l->id) == 0
        && e->listing.started_ms == l->started_ms
        && e->build_key == fleet_build_key (l))
      return e;
  }
  return NULL;
}

/* The same incarnation is listed again: its entry had lapsed, or the list is
   an older copy. */
static void
restore_former (struct fleet *f, struct fleet_endpoint *e)
{
  APR_RING_REMOVE (e, link);
  f->nformer--;
  e->removed = false;
  APR_RING_INSERT_TAIL (&f->endpoints, e, fleet_endpoint, link);
  g_hash_table_insert (f->by_id, e->listing.id, e);
  g_hash_table_insert (f->by_key, &e->key, e);
}

void
fleet_clear (struct fleet *f)
{
  while (!APR_RING_EMPTY (&f->endpoints, fleet_endpoint, link))
    remove_endpoint (f, APR_RING_FIRST (&f->endpoints));
  while (!APR_RING_EMPTY (&f->former, fleet_endpoint, link))
    forget_former (f, APR_RING_FIRST (&f->former));
  fleet_builds_clear (f);
  g_hash_table_destroy (f->by_id);
  g_hash_table_destroy (f->by_key);
  g_array_free (f->wanted, TRUE);
  g_array_free (f->service_stats, TRUE);
  g_hash_table_destroy (f->brittle);
  g_array_free (f->evacuated, TRUE);
  g_hash_table_destroy (f->regions);
  fleet_conf_unref (f->conf);
}

/*
 * A late reply, or a source that lags, may bring an older configuration:
 * applying it would restore a route or key that was removed.  Both the change
 * number and the operator's version must increase.
 */
bool
fleet_apply_conf (struct fleet *f, struct fleet_conf *c, int64_t row)
{
  if (row <= f->conf_row || (f->conf != NULL && c->version < f->conf->version))
    {
      fleet_conf_unref (c);
      return false;
    }
  fleet_conf_unref (f->conf);
  f->conf = c;
  f->conf_row = row;
  return true;
}

static struct fleet_wanted *
find_wanted (const struct fleet *f, const char *model)
{
  struct fleet_wanted *w;
  guint i;

  for (i = 0; i < f->wanted->len; i++)
    {
      w = &g_array_index (f->wanted, struct fleet_wanted, i);
      if (strcmp (w->model, model) == 0)
        return w;
    }
  return NULL;
}

const struct fleet_wanted *
fleet_wanted_of (const struct fleet *f, const char *model)
{
  return find_wanted (f, model);
}

static void
add_named (struct fleet_wanted *w, int64_t version, int64_t now_us)
{
  struct fleet_announced_version n = { version, now_us };

  if (w->nannounced == FLEET_ANNOUNCED_MAX)
    memmove (w->announced, w->announced + 1, sizeof n * --w->nannounced);
  w->announced[w->nannounced++] = n;
  w->version = version;
}

static int64_t
version_learned_us (const struct fleet_wanted *w, int64_t version)
{
  int i;

  for (i = 0; i < w->nannounced; i++)
    if (w->announced[i].version >= version)
      return w->announced[i].learned_us;
  return FLEET_NEVER;
}

/* Keeps the bounds ordered by version; of the same version the later time
   counts, and when there are too many the lowest version is dropped. */
static void
add_bound (struct fleet_wanted *w, int64_t version, int64_t at_us)
{
  struct fleet_announcement_bound bound = { version, at_us };
  int64_t learned = version_learned_us (w, version);
  int i = w->nbounds;

  /* This VM knows that it was announced by then, whatever others report. */
  if (learned != FLEET_NEVER)
    bound.at_us = MIN (at_us, learned);
  while (i > 0 && w->bounds[i - 1].version > version)
    i--;
  if (i > 0 && w->bounds[i - 1].version == version)
    {
      w->bounds[i - 1].at_us = MAX (w->bounds[i - 1].at_us, bound.at_us);
      return;
    }
  if (w->nbounds == FLEET_BOUNDS_MAX && i == 0)
    return;
  if (w->nbounds == FLEET_BOUNDS_MAX)
    {
      memmove (w->bounds, w->bounds + 1, sizeof bound * (size_t)--w->nbounds);
      i--;
    }
  memmove (w->bounds + i + 1, w->bounds + i,
           sizeof bound * (size_t)(w->nbounds - i));
  w->bounds[i] = bound;
  w->nbounds++;
}

bool
fleet_apply_wanted (struct fleet *f, const char *model, int64_t version,
                    int64_t not_before_us, int64_t now_us)
{
  struct fleet_wanted new = { .version = 0 };
  struct fleet_wanted *w = find_wanted (f, model);

  if (w != NULL && version <= w->version)
    return false;
  if (w == NULL)
    {
      g_strlcpy (new.model, model, sizeof new.model);
      g_array_append_val (f->wanted, new);
      w = find_wanted (f, model);
    }
  add_named (w, version, now_us);
  if (not_before_us != 0)
    add_bound (w, version, not_before_us);
  return true;
}

void
fleet_confirm_wanted (struct fleet *f, int64_t at_us)
{
  struct fleet_wanted *w;
  guint i;

  for (i = 0; i < f->wanted->len; i++)
    {
      w = &g_array_index (f->wanted, struct fleet_wanted, i);
      add_bound (w, w->version + 1, at_us);
    }
}

void
fleet_add_announcement_bound (struct fleet *f, const char *model,
                              int64_t version, int64_t at_us)
{
  struct fleet_wanted *w = find_wanted (f, model);

  if (w != NULL)
    add_bound (w, version, at_us);
}

int64_t
fleet_earliest_announcement_us (const struct fleet *f, const char *model,
                                int64_t version)
{
  const struct fleet_wanted *w = find_wanted (f, model);
  int64_t at = FLEET_NEVER;
  int i;

  for (i = 0; w != NULL && i < w->nbounds; i++)
    if (w->bounds[i].version <= version)
      at = MAX (at, w->bounds[i].at_us);
  return at;
}

int64_t
fleet_version_learned_us (const struct fleet *f, const char *model,
                          int64_t version)
{
  const struct fleet_wanted *w = find_wanted (f, model);

  return w != NULL ? version_learned_us (w, version) : FLEET_NEVER;
}

int64_t
fleet_earliest_outdated_us (const struct fleet *f,
                            const struct fleet_endpoint *e)
{
  return fleet_earliest_announcement_us (f, e->listing.model, e->version + 1);
}

/* A second version may be announced before the first is loaded; the time of
   each counts from its own announcement. */
const struct fleet_announced_version *
fleet_outdated_by (const struct fleet *f, const struct fleet_endpoint *e)
{
  const struct fleet_wanted *w;
  int i;

  if (e->listing.model[0] == '\0')
    return NULL;
  w = find_wanted (f, e->listing.model);
  for (i = 0; w != NULL && i < w->nannounced; i++)
    if (w->announced[i].version > e->version)
      return &w->announced[i];
  return NULL;
}

/* An entry by another writer may name a service that is not configured: it is
   then not an endpoint that may be ordered to reload. */
bool
fleet_is_declared (const struct fleet *f, const struct fleet_endpoint *e)
{
  return f->conf == NULL
         || g_hash_table_contains (f->conf->services, e->listing.service);
}

bool
fleet_lacks_model (const struct fleet *f, const struct fleet_endpoint *e)
{
  const struct fleet_service *sv;

  if (e->listing.model[0] != '\0' || f->conf == NULL)
    return false;
  sv = g_hash_table_lookup (f->conf->services, e->listing.service);
  return sv != NULL && sv->model != NULL;
}

bool
fleet_needs_weights (const struct fleet *f, const struct fleet_endpoint *e)
{
  return !e->draining && !e->removed && fleet_is_declared (f, e)
         && (e->version_doubted || fleet_outdated_by (f, e) != NULL);
}

int64_t
fleet_outdated_learned_us (const struct fleet *f,
                           const struct fleet_endpoint *e)
{
  const struct fleet_announced_version *n = fleet_outdated_by (f, e);

  return n != NULL ? n->learned_us : 0;
}

/*
 * Counted from when this VM learned of the newer version, the time limit of
 * old weights would restart on each VM that started meanwhile: callers got
 * answers from weights that had been outdated for 17 s.  Until the earliest
 * time at which they can have become outdated is known, a VM cannot know that
 * any time is left.
 */
bool
fleet_is_outdated_for (const struct fleet *f, const struct fleet_endpoint *e,
                       int64_t limit_us, int64_t now_us)
{
  int64_t since;

  if (fleet_outdated_by (f, e) == NULL)
    return false;
  since = fleet_earliest_outdated_us (f, e);
  return since == FLEET_NEVER || now_us - since >= limit_us;
}

/*
 * The version decreases when an order to an earlier incarnation, delayed for
 * seconds, matches the count of orders of the restarted one.  Assumed to have
 * the newest version, the endpoint would refuse all work and would not be
 * ordered to reload again.  A report replaces the known version only if it was
 * true after that version was learned: answers arrive out of order, and
 * entries are seconds old.
 */
void
fleet_apply_version (struct fleet_endpoint *e, int64_t version, int64_t at_us,
                     int64_t now_us)
{
  if (version <= 0)
    return;
  if (version > e->version || at_us > e->version_us)
    e->version_doubted = false;
  if (version > e->version || (version < e->version && at_us > e->version_us))
    {
      e->version = version;
      e->version_us = now_us;
    }
}

void
fleet_doubt_version (struct fleet_endpoint *e)
{
  e->version_doubted = true;
}

const char *
fleet_incarnation_name (enum fleet_incarnation incarnation)
{
  static const char *const names[] = {
    [FLEET_INCARNATION_SAME] = "same",
    [FLEET_INCARNATION_NEWER] = "younger",
    [FLEET_INCARNATION_OLDER] = "older",
    [FLEET_INCARNATION_UNKNOWN] = "unsaid",
  };

  return names[incarnation];
}

enum fleet_incarnation
fleet_incarnation_compare (const struct fleet_endpoint *e, int64_t started_ms)
{
  if (e == NULL || started_ms > e->listing.started_ms)
    return FLEET_INCARNATION_NEWER;
  if (started_ms == e->listing.started_ms)
    return FLEET_INCARNATION_SAME;
  return started_ms == 0 ? FLEET_INCARNATION_UNKNOWN : FLEET_INCARNATION_OLDER;
}

static struct fleet_endpoint *
add_incarnation (struct fleet *f, const struct fleet_listing *l,
                 int64_t now_us)
{
  struct fleet_endpoint *e = find_former (f, l);

  fleet_add_build (f, fleet_build_key (l), l->service, l->build);
  if (e != NULL)
    {
      restore_former (f, e);
      return e;
    }
  e = g_new0 (struct fleet_endpoint, 1);
  e->refs = 1;
  e->listing = *l;
  e->version = l->version;
  e->version_us = now_us;
  e->build_key = fleet_build_key (l);
  e->key = XXH3_64bits_withSeed (e->listing.id, strlen (e->listing.id),
                                 (uint64_t)e->listing.started_ms);
  APR_RING_ELEM_INIT (e, link);
  APR_RING_INSERT_TAIL (&f->endpoints, e, fleet_endpoint, link);
  g_hash_table_insert (f->by_id, e->listing.id, e);
  g_hash_table_insert (f->by_key, &e->key, e);
  return e;
}

/*
 * A restart is noticed up to seconds late, and what the endpoint reported in
 * answers since then was recorded for the previous incarnation.  Both the
 * limit and the backoff are kept, as they are temporary: the backoff ends by
 * itself, and an answer without a limit clears the limit.
 */
static struct fleet_endpoint *
replace_incarnation (struct fleet *f, struct fleet_endpoint *old,
                     const struct fleet_listing *l, int64_t now_us)
{
  struct limit limit = old->limit;
  int64_t backoff_until_us = old->requested_backoff_until_us;
  int64_t before_ms = old->listing.started_ms;
  struct fleet_endpoint *e;

  remove_endpoint (f, old);
  e = add_incarnation (f, l, now_us);
  if (e->listing.started_ms > before_ms)
    e->previous_ms = before_ms;
  e->limit = limit;
  e->requested_backoff_until_us = backoff_until_us;
  return e;
}

struct fleet_endpoint *
fleet_find_key (const struct fleet *f, uint64_t key)
{
  return g_hash_table_lookup (f->by_key, &key);
}

struct fleet_endpoint *
fleet_apply_restart (struct fleet *f, struct fleet_endpoint *e,
                     int64_t started_ms, int64_t now_us)
{
  struct fleet_listing l = e->listing;

  l.started_ms = started_ms;
  l.draining = false;
  l.build[0] = '\0';
  /* It restarts with the weights that it had. */
  l.version = e->version;
  return replace_incarnation (f, e, &l, now_us);
}

/* A platform may give no start times; a build that changed shows a restart,
   too.  An entry without a build says nothing on it. */
static bool
is_other_build (const struct fleet_endpoint *e, const struct fleet_listing *l)
{
  return l->build[0] != '\0' && strcmp (l->build, e->listing.build) != 0;
}

static struct fleet_endpoint *
change_build (struct fleet *f, struct fleet_endpoint *old,
              const struct fleet_listing *l, int64_t now_us)
{
  bool draining = old->draining && !old->draining_unordered;
  struct fleet_endpoint *e = replace_incarnation (f, old, l, now_us);

  e->draining |= draining;
  return e;
}

/*
 * Which incarnation wrote the entry is not known: its endpoint may have
 * restarted with its clock behind, or a delayed write may have overwritten the
 * entry.  In the first case requests must not reach it while it drains; in the
 * second its next entry, a heartbeat later, ends this.  The incarnation before
 * the known one has ended.
 */
static void
apply_unordered (struct fleet_endpoint *e, const struct fleet_listing *l)
{
  if (l->started_ms != 0 && l->started_ms == e->previous_ms)
    return;
  if (!e->draining || e->draining_unordered)
    e->draining = e->draining_unordered = l->draining;
}

void
fleet_apply_draining (struct fleet_endpoint *e)
{
  e->draining = true;
  e->draining_unordered = false;
}

struct fleet_endpoint *
fleet_apply_listing (struct fleet *f, const struct fleet_listing *l,
                     int64_t now_us)
{
  struct fleet_endpoint *e = g_hash_table_lookup (f->by_id, l->id);
  char build[FLEET_NAME_SIZE] = "";

  switch (fleet_incarnation_compare (e, l->started_ms))
    {
    case FLEET_INCARNATION_OLDER:
    case FLEET_INCARNATION_UNKNOWN:
      apply_unordered (e, l);
      return e;
    case FLEET_INCARNATION_NEWER:
      e = e != NULL ? replace_incarnation (f, e, l, now_us)
                    : add_incarnation (f, l, now_us);
      break;
    case FLEET_INCARNATION_SAME:
      if (is_other_build (e, l))
        e = change_build (f, e, l, now_us);
      break;
    }
  fleet_apply_version (e, l->version, FLEET_NEVER, now_us);
  if (l->cold_us > 0)
    cold_until (&e->cold, now_us + l->cold_us);
  g_strlcpy (build, e->listing.build, sizeof build);
  /* by_id uses the id as its key; the new one is equal. */
  e->listing = *l;
  g_strlcpy (e->listing.build, build, sizeof build);
  /* Draining is final for an incarnation; the next one may be ready. */
  if (l->draining)
    fleet_apply_draining (e);
  else if (e->draining_unordered)
    e->draining = e->draining_unordered = false;
  e->missing_since_us = 0;
  return e;
}

void
fleet_list_recovered (struct fleet *f, int64_t lost_us, int64_t since_us)
{
  struct fleet_endpoint *e;

  f->list_settles_us = since_us + RETURN_WAIT_US;
  APR_RING_FOREACH (e, &f->endpoints, fleet_endpoint, link)
  {
    if (e->missing_since_us != 0)
      e->missing_until_us
          = MIN (e->missing_until_us + since_us - lost_us, f->list_settles_us);
  }
}

bool
fleet_is_list_settled (const struct fleet *f, int64_t now_us)
{
  return now_us >= f->list_settles_us;
}

void
fleet_apply_missing (struct fleet *f, struct fleet_endpoint *e, int64_t now_us)
{
  if (fleet_is_list_settled (f, now_us))
    remove_endpoint (f, e);
  else if (e->missing_since_us == 0)
    {
      e->missing_since_us = now_us;
      e->missing_until_us = f->list_settles_us;
    }
}

void
fleet_remove_missing (struct fleet *f, fleet_removed removed, void *arg,
                      int64_t now_us)
{
  struct fleet_endpoint *e, *next;

  for (e = APR_RING_FIRST (&f->endpoints);
       e != APR_RING_SENTINEL (&f->endpoints, fleet_endpoint, link); e = next)
    {
      next = APR_RING_NEXT (e, link);
      if (e->missing_since_us == 0 || now_us < e->missing_until_us)
        continue;
      if (removed != NULL)
        removed (arg, e, now_us);
      remove_endpoint (f, e);
    }
}

/* --- regions --------------------------------------------------------- */

bool
fleet_parse_regions (struct fleet *f, const char *text)
{
  g_auto (GStrv) list = g_strsplit (text, " ", -1);
  char *equals;
  int i;

  for (i = 0; list[i] != NULL; i++)
    {
      if (list[i][0] == '\0')
        continue;
      equals = strchr (list[i], '=');
      if (equals == NULL || equals == list[i] || equals[1] == '\0')
        return false;
      *equals = '\0';
      g_hash_table_replace (f->regions, g_strdup (list[i]),
                            g_strdup (equals + 1));
    }
  return true;
}

static bool
is_allowed (const char *const *regions, const char *region)
{
  if (regions == NULL)
    return true;
  return region != NULL && g_strv_contains (regions, region);
}

bool
fleet_is_region_allowed (const struct fleet *f,
                         const struct fleet_region_limits *regions,
                         const char *domain)
{
  const char *region;

  if (regions->route == NULL && regions->workspace == NULL)
    return true;
  region = g_hash_table_lookup (f->regions, domain);
  return is_allowed (regions->route, region)
         && is_allowed (regions->workspace, region);
}

/* --- evacuated domains ----------------------------------------------- */

bool
fleet_is_evacuated (const struct fleet *f, const char *domain)
{
  const struct fleet_evacuation *v;
  guint i;

  for (i = 0; i < f->evacuated->len; i++)
    {
      v = &g_array_index (f->evacuated, struct fleet_evacuation, i);
      if (strcmp (v->domain, domain) == 0)
        return true;
    }
  return false;
}

/* --- shares of rates ------------------------------------------------- */

static const struct fleet_service *
service_of (const struct fleet *f, const struct fleet_endpoint *e)
{
  return f->conf != NULL
             ? g_hash_table_lookup (f->conf->services, e->listing.service)
             : NULL;
}

static void
refresh_cold_share (struct fleet *f, struct fleet_endpoint *e, int64_t now_us)
{
  const struct fleet_service *s = service_of (f, e);
  int share = 0;

  if (s != NULL && f->cold_share != NULL)
    share = f->cold_share (f->share_arg, e->key, s->cold_requests_s);
  cold_set_share (&e->cold, share, now_us);
}

static void
refresh_limit_interval (struct fleet *f, struct fleet_endpoint *e,
                        int64_t now_us)
{
  int64_t interval_us = LIMIT_PROBE_INTERVAL_US;

  if (f->limit_interval_us != NULL)
    interval_us = f->limit_interval_us (f->share_arg, e->key,
                                        e->limit.milli_rps, now_us);
  limit_set_interval (&e->limit, interval_us, now_us);
}

void
fleet_refresh_rate_shares (struct fleet *f, int64_t now_us)
{
  struct fleet_endpoint *e;
  bool brittle_due = false;

  APR_RING_FOREACH (e, &f->endpoints, fleet_endpoint, link)
  {
    brittle_due |= fleet_is_brittle_share_due (e, now_us);
    if (cold_is_share_stale (&e->cold, now_us))
      refresh_cold_share (f, e, now_us);
    if (limit_is_interval_stale (&e->limit, now_us))
      refresh_limit_interval (f, e, now_us);
  }
  if (brittle_due)
    fleet_refresh_brittle_shares (f, now_us);
}

int64_t
fleet_conf_age_us (const struct fleet *f, int64_t now_us)
{
  return f->conf_current_us == 0 ? INT64_MAX : now_us - f->conf_current_us;
}

int64_t
fleet_list_age_us (const struct fleet *f, int64_t now_us)
{
  return f->list_current_us == 0 ? INT64_MAX : now_us - f->list_current_us;
}

bool
fleet_is_list_known (const struct fleet *f, int64_t now_us)
{
  return f->list_age_max_us == 0
         || now_us - MAX (f->list_current_us, f->list_failed_us)
                < f->list_age_max_us;
}

int64_t
fleet_missing_us (const struct fleet_endpoint *e, int64_t now_us)
{
  return e->missing_since_us != 0 ? now_us - e->missing_since_us : 0;
}
