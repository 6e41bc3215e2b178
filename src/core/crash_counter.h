#ifndef DS_CORE_CRASH_COUNTER_H
#define DS_CORE_CRASH_COUNTER_H

#include "daisystep/str.h"

#include <stdbool.h>
#include <stdint.h>

/* Counts the replicas that a request has crashed in the whole fleet, by a
   digest of its caller, path and body.  */
struct ds_crash_counter;

int ds_crash_counter_new (struct ds_crash_counter **out, TALLOC_CTX *owner);
uint32_t ds_crash_counter_record (struct ds_crash_counter *counter,
                                  uint64_t digest, uint64_t replica,
                                  uint64_t now_ms);
bool ds_crash_counter_is_blocked (const struct ds_crash_counter *counter,
                                  uint64_t digest, uint64_t now_ms);
bool ds_crash_counter_take_unsent (struct ds_crash_counter *counter,
                                   uint64_t *digest, uint64_t *replica);

#endif
