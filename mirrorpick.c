/* Which VMs of a failure domain read the platform's tables for the others. */
#include "mirrorpick.h"

#include <string.h>
#include <xxhash.h>

/* Clients for which one more reader is chosen.  Each asks once a second, which
   takes the reader a quarter of a millisecond. */
#define CLIENTS_PER_READER 64
/* Readers in any case, so that the loss of one is covered by another. */
#define READERS_MIN 2
/* VMs beyond the readers and their substitutes that a client may ask for all
   rows while the readers are busy. */
#define OTHERS_MAX 8

/* A peer with what it is sorted by. */
struct ranked
{
  const struct mirror_peer *peer; /* NULL for this VM */
  int link_mbit_s;                /* the larger, the earlier */
  uint64_t score;                 /* then the higher, the earlier */
};

int
mirrorpick_readers (int vms)
{
  return MIN (vms, READERS_MIN + vms / CLIENTS_PER_READER);
}

static gint
by_preference (gconstpointer a, gconstpointer b)
{
  const struct ranked *ra = a;
  const struct ranked *rb = b;

  if (ra->link_mbit_s != rb->link_mbit_s)
    return ra->link_mbit_s > rb->link_mbit_s ? -1 : 1;
  return (ra->score < rb->score) - (ra->score > rb->score);
}

static uint64_t
score_of (const char *vm, uint64_t seed)
{
  return XXH3_64bits_withSeed (vm, strlen (vm), seed);
}

/* All VMs in the order in which they are preferred as readers, the same at all
   VMs with the same roster. */
static GArray *
rank_all (const char *self, int link_mbit_s, const GArray *peers)
{
  GArray *all = g_array_new (FALSE, FALSE, sizeof (struct ranked));
  struct ranked own = { NULL, link_mbit_s, score_of (self, 0) };
  guint i;

  g_array_append_val (all, own);
  for (i = 0; i < peers->len; i++)
    {
      const struct mirror_peer *p
          = &g_array_index (peers, struct mirror_peer, i);
      struct ranked r = { p, p->link_mbit_s, score_of (p->vm, 0) };

      g_array_append_val (all, r);
    }
  g_array_sort (all, by_preference);
  return all;
}

/* Appends the peers at places FROM to TO of ALL to ORDER, each client in an
   order of its own, so that the requests spread over them. */
static void
append_shuffled (GArray *order, const GArray *all, guint from, guint to,
                 const char *self)
{
  uint64_t seed = score_of (self, 1);
  g_autoptr (GArray) part = g_array_new (FALSE, FALSE, sizeof (struct ranked));
  guint i;

  for (i = from; i < MIN (to, all->len); i++)
    {
      struct ranked r = g_array_index (all, struct ranked, i);

      if (r.peer == NULL)
        continue;
      r.link_mbit_s = 0;
      r.score = score_of (r.peer->vm, seed);
      g_array_append_val (part, r);
    }
  g_array_sort (part, by_preference);
  for (i = 0; i < part->len; i++)
    g_array_append_vals (order, g_array_index (part, struct ranked, i).peer,
                         1);
}

static int
find_self (const GArray *all)
{
  guint i;

  for (i = 0; g_array_index (all, struct ranked, i).peer != NULL; i++)
    ;
  return (int)i;
}

void
mirrorpick_choose (struct mirror_choice *choice, const char *self,
                   int link_mbit_s, const GArray *peers, int min_vms)
{
  g_autoptr (GArray) all = rank_all (self, link_mbit_s, peers);
  guint readers = (guint)mirrorpick_readers ((int)all->len);

  choice->vms = (int)all->len;
  choice->readers = (int)readers;
  choice->rank = find_self (all);
  if (choice->vms < min_vms)
    choice->role = MIRROR_ALONE;
  else if (choice->rank < choice->readers)
    choice->role = MIRROR_READER;
  else
    choice->role = MIRROR_CLIENT;
  if (choice->order == NULL)
    choice->order = g_array_new (FALSE, TRUE, sizeof (struct mirror_peer));
  g_array_set_size (choice->order, 0);
  choice->earlier = choice->role == MIRROR_READER ? choice->rank : 0;
  append_shuffled (choice->order, all, 0, (guint)choice->earlier, self);
  append_shuffled (choice->order, all, (guint)choice->earlier, readers, self);
  append_shuffled (choice->order, all, readers, 2 * readers, self);
  append_shuffled (choice->order, all, 2 * readers, all->len, self);
  if (choice->order->len > 2 * readers + OTHERS_MAX)
    g_array_set_size (choice->order, 2 * readers + OTHERS_MAX);
}

const char *
mirrorpick_role_name (enum mirror_role role)
{
  static const char *const names[] = {
    [MIRROR_UNKNOWN] = "unknown",
    [MIRROR_ALONE] = "alone",
    [MIRROR_READER] = "reader",
    [MIRROR_CLIENT] = "client",
  };

  return names[role];
}
