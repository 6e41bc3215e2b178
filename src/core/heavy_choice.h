#ifndef DS_CORE_HEAVY_CHOICE_H
#define DS_CORE_HEAVY_CHOICE_H

#include "core/address_choice.h"

size_t ds_heavy_choose (struct ds_str *out,
                        const struct ds_address_candidate *candidates,
                        size_t count, struct ds_str zone, struct ds_str region,
                        uint64_t caller, const struct ds_heavy_callers *heavy,
                        uint64_t now_ms);

#endif
