#include "core/heavy_choice.h"
#include "core/budget_home.h"
#include "core/host_load.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define PERCENT 100
/* Hosts for one heavy caller; it is left without an address by the loss of
   one if it has no other.  */
#define PLACES 2
/* Part of a host that heavy callers may use together: before another one is
   led there, and before one that is there has to leave.  The gap keeps a
   caller whose load varies at its host.  */
#define SHARE_PERCENT 70
#define LEAVE_PERCENT 90
/* A host that gives up so many callers gets no further heavy one.  */
#define FULL_LEVEL (DS_LOAD_LEVELS / 2)

/* The hosts with the load that heavy callers put on them or are about to.  */
struct choice
{
  const struct ds_address_candidate *candidates;
  size_t count;
  const struct ds_heavy_callers *heavy;
  uint64_t now_ms;
  uint32_t strongest;
  uint64_t *charges; /* at the positions of the candidates */
};

/* A host as a place for a heavy caller.  */
struct place
{
  size_t index;
  bool has_room;
  uint64_t charge; /* by others, in percent */
  bool same_zone;
  bool same_region;
  bool is_current; /* the caller is there now */
  double score;
};

static uint32_t
capacity_at (const struct choice *choice, size_t index)
{
  return choice->candidates[index].machine_capacity * DS_LOAD_PER_CAPACITY;
}

/* Whether the host at INDEX can carry LOAD alone, or no other is stronger.  */
static bool
fits (const struct choice *choice, size_t index, uint32_t load)
{
  return ds_heavy_fits (load, capacity_at (choice, index))
         || choice->candidates[index].machine_capacity >= choice->strongest;
}

static bool
is_better (const struct place *a, const struct place *b)
{
  if (a->has_room != b->has_room)
    return a->has_room;
  if (!a->has_room && a->charge != b->charge)
    return a->charge < b->charge;
  if (a->same_zone != b->same_zone)
    return a->same_zone;
  if (a->same_region != b->same_region)
    return a->same_region;
  if (a->is_current != b->is_current)
    return a->is_current;
  return a->score > b->score;
}

/* Writes the best hosts for ORIGIN with LOAD, in ZONE and REGION, to OUT and
   returns their number.  */
static size_t
find_places (const struct choice *choice, struct place *out, uint64_t origin,
             uint32_t load, struct ds_str zone, struct ds_str region)
{
  size_t found = 0;

  for (size_t i = 0; i < choice->count; i++)
    {
      const struct ds_address_candidate *candidate = &choice->candidates[i];
      struct place place = {
        .index = i,
        .same_zone = ds_str_equal (candidate->zone, zone),
        .same_region = ds_str_equal (candidate->region, region),
        .is_current = ds_heavy_callers_is_at (choice->heavy, candidate->id,
                                              origin, choice->now_ms),
        .score = ds_capacity_score (ds_str_hash (candidate->address, origin),
                                    candidate->machine_capacity),
      };
      uint64_t share = place.is_current ? LEAVE_PERCENT : SHARE_PERCENT;
      size_t at;

      if (!fits (choice, i, load))
        continue;
      place.charge
          = choice->charges[i] * PERCENT / (capacity_at (choice, i) + 1);
      place.has_room = (choice->charges[i] + load) * PERCENT
                           <= capacity_at (choice, i) * share
                       && (place.is_current || candidate->level < FULL_LEVEL);
      if (found == PLACES && !is_better (&place, &out[found - 1]))
        continue;
      if (found < PLACES)
        found++;
      for (at = found - 1; at > 0 && is_better (&place, &out[at - 1]); at--)
        out[at] = out[at - 1];
      out[at] = place;
    }
  return found;
}

/* Returns the position of the host ID, or the number of hosts.  */
static size_t
index_of (const struct choice *choice, uint32_t id)
{
  size_t i = 0;

  while (i < choice->count && choice->candidates[i].id != id)
    i++;
  return i;
}

/* Whether ORIGIN now uses a host that can carry it.  */
static bool
is_settled (const struct choice *choice, uint64_t origin, uint32_t load)
{
  for (size_t i = 0; i < choice->count; i++)
    if (fits (choice, i, load)
        && ds_heavy_callers_is_at (choice->heavy, choice->candidates[i].id,
                                   origin, choice->now_ms))
      return true;
  return false;
}

/* Charges hosts with the heavy callers that use them and that they can carry.
   If CALLER is at a host, only those with a lower hash count there: when they
   are too many together, the others leave.  */
static void
charge_settled (struct choice *choice, uint64_t caller)
{
  for (size_t i = 0; i < choice->heavy->count; i++)
    {
      const struct ds_heavy_caller *other = &choice->heavy->callers[i];
      size_t at = index_of (choice, other->host);

      if (other->origin != caller && at < choice->count
          && fits (choice, at,
                   ds_heavy_callers_load (choice->heavy, other->origin))
          && ds_heavy_caller_is_recent (other, DS_HEAVY_FLEET, choice->now_ms)
          && (other->origin < caller
              || !ds_heavy_callers_is_at (choice->heavy, other->host, caller,
                                          choice->now_ms)))
        choice->charges[at] += other->load;
    }
}

static int
compare_origins (const void *a, const void *b)
{
  const struct ds_heavy_caller *left = a;
  const struct ds_heavy_caller *right = b;

  return left->origin < right->origin ? -1 : left->origin > right->origin;
}

/* Charges hosts with the heavy callers that are about to be led there, from
   hosts that cannot carry them, in the order of their hashes up to CALLER.
   Without this, all would be led to the same hosts before the first reports
   arrive.  A caller is taken to be in the zone of its host.  */
static void
charge_expected (struct choice *choice, uint64_t caller)
{
  struct ds_heavy_caller callers[DS_HEAVY_CALLERS_MAX];
  size_t count = choice->heavy->count;
  uint64_t done = 0;

  memcpy (callers, choice->heavy->callers, count * sizeof callers[0]);
  qsort (callers, count, sizeof callers[0], compare_origins);
  for (size_t i = 0; i < count && callers[i].origin < caller; i++)
    {
      uint64_t origin = callers[i].origin;
      uint32_t load = ds_heavy_callers_load (choice->heavy, origin);
      size_t at = index_of (choice, callers[i].host);
      struct place places[PLACES];

      if (origin == done || at == choice->count
          || !ds_heavy_caller_is_recent (&callers[i], DS_HEAVY_FLEET,
                                         choice->now_ms)
          || is_settled (choice, origin, load))
        continue;
      done = origin;
      for (size_t n = find_places (choice, places, origin, load,
                                   choice->candidates[at].zone,
                                   choice->candidates[at].region);
           n > 0; n--)
        choice->charges[places[n - 1].index] += load;
    }
}

/* Writes the hosts for the heavy CALLER to OUT and returns their number.

   Load: a single caller, which uses one host at a time, sends more than most
   hosts carry.  It gets hosts that carry it alone, or else the strongest: of
   its zone while they have room for it beside the other heavy callers, then of
   its region, then any; the one that it uses before others.  */
size_t
ds_heavy_choose (struct ds_str *out,
                 const struct ds_address_candidate *candidates, size_t count,
                 struct ds_str zone, struct ds_str region, uint64_t caller,
                 const struct ds_heavy_callers *heavy, uint64_t now_ms)
{
  struct choice choice = {
    .candidates = candidates,
    .count = count,
    .heavy = heavy,
    .now_ms = now_ms,
    .charges = talloc_zero_array (NULL, uint64_t, (unsigned)count + 1),
  };
  struct place places[PLACES];
  size_t found;

  if (choice.charges == NULL)
    return 0;
  for (size_t i = 0; i < count; i++)
    if (candidates[i].machine_capacity > choice.strongest)
      choice.strongest = candidates[i].machine_capacity;
  charge_settled (&choice, caller);
  charge_expected (&choice, caller);
  found = find_places (&choice, places, caller,
                       ds_heavy_callers_load (heavy, caller), zone, region);
  for (size_t i = 0; i < found; i++)
    out[i] = candidates[places[i].index].address;
  talloc_free (choice.charges);
  return found;
}
