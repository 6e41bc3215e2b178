#ifndef DS_CORE_ADDRESS_CHOICE_H
#define DS_CORE_ADDRESS_CHOICE_H

#include "daisystep/str.h"

#include <stdbool.h>
#include <stddef.h>

/* A host that may be returned to callers.  */
struct ds_address_candidate
{
  struct ds_str zone;
  struct ds_str region;
  struct ds_str address;
};

/* Maximum number of addresses in one response; callers use no more.  */
#define DS_ADDRESSES_MAX 64

size_t ds_address_choose (struct ds_str *out,
                          const struct ds_address_candidate *candidates,
                          size_t count, struct ds_str zone,
                          struct ds_str region, size_t start);

#endif
