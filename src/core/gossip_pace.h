#ifndef DS_CORE_GOSSIP_PACE_H
#define DS_CORE_GOSSIP_PACE_H

#include <stddef.h>
#include <stdint.h>

/* Distance of the ticks in which a host tells others of itself.  */
#define DS_GOSSIP_INTERVAL_MS 200
/* Hosts that one tick is told to; a larger fleet is told in turns.  */
#define DS_GOSSIP_FANOUT 24

size_t ds_gossip_cycle_intervals (size_t others);
uint64_t ds_gossip_timeout_ms (size_t others);

#endif
