#include "shard_internal.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

/* Retry time given with a refusal for a temporary reason.  */
#define RETRY_AFTER_MS 1000

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

/* The ledger page of BUDGET out of PAGE_COUNT, the same on every host.  */
uint32_t
ds_page_of_budget (struct ds_str budget, uint32_t page_count)
{
  return (uint32_t)(ds_str_hash (budget, 0) % page_count);
}

/* Makes ACTIONS empty; their data will belong to OWNER.  */
int
ds_actions_init (struct ds_actions *actions, TALLOC_CTX *owner)
{
  *actions = (struct ds_actions){ .owner = talloc_new (owner) };
  return actions->owner != NULL ? 0 : DS_ENOMEM;
}

/* Frees the actions and their data; ACTIONS can be used again only after
   ds_actions_init.  */
void
ds_actions_clear (struct ds_actions *actions)
{
  g_free (actions->items);
  talloc_free (actions->owner);
  *actions = (struct ds_actions){ .items = NULL };
}

/* Appends an action of KIND with all other members zero.  */
struct ds_action *
ds_actions_add (struct ds_actions *actions, enum ds_action_kind kind)
{
  struct ds_action *action;

  if (actions->count == actions->capacity)
    {
      actions->capacity = actions->capacity > 0 ? 2 * actions->capacity : 16;
      actions->items
          = g_renew (struct ds_action, actions->items, actions->capacity);
    }
  action = &actions->items[actions->count++];
  memset (action, 0, sizeof *action);
  action->kind = kind;
  return action;
}

/* Appends an action of KIND that results from the present event.  */
struct ds_action *
shard_add_action (struct ds_shard *shard, enum ds_action_kind kind)
{
  return ds_actions_add (shard->actions, kind);
}

/* Appends RECORD to the journal.  The process is aborted when memory is short,
   since what is not journaled could not be recovered.  */
void
shard_append (struct ds_shard *shard, uint64_t *sequence,
              const struct ds_record *record)
{
  if (ds_journal_append (shard->journal, sequence, record) < 0)
    g_error ("journal record not appended: out of memory");
}

static void
release_request (gpointer data)
{
  struct request *request = data;

  talloc_free ((void *)request->workspace.data);
  talloc_free ((void *)request->offering.data);
  g_free (request);
}

static void
refuse_arrival (struct ds_shard *shard, const struct ds_event *event,
                enum ds_refusal reason)
{
  struct ds_action *action = shard_add_action (shard, DS_ACTION_REFUSE);

  action->refuse.handle = event->arrive.handle;
  action->refuse.reason = reason;
  action->refuse.retry_after_ms
      = reason == DS_REFUSAL_UNKNOWN_BUDGET ? 0 : RETRY_AFTER_MS;
}

static bool
answer_duplicate (struct ds_shard *shard, const struct ds_event *event)
{
  struct request *known
      = g_hash_table_lookup (shard->by_id, &event->arrive.id);
  struct ds_action *action;

  if (known == NULL)
    return false;
  if (known->state == REQUEST_WITHDRAWN
      && request_identity (shard, known) == DS_IDENTITY_NOT_SEEN)
    {
      g_queue_remove (shard->retained, known);
      request_remove (shard, known);
      return false;
    }
  action = shard_add_action (shard, DS_ACTION_DUPLICATE);
  action->duplicate.handle = event->arrive.handle;
  action->duplicate.identity
      = known->state != REQUEST_CLAIMED
                && known->body_digest != event->arrive.body_digest
            ? DS_IDENTITY_MISMATCH
            : request_identity (shard, known);
  return true;
}

static struct request *
add_request (struct ds_shard *shard, const struct ds_event *event,
             struct grant *grant)
{
  struct request *request = g_new0 (struct request, 1);

  request->handle = event->arrive.handle;
  request->id = event->arrive.id;
  request->body_digest = event->arrive.body_digest;
  request->grant = grant;
  request->workspace = ds_str_copy (NULL, event->arrive.workspace);
  request->offering = ds_str_copy (NULL, event->arrive.offering);
  request->tokens = event->arrive.tokens;
  request->repeatable = event->arrive.repeatable;
  request->keyed = event->arrive.keyed;
  g_hash_table_insert (shard->by_id, &request->id, request);
  g_hash_table_insert (shard->by_handle, &request->handle, request);
  return request;
}

static void
on_arrive (struct ds_shard *shard, const struct ds_event *event)
{
  struct grant *grant = grant_find (shard, event->arrive.budget);
  struct request *request;

  if (answer_duplicate (shard, event))
    return;
  if (shard->is_sealed || shard->is_stopping)
    {
      refuse_arrival (shard, event,
                      shard->is_sealed ? DS_REFUSAL_SEALED
                                       : DS_REFUSAL_STOPPING);
      return;
    }
  if (grant == NULL || !grant->is_configured)
    {
      refuse_arrival (shard, event, DS_REFUSAL_UNKNOWN_BUDGET);
      return;
    }
  request = add_request (shard, event, grant);
  grant_add_demand (shard, grant, request->tokens);
  if (grant->waiting->len == 0 && ds_journal_can_commit (shard->journal)
      && request->tokens <= grant_available (shard, grant))
    request_reserve (shard, request);
  else
    grant_enqueue (shard, grant, request);
  if (grant_available (shard, grant) < grant_demand (shard, grant) / 8)
    page_schedule_update (shard, grant->page, false);
  page_tick (shard, grant->page);
}

static void
on_abandon (struct ds_shard *shard, const struct ds_event *event)
{
  struct request *request
      = g_hash_table_lookup (shard->by_handle, &event->abandon.handle);

  if (request == NULL)
    return;
  if (request->state == REQUEST_WAITING)
    {
      g_ptr_array_remove (request->grant->waiting, request);
      g_hash_table_remove (shard->by_handle, &request->handle);
      request_remove (shard, request);
    }
  else if (request->state == REQUEST_JOURNALING)
    {
      g_queue_remove (shard->journaling, request);
      g_hash_table_remove (shard->by_handle, &request->handle);
      request_withdraw (shard, request);
    }
}

static void
on_end (struct ds_shard *shard, const struct ds_event *event)
{
  struct request *request
      = g_hash_table_lookup (shard->by_handle, &event->end.handle);

  if (request == NULL || request->state != REQUEST_RUNNING)
    return;
  shard->running--;
  g_hash_table_remove (shard->by_handle, &request->handle);
  if (event->end.end == DS_END_NOT_RUN)
    {
      struct grant *grant = request->grant;

      request_withdraw (shard, request);
      grant_serve_waiting (shard, grant);
      return;
    }
  request_make_bill (shard, request, event);
  request_append_settlement (shard, request);
  request->state = REQUEST_ENDED;
  request->grant->reserved -= request->tokens;
  request->grant->used += request->bill.tokens;
  g_ptr_array_add (request->grant->page->unbilled, request);
  request_retain (shard, request);
  page_schedule_update (shard, request->grant->page, false);
  grant_serve_waiting (shard, request->grant);
}

static void
dispatch_committed (struct ds_shard *shard)
{
  uint64_t committed = ds_journal_committed_sequence (shard->journal);

  while (!g_queue_is_empty (shard->journaling))
    {
      struct request *request = g_queue_peek_head (shard->journaling);

      if (request->sequence > committed)
        return;
      g_queue_pop_head (shard->journaling);
      request_dispatch (shard, request);
    }
}

static void
serve_all_waiting (struct ds_shard *shard)
{
  GHashTableIter iterator;
  gpointer grant;

  g_hash_table_iter_init (&iterator, shard->grants);
  while (g_hash_table_iter_next (&iterator, NULL, &grant))
    {
      grant_announce_transfers (shard, grant);
      if (((struct grant *)grant)->waiting->len > 0)
        grant_serve_waiting (shard, grant);
    }
}

static void
report_synced (struct ds_shard *shard)
{
  if (!ds_journal_is_changing_backups (shard->journal)
      || shard->is_synced_reported
      || !ds_journal_is_proposal_synced (shard->journal))
    return;
  shard->is_synced_reported = true;
  shard_add_action (shard, DS_ACTION_BACKUPS_SYNCED);
}

static void
on_journal_ack (struct ds_shard *shard, const struct ds_event *event)
{
  if (shard->is_sealed)
    return;
  ds_journal_ack (shard->journal, event->journal_ack.backup,
                  event->journal_ack.sequence, shard->now);
  dispatch_committed (shard);
  serve_all_waiting (shard);
  report_synced (shard);
}

static void
on_backup_link (struct ds_shard *shard, const struct ds_event *event)
{
  ds_journal_set_link (shard->journal, event->backup_link.backup,
                       event->backup_link.is_up);
  serve_all_waiting (shard);
}

static void
on_backups_proposed (struct ds_shard *shard, const struct ds_event *event)
{
  ds_journal_propose_backups (shard->journal, event->backups.backups,
                              event->backups.count);
  shard->is_synced_reported = false;
  report_synced (shard);
}

static void
on_backups_adopted (struct ds_shard *shard)
{
  ds_journal_adopt_backups (shard->journal);
  dispatch_committed (shard);
  serve_all_waiting (shard);
}

/* Stops this shard, whose incarnation has been sealed, from starting more
   requests.  Running ones continue.  */
void
shard_seal (struct ds_shard *shard)
{
  GHashTableIter iterator;
  gpointer grant;

  if (shard->is_sealed)
    return;
  shard->is_sealed = true;
  while (!g_queue_is_empty (shard->journaling))
    {
      struct request *request = g_queue_pop_head (shard->journaling);

      request_send_refusal (shard, request, DS_REFUSAL_SEALED, RETRY_AFTER_MS);
      request_withdraw (shard, request);
    }
  g_hash_table_iter_init (&iterator, shard->grants);
  while (g_hash_table_iter_next (&iterator, NULL, &grant))
    grant_refuse_waiting (shard, grant, DS_REFUSAL_SEALED, RETRY_AFTER_MS);
  shard_add_action (shard, DS_ACTION_SEALED);
}

static void
on_host_closed (struct ds_shard *shard, const struct ds_event *event)
{
  uint64_t incarnation = event->host_closed.incarnation;

  g_hash_table_add (shard->closed_incarnations,
                    g_memdup2 (&incarnation, sizeof incarnation));
}

/* Journals the session floor, the first session from which on the host has all
   requests.  A request is removed only long after the floor has passed its
   session, and later in the journal: a request of a session above the floor
   that has no record never ran.  */
static void
on_session_floor (struct ds_shard *shard, const struct ds_event *event)
{
  struct ds_record record = {
    .kind = DS_RECORD_SESSION_FLOOR,
    .budget = DS_STR_EMPTY,
    .workspace = DS_STR_EMPTY,
    .offering = DS_STR_EMPTY,
    .tokens = event->session_floor.number,
    .peer = shard->options.incarnation,
  };
  uint64_t sequence;

  if (!shard->is_sealed)
    shard_append (shard, &sequence, &record);
}

static void
on_budget (struct ds_shard *shard, const struct ds_event *event)
{
  struct page *page = page_find_or_add (shard, event->budget.page);
  struct grant *grant = grant_find_or_add (shard, event->budget.name, page);

  grant->responsible = event->budget.responsible;
  if (event->budget.version < grant->budget_version)
    return;
  grant->budget_version = event->budget.version;
  grant->prepaid = event->budget.deleted ? 0 : event->budget.prepaid;
  grant->draw_percent = event->budget.draw_percent;
  grant->is_configured = true;
  if (grant->responsible || grant->granted > 0 || grant->waiting->len > 0)
    page_schedule_update (shard, page, true);
  page_tick (shard, page);
}

static void
on_token_event (struct ds_shard *shard, const struct ds_event *event)
{
  struct grant *grant;

  if (event->kind == DS_EVENT_TOKEN_ASK)
    {
      grant = grant_find (shard, event->token_ask.budget);
      if (grant != NULL)
        grant_token_ask (shard, grant, event->token_ask.amount,
                         event->token_ask.asker);
      return;
    }
  grant = grant_find (shard, event->token_give.budget);
  if (grant != NULL
      && event->token_give.receiver == shard->options.incarnation)
    grant_token_give (shard, grant, event->token_give.giver,
                      event->token_give.total);
}

static void
refuse_uncommitted (struct ds_shard *shard)
{
  while (!g_queue_is_empty (shard->journaling))
    {
      struct request *request = g_queue_peek_head (shard->journaling);

      if (shard->now < request->wait_until)
        return;
      g_queue_pop_head (shard->journaling);
      request_send_refusal (shard, request, DS_REFUSAL_JOURNAL_UNAVAILABLE,
                            RETRY_AFTER_MS);
      request_withdraw (shard, request);
    }
}

/* Removes billed requests whose retention time is over.  */
static void
remove_expired (struct ds_shard *shard)
{
  while (!g_queue_is_empty (shard->retained))
    {
      struct request *request = g_queue_peek_head (shard->retained);

      if (shard->now - request->ended_at < shard->options.retention_ms
          || request->state == REQUEST_ENDED)
        return;
      g_queue_pop_head (shard->retained);
      if (request->state == REQUEST_BILLED)
        request_append_forget (shard, request);
      request_remove (shard, request);
    }
}

static void
report_stopped (struct ds_shard *shard)
{
  GHashTableIter iterator;
  gpointer page;

  if (!shard->is_stopping || shard->is_stop_reported
      || !ds_shard_is_idle (shard))
    return;
  g_hash_table_iter_init (&iterator, shard->pages);
  while (g_hash_table_iter_next (&iterator, NULL, &page))
    {
      const struct page *each = page;

      if (!shard->is_sealed && !each->is_closed && each->ledger != NULL
          && ds_ledger_writer (each->ledger, shard->options.incarnation)
                 != NULL)
        return;
    }
  shard->is_stop_reported = true;
  shard_add_action (shard, DS_ACTION_STOPPED);
}

static void
tick_waiting (struct ds_shard *shard)
{
  for (guint i = 0; i < shard->waiting->len;)
    {
      struct grant *grant = g_ptr_array_index (shard->waiting, i);

      grant_tick (shard, grant);
      if (grant->waiting->len == 0)
        g_ptr_array_remove_index (shard->waiting, i);
      else
        i++;
    }
}

static void
on_tick (struct ds_shard *shard)
{
  GHashTableIter iterator;
  gpointer page;

  refuse_uncommitted (shard);
  tick_waiting (shard);
  g_hash_table_iter_init (&iterator, shard->pages);
  while (g_hash_table_iter_next (&iterator, NULL, &page))
    page_tick (shard, page);
  remove_expired (shard);
  report_stopped (shard);
}

static void
send_journal (struct ds_shard *shard)
{
  struct ds_journal_batch batches[2 * DS_BACKUPS_MAX];
  size_t count;

  if (shard->is_sealed)
    return;
  count = ds_journal_collect_batches (shard->journal, shard->actions->owner,
                                      shard->now, batches);
  for (size_t i = 0; i < count; i++)
    shard_add_action (shard, DS_ACTION_JOURNAL_SEND)->journal_send
        = batches[i];
}

static void
on_page_event (struct ds_shard *shard, const struct ds_event *event)
{
  switch (event->kind)
    {
    case DS_EVENT_PAGE:
      page_content (shard, page_find_or_add (shard, event->page.page),
                    event->page.ledger, event->page.written);
      break;
    case DS_EVENT_PAGE_FAILED:
      page_failed (shard, page_find_or_add (shard, event->page_failed.page));
      break;
    case DS_EVENT_ARCHIVE_WRITTEN:
      page_archive_written (
          shard, page_find_or_add (shard, event->archive_written.page),
          event->archive_written.number, true);
      break;
    case DS_EVENT_ARCHIVE_FAILED:
      page_archive_written (
          shard, page_find_or_add (shard, event->archive_written.page),
          event->archive_written.number, false);
      break;
    default:
      page_add_seal (shard, page_find_or_add (shard, event->seal_holder.page),
                     event->seal_holder.incarnation,
                     event->seal_holder.records,
                     event->seal_holder.record_count);
      break;
    }
}

static void
handle (struct ds_shard *shard, const struct ds_event *event)
{
  switch (event->kind)
    {
    case DS_EVENT_ARRIVE:
      on_arrive (shard, event);
      break;
    case DS_EVENT_ABANDON:
      on_abandon (shard, event);
      break;
    case DS_EVENT_END:
      on_end (shard, event);
      break;
    case DS_EVENT_JOURNAL_ACK:
      on_journal_ack (shard, event);
      break;
    case DS_EVENT_JOURNAL_RESET:
      ds_journal_reset_backup (shard->journal, event->journal_reset.backup);
      break;
    case DS_EVENT_BACKUP_LINK:
      on_backup_link (shard, event);
      break;
    case DS_EVENT_BACKUPS_PROPOSED:
      on_backups_proposed (shard, event);
      break;
    case DS_EVENT_BACKUPS_ADOPTED:
      on_backups_adopted (shard);
      break;
    case DS_EVENT_PAGE:
    case DS_EVENT_PAGE_FAILED:
    case DS_EVENT_ARCHIVE_WRITTEN:
    case DS_EVENT_ARCHIVE_FAILED:
    case DS_EVENT_SEAL_HOLDER:
      on_page_event (shard, event);
      break;
    case DS_EVENT_HOST_CLOSED:
      on_host_closed (shard, event);
      break;
    case DS_EVENT_BUDGET:
      on_budget (shard, event);
      break;
    case DS_EVENT_TOKEN_ASK:
    case DS_EVENT_TOKEN_GIVE:
      on_token_event (shard, event);
      break;
    case DS_EVENT_SEALED:
      shard_seal (shard);
      break;
    case DS_EVENT_SESSION_FLOOR:
      on_session_floor (shard, event);
      break;
    case DS_EVENT_STOP:
      shard->is_stopping = true;
      break;
    case DS_EVENT_TICK:
      on_tick (shard);
      break;
    }
}

/* Creates a shard of one host incarnation; the caller frees it.  */
int
ds_shard_new (struct ds_shard **out, TALLOC_CTX *owner,
              const struct ds_shard_options *options)
{
  struct ds_shard *shard = g_new0 (struct ds_shard, 1);

  shard->options = *options;
  if (ds_journal_new (&shard->journal, owner) < 0)
    {
      g_free (shard);
      return DS_ENOMEM;
    }
  shard->random = g_rand_new_with_seed ((guint32)options->random_seed);
  shard->grants
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, grant_release);
  shard->pages = g_hash_table_new_full (NULL, NULL, NULL, page_release);
  shard->by_handle = g_hash_table_new (g_int64_hash, g_int64_equal);
  shard->by_id
      = g_hash_table_new_full (hash_id, equal_id, NULL, release_request);
  shard->closed_incarnations
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  shard->waiting = g_ptr_array_new ();
  shard->journaling = g_queue_new ();
  shard->retained = g_queue_new ();
  *out = shard;
  return 0;
}

/* Frees SHARD, which may be null.  */
void
ds_shard_free (struct ds_shard *shard)
{
  if (shard == NULL)
    return;
  ds_journal_free (shard->journal);
  g_rand_free (shard->random);
  g_queue_free (shard->journaling);
  g_queue_free (shard->retained);
  g_hash_table_destroy (shard->closed_incarnations);
  g_ptr_array_free (shard->waiting, TRUE);
  g_hash_table_destroy (shard->pages);
  g_hash_table_destroy (shard->by_handle);
  g_hash_table_destroy (shard->by_id);
  g_hash_table_destroy (shard->grants);
  g_free (shard);
}

/* Handles EVENT at NOW_MS of a monotonic clock and appends the resulting
   actions to ACTIONS.  */
void
ds_shard_handle (struct ds_shard *shard, const struct ds_event *event,
                 uint64_t now_ms, struct ds_actions *actions)
{
  shard->now = now_ms;
  shard->actions = actions;
  actions->incarnation = shard->options.incarnation;
  handle (shard, event);
  send_journal (shard);
  shard->actions = NULL;
}

/* The state of request ID in this shard.  */
enum ds_identity
ds_shard_identity (const struct ds_shard *shard,
                   const struct ds_request_id *id)
{
  const struct request *request = g_hash_table_lookup (shard->by_id, id);

  return request != NULL ? request_identity (shard, request)
                         : DS_IDENTITY_NOT_SEEN;
}

/* Like ds_shard_identity, but a request that has not been seen is refused from
   now on, so that the result stays true.  */
enum ds_identity
ds_shard_claim (struct ds_shard *shard, const struct ds_request_id *id,
                uint64_t now_ms)
{
  enum ds_identity known = ds_shard_identity (shard, id);
  struct request *request;

  if (known != DS_IDENTITY_NOT_SEEN)
    return known;
  request = g_hash_table_lookup (shard->by_id, id);
  if (request != NULL)
    {
      request->state = REQUEST_CLAIMED;
      return DS_IDENTITY_NOT_SEEN;
    }
  request = g_new0 (struct request, 1);
  request->id = *id;
  request->state = REQUEST_CLAIMED;
  g_hash_table_insert (shard->by_id, &request->id, request);
  shard->now = now_ms;
  request_retain (shard, request);
  return DS_IDENTITY_NOT_SEEN;
}

/* The host incarnation that this shard belongs to.  */
uint64_t
ds_shard_incarnation (const struct ds_shard *shard)
{
  return shard->options.incarnation;
}

/* Tokens of BUDGET that a new request could reserve here at once.  */
uint64_t
ds_shard_available (struct ds_shard *shard, struct ds_str budget)
{
  const struct grant *grant = grant_find (shard, budget);

  return grant != NULL ? grant_available (shard, grant) : 0;
}

/* Sets *RECORDS to the journal's *COUNT records, valid until the next event.
   Returns the sequence of the last record ever appended.  */
uint64_t
ds_shard_journal (const struct ds_shard *shard,
                  const struct ds_record **records, size_t *count)
{
  *records = ds_journal_records (shard->journal, count);
  return ds_journal_last_sequence (shard->journal);
}

/* Whether the incarnation of this shard has been sealed.  */
bool
ds_shard_is_sealed (const struct ds_shard *shard)
{
  return shard->is_sealed;
}

/* Whether no request runs and nothing has to be written.  */
bool
ds_shard_is_idle (const struct ds_shard *shard)
{
  GHashTableIter iterator;
  gpointer page;

  if (shard->running > 0 || !g_queue_is_empty (shard->journaling))
    return false;
  g_hash_table_iter_init (&iterator, shard->pages);
  while (g_hash_table_iter_next (&iterator, NULL, &page))
    if (!page_is_idle (page))
      return false;
  return true;
}

/* Number of running requests.  */
size_t
ds_shard_running_count (const struct ds_shard *shard)
{
  return shard->running;
}
