#ifndef DS_ENTRY_TOKEN_LOG_H
#define DS_ENTRY_TOKEN_LOG_H

#include "entry/budget_manager.h"

void ds_token_log (const struct ds_budget_manager *budgets,
                   struct ds_str request_id, struct ds_str workspace,
                   uint64_t needed, enum ds_budget_outcome outcome);

#endif
