#include "core/placement.h"

#include <float.h>
#include <math.h>
#include <string.h>

/* Prefill rate of an engine, corrected by the observed latency factor or by
   the learned speed.  */
#define PREFILL_TOKENS_PER_MS DS_CAPACITY_TOKENS_PER_MS
/* Time to the first event that each running request adds: a batch of 64 slows
   an engine step from 5 ms to about 7 ms, and prefills share the steps.  */
#define RUNNING_MS 1.5
/* Duration of one call of a plain service on a busy replica.  */
#define CALL_MS 60.0
/* Cost of another zone: two network delays and the transferred bytes.  */
#define OTHER_ZONE_MS 4.0
/* Above the cost of any replica in an allowed region.  */
#define OTHER_REGION_MS 1e9
/* A part unused for this long may have been evicted by the replica.  */
#define CACHED_PART_LIFETIME_MS 60000
/* Entries per hash bucket of the table of cached parts; with two thousand
   parts in use hardly any bucket needs more.  */
#define BUCKET_ENTRIES 8
/* Extra cost of a repeated prefill of shared parts, relative to its duration:
   it delays all requests on the replica, and the copy evicts other parts.  */
#define PREFILL_PENALTY_WEIGHT 3.0
/* Share of the target latency that a request may wait longer for a replica
   with its shared parts in the cache.  */
#define PREFILL_PENALTY_MAX_SHARE 0.5
/* Factor for the prefill cost on the preferred replica of a part that is not
   cached there.  */
#define PREFERRED_REPLICA_FACTOR 0.7
/* Time to the first event that is independent of load: network and one step of
   an idle engine.  */
#define IDLE_LATENCY_MS 60.0
/* Limits of the latency factor, and the weight of the latest observation.  */
#define LATENCY_FACTOR_MIN 0.5F
#define LATENCY_FACTOR_MAX 4.0F
#define LATENCY_FACTOR_WEIGHT 0.1
/* Mean of the random cost that hosts add, so that those whose loads are 200 ms
   old do not all choose the replica that was best then.  It is lower than the
   prefill of a shared part, so that requests still follow cached parts.  */
#define RANDOM_COST_MS 60.0
/* Share of a replica's memory that prompts in flight may fill.  The rest is
   for the output of their requests and for cached parts that several of them
   use, which count for the request that brought them alone.  */
#define MEMORY_SHARE 0.85
/* Time for which a replica is avoided after a failure; doubled with each
   further consecutive failure.  */
#define AVOID_MS 250
#define AVOID_DOUBLINGS 4

static uint64_t
mix_hash (uint64_t value)
{
  value ^= value >> 33;
  value *= UINT64_C (0xff51afd7ed558ccd);
  value ^= value >> 33;
  value *= UINT64_C (0xc4ceb9fe1a85ec53);
  return value ^ (value >> 33);
}

/* The last part that other requests share; it determines the preferred replica
   of a prompt.  */
static uint64_t
affinity_key (const struct ds_placement_request *request)
{
  return request->part_count >= 2 ? request->parts[request->part_count - 2].id
                                  : 0;
}

static bool
was_tried (const struct ds_placement_request *request, uint64_t hash)
{
  for (size_t i = 0; i < request->tried_count; i++)
    if (request->tried[i] == hash)
      return true;
  return false;
}

/* Returns the entry of part ID in the table PARTS, or the least recently used
   entry of its bucket.

   Each request has a private part, about four per second and replica.  With
   one entry per hash, these overwrote 5 % of the shared parts between two
   uses, which then needed another prefill elsewhere.  */
static struct ds_cached_part *
find_cached_part (struct ds_cached_part *parts, uint64_t id)
{
  struct ds_cached_part *bucket
      = &parts[mix_hash (id) % (DS_CACHED_PARTS / BUCKET_ENTRIES)
               * BUCKET_ENTRIES];
  struct ds_cached_part *oldest = bucket;

  for (size_t i = 0; i < BUCKET_ENTRIES; i++)
    {
      if (bucket[i].id == id)
        return &bucket[i];
      if (bucket[i].used_ms < oldest->used_ms)
        oldest = &bucket[i];
    }
  return oldest;
}

static bool
has_cached_part (const struct ds_replica *replica, uint64_t id,
                 uint64_t now_ms)
{
  const struct ds_cached_part *part;

  if (replica->parts == NULL)
    return false;
  part = find_cached_part (replica->parts, id);
  return part->id == id && now_ms - part->used_ms < CACHED_PART_LIFETIME_MS;
}

/* Returns the number of prompt tokens that REPLICA has probably not cached.  A
   part counts as cached only if all parts before it are.  */
uint64_t
ds_placement_uncached_tokens (const struct ds_replica *replica,
                              const struct ds_placement_request *request,
                              uint64_t now_ms)
{
  uint64_t cached = 0;

  for (size_t i = 0; i < request->part_count; i++)
    {
      if (!has_cached_part (replica, request->parts[i].id, now_ms))
        break;
      cached += request->parts[i].tokens;
    }
  return cached < request->prompt_tokens ? request->prompt_tokens - cached : 1;
}

/* Returns for how long REPLICA takes no request from this host because it is
   cold; 0 if it takes one now.  */
static uint64_t
cold_wait_ms (struct ds_replica *replica,
              const struct ds_placement_request *request, uint64_t now_ms)
{
  if (request->cold_limit == NULL)
    return 0;
  return ds_cold_limit_wait_ms (request->cold_limit, &request->cold_rule,
                                &replica->cold, replica->hash,
                                request->urgency, now_ms);
}

static bool
is_cold (const struct ds_replica *replica,
         const struct ds_placement_request *request, uint64_t now_ms)
{
  return request->cold_limit != NULL
         && ds_cold_state_remaining_ms (&replica->cold, &request->cold_rule,
                                        now_ms)
                > 0;
}

/* Returns what keeps all requests like REQUEST from REPLICA, whatever its
   load: an evacuation, or the regions that are allowed.  */
static enum ds_placement_obstacle
find_exclusion (const struct ds_replica *replica,
                const struct ds_placement_request *request)
{
  if (!ds_region_rule_allows_zone (&request->regions, replica->record.zone))
    return DS_PLACEMENT_REGION;
  if (request->evacuations != NULL
      && ds_evacuations_cover (request->evacuations, replica->record.zone))
    return DS_PLACEMENT_EVACUATED;
  return DS_PLACEMENT_UNOBSTRUCTED;
}

/* Returns the replica of the service that all hosts prefer for the prompts of
   the part KEY, by rendezvous hashing; null if there is none.  A cold one is
   preferred only if all are cold: hosts that may not send to it would each
   choose another replica and prefill the part there.  */
static const struct ds_replica *
find_preferred (const struct ds_replica_set *set,
                const struct ds_placement_request *request, uint64_t key,
                uint64_t now_ms)
{
  const struct ds_replica *preferred = NULL;
  uint64_t best_weight = 0;
  bool best_cold = true;

  for (size_t i = 0; i < ds_replica_set_count (set); i++)
    {
      const struct ds_replica *replica = ds_replica_set_at (set, i);
      uint64_t weight = mix_hash (replica->hash ^ key);
      bool cold;

      if (!ds_str_equal (replica->record.service, request->service)
          || !ds_replica_accepts_requests (replica)
          || find_exclusion (replica, request) != DS_PLACEMENT_UNOBSTRUCTED)
        continue;
      cold = is_cold (replica, request, now_ms);
      if (preferred != NULL
          && (cold != best_cold ? cold : weight <= best_weight))
        continue;
      preferred = replica;
      best_weight = weight;
      best_cold = cold;
    }
  return preferred;
}

/* Tokens of the last part, which no other request shares.  */
static uint64_t
last_part_tokens (const struct ds_placement_request *request)
{
  return request->part_count > 0
             ? request->parts[request->part_count - 1].tokens
             : 0;
}

/* Cost of a prefill of UNCACHED tokens beyond its duration.  */
static double
prefill_penalty (const struct ds_placement_request *request, uint64_t uncached)
{
  uint64_t private_tokens = last_part_tokens (request);
  double penalty;

  if (uncached <= private_tokens)
    return 0;
  penalty = (double)(uncached - private_tokens) / PREFILL_TOKENS_PER_MS
            * PREFILL_PENALTY_WEIGHT;
  return penalty > PREFILL_PENALTY_MAX_SHARE * request->target_latency_ms
             ? PREFILL_PENALTY_MAX_SHARE * request->target_latency_ms
             : penalty;
}

static uint32_t
running_requests (const struct ds_replica *replica)
{
  return replica->local_load.running + replica->remote_load.running;
}

/* Returns the mean factor by which the replicas of SERVICE take longer than
   one of speed 1, as far as their speed is learned.  It stands for those of
   which little is known: taken for slower than the others, a new replica would
   get no request, and nothing would become known of it.  */
static double
mean_slowness (const struct ds_replica_set *set, struct ds_str service,
               uint64_t now_ms)
{
  double sum = 0;
  double weight = 0;

  for (size_t i = 0; i < ds_replica_set_count (set); i++)
    {
      const struct ds_replica *replica = ds_replica_set_at (set, i);
      struct ds_capacity_estimate estimate;

      if (replica->capacity == NULL
          || !ds_str_equal (replica->record.service, service))
        continue;
      estimate = ds_replica_capacity_estimate (replica->capacity, now_ms);
      sum += estimate.certainty / estimate.measured;
      weight += estimate.certainty;
    }
  return weight > 0 ? sum / weight : 1;
}

/* Returns the factor by which REPLICA takes longer than one of speed 1 without
   other load: from the learned speed and the MEAN of the service, or from the
   observed latency.

   A learned speed is too low while a replica is busy, since it does not know
   the requests that other hosts have sent in the last moments.  Its root
   halves the error; with the speed itself, slow replicas got a third of the
   requests that they can take.  */
static double
slowness (const struct ds_replica *replica, double mean, uint64_t now_ms)
{
  struct ds_capacity_estimate estimate;

  if (replica->capacity == NULL)
    return replica->latency_factor;
  estimate = ds_replica_capacity_estimate (replica->capacity, now_ms);
  return sqrt (estimate.certainty / estimate.measured
               + (1 - estimate.certainty) * mean);
}

/* Returns what in its learned capacity keeps the request from REPLICA.  */
static enum ds_placement_obstacle
find_capacity_obstacle (const struct ds_replica *replica,
                        const struct ds_placement_request *request,
                        bool beyond_limits, uint64_t now_ms)
{
  uint64_t held
      = replica->local_load.memory_tokens + replica->remote_load.memory_tokens;

  if (replica->capacity == NULL)
    return DS_PLACEMENT_UNOBSTRUCTED;
  /* A prompt that is too large for an idle replica is the replica's to
     refuse.  */
  if (request->kv_capacity > 0 && held > 0
      && (double)(held
                  + ds_placement_uncached_tokens (replica, request, now_ms))
             > MEMORY_SHARE * (double)request->kv_capacity)
    return DS_PLACEMENT_NO_MEMORY;
  if (!beyond_limits
      && ds_replica_capacity_room (replica->capacity,
                                   running_requests (replica), now_ms)
             == 0)
    return DS_PLACEMENT_AT_LIMIT;
  return DS_PLACEMENT_UNOBSTRUCTED;
}

/* MEAN is the mean slowness of the replicas of the service.  */
static double
expected_ms (const struct ds_replica *replica,
             const struct ds_replica *preferred,
             const struct ds_placement_request *request, double mean,
             uint64_t now_ms, uint64_t *uncached)
{
  double running = running_requests (replica);
  double factor;
  double cost
      = ds_str_equal (replica->record.zone, request->zone) ? 0 : OTHER_ZONE_MS;
  double prefill_ms;

  if (request->prompt_tokens == 0)
    {
      double slots = replica->record.slots > 0 ? replica->record.slots : 1;

      *uncached = 0;
      return cost + CALL_MS * running / slots * replica->latency_factor;
    }
  factor = slowness (replica, mean, now_ms);
  *uncached = ds_placement_uncached_tokens (replica, request, now_ms);
  prefill_ms = (double)*uncached / PREFILL_TOKENS_PER_MS;
  prefill_ms += prefill_penalty (request, *uncached);
  /* Hosts that receive a new part concurrently choose the same replica.  */
  if (*uncached > last_part_tokens (request) && replica == preferred)
    prefill_ms *= PREFERRED_REPLICA_FACTOR;
  if (replica->capacity != NULL)
    prefill_ms *= factor;
  return cost + prefill_ms
         + ((double)(replica->local_load.prefill_tokens
                     + replica->remote_load.prefill_tokens)
                / PREFILL_TOKENS_PER_MS
            + RUNNING_MS * running)
               * factor;
}

/* Returns the random cost of REPLICA, exponentially distributed, which needs
   to prefill UNCACHED tokens.  There is none if these include a shared part:
   all hosts prefer the same replica for it.  */
static double
random_cost (const struct ds_replica *replica,
             const struct ds_placement_request *request, uint64_t uncached)
{
  double draw;

  if (request->draw == 0 || request->prompt_tokens == 0
      || (request->part_count >= 2 && uncached > last_part_tokens (request)))
    return 0;
  draw = (double)(mix_hash (request->draw ^ replica->hash) >> 11) + 1;
  return -RANDOM_COST_MS * log (draw / ((double)(UINT64_C (1) << 53) + 1));
}

/* What a search allows: replicas that leave and still serve, and those beyond
   their learned limit.  */
struct allowance
{
  bool last_resort;
  bool beyond_limits;
};

/* Returns what keeps the request from REPLICA.  */
static enum ds_placement_obstacle
find_obstacle (struct ds_replica *replica,
               const struct ds_placement_request *request,
               struct allowance allowance, uint64_t now_ms)
{
  enum ds_placement_obstacle exclusion = find_exclusion (replica, request);
  enum ds_placement_obstacle capacity_obstacle;

  if (exclusion != DS_PLACEMENT_UNOBSTRUCTED)
    return exclusion;
  if (replica->notice.leaving_ms > 0
      && !(allowance.last_resort
           && ds_replica_notice_may_serve_last (&replica->notice,
                                                request->drain_ms, now_ms)))
    return DS_PLACEMENT_LEAVING;
  if (ds_replica_notice_wait_ms (&replica->notice, now_ms) > 0)
    return DS_PLACEMENT_HELD;
  capacity_obstacle = find_capacity_obstacle (replica, request,
                                              allowance.beyond_limits, now_ms);
  if (capacity_obstacle != DS_PLACEMENT_UNOBSTRUCTED)
    return capacity_obstacle;
  if (cold_wait_ms (replica, request, now_ms) > 0)
    return DS_PLACEMENT_COLD;
  return DS_PLACEMENT_UNOBSTRUCTED;
}

/* The best replica so far, and the best of those with an obstacle.  */
struct search
{
  const struct ds_placement_request *request;
  const struct ds_replica *preferred;
  struct allowance allowance;
  double mean_slowness;
  uint64_t now_ms;
  struct ds_placement best;
  double best_cost;
  const struct ds_replica *passed_over;
  enum ds_placement_obstacle obstacle;
  double passed_over_cost;
};

static bool
is_full (enum ds_placement_obstacle obstacle)
{
  return obstacle == DS_PLACEMENT_AT_LIMIT
         || obstacle == DS_PLACEMENT_NO_MEMORY;
}

static void
consider (struct search *search, struct ds_replica *replica)
{
  enum ds_placement_obstacle obstacle = find_obstacle (
      replica, search->request, search->allowance, search->now_ms);
  uint64_t uncached;
  double cost;

  if (obstacle == DS_PLACEMENT_UNOBSTRUCTED
      && search->best.status != DS_PLACEMENT_OK
      && search->best.status != DS_PLACEMENT_FULL)
    search->best.status = DS_PLACEMENT_ALL_TRIED;
  if (obstacle == DS_PLACEMENT_HELD
      && search->best.status == DS_PLACEMENT_NO_REPLICA)
    search->best.status = DS_PLACEMENT_ALL_HELD;
  if (obstacle == DS_PLACEMENT_COLD
      && (search->best.status == DS_PLACEMENT_NO_REPLICA
          || search->best.status == DS_PLACEMENT_ALL_HELD))
    search->best.status = DS_PLACEMENT_ALL_COLD;
  if (was_tried (search->request, replica->hash))
    return;
  if (is_full (obstacle) && search->best.status != DS_PLACEMENT_OK)
    search->best.status = DS_PLACEMENT_FULL;
  cost = expected_ms (replica, search->preferred, search->request,
                      search->mean_slowness, search->now_ms, &uncached);
  if (replica->capacity != NULL)
    cost += random_cost (replica, search->request, uncached);
  /* A failing replica is chosen only if there is no other.  */
  if (replica->avoid_until_ms > search->now_ms)
    cost += 100000;
  /* One in another region is named only where there is no other reason: it is
     passed over by every request that must not leave its regions.  */
  if (obstacle == DS_PLACEMENT_REGION)
    cost += OTHER_REGION_MS;
  if (obstacle != DS_PLACEMENT_UNOBSTRUCTED && cost < search->passed_over_cost)
    {
      search->passed_over_cost = cost;
      search->passed_over = replica;
      search->obstacle = obstacle;
    }
  if (obstacle != DS_PLACEMENT_UNOBSTRUCTED || cost >= search->best_cost)
    return;
  search->best_cost = cost;
  search->best = (struct ds_placement){
    .status = DS_PLACEMENT_OK,
    .replica = replica,
    .uncached_tokens = uncached,
    .expected_ms = cost,
  };
}

static struct ds_placement
choose_among (const struct ds_replica_set *set,
              const struct ds_placement_request *request,
              struct allowance allowance, uint64_t now_ms)
{
  uint64_t key = affinity_key (request);
  struct search search = {
    .request = request,
    .preferred = key != 0 ? find_preferred (set, request, key, now_ms) : NULL,
    .allowance = allowance,
    .mean_slowness = mean_slowness (set, request->service, now_ms),
    .now_ms = now_ms,
    .best = { .status = DS_PLACEMENT_NO_REPLICA },
    .best_cost = DBL_MAX,
    .passed_over_cost = DBL_MAX,
  };

  for (size_t i = 0; i < ds_replica_set_count (set); i++)
    {
      struct ds_replica *replica = ds_replica_set_at (set, i);

      if (ds_str_equal (replica->record.service, request->service)
          && ds_replica_is_available (replica))
        consider (&search, replica);
    }
  if (search.passed_over != NULL
      && search.passed_over_cost <= search.best_cost)
    {
      search.best.passed_over = search.passed_over;
      search.best.obstacle = search.obstacle;
    }
  return search.best;
}

/* Chooses the replica with the lowest expected time to the first event.

   All hosts receive prompts with long shared parts, most of them with a few
   common ones.  A replica with the part in its cache prefills a quarter of the
   prompt; another one is chosen only if its queue costs more than the repeated
   prefill.

   A replica that leaves gets no requests, since it may cut them off.  If all
   of a service leave, the first attempt of a request goes to one that still
   serves: the alternative is a refusal.

   Replicas that run as many requests as they do well, as learned, or whose
   memory does not hold another prompt, are passed over.  If this leaves none,
   the status is DS_PLACEMENT_FULL: the request may wait.  */
struct ds_placement
ds_placement_choose_within_limits (const struct ds_replica_set *set,
                                   const struct ds_placement_request *request,
                                   uint64_t now_ms)
{
  struct allowance allowance = { .last_resort = false };
  struct ds_placement placement
      = choose_among (set, request, allowance, now_ms);

  if (placement.status == DS_PLACEMENT_NO_REPLICA
      && placement.passed_over != NULL && request->tried_count == 0)
    {
      struct ds_placement last;

      allowance.last_resort = true;
      last = choose_among (set, request, allowance, now_ms);

      if (last.status == DS_PLACEMENT_OK)
        return last;
    }
  return placement;
}

/* Returns why no replica of the service may ever get REQUEST as things are:
   all are evacuated or in regions that are not allowed.  Such a request is
   refused before it waits for tokens.  */
enum ds_placement_obstacle
ds_placement_exclusion (const struct ds_replica_set *set,
                        const struct ds_placement_request *request)
{
  enum ds_placement_obstacle result = DS_PLACEMENT_UNOBSTRUCTED;

  for (size_t i = 0; i < ds_replica_set_count (set); i++)
    {
      const struct ds_replica *replica = ds_replica_set_at (set, i);
      enum ds_placement_obstacle exclusion;

      if (!ds_str_equal (replica->record.service, request->service)
          || !ds_replica_is_available (replica))
        continue;
      exclusion = find_exclusion (replica, request);
      if (exclusion == DS_PLACEMENT_UNOBSTRUCTED)
        return DS_PLACEMENT_UNOBSTRUCTED;
      /* An evacuation ends, unlike the rule.  */
      if (result != DS_PLACEMENT_EVACUATED)
        result = exclusion;
    }
  return result;
}

/* Chooses a replica as ds_placement_choose_within_limits or, if all are full,
   the one with the lowest expected time of those whose memory holds the
   prompt.  A request is not refused for a learned limit alone.  */
struct ds_placement
ds_placement_choose (const struct ds_replica_set *set,
                     const struct ds_placement_request *request,
                     uint64_t now_ms)
{
  struct ds_placement placement
      = ds_placement_choose_within_limits (set, request, now_ms);
  struct ds_placement beyond;

  if (placement.status != DS_PLACEMENT_FULL)
    return placement;
  beyond = choose_among (set, request,
                         (struct allowance){ .beyond_limits = true }, now_ms);
  beyond.beyond_limit = beyond.status == DS_PLACEMENT_OK;
  return beyond;
}

/* Returns the time until the first replica of the service takes the request,
   if all of them, but for those that leave or are excluded, want none for now
   or are cold;
   else 0.  */
uint64_t
ds_placement_wait_ms (const struct ds_replica_set *set,
                      const struct ds_placement_request *request,
                      uint64_t now_ms)
{
  uint64_t least = UINT64_MAX;

  for (size_t i = 0; i < ds_replica_set_count (set); i++)
    {
      struct ds_replica *replica = ds_replica_set_at (set, i);
      uint64_t wait_ms = ds_replica_notice_wait_ms (&replica->notice, now_ms);
      uint64_t cold_ms;

      if (!ds_str_equal (replica->record.service, request->service)
          || !ds_replica_accepts_requests (replica)
          || find_exclusion (replica, request) != DS_PLACEMENT_UNOBSTRUCTED)
        continue;
      cold_ms = cold_wait_ms (replica, request, now_ms);
      if (cold_ms > wait_ms)
        wait_ms = cold_ms;
      if (wait_ms < least)
        least = wait_ms;
    }
  return least == UINT64_MAX ? 0 : least;
}

/* Records that REPLICA has cached PART.  Returns true if it is new or its
   entry is old, so that other hosts need an update.  */
bool
ds_placement_record_part (struct ds_replica *replica, uint64_t part,
                          uint64_t now_ms)
{
  struct ds_cached_part *entry;
  bool is_new;

  if (replica->parts == NULL)
    replica->parts
        = talloc_zero_array (replica, struct ds_cached_part, DS_CACHED_PARTS);
  if (replica->parts == NULL)
    return false;
  entry = find_cached_part (replica->parts, part);
  is_new = entry->id != part
           || now_ms - entry->used_ms > CACHED_PART_LIFETIME_MS / 2;
  *entry = (struct ds_cached_part){ .id = part, .used_ms = now_ms };
  return is_new;
}

/* Records that REPLICA prefills the prompt, which caches its parts.  */
void
ds_placement_record_prefill (struct ds_replica *replica,
                             const struct ds_placement_request *request,
                             uint64_t now_ms)
{
  for (size_t i = 0; i < request->part_count; i++)
    (void)ds_placement_record_part (replica, request->parts[i].id, now_ms);
}

/* Updates the latency factor with a first event that took TOOK_MS instead of
   EXPECTED_MS.  */
void
ds_placement_record_first_event (struct ds_replica *replica, double took_ms,
                                 double expected_ms)
{
  double ratio = (took_ms + IDLE_LATENCY_MS) / (expected_ms + IDLE_LATENCY_MS);

  if (ratio > LATENCY_FACTOR_MAX)
    ratio = LATENCY_FACTOR_MAX;
  replica->latency_factor += (float)(LATENCY_FACTOR_WEIGHT
                                     * (ratio * replica->latency_factor
                                        - replica->latency_factor));
  if (replica->latency_factor < LATENCY_FACTOR_MIN)
    replica->latency_factor = LATENCY_FACTOR_MIN;
  if (replica->latency_factor > LATENCY_FACTOR_MAX)
    replica->latency_factor = LATENCY_FACTOR_MAX;
}

/* Records a failure that REPLICA caused and avoids it for a while.  */
void
ds_placement_record_failure (struct ds_replica *replica, uint64_t now_ms)
{
  uint32_t doublings = replica->failures < AVOID_DOUBLINGS ? replica->failures
                                                           : AVOID_DOUBLINGS;

  replica->failures++;
  replica->avoid_until_ms = now_ms + ((uint64_t)AVOID_MS << doublings);
}

void
ds_placement_record_success (struct ds_replica *replica)
{
  replica->failures = 0;
  replica->avoid_until_ms = 0;
}
