#include "core/address_choice.h"
#include "core/budget_home.h"
#include "core/heavy_choice.h"
#include "core/host_load.h"

#include <talloc.h>

/* With fewer hosts in the zone of the caller, the loss of one would leave
   callers without an address until their next lookup.  */
#define ZONE_HOSTS_MIN 2
/* Seeds of the hashes that decide whether a host that gives up callers is
   offered to one, and how the number of hosts of other zones is rounded: both
   must be independent of the scores.  */
#define OFFER_SEED 0x6f66666572ULL
#define ROUND_SEED 0x726f756e64ULL

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

/* A number from 0 up to 1 that depends on CALLER and TEXT.  */
static double
fraction_of (struct ds_str text, uint64_t caller, uint64_t seed)
{
  return (double)(ds_str_hash (text, caller ^ seed) >> 11) / (1ULL << 53);
}

/* Whether the host at ADDRESS, which gives up callers at LEVEL, is offered to
   CALLER.  The callers of a level are among those of each lower one.  */
bool
ds_address_is_offered (struct ds_str address, uint64_t caller, uint32_t level)
{
  return fraction_of (address, caller, OFFER_SEED) * DS_LOAD_LEVELS
         < DS_LOAD_LEVELS - (double)level;
}

/* The level that the hosts of ZONE with at least half of its capacity have
   reached: 0 as long as some hosts of the zone can take what others give
   up.  */
static uint32_t
level_of_zone (const struct ds_address_candidate *candidates, size_t count,
               struct ds_str zone)
{
  uint64_t capacities[DS_LOAD_LEVELS] = { 0 };
  uint64_t total = 0;
  uint64_t sum = 0;
  uint32_t level;

  for (size_t i = 0; i < count; i++)
    if (ds_str_equal (candidates[i].zone, zone)
        && candidates[i].level < DS_LOAD_LEVELS)
      {
        capacities[candidates[i].level] += candidates[i].machine_capacity;
        total += candidates[i].machine_capacity;
      }
  for (level = 0; level < DS_LOAD_LEVELS - 1; level++)
    {
      sum += capacities[level];
      if (2 * sum >= total)
        break;
    }
  return level;
}

static bool
contains (const struct ds_str *addresses, size_t count, struct ds_str address)
{
  for (size_t i = 0; i < count; i++)
    if (ds_str_equal (addresses[i], address))
      return true;
  return false;
}

/* Whether CANDIDATE is offered to CALLER of another zone: a host that gives up
   callers of its own zone gives up some more of the others.  All or nothing
   would move the callers of a whole zone back and forth.  */
static bool
is_offered_elsewhere (const struct ds_address_candidate *candidate,
                      uint64_t caller)
{
  uint32_t level = candidate->level > 0 ? candidate->level + 1 : 0;

  return level < DS_LOAD_LEVELS
         && ds_address_is_offered (candidate->address, caller, level);
}

/* Appends hosts of other zones than ZONE, which has LEVEL, to the FOUND
   addresses in OUT, those of the region first; up to MOST.  Returns their
   number.  */
static size_t
choose_elsewhere (struct ds_str *out, size_t found,
                  const struct ds_address_candidate *candidates, size_t count,
                  struct ds_str zone, struct ds_str region, uint64_t caller,
                  uint32_t level, size_t most)
{
  struct ds_address_candidate *others;
  size_t used = 0;
  size_t added = 0;

  if (most == 0)
    return 0;
  others
      = talloc_array (NULL, struct ds_address_candidate, (unsigned)count + 1);
  for (size_t i = 0; i < count && others != NULL; i++)
    if (!ds_str_equal (candidates[i].zone, zone)
        && is_offered_elsewhere (&candidates[i], caller)
        && !contains (out, found, candidates[i].address)
        && level_of_zone (candidates, count, candidates[i].zone) <= level)
      others[used++] = candidates[i];
  if (others != NULL)
    added = choose_best (out + found, others, used, SAME_REGION, zone, region,
                         caller, most);
  if (added == 0 && others != NULL)
    added = choose_best (out + found, others, used, ANY_REGION, zone, region,
                         caller, most);
  talloc_free (others);
  return added;
}

/* Number of hosts of other zones beside OWN of the caller's, whose zone has
   LEVEL.  Callers use each host alike, so the part is that of the callers that
   the hosts of the zone give up; rounded by CALLER, so that it is right on
   average.  */
static size_t
elsewhere_count (size_t own, uint32_t level, struct ds_str zone,
                 uint64_t caller)
{
  double wanted = (double)own * level / (double)(DS_LOAD_LEVELS - level)
                  + fraction_of (zone, caller, ROUND_SEED);
  size_t count = (size_t)wanted;

  if (own + count < ZONE_HOSTS_MIN)
    count = ZONE_HOSTS_MIN - own;
  return own + count > DS_ADDRESSES_MAX ? DS_ADDRESSES_MAX - own : count;
}

/* Whether CALLER with LOAD, a heavy one, is too much for a host of CHOSEN.  */
static bool
is_too_heavy (const struct ds_address_candidate *candidates, size_t count,
              const struct ds_str *chosen, size_t chosen_count, uint32_t load)
{
  for (size_t i = 0; i < count && load > 0; i++)
    if (contains (chosen, chosen_count, candidates[i].address)
        && !ds_heavy_fits (load, candidates[i].machine_capacity
                                     * DS_LOAD_PER_CAPACITY))
      return true;
  return false;
}

/* As ds_address_choose, for a fleet whose hosts report their levels and heavy
   callers.  The result is the same while there are none.

   Loads: one caller that sends more to one host of its zone than this carries,
   and a zone whose hosts together get more than they carry while others are
   idle.  A host that gives up callers is left out for part of them.  Once
   hosts with half of the zone's capacity do so, hosts of other zones are
   added in proportion.  The choice depends only on what the hosts report, with
   hysteresis, so it changes only when they change their levels.  */
size_t
ds_address_spread (struct ds_str *out,
                   const struct ds_address_candidate *candidates, size_t count,
                   struct ds_str zone, struct ds_str region, uint64_t caller,
                   const struct ds_heavy_callers *heavy, uint64_t now_ms)
{
  struct ds_str usual[DS_ADDRESSES_MAX];
  size_t usual_count
      = ds_address_choose (usual, candidates, count, zone, region, caller);
  uint32_t load = ds_heavy_callers_load (heavy, caller);
  size_t found = 0;
  uint32_t level;

  if (is_too_heavy (candidates, count, usual, usual_count, load))
    return ds_heavy_choose (out, candidates, count, zone, region, caller,
                            heavy, now_ms);
  for (size_t i = 0; i < usual_count; i++)
    for (size_t k = 0; k < count; k++)
      if (ds_str_equal (usual[i], candidates[k].address)
          && ds_address_is_offered (usual[i], caller, candidates[k].level))
        out[found++] = usual[i];
  level = level_of_zone (candidates, count, zone);
  found += choose_elsewhere (out, found, candidates, count, zone, region,
                             caller, level,
                             elsewhere_count (found, level, zone, caller));
  if (found > 0)
    return found;
  for (size_t i = 0; i < usual_count; i++)
    out[i] = usual[i];
  return usual_count;
}
