#ifndef DS_ENTRY_LEDGER_CLIENT_H
#define DS_ENTRY_LEDGER_CLIENT_H

#include "core/allotment.h"
#include "core/ledger_restore.h"
#include "entry/store_client.h"

struct ds_ledger_client;

/* INDEX is the page's number, WRITER this incarnation of the host.
   RELEASE_MOMENT and WRITER_ENDS return the time and what is known of other
   writers.  PEERS tells which hosts still run.  ON_RESPONSE is called after
   each call; if that had no response, ON_TIMEOUT is called first.  */
struct ds_ledger_client_options
{
  struct ds_store_client *store;
  struct ds_str writer;
  const struct ds_allotment_policy *policy;
  const struct ds_release_policy *release;
  uint32_t index;
  struct ds_release_moment (*release_moment) (void *user_data);
  struct ds_writer_ends (*writer_ends) (void *user_data);
  struct ds_ledger_restore_peers peers;
  void (*on_response) (void *user_data);
  void (*on_timeout) (void *user_data);
  void *user_data;
};

int ds_ledger_client_new (struct ds_ledger_client **out, TALLOC_CTX *owner,
                          const struct ds_ledger_client_options *options);
int ds_ledger_client_add (struct ds_ledger_client *client,
                          struct ds_allotment *allotment);
uint32_t ds_ledger_client_index (const struct ds_ledger_client *client);
bool ds_ledger_client_is_reachable (const struct ds_ledger_client *client,
                                    uint64_t now_ms);
bool ds_ledger_client_is_idle (const struct ds_ledger_client *client);
void ds_ledger_client_update (struct ds_ledger_client *client, uint64_t now_ms,
                              bool closing);
bool ds_ledger_client_is_unresolved (const struct ds_ledger_client *client);
void ds_ledger_client_begin_era (struct ds_ledger_client *client,
                                 uint64_t now_ms);
bool ds_ledger_client_is_held (const struct ds_ledger_client *client,
                               uint64_t now_ms);
bool ds_ledger_client_needs_raise (struct ds_ledger_client *client,
                                   uint64_t now_ms);
uint64_t ds_ledger_client_updated_ms (const struct ds_ledger_client *client);

#endif
