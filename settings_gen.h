/* Generated from settings.schema by gen-settings.awk. */
#ifndef CQ_SETTINGS_GEN_H
#define CQ_SETTINGS_GEN_H

#include <stdbool.h>
#include <stdint.h>

/* Values of log_level in group vm. */
enum cfg_vm_log_level
{
  CFG_VM_LOG_LEVEL_DEBUG,
  CFG_VM_LOG_LEVEL_INFO,
  CFG_VM_LOG_LEVEL_WARNING,
  CFG_VM_LOG_LEVEL_ERROR
};

/* This VM and its place. */
struct cfg_vm
{
  char *name;   /* Name of the VM, unique among all VMs. */
  char *domain; /* Failure domain the VM stands in. */
  char *listen; /* Address and port for callers; port 0 lets the kernel choose.
                 */
  char *peer_listen; /* Address and port for other VMs; port 0 lets the kernel
                        choose. */
  char *peer_keys;   /* Keys that VMs share, ID:64 hexadecimal digits parted by
                        spaces; the first one seals; empty, and no VM is spoken
                        to. */
  char *seeds;     /* VMs to speak to first, NAME=IP:PORT parted by spaces. */
  int64_t ping_ms; /* Milliseconds between questions to a neighbour VM. */
  int64_t
      head_ms; /* Milliseconds between looks for new settings in the table. */
  int64_t fresh_within_s; /* Seconds without a confirmation after which
                             settings count as stale. */
  int64_t workers;        /* Threads that carry requests. */
  int64_t
      connections; /* Connections of callers held at once by all workers. */
  int64_t header_timeout_s; /* Seconds without a byte after which a caller's
                               connection is closed. */
  int64_t stream_buffer_kb; /* Kilobytes held for a slow reader before the
                               endpoint is paused. */
  int64_t resume_text_kb; /* Kilobytes of generated text kept so that a broken
                             stream can resume. */
  int64_t answer_max_kb;  /* Kilobytes of an answer that is passed on whole. */
  int64_t drain_notice_ms; /* Milliseconds between turning unhealthy and
                              refusing new work on a stop. */
  int64_t drain_limit_s;   /* Seconds a stop waits for running requests. */
  int64_t
      poll_ms; /* Milliseconds between load reports asked of an endpoint. */
  int64_t kept_entries;   /* Kept segments remembered. */
  int64_t prefix_entries; /* Prompt prefixes remembered for routing. */
  int64_t body_memory_mb; /* Megabytes of request bodies held at once. */
  int64_t history;        /* Finished requests kept for explanation. */
  int64_t seed;  /* Seed of random choices; 0 takes one from the system. */
  int log_level; /* Least severe events that are logged. */
  int64_t log_lines_s; /* Debug and info lines written a second; the rest is
                          counted; 0 writes all. */
};

/* The platform's services. */
struct cfg_platform
{
  char
      *table; /* Base URL of the transactional table; empty runs without it. */
  char *vm_list; /* Base URL of the list of live and leaving VMs. */
  char *objects; /* Base URL of the object store; empty keeps large answers in
                    the table. */
  int64_t timeout_ms; /* Milliseconds after which a call to the platform counts
                         as lost. */
  int64_t claim_batch;     /* Claims that share one transaction; 1 turns group
                              commit off. */
  int64_t claim_linger_ms; /* Milliseconds a claim waits for others to share
                              its transaction. */
  int64_t
      record_inline_kb; /* Kilobytes of an answer kept in the table itself. */
  int64_t record_wait_ms; /* Milliseconds a finished call waits for its answer
                             to be recorded. */
};

/* Requests that come through a platform's balancer. */
struct cfg_entry
{
  char *listen; /* Address and port for these requests; empty serves none. */
  char *ready;  /* Address and port where the balancer asks whether this VM is
                   ready. */
  char *store;  /* Address and port of the platform's metadata store. */
  char *tell;   /* Address and port where other VMs tell of their work at
                   endpoints; empty, and none is told or heard. */
  char *link_mbit_s; /* Megabits a second of this VM's link; VMs with more are
                        preferred as readers of the platform's lists. */
  int64_t share_vms; /* VMs of a failure domain, or of all domains where each
                        has fewer, from which on a few of them read the
                        platform's lists for the others. */
  int64_t drain_ms;  /* Milliseconds for which an endpoint that is listed as
                        draining still accepts requests. */
  int64_t revoke_ms; /* Milliseconds after which a key that was taken away must
                        open nothing. */
  int64_t apply_ms;  /* Milliseconds after which a change of the operators'
                        configuration must be in force. */
  int64_t version_ms; /* Milliseconds after which no request may begin on
                         weights older than those named. */
  int64_t
      quarantine_s; /* Seconds for which a request is refused under which three
                       endpoints or more ended, if that is no chance; ten times
                       as long with each further end; 0 refuses none. */
  int64_t order_gap_ms; /* Milliseconds between orders to endpoints from one VM
                           and from another. */
  int64_t weigh_unread; /* For experiments: percent of its weight that work
                           ahead has in placing. */
  int64_t weigh_memory; /* For experiments: the same of memory that would run
                           out. */
  int64_t weigh_parts;  /* For experiments: the same of kept parts to be had at
                           the prompt's own endpoint. */
  char *regions;      /* Region of each failure domain, DOMAIN=REGION parted by
                         spaces; a request that is bound to regions uses no domain
                         that is not named. */
  bool route_shares;  /* Whether an overloaded service is shared fairly among
                         its routes, and a workspace's priority is compared
                         before the route's instead of replacing it. */
  bool share_reports; /* Whether VMs send each other sealed reports of the
                         endpoints that they use. */
  bool plan_returns;  /* Whether refused callers are told to return when there
                         is room, and are then admitted before new ones of their
                         urgency. */
  bool forward; /* Whether requests for a service of which this VM reaches no
                   endpoint are forwarded to another VM, over the address of
                   tell. */
  int64_t retry_percent; /* Requests sent to a second endpoint, as a share of a
                            service's requests. */
  int64_t retry_burst;   /* Such requests allowed before any were earned. */
};

/* A customer of the system. */
struct cfg_workspace
{
  char *id;     /* Name in the group's header. */
  bool removed; /* Whether it is taken out of use. */
  char **keys;  /* Salted hashes of the workspace's keys, made by "camphorquay
                   key". */
  char **services;     /* Services the workspace may use. */
  bool urgent;         /* Whether its callers may mark requests as urgent. */
  int64_t concurrency; /* Requests running at once on one VM. */
  int64_t queue_max;   /* Requests waiting at once on one VM. */
  int64_t body_max_kb; /* Kilobytes of one request body. */
  int64_t tokens_s;    /* Model tokens a second on one VM; 0 sets no limit. */
  int64_t token_burst; /* Tokens that may be spent at once. */
};

/* Values of kind in group service. */
enum cfg_service_kind
{
  CFG_SERVICE_KIND_MODEL,
  CFG_SERVICE_KIND_PLAIN
};

/* Values of claim_outage in group service. */
enum cfg_service_claim_outage
{
  CFG_SERVICE_CLAIM_OUTAGE_REFUSE,
  CFG_SERVICE_CLAIM_OUTAGE_RUN
};

/* Values of when_stale in group service. */
enum cfg_service_when_stale
{
  CFG_SERVICE_WHEN_STALE_SERVE,
  CFG_SERVICE_WHEN_STALE_REFUSE
};

/* What callers ask for by name. */
struct cfg_service
{
  char *id;      /* Name in the group's header. */
  bool removed;  /* Whether it is taken out of use. */
  int kind;      /* Model engine, or a plain service behind /v1/call. */
  char *version; /* Weight version that new requests use. */
  bool
      repeatable; /* Whether a call may be sent again after it may have run. */
  bool deduplicates;    /* Whether its endpoints run calls with equal
                           Idempotency-Key once. */
  char *refusal_status; /* HTTP statuses by which endpoints refuse before
                           running, such as "429 503". */
  int claim_outage;     /* What to do with a call that may not repeat while the
                           table is down. */
  int64_t urgent_reserve; /* Places that only urgent requests may take. */
  int64_t share_percent;  /* Share of a service's places that one workspace may
                             hold with normal work. */
  int64_t queue_max;      /* Requests waiting at once on one VM. */
  int64_t deadline_ms;    /* Milliseconds a request may wait to start unless it
                             says otherwise. */
  int64_t run_max_s;      /* Seconds one attempt may run. */
  int64_t stall_ms; /* Milliseconds without a byte after which an attempt is
                       broken. */
  int64_t attempts; /* Attempts at one request, the first included. */
  int when_stale; /* What to do with requests while the settings are stale. */
  int64_t retry_percent;    /* Retries allowed, as a share of requests. */
  int64_t retry_burst;      /* Retries allowed before any were earned. */
  int64_t send_within_ms;   /* Milliseconds after its claim in which a call may
                               still be sent. */
  int64_t weight_first;     /* Weight of the time to first token in routing, in
                               hundredths. */
  int64_t weight_recompute; /* Weight of the time spent recomputing, in
                               hundredths. */
  int64_t
      weight_link; /* Weight of the time on a store's link, in hundredths. */
  int64_t kv_token_bytes; /* Bytes of KV cache for a prompt token; 0 keeps
                             nothing in stores. */
  int64_t keep_span_s; /* How far ahead a return counts when work is kept. */
  int64_t max_tokens;  /* Tokens generated when the caller names no number. */
};

/* A back end. */
struct cfg_endpoint
{
  char *id;                 /* Name in the group's header. */
  bool removed;             /* Whether it is taken out of use. */
  char *service;            /* Service it serves. */
  char *domain;             /* Failure domain it stands in. */
  char *address;            /* IP number and port. */
  int64_t slots;            /* Requests it runs at once. */
  int64_t prefill_tokens_s; /* Prompt tokens it processes in a second. */
  int64_t decode_us;        /* Microseconds for each generated token. */
  int64_t cache_tokens;     /* Prompt tokens its memory holds; 0 if unknown. */
  int64_t rtt_us;           /* Round trip to it in microseconds. */
};

/* A store of kept KV cache. */
struct cfg_store
{
  char *id;      /* Name in the group's header. */
  bool removed;  /* Whether it is taken out of use. */
  char *domain;  /* Failure domain it stands in. */
  char *address; /* IP number and port. */
  int64_t
      link_mb_s; /* Megabytes a second over its link, until it is measured. */
};

/* A person or program that runs the system. */
struct cfg_operator
{
  char *id;          /* Name in the group's header. */
  char **keys;       /* Salted hashes of the operator's keys. */
  char **workspaces; /* Workspaces it may see and change; empty for all. */
};

/* Groups of the settings, as indices of cfg_groups. */
enum cfg_group_id
{
  CFG_VM,
  CFG_PLATFORM,
  CFG_ENTRY,
  CFG_WORKSPACE,
  CFG_SERVICE,
  CFG_ENDPOINT,
  CFG_STORE,
  CFG_OPERATOR,
  CFG_GROUPS
};

#endif
