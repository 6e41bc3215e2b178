#include "core/address_choice.h"
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

/* For 30 s every attempt of a service fails, and each of eight hosts would
   retry ten requests per second.  In any 10 s the fleet stays below 0.2 x
   requests + 56.  */
START_TEST (fleet_retries_stay_within_the_limit)
{
  const struct ds_retry_limit limit
      = { .ratio = 0.2, .slack = 56, .window_ms = 10000 };
  struct ds_retry_budget *hosts[8];
  int retries[300] = { 0 };
  int requests[300] = { 0 };

  for (int h = 0; h < 8; h++)
    ck_assert_int_eq (ds_retry_budget_new (&hosts[h], owner, &limit), 0);
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
      int sent = 0;

      for (int slot = start; slot < start + 100; slot++)
        {
          sum += retries[slot];
          sent += requests[slot];
        }
      ck_assert_int_le (sum, (int)(0.2 * sent) + 56);
      ck_assert_int_gt (sum, 40);
    }
}
END_TEST

/* Guards against a window that is counted shorter than it is: a burst of
   retries at any moment, and another as soon as the first is forgotten.  */
START_TEST (a_burst_of_retries_counts_for_the_whole_window)
{
  const struct ds_retry_limit limit
      = { .ratio = 0, .slack = 10, .window_ms = 10000 };
  struct ds_retry_budget *host;
  uint64_t burst_ms = 100000 + (uint64_t)_i * 100;

  ck_assert_int_eq (ds_retry_budget_new (&host, owner, &limit), 0);
  while (ds_retry_budget_take (host, DS_STR ("a"), 1, burst_ms))
    continue;
  for (uint64_t later = 100; later < 10000; later += 100)
    ck_assert_msg (
        !ds_retry_budget_take (host, DS_STR ("a"), 1, burst_ms + later),
        "a retry %u ms after the burst", (unsigned)later);
  ck_assert (ds_retry_budget_take (host, DS_STR ("a"), 1, burst_ms + 11100));
}
END_TEST

/* Guards against hosts that use the slack again after the death of all of
   them: every attempt of a service fails, and the hosts die at slot _I.  */
START_TEST (fleet_retries_stay_within_the_limit_over_a_death_of_all_hosts)
{
  struct ds_retry_limit limit
      = { .ratio = 0.02, .slack = 56, .window_ms = 10000 };
  struct ds_retry_budget *hosts[8];
  int retries[300] = { 0 };
  int requests[300] = { 0 };

  for (int slot = 0; slot < 300; slot++)
    {
      uint64_t now_ms = 100000 + (uint64_t)slot * 100;

      for (int h = 0; h < 8; h++)
        {
          if (slot == 0 || slot == _i)
            {
              limit.started_ms = slot == 0 ? 0 : now_ms;
              ck_assert_int_eq (ds_retry_budget_new (&hosts[h], owner, &limit),
                                0);
            }
          ds_retry_budget_record_request (hosts[h], DS_STR ("s"), now_ms);
          requests[slot]++;
          if (ds_retry_budget_take (hosts[h], DS_STR ("s"), 8, now_ms))
            retries[slot]++;
        }
    }
  for (int start = 0; start + 100 <= 300; start++)
    {
      int sum = 0;
      int sent = 0;

      for (int slot = start; slot < start + 100; slot++)
        {
          sum += retries[slot];
          sent += requests[slot];
        }
      ck_assert_msg (sum <= (int)(0.02 * sent) + 56,
                     "%d retries of %d from %d", sum, sent, start);
    }
}
END_TEST

/* Guards against a service that uses up the retries of another.  */
START_TEST (services_have_separate_retry_budgets)
{
  const struct ds_retry_limit limit
      = { .ratio = 0, .slack = 10, .window_ms = 10000 };
  struct ds_retry_budget *host;

  ck_assert_int_eq (ds_retry_budget_new (&host, owner, &limit), 0);
  while (ds_retry_budget_take (host, DS_STR ("a"), 1, 5))
    continue;
  ck_assert (ds_retry_budget_take (host, DS_STR ("b"), 1, 5));
  ck_assert (ds_retry_budget_take (host, DS_STR ("a"), 1, 20000));
}
END_TEST

/* Guards against addresses in other zones while the zone of the caller has
   hosts, and against returning a single address.  */
START_TEST (callers_get_the_hosts_of_their_zone)
{
  const struct ds_address_candidate hosts[] = {
    { .zone = DS_STR ("k"),
      .region = DS_STR ("r"),
      .address = DS_STR ("1"),
      .capacity = 25 },
    { .zone = DS_STR ("k"),
      .region = DS_STR ("r"),
      .address = DS_STR ("2"),
      .capacity = 25 },
    { .zone = DS_STR ("b"),
      .region = DS_STR ("r"),
      .address = DS_STR ("3"),
      .capacity = 25 },
    { .zone = DS_STR ("x"),
      .region = DS_STR ("q"),
      .address = DS_STR ("4"),
      .capacity = 25 },
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

static char forwarded[512];

static void
forward (struct ds_str event, void *user_data)
{
  size_t length = strlen (forwarded);

  (void)user_data;
  memcpy (forwarded + length, event.data, event.length);
  forwarded[length + event.length] = '\0';
}

static int
feed (struct ds_event_stream *stream, const char *text)
{
  return ds_event_stream_feed (owner, stream, ds_str_from_c (text), forward,
                               NULL);
}

/* Guards against forwarding an incomplete event of a failed replica, and
   against repeating an event when another replica resumes the stream.  */
START_TEST (a_resumed_stream_continues_after_the_last_whole_event)
{
  struct ds_event_stream stream = { .last_id = 0 };

  forwarded[0] = '\0';
  ck_assert_int_eq (feed (&stream, "id: 1\ndata: a\n\nid: 2\nda"), 0);
  ck_assert_str_eq (forwarded, "id: 1\ndata: a\n\n");
  ds_event_stream_discard_partial (&stream);
  ck_assert_int_eq (
      feed (&stream, "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"), 0);
  ck_assert_str_eq (forwarded, "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n");
  ck_assert_uint_eq (stream.events, 2);
  ck_assert_uint_eq (stream.last_id, 2);
}
END_TEST

/* Guards against forwarding a stream with a missing event as complete.  */
START_TEST (a_missing_event_is_a_protocol_error)
{
  struct ds_event_stream stream = { .last_id = 0 };

  forwarded[0] = '\0';
  ck_assert_int_eq (feed (&stream, "id: 1\ndata: a\n\n"), 0);
  ck_assert_int_eq (feed (&stream, "id: 3\ndata: c\n\n"), DS_EPROTOCOL);
}
END_TEST

/* Load: 59 hosts of a zone with an eighth or half of a core.  Guards against
   weak hosts that get as many callers as strong ones, and against callers that
   change hosts, and give up connections, with each answer.  */
START_TEST (callers_of_a_large_zone_keep_a_few_strong_hosts)
{
  struct ds_address_candidate hosts[59];
  struct ds_str out[DS_ADDRESSES_MAX];
  struct ds_str again[DS_ADDRESSES_MAX];
  char names[59][16];
  int weak = 0;
  int strong = 0;

  for (int i = 0; i < 59; i++)
    {
      (void)snprintf (names[i], sizeof names[i], "10.0.0.%d:80", i);
      hosts[i] = (struct ds_address_candidate){
        .zone = DS_STR ("k"),
        .region = DS_STR ("r"),
        .address = ds_str_from_c (names[i]),
        .capacity = i < 29 ? 12 : 48,
      };
    }
  for (uint64_t caller = 1; caller <= 200; caller++)
    {
      size_t count = ds_address_choose (out, hosts, 59, DS_STR ("k"),
                                        DS_STR ("r"), caller);

      ck_assert_uint_eq (count, DS_ADDRESSES_OF_LARGE_ZONE);
      ck_assert_uint_eq (ds_address_choose (again, hosts, 59, DS_STR ("k"),
                                            DS_STR ("r"), caller),
                         count);
      for (size_t i = 0; i < count; i++)
        {
          ck_assert (ds_str_equal (out[i], again[i]));
          for (int k = 0; k < 59; k++)
            if (ds_str_equal (out[i], hosts[k].address))
              (*(hosts[k].capacity == 12 ? &weak : &strong))++;
        }
    }
  ck_assert_int_gt (strong, weak + weak);
  ck_assert_int_gt (weak, 0);
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
  tcase_add_loop_test (test_case,
                       a_burst_of_retries_counts_for_the_whole_window, 0, 11);
  tcase_add_loop_test (
      test_case, fleet_retries_stay_within_the_limit_over_a_death_of_all_hosts,
      1, 200);
  tcase_add_test (test_case, services_have_separate_retry_budgets);
  tcase_add_test (test_case, callers_get_the_hosts_of_their_zone);
  tcase_add_test (test_case,
                  a_resumed_stream_continues_after_the_last_whole_event);
  tcase_add_test (test_case, a_missing_event_is_a_protocol_error);
  tcase_add_test (test_case, callers_of_a_large_zone_keep_a_few_strong_hosts);
  suite_add_tcase (suite, test_case);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
