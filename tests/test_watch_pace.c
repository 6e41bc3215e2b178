#include "core/watch_pace.h"

#include <check.h>
#include <stdbool.h>
#include <stdlib.h>

/* Load: all hosts of a fleet watch the store and learn from each other.  */
#define INTERVAL_MS 1000
#define WAIT_MAX_MS 20000

static struct ds_watch_place
place (size_t hosts, size_t rank)
{
  return (struct ds_watch_place){ .hosts = hosts,
                                  .rank = rank,
                                  .interval_ms = INTERVAL_MS };
}

/* Guards against a host without others that waits for as long as one of a
   large fleet.  */
START_TEST (a_host_alone_ends_its_watch_every_interval)
{
  struct ds_watch_place alone = place (1, 0);

  ck_assert_uint_eq (ds_watch_first_wait_ms (&alone), INTERVAL_MS);
  ck_assert_uint_eq (ds_watch_next_wait_ms (&alone), INTERVAL_MS);
}
END_TEST

/* Guards against an interval in which no host hears from the store, from a
   change that restarts all watches to 60 s later.  */
START_TEST (some_watch_ends_in_every_interval)
{
  for (size_t hosts = 1; hosts <= 400; hosts = hosts * 3 / 2 + 1)
    {
      bool ended[60] = { false };

      for (size_t rank = 0; rank < hosts; rank++)
        {
          struct ds_watch_place at = place (hosts, rank);
          uint32_t now_ms = ds_watch_first_wait_ms (&at);

          while (now_ms <= 60 * INTERVAL_MS)
            {
              ended[(now_ms - 1) / INTERVAL_MS] = true;
              now_ms += ds_watch_next_wait_ms (&at);
            }
        }
      for (size_t i = 0; i < 60; i++)
        ck_assert_msg (ended[i], "%zu hosts, second %zu", hosts, i);
    }
}
END_TEST

/* Guards against a rate of calls that grows faster than the fleet, and against
   a large fleet that calls more often than with waits of 20 s.  */
START_TEST (waits_grow_with_the_fleet_up_to_the_longest)
{
  struct ds_watch_place eight = place (8, 3);
  struct ds_watch_place many = place (295, 290);

  ck_assert_uint_eq (ds_watch_next_wait_ms (&eight),
                     UINT64_C (8) * INTERVAL_MS);
  ck_assert_uint_eq (ds_watch_next_wait_ms (&many), WAIT_MAX_MS);
  ck_assert_uint_le (ds_watch_first_wait_ms (&many), WAIT_MAX_MS);
}
END_TEST

/* Guards against a division by zero, and a wait beyond what the store allows,
   with an interval of minutes.  */
START_TEST (a_long_interval_is_cut_to_the_longest_wait)
{
  struct ds_watch_place slow
      = { .hosts = 4, .rank = 3, .interval_ms = 300000 };
  struct ds_watch_place unset = { .hosts = 4, .rank = 3 };

  ck_assert_uint_eq (ds_watch_first_wait_ms (&slow), WAIT_MAX_MS);
  ck_assert_uint_eq (ds_watch_next_wait_ms (&slow), WAIT_MAX_MS);
  ck_assert_uint_eq (ds_watch_next_wait_ms (&unset), WAIT_MAX_MS);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("watch_pace");
  TCase *test_case = tcase_create ("watch_pace");
  SRunner *runner;
  int failed;

  tcase_add_test (test_case, a_host_alone_ends_its_watch_every_interval);
  tcase_add_test (test_case, some_watch_ends_in_every_interval);
  tcase_add_test (test_case, waits_grow_with_the_fleet_up_to_the_longest);
  tcase_add_test (test_case, a_long_interval_is_cut_to_the_longest_wait);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
