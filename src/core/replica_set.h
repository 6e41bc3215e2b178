#ifndef DS_CORE_REPLICA_SET_H
#define DS_CORE_REPLICA_SET_H

#include "daisystep/error.h"
#include "daisystep/str.h"

#include <stdbool.h>
#include <stdint.h>

/* What a replica says of itself in the store.  */
struct ds_replica_record
{
  struct ds_str id;
  uint64_t start_time_ms; /* start of this life, Unix time of the replica */
  struct ds_str service;
  struct ds_str address;
  struct ds_str zone;
  uint32_t slots;
  bool draining;
};

/* Work that a host has given to a replica and that has not ended.  */
struct ds_replica_load
{
  uint32_t running;        /* requests */
  uint64_t prefill_tokens; /* prompt tokens of those without a first event */
};

/* Prompt parts that were last read at a replica.  */
#define DS_CACHED_PARTS 512

struct ds_cached_part
{
  uint64_t id;
  uint64_t used_ms;
};

/* One life of a replica with what this host knows of it.  INDEX is its place
   in the loads that hosts tell each other, a hash of its id.  */
struct ds_replica
{
  struct ds_replica_record record;
  uint64_t hash;
  struct ds_replica_load local_load;
  struct ds_replica_load remote_load;
  struct ds_cached_part *parts; /* allocated on first use */
  uint64_t avoid_until_ms;      /* after failures */
  uint32_t failures;            /* in a row */
  uint64_t expiry_ms;   /* when it counts as gone; 0 while it is listed */
  float latency_factor; /* observed over predicted time to the first event */
  bool removed;
};

struct ds_replica_set;

int ds_replica_set_new (struct ds_replica_set **out, TALLOC_CTX *owner);
int ds_replica_set_put (struct ds_replica_set *set,
                        const struct ds_replica_record *record);
void ds_replica_set_remove (struct ds_replica_set *set, struct ds_str id,
                            uint64_t expiry_ms);
void ds_replica_set_begin_list (struct ds_replica_set *set);
void ds_replica_set_end_list (struct ds_replica_set *set, uint64_t expiry_ms);
void ds_replica_set_remove_expired (struct ds_replica_set *set,
                                    uint64_t now_ms);
size_t ds_replica_set_count (const struct ds_replica_set *set);
struct ds_replica *ds_replica_set_at (const struct ds_replica_set *set,
                                      size_t index);
struct ds_replica *
ds_replica_set_find_by_hash (const struct ds_replica_set *set, uint64_t hash);
bool ds_replica_accepts_requests (const struct ds_replica *replica);

#endif
