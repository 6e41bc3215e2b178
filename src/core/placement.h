#ifndef DS_CORE_PLACEMENT_H
#define DS_CORE_PLACEMENT_H

#include "core/replica_set.h"

/* A part of a prompt, by the hash of its id.  */
struct ds_prompt_part
{
  uint64_t id;
  uint32_t tokens;
};

/* The most parts of one prompt that are looked at; further ones count as
   unread text.  */
#define DS_PROMPT_PARTS_MAX 16

/* The work that is to be placed.  PARTS are in the order of the prompt; the
   last one belongs to the request or its session.  */
struct ds_placement_request
{
  struct ds_str service;
  struct ds_str zone;
  struct ds_prompt_part parts[DS_PROMPT_PARTS_MAX];
  size_t part_count;
  uint64_t prompt_tokens;
  uint32_t target_latency_ms; /* until the first event; 0 for none */
  uint64_t tried[4]; /* hashes of replicas that this request must not go to */
  size_t tried_count;
};

/* Why there is no replica.  */
enum ds_placement_status
{
  DS_PLACEMENT_OK,
  DS_PLACEMENT_NO_REPLICA, /* none is listed for the service */
  DS_PLACEMENT_ALL_TRIED,  /* all that are listed were tried or fail */
  DS_PLACEMENT_FULL        /* all places are taken */
};

/* EXPECTED_MS is the estimated time to the first event, UNREAD_TOKENS the part
   of the prompt that the replica must read for it.  */
struct ds_placement
{
  enum ds_placement_status status;
  struct ds_replica *replica;
  uint64_t uncached_tokens;
  double expected_ms;
};

struct ds_placement ds_placement_choose (const struct ds_replica_set *set,
                                         const struct ds_placement_request *r,
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
