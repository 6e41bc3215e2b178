#include "core/address_choice.h"

/* With fewer hosts in the zone of the caller, the loss of one would leave
   callers without an address until their next lookup.  */
#define ZONE_HOSTS_MIN 2

enum scope
{
  SAME_ZONE,
  SAME_REGION,
  ANY_REGION
};

static bool
is_in_scope (const struct ds_address_candidate *candidate, enum scope scope,
             struct ds_str zone, struct ds_str region)
{
  switch (scope)
    {
    case SAME_ZONE:
      return ds_str_equal (candidate->zone, zone);
    case SAME_REGION:
      return ds_str_equal (candidate->region, region);
    default:
      return true;
    }
}

/* Writes up to DS_ADDRESSES_MAX addresses for a caller in ZONE to OUT and
   returns their number.  Callers pick one at random, so only hosts of the zone
   are returned if there are enough, then those of the region, then all.  START
   is the index of the first candidate, to vary which ones are left out.

   A request that crosses zones costs two network delays and the transfer of
   its prompt.  */
size_t
ds_address_choose (struct ds_str *out,
                   const struct ds_address_candidate *candidates, size_t count,
                   struct ds_str zone, struct ds_str region, size_t start)
{
  size_t found = 0;

  for (enum scope n = SAME_ZONE; n <= ANY_REGION; n++)
    {
      found = 0;
      for (size_t i = 0; i < count && found < DS_ADDRESSES_MAX; i++)
        {
          const struct ds_address_candidate *candidate
              = &candidates[(start + i) % count];

          if (is_in_scope (candidate, n, zone, region))
            out[found++] = candidate->address;
        }
      if (found >= ZONE_HOSTS_MIN)
        break;
    }
  return found;
}
