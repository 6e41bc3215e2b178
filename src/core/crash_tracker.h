#ifndef DS_CORE_CRASH_TRACKER_H
#define DS_CORE_CRASH_TRACKER_H

#include "daisystep/router.h"

struct json_t;

/* Detects the request digests that crash upstreams.  All digests in flight at
   a crash become suspects.  A suspect is poisonous if it is in flight when
   another upstream crashes and no other suspect there was in as many crashes.
   Reports of several hosts about one crash are merged before that
   decision.  */
struct ds_crash_tracker;

int ds_crash_tracker_new (struct ds_crash_tracker **out, TALLOC_CTX *owner);
void ds_crash_tracker_add (struct ds_crash_tracker *tracker,
                           const struct ds_crash_report *crash, bool local,
                           uint64_t now_ms);
void ds_crash_tracker_tick (struct ds_crash_tracker *tracker, uint64_t now_ms);
void ds_crash_tracker_clear (struct ds_crash_tracker *tracker,
                             uint64_t digest);
bool ds_crash_tracker_is_suspect (const struct ds_crash_tracker *tracker,
                                  uint64_t digest, uint64_t now_ms);
bool ds_crash_tracker_is_undecided (const struct ds_crash_tracker *tracker,
                                    uint64_t digest);
bool ds_crash_tracker_is_poisonous (const struct ds_crash_tracker *tracker,
                                    uint64_t digest);
int ds_crash_tracker_take_reports (struct ds_crash_tracker *tracker,
                                   struct ds_crash_report **out,
                                   size_t *out_count, TALLOC_CTX *owner);
struct json_t *ds_crash_tracker_dump (const struct ds_crash_tracker *tracker,
                                      uint64_t now_ms);

#endif
