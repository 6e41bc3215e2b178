#include "daisystep/sealed_journal.h"

#include <glib.h>
#include <string.h>

/* The records under construction, indexed by request id.  */
struct builder
{
  struct ds_sealed_journal *seal;
  GHashTable *entries;
};

static guint
hash_id (gconstpointer key)
{
  guint hash;

  memcpy (&hash, ((const struct ds_request_id *)key)->bytes, sizeof hash);
  return hash;
}

static gboolean
equal_id (gconstpointer a, gconstpointer b)
{
  return ds_request_id_equal (a, b);
}

static void
add_reservation (struct builder *builder, const struct ds_record *record)
{
  struct ds_sealed_journal *seal = builder->seal;
  struct ds_seal_record *entry;

  if (g_hash_table_contains (builder->entries, &record->id))
    return;
  entry = &seal->records[seal->record_count++];
  *entry = (struct ds_seal_record){
    .bill = { .id = record->id,
              .budget = ds_str_copy (seal, record->budget),
              .workspace = ds_str_copy (seal, record->workspace),
              .offering = ds_str_copy (seal, record->offering),
              .incarnation = seal->incarnation,
              .keyed = record->keyed },
    .reserved = record->tokens,
  };
  g_hash_table_insert (builder->entries, &entry->bill.id, entry);
}

static void
add_settlement (struct builder *builder, const struct ds_record *record)
{
  struct ds_seal_record *entry
      = g_hash_table_lookup (builder->entries, &record->id);

  if (entry == NULL || entry->settle_sequence > 0)
    return;
  entry->settle_sequence = record->sequence;
  entry->bill.tokens = record->tokens;
  entry->bill.input_tokens = record->input_tokens;
  entry->bill.output_tokens = record->output_tokens;
  entry->bill.estimated = record->estimated;
}

static void
add_transfer (struct ds_sealed_journal *seal, const struct ds_record *record)
{
  bool is_out = record->kind == DS_RECORD_TRANSFER_OUT;

  seal->transfers[seal->transfer_count++] = (struct ds_ledger_op){
    .kind = DS_LEDGER_TRANSFER,
    .incarnation = seal->incarnation,
    .budget = ds_str_copy (seal, record->budget),
    .transfer = { .giver = is_out ? seal->incarnation : record->peer,
                  .receiver = is_out ? record->peer : seal->incarnation,
                  .total = record->tokens },
  };
}

static void
add_record (struct builder *builder, const struct ds_record *record)
{
  switch (record->kind)
    {
    case DS_RECORD_RESERVE:
      add_reservation (builder, record);
      break;
    case DS_RECORD_SETTLE:
      add_settlement (builder, record);
      break;
    case DS_RECORD_TRANSFER_OUT:
    case DS_RECORD_TRANSFER_IN:
      add_transfer (builder->seal, record);
      break;
    case DS_RECORD_REMOVE:
    case DS_RECORD_SESSION_FLOOR:
      break;
    }
}

static int
compare_direction (const void *a, const void *b)
{
  const struct ds_ledger_op *left = a;
  const struct ds_ledger_op *right = b;

  return (left->transfer.receiver == left->incarnation ? 0 : 1)
         - (right->transfer.receiver == right->incarnation ? 0 : 1);
}

/* Joins each reservation of INCARNATION with its settlement.  Incoming
   transfers precede outgoing ones, since the incarnation may have transferred
   tokens that it had received.  */
int
ds_sealed_journal_new (struct ds_sealed_journal **out, TALLOC_CTX *owner,
                       uint64_t incarnation, const struct ds_record *records,
                       size_t count)
{
  struct ds_sealed_journal *seal
      = talloc_zero (owner, struct ds_sealed_journal);
  struct builder builder = { .seal = seal };

  if (seal == NULL)
    return DS_ENOMEM;
  seal->incarnation = incarnation;
  seal->records = talloc_zero_array (seal, struct ds_seal_record, count);
  seal->transfers = talloc_zero_array (seal, struct ds_ledger_op, count);
  if (count > 0 && (seal->records == NULL || seal->transfers == NULL))
    {
      talloc_free (seal);
      return DS_ENOMEM;
    }
  builder.entries = g_hash_table_new (hash_id, equal_id);
  for (size_t i = 0; i < count; i++)
    if (records[i].kind != DS_RECORD_SETTLE)
      add_record (&builder, &records[i]);
  for (size_t i = 0; i < count; i++)
    if (records[i].kind == DS_RECORD_SETTLE)
      add_record (&builder, &records[i]);
  g_hash_table_destroy (builder.entries);
  qsort (seal->transfers, seal->transfer_count, sizeof *seal->transfers,
         compare_direction);
  *out = seal;
  return 0;
}

/* Frees SEAL, which may be null.  */
void
ds_sealed_journal_free (struct ds_sealed_journal *seal)
{
  talloc_free (seal);
}
