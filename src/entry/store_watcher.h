#ifndef DS_ENTRY_STORE_WATCHER_H
#define DS_ENTRY_STORE_WATCHER_H

#include "core/watch_pace.h"
#include "entry/store_client.h"

struct ds_store_watcher;

/* ON_OBJECT is called for each object of a list, between ON_BEGIN and ON_END,
   and for each later change; ON_APPLIED after the objects of each response
   that ends a list or a watch.  A list that is not COMPLETE may lack objects
   that exist.  ON_CONNECTION_CHANGE reports that the store
   was disconnected or reconnected.  Changes are batched for BATCH_MS.  While
   PRIMARY is disconnected, this watcher delays its retries.  With LIST_NEWEST,
   several changes at once are followed by a list of the objects as they are
   instead of a watch, whose events hold every version of them.  */
struct ds_store_watcher_handlers
{
  void (*on_begin) (void *user_data);
  void (*on_object) (const struct ds_store_object *object, void *user_data);
  void (*on_end) (bool complete, void *user_data);
  void (*on_applied) (void *user_data); /* may be null */
  void (*on_connection_change) (bool connected, void *user_data);
  void *user_data;
  uint32_t batch_ms;
  bool list_newest;
  const struct ds_store_watcher *primary;
};

int ds_store_watcher_new (struct ds_store_watcher **out, TALLOC_CTX *owner,
                          struct tevent_context *ev,
                          struct ds_store_client *store, const char *kind,
                          const struct ds_store_watcher_handlers *handlers);
void ds_store_watcher_set_place (struct ds_store_watcher *watcher,
                                 const struct ds_watch_place *place);
void ds_store_watcher_probe (struct ds_store_watcher *watcher);
bool ds_store_watcher_check (struct ds_store_watcher *watcher,
                             const char *reason);
void ds_store_watcher_check_era (struct ds_store_watcher *watcher);
bool ds_store_watcher_is_change (const struct ds_store_watcher *watcher,
                                 const struct ds_store_object *object);
bool ds_store_watcher_has_listed (const struct ds_store_watcher *watcher);
uint64_t
ds_store_watcher_responded_ms (const struct ds_store_watcher *watcher);
uint64_t ds_store_watcher_asked_ms (const struct ds_store_watcher *watcher);
uint64_t ds_store_watcher_revision (const struct ds_store_watcher *watcher);
uint64_t
ds_store_watcher_object_revision (const struct ds_store_watcher *watcher);

#endif
