#include "entry/fleet_view_internal.h"
#include "io/clock.h"

/* Reports of the capacity of replicas in datagrams and summaries.  They carry
   only replicas with news, in turn, so that their bytes follow the traffic and
   not the number of replicas.  */

#define AGE_UNIT_MS 100
#define GAP_UNITS_PER_MS 10
/* Samples in one message; a receiver counts fewer.  */
#define SAMPLES_MAX 1000

static uint32_t
to_uint (double value)
{
  if (value <= 0)
    return 0;
  return value < UINT32_MAX ? (uint32_t)(value + 0.5) : UINT32_MAX;
}

static Daisystep__Gossip__ReplicaCapacity *
make_message (TALLOC_CTX *owner, const struct ds_replica *replica,
              const struct ds_capacity_report *report)
{
  Daisystep__Gossip__ReplicaCapacity *message
      = talloc (owner, Daisystep__Gossip__ReplicaCapacity);
  uint32_t samples = to_uint (report->samples < SAMPLES_MAX ? report->samples
                                                            : SAMPLES_MAX);

  if (message == NULL)
    return NULL;
  daisystep__gossip__replica_capacity__init (message);
  message->replica = (uint32_t)replica->hash;
  message->speed = to_uint (report->speed * 100);
  message->stretch = to_uint (report->stretch * 100);
  message->gap = to_uint (report->gap_ms * GAP_UNITS_PER_MS);
  message->samples = samples > 0 ? samples : 1;
  message->age = (uint32_t)(report->age_ms / AGE_UNIT_MS);
  return message;
}

/* Returns the reports within SCOPE to send and stores their number in
   COUNT.  */
Daisystep__Gossip__ReplicaCapacity **
ds_fleet_take_capacities (struct ds_fleet_view *view, TALLOC_CTX *owner,
                          enum ds_capacity_scope scope, size_t *count)
{
  size_t most = scope == DS_CAPACITY_OWN ? CAPACITIES_PER_DATAGRAM_MAX
                                         : CAPACITIES_PER_SUMMARY_MAX;
  Daisystep__Gossip__ReplicaCapacity **messages = talloc_array (
      owner, Daisystep__Gossip__ReplicaCapacity *, (unsigned)most);
  size_t replicas = ds_replica_set_count (view->replicas);
  uint64_t now_ms = ds_clock_ms ();
  size_t first = view->next_capacity[scope];
  /* A summary of the fleet goes to a part of the zone, so the next one has
     the same reports.  */
  bool repeated = scope == DS_CAPACITY_FLEET
                  && view->intervals % DS_RELAY_DOWNLINK_INTERVALS != 0;

  *count = 0;
  for (size_t i = 0; i < replicas && messages != NULL && *count < most; i++)
    {
      struct ds_replica *replica = ds_replica_set_at (
          view->replicas, view->next_capacity[scope]++ % replicas);
      struct ds_capacity_report report;

      if (replica->capacity == NULL
          || !ds_replica_capacity_take_report (replica->capacity, scope,
                                               repeated, &report, now_ms))
        continue;
      messages[*count] = make_message (messages, replica, &report);
      if (messages[*count] == NULL)
        break;
      ++*count;
    }
  if (repeated)
    view->next_capacity[scope] = first;
  return messages;
}

/* Takes the reports of SOURCE.  */
void
ds_fleet_receive_capacities (
    struct ds_fleet_view *view, struct ds_capacity_source source,
    Daisystep__Gossip__ReplicaCapacity *const *capacities, size_t count,
    uint64_t now_ms)
{
  for (size_t i = 0; i < count; i++)
    {
      const Daisystep__Gossip__ReplicaCapacity *message = capacities[i];
      struct ds_replica *replica = ds_replica_set_find_by_short_hash (
          view->replicas, message->replica);
      struct ds_capacity_report report = {
        .speed = message->speed / 100.0,
        .stretch = message->stretch / 100.0,
        .gap_ms = (double)message->gap / GAP_UNITS_PER_MS,
        .samples = message->samples,
        .age_ms = (uint64_t)message->age * AGE_UNIT_MS,
      };

      if (replica != NULL && replica->capacity != NULL)
        ds_replica_capacity_receive (replica->capacity, source, &report,
                                     now_ms);
    }
}
