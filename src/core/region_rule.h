#ifndef DS_CORE_REGION_RULE_H
#define DS_CORE_REGION_RULE_H

#include "daisystep/fields.h"
#include "daisystep/routing_config.h"

/* The regions in which a request may be served.  ZONES gives the region of
   each zone; ROUTE and WORKSPACE may be null.  Where both limit the regions,
   both apply.  */
struct ds_region_rule
{
  const struct ds_name_map *zones;
  const struct ds_allowed_regions *route;
  const struct ds_allowed_regions *workspace;
};

/* Which regions callers of a host name may enter through.  */
enum ds_region_access
{
  DS_REGION_UNLIMITED, /* no route of the name limits the regions */
  DS_REGION_ALLOWED,
  DS_REGION_EXCLUDED
};

bool ds_region_rule_is_set (const struct ds_region_rule *rule);
bool ds_region_rule_allows (const struct ds_region_rule *rule,
                            struct ds_str region);
bool ds_region_rule_allows_zone (const struct ds_region_rule *rule,
                                 struct ds_str zone);
enum ds_region_access
ds_region_access_of_host (const struct ds_routing_config *config,
                          struct ds_str host, struct ds_str region);

#endif
