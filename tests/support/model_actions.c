#include "model_internal.h"

static void
apply_dispatch (struct model *model, uint64_t handle)
{
  struct model_request *request = model_find_request (model, handle);

  request->dispatches++;
  model->totals.dispatched++;
}

static bool
was_within_prepaid (const struct model *model,
                    const struct model_request *request)
{
  uint64_t taken = 0;

  for (guint i = 0; i < model->requests->len; i++)
    {
      const struct model_request *other
          = g_ptr_array_index (model->requests, i);

      if (other->budget == request->budget && other->dispatches > 0)
        taken += other->is_ended ? other->cost : other->reserve;
    }
  return taken + request->reserve <= model->prepaid[request->budget];
}

static void
apply_refusal (struct model *model, const struct ds_action *action)
{
  struct model_request *request
      = model_find_request (model, action->refuse.handle);

  request->is_refused = true;
  request->is_reported_not_run = !action->refuse.is_outcome_unknown;
  model->totals.refused++;
  if (was_within_prepaid (model, request))
    model->totals.false_refusals++;
}

/* Acknowledges BATCH immediately, before a backup has stored it.  */
static void
ack_early (struct model *model, int host, const struct ds_journal_batch *batch,
           uint64_t incarnation)
{
  struct message *reply;

  if (batch->count == 0)
    return;
  reply = model_send_message (model, MESSAGE_ACK, PLATFORM, host);
  reply->from_incarnation = batch->backup;
  reply->incarnation = incarnation;
  reply->sequence = batch->records[batch->count - 1].sequence;
  reply->is_known = true;
}

static void
apply_journal_send (struct model *model, int host,
                    const struct ds_journal_batch *batch, uint64_t incarnation)
{
  int to = model_find_host (model, batch->backup);
  struct message *message;
  struct ds_record *records;

  if (model_has_weakness (model, MODEL_EARLY_ACK))
    ack_early (model, host, batch, incarnation);
  if (!model_can_connect (model, host, to))
    return;
  message = model_send_message (model, MESSAGE_JOURNAL, host, to);
  message->incarnation = incarnation;
  message->batch = *batch;
  records = talloc_array (message, struct ds_record, batch->count);
  for (size_t i = 0; i < batch->count; i++)
    {
      records[i] = batch->records[i];
      records[i].budget = ds_str_copy (records, records[i].budget);
      records[i].workspace = ds_str_copy (records, records[i].workspace);
      records[i].offering = ds_str_copy (records, records[i].offering);
    }
  message->batch.records = records;
}

static void
apply_page_call (struct model *model, int host, const struct ds_action *action,
                 uint64_t incarnation)
{
  enum message_kind kind = MESSAGE_PAGE_READ;
  struct message *call;

  if (action->kind == DS_ACTION_PAGE_WRITE)
    kind = MESSAGE_PAGE_WRITE;
  else if (action->kind == DS_ACTION_ARCHIVE_WRITE)
    kind = MESSAGE_ARCHIVE_WRITE;
  call = model_send_message (model, kind, host, PLATFORM);
  call->incarnation = incarnation;
  call->page = action->page_read.page;
  if (kind == MESSAGE_PAGE_WRITE)
    {
      call->number = action->page_write.base_version;
      ds_ledger_copy (&call->ledger, call, action->page_write.ledger);
    }
  else if (kind == MESSAGE_ARCHIVE_WRITE)
    {
      call->page = action->archive_write.page;
      call->number = action->archive_write.number;
      ds_ledger_copy (&call->ledger, call, action->archive_write.ledger);
    }
}

static void
send_tokens (struct model *model, int host, int to,
             const struct ds_action *action)
{
  bool is_ask = action->kind == DS_ACTION_TOKEN_ASK;
  struct message *message;

  if (!model_can_connect (model, host, to))
    return;
  message = model_send_message (
      model, is_ask ? MESSAGE_TOKEN_ASK : MESSAGE_TOKEN_GIVE, host, to);
  message->budget = ds_str_copy (message, is_ask ? action->token_ask.budget
                                                 : action->token_give.budget);
  message->number
      = is_ask ? action->token_ask.amount : action->token_give.total;
}

static void
apply_token_message (struct model *model, int host,
                     const struct ds_action *action)
{
  uint64_t to = action->kind == DS_ACTION_TOKEN_ASK
                    ? action->token_ask.holder
                    : action->token_give.receiver;

  if (to != DS_HOLDER_ALL_PEERS)
    send_tokens (model, host, model_find_host (model, to), action);
  for (int i = 0; to == DS_HOLDER_ALL_PEERS && i < model->options.hosts; i++)
    send_tokens (model, host, i, action);
}

static void
apply_backups_synced (struct model *model, int host)
{
  struct ds_fleet_event event = { .kind = DS_FLEET_SHARD_SYNCED };

  model_handle_fleet_event (model, host, &event);
}

static void
apply_holder_sealed (struct model *model, int host,
                     const struct ds_action *action)
{
  struct ds_fleet_event event = {
    .kind = DS_FLEET_PAGE_SEALED,
    .page_sealed = { .page = action->holder_sealed.page,
                     .incarnation = action->holder_sealed.incarnation,
                     .was_sealed = action->holder_sealed.was_sealed },
  };

  model_handle_fleet_event (model, host, &event);
}

/* The actions belong to the incarnation of their shard, which may be a retired
   one.  */
void
model_apply_shard_actions (struct model *model, int host,
                           struct ds_actions *actions)
{
  uint64_t incarnation = actions->incarnation;

  for (size_t i = 0; i < actions->count; i++)
    {
      const struct ds_action *action = &actions->items[i];

      switch (action->kind)
        {
        case DS_ACTION_DISPATCH:
          apply_dispatch (model, action->dispatch.handle);
          break;
        case DS_ACTION_REFUSE:
          apply_refusal (model, action);
          break;
        case DS_ACTION_JOURNAL_SEND:
          apply_journal_send (model, host, &action->journal_send, incarnation);
          break;
        case DS_ACTION_PAGE_READ:
        case DS_ACTION_PAGE_WRITE:
        case DS_ACTION_ARCHIVE_WRITE:
          apply_page_call (model, host, action, incarnation);
          break;
        case DS_ACTION_TOKEN_ASK:
        case DS_ACTION_TOKEN_GIVE:
          apply_token_message (model, host, action);
          break;
        case DS_ACTION_BACKUPS_SYNCED:
          if (incarnation == model->hosts[host].incarnation)
            apply_backups_synced (model, host);
          break;
        case DS_ACTION_HOLDER_SEALED:
          apply_holder_sealed (model, host, action);
          break;
        case DS_ACTION_SEALED:
          if (incarnation == model->hosts[host].incarnation)
            model_open_next_incarnation (model, host);
          break;
        case DS_ACTION_DUPLICATE:
        case DS_ACTION_STOPPED:
          break;
        }
    }
}

/* Seals every page with the records of ACTION that concern it.  */
void
model_seal_pages (struct model *model, int host,
                  const struct ds_fleet_action *action)
{
  for (int p = 0; p < model->options.pages; p++)
    {
      struct ds_record *records = talloc_array (
          model->memory, struct ds_record, action->seal_pages.count);
      size_t count = 0;
      struct ds_event event = { .kind = DS_EVENT_SEAL_HOLDER };

      for (size_t i = 0; i < action->seal_pages.count; i++)
        {
          const struct ds_record *record = &action->seal_pages.records[i];

          if (record->kind == DS_RECORD_SETTLE
              || (record->budget.length > 0
                  && model_page_by_budget_name (model, record->budget)
                         == (uint32_t)p))
            records[count++] = *record;
        }
      event.seal_holder.page = (uint32_t)p;
      event.seal_holder.incarnation = action->seal_pages.incarnation;
      event.seal_holder.records = records;
      event.seal_holder.record_count = count;
      model_handle_shard_event (model, host, model->hosts[host].shard, &event);
      talloc_free (records);
    }
}

static void
apply_backup_change (struct model *model, int host,
                     const struct ds_fleet_action *action)
{
  struct ds_event event = { .kind = DS_EVENT_BACKUPS_ADOPTED };

  if (action->kind == DS_FLEET_PROPOSE_BACKUPS)
    {
      event.kind = DS_EVENT_BACKUPS_PROPOSED;
      event.backups.backups = action->propose.backups;
      event.backups.count = action->propose.count;
    }
  model_handle_shard_event (model, host, model->hosts[host].shard, &event);
}

static void
apply_send_seal (struct model *model, int host,
                 const struct ds_fleet_action *action)
{
  int to = model_find_host (model, action->send_seal.backup);
  struct message *message;

  if (to != host && !model_can_connect (model, host, to))
    return;
  message = model_send_message (model, MESSAGE_SEAL, host, to);
  message->incarnation = action->send_seal.incarnation;
}

void
model_apply_fleet_actions (struct model *model, int host,
                           struct ds_fleet_actions *actions)
{
  uint64_t incarnation = model->hosts[host].incarnation;

  for (size_t i = 0; i < actions->count; i++)
    {
      const struct ds_fleet_action *action = &actions->items[i];
      struct message *call;
      struct ds_event sealed = { .kind = DS_EVENT_SEALED };

      if (model->hosts[host].incarnation != incarnation)
        return;
      switch (action->kind)
        {
        case DS_FLEET_WRITE_HOST:
          call
              = model_send_message (model, MESSAGE_HOST_WRITE, host, PLATFORM);
          ds_host_copy (&call->host, call, action->host);
          break;
        case DS_FLEET_PROPOSE_BACKUPS:
        case DS_FLEET_ADOPT_BACKUPS:
          apply_backup_change (model, host, action);
          break;
        case DS_FLEET_SEND_SEAL:
          apply_send_seal (model, host, action);
          break;
        case DS_FLEET_SEAL_PAGES:
          model_seal_pages (model, host, action);
          break;
        case DS_FLEET_HOST_CLOSED:
          sealed.kind = DS_EVENT_HOST_CLOSED;
          sealed.host_closed.incarnation = action->closed.incarnation;
          model_handle_shard_event (model, host, model->hosts[host].shard,
                                    &sealed);
          break;
        case DS_FLEET_HOST_RECOVERED:
          model->totals.recoveries++;
          break;
        case DS_FLEET_SELF_SEALED:
          model_handle_shard_event (model, host, model->hosts[host].shard,
                                    &sealed);
          break;
        case DS_FLEET_DELETE_HOST:
        case DS_FLEET_CONNECT:
        case DS_FLEET_DISCONNECT:
          break;
        }
    }
}
