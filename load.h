/*
 * Load that the VMs' requests cause at endpoints, as the VMs report it to each
 * other.
 *
 * A VM sees its own requests and, occasionally, an endpoint's report of all
 * requests; with many VMs nearly all load at an endpoint is caused by others.
 * So each VM reports to the others how many tokens of its long prompts are
 * still to be prefilled there and how much KV cache they use.  It is a hint
 * for placement only: no other decision uses it, old reports expire, and
 * nothing waits for it.  The code here has no side effects outside the table.
 */
#ifndef CQ_LOAD_H
#define CQ_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#define LOAD_ENTRIES_MAX 40 /* of one message, so that it fits a datagram */
#define LOAD_VM_SIZE 64     /* bytes of a VM's name with its NUL */

/* Requests of a VM at one endpoint with the same last shared part of their
   prompts, which is prefilled once and stored once. */
struct load_entry
{
  uint64_t endpoint;              /* key of the endpoint's incarnation */
  uint64_t part;                  /* digest of that part */
  int64_t pending_prefill_tokens; /* not shared, still to be prefilled */
  int64_t kv_tokens; /* KV cache of these prompts, without what is shared */
  int64_t shared_pending_prefill_tokens; /* shared, still to be prefilled */
  int64_t shared_kv_tokens;              /* KV cache of what is shared */
};

/* What a VM observed of an endpoint. */
enum load_seen
{
  LOAD_SEEN_ANSWERED,    /* it answered a request or a probe */
  LOAD_SEEN_UNREACHABLE, /* no connection within the time allowed */
  LOAD_SEEN_REFUSED,     /* nothing listens at its address */
  LOAD_SEEN_FAILED       /* it broke off, or answered with an error of its
                            own */
};

#define LOAD_REPORTS_MAX 24 /* of one message */

/* A VM's newest observation of an endpoint. */
struct endpoint_report
{
  uint64_t endpoint;   /* key of the endpoint's incarnation */
  enum load_seen seen; /* what was observed */
  int64_t age_us;      /* age of the observation when the message is sent */
  int running;         /* requests running there, -1 if not reported */
  int waiting;         /* requests waiting there */
  int speed_percent;   /* time that work takes there, 100 is normal; 0 if not
                          reported */
};

/* Load at an endpoint. */
struct load_sum
{
  int64_t pending_prefill_tokens; /* tokens to prefill */
  int64_t kv_tokens; /* tokens of KV cache that are in use, or will be */
};

/* The load of a VM's own requests, complete: the next message makes up for a
   lost one. */
struct load_gossip
{
  char vm[LOAD_VM_SIZE];     /* its name */
  char domain[LOAD_VM_SIZE]; /* its failure domain */
  uint64_t incarnation;      /* incarnation of that VM; increases */
  uint64_t seq;              /* increases with each message of an
                                incarnation */
  int nentries;              /* entries below */
  struct load_entry entries[LOAD_ENTRIES_MAX]; /* load by endpoint and shared
                                                  part */
  int nreports;                                /* reports below */
  struct endpoint_report
      reports[LOAD_REPORTS_MAX]; /* observations of the VM */
};

struct load_table;

struct load_table *load_new (void);
void load_free (struct load_table *t);

/* Replaces a VM's last message by W; returns false if a newer one was received
   before, or the table is full. */
bool load_update (struct load_table *t, const struct load_gossip *w,
                  int64_t now_us);
/* Drops the load of VMs that have sent no message for some time. */
void load_expire (struct load_table *t, int64_t now_us);
/* Extrapolates where only SOME of the ALL VMs of this failure domain send to
   this VM.  PARTIAL: almost nothing is known of endpoints in other domains. */
void load_scale (struct load_table *t, int all, int some, bool partial);
bool load_is_partial (const struct load_table *t);
/* Returns the load of all VMs at ENDPOINT; zeros if none was reported. */
struct load_sum load_at (const struct load_table *t, uint64_t endpoint);
/* Returns whether PART is in prefill or in use at ENDPOINT. */
bool load_has_part (const struct load_table *t, uint64_t endpoint,
                    uint64_t part);
/* Returns the number of VMs whose load is counted now. */
int load_peer_count (const struct load_table *t);

#endif
