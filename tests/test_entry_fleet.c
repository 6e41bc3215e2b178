#include "support/entry_site.h"

#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Enough hosts for relays, in two zones.  */
#define HOSTS 28
#define ZONES 2
/* Time in which all hosts must know what the store has accepted.  */
#define CONTACT_MS 3000

static const char *const zones[ZONES] = { "east", "west" };

static void
set_up (void)
{
  entry_start_standins (1000000);
  for (int i = 0; i < HOSTS; i++)
    entry_start_host (i, zones[i % ZONES]);
  for (int i = 0; i < HOSTS; i++)
    entry_wait_ready (i);
}

static void
tear_down (void)
{
  test_processes_clean_up ();
}

/* Whether host I offers the address of host OTHER to callers of its zone.  All
   queries of a test come from one address, so the answers are stable.  */
static bool
offers_host (int i, int other)
{
  char path[96];
  struct test_http_call call
      = { .address = entry_directory_addresses[i], .path = path };

  (void)snprintf (path, sizeof path,
                  "/daisystep/resolve?name=d.example&region=r&zone=%s",
                  zones[other % ZONES]);
  return strstr (test_http (&call)->body.data, entry_caller_addresses[other])
         != NULL;
}

/* Waits until host I offers a host of ZONE other than EXCEPT; returns it.  */
static int
wait_for_offer (int i, int zone, int except)
{
  for (int waited = 0; waited < ENTRY_WAIT_MS; waited += ENTRY_POLL_MS)
    {
      for (int other = zone; other < HOSTS; other += ZONES)
        if (other != except && other != i && offers_host (i, other))
          return other;
      test_sleep_ms (ENTRY_POLL_MS);
    }
  ck_abort_msg ("host %d offers no host of zone %d", i, zone);
}

/* Guards against hosts of a large fleet that do not learn of those in another
   zone, and that go on offering one that was killed.  */
START_TEST (addresses_of_other_zones_follow_the_fleet)
{
  int offered = wait_for_offer (0, 1, -1);
  int waited = 0;

  (void)test_process_signal (entry_hosts[offered], SIGKILL);
  while (offers_host (0, offered) && waited < ENTRY_WAIT_MS)
    {
      test_sleep_ms (ENTRY_POLL_MS);
      waited += ENTRY_POLL_MS;
    }
  ck_assert (!offers_host (0, offered));
  (void)wait_for_offer (0, 1, offered);
}
END_TEST

/* Load: requests of one workspace arrive at every host of the fleet, most of
   which hold none of its tokens.  Guards against a host that gets none,
   against overspending, and against use that does not reach the ledger.  */
START_TEST (all_hosts_serve_from_one_budget)
{
  long served = 0;
  char id[32];

  (void)wait_for_offer (0, 1, -1);
  for (int round = 0; round < 3; round++)
    for (int i = 0; i < HOSTS; i++)
      {
        (void)snprintf (id, sizeof id, "id-%d-%d", round, i);
        for (int waited = 0; waited < ENTRY_WAIT_MS; waited += ENTRY_POLL_MS)
          {
            long status = entry_request (i, "POST", "/stream/1", id, "9976,24")
                              ->status;

            if (status == 200)
              break;
            ck_assert_int_eq (status, 503);
            test_sleep_ms (ENTRY_POLL_MS);
            ck_assert_int_lt (waited + ENTRY_POLL_MS, ENTRY_WAIT_MS);
          }
        served++;
      }
  for (int waited = 0;
       waited < ENTRY_WAIT_MS && entry_settled_tokens () < served * 10000;
       waited += ENTRY_POLL_MS)
    test_sleep_ms (ENTRY_POLL_MS);
  ck_assert_int_eq (entry_settled_tokens (), served * 10000);
}
END_TEST

/* Guards against tokens that are spent twice when hosts are killed, and
   against a workspace that no host can serve once its home is gone.  */
START_TEST (budgets_outlive_the_loss_of_half_the_fleet)
{
  long served = 0;
  char id[32];

  (void)wait_for_offer (0, 1, -1);
  for (int i = 0; i < HOSTS; i++)
    {
      (void)snprintf (id, sizeof id, "before-%d", i);
      if (entry_request (i, "POST", "/stream/1", id, "9976,24")->status == 200)
        served++;
    }
  for (int i = 0; i < HOSTS; i += 4)
    {
      (void)test_process_signal (entry_hosts[i], SIGKILL);
      (void)test_process_signal (entry_hosts[i + 1], SIGKILL);
    }
  for (int i = 0; i < HOSTS; i++)
    {
      if (i % 4 < 2)
        continue;
      (void)snprintf (id, sizeof id, "after-%d", i);
      for (int waited = 0; waited < ENTRY_WAIT_MS; waited += ENTRY_POLL_MS)
        {
          if (entry_request (i, "POST", "/stream/1", id, "9976,24")->status
              == 200)
            break;
          test_sleep_ms (ENTRY_POLL_MS);
          ck_assert_int_lt (waited + ENTRY_POLL_MS, ENTRY_WAIT_MS);
        }
      served++;
    }
  /* The killed hosts may have kept use that was not settled yet.  */
  ck_assert_int_le (entry_settled_tokens (), served * 10000);
}
END_TEST

/* Guards against hosts of a large fleet that serve by an old configuration
   until their watches end, since the responses were lost at all hosts but
   two.  */
START_TEST (hosts_follow_the_two_whose_watch_response_arrives)
{
  bool knows[HOSTS] = { false };
  int missing = HOSTS;
  char id[32];
  char faults[64];

  (void)wait_for_offer (0, 1, -1);
  (void)snprintf (faults, sizeof faults,
                  "{\"lose_watches\":%d,\"lose_kind\":\"config\"}", HOSTS - 2);
  entry_set_faults (entry_store, faults);
  entry_put_config_with_route (1000000, "/new/");
  for (int waited = 0; missing > 0 && waited < CONTACT_MS;
       waited += ENTRY_POLL_MS)
    {
      for (int i = 0; i < HOSTS; i++)
        {
          (void)snprintf (id, sizeof id, "new-%d-%d", waited, i);
          if (!knows[i]
              && entry_request (i, "GET", "/new/1", id, NULL)->status == 200)
            {
              knows[i] = true;
              missing--;
            }
        }
      test_sleep_ms (ENTRY_POLL_MS);
    }
  ck_assert_int_eq (missing, 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("entry_fleet");
  TCase *test_case = tcase_create ("entry_fleet");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_set_timeout (test_case, 120);
  tcase_add_test (test_case, addresses_of_other_zones_follow_the_fleet);
  tcase_add_test (test_case, all_hosts_serve_from_one_budget);
  tcase_add_test (test_case, budgets_outlive_the_loss_of_half_the_fleet);
  tcase_add_test (test_case,
                  hosts_follow_the_two_whose_watch_response_arrives);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
