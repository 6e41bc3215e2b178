#include "core/watch_pace.h"

/* Longest wait of a watch.  A longer one saves few calls.  */
#define WAIT_MAX_MS 20000

static uint32_t
interval_ms (const struct ds_watch_place *place)
{
  uint32_t interval = place->interval_ms;

  if (interval == 0 || interval > WAIT_MAX_MS)
    return WAIT_MAX_MS;
  return interval;
}

/* Number of hosts whose watches end one after another.  */
static size_t
turns (const struct ds_watch_place *place)
{
  size_t most = WAIT_MAX_MS / interval_ms (place);

  if (place->hosts == 0)
    return 1;
  return place->hosts < most ? place->hosts : most;
}

/* Returns the time that a watch waits after a change, which restarts those of
   all hosts at once: they end one after another, an interval apart.

   A waiting watch whose response was lost looks like one of an idle store.  A
   host without any other call kept its state for 22 s.  */
uint32_t
ds_watch_first_wait_ms (const struct ds_watch_place *place)
{
  return (uint32_t)(place->rank % turns (place) + 1) * interval_ms (place);
}

/* Returns the time that a watch waits after one that ended without a change,
   so that each host has its turn again after all others.  */
uint32_t
ds_watch_next_wait_ms (const struct ds_watch_place *place)
{
  return (uint32_t)turns (place) * interval_ms (place);
}
