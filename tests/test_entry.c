#include "core/ledger_page.h"
#include "support/http.h"
#include "support/process.h"

#include "daisystep/error.h"

#include <check.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define HOSTS 2
#define REPLICAS 2
/* Upper bound of waits for a state; it only ends a run that hangs.  */
#define WAIT_TIMEOUT_MS 20000
#define POLL_MS 20
#define OBJECTS "/daisystep/objects/"

/* Entry hosts with stand-ins for the platform.  */
static struct test_process *store;
static struct test_process *replicas[REPLICAS];
static struct test_process *hosts[HOSTS];
static char caller_addresses[HOSTS][32];
static char readiness_addresses[HOSTS][32];
static char directory_addresses[HOSTS][32];
static int version;

static void
format_address (char *out, int number, int port)
{
  int pid = (int)getpid ();

  (void)sprintf (out, "127.3.%d.%d:%d", pid % 250 + 1,
                 pid / 250 % 24 * 10 + number, port);
}

static void
sleep_ms (long ms)
{
  struct timespec time
      = { .tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000L };

  (void)nanosleep (&time, NULL);
}

static long
put_object (const char *method, const char *path, json_t *spec,
            const char *name)
{
  json_t *object
      = json_pack ("{s:{s:s},s:o}", "metadata", "name", name, "spec", spec);
  char *text = json_dumps (object, JSON_COMPACT);
  struct test_http_call call = {
    .method = method, .address = store->address, .path = path, .body = text
  };
  struct test_http_response *reply = test_http (&call);

  json_decref (object);
  free (text);
  return reply->status;
}

/* The path of the ledger page with the workspace's account.  */
static const char *
ledger_path (void)
{
  static char path[64];

  (void)snprintf (path, sizeof path, OBJECTS "daisystep-ledger/page-%u",
                  (unsigned)ds_ledger_page_index (DS_STR ("north")));
  return path;
}

/* Writes the configuration with PREPAID tokens for the workspace.  */
static void
put_config (long prepaid)
{
  json_t *spec = json_pack (
      "{s:i,"
      "s:[{s:s,s:s,s:s,s:s,s:i,s:i,s:s},{s:s,s:s,s:s,s:s,s:i,s:i,s:s},"
      "{s:s,s:s,s:s,s:s,s:i,s:i,s:s,s:b,s:b}],"
      "s:[{s:s,s:s,s:{s:i,s:i}}],"
      "s:{s:i,s:i,s:i,s:i},"
      "s:[{s:s,s:[s],s:I}]}",
      "version", ++version, "routes", "name", "look", "host", "d.example",
      "path_prefix", "/look/", "kind", "idempotent", "timeout_ms", 4000,
      "max_attempts", 2, "service", "pool", "name", "book", "host",
      "d.example", "path_prefix", "/book/", "kind", "non_idempotent",
      "timeout_ms", 4000, "max_attempts", 1, "service", "pool", "name",
      "stream", "host", "d.example", "path_prefix", "/stream/", "kind",
      "streaming", "timeout_ms", 8000, "max_attempts", 2, "service", "pool",
      "resumable", 1, "sticky", 1, "services", "name", "pool", "health_path",
      "/health", "engine", "slots", 8, "stride", 4, "limits",
      "max_header_bytes", 4000, "max_body_bytes", 20000, "header_timeout_ms",
      3000, "idle_timeout_ms", 15000, "tenants", "name", "north", "api_keys",
      "key-1", "prepaid", (json_int_t)prepaid);

  ck_assert_ptr_nonnull (spec);
  ck_assert_int_eq (
      put_object (version == 1 ? "POST" : "PUT",
                  version == 1 ? OBJECTS "config" : OBJECTS "config/main",
                  spec, "main"),
      200);
}

static void
put_replica (int i, const char *state)
{
  char id[16];
  char path[64];
  json_t *spec
      = json_pack ("{s:s,s:s,s:s,s:s,s:i,s:I}", "service", "pool", "address",
                   replicas[i]->address, "zone", "z", "state", state, "slots",
                   8, "born", (json_int_t)1000 + i);
  bool exists = strcmp (state, "ready") != 0;

  (void)sprintf (id, "i-%d", i);
  (void)sprintf (path, exists ? OBJECTS "servers/%s" : OBJECTS "servers", id);
  ck_assert_int_eq (put_object (exists ? "PUT" : "POST", path, spec, id), 200);
}

static void
start_host (int i)
{
  char name[16];
  char gossip[32];
  char metrics[32];
  char text[2048];
  char *file;
  const char *arguments[] = { "entry", "--config", NULL, NULL };

  (void)sprintf (name, "host-%d", i);
  format_address (caller_addresses[i], i, 8080);
  format_address (readiness_addresses[i], i, 8081);
  format_address (directory_addresses[i], i, 8082);
  format_address (gossip, i, 8083);
  format_address (metrics, i, 8084);
  (void)snprintf (
      text, sizeof text,
      "{\"host\":\"%s\",\"zone\":\"z\",\"region\":\"r\","
      "\"caller_address\":\"%s\",\"readiness_address\":\"%s\","
      "\"directory_address\":\"%s\",\"gossip_address\":\"%s\","
      "\"metrics_address\":\"%s\",\"store_address\":\"%s\",\"grace_s\":8,"
      "\"address_ttl_s\":2,\"retry\":{\"ratio\":0.2,\"slack\":50,"
      "\"window_s\":10},\"budget\":{\"settle_ms\":200,\"hold_ms\":13000,"
      "\"part_percent\":35,\"start_percent\":20,\"minimum_tokens\":2000}}",
      name, caller_addresses[i], readiness_addresses[i],
      directory_addresses[i], gossip, metrics, store->address);
  file = test_file_write (name, text);
  arguments[2] = file;
  ck_assert_int_eq (test_process_start (&hosts[i], name,
                                        DS_BUILD_DIR "/daisystep", arguments),
                    0);
}

static void
wait_ready (int i)
{
  for (int waited = 0; waited < WAIT_TIMEOUT_MS; waited += POLL_MS)
    {
      struct test_http_call call = { .address = readiness_addresses[i],
                                     .path = "/daisystep/readiness" };

      if (test_http (&call)->status == 200)
        return;
      sleep_ms (POLL_MS);
    }
  ck_abort_msg ("host %d is not ready", i);
}

static void
set_up (void)
{
  char address[32];
  char id[16];

  version = 0;
  format_address (address, 9, 7000);
  const char *store_arguments[] = { "--address", address, NULL };

  ck_assert_int_eq (test_standin_start (&store, "store",
                                        TEST_STANDIN ("platform_store"),
                                        store_arguments),
                    0);
  for (int i = 0; i < REPLICAS; i++)
    {
      const char *arguments[] = { "--address", address, "--id", id, NULL };

      format_address (address, 5 + i, 7000);
      (void)sprintf (id, "i-%d", i);
      ck_assert_int_eq (test_standin_start (&replicas[i], id,
                                            TEST_STANDIN ("platform_replica"),
                                            arguments),
                        0);
      put_replica (i, "ready");
    }
  put_config (100000);
  for (int i = 0; i < HOSTS; i++)
    start_host (i);
  for (int i = 0; i < HOSTS; i++)
    wait_ready (i);
}

static void
tear_down (void)
{
  test_processes_clean_up ();
}

/* Sends a request with ID and, unless null, the Token-Count TOKENS.  */
static struct test_http_response *
request (int host, const char *method, const char *path, const char *id,
         const char *tokens)
{
  char id_line[64];
  char token_line[64];
  const char *headers[8] = { "Host: d.example", "Authorization: Bearer key-1",
                             "Deadline-Ms: 6000", id_line };
  struct test_http_call call = {
    .method = method,
    .address = caller_addresses[host],
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

static int
count_runs (const char *id)
{
  int count = 0;

  for (int i = 0; i < REPLICAS; i++)
    {
      json_t *runs = test_get_json (replicas[i]->address, "/standin/runs");
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

static void
set_faults (const struct test_process *standin, const char *text)
{
  ck_assert_int_eq (test_post (standin->address, "/standin/faults", text),
                    200);
}

static void
set_replica_faults (const char *text)
{
  for (int i = 0; i < REPLICAS; i++)
    set_faults (replicas[i], text);
}

/* Guards against a response without its MAC, a forwarded API key, and a
   workspace chosen by the caller.  */
START_TEST (a_response_is_forwarded_unchanged)
{
  struct test_http_response *reply
      = request (0, "POST", "/book/1", "id-book", NULL);

  ck_assert_int_eq (reply->code, 0);
  ck_assert_int_eq (reply->status, 200);
  ck_assert_str_eq (test_http_header (reply, "Server-Seal"), "seal.1");
  ck_assert_ptr_nonnull (strstr (reply->body.data, ":hello"));
  ck_assert_int_eq (count_runs ("id-book"), 1);
}
END_TEST

START_TEST (unknown_keys_and_routes_are_refused)
{
  const char *headers[] = { "Host: d.example", "Authorization: Bearer other",
                            "Request-Id: x", NULL };
  struct test_http_call call = { .address = caller_addresses[0],
                                 .path = "/look/1",
                                 .headers = headers };

  ck_assert_int_eq (test_http (&call)->status, 401);
  ck_assert_int_eq (request (0, "GET", "/none/1", "id-1", NULL)->status, 404);
  headers[2] = NULL;
  ck_assert_int_eq (test_http (&call)->status, 400);
  ck_assert_int_eq (count_runs ("x"), 0);
}
END_TEST

/* Guards against repeating a booking whose response was lost, and against
   reporting that it did not run.  */
START_TEST (a_booking_whose_answer_is_lost_runs_once)
{
  struct test_http_response *reply;

  set_replica_faults ("{\"drop\":1}");
  reply = request (0, "POST", "/book/1", "id-lost", NULL);
  ck_assert_int_eq (reply->status, 502);
  ck_assert_int_eq (count_runs ("id-lost"), 1);
}
END_TEST

/* Guards against failing a repeatable request without a retry.  */
START_TEST (a_lookup_whose_answer_is_lost_is_repeated)
{
  struct test_http_response *reply;

  set_replica_faults ("{\"drop\":1}");
  reply = request (0, "GET", "/look/1", "id-look", NULL);
  /* Both replicas drop one response; both of the allowed attempts ran.  */
  ck_assert_int_eq (count_runs ("id-look"), 2);
  ck_assert_int_eq (reply->status, 502);
  ck_assert_int_eq (request (0, "GET", "/look/1", "id-2", NULL)->status, 200);
}
END_TEST

/* Guards against running a request reported as not run, and against refusing
   one that another replica could run.  */
START_TEST (a_rejected_booking_is_retried_or_reported_as_not_run)
{
  set_faults (replicas[0], "{\"shed\":1}");
  set_faults (replicas[1], "{\"shed\":0}");
  ck_assert_int_eq (request (0, "POST", "/book/1", "id-a", NULL)->status, 200);
  ck_assert_int_eq (count_runs ("id-a"), 1);
  set_replica_faults ("{\"shed\":5}");
  ck_assert_int_eq (request (0, "POST", "/book/1", "id-b", NULL)->status, 503);
  ck_assert_int_eq (count_runs ("id-b"), 0);
}
END_TEST

/* Guards against missing, repeated or partial events when a replica closes the
   connection within an event.  */
START_TEST (a_broken_stream_resumes_at_another_replica)
{
  struct test_http_response *reply;

  set_replica_faults ("{\"cut_after\":3}");
  reply = request (0, "POST", "/stream/1", "id-s", "100,24");
  if (reply->code != 0)
    {
      /* Both replicas have cut one stream: the next request completes.  */
      reply = request (0, "POST", "/stream/1", "id-t", "100,24");
    }
  ck_assert_int_eq (reply->code, 0);
  ck_assert_str_eq (reply->body.data,
                    "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
                    "id: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"
                    "id: 5\ndata: piece 5\n\nid: 6\ndata: piece 6\n\n");
}
END_TEST

START_TEST (a_stream_cut_at_one_replica_is_resumed_at_the_other)
{
  struct test_http_response *reply;
  int runs = 0;

  for (int i = 0; i < 4; i++)
    {
      char id[16];

      (void)sprintf (id, "id-%d", i);
      set_faults (replicas[0], "{\"cut_after\":2}");
      reply = request (0, "POST", "/stream/1", id, "100,24");
      ck_assert_int_eq (reply->code, 0);
      ck_assert_ptr_nonnull (strstr (reply->body.data, "piece 6"));
      runs += count_runs (id);
    }
  ck_assert_int_ge (runs, 4);
}
END_TEST

/* Guards against sending requests to a draining replica.  */
START_TEST (a_draining_replica_gets_no_new_work)
{
  put_replica (0, "draining");
  sleep_ms (500);
  for (int i = 0; i < 6; i++)
    {
      char id[16];

      (void)sprintf (id, "id-%d", i);
      ck_assert_int_eq (
          request (i % HOSTS, "GET", "/look/1", id, NULL)->status, 200);
    }
  json_t *runs = test_get_json (replicas[0]->address, "/standin/runs");

  ck_assert_uint_eq (json_array_size (runs), 0);
  json_decref (runs);
}
END_TEST

static long
settled_tokens (void)
{
  json_t *page = test_get_json (store->address, ledger_path ());
  json_t *value = test_json_at (page, "spec/accounts/north/settled");
  long tokens = (long)json_integer_value (value);

  json_decref (page);
  return tokens;
}

/* Guards against overspending at two hosts, double billing when the ledger's
   response is lost, and refusals after a top-up.  */
START_TEST (a_budget_is_spent_once_at_all_hosts)
{
  int served = 0;
  char id[16];

  set_faults (store, "{\"lose_answers\":2}");
  put_config (100200);
  /* Ten requests of 10,000 tokens fit.  While ledger responses are lost, a
     host may refuse requests for a moment.  */
  for (int i = 0, after = 0; after < 20; i++)
    {
      struct test_http_response *reply;

      (void)sprintf (id, "id-%d", i);
      reply = request (i % HOSTS, "POST", "/stream/1", id, "9976,24");
      if (reply->status == 200)
        served++;
      else
        ck_assert (reply->status == 402 || reply->status == 503);
      ck_assert_int_le (served, 10);
      if (served >= 8)
        after++;
      ck_assert_int_lt (i, WAIT_TIMEOUT_MS / POLL_MS);
      sleep_ms (POLL_MS / 2);
    }
  put_config (200000);
  for (int waited = 0; waited < WAIT_TIMEOUT_MS; waited += 200)
    {
      (void)sprintf (id, "more-%d", waited);
      if (request (0, "POST", "/stream/1", id, "9976,24")->status == 200)
        break;
      sleep_ms (200);
      ck_assert_int_lt (waited + 200, WAIT_TIMEOUT_MS);
    }
  served++;
  for (int waited = 0;
       waited < WAIT_TIMEOUT_MS && settled_tokens () < 10000L * served;
       waited += POLL_MS)
    sleep_ms (POLL_MS);
  ck_assert_int_eq (settled_tokens (), 10000L * served);
}
END_TEST

/* Guards against refusing all requests while the store is unavailable: hosts
   hold tokens, replicas and the configuration.  */
START_TEST (hosts_serve_while_the_store_is_away)
{
  ck_assert_int_eq (request (0, "POST", "/stream/1", "warm", "500,24")->status,
                    200);
  sleep_ms (600);
  set_faults (store, "{\"busy\":true}");
  sleep_ms (1500);
  ck_assert_int_eq (request (0, "POST", "/book/1", "id-b", NULL)->status, 200);
  ck_assert_int_eq (request (0, "POST", "/stream/1", "id-s", "500,24")->status,
                    200);
  set_faults (store, "{\"busy\":false,\"compact\":true}");
  put_config (150000);
  for (int waited = 0; waited < WAIT_TIMEOUT_MS; waited += POLL_MS)
    {
      json_t *page = test_get_json (store->address, ledger_path ());
      bool known = json_integer_value (
                       test_json_at (page, "spec/accounts/north/limit"))
                   == 150000;

      json_decref (page);
      if (known)
        return;
      sleep_ms (POLL_MS);
    }
  ck_abort_msg ("the configuration written after the outage is not in effect");
}
END_TEST

/* Guards against returning the address of a stopping host, and against losing
   its budget tokens when it stops.  */
START_TEST (a_stopping_host_leaves_the_address_list)
{
  enum
  {
    SERVED = 4
  };
  struct test_http_call call
      = { .address = directory_addresses[1],
          .path = "/daisystep/resolve?name=d.example&region=r&zone=z" };
  json_t *page;
  json_t *granted;
  char id[16];

  for (int i = 0; i < SERVED; i++)
    {
      (void)sprintf (id, "id-%d", i);
      ck_assert_int_eq (
          request (0, "POST", "/stream/1", id, "1000,24")->status, 200);
    }
  for (int waited = 0; waited < WAIT_TIMEOUT_MS; waited += POLL_MS)
    {
      if (strstr (test_http (&call)->body.data, caller_addresses[0]) != NULL)
        break;
      sleep_ms (POLL_MS);
    }
  ck_assert_ptr_nonnull (
      strstr (test_http (&call)->body.data, caller_addresses[0]));
  (void)test_process_signal (hosts[0], SIGTERM);
  for (int waited = 0; waited < WAIT_TIMEOUT_MS; waited += POLL_MS)
    {
      if (strstr (test_http (&call)->body.data, caller_addresses[0]) == NULL)
        break;
      sleep_ms (POLL_MS);
    }
  ck_assert_ptr_null (
      strstr (test_http (&call)->body.data, caller_addresses[0]));
  ck_assert (test_process_wait (hosts[0], WAIT_TIMEOUT_MS));
  /* The remaining host took over all tokens of this one; when it stops as the
     last host, it returns them to the ledger.  */
  (void)test_process_signal (hosts[1], SIGTERM);
  ck_assert (test_process_wait (hosts[1], WAIT_TIMEOUT_MS));
  page = test_get_json (store->address, ledger_path ());
  granted = test_json_at (page, "spec/accounts/north/granted");
  ck_assert_ptr_nonnull (granted);
  ck_assert_int_eq (json_integer_value (granted), 0);
  ck_assert_int_eq (settled_tokens (), SERVED * 1024L);
  json_decref (page);
}
END_TEST

/* Load: replicas run prompts and lose the answers.  Callers that got nothing
   were billed for 5 % of the day's tokens, and their workspaces refused later
   requests for want of them.  */
START_TEST (a_stream_without_an_event_is_not_billed)
{
  set_replica_faults ("{\"drop\":1}");
  ck_assert_int_eq (
      request (0, "POST", "/stream/1", "id-lost", "700,24")->status, 502);
  ck_assert_int_eq (count_runs ("id-lost"), 2);
  ck_assert_int_eq (
      request (0, "POST", "/stream/1", "id-whole", "500,24")->status, 200);
  for (int waited = 0; waited < WAIT_TIMEOUT_MS && settled_tokens () == 0;
       waited += POLL_MS)
    sleep_ms (POLL_MS);
  ck_assert_int_eq (settled_tokens (), 524);
}
END_TEST

/* Guards against a stream that is broken off after some events and costs its
   caller nothing.  */
START_TEST (a_stream_that_broke_off_is_billed_for_its_events)
{
  set_replica_faults ("{\"cut_after\":2,\"drop\":0}");
  (void)request (0, "POST", "/stream/1", "id-cut", "700,24");
  for (int waited = 0; waited < WAIT_TIMEOUT_MS && settled_tokens () == 0;
       waited += POLL_MS)
    sleep_ms (POLL_MS);
  /* Each event holds up to four tokens; a resumed stream has all six.  */
  ck_assert_int_ge (settled_tokens (), 700 + 2 * 4);
  ck_assert_int_le (settled_tokens (), 700 + 6 * 4);
}
END_TEST

static long
standin_count (const char *name)
{
  json_t *counts = test_get_json (store->address, "/standin/counts");
  long count = (long)json_integer_value (json_object_get (counts, name));

  json_decref (counts);
  return count;
}

/* Load: configuration versions and replica changes in quick succession.
   Without batching, each change completes a watch of each host, and each watch
   is billed; batched changes still take effect within the required time.  */
START_TEST (rapid_changes_are_batched)
{
  long before;
  long watches;

  sleep_ms (700);
  before = standin_count ("watches");
  for (int i = 0; i < 20; i++)
    {
      put_config (200000 + i);
      sleep_ms (25);
    }
  sleep_ms (700);
  watches = standin_count ("watches") - before;
  ck_assert_msg (watches <= HOSTS * 5L, "%ld watches for one burst", watches);
  for (int waited = 0; waited < 2000; waited += POLL_MS)
    {
      json_t *page = test_get_json (store->address, ledger_path ());
      long limit = (long)json_integer_value (
          test_json_at (page, "spec/accounts/north/limit"));

      json_decref (page);
      (void)request (0, "POST", "/stream/1", "id-g", "9,1");
      if (limit == 200019)
        return;
      sleep_ms (POLL_MS);
    }
  ck_abort_msg ("the last configuration is not in effect after two seconds");
}
END_TEST

/* Guards against all hosts writing a ledger page: in steady state only its
   home does, and the other host's use still reaches the ledger.  */
START_TEST (one_host_writes_the_ledger_page)
{
  char id[16];
  json_t *page;

  sleep_ms (1000);
  for (int i = 0; i < 20; i++)
    {
      (void)sprintf (id, "id-%d", i);
      ck_assert_int_eq (
          request (i % HOSTS, "POST", "/stream/1", id, "500,24")->status, 200);
      sleep_ms (50);
    }
  for (int waited = 0;
       waited < WAIT_TIMEOUT_MS && settled_tokens () < 20 * 524L;
       waited += POLL_MS)
    sleep_ms (POLL_MS);
  ck_assert_int_eq (settled_tokens (), 20 * 524L);
  page = test_get_json (store->address, ledger_path ());
  ck_assert_uint_eq (json_object_size (test_json_at (page, "spec/writers")),
                     1);
  json_decref (page);
}
END_TEST

/* Guards against a misleading status while the host has no configuration: it
   responds 503 with Retry-After, never 404 or 401.  */
START_TEST (a_host_without_configuration_answers_503)
{
  struct test_http_response *reply;

  (void)test_process_signal (hosts[0], SIGKILL);
  ck_assert (test_process_wait (hosts[0], WAIT_TIMEOUT_MS));
  set_faults (store, "{\"busy\":true}");
  start_host (0);
  do
    {
      sleep_ms (POLL_MS);
      reply = request (0, "GET", "/look/1", "id-n", NULL);
    }
  while (reply->status == 0);
  ck_assert_int_eq (reply->status, 503);
  ck_assert_ptr_nonnull (test_http_header (reply, "Retry-After"));
}
END_TEST

static long
readiness_status (int i)
{
  struct test_http_call call
      = { .address = readiness_addresses[i], .path = "/daisystep/readiness" };

  return test_http (&call)->status;
}

/* Guards against callers being sent to a host that refuses every request,
   since it has a configuration but no list of replicas yet.  */
START_TEST (a_host_is_ready_once_it_knows_the_replicas)
{
  (void)test_process_signal (hosts[0], SIGKILL);
  ck_assert (test_process_wait (hosts[0], WAIT_TIMEOUT_MS));
  set_faults (store, "{\"busy_kind\":\"servers\"}");
  start_host (0);
  /* The configuration is in force once an unknown route gets 404.  */
  for (int waited = 0;
       waited < WAIT_TIMEOUT_MS
       && request (0, "GET", "/none/1", "id-n", NULL)->status != 404;
       waited += POLL_MS)
    sleep_ms (POLL_MS);
  ck_assert_int_eq (request (0, "GET", "/none/1", "id-n", NULL)->status, 404);
  ck_assert_int_eq (readiness_status (0), 503);
  set_faults (store, "{}");
  wait_ready (0);
  ck_assert_int_eq (request (0, "GET", "/look/1", "id-l", NULL)->status, 200);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("entry");
  TCase *test_case = tcase_create ("entry");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_set_timeout (test_case, 120);
  tcase_add_test (test_case, a_response_is_forwarded_unchanged);
  tcase_add_test (test_case, unknown_keys_and_routes_are_refused);
  tcase_add_test (test_case, a_booking_whose_answer_is_lost_runs_once);
  tcase_add_test (test_case, a_lookup_whose_answer_is_lost_is_repeated);
  tcase_add_test (test_case,
                  a_rejected_booking_is_retried_or_reported_as_not_run);
  tcase_add_test (test_case, a_broken_stream_resumes_at_another_replica);
  tcase_add_test (test_case,
                  a_stream_cut_at_one_replica_is_resumed_at_the_other);
  tcase_add_test (test_case, a_draining_replica_gets_no_new_work);
  tcase_add_test (test_case, a_budget_is_spent_once_at_all_hosts);
  tcase_add_test (test_case, hosts_serve_while_the_store_is_away);
  tcase_add_test (test_case, a_stream_without_an_event_is_not_billed);
  tcase_add_test (test_case, a_stream_that_broke_off_is_billed_for_its_events);
  tcase_add_test (test_case, a_stopping_host_leaves_the_address_list);
  tcase_add_test (test_case, rapid_changes_are_batched);
  tcase_add_test (test_case, one_host_writes_the_ledger_page);
  tcase_add_test (test_case, a_host_without_configuration_answers_503);
  tcase_add_test (test_case, a_host_is_ready_once_it_knows_the_replicas);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
