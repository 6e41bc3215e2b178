#include "core/address_choice.h"
#include "core/budget_home.h"

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

/* Score of CANDIDATE for a caller: the hosts with the highest ones are those
   that the caller should use.  */
static double
score_of (const struct ds_address_candidate *candidate, uint64_t caller)
{
  return ds_capacity_score (ds_str_hash (candidate->address, caller),
                            candidate->capacity);
}

/* Returns the candidates in SCOPE with the highest scores, up to MOST.  */
static size_t
choose_best (struct ds_str *out, const struct ds_address_candidate *candidates,
             size_t count, enum scope scope, struct ds_str zone,
             struct ds_str region, uint64_t caller, size_t most)
{
  double scores[DS_ADDRESSES_MAX];
  size_t found = 0;

  for (size_t i = 0; i < count; i++)
    {
      double score;
      size_t at;

      if (!is_in_scope (&candidates[i], scope, zone, region))
        continue;
      score = score_of (&candidates[i], caller);
      if (found == most && score <= scores[found - 1])
        continue;
      if (found < most)
        found++;
      for (at = found - 1; at > 0 && score > scores[at - 1]; at--)
        {
          scores[at] = scores[at - 1];
          out[at] = out[at - 1];
        }
      scores[at] = score;
      out[at] = candidates[i].address;
    }
  return found;
}

/* Writes addresses for a caller in ZONE to OUT and returns their number.
   Callers pick one at random, so only hosts of the zone are returned if there
   are enough, then those of the region, then all.  A request that crosses
   zones costs two network delays and the transfer of its prompt.

   Load: 59 hosts of a zone have an eighth to half of a core.  If a caller gets
   all of them, the weak ones get as many requests as the strong ones and fall
   behind, also with new configurations.  CALLER identifies the caller: it gets
   a few hosts, chosen by weighted rendezvous hashing in proportion to their
   capacity, and the same ones with each answer of any host, since callers give
   up connections to addresses that are missing.  */
size_t
ds_address_choose (struct ds_str *out,
                   const struct ds_address_candidate *candidates, size_t count,
                   struct ds_str zone, struct ds_str region, uint64_t caller)
{
  size_t found = 0;

  for (enum scope n = SAME_ZONE; n <= ANY_REGION; n++)
    {
      found = choose_best (out, candidates, count, n, zone, region, caller,
                           DS_ADDRESSES_OF_LARGE_ZONE);
      if (found >= ZONE_HOSTS_MIN)
        break;
    }
  return found;
}
