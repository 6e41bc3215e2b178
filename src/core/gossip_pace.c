#include "core/gossip_pace.h"

/* Shortest time without a datagram after which a host is not offered to
   callers.  In a small fleet three lost datagrams in a row are tolerated: the
   fourth arrives after 800 ms.  */
#define TIMEOUT_MIN_MS 1000
/* Two cycles, so that one lost datagram is tolerated.  */
#define TIMEOUT_CYCLES 2

/* Gossip intervals in which a host sends to each of its OTHERS once.  */
size_t
ds_gossip_cycle_intervals (size_t others)
{
  return (others + DS_GOSSIP_FANOUT - 1) / DS_GOSSIP_FANOUT;
}

/* Milliseconds without a datagram after which a host counts as silent in a
   fleet of OTHERS and itself.

   With a timeout of 1,000 ms for every size, 73 hosts whose datagrams arrived
   every 900 to 1,000 ms were silent after one loss: it removed a host from the
   address answer and its work from the loads, and moved the homes of its
   budgets.  */
uint64_t
ds_gossip_timeout_ms (size_t others)
{
  uint64_t timeout_ms
      = (ds_gossip_cycle_intervals (others) * TIMEOUT_CYCLES + 1)
        * DS_GOSSIP_INTERVAL_MS;

  return timeout_ms > TIMEOUT_MIN_MS ? timeout_ms : TIMEOUT_MIN_MS;
}
