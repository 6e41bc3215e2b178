#ifndef DAISYSTEP_SEALED_JOURNAL_H
#define DAISYSTEP_SEALED_JOURNAL_H

#include "daisystep/journal.h"
#include "daisystep/ledger.h"

/* The journal of a sealed incarnation in the form that a ledger page takes:
   one record for each request, with its settlement if there is one, and the
   transfers as ledger operations.  */
struct ds_sealed_journal
{
  uint64_t incarnation;
  struct ds_seal_record *records;
  size_t record_count;
  struct ds_ledger_op *transfers;
  size_t transfer_count;
};

int ds_sealed_journal_new (struct ds_sealed_journal **out, TALLOC_CTX *owner,
                           uint64_t incarnation,
                           const struct ds_record *records, size_t count);
void ds_sealed_journal_free (struct ds_sealed_journal *seal);

#endif
