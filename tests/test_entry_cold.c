#include "support/entry_site.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Replicas of a service with a cold phase, with real processes.  */

#define COLD_S 60.0
#define PER_S 4.0
/* PER_S x cold_overage + cold_slack.  */
#define LIMIT 11
/* Requests to cold replicas after which their times are checked.  */
#define SENT 24
/* Requests that must all be served, or must not reach a replica.  */
#define REQUESTS 30
#define TIMES_MAX 4096

static int serial;

static void
start (long remaining_ms)
{
  entry_set_cold_phase (COLD_S, PER_S, remaining_ms);
  entry_start_standins (1000000);
  for (int i = 0; i < 2; i++)
    entry_start_host (i, "z");
  for (int i = 0; i < 2; i++)
    entry_wait_ready (i);
}

static void
tear_down (void)
{
  entry_set_cold_phase (0, 0, 0);
  test_processes_clean_up ();
}

static struct test_http_response *
send_lookup (int host)
{
  char id[32];

  (void)snprintf (id, sizeof id, "id-%d", ++serial);
  return entry_request (host, "GET", "/look/1", id, NULL);
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

/* Checks that a request through HOST is refused with a time to return.  */
static void
expect_refusal (int host)
{
  struct test_http_response *reply = send_lookup (host);
  char id[32];

  (void)snprintf (id, sizeof id, "id-%d", serial);
  ck_assert_int_eq (reply->status, 503);
  ck_assert_ptr_nonnull (strstr (reply->body.data, "cold"));
  ck_assert_double_gt (atof (test_http_header (reply, "Retry-After")), 0);
  ck_assert_int_eq (entry_count_runs (id), 0);
}

/* Checks that REPLICA got no more than LIMIT requests in any second.  */
static void
check_times (int replica)
{
  json_t *runs
      = test_get_json (entry_replicas[replica]->address, "/standin/runs");
  size_t count = json_array_size (runs);
  size_t first = 0;

  for (size_t i = 0; i < count; i++)
    {
      json_int_t at = json_integer_value (
          json_object_get (json_array_get (runs, i), "at_ms"));

      while (at
                 - json_integer_value (
                     json_object_get (json_array_get (runs, first), "at_ms"))
             > 1000)
        first++;
      ck_assert_uint_le (i - first + 1, LIMIT);
    }
  json_decref (runs);
}

/* Guards against more requests to cold replicas than their limit, against
   hosts that never send them any, and against a refusal without a time.  A
   host that starts again may send at once, and a replica that says that it is
   warm is used without a limit.  */
START_TEST (cold_replicas_get_what_they_can_take)
{
  json_t *entry;
  int served = 0;

  start (60000);
  expect_refusal (0);
  expect_refusal (1);
  for (int waited = 0; waited < 2 * ENTRY_WAIT_MS && served < SENT;
       waited += 10)
    {
      for (int host = 0; host < 2; host++)
        served += send_lookup (host)->status == 200;
      test_sleep_ms (10);
    }
  ck_assert_int_ge (served, SENT);
  for (int i = 0; i < ENTRY_REPLICAS; i++)
    check_times (i);
  TEST_WAIT_UNTIL ((entry = test_get_json (entry_store->address, ENTRY_OBJECTS
                                           "daisystep-hosts/host-0"))
                       != NULL
                   && json_is_true (test_json_at (entry, "spec/settled")));
  test_process_kill (entry_hosts[0]);
  entry_start_host (0, "z");
  entry_wait_ready (0);
  TEST_WAIT_UNTIL (send_lookup (0)->status == 200);
  for (int i = 0; i < ENTRY_REPLICAS; i++)
    entry_set_faults (entry_replicas[i], "{\"cold_ms\":\"0\"}");
  served = 0;
  for (int waited = 0; waited < ENTRY_WAIT_MS && served < REQUESTS;
       waited += 10)
    {
      served = send_lookup (0)->status == 200 ? served + 1 : 0;
      test_sleep_ms (5);
    }
  ck_assert_int_ge (served, REQUESTS);
}
END_TEST

static void
post_control (const char *path, const char *body)
{
  ck_assert_int_eq (test_post (entry_store->address, path, body), 200);
}

/* Guards against hosts that choose other senders than before when the store
   has lost registrations, and against one that starts after its return and
   does not wait since the copy of its registration is settled.  */
START_TEST (after_a_return_of_the_store_hosts_wait_before_cold_replicas)
{
  json_t *entry;

  start (60000);
  post_control ("/standin/era", "0");
  TEST_WAIT_UNTIL (send_lookup (0)->status == 200);
  TEST_WAIT_UNTIL ((entry = test_get_json (entry_store->address, ENTRY_OBJECTS
                                           "daisystep-hosts/host-0"))
                       != NULL
                   && json_is_true (test_json_at (entry, "spec/settled")));
  post_control ("/standin/copy", "");
  post_control ("/standin/restore", "");
  test_sleep_ms (1500);
  expect_refusal (0);
  expect_refusal (1);
  test_process_kill (entry_hosts[0]);
  entry_start_host (0, "z");
  entry_wait_ready (0);
  test_sleep_ms (1500);
  expect_refusal (0);
  TEST_WAIT_UNTIL (send_lookup (0)->status == 200);
  for (int i = 0; i < ENTRY_REPLICAS; i++)
    check_times (i);
}
END_TEST

/* Guards against requests to a cold replica, or refusals, while a warm one
   serves.  */
START_TEST (others_go_to_warm_replicas)
{
  start (0);
  ck_assert_int_eq (send_lookup (0)->status, 200);
  entry_set_cold_phase (COLD_S, PER_S, 60000);
  entry_restart_replica (0);
  for (int host = 0; host < 2; host++)
    {
      size_t runs = count_runs (0);
      int unused = 0;

      for (int waited = 0; waited < ENTRY_WAIT_MS && unused < REQUESTS;
           waited += 10)
        {
          ck_assert_int_eq (send_lookup (host)->status, 200);
          unused = count_runs (0) == runs ? unused + 1 : 0;
          runs = count_runs (0);
        }
      ck_assert_int_ge (unused, REQUESTS);
    }
}
END_TEST

/* Guards against the use of a replica that may have started again, cold, while
   the host cannot learn it from the store.  */
START_TEST (a_replica_whose_connection_breaks_may_be_cold)
{
  size_t runs;

  start (0);
  ck_assert_int_eq (send_lookup (0)->status, 200);
  entry_set_faults (entry_store, "{\"busy\":true}");
  for (int i = 0; i < ENTRY_REPLICAS; i++)
    entry_set_faults (entry_replicas[i], "{\"drop\":1000}");
  TEST_WAIT_UNTIL (strstr (send_lookup (0)->body.data, "cold") != NULL);
  for (int i = 0; i < ENTRY_REPLICAS; i++)
    entry_set_faults (entry_replicas[i], "{}");
  runs = count_runs (0) + count_runs (1);
  for (int i = 0; i < REQUESTS; i++)
    expect_refusal (0);
  ck_assert_uint_eq (count_runs (0) + count_runs (1), runs);
  entry_set_faults (entry_store, "{}");
  TEST_WAIT_UNTIL (send_lookup (0)->status == 200);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("entry_cold");
  TCase *core = tcase_create ("core");
  SRunner *runner = srunner_create (suite);
  int failed;

  tcase_add_checked_fixture (core, NULL, tear_down);
  tcase_set_timeout (core, 120);
  tcase_add_test (core, cold_replicas_get_what_they_can_take);
  tcase_add_test (core,
                  after_a_return_of_the_store_hosts_wait_before_cold_replicas);
  tcase_add_test (core, others_go_to_warm_replicas);
  tcase_add_test (core, a_replica_whose_connection_breaks_may_be_cold);
  suite_add_tcase (suite, core);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
