#ifndef DAISYSTEP_JOURNAL_H
#define DAISYSTEP_JOURNAL_H

#include "daisystep/id.h"
#include "daisystep/str.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Maximum number of backups of a host.  */
#define DS_BACKUPS_MAX 3

enum ds_record_kind
{
  DS_RECORD_RESERVE,
  DS_RECORD_SETTLE,
  DS_RECORD_REMOVE,
  DS_RECORD_TRANSFER_OUT,
  DS_RECORD_TRANSFER_IN,
  /* Every request of the sessions numbered TOKENS and above is in the journal;
     PEER is the incarnation itself.  Replaced by a later one, as a transfer
     is.  */
  DS_RECORD_SESSION_FLOOR
};

/* One entry of a host's write-ahead journal.  Which members are used depends
   on KIND: RESERVE has all but the token counts and PEER; SETTLE has ID,
   TOKENS and the counts; REMOVE has ID; a transfer has BUDGET, TOKENS (the
   total so far) and PEER, the incarnation on the other side.  */
struct ds_record
{
  uint64_t sequence;
  enum ds_record_kind kind;
  struct ds_request_id id;
  uint64_t body_digest;
  struct ds_str budget;
  struct ds_str workspace;
  struct ds_str offering;
  uint64_t tokens;
  bool repeatable;
  bool keyed;
  bool estimated;
  uint64_t input_tokens;
  uint64_t output_tokens;
  uint64_t peer;
};

/* Records to be sent to one backup.  A copy replaces everything that the
   backup holds of the shard, with BASE as in ds_backup_append; otherwise the
   records continue the backup's sequence.  */
struct ds_journal_batch
{
  uint64_t backup;
  bool is_copy;
  uint64_t base;
  const struct ds_record *records;
  size_t count;
};

struct ds_journal;

/* How many of COUNT backups an append and a recovery need: every append quorum
   shares a backup with every seal quorum.  */
static inline size_t
ds_journal_append_quorum (size_t count)
{
  return count == 0 ? 0 : count / 2 + 1;
}

static inline size_t
ds_journal_seal_quorum (size_t count)
{
  return count + 1 - ds_journal_append_quorum (count);
}

int ds_journal_new (struct ds_journal **out, TALLOC_CTX *owner);
void ds_journal_free (struct ds_journal *journal);
int ds_journal_append (struct ds_journal *journal, uint64_t *out_sequence,
                       const struct ds_record *record);
void ds_journal_ack (struct ds_journal *journal, uint64_t backup,
                     uint64_t sequence, uint64_t now_ms);
void ds_journal_reset_backup (struct ds_journal *journal, uint64_t backup);
void ds_journal_set_link (struct ds_journal *journal, uint64_t backup,
                          bool is_up);
bool ds_journal_has_backups (const struct ds_journal *journal);
bool ds_journal_can_commit (const struct ds_journal *journal);
bool ds_journal_was_sent (const struct ds_journal *journal, uint64_t sequence);
void ds_journal_propose_backups (struct ds_journal *journal,
                                 const uint64_t *backups, size_t count);
void ds_journal_adopt_backups (struct ds_journal *journal);
bool ds_journal_is_proposal_synced (const struct ds_journal *journal);
bool ds_journal_is_changing_backups (const struct ds_journal *journal);
uint64_t ds_journal_committed_sequence (const struct ds_journal *journal);
uint64_t ds_journal_last_sequence (const struct ds_journal *journal);
size_t ds_journal_record_count (const struct ds_journal *journal);
const struct ds_record *ds_journal_records (const struct ds_journal *journal,
                                            size_t *count);
size_t
ds_journal_collect_batches (struct ds_journal *journal, TALLOC_CTX *owner,
                            uint64_t now_ms,
                            struct ds_journal_batch out[2 * DS_BACKUPS_MAX]);

#endif
