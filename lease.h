/*
 * A lease in the platform's store: which VM may give orders.
 *
 * Endpoints may not check fences, so safety rests on time.  The row says
 * until when its holder may give orders; the holder stops before by the latest
 * time the store's clock may show, and a successor starts only when by the
 * earliest time it may show that and a pause after it are over.  A holder
 * moves that time only just before it orders, so that a successor seldom waits
 * for orders that never were.  Everything here is pure.
 */
#ifndef CQ_LEASE_H
#define CQ_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#define LEASE_HOLDER_SIZE 96       /* bytes of a holder with its NUL */
#define LEASE_MODEL_SIZE 64        /* bytes of a model's name with its NUL */
#define LEASE_ANNOUNCEMENTS_MAX 16 /* namings of weights that a row holds */

/* When weights were named, for VMs that did not hear it then: none of a model
   from a version on before a moment. */
struct lease_announcement
{
  char model[LEASE_MODEL_SIZE]; /* whose weights */
  int64_t version;              /* the lowest of them */
  int64_t since_ms;             /* the moment */
};

/* The lease as its row says, in the store's milliseconds. */
struct lease_row
{
  char holder[LEASE_HOLDER_SIZE]; /* VM and life, "VM/LIFE" */
  int64_t expires_ms;             /* others may take over then */
  int64_t begin_ms;               /* its orders begin then */
  int64_t order_until_ms; /* its orders end before, and those of holders before
                             it; 0: none was given */
  bool released;          /* it gives no more orders */
  struct lease_announcement
      announcements[LEASE_ANNOUNCEMENTS_MAX]; /* the newest, oldest first */
  int nannouncements;                         /* entries in named */
};

/* One reading of the store's clock. */
struct lease_clock
{
  int64_t sent_us;  /* the call was sent */
  int64_t got_us;   /* its answer came */
  int64_t store_ms; /* what the store's clock showed in between; 0: never */
};

/* Bounds on the store's clock at NOW_US. */
int64_t lease_earliest_ms (const struct lease_clock *c, int64_t now_us);
int64_t lease_latest_ms (const struct lease_clock *c, int64_t now_us);

/* The moment on our clock before which the store's did not show STORE_MS. */
int64_t lease_to_local_us (const struct lease_clock *c, int64_t store_ms);

/* Put a naming into the row as its newest, in place of the oldest if it is
   full; what the row knows of it already can only become later. */
void lease_add_announcement (struct lease_row *row,
                             const struct lease_announcement *n);

/* Whether HOLDER may try to take the lease over; ROW is NULL if there is
   none. */
bool lease_is_free (const struct lease_row *row, const char *holder,
                    const struct lease_clock *c, int64_t now_us);

/* When orders may begin after taking over from ROW, in the store's
   milliseconds: GAP_MS after the last one that a holder before may have
   given.  A life of the same VM before this one is the same holder, and goes
   on when that would have begun. */
int64_t lease_begin_ms (const struct lease_row *row, const char *holder,
                        int64_t gap_ms);

/* Whether an order may leave now, under a row as it was acknowledged. */
bool lease_may_order (const struct lease_row *row, const struct lease_clock *c,
                      int64_t now_us);

#endif
