#include "core/heavy_callers.h"

#include <math.h>

/* Counted for each request in addition to its body: head, response and
   processor time.  */
#define REQUEST_BYTES 4096
/* Time constant of the counts; as that of the utilisation.  */
#define SMOOTHING_MS 500.0
/* Weight below which a caller is no longer counted.  */
#define WEIGHT_MIN 64
/* A caller that uses this part of the capacity of a host that has to give up
   callers is heavy, and it fits a host of which it uses at most this part.  So
   it is never led to a host like the one that it has to leave.  */
#define HEAVY_PERCENT 40
#define PERCENT 100
/* The load of a heavy caller is lowered only after this time, and the caller
   forgotten if no host reports it for so long.  Callers pause for seconds, and
   one that is forgotten returns to the weak hosts.  */
#define HOLD_MS 30000
/* Reports within this time are passed on, and count as load of a host.  */
#define RECENT_MS 2000

/* Counts a request of ORIGIN with a body of BYTES.  A caller that is not
   counted yet takes the place of the one with the least weight, and its
   weight, so that the sum stays right.  */
void
ds_heavy_callers_record (struct ds_heavy_callers *heavy, uint64_t origin,
                         uint64_t bytes)
{
  double weight = (double)(bytes + REQUEST_BYTES);
  struct ds_caller_use *least = NULL;

  for (size_t i = 0; i < heavy->use_count; i++)
    {
      struct ds_caller_use *use = &heavy->uses[i];

      if (use->origin == origin)
        {
          use->weight += weight;
          return;
        }
      if (least == NULL || use->weight < least->weight)
        least = use;
    }
  if (heavy->use_count < DS_CALLER_USES_MAX)
    {
      heavy->uses[heavy->use_count++]
          = (struct ds_caller_use){ .origin = origin, .weight = weight };
      return;
    }
  least->origin = origin;
  least->weight += weight;
}

static struct ds_heavy_caller *
find (struct ds_heavy_callers *heavy, uint64_t origin, uint32_t host)
{
  for (size_t i = 0; i < heavy->count; i++)
    if (heavy->callers[i].origin == origin && heavy->callers[i].host == host)
      return &heavy->callers[i];
  return NULL;
}

/* Takes a report that ORIGIN puts LOAD on HOST.  True if the caller was not
   known as heavy.  */
bool
ds_heavy_callers_report (struct ds_heavy_callers *heavy, uint64_t origin,
                         uint32_t host, uint32_t load,
                         enum ds_heavy_source source, uint64_t now_ms)
{
  struct ds_heavy_caller *caller = find (heavy, origin, host);
  bool known = ds_heavy_callers_load (heavy, origin) > 0;

  if (caller == NULL)
    {
      if (heavy->count == DS_HEAVY_CALLERS_MAX || load == 0)
        return false;
      caller = &heavy->callers[heavy->count++];
      *caller = (struct ds_heavy_caller){ .origin = origin, .host = host };
    }
  if (load >= caller->load || now_ms - caller->raised_ms >= HOLD_MS)
    {
      caller->load = load;
      caller->raised_ms = now_ms;
    }
  caller->heard_ms[source] = now_ms;
  return !known;
}

/* Whether CALLER was reported by SOURCE, or a closer one, within the last
   seconds.  */
bool
ds_heavy_caller_is_recent (const struct ds_heavy_caller *caller,
                           enum ds_heavy_source source, uint64_t now_ms)
{
  for (int i = 0; i <= (int)source; i++)
    if (caller->heard_ms[i] > 0 && now_ms - caller->heard_ms[i] < RECENT_MS)
      return true;
  return false;
}

static void
remove_expired (struct ds_heavy_callers *heavy, uint64_t now_ms)
{
  size_t kept = 0;

  for (size_t i = 0; i < heavy->count; i++)
    {
      const struct ds_heavy_caller *caller = &heavy->callers[i];
      bool valid = false;

      for (int k = 0; k < DS_HEAVY_SOURCES; k++)
        valid = valid
                || (caller->heard_ms[k] > 0
                    && now_ms - caller->heard_ms[k] < HOLD_MS);
      if (valid && caller->load > 0)
        heavy->callers[kept++] = *caller;
    }
  heavy->count = kept;
}

/* Measures the callers of this host; returns how many are heavy that were not
   before.

   Load: one caller sends 50 requests of 13 KB a second to a host with a link
   of 10 Mbit/s.  Its share of the bytes, and with them of the used capacity,
   is its load.  A caller is found only at a host that has to give up callers;
   other hosts go on measuring those that have been found.  */
size_t
ds_heavy_callers_tick (struct ds_heavy_callers *heavy,
                       const struct ds_heavy_tick *tick)
{
  double decay = exp (-(double)tick->elapsed_ms / SMOOTHING_MS);
  double total = 0;
  size_t found = 0;
  size_t kept = 0;

  for (size_t i = 0; i < heavy->use_count; i++)
    total += heavy->uses[i].weight;
  for (size_t i = 0; i < heavy->use_count; i++)
    {
      struct ds_caller_use use = heavy->uses[i];
      double load = tick->used * use.weight / total;

      if (load >= 1
          && (ds_heavy_callers_load (heavy, use.origin) > 0
              || (tick->over
                  && load * PERCENT > tick->capacity * HEAVY_PERCENT))
          && ds_heavy_callers_report (heavy, use.origin, tick->host,
                                      (uint32_t)load, DS_HEAVY_DIRECT,
                                      tick->now_ms))
        found++;
      use.weight *= decay;
      if (use.weight >= WEIGHT_MIN)
        heavy->uses[kept++] = use;
    }
  heavy->use_count = kept;
  remove_expired (heavy, tick->now_ms);
  return found;
}

/* The load of the heavy caller ORIGIN, 0 if it is none: the greatest at any
   host, since a caller that moves is reported by two hosts for a while.  */
uint32_t
ds_heavy_callers_load (const struct ds_heavy_callers *heavy, uint64_t origin)
{
  uint32_t load = 0;

  for (size_t i = 0; i < heavy->count; i++)
    if (heavy->callers[i].origin == origin && heavy->callers[i].load > load)
      load = heavy->callers[i].load;
  return load;
}

/* Whether ORIGIN now sends requests to HOST.  */
bool
ds_heavy_callers_is_at (const struct ds_heavy_callers *heavy, uint32_t host,
                        uint64_t origin, uint64_t now_ms)
{
  for (size_t i = 0; i < heavy->count; i++)
    if (heavy->callers[i].host == host && heavy->callers[i].origin == origin)
      return ds_heavy_caller_is_recent (&heavy->callers[i], DS_HEAVY_FLEET,
                                        now_ms);
  return false;
}

/* What heavy callers put on HOST that it cannot carry: they leave it.  */
uint32_t
ds_heavy_callers_misplaced (const struct ds_heavy_callers *heavy,
                            uint32_t host, uint32_t capacity, uint64_t now_ms)
{
  uint32_t load = 0;

  for (size_t i = 0; i < heavy->count; i++)
    if (heavy->callers[i].host == host
        && !ds_heavy_fits (heavy->callers[i].load, capacity)
        && ds_heavy_caller_is_recent (&heavy->callers[i], DS_HEAVY_FLEET,
                                      now_ms))
      load += heavy->callers[i].load;
  return load;
}

/* Whether a host of CAPACITY can carry a caller with LOAD alone, both in
   thousandths of a core.  */
bool
ds_heavy_fits (uint32_t load, uint32_t capacity)
{
  return (uint64_t)load * PERCENT <= (uint64_t)capacity * HEAVY_PERCENT;
}
