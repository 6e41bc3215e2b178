#ifndef DS_ENTRY_REPLICA_NOTICES_H
#define DS_ENTRY_REPLICA_NOTICES_H

#include "base/decision_log.h"
#include "core/placement.h"
#include "platform/caller_codec.h"

void ds_replica_notices_record (struct ds_replica_set *set,
                                struct ds_replica *replica,
                                const struct ds_upstream_response *response,
                                struct ds_str request_id, uint64_t now_ms);
void ds_replica_notices_describe_choice (struct ds_decision_line *line,
                                         const struct ds_placement *placement);
uint64_t ds_replica_notices_retry_after_ms (uint64_t wait_ms, uint64_t left_ms,
                                            struct ds_str request_id);
const char *ds_replica_notices_refusal (const struct ds_placement *placement);
const char *
ds_replica_notices_exclusion (const struct ds_replica_set *set,
                              const struct ds_placement_request *request);

#endif
