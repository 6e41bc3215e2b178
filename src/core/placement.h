#ifndef DS_CORE_PLACEMENT_H
#define DS_CORE_PLACEMENT_H

#include "core/evacuation.h"
#include "core/region_rule.h"
#include "core/replica_set.h"

/* A part of a prompt, identified by the hash of its id.  */
struct ds_prompt_part
{
  uint64_t id;
  uint32_t tokens;
};

/* Maximum number of parts considered per prompt; further ones count as not
   cached.  */
#define DS_PROMPT_PARTS_MAX 16

/* The request to place.  PARTS are in the order of the prompt; the last one is
   private to the request or its session.  EVACUATIONS is null if evacuations
   are not watched.  */
struct ds_placement_request
{
  struct ds_str service;
  struct ds_str zone;
  struct ds_prompt_part parts[DS_PROMPT_PARTS_MAX];
  size_t part_count;
  uint64_t prompt_tokens;
  uint32_t target_latency_ms; /* to the first event; 0 for none */
  uint64_t tried[4];          /* hashes of replicas to exclude */
  size_t tried_count;
  uint64_t drain_ms;    /* for which a replica that leaves still serves */
  uint64_t draw;        /* uniformly distributed; 0: no random choice */
  uint64_t kv_capacity; /* tokens in the memory of a replica; 0: unknown */
  const struct ds_cold_limit *cold_limit; /* null: no replica is cold */
  struct ds_cold_rule cold_rule;          /* of SERVICE */
  unsigned urgency;                       /* 0 is the most urgent */
  const struct ds_evacuations *evacuations;
  struct ds_region_rule regions;
};

/* DS_PLACEMENT_OK, or why there is no replica.  */
enum ds_placement_status
{
  DS_PLACEMENT_OK,
  DS_PLACEMENT_NO_REPLICA, /* none is known for the service */
  DS_PLACEMENT_ALL_TRIED,  /* all known ones were tried */
  DS_PLACEMENT_ALL_HELD,   /* all known ones want no requests for now */
  DS_PLACEMENT_ALL_COLD,   /* all others are cold and take none now */
  DS_PLACEMENT_FULL        /* all others are beyond their learned capacity */
};

/* Why the best replica of a service was not chosen.  */
enum ds_placement_obstacle
{
  DS_PLACEMENT_UNOBSTRUCTED,
  DS_PLACEMENT_LEAVING,   /* it said that it leaves */
  DS_PLACEMENT_HELD,      /* it said that it wants no requests for a while */
  DS_PLACEMENT_EVACUATED, /* its zone is evacuated */
  DS_PLACEMENT_REGION,    /* its region is not allowed */
  DS_PLACEMENT_COLD,      /* it is cold and takes none from this host now */
  DS_PLACEMENT_AT_LIMIT,  /* it runs as many requests as it does well */
  DS_PLACEMENT_NO_MEMORY  /* its memory does not hold another prompt */
};

/* EXPECTED_MS is the estimated time to the first event, UNCACHED_TOKENS the
   number of prompt tokens that the replica must prefill.  PASSED_OVER is a
   replica that is no worse than the chosen one but for the OBSTACLE; null if
   there is none.  BEYOND_LIMIT is set if all replicas that could be chosen are
   at their learned limit.  */
struct ds_placement
{
  enum ds_placement_status status;
  struct ds_replica *replica;
  uint64_t uncached_tokens;
  double expected_ms;
  const struct ds_replica *passed_over;
  enum ds_placement_obstacle obstacle;
  bool beyond_limit;
};

struct ds_placement ds_placement_choose (const struct ds_replica_set *set,
                                         const struct ds_placement_request *r,
                                         uint64_t now_ms);
enum ds_placement_obstacle
ds_placement_exclusion (const struct ds_replica_set *set,
                        const struct ds_placement_request *request);
struct ds_placement
ds_placement_choose_within_limits (const struct ds_replica_set *set,
                                   const struct ds_placement_request *r,
                                   uint64_t now_ms);
uint64_t ds_placement_wait_ms (const struct ds_replica_set *set,
                               const struct ds_placement_request *request,
                               uint64_t now_ms);
uint64_t
ds_placement_uncached_tokens (const struct ds_replica *replica,
                              const struct ds_placement_request *request,
                              uint64_t now_ms);
bool ds_placement_record_part (struct ds_replica *replica, uint64_t part,
                               uint64_t now_ms);
void ds_placement_record_prefill (struct ds_replica *replica,
                                  const struct ds_placement_request *request,
                                  uint64_t now_ms);
void ds_placement_record_first_event (struct ds_replica *replica,
                                      double took_ms, double expected_ms);
void ds_placement_record_failure (struct ds_replica *replica, uint64_t now_ms);
void ds_placement_record_success (struct ds_replica *replica);

#endif
