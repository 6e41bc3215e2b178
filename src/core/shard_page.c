#include "shard_internal.h"

#include <string.h>

/* Minimum interval between repeated reads of a page.  */
#define REREAD_INTERVAL_MS 100
/* A call without a response for this long is expected to fail; the platform
   normally responds within milliseconds.  */
#define SLOW_CALL_MS 300

static void
release_seal (struct seal *seal)
{
  ds_sealed_journal_free (seal->content);
}

/* The page NUMBER, added if it is new.  */
struct page *
page_find_or_add (struct ds_shard *shard, uint32_t number)
{
  struct page *page
      = g_hash_table_lookup (shard->pages, GUINT_TO_POINTER (number));

  if (page != NULL)
    return page;
  page = g_new0 (struct page, 1);
  page->number = number;
  page->next_operation = 1;
  page->grants = g_ptr_array_new ();
  page->unbilled = g_ptr_array_new ();
  page->seals = g_array_new (FALSE, TRUE, sizeof (struct seal));
  g_hash_table_insert (shard->pages, GUINT_TO_POINTER (number), page);
  return page;
}

/* Frees a page, as the destructor of the shard's table.  */
void
page_release (gpointer data)
{
  struct page *page = data;

  update_discard (page);
  ds_ledger_free (page->ledger);
  g_ptr_array_free (page->grants, TRUE);
  g_ptr_array_free (page->unbilled, TRUE);
  for (guint i = 0; i < page->seals->len; i++)
    release_seal (&g_array_index (page->seals, struct seal, i));
  g_array_free (page->seals, TRUE);
  g_free (page);
}

/* Schedules an update of PAGE: at once when IS_URGENT, else with the next
   group commit, at a random time so that hosts do not write simultaneously. */
void
page_schedule_update (struct ds_shard *shard, struct page *page,
                      bool is_urgent)
{
  uint64_t flush = shard->options.flush_ms;

  if (is_urgent)
    page->is_urgent = true;
  if (page->flush_at == 0)
    page->flush_at
        = shard->now + flush / 2
          + (uint64_t)(g_rand_double (shard->random) * (double)flush);
}

static void
read_page (struct ds_shard *shard, struct page *page)
{
  page->is_reading = true;
  page->call_started_at = shard->now;
  shard_add_action (shard, DS_ACTION_PAGE_READ)->page_read.page = page->number;
}

static void
write_update (struct ds_shard *shard, struct page *page)
{
  struct ds_action *action = shard_add_action (shard, DS_ACTION_PAGE_WRITE);
  struct ds_ledger *copy = NULL;

  page->is_writing = true;
  page->call_started_at = shard->now;
  if (ds_ledger_copy (&copy, shard->actions->owner, page->update->ledger) < 0)
    copy = NULL;
  action->page_write.page = page->number;
  action->page_write.base_version = page->update->base_version;
  action->page_write.ledger = copy;
}

static void
finish_seal (struct ds_shard *shard, struct page *page, guint index)
{
  struct seal *seal = &g_array_index (page->seals, struct seal, index);
  struct ds_action *action = shard_add_action (shard, DS_ACTION_HOLDER_SEALED);

  action->holder_sealed.page = page->number;
  action->holder_sealed.incarnation = seal->incarnation;
  action->holder_sealed.was_sealed = seal->was_sealed;
  release_seal (seal);
  g_array_remove_index (page->seals, index);
}

static bool
has_entries (const struct ds_ledger *ledger, uint64_t incarnation)
{
  if (ledger == NULL)
    return false;
  for (size_t i = 0; i < ledger->account_count; i++)
    if (ds_account_holder (&ledger->accounts[i], incarnation) != NULL)
      return true;
  return ds_ledger_writer (ledger, incarnation) != NULL;
}

/* Whether another host has applied SEAL to the page.  False for a seal with
   transfers, which may be newer than those of the other host.  */
static bool
is_applied (const struct ds_ledger *ledger, const struct seal *seal)
{
  const struct ds_writer *writer
      = ledger != NULL ? ds_ledger_writer (ledger, seal->incarnation) : NULL;

  return writer != NULL && writer->sealed
         && seal->content->transfer_count == 0;
}

/* Finishes the seals that need no update: those of hosts without entries in
   the page, since a recovery covers every page, and those already applied,
   since several backups may recover the same host.  */
static void
finish_seals_without_update (struct ds_shard *shard, struct page *page)
{
  for (guint i = page->seals->len; i-- > 0;)
    {
      struct seal *seal = &g_array_index (page->seals, struct seal, i);
      bool applied = is_applied (page->ledger, seal);
      bool has_content = seal->content->record_count > 0
                         || seal->content->transfer_count > 0;

      if (!applied
          && (has_content || has_entries (page->ledger, seal->incarnation)))
        continue;
      seal->was_sealed = applied;
      finish_seal (shard, page, i);
    }
}

/* Finishes the requests and seals of the update, which took effect.  */
static void
finish_update (struct ds_shard *shard, struct page *page)
{
  struct update *update = page->update;

  page->next_operation = update->operation + 1;
  for (guint i = 0; i < update->settled->len; i++)
    {
      struct request *request = g_ptr_array_index (update->settled, i);

      g_ptr_array_remove (page->unbilled, request);
      request_mark_billed (shard, request);
    }
  for (guint i = page->seals->len; i-- > 0;)
    if (g_array_index (page->seals, struct seal, i).update
        == update->operation)
      finish_seal (shard, page, i);
  update_discard (page);
}

/* Updates this host's grants from the page.  */
static void
sync_grants (struct ds_shard *shard, struct page *page)
{
  for (guint i = 0; i < page->grants->len; i++)
    {
      struct grant *grant = g_ptr_array_index (page->grants, i);
      const struct ds_account *account
          = page->ledger != NULL
                ? ds_ledger_account (page->ledger, grant->budget)
                : NULL;
      const struct ds_holder *holder
          = account != NULL
                ? ds_account_holder (account, shard->options.incarnation)
                : NULL;

      grant->granted = holder != NULL && !holder->sealed ? holder->granted : 0;
      if (page->update == NULL)
        grant->returning = 0;
      if (account != NULL)
        grant_sync_transfers (shard, grant, account);
    }
}

static bool
has_provisional (const struct ds_ledger *ledger)
{
  for (size_t i = 0; i < ledger->account_count; i++)
    for (size_t j = 0; j < ledger->accounts[i].holder_count; j++)
      if (ledger->accounts[i].holders[j].provisional_count > 0)
        return true;
  return false;
}

static void
write_archive_if_due (struct ds_shard *shard, struct page *page,
                      bool is_written)
{
  struct ds_action *action;
  struct ds_ledger *copy = NULL;
  size_t threshold = is_written ? DS_LEDGER_ARCHIVE_BILLS
                                : 2 * (size_t)DS_LEDGER_ARCHIVE_BILLS;

  if (page->is_archiving || page->is_archived
      || page->ledger->bill_count < threshold
      || ds_ledger_copy (&copy, shard->actions->owner, page->ledger) < 0)
    return;
  page->is_archiving = true;
  page->archive_number = page->ledger->archived;
  action = shard_add_action (shard, DS_ACTION_ARCHIVE_WRITE);
  action->archive_write.page = page->number;
  action->archive_write.number = page->archive_number;
  action->archive_write.ledger = copy;
  action->archive_write.count = DS_LEDGER_ARCHIVE_BILLS;
}

/* Determines from newer content whether the update under way took effect.  */
static void
resolve_update (struct ds_shard *shard, struct page *page, bool is_written)
{
  const struct ds_writer *writer
      = page->ledger != NULL
            ? ds_ledger_writer (page->ledger, shard->options.incarnation)
            : NULL;
  uint64_t version = page->ledger != NULL ? page->ledger->version : 0;

  if (page->update == NULL)
    return;
  if (is_written
      || (!shard->is_sealed && writer != NULL
          && writer->operation >= page->update->operation))
    finish_update (shard, page);
  else if (version > page->update->base_version)
    {
      page->is_closed = false;
      update_discard (page);
      page->is_urgent = true;
    }
}

static void
update_content (struct page *page, const struct ds_ledger *ledger)
{
  struct ds_ledger *copy;

  if (ledger == NULL)
    {
      /* The object has been deleted.  The next update creates it again from
         the last known content.  */
      if (page->ledger != NULL)
        page->ledger->version = 0;
      return;
    }
  if (page->ledger != NULL && ledger->version <= page->ledger->version)
    return;
  if (ds_ledger_copy (&copy, NULL, ledger) < 0)
    return;
  ds_ledger_free (page->ledger);
  page->ledger = copy;
}

/* Returns tokens drawn by an update after the recovery of its host.  No
   request was dispatched with them: the journal was sealed, and so was that
   host in every page with journaled requests.  */
static void
return_late_draws (struct ds_shard *shard, struct page *page)
{
  if (g_hash_table_size (shard->closed_incarnations) == 0
      || page->ledger == NULL)
    return;
  for (size_t i = 0; i < page->ledger->account_count; i++)
    {
      const struct ds_account *account = &page->ledger->accounts[i];

      for (size_t j = 0; j < account->holder_count; j++)
        if (!account->holders[j].sealed
            && g_hash_table_contains (shard->closed_incarnations,
                                      &account->holders[j].incarnation))
          page_add_seal (shard, page, account->holders[j].incarnation, NULL,
                         0);
    }
}

/* Handles the content of PAGE from the platform; LEDGER is null when the
   object does not exist.  */
void
page_content (struct ds_shard *shard, struct page *page,
              const struct ds_ledger *ledger, bool is_written)
{
  const struct ds_writer *writer;

  page->is_reading = false;
  page->is_writing = false;
  page->is_failing = false;
  page->backoff_ms = 0;
  page->retry_at = 0;
  update_content (page, ledger);
  page->is_loaded = true;
  page->refreshed_at = shard->now;
  resolve_update (shard, page, is_written);
  sync_grants (shard, page);
  writer = page->ledger != NULL
               ? ds_ledger_writer (page->ledger, shard->options.incarnation)
               : NULL;
  if (writer != NULL && writer->sealed && !page->is_closed)
    shard_seal (shard);
  if (page->ledger != NULL)
    {
      if (!has_provisional (page->ledger))
        page->provisional_since = 0;
      else if (page->provisional_since == 0)
        page->provisional_since = shard->now > 0 ? shard->now : 1;
      write_archive_if_due (shard, page, is_written);
    }
  return_late_draws (shard, page);
  for (guint i = 0; i < page->grants->len; i++)
    grant_serve_waiting (shard, g_ptr_array_index (page->grants, i));
  page_tick (shard, page);
}

/* Handles a failed call for PAGE, which is retried after an exponential
   backoff with jitter, so that hosts do not retry simultaneously after an
   outage.  */
void
page_failed (struct ds_shard *shard, struct page *page)
{
  uint64_t backoff = page->backoff_ms;

  page->is_reading = false;
  page->is_writing = false;
  page->is_failing = true;
  if (backoff == 0)
    backoff = shard->options.backoff_min_ms;
  page->retry_at
      = shard->now + backoff / 2
        + (uint64_t)(g_rand_double (shard->random) * (double)backoff);
  page->backoff_ms = 2 * backoff < shard->options.backoff_max_ms
                         ? 2 * backoff
                         : shard->options.backoff_max_ms;
}

/* Handles the result of writing archive NUMBER; a failed write is retried with
   the next content of the page.  */
void
page_archive_written (struct ds_shard *shard, struct page *page,
                      uint64_t number, bool is_written)
{
  page->is_archiving = false;
  if (number != page->archive_number)
    return;
  page->is_archived = is_written;
  /* A page that fills faster than its hosts flush drops the bills at once.  */
  page_schedule_update (shard, page,
                        is_written && page->ledger != NULL
                            && page->ledger->bill_count
                                   >= 2 * (size_t)DS_LEDGER_ARCHIVE_BILLS);
}

/* Adds the recovery of INCARNATION to this page.  RECORDS are copied.  */
void
page_add_seal (struct ds_shard *shard, struct page *page, uint64_t incarnation,
               const struct ds_record *records, size_t count)
{
  struct seal seal = { .incarnation = incarnation };

  for (guint i = 0; i < page->seals->len; i++)
    if (g_array_index (page->seals, struct seal, i).incarnation == incarnation)
      return;
  if (ds_sealed_journal_new (&seal.content, NULL, incarnation, records, count)
      < 0)
    return;
  g_array_append_val (page->seals, seal);
  /* The sealed host may have written the page after it was read here.  */
  page->is_loaded = false;
  page_schedule_update (shard, page, true);
}

static bool
has_waiting (const struct page *page)
{
  for (guint i = 0; i < page->grants->len; i++)
    if (((const struct grant *)g_ptr_array_index (page->grants, i))
            ->waiting->len
        > 0)
      return true;
  return false;
}

static bool
has_idle_tokens (const struct ds_shard *shard, const struct page *page)
{
  for (guint i = 0; i < page->grants->len; i++)
    {
      const struct grant *grant = g_ptr_array_index (page->grants, i);

      if (grant->granted > 0 && grant_available (shard, grant) > 0
          && (shard->is_stopping
              || shard->now - grant->last_arrival >= shard->options.idle_ms))
        return true;
    }
  return false;
}

static bool
has_unsynced (const GArray *transfers, uint64_t committed)
{
  for (guint i = 0; i < transfers->len; i++)
    {
      const struct transfer *transfer
          = &g_array_index (transfers, struct transfer, i);

      if (transfer->total > transfer->page_total
          && transfer->sequence <= committed)
        return true;
    }
  return false;
}

/* Whether PAGE lacks settlements or transfers that the journal has committed.
   When they cannot be applied, another host has to change the page first,
   which only a read can show.  */
static bool
has_unsettled (const struct ds_shard *shard, const struct page *page)
{
  uint64_t committed = ds_journal_committed_sequence (shard->journal);

  if (page->unbilled->len > 0
      && ((const struct request *)g_ptr_array_index (page->unbilled, 0))
                 ->sequence
             <= committed)
    return true;
  for (guint i = 0; !shard->is_sealed && i < page->grants->len; i++)
    {
      const struct grant *grant = g_ptr_array_index (page->grants, i);

      if (has_unsynced (grant->sent, committed)
          || has_unsynced (grant->received, committed))
        return true;
    }
  return false;
}

static void
check_idle (struct ds_shard *shard, struct page *page)
{
  uint64_t period
      = shard->is_stopping ? REREAD_INTERVAL_MS : shard->options.idle_ms / 4;

  if (shard->now - page->idle_checked_at < period)
    return;
  page->idle_checked_at = shard->now;
  if (has_idle_tokens (shard, page)
      || (page->provisional_since > 0
          && shard->now - page->provisional_since
                 >= shard->options.finalize_ms))
    page_schedule_update (shard, page, false);
  if (shard->is_stopping && !page->is_closed && page->ledger != NULL
      && ds_ledger_writer (page->ledger, shard->options.incarnation) != NULL)
    page_schedule_update (shard, page, true);
}

/* Whether a request or change waits that cannot be applied to the known
   content, which may be outdated: others may have returned tokens, moved some
   here, or added an entry of this host with a transfer.  */
static bool
needs_newer_content (const struct ds_shard *shard, const struct page *page)
{
  return has_waiting (page) || page->seals->len > 0
         || (shard->is_sealed && page->unbilled->len > 0)
         || has_unsettled (shard, page);
}

static void
start_update (struct ds_shard *shard, struct page *page)
{
  page->is_urgent = false;
  page->flush_at = 0;
  finish_seals_without_update (shard, page);
  page->update = update_plan (shard, page);
  if (page->update != NULL)
    write_update (shard, page);
  else if (needs_newer_content (shard, page)
           && shard->now - page->refreshed_at >= REREAD_INTERVAL_MS)
    read_page (shard, page);
  if (page->unbilled->len > 0 || page->seals->len > 0
      || has_unsettled (shard, page))
    page_schedule_update (shard, page, false);
}

/* Starts the call that the page needs now.  At most one is under way.  */
void
page_tick (struct ds_shard *shard, struct page *page)
{
  if (page->is_reading || page->is_writing || shard->now < page->retry_at)
    return;
  if (page->update != NULL)
    {
      write_update (shard, page);
      return;
    }
  check_idle (shard, page);
  if (!page->is_urgent && (page->flush_at == 0 || shard->now < page->flush_at))
    return;
  if (!page->is_loaded || page->is_failing)
    read_page (shard, page);
  else
    start_update (shard, page);
}

/* Whether the platform has failed to serve PAGE or is expected to: a call
   times out only after a request has stopped waiting.  */
bool
page_is_unreachable (const struct ds_shard *shard, const struct page *page)
{
  return page->is_failing
         || ((page->is_reading || page->is_writing)
             && shard->now - page->call_started_at >= SLOW_CALL_MS);
}

/* Whether this host has nothing to write to PAGE.  */
bool
page_is_idle (const struct page *page)
{
  return page->update == NULL && page->unbilled->len == 0
         && page->seals->len == 0;
}
