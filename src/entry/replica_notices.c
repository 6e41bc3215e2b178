#include "entry/replica_notices.h"
#include "daisystep/metrics.h"

/* Callers wait at most this part of the time they have left.  */
#define CALLER_WAIT_DIVISOR 3
/* Callers that are sent away while all replicas push back return over this
   time, so that most come after the trial requests.  */
#define RETURN_SPREAD_MS 250

static void
record_leaving (struct ds_replica_set *set, struct ds_replica *replica,
                struct ds_str request_id, uint64_t now_ms)
{
  struct ds_decision_line line;

  if (!ds_replica_set_record_leaving (set, replica, now_ms))
    return;
  ds_metric_add (DS_METRIC_REPLICAS_LEAVING, 1);
  line = ds_decision_line_begin ("replica", request_id);
  ds_decision_line_add_text (&line, "replica", replica->record.id);
  ds_decision_line_add_text (&line, "state", DS_STR ("says_it_leaves"));
  ds_decision_line_end (&line);
}

static void
record_hold (struct ds_replica_set *set, struct ds_replica *replica,
             uint64_t hold_ms, struct ds_str request_id, uint64_t now_ms)
{
  struct ds_decision_line line;

  if (!ds_replica_set_record_hold (set, replica, hold_ms, now_ms))
    return;
  ds_metric_add (DS_METRIC_REPLICAS_HELD, 1);
  line = ds_decision_line_begin ("replica", request_id);
  ds_decision_line_add_text (&line, "replica", replica->record.id);
  ds_decision_line_add_text (&line, "state", DS_STR ("pushes_back"));
  ds_decision_line_add_number (&line, "asked_ms", (int64_t)hold_ms);
  ds_decision_line_add_number (
      &line, "held_ms",
      (int64_t)ds_replica_notice_wait_ms (&replica->notice, now_ms));
  ds_decision_line_end (&line);
}

/* Records what the header RESPONSE, which arrived on a connection to REPLICA,
   says of the replica itself, and logs what is new.  It may be the response to
   another request than REQUEST_ID: the replica sent it all the same.  */
void
ds_replica_notices_record (struct ds_replica_set *set,
                           struct ds_replica *replica,
                           const struct ds_upstream_response *response,
                           struct ds_str request_id, uint64_t now_ms)
{
  if (response->leaving)
    record_leaving (set, replica, request_id, now_ms);
  if (response->hold_ms > 0)
    record_hold (set, replica, response->hold_ms, request_id, now_ms);
}

/* Returns the Retry-After of a request that cannot be placed for WAIT_MS, for
   a caller that has LEFT_MS left; 0 if it can be placed.  */
uint64_t
ds_replica_notices_retry_after_ms (uint64_t wait_ms, uint64_t left_ms,
                                   struct ds_str request_id)
{
  uint64_t most = left_ms / CALLER_WAIT_DIVISOR;

  if (wait_ms == 0)
    return 0;
  wait_ms += ds_str_hash (request_id, 11) % RETURN_SPREAD_MS;
  return most > 0 && wait_ms > most ? most : wait_ms;
}

static const char *
obstacle_name (enum ds_placement_obstacle obstacle)
{
  switch (obstacle)
    {
    case DS_PLACEMENT_LEAVING:
      return "leaves";
    case DS_PLACEMENT_HELD:
      return "pushes back";
    case DS_PLACEMENT_AT_LIMIT:
      return "limit of requests";
    case DS_PLACEMENT_NO_MEMORY:
      return "memory";
    case DS_PLACEMENT_COLD:
      return "cold";
    case DS_PLACEMENT_EVACUATED:
      return "its zone is evacuated";
    case DS_PLACEMENT_REGION:
      return "its region is not allowed";
    case DS_PLACEMENT_UNOBSTRUCTED:
      break;
    }
  return "";
}

/* Counts an attempt that OBSTACLE kept from the best replica.  */
static void
count_obstacle (enum ds_placement_obstacle obstacle)
{
  switch (obstacle)
    {
    case DS_PLACEMENT_LEAVING:
    case DS_PLACEMENT_HELD:
    case DS_PLACEMENT_COLD:
    case DS_PLACEMENT_AT_LIMIT:
    case DS_PLACEMENT_NO_MEMORY:
      ds_metric_add (DS_METRIC_REQUESTS_PASSED_OVER, 1);
      break;
    case DS_PLACEMENT_EVACUATED:
      ds_metric_add (DS_METRIC_REQUESTS_EVACUATED, 1);
      break;
    case DS_PLACEMENT_REGION:
      ds_metric_add (DS_METRIC_REQUESTS_OUT_OF_REGION, 1);
      break;
    case DS_PLACEMENT_UNOBSTRUCTED:
      break;
    }
}

/* Adds to the LINE of a placement which better replica was passed over, and
   counts it.  */
void
ds_replica_notices_describe_choice (struct ds_decision_line *line,
                                    const struct ds_placement *placement)
{
  if (placement->replica->notice.leaving_ms > 0)
    ds_decision_line_add_number (line, "last_resort", 1);
  if (placement->beyond_limit)
    {
      ds_metric_add (DS_METRIC_REQUESTS_BEYOND_LIMIT, 1);
      ds_decision_line_add_number (line, "beyond_limit", 1);
    }
  if (placement->passed_over == NULL)
    return;
  count_obstacle (placement->obstacle);
  ds_decision_line_add_text (line, "passed_over",
                             placement->passed_over->record.id);
  ds_decision_line_add_text (
      line, "because", ds_str_from_c (obstacle_name (placement->obstacle)));
}

/* Returns why PLACEMENT has found no replica.  */
const char *
ds_replica_notices_refusal (const struct ds_placement *placement)
{
  if (placement->passed_over != NULL)
    count_obstacle (placement->obstacle);
  if (placement->status == DS_PLACEMENT_ALL_HELD)
    return "all replicas push back";
  if (placement->status == DS_PLACEMENT_FULL)
    return "the memory of all replicas is full";
  if (placement->status == DS_PLACEMENT_ALL_COLD)
    return "all replicas are cold";
  switch (placement->obstacle)
    {
    case DS_PLACEMENT_LEAVING:
      return "all replicas that are left leave";
    case DS_PLACEMENT_HELD:
      return "all replicas that are left push back";
    case DS_PLACEMENT_COLD:
      return "all replicas that are left are cold";
    case DS_PLACEMENT_EVACUATED:
      return "all replicas that are left are evacuated";
    case DS_PLACEMENT_REGION:
      return "no replica that is left is in an allowed region";
    case DS_PLACEMENT_AT_LIMIT:
    case DS_PLACEMENT_NO_MEMORY:
    case DS_PLACEMENT_UNOBSTRUCTED:
      break;
    }
  return "no replica is left";
}

/* Returns why no replica of SET may get REQUEST, whatever their load; null if
   one may, or if none is known.  */
const char *
ds_replica_notices_exclusion (const struct ds_replica_set *set,
                              const struct ds_placement_request *request)
{
  enum ds_placement_obstacle exclusion = ds_placement_exclusion (set, request);

  count_obstacle (exclusion);
  if (exclusion == DS_PLACEMENT_EVACUATED)
    return "all replicas are evacuated";
  return exclusion == DS_PLACEMENT_REGION
             ? "no replica is in an allowed region"
             : NULL;
}
