#ifndef DS_CORE_GOSSIP_PACE_H
#define DS_CORE_GOSSIP_PACE_H

#include <stddef.h>
#include <stdint.h>

/* Interval at which a host sends its state to others.  */
#define DS_GOSSIP_INTERVAL_MS 200
/* Hosts that it sends to in one interval, round-robin in a larger fleet.  */
#define DS_GOSSIP_FANOUT 24

size_t ds_gossip_cycle_intervals (size_t others);
uint64_t ds_gossip_timeout_ms (size_t others);

#endif
