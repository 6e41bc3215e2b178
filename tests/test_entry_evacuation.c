#include "support/entry_site.h"

#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Hosts that send to all others, and hosts that use relays.  */
#define HOSTS 2
#define MANY_HOSTS 28
/* "evacuation_ms" of the users' platform.  */
#define EVACUATION_MS 5000
#define REQUESTS 12
#define EVACUATIONS ENTRY_OBJECTS "evacuations"

static void
set_settings (void)
{
  entry_further_settings
      = "\"evacuation_ms\":5000,\"zones\":{\"east\":\"home\","
        "\"west\":\"away\"},";
  entry_replica_zones[0] = "east";
  entry_replica_zones[1] = "west";
}

static void
start_hosts (void)
{
  for (int i = 0; i < HOSTS; i++)
    {
      entry_region = i == 0 ? "home" : "away";
      entry_start_host (i, i == 0 ? "east" : "west");
    }
  for (int i = 0; i < HOSTS; i++)
    entry_wait_ready (i);
}

static void
set_up (void)
{
  set_settings ();
  entry_start_standins (1000000);
  start_hosts ();
}

/* With replicas that send what a script says.  */
static void
set_up_scripted (void)
{
  set_settings ();
  entry_start_scripted_standins (1000000);
  start_hosts ();
}

static void
tear_down (void)
{
  test_processes_clean_up ();
}

static void
evacuate (const char *zone)
{
  ck_assert_int_eq (
      entry_put_object ("POST", EVACUATIONS, json_object (), zone), 200);
}

static void
end_evacuation (const char *zone)
{
  char path[64];
  struct test_http_call call
      = { .method = "DELETE", .address = entry_store->address, .path = path };

  (void)snprintf (path, sizeof path, EVACUATIONS "/%s", zone);
  ck_assert_int_eq (test_http (&call)->status, 200);
}

static size_t
count_runs (int replica)
{
  json_t *runs
      = test_get_json (entry_replicas[replica]->address, "/standin/runs");
  size_t count = json_array_size (runs);

  json_decref (runs);
  return count;
}

/* Sends requests to host I; all must get STATUS.  Returns how many of them
   REPLICA has executed.  */
static size_t
send_requests (int i, int replica, long status)
{
  static int number;
  size_t before = count_runs (replica);
  char id[32];

  for (int k = 0; k < REQUESTS; k++)
    {
      (void)snprintf (id, sizeof id, "id-%d", number++);
      ck_assert_int_eq (entry_request (i, "GET", "/look/1", id, NULL)->status,
                        status);
    }
  return count_runs (replica) - before;
}

/* Guards against requests to an evacuated zone, against a zone that stays
   empty after the end, and against callers that wait while all zones are
   evacuated.  */
START_TEST (evacuated_zones_get_no_requests_until_the_end)
{
  size_t runs = 0;

  evacuate ("east");
  test_sleep_ms (EVACUATION_MS);
  for (int i = 0; i < HOSTS; i++)
    ck_assert_uint_eq (send_requests (i, 0, 200), 0);
  evacuate ("west");
  test_sleep_ms (EVACUATION_MS);
  for (int i = 0; i < HOSTS; i++)
    {
      struct test_http_response *response
          = entry_request (i, "POST", "/stream/1", "refused", "100,24");

      ck_assert_int_eq (response->status, 503);
      ck_assert_ptr_nonnull (strstr (response->body.data, "evacuated"));
      ck_assert_ptr_nonnull (strstr (response->body.data, "\"ran\":\"no\""));
      ck_assert_uint_eq (send_requests (i, 1, 503), 0);
    }
  end_evacuation ("east");
  for (int waited = 0; runs == 0 && waited < ENTRY_WAIT_MS;
       waited += ENTRY_POLL_MS)
    {
      if (entry_request (0, "GET", "/look/1", "again", NULL)->status == 200)
        runs = count_runs (0);
      test_sleep_ms (ENTRY_POLL_MS);
    }
  ck_assert_uint_gt (runs, 0);
}
END_TEST

/* Returns how many of COUNT hosts count ZONES zones as evacuated.  */
static int
count_informed (int count, int zones)
{
  char address[ENTRY_ADDRESS_BYTES];
  char line[64];
  struct test_http_call call = { .address = address, .path = "/metrics" };
  int informed = 0;

  (void)snprintf (line, sizeof line, "daisystep_evacuations %d\n", zones);
  for (int i = 0; i < count; i++)
    {
      entry_format_address (address, i, 8084);
      if (strstr (test_http (&call)->body.data, line) != NULL)
        informed++;
    }
  return informed;
}

/* Guards against hosts that use an evacuated zone because they are cut off
   from the store: the responses to the watches of all but two, or one, are
   lost, and the store is stopped before the others check.  */
START_TEST (hosts_without_the_store_hear_of_an_evacuation_from_others)
{
  int count = _i == 0 ? HOSTS : MANY_HOSTS;
  char faults[64];
  int waited = 0;

  for (int i = HOSTS; i < count; i++)
    entry_start_host (i, i % 2 == 0 ? "east" : "west");
  for (int i = HOSTS; i < count; i++)
    entry_wait_ready (i);
  (void)snprintf (faults, sizeof faults,
                  "{\"lose_watches\":%d,\"lose_kind\":\"evacuations\"}",
                  _i == 0 ? 1 : count - 2);
  entry_set_faults (entry_store, faults);
  evacuate ("east");
  while (count_informed (count, 1) == 0 && waited++ < ENTRY_WAIT_MS)
    test_sleep_ms (1);
  (void)test_process_signal (entry_store, SIGSTOP);
  test_sleep_ms (EVACUATION_MS);
  ck_assert_int_eq (count_informed (count, 1), count);
  for (int i = 0; i < count; i++)
    ck_assert_uint_eq (send_requests (i, 0, 200), 0);
  (void)test_process_signal (entry_store, SIGCONT);
}
END_TEST

#define STREAM_START                                                          \
  "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal.1\r\n"            \
  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
#define EVENT(n) "id: " #n "\ndata: piece " #n "\n\n"

/* Guards against a stream that an evacuation cuts off, and against one that is
   resumed in an evacuated zone after its replica has broken it off.  */
START_TEST (running_streams_continue_but_are_not_resumed)
{
  static const char *const headers[]
      = { "Host: d.example", "Authorization: Bearer key-1",
          "Deadline-Ms: 6000", "Request-Id: long", NULL };
  struct test_http_call call = { .method = "POST",
                                 .address = entry_caller_addresses[0],
                                 .path = "/stream/1",
                                 .headers = headers,
                                 .body = "hello" };
  bool broken = _i != 0;
  struct test_http_task *task;
  struct test_http_response *response;
  int waited = 0;

  for (int i = 0; i < ENTRY_REPLICAS; i++)
    {
      if (broken)
        entry_add_response (entry_replicas[i], "send", STREAM_START, "chunk",
                            EVENT (1), "wait_ms", "3000", "close", "", NULL);
      else
        entry_add_response (entry_replicas[i], "send", STREAM_START, "chunk",
                            EVENT (1), "wait_ms", "3000", "chunk", EVENT (2),
                            "send", "0\r\n\r\n", NULL);
    }
  task = test_http_start (&call);
  while (entry_count_runs ("long") == 0 && waited++ < ENTRY_WAIT_MS)
    test_sleep_ms (1);
  evacuate ("east");
  evacuate ("west");
  for (waited = 0; count_informed (HOSTS, 2) < HOSTS && waited < ENTRY_WAIT_MS;
       waited += ENTRY_POLL_MS)
    test_sleep_ms (ENTRY_POLL_MS);
  ck_assert_int_lt (waited, 2000);
  response = test_http_join (task);
  ck_assert_int_eq (response->status, 200);
  ck_assert (broken == (response->code != 0));
  ck_assert (broken == (strstr (response->body.data, EVENT (2)) == NULL));
  ck_assert_int_eq (entry_count_runs ("long"), 1);
}
END_TEST

/* Writes the configuration again with REGION as the only one that its routes
   allow.  */
static void
limit_regions (const char *region)
{
  json_t *object
      = test_get_json (entry_store->address, ENTRY_OBJECTS "config/main");
  json_t *spec = json_object_get (object, "spec");
  json_t *routes = json_object_get (spec, "routes");

  for (size_t i = 0; i < json_array_size (routes); i++)
    json_object_set_new (json_array_get (routes, i), "allowed_regions",
                         json_pack ("[s]", region));
  json_object_set_new (spec, "version", json_integer (100));
  ck_assert_int_eq (entry_put_object ("PUT", ENTRY_OBJECTS "config/main",
                                      json_incref (spec), "main"),
                    200);
  json_decref (object);
}

/* Guards against a request that leaves its region, also when no replica is
   left in it and the request is a stream with a budget.  */
START_TEST (requests_stay_in_their_region)
{
  limit_regions ("away");
  test_sleep_ms (2000);
  ck_assert_uint_eq (send_requests (0, 0, 200), 0);
  evacuate ("west");
  test_sleep_ms (EVACUATION_MS);
  ck_assert_uint_eq (send_requests (0, 0, 503), 0);
  ck_assert_int_eq (
      entry_request (0, "POST", "/stream/1", "refused", "100,24")->status,
      503);
  ck_assert_int_eq (entry_count_runs ("refused"), 0);
}
END_TEST

/* Returns the addresses that host I names to a caller in the region
   "home".  */
static const char *
resolve (int i)
{
  struct test_http_call call
      = { .address = entry_directory_addresses[i],
          .path = "/daisystep/resolve?name=d.example&region=home&zone=east" };

  return test_http (&call)->body.data;
}

/* Guards against callers that enter through a region that the routes of their
   host name do not allow while one that they allow has hosts, and against
   callers without any address after that.  */
START_TEST (callers_are_led_to_allowed_regions)
{
  int waited = 0;

  ck_assert_ptr_nonnull (strstr (resolve (0), entry_caller_addresses[0]));
  limit_regions ("away");
  for (int i = 0; i < HOSTS; i++)
    {
      while (strstr (resolve (i), entry_caller_addresses[0]) != NULL
             && waited < ENTRY_WAIT_MS)
        {
          test_sleep_ms (ENTRY_POLL_MS);
          waited += ENTRY_POLL_MS;
        }
      ck_assert_ptr_null (strstr (resolve (i), entry_caller_addresses[0]));
      ck_assert_ptr_nonnull (strstr (resolve (i), entry_caller_addresses[1]));
    }
  (void)test_process_signal (entry_hosts[1], SIGKILL);
  test_sleep_ms (EVACUATION_MS);
  ck_assert_ptr_nonnull (strstr (resolve (0), entry_caller_addresses[0]));
  ck_assert_ptr_null (strstr (resolve (0), entry_caller_addresses[1]));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("entry_evacuation");
  TCase *test_case = tcase_create ("entry_evacuation");
  TCase *scripted = tcase_create ("scripted");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_set_timeout (test_case, 120);
  tcase_add_test (test_case, evacuated_zones_get_no_requests_until_the_end);
  tcase_add_loop_test (
      test_case, hosts_without_the_store_hear_of_an_evacuation_from_others, 0,
      2);
  tcase_add_test (test_case, requests_stay_in_their_region);
  tcase_add_test (test_case, callers_are_led_to_allowed_regions);
  suite_add_tcase (suite, test_case);
  tcase_add_checked_fixture (scripted, set_up_scripted, tear_down);
  tcase_set_timeout (scripted, 60);
  tcase_add_loop_test (scripted, running_streams_continue_but_are_not_resumed,
                       0, 2);
  suite_add_tcase (suite, scripted);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
