#include "daisystep/session.h"
#include "fleet_internal.h"

#include <string.h>

/* A seal request without a reply is sent again after this time.  */
#define RESEND_MS 300
/* Pause after a failed write of the Host object.  */
#define RETRY_MS 500
/* Each host after the first in the order of recovering hosts waits this much
   longer, so that usually only one of them runs the recovery.  */
#define RANK_DELAY_MS 1000
/* Hosts that are not backups start a recovery after this multiple of
   suspect_ms plus second_pass_ms.  With a shorter wait every host of the fleet
   would repeat a recovery that only waits for its second pass.  */
#define NON_BACKUP_FACTOR 10

/* Frees a recovery; the value destructor of the table of recoveries.  */
void
recovery_free (gpointer data)
{
  struct recovery *recovery = data;

  for (size_t i = 0; i < DS_BACKUPS_MAX; i++)
    talloc_free (recovery->replies[i].shards);
  talloc_free (recovery->object);
  talloc_free (recovery->records);
  g_free (recovery->pages);
  g_free (recovery);
}

static void
write_object (struct ds_fleet *fleet, struct recovery *recovery,
              enum ds_host_state state)
{
  struct ds_host *copy;

  if (ds_host_copy (&copy, fleet->actions->owner, recovery->object) < 0)
    return;
  copy->state = state;
  recovery->is_writing = true;
  fleet_add_action (fleet, DS_FLEET_WRITE_HOST)->host = copy;
}

/* This host's rank among those that may recover OBJECT's incarnation: its
   backups in their order, then every other host.  */
static size_t
recoverer_rank (const struct ds_fleet *fleet, const struct ds_host *object)
{
  for (size_t i = 0; i < object->backup_count; i++)
    if (object->backups[i].incarnation == fleet->options.incarnation)
      return i;
  return object->backup_count;
}

static uint64_t
recovery_delay (const struct ds_fleet *fleet, const struct ds_host *object)
{
  size_t rank = recoverer_rank (fleet, object);

  if (rank < object->backup_count)
    return fleet->options.suspect_ms + rank * RANK_DELAY_MS;
  return fleet->options.suspect_ms * NON_BACKUP_FACTOR
         + fleet->options.second_pass_ms;
}

/* Whether enough backups of OBJECT's incarnation for a seal have been
   reachable for suspect_ms.  Sealing the object without them recovers no
   tokens and stops a host that is only partitioned, with its unsettled
   requests.  The wait is needed since links return one after the other when a
   partition ends.  */
static bool
can_seal (const struct ds_fleet *fleet, const struct ds_host *object)
{
  size_t reachable = 0;

  for (size_t i = 0; i < object->backup_count; i++)
    {
      uint64_t incarnation = object->backups[i].incarnation;
      const struct member *backup = fleet_find_member (fleet, incarnation);

      if (incarnation == fleet->options.incarnation
          || (backup != NULL && backup->is_up
              && fleet->now - backup->up_since >= fleet->options.suspect_ms))
        reachable++;
    }
  return reachable >= ds_journal_seal_quorum (object->backup_count);
}

/* Starts a recovery of MEMBER when its link has been down for long enough, or
   when a recovery by another host seems to have stalled.  Safety depends on
   the seal, not on this delay.  */
void
recovery_start_if_due (struct ds_fleet *fleet, const struct member *member)
{
  const struct ds_host *object = member->object;
  struct recovery *recovery;
  uint64_t since = member->down_since;

  if (object == NULL || member->is_up || object->state == DS_HOST_CLOSED
      || fleet->is_closing
      || g_hash_table_contains (fleet->recoveries, &member->incarnation))
    return;
  if (member->state_since > since)
    since = member->state_since;
  if (fleet->now - since < recovery_delay (fleet, object)
      || (object->state == DS_HOST_OPEN && !can_seal (fleet, object)))
    return;
  recovery = g_new0 (struct recovery, 1);
  recovery->incarnation = member->incarnation;
  if (ds_host_copy (&recovery->object, NULL, object) < 0)
    {
      g_free (recovery);
      return;
    }
  g_hash_table_insert (fleet->recoveries, &recovery->incarnation, recovery);
  recovery->step = object->state == DS_HOST_SEALED ? RECOVERY_SEALING_BACKUPS
                                                   : RECOVERY_SEALING_OBJECT;
  recovery_tick (fleet, recovery);
}

static size_t
count_known_replies (const struct recovery *recovery, size_t *replied)
{
  size_t known = 0;

  *replied = 0;
  for (size_t i = 0; i < recovery->object->backup_count; i++)
    {
      *replied += recovery->replies[i].has_replied ? 1 : 0;
      known += recovery->replies[i].is_known ? 1 : 0;
    }
  return known;
}

static const struct ds_sealed_shard *
find_shard (const struct backup_reply *reply, uint32_t number)
{
  for (size_t i = 0; i < reply->count; i++)
    if (reply->shards[i].shard == number)
      return &reply->shards[i];
  return NULL;
}

/* The highest sequence of shard NUMBER that an append quorum of backups has,
   if all of them have replied; a reservation above it was never dispatched.
   UINT64_MAX otherwise.  */
static uint64_t
dispatch_limit (const struct recovery *recovery, uint32_t number)
{
  size_t count = recovery->object->backup_count;
  uint64_t limit = 0;
  size_t replied;

  if (count_known_replies (recovery, &replied) < count)
    return UINT64_MAX;
  for (size_t i = 0; i < count; i++)
    {
      const struct ds_sealed_shard *candidate
          = find_shard (&recovery->replies[i], number);
      size_t holder_count = 0;

      for (size_t j = 0; candidate != NULL && j < count; j++)
        {
          const struct ds_sealed_shard *other
              = find_shard (&recovery->replies[j], number);

          if (other != NULL && other->sequence >= candidate->sequence)
            holder_count++;
        }
      if (candidate != NULL && holder_count >= ds_journal_append_quorum (count)
          && candidate->sequence > limit)
        limit = candidate->sequence;
    }
  return limit;
}

static void
add_shard_records (struct recovery *recovery,
                   const struct ds_sealed_shard *shard)
{
  uint64_t limit = dispatch_limit (recovery, shard->shard);

  recovery->records
      = talloc_realloc (NULL, recovery->records, struct ds_record,
                        recovery->record_count + shard->count + 1);
  if (recovery->records == NULL)
    g_error ("recovery: out of memory merging the records of backups");
  for (size_t i = 0; i < shard->count; i++)
    if (shard->records[i].kind != DS_RECORD_RESERVE
        || shard->records[i].sequence <= limit)
      recovery->records[recovery->record_count++] = shard->records[i];
}

static bool
is_most_complete (const struct recovery *recovery, size_t index,
                  const struct ds_sealed_shard *shard)
{
  for (size_t i = 0; i < recovery->object->backup_count; i++)
    {
      const struct ds_sealed_shard *other
          = find_shard (&recovery->replies[i], shard->shard);

      if (other != NULL
          && (other->sequence > shard->sequence
              || (other->sequence == shard->sequence && i < index)))
        return false;
    }
  return true;
}

/* Takes each shard's records from the backup with the highest sequence.  A
   backup that lags may still hold records that have been billed and removed
   since, so records of two backups must not be merged.  */
static void
merge_records (struct recovery *recovery)
{
  for (size_t i = 0; i < recovery->object->backup_count; i++)
    for (size_t j = 0; j < recovery->replies[i].count; j++)
      if (is_most_complete (recovery, i, &recovery->replies[i].shards[j]))
        add_shard_records (recovery, &recovery->replies[i].shards[j]);
}

static void
seal_pages (struct ds_fleet *fleet, struct recovery *recovery)
{
  struct ds_fleet_action *action
      = fleet_add_action (fleet, DS_FLEET_SEAL_PAGES);

  action->seal_pages.incarnation = recovery->incarnation;
  action->seal_pages.records = recovery->records;
  action->seal_pages.count = recovery->record_count;
  g_free (recovery->pages);
  recovery->pages = g_new0 (bool, fleet->options.page_count);
  recovery->pages_left = fleet->options.page_count;
  recovery->step = RECOVERY_SEALING_PAGES;
}

static void
send_seals (struct ds_fleet *fleet, struct recovery *recovery)
{
  recovery->sent_at = fleet->now;
  for (size_t i = 0; i < recovery->object->backup_count; i++)
    {
      struct ds_fleet_action *action;

      if (recovery->replies[i].has_replied)
        continue;
      action = fleet_add_action (fleet, DS_FLEET_SEND_SEAL);
      action->send_seal.backup = recovery->object->backups[i].incarnation;
      action->send_seal.incarnation = recovery->incarnation;
    }
}

/* Seals the pages once enough backups have replied, or gives up.  */
static void
check_replies (struct ds_fleet *fleet, struct recovery *recovery)
{
  size_t count = recovery->object->backup_count;
  size_t quorum = ds_journal_seal_quorum (count);
  size_t replied;
  size_t known = count_known_replies (recovery, &replied);

  if (known + (count - replied) < quorum || count == 0)
    {
      recovery->step = RECOVERY_LOST;
      return;
    }
  if (known < quorum)
    return;
  if (recovery->quorum_at == 0)
    recovery->quorum_at = fleet->now;
  if (replied < count
      && fleet->now - recovery->quorum_at < fleet->options.seal_wait_ms)
    return;
  merge_records (recovery);
  seal_pages (fleet, recovery);
}

static struct ds_record *
copy_records (TALLOC_CTX *owner, const struct ds_sealed_shard *shard)
{
  struct ds_record *records
      = talloc_array (owner, struct ds_record, shard->count);

  for (size_t i = 0; records != NULL && i < shard->count; i++)
    {
      records[i] = shard->records[i];
      records[i].budget = ds_str_copy (records, records[i].budget);
      records[i].workspace = ds_str_copy (records, records[i].workspace);
      records[i].offering = ds_str_copy (records, records[i].offering);
    }
  return records;
}

static void
store_reply (struct backup_reply *reply, const struct ds_fleet_event *event)
{
  size_t count = event->seal_reply.known ? event->seal_reply.shard_count : 0;

  reply->has_replied = true;
  reply->is_known = event->seal_reply.known;
  reply->shards = talloc_array (NULL, struct ds_sealed_shard, count);
  if (reply->shards == NULL)
    g_error ("recovery: out of memory copying the seal reply of a backup");
  reply->count = count;
  for (size_t i = 0; i < count; i++)
    {
      reply->shards[i] = event->seal_reply.shards[i];
      reply->shards[i].records
          = copy_records (reply->shards, &event->seal_reply.shards[i]);
    }
}

/* Handles a seal reply of a backup; ignored unless a recovery waits for it. */
void
recovery_on_seal_reply (struct ds_fleet *fleet,
                        const struct ds_fleet_event *event)
{
  struct recovery *recovery = g_hash_table_lookup (
      fleet->recoveries, &event->seal_reply.incarnation);

  if (recovery == NULL || recovery->step != RECOVERY_SEALING_BACKUPS)
    return;
  for (size_t i = 0; i < recovery->object->backup_count; i++)
    if (recovery->object->backups[i].incarnation == event->seal_reply.backup
        && !recovery->replies[i].has_replied)
      store_reply (&recovery->replies[i], event);
  check_replies (fleet, recovery);
}

static void
finish_pass (struct ds_fleet *fleet, struct recovery *recovery)
{
  if (recovery->is_second_pass)
    {
      recovery->step = RECOVERY_CLOSING_OBJECT;
      recovery_tick (fleet, recovery);
      return;
    }
  recovery->is_second_pass = true;
  recovery->second_pass_at = fleet->now + fleet->options.second_pass_ms;
  recovery->step = RECOVERY_SECOND_PASS;
  fleet_add_action (fleet, DS_FLEET_HOST_RECOVERED)->recovered.incarnation
      = recovery->incarnation;
}

/* Registers that PAGE holds nothing of INCARNATION any more.  */
void
recovery_on_page_sealed (struct ds_fleet *fleet, uint64_t incarnation,
                         uint32_t page, bool was_sealed)
{
  struct recovery *recovery
      = g_hash_table_lookup (fleet->recoveries, &incarnation);

  if (recovery == NULL || recovery->step != RECOVERY_SEALING_PAGES
      || page >= fleet->options.page_count || recovery->pages[page])
    return;
  recovery->pages[page] = true;
  recovery->pages_left--;
  if (was_sealed && !recovery->is_second_pass)
    recovery->has_concurrent_recovery = true;
  if (recovery->pages_left == 0)
    finish_pass (fleet, recovery);
}

static void
update_object (struct recovery *recovery, const struct ds_host *object)
{
  struct ds_host *copy;

  if (object->version <= recovery->object->version
      || ds_host_copy (&copy, NULL, object) < 0)
    return;
  talloc_free (recovery->object);
  recovery->object = copy;
}

/* Handles the Host object of a host under recovery as stored in the platform.
   IS_ANSWER: it is the result of this host's own write, not from a watch.  An
   open host that has changed its object is running, so this recovery ends; its
   new backups decide about a later one.  During a write the known object is
   kept, and the write meets a version conflict.  */
void
recovery_on_object (struct ds_fleet *fleet, const struct ds_host *object,
                    bool is_write_result)
{
  struct recovery *recovery
      = g_hash_table_lookup (fleet->recoveries, &object->incarnation);

  if (recovery == NULL)
    return;
  if (is_write_result)
    recovery->is_writing = false;
  if (object->state == DS_HOST_OPEN)
    {
      if (is_write_result
          || (!recovery->is_writing
              && object->version > recovery->object->version))
        g_hash_table_remove (fleet->recoveries, &object->incarnation);
      return;
    }
  update_object (recovery, object);
  switch (recovery->object->state)
    {
    case DS_HOST_CLOSED:
      recovery->step = RECOVERY_DONE;
      break;
    case DS_HOST_SEALED:
      if (recovery->step == RECOVERY_SEALING_OBJECT)
        recovery->step = RECOVERY_SEALING_BACKUPS;
      break;
    case DS_HOST_OPEN:
      break;
    }
  recovery_tick (fleet, recovery);
}

/* Schedules the retry of a failed write of the Host object.  */
void
recovery_on_write_failed (struct ds_fleet *fleet, uint64_t incarnation)
{
  struct recovery *recovery
      = g_hash_table_lookup (fleet->recoveries, &incarnation);

  if (recovery == NULL)
    return;
  recovery->is_writing = false;
  recovery->retry_at = fleet->now + RETRY_MS;
}

/* Adds the actions that are due in the recovery's current step.  */
void
recovery_tick (struct ds_fleet *fleet, struct recovery *recovery)
{
  if (recovery->is_writing || fleet->now < recovery->retry_at)
    return;
  switch (recovery->step)
    {
    case RECOVERY_SEALING_OBJECT:
      write_object (fleet, recovery, DS_HOST_SEALED);
      break;
    case RECOVERY_SEALING_BACKUPS:
      if (recovery->sent_at == 0
          || fleet->now - recovery->sent_at >= RESEND_MS)
        send_seals (fleet, recovery);
      check_replies (fleet, recovery);
      break;
    case RECOVERY_SECOND_PASS:
      if (fleet->now >= recovery->second_pass_at)
        seal_pages (fleet, recovery);
      break;
    case RECOVERY_CLOSING_OBJECT:
      write_object (fleet, recovery, DS_HOST_CLOSED);
      break;
    case RECOVERY_DONE:
      if (recovery->done_at == 0)
        recovery->done_at = fleet->now;
      else if (fleet->now - recovery->done_at >= fleet->options.retention_ms)
        g_hash_table_remove (fleet->recoveries, &recovery->incarnation);
      break;
    case RECOVERY_SEALING_PAGES:
    case RECOVERY_LOST:
      break;
    }
}

/* The lowest session number from which on every shard's journal is complete;
   UINT64_MAX when a shard has no SESSION_FLOOR record.  */
static uint64_t
session_floor (const struct recovery *recovery)
{
  uint64_t highest = 0;
  size_t shards = 0;
  size_t floors = 0;

  for (size_t i = 0; i < recovery->object->backup_count; i++)
    for (size_t j = 0; j < recovery->replies[i].count; j++)
      shards
          += is_most_complete (recovery, i, &recovery->replies[i].shards[j]);
  for (size_t i = 0; i < recovery->record_count; i++)
    if (recovery->records[i].kind == DS_RECORD_SESSION_FLOOR)
      {
        floors++;
        if (recovery->records[i].tokens > highest)
          highest = recovery->records[i].tokens;
      }
  return shards > 0 && floors == shards ? highest : UINT64_MAX;
}

static enum ds_identity
recorded_state (const struct recovery *recovery,
                const struct ds_request_id *id)
{
  enum ds_identity identity = DS_IDENTITY_NOT_SEEN;

  for (size_t i = 0; i < recovery->record_count; i++)
    {
      const struct ds_record *record = &recovery->records[i];

      if (!ds_request_id_equal (&record->id, id))
        continue;
      if (record->kind == DS_RECORD_SETTLE)
        return DS_IDENTITY_DONE;
      if (record->kind == DS_RECORD_RESERVE)
        identity = DS_IDENTITY_UNKNOWN;
    }
  return identity;
}

/* The state of request ID of the dead INCARNATION, from the records of a
   recovery by this host; TEXT is its "SESSION.NUMBER".  A request with a
   settlement has run; one with only a reservation may have.  One without a
   record never ran if the journal has every request of its session and no
   other host's recovery, from records that may differ, is in the ledger.  */
enum ds_identity
ds_fleet_recovered_request_state (const struct ds_fleet *fleet,
                                  uint64_t incarnation,
                                  const struct ds_request_id *id,
                                  struct ds_str text)
{
  const struct recovery *recovery
      = g_hash_table_lookup (fleet->recoveries, &incarnation);
  enum ds_identity identity;
  uint64_t issuer;
  uint64_t number;

  if (recovery == NULL || recovery->step <= RECOVERY_SEALING_PAGES
      || recovery->step == RECOVERY_LOST || recovery->records == NULL)
    return DS_IDENTITY_UNKNOWN;
  identity = recorded_state (recovery, id);
  if (identity != DS_IDENTITY_NOT_SEEN)
    return identity;
  if (recovery->has_concurrent_recovery
      || ds_session_parse (text, &issuer, &number) < 0 || issuer != incarnation
      || number < session_floor (recovery))
    return DS_IDENTITY_UNKNOWN;
  return DS_IDENTITY_CLAIMED;
}
