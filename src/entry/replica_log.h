#ifndef DS_ENTRY_REPLICA_LOG_H
#define DS_ENTRY_REPLICA_LOG_H

#include "core/replica_set.h"
#include "platform/store_codec.h"

void ds_replica_log (const struct ds_store_object *object, struct ds_str state,
                     const struct ds_replica_record *record,
                     const char *reason);

#endif
