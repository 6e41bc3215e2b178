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

/* Guards against costs a host that grow with the fleet, and against an
   additional hop in fleets that can do without.  */
START_TEST (only_large_fleets_use_relays)
{
  ck_assert (!ds_gossip_uses_relays (7));
  ck_assert (!ds_gossip_uses_relays (DS_GOSSIP_FANOUT));
  ck_assert (ds_gossip_uses_relays (DS_GOSSIP_FANOUT + 1));
  ck_assert (ds_gossip_uses_relays (294));
}
END_TEST

/* Guards against hosts of a zone that choose different relays because they
   list each other in a different order, and against relays that change when
   another host leaves.  */
START_TEST (relays_depend_on_the_hosts_only)
{
  struct ds_relay_candidate hosts[59];
  struct ds_relay_candidate reversed[59];
  size_t chosen[DS_RELAYS_PER_ZONE];
  size_t again[DS_RELAYS_PER_ZONE];

  for (size_t i = 0; i < 59; i++)
    {
      hosts[i].weight = (i + 1) * UINT64_C (0x9e3779b97f4a7c15);
      hosts[i].capacity = i % 2 == 0 ? 12 : 50;
    }
  for (size_t i = 0; i < 59; i++)
    reversed[i] = hosts[58 - i];
  ck_assert_uint_eq (ds_relay_choose (chosen, hosts, 59), DS_RELAYS_PER_ZONE);
  ck_assert_uint_eq (ds_relay_choose (again, reversed, 59),
                     DS_RELAYS_PER_ZONE);
  for (size_t i = 0; i < DS_RELAYS_PER_ZONE; i++)
    ck_assert_uint_eq (chosen[i], 58 - again[i]);
  /* Without the second relay, the first stays.  */
  hosts[chosen[1]] = hosts[58] = (struct ds_relay_candidate){ .weight = 0 };
  ck_assert_uint_eq (ds_relay_choose (again, hosts, 58), DS_RELAYS_PER_ZONE);
  ck_assert_uint_eq (again[0], chosen[0]);
  ck_assert_uint_eq (ds_relay_choose (again, hosts, 1), 1);
  ck_assert_uint_eq (ds_relay_choose (again, hosts, 0), 0);
}
END_TEST

/* Guards against callers that are sent to dead hosts while a relay is
   replaced, and against hosts that are given up because of it: all are listed
   again before they time out.  */
START_TEST (hosts_outlive_the_replacement_of_relays)
{
  ck_assert_uint_gt (DS_RELAY_MEMBER_TIMEOUT_MS,
                     DS_RELAY_DIRECT_TIMEOUT_MS
                         + (DS_RELAY_DOWNLINK_INTERVALS + 2)
                               * DS_GOSSIP_INTERVAL_MS);
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
  tcase_add_test (test_case, only_large_fleets_use_relays);
  tcase_add_test (test_case, relays_depend_on_the_hosts_only);
  tcase_add_test (test_case, hosts_outlive_the_replacement_of_relays);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
