#ifndef DS_CORE_ADDRESS_REGIONS_H
#define DS_CORE_ADDRESS_REGIONS_H

#include "core/address_choice.h"
#include "daisystep/routing_config.h"

size_t ds_address_limit_regions (struct ds_address_candidate *candidates,
                                 size_t count,
                                 const struct ds_routing_config *config,
                                 struct ds_str host, struct ds_str region);

#endif
