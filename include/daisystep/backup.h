#ifndef DAISYSTEP_BACKUP_H
#define DAISYSTEP_BACKUP_H

#include "daisystep/journal.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/* The journal records that this host keeps as a backup of other hosts.  Not
   safe for concurrent use.  */
struct ds_backup_store;

/* Reply to an append.  SEQUENCE is the last sequence up to which the store
   holds every live record of the shard; the sender continues after it.
   UNKNOWN: the store holds no earlier records of the shard and needs a copy.
   SEALED: the append was rejected, and every later one will be.  */
struct ds_backup_ack
{
  uint64_t incarnation;
  uint32_t shard;
  uint64_t sequence;
  bool sealed;
  bool unknown;
};

/* The records of one request.  The strings belong to the store and are valid
   until its next change.  */
struct ds_backup_request
{
  uint64_t incarnation;
  uint32_t shard;
  bool reserved;
  bool settled;
  struct ds_record reserve;
  struct ds_record settle;
};

int ds_backup_new (struct ds_backup_store **out, TALLOC_CTX *owner);
void ds_backup_free (struct ds_backup_store *store);
int ds_backup_append (struct ds_backup_ack *out, struct ds_backup_store *store,
                      uint64_t incarnation, uint32_t shard, bool is_copy,
                      uint64_t copy_base, const struct ds_record *records,
                      size_t count);
void ds_backup_seal (struct ds_backup_store *store, uint64_t incarnation,
                     bool *known);
bool ds_backup_is_sealed (const struct ds_backup_store *store,
                          uint64_t incarnation);
int ds_backup_visit_records (const struct ds_backup_store *store,
                             uint64_t incarnation,
                             int (*visit) (void *context, uint32_t shard,
                                           const struct ds_record *record),
                             void *context);
int ds_backup_visit_shards (const struct ds_backup_store *store,
                            uint64_t incarnation,
                            void (*visit) (void *context, uint32_t shard,
                                           uint64_t sequence),
                            void *context);
int ds_backup_find_request (struct ds_backup_request *out,
                            const struct ds_backup_store *store,
                            const struct ds_request_id *id);
void ds_backup_drop_incarnation (struct ds_backup_store *store,
                                 uint64_t incarnation);
size_t ds_backup_record_count (const struct ds_backup_store *store);

#endif
