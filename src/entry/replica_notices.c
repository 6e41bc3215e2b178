#include "entry/replica_notices.h"
#include "daisystep/metrics.h"

/* Records what the header RESPONSE, which arrived on a connection to REPLICA,
   says of the replica itself, and logs what is new.  It may be the response to
   another request than REQUEST_ID: the replica sent it all the same.  */
void
ds_replica_notices_record (struct ds_replica_set *set,
                           struct ds_replica *replica,
                           const struct ds_upstream_response *response,
                           struct ds_str request_id, uint64_t now_ms)
{
  struct ds_decision_line line;

  if (!response->leaving
      || !ds_replica_set_record_leaving (set, replica, now_ms))
    return;
  ds_metric_add (DS_METRIC_REPLICAS_LEAVING, 1);
  line = ds_decision_line_begin ("replica", request_id);
  ds_decision_line_add_text (&line, "replica", replica->record.id);
  ds_decision_line_add_text (&line, "state", DS_STR ("says_it_leaves"));
  ds_decision_line_end (&line);
}

static const char *
obstacle_name (enum ds_placement_obstacle obstacle)
{
  switch (obstacle)
    {
    case DS_PLACEMENT_LEAVING:
      return "leaves";
    case DS_PLACEMENT_UNOBSTRUCTED:
      break;
    }
  return "";
}

/* Adds to the LINE of a placement which better replica was passed over, and
   counts it.  */
void
ds_replica_notices_describe_choice (struct ds_decision_line *line,
                                    const struct ds_placement *placement)
{
  if (placement->replica->notice.leaving_ms > 0)
    ds_decision_line_add_number (line, "last_resort", 1);
  if (placement->passed_over == NULL)
    return;
  ds_metric_add (DS_METRIC_REQUESTS_PASSED_OVER, 1);
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
    ds_metric_add (DS_METRIC_REQUESTS_PASSED_OVER, 1);
  switch (placement->obstacle)
    {
    case DS_PLACEMENT_LEAVING:
      return "all replicas that are left leave";
    case DS_PLACEMENT_UNOBSTRUCTED:
      break;
    }
  return "no replica is left";
}
