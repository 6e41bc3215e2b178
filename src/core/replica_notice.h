#ifndef DS_CORE_REPLICA_NOTICE_H
#define DS_CORE_REPLICA_NOTICE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What a replica has said of itself in its answers to this host.  It holds for
   one lifetime of the replica.  */
struct ds_replica_notice
{
  uint64_t leaving_ms;    /* when it first said that it leaves; 0 before */
  uint64_t held_until_ms; /* it wants no requests until then; 0 for none */
  uint64_t trial_ms; /* when the first request after that was sent; 0 for none
                      */
};

/* Lifetimes whose notices outlast their entries in the store.  More replicas
   than this do not leave while one of them still answers.  */
#define DS_KEPT_NOTICES 1024

/* The notices of lifetimes that were dropped: an entry may expire in a store
   outage and return.  The oldest is overwritten.  */
struct ds_notice_store
{
  struct ds_kept_notice
  {
    uint64_t lifetime; /* hash of the replica; 0 for none */
    struct ds_replica_notice notice;
  } kept[DS_KEPT_NOTICES];
  size_t next;
};

bool ds_replica_notice_record_leaving (struct ds_replica_notice *notice,
                                       uint64_t now_ms);
bool ds_replica_notice_may_serve_last (const struct ds_replica_notice *notice,
                                       uint64_t drain_ms, uint64_t now_ms);
bool ds_replica_notice_record_hold (struct ds_replica_notice *notice,
                                    uint64_t hold_ms, uint64_t now_ms);
uint64_t ds_replica_notice_wait_ms (const struct ds_replica_notice *notice,
                                    uint64_t now_ms);
void ds_replica_notice_record_sent (struct ds_replica_notice *notice,
                                    uint64_t now_ms);
void ds_replica_notice_record_answer (struct ds_replica_notice *notice,
                                      uint64_t sent_ms);
void ds_replica_notice_record_end (struct ds_replica_notice *notice,
                                   uint64_t sent_ms);
void ds_notice_store_keep (struct ds_notice_store *store, uint64_t lifetime,
                           const struct ds_replica_notice *notice);
void ds_notice_store_restore (const struct ds_notice_store *store,
                              uint64_t lifetime,
                              struct ds_replica_notice *notice);

#endif
