#include "daisystep/journal.h"
#include "daisystep/error.h"

#include <glib.h>
#include <string.h>

/* Records that a backup has not acknowledged are resent after this time.  */
#define RESEND_MS 300
/* The journal is compacted from this many obsolete records on.  */
#define COMPACT_MIN ((size_t)64)
/* Most records in one batch; with the longest names it fits a 1 MiB frame.  */
#define BATCH_RECORDS ((size_t)3000)

struct backup
{
  uint64_t incarnation;
  /* Whether the backup has acknowledged anything.  ACKED does not show it,
     since an empty journal has sequence zero.  */
  bool has_acked;
  bool is_down;
  uint64_t acked;
  uint64_t sent;
  uint64_t sent_at;
  /* COMPACTED of the journal when the last copy to this backup began.  Records
     removed before are not in the copy and do not require another one.  */
  bool is_copied;
  uint64_t copy_compacted;
};

struct backup_set
{
  struct backup items[DS_BACKUPS_MAX];
  size_t count;
};

struct ds_journal
{
  struct ds_record *records;
  size_t count;
  size_t obsolete;
  uint64_t last;
  /* The last record that has been sent to any backup.  */
  uint64_t sent;
  /* Records up to this sequence may have been removed; a backup that is behind
     it needs a copy.  */
  uint64_t compacted;
  struct backup_set current;
  /* A set of backups, possibly empty, has been adopted, so the host can be
     recovered.  */
  bool is_open;
  /* A change of backups is in progress; the members below are valid.  */
  bool changing;
  struct backup_set proposed;
  uint64_t sync_target;
};

static struct backup *
find_backup (struct backup_set *set, uint64_t incarnation)
{
  for (size_t i = 0; i < set->count; i++)
    if (set->items[i].incarnation == incarnation)
      return &set->items[i];
  return NULL;
}

/* The highest sequence that an append quorum of SET has acknowledged, or zero.
   HAS_QUORUM is set to whether such a quorum has acknowledged anything at all.
 */
static uint64_t
quorum_sequence (const struct backup_set *set, uint64_t last, bool *has_quorum)
{
  size_t quorum = ds_journal_append_quorum (set->count);
  uint64_t best = 0;

  *has_quorum = true;
  if (set->count == 0)
    return last;
  *has_quorum = false;
  for (size_t i = 0; i < set->count; i++)
    {
      uint64_t candidate = set->items[i].acked;
      size_t holder_count = 0;

      if (!set->items[i].has_acked)
        continue;
      for (size_t j = 0; j < set->count; j++)
        if (set->items[j].has_acked && set->items[j].acked >= candidate)
          holder_count++;
      if (holder_count < quorum)
        continue;
      *has_quorum = true;
      if (candidate > best)
        best = candidate;
    }
  return best;
}

static int
copy_record (TALLOC_CTX *owner, struct ds_record *out,
             const struct ds_record *source)
{
  *out = *source;
  out->budget = ds_str_copy (owner, source->budget);
  out->workspace = ds_str_copy (owner, source->workspace);
  out->offering = ds_str_copy (owner, source->offering);
  return 0;
}

static void
release_record (struct ds_record *record)
{
  talloc_free ((void *)record->budget.data);
  talloc_free ((void *)record->workspace.data);
  talloc_free ((void *)record->offering.data);
}

/* Makes an empty journal without backups.  */
int
ds_journal_new (struct ds_journal **out, TALLOC_CTX *owner)
{
  *out = talloc_zero (owner, struct ds_journal);
  return *out != NULL ? 0 : DS_ENOMEM;
}

/* Frees JOURNAL, which may be null.  */
void
ds_journal_free (struct ds_journal *journal)
{
  talloc_free (journal);
}

static bool
has_same_key (const struct ds_record *a, const struct ds_record *b)
{
  return a->kind == b->kind && a->peer == b->peer
         && ds_str_equal (a->budget, b->budget);
}

/* Whether a later record of the same kind, budget and peer replaces RECORD. */
static bool
is_replaceable (const struct ds_record *record)
{
  return record->kind == DS_RECORD_TRANSFER_OUT
         || record->kind == DS_RECORD_TRANSFER_IN
         || record->kind == DS_RECORD_SESSION_FLOOR;
}

/* The highest sequence that every backup of both sets has acknowledged.  */
static uint64_t
acked_by_all (const struct ds_journal *journal)
{
  const struct backup_set *sets[2] = { &journal->current, &journal->proposed };
  uint64_t lowest = journal->last;

  for (size_t s = 0; s < (journal->changing ? 2U : 1U); s++)
    for (size_t i = 0; i < sets[s]->count; i++)
      {
        const struct backup *backup = &sets[s]->items[i];

        if (!backup->has_acked)
          return 0;
        if (backup->acked < lowest)
          lowest = backup->acked;
      }
  return lowest;
}

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

static bool
is_superseded (const struct ds_journal *journal, size_t index)
{
  for (size_t i = index + 1; i < journal->count; i++)
    if (has_same_key (&journal->records[i], &journal->records[index]))
      return true;
  return false;
}

/* Marks in OBSOLETE, from the last record to the first, the records that a
   backup that has all of them no longer needs.  */
static void
mark_obsolete (const struct ds_journal *journal, bool *obsolete)
{
  GHashTable *removed = g_hash_table_new (hash_id, equal_id);

  for (size_t i = journal->count; i-- > 0;)
    {
      struct ds_record *record = &journal->records[i];

      if (record->kind == DS_RECORD_REMOVE)
        {
          g_hash_table_add (removed, &record->id);
          obsolete[i] = true;
        }
      else if (is_replaceable (record))
        obsolete[i] = is_superseded (journal, i);
      else
        obsolete[i] = g_hash_table_contains (removed, &record->id);
    }
  g_hash_table_destroy (removed);
}

static void
remove_obsolete (struct ds_journal *journal, uint64_t limit)
{
  bool *obsolete = talloc_zero_array (journal, bool, journal->count);
  size_t kept = 0;

  if (obsolete == NULL)
    return;
  mark_obsolete (journal, obsolete);
  journal->obsolete = 0;
  for (size_t i = 0; i < journal->count; i++)
    {
      struct ds_record record = journal->records[i];

      if (obsolete[i] && record.sequence <= limit)
        {
          release_record (&record);
          continue;
        }
      journal->obsolete += obsolete[i] ? 1 : 0;
      journal->records[kept++] = record;
    }
  journal->count = kept;
  journal->compacted = limit;
  talloc_free (obsolete);
}

/* Removes obsolete records that every backup has.  Once three quarters of the
   journal are obsolete, they are removed even if a backup lags; that backup
   then gets a copy.  */
static void
compact (struct ds_journal *journal)
{
  uint64_t limit = acked_by_all (journal);

  if (journal->obsolete < COMPACT_MIN
      || journal->obsolete < journal->count / 2)
    return;
  if (journal->obsolete > 4 * COMPACT_MIN
      && journal->obsolete > journal->count / 4 * 3)
    limit = journal->last;
  if (limit > journal->compacted)
    remove_obsolete (journal, limit);
}

/* How many records RECORD, the last of the journal, makes obsolete: a REMOVE
   the reservation, the settlement and itself, a transfer the earlier one.  */
static size_t
count_superseded (const struct ds_journal *journal,
                  const struct ds_record *record)
{
  if (record->kind == DS_RECORD_REMOVE)
    return 3;
  if (!is_replaceable (record))
    return 0;
  for (size_t i = 0; i + 1 < journal->count; i++)
    if (has_same_key (&journal->records[i], record))
      return 1;
  return 0;
}

/* Appends a copy of RECORD, whose sequence is ignored, and writes its new
   sequence to OUT_SEQUENCE.  The record is durable only once
   ds_journal_committed_sequence reaches it.  */
int
ds_journal_append (struct ds_journal *journal, uint64_t *out_sequence,
                   const struct ds_record *record)
{
  size_t capacity = talloc_array_length (journal->records);
  struct ds_record *slot;

  if (journal->count == capacity)
    {
      struct ds_record *grown
          = talloc_realloc (journal, journal->records, struct ds_record,
                            capacity > 0 ? 2 * capacity : 32);

      if (grown == NULL)
        return DS_ENOMEM;
      journal->records = grown;
    }
  slot = &journal->records[journal->count++];
  copy_record (journal, slot, record);
  slot->sequence = ++journal->last;
  *out_sequence = slot->sequence;
  journal->obsolete += count_superseded (journal, slot);
  compact (journal);
  return 0;
}

/* Registers that BACKUP has every record up to SEQUENCE, which never lowers
   the acknowledged sequence.  */
void
ds_journal_ack (struct ds_journal *journal, uint64_t backup, uint64_t sequence,
                uint64_t now_ms)
{
  struct backup_set *sets[2] = { &journal->current, &journal->proposed };

  if (sequence > journal->last)
    return;
  for (size_t s = 0; s < 2; s++)
    {
      struct backup *entry = find_backup (sets[s], backup);

      if (entry == NULL)
        continue;
      entry->has_acked = true;
      entry->sent_at = now_ms;
      if (sequence > entry->acked)
        entry->acked = sequence;
      if (sequence > entry->sent)
        entry->sent = sequence;
    }
}

/* Handles the reply that BACKUP holds no records: it will be sent a copy.  */
void
ds_journal_reset_backup (struct ds_journal *journal, uint64_t backup)
{
  struct backup_set *sets[2] = { &journal->current, &journal->proposed };

  for (size_t s = 0; s < 2; s++)
    {
      struct backup *entry = find_backup (sets[s], backup);

      if (entry != NULL)
        *entry = (struct backup){ .incarnation = backup };
    }
}

/* Registers that the link to BACKUP went up or down.  Nothing is sent over a
   link that is down; a new link starts after the last acknowledged record.  */
void
ds_journal_set_link (struct ds_journal *journal, uint64_t backup, bool is_up)
{
  struct backup_set *sets[2] = { &journal->current, &journal->proposed };

  for (size_t s = 0; s < 2; s++)
    {
      struct backup *entry = find_backup (sets[s], backup);

      if (entry == NULL)
        continue;
      entry->is_down = !is_up;
      entry->sent = entry->acked;
      entry->sent_at = 0;
    }
}

static bool
has_quorum_up (const struct backup_set *set)
{
  size_t up = 0;

  for (size_t i = 0; i < set->count; i++)
    up += set->items[i].is_down ? 0 : 1;
  return up >= ds_journal_append_quorum (set->count);
}

/* Whether the host has backups from which a recovery can read its records.  */
bool
ds_journal_has_backups (const struct ds_journal *journal)
{
  return journal->is_open && journal->current.count > 0;
}

/* Whether enough backups are reachable for a new record to be committed.
   False before the first set is adopted: until then no recovery knows of the
   host.  */
bool
ds_journal_can_commit (const struct ds_journal *journal)
{
  return journal->is_open && has_quorum_up (&journal->current)
         && (!journal->changing || has_quorum_up (&journal->proposed));
}

/* Whether any backup may have the record SEQUENCE.  */
bool
ds_journal_was_sent (const struct ds_journal *journal, uint64_t sequence)
{
  return sequence <= journal->sent;
}

/* Starts a change to the set BACKUPS: until it is adopted, a record needs a
   quorum in both sets.  A later proposal replaces one that was not adopted. */
void
ds_journal_propose_backups (struct ds_journal *journal,
                            const uint64_t *backups, size_t count)
{
  journal->changing = true;
  journal->sync_target = journal->last;
  journal->proposed.count = count < DS_BACKUPS_MAX ? count : DS_BACKUPS_MAX;
  for (size_t i = 0; i < journal->proposed.count; i++)
    {
      struct backup *current = find_backup (&journal->current, backups[i]);

      if (current != NULL)
        journal->proposed.items[i] = *current;
      else
        journal->proposed.items[i]
            = (struct backup){ .incarnation = backups[i] };
    }
}

/* Completes the change: a recovery now reads the proposed set.  */
void
ds_journal_adopt_backups (struct ds_journal *journal)
{
  if (!journal->changing)
    return;
  journal->current = journal->proposed;
  journal->proposed.count = 0;
  journal->changing = false;
  journal->is_open = true;
}

/* Whether a quorum of the proposed set has all records from before the
   change.  */
bool
ds_journal_is_proposal_synced (const struct ds_journal *journal)
{
  bool has_quorum;
  uint64_t sequence;

  if (!journal->changing)
    return true;
  sequence = quorum_sequence (&journal->proposed, journal->last, &has_quorum);
  return has_quorum && sequence >= journal->sync_target;
}

/* Whether a change of backups is in progress.  */
bool
ds_journal_is_changing_backups (const struct ds_journal *journal)
{
  return journal->changing;
}

/* The sequence up to which every recovery will find the records.  */
uint64_t
ds_journal_committed_sequence (const struct ds_journal *journal)
{
  bool has_quorum;
  uint64_t committed
      = quorum_sequence (&journal->current, journal->last, &has_quorum);

  if (!journal->is_open)
    return 0;
  if (journal->changing)
    {
      uint64_t proposed
          = quorum_sequence (&journal->proposed, journal->last, &has_quorum);

      if (proposed < committed)
        committed = proposed;
    }
  return committed;
}

/* The sequence of the last record.  */
uint64_t
ds_journal_last_sequence (const struct ds_journal *journal)
{
  return journal->last;
}

/* Number of records held in memory.  */
size_t
ds_journal_record_count (const struct ds_journal *journal)
{
  return journal->count;
}

/* All records held in memory, in ascending sequence, acknowledged or not.
   They belong to the journal and are valid until its next call.  */
const struct ds_record *
ds_journal_records (const struct ds_journal *journal, size_t *count)
{
  *count = journal->count;
  return journal->records;
}

static bool
needs_copy (const struct ds_journal *journal, const struct backup *backup)
{
  if (!backup->has_acked)
    return true;
  return backup->acked < journal->compacted
         && !(backup->is_copied
              && backup->copy_compacted == journal->compacted);
}

static size_t
index_after (const struct ds_journal *journal, uint64_t sequence)
{
  size_t low = 0;
  size_t high = journal->count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;

      if (journal->records[middle].sequence <= sequence)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

/* Fills BATCH with the first part of a copy: all live records below its base.
   The rest follows in ordinary batches.  */
static int
fill_copy (const struct ds_journal *journal, TALLOC_CTX *owner,
           struct backup *backup, struct ds_journal_batch *batch)
{
  size_t count
      = journal->count < BATCH_RECORDS ? journal->count : BATCH_RECORDS;
  struct ds_record *records = talloc_array (owner, struct ds_record, count);

  if (records == NULL)
    return DS_ENOMEM;
  for (size_t i = 0; i < count; i++)
    copy_record (records, &records[i], &journal->records[i]);
  batch->is_copy = true;
  batch->base = count < journal->count ? journal->records[count].sequence
                                       : journal->last + 1;
  batch->records = records;
  batch->count = count;
  backup->is_copied = true;
  backup->copy_compacted = journal->compacted;
  backup->sent = batch->base - 1;
  return 0;
}

/* Fills BATCH with the records after the last one sent.  A REMOVE record
   without an id stands for a removed sequence, so that the backup sees no
   gap.  */
static int
fill_continuation (const struct ds_journal *journal, TALLOC_CTX *owner,
                   struct backup *backup, struct ds_journal_batch *batch)
{
  uint64_t left = journal->last - backup->sent;
  size_t count = left < BATCH_RECORDS ? (size_t)left : BATCH_RECORDS;
  struct ds_record *records = talloc_array (owner, struct ds_record, count);
  size_t next = index_after (journal, backup->sent);

  if (records == NULL)
    return DS_ENOMEM;
  for (size_t i = 0; i < count; i++)
    {
      uint64_t sequence = backup->sent + 1 + i;

      if (next < journal->count && journal->records[next].sequence == sequence)
        copy_record (records, &records[i], &journal->records[next++]);
      else
        records[i] = (struct ds_record){ .sequence = sequence,
                                         .kind = DS_RECORD_REMOVE,
                                         .budget = DS_STR_EMPTY,
                                         .workspace = DS_STR_EMPTY,
                                         .offering = DS_STR_EMPTY };
    }
  batch->records = records;
  batch->count = count;
  backup->sent += count;
  return 0;
}

/* Fills BATCH with the next records that BACKUP lacks, copied to OWNER.  */
static int
fill_batch (const struct ds_journal *journal, TALLOC_CTX *owner,
            struct backup *backup, struct ds_journal_batch *batch)
{
  *batch = (struct ds_journal_batch){ .backup = backup->incarnation };
  return needs_copy (journal, backup)
             ? fill_copy (journal, owner, backup, batch)
             : fill_continuation (journal, owner, backup, batch);
}

static bool
is_send_due (const struct ds_journal *journal, struct backup *backup,
             uint64_t now_ms)
{
  bool resend = now_ms - backup->sent_at >= RESEND_MS;

  if (backup->is_down)
    return false;
  if (!backup->has_acked)
    return backup->sent_at == 0 || resend;
  if (resend && backup->acked < backup->sent)
    backup->sent = backup->acked;
  return backup->sent < journal->last;
}

/* Collects the records that are due for each backup at NOW_MS, copied to
   OWNER, and marks them as sent.  Returns the number of batches in OUT.  */
size_t
ds_journal_collect_batches (struct ds_journal *journal, TALLOC_CTX *owner,
                            uint64_t now_ms,
                            struct ds_journal_batch out[2 * DS_BACKUPS_MAX])
{
  struct backup_set *sets[2] = { &journal->current, &journal->proposed };
  size_t count = 0;

  for (size_t s = 0; s < (journal->changing ? 2U : 1U); s++)
    for (size_t i = 0; i < sets[s]->count; i++)
      {
        struct backup *backup = &sets[s]->items[i];

        if (s == 1
            && find_backup (&journal->current, backup->incarnation) != NULL)
          continue;
        if (!is_send_due (journal, backup, now_ms)
            || fill_batch (journal, owner, backup, &out[count]) < 0)
          continue;
        count++;
        backup->sent_at = now_ms > 0 ? now_ms : 1;
        journal->sent = journal->last;
      }
  return count;
}
