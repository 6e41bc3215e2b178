#include "shard_internal.h"

/* The life cycle of a request, from its reservation to its bill.  */

void
request_remove (struct ds_shard *shard, struct request *request)
{
  g_hash_table_remove (shard->by_id, &request->id);
}

/* Appends the record that lets backups drop their records of REQUEST.  */
void
request_append_forget (struct ds_shard *shard, struct request *request)
{
  struct ds_record record = { .kind = DS_RECORD_REMOVE, .id = request->id };

  if (!shard->is_sealed)
    shard_append (shard, &request->sequence, &record);
}

void
request_dispatch (struct ds_shard *shard, struct request *request)
{
  request->state = REQUEST_RUNNING;
  shard->running++;
  shard_add_action (shard, DS_ACTION_DISPATCH)->dispatch.handle
      = request->handle;
}

/* Reserves tokens, which must be available, and journals the reservation.  */
void
request_reserve (struct ds_shard *shard, struct request *request)
{
  struct grant *grant = request->grant;
  struct ds_record record = {
    .kind = DS_RECORD_RESERVE,
    .id = request->id,
    .body_digest = request->body_digest,
    .budget = grant->budget,
    .workspace = request->workspace,
    .offering = request->offering,
    .tokens = request->tokens,
    .repeatable = request->repeatable,
    .keyed = request->keyed,
  };

  grant->reserved += request->tokens;
  shard_append (shard, &request->sequence, &record);
  if (request->sequence <= ds_journal_committed_sequence (shard->journal))
    {
      request_dispatch (shard, request);
      return;
    }
  request->state = REQUEST_JOURNALING;
  request->wait_until = shard->now + shard->options.draw_wait_ms;
  g_queue_push_tail (shard->journaling, request);
}

void
request_retain (struct ds_shard *shard, struct request *request)
{
  request->ended_at = shard->now;
  g_queue_push_tail (shard->retained, request);
}

void
request_send_refusal (struct ds_shard *shard, const struct request *request,
                      enum ds_refusal reason, uint64_t retry_after_ms)
{
  struct ds_action *action = shard_add_action (shard, DS_ACTION_REFUSE);

  action->refuse.handle = request->handle;
  action->refuse.reason = reason;
  action->refuse.retry_after_ms = retry_after_ms;
  action->refuse.is_outcome_unknown
      = request->state == REQUEST_JOURNALING
        && ds_journal_was_sent (shard->journal, request->sequence);
  g_hash_table_remove (shard->by_handle, &request->handle);
}

/* Refuses a request without a reservation and removes it: it did not run.  */
void
request_refuse (struct ds_shard *shard, struct request *request,
                enum ds_refusal reason, uint64_t retry_after_ms)
{
  request_send_refusal (shard, request, reason, retry_after_ms);
  request_remove (shard, request);
}

/* Queues a request of a sealed incarnation for removal from the page, without
   a bill, once the recovery has entered its reservation there.  */
static void
withdraw_after_seal (struct ds_shard *shard, struct request *request)
{
  request->state = REQUEST_ENDED;
  request->bill = (struct ds_bill){
    .id = request->id,
    .budget = request->grant->budget,
    .incarnation = shard->options.incarnation,
  };
  g_ptr_array_add (request->grant->page->unbilled, request);
  request_retain (shard, request);
  page_schedule_update (shard, request->grant->page, false);
}

/* Returns the tokens of a request that was journaled and did not run.  It is
   kept while a backup may still have its reservation.  */
void
request_withdraw (struct ds_shard *shard, struct request *request)
{
  bool is_sent = ds_journal_was_sent (shard->journal, request->sequence);

  request->grant->reserved -= request->tokens;
  if (shard->is_sealed)
    {
      withdraw_after_seal (shard, request);
      return;
    }
  request_append_forget (shard, request);
  if (!is_sent)
    {
      request_remove (shard, request);
      return;
    }
  request->state = REQUEST_WITHDRAWN;
  request_retain (shard, request);
}

/* Marks REQUEST as billed, in the ledger page or by a recovery.  */
void
request_mark_billed (struct ds_shard *shard, struct request *request)
{
  (void)shard;
  request->grant->used -= request->bill.tokens;
  request->state = REQUEST_BILLED;
}

enum ds_identity
request_identity (const struct ds_shard *shard, const struct request *request)
{
  switch (request->state)
    {
    case REQUEST_WAITING:
    case REQUEST_JOURNALING:
    case REQUEST_RUNNING:
      return DS_IDENTITY_RUNNING;
    case REQUEST_ENDED:
    case REQUEST_BILLED:
      return DS_IDENTITY_DONE;
    case REQUEST_WITHDRAWN:
      return request->sequence
                         <= ds_journal_committed_sequence (shard->journal)
                     && !shard->is_sealed
                 ? DS_IDENTITY_NOT_SEEN
                 : DS_IDENTITY_UNKNOWN;
    case REQUEST_CLAIMED:
      return DS_IDENTITY_CLAIMED;
    }
  return DS_IDENTITY_UNKNOWN;
}

void
request_make_bill (const struct ds_shard *shard, struct request *request,
                   const struct ds_event *event)
{
  uint64_t tokens = event->end.tokens < request->tokens ? event->end.tokens
                                                        : request->tokens;

  request->bill = (struct ds_bill){
    .id = request->id,
    .budget = request->grant->budget,
    .workspace = request->workspace,
    .offering = request->offering,
    .incarnation = shard->options.incarnation,
    .input_tokens = event->end.input_tokens,
    .output_tokens = event->end.output_tokens,
    .tokens = tokens,
    .estimated = event->end.end == DS_END_INTERRUPTED,
    .keyed = request->keyed,
  };
}

void
request_append_settlement (struct ds_shard *shard, struct request *request)
{
  struct ds_record record = {
    .kind = DS_RECORD_SETTLE,
    .id = request->id,
    .tokens = request->bill.tokens,
    .input_tokens = request->bill.input_tokens,
    .output_tokens = request->bill.output_tokens,
    .estimated = request->bill.estimated,
  };

  if (!shard->is_sealed)
    shard_append (shard, &request->sequence, &record);
}
