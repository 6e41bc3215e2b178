#ifndef DS_ENTRY_EVACUATION_WATCH_H
#define DS_ENTRY_EVACUATION_WATCH_H

#include "core/evacuation.h"
#include "entry/store_subjects.h"

struct ds_evacuation_watch;

/* An evacuation must take effect within APPLY_MS.  PRIMARY is the watcher that
   finds out first when the store is back.  ON_LISTED is called after each full
   list.  */
struct ds_evacuation_watch_options
{
  struct tevent_context *ev;
  struct ds_store_client *store;
  const struct ds_store_watcher *primary;
  struct ds_fleet_view *fleet;
  struct ds_store_subjects *subjects;
  double apply_ms;
  void (*on_listed) (void *user_data);
  void *user_data;
};

int
ds_evacuation_watch_new (struct ds_evacuation_watch **out, TALLOC_CTX *owner,
                         const struct ds_evacuation_watch_options *options);
const struct ds_evacuations *
ds_evacuation_watch_set (const struct ds_evacuation_watch *watch);
bool ds_evacuation_watch_has_listed (const struct ds_evacuation_watch *watch);
void ds_evacuation_watch_begin_era (struct ds_evacuation_watch *watch,
                                    uint64_t keep_ms);
void ds_evacuation_watch_expire (struct ds_evacuation_watch *watch,
                                 uint64_t now_ms);

#endif
