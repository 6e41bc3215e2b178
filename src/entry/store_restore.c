#include "entry/store_restore.h"
#include "base/decision_log.h"
#include "core/gossip_pace.h"
#include "daisystep/metrics.h"
#include "io/clock.h"

/* Replicas whose registrations expired in a store outage register again within
   two seconds of its end, which is known to a gossip interval.  The same holds
   for those whose registrations a restored store has lost.  */
#define REREGISTRATION_MS (2000 + DS_GOSSIP_INTERVAL_MS)
/* Registrations do not expire in a shorter outage.  */
#define OUTAGE_MIN_MS 600
/* A deletion this soon after an outage may be such an expiry.  */
#define RECONNECTION_WINDOW_MS 2500

/* Handles the first era that becomes known, or the return of the store from an
   older copy: keeps what this host has seen of the ledger, forgets the
   revisions, and has its own objects checked.  The watches begin lists with
   the next tick.  The same is done when the store refutes an era that another
   host has reported.  */
void
ds_store_restore_on_era (enum ds_store_era_change change, bool from_peer,
                         void *user_data)
{
  struct ds_store_restore *restore = user_data;
  uint64_t era = ds_store_client_era (restore->store)->era;
  struct ds_decision_line line;

  if (change == DS_STORE_ERA_FIRST)
    {
      ds_fleet_view_set_store_era (restore->fleet, era);
      return;
    }
  line = ds_decision_line_begin (
      change == DS_STORE_ERA_REFUTED ? "store_era_refuted" : "store_restored",
      DS_STR_EMPTY);
  ds_decision_line_add_number (&line, "era", (int64_t)era);
  ds_decision_line_add_text (&line, "source",
                             from_peer ? DS_STR ("peer") : DS_STR ("store"));
  ds_decision_line_end (&line);
  if (change == DS_STORE_ERA_NEWER)
    ds_metric_add (DS_METRIC_STORE_RESTORES, 1);
  ds_budget_manager_begin_era (restore->budgets, ds_clock_ms ());
  ds_fleet_view_set_store_era (restore->fleet, era);
  ds_replica_set_forget_reports (restore->replicas);
  ds_cold_starts_begin_era (restore->cold_starts);
  if (restore->evacuations != NULL)
    ds_evacuation_watch_begin_era (restore->evacuations,
                                   ds_clock_ms () + REREGISTRATION_MS);
  if (restore->registration != NULL)
    ds_registration_begin_era (restore->registration);
  if (restore->crashes != NULL)
    ds_crash_store_begin_era (restore->crashes);
}

/* Notes an outage of the store: the calls of this host have failed for a
   while. That others are turned away is no outage for this host.  */
void
ds_store_restore_note_outage (struct ds_store_restore *restore,
                              uint64_t now_ms)
{
  if (ds_store_client_is_reachable (restore->store))
    restore->trouble_since_ms = 0;
  else if (restore->trouble_since_ms == 0
           || ds_store_client_succeeded_ms (restore->store)
                  >= restore->trouble_since_ms)
    restore->trouble_since_ms = now_ms;
  else if (now_ms - restore->trouble_since_ms >= OUTAGE_MIN_MS)
    restore->outage_ms = now_ms;
}

/* Returns when a missing replica counts as removed: 0 for at once, or later if
   its registration may have expired in a store outage or is in the part that a
   restored store has lost.  */
uint64_t
ds_store_restore_removal_ms (const struct ds_store_restore *restore,
                             uint64_t now_ms)
{
  uint64_t since_ms = ds_store_client_era (restore->store)->restored_ms;

  if (since_ms < restore->outage_ms)
    since_ms = restore->outage_ms;
  if (since_ms == 0 || now_ms - since_ms > RECONNECTION_WINDOW_MS)
    return 0;
  return since_ms + REREGISTRATION_MS > now_ms ? since_ms + REREGISTRATION_MS
                                               : 0;
}
