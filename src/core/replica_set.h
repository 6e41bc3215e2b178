#ifndef DS_CORE_REPLICA_SET_H
#define DS_CORE_REPLICA_SET_H

#include "core/cold_limit.h"
#include "core/replica_capacity.h"
#include "core/replica_notice.h"
#include "daisystep/error.h"
#include "daisystep/str.h"

#include <stdbool.h>
#include <stdint.h>

/* The registration of a replica in the store.  */
struct ds_replica_record
{
  struct ds_str id;
  uint64_t start_time_ms; /* Unix time by the clock of the replica */
  struct ds_str service;
  struct ds_str address;
  struct ds_str zone;
  uint32_t slots;
  bool draining;
  uint64_t cold_remaining_ms; /* when it was written; or DS_COLD_UNKNOWN */
};

/* Unfinished requests that a host has sent to a replica.  */
struct ds_replica_load
{
  uint32_t running;        /* requests */
  uint64_t prefill_tokens; /* of requests without a first event */
  uint64_t memory_tokens;  /* prompt tokens that they add to its memory */
};

/* Size of the table of prompt parts in the cache of a replica.  */
#define DS_CACHED_PARTS 512

struct ds_cached_part
{
  uint64_t id;
  uint64_t used_ms;
};

/* One incarnation of a replica with its state on this host.  HASH, of its id
   and start time, identifies it in messages between hosts.  */
struct ds_replica
{
  struct ds_replica_record record;
  uint64_t hash;
  struct ds_replica_load local_load;
  struct ds_replica_load remote_load;
  struct ds_replica_load reported_load; /* of local_load, to the relays */
  struct ds_replica_load zone_load;     /* of this zone, kept by relays */
  struct ds_cached_part *parts;         /* allocated on first use */
  uint64_t avoid_until_ms;              /* set after failures */
  uint32_t failures;                    /* consecutive */
  uint64_t expiry_ms;   /* when it is dropped; 0 while listed */
  float latency_factor; /* observed / expected time to first event */
  /* Another host has reported that it leaves, as the store says from this
     revision on; 0 for none.  */
  uint64_t left_revision;
  uint64_t left_reported_ms;
  uint64_t left_refuted_ms; /* when a report was last found wrong; or 0 */
  struct ds_replica_notice notice;
  struct ds_replica_capacity *capacity; /* null: it is not learned */
  struct ds_cold_state cold;
  bool removed;
};

struct ds_replica_set;

uint64_t ds_replica_hash (struct ds_str id, uint64_t start_time_ms);
int ds_replica_set_new (struct ds_replica_set **out, TALLOC_CTX *owner);
void ds_replica_set_learn_capacity (struct ds_replica_set *set,
                                    const struct ds_capacity_options *options);
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
struct ds_replica *ds_replica_set_find (const struct ds_replica_set *set,
                                        struct ds_str id);
struct ds_replica *
ds_replica_set_find_by_hash (const struct ds_replica_set *set, uint64_t hash);
struct ds_replica *
ds_replica_set_find_by_short_hash (const struct ds_replica_set *set,
                                   uint32_t hash);
bool ds_replica_set_report_departure (struct ds_replica_set *set,
                                      uint64_t hash, uint64_t revision,
                                      uint64_t known_revision,
                                      uint64_t now_ms);
void ds_replica_set_end_reports (struct ds_replica_set *set, uint64_t revision,
                                 uint64_t asked_ms, uint64_t now_ms);
void ds_replica_set_forget_reports (struct ds_replica_set *set);
bool ds_replica_set_record_leaving (struct ds_replica_set *set,
                                    struct ds_replica *replica,
                                    uint64_t now_ms);
bool ds_replica_set_record_hold (struct ds_replica_set *set,
                                 struct ds_replica *replica, uint64_t hold_ms,
                                 uint64_t now_ms);
bool ds_replica_is_available (const struct ds_replica *replica);
bool ds_replica_accepts_requests (const struct ds_replica *replica);

#endif
