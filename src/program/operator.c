#include "program/server_internal.h"

#include <inttypes.h>
#include <jansson.h>

static json_t *
dump_generation (const struct ds_server *server, struct generation *generation)
{
  json_t *shards = json_array ();

  for (uint32_t i = 0; i < generation->shard_count; i++)
    {
      struct server_shard *entry = &generation->shards[i];

      (void)pthread_mutex_lock (&entry->lock);
      json_array_append_new (shards, ds_shard_dump (entry->shard));
      (void)pthread_mutex_unlock (&entry->lock);
    }
  return json_pack ("{s:o, s:b, s:o}", "incarnation",
                    json_sprintf ("%016" PRIx64, generation->incarnation),
                    "current", generation == server->generation, "shards",
                    shards);
}

static json_t *
dump_catalogue (struct ds_server *server)
{
  json_t *json;

  (void)pthread_rwlock_rdlock (&server->catalogue_lock);
  json = json_pack ("{s:I, s:I, s:I}", "objects",
                    (json_int_t)ds_catalogue_count (server->catalogue),
                    "version",
                    (json_int_t)ds_catalogue_version (server->catalogue),
                    "keys", (json_int_t)g_hash_table_size (server->keys));
  (void)pthread_rwlock_unlock (&server->catalogue_lock);
  return json;
}

/* Returns the state of this process, which the caller owns.  Control thread
   only.  */
struct json_t *
server_dump (struct ds_server *server)
{
  json_t *generations = json_array ();
  json_t *fleet;
  json_t *router;

  for (uint32_t i = 0; i < server->generation_count; i++)
    json_array_append_new (generations,
                           dump_generation (server, server->generations[i]));
  (void)pthread_mutex_lock (&server->fleet_lock);
  fleet = ds_fleet_dump (server->fleet);
  (void)pthread_mutex_unlock (&server->fleet_lock);
  (void)pthread_mutex_lock (&server->router_lock);
  router = ds_router_dump (server->router, server_now ());
  (void)pthread_mutex_unlock (&server->router_lock);
  return json_pack (
      "{s:s%, s:s%, s:s, s:b, s:b, s:I, s:I, s:o, s:o, s:o, s:o}", "host",
      server->settings->host.data, server->settings->host.length, "zone",
      server->settings->zone.data, server->settings->zone.length, "version",
      DS_VERSION, "draining", (int)server->is_draining, "platform_reachable",
      (int)server->is_platform_reachable, "requests_running",
      (json_int_t)ds_metric_get (DS_METRIC_REQUESTS_RUNNING), "backup_records",
      (json_int_t)ds_backup_record_count (server->backups), "catalogue",
      dump_catalogue (server), "fleet", fleet, "router", router, "generations",
      generations);
}

static void
reply_dump (struct ds_server *server, struct ds_http_request *request)
{
  json_t *dump = server_dump (server);
  char *text = json_dumps (dump, JSON_COMPACT);

  ds_http_request_reply (request, 200, "application/json", NULL, 0,
                         ds_str_from_c (text));
  free (text);
  json_decref (dump);
}

static void
reply_metrics (struct ds_http_request *request)
{
  char *text = ds_metrics_exposition (NULL);

  ds_http_request_reply (request, 200, "text/plain; version=0.0.4", NULL, 0,
                         ds_str_from_c (text));
  talloc_free (text);
}

/* Ready means that this host has its backups and accepts new requests.  */
static void
reply_health (struct ds_server *server, struct ds_http_request *request)
{
  bool is_ready;

  (void)pthread_mutex_lock (&server->fleet_lock);
  is_ready = ds_fleet_is_open (server->fleet) && !server->is_draining;
  (void)pthread_mutex_unlock (&server->fleet_lock);
  ds_http_request_reply (
      request, is_ready ? 200 : 503, "application/json", NULL, 0,
      is_ready ? DS_STR ("{\"ready\":true}") : DS_STR ("{\"ready\":false}"));
}

/* POST /v1/block?host=NAME&on=true|false blocks the link to a host in both
   directions, for partition tests; the settings must allow it.  */
static void
reply_link_block (struct ds_server *server, struct ds_http_request *request)
{
  struct ds_str host = ds_http_request_query (request, "host");
  struct ds_str on = ds_http_request_query (request, "on");

  if (!server->settings->allow_link_blocking)
    {
      ds_http_request_reply (request, 403, "application/json", NULL, 0,
                             DS_STR ("{\"error\":\"the setting "
                                     "allow_link_blocking is false\"}"));
      return;
    }
  if (host.length == 0)
    {
      ds_http_request_reply (request, 400, "application/json", NULL, 0,
                             DS_STR ("{\"error\":\"host is missing\"}"));
      return;
    }
  ds_peer_hub_block (server->hub, host, !ds_str_equal (on, DS_STR ("false")));
  ds_http_request_reply (request, 200, "application/json", NULL, 0,
                         DS_STR ("{}"));
}

static void
reply_error (struct ds_http_request *request, unsigned status,
             struct ds_str body)
{
  ds_http_request_reply (request, status, "application/json", NULL, 0, body);
}

static void
handle_request (struct ds_http_request *request, void *user_data)
{
  struct ds_server *server = user_data;
  struct ds_str path = ds_http_request_path (request);
  bool is_block = ds_str_equal (path, DS_STR ("/v1/block"));
  bool is_dump = ds_str_equal (path, DS_STR ("/v1/dump"));
  bool is_metrics = ds_str_equal (path, DS_STR ("/metrics"));
  struct ds_str method = is_block ? DS_STR ("POST") : DS_STR ("GET");

  if (!is_block && !is_dump && !is_metrics
      && !ds_str_equal (path, DS_STR ("/healthz")))
    reply_error (request, 404,
                 DS_STR ("{\"error\":\"there are /v1/dump, /metrics and "
                         "/healthz\"}"));
  else if (!ds_str_equal (ds_http_request_method (request), method))
    reply_error (request, 405,
                 is_block ? DS_STR ("{\"error\":\"the method is POST\"}")
                          : DS_STR ("{\"error\":\"the method is GET\"}"));
  else if (is_block)
    reply_link_block (server, request);
  else if (is_dump)
    reply_dump (server, request);
  else if (is_metrics)
    reply_metrics (request);
  else
    reply_health (server, request);
}

/* Starts the HTTP server on the setting operator_address.  */
int
server_operator_start (struct ds_server *server, struct ds_error *error)
{
  struct ds_http_server_options options = DS_HTTP_SERVER_OPTIONS_DEFAULT;

  options.address = server->settings->operator_address.data;
  options.handler = handle_request;
  options.user_data = server;
  return ds_http_server_new (&server->operators, server->memory,
                             server->events, &options, error);
}
