#include "core/gossip_pace.h"

#include <check.h>
#include <stdbool.h>
#include <stdlib.h>

/* Simulates a host that sends to its OTHERS round-robin.  Returns the longest
   time in ms that one of them receives nothing when datagram LOST is lost.  */
static uint64_t
longest_interval_ms (size_t others, int lost)
{
  uint64_t received_ms = 0;
  uint64_t longest = 0;
  size_t next = 0;
  int datagram = 0;

  for (uint64_t now_ms = 0; now_ms < 30000; now_ms += DS_GOSSIP_INTERVAL_MS)
    {
      size_t targets = others < DS_GOSSIP_FANOUT ? others : DS_GOSSIP_FANOUT;
      bool is_target = false;

      for (size_t i = 0; i < targets; i++)
        is_target = is_target || next++ % others == 0;
      if (!is_target || datagram++ == lost)
        continue;
      if (now_ms - received_ms > longest)
        longest = now_ms - received_ms;
      received_ms = now_ms;
    }
  return longest;
}

/* Fleets of 8, 73, 81 and 390 hosts lose one datagram.  With one timeout for
   all sizes, hosts of the larger fleets were repeatedly taken for silent.  */
START_TEST (one_lost_datagram_is_within_the_timeout)
{
  static const size_t sizes[] = { 2, 7, 24, 25, 72, 80, 389 };

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    for (int lost = 1; lost < 6; lost++)
      ck_assert_uint_lt (longest_interval_ms (sizes[i], lost),
                         ds_gossip_timeout_ms (sizes[i]));
}
END_TEST

/* Guards against a small fleet that offers a dead host for too long.  */
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
