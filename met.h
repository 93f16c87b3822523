/* Metrics: counters, gauges and fixed-bucket histograms of this process. */
#ifndef CQ_MET_H
#define CQ_MET_H

#include <glib.h>
#include <stdint.h>

enum met_id
{
  MET_REQUESTS,
  MET_ANSWERED,
  MET_NOT_RUN,
  MET_OVERLOAD,
  MET_OVER_ROUTE_SHARE,
  MET_RETURNS_PLANNED,
  MET_RETURNS_CROWDED,
  MET_UNKNOWN,
  MET_FAILED,
  MET_ATTEMPTS,
  MET_RETRIES,
  MET_RESUMES,
  MET_STREAMS_ENDED,
  MET_STREAMS_BROKEN,
  MET_CANCELS,
  MET_TOKENS,
  MET_TABLE_CALLS,
  MET_TABLE_LOST,
  MET_CLAIMS,
  MET_CLAIM_REPLAYS,
  MET_CACHED_TOKENS,
  MET_PROMPT_TOKENS,
  MET_ROWS_INVALID,
  MET_LOADS_SENT,
  MET_LOADS_RECEIVED,
  MET_LOADS_INVALID,
  MET_REPORTS_SENT,
  MET_REPORTS_RECEIVED,
  MET_QUARANTINED,
  MET_DEFERRED,
  MET_REFUSED_COLD,
  MET_REFUSED_LIMITED,
  MET_REFUSED_BACKOFF,
  MET_REFUSED_EVACUATED,
  MET_REFUSED_REGION,
  MET_EVENTS_REJECTED,
  MET_SLOW_AVOIDED,
  MET_UNCONNECTED,
  MET_FORWARDED,
  MET_FORWARDS_RECEIVED,
  MET_ISOLATIONS,
  MET_EJECTED_OWN,
  MET_EJECTED_REPORTED,
  MET_STORE_RESTORES,
  MET_LIST_RECEIVED,
  MET_LIST_STALE,
  MET_LIST_FAILED,
  MET_LIST_DIRECT,
  MET_LIST_SERVED,
  MET_RUNNING,
  MET_QUEUED,
  MET_CONNECTIONS,
  MET_STREAM_BYTES,
  MET_COUNT
};

enum met_histogram
{
  MET_FIRST_TOKEN,
  MET_TOTAL_TIME,
  MET_QUEUE_TIME,
  MET_HANDOVER_TIME,
  MET_EVENT_GAP,
  MET_HISTOGRAM_COUNT
};

/* Add N, which may be negative for a gauge. */
void met_add (enum met_id id, int64_t n);
int64_t met_get (enum met_id id);
/* Count an observation of US microseconds in a histogram. */
void met_observe (enum met_histogram h, int64_t us);

/* Append all metrics in the Prometheus text format. */
void met_print (GString *to);

#endif
