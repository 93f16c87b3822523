/*
 * A lease in the platform's store: which VM may give orders.
 *
 * Endpoints may not check fencing tokens, so safety depends on time.  The row
 * says until when its holder may give orders.  The holder stops before that
 * time by the latest estimate of the store's clock.  A successor starts only
 * when, by the earliest estimate, that time and a gap after it have passed.  A
 * holder extends the time only just before it gives an order, so that a
 * successor seldom waits for orders that were never given.
 *
 * A store that is restored from an older copy loses the newest rows and begins
 * a new era, in which versions are assigned again.  A row of an earlier era
 * does not name the last holder, so a successor waits until the orders of all
 * holders of earlier eras have ended, and fencing tokens contain the era.
 *
 * All functions here are pure.
 */
#ifndef CQ_LEASE_H
#define CQ_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#define LEASE_HOLDER_SIZE 96       /* bytes of a holder's name with its NUL */
#define LEASE_MODEL_SIZE 64        /* bytes of a model's name with its NUL */
#define LEASE_ANNOUNCEMENTS_MAX 16 /* announcements that a row can hold */
/* Longest time from the write of a row until the end of its window for orders:
   the window itself, and twice the second that a call about the row may take.
 */
#define LEASE_WINDOW_MAX_MS 2400

/* When a weight version was announced, for VMs that did not see it then: no
   version of the model from this one on was announced before since_ms. */
struct lease_announcement
{
  char model[LEASE_MODEL_SIZE]; /* model whose weights are announced */
  int64_t version;              /* lowest version that this entry covers */
  int64_t since_ms;             /* earliest time of the announcement */
};

/* The lease as stored in its row; times are in the store's milliseconds. */
struct lease_row
{
  char holder[LEASE_HOLDER_SIZE]; /* VM and incarnation, "VM/INCARNATION" */
  int64_t era;            /* era of the store that the writer knew; 0: none */
  int64_t expires_ms;     /* another VM may take over from then on */
  int64_t begin_ms;       /* the holder may give orders from then on */
  int64_t order_until_ms; /* orders of this holder and of earlier ones are sent
                             before then; 0: none was given */
  bool released;          /* the holder gives no more orders */
  struct lease_announcement
      announcements[LEASE_ANNOUNCEMENTS_MAX]; /* the newest announcements,
                                                 oldest first */
  int nannouncements;                         /* entries in announcements */
};

/* One reading of the store's clock. */
struct lease_clock
{
  int64_t sent_us;  /* when the call was sent */
  int64_t got_us;   /* when its answer arrived */
  int64_t store_ms; /* the store's clock between the two; 0: never read */
};

/* Lower and upper bound of the store's clock at NOW_US. */
int64_t lease_earliest_ms (const struct lease_clock *c, int64_t now_us);
int64_t lease_latest_ms (const struct lease_clock *c, int64_t now_us);

/* The earliest time on the local clock at which the store's clock may have
   shown STORE_MS. */
int64_t lease_to_local_us (const struct lease_clock *c, int64_t store_ms);

/* Adds an announcement to the row as its newest and drops the oldest one if
   the row is full.  If the row already has the version, the later of both
   times is kept. */
void lease_add_announcement (struct lease_row *row,
                             const struct lease_announcement *n);

/* Whether HOLDER may try to acquire the lease; ROW is NULL if there is no
   row. */
bool lease_is_free (const struct lease_row *row, const char *holder,
                    const struct lease_clock *c, int64_t now_us);

/* When orders may begin after taking over from ROW, in the store's
   milliseconds: GAP_MS after the last order that an earlier holder may have
   given.  An earlier incarnation of the same VM counts as the same holder: the
   new one begins when the earlier one would have begun. */
int64_t lease_begin_ms (const struct lease_row *row, const char *holder,
                        int64_t gap_ms);

/* Whether ROW, or its absence if it is NULL, tells who held the lease last
   when read in ERA.  A store without eras is never restored. */
bool lease_is_current (const struct lease_row *row, int64_t era);

/* Until when holders of earlier eras may give orders, in the store's
   milliseconds.  ROW is of an earlier era, or NULL; SEEN_US is a time at which
   the present era had begun. */
int64_t lease_earlier_orders_end_ms (const struct lease_row *row,
                                     const struct lease_clock *c,
                                     int64_t seen_us);

/* Fencing token of a holder that acquired the lease by writing VERSION of the
   row in ERA.  It grows with each holder, also across eras; in the first era
   it is the version. */
int64_t lease_fence (int64_t era, int64_t version);

/* Whether an order may be sent now, under a row whose write is acknowledged.
 */
bool lease_may_order (const struct lease_row *row, const struct lease_clock *c,
                      int64_t now_us);

#endif
