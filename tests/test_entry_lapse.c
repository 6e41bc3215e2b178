#include "support/entry_site.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

/* Hosts and replicas through an outage of the store in which the registrations
   of the replicas run out.  Replicas that live are registered again within two
   seconds of its end.  */
#define HOSTS 12
#define OUTAGE_MS 3500
#define REGISTERED_AFTER_MS 300
#define BACK_MS 2000

static int serial;

static void
set_up (void)
{
  entry_start_standins (1000000);
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

/* Sends requests that use tokens through all hosts for DURATION_MS.  */
static void
send_traffic (int duration_ms)
{
  char id[32];

  for (int waited = 0; waited < duration_ms; waited += 100)
    {
      for (int i = 0; i < HOSTS; i++)
        {
          (void)snprintf (id, sizeof id, "traffic-%d", serial++);
          (void)entry_request (i, "POST", "/stream/1", id, "100,24");
        }
      test_sleep_ms (100);
    }
}

/* Sends a request through each host while all replicas but ONLY reject.  */
static void
expect_use_of_replica (int only)
{
  char id[32];

  for (int i = 0; i < ENTRY_REPLICAS; i++)
    entry_set_faults (entry_replicas[i], i == only ? "{}" : "{\"shed\":1000}");
  for (int i = 0; i < HOSTS; i++)
    {
      (void)snprintf (id, sizeof id, "only-%d", serial++);
      ck_assert_msg (entry_request (i, "POST", "/book/1", id, NULL)->status
                         == 200,
                     "host %d does not use replica %d", i, only);
    }
}

/* Guards against a fleet that stops using replicas for good after an outage:
   a host whose watch has waited through it takes the removals for departures
   and tells the others.  */
START_TEST (replicas_are_used_again_after_an_outage_in_which_they_lapsed)
{
  send_traffic (500);
  entry_set_faults (entry_store, "{\"busy\":true}");
  send_traffic (OUTAGE_MS);
  entry_set_faults (entry_store, "{\"lapse\":true}");
  send_traffic (REGISTERED_AFTER_MS);
  for (int i = 0; i < ENTRY_REPLICAS; i++)
    entry_put_replica (i, "ready");
  send_traffic (BACK_MS - REGISTERED_AFTER_MS);
  for (int i = 0; i < ENTRY_REPLICAS; i++)
    expect_use_of_replica (i);
}
END_TEST

/* Guards against a host that goes on using a replica that did not register
   again after the outage.  */
START_TEST (a_replica_that_does_not_return_after_an_outage_is_dropped)
{
  send_traffic (500);
  entry_set_faults (entry_store, "{\"busy\":true}");
  send_traffic (OUTAGE_MS);
  entry_set_faults (entry_store, "{\"lapse\":true}");
  entry_put_replica (0, "ready");
  send_traffic (2 * BACK_MS);
  entry_set_faults (entry_replicas[0], "{\"shed\":1000}");
  for (int i = 0; i < HOSTS; i++)
    ck_assert_int_eq (
        entry_request (i, "POST", "/book/1", "gone", NULL)->status, 503);
  ck_assert_int_eq (entry_count_runs ("gone"), 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("entry_lapse");
  TCase *test_case = tcase_create ("entry_lapse");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_set_timeout (test_case, 120);
  tcase_add_test (
      test_case, replicas_are_used_again_after_an_outage_in_which_they_lapsed);
  tcase_add_test (test_case,
                  a_replica_that_does_not_return_after_an_outage_is_dropped);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
