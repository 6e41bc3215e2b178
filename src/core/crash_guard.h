#ifndef DS_CORE_CRASH_GUARD_H
#define DS_CORE_CRASH_GUARD_H

#include "daisystep/str.h"

#include <stdbool.h>
#include <stdint.h>

/* Counts the upstreams that a request has crashed, by a digest of its caller,
   path and body, for the whole fleet.  */
struct ds_crash_guard;

int ds_crash_guard_new (struct ds_crash_guard **out, TALLOC_CTX *owner);
uint32_t ds_crash_guard_note (struct ds_crash_guard *guard, uint64_t digest,
                              uint64_t replica, uint64_t now_ms);
bool ds_crash_guard_refuses (const struct ds_crash_guard *guard,
                             uint64_t digest, uint64_t now_ms);
bool ds_crash_guard_take_news (struct ds_crash_guard *guard, uint64_t *digest,
                               uint64_t *replica);

#endif
