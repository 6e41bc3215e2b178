#include "program/call.h"
#include "program/server_internal.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

struct host_write_call
{
  struct ds_server *server;
  struct ds_host *host;
};

static const char *const watched_kinds[] = {
  "Workspace", "Budget", "Offering", "Upstream", "Host",
};

static struct ds_host *
parse_host (const json_t *object, uint64_t version)
{
  struct ds_error error = DS_ERROR_NONE;
  struct ds_host *host;

  if (ds_host_from_json (&host, NULL, json_object_get (object, "spec"), &error)
      < 0)
    {
      ds_log_error (&error, NULL);
      return NULL;
    }
  host->version = version;
  return host;
}

static void
host_write_failed (struct host_write_call *call)
{
  struct ds_fleet_event event = {
    .kind = DS_FLEET_HOST_WRITE_FAILED,
    .object = { .incarnation = call->host->incarnation },
  };

  server_fleet_handle_event (call->server, &event);
}

static void
on_host_written (const struct ds_platform_result *result, void *user_data)
{
  struct host_write_call *call = user_data;
  struct ds_fleet_event event = { .kind = DS_FLEET_HOST_WRITTEN };
  struct ds_host *present = NULL;

  if (result->outcome == DS_PLATFORM_OK)
    {
      call->host->version = result->version;
      event.host.object = call->host;
      if (call->host->state == DS_HOST_CLOSED
          && call->host->incarnation == call->server->generation->incarnation)
        call->server->is_done = true;
    }
  else if (result->outcome == DS_PLATFORM_CONFLICT && result->json != NULL)
    {
      present = parse_host (result->json, result->version);
      event.kind = DS_FLEET_HOST_WRITE_CONFLICT;
      event.host.object = present;
    }
  if (event.host.object != NULL)
    server_fleet_handle_event (call->server, &event);
  else
    host_write_failed (call);
  talloc_free (present);
  talloc_free (call->host);
  g_free (call);
}

/* Writes the Host object of this host or of one under recovery.  */
void
server_host_write (struct ds_server *server, const struct ds_host *host)
{
  struct host_write_call *call = g_new0 (struct host_write_call, 1);
  struct ds_platform_callback callback
      = { .on_done = on_host_written, .user_data = call };
  char *name = ds_host_object_name (NULL, host->host, host->incarnation);
  json_t *spec = NULL;
  json_t *object;

  call->server = server;
  if (ds_host_copy (&call->host, NULL, host) < 0
      || ds_host_to_json (&spec, host) < 0)
    g_error ("out of memory for a Host object");
  object = server_object_json ("Host", name, spec);
  if (ds_platform_put (server->platform, "Host", name, host->version, object,
                       callback, NULL)
      < 0)
    {
      host_write_failed (call);
      talloc_free (call->host);
      g_free (call);
    }
  json_decref (object);
  talloc_free (name);
}

static void
on_host_deleted (const struct ds_platform_result *result, void *user_data)
{
  (void)user_data;
  if (result->outcome != DS_PLATFORM_OK
      && result->outcome != DS_PLATFORM_NOT_FOUND
      && result->outcome != DS_PLATFORM_CONFLICT)
    ds_log_error (&result->error, NULL);
}

/* Deletes the Host object of an incarnation that was closed long ago.  */
void
server_host_delete (struct ds_server *server, const struct ds_host *host)
{
  struct ds_platform_callback callback = { .on_done = on_host_deleted };
  char *name = ds_host_object_name (NULL, host->host, host->incarnation);

  (void)ds_platform_delete (server->platform, "Host", name, host->version,
                            callback, NULL);
  talloc_free (name);
}

static uint64_t
incarnation_of_name (const char *name)
{
  const char *dash = strrchr (name, '-');

  return dash != NULL ? strtoull (dash + 1, NULL, 16) : 0;
}

static void
on_host_change (struct ds_server *server, enum ds_platform_change change,
                const char *name, uint64_t version, const json_t *object)
{
  struct ds_fleet_event event = { .kind = DS_FLEET_HOST_DELETED };
  struct ds_host *host = NULL;

  if (change == DS_PLATFORM_CHANGE_PUT)
    {
      host = parse_host (object, version);
      if (host == NULL)
        return;
      event.kind = DS_FLEET_HOST_UPDATED;
      event.host.object = host;
    }
  else
    event.object.incarnation = incarnation_of_name (name);
  server_fleet_handle_event (server, &event);
  talloc_free (host);
}

struct watch_context
{
  struct ds_server *server;
  const char *kind;
};

static void
on_change (enum ds_platform_change change, const char *name, uint64_t version,
           json_t *object, void *user_data)
{
  const struct watch_context *watch = user_data;

  if (strcmp (watch->kind, "Host") == 0)
    {
      g_hash_table_replace (watch->server->host_objects, g_strdup (name),
                            change == DS_PLATFORM_CHANGE_PUT
                                ? json_incref (object)
                                : json_null ());
      on_host_change (watch->server, change, name, version, object);
    }
  else
    server_on_resource_change (watch->server, watch->kind, change, name,
                               version, object);
}

static void
on_reachable_changed (bool reachable, void *user_data)
{
  struct ds_server *server = user_data;
  struct ds_log_fields fields = DS_LOG_FIELDS_DEFAULT;

  server->is_platform_reachable = reachable;
  if (reachable)
    server->platform_unreachable_since = 0;
  else if (server->platform_unreachable_since == 0)
    server->platform_unreachable_since = server_now ();
  fields.step = "platform";
  fields.peer = server->settings->platform.url.data;
  ds_log (reachable ? DS_LOG_INFO : DS_LOG_WARNING, &fields, "%s",
          reachable ? "the platform is reachable"
                    : "the platform is unreachable; serving from the "
                      "token grants of this host");
}

/* Replays what the watches have reported so far to a new incarnation.  */
void
server_platform_replay (struct ds_server *server)
{
  GHashTableIter iterator;
  gpointer name;
  gpointer object;

  server_replay_resources (server);
  g_hash_table_iter_init (&iterator, server->host_objects);
  while (g_hash_table_iter_next (&iterator, &name, &object))
    if (json_is_object ((json_t *)object))
      on_host_change (
          server, DS_PLATFORM_CHANGE_PUT, name,
          (uint64_t)json_integer_value (json_object_get (object, "version")),
          object);
}

/* Connects to the platform and starts the watches.  */
int
server_platform_start (struct ds_server *server, struct ds_error *error)
{
  const struct ds_settings_platform *settings = &server->settings->platform;
  struct ds_platform_options options = DS_PLATFORM_OPTIONS_DEFAULT;

  options.url = settings->url.data;
  options.token = settings->token.length > 0 ? settings->token.data : NULL;
  options.timeout_ms = (uint32_t)settings->timeout_ms;
  options.seed = server->generation->incarnation;
  options.on_reachable_changed = on_reachable_changed;
  options.user_data = server;
  if (ds_platform_new (&server->platform, server->memory, server->events,
                       &options)
      < 0)
    return ds_error_set (error, DS_ENOMEM, "start platform client", NULL,
                         "out of memory");
  for (size_t i = 0; i < G_N_ELEMENTS (watched_kinds); i++)
    {
      struct ds_platform_watch_options watch
          = DS_PLATFORM_WATCH_OPTIONS_DEFAULT;
      struct watch_context *context
          = talloc_zero (server->memory, struct watch_context);
      struct ds_platform_watch *handle;

      context->server = server;
      context->kind = watched_kinds[i];
      watch.kind = watched_kinds[i];
      watch.on_change = on_change;
      watch.user_data = context;
      if (ds_platform_watch_new (&handle, server->platform, &watch) < 0)
        return ds_error_set (error, DS_ENOMEM, "watch", watched_kinds[i],
                             "out of memory");
    }
  return 0;
}
