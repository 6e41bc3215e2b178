#include "daisystep/backup.h"
#include "daisystep/error.h"

#include <glib.h>
#include <string.h>

/* A reference-counted name that several records share.  */
struct name
{
  struct ds_str text;
  size_t references;
};

/* The RESERVE and SETTLE records of one request.  A sequence of zero means
   that the record was not received.  Allocated without talloc, whose header
   is as large as the entry.  */
struct request
{
  struct ds_request_id id;
  uint64_t body_digest;
  struct name *budget;
  struct name *workspace;
  struct name *offering;
  uint64_t reserve_sequence;
  uint64_t settle_sequence;
  uint64_t reserved_tokens;
  uint64_t settled_tokens;
  uint64_t input_tokens;
  uint64_t output_tokens;
  bool repeatable : 1;
  bool reserve_keyed : 1;
  bool reserve_estimated : 1;
  bool settle_keyed : 1;
  bool settle_estimated : 1;
};

struct transfer
{
  enum ds_record_kind kind;
  struct name *budget;
  uint64_t peer;
  uint64_t total;
  uint64_t sequence;
};

struct shard
{
  uint32_t index;
  /* The last sequence up to which no record is missing.  */
  uint64_t sequence;
  GHashTable *requests;
  GHashTable *transfers;
};

/* The part of a host incarnation's journal that is held.  */
struct host_journal
{
  uint64_t incarnation;
  bool sealed;
  /* Indexed by shard number.  */
  GHashTable *shards;
};

struct ds_backup_store
{
  GHashTable *incarnations;
  GHashTable *names;
  /* RESERVE, SETTLE and transfer records held.  */
  size_t count;
};

static guint
hash_request (gconstpointer key)
{
  const struct request *request = key;
  guint hash;

  /* Ids are digests, so any part of one is uniformly distributed.  */
  memcpy (&hash, request->id.bytes, sizeof hash);
  return hash;
}

static gboolean
equal_request (gconstpointer a, gconstpointer b)
{
  const struct request *left = a;
  const struct request *right = b;

  return memcmp (left->id.bytes, right->id.bytes, sizeof left->id.bytes) == 0;
}

static guint
hash_transfer (gconstpointer key)
{
  const struct transfer *transfer = key;

  return (guint)ds_str_hash (transfer->budget->text,
                             transfer->peer + (uint64_t)transfer->kind);
}

static gboolean
equal_transfer (gconstpointer a, gconstpointer b)
{
  const struct transfer *left = a;
  const struct transfer *right = b;

  return left->kind == right->kind && left->peer == right->peer
         && left->budget == right->budget;
}

static guint
hash_name (gconstpointer key)
{
  const struct name *name = key;

  return (guint)ds_str_hash (name->text, 0);
}

static gboolean
equal_name (gconstpointer a, gconstpointer b)
{
  const struct name *left = a;
  const struct name *right = b;

  return ds_str_equal (left->text, right->text);
}

/* Returns the shared copy of TEXT with one more reference.  */
static struct name *
acquire_name (struct ds_backup_store *store, struct ds_str text)
{
  struct name key = { .text = text };
  struct name *name = g_hash_table_lookup (store->names, &key);

  if (name == NULL)
    {
      char *data = g_malloc (sizeof *name + text.length);

      name = (struct name *)data;
      data += sizeof *name;
      if (text.length > 0)
        memcpy (data, text.data, text.length);
      name->text = (struct ds_str){ .data = data, .length = text.length };
      name->references = 0;
      g_hash_table_add (store->names, name);
    }
  name->references++;
  return name;
}

static void
release_name (struct ds_backup_store *store, struct name *name)
{
  if (name == NULL || --name->references > 0)
    return;
  g_hash_table_remove (store->names, name);
  g_free (name);
}

static size_t
record_count (const struct request *request)
{
  return (request->reserve_sequence > 0) + (request->settle_sequence > 0);
}

static void
release_request (struct ds_backup_store *store, struct request *request)
{
  store->count -= record_count (request);
  release_name (store, request->budget);
  release_name (store, request->workspace);
  release_name (store, request->offering);
  g_free (request);
}

static void
clear_shard (struct ds_backup_store *store, struct shard *shard)
{
  GHashTableIter iterator;
  gpointer entry;

  g_hash_table_iter_init (&iterator, shard->requests);
  while (g_hash_table_iter_next (&iterator, &entry, NULL))
    {
      g_hash_table_iter_steal (&iterator);
      release_request (store, entry);
    }
  g_hash_table_iter_init (&iterator, shard->transfers);
  while (g_hash_table_iter_next (&iterator, &entry, NULL))
    {
      struct transfer *transfer = entry;

      g_hash_table_iter_steal (&iterator);
      release_name (store, transfer->budget);
      g_free (transfer);
      store->count--;
    }
}

static void
clear_journal (struct ds_backup_store *store, struct host_journal *journal)
{
  GHashTableIter iterator;
  gpointer entry;

  g_hash_table_iter_init (&iterator, journal->shards);
  while (g_hash_table_iter_next (&iterator, NULL, &entry))
    {
      struct shard *shard = entry;

      g_hash_table_iter_steal (&iterator);
      clear_shard (store, shard);
      g_hash_table_destroy (shard->requests);
      g_hash_table_destroy (shard->transfers);
      g_free (shard);
    }
}

static int
store_destructor (struct ds_backup_store *store)
{
  GHashTableIter iterator;
  gpointer entry;

  g_hash_table_iter_init (&iterator, store->incarnations);
  while (g_hash_table_iter_next (&iterator, NULL, &entry))
    {
      struct host_journal *journal = entry;

      clear_journal (store, journal);
      g_hash_table_destroy (journal->shards);
      g_hash_table_iter_steal (&iterator);
      g_free (journal);
    }
  g_hash_table_destroy (store->incarnations);
  g_hash_table_destroy (store->names);
  return 0;
}

static struct host_journal *
find_journal (const struct ds_backup_store *store, uint64_t incarnation)
{
  return g_hash_table_lookup (store->incarnations, &incarnation);
}

static struct host_journal *
find_or_add_journal (struct ds_backup_store *store, uint64_t incarnation)
{
  struct host_journal *journal = find_journal (store, incarnation);

  if (journal != NULL)
    return journal;
  journal = g_new0 (struct host_journal, 1);
  journal->incarnation = incarnation;
  journal->shards = g_hash_table_new (g_int_hash, g_int_equal);
  g_hash_table_insert (store->incarnations, &journal->incarnation, journal);
  return journal;
}

static struct shard *
add_shard (struct host_journal *journal, uint32_t index)
{
  struct shard *shard = g_new0 (struct shard, 1);

  shard->index = index;
  shard->requests = g_hash_table_new (hash_request, equal_request);
  shard->transfers = g_hash_table_new (hash_transfer, equal_transfer);
  g_hash_table_insert (journal->shards, &shard->index, shard);
  return shard;
}

static struct request *
find_request (const struct shard *shard, const struct ds_request_id *id)
{
  struct request key = { .id = *id };

  return g_hash_table_lookup (shard->requests, &key);
}

static struct request *
find_or_add_request (struct shard *shard, const struct ds_request_id *id)
{
  struct request *request = find_request (shard, id);

  if (request != NULL)
    return request;
  request = g_new0 (struct request, 1);
  request->id = *id;
  g_hash_table_add (shard->requests, request);
  return request;
}

static void
remove_request (struct ds_backup_store *store, struct shard *shard,
                const struct ds_request_id *id)
{
  struct request *request = find_request (shard, id);

  if (request == NULL)
    return;
  g_hash_table_remove (shard->requests, request);
  release_request (store, request);
}

/* A reservation of an id that is already present starts a new run, after the
   previous one was settled as not run.  */
static void
apply_reserve (struct ds_backup_store *store, struct shard *shard,
               const struct ds_record *record)
{
  struct request *request;

  remove_request (store, shard, &record->id);
  request = find_or_add_request (shard, &record->id);
  request->body_digest = record->body_digest;
  request->budget = acquire_name (store, record->budget);
  request->workspace = acquire_name (store, record->workspace);
  request->offering = acquire_name (store, record->offering);
  request->reserve_sequence = record->sequence;
  request->reserved_tokens = record->tokens;
  request->repeatable = record->repeatable;
  request->reserve_keyed = record->keyed;
  request->reserve_estimated = record->estimated;
  store->count++;
}

static void
apply_settle (struct ds_backup_store *store, struct shard *shard,
              const struct ds_record *record)
{
  struct request *request = find_or_add_request (shard, &record->id);

  store->count += request->settle_sequence == 0;
  request->settle_sequence = record->sequence;
  request->settled_tokens = record->tokens;
  request->input_tokens = record->input_tokens;
  request->output_tokens = record->output_tokens;
  request->settle_keyed = record->keyed;
  request->settle_estimated = record->estimated;
}

static void
apply_transfer (struct ds_backup_store *store, struct shard *shard,
                const struct ds_record *record)
{
  struct transfer key = {
    .kind = record->kind,
    .budget = acquire_name (store, record->budget),
    .peer = record->peer,
  };
  struct transfer *transfer = g_hash_table_lookup (shard->transfers, &key);

  if (transfer == NULL)
    {
      transfer = g_memdup2 (&key, sizeof key);
      g_hash_table_add (shard->transfers, transfer);
      store->count++;
    }
  else
    release_name (store, key.budget);
  if (record->tokens < transfer->total)
    return;
  transfer->total = record->tokens;
  transfer->sequence = record->sequence;
}

static void
apply_record (struct ds_backup_store *store, struct shard *shard,
              const struct ds_record *record)
{
  switch (record->kind)
    {
    case DS_RECORD_RESERVE:
      apply_reserve (store, shard, record);
      break;
    case DS_RECORD_SETTLE:
      apply_settle (store, shard, record);
      break;
    case DS_RECORD_REMOVE:
      remove_request (store, shard, &record->id);
      break;
    case DS_RECORD_TRANSFER_OUT:
    case DS_RECORD_TRANSFER_IN:
    case DS_RECORD_SESSION_FLOOR:
      apply_transfer (store, shard, record);
      break;
    }
}

static int
check_records (const struct ds_record *records, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      if (records[i].kind > DS_RECORD_SESSION_FLOOR)
        return DS_EINVAL;
      if (records[i].sequence == 0)
        return DS_EINVAL;
      if (i > 0 && records[i].sequence <= records[i - 1].sequence)
        return DS_EINVAL;
    }
  return 0;
}

/* Applies the records that directly follow the shard's sequence; skips those
   that it already has and stops at a gap.  */
static void
apply_contiguous (struct ds_backup_store *store, struct shard *shard,
                  const struct ds_record *records, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      if (records[i].sequence <= shard->sequence)
        continue;
      if (records[i].sequence != shard->sequence + 1)
        break;
      apply_record (store, shard, &records[i]);
      shard->sequence = records[i].sequence;
    }
}

/* Replaces the shard's records by the copy.  A copy that ends below the
   shard's sequence is outdated and changes nothing.  */
static void
apply_copy (struct ds_backup_store *store, struct shard *shard, uint64_t base,
            const struct ds_record *records, size_t count)
{
  size_t below = 0;
  uint64_t end = base - 1;

  while (below < count && records[below].sequence < base)
    below++;
  for (size_t i = below; i < count && records[i].sequence == end + 1; i++)
    end++;
  if (end < shard->sequence)
    return;
  clear_shard (store, shard);
  for (size_t i = 0; i < below; i++)
    apply_record (store, shard, &records[i]);
  shard->sequence = base - 1;
  apply_contiguous (store, shard, records + below, count - below);
}

static struct ds_record
reserve_record (const struct request *request)
{
  return (struct ds_record){
    .sequence = request->reserve_sequence,
    .kind = DS_RECORD_RESERVE,
    .id = request->id,
    .body_digest = request->body_digest,
    .budget = request->budget != NULL ? request->budget->text : DS_STR_EMPTY,
    .workspace
    = request->workspace != NULL ? request->workspace->text : DS_STR_EMPTY,
    .offering
    = request->offering != NULL ? request->offering->text : DS_STR_EMPTY,
    .tokens = request->reserved_tokens,
    .repeatable = request->repeatable,
    .keyed = request->reserve_keyed,
    .estimated = request->reserve_estimated,
  };
}

static struct ds_record
settle_record (const struct request *request)
{
  return (struct ds_record){
    .sequence = request->settle_sequence,
    .kind = DS_RECORD_SETTLE,
    .id = request->id,
    .budget = DS_STR_EMPTY,
    .workspace = DS_STR_EMPTY,
    .offering = DS_STR_EMPTY,
    .tokens = request->settled_tokens,
    .keyed = request->settle_keyed,
    .estimated = request->settle_estimated,
    .input_tokens = request->input_tokens,
    .output_tokens = request->output_tokens,
  };
}

static struct ds_record
transfer_record (const struct transfer *transfer)
{
  return (struct ds_record){
    .sequence = transfer->sequence,
    .kind = transfer->kind,
    .budget = transfer->budget->text,
    .workspace = DS_STR_EMPTY,
    .offering = DS_STR_EMPTY,
    .tokens = transfer->total,
    .peer = transfer->peer,
  };
}

static int
visit_request (uint32_t shard, const struct request *request,
               int (*visit) (void *context, uint32_t shard,
                             const struct ds_record *record),
               void *context)
{
  int result = 0;

  if (request->reserve_sequence > 0)
    {
      struct ds_record record = reserve_record (request);

      result = visit (context, shard, &record);
    }
  if (result == 0 && request->settle_sequence > 0)
    {
      struct ds_record record = settle_record (request);

      result = visit (context, shard, &record);
    }
  return result;
}

static int
visit_shard (const struct shard *shard,
             int (*visit) (void *context, uint32_t shard,
                           const struct ds_record *record),
             void *context)
{
  GHashTableIter iterator;
  gpointer entry;
  int result = 0;

  g_hash_table_iter_init (&iterator, shard->requests);
  while (result == 0 && g_hash_table_iter_next (&iterator, &entry, NULL))
    result = visit_request (shard->index, entry, visit, context);
  g_hash_table_iter_init (&iterator, shard->transfers);
  while (result == 0 && g_hash_table_iter_next (&iterator, &entry, NULL))
    {
      struct ds_record record = transfer_record (entry);

      result = visit (context, shard->index, &record);
    }
  return result;
}

/* Creates an empty store.  */
int
ds_backup_new (struct ds_backup_store **out, TALLOC_CTX *owner)
{
  struct ds_backup_store *store = talloc_zero (owner, struct ds_backup_store);

  if (store == NULL)
    return DS_ENOMEM;
  store->incarnations = g_hash_table_new (g_int64_hash, g_int64_equal);
  store->names = g_hash_table_new (hash_name, equal_name);
  talloc_set_destructor (store, store_destructor);
  *out = store;
  return 0;
}

/* Frees STORE with all records.  */
void
ds_backup_free (struct ds_backup_store *store)
{
  talloc_free (store);
}

/* Adds RECORDS, in ascending sequence, of one shard of INCARNATION and writes
   the reply for the sender to OUT.  Without IS_COPY the records continue the
   sequence; repeated ones are skipped and none after a gap is accepted.  With
   IS_COPY the records replace those held: below COPY_BASE, which is at least
   1, they are all live records; from there on they are contiguous.  A copy too
   long for one frame continues with ordinary appends from COPY_BASE, in which
   a REMOVE record stands for each obsolete sequence.  Returns DS_EINVAL,
   without a change, for records out of order or of unknown kind.  */
int
ds_backup_append (struct ds_backup_ack *out, struct ds_backup_store *store,
                  uint64_t incarnation, uint32_t shard, bool is_copy,
                  uint64_t copy_base, const struct ds_record *records,
                  size_t count)
{
  struct host_journal *journal = find_journal (store, incarnation);
  struct shard *target = NULL;

  *out = (struct ds_backup_ack){ .incarnation = incarnation, .shard = shard };
  if (check_records (records, count) != 0 || (is_copy && copy_base == 0))
    return DS_EINVAL;
  if (journal != NULL && journal->sealed)
    {
      out->sealed = true;
      return 0;
    }
  if (journal != NULL)
    target = g_hash_table_lookup (journal->shards, &shard);
  if (target == NULL && !is_copy && (count == 0 || records[0].sequence != 1))
    {
      out->unknown = true;
      return 0;
    }
  if (target == NULL)
    target = add_shard (find_or_add_journal (store, incarnation), shard);
  if (is_copy)
    apply_copy (store, target, copy_base, records, count);
  else
    apply_contiguous (store, target, records, count);
  out->sequence = target->sequence;
  return 0;
}

/* Rejects every later append of INCARNATION.  KNOWN is set to whether the
   store has accepted an append or a copy of it, even an empty copy; it is
   false again after ds_backup_drop_incarnation.  */
void
ds_backup_seal (struct ds_backup_store *store, uint64_t incarnation,
                bool *known)
{
  struct host_journal *journal = find_or_add_journal (store, incarnation);

  journal->sealed = true;
  *known = g_hash_table_size (journal->shards) > 0;
}

/* Whether INCARNATION has been sealed in STORE.  */
bool
ds_backup_is_sealed (const struct ds_backup_store *store, uint64_t incarnation)
{
  const struct host_journal *journal = find_journal (store, incarnation);

  return journal != NULL && journal->sealed;
}

/* Passes every record of INCARNATION to VISIT, shard by shard, the settlement
   of a request directly after its reservation, otherwise in no order.  Returns
   DS_ENOTFOUND when the store holds no shard of it, or the first result of
   VISIT that is not 0.  VISIT must not change the store.  */
int
ds_backup_visit_records (const struct ds_backup_store *store,
                         uint64_t incarnation,
                         int (*visit) (void *context, uint32_t shard,
                                       const struct ds_record *record),
                         void *context)
{
  const struct host_journal *journal = find_journal (store, incarnation);
  GHashTableIter iterator;
  gpointer entry;
  int result = 0;

  if (journal == NULL || g_hash_table_size (journal->shards) == 0)
    return DS_ENOTFOUND;
  g_hash_table_iter_init (&iterator, journal->shards);
  while (result == 0 && g_hash_table_iter_next (&iterator, NULL, &entry))
    result = visit_shard (entry, visit, context);
  return result;
}

/* Looks ID up in the records of all incarnations; DS_ENOTFOUND when there is
   none.  */
int
ds_backup_find_request (struct ds_backup_request *out,
                        const struct ds_backup_store *store,
                        const struct ds_request_id *id)
{
  GHashTableIter incarnations;
  gpointer entry;

  g_hash_table_iter_init (&incarnations, store->incarnations);
  while (g_hash_table_iter_next (&incarnations, NULL, &entry))
    {
      const struct host_journal *journal = entry;
      GHashTableIter shards;
      gpointer shard;

      g_hash_table_iter_init (&shards, journal->shards);
      while (g_hash_table_iter_next (&shards, NULL, &shard))
        {
          const struct request *request = find_request (shard, id);

          if (request == NULL)
            continue;
          *out = (struct ds_backup_request){
            .incarnation = journal->incarnation,
            .shard = ((const struct shard *)shard)->index,
            .reserved = request->reserve_sequence > 0,
            .settled = request->settle_sequence > 0,
            .reserve = reserve_record (request),
            .settle = settle_record (request),
          };
          return 0;
        }
    }
  return DS_ENOTFOUND;
}

/* Drops the records of INCARNATION, whose recovery is complete.  It stays
   sealed: a paused host that resumes could otherwise copy its journal here
   again and dispatch requests that no recovery would bill.  */
void
ds_backup_drop_incarnation (struct ds_backup_store *store,
                            uint64_t incarnation)
{
  struct host_journal *journal = find_or_add_journal (store, incarnation);

  journal->sealed = true;
  clear_journal (store, journal);
}

/* The number of records held, of all incarnations.  */
size_t
ds_backup_record_count (const struct ds_backup_store *store)
{
  return store->count;
}

/* Passes the number of each shard of INCARNATION to VISIT, with the last
   sequence up to which it is complete.  DS_ENOTFOUND when the store holds no
   shard of it.  */
int
ds_backup_visit_shards (const struct ds_backup_store *store,
                        uint64_t incarnation,
                        void (*visit) (void *context, uint32_t shard,
                                       uint64_t sequence),
                        void *context)
{
  const struct host_journal *journal = find_journal (store, incarnation);
  GHashTableIter iterator;
  gpointer entry;

  if (journal == NULL || g_hash_table_size (journal->shards) == 0)
    return DS_ENOTFOUND;
  g_hash_table_iter_init (&iterator, journal->shards);
  while (g_hash_table_iter_next (&iterator, NULL, &entry))
    {
      const struct shard *shard = entry;

      visit (context, shard->index, shard->sequence);
    }
  return 0;
}
