#ifndef DS_ENTRY_LEDGER_LINK_H
#define DS_ENTRY_LEDGER_LINK_H

#include "core/allotment.h"
#include "entry/store_link.h"

struct ds_ledger_link;

/* INDEX is the page's number, WRITER this life of the host.  ON_CHANGED is
   called when the ledger has answered, ON_SILENT when it has not.  */
struct ds_ledger_link_options
{
  struct ds_store_link *link;
  struct ds_str writer;
  const struct ds_allotment_policy *policy;
  uint32_t index;
  void (*on_changed) (void *user_data);
  void (*on_silent) (void *user_data);
  void *user_data;
};

int ds_ledger_link_new (struct ds_ledger_link **out, TALLOC_CTX *owner,
                        const struct ds_ledger_link_options *options);
int ds_ledger_link_add (struct ds_ledger_link *link,
                        struct ds_allotment *allotment);
uint32_t ds_ledger_link_index (const struct ds_ledger_link *link);
bool ds_ledger_link_is_near (const struct ds_ledger_link *link,
                             uint64_t now_ms);
bool ds_ledger_link_is_settled (const struct ds_ledger_link *link);
void ds_ledger_link_update (struct ds_ledger_link *link, uint64_t now_ms,
                            bool closing);
bool ds_ledger_link_is_unresolved (const struct ds_ledger_link *link);
uint64_t ds_ledger_link_updated_ms (const struct ds_ledger_link *link);

#endif
