#include "daisystep/metrics.h"

#include <inttypes.h>
#include <stdatomic.h>

enum metric_type
{
  COUNTER,
  GAUGE
};

struct metric_description
{
  const char *name;
  const char *help;
  enum metric_type type;
};

static const struct metric_description descriptions[DS_METRIC_COUNT] = {
  [DS_METRIC_REQUESTS]
  = { .name = "requests_total", .help = "Requests received from callers." },
  [DS_METRIC_REQUESTS_RUNNING] = { .name = "requests_running",
                                   .help = "Requests in progress.",
                                   .type = GAUGE },
  [DS_METRIC_REFUSED_BUDGET]
  = { .name = "refused_budget_total",
      .help = "Requests refused for lack of budget." },
  [DS_METRIC_REFUSED_DUPLICATE]
  = { .name = "refused_duplicate_total",
      .help = "Requests refused because their id is in use." },
  [DS_METRIC_REFUSED_UNKNOWN]
  = { .name = "refused_unknown_total",
      .help = "Requests refused with an unknown outcome." },
  [DS_METRIC_REFUSED_OVERLOAD]
  = { .name = "refused_overload_total",
      .help = "Requests refused because no upstream had room." },
  [DS_METRIC_REFUSED_INVALID]
  = { .name = "refused_invalid_total", .help = "Malformed requests." },
  [DS_METRIC_REFUSED_CREDENTIAL]
  = { .name = "refused_credential_total",
      .help = "Requests with a missing or wrong credential." },
  [DS_METRIC_REFUSED_DRAINING]
  = { .name = "refused_draining_total",
      .help = "Requests refused by a stopping host." },
  [DS_METRIC_ANSWERS_WHOLE] = { .name = "answers_whole_total",
                                .help = "Answers delivered to their end." },
  [DS_METRIC_ANSWERS_CUT] = { .name = "answers_cut_total",
                              .help = "Answers ended early with an error." },
  [DS_METRIC_MALFORMED_STREAMS]
  = { .name = "malformed_streams_total",
      .help = "Streams in which an upstream sent something else than the next "
              "event." },
  [DS_METRIC_BODIES_WAITED]
  = { .name = "bodies_waited_total",
      .help = "Request bodies that waited for memory." },
  [DS_METRIC_BODIES_UNREAD]
  = { .name = "bodies_unread_total",
      .help = "Requests refused before their body was read." },
  [DS_METRIC_HEADS_REFUSED]
  = { .name = "heads_refused_total",
      .help = "Request heads that were too long for the memory left." },
  [DS_METRIC_SLOW_READERS_CLOSED]
  = { .name = "slow_readers_closed_total",
      .help
      = "Connections of callers closed because they took their responses "
        "too slowly for the memory left." },
  [DS_METRIC_UPSTREAM_RETRIES]
  = { .name = "upstream_retries_total", .help = "Attempts after the first." },
  [DS_METRIC_UPSTREAM_SILENT]
  = { .name = "upstream_silent_total",
      .help = "Upstream connections closed by a progress deadline." },
  [DS_METRIC_REPLICAS_LEAVING]
  = { .name = "replicas_leaving_total",
      .help = "Upstreams that have said in an answer that they leave." },
  [DS_METRIC_REPLICAS_HELD]
  = { .name = "replicas_held_total",
      .help = "Times that an upstream began to want no requests for a "
              "while." },
  [DS_METRIC_REQUESTS_PASSED_OVER]
  = { .name = "requests_passed_over_total",
      .help = "Attempts kept from the best upstream by what it said in an "
              "answer, or because it was cold." },
  [DS_METRIC_COLD_REQUESTS]
  = { .name = "cold_requests_total",
      .help = "Attempts sent to upstreams that were cold." },
  [DS_METRIC_COLD_REFUSED]
  = { .name = "cold_refused_total",
      .help = "Requests refused because the upstreams left were cold." },
  [DS_METRIC_COLD_HOST_LISTS]
  = { .name = "cold_host_lists_total",
      .help = "Pages of the list of hosts read to share the limit of cold "
              "upstreams." },
  [DS_METRIC_EVACUATIONS] = { .name = "evacuations",
                              .help = "Zones whose upstreams get no requests "
                                      "because they are evacuated.",
                              .type = GAUGE },
  [DS_METRIC_REQUESTS_EVACUATED]
  = { .name = "requests_evacuated_total",
      .help = "Attempts kept from the best upstream because its zone is "
              "evacuated." },
  [DS_METRIC_REQUESTS_OUT_OF_REGION]
  = { .name = "requests_out_of_region_total",
      .help = "Requests refused because no upstream is in an allowed "
              "region." },
  [DS_METRIC_HOST_UTILISATION]
  = { .name = "host_utilisation_percent",
      .help = "Use of the scarcest resource of this host.",
      .type = GAUGE },
  [DS_METRIC_HOST_LOAD_LEVEL]
  = { .name = "host_load_level",
      .help = "Eighths of its callers that this host gives up.",
      .type = GAUGE },
  [DS_METRIC_HEAVY_CALLERS]
  = { .name = "heavy_callers",
      .help = "Known callers that use much of a host, once for each host.",
      .type = GAUGE },
  [DS_METRIC_CONNECTIONS_SHED]
  = { .name = "connections_shed_total",
      .help = "Connections closed after a response because of load." },
  [DS_METRIC_ADDRESSES_SPREAD]
  = { .name = "addresses_spread_total",
      .help = "Address answers that differ from the usual ones because of "
              "load." },
  [DS_METRIC_REQUESTS_BEYOND_LIMIT]
  = { .name = "requests_beyond_limit_total",
      .help = "Attempts sent while all upstreams were at their learned "
              "limit." },
  [DS_METRIC_REPLICA_LIMITS_CHANGED]
  = { .name = "replica_capacity_changes_total",
      .help = "Times that the learned speed or limit of an upstream changed "
              "by a quarter." },
  [DS_METRIC_TOKENS_BILLED]
  = { .name = "tokens_billed_total", .help = "Tokens in bills of this host." },
  [DS_METRIC_TOKENS_RECLAIMED]
  = { .name = "tokens_reclaimed_total",
      .help = "Tokens that ended processes held and this host returned to "
              "their budgets." },
  [DS_METRIC_TOKENS_RELAYED] = { .name = "tokens_relayed_total",
                                 .help = "Stream chunks relayed to callers." },
  [DS_METRIC_COST_ABOVE_RESERVATION]
  = { .name = "cost_above_reservation_total",
      .help = "Answers whose reported cost exceeded the reservation." },
  [DS_METRIC_PLATFORM_READS]
  = { .name = "platform_reads_total",
      .help = "Reads and watches of the object API." },
  [DS_METRIC_PLATFORM_WRITES]
  = { .name = "platform_writes_total", .help = "Writes to the object API." },
  [DS_METRIC_PLATFORM_CONFLICTS]
  = { .name = "platform_conflicts_total",
      .help = "Conditional updates that met another version." },
  [DS_METRIC_PLATFORM_ERRORS]
  = { .name = "platform_errors_total",
      .help = "Calls of the object API that failed or timed out." },
  [DS_METRIC_CRASH_RECORD_WRITES]
  = { .name = "crash_record_writes_total",
      .help = "Writes of the record of what crashes upstreams." },
  [DS_METRIC_PLATFORM_BYTES_SENT]
  = { .name = "platform_bytes_sent_total",
      .help = "Bytes of bodies sent to the object API." },
  [DS_METRIC_PLATFORM_BYTES_RECEIVED]
  = { .name = "platform_bytes_received_total",
      .help = "Bytes of bodies received from the object API." },
  [DS_METRIC_UNREADABLE_ENTRIES]
  = { .name = "unreadable_entries_total",
      .help = "Changes of entries in the store that cannot be read." },
  [DS_METRIC_STORE_RESTORES]
  = { .name = "store_restores_total",
      .help = "Returns of the store from an older copy." },
  [DS_METRIC_LEDGER_RAISES]
  = { .name = "ledger_raises_total",
      .help = "Updates that raise a ledger page after such a return." },
  [DS_METRIC_TOKENS_HELD_BACK]
  = { .name = "tokens_held_back_total",
      .help
      = "Tokens that hosts may have drawn unseen before such a return." },
  [DS_METRIC_JOURNAL_RECORDS]
  = { .name = "journal_records_total",
      .help = "Records appended to the own journal." },
  [DS_METRIC_BACKUP_RECORDS]
  = { .name = "backup_records",
      .help = "Journal records kept for other hosts.",
      .type = GAUGE },
  [DS_METRIC_PEER_BYTES_SENT]
  = { .name = "peer_bytes_sent_total", .help = "Bytes sent to peers." },
  [DS_METRIC_PEER_BYTES_RECEIVED] = { .name = "peer_bytes_received_total",
                                      .help = "Bytes received from peers." },
  [DS_METRIC_PEER_FRAMES_REJECTED]
  = { .name = "peer_frames_rejected_total",
      .help = "Peer frames that broke the protocol." },
  [DS_METRIC_RECOVERIES]
  = { .name = "recoveries_total", .help = "Hosts recovered by this host." },
  [DS_METRIC_SEALED]
  = { .name = "sealed_total",
      .help = "Incarnations of this process that were sealed by a peer." },
};

static _Atomic int64_t values[DS_METRIC_COUNT];

/* Upper bounds of the buckets in milliseconds.  They double, since only the
   order of magnitude matters.  The last bucket is unbounded.  */
static const uint64_t bucket_bounds[]
    = { 5, 10, 25, 50, 100, 200, 400, 800, 1600, 3200, 6400, 12800 };

#define BUCKET_BOUND_COUNT (sizeof bucket_bounds / sizeof bucket_bounds[0])

struct histogram_description
{
  const char *name;
  const char *help;
};

static const struct histogram_description histograms[DS_HISTOGRAM_COUNT] = {
  [DS_HISTOGRAM_FIRST_EVENT]
  = { .name = "first_event_ms",
      .help = "Time from a request to the first event of its stream." },
  [DS_HISTOGRAM_REQUEST]
  = { .name = "request_ms", .help = "Time from a request to its end." },
};

static _Atomic uint64_t buckets[DS_HISTOGRAM_COUNT][BUCKET_BOUND_COUNT + 1];
static _Atomic uint64_t sums[DS_HISTOGRAM_COUNT];

/* Records one duration of MS milliseconds.  Thread-safe.  */
void
ds_histogram_observe (enum ds_histogram histogram, uint64_t ms)
{
  size_t bucket = 0;

  while (bucket < BUCKET_BOUND_COUNT && ms > bucket_bounds[bucket])
    bucket++;
  atomic_fetch_add_explicit (&buckets[histogram][bucket], 1,
                             memory_order_relaxed);
  atomic_fetch_add_explicit (&sums[histogram], ms, memory_order_relaxed);
}

static char *
append_histogram (char *text, enum ds_histogram histogram)
{
  const struct histogram_description *description = &histograms[histogram];
  uint64_t count = 0;

  text = talloc_asprintf_append_buffer (
      text, "# HELP daisystep_%s %s\n# TYPE daisystep_%s histogram\n",
      description->name, description->help, description->name);
  for (size_t i = 0; i < BUCKET_BOUND_COUNT && text != NULL; i++)
    {
      count += atomic_load_explicit (&buckets[histogram][i],
                                     memory_order_relaxed);
      text = talloc_asprintf_append_buffer (
          text, "daisystep_%s_bucket{le=\"%" PRIu64 "\"} %" PRIu64 "\n",
          description->name, bucket_bounds[i], count);
    }
  count += atomic_load_explicit (&buckets[histogram][BUCKET_BOUND_COUNT],
                                 memory_order_relaxed);
  if (text == NULL)
    return NULL;
  return talloc_asprintf_append_buffer (
      text,
      "daisystep_%s_bucket{le=\"+Inf\"} %" PRIu64 "\n"
      "daisystep_%s_sum %" PRIu64 "\ndaisystep_%s_count %" PRIu64 "\n",
      description->name, count, description->name,
      atomic_load_explicit (&sums[histogram], memory_order_relaxed),
      description->name, count);
}

/* Adds AMOUNT, which may be negative for a gauge.  Thread-safe.  */
void
ds_metric_add (enum ds_metric metric, int64_t amount)
{
  atomic_fetch_add_explicit (&values[metric], amount, memory_order_relaxed);
}

int64_t
ds_metric_get (enum ds_metric metric)
{
  return atomic_load_explicit (&values[metric], memory_order_relaxed);
}

/* All metrics in the Prometheus text format, prefix "daisystep_".  Null if out
   of memory.  */
char *
ds_metrics_exposition (TALLOC_CTX *owner)
{
  char *text = talloc_strdup (owner, "");

  for (int i = 0; i < DS_METRIC_COUNT && text != NULL; i++)
    {
      const struct metric_description *metric = &descriptions[i];

      text = talloc_asprintf_append_buffer (
          text,
          "# HELP daisystep_%s %s\n# TYPE daisystep_%s %s\n"
          "daisystep_%s %" PRId64 "\n",
          metric->name, metric->help, metric->name,
          metric->type == GAUGE ? "gauge" : "counter", metric->name,
          ds_metric_get ((enum ds_metric)i));
    }
  return text;
}

/* All histograms in the same format.  Null if out of memory.  */
char *
ds_histograms_exposition (TALLOC_CTX *owner)
{
  char *text = talloc_strdup (owner, "");

  for (int i = 0; i < DS_HISTOGRAM_COUNT && text != NULL; i++)
    text = append_histogram (text, (enum ds_histogram)i);
  return text;
}
