#ifndef DS_CORE_WATCH_PACE_H
#define DS_CORE_WATCH_PACE_H

#include <stddef.h>
#include <stdint.h>

/* Place of a host among those that watch the store and tell each other what
   they learn from it.  RANK counts from 0 and differs between the hosts.
   INTERVAL_MS is the time after which a change whose responses are lost at
   every host must be noticed by one of them.  */
struct ds_watch_place
{
  size_t hosts;
  size_t rank;
  uint32_t interval_ms;
};

uint32_t ds_watch_first_wait_ms (const struct ds_watch_place *place);
uint32_t ds_watch_next_wait_ms (const struct ds_watch_place *place);

#endif
