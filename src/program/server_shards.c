#include "program/call.h"
#include "program/server_internal.h"

#include <string.h>

/* A shard's decision on a request, posted to the request's worker.  */
struct request_decision_message
{
  struct worker *worker;
  struct ds_action action;
};

/* The actions of one event that the control thread executes.  */
struct control_batch
{
  struct generation *generation;
  uint32_t shard;
  struct ds_actions actions;
};

static void
handle_request_decision (void *payload, void *context)
{
  struct request_decision_message *message = payload;

  (void)context;
  call_on_shard_decision (message->worker, &message->action);
}

static void
post_to_worker (struct ds_server *server, uint64_t handle,
                const struct ds_action *action)
{
  struct request_decision_message *message
      = g_new0 (struct request_decision_message, 1);

  message->worker = server_worker_for_request (server, handle);
  message->action = *action;
  if (message->worker == NULL
      || server_post (message->worker->mailbox, handle_request_decision,
                      message, g_free)
             < 0)
    g_free (message);
}

static void
handle_control_batch (void *payload, void *context)
{
  struct control_batch *batch = payload;

  (void)context;
  for (size_t i = 0; i < batch->actions.count; i++)
    {
      server_execute_control_action (batch->generation, batch->shard,
                                     &batch->actions.items[i]);
    }
}

static void
release_control_batch (void *payload)
{
  struct control_batch *batch = payload;

  ds_actions_clear (&batch->actions);
  g_free (batch);
}

/* Posts each action to the thread that executes it: decisions on requests to
   the worker that owns the request, the rest to the control thread.  Takes
   ownership of ACTIONS.  */
static void
dispatch_actions (struct generation *generation, uint32_t shard,
                  struct ds_actions *actions)
{
  struct ds_server *server = generation->server;
  struct control_batch *batch;
  size_t kept = 0;

  for (size_t i = 0; i < actions->count; i++)
    {
      struct ds_action *action = &actions->items[i];

      switch (action->kind)
        {
        case DS_ACTION_DISPATCH:
          post_to_worker (server, action->dispatch.handle, action);
          break;
        case DS_ACTION_REFUSE:
          post_to_worker (server, action->refuse.handle, action);
          break;
        case DS_ACTION_DUPLICATE:
          post_to_worker (server, action->duplicate.handle, action);
          break;
        default:
          actions->items[kept++] = *action;
          break;
        }
    }
  actions->count = kept;
  if (kept == 0)
    {
      ds_actions_clear (actions);
      return;
    }
  batch = g_new0 (struct control_batch, 1);
  *batch = (struct control_batch){ .generation = generation,
                                   .shard = shard,
                                   .actions = *actions };
  if (server_post (server->mailbox, handle_control_batch, batch,
                   release_control_batch)
      < 0)
    release_control_batch (batch);
}

/* Handles EVENT in shard number SHARD of GENERATION.  Safe from any thread.
   The actions are posted to mailboxes under the shard's lock, which preserves
   the order of journal records, and executed by their threads without it.  */
void
server_shard_handle_event (struct generation *generation, uint32_t shard,
                           const struct ds_event *event)
{
  struct server_shard *entry = &generation->shards[shard];
  struct ds_actions actions;

  if (ds_actions_init (&actions, NULL) < 0)
    return;
  (void)pthread_mutex_lock (&entry->lock);
  ds_shard_handle (entry->shard, event, server_now (), &actions);
  dispatch_actions (generation, shard, &actions);
  (void)pthread_mutex_unlock (&entry->lock);
}

/* Handles EVENT in every shard of GENERATION.  */
void
server_all_shards_handle_event (struct generation *generation,
                                const struct ds_event *event)
{
  for (uint32_t i = 0; i < generation->shard_count; i++)
    server_shard_handle_event (generation, i, event);
}

/* Returns the ledger page of BUDGET.  */
uint32_t
server_page_of_budget (const struct ds_server *server, struct ds_str budget)
{
  return ds_page_of_budget (budget, (uint32_t)server->settings->ledger_pages);
}

/* Returns the number of the shard that decides for the budgets of PAGE.  */
uint32_t
server_shard_of_page (const struct generation *generation, uint32_t page)
{
  return page % generation->shard_count;
}

static struct ds_shard_options
shard_options (const struct ds_server *server, uint64_t incarnation,
               uint32_t index)
{
  struct ds_shard_options options = DS_SHARD_OPTIONS_DEFAULT;

  options.incarnation = incarnation;
  options.index = index;
  options.random_seed = incarnation + index;
  options.flush_ms = server->settings->flush_ms;
  options.idle_ms = server->settings->idle_ms;
  options.draw_wait_ms = server->settings->timeouts.draw_wait_ms;
  options.retention_ms = 2 * SESSION_LIFETIME_MS;
  return options;
}

/* Creates the shards and sessions of INCARNATION.  */
int
server_generation_new (struct ds_server *server, struct generation **out,
                       uint64_t incarnation)
{
  struct generation *generation = g_new0 (struct generation, 1);

  generation->server = server;
  generation->incarnation = incarnation;
  generation->number = server->generation_count;
  generation->shard_count = (uint32_t)server->settings->shards;
  generation->shards = g_new0 (struct server_shard, generation->shard_count);
  (void)pthread_mutex_init (&generation->sessions_lock, NULL);
  if (ds_sessions_new (&generation->sessions, NULL, incarnation,
                       SESSION_LIFETIME_MS)
      < 0)
    goto fail;
  for (uint32_t i = 0; i < generation->shard_count; i++)
    {
      struct ds_shard_options options = shard_options (server, incarnation, i);

      (void)pthread_mutex_init (&generation->shards[i].lock, NULL);
      if (ds_shard_new (&generation->shards[i].shard, NULL, &options) < 0)
        goto fail;
    }
  *out = generation;
  return 0;

fail:
  server_generation_free (generation);
  return DS_ENOMEM;
}

/* Frees GENERATION, which may be null.  */
void
server_generation_free (struct generation *generation)
{
  if (generation == NULL)
    return;
  for (uint32_t i = 0; i < generation->shard_count; i++)
    {
      ds_shard_free (generation->shards[i].shard);
      (void)pthread_mutex_destroy (&generation->shards[i].lock);
    }
  ds_sessions_free (generation->sessions);
  (void)pthread_mutex_destroy (&generation->sessions_lock);
  g_free (generation->shards);
  g_free (generation);
}
