#ifndef DS_ENTRY_STORE_SUBJECTS_H
#define DS_ENTRY_STORE_SUBJECTS_H

#include "entry/fleet_view.h"
#include "entry/store_watcher.h"

/* What this host watches in the store, compared with what other hosts say.
   WATCHER is null for what it does not watch.  */
struct ds_store_subject_watch
{
  struct ds_store_watcher *watcher;
  uint32_t interval_ms;
  uint64_t behind_since_ms; /* 0 while no host has reported more */
  uint64_t checked_ms;      /* because of another host */
};

struct ds_store_subjects
{
  struct ds_store_subject_watch watches[DS_STORE_SUBJECTS];
};

void ds_store_subjects_add (struct ds_store_subjects *subjects,
                            enum ds_store_subject subject,
                            struct ds_store_watcher *watcher, double apply_ms);
void ds_store_subjects_update (struct ds_store_subjects *subjects,
                               struct ds_fleet_view *fleet, uint64_t now_ms);
void ds_store_subjects_probe (const struct ds_store_subjects *subjects);

#endif
