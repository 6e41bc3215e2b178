#ifndef DS_CORE_CRASH_TRACKER_H
#define DS_CORE_CRASH_TRACKER_H

#include "daisystep/router.h"

struct json_t;

/* Finds the request digests that crash upstreams.  All digests in flight at a
   crash become suspects.  A digest is poisonous when it is present at a crash
   of another upstream and no other suspect there has met as many.  What
   several hosts report of one crash is merged before that is decided.  */
struct ds_crash_tracker;

int ds_crash_tracker_new (struct ds_crash_tracker **out, TALLOC_CTX *owner);
void ds_crash_tracker_add (struct ds_crash_tracker *list,
                           const struct ds_crash_report *crash, bool local,
                           uint64_t now_ms);
void ds_crash_tracker_tick (struct ds_crash_tracker *list, uint64_t now_ms);
void ds_crash_tracker_clear (struct ds_crash_tracker *list, uint64_t digest);
bool ds_crash_tracker_is_suspect (const struct ds_crash_tracker *list,
                                  uint64_t digest, uint64_t now_ms);
bool ds_crash_tracker_is_undecided (const struct ds_crash_tracker *list,
                                    uint64_t digest);
bool ds_crash_tracker_is_poisonous (const struct ds_crash_tracker *list,
                                    uint64_t digest);
int ds_crash_tracker_take_reports (struct ds_crash_tracker *list,
                                   struct ds_crash_report **out,
                                   size_t *out_count, TALLOC_CTX *owner);
struct json_t *ds_crash_tracker_dump (const struct ds_crash_tracker *list,
                                      uint64_t now_ms);

#endif
