#ifndef DS_CORE_BUDGET_HOME_H
#define DS_CORE_BUDGET_HOME_H

#include "daisystep/str.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Time for which a host must have lost the ledger, or have regained it, before
   the homes take notice.  When the store is away for all, all hosts have
   noticed within this time, and no home moves.  */
#define DS_HOME_LEDGER_DELAY_MS 1500

/* Whether a host reaches the ledger, as the homes see it.  */
struct ds_ledger_access
{
  bool reached;        /* as last reported */
  bool counted;        /* as it counts for the homes */
  uint64_t changed_ms; /* time of the last change of REACHED */
};

bool ds_ledger_access_update (struct ds_ledger_access *access, bool reached,
                              uint64_t now_ms);
bool ds_ledger_access_allows_home (const struct ds_ledger_access *access,
                                   bool large_fleet);
bool ds_budget_homes_need_ledger (size_t hosts, size_t with_ledger);
uint64_t ds_budget_home_weight (struct ds_str host, uint32_t page);
double ds_capacity_score (uint64_t weight, uint32_t capacity);
uint32_t ds_budget_giver_groups (size_t hosts);
uint32_t ds_budget_giver_group (struct ds_str host, uint32_t groups);
uint64_t ds_budget_giver_weight (struct ds_str host, uint32_t page,
                                 uint32_t group);

#endif
