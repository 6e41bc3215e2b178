#include "support/entry_site.h"

#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

/* Hosts whose store returns from an older copy, which loses what they have
   written to the ledger since.  */
#define HOSTS 3
#define PREPAID 90000
/* Input and output tokens of a request, and their sum.  */
#define TOKEN_COUNT "276,24"
#define REQUEST_TOKENS 300L
#define COPY_AGE_MS 4000
/* Time for which the store is away before it returns.  */
#define AWAY_MS 300
/* "restore_hold_ms", in which no tokens are granted, and some time to spare.
 */
#define HOLD_MS 2600
/* Consecutive rejections that show that the budget is used up.  */
#define REJECTIONS 45
#define PAUSE_MS 20

static int serial;
static long used;
static unsigned last_status;

static void
post_control (const char *path, const char *body)
{
  ck_assert_int_eq (test_post (entry_store->address, path, body), 200);
}

static void
set_up (void)
{
  serial = 0;
  used = 0;
  entry_minimum_tokens = 6000;
  entry_start_standins (PREPAID);
  post_control ("/standin/era", "0");
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

static bool
is_served (int host)
{
  char id[32];

  (void)snprintf (id, sizeof id, "id-%d", serial++);
  last_status
      = (unsigned)entry_request (host, "POST", "/stream/1", id, TOKEN_COUNT)
            ->status;
  if (last_status != 200)
    return false;
  used += REQUEST_TOKENS;
  return true;
}

/* Sends requests through the hosts before LIMIT in turn for DURATION_MS.  */
static void
send_traffic (int limit, int duration_ms)
{
  for (int waited = 0; waited < duration_ms; waited += PAUSE_MS)
    {
      (void)is_served (serial % limit);
      test_sleep_ms (PAUSE_MS);
    }
}

/* Sends requests until REJECTIONS in a row have been rejected, and checks the
   sum of what was used.  */
static void
use_up (int limit)
{
  int rejected = 0;

  while (rejected < REJECTIONS)
    {
      rejected = is_served (serial % limit) ? 0 : rejected + 1;
      if (rejected > 0)
        test_sleep_ms (PAUSE_MS);
      ck_assert_msg (used <= PREPAID, "%ld tokens were used of %d prepaid",
                     used, PREPAID);
    }
}

static void
restore (void)
{
  entry_set_faults (entry_store, "{\"busy\":true}");
  test_sleep_ms (AWAY_MS);
  post_control ("/standin/restore", "");
  entry_set_faults (entry_store, "{}");
}

/* Guards against tokens that are granted twice since the store has lost the
   grants of its last seconds, although no host has ended.  */
START_TEST (a_restore_without_a_failed_host_grants_no_token_twice)
{
  send_traffic (HOSTS, 500);
  post_control ("/standin/copy", "");
  send_traffic (HOSTS, COPY_AGE_MS);
  restore ();
  send_traffic (HOSTS, HOLD_MS);
  use_up (HOSTS);
  /* Half of the budget would be too little: all hosts know what was used.  */
  ck_assert_int_ge (used, PREPAID * 9L / 10);
  ck_assert_uint_eq (last_status, 402);
}
END_TEST

/* Guards against grants of a home that ended in the lost seconds, which are
   granted again although other hosts have heard of them.  */
START_TEST (a_host_killed_in_the_lost_seconds_exceeds_no_budget)
{
  send_traffic (HOSTS, 500);
  post_control ("/standin/copy", "");
  send_traffic (HOSTS, COPY_AGE_MS - 1000);
  (void)test_process_signal (entry_hosts[_i], SIGKILL);
  (void)test_process_wait (entry_hosts[_i], ENTRY_WAIT_MS);
  entry_start_host (_i, "z");
  test_sleep_ms (100);
  restore ();
  entry_wait_ready (_i);
  send_traffic (HOSTS, HOLD_MS);
  use_up (HOSTS);
  ck_assert_int_ge (used, PREPAID / 2);
}
END_TEST

/* Guards against grants while the hold of a first return is over and a second
   one has just taken the raised pages back.  */
START_TEST (two_returns_in_a_row_exceed_no_budget)
{
  send_traffic (HOSTS, 500);
  post_control ("/standin/copy", "");
  send_traffic (HOSTS, COPY_AGE_MS);
  restore ();
  send_traffic (HOSTS, 1000);
  restore ();
  send_traffic (HOSTS, HOLD_MS);
  restore ();
  send_traffic (HOSTS, HOLD_MS);
  use_up (HOSTS);
  ck_assert_int_ge (used, PREPAID * 8L / 10);
}
END_TEST

/* Guards against a host that knows neither of the return nor of what was done
   since, and writes on the condition of revisions that were issued again.  */
START_TEST (a_host_that_stood_still_exceeds_no_budget)
{
  send_traffic (HOSTS, 500);
  post_control ("/standin/copy", "");
  send_traffic (HOSTS, COPY_AGE_MS);
  (void)test_process_signal (entry_hosts[HOSTS - 1], SIGSTOP);
  restore ();
  send_traffic (HOSTS - 1, HOLD_MS + 1000);
  (void)test_process_signal (entry_hosts[HOSTS - 1], SIGCONT);
  send_traffic (HOSTS, 500);
  use_up (HOSTS);
  ck_assert_int_ge (used, PREPAID / 2);
}
END_TEST

static bool
serves_route (int host, const char *path)
{
  char id[32];

  (void)snprintf (id, sizeof id, "route-%d", serial++);
  return entry_request (host, "GET", path, id, NULL)->status == 200;
}

/* Guards against hosts that go back to an older configuration, or drop
   replicas that have not registered again yet, and against watches from
   revisions of the old era that miss what is written in the new one.  */
START_TEST (configuration_and_replicas_of_the_lost_seconds_stay)
{
  entry_put_replica (1, "draining");
  post_control ("/standin/copy", "");
  entry_put_config_with_route (PREPAID, "/new/");
  for (int i = 0; i < 5; i++)
    entry_put_replica (0, "draining");
  entry_restart_replica (1);
  test_sleep_ms (2500);
  for (int i = 0; i < HOSTS; i++)
    ck_assert (serves_route (i, "/new/1"));
  restore ();
  /* The restored store has the older configuration, and replica 1 as one that
     drains.  */
  entry_restart_replica (1);
  test_sleep_ms (1500);
  for (int i = 0; i < HOSTS; i++)
    ck_assert (serves_route (i, "/new/1"));
  entry_put_config_with_route (PREPAID, "/newer/");
  test_sleep_ms (2000);
  for (int i = 0; i < HOSTS; i++)
    ck_assert (serves_route (i, "/newer/1"));
}
END_TEST

/* Guards against a host that no new host finds, since its registration was
   lost, and against one whose registration is written by others.  */
START_TEST (a_lost_registration_is_written_again)
{
  char path[64];
  struct test_http_call call
      = { .address = entry_store->address, .path = path };

  post_control ("/standin/copy", "");
  entry_start_host (HOSTS, "z");
  entry_wait_ready (HOSTS);
  restore ();
  (void)snprintf (path, sizeof path, ENTRY_OBJECTS "daisystep-hosts/host-%d",
                  HOSTS);
  ck_assert_int_eq (test_http (&call)->status, 404);
  test_sleep_ms (6000);
  ck_assert_int_eq (test_http (&call)->status, 200);
}
END_TEST

/* Guards against calls that are added for a store that sends no era: three
   hosts read the page once each at most when they start.  */
START_TEST (a_store_without_an_era_gets_no_further_call)
{
  json_t *counts;
  json_int_t reads;

  post_control ("/standin/era", "-1");
  test_sleep_ms (300);
  counts = test_get_json (entry_store->address, "/standin/counts");
  reads = json_integer_value (json_object_get (counts, "ledger_reads"));
  json_decref (counts);
  send_traffic (HOSTS, 3000);
  counts = test_get_json (entry_store->address, "/standin/counts");
  ck_assert_int_le (
      json_integer_value (json_object_get (counts, "ledger_reads")) - reads,
      HOSTS);
  json_decref (counts);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("entry_restore");
  TCase *test_case = tcase_create ("entry_restore");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_set_timeout (test_case, 90);
  tcase_add_test (test_case,
                  a_restore_without_a_failed_host_grants_no_token_twice);
  tcase_add_loop_test (test_case,
                       a_host_killed_in_the_lost_seconds_exceeds_no_budget, 0,
                       HOSTS);
  tcase_add_test (test_case, two_returns_in_a_row_exceed_no_budget);
  tcase_add_test (test_case, a_host_that_stood_still_exceeds_no_budget);
  tcase_add_test (test_case,
                  configuration_and_replicas_of_the_lost_seconds_stay);
  tcase_add_test (test_case, a_lost_registration_is_written_again);
  tcase_add_test (test_case, a_store_without_an_era_gets_no_further_call);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
