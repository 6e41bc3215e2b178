#include "shard_internal.h"

/* Plans the changes that this host has to make to a ledger page, based on its
   last known content.  */

/* Most free tokens of a grant, in multiples of the demand in the last one to
   two windows of 30 s: the demand of at least ten minutes.  */
#define HOLD_WINDOWS_MAX 20
/* Settlements wait while a page has this many bills: a bill takes less than
   400 bytes, and an object of the platform at most 1 MB.  */
#define PAGE_BILLS_MAX 1024

/* Discards the update of PAGE, if any, whose outcome is known.  */
void
update_discard (struct page *page)
{
  if (page->update == NULL)
    return;
  for (guint i = 0; i < page->update->settled->len; i++)
    ((struct request *)g_ptr_array_index (page->update->settled, i))->update
        = 0;
  for (guint i = 0; i < page->seals->len; i++)
    g_array_index (page->seals, struct seal, i).update = 0;
  ds_ledger_free (page->update->ledger);
  g_ptr_array_free (page->update->settled, TRUE);
  g_free (page->update);
  page->update = NULL;
}

/* Applies OP to the new content.  False when OP is not possible, which leaves
   the content unchanged.  */
static bool
apply (struct update *update, const struct ds_ledger_op *op, bool *changed)
{
  if (ds_ledger_apply (update->ledger, op) < 0)
    return false;
  *changed = true;
  return true;
}

static void
add_transfers (const struct ds_shard *shard, const struct grant *grant,
               const GArray *transfers, bool is_received, GArray *ops)
{
  uint64_t committed = ds_journal_committed_sequence (shard->journal);
  uint64_t self = shard->options.incarnation;

  for (guint i = 0; i < transfers->len; i++)
    {
      const struct transfer *transfer
          = &g_array_index (transfers, struct transfer, i);
      struct ds_ledger_op op = {
        .kind = DS_LEDGER_TRANSFER,
        .incarnation = self,
        .budget = grant->budget,
        .transfer = { .giver = is_received ? transfer->peer : self,
                      .receiver = is_received ? self : transfer->peer,
                      .total = transfer->total },
      };

      if (transfer->total > transfer->page_total
          && transfer->sequence <= committed)
        g_array_append_val (ops, op);
    }
}

static uint64_t
transferred (const struct ds_ledger *ledger, const struct ds_ledger_op *op)
{
  const struct ds_account *account = ds_ledger_account (ledger, op->budget);

  return account != NULL ? ds_account_transferred (account, op->transfer.giver,
                                                   op->transfer.receiver)
                         : 0;
}

/* Enters the transfers from and to this host, as far as the givers have the
   tokens in the page.  */
static void
plan_transfers (struct ds_shard *shard, struct grant *grant,
                struct update *update, bool *changed)
{
  GArray *ops = g_array_new (FALSE, FALSE, sizeof (struct ds_ledger_op));
  uint64_t before = 0;
  uint64_t after = 0;

  add_transfers (shard, grant, grant->received, true, ops);
  add_transfers (shard, grant, grant->sent, false, ops);
  for (guint i = 0; i < ops->len; i++)
    before += transferred (update->ledger,
                           &g_array_index (ops, struct ds_ledger_op, i));
  if (ops->len > 0)
    (void)ds_ledger_apply_transfers (
        update->ledger, &g_array_index (ops, struct ds_ledger_op, 0),
        ops->len);
  for (guint i = 0; i < ops->len; i++)
    after += transferred (update->ledger,
                          &g_array_index (ops, struct ds_ledger_op, i));
  *changed = *changed || after > before;
  g_array_free (ops, TRUE);
}

static void
plan_limit (struct grant *grant, struct update *update, bool *changed)
{
  const struct ds_account *account
      = ds_ledger_account (update->ledger, grant->budget);
  struct ds_ledger_op op = {
    .kind = DS_LEDGER_SET_LIMIT,
    .budget = grant->budget,
    .set_limit
    = { .prepaid = grant->prepaid, .budget_version = grant->budget_version },
  };

  if (!grant->is_configured
      || (account != NULL && account->budget_version >= grant->budget_version)
      || (!grant->responsible && grant->waiting->len == 0
          && grant->granted == 0))
    return;
  apply (update, &op, changed);
}

/* Tokens that GRANT should have free with UNGRANTED tokens left in the page:
   draw_percent of what this host could have, and at most HOLD_WINDOWS_MAX
   times its demand, so that a host with little demand holds few.  */
static uint64_t
hold_target (const struct ds_shard *shard, const struct grant *grant,
             uint64_t ungranted)
{
  uint64_t obtainable = ungranted + grant_available (shard, grant);
  uint64_t share = obtainable / 100 * grant->draw_percent;
  uint64_t demand = grant_demand (shard, grant) * HOLD_WINDOWS_MAX;

  return share < demand ? share : demand;
}

/* Tokens to draw for GRANT with UNGRANTED ones left in the page.  A draw of
   fewer than *MINIMUM is of no use.  */
static uint64_t
draw_amount (const struct ds_shard *shard, const struct grant *grant,
             uint64_t ungranted, uint64_t *minimum)
{
  uint64_t available = grant_available (shard, grant);
  uint64_t needed = grant_waiting_tokens (grant);
  uint64_t target = hold_target (shard, grant, ungranted);

  if (needed <= available)
    {
      *minimum = 1;
      return available < target / 4 * 3 ? target - available : 0;
    }
  needed -= available;
  *minimum
      = ((const struct request *)g_ptr_array_index (grant->waiting, 0))->tokens
        - available;
  return target > needed ? target : needed;
}

static void
plan_draw (struct ds_shard *shard, struct grant *grant, struct update *update,
           bool *changed)
{
  const struct ds_account *account
      = ds_ledger_account (update->ledger, grant->budget);
  struct ds_ledger_op op = {
    .kind = DS_LEDGER_DRAW,
    .incarnation = shard->options.incarnation,
    .budget = grant->budget,
  };
  uint64_t ungranted;

  if (account == NULL || shard->is_stopping)
    return;
  ungranted = ds_account_ungranted (account);
  op.draw.wanted = draw_amount (shard, grant, ungranted, &op.draw.minimum);
  if (op.draw.wanted == 0 || ungranted < op.draw.minimum)
    return;
  apply (update, &op, changed);
}

static void
plan_return (struct ds_shard *shard, struct grant *grant,
             struct update *update, bool *changed)
{
  uint64_t available = grant_available (shard, grant);
  const struct ds_account *account
      = ds_ledger_account (update->ledger, grant->budget);
  const struct ds_holder *holder
      = account != NULL
            ? ds_account_holder (account, shard->options.incarnation)
            : NULL;
  bool is_idle = shard->now - grant->last_arrival >= shard->options.idle_ms;
  uint64_t kept = 0;
  struct ds_ledger_op op = {
    .kind = DS_LEDGER_RETURN,
    .incarnation = shard->options.incarnation,
    .budget = grant->budget,
  };

  if (available == 0 || holder == NULL || grant->waiting->len > 0)
    return;
  if (!is_idle && !shard->is_stopping)
    kept = hold_target (shard, grant, ds_account_ungranted (account)) * 2;
  if (available <= kept)
    return;
  available -= kept;
  op.return_unused.tokens
      = available < holder->granted ? available : holder->granted;
  if (apply (update, &op, changed))
    grant->returning = op.return_unused.tokens;
}

/* Plans the late settlements of a sealed incarnation, once the page has been
   sealed.  A request whose settlement fails has already been billed.  */
static void
plan_late_settlements (struct ds_shard *shard, struct page *page,
                       struct update *update, bool *changed)
{
  const struct ds_writer *writer
      = ds_ledger_writer (update->ledger, shard->options.incarnation);

  if (writer == NULL || !writer->sealed)
    return;
  for (guint i = 0; i < page->unbilled->len;)
    {
      struct request *request = g_ptr_array_index (page->unbilled, i);
      struct ds_ledger_op op = {
        .kind = DS_LEDGER_SETTLE_LATE,
        .incarnation = shard->options.incarnation,
        .budget = request->grant->budget,
        .settle = { .bill = request->bill },
      };

      if (apply (update, &op, changed))
        {
          request->update = update->operation;
          g_ptr_array_add (update->settled, request);
          i++;
          continue;
        }
      g_ptr_array_remove_index (page->unbilled, i);
      request_mark_billed (shard, request);
    }
}

/* Plans the committed settlements in the order of the journal: a recovery
   regards every settlement up to the last one in the page as billed.  */
static void
plan_settlements (struct ds_shard *shard, struct page *page,
                  struct update *update, bool *changed)
{
  uint64_t committed = ds_journal_committed_sequence (shard->journal);

  for (guint i = 0; i < page->unbilled->len; i++)
    {
      struct request *request = g_ptr_array_index (page->unbilled, i);
      struct ds_ledger_op op = {
        .kind = DS_LEDGER_SETTLE,
        .incarnation = shard->options.incarnation,
        .budget = request->grant->budget,
        .settle
        = { .bill = request->bill, .settle_sequence = request->sequence },
      };

      if (request->sequence > committed
          || update->ledger->bill_count >= PAGE_BILLS_MAX
          || !apply (update, &op, changed))
        return;
      request->update = update->operation;
      g_ptr_array_add (update->settled, request);
    }
}

static bool
apply_seal (struct ds_ledger *ledger, const struct seal *seal)
{
  struct ds_ledger_op op = {
    .kind = DS_LEDGER_SEAL,
    .incarnation = seal->incarnation,
    .seal = { .records = seal->content->records,
              .record_count = seal->content->record_count },
  };

  return ds_ledger_apply_transfers (ledger, seal->content->transfers,
                                    seal->content->transfer_count)
         && ds_ledger_apply (ledger, &op) == 0
         && ds_ledger_check (ledger, NULL) == 0;
}

/* Enters the transfers that a sealed host has journaled, then seals its
   entries.  A seal that is not possible yet, since the page lacks a transfer
   of a third host, leaves the page unchanged.  */
static void
plan_seal (struct seal *seal, struct update *update, bool *changed)
{
  const struct ds_writer *writer
      = ds_ledger_writer (update->ledger, seal->incarnation);
  struct ds_ledger *trial = NULL;

  seal->was_sealed = writer != NULL && writer->sealed;

  if (ds_ledger_copy (&trial, NULL, update->ledger) < 0)
    return;
  if (!apply_seal (trial, seal))
    {
      ds_ledger_free (trial);
      return;
    }
  ds_ledger_free (update->ledger);
  update->ledger = trial;
  seal->update = update->operation;
  *changed = true;
}

static void
plan_finalize (struct ds_shard *shard, struct page *page,
               struct update *update, bool *changed)
{
  if (page->provisional_since == 0
      || shard->now - page->provisional_since < shard->options.finalize_ms)
    return;
  for (size_t i = 0; i < update->ledger->account_count; i++)
    {
      const struct ds_account *account = &update->ledger->accounts[i];

      for (size_t j = account->holder_count; j-- > 0;)
        {
          struct ds_ledger_op op = {
            .kind = DS_LEDGER_FINALIZE,
            .incarnation = account->holders[j].incarnation,
            .budget = account->budget,
          };

          if (account->holders[j].sealed)
            apply (update, &op, changed);
        }
    }
}

static void
plan_archive (struct page *page, struct update *update, bool *changed)
{
  struct ds_ledger_op op = {
    .kind = DS_LEDGER_DROP_ARCHIVED,
    .drop = { .archived = page->archive_number },
  };

  if (page->is_archived && page->archive_number == update->ledger->archived)
    apply (update, &op, changed);
  page->is_archived = false;
}

static void
plan_close (struct ds_shard *shard, struct page *page, struct update *update,
            bool *changed)
{
  struct ds_ledger_op op = {
    .kind = DS_LEDGER_CLOSE,
    .incarnation = shard->options.incarnation,
  };

  if (!shard->is_stopping || shard->is_sealed || shard->running > 0
      || page->is_closed || update->settled->len < page->unbilled->len
      || ds_ledger_writer (update->ledger, shard->options.incarnation) == NULL)
    return;
  for (guint i = 0; i < page->grants->len; i++)
    {
      const struct grant *grant = g_ptr_array_index (page->grants, i);

      if (grant->waiting->len > 0 || grant->reserved > 0)
        return;
    }
  if (apply (update, &op, changed))
    page->is_closed = true;
}

/* Returns an update of PAGE with all changes that this host has to make, or
   null when there are none.  */
struct update *
update_plan (struct ds_shard *shard, struct page *page)
{
  struct update *update = g_new0 (struct update, 1);
  bool changed = false;

  update->operation = page->next_operation;
  update->settled = g_ptr_array_new ();
  if (page->ledger == NULL
          ? ds_ledger_new (&update->ledger, NULL) < 0
          : ds_ledger_copy (&update->ledger, NULL, page->ledger) < 0)
    goto no_update;
  update->base_version = update->ledger->version;
  if (!shard->is_sealed
      && ds_ledger_record_update (update->ledger, shard->options.incarnation,
                                  update->operation)
             < 0)
    goto no_update;
  for (guint i = 0; i < page->seals->len; i++)
    plan_seal (&g_array_index (page->seals, struct seal, i), update, &changed);
  for (guint i = 0; !shard->is_sealed && i < page->grants->len; i++)
    plan_transfers (shard, g_ptr_array_index (page->grants, i), update,
                    &changed);
  if (shard->is_sealed)
    plan_late_settlements (shard, page, update, &changed);
  else
    plan_settlements (shard, page, update, &changed);
  for (guint i = 0; !shard->is_sealed && i < page->grants->len; i++)
    {
      struct grant *grant = g_ptr_array_index (page->grants, i);

      plan_limit (grant, update, &changed);
      plan_draw (shard, grant, update, &changed);
      plan_return (shard, grant, update, &changed);
    }
  plan_finalize (shard, page, update, &changed);
  plan_archive (page, update, &changed);
  plan_close (shard, page, update, &changed);
  if (changed && ds_ledger_check (update->ledger, NULL) == 0)
    return update;

no_update:
  for (guint i = 0; i < page->grants->len; i++)
    ((struct grant *)g_ptr_array_index (page->grants, i))->returning = 0;
  page->update = update;
  update_discard (page);
  return NULL;
}
