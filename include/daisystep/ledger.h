#ifndef DAISYSTEP_LEDGER_H
#define DAISYSTEP_LEDGER_H

#include "daisystep/error.h"
#include "daisystep/id.h"
#include "daisystep/str.h"

#include <stdbool.h>
#include <stdint.h>

/* Bills per archive: a page archives its oldest bills in groups of this
   size.  */
#define DS_LEDGER_ARCHIVE_BILLS 64
/* Ids of keyed bills that a page keeps to detect duplicates.  */
#define DS_LEDGER_KEYED_IDS 2000

struct json_t;

/* One billed request.  TOKENS is charged to the budget; the input and output
   counts are as reported by the upstream.  */
struct ds_bill
{
  struct ds_request_id id;
  struct ds_str budget;
  struct ds_str workspace;
  struct ds_str offering;
  uint64_t incarnation;
  uint64_t input_tokens;
  uint64_t output_tokens;
  uint64_t tokens;
  /* The real cost is not known: TOKENS is the reservation or what was
     relayed.  */
  bool estimated;
  /* The id comes from an idempotency key and may be billed by another host,
     too; the page drops the second bill.  */
  bool keyed;
};

/* Tokens of a budget that one host incarnation holds.  */
struct ds_holder
{
  uint64_t incarnation;
  uint64_t granted;
  bool sealed;
  /* Unsettled requests of a sealed holder, charged at their reservation; their
     sum is GRANTED then.  */
  struct ds_bill *provisional;
  size_t provisional_count;
};

/* Total of the tokens moved from one holder to another.  */
struct ds_transfer
{
  uint64_t giver;
  uint64_t receiver;
  uint64_t total;
};

struct ds_account
{
  struct ds_str budget;
  /* Version of the Budget object that LIMIT comes from.  */
  uint64_t budget_version;
  uint64_t limit;
  uint64_t settled;
  struct ds_holder *holders;
  size_t holder_count;
  struct ds_transfer *transfers;
  size_t transfer_count;
};

/* State of a host incarnation that has written the page.  */
struct ds_writer
{
  uint64_t incarnation;
  /* Number of the last update of this writer that took effect.  */
  uint64_t operation;
  /* Journal sequence of the last settlement in the page.  */
  uint64_t settled_through;
  bool sealed;
};

/* A ledger page: the accounts of several budgets and the bills that are not in
   an archive yet.  VERSION is the object's version in the platform, ARCHIVED
   the number of archives.  The arrays and strings belong to the page.  */
struct ds_ledger
{
  uint64_t version;
  uint64_t archived;
  struct ds_account *accounts;
  size_t account_count;
  struct ds_writer *writers;
  size_t writer_count;
  struct ds_bill *bills;
  size_t bill_count;
  struct ds_request_id *keyed;
  size_t keyed_count;
};

enum ds_ledger_op_kind
{
  DS_LEDGER_SET_LIMIT,
  DS_LEDGER_DRAW,
  DS_LEDGER_RETURN,
  DS_LEDGER_SETTLE,
  DS_LEDGER_SETTLE_LATE,
  DS_LEDGER_TRANSFER,
  DS_LEDGER_SEAL,
  DS_LEDGER_FINALIZE,
  DS_LEDGER_CLOSE,
  DS_LEDGER_DROP_ARCHIVED
};

/* A request in the journal of a holder under recovery.  */
struct ds_seal_record
{
  struct ds_bill bill;
  uint64_t reserved;
  /* Zero when no settlement record was found.  */
  uint64_t settle_sequence;
};

struct ds_ledger_op
{
  enum ds_ledger_op_kind kind;
  /* The incarnation that the operation is for.  */
  uint64_t incarnation;
  struct ds_str budget;
  union
  {
    struct
    {
      uint64_t prepaid;
      uint64_t budget_version;
    } set_limit;
    struct
    {
      /* At least MINIMUM tokens or none, at most WANTED.  */
      uint64_t wanted;
      uint64_t minimum;
    } draw;
    struct
    {
      uint64_t tokens;
    } return_unused;
    struct
    {
      struct ds_bill bill;
      uint64_t settle_sequence;
    } settle;
    struct
    {
      uint64_t giver;
      uint64_t receiver;
      uint64_t total;
    } transfer;
    struct
    {
      const struct ds_seal_record *records;
      size_t record_count;
    } seal;
    struct
    {
      uint64_t archived;
    } drop;
  };
};

int ds_ledger_new (struct ds_ledger **out, TALLOC_CTX *owner);
int ds_ledger_copy (struct ds_ledger **out, TALLOC_CTX *owner,
                    const struct ds_ledger *source);
void ds_ledger_free (struct ds_ledger *ledger);
int ds_ledger_apply (struct ds_ledger *ledger, const struct ds_ledger_op *op);
bool ds_ledger_apply_transfers (struct ds_ledger *ledger,
                                const struct ds_ledger_op *ops, size_t count);
int ds_ledger_record_update (struct ds_ledger *ledger, uint64_t incarnation,
                             uint64_t operation);
int ds_ledger_check (const struct ds_ledger *ledger, struct ds_error *error);

struct ds_account *ds_ledger_account (const struct ds_ledger *ledger,
                                      struct ds_str budget);
struct ds_writer *ds_ledger_writer (const struct ds_ledger *ledger,
                                    uint64_t incarnation);
struct ds_holder *ds_account_holder (const struct ds_account *account,
                                     uint64_t incarnation);
uint64_t ds_account_transferred (const struct ds_account *account,
                                 uint64_t giver, uint64_t receiver);
uint64_t ds_account_granted (const struct ds_account *account);
uint64_t ds_account_ungranted (const struct ds_account *account);

int ds_ledger_to_json (struct json_t **out, const struct ds_ledger *ledger);
int ds_ledger_from_json (struct ds_ledger **out, TALLOC_CTX *owner,
                         const struct json_t *json, struct ds_error *error);
int ds_bill_to_json (struct json_t **out, const struct ds_bill *bill);

#endif
