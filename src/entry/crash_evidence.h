#ifndef DS_ENTRY_CRASH_EVIDENCE_H
#define DS_ENTRY_CRASH_EVIDENCE_H

#include "core/crash_suspects.h"
#include "entry/connection_pool.h"

/* Turns the ends of attempts into evidence about what crashes replicas.  */
struct ds_crash_evidence;

/* An attempt whose connection failed after the request had been sent.
   ANSWER_BEGUN: its answer had come further than one that crashes its replica.
   FELL_SILENT: the replica did not close the connection.  */
struct ds_failed_attempt
{
  struct ds_str request_id;
  const struct ds_suspect_key *keys;
  size_t key_count;
  struct ds_replica *replica;
  bool answer_begun;
  bool fell_silent;
};

int ds_crash_evidence_new (struct ds_crash_evidence **out, TALLOC_CTX *owner,
                           struct tevent_context *ev,
                           const struct ds_connection_pool *pool,
                           struct ds_str host);
void ds_crash_evidence_set_listener (struct ds_crash_evidence *evidence,
                                     void (*on_change) (void *user_data),
                                     void *user_data);
uint32_t ds_crash_evidence_host (const struct ds_crash_evidence *evidence);
void ds_crash_evidence_restore (struct ds_crash_evidence *evidence,
                                const struct ds_suspect_report *report);
struct ds_crash_suspects *
ds_crash_evidence_suspects (struct ds_crash_evidence *evidence);
void ds_crash_evidence_add_failure (struct ds_crash_evidence *evidence,
                                    const struct ds_failed_attempt *attempt);
void ds_crash_evidence_add_success (struct ds_crash_evidence *evidence,
                                    const struct ds_suspect_key *keys,
                                    size_t count, uint64_t began_ms);
void ds_crash_evidence_log_change (const struct ds_crash_evidence *evidence,
                                   struct ds_suspect_key key,
                                   enum ds_suspect_change change,
                                   struct ds_str peer);

#endif
