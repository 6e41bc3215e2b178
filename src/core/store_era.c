#include "core/store_era.h"

/* Designed for a store that returns from an older copy a few times a day, and
   for hosts that learn of it one after another: from a response of the store
   or from another host.  */

static enum ds_store_era_change
take_over (struct ds_store_era *era, uint64_t reported, uint64_t now_ms)
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

/* Takes over the era REPORTED by the store in the response to a call that was
   sent in SENT_ERA, unless it is older than the known one.  If the known one
   is from other hosts alone and the call was sent after their report, that was
   wrong: the store had returned by then if it ever did.  */
enum ds_store_era_change
ds_store_era_observe (struct ds_store_era *era, uint64_t reported,
                      uint64_t sent_era, uint64_t now_ms)
{
  enum ds_store_era_change change = take_over (era, reported, now_ms);

  if (change == DS_STORE_ERA_OLDER && (era->confirmed || sent_era != era->era))
    return change;
  if (change == DS_STORE_ERA_OLDER)
    {
      era->refuted = era->era;
      era->previous = era->era;
      era->era = reported;
      era->detected_ms = now_ms;
      change = DS_STORE_ERA_REFUTED;
    }
  era->confirmed = true;
  return change;
}

/* Takes over the era REPORTED by another host, unless it is older than the
   known one or the store has refuted it.  */
enum ds_store_era_change
ds_store_era_hear (struct ds_store_era *era, uint64_t reported,
                   uint64_t now_ms)
{
  enum ds_store_era_change change;

  if (reported == era->refuted)
    return DS_STORE_ERA_SAME;
  change = take_over (era, reported, now_ms);
  if (change == DS_STORE_ERA_FIRST || change == DS_STORE_ERA_NEWER)
    era->confirmed = false;
  return change;
}

/* Whether a ledger page that was last completed in PAGE_ERA grants nothing
   yet, since other hosts may still have to raise its accounts.  */
bool
ds_store_era_is_held (const struct ds_store_era *era, uint64_t page_era,
                      uint64_t now_ms)
{
  return era->era > page_era && now_ms - era->detected_ms < era->hold_ms;
}
