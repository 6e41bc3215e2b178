#ifndef DS_CORE_ADDRESS_CHOICE_H
#define DS_CORE_ADDRESS_CHOICE_H

#include "core/heavy_callers.h"
#include "daisystep/str.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A host that may be returned to callers.  CAPACITY is what it is offered for;
   the members below it are used by ds_address_spread only.  */
struct ds_address_candidate
{
  struct ds_str zone;
  struct ds_str region;
  struct ds_str address;
  uint32_t capacity;
  uint32_t machine_capacity; /* percent of a core, also while strained */
  uint32_t id;               /* short id */
  uint32_t level;            /* at which it gives up callers */
};

/* Maximum number of addresses in one response; callers use no more.  */
#define DS_ADDRESSES_MAX 64
/* Addresses that a caller gets when more hosts of its zone are ready.  */
#define DS_ADDRESSES_OF_LARGE_ZONE 10

size_t ds_address_choose (struct ds_str *out,
                          const struct ds_address_candidate *candidates,
                          size_t count, struct ds_str zone,
                          struct ds_str region, uint64_t caller);
bool ds_address_is_offered (struct ds_str address, uint64_t caller,
                            uint32_t level);
size_t ds_address_spread (struct ds_str *out,
                          const struct ds_address_candidate *candidates,
                          size_t count, struct ds_str zone,
                          struct ds_str region, uint64_t caller,
                          const struct ds_heavy_callers *heavy,
                          uint64_t now_ms);

#endif
