#include "support/entry_site.h"
#include "core/ledger_page.h"

#include <check.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define OBJECTS ENTRY_OBJECTS
/* max_body_bytes, unless a test sets another.  */
#define BODY_LIMIT_BYTES 20000

struct test_process *entry_store;
struct test_process *entry_replicas[ENTRY_REPLICAS];
struct test_process *entry_hosts[ENTRY_HOSTS_MAX];
long entry_minimum_tokens = 2000;
const char *entry_further_settings = "";
const char *entry_region = "r";
const char *entry_replica_zones[ENTRY_REPLICAS] = { "z", "z" };
long entry_release_span_ms;
long entry_kv_capacity;
char entry_caller_addresses[ENTRY_HOSTS_MAX][ENTRY_ADDRESS_BYTES];
char entry_readiness_addresses[ENTRY_HOSTS_MAX][ENTRY_ADDRESS_BYTES];
char entry_directory_addresses[ENTRY_HOSTS_MAX][ENTRY_ADDRESS_BYTES];
static int entry_config_version;
static long entry_body_limit;
static int entry_restarts[ENTRY_REPLICAS];
static double entry_cold_start_s;
static double entry_cold_per_s;
static long entry_cold_remaining_ms;

/* Addresses derived from the whole process id, since several test programs may
   run at the same time, some for minutes.  Ten numbers share a port.  */
void
entry_format_address (char *out, int number, int port)
{
  int pid = (int)getpid ();

  (void)sprintf (out, "127.%d.%d.%d:%d", 100 + pid / 6000 % 100, pid % 250 + 1,
                 pid / 250 % 24 * 10 + number % 10, port + number / 10 * 10);
}

/* Writes the object NAME with SPEC, which it takes over, by METHOD to PATH;
   returns the status.  */
long
entry_put_object (const char *method, const char *path, json_t *spec,
                  const char *name)
{
  json_t *object
      = json_pack ("{s:{s:s},s:o}", "metadata", "name", name, "spec", spec);
  char *text = json_dumps (object, JSON_COMPACT);
  struct test_http_call call = { .method = method,
                                 .address = entry_store->address,
                                 .path = path,
                                 .body = text };
  struct test_http_response *reply = test_http (&call);

  json_decref (object);
  free (text);
  return reply->status;
}

/* The path of the ledger page with the workspace's account.  */
const char *
entry_ledger_path (void)
{
  static char path[64];

  (void)snprintf (path, sizeof path, OBJECTS "daisystep-ledger/page-%u",
                  (unsigned)ds_ledger_page_index (DS_STR ("north")));
  return path;
}

/* Writes the configuration with PREPAID tokens for the workspace and, unless
   null, a further route at PATH_PREFIX.  */
void
entry_put_config_with_route (long prepaid, const char *path_prefix)
{
  json_t *spec = json_pack (
      "{s:i,"
      "s:[{s:s,s:s,s:s,s:s,s:i,s:i,s:s},{s:s,s:s,s:s,s:s,s:i,s:i,s:s},"
      "{s:s,s:s,s:s,s:s,s:i,s:i,s:s,s:b,s:b},"
      "{s:s,s:s,s:s,s:s,s:i,s:i,s:s,s:b,s:b}],"
      "s:[{s:s,s:s,s:{s:i,s:i,s:I}}],"
      "s:{s:i,s:i,s:i,s:i},"
      "s:[{s:s,s:[s],s:I}]}",
      "version", ++entry_config_version, "routes", "name", "look", "host",
      "d.example", "path_prefix", "/look/", "kind", "idempotent", "timeout_ms",
      4000, "max_attempts", 2, "service", "pool", "name", "book", "host",
      "d.example", "path_prefix", "/book/", "kind", "non_idempotent",
      "timeout_ms", 4000, "max_attempts", 1, "service", "pool", "name",
      "stream", "host", "d.example", "path_prefix", "/stream/", "kind",
      "streaming", "timeout_ms", 8000, "max_attempts", 2, "service", "pool",
      "resumable", 1, "sticky", 1, "name", "once", "host", "d.example",
      "path_prefix", "/once/", "kind", "streaming", "timeout_ms", 8000,
      "max_attempts", 2, "service", "pool", "resumable", 0, "sticky", 1,
      "services", "name", "pool", "health_path", "/health", "engine", "slots",
      8, "stride", 4, "kv_capacity", (json_int_t)entry_kv_capacity, "limits",
      "max_header_bytes", 4000, "max_body_bytes", (int)entry_body_limit,
      "header_timeout_ms", 3000, "idle_timeout_ms", 15000, "tenants", "name",
      "north", "api_keys", "key-1", "prepaid", (json_int_t)prepaid);

  ck_assert_ptr_nonnull (spec);
  if (entry_cold_start_s > 0)
    json_object_update_new (
        json_array_get (json_object_get (spec, "services"), 0),
        json_pack ("{s:f,s:f}", "cold_start_s", entry_cold_start_s,
                   "cold_per_s", entry_cold_per_s));
  if (path_prefix != NULL)
    json_array_append_new (json_object_get (spec, "routes"),
                           json_pack ("{s:s,s:s,s:s,s:s,s:i,s:i,s:s}", "name",
                                      "further", "host", "d.example",
                                      "path_prefix", path_prefix, "kind",
                                      "idempotent", "timeout_ms", 4000,
                                      "max_attempts", 2, "service", "pool"));
  ck_assert_int_eq (
      entry_put_object (entry_config_version == 1 ? "POST" : "PUT",
                        entry_config_version == 1 ? OBJECTS "config"
                                                  : OBJECTS "config/main",
                        spec, "main"),
      200);
}

void
entry_put_config (long prepaid)
{
  entry_put_config_with_route (prepaid, NULL);
}

/* Sets max_body_bytes of the configurations written from now on.  */
void
entry_set_body_limit (long bytes)
{
  entry_body_limit = bytes;
}

/* Sets the cold phase of the service in configurations, and what replicas
   state of it in registrations, that are written from now on.  A START_S of 0
   is none.  */
void
entry_set_cold_phase (double start_s, double per_s, long remaining_ms)
{
  entry_cold_start_s = start_s;
  entry_cold_per_s = per_s;
  entry_cold_remaining_ms = remaining_ms;
}

static void
put_replica (int i, const char *state, bool exists)
{
  char id[16];
  char path[64];
  json_t *spec
      = json_pack ("{s:s,s:s,s:s,s:s,s:i,s:I}", "service", "pool", "address",
                   entry_replicas[i]->address, "zone", entry_replica_zones[i],
                   "state", state, "slots", 8, "born",
                   1000 + i + (json_int_t)entry_restarts[i] * 1000);

  if (entry_cold_start_s > 0)
    json_object_set_new (spec, "cold_remaining_ms",
                         json_integer (entry_cold_remaining_ms));
  (void)sprintf (id, "i-%d", i);
  (void)sprintf (path, exists ? OBJECTS "servers/%s" : OBJECTS "servers", id);
  ck_assert_int_eq (entry_put_object (exists ? "PUT" : "POST", path, spec, id),
                    200);
}

void
entry_put_replica (int i, const char *state)
{
  put_replica (i, state, strcmp (state, "ready") != 0);
}

/* Registers replica I as one that has crashed and started again.  Starts are
   a second apart.  */
void
entry_restart_replica (int i)
{
  entry_restarts[i]++;
  put_replica (i, "ready", true);
}

void
entry_start_host (int i, const char *zone)
{
  char name[16];
  char gossip[32];
  char metrics[32];
  char text[2048];
  char *file;
  const char *arguments[] = { "entry", "--config", NULL, NULL };

  (void)sprintf (name, "host-%d", i);
  entry_format_address (entry_caller_addresses[i], i, 8080);
  entry_format_address (entry_readiness_addresses[i], i, 8081);
  entry_format_address (entry_directory_addresses[i], i, 8082);
  entry_format_address (gossip, i, 8083);
  entry_format_address (metrics, i, 8084);
  (void)snprintf (
      text, sizeof text,
      "{%s\"host\":\"%s\",\"zone\":\"%s\",\"region\":\"%s\","
      "\"caller_address\":\"%s\",\"readiness_address\":\"%s\","
      "\"directory_address\":\"%s\",\"gossip_address\":\"%s\","
      "\"metrics_address\":\"%s\",\"store_address\":\"%s\",\"grace_s\":8,"
      "\"address_ttl_s\":2,\"retry\":{\"ratio\":0.2,\"slack\":50,"
      "\"window_s\":10},\"budget\":{\"settle_ms\":200,\"hold_ms\":13000,"
      "\"part_percent\":35,\"start_percent\":20,\"minimum_tokens\":%ld,"
      "\"release\":{\"span_ms\":%ld}}}",
      entry_further_settings, name, zone, entry_region,
      entry_caller_addresses[i], entry_readiness_addresses[i],
      entry_directory_addresses[i], gossip, metrics, entry_store->address,
      entry_minimum_tokens, entry_release_span_ms);
  file = test_file_write (name, text);
  arguments[2] = file;
  ck_assert_int_eq (test_process_start (&entry_hosts[i], name,
                                        DS_BUILD_DIR "/daisystep", arguments),
                    0);
}

void
entry_wait_ready (int i)
{
  for (int waited = 0; waited < ENTRY_WAIT_MS; waited += ENTRY_POLL_MS)
    {
      struct test_http_call call = { .address = entry_readiness_addresses[i],
                                     .path = "/daisystep/readiness" };

      if (test_http (&call)->status == 200)
        return;
      test_sleep_ms (ENTRY_POLL_MS);
    }
  ck_abort_msg ("host %d is not ready", i);
}

/* Waits until host I serves a stream, so that it has drawn tokens from the
   ledger.  */
void
entry_wait_served (int i)
{
  for (int waited = 0; waited < ENTRY_WAIT_MS; waited += ENTRY_POLL_MS)
    {
      char id[32];

      (void)snprintf (id, sizeof id, "first-%d-%d", i, waited);
      if (entry_request (i, "POST", "/stream/1", id, "100,24")->status == 200)
        return;
      test_sleep_ms (ENTRY_POLL_MS);
    }
  ck_abort_msg ("host %d does not serve", i);
}

/* Sends a request with ID and, unless null, the Token-Count TOKENS.  */
struct test_http_response *
entry_request (int host, const char *method, const char *path, const char *id,
               const char *tokens)
{
  char id_line[64];
  char token_line[64];
  const char *headers[8] = { "Host: d.example", "Authorization: Bearer key-1",
                             "Deadline-Ms: 6000", id_line };
  struct test_http_call call = {
    .method = method,
    .address = entry_caller_addresses[host],
    .path = path,
    .headers = headers,
    .body = strcmp (method, "GET") == 0 ? NULL : "hello",
  };

  (void)snprintf (id_line, sizeof id_line, "Request-Id: %s", id);
  if (tokens != NULL)
    {
      (void)snprintf (token_line, sizeof token_line, "Token-Count: %s",
                      tokens);
      headers[4] = token_line;
    }
  return test_http (&call);
}

int
entry_count_runs (const char *id)
{
  int count = 0;

  for (int i = 0; i < ENTRY_REPLICAS; i++)
    {
      json_t *runs
          = test_get_json (entry_replicas[i]->address, "/standin/runs");
      size_t k;
      json_t *run;

      json_array_foreach (runs, k, run)
      {
        if (strcmp (json_string_value (json_object_get (run, "id")), id) == 0)
          {
            count++;
            ck_assert_str_eq (
                json_string_value (json_object_get (run, "tenant")), "north");
            ck_assert_str_eq (json_string_value (json_object_get (run, "key")),
                              "");
          }
      }
      json_decref (runs);
    }
  return count;
}

void
entry_set_faults (const struct test_process *standin, const char *text)
{
  ck_assert_int_eq (test_post (standin->address, "/standin/faults", text),
                    200);
}

long
entry_settled_tokens (void)
{
  json_t *page = test_get_json (entry_store->address, entry_ledger_path ());
  json_t *value = test_json_at (page, "spec/accounts/north/settled");
  long tokens = (long)json_integer_value (value);

  json_decref (page);
  return tokens;
}

static void
start_standins (long prepaid, const char *replica_program)
{
  char address[32];
  char id[16];

  entry_config_version = 0;
  entry_body_limit = BODY_LIMIT_BYTES;
  memset (entry_restarts, 0, sizeof entry_restarts);
  entry_format_address (address, 9, 7000);
  const char *store_arguments[] = { "--address", address, NULL };

  ck_assert_int_eq (test_standin_start (&entry_store, "store",
                                        TEST_STANDIN ("platform_store"),
                                        store_arguments),
                    0);
  for (int i = 0; i < ENTRY_REPLICAS; i++)
    {
      const char *arguments[] = { "--address", address, "--id", id, NULL };

      entry_format_address (address, 5 + i, 7000);
      (void)sprintf (id, "i-%d", i);
      ck_assert_int_eq (test_standin_start (&entry_replicas[i], id,
                                            replica_program, arguments),
                        0);
      entry_put_replica (i, "ready");
    }
  entry_put_config (prepaid);
}

/* Starts the store and two ready replicas, and writes a configuration with
   PREPAID tokens for the workspace.  */
void
entry_start_standins (long prepaid)
{
  start_standins (prepaid, TEST_STANDIN ("platform_replica"));
}

/* Does the same with replicas that send what their scripts say.  */
void
entry_start_scripted_standins (long prepaid)
{
  start_standins (prepaid, TEST_STANDIN ("scripted_replica"));
}

/* Adds a response to the script of the scripted REPLICA.  STEPS is a list of
   objects with one step each, which is released; CONDITION is the name of a
   flag of the response, see the stand-in.  */
void
entry_add_steps (const struct test_process *replica, const char *condition,
                 json_t *steps)
{
  json_t *response = json_pack ("{s:b,s:o}", condition, 1, "steps", steps);
  char *text = json_dumps (response, JSON_COMPACT);

  ck_assert_ptr_nonnull (text);
  ck_assert_int_eq (test_post (replica->address, "/standin/responses", text),
                    200);
  free (text);
  json_decref (response);
}

/* Does the same with STEPS, pairs of a step and its text that end with a null
   pointer.  */
void
entry_add_script (const struct test_process *replica, const char *condition,
                  const char *const *steps)
{
  json_t *list = json_array ();

  for (; *steps != NULL; steps += 2)
    json_array_append_new (list, json_pack ("{s:s}", steps[0], steps[1]));
  entry_add_steps (replica, condition, list);
}
