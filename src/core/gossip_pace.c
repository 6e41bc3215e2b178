#include "core/gossip_pace.h"

/* Without a datagram for so long a host is not handed out to callers: four
   ticks of a small fleet, so that three lost datagrams do not matter.  */
#define TIMEOUT_MIN_MS 1000
/* Of a host that is heard in turns, one datagram may be lost.  */
#define TIMEOUT_CYCLES 2

/* Ticks until a host has told each of its OTHERS once.  */
size_t
ds_gossip_cycle_intervals (size_t others)
{
  return (others + DS_GOSSIP_FANOUT - 1) / DS_GOSSIP_FANOUT;
}

/* After how many milliseconds without a datagram a host counts as silent among
   OTHERS and itself.

   Load: 73 hosts were heard once in 900 to 1,000 ms and counted as silent
   after 1,000; a lost datagram took a host out of the address answer, its work
   out of the loads, and moved the homes of its budgets.  */
uint64_t
ds_gossip_timeout_ms (size_t others)
{
  uint64_t timeout_ms
      = (ds_gossip_cycle_intervals (others) * TIMEOUT_CYCLES + 1)
        * DS_GOSSIP_INTERVAL_MS;

  return timeout_ms > TIMEOUT_MIN_MS ? timeout_ms : TIMEOUT_MIN_MS;
}
