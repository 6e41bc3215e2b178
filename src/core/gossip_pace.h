#ifndef DS_CORE_GOSSIP_PACE_H
#define DS_CORE_GOSSIP_PACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Interval at which a host sends its state to others.  */
#define DS_GOSSIP_INTERVAL_MS 200
/* Hosts that it sends to in one interval, round-robin in a larger fleet.  */
#define DS_GOSSIP_FANOUT 24
/* Relays of a zone in a fleet that is too large for sending to all.  */
#define DS_RELAYS_PER_ZONE 2
/* A relay sends the fleet's state to each host of its zone once in this many
   intervals.  */
#define DS_RELAY_DOWNLINK_INTERVALS 2
/* Time without a datagram after which a relay takes a host of its zone for
   silent, and a host replaces its relay.  */
#define DS_RELAY_DIRECT_TIMEOUT_MS 1000
/* Time without any sign of a host after which it is not alive, if no relay has
   reported its loss before.  It spans the replacement of a relay.  */
#define DS_RELAY_MEMBER_TIMEOUT_MS 2000
/* A host that has not replaced a silent relay by another one is not asked to
   relay for this long.  */
#define DS_RELAY_SUSPICION_MS 3000

struct ds_relay_candidate
{
  uint64_t weight;
  uint32_t capacity;
};

bool ds_gossip_uses_relays (size_t others);
size_t ds_relay_choose (size_t *out, const struct ds_relay_candidate *hosts,
                        size_t count);
size_t ds_gossip_cycle_intervals (size_t others);
uint64_t ds_gossip_timeout_ms (size_t others);

#endif
