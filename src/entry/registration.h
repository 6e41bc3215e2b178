#ifndef DS_ENTRY_REGISTRATION_H
#define DS_ENTRY_REGISTRATION_H

#include "entry/fleet_view.h"
#include "entry/store_client.h"

/* This host's entry in the store, by which hosts find each other.  */
struct ds_registration;

int ds_registration_start (struct ds_registration **out, TALLOC_CTX *owner,
                           struct tevent_context *ev,
                           struct ds_store_client *client,
                           struct ds_fleet_view *fleet,
                           const struct ds_fleet_self *self);

#endif
