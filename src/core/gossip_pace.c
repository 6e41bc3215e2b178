#include "core/gossip_pace.h"
#include "core/budget_home.h"

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

/* Whether the hosts of a fleet of OTHERS and itself exchange their state
   through relays instead of sending it to all.

   Load: 88 hosts send 120 datagrams of 1,400 bytes a second each, most to
   other zones, and still learn of a silent host after 1.8 s only; at 295 hosts
   after 5.4 s, with loads that are 2.6 s old.  */
bool
ds_gossip_uses_relays (size_t others)
{
  return others > DS_GOSSIP_FANOUT;
}

/* Chooses the relays among the live HOSTS of a zone and writes their indexes
   to OUT, the primary first; returns their number.  All hosts of a zone agree
   without communication, and strong hosts are chosen more often.  */
size_t
ds_relay_choose (size_t *out, const struct ds_relay_candidate *hosts,
                 size_t count)
{
  double scores[DS_RELAYS_PER_ZONE];
  size_t chosen = 0;

  for (size_t i = 0; i < count; i++)
    {
      double score = ds_capacity_score (hosts[i].weight, hosts[i].capacity);
      size_t at = chosen;

      while (at > 0 && score > scores[at - 1])
        at--;
      if (at == DS_RELAYS_PER_ZONE)
        continue;
      if (chosen < DS_RELAYS_PER_ZONE)
        chosen++;
      for (size_t k = chosen - 1; k > at; k--)
        {
          scores[k] = scores[k - 1];
          out[k] = out[k - 1];
        }
      scores[at] = score;
      out[at] = i;
    }
  return chosen;
}
