#include "cluster.h"
#include "http.h"

#include "daisystep/id.h"
#include "daisystep/str.h"

#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <time.h>
#include <unistd.h>

#define WORKSPACE "north"
#define KEY "key-of-north"
#define PAGES 4
#define CALL_HEADERS 5

struct cluster_task
{
  struct cluster *cluster;
  struct test_http_task *http;
  struct test_http_call call;
  const char *headers[CALL_HEADERS + 1];
  int tokens; /* 0 for a service */
  bool is_stream;
};

/* Milliseconds of the monotonic clock.  */
long
cluster_now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void
cluster_sleep_ms (long ms)
{
  struct timespec time
      = { .tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000L };

  while (nanosleep (&time, &time) != 0 && errno == EINTR)
    ;
}

static void __attribute__ ((format (printf, 2, 3)))
record_violation (struct cluster *cluster, const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  if (cluster->violation == NULL)
    cluster->violation = talloc_vasprintf (cluster, format, arguments);
  va_end (arguments);
}

static const char *
string_at (json_t *json, const char *path)
{
  const char *content = json_string_value (test_json_at (json, path));

  return content != NULL ? content : "";
}

/* Processes.  */

/* The address NUMBER of the ten that each test process has, so that concurrent
   runs don't collide.  */
static char *
process_ip (TALLOC_CTX *owner, int number)
{
  int pid = (int)getpid ();

  return talloc_asprintf (owner, "127.2.%d.%d", pid % 250 + 1,
                          pid / 250 % 24 * 10 + number);
}

/* Starts a stand-in with up to five OPTIONS, which end with a null pointer. */
static int
start_standin (struct cluster *cluster, struct test_process **out,
               const char *name, const char *program, int ip,
               const char *const *options)
{
  const char *address
      = talloc_asprintf (cluster, "%s:0", process_ip (cluster, ip));
  const char *arguments[8] = { "--address", address };

  for (size_t i = 0; options[i] != NULL; i++)
    arguments[2 + i] = options[i];
  return test_standin_start (out, name, program, arguments);
}

static int
start_standins (struct cluster *cluster)
{
  const char *platform_options[] = { "--keep-history", NULL };
  const char *service_options[] = { NULL };
  const char *engine_options[]
      = { "--token-ms",
          talloc_asprintf (cluster, "%d", cluster->options.token_ms),
          "--default-output", "512", NULL };
  int result
      = start_standin (cluster, &cluster->platform, "platform",
                       TEST_STANDIN ("object_api"), 5, platform_options);

  if (result == 0)
    result = start_standin (cluster, &cluster->service, "service",
                            TEST_STANDIN ("service"), 6, service_options);
  for (int i = 0; result == 0 && i < cluster->options.engines; i++)
    result = start_standin (cluster, &cluster->engines[i],
                            talloc_asprintf (cluster, "engine-%d", i),
                            TEST_STANDIN ("engine"), 7 + i, engine_options);
  return result;
}

static char *
settings_text (struct cluster *cluster, int number)
{
  const struct cluster_options *options = &cluster->options;
  const char *ip = process_ip (cluster, number + 1);

  return talloc_asprintf (
      cluster,
      "{\"host\": \"host-%d\", \"zone\": \"zone-%d\","
      " \"caller_address\": \"%s:18080\","
      " \"operator_address\": \"%s:18081\", \"peer_address\": \"%s:18082\","
      " \"platform\": {\"url\": \"http://%s\", \"timeout_ms\": 500},"
      " \"ledger_pages\": %d, \"shards\": 2, \"flush_ms\": %d,"
      " \"idle_ms\": %d, \"heartbeat_ms\": 100, \"suspect_ms\": 500,"
      " \"address_valid_ms\": 500, \"drain_min_ms\": 500,"
      " \"allow_link_blocking\": true,"
      " \"timeouts\": {\"draw_wait_ms\": %d, \"progress_ms\": %d}}",
      number, number, ip, ip, ip, cluster->platform->address, PAGES,
      options->flush_ms, options->idle_ms, options->draw_wait_ms,
      options->progress_ms);
}

static int
start_host (struct cluster *cluster, int number)
{
  struct cluster_host *host = &cluster->hosts[number];
  const char *ip = process_ip (cluster, number + 1);
  char *path;

  (void)snprintf (host->name, sizeof host->name, "host-%d", number);
  (void)snprintf (host->caller, sizeof host->caller, "%s:18080", ip);
  (void)snprintf (host->operators, sizeof host->operators, "%s:18081", ip);
  path = test_file_write (talloc_asprintf (cluster, "%s.json", host->name),
                          settings_text (cluster, number));

  const char *arguments[] = { "serve", "--config", path, NULL };
  int result = test_process_start (&host->process, host->name,
                                   DS_BUILD_DIR "/daisystep", arguments);

  talloc_free (path);
  return result;
}

/* Whether HOST accepts new requests.  */
bool
cluster_is_ready (struct cluster *cluster, int host)
{
  json_t *response
      = test_get_json (cluster->hosts[host].operators, "/healthz");

  json_decref (response);
  return response != NULL;
}

/* Whether as many open Host objects as there are hosts list all their
   backups.  */
static bool
all_hosts_have_backups (struct cluster *cluster)
{
  int count = cluster->options.hosts;
  size_t backup_count = count > 3 ? 3 : (size_t)count - 1;
  json_t *hosts = cluster_objects (cluster, "Host");
  int complete_count = 0;

  /* On a busy machine a host may have been sealed and have opened another
     incarnation, so closed objects are ignored.  */
  for (size_t i = 0; i < json_array_size (hosts); i++)
    {
      json_t *spec = json_object_get (json_array_get (hosts, i), "spec");

      complete_count += strcmp (string_at (spec, "state"), "open") == 0
                        && json_array_size (json_object_get (spec, "backups"))
                               == backup_count;
    }
  json_decref (hosts);
  return complete_count == count;
}

static int
put_upstream (struct cluster *cluster, const char *name, const char *address,
              json_t *offerings)
{
  return cluster_put (cluster, "Upstream", name,
                      json_pack ("{s:s, s:s, s:o, s:s, s:i}", "address",
                                 address, "zone", "zone-0", "offerings",
                                 offerings, "state", "active", "max_in_flight",
                                 64))
                 < 300
             ? 0
             : -1;
}

static int
put_resources (struct cluster *cluster)
{
  char *sha = g_compute_checksum_for_string (G_CHECKSUM_SHA256, KEY, -1);
  int failures = 0;

  failures += cluster_put (cluster, "Budget", CLUSTER_BUDGET,
                           json_pack ("{s:i, s:i}", "prepaid",
                                      cluster->options.prepaid, "draw_percent",
                                      cluster->options.draw_percent))
              >= 300;
  failures
      += cluster_put (cluster, "Offering", CLUSTER_MODEL,
                      json_pack ("{s:s, s:s, s:i}", "type", "model", "model",
                                 "demo-model", "max_output_tokens", 512))
         >= 300;
  failures += cluster_put (cluster, "Offering", CLUSTER_BULK,
                           json_pack ("{s:s, s:i}", "type", "service",
                                      "tokens_per_call", CLUSTER_BULK_TOKENS))
              >= 300;
  failures += cluster_put (cluster, "Offering", CLUSTER_BOOKING,
                           json_pack ("{s:s, s:i, s:b}", "type", "service",
                                      "tokens_per_call", 10, "repeatable", 0))
              >= 300;
  failures += cluster_put (cluster, "Workspace", WORKSPACE,
                           json_pack ("{s:s, s:[s], s:[s, s, s]}", "budget",
                                      CLUSTER_BUDGET, "key_sha256", sha,
                                      "offerings", CLUSTER_MODEL, CLUSTER_BULK,
                                      CLUSTER_BOOKING))
              >= 300;
  g_free (sha);
  failures
      += put_upstream (cluster, "service", cluster->service->address,
                       json_pack ("[s, s]", CLUSTER_BULK, CLUSTER_BOOKING));
  for (int i = 0; i < cluster->options.engines; i++)
    failures += put_upstream (cluster, cluster->engines[i]->name,
                              cluster->engines[i]->address,
                              json_pack ("[s]", CLUSTER_MODEL));
  return failures == 0 ? 0 : -1;
}

/* Starts all processes and waits until every host has its backups and
   completes a request.  Returns null on failure.  */
struct cluster *
cluster_start (const struct cluster_options *options)
{
  struct cluster *cluster = talloc_zero (NULL, struct cluster);
  int result;

  cluster->options = *options;
  cluster->completed_ids = json_array ();
  cluster->not_run_ids = json_array ();
  result = start_standins (cluster);
  if (result == 0)
    result = put_resources (cluster);
  for (int i = 0; result == 0 && i < options->hosts; i++)
    result = start_host (cluster, i);
  for (int i = 0; result == 0 && i < options->hosts; i++)
    {
      struct cluster_call call = { .host = i, .offering = CLUSTER_BOOKING };

      if (!CLUSTER_WAIT_UNTIL (cluster_is_ready (cluster, i))
          || !CLUSTER_WAIT_UNTIL (
              cluster_send_and_receive (cluster, &call).outcome
              == CLUSTER_COMPLETE))
        result = -1;
    }
  if (result == 0 && CLUSTER_WAIT_UNTIL (all_hosts_have_backups (cluster)))
    return cluster;
  cluster_free (cluster);
  return NULL;
}

/* Frees the memory of CLUSTER; test_processes_clean_up ends its processes.  */
void
cluster_free (struct cluster *cluster)
{
  json_decref (cluster->completed_ids);
  json_decref (cluster->not_run_ids);
  talloc_free (cluster);
}

/* Callers.  */

/* Sends CALL on its own thread.  */
struct cluster_task *
cluster_send (struct cluster *cluster, const struct cluster_call *call)
{
  struct cluster_task *task = talloc_zero (cluster, struct cluster_task);
  const char *offering
      = call->offering != NULL ? call->offering : CLUSTER_MODEL;
  bool is_service = strcmp (offering, CLUSTER_MODEL) != 0;
  size_t count = 0;

  task->cluster = cluster;
  task->is_stream = call->is_stream;
  task->tokens = is_service ? 0 : call->tokens;
  task->headers[count++] = "Authorization: Bearer " KEY;
  if (call->request_id != NULL)
    task->headers[count++]
        = talloc_asprintf (task, "Daisystep-Request-Id: %s", call->request_id);
  if (call->key != NULL)
    task->headers[count++]
        = talloc_asprintf (task, "Idempotency-Key: %s", call->key);
  task->call.method = "POST";
  task->call.address = cluster->hosts[call->host].caller;
  task->call.headers = task->headers;
  task->call.timeout_ms = CLUSTER_WAIT_MS;
  task->call.path = is_service
                        ? talloc_asprintf (task, "/v1/services/%s", offering)
                        : "/v1/chat/completions";
  task->call.body
      = is_service
            ? "{}"
            : talloc_asprintf (
                task,
                "{\"model\":\"%s\",\"stream\":%s,\"max_tokens\":%d,"
                "\"messages\":[{\"role\":\"user\",\"content\":\"%s\"}]}",
                offering, call->is_stream ? "true" : "false", call->tokens,
                call->text != NULL ? call->text : "How far is it?");
  task->http = test_http_start (&task->call);
  return task;
}

/* The text that engines produce: "tok0 tok1 ...".  */
static char *
expected_text (TALLOC_CTX *owner, int tokens)
{
  char *text = talloc_strdup (owner, "");

  for (int i = 0; i < tokens; i++)
    text = talloc_asprintf_append (text, i == 0 ? "tok%d" : " tok%d", i);
  return text;
}

/* The concatenated text of the events in BODY.  */
static char *
stream_text (TALLOC_CTX *owner, const char *body)
{
  char *text = talloc_strdup (owner, "");

  for (const char *line = strstr (body, "data: {"); line != NULL;
       line = strstr (line + 1, "data: {"))
    {
      json_t *json = json_loads (line + 6, JSON_DISABLE_EOF_CHECK, NULL);

      text = talloc_strdup_append (
          text, string_at (json, "choices/0/delta/content"));
      json_decref (json);
    }
  return text;
}

/* Whether the stream is complete.  Even if it is not, the received text must
   be the beginning of the expected text (P3).  */
static bool
check_stream (struct cluster_task *task,
              const struct test_http_response *http_response)
{
  const char *expected = expected_text (task, task->tokens);
  const char *text = stream_text (task, http_response->body.data);
  bool is_stream_complete
      = http_response->code == 0
        && strstr (http_response->body.data, "data: [DONE]") != NULL;

  if (strncmp (expected, text, strlen (text)) != 0
      || (is_stream_complete && strcmp (expected, text) != 0))
    record_violation (task->cluster,
                      "P3: a stream of %d tokens contains the text '%s'",
                      task->tokens, text);
  if (is_stream_complete
      && strstr (http_response->body.data, "event: error") != NULL)
    record_violation (task->cluster,
                      "P3: a stream with an error event has an end marker");
  return is_stream_complete;
}

static bool
check_document (struct cluster_task *task,
                const struct test_http_response *http_response)
{
  json_t *json
      = http_response->code == 0 ? test_http_json (http_response) : NULL;
  const char *text = string_at (json, "choices/0/message/content");

  if (json != NULL && task->tokens > 0
      && strcmp (text, expected_text (task, task->tokens)) != 0)
    record_violation (task->cluster,
                      "P3: a completion of %d tokens contains the text '%s'",
                      task->tokens, text);
  json_decref (json);
  return json != NULL;
}

static void
parse_problem (struct cluster *cluster, struct cluster_response *response,
               const struct test_http_response *http_response)
{
  json_t *json = test_http_json (http_response);
  const char *type = strrchr (string_at (json, "type"), ':');

  response->outcome = CLUSTER_REFUSED;
  response->retry_after_ms
      = (long)cluster_member_integer (json, "retry_after_ms");
  (void)snprintf (response->ran, sizeof response->ran, "%s",
                  string_at (json, "ran"));
  (void)snprintf (response->type, sizeof response->type, "%s",
                  type != NULL ? type + 1 : "");
  (void)snprintf (response->id, sizeof response->id, "%s",
                  string_at (json, "request_id"));
  if (strcmp (response->ran, "no") == 0 && response->id[0] != '\0')
    json_array_append_new (cluster->not_run_ids, json_string (response->id));
  json_decref (json);
}

/* Waits for the end of TASK, records its outcome for cluster_check, and frees
   it.  */
struct cluster_response
cluster_receive (struct cluster_task *task)
{
  struct test_http_response *http_response = test_http_join (task->http);
  struct cluster_response response
      = { .outcome = CLUSTER_NO_RESPONSE, .status = http_response->status };
  const char *id = test_http_header (http_response, "Daisystep-Request-Id");

  if (id != NULL)
    (void)snprintf (response.id, sizeof response.id, "%s", id);
  if (http_response->status == 200)
    response.outcome = (task->is_stream ? check_stream (task, http_response)
                                        : check_document (task, http_response))
                           ? CLUSTER_COMPLETE
                           : CLUSTER_TRUNCATED;
  else if (http_response->status != 0 && http_response->code == 0)
    parse_problem (task->cluster, &response, http_response);
  if (response.outcome == CLUSTER_COMPLETE)
    json_array_append_new (task->cluster->completed_ids,
                           json_string (response.id));
  talloc_free (http_response);
  talloc_free (task);
  return response;
}

/* Sends CALL and waits for its end.  */
struct cluster_response
cluster_send_and_receive (struct cluster *cluster,
                          const struct cluster_call *call)
{
  return cluster_receive (cluster_send (cluster, call));
}

/* The response of HOST to /v1/address, or null.  */
json_t *
cluster_address (struct cluster *cluster, int host)
{
  const char *const headers[] = { "Authorization: Bearer " KEY, NULL };
  struct test_http_call call = { .address = cluster->hosts[host].caller,
                                 .path = "/v1/address",
                                 .headers = headers };
  struct test_http_response *http_response = test_http (&call);
  json_t *json = http_response->code == 0 && http_response->status == 200
                     ? test_http_json (http_response)
                     : NULL;

  talloc_free (http_response);
  return json;
}

/* The id of a new session of HOST.  */
char *
cluster_new_session (struct cluster *cluster, int host)
{
  json_t *address = cluster_address (cluster, host);
  char *session = talloc_strdup (cluster, string_at (address, "session"));

  json_decref (address);
  return session;
}

/* The digest that identifies the request id TEXT in bills; valid until the
   next call.  */
const char *
cluster_request_digest (const char *text)
{
  static char hex[DS_REQUEST_ID_HEX_BYTES];
  struct ds_request_id id;

  (void)ds_request_id_digest (&id, DS_STR (WORKSPACE), ds_str_from_c (text));
  ds_request_id_to_hex (hex, &id);
  return hex;
}

/* The platform.  */

json_int_t
cluster_member_integer (const json_t *object, const char *member)
{
  return json_integer_value (json_object_get (object, member));
}

/* All objects of KIND, or an empty array if the platform does not respond. The
   caller releases it.  */
json_t *
cluster_objects (struct cluster *cluster, const char *kind)
{
  char *path = talloc_asprintf (cluster, "/v1/objects/%s", kind);
  json_t *list = test_get_json (cluster->platform->address, path);
  json_t *items = json_incref (json_object_get (list, "items"));

  json_decref (list);
  talloc_free (path);
  return items != NULL ? items : json_array ();
}

/* The spec of the Host object of INCARNATION, or null.  */
json_t *
cluster_host_object (struct cluster *cluster, const char *incarnation)
{
  json_t *hosts = cluster_objects (cluster, "Host");
  json_t *found = NULL;

  for (size_t i = 0; i < json_array_size (hosts); i++)
    {
      json_t *spec = json_object_get (json_array_get (hosts, i), "spec");

      if (strcmp (string_at (spec, "incarnation"), incarnation) == 0)
        found = json_incref (spec);
    }
  json_decref (hosts);
  return found;
}

/* The current incarnation of HOST as shown in its dump.  */
char *
cluster_incarnation (struct cluster *cluster, int host)
{
  json_t *dump = test_get_json (cluster->hosts[host].operators, "/v1/dump");
  char *incarnation
      = talloc_strdup (cluster, string_at (dump, "fleet/self/incarnation"));

  json_decref (dump);
  return incarnation;
}

static long
put_object (const char *address, const char *path, const char *condition,
            json_t *object)
{
  const char *const headers[] = { condition, NULL };
  char *body = json_dumps (object, JSON_COMPACT);
  struct test_http_call call = { .method = "PUT",
                                 .address = address,
                                 .path = path,
                                 .headers = headers,
                                 .body = body };
  struct test_http_response *http_response = test_http (&call);
  long status = http_response->code == 0 ? http_response->status : 0;

  talloc_free (http_response);
  free (body);
  return status;
}

/* Writes an object if its version is still the one just read.  Takes ownership
   of SPEC.  Returns the status, 412 if another write came first, or 0 without
   a response.  May be called from any thread.  */
long
cluster_put (struct cluster *cluster, const char *kind, const char *name,
             json_t *spec)
{
  char *path = talloc_asprintf (NULL, "/v1/objects/%s/%s", kind, name);
  json_t *current = test_get_json (cluster->platform->address, path);
  json_t *object = json_pack ("{s:s, s:s, s:o}", "kind", kind, "name", name,
                              "spec", spec);
  char *condition = current != NULL ? talloc_asprintf (
                        path, "If-Match: \"%lld\"",
                        (long long)cluster_member_integer (current, "version"))
                                    : talloc_strdup (path, "If-None-Match: *");
  long status
      = put_object (cluster->platform->address, path, condition, object);

  json_decref (object);
  json_decref (current);
  talloc_free (path);
  return status;
}

/* Sets the faults JSON of STANDIN.  */
void
cluster_set_fault (const struct test_process *standin, const char *json)
{
  (void)test_post (standin->address, "/standin/faults", json);
}

/* The account of CLUSTER_BUDGET, or null.  The caller releases it.  */
json_t *
cluster_account (struct cluster *cluster)
{
  json_t *pages = cluster_objects (cluster, "LedgerPage");
  json_t *found = NULL;

  for (size_t i = 0; i < json_array_size (pages); i++)
    {
      json_t *accounts
          = test_json_at (json_array_get (pages, i), "spec/accounts");

      for (size_t j = 0; j < json_array_size (accounts); j++)
        if (strcmp (string_at (json_array_get (accounts, j), "budget"),
                    CLUSTER_BUDGET)
            == 0)
          found = json_incref (json_array_get (accounts, j));
    }
  json_decref (pages);
  return found;
}

static void
append_bills (json_t *bills, json_t *more, bool is_provisional)
{
  for (size_t i = 0; i < json_array_size (more); i++)
    {
      json_t *bill = json_copy (json_array_get (more, i));

      json_object_set_new (bill, "provisional", json_boolean (is_provisional));
      json_array_append_new (bills, bill);
    }
}

static void
append_archived_bills (struct cluster *cluster, json_t *bills, json_t *page)
{
  json_int_t count = json_integer_value (test_json_at (page, "spec/archived"));

  for (json_int_t i = 0; i < count; i++)
    {
      char *path = talloc_asprintf (cluster, "/v1/objects/BillArchive/%s-%lld",
                                    string_at (page, "name"), (long long)i);
      json_t *archive = test_get_json (cluster->platform->address, path);

      if (archive == NULL)
        record_violation (cluster, "P2: bill archive %s is missing", path);
      append_bills (bills, test_json_at (archive, "spec/bills"), false);
      json_decref (archive);
      talloc_free (path);
    }
}

/* All bills: those in the archives and the ledger pages, and the provisional
   bills of sealed holders.  */
static json_t *
all_bills (struct cluster *cluster)
{
  json_t *pages = cluster_objects (cluster, "LedgerPage");
  json_t *bills = json_array ();

  for (size_t i = 0; i < json_array_size (pages); i++)
    {
      json_t *page = json_array_get (pages, i);
      json_t *accounts = test_json_at (page, "spec/accounts");

      append_archived_bills (cluster, bills, page);
      append_bills (bills, test_json_at (page, "spec/bills"), false);
      for (size_t j = 0; j < json_array_size (accounts); j++)
        {
          json_t *holders
              = json_object_get (json_array_get (accounts, j), "holders");

          for (size_t k = 0; k < json_array_size (holders); k++)
            append_bills (
                bills,
                json_object_get (json_array_get (holders, k), "provisional"),
                true);
        }
    }
  json_decref (pages);
  return bills;
}

/* The number of elements of CALLS whose MEMBER begins with PREFIX.  */
int
cluster_count_prefix (json_t *calls, const char *member, const char *prefix)
{
  int count = 0;

  for (size_t i = 0; i < json_array_size (calls); i++)
    count += g_str_has_prefix (string_at (json_array_get (calls, i), member),
                               prefix);
  return count;
}

/* The number of bills of the request ID.  */
int
cluster_bill_count (struct cluster *cluster, const char *id)
{
  json_t *bills = all_bills (cluster);
  int count = cluster_count_prefix (bills, "id", id);

  json_decref (bills);
  return count;
}

/* The calls logged by an engine or the service.  The caller releases them.  */
json_t *
cluster_logged_calls (const struct test_process *standin)
{
  json_t *log = test_get_json (standin->address, "/standin/calls");
  json_t *calls = json_incref (json_object_get (log, "calls"));

  json_decref (log);
  return calls != NULL ? calls : json_array ();
}

/* The number of calls running on all engines.  */
int
cluster_running_calls (struct cluster *cluster)
{
  int running = 0;

  for (int i = 0; i < cluster->options.engines; i++)
    {
      json_t *load = test_get_json (cluster->engines[i]->address, "/v1/load");

      running += (int)cluster_member_integer (load, "running");
      json_decref (load);
    }
  return running;
}

/* Hosts.  */

/* The value of the first metric whose name ends with NAME, or -1.  */
double
cluster_metric (struct cluster *cluster, int host, const char *name)
{
  struct test_http_call call
      = { .address = cluster->hosts[host].operators, .path = "/metrics" };
  struct test_http_response *http_response = test_http (&call);
  char *pattern = talloc_asprintf (http_response, "%s ", name);
  const char *line = strstr (http_response->body.data, pattern);
  double value = -1;

  /* Skips the HELP and TYPE lines.  */
  while (line != NULL && !g_ascii_isdigit (line[strlen (pattern)]))
    line = strstr (line + 1, pattern);
  if (line != NULL)
    value = strtod (line + strlen (pattern), NULL);
  talloc_free (http_response);
  return value;
}

/* Blocks or, if IS_ON is false, unblocks the link between hosts A and B on
   both sides.  */
void
cluster_block_link (struct cluster *cluster, int a, int b, bool is_on)
{
  int ends[][2] = { { a, b }, { b, a } };

  for (size_t i = 0; i < 2; i++)
    {
      char *path = talloc_asprintf (cluster, "/v1/block?host=%s&on=%s",
                                    cluster->hosts[ends[i][1]].name,
                                    is_on ? "true" : "false");

      (void)test_post (cluster->hosts[ends[i][0]].operators, path, "");
      talloc_free (path);
    }
}

static json_int_t
settled_and_sealed (json_t *account)
{
  json_t *holders = json_object_get (account, "holders");
  json_int_t bound = cluster_member_integer (account, "settled");

  for (size_t i = 0; i < json_array_size (holders); i++)
    if (json_is_true (json_object_get (json_array_get (holders, i), "sealed")))
      bound += cluster_member_integer (json_array_get (holders, i), "granted");
  return bound;
}

/* Spends the budget with calls of 1000 tokens to the hosts FIRST to LAST until
   fewer than LEFT tokens are neither settled nor granted to sealed holders.
   Returns the number that remains then, or after CLUSTER_WAIT_MS.  */
json_int_t
cluster_spend_budget (struct cluster *cluster, int first, int last,
                      json_int_t left)
{
  long end = cluster_now_ms () + CLUSTER_WAIT_MS;
  struct cluster_call call = { .host = first, .offering = CLUSTER_BULK };
  json_int_t remaining = 0;

  do
    {
      json_t *account;

      /* The last tokens are spread over several hosts.  A retry at the same
         host lets it collect them.  */
      if (cluster_send_and_receive (cluster, &call).outcome
          != CLUSTER_COMPLETE)
        cluster_sleep_ms (50);
      else
        call.host = call.host == last ? first : call.host + 1;
      account = cluster_account (cluster);
      remaining = cluster_member_integer (account, "limit")
                  - settled_and_sealed (account);
      json_decref (account);
    }
  while (remaining >= left && cluster_now_ms () < end);
  return remaining;
}

/* Checks at the end of a test.  */

/* The prepaid tokens in the version VERSION of the budget, or -1.  */
static json_int_t
prepaid_of_version (json_t *budget_history, json_int_t version)
{
  for (size_t i = 0; i < json_array_size (budget_history); i++)
    {
      json_t *object
          = json_object_get (json_array_get (budget_history, i), "object");

      if (cluster_member_integer (object, "version") == version)
        return cluster_member_integer (json_object_get (object, "spec"),
                                       "prepaid");
    }
  return -1;
}

static json_int_t
settled_and_granted (json_t *account)
{
  json_t *holders = json_object_get (account, "holders");
  json_int_t sum = cluster_member_integer (account, "settled");

  for (size_t i = 0; i < json_array_size (holders); i++)
    sum += cluster_member_integer (json_array_get (holders, i), "granted");
  return sum;
}

/* Compares ACCOUNT with its previous state BEFORE, which may be null.  The sum
   of settled and granted tokens must not exceed the accepted limit or, after
   the limit was lowered, must not grow (P1).  The limit must be that of its
   budget version, and versions must not decrease (P8).  */
static void
check_account (struct cluster *cluster, json_t *before, json_t *account,
               json_t *budget_history)
{
  json_int_t limit = cluster_member_integer (account, "limit");
  json_int_t version = cluster_member_integer (account, "budget_version");
  json_int_t sum = settled_and_granted (account);

  if (sum > limit && (before == NULL || sum > settled_and_granted (before)))
    record_violation (
        cluster, "P1: %lld settled and granted tokens exceed the limit %lld",
        (long long)sum, (long long)limit);
  if (version > 0 && prepaid_of_version (budget_history, version) != limit)
    record_violation (
        cluster,
        "P8: the limit is %lld, but budget version %lld declares %lld",
        (long long)limit, (long long)version,
        (long long)prepaid_of_version (budget_history, version));
  if (before == NULL)
    return;
  if (version < cluster_member_integer (before, "budget_version"))
    record_violation (cluster, "P8: the budget version decreased to %lld",
                      (long long)version);
  if (cluster_member_integer (account, "settled")
      < cluster_member_integer (before, "settled"))
    record_violation (cluster, "P2: the number of settled tokens decreased");
}

static json_t *
get_history (struct cluster *cluster, const char *kind, const char *name)
{
  char *path = talloc_asprintf (cluster, "/standin/history?kind=%s&name=%s",
                                kind, name);
  json_t *history = test_get_json (cluster->platform->address, path);
  json_t *versions = json_incref (json_object_get (history, "versions"));

  json_decref (history);
  talloc_free (path);
  return versions;
}

static void
check_page_history (struct cluster *cluster, const char *page,
                    json_t *budget_history)
{
  json_t *versions = get_history (cluster, "LedgerPage", page);
  json_t *before = NULL;

  for (size_t i = 0; i < json_array_size (versions); i++)
    {
      json_t *accounts = test_json_at (json_array_get (versions, i),
                                       "object/spec/accounts");

      /* There is one budget, so one account.  */
      if (json_array_size (accounts) == 0)
        continue;
      check_account (cluster, before, json_array_get (accounts, 0),
                     budget_history);
      before = json_array_get (accounts, 0);
    }
  json_decref (versions);
}

static void
check_histories (struct cluster *cluster)
{
  json_t *budget_history = get_history (cluster, "Budget", CLUSTER_BUDGET);
  json_t *pages = cluster_objects (cluster, "LedgerPage");
  json_t *account = cluster_account (cluster);

  if (account == NULL)
    record_violation (cluster, "no ledger page has an account of the budget");
  for (size_t i = 0; i < json_array_size (pages); i++)
    check_page_history (cluster, string_at (json_array_get (pages, i), "name"),
                        budget_history);
  json_decref (account);
  json_decref (pages);
  json_decref (budget_history);
}

/* The number of bills by request id.  The caller destroys the table.  */
static GHashTable *
count_bills (json_t *bills)
{
  GHashTable *counts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (size_t i = 0; i < json_array_size (bills); i++)
    {
      const char *id = string_at (json_array_get (bills, i), "id");
      int count = GPOINTER_TO_INT (g_hash_table_lookup (counts, id));

      g_hash_table_insert (counts, g_strdup (id), GINT_TO_POINTER (count + 1));
    }
  return counts;
}

static const char *
first_unbilled (GHashTable *counts, json_t *ids, const char *member)
{
  for (size_t i = 0; i < json_array_size (ids); i++)
    {
      json_t *item = json_array_get (ids, i);
      const char *id = member != NULL ? string_at (item, member)
                                      : json_string_value (item);

      if (!g_hash_table_contains (counts, id))
        return id;
    }
  return NULL;
}

/* All calls that ran, from the logs of the upstreams.  */
static json_t *
all_calls (struct cluster *cluster)
{
  json_t *calls = cluster_logged_calls (cluster->service);

  for (int i = 0; i < cluster->options.engines; i++)
    {
      json_t *more = cluster_logged_calls (cluster->engines[i]);

      json_array_extend (calls, more);
      json_decref (more);
    }
  return calls;
}

/* Whether each request that ran or has a complete response is billed.  If
   REPORT_MISSING, records one that is not.  */
static bool
are_all_billed (struct cluster *cluster, json_t *calls, bool report_missing)
{
  json_t *bills = all_bills (cluster);
  GHashTable *counts = count_bills (bills);
  const char *ran = first_unbilled (counts, calls, "request_id");
  const char *completed
      = first_unbilled (counts, cluster->completed_ids, NULL);
  bool is_complete = ran == NULL && completed == NULL;

  if (report_missing && !is_complete)
    record_violation (cluster, "P2: request %s %s but was not billed",
                      ran != NULL ? ran : completed,
                      ran != NULL ? "ran" : "was completed");
  g_hash_table_destroy (counts);
  json_decref (bills);
  return is_complete;
}

/* Checks that no request is billed twice and that the final bills add up to
   the settled tokens.  */
static void
check_bills (struct cluster *cluster)
{
  json_t *account = cluster_account (cluster);
  json_t *bills = all_bills (cluster);
  GHashTable *counts = count_bills (bills);
  GHashTableIter iterator;
  gpointer id, count;
  json_int_t sum = 0;

  g_hash_table_iter_init (&iterator, counts);
  while (g_hash_table_iter_next (&iterator, &id, &count))
    if (GPOINTER_TO_INT (count) != 1)
      record_violation (cluster, "P2: request %s has %d bills, expected 1",
                        (char *)id, GPOINTER_TO_INT (count));
  for (size_t i = 0; i < json_array_size (bills); i++)
    if (!json_is_true (
            json_object_get (json_array_get (bills, i), "provisional")))
      sum += cluster_member_integer (json_array_get (bills, i), "tokens");
  if (sum != cluster_member_integer (account, "settled"))
    record_violation (
        cluster,
        "P2: the final bills add up to %lld tokens, but %lld are settled",
        (long long)sum,
        (long long)cluster_member_integer (account, "settled"));
  g_hash_table_destroy (counts);
  json_decref (bills);
  json_decref (account);
}

/* Checks that no upstream has logged a request that was reported as not run
   (P4).  */
static void
check_not_run (struct cluster *cluster, json_t *calls)
{
  GHashTable *ran = g_hash_table_new (g_str_hash, g_str_equal);

  for (size_t i = 0; i < json_array_size (calls); i++)
    g_hash_table_add (
        ran, (gpointer)string_at (json_array_get (calls, i), "request_id"));
  for (size_t i = 0; i < json_array_size (cluster->not_run_ids); i++)
    {
      const char *id
          = json_string_value (json_array_get (cluster->not_run_ids, i));

      if (g_hash_table_contains (ran, id))
        record_violation (
            cluster, "P4: request %s ran, but was reported as not run", id);
    }
  g_hash_table_destroy (ran);
}

/* Checks the invariants that hold after every fault: no version of a ledger
   page exceeds the budget, each request that ran is billed once, and none that
   was reported as not run did run.  No request may be running.  Returns the
   first violation or null.  */
const char *
cluster_check (struct cluster *cluster)
{
  json_t *calls = all_calls (cluster);

  if (!CLUSTER_WAIT_UNTIL (are_all_billed (cluster, calls, false)))
    (void)are_all_billed (cluster, calls, true);
  check_bills (cluster);
  check_histories (cluster);
  check_not_run (cluster, calls);
  json_decref (calls);
  return cluster->violation;
}
