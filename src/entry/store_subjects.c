#include "entry/store_subjects.h"
#include "core/gossip_pace.h"

/* Divisor of the time in which a change must take effect: the interval at
   which some host ends its watch, also when no change is reported.  */
#define WATCH_INTERVAL_DIVISOR 2
/* Time in which this host's own watch usually reports what another host has
   had from the store.  */
#define OWN_WATCH_DELAY_MS 400

/* Returns the interval of the watches of something that must take effect
   within APPLY_MS.  */
static uint32_t
watch_interval_ms (double apply_ms)
{
  uint32_t interval_ms = (uint32_t)(apply_ms / WATCH_INTERVAL_DIVISOR);

  return interval_ms > DS_GOSSIP_INTERVAL_MS ? interval_ms
                                             : DS_GOSSIP_INTERVAL_MS;
}

/* Adds the WATCHER of SUBJECT, whose changes must take effect within
   APPLY_MS.  */
void
ds_store_subjects_add (struct ds_store_subjects *subjects,
                       enum ds_store_subject subject,
                       struct ds_store_watcher *watcher, double apply_ms)
{
  subjects->watches[subject] = (struct ds_store_subject_watch){
    .watcher = watcher,
    .interval_ms = watch_interval_ms (apply_ms),
  };
}

/* Checks a watch that has not reported what another host has had from the
   store: its response may be lost.  A wrong report costs one call an
   interval.  */
static void
compare_revisions (struct ds_store_subject_watch *watch,
                   struct ds_fleet_view *fleet, enum ds_store_subject subject,
                   uint64_t now_ms)
{
  uint64_t heard = ds_fleet_view_heard_revision (fleet, subject);

  ds_fleet_view_set_store_revision (
      fleet, subject, ds_store_watcher_object_revision (watch->watcher));
  if (heard <= ds_store_watcher_revision (watch->watcher))
    {
      watch->behind_since_ms = 0;
      return;
    }
  if (watch->behind_since_ms == 0)
    watch->behind_since_ms = now_ms;
  if (now_ms - watch->behind_since_ms < OWN_WATCH_DELAY_MS)
    return;
  if (watch->checked_ms > watch->behind_since_ms
      && ds_store_watcher_responded_ms (watch->watcher) > watch->checked_ms)
    {
      ds_fleet_view_reject_revision (fleet, subject);
      watch->behind_since_ms = 0;
      return;
    }
  if (now_ms - watch->checked_ms >= watch->interval_ms
      && ds_store_watcher_check (watch->watcher, "another host knows more"))
    watch->checked_ms = now_ms;
}

/* Paces the watches by the number of hosts, begins lists in a new era of the
   store, and checks the watches that are behind other hosts.  Call it in each
   gossip interval.  */
void
ds_store_subjects_update (struct ds_store_subjects *subjects,
                          struct ds_fleet_view *fleet, uint64_t now_ms)
{
  struct ds_watch_place place = ds_fleet_view_watch_place (fleet, now_ms);

  for (int subject = 0; subject < DS_STORE_SUBJECTS; subject++)
    {
      struct ds_store_subject_watch *watch = &subjects->watches[subject];

      if (watch->watcher == NULL)
        continue;
      place.interval_ms = watch->interval_ms;
      ds_store_watcher_set_place (watch->watcher, &place);
      ds_store_watcher_check_era (watch->watcher);
      compare_revisions (watch, fleet, (enum ds_store_subject)subject, now_ms);
    }
}

/* Checks the connections of all watches after another call to the store had no
   response.  */
void
ds_store_subjects_probe (const struct ds_store_subjects *subjects)
{
  for (int subject = 0; subject < DS_STORE_SUBJECTS; subject++)
    if (subjects->watches[subject].watcher != NULL)
      ds_store_watcher_probe (subjects->watches[subject].watcher);
}
