#include "daisystep/ledger.h"

#include <inttypes.h>
#include <string.h>

/* Maximum number of rounds for transfers in a cycle; each round moves at least
   one token.  */
#define TRANSFER_ROUNDS_MAX 10000

/* Appends a zeroed element to the talloc array *ARRAY of *COUNT elements.
   Returns it, or null when memory is short.  */
#define APPEND(owner, array, count, type)                                     \
  ((type *)append_element ((owner), (void **)(array), (count), sizeof (type)))

static void *
append_element (TALLOC_CTX *owner, void **array, size_t *count, size_t size)
{
  size_t needed = (*count + 1) * size;
  size_t capacity = talloc_get_size (*array);
  char *grown = *array;

  if (needed > capacity)
    grown = talloc_realloc_size (owner, *array, needed + needed / 2);
  if (grown == NULL)
    return NULL;
  *array = grown;
  memset (grown + *count * size, 0, size);
  (*count)++;
  return grown + (*count - 1) * size;
}

static int
copy_bill (TALLOC_CTX *owner, struct ds_bill *out,
           const struct ds_bill *source)
{
  *out = *source;
  out->budget = ds_str_copy (owner, source->budget);
  out->workspace = ds_str_copy (owner, source->workspace);
  out->offering = ds_str_copy (owner, source->offering);
  return 0;
}

static int
add_bill (struct ds_ledger *ledger, const struct ds_bill *bill)
{
  struct ds_bill *slot
      = APPEND (ledger, &ledger->bills, &ledger->bill_count, struct ds_bill);

  if (slot == NULL)
    return DS_ENOMEM;
  return copy_bill (ledger, slot, bill);
}

static struct ds_account *
add_account (struct ds_ledger *ledger, struct ds_str budget)
{
  struct ds_account *account = APPEND (
      ledger, &ledger->accounts, &ledger->account_count, struct ds_account);

  if (account != NULL)
    account->budget = ds_str_copy (ledger, budget);
  return account;
}

static struct ds_holder *
find_or_add_holder (struct ds_ledger *ledger, struct ds_account *account,
                    uint64_t incarnation)
{
  struct ds_holder *holder = ds_account_holder (account, incarnation);

  if (holder != NULL)
    return holder;
  holder = APPEND (ledger, &account->holders, &account->holder_count,
                   struct ds_holder);
  if (holder != NULL)
    holder->incarnation = incarnation;
  return holder;
}

static void
remove_transfers_between_absent (struct ds_account *account)
{
  size_t kept = 0;

  for (size_t i = 0; i < account->transfer_count; i++)
    {
      const struct ds_transfer *transfer = &account->transfers[i];

      if (ds_account_holder (account, transfer->giver) != NULL
          || ds_account_holder (account, transfer->receiver) != NULL)
        account->transfers[kept++] = *transfer;
    }
  account->transfer_count = kept;
}

static void
remove_holder (struct ds_account *account, struct ds_holder *holder)
{
  size_t index = (size_t)(holder - account->holders);

  talloc_free (holder->provisional);
  memmove (holder, holder + 1,
           (account->holder_count - index - 1) * sizeof *holder);
  account->holder_count--;
  remove_transfers_between_absent (account);
}

/* A sealed holder is kept only while it has provisional bills.  */
static void
remove_sealed_holder_if_empty (struct ds_account *account,
                               struct ds_holder *holder)
{
  if (holder->sealed && holder->provisional_count == 0)
    remove_holder (account, holder);
}

static bool
is_known_key (const struct ds_ledger *ledger, const struct ds_request_id *id)
{
  for (size_t i = 0; i < ledger->keyed_count; i++)
    if (ds_request_id_equal (&ledger->keyed[i], id))
      return true;
  return false;
}

static int
add_key (struct ds_ledger *ledger, const struct ds_request_id *id)
{
  struct ds_request_id *slot;

  if (ledger->keyed_count >= DS_LEDGER_KEYED_IDS)
    {
      memmove (ledger->keyed, ledger->keyed + 1,
               (ledger->keyed_count - 1) * sizeof *ledger->keyed);
      ledger->keyed_count--;
    }
  slot = APPEND (ledger, &ledger->keyed, &ledger->keyed_count,
                 struct ds_request_id);
  if (slot == NULL)
    return DS_ENOMEM;
  *slot = *id;
  return 0;
}

/* Moves BILL's tokens from HOLDER to the settled sum and adds the bill.  A
   keyed bill with a known id is not charged: its tokens return to the budget.
 */
static int
charge (struct ds_ledger *ledger, struct ds_account *account,
        struct ds_holder *holder, const struct ds_bill *bill)
{
  int result;

  if (bill->tokens > holder->granted)
    return DS_ERANGE;
  if (bill->keyed && is_known_key (ledger, &bill->id))
    {
      holder->granted -= bill->tokens;
      return 0;
    }
  if (bill->keyed)
    {
      result = add_key (ledger, &bill->id);
      if (result < 0)
        return result;
    }
  result = add_bill (ledger, bill);
  if (result < 0)
    return result;
  holder->granted -= bill->tokens;
  account->settled += bill->tokens;
  return 0;
}

static int
apply_set_limit (struct ds_ledger *ledger, const struct ds_ledger_op *op)
{
  struct ds_account *account = ds_ledger_account (ledger, op->budget);

  if (account == NULL)
    account = add_account (ledger, op->budget);
  if (account == NULL)
    return DS_ENOMEM;
  if (op->set_limit.budget_version <= account->budget_version)
    return 0;
  account->limit = op->set_limit.prepaid;
  account->budget_version = op->set_limit.budget_version;
  return 0;
}

static int
apply_draw (struct ds_ledger *ledger, struct ds_account *account,
            const struct ds_ledger_op *op)
{
  uint64_t ungranted = ds_account_ungranted (account);
  uint64_t amount = op->draw.wanted < ungranted ? op->draw.wanted : ungranted;
  struct ds_holder *holder;

  if (amount == 0 || amount < op->draw.minimum)
    return 0;
  holder = find_or_add_holder (ledger, account, op->incarnation);
  if (holder == NULL)
    return DS_ENOMEM;
  holder->granted += amount;
  return 0;
}

static int
apply_return (struct ds_account *account, const struct ds_ledger_op *op)
{
  struct ds_holder *holder = ds_account_holder (account, op->incarnation);

  if (holder == NULL || op->return_unused.tokens > holder->granted)
    return DS_ERANGE;
  holder->granted -= op->return_unused.tokens;
  return 0;
}

static int
apply_settle (struct ds_ledger *ledger, struct ds_account *account,
              const struct ds_ledger_op *op)
{
  struct ds_holder *holder = ds_account_holder (account, op->incarnation);
  struct ds_writer *writer = ds_ledger_writer (ledger, op->incarnation);
  int result;

  if (holder == NULL || writer == NULL)
    return DS_ENOTFOUND;
  result = charge (ledger, account, holder, &op->settle.bill);
  if (result < 0)
    return result;
  if (op->settle.settle_sequence > writer->settled_through)
    writer->settled_through = op->settle.settle_sequence;
  return 0;
}

static struct ds_bill *
find_provisional (const struct ds_holder *holder,
                  const struct ds_request_id *id)
{
  for (size_t i = 0; i < holder->provisional_count; i++)
    if (ds_request_id_equal (&holder->provisional[i].id, id))
      return &holder->provisional[i];
  return NULL;
}

static void
remove_provisional (struct ds_holder *holder, struct ds_bill *bill)
{
  size_t index = (size_t)(bill - holder->provisional);

  memmove (bill, bill + 1,
           (holder->provisional_count - index - 1) * sizeof *bill);
  holder->provisional_count--;
}

/* Settles a request of a sealed holder at its real cost.  DS_ENOTFOUND when
   the request has already been billed.  */
static int
apply_settle_late (struct ds_ledger *ledger, struct ds_account *account,
                   const struct ds_ledger_op *op)
{
  struct ds_holder *holder = ds_account_holder (account, op->incarnation);
  struct ds_bill *provisional;
  struct ds_bill bill = op->settle.bill;
  uint64_t reserved;
  int result;

  if (holder == NULL || !holder->sealed)
    return DS_ENOTFOUND;
  provisional = find_provisional (holder, &bill.id);
  if (provisional == NULL)
    return DS_ENOTFOUND;
  reserved = provisional->tokens;
  if (bill.tokens > reserved)
    bill.tokens = reserved;
  result = bill.tokens > 0 ? charge (ledger, account, holder, &bill) : 0;
  if (result < 0)
    return result;
  holder->granted -= reserved - bill.tokens;
  remove_provisional (holder, provisional);
  remove_sealed_holder_if_empty (account, holder);
  return 0;
}

/* Whether INCARNATION has been sealed by a recovery or closed.  */
static bool
is_sealed (const struct ds_ledger *ledger, uint64_t incarnation)
{
  const struct ds_writer *writer = ds_ledger_writer (ledger, incarnation);

  return writer != NULL && writer->sealed;
}

static struct ds_transfer *
find_or_add_transfer (struct ds_ledger *ledger, struct ds_account *account,
                      uint64_t giver, uint64_t receiver)
{
  struct ds_transfer *transfer;

  for (size_t i = 0; i < account->transfer_count; i++)
    if (account->transfers[i].giver == giver
        && account->transfers[i].receiver == receiver)
      return &account->transfers[i];
  transfer = APPEND (ledger, &account->transfers, &account->transfer_count,
                     struct ds_transfer);
  if (transfer != NULL)
    *transfer = (struct ds_transfer){ .giver = giver, .receiver = receiver };
  return transfer;
}

/* Raises the total moved between two holders, as far as the giver has tokens
   in the page; the remainder can follow once transfers to the giver have been
   entered.  Either side may submit the transfer, also repeatedly.  Tokens for
   a sealed receiver return to the budget.  A giver that is sealed or closed
   has entered its transfers in that update.  DS_ERANGE when nothing can be
   moved yet.  */
static int
apply_transfer (struct ds_ledger *ledger, struct ds_account *account,
                const struct ds_ledger_op *op)
{
  struct ds_holder *giver = ds_account_holder (account, op->transfer.giver);
  uint64_t present = ds_account_transferred (account, op->transfer.giver,
                                             op->transfer.receiver);
  struct ds_transfer *transfer;
  struct ds_holder *receiver;
  uint64_t moved;

  if (is_sealed (ledger, op->transfer.giver) || op->transfer.total <= present)
    return 0;
  if (giver == NULL || giver->granted == 0)
    return DS_ERANGE;
  moved = op->transfer.total - present;
  if (moved > giver->granted)
    moved = giver->granted;
  transfer = find_or_add_transfer (ledger, account, op->transfer.giver,
                                   op->transfer.receiver);
  if (transfer == NULL)
    return DS_ENOMEM;
  giver->granted -= moved;
  transfer->total += moved;
  if (is_sealed (ledger, op->transfer.receiver))
    return 0;
  receiver = find_or_add_holder (ledger, account, op->transfer.receiver);
  if (receiver == NULL)
    return DS_ENOMEM;
  receiver->granted += moved;
  return 0;
}

/* Applies transfers, which may form a cycle, until no more tokens move.
   Returns whether all of them are in the page.  */
bool
ds_ledger_apply_transfers (struct ds_ledger *ledger,
                           const struct ds_ledger_op *ops, size_t count)
{
  bool is_complete = false;

  for (int round = 0; !is_complete && round < TRANSFER_ROUNDS_MAX; round++)
    {
      bool has_moved = false;

      is_complete = true;
      for (size_t i = 0; i < count; i++)
        {
          const struct ds_ledger_op *op = &ops[i];
          struct ds_account *account = ds_ledger_account (ledger, op->budget);
          uint64_t before;
          uint64_t after;

          if (account == NULL || is_sealed (ledger, op->transfer.giver))
            continue;
          before = ds_account_transferred (account, op->transfer.giver,
                                           op->transfer.receiver);
          (void)apply_transfer (ledger, account, op);
          after = ds_account_transferred (account, op->transfer.giver,
                                          op->transfer.receiver);
          has_moved = has_moved || after > before;
          is_complete = is_complete && after >= op->transfer.total;
        }
      if (!has_moved)
        return is_complete;
    }
  return is_complete;
}

/* Bills one request of a sealed holder: at its cost if it was settled, else
   provisionally at its reservation.  */
static int
seal_record (struct ds_ledger *ledger, struct ds_account *account,
             struct ds_holder *holder, uint64_t *provisional_tokens,
             const struct ds_seal_record *record)
{
  struct ds_bill *slot;

  if (record->settle_sequence > 0)
    return charge (ledger, account, holder, &record->bill);
  slot = APPEND (ledger, &holder->provisional, &holder->provisional_count,
                 struct ds_bill);
  if (slot == NULL)
    return DS_ENOMEM;
  copy_bill (ledger, slot, &record->bill);
  slot->tokens = record->reserved;
  slot->estimated = true;
  *provisional_tokens += record->reserved;
  return 0;
}

static bool
is_unbilled_record (const struct ds_account *account,
                    const struct ds_writer *writer,
                    const struct ds_seal_record *record)
{
  return ds_str_equal (record->bill.budget, account->budget)
         && !(record->settle_sequence > 0
              && record->settle_sequence <= writer->settled_through);
}

/* Seals the holder's entry in one account.  DS_ERANGE when the records need
   more tokens than it holds, since a transfer to it is not in the page yet. */
static int
seal_account (struct ds_ledger *ledger, struct ds_account *account,
              const struct ds_writer *writer, const struct ds_ledger_op *op)
{
  struct ds_holder *holder = ds_account_holder (account, op->incarnation);
  uint64_t provisional_tokens = 0;

  for (size_t i = 0; i < op->seal.record_count; i++)
    {
      const struct ds_seal_record *record = &op->seal.records[i];
      int result;

      if (!is_unbilled_record (account, writer, record))
        continue;
      if (holder == NULL)
        return DS_ERANGE;
      result
          = seal_record (ledger, account, holder, &provisional_tokens, record);
      if (result < 0)
        return result;
    }
  if (holder == NULL)
    return 0;
  if (provisional_tokens > holder->granted)
    return DS_ERANGE;
  holder->granted = provisional_tokens;
  holder->sealed = true;
  remove_sealed_holder_if_empty (account, holder);
  return 0;
}

/* Seals all entries of a failed incarnation in one step, so that a second
   recovery has no effect.  */
static int
apply_seal (struct ds_ledger *ledger, const struct ds_ledger_op *op)
{
  struct ds_writer *writer = ds_ledger_writer (ledger, op->incarnation);

  if (writer == NULL)
    {
      int result = ds_ledger_record_update (ledger, op->incarnation, 0);

      if (result < 0)
        return result;
      writer = ds_ledger_writer (ledger, op->incarnation);
    }
  if (writer->sealed)
    return 0;
  for (size_t i = 0; i < ledger->account_count; i++)
    {
      int result = seal_account (ledger, &ledger->accounts[i], writer, op);

      if (result < 0)
        return result;
    }
  writer->sealed = true;
  return 0;
}

/* Turns the provisional bills of a sealed holder into final bills at the
   reservation.  */
static int
apply_finalize (struct ds_ledger *ledger, struct ds_account *account,
                const struct ds_ledger_op *op)
{
  struct ds_holder *holder = ds_account_holder (account, op->incarnation);

  if (holder == NULL || !holder->sealed)
    return 0;
  while (holder->provisional_count > 0)
    {
      struct ds_bill *bill
          = &holder->provisional[holder->provisional_count - 1];
      int result = charge (ledger, account, holder, bill);

      if (result < 0)
        return result;
      holder->provisional_count--;
    }
  remove_sealed_holder_if_empty (account, holder);
  return 0;
}

/* Removes the entries of a host that has settled all requests and stops.  */
static int
apply_close (struct ds_ledger *ledger, const struct ds_ledger_op *op)
{
  struct ds_writer *writer = ds_ledger_writer (ledger, op->incarnation);

  for (size_t i = 0; i < ledger->account_count; i++)
    {
      struct ds_account *account = &ledger->accounts[i];
      struct ds_holder *holder = ds_account_holder (account, op->incarnation);

      if (holder != NULL && !holder->sealed)
        remove_holder (account, holder);
    }
  if (writer != NULL)
    writer->sealed = true;
  return 0;
}

/* Removes the bills of archive number op->drop.archived.  Its content is
   always the first DS_LEDGER_ARCHIVE_BILLS bills, whichever host wrote it.  */
static int
apply_drop_archived (struct ds_ledger *ledger, const struct ds_ledger_op *op)
{
  if (op->drop.archived != ledger->archived
      || ledger->bill_count < DS_LEDGER_ARCHIVE_BILLS)
    return 0;
  ledger->bill_count -= DS_LEDGER_ARCHIVE_BILLS;
  memmove (ledger->bills, ledger->bills + DS_LEDGER_ARCHIVE_BILLS,
           ledger->bill_count * sizeof *ledger->bills);
  ledger->archived++;
  return 0;
}

/* Creates an empty page that belongs to OWNER.  */
int
ds_ledger_new (struct ds_ledger **out, TALLOC_CTX *owner)
{
  *out = talloc_zero (owner, struct ds_ledger);
  return *out != NULL ? 0 : DS_ENOMEM;
}

static int
copy_holder (struct ds_ledger *copy, struct ds_holder *out,
             const struct ds_holder *source)
{
  *out = *source;
  out->provisional = NULL;
  out->provisional_count = 0;
  for (size_t i = 0; i < source->provisional_count; i++)
    {
      struct ds_bill *bill = APPEND (copy, &out->provisional,
                                     &out->provisional_count, struct ds_bill);

      if (bill == NULL)
        return DS_ENOMEM;
      copy_bill (copy, bill, &source->provisional[i]);
    }
  return 0;
}

static int
copy_account (struct ds_ledger *copy, const struct ds_account *source)
{
  struct ds_account *account = add_account (copy, source->budget);

  if (account == NULL)
    return DS_ENOMEM;
  account->budget_version = source->budget_version;
  account->limit = source->limit;
  account->settled = source->settled;
  for (size_t i = 0; i < source->holder_count; i++)
    {
      struct ds_holder *holder = APPEND (
          copy, &account->holders, &account->holder_count, struct ds_holder);

      if (holder == NULL
          || copy_holder (copy, holder, &source->holders[i]) < 0)
        return DS_ENOMEM;
    }
  for (size_t i = 0; i < source->transfer_count; i++)
    {
      struct ds_transfer *transfer
          = APPEND (copy, &account->transfers, &account->transfer_count,
                    struct ds_transfer);

      if (transfer == NULL)
        return DS_ENOMEM;
      *transfer = source->transfers[i];
    }
  return 0;
}

/* Makes a deep copy of SOURCE that belongs to OWNER.  */
int
ds_ledger_copy (struct ds_ledger **out, TALLOC_CTX *owner,
                const struct ds_ledger *source)
{
  struct ds_ledger *copy;

  if (ds_ledger_new (&copy, owner) < 0)
    return DS_ENOMEM;
  copy->version = source->version;
  copy->archived = source->archived;
  for (size_t i = 0; i < source->account_count; i++)
    if (copy_account (copy, &source->accounts[i]) < 0)
      goto fail;
  for (size_t i = 0; i < source->writer_count; i++)
    {
      struct ds_writer *writer = APPEND (
          copy, &copy->writers, &copy->writer_count, struct ds_writer);

      if (writer == NULL)
        goto fail;
      *writer = source->writers[i];
    }
  for (size_t i = 0; i < source->bill_count; i++)
    if (add_bill (copy, &source->bills[i]) < 0)
      goto fail;
  for (size_t i = 0; i < source->keyed_count; i++)
    if (add_key (copy, &source->keyed[i]) < 0)
      goto fail;
  *out = copy;
  return 0;

fail:
  talloc_free (copy);
  return DS_ENOMEM;
}

/* Frees LEDGER, which may be null.  */
void
ds_ledger_free (struct ds_ledger *ledger)
{
  talloc_free (ledger);
}

/* Applies OP to LEDGER.  After an error the page may be partly changed and
   must be discarded.  DS_ESEALED when the incarnation is sealed or closed,
   DS_ENOTFOUND for an unknown account or a request that is already billed,
   DS_ERANGE when a holder would spend more than it was granted.  */
int
ds_ledger_apply (struct ds_ledger *ledger, const struct ds_ledger_op *op)
{
  struct ds_account *account = ds_ledger_account (ledger, op->budget);

  switch (op->kind)
    {
    case DS_LEDGER_SET_LIMIT:
      return apply_set_limit (ledger, op);
    case DS_LEDGER_SEAL:
      return apply_seal (ledger, op);
    case DS_LEDGER_CLOSE:
      return apply_close (ledger, op);
    case DS_LEDGER_DROP_ARCHIVED:
      return apply_drop_archived (ledger, op);
    case DS_LEDGER_SETTLE_LATE:
      return account != NULL ? apply_settle_late (ledger, account, op)
                             : DS_ENOTFOUND;
    case DS_LEDGER_FINALIZE:
      return account != NULL ? apply_finalize (ledger, account, op) : 0;
    case DS_LEDGER_TRANSFER:
      return account != NULL ? apply_transfer (ledger, account, op)
                             : DS_ENOTFOUND;
    case DS_LEDGER_DRAW:
    case DS_LEDGER_RETURN:
    case DS_LEDGER_SETTLE:
      break;
    }
  if (is_sealed (ledger, op->incarnation))
    return DS_ESEALED;
  if (account == NULL)
    return DS_ENOTFOUND;
  if (op->kind == DS_LEDGER_DRAW)
    return apply_draw (ledger, account, op);
  if (op->kind == DS_LEDGER_RETURN)
    return apply_return (account, op);
  return apply_settle (ledger, account, op);
}

/* Records that update OPERATION of INCARNATION is in the page.  */
int
ds_ledger_record_update (struct ds_ledger *ledger, uint64_t incarnation,
                         uint64_t operation)
{
  struct ds_writer *writer = ds_ledger_writer (ledger, incarnation);

  if (writer == NULL)
    {
      writer = APPEND (ledger, &ledger->writers, &ledger->writer_count,
                       struct ds_writer);
      if (writer == NULL)
        return DS_ENOMEM;
      writer->incarnation = incarnation;
    }
  if (operation > writer->operation)
    writer->operation = operation;
  return 0;
}

/* Checks the sums of the page; an update that fails the check must not be
   written.  DS_ERANGE with the account in ERROR.  */
int
ds_ledger_check (const struct ds_ledger *ledger, struct ds_error *error)
{
  for (size_t i = 0; i < ledger->account_count; i++)
    {
      const struct ds_account *account = &ledger->accounts[i];
      uint64_t committed;

      if (__builtin_add_overflow (account->settled,
                                  ds_account_granted (account), &committed))
        return ds_error_set (
            error, DS_ERANGE, "ledger check", NULL,
            "budget %.*s: settled and granted tokens overflow",
            DS_STR_ARG (account->budget));
      for (size_t j = 0; j < account->holder_count; j++)
        {
          const struct ds_holder *holder = &account->holders[j];
          uint64_t provisional = 0;

          for (size_t k = 0; k < holder->provisional_count; k++)
            provisional += holder->provisional[k].tokens;
          if (holder->sealed && provisional != holder->granted)
            return ds_error_set (
                error, DS_ERANGE, "ledger check", NULL,
                "budget %.*s: provisional bills of sealed holder %016" PRIx64
                " sum to %" PRIu64 " tokens, but it was granted %" PRIu64,
                DS_STR_ARG (account->budget), holder->incarnation, provisional,
                holder->granted);
        }
    }
  return 0;
}

/* The account of BUDGET, or null.  */
struct ds_account *
ds_ledger_account (const struct ds_ledger *ledger, struct ds_str budget)
{
  for (size_t i = 0; i < ledger->account_count; i++)
    if (ds_str_equal (ledger->accounts[i].budget, budget))
      return &ledger->accounts[i];
  return NULL;
}

/* The writer entry of INCARNATION, or null.  */
struct ds_writer *
ds_ledger_writer (const struct ds_ledger *ledger, uint64_t incarnation)
{
  for (size_t i = 0; i < ledger->writer_count; i++)
    if (ledger->writers[i].incarnation == incarnation)
      return &ledger->writers[i];
  return NULL;
}

/* The holder entry of INCARNATION in ACCOUNT, or null.  */
struct ds_holder *
ds_account_holder (const struct ds_account *account, uint64_t incarnation)
{
  for (size_t i = 0; i < account->holder_count; i++)
    if (account->holders[i].incarnation == incarnation)
      return &account->holders[i];
  return NULL;
}

/* Total recorded as moved from GIVER to RECEIVER.  */
uint64_t
ds_account_transferred (const struct ds_account *account, uint64_t giver,
                        uint64_t receiver)
{
  for (size_t i = 0; i < account->transfer_count; i++)
    if (account->transfers[i].giver == giver
        && account->transfers[i].receiver == receiver)
      return account->transfers[i].total;
  return 0;
}

/* Tokens granted to all holders and not settled.  */
uint64_t
ds_account_granted (const struct ds_account *account)
{
  uint64_t sum = 0;

  for (size_t i = 0; i < account->holder_count; i++)
    sum += account->holders[i].granted;
  return sum;
}

/* Tokens that can be drawn: zero while a lowered limit is below what is
   settled and granted.  */
uint64_t
ds_account_ungranted (const struct ds_account *account)
{
  uint64_t committed = account->settled + ds_account_granted (account);

  return account->limit > committed ? account->limit - committed : 0;
}
