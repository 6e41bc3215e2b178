#include "core/region_rule.h"

#include <strings.h>

/* Where requests may be served and callers be led to.

   Load: a platform with two to four regions, in which some routes or
   workspaces must not leave theirs, also while all replicas or hosts of a
   region are down: such a request is refused rather than sent elsewhere.  */

static bool
allows (const struct ds_allowed_regions *allowed, struct ds_str region)
{
  if (allowed == NULL || !allowed->is_set)
    return true;
  for (size_t i = 0; i < allowed->count; i++)
    if (region.length > 0 && ds_str_equal (allowed->items[i], region))
      return true;
  return false;
}

/* True if RULE excludes any region.  */
bool
ds_region_rule_is_set (const struct ds_region_rule *rule)
{
  return (rule->route != NULL && rule->route->is_set)
         || (rule->workspace != NULL && rule->workspace->is_set);
}

bool
ds_region_rule_allows (const struct ds_region_rule *rule, struct ds_str region)
{
  return allows (rule->route, region) && allows (rule->workspace, region);
}

/* True if RULE allows the region of ZONE.  A zone that is not in the map is in
   no region, and allowed only if the rule excludes none.  */
bool
ds_region_rule_allows_zone (const struct ds_region_rule *rule,
                            struct ds_str zone)
{
  struct ds_str region = DS_STR_EMPTY;

  if (!ds_region_rule_is_set (rule))
    return true;
  for (size_t i = 0; rule->zones != NULL && i < rule->zones->count; i++)
    if (ds_str_equal (rule->zones->items[i].key, zone))
      region = rule->zones->items[i].value;
  return ds_region_rule_allows (rule, region);
}

static bool
is_host_of (const struct ds_route *route, struct ds_str host)
{
  return route->host.length == host.length
         && strncasecmp (route->host.data, host.data, host.length) == 0;
}

/* Returns whether callers of HOST may be led to hosts in REGION: only if all
   of its routes allow the region, since a caller uses one address for all of
   them.  */
enum ds_region_access
ds_region_access_of_host (const struct ds_routing_config *config,
                          struct ds_str host, struct ds_str region)
{
  enum ds_region_access access = DS_REGION_UNLIMITED;

  for (size_t i = 0; i < config->route_count; i++)
    {
      const struct ds_route *route = &config->routes[i];

      if (!route->allowed_regions.is_set || !is_host_of (route, host))
        continue;
      if (!allows (&route->allowed_regions, region))
        return DS_REGION_EXCLUDED;
      access = DS_REGION_ALLOWED;
    }
  return access;
}
