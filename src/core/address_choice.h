#ifndef DS_CORE_ADDRESS_CHOICE_H
#define DS_CORE_ADDRESS_CHOICE_H

#include "daisystep/str.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A host that may be returned to callers.  */
struct ds_address_candidate
{
  struct ds_str zone;
  struct ds_str region;
  struct ds_str address;
  uint32_t capacity;
};

/* Maximum number of addresses in one response; callers use no more.  */
#define DS_ADDRESSES_MAX 64
/* Addresses that a caller gets when more hosts of its zone are ready.  */
#define DS_ADDRESSES_OF_LARGE_ZONE 10

size_t ds_address_choose (struct ds_str *out,
                          const struct ds_address_candidate *candidates,
                          size_t count, struct ds_str zone,
                          struct ds_str region, uint64_t caller);

#endif
