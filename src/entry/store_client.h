#ifndef DS_ENTRY_STORE_CLIENT_H
#define DS_ENTRY_STORE_CLIENT_H

#include "core/store_era.h"
#include "daisystep/error.h"
#include "platform/store_codec.h"

#include <tevent.h>

/* Outcome of a call to the store.  */
enum ds_store_outcome
{
  DS_STORE_OK,
  DS_STORE_CONFLICT,  /* the object has another revision; BODY holds it */
  DS_STORE_NOT_FOUND, /* there is no such object */
  DS_STORE_HISTORY_EXPIRED, /* the revision of a watch is too old */
  DS_STORE_REFUSED,         /* the call was not executed */
  DS_STORE_UNKNOWN /* no response: may have been executed, or may be later */
};

/* Status of a call that the store does not understand.  */
#define DS_STORE_STATUS_BAD_REQUEST 400

struct ds_store_result
{
  enum ds_store_outcome outcome;
  unsigned status;   /* of the response; 0 without one */
  uint64_t sent_era; /* of the store, as known when the call was sent */
  bool timed_out;    /* no response within the time of the call */
  struct ds_str body;
};

typedef void ds_store_done_fn (const struct ds_store_result *result,
                               void *user_data);

/* Called when a first or newer era of the store becomes known, before the
   result of the call that says so.  */
typedef void ds_store_era_fn (enum ds_store_era_change change, bool from_peer,
                              void *user_data);

struct ds_store_client;
struct ds_store_pending_call;

int ds_store_client_new (struct ds_store_client **out, TALLOC_CTX *owner,
                         struct tevent_context *ev, struct ds_str address,
                         struct ds_error *error);
int ds_store_client_call (struct ds_store_pending_call **out,
                          struct ds_store_client *client,
                          const struct ds_store_call *call,
                          uint32_t timeout_ms, ds_store_done_fn *on_done,
                          void *user_data);
void ds_store_pending_call_cancel (struct ds_store_pending_call *pending);
bool ds_store_pending_call_has_response (
    const struct ds_store_pending_call *pending);
void ds_store_client_set_slow_link (struct ds_store_client *client, bool slow);
bool ds_store_client_is_reachable (const struct ds_store_client *client);
uint64_t ds_store_client_succeeded_ms (const struct ds_store_client *client);
void ds_store_client_watch_era (struct ds_store_client *client,
                                uint32_t hold_ms, bool is_first_start,
                                ds_store_era_fn *on_era, void *user_data);
const struct ds_store_era *
ds_store_client_era (const struct ds_store_client *client);
bool ds_store_client_may_miss_era (const struct ds_store_client *client);
void ds_store_client_hear_era (struct ds_store_client *client, uint64_t era);
const char *ds_store_outcome_name (enum ds_store_outcome outcome);
uint64_t ds_store_client_calls (const struct ds_store_client *client);

#endif
