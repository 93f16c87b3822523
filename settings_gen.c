/* Generated from settings.schema by gen-settings.awk. */
#include "libsettings.h"

#include <stddef.h>

static const char *const words_vm_log_level[]
    = { "debug", "info", "warning", "error", NULL };

static const struct cfg_key keys_vm[] = {
  { "name", CFG_NAME, offsetof (struct cfg_vm, name), NULL, 0, 0, NULL,
    "Name of the VM, unique among all VMs." },
  { "domain", CFG_NAME, offsetof (struct cfg_vm, domain), NULL, 0, 0, NULL,
    "Failure domain the VM stands in." },
  { "listen", CFG_ADDRESS, offsetof (struct cfg_vm, listen), NULL, 0, 0, NULL,
    "Address and port for callers; port 0 lets the kernel choose." },
  { "workers", CFG_INT, offsetof (struct cfg_vm, workers), "2", 1, 64, NULL,
    "Threads that carry requests." },
  { "connections", CFG_INT, offsetof (struct cfg_vm, connections), "4096", 8,
    65536, NULL, "Connections of callers held at once by all workers." },
  { "header_timeout_s", CFG_INT, offsetof (struct cfg_vm, header_timeout_s),
    "15", 1, 600, NULL,
    "Seconds without a byte after which a caller's connection is closed." },
  { "stream_buffer_kb", CFG_INT, offsetof (struct cfg_vm, stream_buffer_kb),
    "64", 8, 4096, NULL,
    "Kilobytes held for a slow reader before the endpoint is paused." },
  { "resume_text_kb", CFG_INT, offsetof (struct cfg_vm, resume_text_kb), "64",
    0, 4096, NULL,
    "Kilobytes of generated text kept so that a broken stream can resume." },
  { "answer_max_kb", CFG_INT, offsetof (struct cfg_vm, answer_max_kb), "4096",
    16, 65536, NULL, "Kilobytes of an answer that is passed on whole." },
  { "drain_notice_ms", CFG_INT, offsetof (struct cfg_vm, drain_notice_ms),
    "1000", 0, 60000, NULL,
    "Milliseconds between turning unhealthy and refusing new work on a "
    "stop." },
  { "drain_limit_s", CFG_INT, offsetof (struct cfg_vm, drain_limit_s), "3600",
    1, 86400, NULL, "Seconds a stop waits for running requests." },
  { "poll_ms", CFG_INT, offsetof (struct cfg_vm, poll_ms), "1000", 50, 60000,
    NULL, "Milliseconds between load reports asked of an endpoint." },
  { "prefix_entries", CFG_INT, offsetof (struct cfg_vm, prefix_entries),
    "65536", 64, 4194304, NULL, "Prompt prefixes remembered for routing." },
  { "body_memory_mb", CFG_INT, offsetof (struct cfg_vm, body_memory_mb), "256",
    1, 65536, NULL, "Megabytes of request bodies held at once." },
  { "history", CFG_INT, offsetof (struct cfg_vm, history), "4096", 16, 1048576,
    NULL, "Finished requests kept for explanation." },
  { "seed", CFG_INT, offsetof (struct cfg_vm, seed), "0", 0, 2147483647, NULL,
    "Seed of random choices; 0 takes one from the system." },
  { "log_level", CFG_ENUM, offsetof (struct cfg_vm, log_level), "info", 0, 0,
    words_vm_log_level, "Least severe events that are logged." },
};

static const struct cfg_key keys_platform[] = {
  { "table", CFG_URL, offsetof (struct cfg_platform, table), "", 0, 0, NULL,
    "Base URL of the transactional table; empty runs without it." },
  { "objects", CFG_URL, offsetof (struct cfg_platform, objects), "", 0, 0,
    NULL,
    "Base URL of the object store; empty keeps large answers in the table." },
  { "timeout_ms", CFG_INT, offsetof (struct cfg_platform, timeout_ms), "1000",
    10, 60000, NULL,
    "Milliseconds after which a call to the platform counts as lost." },
  { "claim_batch", CFG_INT, offsetof (struct cfg_platform, claim_batch), "64",
    1, 1000, NULL,
    "Claims that share one transaction; 1 turns group commit off." },
  { "claim_linger_ms", CFG_INT,
    offsetof (struct cfg_platform, claim_linger_ms), "2", 0, 1000, NULL,
    "Milliseconds a claim waits for others to share its transaction." },
  { "record_inline_kb", CFG_INT,
    offsetof (struct cfg_platform, record_inline_kb), "16", 0, 1024, NULL,
    "Kilobytes of an answer kept in the table itself." },
  { "record_wait_ms", CFG_INT, offsetof (struct cfg_platform, record_wait_ms),
    "2000", 0, 60000, NULL,
    "Milliseconds a finished call waits for its answer to be recorded." },
};

static const struct cfg_key keys_workspace[] = {
  { "keys", CFG_KEYS, offsetof (struct cfg_workspace, keys), "", 0, 0, NULL,
    "Salted hashes of the workspace's keys, made by \"camphorquay key\"." },
  { "services", CFG_NAMES, offsetof (struct cfg_workspace, services), "", 0, 0,
    NULL, "Services the workspace may use." },
  { "urgent", CFG_BOOL, offsetof (struct cfg_workspace, urgent), "no", 0, 0,
    NULL, "Whether its callers may mark requests as urgent." },
  { "concurrency", CFG_INT, offsetof (struct cfg_workspace, concurrency), "64",
    1, 100000, NULL, "Requests running at once on one VM." },
  { "queue_max", CFG_INT, offsetof (struct cfg_workspace, queue_max), "256", 0,
    100000, NULL, "Requests waiting at once on one VM." },
  { "body_max_kb", CFG_INT, offsetof (struct cfg_workspace, body_max_kb),
    "1024", 1, 65536, NULL, "Kilobytes of one request body." },
  { "tokens_s", CFG_INT, offsetof (struct cfg_workspace, tokens_s), "0", 0,
    1000000000, NULL, "Model tokens a second on one VM; 0 sets no limit." },
  { "token_burst", CFG_INT, offsetof (struct cfg_workspace, token_burst),
    "100000", 1, 1000000000, NULL, "Tokens that may be spent at once." },
};

static const char *const words_service_kind[] = { "model", "plain", NULL };

static const char *const words_service_claim_outage[]
    = { "refuse", "run", NULL };

static const struct cfg_key keys_service[] = {
  { "kind", CFG_ENUM, offsetof (struct cfg_service, kind), "model", 0, 0,
    words_service_kind, "Model engine, or a plain service behind /v1/call." },
  { "version", CFG_STRING, offsetof (struct cfg_service, version), "", 0, 0,
    NULL, "Weight version that new requests use." },
  { "repeatable", CFG_BOOL, offsetof (struct cfg_service, repeatable), "yes",
    0, 0, NULL, "Whether a call may be sent again after it may have run." },
  { "deduplicates", CFG_BOOL, offsetof (struct cfg_service, deduplicates),
    "no", 0, 0, NULL,
    "Whether its endpoints run calls with equal Idempotency-Key once." },
  { "refusal_status", CFG_STRING,
    offsetof (struct cfg_service, refusal_status), "", 0, 0, NULL,
    "HTTP statuses by which endpoints refuse before running, such as \"429 "
    "503\"." },
  { "claim_outage", CFG_ENUM, offsetof (struct cfg_service, claim_outage),
    "refuse", 0, 0, words_service_claim_outage,
    "What to do with a call that may not repeat while the table is down." },
  { "urgent_reserve", CFG_INT, offsetof (struct cfg_service, urgent_reserve),
    "1", 0, 10000, NULL, "Places that only urgent requests may take." },
  { "share_percent", CFG_INT, offsetof (struct cfg_service, share_percent),
    "75", 1, 100, NULL,
    "Share of a service's places that one workspace may hold with normal "
    "work." },
  { "queue_max", CFG_INT, offsetof (struct cfg_service, queue_max), "1024", 0,
    1000000, NULL, "Requests waiting at once on one VM." },
  { "deadline_ms", CFG_INT, offsetof (struct cfg_service, deadline_ms),
    "60000", 10, 86400000, NULL,
    "Milliseconds a request may wait to start unless it says otherwise." },
  { "run_max_s", CFG_INT, offsetof (struct cfg_service, run_max_s), "600", 1,
    86400, NULL, "Seconds one attempt may run." },
  { "stall_ms", CFG_INT, offsetof (struct cfg_service, stall_ms), "30000", 100,
    3600000, NULL,
    "Milliseconds without a byte after which an attempt is broken." },
  { "attempts", CFG_INT, offsetof (struct cfg_service, attempts), "3", 1, 16,
    NULL, "Attempts at one request, the first included." },
  { "retry_percent", CFG_INT, offsetof (struct cfg_service, retry_percent),
    "10", 0, 100, NULL, "Retries allowed, as a share of requests." },
  { "retry_burst", CFG_INT, offsetof (struct cfg_service, retry_burst), "10",
    0, 10000, NULL, "Retries allowed before any were earned." },
  { "send_within_ms", CFG_INT, offsetof (struct cfg_service, send_within_ms),
    "2000", 10, 60000, NULL,
    "Milliseconds after its claim in which a call may still be sent." },
  { "max_tokens", CFG_INT, offsetof (struct cfg_service, max_tokens), "256", 1,
    1000000, NULL, "Tokens generated when the caller names no number." },
};

static const struct cfg_key keys_endpoint[] = {
  { "service", CFG_NAME, offsetof (struct cfg_endpoint, service), NULL, 0, 0,
    NULL, "Service it serves." },
  { "domain", CFG_NAME, offsetof (struct cfg_endpoint, domain), NULL, 0, 0,
    NULL, "Failure domain it stands in." },
  { "address", CFG_ADDRESS, offsetof (struct cfg_endpoint, address), NULL, 0,
    0, NULL, "IP number and port." },
  { "slots", CFG_INT, offsetof (struct cfg_endpoint, slots), "16", 1, 100000,
    NULL, "Requests it runs at once." },
  { "prefill_tokens_s", CFG_INT,
    offsetof (struct cfg_endpoint, prefill_tokens_s), "8000", 1, 100000000,
    NULL, "Prompt tokens it processes in a second." },
  { "decode_us", CFG_INT, offsetof (struct cfg_endpoint, decode_us), "20000",
    0, 10000000, NULL, "Microseconds for each generated token." },
  { "rtt_us", CFG_INT, offsetof (struct cfg_endpoint, rtt_us), "500", 0,
    10000000, NULL, "Round trip to it in microseconds." },
};

static const struct cfg_key keys_operator[] = {
  { "keys", CFG_KEYS, offsetof (struct cfg_operator, keys), NULL, 0, 0, NULL,
    "Salted hashes of the operator's keys." },
  { "workspaces", CFG_NAMES, offsetof (struct cfg_operator, workspaces), "", 0,
    0, NULL, "Workspaces it may see and change; empty for all." },
};

const struct cfg_group cfg_groups[CFG_GROUPS] = {
  { "vm", false, keys_vm, 17, sizeof (struct cfg_vm),
    "This VM and its place." },
  { "platform", false, keys_platform, 7, sizeof (struct cfg_platform),
    "The platform's services." },
  { "workspace", true, keys_workspace, 8, sizeof (struct cfg_workspace),
    "A customer of the system." },
  { "service", true, keys_service, 17, sizeof (struct cfg_service),
    "What callers ask for by name." },
  { "endpoint", true, keys_endpoint, 7, sizeof (struct cfg_endpoint),
    "A back end." },
  { "operator", true, keys_operator, 2, sizeof (struct cfg_operator),
    "A person or program that runs the system." },
};
