#include "core/budget_home.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#define HOSTS 295
#define PAGES 64

static struct ds_str
host_name (int host)
{
  static char names[HOSTS][16];

  (void)snprintf (names[host], sizeof names[host], "host-%d", host);
  return ds_str_from_c (names[host]);
}

/* Guards against weak hosts that are chosen as often as strong ones: an eighth
   of a core then serves as many requests for tokens as half a core.  */
START_TEST (strong_hosts_win_in_proportion_to_their_capacity)
{
  int wins[2] = { 0, 0 };

  for (uint32_t page = 0; page < 4000; page++)
    {
      double strong = ds_capacity_score (
          ds_budget_home_weight (host_name (0), page), 48);
      double weak = ds_capacity_score (
          ds_budget_home_weight (host_name (1), page), 12);

      wins[strong > weak ? 0 : 1]++;
    }
  ck_assert_int_gt (wins[0], 3000);
  ck_assert_int_lt (wins[0], 3400);
}
END_TEST

/* Guards against moved homes in fleets of equal hosts, where the order of the
   scores has to be that of the weights.  */
START_TEST (equal_capacities_keep_the_order)
{
  for (uint32_t page = 0; page < PAGES; page++)
    for (int a = 0; a < 8; a++)
      for (int b = 0; b < 8; b++)
        {
          uint64_t left = ds_budget_home_weight (host_name (a), page);
          uint64_t right = ds_budget_home_weight (host_name (b), page);

          ck_assert_int_eq (left > right, ds_capacity_score (left, 25)
                                              > ds_capacity_score (right, 25));
        }
}
END_TEST

/* Load: a large workspace sends to all of 59 hosts of a zone.  Guards against
   one giver for all of them, and against groups of very different sizes.  */
START_TEST (a_large_zone_has_several_groups)
{
  int sizes[8] = { 0 };
  uint32_t groups = ds_budget_giver_groups (59);

  ck_assert_uint_eq (ds_budget_giver_groups (1), 1);
  ck_assert_uint_eq (ds_budget_giver_groups (20), 1);
  ck_assert_uint_eq (ds_budget_giver_groups (29), 2);
  ck_assert_uint_eq (groups, 4);
  for (int host = 0; host < 59; host++)
    sizes[ds_budget_giver_group (host_name (host), groups)]++;
  for (uint32_t group = 0; group < groups; group++)
    {
      ck_assert_int_ge (sizes[group], 5);
      ck_assert_int_le (sizes[group], 30);
    }
}
END_TEST

/* Guards against one host that is the giver of many pages.  */
START_TEST (givers_spread_over_the_zone)
{
  int pages[59] = { 0 };

  for (uint32_t page = 0; page < PAGES; page++)
    for (uint32_t group = 0; group < 4; group++)
      {
        int best = 0;

        for (int host = 1; host < 59; host++)
          if (ds_budget_giver_weight (host_name (host), page, group)
              > ds_budget_giver_weight (host_name (best), page, group))
            best = host;
        pages[best]++;
      }
  for (int host = 0; host < 59; host++)
    ck_assert_int_le (pages[host], 15);
}
END_TEST

/* Load: a third of the hosts is cut off from the store for twelve seconds, as
   in the first seconds of a day.  Their homes could not draw, and the
   workspaces were refused everywhere.  */
START_TEST (a_lasting_loss_of_the_ledger_counts)
{
  struct ds_ledger_access access = { .reached = true, .counted = true };

  (void)ds_ledger_access_update (&access, false, 10000);
  (void)ds_ledger_access_update (&access, false,
                                 10000 + DS_HOME_LEDGER_DELAY_MS - 1);
  ck_assert (ds_ledger_access_allows_home (&access, false));
  ck_assert (ds_ledger_access_update (&access, false,
                                      10000 + DS_HOME_LEDGER_DELAY_MS));
  ck_assert (!ds_ledger_access_allows_home (&access, false));
  ck_assert (!ds_ledger_access_allows_home (&access, true));
  ck_assert (ds_budget_homes_need_ledger (88, 57));
}
END_TEST

/* Guards against homes that move when a call was slow or lost.  */
START_TEST (a_short_loss_of_the_ledger_does_not_count)
{
  struct ds_ledger_access access = { .reached = true, .counted = true };

  for (uint64_t now_ms = 10000; now_ms < 20000; now_ms += 1000)
    {
      (void)ds_ledger_access_update (&access, false, now_ms);
      ck_assert (ds_ledger_access_allows_home (&access, false));
      (void)ds_ledger_access_update (&access, true, now_ms + 500);
      ck_assert (ds_ledger_access_allows_home (&access, false));
    }
}
END_TEST

/* Load: the store returns after an outage for all hosts.  Guards against homes
   that gather at the hosts of a large fleet that regained it first.  */
START_TEST (a_regained_ledger_counts_at_once_in_a_large_fleet)
{
  struct ds_ledger_access access = { .reached = true, .counted = true };

  (void)ds_ledger_access_update (&access, false, 1000);
  (void)ds_ledger_access_update (&access, false, 9000);
  ck_assert (!ds_ledger_access_allows_home (&access, true));
  (void)ds_ledger_access_update (&access, true, 9200);
  ck_assert (ds_ledger_access_allows_home (&access, true));
  ck_assert (!ds_ledger_access_allows_home (&access, false));
  (void)ds_ledger_access_update (&access, true,
                                 9200 + DS_HOME_LEDGER_DELAY_MS);
  ck_assert (ds_ledger_access_allows_home (&access, false));
}
END_TEST

/* Load: the store is away for all hosts.  Guards against homes that move in
   vain while each host holds tokens to outlast the outage.  */
START_TEST (homes_stay_when_most_hosts_are_cut_off)
{
  ck_assert (!ds_budget_homes_need_ledger (8, 0));
  ck_assert (!ds_budget_homes_need_ledger (8, 3));
  ck_assert (ds_budget_homes_need_ledger (8, 4));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("budget_home");
  TCase *test_case = tcase_create ("budget_home");
  SRunner *runner;
  int failed;

  tcase_add_test (test_case, strong_hosts_win_in_proportion_to_their_capacity);
  tcase_add_test (test_case, equal_capacities_keep_the_order);
  tcase_add_test (test_case, a_large_zone_has_several_groups);
  tcase_add_test (test_case, givers_spread_over_the_zone);
  tcase_add_test (test_case, a_lasting_loss_of_the_ledger_counts);
  tcase_add_test (test_case, a_short_loss_of_the_ledger_does_not_count);
  tcase_add_test (test_case,
                  a_regained_ledger_counts_at_once_in_a_large_fleet);
  tcase_add_test (test_case, homes_stay_when_most_hosts_are_cut_off);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
