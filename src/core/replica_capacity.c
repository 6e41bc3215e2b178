#include "core/replica_capacity.h"

#include "daisystep/error.h"

#include <float.h>
#include <math.h>

/* Load for which this is designed: 60 to 600 replicas of unequal speed, of
   which each of 60 to 390 hosts sees a small part of the traffic, a request
   every few seconds per replica, and whose speed changes within the day.  */

/* Time constant with which own measurements lose weight.  Shorter ones leave
   a host of sixty without a sample, longer ones delay the detection of a
   replica that became slow beyond a few seconds.  */
#define SAMPLE_DECAY_MS 3000.0
/* The same for gaps, which are more frequent: each running stream has some
   every second.  */
#define GAP_DECAY_MS 1500.0
/* Time constant of the ratio between prefill time and gaps, a property of the
   engine that does not change with its speed.  */
#define RATIO_DECAY_MS 20000.0
/* Time to the first event that is independent of the prompt: network and one
   step of an engine.  */
#define BASE_MS 10.0
/* Prompts below this many tokens say nothing about the prefill rate.  */
#define TOKENS_MIN 500
#define SPEED_MIN 0.25
#define SPEED_MAX 4.0
/* Interval between two changes of the limit: a change takes effect only as
   requests end and new ones start.  */
#define UPDATE_MS 1000
/* Interval at which reports are merged.  */
#define MERGE_MS 250
/* First events that take this many times as long as on an idle replica of the
   same speed, and gaps this many times the least, count as overload.  A full
   healthy engine of 64 slots has gaps of 1.5 to 2 times those of an idle
   one.  */
#define STRETCH_MAX 6.0
#define GAP_STRETCH_MAX 2.0
/* Share of these bounds up to which the limit grows.  */
#define GROWTH_BELOW 0.8
/* Growth of a limit in use per update, and the largest reduction.  */
#define GROWTH_DIVISOR 8
#define REDUCTION_MIN 0.5
/* Requests that a replica gets however slow it is, so that its recovery is
   noticed.  */
#define LIMIT_MIN 2
/* Share of the requests that were running when one was rejected.  */
#define REJECTION_SHARE 0.9
/* Part of the slots below which a rejection says nothing about the limit.  */
#define REJECTION_SLOTS_DIVISOR 4
/* The least gap is that of the last one to two windows.  A replica that stays
   slow gets its limit back after that time, since its speed alone then keeps
   requests away from it.  */
#define FLOOR_WINDOW_MS 15000
/* Reports that are kept of one replica, the latest.  */
#define SOURCES_MAX 32
/* Samples that count of one report of a host, or of a relay, and the most that
   a host has in relation to the median of all: one that claims many does not
   outweigh the others.  */
#define HOST_SAMPLES_MAX 16
#define RELAY_SAMPLES_MAX 512
#define HOST_SAMPLES_RATIO 2
/* Reports are taken for at most this many times the median, and at least its
   inverse.  */
#define DEVIATION_MAX 2.0
/* Relative change of the estimate that is logged.  */
#define LOGGED_CHANGE 1.25

/* Sums over recent samples, weighted by age.  */
struct sums
{
  uint64_t updated_ms;
  uint64_t sampled_ms; /* the latest sample; 0 for none */
  double prefills;     /* samples of the three below */
  double ideal_ms;     /* prefill of all tokens at speed 1 */
  double own_ms;       /* prefill of the request's tokens at speed 1 */
  double took_ms;
  double events; /* gaps */
  double gaps_ms;
  double gap_samples;
  double rejections;
};

struct source
{
  struct ds_capacity_source source;
  struct ds_capacity_report report;
  uint64_t received_ms; /* 0 for an unused entry */
};

struct ds_replica_capacity
{
  struct ds_capacity_options options;
  uint32_t slots;
  struct sums sums;
  uint32_t limit;
  uint32_t peak_running; /* seen since the last update */
  bool running_seen;
  uint64_t updated_ms;
  double floor_ms[2]; /* least gap of the current window and the one before */
  uint64_t window_ms; /* begin of the current one */
  double slowness_per_gap; /* 1 / speed, per millisecond of gap; 0: unknown */
  struct source sources[SOURCES_MAX];
  struct ds_capacity_estimate merged;
  uint64_t merged_ms;
  uint64_t news_ms[DS_CAPACITY_SCOPES]; /* latest sample not yet taken */
  struct ds_capacity_estimate logged;
};

/* Creates the state of a replica with SLOTS, 0 for unknown.  OPTIONS are
   copied.  Returns 0 or DS_ENOMEM.  */
int
ds_replica_capacity_new (struct ds_replica_capacity **out, TALLOC_CTX *owner,
                         const struct ds_capacity_options *options,
                         uint32_t slots)
{
  *out = talloc_zero (owner, struct ds_replica_capacity);
  if (*out == NULL)
    return DS_ENOMEM;
  (*out)->options = *options;
  (*out)->slots = slots > 0 ? slots : UINT32_MAX;
  (*out)->limit = (*out)->slots;
  (*out)->merged = (struct ds_capacity_estimate){ .speed = 1,
                                                  .measured = 1,
                                                  .limit = (*out)->slots };
  (*out)->logged = (*out)->merged;
  return 0;
}

static double
clamp (double value, double low, double high)
{
  if (value < low)
    return low;
  return value > high ? high : value;
}

static void
decay (struct sums *sums, uint64_t now_ms)
{
  double factor;
  double gap_factor;

  if (now_ms <= sums->updated_ms)
    return;
  factor = exp (-(double)(now_ms - sums->updated_ms) / SAMPLE_DECAY_MS);
  gap_factor = exp (-(double)(now_ms - sums->updated_ms) / GAP_DECAY_MS);
  sums->updated_ms = now_ms;
  sums->prefills *= factor;
  sums->ideal_ms *= factor;
  sums->own_ms *= factor;
  sums->took_ms *= factor;
  sums->events *= gap_factor;
  sums->gaps_ms *= gap_factor;
  sums->gap_samples *= gap_factor;
  sums->rejections *= factor;
}

static void
note_sample (struct ds_replica_capacity *capacity, uint64_t now_ms)
{
  capacity->sums.sampled_ms = now_ms;
  for (int scope = 0; scope < DS_CAPACITY_SCOPES; scope++)
    capacity->news_ms[scope] = now_ms;
}

/* Returns what this host has measured itself.  */
static struct ds_capacity_report
own_report (struct ds_replica_capacity *capacity, uint64_t now_ms)
{
  struct sums *sums = &capacity->sums;
  struct ds_capacity_report report = { .speed = 0 };

  decay (sums, now_ms);
  report.samples = sums->prefills + sums->gap_samples + sums->rejections;
  report.age_ms
      = sums->sampled_ms > 0 ? now_ms - sums->sampled_ms : UINT64_MAX;
  if (sums->prefills > 0.05)
    {
      double prefill_ms = sums->took_ms - sums->prefills * BASE_MS;

      report.speed = clamp (sums->ideal_ms / (prefill_ms > 1 ? prefill_ms : 1),
                            SPEED_MIN, SPEED_MAX);
      report.stretch
          = sums->took_ms
            / (sums->own_ms / report.speed + sums->prefills * BASE_MS);
    }
  if (sums->gap_samples > 0.05)
    report.gap_ms = sums->gaps_ms / sums->events;
  return report;
}

/* One figure of one report.  */
struct weighted
{
  double value;
  double weight;
};

static double
total_weight (const struct weighted *figures, size_t count)
{
  double total = 0;

  for (size_t i = 0; i < count; i++)
    total += figures[i].weight;
  return total;
}

static double
weighted_median (const struct weighted *figures, size_t count)
{
  double total = total_weight (figures, count);
  double median = 0;
  double least = DBL_MAX;

  /* The least value at which more than half of the weight is reached; there
     are at most 33 figures.  */
  for (size_t i = 0; i < count; i++)
    {
      double below = 0;

      if (figures[i].value >= least)
        continue;
      for (size_t k = 0; k < count; k++)
        if (figures[k].value <= figures[i].value)
          below += figures[k].weight;
      if (below > total / 2)
        {
          least = figures[i].value;
          median = least;
        }
    }
  return median;
}

/* Averages FIGURES by their samples.  Those far from the median are brought
   to the bound of the deviation: one host may be wrong.  */
static double
robust_mean (const struct weighted *figures, size_t count)
{
  double median = weighted_median (figures, count);
  double total = total_weight (figures, count);
  double sum = 0;

  for (size_t i = 0; i < count; i++)
    sum += figures[i].weight
           * clamp (figures[i].value, median / DEVIATION_MAX,
                    median * DEVIATION_MAX);
  return total > 0 ? sum / total : 0;
}

/* Figures of all reports that count, one array each.  */
struct figures
{
  struct weighted slowness[SOURCES_MAX + 1]; /* 1 / speed */
  struct weighted stretch[SOURCES_MAX + 1];
  struct weighted gap[SOURCES_MAX + 1];
  size_t speeds;
  size_t gaps;
  double samples;
  uint64_t age_ms; /* of the latest sample */
};

static void
add_figures (struct figures *figures, const struct ds_capacity_report *report,
             uint64_t age_ms, double weight)
{
  if (weight <= 0)
    return;
  if (report->speed > 0)
    {
      figures->slowness[figures->speeds] = (struct weighted){
        .value = 1 / clamp (report->speed, SPEED_MIN, SPEED_MAX),
        .weight = weight,
      };
      figures->stretch[figures->speeds++]
          = (struct weighted){ .value = report->stretch, .weight = weight };
    }
  if (report->gap_ms > 0)
    figures->gap[figures->gaps++]
        = (struct weighted){ .value = report->gap_ms, .weight = weight };
  figures->samples += weight;
  if (age_ms < figures->age_ms)
    figures->age_ms = age_ms;
}

/* One report that counts.  */
struct opinion
{
  const struct ds_capacity_report *report;
  uint64_t age_ms;
  double weight;
  bool relayed;
};

/* Returns how much REPORT counts at AGE_MS.  */
static double
report_weight (const struct ds_capacity_report *report, uint64_t age_ms,
               uint64_t ttl_ms, bool relayed)
{
  if (age_ms >= ttl_ms)
    return 0;
  return clamp (report->samples, 0,
                relayed ? RELAY_SAMPLES_MAX : HOST_SAMPLES_MAX)
         * (1 - (double)age_ms / (double)ttl_ms);
}

/* Returns the most that the report of one host among OPINIONS counts.  */
static double
weight_limit (const struct opinion *opinions, size_t count)
{
  struct weighted weights[SOURCES_MAX + 1] = { { .value = 0 } };
  size_t hosts = 0;

  for (size_t i = 0; i < count; i++)
    if (!opinions[i].relayed && opinions[i].weight > 0)
      weights[hosts++]
          = (struct weighted){ .value = opinions[i].weight, .weight = 1 };
  return HOST_SAMPLES_RATIO * weighted_median (weights, hosts);
}

/* Collects the reports within SCOPE.  Those of a relay about the fleet or
   another zone are not passed to other zones, which would return them.  */
static void
collect (struct ds_replica_capacity *capacity, enum ds_capacity_scope scope,
         struct figures *out, uint64_t now_ms)
{
  uint64_t ttl_ms = capacity->options.report_ttl_ms;
  struct ds_capacity_report own = own_report (capacity, now_ms);
  struct opinion opinions[SOURCES_MAX + 1] = {
    { .report = &own,
      .age_ms = own.age_ms,
      .weight = report_weight (&own, own.age_ms, ttl_ms, false) },
  };
  size_t count = 1;
  double limit;

  for (size_t i = 0; i < SOURCES_MAX && scope != DS_CAPACITY_OWN; i++)
    {
      const struct source *source = &capacity->sources[i];
      uint64_t age_ms = now_ms - source->received_ms + source->report.age_ms;

      if (source->received_ms == 0
          || (scope == DS_CAPACITY_ZONE && source->source.relayed))
        continue;
      opinions[count++] = (struct opinion){
        .report = &source->report,
        .age_ms = age_ms,
        .weight = report_weight (&source->report, age_ms, ttl_ms,
                                 source->source.relayed),
        .relayed = source->source.relayed,
      };
    }
  limit = weight_limit (opinions, count);
  /* A host with enough measurements of its own trusts no other host more.  */
  if (own.samples >= (double)capacity->options.min_samples
      && opinions[0].weight < limit)
    limit = opinions[0].weight;
  *out = (struct figures){ .age_ms = UINT64_MAX };
  for (size_t i = 0; i < count; i++)
    {
      if (!opinions[i].relayed && opinions[i].weight > limit)
        opinions[i].weight = limit;
      add_figures (out, opinions[i].report, opinions[i].age_ms,
                   opinions[i].weight);
    }
}

static void
update_floor (struct ds_replica_capacity *capacity, double gap_ms,
              uint64_t now_ms)
{
  if (capacity->window_ms == 0
      || now_ms - capacity->window_ms >= FLOOR_WINDOW_MS)
    {
      capacity->floor_ms[1] = capacity->floor_ms[0];
      capacity->floor_ms[0] = 0;
      capacity->window_ms = now_ms;
    }
  if (gap_ms > 0
      && (capacity->floor_ms[0] == 0 || gap_ms < capacity->floor_ms[0]))
    capacity->floor_ms[0] = gap_ms;
}

/* Notes that RUNNING requests, of all hosts, are unfinished.  */
static void
observe_running (struct ds_replica_capacity *capacity, uint32_t running)
{
  capacity->running_seen = true;
  if (running > capacity->peak_running)
    capacity->peak_running = running;
}

/* Returns the latency relative to the bound above which a replica counts as
   overloaded.  */
static double
relative_latency (const struct ds_replica_capacity *capacity)
{
  double floor_ms = capacity->floor_ms[0];
  double latency = capacity->merged.stretch / STRETCH_MAX;

  if (floor_ms == 0
      || (capacity->floor_ms[1] > 0 && capacity->floor_ms[1] < floor_ms))
    floor_ms = capacity->floor_ms[1];
  if (floor_ms > 0
      && capacity->merged.gap_ms / floor_ms / GAP_STRETCH_MAX > latency)
    latency = capacity->merged.gap_ms / floor_ms / GAP_STRETCH_MAX;
  return latency;
}

/* Moves the limit, once in UPDATE_MS: down in proportion to the latency above
   its bound, up by a part while latency is well below it and the limit is in
   use.  Hosts use the same measurements and so come to similar limits.  The
   limits themselves are not shared: with the median of all hosts as the base
   of each change, one wrong host lowered the limits of replicas with little
   traffic for good.

   A reduction waits until the requests that are running have come down to the
   one before: while all replicas are at their limits, requests exceed them,
   and limits would fall without an effect on the latency.  */
static void
update_limit (struct ds_replica_capacity *capacity, uint64_t now_ms)
{
  uint32_t limit = capacity->limit;
  double latency = relative_latency (capacity);

  if (now_ms - capacity->updated_ms < UPDATE_MS || !capacity->running_seen)
    return;
  capacity->updated_ms = now_ms;
  if (capacity->merged.samples < (double)capacity->options.min_samples)
    return;
  if (latency > 1 && capacity->peak_running <= limit)
    {
      limit = (uint32_t)(capacity->peak_running
                         * clamp (1 / latency, REDUCTION_MIN, 1));
      if (limit < LIMIT_MIN)
        limit = LIMIT_MIN;
    }
  else if (latency < GROWTH_BELOW && capacity->peak_running >= limit / 2
           && limit < capacity->slots)
    {
      uint32_t growth
          = limit / GROWTH_DIVISOR > 0 ? limit / GROWTH_DIVISOR : 1;

      limit = capacity->slots - limit > growth ? limit + growth
                                               : capacity->slots;
    }
  capacity->limit = limit;
  capacity->peak_running = 0;
  capacity->running_seen = false;
}

/* Returns the inverse of the speed by first events and by gaps.  Gaps tell of
   a change within a second or two, first events what it means for prompts.  */
static double
merge_slowness (struct ds_replica_capacity *capacity,
                const struct figures *figures, uint64_t elapsed_ms)
{
  double by_prefill = robust_mean (figures->slowness, figures->speeds);
  double by_gap = capacity->slowness_per_gap * capacity->merged.gap_ms;
  double prefill_weight = total_weight (figures->slowness, figures->speeds);
  double gap_weight
      = by_gap > 0 ? total_weight (figures->gap, figures->gaps) : 0;

  if (figures->speeds > 0 && figures->gaps > 0)
    {
      double ratio = by_prefill / capacity->merged.gap_ms;
      double share = clamp ((double)elapsed_ms / RATIO_DECAY_MS, 0, 1);

      if (capacity->slowness_per_gap == 0)
        share = 1;
      capacity->slowness_per_gap
          += share * (ratio - capacity->slowness_per_gap);
    }
  if (prefill_weight + gap_weight <= 0)
    return 1;
  return (prefill_weight * by_prefill + gap_weight * by_gap)
         / (prefill_weight + gap_weight);
}

/* Merges the reports of all hosts and updates the limit.  Few samples move the
   speed little, and none leave it at 1, so that a replica which has got no
   request for some seconds is tried again.  */
static void
merge (struct ds_replica_capacity *capacity, uint64_t now_ms)
{
  struct ds_capacity_estimate *merged = &capacity->merged;
  struct figures figures;
  double doubt = (double)capacity->options.min_samples / 2;
  uint64_t elapsed_ms = now_ms - capacity->merged_ms;

  if (capacity->merged_ms > 0 && elapsed_ms < MERGE_MS)
    return;
  capacity->merged_ms = now_ms;
  collect (capacity, DS_CAPACITY_FLEET, &figures, now_ms);
  merged->samples = figures.samples;
  merged->stretch = robust_mean (figures.stretch, figures.speeds);
  merged->gap_ms = robust_mean (figures.gap, figures.gaps);
  merged->measured = 1 / merge_slowness (capacity, &figures, elapsed_ms);
  merged->certainty = figures.samples / (figures.samples + doubt);
  merged->speed
      = 1 / (merged->certainty / merged->measured + (1 - merged->certainty));
  update_floor (capacity, merged->gap_ms, now_ms);
  update_limit (capacity, now_ms);
  merged->limit = capacity->limit;
}

/* Records that a request was sent while RUNNING, with it, are unfinished on
   the replica, those of other hosts included.  */
void
ds_replica_capacity_record_sent (struct ds_replica_capacity *capacity,
                                 uint32_t running, uint64_t now_ms)
{
  observe_running (capacity, running);
  merge (capacity, now_ms);
}

/* Records the first event of an attempt.  */
void
ds_replica_capacity_record_first_event (
    struct ds_replica_capacity *capacity,
    const struct ds_capacity_first_event *event, uint64_t now_ms)
{
  struct sums *sums = &capacity->sums;
  double own_ms = (double)event->tokens / DS_CAPACITY_TOKENS_PER_MS;

  if (event->tokens < TOKENS_MIN)
    return;
  decay (sums, now_ms);
  sums->prefills += 1;
  sums->own_ms += own_ms;
  sums->ideal_ms
      += own_ms + (double)event->ahead_tokens / DS_CAPACITY_TOKENS_PER_MS;
  sums->took_ms += (double)event->took_ms;
  note_sample (capacity, now_ms);
  merge (capacity, now_ms);
}

/* Records that EVENTS of a stream, after the first, arrived in TOOK_MS.  */
void
ds_replica_capacity_record_gaps (struct ds_replica_capacity *capacity,
                                 uint64_t events, uint64_t took_ms,
                                 uint64_t now_ms)
{
  struct sums *sums = &capacity->sums;

  if (events == 0)
    return;
  decay (sums, now_ms);
  sums->gap_samples += 1;
  sums->events += (double)events;
  sums->gaps_ms += (double)took_ms;
  note_sample (capacity, now_ms);
  merge (capacity, now_ms);
}

/* Records the end of an attempt.  */
void
ds_replica_capacity_record_end (struct ds_replica_capacity *capacity,
                                uint64_t now_ms)
{
  merge (capacity, now_ms);
}

/* Records that the replica rejected a request, which did not run, while
   RUNNING others were there.  One that rejects while most of its slots are
   free has another reason.  */
void
ds_replica_capacity_record_rejection (struct ds_replica_capacity *capacity,
                                      uint32_t running, uint64_t now_ms)
{
  uint32_t limit = (uint32_t)(running * REJECTION_SHARE);

  if (capacity->slots != UINT32_MAX
      && running < capacity->slots / REJECTION_SLOTS_DIVISOR)
    return;
  if (limit < LIMIT_MIN)
    limit = LIMIT_MIN;
  decay (&capacity->sums, now_ms);
  capacity->sums.rejections += 1;
  if (limit < capacity->limit)
    {
      capacity->limit = limit;
      capacity->updated_ms = now_ms;
    }
  note_sample (capacity, now_ms);
  capacity->merged_ms = 0;
  merge (capacity, now_ms);
}

/* Takes the REPORT of SOURCE, which replaces its report before.  */
void
ds_replica_capacity_receive (struct ds_replica_capacity *capacity,
                             struct ds_capacity_source source,
                             const struct ds_capacity_report *report,
                             uint64_t now_ms)
{
  struct source *entry = &capacity->sources[0];

  if (report->age_ms >= capacity->options.report_ttl_ms)
    return;
  for (size_t i = 0; i < SOURCES_MAX; i++)
    {
      struct source *other = &capacity->sources[i];

      if (other->received_ms > 0 && other->source.id == source.id
          && other->source.relayed == source.relayed)
        {
          entry = other;
          break;
        }
      if (other->received_ms < entry->received_ms)
        entry = other;
    }
  *entry = (struct source){
    .source = source,
    .report = *report,
    .received_ms = now_ms,
  };
  if (!source.relayed)
    capacity->news_ms[DS_CAPACITY_ZONE] = now_ms;
  capacity->news_ms[DS_CAPACITY_FLEET] = now_ms;
}

/* Returns the estimate of all hosts.  */
struct ds_capacity_estimate
ds_replica_capacity_estimate (struct ds_replica_capacity *capacity,
                              uint64_t now_ms)
{
  merge (capacity, now_ms);
  return capacity->merged;
}

/* Returns how many more requests the replica can take beside RUNNING, those of
   all hosts.  */
uint32_t
ds_replica_capacity_room (struct ds_replica_capacity *capacity,
                          uint32_t running, uint64_t now_ms)
{
  observe_running (capacity, running);
  merge (capacity, now_ms);
  return running < capacity->merged.limit ? capacity->merged.limit - running
                                          : 0;
}

/* Writes what to tell others within SCOPE to OUT.  Returns false if there is
   nothing new since the last call for this scope that did not KEEP it.  */
bool
ds_replica_capacity_take_report (struct ds_replica_capacity *capacity,
                                 enum ds_capacity_scope scope, bool keep,
                                 struct ds_capacity_report *out,
                                 uint64_t now_ms)
{
  struct figures figures;

  if (capacity->news_ms[scope] == 0)
    return false;
  if (!keep)
    capacity->news_ms[scope] = 0;
  collect (capacity, scope, &figures, now_ms);
  if (figures.samples <= 0)
    return false;
  *out = (struct ds_capacity_report){
    .stretch = robust_mean (figures.stretch, figures.speeds),
    .gap_ms = robust_mean (figures.gap, figures.gaps),
    .samples = figures.samples,
    .age_ms = figures.age_ms,
  };
  if (figures.speeds > 0)
    out->speed = 1 / robust_mean (figures.slowness, figures.speeds);
  return true;
}

static bool
differs (double a, double b)
{
  return a > b * LOGGED_CHANGE || b > a * LOGGED_CHANGE;
}

/* Writes the estimate to OUT and returns true if it has changed by a quarter
   since the last time, for the log.  */
bool
ds_replica_capacity_take_change (struct ds_replica_capacity *capacity,
                                 struct ds_capacity_estimate *out,
                                 uint64_t now_ms)
{
  merge (capacity, now_ms);
  if (!differs (capacity->merged.speed, capacity->logged.speed)
      && !differs (capacity->merged.limit, capacity->logged.limit))
    return false;
  capacity->logged = capacity->merged;
  *out = capacity->merged;
  return true;
}
