#include "bench/support/virtual_fleet.h"

#include <check.h>
#include <stdlib.h>

#define SECOND ((uint64_t)1000000)
#define START (5 * SECOND)

/* Hosts 1, 2, 4, 5 and 7 are on the side without the platform.  */
static bool
loses_platform (int host)
{
  return host % 3 != 0;
}

static void
set_partition (struct virtual_fleet *fleet, bool is_partitioned)
{
  for (int i = 0; i < 8; i++)
    {
      if (!loses_platform (i))
        continue;
      virtual_fleet_disconnect_platform (fleet, i, is_partitioned);
      for (int j = 0; j < 8; j += 3)
        if (is_partitioned)
          virtual_fleet_disconnect_hosts (fleet, i, j);
        else
          virtual_fleet_reconnect_hosts (fleet, i, j);
    }
}

static struct virtual_fleet *
make_fleet (uint64_t prepaid)
{
  struct virtual_fleet_options options = VIRTUAL_FLEET_OPTIONS_DEFAULT;
  struct virtual_fleet *fleet;

  options.seed = 7;
  options.budgets = 1;
  options.pages = 1;
  options.draw_percent = 50;
  options.cross_zone_delay_us = 1000;
  options.prepaid[0] = prepaid;
  fleet = virtual_fleet_new (&options);
  virtual_fleet_run_until (fleet, START);
  return fleet;
}

/* Sends a request of 100 tokens every PERIOD until END, to the hosts in turn:
   to those without the platform only, or to all.  */
static void
send_until (struct virtual_fleet *fleet, uint64_t end, uint64_t period,
            bool without_platform_only)
{
  for (int i = 0; virtual_fleet_now (fleet) < end; i++)
    {
      if (without_platform_only && !loses_platform (i % 8))
        continue;
      (void)virtual_fleet_submit (fleet, i % 8, 0, 100, 60, SECOND / 2);
      virtual_fleet_run_until (fleet, virtual_fleet_now (fleet) + period);
    }
}

static void
check_one_bill_each (struct virtual_fleet *fleet)
{
  virtual_fleet_count_bills (fleet);
  for (int i = 0; i < virtual_fleet_request_count (fleet); i++)
    {
      const struct virtual_request *request
          = virtual_fleet_request_at (fleet, i);

      ck_assert_int_eq (request->bills, request->dispatches > 0 ? 1 : 0);
      ck_assert_int_le (request->dispatches, 1);
    }
}

/* Guards against bills that are lost when the hosts seal each other at the end
   of a long partition, and against settlements that wait forever for a
   transfer of another host.  */
START_TEST (test_partition_loses_no_bill)
{
  struct virtual_fleet *fleet = make_fleet (10000000);

  send_until (fleet, START + 60 * SECOND, SECOND / 20, false);
  set_partition (fleet, true);
  send_until (fleet, START + 660 * SECOND, SECOND / 20, false);
  set_partition (fleet, false);
  virtual_fleet_run_until (fleet, START + 1400 * SECOND);
  check_one_bill_each (fleet);
  ck_assert_uint_eq (virtual_fleet_totals (fleet).overspend, 0);
  virtual_fleet_free (fleet);
}
END_TEST

/* Guards against a page object above the platform's limit of 1 MB: the
   settlements that wait after an outage are entered in parts.  */
START_TEST (test_page_stays_small_after_outage)
{
  struct virtual_fleet *fleet = make_fleet (100000000);

  send_until (fleet, START + 60 * SECOND, SECOND / 100, false);
  set_partition (fleet, true);
  send_until (fleet, START + 360 * SECOND, SECOND / 100, true);
  set_partition (fleet, false);
  virtual_fleet_run_until (fleet, START + 1100 * SECOND);
  ck_assert_uint_le (virtual_fleet_totals (fleet).max_page_bills, 1024);
  check_one_bill_each (fleet);
  virtual_fleet_free (fleet);
}
END_TEST

/* Guards against hosts that run out of tokens within a platform outage of ten
   minutes although most of the budget is unused.  */
START_TEST (test_hold_lasts_for_partition)
{
  struct virtual_fleet *fleet = make_fleet (10000000);

  send_until (fleet, START + 120 * SECOND, SECOND / 20, false);
  set_partition (fleet, true);
  send_until (fleet, START + 720 * SECOND, SECOND / 12, true);
  ck_assert_uint_eq (virtual_fleet_totals (fleet).false_refusals, 0);
  virtual_fleet_free (fleet);
}
END_TEST

/* Guards against hosts that each keep some of the last tokens for a request
   that they cannot serve: fewer tokens than one request takes may be left.  */
START_TEST (test_last_tokens_are_gathered)
{
  struct virtual_fleet *fleet = make_fleet (20000);
  uint64_t spent = 0;

  send_until (fleet, START + 120 * SECOND, SECOND / 20, false);
  for (int i = 0; i < virtual_fleet_request_count (fleet); i++)
    if (virtual_fleet_request_at (fleet, i)->dispatches > 0)
      spent += virtual_fleet_request_at (fleet, i)->cost;
  ck_assert_uint_le (spent, 20000);
  ck_assert_uint_gt (spent, 20000 - 100);
  virtual_fleet_free (fleet);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("core_budget");
  TCase *cases = tcase_create ("policy");
  SRunner *runner;
  int failed;

  tcase_set_timeout (cases, 120);
  tcase_add_test (cases, test_partition_loses_no_bill);
  tcase_add_test (cases, test_page_stays_small_after_outage);
  tcase_add_test (cases, test_hold_lasts_for_partition);
  tcase_add_test (cases, test_last_tokens_are_gathered);
  suite_add_tcase (suite, cases);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
