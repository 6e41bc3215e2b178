#include "core/address_choice.h"
#include "core/crash_counter.h"
#include "core/retry_budget.h"
#include "daisystep/error.h"
#include "entry/event_stream.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static TALLOC_CTX *owner;

static void
set_up (void)
{
  owner = talloc_new (NULL);
}

static void
tear_down (void)
{
  talloc_free (owner);
}

/* Load: for 30 s every attempt at a service fails, and eight hosts with ten
   requests a second each would all try again.  In any ten seconds the fleet
   stays below 0.2 of the requests and 56.  */
START_TEST (fleet_retries_stay_within_the_limit)
{
  const struct ds_retry_limit bound
      = { .ratio = 0.2, .slack = 56, .window_ms = 10000 };
  struct ds_retry_budget *hosts[8];
  int retries[300] = { 0 };
  int requests[300] = { 0 };

  for (int h = 0; h < 8; h++)
    ck_assert_int_eq (ds_retry_budget_new (&hosts[h], owner, &bound), 0);
  for (int slot = 0; slot < 300; slot++)
    for (int h = 0; h < 8; h++)
      {
        uint64_t now_ms = 100000 + (uint64_t)slot * 100;

        ds_retry_budget_record_request (hosts[h], DS_STR ("s"), now_ms);
        requests[slot]++;
        if (ds_retry_budget_take (hosts[h], DS_STR ("s"), 8, now_ms))
          retries[slot]++;
      }
  for (int start = 0; start + 100 <= 300; start++)
    {
      int sum = 0;
      int asked = 0;

      for (int slot = start; slot < start + 100; slot++)
        {
          sum += retries[slot];
          asked += requests[slot];
        }
      ck_assert_int_le (sum, (int)(0.2 * asked) + 56);
      ck_assert_int_gt (sum, 40);
    }
}
END_TEST

/* Guards against services that use up each other's allowance.  */
START_TEST (services_have_separate_retry_budgets)
{
  const struct ds_retry_limit bound
      = { .ratio = 0, .slack = 10, .window_ms = 10000 };
  struct ds_retry_budget *host;

  ck_assert_int_eq (ds_retry_budget_new (&host, owner, &bound), 0);
  while (ds_retry_budget_take (host, DS_STR ("a"), 1, 5))
    continue;
  ck_assert (ds_retry_budget_take (host, DS_STR ("b"), 1, 5));
  ck_assert (ds_retry_budget_take (host, DS_STR ("a"), 1, 20000));
}
END_TEST

/* Load: one request ends each engine that runs it and comes again.  After the
   third engine it is refused; bystanders of one crash are not.  */
START_TEST (a_crashing_request_is_refused_after_three_crashes)
{
  struct ds_crash_counter *guard;
  uint64_t digest;
  uint64_t replica;
  int news = 0;

  ck_assert_int_eq (ds_crash_counter_new (&guard, owner), 0);
  for (uint64_t crash = 1; crash <= 3; crash++)
    {
      ck_assert (!ds_crash_counter_is_blocked (guard, 99, 10));
      (void)ds_crash_counter_record (guard, 99, crash, 10);
      (void)ds_crash_counter_record (guard, 99, crash, 10);
      (void)ds_crash_counter_record (guard, 1000 + crash, crash, 10);
    }
  ck_assert (ds_crash_counter_is_blocked (guard, 99, 10));
  ck_assert (!ds_crash_counter_is_blocked (guard, 1001, 10));
  ck_assert (!ds_crash_counter_is_blocked (guard, 99, 10000000));
  while (ds_crash_counter_take_unsent (guard, &digest, &replica))
    news++;
  ck_assert_int_eq (news, 6);
}
END_TEST

/* Guards against sending callers across zones while their own has hosts, and
   against leaving them with a single one.  */
START_TEST (callers_get_the_hosts_of_their_zone)
{
  const struct ds_address_candidate hosts[] = {
    { DS_STR ("k"), DS_STR ("r"), DS_STR ("1") },
    { DS_STR ("k"), DS_STR ("r"), DS_STR ("2") },
    { DS_STR ("b"), DS_STR ("r"), DS_STR ("3") },
    { DS_STR ("x"), DS_STR ("q"), DS_STR ("4") },
  };
  struct ds_str out[DS_ADDRESSES_MAX];

  ck_assert_uint_eq (
      ds_address_choose (out, hosts, 4, DS_STR ("k"), DS_STR ("r"), 3), 2);
  ck_assert_uint_eq (
      ds_address_choose (out, hosts, 4, DS_STR ("b"), DS_STR ("r"), 0), 3);
  ck_assert_uint_eq (
      ds_address_choose (out, hosts, 4, DS_STR ("x"), DS_STR ("q"), 0), 4);
}
END_TEST

static char passed[512];

static void
pass_on (struct ds_str events, void *user_data)
{
  size_t length = strlen (passed);

  (void)user_data;
  memcpy (passed + length, events.data, events.length);
  passed[length + events.length] = '\0';
}

static int
feed (struct ds_event_stream *stream, const char *text)
{
  return ds_event_stream_feed (owner, stream, ds_str_from_c (text), pass_on,
                               NULL);
}

/* Guards against a piece of an event that a replica did not finish, and
   against an event that comes twice where the stream goes on elsewhere.  */
START_TEST (a_resumed_stream_continues_after_the_last_whole_event)
{
  struct ds_event_stream stream = { .last_id = 0 };

  passed[0] = '\0';
  ck_assert_int_eq (feed (&stream, "id: 1\ndata: a\n\nid: 2\nda"), 0);
  ck_assert_str_eq (passed, "id: 1\ndata: a\n\n");
  ds_event_stream_discard_partial (&stream);
  ck_assert_int_eq (
      feed (&stream, "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"), 0);
  ck_assert_str_eq (passed, "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n");
  ck_assert_uint_eq (stream.events, 2);
  ck_assert_uint_eq (stream.last_id, 2);
}
END_TEST

/* Guards against a hole that looks like a complete stream.  */
START_TEST (a_missing_event_is_a_protocol_error)
{
  struct ds_event_stream stream = { .last_id = 0 };

  passed[0] = '\0';
  ck_assert_int_eq (feed (&stream, "id: 1\ndata: a\n\n"), 0);
  ck_assert_int_eq (feed (&stream, "id: 3\ndata: c\n\n"), DS_EPROTOCOL);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("policies");
  TCase *test_case = tcase_create ("policies");
  SRunner *runner;
  int failed;

  tcase_add_checked_fixture (test_case, set_up, tear_down);
  tcase_add_test (test_case, fleet_retries_stay_within_the_limit);
  tcase_add_test (test_case, services_have_separate_retry_budgets);
  tcase_add_test (test_case,
                  a_crashing_request_is_refused_after_three_crashes);
  tcase_add_test (test_case, callers_get_the_hosts_of_their_zone);
  tcase_add_test (test_case,
                  a_resumed_stream_continues_after_the_last_whole_event);
  tcase_add_test (test_case, a_missing_event_is_a_protocol_error);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
