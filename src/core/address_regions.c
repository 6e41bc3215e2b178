#include "core/address_regions.h"
#include "core/region_rule.h"

/* Limits CANDIDATES to those that callers of HOST in REGION may be led to and
   returns how many remain, in the same array: hosts in regions that all routes
   of HOST allow; if there are none, those of the caller's own region.  Without
   allowed regions all remain.

   Load: a caller in one region of a route that is limited to another; its body
   would enter a host of any region that has room.  At most 1 in 20 requests
   may enter outside the allowed regions and the caller's own, so a caller gets
   no address rather than one there.  */
size_t
ds_address_limit_regions (struct ds_address_candidate *candidates,
                          size_t count, const struct ds_routing_config *config,
                          struct ds_str host, struct ds_str region)
{
  size_t kept = 0;

  if (config == NULL
      || ds_region_access_of_host (config, host, region)
             == DS_REGION_UNLIMITED)
    return count;
  for (size_t i = 0; i < count; i++)
    if (ds_region_access_of_host (config, host, candidates[i].region)
        == DS_REGION_ALLOWED)
      candidates[kept++] = candidates[i];
  if (kept > 0)
    return kept;
  for (size_t i = 0; i < count; i++)
    if (ds_str_equal (candidates[i].region, region))
      candidates[kept++] = candidates[i];
  return kept;
}
