#include "core/gossip_pace.h"

#include <check.h>
#include <stdbool.h>
#include <stdlib.h>

/* Plays ticks of a host that tells its OTHERS in turns, as seen by one of them
   with datagram LOST lost, and returns the longest time without one.  */
static uint64_t
longest_interval_ms (size_t others, int lost)
{
  uint64_t heard_ms = 0;
  uint64_t longest = 0;
  size_t next = 0;
  int datagram = 0;

  for (uint64_t now_ms = 0; now_ms < 30000; now_ms += DS_GOSSIP_INTERVAL_MS)
    {
      size_t targets = others < DS_GOSSIP_FANOUT ? others : DS_GOSSIP_FANOUT;
      bool told = false;

      for (size_t i = 0; i < targets; i++)
        told = told || next++ % others == 0;
      if (!told || datagram++ == lost)
        continue;
      if (now_ms - heard_ms > longest)
        longest = now_ms - heard_ms;
      heard_ms = now_ms;
    }
  return longest;
}

/* Load: fleets of 8, 73, 81 and 390 hosts that lose one datagram.  With one
   limit for all sizes, hosts of the larger fleets came and went.  */
START_TEST (one_lost_datagram_is_within_the_timeout)
{
  static const size_t sizes[] = { 2, 7, 24, 25, 72, 80, 389 };

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    for (int lost = 1; lost < 6; lost++)
      ck_assert_uint_lt (longest_interval_ms (sizes[i], lost),
                         ds_gossip_timeout_ms (sizes[i]));
}
END_TEST

/* Guards against a dead host that is handed out for long in a small fleet.  */
START_TEST (small_fleets_time_out_in_one_second)
{
  ck_assert_uint_eq (ds_gossip_cycle_intervals (7), 1);
  ck_assert_uint_eq (ds_gossip_timeout_ms (7), 1000);
  ck_assert_uint_eq (ds_gossip_cycle_intervals (72), 3);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("gossip_pace");
  TCase *test_case = tcase_create ("gossip_pace");
  SRunner *runner;
  int failed;

  tcase_add_test (test_case, one_lost_datagram_is_within_the_timeout);
  tcase_add_test (test_case, small_fleets_time_out_in_one_second);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
