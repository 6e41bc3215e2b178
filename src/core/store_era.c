#include "core/store_era.h"

/* Designed for a store that returns from an older copy a few times a day, and
   for hosts that learn of it one after another: from a response of the store
   or from another host.  */

/* Takes over the era REPORTED by the store or by another host, unless it is
   older than the known one.  */
enum ds_store_era_change
ds_store_era_observe (struct ds_store_era *era, uint64_t reported,
                      uint64_t now_ms)
{
  bool was_known = era->known;

  if (was_known && reported == era->era)
    return DS_STORE_ERA_SAME;
  if (was_known && reported < era->era)
    return DS_STORE_ERA_OLDER;
  era->known = true;
  era->previous = era->era;
  era->era = reported;
  era->detected_ms = now_ms;
  if (!was_known)
    return DS_STORE_ERA_FIRST;
  era->restored_ms = now_ms;
  return DS_STORE_ERA_NEWER;
}

/* Whether a ledger page that was last completed in PAGE_ERA grants nothing
   yet, since other hosts may still have to raise its accounts.  */
bool
ds_store_era_is_held (const struct ds_store_era *era, uint64_t page_era,
                      uint64_t now_ms)
{
  return era->era > page_era && now_ms - era->detected_ms < era->hold_ms;
}
