#ifndef DS_ENTRY_COLD_STARTS_H
#define DS_ENTRY_COLD_STARTS_H

#include "base/decision_log.h"
#include "core/evacuation.h"
#include "core/placement.h"
#include "daisystep/routing_config.h"
#include "entry/entry_settings.h"
#include "entry/store_client.h"
#include "entry/store_watcher.h"
#include "platform/caller_codec.h"

/* What this host knows of cold replicas and of the hosts that may send to
   them.  */
struct ds_cold_starts;

int ds_cold_starts_new (struct ds_cold_starts **out, TALLOC_CTX *owner,
                        struct ds_store_client *store,
                        struct ds_replica_set *replicas,
                        const struct ds_entry_settings *settings);
void ds_cold_starts_set_registered (struct ds_cold_starts *starts,
                                    bool settled, uint64_t now_ms);
void ds_cold_starts_begin_era (struct ds_cold_starts *starts);
void ds_cold_starts_set_watcher (struct ds_cold_starts *starts,
                                 struct ds_store_watcher *replica_watcher);
void ds_cold_starts_note_evacuations (struct ds_cold_starts *starts,
                                      const struct ds_evacuations *evacuations,
                                      uint64_t now_ms);
bool ds_cold_starts_tick (struct ds_cold_starts *starts,
                          const struct ds_routing_config *config,
                          uint64_t now_ms);
int ds_cold_starts_put_replica (struct ds_cold_starts *starts,
                                const struct ds_replica_record *record,
                                uint64_t revision, uint64_t now_ms);
void ds_cold_starts_fill_request (const struct ds_cold_starts *starts,
                                  struct ds_placement_request *request,
                                  const struct ds_routing_config *config,
                                  unsigned urgency);
bool ds_cold_starts_is_cold (const struct ds_placement_request *request,
                             const struct ds_replica *replica,
                             uint64_t now_ms);
void ds_cold_starts_record_sent (struct ds_replica *replica,
                                 const struct ds_placement_request *request,
                                 uint64_t now_ms);
void
ds_cold_starts_record_response (struct ds_cold_starts *starts,
                                const struct ds_replica *replica,
                                const struct ds_upstream_response *response,
                                struct ds_str request_id, uint64_t now_ms);
void ds_cold_starts_record_failure (struct ds_cold_starts *starts,
                                    const struct ds_replica *replica,
                                    const struct ds_placement_request *request,
                                    uint64_t now_ms);
void ds_cold_starts_end_doubts (struct ds_cold_starts *starts,
                                uint64_t asked_ms);
void ds_cold_starts_record_refusal (struct ds_cold_starts *starts,
                                    const struct ds_placement_request *request,
                                    const struct ds_placement *placement,
                                    struct ds_str request_id, uint64_t now_ms);
void ds_cold_starts_describe (struct ds_decision_line *line,
                              const struct ds_placement_request *request,
                              const struct ds_replica *replica,
                              uint64_t now_ms);

#endif
