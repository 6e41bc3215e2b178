#include "core/ledger_page.h"
#include "support/entry_site.h"

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

static void
set_up (void)
{
  entry_start_standins (100000);
  for (int i = 0; i < HOSTS; i++)
    entry_start_host (i, "z");
  for (int i = 0; i < HOSTS; i++)
    entry_wait_ready (i);
}

static void
tear_down (void)
{
  test_processes_clean_up ();
}

static void
set_replica_faults (const char *text)
{
  for (int i = 0; i < ENTRY_REPLICAS; i++)
    entry_set_faults (entry_replicas[i], text);
}

/* Guards against a response without its MAC, a forwarded API key, and a
   workspace chosen by the caller.  */
START_TEST (a_response_is_forwarded_unchanged)
{
  struct test_http_response *reply
      = entry_request (0, "POST", "/book/1", "id-book", NULL);

  ck_assert_int_eq (reply->code, 0);
  ck_assert_int_eq (reply->status, 200);
  ck_assert_str_eq (test_http_header (reply, "Server-Seal"), "seal.1");
  ck_assert_ptr_nonnull (strstr (reply->body.data, ":hello"));
  ck_assert_int_eq (entry_count_runs ("id-book"), 1);
}
END_TEST

START_TEST (unknown_keys_and_routes_are_refused)
{
  const char *headers[] = { "Host: d.example", "Authorization: Bearer other",
                            "Request-Id: x", NULL };
  struct test_http_call call = { .address = entry_caller_addresses[0],
                                 .path = "/look/1",
                                 .headers = headers };

  ck_assert_int_eq (test_http (&call)->status, 401);
  ck_assert_int_eq (entry_request (0, "GET", "/none/1", "id-1", NULL)->status,
                    404);
  headers[2] = NULL;
  ck_assert_int_eq (test_http (&call)->status, 400);
  ck_assert_int_eq (entry_count_runs ("x"), 0);
}
END_TEST

/* Guards against repeating a booking whose response was lost, and against
   reporting that it did not run.  */
START_TEST (a_booking_whose_answer_is_lost_runs_once)
{
  struct test_http_response *reply;

  set_replica_faults ("{\"drop\":1}");
  reply = entry_request (0, "POST", "/book/1", "id-lost", NULL);
  ck_assert_int_eq (reply->status, 502);
  ck_assert_int_eq (entry_count_runs ("id-lost"), 1);
}
END_TEST

/* Guards against failing a repeatable request without a retry.  */
START_TEST (a_lookup_whose_answer_is_lost_is_repeated)
{
  struct test_http_response *reply;

  set_replica_faults ("{\"drop\":1}");
  reply = entry_request (0, "GET", "/look/1", "id-look", NULL);
  /* Both replicas drop one response; both of the allowed attempts ran.  */
  ck_assert_int_eq (entry_count_runs ("id-look"), 2);
  ck_assert_int_eq (reply->status, 502);
  ck_assert_int_eq (entry_request (0, "GET", "/look/1", "id-2", NULL)->status,
                    200);
}
END_TEST

/* Guards against running a request reported as not run, and against refusing
   one that another replica could run.  */
START_TEST (a_rejected_booking_is_retried_or_reported_as_not_run)
{
  entry_set_faults (entry_replicas[0], "{\"shed\":1}");
  entry_set_faults (entry_replicas[1], "{\"shed\":0}");
  ck_assert_int_eq (entry_request (0, "POST", "/book/1", "id-a", NULL)->status,
                    200);
  ck_assert_int_eq (entry_count_runs ("id-a"), 1);
  set_replica_faults ("{\"shed\":5}");
  ck_assert_int_eq (entry_request (0, "POST", "/book/1", "id-b", NULL)->status,
                    503);
  ck_assert_int_eq (entry_count_runs ("id-b"), 0);
}
END_TEST

/* Guards against missing, repeated or partial events when a replica closes the
   connection within an event.  */
START_TEST (a_broken_stream_resumes_at_another_replica)
{
  struct test_http_response *reply;

  set_replica_faults ("{\"cut_after\":3}");
  reply = entry_request (0, "POST", "/stream/1", "id-s", "100,24");
  if (reply->code != 0)
    {
      /* Both replicas have cut one stream: the next request completes.  */
      reply = entry_request (0, "POST", "/stream/1", "id-t", "100,24");
    }
  ck_assert_int_eq (reply->code, 0);
  ck_assert_str_eq (reply->body.data,
                    "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
                    "id: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"
                    "id: 5\ndata: piece 5\n\nid: 6\ndata: piece 6\n\n");
}
END_TEST

/* Guards against refusing responses without a length and chunks, which end
   with the connection, or losing a part of them.  */
START_TEST (responses_that_end_with_the_connection_are_whole)
{
  struct test_http_response *reply;

  set_replica_faults ("{\"unframed\":2}");
  reply = entry_request (0, "POST", "/book/1", "id-b", NULL);
  ck_assert_int_eq (reply->code, 0);
  ck_assert_int_eq (reply->status, 200);
  ck_assert_ptr_nonnull (strstr (reply->body.data, ":hello"));
  reply = entry_request (0, "POST", "/stream/1", "id-s", "100,24");
  ck_assert_int_eq (reply->code, 0);
  ck_assert_ptr_nonnull (strstr (reply->body.data, "piece 6\n\n"));
}
END_TEST

/* Guards against passing on half a response as a whole one, since a connection
   that is reset ends it as one that is closed does.  */
START_TEST (a_response_without_length_that_is_reset_is_not_whole)
{
  struct test_http_response *reply;

  set_replica_faults ("{\"unframed\":1,\"cut_after\":1,\"reset\":true}");
  reply = entry_request (0, "POST", "/book/1", "id-b", NULL);
  ck_assert (reply->code != 0 || reply->status == 502);
  ck_assert_int_eq (entry_count_runs ("id-b"), 1);
}
END_TEST

/* Guards against a stream that ends inside an event and looks complete:
   without a length and chunks, the end of the connection is the end of the
   stream.  */
START_TEST (an_unframed_stream_that_ends_inside_an_event_is_resumed)
{
  struct test_http_response *reply;

  for (int i = 0; i < 4; i++)
    {
      char id[16];

      (void)sprintf (id, "id-%d", i);
      entry_set_faults (entry_replicas[0], "{\"unframed\":1,\"cut_after\":2}");
      reply = entry_request (0, "POST", "/stream/1", id, "100,24");
      ck_assert_int_eq (reply->code, 0);
      ck_assert_str_eq (reply->body.data,
                        "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
                        "id: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\n"
                        "id: 5\ndata: piece 5\n\nid: 6\ndata: piece 6\n\n");
    }
}
END_TEST

/* Guards against the same at both replicas: the response must then look broken
   to the caller, too.  */
START_TEST (an_unframed_stream_that_cannot_be_resumed_looks_broken)
{
  struct test_http_response *reply;

  set_replica_faults ("{\"unframed\":1,\"cut_after\":2}");
  reply = entry_request (0, "POST", "/stream/1", "id-s", "100,24");
  ck_assert_int_ne (reply->code, 0);
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
      entry_set_faults (entry_replicas[0], "{\"cut_after\":2}");
      reply = entry_request (0, "POST", "/stream/1", id, "100,24");
      ck_assert_int_eq (reply->code, 0);
      ck_assert_ptr_nonnull (strstr (reply->body.data, "piece 6"));
      runs += entry_count_runs (id);
    }
  ck_assert_int_ge (runs, 4);
}
END_TEST

/* Guards against sending requests to a draining replica.  */
START_TEST (a_draining_replica_gets_no_new_work)
{
  entry_put_replica (0, "draining");
  test_sleep_ms (500);
  for (int i = 0; i < 6; i++)
    {
      char id[16];

      (void)sprintf (id, "id-%d", i);
      ck_assert_int_eq (
          entry_request (i % HOSTS, "GET", "/look/1", id, NULL)->status, 200);
    }
  json_t *runs = test_get_json (entry_replicas[0]->address, "/standin/runs");

  ck_assert_uint_eq (json_array_size (runs), 0);
  json_decref (runs);
}
END_TEST

/* Guards against overspending at two hosts, double billing when the ledger's
   response is lost, and refusals after a top-up.  */
START_TEST (a_budget_is_spent_once_at_all_hosts)
{
  int served = 0;
  char id[16];

  entry_set_faults (entry_store, "{\"lose_answers\":2}");
  entry_put_config (100200);
  /* Ten requests of 10,000 tokens fit.  While ledger responses are lost, a
     host may refuse requests for a moment.  */
  for (int i = 0, after = 0; after < 20; i++)
    {
      struct test_http_response *reply;

      (void)sprintf (id, "id-%d", i);
      reply = entry_request (i % HOSTS, "POST", "/stream/1", id, "9976,24");
      if (reply->status == 200)
        served++;
      else
        ck_assert (reply->status == 402 || reply->status == 503);
      ck_assert_int_le (served, 10);
      if (served >= 8)
        after++;
      ck_assert_int_lt (i, ENTRY_WAIT_MS / ENTRY_POLL_MS);
      test_sleep_ms (ENTRY_POLL_MS / 2);
    }
  entry_put_config (200000);
  for (int waited = 0; waited < ENTRY_WAIT_MS; waited += 200)
    {
      (void)sprintf (id, "more-%d", waited);
      if (entry_request (0, "POST", "/stream/1", id, "9976,24")->status == 200)
        break;
      test_sleep_ms (200);
      ck_assert_int_lt (waited + 200, ENTRY_WAIT_MS);
    }
  served++;
  for (int waited = 0;
       waited < ENTRY_WAIT_MS && entry_settled_tokens () < 10000L * served;
       waited += ENTRY_POLL_MS)
    test_sleep_ms (ENTRY_POLL_MS);
  ck_assert_int_eq (entry_settled_tokens (), 10000L * served);
}
END_TEST

/* Waits until host I serves the route at PATH.  */
static void
wait_for_route (int i, const char *path)
{
  char id[32];

  for (int waited = 0; waited < ENTRY_WAIT_MS; waited += ENTRY_POLL_MS)
    {
      (void)snprintf (id, sizeof id, "route-%d-%d", i, waited);
      if (entry_request (i, "GET", path, id, NULL)->status == 200)
        return;
      test_sleep_ms (ENTRY_POLL_MS);
    }
  ck_abort_msg ("host %d does not serve %s", i, path);
}

/* Guards against refusing all requests while the store is unavailable: hosts
   hold tokens, replicas and the configuration.  */
START_TEST (hosts_serve_while_the_store_is_away)
{
  ck_assert_int_eq (
      entry_request (0, "POST", "/stream/1", "warm", "500,24")->status, 200);
  test_sleep_ms (600);
  entry_set_faults (entry_store, "{\"busy\":true}");
  test_sleep_ms (1500);
  ck_assert_int_eq (entry_request (0, "POST", "/book/1", "id-b", NULL)->status,
                    200);
  ck_assert_int_eq (
      entry_request (0, "POST", "/stream/1", "id-s", "500,24")->status, 200);
  entry_set_faults (entry_store, "{\"busy\":false,\"compact\":true}");
  entry_put_config_with_route (150000, "/new/");
  for (int i = 0; i < HOSTS; i++)
    wait_for_route (i, "/new/1");
  /* The home records the limit with the use of the next request.  */
  ck_assert_int_eq (
      entry_request (0, "POST", "/stream/1", "after", "500,24")->status, 200);
  for (int waited = 0; waited < ENTRY_WAIT_MS; waited += ENTRY_POLL_MS)
    {
      json_t *page
          = test_get_json (entry_store->address, entry_ledger_path ());
      bool known = json_integer_value (
                       test_json_at (page, "spec/accounts/north/limit"))
                   == 150000;

      json_decref (page);
      if (known)
        return;
      test_sleep_ms (ENTRY_POLL_MS);
    }
  ck_abort_msg ("the limit written after the outage is not in the ledger");
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
      = { .address = entry_directory_addresses[1],
          .path = "/daisystep/resolve?name=d.example&region=r&zone=z" };
  json_t *page;
  json_t *granted;
  char id[16];

  for (int i = 0; i < SERVED; i++)
    {
      (void)sprintf (id, "id-%d", i);
      ck_assert_int_eq (
          entry_request (0, "POST", "/stream/1", id, "1000,24")->status, 200);
    }
  for (int waited = 0; waited < ENTRY_WAIT_MS; waited += ENTRY_POLL_MS)
    {
      if (strstr (test_http (&call)->body.data, entry_caller_addresses[0])
          != NULL)
        break;
      test_sleep_ms (ENTRY_POLL_MS);
    }
  ck_assert_ptr_nonnull (
      strstr (test_http (&call)->body.data, entry_caller_addresses[0]));
  (void)test_process_signal (entry_hosts[0], SIGTERM);
  for (int waited = 0; waited < ENTRY_WAIT_MS; waited += ENTRY_POLL_MS)
    {
      if (strstr (test_http (&call)->body.data, entry_caller_addresses[0])
          == NULL)
        break;
      test_sleep_ms (ENTRY_POLL_MS);
    }
  ck_assert_ptr_null (
      strstr (test_http (&call)->body.data, entry_caller_addresses[0]));
  ck_assert (test_process_wait (entry_hosts[0], ENTRY_WAIT_MS));
  /* The remaining host took over all tokens of this one; when it stops as the
     last host, it returns them to the ledger.  */
  (void)test_process_signal (entry_hosts[1], SIGTERM);
  ck_assert (test_process_wait (entry_hosts[1], ENTRY_WAIT_MS));
  page = test_get_json (entry_store->address, entry_ledger_path ());
  granted = test_json_at (page, "spec/accounts/north/granted");
  ck_assert_ptr_nonnull (granted);
  ck_assert_int_eq (json_integer_value (granted), 0);
  ck_assert_int_eq (entry_settled_tokens (), SERVED * 1024L);
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
      entry_request (0, "POST", "/stream/1", "id-lost", "700,24")->status,
      502);
  ck_assert_int_eq (entry_count_runs ("id-lost"), 2);
  ck_assert_int_eq (
      entry_request (0, "POST", "/stream/1", "id-whole", "500,24")->status,
      200);
  for (int waited = 0; waited < ENTRY_WAIT_MS && entry_settled_tokens () == 0;
       waited += ENTRY_POLL_MS)
    test_sleep_ms (ENTRY_POLL_MS);
  ck_assert_int_eq (entry_settled_tokens (), 524);
}
END_TEST

/* Guards against a stream that is broken off after some events and costs its
   caller nothing.  */
START_TEST (a_stream_that_broke_off_is_billed_for_its_events)
{
  set_replica_faults ("{\"cut_after\":2,\"drop\":0}");
  (void)entry_request (0, "POST", "/stream/1", "id-cut", "700,24");
  for (int waited = 0; waited < ENTRY_WAIT_MS && entry_settled_tokens () == 0;
       waited += ENTRY_POLL_MS)
    test_sleep_ms (ENTRY_POLL_MS);
  /* Each event holds up to four tokens; a resumed stream has all six.  */
  ck_assert_int_ge (entry_settled_tokens (), 700 + 2 * 4);
  ck_assert_int_le (entry_settled_tokens (), 700 + 6 * 4);
}
END_TEST

static long
standin_count (const char *name)
{
  json_t *counts = test_get_json (entry_store->address, "/standin/counts");
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

  test_sleep_ms (700);
  before = standin_count ("watches");
  for (int i = 0; i < 20; i++)
    {
      entry_put_config (200000 + i);
      test_sleep_ms (25);
    }
  test_sleep_ms (700);
  watches = standin_count ("watches") - before;
  ck_assert_msg (watches <= HOSTS * 5L, "%ld watches for one burst", watches);
  for (int waited = 0; waited < 2000; waited += ENTRY_POLL_MS)
    {
      json_t *page
          = test_get_json (entry_store->address, entry_ledger_path ());
      long limit = (long)json_integer_value (
          test_json_at (page, "spec/accounts/north/limit"));

      json_decref (page);
      (void)entry_request (0, "POST", "/stream/1", "id-g", "9,1");
      if (limit == 200019)
        return;
      test_sleep_ms (ENTRY_POLL_MS);
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

  test_sleep_ms (1000);
  for (int i = 0; i < 20; i++)
    {
      (void)sprintf (id, "id-%d", i);
      ck_assert_int_eq (
          entry_request (i % HOSTS, "POST", "/stream/1", id, "500,24")->status,
          200);
      test_sleep_ms (50);
    }
  for (int waited = 0;
       waited < ENTRY_WAIT_MS && entry_settled_tokens () < 20 * 524L;
       waited += ENTRY_POLL_MS)
    test_sleep_ms (ENTRY_POLL_MS);
  ck_assert_int_eq (entry_settled_tokens (), 20 * 524L);
  page = test_get_json (entry_store->address, entry_ledger_path ());
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

  (void)test_process_signal (entry_hosts[0], SIGKILL);
  ck_assert (test_process_wait (entry_hosts[0], ENTRY_WAIT_MS));
  entry_set_faults (entry_store, "{\"busy\":true}");
  entry_start_host (0, "z");
  do
    {
      test_sleep_ms (ENTRY_POLL_MS);
      reply = entry_request (0, "GET", "/look/1", "id-n", NULL);
    }
  while (reply->status == 0);
  ck_assert_int_eq (reply->status, 503);
  ck_assert_ptr_nonnull (test_http_header (reply, "Retry-After"));
}
END_TEST

static long
readiness_status (int i)
{
  struct test_http_call call = { .address = entry_readiness_addresses[i],
                                 .path = "/daisystep/readiness" };

  return test_http (&call)->status;
}

/* Guards against callers being sent to a host that refuses every request,
   since it has a configuration but no list of replicas yet.  */
START_TEST (a_host_is_ready_once_it_knows_the_replicas)
{
  (void)test_process_signal (entry_hosts[0], SIGKILL);
  ck_assert (test_process_wait (entry_hosts[0], ENTRY_WAIT_MS));
  entry_set_faults (entry_store, "{\"busy_kind\":\"servers\"}");
  entry_start_host (0, "z");
  /* The configuration is in force once an unknown route gets 404.  */
  for (int waited = 0;
       waited < ENTRY_WAIT_MS
       && entry_request (0, "GET", "/none/1", "id-n", NULL)->status != 404;
       waited += ENTRY_POLL_MS)
    test_sleep_ms (ENTRY_POLL_MS);
  ck_assert_int_eq (entry_request (0, "GET", "/none/1", "id-n", NULL)->status,
                    404);
  ck_assert_int_eq (readiness_status (0), 503);
  entry_set_faults (entry_store, "{}");
  entry_wait_ready (0);
  ck_assert_int_eq (entry_request (0, "GET", "/look/1", "id-l", NULL)->status,
                    200);
}
END_TEST

/* The most resident memory that the host has used, in KiB.  */
static long
peak_memory_kib (const struct test_process *host)
{
  char path[64];
  char line[128];
  long kib = -1;
  FILE *file;

  (void)snprintf (path, sizeof path, "/proc/%d/status", (int)host->pid);
  file = fopen (path, "r");
  ck_assert_ptr_nonnull (file);
  while (kib < 0 && fgets (line, sizeof line, file) != NULL)
    if (strncmp (line, "VmHWM:", 6) == 0)
      kib = strtol (line + 6, NULL, 10);
  (void)fclose (file);
  return kib;
}

/* Memory that a host may use for an answer without end, in KiB: a quarter of
   the smallest host's 88 MB, beside what it uses anyway.  */
#define ENDLESS_MEMORY_KIB 22000

/* Guards against a host that keeps a failed answer without end in memory, and
   against a request that never ends.  */
START_TEST (a_body_without_end_is_given_up)
{
  long before = peak_memory_kib (entry_hosts[0]);

  set_replica_faults ("{\"endless\":1}");
  ck_assert_int_eq (
      entry_request (0, "POST", "/book/1", "id-endless", NULL)->status, 502);
  ck_assert_int_eq (entry_count_runs ("id-endless"), 1);
  ck_assert_int_lt (peak_memory_kib (entry_hosts[0]) - before,
                    ENDLESS_MEMORY_KIB);
  set_replica_faults ("{}");
  ck_assert_int_eq (
      entry_request (0, "POST", "/book/1", "id-next", NULL)->status, 200);
}
END_TEST

/* Guards against a host that keeps a list of the store without end in memory:
   it serves on with what it knows, and continues when the store is sound.  */
START_TEST (a_list_without_end_is_given_up)
{
  const char *sanitizer = getenv ("ASAN_OPTIONS");
  char options[256];
  long before;

  /* The address sanitizer keeps 256 MB of freed memory by default, which would
     count as used.  */
  (void)snprintf (options, sizeof options, "%s:quarantine_size_mb=1",
                  sanitizer != NULL ? sanitizer : "");
  ck_assert_int_eq (setenv ("ASAN_OPTIONS", options, 1), 0);

  (void)test_process_signal (entry_hosts[0], SIGKILL);
  ck_assert (test_process_wait (entry_hosts[0], ENTRY_WAIT_MS));
  entry_set_faults (entry_store, "{\"endless\":true}");
  entry_start_host (0, "z");
  while (entry_request (0, "GET", "/look/1", "id-n", NULL)->status == 0)
    test_sleep_ms (ENTRY_POLL_MS);
  before = peak_memory_kib (entry_hosts[0]);
  test_sleep_ms (3000);
  ck_assert_int_lt (peak_memory_kib (entry_hosts[0]) - before,
                    ENDLESS_MEMORY_KIB);
  ck_assert_int_eq (entry_request (0, "GET", "/look/1", "id-l", NULL)->status,
                    503);
  entry_set_faults (entry_store, "{}");
  entry_wait_ready (0);
  ck_assert_int_eq (entry_request (0, "GET", "/look/1", "id-m", NULL)->status,
                    200);
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
  tcase_add_test (test_case, responses_that_end_with_the_connection_are_whole);
  tcase_add_test (test_case,
                  a_response_without_length_that_is_reset_is_not_whole);
  tcase_add_test (test_case,
                  an_unframed_stream_that_ends_inside_an_event_is_resumed);
  tcase_add_test (test_case,
                  an_unframed_stream_that_cannot_be_resumed_looks_broken);
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
  tcase_add_test (test_case, a_body_without_end_is_given_up);
  tcase_add_test (test_case, a_list_without_end_is_given_up);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
