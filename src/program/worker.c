#include "program/call.h"
#include "program/server_internal.h"

#include "io/event_context.h"

static gboolean
handle_equal (gconstpointer a, gconstpointer b)
{
  return *(const uint64_t *)a == *(const uint64_t *)b;
}

static void *
run_worker (void *argument)
{
  struct worker *worker = argument;

  while (!worker->is_stopped)
    if (tevent_loop_once (worker->events) != 0)
      break;
  return NULL;
}

static void
handle_quiesce (void *payload, void *context)
{
  (void)context;
  ds_http_server_quiesce (((struct worker *)payload)->http);
}

static void
handle_stop (void *payload, void *context)
{
  (void)context;
  ((struct worker *)payload)->is_stopped = true;
}

static int
open_http (struct worker *worker, struct ds_error *error)
{
  const struct ds_settings *settings = worker->server->settings;
  struct ds_http_server_options options = DS_HTTP_SERVER_OPTIONS_DEFAULT;
  struct ds_http_client_options client = DS_HTTP_CLIENT_OPTIONS_DEFAULT;

  options.address = settings->caller_address.data;
  options.reuse_port = true;
  options.body_limit = settings->limits.body_bytes;
  options.header_limit = settings->limits.header_bytes;
  options.connection_limit
      = (unsigned)(settings->limits.connections / settings->worker_threads)
        + 1;
  options.handler = call_handle;
  options.user_data = worker;
  if (ds_http_client_new (&worker->client, worker->memory, worker->events,
                          &client)
      < 0)
    return ds_error_set (error, DS_ENOMEM, "start worker", NULL,
                         "out of memory");
  return ds_http_server_new (&worker->http, worker->memory, worker->events,
                             &options, error);
}

/* Opens the worker's listener on the caller address and starts its thread.  */
int
server_worker_start (struct worker *worker, struct ds_error *error)
{
  struct ds_mailbox_options options = DS_MAILBOX_OPTIONS_DEFAULT;
  int result;

  options.capacity = MAILBOX_CAPACITY;
  worker->memory = talloc_new (NULL);
  worker->events = ds_event_context_new (worker->memory);
  worker->calls = g_hash_table_new (g_int64_hash, handle_equal);
  if (worker->events == NULL
      || ds_mailbox_new (&worker->mailbox, worker->memory, worker->events,
                         &options, error)
             < 0)
    return ds_error_set (error, DS_ENOMEM, "start worker", NULL,
                         "out of memory");
  result = open_http (worker, error);
  if (result < 0)
    return result;
  if (pthread_create (&worker->thread, NULL, run_worker, worker) != 0)
    return ds_error_set (error, DS_EIO, "start worker", NULL,
                         "cannot create the worker thread");
  worker->is_started = true;
  return 0;
}

/* Stops accepting connections; open ones continue.  */
void
server_worker_quiesce (struct worker *worker)
{
  (void)server_post (worker->mailbox, handle_quiesce, worker, NULL);
}

/* Stops the thread.  Its mailbox still accepts messages of other threads.  */
void
server_worker_stop (struct worker *worker)
{
  if (!worker->is_started)
    return;
  (void)server_post (worker->mailbox, handle_stop, worker, NULL);
  (void)pthread_join (worker->thread, NULL);
}

/* Closes the worker's connections, which ends its calls.  All worker threads
   must have stopped; the mailboxes of all workers must exist, since the end of
   one call can cause a decision on another.  */
void
server_worker_disconnect (struct worker *worker)
{
  ds_http_server_free (worker->http);
  ds_http_client_free (worker->client);
}

/* Frees the remaining resources of a disconnected worker.  */
void
server_worker_clear (struct worker *worker)
{
  if (worker->calls != NULL)
    g_hash_table_destroy (worker->calls);
  talloc_free (worker->memory);
}
