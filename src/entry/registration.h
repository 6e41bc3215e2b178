#ifndef DS_ENTRY_REGISTRATION_H
#define DS_ENTRY_REGISTRATION_H

#include "entry/cold_starts.h"
#include "entry/fleet_view.h"
#include "entry/store_client.h"

/* Registration of this host in the store, where hosts find each other.  */
struct ds_registration;

int ds_registration_start (struct ds_registration **out, TALLOC_CTX *owner,
                           struct tevent_context *ev,
                           struct ds_store_client *store,
                           struct ds_fleet_view *fleet,
                           struct ds_cold_starts *cold_starts,
                           const struct ds_fleet_self *self);
void ds_registration_settle (struct ds_registration *registration);
void ds_registration_begin_era (struct ds_registration *registration);

#endif
