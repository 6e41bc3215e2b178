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
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
