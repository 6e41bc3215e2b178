#include "entry/attempt_feedback.h"
#include "base/decision_log.h"
#include "daisystep/metrics.h"

/* Time over which gaps between events are averaged for one sample: a single
   gap is a few steps of the engine, and the clock counts milliseconds.  */
#define GAPS_MS 500

/* Logs the estimate of a replica if it has changed.  */
static void
log_change (const struct ds_replica *replica, uint64_t now_ms)
{
  struct ds_capacity_estimate estimate;
  struct ds_decision_line line;

  if (!ds_replica_capacity_take_change (replica->capacity, &estimate, now_ms))
    return;
  ds_metric_add (DS_METRIC_REPLICA_LIMITS_CHANGED, 1);
  line = ds_decision_line_begin ("replica_capacity", DS_STR_EMPTY);
  ds_decision_line_add_text (&line, "replica", replica->record.id);
  ds_decision_line_add_number (&line, "speed_percent",
                               (int64_t)(estimate.speed * 100));
  ds_decision_line_add_number (&line, "limit", estimate.limit);
  ds_decision_line_add_number (&line, "stretch_percent",
                               (int64_t)(estimate.stretch * 100));
  ds_decision_line_add_number (&line, "gap_us",
                               (int64_t)(estimate.gap_ms * 1000));
  ds_decision_line_add_number (&line, "samples", (int64_t)estimate.samples);
  ds_decision_line_end (&line);
}

static uint32_t
running_requests (const struct ds_replica *replica)
{
  return replica->local_load.running + replica->remote_load.running;
}

/* Adds the attempt that is sent by PLACEMENT to the replica's load.  The
   replica is taken to cache the prompt: the next request with the same parts
   should use it.  */
void
ds_attempt_feedback_begin (struct ds_attempt_feedback *feedback,
                           const struct ds_placement *placement,
                           const struct ds_placement_request *request,
                           uint64_t now_ms)
{
  struct ds_replica *replica = placement->replica;

  *feedback = (struct ds_attempt_feedback){
    .replica = replica,
    .sent_ms = now_ms,
    .uncached_tokens = placement->uncached_tokens,
    .ahead_tokens
    = replica->local_load.prefill_tokens + replica->remote_load.prefill_tokens,
    .expected_ms = placement->expected_ms,
    .prefill_counted = true,
  };
  replica->local_load.running++;
  replica->local_load.prefill_tokens += feedback->uncached_tokens;
  replica->local_load.memory_tokens += feedback->uncached_tokens;
  ds_replica_notice_record_sent (&replica->notice, now_ms);
  ds_placement_record_prefill (replica, request, now_ms);
  if (replica->capacity != NULL)
    ds_replica_capacity_record_sent (replica->capacity,
                                     running_requests (replica), now_ms);
}

static void
remove_prefill (struct ds_attempt_feedback *feedback)
{
  if (feedback->prefill_counted)
    feedback->replica->local_load.prefill_tokens -= feedback->uncached_tokens;
  feedback->prefill_counted = false;
}

/* Records the first event of the attempt.  */
void
ds_attempt_feedback_record_first_event (
    struct ds_attempt_feedback *feedback,
    const struct ds_placement_request *request, uint64_t now_ms)
{
  struct ds_replica *replica = feedback->replica;
  uint64_t took_ms = now_ms - feedback->sent_ms;
  const struct ds_capacity_first_event event = {
    .tokens = feedback->uncached_tokens,
    .ahead_tokens = feedback->ahead_tokens,
    .took_ms = took_ms,
  };

  remove_prefill (feedback);
  ds_placement_record_prefill (replica, request, now_ms);
  ds_placement_record_first_event (replica, (double)took_ms,
                                   feedback->expected_ms);
  if (replica->capacity == NULL)
    return;
  ds_replica_capacity_record_first_event (replica->capacity, &event, now_ms);
  log_change (replica, now_ms);
}

/* Records that EVENTS of the stream, with those of earlier attempts, have
   arrived so far.  */
void
ds_attempt_feedback_record_events (struct ds_attempt_feedback *feedback,
                                   uint64_t events, uint64_t now_ms)
{
  struct ds_replica *replica = feedback->replica;

  if (replica == NULL || replica->capacity == NULL
      || events == feedback->gaps_from_events)
    return;
  if (feedback->gaps_from_ms > 0)
    {
      if (now_ms - feedback->gaps_from_ms < GAPS_MS)
        return;
      ds_replica_capacity_record_gaps (
          replica->capacity, events - feedback->gaps_from_events,
          now_ms - feedback->gaps_from_ms, now_ms);
      log_change (replica, now_ms);
    }
  feedback->gaps_from_ms = now_ms;
  feedback->gaps_from_events = events;
}

/* Ends the current measurement of gaps, as this host stops reading: what the
   caller does not take says nothing of the replica.  */
void
ds_attempt_feedback_pause (struct ds_attempt_feedback *feedback)
{
  feedback->gaps_from_ms = 0;
}

/* Records that the replica had no room for the attempt and did not run it.  */
void
ds_attempt_feedback_record_rejection (struct ds_attempt_feedback *feedback,
                                      uint64_t now_ms)
{
  struct ds_replica *replica = feedback->replica;

  if (replica == NULL || replica->capacity == NULL)
    return;
  ds_replica_capacity_record_rejection (
      replica->capacity, running_requests (replica) - 1, now_ms);
  log_change (replica, now_ms);
}

/* Removes the attempt from the replica's load.  */
void
ds_attempt_feedback_end (struct ds_attempt_feedback *feedback, uint64_t now_ms)
{
  struct ds_replica *replica = feedback->replica;

  if (replica == NULL)
    return;
  replica->local_load.running--;
  replica->local_load.memory_tokens -= feedback->uncached_tokens;
  remove_prefill (feedback);
  ds_replica_notice_record_end (&replica->notice, feedback->sent_ms);
  if (replica->capacity != NULL)
    ds_replica_capacity_record_end (replica->capacity, now_ms);
  feedback->replica = NULL;
}
