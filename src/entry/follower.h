#ifndef DS_ENTRY_FOLLOWER_H
#define DS_ENTRY_FOLLOWER_H

#include "entry/store_link.h"

struct ds_follower;

/* ON_OBJECT is called for each object of a list, which ON_BEGIN and ON_END
   surround, and for each change between lists.  REGAINED_MS is when the store
   was last back after a disturbance, 0 if there was none.  ON_CONTACT tells
   of the store being lost or regained.  */
struct ds_follower_handlers
{
  void (*on_begin) (void *user_data);
  void (*on_object) (const struct ds_store_object *object, void *user_data);
  void (*on_end) (void *user_data);
  void (*on_contact) (bool in_touch, void *user_data);
  void *user_data;
  uint32_t gather_ms;
  const struct ds_follower *lead;
};

int ds_follower_new (struct ds_follower **out, TALLOC_CTX *owner,
                     struct tevent_context *ev, struct ds_store_link *link,
                     const char *kind,
                     const struct ds_follower_handlers *handlers);
void ds_follower_doubt (struct ds_follower *follower);
bool ds_follower_is_in_touch (const struct ds_follower *follower);
uint64_t ds_follower_lost_ms (const struct ds_follower *follower);
uint64_t ds_follower_regained_ms (const struct ds_follower *follower);
uint64_t ds_follower_revision (const struct ds_follower *follower);

#endif
