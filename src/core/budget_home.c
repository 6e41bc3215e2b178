#include "core/budget_home.h"

#include <inttypes.h>
#include <stdio.h>

/* Seed of the hash of a page's number.  */
#define PAGE_SEED 13

/* The weight with which HOST stands for PAGE; the host with the greatest keeps
   its budgets.  All hosts work it out alike, so that those who see the same
   hosts agree without a message, and when a host comes or goes only the pages
   that it keeps move.  */
uint64_t
ds_budget_home_weight (struct ds_str host, uint32_t page)
{
  char name[16];

  (void)snprintf (name, sizeof name, "%" PRIu32, page);
  return ds_str_hash (host, ds_str_hash (ds_str_from_c (name), PAGE_SEED));
}
