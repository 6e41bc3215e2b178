#ifndef DS_CORE_BUDGET_HOME_H
#define DS_CORE_BUDGET_HOME_H

#include "daisystep/str.h"

#include <stdint.h>

uint64_t ds_budget_home_weight (struct ds_str host, uint32_t page);

#endif
