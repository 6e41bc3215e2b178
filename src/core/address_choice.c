#include "core/address_choice.h"

/* Hosts of the caller's zone that suffice: with fewer, the loss of one would
   leave its callers without an address until they ask again.  */
#define ZONE_HOSTS_MIN 2

enum nearness
{
  SAME_ZONE,
  SAME_REGION,
  ANYWHERE
};

static bool
is_near (const struct ds_address_candidate *candidate, enum nearness nearness,
         struct ds_str zone, struct ds_str region)
{
  switch (nearness)
    {
    case SAME_ZONE:
      return ds_str_equal (candidate->zone, zone);
    case SAME_REGION:
      return ds_str_equal (candidate->region, region);
    default:
      return true;
    }
}

/* Chooses the addresses for a caller in ZONE and writes up to DS_ADDRESSES_MAX
   to OUT.  Callers pick one at random, so the nearest hosts are given alone
   while there are enough of them.  START varies which are left out when there
   are too many.

   Load: every request of a caller in another zone pays two delays and the
   bytes of its prompt between zones.  */
size_t
ds_address_choose (struct ds_str *out,
                   const struct ds_address_candidate *candidates, size_t count,
                   struct ds_str zone, struct ds_str region, size_t start)
{
  size_t found = 0;

  for (enum nearness n = SAME_ZONE; n <= ANYWHERE; n++)
    {
      found = 0;
      for (size_t i = 0; i < count && found < DS_ADDRESSES_MAX; i++)
        {
          const struct ds_address_candidate *candidate
              = &candidates[(start + i) % count];

          if (is_near (candidate, n, zone, region))
            out[found++] = candidate->address;
        }
      if (found >= ZONE_HOSTS_MIN)
        break;
    }
  return found;
}
