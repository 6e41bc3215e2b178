#ifndef DS_ENTRY_ADDRESS_SERVICE_H
#define DS_ENTRY_ADDRESS_SERVICE_H

#include "daisystep/routing_config.h"
#include "entry/caller.h"
#include "entry/fleet_view.h"

/* State behind readiness, address and metrics responses.  READY: this host
   takes requests and its address may be returned.  TTL_S is how long callers
   cache addresses.  CONFIG points to the configuration in force, null before
   the first.  HEAVY: the heavy callers of the fleet, null if callers are not
   spread by load.  */
struct ds_address_service
{
  const struct ds_fleet_view *fleet;
  struct ds_routing_config *const *config;
  struct ds_str zone;
  struct ds_str region;
  struct ds_str caller_address;
  uint32_t capacity;
  bool strained;
  uint32_t level; /* at which this host gives up callers */
  const struct ds_heavy_callers *heavy;
  double ttl_s;
  bool ready;
};

void ds_address_service_readiness (struct ds_caller *caller,
                                   const struct ds_http_head *head,
                                   struct ds_str body, void *user_data);
void ds_address_service_addresses (struct ds_caller *caller,
                                   const struct ds_http_head *head,
                                   struct ds_str body, void *user_data);
void ds_address_service_metrics (struct ds_caller *caller,
                                 const struct ds_http_head *head,
                                 struct ds_str body, void *user_data);

#endif
