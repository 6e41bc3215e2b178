#include "core/ledger_restore.h"

/* Designed for a store that returns from a copy some seconds old, in a fleet
   of up to 390 hosts of which few have read or written any one page.  Each
   page is read and written once or twice more by the hosts that have a copy of
   it, and by no other host.

   A page is completed in an era of the store before anything is drawn from it
   in that era.  The updates from one completion to the next follow one
   another, so of two sums that an account had between them the greater one
   covers both. When the store returns from a copy, the page goes back to one
   of these updates, or to one before an earlier completion.  Until it is
   completed again, it is raised to the greatest sums that running hosts have
   seen.  A sum from before a completion that arrives after it adds what it
   exceeds the sum at the completion, the base, by.  */

static uint64_t
committed (const struct ds_ledger_account *account)
{
  return account->settled + account->granted;
}

/* Raises ACCOUNT to the sums SETTLED and COMMITTED_SUM.  */
static void
raise_to (struct ds_ledger_account *account, uint64_t settled,
          uint64_t committed_sum)
{
  if (account->settled > settled)
    settled = account->settled;
  if (committed (account) > committed_sum)
    committed_sum = committed (account);
  if (settled > committed_sum)
    committed_sum = settled;
  account->settled = settled;
  account->granted = committed_sum - settled;
}

/* The base of ACCOUNT in the first era after ERA in which it was completed;
   null if the account is younger.  */
static struct ds_ledger_base *
find_base (struct ds_ledger_account *account, uint64_t era)
{
  for (size_t i = 0; i < account->base_count; i++)
    if (account->bases[i].era > era)
      return &account->bases[i];
  return NULL;
}

/* Makes ERA, in which the account had the sum COMMITTED_SUM, the newest base.
   The oldest makes room for it.  */
static void
add_base (struct ds_ledger_account *account, uint64_t era,
          uint64_t committed_sum)
{
  if (account->base_count == DS_LEDGER_BASES)
    {
      for (size_t i = 1; i < DS_LEDGER_BASES; i++)
        account->bases[i - 1] = account->bases[i];
      account->base_count--;
    }
  account->bases[account->base_count++]
      = (struct ds_ledger_base){ .era = era, .committed = committed_sum };
}

static void
adopt_limit (struct ds_ledger_account *account,
             const struct ds_ledger_account *seen)
{
  if (seen->version <= account->version)
    return;
  account->version = seen->version;
  account->limit = seen->limit;
}

/* Raises ACCOUNT, of a page that was completed in PAGE_ERA, to what was SEEN
   after a completion in SEEN_ERA.  */
static void
raise_account (struct ds_ledger_account *account, uint64_t page_era,
               const struct ds_ledger_account *seen, uint64_t seen_era)
{
  struct ds_ledger_base *base = find_base (account, seen_era);
  uint64_t sum = base != NULL ? base->committed : 0;

  adopt_limit (account, seen);
  if (page_era <= seen_era)
    {
      raise_to (account, seen->settled, committed (seen));
      return;
    }
  if (committed (seen) > sum)
    {
      account->granted += committed (seen) - sum;
      if (base != NULL)
        base->committed = committed (seen);
      else
        add_base (account, page_era, committed (seen));
    }
  raise_to (account, seen->settled, committed (account));
}

/* Raises the bases of ACCOUNT to those of SEEN, of a page that was completed
   in the same eras.  */
static void
raise_bases (struct ds_ledger_account *account,
             const struct ds_ledger_account *seen)
{
  for (size_t i = 0; i < seen->base_count; i++)
    {
      const struct ds_ledger_base *base = &seen->bases[i];
      struct ds_ledger_base *own = find_base (account, base->era - 1);

      if (own == NULL)
        add_base (account, base->era, base->committed);
      else if (own->era == base->era && own->committed < base->committed)
        own->committed = base->committed;
    }
}

/* Replaces ACCOUNT by what was SEEN after a later completion, and raises that
   to what the account was in PAGE_ERA.  */
static void
replace_account (struct ds_ledger_account *account, uint64_t page_era,
                 const struct ds_ledger_account *seen, uint64_t seen_era)
{
  struct ds_ledger_account before = *account;

  *account = *seen;
  account->workspace = before.workspace;
  raise_account (account, seen_era, &before, page_era);
}

/* Raises PAGE to what was SEEN.  */
static int
merge (struct ds_ledger_page *page, const struct ds_ledger_page *seen)
{
  uint64_t era = page->era;

  for (size_t i = 0; i < seen->account_count; i++)
    {
      const struct ds_ledger_account *mark = &seen->accounts[i];
      struct ds_ledger_account *account
          = ds_ledger_page_find_or_add (page, mark->workspace);

      if (account == NULL)
        return DS_ENOMEM;
      if (seen->era > era)
        replace_account (account, era, mark, seen->era);
      else
        raise_account (account, era, mark, seen->era);
      if (seen->era == era)
        raise_bases (account, mark);
    }
  if (seen->era > era)
    page->era = seen->era;
  return 0;
}

/* Begins a new era, detected at NOW_MS.  COPY is the page as this host last
   had it, or null; the host is to raise the page DELAY_MS later.  What it has
   seen in earlier eras and is not known to be in the page stays.  */
int
ds_ledger_restore_begin (struct ds_ledger_restore *restore, TALLOC_CTX *owner,
                         const struct ds_ledger_page *copy, uint64_t now_ms,
                         uint32_t delay_ms)
{
  /* Hosts that reach the store have raised the page to their reports.  */
  if (restore->reports_checked && restore->raise_ms == 0)
    {
      TALLOC_FREE (restore->reports);
      restore->report_count = 0;
    }
  restore->read_again = false;
  restore->reports_checked = false;
  restore->delay_ms = delay_ms;
  if (copy == NULL && restore->raise_ms == 0)
    return 0;
  restore->raise_ms = now_ms + delay_ms + 1;
  if (copy == NULL)
    return 0;
  if (restore->marks == NULL
      && ds_ledger_page_new (&restore->marks, owner) != 0)
    return DS_ENOMEM;
  return merge (restore->marks, copy);
}

/* Adds what another host has reported in the era that ended, after
   ds_ledger_restore_begin.  While that host runs and reaches the store, a
   report makes no call: it is applied with this host's next update.  */
int
ds_ledger_restore_add_report (struct ds_ledger_restore *restore,
                              TALLOC_CTX *owner,
                              const struct ds_ledger_report *report)
{
  struct ds_ledger_report *grown
      = talloc_realloc (owner, restore->reports, struct ds_ledger_report,
                        (unsigned)restore->report_count + 1);

  if (grown == NULL)
    return DS_ENOMEM;
  restore->reports = grown;
  grown[restore->report_count] = *report;
  grown[restore->report_count].workspace
      = ds_str_copy (grown, report->workspace);
  restore->report_count++;
  return 0;
}

/* Whether this host is to call the store to raise the page.  */
bool
ds_ledger_restore_is_due (const struct ds_ledger_restore *restore,
                          uint64_t now_ms)
{
  return restore->raise_ms > 0 && now_ms >= restore->raise_ms;
}

/* Sums over the accounts of a page, none of which a raise lowers.  */
struct sums
{
  uint64_t committed;
  uint64_t settled;
  uint64_t bases;
  uint64_t era;
};

static struct sums
sum_up (const struct ds_ledger_page *page)
{
  struct sums sums = { .era = page->era };

  for (size_t i = 0; i < page->account_count; i++)
    {
      const struct ds_ledger_account *account = &page->accounts[i];

      sums.committed += committed (account);
      sums.settled += account->settled;
      for (size_t k = 0; k < account->base_count; k++)
        sums.bases += account->bases[k].committed;
    }
  return sums;
}

static bool
differ (struct sums a, struct sums b)
{
  return a.committed != b.committed || a.settled != b.settled
         || a.bases != b.bases || a.era != b.era;
}

/* What a host that ended may have drawn of UNGRANTED tokens since it was last
   heard of: one update draws no more.  */
static uint64_t
hold_back_of (uint64_t ungranted, double max_fraction)
{
  return max_fraction >= 1 ? ungranted
                           : (uint64_t)(max_fraction * (double)ungranted);
}

/* Determines, in the second half of the hold, which of the hosts that reported
   accounts still run.  For one that does not reach the store, this host raises
   the page.  For one that is silent, it also holds back what that host may
   have drawn after its last report.  Returns the number of these tokens.  */
uint64_t
ds_ledger_restore_check_reports (struct ds_ledger_restore *restore,
                                 const struct ds_store_era *era,
                                 double max_fraction,
                                 const struct ds_ledger_restore_peers *peers,
                                 uint64_t now_ms)
{
  uint64_t held_back = 0;

  if (restore->reports_checked || restore->report_count == 0
      || now_ms - era->detected_ms < era->hold_ms / 2)
    return 0;
  restore->reports_checked = true;
  for (size_t i = 0; i < restore->report_count; i++)
    {
      struct ds_ledger_report *report = &restore->reports[i];
      enum ds_reporter_state state = peers->state (
          report->reporter, era->detected_ms, peers->user_data);

      if (state == DS_REPORTER_CONNECTED)
        continue;
      restore->raise_ms = now_ms + restore->delay_ms;
      restore->read_again = true;
      if (state == DS_REPORTER_CUT_OFF || report->held_back > 0)
        continue;
      report->held_back = hold_back_of (report->ungranted, max_fraction);
      held_back += report->held_back;
    }
  return held_back;
}

/* Completes PAGE in ERA: from now on it grants tokens.  If no host that runs
   has seen it before, each account holds back what its home may have drawn.
   The records of releases are those of a copy; each holder writes its own
   again with its next update.  */
static uint64_t
complete (struct ds_ledger_page *page, uint64_t era, double max_fraction)
{
  uint64_t held_back = 0;

  for (size_t i = 0; i < page->account_count; i++)
    {
      struct ds_ledger_account *account = &page->accounts[i];
      uint64_t tokens
          = page->witness_era < era ? hold_back_of (
                ds_ledger_account_ungranted (account), max_fraction)
                                    : 0;

      account->granted += tokens;
      held_back += tokens;
      /* An account that is younger than the last completion had no tokens
         granted then.  */
      if (page->era > 0
          && (account->base_count == 0
              || account->bases[account->base_count - 1].era < page->era))
        add_base (account, page->era, 0);
      add_base (account, era, committed (account));
    }
  page->era = era;
  page->release_count = 0;
  return held_back;
}

/* Raises PAGE to what this host and those that reported to it have seen.  */
static int
raise_all (const struct ds_ledger_restore *restore,
           struct ds_ledger_page *page)
{
  if (restore->marks != NULL && merge (page, restore->marks) != 0)
    return DS_ENOMEM;
  for (size_t i = 0; i < restore->report_count; i++)
    {
      const struct ds_ledger_report *report = &restore->reports[i];
      struct ds_ledger_account seen = {
        .limit = report->limit,
        .version = report->version,
        .settled = report->settled,
      };
      struct ds_ledger_account *account
          = ds_ledger_page_find_or_add (page, report->workspace);
      uint64_t sum = report->limit + report->held_back;

      if (account == NULL)
        return DS_ENOMEM;
      sum = sum > report->ungranted ? sum - report->ungranted : 0;
      seen.granted = sum > report->settled ? sum - report->settled : 0;
      raise_account (account, page->era, &seen, report->era);
    }
  return 0;
}

static bool
is_empty (const struct ds_ledger_restore *restore)
{
  return restore->marks == NULL && restore->report_count == 0;
}

/* Forgets what was seen in earlier eras.  */
static void
retire (struct ds_ledger_restore *restore)
{
  TALLOC_FREE (restore->marks);
  TALLOC_FREE (restore->reports);
  restore->report_count = 0;
  restore->raise_ms = 0;
}

/* Handles PAGE as the store has it: raises it, in memory only, to what this
   host has seen, and determines whether the store has to be called again.  */
void
ds_ledger_restore_observe (struct ds_ledger_restore *restore,
                           struct ds_ledger_page *page,
                           const struct ds_store_era *era, uint64_t now_ms)
{
  struct sums before = sum_up (page);
  bool has_witness = page->witness_era == era->era;

  if (page->era == era->era)
    restore->completed_era = era->era;
  if (is_empty (restore) || raise_all (restore, page) != 0)
    return;
  if (differ (sum_up (page), before) || !has_witness)
    return;
  if (page->era == era->era)
    retire (restore);
  else if (restore->raise_ms > 0
           && ds_store_era_is_held (era, page->era, now_ms))
    {
      /* A host that did not know of the new era yet may still replace the
         page by an older one, so it is checked once more.  */
      restore->read_again = true;
      restore->raise_ms = era->detected_ms + era->hold_ms;
    }
}

/* Raises PAGE, which is to be written, to what this host has seen in earlier
   eras and, after the hold, completes it in the present one.  While it is
   held, nothing may be drawn from it or settled in it.  MAX_FRACTION is the
   greatest part of the tokens left that a host draws.  */
int
ds_ledger_restore_apply (struct ds_ledger_restore *restore,
                         struct ds_ledger_page *page,
                         const struct ds_store_era *era, double max_fraction,
                         uint64_t now_ms,
                         struct ds_ledger_restore_result *result)
{
  struct sums before = sum_up (page);
  struct sums after;
  int status;

  *result = (struct ds_ledger_restore_result){
    .held = ds_store_era_is_held (era, page->era, now_ms),
  };
  status = raise_all (restore, page);
  if (status != 0)
    return status;
  if (!is_empty (restore) && page->witness_era < era->era)
    {
      page->witness_era = era->era;
      result->changed = true;
    }
  if (!result->held && page->era < era->era)
    {
      /* Hosts of an earlier version drop the members of the page; what was
         held back before is granted then.  */
      if (restore->completed_era == era->era)
        page->witness_era = era->era;
      result->held_back = complete (page, era->era, max_fraction);
      result->changed = true;
    }
  after = sum_up (page);
  result->raised = after.committed - before.committed;
  result->changed = result->changed || differ (before, after);
  return 0;
}
