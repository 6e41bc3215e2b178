#ifndef DS_ENTRY_ATTEMPT_FEEDBACK_H
#define DS_ENTRY_ATTEMPT_FEEDBACK_H

#include "core/placement.h"

/* What one attempt adds to the load of its replica and tells of it.  REPLICA
   is null between attempts; the caller holds a reference to it.  */
struct ds_attempt_feedback
{
  struct ds_replica *replica;
  uint64_t sent_ms;
  uint64_t uncached_tokens;
  uint64_t ahead_tokens; /* of other requests there, when it was sent */
  double expected_ms;
  bool prefill_counted;  /* in the replica's load */
  uint64_t gaps_from_ms; /* 0: gaps are not measured now */
  uint64_t gaps_from_events;
};

void ds_attempt_feedback_begin (struct ds_attempt_feedback *feedback,
                                const struct ds_placement *placement,
                                const struct ds_placement_request *request,
                                uint64_t now_ms);
void
ds_attempt_feedback_record_first_event (struct ds_attempt_feedback *feedback,
                                        const struct ds_placement_request *r,
                                        uint64_t now_ms);
void ds_attempt_feedback_record_events (struct ds_attempt_feedback *feedback,
                                        uint64_t events, uint64_t now_ms);
void ds_attempt_feedback_pause (struct ds_attempt_feedback *feedback);
void
ds_attempt_feedback_record_rejection (struct ds_attempt_feedback *feedback,
                                      uint64_t now_ms);
void ds_attempt_feedback_end (struct ds_attempt_feedback *feedback,
                              uint64_t now_ms);

#endif
