/* Metrics of this process; any thread may update them. */
#include "met.h"

#include <inttypes.h>

/* Name, type and help text of one metric. */
struct metric
{
  const char *name; /* as exported */
  const char *type; /* counter, gauge or histogram */
  const char *help; /* one sentence */
};

static const struct metric metrics[MET_COUNT] = {
  [MET_REQUESTS]
  = { "camphorquay_requests_total", "counter", "Requests to services." },
  [MET_ANSWERED] = { "camphorquay_answered_total", "counter",
                     "Requests that ended as answered." },
  [MET_NOT_RUN] = { "camphorquay_not_run_total", "counter",
                    "Requests that ended as not-run." },
  [MET_OVERLOAD]
  = { "camphorquay_overload_total", "counter",
      "Requests refused since their service is asked for too much." },
  [MET_OVER_ROUTE_SHARE]
  = { "camphorquay_over_route_share_total", "counter",
      "Requests refused since their route asks for more than its share." },
  [MET_RETURNS_PLANNED]
  = { "camphorquay_returns_planned_total", "counter",
      "Refused callers that were told a time with room for them." },
  [MET_RETURNS_CROWDED]
  = { "camphorquay_returns_crowded_total", "counter",
      "Refused callers for whom no time in their reach had room." },
  [MET_UNKNOWN] = { "camphorquay_unknown_total", "counter",
                    "Requests that ended as unknown." },
  [MET_FAILED] = { "camphorquay_failed_total", "counter",
                   "Requests that ended as failed." },
  [MET_ATTEMPTS]
  = { "camphorquay_attempts_total", "counter", "Attempts at endpoints." },
  [MET_RETRIES] = { "camphorquay_retries_total", "counter",
                    "Attempts that started a request over." },
  [MET_RESUMES] = { "camphorquay_resumes_total", "counter",
                    "Attempts that continued a broken stream." },
  [MET_RESUMES_NO_BUILD]
  = { "camphorquay_resumes_no_build_total", "counter",
      "Streams that could not go on since no endpoint of their build is "
      "left." },
  [MET_TAKEN_UP]
  = { "camphorquay_taken_up_total", "counter",
      "Streams that callers took up again and that go on at their build." },
  [MET_TAKEN_UP_UNKNOWN]
  = { "camphorquay_taken_up_unknown_total", "counter",
      "Streams that callers took up again and no VM knew the build of." },
  [MET_TAKEN_UP_UNLISTED]
  = { "camphorquay_taken_up_unlisted_total", "counter",
      "Streams that callers took up again and of whose build this VM was yet "
      "to list an endpoint." },
  [MET_BUILD_CHECKS]
  = { "camphorquay_build_checks_total", "counter",
      "Checks with the platform that all builds which served are known." },
  [MET_BUILD_CHECKS_FAILED] = { "camphorquay_build_checks_failed_total",
                                "counter", "Such checks that failed." },
  [MET_ORIGINS_SENT]
  = { "camphorquay_origins_sent_total", "counter",
      "Messages on where a stream began, counted once for each VM." },
  [MET_ORIGINS_ASKED]
  = { "camphorquay_origins_asked_total", "counter",
      "Questions where a stream began, counted once for each VM." },
  [MET_ORIGINS_INVALID]
  = { "camphorquay_origins_invalid_total", "counter",
      "Datagrams on where streams began that were not accepted." },
  [MET_STREAM_WRITES] = { "camphorquay_stream_writes_total", "counter",
                          "Writes to the platform of where streams began." },
  [MET_STREAM_WRITES_FAILED] = { "camphorquay_stream_writes_failed_total",
                                 "counter", "Such writes that failed." },
  [MET_STREAMS_ENDED] = { "camphorquay_streams_ended_total", "counter",
                          "Streams to callers that were ended as complete." },
  [MET_STREAMS_BROKEN] = { "camphorquay_streams_broken_total", "counter",
                           "Streams to callers that were broken off." },
  [MET_STREAMS_UNDELIMITED]
  = { "camphorquay_streams_undelimited_total", "counter",
      "Streams that were ended as complete with their endpoint's "
      "connection." },
  [MET_ENDS_DOUBTED]
  = { "camphorquay_ends_doubted_total", "counter",
      "Answers that ended with their connection, whose endpoint did not run "
      "any more." },
  [MET_EVENTS_CUT]
  = { "camphorquay_events_cut_total", "counter",
      "Incomplete events that were dropped at the end of an attempt." },
  [MET_EVENTS_REPEATED]
  = { "camphorquay_events_repeated_total", "counter",
      "Events that were dropped since the caller has them." },
  [MET_LONG_REPLIES] = { "camphorquay_long_replies_total", "counter",
                         "Replies written past the HTTP library." },
  [MET_CANCELS] = { "camphorquay_cancels_total", "counter",
                    "Requests whose caller went away." },
  [MET_TOKENS]
  = { "camphorquay_tokens_total", "counter", "Streamed token events." },
  [MET_TABLE_CALLS] = { "camphorquay_table_calls_total", "counter",
                        "Calls to the platform's table." },
  [MET_TABLE_LOST] = { "camphorquay_table_lost_total", "counter",
                       "Calls to the table that got no reply." },
  [MET_CLAIMS]
  = { "camphorquay_claims_total", "counter", "Claims written to the table." },
  [MET_CLAIM_REPLAYS] = { "camphorquay_claim_replays_total", "counter",
                          "Retries answered from a recorded answer." },
  [MET_CACHED_TOKENS] = { "camphorquay_cached_tokens_total", "counter",
                          "Prompt tokens expected in accelerator memory." },
  [MET_PROMPT_TOKENS] = { "camphorquay_prompt_tokens_total", "counter",
                          "Prompt tokens sent to endpoints." },
  [MET_ROWS_INVALID] = { "camphorquay_rows_spoiled_total", "counter",
                         "Rows of the platform that could not be used." },
  [MET_LOADS_SENT] = { "camphorquay_loads_told_total", "counter",
                       "Words about this VM's work, told to a VM each." },
  [MET_LOADS_RECEIVED] = { "camphorquay_loads_heard_total", "counter",
                           "Words of other VMs about their work." },
  [MET_LOADS_INVALID] = { "camphorquay_loads_unread_total", "counter",
                          "Datagrams that are no such word." },
  [MET_REPORTS_SENT]
  = { "camphorquay_reports_sent_total", "counter",
      "Reports on endpoints, counted once for each VM they are sent to." },
  [MET_REPORTS_RECEIVED] = { "camphorquay_reports_received_total", "counter",
                             "Reports of other VMs on endpoints." },
  [MET_QUARANTINED] = { "camphorquay_quarantined_total", "counter",
                        "Requests refused since endpoints end under them." },
  [MET_DEFERRED]
  = { "camphorquay_deferred_total", "counter",
      "Requests refused for now, since one like it runs and may crash its "
      "endpoint." },
  [MET_REFUSED_COLD]
  = { "camphorquay_refused_cold_total", "counter",
      "Requests refused since the endpoints left are cold." },
  [MET_REFUSED_BRITTLE]
  = { "camphorquay_refused_brittle_total", "counter",
      "Requests refused since this VM's share of what brittle endpoints bear "
      "is used." },
  [MET_WAITED]
  = { "camphorquay_waited_total", "counter",
      "Requests that waited for room at brittle endpoints or for a path." },
  [MET_REFUSED_LIMITED]
  = { "camphorquay_refused_limited_total", "counter",
      "Requests refused since the limits of the endpoints left "
      "are used." },
  [MET_REFUSED_BACKOFF]
  = { "camphorquay_refused_resting_total", "counter",
      "Requests refused since the endpoints left asked for "
      "rest." },
  [MET_REFUSED_EVACUATED]
  = { "camphorquay_refused_evacuated_total", "counter",
      "Requests refused since the domains left are evacuated." },
  [MET_REFUSED_REGION]
  = { "camphorquay_refused_no_home_total", "counter",
      "Requests refused since no endpoint left is in a region "
      "that they may use." },
  [MET_EVENTS_REJECTED]
  = { "camphorquay_events_rejected_total", "counter",
      "Events that the state of their request does not allow." },
  [MET_SLOW_AVOIDED]
  = { "camphorquay_slow_avoided_total", "counter",
      "Attempts whose prompt was kept away from slow endpoints." },
  [MET_UNCONNECTED] = { "camphorquay_unconnected_total", "counter",
                        "Attempts that got no connection to an endpoint." },
  [MET_FORWARDED] = { "camphorquay_forwarded_total", "counter",
                      "Requests sent to another VM, counted for each one." },
  [MET_PATH_QUESTIONS]
  = { "camphorquay_path_questions_total", "counter",
      "Questions to other VMs which services they reach." },
  [MET_FORWARDS_RECEIVED] = { "camphorquay_forwards_received_total", "counter",
                              "Requests that other VMs forwarded." },
  [MET_ISOLATIONS] = { "camphorquay_isolations_total", "counter",
                       "Times that this VM reached no endpoint of a service "
                       "any more." },
  [MET_EJECTED_OWN]
  = { "camphorquay_ejected_own_total", "counter",
      "Times that this VM's own failures ejected an endpoint." },
  [MET_EJECTED_REPORTED]
  = { "camphorquay_ejected_reported_total", "counter",
      "Times that failures at other VMs ejected an endpoint." },
  [MET_STORE_RESTORES]
  = { "camphorquay_older_copies_total", "counter",
      "Times that the platform's store came back from an older copy." },
  [MET_LIST_RECEIVED]
  = { "camphorquay_list_received_total", "counter",
      "Replies about the platform's lists from other VMs." },
  [MET_LIST_STALE] = { "camphorquay_list_stale_total", "counter",
                       "Such replies that were too old to be used." },
  [MET_LIST_FAILED] = { "camphorquay_list_failed_total", "counter",
                        "Requests for these lists without a valid reply." },
  [MET_LIST_DIRECT]
  = { "camphorquay_list_direct_total", "counter",
      "Reads and polls of these lists on the platform itself." },
  [MET_LIST_SERVED] = { "camphorquay_list_served_total", "counter",
                        "Replies about these lists to other VMs." },
  [MET_SENT_MISSING]
  = { "camphorquay_sent_missing_total", "counter",
      "Requests that left for endpoints whose entries were missing." },
  [MET_RUNNING]
  = { "camphorquay_running", "gauge", "Requests at an endpoint." },
  [MET_QUEUED] = { "camphorquay_queued", "gauge", "Requests that wait." },
  [MET_CONNECTIONS]
  = { "camphorquay_connections", "gauge", "Connections of callers." },
  [MET_STREAM_BYTES] = { "camphorquay_stream_bytes", "gauge",
                         "Bytes of streams that callers have not taken." },
};

static const struct metric histograms[MET_HISTOGRAM_COUNT] = {
  [MET_FIRST_TOKEN]
  = { "camphorquay_first_token_seconds", "histogram",
      "Time from a request's last byte to its first token." },
  [MET_TOTAL_TIME] = { "camphorquay_whole_seconds", "histogram",
                       "Time from a request's last byte to its end." },
  [MET_QUEUE_TIME] = { "camphorquay_queue_seconds", "histogram",
                       "Time a request waited for a place." },
  [MET_HANDOVER_TIME]
  = { "camphorquay_handover_seconds", "histogram",
      "Time from a request's last byte until it left for an endpoint." },
  [MET_LIST_AGE]
  = { "camphorquay_list_age_seconds", "histogram",
      "Age of the list of endpoints when a request left for one of them." },
  [MET_EVENT_GAP] = { "camphorquay_event_gap_seconds", "histogram",
                      "Longest pause between events of a stream." },
};

/* Upper bounds of the histogram buckets in microseconds; one more
   bucket without a bound follows. */
static const int64_t bucket_bounds_us[] = {
  1000,   2000,   5000,    10000,   20000,   50000,    100000,
  200000, 510000, 1000000, 2000000, 5000000, 10000000, 60000000,
};

#define NBUCKETS (G_N_ELEMENTS (bucket_bounds_us) + 1)

static int64_t values[MET_COUNT];
static int64_t buckets[MET_HISTOGRAM_COUNT][NBUCKETS];
static int64_t sums_us[MET_HISTOGRAM_COUNT];

void
met_add (enum met_id id, int64_t n)
{
  __atomic_fetch_add (&values[id], n, __ATOMIC_RELAXED);
}

int64_t
met_get (enum met_id id)
{
  return __atomic_load_n (&values[id], __ATOMIC_RELAXED);
}

void
met_observe (enum met_histogram h, int64_t us)
{
  size_t b = 0;

  while (b < G_N_ELEMENTS (bucket_bounds_us) && us > bucket_bounds_us[b])
    b++;
  __atomic_fetch_add (&buckets[h][b], 1, __ATOMIC_RELAXED);
  __atomic_fetch_add (&sums_us[h], us, __ATOMIC_RELAXED);
}

static void
print_help_and_type (GString *to, const struct metric *m)
{
  g_string_append_printf (to, "# HELP %s %s\n# TYPE %s %s\n", m->name, m->help,
                          m->name, m->type);
}

static void
print_histogram (GString *to, enum met_histogram h)
{
  const struct metric *m = &histograms[h];
  int64_t total = 0;
  size_t b;

  print_help_and_type (to, m);
  for (b = 0; b < NBUCKETS; b++)
    {
      total += __atomic_load_n (&buckets[h][b], __ATOMIC_RELAXED);
      if (b < G_N_ELEMENTS (bucket_bounds_us))
        g_string_append_printf (to, "%s_bucket{le=\"%g\"} %" PRId64 "\n",
                                m->name, (double)bucket_bounds_us[b] / 1e6,
                                total);
      else
        g_string_append_printf (to, "%s_bucket{le=\"+Inf\"} %" PRId64 "\n",
                                m->name, total);
    }
  g_string_append_printf (
      to, "%s_sum %g\n%s_count %" PRId64 "\n", m->name,
      (double)__atomic_load_n (&sums_us[h], __ATOMIC_RELAXED) / 1e6, m->name,
      total);
}

void
met_print (GString *to)
{
  int i;

  for (i = 0; i < MET_COUNT; i++)
    {
      print_help_and_type (to, &metrics[i]);
      g_string_append_printf (to, "%s %" PRId64 "\n", metrics[i].name,
                              met_get (i));
    }
  for (i = 0; i < MET_HISTOGRAM_COUNT; i++)
    print_histogram (to, i);
}
