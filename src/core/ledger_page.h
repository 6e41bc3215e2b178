#ifndef DS_CORE_LEDGER_PAGE_H
#define DS_CORE_LEDGER_PAGE_H

#include "core/allotment.h"

/* Number of ledger pages: enough to spread the workspaces of some hundred
   hosts, few enough for one host to read at startup.  It is part of the stored
   format: with another number an account would be looked up in the wrong page
   and its budget granted twice.  */
#define DS_LEDGER_PAGES 64

/* Eras whose bases an account keeps: the store returns from a copy a few times
   a day at most, and a host that is cut off hears of it within minutes.  */
#define DS_LEDGER_BASES 4

/* Settled and granted tokens of an account when its page was completed in ERA:
   what hosts have seen in earlier eras, beyond this sum, is not in the
   account.  */
struct ds_ledger_base
{
  uint64_t era;
  uint64_t committed;
};

/* The account of one workspace.  GRANTED counts the tokens that hosts hold,
   neither settled nor returned.  Which host holds them is not recorded: hosts
   transfer tokens among themselves, and SETTLED + GRANTED, which a transfer
   does not change, covers all that has been and can still be used.  */
struct ds_ledger_account
{
  struct ds_str workspace;
  uint64_t limit;
  uint64_t version; /* of the configuration that LIMIT is from */
  uint64_t settled;
  uint64_t granted;
  struct ds_ledger_base bases[DS_LEDGER_BASES]; /* oldest first */
  size_t base_count;
};

/* NUMBER is that of the writer's last update in the page.  */
struct ds_ledger_writer
{
  struct ds_str name;
  uint64_t number;
};

/* Of what WORKSPACE has granted, the tokens that WRITER holds and that become
   usable over time.  START_MS of the schedule is a wall-clock time that is not
   later than the true start.  Stored as member "releases" of the account.  */
struct ds_ledger_release
{
  struct ds_str workspace;
  struct ds_str writer;
  struct ds_release_schedule schedule;
};

/* ERA is the newest era of the store in which a host completed the page: the
   running hosts had time before to raise its accounts to what they had seen.
   WITNESS_ERA is the newest in which some host has raised it.  Both are 0 for
   a store that has never returned from an older copy.  */
struct ds_ledger_page
{
  uint64_t era;
  uint64_t witness_era;
  struct ds_ledger_account *accounts;
  size_t account_count;
  struct ds_ledger_writer *writers;
  size_t writer_count;
  struct ds_ledger_release *releases;
  size_t release_count;
};

uint32_t ds_ledger_page_index (struct ds_str workspace);
struct ds_ledger_account *
ds_ledger_page_find_or_add (struct ds_ledger_page *page,
                            struct ds_str workspace);
const struct ds_ledger_account *
ds_ledger_page_find (const struct ds_ledger_page *page,
                     struct ds_str workspace);
int ds_ledger_page_set_release (struct ds_ledger_page *page,
                                struct ds_str workspace, struct ds_str writer,
                                const struct ds_release_schedule *schedule);
uint64_t ds_ledger_account_ungranted (const struct ds_ledger_account *account);

#endif
