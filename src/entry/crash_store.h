#ifndef DS_ENTRY_CRASH_STORE_H
#define DS_ENTRY_CRASH_STORE_H

#include "entry/crash_evidence.h"
#include "entry/store_client.h"

struct ds_crash_store;

/* ON_SETTLED reports that ds_crash_store_is_settled has become true.  */
struct ds_crash_store_options
{
  struct tevent_context *ev;
  struct ds_store_client *store;
  struct ds_crash_evidence *evidence;
  void (*on_settled) (void *user_data);
  void *user_data;
};

int ds_crash_store_new (struct ds_crash_store **out, TALLOC_CTX *owner,
                        const struct ds_crash_store_options *options);
bool ds_crash_store_is_settled (const struct ds_crash_store *store);
void ds_crash_store_begin_era (struct ds_crash_store *store);

#endif
