#include "support/entry_site.h"

#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define HOSTS 3
#define PREPAID 30000
/* Input and output tokens of a request, and their sum.  */
#define TOKEN_COUNT "1476,24"
#define REQUEST_TOKENS 1500L
#define ROUNDS 2
#define REQUESTS_PER_ROUND 3
/* Time between requests, in which a home is chosen and draws tokens.  */
#define PAUSE_MS 500
/* "release.span_ms" of the users' sites.  */
#define RELEASE_SPAN_MS 13000
/* "recovery_s" of the users' platform.  */
#define RECOVERY_MS 12000

static int serial;

static void
start_site (long release_span_ms)
{
  entry_release_span_ms = release_span_ms;
  /* As much as the whole budget, like in the settings of the users' sites.  */
  entry_minimum_tokens = PREPAID;
  entry_start_standins (PREPAID);
  for (int i = 0; i < HOSTS; i++)
    entry_start_host (i, "z");
  for (int i = 0; i < HOSTS; i++)
    entry_wait_ready (i);
}

static void
set_up (void)
{
  start_site (RELEASE_SPAN_MS);
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
  return entry_request (host, "POST", "/stream/1", id, TOKEN_COUNT)->status
         == 200;
}

/* Sends requests to all hosts in turn until COUNT have been served.  */
static void
serve (int count)
{
  int served = 0;

  for (int waited = 0; served < count; waited += PAUSE_MS)
    {
      ck_assert_msg (waited < RECOVERY_MS, "%d of %d requests are served",
                     served, count);
      served += is_served (serial % HOSTS) ? 1 : 0;
      test_sleep_ms (PAUSE_MS);
    }
}

static void
restart_all_hosts (void)
{
  for (int i = 0; i < HOSTS; i++)
    (void)test_process_signal (entry_hosts[i], SIGKILL);
  for (int i = 0; i < HOSTS; i++)
    {
      (void)test_process_wait (entry_hosts[i], ENTRY_WAIT_MS);
      entry_start_host (i, "z");
    }
  for (int i = 0; i < HOSTS; i++)
    entry_wait_ready (i);
}

/* Serves requests in ROUNDS that end with the death of all hosts, and then as
   many as the budget has tokens for.  Returns how many were served.  */
static int
serve_in_spite_of_deaths (void)
{
  int total = 0;
  int refused = 0;

  for (int round = 0; round < ROUNDS; round++)
    {
      serve (REQUESTS_PER_ROUND);
      total += REQUESTS_PER_ROUND;
      restart_all_hosts ();
    }
  serve (1);
  total++;
  while (refused < HOSTS)
    {
      if (is_served (serial % HOSTS))
        {
          total++;
          refused = 0;
        }
      else
        refused++;
    }
  return total;
}

/* Guards against a small budget that is lost for the day when all hosts are
   killed, also twice in a row, and against tokens that are spent twice after
   it.  */
START_TEST (a_small_budget_outlives_the_death_of_all_hosts)
{
  ck_assert_int_le (serve_in_spite_of_deaths () * REQUEST_TOKENS, PREPAID);
}
END_TEST

/* Guards against deaths that take most of a budget with them.  */
START_TEST (two_deaths_of_all_hosts_leave_half_of_a_small_budget)
{
  ck_assert_int_ge (2L * serve_in_spite_of_deaths () * REQUEST_TOKENS,
                    PREPAID);
}
END_TEST

/* Guards against a reserve that is lost with its holder although most of it
   cannot have been used.  */
START_TEST (release_over_time_leaves_more_after_deaths)
{
  int released = serve_in_spite_of_deaths ();
  int at_once;

  test_processes_clean_up ();
  start_site (0);
  at_once = serve_in_spite_of_deaths ();
  printf ("served %d of %ld with release over time, %d without\n", released,
          PREPAID / REQUEST_TOKENS, at_once);
  ck_assert_int_le (released * REQUEST_TOKENS, PREPAID);
  ck_assert_int_gt (released, at_once);
}
END_TEST

/* Guards against a planned stop that takes locked tokens along: they can be
   sent to no other host.  */
START_TEST (a_planned_stop_returns_all_tokens)
{
  json_t *page;
  json_t *account;

  serve (REQUESTS_PER_ROUND);
  page = test_get_json (entry_store->address, entry_ledger_path ());
  ck_assert_ptr_nonnull (test_json_at (page, "spec/accounts/north/releases"));
  json_decref (page);
  for (int i = 0; i < HOSTS; i++)
    {
      ck_assert_int_eq (test_process_signal (entry_hosts[i], SIGTERM), 0);
      ck_assert (test_process_wait (entry_hosts[i], ENTRY_WAIT_MS));
    }
  page = test_get_json (entry_store->address, entry_ledger_path ());
  account = test_json_at (page, "spec/accounts/north");
  ck_assert_int_eq (json_integer_value (json_object_get (account, "granted")),
                    0);
  ck_assert_ptr_null (json_object_get (account, "releases"));
  ck_assert_int_eq (entry_settled_tokens (),
                    REQUESTS_PER_ROUND * REQUEST_TOKENS);
  json_decref (page);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("entry_budget");
  TCase *test_case = tcase_create ("entry_budget");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_set_timeout (test_case, 120);
  tcase_add_test (test_case, a_small_budget_outlives_the_death_of_all_hosts);
  tcase_add_test (test_case,
                  two_deaths_of_all_hosts_leave_half_of_a_small_budget);
  tcase_add_test (test_case, release_over_time_leaves_more_after_deaths);
  tcase_add_test (test_case, a_planned_stop_returns_all_tokens);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
