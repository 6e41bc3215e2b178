#ifndef DS_ENTRY_STORE_LINK_H
#define DS_ENTRY_STORE_LINK_H

#include "daisystep/error.h"
#include "platform/store_codec.h"

#include <tevent.h>

/* What became of a call to the store.  */
enum ds_store_outcome
{
  DS_STORE_DONE,
  DS_STORE_CONFLICT, /* the object has another revision; BODY holds it */
  DS_STORE_MISSING,  /* there is no such object */
  DS_STORE_GONE,     /* the history that a watch asked for is gone */
  DS_STORE_REFUSED,  /* the store did nothing */
  DS_STORE_UNKNOWN   /* no answer: it may have been done, or will be */
};

struct ds_store_result
{
  enum ds_store_outcome outcome;
  unsigned status; /* of the answer; 0 without one */
  struct ds_str body;
};

typedef void ds_store_done_fn (const struct ds_store_result *result,
                               void *user_data);

struct ds_store_link;
struct ds_store_pending;

int ds_store_link_new (struct ds_store_link **out, TALLOC_CTX *owner,
                       struct tevent_context *ev, struct ds_str address,
                       struct ds_error *error);
int ds_store_link_call (struct ds_store_pending **out,
                        struct ds_store_link *link,
                        const struct ds_store_call *call, uint32_t timeout_ms,
                        ds_store_done_fn *on_done, void *user_data);
void ds_store_pending_cancel (struct ds_store_pending *pending);
uint64_t ds_store_link_calls (const struct ds_store_link *link);

#endif
