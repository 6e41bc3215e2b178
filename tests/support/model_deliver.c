#include "model_internal.h"

static void
deliver_journal (struct model *model, const struct message *message)
{
  struct model_host *host = &model->hosts[message->to];
  struct ds_backup_ack ack;
  struct message *reply;

  if (ds_backup_append (&ack, host->backups, message->incarnation, 0,
                        message->batch.is_copy, message->batch.base,
                        message->batch.records, message->batch.count)
      < 0)
    {
      model_fail (model, "a backup rejected a journal append as invalid");
      return;
    }
  if (ack.sealed && model_has_weakness (model, MODEL_IGNORE_SEAL))
    {
      ack.sealed = false;
      ack.sequence
          = message->batch.count > 0
                ? message->batch.records[message->batch.count - 1].sequence
                : 0;
    }
  reply = model_send_message (model, MESSAGE_ACK, message->to, message->from);
  reply->to_incarnation = message->from_incarnation;
  reply->incarnation = message->incarnation;
  reply->sequence = ack.sequence;
  reply->is_sealed = ack.sealed;
  reply->is_known = !ack.unknown;
}

static void
deliver_ack (struct model *model, const struct message *message)
{
  bool is_current;
  struct ds_shard *shard = model_find_shard (
      model, message->to, message->incarnation, &is_current);
  struct ds_event event = {
    .kind = DS_EVENT_JOURNAL_ACK,
    .journal_ack
    = { .backup = message->from_incarnation, .sequence = message->sequence },
  };

  if (shard == NULL)
    return;
  if (message->is_sealed)
    event.kind = DS_EVENT_SEALED;
  else if (!message->is_known)
    {
      event.kind = DS_EVENT_JOURNAL_RESET;
      event.journal_reset.backup = message->from_incarnation;
    }
  model_handle_shard_event (model, message->to, shard, &event);
}

struct record_collector
{
  TALLOC_CTX *owner;
  struct ds_sealed_shard *out;
};

static int
collect_record (void *context, uint32_t shard, const struct ds_record *record)
{
  struct record_collector *record_collector = context;
  struct ds_record *records
      = (struct ds_record *)record_collector->out->records;

  (void)shard;
  records = talloc_realloc (record_collector->owner, records, struct ds_record,
                            record_collector->out->count + 1);
  records[record_collector->out->count] = *record;
  records[record_collector->out->count].budget
      = ds_str_copy (record_collector->owner, record->budget);
  records[record_collector->out->count].workspace
      = ds_str_copy (record_collector->owner, record->workspace);
  records[record_collector->out->count].offering
      = ds_str_copy (record_collector->owner, record->offering);
  record_collector->out->count++;
  record_collector->out->records = records;
  return 0;
}

static void
collect_sequence (void *context, uint32_t shard, uint64_t sequence)
{
  struct record_collector *record_collector = context;

  record_collector->out->shard = shard;
  record_collector->out->sequence = sequence;
}

static void
deliver_seal (struct model *model, const struct message *message)
{
  struct model_host *host = &model->hosts[message->to];
  struct message *reply = model_send_message (model, MESSAGE_SEAL_REPLY,
                                              message->to, message->from);
  struct record_collector record_collector
      = { .owner = reply, .out = &reply->sealed };

  reply->to_incarnation = message->from_incarnation;
  reply->incarnation = message->incarnation;
  ds_backup_seal (host->backups, message->incarnation, &reply->is_known);
  if (!reply->is_known)
    return;
  ds_backup_visit_shards (host->backups, message->incarnation,
                          collect_sequence, &record_collector);
  ds_backup_visit_records (host->backups, message->incarnation, collect_record,
                           &record_collector);
  if (model_has_weakness (model, MODEL_SHORTEST_RECORDS))
    reply->sealed.sequence = UINT32_MAX - reply->sealed.sequence;
}

static void
deliver_seal_reply (struct model *model, const struct message *message)
{
  struct ds_fleet_event event = {
    .kind = DS_FLEET_SEAL_REPLY,
    .seal_reply = { .backup = message->from_incarnation,
                    .incarnation = message->incarnation,
                    .known = message->is_known,
                    .shards = &message->sealed,
                    .shard_count = 1 },
  };

  model_handle_fleet_event (model, message->to, &event);
}

static void
deliver_tokens (struct model *model, const struct message *message)
{
  struct ds_event event = { .kind = DS_EVENT_TOKEN_ASK };

  if (message->kind == MESSAGE_TOKEN_ASK)
    {
      event.token_ask.budget = message->budget;
      event.token_ask.amount = message->number;
      event.token_ask.asker = message->from_incarnation;
    }
  else
    {
      event.kind = DS_EVENT_TOKEN_GIVE;
      event.token_give.budget = message->budget;
      event.token_give.giver = message->from_incarnation;
      event.token_give.receiver = message->to_incarnation;
      event.token_give.total = message->number;
    }
  model_handle_shard_event (model, message->to,
                            model->hosts[message->to].shard, &event);
}

static void
deliver_page (struct model *model, const struct message *message)
{
  bool is_current;
  struct ds_shard *shard = model_find_shard (
      model, message->to, message->incarnation, &is_current);
  struct ds_event event = { .kind = DS_EVENT_PAGE_FAILED,
                            .page_failed = { .page = message->page } };

  if (shard == NULL)
    return;
  if (message->kind == MESSAGE_PAGE_RESPONSE)
    {
      event.kind = DS_EVENT_PAGE;
      event.page.page = message->page;
      event.page.ledger = message->ledger;
      event.page.written = message->is_written;
    }
  else if (message->kind == MESSAGE_ARCHIVE_RESPONSE)
    {
      event.kind = message->is_written ? DS_EVENT_ARCHIVE_WRITTEN
                                       : DS_EVENT_ARCHIVE_FAILED;
      event.archive_written.page = message->page;
      event.archive_written.number = message->number;
    }
  model_handle_shard_event (model, message->to, shard, &event);
}

static void
deliver_host (struct model *model, const struct message *message)
{
  struct ds_fleet_event event = { .kind = DS_FLEET_HOST_UPDATED };

  event.host.object = message->host;
  if (message->kind == MESSAGE_HOST_RESPONSE)
    event.kind = message->is_written ? DS_FLEET_HOST_WRITTEN
                                     : DS_FLEET_HOST_WRITE_CONFLICT;
  else if (message->kind == MESSAGE_HOST_FAILED)
    {
      event.kind = DS_FLEET_HOST_WRITE_FAILED;
      event.object.incarnation = message->host->incarnation;
    }
  model_handle_fleet_event (model, message->to, &event);
}

static bool
is_stale (const struct model *model, const struct message *message)
{
  const struct model_host *to = &model->hosts[message->to];
  bool is_current;

  if (!to->is_alive)
    return true;
  if (message->to_incarnation == to->incarnation)
    return false;
  /* Platform responses to a retired shard of a running process are still
     delivered.  */
  return message->from != PLATFORM
         || model_find_shard (model, message->to, message->incarnation,
                              &is_current)
                == NULL;
}

void
model_deliver (struct model *model, struct message *message)
{
  if (message->to == PLATFORM)
    {
      model_serve_platform (model, message);
      return;
    }
  if (is_stale (model, message))
    return;
  switch (message->kind)
    {
    case MESSAGE_JOURNAL:
      deliver_journal (model, message);
      break;
    case MESSAGE_ACK:
      deliver_ack (model, message);
      break;
    case MESSAGE_SEAL:
      deliver_seal (model, message);
      break;
    case MESSAGE_SEAL_REPLY:
      deliver_seal_reply (model, message);
      break;
    case MESSAGE_TOKEN_ASK:
    case MESSAGE_TOKEN_GIVE:
      deliver_tokens (model, message);
      break;
    case MESSAGE_PAGE_RESPONSE:
    case MESSAGE_PAGE_FAILED:
    case MESSAGE_ARCHIVE_RESPONSE:
      deliver_page (model, message);
      break;
    case MESSAGE_HOST_RESPONSE:
    case MESSAGE_HOST_FAILED:
    case MESSAGE_HOST_CHANGED:
      deliver_host (model, message);
      break;
    default:
      break;
    }
}

bool
model_can_deliver (const struct model *model, guint index)
{
  const struct message *message = g_ptr_array_index (model->messages, index);

  if (message->to != PLATFORM && model->hosts[message->to].is_alive
      && model->hosts[message->to].is_paused)
    return false;
  if (message->from == PLATFORM || message->to == PLATFORM)
    return true;
  for (guint i = 0; i < index; i++)
    {
      const struct message *earlier = g_ptr_array_index (model->messages, i);

      if (earlier->from == message->from && earlier->to == message->to)
        return false;
    }
  return true;
}

void
model_deliver_at (struct model *model, guint index)
{
  struct message *message = g_ptr_array_index (model->messages, index);

  message = talloc_steal (NULL, message);
  g_ptr_array_set_free_func (model->messages, NULL);
  g_ptr_array_remove_index (model->messages, index);
  g_ptr_array_set_free_func (model->messages, model_release_message);
  model_deliver (model, message);
  talloc_free (message);
  model_check (model);
}

void
model_deliver_random (struct model *model)
{
  guint start;

  if (model->messages->len == 0)
    return;
  start = (guint)g_rand_int_range (model->random, 0,
                                   (gint32)model->messages->len);
  for (guint i = 0; i < model->messages->len; i++)
    {
      guint index = (start + i) % model->messages->len;

      if (!model_can_deliver (model, index))
        continue;
      model_deliver_at (model, index);
      return;
    }
}

void
model_tick_host (struct model *model, int index)
{
  struct model_host *host = &model->hosts[index];
  struct ds_event event = { .kind = DS_EVENT_TICK };
  struct ds_fleet_event fleet = { .kind = DS_FLEET_TICK };

  if (!host->is_alive || host->is_paused)
    return;
  model_handle_fleet_event (model, index, &fleet);
  model_handle_shard_event (model, index, host->shard, &event);
  for (guint i = 0; i < host->retired_shards->len; i++)
    model_handle_shard_event (
        model, index, g_ptr_array_index (host->retired_shards, i), &event);
}

void
model_tick_all (struct model *model)
{
  for (int i = 0; i < model->options.hosts; i++)
    model_tick_host (model, i);
  model_check (model);
}
