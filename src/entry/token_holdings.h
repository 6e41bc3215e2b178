#ifndef DS_ENTRY_TOKEN_HOLDINGS_H
#define DS_ENTRY_TOKEN_HOLDINGS_H

#include "entry/budget_manager.h"
#include "entry/fleet_view.h"

size_t ds_token_holdings_list (const struct ds_budget_manager *budgets,
                               struct ds_token_holding *out);
struct ds_token_holding ds_token_holdings_get (
    const struct ds_budget_manager *budgets, struct ds_fleet_view *fleet,
    const struct ds_store_client *store, struct ds_str workspace);

#endif
