#ifndef DS_CORE_LEDGER_RESTORE_H
#define DS_CORE_LEDGER_RESTORE_H

#include "core/ledger_page.h"
#include "core/store_era.h"

/* What the home of a budget has reported of an account in ERA of the store.
   REPORTER identifies the incarnation of the host.  HELD_BACK is what it may
   have drawn after the report.  */
struct ds_ledger_report
{
  struct ds_str workspace;
  uint64_t reporter;
  uint64_t era;
  uint64_t limit;
  uint64_t version;
  uint64_t settled;
  uint64_t ungranted;
  uint64_t held_back;
};

/* What is known of a host that has reported an account.  */
enum ds_reporter_state
{
  DS_REPORTER_CONNECTED, /* it raises the page itself */
  DS_REPORTER_CUT_OFF,   /* it runs, but does not reach the store */
  DS_REPORTER_SILENT     /* it may have ended, and have drawn before */
};

/* Tells what has been heard of the host REPORTER since SINCE_MS.  */
struct ds_ledger_restore_peers
{
  enum ds_reporter_state (*state) (uint64_t reporter, uint64_t since_ms,
                                   void *user_data);
  void *user_data;
};

/* What one host knows of a ledger page from before the store returned from an
   older copy.  MARKS holds the greatest sums of each account that the host has
   seen itself.  It is null, and there is no report, once they are in the
   page.  */
struct ds_ledger_restore
{
  struct ds_ledger_page *marks;
  uint64_t completed_era; /* the newest in which the page was complete */
  uint64_t raise_ms;      /* when the page is to be raised; 0 for never */
  bool
      read_again; /* before the page is raised: it was, but may have changed */
  uint32_t delay_ms; /* of this host's calls to raise the page */
  bool reports_checked;
  struct ds_ledger_report *reports;
  size_t report_count;
};

/* What an update does to the page.  */
struct ds_ledger_restore_result
{
  bool held;          /* the page grants nothing yet */
  bool changed;       /* the page has to be written */
  uint64_t raised;    /* tokens that were added to the granted ones */
  uint64_t held_back; /* of these, for draws that nobody may have seen */
};

int ds_ledger_restore_begin (struct ds_ledger_restore *restore,
                             TALLOC_CTX *owner,
                             const struct ds_ledger_page *copy,
                             uint64_t now_ms, uint32_t delay_ms);
int ds_ledger_restore_add_report (struct ds_ledger_restore *restore,
                                  TALLOC_CTX *owner,
                                  const struct ds_ledger_report *report);
uint64_t ds_ledger_restore_check_reports (
    struct ds_ledger_restore *restore, const struct ds_store_era *era,
    double max_fraction, const struct ds_ledger_restore_peers *peers,
    uint64_t now_ms);
bool ds_ledger_restore_is_due (const struct ds_ledger_restore *restore,
                               uint64_t now_ms);
void ds_ledger_restore_observe (struct ds_ledger_restore *restore,
                                struct ds_ledger_page *page,
                                const struct ds_store_era *era,
                                uint64_t now_ms);
int ds_ledger_restore_apply (struct ds_ledger_restore *restore,
                             struct ds_ledger_page *page,
                             const struct ds_store_era *era,
                             double max_fraction, uint64_t now_ms,
                             struct ds_ledger_restore_result *result);

#endif
