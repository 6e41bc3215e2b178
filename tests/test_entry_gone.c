#include "support/entry_site.h"

#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time after which no response may name a host that is gone: "contact_ms" of
   the users' platform and 3 s.  */
#define GONE_MS 6000
/* Responses of all hosts that are checked after that.  */
#define ROUNDS 10
#define ROUND_MS 200

/* Hosts that send to all others, and hosts that use relays.  */
static const int sizes[] = { 3, 28 };
static int hosts;

static void
start_hosts (int count)
{
  hosts = count;
  entry_start_standins (1000000);
  for (int i = 0; i < hosts; i++)
    entry_start_host (i, "z");
  for (int i = 0; i < hosts; i++)
    entry_wait_ready (i);
}

static void
tear_down (void)
{
  test_processes_clean_up ();
}

static bool
names_host (int i, int other)
{
  struct test_http_call call
      = { .address = entry_directory_addresses[i],
          .path = "/daisystep/resolve?name=d.example&region=r&zone=z",
          .timeout_ms = 2000 };

  return strstr (test_http (&call)->body.data, entry_caller_addresses[other])
         != NULL;
}

/* Returns a host that host 0 names.  Callers of one address get the same ten
   hosts of a large zone.  */
static int
wait_for_named (void)
{
  for (int waited = 0; waited < ENTRY_WAIT_MS; waited += ENTRY_POLL_MS)
    {
      for (int other = 1; other < hosts; other++)
        if (names_host (0, other))
          return other;
      test_sleep_ms (ENTRY_POLL_MS);
    }
  ck_abort_msg ("host 0 names no other host");
}

/* Deletes what the platform knows of host I.  */
static void
remove_object (int i)
{
  char path[64];
  struct test_http_call call
      = { .method = "DELETE", .address = entry_store->address, .path = path };

  (void)snprintf (path, sizeof path, ENTRY_OBJECTS "daisystep-hosts/host-%d",
                  i);
  ck_assert_int_eq (test_http (&call)->status, 200);
}

/* Starts COUNT hosts, sends SIGNAL to one that host 0 names, and checks that
   no host, and none that starts then, names it once GONE_MS have passed.  */
static void
expect_gone_after (int count, int signal, bool removed)
{
  int victim;

  start_hosts (count);
  victim = wait_for_named ();
  (void)test_process_signal (entry_hosts[victim], signal);
  if (removed)
    remove_object (victim);
  test_sleep_ms (GONE_MS);
  entry_start_host (hosts, "z");
  for (int round = 0; round < ROUNDS; round++)
    {
      for (int i = 0; i <= hosts; i++)
        if (i != victim)
          ck_assert_msg (!names_host (i, victim),
                         "host %d names host %d, round %d", i, victim, round);
      test_sleep_ms (ROUND_MS);
    }
  (void)test_process_signal (entry_hosts[victim], SIGCONT);
}

START_TEST (a_killed_host_is_not_named)
{
  expect_gone_after (sizes[_i], SIGKILL, false);
}
END_TEST

START_TEST (a_host_that_ended_is_not_named)
{
  expect_gone_after (sizes[_i], SIGTERM, false);
}
END_TEST

/* A machine that is switched off, like a frozen one, sends nothing and closes
   no connection.  */
START_TEST (a_frozen_host_is_not_named)
{
  expect_gone_after (sizes[_i], SIGSTOP, false);
}
END_TEST

START_TEST (a_removed_host_is_not_named)
{
  expect_gone_after (sizes[_i], SIGKILL, true);
}
END_TEST

/* Guards against a host that was frozen and then takes the datagrams that
   waited in its socket for signs of life of a host that was killed
   meanwhile.  */
START_TEST (a_host_that_was_frozen_names_no_host_killed_meanwhile)
{
  int victim;

  start_hosts (sizes[_i]);
  victim = wait_for_named ();
  (void)test_process_signal (entry_hosts[0], SIGSTOP);
  test_sleep_ms (1000);
  (void)test_process_signal (entry_hosts[victim], SIGKILL);
  test_sleep_ms (GONE_MS);
  (void)test_process_signal (entry_hosts[0], SIGCONT);
  for (int round = 0; round < 20 * ROUNDS; round++)
    {
      ck_assert_msg (!names_host (0, victim), "round %d", round);
      test_sleep_ms (10);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("entry_gone");
  TCase *test_case = tcase_create ("entry_gone");
  SRunner *runner;
  int count = (int)(sizeof sizes / sizeof sizes[0]);
  int failed;

  tcase_add_checked_fixture (test_case, NULL, tear_down);
  tcase_set_timeout (test_case, 120);
  tcase_add_loop_test (test_case, a_killed_host_is_not_named, 0, count);
  tcase_add_loop_test (test_case, a_host_that_ended_is_not_named, 0, count);
  tcase_add_loop_test (test_case, a_frozen_host_is_not_named, 0, count);
  tcase_add_loop_test (test_case, a_removed_host_is_not_named, 0, count);
  tcase_add_loop_test (test_case,
                       a_host_that_was_frozen_names_no_host_killed_meanwhile,
                       0, count);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
