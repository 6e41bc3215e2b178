#ifndef DAISYSTEP_METRICS_H
#define DAISYSTEP_METRICS_H

#include <stdint.h>
#include <talloc.h>

/* Counters and gauges of one process.  A metric is named once in
   src/base/metrics.c; the order there is the order of the exposition.  */
enum ds_metric
{
  DS_METRIC_REQUESTS,
  DS_METRIC_REQUESTS_RUNNING,
  DS_METRIC_REFUSED_BUDGET,
  DS_METRIC_REFUSED_DUPLICATE,
  DS_METRIC_REFUSED_UNKNOWN,
  DS_METRIC_REFUSED_OVERLOAD,
  DS_METRIC_REFUSED_INVALID,
  DS_METRIC_REFUSED_CREDENTIAL,
  DS_METRIC_REFUSED_DRAINING,
  DS_METRIC_ANSWERS_WHOLE,
  DS_METRIC_ANSWERS_CUT,
  DS_METRIC_UPSTREAM_RETRIES,
  DS_METRIC_UPSTREAM_SILENT,
  DS_METRIC_TOKENS_BILLED,
  DS_METRIC_TOKENS_RELAYED,
  DS_METRIC_COST_ABOVE_RESERVATION,
  DS_METRIC_PLATFORM_READS,
  DS_METRIC_PLATFORM_WRITES,
  DS_METRIC_PLATFORM_CONFLICTS,
  DS_METRIC_PLATFORM_ERRORS,
  DS_METRIC_PLATFORM_BYTES_SENT,
  DS_METRIC_PLATFORM_BYTES_RECEIVED,
  DS_METRIC_JOURNAL_RECORDS,
  DS_METRIC_BACKUP_RECORDS,
  DS_METRIC_PEER_BYTES_SENT,
  DS_METRIC_PEER_BYTES_RECEIVED,
  DS_METRIC_PEER_FRAMES_REJECTED,
  DS_METRIC_RECOVERIES,
  DS_METRIC_SEALED,
  DS_METRIC_COUNT
};

/* Distributions of times in milliseconds.  */
enum ds_histogram
{
  DS_HISTOGRAM_FIRST_EVENT,
  DS_HISTOGRAM_REQUEST,
  DS_HISTOGRAM_COUNT
};

void ds_histogram_observe (enum ds_histogram histogram, uint64_t ms);
void ds_metric_add (enum ds_metric metric, int64_t amount);
int64_t ds_metric_get (enum ds_metric metric);
char *ds_metrics_exposition (TALLOC_CTX *owner);
char *ds_histograms_exposition (TALLOC_CTX *owner);

#endif
