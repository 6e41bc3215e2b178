#ifndef DS_CORE_LEDGER_PAGE_H
#define DS_CORE_LEDGER_PAGE_H

#include "core/allotment.h"

/* Tokens that a writer holds: handed out and neither settled nor returned.  */
struct ds_ledger_grant
{
  struct ds_str writer;
  uint64_t tokens;
};

struct ds_ledger_account
{
  struct ds_str workspace;
  uint64_t limit;
  uint64_t version; /* of the configuration that LIMIT is from */
  uint64_t settled;
  struct ds_ledger_grant *grants;
  size_t grant_count;
};

/* NUMBER is that of the writer's last update in the page.  */
struct ds_ledger_writer
{
  struct ds_str name;
  uint64_t number;
};

struct ds_ledger_page
{
  struct ds_ledger_account *accounts;
  size_t account_count;
  struct ds_ledger_writer *writers;
  size_t writer_count;
};

struct ds_ledger_account *ds_ledger_page_account (struct ds_ledger_page *page,
                                                  struct ds_str workspace);
const struct ds_ledger_account *
ds_ledger_page_find (const struct ds_ledger_page *page,
                     struct ds_str workspace);
uint64_t *ds_ledger_account_grant (struct ds_ledger_page *page,
                                   struct ds_ledger_account *account,
                                   struct ds_str writer);
uint64_t ds_ledger_account_granted (const struct ds_ledger_account *account);

#endif
