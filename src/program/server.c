#include "program/server.h"
#include "program/server_internal.h"

#include "io/event_context.h"

#include <time.h>
#include <unistd.h>

/* Returns the monotonic clock in milliseconds.  */
uint64_t
server_now (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

/* Returns the worker that owns the request HANDLE.  */
struct worker *
server_worker_for_request (struct ds_server *server, uint64_t handle)
{
  return &server->workers[handle >> HANDLE_WORKER_SHIFT];
}

/* Returns the generation that decides on the request HANDLE.  */
struct generation *
server_generation_for_request (struct ds_server *server, uint64_t handle)
{
  return server
      ->generations[handle >> HANDLE_GENERATION_SHIFT & (GENERATIONS_MAX - 1)];
}

static int
create_core (struct ds_server *server, struct ds_error *error)
{
  struct ds_router_options options = DS_ROUTER_OPTIONS_DEFAULT;

  options.zone = server->settings->zone;
  options.queue_limit = server->settings->limits.queued_requests;
  options.random_seed = (uint64_t)time (NULL);
  if (ds_router_new (&server->router, NULL, &options) < 0
      || ds_catalogue_new (&server->catalogue, NULL) < 0)
    return ds_error_set (error, DS_ENOMEM, "start", NULL, "out of memory");
  server->keys
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  server->host_objects = g_hash_table_new_full (
      g_str_hash, g_str_equal, g_free, (GDestroyNotify)json_decref);
  server->pending_queries
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  server->partial_seal_replies = g_ptr_array_new ();
  server->closed_incarnations
      = g_array_new (FALSE, FALSE, sizeof (struct closed_incarnation));
  return 0;
}

static int
create_event_loop (struct ds_server *server, struct ds_error *error)
{
  struct ds_mailbox_options options = DS_MAILBOX_OPTIONS_DEFAULT;

  options.capacity = MAILBOX_CAPACITY;
  server->memory = talloc_new (NULL);
  server->events = ds_event_context_new (server->memory);
  if (server->events == NULL
      || ds_mailbox_new (&server->mailbox, server->memory, server->events,
                         &options, error)
             < 0)
    return ds_error_set (error, DS_ENOMEM, "start", NULL, "out of memory");
  return 0;
}

static int
start_workers (struct ds_server *server, struct ds_error *error)
{
  int result;

  /* The workers bind with SO_REUSEPORT, which would succeed beside another
     process on the same address.  */
  result = ds_http_server_check_address (server->settings->caller_address.data,
                                         error);
  if (result < 0)
    return result;
  server->worker_count = (uint32_t)server->settings->worker_threads;
  server->workers = g_new0 (struct worker, server->worker_count);
  for (uint32_t i = 0; i < server->worker_count; i++)
    {
      server->workers[i].server = server;
      server->workers[i].index = i;
      result = server_worker_start (&server->workers[i], error);
      if (result < 0)
        return result;
    }
  return 0;
}

/* Opens every listener and connects to the platform.  SETTINGS must outlive
   the server.  */
int
ds_server_new (struct ds_server **out, const struct ds_settings *settings,
               struct ds_error *error)
{
  struct ds_server *server = g_new0 (struct ds_server, 1);
  int result;

  server->settings = settings;
  server->tick_fd = -1;
  server->platform_unreachable_since = server_now ();
  (void)pthread_mutex_init (&server->fleet_lock, NULL);
  (void)pthread_mutex_init (&server->router_lock, NULL);
  (void)pthread_rwlock_init (&server->catalogue_lock, NULL);
  result = create_event_loop (server, error);
  if (result == 0)
    result = create_core (server, error);
  if (result == 0)
    result = server_control_start (server, error);
  if (result == 0)
    result = server_platform_start (server, error);
  if (result == 0)
    result = server_operator_start (server, error);
  if (result == 0)
    result = start_workers (server, error);
  if (result < 0)
    {
      ds_server_free (server);
      return result;
    }
  *out = server;
  return 0;
}

/* Runs the control thread until the shutdown is complete; DS_EIO if the event
   loop fails.  */
int
ds_server_run (struct ds_server *server)
{
  struct ds_log_fields fields = DS_LOG_FIELDS_DEFAULT;

  fields.step = "start";
  fields.peer = server->settings->caller_address.data;
  ds_log (DS_LOG_INFO, &fields, "serving callers");
  while (!server->is_done)
    if (tevent_loop_once (server->events) != 0)
      return DS_EIO;
  fields.step = "stop";
  ds_log (DS_LOG_INFO, &fields, "stopped");
  return 0;
}

/* Stops the workers, then frees SERVER, which may be partly initialized.  */
void
ds_server_free (struct ds_server *server)
{
  if (server == NULL)
    return;
  for (uint32_t i = 0; i < server->worker_count; i++)
    server_worker_stop (&server->workers[i]);
  for (uint32_t i = 0; i < server->worker_count; i++)
    server_worker_disconnect (&server->workers[i]);
  for (uint32_t i = 0; i < server->worker_count; i++)
    server_worker_clear (&server->workers[i]);
  g_free (server->workers);
  if (server->hub != NULL)
    server_peers_stop (server);
  ds_http_server_free (server->operators);
  ds_platform_free (server->platform);
  talloc_free (server->memory);
  if (server->tick_fd >= 0)
    (void)close (server->tick_fd);
  for (uint32_t i = 0; i < server->generation_count; i++)
    server_generation_free (server->generations[i]);
  ds_fleet_free (server->fleet);
  ds_router_free (server->router);
  ds_catalogue_free (server->catalogue);
  ds_backup_free (server->backups);
  if (server->keys != NULL)
    {
      g_hash_table_destroy (server->keys);
      g_hash_table_destroy (server->host_objects);
      g_hash_table_destroy (server->pending_queries);
      g_ptr_array_free (server->partial_seal_replies, TRUE);
      g_array_free (server->closed_incarnations, TRUE);
    }
  (void)pthread_mutex_destroy (&server->fleet_lock);
  (void)pthread_mutex_destroy (&server->router_lock);
  (void)pthread_rwlock_destroy (&server->catalogue_lock);
  g_free (server);
}
