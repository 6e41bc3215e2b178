#include "core/budget_home.h"

#include <inttypes.h>
#include <stdio.h>

/* Seed of the hash of a page number, the same on all hosts.  */
#define PAGE_SEED 13

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
