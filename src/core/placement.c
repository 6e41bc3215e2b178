#include "core/placement.h"

#include <float.h>
#include <string.h>

/* Prompt tokens that an engine reads in a millisecond, until slowness is
   learnt; the engines of the two deployments read 51 and 64.  */
#define PREFILL_TOKENS_PER_MS 50.0
/* What each running request adds to the time of a step of an engine, as time
   to the first event; a batch of 64 slows a 5 ms step to about 7 ms and
   prompts share the steps.  */
#define RUNNING_MS 1.5
/* Time of one call of a plain service while its replica is busy.  */
#define CALL_MS 60.0
/* Cost of leaving the zone: two delays and the price of the bytes.  */
#define OTHER_ZONE_MS 4.0
/* A part that was not used for so long may have yielded to others.  */
#define RESIDENT_MS 60000
/* Parts that may share a place in a replica's table; of two thousand parts in
   use at a time hardly any set has more.  */
#define RESIDENT_WAYS 8
/* Weight of the time that reading shared parts anew takes beyond the reading
   itself: it delays the tokens of all requests there, and the copy pushes out
   others.  */
#define READ_WEIGHT 3.0
/* Part of the objective that a request may wait longer at a replica that keeps
   its shared parts.  */
#define STAY_PART 0.5
/* Part of the reading time that counts at the first choice for a part that
   nobody has read yet.  */
#define HOME_DISCOUNT 0.7
/* Time to the first event that does not depend on load: transport and the step
   of an idle engine.  */
#define BASE_MS 60.0
/* Bounds of the learnt slowness, and the weight of the newest observation.  */
#define SLOWNESS_MIN 0.5F
#define SLOWNESS_MAX 4.0F
#define SLOWNESS_WEIGHT 0.1
/* Time that a replica is avoided after a failure; doubled with each further
   one in a row.  */
#define AVOID_MS 250
#define AVOID_DOUBLINGS 4

static uint64_t
mix (uint64_t value)
{
  value ^= value >> 33;
  value *= UINT64_C (0xff51afd7ed558ccd);
  value ^= value >> 33;
  value *= UINT64_C (0xc4ceb9fe1a85ec53);
  return value ^ (value >> 33);
}

/* What decides where a prompt is kept: its deepest part that others share.  */
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

/* The place of part ID in the table of PARTS, or of the part of the same set
   that was used longest ago.

   Load: each request brings a part of its own, some four a second and replica.
   With one place for each hash they overwrote 5 % of the shared parts between
   two uses, which were then read again elsewhere.  */
static struct ds_cached_part *
place_of (struct ds_cached_part *parts, uint64_t id)
{
  struct ds_cached_part *set
      = &parts[mix (id) % (DS_CACHED_PARTS / RESIDENT_WAYS) * RESIDENT_WAYS];
  struct ds_cached_part *oldest = set;

  for (size_t i = 0; i < RESIDENT_WAYS; i++)
    {
      if (set[i].id == id)
        return &set[i];
      if (set[i].used_ms < oldest->used_ms)
        oldest = &set[i];
    }
  return oldest;
}

static bool
keeps_part (const struct ds_replica *replica, uint64_t id, uint64_t now_ms)
{
  const struct ds_cached_part *part;

  if (replica->parts == NULL)
    return false;
  part = place_of (replica->parts, id);
  return part->id == id && now_ms - part->used_ms < RESIDENT_MS;
}

/* Tokens of the prompt that REPLICA probably does not keep.  A part counts as
   kept only if all parts before it are.  */
uint64_t
ds_placement_uncached_tokens (const struct ds_replica *replica,
                              const struct ds_placement_request *request,
                              uint64_t now_ms)
{
  uint64_t kept = 0;

  for (size_t i = 0; i < request->part_count; i++)
    {
      if (!keeps_part (replica, request->parts[i].id, now_ms))
        break;
      kept += request->parts[i].tokens;
    }
  return kept < request->prompt_tokens ? request->prompt_tokens - kept : 1;
}

/* Rank of each replica for KEY by highest random weight, so that all hosts
   send the prompts of one part to the same replicas.  */
static size_t
rank_of (const struct ds_replica_set *set, const struct ds_replica *replica,
         struct ds_str service, uint64_t key)
{
  uint64_t local_load = mix (replica->hash ^ key);
  size_t rank = 0;

  for (size_t i = 0; i < ds_replica_set_count (set); i++)
    {
      const struct ds_replica *other = ds_replica_set_at (set, i);

      if (other != replica && ds_str_equal (other->record.service, service)
          && ds_replica_accepts_requests (other)
          && mix (other->hash ^ key) > local_load)
        rank++;
    }
  return rank;
}

/* Tokens of the part that no other request shares.  */
static uint64_t
last_part (const struct ds_placement_request *request)
{
  return request->part_count > 0
             ? request->parts[request->part_count - 1].tokens
             : 0;
}

/* What reading UNREAD tokens counts for beyond its time.  */
static double
reading_penalty (const struct ds_placement_request *request, uint64_t unread)
{
  uint64_t local_load = last_part (request);
  double penalty;

  if (unread <= local_load)
    return 0;
  penalty
      = (double)(unread - local_load) / PREFILL_TOKENS_PER_MS * READ_WEIGHT;
  return penalty > STAY_PART * request->target_latency_ms
             ? STAY_PART * request->target_latency_ms
             : penalty;
}

static double
expected_ms (const struct ds_replica_set *set,
             const struct ds_replica *replica,
             const struct ds_placement_request *request, uint64_t now_ms,
             uint64_t *unread)
{
  double running = replica->local_load.running + replica->remote_load.running;
  double cost
      = ds_str_equal (replica->record.zone, request->zone) ? 0 : OTHER_ZONE_MS;
  double read_ms;

  if (request->prompt_tokens == 0)
    {
      double slots = replica->record.slots > 0 ? replica->record.slots : 1;

      *unread = 0;
      return cost + CALL_MS * running / slots * replica->latency_factor;
    }
  *unread = ds_placement_uncached_tokens (replica, request, now_ms);
  read_ms = (double)*unread / PREFILL_TOKENS_PER_MS;
  read_ms += reading_penalty (request, *unread);
  /* Hosts that meet a part at the same time send it to the same replica.  */
  if (*unread > last_part (request) && affinity_key (request) != 0
      && rank_of (set, replica, request->service, affinity_key (request)) == 0)
    read_ms *= HOME_DISCOUNT;
  return cost + read_ms
         + ((double)(replica->local_load.prefill_tokens
                     + replica->remote_load.prefill_tokens)
                / PREFILL_TOKENS_PER_MS
            + RUNNING_MS * running)
               * replica->latency_factor;
}

/* Chooses the replica with the least expected time to the first event.

   Load: prompts with a long shared part arrive at all hosts, most of them
   about few parts.  A replica that has the part reads a quarter of the prompt;
   the choice leaves it only when its queue costs more than reading anew.  */
struct ds_placement
ds_placement_choose (const struct ds_replica_set *set,
                     const struct ds_placement_request *request,
                     uint64_t now_ms)
{
  struct ds_placement best = { .status = DS_PLACEMENT_NO_REPLICA };
  double best_cost = DBL_MAX;

  for (size_t i = 0; i < ds_replica_set_count (set); i++)
    {
      struct ds_replica *replica = ds_replica_set_at (set, i);
      uint64_t unread;
      double cost;

      if (!ds_str_equal (replica->record.service, request->service)
          || !ds_replica_accepts_requests (replica))
        continue;
      if (best.status == DS_PLACEMENT_NO_REPLICA)
        best.status = DS_PLACEMENT_ALL_TRIED;
      if (was_tried (request, replica->hash))
        continue;
      cost = expected_ms (set, replica, request, now_ms, &unread);
      /* One that fails is chosen only when nothing else is left.  */
      if (replica->avoid_until_ms > now_ms)
        cost += 100000;
      if (cost >= best_cost)
        continue;
      best_cost = cost;
      best = (struct ds_placement){
        .status = DS_PLACEMENT_OK,
        .replica = replica,
        .uncached_tokens = unread,
        .expected_ms = cost,
      };
    }
  return best;
}

/* PART lies in the replica's memory for a while; true if that is news.  */
bool
ds_placement_record_part (struct ds_replica *replica, uint64_t part,
                          uint64_t now_ms)
{
  struct ds_cached_part *place;
  bool news;

  if (replica->parts == NULL)
    replica->parts
        = talloc_zero_array (replica, struct ds_cached_part, DS_CACHED_PARTS);
  if (replica->parts == NULL)
    return false;
  place = place_of (replica->parts, part);
  news = place->id != part || now_ms - place->used_ms > RESIDENT_MS / 2;
  *place = (struct ds_cached_part){ .id = part, .used_ms = now_ms };
  return news;
}

/* The replica reads the prompt and keeps its parts for a while.  */
void
ds_placement_record_prefill (struct ds_replica *replica,
                             const struct ds_placement_request *request,
                             uint64_t now_ms)
{
  for (size_t i = 0; i < request->part_count; i++)
    (void)ds_placement_record_part (replica, request->parts[i].id, now_ms);
}

/* A first event came after TOOK_MS where EXPECTED_MS were predicted.  */
void
ds_placement_record_first_event (struct ds_replica *replica, double took_ms,
                                 double expected_ms)
{
  double ratio = (took_ms + BASE_MS) / (expected_ms + BASE_MS);

  if (ratio > SLOWNESS_MAX)
    ratio = SLOWNESS_MAX;
  replica->latency_factor += (float)(SLOWNESS_WEIGHT
                                     * (ratio * replica->latency_factor
                                        - replica->latency_factor));
  if (replica->latency_factor < SLOWNESS_MIN)
    replica->latency_factor = SLOWNESS_MIN;
  if (replica->latency_factor > SLOWNESS_MAX)
    replica->latency_factor = SLOWNESS_MAX;
}

/* A request failed at the replica for a reason of its own.  */
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
