#include "core/budget_home.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>

/* Seed of the hash of a page number, the same on all hosts.  */
#define PAGE_SEED 13
/* Seed of the hash that assigns hosts to giver groups.  */
#define GROUP_SEED 17
/* Hosts of a zone that one giver serves, at most.  With 88 hosts and one home
   for all, the home of a large workspace handled 170 requests for tokens a
   second on an eighth of a core.  */
#define GIVER_HOSTS_MAX 20

/* The weight of HOST for PAGE in rendezvous hashing: the host with the highest
   weight is the home of the page's budgets.  Hosts that see the same fleet
   agree without a message, and when a host joins or leaves, only its own pages
   move.  */
uint64_t
ds_budget_home_weight (struct ds_str host, uint32_t page)
{
  char name[16];

  (void)snprintf (name, sizeof name, "%" PRIu32, page);
  return ds_str_hash (host, ds_str_hash (ds_str_from_c (name), PAGE_SEED));
}

/* Scales the WEIGHT of a host in rendezvous hashing by its CAPACITY, so that
   hosts win in proportion to it ("weighted rendezvous hashing", Schindelhauer
   and Schomaker 2005).  Among hosts of one capacity the order is that of the
   weights.  */
double
ds_capacity_score (uint64_t weight, uint32_t capacity)
{
  double share = ((double)weight + 1) / 18446744073709551617.0;

  return (double)(capacity > 0 ? capacity : 1) / -log (share);
}

/* Number of groups into which a zone of HOSTS is divided for the distribution
   of tokens; a power of two, so that it rarely changes.  */
uint32_t
ds_budget_giver_groups (size_t hosts)
{
  uint32_t groups = 1;

  while (hosts > (size_t)groups * GIVER_HOSTS_MAX)
    groups *= 2;
  return groups;
}

/* The group of HOST in its zone.  */
uint32_t
ds_budget_giver_group (struct ds_str host, uint32_t groups)
{
  return (uint32_t)(ds_str_hash (host, GROUP_SEED) % groups);
}

/* The weight of HOST as the giver of PAGE for a group of its zone.  */
uint64_t
ds_budget_giver_weight (struct ds_str host, uint32_t page, uint32_t group)
{
  char name[32];

  (void)snprintf (name, sizeof name, "%" PRIu32 "/%" PRIu32, page, group);
  return ds_str_hash (host, ds_str_hash (ds_str_from_c (name), GROUP_SEED));
}

/* Whether the host may be a home while most hosts reach the ledger.

   Load: the store returns after an outage for all hosts, which notice within a
   second.  In a small fleet no host is a home until it has reached the ledger
   for some time, and each draws for itself.  In a LARGE_FLEET they would be in
   each other's way, and the first ones would be homes of all pages; there, a
   host that has regained the ledger counts at once.  */
bool
ds_ledger_access_allows_home (const struct ds_ledger_access *access,
                              bool large_fleet)
{
  return access->counted || (large_fleet && access->reached);
}

/* Applies a report of a host; returns whether it has changed anything.  */
bool
ds_ledger_access_update (struct ds_ledger_access *access, bool reached,
                         uint64_t now_ms)
{
  struct ds_ledger_access before = *access;

  if (access->reached != reached)
    {
      access->reached = reached;
      access->changed_ms = now_ms;
    }
  if (now_ms - access->changed_ms >= DS_HOME_LEDGER_DELAY_MS)
    access->counted = reached;
  return before.reached != access->reached
         || before.counted != access->counted;
}

/* Whether hosts that do not reach the ledger are left out as homes.

   Load: a third of the hosts is cut off from the store for twelve seconds.
   Homes among them can neither draw nor settle, while two thirds of the
   callers' hosts could.  When most hosts are cut off, the homes stay: moving
   them would gain nothing.  */
bool
ds_budget_homes_need_ledger (size_t hosts, size_t with_ledger)
{
  return 2 * with_ledger >= hosts;
}
