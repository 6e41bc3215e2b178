#include "core/gossip_pace.h"

/* Without a datagram for so long a host is not handed out to callers: four
   ticks of a small fleet, so that three lost datagrams do not matter.  */
#define SILENT_MS 1000
/* Of a host that is heard in turns, one datagram may be lost.  */
#define SILENT_TURNS 2

/* Ticks until a host has told each of its OTHERS once.  */
size_t
ds_gossip_turns (size_t others)
{
  return (others + DS_GOSSIP_TARGETS - 1) / DS_GOSSIP_TARGETS;
}

/* After how many milliseconds without a datagram a host counts as silent among
   OTHERS and itself.

   Load: 73 hosts were heard once in 900 to 1,000 ms and counted as silent
   after 1,000; a lost datagram took a host out of the address answer, its work
   out of the loads, and moved the homes of its budgets.  */
uint64_t
ds_gossip_silent_ms (size_t others)
{
  uint64_t silent_ms
      = (ds_gossip_turns (others) * SILENT_TURNS + 1) * DS_GOSSIP_TICK_MS;

  return silent_ms > SILENT_MS ? silent_ms : SILENT_MS;
}
