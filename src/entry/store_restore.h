#ifndef DS_ENTRY_STORE_RESTORE_H
#define DS_ENTRY_STORE_RESTORE_H

#include "entry/budget_manager.h"
#include "entry/cold_starts.h"
#include "entry/crash_store.h"
#include "entry/evacuation_watch.h"
#include "entry/fleet_view.h"
#include "entry/registration.h"

/* Outages of the store, and its returns from an older copy, in the view of one
   host.  REGISTRATION, CRASHES and EVACUATIONS may be null.  */
struct ds_store_restore
{
  struct ds_store_client *store;
  struct ds_fleet_view *fleet;
  struct ds_budget_manager *budgets;
  struct ds_replica_set *replicas;
  struct ds_registration *registration;
  struct ds_crash_store *crashes;
  struct ds_cold_starts *cold_starts;
  struct ds_evacuation_watch *evacuations;
  uint64_t trouble_since_ms; /* since when the store may be out; or 0 */
  uint64_t outage_ms;        /* when it was last seen out; 0 for never */
};

void ds_store_restore_on_era (enum ds_store_era_change change, bool from_peer,
                              void *user_data);
void ds_store_restore_note_outage (struct ds_store_restore *restore,
                                   uint64_t now_ms);
uint64_t ds_store_restore_removal_ms (const struct ds_store_restore *restore,
                                      uint64_t now_ms);

#endif
